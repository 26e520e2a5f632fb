"""The giving side of one hand-over. Every pair of state and event is in
`docs/parts/session.md`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rainfall.session import states as s
from rainfall.session import words as w
from rainfall.session.states import Actions, Arrived, Limits, State
from rainfall.session.waiting import Queue

Handler = Callable[["Giver", Any, int], Actions]
NOBODY: w.Life = (0, 0)


@dataclass(slots=True)
class Giver(Queue):
    """`on(event, now_us)` gives what to do, in order. Fields hold values that are never
    changed in place, so `copy.copy` forks it.
    """

    key: str = ""
    taker: str = ""
    site: str = ""
    why: str = ""
    moves: int = 1
    state: State = State.HELD
    since_us: int = 0
    until_us: int | None = None
    asked: s.Give = s.Give()
    record: w.Record | None = None
    """Asked to be written and not yet known to be on disk."""
    writing: bool = False
    unwanted: bool = False
    """To be taken back as soon as the seal is written."""
    settled: bool = False
    """The arbiter's word decided."""
    doubt: bool = False
    """Committed, and the arbiter was asked, perhaps before a restart. What it was asked
    may reach it late, so from now on only its word moves us: we neither let go nor
    commit to another life of the taker alone.
    """
    nobodys: bool = False
    """Nobody could say whose it is until it was over: neither side has it by this
    hand-over.
    """
    begun: bool = False
    """The taker has told that it began."""
    parts: tuple[w.Copy, ...] = ()
    to: w.Life | None = None
    """The taker's lease under which it last said that it holds the copy."""

    def on(self, event: object, now_us: int) -> Actions:
        """What follows from an event. One that means nothing in this state does
        nothing.
        """
        handler = TABLE[self.state].get(type(event))
        return handler(self, event, now_us) if handler else ()

    def tick(self, now_us: int) -> Actions:
        """To be called every `retry_us`: `Timeout` where the state's limit is over,
        `Retry` otherwise.
        """
        late = self.until_us is not None and now_us >= self.until_us
        return self.on(s.Timeout() if late else s.Retry(), now_us)

    @staticmethod
    def recover(
        record: w.Sealed, committed: bool, limits: Limits, now_us: int
    ) -> Giver:
        """After a restart, from the journal. The session's messages stay with the
        engine, frozen.
        """
        core = Giver(record.hand, limits, key=record.key, taker=record.taker)
        core.doubt = committed
        core._enter(State.COMMITTED if committed else State.ABORTED, now_us)
        return core

    def _enter(self, state: State, now_us: int) -> None:
        within = {
            State.OFFERED: self.limits.offer_us,
            State.FROZEN: self.limits.freeze_us,
            State.COPIED: self.limits.copy_us,
            State.COMMITTED: self.limits.commit_us,
            State.ABORTED: self.limits.commit_us,
            State.TAIL: self.limits.tail_us,
        }.get(state)
        self.state, self.since_us = state, now_us
        self.until_us = None if within is None else now_us + within

    def _write(self, record: w.Record) -> Actions:
        self.record, self.writing = record, True
        return (s.Journal(record),)

    # Before the seal: nothing has left, and the session is taken back alone.

    def offer(self, event: object, now_us: int) -> Actions:
        if isinstance(event, s.Give):
            self.asked = event
            self._enter(State.OFFERED, now_us)
        asked = self.asked
        return (
            s.Send(
                w.Offer(
                    self.hand,
                    self.key,
                    self.site,
                    self.why,
                    asked.messages,
                    asked.bytes,
                    self.moves,
                )
            ),
        )

    def unoffer(self, event: object, now_us: int) -> Actions:
        self._enter(State.HELD, now_us)
        return s.Send(w.No(self.hand)), s.Over()

    def freeze(self, event: w.Accept, now_us: int) -> Actions:
        self.stamp_us, self.heard_us = event.stamp_us, now_us
        self._enter(State.FROZEN, now_us)
        return (s.Freeze(),)

    def close_calls(self, event: object, now_us: int) -> Actions:
        out = self.record is None and now_us - self.since_us >= self.limits.calls_us
        return (*self._shed(now_us), *((s.CloseCalls(),) if out else ()))

    def thaw(self, event: object, now_us: int) -> Actions:
        if (
            self.record is not None
        ):  # the seal may reach the disk: from there on the taker has to agree
            self.unwanted = True
            return ()
        return s.Send(w.No(self.hand)), *self._resume(now_us)

    def seal(self, event: s.Quiet, now_us: int) -> Actions:
        if self.record is not None:
            return ()
        small = (
            len(event.items) <= self.limits.session_messages
            and sum(i.size for i in event.items) <= self.limits.session_bytes
        )
        left = (
            min(
                (i.due_us for i in event.items),
                default=now_us + self.limits.least_left_us,
            )
            - now_us
        )
        if not small or left < self.limits.least_left_us:
            return self.thaw(event, now_us)
        items = [w.leaving(i, self.heard_us) for i in event.items]
        parts = list(w.in_parts(items, event.memory[-self.limits.memory :]))
        self.parts = tuple(
            w.Copy(self.hand, self.stamp_us, n, len(parts), *p)
            for n, p in enumerate(parts)
        )
        return self._write(w.Sealed(self.hand, self.key, self.taker))

    # Sealed: the taker may hold a copy.

    def kept(self, event: s.Kept, now_us: int) -> Actions:
        if event.record != self.record:
            return ()
        self.record, self.writing = None, False
        match event.record:
            case w.Sealed():
                if self.unwanted:
                    return self.want_back(event, now_us)
                self._enter(State.COPIED, now_us)
                return tuple(map(s.Send, self.parts))
            case w.Committed():
                self.parts = ()
                self._enter(State.COMMITTED, now_us)
                return self._commit()
            case w.Gone() if self.nobodys:
                return s.LetGo(), *self._confirm(), *self._leave(now_us)
            case w.Gone():
                self._enter(State.TAIL, now_us)
                told = (
                    s.LetGo(),
                    s.Send(w.Closed(self.hand)),
                    *self._confirm(),
                    s.Tail(),
                )
                return *told, *self._pump(now_us)
            case _:
                return *self._confirm(), *self._resume(now_us)

    def _confirm(self) -> Actions:
        return (s.Confirm(self.hand, "giver"),) if self.settled else ()

    def unkept(self, event: s.NotKept, now_us: int) -> Actions:
        """It may be on disk all the same: a seal is harmless, any other is written
        until it surely is.
        """
        if event.record != self.record:
            return ()
        self.writing = False
        if not isinstance(self.record, w.Sealed):
            return ()
        self.record = None
        return self.thaw(event, now_us)

    def commit(self, event: w.Copied, now_us: int) -> Actions:
        self.to = event.life
        return () if self.record is not None else self._write(w.Committed(self.hand))

    def _commit(self) -> Actions:
        """Where we do not know the taker's life (a restart, the arbiter's word), it
        only wants an answer.
        """
        return (s.Send(w.Commit(self.hand, self.to or NOBODY)),)

    def recommit(self, event: w.Copied, now_us: int) -> Actions:
        if self.record is not None:
            return ()
        if self.doubt and event.life != self.to:
            return self._cede()
        self.to = event.life
        return self._commit()

    def _cede(self) -> Actions:
        return (s.Ask(self.hand, "giver", self.taker, committed=True, cede=True),)

    def want_back(self, event: object, now_us: int) -> Actions:
        if self.record is not None:  # the commit may be on disk: there is no way back
            return self.push(event, now_us)
        self.parts = ()
        self._enter(State.ABORTED, now_us)
        return (s.Send(w.Drop(self.hand)),)

    def drop(self, event: object, now_us: int) -> Actions:
        return (s.Send(w.Drop(self.hand)),)

    def back(self, event: object, now_us: int) -> Actions:
        return () if self.record is not None else self._write(w.Back(self.hand))

    def doubted(self, event: object, now_us: int) -> Actions:
        """We had committed, and the taker does not have it: what it ran of the copies
        nobody knows.
        """
        if self.record is not None:
            return ()
        self._enter(State.ABORTED, now_us)
        return s.FailAll(), *self._write(w.Back(self.hand))

    def handed(self, event: w.Begun, now_us: int) -> Actions:
        if self.record is not None:
            return ()
        self.stamp_us, self.heard_us, self.parts, self.begun = (
            event.stamp_us,
            now_us,
            (),
            True,
        )
        return self._cede() if self.doubt else self._gone(now_us)

    def _gone(self, now_us: int) -> Actions:
        self._enter(State.COMMITTED, now_us)
        return self._write(w.Gone(self.hand))

    def judged(self, event: s.Verdict, now_us: int) -> Actions:
        committed = self.state is State.COMMITTED
        if (
            self.record is not None
            or event.ruling == "wait"
            or (committed and self.settled)
        ):
            return ()
        if event.ruling == "taker":
            self.settled, self.doubt = True, False
            if committed:
                return self._gone(now_us) if self.begun else self._commit()
            self._enter(
                State.COMMITTED, now_us
            )  # no record: after a restart the same word is given again
            return self._commit()
        self.settled = True
        return (
            self.doubted(event, now_us) if committed else self._write(w.Back(self.hand))
        )

    def push(self, event: object, now_us: int) -> Actions:
        """What was not answered is said again; a record that may not be on disk is
        written again.
        """
        shed = self._shed(now_us)
        if self.record is not None:
            return shed if self.writing else (*shed, *self._write(self.record))
        committed = self.state is State.COMMITTED
        if self.state is State.COPIED:
            return *shed, *map(s.Send, self.parts)
        if self.state is State.TAIL:
            return *shed, *self._pass(now_us), *self._pump(now_us)
        again = self._commit() if committed else self.drop(event, now_us)
        if now_us - self.since_us < self.limits.ask_us or (committed and self.settled):
            return *shed, *again
        self.doubt = committed
        return *shed, *again, s.Ask(self.hand, "giver", self.taker, committed)

    def expire(self, event: object, now_us: int) -> Actions:
        """No copy is alive any more, wherever it is; only ends that nobody told may be
        missing.
        """
        if self.record is not None:
            return self.push(event, now_us)
        self.nobodys = self.state is State.ABORTED
        return s.FailAll(), *self._gone(now_us)

    def _resume(self, now_us: int) -> Actions:
        waited, self.waiting, self.parts = self.waiting, (), ()
        self._enter(State.HELD, now_us)
        return s.Resume(), *(s.Take(m.item) for m in waited), s.Over()

    def close(self, event: object, now_us: int) -> Actions:
        if isinstance(event, w.Begun):
            self.stamp_us, self.heard_us = event.stamp_us, now_us
        return (s.Send(w.Closed(self.hand)),)

    def over(self, event: object, now_us: int) -> Actions:
        self.last = True
        return self._pump(now_us)

    def finish(self, event: object, now_us: int) -> Actions:
        return s.Send(w.End(self.hand)), *self._leave(now_us)

    def _leave(self, now_us: int) -> Actions:
        waited, self.waiting, self.passing = self.waiting, (), None
        self._enter(State.DONE, now_us)
        return *(s.Refuse(m.item.id, self.limits.refuse_us) for m in waited), s.Over()


