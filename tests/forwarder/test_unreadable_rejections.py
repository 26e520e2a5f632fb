"""A response that rejects a call, and cannot be read as the protocol requires, proves
nothing: the call may have been executed.
"""

from __future__ import annotations

import asyncio

import pytest

from rainfall.dispatch import Outcome
from tests.forwarder.test_call_races import PoolScenario, Target, until

END = b"\r\nContent-Length: 0\r\n\r\n"
WAIT = b"HTTP/1.1 429 Full\r\nX-RateLimit-Wait-Ms: "
TWO_STATES = (
    b'[{"id":"m","state":"accepted","state":"deferred"},{"id":"n","state":"deferred"}]'
)
UNREADABLE = {
    "a wait of letters": WAIT + b"2F0Z" + END,
    "a wait of other bytes": WAIT + b"\xff\xfe\x80" + END,
    "a wait below 0": WAIT + b"-5" + END,
    "an empty wait": WAIT + END,
    "control bytes in the status line": b"HTTP/1.1 503 \x00\x01\x02" + END,
    "a control byte in a 410": b"HTTP/1.1 410 Go\x07ne" + END,
}
READABLE = {
    "a wait": (WAIT + b"70.5" + END, Outcome.REJECTED),
    "no wait": (b"HTTP/1.1 429 Full" + END, Outcome.REJECTED),
    "a tab in the status line": (b"HTTP/1.1 503 a\tb" + END, Outcome.REJECTED),
    "a control byte in a 200": (b"HTTP/1.1 200 O\x01K" + END, Outcome.DELIVERED),
}


def outcomes_of(response: bytes, *names: str) -> list[Outcome]:
    async def run() -> list[Outcome]:
        target = Target()
        scenario = PoolScenario(target)
        call, endpoint_socket = await scenario.start_call(*names)
        endpoint_socket.sendall(response)
        await until(lambda: len(scenario.finished_attempts) == len(call.items))
        scenario.assert_all_finished()
        scenario.pool.close()
        target.close()
        return scenario.outcomes()

    return asyncio.run(run())


@pytest.mark.parametrize("name", UNREADABLE)
def test_call_may_have_been_executed_if_its_rejection_is_unreadable(name: str) -> None:
    assert outcomes_of(UNREADABLE[name], "m") == [Outcome.UNREADABLE]


@pytest.mark.parametrize("name", READABLE)
def test_readable_rejection_and_a_200_count_as_they_say(name: str) -> None:
    response, outcome = READABLE[name]
    assert outcomes_of(response, "m") == [outcome]


def test_batch_whose_response_has_two_states_for_a_message_may_have_been_executed() -> (
    None
):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(TWO_STATES)
    assert outcomes_of(head + TWO_STATES, "m", "n") == 2 * [Outcome.UNREADABLE]
