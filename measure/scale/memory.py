"""Reads the memory and the processor time of processes from /proc."""

from __future__ import annotations

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(process: str = "self") -> int:
    """Return a process's resident memory; by default that of this process."""
    return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * PAGE_BYTES


def peak_bytes() -> int:
    """Return the peak of this process's resident memory.

    `ru_maxrss` would include the process that started this one.
    """
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(
        int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:")
    )


def processor_s(process: int) -> float:
    """Return the user and system time of a process until now, in seconds."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S
