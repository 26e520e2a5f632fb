"""File descriptors: how many a flood of clients may hold at most, and how many stay
reserved for calls, discovery, the journal and the admin address.
"""

from __future__ import annotations

import asyncio
import errno
import os
import resource
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from rainfall.forwarder.admin.admin_server import ACCEPT_BATCH as ADMIN_ACCEPTS
from rainfall.forwarder.admin.admin_server import MAX_CONNECTIONS, AdminServer
from rainfall.forwarder.config.loading import Address, Config, EndpointList
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.engine.engine_state import Clock
from rainfall.forwarder.engine.sockets import RESERVED_DESCRIPTORS
from rainfall.forwarder.inbound.eviction import FIRST_REQUEST_WAIT_US
from rainfall.forwarder.inbound.server import (
    ACCEPT_BATCH,
    ACCEPT_LOOP_ITERATIONS,
    InboundServer,
)
from rainfall.forwarder.message_store import AcceptedMessage, MessageStore
from rainfall.journal.files import LocalFileSystem
from rainfall.wirehost import parse_settings
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    SETTINGS,
    Answer,
    Node,
    Peer,
    Platform,
    Request,
    answer_in_turn,
    free_port,
)


def open_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def port_of(listener: asyncio.Server | None) -> int:
    assert listener is not None
    return int(listener.sockets[0].getsockname()[1])


async def max_open_descriptors(condition: Callable[[], bool]) -> int:
    """The greatest number of open descriptors in any loop iteration until the condition
    holds.
    """
    most = open_descriptors()
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0)
            most = max(most, open_descriptors())
    return most


@pytest.mark.parametrize(
    "says",
    [
        b"",
        b"\x16\x03\x01",
        b"POST /order HTTP/1.1\r\nX-",
        b"GET /no HTTP/1.1\r\nConnection: close\r\n\r\n",
    ],
)
def test_burst_of_connections_stays_within_the_limit_in_every_loop_iteration(
    says: bytes,
) -> None:
    """Many accepts fall into one loop iteration, and an evicted connection keeps its
    descriptor until the next one: each new connection evicts one of its own. Rejected
    connections that are still read for a while and closing ones count too.
    """

    class Counting(InboundServer):
        added = 0

        def add_connection(self, connection: object) -> None:
            self.added += 1
            super().add_connection(connection)  # type: ignore[arg-type]

    async def scene() -> None:
        server = Counting(
            parse_settings(SETTINGS),
            Clock(),
            5,
            lambda submitted, response_writer: None,
        )
        await server.listen("127.0.0.1", 0)
        clients = [
            socket.create_connection(("127.0.0.1", port_of(server.listener)))
            for _ in range(120)
        ]
        for client in clients:
            client.sendall(says)
        before = open_descriptors()
        most = await max_open_descriptors(
            lambda: server.added == len(clients) and len(server.connections) <= 5
        )
        assert most - before <= 5 + ACCEPT_LOOP_ITERATIONS * ACCEPT_BATCH
        await server.close()
        for client in clients:
            client.close()

    asyncio.run(scene())


@pytest.mark.parametrize("others", [0, 1])
def test_incomplete_requests_are_evicted_for_complete_ones(
    others: int,
) -> None:
    """All connections but those that had an answer before hold an incomplete request.
    `/up` is answered on new connections: those that never completed a request are
    evicted, and those that were served before stay.
    """

    async def scene() -> None:
        now = [1_000_000_000]
        server = InboundServer(
            parse_settings(SETTINGS),
            lambda: now[0],
            5,
            lambda submitted, response_writer: None,
        )
        await server.listen("127.0.0.1", 0)
        port = port_of(server.listener)
        served = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(others)
        ]
        for streams in served:
            await check_up(*streams)
        incomplete = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(5 - others)
        ]
        for _, writer in incomplete:
            writer.write(b"POST /order HTTP/1.1\r\nX-")
        async with asyncio.timeout(PATIENCE):
            while sum(
                c.incomplete_request is not None for c in server.connections
            ) < len(incomplete):
                await asyncio.sleep(0.001)
        now[0] += FIRST_REQUEST_WAIT_US
        for _ in incomplete:
            await check_up(*await asyncio.open_connection("127.0.0.1", port))
        for streams in served:
            await check_up(*streams)
        await server.close()

    asyncio.run(scene())


def test_unread_connection_is_not_evicted_while_idle_ones_fill_the_limit() -> None:
    """Idle connections that were served fill the limit. A client connects and sends its
    request at once, and 100 more connect before its request can be read.
    """

    async def scene() -> None:
        server = InboundServer(
            parse_settings(SETTINGS),
            lambda: 1_000_000_000,
            64,
            lambda submitted, response_writer: None,
        )
        await server.listen("127.0.0.1", 0)
        port = port_of(server.listener)
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(64)]
        for streams in idle:
            await check_up(*streams)
        client = socket.create_connection(("127.0.0.1", port))
        client.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(100)]
        async with asyncio.timeout(PATIENCE):
            client.setblocking(False)
            response = await asyncio.get_running_loop().sock_recv(client, 100)
        assert response.startswith(b"HTTP/1.1 200"), (
            response or "closed without an answer"
        )
        await server.close()
        for sock in [client, *silent]:
            sock.close()

    asyncio.run(scene())


