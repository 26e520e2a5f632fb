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

from measure.scale import control_fixtures as worlds
from measure.scale import process_probe as probe
from measure.scale.growth import grow
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import DESTINATIONS, FORWARDERS, Role
from rainfall.budget.config import MAX_BUDGETS
from rainfall.forwarder.config.fleet_config import MAX_PEERS
from rainfall.forwarder.config.loading import load_config
from rainfall.forwarder.config.validation import validate_replacement

ENDPOINTS = (100, 1_000, 10_000, DESTINATIONS)
BUDGETS = (10, 100, 300, MAX_BUDGETS)
PEERS = (10, 100, 300, FORWARDERS, MAX_PEERS)
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
    engine.restore_state()
    engine.run_round()
    if engine.fleet is not None:
        engine.fleet.write_state(engine.fleet.quotas.records())
        engine.fleet.publish_quotas()
    path.write_text(json.dumps(changed(told)))
    ms = probe.processor_ms(engine.reload)
    assert (
        engine.metrics.configs_accepted == 1 and not engine.metrics.configs_rejected
    ), "the file was not taken"
    return ms


def measure_file(told: Mapping[str, Any]) -> dict[str, float]:
    text = json.dumps(told).encode()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path = folder / "config.json"
        path.write_bytes(text)
        with environment(folder / "state", path) as names:
            old = load_config(names)
            other = json.dumps(changed(told)).encode()
            return {
                "bytes": len(text),
                "load_ms": probe.processor_ms_each(lambda: load_config(names)),
                "examine_ms": probe.processor_ms(
                    lambda: validate_replacement(other, old, names)
                ),
                "apply_ms": asyncio.run(apply_ms(folder / "state", path, told)),
            }


def sizes_series(
    name: str, unit: str, sizes: Iterable[int], made: Any, progress: Progress
) -> Iterable[Series]:
    growth = grow(sizes, lambda size: measure_file(made(size)), progress, REPEATS)
    for key, value_unit in UNITS.items():
        yield Series(
            f"config_{name}_{key}",
            Role.CONFIGURATION,
            unit,
            value_unit,
            growth.points_of(key),
            growth.bound,
        )


def endpoints_series(progress: Progress) -> Iterable[Series]:
    yield from sizes_series(
        "endpoints", "endpoints in the file", ENDPOINTS, worlds.configuration, progress
    )


def budgets_series(progress: Progress) -> Iterable[Series]:
    yield from sizes_series(
        "budgets",
        "budgets in the file",
        BUDGETS,
        lambda size: worlds.configuration(100, worlds.fleet_section(budgets=size)),
        progress,
    )


def peers_series(progress: Progress) -> Iterable[Series]:
    yield from sizes_series(
        "peers",
        "peers in the file",
        PEERS,
        lambda size: worlds.configuration(100, worlds.fleet_section(peers=size)),
        progress,
    )


MEASUREMENTS = (
    Measurement(
        "control_config_endpoints",
        "a file against the endpoints it lists",
        endpoints_series,
    ),
    Measurement("control_config_budgets", "a file against its budgets", budgets_series),
    Measurement("control_config_peers", "a file against its peers", peers_series),
)
