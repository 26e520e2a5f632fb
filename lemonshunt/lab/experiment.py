"""The experiment file of the fleet lab: TOML, checked whole before anything starts.

Every fault in a file is told with its path (``faults[2].at_s``), all of them in one ``ExperimentError``.
Times are seconds from the start of the load, rates messages a second; see ``docs/operations.md``.
"""

from __future__ import annotations

import fnmatch
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

LINK_KINDS = ("delay", "drop", "reset", "silence", "oneway")
PROCESS_KINDS = ("kill", "pause", "term")
ENDPOINT_KINDS = ("slow", "failing", "limit", "cold")
KINDS = LINK_KINDS + PROCESS_KINDS + ENDPOINT_KINDS
EFFECTS = ("once", "repeatable")
MAX_FORWARDERS = 64
MAX_RATE = 20_000.0

T = TypeVar("T")


class ExperimentError(Exception):
    """The file cannot be used; ``faults`` lists each fault as 'path: what is wrong'."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class LoadClass:
    name: str
    share: float
    deadline_s: float
    effect: str


@dataclass(frozen=True, slots=True)
class Load:
    rate_per_s: float
    classes: tuple[LoadClass, ...]
    answer_timeout_s: float = 0.4
    max_lag_ms: float = 50.0
    body_bytes: int = 64


@dataclass(frozen=True, slots=True)
class Fault:
    """One event of the timeline. ``target`` names a forwarder or endpoint (``f1``, ``e3``), or is a glob of
    link names (``f1>e*``, ``*>list``) for link faults; ``zone`` hits every link into or out of a zone."""

    at_s: float
    kind: str
    target: str = ""
    zone: str = ""
    for_s: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    share: float = 1.0
    limit: int = 1
    restart: str = ""
    after_s: float = 0.5


@dataclass(frozen=True, slots=True)
class Fleet:
    forwarders: int
    destinations: tuple[int, ...]
    endpoints_per_destination: int
    zones: tuple[str, ...]
    slots: int = 8
    durability: str = "process"
    endpoint_rate: float = 200.0
    """Calls a second that each endpoint is listed for (its ``share`` in the list)."""


@dataclass(frozen=True, slots=True)
class Experiment:
    name: str
    seed: int
    duration_s: float
    settle_s: float
    fleet: Fleet
    load: Load
    faults: tuple[Fault, ...] = field(default=())

    def forwarder_names(self) -> list[str]:
        return [f"f{n}" for n in range(self.fleet.forwarders)]

    def endpoint_names(self) -> list[str]:
        return [f"e{n}" for n in range(len(self.fleet.destinations) * self.fleet.endpoints_per_destination)]

    def zone_of(self, member: str) -> str:
        """Members are spread over the zones in turn: f0 and e0 in the first, f1 and e1 in the second."""
        return self.fleet.zones[int(member[1:]) % len(self.fleet.zones)]

    def destination_of(self, endpoint: str) -> int:
        return self.fleet.destinations[int(endpoint[1:]) // self.fleet.endpoints_per_destination]

    def effect_of(self, cls: str) -> str:
        return next(c.effect for c in self.load.classes if c.name == cls)


def links_of(experiment: Experiment) -> list[str]:
    """Every link's name: ``client>f0``, ``f0>e1``, ``f0>list``."""
    names: list[str] = []
    for fwd in experiment.forwarder_names():
        names += [f"client>{fwd}", f"{fwd}>list", *(f"{fwd}>{e}" for e in experiment.endpoint_names())]
    return names


def chosen_links(experiment: Experiment, fault: Fault) -> list[str]:
    """The links that a link fault hits: by glob, or all those with one end in its zone."""
    every = links_of(experiment)
    if fault.zone:

        def inside(name: str) -> bool:
            return any(
                end not in ("client", "list") and experiment.zone_of(end) == fault.zone
                for end in name.split(">")
            )

        return [name for name in every if inside(name)]
    return [name for name in every if fnmatch.fnmatchcase(name, fault.target)]


