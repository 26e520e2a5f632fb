"""Two events of one call in the same moment, over loopback sockets. The target is a
plain socket in the test's own thread: nothing happens at it but what the test does,
also while the program stands still.
"""

from __future__ import annotations

import asyncio
import json
import select
import socket
import struct
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.engine.engine_state import Clock
from rainfall.forwarder.outbound import connection_pool
from rainfall.forwarder.outbound.connection_pool import (
    CallItem,
    ConnectionPool,
    EndpointConnection,
    OutboundCall,
)
from tests.support.loopback_peers import PATIENCE

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
HUGE = b"x" * (24 << 20)  # more than all buffers between the two sides hold
BOTH = json.dumps(
    [{"id": "a", "state": "accepted"}, {"id": "b", "state": "deferred"}]
).encode()


class Target:
    """A listening socket; what is done on its connections blocks the test, and the
    program with it.
    """

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
        )  # connections inherit it
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.listener.settimeout(PATIENCE)
        self.where = Address("127.0.0.1", self.listener.getsockname()[1])
        self.open: list[socket.socket] = [self.listener]

    def accept(self) -> socket.socket:
        side, _ = self.listener.accept()
        side.settimeout(PATIENCE)
        self.open.append(side)
        return side

    def waits(self) -> bool:
        """Whether a connection waits to be accepted."""
        return readable(self.listener)

    def close(self) -> None:
        for side in self.open:
            side.close()


@pytest.fixture
def target() -> Iterator[Target]:
    target = Target()
    yield target
    target.close()


def readable(side: socket.socket, patience_s: float = 0) -> bool:
    return bool(select.select([side], [], [], patience_s)[0])


def ended(side: socket.socket, patience_s: float = 1.0) -> bool:
    """Whether the program has ended its side. The loop stands still meanwhile: what it
    has only put down for its next turn does not count.
    """
    if not readable(side, patience_s):
        return False
    try:
        return side.recv(1, socket.MSG_PEEK) == b""
    except ConnectionResetError:
        return True


def reset(side: socket.socket) -> None:
    side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    side.close()


def arrived(connection: EndpointConnection) -> None:
    """Stand still until what the target did lies at the program's socket."""
    assert connection.transport is not None
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    assert poll.poll(PATIENCE * 1000)


