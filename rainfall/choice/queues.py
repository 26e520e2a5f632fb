"""Held messages in queues by deadline, and whose turn it is in each key. Nothing is
given up or sent here.

A lane holds the messages of one destination for which every rule gives the same figure
up to the deadline: what a rule concerns is the front of a lane, and what stays is not
visited.
"""

from __future__ import annotations

from rainfall import interface as i
from rainfall.choice.books import NEVER, Books
from rainfall.state import LaneKey, Message


def put_back(b: Books, m: Message) -> None:
    """Hold a message again, behind all of its destination; one that is held already
    stays where it was.
    """
    if m.lane is None:
        b.counted += 1
        m.position = b.counted
        b.may_open.add(m.destination)
    hold(b, m)


def hold(b: Books, m: Message) -> None:
    """Hold a message in the lane that it belongs to by now."""
    if m.lane is not None:
        remove(b, m)
    key = lane_key(b, m)
    b.held.add(m, key, b.new_lane)
    b.visited += 1
    if m.ran_at >= 0 and not key.spent and b.repeat_by(m) < m.due:
        b.expiring.add(b.repeat_by(m), m.id)
    if m.key is not None:
        offer(b, m.key)


def remove(b: Books, m: Message) -> None:
    """Take a message out of its lane, if it is held."""
    if m.lane is not None:
        b.visited += 1
        if m.key is not None and b.lines[m.key].offered is m:
            b.lines[m.key].withdraw()
        b.held.remove(m)


def lane_key(b: Books, m: Message) -> LaneKey:
    ran = m.ran_at >= 0
    bound = ran and m.cls.effect is i.Effect.KEYED and m.cls.scope is not i.Scope.ALL
    return LaneKey(
        id(m.cls),
        m.over_share,
        m.ran_on if bound else -1,
        m.before and not m.attempts,
        m.kept and not ran,
        m.key is not None,
        (ran or m.attempts > 0) and not b.may_repeat(m),
    )


def retune(b: Books, old: i.Settings) -> None:
    """Other settings hold: only another number of attempts concerns each message by
    itself.
    """
    b.held.forget_spare()
    lanes = [lane for pile in b.held.piles.values() for lane in pile.lanes.values()]
    for lane in lanes:
        lane.fades_after_us = b.fades_after(lane.cls)
    if b.s.max_attempts != old.max_attempts:
        for m in [
            m for lane in lanes for m in lane.held if b.may_repeat(m) is lane.key.spent
        ]:
            hold(b, m)


def offer(b: Books, key: str) -> None:
    """Let the head of a key's line go unless something blocks the key, and note when
    time changes that.
    """
    line = b.lines[key]
    head = line.head() if line.queue and not (line.out or line.owed) else None
    if head is not None and b.now < line.rest_until and not head.attempts:
        b.resting.add(line.rest_until, key)
        head = None
    line.offer(head if head and head.lane and not head.lane.key.spent else None)
    if not line.in_use(NEVER):
        b.over_lines.add(line.rest_until, key)


def advance(b: Books) -> None:
    """Book what the time alone has changed: rests that are over, and messages that may
    not be repeated.
    """
    for key in b.resting.due(b.now) if b.resting.entries else ():
        b.visited += 1
        if key in b.lines:
            offer(b, key)
    for name in b.expiring.due(b.now) if b.expiring.entries else ():
        b.visited += 1
        m = b.messages.get(name)
        if m and m.lane and not (m.lane.key.spent or b.may_repeat(m)):
            hold(b, m)
    if b.openings.entries:
        b.may_open |= b.openings.due(b.now)


def forget_lines(b: Books) -> None:
    """Forget the keys whose lines are empty and whose rests are over."""
    for key in b.over_lines.due(b.now):
        b.visited += 1
        if key in b.lines and not b.lines[key].in_use(b.now):
            del b.lines[key]
