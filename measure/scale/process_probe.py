"""Measures the cost of an action in this process.

Measured are processor time, memory and executed lines of the program. Processor time is
used because the machine may have other work.
"""

from __future__ import annotations

import contextlib
import gc
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from types import FrameType
from typing import Any

MIN_MEASURED_MS = 20.0
"""Short actions are repeated until they have taken this processor time together."""
MAX_ROUNDS = 1 << 20
NS_PER_MS = 1e6
BYTES_PER_KIB = 1024
STATUS_PATH = Path("/proc/self/status")
RESET_PEAK = "5"
"""The value that resets the peak of memory when written to /proc/self/clear_refs."""
PROGRAM_PATH_PART = f"{Path('rainfall')}/"


@contextlib.contextmanager
def frozen_collector() -> Iterator[None]:
    """Keep the garbage collector from visiting existing objects.

    The program does the same at its start.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def processor_ms(action: Callable[[], Any], freeze: bool = True) -> float:
    """Return the processor time (ms) of an action that is run once.

    Without `freeze` the garbage collector visits existing objects too.
    """
    with frozen_collector() if freeze else contextlib.nullcontext():
        began_ns = time.process_time_ns()
        action()
        return (time.process_time_ns() - began_ns) / NS_PER_MS


def processor_ms_each(
    action: Callable[[], Any], least_ms: float = MIN_MEASURED_MS
) -> float:
    """Return the processor time (ms) of one run, repeated for at least `least_ms`."""
    rounds = 1
    while True:
        with frozen_collector():
            began_ns = time.process_time_ns()
            for _ in range(rounds):
                action()
            took_ms = (time.process_time_ns() - began_ns) / NS_PER_MS
        if took_ms >= least_ms or rounds >= MAX_ROUNDS:
            return took_ms / rounds
        rounds *= 2 if took_ms < least_ms / 16 else 1 + int(least_ms / took_ms)


def resident_bytes() -> int:
    """Return this process's resident memory, after a garbage collection."""
    gc.collect()
    return _status_bytes("VmRSS")


def peak_bytes() -> int:
    """Return the peak of resident memory since the start or the last `reset_peak`."""
    return _status_bytes("VmHWM")


def reset_peak() -> None:
    """Reset the peak that `peak_bytes` returns."""
    Path("/proc/self/clear_refs").write_text(RESET_PEAK)


def _status_bytes(name: str) -> int:
    for line in STATUS_PATH.read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * BYTES_PER_KIB
    raise OSError(f"{STATUS_PATH} has no field {name}")


def count_lines(action: Callable[[], Any]) -> int:
    """Count the lines of the program that an action executes, repetitions included.

    The count is the same on every machine.
    """
    count = 0

    def on_line(_: FrameType, event: str, __: Any) -> Any:
        nonlocal count
        count += event == "line"
        return on_line

    def on_call(frame: FrameType, _: str, __: Any) -> Any:
        return on_line if PROGRAM_PATH_PART in frame.f_code.co_filename else None

    before = sys.gettrace()
    sys.settrace(on_call)
    try:
        action()
    finally:
        sys.settrace(before)
    return count
