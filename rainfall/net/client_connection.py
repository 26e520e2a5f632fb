"""One client's connection: reads requests, hands them on in turn, writes answers; and
the end of all.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from rainfall.net.http import MOST_BODY, MOST_HEAD, unread

MOST_WAITING = 8  # requests read ahead on one connection before reading stops
MOST_AHEAD = 64  # and in one piece at most: clients send one request at a time
LINGER_BYTES = 1 << 20  # read at most of what comes behind a refusal
# a new connection is left so long for its first request, also by a process that stops
FRESH_US = 300_000
# of the loop, till what was accepted before has a transport, and what had come by then
# is read
TURNS = 4
# at the end of the process, the least time for clients to read their answers and to let
# go
CLOSE_S = 0.1
VERSIONS = ("1.0", "1.1")
SINGLE = frozenset(
    (
        "x-correlation-id",
        "x-time-left",
        "x-addressing",
        "idempotency-key",
        "x-session-key",
        "x-account",
        "x-repeat",
    )
)
"""Headers that must not stand twice: whoever reads the other one reads another
message.
"""
FRAMING = frozenset(("host", "transfer-encoding", "content-length"))
"""Nor must these, and what follows such a request is not to be trusted."""


class BadRequest(Exception):
    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


@dataclass(slots=True)
class Request:
    came_us: int
    method: str = ""
    path: str = ""
    keep_alive: bool = True
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    bad: BadRequest | None = None
    size: int = 0


class ClientConnection(asyncio.Protocol):
    """One client's connection. Requests are answered one at a time, in the order they
    came.
    """

    def __init__(self, server: Connections) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = (
            None  # made when something is said
        )
        self.reading: Request | None = None
        self.raw, self.in_head, self.requests = 0, True, 0
        self.until_us = 0  # when it is closed after a refusal
        self.waiting: deque[Request] = deque()
        self.busy: Request | None = None
        self.left: Callable[[], None] | None = None
        self.used_us = self.came_us = server.clock()
        self.broken, self.ended = False, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # asyncio sets it only where the listener was made with the protocol's number,
        # and ours was not. An answer that the system holds back goes with a connection
        # that is reset.
        with suppress(OSError):
            transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
        self.server.joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)
        self.waiting.clear()
        self.gone()
        self.parser = self.transport = (
            None  # they refer back: the collector need not look for the ring
        )

    def eof_received(self) -> bool:
        """A client that ends its side no longer waits; what it may still read is a
        refusal.
        """
        self.ended = True
        self.refuse("withdrawn")
        return False

    def refuse(self, text: str, **headers: str) -> None:
        """Refuse all that has come whole and has no answer."""
        self.gone()
        if self.busy is not None:
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, text, **headers)
        while self.waiting and self.open():
            self.busy = self.waiting.popleft()
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, text, **headers)

    def gone(self) -> None:
        left, self.left = self.left, None
        if left is not None:
            left()

    def data_received(self, data: bytes) -> None:
        self.used_us = self.server.clock()
        self.raw += len(data)
        if self.broken:
            if self.raw > LINGER_BYTES and self.transport is not None:
                if self.until_us:
                    self.transport.close()
                # an answer before the refusal is still to come, and must not be reset
                else:
                    self.transport.pause_reading()
            return
        begun = self.requests
        if self.parser is None:
            self.parser = httptools.HttpRequestParser(self)
        try:
            self.parser.feed_data(data)
            if self.requests != begun:
                self.raw = 0
            # The parser tells a header only once it is whole: a head without end, and
            # blank lines before one, show in the raw bytes alone. Small chunks make a
            # body's raw bytes some times its size.
            elif self.raw > (MOST_HEAD if self.in_head else MOST_HEAD + 8 * MOST_BODY):
                raise BadRequest(
                    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "the header is too large",
                )
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            BadRequest,
        ) as error:
            # After a request that cannot be read, nothing on this connection can be
            # trusted to begin where it seems to: it is answered, in its turn, and the
            # connection closed.
            cause = (
                error.__context__
                if isinstance(error.__context__, BadRequest)
                else error
            )
            if not isinstance(cause, BadRequest):
                cause = BadRequest(HTTPStatus.BAD_REQUEST, "not a readable request")
            self.broken, self.raw = True, 0
            self.waiting.append(Request(self.used_us, keep_alive=False, bad=cause))
            self.reading = None
        self.next()

    # Called by the parser

    def on_message_begin(self) -> None:
        self.reading, self.in_head = Request(self.server.came_us()), True

    def on_url(self, url: bytes) -> None:
        if self.reading is not None:
            self.reading.size += len(url)
            if self.reading.size > MOST_HEAD:
                raise BadRequest(
                    HTTPStatus.REQUEST_URI_TOO_LONG, "the path is too long"
                )
            self.reading.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.reading is not None:
            self.reading.size += len(name) + len(value)
            if self.reading.size > MOST_HEAD:
                raise BadRequest(
                    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "the header is too large",
                )
            if not self.in_head:
                return  # a trailer says nothing that counts here
            known = self.reading.headers
            low = name.decode("latin-1").lower()
            if low in known and low in FRAMING:
                raise BadRequest(HTTPStatus.BAD_REQUEST, f"{low} stands twice")
            if low in known and low in SINGLE:
                self.reading.bad = BadRequest(
                    HTTPStatus.BAD_REQUEST, f"{low} stands twice"
                )
            known[low] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        self.in_head = False
        if (
            self.reading is not None
            and self.transport is not None
            and self.parser is not None
        ):
            headers = self.reading.headers
            version = self.parser.get_http_version()
            if version not in VERSIONS:
                raise BadRequest(
                    HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here"
                )
            coding = headers.get("transfer-encoding")
            # Where the body ends must not be open to argument, or it may hide a request
            # that another reads: the parser refuses both lengths at once, repeated and
            # signed ones; the rest is refused here.
            if coding is not None and (
                coding.lower() != "chunked"
                or "content-length" in headers
                or version == "1.0"
            ):
                raise BadRequest(
                    HTTPStatus.NOT_IMPLEMENTED, "no such Transfer-Encoding"
                )
            if self.parser.should_upgrade():
                raise BadRequest(
                    HTTPStatus.NOT_IMPLEMENTED, "no other protocol is spoken here"
                )
            length = headers.get("content-length", "0")
            if length.isdigit() and int(length) > MOST_BODY:
                raise BadRequest(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"
                )
            if (
                self.reading.headers.get("expect", "").lower() == "100-continue"
                and self.busy is None
            ):
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self.reading is not None:
            if len(self.reading.body) + len(body) > MOST_BODY:
                raise BadRequest(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"
                )
            self.reading.body += body

    def on_message_complete(self) -> None:
        if len(self.waiting) >= MOST_AHEAD:
            raise BadRequest(HTTPStatus.BAD_REQUEST, "too many requests at once")
        if self.reading is not None and self.parser is not None:
            self.reading.method = self.parser.get_method().decode("latin-1")
            self.reading.keep_alive = self.parser.should_keep_alive()
            self.waiting.append(self.reading)
            self.reading = None
        self.requests += 1
        self.in_head = True

    # Answering

    def next(self) -> None:
        while self.busy is None and self.waiting and self.open():
            self.busy = self.waiting.popleft()
            self.server.handle(self, self.busy)
        if self.transport is not None and not self.transport.is_closing():
            if len(self.waiting) >= MOST_WAITING:
                self.transport.pause_reading()
            elif not self.transport.is_reading():
                self.transport.resume_reading()

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        request, self.busy, self.left = self.busy, None, None
        if (
            request is None
            or self.transport is None
            or not self.open()
            or self.until_us
        ):
            return
        # What was read whole behind it is answered too, and the last of those answers
        # tells of the end: behind an answer with Connection: close a client reads no
        # other.
        ending = self.server.leaving or self.server.moving or self.ended
        keep = request.keep_alive and (bool(self.waiting) or not ending)
        body = (text + "\n").encode() if text else b""
        lines = [
            f"HTTP/1.1 {status.value} {status.phrase}",
            f"Content-Length: {len(body)}",
            *(f"{k.replace('_', '-')}: {v}" for k, v in headers.items()),
        ]
        if body:
            lines.append("Content-Type: text/plain; charset=utf-8")
        if not keep:
            lines.append("Connection: close")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.transport.write(data if request.method == "HEAD" else data + body)
        self.used_us = self.server.clock()
        if not keep:
            self.finish()
        elif not self.ended:
            asyncio.get_running_loop().call_soon(self.next)

    # Ending

    def finish(self) -> None:
        """Graceful shutdown. To close with something unread would reset the connection,
        and what the client has not read of its answers would go: end this side, read on
        and discard for a while, then close.
        """
        if self.transport is None or not self.open() or self.until_us:
            return
        self.broken, self.reading, self.raw = True, None, 0
        self.waiting.clear()
        if self.ended:
            return  # all that the client sent is read, and the loop closes
        try:
            self.transport.write_eof()
        except OSError:  # it was reset, and the loop has not read that yet
            self.transport.abort()
            return
        self.server.linger(self)

    def unread(self) -> bool:
        """Whether the socket holds what the loop has not read yet: it came before the
        end, and goes first.
        """
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and unread(self.transport)
        )

    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def idle(self) -> bool:
        return self.busy is None and self.reading is None and not self.waiting

    def stalled_us(self, now: int) -> int:
        """How long a request has stood half read, with none before it that is not
        answered.
        """
        before = self.busy is not None or self.waiting
        return (
            now - self.reading.came_us if self.reading is not None and not before else 0
        )

    def close(self) -> None:
        """Let go between two requests, unless one has come by now: that is answered."""
        if self.open() and not self.until_us and not self.unread():
            self.finish()

    def end(self, at_once: bool) -> None:
        """The process ends. What has no answer is waited for, and at last refused, if
        it is whole or not.
        """
        if self.idle():
            self.close()
        elif at_once and self.open():
            if self.busy is None and not self.waiting:
                self.busy, self.reading = self.reading, None
            self.refuse("not ready", Retry_After="1")

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Connections:
    """All clients' connections, and how they end."""

    clock: Callable[[], int]
    most: int

    def __init__(self) -> None:
        self.connections: set[ClientConnection] = set()
        self.leaving = self.moving = self.closed = False
        self.listener: asyncio.Server | None = None
        self.accepting: set[asyncio.Task[None]] = set()

    def came_us(self) -> int:
        raise NotImplementedError

    def joined(self, connection: ClientConnection) -> None:
        raise NotImplementedError

    def linger(self, connection: ClientConnection) -> None:
        raise NotImplementedError

    def handle(self, connection: ClientConnection, request: Request) -> None:
        raise NotImplementedError

    def leave(self) -> None:
        """Go on answering; let go of connections between requests only, and of new ones
        not at once.
        """
        self.leaving = True
        fresh = self.clock() - FRESH_US
        for connection in list(self.connections):
            if connection.idle() and (
                connection.requests or connection.came_us <= fresh
            ):
                connection.close()

    def move(self) -> None:
        """Another process takes the connections from now on; those held here end after
        their next answer.
        """
        self.moving = True
        self.stop_listening()

    def stop_listening(self) -> None:
        """No connection comes from now on. What asyncio accepted in this very turn has
        no transport yet, and would be dropped without a word if its listener closed
        before it has.
        """
        listener, self.listener = self.listener, None
        if listener is not None:
            loop = asyncio.get_running_loop()
            for sock in listener.sockets:
                loop.remove_reader(sock.fileno())
            loop.call_soon(self.take_last, listener)

    def take_last(self, listener: asyncio.Server) -> None:
        """Clients in the backlog are connected already: the listener's close would
        reset them.
        """
        loop = asyncio.get_running_loop()
        for sock in listener.sockets:
            last = socket.socket(
                sock.family, sock.type, sock.proto, fileno=sock.fileno()
            )
            last.setblocking(False)
            for _ in range(max(0, self.most - len(self.connections))):
                try:
                    accepted, _ = last.accept()
                except OSError:
                    break
                task = loop.create_task(self.take(accepted))
                self.accepting.add(task)
                task.add_done_callback(self.accepting.discard)
            last.detach()  # it is the listener's
        listener.close()

    async def take(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: ClientConnection(self), accepted)
        except OSError:
            accepted.close()

    async def close(self, patience_s: float = CLOSE_S) -> None:
        """The process ends: each request gets an answer, and clients a while to read it
        and to let go.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + patience_s
        self.leaving = True
        self.stop_listening()
        for _ in range(TURNS):
            await asyncio.sleep(0)
        while (self.connections or self.accepting) and (now := loop.time()) < until:
            for connection in list(self.connections):
                connection.end(now >= until - patience_s / 2)
            await asyncio.sleep(CLOSE_S / 20)
        self.closed = True
        for connection in list(self.connections):
            connection.abort()
