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

from rainfall.journal.files import Files, SystemFiles, write_all
from rainfall.registry.core import Change, Registry

SNAPSHOT_EVERY = 1_000  # log lines before the snapshot is written again
MOST_NOTICES = 50_000  # lines of one notices file; the one before is kept beside it
KEPT_NOTICES = 10_000  # in memory, for staff to read


class Damaged(Exception):
    """The state folder cannot be read as it was written. One plain line; the service
    does not start.
    """


def line(raw: dict[str, Any]) -> bytes:
    text = json.dumps(raw, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def lines(data: bytes, name: str) -> tuple[list[dict[str, Any]], int]:
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
            raise Damaged(f"{name} line {number} is damaged")
        found.append(json.loads(text))
        used += len(part) + 1
    return found, used


class Log:
    """One file of lines. `load` once, then `append`, `clear` and `rewrite`, one at a
    time.
    """

    def __init__(self, path: Path, files: Files | None = None) -> None:
        self.path, self.files = path, files or SystemFiles()
        self.fd, self.at, self.count, self.syncs = -1, 0, 0, 0
        self.tail = False  # whether bytes of a failed append may stand behind `at`

    def load(self) -> list[dict[str, Any]]:
        """The rows on disk; a torn last line is cut off. Raises Damaged or OSError."""
        there = self.path.exists()
        found, self.at = lines(
            self.files.read(self.path) if there else b"", self.path.name
        )
        self.count = len(found)
        self.fd = self.files.open(self.path)
        self.files.cut(self.fd, self.at)
        if not there:
            self.files.sync_folder(
                self.path.parent
            )  # a name that is not synced goes with the power
        return found

    def append(self, rows: list[dict[str, Any]]) -> None:
        """Write rows and sync once. Raises OSError, leaving the log as it was."""
        data = b"".join(map(line, rows))
        try:
            if self.tail:
                self.files.cut(self.fd, self.at)
            self.tail = True
            write_all(self.files, self.fd, data, self.at)
            self.files.sync(self.fd)
        except OSError:
            self.files.cut(self.fd, self.at)
            self.tail = False
            raise
        self.tail = False
        self.syncs += 1
        self.at += len(data)
        self.count += len(rows)

    def clear(self) -> None:
        """Begin anew: the rows are kept elsewhere."""
        self.files.cut(self.fd, 0)
        self.files.sync(self.fd)
        self.syncs += 1
        self.at = self.count = 0

    def rewrite(self, rows: list[dict[str, Any]]) -> None:
        """Put these rows in place of all. A failure leaves the log as it was."""
        data = b"".join(map(line, rows))
        fd = replaced(self.files, self.path, data)
        self.files.close(self.fd)
        self.fd, self.at, self.count, self.syncs = (
            fd,
            len(data),
            len(rows),
            self.syncs + 2,
        )


def replaced(files: Files, path: Path, data: bytes) -> int:
    """Write a file beside the old one and rename it over; the descriptor. OSError: the
    old one stays.
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
    files.sync_folder(path.parent)
    return fd


class Disk:
    """Owns the folder. `load` once, then `write` and `snapshot` from one thread at a
    time, `notices` from one thread at a time.
    """

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self.folder, self.files = folder, files or SystemFiles()
        self.snap, self.log = (
            folder / "state.json",
            Log(folder / "changes.log", self.files),
        )
        self.noted = Log(folder / "notices.log", self.files)
        self.snaps = 0  # syncs of snapshots
        self.kept: deque[dict[str, Any]] = deque(maxlen=KEPT_NOTICES)
        self.notice_count = 0  # number of the next notice

    @property
    def syncs(self) -> int:
        return self.log.syncs + self.noted.syncs + self.snaps

    def empty(self) -> bool:
        """Whether the folder holds no list: never had, or lost. Touches nothing."""
        log = self.log.path
        return not self.snap.exists() and not (log.exists() and self.files.size(log))

    def load(self) -> tuple[Registry, bool]:
        """The state on disk, and whether there was any. Raises Damaged or OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        registry, had = Registry(), self.snap.exists()
        if had:
            try:
                registry = Registry.restored(json.loads(self.files.read(self.snap)))
            except (ValueError, KeyError, TypeError) as error:
                raise Damaged(f"{self.snap.name} cannot be read: {error}") from None
        changes = self.log.load()
        for raw in changes:
            change = Change.of(raw)
            if registry.newer(change):
                registry.commit(change)
        self._load_notices()
        return registry, had or bool(changes)

    def write(self, changes: list[Change]) -> None:
        """Append changes and sync once. Raises OSError, leaving the log as it was."""
        self.log.append([change.line() for change in changes])

    def due(self) -> bool:
        return self.log.count >= SNAPSHOT_EVERY

    def snapshot(self, registry: Registry) -> None:
        """Write the whole state, then begin the log anew. A failure leaves the old
        snapshot and the log.
        """
        self.files.close(
            replaced(self.files, self.snap, json.dumps(registry.snapshot()).encode())
        )
        self.log.clear()
        self.snaps += 2

    def _load_notices(self) -> None:
        old = self.folder / "notices.old"
        if old.exists():
            self.kept.extend(lines(self.files.read(old), old.name)[0])
        self.kept.extend(self.noted.load())
        self.notice_count = self.kept[-1]["n"] + 1 if self.kept else 0

    def notices(self, told: list[dict[str, Any]], at_ms: int) -> None:
        """Keep notices as they came, numbered, and sync them. Raises OSError, with none
        of them kept.
        """
        if self.noted.count >= MOST_NOTICES:
            self.files.close(self.noted.fd)
            self.files.replace(self.noted.path, self.folder / "notices.old")
            syncs, self.noted = self.noted.syncs, Log(self.noted.path, self.files)
            self.noted.load()
            self.noted.syncs = syncs
        first = self.notice_count
        rows = [
            {"n": first + n, "at_ms": at_ms, "notice": notice}
            for n, notice in enumerate(told)
        ]
        self.noted.append(rows)
        self.notice_count += len(rows)
        self.kept.extend(rows)

    def read_notices(self, since: int, most: int) -> list[dict[str, Any]]:
        return [r for r in list(self.kept) if r["n"] >= since][:most]
