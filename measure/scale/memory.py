"""The memory and the processor time of processes."""

from __future__ import annotations

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(process: str = "self") -> int:
    """What a process has in memory now; of this one where none is named."""
    return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * PAGE_BYTES


def peak_bytes() -> int:
    """The most that was in memory at any time.

    `ru_maxrss` would count the process that started this one.
    """
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(
        int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:")
    )


def processor_s(process: int) -> float:
    """User and system time of a process until now, in seconds."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S
