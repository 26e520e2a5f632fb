"""What the journal asks of the file system, so that tests can put another in its place."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class FileSystem(Protocol):
    """Writes tell where, so that a failed one leaves no position behind."""

    def read(self, path: Path) -> bytes: ...

    def size(self, path: Path) -> int: ...

    def open(self, path: Path, anew: bool = False) -> int: ...

    def write(self, fd: int, data: memoryview, at: int) -> int: ...

    def truncate(self, fd: int, size: int) -> None: ...

    def sync(self, fd: int) -> None: ...

    def close(self, fd: int) -> None: ...

    def replace(self, old: Path, new: Path) -> None: ...

    def link(self, old: Path, new: Path) -> None: ...

    def unlink(self, path: Path) -> None: ...

    def sync_directory(self, path: Path) -> None: ...


class LocalFileSystem:
    def read(self, path: Path) -> bytes:
        return path.read_bytes()

    def size(self, path: Path) -> int:
        return path.stat().st_size

    def open(self, path: Path, anew: bool = False) -> int:
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | (os.O_TRUNC if anew else 0)
        return os.open(path, flags, 0o600)

    def write(self, fd: int, data: memoryview, at: int) -> int:
        return os.pwrite(fd, data, at)

    def truncate(self, fd: int, size: int) -> None:
        os.ftruncate(fd, size)

    def sync(self, fd: int) -> None:
        os.fsync(fd)

    def close(self, fd: int) -> None:
        os.close(fd)

    def replace(self, old: Path, new: Path) -> None:
        os.replace(old, new)

    def link(self, old: Path, new: Path) -> None:
        os.link(old, new)

    def unlink(self, path: Path) -> None:
        path.unlink(missing_ok=True)

    def sync_directory(self, path: Path) -> None:
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def write_all(files: FileSystem, fd: int, data: bytes, at: int) -> None:
    view = memoryview(data)
    while view:
        done = files.write(fd, view, at)
        view, at = view[done:], at + done
