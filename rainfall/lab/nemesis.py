"""A nemesis: faults drawn from a run's seed, by rules that keep the run worth judging.

Rules, whatever is drawn: the same seed gives the same faults; no two faults are on one
process or one link at a time (a heal would end the other one early); unless
``all_at_once``, some forwarder is neither stopped nor cut at each moment (the file's
own faults counted); every fault, a restart's way to ready included, is over ``quiet_s``
before the load ends. A draw that breaks a rule is dropped, not drawn again, so the rate
is a bound.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from rainfall.lab.experiment_model import (
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
"""Booked for a process to be ready again, beside the time after which it is started."""
TERMINATION_ALLOWANCE_S = 5.0
"""Booked for an end by SIGTERM."""


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """What one fault takes, and until when.

    ``out``: forwarders that it stops or cuts.
    """

    begin_s: float
    end_s: float
    resources: frozenset[str]
    unavailable: frozenset[str]


def fault_window(experiment: Experiment, fault: Fault) -> FaultWindow:
    members = set(experiment.forwarder_names())
    if fault.kind in LINK_KINDS:
        links = frozenset(matching_links(experiment, fault))
        unavailable = (
            {m for m in members if _is_cut_off(experiment, m, links)}
            if fault.kind != "delay"
            else set()
        )
        return FaultWindow(
            fault.at_s, fault.at_s + fault.for_s, links, frozenset(unavailable)
        )
    if fault.kind not in PROCESS_KINDS:
        return FaultWindow(
            fault.at_s, fault.at_s + fault.for_s, frozenset({fault.target}), frozenset()
        )
    if fault.kind == "pause":
        end = fault.at_s + fault.for_s
    elif fault.restart:
        end = (
            fault.at_s
            + fault.after_s
            + RESTART_ALLOWANCE_S
            + (TERMINATION_ALLOWANCE_S if fault.kind == "term" else 0.0)
        )
    else:
        end = float("inf")
    return FaultWindow(
        fault.at_s, end, frozenset({fault.target}), frozenset({fault.target} & members)
    )


def _is_cut_off(experiment: Experiment, member: str, links: frozenset[str]) -> bool:
    """A forwarder is out of use without its clients or without every endpoint; not
    without the list.
    """
    return f"client>{member}" in links or all(
        f"{member}>{e}" in links for e in experiment.endpoint_names()
    )


def is_allowed(
    experiment: Experiment,
    nemesis: Nemesis,
    windows: list[FaultWindow],
    new: FaultWindow,
) -> bool:
    """Whether a fault may join those booked. O(booked)."""
    if new.end_s > experiment.duration_s - nemesis.quiet_s:
        return False
    overlapping = [
        b for b in windows if b.begin_s < new.end_s and new.begin_s < b.end_s
    ]
    if any(b.resources & new.resources for b in overlapping):
        return False
    if nemesis.all_at_once or not new.unavailable:
        return True
    # Who is out is greatest as some fault begins: each such moment within the new one
    # is looked at.
    for at in [
        new.begin_s,
        *(b.begin_s for b in overlapping if b.begin_s > new.begin_s),
    ]:
        unavailable = set(new.unavailable).union(
            *(b.unavailable for b in overlapping if b.begin_s <= at < b.end_s)
        )
        if len(unavailable) >= experiment.fleet.forwarders:
            return False
    return True


def fault_timeline(experiment: Experiment, seed: int) -> tuple[Fault, ...]:
    """The faults of a run in order of time: the file's own and, where it has a nemesis,
    the drawn ones.
    """
    nemesis = experiment.nemesis
    if nemesis is None:
        return experiment.faults
    rng = random.Random(f"nemesis/{seed}")
    faults, windows = (
        list(experiment.faults),
        [fault_window(experiment, f) for f in experiment.faults],
    )
    at_s = rng.expovariate(nemesis.rate_per_s)
    while at_s < experiment.duration_s - nemesis.quiet_s:
        fault = _draw_fault(experiment, nemesis, rng, round(at_s, 3))
        window = fault_window(experiment, fault)
        if is_allowed(experiment, nemesis, windows, window):
            faults.append(fault)
            windows.append(window)
        at_s += rng.expovariate(nemesis.rate_per_s)
    return tuple(sorted(faults, key=lambda f: f.at_s))


def _draw_fault(
    experiment: Experiment, nemesis: Nemesis, rng: random.Random, at_s: float
) -> Fault:
    kind = rng.choice(nemesis.kinds)
    length_s = round(rng.uniform(SHORTEST_FAULT_S, nemesis.longest_s), 3)
    if kind in LINK_KINDS:
        return Fault(
            at_s=at_s,
            kind=kind,
            target=_draw_link(experiment, rng),
            for_s=length_s,
            delay_ms=round(rng.uniform(5, 200), 1) if kind == "delay" else 0.0,
            jitter_ms=round(rng.uniform(0, 100), 1) if kind == "delay" else 0.0,
        )
    target = rng.choice(experiment.process_names())
    if kind == "pause":
        return Fault(at_s=at_s, kind=kind, target=target, for_s=length_s)
    lose = nemesis.service_lose if target == LIST_SERVICE else nemesis.lose
    restart = "lose" if rng.random() < lose else "keep"
    return Fault(at_s=at_s, kind=kind, target=target, restart=restart, after_s=length_s)


def _draw_link(experiment: Experiment, rng: random.Random) -> str:
    """One link, one member's links outward (its machine's line), or all members' links
    to one peer.
    """
    name = rng.choice(link_names(experiment))
    near, _, far = name.partition(">")
    scope = rng.choice(("one", "one", "out", "in"))
    if scope == "out" and near != "client":
        return f"{near}>*"
    return f"*>{far}" if scope == "in" else name
