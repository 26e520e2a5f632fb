"""What one forwarder process takes on and delivers: the real program on sockets, at rising rates."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from measure.figures import end_peers
from measure.scale import message_load
from measure.scale.growth import grow, isolated
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import Role
from tests.sockets import Node, Platform

RATES = (50, 100, 200, 400, 800, 1_600, 3_200)
DESTINATIONS = 8
SLOTS = 256
WARM_S, MEASURED_S = 2.0, 4.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_s(process: int) -> float:
    """User and system time of a process until now."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def roomy(node: Node) -> None:
    """Let neither slots nor sockets bound what the forwarder does."""
    path = node.folder / "config.json"
    config: dict[str, Any] = json.loads(path.read_text())
    config["settings"]["family_info"]["slots"] = SLOTS
    config["limits"] |= {"sockets": 1024, "disk_mb": 1_000}
    path.write_text(json.dumps(config))


async def forward(per_s: int) -> Mapping[str, float]:
    """Load at a rate; what the forwarder did in the measured stretch."""
    context = multiprocessing.get_context("spawn")
    taken, delivered = context.Value("q", 0), context.Value("q", 0)
    here, there = context.Pipe()
    started = [message_load.start(message_load.serve_endpoints, there, DESTINATIONS, delivered)]
    try:
        platform = Platform()
        await platform.start()
        for destination, port in enumerate(await asyncio.to_thread(here.recv)):
            platform.host(f"s{destination}", port, block=destination)
            platform.hosts[f"s{destination}"]["share"] = 1e6
        with tempfile.TemporaryDirectory() as name:
            node = Node(Path(name), platform, max_open=100_000)
            roomy(node)
            await node.start()
            try:
                load = (node.port, per_s, DESTINATIONS, taken)
                started.append(message_load.start(message_load.hand_in, *load))
                await asyncio.sleep(WARM_S)
                counts = taken.value, delivered.value
                spent, began = processor_s(node.process.pid), time.monotonic()
                await asyncio.sleep(MEASURED_S)
                took = time.monotonic() - began
                spent = processor_s(node.process.pid) - spent
                counts = taken.value - counts[0], delivered.value - counts[1]
            finally:
                await node.end()
                await end_peers()
    finally:
        for process in started:
            process.kill()
    return {
        "taken": counts[0] / took,
        "delivered": counts[1] / took,
        "message": spent / max(1, counts[1]) * 1e6,
        "core": spent / took,
        "core_rate": counts[1] / max(spent, 1 / TICKS_PER_S),
    }


def run_forward(per_s: int) -> Mapping[str, float]:
    return asyncio.run(forward(per_s))


def series(progress: Progress) -> Iterator[Series]:
    growth = grow(RATES, lambda per_s: isolated(run_forward, per_s), progress, point_s=120.0)
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
            growth.of(name),
            growth.bound,
        )


MEASUREMENTS = (Measurement("message-rate", "the real forwarder on sockets at rising rates", series),)
