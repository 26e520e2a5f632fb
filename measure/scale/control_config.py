"""A forwarder's configuration: its bytes, the time to read and examine it, the loop's
pause at a SIGHUP.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import tempfile
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

from measure.scale import control_probe as probe
from measure.scale import control_worlds as worlds
from measure.scale.growth import grow
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import DESTINATIONS, FORWARDERS, Role
from rainfall.net.config import load
from rainfall.net.fleet_config import MOST_BUDGETS, MOST_PEERS
from rainfall.net.reconfigure import examine

ENDPOINTS = (100, 1_000, 10_000, DESTINATIONS)
BUDGETS = (10, 100, 300, MOST_BUDGETS)
PEERS = (10, 100, 300, FORWARDERS, MOST_PEERS)
REPEATS = 3
UNITS = {
    "bytes": "bytes",
    "load_ms": "ms of processor time",
    "examine_ms": "ms of processor time",
    "apply_ms": "ms of processor time",
}


@contextlib.contextmanager
def environment(folder: Path, path: Path) -> Iterator[dict[str, str]]:
    """What names the file and the state folder, for this process, while it lasts."""
    names = {"LB_CONFIG": str(path), "LB_STATE": str(folder)}
    before = dict(os.environ)
    os.environ.update(names)
    try:
        yield names
    finally:
        os.environ.clear()
        os.environ.update(before)


def changed(told: Mapping[str, Any]) -> dict[str, Any]:
    """The same file with another deadline and, where it has budgets, another whole of
    each.
    """
    made = json.loads(json.dumps(told))
    made["settings"]["services"][0]["deadline_us"] += 1_000_000
    for budget in made.get("fleet", {}).get("budgets", []):
        budget["calls"] += 540
    return dict(made)


async def apply_ms(folder: Path, path: Path, told: Mapping[str, Any]) -> float:
    """One turn of the loop: a SIGHUP's way from the signal until the settings are in
    force.
    """
    engine = worlds.engine(folder, told)
    engine.recover()
    engine.round()
    if engine.fleet is not None:
        engine.fleet.write(engine.fleet.books.standing())
        engine.fleet.tell()
    path.write_text(json.dumps(changed(told)))
    ms = probe.processor_ms(engine.reload)
    assert engine.figures.accepted == 1 and not engine.figures.invalid, (
        "the file was not taken"
    )
    return ms


def file_once(told: Mapping[str, Any]) -> dict[str, float]:
    text = json.dumps(told).encode()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path = folder / "config.json"
        path.write_bytes(text)
        with environment(folder / "state", path) as names:
            old = load(names)
            other = json.dumps(changed(told)).encode()
            return {
                "bytes": len(text),
                "load_ms": probe.processor_ms_each(lambda: load(names)),
                "examine_ms": probe.processor_ms(lambda: examine(other, old, names)),
                "apply_ms": asyncio.run(apply_ms(folder / "state", path, told)),
            }


def run_sizes(
    name: str, unit: str, sizes: Iterable[int], made: Any, progress: Progress
) -> Iterable[Series]:
    growth = grow(sizes, lambda size: file_once(made(size)), progress, REPEATS)
    for key, value_unit in UNITS.items():
        yield Series(
            f"config_{name}_{key}",
            Role.CONFIGURATION,
            unit,
            value_unit,
            growth.of(key),
            growth.bound,
        )


def run_endpoints(progress: Progress) -> Iterable[Series]:
    yield from run_sizes(
        "endpoints", "endpoints in the file", ENDPOINTS, worlds.configuration, progress
    )


def run_budgets(progress: Progress) -> Iterable[Series]:
    yield from run_sizes(
        "budgets",
        "budgets in the file",
        BUDGETS,
        lambda size: worlds.configuration(100, worlds.fleet_part(budgets=size)),
        progress,
    )


def run_peers(progress: Progress) -> Iterable[Series]:
    yield from run_sizes(
        "peers",
        "peers in the file",
        PEERS,
        lambda size: worlds.configuration(100, worlds.fleet_part(peers=size)),
        progress,
    )


MEASUREMENTS = (
    Measurement(
        "control_config_endpoints",
        "a file against the endpoints it lists",
        run_endpoints,
    ),
    Measurement("control_config_budgets", "a file against its budgets", run_budgets),
    Measurement("control_config_peers", "a file against its peers", run_peers),
)
