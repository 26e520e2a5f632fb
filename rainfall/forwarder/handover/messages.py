"""The messages of a handover, and their encoding as JSON lines.

Each line is a JSON object with a single key, which names the kind of message:

====================  =========================  ====================================
sent by               until ownership transfers  after the transfer
====================  =========================  ====================================
the target            ask, prepared              answer, rotated, cancel
the source            memory, no, yours          hand_in, gone, ended, reload, rotate
====================  =========================  ====================================

`memory` or `no` replies to `ask`, `yours` to `prepared`. The two processes may run
different versions of the program, so the keys, the order of the values and their types
must not change.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from rainfall.dispatch import AttemptFinished, LoadReport, Outcome
from rainfall.forwarder.inbound.server import SubmittedMessage

HandoverMessage = dict[str, Any]
"""JSON data: a decoded line, or a snapshot within one."""


class RetryAfter(NamedTuple):
    """A Retry-After that binds a throttle scope of the source."""

    destination: int
    endpoint: int
    """Endpoint id, or `ANY_ENDPOINT` where all endpoints of the destination share it."""
    until_us: int
    """Unix time in microseconds; no call is sent to the scope before."""


@dataclass(frozen=True, slots=True)
class HandoverSnapshot:
    """The state of the source that the journal lacks and the target needs."""

    endpoint_ids: dict[str, int]
    """Ids of endpoints by endpoint name."""
    last_endpoint_id: int
    """The highest endpoint id assigned so far."""
    recently_finished: list[str]
    """Ids of messages that finished recently, oldest first."""
    retry_afters: list[RetryAfter]
    descriptors: int
    """File descriptors of the source's connections, which the target leaves unused
    while the source runs.
    """
    dispatcher: dict[str, Any]
    """The dispatcher's own snapshot (`Dispatcher.snapshot`)."""

    def to_json(self) -> HandoverMessage:
        """Return the snapshot as JSON data."""
        return {
            "numbers": self.endpoint_ids,
            "numbered": self.last_endpoint_id,
            "recent": self.recently_finished,
            "waits": [list(retry_after) for retry_after in self.retry_afters],
            "descriptors": self.descriptors,
            "module": self.dispatcher,
        }

    @classmethod
    def from_json(cls, data: HandoverMessage) -> HandoverSnapshot:
        """Decode a snapshot.

        Raises:
            KeyError: A key is missing.
        """
        return cls(
            endpoint_ids=data["numbers"],
            last_endpoint_id=data["numbered"],
            recently_finished=data["recent"],
            retry_afters=[RetryAfter(*values) for values in data["waits"]],
            descriptors=data["descriptors"],
            dispatcher=data["module"],
        )


# From the target to the source


class Request(StrEnum):
    """A request of the target. The values are the keys on the wire."""

    SNAPSHOT = "ask"
    """Pause, and send a snapshot."""
    OWNERSHIP = "prepared"
    """The target has read the journal: transfer the journal's ownership to it."""


@dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """The answer to a client whose connection the source holds."""

    number: int
    """Number of the `Submission` that it answers."""
    status: int
    """HTTP status."""
    text: str
    headers: dict[str, str]
    """Header names have underscores in place of hyphens."""


@dataclass(frozen=True, slots=True)
class DetachAnswer:
    """The answer to an operator whose connection the source holds."""

    number: int
    """Number of the `DetachRequest` that it answers."""
    status: int
    """HTTP status."""
    text: str


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancel a call that the source has in flight."""

    message_id: str
    attempt: int


# From the source to the target


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """The source has paused and sends its snapshot."""

    snapshot: HandoverMessage
    """A `HandoverSnapshot` as JSON data."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The source refuses a handover for now."""


@dataclass(frozen=True, slots=True)
class OwnershipConfirmed:
    """The source has released the journal: the target owns it from now on."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A client of the source has submitted a message."""

    number: int
    """Chosen by the source; the answer repeats it."""
    message: SubmittedMessage


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a submission disconnected before it was answered."""

    number: int
    """Number of the `Submission`."""


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """A call that the source had in flight has finished."""

    event: AttemptFinished


@dataclass(frozen=True, slots=True)
class ReloadRequest:
    """The source received SIGHUP, so the target reloads the configuration."""


@dataclass(frozen=True, slots=True)
class DetachRequest:
    """An operator of the source takes an endpoint out of rotation, or puts it back."""

    number: int
    """Chosen by the source; the answer repeats it."""
    endpoint: str
    """The endpoint's name."""
    detached: bool
    """True takes it out, False puts it back."""


TargetMessage = Request | SubmissionAnswer | DetachAnswer | CancelRequest
Reply = SnapshotReply | Refusal | OwnershipConfirmed
"""Replies of the source to a `Request`."""
SourceMessage = (
    Submission | ClientDisconnected | AttemptOutcome | ReloadRequest | DetachRequest
)
"""Messages that the source sends once it has transferred ownership."""


def encode_message(message: TargetMessage | Reply | SourceMessage) -> HandoverMessage:
    """Return the JSON object of a message."""
    if isinstance(message, TargetMessage):
        return _encode_target_message(message)
    if isinstance(message, Reply):
        return _encode_reply(message)
    return _encode_source_message(message)


