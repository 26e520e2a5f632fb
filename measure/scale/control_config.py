"""Measures the cost of a forwarder's configuration file against its size.

Measured are the bytes of the file, the processor time to load it and to validate a
replacement, and the time for which a reload (SIGHUP) blocks the event loop.
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

from measure.scale import control_fixtures as fixtures
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
    """Set the variables of the file and the state folder in this process's environment.

    Yields the variables; the former environment is restored at the end.
    """
    variables = {"LB_CONFIG": str(path), "LB_STATE": str(folder)}
    before = dict(os.environ)
    os.environ.update(variables)
    try:
        yield variables
    finally:
        os.environ.clear()
        os.environ.update(before)


def changed_document(document: Mapping[str, Any]) -> dict[str, Any]:
    """Copy a configuration with a longer deadline and larger budgets.

    The first service's deadline grows by 1 s, each budget by 540 calls.
    """
    copy = json.loads(json.dumps(document))
    copy["settings"]["services"][0]["deadline_us"] += 1_000_000
    for budget in copy.get("fleet", {}).get("budgets", []):
        budget["calls"] += 540
    return dict(copy)


async def apply_ms(folder: Path, path: Path, document: Mapping[str, Any]) -> float:
    """Measure the processor time (ms) of one reload.

    The reload takes one turn of the event loop, from the signal until the settings
    are applied.
    """
    engine = fixtures.engine(folder, document)
    engine.restore_state()
    engine.run_round()
    if engine.fleet is not None:
        engine.fleet.write_state(engine.fleet.quotas.records())
        engine.fleet.publish_quotas()
    path.write_text(json.dumps(changed_document(document)))
    reload_ms = probe.processor_ms(engine.reload)
    assert (
        engine.metrics.configs_accepted == 1 and not engine.metrics.configs_rejected
    ), "reload: the configuration file was not accepted"
    return reload_ms


def measure_file(document: Mapping[str, Any]) -> dict[str, float]:
    """Measure one file: its bytes, and the time to load, validate and apply it."""
    text = json.dumps(document).encode()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path = folder / "config.json"
        path.write_bytes(text)
        with environment(folder / "state", path) as variables:
            config = load_config(variables)
            replacement = json.dumps(changed_document(document)).encode()
            return {
                "bytes": len(text),
                "load_ms": probe.processor_ms_each(lambda: load_config(variables)),
                "examine_ms": probe.processor_ms(
                    lambda: validate_replacement(replacement, config, variables)
                ),
                "apply_ms": asyncio.run(apply_ms(folder / "state", path, document)),
            }


def sizes_series(
    name: str, unit: str, sizes: Iterable[int], make_document: Any, progress: Progress
) -> Iterable[Series]:
    """Yield one series for each measured value, over files of the given sizes.

    `unit` names what the size counts; `make_document` builds the file of one size.
    """
    growth = grow(
        sizes, lambda size: measure_file(make_document(size)), progress, REPEATS
    )
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
    """Measure the file against the number of endpoints that it lists."""
    yield from sizes_series(
        "endpoints",
        "endpoints in the file",
        ENDPOINTS,
        fixtures.configuration,
        progress,
    )


def budgets_series(progress: Progress) -> Iterable[Series]:
    """Measure the file against the number of its budgets, with 100 endpoints."""
    yield from sizes_series(
        "budgets",
        "budgets in the file",
        BUDGETS,
        lambda size: fixtures.configuration(100, fixtures.fleet_section(budgets=size)),
        progress,
    )


def peers_series(progress: Progress) -> Iterable[Series]:
    """Measure the file against the number of its peers, with 100 endpoints."""
    yield from sizes_series(
        "peers",
        "peers in the file",
        PEERS,
        lambda size: fixtures.configuration(100, fixtures.fleet_section(peers=size)),
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
