"""The mutable state of one dispatcher. The rules are in the other modules.

Times are integer microseconds of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from rainfall.dispatch.actions import Action
from rainfall.dispatch.endpoints import (
    Attempt,
    AttemptKey,
    Call,
    Endpoint,
    ThrottleScope,
    ThrottleScopeKey,
)
from rainfall.dispatch.key_sequences import KeySequence
from rainfall.dispatch.message_queues import MessageQueues
from rainfall.dispatch.queues import Message
from rainfall.dispatch.quota import Quota
from rainfall.dispatch.schedule import TimerHeap, WakeupSchedule
from rainfall.dispatch.settings import DestinationKind, MessageClass, Settings, Tenant
from rainfall.dispatch.times import SECOND_US

SMALL_FLEET = 8
"""Number of forwarders up to which a fleet counts as small.

In larger fleets, connections and retries that all forwarders make at once add up.
"""
STALE_AFTER_US = 30 * SECOND_US
"""Age after which observations of an idle destination are discarded.

Also the least time between log notes on load shedding, and the upper bound of
`idle_timeout_estimate` in small fleets.
"""
MIN_IDLE_US = 200_000
"""A connection that was unused for longer than this counts as idle."""
SHARE_HEADROOM = 3.0
"""Extra share of a rate limit that forwarders of a small fleet use.

