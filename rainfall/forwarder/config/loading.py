"""Loading of the configuration from the file LB_CONFIG names, and from the environment.

It is loaded at the start and again on SIGHUP. Endpoint lists are parsed here, too, as
the configuration may contain one.
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
        # Unused, but the platform's files contain it, and their replacements may omit it.
        "settings.services[].aim_stretch",
        "settings.contract.key_rest_us",
        "settings.prices.fleet",
    }
)
"""Paths of keys that the wire format calls optional: a replacement file may omit them,
which unsets them.
"""
WIRE_STATE_BY_HEALTH = {"up": "SERVING", "draining": "DRAINING", "removed": "DELETED"}
"""The endpoint state in the simulator's wire format, by the `health` that discovery
lists.
"""
WEIGHT_LIMIT = 1e9
"""Every weight of an endpoint is below this."""
BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 192
"""Memory limit of the process."""
DEFAULT_SOCKETS = 1024
"""Limit of the process's file descriptors."""
DEFAULT_DISK_MB = 3
"""Limit of the state directory."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One endpoint of discovery's list."""

    name: str
    address: Address
    destination: int
    health: str
    """A key of WIRE_STATE_BY_HEALTH."""
    raw: dict[str, Any]
    """The element of the list as received."""

    def to_entry(self, endpoint_id: int) -> EndpointEntry:
        """Convert the endpoint to an entry for the dispatcher.

        The element is translated to the simulator's wire format, whose parser then
        makes the entry.

        Raises:
            MalformedInputError: A field of the element is malformed.
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
    """True if it lists all endpoints, False if only the changed ones."""
    endpoints: tuple[ListedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """A forwarder's configuration."""

    name: str
    listen: Address
    """Address for clients."""
    discovery: Address
    """Address of the discovery agent."""
    state: Path
    """Directory of the journal and of all other persisted state."""
    seed: int
    """Seed of the random numbers of the dispatcher and of backoff delays."""
    memory_mb: int
    """Limit of the process's memory."""
    max_sockets: int
    """Limit of the process's file descriptors."""
    disk_bytes: int
    """Limit of the state directory."""
    known_endpoints: EndpointList
    """The endpoint list to start with, unless the journal has a newer one."""
    settings: Settings
    report_fields: tuple[str, ...]
    """Fields of the load reports in responses to calls, in their order."""
    admin: Address | None = None
    """Address for operators; None without one."""
    inherited_fd: int | None = None
    """File descriptor of the clients' listening socket, if the platform opened it."""
    power: bool = False
    """Whether accepted messages survive a power failure, not only the process's end."""
    log_json: bool = False
    """Whether to log as JSON, with a line for each message's arrival, sending and end
    (``log_format = "json"``).
    """
    fleet: FleetConfig | None = None
    """Membership of a fleet; None without one."""
    raw: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)
    """The file's document without the endpoint list.

    A file that replaces it must have the same keys.
    """


def parse_descriptor(text: str | None) -> int | None:
    """Parse LB_INHERITED_FD, the number of an open file descriptor.

    Returns:
        The number; None if `text` is empty or None.

    Raises:
        MalformedInputError: It is not a number, or the descriptor is not open.
    """
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise MalformedInputError(
            f"LB_INHERITED_FD is not a file descriptor number: {text!r}"
        )
    try:
        os.fstat(int(text))
    except (OSError, OverflowError):
        raise MalformedInputError(
            f"LB_INHERITED_FD is not an open file descriptor: {text}"
        ) from None
    return int(text)


def parse_durability(level: Any) -> bool:
    """Parse `durability`.

    Returns:
        Whether accepted messages must survive a power failure.

    Raises:
        MalformedInputError: The level is unknown.
    """
    if level not in ("process", "power"):
        raise MalformedInputError(f"durability is 'process' or 'power', not {level!r}")
    return bool(level == "power")


def parse_log_format(name: Any) -> bool:
    """Parse `log_format`.

    Returns:
        Whether log lines are JSON.

    Raises:
        MalformedInputError: The format is unknown.
    """
    if name not in ("plain", "json"):
        raise MalformedInputError(f"log_format is 'plain' or 'json', not {name!r}")
    return bool(name == "json")


