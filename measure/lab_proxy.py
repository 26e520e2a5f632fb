"""What the lab's fault proxy adds to one call: calls straight to a stand-in endpoint
and through a proxy in `pass`, taken in turn in the same run, each on its own kept
connection.

    python measure/lab_proxy.py [REPEATS]
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from measure.reporting import cancel_tasks, format_row  # noqa: E402
from rainfall.lab.fault_proxy import ProxyLink  # noqa: E402
from rainfall.lab.load_generator import read_status  # noqa: E402
from rainfall.lab.stand_ins import Behaviour, Endpoint  # noqa: E402

CALLS = 400
REQUEST = (
    b"POST /hook HTTP/1.1\r\nX-Correlation-Id: m\r\nIdempotency-Key: k\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)


async def call_times_us(port: int) -> list[float]:
    """Microseconds of each of CALLS calls on one kept connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    took = []
    for _ in range(CALLS):
        start = time.perf_counter_ns()
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        took.append((time.perf_counter_ns() - start) / 1000)
    writer.close()
    return took


async def run_once() -> tuple[float, float, float, float]:
    """Median and 90th percentile in us, straight and through the proxy."""
    endpoint = await Endpoint(name="e0", behaviour=Behaviour(service_ms=0.0)).start()
    link = await ProxyLink("m", "127.0.0.1", endpoint.port, seed=1).start()
    straight, proxied = (
        await call_times_us(endpoint.port),
        await call_times_us(link.listen_port),
    )
    await link.stop()
    await endpoint.stop()
    await cancel_tasks()
    q = statistics.quantiles
    return (
        statistics.median(straight),
        q(straight, n=10)[-1],
        statistics.median(proxied),
        q(proxied, n=10)[-1],
    )


def main() -> None:
    repeats = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    runs = [asyncio.run(run_once()) for _ in range(repeats)]
    for n, name in enumerate(
        (
            "straight, median us",
            "straight, p90 us",
            "proxied, median us",
            "proxied, p90 us",
        )
    ):
        print(format_row(name, [r[n] for r in runs]))
    print(format_row("added by the proxy, median us", [r[2] - r[0] for r in runs]))


if __name__ == "__main__":
    main()