def request_on(side: socket.socket) -> bytes:
    """One request, whole."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += (more := side.recv(1 << 16))
        assert more
    head, _, body = data.partition(b"\r\n\r\n")
    size = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    while len(body) < size:
        body += (more := side.recv(1 << 20))
        assert more
    return head


async def until(test: Callable[[], object]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not test():
            await asyncio.sleep(0.002)


class Scene:
    """A pool with one target, and what it told."""

    def __init__(self, target: Target, idle_us: int = 5_000_000) -> None:
        self.target, self.ends, self.now = target, [], 0
        self.clock: Callable[[], int] = Clock()
        self.pool = ConnectionPool(
            lambda: self.clock(), self.told, ("x0", "x1"), idle_us, 1_000_000, 10
        )
        self.pool.set_endpoints({1: target.where})
        self.on_told: Callable[[AttemptFinished], None] = lambda event: None

    ends: list[AttemptFinished]

    def told(self, event: AttemptFinished) -> None:
        self.ends.append(event)
        self.on_told(event)

    def outcomes(self) -> list[Outcome]:
        return [e.outcome for e in self.ends]

    def call(
        self,
        *names: str,
        left_us: int = 60_000_000,
        body: bytes = b"x",
        number: int = 1,
    ) -> OutboundCall:
        now = self.clock()
        items = [CallItem(n, 0, None, body, now + left_us) for n in names or ("m",)]
        return OutboundCall(number, (7, -1), now, items)

    async def out(
        self, *names: str, body: bytes = b"x", left_us: int = 60_000_000
    ) -> tuple[OutboundCall, socket.socket]:
        """A call that its target has whole."""
        call = self.call(*names, body=body, left_us=left_us)
        self.pool.start(call)
        await until(lambda: call.connection is not None)
        side = self.target.accept()
        request_on(side)
        return call, side

    async def rested(self, count: int = 1) -> list[socket.socket]:
        """So many idle connections, each of which has had its call."""
        calls = [await self.out(f"before-{n}") for n in range(count)]
        for _, side in calls:
            side.sendall(OK)
        await until(lambda: len(self.pool.idle.get(1, [])) == count)
        assert self.outcomes() == [Outcome.DELIVERED] * count
        self.ends.clear()
        return [side for _, side in calls]

    def only(self) -> EndpointConnection:
        (connection,) = self.pool.connections
        return connection

    def done(self) -> None:
        """Every call has had its end, once."""
        assert self.pool.in_flight == 0 and not self.pool.calls
        assert len({(e.message_id, e.attempt) for e in self.ends}) == len(self.ends)


def play(scene: Callable[[], Any]) -> None:
    async def whole() -> None:
        async with asyncio.timeout(PATIENCE):
            await scene()
        await asyncio.sleep(0)

    asyncio.run(whole())


# A call is given up, and its copy goes out


@pytest.mark.parametrize(
    "how", ["time-out", "cancel", "noise", "never whole", "batch canceled"]
)
def test_call_given_up_has_left_its_connection_before_its_end_is_told(
    how: str, target: Target, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The round that hears of the end may send the copy in the very next turn, ahead of
    a close that was only put down for that turn: a second copy while the first is out
    on an open connection.
    """
    monkeypatch.setattr(connection_pool, "RESPONSE_COMPLETION_S", 0.01)

    async def scene() -> None:
        s = Scene(target)
        names = ("a", "b") if how == "batch canceled" else ("m",)
        _call, side = await s.out(
            *names, left_us=20_000 if how == "time-out" else 60_000_000
        )
        closed: list[bool] = []
        s.on_told = lambda event: closed.append(ended(side))
        if how in ("cancel", "batch canceled"):
            s.pool.cancel(names[0], 0)
        elif how == "noise":
            side.sendall(b"\0\1 what nobody speaks\r\n\r\n")
        elif how == "never whole":
            side.sendall(b"HTTP/1.1 500 No\r\nContent-Le")
        await until(lambda: s.ends)
        assert closed == [True] * len(names)
        assert set(s.outcomes()) <= {
            Outcome.TIMED_OUT,
            Outcome.CANCELED,
            Outcome.UNREADABLE,
        }
        s.done()

    play(scene)


# A connection breaks before the call's last byte is written


@pytest.mark.parametrize("rested", [False, True])
def test_reset_between_the_last_look_and_the_write_never_ran(
    rested: bool, target: Target
) -> None:
    """The write fails, and the socket took no byte."""

    async def scene() -> None:
        s = Scene(target)
        sides = await s.rested() if rested else []

        def leaves(call: OutboundCall) -> int:
            reset(sides[0] if sides else target.accept())
            arrived(s.only())
            return 0

        s.pool.acquire_permit = leaves
        s.pool.start(s.call())
        await until(lambda: s.ends)
        assert (
            s.outcomes() == [Outcome.NO_CONNECTION]
            and s.ends[0].inconclusive
            and s.pool.messages_written == len(sides)
        )
        await until(lambda: not s.pool.connections)
        s.done()

    play(scene)


@pytest.mark.parametrize("rested", [False, True])
def test_end_between_the_last_look_and_the_write_may_have_run(
    rested: bool, target: Target
) -> None:
    """A half-close takes what is written after it: nothing here tells that nobody reads
    it.
    """

    async def scene() -> None:
        s = Scene(target)
        sides = await s.rested() if rested else []

        def leaves(call: OutboundCall) -> int:
            side = sides[0] if sides else target.accept()
            side.shutdown(socket.SHUT_WR)
            arrived(s.only())
            return 0

        s.pool.acquire_permit = leaves
        s.pool.start(s.call())
        await until(lambda: s.ends)
        assert s.outcomes() == [Outcome.RESET]
        s.done()

    play(scene)


