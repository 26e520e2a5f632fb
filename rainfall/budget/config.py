"""Decoding of configured budgets and of the budget fields of a heartbeat.

Input is validated as a whole; every fault is reported with its path.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any, NamedTuple

from rainfall.budget.types import PART_SEPARATOR, Budget, HeldShare
from rainfall.errors import RainfallError

MAX_BUDGETS = 10_000
MAX_PARTS = 64
"""Most weights of one budget, and most parts of one destination's demand."""
CALLS_LIMIT = 1 << 40
"""The highest count of calls, and the highest number of a share."""
WEIGHT_LIMIT = 1_000
NAME_LENGTH_LIMIT = 200
US_PER_MS = 1_000
HELD_SHARE_FIELDS = 2


class IntegerBounds(NamedTuple):
    """Inclusive bounds of an integer field."""

    lowest: int
    highest: int


class FractionBounds(NamedTuple):
    """Inclusive bounds of a fraction field."""

    lowest: float
    highest: float


INTEGER_BOUNDS = {
    "calls": IntegerBounds(1, CALLS_LIMIT),
    "span_ms": IntegerBounds(1, 86_400_000),
    "reserve": IntegerBounds(0, CALLS_LIMIT),
    "members_max": IntegerBounds(1, 100_000),
    "least": IntegerBounds(1, CALLS_LIMIT),
    "pause_ms": IntegerBounds(0, 3_600_000),
    "slack_ms": IntegerBounds(0, 60_000),
}
"""Bounds of the integer fields of a configured budget; times in milliseconds."""
FRACTION_BOUNDS = {
    "change": FractionBounds(0.0, 1.0),
    "loose": FractionBounds(0.0, 0.5),
}
REQUIRED_INTEGERS = ("calls", "span_ms", "members_max")
DEFAULT_BUDGET = Budget("", 1, 1)


