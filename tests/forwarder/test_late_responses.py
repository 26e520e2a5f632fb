"""What an endpoint writes in the very moment in which its call is given up, forced over
loopback.
"""

from __future__ import annotations

import asyncio

import pytest

from rainfall.dispatch import Outcome
from rainfall.forwarder.outbound import connection_pool
from tests.forwarder.test_call_races import Scene, Target, arrived, play, target, until

__all__ = ["target"]
FIRST_LINE = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("length", [*range(1, len(FIRST_LINE) + 1)])
def test_part_of_a_first_line_that_crosses_the_time_out_is_no_delivery(
    length: int, target: Target
) -> None:
    """Booked as a delivery, its message was never ended, and its endpoint had not said
    so yet.
    """

    async def scene() -> None:
        s = Scene(target)
        call, side = await s.out()
        assert call.connection is not None
        side.sendall(FIRST_LINE[:length])
        arrived(call.connection)
        s.pool.on_timeout(call)
        for _ in range(5):
            await asyncio.sleep(0)
        assert s.outcomes() == [
            Outcome.DELIVERED if length == len(FIRST_LINE) else Outcome.TIMED_OUT
        ]
        s.done()

    play(scene)


def test_first_line_without_end_is_bounded(
    target: Target, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        connection_pool, "RESPONSE_COMPLETION_S", 3600
    )  # by its size, and not by the time it takes

    async def scene() -> None:
        s = Scene(target)
        _, side = await s.out()
        side.sendall(b"HTTP/1.1 200 " + b"x" * 20_000)
        await until(lambda: s.ends)
        assert s.outcomes() == [Outcome.UNREADABLE]
        s.done()

    play(scene)


@pytest.mark.parametrize(
    "status, outcome",
    [
        (410, Outcome.FAILED),
        (504, Outcome.FAILED),
        (413, Outcome.FAILED),
        (500, Outcome.FAILED),
        (503, Outcome.REJECTED),
        (429, Outcome.REJECTED),
    ],
)
def test_shared_call_is_over_for_none_of_its_messages_by_its_status(
    status: int, outcome: Outcome, target: Target
) -> None:
    """A 410 was taken for the end of all, and nothing more was owed for any of them."""

    async def scene() -> None:
        s = Scene(target)
        _, side = await s.out("a", "b")
        side.sendall(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
        await until(lambda: s.ends)
        assert s.outcomes() == [outcome] * 2 and not any(
            e.message_closed for e in s.ends
        )
        s.done()

    play(scene)
