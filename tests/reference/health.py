"""Rule 4: which targets are in an outage or back from one and cold, and how far apart
their calls are.
"""

from __future__ import annotations

import math

from rainfall.dispatch import LogNote, OutageRestored, Outcome, RecordOutage
from tests.reference.books import FEW, SECOND, Books
from tests.reference.state import Target

# failing share above which a target is in an outage: two failures running, or most
# calls
FAIL_MARK = 0.5
# failing share above which once-only messages hold off: more than one failure tells
SURE_MARK = 0.56
# part of the cold budget that is used in the mean where it is large; the rest is slack
BUDGET_PART = 0.8
SLACK_CALLS = (
    4.0  # and calls in fall_us that are made at most in the mean where it is small
)
# times the root of the budget, and as many calls beside: what is borne beyond it as
# chance
CHANCE = 2.0
# standard deviations of all forwarders' calls in fall_us that have to stay within that
SIGMAS = 3.5
# each turn is that much longer or shorter, by chance: forwarders must not meet again
# and again
SPREAD = 0.5
ROUGH = 1.5  # a weight may be up to half too high (WIRE, weight_source)
# the least budget, in calls, where nothing is told: under it one call may be too much
UNTOLD_CALLS = 1.0
# such a call weighs at most that part of our even share: two may meet in fall_us by
# SPREAD
JOIN_PART = 2
# of a call is "a little weight" (WIRE, rule 4): what each further message of it counts
ITEM_WEIGHT = 0.25


def in_outage(t: Target) -> bool:
    """Whether the signs of an outage were seen and no call has succeeded since."""
    return t.outage_at >= 0 and t.back_at < 0


def cold(b: Books, t: Target) -> bool:
    """Whether the target is in an outage, or back from one and not yet surely warm: it
    may have come back by half of fall_us later than was taken.
    """
    return t.outage_at >= 0 and (
        t.back_at < 0
        or b.now - t.back_at < b.s.warm_up_us + b.s.overload_window_us // 2
    )


def avoids(b: Books, target: int) -> bool:
    """Whether a target gets nothing now, or nothing while another of its destination is
    sound.
    """
    t = b.targets.get(target)
    return t is None or not t.serving or target in b.detached or in_outage(t)


def turn(b: Books, t: Target) -> float:
    """Rule 4: the time between our calls to a cold target. All forwarders may hold
    messages for it.
    """
    return b.s.overload_window_us * sharing(b, t) / calls(b, t)


def sharing(b: Books, t: Target) -> int:
    """How many turns the budget is parted among: of all forwarders, at all that shares
    its limit.
    """
    return b.s.forwarder_count * (
        1 if t.apart else max(1, len(b.by_destination.get(t.destination, ())))
    )


def budget(b: Books, t: Target) -> tuple[float, float]:
    """Calls in fall_us that the destination bears now from all forwarders: by what is
    told, and at least.
    """
    warm = (b.now - t.back_at) / max(1, b.s.warm_up_us) if t.back_at >= 0 else 0.0
    share = b.s.cold_capacity_share + (1 - b.s.cold_capacity_share) * min(1.0, warm)
    told = t.place.limit or (t.weight if b.s.endpoint_weights_known else 0.0)
    if not told or not b.s.overload_factor:
        least = UNTOLD_CALLS * share / max(b.s.cold_capacity_share, 0.01)
        return least, least
    told *= b.s.overload_factor * share * b.s.overload_window_us / SECOND
    return told, told if t.place.limit else told / ROUGH


def bound(b: Books, t: Target) -> float:
    """The budget and what is borne beyond it as chance."""
    least = budget(b, t)[1]
    return least + CHANCE * math.sqrt(least) + CHANCE


def calls(b: Books, t: Target) -> float:
    """Calls of all forwarders in fall_us, in the mean, so that chance hardly takes them
    over the bound. Where each makes less than one their number varies like any rare
    event's; the more each makes, the less, as its turns are drawn around a mean.
    """
    most, own, each = bound(b, t), sharing(b, t) / 6, SPREAD * SPREAD / 3
    rare, even = within(most, 0.0, 1.0), within(most, own, each)
    return min(max(rare, even), max(BUDGET_PART * budget(b, t)[0], SLACK_CALLS))


