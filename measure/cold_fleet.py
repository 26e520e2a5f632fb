"""Measures how close simulated fleets come to the limit of a destination that warms up.

    python -m measure.cold_fleet [SEEDS] [FORWARDERS...] [SCENES...]

Run from the root of the repository. Prints one line for each scene, number of forwarders
and N. N is the number of calls, in the time that the settings give, that a destination
allows when it comes back after an outage.
"""

from __future__ import annotations

import statistics
import sys
from collections.abc import Iterator, Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from typing import NamedTuple

from tests.support.simulated_fleet import SCENES, Scenario, Verdict, simulate

EARLY_CALL_COUNTS = (0.3, 1.0, 4.0, 30.0)
"""The values of N: calls that a returning destination allows."""
DEFAULT_SEEDS = 10
DEFAULT_FLEETS = (1, 2, 4, 30, 200)
PROCESSES = 2
US_PER_S = 1e6


class Row(NamedTuple):
    """One printed line and the runs that it summarises."""

    title: str
    verdicts: list[Future[Verdict]]


def scene_runs(
    forwarders: int, early_calls: float, scene: str, seeds: int
) -> Iterator[Scenario]:
    """The runs of one printed line, one per seed."""
    for seed in range(1, seeds + 1):
        yield SCENES[scene](forwarders, early_calls, seed)


def format_verdicts(verdicts: list[Verdict]) -> str:
    """Format one line of results.

    The line has the worst run's count and limit, the number of runs over the limit, the
    number of runs with `Verdict.pushed`, the largest ratio of the whole fleet's calls to
    their limit, the median time from the destination's return to the first call of a
    forwarder that had met the outage, and the mean number of deliveries.
    """
    worst = max(verdicts, key=lambda verdict: verdict.limit_ratio)
    runs_over_limit = sum(verdict.limit_ratio > 1 for verdict in verdicts)
    first_call_s = [
        verdict.first_call_us / US_PER_S
        for verdict in verdicts
        if verdict.first_call_us >= 0
    ]
    first_call = (
        f"{statistics.median(first_call_s):5.1f} s" if first_call_s else "  never"
    )
    pushed_runs = sum(verdict.pushed for verdict in verdicts)
    largest_fleet_part = max(verdict.fleet_ratio for verdict in verdicts)
    delivered = statistics.fmean(verdict.delivered for verdict in verdicts)
    return (
        f"{worst.count:6.1f} / {worst.limit:6.1f} = {worst.limit_ratio:4.2f}  over {runs_over_limit:3d} of "
        f"{len(verdicts)}  pushed {pushed_runs:3d}  fleet {largest_fleet_part:5.2f}  "
        f"first call {first_call}  delivered {delivered:7.1f}"
    )


def run_scenes(seeds: int, fleets: Sequence[int], scenes: Sequence[str]) -> None:
    """Run all scenes in parallel, and print each line in order once its runs are complete."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        rows: list[Row] = []
        for scene in scenes:
            for forwarders in fleets:
                for early_calls in EARLY_CALL_COUNTS:
                    title = (
                        f"{scene:14} {forwarders:3d} forwarders, N {early_calls:4.1f}:"
                    )
                    verdicts = [
                        pool.submit(simulate, play)
                        for play in scene_runs(forwarders, early_calls, scene, seeds)
                    ]
                    rows.append(Row(title, verdicts))
        for row in rows:
            finished = [verdict.result() for verdict in row.verdicts]
            print(row.title, format_verdicts(finished), flush=True)


def main() -> None:
    """Parse the command line, and run the scenes."""
    scenes = [argument for argument in sys.argv[1:] if argument in SCENES]
    numbers = [int(argument) for argument in sys.argv[1:] if argument.isdigit()]
    run_scenes(
        numbers[0] if numbers else DEFAULT_SEEDS,
        numbers[1:] or DEFAULT_FLEETS,
        scenes or list(SCENES),
    )


if __name__ == "__main__":
    main()
