"""Runs a measurement at sizes that go up by factors until the largest wanted or a bound
is met, each in a process of its own where memory is measured.
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
"""Of the machine's memory that one run may be expected to take."""
POINT_S = 60.0
"""Seconds that all repeats at one size may be expected to take."""


def sizes_by(first: int, factor: float, most: int) -> list[int]:
    """From `first` up by `factor`; the last is `most`."""
    sizes, size = [], float(first)
    while size < most:
        sizes.append(round(size))
        size *= factor
    return [*sizes, most]


@dataclass(slots=True)
class Growth:
    """Points by the name of what was measured, and why no larger size was run."""

    points: dict[str, list[Point]] = field(default_factory=dict)
    bound: str = "largest size wanted"

    def points_of(self, name: str) -> tuple[Point, ...]:
        return tuple(self.points[name])


def expected_s(took: float, took_before: float, factor: float) -> float:
    """How long the next size may take: what each size takes alike is not multiplied."""
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
    """Measure each size `repeats` times.

    `once` tells values by name; `memory` tells from these how many bytes the run took,
    where that can come near the bound.
    """
    growth = Growth()
    before, took_s, took_before_s, used_bytes = 0, 0.0, 0.0, 0.0
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
        began = time.perf_counter()
        runs = [measure(size) for _ in range(repeats)]
        before, took_before_s, took_s = size, took_s, time.perf_counter() - began
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
    """Call a module's function in a fresh process, so that nothing before it counts in
    its memory.
    """
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=1, mp_context=context) as pool:
        return pool.submit(function, *arguments).result()
