"""Settings: message classes, destination kinds, tenants, limits and costs.

Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

UNLIMITED = 1_000_000
"""Default of limits on counts; larger than any count in a forwarder."""


class Idempotency(Enum):
    """Whether a message of a class may be executed more than once."""

    ALWAYS = "repeatable"
    """A second execution does no harm."""
    WITH_KEY = "keyed"
    """Endpoints recognize repeated attempts by key, within the idempotency window."""
    AT_MOST_ONCE = "once"
    """A second execution does harm, and endpoints do not recognize it."""


class IdempotencyScope(Enum):
    """Which endpoints of a destination recognize an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    ENDPOINT = "target"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """Properties shared by all messages of one class.

    A new field needs a default, a hashable type, and an entry in each of these places:

    - `_class_requirements`, if its value is restricted;
    - `_parse_class` in `wirehost.py`;
    - `KNOWN_KEYS` in `forwarder/config/validation.py`, and `POSITIVE_KEYS` if it must
      be above 0;
    - `OPTIONAL_KEYS` in `forwarder/config/loading.py`;
    - `CLASS_KEYS` in `journal/records.py`, and `_decode_class` if JSON lacks its type.

    `CLASS_KEYS` determines the format on disk: entries may only be appended, and a
    field without an entry is lost on restart. `snapshot.py` contains no classes.
    """

    name: str
    latency_objective_us: int
    """Time after acceptance up to which a message has its full weight."""
    deadline_us: int
    """Time after acceptance by which a message must have its final answer."""
    idempotency: Idempotency = Idempotency.ALWAYS
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_us: int = 0
    """How long an endpoint recognizes a key after the first call with that key."""
    ordered: bool = False
    """Whether messages with the same ordering key are sent one at a time, in order."""
    priority_weight: float = 1.0
    """Weight of a message. Not used by any rule yet."""
    late_priority_weight: float = 0.0
    """Fraction of the weight that remains at the deadline."""


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """Properties shared by all destinations of one kind."""

    name: str
    max_batch_size: int = 1
    """Maximum number of messages in one call."""
    endpoint_scoped: bool = False
    """Whether each endpoint has its own rate limit, Retry-After and outages."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A client organization with a quota of the fleet's throughput."""

    name: str
    quota_per_s: float
    """Messages per second over all forwarders; 0 for no quota."""


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings under the operators' control."""

    max_in_flight: int
    """Maximum number of calls in flight."""
    classes: tuple[MessageClass, ...]
    destination_kinds: tuple[DestinationKind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    zone_costs: Mapping[str, float] = field(default_factory=dict)
    """Cost of a message by the zone of its endpoint, for endpoint-scoped kinds."""
    forwarder_count: int = 1
    """Number of forwarders that share the rate limits and the tenants' quotas."""
    max_open_messages: int = UNLIMITED
    """Maximum number of messages without a final answer."""
    max_attempts: int = UNLIMITED
    """Maximum number of attempts per message."""
    allow_parallel_attempts: bool = False
    """Whether hedged requests are allowed. Not used: no rule makes them yet."""
    allow_cancel: bool = False
    """Whether attempts in flight may be canceled."""
    allow_health_checks: bool = False
    """Whether health checks are allowed. Not used: no rule makes them yet."""
    send_retry_after: bool = False
    """Whether rejected clients get a Retry-After."""
    max_retry_after_us: int = 0
    """Upper bound of the Retry-After sent to clients."""
    subscribe_endpoint_list: bool = False
    """Whether the dispatcher must request the endpoint list; otherwise it is pushed."""
    endpoint_weights_known: bool = False
    """Whether the weights in the endpoint list are rate limits in calls per second."""
    rejection_cost: float = 0.0
    """Cost of a call that a destination rejects. Not used by any rule yet."""
    over_quota_weight: float = 1.0
    """Weight of a message over its tenant's quota, as a fraction. At 1 or above, tenant
    quotas are not applied.
    """
    late_weight_halves: bool = False
    """Whether the weight of a message past its latency objective halves with each
    further objective; otherwise it falls linearly until the deadline.
    """
    answer_grace_us: int = 0
    """Tolerated delay of final answers past the deadline. Not used: answers are given
    by the deadline.
    """
    drain_grace_us: int = 0
    """Time during which sends to a draining endpoint are tolerated. Not used: sends
    stop at once.
    """
    poll_within_us: int = 0
    """Time within which the endpoint list must be requested. Not used: it is requested
    at once.
    """
    overload_factor: float = 0.0
    """Tolerated load of a recovering destination, relative to its present capacity."""
    overload_window_us: int = 0
    """Length of the window over which calls to a recovering destination are counted."""
    cold_capacity_share: float = 1.0
    """Fraction of its full capacity that a destination has right after an outage."""
    warm_up_us: int = 0
    """Time that a destination needs after an outage to reach its full capacity."""
    key_backoff_us: int = 0
    """How long the next message of an ordering key waits after an attempt of the
    previous one that may still run.
    """
    connect_timeout_us: int = 0
    """Time limit for opening a connection. Used by the forwarder, not by any rule."""
    idle_connection_us: int = 0
    """Idle time after which connections are closed; 0 if no idle connections are kept
    or the time is unknown.
    """
    notifications_acknowledged: bool = False
    """Whether final answers are acknowledged, as their delivery may take a while: the
    next message of an ordering key then waits for `NotificationAcknowledged`.
    """

    def __post_init__(self) -> None:
        for valid, name in self._requirements():
            if not valid:
                raise ValueError(f"setting cannot hold: {name}")

    def _requirements(self) -> Iterator[tuple[bool, str]]:
        """Yield whether each requirement is met, with the setting's name for the error.

        The names `warm_us` and `scope` stand for `warm_after_us` and `key_scope` on the
        wire.
        """
        yield self.max_in_flight >= 1, "slots"
        yield self.forwarder_count >= 1, "balancers"
        yield self.max_open_messages >= 1, "max_open"
        yield self.max_attempts >= 1, "max_attempts"
        yield self.overload_window_us >= 0, "fall_us"
        yield self.warm_up_us >= 0, "warm_us"
        yield self.key_backoff_us >= 0, "key_rest_us"
        yield 0.0 <= self.cold_capacity_share <= 1.0, "cold_from"
        names = {c.name for c in self.classes}
        yield len(names) == len(self.classes), "classes: duplicate name"
        for message_class in self.classes:
            yield from _class_requirements(message_class)
        for kind in self.destination_kinds:
            yield kind.max_batch_size >= 1, f"kinds {kind.name}: batch"
        for tenant in self.tenants:
            yield tenant.quota_per_s >= 0, f"tenants {tenant.name}: allowance_per_s"


def _class_requirements(message_class: MessageClass) -> Iterator[tuple[bool, str]]:
    prefix = f"classes {message_class.name}"
    with_key = message_class.idempotency is Idempotency.WITH_KEY
    yield message_class.latency_objective_us > 0, f"{prefix}: aim_us"
    yield message_class.deadline_us > 0, f"{prefix}: deadline_us"
    yield isinstance(message_class.idempotency, Idempotency), f"{prefix}: effect"
    yield (
        isinstance(message_class.idempotency_scope, IdempotencyScope),
        f"{prefix}: scope",
    )
    yield (
        not with_key or message_class.idempotency_window_us >= 0,
        f"{prefix}: window_us",
    )
