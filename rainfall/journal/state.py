"""The state that results from applying the journal's records.

The module `records` defines the contents and the encoding of each record. Retry-after
times, capacity windows and latency means are not stored: a restart discards the
retry-after times and measures the others again.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from rainfall.dispatch import MessageClass
from rainfall.journal import records
from rainfall.journal.live_index import LiveIndex
from rainfall.journal.records import (
    MESSAGE_OVERHEAD_BYTES,
    AcceptedMessage,
    DeliveryRules,
    Fields,
    JournalClock,
    Outage,
    PendingNotification,
    RecordKind,
    encode_list,
    encode_message,
    encode_record,
)

__all__ = [
    "MAX_LOST_MESSAGES",
    "MESSAGE_OVERHEAD_BYTES",
    "AcceptedMessage",
    "DeliveryRules",
    "JournalState",
    "PendingNotification",
    "encode_list",
    "encode_message",
    "encode_record",
]

MAX_LOST_MESSAGES = 10_000
"""Maximum number of lost message ids kept; each takes about 100 bytes of memory."""
MAX_FINISHED_IDS = 2_048
"""Ids of finished messages kept, as many as the running process keeps; 100 bytes each."""
MAX_FINISHED_IDS_BYTES = 16 * 1024
"""Size of the ids of finished messages that a checkpoint keeps, the newest ones."""
FINISHED_ID_OVERHEAD_BYTES = 4
"""Bytes of an id's quotes and separator in the record of finished ids."""
HOST_RECORD_BYTES = 200
"""Approximate size of an endpoint in the record of a list."""
log = logging.getLogger("rainfall.store")

RecordReader = Callable[[Fields, bytes], None]


class DoubtsResolved(NamedTuple):
    """Counts of messages in doubt, by how the doubt was resolved."""

    with_assumed_attempt: int
    """Messages to which an attempt that may have been executed was added."""
    ended: int
    """Messages with an order key that were ended as failed."""


