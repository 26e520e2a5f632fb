"""The `fleet` object of a configuration: parsing, with all faults and their paths.

The module is imported only where a configuration has that object, because it needs
msgspec.
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
"""Limit of `peers`: the largest fleet has 540 forwarders, and may grow. A peer takes 150
bytes.
"""
FLEET_RESTART_FIELDS = ("name", "site", "drift", "listen", "peers")
"""Fields of FleetConfig whose change takes effect only at a restart."""
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Calls = Annotated[int, Meta(ge=0, le=1 << 40)]


class RawBudget(Struct):
    """The schema of an element of `budgets` in the file."""

    destination: Annotated[int, Meta(ge=0, lt=1 << 31)]
    span_ms: Annotated[int, Meta(ge=1, le=86_400_000)]
    calls: Annotated[int, Meta(ge=1, le=1 << 40)]
    """Calls of the whole fleet in every span."""
    members: Annotated[int, Meta(ge=1, le=100_000)]
    """Number of members that keep the reserve: together at most `calls`."""
    reserve: Calls = 0
    """Calls of each member in every span without a share."""


class RawFleet(Struct):
    """The schema of the `fleet` object in the file."""

    service: str
    site: Name
    name: Name = "-"
    """The member's name; without the key, the forwarder's name replaces this default."""
    lease_ms: Annotated[int, Meta(ge=100, le=60_000)] = 3_000
    drift: Annotated[float, Meta(ge=0.0, lt=0.5)] = 0.02
    listen: str = ""
    peers: Annotated[dict[str, Any], Meta(max_length=MAX_PEERS)] = {}
    budgets: Annotated[list[Any], Meta(max_length=MAX_BUDGETS)] = []


@dataclass(frozen=True, slots=True)
class BudgetReserve:
    """A configured budget, with the reserve that needs no share from the service."""

    destination: int
    reserve: int
    """Calls that this forwarder may send in every span without a share."""
    span_us: int
    calls: int
    """Calls that the whole fleet may send in every span."""


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The parsed `fleet` object: this forwarder's membership of a fleet."""

    service: Address
    """The list service's address for members."""
    name: str
    site: str
    lease_us: int
    """Expected length of a lease, until the service's first grant gives the real one."""
    drift: float
    """Maximum relative difference of two clocks' rates."""
    listen: Address | None
    """The address advertised to the list service; None: the forwarder's own `listen`."""
    peers: tuple[tuple[str, Address], ...]
    """Name and address of each peer, sorted by name."""
    budgets: tuple[BudgetReserve, ...]


def parse_fleet(raw: Any, name: str) -> FleetConfig:
    """Parse the `fleet` object of a configuration.

    Args:
        raw: The object.
        name: The forwarder's name, which is the member's name unless the object has one.

    Raises:
        FleetConfigError: The object is invalid; the error holds all faults.
    """
    faults: list[ConfigFault] = []
    document = _convert_struct(raw, RawFleet, "fleet", faults)
    budgets = [
        _convert_struct(entry, RawBudget, f"fleet.budgets[{index}]", faults)
        for index, entry in enumerate(document.get("budgets", []))
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
    """Convert budgets, and add faults that concern several fields or several budgets.

    Budgets that lack a field, because its conversion failed, are skipped.
    """
    reserves: dict[int, BudgetReserve] = {}
    for index, budget in enumerate(budgets):
        if len(budget) < len(RawBudget.__struct_fields__):
            continue
        path = f"fleet.budgets[{index}]"
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
    """Convert an object to a struct's fields, and add its faults to `faults`.

    msgspec stops at the first fault. If there is one, the fields are therefore
    converted one by one.

    Returns:
        The fields that could be converted, with defaults for those that are absent.
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
    """Return the default of a field that is not required."""
    if field.default is not msgspec.NODEFAULT:
        return field.default
    return field.default_factory()


def _parse_address(text: Any, path: str, faults: list[ConfigFault]) -> Address:
    """Parse an address; if it is invalid, add a fault and return a placeholder."""
    try:
        return parse_address(text)
    except (MalformedInputError, ValueError) as error:
        faults.append(ConfigFault(path, str(error)))
        return Address("", 0)


def merge_fleet_config(
    old: FleetConfig, new: FleetConfig
) -> tuple[FleetConfig, list[str]]:
    """Apply those fields of a new configuration that need no restart.

    Returns:
        The old configuration with the new values of these fields, and the paths of the
        changed fields that need a restart.
    """
    merged = replace(
        old, service=new.service, lease_us=new.lease_us, budgets=new.budgets
    )
    needs_restart = [
        f"fleet.{name}"
        for name in FLEET_RESTART_FIELDS
        if getattr(old, name) != getattr(new, name)
    ]
    return merged, needs_restart
