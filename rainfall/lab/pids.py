"""The ids of every process that a run started, kept in its folder: whoever finds a run
that could not end its own ends exactly those, and no other that the kernel has given
the same id since.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
from pathlib import Path

FILE = "pids.jsonl"
GONE_S, POLL_S = 5.0, 0.01


def born(pid: int) -> int:
    """When a process was started, in the kernel's ticks since boot; 0 where it is no
    more.
    """
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0
    fields = text.rpartition(")")[2].split()
    return 0 if fields[0] in ("Z", "X") else int(fields[19])


def note(folder: Path, name: str, pid: int) -> None:
    with (folder / FILE).open("a") as file:
        file.write(json.dumps({"name": name, "pid": pid, "born": born(pid)}) + "\n")


def left(folder: Path) -> list[int]:
    """Those of a run's processes that still live."""
    try:
        lines = (folder / FILE).read_text().splitlines()
    except OSError:
        return []
    found = []
    for line in lines:
        with contextlib.suppress(ValueError, KeyError):
            told = json.loads(line)
            if told["born"] and born(told["pid"]) == told["born"]:
                found.append(int(told["pid"]))
    return found


async def end(folder: Path) -> list[int]:
    """SIGKILL to each of them that still lives, and wait until they are gone (GONE_S at
    most); their ids.
    """
    living = left(folder)
    for pid in living:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    for _ in range(int(GONE_S / POLL_S)):
        if not left(folder):
            break
        await asyncio.sleep(POLL_S)
    return living
