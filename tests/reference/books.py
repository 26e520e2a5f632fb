"""What one dispatcher knows, and the plain questions that its decisions ask of it.
Never draws or acts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from rainfall.dispatch import (
    Action,
    DestinationKind,
    Idempotency,
    IdempotencyScope,
    MessageClass,
    Settings,
    Tenant,
)
from rainfall.dispatch.quota import Quota
from tests.reference.state import (
    Agenda,
    Attempt,
    Call,
    Held,
    Line,
    Message,
    Place,
    Target,
)

SECOND = 1_000_000  # us
NEVER = 1 << 62  # us; a gate that only an event can open
FORGET_US = 30 * SECOND  # idle destinations are forgotten after this
LOOK_US = 40_000  # least time between two looks at a destination where nothing happened
# forwarders; where more share the targets, what all do at once adds up: connections,
# returns
FEW = 8
# D_multiplier of the paper: a class's aim is taken for this many usual calls (the seed)
AIM_PER_CALL = 10
EASE_US = (
    2 * SECOND
)  # half-life by which an expected call eases back to its seed while nothing is out
SHARE_START = 1.0  # even shares of a limit that each of very many takes at first
# over the number of forwarders: so many times more where few tell each more of the
# limit
SHARE_ROOM = 3.0
IDLE_LEAST_US = 200_000  # a connection without use for longer counts as idle
# what the protocol grants each limit on sockets: a repeat may be on its way for so long
WIRE_US = 50_000


@dataclass(slots=True, eq=False, repr=False)
class Books:
    """Times are integer microseconds of the caller's clock; `now` is that of the
    round.
    """

    now: int
    random: Random
    s: Settings
    # What follows from the settings
    classes: dict[str, MessageClass] = field(init=False)
    kinds: dict[str, DestinationKind] = field(init=False)
    tenants: dict[str, Tenant] = field(init=False)
    least_time: int = field(init=False)
    room: float = field(init=False)
    apart: float = field(init=False)
    """How much of a pace is left to chance: many that begin at once must not meet again
    and again.
    """
    idle_top: int = field(init=False)
    # The targets
    targets: dict[int, Target] = field(default_factory=dict)
    by_destination: dict[int, list[Target]] = field(default_factory=dict)
    """Those that serve by the list and by the operators' word."""
    places: dict[tuple[int, int], Place] = field(default_factory=dict)
    detached: set[int] = field(default_factory=set)
    # The messages
    messages: dict[str, Message] = field(default_factory=dict)
    held: Held = field(default_factory=Held)
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    lines: dict[str, Line] = field(default_factory=dict)
    owed: dict[str, str] = field(default_factory=dict)
    """The order key of each message whose final answer is still on its way."""
    purses: dict[str, int] = field(default_factory=dict)
    shares: dict[int, Quota] = field(default_factory=dict)
    """By destination, where one was told."""
    taken: int = 0
    cleared_at: int = field(init=False)
    shed_at: int = field(init=False)
    # The calls
    calls_out: int = 0
    idle_us: int = field(init=False)
    """How long an idle connection is trusted."""
    jammed: bool = False
    agenda: Agenda = field(default_factory=Agenda)
    armed: int = -1
    # The round
    absorbed: int = 0
    actions: list[Action] = field(default_factory=list)
    looks: set[int] = field(default_factory=set)
    """The destinations to look at."""
    came_back: list[Call] = field(default_factory=list)
    round_calls: dict[int, Call] = field(default_factory=dict)
    usual: dict[tuple[int, int], float] = field(default_factory=dict)
    """What `soonest` worked out; holds until the next event or send."""

    def __post_init__(self) -> None:
        self.adopt(self.s)
        self.idle_us = self.idle_top
        self.cleared_at, self.shed_at = self.now, self.now - FORGET_US

    def adopt(self, settings: Settings) -> None:
        """Settings and all that follows from them. What a message was taken on under
        stays with it.
        """
        self.s = settings
        self.classes = {c.name: c for c in settings.classes}
        self.least_time = min((c.deadline_us for c in settings.classes), default=SECOND)
        self.room = 1 + SHARE_ROOM / settings.forwarder_count
        self.apart = max(0.0, 1 - SHARE_ROOM / settings.forwarder_count)
        self.kinds = {k.name: k for k in settings.destination_kinds}
        self.tenants = {t.name: t for t in settings.tenants}
        self.idle_top = min(
            settings.idle_connection_us,
            IDLE_LEAST_US if settings.forwarder_count > FEW else FORGET_US,
        )

    def place(self, destination: int, target: int, apart: bool) -> Place:
        whose = (destination, target if apart else -1)
        share = min(float(self.s.forwarder_count), SHARE_START * self.room)
        return self.places.setdefault(whose, Place(destination, 1.0, shares=share))

    def usable(self, m: Message) -> list[Target]:
        """Serving targets of the message's destination within its key's scope."""
        targets = self.by_destination.get(m.destination, [])
        if (
            m.ran_at < 0
            or m.cls.idempotency is not Idempotency.WITH_KEY
            or m.cls.idempotency_scope is IdempotencyScope.ALL
        ):
            return targets
        first = self.targets.get(m.ran_on)  # of before a restart, it may be gone
        return [
            t
            for t in targets
            if t is first
            or (
                first
                and m.cls.idempotency_scope is IdempotencyScope.ZONE
                and t.zone == first.zone
            )
        ]

    def may_repeat(self, m: Message) -> bool:
        """Rule 2: whether a further attempt is allowed at all."""
        free = m.ran_at < 0 or self.now < self.repeat_by(m)
        return free and m.attempts < min(m.most, self.s.max_attempts)

    def repeat_by(self, m: Message, sent_at: int = -NEVER) -> int:
        """Until when a message that may have run, or may by a call sent then, can be
        sent again: its target counts a key's window from when the first call came,
        which is no sooner than that was sent.
        """
        if m.cls.idempotency is not Idempotency.WITH_KEY:
            return NEVER if m.cls.idempotency is Idempotency.ALWAYS else -NEVER
        return (
            (m.ran_at if m.ran_at >= 0 else sent_at)
            + m.cls.idempotency_window_us
            - WIRE_US
        )

    def expected(self, place: Place, cls: MessageClass) -> float:
        """The expected call: decayed mean, seeded from the class aim, easing back while
        nothing is out.
        """
        seed = cls.latency_objective_us / AIM_PER_CALL
        if place.mean_at < 0:
            return seed
        if place.out:
            return place.mean
        return float(
            seed + (place.mean - seed) * 0.5 ** ((self.now - place.mean_at) / EASE_US)
        )

    def soonest(self, m: Message) -> float:
        """The shortest expected call among the message's targets; worked out once for
        all that share them.
        """
        usable = self.usable(m)
        if usable is not self.by_destination.get(m.destination):
            return min((self.expected(t.place, m.cls) for t in usable), default=0.0)
        whose = (
            m.destination,
            m.cls.latency_objective_us,
        )  # two classes of one name may be open, one of before a SIGHUP
        known = self.usual.get(whose)
        if known is None:
            known = min((self.expected(t.place, m.cls) for t in usable), default=0.0)
            self.usual[whose] = known
        return known

    def drop_at(self, m: Message) -> int:
        """When the message's time left falls below its shortest expected call."""
        return m.due - max(int(self.soonest(m)), LOOK_US)
