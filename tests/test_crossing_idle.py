"""Idle connections to targets, and what crosses their next call."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from lemonshunt.interface import Outcome
from tests.test_crossing_calls import Scene, Target, play, until


@pytest.fixture
def target() -> Iterator[Target]:
    target = Target()
    yield target
    target.close()


def test_turned_back_at_the_last_gate_a_connection_is_no_younger(target: Target) -> None:
    """Its target counts on from the last answer, and closes it by that."""
    async def scene() -> None:
        s = Scene(target, 5_000_000)
        now = 10_000_000
        s.clock = lambda: now
        await s.rested()
        since = s.only().idle_us
        s.pool.leaves = lambda call: -1
        now += 4_000_000
        s.pool.start(s.call("n"))
        assert s.outcomes() == [Outcome.NOT_SENT]
        assert s.pool.idle[1] == [s.only()] and s.only().idle_us == since
        now += 400_000
        s.pool.sweep()
        assert not s.pool.idle
        await until(lambda: not s.pool.all)
        s.done()
    play(scene)



