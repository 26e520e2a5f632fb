"""Accepted messages and how far they got, in the journal of the state directory.

`journal.state` defines what the records mean, `journal.writer` how they are written.
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
"""Files may take up to a block more than they hold."""
CAPACITY_BLOCKS = 2
"""Files beside each other: the journal, and its successor while it is compacted."""
NOTIFICATION_BYTES = 200
"""Record of a pending notification at most."""
ENDPOINT_RECORD_BYTES = 100
"""Record of an outage or of a disabled endpoint at most."""
INCREMENTAL_DIVISOR = 4
"""The changes of an endpoint list are written where they are less than this part of it,
else the complete list.
"""
OUTAGE_RETENTION_US = 3_600_000_000
"""An outage is kept so long, as its endpoint may leave the list and come back cold."""
log = logging.getLogger("rainfall.store")


def wall_clock_offset_us() -> int:
    """Return Unix time less the monotonic clock, in microseconds."""
    return (time.time_ns() - time.monotonic_ns()) // NS_PER_US


class NotificationState(StrEnum):
    """How a message ended, as journaled and as its notification says."""

    RETURNED = "returned"
    """It was rejected, and may be submitted again."""
    FAILED = "failed"


class UnsyncedNotification(NamedTuple):
    """A pending notification that is not persisted yet."""

    position: int
    """Records that were appended up to its own."""
    deadline_us: int
    """Its message's deadline."""


