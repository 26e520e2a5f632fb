"""Races between two simultaneous events of one call, over loopback sockets.

The endpoint is a plain socket in the thread of the test, so the test controls all its
actions, also while the event loop is blocked.
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
HUGE_BODY = b"x" * (24 << 20)  # exceeds all socket buffers between the two sides
BATCH_RESPONSE = json.dumps(
    [{"id": "a", "state": "accepted"}, {"id": "b", "state": "deferred"}]
).encode()


class Target:
    """A listening endpoint with blocking sockets: each operation on its connections
    blocks the test and the event loop.
    """

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
        )  # inherited by accepted connections
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.listener.settimeout(PATIENCE)
        self.address = Address("127.0.0.1", self.listener.getsockname()[1])
        self.open_sockets: list[socket.socket] = [self.listener]

    def accept(self) -> socket.socket:
        endpoint_socket, _ = self.listener.accept()
        endpoint_socket.settimeout(PATIENCE)
        self.open_sockets.append(endpoint_socket)
        return endpoint_socket

    def has_waiting_connection(self) -> bool:
        """Returns whether a connection is waiting to be accepted."""
        return readable(self.listener)

    def close(self) -> None:
        for endpoint_socket in self.open_sockets:
            endpoint_socket.close()


@pytest.fixture
def target() -> Iterator[Target]:
    target = Target()
    yield target
    target.close()


def readable(endpoint_socket: socket.socket, patience_s: float = 0) -> bool:
    return bool(select.select([endpoint_socket], [], [], patience_s)[0])


def is_closed_by_forwarder(
    endpoint_socket: socket.socket, patience_s: float = 1.0
) -> bool:
    """Returns whether the forwarder has closed its side of the connection.

    Blocks the event loop meanwhile, so a close that is only scheduled does not count.
    """
    if not readable(endpoint_socket, patience_s):
        return False
    try:
        return endpoint_socket.recv(1, socket.MSG_PEEK) == b""
    except ConnectionResetError:
        return True


def send_reset(endpoint_socket: socket.socket) -> None:
    endpoint_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    endpoint_socket.close()


def wait_readable(connection: EndpointConnection) -> None:
    """Blocks until bytes or a close of the endpoint reach the forwarder's socket."""
    assert connection.transport is not None
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    assert poll.poll(PATIENCE * 1000)


