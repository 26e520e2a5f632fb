"""Requests that arrive at the moment their idle connection is chosen for eviction."""

from __future__ import annotations

from http import HTTPStatus

import pytest

from rainfall.forwarder.inbound.client_connection import ClientConnection
from tests.forwarder.test_shutdown_races import ServerHarness, play
from tests.support.loopback_peers import message


@pytest.mark.parametrize("read", [True, False])
def test_connection_with_unread_request_is_not_evicted(read: bool) -> None:
    """Guards against evicting the longest idle connection while a request is unread in
    its socket buffer: the close resets the connection.
    """

    async def scene(door: ServerHarness) -> None:
        first, second = await door.idle_client(), await door.idle_client()
        door.immediate_status = HTTPStatus.ACCEPTED
        if not read:
            first.send(message("m"))
        door.server.add_connection(
            ClientConnection(door.server)
        )  # exceeds the limit by one
        if read:
            assert await first.receive() == b""
            second.send(message("m"))
            assert (await second.answer())[0] == 202
        else:
            assert (await first.answer())[0] == 202
            assert await second.receive() == b""

    play(scene, most=2)
