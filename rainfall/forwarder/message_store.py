"""Persistent store of accepted messages and their progress, backed by the journal.

`journal.state` defines the meaning of the records, `journal.writer` writes them.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from contextlib import suppress
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

from rainfall.forwarder.units import NS_PER_US
from rainfall.journal import records
from rainfall.journal.files import FileSystem, LocalFileSystem
from rainfall.journal.format import VERSION
from rainfall.journal.records import EndpointListUpdate, Outage
from rainfall.journal.recovery import recover, this_boot
from rainfall.journal.state import (
    MAX_FINISHED_IDS_BYTES,
    MESSAGE_OVERHEAD_BYTES,
    AcceptedMessage,
    DeliveryRules,
    JournalState,
    PendingNotification,
    encode_list,
    encode_message,
)
from rainfall.journal.writer import RESERVED_BYTES, JournalWriter, SyncWorker

__all__ = [
    "AcceptedMessage",
    "DeliveryRules",
    "MessageStore",
    "NotificationState",
    "PendingNotification",
    "SyncWorker",
]
BLOCK_BYTES = 512
"""Block size of the file system: a file may use up to a block more than its size."""
CAPACITY_BLOCKS = 2
"""Number of files that exist at the same time: the journal, and the new one while it is
compacted.
"""
NOTIFICATION_BYTES = 200
"""Maximum size of a pending notification's record."""
ENDPOINT_RECORD_BYTES = 100
"""Maximum size of the record of an outage or of a disabled endpoint."""
INCREMENTAL_DIVISOR = 4
"""Only the changes of an endpoint list are written if they are fewer than the number of
its endpoints divided by this; otherwise the complete list is.
"""
OUTAGE_RETENTION_US = 3_600_000_000
"""How long an outage is kept: its endpoint may leave the list and return, and still
needs its slow start then.
"""
log = logging.getLogger("rainfall.store")


def wall_clock_offset_us() -> int:
    """Return the Unix time minus the monotonic clock, in microseconds."""
    return (time.time_ns() - time.monotonic_ns()) // NS_PER_US


class NotificationState(StrEnum):
    """How a message ended, in the journal and in its notification."""

    RETURNED = "returned"
    """The message was rejected, and may be submitted again."""
    FAILED = "failed"
    """The message failed for good."""


class UnsyncedNotification(NamedTuple):
    """A pending notification that is not persisted yet."""

    position: int
    """Number of records appended up to and including its own."""
    deadline_us: int
    """The message's deadline; 0 if the message is unknown."""


