"""Measures the time until a started forwarder is ready, against live messages."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path

from measure.reporting import cancel_tasks
from measure.scale.growth import grow, run_isolated
from measure.scale.memory import processor_s
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import Role
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    DeliveryRules,
    MessageStore,
)
from rainfall.wirehost import parse_settings
from tests.support.loopback_peers import SETTINGS, Node, Platform

LIVE = (10, 100, 1_000, 10_000, 100_000)
DISK_MB = 10_000
READY_TIMEOUT_S = 120.0
REMAINING_US = 300_000_000
DESTINATIONS = 100
MAX_ATTEMPTS = 1_000_000


def fill_journal(folder: Path, live: int, destinations: range) -> None:
    """Write a journal with `live` live messages, for the destinations in turn."""
    store = MessageStore(folder, DISK_MB * 1_000_000)
    settings = parse_settings(SETTINGS)
    store.use_rules(DeliveryRules(MAX_ATTEMPTS, settings.classes))
    deadline_us = int(time.time() * 1e6) + REMAINING_US
    for number in range(live):
        store.append_message(
            AcceptedMessage(
                f"held{number}",
                "status",
                destinations[number % len(destinations)],
                deadline_us,
                None,
                "acme",
                b"x" * 200,
            )
        )
        if number % 1_000 == 0:
            store.flush()
    store.close()


async def measure_start(live: int) -> Mapping[str, float]:
    """Start the program once; return wall and processor seconds until it is ready."""
    platform = Platform()
    await platform.start()
    platform.host("s1", 1, block=1_000)
    with tempfile.TemporaryDirectory() as name:
        node = Node(Path(name), platform, disk_mb=DISK_MB, max_open=10 * live + 1_000)
        fill_journal(Path(name) / "state", live, range(DESTINATIONS))
        began_s = time.perf_counter()
        await node.spawn()
        async with asyncio.timeout(READY_TIMEOUT_S):
            await node.ready.wait()
        ready_s = time.perf_counter() - began_s
        spent_s = processor_s(node.process.pid)
        await node.end()
        await cancel_tasks()
    return {"ready": ready_s, "processor": spent_s}


def run_start(live: int) -> Mapping[str, float]:
    """Run `measure_start`; called in a process of its own."""
    return asyncio.run(measure_start(live))


def series(progress: Progress) -> Iterator[Series]:
    """Measure the start against live messages in the journal."""
    growth = grow(LIVE, lambda live: run_isolated(run_start, live), progress)
    for name, title in (
        ("ready", "time until ready"),
        ("processor", "processor time until ready"),
    ):
        yield Series(
            f"forwarder: {title}",
            Role.JOURNAL,
            "live message",
            "s",
            growth.points_of(name),
            growth.bound,
        )


MEASUREMENTS = (
    Measurement("journal-ready", "the real program's start on live messages", series),
)
