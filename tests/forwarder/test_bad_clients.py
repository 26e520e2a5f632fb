"""Bad input at the door: an error or a close in time, bounded memory, and nothing of it
taken on.
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

from rainfall.forwarder.inbound import server as door
from rainfall.forwarder.inbound.client_connection import ClientConnection
from rainfall.forwarder.inbound.server import (
    MAX_UNREAD_BYTES,
    InboundServer,
    ResponseWriter,
    SubmittedMessage,
)
from rainfall.wirehost import parse_settings
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    SETTINGS,
    Node,
    Peer,
    Platform,
    always,
    message,
)

OWED_US = 3_000_000  # TERMS, Connections: an error or a close within 3 s of connecting
SWEEP_US = int(door.SWEEP_INTERVAL_S * 1_000_000)
LINGER_US = int(door.LINGER_S * 1_000_000)
Scene = Callable[["Door"], Awaitable[None]]


class Door(InboundServer):
    """A server whose clock stands until the test moves it, and that sweeps when the
    test says so.
    """

    def __init__(self, most: int = 100) -> None:
        self.now, self.taken, self.joins = 1_000_000_000, [], 0
        super().__init__(
            parse_settings(SETTINGS), lambda: self.now, most, self.adopt_socket
        )
        self.settled = asyncio.Event()

    taken: list[str]

    def adopt_socket(self, handed: SubmittedMessage, asker: ResponseWriter) -> None:
        self.taken.append(handed.id)
        asker.answer(HTTPStatus.ACCEPTED)

    def port(self) -> int:
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, ClientConnection]:
        """A client, and the door's side of its connection."""
        known = set(self.connections)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port())
        await self.until(lambda: bool(self.connections - known))
        return reader, writer, next(iter(self.connections - known))

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test():
                await asyncio.sleep(0.001)

    async def say(
        self, writer: asyncio.StreamWriter, side: ClientConnection, data: bytes
    ) -> None:
        """Send, and wait until it was read."""
        seen = side.raw_bytes
        writer.write(data)
        await self.until(
            lambda: (
                side.raw_bytes != seen
                or side.request_count > 0
                or side.discarding_input
            )
        )

    def told(self, side: ClientConnection) -> bool:
        """Whether the peer was given an error or a close."""
        return side.discarding_input or not side.is_open()


def play(scene: Scene, monkeypatch: pytest.MonkeyPatch, most: int = 100) -> None:
    async def run() -> None:
        monkeypatch.setattr(
            door, "SWEEP_INTERVAL_S", 3600.0
        )  # by itself it never sweeps
        server = Door(most)
        await server.listen("127.0.0.1", 0)
        try:
            await scene(server)
        finally:
            await server.close()

    asyncio.run(run())


def test_each_longest_way_to_an_error_or_a_close_fits_into_what_is_owed() -> None:
    """The sums that stand beside the constants, with a fifth of a second for a loop
    that is late.
    """
    room = OWED_US - 200_000
    assert room >= door.SILENT_CONNECTION_US + SWEEP_US
    assert room >= door.STALLED_REQUEST_US + SWEEP_US
    assert (
        room
        >= door.SILENT_CONNECTION_US
        + SWEEP_US
        + door.STALLED_FIRST_REQUEST_US
        + SWEEP_US
    )
    assert (
        door.STALLED_REQUEST_US + SWEEP_US + LINGER_US + SWEEP_US <= OWED_US
    )  # the end of its connection, too


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
def test_a_first_request_that_stands_half_read_has_its_error_within_3_s_of_connecting(
    says: bytes, goes_on: bytes, begins_us: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It begins as late as a silent connection may, goes on byte by byte, and each
    sweep comes just short of a limit: the clock for its error runs from connecting.
    """

    async def scene(server: Door) -> None:
        _, writer, side = await server.connect()
        start = server.now
        begin, sweep = start + begins_us, start + SWEEP_US - 1
        while not server.told(side):
            if begin <= sweep:
                server.now, begin = begin, sweep + 1
                await server.say(writer, side, goes_on if side.raw_bytes else says)
                if not goes_on:
                    begin = start + 10 * OWED_US
            else:
                server.now = sweep
                server.sweep()
                sweep += SWEEP_US
            assert server.now - start <= OWED_US - 200_000, (
                "neither an error nor a close"
            )
        assert not server.taken
        writer.close()

    play(scene, monkeypatch)


def test_a_client_that_asks_without_end_and_reads_nothing_is_let_go_before_its_answers_pile_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each request is answered, and none of the answers is taken: what waits for it
    stays bounded, and its connection ends.
    """

    async def scene(server: Door) -> None:
        kept = await server.connect()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, ("127.0.0.1", server.port()))
            await server.until(lambda: len(server.connections) == 2)
            side = next(iter(server.connections - {kept[2]}))
            most = 0
            async with asyncio.timeout(PATIENCE):
                asked = 1000 * b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n"
                while side.transport is not None and most < 64 * MAX_UNREAD_BYTES:
                    with suppress(ConnectionError, TimeoutError):
                        await asyncio.wait_for(loop.sock_sendall(sock, asked), 0.1)
                    if side.transport is not None:
                        most = max(most, side.transport.get_write_buffer_size())
        assert most <= 2 * MAX_UNREAD_BYTES
        assert kept[2].is_open()

    play(scene, monkeypatch)


