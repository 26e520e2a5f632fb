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

from rainfall.errors import RainfallError
from rainfall.forwarder.http1 import MAX_BODY_BYTES, MAX_HEADER_BYTES, has_unread_input

MAX_QUEUED_REQUESTS = 8  # requests read ahead on one connection before reading stops
MAX_PIPELINED_REQUESTS = (
    64  # and in one piece at most: clients send one request at a time
)
LINGER_BYTES = 1 << 20  # read at most of what comes behind a refusal
# a new connection is left so long for its first request, also by a process that stops
FIRST_REQUEST_GRACE_US = 300_000
# of the loop, till what was accepted before has a transport, and what had come by then
# is read
SETTLE_LOOP_TURNS = 4
# at the end of the process, the least time for clients to read their answers and to let
# go
CLOSE_GRACE_S = 0.1
HTTP_VERSIONS = ("1.0", "1.1")
SINGLE_VALUE_HEADERS = frozenset(
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
FRAMING_HEADERS = frozenset(("host", "transfer-encoding", "content-length"))
"""Nor must these, and what follows such a request is not to be trusted."""


class BadRequestError(RainfallError):
    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


@dataclass(slots=True)
class Request:
    received_at_us: int
    method: str = ""
    path: str = ""
    keep_alive: bool = True
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    error: BadRequestError | None = None
    header_bytes: int = 0


class ClientConnection(asyncio.Protocol):
    """One client's connection.

    Requests are answered one at a time, in the order they came.
    """

    def __init__(self, server: ConnectionRegistry) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = (
            None  # made when something is said
        )
        self.incomplete_request: Request | None = None
        self.raw_bytes, self.in_headers, self.request_count = 0, True, 0
        self.close_at_us = 0  # when it is closed after a refusal
        self.queued_requests: deque[Request] = deque()
        self.active_request: Request | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.last_used_us = self.connected_at_us = server.clock()
        self.discarding_input, self.peer_closed = False, False

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
        self.server.add_connection(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)
        self.queued_requests.clear()
        self.notify_disconnect()
        self.parser = self.transport = (
            None  # they refer back: the collector need not look for the ring
        )

    def eof_received(self) -> bool:
        """A client that ends its side no longer waits; what it may still read is a
        refusal.
        """
        self.peer_closed = True
        self.refuse_pending("withdrawn")
        return False

    def refuse_pending(self, text: str, **headers: str) -> None:
        """Refuse all that has come whole and has no answer."""
        self.notify_disconnect()
        if self.active_request is not None:
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, text, **headers)
        while self.queued_requests and self.is_open():
            self.active_request = self.queued_requests.popleft()
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, text, **headers)

    def notify_disconnect(self) -> None:
        left, self.on_disconnect = self.on_disconnect, None
        if left is not None:
            left()

    def data_received(self, data: bytes) -> None:
        self.last_used_us = self.server.clock()
        self.raw_bytes += len(data)
        if self.discarding_input:
            if self.raw_bytes > LINGER_BYTES and self.transport is not None:
                if self.close_at_us:
                    self.transport.close()
                # an answer before the refusal is still to come, and must not be reset
                else:
                    self.transport.pause_reading()
            return
        previous_count = self.request_count
        if self.parser is None:
            self.parser = httptools.HttpRequestParser(self)
        try:
            self.parser.feed_data(data)
            if self.request_count != previous_count:
                self.raw_bytes = 0
            # The parser tells a header only once it is whole: a head without end, and
            # blank lines before one, show in the raw bytes alone. Small chunks make a
            # body's raw bytes some times its size.
            elif self.raw_bytes > (
                MAX_HEADER_BYTES
                if self.in_headers
                else MAX_HEADER_BYTES + 8 * MAX_BODY_BYTES
            ):
                raise BadRequestError(
                    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "the header is too large",
                )
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            BadRequestError,
        ) as error:
            # After a request that cannot be read, nothing on this connection can be
            # trusted to begin where it seems to: it is answered, in its turn, and the
            # connection closed.
            cause = (
                error.__context__
                if isinstance(error.__context__, BadRequestError)
                else error
            )
            if not isinstance(cause, BadRequestError):
                cause = BadRequestError(
                    HTTPStatus.BAD_REQUEST, "not a readable request"
                )
            self.discarding_input, self.raw_bytes = True, 0
            self.queued_requests.append(
                Request(self.last_used_us, keep_alive=False, error=cause)
            )
            self.incomplete_request = None
        self.process_next()

    # Called by the parser

    def on_message_begin(self) -> None:
        self.incomplete_request, self.in_headers = (
            Request(self.server.arrival_time_us()),
            True,
        )

    def on_url(self, url: bytes) -> None:
        if self.incomplete_request is not None:
            self.incomplete_request.header_bytes += len(url)
            if self.incomplete_request.header_bytes > MAX_HEADER_BYTES:
                raise BadRequestError(
                    HTTPStatus.REQUEST_URI_TOO_LONG, "the path is too long"
                )
            self.incomplete_request.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.incomplete_request is not None:
            self.incomplete_request.header_bytes += len(name) + len(value)
            if self.incomplete_request.header_bytes > MAX_HEADER_BYTES:
                raise BadRequestError(
                    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "the header is too large",
                )
            if not self.in_headers:
                return  # a trailer says nothing that counts here
            known = self.incomplete_request.headers
            lower_name = name.decode("latin-1").lower()
            if lower_name in known and lower_name in FRAMING_HEADERS:
                raise BadRequestError(
                    HTTPStatus.BAD_REQUEST, f"{lower_name} stands twice"
                )
            if lower_name in known and lower_name in SINGLE_VALUE_HEADERS:
                self.incomplete_request.error = BadRequestError(
                    HTTPStatus.BAD_REQUEST, f"{lower_name} stands twice"
                )
            known[lower_name] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        self.in_headers = False
        if (
            self.incomplete_request is not None
            and self.transport is not None
            and self.parser is not None
        ):
            headers = self.incomplete_request.headers
            version = self.parser.get_http_version()
            if version not in HTTP_VERSIONS:
                raise BadRequestError(
                    HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here"
                )
            transfer_encoding = headers.get("transfer-encoding")
            # Where the body ends must not be open to argument, or it may hide a request
            # that another reads: the parser refuses both lengths at once, repeated and
            # signed ones; the rest is refused here.
            if transfer_encoding is not None and (
                transfer_encoding.lower() != "chunked"
                or "content-length" in headers
                or version == "1.0"
            ):
                raise BadRequestError(
                    HTTPStatus.NOT_IMPLEMENTED, "no such Transfer-Encoding"
                )
            if self.parser.should_upgrade():
                raise BadRequestError(
                    HTTPStatus.NOT_IMPLEMENTED, "no other protocol is spoken here"
                )
            length = headers.get("content-length", "0")
            if length.isdigit() and int(length) > MAX_BODY_BYTES:
                raise BadRequestError(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"
                )
            if (
                self.incomplete_request.headers.get("expect", "").lower()
                == "100-continue"
                and self.active_request is None
            ):
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self.incomplete_request is not None:
            if len(self.incomplete_request.body) + len(body) > MAX_BODY_BYTES:
                raise BadRequestError(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"
                )
            self.incomplete_request.body += body

    def on_message_complete(self) -> None:
        if len(self.queued_requests) >= MAX_PIPELINED_REQUESTS:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "too many requests at once")
        if self.incomplete_request is not None and self.parser is not None:
            self.incomplete_request.method = self.parser.get_method().decode("latin-1")
            self.incomplete_request.keep_alive = self.parser.should_keep_alive()
            self.queued_requests.append(self.incomplete_request)
            self.incomplete_request = None
        self.request_count += 1
        self.in_headers = True

    # Answering

    def process_next(self) -> None:
        while self.active_request is None and self.queued_requests and self.is_open():
            self.active_request = self.queued_requests.popleft()
            self.server.handle_request(self, self.active_request)
        if self.transport is not None and not self.transport.is_closing():
            if len(self.queued_requests) >= MAX_QUEUED_REQUESTS:
                self.transport.pause_reading()
            elif not self.transport.is_reading():
                self.transport.resume_reading()

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        request, self.active_request, self.on_disconnect = (
            self.active_request,
            None,
            None,
        )
        if (
            request is None
            or self.transport is None
            or not self.is_open()
            or self.close_at_us
        ):
            return
        # What was read whole behind it is answered too, and the last of those answers
        # tells of the end: behind an answer with Connection: close a client reads no
        # other.
        connection_ends = (
            self.server.draining or self.server.handed_over or self.peer_closed
        )
        keep_open = request.keep_alive and (
            bool(self.queued_requests) or not connection_ends
        )
        body = (text + "\n").encode() if text else b""
        lines = [
            f"HTTP/1.1 {status.value} {status.phrase}",
            f"Content-Length: {len(body)}",
            *(f"{k.replace('_', '-')}: {v}" for k, v in headers.items()),
        ]
        if body:
            lines.append("Content-Type: text/plain; charset=utf-8")
        if not keep_open:
            lines.append("Connection: close")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.transport.write(data if request.method == "HEAD" else data + body)
        self.last_used_us = self.server.clock()
        if not keep_open:
            self.finish()
        elif not self.peer_closed:
            asyncio.get_running_loop().call_soon(self.process_next)

    # Ending

    def finish(self) -> None:
        """Graceful shutdown.

        To close with something unread would reset the connection, and what the client
        has not read of its answers would go: end this side, read on and discard for a
        while, then close.
        """
        if self.transport is None or not self.is_open() or self.close_at_us:
            return
        self.discarding_input, self.incomplete_request, self.raw_bytes = True, None, 0
        self.queued_requests.clear()
        if self.peer_closed:
            return  # all that the client sent is read, and the loop closes
        try:
            self.transport.write_eof()
        except OSError:  # it was reset, and the loop has not read that yet
            self.transport.abort()
            return
        self.server.close_later(self)

    def has_unread_input(self) -> bool:
        """Whether the socket holds what the loop has not read yet: it came before the
        end, and goes first.
        """
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and has_unread_input(self.transport)
        )

    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def is_idle(self) -> bool:
        return (
            self.active_request is None
            and self.incomplete_request is None
            and not self.queued_requests
        )

    def request_stalled_us(self, now: int) -> int:
        """How long a request has stood half read, with none before it that is not
        answered.
        """
        before = self.active_request is not None or self.queued_requests
        return (
            now - self.incomplete_request.received_at_us
            if self.incomplete_request is not None and not before
            else 0
        )

    def close(self) -> None:
        """Let go between two requests, unless one has come by now: that is answered."""
        if self.is_open() and not self.close_at_us and not self.has_unread_input():
            self.finish()

    def shut_down(self, immediately: bool) -> None:
        """The process ends.

        What has no answer is waited for, and at last refused, if it is whole or not.
        """
        if self.is_idle():
            self.close()
        elif immediately and self.is_open():
            if self.active_request is None and not self.queued_requests:
                self.active_request, self.incomplete_request = (
                    self.incomplete_request,
                    None,
                )
            self.refuse_pending("not ready", Retry_After="1")

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class ConnectionRegistry:
    """All clients' connections, and how they end."""

    clock: Callable[[], int]
    max_connections: int

    def __init__(self) -> None:
        self.connections: set[ClientConnection] = set()
        self.draining = self.handed_over = self.closed = False
        self.listener: asyncio.Server | None = None
        self.accept_tasks: set[asyncio.Task[None]] = set()

    def arrival_time_us(self) -> int:
        raise NotImplementedError

    def add_connection(self, connection: ClientConnection) -> None:
        raise NotImplementedError

    def close_later(self, connection: ClientConnection) -> None:
        raise NotImplementedError

    def handle_request(self, connection: ClientConnection, request: Request) -> None:
        raise NotImplementedError

    def drain(self) -> None:
        """Go on answering; let go of connections between requests only, and of new ones
        not at once.
        """
        self.draining = True
        newest_us = self.clock() - FIRST_REQUEST_GRACE_US
        for connection in list(self.connections):
            if connection.is_idle() and (
                connection.request_count or connection.connected_at_us <= newest_us
            ):
                connection.close()

    def hand_over(self) -> None:
        """Another process takes the connections from now on; those held here end after
        their next answer.
        """
        self.handed_over = True
        self.stop_listening()

    def stop_listening(self) -> None:
        """No connection comes from now on.

        What asyncio accepted in this very turn has no transport yet, and would be
        dropped without a word if its listener closed before it has.
        """
        listener, self.listener = self.listener, None
        if listener is not None:
            loop = asyncio.get_running_loop()
            for sock in listener.sockets:
                loop.remove_reader(sock.fileno())
            loop.call_soon(self.accept_remaining, listener)

    def accept_remaining(self, listener: asyncio.Server) -> None:
        """Clients in the backlog are connected already: the listener's close would
        reset them.
        """
        loop = asyncio.get_running_loop()
        for sock in listener.sockets:
            listening = socket.socket(
                sock.family, sock.type, sock.proto, fileno=sock.fileno()
            )
            listening.setblocking(False)
            for _ in range(max(0, self.max_connections - len(self.connections))):
                try:
                    accepted, _ = listening.accept()
                except OSError:
                    break
                task = loop.create_task(self.adopt_socket(accepted))
                self.accept_tasks.add(task)
                task.add_done_callback(self.accept_tasks.discard)
            listening.detach()  # it is the listener's
        listener.close()

    async def adopt_socket(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: ClientConnection(self), accepted)
        except OSError:
            accepted.close()

    async def close(self, grace_s: float = CLOSE_GRACE_S) -> None:
        """The process ends: each request gets an answer, and clients a while to read it
        and to let go.
        """
        loop = asyncio.get_running_loop()
        close_at = loop.time() + grace_s
        self.draining = True
        self.stop_listening()
        for _ in range(SETTLE_LOOP_TURNS):
            await asyncio.sleep(0)
        while (self.connections or self.accept_tasks) and (
            now := loop.time()
        ) < close_at:
            for connection in list(self.connections):
                connection.shut_down(now >= close_at - grace_s / 2)
            await asyncio.sleep(CLOSE_GRACE_S / 20)
        self.closed = True
        for connection in list(self.connections):
            connection.abort()
