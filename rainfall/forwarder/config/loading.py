"""The configuration: LB_CONFIG and the environment, read at the start and on SIGHUP."""

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
        # Nothing reads it, but files of the platform have it, and a file that replaces
        # one may leave it out.
        "settings.services[].aim_stretch",
        "settings.contract.key_rest_us",
        "settings.prices.fleet",
    }
)
"""Keys that the wire's page calls optional: a file that lacks one withdraws it."""
WIRE_STATE_BY_HEALTH = {"up": "SERVING", "draining": "DRAINING", "removed": "DELETED"}
"""An endpoint's state on the simulator's wire by its health in discovery's list."""
WEIGHT_LIMIT = 1e9
"""Weights of endpoints are below this."""
BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
DEFAULT_DISK_MB = 3


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One endpoint as discovery lists it."""

    name: str
    address: Address
    destination: int
    health: str
    raw: dict[str, Any]
    """The element of the list, as it came."""

    def to_entry(self, endpoint_id: int) -> EndpointEntry:
        """Return the dispatcher's entry, by the translation of the wire's words.

        Raises:
            MalformedInputError: The element cannot be read.
        """
        weight = require_field(self.raw, "share", float) if "share" in self.raw else 0.0
        return parse_entry(
            {
                "target": endpoint_id,
                "hall": self.raw.get("site"),
                "kind": self.raw.get("class"),
                "belongs_to": self.destination,
                "readiness": WIRE_STATE_BY_HEALTH[self.health],
                "power_hint": weight,
            }
        )


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One answer of discovery: all endpoints, or the changes since a version."""

    version: int
    complete: bool
    """Whether it lists all endpoints."""
    endpoints: tuple[ListedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """A forwarder's configuration."""

    name: str
    listen: Address
    discovery: Address
    state: Path
    """Directory of the journal and of all other persisted state."""
    seed: int
    memory_mb: int
    max_sockets: int
    disk_bytes: int
    known_endpoints: EndpointList
    settings: Settings
    report_fields: tuple[str, ...]
    admin: Address | None = None
    """Address for operators; None without one."""
    inherited_fd: int | None = None
    """Descriptor of the clients' listening socket, where the platform holds it."""
    power: bool = False
    """Accepted messages survive a loss of power, not only the process's end."""
    log_json: bool = False
    """Log as JSON, with a line for each message's arrival, sending and end
    (``log_format = "json"``).
    """
    fleet: FleetConfig | None = None
    """This forwarder as a member of a fleet; None outside of one."""
    raw: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)
    """The file without the endpoint list: a file that replaces it needs the same keys."""


def parse_descriptor(text: str | None) -> int | None:
    """Read the number of an open descriptor, if there is one.

    Raises:
        MalformedInputError: It is no number, or the descriptor is not open.
    """
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
    """Whether accepted messages must survive a loss of power.

    Raises:
        MalformedInputError: The level is unknown.
    """
    if level not in ("process", "power"):
        raise MalformedInputError(f"durability is 'process' or 'power', not {level!r}")
    return bool(level == "power")


def parse_log_format(name: Any) -> bool:
    """Whether log lines are JSON.

    Raises:
        MalformedInputError: The format is unknown.
    """
    if name not in ("plain", "json"):
        raise MalformedInputError(f"log_format is 'plain' or 'json', not {name!r}")
    return bool(name == "json")


