"""The process is held up between a reading of its clock and the write that follows it."""

from __future__ import annotations

import asyncio

import pytest

from rainfall.dispatch import (
    AttemptFinished,
    Idempotency,
    IdempotencyScope,
    MessageClass,
    Outcome,
)
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.engine.call_dispatch import send_before_us
from rainfall.forwarder.message_store import AcceptedMessage
from rainfall.forwarder.outbound.connection_pool import (
    CallItem,
    ConnectionPool,
    OutboundCall,
)
from tests.forwarder.test_call_races import (
    FULL,
    PoolScenario,
    Target,
    readable,
    until,
    wait_readable,
)
from tests.support.loopback_peers import OK, PATIENCE, Peer, answer_in_turn

MS = 1_000
S = 1_000_000
# FLEET: a forwarder may be held up for so long between reading its clock and writing
HOLD_UP_US = 150 * MS
WINDOW_US = S
KEYED = MessageClass(
    "keyed", S, 10 * S, Idempotency.WITH_KEY, IdempotencyScope.ALL, WINDOW_US
)
# A retry reads the clock fewer times than this on every way to its write.
MAX_READINGS = 24


class InterruptedClock:
    """A clock that jumps ahead by HOLD_UP_US right after one of its readings."""

    def __init__(self, now: int) -> None:
        self.now = now
        self.readings = 0
        self.interrupted_reading = -1

    def __call__(self) -> int:
        reading, self.readings = self.readings, self.readings + 1
        now = self.now
        if reading == self.interrupted_reading:
            self.now += HOLD_UP_US
        return now


def retry(message_id: str, clock: InterruptedClock) -> CallItem:
    """Returns the retry of a message whose first call was sent at the time 0."""
    message = AcceptedMessage(message_id, "keyed", 7, 10 * S, "key", None, b"x")
    message.executed_at_us = 0
    return CallItem(
        message_id, 1, "key", b"x", clock.now + 5 * S, send_before_us(message, KEYED)
    )


async def written_at(way: str, interrupted_reading: int, before_end_us: int) -> int:
    """Plays one retry; returns when it was written, by the clock, or -1 if it was not."""
    clock = InterruptedClock(10)
    finished: list[AttemptFinished] = []
    peer = await Peer(answer_in_turn(OK)).start()
    pool = ConnectionPool(clock, finished.append, (), 60 * S, S, 10)
    pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
    if way in ("kept connection", "journal"):
        item = CallItem("before", 0, None, b"x", 5 * S)
        pool.start(OutboundCall(1, (7, -1), clock.now, [item]))
        await peer.until(lambda: len(peer.requests) == 1)
        while not pool.idle.get(1):
            await asyncio.sleep(0.001)
        finished.clear()
    clock.now = WINDOW_US - before_end_us
    clock.readings, clock.interrupted_reading = 0, interrupted_reading
    written: list[int] = []
    pool.on_call_sent = lambda call: written.append(clock.now)
    if way == "journal":

        def record_attempts(call: OutboundCall) -> bool:
            clock.now += HOLD_UP_US  # the disk is slow, beside the hold-up
            return True

        pool.record_attempts = record_attempts
    names = ("m", "n") if way == "batch" else ("m",)
    items = [retry(name, clock) for name in names]
    pool.start(OutboundCall(1, (7, -1), clock.now, items))
    while not written and len(finished) < len(names):
        await asyncio.sleep(0)
    if not written:
        assert {event.outcome for event in finished} == {Outcome.NOT_SENT}
    pool.close()
    peer.server.close()
    return written[0] if written else -1


@pytest.mark.parametrize(
    "way", ["new connection", "kept connection", "batch", "journal"]
)
@pytest.mark.parametrize(
    "before_end_us", [HOLD_UP_US + 10, HOLD_UP_US, HOLD_UP_US - 10, 60 * MS, 10]
)
def test_retry_held_up_before_its_write_still_arrives_in_the_window(
    way: str, before_end_us: int
) -> None:
    """Guards against a retry that is executed a second time: its limit was checked in
    time, but the process was stopped before the write.
    """

    async def run() -> None:
        async with asyncio.timeout(PATIENCE):
            times = [
                await written_at(way, reading, before_end_us)
                for reading in range(-1, MAX_READINGS)
            ]
        assert max(times) <= WINDOW_US
        if before_end_us > HOLD_UP_US and way != "journal":
            assert times[0] > 0, "a retry in time, and not held up, is sent"

    asyncio.run(run())


def test_wait_that_lies_unread_after_a_hold_up_binds_the_next_call() -> None:
    """Guards against a call that leaves after a hold-up although the answer with the wait
    has been at the forwarder's socket since.
    """

    async def run() -> None:
        target = Target()
        scenario = PoolScenario(target)
        (rested_socket,) = await scenario.open_idle_connections()
        (rested_connection,) = scenario.pool.idle.pop(1)
        _call, endpoint_socket = await scenario.start_call("a")
        scenario.pool.idle[1] = [rested_connection]
        connections = scenario.pool.connections - {rested_connection}
        endpoint_socket.sendall(FULL)
        for connection in connections:
            wait_readable(connection)  # the loop is held up meanwhile
        scenario.pool.start(scenario.call("b"))
        await until(lambda: scenario.finished_attempts)
        was_written = readable(rested_socket)
        scenario.pool.close()
        target.close()
        assert not was_written

    asyncio.run(run())
