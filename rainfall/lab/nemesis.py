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

from rainfall.lab.shapes import (
    LINK_KINDS,
    PROCESS_KINDS,
    SERVICE,
    Experiment,
    Fault,
    Nemesis,
    chosen_links,
    links_of,
)

SHORTEST_S = 0.1
START_S = 3.0
"""Booked for a process to be ready again, beside the time after which it is started."""
TERM_S = 5.0
"""Booked for an end by SIGTERM."""


@dataclass(frozen=True, slots=True)
class Booked:
    """What one fault takes, and until when. ``out``: forwarders that it stops or
    cuts.
    """

    begin_s: float
    end_s: float
    things: frozenset[str]
    out: frozenset[str]


def booked(exp: Experiment, fault: Fault) -> Booked:
    members = set(exp.forwarder_names())
    if fault.kind in LINK_KINDS:
        links = frozenset(chosen_links(exp, fault))
        out = (
            {m for m in members if _cut(exp, m, links)}
            if fault.kind != "delay"
            else set()
        )
        return Booked(fault.at_s, fault.at_s + fault.for_s, links, frozenset(out))
    if fault.kind not in PROCESS_KINDS:
        return Booked(
            fault.at_s, fault.at_s + fault.for_s, frozenset({fault.target}), frozenset()
        )
    if fault.kind == "pause":
        end = fault.at_s + fault.for_s
    elif fault.restart:
        end = (
            fault.at_s
            + fault.after_s
            + START_S
            + (TERM_S if fault.kind == "term" else 0.0)
        )
    else:
        end = float("inf")
    return Booked(
        fault.at_s, end, frozenset({fault.target}), frozenset({fault.target} & members)
    )


def _cut(exp: Experiment, member: str, links: frozenset[str]) -> bool:
    """A forwarder is out of use without its clients or without every endpoint; not
    without the list.
    """
    return f"client>{member}" in links or all(
        f"{member}>{e}" in links for e in exp.endpoint_names()
    )


def allowed(
    exp: Experiment, nemesis: Nemesis, known: list[Booked], new: Booked
) -> bool:
    """Whether a fault may join those booked. O(booked)."""
    if new.end_s > exp.duration_s - nemesis.quiet_s:
        return False
    beside = [b for b in known if b.begin_s < new.end_s and new.begin_s < b.end_s]
    if any(b.things & new.things for b in beside):
        return False
    if nemesis.all_at_once or not new.out:
        return True
    # Who is out is greatest as some fault begins: each such moment within the new one
    # is looked at.
    for at in [new.begin_s, *(b.begin_s for b in beside if b.begin_s > new.begin_s)]:
        out = set(new.out).union(*(b.out for b in beside if b.begin_s <= at < b.end_s))
        if len(out) >= exp.fleet.forwarders:
            return False
    return True


def timeline(exp: Experiment, seed: int) -> tuple[Fault, ...]:
    """The faults of a run in order of time: the file's own and, where it has a nemesis,
    the drawn ones.
    """
    nemesis = exp.nemesis
    if nemesis is None:
        return exp.faults
    chance = random.Random(f"nemesis/{seed}")
    faults, known = list(exp.faults), [booked(exp, f) for f in exp.faults]
    at = chance.expovariate(nemesis.rate_per_s)
    while at < exp.duration_s - nemesis.quiet_s:
        fault = _draw(exp, nemesis, chance, round(at, 3))
        take = booked(exp, fault)
        if allowed(exp, nemesis, known, take):
            faults.append(fault)
            known.append(take)
        at += chance.expovariate(nemesis.rate_per_s)
    return tuple(sorted(faults, key=lambda f: f.at_s))


def _draw(
    exp: Experiment, nemesis: Nemesis, chance: random.Random, at_s: float
) -> Fault:
    kind = chance.choice(nemesis.kinds)
    length = round(chance.uniform(SHORTEST_S, nemesis.longest_s), 3)
    if kind in LINK_KINDS:
        return Fault(
            at_s=at_s,
            kind=kind,
            target=_link(exp, chance),
            for_s=length,
            delay_ms=round(chance.uniform(5, 200), 1) if kind == "delay" else 0.0,
            jitter_ms=round(chance.uniform(0, 100), 1) if kind == "delay" else 0.0,
        )
    target = chance.choice(exp.process_names())
    if kind == "pause":
        return Fault(at_s=at_s, kind=kind, target=target, for_s=length)
    lose = nemesis.service_lose if target == SERVICE else nemesis.lose
    restart = "lose" if chance.random() < lose else "keep"
    return Fault(at_s=at_s, kind=kind, target=target, restart=restart, after_s=length)


def _link(exp: Experiment, chance: random.Random) -> str:
    """One link, one member's links outward (its machine's line), or all members' links
    to one peer.
    """
    name = chance.choice(links_of(exp))
    near, _, far = name.partition(">")
    how = chance.choice(("one", "one", "out", "in"))
    if how == "out" and near != "client":
        return f"{near}>*"
    return f"*>{far}" if how == "in" else name
