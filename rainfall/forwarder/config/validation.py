"""Validation of a configuration that is to replace the active one.

The report has every fault with its path, the changes, and the keys whose change needs a
restart. Nothing is applied. See docs/parts.md.
"""

from __future__ import annotations

import hashlib
import json
import math
import os
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from rainfall.forwarder.config.errors import (
    ConfigError,
    ConfigFault,
    FleetConfigError,
)
from rainfall.forwarder.config.loading import (
    OPTIONAL_KEYS,
    Config,
    parse_config,
    parse_fleet_section,
    without_toggled_fleet,
)

if TYPE_CHECKING:
    from rainfall.forwarder.config.fleet_config import FleetConfig

PER_FORWARDER_KEYS = ("name", "listen", "admin_addr", "known", "seed")
"""Keys whose values differ between forwarders; the digest ignores them."""
PER_FORWARDER_FLEET_KEYS = ("name", "site", "listen", "peers")
"""The same within `fleet`."""
MAX_REPORTED = 1_024
"""Limit of the faults, of the warnings and of the changes in a report; each takes about
100 bytes.
"""
MAX_DEPTH = 60
"""Nesting depth of the objects and lists whose contents are checked."""
RESTART_FIELDS = ("name", "listen", "state", "admin", "power", "log_json")
"""Fields of Config whose change takes effect only at a restart."""
KEY_BY_FIELD = {"admin": "admin_addr", "power": "durability", "log_json": "log_format"}
"""Keys in the file, by field of Config, where the two names differ."""
KNOWN_KEYS = {
    "": {
        "name",
        "listen",
        "discovery",
        "seed",
        "limits",
        "known",
        "settings",
        "admin_addr",
        "durability",
        "log_format",
        "fleet",
    },
    "fleet": {
        "service",
        "site",
        "name",
        "lease_ms",
        "drift",
        "listen",
        "peers",
        "budgets",
    },
    "fleet.budgets[]": {"destination", "reserve", "span_ms", "calls", "members"},
    "limits": {"cores", "memory_mb", "sockets", "disk_mb"},
    "settings.services[]": {
        "name",
        "aim_us",
        "deadline_us",
        "effect",
        "key_scope",
        "window_us",
        "by_arrival",
        "gain",
        "late_worth",
    },
    "settings.orgs[]": {"name", "allowance_per_s", "fraction"},
}
"""Known keys by the path of their object; other keys in it are reported as warnings."""
POSITIVE_KEYS = {
    "settings.services[].aim_us",
    "settings.services[].deadline_us",
    "settings.allowed.max_attempts",
    "settings.allowed.max_open",
    "settings.balancers",
    "settings.family_info.slots",
    "limits.memory_mb",
    "limits.sockets",
    "limits.disk_mb",
    "limits.cores",
}
"""Paths of numbers that must be above 0."""


@dataclass(slots=True)
class ValidationReport:
    """The faults of a configuration, and the changes that it would make."""

    parse_error: str = ""
    """Why the text is not a JSON object; empty if it is."""
    faults: list[dict[str, str]] = field(default_factory=list)
    """Faults as JSON, with the keys `path` and `fault`; at most MAX_REPORTED."""
    warnings: list[str] = field(default_factory=list)
    """Keys that are unknown to this version."""
    changes: list[str] = field(default_factory=list)
    """Paths of the values that differ from the active ones, some with an entry's name."""
    needs_restart: list[str] = field(default_factory=list)
    """Keys whose change takes effect only at a restart."""
    config: Config | None = None
    """The parsed configuration, if it is valid."""
    faults_by_path: dict[str, set[str]] = field(default_factory=dict, repr=False)
    """Texts of the faults by path."""

    def add_fault(self, path: str, text: str) -> None:
        """Add a fault, unless it is a duplicate or MAX_REPORTED is reached."""
        texts = self.faults_by_path.setdefault(path, set())
        if len(self.faults) < MAX_REPORTED and text not in texts:
            texts.add(text)
            self.faults.append(_fault_to_json(ConfigFault(path, text)))

    @property
    def valid(self) -> bool:
        """Whether the configuration can be applied."""
        return not self.parse_error and not self.faults

    def to_json(self) -> dict[str, Any]:
        """Return the report as JSON data, as `/_config/check` answers it."""
        if self.parse_error:
            return {
                "valid": False,
                "faults": [_fault_to_json(ConfigFault("", self.parse_error))],
            }
        return {
            "valid": self.valid,
            "faults": self.faults,
            "warnings": self.warnings[:MAX_REPORTED],
            "changes": self.changes[:MAX_REPORTED],
            "restart": self.needs_restart,
        }


