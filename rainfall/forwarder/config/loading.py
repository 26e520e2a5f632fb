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
from rainfall.forwarder.config.address import Address as Address
from rainfall.forwarder.config.address import parse_address
from rainfall.forwarder.config.errors import ConfigError as ConfigError
from rainfall.forwarder.config.errors import FleetConfigError as FleetConfigError
from rainfall.wirehost import (
    MalformedInputError,
    parse_entry,
    parse_settings,
    require_field,
)

if TYPE_CHECKING:
    from rainfall.forwarder.config.fleet_config import FleetConfig

OPTIONAL_KEYS = frozenset(
    {
        "settings.services[].by_arrival",
        "settings.services[].aim_stretch",
        "settings.contract.key_rest_us",
        "settings.prices.fleet",
    }
)
"""What the wire's page calls optional: a new file that lacks it takes it back."""
WIRE_STATE_BY_HEALTH = {"up": "SERVING", "draining": "DRAINING", "removed": "DELETED"}


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One target as discovery lists it."""

    name: str
    address: Address
    destination: int
    health: str
    raw: dict[str, Any]

    def to_entry(self, endpoint_id: int) -> EndpointEntry:
        """The module's entry, by way of the adapter's own translation."""
        return parse_entry(
            {
                "target": endpoint_id,
                "hall": self.raw.get("site"),
                "kind": self.raw.get("class"),
                "belongs_to": self.destination,
                "readiness": WIRE_STATE_BY_HEALTH[self.health],
                "power_hint": require_field(self.raw, "share", float)
                if "share" in self.raw
                else 0.0,
            }
        )


@dataclass(frozen=True, slots=True)
class EndpointList:
    version: int
    complete: bool
    endpoints: tuple[ListedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    memory_mb: int
    max_sockets: int
    disk_bytes: int
    known_endpoints: EndpointList
    settings: Settings
    report_fields: tuple[str, ...]
    admin: Address | None = None
    """Where operators call; None where that is not wanted."""
    inherited_fd: int | None = None
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


def parse_descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise MalformedInputError(f"LB_INHERITED_FD is no descriptor: {text!r}")
    try:
        os.fstat(int(text))
    except (OSError, OverflowError):
        raise MalformedInputError(f"LB_INHERITED_FD is not open: {text}") from None
    return int(text)


def parse_durability(level: Any) -> bool:
    if level not in ("process", "power"):
        raise MalformedInputError(f"durability is 'process' or 'power', not {level!r}")
    return bool(level == "power")


def parse_log_format(name: Any) -> bool:
    if name not in ("plain", "json"):
        raise MalformedInputError(f"log_format is 'plain' or 'json', not {name!r}")
    return bool(name == "json")


def load_report_fields(telemetry: Mapping[str, Any]) -> tuple[str, ...]:
    """What answers to calls report; nothing where only probes' answers do, or none."""
    return (
        ()
        if telemetry.get("how") in ("pull", "silent")
        else tuple(telemetry.get("fields") or ())
    )


def parse_fleet_section(raw: Any, name: str) -> FleetConfig | None:
    """Read by what only a configuration that has one imports. Raises ConfigError."""
    if raw is None:
        return None
    try:
        from rainfall.forwarder.config.fleet_config import parse_fleet
    except ImportError as error:
        raise ConfigError(
            f"'fleet' needs what requirements.txt names: {error}"
        ) from None
    return parse_fleet(raw, name)


def parse_endpoint(raw: Any) -> ListedEndpoint:
    health = require_field(raw, "health", str)
    if health not in WIRE_STATE_BY_HEALTH:
        raise MalformedInputError(f"unknown health {health!r}")
    made = ListedEndpoint(
        require_field(raw, "host", str),
        parse_address(require_field(raw, "dial", str)),
        require_field(raw, "block", int),
        health,
        raw,
    )
    weight = made.to_entry(
        0
    ).weight  # a bad line must be found here, not in the middle of a round
    if not 0 <= weight < 1e9:
        raise MalformedInputError(f"share out of range in the line of {made.name!r}")
    return made


def parse_endpoint_list(document: Any) -> EndpointList:
    """One answer of discovery, or Malformed."""
    return EndpointList(
        require_field(document, "seq", int),
        require_field(document, "whole", bool),
        tuple(parse_endpoint(raw) for raw in require_field(document, "hosts", list)),
    )


def without_toggled_fleet(
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


def first_missing_key(old: Any, new: Any, path: str = "") -> str:
    """The first key that the file in force has and the new one lacks; of named entries,
    each needs the keys that all of those in force share. Without this a default would
    stand in for what was cut off.
    """
    if isinstance(old, Mapping):
        if not isinstance(new, Mapping):
            return path
        for key, value in old.items():
            name = f"{path}.{key}".lstrip(".")
            if key not in new:
                if name in OPTIONAL_KEYS:
                    continue
                return name
            if value is not None and (
                found := first_missing_key(value, new[key], name)
            ):
                return found
    elif isinstance(old, list) and old and all(isinstance(e, Mapping) for e in old):
        if not isinstance(new, list):
            return path
        shared = set.intersection(*(set(e) for e in old))
        for entry in new:
            for key in sorted(shared):
                if not isinstance(entry, Mapping) or (
                    key not in entry and f"{path}[].{key}" not in OPTIONAL_KEYS
                ):
                    return f"{path}[].{key}"
    return ""


def load_replacement(old: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration read again, whole, or ConfigError."""
    new = load(environ)
    if missing := first_missing_key(*without_toggled_fleet(old.raw, new.raw)):
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
        document = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read {path}: {error}") from None
    return parse_config(document, environ, f" in {path}")


def parse_config(document: Any, environ: Mapping[str, str], origin: str = "") -> Config:
    """The configuration that the text of a file stands for."""
    try:
        limits = document.get("limits") or {}
        facts = require_field(document, "settings", dict)
        state = environ.get("LB_STATE")
        admin = environ.get("LB_ADMIN_ADDR") or document.get("admin_addr")
        name = environ.get("LB_NAME") or require_field(document, "name", str)
        if not state:
            raise ConfigError("LB_STATE is not set")
        return Config(
            name=name,
            listen=parse_address(
                environ.get("LB_LISTEN") or require_field(document, "listen", str)
            ),
            # The file first: it can be replaced while the process runs (SIGHUP), its
            # environment cannot.
            discovery=parse_address(
                document.get("discovery") or environ.get("LB_DISCOVERY")
            ),
            state=Path(state),
            seed=zlib.crc32(str(document.get("seed", "")).encode()),
            memory_mb=int(limits.get("memory_mb", 192)),
            max_sockets=int(limits.get("sockets", 1024)),
            disk_bytes=int(float(limits.get("disk_mb", 3)) * 1_000_000),
            known_endpoints=parse_endpoint_list(
                document.get("known") or {"seq": -1, "whole": True, "hosts": []}
            ),
            settings=parse_settings(facts),
            report_fields=load_report_fields(facts.get("telemetry") or {}),
            admin=parse_address(admin) if admin else None,
            inherited_fd=parse_descriptor(environ.get("LB_INHERITED_FD")),
            power=parse_durability(document.get("durability", "process")),
            log_json=parse_log_format(document.get("log_format", "plain")),
            fleet=parse_fleet_section(document.get("fleet"), name),
            raw={**document, "known": None},
        )
    except FleetConfigError as error:
        raise ConfigError(f"bad configuration{origin}: {error}") from None
    except (MalformedInputError, ValueError, TypeError, AttributeError) as error:
        text = " ".join(str(error).split())
        raise ConfigError(f"bad configuration{origin}: {text}") from None