_G = Giver
_AGAINST = (w.No, s.Timeout, s.LinkLost, s.LeaseLost, s.Stop)
_WAITS: dict[type, Handler] = {Arrived: _G.wait, s.Left: _G.forget}
_DISK: dict[type, Handler] = {s.Kept: _G.kept, s.NotKept: _G.unkept}
TABLE: dict[State, dict[type, Handler]] = {
    State.HELD: {s.Give: _G.offer, Arrived: _G.through},
    State.OFFERED: {
        **dict.fromkeys(_AGAINST, _G.unoffer),
        w.Accept: _G.freeze,
        Arrived: _G.through,
        s.Retry: _G.offer,
    },
    State.FROZEN: {
        **dict.fromkeys(_AGAINST, _G.thaw),
        **_WAITS,
        **_DISK,
        s.Quiet: _G.seal,
        s.Retry: _G.close_calls,
    },
    State.COPIED: {
        **dict.fromkeys(_AGAINST, _G.want_back),
        **_WAITS,
        **_DISK,
        w.Copied: _G.commit,
        w.Begun: _G.handed,
        s.Retry: _G.push,
    },
    State.COMMITTED: {
        **_WAITS,
        **_DISK,
        w.Copied: _G.recommit,
        w.Begun: _G.handed,
        w.Dropped: _G.doubted,
        s.Verdict: _G.judged,
        s.Retry: _G.push,
        s.Timeout: _G.expire,
    },
    State.TAIL: {
        **_WAITS,
        w.Copied: _G.close,
        w.Begun: _G.close,
        w.Passed: _G.passed,
        s.TailOver: _G.over,
        s.Retry: _G.push,
        s.Timeout: _G.finish,
    },
    State.DONE: {w.Copied: _G.close, w.Begun: _G.close, Arrived: _G.refuse},
    State.ABORTED: {
        **_WAITS,
        **_DISK,
        w.Copied: _G.drop,
        w.Begun: _G.handed,
        w.Dropped: _G.back,
        s.Verdict: _G.judged,
        s.Retry: _G.push,
        s.Timeout: _G.expire,
    },
}
