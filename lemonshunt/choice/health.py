"""Rule 4: which targets are in an outage or back from one and cold, and how far apart their calls are."""

from __future__ import annotations

from lemonshunt import interface as i
from lemonshunt.choice.books import SECOND, Books
from lemonshunt.interface import Outcome
from lemonshunt.state import Target

FAIL_MARK = 0.5  # failing share above which a target is in an outage: two failures running, or most calls
SURE_MARK = 0.56  # failing share above which once-only messages hold off: more than one failure tells
BUDGET_PART = 0.8  # part of our share of the cold budget that is used; the rest is slack for chance
SLACK_CALLS = 4.0  # calls in fall_us from all forwarders together that the budget's slack for chance covers
TURN_TIMES = 8.0  # times the age of an outage that our turns are apart, where our part is under one call


def in_outage(t: Target) -> bool:
    """Whether the signs of an outage were seen and no call has succeeded since."""
    return t.outage_at >= 0 and t.back_at < 0


def cold(b: Books, t: Target) -> bool:
    """Whether the target is in an outage, or back from one and not yet warm."""
    return t.outage_at >= 0 and (t.back_at < 0 or b.now - t.back_at < b.s.warm_us)


def avoids(b: Books, target: int) -> bool:
    """Whether a target gets nothing now, or nothing while another of its destination is sound."""
    t = b.targets.get(target)
    return t is None or not t.serving or target in b.detached or in_outage(t)


def turn(b: Books, t: Target) -> float:
    """Rule 4: the time between our calls to a cold target. Where it is long, few others hold a message
    for it, and a multiple of the outage's age suffices."""
    warm = (b.now - t.back_at) / max(1, b.s.warm_us) if t.back_at >= 0 else 0.0
    share = b.s.cold_from + (1 - b.s.cold_from) * warm
    capacity = t.place.limit or (t.weight if b.s.weights_told else 0.0)
    sharing = b.s.balancers * (1 if t.apart else len(b.by_destination[t.destination]))
    rate = BUDGET_PART * b.s.overload_factor * share * capacity / sharing / SECOND
    grown = 1.0 if capacity else share / max(b.s.cold_from, 0.01)  # where nothing is told of it
    least = SLACK_CALLS * grown / max(1, b.s.fall_us) / b.s.balancers
    age = (t.tried_at if t.back_at < 0 else t.back_at) - t.outage_at
    return min(1 / max(rate, least), max(b.s.fall_us, TURN_TIMES * age))


def watch_outage(b: Books, target: Target, outcome: Outcome) -> None:
    """Rule 4: from the signs of an outage until warm again, calls to the target take turns. When it came
    back lies between the last call that failed and this one, which may be long after."""
    if outcome is Outcome.DELIVERED:
        if in_outage(target) and target.failing <= FAIL_MARK:
            warming(b, target, max(target.outage_at, (b.now + target.failed_at) // 2))
            # What shares a limit mostly shares its outages: the others need not each be tried first.
            for t in b.by_destination.get(target.destination, ()):
                if t.place is target.place and in_outage(t):
                    warming(b, t, max(t.outage_at, target.back_at))
                    t.failing = min(t.failing, FAIL_MARK)
        return
    target.failed_at = b.now
    if target.failing > FAIL_MARK:
        if not cold(b, target):
            b.actions.append(i.Note(f"target {target.id} in outage: {outcome.value}"))
            target.outage_at = b.now
        if target.back_at >= 0 or target.outage_at == b.now:
            b.actions.append(i.Outage(target.id, target.outage_at))
        target.back_at = -1


def warming(b: Books, t: Target, back_at: int) -> None:
    t.back_at = back_at
    b.actions.append(i.Outage(t.id, t.outage_at, back_at))
    b.actions.append(i.Note(f"target {t.id} answers again: warming"))


def recalled_outage(b: Books, event: i.OutageRecalled) -> None:
    """An outage of before a restart goes on; one of a target that the list no longer names is left out."""
    t = b.targets.get(event.target)
    if t is not None:
        t.outage_at, t.back_at = event.since_us, event.back_us
        t.failing, t.tried_at = SURE_MARK, b.now
