"""What a forwarder is told: LB_CONFIG and the environment, checked at the start and on
SIGHUP.
"""

from __future__ import annotations

import json
import os
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from rainfall.dispatch import EndpointEntry, Settings
from rainfall.net.address import Address as Address
from rainfall.net.address import address
from rainfall.net.faults import ConfigError as ConfigError
from rainfall.net.faults import FleetFault as FleetFault
from rainfall.wirehost import Malformed, entry, need, settings

if TYPE_CHECKING:
    from rainfall.net.fleet_config import FleetConfig

OPTIONAL = frozenset(
    {
        "settings.services[].by_arrival",
        "settings.services[].aim_stretch",
        "settings.contract.key_rest_us",
        "settings.prices.fleet",
    }
)
"""What the wire's page calls optional: a new file that lacks it takes it back."""
HEALTH = {"up": "SERVING", "draining": "DRAINING", "removed": "DELETED"}


@dataclass(frozen=True, slots=True)
class Host:
    """One target as discovery lists it."""

    name: str
    dial: Address
    destination: int
    health: str
    raw: dict[str, Any]

    def entry(self, number: int) -> EndpointEntry:
        """The module's entry, by way of the adapter's own translation."""
        return entry(
            {
                "target": number,
                "hall": self.raw.get("site"),
                "kind": self.raw.get("class"),
                "belongs_to": self.destination,
                "readiness": HEALTH[self.health],
                "power_hint": need(self.raw, "share", float)
                if "share" in self.raw
                else 0.0,
            }
        )


@dataclass(frozen=True, slots=True)
class HostList:
    seq: int
    whole: bool
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    memory_mb: int
    sockets: int
    disk_bytes: int
    known: HostList
    settings: Settings
    report_fields: tuple[str, ...]
    admin: Address | None = None
    """Where operators call; None where that is not wanted."""
    inherited: int | None = None
    """The descriptor of the clients' listening socket, where the platform holds it."""
    power: bool = False
    """What is promised outlasts the machine, not only the process."""
    log_json: bool = False
    """Log lines as JSON, with a line for each message's arrival, send and end
    (``log_format = "json"``).
    """
    fleet: FleetConfig | None = None
    """This forwarder as a member of a fleet; None where none is named."""
    raw: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)
    """As it was read, but for the list: what a file that replaces it must have too."""


def descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise Malformed(f"LB_INHERITED_FD is no descriptor: {text!r}")
    try:
        os.fstat(int(text))
    except (OSError, OverflowError):
        raise Malformed(f"LB_INHERITED_FD is not open: {text}") from None
    return int(text)


def durability(level: Any) -> bool:
    if level not in ("process", "power"):
        raise Malformed(f"durability is 'process' or 'power', not {level!r}")
    return bool(level == "power")


def log_format(name: Any) -> bool:
    if name not in ("plain", "json"):
        raise Malformed(f"log_format is 'plain' or 'json', not {name!r}")
    return bool(name == "json")


def report_fields(telemetry: Mapping[str, Any]) -> tuple[str, ...]:
    """What answers to calls report; nothing where only probes' answers do, or none."""
    return (
        ()
        if telemetry.get("how") in ("pull", "silent")
        else tuple(telemetry.get("fields") or ())
    )


def fleet(raw: Any, name: str) -> FleetConfig | None:
    """Read by what only a configuration that has one imports. Raises ConfigError."""
    if raw is None:
        return None
    try:
        from rainfall.net.fleet_config import read
    except ImportError as error:
        raise ConfigError(
            f"'fleet' needs what requirements.txt names: {error}"
        ) from None
    return read(raw, name)


def host(raw: Any) -> Host:
    health = need(raw, "health", str)
    if health not in HEALTH:
        raise Malformed(f"unknown health {health!r}")
    made = Host(
        need(raw, "host", str),
        address(need(raw, "dial", str)),
        need(raw, "block", int),
        health,
        raw,
    )
    weight = made.entry(
        0
    ).weight  # a bad line must be found here, not in the middle of a round
    if not 0 <= weight < 1e9:
        raise Malformed(f"share out of range in the line of {made.name!r}")
    return made


