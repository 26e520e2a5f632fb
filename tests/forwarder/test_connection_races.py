"""Races between the next call and connections that are idle, established late, or
waiting for a send permit.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from rainfall.dispatch import NEVER_EXECUTED, AttemptFinished, Outcome
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.outbound.connection_pool import OutboundCall
from tests.forwarder.test_call_races import (
    OK,
    PoolScenario,
    Target,
    is_closed_by_forwarder,
    play,
    read_request,
    readable,
    send_reset,
    until,
    wait_readable,
)
from tests.support.loopback_peers import PATIENCE


@pytest.fixture
def target() -> Iterator[Target]:
    target = Target()
    yield target
    target.close()


@pytest.mark.parametrize("how", ["end", "reset", "partial line", "a response"])
def test_idle_connection_lost_when_picked_carries_no_call(
    how: str, target: Target
) -> None:
    """Bytes in the socket buffer count even if the event loop has not read them."""

    async def scene() -> None:
        scenario = PoolScenario(target)
        (endpoint_socket,) = await scenario.open_idle_connections()
        if how == "reset":
            send_reset(endpoint_socket)
        elif how == "end":
            endpoint_socket.shutdown(socket.SHUT_WR)
        else:
            endpoint_socket.sendall(b"HTTP/1.1 2" if how == "partial line" else OK)
        wait_readable(scenario.only_connection())
        scenario.pool.start(scenario.call("n"))
        await until(lambda: scenario.pool.calls and not scenario.pool.dial_tasks)
        new_socket = target.accept()
        assert b"X-Correlation-Id: n" in read_request(new_socket)
        if how != "reset":
            assert is_closed_by_forwarder(endpoint_socket, 5)
        new_socket.sendall(OK)
        await until(lambda: scenario.finished_attempts)
        assert scenario.outcomes() == [Outcome.DELIVERED]
        scenario.assert_all_finished()
        scenario.pool.close()

    play(scene)


@pytest.mark.parametrize("noise", [b"H", OK])
def test_idle_connection_with_unexpected_bytes_is_closed(
    noise: bytes, target: Target
) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        (endpoint_socket,) = await scenario.open_idle_connections()
        endpoint_socket.sendall(noise)
        await until(lambda: not scenario.pool.connections)
        assert not scenario.pool.idle.get(1) and is_closed_by_forwarder(
            endpoint_socket, PATIENCE
        )

    play(scene)


@pytest.mark.parametrize(
    "answer, end",
    [
        (OK, True),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", False),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", False),
        (OK + b"H", False),
        (OK + OK, False),
    ],
)
def test_next_call_does_not_reuse_connection_closed_by_response(
    answer: bytes, end: bool, target: Target
) -> None:
    """The next call starts one event loop turn after the response, before the EOF could
    be read.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        _call, endpoint_socket = await scenario.start_call("m")
        endpoint_socket.sendall(answer)
        if end:
            endpoint_socket.shutdown(socket.SHUT_WR)
        wait_readable(scenario.only_connection())

        def on_told(event: AttemptFinished) -> None:
            if event.message_id == "m":
                asyncio.get_running_loop().call_soon(
                    scenario.pool.start, scenario.call("n")
                )

        scenario.on_attempt_finished = on_told
        await until(
            lambda: (
                len(scenario.finished_attempts) == 1
                and scenario.pool.calls
                and not scenario.pool.dial_tasks
            )
        )
        new_socket = target.accept()
        assert b"X-Correlation-Id: n" in read_request(
            new_socket
        ) and is_closed_by_forwarder(endpoint_socket, 5)
        new_socket.sendall(OK)
        await until(lambda: len(scenario.finished_attempts) == 2)
        assert scenario.outcomes() == [Outcome.DELIVERED] * 2
        scenario.assert_all_finished()
        scenario.pool.close()

    play(scene)


