"""The experiment file of the fleet lab: TOML, checked whole before anything starts.

Every fault in a file is told with its path (``faults[2].at_s``), all of them in one
``ExperimentError``. What an experiment is made of stands in ``shapes.py``, its names
given here too.
"""

from __future__ import annotations

import tomllib
from dataclasses import replace
from pathlib import Path

from rainfall.lab import faults, sections
from rainfall.lab.reader import ExperimentError, Reader
from rainfall.lab.shapes import Experiment, Fault, Fleet, Load, LoadClass

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
        top = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError([f"{source}: not TOML: {error}"]) from None
    r = Reader()
    r.unknown(top, set(Experiment.__dataclass_fields__), "")
    fleet = sections.fleet(r, r.table(top, "fleet", ""))
    exp = Experiment(
        name=r.take(top, "name", str, "", "experiment"),
        seed=r.take(top, "seed", int, "", 1),
        duration_s=r.take(
            top,
            "duration_s",
            float,
            "",
            None,
            lambda v: 0 < v <= 3600,
            "must be over 0, 3600 at most",
        ),
        settle_s=r.take(top, "settle_s", float, "", 5.0, lambda v: 0 <= v <= 600),
        fleet=fleet,
        load=sections.load(r, r.table(top, "load", ""), fleet.forwarders),
        budgets=sections.budgets(
            r, r.take(top, "budgets", list, "", []), fleet.destinations
        ),
    )
    raw = r.take(top, "faults", list, "", [])
    made = [faults.fault(r, t, f"faults[{n}]", exp) for n, t in enumerate(raw)]
    nemesis = (
        faults.nemesis(r, r.table(top, "nemesis", ""), exp.duration_s)
        if "nemesis" in top
        else None
    )
    if r.faults:
        raise ExperimentError(r.faults)
    known = tuple(sorted((f for f in made if f), key=lambda f: f.at_s))
    return replace(exp, faults=known, nemesis=nemesis)


def read(path: Path) -> Experiment:
    try:
        return parse(path.read_text(), str(path))
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else error
        raise ExperimentError([f"{path}: cannot read: {why}"]) from None
