"""The list service's state folder: a snapshot, logs of lines synced in groups, and the
notices.

Goes through the journal's `Files` so that tests can fail any step (see
docs/parts/registry.md, "On disk").
"""

from __future__ import annotations

import json
import zlib
from collections import deque
from pathlib import Path
from typing import Any

from rainfall.errors import RainfallError
from rainfall.journal.files import FileSystem, LocalFileSystem, write_all
from rainfall.registry.endpoint_registry import Change, EndpointRegistry

SNAPSHOT_AFTER_LINES = 1_000  # log lines before the snapshot is written again
MAX_NOTICES_PER_FILE = (
    50_000  # lines of one notices file; the one before is kept beside it
)
MAX_CACHED_NOTICES = 10_000  # in memory, for staff to read


class DamagedStateError(RainfallError):
    """The state folder cannot be read as it was written.

    One plain line; the service does not start.
    """


def encode_line(raw: dict[str, Any]) -> bytes:
    text = json.dumps(raw, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def decode_lines(data: bytes, name: str) -> tuple[list[dict[str, Any]], int]:
    """The whole lines of a log and the length they take; a torn last line is left out,
    damage before the end raises Damaged.
    """
    found, used = [], 0
    parts = data.split(b"\n")
    for number, part in enumerate(parts[:-1], 1):
        crc, _, text = part.partition(b" ")
        good = len(crc) == 8 and crc == b"%08x" % zlib.crc32(text)
        if not good:
            if number == len(parts) - 1:
                break  # the last line was being written when the process ended
            raise DamagedStateError(f"{name} line {number} is damaged")
        found.append(json.loads(text))
        used += len(part) + 1
    return found, used


class RecordLog:
    """One file of lines.

    `load` once, then `append`, `clear` and `rewrite`, one at a time.
    """

    def __init__(self, path: Path, files: FileSystem | None = None) -> None:
        self.path, self.files = path, files or LocalFileSystem()
        self.fd, self.size, self.row_count, self.sync_count = -1, 0, 0, 0
        self.has_dirty_tail = (
            False  # whether bytes of a failed append may stand behind `at`
        )

    def load(self) -> list[dict[str, Any]]:
        """The rows on disk; a torn last line is cut off. Raises Damaged or OSError."""
        there = self.path.exists()
        found, self.size = decode_lines(
            self.files.read(self.path) if there else b"", self.path.name
        )
        self.row_count = len(found)
        self.fd = self.files.open(self.path)
        self.files.truncate(self.fd, self.size)
        if not there:
            self.files.sync_directory(
                self.path.parent
            )  # a name that is not synced goes with the power
        return found

    def append(self, rows: list[dict[str, Any]]) -> None:
        """Write rows and sync once. Raises OSError, leaving the log as it was."""
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
        """Begin anew: the rows are kept elsewhere."""
        self.files.truncate(self.fd, 0)
        self.files.sync(self.fd)
        self.sync_count += 1
        self.size = self.row_count = 0

    def rewrite(self, rows: list[dict[str, Any]]) -> None:
        """Put these rows in place of all. A failure leaves the log as it was."""
        data = b"".join(map(encode_line, rows))
        fd = replace_file(self.files, self.path, data)
        self.files.close(self.fd)
        self.fd, self.size, self.row_count, self.sync_count = (
            fd,
            len(data),
            len(rows),
            self.sync_count + 2,
        )


def replace_file(files: FileSystem, path: Path, data: bytes) -> int:
    """Write a file beside the old one and rename it over; the descriptor.

    OSError: the old one stays.
    """
    new = path.with_name(path.name + ".new")
    fd = files.open(new, anew=True)
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
    """Owns the folder.

    `load` once, then `write` and `snapshot` from one thread at a time, `notices` from
    one thread at a time.
    """

    def __init__(self, folder: Path, files: FileSystem | None = None) -> None:
        self.folder, self.files = folder, files or LocalFileSystem()
        self.snapshot_path, self.change_log = (
            folder / "state.json",
            RecordLog(folder / "changes.log", self.files),
        )
        self.notice_log = RecordLog(folder / "notices.log", self.files)
        self.snapshot_sync_count = 0  # syncs of snapshots
        self.recent_notices: deque[dict[str, Any]] = deque(maxlen=MAX_CACHED_NOTICES)
        self.next_notice_number = 0  # number of the next notice

    @property
    def sync_count(self) -> int:
        return (
            self.change_log.sync_count
            + self.notice_log.sync_count
            + self.snapshot_sync_count
        )

    def is_empty(self) -> bool:
        """Whether the folder holds no list: never had, or lost. Touches nothing."""
        log = self.change_log.path
        return not self.snapshot_path.exists() and not (
            log.exists() and self.files.size(log)
        )

    def load(self) -> tuple[EndpointRegistry, bool]:
        """The state on disk, and whether there was any. Raises Damaged or OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        registry, had_state = EndpointRegistry(), self.snapshot_path.exists()
        if had_state:
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
        return registry, had_state or bool(changes)

    def append_changes(self, changes: list[Change]) -> None:
        """Append changes and sync once. Raises OSError, leaving the log as it was."""
        self.change_log.append([change.to_row() for change in changes])

    def snapshot_due(self) -> bool:
        return self.change_log.row_count >= SNAPSHOT_AFTER_LINES

    def write_snapshot(self, registry: EndpointRegistry) -> None:
        """Write the whole state, then begin the log anew.

        A failure leaves the old snapshot and the log.
        """
        self.files.close(
            replace_file(
                self.files, self.snapshot_path, json.dumps(registry.snapshot()).encode()
            )
        )
        self.change_log.clear()
        self.snapshot_sync_count += 2

    def _load_notices(self) -> None:
        old = self.folder / "notices.old"
        if old.exists():
            self.recent_notices.extend(decode_lines(self.files.read(old), old.name)[0])
        self.recent_notices.extend(self.notice_log.load())
        self.next_notice_number = (
            self.recent_notices[-1]["n"] + 1 if self.recent_notices else 0
        )

    def append_notices(self, notices: list[dict[str, Any]], at_ms: int) -> None:
        """Keep notices as they came, numbered, and sync them.

        Raises OSError, with none of them kept.
        """
        if self.notice_log.row_count >= MAX_NOTICES_PER_FILE:
            self.files.close(self.notice_log.fd)
            self.files.replace(self.notice_log.path, self.folder / "notices.old")
            syncs, self.notice_log = (
                self.notice_log.sync_count,
                RecordLog(self.notice_log.path, self.files),
            )
            self.notice_log.load()
            self.notice_log.sync_count = syncs
        first = self.next_notice_number
        rows = [
            {"n": first + n, "at_ms": at_ms, "notice": notice}
            for n, notice in enumerate(notices)
        ]
        self.notice_log.append(rows)
        self.next_notice_number += len(rows)
        self.recent_notices.extend(rows)

    def read_notices(self, since: int, limit: int) -> list[dict[str, Any]]:
        return [r for r in list(self.recent_notices) if r["n"] >= since][:limit]
