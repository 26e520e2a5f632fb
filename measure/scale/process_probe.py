"""What an action costs this process: processor time, memory, and lines of the program.

Processor time is measured since the machine may have other work.
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
"""What is written to /proc/self/clear_refs to reset the peak of memory."""
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
    """Milliseconds of processor time of an action that is run once.

    Without `freeze` the garbage collector visits existing objects too.
    """
    with frozen_collector() if freeze else contextlib.nullcontext():
        began_ns = time.process_time_ns()
        action()
        return (time.process_time_ns() - began_ns) / NS_PER_MS


def processor_ms_each(
    action: Callable[[], Any], least_ms: float = MIN_MEASURED_MS
) -> float:
    """Milliseconds of processor time of an action that is repeated for `least_ms`."""
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
    """Resident memory of this process."""
    gc.collect()
    return _status_bytes("VmRSS")


def peak_bytes() -> int:
    """The peak of resident memory since the start, or since `reset_peak`."""
    return _status_bytes("VmHWM")


def reset_peak() -> None:
    """Let `peak_bytes` count from now on."""
    Path("/proc/self/clear_refs").write_text(RESET_PEAK)


def _status_bytes(name: str) -> int:
    for line in STATUS_PATH.read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * BYTES_PER_KIB
    raise OSError(f"{STATUS_PATH} does not tell {name}")


def count_lines(action: Callable[[], Any]) -> int:
    """Lines of the program that an action runs, each time it runs them.

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
