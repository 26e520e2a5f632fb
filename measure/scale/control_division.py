"""Measures the cost of budgets at the list service, against members and budgets.

Measured are one division, a plan, a member's heartbeat and the shares in its answer.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable

from measure.scale import control_fixtures as fixtures
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
    """Generate the demand of each member: every third one has some, in two classes."""
    generator = random.Random(seed)
    return {
        n: {"gold": generator.randrange(50), "free": generator.randrange(50)}
        if n % 3 == 0
        else {}
        for n in range(members)
    }


def measure_division(members: int) -> dict[str, float]:
    """Measure one division of a single budget among `members` members."""
    demand, floors = needs(members, members), dict.fromkeys(range(members), 1)
    return {
        "ms": probe.processor_ms_each(
            lambda: divide(
                members * CALLS_PER_MEMBER,
                demand,
                {"gold": 3},
                floors,
                1,
                {},
                members // 3,
            )
        )
    }


def build_ledger(members: int, budgets: int) -> Ledger:
    """Build a ledger with all members and budgets in force and nothing granted yet."""
    parsed_budgets = parse_budgets(
        [
            fixtures.budget(n, members * CALLS_PER_MEMBER, members, 1)
            for n in range(budgets)
        ]
    )
    ledger = Ledger(
        parsed_budgets, fixtures.LEASE_US, fixtures.DRIFT, 0, history_complete=True
    )
    for n in range(members):
        ledger.member_joined(fixtures.token(n), fixtures.member(n), None, 0)
    return ledger


def settle(ledger: Ledger, now_us: int) -> int:
    """Plan, commit and acknowledge until no change is due; return that time (us)."""
    while (change := ledger.plan(now_us)) is not None:
        ledger.commit(change)
        for token in list(ledger.names):
            shares = ledger.shares_for(token)
            ledger.heartbeat(
                token,
                {},
                {
                    destination: (share.calls, share.number)
                    for destination, share in shares.items()
                },
                now_us,
            )
        now_us += fixtures.SECOND_US
    return now_us


def ledger_bytes(members: int, budgets: int) -> int:
    """Measure the memory that a settled ledger occupies.

    Runs in a process of its own.
    """
    before = probe.resident_bytes()
    ledger = build_ledger(members, budgets)
    settle(ledger, 0)
    return probe.resident_bytes() - before


def service_rest_ms(ledger: Ledger, now_us: int) -> float:
    """Measure a plan without changes as the list service makes it.

    The service also computes when the next change falls due.
    """
    extension = BudgetExtension(fixtures.LEASE_US, fixtures.DRIFT)
    extension.ledger = ledger
    return probe.processor_ms_each(lambda: extension.plan(now_us, False, []))


def measure_ledger(members: int, budgets: int) -> dict[str, float]:
    """Measure a settled ledger: a plan and a heartbeat without changes, and its answer.

    Measured as well are a plan after one member's demand changed in one budget, and
    the memory.
    """
    ledger = build_ledger(members, budgets)
    now_us = settle(ledger, 0)
    token = fixtures.token(0)
    holds = {
        destination: (share.calls, share.number)
        for destination, share in ledger.shares_for(token).items()
    }
    rest_ms = probe.processor_ms_each(lambda: ledger.plan(now_us))
    service_ms = service_rest_ms(ledger, now_us)
    beat_ms = probe.processor_ms_each(
        lambda: ledger.heartbeat(token, {}, holds, now_us)
    )
    shares_ms = probe.processor_ms_each(lambda: ledger.shares_for(token))
    clock = itertools.count(now_us + 2 * fixtures.SECOND_US, 2 * fixtures.SECOND_US)
    demand = itertools.cycle((200, 100))

    def change_need() -> None:
        at_us = next(clock)
        ledger.heartbeat(token, {"0": {"gold": next(demand)}}, {}, at_us)
        change = ledger.plan(at_us)
        if change is not None:
            ledger.commit(change)

    changed_ms = probe.processor_ms(change_need)
    return {
        "rest_ms": rest_ms,
        "service_rest_ms": service_ms,
        "beat_ms": beat_ms,
        "told_ms": shares_ms,
        "stirred_ms": changed_ms,
        "kept_bytes": run_isolated(ledger_bytes, members, budgets),
    }


def series(prefix: str, size_unit: str, growth: Growth) -> Iterable[Series]:
    """Yield one series for each measured value of a growth."""
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
    """Measure one division against the number of members."""
    yield from series(
        "division", "members", grow(MEMBERS, measure_division, progress, REPEATS)
    )


def members_series(progress: Progress) -> Iterable[Series]:
    """Measure the ledger of one budget against the number of members."""
    growth = grow(MEMBERS, lambda size: measure_ledger(size, 1), progress, 3)
    yield from series("ledger_members", "members", growth)


def budgets_series(progress: Progress) -> Iterable[Series]:
    """Measure the ledger of `FEW_MEMBERS` members against the number of budgets."""
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
