"""Messages taken on, given up and over, and whose turn it is in their keys. All final
answers are here.
"""

from __future__ import annotations

from collections.abc import Iterator

from rainfall import interface as i
from rainfall.choice import queues
from rainfall.choice.books import FEW, FORGET_US, NEVER, SECOND, Books
from rainfall.choice.limits import over_share
from rainfall.state import Call, Lane, Line, Message, Pile

# usual calls after which one is held to be lost where some later ones have been
# delivered
STALL_CALLS = 8
STALL_US = 600_000  # and this at least
PASSED = 3  # so many later ones: a single one may just have been quick
LEAST_AWAY_US = (
    SECOND  # a refused client always hears when to come back, and not at once
)
BUFFER_MARK = 0.85  # share of the buffer above which the largest pile is cut


def arrived(b: Books, event: i.Arrived) -> None:
    """Take a message. One of an unknown class is failed: its effect is not known."""
    cls = b.classes.get(event.class_name)
    if cls is None:
        b.actions.append(i.Fail(event.message, "unknown class"))
        return
    hold(b, taken(b, event, cls))


def recalled(b: Books, event: i.Recalled) -> None:
    """Go on with a message of before a restart: what it may do depends on what it did
    till then.
    """
    cls = event.cls or b.classes.get(event.class_name)
    if cls is None:
        b.actions.append(i.Fail(event.message, "unknown class"))
        return
    m = taken(b, event, b.shared.setdefault(cls, cls))
    m.attempts, m.ran_at, m.ran_on = event.attempts, event.ran_at_us, event.ran_on
    m.most = event.most_attempts or m.most
    m.before = True
    if m.key is not None and event.cut_off:
        b.lines.setdefault(m.key, Line()).rest_until = b.now + b.s.key_rest_us
    hold(b, m)


def taken(b: Books, event: i.Arrived | i.Recalled, cls: i.MessageClass) -> Message:
    b.counted += 1
    b.newest = b.counted
    key = event.key if cls.in_order else None
    # What was held before a start came over a while: all at once it would be far beyond
    # any tenant's share.
    beyond = isinstance(event, i.Arrived) and over_share(b, event.tenant)
    m = Message(
        event.message,
        event.destination,
        cls,
        event.due_us,
        b.newest,
        key,
        beyond,
        b.s.max_attempts,
    )
    m.kept, m.position, m.tenant = b.s.balancers > FEW, b.newest, event.tenant
    return m


def hold(b: Books, m: Message) -> None:
    """A message that was taken on waits from now on, behind those of its key."""
    b.messages[m.id] = m
    b.looks.add(m.destination)
    b.fresh.append(m)
    if m.key is not None:
        b.lines.setdefault(m.key, Line()).queue[m.number] = m
    queues.hold(b, m)


def over(b: Books, m: Message) -> None:
    """A message has ended: nothing more goes out for it, and its key turns to the
    next.
    """
    del b.messages[m.id]
    queues.remove(b, m)
    if m.key is not None:
        del b.lines[m.key].queue[m.number]
        next_in(b, m.key)


def next_in(b: Books, key: str) -> None:
    """The key's turn may have come to its next message, perhaps for another
    destination.
    """
    line = b.lines[key]
    queues.offer(b, key)
    if line.queue and not line.out and not line.owed:
        destination = line.head().destination
        b.looks.add(destination)
        b.agenda.add(max(b.now, line.rest_until), destination)


def owe(b: Books, name: str, key: str) -> None:
    """Rule 6: until its final answer has arrived, a message is not over for those
    behind it.
    """
    line = b.lines.setdefault(key, Line())
    line.owed += b.owed.get(name) != key
    b.owed[name] = key
    queues.offer(b, key)


def told(b: Books, name: str) -> None:
    """The final answer has arrived."""
    if name in b.owed:
        key = b.owed.pop(name)
        b.lines[key].owed -= 1
        next_in(b, key)


def answer(b: Books, m: Message, cause: str) -> None:
    """The only place that gives final answers. Refuse where a new try does no harm,
    else fail. A keyed one that may have run does none while its client comes back
    within the window.
    """
    wait = retry_after(b, m)
    safe = (
        m.cls.effect is i.Effect.REPEATABLE
        or (m.ran_at < 0 and not m.out)
        or (
            m.cls.scope is i.Scope.ALL
            and b.now + max(wait, LEAST_AWAY_US) < b.repeat_by(m)
        )
    )
    b.actions.append(i.Refuse(m.id, wait, cause) if safe else i.Fail(m.id, cause))
    if m.key is not None and b.s.ends_told:
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
    return min(wait, b.s.max_retry_after_us) if b.s.retry_after else 0


