"""Output actions of the dispatcher, to be carried out in the order returned.

Plain data types without logic. Times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Start an attempt.

    The sends of one round to one endpoint share a call, up to the maximum batch size of
    the destination's kind.
    """

    message_id: str
    endpoint: int
    timeout_us: int


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """Final answer: the message was not executed, or is safe to send again."""

    message_id: str
    retry_after_us: int
    """How long the client should wait before it sends the message again; 0 if the
    settings send no Retry-After.
    """
    reason: str = field(default="", compare=False, repr=False)
    """Why the message is rejected, for the log."""


@dataclass(frozen=True, slots=True)
class FailMessage:
    """Final answer: the message may have been executed and must not be sent again."""

    message_id: str
    reason: str = field(default="", compare=False, repr=False)
    """Why the message fails, for the log."""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt. Its `AttemptFinished` event still follows."""

    message_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class CheckEndpointHealth:
    """Run a health check of an endpoint. No rule emits this action yet."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the forwarder's idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a `TimerExpired` event with this token after a delay."""

    delay_us: int
    """Minimum delay."""
    token: str


@dataclass(frozen=True, slots=True)
class SubscribeEndpointList:
    """Start polling the endpoint list.

    Polling continues until a poll fails, which an `EndpointListChanged` event of kind
    FAILED reports.
    """


@dataclass(frozen=True, slots=True)
class LogNote:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class RecordOutage:
    """Persist an endpoint's outage, which `OutageRestored` returns after a restart."""

    endpoint: int
    started_at_us: int
    """-1 clears the recorded outage."""
    recovered_at_us: int = -1
    """-1 while the outage lasts."""


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
