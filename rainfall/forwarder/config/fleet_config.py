"""The `fleet` object of a configuration: checked completely, each fault with its path.

It is imported only where a configuration has that object, as it imports msgspec.
"""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, ValidationError, structs

from rainfall.budget.config import MAX_BUDGETS
from rainfall.forwarder.config.address import Address, parse_address
from rainfall.forwarder.config.errors import ConfigFault, FleetConfigError
from rainfall.forwarder.units import US_PER_MS
from rainfall.wirehost import MalformedInputError

MAX_PEERS = 10_000
"""The largest fleet has 540 forwarders, and may grow; each takes 150 bytes."""
RESTART_FIELDS = ("name", "site", "drift", "listen", "peers")
"""Fields that only a restart changes."""
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Calls = Annotated[int, Meta(ge=0, le=1 << 40)]


class RawBudget(Struct):
    """An element of `budgets` as it stands in the file."""

    destination: Annotated[int, Meta(ge=0, lt=1 << 31)]
    span_ms: Annotated[int, Meta(ge=1, le=86_400_000)]
    calls: Annotated[int, Meta(ge=1, le=1 << 40)]
    members: Annotated[int, Meta(ge=1, le=100_000)]
    reserve: Calls = 0


class RawFleet(Struct):
    """The object as it stands in the file."""

    service: str
    site: Name
    name: Name = "-"
    lease_ms: Annotated[int, Meta(ge=100, le=60_000)] = 3_000
    drift: Annotated[float, Meta(ge=0.0, lt=0.5)] = 0.02
    listen: str = ""
    peers: Annotated[dict[str, Any], Meta(max_length=MAX_PEERS)] = {}
    budgets: Annotated[list[Any], Meta(max_length=MAX_BUDGETS)] = []


@dataclass(frozen=True, slots=True)
class BudgetReserve:
    """What this forwarder may send to a destination before it is granted a share."""

    destination: int
    reserve: int
    """Calls of this forwarder in each span."""
    span_us: int
    calls: int
    """Calls of the whole fleet in each span."""


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """How this forwarder is a member of a fleet."""

    service: Address
    """The list service's fleet address."""
    name: str
    site: str
    lease_us: int
    """Length of a lease, until the service grants one of its own length."""
    drift: float
    """Relative rate by which two clocks may differ."""
    listen: Address | None
    peers: tuple[tuple[str, Address], ...]
    budgets: tuple[BudgetReserve, ...]


def parse_fleet(raw: Any, name: str) -> FleetConfig:
    """Read the `fleet` object of the forwarder `name`.

    Raises:
        FleetConfigError: It is invalid; all its faults are named.
    """
    faults: list[ConfigFault] = []
    document = _convert_struct(raw, RawFleet, "fleet", faults)
    budgets = [
        _convert_struct(entry, RawBudget, f"fleet.budgets[{n}]", faults)
        for n, entry in enumerate(document.get("budgets", []))
    ]
    addresses = {
        key: _parse_address(document[key], f"fleet.{key}", faults)
        for key in ("service", "listen")
        if document.get(key)
    }
    if "service" in document and not document["service"]:
        faults.append(ConfigFault("fleet.service", "not an address: ''"))
    peers = tuple(
        (peer, _parse_address(dial, f"fleet.peers.{peer}", faults))
        for peer, dial in sorted(document.get("peers", {}).items())
    )
    reserves = _read_reserves(budgets, faults)
    if faults:
        raise FleetConfigError(faults)
    return FleetConfig(
        service=addresses["service"],
        name=document["name"] if "name" in raw else name,
        site=document["site"],
        lease_us=document["lease_ms"] * US_PER_MS,
        drift=document["drift"],
        listen=addresses.get("listen"),
        peers=peers,
        budgets=reserves,
    )


def _read_reserves(
    budgets: list[dict[str, Any]], faults: list[ConfigFault]
) -> tuple[BudgetReserve, ...]:
    """Check budgets against each other; one with a fault already is left out."""
    reserves: dict[int, BudgetReserve] = {}
    for n, budget in enumerate(budgets):
        if len(budget) < len(RawBudget.__struct_fields__):
            continue
        path = f"fleet.budgets[{n}]"
        destination = budget["destination"]
        if destination in reserves:
            faults.append(
                ConfigFault(
                    f"{path}.destination", f"{destination} has a budget already"
                )
            )
        reserved = budget["reserve"] * budget["members"]
        if reserved > budget["calls"]:
            faults.append(
                ConfigFault(
                    f"{path}.reserve",
                    f"{budget['reserve']} for each of {budget['members']} members are "
                    f"{reserved}, more than the whole of {budget['calls']}",
                )
            )
        reserves[destination] = BudgetReserve(
            destination,
            budget["reserve"],
            budget["span_ms"] * US_PER_MS,
            budget["calls"],
        )
    return tuple(reserves.values())


def _convert_struct(
    raw: Any, kind: type[Struct], path: str, faults: list[ConfigFault]
) -> dict[str, Any]:
    """Return the fields that can be converted, with defaults for missing ones.

    msgspec stops at the first fault, so where there is one, fields are converted one by
    one.
    """
    if not isinstance(raw, dict):
        faults.append(ConfigFault(path, "not an object"))
        return {}
    with suppress(ValidationError):
        return structs.asdict(msgspec.convert(raw, kind))
    converted: dict[str, Any] = {}
    for field in structs.fields(kind):
        field_path = f"{path}.{field.name}"
        if field.name in raw:
            try:
                converted[field.name] = msgspec.convert(raw[field.name], field.type)
            except ValidationError as error:
                text, _, inner_path = str(error).partition(" - at `$")
                faults.append(ConfigFault(field_path + inner_path.rstrip("`"), text))
        elif field.required:
            faults.append(ConfigFault(field_path, "missing"))
        else:
            converted[field.name] = _default_of(field)
    return converted


def _default_of(field: structs.FieldInfo) -> Any:
    if field.default is not msgspec.NODEFAULT:
        return field.default
    return field.default_factory()


def _parse_address(text: Any, path: str, faults: list[ConfigFault]) -> Address:
    """Read an address, or note a fault and return an address that is never used."""
    try:
        return parse_address(text)
    except (MalformedInputError, ValueError) as error:
        faults.append(ConfigFault(path, str(error)))
        return Address("", 0)


def merge_fleet_config(
    old: FleetConfig, new: FleetConfig
) -> tuple[FleetConfig, list[str]]:
    """Return what can be active now of a new one, and the paths that need a restart."""
    merged = replace(
        old, service=new.service, lease_us=new.lease_us, budgets=new.budgets
    )
    needs_restart = [
        f"fleet.{name}"
        for name in RESTART_FIELDS
        if getattr(old, name) != getattr(new, name)
    ]
    return merged, needs_restart
