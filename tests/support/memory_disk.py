"""An in-memory disk that keeps what a real one guarantees and, on request, loses everything
that a real one may lose.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from pathlib import Path


class Died(BaseException):
    """The process dies in the middle of a call; it is a BaseException so that no handler runs."""


class Inode:
    def __init__(self) -> None:
        self.data, self.synced = bytearray(), b""
        self.writes: list[tuple[int, bytes]] = []  # writes since the last sync

    def put(self, at: int, piece: bytes) -> None:
        if len(self.data) < at:
            self.data += bytes(at - len(self.data))
        self.data[at : at + len(piece)] = piece
        self.writes.append((at, piece))


class Disk:
    """Files in memory.

    The process dies after `fuse` further calls (never if -1), and a write at that moment may
    be torn. `room` is the capacity in bytes; with `bad_sync`, every sync fails.
    """

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.names: dict[str, Inode] = {}
        self.synced_names: dict[str, Inode] = {}
        self.renames: list[
            dict[str, Inode]
        ] = []  # directory contents after each change since the last sync
        self.open_files: dict[int, Inode] = {}
        self.fuse = -1
        self.room = 1 << 40
        self.bad_sync = False
        self.calls = self.syncs = 0

    def step(self) -> None:
        self.calls += 1
        if self.fuse == 0:
            raise Died
        self.fuse -= self.fuse > 0

    def changed(self) -> None:
        self.renames.append(dict(self.names))

    # File operations that the journal uses

    def read(self, path: Path) -> bytes:
        if path.name not in self.names:
            raise FileNotFoundError(errno.ENOENT, "no such file")
        return bytes(self.names[path.name].data)

    def size(self, path: Path) -> int:
        return len(self.read(path))

    def open(self, path: Path, truncate: bool = False) -> int:
        self.step()
        if path.name not in self.names:
            if self.used() >= self.room:
                raise OSError(errno.ENOSPC, "full")
            self.names[path.name] = Inode()
            self.changed()
        inode = self.names[path.name]
        if truncate:
            inode.data, inode.synced, inode.writes = bytearray(), b"", []
        fd = max(self.open_files, default=2) + 1
        self.open_files[fd] = inode
        return fd

    def used(self) -> int:
        return sum(
            len(inode.data)
            for inode in {id(inode): inode for inode in self.names.values()}.values()
        )

    def write(self, fd: int, data: memoryview, at: int) -> int:
        inode, piece = self.open_files[fd], bytes(data)
        try:
            self.step()
        except Died:
            inode.put(at, piece[: self.random.randint(0, len(piece))])
            raise
        free = max(0, self.room - self.used())
        if free < len(piece):
            if not free:
                raise OSError(errno.ENOSPC, "full")
            piece = piece[:free]
        inode.put(at, piece)
        return len(piece)

    def truncate(self, fd: int, size: int) -> None:
        self.step()
        inode = self.open_files[fd]
        del inode.data[size:]
        inode.writes.append((size, b""))

    def sync(self, fd: int) -> None:
        self.step()
        self.syncs += 1
        inode = self.open_files[fd]
        if self.bad_sync:  # as on Linux: the pages count as clean after a failed sync
            inode.writes = []
            raise OSError(errno.EIO, "bad disk")
        inode.synced, inode.writes = bytes(inode.data), []

    def close(self, fd: int) -> None:
        del self.open_files[fd]

    def replace(self, old: Path, new: Path) -> None:
        self.step()
        self.names[new.name] = self.names.pop(old.name)
        self.changed()

    def link(self, old: Path, new: Path) -> None:
        self.step()
        self.names[new.name] = self.names[old.name]
        self.changed()

    def unlink(self, path: Path) -> None:
        self.step()
        if self.names.pop(path.name, None) is not None:
            self.changed()

    def sync_directory(self, path: Path) -> None:
        self.step()
        if self.bad_sync:
            raise OSError(errno.EIO, "bad disk")
        self.synced_names, self.renames = dict(self.names), []

    # Faults

    def killed(self) -> None:
        """Ends the process; everything that it wrote is kept."""
        self.open_files, self.fuse = {}, -1

    def power_lost(self) -> None:
        """Loses any part of the unsynced data. Directory changes are lost from the last one
        backwards.
        """
        self.killed()
        states = [self.synced_names, *self.renames]
        self.names = dict(states[self.random.randrange(len(states))])
        for inode in {id(i): i for i in self.names.values()}.values():
            data = bytearray(inode.synced)
            for at, piece in inode.writes:
                keep = self.random.choice(("all", "none", "part"))
                if keep == "part":
                    piece = piece[: self.random.randint(0, len(piece))]
                if not piece and keep != "none":
                    del data[at:]
                elif keep != "none":
                    data.extend(bytes(max(0, at - len(data))))
                    data[at : at + len(piece)] = piece
                elif (
                    self.random.random() < 0.3
                ):  # its size was stored, its bytes were not
                    data.extend(bytes(max(0, at + len(piece) - len(data))))
            inode.data, inode.synced, inode.writes = data, bytes(data), []
        self.synced_names, self.renames = dict(self.names), []

    def flip(self, name: str) -> None:
        data = self.names[name].data
        if data:
            bit = self.random.randrange(8 * len(data))
            data[bit // 8] ^= 1 << bit % 8


class ManualSyncWorker:
    """Runs the sync thread's jobs one at a time, when a test calls `work`."""

    def __init__(self) -> None:
        self.jobs: list[
            tuple[Callable[[], None], Callable[[OSError | None], None]]
        ] = []

    def __call__(
        self, job: Callable[[], None], done: Callable[[OSError | None], None]
    ) -> None:
        self.jobs.append((job, done))

    def work(self) -> bool:
        if not self.jobs:
            return False
        job, done = self.jobs.pop(0)
        failed: OSError | None = None
        try:
            job()
        except OSError as error:
            failed = error
        done(failed)
        return True
