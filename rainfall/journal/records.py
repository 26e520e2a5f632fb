"""The journal's records: their types, and the codec between records and bytes.

A record is a line of JSON, `[kind, field, ...]`, followed for a message by a newline
and the message's body. `RecordKind` lists the kinds. The `encode_...` and `decode_...`
functions of a kind define the order of its fields. Stored times are microseconds of the
forwarder's clock.

A decoder raises one of `DECODING_ERRORS` for a record that does not have the expected
form: ValueError, KeyError, TypeError, IndexError or zlib.error.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Any, NamedTuple

from rainfall.dispatch import Idempotency, IdempotencyScope, MessageClass

MESSAGE_OVERHEAD_BYTES = 400
"""Bytes that an accepted message's later records may add to a compacted file."""
UNCOMPRESSED_LIST_BYTES = 64 * 1024
"""An endpoint list record above this size is compressed."""
COMPRESSION_LEVEL = 1
"""The fastest zlib level, since messages wait while the list is written."""
DECODING_ERRORS = (ValueError, KeyError, TypeError, IndexError, zlib.error)
"""Raised when a record of an unknown form is decoded or applied."""

Fields = list[Any]
"""A record's fields, without its kind, as decoded from JSON."""


class RecordKind(StrEnum):
    """The kinds of records, by stored name."""

    MESSAGE = "n"
    """A message was accepted."""
    CHECKPOINT_MESSAGE = "t"
    """A message in a checkpoint, with its attempts so far."""
    RULES = "r"
    """The delivery rules for messages accepted after this record."""
    ATTEMPT = "a"
    """An attempt begins; written before the first byte of the call is sent."""
    OUTCOME = "o"
    """An attempt has ended."""
    FINISHED = "x"
    """A message has ended and no notification is needed."""
    PENDING_NOTIFICATION = "e"
    """A message has ended and its notification is not yet acknowledged."""
    ACKNOWLEDGED = "d"
    """The platform has acknowledged the notification of a message's end."""
    ENDPOINT_LIST = "l"
    """A complete endpoint list, with the discovery service that sent it."""
    COMPRESSED = "p"
    """A record in compressed form."""
    ENDPOINT_LIST_UPDATE = "u"
    """Changes to the endpoint list of a given version and source."""
    DETACHED = "h"
    """An operator detached or re-attached an endpoint."""
    OUTAGE = "g"
    """An endpoint's outage, stored so that its slow start continues after a restart."""
    RECENTLY_FINISHED = "f"
    """Ids of messages that ended lately and may have been executed, in a checkpoint."""
    CLOCK = "c"
    """A process began to write; holds the base of its clock."""
    CLOSED = "z"
    """The process shut down cleanly, and everything it wrote is synced."""


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
"""Record kinds by their stored names in version 1."""
KIND_BY_STORED_NAME: dict[str, RecordKind] = {
    **{kind.value: kind for kind in RecordKind},
    **VERSION_1_KINDS,
}


@dataclass(slots=True)
class AcceptedMessage:
    """An accepted message, with the state needed to resume its delivery."""

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
    """Start of the first attempt that may have been executed; -1: none."""
    executed_on: str = ""
    in_flight: dict[int, tuple[int, str]] = field(default_factory=dict)
    """Start time and host of each unfinished attempt, by attempt number."""
    rules_number: int = -1
    """Number of the delivery rules it was accepted under; -1: unknown."""
    in_doubt: bool = False
    """Whether an unreadable part of the file may hold an attempt or outcome of it."""
    unsent_attempts: int = field(default=0, compare=False)
    """Attempts of this process that made no call; not stored."""

    @property
    def size(self) -> int:
        """Upper estimate of the message's bytes in a compacted file."""
        return (
            len(self.body)
            + len(self.id)
            + len(self.order_key or "")
            + MESSAGE_OVERHEAD_BYTES
        )


class DeliveryRules(NamedTuple):
    """Attempt limit and classes that a message keeps when the settings change."""

    attempts: int
    classes: tuple[MessageClass, ...]


class PendingNotification(NamedTuple):
    """A message's end whose notification the platform has not yet acknowledged."""

    state: str
    after_ms: int
    order_key: str | None = None


class Outage(NamedTuple):
    """When an endpoint's outage began and when the endpoint recovered; -1: not yet."""

    started_at_us: int
    recovered_at_us: int


class JournalClock(NamedTuple):
    """The clock that times in the journal refer to."""

    base_us: int
    """Offset from the machine's monotonic clock to Unix time."""
    boot_id: str
    """Id of the boot that the monotonic clock belongs to; empty: unknown."""


class AttemptRecord(NamedTuple):
    """The start of an attempt."""

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
    """Delivery rules and the number by which messages refer to them."""

    number: int
    rules: DeliveryRules


class EndpointListRecord(NamedTuple):
    """A complete endpoint list; `source` is the discovery service that sent it."""

    seq: int
    hosts: dict[str, dict[str, Any]]
    source: str


class EndpointListUpdate(NamedTuple):
    """Changes between two versions of a source's endpoint list."""

    previous_seq: int
    seq: int
    changed: list[dict[str, Any]]
    removed: list[str]
    source: str


class OutageRecord(NamedTuple):
    """An endpoint's outage; a negative start removes the outage."""

    host: str
    outage: Outage


class DetachedRecord(NamedTuple):
    """Whether an operator has detached an endpoint."""

    host: str
    detached: bool