def test_who_reads_late_still_has_all_its_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Some requests at once, as no client should send them: each has its answer, in
    order.
    """

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
    """A message that is whole but for what a test spoils."""
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


SPOILT = {
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


WRONG = {
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
def test_what_is_spoilt_has_an_error_at_once_and_nothing_of_it_or_behind_it_is_taken_on(
    in_pieces: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whole and in two pieces that are read apart; behind each stands a good message
    that only who reads it wrong would see. What was refused so ends its connection.
    """

    async def scene(server: Door) -> None:
        passed = {}
        for name, data in SPOILT.items():
            reader, writer, side = await server.connect()
            if in_pieces:
                half = data.find(b"HTTP/") + 3 or 1
                writer.write(data[:half])
                await server.until(
                    lambda side=side: side.raw_bytes > 0 or side.discarding_input
                )  # type: ignore[misc]
                data = data[half:]
            writer.write(data + message("behind"))
            if (first := await first_line(reader)) and first[9:10] not in (b"4", b"5"):
                passed[name] = first
                side.abort()
            await server.until(lambda side=side: server.told(side))  # type: ignore[misc]
            writer.close()
        assert not passed and not server.taken, f"{passed}, taken on: {server.taken}"
        server.now += LINGER_US
        server.sweep()
        await server.until(lambda: not server.connections)

    play(scene, monkeypatch, most=1000)


def test_what_is_whole_and_wrong_has_an_error_at_once_and_is_not_taken_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Where such a request ends is beyond doubt: its connection may go on, and a good
    message behind it is one of its own.
    """

    async def scene(server: Door) -> None:
        passed = {}
        for name, data in WRONG.items():
            reader, writer, _ = await server.connect()
            writer.write(data)
            if (first := await first_line(reader))[9:10] != b"4":
                passed[name] = first
            writer.close()
        assert not passed and not server.taken, f"{passed}, taken on: {server.taken}"

    play(scene, monkeypatch, most=1000)


async def first_line(reader: asyncio.StreamReader) -> bytes:
    """Empty where the connection was closed: behind one that goes on sending, by a
    reset.
    """
    with suppress(ConnectionError):
        async with asyncio.timeout(PATIENCE):
            return await reader.readline()
    return b""


class Holding(Door):
    """A door at which messages wait for their answer until the test gives it."""

    def adopt_socket(self, handed: SubmittedMessage, asker: ResponseWriter) -> None:
        self.taken.append(handed.id)
        self.askers.append(asker)

    askers: list[ResponseWriter]


def play_holding(
    scene: Callable[[Holding], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        monkeypatch.setattr(door, "SWEEP_INTERVAL_S", 3600.0)
        server = Holding()
        server.askers = []
        await server.listen("127.0.0.1", 0)
        try:
            await scene(server)
        finally:
            await server.close()

    asyncio.run(run())


def test_what_stands_behind_a_spoilt_request_is_not_read_and_what_stands_before_it_has_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The spoilt one is read while the message before it waits for its answer: the
    answers come in order.
    """

    async def scene(server: Holding) -> None:
        reader, writer, side = await server.connect()
        writer.write(
            message("before") + post(FIVE + CHUNKED, ONE_CHUNK) + message("behind")
        )
        await server.until(lambda: side.discarding_input)
        writer.write(message("later"))
        await server.until(lambda: side.raw_bytes > 0)
        assert server.taken == ["before"] and side.active_request is not None
        server.askers[0].answer(HTTPStatus.ACCEPTED)
        async with asyncio.timeout(PATIENCE):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 202")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 400")
            await reader.read()  # it ends its side at once
        assert server.taken == ["before"] and side.is_open()
        server.now += LINGER_US
        server.sweep()
        await server.until(lambda: not server.connections)
        writer.close()

    play_holding(scene, monkeypatch)