class JournalState:
    """The state that a restart needs, after the records applied so far."""

    def __init__(self) -> None:
        self.messages: dict[str, AcceptedMessage] = {}
        self.live_index = LiveIndex()
        """Index of `messages`."""
        self.pending_notifications: dict[str, PendingNotification] = {}
        self.outages: dict[str, Outage] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.detached: dict[str, None] = {}
        self.rules: dict[int, DeliveryRules] = {}
        self.current_rules_number = -1
        self.seq = -1
        """Version of the endpoint list; -1: no list."""
        self.source = ""
        """The discovery service that the endpoint list came from."""
        self.live_bytes = 0
        """Estimated bytes of `messages` in a compacted file."""
        self.list_bytes = 0
        """Estimated bytes of the endpoint list in a compacted file."""
        self.clock: JournalClock | None = None
        self.closed_cleanly = False
        self.unknown_records = 0
        """Number of records of a form that this program does not support."""
        self.lost_messages: dict[str, None] = {}
        """Ids of messages that records refer to but whose own records are missing."""
        self.damaged = False
        self.finished_ids: dict[str, None] = {}
        """Ids of messages that ended lately and may have been executed, oldest first. A
        submission with one of them is a duplicate, also after a restart.
        """
        self.finished_ids_bytes = 0
        """Size of `finished_ids` in a checkpoint, if all were kept."""
        self.record_readers = self._readers_by_stored_name()

    def _readers_by_stored_name(self) -> dict[str, RecordReader]:
        readers: dict[RecordKind, RecordReader] = {
            RecordKind.MESSAGE: self._read_message,
            RecordKind.CHECKPOINT_MESSAGE: self._read_checkpoint_message,
            RecordKind.RULES: self._read_rules,
            RecordKind.ATTEMPT: self._read_attempt,
            RecordKind.OUTCOME: self._read_outcome,
            RecordKind.FINISHED: self._read_finished,
            RecordKind.PENDING_NOTIFICATION: self._read_pending_notification,
            RecordKind.ACKNOWLEDGED: self._read_acknowledgement,
            RecordKind.ENDPOINT_LIST: self._read_list,
            RecordKind.COMPRESSED: self._read_compressed,
            RecordKind.ENDPOINT_LIST_UPDATE: self._read_list_update,
            RecordKind.DETACHED: self._read_detached,
            RecordKind.OUTAGE: self._read_outage,
            RecordKind.RECENTLY_FINISHED: self._read_recently_finished,
            RecordKind.CLOCK: self._read_clock,
            RecordKind.CLOSED: self._read_closed,
        }
        return {
            stored_name: readers[kind]
            for stored_name, kind in records.KIND_BY_STORED_NAME.items()
        }

    # Reading

    def apply_record(self, payload: bytes) -> None:
        """Apply a record; a record of an unknown form is counted and skipped."""
        line, _, body = payload.partition(b"\n")
        try:
            kind, *fields = json.loads(line)
            self.closed_cleanly = False
            self.record_readers[kind](fields, body)
        except records.DECODING_ERRORS as error:
            self.unknown_records += 1
            self._log_unknown_record(error)

    @staticmethod
    def _log_unknown_record(error: Exception) -> None:
        log.error("journal: skipping a record of unknown form: %r", error)

    def mark_all_in_doubt(self) -> None:
        """Mark all current messages as in doubt, because records are missing here.

        The missing records may be attempts or outcomes of these messages.
        """
        self.damaged = True
        for message in self.messages.values():
            message.in_doubt = True

    def resolve_doubts(self) -> DoubtsResolved:
        """Resolve the messages that are still in doubt after all records are read.

        A message without an order key gets an attempt that may have been executed. A
        message with an order key is ended as failed, because a later message of the
        same key may have been delivered already.
        """
        in_doubt = [message for message in self.messages.values() if message.in_doubt]
        ended = [message for message in in_doubt if message.order_key is not None]
        for message in ended:
            end = PendingNotification("failed", 0, message.order_key)
            self.add_pending_notification(message.id, end)
        for message in in_doubt:
            message.in_doubt = False
            if message.order_key is None:
                self._assume_attempt(message)
        return DoubtsResolved(len(in_doubt) - len(ended), len(ended))

    def _assume_attempt(self, message: AcceptedMessage) -> None:
        message_class = self.class_of(message)
        accepted_at_us = 0
        if message_class is not None:
            accepted_at_us = max(0, message.deadline_us - message_class.deadline_us)
        message.in_flight[message.attempts] = (accepted_at_us, "")
        message.attempts += 1

    def shift_times(self, by_us: int) -> None:
        """Shift all times after the wall clock was set or the machine rebooted."""
        for message in self.messages.values():
            self.move_deadline(message, message.deadline_us + by_us)
            if message.executed_at_us >= 0:
                message.executed_at_us = max(0, message.executed_at_us + by_us)
            message.in_flight = {
                number: (max(0, started_at_us + by_us), host)
                for number, (started_at_us, host) in message.in_flight.items()
            }
        self.outages = {
            host: _shifted_outage(outage, by_us)
            for host, outage in self.outages.items()
        }

    def _read_message(self, fields: Fields, body: bytes) -> None:
        self._add_message(records.decode_message(fields, body))

    def _read_checkpoint_message(self, fields: Fields, body: bytes) -> None:
        self._add_message(records.decode_checkpoint_message(fields, body))

    def _add_message(self, message: AcceptedMessage) -> None:
        previous = self.messages.get(message.id)
        if previous is not None:
            self.live_index.remove(
                previous.id, previous.destination, previous.deadline_us
            )
            self.live_bytes -= previous.size
        self.messages[message.id] = message
        self.live_index.add(message.id, message.destination, message.deadline_us)
        self.live_bytes += message.size

    def move_deadline(self, message: AcceptedMessage, deadline_us: int) -> None:
        """Change the deadline of a live message."""
        self.live_index.change_deadline(message.id, message.deadline_us, deadline_us)
        message.deadline_us = deadline_us

    def clear_messages(self) -> None:
        """Remove all messages, because another process has taken ownership of them."""
        self.messages.clear()
        self.live_index.clear()

    def _record_lost_message(self, message_id: str) -> None:
        if (
            self.damaged
            and message_id not in self.pending_notifications
            and len(self.lost_messages) < MAX_LOST_MESSAGES
        ):
            self.lost_messages[message_id] = None

    def _read_attempt(self, fields: Fields, _body: bytes) -> None:
        attempt = records.decode_attempt(fields)
        message = self.messages.get(attempt.message_id)
        if message is None:
            self._record_lost_message(attempt.message_id)
            return
        if attempt.number == message.attempts:
            # The number is the next one, so the gap held no attempt or end of it.
            message.in_doubt = False
        message.in_flight[attempt.number] = (attempt.started_at_us, attempt.host)
        message.attempts = max(message.attempts, attempt.number + 1)

    def _read_outcome(self, fields: Fields, _body: bytes) -> None:
        outcome = records.decode_outcome(fields)
        message = self.messages.get(outcome.message_id)
        if message is None:
            self._record_lost_message(outcome.message_id)
            return
        self.apply_outcome(message, outcome.number, outcome.may_have_executed)

    @staticmethod
    def apply_outcome(
        message: AcceptedMessage, number: int, may_have_executed: bool
    ) -> None:
        """End an attempt; keep the earliest attempt that may have been executed."""
        attempt = message.in_flight.pop(number, None)
        if not may_have_executed or attempt is None:
            return
        started_at_us, host = attempt
        if message.executed_at_us < 0 or started_at_us < message.executed_at_us:
            message.executed_at_us = started_at_us
            message.executed_on = host

    def _read_finished(self, fields: Fields, _body: bytes) -> None:
        self.remove_message(records.decode_message_id(fields))

    def remove_message(self, message_id: str) -> None:
        """Remove a message that has ended, if it exists."""
        message = self.messages.pop(message_id, None)
        self.lost_messages.pop(message_id, None)
        if message is not None:
            self.live_index.remove(message.id, message.destination, message.deadline_us)
            self.live_bytes -= message.size
            if message.in_flight or message.executed_at_us >= 0:
                self._add_finished_id(message.id)

    def _add_finished_id(self, message_id: str) -> None:
        self._remove_finished_id(message_id)
        self.finished_ids[message_id] = None
        self.finished_ids_bytes += len(message_id) + FINISHED_ID_OVERHEAD_BYTES
        if len(self.finished_ids) > MAX_FINISHED_IDS:
            self._remove_finished_id(next(iter(self.finished_ids)))

    def _remove_finished_id(self, message_id: str) -> None:
        if message_id in self.finished_ids:
            del self.finished_ids[message_id]
            self.finished_ids_bytes -= len(message_id) + FINISHED_ID_OVERHEAD_BYTES

    def _read_recently_finished(self, fields: Fields, _body: bytes) -> None:
        for message_id in records.decode_recently_finished(fields):
            self._add_finished_id(message_id)

    def _checkpoint_finished_ids(self) -> list[str]:
        """Return the newest finished ids that fit into a checkpoint, oldest first."""
        kept: list[str] = []
        left_bytes = MAX_FINISHED_IDS_BYTES
        for message_id in reversed(self.finished_ids):
            left_bytes -= len(message_id) + FINISHED_ID_OVERHEAD_BYTES
            if left_bytes < 0:
                break
            kept.append(message_id)
        return kept[::-1]

    def _read_pending_notification(self, fields: Fields, _body: bytes) -> None:
        # The message has ended even if the rest of the record has an unknown form.
        message_id = records.decode_message_id(fields)
        self.remove_message(message_id)
        end = records.decode_pending_notification(fields)
        self.add_pending_notification(message_id, end)

    def add_pending_notification(
        self, message_id: str, end: PendingNotification
    ) -> None:
        """Replace a message by its notification, which must be acknowledged."""
        self.remove_message(message_id)
        self.pending_notifications[message_id] = end

    def _read_acknowledgement(self, fields: Fields, _body: bytes) -> None:
        self.pending_notifications.pop(records.decode_message_id(fields), None)

    def _read_list(self, fields: Fields, _body: bytes) -> None:
        endpoint_list = records.decode_endpoint_list(fields)
        self.seq = endpoint_list.seq
        self.source = endpoint_list.source
        self.hosts = endpoint_list.hosts
        self.list_bytes = HOST_RECORD_BYTES * len(self.hosts)

    def _read_compressed(self, _fields: Fields, body: bytes) -> None:
        self.apply_record(records.decompress_record(body))
        self.list_bytes = len(body)

    def _read_list_update(self, fields: Fields, _body: bytes) -> None:
        update = records.decode_endpoint_list_update(fields)
        if (update.previous_seq, update.source) != (self.seq, self.source):
            # The list that the update applies to is missing; poll a complete list.
            self.seq = -1
            return
        for name in update.removed:
            self.hosts.pop(name, None)
        self.hosts.update((host["host"], host) for host in update.changed)
        self.seq = update.seq

    def _read_rules(self, fields: Fields, _body: bytes) -> None:
        record = records.decode_rules(fields)
        self.rules[record.number] = record.rules
        self.current_rules_number = record.number

    def _read_detached(self, fields: Fields, _body: bytes) -> None:
        record = records.decode_detached(fields)
        self.set_detached(record.host, record.detached)

    def set_detached(self, host: str, detached: bool) -> None:
        """Set whether an operator has detached an endpoint."""
        if detached:
            self.detached[host] = None
        else:
            self.detached.pop(host, None)

    def _read_outage(self, fields: Fields, _body: bytes) -> None:
        record = records.decode_outage(fields)
        self.set_outage(record.host, record.outage)

    def set_outage(self, host: str, outage: Outage) -> None:
        """Set an endpoint's outage; a negative start removes it."""
        if outage.started_at_us < 0:
            self.outages.pop(host, None)
        else:
            self.outages[host] = outage

    def _read_clock(self, fields: Fields, _body: bytes) -> None:
        self.clock = records.decode_clock(fields)

    def _read_closed(self, _fields: Fields, _body: bytes) -> None:
        self.closed_cleanly = True

    # Writing

    def class_of(self, message: AcceptedMessage) -> MessageClass | None:
        """Return the class that a message was accepted under; None if unknown."""
        rules = self.rules.get(message.rules_number)
        if rules is None:
            return None
        classes = rules.classes
        return next(
            (
                candidate
                for candidate in classes
                if candidate.name == message.class_name
            ),
            None,
        )

    def checkpoint(self) -> Iterator[bytes]:
        """Yield the records from which this state can be rebuilt.

        Rules that no message refers to are removed, except the current ones.
        """
        self.rules = self._used_rules()
        if self.clock is not None:
            yield records.encode_clock(self.clock)
        # A reader takes the last rules as the current ones, so they are written last.
        numbers = sorted(
            self.rules,
            key=lambda rules_number: (
                rules_number == self.current_rules_number,
                rules_number,
            ),
        )
        for number in numbers:
            yield self.encode_rules(number)
        yield encode_list(self.seq, self.hosts, self.source)
        for host in self.detached:
            yield records.encode_detached(host, True)
        for host, outage in self.outages.items():
            yield records.encode_outage(host, outage)
        finished_ids = self._checkpoint_finished_ids()
        if finished_ids:
            yield records.encode_recently_finished(finished_ids)
        for message in self.messages.values():
            yield encode_message(message)
        for message_id, end in self.pending_notifications.items():
            yield records.encode_pending_notification(message_id, end)

    def _used_rules(self) -> dict[int, DeliveryRules]:
        used = {message.rules_number for message in self.messages.values()}
        used.add(self.current_rules_number)
        return {number: rules for number, rules in self.rules.items() if number in used}

    def encode_rules(self, number: int) -> bytes:
        """Encode the delivery rules that have this number."""
        return records.encode_rules(number, self.rules[number])

    def comparable_contents(self) -> dict[str, Any]:
        """Return the contents that must be equal before and after a recovery."""
        return {
            "messages": list(self.messages.values()),
            "owed": self.pending_notifications,
            "outages": self.outages,
            "hosts": self.hosts,
            "detached": list(self.detached),
            "list": (self.seq, self.source),
            "rules": self._used_rules(),
        }


def _shifted_outage(outage: Outage, by_us: int) -> Outage:
    recovered_at_us = outage.recovered_at_us
    if recovered_at_us >= 0:
        recovered_at_us += by_us
    return Outage(max(0, outage.started_at_us + by_us), recovered_at_us)
