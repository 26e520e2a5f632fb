"""What one dispatcher knows. Nothing is decided here.

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
"""Forwarders. In larger fleets what all do at once adds up: connections, retries."""
FORGET_AFTER_US = 30 * SECOND_US
"""What was learned of an idle destination is forgotten after this."""
MIN_IDLE_US = 200_000
"""A connection without use for longer counts as idle."""
SHARE_HEADROOM = 3.0
"""Few forwarders that share a rate limit learn more of it each, and take more of it.

With this over the number of forwarders as h (3 for one, 1 for three, 0.03 for a
hundred): shares start with and grow by 1 + h, and the share 1 - h of a pace is jitter.
"""


@dataclass(slots=True, eq=False, repr=False)
class DispatcherState:
    """The one state of a dispatcher. The modules of the rules change it."""

    now: int
    """Time of the round."""
    random: Random
    settings: Settings

    # What follows from the settings
    classes: dict[str, MessageClass] = field(init=False)
    destination_kinds: dict[str, DestinationKind] = field(init=False)
    tenants: dict[str, Tenant] = field(init=False)
    shortest_deadline: int = field(init=False)
    """Of all classes."""
    share_headroom: float = field(init=False)
    """Factor on the even shares that a scope starts with and grows by."""
    pace_jitter: float = field(init=False)
    """How much of a pace is left to chance, as a share."""
    max_idle_trust: int = field(init=False)

    # Endpoints
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    """By id; also those that left the list while that matters."""
    serving_endpoints: dict[int, list[Endpoint]] = field(default_factory=dict)
    """By destination: those that serve by the list and by the operators' word."""
    throttle_scopes: dict[ThrottleScopeKey, ThrottleScope] = field(default_factory=dict)
    disabled_endpoints: set[int] = field(default_factory=set)
    """Those that operators took out."""
    idle_trust: int = field(init=False)
    """How long an idle connection is taken to be still open."""

    # Messages
    messages: dict[str, Message] = field(default_factory=dict)
    """All without a final answer, by id."""
    queues: MessageQueues = field(default_factory=MessageQueues)
    """Those that wait to be sent."""
    attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)
    """Those in flight."""
    key_sequences: dict[str, KeySequence] = field(default_factory=dict)
    """By ordering key."""
    pending_notifications: dict[str, str] = field(default_factory=dict)
    """Ordering key of each message whose final answer is still on its way, by id."""
    tenant_quota_used_until: dict[str, int] = field(default_factory=dict)
    """By tenant: the time up to which its quota is used."""
    quotas: dict[int, Quota] = field(default_factory=dict)
    """By destination, where one is in force."""
    last_sequence_number: int = 0
    newest_message_number: int = 0
    """Sequence number of the message accepted last."""
    received_now: list[Message] = field(default_factory=list)
    """Messages accepted at this time: rounds at one time count as one for shedding."""
    interned_classes: dict[MessageClass, MessageClass] = field(default_factory=dict)
    """One object stands for all equal classes: class queues go by identity."""
    key_sequences_pruned_at: int = field(init=False)
    shedding_noted_at: int = field(init=False)

    # Calls
    calls_in_flight: int = 0
    send_count: int = 0
    overtaken_attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)
    """Attempts in flight by calls that enough later ones have overtaken."""
    saturated: bool = False
    """All calls that the settings allow are in flight."""
    possibly_open: set[int] = field(default_factory=set)
    """All destinations with capacity for a call, the limit on all calls aside, and
    perhaps others.
    """
    openings: WakeupSchedule = field(default_factory=WakeupSchedule)
    """When destinations without capacity may have some again."""
    wakeups: WakeupSchedule = field(default_factory=WakeupSchedule)
    """When to look at destinations again, whatever happens."""
    timer_at: int = -1
    """When the timer asked for last expires."""

    # What changes with time alone; an entry may have become void
    retry_expirations: TimerHeap = field(default_factory=TimerHeap)
    """When waiting messages can no longer be retried."""
    key_backoffs: TimerHeap = field(default_factory=TimerHeap)
    """When the backoff of a key is over."""
    idle_keys: TimerHeap = field(default_factory=TimerHeap)
    """From when a key without messages can be forgotten."""
    work_count: int = 0
    """Waiting messages, queues, destinations and entries visited. No decision reads it:
    tests hold the work of an event by it.
    """

    # The round
    events_applied: int = 0
    actions: list[Action] = field(default_factory=list)
    dirty_destinations: set[int] = field(default_factory=set)
    """Destinations to look at in this round."""
    finished_calls: list[Call] = field(default_factory=list)
    new_calls: dict[int, Call] = field(default_factory=dict)
    """Calls begun in this round, by endpoint."""
    called_destinations: set[int] = field(default_factory=set)
    """Destinations of `new_calls`."""
    latency_cache: dict[tuple[int, int], float] = field(default_factory=dict)
    """Shortest expected latency by destination and latency objective; holds until the
    next event or send.
    """

    def __post_init__(self) -> None:
        self.apply_settings(self.settings)
        self.idle_trust = self.max_idle_trust
        self.key_sequences_pruned_at = self.now
        self.shedding_noted_at = self.now - FORGET_AFTER_US

    def apply_settings(self, settings: Settings) -> None:
        """Set the settings and what follows from them."""
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
        self.max_idle_trust = min(
            settings.idle_connection_us, MIN_IDLE_US if large_fleet else FORGET_AFTER_US
        )

    def intern_class(self, message_class: MessageClass) -> MessageClass:
        """The object that stands for all classes equal to this one."""
        return self.interned_classes.setdefault(message_class, message_class)

    def kind(self, name: str) -> DestinationKind:
        """The destination kind of a name, a plain one where the settings have none."""
        return self.destination_kinds.get(name) or DestinationKind(name)

    def serving(self, destination: int) -> list[Endpoint]:
        """The endpoints of a destination that may be called."""
        return self.serving_endpoints.get(destination, [])

    def next_sequence_number(self) -> int:
        """A number greater than all before."""
        self.last_sequence_number += 1
        return self.last_sequence_number
