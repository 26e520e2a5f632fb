"""Races between a shutdown and what clients send, forced over loopback: the tests write
to and reset the clients' sockets between two loop iterations, so that the kernel has
the data and the forwarder has not read it.
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
from rainfall.forwarder.inbound import connection_registry
from rainfall.forwarder.inbound import server as server_file
from rainfall.forwarder.inbound.client_connection import ClientConnection
from rainfall.forwarder.inbound.connection_registry import CLOSE_GRACE_S
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
    answer_in_turn,
    hang,
    message,
)

UP = b"GET /up HTTP/1.1\r\n\r\n"
HALF = message("half")[:-3]


class ClientSocket:
    """A client's socket. The bytes it sends are in the forwarder's socket buffer at
    once, without a loop iteration between.
    """

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.unparsed = b""

    def send(self, data: bytes) -> None:
        assert self.socket.send(data) == len(data)

    def reset(self) -> None:
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.socket.close()

    async def receive(self) -> bytes:
        async with asyncio.timeout(PATIENCE):
            return await asyncio.get_running_loop().sock_recv(self.socket, 65536)

    async def answer(self) -> tuple[int, str]:
        """Return the next response's status and head."""
        while b"\r\n\r\n" not in self.unparsed:
            data = await self.receive()
            assert data, "connection ended without a response"
            self.unparsed += data
        head, _, rest = self.unparsed.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        length = next(
            int(line.split(":")[1])
            for line in lines
            if line.startswith("Content-Length")
        )
        while len(rest) < length:
            rest += await self.receive()
        self.unparsed = rest[length:]
        return int(lines[0].split()[1]), head.decode()

    async def read_to_end(self) -> bytes:
        """Return all further bytes up to the end of the connection, which must not be
        a reset.
        """
        rest = self.unparsed
        while data := await self.receive():
            rest += data
        return rest


class ServerHarness:
    """An inbound server whose messages wait until a test answers them."""

    def __init__(self, most: int = 20) -> None:
        self.server = InboundServer(
            parse_settings(SETTINGS), Clock(), most, self.hand_in
        )
        self.submitted: list[tuple[SubmittedMessage, ResponseWriter]] = []
        self.came = asyncio.Event()
        self.immediate_status: HTTPStatus | None = None

    def hand_in(
        self, handed: SubmittedMessage, response_writer: ResponseWriter
    ) -> None:
        self.submitted.append((handed, response_writer))
        self.came.set()
        if self.immediate_status is not None:
            response_writer.answer(self.immediate_status)

    async def open(self) -> ServerHarness:
        await self.server.listen("127.0.0.1", 0)
        assert self.server.listener is not None
        self.port = int(self.server.listener.sockets[0].getsockname()[1])
        return self

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test():
                await asyncio.sleep(0.001)

    async def idle_client(self) -> ClientSocket:
        """Return a client that has had a response and keeps its connection open."""
        client = ClientSocket(self.port)
        client.send(UP)
        assert (await client.answer())[0] in (200, 503)
        return client

    async def waiting_client(self, name: str = "m") -> ClientSocket:
        """Return a client whose message has arrived and is not answered."""
        client, before = ClientSocket(self.port), len(self.submitted)
        client.send(message(name))
        await self.until(lambda: len(self.submitted) > before)
        return client

    def connection_of(self, client: ClientSocket) -> ClientConnection:
        """Return the forwarder's end of a client's connection."""
        name = client.socket.getsockname()
        return next(
            c
            for c in self.server.connections
            if c.transport is not None
            and c.transport.get_extra_info("peername") == name
        )

    async def until_no_connections(self) -> None:
        await self.until(lambda: not self.server.connections)


def play(scene: Callable[[ServerHarness], Awaitable[None]], most: int = 20) -> None:
    async def run() -> None:
        harness = await ServerHarness(most).open()
        await scene(harness)
        await harness.server.close()
        assert not harness.server.accept_tasks

    asyncio.run(run())


