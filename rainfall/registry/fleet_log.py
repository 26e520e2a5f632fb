"""Reads and writes `fleet.log`: the records of the lease table and of the extensions.

Each line is a snapshot of one part (the lease table or an extension), or a later row of
it. The watermark is a file outside the state folder with the number of the last lease
record: a log that ends below that number is an older copy, for example from a backup.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from rainfall.journal.files import FileSystem
from rainfall.registry.heartbeat_extension import Row
from rainfall.registry.storage import DamagedStateError, RecordLog, log_write_failure

LEASE_TABLE = "lease"
"""The part name of the lease table's rows."""
COMPACT_AFTER_LINES = 1_000
"""Lines before the log is compacted.

It must also have at least twice as many lines as after the last compaction.
"""
TaggedRows = list[tuple[str, Row]]
"""Rows, each with its part name: `LEASE_TABLE`, or an extension's name."""


class LoadedFleetLog(NamedTuple):
    """The content of the log at the start, by part."""

    snapshots: dict[str, Row]
    """The last snapshot, if any."""
    rows_since: dict[str, list[Row]]
    """The rows after the last snapshot."""


class FleetLog:
    """The log file with its watermark.

    Call `load` once; then `append` and `compact` from one thread at a time.
    """

    def __init__(
        self, path: Path, files: FileSystem, watermark_path: Path | None
    ) -> None:
        self.record_log = RecordLog(path, files)
        self.watermark_path = watermark_path
        self.lines_after_compaction = 0

    def load(self) -> LoadedFleetLog:
        """Load the snapshots and the rows of all parts.

        Raises:
            DamagedStateError: A line is damaged, or has neither a snapshot nor a row.
            OSError: The file cannot be read.
        """
        loaded = LoadedFleetLog({}, {})
        for number, line in enumerate(self.record_log.load(), 1):
            if "of" not in line or not {"snapshot", "row"} & line.keys():
                raise DamagedStateError(
                    f"{self.record_log.path.name} line {number} has no snapshot or row"
                )
            if "snapshot" in line:
                loaded.snapshots[line["of"]] = line["snapshot"]
            else:
                loaded.rows_since.setdefault(line["of"], []).append(line["row"])
        self.lines_after_compaction = self.record_log.row_count
        return loaded

    def append(self, rows: TaggedRows) -> None:
        """Write and sync the rows, then the watermark.

        Raises:
            OSError: None of the rows is stored.
        """
        self.record_log.append([{"of": part, "row": row} for part, row in rows])
        lease_numbers = (int(row["n"]) for part, row in rows if part == LEASE_TABLE)
        number = max(lease_numbers, default=0)
        if self.watermark_path is not None and number:
            try:
                self.watermark_path.write_text(f"{number}\n")
            except OSError as error:
                # The rows are stored. Without the watermark an older copy of the log may go
                # undetected.
                log_write_failure("cannot write watermark", error)

    def compaction_due(self) -> bool:
        """Return whether the log has grown enough to be compacted."""
        return self.record_log.row_count >= max(
            COMPACT_AFTER_LINES, 2 * self.lines_after_compaction
        )

    def compact(self, parts: Mapping[str, Row]) -> None:
        """Replace all lines by a snapshot of each part.

        Raises:
            OSError: The write failed; the file is unchanged.
        """
        # Also set before the write, so that a failed write is not retried immediately.
        self.lines_after_compaction = self.record_log.row_count
        self.record_log.rewrite(
            [{"of": part, "snapshot": snapshot} for part, snapshot in parts.items()]
        )
        self.lines_after_compaction = self.record_log.row_count

    def is_current(self, number: int) -> bool:
        """Return whether a log that ends with this lease record number is current.

        False if the watermark is higher, or cannot be read, as after a reboot.
        """
        try:
            return self.watermark_path is None or number >= int(
                self.watermark_path.read_text()
            )
        except (OSError, ValueError):
            return False
