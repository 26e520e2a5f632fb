"""Summarizes the runs of a sweep as JSON and as a text table."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class RunResult:
    """The result of the run of one seed.

    If the run wrote no verdict, ``verdict`` is empty and ``breaches`` holds the reason.
    """

    seed: int
    exit_code: int
    wall_s: float
    verdict: Mapping[str, Any] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)


def _value_at(verdict: Mapping[str, Any], *path: str) -> Any:
    value: Any = verdict
    for key in path:
        value = value.get(key, {})
    return value if value != {} else 0


def _largest_budget_figure(verdict: Mapping[str, Any], name: str) -> Any:
    budgets = verdict.get("budgets", {}).values()
    return max((budget[name] or 0 for budget in budgets), default=0)


def _smallest_budget_use(verdict: Mapping[str, Any]) -> Any:
    """The lowest use of any budget; infinite without a budget, and then left out."""
    budgets = verdict.get("budgets", {}).values()
    return min((budget["used"] for budget in budgets), default=math.inf)


Figure = Callable[[Mapping[str, Any]], Any]
COUNTS: dict[str, Figure] = {
    "messages": lambda verdict: _value_at(verdict, "total", "messages"),
    "delivered": lambda verdict: _value_at(verdict, "total", "delivered"),
    "late": lambda verdict: _value_at(verdict, "total", "late"),
    "noticed": lambda verdict: _value_at(verdict, "total", "noticed"),
    "lost": lambda verdict: _value_at(verdict, "lost"),
    "wiped": lambda verdict: _value_at(verdict, "total", "wiped"),
    "doubled": lambda verdict: _value_at(verdict, "doubled"),
    "phantoms": lambda verdict: _value_at(verdict, "phantoms"),
    "over": lambda verdict: _largest_budget_figure(verdict, "over"),
    "overlaps": lambda verdict: _value_at(verdict, "leases", "overlaps"),
    "tokens_back": lambda verdict: _value_at(verdict, "leases", "tokens_back"),
    "two_owners": lambda verdict: _value_at(verdict, "shards", "two_owners"),
    "handed": lambda verdict: _value_at(verdict, "sessions", "handed"),
    "aborted": lambda verdict: _value_at(verdict, "sessions", "aborted"),
    "split": lambda verdict: _value_at(verdict, "sessions", "split"),
    "sess_lost": lambda verdict: _value_at(verdict, "sessions", "lost"),
    "sess_doubled": lambda verdict: _value_at(verdict, "sessions", "doubled"),
    "out_of_order": lambda verdict: _value_at(verdict, "sessions", "out_of_order"),
}
"""Figures to sum over the runs; lower is better, except for ``HIGHER_IS_BETTER``."""
HIGHER_IS_BETTER = ("messages", "delivered")
WORST: dict[str, Figure] = {
    "worst_span": lambda verdict: _largest_budget_figure(verdict, "worst"),
    "refused_per_delivery": lambda verdict: _largest_budget_figure(
        verdict, "refused_per_delivery"
    ),
    "used": _smallest_budget_use,
    "unowned_longest_ms": lambda verdict: _value_at(
        verdict, "shards", "unowned_longest_ms"
    ),
    "longest_pause_ms": lambda verdict: _value_at(
        verdict, "sessions", "longest_pause_ms"
    ),
    "lag_max_ms": lambda verdict: _value_at(verdict, "lag_ms", "max"),
}
"""Figures of which only the worst is shown: the highest, or for ``used`` the lowest."""
VERDICT_PARTS = ("budgets", "leases", "shards", "sessions")
COLUMN_GAP = "  "
TABLE_TOTALS = (
    "messages",
    "delivered",
    "lost",
    "doubled",
    "out_of_order",
    "over",
    "overlaps",
    "tokens_back",
)
TABLE_WORST = ("worst_span", "used", "refused_per_delivery", "lag_max_ms")


def summarize(
    name: str, seeds: Sequence[int], runs: Sequence[RunResult]
) -> dict[str, Any]:
    """The summary as a JSON-serializable dict.

    It holds the figures of each seed, their totals, the worst value of each with its
    seed, and ``exit``, which is 1 if a run had a breach or a seed was not run.
    """
    runs = sorted(runs, key=lambda run: run.seed)
    complete_runs = [run for run in runs if run.verdict]
    figures = {run.seed: _figures(run.verdict) for run in complete_runs}
    breached = [run.seed for run in runs if run.breaches]
    missing = sorted(set(seeds) - {run.seed for run in runs})
    return {
        "experiment": name,
        "seeds": len(seeds),
        "played": len(runs),
        "not_played": missing,
        "breached": breached,
        "invalid": [run.seed for run in complete_runs if not run.verdict["valid"]],
        "totals": {
            key: sum(figures[run.seed][key] for run in complete_runs) for key in COUNTS
        },
        "worst": _worst_figures(figures),
        "runs": [_run_summary(run, figures.get(run.seed)) for run in runs],
        "exit": 1 if breached or missing else 0,
    }


def _run_summary(run: RunResult, figures: dict[str, Any] | None) -> dict[str, Any]:
    summary = {
        "seed": run.seed,
        "exit": run.exit_code,
        "wall_s": round(run.wall_s, 2),
        "breaches": run.breaches,
        "valid": run.verdict.get("valid"),
        "figures": figures,
    }
    for part in VERDICT_PARTS:
        if part in run.verdict:
            summary[part] = run.verdict[part]
    return summary


def _worst_figures(figures: Mapping[int, Mapping[str, Any]]) -> dict[str, Any]:
    """The worst value of each figure, with the lowest seed that has it."""
    worst: dict[str, Any] = {}
    for name in [*COUNTS, *WORST]:
        values = {
            seed: figures[seed][name]
            for seed in sorted(figures)
            if name in figures[seed]
        }
        if not values or name in HIGHER_IS_BETTER:
            continue
        find_worst = min if name == "used" else max
        seed = find_worst(values, key=values.__getitem__)
        worst[name] = {"value": values[seed], "seed": seed}
    return worst


def _figures(verdict: Mapping[str, Any]) -> dict[str, Any]:
    figures = {name: read(verdict) for name, read in (COUNTS | WORST).items()}
    return {name: value for name, value in figures.items() if value != math.inf}


def format_table(summary: Mapping[str, Any]) -> str:
    """A table with a line for each seed and the totals, followed by the breaches."""
    rows: list[list[Any]] = [
        ["seed", "exit", "wall_s", *TABLE_TOTALS, *TABLE_WORST, "valid"]
    ]
    for run in summary["runs"]:
        figures = run["figures"] or {}
        cells = [figures.get(name, "-") for name in (*TABLE_TOTALS, *TABLE_WORST)]
        rows.append([run["seed"], run["exit"], run["wall_s"], *cells, run["valid"]])
    totals = [summary["totals"].get(name, "-") for name in TABLE_TOTALS]
    worst = [summary["worst"].get(name, {}).get("value", "-") for name in TABLE_WORST]
    all_valid = not summary["invalid"]
    rows.append(["all", summary["exit"], "", *totals, *worst, all_valid])
    lines = _aligned_lines(rows)
    lines += [
        f"seed {run['seed']}: {'; '.join(run['breaches'])}"
        for run in summary["runs"]
        if run["breaches"]
    ]
    if summary["not_played"]:
        lines.append(f"not played: {', '.join(map(str, summary['not_played']))}")
    return "\n".join(lines)


def _aligned_lines(rows: list[list[Any]]) -> list[str]:
    """The rows with their cells right-aligned in columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        COLUMN_GAP.join(
            cell.rjust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in texts
    ]