def _fault_to_json(fault: ConfigFault) -> dict[str, str]:
    return {"path": fault.path, "fault": fault.text}


class NonFiniteConstant:
    """Placeholder for NaN or Infinity, which Python's parser accepts but JSON does not."""


class JsonObject(dict[str, Any]):
    """A JSON object, with the keys that its text has more than once."""

    duplicate_keys: tuple[str, ...] = ()
    """Sorted; the object holds the last value of each."""


def _to_non_finite(name: str) -> NonFiniteConstant:
    del name
    return NonFiniteConstant()


def _to_json_object(pairs: list[tuple[str, Any]]) -> JsonObject:
    json_object = JsonObject(pairs)
    if len(json_object) < len(pairs):
        names = [name for name, _ in pairs]
        json_object.duplicate_keys = tuple(
            sorted({name for name in names if names.count(name) > 1})
        )
    return json_object


def config_digest(raw: Mapping[str, Any]) -> str:
    """Return a SHA-256 digest, which is equal for forwarders with the same configuration.

    Keys that differ between forwarders are left out, and the file's layout and the
    order of keys have no effect.
    """
    shared = {key: value for key, value in raw.items() if key not in PER_FORWARDER_KEYS}
    if isinstance(shared.get("fleet"), Mapping):
        shared["fleet"] = {
            key: value
            for key, value in shared["fleet"].items()
            if key not in PER_FORWARDER_FLEET_KEYS
        }
    text = json.dumps(shared, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


@dataclass(frozen=True, slots=True)
class ActiveConfig:
    """The identity of the active configuration, for operators."""

    digest: str
    """From `config_digest`."""
    origin: str
    """What made it active: `start` or `SIGHUP`."""
    since_s: float
    """When it became active, in Unix time."""

    def to_json(self) -> dict[str, str]:
        """Return the JSON data that `/_config` answers."""
        # Imported only here, because most processes never answer this request.
        from datetime import UTC, datetime

        since = datetime.fromtimestamp(self.since_s, UTC).isoformat(
            timespec="milliseconds"
        )
        return {"digest": self.digest, "origin": self.origin, "since": since}


def validate_replacement(
    text: bytes, old: Config, environ: Mapping[str, str] = os.environ
) -> ValidationReport:
    """Validate the text of a file that is to replace the active configuration.

    Args:
        text: The file's content.
        old: The active configuration.
        environ: The environment variables, which `loading.load_config` describes.
    """
    report = ValidationReport()
    try:
        document = json.loads(
            text, object_pairs_hook=_to_json_object, parse_constant=_to_non_finite
        )
    except (ValueError, RecursionError) as error:
        reason = "empty" if not text.strip() else " ".join(str(error).split())
        report.parse_error = f"not JSON: {reason}"
        return report
    if not isinstance(document, Mapping):
        report.parse_error = "not a JSON object"
        return report
    for path, value in walk_values(document):
        _check_value(report, path, value)
    _compare(report, "", *without_toggled_fleet(old.raw, {**document, "known": None}))
    _check_fleet(report, document, old)
    # The checks above are not complete: parsing decides whether it is valid.
    if not report.faults:
        try:
            report.config = parse_config(document, environ)
        except ConfigError as error:
            report.add_fault("", str(error))
    if report.config is not None:
        _report_restart(report, old, report.config)
    return report


def _check_fleet(
    report: ValidationReport, document: Mapping[str, Any], old: Config
) -> None:
    """Add the faults of `fleet`, except at paths that already have a fault."""
    try:
        parse_fleet_section(document.get("fleet"), old.name)
    except FleetConfigError as error:
        for fault in error.faults:
            if fault.path not in report.faults_by_path:
                report.add_fault(fault.path, fault.text)
    except ConfigError as error:
        report.add_fault("fleet", str(error))


def _report_restart(report: ValidationReport, old: Config, new: Config) -> None:
    """Set the report's keys whose change takes effect only at a restart."""
    report.needs_restart = [
        KEY_BY_FIELD.get(name, name)
        for name in RESTART_FIELDS
        if getattr(new, name) != getattr(old, name)
    ]
    _, fleet_paths = merge_fleet(old.fleet, new.fleet)
    report.needs_restart += fleet_paths
    if fleet_paths == ["fleet"]:
        report.changes.append("fleet")


def merge_fleet(
    active: FleetConfig | None, new: FleetConfig | None
) -> tuple[FleetConfig | None, list[str]]:
    """Apply those values of a new `fleet` object that need no restart.

    Returns:
        The `fleet` configuration that can be active now, and the changed paths that
        need a restart: `fleet` itself if the object is added or removed.
    """
    if active is None or new is None:
        return active, [] if active is new else ["fleet"]
    from rainfall.forwarder.config.fleet_config import merge_fleet_config

    return merge_fleet_config(active, new)


def walk_values(
    value: Any, path: str = "", depth: int = 0
) -> Iterator[tuple[str, Any]]:
    """Yield each value of a document with its path, a container before its contents.

    Values more than MAX_DEPTH + 1 levels deep are left out.
    """
    yield path, value
    if depth > MAX_DEPTH:
        return
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield from walk_values(inner, f"{path}.{key}".lstrip("."), depth + 1)
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from walk_values(inner, f"{path}[{index}]", depth + 1)


def generalize_path(path: str) -> str:
    """Return a path without list indexes: `budgets[3].calls` gives `budgets[].calls`."""
    return re.sub(r"\[[0-9]+\]", "[]", path)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}".lstrip(".")


