"""What one act costs a process: processor time (the machine may be shared), memory,
steps of the program.
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
"""Short acts are repeated until they have taken so much processor time together."""
MAX_ROUNDS = 1 << 20
STATUS_PATH = Path("/proc/self/status")
RESET_PEAK = "5"
"""What /proc/self/clear_refs takes to count the peak of memory anew."""
PROGRAM_PATH_PART = f"{Path('rainfall')}/"


@contextlib.contextmanager
def frozen_collector() -> Iterator[None]:
    """What was made before is left out of the collector's rounds, as the program does
    at its start.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def processor_ms(action: Callable[[], Any], freeze: bool = True) -> float:
    """Milliseconds of processor time of one act, run once.

    Without `freeze` the collector goes through what was made before as well.
    """
    with frozen_collector() if freeze else contextlib.nullcontext():
        began = time.process_time_ns()
        action()
        return (time.process_time_ns() - began) / 1e6


def processor_ms_each(
    action: Callable[[], Any], least_ms: float = MIN_MEASURED_MS
) -> float:
    """Milliseconds of processor time of one act, run as often as takes `least_ms`
    together.
    """
    rounds = 1
    while True:
        with frozen_collector():
            began = time.process_time_ns()
            for _ in range(rounds):
                action()
            took_ms = (time.process_time_ns() - began) / 1e6
        if took_ms >= least_ms or rounds >= MAX_ROUNDS:
            return took_ms / rounds
        rounds *= 2 if took_ms < least_ms / 16 else 1 + int(least_ms / took_ms)


def resident_bytes() -> int:
    """Memory of this process in the machine, now."""
    gc.collect()
    return _status_bytes("VmRSS")


def peak_bytes() -> int:
    """The most that it was since the start, or since `reset_peak`."""
    return _status_bytes("VmHWM")


def reset_peak() -> None:
    Path("/proc/self/clear_refs").write_text(RESET_PEAK)


def _status_bytes(name: str) -> int:
    for line in STATUS_PATH.read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * 1024
    raise OSError(f"{STATUS_PATH} does not tell {name}")


def count_lines(action: Callable[[], Any]) -> int:
    """Lines of the program that one act runs, one loop's turn counting each time: the
    same on any machine.
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
