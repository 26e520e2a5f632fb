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

PID_FILE = "pids.jsonl"
EXIT_TIMEOUT_S, POLL_INTERVAL_S = 5.0, 0.01


def start_ticks(pid: int) -> int:
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
    with (folder / PID_FILE).open("a") as file:
        file.write(
            json.dumps({"name": name, "pid": pid, "born": start_ticks(pid)}) + "\n"
        )


def still_running(folder: Path) -> list[int]:
    """Those of a run's processes that still live."""
    try:
        lines = (folder / PID_FILE).read_text().splitlines()
    except OSError:
        return []
    running = []
    for line in lines:
        with contextlib.suppress(ValueError, KeyError):
            entry = json.loads(line)
            if entry["born"] and start_ticks(entry["pid"]) == entry["born"]:
                running.append(int(entry["pid"]))
    return running


async def end(folder: Path) -> list[int]:
    """SIGKILL to each of them that still lives, and wait until they are gone (GONE_S at
    most); their ids.
    """
    living = still_running(folder)
    for pid in living:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    for _ in range(int(EXIT_TIMEOUT_S / POLL_INTERVAL_S)):
        if not still_running(folder):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return living
