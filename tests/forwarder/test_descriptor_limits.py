"""Descriptors: what a flood of clients may hold at most, and what the others keep for
themselves.
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
from rainfall.forwarder.inbound.server import (
    ACCEPT_BATCH,
    ACCEPT_LOOP_ITERATIONS,
    FIRST_REQUEST_WAIT_US,
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
    always,
    free_port,
)


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


@pytest.mark.parametrize(
    "says",
    [
        b"",
        b"\x16\x03\x01",
        b"POST /order HTTP/1.1\r\nX-",
        b"GET /no HTTP/1.1\r\nConnection: close\r\n\r\n",
    ],
)
def test_a_burst_of_connections_stays_within_the_bound_in_every_turn(
    says: bytes,
) -> None:
    """Many accepts fall into one turn of the loop, and a connection that makes room
    keeps its descriptor until the next: each newcomer needs one of its own to go. Those
    count as well that were refused and are read on for a while, and those that are
    closing.
    """

    class Counting(InboundServer):
        joins = 0

        def add_connection(self, connection: object) -> None:
            self.joins += 1
            super().add_connection(connection)  # type: ignore[arg-type]

    async def scene() -> None:
        server = Counting(
            parse_settings(SETTINGS), Clock(), 5, lambda handed, door: None
        )
        await server.listen("127.0.0.1", 0)
        clients = [
            socket.create_connection(("127.0.0.1", port_of(server.listener)))
            for _ in range(120)
        ]
        for client in clients:
            client.sendall(says)
        before = held()
        most = await most_held(
            lambda: server.joins == len(clients) and len(server.connections) <= 5
        )
        assert most - before <= 5 + ACCEPT_LOOP_ITERATIONS * ACCEPT_BATCH
        await server.close()
        for client in clients:
            client.close()

    asyncio.run(scene())


@pytest.mark.parametrize("others", [0, 1])
def test_half_requests_that_fill_the_door_make_room_for_who_comes_with_whole_ones(
    others: int,
) -> None:
    """All but those that had an answer before stand half read. `/up` is asked on new
    connections: it is answered, those go that never got to a whole request, and who was
    there before stays.
    """

    async def scene() -> None:
        now = [1_000_000_000]
        server = InboundServer(
            parse_settings(SETTINGS), lambda: now[0], 5, lambda handed, door: None
        )
        await server.listen("127.0.0.1", 0)
        port = port_of(server.listener)
        before = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(others)
        ]
        for streams in before:
            await up(*streams)
        halves = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(5 - others)
        ]
        for _, writer in halves:
            writer.write(b"POST /order HTTP/1.1\r\nX-")
        async with asyncio.timeout(PATIENCE):
            while sum(
                c.incomplete_request is not None for c in server.connections
            ) < len(halves):
                await asyncio.sleep(0.001)
        now[0] += FIRST_REQUEST_WAIT_US
        for _ in halves:
            await up(*await asyncio.open_connection("127.0.0.1", port))
        for streams in before:
            await up(*streams)
        await server.close()

    asyncio.run(scene())


def test_connections_that_rest_after_an_answer_push_out_nobody_who_was_not_read_yet() -> (
    None
):
    """The door is full of connections that were served and rest. A client comes and
    asks in the same moment, and more come behind it before its request can have been
    read.
    """

    async def scene() -> None:
        server = InboundServer(
            parse_settings(SETTINGS),
            lambda: 1_000_000_000,
            64,
            lambda handed, door: None,
        )
        await server.listen("127.0.0.1", 0)
        port = port_of(server.listener)
        resting = [await asyncio.open_connection("127.0.0.1", port) for _ in range(64)]
        for streams in resting:
            await up(*streams)
        client = socket.create_connection(("127.0.0.1", port))
        client.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        silent = [socket.create_connection(("127.0.0.1", port)) for _ in range(100)]
        async with asyncio.timeout(PATIENCE):
            client.setblocking(False)
            first = await asyncio.get_running_loop().sock_recv(client, 100)
        assert first.startswith(b"HTTP/1.1 200"), first or "closed without an answer"
        await server.close()
        for sock in [client, *silent]:
            sock.close()

    asyncio.run(scene())


async def up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
    async with asyncio.timeout(PATIENCE):
        first = await reader.readline()
        assert first.startswith(b"HTTP/1.1 200"), first or "closed without an answer"
        await reader.readuntil(b"up\n")


IDLERS = (
    b"",
    b"\r\n",
    b"POST /order HTTP/1.1\r\nX-",
    b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n",
)


class Flood:
    """Connections that say nothing, blank lines, half a request, or were served once
    and rest. They stay until they are closed, and come anew each time that the test
    says so.
    """

    def __init__(self, port: int) -> None:
        self.port, self.socks = port, list[socket.socket]()

    def fill(self, many: int) -> None:
        for n in range(many):
            sock = socket.create_connection(("127.0.0.1", self.port))
            sock.sendall(IDLERS[n % len(IDLERS)])
            self.socks.append(sock)

    def end(self) -> None:
        for sock in self.socks:
            sock.close()


class Outage:
    """The agent of discovery goes and comes back, by its process or by its silence."""

    def __init__(self, platform: Platform) -> None:
        self.platform, self.back = platform, asyncio.Event()

    async def begin(self, silent: bool) -> None:
        if silent:
            answer = self.platform.handler

            async def held(request: Request) -> Answer | bytes | None:
                await self.back.wait()
                return await answer(request)

            self.platform.handler = held
        else:
            self.platform.server.close()
        for request in self.platform.requests:
            request.writer.transport.abort()

    async def end(self, silent: bool) -> None:
        self.back.set()
        if not silent:
            await self.platform.start()


@pytest.mark.parametrize("silent", [False, True])
def test_idle_clients_take_no_descriptor_of_discovery_notices_journal_and_calls(
    silent: bool, tmp_path: Path
) -> None:
    """The process may hold just what its configuration says, the door is full and stays
    so, discovery is down. `/up`, hand-ins, calls and a new journal file go on; the list
    and the notices are had again on the return.
    """

    async def scene() -> None:
        platform = Platform()
        await platform.start()
        peer = await Peer(always(OK)).start()
        spoilt = await Peer(always(Answer(500))).start()
        platform.host("good", peer.port)
        platform.host("bad", spoilt.port, block=8)
        node = await Node(tmp_path, platform, max_open=1000).start()
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (256, 256))
        outage, flood = Outage(platform), Flood(node.port)
        try:
            await outage.begin(silent)
            for n in range(12):
                flood.fill(150)
                await up(*await asyncio.open_connection("127.0.0.1", node.port))
                flood.fill(50)
                assert (await node.hand_in(f"m{n}", body=60_000 * b"a"))[0] == 202
                await peer.got(n + 1)
            assert (await node.hand_in("ends", "status", left="1", dest=8))[0] == 202
            await spoilt.got(1)
            flood.fill(150)
            platform.seq += 1
            platform.hosts["good"]["health"] = "draining"
            platform.news[platform.seq] = [dict(platform.hosts["good"])]
            await outage.end(silent)
            await node.until_logged(": endpoint list version 2: ")
            assert (await platform.notice("ends"))["state"] in ("failed", "returned")
            await up(*await asyncio.open_connection("127.0.0.1", node.port))
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


def test_a_burst_at_the_operators_address_stays_within_its_bound_in_every_turn() -> (
    None
):
    """It holds few descriptors, and those of its own: else operators' calls would take
    the others'.
    """

    async def scene() -> None:
        admin = AdminServer()
        port = free_port()
        await admin.listen(Address("127.0.0.1", port))
        callers = [socket.create_connection(("127.0.0.1", port)) for _ in range(60)]
        before = held()
        last = socket.create_connection(("127.0.0.1", port))
        last.sendall(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
        last.setblocking(False)
        answer = asyncio.create_task(asyncio.get_running_loop().sock_recv(last, 100))
        most = await most_held(answer.done)
        assert (
            most - before
            <= 1 + MAX_CONNECTIONS + ACCEPT_LOOP_ITERATIONS * ADMIN_ACCEPTS
        )
        assert answer.result().startswith(b"HTTP/1.1 503")
        admin.close()
        for sock in [last, *callers]:
            sock.close()

    asyncio.run(scene())


@pytest.mark.parametrize("sockets", [*range(256, 1025, 32)])
def test_the_shares_leave_what_all_others_hold_and_a_third_for_requests(
    sockets: int, tmp_path: Path
) -> None:
    """The sum that stands beside the constants: clients and those that come while room
    is made, calls, the operators' address, and one descriptor each of everything else,
    all at once.
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


