"""The journal writer: appends records, compacts the file and makes records durable.

With durability level `process`, a record is persisted once it is written. With level
`power`, it is persisted once it is synced: a worker runs one sync at a time, and a sync
covers all records that were written before it begins. See docs/parts.md.
"""

from __future__ import annotations

import errno
import logging
import secrets
import time
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from rainfall.journal.files import FileSystem, write_all
from rainfall.journal.format import FLAG_POWER, FRAME, VERSION, FileHeader, encode_frame
from rainfall.journal.recovery import (
    DAMAGED_JOURNAL_FILE,
    JOURNAL_FILE,
    NEW_JOURNAL_FILE,
)

REWRITE_THRESHOLD_BYTES = 256 * 1024
"""A file below this size is not compacted."""
REWRITE_GROWTH_FACTOR = 4
"""A file is compacted when it exceeds this multiple of its live bytes."""
RESERVED_BYTES = 128 * 1024
"""Space that new messages leave free for the small records that follow them."""
SALT_BITS = 32
REWRITE_RETRY_S = 0.5
"""Delay between attempts to write a new file after a failure."""
TOLERATED_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)
"""Errors that do not prevent a start, so that existing messages are delivered."""
SYNCS_PER_NEW_FILE = 2
"""One sync for the file's contents and one for its directory entry."""
JobDone = Callable[[OSError | None], None]
"""Called in the event loop with the error of a job, or None on success."""
SyncWorker = Callable[[Callable[[], None], JobDone], None]
"""Runs a job outside the event loop, then calls `JobDone` in the event loop."""
log = logging.getLogger("rainfall.store")


class Waiter(NamedTuple):
    """A caller that waits until the first `position` records are persisted."""

    position: int
    notify: Callable[[bool], None]


class NewFile(NamedTuple):
    """A file that is to replace the journal."""

    fd: int
    header: FileHeader
    size: int


