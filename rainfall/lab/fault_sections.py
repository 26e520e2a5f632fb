"""The tables ``[[faults]]`` and ``[nemesis]`` of an experiment file, checked."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from rainfall.lab.experiment_model import (
    ENDPOINT_KINDS,
    KINDS,
    LINK_KINDS,
    PROCESS_KINDS,
    Experiment,
    Fault,
    Nemesis,
    matching_links,
)
from rainfall.lab.table_reader import TableReader


def parse_fault(
    reader: TableReader, table: Any, path: str, experiment: Experiment
) -> Fault | None:
    if not isinstance(table, Mapping):
        reader.faults.append(f"{path}: a table is wanted")
        return None
    reader.check_unknown_keys(table, set(Fault.__dataclass_fields__), path)
    kind = reader.read(
        table,
        "kind",
        str,
        path,
        None,
        lambda v: v in KINDS,
        f"is none of {', '.join(KINDS)}",
    )
    fault = Fault(
        at_s=reader.read(
            table,
            "at_s",
            float,
            path,
            None,
            lambda v: 0 <= v <= experiment.duration_s,
            "is not within the run",
        ),
        kind=kind,
        target=reader.read(table, "target", str, path, ""),
        zone=reader.read(table, "zone", str, path, ""),
        for_s=reader.read(table, "for_s", float, path, 0.0, lambda v: 0 <= v <= 600),
        delay_ms=reader.read(
            table, "delay_ms", float, path, 0.0, lambda v: 0 <= v <= 60_000
        ),
        jitter_ms=reader.read(
            table, "jitter_ms", float, path, 0.0, lambda v: 0 <= v <= 60_000
        ),
        share=reader.read(table, "share", float, path, 1.0, lambda v: 0 <= v <= 1),
        limit=reader.read(table, "limit", int, path, 1, lambda v: 0 <= v <= 10_000),
        restart=reader.read(
            table,
            "restart",
            str,
            path,
            "",
            lambda v: v in ("", "keep", "lose"),
            "is 'keep' or 'lose'",
        ),
        after_s=reader.read(
            table, "after_s", float, path, 0.5, lambda v: 0 <= v <= 600
        ),
    )
    _check_target(reader, fault, path, experiment)
    return fault


def _check_target(
    reader: TableReader, fault: Fault, path: str, experiment: Experiment
) -> None:
    if fault.kind in LINK_KINDS:
        if fault.zone and fault.zone not in experiment.fleet.zones:
            reader.faults.append(f"{path}.zone: no zone {fault.zone!r}")
        elif not fault.zone and not matching_links(experiment, fault):
            reader.faults.append(f"{path}.target: {fault.target!r} names no link")
        if fault.for_s <= 0:
            reader.faults.append(f"{path}.for_s: a link fault needs a time over 0")
    elif fault.kind in PROCESS_KINDS and fault.target not in experiment.process_names():
        reader.faults.append(f"{path}.target: {fault.target!r} is no forwarder")
    elif (
        fault.kind in ENDPOINT_KINDS and fault.target not in experiment.endpoint_names()
    ):
        reader.faults.append(f"{path}.target: {fault.target!r} is no endpoint")
    if fault.kind == "pause" and fault.for_s <= 0:
        reader.faults.append(f"{path}.for_s: a pause needs a time over 0")


def parse_nemesis(
    reader: TableReader, table: Mapping[str, Any], duration_s: float
) -> Nemesis:
    reader.check_unknown_keys(table, set(Nemesis.__dataclass_fields__), "nemesis")
    all_kinds = PROCESS_KINDS + LINK_KINDS
    kinds = reader.read(
        table,
        "kinds",
        list,
        "nemesis",
        list(all_kinds),
        lambda v: len(v) > 0,
        "must name a kind",
    )
    for n, kind in enumerate(kinds):
        if kind not in all_kinds:
            reader.faults.append(
                f"nemesis.kinds[{n}]: {kind!r} is none of {', '.join(all_kinds)}"
            )
    return Nemesis(
        rate_per_s=reader.read(
            table, "rate_per_s", float, "nemesis", None, lambda v: 0 < v <= 100
        ),
        kinds=tuple(dict.fromkeys(k for k in kinds if k in all_kinds)) or all_kinds,
        longest_s=reader.read(
            table, "longest_s", float, "nemesis", 2.0, lambda v: 0.1 <= v <= 600
        ),
        quiet_s=reader.read(
            table,
            "quiet_s",
            float,
            "nemesis",
            2.0,
            lambda v: 0 <= v < duration_s,
            "leaves no time for faults",
        ),
        lose=reader.read(table, "lose", float, "nemesis", 0.0, lambda v: 0 <= v <= 1),
        service_lose=reader.read(
            table, "service_lose", float, "nemesis", 0.0, lambda v: 0 <= v <= 1
        ),
        all_at_once=reader.read(table, "all_at_once", bool, "nemesis", False),
    )
