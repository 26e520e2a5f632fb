"""Bad input from clients gets an error or a close in time, uses bounded memory, and
none of it is accepted as a message.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import struct
from asyncio.trsock import TransportSocket
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus
from pathlib import Path

import pytest

from rainfall.forwarder.inbound import server as inbound_server
from rainfall.forwarder.inbound.client_connection import (
    MAX_UNREAD_BYTES,
    ClientConnection,
)
from rainfall.forwarder.inbound.server import (
    InboundServer,
    ResponseWriter,
    SubmittedMessage,
)
from rainfall.wirehost import parse_settings
from tests.support.kernel_figures import memory_kb
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    SETTINGS,
    Node,
    Peer,
    Platform,
    answer_in_turn,
    message,
)

RESPONSE_DEADLINE_US = (
    3_000_000  # TERMS, Connections: an error or a close is due within 3 s of connecting
)
SWEEP_US = int(inbound_server.SWEEP_INTERVAL_S * 1_000_000)
LINGER_US = int(inbound_server.LINGER_S * 1_000_000)
Scene = Callable[["Door"], Awaitable[None]]


class Door(InboundServer):
    """An inbound server whose clock only the test advances, and that sweeps only when
    the test calls `sweep`.
    """

    def __init__(self, max_connections: int = 100) -> None:
        self.now, self.accepted_ids, self.joins = 1_000_000_000, [], 0
        super().__init__(
            parse_settings(SETTINGS),
            lambda: self.now,
            max_connections,
            self.adopt_socket,
        )
        self.settled = asyncio.Event()

    accepted_ids: list[str]

    def adopt_socket(self, handed: SubmittedMessage, responder: ResponseWriter) -> None:
        self.accepted_ids.append(handed.id)
        responder.answer(HTTPStatus.ACCEPTED)

    def port(self) -> int:
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, ClientConnection]:
        """Open a client connection; also returns the server's side of it."""
        before = set(self.connections)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port())
        await self.until(lambda: bool(self.connections - before))
        return reader, writer, next(iter(self.connections - before))

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not condition():
                await asyncio.sleep(0.001)

    async def send_and_wait_until_read(
        self, writer: asyncio.StreamWriter, connection: ClientConnection, data: bytes
    ) -> None:
        """Send bytes and wait until the server has read them."""
        seen = connection.raw_bytes
        writer.write(data)
        await self.until(
            lambda: (
                connection.raw_bytes != seen
                or connection.request_count > 0
                or connection.discarding_input
            )
        )

    def is_rejected(self, connection: ClientConnection) -> bool:
        """Whether the peer was given an error or a close."""
        return connection.discarding_input or not connection.is_open()


def play(
    scene: Scene, monkeypatch: pytest.MonkeyPatch, max_connections: int = 100
) -> None:
    async def run() -> None:
        monkeypatch.setattr(
            inbound_server, "SWEEP_INTERVAL_S", 3600.0
        )  # disables the periodic sweep
        server = Door(max_connections)
        await server.listen("127.0.0.1", 0)
        try:
            await scene(server)
        finally:
            await server.close()

    asyncio.run(run())


def test_time_limits_sum_up_to_less_than_the_response_deadline() -> None:
    """The sums stated beside the constants, with 0.2 s of margin for a late event loop."""
    limit_us = RESPONSE_DEADLINE_US - 200_000
    assert limit_us >= inbound_server.SILENT_CONNECTION_US + SWEEP_US
    assert limit_us >= inbound_server.STALLED_REQUEST_US + SWEEP_US
    assert (
        limit_us
        >= inbound_server.SILENT_CONNECTION_US
        + SWEEP_US
        + inbound_server.STALLED_FIRST_REQUEST_US
        + SWEEP_US
    )
    assert (
        inbound_server.STALLED_REQUEST_US + SWEEP_US + LINGER_US + SWEEP_US
        <= RESPONSE_DEADLINE_US
    )  # includes the end of the connection


HEAD = b"POST /order HTTP/1.1\r\nHost: x\r\n"


