"""The journal's records: their types, and the one codec between them and bytes.

A record is a line of JSON, `[kind, field, ...]`, followed for a message by a newline
and the message's body. `RecordKind` lists the kinds; the order of a kind's fields is
that of its `encode_...` and `decode_...` function. Stored times are microseconds of
the forwarder's clock.

A decoder raises ValueError, KeyError, TypeError or IndexError for a record of another
form; `DECODING_ERRORS` names them all.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Any, NamedTuple

from rainfall.dispatch import Idempotency, IdempotencyScope, MessageClass

MESSAGE_OVERHEAD_BYTES = 400
"""What an accepted message's further records may add to a compacted file."""
UNCOMPRESSED_LIST_BYTES = 64 * 1024
"""The record of an endpoint list that is longer than this is compressed."""
COMPRESSION_LEVEL = 1
"""The fastest of zlib's levels: the list is written while messages wait."""
DECODING_ERRORS = (ValueError, KeyError, TypeError, IndexError, zlib.error)
"""What decoding and applying a record of an unknown form raises."""

Fields = list[Any]
"""A record's fields, without its kind, as the JSON decoder gives them."""


class RecordKind(StrEnum):
    """The kinds of records, as they are stored."""

    MESSAGE = "n"
    """A message was accepted."""
    CHECKPOINT_MESSAGE = "t"
    """A message in a checkpoint, with its attempts up to there."""
    RULES = "r"
    """The delivery rules that messages are accepted under from here on."""
    ATTEMPT = "a"
    """An attempt begins; it is written before the call's first byte."""
    OUTCOME = "o"
    """An attempt has ended."""
    FINISHED = "x"
    """A message has ended and its sender need not be notified."""
    PENDING_NOTIFICATION = "e"
    """A message has ended and the platform has not acknowledged that."""
    ACKNOWLEDGED = "d"
    """The platform has acknowledged a message's end."""
    ENDPOINT_LIST = "l"
    """A full endpoint list, and the discovery service that it came from."""
    COMPRESSED = "p"
    """Another record, compressed."""
    ENDPOINT_LIST_UPDATE = "u"
    """What changed in the endpoint list of a named version and source."""
    DETACHED = "h"
    """An operator detached an endpoint, or attached it again."""
    OUTAGE = "g"
    """An endpoint's outage: its slow start has to outlast a restart."""
    CLOCK = "c"
    """A process began to write: what its clock is based on."""
    CLOSED = "z"
    """The process ended in order, and all that it wrote is synced."""


VERSION_1_KINDS = {
    "taken": RecordKind.CHECKPOINT_MESSAGE,
    "attempt": RecordKind.ATTEMPT,
    "outcome": RecordKind.OUTCOME,
    "over": RecordKind.FINISHED,
    "owed": RecordKind.PENDING_NOTIFICATION,
    "told": RecordKind.ACKNOWLEDGED,
    "list": RecordKind.ENDPOINT_LIST,
    "outage": RecordKind.OUTAGE,
    "rules": RecordKind.RULES,
    "out": RecordKind.DETACHED,
}
"""The kinds of version 1 of the journal, by their stored names."""
KIND_BY_STORED_NAME: dict[str, RecordKind] = {
    **{kind.value: kind for kind in RecordKind},
    **VERSION_1_KINDS,
}


@dataclass(slots=True)
class AcceptedMessage:
    """An accepted message, with all that is needed to go on delivering it."""

    id: str
    class_name: str
    destination: int
    deadline_us: int
    idempotency_key: str | None
    tenant: str | None
    body: bytes
    order_key: str | None = None
    attempts: int = 0
    executed_at_us: int = -1
    """When the first attempt that may have been executed began; -1: there is none."""
    executed_on: str = ""
    in_flight: dict[int, tuple[int, str]] = field(default_factory=dict)
    """By the attempt's number: when it began, and the host that it went to."""
    rules_number: int = -1
    """The delivery rules that it was accepted under; -1 where that is not known."""
    in_doubt: bool = False
    """Whether an attempt, or its end, may stand in what could not be read."""
    unsent_attempts: int = field(default=0, compare=False)
    """Attempts of this process that made no call; they are not stored."""

    @property
    def size(self) -> int:
        """Bytes that the message may take in a compacted file."""
        return (
            len(self.body)
            + len(self.id)
            + len(self.order_key or "")
            + MESSAGE_OVERHEAD_BYTES
        )


