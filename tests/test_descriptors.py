"""Descriptors: what a flood of clients may hold at most, and what the others keep for themselves."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

import pytest

from lemonshunt.net.desk import Clock
from lemonshunt.net.server import ACCEPTS, Server
from lemonshunt.wirehost import settings
from tests.sockets import PATIENCE, SETTINGS

TURNS = 4  # of the loop between a connection's accept and the end of the one that makes room for it


def held() -> int:
    return len(os.listdir("/proc/self/fd"))


def port_of(listener: asyncio.Server | None) -> int:
    assert listener is not None
    return int(listener.sockets[0].getsockname()[1])


async def most_held(until: Callable[[], bool]) -> int:
    """The greatest number of descriptors in any turn of the loop until then."""
    most = held()
    async with asyncio.timeout(PATIENCE):
        while not until():
            await asyncio.sleep(0)
            most = max(most, held())
    return most


def test_a_burst_of_connections_stays_within_the_bound_in_every_turn() -> None:
    """Many accepts fall into one turn of the loop, and a connection that makes room keeps its descriptor
    until the next: each newcomer needs one of its own to go."""
    class Counting(Server):
        joins = 0

        def joined(self, connection: object) -> None:
            self.joins += 1
            super().joined(connection)  # type: ignore[arg-type]

    async def scene() -> None:
        server = Counting(settings(SETTINGS), Clock(), 5, lambda handed, door: None)
        await server.listen("127.0.0.1", 0)
        clients = [socket.create_connection(("127.0.0.1", port_of(server.listener))) for _ in range(120)]
        before = held()
        most = await most_held(lambda: server.joins == len(clients) and len(server.connections) <= 5)
        assert most - before <= 5 + TURNS * ACCEPTS
        await server.close()
        for client in clients:
            client.close()
    asyncio.run(scene())


@pytest.mark.parametrize("others", [0, 1])
def test_half_requests_that_fill_the_door_make_room_for_who_comes_with_whole_ones(others: int) -> None:
    """All but those that had an answer before stand half read. `/up` is asked on new connections: it is
    answered, those go that never got to a whole request, and who was there before stays."""
    async def scene() -> None:
        server = Server(settings(SETTINGS), Clock(), 5, lambda handed, door: None)
        await server.listen("127.0.0.1", 0)
        port = port_of(server.listener)
        before = [await asyncio.open_connection("127.0.0.1", port) for _ in range(others)]
        for streams in before:
            await up(*streams)
        halves = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5 - others)]
        for _, writer in halves:
            writer.write(b"POST /order HTTP/1.1\r\nX-")
        async with asyncio.timeout(PATIENCE):
            while sum(c.reading is not None for c in server.connections) < len(halves):
                await asyncio.sleep(0.001)
        for _ in halves:
            await up(*await asyncio.open_connection("127.0.0.1", port))
        for streams in before:
            await up(*streams)
        await server.close()
    asyncio.run(scene())


async def up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
    async with asyncio.timeout(PATIENCE):
        first = await reader.readline()
        assert first.startswith(b"HTTP/1.1 200"), first or "closed without an answer"
        await reader.readuntil(b"up\n")
