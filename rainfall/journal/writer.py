"""Writing of the journal: appends, compaction into a new file, and durability.

Under the level `process` a record is persisted once it is written. Under `power` it is
persisted once it is synced: a worker syncs, one job at a time, and a sync serves all
that wait when it begins. See docs/parts.md.
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
"""A file below this size is left to grow."""
REWRITE_GROWTH_FACTOR = 4
"""A file is compacted when it is this much larger than what is live in it."""
RESERVED_BYTES = 128 * 1024
"""Kept free for the small records that follow an accepted message."""
SALT_BITS = 32
REWRITE_RETRY_S = 0.5
"""Between two attempts to write a new file after a failure."""
TOLERATED_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)
"""Errors with which the program still starts: messages it has are delivered."""
SYNCS_PER_NEW_FILE = 2
"""The file's contents, and its name."""
JobDone = Callable[[OSError | None], None]
"""Is called in the event loop with the error that a job ended with, or None."""
SyncWorker = Callable[[Callable[[], None], JobDone], None]
"""Runs a job elsewhere and reports in the event loop how it ended."""
log = logging.getLogger("rainfall.store")


class Waiter(NamedTuple):
    """A caller that waits until a number of records is persisted."""

    position: int
    notify: Callable[[bool], None]


class NewFile(NamedTuple):
    """A file that was written to replace the journal."""

    fd: int
    header: FileHeader
    size: int


