"""Responses that an endpoint writes at the moment its call is canceled, forced over
loopback sockets.
"""

from __future__ import annotations

import asyncio

import pytest

from rainfall.dispatch import Outcome
from rainfall.forwarder.outbound import connection_pool
from tests.forwarder.test_call_races import (
    PoolScenario,
    Target,
    play,
    target,
    until,
    wait_readable,
)

__all__ = ["target"]
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("length", [*range(1, len(STATUS_LINE) + 1)])
def test_partial_status_line_at_timeout_is_no_delivery(
    length: int, target: Target
) -> None:
    """Guards against counting a partial status line as a delivery: the message got no
    final answer although the endpoint had not confirmed it.
    """

    async def scene() -> None:
        scenario = PoolScenario(target)
        call, endpoint_socket = await scenario.start_call()
        assert call.connection is not None
        endpoint_socket.sendall(STATUS_LINE[:length])
        wait_readable(call.connection)
        scenario.pool.on_timeout(call)
        for _ in range(5):
            await asyncio.sleep(0)
        assert scenario.outcomes() == [
            Outcome.DELIVERED if length == len(STATUS_LINE) else Outcome.TIMED_OUT
        ]
        scenario.assert_all_finished()

    play(scene)


def test_status_line_length_is_bounded(
    target: Target, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        connection_pool, "RESPONSE_COMPLETION_S", 3600
    )  # only the size limit applies, not the timeout

    async def scene() -> None:
        scenario = PoolScenario(target)
        _, endpoint_socket = await scenario.start_call()
        endpoint_socket.sendall(b"HTTP/1.1 200 " + b"x" * 20_000)
        await until(lambda: scenario.finished_attempts)
        assert scenario.outcomes() == [Outcome.UNREADABLE]
        scenario.assert_all_finished()

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
def test_error_status_of_batch_closes_none_of_its_messages(
    status: int, outcome: Outcome, target: Target
) -> None:
    """Guards against a 410 that closes a whole batch without notifications."""

    async def scene() -> None:
        scenario = PoolScenario(target)
        _, endpoint_socket = await scenario.start_call("a", "b")
        endpoint_socket.sendall(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
        await until(lambda: scenario.finished_attempts)
        assert scenario.outcomes() == [outcome] * 2 and not any(
            event.message_closed for event in scenario.finished_attempts
        )
        scenario.assert_all_finished()

    play(scene)
