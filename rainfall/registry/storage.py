"""The list service's state folder: a snapshot, the change log, and the notices.

All access goes through `journal.files.FileSystem`, so that tests can inject failures.
docs/parts/registry.md, "On disk", describes the format.
"""

from __future__ import annotations

import json
import logging
import zlib
from collections import deque
from pathlib import Path
from typing import Any, NamedTuple

from rainfall.errors import RainfallError
from rainfall.journal.files import FileSystem, LocalFileSystem, write_all
from rainfall.registry.endpoint_registry import Change, EndpointRegistry

SNAPSHOT_AFTER_LINES = 1_000
"""Lines of the change log that trigger a new snapshot."""
MAX_NOTICES_PER_FILE = 50_000
"""Lines of one notice file; the previous file is kept too."""
MAX_CACHED_NOTICES = 10_000
"""Recent notices kept in memory for reads by operators."""
CHECKSUM_CHARACTERS = 8
SYNCS_PER_REPLACEMENT = 2
"""Syncs to replace a file: one of the file, one of its folder."""
log = logging.getLogger("rainfall.registry")


class DamagedStateError(RainfallError):
    """The state folder is damaged: the service does not start."""


class DecodedLines(NamedTuple):
    """The complete lines of a log."""

    rows: list[dict[str, Any]]
    size_bytes: int
    """The length of the complete lines in the file, without a torn last line."""


def log_write_failure(event: str, error: OSError, **details: Any) -> None:
    """Log a failed write without a traceback: the `OSError` text is sufficient."""
    log.error(event, extra={"why": str(error), **details})


