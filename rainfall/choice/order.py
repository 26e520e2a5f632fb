"""Which message goes next and where: the group rule, the one gate, the best target, the
send.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heapify, heappop, heapreplace

from rainfall import interface as i
from rainfall.choice import queues
from rainfall.choice.books import FORGET_US, LOOK_US, NEVER, Books
from rainfall.choice.giving import age
from rainfall.choice.health import SURE_MARK, drawn, in_outage, weight
from rainfall.choice.limits import has_room, opens_at, paced, room_at
from rainfall.state import Attempt, Call, Deadline, Lane, Message, Place, Target

GROUP_RANGE = (
    0.4  # Gr, share of the least time left: the paper's value; larger was no better
)
# times are whole: those due with the first go with it also when their time is over
GROUP_LEAST_US = 0.5
TIMEOUT_CALLS = (
    6  # expected calls that an attempt may take, and its class's aim at least
)
# after a time-out the next attempt may take so many times as long: the work may be long
RETRY_TIMES = 2


def release(b: Books) -> None:
    """Release once: in the group rule's order, each to the best target whose gate is
    open.
    """
    if b.calls_out < b.s.slots:
        shut: set[int] = set()  # within a round a destination only closes
        for m in order(b, shut):
            gates = [t for t in b.usable(m) if gate(b, m, t)]
            if gates:
                send(b, m, min(gates, key=lambda t: preference(b, m, t)))
            elif not has_room(b, m.destination):
                shut.add(m.destination)
    b.jammed = b.calls_out >= b.s.slots
    for destination in sorted(b.looks & b.held.piles.keys()):
        appoint(b, destination)


def appoint(b: Books, destination: int) -> None:
    """When to look again at a destination where messages stay, whatever happens till
    then.
    """
    opens = min(
        (room_at(b, t) for t in b.by_destination.get(destination, ())), default=NEVER
    )
    ends = min(
        at
        for lane in b.held.piles[destination].lanes.values()
        for at in changes(b, lane)
    )
    b.agenda.add(max(b.now + LOOK_US, int(min(opens, ends)) + 1), destination)
    watch_opening(b, destination)


def changes(b: Books, lane: Lane) -> Iterator[float]:
    """When the first of a lane is given up, the next one has waited for half its aim,
    and the next fades.
    """
    b.visited += 3
    yield b.drop_at(lane.held.head())
    if (young := lane.first_younger(b.now, (lane.cls.aim_us - 1) // 2)) is not None:
        yield b.now + lane.cls.aim_us / 2 - age(young, b.now)
    if (fresh := lane.first_fresh(b.now)) is not None:
        yield lane.fades_at(fresh.due)


def watch_opening(b: Books, destination: int) -> None:
    """Keep the destinations that are open or may be, and when the others may open."""
    at = opens_at(b, destination)
    (b.may_open.add if at <= b.now else b.may_open.discard)(destination)
    if b.now < at < NEVER:
        b.openings.add(at, destination)


def order(b: Books, shut: set[int]) -> Iterator[Message]:
    """The group rule: the least time left and all within Gr of it first; in a group the
    shortest call. Messages that have no open target, and whole destinations of these,
    are skipped.
    """
    lanes: list[Lane] = []
    for destination in (
        b.looks | b.may_open if b.jammed else b.looks
    ) & b.held.piles.keys():
        b.visited += 1
        if has_room(b, destination):
            lanes += b.held.piles[destination].lanes.values()
        elif destination not in b.looks:
            watch_opening(b, destination)
    if len(lanes) == 1:
        yield from by_deadline(b, lanes[0], shut)
        return
    for beyond in sorted({lane.key.over_share for lane in lanes}):
        yield from by_groups(
            b, [lane for lane in lanes if lane.key.over_share is beyond], shut
        )


def by_deadline(b: Books, lane: Lane, shut: set[int]) -> Iterator[Message]:
    """Groups make no difference in one lane: the call is the same for all."""
    while (m := lane.ready.first()) is not None and can_call(b, lane, shut):
        b.visited += 1
        yield m
        if m.lane is lane:
            return


def by_groups(b: Books, lanes: list[Lane], shut: set[int]) -> Iterator[Message]:
    """Parts all held messages into groups by the time left, and yields the ready ones
    of each in turn. A message that is still held afterwards found no open target, nor
    will any behind it in its lane.
    """
    end = group_end(b, -NEVER)
    ready = [lane for lane in lanes if lane.ready]
    while ready:
        b.visited += len(lanes) + len(ready)
        firsts = [
            m
            for lane in lanes
            if (m := lane.held.first_after(end[lane.destination > 0])) is not None
        ]
        due, start = min(firsts).due, end
        end = group_end(b, due + max(GROUP_LEAST_US, GROUP_RANGE * (due - b.now)))
        group = [
            (b.soonest(m), m, lane)
            for lane in ready
            if (m := lane.next_ready(start, end)) is not None
        ]
        heapify(group)
        stuck: set[Lane] = set()
        while group:
            call_us, m, lane = group[0]
            b.visited += 1
            if can_call(b, lane, shut):
                yield m
                if m.lane is lane:
                    stuck.add(lane)
                elif (later := lane.next_ready((m, m), end)) is not None:
                    heapreplace(group, (call_us, later, lane))
                    continue
            heappop(group)
        ready = [
            lane
            for lane in ready
            if lane not in stuck
            and can_call(b, lane, shut)
            and lane.ready.first_after(end[lane.destination > 0]) is not None
        ]


def group_end(b: Books, limit: float) -> tuple[Deadline, Deadline]:
    """The end of a group at destination 0 or below, and at others: of those that are
    due just at the limit, the newest of all messages goes to the next group there.
    """
    return Deadline(limit, b.newest), Deadline(limit, b.newest - 1)


def can_call(b: Books, lane: Lane, shut: set[int]) -> bool:
    """Whether a destination may still have room: for another call, or in one that
    begins in this round.
    """
    return lane.destination not in shut and (
        b.calls_out < b.s.slots or lane.destination in b.called
    )


def gate(b: Books, m: Message, t: Target) -> bool:
    """The one gate that every send passes. Each line keeps a rule or a bound."""
    if not b.may_repeat(m):
        return False
    if m.key is not None and b.lines[m.key].offered is not m:
        return False
    if t.failing > SURE_MARK and m.cls.effect is i.Effect.ONCE:
        return m.due - b.now < m.cls.deadline_us / 2 and room_at(b, t) <= b.now
    return room_at(b, t) <= b.now


def preference(b: Books, m: Message, t: Target) -> tuple[float, ...]:
    """Which open target is best: a sound one, a call already forming, a cheap one, a
    quiet one.
    """
    fee = b.s.zone_fees.get(t.zone, 0.0) if t.apart else 0.0
    return (
        in_outage(t),
        t.id == m.avoid,
        t.id not in b.round_calls,
        fee,
        t.failing,
        t.out,
        b.random.random(),
    )


def send(b: Books, m: Message, t: Target) -> None:
    """Send, and book what it takes."""
    call = b.round_calls.get(t.id)
    if call is None or call.joined >= t.batch:
        call = begin(b, m, t)
    t.tried_at = b.now
    call.joined, call.messages = call.joined + 1, call.messages + 1
    if call.joined > 1:  # what it weighs more is made good by the time until the next
        t.spread *= weight(call.joined) / weight(call.joined - 1)
    queues.remove(b, m)
    if m.key is not None:
        b.lines[m.key].out += 1
    b.sends += 1
    named = (m.id, m.attempts)
    b.attempts[named] = Attempt(m, call, b.sends)
    call.attempts.append(named)
    m.attempts, m.out = m.attempts + 1, m.out + 1
    b.usual.clear()
    b.actions.append(i.Send(m.id, t.id, timeout(b, m, t.place)))


def begin(b: Books, m: Message, t: Target) -> Call:
    """Begin a call: its connection, its slot and its part of the pace."""
    place, idle = t.place, 0 if t.out or t.idle_at < 0 else b.now - t.idle_at
    if idle > b.idle_us > 0:
        b.actions.append(i.CloseIdle(t.id))
    call = b.round_calls[t.id] = Call(t, b.now, idle, b.now - t.tried_at)
    t.calls.append(call)
    b.called.add(t.destination)
    t.spread = drawn(b)
    b.calls_out += 1
    if b.now - place.mean_at > FORGET_US:
        place.window = 1.0
    place.mean = b.expected(place, m.cls)
    t.out, place.out = t.out + 1, place.out + 1
    paced(b, t)
    return call


def timeout(b: Books, m: Message, place: Place) -> int:
    """How long an attempt may take. One after which there is no other is waited for
    till its end: of a once-only message, or one that outlasts the window in which its
    key is known.
    """
    left = m.due - b.now
    patience = max(
        m.cls.aim_us,
        int(TIMEOUT_CALLS * b.expected(place, m.cls)),
        RETRY_TIMES * m.waited,
    )
    return left if b.now + patience >= b.repeat_by(m, b.now) else min(left, patience)
