"""One client's connection: reads requests and writes answers, in their order.

The registry of all clients' connections, with the way they end, stands here too.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus

import httptools

from rainfall.forwarder.http1 import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    RAW_BODY_FACTOR,
    has_unread_input,
)
from rainfall.forwarder.inbound.requests import BadRequestError, Request

__all__ = ["BadRequestError", "ClientConnection", "ConnectionRegistry", "Request"]
MAX_QUEUED_REQUESTS = 8
"""Requests read ahead on one connection before reading stops."""
MAX_PIPELINED_REQUESTS = 64
"""Requests in one piece of input at most: clients send one at a time."""
LINGER_BYTES = 1 << 20
"""Bytes read and discarded behind a refused request at most."""
FIRST_REQUEST_GRACE_US = 300_000
"""A new connection is left open so long for its first request, also by a process that
shuts down.
"""
SETTLE_LOOP_TURNS = 4
"""Turns of the event loop until what was accepted before has a transport, and what had
come by then is read.
"""
CLOSE_GRACE_S = 0.1
"""Least time for clients to read their answers and to close, at the process's end."""
CLOSE_STEP_S = CLOSE_GRACE_S / 20
"""Between two looks at the connections that are left, at the process's end."""
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
"""Headers that must not be repeated: a reader that took the other value would read
another message.
"""
FRAMING_HEADERS = frozenset(("host", "transfer-encoding", "content-length"))
"""Headers that must not be repeated, and after which the input is not to be trusted."""


