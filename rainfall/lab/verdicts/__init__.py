"""What the processes' own records show of a run, part by part, and what of it is a
breach.

Each part's check is a pure function over records (dicts; times in ns from the start of
the load) in a file of its own; ``sections`` puts them together as they stand in
``verdict.json``.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from rainfall.lab.shapes import Experiment
from rainfall.lab.verdicts import budgets, leases, sessions, shards

Record = Mapping[str, Any]


def sections(records: Sequence[Record], exp: Experiment) -> dict[str, Any]:
    """``budgets`` (by destination), ``leases``, ``shards``, ``sessions``."""
    end_ns = int(exp.duration_s * 1e9)
    return {
        "budgets": {
            str(b.destination): budgets.check(
                records, b.destination, b.calls, b.span_ms, end_ns
            )
            for b in exp.budgets
        },
        "leases": leases.check(records),
        "shards": shards.check(records, end_ns),
        "sessions": sessions.check(
            records,
            {c.name: c.effect for c in exp.load.classes},
            {c.name: int(c.deadline_s * 1e9) for c in exp.load.classes},
        ),
    }


BREACHES = (
    ("leases", "overlaps"),
    ("leases", "tokens_back"),
    ("shards", "two_owners"),
    ("sessions", "lost"),
    ("sessions", "doubled"),
    ("sessions", "out_of_order"),
    ("sessions", "split"),
)


def breaches(result: Mapping[str, Any]) -> list[str]:
    """Each rule that a verdict shows broken, as 'name: how much'; empty for a clean
    run.
    """
    found = [
        f"{name}: {result[name]}"
        for name in ("lost", "doubled", "phantoms")
        if result[name]
    ]
    for destination, b in sorted(result.get("budgets", {}).items()):
        if b["over"]:
            found.append(f"budgets.{destination}.over: {b['over']}")
    for part, name in BREACHES:
        if result.get(part, {}).get(name):
            found.append(f"{part}.{name}: {result[part][name]}")
    return found
