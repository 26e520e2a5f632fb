"""What a sweep's runs came to: one JSON-ready summary, one plain table."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class RunResult:
    """One seed's run.

    ``verdict`` is empty where it wrote none; ``breaches`` then says why.
    """

    seed: int
    exit_code: int
    wall_s: float
    verdict: Mapping[str, Any] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)


def _value_at(v: Mapping[str, Any], *path: str) -> Any:
    for key in path:
        v = v.get(key, {})
    return v if v != {} else 0


def _largest_budget_figure(v: Mapping[str, Any], name: str) -> Any:
    return max((b[name] or 0 for b in v.get("budgets", {}).values()), default=0)


def _smallest_budget_use(v: Mapping[str, Any]) -> Any:
    """Infinite where no budget is named, so that it is never the least; such figures
    are left out.
    """
    return min((b["used"] for b in v.get("budgets", {}).values()), default=math.inf)


Figure = Callable[[Mapping[str, Any]], Any]
COUNTS: dict[str, Figure] = {
    "messages": lambda v: _value_at(v, "total", "messages"),
    "delivered": lambda v: _value_at(v, "total", "delivered"),
    "late": lambda v: _value_at(v, "total", "late"),
    "noticed": lambda v: _value_at(v, "total", "noticed"),
    "lost": lambda v: _value_at(v, "lost"),
    "wiped": lambda v: _value_at(v, "total", "wiped"),
    "doubled": lambda v: _value_at(v, "doubled"),
    "phantoms": lambda v: _value_at(v, "phantoms"),
    "over": lambda v: _largest_budget_figure(v, "over"),
    "overlaps": lambda v: _value_at(v, "leases", "overlaps"),
    "tokens_back": lambda v: _value_at(v, "leases", "tokens_back"),
    "two_owners": lambda v: _value_at(v, "shards", "two_owners"),
    "handed": lambda v: _value_at(v, "sessions", "handed"),
    "aborted": lambda v: _value_at(v, "sessions", "aborted"),
    "split": lambda v: _value_at(v, "sessions", "split"),
    "sess_lost": lambda v: _value_at(v, "sessions", "lost"),
    "sess_doubled": lambda v: _value_at(v, "sessions", "doubled"),
    "out_of_order": lambda v: _value_at(v, "sessions", "out_of_order"),
}
"""Figures that a sweep adds up, all the better the smaller but for the first two."""
WORST: dict[str, Figure] = {
    "worst_span": lambda v: _largest_budget_figure(v, "worst"),
    "refused_per_delivery": lambda v: _largest_budget_figure(v, "refused_per_delivery"),
    "used": _smallest_budget_use,
    "unowned_longest_ms": lambda v: _value_at(v, "shards", "unowned_longest_ms"),
    "longest_pause_ms": lambda v: _value_at(v, "sessions", "longest_pause_ms"),
    "lag_max_ms": lambda v: _value_at(v, "lag_ms", "max"),
}
"""Figures of which a sweep tells the worst only: the greatest, of ``used`` the
least.
"""
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
    """Per seed its figures, the totals, the worst of each with its seed, and ``exit``:
    1 on any breach and where a seed was not played.
    """
    runs = sorted(runs, key=lambda p: p.seed)
    complete_runs = [p for p in runs if p.verdict]
    figures = {p.seed: _figures(p.verdict) for p in complete_runs}
    worst: dict[str, Any] = {}
    for key in [*COUNTS, *WORST]:
        having = [seed for seed, f in sorted(figures.items()) if key in f]
        if having and key not in ("messages", "delivered"):
            pick = min if key == "used" else max
            seed = pick(having, key=lambda seed, key=key: figures[seed][key])  # type: ignore[misc]
            worst[key] = {"value": figures[seed][key], "seed": seed}
    breached = [p.seed for p in runs if p.breaches]
    missing = sorted(set(seeds) - {p.seed for p in runs})
    return {
        "experiment": name,
        "seeds": len(seeds),
        "played": len(runs),
        "not_played": missing,
        "breached": breached,
        "invalid": [p.seed for p in complete_runs if not p.verdict["valid"]],
        "totals": {
            key: sum(figures[p.seed][key] for p in complete_runs) for key in COUNTS
        },
        "worst": worst,
        "runs": [
            {
                "seed": p.seed,
                "exit": p.exit_code,
                "wall_s": round(p.wall_s, 2),
                "breaches": p.breaches,
                "valid": p.verdict.get("valid"),
                "figures": figures.get(p.seed),
                **{
                    k: p.verdict[k]
                    for k in ("budgets", "leases", "shards", "sessions")
                    if k in p.verdict
                },
            }
            for p in runs
        ],
        "exit": 1 if breached or missing else 0,
    }


def _figures(v: Mapping[str, Any]) -> dict[str, Any]:
    every = {key: figure(v) for key, figure in COUNTS.items()} | {
        k: f(v) for k, f in WORST.items()
    }
    return {key: value for key, value in every.items() if value != math.inf}


def format_table(summary: Mapping[str, Any]) -> str:
    """A line a seed, a line of totals and worst figures, and the breaches in words."""
    heads = ["seed", "exit", "wall_s", *TABLE_TOTALS, *TABLE_WORST, "valid"]
    rows = [heads]
    for run in summary["runs"]:
        figures = run["figures"] or {}
        cells = [figures.get(k, "-") for k in (*TABLE_TOTALS, *TABLE_WORST)]
        rows.append(
            [
                str(c)
                for c in (run["seed"], run["exit"], run["wall_s"], *cells, run["valid"])
            ]
        )
    total = [summary["totals"].get(k, "-") for k in TABLE_TOTALS]
    worst = [summary["worst"].get(k, {}).get("value", "-") for k in TABLE_WORST]
    rows.append(
        [
            str(c)
            for c in (
                "all",
                summary["exit"],
                "",
                *total,
                *worst,
                len(summary["invalid"]) == 0,
            )
        ]
    )
    widths = [max(len(row[n]) for row in rows) for n in range(len(heads))]
    lines = [
        "  ".join(cell.rjust(w) for cell, w in zip(row, widths, strict=True))
        for row in rows
    ]
    lines += [
        f"seed {run['seed']}: {'; '.join(run['breaches'])}"
        for run in summary["runs"]
        if run["breaches"]
    ]
    if summary["not_played"]:
        lines.append(f"not played: {', '.join(map(str, summary['not_played']))}")
    return "\n".join(lines)
