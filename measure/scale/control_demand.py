"""Measures the cost of budgets at a forwarder.

Measured are the part of a heartbeat and of its answer that concerns budgets, the quotas
and the demand that a forwarder keeps in memory, and its state file.
"""

from __future__ import annotations

import json
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from measure.scale import control_fixtures as fixtures
from measure.scale import process_probe as probe
from measure.scale.growth import grow, run_isolated
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import DESTINATIONS, Role
from rainfall.budget.config import MAX_BUDGETS
from rainfall.forwarder.fleet.heartbeat_messages import HeartbeatResponse
from rainfall.forwarder.fleet.quotas import FleetQuotas
from rainfall.forwarder.fleet.state_file import StateFile

BUDGET_COUNTS = (10, 100, 1_000, 10_000, DESTINATIONS)
DESTINATION_COUNTS = (10, 100, 300, MAX_BUDGETS)
REPEATS = 3
NOW_US = 1_000 * fixtures.SECOND_US
VALID_US = NOW_US + fixtures.LEASE_US
TOKEN = fixtures.token(0)
UNITS = {
    "beat_bytes": "bytes",
    "answer_bytes": "bytes",
    "file_bytes": "bytes",
    "purse_bytes": "bytes",
    "ask_ms": "ms of processor time",
    "answer_ms": "ms of processor time",
    "keep_ms": "ms of processor time",
    "tell_ms": "ms of processor time",
    "tick_ms": "ms of processor time",
}


def encoded_answer(budgets: int) -> bytes:
    """Encode the answer to a heartbeat, with a share of each of `budgets` budgets."""
    answer = {
        "token": TOKEN.to_wire(),
        "ttl_ms": 3_000,
        "sent": 1,
        "version": 1,
        "list": [1, 1],
        "shares": {str(n): fixtures.share() for n in range(budgets)},
    }
    return msgspec.json.encode(answer)


def heartbeat_part(quotas: FleetQuotas) -> bytes:
    """Encode a heartbeat's part on budgets: the demand and the shares held."""
    fields = {"needs": quotas.needs({}, NOW_US), "holds": quotas.held_shares(TOKEN)}
    return json.dumps(fields, separators=(",", ":")).encode()


def apply_answer(quotas: FleetQuotas, data: bytes) -> None:
    """Decode an answer and apply its shares to the quotas."""
    shares = msgspec.json.decode(data, type=HeartbeatResponse).shares
    quotas.apply_shares(
        TOKEN,
        {
            int(destination): msgspec.structs.asdict(share)
            for destination, share in shares.items()
        },
        VALID_US,
        NOW_US,
    )


def quotas_with_shares(budgets: int) -> FleetQuotas:
    """Build quotas that hold a share of each of `budgets` budgets."""
    new_quotas = FleetQuotas((), fixtures.DRIFT, {}, 0)
    apply_answer(new_quotas, encoded_answer(budgets))
    new_quotas.persisted = True
    return new_quotas


def announce_changes(quotas: FleetQuotas) -> list[Any]:
    """Collect quota events and changed metrics, as after each answered heartbeat.

    The dispatcher receives one event for each budget.
    """
    return [
        quotas.quota_event(destination, NOW_US, 0)
        for destination in sorted(quotas.accounts)
    ] + quotas.take_changed_metrics(NOW_US)


def resident_quotas_bytes(budgets: int) -> int:
    """Measure the memory that the quotas of `budgets` budgets occupy.

    Runs in a process of its own.
    """
    data = encoded_answer(budgets)
    before = probe.resident_bytes()
    quotas = FleetQuotas((), fixtures.DRIFT, {}, 0)
    apply_answer(quotas, data)
    announce_changes(quotas)
    return probe.resident_bytes() - before


def measure_quotas(budgets: int) -> dict[str, float]:
    """Measure heartbeats and answers that name all `budgets` budgets.

    In the current span one call of each budget is requested.
    """
    quotas, data = quotas_with_shares(budgets), encoded_answer(budgets)
    quotas.demand.clear()
    for destination in range(budgets):
        quotas.record_demand(destination, "status/acme", NOW_US)
    announce_changes(quotas)
    with tempfile.TemporaryDirectory() as folder:
        state_file = StateFile(Path(folder), synced=False)
        file_bytes = len(state_file.encode(TOKEN, quotas.records())[1])

        def write_state() -> None:
            state_file.last_written = b""  # forces a write, as after a changed share
            state_file.write(*state_file.encode(TOKEN, quotas.records()))

        keep_ms = probe.processor_ms_each(write_state)
    return {
        "beat_bytes": len(heartbeat_part(quotas)),
        "answer_bytes": len(data),
        "file_bytes": file_bytes,
        "purse_bytes": run_isolated(resident_quotas_bytes, budgets),
        "ask_ms": probe.processor_ms_each(lambda: heartbeat_part(quotas)),
        "answer_ms": probe.processor_ms_each(lambda: apply_answer(quotas, data)),
        "keep_ms": keep_ms,
        "tell_ms": probe.processor_ms_each(lambda: announce_changes(quotas)),
        "tick_ms": probe.processor_ms_each(
            lambda: (
                quotas.has_grown_demand({}, NOW_US),
                quotas.take_changed_metrics(NOW_US),
            )
        ),
    }


def measure_demand(destinations: int) -> dict[str, float]:
    """Measure the demand for destinations without a budget at this forwarder.

    Such demand is counted and reported like any other, up to a maximum of
    destinations.
    """
    quotas = FleetQuotas((), fixtures.DRIFT, {}, 0)

    def record_each() -> None:
        for destination in range(destinations):
            quotas.record_demand(destination, "status/acme", NOW_US)

    wanted_ms = probe.processor_ms_each(record_each)
    return {
        "wanted_ms": wanted_ms,
        "ask_ms": probe.processor_ms_each(lambda: heartbeat_part(quotas)),
        "beat_bytes": len(heartbeat_part(quotas)),
    }


def quotas_series(progress: Progress) -> Iterable[Series]:
    """Measure quotas against the number of budgets."""
    growth = grow(BUDGET_COUNTS, measure_quotas, progress, REPEATS)
    for key, unit in UNITS.items():
        yield Series(
            f"books_{key}",
            Role.CONTROL_PART,
            "budgets",
            unit,
            growth.points_of(key),
            growth.bound,
        )


def demand_series(progress: Progress) -> Iterable[Series]:
    """Measure demand against the number of destinations without a budget."""
    growth = grow(DESTINATION_COUNTS, measure_demand, progress, REPEATS)
    for key, unit in (
        ("wanted_ms", UNITS["ask_ms"]),
        ("ask_ms", UNITS["ask_ms"]),
        ("beat_bytes", "bytes"),
    ):
        yield Series(
            f"demand_{key}",
            Role.CONTROL_PART,
            "destinations in use",
            unit,
            growth.points_of(key),
            "the books count no more destinations",
        )


MEASUREMENTS = (
    Measurement(
        "control_books",
        "a forwarder's budgets, all of them named in each beat",
        quotas_series,
    ),
    Measurement(
        "control_demand",
        "a forwarder's demand of destinations without a budget",
        demand_series,
    ),
)