def test_the_shares_go_by_the_limit_of_the_process_where_that_is_lower(
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


async def base_of(pid: int) -> list[str]:
    return [os.readlink(f"/proc/{pid}/fd/{n}") for n in os.listdir(f"/proc/{pid}/fd")]


def test_a_process_at_rest_holds_no_more_than_is_counted_as_its_own(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        platform = Platform()
        await platform.start()
        node = Node(tmp_path, platform)
        node.hold_listener()
        await node.start()
        try:
            await platform.got(1)
            assert len(await base_of(node.process.pid)) <= RESERVED_DESCRIPTORS
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


class FewFiles(LocalFileSystem):
    """A system that has no descriptor left for another file, while the test says so."""

    out = ""

    def open(self, path: Path, anew: bool = False) -> int:
        if self.out == "open":
            raise OSError(errno.EMFILE, "Too many open files")
        return super().open(path, anew)

    def sync_directory(self, path: Path) -> None:
        if self.out == "folder":
            raise OSError(errno.EMFILE, "Too many open files")
        super().sync_directory(path)


@pytest.mark.parametrize(
    ("power", "fails_at"), [(False, "open"), (True, "open"), (True, "folder")]
)
def test_a_new_journal_file_that_gets_no_descriptor_costs_no_message(
    power: bool, fails_at: str, tmp_path: Path
) -> None:
    """The two events: the journal has grown so far that it is written anew, and the
    process has no descriptor. What was taken on stays, also over a kill in that moment;
    nothing new is promised that is not kept; and once there is a descriptor again, all
    is as before.
    """
    files, jobs = FewFiles(), list[Callable[[], None]]()

    def worker(job: Callable[[], None], done: Callable[[OSError | None], None]) -> None:
        def run() -> None:
            failed = None
            try:
                job()
            except OSError as error:
                failed = error
            done(failed)

        jobs.append(run)

    def work() -> None:
        while jobs:
            jobs.pop(0)()

    store = MessageStore(
        tmp_path, 3_000_000, worker=worker if power else None, files=files
    )
    work()
    promised: list[str] = []
    for n in range(20):
        name = f"m{n}"
        store.append_message(
            AcceptedMessage(name, "order", 7, 10**16, f"k{n}", "acme", b"a" * 20_000)
        )
        store.commit(lambda ok, name=name: promised.append(name) if ok else None)  # type: ignore[misc]
        work()
        if (
            name not in promised or 1 < n < 19
        ):  # so that the file grows and what it holds does not
            store.append_finished(name)
        files.out = fails_at
    assert store.failed and not store.has_capacity(10)
    kept = [name for name in promised if name in store.messages]
    assert kept[:2] == ["m0", "m1"]
    killed = MessageStore(tmp_path, 3_000_000, write=False, files=LocalFileSystem())
    assert set(kept) <= killed.messages.keys() and not killed.report.damaged
    files.out = ""
    store.log.retry_at = 0
    store.log.retry_after_failure()
    work()
    assert not store.failed and store.has_capacity(10)
    store.close()
    assert list(MessageStore(tmp_path, 3_000_000).messages) == kept