# Closing of idle connections


def test_unread_request_is_answered_when_drain_closes_its_connection() -> None:
    async def scene(harness: ServerHarness) -> None:
        client = await harness.idle_client()
        harness.immediate_status = HTTPStatus.ACCEPTED
        client.send(message("m"))
        harness.server.drain()
        status, head = await client.answer()
        assert (status, [h.id for h, _ in harness.submitted]) == (202, ["m"])
        assert "Connection: close" in head and await client.read_to_end() == b""

    play(scene)


def test_unread_request_is_answered_when_idle_connections_are_swept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(harness: ServerHarness) -> None:
        client, other = await harness.idle_client(), await harness.idle_client()
        harness.immediate_status = HTTPStatus.ACCEPTED
        monkeypatch.setattr(server_file, "IDLE_CONNECTION_US", 0)
        client.send(message("m"))
        harness.server.sweep()
        monkeypatch.undo()
        assert (await client.answer())[
            0
        ] == 202  # it came in time, and its connection stays open
        client.send(message("n"))
        assert (await client.answer())[0] == 202
        assert (
            await other.read_to_end() == b""
        )  # no request had come on this connection
        assert [h.id for h, _ in harness.submitted] == ["m", "n"]

    play(scene)


@pytest.mark.parametrize("how", ["drain", "sweep"])
def test_request_after_the_socket_shutdown_is_discarded_without_a_reset(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(harness: ServerHarness) -> None:
        client = await harness.idle_client()
        monkeypatch.setattr(server_file, "IDLE_CONNECTION_US", 0)
        getattr(harness.server, how)()
        client.send(message("m"))
        assert await client.read_to_end() == b""
        client.send(
            message("n") * 20
        )  # more bytes, after the client has read the connection's end
        connection = harness.connection_of(client)
        await harness.until(
            lambda: connection.raw_bytes == len(message("m")) * 21
        )  # read and discarded
        assert (
            not harness.submitted
            and client.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        )
        client.socket.close()
        await harness.until_no_connections()

    play(scene)


@pytest.mark.parametrize("how", ["draining", "handed_over"])
def test_response_arrives_though_another_request_follows_unread(how: str) -> None:
    async def scene(harness: ServerHarness) -> None:
        client = await harness.waiting_client()
        setattr(harness.server, how, True)
        client.send(message("crossed"))  # unread when the response ends the connection
        harness.submitted[0][1].answer(HTTPStatus.ACCEPTED)
        status, head = await client.answer()
        assert status == 202 and "Connection: close" in head
        assert await client.read_to_end() == b""
        connection = harness.connection_of(client)
        await harness.until(lambda: connection.raw_bytes == len(message("crossed")))
        assert [h.id for h, _ in harness.submitted] == ["m"]

    play(scene)


def test_reset_during_the_socket_shutdown_does_not_affect_other_clients() -> None:
    async def scene(harness: ServerHarness) -> None:
        client, other = await harness.idle_client(), await harness.idle_client()
        connection = harness.connection_of(client)
        client.reset()
        connection.finish()  # shutting down a socket that was reset raises an error
        harness.server.drain()
        assert await other.read_to_end() == b""
        other.socket.close()
        await harness.until_no_connections()

    play(scene)


def test_new_connection_is_kept_until_its_first_request_or_grace_period(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(harness: ServerHarness) -> None:
        client, silent = ClientSocket(harness.port), ClientSocket(harness.port)
        await harness.until(lambda: len(harness.server.connections) == 2)
        harness.server.drain()
        harness.immediate_status = HTTPStatus.ACCEPTED
        client.send(message("m"))
        assert (await client.answer())[0] == 202 and await client.read_to_end() == b""
        monkeypatch.setattr(connection_registry, "FIRST_REQUEST_GRACE_US", 0)
        harness.server.drain()
        assert (
            await silent.read_to_end() == b""
        )  # closed when the grace period has expired

    play(scene)


# Requests after a response that ends the connection


def test_two_complete_requests_before_the_end_are_both_answered() -> None:
    async def scene(harness: ServerHarness) -> None:
        harness.server.draining, harness.immediate_status = True, HTTPStatus.ACCEPTED
        client = ClientSocket(harness.port)
        client.send(message("a") + message("b"))
        first, second = await client.answer(), await client.answer()
        assert (first[0], second[0]) == (202, 202)
        assert "Connection: close" not in first[1] and "Connection: close" in second[1]
        assert await client.read_to_end() == b""

    play(scene)


@pytest.mark.parametrize("at_once", [True, False])
def test_request_after_a_connection_close_request_is_not_accepted(
    at_once: bool,
) -> None:
    async def scene(harness: ServerHarness) -> None:
        client = ClientSocket(harness.port)
        if at_once:
            harness.immediate_status = HTTPStatus.ACCEPTED
        client.send(message("a", Connection="close") + message("b"))
        await harness.until(lambda: bool(harness.submitted))
        if not at_once:
            harness.submitted[0][1].answer(HTTPStatus.ACCEPTED)
        assert (await client.answer())[0] == 202
        assert await client.read_to_end() == b"" and [
            h.id for h, _ in harness.submitted
        ] == ["a"]

    play(scene)


def test_request_after_a_failed_response_write_is_not_accepted() -> None:
    """The transport is closing, and the loop has not reported the lost connection yet."""

    async def scene(harness: ServerHarness) -> None:
        client = ClientSocket(harness.port)
        harness.submitted.clear()
        client.send(message("a") + message("b"))
        await harness.until(lambda: bool(harness.submitted))
        connection = harness.connection_of(client)
        assert [r.headers["x-correlation-id"] for r in connection.queued_requests] == [
            "b"
        ]
        client.reset()
        harness.submitted[0][1].answer(HTTPStatus.ACCEPTED)  # the write fails
        assert connection.transport is not None and connection.transport.is_closing()
        connection.process_next()
        assert [h.id for h, _ in harness.submitted] == ["a"]
        await harness.until_no_connections()

    play(scene)


# The listener and the end of the process


@pytest.mark.parametrize("how", ["hand_over", "stop_listening"])
def test_connection_accepted_as_the_listener_closes_is_served(
    how: str,
) -> None:
    async def scene(harness: ServerHarness) -> None:
        harness.immediate_status = HTTPStatus.ACCEPTED
        client = ClientSocket(harness.port)
        client.send(message("m"))
        # Runs in the loop iteration that accepts the connection, after the accept.
        asyncio.get_running_loop().call_later(0, getattr(harness.server, how))
        assert (await client.answer())[0] == 202
        assert harness.server.listener is None
        with pytest.raises(ConnectionRefusedError):
            ClientSocket(harness.port)

    play(scene)


@pytest.mark.parametrize("how", ["hand_over", "close"])
def test_connection_in_the_backlog_when_the_listener_closes_is_served(how: str) -> None:
    async def scene(harness: ServerHarness) -> None:
        harness.immediate_status = HTTPStatus.SERVICE_UNAVAILABLE
        asking, silent = ClientSocket(harness.port), ClientSocket(harness.port)
        asking.send(message("m"))
        ending: Any = getattr(
            harness.server, how
        )()  # no loop iteration has run: none is accepted
        if ending is not None:
            ending = asyncio.create_task(ending)
        assert (await asking.answer())[0] == 503
        nodelay = [
            c.transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY
            )
            for c in harness.server.connections
            if c.transport is not None
        ]
        assert nodelay and all(nodelay)
        assert await asking.read_to_end() == b""
        if ending is not None:
            assert await silent.read_to_end() == b""
            await ending

    play(scene)


def test_tcp_nodelay_is_set_on_client_connections() -> None:
    """Small writes are sent at once, so none is lost with a connection that is reset."""

    async def scene(harness: ServerHarness) -> None:
        client = await harness.idle_client()
        transport = harness.connection_of(client).transport
        assert transport is not None
        assert transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY
        )

    play(scene)


