"""Configurations looked at whole before anything is touched: every fault with its path,
what would change, and what waits for a start. See docs/parts.md.
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

from rainfall.forwarder.config.errors import ConfigError, FleetConfigError
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
"""What each forwarder has its own of."""
PER_FORWARDER_FLEET_KEYS = ("name", "site", "listen", "peers")
"""And within `fleet`."""
MAX_REPORTED = 1_024  # faults, warnings and changes that are named; 100 bytes each
MAX_DEPTH = 60
RESTART_FIELDS = ("name", "listen", "state", "admin", "power", "log_json")
"""What only a start can change, by the field of Config."""
KEY_BY_FIELD = {"admin": "admin_addr", "power": "durability", "log_json": "log_format"}
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


@dataclass(slots=True)
class ValidationReport:
    """What an apply of it would find."""

    parse_error: str = ""
    faults: list[dict[str, str]] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)
    changes: list[str] = field(default_factory=list)
    needs_restart: list[str] = field(default_factory=list)
    config: Config | None = None
    faults_by_path: dict[str, set[str]] = field(default_factory=dict, repr=False)
    """What each path that is at fault was told of it."""

    def add_fault(self, path: str, text: str) -> None:
        known = self.faults_by_path.setdefault(path, set())
        if len(self.faults) < MAX_REPORTED and text not in known:
            known.add(text)
            self.faults.append({"path": path, "fault": text})

    @property
    def valid(self) -> bool:
        return not self.parse_error and not self.faults

    def to_json(self) -> dict[str, Any]:
        if self.parse_error:
            return {"valid": False, "faults": [{"path": "", "fault": self.parse_error}]}
        return {
            "valid": self.valid,
            "faults": self.faults,
            "warnings": self.warnings[:MAX_REPORTED],
            "changes": self.changes[:MAX_REPORTED],
            "restart": self.needs_restart,
        }


class NonFiniteConstant:
    """NaN, Infinity: JSON has none of them, Python's reader takes them."""


class JsonObject(dict[str, Any]):
    """An object, and which of its keys came twice."""

    duplicate_keys: tuple[str, ...] = ()


def _to_json_object(pairs: list[tuple[str, Any]]) -> JsonObject:
    json_object = JsonObject(pairs)
    if len(json_object) < len(pairs):
        names = [name for name, _ in pairs]
        json_object.duplicate_keys = tuple(
            sorted({name for name in names if names.count(name) > 1})
        )
    return json_object


def config_digest(raw: Mapping[str, Any]) -> str:
    """The same for all forwarders that run the same, however their files are written."""
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
    """What is in force, and how that came."""

    digest: str
    origin: str
    since_s: float

    def to_json(self) -> dict[str, str]:
        from datetime import UTC, datetime  # only who asks pays for it

        since = datetime.fromtimestamp(self.since_s, UTC).isoformat(
            timespec="milliseconds"
        )
        return {"digest": self.digest, "origin": self.origin, "since": since}


def validate_replacement(
    text: bytes, old: Config, environ: Mapping[str, str] = os.environ
) -> ValidationReport:
    """Look at a whole configuration that is to replace the one in force. No effect."""
    verdict = ValidationReport()
    try:
        document = json.loads(
            text,
            object_pairs_hook=_to_json_object,
            parse_constant=lambda name: NonFiniteConstant(),
        )
    except (ValueError, RecursionError) as error:
        what = "empty" if not text.strip() else " ".join(str(error).split())
        verdict.parse_error = f"not JSON: {what}"
        return verdict
    if not isinstance(document, Mapping):
        verdict.parse_error = "not a JSON object"
        return verdict
    for path, value in walk_values(document):
        _check_value(verdict, path, value)
    _compare(verdict, "", *without_toggled_fleet(old.raw, {**document, "known": None}))
    try:
        parse_fleet_section(document.get("fleet"), old.name)
    except FleetConfigError as error:
        for where, what in error.faults:
            if where not in verdict.faults_by_path:
                verdict.add_fault(where, what)
    except ConfigError as error:
        verdict.add_fault("fleet", str(error))
    if not verdict.faults:  # the reader itself has the last word
        try:
            verdict.config = parse_config(document, environ)
        except ConfigError as error:
            verdict.add_fault("", str(error))
    if verdict.config is not None:
        verdict.needs_restart = [
            KEY_BY_FIELD.get(f, f)
            for f in RESTART_FIELDS
            if getattr(verdict.config, f) != getattr(old, f)
        ]
        _, waits = merge_fleet(old.fleet, verdict.config.fleet)
        verdict.needs_restart += waits
        verdict.changes += ["fleet"] if waits == ["fleet"] else []
    return verdict