class _Reader:
    """Takes values out of a mapping by path, and keeps every fault instead of stopping at the first."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def take(
        self,
        table: Mapping[str, Any],
        key: str,
        kind: type[T],
        path: str,
        default: T | None = None,
        test: Callable[[T], bool] = lambda _: True,
        hint: str = "",
    ) -> T:
        name = f"{path}.{key}".lstrip(".")
        if key not in table:
            if default is None:
                self.faults.append(f"{name}: missing")
            return default if default is not None else kind()
        value = table[key]
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or isinstance(value, bool) != (kind is bool):
            self.faults.append(f"{name}: a {kind.__name__} is wanted, not {value!r}")
            return default if default is not None else kind()
        if not test(value):
            self.faults.append(f"{name}: {value!r} {hint or 'is out of range'}")
        return value

    def unknown(self, table: Mapping[str, Any], known: set[str], path: str) -> None:
        for key in sorted(set(table) - known):
            self.faults.append(f"{path}.{key}".lstrip(".") + ": unknown key")

    def table(self, table: Mapping[str, Any], key: str, path: str) -> Mapping[str, Any]:
        value = table.get(key, {})
        if not isinstance(value, Mapping):
            self.faults.append(f"{path}{key}: a table is wanted")
            return {}
        return value


def _fleet(r: _Reader, t: Mapping[str, Any]) -> Fleet:
    r.unknown(
        t,
        {
            "forwarders",
            "destinations",
            "endpoints_per_destination",
            "zones",
            "slots",
            "durability",
            "endpoint_rate",
        },
        "fleet",
    )
    dests = r.take(t, "destinations", list, "fleet", [7], lambda v: 0 < len(v) <= 16, "must list 1 to 16")
    if not all(isinstance(d, int) and not isinstance(d, bool) and d >= 0 for d in dests):
        r.faults.append("fleet.destinations: whole numbers of 0 or more are wanted")
        dests = [7]
    zones = r.take(t, "zones", list, "fleet", ["a"], lambda v: 0 < len(v) <= 8, "must list 1 to 8")
    if not all(isinstance(z, str) and z.isidentifier() for z in zones) or len(set(zones)) != len(zones):
        r.faults.append("fleet.zones: distinct plain names are wanted")
        zones = ["a"]
    return Fleet(
        forwarders=r.take(
            t,
            "forwarders",
            int,
            "fleet",
            None,
            lambda v: 1 <= v <= MAX_FORWARDERS,
            f"must be 1 to {MAX_FORWARDERS}",
        ),
        destinations=tuple(dests),
        endpoints_per_destination=r.take(
            t, "endpoints_per_destination", int, "fleet", 2, lambda v: 1 <= v <= 16
        ),
        zones=tuple(zones),
        slots=r.take(t, "slots", int, "fleet", 8, lambda v: 1 <= v <= 256),
        durability=r.take(
            t,
            "durability",
            str,
            "fleet",
            "process",
            lambda v: v in ("process", "power"),
            "is 'process' or 'power'",
        ),
        endpoint_rate=r.take(t, "endpoint_rate", float, "fleet", 200.0, lambda v: 0 < v <= 1e6),
    )


def _load(r: _Reader, t: Mapping[str, Any]) -> Load:
    r.unknown(t, {"rate_per_s", "classes", "answer_timeout_s", "max_lag_ms", "body_bytes"}, "load")
    classes: list[LoadClass] = []
    raw = r.take(t, "classes", list, "load", None, lambda v: 0 < len(v) <= 8, "must list 1 to 8")
    for n, c in enumerate(raw):
        path = f"load.classes[{n}]"
        if not isinstance(c, Mapping):
            r.faults.append(f"{path}: a table is wanted")
            continue
        r.unknown(c, {"name", "share", "deadline_s", "effect"}, path)
        classes.append(
            LoadClass(
                name=r.take(c, "name", str, path, None, lambda v: v.isidentifier(), "is no plain name"),
                share=r.take(c, "share", float, path, 1.0, lambda v: 0 < v <= 1e6, "must be over 0"),
                deadline_s=r.take(c, "deadline_s", float, path, 5.0, lambda v: 0.05 <= v <= 600),
                effect=r.take(
                    c, "effect", str, path, "repeatable", lambda v: v in EFFECTS, f"is one of {EFFECTS}"
                ),
            )
        )
    if len({c.name for c in classes}) != len(classes):
        r.faults.append("load.classes: a name is given twice")
    return Load(
        rate_per_s=r.take(
            t,
            "rate_per_s",
            float,
            "load",
            None,
            lambda v: 0 < v <= MAX_RATE,
            f"must be over 0 and {MAX_RATE:.0f} at most",
        ),
        classes=tuple(classes),
        answer_timeout_s=r.take(t, "answer_timeout_s", float, "load", 0.4, lambda v: 0.01 <= v <= 60),
        max_lag_ms=r.take(t, "max_lag_ms", float, "load", 50.0, lambda v: 0 < v <= 10_000),
        body_bytes=r.take(t, "body_bytes", int, "load", 64, lambda v: 1 <= v <= 60_000),
    )


FAULT_KEYS = {
    "at_s",
    "kind",
    "target",
    "zone",
    "for_s",
    "delay_ms",
    "jitter_ms",
    "share",
    "limit",
    "restart",
    "after_s",
}


def _fault(r: _Reader, t: Any, path: str, exp: Experiment) -> Fault | None:
    if not isinstance(t, Mapping):
        r.faults.append(f"{path}: a table is wanted")
        return None
    r.unknown(t, FAULT_KEYS, path)
    kind = r.take(t, "kind", str, path, None, lambda v: v in KINDS, f"is none of {', '.join(KINDS)}")
    fault = Fault(
        at_s=r.take(
            t, "at_s", float, path, None, lambda v: 0 <= v <= exp.duration_s, "is not within the run"
        ),
        kind=kind,
        target=r.take(t, "target", str, path, ""),
        zone=r.take(t, "zone", str, path, ""),
        for_s=r.take(t, "for_s", float, path, 0.0, lambda v: 0 <= v <= 600),
        delay_ms=r.take(t, "delay_ms", float, path, 0.0, lambda v: 0 <= v <= 60_000),
        jitter_ms=r.take(t, "jitter_ms", float, path, 0.0, lambda v: 0 <= v <= 60_000),
        share=r.take(t, "share", float, path, 1.0, lambda v: 0 <= v <= 1),
        limit=r.take(t, "limit", int, path, 1, lambda v: 0 <= v <= 10_000),
        restart=r.take(
            t, "restart", str, path, "", lambda v: v in ("", "keep", "lose"), "is 'keep' or 'lose'"
        ),
        after_s=r.take(t, "after_s", float, path, 0.5, lambda v: 0 <= v <= 600),
    )
    _fault_targets(r, fault, path, exp)
    return fault


def _fault_targets(r: _Reader, fault: Fault, path: str, exp: Experiment) -> None:
    if fault.kind in LINK_KINDS:
        if fault.zone and fault.zone not in exp.fleet.zones:
            r.faults.append(f"{path}.zone: no zone {fault.zone!r}")
        elif not fault.zone and not chosen_links(exp, fault):
            r.faults.append(f"{path}.target: {fault.target!r} names no link")
        if fault.for_s <= 0:
            r.faults.append(f"{path}.for_s: a link fault needs a time over 0")
    elif fault.kind in PROCESS_KINDS and fault.target not in exp.forwarder_names():
        r.faults.append(f"{path}.target: {fault.target!r} is no forwarder")
    elif fault.kind in ENDPOINT_KINDS and fault.target not in exp.endpoint_names():
        r.faults.append(f"{path}.target: {fault.target!r} is no endpoint")
    if fault.kind == "pause" and fault.for_s <= 0:
        r.faults.append(f"{path}.for_s: a pause needs a time over 0")


def parse(text: str, source: str = "experiment") -> Experiment:
    """The experiment that a TOML text stands for, or ExperimentError naming every fault."""
    try:
        top = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError([f"{source}: not TOML: {error}"]) from None
    r = _Reader()
    r.unknown(top, {"name", "seed", "duration_s", "settle_s", "fleet", "load", "faults"}, "")
    exp = Experiment(
        name=r.take(top, "name", str, "", "experiment"),
        seed=r.take(top, "seed", int, "", 1),
        duration_s=r.take(
            top, "duration_s", float, "", None, lambda v: 0 < v <= 3600, "must be over 0, 3600 at most"
        ),
        settle_s=r.take(top, "settle_s", float, "", 5.0, lambda v: 0 <= v <= 600),
        fleet=_fleet(r, r.table(top, "fleet", "")),
        load=_load(r, r.table(top, "load", "")),
    )
    raw = r.take(top, "faults", list, "", [])
    faults = [_fault(r, t, f"faults[{n}]", exp) for n, t in enumerate(raw)]
    if r.faults:
        raise ExperimentError(r.faults)
    return Experiment(
        **{
            **{k: getattr(exp, k) for k in exp.__dataclass_fields__},
            "faults": tuple(sorted((f for f in faults if f), key=lambda f: f.at_s)),
        }
    )


def read(path: Path) -> Experiment:
    try:
        return parse(path.read_text(), str(path))
    except OSError as error:
        raise ExperimentError([f"{path}: cannot read: {error.strerror}"]) from None
