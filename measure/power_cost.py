"""What durability 'power' costs beside 'process': syncs a message and the time to the
202, at several rates, the two levels in turn. The folder is where TMPDIR says: the disk
below it decides.

    python -m measure.power_cost [REPEATS]
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
import tempfile
import time
from pathlib import Path

from measure.reporting import cancel_tasks, format_row
from tests.support.loopback_peers import OK, Node, Peer, Platform, always

RATES, DURATION_S = (20, 100, 400), 2.0


async def run_once(level: str, rate: int) -> tuple[float, float, float]:
    """Median milliseconds to the 202, syncs a message and bytes a message."""
    platform = Platform()
    await platform.start()
    peer = await Peer(always(OK)).start()
    platform.host("s1", peer.port)
    platform.hosts["s1"]["share"] = 1e5  # no pace of ours in the way
    with tempfile.TemporaryDirectory() as name:
        node = Node(Path(name), platform, max_open=2000)
        path = Path(name) / "config.json"
        path.write_text(
            json.dumps({**json.loads(path.read_text()), "durability": level})
        )
        await node.start()
        clients = [await node.client() for _ in range(16)]
        free: asyncio.Queue[int] = asyncio.Queue()
        for n in range(len(clients)):
            free.put_nowait(n)
        before = (await node.figures())["journal"]
        times: list[float] = []

        async def one(number: int) -> None:
            n = await free.get()
            began = time.perf_counter()
            status, _ = await clients[n].hand_in(f"m{number}", "status")
            if status == 202:
                times.append((time.perf_counter() - began) * 1000)
            free.put_nowait(n)

        tasks = []
        for number in range(int(rate * DURATION_S)):
            tasks.append(asyncio.create_task(one(number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
        await node.shows(lambda v: v["open_requests"] == 0)
        after = (await node.figures())["journal"]
        for client in clients:
            client.writer.close()
        await node.end()
    many = max(1, len(times))
    await cancel_tasks()
    return (
        statistics.median(times),
        (after["syncs"] - before["syncs"]) / many,
        (after["bytes"] - before["bytes"]) / many,
    )


def main() -> None:
    repeats = min(20, int(sys.argv[1]) if len(sys.argv) > 1 else 3)
    for rate in RATES:
        found: dict[str, list[tuple[float, float, float]]] = {
            "process": [],
            "power": [],
        }
        for _ in range(repeats):
            for level, results in found.items():
                results.append(asyncio.run(run_once(level, rate)))
        for level, results in found.items():
            print(
                format_row(f"{rate}/s, {level}: ms to the 202", [r[0] for r in results])
            )
            print(
                format_row(
                    f"{rate}/s, {level}: syncs a message", [r[1] for r in results]
                )
            )
            print(
                format_row(
                    f"{rate}/s, {level}: bytes a message", [r[2] for r in results]
                )
            )


if __name__ == "__main__":
    main()
