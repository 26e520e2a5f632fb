"""Generates random faults from the seed of a run (the table ``[nemesis]``).

Rules:

- the same seed gives the same faults;
- no two faults affect the same process or link at the same time, because the end of
  one would heal the other;
- unless ``all_at_once`` is set, at least one forwarder is neither stopped nor cut off
  at any time; faults listed in the file count too;
- every fault, including the restart of its process, is over ``quiet_s`` before the load
  ends.

A fault that breaks a rule is discarded and not replaced, so the configured rate is an
upper limit.
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
    RandomFaults,
    link_names,
    matching_links,
)

SHORTEST_FAULT_S = 0.1
RESTART_ALLOWANCE_S = 3.0
"""Time allowed for a started process to become ready."""
TERMINATION_ALLOWANCE_S = 5.0
"""Time allowed for a process to end after SIGTERM."""
DELAY_RANGE_MS = (5, 200)
JITTER_RANGE_MS = (0, 100)
LINK_SCOPES = ("one", "one", "out", "in")
"""One link (twice as likely), all links from one member, or all links to one."""


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """The duration of a fault, and the resources that it affects."""

    begin_s: float
    end_s: float
    resources: frozenset[str]
    """Processes, endpoints or links."""
    unavailable: frozenset[str]
    """Forwarders that are stopped or cut off."""


def fault_window(experiment: Experiment, fault: Fault) -> FaultWindow:
    """The window of a fault, including the restart of its process."""
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
    """Whether these links include a forwarder's client link or all its endpoint links.

    A forwarder without the list service is not cut off.
    """
    return f"{CLIENT}>{forwarder}" in links or all(
        f"{forwarder}>{endpoint}" in links for endpoint in experiment.endpoint_names()
    )


def is_allowed(
    experiment: Experiment,
    settings: RandomFaults,
    windows: list[FaultWindow],
    new: FaultWindow,
) -> bool:
    """Whether the rules allow the fault ``new`` in addition to ``windows``.

    Linear in the windows, and quadratic in those that overlap the new one.
    """
    if new.end_s > experiment.duration_s - settings.quiet_s:
        return False
    overlapping = [
        window
        for window in windows
        if window.begin_s < new.end_s and new.begin_s < window.end_s
    ]
    if any(window.resources & new.resources for window in overlapping):
        return False
    if settings.all_at_once or not new.unavailable:
        return True
    return _leaves_a_forwarder(experiment, overlapping, new)


def _leaves_a_forwarder(
    experiment: Experiment, overlapping: list[FaultWindow], new: FaultWindow
) -> bool:
    """Whether some forwarder is available throughout the new window.

    The number of unavailable forwarders only grows when a window begins, so checking
    these times is enough.
    """
    later_begins_s = [
        window.begin_s for window in overlapping if window.begin_s > new.begin_s
    ]
    for at_s in [new.begin_s, *later_begins_s]:
        unavailable = set(new.unavailable)
        for window in overlapping:
            if window.begin_s <= at_s < window.end_s:
                unavailable |= window.unavailable
        if len(unavailable) >= experiment.fleet.forwarders:
            return False
    return True


def fault_timeline(experiment: Experiment, seed: int) -> tuple[Fault, ...]:
    """The faults of a run, ordered by time: those of the file and the random ones."""
    settings = experiment.random_faults
    if settings is None:
        return experiment.faults
    rng = random.Random(f"nemesis/{seed}")
    faults = list(experiment.faults)
    windows = [fault_window(experiment, fault) for fault in faults]
    at_s = rng.expovariate(settings.rate_per_s)
    while at_s < experiment.duration_s - settings.quiet_s:
        fault = _draw_fault(experiment, settings, rng, round(at_s, 3))
        window = fault_window(experiment, fault)
        if is_allowed(experiment, settings, windows, window):
            faults.append(fault)
            windows.append(window)
        at_s += rng.expovariate(settings.rate_per_s)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_fault(
    experiment: Experiment, settings: RandomFaults, rng: random.Random, at_s: float
) -> Fault:
    kind = rng.choice(settings.kinds)
    length_s = round(rng.uniform(SHORTEST_FAULT_S, settings.longest_s), 3)
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
    lose = settings.service_lose if target == LIST_SERVICE else settings.lose
    restart = "lose" if rng.random() < lose else "keep"
    return Fault(at_s=at_s, kind=kind, target=target, restart=restart, after_s=length_s)


def _draw_links(experiment: Experiment, rng: random.Random) -> str:
    """Draw a glob for one link, all links from one member, or all links to one."""
    name = rng.choice(link_names(experiment))
    source, _, target = name.partition(">")
    scope = rng.choice(LINK_SCOPES)
    if scope == "out" and source != CLIENT:
        return f"{source}>*"
    if scope == "in":
        return f"*>{target}"
    return name