@pytest.mark.parametrize("how", ["end", "reset", "half a line"])
def test_connection_that_breaks_as_it_comes_up_carries_no_call(
    how: str, target: Target, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A target that holds only so many accepts and lets go: what is known before the
    write never ran.
    """

    async def scene() -> None:
        s = Scene(target)
        seen: list[bytes] = []
        made = EndpointConnection.connection_made

        def connection_made(
            self: EndpointConnection, transport: asyncio.BaseTransport
        ) -> None:
            made(self, transport)
            side = target.accept()
            if how == "end":
                side.shutdown(socket.SHUT_WR)
            elif how == "half a line":
                side.sendall(b"HTTP/1.1 5")
            else:
                reset(side)
            arrived(self)

        monkeypatch.setattr(EndpointConnection, "connection_made", connection_made)
        s.pool.start(s.call())
        await until(lambda: s.ends)
        assert s.outcomes() == [Outcome.NO_CONNECTION] and s.ends[0].inconclusive
        await until(lambda: not s.pool.connections)
        if how != "reset":
            try:
                seen.append(target.open[-1].recv(100))
            except ConnectionResetError:
                seen.append(b"")
            assert seen == [b""]
        s.done()

    play(scene)


@pytest.mark.parametrize("how", ["reset", "end", "noise"])
def test_connection_that_breaks_under_a_half_written_call_never_ran(
    how: str, target: Target
) -> None:
    async def scene() -> None:
        s = Scene(target)
        call = s.call(body=HUGE)
        s.pool.start(call)
        await until(lambda: call.connection is not None)
        side = target.accept()
        assert side.recv(1) and not call.written
        if how == "reset":
            reset(side)
        elif (
            how == "end"
        ):  # it reads no more either: what is left must not be waited for
            side.shutdown(socket.SHUT_WR)
        else:
            side.sendall(b"\0\1 what nobody speaks\r\n\r\n")
        async with asyncio.timeout(5):
            await until(lambda: s.ends)
        assert (
            s.outcomes() == [Outcome.NO_CONNECTION]
            and s.ends[0].inconclusive
            and s.pool.messages_written == 0
        )
        s.done()

    play(scene)


@pytest.mark.parametrize(
    "answer, outcome",
    [
        (FULL, Outcome.REJECTED),
        (OK, Outcome.DELIVERED),
        (b"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED),
    ],
)
def test_answer_before_the_request_is_written_ends_its_connection(
    answer: bytes, outcome: Outcome, target: Target
) -> None:
    """What is left of the request must not follow, else a call that was turned away
    starts after all, and the next one's bytes come behind it.
    """

    async def scene() -> None:
        s = Scene(target)
        call = s.call(body=HUGE)
        s.pool.start(call)
        await until(lambda: call.connection is not None)
        side = target.accept()
        side.sendall(answer)
        await until(lambda: s.ends)
        assert s.outcomes() == [outcome] and not call.written
        assert not s.pool.idle.get(1)
        await until(lambda: not s.pool.connections)
        size = 0
        try:
            while more := side.recv(1 << 20):
                size += len(more)
        except ConnectionResetError:
            pass
        assert size < len(HUGE)
        s.done()

    play(scene)


def test_first_line_with_200_before_the_request_is_written_is_a_delivery(
    target: Target,
) -> None:
    async def scene() -> None:
        s = Scene(target)
        call = s.call(body=HUGE)
        s.pool.start(call)
        await until(lambda: call.connection is not None)
        target.accept().sendall(b"HTTP/1.1 200 OK\r\n")
        await until(lambda: call.response_started)
        s.pool.cancel("m", 0)
        assert s.outcomes() == [Outcome.DELIVERED]
        s.done()

    play(scene)


# An answer lies unread at the socket when its call is given up


UNREAD = [
    (OK, Outcome.DELIVERED),
    (FULL, Outcome.REJECTED),
    (b"HTTP/1.1 200 OK\r\nContent-Le", Outcome.DELIVERED),
    (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED),
    (b"HTTP/1.1 2", None),
    (b"", None),
    (b"end", Outcome.RESET),
]


@pytest.mark.parametrize("how", ["time-out", "cancel"])
@pytest.mark.parametrize("answer, outcome", UNREAD)
def test_answer_that_lies_unread_goes_before_giving_up(
    answer: bytes, outcome: Outcome | None, how: str, target: Target
) -> None:
    """A message is delivered once its first line with 200 was written to the forwarder,
    also where the loop was busy and has not read it.
    """

    async def scene() -> None:
        s = Scene(target)
        call, side = await s.out()
        connection = s.only()
        if answer == b"end":
            side.shutdown(socket.SHUT_WR)
        elif answer:
            side.sendall(answer)
        if answer:
            arrived(connection)
        if how == "cancel":
            s.pool.cancel("m", 0)
        else:
            call.items[0].timeout_at_us = 0
            s.pool.on_timeout(call)
        await until(lambda: s.ends)
        given_up = Outcome.CANCELED if how == "cancel" else Outcome.TIMED_OUT
        assert s.outcomes() == [outcome or given_up]
        await asyncio.sleep(0)
        s.done()

    play(scene)


@pytest.mark.parametrize("how", ["time-out", "cancel", "cut short"])
def test_shared_answer_that_lies_unread_goes_before_giving_up(
    how: str, target: Target
) -> None:
    async def scene() -> None:
        s = Scene(target)
        call, side = await s.out("a", "b")
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BOTH) + BOTH
        if how == "cut short":
            side.sendall(answer[:20])
            await until(lambda: call.response_started)
            answer = answer[20:]
        side.sendall(answer)
        arrived(s.only())
        if how == "cancel":
            s.pool.cancel("a", 0)
        elif how == "cut short":
            s.pool.on_incomplete_response(call)
        else:
            call.items[0].timeout_at_us = 0
            s.pool.on_timeout(call)
        await until(lambda: len(s.ends) == 2)
        assert {e.message_id: e.outcome for e in s.ends} == {
            "a": Outcome.DELIVERED,
            "b": Outcome.REJECTED,
        }
        s.done()

    play(scene)


@pytest.mark.parametrize("how", ["time-out", "cancel"])
def test_end_that_was_read_goes_before_giving_up(how: str, target: Target) -> None:
    """An answer without a length is whole by it; the transport tells of it in the next
    turn.
    """

    async def scene() -> None:
        s = Scene(target)
        call, side = await s.out("a", "b")
        connection = s.only()
        assert connection.transport is not None
        side.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + BOTH)
        await until(lambda: connection.reader.body == BOTH)
        connection.transport.close()  # as it does itself when it reads an end
        if how == "cancel":
            s.pool.cancel("a", 0)
        else:
            call.items[0].timeout_at_us = call.items[1].timeout_at_us = 0
            s.pool.on_timeout(call)
        await until(lambda: len(s.ends) == 2)
        assert s.outcomes() == [Outcome.DELIVERED, Outcome.REJECTED]
        s.done()

    play(scene)


# Two events in one turn


def events(
    s: Scene, call: OutboundCall, connection: EndpointConnection
) -> dict[str, Callable[[], None]]:
    def timed_out() -> None:
        for item in call.items:
            item.timeout_at_us = 0
        s.pool.on_timeout(call)

    return {
        "answer": lambda: (
            None if connection.is_closing() else connection.data_received(OK)
        ),
        "half": lambda: (
            None
            if connection.is_closing()
            else connection.data_received(b"HTTP/1.1 500 No\r\nA:")
        ),
        "time-out": timed_out,
        "cancel": lambda: s.pool.cancel("m", 0),
        "lost": lambda: (
            connection.transport.abort() if connection.transport is not None else None
        ),
        "drained": lambda: s.pool.set_endpoints({}),
        "moved": lambda: s.pool.set_endpoints({1: Address("127.0.0.1", 9)}),
        "wait": lambda: s.pool.set_retry_after((7, -1), s.clock() + 1_000_000),
        "cut": lambda: s.pool.on_incomplete_response(call),
        "dials cut": s.pool.fail_unconnected_calls,
        "retired": s.pool.retire,
    }


NAMES = (
    "answer",
    "half",
    "time-out",
    "cancel",
    "lost",
    "drained",
    "moved",
    "wait",
    "cut",
    "dials cut",
    "retired",
)


@pytest.mark.parametrize("first", NAMES)
def test_each_pair_of_events_ends_a_call_once(first: str, target: Target) -> None:
    async def scene() -> None:
        for second in NAMES:
            s = Scene(target)
            call, side = await s.out()
            connection = s.only()
            do = events(s, call, connection)
            do[first]()
            do[second]()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            if (
                not s.ends
            ):  # nothing of this ends a call: it is still out, and its answer counts
                assert call.open_items and not {first, second} & {
                    "answer",
                    "time-out",
                    "cancel",
                    "lost",
                }
                assert (first, second) != (
                    "half",
                    "cut",
                )  # without a half answer there is none to cut
                connection.data_received(
                    b"\r\nContent-Length: 0\r\n\r\n" if call.response_started else OK
                )
            assert len(s.ends) == 1, (first, second)
            if first == "answer":
                assert s.outcomes() == [Outcome.DELIVERED]
            gone = {first, second} & {"drained", "moved", "retired"}
            assert not (gone and s.pool.idle.get(1)), (first, second)
            s.done()
            s.pool.close()
            await until(lambda s=s: not s.pool.connections)
            side.close()

    play(scene)


# An answer that breaks off


CUTS = [  # what came, then the end: for a call with one message, for one with two
    (b"", Outcome.RESET, Outcome.RESET),
    (b"H", Outcome.UNREADABLE, Outcome.UNREADABLE),
    (
        b"HTTP/1.1 200",
        Outcome.UNREADABLE,
        Outcome.UNREADABLE,
    ),  # it may have gone on as 2001
    (b"HTTP/1.1 2001 O\r\n", Outcome.UNREADABLE, Outcome.UNREADABLE),
    (
        b"HTTP/1.1 200 ",
        Outcome.UNREADABLE,
        Outcome.UNREADABLE,
    ),  # its first line is not whole
    (b"HTTP/1.1 200 OK", Outcome.UNREADABLE, Outcome.UNREADABLE),
    (b"HTTP/1.1 200 OK\r", Outcome.UNREADABLE, Outcome.UNREADABLE),
    (b"HTTP/1.1 200 OK\r\n", Outcome.DELIVERED, Outcome.UNREADABLE),
    (b"HTTP/1.1 200 OK\r\nContent-Le", Outcome.DELIVERED, Outcome.UNREADABLE),
    (
        b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + BOTH[:30],
        Outcome.DELIVERED,
        Outcome.UNREADABLE,
    ),
    (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"%x\r\n%b\r\n" % (len(BOTH), BOTH),
        Outcome.DELIVERED,
        Outcome.UNREADABLE,
    ),
    (b"HTTP/1.1 200 OK\r\nNo colon\r\n\r\n", Outcome.DELIVERED, Outcome.UNREADABLE),
    (
        b"HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 6000",
        Outcome.UNREADABLE,
        Outcome.UNREADABLE,
    ),
    (
        b"HTTP/1.1 429 No\r\nContent-Length: 5\r\n\r\nab",
        Outcome.UNREADABLE,
        Outcome.UNREADABLE,
    ),
    (
        b"HTTP/1.1 503 No\r\nX-Over-Slots: 1\r\nContent-Length: 5\r\n\r\n",
        Outcome.UNREADABLE,
        Outcome.UNREADABLE,
    ),
    (b"HTTP/1.1 103 Early\r\n\r\n", Outcome.UNREADABLE, Outcome.UNREADABLE),
    (
        b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 O",
        Outcome.UNREADABLE,
        Outcome.UNREADABLE,
    ),
    (
        b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\n",
        Outcome.DELIVERED,
        Outcome.UNREADABLE,
    ),
]


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("begin, one, two", CUTS)
def test_answer_that_breaks_off_may_have_run_unless_its_first_line_says_200(
    begin: bytes, one: Outcome, two: Outcome, how: str, target: Target
) -> None:
    async def scene() -> None:
        for names, outcome in ((("m",), one), (("a", "b"), two)):
            s = Scene(target)
            call, side = await s.out(*names)
            if begin:
                side.sendall(begin)
                await until(
                    lambda s=s, call=call: (
                        s.ends
                        or (
                            call.connection is not None
                            and call.connection.reader.any_bytes_received
                        )
                    )
                )
            if how == "end":
                side.shutdown(socket.SHUT_WR)
            else:
                reset(side)
            await until(lambda s=s: s.ends)
            assert s.outcomes() == [outcome] * len(names)
            assert all(e.retry_after_us == 0 and e.load_report is None for e in s.ends)
            await until(lambda s=s: not s.pool.connections)
            s.done()

    play(scene)


@pytest.mark.parametrize("how", ["end", "reset"])
def test_answer_without_a_length_is_whole_by_an_end_and_not_by_a_reset(
    how: str, target: Target
) -> None:
    async def scene() -> None:
        s = Scene(target)
        call, side = await s.out("a", "b")
        side.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + BOTH)
        await until(
            lambda: call.connection is not None and call.connection.reader.body == BOTH
        )
        if how == "end":
            side.shutdown(socket.SHUT_WR)
        else:
            reset(side)
        await until(lambda: len(s.ends) == 2)
        told = (
            [Outcome.DELIVERED, Outcome.REJECTED]
            if how == "end"
            else [Outcome.UNREADABLE] * 2
        )
        assert s.outcomes() == told
        s.done()

    play(scene)


@pytest.mark.parametrize(
    "names, first, outcome",
    [
        (("m",), b"HTTP/1.1 200 OK\r\nA: ", Outcome.DELIVERED),
        (("m",), b"HTTP/1.1 500 No\r\nA: ", Outcome.UNREADABLE),
        (("m",), b"HTT", Outcome.UNREADABLE),
        (("a", "b"), b"HTTP/1.1 200 OK\r\nA: ", Outcome.UNREADABLE),
        (
            ("a", "b"),
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n",
            Outcome.UNREADABLE,
        ),
    ],
)
def test_answer_without_end_is_cut_byte_by_byte(
    names: tuple[str, ...],
    first: bytes,
    outcome: Outcome,
    target: Target,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "RESPONSE_COMPLETION_S", 0.05)

    async def scene() -> None:
        s = Scene(target)
        _, side = await s.out(*names)
        side.sendall(first)
        while not s.ends:
            side.sendall(b"x" if first != b"HTT" else b"")
            await asyncio.sleep(0.002)
        assert s.outcomes() == [outcome] * len(names)
        assert ended(side, PATIENCE)
        s.done()

    play(scene)


def test_answers_ahead_begin_no_answer(target: Target) -> None:
    """A target may say at once that it has the request, and answer when the work is
    done.
    """

    async def scene() -> None:
        s = Scene(target)
        call, side = await s.out()
        side.sendall(b"HTTP/1.1 102 Processing\r\n\r\n")
        await until(
            lambda: (
                call.connection is not None
                and call.connection.reader.any_bytes_received
            )
        )
        assert not call.response_started
        side.sendall(b"HTTP/1.1 103 Ear")
        await until(lambda: call.response_started)
        side.sendall(b"ly\r\n\r\n")
        await until(
            lambda: (
                call.connection is not None
                and not call.connection.reader.response_started
            )
        )
        s.pool.on_incomplete_response(call)
        assert not call.response_started and call.open_items
        side.sendall(b"HTTP/1.1 2")
        await until(lambda: call.response_started)
        side.sendall(OK[10:])
        await until(lambda: s.ends)
        assert s.outcomes() == [Outcome.DELIVERED]
        s.done()
        s.pool.close()

    play(scene)


@pytest.mark.parametrize(
    "body",
    [
        b'[{"id":"a","state":"deferred"},{"id":"a","state":"accepted"},{"id":"b","state":"accepted"}]',
        b'{"id":"a","state":"accepted"}',
        b'[{"id":"a","state":"accepted"},{"id":"b"',
        b"[1]",
        b"",
        b"\xff",
        b'[{"id":"a"}]',
        b'[{"id":["a"],"state":"accepted"}]',
    ],
)
def test_shared_answer_that_cannot_be_read_may_have_run(
    body: bytes, target: Target
) -> None:
    async def scene() -> None:
        s = Scene(target)
        _, side = await s.out("a", "b")
        side.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        await until(lambda: s.ends)
        assert s.outcomes() == [Outcome.UNREADABLE] * 2
        s.done()
        s.pool.close()

    play(scene)
