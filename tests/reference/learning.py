"""Applies an attempt's outcome to the slot, message and key, and updates the estimates of the
endpoint (durations, window, failing share).
"""

from __future__ import annotations

from rainfall.dispatch import NEVER_EXECUTED, AttemptFinished, Outcome
from tests.reference.books import AIM_PER_CALL, EASE_US, FEW, IDLE_LEAST_US, Books
from tests.reference.giving import next_in, over
from tests.reference.health import FAIL_MARK, watch_outage
from tests.reference.limits import cap, pace
from tests.reference.state import Call, Message

# weight of the newest call in the expected call duration: about the last ten calls count
MEAN_STEP = 0.2
FAIL_STEP = 0.35  # weight of the newest call in an endpoint's failing share
# maximum of that weight, after a gap of several EASE_US: with rare calls, one failure suffices
NEWS_TOP = 0.55
# the same for a rejection or an inconclusive outcome: five in a row are neither chance nor a
# rate limit
FULL_STEP = 0.15
REST_US = 150_000  # first backoff after a rejection without retry-after
# backoff multiplier of each further rejection, so that the retries of many forwarders are sparse
REST_TIMES = 4
# longest backoff with few forwarders: it bounds the delay after the end of an outage
REST_TOP_US = 1_500_000
SHARE_CUT = 0.7  # factor by which a rejection reduces the assumed share of a limit
SHARE_LEAST = 0.1  # even shares; lower bound of the assumed share
SHARE_GROW = (
    0.05  # even shares by which a success with much of the limit left increases it
)
MUCH_LEFT = 0.4  # remaining share of a limit that counts as much
# maximum factor by which backoffs are longer with many forwarders, whose retries add up
CROWD_TOP = 10
# a success extends the idle time of connections by one part in this many
IDLE_GROW = 64


def ended(b: Books, event: AttemptFinished) -> None:
    """Applies an outcome to the slot, the message and its key, and once per call to the
    endpoint and its rate limit scope (place).
    """
    attempt = b.attempts.pop((event.message_id, event.attempt), None)
    if attempt is None:
        return
    m, call, target = attempt.message, attempt.call, attempt.call.target
    call.messages -= 1
    b.looks.add(target.destination)
    if not call.messages:
        b.calls_out -= 1
        target.out, target.place.out = target.out - 1, target.place.out - 1
        target.idle_at = b.now
        b.came_back.append(call)
    m.out -= 1
    if m.key is not None:
        line = b.lines[m.key]
        line.out -= 1
        if event.outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELED):
            line.rest_until = max(line.rest_until, b.now + b.s.key_backoff_us)
        next_in(b, line)
    if event.outcome is Outcome.TIMED_OUT:
        m.waited = event.duration_us
    if event.outcome not in NEVER_EXECUTED and m.ran_at < 0:
        m.ran_at, m.ran_on = call.sent_at, target.id
    if not call.judged and event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELED):
        call.judged = True
        judge(b, call, m, event)
    told(b, call, event)
    if m.id in b.messages and (
        event.message_closed or event.outcome is Outcome.DELIVERED
    ):
        over(b, m)
    elif m.id in b.messages:
        m.avoid = target.id
        b.held.add(m)


def told(b: Books, call: Call, event: AttemptFinished) -> None:
    """Applies what the endpoint reported: a retry-after, and how much of its limit is left."""
    place = call.target.place
    place.wait_until = max(place.wait_until, b.now + event.retry_after_us)
    if (
        event.retry_after_us and b.s.forwarder_count > FEW
    ):  # a retry-after ends for all forwarders at once
        place.rest_until = place.wait_until + int(
            b.random.random() * event.retry_after_us
        )
    if event.load_report is not None:
        if not place.limit:  # a reported limit needs no margin for error
            place.shares = min(1.0, place.shares)
        place.limit, place.left = (
            event.load_report.limit_per_s,
            event.load_report.remaining_share,
        )


def idle_lost(b: Books, call: Call, outcome: Outcome) -> bool:
    """Returns whether a call failed because its connection was idle, which is no sign of the
    endpoint's health. A timeout counts against the endpoint: a slow one would otherwise never
    be detected, and all its connections would be closed.
    """
    lost = IDLE_LEAST_US < call.idle <= b.idle_us and outcome is Outcome.RESET
    if lost:
        b.idle_us = call.idle // 2
    return lost


def judge(b: Books, call: Call, m: Message, event: AttemptFinished) -> None:
    """Updates from one call the expected duration, the window, the pace and whether the
    endpoint is in an outage.
    """
    target, place, outcome = call.target, call.target.place, event.outcome
    if (
        outcome is Outcome.TIMED_OUT and event.duration_us < m.cls.latency_objective_us
    ) or idle_lost(b, call, outcome):
        # messages sent late and dead connections must not make a healthy endpoint look unresponsive
        return
    # A call that timed out while later ones were delivered was lost alone: the endpoint
    # answers.
    weak = event.inconclusive or (outcome is Outcome.TIMED_OUT and call.passed > 0)
    cut = (
        call.sent_at > place.cut_at
        and not weak
        and outcome in (Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.NO_CONNECTION)
    )
    news = min(NEWS_TOP, 1 - 0.5 ** (call.gap / EASE_US))
    place.mean, place.mean_at = b.expected(place, m.cls), b.now
    place.seed = m.cls.latency_objective_us / AIM_PER_CALL
    if outcome in (Outcome.DELIVERED, Outcome.TIMED_OUT):
        place.mean += MEAN_STEP * (event.duration_us - place.mean)
    if outcome is Outcome.DELIVERED:
        delivered(b, call)
    if cut:
        place.window, place.cut_at = max(1.0, place.window / 2), b.now
    if cut and outcome is Outcome.REJECTED:
        place.shares = max(SHARE_LEAST, place.shares * SHARE_CUT)
        crowd = max(1, min(CROWD_TOP, b.s.forwarder_count // FEW))
        place.rest = min(
            crowd * REST_TOP_US, max(crowd * REST_US, REST_TIMES * place.rest)
        )
    if outcome is Outcome.REJECTED and not event.retry_after_us:
        rest = int(place.rest * b.random.uniform(0.5, 1.5))
        place.rest_until = max(place.rest_until, b.now + rest)
    step = FULL_STEP if weak or outcome is Outcome.REJECTED else max(FAIL_STEP, news)
    failing = target.failing + step * (
        (outcome is not Outcome.DELIVERED) - target.failing
    )
    if outcome is Outcome.REJECTED and pace(
        b, target
    ):  # the assumed share adapts instead, also to the capacity in an outage
        failing = min(failing, max(FAIL_MARK, target.failing))
    target.failing = failing
    watch_outage(b, target, outcome)


def delivered(b: Books, call: Call) -> None:
    """Applies a success: the window and the share grow, and calls sent earlier count it as a
    later delivery.
    """
    place = call.target.place
    for other in {id(a.call): a.call for a in b.attempts.values()}.values():
        other.passed += other.target is call.target and other.sent_at < call.sent_at
    b.idle_us = min(b.idle_top, b.idle_us + b.idle_us // IDLE_GROW)
    place.window, place.rest = min(place.window + 1, cap(b, place)), 0
    if place.left > MUCH_LEFT:
        place.shares = min(
            float(b.s.forwarder_count), place.shares + SHARE_GROW * b.room
        )