def test_close_answers_open_requests_503_and_closes_silent_connections() -> None:
    async def scene(harness: ServerHarness) -> None:
        disconnected: list[str] = []
        busy, resting, silent, half = (
            await harness.waiting_client(),
            await harness.idle_client(),
            ClientSocket(harness.port),
            ClientSocket(harness.port),
        )
        harness.submitted[0][1].on_disconnect = lambda: disconnected.append("m")
        half.send(HALF)
        await harness.until(
            lambda: (
                len(harness.server.connections) == 4
                and any(
                    c.incomplete_request is not None for c in harness.server.connections
                )
            )
        )
        ending = asyncio.create_task(harness.server.close())
        for client in (busy, half):
            status, head = await client.answer()
            assert status == 503 and "Connection: close" in head
            assert await client.read_to_end() == b""
        assert disconnected == [
            "m"
        ]  # the holder of the message was notified before the 503 was sent
        assert await resting.read_to_end() == await silent.read_to_end() == b""
        half.send(message("half")[-3:])  # its rest crosses the 503, and causes no reset
        for client in (busy, resting, silent, half):
            client.socket.close()
        await ending
        assert [h.id for h, _ in harness.submitted] == [
            "m"
        ] and not harness.server.connections

    play(scene)


def test_close_answers_a_queued_request_503_too() -> None:
    async def scene(harness: ServerHarness) -> None:
        client = ClientSocket(harness.port)
        client.send(message("a") + message("b"))
        await harness.until(lambda: bool(harness.submitted))
        ending = asyncio.create_task(harness.server.close())
        assert [(await client.answer())[0] for _ in range(2)] == [503, 503]
        assert await client.read_to_end() == b"" and [
            h.id for h, _ in harness.submitted
        ] == ["a"]
        await ending

    play(scene)


