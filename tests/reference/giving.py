"""Accepts, drops and ends messages, and determines the next message of an ordering key. All
final answers are given here.
"""

from __future__ import annotations

import math

from rainfall.dispatch import (
    CancelAttempt,
    FailMessage,
    Idempotency,
    IdempotencyScope,
    LogNote,
    MessageClass,
    MessageReceived,
    MessageRestored,
    RejectMessage,
)
from tests.reference.books import FEW, FORGET_US, NEVER, SECOND, Books
from tests.reference.limits import over_share
from tests.reference.state import Line, Message

# expected calls after which a call counts as lost, if PASSED later ones have been delivered
STALL_CALLS = 8
STALL_US = 600_000  # microseconds; minimum for the same
PASSED = 3  # later calls delivered; a single one may just have been quick
LEAST_AWAY_US = (
    SECOND  # minimum retry-after, so that rejected clients do not return at once
)
BUFFER_MARK = 0.85  # share of max_open_messages above which the largest queue is shed
# share of a message's time for which it is kept; in a large fleet a message that is accepted
# and handed back earlier has a cost
KEEP_LEAST = 0.7
# a message whose remaining value is below this share is dropped if newer ones in its queue
# approach their latency objectives
LATE_LEAST = 0.6


def arrived(b: Books, event: MessageReceived) -> None:
    """Accepts a message. One of an unknown class fails, as its idempotency is not known."""
    cls = b.classes.get(event.class_name)
    if cls is None:
        b.actions.append(FailMessage(event.message_id, "unknown class"))
        return
    take(b, event, cls)


def recalled(b: Books, event: MessageRestored) -> None:
    """Restores a message from before a restart, with the attempts made until then."""
    cls = event.message_class or b.classes.get(event.class_name)
    if cls is None:
        b.actions.append(FailMessage(event.message_id, "unknown class"))
        return
    m = take(b, event, cls)
    m.attempts, m.ran_at, m.ran_on = (
        event.attempts,
        event.executed_at_us,
        event.executed_on,
    )
    m.most = event.max_attempts or m.most
    m.before = True
    if m.key is not None and event.interrupted:
        b.lines[m.key].rest_until = b.now + b.s.key_backoff_us


def take(
    b: Books, event: MessageReceived | MessageRestored, cls: MessageClass
) -> Message:
    b.taken += 1
    key = event.ordering_key if cls.ordered else None
    # What was held before a start came over a while: all at once it would be far beyond
    # any tenant's share.
    beyond = isinstance(event, MessageReceived) and over_share(b, event.tenant)
    m = Message(
        event.message_id,
        event.destination,
        cls,
        event.deadline_us,
        b.now,
        b.taken,
        key,
        beyond,
        b.s.max_attempts,
    )
    if b.s.forwarder_count > FEW:
        m.keep_until = m.due - int((1 - KEEP_LEAST) * cls.deadline_us)
    b.messages[m.id] = m
    b.held.add(m)
    b.looks.add(m.destination)
    if key is not None:
        b.lines.setdefault(key, Line()).queue.append(m)
    return m


def over(b: Books, m: Message) -> None:
    """Ends a message: nothing more is sent for it, and its ordering key advances."""
    del b.messages[m.id]
    b.held.remove(m)
    if m.key is not None:
        b.lines[m.key].queue.remove(m)
        next_in(b, b.lines[m.key])


def next_in(b: Books, line: Line) -> None:
    """Schedules a check of the key's next message, which may have another destination."""
    if line.queue and not line.out and not line.owed:
        b.looks.add(line.queue[0].destination)
        b.agenda.add(max(b.now, line.rest_until), line.queue[0].destination)


def owe(b: Books, name: str, key: str) -> None:
    """Rule 6: a message blocks later ones of its key until its final answer is acknowledged."""
    b.owed[name] = key
    b.lines.setdefault(key, Line()).owed.add(name)


def told(b: Books, name: str) -> None:
    """Records that the final answer of a message is acknowledged."""
    if name in b.owed:
        line = b.lines[b.owed.pop(name)]
        line.owed.discard(name)
        next_in(b, line)


def answer(b: Books, m: Message, cause: str) -> None:
    """Gives a final answer; no other function does. Rejects the message if the client can
    safely retry it, else fails it. A keyed message that may have been executed is safe while
    the client retries within the idempotency window.
    """
    wait = retry_after(b, m)
    safe = (
        m.cls.idempotency is Idempotency.ALWAYS
        or (m.ran_at < 0 and not m.out)
        or (
            m.cls.idempotency_scope is IdempotencyScope.ALL
            and b.now + max(wait, LEAST_AWAY_US) < b.repeat_by(m)
        )
    )
    b.actions.append(
        RejectMessage(m.id, wait, cause) if safe else FailMessage(m.id, cause)
    )
    if m.key is not None and b.s.notifications_acknowledged:
        owe(b, m.id, m.key)
    over(b, m)