class ClientConnection(asyncio.Protocol):
    """One client's connection; its requests are answered one at a time, in order."""

    def __init__(self, server: ConnectionRegistry) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = None
        """Made with the first input."""
        self.incomplete_request: Request | None = None
        self.raw_bytes = 0
        """Bytes read since the last complete request, or since a refused one."""
        self.in_headers = True
        self.request_count = 0
        """Complete requests so far."""
        self.close_at_us = 0
        """When it is closed after a refusal; 0 before one."""
        self.queued_requests: deque[Request] = deque()
        self.active_request: Request | None = None
        """The request that is being answered."""
        self.on_disconnect: Callable[[], None] | None = None
        self.connected_at_us = server.clock()
        self.last_used_us = self.connected_at_us
        self.discarding_input = False
        self.peer_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection (called by the event loop)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # asyncio sets it only where the listener was made with the protocol's number,
        # and ours was not. An answer that the system holds back would be lost with a
        # connection that is reset.
        with suppress(OSError):
            transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
        self.server.add_connection(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Withdraw what has no answer (called by the event loop)."""
        del error
        self.server.connections.discard(self)
        self.queued_requests.clear()
        self.notify_disconnect()
        # Both refer back: without them the collector has no cycle to find.
        self.parser = None
        self.transport = None

    def eof_received(self) -> bool:
        """Refuse what has no answer: a client that ends its side no longer waits."""
        self.peer_closed = True
        self.refuse_pending("withdrawn")
        return False

    def refuse_pending(self, text: str, **headers: str) -> None:
        """Refuse each complete request that has no answer."""
        self.notify_disconnect()
        if self.active_request is not None:
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, text, **headers)
        while self.queued_requests and self.is_open():
            self.active_request = self.queued_requests.popleft()
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, text, **headers)

    def notify_disconnect(self) -> None:
        """Tell whoever works on the active request that its client is gone, once."""
        callback = self.on_disconnect
        self.on_disconnect = None
        if callback is not None:
            callback()

    def data_received(self, data: bytes) -> None:
        """Read requests, and answer those that are complete (called by the loop)."""
        self.last_used_us = self.server.clock()
        self.raw_bytes += len(data)
        if self.discarding_input:
            self._limit_discarded_input()
            return
        if self.parser is None:
            self.parser = httptools.HttpRequestParser(self)
        previous_count = self.request_count
        try:
            self.parser.feed_data(data)
            if self.request_count != previous_count:
                self.raw_bytes = 0
            else:
                self._limit_raw_input()
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            BadRequestError,
        ) as error:
            self._refuse_input(error)
        self.process_next()

    def _limit_discarded_input(self) -> None:
        if self.raw_bytes <= LINGER_BYTES or self.transport is None:
            return
        if self.close_at_us:
            self.transport.close()
        else:
            # An answer before the refusal is still to come, and must not be reset.
            self.transport.pause_reading()

    def _limit_raw_input(self) -> None:
        """Refuse a request whose raw bytes exceed what any valid one may have.

        The parser reports a header only once it is complete: a header without end, and
        blank lines before one, show in the raw bytes alone. Small chunks make a body's
        raw bytes some times its size.
        """
        limit = MAX_HEADER_BYTES
        if not self.in_headers:
            limit += RAW_BODY_FACTOR * MAX_BODY_BYTES
        if self.raw_bytes > limit:
            raise BadRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large"
            )

    def _refuse_input(self, error: Exception) -> None:
        """Queue a refusal, and discard all further input.

        After a request that cannot be read, nothing on this connection can be trusted
        to begin where it seems to. The parser wraps an error of its callbacks.
        """
        cause: BaseException = error
        if isinstance(error.__context__, BadRequestError):
            cause = error.__context__
        if not isinstance(cause, BadRequestError):
            cause = BadRequestError(HTTPStatus.BAD_REQUEST, "not a readable request")
        self.discarding_input = True
        self.raw_bytes = 0
        self.queued_requests.append(
            Request(self.last_used_us, keep_alive=False, error=cause)
        )
        self.incomplete_request = None

    # Called by the parser

    def on_message_begin(self) -> None:
        """Start a request."""
        self.incomplete_request = Request(self.server.arrival_time_us())
        self.in_headers = True

    def on_url(self, url: bytes) -> None:
        """Add a piece of the path."""
        request = self.incomplete_request
        if request is None:
            return
        request.header_bytes += len(url)
        if request.header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(
                HTTPStatus.REQUEST_URI_TOO_LONG, "the path is too long"
            )
        request.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; a trailer counts against the limit and is ignored."""
        request = self.incomplete_request
        if request is None:
            return
        request.header_bytes += len(name) + len(value)
        if request.header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the header is too large",
            )
        if not self.in_headers:
            return
        headers = request.headers
        lower_name = name.decode("latin-1").lower()
        if lower_name in headers:
            repeated = BadRequestError(
                HTTPStatus.BAD_REQUEST, f"{lower_name} stands twice"
            )
            if lower_name in FRAMING_HEADERS:
                raise repeated
            if lower_name in SINGLE_VALUE_HEADERS:
                request.error = repeated
        headers[lower_name] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Check how the body is framed, and ask for it where the client waits."""
        self.in_headers = False
        request = self.incomplete_request
        if request is None or self.transport is None or self.parser is None:
            return
        self._check_framing(self.parser, request.headers)
        if (
            request.headers.get("expect", "").lower() == "100-continue"
            and self.active_request is None
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _check_framing(
        self, parser: httptools.HttpRequestParser, headers: dict[str, str]
    ) -> None:
        """Refuse a request whose end is open to argument.

        Such a request may hide another that a different reader sees. The parser itself
        refuses both lengths at once, and repeated or signed ones; the rest is refused
        here.
        """
        version = parser.get_http_version()
        if version not in HTTP_VERSIONS:
            raise BadRequestError(
                HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here"
            )
        transfer_encoding = headers.get("transfer-encoding")
        if transfer_encoding is not None and (
            transfer_encoding.lower() != "chunked"
            or "content-length" in headers
            or version == "1.0"
        ):
            raise BadRequestError(
                HTTPStatus.NOT_IMPLEMENTED, "no such Transfer-Encoding"
            )
        if parser.should_upgrade():
            raise BadRequestError(
                HTTPStatus.NOT_IMPLEMENTED, "no other protocol is spoken here"
            )
        length = headers.get("content-length", "0")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            raise BadRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"
            )

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body."""
        request = self.incomplete_request
        if request is None:
            return
        if len(request.body) + len(body) > MAX_BODY_BYTES:
            raise BadRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"
            )
        request.body += body

    def on_message_complete(self) -> None:
        """Queue the request that is complete now."""
        if len(self.queued_requests) >= MAX_PIPELINED_REQUESTS:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "too many requests at once")
        request = self.incomplete_request
        if request is not None and self.parser is not None:
            request.method = self.parser.get_method().decode("latin-1")
            request.keep_alive = self.parser.should_keep_alive()
            self.queued_requests.append(request)
            self.incomplete_request = None
        self.request_count += 1
        self.in_headers = True

    # Answering

    def process_next(self) -> None:
        """Handle queued requests until one waits for its answer, and bound the queue."""
        while self.active_request is None and self.queued_requests and self.is_open():
            self.active_request = self.queued_requests.popleft()
            self.server.handle_request(self, self.active_request)
        if self.transport is not None and not self.transport.is_closing():
            if len(self.queued_requests) >= MAX_QUEUED_REQUESTS:
                self.transport.pause_reading()
            elif not self.transport.is_reading():
                self.transport.resume_reading()

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        """Answer the active request, if there is one and its client can read.

        Underscores in header names stand for hyphens.
        """
        request = self.active_request
        self.active_request = None
        self.on_disconnect = None
        if (
            request is None
            or self.transport is None
            or not self.is_open()
            or self.close_at_us
        ):
            return
        keep_open = self._stays_open_after(request)
        body = (text + "\n").encode() if text else b""
        head = _encode_response_head(status, headers, len(body), keep_open)
        self.transport.write(head if request.method == "HEAD" else head + body)
        self.last_used_us = self.server.clock()
        if not keep_open:
            self.finish()
        elif not self.peer_closed:
            asyncio.get_running_loop().call_soon(self.process_next)

    def _stays_open_after(self, request: Request) -> bool:
        """Whether the connection is kept after the answer to this request.

        Complete requests behind it are answered too, and only the last of their answers
        announces the end: a client reads nothing after Connection: close.
        """
        connection_ends = (
            self.server.draining or self.server.handed_over or self.peer_closed
        )
        return request.keep_alive and (
            bool(self.queued_requests) or not connection_ends
        )

    # Ending

    def finish(self) -> None:
        """Shut the connection down gracefully.

        A close with unread input would reset the connection, and the client would lose
        the answers it has not read: this side is ended first, and input is read and
        discarded for a while before the close.
        """
        if self.transport is None or not self.is_open() or self.close_at_us:
            return
        self.discarding_input = True
        self.incomplete_request = None
        self.raw_bytes = 0
        self.queued_requests.clear()
        if self.peer_closed:
            return  # All input is read, and the event loop closes the connection.
        try:
            self.transport.write_eof()
        except OSError:  # It was reset, and the event loop has not read that yet.
            self.transport.abort()
            return
        self.server.close_later(self)

    def has_unread_input(self) -> bool:
        """Whether the socket holds input that the event loop has not read yet."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and has_unread_input(self.transport)
        )

    def is_open(self) -> bool:
        """Whether something can still be written."""
        return self.transport is not None and not self.transport.is_closing()

    def is_idle(self) -> bool:
        """Whether it holds no request, complete or not."""
        return (
            self.active_request is None
            and self.incomplete_request is None
            and not self.queued_requests
        )

    def request_stalled_us(self, now: int) -> int:
        """Return for how long the first request without an answer is incomplete.

        It is 0 where there is none, or where one before it has no answer yet.
        """
        request = self.incomplete_request
        if request is None or self.active_request is not None or self.queued_requests:
            return 0
        return now - request.received_at_us

    def close(self) -> None:
        """End the connection between two requests, unless one lies unread."""
        if self.is_open() and not self.close_at_us and not self.has_unread_input():
            self.finish()

    def shut_down(self, immediately: bool) -> None:
        """End the connection as the process ends.

        Args:
            immediately: Refuse what has no answer, also an incomplete request, rather
                than wait for it.
        """
        if self.is_idle():
            self.close()
        elif immediately and self.is_open():
            if self.active_request is None and not self.queued_requests:
                self.active_request = self.incomplete_request
                self.incomplete_request = None
            self.refuse_pending("not ready", Retry_After="1")

    def abort(self) -> None:
        """Close at once, whatever is unread or unsent."""
        if self.transport is not None:
            self.transport.abort()


def _encode_response_head(
    status: HTTPStatus, headers: dict[str, str], body_bytes: int, keep_open: bool
) -> bytes:
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        f"Content-Length: {body_bytes}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    if body_bytes:
        lines.append("Content-Type: text/plain; charset=utf-8")
    if not keep_open:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class ConnectionRegistry:
    """All clients' connections, and the ways in which they end."""

    clock: Callable[[], int]
    max_connections: int

    def __init__(self) -> None:
        self.connections: set[ClientConnection] = set()
        self.draining = False
        """The process shuts down."""
        self.handed_over = False
        """Another process accepts the connections."""
        self.closed = False
        self.listener: asyncio.Server | None = None
        self.accept_tasks: set[asyncio.Task[None]] = set()

    def arrival_time_us(self) -> int:
        """Return when the input that is read now came, at the earliest."""
        raise NotImplementedError

    def add_connection(self, connection: ClientConnection) -> None:
        """Register a connection that was accepted."""
        raise NotImplementedError

    def close_later(self, connection: ClientConnection) -> None:
        """Close a connection whose input is discarded, in a while."""
        raise NotImplementedError

    def handle_request(self, connection: ClientConnection, request: Request) -> None:
        """Answer a complete request, now or later."""
        raise NotImplementedError

    def drain(self) -> None:
        """Go on answering, and close connections that are idle.

        A new connection is left open for a while for its first request.
        """
        self.draining = True
        newest_us = self.clock() - FIRST_REQUEST_GRACE_US
        for connection in list(self.connections):
            if connection.is_idle() and (
                connection.request_count or connection.connected_at_us <= newest_us
            ):
                connection.close()

    def hand_over(self) -> None:
        """Leave new connections to another process.

        Those held here end after their next answer.
        """
        self.handed_over = True
        self.stop_listening()

    def stop_listening(self) -> None:
        """Accept no connection from now on.

        What asyncio accepted in this very turn has no transport yet, and would be
        dropped silently if its listener closed before it has one.
        """
        listener = self.listener
        self.listener = None
        if listener is not None:
            loop = asyncio.get_running_loop()
            for sock in listener.sockets:
                loop.remove_reader(sock.fileno())
            loop.call_soon(self.accept_remaining, listener)

    def accept_remaining(self, listener: asyncio.Server) -> None:
        """Accept what is in the backlog, then close the listener.

        Those clients are connected already, and the close would reset them.
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
            listening.detach()  # The descriptor is the listener's.
        listener.close()

    async def adopt_socket(self, accepted: socket.socket) -> None:
        """Make a client's connection of an accepted socket."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: ClientConnection(self), accepted)
        except OSError:
            accepted.close()

    async def close(self, grace_s: float = CLOSE_GRACE_S) -> None:
        """End all connections as the process ends.

        Each request gets an answer, and clients have a while to read it and to close.

        Args:
            grace_s: After this, connections are aborted; after half of it, requests
                without an answer are refused.
        """
        loop = asyncio.get_running_loop()
        close_at = loop.time() + grace_s
        self.draining = True
        self.stop_listening()
        for _ in range(SETTLE_LOOP_TURNS):
            await asyncio.sleep(0)
        while self.connections or self.accept_tasks:
            now = loop.time()
            if now >= close_at:
                break
            for connection in list(self.connections):
                connection.shut_down(now >= close_at - grace_s / 2)
            await asyncio.sleep(CLOSE_STEP_S)
        self.closed = True
        for connection in list(self.connections):
            connection.abort()