def test_response_given_during_close_is_sent_instead_of_503() -> None:
    """Another process has accepted the message, and its 202 is on the way."""

    async def scene(harness: ServerHarness) -> None:
        client = await harness.waiting_client()
        connection, shut_down_called = harness.connection_of(client), asyncio.Event()
        original_shut_down = connection.shut_down

        def recording_shut_down(at_once: bool) -> None:
            original_shut_down(at_once)
            shut_down_called.set()

        connection.shut_down = recording_shut_down  # type: ignore[method-assign]
        ending = asyncio.create_task(harness.server.close(PATIENCE))
        async with asyncio.timeout(PATIENCE):
            await shut_down_called.wait()
        harness.submitted[0][1].answer(HTTPStatus.ACCEPTED)
        assert (await client.answer())[0] == 202 and await client.read_to_end() == b""
        client.socket.close()
        await ending

    play(scene)


def test_first_request_of_a_new_connection_is_answered_while_the_process_ends() -> None:
    """The connection was made before the end; its request comes a moment later."""

    async def scene(harness: ServerHarness) -> None:
        harness.immediate_status = HTTPStatus.SERVICE_UNAVAILABLE
        client = ClientSocket(harness.port)
        await harness.until(lambda: len(harness.server.connections) == 1)
        ending = asyncio.create_task(harness.server.close(PATIENCE))
        await harness.until(lambda: harness.server.listener is None)
        for _ in range(2 * connection_registry.SETTLE_LOOP_ITERATIONS):
            await asyncio.sleep(0)
        client.send(message("m"))
        assert (await client.answer())[0] == 503 and await client.read_to_end() == b""
        client.socket.close()
        await ending

    play(scene)


def test_close_ends_though_clients_keep_their_connections_open() -> None:
    async def scene(harness: ServerHarness) -> None:
        clients = [await harness.idle_client(), await harness.waiting_client()]
        connections = list(harness.server.connections)
        async with asyncio.timeout(PATIENCE):
            await harness.server.close()
        await harness.until(lambda: all(c.transport is None for c in connections))
        del clients

    play(scene)


