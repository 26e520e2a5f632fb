"""A response to a request for the list, or to a notification, brings more than belongs to it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from rainfall.forwarder.discovery.endpoint_watch import HttpClient
from rainfall.forwarder.http1 import REUSE_PAUSE_US, MalformedResponseError
from tests.forwarder.test_call_races import (
    Target,
    is_closed_by_forwarder,
    play,
    until,
)
from tests.forwarder.test_surplus_input import (
    SURPLUS,
    UNREAD_BODY,
    accept_request,
    response,
    send_if_open,
)
from tests.support.loopback_peers import PATIENCE


@pytest.fixture
def target() -> Iterator[Target]:
    target = Target()
    yield target
    target.close()


@pytest.mark.parametrize("surplus", [*SURPLUS.values(), response(204, body=b"")])
@pytest.mark.parametrize("moment", ["same read", "idle", "unread", "pause"])
def test_surplus_on_a_control_connection_is_not_the_next_response(
    moment: str, surplus: bytes, target: Target
) -> None:
    """Guards against a notification that counts as acknowledged by another one's 204."""

    async def scene() -> None:
        client = HttpClient(target.address)
        request = asyncio.create_task(client.request("POST", "/a", PATIENCE, b"x"))
        first_socket, _ = await accept_request(target)
        good = response(204, body=b"")
        first_socket.sendall(good + surplus if moment == "same read" else good)
        assert (await request).status == 204
        connection, loop = client.connection, asyncio.get_running_loop()
        assert connection.reusable_at_s > 0
        connection.reusable_at_s = loop.time()
        wait_until_reusable = connection.wait_until_reusable

        async def send_in_pause() -> None:
            connection.reusable_at_s = loop.time() + REUSE_PAUSE_US / 1e6
            send_if_open(first_socket, surplus)
            await wait_until_reusable()

        if moment == "pause":
            connection.wait_until_reusable = send_in_pause  # type: ignore[method-assign]
        if moment in ("idle", "unread"):
            first_socket.sendall(surplus)
        if moment == "idle":
            await until(lambda: not client.connection.is_open())
        request = asyncio.create_task(client.request("POST", "/b", PATIENCE, b"x"))
        second_socket, head = await accept_request(target)
        assert head.startswith(b"POST /b ")
        assert is_closed_by_forwarder(first_socket, PATIENCE)
        second_socket.sendall(response(503, body=b""))
        assert (await request).status == 503
        client.close()

    play(scene)


def test_surplus_that_crosses_a_control_request_does_not_answer_it(
    target: Target,
) -> None:
    async def scene() -> None:
        client = HttpClient(target.address)
        request = asyncio.create_task(client.request("POST", "/a", PATIENCE, b"x"))
        endpoint_socket, _ = await accept_request(target)
        endpoint_socket.sendall(response(204, body=b""))
        assert (await request).status == 204
        # The platform's machine cannot take in the whole request.
        request = asyncio.create_task(
            client.request("POST", "/b", PATIENCE, UNREAD_BODY)
        )
        while not client.connection.response or client.connection.response.done():
            await asyncio.sleep(0.001)
        endpoint_socket.sendall(response(204, body=b""))
        with pytest.raises(MalformedResponseError):
            await request
        client.close()

    play(scene)
