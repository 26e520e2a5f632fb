"""File operations for stored state, behind a protocol that tests can replace."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600
"""Files hold message bodies, so only the forwarder's own user may read them."""


class FileSystem(Protocol):
    """Operations on files; each raises OSError on failure.

    Writes are positional, so a failed write does not move a file position.
    """

    def read(self, path: Path) -> bytes:
        """Return a file's contents."""

    def size(self, path: Path) -> int:
        """Return a file's size in bytes."""

    def open(self, path: Path, truncate: bool = False) -> int:
        """Open a file for reading and writing, creating it if it does not exist.

        `truncate` truncates the file. Returns the descriptor.
        """

    def write(self, fd: int, data: memoryview, offset: int) -> int:
        """Write at an offset; returns how many bytes were written."""

    def truncate(self, fd: int, size: int) -> None:
        """Truncate a file to a size in bytes."""

    def sync(self, fd: int) -> None:
        """Return once a file's contents have reached the disk."""

    def close(self, fd: int) -> None:
        """Close a descriptor."""

    def replace(self, old: Path, new: Path) -> None:
        """Rename a file, replacing any file of the new name."""

    def link(self, old: Path, new: Path) -> None:
        """Create a hard link to a file."""

    def unlink(self, path: Path) -> None:
        """Remove a directory entry, if it exists."""

    def sync_directory(self, path: Path) -> None:
        """Return once a directory's entries have reached the disk."""


class LocalFileSystem:
    """The file system of this machine."""

    def read(self, path: Path) -> bytes:
        """Return a file's contents."""
        return path.read_bytes()

    def size(self, path: Path) -> int:
        """Return a file's size in bytes."""
        return path.stat().st_size

    def open(self, path: Path, truncate: bool = False) -> int:
        """Open a file for reading and writing, creating it if it does not exist."""
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | (os.O_TRUNC if truncate else 0)
        return os.open(path, flags, FILE_MODE)

    def write(self, fd: int, data: memoryview, offset: int) -> int:
        """Write at an offset; returns how many bytes were written."""
        return os.pwrite(fd, data, offset)

    def truncate(self, fd: int, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(fd, size)

    def sync(self, fd: int) -> None:
        """Return once a file's contents have reached the disk."""
        os.fsync(fd)

    def close(self, fd: int) -> None:
        """Close a descriptor."""
        os.close(fd)

    def replace(self, old: Path, new: Path) -> None:
        """Rename a file, replacing any file of the new name."""
        old.replace(new)

    def link(self, old: Path, new: Path) -> None:
        """Create a hard link to a file."""
        os.link(old, new)

    def unlink(self, path: Path) -> None:
        """Remove a directory entry, if it exists."""
        path.unlink(missing_ok=True)

    def sync_directory(self, path: Path) -> None:
        """Return once a directory's entries have reached the disk."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def write_all(files: FileSystem, fd: int, data: bytes | bytearray, offset: int) -> None:
    """Write all data at an offset, repeating the call after partial writes."""
    view = memoryview(data)
    while view:
        written = files.write(fd, view, offset)
        view = view[written:]
        offset += written