def _encode_target_message(message: TargetMessage) -> HandoverMessage:
    match message:
        case Request():
            return {message.value: True}
        case SubmissionAnswer(number, status, text, headers):
            return {"answer": [number, status, text, headers]}
        case DetachAnswer(number, status, text):
            return {"rotated": [number, status, text]}
        case CancelRequest(message_id, attempt):
            return {"cancel": [message_id, attempt]}


def _encode_reply(reply: Reply) -> HandoverMessage:
    match reply:
        case SnapshotReply(snapshot):
            return {"memory": snapshot}
        case Refusal():
            return {"no": True}
        case OwnershipConfirmed():
            return {"yours": True}


def _encode_source_message(message: SourceMessage) -> HandoverMessage:
    match message:
        case Submission(number, submitted):
            return {"hand_in": [number, _encode_submitted(submitted)]}
        case ClientDisconnected(number):
            return {"gone": number}
        case AttemptOutcome(event):
            return {"ended": _encode_outcome(event)}
        case ReloadRequest():
            return {"reload": True}
        case DetachRequest(number, endpoint, detached):
            return {"rotate": [number, endpoint, detached]}


def is_snapshot_request(line: HandoverMessage) -> bool:
    """Whether a line is the request that starts a handover."""
    return Request.SNAPSHOT in line


def decode_target_message(line: HandoverMessage) -> TargetMessage | None:
    """Decode a line from the target.

    Returns:
        The message; None if its kind is unknown to this version.

    Raises:
        ValueError, TypeError or KeyError: The values do not fit the kind.
    """
    for request in Request:
        if request in line:
            return request
    if "answer" in line:
        number, status, text, headers = line["answer"]
        return SubmissionAnswer(number, status, text, headers)
    if "rotated" in line:
        number, status, text = line["rotated"]
        return DetachAnswer(number, status, text)
    if "cancel" in line:
        message_id, attempt = line["cancel"]
        return CancelRequest(message_id, attempt)
    return None


def decode_reply(line: HandoverMessage) -> Reply | None:
    """Decode a reply from the source; None if the line is no reply."""
    if "no" in line:
        return Refusal()
    if "memory" in line:
        return SnapshotReply(line["memory"])
    if "yours" in line:
        return OwnershipConfirmed()
    return None


def decode_source_message(line: HandoverMessage) -> SourceMessage | None:
    """Decode a line that the source sends once it has transferred ownership.

    Returns:
        The message; None if its kind is unknown to this version.

    Raises:
        ValueError, TypeError or KeyError: The values do not fit the kind.
    """
    if "hand_in" in line:
        number, values = line["hand_in"]
        return Submission(number, _decode_submitted(values))
    if "gone" in line:
        return ClientDisconnected(line["gone"])
    if "ended" in line:
        return AttemptOutcome(_decode_outcome(line["ended"]))
    if "reload" in line:
        return ReloadRequest()
    if "rotate" in line:
        number, endpoint, detached = line["rotate"]
        return DetachRequest(number, endpoint, detached)
    return None


def _encode_submitted(submitted: SubmittedMessage) -> dict[str, Any]:
    return {
        "id": submitted.id,
        "class_name": submitted.class_name,
        "destination": submitted.destination,
        "due_us": submitted.due_us,
        "key": submitted.key,
        "order_key": submitted.order_key,
        "tenant": submitted.tenant,
        "resent": submitted.resent,
        "body": base64.b64encode(submitted.body).decode(),
    }


_SUBMITTED_KEYS = frozenset(
    (
        "id",
        "class_name",
        "destination",
        "due_us",
        "key",
        "order_key",
        "tenant",
        "resent",
        "body",
    )
)


def _decode_submitted(values: dict[str, Any]) -> SubmittedMessage:
    if values.keys() != _SUBMITTED_KEYS:
        raise ValueError(f"unexpected keys of a submitted message: {sorted(values)}")
    return SubmittedMessage(
        id=values["id"],
        class_name=values["class_name"],
        destination=values["destination"],
        due_us=values["due_us"],
        key=values["key"],
        order_key=values["order_key"],
        tenant=values["tenant"],
        resent=values["resent"],
        body=base64.b64decode(values["body"]),
    )


def _encode_outcome(event: AttemptFinished) -> list[Any]:
    report = event.load_report
    return [
        event.message_id,
        event.attempt,
        event.endpoint,
        event.outcome.value,
        event.duration_us,
        event.message_closed,
        event.retry_after_us,
        None if report is None else [report.remaining_share, report.limit_per_s],
        event.inconclusive,
    ]


def _decode_outcome(values: list[Any]) -> AttemptFinished:
    (
        message_id,
        attempt,
        endpoint,
        outcome,
        duration_us,
        message_closed,
        retry_after_us,
        report,
        inconclusive,
    ) = values
    return AttemptFinished(
        message_id,
        attempt,
        endpoint,
        Outcome(outcome),
        duration_us,
        message_closed,
        retry_after_us,
        None if report is None else LoadReport(*report),
        inconclusive,
    )
