"""Plain records of what one dispatcher has observed. Nothing here makes decisions."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from rainfall.dispatch import MessageClass

# Fields of each record that a snapshot contains; the others are in the journal or are computed
# again.
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


def kept(record: object, names: Iterable[str]) -> dict[str, Any]:
    return {name: getattr(record, name) for name in names}


def learn(record: object, known: Mapping[str, Any], names: Iterable[str]) -> None:
    for name in names:
        if name in known:
            setattr(record, name, known[name])


@dataclass(slots=True)
class Message:
    id: str
    destination: int
    cls: MessageClass
    due: int
    arrived: int
    number: int
    key: str | None
    over_share: bool
    most: int
    """Maximum attempts that applied when it was accepted."""
    attempts: int = 0
    out: int = 0
    ran_at: int = -1
    """When the first attempt that may have been executed was sent; -1 if there is none."""
    ran_on: int = -1
    """The endpoint of that attempt."""
    waited: int = 0
    """Duration of the last attempt that timed out."""
    avoid: int = -1
    """The endpoint of its last failed attempt."""
    keep_until: int = 0
    """Not dropped in favour of newer messages before this time, unless it may have been executed."""
    before: bool = False
    """Whether a previous process accepted it."""


@dataclass(slots=True)
class Target:
    id: int
    destination: int
    zone: str
    weight: float
    place: Place
    kind: str = ""
    batch: int = 1
    """Maximum messages per call."""
    apart: bool = False
    """Whether limits apply to this endpoint alone rather than to its destination."""
    serving: bool = True
    out: int = 0
    failing: float = 0.0
    """Decayed share of failed calls."""
    tried_at: int = -(1 << 40)
    idle_at: int = -1
    """When a call to it last ended and left a connection; -1 if there is none."""
    outage_at: int = -1
    """When an outage was detected; -1 if there is none."""
    back_at: int = -1
    """When the first call succeeded after the outage; -1 while it lasts."""
    failed_at: int = -1
    """When a call to it last failed."""
    well_at: int = -1
    """When a call to it last succeeded."""
    spread: float = 1.0
    """Turns between the last call and the next one while it is cold."""


@dataclass(slots=True)
class Place:
    """The scope of a limit, a retry-after and a pace: a destination, or one endpoint if its
    limits apply to it alone.
    """

    destination: int
    window: float
    mean: float = 0.0
    """Expected call duration in microseconds."""
    seed: float = 0.0
    mean_at: int = -1
    """When `mean` was last updated; -1 before the first call."""
    out: int = 0
    wait_until: int = 0
    """End of the reported retry-after."""
    rest_until: int = 0
    """End of the backoff chosen by this forwarder."""
    rest: int = 0
    cut_at: int = -1
    limit: float = 0.0
    left: float = 1.0
    shares: float = 1.0
    """Number of even shares of its limit that this forwarder uses."""
    pace_at: int = 0
    """When this forwarder's share of the limit permits the next call."""


@dataclass(slots=True)
class Call:
    """One call in flight: messages sent in one round to one endpoint."""

    target: Target
    sent_at: int
    idle: int = 0
    """How long the connection that it may have used had been idle."""
    gap: int = 0
    """Time since the previous call to the same endpoint."""
    messages: int = 0
    """Number of messages without an outcome."""
    joined: int = 0
    judged: bool = False
    passed: int = 0
    """Number of later calls to the same endpoint that have been delivered."""


@dataclass(slots=True)
class Attempt:
    message: Message
    call: Call
    recalled: bool = False


@dataclass(slots=True)
class Line:
    """The messages of one ordering key, in order of acceptance, and what blocks the key."""

    queue: deque[Message] = field(default_factory=deque)
    out: int = 0
    rest_until: int = 0
    owed: set[str] = field(default_factory=set)
    """Messages whose final answer is not acknowledged yet."""


@dataclass(slots=True)
class Held:
    """The queued messages, by destination and by number of acceptance."""

    piles: dict[int, dict[int, Message]] = field(default_factory=dict)

    def add(self, m: Message) -> None:
        self.piles.setdefault(m.destination, {})[m.number] = m

    def remove(self, m: Message) -> None:
        pile = self.piles.get(m.destination, {})
        pile.pop(m.number, None)
        if not pile:
            self.piles.pop(m.destination, None)


@dataclass(slots=True)
class Agenda:
    """Times of the next check of each destination, earliest first."""

    entries: list[tuple[int, int]] = field(default_factory=list)
    earliest: dict[int, int] = field(default_factory=dict)

    def add(self, at: int, destination: int) -> None:
        """Schedules a check of a destination, unless an earlier one is scheduled."""
        if destination not in self.earliest or at < self.earliest[destination]:
            self.earliest[destination] = at
            heappush(self.entries, (at, destination))

    def due(self, now: int) -> set[int]:
        """Removes and returns the destinations whose check is due."""
        found: set[int] = set()
        while self.entries and self.entries[0][0] <= now:
            _, destination = heappop(self.entries)
            self.earliest.pop(destination, None)
            found.add(destination)
        return found
