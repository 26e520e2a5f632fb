"""Budgets at the list service: one division, a plan, a member's beat, against members
and against budgets.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable

from measure.scale import control_fixtures as worlds
from measure.scale import process_probe as probe
from measure.scale.growth import Growth, grow, run_isolated
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import FORWARDERS, Role
from rainfall.budget.config import parse_budgets
from rainfall.budget.fair_share import divide
from rainfall.budget.ledger import Ledger
from rainfall.registry.budget_extension import BudgetExtension

MEMBERS = (10, 30, 100, 300, FORWARDERS, 1_000)
BUDGETS = (1, 10, 100, 1_000)
FEW_MEMBERS = 30
REPEATS = 5
CALLS_PER_MEMBER = 6
MS = "ms of processor time"


def needs(members: int, seed: int) -> dict[int, dict[str, int]]:
    """A third of the members has work, in two parts."""
    chance = random.Random(seed)
    return {
        n: {"gold": chance.randrange(50), "free": chance.randrange(50)}
        if n % 3 == 0
        else {}
        for n in range(members)
    }


def measure_division(members: int) -> dict[str, float]:
    """One division of one budget alone."""
    wanted, floors = needs(members, members), dict.fromkeys(range(members), 1)
    return {
        "ms": probe.processor_ms_each(
            lambda: divide(
                members * CALLS_PER_MEMBER,
                wanted,
                {"gold": 3},
                floors,
                1,
                {},
                members // 3,
            )
        )
    }


def build_ledger(members: int, budgets: int) -> Ledger:
    """All in force, nothing granted yet."""
    named = parse_budgets(
        [
            worlds.budget(n, members * CALLS_PER_MEMBER, members, 1)
            for n in range(budgets)
        ]
    )
    made = Ledger(named, worlds.LEASE_US, worlds.DRIFT, 0, sure=True)
    for n in range(members):
        made.member_joined(worlds.token(n), worlds.member(n), None, 0)
    return made


def settle(made: Ledger, now_us: int) -> int:
    """Plan, take and acknowledge until nothing is due; the moment it then is."""
    while (change := made.plan(now_us)) is not None:
        made.commit(change)
        for token in list(made.names):
            told = made.shares_for(token)
            made.heartbeat(
                token, {}, {d: (s.calls, s.number) for d, s in told.items()}, now_us
            )
        now_us += worlds.SECOND_US
    return now_us


def ledger_bytes(members: int, budgets: int) -> int:
    """In a process of its own: memory that a ledger at rest keeps."""
    before = probe.resident_bytes()
    made = build_ledger(members, budgets)
    settle(made, 0)
    return probe.resident_bytes() - before


def service_rest_ms(made: Ledger, now_us: int) -> float:
    """A plan at rest as the list service makes it: it also looks for when something
    falls due next.
    """
    rider = BudgetExtension(worlds.LEASE_US, worlds.DRIFT)
    rider.ledger = made
    return probe.processor_ms_each(lambda: rider.plan(now_us, False, []))


def measure_ledger(members: int, budgets: int) -> dict[str, float]:
    """At rest: a plan that finds nothing due, a beat that says nothing new, its answer.

    Then a plan after a member's need changed in one budget; and the memory.
    """
    made = build_ledger(members, budgets)
    now_us = settle(made, 0)
    token = worlds.token(0)
    holds = {d: (s.calls, s.number) for d, s in made.shares_for(token).items()}
    rest_ms = probe.processor_ms_each(lambda: made.plan(now_us))
    service_ms = service_rest_ms(made, now_us)
    beat_ms = probe.processor_ms_each(lambda: made.heartbeat(token, {}, holds, now_us))
    told_ms = probe.processor_ms_each(lambda: made.shares_for(token))
    clock = itertools.count(now_us + 2 * worlds.SECOND_US, 2 * worlds.SECOND_US)
    work = itertools.cycle((200, 100))

    def stirred() -> None:
        at_us = next(clock)
        made.heartbeat(token, {"0": {"gold": next(work)}}, {}, at_us)
        change = made.plan(at_us)
        if change is not None:
            made.commit(change)

    stirred_ms = probe.processor_ms(stirred)
    return {
        "rest_ms": rest_ms,
        "service_rest_ms": service_ms,
        "beat_ms": beat_ms,
        "told_ms": told_ms,
        "stirred_ms": stirred_ms,
        "kept_bytes": run_isolated(ledger_bytes, members, budgets),
    }


def series(prefix: str, size_unit: str, growth: Growth) -> Iterable[Series]:
    for key in growth.points:
        unit = "bytes" if key.endswith("_bytes") else MS
        yield Series(
            f"{prefix}_{key}",
            Role.BUDGETS,
            size_unit,
            unit,
            growth.points_of(key),
            growth.bound,
        )


def division_series(progress: Progress) -> Iterable[Series]:
    yield from series(
        "division", "members", grow(MEMBERS, measure_division, progress, REPEATS)
    )


def members_series(progress: Progress) -> Iterable[Series]:
    growth = grow(MEMBERS, lambda size: measure_ledger(size, 1), progress, 3)
    yield from series("ledger_members", "members", growth)


def budgets_series(progress: Progress) -> Iterable[Series]:
    growth = grow(
        BUDGETS,
        lambda size: measure_ledger(FEW_MEMBERS, size),
        progress,
        3,
        point_s=30.0,
    )
    yield from series("ledger_budgets", "budgets", growth)


MEASUREMENTS = (
    Measurement(
        "control_division",
        "one division of one budget against members",
        division_series,
    ),
    Measurement(
        "control_ledger_members",
        "plan, beat and answer of one budget against members",
        members_series,
    ),
    Measurement(
        "control_ledger_budgets",
        f"the same at {FEW_MEMBERS} members against budgets",
        budgets_series,
    ),
)