def next_call(b: Books, destination: int) -> int:
    """When the share of a destination lets the next call go: now where it has none,
    NEVER where it is not known, as another may be told at any moment.
    """
    share = b.shares.get(destination)
    return b.now if share is None else share.room_at(b.now)


def recall(b: Books) -> None:
    """A call that stays silent while later ones to the same target are answered has
    lost its connection, and not its target: its messages need not wait for the
    time-out, and it says nothing of health. Those that may not be sent again fail by
    this, so their aim must have passed as well.
    """
    if not (b.s.may_cancel and b.overtaken):
        return
    for (name, number), attempt in sorted(
        b.overtaken.items(), key=lambda item: item[1].number
    ):
        m, call = attempt.message, attempt.call
        if not attempt.recalled:
            usual = STALL_CALLS * b.expected(call.target.place, m.cls)
            least = m.cls.aim_us if b.now >= b.repeat_by(m, call.sent_at) else STALL_US
            if b.now - call.sent_at > max(least, usual):
                b.actions.append(i.Cancel(name, number))
                attempt.recalled = True


def passed(b: Books, call: Call) -> None:
    """A call that enough later ones have passed is looked at in each round."""
    if call.passed >= PASSED:
        b.overtaken.update(
            (named, b.attempts[named]) for named in call.attempts if named in b.attempts
        )


def drop(b: Books) -> None:
    """The unsent drop: a held message whose time left is below its expected call is
    answered now. In a pile that moves too slowly for its fresh ones it gives way to
    them before: else all end late.
    """
    if b.now - b.cleared_at >= SECOND:
        b.cleared_at = b.now
        queues.forget_lines(b)
    for destination in sorted(b.looks & b.held.piles.keys()):
        pile = b.held.piles[destination]
        opens = next_call(b, destination)
        opens = b.now if opens >= NEVER else opens
        fading = [
            lane
            for lane in pile.lanes.values()
            if b.now > lane.fades_at(lane.held[0].due)
        ]
        jam = bool(fading) and is_jammed(b, pile)
        leaving = [
            m for lane in pile.lanes.values() for m in front(b, lane, opens, jam)
        ]
        for m in sorted(leaving, key=lambda m: m.position):
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
            else:
                answer(b, m, "makes way for fresh ones")
    if len(b.messages) > BUFFER_MARK * b.s.max_open and b.held.piles:
        shed(b)


def age(m: Message, now: int) -> int:
    """How much of its time has passed, also where it came to another forwarder
    first.
    """
    return m.cls.deadline_us - (m.due - now)


def is_jammed(b: Books, pile: Pile) -> bool:
    """Whether a message has waited for more than half of its aim, and not yet for all
    of it.
    """
    b.visited += len(pile.lanes)
    youngest = (
        (lane, lane.first_younger(b.now, lane.cls.aim_us))
        for lane in pile.lanes.values()
    )
    return any(
        m is not None and lane.cls.aim_us / 2 < age(m, b.now) for lane, m in youngest
    )


def front(b: Books, lane: Lane, opens: int, jam: bool) -> Iterator[Message]:
    """The messages of a lane that are given up now."""
    for m in lane.held:
        b.visited += 1
        if (
            opens < b.drop_at(m)
            and not (jam and b.now > lane.fades_at(m.due))
            and not lane.key.spent
        ):
            return
        yield m


def shed(b: Books) -> None:
    """One jammed destination must not fill the buffer: of the largest pile, what came
    in this round is turned away at the door. What was taken on stays: its client would
    hear of its end only by a notice.
    """
    worst = b.held.largest()
    pile = [
        m
        for m in b.fresh
        if m.lane is not None and m.destination == worst and not m.before
    ]
    pile.sort(key=lambda m: (m.over_share, m.due, m.number))
    if pile and b.now - b.shed_at >= FORGET_US:
        b.shed_at = b.now
        b.actions.append(
            i.Note(f"buffer nearly full: destination {worst} takes on no more")
        )
    if len(b.held.piles[worst]) > 1:
        for m in pile[-max(1, int(len(b.messages) - BUFFER_MARK * b.s.max_open)) :]:
            answer(b, m, "buffer nearly full")
