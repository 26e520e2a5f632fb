"""Messages that come while a session is handed over: they wait in order, and in the
tail they are passed on.

None of them is taken on while it waits, so whatever dies here, no promise is broken: a
client that was not answered hands its message in again.
"""

from __future__ import annotations

from dataclasses import dataclass

from rainfall.session import states as s
from rainfall.session import words as w
from rainfall.session.states import Actions, Arrived, Limits, State


@dataclass(slots=True)
class Queue:
    hand: w.Hand
    limits: Limits
    state: State = State.HELD
    stamp_us: int = 0
    """The taker's newest stamp, and when we heard it."""
    heard_us: int = 0
    waiting: tuple[Arrived, ...] = ()
    passing: Arrived | None = None
    """Passed on, not answered."""
    number: int = 0
    """Its number; one that was given up is never used again."""
    last: bool = False
    """No client's connection is left."""

    def finish(self, event: object, now_us: int) -> Actions:
        raise NotImplementedError

    def through(self, event: Arrived, now_us: int) -> Actions:
        return (s.Take(event.item),)

    def wait(self, event: Arrived, now_us: int) -> Actions:
        size = sum(m.item.size for m in self.waiting) + event.item.size
        if (
            len(self.waiting) >= self.limits.hold_messages
            or size > self.limits.hold_bytes
        ):
            return self.refuse(event, now_us)
        self.waiting, self.last = (*self.waiting, event), False
        return self._pump(now_us) if self.state is State.TAIL else ()

    def refuse(self, event: Arrived, now_us: int) -> Actions:
        return (s.Refuse(event.item.id, self.limits.refuse_us),)

    def forget(self, event: s.Left, now_us: int) -> Actions:
        self.waiting = tuple(m for m in self.waiting if m.item.id != event.id)
        if self.passing is not None and self.passing.item.id == event.id:
            # its number is never used again; whether it was taken, nobody needs to know
            self.passing = None
        return self._pump(now_us) if self.state is State.TAIL else ()

    def _shed(self, now_us: int) -> Actions:
        """Whoever has waited `hold_us` is refused, before its client leaves; one passed
        on cannot be.
        """
        late = {m for m in self.waiting if now_us - m.at_us >= self.limits.hold_us}
        self.waiting = tuple(m for m in self.waiting if m not in late)
        if (
            self.passing is not None
            and now_us - self.passing.at_us >= self.limits.hold_us
        ):
            self.passing = None
        return tuple(
            s.Refuse(m.item.id, self.limits.refuse_us)
            for m in sorted(late, key=lambda m: m.at_us)
        )

    # The tail: one message at a time is passed on, so that none overtakes another.

    def _pump(self, now_us: int) -> Actions:
        if self.passing is None and self.waiting:
            self.passing, *rest = self.waiting
            self.waiting, self.number = tuple(rest), self.number + 1
            return self._pass(now_us)
        if self.last and self.passing is None:
            return self.finish(None, now_us)
        return ()

    def _pass(self, now_us: int) -> Actions:
        if self.passing is None:
            return ()
        item = w.leaving(self.passing.item, self.heard_us)
        until_us = self.passing.at_us + self.limits.hold_us - self.heard_us
        return (s.Send(w.Pass(self.hand, self.stamp_us, self.number, until_us, item)),)

    def passed(self, event: w.Passed, now_us: int) -> Actions:
        if (
            event.number != self.number
            or self.passing is None
            or event.stamp_us < self.stamp_us
        ):
            # the last: said before a restart, after which it may be taken all the same
            return ()
        self.stamp_us, self.heard_us = event.stamp_us, now_us
        if event.how == "again":
            return self._pass(now_us)
        name, self.passing = self.passing.item.id, None
        told = (
            s.Answer(name)
            if event.how == "taken"
            else s.Refuse(name, self.limits.refuse_us)
        )
        return told, *self._pump(now_us)
