"""The table of sites and the rules of choosing: the configuration's `session`; all
faults with their paths.

{"sites": {"a": {"neighbours": {"b": 1.0, "c": 2.5}}, "b": {...}}, "at_once": 8,
"least_stay_ms": 5000,
 "pause_ms": 30000, "pair_ms": 10000, "over": 0.9, "under": 0.7, "limits": {"offer_us":
 200000, ...}}
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


@dataclass(frozen=True, slots=True)
class SessionConfig:
    sites: Mapping[str, Mapping[str, float]]
    """Each site's neighbours and what it costs to hand a session there."""
    at_once: int = 8
    least_stay_ms: int = 5_000
    """A session that came stays so long, but where its forwarder drains."""
    pause_ms: int = 30_000
    """For so long it is not handed back to the site that it came from, nor offered
    again where refused.
    """
    pair_ms: int = 10_000
    """After a site gave us sessions because it was over its budget, none goes there for
    that reason.
    """
    over: float = 0.9
    """Sessions go from this part of the budget on..."""
    under: float = 0.7
    """...until we are below this one; a neighbour has room while it would stay below
    it.
    """
    limits: Limits = field(default_factory=Limits)


class SessionConfigError(RainfallError, ValueError):
    """`faults`: all of them, each beginning with its path."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.errors = faults


def parse_config(raw: Any, path: str = "session") -> SessionConfig:
    """The table that `raw` (decoded JSON) says, or Malformed with every fault in it."""
    if not isinstance(raw, dict):
        raise SessionConfigError([f"{path}: must be an object"])
    faults = [
        f"{path}.{k}: unknown"
        for k in raw
        if k not in FIELD_TYPES and k not in ("sites", "limits")
    ]
    values: dict[str, Any] = {}
    for name, kind in FIELD_TYPES.items():
        if name in raw:
            values[name] = _value(raw[name], kind, f"{path}.{name}", faults)
    sites = _sites(raw.get("sites"), f"{path}.sites", faults)
    limits = _limits(raw.get("limits", {}), f"{path}.limits", faults)
    if faults:
        raise SessionConfigError(faults)
    table = SessionConfig(sites, limits=limits, **values)
    if table.under >= table.over:
        raise SessionConfigError([f"{path}.under: must be below over"])
    return table


def _value(raw: Any, kind: Any, path: str, faults: list[str]) -> Any:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        faults.append(f"{path}: {error}")
        return None


def _sites(raw: Any, path: str, faults: list[str]) -> dict[str, dict[str, float]]:
    if not isinstance(raw, dict) or not raw:
        faults.append(f"{path}: must be an object that names at least one site")
        return {}
    found: dict[str, dict[str, float]] = {}
    for site, entry in raw.items():
        at = f"{path}.{site}"
        near = (
            entry.get("neighbours")
            if isinstance(entry, dict) and len(entry) == 1
            else None
        )
        if not isinstance(near, dict):
            faults.append(
                f"{at}: must be an object with neighbours alone, themselves an object"
            )
            continue
        found[site] = {}
        for other, cost in near.items():
            to = f"{at}.neighbours.{other}"
            if other == site:
                faults.append(f"{to}: a site is not its own neighbour")
            elif other not in raw:
                faults.append(f"{to}: no such site")
            found[site][other] = _value(cost, Cost, to, faults)
    return found


def _limits(raw: Any, path: str, faults: list[str]) -> Limits:
    if not isinstance(raw, dict):
        faults.append(f"{path}: must be an object")
        return Limits()
    kinds = {f.name: float if f.name == "drift" else int for f in fields(Limits)}
    faults += [f"{path}.{k}: unknown" for k in raw if k not in kinds]
    before = len(faults)
    values = {
        k: _value(v, kinds[k], f"{path}.{k}", faults)
        for k, v in raw.items()
        if k in kinds
    }
    if len(faults) > before:
        return Limits()
    limits = Limits(**values)
    faults += [f"{path}.{fault}" for fault in limits.validation_errors()]
    return limits