async def check_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
    async with asyncio.timeout(PATIENCE):
        status_line = await reader.readline()
        assert status_line.startswith(b"HTTP/1.1 200"), (
            status_line or "closed without an answer"
        )
        await reader.readuntil(b"up\n")


IDLE_CLIENT_BYTES = (
    b"",
    b"\r\n",
    b"POST /order HTTP/1.1\r\nX-",
    b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n",
)


class Flood:
    """Connections that send nothing, blank lines or an incomplete request, or that are
    idle after one answer. They stay open until they are closed; `fill` adds more.
    """

    def __init__(self, port: int) -> None:
        self.port, self.sockets = port, list[socket.socket]()

    def fill(self, count: int) -> None:
        for n in range(count):
            sock = socket.create_connection(("127.0.0.1", self.port))
            sock.sendall(IDLE_CLIENT_BYTES[n % len(IDLE_CLIENT_BYTES)])
            self.sockets.append(sock)

    def end(self) -> None:
        for sock in self.sockets:
            sock.close()


class Outage:
    """An outage of the discovery agent: its process is gone, or it does not answer."""

    def __init__(self, platform: Platform) -> None:
        self.platform, self.returned = platform, asyncio.Event()

    async def begin(self, silent: bool) -> None:
        if silent:
            answer = self.platform.handler

            async def answer_after_return(request: Request) -> Answer | bytes | None:
                await self.returned.wait()
                return await answer(request)

            self.platform.handler = answer_after_return
        else:
            self.platform.server.close()
        for request in self.platform.requests:
            request.writer.transport.abort()

    async def end(self, silent: bool) -> None:
        self.returned.set()
        if not silent:
            await self.platform.start()


@pytest.mark.parametrize("silent", [False, True])
def test_idle_clients_leave_descriptors_for_discovery_notifications_journal_and_calls(
    silent: bool, tmp_path: Path
) -> None:
    """The process is limited to the descriptors of its configuration, clients fill the
    connection limit all the time, and discovery is down. `/up`, submissions, calls and a
    journal rewrite still work; the endpoint list and the notifications resume when
    discovery returns.
    """

    async def scene() -> None:
        platform = Platform()
        await platform.start()
        peer = await Peer(answer_in_turn(OK)).start()
        failing_peer = await Peer(answer_in_turn(Answer(500))).start()
        platform.host("good", peer.port)
        platform.host("bad", failing_peer.port, block=8)
        node = await Node(tmp_path, platform, max_open=1000).start()
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (256, 256))
        outage, flood = Outage(platform), Flood(node.port)
        try:
            await outage.begin(silent)
            for n in range(12):
                flood.fill(150)
                await check_up(*await asyncio.open_connection("127.0.0.1", node.port))
                flood.fill(50)
                assert (await node.hand_in(f"m{n}", body=60_000 * b"a"))[0] == 202
                await peer.wait_for_requests(n + 1)
            assert (await node.hand_in("ends", "status", left="1", dest=8))[0] == 202
            await failing_peer.wait_for_requests(1)
            flood.fill(150)
            platform.seq += 1
            platform.hosts["good"]["health"] = "draining"
            platform.news[platform.seq] = [dict(platform.hosts["good"])]
            await outage.end(silent)
            await node.until_logged(": endpoint list version 2: ")
            assert (await platform.notice("ends"))["state"] in ("failed", "returned")
            await check_up(*await asyncio.open_connection("127.0.0.1", node.port))
            figures = await node.figures()
            assert (
                figures["journal"]["rewrites"] > 0 and not figures["journal"]["faults"]
            )
            log = "".join(node.log)
            assert (
                "out of system resource" not in log and "Too many open files" not in log
            )
        finally:
            flood.end()
            await node.end()

    asyncio.run(scene())