class JournalWriter:
    """Writes the journal file and compacts it.

    Before `begin` and after `release`, records are buffered and nothing is written.
    """

    def __init__(
        self,
        folder: Path,
        files: FileSystem,
        max_bytes: int,
        worker: SyncWorker | None,
        checkpoint: Callable[[], Iterable[bytes]],
        live_bytes: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialise the writer without opening a file.

        Args:
            folder: The folder of the journal.
            files: The file system.
            max_bytes: Maximum total size of the journal's files.
            worker: Runs syncs with level `power`; None with level `process`.
            checkpoint: Returns the records that a new file begins with.
            live_bytes: Returns the approximate size of a new file.
            clock: Returns monotonic seconds.
        """
        self.folder = folder
        self.files = files
        self.max_bytes = max_bytes
        self.worker = worker
        self.checkpoint = checkpoint
        self.live_bytes = live_bytes
        self.clock = clock
        self.path = folder / JOURNAL_FILE
        self.new_path = folder / NEW_JOURNAL_FILE
        self.damaged_path = folder / DAMAGED_JOURNAL_FILE
        self.fd = -1
        self.size = 0
        self.number = 0
        """Number of the next record to be written to the file."""
        self.salt = 0
        self.generation = 0
        self.damaged_bytes = 0
        """Size of the damaged file that is kept for operators; 0: none."""
        self.writing = False
        """Whether the file may be written: `begin` was called, and `release` was not."""
        self.pending: list[bytes] = []
        """Buffered records that are not yet written."""
        self.appended = 0
        """Number of records appended so far."""
        self.persisted = 0
        """Number of appended records that are persisted."""
        self.failed = False
        """Whether a write failed, so that new messages are rejected."""
        self.incomplete = False
        """Whether the file lacks records, so that it must be replaced by a new one."""
        self.worker_busy = False
        self.switching = False
        """Whether the worker is replacing the journal by a new file."""
        self.retry_at = 0.0
        """Earliest time of the next attempt after a failure, in seconds of `clock`."""
        self.waiters: deque[Waiter] = deque()
        self.bytes_written = 0
        self.syncs = 0
        self.rewrites = 0
        self.failures = 0
        self.total_sync_s = 0.0
        self.longest_sync_s = 0.0

    # Starting and stopping

    def begin(
        self, end: int, torn: int, continued: tuple[int, int, int] | None
    ) -> None:
        """Start writing.

        Args:
            end: Offset of the first byte after the last valid record.
            torn: Bytes of an incomplete write after it, which are truncated.
            continued: Salt, generation and next record number of the existing file;
                None if it cannot be continued, so that a new one is written.

        Raises:
            OSError: The file cannot be opened, truncated or replaced.
        """
        self.files.unlink(self.new_path)
        with suppress(OSError):
            self.damaged_bytes = self.files.size(self.damaged_path)
        self.writing = True
        if continued is None or self.worker is not None:
            # With a worker, earlier writes may not have reached the disk.
            self.rewrite(at_startup=True)
            return
        self.salt, self.generation, self.number = continued
        self.fd = self.files.open(self.path)
        if torn:
            self.files.truncate(self.fd, end)
        self.size = end

    def keep_damaged_file(self, size: int, new_size: int) -> bool:
        """Keep the damaged file under another name if messages have space beside it.

        `size` is the size of the file and `new_size` that of a new one, in bytes.
        Returns whether the file is kept.
        """
        with suppress(OSError):
            self.files.unlink(self.damaged_path)
        if size + 2 * new_size + RESERVED_BYTES > self.max_bytes:
            return False
        try:
            self.files.link(self.path, self.damaged_path)
        except OSError:
            return False
        self.damaged_bytes = size
        return True

    def drop_damaged_file(self) -> None:
        """Remove the damaged file, if one is kept."""
        if self.damaged_bytes:
            self.damaged_bytes = 0
            log.warning("journal: removing the damaged file to free space for messages")
            with suppress(OSError):
                self.files.unlink(self.damaged_path)

    def release(self) -> None:
        """Close the file, so that another process may write it."""
        self.writing = False
        if self.fd >= 0:
            self.files.close(self.fd)
            self.fd = -1

    # Appending

    def append(self, payload: bytes) -> None:
        """Buffer a record for the next flush."""
        self.pending.append(payload)
        self.appended += 1

    def flush(self) -> None:
        """Write the buffered records; compact the file first if it is too large."""
        if not self.pending or not self.writing or self.switching:
            return
        if self.failed and self.clock() >= self.retry_at and not self.worker_busy:
            self.rewrite()
            if self.switching or not self.pending:
                return
        if self.incomplete:
            # A new file is written from the state in memory, which has these records.
            self.pending.clear()
            return
        size_after = self._size_after_flush()
        if self._is_rewrite_due(size_after):
            if self.worker_busy:
                # The worker must be idle before a new file can be started, and records that
                # are written now would not be synced before either.
                return
            if not self.failed and self._rewrite_pending():
                return
        if size_after + self.damaged_bytes > self.max_bytes:
            self.drop_damaged_file()
        if size_after > self.max_bytes:
            self.fail("cannot write", OSError(errno.ENOSPC, "over the limit on disk"))
            self.incomplete = True
            self.pending.clear()
            return
        self.write()

    def _size_after_flush(self) -> int:
        payload_bytes = sum(map(len, self.pending))
        return self.size + payload_bytes + FRAME.size * len(self.pending)

    def _is_rewrite_due(self, size_after: int) -> bool:
        live_bytes = self.live_bytes()
        if size_after > max(
            REWRITE_THRESHOLD_BYTES, REWRITE_GROWTH_FACTOR * live_bytes
        ):
            return True
        # The new file needs space beside the old one until it replaces it.
        return size_after + live_bytes + RESERVED_BYTES // 2 > self.max_bytes

    def _rewrite_pending(self) -> bool:
        """Start a new file; return whether nothing is left to write to the old one."""
        return self.rewrite() and (self.switching or not self.pending)

    def write(self) -> None:
        """Append the buffered records to the file."""
        data = bytearray()
        number = self.number
        for payload in self.pending:
            data += encode_frame(self.salt, number, payload, self.size + len(data))
            number += 1
        try:
            write_all(self.files, self.fd, bytes(data), self.size)
        except OSError as error:
            # A full disk must not end the process: accepted messages are delivered, and
            # new ones are rejected.
            self.fail("cannot write", error)
            self.incomplete = True
            # A torn write that cannot be truncated now is truncated at the next start.
            with suppress(OSError):
                self.files.truncate(self.fd, self.size)
            self.pending.clear()
            return
        self.size += len(data)
        self.number = number
        self.bytes_written += len(data)
        self.pending.clear()

    def fail(self, operation: str, error: OSError) -> None:
        """Log a failure and reject new messages until a new file is written."""
        self.failed = True
        self.failures += 1
        log.error("journal: %s: %s", operation, error)

    # A new file

    def rewrite(self, at_startup: bool = False) -> bool:
        """Write the checkpoint to a new file that replaces the old one.

        Returns whether the old file was replaced or the worker is replacing it. While
        the worker is busy, nothing is written and the result is False.

        Raises:
            OSError: With `at_startup`, for errors other than `TOLERATED_ERRNOS`.
        """
        if self.worker_busy:
            return False
        self.retry_at = self.clock() + REWRITE_RETRY_S
        header, data = self._encode_new_file()
        if self.size + len(data) + self.damaged_bytes > self.max_bytes:
            self.drop_damaged_file()
        fd = -1
        try:
            if self.size <= self.max_bytes < self.size + len(data):
                raise OSError(
                    errno.ENOSPC, "old and new file together exceed the limit on disk"
                )
            fd = self.files.open(self.new_path, truncate=True)
            write_all(self.files, fd, data, 0)
            if self.worker is None:
                self.files.replace(self.new_path, self.path)
        except OSError as error:
            if at_startup and error.errno not in TOLERATED_ERRNOS:
                raise
            self.abandon_rewrite(fd, error)
            return False
        self.bytes_written += len(data)
        new_file = NewFile(fd, header, len(data))
        if self.worker is None:
            self.switch_to_new_file(new_file)
            self.persisted = self.appended
            self.pending = []
        else:
            self.sync_new_file(self.worker, new_file)
        return True

    def _encode_new_file(self) -> tuple[FileHeader, bytearray]:
        """Encode the checkpoint.

        It can be as large as the memory for open messages, so only one copy is made.
        """
        header = FileHeader(
            version=VERSION,
            flags=FLAG_POWER if self.worker else 0,
            salt=secrets.randbits(SALT_BITS),
            generation=self.generation + 1,
            checkpoint_frames=0,
        )
        data = bytearray(header.encode())
        frames = 0
        for payload in self.checkpoint():
            data += encode_frame(header.salt, frames, payload, len(data))
            frames += 1
        header = header._replace(checkpoint_frames=frames)
        encoded_header = header.encode()
        data[: len(encoded_header)] = encoded_header
        data += encoded_header
        return header, data

    def abandon_rewrite(self, fd: int, error: OSError) -> None:
        """Continue with the old file, and remove the new one."""
        self.fail("cannot write it anew", error)
        self.incomplete |= self.fd < 0
        with suppress(OSError):
            if fd >= 0:
                self.files.close(fd)
        with suppress(OSError):
            self.files.unlink(self.new_path)

    def switch_to_new_file(self, new_file: NewFile) -> None:
        """Switch to the new file, which has replaced the journal."""
        if self.fd >= 0:
            self.files.close(self.fd)
        if self.failed:
            log.warning("journal: a new file holds everything again")
        self.fd = new_file.fd
        self.size = new_file.size
        self.number = new_file.header.checkpoint_frames
        self.salt = new_file.header.salt
        self.generation = new_file.header.generation
        self.failed = False
        self.incomplete = False
        self.rewrites += 1

    def sync_new_file(self, worker: SyncWorker, new_file: NewFile) -> None:
        """Have the worker sync the new file and replace the old one with it.

        Records appended meanwhile are buffered: they are written to the new file, or to
        the old one if replacing fails.
        """
        position = self.appended
        covered_records = len(self.pending)
        replaced = False
        self.worker_busy = True
        self.switching = True

        def job() -> None:
            nonlocal replaced
            began_s = self.clock()
            self.files.sync(new_file.fd)
            self.files.replace(self.new_path, self.path)
            replaced = True
            self.files.sync_directory(self.folder)
            self.count_syncs(began_s, SYNCS_PER_NEW_FILE)

        def done(error: OSError | None) -> None:
            self.worker_busy = False
            self.switching = False
            if error is None:
                self.switch_to_new_file(new_file)
                self.persisted = position
                del self.pending[:covered_records]
            else:
                # If it was replaced, the old file has no directory entry and cannot be used.
                self.incomplete |= replaced
                self.abandon_rewrite(new_file.fd, error)
                if self.incomplete:
                    self.fail_waiters()
            self.process_waiters()

        worker(job, done)

    # Durability

    def count_syncs(self, began_s: float, syncs: int = 1) -> None:
        """Count completed syncs and their duration for the metrics."""
        took_s = self.clock() - began_s
        self.syncs += syncs
        self.total_sync_s += took_s
        self.longest_sync_s = max(self.longest_sync_s, took_s)

    def commit(self, on_persisted: Callable[[bool], None]) -> None:
        """Call `on_persisted` with True once all records appended so far are persisted.

        It is called with False if persisting fails. Callbacks run in the order of the
        commits.
        """
        self.flush()
        if self.worker is None:
            on_persisted(not self.incomplete)
            return
        self.waiters.append(Waiter(self.appended, on_persisted))
        self.process_waiters()

    def process_waiters(self) -> None:
        """Notify waiters whose records are persisted; start a sync if others remain."""
        self.notify_persisted()
        if self.worker_busy or not self.writing:
            return
        self.flush()
        if self.worker_busy or self.incomplete:
            return
        if self.waiters and self.worker is not None:
            self.sync(self.worker)

    def notify_persisted(self) -> None:
        """Notify the waiters whose records are persisted, in order."""
        while self.waiters and self.waiters[0].position <= self.persisted:
            waiter = self.waiters.popleft()
            waiter.notify(True)

    def fail_waiters(self) -> None:
        """Notify all waiters that their records cannot be persisted."""
        waiters = self.waiters
        # The callback may commit again, which adds to `self.waiters`.
        self.waiters = deque()
        for waiter in waiters:
            waiter.notify(False)

    def sync(self, worker: SyncWorker) -> None:
        """Have the worker sync the records written so far."""
        fd = self.fd
        position = self.appended - len(self.pending)
        self.worker_busy = True

        def job() -> None:
            began_s = self.clock()
            self.files.sync(fd)
            self.count_syncs(began_s)

        def done(error: OSError | None) -> None:
            self.worker_busy = False
            if error is None:
                self.persisted = max(self.persisted, position)
            else:
                # The kernel may have dropped the pages, so a second sync of this file
                # could succeed without the data having reached the disk.
                self.fail("cannot sync", error)
                self.incomplete = True
                if self.writing and not self.rewrite():
                    self.fail_waiters()
            self.process_waiters()

        worker(job, done)

    def retry_after_failure(self) -> None:
        """Try to write a new file.

        Called regularly, because no append may come that would trigger the attempt.
        """
        if (
            self.writing
            and self.failed
            and not self.worker_busy
            and self.clock() >= self.retry_at
        ):
            if not self.rewrite():
                self.fail_waiters()
            self.process_waiters()