def within(most: float, fixed: float, grows: float) -> float:
    """The mean m with m + SIGMAS * root(fixed + grows * m) = most; 0 where there is
    none.
    """
    half = most + SIGMAS**2 * grows / 2
    return max(0.0, half - math.sqrt(max(0.0, half**2 - most**2 + SIGMAS**2 * fixed)))


def weight(messages: int) -> float:
    """What a call of so many messages counts."""
    return 1 + ITEM_WEIGHT * (messages - 1)


def may_join(b: Books, t: Target, joined: int) -> bool:
    """Whether one more message may travel in a call to a cold target: its turns are as
    much further apart, but some such calls of each forwarder may meet in fall_us.
    """
    return t.back_at >= 0 and JOIN_PART * sharing(b, t) * weight(joined + 1) <= bound(
        b, t
    )


def drawn(b: Books) -> float:
    """How many turns after this call the next may go."""
    return b.random.uniform(1 - SPREAD, 1 + SPREAD)


def watch_outage(b: Books, target: Target, outcome: Outcome) -> None:
    """Rule 4: from the signs of an outage until warm again, calls to the target take
    turns. When it came back lies between the last call that failed and this one: half
    way, but where turns are long not earlier than half of fall_us ago, as those who
    hear first would otherwise hold it to be warm.
    """
    if outcome is Outcome.DELIVERED:
        target.well_at = b.now
        if in_outage(target) and target.failing <= FAIL_MARK:
            back_at = max(
                (b.now + target.failed_at) // 2, b.now - b.s.overload_window_us // 2
            )
            warming(b, target, max(target.outage_at, back_at))
            # What shares a limit mostly shares its outages: the others need not each be
            # tried first.
            for t in b.by_destination.get(target.destination, ()):
                if t.place is target.place and in_outage(t):
                    warming(b, t, max(t.outage_at, target.back_at))
                    t.failing = min(t.failing, FAIL_MARK)
        return
    target.failed_at = b.now
    if target.failing > FAIL_MARK:
        if not cold(b, target):
            b.actions.append(LogNote(f"target {target.id} in outage: {outcome.value}"))
            target.outage_at = b.now
            target.spread = (
                b.random.random()
            )  # from the middle of a turn: many may have learned at once
            if outcome is not Outcome.REJECTED:
                doubt(b, target)
        if target.back_at >= 0 or target.outage_at == b.now:
            b.actions.append(RecordOutage(target.id, target.outage_at))
        target.back_at = -1


def doubt(b: Books, target: Target) -> None:
    """Outages mostly take all that share a limit. Where many forwarders share it, those
    that have not answered since the call that failed are held to be out as well: what
    all send over to them adds up.
    """
    for t in b.by_destination.get(target.destination, ()):
        if (
            b.s.forwarder_count > FEW
            and t.place is target.place
            and not cold(b, t)
            and t.well_at < target.tried_at
        ):
            t.outage_at, t.back_at, t.spread = b.now, -1, b.random.random()
            t.tried_at = max(t.tried_at, target.tried_at)
            b.actions.append(RecordOutage(t.id, t.outage_at))


def warming(b: Books, t: Target, back_at: int) -> None:
    t.back_at = back_at
    b.actions.append(RecordOutage(t.id, t.outage_at, back_at))
    b.actions.append(LogNote(f"target {t.id} answers again: warming"))


def recalled_outage(b: Books, event: OutageRestored) -> None:
    """An outage of before a restart goes on; one of a target that the list no longer
    names is left out. When the last call went is not known: many that restart at once
    must not call in step a turn later.
    """
    t = b.targets.get(event.endpoint)
    if t is not None:
        t.outage_at, t.back_at = event.started_at_us, event.recovered_at_us
        t.failing, t.tried_at, t.spread = SURE_MARK, b.now, b.random.random()
