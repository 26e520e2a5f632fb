"""The messages of a handover, and the one place that knows their form on the wire.

A line on the wire is a JSON object with one key, which names the kind of message:

  from the target: ask, prepared; then answer, rotated, cancel
  from the source: memory or no, yours; then hand_in, gone, ended, reload, rotate

Two versions of the program talk to each other here, so the keys, the order of the
values and their forms stay as they are.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from rainfall.dispatch import AttemptFinished, LoadReport, Outcome
from rainfall.forwarder.inbound.server import SubmittedMessage

HandoverMessage = dict[str, Any]
"""A line as JSON data."""


class RetryAfter(NamedTuple):
    """Until when a throttle scope is not called, in the clock's microseconds."""

    destination: int
    endpoint: int
    until_us: int


@dataclass(frozen=True, slots=True)
class HandoverSnapshot:
    """What the target needs to know beside the journal."""

    endpoint_ids: dict[str, int]
    last_endpoint_id: int
    recently_finished: list[str]
    """Ids of messages that ended a short while ago, oldest first."""
    retry_afters: list[RetryAfter]
    descriptors: int
    """File descriptors that the source keeps for its connections."""
    dispatcher: dict[str, Any]
    """The dispatcher's own snapshot."""

    def to_json(self) -> HandoverMessage:
        """The snapshot as JSON data."""
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
        """The snapshot that JSON data describes; KeyError where some is missing."""
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
    """What the target asks the source for. The values are the keys on the wire."""

    SNAPSHOT = "ask"
    """To pause and to send its snapshot."""
    OWNERSHIP = "prepared"
    """To leave the journal, which the target has read, to the target."""


@dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """The answer for a client whose connection the source holds."""

    number: int
    status: int
    text: str
    headers: dict[str, str]


@dataclass(frozen=True, slots=True)
class DetachAnswer:
    """The answer for an operator whose connection the source holds."""

    number: int
    status: int
    text: str


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """A call that the source has in flight is to be cancelled."""

    message_id: str
    attempt: int


# From the source to the target


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """The source has paused; its snapshot, as JSON data."""

    snapshot: HandoverMessage


@dataclass(frozen=True, slots=True)
class Refusal:
    """The source does not hand over now."""


@dataclass(frozen=True, slots=True)
class OwnershipConfirmed:
    """The target is the journal's writer from now on."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A client of the source submits a message."""

    number: int
    message: SubmittedMessage


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a submission is gone."""

    number: int


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """A call that the source had in flight has ended."""

    event: AttemptFinished


@dataclass(frozen=True, slots=True)
class ReloadRequest:
    """The source was sent SIGHUP."""


@dataclass(frozen=True, slots=True)
class DetachRequest:
    """An operator asks the source to take an endpoint out, or to put it back."""

    number: int
    endpoint: str
    detached: bool


TargetMessage = Request | SubmissionAnswer | DetachAnswer | CancelRequest
Reply = SnapshotReply | Refusal | OwnershipConfirmed
"""What the source says to a request of the target's."""
SourceMessage = (
    Submission | ClientDisconnected | AttemptOutcome | ReloadRequest | DetachRequest
)
"""What the source says once it has transferred ownership."""


def encode_message(message: TargetMessage | Reply | SourceMessage) -> HandoverMessage:
    """A message as JSON data."""
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
    """Whether a line opens a handover."""
    return Request.SNAPSHOT in line


def decode_target_message(line: HandoverMessage) -> TargetMessage | None:
    """What the target says.

    Returns:
        None for a kind of message that this version does not know.

    Raises:
        ValueError, TypeError or KeyError: A known kind has other values.
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
    """What the source replies; None if the line is not a reply."""
    if "no" in line:
        return Refusal()
    if "memory" in line:
        return SnapshotReply(line["memory"])
    if "yours" in line:
        return OwnershipConfirmed()
    return None


def decode_source_message(line: HandoverMessage) -> SourceMessage | None:
    """What the source says once it has transferred ownership.

    Returns:
        None for a kind of message that this version does not know.

    Raises:
        ValueError, TypeError or KeyError: A known kind has other values.
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
        raise ValueError(f"a submitted message with the keys {sorted(values)}")
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
