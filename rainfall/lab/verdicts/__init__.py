"""Checks the records of a run part by part, and lists the breaches.

Each check is a pure function over records (dicts; times in ns from the start of the load)
in a module of its own. ``check_all`` combines the results for ``verdict.json``.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from rainfall.lab.experiment_model import NS_PER_S, Experiment
from rainfall.lab.verdicts import budgets, leases, sessions, shards

Record = Mapping[str, Any]


def check_all(records: Sequence[Record], experiment: Experiment) -> dict[str, Any]:
    """The results of all checks by part; those of budgets by destination."""
    end_ns = int(experiment.duration_s * NS_PER_S)
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
            records, experiment.effects(), experiment.deadlines_ns()
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
"""Part and key of each count that must be 0."""


def breaches(result: Mapping[str, Any]) -> list[str]:
    """List the breaches in a verdict as 'key: count'; empty for a clean run."""
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
