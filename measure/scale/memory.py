"""The memory of this process."""

from __future__ import annotations

import os
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """What is in memory now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def peak_bytes() -> int:
    """The most that was in memory at any time. `ru_maxrss` would count the process that started this one."""
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:"))