class JournalWriter:
    """The file in use.

    Before `begin` and after `release` records are only gathered, and nothing is written.
    """

    def __init__(
        self,
        folder: Path,
        files: FileSystem,
        most: int,
        worker: SyncWorker | None,
        checkpoint: Callable[[], Iterable[bytes]],
        live: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Prepare to write, without opening a file.

        Args:
            folder: The folder of the journal.
            files: The file system.
            most: Bytes that all files of the journal may take.
            worker: What syncs under the level `power`; None under `process`.
            checkpoint: Returns the records that a new file begins with.
            live: Returns the bytes that a new file would take, roughly.
            clock: Returns monotonic seconds.
        """
        self.folder = folder
        self.files = files
        self.max_bytes = most
        self.worker = worker
        self.checkpoint = checkpoint
        self.live_bytes = live
        self.clock = clock
        self.path = folder / JOURNAL_FILE
        self.new_path = folder / NEW_JOURNAL_FILE
        self.damaged_path = folder / DAMAGED_JOURNAL_FILE
        self.fd = -1
        self.size = 0
        self.number = 0
        """Number of the next record in the file."""
        self.salt = 0
        self.generation = 0
        self.damaged_bytes = 0
        """Bytes of the damaged file that is kept for staff."""
        self.writing = False
        self.pending: list[bytes] = []
        """Records that are gathered and not written."""
        self.appended = 0
        """How many records were gathered so far."""
        self.persisted = 0
        """How many of them are persisted."""
        self.failed = False
        """Whether no new messages are accepted, because a write failed."""
        self.incomplete = False
        """Whether the file lacks records, so that only a new one can hold them all."""
        self.worker_busy = False
        self.switching = False
        """Whether the worker is about to put a new file in the old one's place."""
        self.retry_at = 0.0
        """When a new file may be tried after a failure, in seconds of the clock."""
        self.waiters: deque[Waiter] = deque()
        self.bytes_written = 0
        self.syncs = 0
        self.rewrites = 0
        self.failures = 0
        self.total_sync_s = 0.0
        self.longest_sync_s = 0.0

    # Beginning and ending

    def begin(self, end: int, torn: int, head: tuple[int, int, int] | None) -> None:
        """Become the writer.

        Args:
            end: Offset behind the last sound record.
            torn: Bytes of an unfinished write behind it, which are cut.
            head: Salt, generation and next number of the file; None where it cannot be
                continued, so that a new one is written.

        Raises:
            OSError: The file cannot be opened, cut or replaced.
        """
        self.files.unlink(self.new_path)
        with suppress(OSError):
            self.damaged_bytes = self.files.size(self.damaged_path)
        self.writing = True
        if head is None or self.worker is not None:
            # With a worker: what was written may never have reached the disk.
            self.rewrite(first=True)
            return
        self.salt, self.generation, self.number = head
        self.fd = self.files.open(self.path)
        if torn:
            self.files.truncate(self.fd, end)
        self.size = end

    def keep_damaged_file(self, size: int, live: int) -> bool:
        """Keep the damaged file under another name, if messages have space beside it.

        Returns whether it is kept. `size` is that of the file, `live` that of a new one.
        """
        with suppress(OSError):
            self.files.unlink(self.damaged_path)
        if size + 2 * live + RESERVED_BYTES > self.max_bytes:
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
            log.warning("journal: the damaged file makes way for messages")
            with suppress(OSError):
                self.files.unlink(self.damaged_path)

    def release(self) -> None:
        """Close the file: another process may write it."""
        self.writing = False
        if self.fd >= 0:
            self.files.close(self.fd)
            self.fd = -1

    # Appending

    def append(self, payload: bytes) -> None:
        """Gather a record for the next flush."""
        self.pending.append(payload)
        self.appended += 1

    def flush(self) -> None:
        """Write what was gathered, into a new file where the old one has grown."""
        if not self.pending or not self.writing or self.switching:
            return
        if self.failed and self.clock() >= self.retry_at and not self.worker_busy:
            self.rewrite()
            if self.switching or not self.pending:
                return
        if self.incomplete:
            # The state in memory has all that a new file needs.
            self.pending.clear()
            return
        size_after = self._size_after_flush()
        if self._is_rewrite_due(size_after):
            if self.worker_busy:
                return  # The records have to wait for the worker in any case.
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
        # A new file is written beside the old one.
        return size_after + live_bytes + RESERVED_BYTES // 2 > self.max_bytes

    def _rewrite_pending(self) -> bool:
        """Begin a new file; returns whether nothing is left to write into the old one."""
        return self.rewrite() and (self.switching or not self.pending)

    def write(self) -> None:
        """Write what was gathered behind the file's records."""
        data = bytearray()
        number = self.number
        for payload in self.pending:
            data += encode_frame(self.salt, number, payload, self.size + len(data))
            number += 1
        try:
            write_all(self.files, self.fd, bytes(data), self.size)
        except OSError as error:
            # A full disk must not end the process: accepted messages are delivered, and
            # new ones rejected.
            self.fail("cannot write", error)
            self.incomplete = True
            # A torn write that cannot be cut now is cut at the next start.
            with suppress(OSError):
                self.files.truncate(self.fd, self.size)
            self.pending.clear()
            return
        self.size += len(data)
        self.number = number
        self.bytes_written += len(data)
        self.pending.clear()

    def fail(self, what: str, error: OSError) -> None:
        """Note a failure: no new messages are accepted until a new file is written."""
        self.failed = True
        self.failures += 1
        log.error("journal: %s: %s", what, error)

    # A new file

    def rewrite(self, first: bool = False) -> bool:
        """Write the checkpoint into a new file and put it in the old one's place.

        Returns whether that is done, or handed to the worker; while the worker is busy
        nothing is begun.

        Raises:
            OSError: With `first`, for an error that the program must not start with.
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
                raise OSError(errno.ENOSPC, "two files would be over the limit on disk")
            fd = self.files.open(self.new_path, anew=True)
            write_all(self.files, fd, data, 0)
            if self.worker is None:
                self.files.replace(self.new_path, self.path)
        except OSError as error:
            if first and error.errno not in TOLERATED_ERRNOS:
                raise
            self.abandon_rewrite(fd, error)
            return False
        self.bytes_written += len(data)
        new_file = NewFile(fd, header, len(data))
        if self.worker is None:
            self.use_new_file(new_file)
            self.persisted = self.appended
            self.pending = []
        else:
            self.sync_new_file(self.worker, new_file)
        return True

    def _encode_new_file(self) -> tuple[FileHeader, bytes]:
        payloads = list(self.checkpoint())
        header = FileHeader(
            version=VERSION,
            flags=FLAG_POWER if self.worker else 0,
            salt=secrets.randbits(SALT_BITS),
            generation=self.generation + 1,
            checkpoint_frames=len(payloads),
        )
        data = bytearray(header.encode())
        for number, payload in enumerate(payloads):
            data += encode_frame(header.salt, number, payload, len(data))
        data += header.encode()
        return header, bytes(data)

    def abandon_rewrite(self, fd: int, error: OSError) -> None:
        """Go on with the old file, and remove what there is of the new one."""
        self.fail("cannot write it anew", error)
        self.incomplete |= self.fd < 0
        with suppress(OSError):
            if fd >= 0:
                self.files.close(fd)
        with suppress(OSError):
            self.files.unlink(self.new_path)

    def use_new_file(self, new_file: NewFile) -> None:
        """Write into the new file from now on; it has the journal's name."""
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
        """Let the worker sync the new file and its name.

        Records gathered meanwhile wait: they go into the new file, or into the old one
        where that stays.
        """
        position = self.appended
        covered = len(self.pending)
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
            self.count_sync(began_s, SYNCS_PER_NEW_FILE)

        def done(error: OSError | None) -> None:
            self.worker_busy = False
            self.switching = False
            if error is None:
                self.use_new_file(new_file)
                self.persisted = position
                del self.pending[:covered]
            else:
                # Once replaced, the old file has no name any more.
                self.incomplete |= replaced
                self.abandon_rewrite(new_file.fd, error)
                if self.incomplete:
                    self.fail_waiters()
            self.advance()

        worker(job, done)

    # Durability

    def count_sync(self, began_s: float, syncs: int = 1) -> None:
        """Take syncs that have just ended into the metrics."""
        took_s = self.clock() - began_s
        self.syncs += syncs
        self.total_sync_s += took_s
        self.longest_sync_s = max(self.longest_sync_s, took_s)

    def commit(self, then: Callable[[bool], None]) -> None:
        """Call `then` once all gathered records are persisted, as the level promises.

        It gets False once that has failed. Calls are made in the order of the commits.
        """
        self.flush()
        if self.worker is None:
            then(not self.incomplete)
            return
        self.waiters.append(Waiter(self.appended, then))
        self.advance()

    def advance(self) -> None:
        """Notify who need not wait any more, and begin the next sync if others do."""
        self.notify_persisted()
        if self.worker_busy or not self.writing:
            return
        self.flush()
        if self.worker_busy or self.incomplete:
            return
        if self.waiters and self.worker is not None:
            self.sync(self.worker)

    def notify_persisted(self) -> None:
        """Notify the waiters whose records are persisted."""
        while self.waiters and self.waiters[0].position <= self.persisted:
            waiter = self.waiters.popleft()
            waiter.notify(True)

    def fail_waiters(self) -> None:
        """Notify all waiters that their records cannot be persisted."""
        waiters = self.waiters
        # A notified caller may commit again.
        self.waiters = deque()
        for waiter in waiters:
            waiter.notify(False)

    def sync(self, worker: SyncWorker) -> None:
        """Let the worker sync what was written."""
        fd = self.fd
        position = self.appended - len(self.pending)
        self.worker_busy = True

        def job() -> None:
            began_s = self.clock()
            self.files.sync(fd)
            self.count_sync(began_s)

        def done(error: OSError | None) -> None:
            self.worker_busy = False
            if error is None:
                self.persisted = max(self.persisted, position)
            else:
                # The kernel may have dropped the pages: that a second sync of this file
                # succeeds would mean nothing.
                self.fail("cannot sync", error)
                self.incomplete = True
                if self.writing and not self.rewrite():
                    self.fail_waiters()
            self.advance()

        worker(job, done)

    def retry_after_failure(self) -> None:
        """Try a new file; called regularly, as nothing may be appended any more."""
        if (
            self.writing
            and self.failed
            and not self.worker_busy
            and self.clock() >= self.retry_at
        ):
            if not self.rewrite():
                self.fail_waiters()
            self.advance()
