"""Bad input at the door: an error or a close in time, bounded memory, and nothing of it taken on."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus

import pytest

from lemonshunt.net import server as door
from lemonshunt.net.client_connection import ClientConnection
from lemonshunt.net.server import MOST_UNREAD, Asker, Handed, Server
from lemonshunt.wirehost import settings
from tests.sockets import PATIENCE, SETTINGS, message

OWED_US = 3_000_000  # TERMS, Connections: an error or a close within 3 s of connecting
SWEEP_US = int(door.SWEEP_S * 1_000_000)
LINGER_US = int(door.LINGER_S * 1_000_000)
Scene = Callable[["Door"], Awaitable[None]]


class Door(Server):
    """A server whose clock stands until the test moves it, and that sweeps when the test says so."""

    def __init__(self, most: int = 100) -> None:
        self.now, self.taken, self.joins = 1_000_000_000, [], 0
        super().__init__(settings(SETTINGS), lambda: self.now, most, self.take)
        self.settled = asyncio.Event()

    taken: list[str]

    def take(self, handed: Handed, asker: Asker) -> None:
        self.taken.append(handed.id)
        asker.answer(HTTPStatus.ACCEPTED)

    def port(self) -> int:
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, ClientConnection]:
        """A client, and the door's side of its connection."""
        known = set(self.connections)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port())
        await self.until(lambda: bool(self.connections - known))
        return reader, writer, next(iter(self.connections - known))

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test():
                await asyncio.sleep(0.001)

    async def say(self, writer: asyncio.StreamWriter, side: ClientConnection, data: bytes) -> None:
        """Send, and wait until it was read."""
        seen = side.raw
        writer.write(data)
        await self.until(lambda: side.raw != seen or side.requests > 0 or side.broken)

    def told(self, side: ClientConnection) -> bool:
        """Whether the peer was given an error or a close."""
        return side.broken or not side.open()


def play(scene: Scene, monkeypatch: pytest.MonkeyPatch, most: int = 100) -> None:
    async def run() -> None:
        monkeypatch.setattr(door, "SWEEP_S", 3600.0)  # by itself it never sweeps
        server = Door(most)
        await server.listen("127.0.0.1", 0)
        try:
            await scene(server)
        finally:
            await server.close()
    asyncio.run(run())


def test_each_longest_way_to_an_error_or_a_close_fits_into_what_is_owed() -> None:
    """The sums that stand beside the constants, with a fifth of a second for a loop that is late."""
    room = OWED_US - 200_000
    assert door.SILENT_US + SWEEP_US <= room
    assert door.STALLED_US + SWEEP_US <= room
    assert door.SILENT_US + SWEEP_US + door.FIRST_US + SWEEP_US <= room
    assert door.STALLED_US + SWEEP_US + LINGER_US + SWEEP_US <= OWED_US  # the end of its connection, too


HEAD = b"POST /order HTTP/1.1\r\nHost: x\r\n"


@pytest.mark.parametrize("begins_us", [0, 1_500_000, 1_999_999, 2_100_000])
@pytest.mark.parametrize(("says", "goes_on"), [
    (b"P", b""), (b"\r\n", b"\r\n"), (HEAD + b"X-", b"a"), (HEAD + b"X-A: ", b"a"),
    (HEAD + b"Content-Length: 60000\r\n\r\nhel", b"l"),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5000\r\nhe", b"l"),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;a=", b"b"),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-", b"b")])
def test_a_first_request_that_stands_half_read_has_its_error_within_3_s_of_connecting(
        says: bytes, goes_on: bytes, begins_us: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """It begins as late as a silent connection may, goes on byte by byte, and each sweep comes just short of
    a limit: the clock for its error runs from connecting."""
    async def scene(server: Door) -> None:
        _, writer, side = await server.connect()
        start = server.now
        begin, sweep = start + begins_us, start + SWEEP_US - 1
        while not server.told(side):
            if begin <= sweep:
                server.now, begin = begin, sweep + 1
                await server.say(writer, side, goes_on if side.raw else says)
                if not goes_on:
                    begin = start + 10 * OWED_US
            else:
                server.now = sweep
                server.sweep()
                sweep += SWEEP_US
            assert server.now - start <= OWED_US - 200_000, "neither an error nor a close"
        assert not server.taken
        writer.close()
    play(scene, monkeypatch)


def test_a_client_that_asks_without_end_and_reads_nothing_is_let_go_before_its_answers_pile_up(
        monkeypatch: pytest.MonkeyPatch) -> None:
    """Each request is answered, and none of the answers is taken: what waits for it stays bounded, and its
    connection ends."""
    async def scene(server: Door) -> None:
        _, _, other = await server.connect()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, ("127.0.0.1", server.port()))
            await server.until(lambda: len(server.connections) == 2)
            side = next(iter(server.connections - {other}))
            most = 0
            async with asyncio.timeout(PATIENCE):
                asked = 1000 * b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n"
                while side.transport is not None and most < 64 * MOST_UNREAD:
                    with suppress(ConnectionError, TimeoutError):
                        await asyncio.wait_for(loop.sock_sendall(sock, asked), 0.1)
                    if side.transport is not None:
                        most = max(most, side.transport.get_write_buffer_size())
        assert most <= 2 * MOST_UNREAD
        assert other.open()
    play(scene, monkeypatch)


def test_who_reads_late_still_has_all_its_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Some requests at once, as no client should send them: each has its answer, in order."""
    async def scene(server: Door) -> None:
        reader, writer, _ = await server.connect()
        writer.write(b"".join(message(f"m{n}") for n in range(40)))
        await server.until(lambda: len(server.taken) == 40)
        async with asyncio.timeout(PATIENCE):
            for _ in range(40):
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 202")
        assert server.taken == [f"m{n}" for n in range(40)]
        writer.close()
    play(scene, monkeypatch)