def test_denied_send_permit_does_not_reset_idle_time(
    target: Target,
) -> None:
    """The endpoint counts its idle timeout from its last response."""

    async def scene() -> None:
        scenario = PoolScenario(target, 5_000_000)
        now = 10_000_000
        scenario.clock = lambda: now
        await scenario.open_idle_connections()
        idle_since_us = scenario.only_connection().idle_since_us
        scenario.pool.acquire_permit = lambda call: -1
        now += 4_000_000
        scenario.pool.start(scenario.call("n"))
        assert scenario.outcomes() == [Outcome.NOT_SENT]
        assert (
            scenario.pool.idle[1] == [scenario.only_connection()]
            and scenario.only_connection().idle_since_us == idle_since_us
        )
        scenario.pool.acquire_permit = None
        scenario.pool.start(scenario.call("o"))
        endpoint_socket = target.open_sockets[-1]
        read_request(endpoint_socket)
        endpoint_socket.sendall(OK)
        await until(lambda: scenario.pool.idle.get(1))
        assert (
            scenario.only_connection().idle_since_us == now
        )  # an answered call resets the idle time
        idle_since_us = now
        scenario.pool.acquire_permit = lambda call: -1
        now += 4_000_000
        scenario.pool.start(scenario.call("p"))
        assert scenario.outcomes() == [
            Outcome.NOT_SENT,
            Outcome.DELIVERED,
            Outcome.NOT_SENT,
        ]
        assert scenario.only_connection().idle_since_us == idle_since_us
        now += 400_000
        scenario.pool.sweep()
        assert not scenario.pool.idle
        await until(lambda: not scenario.pool.connections)
        scenario.assert_all_finished()

    play(scene)


@pytest.mark.parametrize("first, then", [("drained", "back"), ("moved", "back")])
def test_endpoint_removed_and_added_again_keeps_no_old_connection(
    first: str, then: str, target: Target
) -> None:
    async def scene() -> None:
        scenario, other_target = PoolScenario(target), Target()
        (endpoint_socket,) = await scenario.open_idle_connections()
        scenario.pool.set_endpoints(
            {1: other_target.address} if first == "moved" else {}
        )
        scenario.pool.set_endpoints({1: target.address})
        assert not scenario.pool.idle
        scenario.pool.start(scenario.call("n"))
        await until(lambda: scenario.pool.calls and not scenario.pool.dial_tasks)
        new_socket = target.accept()
        assert (
            read_request(new_socket)
            and is_closed_by_forwarder(endpoint_socket, 5)
            and not other_target.has_waiting_connection()
        )
        scenario.pool.cancel("n", 0)
        scenario.assert_all_finished()
        other_target.close()

    play(scene)


