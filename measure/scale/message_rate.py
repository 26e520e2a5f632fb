"""Measures the messages that one forwarder process accepts and delivers.

The real program runs on sockets, at rising rates.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from measure.reporting import cancel_tasks
from measure.scale import message_load
from measure.scale.growth import grow, run_isolated
from measure.scale.journal_ready import fill_journal
from measure.scale.memory import TICKS_PER_S, processor_s
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import Role
from tests.support.loopback_peers import Node, Platform

RATES = (50, 100, 200, 400, 800, 1_600, 3_200)
DESTINATIONS = 8
REACHABLE_BESIDE_HELD = 30
"""Reachable destinations beside the one that is down.

The latter receives 3.2% of the load, as in the target.
"""
HELD = (100, 400, 1_600, 6_400, 25_600)
HELD_PER_S = 400
CLOSED_PORT = 1
"""A port without a listener."""
LATENCY_OBJECTIVE_US = 360_000_000
OUTAGE = {
    "fall_us": 2_000_000,
    "cold_from": 0.2,
    "warm_after_us": 2_000_000,
    "overload_factor": 1.5,
}
"""Settings that limit the calls to an endpoint that is down."""
SLOTS = 256
WARM_S, MEASURED_S = 2.0, 4.0


def relax_limits(node: Node) -> None:
    """Raise a forwarder's limits of slots, sockets, disk and time.

    None of them then bounds what it holds and does.
    """
    path = node.folder / "config.json"
    config: dict[str, Any] = json.loads(path.read_text())
    config["settings"]["family_info"]["slots"] = SLOTS
    config["limits"] |= {"sockets": 1024, "disk_mb": 1_000}
    config["settings"]["contract"] |= OUTAGE
    for service in config["settings"]["services"]:
        service |= {
            "aim_us": LATENCY_OBJECTIVE_US,
            "deadline_us": 10 * LATENCY_OBJECTIVE_US,
        }
    path.write_text(json.dumps(config))


async def measure_forwarder(
    per_s: int, held: int, destinations: int
) -> Mapping[str, float]:
    """Measure a forwarder under load at a rate, after `WARM_S`, for `MEASURED_S`.

    With `held`, that many messages from before its start are held for one more
    destination, which is down and receives its part of the load too.
    """
    context = multiprocessing.get_context("spawn")
    accepted, delivered = context.Value("q", 0), context.Value("q", 0)
    receiver, sender = context.Pipe()
    started = [
        message_load.start_process(
            message_load.serve_endpoints, sender, destinations, delivered
        )
    ]
    try:
        platform = Platform()
        await platform.start()
        for destination, port in enumerate(await asyncio.to_thread(receiver.recv)):
            platform.host(f"s{destination}", port, block=destination)
            platform.hosts[f"s{destination}"]["share"] = 1e6
        if held:
            platform.host("down", CLOSED_PORT, block=destinations)
        with tempfile.TemporaryDirectory() as name:
            node = Node(
                Path(name), platform, max_open=1_000_000, max_attempts=1_000_000
            )
            relax_limits(node)
            if held:
                fill_journal(
                    node.folder / "state", held, range(destinations, destinations + 1)
                )
            await node.start()
            try:
                load = (node.port, per_s, destinations + bool(held), accepted)
                started.append(
                    message_load.start_process(message_load.submit_messages, *load)
                )
                await asyncio.sleep(WARM_S)
                counts = accepted.value, delivered.value
                spent, began = processor_s(node.process.pid), time.monotonic()
                await asyncio.sleep(MEASURED_S)
                elapsed_s = time.monotonic() - began
                spent = processor_s(node.process.pid) - spent
                counts = accepted.value - counts[0], delivered.value - counts[1]
            finally:
                await node.end()
                await cancel_tasks()
    finally:
        for process in started:
            process.kill()
    return {
        "taken": counts[0] / elapsed_s,
        "delivered": counts[1] / elapsed_s,
        "message": spent / max(1, counts[1]) * 1e6,
        "core": spent / elapsed_s,
        "core_rate": counts[1] / max(spent, 1 / TICKS_PER_S),
    }


def run_forwarder(per_s: int, held: int, destinations: int) -> Mapping[str, float]:
    """Run `measure_forwarder`; called in a process of its own."""
    return asyncio.run(measure_forwarder(per_s, held, destinations))


def series(progress: Progress) -> Iterator[Series]:
    """Measure a forwarder against the rate offered."""
    growth = grow(
        RATES,
        lambda per_s: run_isolated(run_forwarder, per_s, 0, DESTINATIONS),
        progress,
        point_s=120.0,
    )
    for name, title, unit in (
        ("taken", "messages taken on a second", "message/s"),
        ("delivered", "messages delivered a second", "message/s"),
        ("message", "processor time a message", "us"),
        ("core", "cores kept busy", "core"),
        ("core_rate", "messages delivered a second of processor time", "message/s"),
    ):
        yield Series(
            f"forwarder: {title}",
            Role.MESSAGE_PATH,
            "message/s offered",
            unit,
            growth.points_of(name),
            growth.bound,
        )


def held_series(progress: Progress) -> Iterator[Series]:
    """Measure a forwarder against messages held for one destination."""
    growth = grow(
        HELD,
        lambda held: run_isolated(
            run_forwarder, HELD_PER_S, held, REACHABLE_BESIDE_HELD
        ),
        progress,
        point_s=240.0,
    )
    for name, title, unit in (
        ("delivered", "messages delivered a second", "message/s"),
        ("message", "processor time a message", "us"),
        ("core", "cores kept busy", "core"),
    ):
        yield Series(
            f"forwarder: {title}, {HELD_PER_S} offered, held for one destination",
            Role.MESSAGE_PATH,
            "message held",
            unit,
            growth.points_of(name),
            growth.bound,
        )


MEASUREMENTS = (
    Measurement(
        "message-rate", "the real forwarder on sockets at rising rates", series
    ),
    Measurement(
        "message-rate-held",
        "the same beside messages held for one destination",
        held_series,
    ),
)
