"""The `session` section of the configuration: sites, migration policy and limits.

An example, with the defaults of all numbers but the costs:

{"sites": {"a": {"neighbours": {"b": 1.0, "c": 2.5}}, "b": {...}}, "at_once": 8,
"least_stay_ms": 5000, "pause_ms": 30000, "pair_ms": 10000, "over": 0.9, "under": 0.7,
"limits": {"offer_us": 200000, ...}}
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from rainfall.errors import RainfallError
from rainfall.session.states import Limits

Cost = Annotated[float, Meta(ge=0, le=1e6)]
Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]
Share = Annotated[float, Meta(gt=0, le=1)]
FIELD_TYPES: dict[str, Any] = {
    "at_once": Annotated[int, Meta(ge=1, le=10_000)],
    "least_stay_ms": Milliseconds,
    "pause_ms": Milliseconds,
    "pair_ms": Milliseconds,
    "over": Share,
    "under": Share,
}
"""Types of the scalar fields; `sites` and `limits` are objects."""
OBJECT_FIELDS = ("sites", "limits")


@dataclass(frozen=True, slots=True)
class SessionConfig:
    """The configuration of migrations; the field names are its keys."""

    sites: Mapping[str, Mapping[str, float]]
    """The neighbours of each site, and the cost of a migration there."""
    at_once: int = 8
    """Migrations from one forwarder at a time."""
    least_stay_ms: int = 5_000
    """How long a session stays after it arrived, unless its forwarder is draining."""
    pause_ms: int = 30_000
    """How long a session neither returns to the site that it came from nor is offered
    again to a forwarder that declined it.
    """
    pair_ms: int = 10_000
    """How long a site that sent sessions because of its load receives none for that
    reason.
    """
    over: float = 0.9
    """Load, as a part of the budget, at which migration away begins."""
    under: float = 0.7
    """Load, as a part of the budget, at which migration away ends.

    A neighbour that takes a session must stay below it.
    """
    limits: Limits = field(default_factory=Limits)


class SessionConfigError(RainfallError, ValueError):
    """The configuration is invalid; `errors` lists all errors, each starting with its path."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def parse_config(raw: Any, path: str = "session") -> SessionConfig:
    """Parse the section from decoded JSON; `path` prefixes the paths of errors.

    Raises:
        SessionConfigError: The section is invalid; the error lists all errors.
    """
    if not isinstance(raw, dict):
        raise SessionConfigError([f"{path}: must be an object"])
    errors = [
        f"{path}.{name}: unknown"
        for name in raw
        if name not in FIELD_TYPES and name not in OBJECT_FIELDS
    ]
    values: dict[str, Any] = {}
    for name, field_type in FIELD_TYPES.items():
        if name in raw:
            values[name] = _parse(raw[name], field_type, f"{path}.{name}", errors)
    sites = _parse_sites(raw.get("sites"), f"{path}.sites", errors)
    limits = _parse_limits(raw.get("limits", {}), f"{path}.limits", errors)
    if errors:
        raise SessionConfigError(errors)
    config = SessionConfig(sites, limits=limits, **values)
    if config.under >= config.over:
        raise SessionConfigError([f"{path}.under: must be below over"])
    return config


def _parse(raw: Any, field_type: Any, path: str, errors: list[str]) -> Any:
    try:
        return msgspec.convert(raw, field_type)
    except msgspec.ValidationError as error:
        errors.append(f"{path}: {error}")
        return None


def _parse_sites(raw: Any, path: str, errors: list[str]) -> dict[str, dict[str, float]]:
    if not isinstance(raw, dict) or not raw:
        errors.append(f"{path}: must be an object that names at least one site")
        return {}
    sites: dict[str, dict[str, float]] = {}
    for site, entry in raw.items():
        site_path = f"{path}.{site}"
        neighbours = _neighbours(entry)
        if neighbours is None:
            errors.append(
                f"{site_path}: must be an object with neighbours alone, "
                "themselves an object"
            )
            continue
        sites[site] = {
            other: _parse_cost(cost, site, other, raw, site_path, errors)
            for other, cost in neighbours.items()
        }
    return sites


def _neighbours(entry: Any) -> dict[str, Any] | None:
    if not isinstance(entry, dict) or len(entry) != 1:
        return None
    neighbours = entry.get("neighbours")
    return neighbours if isinstance(neighbours, dict) else None


def _parse_cost(
    cost: Any,
    site: str,
    other: str,
    all_sites: Mapping[str, Any],
    site_path: str,
    errors: list[str],
) -> float:
    path = f"{site_path}.neighbours.{other}"
    if other == site:
        errors.append(f"{path}: a site is not its own neighbour")
    elif other not in all_sites:
        errors.append(f"{path}: no such site")
    parsed: float = _parse(cost, Cost, path, errors)
    return parsed


def _parse_limits(raw: Any, path: str, errors: list[str]) -> Limits:
    if not isinstance(raw, dict):
        errors.append(f"{path}: must be an object")
        return Limits()
    field_types = {
        limit.name: float if limit.name == "drift" else int for limit in fields(Limits)
    }
    errors += [f"{path}.{name}: unknown" for name in raw if name not in field_types]
    errors_before = len(errors)
    values = {
        name: _parse(value, field_types[name], f"{path}.{name}", errors)
        for name, value in raw.items()
        if name in field_types
    }
    if len(errors) > errors_before:
        return Limits()
    limits = Limits(**values)
    errors += [f"{path}.{error}" for error in limits.validation_errors()]
    return limits