def retry_after(b: Books, m: Message) -> int:
    """Returns the client's retry-after in microseconds: until the destination's retry-after or
    backoff is over.
    """
    ends = [max(t.place.wait_until, t.place.rest_until) for t in b.usable(m)]
    opens = next_call(b, m.destination)
    ends_at = max(min(ends, default=b.now + SECOND), opens if opens < NEVER else 0)
    wait = max(LEAST_AWAY_US, ends_at - b.now)
    return min(wait, b.s.max_retry_after_us) if b.s.send_retry_after else 0


def next_call(b: Books, destination: int) -> int:
    """Returns when the destination's quota permits the next call: now if there is no quota,
    NEVER if the time is not known, as a new quota may arrive at any moment.
    """
    share = b.shares.get(destination)
    return b.now if share is None else share.available_at(b.now)


def recall(b: Books) -> None:
    """Cancels calls that got no answer although later ones to the same endpoint did.

    Such a call lost its connection while the endpoint works: its messages need not wait for
    the timeout, and it is no sign of the endpoint's health. A message that may not be retried
    fails by the cancellation, so its latency objective must have passed as well.
    """
    if not b.s.allow_cancel:
        return
    for (name, number), attempt in b.attempts.items():
        m, call = attempt.message, attempt.call
        if call.passed >= PASSED and not attempt.recalled:
            usual = STALL_CALLS * b.expected(call.target.place, m.cls)
            least = (
                m.cls.latency_objective_us
                if b.now >= b.repeat_by(m, call.sent_at)
                else STALL_US
            )
            if b.now - call.sent_at > max(least, usual):
                b.actions.append(CancelAttempt(name, number))
                attempt.recalled = True


def drop(b: Books) -> None:
    """Drops messages that are not sent: a queued message whose remaining time is below its
    expected call gets its final answer now. In a queue that is too slow for its newer messages,
    older ones are dropped earlier, as otherwise all would be late.
    """
    if b.now - b.cleared_at >= SECOND:
        b.cleared_at = b.now
        b.lines = {
            k: n
            for k, n in b.lines.items()
            if n.queue or n.out or n.owed or n.rest_until > b.now
        }
    for destination in sorted(b.looks):
        pile = list(b.held.piles.get(destination, {}).values())
        opens = next_call(b, destination)
        opens = b.now if opens >= NEVER else opens
        jam = any(
            m.cls.latency_objective_us / 2 < age(m, b.now) <= m.cls.latency_objective_us
            for m in pile
        )
        for m in pile:
            if not b.may_repeat(m):
                answer(b, m, "may not be sent again")
            elif opens >= b.drop_at(m):
                answer(
                    b,
                    m,
                    "no call could end in time"
                    if b.now >= b.drop_at(m)
                    else "no share in time",
                )
            elif jam and b.now > fades_at(m, b.s.late_weight_halves):
                answer(b, m, "makes way for fresh ones")
    if len(b.messages) > BUFFER_MARK * b.s.max_open_messages and b.held.piles:
        shed(b)


def age(m: Message, now: int) -> int:
    """Returns how much of the message's time has passed, including the time at another
    forwarder.
    """
    return m.cls.deadline_us - (m.due - now)


def fades_at(m: Message, late_halves: bool) -> float:
    """Returns when less than `LATE_LEAST` of the message's value is left, so that it may be
    dropped. A message restored without an attempt lost its time to the restart, and is not
    dropped for this before its first call.
    """
    if m.before and not m.attempts:
        return m.due
    aim, most = (
        m.cls.latency_objective_us,
        m.cls.deadline_us - m.cls.latency_objective_us,
    )
    if late_halves:
        after = aim * (1 - math.log2(LATE_LEAST))
    else:
        after = aim + most * (1 - LATE_LEAST) / max(
            1e-9, 1 - m.cls.late_priority_weight
        )
    return max(m.due - m.cls.deadline_us + after, m.keep_until if m.ran_at < 0 else 0)


def shed(b: Books) -> None:
    """Sheds load so that one saturated destination does not fill the buffer: of the largest
    queue, messages that arrived in this round are rejected. Messages accepted earlier stay,
    as their clients would learn of the end only by a notification.
    """
    worst = max(b.held.piles, key=lambda d: (len(b.held.piles[d]), d))
    pile = [
        m for m in b.held.piles[worst].values() if m.arrived == b.now and not m.before
    ]
    pile.sort(key=lambda m: (m.over_share, m.due, m.number))
    if pile and b.now - b.shed_at >= FORGET_US:
        b.shed_at = b.now
        b.actions.append(
            LogNote(f"buffer nearly full: destination {worst} takes on no more")
        )
    if len(b.held.piles[worst]) > 1:
        for m in pile[
            -max(1, int(len(b.messages) - BUFFER_MARK * b.s.max_open_messages)) :
        ]:
            answer(b, m, "buffer nearly full")
