"""Budgets as configured and a beat's part as sent: checked whole, every fault with its
path.
"""

from __future__ import annotations

import math
from typing import Any

from rainfall.budget.types import Budget
from rainfall.errors import RainfallError

MAX_BUDGETS = 10_000
MAX_PARTS = 64
CALLS_LIMIT = 1 << 40
INTEGER_BOUNDS = {  # name: (least, most); times in ms
    "calls": (1, CALLS_LIMIT),
    "span_ms": (1, 86_400_000),
    "reserve": (0, CALLS_LIMIT),
    "members_max": (1, 100_000),
    "least": (1, CALLS_LIMIT),
    "pause_ms": (0, 3_600_000),
    "slack_ms": (0, 60_000),
}
FRACTION_BOUNDS = {"change": (0.0, 1.0), "loose": (0.0, 0.5)}
DEFAULT_BUDGET = Budget("", 1, 1)


class BudgetConfigError(RainfallError, ValueError):
    """What cannot be taken. `faults`: each with its path."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def parse_budgets(raw: Any, path: str = "budgets") -> tuple[Budget, ...]:
    """From configuration: a list of {destination, calls, span_ms, reserve?,
    members_max, weights?, least?, change?, loose?, pause_ms?, slack_ms?}. Raises Faults
    with every fault.
    """
    if not isinstance(raw, list) or len(raw) > MAX_BUDGETS:
        raise BudgetConfigError([f"{path}: a list of at most {MAX_BUDGETS} budgets"])
    faults: list[str] = []
    found: dict[str, Budget] = {}
    for n, entry in enumerate(raw):
        where = f"{path}[{n}]"
        before = len(faults)
        faults.extend(_entry_faults(entry, where))
        if len(faults) > before:
            continue
        if entry["destination"] in found:
            faults.append(
                f"{where}.destination: {entry['destination']} has a budget already"
            )
        found[entry["destination"]] = _to_budget(entry)
    if faults:
        raise BudgetConfigError(faults)
    return tuple(found.values())


def _to_budget(entry: dict[str, Any]) -> Budget:
    return Budget(
        entry["destination"],
        entry["calls"],
        entry["span_ms"] * 1000,
        entry.get("reserve", 0),
        entry["members_max"],
        dict(entry.get("weights", {})),
        entry.get("least", DEFAULT_BUDGET.least),
        entry.get("change", DEFAULT_BUDGET.change),
        entry.get("loose", DEFAULT_BUDGET.loose),
        entry["pause_ms"] * 1000 if "pause_ms" in entry else DEFAULT_BUDGET.pause_us,
        entry["slack_ms"] * 1000 if "slack_ms" in entry else DEFAULT_BUDGET.slack_us,
    )


def _entry_faults(entry: Any, where: str) -> list[str]:
    if not isinstance(entry, dict):
        return [f"{where}: an object"]
    faults: list[str] = []
    if not _is_name(entry.get("destination")):
        faults.append(f"{where}.destination: a name of 1 to 200 characters")
    for name, (low, top) in INTEGER_BOUNDS.items():
        needed = name in ("calls", "span_ms", "members_max")
        if (needed or name in entry) and not _is_integer_within(
            entry.get(name), low, top
        ):
            faults.append(f"{where}.{name}: a whole number from {low} to {top}")
    for name, (least, most) in FRACTION_BOUNDS.items():
        value = entry.get(name, least)
        fits = (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and math.isfinite(value)
        )
        if not fits or not least <= value <= most:
            faults.append(f"{where}.{name}: a number from {least} to {most}")
    weights = entry.get("weights", {})
    if not isinstance(weights, dict) or len(weights) > MAX_PARTS:
        faults.append(f"{where}.weights: an object of at most {MAX_PARTS} weights")
    else:
        faults.extend(
            f"{where}.weights.{name}: a whole number from 1 to 1000"
            for name in sorted(weights)
            if not _is_integer_within(weights[name], 1, 1000)
        )
        faults.extend(
            f"{where}.weights.{name}: a class or a tenant, without /"
            for name in sorted(weights)
            if "/" in name
        )
    known = {"destination", "weights", *INTEGER_BOUNDS, *FRACTION_BOUNDS}
    faults.extend(f"{where}.{name}: not known" for name in sorted(set(entry) - known))
    return faults or _combination_faults(entry, where)


def _combination_faults(entry: dict[str, Any], where: str) -> list[str]:
    faults: list[str] = []
    calls, reserve, members = (
        entry["calls"],
        entry.get("reserve", 0),
        entry["members_max"],
    )
    if reserve * members > calls:
        faults.append(
            f"{where}.reserve: {reserve} for each of {members} members are {reserve * members},"
            f" more than the whole of {calls}"
        )
    if entry.get("least", 1) > calls:
        faults.append(f"{where}.least: more than the whole of {calls}")
    if entry.get("slack_ms", 0) > entry["span_ms"]:
        faults.append(f"{where}.slack_ms: more than the span of {entry['span_ms']}")
    return faults


def parse_demand(raw: Any) -> dict[str, dict[str, int]]:
    """A beat's `needs`: {destination: calls, or {part: calls}}. Raises Faults."""
    if not isinstance(raw, dict) or len(raw) > MAX_BUDGETS:
        raise BudgetConfigError(
            [f"needs: an object of at most {MAX_BUDGETS} destinations"]
        )
    faults: list[str] = []
    needs: dict[str, dict[str, int]] = {}
    for name, told in raw.items():
        parts = told if isinstance(told, dict) else {"": told}
        if len(parts) > MAX_PARTS:
            faults.append(f"needs.{name}: at most {MAX_PARTS} parts")
        for part, calls in parts.items():
            if not _is_integer_within(calls, 0, CALLS_LIMIT):
                faults.append(
                    f"needs.{name}{'.' * bool(part)}{part}: a whole number from 0 to {CALLS_LIMIT}"
                )
        needs[name] = parts
    if faults:
        raise BudgetConfigError(faults)
    return needs


def parse_held_shares(raw: Any) -> dict[str, tuple[int, int]]:
    """A beat's `holds`: {destination: [calls, number]}. Raises Faults."""
    if not isinstance(raw, dict) or len(raw) > MAX_BUDGETS:
        raise BudgetConfigError(
            [f"holds: an object of at most {MAX_BUDGETS} destinations"]
        )
    faults = [
        f"holds.{name}: [calls, number], whole numbers from 0 to {CALLS_LIMIT}"
        for name, told in raw.items()
        if not (
            isinstance(told, list)
            and len(told) == 2
            and all(_is_integer_within(n, 0, CALLS_LIMIT) for n in told)
        )
    ]
    if faults:
        raise BudgetConfigError(faults)
    return {name: (told[0], told[1]) for name, told in raw.items()}


def _is_integer_within(value: Any, low: int, top: int) -> bool:
    return type(value) is int and low <= value <= top


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= 200
