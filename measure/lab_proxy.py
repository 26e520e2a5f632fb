"""Measures the latency that the lab's fault proxy adds to a call.

    python -m measure.lab_proxy [REPEATS]

Run from the root of the repository. Each run makes calls directly to a stand-in endpoint
and calls through a proxy in the state `pass`, each kind on its own connection.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from typing import NamedTuple

from measure.reporting import cancel_tasks, format_row, repeats_argument
from rainfall.lab.fault_proxy import ProxyLink
from rainfall.lab.load_generator import read_status
from rainfall.lab.stand_ins import Behaviour, Endpoint

CALLS = 400
"""Calls per run, direct and proxied each."""
DEFAULT_REPEATS = 5
NS_PER_US = 1_000
REQUEST = (
    b"POST /hook HTTP/1.1\r\nX-Correlation-Id: m\r\nIdempotency-Key: k\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)


async def call_times_us(port: int) -> list[float]:
    """Make `CALLS` calls on one connection, and return the latency of each."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    times_us = []
    for _ in range(CALLS):
        begin_ns = time.perf_counter_ns()
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        times_us.append((time.perf_counter_ns() - begin_ns) / NS_PER_US)
    writer.close()
    return times_us


class CallTimes(NamedTuple):
    """The median and the 90th percentile of call latencies."""

    median_us: float
    p90_us: float


class ProxyCost(NamedTuple):
    """The latencies of calls without and with the proxy."""

    direct: CallTimes
    proxied: CallTimes


def _call_times(times_us: list[float]) -> CallTimes:
    p90_us = statistics.quantiles(times_us, n=10)[-1]
    return CallTimes(statistics.median(times_us), p90_us)


async def run_once() -> ProxyCost:
    """Start an endpoint and a proxy, and make all calls of one run."""
    endpoint = await Endpoint(name="e0", behaviour=Behaviour(service_ms=0.0)).start()
    link = await ProxyLink("m", "127.0.0.1", endpoint.port, seed=1).start()
    direct_us = await call_times_us(endpoint.port)
    proxied_us = await call_times_us(link.listen_port)
    await link.stop()
    await endpoint.stop()
    await cancel_tasks()
    return ProxyCost(_call_times(direct_us), _call_times(proxied_us))


def main() -> None:
    """Run the repeats, and print the results."""
    repeats = repeats_argument(DEFAULT_REPEATS)
    runs = [asyncio.run(run_once()) for _ in range(repeats)]
    direct = [run.direct for run in runs]
    proxied = [run.proxied for run in runs]
    print(format_row("direct, median us", [times.median_us for times in direct]))
    print(format_row("direct, p90 us", [times.p90_us for times in direct]))
    print(format_row("proxied, median us", [times.median_us for times in proxied]))
    print(format_row("proxied, p90 us", [times.p90_us for times in proxied]))
    added_us = [run.proxied.median_us - run.direct.median_us for run in runs]
    print(format_row("added by the proxy, median us", added_us))


if __name__ == "__main__":
    main()