def read_request(endpoint_socket: socket.socket) -> bytes:
    """Reads one whole request and returns its head."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += (chunk := endpoint_socket.recv(1 << 16))
        assert chunk
    head, _, body = data.partition(b"\r\n\r\n")
    body_bytes = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    while len(body) < body_bytes:
        body += (chunk := endpoint_socket.recv(1 << 20))
        assert chunk
    return head


async def until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.002)


class PoolScenario:
    """A connection pool with one endpoint, and the finished attempts it reported."""

    def __init__(self, target: Target, idle_us: int = 5_000_000) -> None:
        self.target, self.finished_attempts, self.now = target, [], 0
        self.clock: Callable[[], int] = Clock()
        self.pool = ConnectionPool(
            lambda: self.clock(),
            self.record_attempt,
            ("x0", "x1"),
            idle_us,
            1_000_000,
            10,
        )
        self.pool.set_endpoints({1: target.address})
        self.on_attempt_finished: Callable[[AttemptFinished], None] = lambda event: None

    finished_attempts: list[AttemptFinished]

    def record_attempt(self, event: AttemptFinished) -> None:
        self.finished_attempts.append(event)
        self.on_attempt_finished(event)

    def outcomes(self) -> list[Outcome]:
        return [event.outcome for event in self.finished_attempts]

    def call(
        self,
        *names: str,
        left_us: int = 60_000_000,
        body: bytes = b"x",
        number: int = 1,
    ) -> OutboundCall:
        now = self.clock()
        items = [
            CallItem(name, 0, None, body, now + left_us) for name in names or ("m",)
        ]
        return OutboundCall(number, (7, -1), now, items)

    async def start_call(
        self, *names: str, body: bytes = b"x", left_us: int = 60_000_000
    ) -> tuple[OutboundCall, socket.socket]:
        """Starts a call and reads its whole request at the endpoint."""
        call = self.call(*names, body=body, left_us=left_us)
        self.pool.start(call)
        await until(lambda: call.connection is not None)
        endpoint_socket = self.target.accept()
        read_request(endpoint_socket)
        return call, endpoint_socket

    async def open_idle_connections(self, count: int = 1) -> list[socket.socket]:
        """Opens `count` idle connections, each of which has carried one call, and ends
        their pauses.
        """
        calls = [await self.start_call(f"before-{n}") for n in range(count)]
        for _, endpoint_socket in calls:
            endpoint_socket.sendall(OK)
        await until(lambda: len(self.pool.idle.get(1, [])) == count)
        for connection in self.pool.idle[1]:
            connection.reusable_at_us = 0
        assert self.outcomes() == [Outcome.DELIVERED] * count
        self.finished_attempts.clear()
        return [endpoint_socket for _, endpoint_socket in calls]

    def only_connection(self) -> EndpointConnection:
        (connection,) = self.pool.connections
        return connection

    def assert_all_finished(self) -> None:
        """Asserts that every call is finished and no attempt was reported twice."""
        assert self.pool.in_flight == 0 and not self.pool.calls
        assert len(
            {(event.message_id, event.attempt) for event in self.finished_attempts}
        ) == len(self.finished_attempts)


def play(scene: Callable[[], Any]) -> None:
    async def run() -> None:
        async with asyncio.timeout(PATIENCE):
            await scene()
        await asyncio.sleep(0)

    asyncio.run(run())


# A canceled call and its retry


@pytest.mark.parametrize(
    "how", ["time-out", "cancel", "noise", "incomplete response", "batch canceled"]
)
def test_connection_is_closed_before_canceled_call_is_reported(
    how: str, target: Target, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The round that handles the finished attempt may send a retry in the next turn of
    the event loop. A close that is only scheduled for that turn would come later, so
    two copies of the message would be open at once.
    """
    monkeypatch.setattr(connection_pool, "RESPONSE_COMPLETION_S", 0.01)

    async def scene() -> None:
        scenario = PoolScenario(target)
        names = ("a", "b") if how == "batch canceled" else ("m",)
        _call, endpoint_socket = await scenario.start_call(
            *names, left_us=20_000 if how == "time-out" else 60_000_000
        )
        closed_when_reported: list[bool] = []
        scenario.on_attempt_finished = lambda event: closed_when_reported.append(
            is_closed_by_forwarder(endpoint_socket)
        )
        if how in ("cancel", "batch canceled"):
            scenario.pool.cancel(names[0], 0)
        elif how == "noise":
            endpoint_socket.sendall(b"\0\1 what nobody speaks\r\n\r\n")
        elif how == "incomplete response":
            endpoint_socket.sendall(b"HTTP/1.1 500 No\r\nContent-Le")
        await until(lambda: scenario.finished_attempts)
        assert closed_when_reported == [True] * len(names)
        assert set(scenario.outcomes()) <= {
            Outcome.TIMED_OUT,
            Outcome.CANCELED,
            Outcome.UNREADABLE,
        }
        scenario.assert_all_finished()

    play(scene)


# A connection is lost before the last byte of the request is written


@pytest.mark.parametrize("rested", [False, True])
def test_reset_just_before_write_counts_as_not_executed(
    rested: bool, target: Target
) -> None:
    """The write fails and the socket accepts no byte."""

    async def scene() -> None:
        scenario = PoolScenario(target)
        endpoint_sockets = await scenario.open_idle_connections() if rested else []

        def acquire_permit(call: OutboundCall) -> int:
            send_reset(endpoint_sockets[0] if endpoint_sockets else target.accept())
            wait_readable(scenario.only_connection())
            return 0

        scenario.pool.acquire_permit = acquire_permit
        scenario.pool.start(scenario.call())
        await until(lambda: scenario.finished_attempts)
        assert (
            scenario.outcomes() == [Outcome.NO_CONNECTION]
            and scenario.finished_attempts[0].inconclusive
            and scenario.pool.messages_written == len(endpoint_sockets)
        )
        await until(lambda: not scenario.pool.connections)
        scenario.assert_all_finished()

    play(scene)


