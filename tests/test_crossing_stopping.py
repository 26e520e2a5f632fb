"""Crossings of a shutdown with what clients send, forced over loopback: the clients' sockets are written to
and reset between two turns of the loop, so that the system has it and the forwarder has not read it."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import pytest

from lemonshunt.net import server as server_file
from lemonshunt.net.client_connection import ClientConnection
from lemonshunt.net.engine import Clock
from lemonshunt.net.server import Asker, Handed, Server
from lemonshunt.wirehost import settings
from tests.sockets import PATIENCE, SETTINGS, message

UP = b"GET /up HTTP/1.1\r\n\r\n"
HALF = message("half")[:-3]


class Caller:
    """A client's socket: what it says is in the forwarder's buffer at once, with no turn between."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.said = b""

    def say(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    async def more(self) -> bytes:
        async with asyncio.timeout(PATIENCE):
            return await asyncio.get_running_loop().sock_recv(self.socket, 65536)

    async def answer(self) -> tuple[int, str]:
        """The next answer's status and head."""
        while b"\r\n\r\n" not in self.said:
            data = await self.more()
            assert data, "ended with no answer"
            self.said += data
        head, _, rest = self.said.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        length = next(int(line.split(":")[1]) for line in lines if line.startswith("Content-Length"))
        while len(rest) < length:
            rest += await self.more()
        self.said = rest[length:]
        return int(lines[0].split()[1]), head.decode()

    async def end(self) -> bytes:
        """All that still comes up to the end, which is no reset."""
        rest = self.said
        while data := await self.more():
            rest += data
        return rest


class Door:
    """A listener whose messages wait until a test answers them."""

    def __init__(self, most: int = 20) -> None:
        self.server = Server(settings(SETTINGS), Clock(), most, self.hand_in)
        self.handed: list[tuple[Handed, Asker]] = []
        self.came = asyncio.Event()
        self.at_once: HTTPStatus | None = None

    def hand_in(self, handed: Handed, door: Asker) -> None:
        self.handed.append((handed, door))
        self.came.set()
        if self.at_once is not None:
            door.answer(self.at_once)

    async def open(self) -> Door:
        await self.server.listen("127.0.0.1", 0)
        assert self.server.listener is not None
        self.port = int(self.server.listener.sockets[0].getsockname()[1])
        return self

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test():
                await asyncio.sleep(0.001)

    async def resting(self) -> Caller:
        """A client that has had an answer and stays."""
        client = Caller(self.port)
        client.say(UP)
        assert (await client.answer())[0] in (200, 503)
        return client

    async def busy(self, name: str = "m") -> Caller:
        """A client whose message has come and is not answered."""
        client, before = Caller(self.port), len(self.handed)
        client.say(message(name))
        await self.until(lambda: len(self.handed) > before)
        return client

    def of(self, client: Caller) -> ClientConnection:
        """The forwarder's end of a client's connection."""
        name = client.socket.getsockname()
        return next(c for c in self.server.connections
                    if c.transport is not None and c.transport.get_extra_info("peername") == name)

    async def gone(self) -> None:
        await self.until(lambda: not self.server.connections)


def play(scene: Callable[[Door], Awaitable[None]], most: int = 20) -> None:
    async def run() -> None:
        door = await Door(most).open()
        await scene(door)
        await door.server.close()
        assert not door.server.accepting
    asyncio.run(run())


# A resting connection is let go


def test_request_that_waits_unread_when_its_connection_is_let_go_is_answered() -> None:
    async def scene(door: Door) -> None:
        client = await door.resting()
        door.at_once = HTTPStatus.ACCEPTED
        client.say(message("m"))
        door.server.leave()
        status, head = await client.answer()
        assert (status, [h.id for h, _ in door.handed]) == (202, ["m"])
        assert "Connection: close" in head and await client.end() == b""
    play(scene)


def test_request_that_waits_unread_when_an_idle_connection_is_swept_is_answered(
        monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(door: Door) -> None:
        client, other = await door.resting(), await door.resting()
        door.at_once = HTTPStatus.ACCEPTED
        monkeypatch.setattr(server_file, "IDLE_US", 0)
        client.say(message("m"))
        door.server.sweep()
        monkeypatch.undo()
        assert (await client.answer())[0] == 202  # it came in time, and its connection goes on
        client.say(message("n"))
        assert (await client.answer())[0] == 202
        assert await other.end() == b""  # nothing had come on this one
        assert [h.id for h, _ in door.handed] == ["m", "n"]
    play(scene)


@pytest.mark.parametrize("how", ["leave", "sweep"])
def test_request_after_the_shutdown_is_discarded_and_resets_nothing(
        how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(door: Door) -> None:
        client = await door.resting()
        monkeypatch.setattr(server_file, "IDLE_US", 0)
        getattr(door.server, how)()
        client.say(message("m"))
        assert await client.end() == b""
        client.say(message("n") * 20)  # more, after it has read the end
        held = door.of(client)
        await door.until(lambda: held.raw == len(message("m")) * 21)  # read, and thrown away
        assert not door.handed and client.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        client.socket.close()
        await door.gone()
    play(scene)


def test_written_answer_outlives_what_came_behind_its_request() -> None:
    async def scene(door: Door) -> None:
        client = await door.busy()
        door.server.leaving = True
        client.say(message("crossed"))  # unread when the answer ends the connection
        door.handed[0][1].answer(HTTPStatus.ACCEPTED)
        status, head = await client.answer()
        assert status == 202 and "Connection: close" in head
        assert await client.end() == b""
        held = door.of(client)
        await door.until(lambda: held.raw == len(message("crossed")))
        assert [h.id for h, _ in door.handed] == ["m"]
    play(scene)


def test_client_that_resets_in_the_instant_of_the_shutdown_stops_no_other() -> None:
    async def scene(door: Door) -> None:
        client, other = await door.resting(), await door.resting()
        held = door.of(client)
        client.reset()
        held.finish()  # the shutdown of a socket that was reset fails
        door.server.leave()
        assert await other.end() == b""
        other.socket.close()
        await door.gone()
    play(scene)


# Requests behind an answer that ends the connection


def test_two_requests_that_came_whole_before_the_end_are_both_answered() -> None:
    async def scene(door: Door) -> None:
        door.server.leaving, door.at_once = True, HTTPStatus.ACCEPTED
        client = Caller(door.port)
        client.say(message("a") + message("b"))
        first, second = await client.answer(), await client.answer()
        assert (first[0], second[0]) == (202, 202)
        assert "Connection: close" not in first[1] and "Connection: close" in second[1]
        assert await client.end() == b""
    play(scene)


@pytest.mark.parametrize("at_once", [True, False])
def test_request_behind_one_that_ends_the_connection_is_not_taken_in(at_once: bool) -> None:
    async def scene(door: Door) -> None:
        client = Caller(door.port)
        if at_once:
            door.at_once = HTTPStatus.ACCEPTED
        client.say(message("a", Connection="close") + message("b"))
        await door.until(lambda: bool(door.handed))
        if not at_once:
            door.handed[0][1].answer(HTTPStatus.ACCEPTED)
        assert (await client.answer())[0] == 202
        assert await client.end() == b"" and [h.id for h, _ in door.handed] == ["a"]
    play(scene)


def test_request_on_a_connection_whose_answer_could_not_be_written_is_not_taken_in() -> None:
    """The transport is closing, and the loop has not said so yet."""
    async def scene(door: Door) -> None:
        client = Caller(door.port)
        door.handed.clear()
        client.say(message("a") + message("b"))
        await door.until(lambda: bool(door.handed))
        held = door.of(client)
        assert [r.headers["x-correlation-id"] for r in held.waiting] == ["b"]
        client.reset()
        door.handed[0][1].answer(HTTPStatus.ACCEPTED)  # the write fails
        assert held.transport is not None and held.transport.is_closing()
        held.next()
        assert [h.id for h, _ in door.handed] == ["a"]
        await door.gone()
    play(scene)


# The listener and the end of the process


@pytest.mark.parametrize("how", ["move", "stop_listening"])
def test_connection_accepted_in_the_turn_in_which_the_listener_closes_is_served(how: str) -> None:
    async def scene(door: Door) -> None:
        door.at_once = HTTPStatus.ACCEPTED
        client = Caller(door.port)
        client.say(message("m"))
        # Due in the turn in which the loop accepts the connection, and run behind that.
        asyncio.get_running_loop().call_later(0, getattr(door.server, how))
        assert (await client.answer())[0] == 202
        assert door.server.listener is None
        with pytest.raises(ConnectionRefusedError):
            Caller(door.port)
    play(scene)


@pytest.mark.parametrize("how", ["move"])
def test_connection_in_the_backlog_when_the_listener_closes_is_served(how: str) -> None:
    async def scene(door: Door) -> None:
        door.at_once = HTTPStatus.SERVICE_UNAVAILABLE
        asking, silent = Caller(door.port), Caller(door.port)
        asking.say(message("m"))
        ending: Any = getattr(door.server, how)()  # no turn has passed: none is accepted
        if ending is not None:
            ending = asyncio.create_task(ending)
        assert (await asking.answer())[0] == 503
        assert await asking.end() == b""
        if ending is not None:
            assert await silent.end() == b""
            await ending
    play(scene)


def test_lingering_ends_though_the_client_says_more_and_more(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(door: Door) -> None:
        monkeypatch.setattr(server_file, "LINGER_S", 0.001)
        client = await door.resting()
        door.server.leave()
        assert await client.end() == b""
        async with asyncio.timeout(PATIENCE):
            with pytest.raises(ConnectionError):
                while True:
                    client.say(UP)
                    await asyncio.sleep(0.01)
        await door.gone()
    play(scene)


def test_lingering_connections_make_room_first() -> None:
    async def scene(door: Door) -> None:
        lingering, resting = await door.resting(), await door.resting()
        door.of(lingering).finish()
        ended = door.of(lingering)
        door.of(resting).used_us = 0  # idle for longer
        another = await door.resting()
        await door.until(lambda: ended not in door.server.connections)
        for client in (resting, another):
            client.say(UP)
            assert (await client.answer())[0] == 200
    play(scene, most=2)
