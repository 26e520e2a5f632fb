"""Crossings of a shutdown with what clients send, forced over loopback: the clients'
sockets are written to and reset between two turns of the loop, so that the system has
it and the forwarder has not read it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace
from http import HTTPStatus
from pathlib import Path
from typing import Any

import pytest

from rainfall.forwarder.config.loading import (
    Address,
    Config,
    EndpointList,
    parse_endpoint,
)
from rainfall.forwarder.engine import shutdown, startup
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.engine.engine_state import Clock
from rainfall.forwarder.inbound import client_connection
from rainfall.forwarder.inbound import server as server_file
from rainfall.forwarder.inbound.client_connection import CLOSE_GRACE_S, ClientConnection
from rainfall.forwarder.inbound.server import (
    InboundServer,
    ResponseWriter,
    SubmittedMessage,
)
from rainfall.wirehost import parse_settings
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    SETTINGS,
    Peer,
    Platform,
    always,
    hang,
    message,
)

UP = b"GET /up HTTP/1.1\r\n\r\n"
HALF = message("half")[:-3]


class Caller:
    """A client's socket: what it says is in the forwarder's buffer at once, with no
    turn between.
    """

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.said = b""

    def say(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    def reset(self) -> None:
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
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
        length = next(
            int(line.split(":")[1])
            for line in lines
            if line.startswith("Content-Length")
        )
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
        self.server = InboundServer(
            parse_settings(SETTINGS), Clock(), most, self.hand_in
        )
        self.handed: list[tuple[SubmittedMessage, ResponseWriter]] = []
        self.came = asyncio.Event()
        self.at_once: HTTPStatus | None = None

    def hand_in(self, handed: SubmittedMessage, door: ResponseWriter) -> None:
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
        return next(
            c
            for c in self.server.connections
            if c.transport is not None
            and c.transport.get_extra_info("peername") == name
        )

    async def gone(self) -> None:
        await self.until(lambda: not self.server.connections)


def play(scene: Callable[[Door], Awaitable[None]], most: int = 20) -> None:
    async def run() -> None:
        door = await Door(most).open()
        await scene(door)
        await door.server.close()
        assert not door.server.accept_tasks

    asyncio.run(run())


# A resting connection is let go


def test_request_that_waits_unread_when_its_connection_is_let_go_is_answered() -> None:
    async def scene(door: Door) -> None:
        client = await door.resting()
        door.at_once = HTTPStatus.ACCEPTED
        client.say(message("m"))
        door.server.drain()
        status, head = await client.answer()
        assert (status, [h.id for h, _ in door.handed]) == (202, ["m"])
        assert "Connection: close" in head and await client.end() == b""

    play(scene)


def test_request_that_waits_unread_when_an_idle_connection_is_swept_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(door: Door) -> None:
        client, other = await door.resting(), await door.resting()
        door.at_once = HTTPStatus.ACCEPTED
        monkeypatch.setattr(server_file, "IDLE_CONNECTION_US", 0)
        client.say(message("m"))
        door.server.sweep()
        monkeypatch.undo()
        assert (await client.answer())[
            0
        ] == 202  # it came in time, and its connection goes on
        client.say(message("n"))
        assert (await client.answer())[0] == 202
        assert await other.end() == b""  # nothing had come on this one
        assert [h.id for h, _ in door.handed] == ["m", "n"]

    play(scene)


@pytest.mark.parametrize("how", ["drain", "sweep"])
def test_request_after_the_shutdown_is_discarded_and_resets_nothing(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(door: Door) -> None:
        client = await door.resting()
        monkeypatch.setattr(server_file, "IDLE_CONNECTION_US", 0)
        getattr(door.server, how)()
        client.say(message("m"))
        assert await client.end() == b""
        client.say(message("n") * 20)  # more, after it has read the end
        held = door.of(client)
        await door.until(
            lambda: held.raw_bytes == len(message("m")) * 21
        )  # read, and thrown away
        assert (
            not door.handed
            and client.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        )
        client.socket.close()
        await door.gone()

    play(scene)


@pytest.mark.parametrize("how", ["draining", "handed_over"])
def test_written_answer_outlives_what_came_behind_its_request(how: str) -> None:
    async def scene(door: Door) -> None:
        client = await door.busy()
        setattr(door.server, how, True)
        client.say(message("crossed"))  # unread when the answer ends the connection
        door.handed[0][1].answer(HTTPStatus.ACCEPTED)
        status, head = await client.answer()
        assert status == 202 and "Connection: close" in head
        assert await client.end() == b""
        held = door.of(client)
        await door.until(lambda: held.raw_bytes == len(message("crossed")))
        assert [h.id for h, _ in door.handed] == ["m"]

    play(scene)


def test_client_that_resets_in_the_instant_of_the_shutdown_stops_no_other() -> None:
    async def scene(door: Door) -> None:
        client, other = await door.resting(), await door.resting()
        held = door.of(client)
        client.reset()
        held.finish()  # the shutdown of a socket that was reset fails
        door.server.drain()
        assert await other.end() == b""
        other.socket.close()
        await door.gone()

    play(scene)


def test_new_connection_is_not_let_go_before_its_first_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(door: Door) -> None:
        client, silent = Caller(door.port), Caller(door.port)
        await door.until(lambda: len(door.server.connections) == 2)
        door.server.drain()
        door.at_once = HTTPStatus.ACCEPTED
        client.say(message("m"))
        assert (await client.answer())[0] == 202 and await client.end() == b""
        monkeypatch.setattr(client_connection, "FIRST_REQUEST_GRACE_US", 0)
        door.server.drain()
        assert await silent.end() == b""  # though not for ever

    play(scene)


# Requests behind an answer that ends the connection


def test_two_requests_that_came_whole_before_the_end_are_both_answered() -> None:
    async def scene(door: Door) -> None:
        door.server.draining, door.at_once = True, HTTPStatus.ACCEPTED
        client = Caller(door.port)
        client.say(message("a") + message("b"))
        first, second = await client.answer(), await client.answer()
        assert (first[0], second[0]) == (202, 202)
        assert "Connection: close" not in first[1] and "Connection: close" in second[1]
        assert await client.end() == b""

    play(scene)


@pytest.mark.parametrize("at_once", [True, False])
def test_request_behind_one_that_ends_the_connection_is_not_taken_in(
    at_once: bool,
) -> None:
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


def test_request_on_a_connection_whose_answer_could_not_be_written_is_not_taken_in() -> (
    None
):
    """The transport is closing, and the loop has not said so yet."""

    async def scene(door: Door) -> None:
        client = Caller(door.port)
        door.handed.clear()
        client.say(message("a") + message("b"))
        await door.until(lambda: bool(door.handed))
        held = door.of(client)
        assert [r.headers["x-correlation-id"] for r in held.queued_requests] == ["b"]
        client.reset()
        door.handed[0][1].answer(HTTPStatus.ACCEPTED)  # the write fails
        assert held.transport is not None and held.transport.is_closing()
        held.process_next()
        assert [h.id for h, _ in door.handed] == ["a"]
        await door.gone()

    play(scene)


# The listener and the end of the process


@pytest.mark.parametrize("how", ["hand_over", "stop_listening"])
def test_connection_accepted_in_the_turn_in_which_the_listener_closes_is_served(
    how: str,
) -> None:
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


@pytest.mark.parametrize("how", ["hand_over", "close"])
def test_connection_in_the_backlog_when_the_listener_closes_is_served(how: str) -> None:
    async def scene(door: Door) -> None:
        door.at_once = HTTPStatus.SERVICE_UNAVAILABLE
        asking, silent = Caller(door.port), Caller(door.port)
        asking.say(message("m"))
        ending: Any = getattr(
            door.server, how
        )()  # no turn has passed: none is accepted
        if ending is not None:
            ending = asyncio.create_task(ending)
        assert (await asking.answer())[0] == 503
        nodelay = [
            c.transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY
            )
            for c in door.server.connections
            if c.transport is not None
        ]
        assert nodelay and all(nodelay)
        assert await asking.end() == b""
        if ending is not None:
            assert await silent.end() == b""
            await ending

    play(scene)


def test_what_the_system_holds_back_is_nothing() -> None:
    """Small writes leave at once: none is lost with a connection that is reset."""

    async def scene(door: Door) -> None:
        client = await door.resting()
        transport = door.of(client).transport
        assert transport is not None
        assert transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY
        )

    play(scene)


def test_at_the_end_whole_and_half_requests_are_refused_and_silent_clients_let_go() -> (
    None
):
    async def scene(door: Door) -> None:
        left: list[str] = []
        busy, resting, silent, half = (
            await door.busy(),
            await door.resting(),
            Caller(door.port),
            Caller(door.port),
        )
        door.handed[0][1].on_disconnect = lambda: left.append("m")
        half.say(HALF)
        await door.until(
            lambda: (
                len(door.server.connections) == 4
                and any(
                    c.incomplete_request is not None for c in door.server.connections
                )
            )
        )
        ending = asyncio.create_task(door.server.close())
        for client in (busy, half):
            status, head = await client.answer()
            assert status == 503 and "Connection: close" in head
            assert await client.end() == b""
        assert left == ["m"]  # it was told to whoever held it before the refusal left
        assert await resting.end() == await silent.end() == b""
        half.say(
            message("half")[-3:]
        )  # its rest crosses the refusal, and resets nothing
        for client in (busy, resting, silent, half):
            client.socket.close()
        await ending
        assert [h.id for h, _ in door.handed] == ["m"] and not door.server.connections

    play(scene)


def test_request_read_whole_behind_a_busy_one_is_refused_at_the_end_too() -> None:
    async def scene(door: Door) -> None:
        client = Caller(door.port)
        client.say(message("a") + message("b"))
        await door.until(lambda: bool(door.handed))
        ending = asyncio.create_task(door.server.close())
        assert [(await client.answer())[0] for _ in range(2)] == [503, 503]
        assert await client.end() == b"" and [h.id for h, _ in door.handed] == ["a"]
        await ending

    play(scene)


def test_answer_that_comes_while_the_process_ends_goes_before_a_refusal() -> None:
    """A message that another process has taken on: its 202 is under way."""

    async def scene(door: Door) -> None:
        client = await door.busy()
        held, looked_at = door.of(client), asyncio.Event()
        end = held.shut_down

        def looked(at_once: bool) -> None:
            end(at_once)
            looked_at.set()

        held.shut_down = looked  # type: ignore[method-assign]
        ending = asyncio.create_task(door.server.close(PATIENCE))
        async with asyncio.timeout(PATIENCE):
            await looked_at.wait()
        door.handed[0][1].answer(HTTPStatus.ACCEPTED)
        assert (await client.answer())[0] == 202 and await client.end() == b""
        client.socket.close()
        await ending

    play(scene)


def test_clients_that_never_let_go_do_not_keep_the_process() -> None:
    async def scene(door: Door) -> None:
        clients = [await door.resting(), await door.busy()]
        held = list(door.server.connections)
        async with asyncio.timeout(PATIENCE):
            await door.server.close()
        await door.until(lambda: all(c.transport is None for c in held))
        del clients

    play(scene)


def test_lingering_ends_though_the_client_says_more_and_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(door: Door) -> None:
        monkeypatch.setattr(server_file, "LINGER_S", 0.001)
        client = await door.resting()
        door.server.drain()
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
        door.of(resting).last_used_us = 0  # idle for longer
        another = await door.resting()
        await door.until(lambda: ended not in door.server.connections)
        for client in (resting, another):
            client.say(UP)
            assert (await client.answer())[0] == 200

    play(scene, most=2)


# The engine's steps


def engine(folder: Path, platform: Platform, **more: Any) -> Engine:
    hosts = tuple(parse_endpoint(raw) for raw in platform.hosts.values())
    listen, discovery = (
        Address("127.0.0.1", 0),
        Address("127.0.0.1", platform.port or 9),
    )
    config = Config(
        "n",
        listen,
        discovery,
        folder,
        1,
        192,
        256,
        3_000_000,
        EndpointList(1, True, hosts),
        parse_settings(SETTINGS),
        ("x0", "x1"),
    )
    return Engine(replace(config, **more))


class Running:
    """An engine in the test's own loop, so that a test can put its steps where it wants
    them.
    """

    def __init__(self, folder: Path, platform: Platform, **more: Any) -> None:
        self.engine = engine(folder, platform, **more)
        self.task = asyncio.create_task(self.engine.run())

    async def ready(self) -> Running:
        await self.until(lambda: self.engine.serving)
        assert self.engine.server.listener is not None
        self.port = int(self.engine.server.listener.sockets[0].getsockname()[1])
        return self

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test():
                assert not self.task.done() or test(), self.task
                await asyncio.sleep(0.001)

    def told_to_stop(self, ago_s: float) -> None:
        """SIGTERM was so long ago; its next step is the test's to make."""
        self.engine.state.shutdown_started_s = asyncio.get_running_loop().time() - ago_s
        self.engine.server.draining = True

    async def end(self) -> None:
        self.engine.state.stopped.set()
        async with asyncio.timeout(PATIENCE):
            assert await self.task is False


