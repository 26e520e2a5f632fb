"""A client that reads the answer late, after the server half-closed the connection,
still receives it.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from tests.forwarder.test_shutdown_races import ServerHarness, message, play
from tests.support.event_scripts import MS

PATIENCE_US = 400 * MS
"""A client gives up after this time without an answer and closes the connection."""


def test_answer_stays_readable_after_half_close_while_client_waits() -> None:
    """Unread bytes follow the request: closing the connection over them would reset it
    and lose the answer.
    """

    async def scene(door: ServerHarness) -> None:
        client = await door.waiting_client()
        door.server.draining = True
        client.send(message("crossed"))
        door.submitted[0][1].answer(HTTPStatus.ACCEPTED)
        close_at_us, clock = door.connection_of(client).close_at_us, door.server.clock
        connected_at_us = door.connection_of(client).connected_at_us
        assert close_at_us - connected_at_us > PATIENCE_US
        door.server.clock = lambda: connected_at_us + PATIENCE_US
        door.server.sweep()
        for _ in range(10):
            await asyncio.sleep(0)
        status, head = await client.answer()
        assert (
            status == 202
            and "Connection: close" in head
            and await client.read_to_end() == b""
        )
        door.server.clock = lambda: close_at_us
        door.server.sweep()
        await door.until_no_connections()
        door.server.clock = clock

    play(scene)