@pytest.mark.parametrize("rested", [False, True])
def test_half_close_just_before_write_may_have_executed(
    rested: bool, target: Target
) -> None:
    """After a half-close the socket still accepts writes; the forwarder cannot detect
    whether the endpoint reads them.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        endpoint_sockets = await scenario.open_idle_connections() if rested else []

        def acquire_permit(call: OutboundCall) -> int:
            endpoint_socket = (
                endpoint_sockets[0] if endpoint_sockets else target.accept()
            )
            endpoint_socket.shutdown(socket.SHUT_WR)
            wait_readable(scenario.only_connection())
            return 0

        scenario.pool.acquire_permit = acquire_permit
        scenario.pool.start(scenario.call())
        await until(lambda: scenario.finished_attempts)
        assert scenario.outcomes() == [Outcome.RESET]
        scenario.assert_all_finished()

    play(scene)


@pytest.mark.parametrize("how", ["end", "reset", "partial line"])
def test_connection_lost_during_connect_carries_no_call(
    how: str, target: Target, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An endpoint at its connection limit accepts and closes at once. A close that is
    detected before the write means that the call was not executed.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        received: list[bytes] = []
        original_connection_made = EndpointConnection.connection_made

        def connection_made(
            self: EndpointConnection, transport: asyncio.BaseTransport
        ) -> None:
            original_connection_made(self, transport)
            endpoint_socket = target.accept()
            if how == "end":
                endpoint_socket.shutdown(socket.SHUT_WR)
            elif how == "partial line":
                endpoint_socket.sendall(b"HTTP/1.1 5")
            else:
                send_reset(endpoint_socket)
            wait_readable(self)

        monkeypatch.setattr(EndpointConnection, "connection_made", connection_made)
        scenario.pool.start(scenario.call())
        await until(lambda: scenario.finished_attempts)
        assert (
            scenario.outcomes() == [Outcome.NO_CONNECTION]
            and scenario.finished_attempts[0].inconclusive
        )
        await until(lambda: not scenario.pool.connections)
        if how != "reset":
            try:
                received.append(target.open_sockets[-1].recv(100))
            except ConnectionResetError:
                received.append(b"")
            assert received == [b""]
        scenario.assert_all_finished()

    play(scene)


@pytest.mark.parametrize("how", ["reset", "end", "noise"])
def test_connection_lost_during_write_counts_as_not_executed(
    how: str, target: Target
) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        call = scenario.call(body=HUGE_BODY)
        scenario.pool.start(call)
        await until(lambda: call.connection is not None)
        endpoint_socket = target.accept()
        assert endpoint_socket.recv(1) and not call.written
        if how == "reset":
            send_reset(endpoint_socket)
        elif (
            how == "end"
        ):  # the endpoint reads no more, so the rest must not be waited for
            endpoint_socket.shutdown(socket.SHUT_WR)
        else:
            endpoint_socket.sendall(b"\0\1 what nobody speaks\r\n\r\n")
        async with asyncio.timeout(5):
            await until(lambda: scenario.finished_attempts)
        assert (
            scenario.outcomes() == [Outcome.NO_CONNECTION]
            and scenario.finished_attempts[0].inconclusive
            and scenario.pool.messages_written == 0
        )
        scenario.assert_all_finished()

    play(scene)


@pytest.mark.parametrize(
    "answer, outcome",
    [
        (FULL, Outcome.REJECTED),
        (OK, Outcome.DELIVERED),
        (b"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED),
    ],
)
def test_response_before_request_is_written_closes_connection(
    answer: bytes, outcome: Outcome, target: Target
) -> None:
    """The rest of the request must not be sent: a rejected call would be executed after
    all, and the bytes of the next call would follow it.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        call = scenario.call(body=HUGE_BODY)
        scenario.pool.start(call)
        await until(lambda: call.connection is not None)
        endpoint_socket = target.accept()
        endpoint_socket.sendall(answer)
        await until(lambda: scenario.finished_attempts)
        assert scenario.outcomes() == [outcome] and not call.written
        assert not scenario.pool.idle.get(1)
        await until(lambda: not scenario.pool.connections)
        received_bytes = 0
        try:
            while chunk := endpoint_socket.recv(1 << 20):
                received_bytes += len(chunk)
        except ConnectionResetError:
            pass
        assert received_bytes < len(HUGE_BODY)
        scenario.assert_all_finished()

    play(scene)


