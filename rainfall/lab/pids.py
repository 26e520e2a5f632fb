"""The ids of all processes that a run started, stored in the run's folder.

If a run could not end its processes, others can end exactly these, and none to which the
kernel has given the same id since.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
from pathlib import Path

PID_FILE = "pids.jsonl"
EXIT_TIMEOUT_S = 5.0
"""How long processes may take to end after SIGKILL."""
POLL_INTERVAL_S = 0.01
ENDED_STATES = ("Z", "X")
"""States of /proc/PID/stat: a zombie, and a dead process."""
STATE_FIELD = 0
START_TIME_FIELD = 19
"""Fields of /proc/PID/stat, counted after the process's name."""


def start_ticks(pid: int) -> int:
    """When a process was started, in the kernel's ticks since boot; 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0
    fields = text.rpartition(")")[2].split()
    if fields[STATE_FIELD] in ENDED_STATES:
        return 0
    return int(fields[START_TIME_FIELD])


def note(folder: Path, name: str, pid: int) -> None:
    """Store the id of a process of the run in this folder."""
    entry = {"name": name, "pid": pid, "born": start_ticks(pid)}
    with (folder / PID_FILE).open("a") as file:
        file.write(json.dumps(entry) + "\n")


def still_running(folder: Path) -> list[int]:
    """The ids of a run's processes that have not ended."""
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
    """End a run's processes by SIGKILL, and wait for at most ``EXIT_TIMEOUT_S``.

    Returns the ids of those that had not ended before.
    """
    running = still_running(folder)
    for pid in running:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    for _ in range(int(EXIT_TIMEOUT_S / POLL_INTERVAL_S)):
        if not still_running(folder):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return running
