"""Parses the TOML experiment file of the fleet lab and validates it before a run.

A single ``ExperimentError`` lists every error with its path, such as ``faults[2].at_s``.
The classes of ``experiment_model`` are re-exported here.
"""

from __future__ import annotations

import tomllib
from dataclasses import replace
from pathlib import Path

from rainfall.lab import experiment_sections, fault_sections
from rainfall.lab.experiment_model import Experiment, Fault, Fleet, Load, LoadClass
from rainfall.lab.table_reader import ExperimentError, TableReader

__all__ = [
    "Experiment",
    "ExperimentError",
    "Fault",
    "Fleet",
    "Load",
    "LoadClass",
    "parse",
    "read",
]

EXPERIMENT_KEYS = frozenset(
    {
        "name",
        "seed",
        "duration_s",
        "settle_s",
        "fleet",
        "load",
        "faults",
        "budgets",
        "nemesis",
    }
)
LONGEST_DURATION_S = 3600
LONGEST_SETTLE_S = 600


def parse(text: str, source: str = "experiment") -> Experiment:
    """Parse and validate the TOML text of an experiment.

    Raises:
        ExperimentError: The text is invalid; lists every error.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError([f"{source}: not TOML: {error}"]) from None
    reader = TableReader()
    reader.check_unknown_keys(document, EXPERIMENT_KEYS, "")
    fleet = experiment_sections.parse_fleet(reader, reader.table(document, "fleet", ""))
    experiment = Experiment(
        name=reader.read(document, "name", str, "", "experiment"),
        seed=reader.read(document, "seed", int, "", 1),
        duration_s=reader.read(
            document,
            "duration_s",
            float,
            "",
            None,
            lambda v: 0 < v <= LONGEST_DURATION_S,
            f"must be over 0 and at most {LONGEST_DURATION_S}",
        ),
        settle_s=reader.read(
            document, "settle_s", float, "", 5.0, lambda v: 0 <= v <= LONGEST_SETTLE_S
        ),
        fleet=fleet,
        load=experiment_sections.parse_load(
            reader, reader.table(document, "load", ""), fleet.forwarders
        ),
        budgets=experiment_sections.parse_budgets(
            reader, reader.read(document, "budgets", list, "", []), fleet.destinations
        ),
    )
    fault_tables = reader.read(document, "faults", list, "", [])
    parsed_faults = [
        fault_sections.parse_fault(reader, table, f"faults[{index}]", experiment)
        for index, table in enumerate(fault_tables)
    ]
    random_faults = None
    if "nemesis" in document:
        random_faults = fault_sections.parse_random_faults(
            reader, reader.table(document, "nemesis", ""), experiment.duration_s
        )
    if reader.errors:
        raise ExperimentError(reader.errors)
    faults = [fault for fault in parsed_faults if fault is not None]
    faults.sort(key=lambda fault: fault.at_s)
    return replace(experiment, faults=tuple(faults), random_faults=random_faults)


def read(path: Path) -> Experiment:
    """Read, parse and validate an experiment file.

    Raises:
        ExperimentError: The file cannot be read or is invalid.
    """
    try:
        return parse(path.read_text(), str(path))
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        raise ExperimentError([f"{path}: cannot read: {reason}"]) from None
