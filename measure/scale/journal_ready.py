"""Time and processor time from the start of the real program until it is ready, against
live messages.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path

from measure.figures import end_peers
from measure.scale.growth import grow, isolated
from measure.scale.memory import processor_s
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import Role
from rainfall.net.store import Rules, Store, Taken
from rainfall.wirehost import settings
from tests.sockets import SETTINGS, Node, Platform

LIVE = (10, 100, 1_000, 10_000, 100_000)
DISK_MB = 10_000
PATIENCE_S = 120.0
LEFT_US = 300_000_000
DESTINATIONS = 100
MOST_ATTEMPTS = 1_000_000


def fill(folder: Path, live: int, destinations: range) -> None:
    """A journal with so many live messages, untried, for the destinations in turn."""
    store = Store(folder, DISK_MB * 1_000_000)
    made = settings(SETTINGS)
    store.settle(Rules(MOST_ATTEMPTS, made.classes))
    due = int(time.time() * 1e6) + LEFT_US
    for number in range(live):
        store.take(
            Taken(
                f"held{number}",
                "status",
                destinations[number % len(destinations)],
                due,
                None,
                "acme",
                b"x" * 200,
            )
        )
        if number % 1_000 == 0:
            store.flush()
    store.close()


async def start(live: int) -> Mapping[str, float]:
    platform = Platform()
    await platform.start()
    platform.host("s1", 1, block=1_000)
    with tempfile.TemporaryDirectory() as name:
        node = Node(Path(name), platform, disk_mb=DISK_MB, max_open=10 * live + 1_000)
        fill(Path(name) / "state", live, range(DESTINATIONS))
        began = time.perf_counter()
        await node.spawn()
        async with asyncio.timeout(PATIENCE_S):
            await node.ready.wait()
        ready, spent = time.perf_counter() - began, processor_s(node.process.pid)
        await node.end()
        await end_peers()
    return {"ready": ready, "processor": spent}


def run_start(live: int) -> Mapping[str, float]:
    return asyncio.run(start(live))


def series(progress: Progress) -> Iterator[Series]:
    growth = grow(LIVE, lambda live: isolated(run_start, live), progress)
    for name, title in (
        ("ready", "time until ready"),
        ("processor", "processor time until ready"),
    ):
        yield Series(
            f"forwarder: {title}",
            Role.JOURNAL,
            "live message",
            "s",
            growth.of(name),
            growth.bound,
        )


MEASUREMENTS = (
    Measurement("journal-ready", "the real program's start on live messages", series),
)