def _check_value(report: ValidationReport, path: str, value: Any) -> None:
    """Check one value by itself: keys of an object, range of a number."""
    if isinstance(value, JsonObject):
        for name in value.duplicate_keys:
            report.add_fault(_join(path, name), "the key stands there twice")
        known_keys = KNOWN_KEYS.get(generalize_path(path))
        if known_keys is not None:
            report.warnings += [
                _join(path, name) + ": not known to this version"
                for name in value
                if name not in known_keys
            ]
    elif isinstance(value, NonFiniteConstant) or (
        isinstance(value, float) and not math.isfinite(value)
    ):
        report.add_fault(path, "not a finite number")
    elif (
        generalize_path(path) in POSITIVE_KEYS
        and _json_kind(value) == "a number"
        and value <= 0
    ):
        report.add_fault(path, "not over 0")


def _json_kind(value: Any) -> str:
    """Return a value's JSON type, as faults name it."""
    kinds: tuple[tuple[Any, str], ...] = (
        (bool, "true or false"),
        (int | float, "a number"),
        (str, "a string"),
        (Mapping, "an object"),
        (list, "a list"),
    )
    for type_, kind in kinds:
        if isinstance(value, type_):
            return kind
    return "null"


def _compare(report: ValidationReport, path: str, old: Any, new: Any) -> None:
    """Report how a value differs from the active one.

    Missing keys and values of another type are faults, because a reload rejects them;
    other differences are changes.
    """
    if old is None:
        if new is not None:
            report.changes.append(path)
    elif isinstance(new, NonFiniteConstant):
        return
    elif _json_kind(old) != _json_kind(new):
        report.add_fault(path, f"{_json_kind(new)} in place of {_json_kind(old)}")
    elif isinstance(old, Mapping):
        _compare_objects(report, path, old, new)
    elif _is_named_list(old):
        _compare_named(report, path, old, new)
    elif old != new:
        report.changes.append(path)


def _is_named_list(value: Any) -> bool:
    """Whether a value is a non-empty list of objects, each with a `name`."""
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(entry, Mapping) and "name" in entry for entry in value)
    )


def _compare_objects(
    report: ValidationReport, path: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> None:
    """Report missing, added and changed keys of an object."""
    for key in [*old, *(key for key in new if key not in old)]:
        key_path = _join(path, key)
        if key not in new:
            if generalize_path(key_path) in OPTIONAL_KEYS:
                report.changes.append(key_path)
            else:
                report.add_fault(key_path, "missing")
        elif key in old:
            _compare(report, key_path, old[key], new[key])
        else:
            report.changes.append(key_path)


def _compare_named(
    report: ValidationReport, path: str, old: list[Any], new: list[Any]
) -> None:
    """Compare the entries of two lists by name; their order has no effect.

    Each new entry needs the keys that all active entries have.
    """
    shared_keys = set.intersection(*(set(entry) for entry in old))
    old_by_name = {entry["name"]: entry for entry in old}
    names: list[Any] = []
    for index, entry in enumerate(new):
        entry_path = f"{path}[{index}]"
        if not isinstance(entry, Mapping):
            report.add_fault(entry_path, f"{_json_kind(entry)} in place of an object")
            continue
        for key in sorted(shared_keys - set(entry)):
            if generalize_path(f"{entry_path}.{key}") not in OPTIONAL_KEYS:
                report.add_fault(f"{entry_path}.{key}", "missing")
        name = entry.get("name")
        if name in names:
            report.add_fault(f"{entry_path}.name", f"{name!r} stands there twice")
        names.append(name)
        old_entry = old_by_name.get(name) if isinstance(name, str) else None
        if old_entry is None:
            report.changes.append(f"{entry_path}: new, {name}")
        elif old_entry != entry:
            report.changes.append(f"{entry_path}: {name}")
    report.changes += [
        f"{path}: {name} dropped" for name in old_by_name if name not in names
    ]
