"""A loop that stands still, as other processes share its core: what it reads and what is due meanwhile."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import pytest

from lemonshunt.net.server import BEAT_S
from tests.sockets import message
from tests.test_crossing_stopping import Caller, Door, play

MS = 1_000
S = 1_000_000
BEAT_US = int(BEAT_S * S)


class HandClock:
    """Stands where a test puts it."""

    def __init__(self) -> None:
        self.now = 1_000 * S

    def __call__(self) -> int:
        return self.now


def by_hand(door: Door) -> HandClock:
    """Its clock and its beats are the test's from now on; it has just looked."""
    clock = HandClock()
    server = door.server
    assert server.beat_timer is not None
    server.beat_timer.cancel()
    server.clock, server.beat_due_us, server.late_us = clock, clock.now + BEAT_US, 0
    return clock


def look(door: Door) -> None:
    """One beat, and no other behind it."""
    assert not door.handed
    door.server.beat()
    assert door.server.late_us and door.server.beat_timer is not None
    door.server.beat_timer.cancel()


@pytest.mark.parametrize("new", [True, False])
def test_time_left_counts_from_when_the_request_came_and_not_from_when_it_was_read(new: bool) -> None:
    """Its end was due by so much later here than at its client, and the time for its notice was gone."""
    async def scene(door: Door) -> None:
        rested = await door.resting()
        clock = by_hand(door)
        sent = clock.now
        client = Caller(door.port) if new else rested
        client.say(message("m", left="0.500"))
        clock.now += 200 * MS  # in one turn of the loop
        if new:  # the look comes behind the accept in its turn, and before the turn that reads
            asyncio.get_running_loop().call_later(0, look, door)
        await door.until(lambda: bool(door.handed))
        assert 0 <= door.handed[0][0].due_us - (sent + 500 * MS) <= BEAT_US
        door.handed[0][1].answer(HTTPStatus.ACCEPTED)
    play(scene)


def test_a_loop_that_is_in_time_takes_nothing_off() -> None:
    async def scene(door: Door) -> None:
        client = await door.resting()
        clock = by_hand(door)
        clock.now += BEAT_US
        client.say(message("m", left="0.500"))
        await door.until(lambda: bool(door.handed))
        assert door.handed[0][0].due_us == clock.now + 500 * MS
        door.handed[0][1].answer(HTTPStatus.ACCEPTED)
    play(scene)


def test_a_process_that_begins_to_listen_is_not_late() -> None:
    async def scene(door: Door) -> None:
        assert door.server.late_us < BEAT_US
    play(scene)