def test_connection_limit_evicts_idle_connection_and_none_in_use(
    target: Target,
) -> None:
    """File descriptors are limited: a new call is returned unsent rather than an open
    call being cut.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        scenario.pool.max_connections = 2
        open_call, _ = await scenario.start_call("out")
        _idle, endpoint_socket = await scenario.start_call("idle")
        endpoint_socket.sendall(OK)
        await until(lambda: scenario.pool.idle.get(1))
        other_target = Target()
        scenario.pool.set_endpoints({1: target.address, 2: other_target.address})
        scenario.pool.start(scenario.call("n", number=2))
        assert not scenario.pool.idle.get(1)
        await until(lambda: not scenario.pool.dial_tasks)
        assert read_request(other_target.accept()) and is_closed_by_forwarder(
            endpoint_socket, 5
        )
        scenario.pool.start(scenario.call("o", number=2))
        assert [
            (event.message_id, event.outcome) for event in scenario.finished_attempts
        ] == [
            ("idle", Outcome.DELIVERED),
            ("o", Outcome.NOT_SENT),
        ]
        assert open_call.open_items
        scenario.pool.cancel("out", 0)
        scenario.pool.cancel("n", 0)
        scenario.assert_all_finished()
        other_target.close()

    play(scene)


def test_reset_of_idle_connection_fails_no_call(target: Target) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        (endpoint_socket,) = await scenario.open_idle_connections()
        connection = scenario.only_connection()
        send_reset(endpoint_socket)
        wait_readable(connection)
        scenario.pool.start(
            scenario.call("n")
        )  # the event loop has not read the reset yet
        await until(lambda: scenario.pool.calls and not scenario.pool.dial_tasks)
        new_socket = target.accept()
        read_request(new_socket)
        new_socket.sendall(OK)
        await until(lambda: scenario.finished_attempts)
        assert scenario.outcomes() == [Outcome.DELIVERED]
        scenario.assert_all_finished()
        scenario.pool.close()

    play(scene)


class DialGate:
    """Holds dials until `free` is set: before the connection is requested, or, with
    `up`, after it is established but before the pool receives it.
    """

    def __init__(self, up: bool) -> None:
        loop = asyncio.get_running_loop()
        create_connection, self.held, self.free = (
            loop.create_connection,
            asyncio.Event(),
            asyncio.Event(),
        )

        async def delayed_create_connection(*args: Any, **options: Any) -> Any:
            pair = await create_connection(*args, **options) if up else None
            self.held.set()
            try:
                await self.free.wait()
            except asyncio.CancelledError:
                if pair is not None:  # as a canceled dial does
                    pair[0].close()
                raise
            return pair or await create_connection(*args, **options)

        loop.create_connection = delayed_create_connection  # type: ignore[method-assign]


# A connection that is established late


@pytest.mark.parametrize("up", [False, True])
@pytest.mark.parametrize(
    "meanwhile",
    [
        "time-out",
        "cancel",
        "cut dials",
        "drained",
        "moved",
        "wait",
        "retired",
        "closed",
        "nothing",
    ],
)
def test_late_connection_carries_only_calls_that_may_still_be_sent(
    meanwhile: str, up: bool, target: Target
) -> None:
    async def scene() -> None:
        scenario, other_target = PoolScenario(target), Target()
        gate = DialGate(up)
        call = scenario.call(left_us=60_000_000)
        scenario.pool.start(call)
        await gate.held.wait()
        match meanwhile:
            case "time-out":
                call.items[0].timeout_at_us = 0
                scenario.pool.on_timeout(call)
            case "cancel":
                scenario.pool.cancel("m", 0)
            case "cut dials":
                scenario.pool.fail_unconnected_calls()
            case "drained":
                scenario.pool.set_endpoints({})
            case "moved":
                scenario.pool.set_endpoints({1: other_target.address})
            case "wait":
                scenario.pool.set_retry_after(
                    call.throttle_scope, scenario.clock() + 60_000_000
                )
            case "retired":
                scenario.pool.fail_unconnected_calls()
                scenario.pool.retire()
            case "closed":
                scenario.pool.close()
        gate.free.set()
        await until(lambda: not scenario.pool.dial_tasks)
        await asyncio.sleep(0)
        if meanwhile == "nothing":
            endpoint_socket = target.accept()
            assert read_request(endpoint_socket)
            assert not scenario.finished_attempts
            scenario.pool.cancel("m", 0)
        else:
            assert scenario.outcomes() in ([], [Outcome.NOT_SENT])
            assert scenario.finished_attempts or meanwhile == "closed"
            connection_kept = meanwhile in ("time-out", "cancel", "cut dials", "wait")
            assert len(scenario.pool.idle.get(1, [])) == connection_kept
            assert (
                meanwhile != "closed" or up or not target.has_waiting_connection()
            )  # canceled before the connection was requested
            if connection_kept or up or target.has_waiting_connection():
                endpoint_socket = target.accept()
                assert (
                    not readable(endpoint_socket)
                    if connection_kept
                    else is_closed_by_forwarder(endpoint_socket, PATIENCE)
                )
            assert not other_target.has_waiting_connection()
        other_target.close()
        scenario.pool.close()
        await until(lambda: not scenario.pool.connections)

    play(scene)


def test_late_connection_of_finished_call_is_used_by_next_call(target: Target) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        gate = DialGate(True)
        scenario.pool.start(scenario.call("m"))
        await gate.held.wait()
        scenario.pool.cancel("m", 0)
        gate.free.set()
        await until(lambda: scenario.pool.idle.get(1))
        scenario.pool.start(scenario.call("n"))
        endpoint_socket = target.accept()
        assert (
            b"X-Correlation-Id: n" in read_request(endpoint_socket)
            and not target.has_waiting_connection()
        )
        endpoint_socket.sendall(OK)
        await until(lambda: len(scenario.finished_attempts) == 2)
        assert scenario.outcomes() == [Outcome.NOT_SENT, Outcome.DELIVERED]
        scenario.assert_all_finished()

    play(scene)


def test_dial_canceled_by_call_timeout_is_inconclusive(target: Target) -> None:
    """The configured connection timeout exceeds the time left for the call."""

    async def scene() -> None:
        scenario = PoolScenario(target)
        DialGate(False)
        scenario.pool.start(scenario.call(left_us=30_000))
        await until(lambda: scenario.finished_attempts)
        assert scenario.outcomes()[0] in NEVER_EXECUTED and (
            scenario.finished_attempts[0].inconclusive
            or scenario.outcomes() == [Outcome.NOT_SENT]
        )
        scenario.pool.configure((), 0, 30_000)
        scenario.pool.start(scenario.call("n"))
        await until(lambda: len(scenario.finished_attempts) == 2)
        assert (
            scenario.outcomes()[1] is Outcome.NO_CONNECTION
            and not scenario.finished_attempts[1].inconclusive
        )
        scenario.assert_all_finished()

    play(scene)


# A call waits for its send permit


@pytest.mark.parametrize(
    "meanwhile", ["wait", "drained", "moved", "canceled", "lost", "lost and wait"]
)
def test_call_waiting_for_permit_is_sent_only_if_still_allowed(
    meanwhile: str, target: Target
) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        endpoint_sockets = await scenario.open_idle_connections(2)
        permit_requests: list[OutboundCall] = []

        def acquire_permit(call: OutboundCall) -> int:
            permit_requests.append(call)
            return 10_000 if len(permit_requests) == 1 else 0

        scenario.pool.acquire_permit = acquire_permit
        scenario.pool.start(scenario.call("m"))
        assert len(permit_requests) == 1 and len(scenario.pool.idle[1]) == 1
        if "lost" in meanwhile:
            (held_connection,) = scenario.pool.connections - set(scenario.pool.idle[1])
            assert held_connection.transport is not None
            held_connection.transport.abort()
        if "wait" in meanwhile:
            scenario.pool.set_retry_after((7, -1), scenario.clock() + 60_000_000)
        elif meanwhile == "drained":
            scenario.pool.set_endpoints({})
        elif meanwhile == "moved":
            scenario.pool.set_endpoints({1: Address("127.0.0.1", 9)})
        elif meanwhile == "canceled":
            scenario.pool.cancel("m", 0)
        if meanwhile == "lost":
            await until(lambda: len(permit_requests) == 2)
            assert (
                sum(
                    readable(endpoint_socket)
                    and not is_closed_by_forwarder(endpoint_socket)
                    for endpoint_socket in endpoint_sockets
                )
                == 1
            )
            scenario.pool.cancel("m", 0)
        else:
            await until(lambda: scenario.finished_attempts)
            assert (
                scenario.outcomes() == [Outcome.NOT_SENT] and len(permit_requests) == 1
            )
            assert not any(
                readable(endpoint_socket)
                and not is_closed_by_forwarder(endpoint_socket)
                for endpoint_socket in endpoint_sockets
            )
        scenario.pool.close()
        scenario.assert_all_finished()

    play(scene)


def test_call_waiting_for_permit_opens_no_connection_after_close(
    target: Target,
) -> None:
    async def scene() -> None:
        scenario = PoolScenario(target)
        await scenario.open_idle_connections()
        permit_requests: list[OutboundCall] = []

        def acquire_permit(call: OutboundCall) -> int:
            permit_requests.append(call)
            return 10_000 if len(permit_requests) == 1 else 0

        scenario.pool.acquire_permit = acquire_permit
        scenario.pool.start(scenario.call("m"))
        scenario.pool.close()
        await until(lambda: scenario.finished_attempts)
        assert (
            scenario.outcomes() == [Outcome.NO_CONNECTION] and len(permit_requests) == 1
        )
        await until(lambda: not scenario.pool.connections)
        assert not target.has_waiting_connection()
        scenario.assert_all_finished()

    play(scene)


# Messages with a send limit in time


def test_message_past_send_before_time_is_not_sent(target: Target) -> None:
    """The endpoint's idempotency window may end while the connection is established."""

    async def scene() -> None:
        scenario = PoolScenario(target)
        gate = DialGate(True)
        call = scenario.call("a", "b")
        now = scenario.clock()
        call.items[0].send_before_us = now + 1_000
        call.items[1].send_before_us = now + 60_000_000
        scenario.pool.start(call)
        await gate.held.wait()
        await until(lambda: scenario.clock() > now + 1_000)
        gate.free.set()
        await until(lambda: scenario.finished_attempts)
        assert [
            (event.message_id, event.outcome) for event in scenario.finished_attempts
        ] == [("a", Outcome.NOT_SENT)]
        endpoint_socket = target.accept()
        assert b"X-Correlation-Id: b" in read_request(endpoint_socket)
        endpoint_socket.sendall(OK)
        await until(lambda: len(scenario.finished_attempts) == 2)
        expired_call = scenario.call("c")
        expired_call.items[0].send_before_us = scenario.clock() - 1
        scenario.pool.start(expired_call)
        assert scenario.outcomes()[2:] == [Outcome.NOT_SENT] and not readable(
            endpoint_socket
        )
        scenario.assert_all_finished()
        scenario.pool.close()

    play(scene)
