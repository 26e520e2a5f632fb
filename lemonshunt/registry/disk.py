"""The list service's state folder: a snapshot, a log of changes synced in groups, and the notices.

Goes through the journal's `Files` so that tests can fail any step (see docs/parts.md, "On disk").
"""

from __future__ import annotations

import json
import zlib
from collections import deque
from pathlib import Path
from typing import Any

from lemonshunt.journal.files import Files, SystemFiles, write_all
from lemonshunt.registry.core import Change, Registry

SNAPSHOT_EVERY = 1_000  # log lines before the snapshot is written again
MOST_NOTICES = 50_000  # lines of one notices file; the one before is kept beside it
KEPT_NOTICES = 10_000  # in memory, for staff to read


class Damaged(Exception):
    """The state folder cannot be read as it was written. One plain line; the service does not start."""


def line(raw: dict[str, Any]) -> bytes:
    text = json.dumps(raw, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(text), text)


def lines(data: bytes, name: str) -> tuple[list[dict[str, Any]], int]:
    """The whole lines of a log and the length they take; a torn last line is left out, damage before the
    end raises Damaged."""
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


class Disk:
    """Owns the folder. `load` once, then `write` (from one thread at a time) and `notices`."""

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self.folder, self.files = folder, files or SystemFiles()
        self.log_fd, self.log_at, self.log_lines = -1, 0, 0
        self.notice_fd, self.notice_at, self.notice_lines = -1, 0, 0
        self.syncs = 0
        self.kept: deque[dict[str, Any]] = deque(maxlen=KEPT_NOTICES)
        self.notice_count = 0  # number of the next notice

    def load(self) -> tuple[Registry, bool]:
        """The state on disk, and whether there was any. Raises Damaged or OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        snap, log = self.folder / "state.json", self.folder / "changes.log"
        had = snap.exists() or log.exists()
        registry = Registry()
        if snap.exists():
            try:
                registry = Registry.restored(json.loads(self.files.read(snap)))
            except (ValueError, KeyError, TypeError) as error:
                raise Damaged(f"{snap.name} cannot be read: {error}") from None
        data = self.files.read(log) if log.exists() else b""
        changes, used = lines(data, log.name)
        for raw in changes:
            change = Change.of(raw)
            if change.seq > registry.seq:
                registry.commit(change)
        self.log_fd = self.files.open(log)
        self.files.cut(self.log_fd, used)
        self.log_at, self.log_lines = used, len(changes)
        self._load_notices()
        return registry, had

    def write(self, changes: list[Change]) -> None:
        """Append changes and sync once. Raises OSError, leaving the log as it was."""
        data = b"".join(line(c.line()) for c in changes)
        try:
            write_all(self.files, self.log_fd, data, self.log_at)
            self.files.sync(self.log_fd)
        except OSError:
            self.files.cut(self.log_fd, self.log_at)
            raise
        self.syncs += 1
        self.log_at += len(data)
        self.log_lines += len(changes)

    def due(self) -> bool:
        return self.log_lines >= SNAPSHOT_EVERY

    def snapshot(self, registry: Registry) -> None:
        """Write the whole state, then begin the log anew. A failure leaves the old snapshot and the log."""
        snap, new = self.folder / "state.json", self.folder / "state.json.new"
        fd = self.files.open(new, anew=True)
        try:
            write_all(self.files, fd, json.dumps(registry.snapshot()).encode(), 0)
            self.files.sync(fd)
        finally:
            self.files.close(fd)
        self.files.replace(new, snap)
        self.files.sync_folder(self.folder)
        self.files.cut(self.log_fd, 0)
        self.files.sync(self.log_fd)
        self.syncs += 3
        self.log_at, self.log_lines = 0, 0

    def _load_notices(self) -> None:
        path = self.folder / "notices.log"
        for name in ("notices.old", "notices.log"):
            if (self.folder / name).exists():
                found, used = lines(self.files.read(self.folder / name), name)
                self.kept.extend(found)
                if name == "notices.log":
                    self.notice_at, self.notice_lines = used, len(found)
        self.notice_count = self.kept[-1]["n"] + 1 if self.kept else 0
        self.notice_fd = self.files.open(path)
        self.files.cut(self.notice_fd, self.notice_at)

    def notices(self, told: list[dict[str, Any]], at_ms: int) -> None:
        """Keep notices as they came, numbered, and sync them. Raises OSError."""
        if self.notice_lines >= MOST_NOTICES:
            self.files.close(self.notice_fd)
            self.files.replace(self.folder / "notices.log", self.folder / "notices.old")
            self.notice_fd = self.files.open(self.folder / "notices.log", anew=True)
            self.notice_at = self.notice_lines = 0
        rows = []
        for notice in told:
            rows.append({"n": self.notice_count, "at_ms": at_ms, "notice": notice})
            self.notice_count += 1
        data = b"".join(line(r) for r in rows)
        write_all(self.files, self.notice_fd, data, self.notice_at)
        self.files.sync(self.notice_fd)
        self.syncs += 1
        self.notice_at += len(data)
        self.notice_lines += len(rows)
        self.kept.extend(rows)

    def read_notices(self, since: int, most: int) -> list[dict[str, Any]]:
        return [r for r in self.kept if r["n"] >= since][:most]
