"""The records of a measurement, and the file that keeps them.

A `Measurement` is run by its name and yields `Series`; the frame adds the `Origin`
(commit, command, machine, time). In the file each measurement has one entry: running it
again replaces that entry alone.
"""

from __future__ import annotations

import json
import os
import platform
import statistics
import subprocess
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from measure.scale.target import Role

ROOT = Path(__file__).resolve().parent.parent.parent
RESULTS = Path(__file__).resolve().parent / "results.json"
MEASURED_PATHS = ("rainfall", "measure", f":!{RESULTS.relative_to(ROOT)}")
"""What a figure depends on."""
PLAIN_FIELDS = ("name", "role", "size_unit", "value_unit", "bound")


@dataclass(frozen=True, slots=True)
class Point:
    """What was measured at one size: a value for each repeat."""

    size: float
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        return statistics.median(self.values)


@dataclass(frozen=True, slots=True)
class Series:
    """One figure at rising sizes."""

    name: str
    role: Role
    size_unit: str
    value_unit: str
    points: tuple[Point, ...]
    bound: str = ""
    """Why no larger size was run."""

    def __post_init__(self) -> None:
        if not self.points or not all(point.values for point in self.points):
            raise ValueError(f"series {self.name}: a point without a value")

    @property
    def range(self) -> tuple[float, float]:
        """The least and the largest size."""
        sizes = [point.size for point in self.points]
        return min(sizes), max(sizes)

    @property
    def repeats(self) -> int:
        """How many values every point has."""
        return min(len(point.values) for point in self.points)


Progress = Callable[[str], None]
"""Told a line whenever some of a long measurement is done."""


@dataclass(frozen=True, slots=True)
class Measurement:
    """Something that can be run by its name."""

    name: str
    summary: str
    run: Callable[[Progress], Iterable[Series]]


@dataclass(frozen=True, slots=True)
class Origin:
    """Where figures come from."""

    commit: str
    """Short hash; `+` follows it where what is measured, or measures, differed from the
    commit.
    """
    command: str
    machine: str
    at: str
    """UTC, to the second."""


@dataclass(frozen=True, slots=True)
class Entry:
    """All that one run of a measurement gave."""

    measurement: str
    origin: Origin
    series: tuple[Series, ...]


@dataclass(frozen=True, slots=True)
class LocatedSeries:
    """A series of the file, with the run it is from."""

    series: Series
    origin: Origin


def run_git(*words: str) -> str:
    told = subprocess.run(
        ["git", *words], cwd=ROOT, check=True, capture_output=True, text=True
    )
    return told.stdout.strip()


def memory_bytes() -> int:
    """The machine's memory."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def machine() -> str:
    """The machine in a few words; nothing that names it."""
    cores, gigabytes = os.cpu_count(), round(memory_bytes() / 2**30)
    return f"{cores} cores, {gigabytes} GiB, {platform.system()}, Python {platform.python_version()}"


def origin(command: str) -> Origin:
    changed = "+" if run_git("status", "--porcelain", "--", *MEASURED_PATHS) else ""
    now = datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    return Origin(
        run_git("rev-parse", "--short=7", "HEAD") + changed, command, machine(), now
    )


def decode_entry(document: dict[str, Any]) -> Entry:
    """An entry as the file has it."""
    series = tuple(
        Series(
            series_document["name"],
            Role(series_document["role"]),
            series_document["size_unit"],
            series_document["value_unit"],
            tuple(
                Point(size, tuple(values)) for size, values in series_document["points"]
            ),
            series_document["bound"],
        )
        for series_document in document["series"]
    )
    return Entry(document["measurement"], Origin(**document["origin"]), series)


def encode_entry(entry: Entry) -> str:
    """An entry as text; each series is one line, so that histories of the file can be
    merged.
    """
    lines = []
    for series in entry.series:
        fields = {name: getattr(series, name) for name in PLAIN_FIELDS}
        fields["points"] = [[point.size, list(point.values)] for point in series.points]
        lines.append("   " + json.dumps(fields))
    return (
        f'  {{"measurement": {json.dumps(entry.measurement)},\n'
        f'   "origin": {json.dumps(asdict(entry.origin))},\n'
        '   "series": [\n' + ",\n".join(lines) + "]}"
    )


def load_entries(path: Path = RESULTS) -> dict[str, Entry]:
    """All entries of the file by their measurement; none where there is no file."""
    if not path.exists():
        return {}
    entries = [
        decode_entry(told) for told in json.loads(path.read_text())["measurements"]
    ]
    return {entry.measurement: entry for entry in entries}


def save_entries(entries: dict[str, Entry], path: Path = RESULTS) -> None:
    text = ",\n".join(encode_entry(entries[name]) for name in sorted(entries))
    path.write_text('{"measurements": [\n' + text + "\n]}\n")


def merge_entries(new: Iterable[Entry], path: Path = RESULTS) -> None:
    """Put entries into the file in place of those of the same measurements; all others
    stay.
    """
    entries = load_entries(path)
    entries.update({entry.measurement: entry for entry in new})
    save_entries(entries, path)


def find_series(entries: dict[str, Entry], series: str) -> LocatedSeries | None:
    """The series of that name, from whichever measurement; None where none was run."""
    for entry in entries.values():
        for one in entry.series:
            if one.name == series:
                return LocatedSeries(one, entry.origin)
    return None
