"""The memory of this process."""

from __future__ import annotations

import os
import resource
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(process: str = "self") -> int:
    """What is in memory now."""
    return int(Path(f"/proc/{process}/statm").read_text().split()[1]) * PAGE_BYTES


def peak_bytes() -> int:
    """The most that was in memory at any time."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