class DeliveryRules(NamedTuple):
    """What a message keeps when the settings change: its class and its attempts."""

    attempts: int
    classes: tuple[MessageClass, ...]


class PendingNotification(NamedTuple):
    """A message's end that the platform has not acknowledged."""

    state: str
    after_ms: int
    order_key: str | None = None


class Outage(NamedTuple):
    """When an endpoint's outage began, and when it recovered; -1: not yet."""

    started_at_us: int
    recovered_at_us: int


class JournalClock(NamedTuple):
    """What times in the journal are based on."""

    base_us: int
    """What is added to the machine's monotonic clock."""
    boot_id: str
    """The machine's run that the monotonic clock belongs to; empty: not known."""


class AttemptRecord(NamedTuple):
    """An attempt that begins."""

    message_id: str
    number: int
    started_at_us: int
    host: str


class OutcomeRecord(NamedTuple):
    """The end of an attempt."""

    message_id: str
    number: int
    may_have_executed: bool


class RulesRecord(NamedTuple):
    """Delivery rules and the number that messages name them by."""

    number: int
    rules: DeliveryRules


class EndpointListRecord(NamedTuple):
    """A full endpoint list; `source` is the discovery service that it came from."""

    seq: int
    hosts: dict[str, dict[str, Any]]
    source: str


class EndpointListUpdate(NamedTuple):
    """The changes from one version of a source's endpoint list to another."""

    previous_seq: int
    seq: int
    changed: list[dict[str, Any]]
    removed: list[str]
    source: str


class OutageRecord(NamedTuple):
    """An endpoint's outage; it is over for good where its start is negative."""

    host: str
    outage: Outage


class DetachedRecord(NamedTuple):
    """Whether an operator has detached an endpoint."""

    host: str
    detached: bool


# Decoding


def decode_message(fields: Fields, body: bytes) -> AcceptedMessage:
    """Decode a message as it was accepted."""
    (
        message_id,
        class_name,
        destination,
        deadline_us,
        idempotency_key,
        tenant,
        order_key,
        rules_number,
    ) = fields
    return AcceptedMessage(
        message_id,
        class_name,
        destination,
        deadline_us,
        idempotency_key,
        tenant,
        body,
        order_key,
        rules_number=rules_number,
    )


def decode_checkpoint_message(fields: Fields, body: bytes) -> AcceptedMessage:
    """Decode a checkpoint's message; older journals end before the last two fields."""
    (
        message_id,
        class_name,
        destination,
        deadline_us,
        idempotency_key,
        tenant,
        attempts,
        executed_at_us,
        executed_on,
        in_flight,
        *later,
    ) = fields
    return AcceptedMessage(
        message_id,
        class_name,
        destination,
        deadline_us,
        idempotency_key,
        tenant,
        body,
        later[0] if later else None,
        attempts,
        executed_at_us,
        executed_on,
        {number: (started_at_us, host) for number, started_at_us, host in in_flight},
        later[1] if len(later) > 1 else -1,
    )


def decode_message_id(fields: Fields) -> str:
    """Decode the first field of a record about a message."""
    message_id: str = fields[0]
    return message_id


def decode_attempt(fields: Fields) -> AttemptRecord:
    """Decode the beginning of an attempt."""
    message_id, number, started_at_us, host = fields
    return AttemptRecord(message_id, number, started_at_us, host)


