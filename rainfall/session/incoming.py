"""The taking side until it has the copy: nothing is on disk yet, and nothing is
owed.
"""

from __future__ import annotations

from dataclasses import dataclass

from rainfall.session import states as s
from rainfall.session import words as w
from rainfall.session.states import Actions, Limits, State


@dataclass(slots=True)
class Incoming:
    """What a taker holds, and what it does until the copy is on its way to disk."""

    hand: w.Hand
    key: str
    moves: int
    limits: Limits
    life: w.Life | None
    """The lease we hold now; None while we hold none, and then nothing begins."""
    stamp_us: int = 0
    born_us: int = 0
    """When this process learned of the hand-over: stamps before it were given by the
    one before.
    """
    state: State = State.OFFERED
    since_us: int = 0
    until_us: int | None = None
    records: tuple[w.Record, ...] = ()
    """Asked to be written and not yet known to be on disk."""
    failed: tuple[w.Record, ...] = ()
    """Of those, the ones to be written again."""
    parts: tuple[w.Copy, ...] = ()
    items: tuple[w.Item, ...] = ()
    memory: tuple[str, ...] = ()
    began: bool = False
    """`Began` is on disk: the engine has the messages."""
    to: w.Life | None = None
    """The lease of ours that the giver committed to."""
    sure: bool = False
    """The giver can never take it back."""
    settled: bool = False
    number: int = 0
    """Of the last message passed on, and how it was answered."""
    how: str = ""
    unsure: int = 0
    """A message passed on of which nobody knows whether it is on disk."""
    room: int = 0
    """Bytes that the offer named; the copy may have a little more, but not twice that
    and a body.
    """
    full: bool = False
    """Set by who runs it while there is no room for a message that is passed on."""

    def _enter(self, state: State, now_us: int) -> None:
        within = {
            State.OFFERED: 2 * self.limits.freeze_us + self.limits.copy_us,
            State.COPIED: self.limits.commit_us,
            State.COMMITTED: self.limits.commit_us,
            State.TAIL: 2 * self.limits.tail_us,
        }.get(state)
        self.state, self.since_us = state, now_us
        self.until_us = None if within is None else now_us + within

    def _write(self, record: w.Record) -> Actions:
        if record not in self.records:
            self.records = (*self.records, record)
        self.failed = tuple(r for r in self.failed if r != record)
        return (s.Journal(record),)

    def _over(self, now_us: int) -> Actions:
        self._enter(State.DONE, now_us)
        self.items, self.memory, self.parts = (), (), ()
        return (s.Over(),)

    def open(self, now_us: int) -> None:
        self._enter(State.OFFERED, now_us)

    def accept(self, event: object, now_us: int) -> Actions:
        """The first stamp is said again: an earlier one only makes a due earlier."""
        return (s.Send(w.Accept(self.hand, self.stamp_us)),)

    def release(self, event: object, now_us: int) -> Actions:
        return () if self.records else self._over(now_us)

    def collect(self, event: w.Copy, now_us: int) -> Actions:
        if self.records:
            return ()
        if event.stamp_us != self.stamp_us:  # made for the process before this one
            return (s.Send(w.No(self.hand, "restarted")),)
        if all(p.part != event.part for p in self.parts):
            self.parts = tuple(sorted((*self.parts, event), key=lambda p: p.part))
        items = tuple(
            w.arriving(i, self.stamp_us, self.limits.drift)
            for p in self.parts
            for i in p.items
        )
        memory = tuple(m for p in self.parts for m in p.memory)
        if (
            len(items) > self.limits.session_messages
            or len(memory) > self.limits.memory
            or sum(i.size for i in items)
            > min(self.limits.session_bytes, 2 * self.room + w.PART)
        ):
            return s.Send(w.No(self.hand, "too large")), *self._over(now_us)
        if len(self.parts) < event.parts:
            return ()
        self.items, self.memory, self.parts = items, memory, ()
        return self._write(w.Stored(self.hand, self.key, self.moves, items, memory))
