"""What the processes' own records show of a run, part by part, and what of it is a
breach.

Each part's check is a pure function over records (dicts; times in ns from the start of
the load) in a file of its own; ``sections`` puts them together as they stand in
``verdict.json``.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from rainfall.lab.experiment_model import Experiment
from rainfall.lab.verdicts import budgets, leases, sessions, shards

Record = Mapping[str, Any]


def check_all(records: Sequence[Record], experiment: Experiment) -> dict[str, Any]:
    """``budgets`` (by destination), ``leases``, ``shards``, ``sessions``."""
    end_ns = int(experiment.duration_s * 1e9)
    return {
        "budgets": {
            str(budget.destination): budgets.check(
                records, budget.destination, budget.calls, budget.span_ms, end_ns
            )
            for budget in experiment.budgets
        },
        "leases": leases.check(records),
        "shards": shards.check(records, end_ns),
        "sessions": sessions.check(
            records,
            {
                load_class.name: load_class.effect
                for load_class in experiment.load.classes
            },
            {
                load_class.name: int(load_class.deadline_s * 1e9)
                for load_class in experiment.load.classes
            },
        ),
    }


BREACH_COUNTS = (
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
    for destination, budget in sorted(result.get("budgets", {}).items()):
        if budget["over"]:
            found.append(f"budgets.{destination}.over: {budget['over']}")
    for part, name in BREACH_COUNTS:
        if result.get(part, {}).get(name):
            found.append(f"{part}.{name}: {result[part][name]}")
    return found