def engine_play(
    scene: Callable[[Platform, Path], Awaitable[None]], folder: Path
) -> None:
    async def run() -> None:
        platform = Platform()
        await platform.start()
        await scene(platform, folder)

    asyncio.run(run())


async def target(platform: Platform, handler: Any) -> Peer:
    peer = await Peer(handler).start()
    platform.host("s1", peer.port)
    return peer


def test_message_that_comes_in_the_turn_of_the_end_is_answered(tmp_path: Path) -> None:
    """Behind the last step, and before the process goes on to its end, the loop may
    still run a client's turn. What came then was taken in, never decided on, and
    cut.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, always(OK))
        run = await Running(folder, platform).ready()
        answers: list[HTTPStatus] = []

        class Waiting:
            on_disconnect: Callable[[], None] | None = None

            def answer(
                self, status: HTTPStatus, text: str = "", **headers: str
            ) -> None:
                answers.append(status)

        run.told_to_stop(1.0)
        run.engine.shutdown.advance_shutdown()
        assert run.engine.state.stopped.is_set()
        due = run.engine.clock() + 10_000_000
        run.engine.submit(
            SubmittedMessage("m", "status", 7, due, None, None, "acme", False, b""),
            Waiting(),
        )
        assert answers == [HTTPStatus.SERVICE_UNAVAILABLE]
        await run.end()
        assert not peer.requests

    engine_play(scene, tmp_path)


def test_engine_with_nothing_held_refuses_what_crosses_its_end(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, always(OK))
        run = await Running(folder, platform).ready()
        resting, unaccepted = Caller(run.port), None
        resting.say(UP)
        assert (await resting.answer())[0] == 200
        run.told_to_stop(1.0)
        resting.say(message("a"))
        unaccepted = Caller(run.port)
        unaccepted.say(message("b"))
        run.engine.shutdown.advance_shutdown()
        for client in (resting, unaccepted):
            status, head = await client.answer()
            assert (
                status == 503
                and "Connection: close" in head
                and await client.end() == b""
            )
            client.socket.close()
        await run.end()
        assert not peer.requests and not run.engine.server.connections

    engine_play(scene, tmp_path)


@pytest.mark.parametrize("step", ["freeze", "exit"])
def test_call_whose_connection_comes_up_after_the_freeze_never_leaves_and_is_tried_by_the_next(
    tmp_path: Path, step: str
) -> None:
    """Sent a moment before the end, or left in the journal as out, it may have run: a
    message that must not run twice was then given up with no call.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, always(OK))
        run = await Running(folder, platform).ready()
        up, dialing = asyncio.Event(), asyncio.Event()
        dial = run.engine.pool.dial

        async def late(*args: Any) -> None:
            dialing.set()
            await up.wait()
            await dial(*args)

        run.engine.pool.dial = late  # type: ignore[method-assign]
        client = Caller(run.port)
        client.say(message("m", "pay", Idempotency_Key=None))
        assert (await client.answer())[0] == 202
        async with asyncio.timeout(PATIENCE):
            await dialing.wait()
        if step == "freeze":
            run.told_to_stop(shutdown.FREEZE_AFTER_S)
            run.engine.shutdown.advance_shutdown()
            up.set()
            await asyncio.wait(set(run.engine.pool.dial_tasks), timeout=PATIENCE)
        client.socket.close()
        dials = set(run.engine.pool.dial_tasks)
        await run.end()
        for task in dials:  # the process is gone, and its dials with it
            task.cancel()
        assert not peer.requests
        again = await Running(folder, platform).ready()
        await peer.got(1)
        assert (
            peer.requests[0].headers["x-correlation-id"] == "m" and not platform.notices
        )
        await again.end()

    engine_play(scene, tmp_path)