The fewer forwarders share a limit, the more each of them observes of it. With
h = SHARE_HEADROOM / forwarder_count (3 for one forwarder, 1 for three, 0.03 for a
hundred), the initial even shares and each increase of them are multiplied by 1 + h, and
pace intervals are jittered by the fraction 1 - h.
"""


@dataclass(slots=True, eq=False, repr=False)
class DispatcherState:
    """All state of a dispatcher, which the modules with the rules read and modify."""

    now: int
    """Time of the current round."""
    random: Random
    settings: Settings

    # Derived from the settings
    classes: dict[str, MessageClass] = field(init=False)
    destination_kinds: dict[str, DestinationKind] = field(init=False)
    tenants: dict[str, Tenant] = field(init=False)
    shortest_deadline: int = field(init=False)
    """Shortest `deadline_us` of all classes; one second if there are no classes."""
    share_headroom: float = field(init=False)
    """Factor for the initial even shares of a scope and for their increases."""
    pace_jitter: float = field(init=False)
    """Width of the random variation of a pace interval, as a fraction of it."""
    max_idle_timeout_estimate: int = field(init=False)
    """Upper bound of `idle_timeout_estimate`."""

    # Endpoints
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    """By id. Includes removed endpoints, up to `MAX_REMOVED_ENDPOINTS`."""
    serving_endpoints: dict[int, list[Endpoint]] = field(default_factory=dict)
    """By destination: endpoints that are serving in the endpoint list and not disabled
    by operators.
    """
    throttle_scopes: dict[ThrottleScopeKey, ThrottleScope] = field(default_factory=dict)
    disabled_endpoints: set[int] = field(default_factory=set)
    """Ids of endpoints that operators took out of service."""
    idle_timeout_estimate: int = field(init=False)
    """Estimated idle timeout of the endpoints: a connection that was idle for no longer
    is assumed to be open.
    """

    # Messages
    messages: dict[str, Message] = field(default_factory=dict)
    """All messages without a final answer, by id."""
    queues: MessageQueues = field(default_factory=MessageQueues)
    """Messages that wait to be sent."""
    attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)
    """Attempts in flight."""
    key_sequences: dict[str, KeySequence] = field(default_factory=dict)
    """By ordering key."""
    pending_notifications: dict[str, str] = field(default_factory=dict)
    """Ordering keys of messages with an unacknowledged final answer, by message id."""
    tenant_quota_used_until: dict[str, int] = field(default_factory=dict)
    """By tenant: the time up to which its quota is used up (see `take_permit`)."""
    quotas: dict[int, Quota] = field(default_factory=dict)
    """By destination; destinations without a quota are absent."""
    last_sequence_number: int = 0
    """The number that `next_sequence_number` returned last."""
    newest_message_number: int = 0
    """Sequence number of the most recently accepted message."""
    newly_accepted: list[Message] = field(default_factory=list)
    """Messages accepted at time `now`. Load shedding treats all rounds at the same time
    as one.
    """
    interned_classes: dict[MessageClass, MessageClass] = field(default_factory=dict)
    """Maps equal classes to one object, as class queues compare them by identity."""
    key_sequences_pruned_at: int = field(init=False)
    shedding_logged_at: int = field(init=False)
    """When a note on load shedding was last logged."""

    # Calls
    calls_in_flight: int = 0
    send_count: int = 0
    """Attempts sent so far."""
    overtaken_attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)
    """Attempts in flight whose call was overtaken by at least `OVERTAKEN_THRESHOLD`
    later ones.
    """
    saturated: bool = False
    """Whether `max_in_flight` calls were in flight at the end of the last round."""
    possibly_available: set[int] = field(default_factory=set)
    """Destinations that may have capacity for a call, not counting the limit on all
    calls in flight. Contains every destination that has capacity, and possibly others.
    """
    availability_times: WakeupSchedule = field(default_factory=WakeupSchedule)
    """When destinations without capacity may have capacity again."""
    wakeups: WakeupSchedule = field(default_factory=WakeupSchedule)
    """When to process destinations again even without an event.

    The key `ENDPOINT_LIST_POLL` (-1) is not a destination: its entry is the time at
    which polling of the endpoint list starts.
    """
    timer_at: int = -1
    """When the most recently requested timer expires."""

    # Changes due to time alone. Entries may be outdated by the time they are due.
    retry_expirations: TimerHeap = field(default_factory=TimerHeap)
    """When waiting messages can no longer be retried, by message id."""
    key_backoffs: TimerHeap = field(default_factory=TimerHeap)
    """When the backoff of an ordering key ends."""
    idle_keys: TimerHeap = field(default_factory=TimerHeap)
    """When an ordering key without messages can be removed."""
    work_count: int = 0
    """Number of waiting messages, queues, destinations and heap entries visited. Not
    used by any rule; tests use it to bound the work per event.
    """

    # The current round
    events_applied: int = 0
    """Events of the round that were processed, including one that raised."""
    actions: list[Action] = field(default_factory=list)
    dirty_destinations: set[int] = field(default_factory=set)
    """Destinations to process in this round. Also contains `ENDPOINT_LIST_POLL` (-1),
    which is not a destination, if polling of the endpoint list starts in this round.
    """
    finished_calls: list[Call] = field(default_factory=list)
    """Calls that ended in this round."""
    new_calls: dict[int, Call] = field(default_factory=dict)
    """The last call started in this round to each endpoint, by endpoint id."""
    called_destinations: set[int] = field(default_factory=set)
    """Destinations of `new_calls`."""
    latency_cache: dict[tuple[int, int], float] = field(default_factory=dict)
    """Shortest expected latency by destination and latency objective; valid until the
    next event or send.
    """

    def __post_init__(self) -> None:
        self.apply_settings(self.settings)
        self.idle_timeout_estimate = self.max_idle_timeout_estimate
        self.key_sequences_pruned_at = self.now
        self.shedding_logged_at = self.now - STALE_AFTER_US

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings and recompute the fields derived from them."""
        self.settings = settings
        self.classes = {c.name: self.intern_class(c) for c in settings.classes}
        self.shortest_deadline = min(
            (c.deadline_us for c in settings.classes), default=SECOND_US
        )
        headroom = SHARE_HEADROOM / settings.forwarder_count
        self.share_headroom = 1 + headroom
        self.pace_jitter = max(0.0, 1 - headroom)
        self.destination_kinds = {k.name: k for k in settings.destination_kinds}
        self.tenants = {t.name: t for t in settings.tenants}
        large_fleet = settings.forwarder_count > SMALL_FLEET
        self.max_idle_timeout_estimate = min(
            settings.idle_connection_us, MIN_IDLE_US if large_fleet else STALE_AFTER_US
        )

    def intern_class(self, message_class: MessageClass) -> MessageClass:
        """Return the one object that represents all classes equal to this one."""
        return self.interned_classes.setdefault(message_class, message_class)

    def destination_kind(self, name: str) -> DestinationKind:
        """Return the destination kind with a name, or a default one if unknown."""
        return self.destination_kinds.get(name) or DestinationKind(name)

    def serving(self, destination: int) -> list[Endpoint]:
        """Return the endpoints of a destination that may be called."""
        return self.serving_endpoints.get(destination, [])

    def next_sequence_number(self) -> int:
        """Return the next number of an increasing sequence."""
        self.last_sequence_number += 1
        return self.last_sequence_number