def test_status_line_200_before_request_is_written_is_a_delivery(
    target: Target,
) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        call = scenario.call(body=HUGE_BODY)
        scenario.pool.start(call)
        await until(lambda: call.connection is not None)
        target.accept().sendall(b"HTTP/1.1 200 OK\r\n")
        await until(lambda: call.response_started)
        scenario.pool.cancel("m", 0)
        assert scenario.outcomes() == [Outcome.DELIVERED]
        scenario.assert_all_finished()

    play(scene)


# The response is unread in the socket buffer when its call is canceled


UNREAD_RESPONSES = [
    (OK, Outcome.DELIVERED),
    (FULL, Outcome.REJECTED),
    (b"HTTP/1.1 200 OK\r\nContent-Le", Outcome.DELIVERED),
    (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED),
    (b"HTTP/1.1 2", None),
    (b"", None),
    (b"end", Outcome.RESET),
]


@pytest.mark.parametrize("how", ["time-out", "cancel"])
@pytest.mark.parametrize("answer, outcome", UNREAD_RESPONSES)
def test_unread_response_takes_precedence_over_cancellation(
    answer: bytes, outcome: Outcome | None, how: str, target: Target
) -> None:
    """A message is delivered once a status line with 200 was written to the forwarder,
    even if the event loop was busy and has not read it.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        call, endpoint_socket = await scenario.start_call()
        connection = scenario.only_connection()
        if answer == b"end":
            endpoint_socket.shutdown(socket.SHUT_WR)
        elif answer:
            endpoint_socket.sendall(answer)
        if answer:
            wait_readable(connection)
        if how == "cancel":
            scenario.pool.cancel("m", 0)
        else:
            call.items[0].timeout_at_us = 0
            scenario.pool.on_timeout(call)
        await until(lambda: scenario.finished_attempts)
        expected_without_response = (
            Outcome.CANCELED if how == "cancel" else Outcome.TIMED_OUT
        )
        assert scenario.outcomes() == [outcome or expected_without_response]
        await asyncio.sleep(0)
        scenario.assert_all_finished()

    play(scene)


@pytest.mark.parametrize("how", ["time-out", "cancel", "cut short"])
def test_unread_batch_response_takes_precedence_over_cancellation(
    how: str, target: Target
) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        call, endpoint_socket = await scenario.start_call("a", "b")
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BATCH_RESPONSE)
            + BATCH_RESPONSE
        )
        if how == "cut short":
            endpoint_socket.sendall(answer[:20])
            await until(lambda: call.response_started)
            answer = answer[20:]
        endpoint_socket.sendall(answer)
        wait_readable(scenario.only_connection())
        if how == "cancel":
            scenario.pool.cancel("a", 0)
        elif how == "cut short":
            scenario.pool.on_incomplete_response(call)
        else:
            call.items[0].timeout_at_us = 0
            scenario.pool.on_timeout(call)
        await until(lambda: len(scenario.finished_attempts) == 2)
        assert {
            event.message_id: event.outcome for event in scenario.finished_attempts
        } == {
            "a": Outcome.DELIVERED,
            "b": Outcome.REJECTED,
        }
        scenario.assert_all_finished()

    play(scene)


@pytest.mark.parametrize("how", ["time-out", "cancel"])
def test_eof_already_read_takes_precedence_over_cancellation(
    how: str, target: Target
) -> None:
    """EOF completes a response without a length; the transport reports it in the next
    turn of the event loop.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        call, endpoint_socket = await scenario.start_call("a", "b")
        connection = scenario.only_connection()
        assert connection.transport is not None
        endpoint_socket.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + BATCH_RESPONSE)
        await until(lambda: connection.reader.body == BATCH_RESPONSE)
        connection.transport.close()  # as the transport does itself when it reads EOF
        if how == "cancel":
            scenario.pool.cancel("a", 0)
        else:
            call.items[0].timeout_at_us = call.items[1].timeout_at_us = 0
            scenario.pool.on_timeout(call)
        await until(lambda: len(scenario.finished_attempts) == 2)
        assert scenario.outcomes() == [Outcome.DELIVERED, Outcome.REJECTED]
        scenario.assert_all_finished()

    play(scene)


