"""Stores the ids of all processes that a run started in the folder of the run.

If a run fails to stop its processes, they can be killed later by these ids. The start
time is stored too, so that a process that reuses an id is never killed.
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
"""How long to wait for processes to end after SIGKILL."""
POLL_INTERVAL_S = 0.01
ENDED_STATES = ("Z", "X")
"""States in /proc/PID/stat of a zombie and a dead process."""
STATE_FIELD = 0
START_TIME_FIELD = 19
"""Indexes of fields of /proc/PID/stat, counted after the name of the process."""


def start_ticks(pid: int) -> int:
    """Start time of a process in clock ticks since boot; 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0
    fields = text.rpartition(")")[2].split()
    if fields[STATE_FIELD] in ENDED_STATES:
        return 0
    return int(fields[START_TIME_FIELD])


def append(folder: Path, name: str, pid: int) -> None:
    """Append the id and start time of a process to ``PID_FILE`` in a run's folder."""
    entry = {"name": name, "pid": pid, "born": start_ticks(pid)}
    with (folder / PID_FILE).open("a") as file:
        file.write(json.dumps(entry) + "\n")


def still_running(folder: Path) -> list[int]:
    """The ids of a run's processes that are still running; invalid lines are skipped."""
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


async def kill_all(folder: Path) -> list[int]:
    """Kill a run's processes by SIGKILL and wait at most ``EXIT_TIMEOUT_S``.

    Returns the ids of the processes that were still running.
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