class BudgetConfigError(RainfallError, ValueError):
    """Invalid input.

    Attributes:
        faults: Each fault with its path.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def parse_budgets(raw: Any, path: str = "budgets") -> tuple[Budget, ...]:
    """Decode configured budgets.

    Args:
        raw: A list of {destination, calls, span_ms, reserve?, members_max, weights?,
            least?, change?, loose?, pause_ms?, slack_ms?}.
        path: The path of the list, for faults.

    Raises:
        BudgetConfigError: With every fault.
    """
    if not isinstance(raw, list) or len(raw) > MAX_BUDGETS:
        raise BudgetConfigError([f"{path}: a list of at most {MAX_BUDGETS} budgets"])
    faults: list[str] = []
    found: dict[str, Budget] = {}
    for index, entry in enumerate(raw):
        entry_path = f"{path}[{index}]"
        entry_faults = _entry_faults(entry, entry_path)
        if entry_faults:
            faults.extend(entry_faults)
            continue
        destination = entry["destination"]
        if destination in found:
            fault = f"{entry_path}.destination: {destination} has a budget already"
            faults.append(fault)
        found[destination] = _to_budget(entry)
    if faults:
        raise BudgetConfigError(faults)
    return tuple(found.values())


def _to_budget(entry: dict[str, Any]) -> Budget:
    """The `Budget` of a valid entry."""
    return Budget(
        destination=entry["destination"],
        calls=entry["calls"],
        span_us=entry["span_ms"] * US_PER_MS,
        reserve=entry.get("reserve", 0),
        members_max=entry["members_max"],
        weights=dict(entry.get("weights", {})),
        min_calls=entry.get("least", DEFAULT_BUDGET.min_calls),
        min_gain_fraction=entry.get("change", DEFAULT_BUDGET.min_gain_fraction),
        unassigned_fraction=entry.get("loose", DEFAULT_BUDGET.unassigned_fraction),
        pause_us=_time_us(entry, "pause_ms", DEFAULT_BUDGET.pause_us),
        slack_us=_time_us(entry, "slack_ms", DEFAULT_BUDGET.slack_us),
    )


def _time_us(entry: dict[str, Any], name: str, default_us: int) -> int:
    return entry[name] * US_PER_MS if name in entry else default_us


def _entry_faults(entry: Any, path: str) -> list[str]:
    if not isinstance(entry, dict):
        return [f"{path}: an object"]
    faults: list[str] = []
    if not _is_name(entry.get("destination")):
        faults.append(f"{path}.destination: a name of 1 to 200 characters")
    faults.extend(_integer_faults(entry, path))
    faults.extend(_fraction_faults(entry, path))
    faults.extend(_weight_faults(entry.get("weights", {}), path))
    known = {"destination", "weights", *INTEGER_BOUNDS, *FRACTION_BOUNDS}
    faults.extend(f"{path}.{name}: not known" for name in sorted(set(entry) - known))
    return faults or _combination_faults(entry, path)


def _integer_faults(entry: dict[str, Any], path: str) -> Iterator[str]:
    for name, bounds in INTEGER_BOUNDS.items():
        if name not in entry and name not in REQUIRED_INTEGERS:
            continue
        if not _is_integer_within(entry.get(name), *bounds):
            yield f"{path}.{name}: a whole number from {bounds.lowest} to {bounds.highest}"


def _fraction_faults(entry: dict[str, Any], path: str) -> Iterator[str]:
    for name, bounds in FRACTION_BOUNDS.items():
        value = entry.get(name, bounds.lowest)
        is_number = (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and math.isfinite(value)
        )
        if not is_number or not bounds.lowest <= value <= bounds.highest:
            yield f"{path}.{name}: a number from {bounds.lowest} to {bounds.highest}"


def _weight_faults(weights: Any, path: str) -> list[str]:
    if not isinstance(weights, dict) or len(weights) > MAX_PARTS:
        return [f"{path}.weights: an object of at most {MAX_PARTS} weights"]
    invalid_weights = [
        f"{path}.weights.{name}: a whole number from 1 to 1000"
        for name in sorted(weights)
        if not _is_integer_within(weights[name], 1, WEIGHT_LIMIT)
    ]
    invalid_names = [
        f"{path}.weights.{name}: a class or a tenant, without /"
        for name in sorted(weights)
        if PART_SEPARATOR in name
    ]
    return invalid_weights + invalid_names


def _combination_faults(entry: dict[str, Any], path: str) -> list[str]:
    """Faults between fields that are valid by themselves."""
    faults: list[str] = []
    calls = entry["calls"]
    reserve = entry.get("reserve", 0)
    members = entry["members_max"]
    if reserve * members > calls:
        faults.append(
            f"{path}.reserve: {reserve} for each of {members} members are {reserve * members},"
            f" more than the whole of {calls}"
        )
    if entry.get("least", 1) > calls:
        faults.append(f"{path}.least: more than the whole of {calls}")
    if entry.get("slack_ms", 0) > entry["span_ms"]:
        faults.append(f"{path}.slack_ms: more than the span of {entry['span_ms']}")
    return faults


def parse_demand(raw: Any) -> dict[str, dict[str, int]]:
    """Decode a heartbeat's `needs`: {destination: calls, or {part: calls}}.

    Raises:
        BudgetConfigError: With every fault.
    """
    if not isinstance(raw, dict) or len(raw) > MAX_BUDGETS:
        raise BudgetConfigError(
            [f"needs: an object of at most {MAX_BUDGETS} destinations"]
        )
    faults: list[str] = []
    demand: dict[str, dict[str, int]] = {}
    for destination, value in raw.items():
        parts = value if isinstance(value, dict) else {"": value}
        if len(parts) > MAX_PARTS:
            faults.append(f"needs.{destination}: at most {MAX_PARTS} parts")
        for part, calls in parts.items():
            if not _is_integer_within(calls, 0, CALLS_LIMIT):
                path = f"needs.{destination}.{part}" if part else f"needs.{destination}"
                faults.append(f"{path}: a whole number from 0 to {CALLS_LIMIT}")
        demand[destination] = parts
    if faults:
        raise BudgetConfigError(faults)
    return demand


def parse_held_shares(raw: Any) -> dict[str, HeldShare]:
    """Decode a heartbeat's `holds`: {destination: [calls, number]}.

    Raises:
        BudgetConfigError: With every fault.
    """
    if not isinstance(raw, dict) or len(raw) > MAX_BUDGETS:
        raise BudgetConfigError(
            [f"holds: an object of at most {MAX_BUDGETS} destinations"]
        )
    faults = [
        f"holds.{destination}: [calls, number], whole numbers from 0 to {CALLS_LIMIT}"
        for destination, value in raw.items()
        if not _is_held_share(value)
    ]
    if faults:
        raise BudgetConfigError(faults)
    return {destination: (value[0], value[1]) for destination, value in raw.items()}


def _is_held_share(value: Any) -> bool:
    return (
        isinstance(value, list)
        and len(value) == HELD_SHARE_FIELDS
        and all(_is_integer_within(number, 0, CALLS_LIMIT) for number in value)
    )


def _is_integer_within(value: Any, lowest: int, highest: int) -> bool:
    return type(value) is int and lowest <= value <= highest


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= NAME_LENGTH_LIMIT