# Two events in one turn of the event loop


def event_actions(
    scenario: PoolScenario, call: OutboundCall, connection: EndpointConnection
) -> dict[str, Callable[[], None]]:
    def timed_out() -> None:
        for item in call.items:
            item.timeout_at_us = 0
        scenario.pool.on_timeout(call)

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
        "cancel": lambda: scenario.pool.cancel("m", 0),
        "lost": lambda: (
            connection.transport.abort() if connection.transport is not None else None
        ),
        "drained": lambda: scenario.pool.set_endpoints({}),
        "moved": lambda: scenario.pool.set_endpoints({1: Address("127.0.0.1", 9)}),
        "wait": lambda: scenario.pool.set_retry_after(
            (7, -1), scenario.clock() + 1_000_000
        ),
        "cut": lambda: scenario.pool.on_incomplete_response(call),
        "dials cut": scenario.pool.fail_unconnected_calls,
        "retired": scenario.pool.retire,
    }


EVENT_NAMES = (
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


@pytest.mark.parametrize("first", EVENT_NAMES)
def test_each_pair_of_events_finishes_call_once(first: str, target: Target) -> None:
    async def scene() -> None:
        for second in EVENT_NAMES:
            scenario = PoolScenario(target)
            call, endpoint_socket = await scenario.start_call()
            connection = scenario.only_connection()
            actions = event_actions(scenario, call, connection)
            actions[first]()
            actions[second]()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            if (
                not scenario.finished_attempts
            ):  # neither event ends the call: it is open, and its response counts
                assert call.open_items and not {first, second} & {
                    "answer",
                    "time-out",
                    "cancel",
                    "lost",
                }
                assert (first, second) != (
                    "half",
                    "cut",
                )  # only a partial response can be cut
                connection.data_received(
                    b"\r\nContent-Length: 0\r\n\r\n" if call.response_started else OK
                )
            assert len(scenario.finished_attempts) == 1, (first, second)
            if first == "answer":
                assert scenario.outcomes() == [Outcome.DELIVERED]
            endpoint_gone = {first, second} & {"drained", "moved", "retired"}
            assert not (endpoint_gone and scenario.pool.idle.get(1)), (first, second)
            scenario.assert_all_finished()
            scenario.pool.close()
            await until(lambda scenario=scenario: not scenario.pool.connections)
            endpoint_socket.close()

    play(scene)


# Incomplete responses


INCOMPLETE_RESPONSES = [  # bytes before EOF; outcome for one message; for two
    (b"", Outcome.RESET, Outcome.RESET),
    (b"H", Outcome.UNREADABLE, Outcome.UNREADABLE),
    (
        b"HTTP/1.1 200",
        Outcome.UNREADABLE,
        Outcome.UNREADABLE,
    ),  # could have continued as 2001
    (b"HTTP/1.1 2001 O\r\n", Outcome.UNREADABLE, Outcome.UNREADABLE),
    (
        b"HTTP/1.1 200 ",
        Outcome.UNREADABLE,
        Outcome.UNREADABLE,
    ),  # the status line is incomplete
    (b"HTTP/1.1 200 OK", Outcome.UNREADABLE, Outcome.UNREADABLE),
    (b"HTTP/1.1 200 OK\r", Outcome.UNREADABLE, Outcome.UNREADABLE),
    (b"HTTP/1.1 200 OK\r\n", Outcome.DELIVERED, Outcome.UNREADABLE),
    (b"HTTP/1.1 200 OK\r\nContent-Le", Outcome.DELIVERED, Outcome.UNREADABLE),
    (
        b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + BATCH_RESPONSE[:30],
        Outcome.DELIVERED,
        Outcome.UNREADABLE,
    ),
    (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"%x\r\n%b\r\n" % (len(BATCH_RESPONSE), BATCH_RESPONSE),
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
@pytest.mark.parametrize(
    "response_start, single_outcome, batch_outcome", INCOMPLETE_RESPONSES
)
def test_incomplete_response_is_delivery_only_after_whole_200_status_line(
    response_start: bytes,
    single_outcome: Outcome,
    batch_outcome: Outcome,
    how: str,
    target: Target,
) -> None:
    async def scene() -> None:
        for names, outcome in ((("m",), single_outcome), (("a", "b"), batch_outcome)):
            scenario = PoolScenario(target)
            call, endpoint_socket = await scenario.start_call(*names)
            if response_start:
                endpoint_socket.sendall(response_start)
                await until(
                    lambda scenario=scenario, call=call: (
                        scenario.finished_attempts
                        or (
                            call.connection is not None
                            and call.connection.reader.any_bytes_received
                        )
                    )
                )
            if how == "end":
                endpoint_socket.shutdown(socket.SHUT_WR)
            else:
                send_reset(endpoint_socket)
            await until(lambda scenario=scenario: scenario.finished_attempts)
            assert scenario.outcomes() == [outcome] * len(names)
            assert all(
                event.retry_after_us == 0 and event.load_report is None
                for event in scenario.finished_attempts
            )
            await until(lambda scenario=scenario: not scenario.pool.connections)
            scenario.assert_all_finished()

    play(scene)


@pytest.mark.parametrize("how", ["end", "reset"])
def test_response_without_length_is_completed_by_eof_not_by_reset(
    how: str, target: Target
) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        call, endpoint_socket = await scenario.start_call("a", "b")
        endpoint_socket.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + BATCH_RESPONSE)
        await until(
            lambda: (
                call.connection is not None
                and call.connection.reader.body == BATCH_RESPONSE
            )
        )
        if how == "end":
            endpoint_socket.shutdown(socket.SHUT_WR)
        else:
            send_reset(endpoint_socket)
        await until(lambda: len(scenario.finished_attempts) == 2)
        expected = (
            [Outcome.DELIVERED, Outcome.REJECTED]
            if how == "end"
            else [Outcome.UNREADABLE] * 2
        )
        assert scenario.outcomes() == expected
        scenario.assert_all_finished()

    play(scene)


@pytest.mark.parametrize(
    "names, response_start, outcome",
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
def test_endless_response_is_cut_at_completion_timeout(
    names: tuple[str, ...],
    response_start: bytes,
    outcome: Outcome,
    target: Target,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "RESPONSE_COMPLETION_S", 0.05)

    async def scene() -> None:
        scenario = PoolScenario(target)
        _, endpoint_socket = await scenario.start_call(*names)
        endpoint_socket.sendall(response_start)
        while not scenario.finished_attempts:
            endpoint_socket.sendall(b"x" if response_start != b"HTT" else b"")
            await asyncio.sleep(0.002)
        assert scenario.outcomes() == [outcome] * len(names)
        assert is_closed_by_forwarder(endpoint_socket, PATIENCE)
        scenario.assert_all_finished()

    play(scene)


def test_interim_responses_do_not_start_the_response(target: Target) -> None:
    """An endpoint may acknowledge a request at once with an interim response, and send
    the final response when it has finished.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        call, endpoint_socket = await scenario.start_call()
        endpoint_socket.sendall(b"HTTP/1.1 102 Processing\r\n\r\n")
        await until(
            lambda: (
                call.connection is not None
                and call.connection.reader.any_bytes_received
            )
        )
        assert not call.response_started
        endpoint_socket.sendall(b"HTTP/1.1 103 Ear")
        await until(lambda: call.response_started)
        endpoint_socket.sendall(b"ly\r\n\r\n")
        await until(
            lambda: (
                call.connection is not None
                and not call.connection.reader.response_started
            )
        )
        scenario.pool.on_incomplete_response(call)
        assert not call.response_started and call.open_items
        endpoint_socket.sendall(b"HTTP/1.1 2")
        await until(lambda: call.response_started)
        endpoint_socket.sendall(OK[10:])
        await until(lambda: scenario.finished_attempts)
        assert scenario.outcomes() == [Outcome.DELIVERED]
        scenario.assert_all_finished()
        scenario.pool.close()

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
def test_malformed_batch_response_may_have_executed(
    body: bytes, target: Target
) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        _, endpoint_socket = await scenario.start_call("a", "b")
        endpoint_socket.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        await until(lambda: scenario.finished_attempts)
        assert scenario.outcomes() == [Outcome.UNREADABLE] * 2
        scenario.assert_all_finished()
        scenario.pool.close()

    play(scene)
