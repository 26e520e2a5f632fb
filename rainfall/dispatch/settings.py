"""Settings: message classes, destination kinds, tenants, limits and costs.

Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

UNLIMITED = 1_000_000
"""A count that no forwarder reaches."""


class Idempotency(Enum):
    """Whether a message of a class may be executed more than once."""

    ALWAYS = "repeatable"
    """A second execution does no harm."""
    WITH_KEY = "keyed"
    """An endpoint recognizes a further attempt within the idempotency window."""
    AT_MOST_ONCE = "once"


class IdempotencyScope(Enum):
    """Which endpoints of a destination recognize an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    ENDPOINT = "target"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """What all messages of one class have in common.

    A new field needs a default, a hashable type, and a line in each of these:
    `_class_requirements` where it has bounds; `wirehost.py:_parse_class`; `KNOWN_KEYS`
    of `forwarder/config/validation.py` (`POSITIVE_KEYS` where it must be above 0) and
    `OPTIONAL_KEYS` of `forwarder/config/loading.py`; `CLASS_KEYS` of
    `journal/records.py`, with `_decode_class` where JSON has no such type. `CLASS_KEYS`
    is on disk: it is only ever appended to, and without a line there a restart forgets
    the field. `snapshot.py` has no classes.
    """

    name: str
    latency_objective_us: int
    """A message answered within this time has its full weight."""
    deadline_us: int
    """The time after which a message has to have its final answer."""
    idempotency: Idempotency = Idempotency.ALWAYS
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_us: int = 0
    """How long an endpoint recognizes a key, from its first call with it."""
    ordered: bool = False
    """Messages with the same ordering key go one after the other."""
    priority_weight: float = 1.0
    """What a message counts. No rule reads it yet."""
    late_priority_weight: float = 0.0
    """What is left of the weight at the deadline, as a share."""


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """What all destinations of one kind have in common."""

    name: str
    max_batch_size: int = 1
    """Messages in one call."""
    endpoint_scoped: bool = False
    """Each endpoint has a rate limit, a Retry-After and outages of its own."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A client organization with a share of the fleet."""

    name: str
    quota_per_s: float
    """Messages a second within its share, summed over all forwarders."""


@dataclass(frozen=True, slots=True)
class Settings:
    """All that the operators decide."""

    max_in_flight: int
    """Calls in flight at a time."""
    classes: tuple[MessageClass, ...]
    destination_kinds: tuple[DestinationKind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    zone_costs: Mapping[str, float] = field(default_factory=dict)
    """Cost of a message by the zone of the endpoint, where kinds are endpoint-scoped."""
    forwarder_count: int = 1
    """Forwarders that share the destinations' limits and the tenants' quotas."""
    max_open_messages: int = UNLIMITED
    max_attempts: int = UNLIMITED
    allow_parallel_attempts: bool = False
    """No rule makes hedged requests yet."""
    allow_cancel: bool = False
    allow_health_checks: bool = False
    """No rule makes health checks yet."""
    send_retry_after: bool = False
    """Rejected clients get a Retry-After."""
    max_retry_after_us: int = 0
    subscribe_endpoint_list: bool = False
    """The endpoint list must be asked for; otherwise it is pushed."""
    endpoint_weights_known: bool = False
    """The weights in the endpoint list are rate limits, in calls a second."""
    rejection_cost: float = 0.0
    """Cost of a call that a destination rejects. No rule reads it yet."""
    over_quota_weight: float = 1.0
    """Weight of messages beyond their tenant's quota, as a share."""
    late_weight_halves: bool = False
    """Past its objective a message's weight halves with each further objective; else it
    falls evenly until the deadline.
    """
    answer_grace_us: int = 0
    """Slack for final answers. No rule uses it: answers are given in time."""
    drain_grace_us: int = 0
    """Slack for sends to a draining endpoint. No rule uses it: they stop at once."""
    poll_within_us: int = 0
    """Time in which the list must be asked for. No rule reads it: it is asked at once."""
    overload_factor: float = 0.0
    """A recovering destination bears this many times its present capacity."""
    overload_window_us: int = 0
    """The window over which calls to a recovering destination are counted."""
    cold_capacity_share: float = 1.0
    """Capacity of a destination right after an outage, as a share."""
    warm_up_us: int = 0
    """How long a destination needs from there to its full capacity."""
    key_backoff_us: int = 0
    """After an attempt that may still run, the next message of its key waits this long."""
    connect_timeout_us: int = 0
    idle_connection_us: int = 0
    """Idle connections are closed after this; 0 where none are kept or it is not
    known.
    """
    notifications_acknowledged: bool = False
    """A final answer ends its message only once `NotificationAcknowledged` says so: it
    may be on its way for a while.
    """

    def __post_init__(self) -> None:
        for holds, name in self._requirements():
            if not holds:
                raise ValueError(f"setting cannot hold: {name}")

    def _requirements(self) -> Iterator[tuple[bool, str]]:
        """Each requirement, and the name that its error gives the setting.

        `warm_us` and `scope` are `warm_after_us` and `key_scope` on the wire.
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
        yield len(names) == len(self.classes), "classes: a name twice"
        for message_class in self.classes:
            yield from _class_requirements(message_class)
        for kind in self.destination_kinds:
            yield kind.max_batch_size >= 1, f"kinds {kind.name}: batch"
        for tenant in self.tenants:
            yield tenant.quota_per_s >= 0, f"tenants {tenant.name}: allowance_per_s"


def _class_requirements(c: MessageClass) -> Iterator[tuple[bool, str]]:
    where = f"classes {c.name}"
    with_key = c.idempotency is Idempotency.WITH_KEY
    yield c.latency_objective_us > 0, f"{where}: aim_us"
    yield c.deadline_us > 0, f"{where}: deadline_us"
    yield isinstance(c.idempotency, Idempotency), f"{where}: effect"
    yield isinstance(c.idempotency_scope, IdempotencyScope), f"{where}: scope"
    yield not with_key or c.idempotency_window_us >= 0, f"{where}: window_us"
