"""Runs a measurement at rising sizes, up to the largest one or a limit.

The limits are the time that a size takes, and the machine's memory.
"""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any, TypeVar

from measure.scale.results import Point, Progress, memory_bytes

Result = TypeVar("Result")

MEMORY_SHARE = 0.5
"""Part of the machine's memory that one run is allowed to use, by estimate."""
POINT_S = 60.0
"""Seconds that all repeats at one size are allowed to take, by estimate."""


def sizes_by(first: int, factor: float, largest: int) -> list[int]:
    """Return sizes from `first` up by `factor`; the last one is `largest`."""
    sizes, size = [], float(first)
    while size < largest:
        sizes.append(round(size))
        size *= factor
    return [*sizes, largest]


@dataclass(slots=True)
class Growth:
    """The points of each measured value, and why no larger size was run."""

    points: dict[str, list[Point]] = field(default_factory=dict)
    bound: str = "largest size wanted"

    def points_of(self, name: str) -> tuple[Point, ...]:
        """Return the points of a value."""
        return tuple(self.points[name])


def expected_s(took: float, took_before: float, factor: float) -> float:
    """Estimate the seconds of the next size.

    Only the increase since the previous size is multiplied by the factor.
    """
    if not took_before:
        return took
    return took + max(0.0, took - took_before) * factor


def grow(
    sizes: Iterable[int],
    measure: Callable[[int], Mapping[str, float]],
    progress: Progress,
    repeats: int = 3,
    point_s: float = POINT_S,
    memory: Callable[[Mapping[str, float]], float] | None = None,
) -> Growth:
    """Measure each size `repeats` times, until a limit is expected to be exceeded.

    `measure` returns values by name; `memory` computes the bytes of a run from
    them, where they may come near the limit.
    """
    growth = Growth()
    before = 0
    took_s = 0.0
    took_before_s = 0.0
    used_bytes = 0.0
    for size in sizes:
        factor = size / before if before else 1.0
        if expected_s(took_s, took_before_s, factor) > point_s:
            growth.bound = f"time: size {size:,} is expected to take over {point_s:g} s"
            break
        if used_bytes * factor > MEMORY_SHARE * memory_bytes():
            growth.bound = (
                f"memory: size {size:,} is expected to take over half of the machine's"
            )
            break
        began_s = time.perf_counter()
        runs = [measure(size) for _ in range(repeats)]
        before = size
        took_before_s = took_s
        took_s = time.perf_counter() - began_s
        used_bytes = max(map(memory, runs)) if memory else 0.0
        for name in runs[0]:
            point = Point(size, tuple(run[name] for run in runs))
            growth.points.setdefault(name, []).append(point)
        summary = ", ".join(
            f"{name} {points[-1].median:.4g}" for name, points in growth.points.items()
        )
        progress(f"size {size:,}: {summary} ({took_s:.1f} s)")
    return growth


def run_isolated(function: Callable[..., Result], *arguments: Any) -> Result:
    """Call a module's function in a new process, whose memory holds nothing else."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=1, mp_context=context) as pool:
        return pool.submit(function, *arguments).result()
