"""Rule 4: which endpoints are in an outage or cold after one, and the interval between calls
to them.
"""

from __future__ import annotations

import math

from rainfall.dispatch import LogNote, OutageRestored, Outcome, RecordOutage
from tests.reference.books import FEW, SECOND, Books
from tests.reference.state import Target

# failing share above which an endpoint is in an outage: two consecutive failures, or most calls
FAIL_MARK = 0.5
# failing share above which at-most-once messages are held back: reached by more than one failure
SURE_MARK = 0.56
# share of a large cold budget that is used on average; the rest is slack
BUDGET_PART = 0.8
SLACK_CALLS = 4.0  # maximum average calls in fall_us with a small budget
# random excess over the budget that is tolerated: this many times its square root plus this
# many calls
CHANCE = 2.0
# standard deviations of all forwarders' calls in fall_us that must stay within that bound
SIGMAS = 3.5
# relative jitter of each turn (interval between calls), so that forwarders do not stay in step
SPREAD = 0.5
ROUGH = 1.5  # a weight may be up to 50% too high (WIRE, weight_source)
# minimum budget, in calls, of an endpoint without a known limit: below it one call may exceed it
UNTOLD_CALLS = 1.0
# a batch call weighs at most the bound's even share divided by this: by SPREAD, two calls of
# one forwarder may fall into fall_us
JOIN_PART = 2
# weight of each further message of a call: "a little weight" (WIRE, rule 4)
ITEM_WEIGHT = 0.25


def in_outage(t: Target) -> bool:
    """Returns whether an outage was detected and no call has succeeded since."""
    return t.outage_at >= 0 and t.back_at < 0


def cold(b: Books, t: Target) -> bool:
    """Returns whether the endpoint is in an outage, or recovered and possibly not yet warm: it
    may have recovered up to half of fall_us later than assumed.
    """
    return t.outage_at >= 0 and (
        t.back_at < 0
        or b.now - t.back_at < b.s.warm_up_us + b.s.overload_window_us // 2
    )


def avoids(b: Books, target: int) -> bool:
    """Returns whether an endpoint gets no calls now, or none while another endpoint of its
    destination is healthy.
    """
    t = b.targets.get(target)
    return t is None or not t.serving or target in b.detached or in_outage(t)


def turn(b: Books, t: Target) -> float:
    """Rule 4: returns the interval between this forwarder's calls to a cold endpoint, assuming
    that all forwarders have messages for it.
    """
    return b.s.overload_window_us * sharing(b, t) / calls(b, t)


def sharing(b: Books, t: Target) -> int:
    """Returns the number of turns that share the budget: forwarders times endpoints that share
    the limit.
    """
    return b.s.forwarder_count * (
        1 if t.apart else max(1, len(b.by_destination.get(t.destination, ())))
    )


def budget(b: Books, t: Target) -> tuple[float, float]:
    """Returns the calls of all forwarders in fall_us that the destination can take now: by the
    reported limit or weight, and a lower estimate.
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
    """Returns the lower budget plus the tolerated random excess."""
    least = budget(b, t)[1]
    return least + CHANCE * math.sqrt(least) + CHANCE


def calls(b: Books, t: Target) -> float:
    """Returns the average calls of all forwarders in fall_us that rarely exceed the bound.

    If each forwarder makes less than one call, their number varies like that of any rare
    event. The more calls each makes, the less it varies, as turns are drawn around a mean.
    """
    most, own, each = bound(b, t), sharing(b, t) / 6, SPREAD * SPREAD / 3
    rare, even = within(most, 0.0, 1.0), within(most, own, each)
    return min(max(rare, even), max(BUDGET_PART * budget(b, t)[0], SLACK_CALLS))


def within(most: float, fixed: float, grows: float) -> float:
    """Returns the mean m with m + SIGMAS * sqrt(fixed + grows * m) = most, or 0 if there is
    none.
    """
    half = most + SIGMAS**2 * grows / 2
    return max(0.0, half - math.sqrt(max(0.0, half**2 - most**2 + SIGMAS**2 * fixed)))


def weight(messages: int) -> float:
    """Returns the weight of a call with this many messages."""
    return 1 + ITEM_WEIGHT * (messages - 1)


def may_join(b: Books, t: Target, joined: int) -> bool:
    """Returns whether one more message may join a call to a cold endpoint. Its next turn is
    later in proportion, but several such calls of a forwarder may fall into fall_us.
    """
    return t.back_at >= 0 and JOIN_PART * sharing(b, t) * weight(joined + 1) <= bound(
        b, t
    )


def drawn(b: Books) -> float:
    """Draws how many turns after this call the next one may be sent."""
    return b.random.uniform(1 - SPREAD, 1 + SPREAD)


def watch_outage(b: Books, target: Target, outcome: Outcome) -> None:
    """Rule 4: from the detection of an outage until the endpoint is warm, calls to it take
    turns. The recovery lies between the last failed call and this one, and is assumed half
    way between them. If turns are long it is assumed no earlier than half of fall_us ago, as
    the first forwarders to notice would otherwise treat the endpoint as warm.
    """
    if outcome is Outcome.DELIVERED:
        target.well_at = b.now
        if in_outage(target) and target.failing <= FAIL_MARK:
            back_at = max(
                (b.now + target.failed_at) // 2, b.now - b.s.overload_window_us // 2
            )
            warming(b, target, max(target.outage_at, back_at))
            # Endpoints that share a limit usually share outages: the others need no
            # successful call of their own first.
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
            target.spread = b.random.random()  # many may have noticed at the same time
            if outcome is not Outcome.REJECTED:
                doubt(b, target)
        if target.back_at >= 0 or target.outage_at == b.now:
            b.actions.append(RecordOutage(target.id, target.outage_at))
        target.back_at = -1


def doubt(b: Books, target: Target) -> None:
    """Outages usually affect all endpoints that share a limit. If many forwarders share them,
    endpoints without a success since the failed call are treated as in an outage as well,
    because the calls that all forwarders would shift to them add up.
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
    """Restores an outage from before a restart, unless the endpoint is no longer listed.

    The time of the last call is not known, so the next is drawn at random: forwarders that
    restart together must not call in step a turn later.
    """
    t = b.targets.get(event.endpoint)
    if t is not None:
        t.outage_at, t.back_at = event.started_at_us, event.recovered_at_us
        t.failing, t.tried_at, t.spread = SURE_MARK, b.now, b.random.random()
