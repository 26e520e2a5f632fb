"""Plain records of what one dispatcher has observed. Nothing here chooses or tunes."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any, NamedTuple

from sortedcontainers import SortedList  # type: ignore[import-untyped]

from rainfall.interface import MessageClass

# What a process that takes over is told of each record; the rest is in the journal or
# counted anew.
TARGET_KEPT = (
    "failing",
    "failed_at",
    "well_at",
    "tried_at",
    "outage_at",
    "back_at",
    "spread",
)
PLACE_KEPT = (
    "window",
    "mean",
    "seed",
    "mean_at",
    "wait_until",
    "rest_until",
    "rest",
    "cut_at",
    "limit",
    "left",
    "shares",
    "pace_at",
)
MESSAGE_KEPT = ("over_share", "waited", "avoid")
CALL_KEPT = ("sent_at", "idle", "gap", "joined", "judged", "passed")

MOST_SPARE_PILES, MOST_SPARE_LANES = 2_000, 4
"""Empty piles that are kept to be filled again, and empty lanes in each pile."""
LARGE_PILE = 64
"""From so many messages on a pile is found by its size."""


def kept(record: object, names: Iterable[str]) -> dict[str, Any]:
    return {name: getattr(record, name) for name in names}


def learn(record: object, known: Mapping[str, Any], names: Iterable[str]) -> None:
    for name in names:
        if name in known:
            setattr(record, name, known[name])


@dataclass(slots=True)
class Deadline:
    """A place in the order by deadline, to look there: before or after a message, or
    between two.
    """

    deadline: float
    number: int

    def __lt__(self, other: Deadline | Message) -> bool:
        return self.deadline < other.deadline or (
            self.deadline == other.deadline and self.number < other.number
        )


class Demand(NamedTuple):
    """Whose demand a message is."""

    class_name: str
    tenant: str | None


@dataclass(slots=True, eq=False)
class Message:
    """Sorts by deadline, and among equal ones by the number under which it was
    taken.
    """

    id: str
    destination: int
    cls: MessageClass
    deadline: int
    number: int
    """Counts all that were taken on, and all that were put back, since the start."""
    key: str | None
    over_share: bool
    most: int
    """Attempts that it was taken on with."""
    attempts: int = 0
    out: int = 0
    ran_at: int = -1
    """When the first attempt that may have run was sent; -1 while none may have."""
    ran_on: int = -1
    """Its target."""
    waited: int = 0
    """How long the attempt that timed out last was waited for."""
    avoid: int = -1
    """The target that last failed it."""
    kept: bool = False
    """While it has surely not run, it does not give way to fresher ones before a part
    of its time.
    """
    before: bool = False
    """A process before took it on."""
    position: int = 0
    """Among the held of its destination: one that is put back goes behind all."""
    lane: Lane | None = None
    """Where it is held."""
    tenant: str | None = None

    def __lt__(self, other: Deadline | Message) -> bool:
        return self.deadline < other.deadline or (
            self.deadline == other.deadline and self.number < other.number
        )

    @property
    def demand(self) -> Demand:
        return Demand(self.cls.name, self.tenant)

    @property
    def due(self) -> int:
        return self.deadline

    @due.setter
    def due(self, due: int) -> None:
        """Where it is held it moves in its lane."""
        queues = [] if self.lane is None else self.lane.queues_with(self)
        for queue in queues:
            queue.remove(self)
        self.deadline = due
        for queue in queues:
            queue.add(self)


@dataclass(slots=True)
class Target:
    id: int
    destination: int
    zone: str
    weight: float
    place: Place
    kind: str = ""
    batch: int = 1
    """Messages in one call at most."""
    apart: bool = False
    """A route of its own."""
    serving: bool = True
    out: int = 0
    failing: float = 0.0
    """Decayed share of its calls that failed."""
    tried_at: int = -(1 << 40)
    idle_at: int = -1
    """When a call to it last ended and left a connection; -1 where none is kept."""
    outage_at: int = -1
    """When the signs of an outage were seen; -1 while there are none."""
    back_at: int = -1
    """When the first call succeeded after the outage; -1 while it lasts."""
    failed_at: int = -1
    """When a call to it last failed."""
    well_at: int = -1
    """When a call to it last succeeded."""
    spread: float = 1.0
    """How many turns after the last call the next may go while it is cold."""
    calls: list[Call] = field(default_factory=list)
    """Those out."""


@dataclass(slots=True)
class Place:
    """What shares a limit, a wait and a pace: a destination, or one route where routes
    are apart.
    """

    destination: int
    window: float
    mean: float = 0.0
    """Expected call, in microseconds."""
    seed: float = 0.0
    mean_at: int = -1
    """When it was last learned; -1 before anything was seen."""
    out: int = 0
    wait_until: int = 0
    """End of the wait it told."""
    rest_until: int = 0
    """End of the rest we chose."""
    rest: int = 0
    cut_at: int = -1
    limit: float = 0.0
    left: float = 1.0
    shares: float = 1.0
    """How many even shares of its limit we take."""
    pace_at: int = 0
    """When our share of its limit has room for the next call."""


@dataclass(slots=True, eq=False)
class Call:
    """One call out: messages released in one round to one target."""

    target: Target
    sent_at: int
    idle: int = 0
    """How long the connection that it may have taken had been without use."""
    gap: int = 0
    """How long after the call before to the same target."""
    messages: int = 0
    """Those whose outcome is still owed."""
    joined: int = 0
    judged: bool = False
    passed: int = 0
    """How many calls to the same target that were sent later have been delivered."""
    attempts: list[tuple[str, int]] = field(default_factory=list)
    """All that it was begun with: message and number of the attempt."""


@dataclass(slots=True)
class Attempt:
    message: Message
    call: Call
    number: int
    """Counts all attempts in the order of their sends."""
    recalled: bool = False


@dataclass(slots=True, eq=False)
class Line:
    """The messages of one key, in the order they were taken, and what still blocks the
    key.
    """

    queue: OrderedDict[int, Message] = field(default_factory=OrderedDict)
    """By the number under which they were taken."""
    out: int = 0
    rest_until: int = 0
    owed: int = 0
    """How many have a final answer that is still on its way."""
    offered: Message | None = None
    """The head, while nothing but its destination keeps it from going."""

    def head(self) -> Message:
        """The next message; there must be one."""
        return next(iter(self.queue.values()))

    def in_use(self, now: int) -> bool:
        return bool(self.queue or self.out or self.owed or self.rest_until > now)

    def withdraw(self) -> None:
        """Nothing of it may go for now."""
        if self.offered is not None and self.offered.lane is not None:
            self.offered.lane.ready.remove(self.offered)
        self.offered = None

    def offer(self, head: Message | None) -> None:
        """Its head may go, as far as the key is concerned; None where something blocks
        the key.
        """
        if head is not self.offered:
            self.withdraw()
            if head is not None and head.lane is not None:
                head.lane.ready.add(head)
                self.offered = head


class MessageQueue(SortedList):  # type: ignore[misc]
    """Messages by deadline. Adding, removing and looking up take time logarithmic in
    their number.
    """

    def remove(self, m: Message) -> None:
        """Take out a message; it must be there."""
        if len(self) == 1:
            self.clear()  # the common case where messages are served at once
        else:
            super().remove(m)

    def head(self) -> Message:
        """The first; there must be one."""
        m: Message = self[0]
        return m

    def first(self) -> Message | None:
        return self[0] if self else None

    def first_from(self, place: Deadline | Message) -> Message | None:
        """The first that does not come before a place."""
        first = self.first()
        if first is None or not first < place:
            return first
        return next(self.irange(place), None)

    def first_after(self, place: Deadline | Message) -> Message | None:
        """The first that comes behind a place."""
        first = self.first()
        if first is None or place < first:
            return first
        return next(self.irange(place, inclusive=(False, True)), None)


class LaneKey(NamedTuple):
    """What the messages of one lane have in common."""

    class_id: int
    """The identity of the class object: a lane keeps it alive."""
    over_share: bool
    ran_on: int
    """The target whose scope their keys are bound to; -1 where they may go to any."""
    untried: bool
    """A process before took them on, and they have had no attempt."""
    kept: bool
    """They do not give way before a part of their time."""
    keyed: bool
    spent: bool
    """They may not be sent again."""


@dataclass(slots=True, eq=False)
class Lane:
    """Held messages of one destination for which every rule gives the same figure, up
    to their deadline.
    """

    destination: int
    cls: MessageClass
    key: LaneKey
    fades_after_us: float
    """From when its time began until a message has lost so much of its worth that it
    may give way.
    """
    kept_us: int | None
    """It does not give way until so long before its deadline; None where that does not
    bind.
    """
    held: MessageQueue = field(default_factory=MessageQueue)
    ready: MessageQueue = field(init=False)
    """Those whose turn it is; the same queue as `held` where messages wait for no
    others.
    """

    def __post_init__(self) -> None:
        self.ready = MessageQueue() if self.key.keyed or self.key.spent else self.held

    def queues_with(self, m: Message) -> list[MessageQueue]:
        """Those of its queues in which one of its messages is."""
        apart = self.ready is not self.held and m in self.ready
        return [self.held, self.ready] if apart else [self.held]

    def fades_at(self, due: int) -> float:
        """When a message of a given deadline may give way. It never does before its
        deadline if untried.
        """
        if self.key.untried:
            return due
        kept_until = 0 if self.kept_us is None else due - self.kept_us
        return max(due - self.cls.deadline_us + self.fades_after_us, kept_until)

    def next_ready(
        self, starts: Sequence[Deadline | Message], ends: Sequence[Deadline]
    ) -> Message | None:
        """The first ready message behind one place and not behind another: each is
        given for destinations up to 0 and for those above.
        """
        m = self.ready.first_after(starts[self.destination > 0])
        return None if m is None or ends[self.destination > 0] < m else m

    def first_younger(self, now: int, age_us: int) -> Message | None:
        """The first message of whose time at most so much has passed."""
        return self.held.first_from(Deadline(now + self.cls.deadline_us - age_us, -1))

    def first_fresh(self, now: int) -> Message | None:
        """The first message that may not give way yet. There must be messages."""
        first, last = self.held[0], self.held[-1]
        if self.fades_at(first.due) > now:
            return self.held.head()
        dues = range(first.due, last.due + 1)
        due = first.due + bisect_left(
            dues, True, key=lambda due: self.fades_at(due) > now
        )
        return self.held.first_from(Deadline(due, -1))


@dataclass(slots=True, eq=False)
class Pile:
    """The held messages of one destination."""

    lanes: dict[LaneKey, Lane] = field(default_factory=dict)
    spare: dict[LaneKey, Lane] = field(default_factory=dict)
    """Lanes that are empty, to be filled again."""
    size: int = 0

    def __len__(self) -> int:
        return self.size

    def values(self) -> Iterator[Message]:
        """All messages, by lane and in each by deadline."""
        for lane in self.lanes.values():
            yield from lane.held


@dataclass(slots=True)
class Held:
    """The messages held, by destination. Neither empty piles nor empty lanes stay."""

    piles: dict[int, Pile] = field(default_factory=dict)
    spare: dict[int, Pile] = field(default_factory=dict)
    """Piles that are empty, to be filled again: where messages are served at once, each
    fills one.
    """
    by_size: dict[int, set[int]] = field(default_factory=dict)
    """The destinations of large piles by the number of their messages."""
    largest_size: int = 0
    """The greatest number in `by_size`; 0 where there is none."""
    demands: dict[int, Counter[Demand]] | None = None
    """By destination, how many are held for each class and tenant; None until it is
    asked for.
    """

    def demand(self) -> dict[int, Counter[Demand]]:
        """How many are held, by destination and by whose demand they are: counted whole
        when that is first asked for, and kept from then on.
        """
        if self.demands is None:
            self.demands = {
                destination: Counter(m.demand for m in pile.values())
                for destination, pile in self.piles.items()
            }
        return self.demands

    def count_demand(self, m: Message, change: int) -> None:
        """Book that a message is held from now on, or no more."""
        assert self.demands is not None
        counts = self.demands.setdefault(m.destination, Counter())
        counts[m.demand] += change
        if not counts[m.demand]:
            del counts[m.demand]
        if not counts:
            del self.demands[m.destination]

    def largest(self) -> int:
        """The destination with the largest pile, of equal ones the last by number.
        There must be one.
        """
        if self.largest_size:
            return max(self.by_size[self.largest_size])
        return max(
            self.piles,
            key=lambda destination: (self.piles[destination].size, destination),
        )

    def resize(self, destination: int, size: int, change: int) -> None:
        """Book that a pile which had `size` messages has one more or less."""
        changed = size + change
        if size in self.by_size:
            self.by_size[size].discard(destination)
            if not self.by_size[size]:
                del self.by_size[size]
        if changed >= LARGE_PILE:
            self.by_size.setdefault(changed, set()).add(destination)
        if changed > self.largest_size or (
            size == self.largest_size and size not in self.by_size
        ):
            self.largest_size = changed if changed >= LARGE_PILE else 0

    def add(
        self, m: Message, key: LaneKey, make: Callable[[Message, LaneKey], Lane]
    ) -> None:
        """Hold a message in the lane of a key; where there is none, one is made."""
        pile = self.piles.get(m.destination)
        if pile is None:
            pile = self.spare.pop(m.destination, None)
            pile = self.piles[m.destination] = Pile() if pile is None else pile
        lane = pile.lanes.get(key)
        if lane is None:
            spare = pile.spare.pop(key, None)
            lane = pile.lanes[key] = make(m, key) if spare is None else spare
        pile.size += 1
        if pile.size >= LARGE_PILE:
            self.resize(m.destination, pile.size - 1, 1)
        lane.held.add(m)
        m.lane = lane
        if self.demands is not None:
            self.count_demand(m, 1)

    def remove(self, m: Message) -> None:
        """Take a message out of its lane, if it is held. It is not offered by its line
        any more.
        """
        lane = m.lane
        if lane is None:
            return
        lane.held.remove(m)
        m.lane = None
        if self.demands is not None:
            self.count_demand(m, -1)
        pile = self.piles[lane.destination]
        pile.size -= 1
        if pile.size + 1 >= LARGE_PILE:
            self.resize(lane.destination, pile.size + 1, -1)
        if not lane.held:
            del pile.lanes[lane.key]
            if len(pile.spare) < MOST_SPARE_LANES:
                pile.spare[lane.key] = lane
        if not pile.size:
            del self.piles[lane.destination]
            if len(self.spare) < MOST_SPARE_PILES:
                self.spare[lane.destination] = pile

    def forget_spare(self) -> None:
        """Let the empty piles and lanes go."""
        self.spare.clear()
        for pile in self.piles.values():
            pile.spare.clear()


@dataclass(slots=True)
class Wakes:
    """Names, each with a time at which to look at it, earliest first. One may stand
    there several times.
    """

    entries: list[tuple[int, str]] = field(default_factory=list)

    def add(self, at: int, name: str) -> None:
        heappush(self.entries, (at, name))

    def due(self, now: int) -> list[str]:
        """Take off the names whose time has come."""
        found: list[str] = []
        while self.entries and self.entries[0][0] <= now:
            found.append(heappop(self.entries)[1])
        return found


@dataclass(slots=True)
class Agenda:
    """When to look at which destination again, earliest first."""

    entries: list[tuple[int, int]] = field(default_factory=list)
    earliest: dict[int, int] = field(default_factory=dict)

    def add(self, at: int, destination: int) -> None:
        """Look at a destination at a given time, if not sooner."""
        if destination not in self.earliest or at < self.earliest[destination]:
            self.earliest[destination] = at
            heappush(self.entries, (at, destination))

    def due(self, now: int) -> set[int]:
        """Take off and return the destinations whose time has come."""
        found: set[int] = set()
        while self.entries and self.entries[0][0] <= now:
            _, destination = heappop(self.entries)
            self.earliest.pop(destination, None)
            found.add(destination)
        return found
