"""The results of measurements, and the file that stores them.

A `Measurement` is run by its name and yields `Series`; the `Origin` (commit, command,
machine, time) is added to them. In the file each measurement has one entry: running it
again replaces that entry alone.
"""

from __future__ import annotations

import json
import os
import platform
import statistics
import subprocess
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from measure.scale.target import Role

ROOT = Path(__file__).resolve().parent.parent.parent
RESULTS = Path(__file__).resolve().parent / "results.json"
MEASURED_PATHS = ("rainfall", "measure", f":!{RESULTS.relative_to(ROOT)}")
"""The paths that a result depends on."""


@dataclass(frozen=True, slots=True)
class Point:
    """The values of all repeats at one size."""

    size: float
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """The median of the values."""
        return statistics.median(self.values)


@dataclass(frozen=True, slots=True)
class Series:
    """The values of one figure at rising sizes."""

    name: str
    role: Role
    size_unit: str
    value_unit: str
    points: tuple[Point, ...]
    bound: str = ""
    """Why no larger size was run."""

    def __post_init__(self) -> None:
        if not self.points or not all(point.values for point in self.points):
            raise ValueError(
                f"series {self.name}: no points, or a point without a value"
            )

    @property
    def range(self) -> tuple[float, float]:
        """The smallest and the largest size."""
        sizes = [point.size for point in self.points]
        return min(sizes), max(sizes)

    @property
    def repeats(self) -> int:
        """The number of values that every point has."""
        return min(len(point.values) for point in self.points)


Progress = Callable[[str], None]
"""Called with a line of text after each step of a long measurement."""


@dataclass(frozen=True, slots=True)
class Measurement:
    """A measurement that is run by its name."""

    name: str
    summary: str
    run: Callable[[Progress], Iterable[Series]]


@dataclass(frozen=True, slots=True)
class Origin:
    """The run that produced results."""

    commit: str
    """Short hash; with `+` if the program or the measurements differed from it."""
    command: str
    machine: str
    at: str
    """UTC, to the second."""


@dataclass(frozen=True, slots=True)
class Entry:
    """All results of one run of a measurement."""

    measurement: str
    origin: Origin
    series: tuple[Series, ...]


@dataclass(frozen=True, slots=True)
class LocatedSeries:
    """A series of the results file, with the run that produced it."""

    series: Series
    origin: Origin


def run_git(*arguments: str) -> str:
    """Return the output of a git command in the repository."""
    done = subprocess.run(
        ["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True
    )
    return done.stdout.strip()


def memory_bytes() -> int:
    """Return the size of the machine's memory."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def machine() -> str:
    """Describe the machine without its host name."""
    gibibytes = round(memory_bytes() / 2**30)
    return (
        f"{os.cpu_count()} cores, {gibibytes} GiB, {platform.system()}, "
        f"Python {platform.python_version()}"
    )


def origin(command: str) -> Origin:
    """Return the origin of results that this tree produces now."""
    changed = "+" if run_git("status", "--porcelain", "--", *MEASURED_PATHS) else ""
    now = datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    return Origin(
        run_git("rev-parse", "--short=7", "HEAD") + changed, command, machine(), now
    )


def decode_entry(document: dict[str, Any]) -> Entry:
    """Decode an entry from its document in the results file."""
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
    return Entry(document["measurement"], _decode_origin(document["origin"]), series)


def _decode_origin(document: dict[str, str]) -> Origin:
    return Origin(
        document["commit"], document["command"], document["machine"], document["at"]
    )


def _encode_origin(origin: Origin) -> dict[str, str]:
    return {
        "commit": origin.commit,
        "command": origin.command,
        "machine": origin.machine,
        "at": origin.at,
    }


def encode_entry(entry: Entry) -> str:
    """Encode an entry for the results file.

    Each series is one line, so that git can merge changes of the file.
    """
    lines = []
    for series in entry.series:
        fields = {
            "name": series.name,
            "role": series.role,
            "size_unit": series.size_unit,
            "value_unit": series.value_unit,
            "bound": series.bound,
            "points": [[point.size, list(point.values)] for point in series.points],
        }
        lines.append("   " + json.dumps(fields))
    return (
        f'  {{"measurement": {json.dumps(entry.measurement)},\n'
        f'   "origin": {json.dumps(_encode_origin(entry.origin))},\n'
        '   "series": [\n' + ",\n".join(lines) + "]}"
    )


def load_entries(path: Path = RESULTS) -> dict[str, Entry]:
    """Load all entries of the file by measurement; empty if there is no file."""
    if not path.exists():
        return {}
    entries = [
        decode_entry(document)
        for document in json.loads(path.read_text())["measurements"]
    ]
    return {entry.measurement: entry for entry in entries}


def save_entries(entries: dict[str, Entry], path: Path = RESULTS) -> None:
    """Write the file with these entries."""
    text = ",\n".join(encode_entry(entries[name]) for name in sorted(entries))
    path.write_text('{"measurements": [\n' + text + "\n]}\n")


def merge_entries(new: Iterable[Entry], path: Path = RESULTS) -> None:
    """Replace the entries of the same measurements in the file; others stay."""
    entries = load_entries(path)
    entries.update({entry.measurement: entry for entry in new})
    save_entries(entries, path)


def find_series(entries: dict[str, Entry], series: str) -> LocatedSeries | None:
    """Return the series of that name, or None if it was not measured."""
    for entry in entries.values():
        for one in entry.series:
            if one.name == series:
                return LocatedSeries(one, entry.origin)
    return None
