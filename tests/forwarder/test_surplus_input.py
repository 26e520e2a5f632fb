"""A response brings more than belongs to it: a second copy, another response, noise.

The response counts once, the rest is never the response to another request, and the
connection is not used again.
"""

from __future__ import annotations

import fcntl
import json
import socket
import sys
import termios
from collections.abc import Iterator

import pytest

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.forwarder.http1 import REUSE_PAUSE_US
from rainfall.forwarder.outbound.connection_pool import (
    EndpointConnection,
    OutboundCall,
)
from tests.forwarder.test_call_races import (
    OK,
    PoolScenario,
    Target,
    is_closed_by_forwarder,
    play,
    read_request,
    readable,
    until,
    wait_readable,
)
from tests.support.loopback_peers import PATIENCE

# outcome of a call, by the status of its response
OUTCOMES = {
    200: Outcome.DELIVERED,
    410: Outcome.NOT_SENT,
    429: Outcome.REJECTED,
    500: Outcome.FAILED,
    503: Outcome.REJECTED,
    504: Outcome.NOT_SENT,
}
STATES = {"accepted": Outcome.DELIVERED, "fault": Outcome.FAILED}
TIMEOUT_RESPONSE = b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"
# more than the endpoint's machine takes in, so that a part stays unacknowledged
UNREAD_BODY = b"x" * 60_000
SURPLUS = {
    "response": TIMEOUT_RESPONSE,
    "noise": b"\0\1 noise\r\n\r\n",
    "byte": b"H",
    "blank line": b"\r\n",
}
# as many that the kernel delays acknowledgments
EXCHANGES = 30
MOMENTS = ["same read", "next read", "idle", "pause", "journal"]


@pytest.fixture
def target() -> Iterator[Target]:
    target = Target()
    yield target
    target.close()


def response(status: int, framing: str = "length", body: bytes = b"hello") -> bytes:
    head = b"HTTP/1.1 %d X\r\n" % status
    if framing == "chunked":
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
    if framing == "close":
        head += b"Connection: close\r\n"
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def batch_response(**states: str) -> bytes:
    items = [{"id": name, "state": state} for name, state in states.items()]
    return response(200, body=json.dumps(items).encode())


async def play_surplus(
    target: Target, names: tuple[str, ...], good: bytes, surplus: bytes, moment: str
) -> list[AttemptFinished]:
    """Answers a call with `good` and `surplus`, and the next one, "n", with OK.

    Returns:
        The finished attempts; the last one is of "n".
    """
    scenario = PoolScenario(target)
    _call, endpoint_socket = await scenario.start_call(*names)
    (connection,) = scenario.pool.connections
    if moment == "next read":
        scenario.on_attempt_finished = lambda event: endpoint_socket.sendall(surplus)
    endpoint_socket.sendall(good + surplus if moment == "same read" else good)
    await until(lambda: len(scenario.finished_attempts) == len(names))
    scenario.on_attempt_finished = lambda event: None
    if moment == "journal":
        connection.reusable_at_us = 0
        sent: list[bytes] = [surplus]

        def record_attempts(call: OutboundCall) -> bool:
            if sent:
                send_if_open(endpoint_socket, sent.pop())
                if not connection.is_closing():
                    wait_readable(connection)
            return True

        scenario.pool.record_attempts = record_attempts
    if moment == "idle":
        connection.reusable_at_us = 0
        send_if_open(endpoint_socket, surplus)
        if not connection.is_closing():
            wait_readable(connection)
    if moment == "pause":
        now = scenario.clock()
        scenario.clock = lambda: now
        connection.reusable_at_us = now + REUSE_PAUSE_US
    scenario.pool.start(scenario.call("n"))
    if moment == "pause":
        assert connection.call is None
        send_if_open(endpoint_socket, surplus)
    new_socket, head = await accept_request(target)
    assert b"X-Correlation-Id: n" in head
    assert is_closed_by_forwarder(endpoint_socket, PATIENCE)
    new_socket.sendall(OK)
    await until(lambda: len(scenario.finished_attempts) == len(names) + 1)
    scenario.assert_all_finished()
    scenario.pool.close()
    return scenario.finished_attempts


async def accept_request(target: Target) -> tuple[socket.socket, bytes]:
    """Accepts a connection and reads its first request; returns the request's head."""
    await until(target.has_waiting_connection)
    endpoint_socket = target.accept()
    await until(lambda: readable(endpoint_socket))
    return endpoint_socket, read_request(endpoint_socket)


def send_if_open(endpoint_socket: socket.socket, data: bytes) -> None:
    """Sends, unless the forwarder has closed the connection already."""
    try:
        endpoint_socket.sendall(data)
    except OSError:
        pass


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize("status", OUTCOMES)
def test_surplus_after_a_response_is_not_the_next_response(
    status: int, framing: str, moment: str, target: Target
) -> None:
    """Guards against a message whose outcome is read from another message's response."""

    async def scene() -> None:
        good = response(status, framing)
        for surplus in (*SURPLUS.values(), good):
            finished = await play_surplus(target, ("m",), good, surplus, moment)
            outcomes = [event.outcome for event in finished]
            assert outcomes == [OUTCOMES[status], Outcome.DELIVERED], surplus

    play(scene)


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_surplus_after_a_batch_response_is_not_the_next_response(
    status: int, moment: str, target: Target
) -> None:
    async def scene() -> None:
        good = (
            batch_response(a="accepted", b="fault")
            if status == 200
            else response(status)
        )
        expected = (
            list(STATES.values()) if status == 200 else [OUTCOMES[status]] * 2
        ) + [Outcome.DELIVERED]
        for surplus in (*SURPLUS.values(), good):
            finished = await play_surplus(target, ("a", "b"), good, surplus, moment)
            assert [event.outcome for event in finished] == expected, surplus

    play(scene)


