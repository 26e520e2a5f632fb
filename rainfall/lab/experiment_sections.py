"""Reads the tables ``[fleet]``, ``[load]`` and ``[[budgets]]`` of an experiment file."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from rainfall.lab.experiment_model import (
    EFFECTS,
    MAX_FORWARDERS,
    MAX_PEERS,
    MAX_RATE,
    Budget,
    Fleet,
    Load,
    LoadClass,
)
from rainfall.lab.table_reader import TableReader

FLEET_KEYS = frozenset(
    {
        "forwarders",
        "destinations",
        "endpoints_per_destination",
        "zones",
        "slots",
        "durability",
        "endpoint_rate",
        "service",
        "service_args",
        "peers",
        "most_connections",
        "parts",
    }
)
LOAD_KEYS = frozenset(
    {
        "rate_per_s",
        "classes",
        "answer_timeout_s",
        "max_lag_ms",
        "body_bytes",
        "forwarders",
        "sessions",
        "sessions_at",
    }
)
CLASS_KEYS = frozenset({"name", "share", "deadline_s", "effect", "ordered"})
BUDGET_KEYS = frozenset({"destination", "calls", "span_ms", "enforce"})
RESERVED_ARGS = ("--state", "--listen", "--write", "--fleet", "--new")
"""Options of the list service that the lab sets itself."""
DEFAULT_DESTINATIONS = (7,)
DEFAULT_ZONES = ("a",)
DURABILITIES = ("process", "power")
SESSION_PLACES = ("home", "any")

# How many entries a list may have.
DESTINATION_LIMIT = 16
ZONE_LIMIT = 8
SERVICE_ARG_LIMIT = 32
CLASS_LIMIT = 8

# The ranges of values.
ENDPOINT_LIMIT = 16
SLOT_LIMIT = 256
HIGHEST_ENDPOINT_RATE = 1e6
CONNECTION_LIMIT = 100_000
SESSION_LIMIT = 100_000
BODY_LIMIT_BYTES = 60_000
SHORTEST_ANSWER_TIMEOUT_S = 0.01
LONGEST_ANSWER_TIMEOUT_S = 60
HIGHEST_LAG_MS = 10_000
HIGHEST_SHARE = 1e6
SHORTEST_DEADLINE_S = 0.05
LONGEST_DEADLINE_S = 600
HIGHEST_BUDGET_CALLS = 1_000_000
LONGEST_SPAN_MS = 600_000


class _NamedTable(NamedTuple):
    """A table of a list, with its path for faults."""

    path: str
    table: Mapping[str, Any]


def _tables(
    reader: TableReader, raw: list[Any], path: str, known: frozenset[str]
) -> Iterator[_NamedTable]:
    """The tables of a list, each checked for unknown keys."""
    for index, table in enumerate(raw):
        table_path = f"{path}[{index}]"
        if not isinstance(table, Mapping):
            reader.faults.append(f"{table_path}: a table is wanted")
            continue
        reader.check_unknown_keys(table, known, table_path)
        yield _NamedTable(table_path, table)


def parse_fleet(reader: TableReader, table: Mapping[str, Any]) -> Fleet:
    """The table ``[fleet]``."""
    reader.check_unknown_keys(table, FLEET_KEYS, "fleet")
    destinations = _destinations(reader, table)
    zones = _zones(reader, table)
    fleet = Fleet(
        forwarders=reader.read(
            table,
            "forwarders",
            int,
            "fleet",
            None,
            lambda v: 1 <= v <= MAX_FORWARDERS,
            f"must be 1 to {MAX_FORWARDERS}",
        ),
        destinations=destinations,
        endpoints_per_destination=reader.read(
            table,
            "endpoints_per_destination",
            int,
            "fleet",
            2,
            lambda v: 1 <= v <= ENDPOINT_LIMIT,
        ),
        zones=zones,
        slots=reader.read(
            table, "slots", int, "fleet", 8, lambda v: 1 <= v <= SLOT_LIMIT
        ),
        durability=reader.read(
            table,
            "durability",
            str,
            "fleet",
            "process",
            lambda v: v in DURABILITIES,
            "is 'process' or 'power'",
        ),
        endpoint_rate=reader.read(
            table,
            "endpoint_rate",
            float,
            "fleet",
            200.0,
            lambda v: 0 < v <= HIGHEST_ENDPOINT_RATE,
        ),
        service=reader.read(table, "service", bool, "fleet", False),
        service_args=_service_args(reader, table),
        peers=reader.read(table, "peers", bool, "fleet", False),
        most_connections=reader.read(
            table,
            "most_connections",
            int,
            "fleet",
            0,
            lambda v: 0 <= v <= CONNECTION_LIMIT,
        ),
        parts=_parts(reader, reader.table(table, "parts", "fleet.")),
    )
    if fleet.peers and fleet.forwarders > MAX_PEERS:
        reader.faults.append(
            f"fleet.peers: {fleet.forwarders} forwarders, where {MAX_PEERS} at most can be linked"
        )
    return fleet


def _destinations(reader: TableReader, table: Mapping[str, Any]) -> tuple[int, ...]:
    destinations = reader.read(
        table,
        "destinations",
        list,
        "fleet",
        list(DEFAULT_DESTINATIONS),
        lambda v: 0 < len(v) <= DESTINATION_LIMIT,
        f"must list 1 to {DESTINATION_LIMIT}",
    )
    if all(
        isinstance(number, int) and not isinstance(number, bool) and number >= 0
        for number in destinations
    ):
        return tuple(destinations)
    reader.faults.append("fleet.destinations: whole numbers of 0 or more are wanted")
    return DEFAULT_DESTINATIONS


def _zones(reader: TableReader, table: Mapping[str, Any]) -> tuple[str, ...]:
    zones = reader.read(
        table,
        "zones",
        list,
        "fleet",
        list(DEFAULT_ZONES),
        lambda v: 0 < len(v) <= ZONE_LIMIT,
        f"must list 1 to {ZONE_LIMIT}",
    )
    are_names = all(isinstance(zone, str) and zone.isidentifier() for zone in zones)
    if are_names and len(set(zones)) == len(zones):
        return tuple(zones)
    reader.faults.append("fleet.zones: distinct plain names are wanted")
    return DEFAULT_ZONES


def _service_args(reader: TableReader, table: Mapping[str, Any]) -> tuple[str, ...]:
    words = reader.read(
        table,
        "service_args",
        list,
        "fleet",
        [],
        lambda v: len(v) <= SERVICE_ARG_LIMIT,
        f"must list {SERVICE_ARG_LIMIT} at most",
    )
    for index, word in enumerate(words):
        path = f"fleet.service_args[{index}]"
        if not isinstance(word, str):
            reader.faults.append(f"{path}: a str is wanted, not {word!r}")
        elif word.partition("=")[0] in RESERVED_ARGS:
            reader.faults.append(f"{path}: {word!r} is the lab's to give")
    if words and not table.get("service"):
        reader.faults.append("fleet.service_args: there is no service to give them to")
    return tuple(word for word in words if isinstance(word, str))


def _parts(reader: TableReader, table: Mapping[str, Any]) -> Mapping[str, Any]:
    """The table ``[fleet.parts]``, whose values must be valid JSON (dates are not)."""
    try:
        return dict(json.loads(json.dumps(table, allow_nan=False)))
    except (TypeError, ValueError) as error:
        reader.faults.append(f"fleet.parts: cannot stand in a configuration: {error}")
        return {}


def parse_load(reader: TableReader, table: Mapping[str, Any], forwarders: int) -> Load:
    """The table ``[load]`` of a fleet with so many forwarders."""
    reader.check_unknown_keys(table, LOAD_KEYS, "load")
    classes = _classes(reader, table)
    load = Load(
        rate_per_s=reader.read(
            table,
            "rate_per_s",
            float,
            "load",
            None,
            lambda v: 0 < v <= MAX_RATE,
            f"must be over 0 and {MAX_RATE:.0f} at most",
        ),
        classes=tuple(classes),
        answer_timeout_s=reader.read(
            table,
            "answer_timeout_s",
            float,
            "load",
            0.4,
            lambda v: SHORTEST_ANSWER_TIMEOUT_S <= v <= LONGEST_ANSWER_TIMEOUT_S,
        ),
        max_lag_ms=reader.read(
            table, "max_lag_ms", float, "load", 50.0, lambda v: 0 < v <= HIGHEST_LAG_MS
        ),
        body_bytes=reader.read(
            table, "body_bytes", int, "load", 64, lambda v: 1 <= v <= BODY_LIMIT_BYTES
        ),
        forwarders=reader.read(
            table,
            "forwarders",
            int,
            "load",
            0,
            lambda v: 0 <= v <= forwarders,
            "is more than the fleet has",
        ),
        sessions=reader.read(
            table, "sessions", int, "load", 0, lambda v: 0 <= v <= SESSION_LIMIT
        ),
        sessions_at=reader.read(
            table,
            "sessions_at",
            str,
            "load",
            "home",
            lambda v: v in SESSION_PLACES,
            "is 'home' or 'any'",
        ),
    )
    has_ordered_class = any(load_class.ordered for load_class in classes)
    if has_ordered_class != bool(load.sessions):
        reader.faults.append(
            "load.sessions: sessions and classes that are ordered need each other"
        )
    return load


def _classes(reader: TableReader, table: Mapping[str, Any]) -> list[LoadClass]:
    raw = reader.read(
        table,
        "classes",
        list,
        "load",
        None,
        lambda v: 0 < len(v) <= CLASS_LIMIT,
        f"must list 1 to {CLASS_LIMIT}",
    )
    classes = [
        _load_class(reader, table, path)
        for path, table in _tables(reader, raw, "load.classes", CLASS_KEYS)
    ]
    if len({load_class.name for load_class in classes}) != len(classes):
        reader.faults.append("load.classes: a name is given twice")
    return classes


def _load_class(reader: TableReader, table: Mapping[str, Any], path: str) -> LoadClass:
    return LoadClass(
        name=reader.read(
            table,
            "name",
            str,
            path,
            None,
            lambda v: v.isidentifier(),
            "is no plain name",
        ),
        share=reader.read(
            table,
            "share",
            float,
            path,
            1.0,
            lambda v: 0 < v <= HIGHEST_SHARE,
            "must be over 0",
        ),
        deadline_s=reader.read(
            table,
            "deadline_s",
            float,
            path,
            5.0,
            lambda v: SHORTEST_DEADLINE_S <= v <= LONGEST_DEADLINE_S,
        ),
        effect=reader.read(
            table,
            "effect",
            str,
            path,
            "repeatable",
            lambda v: v in EFFECTS,
            f"is one of {EFFECTS}",
        ),
        ordered=reader.read(table, "ordered", bool, path, False),
    )


def parse_budgets(
    reader: TableReader, raw: list[Any], destinations: tuple[int, ...]
) -> tuple[Budget, ...]:
    """The tables ``[[budgets]]``, each for one of the destinations."""
    budgets = [
        _budget(reader, table, path, destinations)
        for path, table in _tables(reader, raw, "budgets", BUDGET_KEYS)
    ]
    if len({budget.destination for budget in budgets}) != len(budgets):
        reader.faults.append("budgets: a destination is given twice")
    return tuple(budgets)


def _budget(
    reader: TableReader,
    table: Mapping[str, Any],
    path: str,
    destinations: tuple[int, ...],
) -> Budget:
    return Budget(
        destination=reader.read(
            table,
            "destination",
            int,
            path,
            None,
            lambda v: v in destinations,
            "is no destination",
        ),
        calls=reader.read(
            table, "calls", int, path, None, lambda v: 1 <= v <= HIGHEST_BUDGET_CALLS
        ),
        span_ms=reader.read(
            table, "span_ms", int, path, None, lambda v: 1 <= v <= LONGEST_SPAN_MS
        ),
        enforce=reader.read(table, "enforce", bool, path, True),
    )
