"""Messages taken on, given up and over, and whose turn it is in their keys. All final
answers are here.
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

# usual calls after which one is held to be lost where some later ones have been
# delivered
STALL_CALLS = 8
STALL_US = 600_000  # and this at least
PASSED = 3  # so many later ones: a single one may just have been quick
LEAST_AWAY_US = (
    SECOND  # a refused client always hears when to come back, and not at once
)
BUFFER_MARK = 0.85  # share of the buffer above which the largest pile is cut
# share of its time; in a large fleet what was taken on and handed back sooner is priced
KEEP_LEAST = 0.7
# where fresh ones near their aims, one in their pile with less worth left is given up
LATE_LEAST = 0.6


def arrived(b: Books, event: MessageReceived) -> None:
    """Take a message. One of an unknown class is failed: its effect is not known."""
    cls = b.classes.get(event.class_name)
    if cls is None:
        b.actions.append(FailMessage(event.message_id, "unknown class"))
        return
    take(b, event, cls)


def recalled(b: Books, event: MessageRestored) -> None:
    """Go on with a message of before a restart: what it may do depends on what it did
    till then.
    """
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
    """A message has ended: nothing more goes out for it, and its key turns to the
    next.
    """
    del b.messages[m.id]
    b.held.remove(m)
    if m.key is not None:
        b.lines[m.key].queue.remove(m)
        next_in(b, b.lines[m.key])


def next_in(b: Books, line: Line) -> None:
    """The key's turn may have come to its next message, perhaps for another
    destination.
    """
    if line.queue and not line.out and not line.owed:
        b.looks.add(line.queue[0].destination)
        b.agenda.add(max(b.now, line.rest_until), line.queue[0].destination)


def owe(b: Books, name: str, key: str) -> None:
    """Rule 6: until its final answer has arrived, a message is not over for those
    behind it.
    """
    b.owed[name] = key
    b.lines.setdefault(key, Line()).owed.add(name)


def told(b: Books, name: str) -> None:
    """The final answer has arrived."""
    if name in b.owed:
        line = b.lines[b.owed.pop(name)]
        line.owed.discard(name)
        next_in(b, line)


def answer(b: Books, m: Message, cause: str) -> None:
    """The only place that gives final answers. Refuse where a new try does no harm,
    else fail. A keyed one that may have run does none while its client comes back
    within the window.
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
    """How long the client should stay away: until the destination's wait or rest is
    over.
    """
    ends = [max(t.place.wait_until, t.place.rest_until) for t in b.usable(m)]
    opens = next_call(b, m.destination)
    ends_at = max(min(ends, default=b.now + SECOND), opens if opens < NEVER else 0)
    wait = max(LEAST_AWAY_US, ends_at - b.now)
    return min(wait, b.s.max_retry_after_us) if b.s.send_retry_after else 0


def next_call(b: Books, destination: int) -> int:
    """When the share of a destination lets the next call go: now where it has none,
    NEVER where it is not known, as another may be told at any moment.
    """
    share = b.shares.get(destination)
    return b.now if share is None else share.available_at(b.now)


def recall(b: Books) -> None:
    """A call that stays silent while later ones to the same target are answered has
    lost its connection, and not its target: its messages need not wait for the
    time-out, and it says nothing of health. Those that may not be sent again fail by
    this, so their aim must have passed as well.
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
    """The unsent drop: a held message whose time left is below its expected call is
    answered now. In a pile that moves too slowly for its fresh ones it gives way to
    them before: else all end late.
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
    """How much of its time has passed, also where it came to another forwarder
    first.
    """
    return m.cls.deadline_us - (m.due - now)


def fades_at(m: Message, late_halves: bool) -> float:
    """When less than `LATE_LEAST` of its worth is left, and it may be given up for
    that. What a start found untried lost its time to the restart: it has its first call
    before.
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
    """One jammed destination must not fill the buffer: of the largest pile, what came
    in this round is turned away at the door. What was taken on stays: its client would
    hear of its end only by a notice.
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