def decode_outcome(fields: Fields) -> OutcomeRecord:
    """Decode the end of an attempt."""
    message_id, number, may_have_executed = fields
    return OutcomeRecord(message_id, number, bool(may_have_executed))


def decode_pending_notification(fields: Fields) -> PendingNotification:
    """Decode what stands behind the message's id; version 1 has no order key."""
    return PendingNotification(*fields[1:])


def decode_endpoint_list(fields: Fields) -> EndpointListRecord:
    """Decode a full endpoint list; older journals do not name its source."""
    hosts = {host["host"]: host for host in fields[1]}
    source = fields[2] if len(fields) > 2 else ""
    return EndpointListRecord(fields[0], hosts, source)


def decode_endpoint_list_update(fields: Fields) -> EndpointListUpdate:
    """Decode the changes of an endpoint list."""
    previous_seq, seq, changed, removed, source = fields
    return EndpointListUpdate(previous_seq, seq, changed, removed, source)


def decode_rules(fields: Fields) -> RulesRecord:
    """Decode delivery rules."""
    number, attempts, classes = fields
    rules = DeliveryRules(attempts, tuple(map(_decode_class, classes)))
    return RulesRecord(number, rules)


def decode_detached(fields: Fields) -> DetachedRecord:
    """Decode whether an endpoint is detached."""
    host, detached = fields
    return DetachedRecord(host, bool(detached))


def decode_outage(fields: Fields) -> OutageRecord:
    """Decode an endpoint's outage."""
    host, started_at_us, recovered_at_us = fields
    return OutageRecord(host, Outage(started_at_us, recovered_at_us))


def decode_clock(fields: Fields) -> JournalClock:
    """Decode what the times that follow are based on."""
    base_us, boot_id = fields
    return JournalClock(base_us, boot_id)


def decompress_record(body: bytes) -> bytes:
    """Return the payload of the record that a compressed one holds."""
    return zlib.decompress(body)


# Encoding

# Each message has these records: a plain string costs less than an enum's member.
_MESSAGE_KIND = RecordKind.MESSAGE.value
_CHECKPOINT_MESSAGE_KIND = RecordKind.CHECKPOINT_MESSAGE.value
_ATTEMPT_KIND = RecordKind.ATTEMPT.value
_OUTCOME_KIND = RecordKind.OUTCOME.value
_FINISHED_KIND = RecordKind.FINISHED.value
_PENDING_NOTIFICATION_KIND = RecordKind.PENDING_NOTIFICATION.value
_ACKNOWLEDGED_KIND = RecordKind.ACKNOWLEDGED.value


def _json_default(value: object) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    raise TypeError(f"cannot be journaled: {value!r}")


_encode_json = json.JSONEncoder(separators=(",", ":"), default=_json_default).encode


def encode_record(*line: Any, body: bytes | None = None) -> bytes:
    """Encode a record's payload from its kind and fields, and a message's body."""
    text = _encode_json(line).encode()
    return text if body is None else text + b"\n" + body


def encode_message(message: AcceptedMessage) -> bytes:
    """Encode a message, as it was accepted or with its attempts up to now."""
    if not message.attempts:
        return encode_record(
            _MESSAGE_KIND,
            message.id,
            message.class_name,
            message.destination,
            message.deadline_us,
            message.idempotency_key,
            message.tenant,
            message.order_key,
            message.rules_number,
            body=message.body,
        )
    in_flight = [
        [number, started_at_us, host]
        for number, (started_at_us, host) in message.in_flight.items()
    ]
    return encode_record(
        _CHECKPOINT_MESSAGE_KIND,
        message.id,
        message.class_name,
        message.destination,
        message.deadline_us,
        message.idempotency_key,
        message.tenant,
        message.attempts,
        message.executed_at_us,
        message.executed_on,
        in_flight,
        message.order_key,
        message.rules_number,
        body=message.body,
    )


