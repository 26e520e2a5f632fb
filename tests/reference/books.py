"""The state of one dispatcher, and queries on it that the decisions use. Nothing here draws
random numbers or emits actions.
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
NEVER = 1 << 62  # us; a time for sends that only an event can permit
FORGET_US = 30 * SECOND  # state of idle destinations is discarded after this
LOOK_US = 40_000  # least time between two checks of a destination without events
# forwarders; with more of them, simultaneous actions on shared endpoints add up: connections,
# calls after a recovery
FEW = 8
# D_multiplier of the paper: a class's latency objective counts as this many expected calls;
# one of them is the seed of the estimate
AIM_PER_CALL = 10
EASE_US = (
    2 * SECOND
)  # half-life with which an expected call decays to its seed while no call is in flight
SHARE_START = (
    1.0  # initial even shares of a limit that a forwarder uses in a very large fleet
)
# divided by the number of forwarders: relative surplus of the shares, as in a small fleet
# each forwarder learns more about the limit
SHARE_ROOM = 3.0
IDLE_LEAST_US = 200_000  # a connection that is unused for longer counts as idle
# how long a process may be held up between reading its clock and writing a retry
WIRE_US = 150_000


@dataclass(slots=True, eq=False, repr=False)
class Books:
    """State of one dispatcher. Times are integer microseconds of the caller's clock; `now` is
    the time of the round.
    """

    now: int
    random: Random
    s: Settings
    # Derived from the settings
    classes: dict[str, MessageClass] = field(init=False)
    kinds: dict[str, DestinationKind] = field(init=False)
    tenants: dict[str, Tenant] = field(init=False)
    least_time: int = field(init=False)
    room: float = field(init=False)
    apart: float = field(init=False)
    """Relative jitter of the interval between calls, so that forwarders that start together
    do not stay in step.
    """
    idle_top: int = field(init=False)
    # Endpoints (targets)
    targets: dict[int, Target] = field(default_factory=dict)
    by_destination: dict[int, list[Target]] = field(default_factory=dict)
    """Endpoints that serve according to the list and are not disabled by an operator."""
    places: dict[tuple[int, int], Place] = field(default_factory=dict)
    detached: set[int] = field(default_factory=set)
    # Messages
    messages: dict[str, Message] = field(default_factory=dict)
    held: Held = field(default_factory=Held)
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    lines: dict[str, Line] = field(default_factory=dict)
    owed: dict[str, str] = field(default_factory=dict)
    """Ordering key of each message whose final answer is not acknowledged yet."""
    purses: dict[str, int] = field(default_factory=dict)
    shares: dict[int, Quota] = field(default_factory=dict)
    """Quotas by destination, for destinations that have one."""
    taken: int = 0
    cleared_at: int = field(init=False)
    shed_at: int = field(init=False)
    # Calls
    calls_out: int = 0
    idle_us: int = field(init=False)
    """Idle time after which a connection is closed rather than used."""
    jammed: bool = False
    agenda: Agenda = field(default_factory=Agenda)
    armed: int = -1
    # Current round
    absorbed: int = 0
    actions: list[Action] = field(default_factory=list)
    looks: set[int] = field(default_factory=set)
    """Destinations to check in this round."""
    came_back: list[Call] = field(default_factory=list)
    round_calls: dict[int, Call] = field(default_factory=dict)
    usual: dict[tuple[int, int], float] = field(default_factory=dict)
    """Cache of `soonest`; valid until the next event or send."""

    def __post_init__(self) -> None:
        self.adopt(self.s)
        self.idle_us = self.idle_top
        self.cleared_at, self.shed_at = self.now, self.now - FORGET_US

    def adopt(self, settings: Settings) -> None:
        """Applies settings and recomputes derived values. A message that is already accepted
        keeps its class settings.
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
        """Returns the serving endpoints of the destination within the idempotency scope."""
        targets = self.by_destination.get(m.destination, [])
        if (
            m.ran_at < 0
            or m.cls.idempotency is not Idempotency.WITH_KEY
            or m.cls.idempotency_scope is IdempotencyScope.ALL
        ):
            return targets
        first = self.targets.get(
            m.ran_on
        )  # from before a restart; it may have been removed
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
        """Rule 2: returns whether another attempt is allowed."""
        free = m.ran_at < 0 or self.now < self.repeat_by(m)
        return free and m.attempts < min(m.most, self.s.max_attempts)

    def repeat_by(self, m: Message, sent_at: int = -NEVER) -> int:
        """Returns the time until which a message can be retried once it may have been executed,
        either already or by a call sent at `sent_at`. The endpoint's idempotency window starts
        when the first call arrives, which is no earlier than that call was sent.
        """
        if m.cls.idempotency is not Idempotency.WITH_KEY:
            return NEVER if m.cls.idempotency is Idempotency.ALWAYS else -NEVER
        return (
            (m.ran_at if m.ran_at >= 0 else sent_at)
            + m.cls.idempotency_window_us
            - WIRE_US
        )

    def expected(self, place: Place, cls: MessageClass) -> float:
        """Returns the expected call duration in microseconds: a decayed mean, seeded from the
        class's latency objective, that decays to the seed while no call is in flight.
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
        """Returns the shortest expected call among the message's endpoints. The result is cached
        for messages with the same endpoints.
        """
        usable = self.usable(m)
        if usable is not self.by_destination.get(m.destination):
            return min((self.expected(t.place, m.cls) for t in usable), default=0.0)
        whose = (
            m.destination,
            m.cls.latency_objective_us,
        )  # two classes of one name may have open messages, one from before a SIGHUP
        known = self.usual.get(whose)
        if known is None:
            known = min((self.expected(t.place, m.cls) for t in usable), default=0.0)
            self.usual[whose] = known
        return known

    def drop_at(self, m: Message) -> int:
        """Returns when the message's remaining time falls below its shortest expected call."""
        return m.due - max(int(self.soonest(m)), LOOK_US)
