"""Parses the tables ``[fleet]``, ``[load]`` and ``[[budgets]]`` of an experiment file."""

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
"""Options of the list service that the lab sets; an experiment may not."""
DEFAULT_DESTINATIONS = (7,)
DEFAULT_ZONES = ("a",)
DURABILITIES = ("process", "power")
SESSION_PLACES = ("home", "any")

# Most entries of a list.
DESTINATION_LIMIT = 16
ZONE_LIMIT = 8
SERVICE_ARG_LIMIT = 32
CLASS_LIMIT = 8

# Ranges of values.
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
    """A table of a list, with its path for error messages."""

    path: str
    table: Mapping[str, Any]


def _tables(
    reader: TableReader, entries: list[Any], path: str, known: frozenset[str]
) -> Iterator[_NamedTable]:
    """Yield the tables of a list, checked for unknown keys; other entries are errors."""
    for index, table in enumerate(entries):
        table_path = f"{path}[{index}]"
        if not isinstance(table, Mapping):
            reader.errors.append(f"{table_path}: expected a table")
            continue
        reader.check_unknown_keys(table, known, table_path)
        yield _NamedTable(table_path, table)


def parse_fleet(reader: TableReader, table: Mapping[str, Any]) -> Fleet:
    """Parse the table ``[fleet]``."""
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
            "must be 'process' or 'power'",
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
        reader.errors.append(
            f"fleet.peers: {fleet.forwarders} forwarders, but at most {MAX_PEERS} can be linked"
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
    reader.errors.append("fleet.destinations: must be integers of 0 or more")
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
    are_identifiers = all(
        isinstance(zone, str) and zone.isidentifier() for zone in zones
    )
    if are_identifiers and len(set(zones)) == len(zones):
        return tuple(zones)
    reader.errors.append("fleet.zones: must be distinct identifiers")
    return DEFAULT_ZONES


def _service_args(reader: TableReader, table: Mapping[str, Any]) -> tuple[str, ...]:
    arguments = reader.read(
        table,
        "service_args",
        list,
        "fleet",
        [],
        lambda v: len(v) <= SERVICE_ARG_LIMIT,
        f"must list at most {SERVICE_ARG_LIMIT}",
    )
    for index, argument in enumerate(arguments):
        path = f"fleet.service_args[{index}]"
        if not isinstance(argument, str):
            reader.errors.append(f"{path}: expected a str, got {argument!r}")
        elif argument.partition("=")[0] in RESERVED_ARGS:
            reader.errors.append(f"{path}: {argument!r} is set by the lab")
    if arguments and not table.get("service"):
        reader.errors.append("fleet.service_args: requires fleet.service")
    return tuple(argument for argument in arguments if isinstance(argument, str))


def _parts(reader: TableReader, table: Mapping[str, Any]) -> Mapping[str, Any]:
    """Parse the table ``[fleet.parts]``; its values must fit in JSON (dates do not)."""
    try:
        return dict(json.loads(json.dumps(table, allow_nan=False)))
    except (TypeError, ValueError) as error:
        reader.errors.append(f"fleet.parts: cannot be stored as JSON: {error}")
        return {}


def parse_load(reader: TableReader, table: Mapping[str, Any], forwarders: int) -> Load:
    """Parse the table ``[load]``; ``forwarders`` is the size of the fleet."""
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
            f"must be over 0 and at most {MAX_RATE:.0f}",
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
            "must be 0 to the number of forwarders",
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
            "must be 'home' or 'any'",
        ),
    )
    has_ordered_class = any(load_class.ordered for load_class in classes)
    if has_ordered_class != bool(load.sessions):
        reader.errors.append(
            "load.sessions: sessions and ordered classes require each other"
        )
    return load


def _classes(reader: TableReader, table: Mapping[str, Any]) -> list[LoadClass]:
    entries = reader.read(
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
        for path, table in _tables(reader, entries, "load.classes", CLASS_KEYS)
    ]
    if len({load_class.name for load_class in classes}) != len(classes):
        reader.errors.append("load.classes: duplicate name")
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
            "must be an identifier",
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
            f"must be one of {EFFECTS}",
        ),
        ordered=reader.read(table, "ordered", bool, path, False),
    )


def parse_budgets(
    reader: TableReader, entries: list[Any], destinations: tuple[int, ...]
) -> tuple[Budget, ...]:
    """Parse the tables ``[[budgets]]``; each limits one of ``destinations``."""
    budgets = [
        _budget(reader, table, path, destinations)
        for path, table in _tables(reader, entries, "budgets", BUDGET_KEYS)
    ]
    if len({budget.destination for budget in budgets}) != len(budgets):
        reader.errors.append("budgets: duplicate destination")
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
            "is not a destination of the fleet",
        ),
        calls=reader.read(
            table, "calls", int, path, None, lambda v: 1 <= v <= HIGHEST_BUDGET_CALLS
        ),
        span_ms=reader.read(
            table, "span_ms", int, path, None, lambda v: 1 <= v <= LONGEST_SPAN_MS
        ),
        enforce=reader.read(table, "enforce", bool, path, True),
    )