def encode_attempt(
    message_id: str, number: int, started_at_us: int, host: str
) -> bytes:
    """Encode the beginning of an attempt."""
    return encode_record(_ATTEMPT_KIND, message_id, number, started_at_us, host)


def encode_outcome(message_id: str, number: int, may_have_executed: bool) -> bytes:
    """Encode the end of an attempt."""
    return encode_record(_OUTCOME_KIND, message_id, number, int(may_have_executed))


def encode_finished(message_id: str) -> bytes:
    """Encode a message's end that needs no notification."""
    return encode_record(_FINISHED_KIND, message_id)


def encode_pending_notification(message_id: str, end: PendingNotification) -> bytes:
    """Encode a message's end that the platform has not acknowledged."""
    return encode_record(_PENDING_NOTIFICATION_KIND, message_id, *end)


def encode_acknowledgement(message_id: str) -> bytes:
    """Encode that the platform has acknowledged a message's end."""
    return encode_record(_ACKNOWLEDGED_KIND, message_id)


def encode_list(seq: int, hosts: dict[str, dict[str, Any]], source: str) -> bytes:
    """Encode a full endpoint list, compressed where it is long.

    Each file holds one, and the journal's space on disk is limited.
    """
    plain = encode_record(RecordKind.ENDPOINT_LIST, seq, [*hosts.values()], source)
    if len(plain) <= UNCOMPRESSED_LIST_BYTES:
        return plain
    compressed = zlib.compress(plain, COMPRESSION_LEVEL)
    return encode_record(RecordKind.COMPRESSED, body=compressed)


def encode_rules(number: int, rules: DeliveryRules) -> bytes:
    """Encode delivery rules under their number."""
    classes = [class_record(message_class) for message_class in rules.classes]
    return encode_record(RecordKind.RULES, number, rules.attempts, classes)


def encode_detached(host: str, detached: bool) -> bytes:
    """Encode whether an endpoint is detached."""
    return encode_record(RecordKind.DETACHED, host, detached)


def encode_outage(host: str, outage: Outage) -> bytes:
    """Encode an endpoint's outage."""
    return encode_record(RecordKind.OUTAGE, host, *outage)


def encode_clock(clock: JournalClock) -> bytes:
    """Encode what the times that follow are based on."""
    return encode_record(RecordKind.CLOCK, *clock)


def encode_closed() -> bytes:
    """Encode that the process ended in order."""
    return encode_record(RecordKind.CLOSED)


def encode_endpoint_list_update(update: EndpointListUpdate) -> bytes:
    """Encode the changes of an endpoint list."""
    return encode_record(RecordKind.ENDPOINT_LIST_UPDATE, *update)


# Message classes within delivery rules

CLASS_KEYS = {
    "name": "name",
    "latency_objective_us": "aim_us",
    "deadline_us": "deadline_us",
    "idempotency": "effect",
    "idempotency_scope": "scope",
    "idempotency_window_us": "window_us",
    "ordered": "in_order",
    "priority_weight": "worth",
    "late_priority_weight": "late_worth",
}
"""A class's attributes, in the order of its record, and the keys of that record.

The keys are on disk: they are appended to, and never renamed. The wire and the
settings have other names for some (docs/glossary.md).
"""


def class_record(message_class: MessageClass) -> dict[str, Any]:
    """Return a class in its stored form."""
    return {
        key: getattr(message_class, attribute) for attribute, key in CLASS_KEYS.items()
    }


def _decode_class(stored: dict[str, Any]) -> MessageClass:
    """Decode a class; keys that a later program added are passed over."""
    known = {
        attribute: stored[key] for attribute, key in CLASS_KEYS.items() if key in stored
    }
    return MessageClass(
        **{
            **known,
            "idempotency": Idempotency(stored["effect"]),
            "idempotency_scope": IdempotencyScope(stored["scope"]),
        }
    )