def test_requests_ahead_are_few_however_many_come_in_one_piece(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One message waits for its answer, and behind it as many requests as one read can
    hold.
    """

    async def scene(server: Holding) -> None:
        reader, writer, side = await server.connect()
        writer.write(message("first"))
        await server.until(lambda: len(server.taken) == 1)
        most = 0

        class Watched(deque):  # type: ignore[type-arg]
            def append(self, request: object) -> None:
                nonlocal most
                super().append(request)
                most = max(most, len(self))

        side.queued_requests = Watched()
        writer.write(20_000 * b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n")
        await server.until(
            lambda: (
                most > 0
                and (
                    side.discarding_input
                    or not side.is_open()
                    or (side.transport is not None and not side.transport.is_reading())
                )
            )
        )
        assert most <= 100
        assert server.taken == ["first"] and side.is_open()
        server.askers[0].answer(HTTPStatus.ACCEPTED)
        async with asyncio.timeout(PATIENCE):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 202")
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 404")
        writer.close()

    play_holding(scene, monkeypatch)


def test_who_goes_on_sending_behind_its_error_is_read_for_so_many_bytes_and_so_long_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing of it is kept; the clock stands for the one that sends much, and moves
    for the slow one.
    """

    async def scene(server: Door) -> None:
        reader, writer, much = await server.connect()
        other, drips, slow = await server.connect()
        for w in (writer, drips):
            w.write(b"\x16\x03\x01 no request\r\n\r\n")
        await server.until(lambda: much.close_at_us > 0 and slow.close_at_us > 0)
        sent = 0
        with suppress(ConnectionError):
            while much.is_open():
                writer.write(65536 * b"a")
                sent += 65536
                await writer.drain()
                await asyncio.sleep(0)
                assert sent < 60_000_000
        assert much.incomplete_request is None and not much.queued_requests
        start = server.now
        while slow.is_open():
            drips.write(b"a")
            server.now += SWEEP_US
            server.sweep()
            assert server.now - start <= LINGER_US + SWEEP_US
        writer.close()
        drips.close()
        del reader, other

    play(scene, monkeypatch)


def test_peers_that_send_much_and_go_leave_nothing_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each sends a large piece of something and goes in the same moment, some by a
    reset.
    """

    async def scene(server: Door) -> None:
        kept = await server.connect()
        kinds = [
            60_000 * b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n",
            1_000_000 * b"\0",
            HEAD + 1_000_000 * b"X",
            post(b"Content-Length: 65000\r\n", 64_000 * b"a"),
            post(CHUNKED, 100_000 * b"1\r\na\r\n"),
            500_000 * b"\r\n",
        ]
        for n, data in enumerate(2 * kinds):
            _, writer, side = await server.connect()
            if n % 2:
                assert isinstance(
                    sock := writer.get_extra_info("socket"), TransportSocket
                )
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.write(data)
            writer.transport.abort() if n % 2 else writer.close()
            await server.until(lambda side=side: side.transport is None)  # type: ignore[misc]
            assert not side.queued_requests and side.parser is None
        assert not server.taken and server.connections == {kept[2]}

    play(scene, monkeypatch)


def peak_kb(pid: int) -> int:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmHWM:")[2].split()[0])


def test_what_many_bad_clients_send_at_once_costs_little_memory_and_others_are_served(
    tmp_path: Path,
) -> None:
    """The process stands still while each bad client sends as much as the system takes;
    then it goes on, and all of it lies there at once. Good clients come in the middle
    and behind them.
    """

    async def scene() -> None:
        platform = Platform()
        await platform.start()
        peer = await Peer(always(OK)).start()
        platform.host("t", peer.port)
        node = await Node(tmp_path, platform, max_open=1000).start()
        pid, bad = node.process.pid, list[socket.socket]()
        ends = [
            HEAD + b"X-",
            post(b"Content-Length: 60000000\r\n"),
            post(CHUNKED),
            b"\x16\x03",
            b"",
        ]
        filler = [b"a", b"a", b"1\r\na\r\n", b"\0", b"GET /no HTTP/1.1\r\n\r\n"]
        try:
            await node.hand_in("first", "status")
            before = peak_kb(pid)
            os.kill(pid, signal.SIGSTOP)
            for n in range(100):
                sock = socket.create_connection(("127.0.0.1", node.port))
                sock.setblocking(False)
                with suppress(BlockingIOError):
                    begin, more = ends[n // 2 % 5], filler[n // 2 % 5]
                    ahead = message(f"ahead{n}", "status") if n % 2 else b""
                    sock.sendall(ahead + begin + 1_000_000 // len(more) * more)
                bad.append(sock)
            good = [
                asyncio.create_task(node.hand_in(f"good{n}", "status"))
                for n in range(20)
            ]
            os.kill(pid, signal.SIGCONT)
            async with asyncio.timeout(PATIENCE):
                assert {status for status, _ in await asyncio.gather(*good)} <= {
                    202,
                    429,
                    503,
                }
            assert (await node.hand_in("last", "status"))[0] == 202
            assert peak_kb(pid) - before < 16 * 1024
        finally:
            for sock in bad:
                sock.close()
            await node.end()

    asyncio.run(scene())


@pytest.mark.parametrize(
    "says",
    [b"", b"P", b"\r\n", HEAD, HEAD + FIVE + b"\r\nhel", HEAD + CHUNKED + b"\r\n1"],
)
def test_half_a_request_with_its_end_behind_it_is_closed_at_once(
    says: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the client's side comes before its request's, so nothing more can
    come. The clock stands.
    """

    async def scene(server: Door) -> None:
        reader, writer, _ = await server.connect()
        writer.write(says)
        writer.write_eof()
        async with asyncio.timeout(PATIENCE):
            assert await reader.read() == b""
        await server.until(lambda: not server.connections)
        assert not server.taken
        writer.close()

    play(scene, monkeypatch)
