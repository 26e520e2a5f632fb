"""The `fleet` object of a configuration: checked whole, every fault with its path.

Imported only where a configuration names it, as it brings msgspec with it.
"""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, ValidationError, structs

from rainfall.budget.config import MAX_BUDGETS
from rainfall.forwarder.config.address import Address, parse_address
from rainfall.forwarder.config.errors import FleetConfigError
from rainfall.wirehost import MalformedInputError

MAX_PEERS = 10_000  # a fleet of 540 forwarders and room to grow; 150 bytes each
RESTART_FIELDS = ("name", "site", "drift", "listen", "peers")
"""What only a start can change."""
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Calls = Annotated[int, Meta(ge=0, le=1 << 40)]


class RawBudget(Struct):
    destination: Annotated[int, Meta(ge=0, lt=1 << 31)]
    span_ms: Annotated[int, Meta(ge=1, le=86_400_000)]
    calls: Annotated[int, Meta(ge=1, le=1 << 40)]
    members: Annotated[int, Meta(ge=1, le=100_000)]
    reserve: Calls = 0


class RawFleet(Struct):
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
    """What this forwarder may send of a destination's whole while it has not been told
    of a share.
    """

    destination: int
    reserve: int
    span_us: int
    calls: int
    """The whole."""


@dataclass(frozen=True, slots=True)
class FleetConfig:
    service: Address
    """The list service's fleet address."""
    name: str
    site: str
    lease_us: int
    """Assumed until the service tells its own."""
    drift: float
    listen: Address | None
    peers: tuple[tuple[str, Address], ...]
    budgets: tuple[BudgetReserve, ...]


def parse_fleet(raw: Any, name: str) -> FleetConfig:
    """The object that stands at `fleet`, of the forwarder `name`.

    Raises FleetConfigError with all faults.
    """
    faults: list[tuple[str, str]] = []
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
        faults.append(("fleet.service", "not an address: ''"))
    peers = tuple(
        (peer, _parse_address(dial, f"fleet.peers.{peer}", faults))
        for peer, dial in sorted(document.get("peers", {}).items())
    )
    found: dict[int, BudgetReserve] = {}
    for n, b in enumerate(budgets):
        if len(b) < len(RawBudget.__struct_fields__):
            continue  # a part of it is at fault already
        where = f"fleet.budgets[{n}]"
        if b["destination"] in found:
            faults.append(
                (f"{where}.destination", f"{b['destination']} has a budget already")
            )
        if b["reserve"] * b["members"] > b["calls"]:
            faults.append(
                (
                    f"{where}.reserve",
                    f"{b['reserve']} for each of {b['members']} members are "
                    f"{b['reserve'] * b['members']}, more than the whole of {b['calls']}",
                )
            )
        found[b["destination"]] = BudgetReserve(
            b["destination"], b["reserve"], b["span_ms"] * 1000, b["calls"]
        )
    if faults:
        raise FleetConfigError(faults)
    return FleetConfig(
        addresses["service"],
        document["name"] if "name" in raw else name,
        document["site"],
        document["lease_ms"] * 1000,
        document["drift"],
        addresses.get("listen"),
        peers,
        tuple(found.values()),
    )


def _convert_struct(
    raw: Any, kind: type[Struct], path: str, faults: list[tuple[str, str]]
) -> dict[str, Any]:
    """The fields that convert, defaults in place of missing ones. msgspec stops at a
    fault, so where there is one they are taken one by one.
    """
    if not isinstance(raw, dict):
        faults.append((path, "not an object"))
        return {}
    with suppress(ValidationError):
        return structs.asdict(msgspec.convert(raw, kind))
    converted: dict[str, Any] = {}
    for field in structs.fields(kind):
        where = f"{path}.{field.name}"
        if field.name in raw:
            try:
                converted[field.name] = msgspec.convert(raw[field.name], field.type)
            except ValidationError as error:
                text, _, inner = str(error).partition(" - at `$")
                faults.append((where + inner.rstrip("`"), text))
        elif field.required:
            faults.append((where, "missing"))
        else:
            converted[field.name] = (
                field.default
                if field.default is not msgspec.NODEFAULT
                else (field.default_factory())
            )
    return converted


def _parse_address(text: Any, path: str, faults: list[tuple[str, str]]) -> Address:
    try:
        return parse_address(text)
    except (MalformedInputError, ValueError) as error:
        faults.append((path, str(error)))
        return Address("", 0)


def merge_fleet_config(
    old: FleetConfig, new: FleetConfig
) -> tuple[FleetConfig, list[str]]:
    """What of a new one can be in force now, and the paths of what waits for a start."""
    return (
        replace(old, service=new.service, lease_us=new.lease_us, budgets=new.budgets),
        [
            f"fleet.{name}"
            for name in RESTART_FIELDS
            if getattr(old, name) != getattr(new, name)
        ],
    )
