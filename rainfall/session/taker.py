"""The taking side of one hand-over. Every pair of state and event is in
`docs/parts/session.md`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rainfall.session import states as s
from rainfall.session import words as w
from rainfall.session.incoming import Incoming
from rainfall.session.states import Actions, Limits, State

Handler = Callable[["Taker", Any, int], Actions]


@dataclass(slots=True)
class Taker(Incoming):
    """`on(event, now_us)` gives what to do, in order. Like `Giver`, forked by
    `copy.copy`.
    """

    def on(self, event: object, now_us: int) -> Actions:
        handler = TABLE[self.state].get(type(event))
        return handler(self, event, now_us) if handler else ()

    def tick(self, now_us: int) -> Actions:
        """To be called every `retry_us`."""
        late = self.until_us is not None and now_us >= self.until_us
        return self.on(s.Timeout() if late else s.Retry(), now_us)

    @staticmethod
    def recover(
        record: w.Stored,
        began: bool,
        shut: bool,
        number: int,
        limits: Limits,
        now_us: int,
    ) -> Taker:
        """After a restart. What had begun stays halted until it is known to be ours;
        what is shut is.
        """
        core = Taker(
            record.hand, record.key, record.moves, limits, None, born_us=now_us
        )
        core.began, core.sure, core.number, core.how = (
            began,
            shut,
            number,
            "taken" if number else "",
        )
        if not began:
            core.items, core.memory = record.items, record.memory
        core._enter(
            State.TAIL if shut else State.COMMITTED if began else State.COPIED, now_us
        )
        return core

    # Copied: on disk, and not ours yet.

    def hold(self, event: object, now_us: int) -> Actions:
        """Say that we hold it, which also asks whose it is."""
        if self.records or self.life is None:
            return ()
        return (s.Send(w.Copied(self.hand, self.life)),)

    def fail(self, event: s.Due, now_us: int) -> Actions:
        """Whoever it belongs to, nobody may deliver it any more, and the giver may be
        dead.
        """
        if all(i.id != event.id for i in self.items):
            return ()
        self.items = tuple(i for i in self.items if i.id != event.id)
        return (s.Fail(event.id),)

    def commit(self, event: w.Commit, now_us: int) -> Actions:
        """Ours, but only if the giver said so to the life that we lead now."""
        if event.life != self.life:
            return ()
        self.to = event.life
        return self._begin(now_us)

    def own(self, event: object, now_us: int) -> Actions:
        self.sure = True
        return self._begin(now_us)

    def _begin(self, now_us: int) -> Actions:
        if not self.began:
            record = w.Began(self.hand)
            if record in self.records:
                return ()
            self._enter(State.COMMITTED, now_us)
            return self._write(record)
        if self.life is None or not (self.sure or self.to == self.life):
            return ()  # the lease went while the record was written
        self._enter(State.TAIL, now_us)
        shut = self._write(w.Shut(self.hand)) if self.sure else ()
        return s.Resume(), s.Send(w.Begun(self.hand, now_us)), *shut

    def orphan(self, event: object, now_us: int) -> Actions:
        """The giver has no record: it lost its journal, took it back by the arbiter's
        word, or let go.
        """
        return (
            ()
            if self.sure
            else (s.Ask(self.hand, "taker", self.hand.giver, forgot=True),)
        )

    def judged(self, event: s.Verdict, now_us: int) -> Actions:
        acting = (
            self.state is State.TAIL
        )  # by the giver's word to this very life of ours
        if event.ruling == "wait" or self.sure or (acting and event.ruling != "taker"):
            return ()
        self.settled = True
        if event.ruling == "taker":
            return self.own(event, now_us)
        return self.expire(event, now_us)

    def expire(self, event: object, now_us: int) -> Actions:
        """It is not ours, or whose it is nobody could say until it was over. What we
        took on since we began is nobody else's; and a giver that takes back what had
        begun ends the copies as well.
        """
        if self.sure or w.Refused(self.hand) in self.records:
            return self.rewrite(event, now_us)
        return *((s.FailAll(),) if self.began else ()), *self.drop(event, now_us)

    def drop(self, event: object, now_us: int) -> Actions:
        if self.state is State.OFFERED and self.records:
            # the copy may be on disk soon: what refuses it is written after it, when
            # asked again
            return ()
        record = w.Refused(self.hand)
        if record in self.records and record not in self.failed:
            return ()
        self._enter(State.ABORTED, now_us)
        self.items, self.memory, self.parts, self.records = (), (), (), ()
        return self._write(record)

    def rewrite(self, event: object, now_us: int) -> Actions:
        return tuple(a for r in self.failed for a in self._write(r))

    def ask(self, event: object, now_us: int) -> Actions:
        if self.records:
            return self.rewrite(event, now_us)
        return *self.hold(event, now_us), *self._ask(now_us)

    def _ask(self, now_us: int) -> Actions:
        """The giver has had its time to answer."""
        if self.sure or now_us - self.since_us < self.limits.ask_us:
            return ()
        return (
            s.Ask(self.hand, "taker", self.hand.giver, cede=self.state is State.TAIL),
        )

    def plead(self, event: object, now_us: int) -> Actions:
        return (s.Send(w.No(self.hand, "draining")),)

    # On disk

    def kept(self, event: s.Kept, now_us: int) -> Actions:
        if event.record not in self.records:
            return ()
        self.records = tuple(r for r in self.records if r != event.record)
        match event.record:
            case w.Stored():
                self._enter(State.COPIED, now_us)
                return self.hold(event, now_us)
            case w.Began():
                items, memory, self.items, self.memory, self.began = (
                    self.items,
                    self.memory,
                    (),
                    (),
                    True,
                )
                return s.Begin(items, memory), *self._begin(now_us)
            case w.Took(number=number, item=item):
                self.number, self.how = number, "taken"
                return s.Take(item, answer=False), self._passed(number, "taken", now_us)
            case w.Refused():
                return (
                    s.Send(w.Dropped(self.hand)),
                    *self._confirm(),
                    *self._over(now_us),
                )
            case _:
                return self._confirm()

    def _confirm(self) -> Actions:
        return (s.Confirm(self.hand, "taker"),) if self.settled else ()

    def unkept(self, event: s.NotKept, now_us: int) -> Actions:
        """It may be on disk all the same. A copy of which we have not said that we hold
        it, we may refuse.
        """
        if event.record not in self.records:
            return ()
        if isinstance(event.record, w.Took):  # not answered, so the giver says it again
            self.records = tuple(r for r in self.records if r != event.record)
            self.unsure = event.record.number
            return ()
        if isinstance(event.record, w.Stored):
            self.records = ()
            return s.Send(w.No(self.hand, "disk")), *self.drop(event, now_us)
        self.failed = (*self.failed, event.record)
        return ()

    # The tail

    def begun(self, event: object, now_us: int) -> Actions:
        return (s.Send(w.Begun(self.hand, now_us)),)

    def remind(self, event: object, now_us: int) -> Actions:
        again = self.rewrite(event, now_us)
        return (
            again
            if self.sure
            else (*again, *self.begun(event, now_us), *self._ask(now_us))
        )

    def shut(self, event: object, now_us: int) -> Actions:
        """We act by the giver's word to this life, and it keeps nothing: it never can
        take it back.
        """
        if self.sure:
            return ()
        self.sure = True
        return self._write(w.Shut(self.hand))

    def take(self, event: w.Pass, now_us: int) -> Actions:
        """One passed message at a time; one that was answered is answered alike, and an
        older one is over.
        """
        if event.number <= self.number:
            return (
                (self._passed(event.number, self.how, now_us),)
                if event.number == self.number
                else ()
            )
        if (
            event.stamp_us < self.born_us
        ):  # it may be one that we refused before the restart
            return (self._passed(event.number, "again", now_us),)
        if any(isinstance(r, w.Took) for r in self.records):
            return ()
        item = w.arriving(event.item, event.stamp_us, self.limits.drift)
        until_us = w.our_time(event.until_us, event.stamp_us, self.limits.drift)
        if self.life is None or self.full or min(item.due_us, until_us) <= now_us:
            if event.number == self.unsure:
                # it may be on disk, and go after a restart: it cannot be refused
                return ()
            self.number, self.how = event.number, "refused"
            return (self._passed(event.number, "refused", now_us),)
        return self._write(w.Took(self.hand, event.number, item))

    def _passed(self, number: int, how: Any, now_us: int) -> s.Send:
        return s.Send(w.Passed(self.hand, number, how, now_us))

    def end(self, event: object, now_us: int) -> Actions:
        """The giver ends its tail only once it has let go, so `End` says `Closed` as
        well.
        """
        if self.sure and not self.records:
            return self._over(now_us)
        self._enter(State.TAIL, now_us)
        return (
            self.shut(event, now_us)
            if isinstance(event, w.End)
            else self.remind(event, now_us)
        )

    # Our lease

    def lease(self, event: s.LeaseBack, now_us: int) -> Actions:
        self.life = event.life
        if self.state is State.COMMITTED and self.sure:
            return self._begin(now_us)
        return (
            self.hold(event, now_us)
            if self.state in (State.COPIED, State.COMMITTED)
            else ()
        )

    def unlease(self, event: object, now_us: int) -> Actions:
        self.life = self.to = None
        return ()

    def stop(self, event: object, now_us: int) -> Actions:
        """While we are lost the giver may take it back, unless it is shut: then only
        the lease is missing.
        """
        self.life = self.to = None
        if self.sure:
            return ()
        self._enter(State.COMMITTED, now_us)
        return (s.Halt(),)


_T = Taker
_ANY: dict[type, Handler] = {
    s.Kept: _T.kept,
    s.NotKept: _T.unkept,
    s.LeaseLost: _T.unlease,
    s.LeaseBack: _T.lease,
}
_DOUBT: dict[type, Handler] = {
    **_ANY,
    w.Commit: _T.commit,
    w.Closed: _T.own,
    w.Forgot: _T.orphan,
    s.Verdict: _T.judged,
    s.Due: _T.fail,
    s.Retry: _T.ask,
    s.Timeout: _T.expire,
}
TABLE: dict[State, dict[type, Handler]] = {
    State.OFFERED: {
        **_ANY,
        **dict.fromkeys((w.No, s.Timeout, s.LinkLost, s.Drain), _T.release),
        w.Offer: _T.accept,
        w.Copy: _T.collect,
        w.Drop: _T.drop,
    },
    State.COPIED: {**_DOUBT, w.Copy: _T.hold, w.Drop: _T.drop, s.Drain: _T.plead},
    State.COMMITTED: _DOUBT,
    State.TAIL: {
        **_ANY,
        s.LeaseLost: _T.stop,
        w.Commit: _T.begun,
        w.Drop: _T.begun,
        w.Closed: _T.shut,
        w.Forgot: _T.shut,
        w.Pass: _T.take,
        w.End: _T.end,
        s.Verdict: _T.judged,
        s.Retry: _T.remind,
        s.Timeout: _T.end,
    },
    State.DONE: {},
    State.ABORTED: {**_ANY, w.Drop: _T.drop, s.Retry: _T.rewrite},
}
