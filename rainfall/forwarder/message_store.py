"""What was taken on, and how far it got, outlasts the process: the engine's hand on the
journal in $LB_STATE.

What the records mean, `journal.state` says; how they reach the disk, `journal.writer`.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from rainfall.journal.files import FileSystem, LocalFileSystem
from rainfall.journal.format import VERSION
from rainfall.journal.recovery import recover, this_boot
from rainfall.journal.state import (
    MESSAGE_OVERHEAD_BYTES,
    AcceptedMessage,
    DeliveryRules,
    JournalState,
    PendingNotification,
    encode_list,
    encode_message,
    encode_record,
)
from rainfall.journal.writer import RESERVED_BYTES, JournalWriter, SyncWorker

__all__ = [
    "AcceptedMessage",
    "DeliveryRules",
    "MessageStore",
    "PendingNotification",
    "SyncWorker",
]
BLOCK_BYTES = 512
INCREMENTAL_DIVISOR = (
    4  # of a list, less than this part of it: the changes are written, else the whole
)
OUTAGE_RETENTION_US = 3_600_000_000
log = logging.getLogger("rainfall.store")


def wall_clock_offset_us() -> int:
    """What the monotonic clock lacks to Unix time."""
    return (time.time_ns() - time.monotonic_ns()) // 1000


class MessageStore(JournalState):
    """Records are gathered; `flush` writes them, and `commit` tells when they are kept,
    before anything that they precede leaves. With a `worker` that is once they are
    synced (the level `power`).
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
        super().__init__()
        self.files = files or LocalFileSystem()
        base = wall_clock_offset_us() if base_us is None else base_us
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
            base,
            this_boot(),
            time.monotonic_ns() // 1000,
            predecessor_runs=not write,
        )
        self.unsynced_notifications: dict[
            str, tuple[int, int]
        ] = {}  # owed ends that are not kept yet: position, due
        self.log.size = self.report.size
        (log.warning if self.report.damaged or self.report.torn else log.info)(
            "%s", self.report.summary()
        )
        if write:
            self.begin_writing()

    @property
    def path(self) -> Path:
        return self.log.path

    @property
    def size(self) -> int:
        return self.log.size

    @property
    def max_bytes(self) -> int:
        return self.log.max_bytes

    @max_bytes.setter
    def max_bytes(self, max_bytes: int) -> None:
        self.log.max_bytes = max_bytes

    @property
    def failed(self) -> bool:
        return self.log.failed

    @property
    def fd(self) -> int:
        return self.log.fd

    @staticmethod
    def usable_bytes(most_bytes: int) -> int:
        return most_bytes - 2 * BLOCK_BYTES

    def begin_writing(self) -> None:
        """Be the one that writes; what was read before is as it stands in the file."""
        recovery_report = self.report
        if recovery_report.damaged and self.log.keep_damaged_file(
            recovery_report.size, self.min_compacted_bytes()
        ):
            log.warning(
                "journal: the damaged file is kept as %s", self.log.damaged_path
            )
        sound = (
            recovery_report.version == VERSION
            and not recovery_report.damaged
            and not recovery_report.changed
        )
        self.log.begin(
            recovery_report.end,
            recovery_report.torn,
            (recovery_report.salt, recovery_report.generation, recovery_report.number)
            if sound
            else None,
        )
        if sound and self.clock is not None:
            self.append("c", *self.clock)

    # Writing

    def append(self, *line: Any) -> None:
        self.log.append(encode_record(*line))

    def use_rules(self, rules: DeliveryRules) -> None:
        """Messages are taken on under these from now on."""
        if self.rules.get(self.current_rules_number) != rules:
            self.current_rules_number = max(self.rules, default=-1) + 1
            self.rules[self.current_rules_number] = rules
            self.log.append(self.encode_rules(self.current_rules_number))

    def append_message(self, message: AcceptedMessage) -> None:
        message.rules_number = self.current_rules_number
        self._add_message(message)
        self.log.append(encode_message(message))

    def append_attempt(
        self, message: AcceptedMessage, number: int, at_us: int, host: str
    ) -> None:
        message.in_flight[number] = (at_us, host)
        message.attempts = max(message.attempts, number + 1)
        self.append("a", message.id, number, at_us, host)

    def append_outcome(
        self, message: AcceptedMessage, number: int, may_have_executed: bool
    ) -> None:
        self.apply_outcome(message, number, may_have_executed)
        self.append("o", message.id, number, int(may_have_executed))

    def append_finished(self, name: str) -> None:
        """Delivered, withdrawn or told by a target to be over: nothing is owed for it
        any more.
        """
        if name in self.messages:
            self._remove_message([name])
            self.append("x", name)

    def append_notification(self, name: str, state: str, after_ms: int) -> None:
        message = self.messages.get(name)
        end = PendingNotification(
            state, after_ms, message.order_key if message is not None else None
        )
        self._add_pending_notification([name, *end])
        self.append("e", name, *end)
        if self.log.worker is not None:
            self.unsynced_notifications[name] = (
                self.log.appended,
                message.deadline_us if message is not None else 0,
            )

    def append_acknowledgement(self, name: str) -> None:
        if name in self.pending_notifications:
            self._remove_pending_notification([name])
            self.unsynced_notifications.pop(name, None)
            self.append("d", name)

    def sendable_notifications(self, now_us: int) -> dict[str, PendingNotification]:
        """The ends that may be told: a restart that does not know of one could send its
        message on, which its client was told to hand in again. Past the message's time
        no restart does.
        """
        if not self.unsynced_notifications:
            return self.pending_notifications
        self.unsynced_notifications = {
            name: (at, due)
            for name, (at, due) in self.unsynced_notifications.items()
            if at > self.log.persisted and (due > now_us or not self.log.incomplete)
        }
        return {
            name: end
            for name, end in self.pending_notifications.items()
            if name not in self.unsynced_notifications
        }

    def append_endpoint_list(
        self, seq: int, hosts: dict[str, dict[str, Any]], now_us: int, source: str
    ) -> None:
        """A target may leave the list in an outage and come back cold: its outage is
        kept for a time.
        """
        self.log.append(self.encode_endpoint_list(seq, hosts, source))
        self.seq, self.source, self.hosts = seq, source, dict(hosts)
        self.outages = {
            h: o
            for h, o in self.outages.items()
            if max(o) > now_us - OUTAGE_RETENTION_US
        }

    def encode_endpoint_list(
        self, seq: int, hosts: dict[str, dict[str, Any]], source: str
    ) -> bytes:
        """What makes the list in force this one: its changes alone where they are few."""
        previous = self.hosts
        changed = [
            h
            for name, h in hosts.items()
            if previous.get(name) is not h and previous.get(name) != h
        ]
        gone = [name for name in previous if name not in hosts]
        if (
            source == self.source
            and self.seq >= 0
            and len(changed) + len(gone) < len(hosts) // INCREMENTAL_DIVISOR
        ):
            self.list_bytes = self.list_bytes * len(hosts) // len(previous)
            return encode_record("u", self.seq, seq, changed, gone, source)
        payload = encode_list(seq, hosts, source)
        self.list_bytes = len(payload)
        return payload

    def append_outage(self, host: str, since_us: int, back_us: int) -> None:
        self._set_outage([host, since_us, back_us])
        self.append("g", host, since_us, back_us)

    def append_detached(self, host: str, detached: bool) -> None:
        self._set_detached([host, detached])
        self.append("h", host, detached)

    def min_compacted_bytes(self) -> int:
        """Bytes of a compacted file, without the small records."""
        return self.live_bytes + self.list_bytes

    def has_capacity(self, extra_bytes: int) -> bool:
        """Whether one more message of that size leaves room for a compacted file beside
        the old one.
        """
        others = (
            200 * len(self.pending_notifications)
            + self.list_bytes
            + 100 * (len(self.outages) + len(self.detached))
        )
        needed_bytes = (
            2 * (self.live_bytes + extra_bytes + MESSAGE_OVERHEAD_BYTES + others)
            + RESERVED_BYTES
        )
        if needed_bytes + self.log.damaged_bytes > self.log.max_bytes >= needed_bytes:
            self.log.drop_damaged_file()
        return (
            not self.log.failed
            and needed_bytes + self.log.damaged_bytes <= self.log.max_bytes
        )

    def flush(self) -> None:
        self.log.flush()

    def commit(self, then: Callable[[bool], None]) -> None:
        self.log.commit(then)

    def compact(self) -> bool:
        return self.log.rewrite()

    def close(self) -> None:
        """The process ends in order.

        Synced, whatever the level: then the next start need not wonder whether
        something is missing at the end.
        """
        self.flush()
        if (
            self.log.worker_busy
        ):  # a disk that does not answer: what is under way must not be closed below it
            self.log.writing = False
            return
        if self.fd >= 0 and not self.log.incomplete:
            self.append("z")
            self.flush()
            with suppress(OSError):
                self.files.sync(self.fd)
        self.release()

    def release(self) -> None:
        """Write no more; another may."""
        self.log.release()

    def metrics(self) -> dict[str, Any]:
        """What was found at the start, and what writing costs."""
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
