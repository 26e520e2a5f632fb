"""How soon service returns: the real program is started on folders with so many live
messages, and with so much history behind few. Time to ready, to the first delivery of a
fresh message to another destination, and what the journal told of itself. On a folder
that is full the fresh message is handed in until it is taken.

    python -m measure.recovery_time [REPEATS]
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

from measure.reporting import cancel_tasks, format_row
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    DeliveryRules,
    MessageStore,
)
from rainfall.wirehost import parse_settings
from tests.support.loopback_peers import OK, SETTINGS, Node, Peer, Platform, always

FULL_FOLDER_MESSAGES = 100_000  # more than the disk limit holds


def fill_folder(folder: Path, live: int, history: int, overdue: bool) -> int:
    store = MessageStore(folder, 3_000_000)
    made = parse_settings(SETTINGS)
    store.use_rules(DeliveryRules(made.max_attempts, made.classes))
    for n in range(history):
        store.append_message(
            AcceptedMessage(f"past{n}", "status", 7, 10**16, None, "acme", b"x" * 200)
        )
        store.append_finished(f"past{n}")
        store.flush()
    held = 0
    while held < live and store.has_capacity(200):
        due = 1 if overdue else int(time.time() * 1e6) + 50_000_000
        store.append_message(
            AcceptedMessage(f"m{held}", "status", 7, due, None, "acme", b"x" * 200)
        )
        held += 1
        if held % 100 == 0:
            store.flush()
    store.close()
    return held


async def run_once(
    live: int, history: int, overdue: bool
) -> tuple[float, float, float, int]:
    platform = Platform()
    await platform.start()
    peer = await Peer(always(OK)).start()
    platform.host("s1", peer.port)
    platform.host("s2", peer.port, block=8)
    platform.hosts["s1"]["share"] = 1e5  # no pace of ours in the way
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "state").mkdir()
        held = fill_folder(folder / "state", live, history, overdue)
        node = Node(folder, platform, max_open=20_000)
        began = time.perf_counter()
        await node.spawn()
        await node.until_ready()
        ready = time.perf_counter() - began
        client = await node.client()
        for _ in range(1000):
            if (await client.hand_in("fresh", dest=8))[0] == 202:
                break
            await asyncio.sleep(0.01)
        await peer.until(
            lambda: any(r.headers["x-correlation-id"] == "fresh" for r in peer.requests)
        )
        first = time.perf_counter() - began
        took = (await node.figures())["journal"]["recovered"]["took_ms"]
        client.writer.close()
        await node.end()
    await cancel_tasks()
    return ready * 1000, first * 1000, took, held


def main() -> None:
    repeats = min(20, int(sys.argv[1]) if len(sys.argv) > 1 else 5)
    cases = [
        (10, 0, False),
        (1000, 0, False),
        (FULL_FOLDER_MESSAGES, 0, False),
        (FULL_FOLDER_MESSAGES, 0, True),
        (10, 1000, False),
        (10, 20_000, False),
    ]
    for live, history, overdue in cases:
        found = [asyncio.run(run_once(live, history, overdue)) for _ in range(repeats)]
        what = f"{found[0][3]} live{', all overdue' if overdue else ''}, {history} past"
        print(format_row(f"{what}: ready, ms", [x[0] for x in found]))
        print(format_row(f"{what}: first fresh delivery, ms", [x[1] for x in found]))
        print(format_row(f"{what}: reading the journal, ms", [x[2] for x in found]))


if __name__ == "__main__":
    main()