@pytest.mark.parametrize("begins_us", [0, 1_500_000, 1_999_999, 2_100_000])
@pytest.mark.parametrize(
    ("says", "goes_on"),
    [
        (b"P", b""),
        (b"\r\n", b"\r\n"),
        (HEAD + b"X-", b"a"),
        (HEAD + b"X-A: ", b"a"),
        (HEAD + b"Content-Length: 60000\r\n\r\nhel", b"l"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5000\r\nhe", b"l"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;a=", b"b"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-", b"b"),
    ],
)
def test_incomplete_first_request_gets_an_error_within_3_s_of_connecting(
    says: bytes, goes_on: bytes, begins_us: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request begins as late as a silent connection may and continues byte by byte,
    and each sweep runs just before a limit: the deadline for its error counts from
    connecting.
    """

    async def scene(server: Door) -> None:
        _, writer, connection = await server.connect()
        start = server.now
        begin, sweep = start + begins_us, start + SWEEP_US - 1
        while not server.is_rejected(connection):
            if begin <= sweep:
                server.now, begin = begin, sweep + 1
                await server.send_and_wait_until_read(
                    writer, connection, goes_on if connection.raw_bytes else says
                )
                if not goes_on:
                    begin = start + 10 * RESPONSE_DEADLINE_US
            else:
                server.now = sweep
                server.sweep()
                sweep += SWEEP_US
            assert server.now - start <= RESPONSE_DEADLINE_US - 200_000, (
                "neither an error nor a close"
            )
        assert not server.accepted_ids
        writer.close()

    play(scene, monkeypatch)


def test_client_that_reads_no_responses_is_closed_at_a_bound_of_unread_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each request is answered and the client reads none of the responses: the unread
    bytes stay bounded, and the connection is closed.
    """

    async def scene(server: Door) -> None:
        other = await server.connect()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, ("127.0.0.1", server.port()))
            await server.until(lambda: len(server.connections) == 2)
            connection = next(iter(server.connections - {other[2]}))
            max_unread = 0
            async with asyncio.timeout(PATIENCE):
                requests = 1000 * b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n"
                while (
                    connection.transport is not None
                    and max_unread < 64 * MAX_UNREAD_BYTES
                ):
                    with suppress(ConnectionError, TimeoutError):
                        await asyncio.wait_for(loop.sock_sendall(sock, requests), 0.1)
                    if connection.transport is not None:
                        max_unread = max(
                            max_unread, connection.transport.get_write_buffer_size()
                        )
        assert max_unread <= 2 * MAX_UNREAD_BYTES
        assert other[2].is_open()

    play(scene, monkeypatch)


def test_client_that_reads_late_gets_all_responses_in_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The client sends 40 requests at once, as no client should: each has its response,
    in order.
    """

    async def scene(server: Door) -> None:
        reader, writer, _ = await server.connect()
        writer.write(b"".join(message(f"m{n}") for n in range(40)))
        await server.until(lambda: len(server.accepted_ids) == 40)
        async with asyncio.timeout(PATIENCE):
            for _ in range(40):
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 202")
        assert server.accepted_ids == [f"m{n}" for n in range(40)]
        writer.close()

    play(scene, monkeypatch)


CHUNKED, FIVE = b"Transfer-Encoding: chunked\r\n", b"Content-Length: 5\r\n"
ONE_CHUNK = b"5\r\nhello\r\n0\r\n\r\n"


def post(
    more: bytes = b"",
    body: bytes = b"hello",
    line: bytes = b"POST /order HTTP/1.1",
    host: bytes = b"Host: origin.svc\r\n",
    account: bytes = b"acme",
    dest: bytes = b"dest=7",
) -> bytes:
    """Return a message that is complete except for what a test makes invalid."""
    return (
        line
        + b"\r\n"
        + host
        + b"X-Correlation-Id: bad\r\nX-Account: "
        + account
        + b"\r\nX-Time-Left: 50\r\nIdempotency-Key: k\r\nX-Addressing: "
        + dest
        + b"\r\n"
        + more
        + b"\r\n"
        + body
    )


INVALID_REQUESTS = {
    "both lengths": post(FIVE + CHUNKED, ONE_CHUNK),
    "both lengths the other way": post(CHUNKED + FIVE, ONE_CHUNK),
    "two lengths": post(FIVE + FIVE),
    "two lengths that differ": post(FIVE + b"Content-Length: 6\r\n"),
    "a list of lengths": post(b"Content-Length: 5, 5\r\n"),
    "a length below 0": post(b"Content-Length: -5\r\n"),
    "a signed length": post(b"Content-Length: +5\r\n"),
    "a length in hexadecimal": post(b"Content-Length: 0x5\r\n"),
    "a length that is empty": post(b"Content-Length: \r\n"),
    "a length without end": post(b"Content-Length: " + b"9" * 200 + b"\r\n"),
    "a length of 60 MB": post(b"Content-Length: 60000000\r\n"),
    "two codings": post(CHUNKED + CHUNKED, ONE_CHUNK),
    "another coding, then chunked": post(
        b"Transfer-Encoding: gzip\r\n" + CHUNKED, ONE_CHUNK
    ),
    "chunked, then another coding": post(
        CHUNKED + b"Transfer-Encoding: gzip\r\n", ONE_CHUNK
    ),
    "a list of codings": post(b"Transfer-Encoding: gzip, chunked\r\n", ONE_CHUNK),
    "a coding by nearly the name": post(b"Transfer-Encoding: xchunked\r\n", ONE_CHUNK),
    "a coding that is empty": post(b"Transfer-Encoding: \r\n" + FIVE),
    "chunks in HTTP/1.0": post(CHUNKED, ONE_CHUNK, line=b"POST /order HTTP/1.0"),
    "a chunk size of no digits": post(CHUNKED, b"zz\r\nhello\r\n0\r\n\r\n"),
    "a chunk size below 0": post(CHUNKED, b"-5\r\nhello\r\n0\r\n\r\n"),
    "a chunk size with 0x": post(CHUNKED, b"0x5\r\nhello\r\n0\r\n\r\n"),
    "a chunk size that overflows": post(CHUNKED, b"f" * 40 + b"\r\nhello\r\n0\r\n\r\n"),
    "a chunk size that is empty": post(CHUNKED, b"\r\nhello\r\n0\r\n\r\n"),
    "a chunk longer than its size": post(CHUNKED, b"5\r\nhelloX0\r\n\r\n"),
    "chunks with bare LF": post(CHUNKED, b"5\nhello\n0\n\n"),
    "a length in a trailer": post(
        CHUNKED, b"5\r\nhello\r\n0\r\nContent-Length: 9\r\n\r\n"
    ),
    "a folded header": post(b"X-A: a\r\n b\r\n" + FIVE),
    "bare LF throughout": post(FIVE).replace(b"\r\n", b"\n"),
    "a bare LF in the head": post(b"X-A: a\n" + FIVE),
    "a bare CR in the head": post(b"X-A: a\rX-B: b\r\n" + FIVE),
    "a NUL in a value": post(b"X-A: a\0b\r\n" + FIVE),
    "a NUL in a name": post(b"X\0A: a\r\n" + FIVE),
    "a NUL in the path": post(FIVE, line=b"POST /order\0 HTTP/1.1"),
    "a space before the colon": post(b"X-A : a\r\n" + FIVE),
    "a header without a colon": post(b"XA\r\n" + FIVE),
    "a header without a name": post(b": a\r\n" + FIVE),
    "two hosts": post(b"Host: other\r\n" + FIVE),
    "HTTP/0.9": post(FIVE, line=b"POST /order"),
    "HTTP/2.0": post(FIVE, line=b"POST /order HTTP/2.0"),
    "HTTP/1.2": post(FIVE, line=b"POST /order HTTP/1.2"),
    "HTTP/3.0": post(FIVE, line=b"POST /order HTTP/3.0"),
    "http/1.1": post(FIVE, line=b"POST /order http/1.1"),
    "the preface of HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "TLS": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(32),
    "noughts": bytes(200),
    "CONNECT": post(FIVE, line=b"CONNECT origin.svc:80 HTTP/1.1"),
    "another protocol": post(b"Connection: upgrade\r\nUpgrade: websocket\r\n" + FIVE),
    "a path without its slash": post(FIVE, line=b"POST order HTTP/1.1"),
    "a method in small letters": post(FIVE, line=b"post /order HTTP/1.1"),
    "a method that is not known": post(FIVE, line=b"SEND /order HTTP/1.1"),
    "a space before the method": b" " + post(FIVE),
    "a path without end": post(
        FIVE, line=b"POST /order/" + 70_000 * b"a" + b" HTTP/1.1"
    ),
    "a header without end": post(b"X-A: " + 70_000 * b"a" + b"\r\n" + FIVE),
    "a name without end": post(70_000 * b"X" + b": a\r\n" + FIVE),
    "headers without end": post(
        b"".join(b"X-%d: a\r\n" % n for n in range(3000)) + FIVE
    ),
    "a body that is too large": post(b"Content-Length: 65537\r\n", 65537 * b"a"),
    "chunks that are too large": post(
        CHUNKED, b"10001\r\n" + 65537 * b"a" + b"\r\n0\r\n\r\n"
    ),
    "trailers without end": post(
        CHUNKED, b"5\r\nhello\r\n0\r\n" + 6000 * b"X-A: a\r\n" + b"\r\n"
    ),
    "chunk extensions without end": post(
        CHUNKED, b"5;" + 2_000_000 * b"a" + b"\r\nhello\r\n0\r\n\r\n"
    ),
}


REJECTED_REQUESTS = {
    "two tenants": post(b"X-Account: acme\r\n" + FIVE, account=b"other"),
    "two destinations": post(FIVE, dest=b"dest=7;dest=8"),
    "an absolute form": post(FIVE, line=b"POST http://origin.svc/order HTTP/1.1"),
    "an asterisk": post(FIVE, line=b"POST * HTTP/1.1"),
    "two ids": post(b"X-Correlation-Id: other\r\n" + FIVE),
    "two times": post(b"X-Time-Left: 5\r\n" + FIVE),
    "two keys": post(b"Idempotency-Key: other\r\n" + FIVE),
    "two marks": post(b"X-Repeat: again\r\nX-Repeat: 1\r\n" + FIVE),
    "an unknown tenant": post(FIVE, account=b"nobody"),
    "no destination": post(FIVE, dest=b"dest="),
    "a destination that is no number": post(FIVE, dest=b"dest=7a"),
    "another method": post(FIVE, line=b"PUT /order HTTP/1.1"),
    "an unknown class": post(FIVE, line=b"POST /orders HTTP/1.1"),
}


@pytest.mark.parametrize("in_pieces", [False, True])
def test_invalid_request_gets_an_error_and_nothing_after_it_is_accepted(
    in_pieces: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Sent at once and in two pieces that are read apart; each is followed by a good
    message that only a parser that misreads the request would find. A request rejected
    like this ends its connection.
    """

    async def scene(server: Door) -> None:
        not_rejected = {}
        for name, data in INVALID_REQUESTS.items():
            reader, writer, connection = await server.connect()
            if in_pieces:
                half = data.find(b"HTTP/") + 3 or 1
                writer.write(data[:half])
                await server.until(
                    lambda connection=connection: (
                        connection.raw_bytes > 0 or connection.discarding_input
                    )
                )  # type: ignore[misc]
                data = data[half:]
            writer.write(data + message("behind"))
            if (first := await first_line(reader)) and first[9:10] not in (b"4", b"5"):
                not_rejected[name] = first
                connection.abort()
            await server.until(
                lambda connection=connection: server.is_rejected(connection)
            )  # type: ignore[misc]
            writer.close()
        assert not not_rejected and not server.accepted_ids, (
            f"{not_rejected}, accepted: {server.accepted_ids}"
        )
        server.now += LINGER_US
        server.sweep()
        await server.until(lambda: not server.connections)

    play(scene, monkeypatch, max_connections=1000)


def test_complete_but_wrong_request_gets_an_error_and_is_not_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of such a request is unambiguous, so its connection may stay open, and a
    good message after it is a separate one.
    """

    async def scene(server: Door) -> None:
        not_rejected = {}
        for name, data in REJECTED_REQUESTS.items():
            reader, writer, _ = await server.connect()
            writer.write(data)
            if (first := await first_line(reader))[9:10] != b"4":
                not_rejected[name] = first
            writer.close()
        assert not not_rejected and not server.accepted_ids, (
            f"{not_rejected}, accepted: {server.accepted_ids}"
        )

    play(scene, monkeypatch, max_connections=1000)


async def first_line(reader: asyncio.StreamReader) -> bytes:
    """Return the first line of the response. It is empty if the connection was closed,
    or reset because the client kept sending.
    """
    with suppress(ConnectionError):
        async with asyncio.timeout(PATIENCE):
            return await reader.readline()
    return b""


class HoldingServer(Door):
    """A `Door` at which messages wait until the test answers them."""

    def adopt_socket(self, handed: SubmittedMessage, responder: ResponseWriter) -> None:
        self.accepted_ids.append(handed.id)
        self.responders.append(responder)

    responders: list[ResponseWriter]


def play_holding(
    scene: Callable[[HoldingServer], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        monkeypatch.setattr(inbound_server, "SWEEP_INTERVAL_S", 3600.0)
        server = HoldingServer()
        server.responders = []
        await server.listen("127.0.0.1", 0)
        try:
            await scene(server)
        finally:
            await server.close()

    asyncio.run(run())


def test_message_before_an_invalid_request_is_answered_and_one_after_it_is_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The invalid request is read while the message before it waits for its response:
    the responses come in order.
    """

    async def scene(server: HoldingServer) -> None:
        reader, writer, connection = await server.connect()
        writer.write(
            message("before") + post(FIVE + CHUNKED, ONE_CHUNK) + message("behind")
        )
        await server.until(lambda: connection.discarding_input)
        writer.write(message("later"))
        await server.until(lambda: connection.raw_bytes > 0)
        assert (
            server.accepted_ids == ["before"] and connection.active_request is not None
        )
        server.responders[0].answer(HTTPStatus.ACCEPTED)
        async with asyncio.timeout(PATIENCE):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 202")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 400")
            await reader.read()  # the server ends its side at once
        assert server.accepted_ids == ["before"] and connection.is_open()
        server.now += LINGER_US
        server.sweep()
        await server.until(lambda: not server.connections)
        writer.close()

    play_holding(scene, monkeypatch)