def test_longest_way_from_sigterm_to_the_end_leaves_room_before_sigkill() -> None:
    """SIGKILL may come 3.7 s after SIGTERM."""
    longest = (
        shutdown.EXIT_AFTER_S
        + shutdown.SHUTDOWN_STEP_S
        + startup.FINAL_COMMIT_TIMEOUT_S
        + CLOSE_GRACE_S
    )
    assert longest <= 3.66
    assert (
        shutdown.ACCEPT_PERIOD_S + client_connection.FIRST_REQUEST_GRACE_US / 1e6
        < shutdown.FREEZE_AFTER_S
        < shutdown.EXIT_AFTER_S
    )


def test_patience_at_the_end_fits_before_sigkill_at_every_step(tmp_path: Path) -> None:
    async def scene() -> None:
        e = engine(tmp_path, Platform())
        now = asyncio.get_running_loop().time()
        for passed in (1.0, 2.8, 3.0, 3.3, 3.5):
            e.state.shutdown_started_s = now - passed
            assert (
                CLOSE_GRACE_S
                <= e.shutdown.client_grace_s()
                <= max(CLOSE_GRACE_S, shutdown.EXIT_AFTER_S + CLOSE_GRACE_S - passed)
                + 1e-6
            )
        e.state.shutdown_started_s = now - 1.0
        assert e.shutdown.client_grace_s() == shutdown.CLIENT_CLOSE_S
        e.store.close()

    asyncio.run(scene())


def test_client_that_rests_until_the_end_sees_no_reset_and_its_crossing_request_goes_nowhere(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        run = await Running(folder, platform).ready()
        resting, busy = Caller(run.port), Caller(run.port)
        for client, data in ((resting, UP), (busy, message("held", "status"))):
            client.say(data)
            assert (await client.answer())[0] in (200, 202)
        await peer.got(1)
        run.told_to_stop(1.0)
        run.engine.shutdown.advance_shutdown()
        resting.say(message("crossed"))  # after the shutdown
        assert await resting.end() == await busy.end() == b""
        resting.socket.close()
        await run.end()
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["held"]
        again = await Running(folder, platform).ready()
        await peer.got(2)
        assert {r.headers["x-correlation-id"] for r in peer.requests} == {"held"}
        await again.end()
        assert not caplog.messages

    with caplog.at_level(logging.ERROR):
        engine_play(scene, tmp_path)