@pytest.mark.parametrize("surplus", [TIMEOUT_RESPONSE, OK, b"noise\r\n", b"\r\n"])
@pytest.mark.parametrize("names", [("n",), ("n", "o")])
def test_surplus_that_crosses_the_next_call_does_not_answer_it(
    names: tuple[str, ...], surplus: bytes, target: Target
) -> None:
    """Guards against a 200 or 504 that was sent before the call arrived, but is read
    after the call was written: the message may have been executed, nobody knows.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        (endpoint_socket,) = await scenario.open_idle_connections()
        connection = scenario.only_connection()
        # The endpoint's machine cannot take in the whole request.
        scenario.pool.start(scenario.call(*names, body=UNREAD_BODY))
        assert connection.call is not None
        endpoint_socket.sendall(surplus)
        await until(lambda: len(scenario.finished_attempts) == len(names))
        may_have_run = scenario.pool.messages_written > 1
        assert set(scenario.outcomes()) == {
            Outcome.UNREADABLE if may_have_run else Outcome.NO_CONNECTION
        }
        assert not any(event.message_closed for event in scenario.finished_attempts)
        await until(lambda: not scenario.pool.connections)
        scenario.assert_all_finished()

    play(scene)


@pytest.mark.parametrize("former_is_listed", [False, True])
def test_batch_response_that_names_other_messages_is_no_answer_for_the_rest(
    former_is_listed: bool, target: Target
) -> None:
    """A second copy of a batch's response crosses the next batch: the ids tell."""

    async def scene() -> None:
        scenario = PoolScenario(target)
        _call, endpoint_socket = await scenario.start_call("a", "b")
        copy = batch_response(a="accepted", b="accepted")
        endpoint_socket.sendall(copy)
        await until(lambda: scenario.pool.idle.get(1))
        connection = scenario.only_connection()
        connection.reusable_at_us = 0
        scenario.finished_attempts.clear()
        scenario.pool.start(scenario.call("c", "d"))
        await until(lambda: readable(endpoint_socket))
        read_request(endpoint_socket)
        if former_is_listed:
            copy = batch_response(a="accepted", c="accepted")
        endpoint_socket.sendall(copy)
        await until(lambda: len(scenario.finished_attempts) == 2)
        assert {e.message_id: e.outcome for e in scenario.finished_attempts} == {
            "c": Outcome.DELIVERED if former_is_listed else Outcome.UNREADABLE,
            "d": Outcome.UNREADABLE,
        }
        await until(lambda: not scenario.pool.connections)
        scenario.assert_all_finished()

    play(scene)


def test_copy_of_a_batch_response_does_not_answer_the_next_single_call(
    target: Target,
) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        _call, endpoint_socket = await scenario.start_call("a", "b")
        copy = batch_response(a="accepted", b="accepted")
        endpoint_socket.sendall(copy)
        await until(lambda: scenario.pool.idle.get(1))
        scenario.only_connection().reusable_at_us = 0
        scenario.finished_attempts.clear()
        scenario.pool.start(scenario.call("c"))
        await until(lambda: readable(endpoint_socket))
        read_request(endpoint_socket)
        endpoint_socket.sendall(copy)
        await until(lambda: scenario.finished_attempts)
        assert scenario.outcomes() == [Outcome.UNREADABLE]
        assert not scenario.finished_attempts[0].message_closed
        await until(lambda: not scenario.pool.connections)
        scenario.assert_all_finished()

    play(scene)


def test_response_is_acknowledged_before_its_connection_is_idle(target: Target) -> None:
    """Guards against a surplus that the endpoint's machine holds back until the next call
    acknowledges the response before it: an endpoint without TCP_NODELAY.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        (endpoint_socket,) = await scenario.open_idle_connections()
        keep_idle, unacknowledged = scenario.pool.keep_idle, []

        def observed_keep_idle(connection: EndpointConnection, endpoint: int) -> None:
            unacknowledged.append(unacknowledged_bytes(endpoint_socket))
            keep_idle(connection, endpoint)

        scenario.pool.keep_idle = observed_keep_idle
        for number in range(EXCHANGES):
            scenario.only_connection().reusable_at_us = 0
            scenario.pool.start(scenario.call(f"m{number}"))
            await until(lambda: readable(endpoint_socket))
            read_request(endpoint_socket)
            endpoint_socket.sendall(OK)
            await until(lambda: scenario.pool.idle.get(1))
        assert unacknowledged == [0] * EXCHANGES
        scenario.pool.close()

    play(scene)


def unacknowledged_bytes(endpoint_socket: socket.socket) -> int:
    answer = fcntl.ioctl(endpoint_socket.fileno(), termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(answer, sys.byteorder)
