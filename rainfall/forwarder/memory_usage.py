"""The resident memory of this process, as the kernel counts it."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

STATUS_PATH = Path("/proc/self/status")
"""Linux: proc(5), /proc/pid/status."""


class MemoryUsage(NamedTuple):
    """Resident memory of the process in kB; 0 where the kernel does not say."""

    resident_kb: int
    peak_kb: int
    """Highest resident memory since the start."""


def read_memory_usage() -> MemoryUsage:
    """Return the resident memory now, and its peak."""
    try:
        lines = STATUS_PATH.read_text().splitlines()
    except OSError:
        return MemoryUsage(0, 0)
    figures = dict(line.partition(":")[::2] for line in lines)
    return MemoryUsage(_kilobytes(figures, "VmRSS"), _kilobytes(figures, "VmHWM"))


def _kilobytes(figures: dict[str, str], name: str) -> int:
    number = figures.get(name, "").partition("kB")[0].strip()
    return int(number) if number.isdigit() else 0