def host_list(told: Any) -> HostList:
    """One answer of discovery, or Malformed."""
    return HostList(
        need(told, "seq", int),
        need(told, "whole", bool),
        tuple(host(raw) for raw in need(told, "hosts", list)),
    )


def comparable(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[Mapping[str, Any], Mapping[str, Any]]:
    """Without `fleet` where only one has it: to turn it on or off is no fault, and
    waits for a start.
    """
    if (old.get("fleet") is None) is (new.get("fleet") is None):
        return old, new
    return (
        {key: value for key, value in old.items() if key != "fleet"},
        {key: value for key, value in new.items() if key != "fleet"},
    )


def short_of(old: Any, new: Any, where: str = "") -> str:
    """The first key that the file in force has and the new one lacks; of named entries,
    each needs the keys that all of those in force share. Without this a default would
    stand in for what was cut off.
    """
    if isinstance(old, Mapping):
        if not isinstance(new, Mapping):
            return where
        for key, value in old.items():
            name = f"{where}.{key}".lstrip(".")
            if key not in new:
                if name in OPTIONAL:
                    continue
                return name
            if value is not None and (found := short_of(value, new[key], name)):
                return found
    elif isinstance(old, list) and old and all(isinstance(e, Mapping) for e in old):
        if not isinstance(new, list):
            return where
        shared = set.intersection(*(set(e) for e in old))
        for entry in new:
            for key in sorted(shared):
                if (
                    not isinstance(entry, Mapping)
                    or key not in entry
                    and f"{where}[].{key}" not in OPTIONAL
                ):
                    return f"{where}[].{key}"
    return ""


def replacement(old: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration read again, whole, or ConfigError."""
    new = load(environ)
    if missing := short_of(*comparable(old.raw, new.raw)):
        raise ConfigError(f"bad configuration: {missing} is missing")
    return new


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration; but for discovery the environment's names go before those in
    the file.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        told = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read {path}: {error}") from None
    return parse(told, environ, f" in {path}")


def parse(told: Any, environ: Mapping[str, str], where: str = "") -> Config:
    """The configuration that the text of a file stands for."""
    try:
        limits = told.get("limits") or {}
        facts = need(told, "settings", dict)
        state = environ.get("LB_STATE")
        admin = environ.get("LB_ADMIN_ADDR") or told.get("admin_addr")
        name = environ.get("LB_NAME") or need(told, "name", str)
        if not state:
            raise ConfigError("LB_STATE is not set")
        return Config(
            name=name,
            listen=address(environ.get("LB_LISTEN") or need(told, "listen", str)),
            # The file first: it can be replaced while the process runs (SIGHUP), its
            # environment cannot.
            discovery=address(told.get("discovery") or environ.get("LB_DISCOVERY")),
            state=Path(state),
            seed=zlib.crc32(str(told.get("seed", "")).encode()),
            memory_mb=int(limits.get("memory_mb", 192)),
            sockets=int(limits.get("sockets", 1024)),
            disk_bytes=int(float(limits.get("disk_mb", 3)) * 1_000_000),
            known=host_list(
                told.get("known") or {"seq": -1, "whole": True, "hosts": []}
            ),
            settings=settings(facts),
            report_fields=report_fields(facts.get("telemetry") or {}),
            admin=address(admin) if admin else None,
            inherited=descriptor(environ.get("LB_INHERITED_FD")),
            power=durability(told.get("durability", "process")),
            log_json=log_format(told.get("log_format", "plain")),
            fleet=fleet(told.get("fleet"), name),
            raw={**told, "known": None},
        )
    except FleetFault as error:
        raise ConfigError(f"bad configuration{where}: {error}") from None
    except (Malformed, ValueError, TypeError, AttributeError) as error:
        text = " ".join(str(error).split())
        raise ConfigError(f"bad configuration{where}: {text}") from None
