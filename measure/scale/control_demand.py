"""Budgets at a forwarder: its part of a beat and of the answer, its purses and demand
books, its file.
"""

from __future__ import annotations

import json
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from measure.scale import control_fixtures as worlds
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
NOW_US = 1_000 * worlds.SECOND_US
VALID_US = NOW_US + worlds.LEASE_US
TOKEN = worlds.token(0)
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
    """The answer to a beat, with a share of each budget."""
    told = {
        "token": TOKEN.to_wire(),
        "ttl_ms": 3_000,
        "sent": 1,
        "version": 1,
        "list": [1, 1],
        "shares": {str(n): worlds.share() for n in range(budgets)},
    }
    return msgspec.json.encode(told)


def heartbeat_part(books: FleetQuotas) -> bytes:
    """A beat's part on budgets: what is needed and what is held."""
    told = {"needs": books.needs({}, NOW_US), "holds": books.held_shares(TOKEN)}
    return json.dumps(told, separators=(",", ":")).encode()


def apply_answer(books: FleetQuotas, data: bytes) -> None:
    """The answer's way into the books."""
    shares = msgspec.json.decode(data, type=HeartbeatResponse).shares
    books.apply_shares(
        TOKEN,
        {int(d): msgspec.structs.asdict(s) for d, s in shares.items()},
        VALID_US,
        NOW_US,
    )


def books_with_shares(budgets: int) -> FleetQuotas:
    made = FleetQuotas((), worlds.DRIFT, {}, 0)
    apply_answer(made, encoded_answer(budgets))
    made.persisted = True
    return made


def announce_changes(books: FleetQuotas) -> list[Any]:
    """What the module is told after each answered beat, and the lines for what changed."""
    return [
        books.quota_event(d, NOW_US, 0) for d in sorted(books.accounts)
    ] + books.take_changed_metrics(NOW_US)


def resident_books_bytes(budgets: int) -> int:
    """In a process of its own: memory that the books of so many budgets keep."""
    data = encoded_answer(budgets)
    before = probe.resident_bytes()
    books = FleetQuotas((), worlds.DRIFT, {}, 0)
    apply_answer(books, data)
    announce_changes(books)
    return probe.resident_bytes() - before


def measure_books(budgets: int) -> dict[str, float]:
    """All budgets named in each beat and answer, one call wanted of each in the running
    span.
    """
    books, data = books_with_shares(budgets), encoded_answer(budgets)
    books.demand.clear()
    for destination in range(budgets):
        books.record_demand(destination, "status/acme", NOW_US)
    announce_changes(books)
    with tempfile.TemporaryDirectory() as folder:
        keep = StateFile(Path(folder), synced=False)
        file_bytes = len(keep.encode(TOKEN, books.records())[1])

        def kept() -> None:
            keep.last_written = b""  # as after a beat that changed any share
            keep.write(*keep.encode(TOKEN, books.records()))

        keep_ms = probe.processor_ms_each(kept)
    return {
        "beat_bytes": len(heartbeat_part(books)),
        "answer_bytes": len(data),
        "file_bytes": file_bytes,
        "purse_bytes": run_isolated(resident_books_bytes, budgets),
        "ask_ms": probe.processor_ms_each(lambda: heartbeat_part(books)),
        "answer_ms": probe.processor_ms_each(lambda: apply_answer(books, data)),
        "keep_ms": keep_ms,
        "tell_ms": probe.processor_ms_each(lambda: announce_changes(books)),
        "tick_ms": probe.processor_ms_each(
            lambda: (
                books.has_grown_demand({}, NOW_US),
                books.take_changed_metrics(NOW_US),
            )
        ),
    }


def measure_demand(destinations: int) -> dict[str, float]:
    """Demand of destinations without any budget here: counted and told all the same, up
    to a bound.
    """
    books = FleetQuotas((), worlds.DRIFT, {}, 0)

    def one_each() -> None:
        for destination in range(destinations):
            books.record_demand(destination, "status/acme", NOW_US)

    wanted_ms = probe.processor_ms_each(one_each)
    return {
        "wanted_ms": wanted_ms,
        "ask_ms": probe.processor_ms_each(lambda: heartbeat_part(books)),
        "beat_bytes": len(heartbeat_part(books)),
    }


def books_series(progress: Progress) -> Iterable[Series]:
    growth = grow(BUDGET_COUNTS, measure_books, progress, REPEATS)
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
        books_series,
    ),
    Measurement(
        "control_demand",
        "a forwarder's demand of destinations without a budget",
        demand_series,
    ),
)
