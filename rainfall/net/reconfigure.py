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

from rainfall.net.config import OPTIONAL, Config, comparable, fleet, parse
from rainfall.net.faults import ConfigError, FleetFault

if TYPE_CHECKING:
    from rainfall.net.fleet_config import FleetConfig

OWN = ("name", "listen", "admin_addr", "known", "seed")
"""What each forwarder has its own of."""
OWN_FLEET = ("name", "site", "listen", "peers")
"""And within `fleet`."""
MOST_TOLD = 1_024  # faults, warnings and changes that are named; 100 bytes each
MOST_DEEP = 60
FIXED = ("name", "listen", "state", "admin", "power", "log_json")
"""What only a start can change, by the field of Config."""
WRITTEN = {"admin": "admin_addr", "power": "durability", "log_json": "log_format"}
KNOWN = {
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
ABOVE_0 = {
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
class Verdict:
    """What an apply of it would find."""

    unreadable: str = ""
    faults: list[dict[str, str]] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)
    changes: list[str] = field(default_factory=list)
    restart: list[str] = field(default_factory=list)
    config: Config | None = None
    paths: dict[str, set[str]] = field(default_factory=dict, repr=False)
    """What each path that is at fault was told of it."""

    def fault(self, path: str, text: str) -> None:
        told = self.paths.setdefault(path, set())
        if len(self.faults) < MOST_TOLD and text not in told:
            told.add(text)
            self.faults.append({"path": path, "fault": text})

    @property
    def valid(self) -> bool:
        return not self.unreadable and not self.faults

    def told(self) -> dict[str, Any]:
        if self.unreadable:
            return {"valid": False, "faults": [{"path": "", "fault": self.unreadable}]}
        return {
            "valid": self.valid,
            "faults": self.faults,
            "warnings": self.warnings[:MOST_TOLD],
            "changes": self.changes[:MOST_TOLD],
            "restart": self.restart,
        }


class Constant:
    """NaN, Infinity: JSON has none of them, Python's reader takes them."""


class Pairs(dict[str, Any]):
    """An object, and which of its keys came twice."""

    doubled: tuple[str, ...] = ()


def _pairs(found: list[tuple[str, Any]]) -> Pairs:
    made = Pairs(found)
    if len(made) < len(found):
        names = [name for name, _ in found]
        made.doubled = tuple(sorted({name for name in names if names.count(name) > 1}))
    return made


def digest(raw: Mapping[str, Any]) -> str:
    """The same for all forwarders that run the same, however their files are
    written.
    """
    told = {key: value for key, value in raw.items() if key not in OWN}
    if isinstance(told.get("fleet"), Mapping):
        told["fleet"] = {
            key: value for key, value in told["fleet"].items() if key not in OWN_FLEET
        }
    text = json.dumps(told, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


@dataclass(frozen=True, slots=True)
class InForce:
    """What is in force, and how that came."""

    digest: str
    origin: str
    since_s: float

    def told(self) -> dict[str, str]:
        from datetime import UTC, datetime  # only who asks pays for it

        since = datetime.fromtimestamp(self.since_s, UTC).isoformat(
            timespec="milliseconds"
        )
        return {"digest": self.digest, "origin": self.origin, "since": since}


def examine(
    text: bytes, old: Config, environ: Mapping[str, str] = os.environ
) -> Verdict:
    """Look at a whole configuration that is to replace the one in force. No effect."""
    verdict = Verdict()
    try:
        told = json.loads(
            text, object_pairs_hook=_pairs, parse_constant=lambda name: Constant()
        )
    except (ValueError, RecursionError) as error:
        what = "empty" if not text.strip() else " ".join(str(error).split())
        verdict.unreadable = f"not JSON: {what}"
        return verdict
    if not isinstance(told, Mapping):
        verdict.unreadable = "not a JSON object"
        return verdict
    for path, value in walk(told):
        _look(verdict, path, value)
    _compare(verdict, "", *comparable(old.raw, {**told, "known": None}))
    try:
        fleet(told.get("fleet"), old.name)
    except FleetFault as error:
        for where, what in error.faults:
            if where not in verdict.paths:
                verdict.fault(where, what)
    except ConfigError as error:
        verdict.fault("fleet", str(error))
    if not verdict.faults:  # the reader itself has the last word
        try:
            verdict.config = parse(told, environ)
        except ConfigError as error:
            verdict.fault("", str(error))
    if verdict.config is not None:
        verdict.restart = [
            WRITTEN.get(f, f)
            for f in FIXED
            if getattr(verdict.config, f) != getattr(old, f)
        ]
        _, waits = joint(old.fleet, verdict.config.fleet)
        verdict.restart += waits
        verdict.changes += ["fleet"] if waits == ["fleet"] else []
    return verdict


def joint(
    old: FleetConfig | None, new: FleetConfig | None
) -> tuple[FleetConfig | None, list[str]]:
    """What of a new `fleet` can be in force now, and the paths of what waits for a
    start: all of it where it is turned on or off.
    """
    if old is None or new is None:
        return old, [] if old is new else ["fleet"]
    from rainfall.net.fleet_config import joined

    return joined(old, new)


def walk(value: Any, path: str = "", deep: int = 0) -> Iterator[tuple[str, Any]]:
    """Each value with its path, outer ones first."""
    yield path, value
    if deep > MOST_DEEP:
        return
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield from walk(inner, f"{path}.{key}".lstrip("."), deep + 1)
    elif isinstance(value, list):
        for n, inner in enumerate(value):
            yield from walk(inner, f"{path}[{n}]", deep + 1)


def general(path: str) -> str:
    """The path with the places in lists left out."""
    return re.sub(r"\[[0-9]+\]", "[]", path)


def _look(verdict: Verdict, path: str, value: Any) -> None:
    if isinstance(value, Pairs):
        for name in value.doubled:
            verdict.fault(f"{path}.{name}".lstrip("."), "the key stands there twice")
        known = KNOWN.get(general(path))
        if known is not None:
            verdict.warnings += [
                f"{path}.{name}".lstrip(".") + ": not known to this version"
                for name in value
                if name not in known
            ]
    elif (
        isinstance(value, Constant)
        or isinstance(value, float)
        and not math.isfinite(value)
    ):
        verdict.fault(path, "not a finite number")
    elif general(path) in ABOVE_0 and _kind(value) == "a number" and value <= 0:
        verdict.fault(path, "not over 0")


def _kind(value: Any) -> str:
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


def _compare(verdict: Verdict, path: str, old: Any, new: Any) -> None:
    """Missing keys and other types are faults, as at SIGHUP; other values are
    changes.
    """
    if old is None or isinstance(new, Constant):
        if old is None and new is not None:
            verdict.changes.append(path)
        return
    if _kind(old) != _kind(new):
        verdict.fault(path, f"{_kind(new)} in place of {_kind(old)}")
    elif isinstance(old, Mapping):
        for key in [*old, *(k for k in new if k not in old)]:
            where = f"{path}.{key}".lstrip(".")
            if key not in new:
                if general(where) in OPTIONAL:
                    verdict.changes.append(where)
                else:
                    verdict.fault(where, "missing")
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


def _compare_named(verdict: Verdict, path: str, old: list[Any], new: list[Any]) -> None:
    """Entries go by name; each needs the keys that all of those in force share."""
    shared = set.intersection(*(set(e) for e in old))
    before = {e["name"]: e for e in old}
    names: list[Any] = []
    for n, entry in enumerate(new):
        where = f"{path}[{n}]"
        if not isinstance(entry, Mapping):
            verdict.fault(where, f"{_kind(entry)} in place of an object")
            continue
        for key in sorted(shared - set(entry)):
            if general(f"{where}.{key}") not in OPTIONAL:
                verdict.fault(f"{where}.{key}", "missing")
        name = entry.get("name")
        if name in names:
            verdict.fault(f"{where}.name", f"{name!r} stands there twice")
        names.append(name)
        was = before.get(name) if isinstance(name, str) else None
        if was is None:
            verdict.changes.append(f"{where}: new, {name}")
        elif was != entry:
            verdict.changes.append(f"{where}: {name}")
    verdict.changes += [
        f"{path}: {name} dropped" for name in before if name not in names
    ]
