"""Finds the highest rate at which the lab's load generator keeps its schedule.

    python -m measure.lab_load [REPEATS]

Run from the root of the repository. Prints the 99th percentile and the maximum of the lag
of sends behind their planned times, at rising rates, with 3 and with 30 forwarders and
without faults. Proxies and stand-ins run in the lab's process, so the lag shows the limit
of the lab, not of the fleet.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
from pathlib import Path
from typing import NamedTuple

from measure.reporting import format_row, repeats_argument
from rainfall.lab.experiment import parse
from rainfall.lab.runner import run

FORWARDER_COUNTS = (3, 30)
RATES = (250, 500, 1000, 2000, 4000, 8000)
"""Messages a second."""
SINGLE_RUN_RATES = RATES[3:]
"""The rates that are run when the command line sets one repeat."""
LAG_LIMIT_MS = 1.0
SEED = 1
DEFAULT_REPEATS = 3
EXPERIMENT = """
name = "rate"
duration_s = 3
settle_s = 5
[fleet]
forwarders = {forwarders}
destinations = [7, 8]
endpoints_per_destination = 2
zones = ["a"]
endpoint_rate = 100000
slots = 64
[load]
rate_per_s = {rate}
max_lag_ms = {lag_ms}
classes = [{{ name = "status", share = 1, deadline_s = 5, effect = "repeatable" }}]
"""


class LoadResult(NamedTuple):
    """The lag of the load in one run, and the fraction of messages delivered."""

    p99_lag_ms: float
    max_lag_ms: float
    delivered_fraction: float


def run_once(forwarders: int, rate: float) -> LoadResult:
    """Run the experiment once at a rate in messages per second."""
    experiment = parse(
        EXPERIMENT.format(forwarders=forwarders, rate=rate, lag_ms=LAG_LIMIT_MS)
    )
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(run(experiment, SEED, Path(folder)))
    total = result["total"]
    return LoadResult(
        result["lag_ms"]["p99"],
        result["lag_ms"]["max"],
        total["delivered"] / total["messages"],
    )


def main() -> None:
    """Run all sizes and rates, and print the results."""
    repeats = repeats_argument(DEFAULT_REPEATS)
    for forwarders in FORWARDER_COUNTS:
        highest_rate = 0.0
        for rate in SINGLE_RUN_RATES if repeats == 1 else RATES:
            runs = [run_once(forwarders, rate) for _ in range(repeats)]
            p99_lags_ms = [result.p99_lag_ms for result in runs]
            title = f"{forwarders} forwarders, {rate:g}/s"
            print(format_row(f"{title}, lag p99 ms", p99_lags_ms))
            print(
                format_row(
                    f"{title}, lag max ms", [result.max_lag_ms for result in runs]
                )
            )
            print(
                format_row(
                    f"{title}, fraction delivered",
                    [result.delivered_fraction for result in runs],
                )
            )
            if statistics.median(p99_lags_ms) <= LAG_LIMIT_MS:
                highest_rate = rate
        print(
            f"{forwarders} forwarders: highest rate with a median p99 lag of at most "
            f"{LAG_LIMIT_MS:g} ms: {highest_rate:g}/s"
        )


if __name__ == "__main__":
    main()
