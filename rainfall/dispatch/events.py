"""Events: what happened, as the dispatcher learns it. Plain types; nothing is decided here.

Times are integer microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from rainfall.dispatch.outcomes import Outcome
from rainfall.dispatch.settings import MessageClass, Settings


class EndpointListKind(Enum):
    """What an endpoint list holds."""

    CHANGES = "changes"
    SNAPSHOT = "whole"
    """All endpoints: one that is missing is gone."""
    CACHED = "saved"
    """All endpoints as they were known before the start; may be old."""
    FAILED = "failed"
    """Nothing: the list was asked for in vain."""


class EndpointState(Enum):
    """What discovery says of an endpoint."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint in an endpoint list."""

    endpoint: int
    destination: int
    zone: str = ""
    kind: str = ""
    """Name of its destination's kind."""
    state: EndpointState = EndpointState.SERVING
    weight: float = 0.0
    """Its rate limit in calls a second, where `endpoint_weights_known` is set."""


@dataclass(frozen=True, slots=True)
class EndpointListChanged:
    """The endpoint list, a change of it, or that asking for it failed."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A client has submitted a message."""

    message_id: str
    destination: int
    class_name: str
    deadline_us: int
    ordering_key: str | None = None
    tenant: str | None = None
    resent: bool = False
    """Another forwarder held it before. No rule reads it."""


@dataclass(frozen=True, slots=True)
class MessageRestored:
    """A message that was accepted before a restart, with what is known of its attempts."""

    message_id: str
    destination: int
    class_name: str
    deadline_us: int
    ordering_key: str | None = None
    tenant: str | None = None
    attempts: int = 0
    executed_at_us: int = -1
    """When its first attempt that may have been executed was sent; -1 without one."""
    executed_on: int = -1
    """That attempt's endpoint."""
    interrupted: bool = False
    """An attempt was in flight when the process ended: it may still run."""
    message_class: MessageClass | None = None
    """The class it was accepted under; None where that is not known and the present one
    of that name holds.
    """
    max_attempts: int = 0
    """The attempts it was accepted with; 0 where that is not known."""


@dataclass(frozen=True, slots=True)
class OutageRestored:
    """An outage that `RecordOutage` persisted before a restart."""

    endpoint: int
    started_at_us: int
    recovered_at_us: int = -1
    """-1 while it lasts."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a destination said of its rate limit."""

    remaining_share: float
    """Share of the limit that is left."""
    limit_per_s: float
    """Calls a second; 0 where there is no limit."""


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has its outcome.

    A message's attempts count from 0 in the order of their sends.
    """

    message_id: str
    attempt: int
    endpoint: int
    outcome: Outcome
    duration_us: int
    message_closed: bool = False
    """The message is over, whatever the outcome."""
    retry_after_us: int = 0
    """The wait that the destination asked for."""
    load_report: LoadReport | None = None
    inconclusive: bool = False
    """The connection may be to blame as well as the endpoint."""


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client no longer waits for a message."""

    message_id: str


@dataclass(frozen=True, slots=True)
class NotificationPending:
    """A message had its final answer before a restart, and that is still on its way."""

    message_id: str
    ordering_key: str


@dataclass(frozen=True, slots=True)
class NotificationAcknowledged:
    """A final answer has arrived: only now do the next messages of its key follow."""

    message_id: str


@dataclass(frozen=True, slots=True)
class EndpointDisabled:
    """Operators took an endpoint out.

    Until they enable it, it counts as draining, whatever the list says.
    """

    endpoint: int


@dataclass(frozen=True, slots=True)
class EndpointEnabled:
    """Operators put an endpoint back.

    It was restarted meanwhile: it is cold, and what was learned of it is void.
    """

    endpoint: int


@dataclass(frozen=True, slots=True)
class QuotaChanged:
    """How many calls this forwarder may make of what all may send to a destination.

    Holds in every sliding window, from now on and until the next change; what was sent
    before counts.
    """

    destination: int
    calls: int
    """In every `window_us`, until `expires_at_us`."""
    window_us: int
    """0: no quota is in force any more."""
    expires_at_us: int
    """From then on `reserve_calls` holds, until the next change."""
    reserve_calls: int
    used: tuple[tuple[int, int], ...] = ()
    """(when, calls), oldest first: calls of a former process."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings hold from now on.

    Messages accepted before keep their class and their attempts.
    """

    settings: Settings


@dataclass(frozen=True, slots=True)
class SnapshotRestored:
    """What `Dispatcher.snapshot` gave in the former process.

    Some of its calls are still in flight. Comes after the endpoint list and all restored
    messages.
    """

    snapshot: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The timer that `SetTimer` asked for: the round it causes is its effect."""

    token: str


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """A health check has its outcome. No rule reads it yet."""

    endpoint: int
    outcome: Outcome
    duration_us: int
    load_report: LoadReport | None = None


Event = (
    EndpointListChanged
    | MessageReceived
    | MessageRestored
    | OutageRestored
    | AttemptFinished
    | MessageWithdrawn
    | NotificationPending
    | NotificationAcknowledged
    | EndpointDisabled
    | EndpointEnabled
    | QuotaChanged
    | SettingsChanged
    | SnapshotRestored
    | TimerExpired
    | HealthCheckFinished
)
