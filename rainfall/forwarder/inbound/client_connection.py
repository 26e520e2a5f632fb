"""HTTP/1.1 connections from clients: requests are read and answered in order.

`ClientConnection` is the protocol of one connection; its server is an `InboundServer`.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Protocol

import httptools

from rainfall.forwarder.http1 import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    RAW_BODY_FACTOR,
)
from rainfall.forwarder.inbound.requests import BadRequestError, Request
from rainfall.forwarder.socket_state import has_unread_input

__all__ = ["BadRequestError", "ClientConnection", "Request"]
MAX_QUEUED_REQUESTS = 8
"""Queued requests of one connection at which reading from it is paused."""
MAX_PIPELINED_REQUESTS = 64
"""Maximum number of requests that wait in a connection's queue. Reading is paused at
MAX_QUEUED_REQUESTS, so only requests pipelined in one chunk of input can exceed that;
well-behaved clients send one at a time.
"""
LINGER_BYTES = 1 << 20
"""Maximum number of bytes that are read and discarded after a rejected request."""
HTTP_VERSIONS = ("1.0", "1.1")
"""Versions that are accepted; any other is rejected with 505."""
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
"""Headers that must not be repeated: another HTTP parser may use another of the values,
and so a different message. The request is rejected, and later ones are still read.
"""
FRAMING_HEADERS = frozenset(("host", "transfer-encoding", "content-length"))
"""Headers that must not be repeated. After a repetition all further input of the
connection is discarded: another HTTP parser may read it as different requests.
"""


class ConnectionServer(Protocol):
    """What a `ClientConnection` requires of its server."""

    clock: Callable[[], int]
    """The dispatcher's clock, in microseconds."""
    connections: set[ClientConnection]
    """All open connections."""
    draining: bool
    """The process shuts down."""
    handed_over: bool
    """Another process accepts new connections."""

    def arrival_time_us(self) -> int:
        """Return the earliest time at which the input being read can have arrived."""

    def add_connection(self, connection: ClientConnection) -> None:
        """Register an accepted connection."""

    def close_later(self, connection: ClientConnection) -> None:
        """Schedule the close of a connection whose input is discarded."""

    def handle_request(self, connection: ClientConnection, request: Request) -> None:
        """Process a complete request; its response may be written later."""


