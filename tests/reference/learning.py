"""What an outcome books (slot, message, key) and what it teaches of its target (times,
window, failing).
"""

from __future__ import annotations

from rainfall.dispatch import NEVER_EXECUTED, AttemptFinished, Outcome
from tests.reference.books import AIM_PER_CALL, EASE_US, FEW, IDLE_LEAST_US, Books
from tests.reference.giving import next_in, over
from tests.reference.health import FAIL_MARK, watch_outage
from tests.reference.limits import cap, pace
from tests.reference.state import Call, Message

# weight of the newest call in the expected call: about the last ten calls count
MEAN_STEP = 0.2
FAIL_STEP = 0.35  # weight of the newest call in a target's failing share
# its most, after a gap of some EASE_US: where we call seldom one failure is sign enough
NEWS_TOP = 0.55
# weight of a refusal or a weak sign in it: five running are no chance, nor a limit
FULL_STEP = 0.15
REST_US = 150_000  # first rest after a refusal without a wait
# each further refusal makes the rest so much longer: many come back thinly, and once
# each
REST_TIMES = 4
# longest rest with few forwarders: an outage must not outlive itself by more
REST_TOP_US = 1_500_000
SHARE_CUT = 0.7  # by a refusal above the limit, our assumed share of it shrinks to this
SHARE_LEAST = 0.1  # even shares: it does not shrink further
SHARE_GROW = 0.05  # and by a success with much of the limit left, it grows by this many
MUCH_LEFT = 0.4  # share of a limit that counts as much
# with many forwarders rests are longer, by up to this much: each retry meets all
# others'
CROWD_TOP = 10
# a call that goes well lengthens by this part how long idle connections are trusted
IDLE_GROW = 64


def ended(b: Books, event: AttemptFinished) -> None:
    """Book an outcome: the slot, the message, its key, and once for each call its
    target and place.
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
    """What the target said itself: a wait, and how much of its limit is left."""
    place = call.target.place
    place.wait_until = max(place.wait_until, b.now + event.retry_after_us)
    if (
        event.retry_after_us and b.s.forwarder_count > FEW
    ):  # a wait ends for all at once
        place.rest_until = place.wait_until + int(
            b.random.random() * event.retry_after_us
        )
    if event.load_report is not None:
        if not place.limit:  # a limit that is told needs no room for error
            place.shares = min(1.0, place.shares)
        place.limit, place.left = (
            event.load_report.limit_per_s,
            event.load_report.remaining_share,
        )


def idle_lost(b: Books, call: Call, outcome: Outcome) -> bool:
    """Whether a call failed on an idle connection: it tells of that and not of its
    target. A time-out is the target's own: a slow one would else never be seen to be
    slow, and cost all their connections.
    """
    lost = IDLE_LEAST_US < call.idle <= b.idle_us and outcome is Outcome.RESET
    if lost:
        b.idle_us = call.idle // 2
    return lost


def judge(b: Books, call: Call, m: Message, event: AttemptFinished) -> None:
    """Learn from one call: expected call, window, pace, and whether the target is in an
    outage.
    """
    target, place, outcome = call.target, call.target.place, event.outcome
    if (
        outcome is Outcome.TIMED_OUT and event.duration_us < m.cls.latency_objective_us
    ) or idle_lost(b, call, outcome):
        # neither late messages nor dead connections must make a sound target look hung
        return
    # A call that was passed by others until its time-out was lost alone: its target
    # does answer.
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
    ):  # the share follows, also down to an outage's
        failing = min(failing, max(FAIL_MARK, target.failing))
    target.failing = failing
    watch_outage(b, target, outcome)


def delivered(b: Books, call: Call) -> None:
    """A success: the window and the share grow, and calls sent before it have been
    passed.
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
