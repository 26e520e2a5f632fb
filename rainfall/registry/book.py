"""`fleet.log`: records of the lease table and of riders, in the order they were made;
the mark beside it.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from pathlib import Path

from rainfall.journal.files import Files
from rainfall.registry.disk import Damaged, Log
from rainfall.registry.rider import Row

LEASE = "lease"  # of the table's rows
REWRITE_EVERY = (
    1_000  # lines at least before it is written anew, and twice what it then holds
)
Rows = list[tuple[str, Row]]
"""Each with the part it is of: the table, or a rider's name."""
log = logging.getLogger("rainfall.registry")


class Book:
    """`load` once; then `append` and `rewrite` from one thread at a time."""

    def __init__(self, path: Path, files: Files, mark: Path | None) -> None:
        self.log, self.mark = Log(path, files), mark
        self.least = 0  # lines after it was last written anew

    def load(self) -> tuple[dict[str, Row], dict[str, list[Row]]]:
        """By part: its last snapshot, where there is one, and its rows since. Raises
        Damaged, OSError.
        """
        kept, found = dict[str, Row](), dict[str, list[Row]]()
        for number, line in enumerate(self.log.load(), 1):
            if "of" not in line or not {"snapshot", "row"} & line.keys():
                raise Damaged(
                    f"{self.log.path.name} line {number} is none of this file"
                )
            if "snapshot" in line:
                kept[line["of"]] = line["snapshot"]
            else:
                found.setdefault(line["of"], []).append(line["row"])
        self.least = self.log.count
        return kept, found

    def append(self, rows: Rows) -> None:
        """The rows, synced, then the mark. Raises OSError, with none of them kept."""
        self.log.append([{"of": of, "row": row} for of, row in rows])
        number = max((int(row["n"]) for of, row in rows if of == LEASE), default=0)
        if self.mark is not None and number:
            try:
                self.mark.write_text(f"{number}\n")
            except OSError as error:  # an older copy may then not be known for one
                log.error("mark not written", extra={"why": str(error)})

    def due(self) -> bool:
        return self.log.count >= max(REWRITE_EVERY, 2 * self.least)

    def rewrite(self, parts: Mapping[str, Row]) -> None:
        """Snapshots in place of all rows. Raises OSError, leaving the file as it
        was.
        """
        self.least = self.log.count  # not tried again at once where it fails
        self.log.rewrite(
            [{"of": of, "snapshot": snapshot} for of, snapshot in parts.items()]
        )
        self.least = self.log.count

    def whole(self, number: int) -> bool:
        """Whether a folder whose last number this is is not known to be older than what
        was last written.
        """
        try:
            return self.mark is None or number >= int(self.mark.read_text())
        except (OSError, ValueError):
            return False  # gone, as after a boot: nobody knows