class MessageStore(JournalState):
    """Keeps the state of all messages, and appends each change to the journal.

    Records are gathered: `flush` writes them, and `commit` reports when they are
    persisted, before anything that they precede is sent. With a `worker` that is once
    they are synced (the level `power`).
    """

    def __init__(
        self,
        folder: Path,
        most_bytes: int,
        write: bool = True,
        *,
        base_us: int | None = None,
        worker: SyncWorker | None = None,
        files: FileSystem | None = None,
    ) -> None:
        """Read the journal, and begin to write it.

        Args:
            folder: The state directory.
            most_bytes: What its files may take.
            write: Whether to begin at once; else `begin_writing` does.
            base_us: Unix time less the caller's clock; by default of the monotonic one.
            worker: Syncs what is written; without one nothing is synced.
            files: The file system.
        """
        super().__init__()
        self.files = files or LocalFileSystem()
        if files is None:
            folder.mkdir(parents=True, exist_ok=True)
        self.log = JournalWriter(
            folder,
            self.files,
            self.usable_bytes(most_bytes),
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
        """Pending notifications that are not persisted yet, by message."""
        self.log.size = self.report.size
        has_fault = self.report.damaged or self.report.torn
        log.log(
            logging.WARNING if has_fault else logging.INFO, "%s", self.report.summary()
        )
        if write:
            self.begin_writing()

    @property
    def path(self) -> Path:
        """The journal's file."""
        return self.log.path

    @property
    def size(self) -> int:
        """Bytes of the journal's file."""
        return self.log.size

    @property
    def max_bytes(self) -> int:
        """Bytes that the files may take."""
        return self.log.max_bytes

    @max_bytes.setter
    def max_bytes(self, max_bytes: int) -> None:
        self.log.max_bytes = max_bytes

    @property
    def failed(self) -> bool:
        """Whether writing failed, so that no message is accepted."""
        return self.log.failed

    @property
    def fd(self) -> int:
        """Descriptor of the journal's file; negative while it is not written."""
        return self.log.fd

    @staticmethod
    def usable_bytes(most_bytes: int) -> int:
        """Return how many bytes files may hold that take `most_bytes`."""
        return most_bytes - CAPACITY_BLOCKS * BLOCK_BYTES

    def begin_writing(self) -> None:
        """Begin to write; the file is as it was when it was read."""
        report = self.report
        if report.damaged and self.log.keep_damaged_file(
            report.size, self.min_compacted_bytes()
        ):
            log.warning(
                "journal: the damaged file is kept as %s", self.log.damaged_path
            )
        # A file of another version, or with faults, is not continued but written anew.
        is_sound = (
            report.version == VERSION and not report.damaged and not report.changed
        )
        continued = (report.salt, report.generation, report.number)
        self.log.begin(report.end, report.torn, continued if is_sound else None)
        if is_sound and self.clock is not None:
            self.log.append(records.encode_clock(self.clock))

    # Writing

    def use_rules(self, rules: DeliveryRules) -> None:
        """Apply these rules to all messages that are accepted from now on."""
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
        self, message: AcceptedMessage, number: int, at_us: int, host: str
    ) -> None:
        """Record an attempt at the endpoint named `host`."""
        message.in_flight[number] = (at_us, host)
        message.attempts = max(message.attempts, number + 1)
        self.log.append(records.encode_attempt(message.id, number, at_us, host))

    def append_outcome(
        self, message: AcceptedMessage, number: int, may_have_executed: bool
    ) -> None:
        """Record the outcome of an attempt."""
        self.apply_outcome(message, number, may_have_executed)
        self.log.append(records.encode_outcome(message.id, number, may_have_executed))

    def append_finished(self, name: str) -> None:
        """Record a message's end that needs no notification.

        It was delivered or withdrawn, or its endpoint said that it is over.
        """
        if name in self.messages:
            self.remove_message(name)
            self.log.append(records.encode_finished(name))

    def append_notification(self, name: str, state: str, after_ms: int) -> None:
        """Record a message's end of which the platform must be notified.

        Args:
            name: The message's id.
            state: The value of a `NotificationState`.
            after_ms: When its client may submit it again; 0 for no statement.
        """
        message = self.messages.get(name)
        order_key = message.order_key if message is not None else None
        notification = PendingNotification(state, after_ms, order_key)
        self.add_pending_notification(name, notification)
        self.log.append(records.encode_pending_notification(name, notification))
        if self.log.worker is not None:
            deadline_us = message.deadline_us if message is not None else 0
            self.unsynced_notifications[name] = UnsyncedNotification(
                self.log.appended, deadline_us
            )

    def append_acknowledgement(self, name: str) -> None:
        """Record that the platform acknowledged a notification."""
        if name in self.pending_notifications:
            del self.pending_notifications[name]
            self.unsynced_notifications.pop(name, None)
            self.log.append(records.encode_acknowledgement(name))

    def sendable_notifications(self, now_us: int) -> dict[str, PendingNotification]:
        """Return the pending notifications that may be sent.

        After a restart that does not know of a notification its message could be sent
        on, though its client was told to submit it again: so a notification must be
        persisted first. After the message's deadline no restart sends it.
        """
        if not self.unsynced_notifications:
            return self.pending_notifications
        self.unsynced_notifications = {
            name: unsynced
            for name, unsynced in self.unsynced_notifications.items()
            if unsynced.position > self.log.persisted
            and (unsynced.deadline_us > now_us or not self.log.incomplete)
        }
        return {
            name: notification
            for name, notification in self.pending_notifications.items()
            if name not in self.unsynced_notifications
        }

    def append_endpoint_list(
        self, seq: int, hosts: dict[str, dict[str, Any]], now_us: int, source: str
    ) -> None:
        """Record the endpoint list; outages are kept for a time, also of others."""
        self.log.append(self.encode_endpoint_list(seq, hosts, source))
        self.seq = seq
        self.source = source
        self.hosts = dict(hosts)
        oldest_us = now_us - OUTAGE_RETENTION_US
        self.outages = {
            host: outage
            for host, outage in self.outages.items()
            if max(outage) > oldest_us
        }

    def encode_endpoint_list(
        self, seq: int, hosts: dict[str, dict[str, Any]], source: str
    ) -> bytes:
        """Encode a list: as changes of the active one where they are few."""
        previous = self.hosts
        changed = [
            host
            for name, host in hosts.items()
            if previous.get(name) is not host and previous.get(name) != host
        ]
        gone = [name for name in previous if name not in hosts]
        if (
            source == self.source
            and self.seq >= 0
            and len(changed) + len(gone) < len(hosts) // INCREMENTAL_DIVISOR
        ):
            self.list_bytes = self.list_bytes * len(hosts) // len(previous)
            update = EndpointListUpdate(self.seq, seq, changed, gone, source)
            return records.encode_endpoint_list_update(update)
        payload = encode_list(seq, hosts, source)
        self.list_bytes = len(payload)
        return payload

    def append_outage(self, host: str, since_us: int, back_us: int) -> None:
        """Record an endpoint's outage, or its end."""
        outage = Outage(since_us, back_us)
        self.set_outage(host, outage)
        self.log.append(records.encode_outage(host, outage))

    def append_detached(self, host: str, detached: bool) -> None:
        """Record that an endpoint is disabled or enabled."""
        self.set_detached(host, detached)
        self.log.append(records.encode_detached(host, detached))

    def min_compacted_bytes(self) -> int:
        """Return the size of a compacted file without its small records."""
        return self.live_bytes + self.list_bytes

    def has_capacity(self, extra_bytes: int) -> bool:
        """Whether one more message leaves room for a compacted file beside the old one.

        A damaged file that is kept goes if that makes the room.
        """
        message_bytes = self.live_bytes + extra_bytes + MESSAGE_OVERHEAD_BYTES
        other_bytes = (
            NOTIFICATION_BYTES * len(self.pending_notifications)
            + self.list_bytes
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
        """Write the records that were gathered."""
        self.log.flush()

    def commit(self, then: Callable[[bool], None]) -> None:
        """Call `then` once all records are persisted, or could not be."""
        self.log.commit(then)

    def compact(self) -> bool:
        """Write a journal of the present state only, if there is room for it."""
        return self.log.rewrite()

    def close(self) -> None:
        """Write no more, as the process ends in order.

        The journal is synced at every level, and its last record says so: the next
        start need not suspect that its end is missing.
        """
        self.flush()
        if self.log.worker_busy:
            # The disk does not answer: the descriptor must not be closed under a sync.
            self.log.writing = False
            return
        if self.fd >= 0 and not self.log.incomplete:
            self.log.append(records.encode_closed())
            self.flush()
            with suppress(OSError):
                self.files.sync(self.fd)
        self.release()

    def release(self) -> None:
        """Write no more; another process may."""
        self.log.release()

    def metrics(self) -> dict[str, Any]:
        """Return what was found at the start, and what writing costs."""
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