def merge_fleet(
    active: FleetConfig | None, new: FleetConfig | None
) -> tuple[FleetConfig | None, list[str]]:
    """What of a new `fleet` can be in force now, and the paths of what waits for a
    start: all of it where it is turned on or off.
    """
    if active is None or new is None:
        return active, [] if active is new else ["fleet"]
    from rainfall.forwarder.config.fleet_config import merge_fleet_config

    return merge_fleet_config(active, new)


def walk_values(
    value: Any, path: str = "", depth: int = 0
) -> Iterator[tuple[str, Any]]:
    """Each value with its path, outer ones first."""
    yield path, value
    if depth > MAX_DEPTH:
        return
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield from walk_values(inner, f"{path}.{key}".lstrip("."), depth + 1)
    elif isinstance(value, list):
        for n, inner in enumerate(value):
            yield from walk_values(inner, f"{path}[{n}]", depth + 1)


def generalize_path(path: str) -> str:
    """The path with the places in lists left out."""
    return re.sub(r"\[[0-9]+\]", "[]", path)


def _check_value(verdict: ValidationReport, path: str, value: Any) -> None:
    if isinstance(value, JsonObject):
        for name in value.duplicate_keys:
            verdict.add_fault(
                f"{path}.{name}".lstrip("."), "the key stands there twice"
            )
        known = KNOWN_KEYS.get(generalize_path(path))
        if known is not None:
            verdict.warnings += [
                f"{path}.{name}".lstrip(".") + ": not known to this version"
                for name in value
                if name not in known
            ]
    elif isinstance(value, NonFiniteConstant) or (
        isinstance(value, float) and not math.isfinite(value)
    ):
        verdict.add_fault(path, "not a finite number")
    elif (
        generalize_path(path) in POSITIVE_KEYS
        and _json_kind(value) == "a number"
        and value <= 0
    ):
        verdict.add_fault(path, "not over 0")


def _json_kind(value: Any) -> str:
    if isinstance(value, bool):
        return "true or false"
    if isinstance(value, int | float):
        return "a number"
    if isinstance(value, str):
        return "a string"
    return (
        "an object"
        if isinstance(value, Mapping)
        else "a list"
        if isinstance(value, list)
        else "null"
    )


def _compare(verdict: ValidationReport, path: str, old: Any, new: Any) -> None:
    """Missing keys and other types are faults, as at SIGHUP; other values are changes."""
    if old is None or isinstance(new, NonFiniteConstant):
        if old is None and new is not None:
            verdict.changes.append(path)
        return
    if _json_kind(old) != _json_kind(new):
        verdict.add_fault(path, f"{_json_kind(new)} in place of {_json_kind(old)}")
    elif isinstance(old, Mapping):
        for key in [*old, *(k for k in new if k not in old)]:
            where = f"{path}.{key}".lstrip(".")
            if key not in new:
                if generalize_path(where) in OPTIONAL_KEYS:
                    verdict.changes.append(where)
                else:
                    verdict.add_fault(where, "missing")
            elif key in old:
                _compare(verdict, where, old[key], new[key])
            else:
                verdict.changes.append(where)
    elif (
        isinstance(old, list)
        and old
        and all(isinstance(e, Mapping) and "name" in e for e in old)
    ):
        _compare_named(verdict, path, old, new)
    elif old != new:
        verdict.changes.append(path)


def _compare_named(
    verdict: ValidationReport, path: str, old: list[Any], new: list[Any]
) -> None:
    """Entries go by name; each needs the keys that all of those in force share."""
    shared = set.intersection(*(set(e) for e in old))
    before = {e["name"]: e for e in old}
    names: list[Any] = []
    for n, entry in enumerate(new):
        where = f"{path}[{n}]"
        if not isinstance(entry, Mapping):
            verdict.add_fault(where, f"{_json_kind(entry)} in place of an object")
            continue
        for key in sorted(shared - set(entry)):
            if generalize_path(f"{where}.{key}") not in OPTIONAL_KEYS:
                verdict.add_fault(f"{where}.{key}", "missing")
        name = entry.get("name")
        if name in names:
            verdict.add_fault(f"{where}.name", f"{name!r} stands there twice")
        names.append(name)
        was = before.get(name) if isinstance(name, str) else None
        if was is None:
            verdict.changes.append(f"{where}: new, {name}")
        elif was != entry:
            verdict.changes.append(f"{where}: {name}")
    verdict.changes += [
        f"{path}: {name} dropped" for name in before if name not in names
    ]