def test_lingering_ends_though_the_client_keeps_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scene(harness: ServerHarness) -> None:
        monkeypatch.setattr(server_file, "LINGER_S", 0.001)
        client = await harness.idle_client()
        harness.server.drain()
        assert await client.read_to_end() == b""
        async with asyncio.timeout(PATIENCE):
            with pytest.raises(ConnectionError):
                while True:
                    client.send(UP)
                    await asyncio.sleep(0.01)
        await harness.until_no_connections()

    play(scene)


def test_lingering_connections_are_evicted_first() -> None:
    async def scene(harness: ServerHarness) -> None:
        lingering, resting = await harness.idle_client(), await harness.idle_client()
        harness.connection_of(lingering).finish()
        lingering_connection = harness.connection_of(lingering)
        harness.connection_of(resting).last_used_us = 0  # idle for longer
        another = await harness.idle_client()
        await harness.until(
            lambda: lingering_connection not in harness.server.connections
        )
        for client in (resting, another):
            client.send(UP)
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


class RunningEngine:
    """An engine in the test's own loop, so that a test decides when its steps run."""

    def __init__(self, folder: Path, platform: Platform, **more: Any) -> None:
        self.engine = engine(folder, platform, **more)
        self.task = asyncio.create_task(self.engine.run())

    async def ready(self) -> RunningEngine:
        await self.until(lambda: self.engine.serving)
        assert self.engine.server.listener is not None
        self.port = int(self.engine.server.listener.sockets[0].getsockname()[1])
        return self

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test():
                assert not self.task.done() or test(), self.task
                await asyncio.sleep(0.001)

    def begin_shutdown(self, ago_s: float) -> None:
        """Set the state as if SIGTERM came `ago_s` seconds ago; the test runs the next
        shutdown step.
        """
        self.engine.state.shutdown_started_s = asyncio.get_running_loop().time() - ago_s
        self.engine.server.draining = True

    async def end(self) -> None:
        self.engine.state.stopped.set()
        async with asyncio.timeout(PATIENCE):
            assert await self.task is False


def run_engine_scene(
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


def test_message_after_the_last_shutdown_step_is_answered_503(tmp_path: Path) -> None:
    """After the last shutdown step and before the process exits, the loop may still
    read a client's request. Such a message used to be accepted, never processed, and
    cut off without a response.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, answer_in_turn(OK))
        run = await RunningEngine(folder, platform).ready()
        answers: list[HTTPStatus] = []

        class Waiting:
            on_disconnect: Callable[[], None] | None = None

            def answer(
                self, status: HTTPStatus, text: str = "", **headers: str
            ) -> None:
                answers.append(status)

        run.begin_shutdown(1.0)
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

    run_engine_scene(scene, tmp_path)


def test_engine_without_messages_answers_503_to_requests_at_its_end(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, answer_in_turn(OK))
        run = await RunningEngine(folder, platform).ready()
        resting, unaccepted = ClientSocket(run.port), None
        resting.send(UP)
        assert (await resting.answer())[0] == 200
        run.begin_shutdown(1.0)
        resting.send(message("a"))
        unaccepted = ClientSocket(run.port)
        unaccepted.send(message("b"))
        run.engine.shutdown.advance_shutdown()
        for client in (resting, unaccepted):
            status, head = await client.answer()
            assert (
                status == 503
                and "Connection: close" in head
                and await client.read_to_end() == b""
            )
            client.socket.close()
        await run.end()
        assert not peer.requests and not run.engine.server.connections

    run_engine_scene(scene, tmp_path)


@pytest.mark.parametrize("step", ["freeze", "exit"])
def test_call_connected_after_the_freeze_is_sent_by_the_next_process_only(
    tmp_path: Path, step: str
) -> None:
    """A call sent just before the end, or left in the journal as in flight, counts as
    possibly executed: a message that must not be repeated was then failed without any
    call.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, answer_in_turn(OK))
        run = await RunningEngine(folder, platform).ready()
        may_connect, dialing = asyncio.Event(), asyncio.Event()
        dial = run.engine.pool.dial

        async def dial_late(*args: Any) -> None:
            dialing.set()
            await may_connect.wait()
            await dial(*args)

        run.engine.pool.dial = dial_late  # type: ignore[method-assign]
        client = ClientSocket(run.port)
        client.send(message("m", "pay", Idempotency_Key=None))
        assert (await client.answer())[0] == 202
        async with asyncio.timeout(PATIENCE):
            await dialing.wait()
        if step == "freeze":
            run.begin_shutdown(shutdown.FREEZE_AFTER_S)
            run.engine.shutdown.advance_shutdown()
            may_connect.set()
            await asyncio.wait(set(run.engine.pool.dial_tasks), timeout=PATIENCE)
        client.socket.close()
        dials = set(run.engine.pool.dial_tasks)
        await run.end()
        for task in dials:  # the process has ended, and its dials with it
            task.cancel()
        assert not peer.requests
        next_run = await RunningEngine(folder, platform).ready()
        await peer.wait_for_requests(1)
        assert (
            peer.requests[0].headers["x-correlation-id"] == "m" and not platform.notices
        )
        await next_run.end()

    run_engine_scene(scene, tmp_path)


