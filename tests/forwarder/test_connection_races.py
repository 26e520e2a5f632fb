"""Connections that are idle, come up late or wait at the last gate, and what crosses
their next call.
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
    Scene,
    Target,
    arrived,
    ended,
    play,
    readable,
    request_on,
    reset,
    until,
)
from tests.support.loopback_peers import PATIENCE


@pytest.fixture
def target() -> Iterator[Target]:
    target = Target()
    yield target
    target.close()


@pytest.mark.parametrize("how", ["end", "reset", "half a line", "an answer"])
def test_idle_connection_that_breaks_as_it_is_picked_carries_no_call(
    how: str, target: Target
) -> None:
    """What lies at the socket counts, though the loop has not read it."""

    async def scene() -> None:
        s = Scene(target)
        (side,) = await s.rested()
        if how == "reset":
            reset(side)
        elif how == "end":
            side.shutdown(socket.SHUT_WR)
        else:
            side.sendall(b"HTTP/1.1 2" if how == "half a line" else OK)
        arrived(s.only())
        s.pool.start(s.call("n"))
        await until(lambda: s.pool.calls and not s.pool.dial_tasks)
        fresh = target.accept()
        assert b"X-Correlation-Id: n" in request_on(fresh)
        if how != "reset":
            assert ended(side, 5)
        fresh.sendall(OK)
        await until(lambda: s.ends)
        assert s.outcomes() == [Outcome.DELIVERED]
        s.done()
        s.pool.close()

    play(scene)


@pytest.mark.parametrize("noise", [b"H", OK])
def test_idle_connection_on_which_something_came_unasked_is_closed(
    noise: bytes, target: Target
) -> None:
    async def scene() -> None:
        s = Scene(target)
        (side,) = await s.rested()
        side.sendall(noise)
        await until(lambda: not s.pool.connections)
        assert not s.pool.idle.get(1) and ended(side, PATIENCE)

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
def test_next_call_takes_no_connection_that_its_answer_ended(
    answer: bytes, end: bool, target: Target
) -> None:
    """The next call starts in the turn after the answer, before its end could be
    read.
    """

    async def scene() -> None:
        s = Scene(target)
        _call, side = await s.out("m")
        side.sendall(answer)
        if end:
            side.shutdown(socket.SHUT_WR)
        arrived(s.only())

        def on_told(event: AttemptFinished) -> None:
            if event.message_id == "m":
                asyncio.get_running_loop().call_soon(s.pool.start, s.call("n"))

        s.on_told = on_told
        await until(lambda: len(s.ends) == 1 and s.pool.calls and not s.pool.dial_tasks)
        fresh = target.accept()
        assert b"X-Correlation-Id: n" in request_on(fresh) and ended(side, 5)
        fresh.sendall(OK)
        await until(lambda: len(s.ends) == 2)
        assert s.outcomes() == [Outcome.DELIVERED] * 2
        s.done()
        s.pool.close()

    play(scene)


def test_turned_back_at_the_last_gate_a_connection_is_no_younger(
    target: Target,
) -> None:
    """Its target counts on from the last answer, and closes it by that."""

    async def scene() -> None:
        s = Scene(target, 5_000_000)
        now = 10_000_000
        s.clock = lambda: now
        await s.rested()
        since = s.only().idle_since_us
        s.pool.acquire_permit = lambda call: -1
        now += 4_000_000
        s.pool.start(s.call("n"))
        assert s.outcomes() == [Outcome.NOT_SENT]
        assert s.pool.idle[1] == [s.only()] and s.only().idle_since_us == since
        s.pool.acquire_permit = None
        s.pool.start(s.call("o"))
        side = target.open[-1]
        request_on(side)
        side.sendall(OK)
        await until(lambda: s.pool.idle.get(1))
        assert s.only().idle_since_us == now  # a call that was answered does renew it
        since = now
        s.pool.acquire_permit = lambda call: -1
        now += 4_000_000
        s.pool.start(s.call("p"))
        assert s.outcomes() == [Outcome.NOT_SENT, Outcome.DELIVERED, Outcome.NOT_SENT]
        assert s.only().idle_since_us == since
        now += 400_000
        s.pool.sweep()
        assert not s.pool.idle
        await until(lambda: not s.pool.connections)
        s.done()

    play(scene)


@pytest.mark.parametrize("first, then", [("drained", "back"), ("moved", "back")])
def test_target_gone_and_back_keeps_no_connection_of_before(
    first: str, then: str, target: Target
) -> None:
    async def scene() -> None:
        s, other = Scene(target), Target()
        (side,) = await s.rested()
        s.pool.set_endpoints({1: other.where} if first == "moved" else {})
        s.pool.set_endpoints({1: target.where})
        assert not s.pool.idle
        s.pool.start(s.call("n"))
        await until(lambda: s.pool.calls and not s.pool.dial_tasks)
        fresh = target.accept()
        assert request_on(fresh) and ended(side, 5) and not other.waits()
        s.pool.cancel("n", 0)
        s.done()
        other.close()

    play(scene)


def test_room_is_made_by_the_connection_idle_longest_and_by_none_in_use(
    target: Target,
) -> None:
    """Descriptors are short: a call goes back unsent rather than cut one that is
    out.
    """

    async def scene() -> None:
        s = Scene(target)
        s.pool.max_connections = 2
        out, _ = await s.out("out")
        _idle, side = await s.out("idle")
        side.sendall(OK)
        await until(lambda: s.pool.idle.get(1))
        other = Target()
        s.pool.set_endpoints({1: target.where, 2: other.where})
        s.pool.start(s.call("n", number=2))
        assert not s.pool.idle.get(1)
        await until(lambda: not s.pool.dial_tasks)
        assert request_on(other.accept()) and ended(side, 5)
        s.pool.start(s.call("o", number=2))
        assert [(e.message_id, e.outcome) for e in s.ends] == [
            ("idle", Outcome.DELIVERED),
            ("o", Outcome.NOT_SENT),
        ]
        assert out.open_items
        s.pool.cancel("out", 0)
        s.pool.cancel("n", 0)
        s.done()
        other.close()

    play(scene)


def test_reset_long_after_the_answer_costs_no_call(target: Target) -> None:
    async def scene() -> None:
        s = Scene(target)
        (side,) = await s.rested()
        connection = s.only()
        reset(side)
        arrived(connection)
        s.pool.start(s.call("n"))  # the loop has not read the reset yet
        await until(lambda: s.pool.calls and not s.pool.dial_tasks)
        fresh = target.accept()
        request_on(fresh)
        fresh.sendall(OK)
        await until(lambda: s.ends)
        assert s.outcomes() == [Outcome.DELIVERED]
        s.done()
        s.pool.close()

    play(scene)


class Gate:
    """Holds dials: before their connection is asked for, or once it is up and nobody
    was told.
    """

    def __init__(self, up: bool) -> None:
        loop = asyncio.get_running_loop()
        dial, self.held, self.free = (
            loop.create_connection,
            asyncio.Event(),
            asyncio.Event(),
        )

        async def late(*args: Any, **more: Any) -> Any:
            pair = await dial(*args, **more) if up else None
            self.held.set()
            try:
                await self.free.wait()
            except asyncio.CancelledError:
                if pair is not None:  # as a dial that is called off does
                    pair[0].close()
                raise
            return pair or await dial(*args, **more)

        loop.create_connection = late  # type: ignore[method-assign]


# A dial that comes up late


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
def test_dial_that_comes_up_late_carries_only_what_may_still_leave(
    meanwhile: str, up: bool, target: Target
) -> None:
    async def scene() -> None:
        s, other = Scene(target), Target()
        gate = Gate(up)
        call = s.call(left_us=60_000_000)
        s.pool.start(call)
        await gate.held.wait()
        match meanwhile:
            case "time-out":
                call.items[0].timeout_at_us = 0
                s.pool.on_timeout(call)
            case "cancel":
                s.pool.cancel("m", 0)
            case "cut dials":
                s.pool.fail_unconnected_calls()
            case "drained":
                s.pool.set_endpoints({})
            case "moved":
                s.pool.set_endpoints({1: other.where})
            case "wait":
                s.pool.set_retry_after(call.throttle_scope, s.clock() + 60_000_000)
            case "retired":
                s.pool.fail_unconnected_calls()
                s.pool.retire()
            case "closed":
                s.pool.close()
        gate.free.set()
        await until(lambda: not s.pool.dial_tasks)
        await asyncio.sleep(0)
        if meanwhile == "nothing":
            side = target.accept()
            assert request_on(side)
            assert not s.ends
            s.pool.cancel("m", 0)
        else:
            assert s.outcomes() in ([], [Outcome.NOT_SENT])
            assert s.ends or meanwhile == "closed"
            kept = meanwhile in ("time-out", "cancel", "cut dials", "wait")
            assert len(s.pool.idle.get(1, [])) == kept
            assert (
                meanwhile != "closed" or up or not target.waits()
            )  # called off before it asked
            if kept or up or target.waits():
                side = target.accept()
                assert not readable(side) if kept else ended(side, PATIENCE)
            assert not other.waits()
        other.close()
        s.pool.close()
        await until(lambda: not s.pool.connections)

    play(scene)


def test_late_connection_of_a_call_that_ended_carries_the_next(target: Target) -> None:
    async def scene() -> None:
        s = Scene(target)
        gate = Gate(True)
        s.pool.start(s.call("m"))
        await gate.held.wait()
        s.pool.cancel("m", 0)
        gate.free.set()
        await until(lambda: s.pool.idle.get(1))
        s.pool.start(s.call("n"))
        side = target.accept()
        assert b"X-Correlation-Id: n" in request_on(side) and not target.waits()
        side.sendall(OK)
        await until(lambda: len(s.ends) == 2)
        assert s.outcomes() == [Outcome.NOT_SENT, Outcome.DELIVERED]
        s.done()

    play(scene)


def test_dial_cut_by_its_own_call_says_little_of_its_target(target: Target) -> None:
    """The settings give a connection more time than this call had left."""

    async def scene() -> None:
        s = Scene(target)
        Gate(False)
        s.pool.start(s.call(left_us=30_000))
        await until(lambda: s.ends)
        assert s.outcomes()[0] in NEVER_EXECUTED and (
            s.ends[0].inconclusive or s.outcomes() == [Outcome.NOT_SENT]
        )
        s.pool.configure((), 0, 30_000)
        s.pool.start(s.call("n"))
        await until(lambda: len(s.ends) == 2)
        assert s.outcomes()[1] is Outcome.NO_CONNECTION and not s.ends[1].inconclusive
        s.done()

    play(scene)


# The last gate holds a call for a moment


@pytest.mark.parametrize(
    "meanwhile", ["wait", "drained", "moved", "canceled", "lost", "lost and wait"]
)
def test_call_held_at_the_last_gate_leaves_only_if_it_still_may(
    meanwhile: str, target: Target
) -> None:
    async def scene() -> None:
        s = Scene(target)
        sides = await s.rested(2)
        asked: list[OutboundCall] = []

        def leaves(call: OutboundCall) -> int:
            asked.append(call)
            return 10_000 if len(asked) == 1 else 0

        s.pool.acquire_permit = leaves
        s.pool.start(s.call("m"))
        assert len(asked) == 1 and len(s.pool.idle[1]) == 1
        if "lost" in meanwhile:
            (held,) = s.pool.connections - set(s.pool.idle[1])
            assert held.transport is not None
            held.transport.abort()
        if "wait" in meanwhile:
            s.pool.set_retry_after((7, -1), s.clock() + 60_000_000)
        elif meanwhile == "drained":
            s.pool.set_endpoints({})
        elif meanwhile == "moved":
            s.pool.set_endpoints({1: Address("127.0.0.1", 9)})
        elif meanwhile == "canceled":
            s.pool.cancel("m", 0)
        if meanwhile == "lost":
            await until(lambda: len(asked) == 2)
            assert sum(readable(side) and not ended(side) for side in sides) == 1
            s.pool.cancel("m", 0)
        else:
            await until(lambda: s.ends)
            assert s.outcomes() == [Outcome.NOT_SENT] and len(asked) == 1
            assert not any(readable(side) and not ended(side) for side in sides)
        s.pool.close()
        s.done()

    play(scene)


def test_call_held_at_the_last_gate_leaves_on_no_new_connection_after_the_close(
    target: Target,
) -> None:
    async def scene() -> None:
        s = Scene(target)
        await s.rested()
        asked: list[OutboundCall] = []

        def leaves(call: OutboundCall) -> int:
            asked.append(call)
            return 10_000 if len(asked) == 1 else 0

        s.pool.acquire_permit = leaves
        s.pool.start(s.call("m"))
        s.pool.close()
        await until(lambda: s.ends)
        assert s.outcomes() == [Outcome.NO_CONNECTION] and len(asked) == 1
        await until(lambda: not s.pool.connections)
        assert not target.waits()
        s.done()

    play(scene)


# What may leave only until a moment


def test_call_whose_key_may_be_forgotten_by_then_does_not_leave(target: Target) -> None:
    """The receiver's window for repeats may end while the connection comes up."""

    async def scene() -> None:
        s = Scene(target)
        gate = Gate(True)
        call = s.call("a", "b")
        now = s.clock()
        call.items[0].send_before_us = now + 1_000
        call.items[1].send_before_us = now + 60_000_000
        s.pool.start(call)
        await gate.held.wait()
        await until(lambda: s.clock() > now + 1_000)
        gate.free.set()
        await until(lambda: s.ends)
        assert [(e.message_id, e.outcome) for e in s.ends] == [("a", Outcome.NOT_SENT)]
        side = target.accept()
        assert b"X-Correlation-Id: b" in request_on(side)
        side.sendall(OK)
        await until(lambda: len(s.ends) == 2)
        late = s.call("c")
        late.items[0].send_before_us = s.clock() - 1
        s.pool.start(late)
        assert s.outcomes()[2:] == [Outcome.NOT_SENT] and not readable(side)
        s.done()
        s.pool.close()

    play(scene)