def encode_line(raw: dict[str, Any]) -> bytes:
    """Encode a row as a log line: CRC-32 in hex, a space, and JSON."""
    text = json.dumps(raw, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode_lines(data: bytes, name: str) -> DecodedLines:
    """Decode the complete lines of the log file `name`; a torn last line is skipped.

    Raises:
        DamagedStateError: A line before the last is damaged.
    """
    rows: list[dict[str, Any]] = []
    size_bytes = 0
    parts = data.split(b"\n")
    for number, part in enumerate(parts[:-1], 1):
        crc, _, text = part.partition(b" ")
        is_intact = len(crc) == CHECKSUM_CHARACTERS and crc == b"%08x" % zlib.crc32(
            text
        )
        if not is_intact:
            if number == len(parts) - 1:
                break  # The process ended while it wrote the last line.
            raise DamagedStateError(f"{name} line {number} is damaged")
        rows.append(json.loads(text))
        size_bytes += len(part) + 1
    return DecodedLines(rows, size_bytes)


class RecordLog:
    """A file of checksummed JSON rows, one on each line.

    Call `load` once, then `append`, `clear` and `rewrite`, one at a time.
    """

    def __init__(self, path: Path, files: FileSystem | None = None) -> None:
        self.path = path
        self.files = files or LocalFileSystem()
        self.fd = -1
        self.size = 0
        """Bytes of complete lines in the file."""
        self.row_count = 0
        self.sync_count = 0
        self.has_dirty_tail = False
        """Whether the file may have bytes of a failed append after `size`."""

    def load(self) -> list[dict[str, Any]]:
        """Open the file, cut off a torn last line, and return the rows.

        Raises:
            DamagedStateError: A line before the last is damaged.
            OSError: The file cannot be read.
        """
        existed = self.path.exists()
        data = self.files.read(self.path) if existed else b""
        decoded = decode_lines(data, self.path.name)
        self.size = decoded.size_bytes
        self.row_count = len(decoded.rows)
        self.fd = self.files.open(self.path)
        self.files.truncate(self.fd, self.size)
        if not existed:
            # Without a sync of the folder the new file's name may be lost on power failure.
            self.files.sync_directory(self.path.parent)
        return decoded.rows

    def append(self, rows: list[dict[str, Any]]) -> None:
        """Append rows and sync once.

        Raises:
            OSError: The write failed; the log is unchanged.
        """
        data = b"".join(map(encode_line, rows))
        try:
            if self.has_dirty_tail:
                self.files.truncate(self.fd, self.size)
            self.has_dirty_tail = True
            write_all(self.files, self.fd, data, self.size)
            self.files.sync(self.fd)
        except OSError:
            self.files.truncate(self.fd, self.size)
            self.has_dirty_tail = False
            raise
        self.has_dirty_tail = False
        self.sync_count += 1
        self.size += len(data)
        self.row_count += len(rows)

    def clear(self) -> None:
        """Remove all rows, after they were stored in a snapshot."""
        self.files.truncate(self.fd, 0)
        self.files.sync(self.fd)
        self.sync_count += 1
        self.size = 0
        self.row_count = 0

    def rewrite(self, rows: list[dict[str, Any]]) -> None:
        """Replace all rows by `rows`.

        Raises:
            OSError: The write failed; the log is unchanged.
        """
        data = b"".join(map(encode_line, rows))
        fd = replace_file(self.files, self.path, data)
        self.files.close(self.fd)
        self.fd = fd
        self.size = len(data)
        self.row_count = len(rows)
        self.sync_count += SYNCS_PER_REPLACEMENT


def replace_file(files: FileSystem, path: Path, data: bytes) -> int:
    """Write a new file, rename it over the old one, and return its descriptor.

    Raises:
        OSError: The write failed; the old file is unchanged, unless the folder's sync
            failed after the rename.
    """
    new = path.with_name(path.name + ".new")
    fd = files.open(new, truncate=True)
    try:
        write_all(files, fd, data, 0)
        files.sync(fd)
        files.replace(new, path)
    except OSError:
        files.close(fd)
        raise
    files.sync_directory(path.parent)
    return fd


class Storage:
    """The state folder.

    Call `load` once, then `append_changes` and `write_snapshot` from one thread at a
    time, and `append_notices` from one thread at a time.
    """

    def __init__(self, folder: Path, files: FileSystem | None = None) -> None:
        self.folder = folder
        self.files = files or LocalFileSystem()
        self.snapshot_path = folder / "state.json"
        self.change_log = RecordLog(folder / "changes.log", self.files)
        self.notice_log = RecordLog(folder / "notices.log", self.files)
        self.previous_notices_path = folder / "notices.old"
        self.snapshot_sync_count = 0
        self.recent_notices: deque[dict[str, Any]] = deque(maxlen=MAX_CACHED_NOTICES)
        self.next_notice_number = 0

    @property
    def sync_count(self) -> int:
        """Syncs of all files since the start."""
        return (
            self.change_log.sync_count
            + self.notice_log.sync_count
            + self.snapshot_sync_count
        )

    def is_empty(self) -> bool:
        """Return whether the folder has no endpoint list; changes nothing on disk."""
        log_path = self.change_log.path
        has_changes = log_path.exists() and self.files.size(log_path) > 0
        return not self.snapshot_path.exists() and not has_changes

    def load(self) -> tuple[EndpointRegistry, bool]:
        """Load the state on disk, and return it and whether there was any.

        Raises:
            DamagedStateError: A file is damaged.
            OSError: A file cannot be read.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        registry = EndpointRegistry()
        had_snapshot = self.snapshot_path.exists()
        if had_snapshot:
            try:
                registry = EndpointRegistry.from_snapshot(
                    json.loads(self.files.read(self.snapshot_path))
                )
            except (ValueError, KeyError, TypeError) as error:
                raise DamagedStateError(
                    f"{self.snapshot_path.name} cannot be read: {error}"
                ) from None
        changes = self.change_log.load()
        for raw in changes:
            change = Change.from_row(raw)
            if registry.is_newer(change):
                registry.commit(change)
        self._load_notices()
        return registry, had_snapshot or bool(changes)

    def append_changes(self, changes: list[Change]) -> None:
        """Append changes to the change log and sync once.

        Raises:
            OSError: The write failed; the log is unchanged.
        """
        self.change_log.append([change.to_row() for change in changes])

    def snapshot_due(self) -> bool:
        """Return whether the change log has grown enough for a snapshot."""
        return self.change_log.row_count >= SNAPSHOT_AFTER_LINES

    def write_snapshot(self, registry: EndpointRegistry) -> None:
        """Write the whole state, then clear the change log.

        Raises:
            OSError: Either the old snapshot and the log are unchanged, or the new
                snapshot is in place and the log was not cleared. The latter is harmless:
                `load` skips the changes that the snapshot has.
        """
        data = json.dumps(registry.snapshot()).encode()
        fd = replace_file(self.files, self.snapshot_path, data)
        self.files.close(fd)
        self.change_log.clear()
        self.snapshot_sync_count += SYNCS_PER_REPLACEMENT

    def _load_notices(self) -> None:
        previous = self.previous_notices_path
        if previous.exists():
            decoded = decode_lines(self.files.read(previous), previous.name)
            self.recent_notices.extend(decoded.rows)
        self.recent_notices.extend(self.notice_log.load())
        if self.recent_notices:
            self.next_notice_number = self.recent_notices[-1]["n"] + 1

    def append_notices(self, notices: list[dict[str, Any]], at_ms: int) -> None:
        """Store notices unchanged, each with a number and the time, and sync once.

        Raises:
            OSError: The write failed; none of the notices is stored.
        """
        if self.notice_log.row_count >= MAX_NOTICES_PER_FILE:
            self._begin_notices_file()
        rows = [
            {"n": number, "at_ms": at_ms, "notice": notice}
            for number, notice in enumerate(notices, self.next_notice_number)
        ]
        self.notice_log.append(rows)
        self.next_notice_number += len(rows)
        self.recent_notices.extend(rows)

    def _begin_notices_file(self) -> None:
        """Begin a new notice file; the full one replaces the previous file."""
        full_log = self.notice_log
        self.files.close(full_log.fd)
        self.files.replace(full_log.path, self.previous_notices_path)
        self.notice_log = RecordLog(full_log.path, self.files)
        self.notice_log.load()
        self.notice_log.sync_count = full_log.sync_count

    def read_notices(self, since: int, limit: int) -> list[dict[str, Any]]:
        """Return recent notices from number `since` on, at most `limit`."""
        # Copied because the writer's thread may append concurrently.
        recent = list(self.recent_notices)
        return [row for row in recent if row["n"] >= since][:limit]
