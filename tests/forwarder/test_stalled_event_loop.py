"""A loop that stands still, as other processes share its core: what it reads and what
is due meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from pathlib import Path

import pytest

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.dispatch.expiry import MIN_WAKEUP_INTERVAL_US
from rainfall.forwarder.engine.call_dispatch import MAX_EARLY_TIMEOUT_US
from rainfall.forwarder.engine.engine_state import (
    MIN_ROUND_INTERVAL_US,
    TICK_INTERVAL_S,
)
from rainfall.forwarder.engine.periodic_tasks import OVERDUE_GRACE_US
from rainfall.forwarder.inbound.server import LOOP_CHECK_INTERVAL_S
from tests.forwarder.test_shutdown_end import rounds_by_hand
from tests.forwarder.test_shutdown_races import (
    Caller,
    Door,
    Running,
    engine_play,
    play,
    target,
)
from tests.support.loopback_peers import Platform, hang, message

MS = 1_000
S = 1_000_000
BEAT_US = int(LOOP_CHECK_INTERVAL_S * S)
OWED_US = (
    300 * MS
)  # after its time a message must have been delivered or ended (PROTOCOL)


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
    assert server.loop_check_timer is not None
    server.loop_check_timer.cancel()
    server.clock, server.loop_check_due_us, server.loop_delay_us = (
        clock,
        clock.now + BEAT_US,
        0,
    )
    return clock


def look(door: Door) -> None:
    """One beat, and no other behind it."""
    assert not door.handed
    door.server.check_loop_delay()
    assert door.server.loop_delay_us and door.server.loop_check_timer is not None
    door.server.loop_check_timer.cancel()


@pytest.mark.parametrize("new", [True, False])
def test_time_left_counts_from_when_the_request_came_and_not_from_when_it_was_read(
    new: bool,
) -> None:
    """Its end was due by so much later here than at its client, and the time for its
    notice was gone.
    """

    async def scene(door: Door) -> None:
        rested = await door.resting()
        clock = by_hand(door)
        sent = clock.now
        client = Caller(door.port) if new else rested
        client.say(message("m", left="0.500"))
        clock.now += 200 * MS  # in one turn of the loop
        # the look comes behind the accept in its turn, and before the turn that reads
        if new:
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
    """Its start took 10 s, and that is no lateness of the loop."""

    async def scene() -> None:
        door = Door()
        door.server.clock = clock = HandClock()
        door.server.loop_check_due_us = clock.now - 10 * S
        await door.open()
        assert door.server.loop_delay_us == door.server.expected_loop_delay_us == 0
        await door.server.close()

    asyncio.run(scene())


@pytest.mark.parametrize("outcome", [Outcome.DELIVERED, Outcome.TIMED_OUT])
def test_end_that_waits_for_its_round_goes_before_the_watch_for_overdue_messages(
    tmp_path: Path, outcome: Outcome, caplog: pytest.LogCaptureFixture
) -> None:
    """The loop stood still past the message's time; its call's end is read, and its
    round comes next.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        run = await Running(folder, platform).ready()
        engine = run.engine
        client = Caller(run.port)
        client.say(message("m", "status"))
        assert (await client.answer())[0] == 202
        await peer.got(1)
        await rounds_by_hand(run)
        m = engine.store.messages["m"]
        past = engine.dispatcher.state.messages["m"].deadline = (
            engine.clock() - OVERDUE_GRACE_US - S
        )
        engine.store.move_deadline(m, past)
        engine.post(
            AttemptFinished(
                "m",
                0,
                engine.endpoint_ids["s1"],
                outcome,
                5,
                message_closed=outcome is Outcome.DELIVERED,
            )
        )
        engine.periodic_tasks.fail_overdue_messages()
        assert "m" not in engine.store.messages
        owed = engine.store.pending_notifications.get("m")
        assert (owed and owed.state) == (
            None if outcome is Outcome.DELIVERED else "returned"
        )
        client.socket.close()
        await run.end()

    with caplog.at_level(logging.ERROR, "rainfall"):
        engine_play(scene, tmp_path)
    assert not [
        r for r in caplog.records if "still open past its deadline" in r.message
    ]


def test_each_end_leaves_room_for_a_loop_that_is_late() -> None:
    """300 ms after its time a message must have its end. From the constants alone: a
    held one is given up LOOK_US before its time at the latest, one whose call is out at
    its time, and one that both have left by the watch; then its notice goes out in one
    round. So late may the loop be in all before that is missed.
    """
    rounds = (
        MIN_ROUND_INTERVAL_US + 2 * MS
    )  # the call's timer and a turn to read what lies there
    assert OWED_US - (rounds - MIN_WAKEUP_INTERVAL_US) >= 330 * MS
    assert OWED_US - rounds >= 290 * MS
    assert OWED_US - (OVERDUE_GRACE_US + int(TICK_INTERVAL_S * S) + rounds) >= 70 * MS


@pytest.mark.parametrize(
    "late_us, left_s, sooner_us",
    [
        (0, 50, 0),
        (30 * MS, 50, 30 * MS),
        (900 * MS, 50, MAX_EARLY_TIMEOUT_US),
        (900 * MS, 0.4, 100 * MS),
    ],
)
def test_a_call_ends_sooner_by_as_much_as_the_loop_is_late(
    tmp_path: Path, late_us: int, left_s: float, sooner_us: int
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        run = await Running(folder, platform).ready()
        engine = run.engine
        assert engine.server.loop_check_timer is not None
        engine.server.loop_check_timer.cancel()
        client = Caller(run.port)
        await rounds_by_hand(run)
        client.say(message("m", "pay", left=str(left_s), Idempotency_Key=None))
        await run.until(lambda: "m" in engine.intake.pending_submissions)
        engine.server.expected_loop_delay_us = late_us
        due_us, clock = engine.intake.pending_submissions["m"][0].due_us, engine.clock
        engine.events.clock = lambda: due_us - int(left_s * S)  # type: ignore[assignment]
        engine.run_round()
        engine.events.clock = clock
        assert engine.pool.calls[("m", 0)].timeout_at_us == due_us - sooner_us
        client.socket.close()
        await run.end()
        assert len(peer.requests) <= 1

    engine_play(scene, tmp_path)
