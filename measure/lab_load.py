"""How fast the lab's load side holds its schedule: the 99th percentile and the largest
lag of a send behind its planned time, at rising rates, with 3 and with 30 forwarders
(no faults). The load, proxies and stand-ins share the lab's one process, so a lag here
is the lab's own limit, not the fleet's.

    python measure/lab_load.py [REPEATS]
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from measure.reporting import format_row  # noqa: E402
from rainfall.lab.experiment import parse  # noqa: E402
from rainfall.lab.runner import run  # noqa: E402

FORWARDER_COUNTS = (3, 30)
RATES = (250, 500, 1000, 2000, 4000, 8000)
MAX_LAG_MS = 1.0
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
max_lag_ms = {hold}
classes = [{{ name = "status", share = 1, deadline_s = 5, effect = "repeatable" }}]
"""


def run_once(forwarders: int, rate: float) -> dict[str, float]:
    experiment = parse(
        EXPERIMENT.format(forwarders=forwarders, rate=rate, hold=MAX_LAG_MS)
    )
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(run(experiment, 1, Path(folder)))
    return {
        **result["lag_ms"],
        "lost": result["lost"],
        "delivered": result["total"]["delivered"],
        "messages": result["total"]["messages"],
    }


def main() -> None:
    repeats = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    for size in FORWARDER_COUNTS:
        held = 0.0
        for rate in RATES[3:] if repeats == 1 else RATES:
            runs = [run_once(size, rate) for _ in range(repeats)]
            print(
                format_row(
                    f"{size} forwarders, {rate:g}/s, lag p99 ms",
                    [r["p99"] for r in runs],
                )
            )
            print(
                format_row(
                    f"{size} forwarders, {rate:g}/s, lag max ms",
                    [r["max"] for r in runs],
                )
            )
            print(
                format_row(
                    f"{size} forwarders, {rate:g}/s, share delivered",
                    [r["delivered"] / r["messages"] for r in runs],
                )
            )
            if statistics.median(r["p99"] for r in runs) <= MAX_LAG_MS:
                held = rate
        print(
            f"{size} forwarders: the largest rate whose median p99 lag is within "
            f"{MAX_LAG_MS:g} ms: {held:g}/s"
        )


if __name__ == "__main__":
    main()
