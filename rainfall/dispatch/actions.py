"""Actions: what the dispatcher wants done, in this order. Plain types.

Times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Begin an attempt.

    Sends of one round to one endpoint share a call, up to the batch size of its kind.
    """

    message_id: str
    endpoint: int
    timeout_us: int


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """Final answer: not executed, or safe to send again."""

    message_id: str
    retry_after_us: int
    reason: str = field(default="", compare=False, repr=False)
    """Why it is given up, for the log."""


@dataclass(frozen=True, slots=True)
class FailMessage:
    """Final answer: may have been executed, and must not be sent again."""

    message_id: str
    reason: str = field(default="", compare=False, repr=False)
    """Why it is given up, for the log."""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its outcome still follows."""

    message_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class CheckEndpointHealth:
    """Make a health check of an endpoint. No rule asks for one yet."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close our idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Give back `TimerExpired` with this token, not sooner than after this delay."""

    delay_us: int
    token: str


@dataclass(frozen=True, slots=True)
class SubscribeEndpointList:
    """Ask for the endpoint list."""


@dataclass(frozen=True, slots=True)
class LogNote:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class RecordOutage:
    """Persist an endpoint's outage; after a restart it comes back as `OutageRestored`."""

    endpoint: int
    started_at_us: int
    """-1: there is none any more."""
    recovered_at_us: int = -1
    """-1 while it lasts."""


Action = (
    SendMessage
    | RejectMessage
    | FailMessage
    | CancelAttempt
    | CheckEndpointHealth
    | CloseIdleConnections
    | SetTimer
    | SubscribeEndpointList
    | RecordOutage
    | LogNote
)