def test_burst_at_the_admin_address_stays_within_its_limit_in_every_loop_iteration() -> (
    None
):
    """The admin address has a small share of descriptors of its own: without a bound its
    connections would take those of the other shares.
    """

    async def scene() -> None:
        admin = AdminServer()
        port = free_port()
        await admin.listen(Address("127.0.0.1", port))
        clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(60)]
        before = open_descriptors()
        last = socket.create_connection(("127.0.0.1", port))
        last.sendall(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
        last.setblocking(False)
        answer = asyncio.create_task(asyncio.get_running_loop().sock_recv(last, 100))
        most = await max_open_descriptors(answer.done)
        assert (
            most - before
            <= 1 + MAX_CONNECTIONS + ACCEPT_LOOP_ITERATIONS * ADMIN_ACCEPTS
        )
        assert answer.result().startswith(b"HTTP/1.1 503")
        admin.close()
        for sock in [last, *clients]:
            sock.close()

    asyncio.run(scene())


@pytest.mark.parametrize("sockets", [*range(256, 1025, 32)])
def test_descriptor_shares_fit_the_limit_and_leave_a_third_for_requests(
    sockets: int, tmp_path: Path
) -> None:
    """The sum that is given beside the constants: clients and those that connect while
    others are evicted, calls, the admin address, and one descriptor for each other use,
    all at the same time.
    """

    async def scene() -> None:
        engine = engine_on(tmp_path, sockets)
        clients = engine.server.max_connections + ACCEPT_LOOP_ITERATIONS * ACCEPT_BATCH
        operators = 1 + MAX_CONNECTIONS + ACCEPT_LOOP_ITERATIONS * ADMIN_ACCEPTS
        assert (
            clients + engine.pool.max_connections + operators + RESERVED_DESCRIPTORS
            <= sockets
        )
        assert (
            engine.server.max_connections >= sockets // 3
        )  # TERMS: clients use no more for requests
        engine.store.close()

    asyncio.run(scene())


def test_descriptor_shares_follow_a_lower_process_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        monkeypatch.setattr(resource, "getrlimit", lambda which: (300, 300))
        engine = engine_on(tmp_path, 1024)
        low = engine.server.max_connections, engine.pool.max_connections
        engine.allocate_sockets(300)
        assert (engine.server.max_connections, engine.pool.max_connections) == low
        monkeypatch.setattr(
            resource, "getrlimit", lambda which: (resource.RLIM_INFINITY,) * 2
        )
        engine.allocate_sockets(1024)
        assert engine.server.max_connections > 2 * low[0]
        engine.store.close()

    asyncio.run(scene())


async def open_files(pid: int) -> list[str]:
    return [os.readlink(f"/proc/{pid}/fd/{n}") for n in os.listdir(f"/proc/{pid}/fd")]


def test_idle_process_holds_at_most_the_reserved_descriptors(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        platform = Platform()
        await platform.start()
        node = Node(tmp_path, platform)
        node.hold_listener()
        await node.start()
        try:
            await platform.wait_for_requests(1)
            assert len(await open_files(node.process.pid)) <= RESERVED_DESCRIPTORS
        finally:
            await node.end()
            assert node.listener is not None
            node.listener.close()

    asyncio.run(scene())


def engine_on(folder: Path, sockets: int) -> Engine:
    listen = Address("127.0.0.1", 9)
    return Engine(
        Config(
            "n",
            listen,
            listen,
            folder,
            1,
            192,
            sockets,
            3_000_000,
            EndpointList(1, True, ()),
            parse_settings(SETTINGS),
            (),
        )
    )


class DescriptorLimitedFileSystem(LocalFileSystem):
    """A file system whose `open` or directory sync fails with EMFILE while `failing`
    names it.
    """

    failing = ""

    def open(self, path: Path, truncate: bool = False) -> int:
        if self.failing == "open":
            raise OSError(errno.EMFILE, "Too many open files")
        return super().open(path, truncate)

    def sync_directory(self, path: Path) -> None:
        if self.failing == "folder":
            raise OSError(errno.EMFILE, "Too many open files")
        super().sync_directory(path)


@pytest.mark.parametrize(
    ("power", "fails_at"), [(False, "open"), (True, "open"), (True, "folder")]
)
def test_journal_rewrite_without_a_free_descriptor_loses_no_message(
    power: bool, fails_at: str, tmp_path: Path
) -> None:
    """The journal has grown so far that it is rewritten, and the process has no descriptor
    left. Accepted messages stay, also over a kill at that moment; no message is accepted
    that is not stored; and once a descriptor is free again, the store works as before.
    """
    files, jobs = DescriptorLimitedFileSystem(), list[Callable[[], None]]()

    def worker(job: Callable[[], None], done: Callable[[OSError | None], None]) -> None:
        def run() -> None:
            failure = None
            try:
                job()
            except OSError as error:
                failure = error
            done(failure)

        jobs.append(run)

    def run_jobs() -> None:
        while jobs:
            jobs.pop(0)()

    store = MessageStore(
        tmp_path, 3_000_000, worker=worker if power else None, files=files
    )
    run_jobs()
    committed: list[str] = []
    for n in range(20):
        name = f"m{n}"
        store.append_message(
            AcceptedMessage(name, "order", 7, 10**16, f"k{n}", "acme", b"a" * 20_000)
        )
        store.commit(lambda ok, name=name: committed.append(name) if ok else None)  # type: ignore[misc]
        run_jobs()
        if (
            name not in committed or 1 < n < 19
        ):  # so that the file grows while the live messages do not
            store.append_finished(name)
        files.failing = fails_at
    assert store.failed and not store.has_capacity(10)
    live = [name for name in committed if name in store.messages]
    assert live[:2] == ["m0", "m1"]
    after_kill = MessageStore(tmp_path, 3_000_000, write=False, files=LocalFileSystem())
    assert set(live) <= after_kill.messages.keys() and not after_kill.report.damaged
    files.failing = ""
    store.log.retry_at = 0
    store.log.retry_after_failure()
    run_jobs()
    assert not store.failed and store.has_capacity(10)
    store.close()
    assert list(MessageStore(tmp_path, 3_000_000).messages) == live
