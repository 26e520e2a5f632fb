"""Calls to targets: a pool of connections for each, one call at a time on a connection,
no resend.
"""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable

from rainfall.dispatch import AttemptFinished, LoadReport, Outcome
from rainfall.net import answers
from rainfall.net.answers import wait_us
from rainfall.net.config import Address
from rainfall.net.connection import (
    Call,
    Connection,
    Item,
    Result,
    Sink,
    batch_body,
    fits,
)
from rainfall.net.http import ResponseReader, request
from rainfall.net.idle import Idle

__all__ = ["Call", "Connection", "Item", "Pool", "fits", "wait_us"]
SECOND = 1_000_000
# kept before those that are over are looked for: some hundred endpoints tell one each
MOST_WAITS = 2048
SPOILT_LOG_US = 5 * SECOND
NOT_SOON = -1
# how long the last gate holds a call at most, rather than send it back undone
HELD_US = 50_000
WHOLE_S = 0.5  # an answer that has begun and is not whole after this is spoilt
OURS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
)
"""Why a connection may fail to come up that is no fault of the target's."""
log = logging.getLogger("rainfall.client")


class Pool(Idle):
    """All connections to all targets, and the calls that are out on them."""

    def __init__(
        self,
        clock: Callable[[], int],
        sink: Sink,
        fields: tuple[str, ...],
        idle_us: int,
        dial_us: int,
        most: int,
    ) -> None:
        super().__init__(clock, idle_us)
        self.sink, self.most = sink, most
        self.settle(fields, idle_us, dial_us)
        self.waits: dict[tuple[int, int], int] = {}
        self.out = 0
        self.relayed = 0  # messages written whole to targets
        self.spoilt_us = -SPOILT_LOG_US
        self.calls: dict[tuple[str, int], Call] = {}
        self.recorded: Callable[[Call], bool] | None = None
        """Asked once its connection is up: whether what must be kept of a call before
        it leaves is.
        """
        self.leaves: Callable[[Call], int] | None = None
        """Asked last before a call's first byte: 0, it leaves; else when to ask again,
        in microseconds; below 0, not soon.
        """
        self.left: Callable[[Call], None] | None = None
        """Told right after its first byte."""

    def settle(self, fields: tuple[str, ...], idle_us: int, dial_us: int) -> None:
        self.fields, self.dial_us = fields, dial_us or SECOND
        self.keep_for(idle_us)

    # Starting

    def start(self, call: Call) -> None:
        """Send a call, on a connection that is open or on a new one."""
        self.out += 1
        for item in call.items:
            call.open[item.id] = item
            self.calls[(item.id, item.attempt)] = call
        call.dial_until_us = self.clock() + self.dial_us
        self.arm(call)
        self.connect(call)

    def connect(self, call: Call) -> None:
        if call.target not in self.where:
            self.finish(call, Result(Outcome.NO_CONNECTION))
            return
        idle = self.idle.get(call.target, [])
        while idle:
            connection = idle.pop()
            if connection.quiet() and self.trusted(self.clock() - connection.idle_us):
                self.go_on(call, connection)
                return
            connection.close()
        if len(self.all) + len(self.dials) >= self.most and not self.make_room():
            self.finish(
                call, Result(Outcome.NOT_SENT)
            )  # for want of sockets here: no fault of the target's
            return
        task = asyncio.get_running_loop().create_task(
            self.dial(call, self.where[call.target])
        )
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    async def dial(self, call: Call, where: Address) -> None:
        loop = asyncio.get_running_loop()
        left = min(self.dial_us, call.until_us - self.clock())
        try:
            async with asyncio.timeout(max(0.001, left / SECOND)):
                _, connection = await loop.create_connection(
                    lambda: Connection(self, where), where.host, where.port
                )
        except (OSError, TimeoutError) as error:
            ours = isinstance(error, OSError) and error.errno in OURS
            # A dial that had less time than the settings give one may just have been
            # cut by its own call.
            cut = isinstance(error, TimeoutError) and left < self.dial_us
            self.finish(
                call,
                Result(
                    Outcome.NOT_SENT if ours else Outcome.NO_CONNECTION,
                    weak=cut or isinstance(error, ConnectionResetError),
                ),
            )
            return
        self.all.add(connection)
        if not connection.quiet():
            # It came up and broke, perhaps unread as yet: a target that holds only so
            # many lets go of more. That it is there is known, and what breaks before
            # the first byte never ran.
            self.finish(call, Result(Outcome.NO_CONNECTION, weak=True))
            connection.close()
        else:
            self.go_on(call, connection)

    def go_on(self, call: Call, connection: Connection) -> None:
        """What was told since the call was decided binds it, too, on whichever
        connection it came here; and so does the time that this took.
        """
        now = self.clock()
        late = [item for item in call.open.values() if 0 < item.leave_by_us <= now]
        for item in late:
            self.tell(call, item, Result(Outcome.NOT_SENT))
        if late:
            self.arm(call)
        if self.where.get(call.target) != connection.where:
            # Drained while the connection was coming up: what was queued for it must
            # not leave any more.
            self.finish(call, Result(Outcome.NOT_SENT))
            connection.close()
        elif not call.open or now < self.waits.get(call.place, 0):
            self.finish(call, Result(Outcome.NOT_SENT))
            self.keep(connection, call.target)
        else:
            self.launch(call, connection)

    def launch(self, call: Call, connection: Connection) -> None:
        """The last gate: nothing stands between its yes and the socket. A call that
        comes a moment early, as those before it left later than they were decided, is
        held for that moment.
        """
        data = self.render(call)
        recorded = self.recorded is None or self.recorded(call)
        wait = (
            NOT_SOON
            if not recorded
            else 0
            if self.leaves is None
            else self.leaves(call)
        )
        if not wait:
            connection.start(call, data)
            if self.left is not None:
                self.left(call)
        elif 0 < wait <= HELD_US and self.clock() + wait < call.until_us:
            call.dial_until_us = max(call.dial_until_us, self.clock() + 2 * HELD_US)
            asyncio.get_running_loop().call_later(
                wait / SECOND, self.ask_again, call, connection
            )
        else:
            self.finish(call, Result(Outcome.NOT_SENT))
            self.keep(connection, call.target)

    def ask_again(self, call: Call, connection: Connection) -> None:
        if connection.quiet():
            self.go_on(call, connection)
            return
        connection.close()
        if call.open:
            self.connect(call)

    def render(self, call: Call) -> bytes:
        """The bytes of a call for those of its messages that are still open."""
        where = self.where[call.target]
        host = f"{where.host}:{where.port}"
        items = list(call.open.values())
        call.batched, call.rendered = len(items) > 1, len(items)
        left = f"{max(1, (call.until_us - self.clock()) // 1000) / 1000:.3f}"
        if len(items) == 1:
            item = items[0]
            headers = [("X-Correlation-Id", item.id), ("X-Time-Left", left)]
            if item.key is not None:
                headers.append(("Idempotency-Key", item.key))
            return request("POST", "/hook", host, headers, item.body)
        return request(
            "POST",
            "/hook/batch",
            host,
            [("Content-Type", "application/json"), ("X-Time-Left", left)],
            batch_body(items),
        )

    # Ending

    def arm(self, call: Call) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        if call.open:
            # The first of its messages to run out of time ends it for all: what comes
            # for the others while it is still out for one whose end was told counts for
            # nobody.
            call.until_us = min(item.until_us for item in call.open.values())
            delay = max(0, call.until_us - self.clock()) / SECOND
            call.timer = asyncio.get_running_loop().call_later(
                delay + 0.001, self.timed_out, call
            )

    def timed_out(self, call: Call) -> None:
        self.give_up(call, Outcome.TIMED_OUT)

    def cancel(self, message: str, attempt: int) -> None:
        call = self.calls.get((message, attempt))
        if call is not None and message in call.open:
            self.give_up(call, Outcome.CANCELED)

    def unread(self, call: Call, then: Callable[[], None]) -> bool:
        """Whether a call is not to be given up as yet. What a busy loop has not read
        counts first, as the answer may lie at the socket: it is read in the next turn,
        which sees to sockets before timers. Then this goes on, however much more lies
        there by that time.
        """
        if not call.open or call.connection is None:
            return not call.open
        if call.connection.closing():  # its end was read, and is on its way to the call
            return True
        if not call.connection.unread():
            return False

        def go_on() -> None:
            if call.open and (call.connection is None or not call.connection.closing()):
                then()

        asyncio.get_running_loop().call_later(0, go_on)
        return True

    def give_up(self, call: Call, outcome: Outcome, looked: bool = False) -> None:
        """Stop waiting for a call, all its messages together: while its connection is
        open each of them is still out, and once it is closed, as a late answer must not
        be taken for the next call's, none is.
        """
        if not looked and self.unread(call, lambda: self.give_up(call, outcome, True)):
            return
        sent = call.connection is not None and call.written
        if self.true_200(call):
            outcome = Outcome.DELIVERED
        elif (
            not sent
        ):  # a connection that still had time to come up tells nothing of its target
            early = call.connection is None and self.clock() < call.dial_until_us
            outcome = Outcome.NOT_SENT if early else Outcome.NO_CONNECTION
        self.finish(call, Result(outcome))

    def true_200(self, call: Call) -> bool:
        """Whether the first line of a call with one message says 200: it is delivered,
        whatever follows.
        """
        return (
            not call.batched
            and call.connection is not None
            and call.connection.reader.first_line == 200
        )

    def begun(self, call: Call) -> None:
        """Some of the answer is here: the rest must follow soon, and not hold a slot
        until a time-out.
        """
        if not call.begun:
            call.begun = True
            asyncio.get_running_loop().call_later(WHOLE_S, self.cut_short, call)

    def cut_short(self, call: Call, looked: bool = False) -> None:
        if not looked and self.unread(call, lambda: self.cut_short(call, True)):
            return
        if call.connection is not None:
            reader = call.connection.reader
            if not reader.begun:  # it was one ahead of the answer, in two parts
                call.begun = False
                return
            self.spoilt(call, "not whole in time")
            self.drop(call)
            self.ended(call, reader, broken=True)

    def spoilt(self, call: Call, error: object) -> None:
        """One line now and then: some targets spoil many answers."""
        if self.clock() - self.spoilt_us >= SPOILT_LOG_US:
            self.spoilt_us = self.clock()
            log.warning("target %d: spoilt answer: %s", call.target, str(error)[:200])

    def drop(self, call: Call) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        if call.connection is not None:
            connection, call.connection = call.connection, None
            connection.call = None
            connection.give_up()

    def finish(
        self, call: Call, result: Result, report: LoadReport | None = None
    ) -> None:
        """The same end for all that is still open. What hears of it may send the copy
        at once: while the call is out on an open connection, that would be a second
        one.
        """
        self.drop(call)
        for item in list(call.open.values()):
            self.tell(call, item, result, report)

    def tell(
        self, call: Call, item: Item, result: Result, report: LoadReport | None = None
    ) -> None:
        del call.open[item.id]
        self.calls.pop((item.id, item.attempt), None)
        if result.wait_us:
            self.bind(call.place, self.clock() + result.wait_us)
        if not call.open:
            self.out -= 1
        self.sink(
            AttemptFinished(
                item.id,
                item.attempt,
                call.target,
                result.outcome,
                self.clock() - call.sent_us,
                result.closed or result.outcome is Outcome.DELIVERED,
                result.wait_us,
                report,
                result.weak,
            )
        )

    def ended(self, call: Call, reader: ResponseReader, broken: bool = False) -> None:
        """An answer came, or the connection broke before it was whole."""
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        many = call.batched
        if broken:
            # A first line with 200 is a delivery though the rest is spoilt; of several,
            # only the whole answer tells. Whatever else it says, a spoilt answer shows
            # that the call may have run, also where its first line denies it, and its
            # report and wait are not to be believed. A call that is not whole has not
            # started.
            if reader.first_line == 200 and not many:
                outcome = Outcome.DELIVERED
            elif not call.written:
                outcome = Outcome.NO_CONNECTION
            else:
                outcome = Outcome.UNREADABLE if reader.started else Outcome.RESET
            self.finish(call, Result(outcome, weak=outcome is not Outcome.DELIVERED))
            return
        report = self.report(reader)
        if reader.status == 200 and many:
            self.batch_ended(call, reader, report)
            return
        self.finish(
            call,
            answers.same_for_all(reader) if many else answers.single(reader),
            report,
        )

    def batch_ended(
        self, call: Call, reader: ResponseReader, report: LoadReport | None
    ) -> None:
        try:
            ends = answers.several(reader)
        except (
            ValueError,
            TypeError,
            KeyError,
            RecursionError,
        ) as error:  # nested without end
            self.spoilt(call, error)
            self.finish(call, Result(Outcome.UNREADABLE, weak=True))
            return
        for item in list(call.open.values()):
            self.tell(call, item, ends.get(item.id, Result(Outcome.FAILED)), report)

    def report(self, reader: ResponseReader) -> LoadReport | None:
        return answers.load(reader, self.fields)

    def cut_dials(self) -> None:
        """What is not on a connection yet goes back unsent."""
        for call in {id(c): c for c in self.calls.values()}.values():
            if call.connection is None:
                self.finish(call, Result(Outcome.NOT_SENT))

    def bind(self, place: tuple[int, int], until: int) -> None:
        """A wait that was told."""
        if len(self.waits) > MOST_WAITS:
            now = self.clock()
            self.waits = {p: end for p, end in self.waits.items() if end > now}
        self.waits[place] = max(until, self.waits.get(place, 0))