def test_longest_shutdown_ends_before_sigkill() -> None:
    """SIGKILL may come 3.7 s after SIGTERM."""
    longest = (
        shutdown.EXIT_AFTER_S
        + shutdown.SHUTDOWN_STEP_S
        + startup.FINAL_COMMIT_TIMEOUT_S
        + CLOSE_GRACE_S
    )
    assert longest <= 3.66
    assert (
        shutdown.ACCEPT_PERIOD_S + connection_registry.FIRST_REQUEST_GRACE_US / 1e6
        < shutdown.FREEZE_AFTER_S
        < shutdown.EXIT_AFTER_S
    )


def test_client_grace_at_the_end_fits_before_sigkill_at_every_step(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        test_engine = engine(tmp_path, Platform())
        now = asyncio.get_running_loop().time()
        for elapsed_s in (1.0, 2.8, 3.0, 3.3, 3.5):
            test_engine.state.shutdown_started_s = now - elapsed_s
            assert (
                CLOSE_GRACE_S
                <= test_engine.shutdown.client_grace_s()
                <= max(CLOSE_GRACE_S, shutdown.EXIT_AFTER_S + CLOSE_GRACE_S - elapsed_s)
                + 1e-6
            )
        test_engine.state.shutdown_started_s = now - 1.0
        assert test_engine.shutdown.client_grace_s() == shutdown.CLIENT_CLOSE_S
        test_engine.store.close()

    asyncio.run(scene())


def test_idle_client_sees_no_reset_at_the_end_and_its_late_request_is_discarded(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        run = await RunningEngine(folder, platform).ready()
        resting, busy = ClientSocket(run.port), ClientSocket(run.port)
        for client, data in ((resting, UP), (busy, message("held", "status"))):
            client.send(data)
            assert (await client.answer())[0] in (200, 202)
        await peer.wait_for_requests(1)
        run.begin_shutdown(1.0)
        run.engine.shutdown.advance_shutdown()
        resting.send(message("crossed"))  # after the shutdown
        assert await resting.read_to_end() == await busy.read_to_end() == b""
        resting.socket.close()
        await run.end()
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["held"]
        next_run = await RunningEngine(folder, platform).ready()
        await peer.wait_for_requests(2)
        assert {r.headers["x-correlation-id"] for r in peer.requests} == {"held"}
        await next_run.end()
        assert not caplog.messages

    with caplog.at_level(logging.ERROR):
        run_engine_scene(scene, tmp_path)
