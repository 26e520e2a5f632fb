"""The engine's part in handing over to a new process and in taking over from an old
one.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from http import HTTPStatus

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.journal.recovery import Unusable
from rainfall.net.config import ConfigError, replacement
from rainfall.net.desk import AWAY_S, Desk, log
from rainfall.net.handover import Line
from rainfall.net.store import Store


class Leaving(Desk):
    def hold(self, then: Callable[[Line | None], None]) -> None:
        """A new process asks for all: stand still, with everything in the journal, and
        tell what that lacks. None where it cannot be had now. While the disk fails it
        cannot: who asks again and again must not cut what is being dialed, the watch
        and the posts each time.
        """
        if (
            not self.serving
            or self.leaving_s
            or self.remote
            or self.lock is None
            or self.store.failed
        ):
            then(None)
            return
        self.recall()
        self.round()
        self.holding = True
        self.watch.pause()
        self.notices.pause()
        self.store.commit(lambda ok: self.still(then))

    def still(self, then: Callable[[Line | None], None]) -> None:
        """All that was decided has left. What has ended since is journaled, and that
        must have its end too: the new process reads the file, and a sync under way
        might put another in its place.
        """
        self.pool.cut_dials()
        if self.fleet is not None:
            self.fleet.pause()
        self.book_waiting()
        self.store.commit(lambda ok: then(self.held()))

    def held(self) -> Line | None:
        if self.store.failed:
            return None
        log.info(
            "a new process takes over: %d messages held, %d calls out",
            len(self.store.messages),
            self.pool.out,
        )
        now = self.clock()
        # The module has not been told of these: its successor is, as of calls that end
        # later.
        ended = {
            (e.message_id, e.attempt)
            for e in self.events
            if isinstance(e, AttemptFinished)
        }
        return {
            "numbers": self.numbers,
            "numbered": self.numbered,
            "recent": list(self.recent),
            "waits": [
                [*place, until]
                for place, until in self.pool.waits.items()
                if until > now
            ],
            "descriptors": len(self.server.connections) + self.pool.out,
            "module": self.dispatcher.snapshot(self.pool.calls.keys() | ended),
        }

    def resume(self) -> None:
        """The new process is gone before it had anything: go on as if it had not
        asked.
        """
        if not self.holding:
            return
        self.holding = False
        if self.fleet is not None:
            self.fleet.resume()
        self.watch.subscribe()
        self.notices.kick()
        self.schedule()
        self.catch_up()

    def catch_up(self) -> None:
        later, self.later = self.later, []
        for call in later:
            call()

    def give(self) -> None:
        """The new process has read all: from here on it is the writer, and this one
        only ends what it has.
        """
        assert self.lock is not None
        self.server.move()
        self.store.let_go()
        self.lock.release()
        self.predecessor.yours()
        events, self.events = self.events, []
        arriving, self.arriving = self.arriving, {}
        self.store.forget_messages()
        self.pool.retire()
        for event in events:
            self.post(event)
        for handed, door in arriving.values():
            self.predecessor.hand_in(handed, door)
        self.catch_up()

    def bereft(self) -> None:
        """The new process is gone, though all was its: the journal says how far it
        got.
        """
        if not self.leaving_s:
            log.error("the new process is gone; starting again from the journal")
            self.again = True
            self.done.set()
            return
        log.error(
            "the new process is gone, and this one ends; all stays in the journal"
        )
        self.answer_from_journal()

    def answer_from_journal(self) -> None:
        """No engine comes after this one here: who waits for an answer gets it before
        the process ends.
        """
        doors, self.predecessor.doors = self.predecessor.doors, {}
        if not doors:
            return
        try:
            kept = Store(self.config.state, self.config.disk_bytes, write=False)
            known = kept.messages.keys() | kept.owed.keys()
        except (OSError, Unusable) as error:
            log.error("the journal cannot be read: %s", error)
            known = set()
        for name, door in doors.values():
            if name in known:
                door.answer(HTTPStatus.ACCEPTED)
            else:
                door.answer(
                    HTTPStatus.SERVICE_UNAVAILABLE, "not taken on", Retry_After=AWAY_S
                )

    def reread(self) -> None:
        """SIGHUP when all is the new process's: the doors that are still here go by the
        same file.
        """
        with suppress(ConfigError):  # the new process counts it and says what is wrong
            self.server.settings = replace(
                replacement(self.config).settings, notifications_acknowledged=True
            )

    def call_off(self, message: str, attempt: int) -> None:
        self.pool.cancel(message, attempt)

    def told_end(self, event: AttemptFinished) -> None:
        """The outcome of a call that was out at the process before."""
        if self.remote.pop((event.message_id, event.attempt), None) is None:
            return
        m = self.store.messages.get(event.message_id)
        name = self.names.get(event.endpoint, "")
        if event.retry_after_us and m is not None:
            host = self.hosts.get(name)
            apart = host is not None and str(host.raw.get("class")) in self.apart
            self.pool.bind(
                (m.destination, event.endpoint if apart else -1),
                self.clock() + event.retry_after_us,
            )
        self.post(event)

    def alone(self) -> None:
        """The process before is gone. What it had out was cut: it may have run."""
        now = self.clock()
        for (name, number), (target, sent_at) in list(self.remote.items()):
            self.told_end(
                AttemptFinished(
                    name,
                    number,
                    target,
                    Outcome.RESET,
                    now - sent_at,
                    inconclusive=True,
                )
            )
        self.share_sockets(self.config.sockets)