class ClientConnection(asyncio.Protocol):
    """A client's connection, whose requests are answered one at a time, in order."""

    def __init__(self, server: ConnectionServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = None
        """Created when the first input arrives; dropped when the connection is lost."""
        self.incomplete_request: Request | None = None
        """The request that is being received, None between two requests."""
        self.raw_bytes = 0
        """Bytes received since the last complete request or, once `discarding_input` is
        set, bytes discarded since then.
        """
        self.in_headers = True
        """The headers of the request being received, or of the next one, are not
        complete yet. False while a body and its trailers are received.
        """
        self.request_count = 0
        """Number of complete requests so far."""
        self.close_at_us = 0
        """When the connection is closed, set once its sending side is shut down; 0
        until then.
        """
        self.queued_requests: deque[Request] = deque()
        """Complete requests that wait until the requests before them are answered."""
        self.active_request: Request | None = None
        """The request that is being answered."""
        self.on_disconnect: Callable[[], None] | None = None
        """Called if the client disconnects before the active request is answered."""
        self.connected_at_us = server.clock()
        self.last_used_us = self.connected_at_us
        """When input was last received or a response was last written."""
        self.discarding_input = False
        """All further input is read and discarded: a request was malformed or timed
        out, or the connection is being closed.
        """
        self.peer_closed = False
        """The client has ended its sending side, so no further request can arrive."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection (called by the event loop)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # asyncio sets TCP_NODELAY only on sockets with proto=IPPROTO_TCP, which those
        # of socket.create_server() do not have. A response that Nagle's algorithm holds
        # back would be lost if the connection is reset.
        with suppress(OSError):
            transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
        self.server.add_connection(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Withdraw the requests without a response (called by the event loop)."""
        del error
        self.server.connections.discard(self)
        self.queued_requests.clear()
        self.notify_disconnect()
        # The parser and the transport refer to this object: clearing them breaks the
        # reference cycles, so that the object is freed without the garbage collector.
        self.parser = None
        self.transport = None

    def eof_received(self) -> bool:
        """Reject the requests without a response (called by the event loop).

        A client that ends its sending side no longer waits for responses.

        Returns:
            False, so that asyncio closes the transport.
        """
        self.peer_closed = True
        self.reject_pending("withdrawn")
        return False

    def reject_pending(self, text: str, **headers: str) -> None:
        """Answer 503 to each complete request that has no response."""
        self.notify_disconnect()
        if self.active_request is not None:
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, text, **headers)
        while self.queued_requests and self.is_open():
            self.active_request = self.queued_requests.popleft()
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, text, **headers)

    def notify_disconnect(self) -> None:
        """Call the active request's `on_disconnect` callback, at most once."""
        callback = self.on_disconnect
        self.on_disconnect = None
        if callback is not None:
            callback()

    def data_received(self, data: bytes) -> None:
        """Parse requests and process the complete ones (called by the event loop)."""
        self.last_used_us = self.server.clock()
        self.raw_bytes += len(data)
        if self.discarding_input:
            self._check_discarded_bytes()
            return
        if self.parser is None:
            self.parser = httptools.HttpRequestParser(self)
        previous_request_count = self.request_count
        try:
            self.parser.feed_data(data)
            if self.request_count != previous_request_count:
                self.raw_bytes = 0
            else:
                self._check_raw_bytes()
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            BadRequestError,
        ) as error:
            self._reject_input(error)
        self.process_next()

    def _check_discarded_bytes(self) -> None:
        if self.raw_bytes <= LINGER_BYTES or self.transport is None:
            return
        if self.close_at_us:
            self.transport.close()
        else:
            # An earlier request has no response yet; closing the socket with unread
            # input would reset the connection, and the response would be lost.
            self.transport.pause_reading()

    def _check_raw_bytes(self) -> None:
        """Reject an incomplete request with more raw bytes than any valid one has.

        The parser reports a header only once it is complete, so an endless header, or
        blank lines before a request, count only in the raw bytes. Small chunks make the
        raw bytes of a body a multiple of its size.
        """
        limit = MAX_HEADER_BYTES
        if not self.in_headers:
            limit += RAW_BODY_FACTOR * MAX_BODY_BYTES
        if self.raw_bytes > limit:
            raise BadRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large"
            )

    def _reject_input(self, error: Exception) -> None:
        """Queue an error response, and discard all further input.

        After a request that cannot be parsed it is unknown where the next one begins.

        Args:
            error: The parser's error, or the `BadRequestError` of `_check_raw_bytes`.
                Where a parser callback raised a `BadRequestError`, the parser's error
                has it as its context.
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
        """Start a request when its first bytes are parsed."""
        self.incomplete_request = Request(self.server.arrival_time_us())
        self.in_headers = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the path."""
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
        """Add a header; trailers count against the size limit and are ignored."""
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
            repeated_header_error = BadRequestError(
                HTTPStatus.BAD_REQUEST, f"{lower_name} is repeated"
            )
            if lower_name in FRAMING_HEADERS:
                raise repeated_header_error
            if lower_name in SINGLE_VALUE_HEADERS:
                request.error = repeated_header_error
        headers[lower_name] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Check the body's framing, and send 100 Continue if the client expects it."""
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
        """Reject a request whose end is ambiguous.

        Such a request may smuggle in a second one, which only another HTTP parser sees.
        httptools itself rejects Content-Length together with Transfer-Encoding, and a
        repeated or signed Content-Length; the other cases are rejected here.
        """
        version = parser.get_http_version()
        if version not in HTTP_VERSIONS:
            raise BadRequestError(
                HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
                "only HTTP/1.0 and HTTP/1.1 are supported",
            )
        transfer_encoding = headers.get("transfer-encoding")
        if transfer_encoding is not None and (
            transfer_encoding.lower() != "chunked"
            or "content-length" in headers
            or version == "1.0"
        ):
            raise BadRequestError(
                HTTPStatus.NOT_IMPLEMENTED, "this Transfer-Encoding is not supported"
            )
        if parser.should_upgrade():
            raise BadRequestError(
                HTTPStatus.NOT_IMPLEMENTED, "protocol upgrades are not supported"
            )
        length = headers.get("content-length", "0")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            raise BadRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"
            )

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        request = self.incomplete_request
        if request is None:
            return
        if len(request.body) + len(body) > MAX_BODY_BYTES:
            raise BadRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"
            )
        request.body += body

    def on_message_complete(self) -> None:
        """Queue the complete request."""
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
        """Process queued requests until one waits for its response.

        Reading is paused while the queue is full.
        """
        while self.active_request is None and self.queued_requests and self.is_open():
            self.active_request = self.queued_requests.popleft()
            self.server.handle_request(self, self.active_request)
        if self.transport is not None and not self.transport.is_closing():
            if len(self.queued_requests) >= MAX_QUEUED_REQUESTS:
                self.transport.pause_reading()
            elif not self.transport.is_reading():
                self.transport.resume_reading()

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        """Write the response to the active request.

        Does nothing if there is no active request, or if nothing can be written to the
        client any more.

        Args:
            status: Status of the response.
            text: Body of the response, without its final newline.
            headers: Additional headers; underscores in their names stand for hyphens.
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
        """Whether the connection stays open after the response to this request.

        Before the server closes the connection, it answers the complete requests in the
        queue. Only the last response has Connection: close, because a client reads no
        response after that one.
        """
        closes_connections = (
            self.server.draining or self.server.handed_over or self.peer_closed
        )
        return request.keep_alive and (
            bool(self.queued_requests) or not closes_connections
        )

    # Ending

    def finish(self) -> None:
        """Close the connection gracefully.

        Closing a socket with unread input resets the connection, and the client would
        lose the responses that it has not read. So the sending side is shut down first,
        and input is read and discarded for a while before the close.
        """
        if self.transport is None or not self.is_open() or self.close_at_us:
            return
        self.discarding_input = True
        self.incomplete_request = None
        self.raw_bytes = 0
        self.queued_requests.clear()
        if self.peer_closed:
            return  # All input is read, and the event loop closes the transport.
        try:
            self.transport.write_eof()
        except OSError:  # Reset by the client, not yet reported by the event loop.
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
        """Whether the transport is open and not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    def is_idle(self) -> bool:
        """Whether no request is being received, queued or answered."""
        return (
            self.active_request is None
            and self.incomplete_request is None
            and not self.queued_requests
        )

    def request_stalled_us(self, now: int) -> int:
        """Return for how many microseconds a request has been incomplete.

        Returns 0 if no request is being received, or if a request before it has no
        response yet.
        """
        request = self.incomplete_request
        if request is None or self.active_request is not None or self.queued_requests:
            return 0
        return now - request.received_at_us

    def close(self) -> None:
        """Close the connection gracefully, unless a request may be unread."""
        if self.is_open() and not self.close_at_us and not self.has_unread_input():
            self.finish()

    def shut_down(self, immediately: bool) -> None:
        """Close the connection because the process ends.

        Args:
            immediately: Answer 503 to all requests without a response, including an
                incomplete one, instead of waiting for their responses.
        """
        if self.is_idle():
            self.close()
        elif immediately and self.is_open():
            if self.active_request is None and not self.queued_requests:
                self.active_request = self.incomplete_request
                self.incomplete_request = None
            self.reject_pending("not ready", Retry_After="1")

    def abort(self) -> None:
        """Close immediately, and drop unread input and unsent responses."""
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
