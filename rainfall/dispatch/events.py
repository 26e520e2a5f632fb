"""Input events of the dispatcher. Plain data types without logic.

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
    """Which kind of content an `EndpointListChanged` event carries."""

    CHANGES = "changes"
    """Only the entries that changed."""
    SNAPSHOT = "whole"
    """All endpoints: an endpoint that is missing has been removed."""
    CACHED = "saved"
    """All endpoints, as saved before the process started; may be outdated."""
    FAILED = "failed"
    """No entries: the poll of the list failed."""


class EndpointState(Enum):
    """State of an endpoint as reported by discovery."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of an endpoint list."""

    endpoint: int
    destination: int
    zone: str = ""
    kind: str = ""
    """Name of the `DestinationKind` of its destination."""
    state: EndpointState = EndpointState.SERVING
    weight: float = 0.0
    """Rate limit in calls per second; used only if `endpoint_weights_known` is set."""


@dataclass(frozen=True, slots=True)
class EndpointListChanged:
    """A new endpoint list, a change of the list, or a failed poll of it."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A client submitted a message."""

    message_id: str
    destination: int
    class_name: str
    deadline_us: int
    ordering_key: str | None = None
    tenant: str | None = None
    resent: bool = False
    """Whether another forwarder held the message before. Not used by any rule."""


@dataclass(frozen=True, slots=True)
class MessageRestored:
    """A message accepted before a restart, with the known history of its attempts."""

    message_id: str
    destination: int
    class_name: str
    deadline_us: int
    ordering_key: str | None = None
    tenant: str | None = None
    attempts: int = 0
    executed_at_us: int = -1
    """Send time of the first attempt that may have been executed; -1 without one."""
    executed_on: int = -1
    """Endpoint of that attempt; -1 if there is none."""
    interrupted: bool = False
    """Whether an attempt was in flight when the process ended: it may still run."""
    message_class: MessageClass | None = None
    """The class under which the message was accepted; None if unknown, in which case
    the current class named `class_name` applies.
    """
    max_attempts: int = 0
    """The limit on attempts under which the message was accepted; 0 if unknown."""


@dataclass(frozen=True, slots=True)
class OutageRestored:
    """An outage that a `RecordOutage` action persisted before a restart."""

    endpoint: int
    started_at_us: int
    recovered_at_us: int = -1
    """-1 while the outage lasts."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A destination's report on its own rate limit."""

    remaining_share: float
    """Unused fraction of the limit."""
    limit_per_s: float
    """Limit in calls per second; 0 if there is none."""


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt ended.

    The attempts of a message are numbered from 0 in the order in which they were sent.
    """

    message_id: str
    attempt: int
    endpoint: int
    outcome: Outcome
    duration_us: int
    message_closed: bool = False
    """Whether the message is finished, whatever the outcome."""
    retry_after_us: int = 0
    """The Retry-After of the destination; 0 if there is none."""
    load_report: LoadReport | None = None
    inconclusive: bool = False
    """Whether the connection may have caused the outcome, and not the endpoint."""


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client stopped waiting for a message."""

    message_id: str


@dataclass(frozen=True, slots=True)
class NotificationPending:
    """A final answer from before a restart has not been acknowledged yet."""

    message_id: str
    ordering_key: str


@dataclass(frozen=True, slots=True)
class NotificationAcknowledged:
    """A final answer was delivered, which releases the next message of its key."""

    message_id: str


@dataclass(frozen=True, slots=True)
class EndpointDisabled:
    """Operators took an endpoint out of service.

    Until it is enabled again it counts as draining, whatever the endpoint list says.
    """

    endpoint: int


@dataclass(frozen=True, slots=True)
class EndpointEnabled:
    """Operators put an endpoint back into service.

    The endpoint was restarted in the meantime: it is cold, and earlier observations of
    it are discarded.
    """

    endpoint: int


@dataclass(frozen=True, slots=True)
class QuotaChanged:
    """This forwarder's part of the calls that all forwarders may make to a destination.

    The quota applies to every sliding window until the next change. Calls that were
    sent before the event count against it.
    """

    destination: int
    calls: int
    """Calls allowed in every `window_us`, until `expires_at_us`."""
    window_us: int
    """Length of the sliding window; 0 removes the quota."""
    expires_at_us: int
    """From this time on `reserve_calls` applies instead of `calls`."""
    reserve_calls: int
    """Calls allowed in every `window_us` from `expires_at_us` on."""
    used: tuple[tuple[int, int], ...] = ()
    """Calls made by the previous process, as (send time, calls), oldest first."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings take effect.

    Messages accepted earlier keep their class and their limit on attempts.
    """

    settings: Settings


@dataclass(frozen=True, slots=True)
class SnapshotRestored:
    """The result of `Dispatcher.snapshot` in the previous process.

    Some of the calls in it are still in flight. This event follows the endpoint list
    and all `MessageRestored` events.
    """

    snapshot: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set by `SetTimer` expired.

    The event itself changes nothing; it causes a round, in which due work is done.
    """

    token: str


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """A health check ended. Not used by any rule yet."""

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
