"""The tables ``[fleet]``, ``[load]`` and ``[[budgets]]`` of an experiment file,
checked.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

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

FLEET_KEYS = set(Fleet.__dataclass_fields__)
RESERVED_ARGS = ("--state", "--listen", "--write", "--fleet", "--new")
LOAD_KEYS = set(Load.__dataclass_fields__)


def parse_fleet(reader: TableReader, table: Mapping[str, Any]) -> Fleet:
    reader.check_unknown_keys(table, FLEET_KEYS, "fleet")
    destinations = reader.read(
        table,
        "destinations",
        list,
        "fleet",
        [7],
        lambda v: 0 < len(v) <= 16,
        "must list 1 to 16",
    )
    if not all(
        isinstance(d, int) and not isinstance(d, bool) and d >= 0 for d in destinations
    ):
        reader.faults.append(
            "fleet.destinations: whole numbers of 0 or more are wanted"
        )
        destinations = [7]
    zones = reader.read(
        table,
        "zones",
        list,
        "fleet",
        ["a"],
        lambda v: 0 < len(v) <= 8,
        "must list 1 to 8",
    )
    if not all(isinstance(z, str) and z.isidentifier() for z in zones) or len(
        set(zones)
    ) != len(zones):
        reader.faults.append("fleet.zones: distinct plain names are wanted")
        zones = ["a"]
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
        destinations=tuple(destinations),
        endpoints_per_destination=reader.read(
            table, "endpoints_per_destination", int, "fleet", 2, lambda v: 1 <= v <= 16
        ),
        zones=tuple(zones),
        slots=reader.read(table, "slots", int, "fleet", 8, lambda v: 1 <= v <= 256),
        durability=reader.read(
            table,
            "durability",
            str,
            "fleet",
            "process",
            lambda v: v in ("process", "power"),
            "is 'process' or 'power'",
        ),
        endpoint_rate=reader.read(
            table, "endpoint_rate", float, "fleet", 200.0, lambda v: 0 < v <= 1e6
        ),
        service=reader.read(table, "service", bool, "fleet", False),
        service_args=_service_args(reader, table),
        peers=reader.read(table, "peers", bool, "fleet", False),
        most_connections=reader.read(
            table, "most_connections", int, "fleet", 0, lambda v: 0 <= v <= 100_000
        ),
        parts=_parts(reader, reader.table(table, "parts", "fleet.")),
    )
    if fleet.peers and fleet.forwarders > MAX_PEERS:
        reader.faults.append(
            f"fleet.peers: {fleet.forwarders} forwarders, where {MAX_PEERS} at most can be linked"
        )
    return fleet


def _service_args(reader: TableReader, table: Mapping[str, Any]) -> tuple[str, ...]:
    words = reader.read(
        table,
        "service_args",
        list,
        "fleet",
        [],
        lambda v: len(v) <= 32,
        "must list 32 at most",
    )
    for n, word in enumerate(words):
        if not isinstance(word, str):
            reader.faults.append(
                f"fleet.service_args[{n}]: a str is wanted, not {word!r}"
            )
        elif word.partition("=")[0] in RESERVED_ARGS:
            reader.faults.append(
                f"fleet.service_args[{n}]: {word!r} is the lab's to give"
            )
    if words and not table.get("service"):
        reader.faults.append("fleet.service_args: there is no service to give them to")
    return tuple(word for word in words if isinstance(word, str))


def _parts(reader: TableReader, table: Mapping[str, Any]) -> Mapping[str, Any]:
    """Values that a forwarder's configuration (JSON) can hold: TOML's dates are none."""
    try:
        return dict(json.loads(json.dumps(table, allow_nan=False)))
    except (TypeError, ValueError) as error:
        reader.faults.append(f"fleet.parts: cannot stand in a configuration: {error}")
        return {}


def parse_load(reader: TableReader, table: Mapping[str, Any], forwarders: int) -> Load:
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
            table, "answer_timeout_s", float, "load", 0.4, lambda v: 0.01 <= v <= 60
        ),
        max_lag_ms=reader.read(
            table, "max_lag_ms", float, "load", 50.0, lambda v: 0 < v <= 10_000
        ),
        body_bytes=reader.read(
            table, "body_bytes", int, "load", 64, lambda v: 1 <= v <= 60_000
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
            table, "sessions", int, "load", 0, lambda v: 0 <= v <= 100_000
        ),
        sessions_at=reader.read(
            table,
            "sessions_at",
            str,
            "load",
            "home",
            lambda v: v in ("home", "any"),
            "is 'home' or 'any'",
        ),
    )
    if any(c.ordered for c in classes) != bool(load.sessions):
        reader.faults.append(
            "load.sessions: sessions and classes that are ordered need each other"
        )
    return load


def _classes(reader: TableReader, table: Mapping[str, Any]) -> list[LoadClass]:
    classes: list[LoadClass] = []
    raw = reader.read(
        table,
        "classes",
        list,
        "load",
        None,
        lambda v: 0 < len(v) <= 8,
        "must list 1 to 8",
    )
    for n, class_table in enumerate(raw):
        path = f"load.classes[{n}]"
        if not isinstance(class_table, Mapping):
            reader.faults.append(f"{path}: a table is wanted")
            continue
        reader.check_unknown_keys(
            class_table, set(LoadClass.__dataclass_fields__), path
        )
        classes.append(
            LoadClass(
                name=reader.read(
                    class_table,
                    "name",
                    str,
                    path,
                    None,
                    lambda v: v.isidentifier(),
                    "is no plain name",
                ),
                share=reader.read(
                    class_table,
                    "share",
                    float,
                    path,
                    1.0,
                    lambda v: 0 < v <= 1e6,
                    "must be over 0",
                ),
                deadline_s=reader.read(
                    class_table,
                    "deadline_s",
                    float,
                    path,
                    5.0,
                    lambda v: 0.05 <= v <= 600,
                ),
                effect=reader.read(
                    class_table,
                    "effect",
                    str,
                    path,
                    "repeatable",
                    lambda v: v in EFFECTS,
                    f"is one of {EFFECTS}",
                ),
                ordered=reader.read(class_table, "ordered", bool, path, False),
            )
        )
    if len({class_table.name for class_table in classes}) != len(classes):
        reader.faults.append("load.classes: a name is given twice")
    return classes


def parse_budgets(
    reader: TableReader, raw: list[Any], destinations: tuple[int, ...]
) -> tuple[Budget, ...]:
    made: list[Budget] = []
    for n, table in enumerate(raw):
        path = f"budgets[{n}]"
        if not isinstance(table, Mapping):
            reader.faults.append(f"{path}: a table is wanted")
            continue
        reader.check_unknown_keys(table, set(Budget.__dataclass_fields__), path)
        made.append(
            Budget(
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
                    table, "calls", int, path, None, lambda v: 1 <= v <= 1_000_000
                ),
                span_ms=reader.read(
                    table, "span_ms", int, path, None, lambda v: 1 <= v <= 600_000
                ),
                enforce=reader.read(table, "enforce", bool, path, True),
            )
        )
    if len({b.destination for b in made}) != len(made):
        reader.faults.append("budgets: a destination is given twice")
    return tuple(made)