class MessageStore(JournalState):
    """Holds the state of all messages, and appends each change to the journal.

    Records are buffered. `flush` writes them, and `commit` calls back once they are
    persisted, so that callers can send what depends on them only after that. With a
    `worker` (the durability level `power`) records are persisted once they are synced,
    without one (`process`) once they are written.
    """

    def __init__(
        self,
        folder: Path,
        max_disk_bytes: int,
        write: bool = True,
        *,
        base_us: int | None = None,
        worker: SyncWorker | None = None,
        files: FileSystem | None = None,
    ) -> None:
        """Read the journal, and open it for writing.

        Args:
            folder: The state directory.
            max_disk_bytes: Maximum disk usage of the journal's files.
            write: Whether to open it for writing now; otherwise the caller calls
                `begin_writing` later.
            base_us: Unix time minus the caller's clock, in microseconds; by default the
                caller's clock is the monotonic one.
            worker: Syncs written records; without one nothing is synced.
            files: The file system; by default the local one.
        """
        super().__init__()
        self.files = files or LocalFileSystem()
        if files is None:
            folder.mkdir(parents=True, exist_ok=True)
        self.log = JournalWriter(
            folder,
            self.files,
            self.usable_bytes(max_disk_bytes),
            worker,
            self.checkpoint,
            self.min_compacted_bytes,
        )
        self.report = recover(
            self.files,
            folder,
            self,
            wall_clock_offset_us() if base_us is None else base_us,
            this_boot(),
            time.monotonic_ns() // NS_PER_US,
            predecessor_runs=not write,
        )
        self.unsynced_notifications: dict[str, UnsyncedNotification] = {}
        """Pending notifications that are not persisted yet, by message id."""
        self.log.size = self.report.size
        has_fault = self.report.damaged or self.report.torn
        log.log(
            logging.WARNING if has_fault else logging.INFO, "%s", self.report.summary()
        )
        if write:
            self.begin_writing()

    @property
    def path(self) -> Path:
        """Path of the journal's file."""
        return self.log.path

    @property
    def size(self) -> int:
        """Size of the journal's file in bytes."""
        return self.log.size

    @property
    def max_bytes(self) -> int:
        """Maximum size of the journal's files together, in bytes."""
        return self.log.max_bytes

    @max_bytes.setter
    def max_bytes(self, max_bytes: int) -> None:
        self.log.max_bytes = max_bytes

    @property
    def failed(self) -> bool:
        """Whether a write failed, so that no new message is accepted."""
        return self.log.failed

    @property
    def fd(self) -> int:
        """Descriptor of the journal's file; negative while not open for writing."""
        return self.log.fd

    @staticmethod
    def usable_bytes(max_disk_bytes: int) -> int:
        """Return the maximum size of files whose disk usage is `max_disk_bytes`."""
        return max_disk_bytes - CAPACITY_BLOCKS * BLOCK_BYTES

    def begin_writing(self) -> None:
        """Open the journal for writing.

        Its file must not have changed since it was read.
        """
        report = self.report
        if report.damaged and self.log.keep_damaged_file(
            report.size, self.min_compacted_bytes()
        ):
            log.warning(
                "journal: the damaged file is kept as %s", self.log.damaged_path
            )
        # A file of another version, or with faults, is replaced by a new one.
        is_sound = (
            report.version == VERSION and not report.damaged and not report.changed
        )
        head = (report.salt, report.generation, report.number)
        self.log.begin(report.end, report.torn, head if is_sound else None)
        if is_sound and self.clock is not None:
            self.log.append(records.encode_clock(self.clock))

    # Writing

    def use_rules(self, rules: DeliveryRules) -> None:
        """Set the rules of all messages that are accepted from now on."""
        if self.rules.get(self.current_rules_number) != rules:
            self.current_rules_number = max(self.rules, default=-1) + 1
            self.rules[self.current_rules_number] = rules
            self.log.append(self.encode_rules(self.current_rules_number))

    def append_message(self, message: AcceptedMessage) -> None:
        """Record an accepted message."""
        message.rules_number = self.current_rules_number
        self._add_message(message)
        self.log.append(encode_message(message))

    def append_attempt(
        self, message: AcceptedMessage, number: int, started_at_us: int, host: str
    ) -> None:
        """Record the start of an attempt.

        Args:
            message: The message.
            number: Number of the attempt, from 0.
            started_at_us: When it started.
            host: Name of the endpoint.
        """
        message.in_flight[number] = (started_at_us, host)
        message.attempts = max(message.attempts, number + 1)
        self.log.append(records.encode_attempt(message.id, number, started_at_us, host))

    def append_outcome(
        self, message: AcceptedMessage, number: int, may_have_executed: bool
    ) -> None:
        """Record the outcome of an attempt, and whether it may have been executed."""
        self.apply_outcome(message, number, may_have_executed)
        self.log.append(records.encode_outcome(message.id, number, may_have_executed))

    def append_finished(self, message_id: str) -> None:
        """Record the end of a message that needs no notification.

        The message was delivered or withdrawn, or its endpoint reported that it has
        expired.
        """
        if message_id in self.messages:
            self.remove_message(message_id)
            self.log.append(records.encode_finished(message_id))

    def append_withdrawn(self, message_id: str) -> None:
        """Record the end of a message none of whose attempts was sent.

        Its attempts are recorded as not executed, so that its id is not remembered.
        """
        message = self.messages.get(message_id)
        if message is None:
            return
        for number in list(message.in_flight):
            self.append_outcome(message, number, False)
        self.append_finished(message_id)

    def append_notification(self, message_id: str, state: str, after_ms: int) -> None:
        """Record the end of a message of which the platform must be notified.

        Args:
            message_id: The message's id.
            state: The value of a `NotificationState`.
            after_ms: After how many milliseconds its client may submit it again; 0 if
                that is not specified.
        """
        message = self.messages.get(message_id)
        order_key = message.order_key if message is not None else None
        notification = PendingNotification(state, after_ms, order_key)
        self.add_pending_notification(message_id, notification)
        self.log.append(records.encode_pending_notification(message_id, notification))
        if self.log.worker is not None:
            deadline_us = message.deadline_us if message is not None else 0
            self.unsynced_notifications[message_id] = UnsyncedNotification(
                self.log.appended, deadline_us
            )

    def append_acknowledgement(self, message_id: str) -> None:
        """Record that the platform acknowledged a notification."""
        if message_id in self.pending_notifications:
            del self.pending_notifications[message_id]
            self.unsynced_notifications.pop(message_id, None)
            self.log.append(records.encode_acknowledgement(message_id))

    def sendable_notifications(self, now_us: int) -> dict[str, PendingNotification]:
        """Return the pending notifications that may be sent, by message id.

        A notification must be persisted first. Otherwise, after a restart without its
        record, the message could still be sent although the notification lets its
        client submit it again. No restart sends a message after its deadline: if the
        journal cannot be written, its notification may be sent from then on.

        Args:
            now_us: The current time.
        """
        if not self.unsynced_notifications:
            return self.pending_notifications
        self.unsynced_notifications = {
            message_id: unsynced
            for message_id, unsynced in self.unsynced_notifications.items()
            if unsynced.position > self.log.persisted
            and (unsynced.deadline_us > now_us or not self.log.incomplete)
        }
        return {
            message_id: notification
            for message_id, notification in self.pending_notifications.items()
            if message_id not in self.unsynced_notifications
        }

    def append_endpoint_list(
        self, version: int, hosts: dict[str, dict[str, Any]], now_us: int, source: str
    ) -> None:
        """Record the endpoint list, and drop outages older than OUTAGE_RETENTION_US.

        Outages of endpoints that are not listed are kept until then as well.

        Args:
            version: Version of the list.
            hosts: All listed endpoints by name, as discovery sent them.
            now_us: The current time.
            source: The discovery service that the list came from.
        """
        self.log.append(self.encode_endpoint_list(version, hosts, source))
        self.seq = version
        self.source = source
        self.hosts = dict(hosts)
        oldest_us = now_us - OUTAGE_RETENTION_US
        self.outages = {
            host: outage
            for host, outage in self.outages.items()
            if max(outage) > oldest_us
        }

    def encode_endpoint_list(
        self, version: int, hosts: dict[str, dict[str, Any]], source: str
    ) -> bytes:
        """Encode an endpoint list, as changes of the current one if they are few."""
        previous = self.hosts
        changed = [
            host
            for name, host in hosts.items()
            if previous.get(name) is not host and previous.get(name) != host
        ]
        removed = [name for name in previous if name not in hosts]
        if (
            source == self.source
            and self.seq >= 0
            and len(changed) + len(removed) < len(hosts) // INCREMENTAL_DIVISOR
        ):
            self.list_bytes = self.list_bytes * len(hosts) // len(previous)
            update = EndpointListUpdate(self.seq, version, changed, removed, source)
            return records.encode_endpoint_list_update(update)
        payload = encode_list(version, hosts, source)
        self.list_bytes = len(payload)
        return payload

    def append_outage(
        self, host: str, started_at_us: int, recovered_at_us: int
    ) -> None:
        """Record an endpoint's outage, or its recovery; see `Outage`."""
        outage = Outage(started_at_us, recovered_at_us)
        self.set_outage(host, outage)
        self.log.append(records.encode_outage(host, outage))

    def append_detached(self, host: str, detached: bool) -> None:
        """Record that an operator has disabled or enabled an endpoint."""
        self.set_detached(host, detached)
        self.log.append(records.encode_detached(host, detached))

    def min_compacted_bytes(self) -> int:
        """Return the size of a compacted file, without its small records."""
        return self.live_bytes + self.list_bytes + self.checkpoint_ids_bytes()

    def checkpoint_ids_bytes(self) -> int:
        """Return the size of the ids of finished messages in a compacted file."""
        return min(self.finished_ids_bytes, MAX_FINISHED_IDS_BYTES)

    def has_capacity(self, extra_bytes: int) -> bool:
        """Whether there is disk space for one more message.

        A compacted file must fit beside the old one. A damaged file that was kept is
        deleted if that makes enough space.

        Args:
            extra_bytes: Size of the message's body, and of the bodies of other messages
                that may still be accepted before it.
        """
        message_bytes = self.live_bytes + extra_bytes + MESSAGE_OVERHEAD_BYTES
        other_bytes = (
            NOTIFICATION_BYTES * len(self.pending_notifications)
            + self.list_bytes
            + self.checkpoint_ids_bytes()
            + ENDPOINT_RECORD_BYTES * (len(self.outages) + len(self.detached))
        )
        needed_bytes = 2 * (message_bytes + other_bytes) + RESERVED_BYTES
        if needed_bytes + self.log.damaged_bytes > self.log.max_bytes >= needed_bytes:
            self.log.drop_damaged_file()
        return (
            not self.log.failed
            and needed_bytes + self.log.damaged_bytes <= self.log.max_bytes
        )

    def flush(self) -> None:
        """Write the buffered records."""
        self.log.flush()

    def commit(self, on_persisted: Callable[[bool], None]) -> None:
        """Call `on_persisted(True)` once all records are persisted, or with False."""
        self.log.commit(on_persisted)

    def compact(self) -> bool:
        """Replace the journal by one of the current state only, if it fits.

        Returns:
            Whether it was replaced, or the worker is about to replace it.
        """
        return self.log.rewrite()

    def close(self) -> None:
        """Stop writing, because the process ends in an orderly way.

        The journal is synced at every durability level, and its last record states the
        orderly end. So the next start knows that no record is missing at its end.
        """
        self.flush()
        if self.log.worker_busy:
            # The disk is not responding. The descriptor must stay open during the sync.
            self.log.writing = False
            return
        if self.fd >= 0 and not self.log.incomplete:
            self.log.append(records.encode_closed())
            self.flush()
            with suppress(OSError):
                self.files.sync(self.fd)
        self.release()

    def release(self) -> None:
        """Stop writing, so that another process may write."""
        self.log.release()

    def metrics(self) -> dict[str, Any]:
        """Return the result of the recovery at startup and statistics of writing."""
        writer = self.log
        return {
            "level": "power" if writer.worker else "process",
            "generation": writer.generation,
            "size": writer.size,
            "set_aside": writer.damaged_bytes,
            "failed": writer.failed,
            "faults": writer.failures,
            "bytes": writer.bytes_written,
            "rewrites": writer.rewrites,
            "syncs": writer.syncs,
            "sync_s": round(writer.total_sync_s, 3),
            "longest_sync_ms": round(1000 * writer.longest_sync_s, 1),
            "recovered": self.report.metrics(),
        }
