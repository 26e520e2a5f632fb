"""The tables ``[fleet]``, ``[load]`` and ``[[budgets]]`` of an experiment file,
checked.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from rainfall.lab.reader import Reader
from rainfall.lab.shapes import (
    EFFECTS,
    MAX_FORWARDERS,
    MAX_PEERS,
    MAX_RATE,
    Budget,
    Fleet,
    Load,
    LoadClass,
)

FLEET_KEYS = set(Fleet.__dataclass_fields__)
OWN_ARGS = ("--state", "--listen", "--write", "--fleet", "--new")
LOAD_KEYS = set(Load.__dataclass_fields__)


def fleet(r: Reader, t: Mapping[str, Any]) -> Fleet:
    r.unknown(t, FLEET_KEYS, "fleet")
    dests = r.take(
        t,
        "destinations",
        list,
        "fleet",
        [7],
        lambda v: 0 < len(v) <= 16,
        "must list 1 to 16",
    )
    if not all(
        isinstance(d, int) and not isinstance(d, bool) and d >= 0 for d in dests
    ):
        r.faults.append("fleet.destinations: whole numbers of 0 or more are wanted")
        dests = [7]
    zones = r.take(
        t, "zones", list, "fleet", ["a"], lambda v: 0 < len(v) <= 8, "must list 1 to 8"
    )
    if not all(isinstance(z, str) and z.isidentifier() for z in zones) or len(
        set(zones)
    ) != len(zones):
        r.faults.append("fleet.zones: distinct plain names are wanted")
        zones = ["a"]
    made = Fleet(
        forwarders=r.take(
            t,
            "forwarders",
            int,
            "fleet",
            None,
            lambda v: 1 <= v <= MAX_FORWARDERS,
            f"must be 1 to {MAX_FORWARDERS}",
        ),
        destinations=tuple(dests),
        endpoints_per_destination=r.take(
            t, "endpoints_per_destination", int, "fleet", 2, lambda v: 1 <= v <= 16
        ),
        zones=tuple(zones),
        slots=r.take(t, "slots", int, "fleet", 8, lambda v: 1 <= v <= 256),
        durability=r.take(
            t,
            "durability",
            str,
            "fleet",
            "process",
            lambda v: v in ("process", "power"),
            "is 'process' or 'power'",
        ),
        endpoint_rate=r.take(
            t, "endpoint_rate", float, "fleet", 200.0, lambda v: 0 < v <= 1e6
        ),
        service=r.take(t, "service", bool, "fleet", False),
        service_args=_service_args(r, t),
        peers=r.take(t, "peers", bool, "fleet", False),
        most_connections=r.take(
            t, "most_connections", int, "fleet", 0, lambda v: 0 <= v <= 100_000
        ),
        parts=_parts(r, r.table(t, "parts", "fleet.")),
    )
    if made.peers and made.forwarders > MAX_PEERS:
        r.faults.append(
            f"fleet.peers: {made.forwarders} forwarders, where {MAX_PEERS} at most can be linked"
        )
    return made


def _service_args(r: Reader, t: Mapping[str, Any]) -> tuple[str, ...]:
    words = r.take(
        t,
        "service_args",
        list,
        "fleet",
        [],
        lambda v: len(v) <= 32,
        "must list 32 at most",
    )
    for n, word in enumerate(words):
        if not isinstance(word, str):
            r.faults.append(f"fleet.service_args[{n}]: a str is wanted, not {word!r}")
        elif word.partition("=")[0] in OWN_ARGS:
            r.faults.append(f"fleet.service_args[{n}]: {word!r} is the lab's to give")
    if words and not t.get("service"):
        r.faults.append("fleet.service_args: there is no service to give them to")
    return tuple(word for word in words if isinstance(word, str))


def _parts(r: Reader, t: Mapping[str, Any]) -> Mapping[str, Any]:
    """Values that a forwarder's configuration (JSON) can hold: TOML's dates are
    none.
    """
    try:
        return dict(json.loads(json.dumps(t, allow_nan=False)))
    except (TypeError, ValueError) as error:
        r.faults.append(f"fleet.parts: cannot stand in a configuration: {error}")
        return {}


def load(r: Reader, t: Mapping[str, Any], forwarders: int) -> Load:
    r.unknown(t, LOAD_KEYS, "load")
    classes = _classes(r, t)
    made = Load(
        rate_per_s=r.take(
            t,
            "rate_per_s",
            float,
            "load",
            None,
            lambda v: 0 < v <= MAX_RATE,
            f"must be over 0 and {MAX_RATE:.0f} at most",
        ),
        classes=tuple(classes),
        answer_timeout_s=r.take(
            t, "answer_timeout_s", float, "load", 0.4, lambda v: 0.01 <= v <= 60
        ),
        max_lag_ms=r.take(
            t, "max_lag_ms", float, "load", 50.0, lambda v: 0 < v <= 10_000
        ),
        body_bytes=r.take(t, "body_bytes", int, "load", 64, lambda v: 1 <= v <= 60_000),
        forwarders=r.take(
            t,
            "forwarders",
            int,
            "load",
            0,
            lambda v: 0 <= v <= forwarders,
            "is more than the fleet has",
        ),
        sessions=r.take(t, "sessions", int, "load", 0, lambda v: 0 <= v <= 100_000),
        sessions_at=r.take(
            t,
            "sessions_at",
            str,
            "load",
            "home",
            lambda v: v in ("home", "any"),
            "is 'home' or 'any'",
        ),
    )
    if any(c.ordered for c in classes) != bool(made.sessions):
        r.faults.append(
            "load.sessions: sessions and classes that are ordered need each other"
        )
    return made


def _classes(r: Reader, t: Mapping[str, Any]) -> list[LoadClass]:
    classes: list[LoadClass] = []
    raw = r.take(
        t, "classes", list, "load", None, lambda v: 0 < len(v) <= 8, "must list 1 to 8"
    )
    for n, c in enumerate(raw):
        path = f"load.classes[{n}]"
        if not isinstance(c, Mapping):
            r.faults.append(f"{path}: a table is wanted")
            continue
        r.unknown(c, set(LoadClass.__dataclass_fields__), path)
        classes.append(
            LoadClass(
                name=r.take(
                    c,
                    "name",
                    str,
                    path,
                    None,
                    lambda v: v.isidentifier(),
                    "is no plain name",
                ),
                share=r.take(
                    c,
                    "share",
                    float,
                    path,
                    1.0,
                    lambda v: 0 < v <= 1e6,
                    "must be over 0",
                ),
                deadline_s=r.take(
                    c, "deadline_s", float, path, 5.0, lambda v: 0.05 <= v <= 600
                ),
                effect=r.take(
                    c,
                    "effect",
                    str,
                    path,
                    "repeatable",
                    lambda v: v in EFFECTS,
                    f"is one of {EFFECTS}",
                ),
                ordered=r.take(c, "ordered", bool, path, False),
            )
        )
    if len({c.name for c in classes}) != len(classes):
        r.faults.append("load.classes: a name is given twice")
    return classes


def budgets(
    r: Reader, raw: list[Any], destinations: tuple[int, ...]
) -> tuple[Budget, ...]:
    made: list[Budget] = []
    for n, t in enumerate(raw):
        path = f"budgets[{n}]"
        if not isinstance(t, Mapping):
            r.faults.append(f"{path}: a table is wanted")
            continue
        r.unknown(t, set(Budget.__dataclass_fields__), path)
        made.append(
            Budget(
                destination=r.take(
                    t,
                    "destination",
                    int,
                    path,
                    None,
                    lambda v: v in destinations,
                    "is no destination",
                ),
                calls=r.take(
                    t, "calls", int, path, None, lambda v: 1 <= v <= 1_000_000
                ),
                span_ms=r.take(
                    t, "span_ms", int, path, None, lambda v: 1 <= v <= 600_000
                ),
                enforce=r.take(t, "enforce", bool, path, True),
            )
        )
    if len({b.destination for b in made}) != len(made):
        r.faults.append("budgets: a destination is given twice")
    return tuple(made)
