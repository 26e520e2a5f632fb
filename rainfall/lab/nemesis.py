"""A nemesis: faults drawn from a run's seed.

Its rules:

- the same seed gives the same faults;
- no two faults affect one process or one link at a time, since the end of one would
  heal the other;
- unless ``all_at_once``, at each moment some forwarder is neither stopped nor cut off,
  the faults of the file counted too;
- every fault, with the start of a process after it, is over ``quiet_s`` before the load
  ends.

A fault that breaks a rule is dropped and not drawn again, so that the rate is a limit.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from rainfall.lab.experiment_model import (
    CLIENT,
    LINK_KINDS,
    LIST_SERVICE,
    PROCESS_KINDS,
    Experiment,
    Fault,
    Nemesis,
    link_names,
    matching_links,
)

SHORTEST_FAULT_S = 0.1
RESTART_ALLOWANCE_S = 3.0
"""How long a started process may take to be ready."""
TERMINATION_ALLOWANCE_S = 5.0
"""How long a process may take to end by SIGTERM."""
DELAY_RANGE_MS = (5, 200)
JITTER_RANGE_MS = (0, 100)
LINK_SCOPES = ("one", "one", "out", "in")
"""One link (twice as likely), all links out of one member, or all to one peer."""


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """What one fault affects, and from when until when."""

    begin_s: float
    end_s: float
    resources: frozenset[str]
    """Processes, endpoints or links."""
    unavailable: frozenset[str]
    """Forwarders that are stopped or cut off."""


def fault_window(experiment: Experiment, fault: Fault) -> FaultWindow:
    """The window of a fault, with the start of a process after it."""
    forwarders = experiment.forwarder_names()
    if fault.kind in PROCESS_KINDS:
        target = frozenset({fault.target})
        unavailable = target.intersection(forwarders)
        return FaultWindow(fault.at_s, _process_fault_end_s(fault), target, unavailable)
    end_s = fault.at_s + fault.for_s
    if fault.kind not in LINK_KINDS:
        return FaultWindow(fault.at_s, end_s, frozenset({fault.target}), frozenset())
    links = frozenset(matching_links(experiment, fault))
    cut_off: frozenset[str] = frozenset()
    if fault.kind != "delay":
        cut_off = frozenset(
            forwarder
            for forwarder in forwarders
            if _is_cut_off(experiment, forwarder, links)
        )
    return FaultWindow(fault.at_s, end_s, links, cut_off)


def _process_fault_end_s(fault: Fault) -> float:
    if fault.kind == "pause":
        return fault.at_s + fault.for_s
    if not fault.restart:
        return math.inf
    termination_s = TERMINATION_ALLOWANCE_S if fault.kind == "term" else 0.0
    return fault.at_s + fault.after_s + RESTART_ALLOWANCE_S + termination_s


def _is_cut_off(experiment: Experiment, forwarder: str, links: frozenset[str]) -> bool:
    """Whether a forwarder has lost its clients or all endpoints with these links.

    It is not cut off without the list service.
    """
    return f"{CLIENT}>{forwarder}" in links or all(
        f"{forwarder}>{endpoint}" in links for endpoint in experiment.endpoint_names()
    )


def is_allowed(
    experiment: Experiment,
    nemesis: Nemesis,
    windows: list[FaultWindow],
    new: FaultWindow,
) -> bool:
    """Whether the rules allow a fault beside those of ``windows``. O(windows)."""
    if new.end_s > experiment.duration_s - nemesis.quiet_s:
        return False
    overlapping = [
        window
        for window in windows
        if window.begin_s < new.end_s and new.begin_s < window.end_s
    ]
    if any(window.resources & new.resources for window in overlapping):
        return False
    if nemesis.all_at_once or not new.unavailable:
        return True
    return _leaves_a_forwarder(experiment, overlapping, new)


def _leaves_a_forwarder(
    experiment: Experiment, overlapping: list[FaultWindow], new: FaultWindow
) -> bool:
    """Whether some forwarder is available at each moment of the new window.

    Most forwarders are unavailable when some window begins, so only these moments count.
    """
    later_begins = [
        window.begin_s for window in overlapping if window.begin_s > new.begin_s
    ]
    for at_s in [new.begin_s, *later_begins]:
        unavailable = set(new.unavailable)
        for window in overlapping:
            if window.begin_s <= at_s < window.end_s:
                unavailable |= window.unavailable
        if len(unavailable) >= experiment.fleet.forwarders:
            return False
    return True


def fault_timeline(experiment: Experiment, seed: int) -> tuple[Fault, ...]:
    """The faults of a run in order of time: the file's, and those of its nemesis."""
    nemesis = experiment.nemesis
    if nemesis is None:
        return experiment.faults
    rng = random.Random(f"nemesis/{seed}")
    faults = list(experiment.faults)
    windows = [fault_window(experiment, fault) for fault in faults]
    at_s = rng.expovariate(nemesis.rate_per_s)
    while at_s < experiment.duration_s - nemesis.quiet_s:
        fault = _draw_fault(experiment, nemesis, rng, round(at_s, 3))
        window = fault_window(experiment, fault)
        if is_allowed(experiment, nemesis, windows, window):
            faults.append(fault)
            windows.append(window)
        at_s += rng.expovariate(nemesis.rate_per_s)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_fault(
    experiment: Experiment, nemesis: Nemesis, rng: random.Random, at_s: float
) -> Fault:
    kind = rng.choice(nemesis.kinds)
    length_s = round(rng.uniform(SHORTEST_FAULT_S, nemesis.longest_s), 3)
    if kind in LINK_KINDS:
        target = _draw_links(experiment, rng)
        delay_ms = 0.0
        jitter_ms = 0.0
        if kind == "delay":
            delay_ms = round(rng.uniform(*DELAY_RANGE_MS), 1)
            jitter_ms = round(rng.uniform(*JITTER_RANGE_MS), 1)
        return Fault(
            at_s=at_s,
            kind=kind,
            target=target,
            for_s=length_s,
            delay_ms=delay_ms,
            jitter_ms=jitter_ms,
        )
    target = rng.choice(experiment.process_names())
    if kind == "pause":
        return Fault(at_s=at_s, kind=kind, target=target, for_s=length_s)
    lose = nemesis.service_lose if target == LIST_SERVICE else nemesis.lose
    restart = "lose" if rng.random() < lose else "keep"
    return Fault(at_s=at_s, kind=kind, target=target, restart=restart, after_s=length_s)


def _draw_links(experiment: Experiment, rng: random.Random) -> str:
    """The glob of one link, of all links out of one member, or of all to one peer."""
    name = rng.choice(link_names(experiment))
    near, _, far = name.partition(">")
    scope = rng.choice(LINK_SCOPES)
    if scope == "out" and near != CLIENT:
        return f"{near}>*"
    if scope == "in":
        return f"*>{far}"
    return name
