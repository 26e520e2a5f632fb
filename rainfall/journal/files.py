"""The file operations that stored state needs, behind a protocol that tests replace."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600
"""Message bodies are stored: only the forwarder's own user may read them."""


class FileSystem(Protocol):
    """The operations on files; each raises OSError where it fails.

    Writes name their offset, so that a failed one leaves no file position behind.
    """

    def read(self, path: Path) -> bytes:
        """Return a file's contents."""

    def size(self, path: Path) -> int:
        """Return a file's size in bytes."""

    def open(self, path: Path, anew: bool = False) -> int:
        """Open a file to read and write, and create it if need be.

        With `anew` it is truncated. Returns the descriptor.
        """

    def write(self, fd: int, data: memoryview, at: int) -> int:
        """Write at an offset; returns how many bytes were written."""

    def truncate(self, fd: int, size: int) -> None:
        """Cut a file to a size in bytes."""

    def sync(self, fd: int) -> None:
        """Return once a file's contents have reached the disk."""

    def close(self, fd: int) -> None:
        """Close a descriptor."""

    def replace(self, old: Path, new: Path) -> None:
        """Rename a file; one that has the new name is replaced."""

    def link(self, old: Path, new: Path) -> None:
        """Give a file a second name."""

    def unlink(self, path: Path) -> None:
        """Remove a name, if it exists."""

    def sync_directory(self, path: Path) -> None:
        """Return once a directory's names have reached the disk."""


class LocalFileSystem:
    """The file system of this machine."""

    def read(self, path: Path) -> bytes:
        """Return a file's contents."""
        return path.read_bytes()

    def size(self, path: Path) -> int:
        """Return a file's size in bytes."""
        return path.stat().st_size

    def open(self, path: Path, anew: bool = False) -> int:
        """Open a file to read and write, and create it if need be."""
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | (os.O_TRUNC if anew else 0)
        return os.open(path, flags, FILE_MODE)

    def write(self, fd: int, data: memoryview, at: int) -> int:
        """Write at an offset; returns how many bytes were written."""
        return os.pwrite(fd, data, at)

    def truncate(self, fd: int, size: int) -> None:
        """Cut a file to a size in bytes."""
        os.ftruncate(fd, size)

    def sync(self, fd: int) -> None:
        """Return once a file's contents have reached the disk."""
        os.fsync(fd)

    def close(self, fd: int) -> None:
        """Close a descriptor."""
        os.close(fd)

    def replace(self, old: Path, new: Path) -> None:
        """Rename a file; one that has the new name is replaced."""
        old.replace(new)

    def link(self, old: Path, new: Path) -> None:
        """Give a file a second name."""
        os.link(old, new)

    def unlink(self, path: Path) -> None:
        """Remove a name, if it exists."""
        path.unlink(missing_ok=True)

    def sync_directory(self, path: Path) -> None:
        """Return once a directory's names have reached the disk."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def write_all(files: FileSystem, fd: int, data: bytes, at: int) -> None:
    """Write all of the data at an offset, in as many writes as it takes."""
    view = memoryview(data)
    while view:
        written = files.write(fd, view, at)
        view = view[written:]
        at += written
