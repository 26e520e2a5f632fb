"""The tables ``[[faults]]`` and ``[nemesis]`` of an experiment file, checked."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from rainfall.lab.reader import Reader
from rainfall.lab.shapes import (
    ENDPOINT_KINDS,
    KINDS,
    LINK_KINDS,
    PROCESS_KINDS,
    Experiment,
    Fault,
    Nemesis,
    chosen_links,
)


def fault(r: Reader, t: Any, path: str, exp: Experiment) -> Fault | None:
    if not isinstance(t, Mapping):
        r.faults.append(f"{path}: a table is wanted")
        return None
    r.unknown(t, set(Fault.__dataclass_fields__), path)
    kind = r.take(
        t,
        "kind",
        str,
        path,
        None,
        lambda v: v in KINDS,
        f"is none of {', '.join(KINDS)}",
    )
    made = Fault(
        at_s=r.take(
            t,
            "at_s",
            float,
            path,
            None,
            lambda v: 0 <= v <= exp.duration_s,
            "is not within the run",
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
            t,
            "restart",
            str,
            path,
            "",
            lambda v: v in ("", "keep", "lose"),
            "is 'keep' or 'lose'",
        ),
        after_s=r.take(t, "after_s", float, path, 0.5, lambda v: 0 <= v <= 600),
    )
    _targets(r, made, path, exp)
    return made


def _targets(r: Reader, fault: Fault, path: str, exp: Experiment) -> None:
    if fault.kind in LINK_KINDS:
        if fault.zone and fault.zone not in exp.fleet.zones:
            r.faults.append(f"{path}.zone: no zone {fault.zone!r}")
        elif not fault.zone and not chosen_links(exp, fault):
            r.faults.append(f"{path}.target: {fault.target!r} names no link")
        if fault.for_s <= 0:
            r.faults.append(f"{path}.for_s: a link fault needs a time over 0")
    elif fault.kind in PROCESS_KINDS and fault.target not in exp.process_names():
        r.faults.append(f"{path}.target: {fault.target!r} is no forwarder")
    elif fault.kind in ENDPOINT_KINDS and fault.target not in exp.endpoint_names():
        r.faults.append(f"{path}.target: {fault.target!r} is no endpoint")
    if fault.kind == "pause" and fault.for_s <= 0:
        r.faults.append(f"{path}.for_s: a pause needs a time over 0")


def nemesis(r: Reader, t: Mapping[str, Any], duration_s: float) -> Nemesis:
    r.unknown(t, set(Nemesis.__dataclass_fields__), "nemesis")
    every = PROCESS_KINDS + LINK_KINDS
    kinds = r.take(
        t,
        "kinds",
        list,
        "nemesis",
        list(every),
        lambda v: len(v) > 0,
        "must name a kind",
    )
    for n, kind in enumerate(kinds):
        if kind not in every:
            r.faults.append(
                f"nemesis.kinds[{n}]: {kind!r} is none of {', '.join(every)}"
            )
    return Nemesis(
        rate_per_s=r.take(
            t, "rate_per_s", float, "nemesis", None, lambda v: 0 < v <= 100
        ),
        kinds=tuple(dict.fromkeys(k for k in kinds if k in every)) or every,
        longest_s=r.take(
            t, "longest_s", float, "nemesis", 2.0, lambda v: 0.1 <= v <= 600
        ),
        quiet_s=r.take(
            t,
            "quiet_s",
            float,
            "nemesis",
            2.0,
            lambda v: 0 <= v < duration_s,
            "leaves no time for faults",
        ),
        lose=r.take(t, "lose", float, "nemesis", 0.0, lambda v: 0 <= v <= 1),
        service_lose=r.take(
            t, "service_lose", float, "nemesis", 0.0, lambda v: 0 <= v <= 1
        ),
        all_at_once=r.take(t, "all_at_once", bool, "nemesis", False),
    )
