"""The experiment file of the fleet lab: TOML, checked whole before anything starts.

Every fault in a file is told with its path (``faults[2].at_s``), all of them in one
``ExperimentError``. What an experiment is made of stands in ``shapes.py``, its names
given here too.
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


def parse(text: str, source: str = "experiment") -> Experiment:
    """The experiment that a TOML text stands for, or ExperimentError naming every
    fault.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError([f"{source}: not TOML: {error}"]) from None
    reader = TableReader()
    reader.check_unknown_keys(document, set(Experiment.__dataclass_fields__), "")
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
            lambda v: 0 < v <= 3600,
            "must be over 0, 3600 at most",
        ),
        settle_s=reader.read(
            document, "settle_s", float, "", 5.0, lambda v: 0 <= v <= 600
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
        fault_sections.parse_fault(reader, t, f"faults[{n}]", experiment)
        for n, t in enumerate(fault_tables)
    ]
    nemesis = (
        fault_sections.parse_nemesis(
            reader, reader.table(document, "nemesis", ""), experiment.duration_s
        )
        if "nemesis" in document
        else None
    )
    if reader.faults:
        raise ExperimentError(reader.faults)
    known = tuple(sorted((f for f in parsed_faults if f), key=lambda f: f.at_s))
    return replace(experiment, faults=known, nemesis=nemesis)


def read(path: Path) -> Experiment:
    try:
        return parse(path.read_text(), str(path))
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else error
        raise ExperimentError([f"{path}: cannot read: {why}"]) from None