def load_report_fields(telemetry: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the fields of the load reports in responses to calls.

    There are none if only health checks report the load, or nothing does.
    """
    if telemetry.get("how") in ("pull", "silent"):
        return ()
    return tuple(telemetry.get("fields") or ())


def parse_fleet_section(raw: Any, name: str) -> FleetConfig | None:
    """Parse the `fleet` object; its parser is imported only if there is one.

    Args:
        raw: The object; None without one.
        name: The forwarder's name.

    Raises:
        ConfigError: The object is invalid, or a required package is not installed.
    """
    if raw is None:
        return None
    try:
        from rainfall.forwarder.config.fleet_config import parse_fleet
    except ImportError as error:
        raise ConfigError(
            f"'fleet' requires the packages in requirements.txt: {error}"
        ) from None
    return parse_fleet(raw, name)


def parse_endpoint(raw: Any) -> ListedEndpoint:
    """Parse one element of discovery's list.

    Raises:
        MalformedInputError: A field is missing, malformed or out of range.
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
    # The engine converts the element in the middle of a round, where an error could not
    # be handled: it is detected here.
    weight = endpoint.to_entry(0).weight
    if not 0 <= weight < WEIGHT_LIMIT:
        raise MalformedInputError(
            f"share of endpoint {endpoint.name!r} out of range: {weight}"
        )
    return endpoint


def parse_endpoint_list(document: Any) -> EndpointList:
    """Parse one answer of discovery.

    Raises:
        MalformedInputError: A field is missing or malformed.
    """
    return EndpointList(
        require_field(document, "seq", int),
        require_field(document, "whole", bool),
        tuple(parse_endpoint(raw) for raw in require_field(document, "hosts", list)),
    )


def without_toggled_fleet(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[Mapping[str, Any], Mapping[str, Any]]:
    """Remove `fleet` from both documents if only one of them has it.

    To add or remove the object is allowed, but takes effect only at a restart.
    """
    if (old.get("fleet") is None) is (new.get("fleet") is None):
        return old, new
    return _without_fleet(old), _without_fleet(new)


def _without_fleet(raw: Mapping[str, Any]) -> Mapping[str, Any]:
    return {key: value for key, value in raw.items() if key != "fleet"}


def first_missing_key(old: Any, new: Any, path: str = "") -> str:
    """Return the path of the first key that is in the old document but not in the new.

    In a list of objects, each new entry needs the keys that all old entries have.
    Without this check, a truncated file would be accepted, with defaults in place of
    the missing keys.

    Returns:
        The path; "" if no key is missing.
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
        key_path = f"{path}.{key}".lstrip(".")
        if key not in new:
            if key_path in OPTIONAL_KEYS:
                continue
            return key_path
        if value is not None:
            missing = first_missing_key(value, new[key], key_path)
            if missing:
                return missing
    return ""


def _missing_in_entries(old: list[Mapping[str, Any]], new: Any, path: str) -> str:
    if not isinstance(new, list):
        return path
    shared_keys = set.intersection(*(set(entry) for entry in old))
    for entry in new:
        for key in sorted(shared_keys):
            key_path = f"{path}[].{key}"
            if not isinstance(entry, Mapping) or (
                key not in entry and key_path not in OPTIONAL_KEYS
            ):
                return key_path
    return ""


def load_replacement(old: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """Load a configuration that is to replace the old one.

    Raises:
        ConfigError: It is invalid, or lacks a key that the old one has.
    """
    new = load_config(environ)
    missing = first_missing_key(*without_toggled_fleet(old.raw, new.raw))
    if missing:
        raise ConfigError(f"bad configuration: {missing} is missing")
    return new


def load_config(environ: Mapping[str, str] = os.environ) -> Config:
    """Load the configuration from the file that LB_CONFIG names.

    Values in the environment take precedence over those in the file, except for
    discovery's address.

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
    """Parse the configuration from a file's document and the environment.

    Args:
        document: The decoded JSON of the file.
        environ: The environment variables.
        origin: " in PATH", which errors append to name the file; or "".

    Raises:
        ConfigError: The configuration is invalid.
    """
    try:
        return _read_config(document, environ)
    except FleetConfigError as error:
        raise ConfigError(f"bad configuration{origin}: {error}") from None
    except (MalformedInputError, ValueError, TypeError, AttributeError) as error:
        text = " ".join(str(error).split())
        raise ConfigError(f"bad configuration{origin}: {text}") from None


def _read_config(document: Any, environ: Mapping[str, str]) -> Config:
    """Parse the configuration; errors of the parts' parsers are not converted."""
    limits = document.get("limits") or {}
    raw_settings = require_field(document, "settings", dict)
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
        # The file takes precedence, because it can be replaced while the process runs
        # (SIGHUP), unlike the environment.
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
        settings=parse_settings(raw_settings),
        report_fields=load_report_fields(raw_settings.get("telemetry") or {}),
        admin=parse_address(admin) if admin else None,
        inherited_fd=parse_descriptor(environ.get("LB_INHERITED_FD")),
        power=parse_durability(document.get("durability", "process")),
        log_json=parse_log_format(document.get("log_format", "plain")),
        fleet=parse_fleet_section(document.get("fleet"), name),
        raw={**document, "known": None},
    )