def load_report_fields(telemetry: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the fields that responses to calls report.

    There are none where only health checks report, or nothing does.
    """
    if telemetry.get("how") in ("pull", "silent"):
        return ()
    return tuple(telemetry.get("fields") or ())


def parse_fleet_section(raw: Any, name: str) -> FleetConfig | None:
    """Read the `fleet` object, whose reader is imported only where there is one.

    Raises:
        ConfigError: It is invalid, or cannot be read for want of a library.
    """
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
    """Read one element of discovery's list.

    Raises:
        MalformedInputError: The element cannot be read.
    """
    health = require_field(raw, "health", str)
    if health not in WIRE_STATE_BY_HEALTH:
        raise MalformedInputError(f"unknown health {health!r}")
    endpoint = ListedEndpoint(
        require_field(raw, "host", str),
        parse_address(require_field(raw, "dial", str)),
        require_field(raw, "block", int),
        health,
        raw,
    )
    # A malformed element must be found here, not in the middle of a round.
    weight = endpoint.to_entry(0).weight
    if not 0 <= weight < WEIGHT_LIMIT:
        raise MalformedInputError(
            f"share out of range in the line of {endpoint.name!r}"
        )
    return endpoint


def parse_endpoint_list(document: Any) -> EndpointList:
    """Read one answer of discovery.

    Raises:
        MalformedInputError: The answer cannot be read.
    """
    return EndpointList(
        require_field(document, "seq", int),
        require_field(document, "whole", bool),
        tuple(parse_endpoint(raw) for raw in require_field(document, "hosts", list)),
    )


def without_toggled_fleet(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[Mapping[str, Any], Mapping[str, Any]]:
    """Return both without `fleet` where only one has it.

    To add or to remove it is no fault; it waits for a restart.
    """
    if (old.get("fleet") is None) is (new.get("fleet") is None):
        return old, new
    return _without_fleet(old), _without_fleet(new)


def _without_fleet(raw: Mapping[str, Any]) -> Mapping[str, Any]:
    return {key: value for key, value in raw.items() if key != "fleet"}


def first_missing_key(old: Any, new: Any, path: str = "") -> str:
    """Return the path of the first key that the old file has and the new one lacks.

    Each named entry needs the keys that all of the old entries share. Without this
    check, a default would stand in for what was cut off. Returns "" if none is missing.
    """
    if isinstance(old, Mapping):
        return _missing_in_object(old, new, path)
    if isinstance(old, list) and old and all(isinstance(e, Mapping) for e in old):
        return _missing_in_entries(old, new, path)
    return ""


def _missing_in_object(old: Mapping[str, Any], new: Any, path: str) -> str:
    if not isinstance(new, Mapping):
        return path
    for key, value in old.items():
        name = f"{path}.{key}".lstrip(".")
        if key not in new:
            if name in OPTIONAL_KEYS:
                continue
            return name
        if value is not None:
            missing = first_missing_key(value, new[key], name)
            if missing:
                return missing
    return ""


def _missing_in_entries(old: list[Mapping[str, Any]], new: Any, path: str) -> str:
    if not isinstance(new, list):
        return path
    shared = set.intersection(*(set(entry) for entry in old))
    for entry in new:
        for key in sorted(shared):
            name = f"{path}[].{key}"
            if not isinstance(entry, Mapping) or (
                key not in entry and name not in OPTIONAL_KEYS
            ):
                return name
    return ""


def load_replacement(old: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration again.

    Raises:
        ConfigError: It is invalid, or lacks a key that the old one has.
    """
    new = load(environ)
    missing = first_missing_key(*without_toggled_fleet(old.raw, new.raw))
    if missing:
        raise ConfigError(f"bad configuration: {missing} is missing")
    return new


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration from the file that LB_CONFIG names.

    The environment's values take precedence over the file's, except for discovery's
    address.

    Raises:
        ConfigError: It is missing or invalid.
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
    """Read the configuration from a file's document and the environment.

    Args:
        document: The JSON of the file.
        environ: The environment.
        origin: Names the file in an error, with a space in front.

    Raises:
        ConfigError: It is invalid.
    """
    try:
        return _read_config(document, environ)
    except FleetConfigError as error:
        raise ConfigError(f"bad configuration{origin}: {error}") from None
    except (MalformedInputError, ValueError, TypeError, AttributeError) as error:
        text = " ".join(str(error).split())
        raise ConfigError(f"bad configuration{origin}: {text}") from None


def _read_config(document: Any, environ: Mapping[str, str]) -> Config:
    """Read the configuration; faults are raised as the readers of its parts do."""
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
        # The file takes precedence: it can be replaced while the process runs
        # (SIGHUP), its environment cannot.
        discovery=parse_address(
            document.get("discovery") or environ.get("LB_DISCOVERY")
        ),
        state=Path(state),
        seed=zlib.crc32(str(document.get("seed", "")).encode()),
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        max_sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
        disk_bytes=int(float(limits.get("disk_mb", DEFAULT_DISK_MB)) * BYTES_PER_MB),
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
