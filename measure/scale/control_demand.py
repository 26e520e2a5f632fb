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

from measure.scale import control_probe as probe
from measure.scale import control_worlds as worlds
from measure.scale.growth import grow, isolated
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import DESTINATIONS, Role
from rainfall.budget.config import MOST_BUDGETS
from rainfall.net.fleet_beat import Answer
from rainfall.net.fleet_books import Books
from rainfall.net.fleet_file import Keep

SIZES = (10, 100, 1_000, 10_000, DESTINATIONS)
WANTED = (10, 100, 300, MOST_BUDGETS)
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


def answer(budgets: int) -> bytes:
    """The answer to a beat, with a share of each budget."""
    told = {
        "token": TOKEN.told(),
        "ttl_ms": 3_000,
        "sent": 1,
        "version": 1,
        "list": [1, 1],
        "shares": {str(n): worlds.share() for n in range(budgets)},
    }
    return msgspec.json.encode(told)


def beat_part(books: Books) -> bytes:
    """A beat's part on budgets: what is needed and what is held."""
    told = {"needs": books.needs({}, NOW_US), "holds": books.holds(TOKEN)}
    return json.dumps(told, separators=(",", ":")).encode()


def hear(books: Books, data: bytes) -> None:
    """The answer's way into the books."""
    shares = msgspec.json.decode(data, type=Answer).shares
    books.told(
        TOKEN,
        {int(d): msgspec.structs.asdict(s) for d, s in shares.items()},
        VALID_US,
        NOW_US,
    )


def told_books(budgets: int) -> Books:
    made = Books((), worlds.DRIFT, {}, 0)
    hear(made, answer(budgets))
    made.kept = True
    return made


def tell(books: Books) -> list[Any]:
    """What the module is told after each answered beat, and the lines for what
    changed.
    """
    return [books.event(d, NOW_US, 0) for d in sorted(books.accounts)] + books.changes(
        NOW_US
    )


def purse_bytes(budgets: int) -> int:
    """In a process of its own: memory that the books of so many budgets keep."""
    data = answer(budgets)
    before = probe.resident_bytes()
    books = Books((), worlds.DRIFT, {}, 0)
    hear(books, data)
    tell(books)
    return probe.resident_bytes() - before


def books_once(budgets: int) -> dict[str, float]:
    """All budgets named in each beat and answer, one call wanted of each in the running
    span.
    """
    books, data = told_books(budgets), answer(budgets)
    books.wants.clear()
    for destination in range(budgets):
        books.wanted(destination, "status/acme", NOW_US)
    tell(books)
    with tempfile.TemporaryDirectory() as folder:
        keep = Keep(Path(folder), synced=False)
        file_bytes = len(keep.made(TOKEN, books.standing())[1])

        def kept() -> None:
            keep.written = b""  # as after a beat that changed any share
            keep.write(*keep.made(TOKEN, books.standing()))

        keep_ms = probe.processor_ms_each(kept)
    return {
        "beat_bytes": len(beat_part(books)),
        "answer_bytes": len(data),
        "file_bytes": file_bytes,
        "purse_bytes": isolated(purse_bytes, budgets),
        "ask_ms": probe.processor_ms_each(lambda: beat_part(books)),
        "answer_ms": probe.processor_ms_each(lambda: hear(books, data)),
        "keep_ms": keep_ms,
        "tell_ms": probe.processor_ms_each(lambda: tell(books)),
        "tick_ms": probe.processor_ms_each(
            lambda: (books.grown({}, NOW_US), books.changes(NOW_US))
        ),
    }


def demand_once(destinations: int) -> dict[str, float]:
    """Demand of destinations without any budget here: counted and told all the same, up
    to a bound.
    """
    books = Books((), worlds.DRIFT, {}, 0)

    def one_each() -> None:
        for destination in range(destinations):
            books.wanted(destination, "status/acme", NOW_US)

    wanted_ms = probe.processor_ms_each(one_each)
    return {
        "wanted_ms": wanted_ms,
        "ask_ms": probe.processor_ms_each(lambda: beat_part(books)),
        "beat_bytes": len(beat_part(books)),
    }


def run_books(progress: Progress) -> Iterable[Series]:
    growth = grow(SIZES, books_once, progress, REPEATS)
    for key, unit in UNITS.items():
        yield Series(
            f"books_{key}",
            Role.CONTROL_PART,
            "budgets",
            unit,
            growth.of(key),
            growth.bound,
        )


def run_demand(progress: Progress) -> Iterable[Series]:
    growth = grow(WANTED, demand_once, progress, REPEATS)
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
            growth.of(key),
            "the books count no more destinations",
        )


MEASUREMENTS = (
    Measurement(
        "control_books",
        "a forwarder's budgets, all of them named in each beat",
        run_books,
    ),
    Measurement(
        "control_demand",
        "a forwarder's demand of destinations without a budget",
        run_demand,
    ),
)