# Decoding


def decode_message(fields: Fields, body: bytes) -> AcceptedMessage:
    """Decode an accepted message without attempts."""
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
    """Decode a message of a checkpoint; older journals lack the last two fields."""
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
        *optional_fields,
    ) = fields
    return AcceptedMessage(
        message_id,
        class_name,
        destination,
        deadline_us,
        idempotency_key,
        tenant,
        body,
        optional_fields[0] if optional_fields else None,
        attempts,
        executed_at_us,
        executed_on,
        {number: (started_at_us, host) for number, started_at_us, host in in_flight},
        optional_fields[1] if len(optional_fields) > 1 else -1,
    )


def decode_message_id(fields: Fields) -> str:
    """Return the message id, the first field of a record about a message."""
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
    """Decode the fields after the message id; version 1 has no order key."""
    return PendingNotification(*fields[1:])


def decode_recently_finished(fields: Fields) -> list[str]:
    """Decode the ids of messages that ended lately, oldest first."""
    message_ids: list[str] = fields[0]
    return [str(message_id) for message_id in message_ids]


def decode_endpoint_list(fields: Fields) -> EndpointListRecord:
    """Decode a complete endpoint list; older journals do not store its source."""
    hosts = {host["host"]: host for host in fields[1]}
    source = fields[2] if len(fields) > 2 else ""
    return EndpointListRecord(fields[0], hosts, source)


def decode_endpoint_list_update(fields: Fields) -> EndpointListUpdate:
    """Decode changes to an endpoint list."""
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
    """Decode the clock that the following times refer to."""
    base_us, boot_id = fields
    return JournalClock(base_us, boot_id)


def decompress_record(body: bytes) -> bytes:
    """Return the payload of the record inside a compressed record."""
    return zlib.decompress(body)


# Encoding

# Written for each message: a plain string is cheaper to encode than an enum member.
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
    raise TypeError(f"cannot encode value for the journal: {value!r}")


_encode_json = json.JSONEncoder(separators=(",", ":"), default=_json_default).encode


def encode_record(*kind_and_fields: Any, body: bytes | None = None) -> bytes:
    """Encode the payload of a record: its kind and fields, and optionally a body."""
    text = _encode_json(kind_and_fields).encode()
    return text if body is None else text + b"\n" + body


def encode_message(message: AcceptedMessage) -> bytes:
    """Encode a message, as a checkpoint message if it has attempts."""
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
    """Encode a message's end for which no notification is needed."""
    return encode_record(_FINISHED_KIND, message_id)


def encode_pending_notification(
    message_id: str, notification: PendingNotification
) -> bytes:
    """Encode a message's end whose notification is not yet acknowledged."""
    return encode_record(_PENDING_NOTIFICATION_KIND, message_id, *notification)


def encode_acknowledgement(message_id: str) -> bytes:
    """Encode the platform's acknowledgement of a message's end."""
    return encode_record(_ACKNOWLEDGED_KIND, message_id)


def encode_recently_finished(message_ids: list[str]) -> bytes:
    """Encode the ids of messages that ended lately, oldest first."""
    return encode_record(RecordKind.RECENTLY_FINISHED.value, message_ids)


def encode_list(seq: int, hosts: dict[str, dict[str, Any]], source: str) -> bytes:
    """Encode a complete endpoint list, compressed above `UNCOMPRESSED_LIST_BYTES`.

    Every journal file holds a complete list, and the journal's disk space is limited.
    """
    plain = encode_record(RecordKind.ENDPOINT_LIST, seq, [*hosts.values()], source)
    if len(plain) <= UNCOMPRESSED_LIST_BYTES:
        return plain
    compressed = zlib.compress(plain, COMPRESSION_LEVEL)
    return encode_record(RecordKind.COMPRESSED, body=compressed)


def encode_rules(number: int, rules: DeliveryRules) -> bytes:
    """Encode delivery rules and their number."""
    classes = [class_record(message_class) for message_class in rules.classes]
    return encode_record(RecordKind.RULES, number, rules.attempts, classes)


def encode_detached(host: str, detached: bool) -> bytes:
    """Encode whether an endpoint is detached."""
    return encode_record(RecordKind.DETACHED, host, detached)


def encode_outage(host: str, outage: Outage) -> bytes:
    """Encode an endpoint's outage."""
    return encode_record(RecordKind.OUTAGE, host, *outage)


def encode_clock(clock: JournalClock) -> bytes:
    """Encode the clock that the following times refer to."""
    return encode_record(RecordKind.CLOCK, *clock)


def encode_closed() -> bytes:
    """Encode that the process shut down cleanly."""
    return encode_record(RecordKind.CLOSED)


def encode_endpoint_list_update(update: EndpointListUpdate) -> bytes:
    """Encode changes to an endpoint list."""
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
"""Attributes of a message class and their keys on disk, in stored order.

Keys may be added but never renamed, since journals contain them. The wire and the
settings use other names for some of the attributes (docs/glossary.md).
"""


def class_record(message_class: MessageClass) -> dict[str, Any]:
    """Return the stored form of a message class."""
    return {
        key: getattr(message_class, attribute) for attribute, key in CLASS_KEYS.items()
    }


def _decode_class(stored: dict[str, Any]) -> MessageClass:
    """Decode a message class, ignoring keys added by later versions of the program."""
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