def test_queue_of_pipelined_requests_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One message waits for its response, followed by as many requests as one read can
    hold.
    """

    async def scene(server: HoldingServer) -> None:
        reader, writer, connection = await server.connect()
        writer.write(message("first"))
        await server.until(lambda: len(server.accepted_ids) == 1)
        most = 0

        class Watched(deque):  # type: ignore[type-arg]
            def append(self, request: object) -> None:
                nonlocal most
                super().append(request)
                most = max(most, len(self))

        connection.queued_requests = Watched()
        writer.write(20_000 * b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n")
        await server.until(
            lambda: (
                most > 0
                and (
                    connection.discarding_input
                    or not connection.is_open()
                    or (
                        connection.transport is not None
                        and not connection.transport.is_reading()
                    )
                )
            )
        )
        assert most <= 100
        assert server.accepted_ids == ["first"] and connection.is_open()
        server.responders[0].answer(HTTPStatus.ACCEPTED)
        async with asyncio.timeout(PATIENCE):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 202")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 404")
        writer.close()

    play_holding(scene, monkeypatch)


def test_bytes_after_an_error_are_discarded_up_to_a_byte_and_time_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """None of the bytes are kept. The clock stands still for the fast sender, and
    advances for the slow one.
    """

    async def scene(server: Door) -> None:
        reader, writer, fast = await server.connect()
        other, slow_writer, slow = await server.connect()
        for w in (writer, slow_writer):
            w.write(b"\x16\x03\x01 no request\r\n\r\n")
        await server.until(lambda: fast.close_at_us > 0 and slow.close_at_us > 0)
        sent = 0
        with suppress(ConnectionError):
            while fast.is_open():
                writer.write(65536 * b"a")
                sent += 65536
                await writer.drain()
                await asyncio.sleep(0)
                assert sent < 60_000_000
        assert fast.incomplete_request is None and not fast.queued_requests
        start = server.now
        while slow.is_open():
            slow_writer.write(b"a")
            server.now += SWEEP_US
            server.sweep()
            assert server.now - start <= LINGER_US + SWEEP_US
        writer.close()
        slow_writer.close()
        del reader, other

    play(scene, monkeypatch)


def test_clients_that_send_much_and_disconnect_leave_no_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each client sends a large amount and disconnects at once, every other one by a
    reset.
    """

    async def scene(server: Door) -> None:
        other = await server.connect()
        kinds = [
            60_000 * b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n",
            1_000_000 * b"\0",
            HEAD + 1_000_000 * b"X",
            post(b"Content-Length: 65000\r\n", 64_000 * b"a"),
            post(CHUNKED, 100_000 * b"1\r\na\r\n"),
            500_000 * b"\r\n",
        ]
        for n, data in enumerate(2 * kinds):
            _, writer, connection = await server.connect()
            if n % 2:
                assert isinstance(
                    sock := writer.get_extra_info("socket"), TransportSocket
                )
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.write(data)
            writer.transport.abort() if n % 2 else writer.close()
            await server.until(
                lambda connection=connection: connection.transport is None
            )  # type: ignore[misc]
            assert not connection.queued_requests and connection.parser is None
        assert not server.accepted_ids and server.connections == {other[2]}

    play(scene, monkeypatch)


