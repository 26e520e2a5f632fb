"""Selects the next message and its endpoint: group rule, send conditions, best endpoint, send."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator

from rainfall.dispatch import CloseIdleConnections, Idempotency, SendMessage
from tests.reference.books import FORGET_US, LOOK_US, NEVER, Books
from tests.reference.giving import age, fades_at
from tests.reference.health import SURE_MARK, drawn, in_outage, weight
from tests.reference.limits import has_room, paced, room_at
from tests.reference.state import Attempt, Call, Message, Place, Target

GROUP_RANGE = 0.4  # Gr, share of the least remaining time: the paper's value; larger ones were no better
TIMEOUT_CALLS = (
    6  # expected calls that an attempt may take; at least its class's latency objective
)
# factor for the next attempt's timeout after a timeout: the work may take long
RETRY_TIMES = 2


def release(b: Books) -> None:
    """Sends messages once, in the group rule's order, each to the best endpoint that the gate
    permits.
    """
    if b.calls_out < b.s.max_in_flight:
        shut: set[int] = (
            set()
        )  # within a round a destination can only become unavailable, and queues may be long
        for m in order(b):
            if m.destination in shut:
                continue
            gates = [t for t in b.usable(m) if gate(b, m, t)]
            if gates:
                send(b, m, min(gates, key=lambda t: preference(b, m, t)))
            elif not has_room(b, m.destination):
                shut.add(m.destination)
    b.jammed = b.calls_out >= b.s.max_in_flight
    for destination in sorted(b.looks & b.held.piles.keys()):
        appoint(b, destination)


def appoint(b: Books, destination: int) -> None:
    """Schedules the next check of a destination with queued messages, in case no event causes
    an earlier one.
    """
    now, pile = b.now, b.held.piles[destination].values()
    first_drop = min(b.drop_at(m) for m in pile)
    opens = min(
        (room_at(b, t) for t in b.by_destination.get(destination, ())), default=NEVER
    )
    gives_way = min(
        (
            at
            for m in pile
            for at in (
                now + m.cls.latency_objective_us / 2 - age(m, now),
                fades_at(m, b.s.late_weight_halves),
            )
            if at > now
        ),
        default=NEVER,
    )
    b.agenda.add(
        max(now + LOOK_US, int(min(first_drop, opens, gives_way)) + 1), destination
    )


def order(b: Books) -> Iterator[Message]:
    """The group rule: yields first the messages whose remaining time is within Gr of the least
    one, and in a group the shortest expected call first. Destinations without an available
    endpoint are skipped.
    """
    looks = sorted(
        d
        for d in (b.held.piles if b.jammed else b.looks & b.held.piles.keys())
        if has_room(b, d)
    )
    held = sorted(
        (m.over_share, m.due, m.number, m.destination)
        for destination in looks
        for m in b.held.piles[destination].values()
    )
    first = 0
    while first < len(held):
        beyond, due, *_ = held[first]
        end = bisect_right(
            held, (beyond, due + GROUP_RANGE * (due - b.now), b.taken, 0), first
        )
        group = [b.held.piles[d][number] for _, _, number, d in held[first:end]]
        yield from sorted(group, key=lambda m: (b.soonest(m), m.due, m.number))
        first = end


def gate(b: Books, m: Message, t: Target) -> bool:
    """Returns whether a message may be sent to an endpoint now. Every send is checked here."""
    if not b.may_repeat(m):
        return False
    if m.key is not None:
        line = b.lines[m.key]
        rests = b.now < line.rest_until and not m.attempts
        if line.queue[0] is not m or line.out or line.owed or rests:
            return False
    if t.failing > SURE_MARK and m.cls.idempotency is Idempotency.AT_MOST_ONCE:
        return m.due - b.now < m.cls.deadline_us / 2 and room_at(b, t) <= b.now
    return room_at(b, t) <= b.now


def preference(b: Books, m: Message, t: Target) -> tuple[float, ...]:
    """Returns the sort key of an available endpoint, the best first: healthy, with a call that
    is being assembled, cheap, little loaded.
    """
    fee = b.s.zone_costs.get(t.zone, 0.0) if t.apart else 0.0
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
    """Sends a message and records the resources that it uses."""
    call = b.round_calls.get(t.id)
    if call is None or call.joined >= t.batch:
        call = begin(b, m, t)
    t.tried_at = b.now
    call.joined, call.messages = call.joined + 1, call.messages + 1
    if call.joined > 1:  # the additional weight lengthens the time until the next call
        t.spread *= weight(call.joined) / weight(call.joined - 1)
    if m.key is not None:
        b.lines[m.key].out += 1
    b.attempts[(m.id, m.attempts)] = Attempt(m, call)
    m.attempts, m.out = m.attempts + 1, m.out + 1
    b.held.remove(m)
    b.usual.clear()
    b.actions.append(SendMessage(m.id, t.id, timeout(b, m, t.place)))


def begin(b: Books, m: Message, t: Target) -> Call:
    """Begins a call: reserves its connection, its slot and its part of the pace."""
    place, idle = t.place, 0 if t.out or t.idle_at < 0 else b.now - t.idle_at
    if idle > b.idle_us > 0:
        b.actions.append(CloseIdleConnections(t.id))
    call = b.round_calls[t.id] = Call(t, b.now, idle, b.now - t.tried_at)
    t.spread = drawn(b)
    b.calls_out += 1
    if b.now - place.mean_at > FORGET_US:
        place.window = 1.0
    place.mean = b.expected(place, m.cls)
    t.out, place.out = t.out + 1, place.out + 1
    paced(b, t)
    return call


def timeout(b: Books, m: Message, place: Place) -> int:
    """Returns an attempt's timeout. It extends to the deadline if no other attempt can follow:
    for an at-most-once message, or if the timeout would exceed the idempotency window.
    """
    left = m.due - b.now
    patience = max(
        m.cls.latency_objective_us,
        int(TIMEOUT_CALLS * b.expected(place, m.cls)),
        RETRY_TIMES * m.waited,
    )
    return left if b.now + patience >= b.repeat_by(m, b.now) else min(left, patience)
