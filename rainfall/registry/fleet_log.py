"""`fleet.log`: records of the lease table and of riders, in the order they were made;
the mark beside it.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from pathlib import Path

from rainfall.journal.files import FileSystem
from rainfall.registry.heartbeat_extension import Row
from rainfall.registry.storage import DamagedStateError, RecordLog

LEASE_TABLE = "lease"  # of the table's rows
COMPACT_AFTER_LINES = (
    1_000  # lines at least before it is written anew, and twice what it then holds
)
TaggedRows = list[tuple[str, Row]]
"""Each with the part it is of: the table, or a rider's name."""
log = logging.getLogger("rainfall.registry")


class FleetLog:
    """`load` once; then `append` and `rewrite` from one thread at a time."""

    def __init__(self, path: Path, files: FileSystem, mark: Path | None) -> None:
        self.record_log, self.watermark_path = RecordLog(path, files), mark
        self.lines_after_compaction = 0  # lines after it was last written anew

    def load(self) -> tuple[dict[str, Row], dict[str, list[Row]]]:
        """By part: its last snapshot, where there is one, and its rows since.

        Raises Damaged, OSError.
        """
        snapshots, rows_since = dict[str, Row](), dict[str, list[Row]]()
        for number, line in enumerate(self.record_log.load(), 1):
            if "of" not in line or not {"snapshot", "row"} & line.keys():
                raise DamagedStateError(
                    f"{self.record_log.path.name} line {number} is none of this file"
                )
            if "snapshot" in line:
                snapshots[line["of"]] = line["snapshot"]
            else:
                rows_since.setdefault(line["of"], []).append(line["row"])
        self.lines_after_compaction = self.record_log.row_count
        return snapshots, rows_since

    def append(self, rows: TaggedRows) -> None:
        """The rows, synced, then the mark. Raises OSError, with none of them kept."""
        self.record_log.append([{"of": of, "row": row} for of, row in rows])
        number = max(
            (int(row["n"]) for of, row in rows if of == LEASE_TABLE), default=0
        )
        if self.watermark_path is not None and number:
            try:
                self.watermark_path.write_text(f"{number}\n")
            except OSError as error:  # an older copy may then not be known for one
                log.error("mark not written", extra={"why": str(error)})

    def compaction_due(self) -> bool:
        return self.record_log.row_count >= max(
            COMPACT_AFTER_LINES, 2 * self.lines_after_compaction
        )

    def compact(self, parts: Mapping[str, Row]) -> None:
        """Snapshots in place of all rows.

        Raises OSError, leaving the file as it was.
        """
        self.lines_after_compaction = (
            self.record_log.row_count
        )  # not tried again at once where it fails
        self.record_log.rewrite(
            [{"of": of, "snapshot": snapshot} for of, snapshot in parts.items()]
        )
        self.lines_after_compaction = self.record_log.row_count

    def is_current(self, number: int) -> bool:
        """Whether a folder whose last number this is is not known to be older than what
        was last written.
        """
        try:
            return self.watermark_path is None or number >= int(
                self.watermark_path.read_text()
            )
        except (OSError, ValueError):
            return False  # gone, as after a boot: nobody knows
