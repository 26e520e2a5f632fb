"""Requests that arrive in the very moment in which their connection is chosen to go."""

from __future__ import annotations

from http import HTTPStatus

import pytest

from rainfall.forwarder.inbound.client_connection import ClientConnection
from tests.forwarder.test_shutdown_races import Door, play
from tests.support.loopback_peers import message


@pytest.mark.parametrize("read", [True, False])
def test_connection_with_an_unread_request_makes_no_room(read: bool) -> None:
    """The one that has rested longest was cut over what lay unread at its socket, which
    resets it.
    """

    async def scene(door: Door) -> None:
        first, second = await door.resting(), await door.resting()
        door.at_once = HTTPStatus.ACCEPTED
        if not read:
            first.say(message("m"))
        door.server.add_connection(
            ClientConnection(door.server)
        )  # one more than there is room for
        if read:
            assert await first.more() == b""
            second.say(message("m"))
            assert (await second.answer())[0] == 202
        else:
            assert (await first.answer())[0] == 202
            assert await second.more() == b""

    play(scene, most=2)
