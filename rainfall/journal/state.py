"""The state that the journal's records add up to.

`records` says what each record holds and how it is stored. Retry-after times,
capacity windows and latency means are not stored: a restart ends the first and learns
the others again.
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
"""Lost messages that are named; about 100 bytes of memory each."""
HOST_RECORD_BYTES = 200
"""What an endpoint takes in the record of a list, roughly."""
log = logging.getLogger("rainfall.store")

RecordReader = Callable[[Fields, bytes], None]


class DoubtsResolved(NamedTuple):
    """How the messages in doubt were resolved."""

    with_assumed_attempt: int
    """Messages that got an attempt that may have been executed."""
    ended: int
    """Messages with an order key, which were ended as failed."""


class JournalState:
    """Everything that a restart has to know, as the records up to here say."""

    def __init__(self) -> None:
        self.messages: dict[str, AcceptedMessage] = {}
        self.live_index = LiveIndex()
        """Of `messages`."""
        self.pending_notifications: dict[str, PendingNotification] = {}
        self.outages: dict[str, Outage] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.detached: dict[str, None] = {}
        self.rules: dict[int, DeliveryRules] = {}
        self.current_rules_number = -1
        self.seq = -1
        """Version of the endpoint list; -1: none is known."""
        self.source = ""
        """The discovery service that the endpoint list came from."""
        self.live_bytes = 0
        """Bytes of `messages` in a compacted file."""
        self.list_bytes = 0
        """Bytes of the endpoint list in a compacted file."""
        self.clock: JournalClock | None = None
        self.closed_cleanly = False
        self.unknown_records = 0
        """Records of no form that this program knows."""
        self.lost_messages: dict[str, None] = {}
        """Messages that later records name, while the record of each is missing."""
        self.damaged = False
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
            RecordKind.CLOCK: self._read_clock,
            RecordKind.CLOSED: self._read_closed,
        }
        return {
            stored_name: readers[kind]
            for stored_name, kind in records.KIND_BY_STORED_NAME.items()
        }

    # Reading

    def apply_record(self, payload: bytes) -> None:
        """Apply a record; one of an unknown form is counted and passed over."""
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
        log.error("journal: a record of unknown form is passed over: %r", error)

    def mark_in_doubt(self) -> None:
        """Note that records are missing here.

        They may tell more of the messages that have been accepted until now.
        """
        self.damaged = True
        for message in self.messages.values():
            message.in_doubt = True

    def resolve_doubts(self) -> DoubtsResolved:
        """Resolve what is still in doubt, once all records are read.

        A message in doubt gets an attempt that may have been executed. One with an
        order key is ended: a later message of its key may have been delivered already.
        """
        doubted = [message for message in self.messages.values() if message.in_doubt]
        ended = [message for message in doubted if message.order_key is not None]
        for message in ended:
            end = PendingNotification("failed", 0, message.order_key)
            self.add_pending_notification(message.id, end)
        for message in doubted:
            message.in_doubt = False
            if message.order_key is None:
                self._assume_attempt(message)
        return DoubtsResolved(len(doubted) - len(ended), len(ended))

    def _assume_attempt(self, message: AcceptedMessage) -> None:
        message_class = self.class_of(message)
        accepted_at_us = 0
        if message_class is not None:
            accepted_at_us = max(0, message.deadline_us - message_class.deadline_us)
        message.in_flight[message.attempts] = (accepted_at_us, "")
        message.attempts += 1

    def shift_times(self, by_us: int) -> None:
        """Move all times: the wall clock was set, or it is that of another boot."""
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
        """Give a live message another deadline."""
        self.live_index.change_deadline(message.id, message.deadline_us, deadline_us)
        message.deadline_us = deadline_us

    def forget_messages(self) -> None:
        """Drop all messages: another process owns them now."""
        self.messages.clear()
        self.live_index.clear()

    def _note_missing(self, message_id: str) -> None:
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
            self._note_missing(attempt.message_id)
            return
        if attempt.number == message.attempts:
            # It is the next number: no attempt and no end stood in the gap before it.
            message.in_doubt = False
        message.in_flight[attempt.number] = (attempt.started_at_us, attempt.host)
        message.attempts = max(message.attempts, attempt.number + 1)

    def _read_outcome(self, fields: Fields, _body: bytes) -> None:
        outcome = records.decode_outcome(fields)
        message = self.messages.get(outcome.message_id)
        if message is None:
            self._note_missing(outcome.message_id)
            return
        self.apply_outcome(message, outcome.number, outcome.may_have_executed)

    @staticmethod
    def apply_outcome(
        message: AcceptedMessage, number: int, may_have_executed: bool
    ) -> None:
        """End an attempt; of those that may have been executed the earliest is kept."""
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
        """Drop a message that has ended, if it is known."""
        message = self.messages.pop(message_id, None)
        self.lost_messages.pop(message_id, None)
        if message is not None:
            self.live_index.remove(message.id, message.destination, message.deadline_us)
            self.live_bytes -= message.size

    def _read_pending_notification(self, fields: Fields, _body: bytes) -> None:
        # The message has ended also where the rest of the record is of unknown form.
        message_id = records.decode_message_id(fields)
        self.remove_message(message_id)
        end = records.decode_pending_notification(fields)
        self.add_pending_notification(message_id, end)

    def add_pending_notification(
        self, message_id: str, end: PendingNotification
    ) -> None:
        """Note a message's end that the platform has to acknowledge."""
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
            # The version that it builds on is lost: a full list has to be polled.
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
        """Note whether an operator has detached an endpoint."""
        if detached:
            self.detached[host] = None
        else:
            self.detached.pop(host, None)

    def _read_outage(self, fields: Fields, _body: bytes) -> None:
        record = records.decode_outage(fields)
        self.set_outage(record.host, record.outage)

    def set_outage(self, host: str, outage: Outage) -> None:
        """Note an endpoint's outage; one without a beginning removes it."""
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
        """Return the class that a message was accepted under, where it is known."""
        rules = self.rules.get(message.rules_number)
        if rules is None:
            return None
        classes = rules.classes
        return next((c for c in classes if c.name == message.class_name), None)

    def checkpoint(self) -> Iterator[bytes]:
        """Yield the records that add up to this state.

        Rules that no message names any more are dropped.
        """
        self.rules = self._used_rules()
        if self.clock is not None:
            yield records.encode_clock(self.clock)
        # The rules that were read last are the current ones.
        numbers = sorted(self.rules, key=lambda n: (n == self.current_rules_number, n))
        for number in numbers:
            yield self.encode_rules(number)
        yield encode_list(self.seq, self.hosts, self.source)
        for host in self.detached:
            yield records.encode_detached(host, True)
        for host, outage in self.outages.items():
            yield records.encode_outage(host, outage)
        for message in self.messages.values():
            yield encode_message(message)
        for message_id, end in self.pending_notifications.items():
            yield records.encode_pending_notification(message_id, end)

    def _used_rules(self) -> dict[int, DeliveryRules]:
        used = {message.rules_number for message in self.messages.values()}
        used.add(self.current_rules_number)
        return {n: rules for n, rules in self.rules.items() if n in used}

    def encode_rules(self, number: int) -> bytes:
        """Encode the delivery rules of a number."""
        return records.encode_rules(number, self.rules[number])

    def comparable_contents(self) -> dict[str, Any]:
        """Return all that has to be the same after a recovery."""
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
