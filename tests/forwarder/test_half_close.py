"""An answer that ends its connection, and a client that reads it late: it is there
while a client waits.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from tests.forwarder.test_shutdown_races import Door, message, play
from tests.support.event_scripts import MS

PATIENCE_US = 400 * MS
"""A client gives up a request that has no answer by then, and closes."""


def test_answer_is_there_for_as_long_as_its_client_waits_after_the_half_close() -> None:
    """With bytes behind its request, which would reset the connection if that were
    closed over them.
    """

    async def scene(door: Door) -> None:
        client = await door.busy()
        door.server.draining = True
        client.say(message("crossed"))
        door.handed[0][1].answer(HTTPStatus.ACCEPTED)
        closes, clock = door.of(client).close_at_us, door.server.clock
        came = door.of(client).connected_at_us
        assert closes - came > PATIENCE_US
        door.server.clock = lambda: came + PATIENCE_US
        door.server.sweep()
        for _ in range(10):
            await asyncio.sleep(0)
        status, head = await client.answer()
        assert (
            status == 202 and "Connection: close" in head and await client.end() == b""
        )
        door.server.clock = lambda: closes
        door.server.sweep()
        await door.gone()
        door.server.clock = clock

    play(scene)