def test_many_bad_clients_use_bounded_memory_and_good_ones_are_served(
    tmp_path: Path,
) -> None:
    """The process is stopped while each bad client sends as much as the kernel buffers;
    then it continues with all of the bytes readable at once. Good clients connect
    during the stop and after it.
    """

    async def scene() -> None:
        platform = Platform()
        await platform.start()
        peer = await Peer(answer_in_turn(OK)).start()
        platform.host("t", peer.port)
        node = await Node(tmp_path, platform, max_open=1000).start()
        pid, bad_sockets = node.process.pid, list[socket.socket]()
        beginnings = [
            HEAD + b"X-",
            post(b"Content-Length: 60000000\r\n"),
            post(CHUNKED),
            b"\x16\x03",
            b"",
        ]
        filler = [b"a", b"a", b"1\r\na\r\n", b"\0", b"GET /no HTTP/1.1\r\n\r\n"]
        try:
            await node.hand_in("first", "status")
            before = memory_kb(pid, "VmHWM")
            os.kill(pid, signal.SIGSTOP)
            for n in range(100):
                sock = socket.create_connection(("127.0.0.1", node.port))
                sock.setblocking(False)
                with suppress(BlockingIOError):
                    begin, more = beginnings[n // 2 % 5], filler[n // 2 % 5]
                    ahead = message(f"ahead{n}", "status") if n % 2 else b""
                    sock.sendall(ahead + begin + 1_000_000 // len(more) * more)
                bad_sockets.append(sock)
            good_requests = [
                asyncio.create_task(node.hand_in(f"good{n}", "status"))
                for n in range(20)
            ]
            os.kill(pid, signal.SIGCONT)
            async with asyncio.timeout(PATIENCE):
                assert {
                    status for status, _ in await asyncio.gather(*good_requests)
                } <= {
                    202,
                    429,
                    503,
                }
            assert (await node.hand_in("last", "status"))[0] == 202
            assert memory_kb(pid, "VmHWM") - before < 16 * 1024
        finally:
            for sock in bad_sockets:
                sock.close()
            await node.end()

    asyncio.run(scene())


@pytest.mark.parametrize(
    "says",
    [b"", b"P", b"\r\n", HEAD, HEAD + FIVE + b"\r\nhel", HEAD + CHUNKED + b"\r\n1"],
)
def test_incomplete_request_followed_by_eof_is_closed_at_once(
    says: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client's side ends before its request is complete, so no more bytes can come.
    The clock does not advance.
    """

    async def scene(server: Door) -> None:
        reader, writer, _ = await server.connect()
        writer.write(says)
        writer.write_eof()
        async with asyncio.timeout(PATIENCE):
            assert await reader.read() == b""
        await server.until(lambda: not server.connections)
        assert not server.accepted_ids
        writer.close()

    play(scene, monkeypatch)
