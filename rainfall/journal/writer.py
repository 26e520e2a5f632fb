"""Appends records to the journal, writes it anew when it has grown, and says when a
record is kept.

Under the level `process` a record is kept once it is written. Under `power` it is once
it is synced: syncs are done by a worker, one at a time, and all that wait when one
begins are served by it. See docs/parts.md.
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

from rainfall.journal.files import FileSystem, write_all
from rainfall.journal.format import FLAG_POWER, FRAME, VERSION, FileHeader, encode_frame
from rainfall.journal.recovery import (
    DAMAGED_JOURNAL_FILE,
    JOURNAL_FILE,
    NEW_JOURNAL_FILE,
)

REWRITE_THRESHOLD_BYTES = 256 * 1024  # below this size the file is left to grow
RESERVED_BYTES = (
    128 * 1024
)  # kept free for the small records that follow a message that was taken on
REWRITE_RETRY_S = 0.5  # between two tries to write a file anew after a failure
TOLERATED_ERRNOS = (
    errno.ENOSPC,
    errno.EDQUOT,
    errno.EIO,
)  # at a start too: what is held is still delivered
JobDone = Callable[[OSError | None], None]
SyncWorker = Callable[[Callable[[], None], JobDone], None]
"""Does a job elsewhere and tells in the loop how it ended."""
log = logging.getLogger("rainfall.store")


class JournalWriter:
    """The file in use.

    Before `begin` and after `let_go` nothing is written, only gathered.
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
        self.folder, self.files, self.max_bytes, self.worker = (
            folder,
            files,
            most,
            worker,
        )
        self.checkpoint, self.live_bytes, self.clock = checkpoint, live, clock
        self.path, self.new_path, self.damaged_path = (
            folder / JOURNAL_FILE,
            folder / NEW_JOURNAL_FILE,
            folder / DAMAGED_JOURNAL_FILE,
        )
        self.fd, self.size, self.number, self.salt, self.generation = -1, 0, 0, 0, 0
        self.damaged_bytes = 0
        self.writing = False
        self.pending: list[bytes] = []
        self.appended = self.persisted = 0
        """How many records were gathered, and how many of them are kept."""
        self.failed = False
        """No new work is taken on."""
        self.incomplete = False
        """The file lacks records that are in memory: only a new one can hold them
        all.
        """
        self.worker_busy = self.switching = False
        self.retry_at = 0.0
        self.waiters: deque[tuple[int, Callable[[bool], None]]] = deque()
        self.bytes_written = self.syncs = self.rewrites = self.failures = 0
        self.total_sync_s = self.longest_sync_s = 0.0

    # Beginning and ending

    def begin(self, end: int, torn: int, head: tuple[int, int, int] | None) -> None:
        """Become the writer: behind what is there (its salt, generation and next number
        are told), or with a new file where that cannot be built on.
        """
        self.files.unlink(self.new_path)
        with suppress(OSError):
            self.damaged_bytes = self.files.size(self.damaged_path)
        self.writing = True
        if (
            head is None or self.worker is not None
        ):  # the file's own pages may never have reached the disk
            self.rewrite(first=True)
            return
        self.salt, self.generation, self.number = head
        self.fd = self.files.open(self.path)
        if torn:
            self.files.truncate(self.fd, end)
        self.size = end

    def keep_damaged_file(self, size: int, live: int) -> bool:
        """Keep a damaged file under another name where that leaves the room that
        messages need.
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
        if self.damaged_bytes:
            self.damaged_bytes = 0
            log.warning("journal: the damaged file makes way for messages")
            with suppress(OSError):
                self.files.unlink(self.damaged_path)

    def release(self) -> None:
        """Write no more; another may."""
        self.writing = False
        if self.fd >= 0:
            self.files.close(self.fd)
            self.fd = -1

    # Appending

    def append(self, payload: bytes) -> None:
        self.pending.append(payload)
        self.appended += 1

    def flush(self) -> None:
        """Write what was gathered.

        Writes anew where old and new together would come near the limit.
        """
        if not self.pending or not self.writing or self.switching:
            return
        if self.failed and self.clock() >= self.retry_at and not self.worker_busy:
            self.rewrite()
            if self.switching or not self.pending:
                return
        if self.incomplete:
            self.pending.clear()  # memory holds all that a new file needs
            return
        after = self.size + sum(map(len, self.pending)) + FRAME.size * len(self.pending)
        if (
            after > max(REWRITE_THRESHOLD_BYTES, 4 * self.live_bytes())
            or after + self.live_bytes() + RESERVED_BYTES // 2 > self.max_bytes
        ):
            if self.worker_busy:
                return  # they wait for its end anyway
            if (
                not self.failed
                and self.rewrite()
                and (self.switching or not self.pending)
            ):
                return
        if after + self.damaged_bytes > self.max_bytes:
            self.drop_damaged_file()
        if after > self.max_bytes:
            self.fail("cannot write", OSError(errno.ENOSPC, "over the limit on disk"))
            self.incomplete = True
            self.pending.clear()
            return
        self.write()

    def write(self) -> None:
        data = bytearray()
        number = self.number
        for payload in self.pending:
            data += encode_frame(self.salt, number, payload, self.size + len(data))
            number += 1
        try:
            write_all(self.files, self.fd, bytes(data), self.size)
        except OSError as error:
            # A full disk must not end the process: what is held is delivered, new work
            # is refused.
            self.fail("cannot write", error)
            self.incomplete = True
            with suppress(
                OSError
            ):  # else the torn write stays, and is cut at the next start
                self.files.truncate(self.fd, self.size)
            self.pending.clear()
            return
        self.size, self.number = self.size + len(data), number
        self.bytes_written += len(data)
        self.pending.clear()

    def fail(self, what: str, error: OSError) -> None:
        self.failed = True
        self.failures += 1
        log.error("journal: %s: %s", what, error)

    # A new file

    def rewrite(self, first: bool = False) -> bool:
        """Write what still counts into a new file and put it in the old one's place.

        Returns whether that is done, or under way; while a sync is, nothing is begun.
        """
        if self.worker_busy:
            return False
        self.retry_at = self.clock() + REWRITE_RETRY_S
        payloads = list(self.checkpoint())
        head = FileHeader(
            VERSION,
            FLAG_POWER if self.worker else 0,
            secrets.randbits(32),
            self.generation + 1,
            len(payloads),
        )
        data = bytearray(head.encode())
        for number, payload in enumerate(payloads):
            data += encode_frame(head.salt, number, payload, len(data))
        data += head.encode()
        if self.size + len(data) + self.damaged_bytes > self.max_bytes:
            self.drop_damaged_file()
        fd = -1
        try:
            if self.size <= self.max_bytes < self.size + len(data):
                raise OSError(errno.ENOSPC, "two files would be over the limit on disk")
            fd = self.files.open(self.new_path, anew=True)
            write_all(self.files, fd, bytes(data), 0)
            if self.worker is None:
                self.files.replace(self.new_path, self.path)
        except OSError as error:
            if first and error.errno not in TOLERATED_ERRNOS:
                raise
            self.abandon_rewrite(fd, error)
            return False
        self.bytes_written += len(data)
        if self.worker is None:
            self.use_new_file(fd, head, len(data))
            self.persisted, self.pending = self.appended, []
        else:
            self.sync_new_file(fd, head, len(data))
        return True

    def abandon_rewrite(self, fd: int, error: OSError) -> None:
        self.fail("cannot write it anew", error)
        self.incomplete |= self.fd < 0
        with suppress(OSError):
            if fd >= 0:
                self.files.close(fd)
        with suppress(OSError):
            self.files.unlink(self.new_path)

    def use_new_file(self, fd: int, head: FileHeader, size: int) -> None:
        if self.fd >= 0:
            self.files.close(self.fd)
        if self.failed:
            log.warning("journal: a new file holds everything again")
        self.fd, self.size, self.number = fd, size, head.checkpoint_frames
        self.salt, self.generation = head.salt, head.generation
        self.failed = self.incomplete = False
        self.rewrites += 1

    def sync_new_file(self, fd: int, head: FileHeader, size: int) -> None:
        """Sync the new file and its name.

        What is gathered meanwhile waits for the end of that: it goes into the new file,
        or into the old one where that stays.
        """
        assert self.worker is not None
        position, covered, replaced = self.appended, len(self.pending), False
        self.worker_busy = self.switching = True

        def job() -> None:
            nonlocal replaced
            began = self.clock()
            self.files.sync(fd)
            self.files.replace(self.new_path, self.path)
            replaced = True
            self.files.sync_directory(self.folder)
            self.count_sync(began, 2)

        def done(error: OSError | None) -> None:
            self.worker_busy = self.switching = False
            if error is None:
                self.use_new_file(fd, head, size)
                self.persisted = position
                del self.pending[:covered]
            else:
                self.incomplete |= replaced  # the old file has no name any more
                self.abandon_rewrite(fd, error)
                if self.incomplete:
                    self.fail_waiters()
            self.advance()

        self.worker(job, done)

    # Being kept

    def count_sync(self, began: float, syncs: int = 1) -> None:
        took = self.clock() - began
        self.syncs += syncs
        self.total_sync_s += took
        self.longest_sync_s = max(self.longest_sync_s, took)

    def commit(self, then: Callable[[bool], None]) -> None:
        """Call `then` once all that was gathered is kept as the level promises, or with
        False once that has failed. In the order of the calls.
        """
        self.flush()
        if self.worker is None:
            then(not self.incomplete)
            return
        self.waiters.append((self.appended, then))
        self.advance()

    def advance(self) -> None:
        """Serve who need not wait any more, and begin the next sync if others do."""
        self.notify_persisted()
        if self.worker_busy or not self.writing:
            return
        self.flush()
        if self.worker_busy or self.incomplete:
            return
        if self.waiters:
            self.sync()

    def notify_persisted(self) -> None:
        while self.waiters and self.waiters[0][0] <= self.persisted:
            self.waiters.popleft()[1](True)

    def fail_waiters(self) -> None:
        waiters, self.waiters = self.waiters, deque()
        for _, then in waiters:
            then(False)

    def sync(self) -> None:
        assert self.worker is not None
        fd, position = self.fd, self.appended - len(self.pending)
        self.worker_busy = True

        def job() -> None:
            began = self.clock()
            self.files.sync(fd)
            self.count_sync(began)

        def done(error: OSError | None) -> None:
            self.worker_busy = False
            if error is None:
                self.persisted = max(self.persisted, position)
            else:
                # The kernel may have dropped the pages: a second sync of this file
                # would tell nothing.
                self.fail("cannot sync", error)
                self.incomplete = True
                if self.writing and not self.rewrite():
                    self.fail_waiters()
            self.advance()

        self.worker(job, done)

    def retry_after_failure(self) -> None:
        """From time to time: a failure must not last because nothing more is written."""
        if (
            self.writing
            and self.failed
            and not self.worker_busy
            and self.clock() >= self.retry_at
        ):
            if not self.rewrite():
                self.fail_waiters()
            self.advance()
