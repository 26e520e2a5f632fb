"""Measures the cost of the durability `power`, compared with `process`.

    python -m measure.power_cost [REPEATS]

Run from the root of the repository. Prints the time until the 202 response and the syncs
and journal bytes per message, at several rates, for both durabilities alternately. The
state folder is in TMPDIR; the result depends on the disk that holds it.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import tempfile
import time
from http import HTTPStatus
from pathlib import Path
from typing import NamedTuple

from measure.reporting import cancel_tasks, format_row, repeats_argument
from tests.support.loopback_peers import OK, Node, Peer, Platform, answer_in_turn

RATES = (20, 100, 400)
"""Messages a second."""
DURATION_S = 2.0
CLIENTS = 16
OPEN_MESSAGES = 2000
"""Limit of unfinished messages in the forwarder."""
UNPACED_SHARE = 1e5
"""A share of the endpoint so large that pacing does not affect the result."""
DEFAULT_REPEATS = 3
REPEAT_LIMIT = 20
MS_PER_S = 1000


class MessageCost(NamedTuple):
    """The cost of one message."""

    accept_ms: float
    """Median time until the 202 response."""
    syncs: float
    journal_bytes: float


async def run_once(durability: str, rate: int) -> MessageCost:
    """Send `rate` messages per second for `DURATION_S`, and return the cost of one."""
    platform = Platform()
    await platform.start()
    peer = await Peer(answer_in_turn(OK)).start()
    platform.host("s1", peer.port)
    platform.hosts["s1"]["share"] = UNPACED_SHARE
    with tempfile.TemporaryDirectory() as name:
        node = Node(Path(name), platform, max_open=OPEN_MESSAGES)
        path = Path(name) / "config.json"
        path.write_text(
            json.dumps({**json.loads(path.read_text()), "durability": durability})
        )
        await node.start()
        clients = [await node.client() for _ in range(CLIENTS)]
        free_clients: asyncio.Queue[int] = asyncio.Queue()
        for index in range(len(clients)):
            free_clients.put_nowait(index)
        before = (await node.figures())["journal"]
        accept_ms: list[float] = []

        async def send(number: int) -> None:
            index = await free_clients.get()
            began_s = time.perf_counter()
            status, _ = await clients[index].hand_in(f"m{number}", "status")
            if status == HTTPStatus.ACCEPTED:
                accept_ms.append((time.perf_counter() - began_s) * MS_PER_S)
            free_clients.put_nowait(index)

        tasks = []
        for number in range(int(rate * DURATION_S)):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
        await node.wait_for_metrics(lambda variables: variables["open_requests"] == 0)
        after = (await node.figures())["journal"]
        for client in clients:
            client.writer.close()
        await node.end()
    accepted = max(1, len(accept_ms))
    await cancel_tasks()
    return MessageCost(
        statistics.median(accept_ms),
        (after["syncs"] - before["syncs"]) / accepted,
        (after["bytes"] - before["bytes"]) / accepted,
    )


def main() -> None:
    """Run all rates and durabilities, and print the results."""
    repeats = repeats_argument(DEFAULT_REPEATS, REPEAT_LIMIT)
    for rate in RATES:
        costs: dict[str, list[MessageCost]] = {"process": [], "power": []}
        for _ in range(repeats):
            for durability, runs in costs.items():
                runs.append(asyncio.run(run_once(durability, rate)))
        for durability, runs in costs.items():
            title = f"{rate}/s, {durability}"
            print(
                format_row(
                    f"{title}: time to the 202, ms", [run.accept_ms for run in runs]
                )
            )
            print(
                format_row(f"{title}: syncs per message", [run.syncs for run in runs])
            )
            print(
                format_row(
                    f"{title}: bytes per message", [run.journal_bytes for run in runs]
                )
            )


if __name__ == "__main__":
    main()
