"""Parses the tables ``[[faults]]`` and ``[nemesis]`` of an experiment file."""

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
    RandomFaults,
    matching_links,
)
from rainfall.lab.table_reader import TableReader

FAULT_KEYS = frozenset(
    {
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
)
RANDOM_FAULT_KEYS = frozenset(
    {
        "rate_per_s",
        "kinds",
        "longest_s",
        "quiet_s",
        "lose",
        "service_lose",
        "all_at_once",
    }
)
RANDOM_FAULT_KINDS = PROCESS_KINDS + LINK_KINDS
RESTARTS = ("", "keep", "lose")
LONGEST_FAULT_S = 600
LONGEST_DELAY_MS = 60_000
HIGHEST_CALL_LIMIT = 10_000
HIGHEST_FAULT_RATE_PER_S = 100
SHORTEST_FAULT_S = 0.1


def parse_fault(
    reader: TableReader, table: Any, path: str, experiment: Experiment
) -> Fault | None:
    """Parse an entry of ``[[faults]]``; None, with an error added, if it is no table."""
    if not isinstance(table, Mapping):
        reader.errors.append(f"{path}: expected a table")
        return None
    reader.check_unknown_keys(table, FAULT_KEYS, path)
    fault = _read_fault(reader, table, path, experiment.duration_s)
    _check_target(reader, fault, path, experiment)
    return fault


def _read_fault(
    reader: TableReader, table: Mapping[str, Any], path: str, duration_s: float
) -> Fault:
    kind = reader.read(
        table,
        "kind",
        str,
        path,
        None,
        lambda v: v in KINDS,
        f"must be one of {', '.join(KINDS)}",
    )
    at_s = reader.read(
        table,
        "at_s",
        float,
        path,
        None,
        lambda v: 0 <= v <= duration_s,
        "is outside the run",
    )

    def read_time(key: str, default: float, limit: float) -> float:
        return reader.read(table, key, float, path, default, lambda v: 0 <= v <= limit)

    return Fault(
        at_s=at_s,
        kind=kind,
        target=reader.read(table, "target", str, path, ""),
        zone=reader.read(table, "zone", str, path, ""),
        for_s=read_time("for_s", 0.0, LONGEST_FAULT_S),
        delay_ms=read_time("delay_ms", 0.0, LONGEST_DELAY_MS),
        jitter_ms=read_time("jitter_ms", 0.0, LONGEST_DELAY_MS),
        share=reader.read(table, "share", float, path, 1.0, lambda v: 0 <= v <= 1),
        limit=reader.read(
            table, "limit", int, path, 1, lambda v: 0 <= v <= HIGHEST_CALL_LIMIT
        ),
        restart=reader.read(
            table,
            "restart",
            str,
            path,
            "",
            lambda v: v in RESTARTS,
            "must be 'keep' or 'lose'",
        ),
        after_s=read_time("after_s", 0.5, LONGEST_FAULT_S),
    )


def _check_target(
    reader: TableReader, fault: Fault, path: str, experiment: Experiment
) -> None:
    """Check that a fault's target exists, and that it has the duration its kind needs."""
    if fault.kind in LINK_KINDS:
        _check_link_fault(reader, fault, path, experiment)
    elif fault.kind in PROCESS_KINDS and fault.target not in experiment.process_names():
        reader.errors.append(
            f"{path}.target: {fault.target!r} is not a process of the fleet"
        )
    elif (
        fault.kind in ENDPOINT_KINDS and fault.target not in experiment.endpoint_names()
    ):
        reader.errors.append(f"{path}.target: {fault.target!r} is not an endpoint")
    if fault.kind == "pause" and fault.for_s <= 0:
        reader.errors.append(f"{path}.for_s: a pause needs a duration over 0")


def _check_link_fault(
    reader: TableReader, fault: Fault, path: str, experiment: Experiment
) -> None:
    if fault.zone and fault.zone not in experiment.fleet.zones:
        reader.errors.append(f"{path}.zone: unknown zone {fault.zone!r}")
    elif not fault.zone and not matching_links(experiment, fault):
        reader.errors.append(f"{path}.target: {fault.target!r} matches no link")
    if fault.for_s <= 0:
        reader.errors.append(f"{path}.for_s: a link fault needs a duration over 0")


def parse_random_faults(
    reader: TableReader, table: Mapping[str, Any], duration_s: float
) -> RandomFaults:
    """Parse the table ``[nemesis]``; ``duration_s`` is that of the load."""
    reader.check_unknown_keys(table, RANDOM_FAULT_KEYS, "nemesis")
    kinds = reader.read(
        table,
        "kinds",
        list,
        "nemesis",
        list(RANDOM_FAULT_KINDS),
        lambda v: len(v) > 0,
        "must list at least one kind",
    )
    for index, kind in enumerate(kinds):
        if kind not in RANDOM_FAULT_KINDS:
            reader.errors.append(
                f"nemesis.kinds[{index}]: {kind!r} must be one of {', '.join(RANDOM_FAULT_KINDS)}"
            )
    known_kinds = tuple(
        dict.fromkeys(kind for kind in kinds if kind in RANDOM_FAULT_KINDS)
    )
    return RandomFaults(
        rate_per_s=reader.read(
            table,
            "rate_per_s",
            float,
            "nemesis",
            None,
            lambda v: 0 < v <= HIGHEST_FAULT_RATE_PER_S,
        ),
        kinds=known_kinds or RANDOM_FAULT_KINDS,
        longest_s=reader.read(
            table,
            "longest_s",
            float,
            "nemesis",
            2.0,
            lambda v: SHORTEST_FAULT_S <= v <= LONGEST_FAULT_S,
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
