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

from rainfall.forwarder.inbound.client_statistics import ClientStatistics, CloseReason
from rainfall.forwarder.inbound.input_budget import InputBudget
from rainfall.forwarder.inbound.request_reader import RequestReader
from rainfall.forwarder.inbound.requests import BadRequestError, Request
from rainfall.forwarder.inbound.response_head import encode_response_head
from rainfall.forwarder.socket_state import (
    has_unread_input,
    peer_has_closed,
    unread_bytes,
)

__all__ = ["BadRequestError", "ClientConnection", "Request"]
READ_BYTES = 4 * 1024
"""Size of a read beside the missing part of a body of known length."""
MAX_QUEUED_REQUESTS = 8
"""Queued requests of one connection at which its further input is left unparsed."""
MAX_QUEUED_BYTES = 32 * 1024
"""Memory of the queued requests of one connection at which it is, too."""
MAX_REQUESTS_PER_TURN = 8
"""Maximum number of requests that a connection's turn in the event loop processes, so
that clients that send at full speed do not delay others.
"""
MAX_UNREAD_BYTES = 1024
"""Response bytes that the kernel has not taken, above which no further request of the
connection is processed. The kernel itself holds some 10 kB before that.
"""
UNREAD_RESPONSE_TIMEOUT_S = 2.0
"""A connection whose client does not read its responses for this long is aborted."""
LINGER_BYTES = 1 << 20
"""Maximum number of bytes that are read and discarded after a rejected request."""


class ConnectionServer(Protocol):
    """What a `ClientConnection` requires of its server."""

    clock: Callable[[], int]
    """The dispatcher's clock, in microseconds."""
    connections: set[ClientConnection]
    """All open connections."""
    paused_connections: set[ClientConnection]
    """Open connections whose reading is paused."""
    draining: bool
    """The process shuts down."""
    handed_over: bool
    """Another process accepts new connections."""
    read_buffer: memoryview
    """Receives the input of all connections; each one's is copied before the next read."""
    input_budget: InputBudget
    """Limits the memory of the requests of all connections."""
    statistics: ClientStatistics
    """Counts why connections are closed."""

    def arrival_time_us(self) -> int:
        """Return the earliest time at which the input being read can have arrived."""

    def add_connection(self, connection: ClientConnection) -> None:
        """Register an accepted connection."""

    def close_later(self, connection: ClientConnection) -> None:
        """Schedule the close of a connection whose input is discarded."""

    def handle_request(self, connection: ClientConnection, request: Request) -> None:
        """Process a complete request; its response may be written later."""


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection, whose requests are answered one at a time, in order."""

    def __init__(self, server: ConnectionServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(self._queue_request, self._send_continue)
        self.unparsed_input = b""
        """Input that waits until there is room in `queued_requests`."""
        self.discarded_bytes = 0
        """Bytes discarded since `discarding_input` was set, or since the shutdown of the
        sending side.
        """
        self.paused_at_us = 0
        """When reading was paused last."""
        self.arrived_after_us = 0
        """Earliest arrival of the input left unread while reading was paused; 0 if there
        is no such input.
        """
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
        self.turn_scheduled = False
        """`process_next` is about to run."""
        self.unread_timer: asyncio.TimerHandle | None = None
        """Aborts the connection unless the client reads; runs while more than
        MAX_UNREAD_BYTES of its responses are unread.
        """

    @property
    def parser(self) -> httptools.HttpRequestParser | None:
        """The parser; None before the first input and after the end."""
        return self.reader.parser

    @property
    def incomplete_request(self) -> Request | None:
        """The request that is being received, None between two requests."""
        return self.reader.incomplete_request

    @property
    def request_count(self) -> int:
        """Number of complete requests so far."""
        return self.reader.request_count

    @property
    def raw_bytes(self) -> int:
        """Bytes parsed since the last complete request.

        Once `discarding_input` is set, bytes discarded since then.
        """
        return self.discarded_bytes if self.discarding_input else self.reader.raw_bytes

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection (called by the event loop)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
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
        self.server.paused_connections.discard(self)
        self.server.statistics.ended_connections += 1
        self.queued_requests.clear()
        self.unparsed_input = b""
        self.notify_disconnect()
        self.active_request = None
        self._stop_unread_timer()
        # The reader and the transport refer to this object: closing them breaks the
        # reference cycles, so that the object is freed without the garbage collector.
        self.reader.close()
        self.transport = None
        self.server.input_budget.update(self)

    def eof_received(self) -> bool:
        """Reject the requests without a response (called by the event loop).

        A client that ends its sending side no longer waits for responses.

        Returns:
            False, so that asyncio closes the transport.
        """
        self.peer_closed = True
        self.reject_pending("withdrawn")
        return False

    def pause_writing(self) -> None:
        """Process no further request until the client reads (called by the event loop)."""
        self.unread_timer = asyncio.get_running_loop().call_later(
            UNREAD_RESPONSE_TIMEOUT_S, self._abort_unread
        )

    def resume_writing(self) -> None:
        """Process further requests (called by the event loop)."""
        self._stop_unread_timer()
        self._schedule_turn()

    def _stop_unread_timer(self) -> None:
        if self.unread_timer is not None:
            self.unread_timer.cancel()
            self.unread_timer = None

    def _abort_unread(self) -> None:
        self.server.statistics.count_close(CloseReason.UNREAD_RESPONSES)
        self.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read (called by the event loop).

        The event loop reads and reports the input in one step, so all connections share
        a buffer.
        """
        del sizehint
        if self.discarding_input:
            return self.server.read_buffer
        return self.server.read_buffer[: self._max_read_bytes()]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse requests and process the complete ones (called by the event loop)."""
        self.last_used_us = self.server.clock()
        if self.discarding_input:
            self.discarded_bytes += nbytes
            self._check_discarded_bytes()
            return
        self.reader.input_arrived_us = self._arrival_time_us()
        if nbytes < self._max_read_bytes():
            self.arrived_after_us = 0  # All input is read.
        self.unparsed_input = bytes(self.server.read_buffer[:nbytes])
        self._parse_input()
        self.process_next()

    # Reading

    def _max_read_bytes(self) -> int:
        """Return the size of the next read: little more than the request lacks."""
        missing_bytes = READ_BYTES + self.reader.missing_body_bytes
        return min(missing_bytes, len(self.server.read_buffer))

    def _arrival_time_us(self) -> int:
        """Return the earliest time at which the input just read can have arrived."""
        arrived_us = self.server.arrival_time_us()
        if not self.arrived_after_us:
            return arrived_us
        return min(arrived_us, self.arrived_after_us)

    def _parse_input(self) -> None:
        """Parse the input until the queue is full; the rest stays unparsed."""
        data, parsed = self.unparsed_input, 0
        while (
            parsed < len(data)
            and not self._is_queue_full()
            and not self.discarding_input
        ):
            try:
                parsed = self.reader.feed(data, parsed)
            except BadRequestError as error:
                self._reject_input(error)
        self.unparsed_input = b"" if self.discarding_input else data[parsed:]

    def _is_queue_full(self) -> bool:
        queued = len(self.queued_requests)
        return queued >= MAX_QUEUED_REQUESTS or (
            queued > 0
            and (
                self._queued_bytes() >= MAX_QUEUED_BYTES
                or self.server.input_budget.is_exceeded()
            )
        )

    def _queued_bytes(self) -> int:
        return sum(request.held_bytes() for request in self.queued_requests)

    def _reject_input(self, error: BadRequestError) -> None:
        """Queue an error response, and discard all further input.

        After a request that cannot be parsed it is unknown where the next one begins.
        """
        self.discarding_input = True
        self.discarded_bytes = 0
        self.unparsed_input = b""
        self.reader.incomplete_request = None
        self.queued_requests.append(
            Request(self.last_used_us, keep_alive=False, error=error)
        )

    def _check_discarded_bytes(self) -> None:
        if self.discarded_bytes <= LINGER_BYTES or self.transport is None:
            return
        if self.close_at_us:
            self.server.statistics.count_close(CloseReason.ENDLESS_INPUT)
            self.transport.close()
        else:
            # An earlier request has no response yet; closing the socket with unread
            # input would reset the connection, and the response would be lost.
            self.transport.pause_reading()

    def _queue_request(self, request: Request) -> None:
        """Queue a complete request (called by the reader)."""
        self.queued_requests.append(request)

    def _send_continue(self, request: Request) -> None:
        """Send 100 Continue if the client expects it (called by the reader)."""
        if (
            request.headers.get("expect", "").lower() == "100-continue"
            and self.active_request is None
            and self.transport is not None
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _update_reading(self) -> None:
        """Pause reading while input waits to be parsed, so that the client waits, too."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self.discarding_input:
            should_read = bool(self.close_at_us) or self.discarded_bytes <= LINGER_BYTES
        else:
            should_read = not self.unparsed_input and not self._is_queue_full()
        if should_read == transport.is_reading():
            return
        if should_read:
            if self.has_unread_input():
                self.arrived_after_us = self.arrived_after_us or self.paused_at_us
            transport.resume_reading()
            self.server.paused_connections.discard(self)
        else:
            self.paused_at_us = self.server.clock()
            transport.pause_reading()
            self.server.paused_connections.add(self)

    # The memory of the requests (`BufferingConnection`)

    def held_bytes(self) -> int:
        """Return an estimate of the memory of the connection's requests."""
        held_bytes = len(self.unparsed_input)
        if self.reader.incomplete_request is not None:
            held_bytes += self.reader.incomplete_request.held_bytes()
        if self.active_request is not None:
            held_bytes += self.active_request.held_bytes()
        if self.queued_requests:
            held_bytes += self._queued_bytes()
        return held_bytes

    def incomplete_since_us(self) -> int | None:
        """Return when its incomplete request began; None if there is none to reject."""
        request = self.reader.incomplete_request
        if request is None or self.discarding_input or not self.is_open():
            return None
        return request.received_at_us

    def reject_incomplete(self, error: BadRequestError) -> None:
        """Answer the incomplete request with an error, and drop its content."""
        self.server.statistics.count_close(CloseReason.INPUT_LIMIT)
        self._reject_input(error)
        self._schedule_turn()

    def reject_queued(self, error: BadRequestError) -> None:
        """Answer the waiting requests with an error, and drop their content."""
        for request in self.queued_requests:
            request.reject(request.error or error)

    # Answering

    def process_next(self) -> None:
        """Process queued requests until one waits for its response.

        A turn processes MAX_REQUESTS_PER_TURN at most; the rest waits for the next one.
        """
        self.turn_scheduled = True  # Responses of this turn schedule no other one.
        for _ in range(MAX_REQUESTS_PER_TURN):
            if not self._can_process():
                break
            self.active_request = self.queued_requests.popleft()
            self.server.handle_request(self, self.active_request)
        if self.unparsed_input and not self._is_queue_full():
            self._parse_input()
        self.turn_scheduled = False
        if self._can_process():
            self._schedule_turn()
        self._update_reading()
        self.server.input_budget.update(self)
        self.server.input_budget.enforce()

    def _can_process(self) -> bool:
        """Whether a queued request can be processed now."""
        return (
            self.active_request is None
            and bool(self.queued_requests)
            and self.unread_timer is None
            and self.is_open()
        )

    def _schedule_turn(self) -> None:
        if not self.turn_scheduled:
            self.turn_scheduled = True
            asyncio.get_running_loop().call_soon(self.process_next)

    def reject_pending(self, text: str, **headers: str) -> None:
        """Answer 503 to each complete request that has no response."""
        self.notify_disconnect()
        if self.active_request is not None:
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, text, **headers)
        while self.queued_requests and self.is_open():
            self.active_request = self.queued_requests.popleft()
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, text, **headers)

    def reject_departed(self) -> None:
        """Answer 503 to each complete request, because the client has left."""
        self.server.statistics.departed += 1
        if (
            self.transport is not None
            and not self.unparsed_input
            and unread_bytes(self.transport) == 0
        ):
            self.peer_closed = True
        self.reject_pending("withdrawn")

    def notify_disconnect(self) -> None:
        """Call the active request's `on_disconnect` callback, at most once."""
        callback = self.on_disconnect
        self.on_disconnect = None
        if callback is not None:
            callback()

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
        head = encode_response_head(status, headers, len(body), keep_open)
        self.transport.write(head if request.method == "HEAD" else head + body)
        self.last_used_us = self.server.clock()
        if not keep_open:
            self.finish()
        elif self.queued_requests or self.unparsed_input:
            if not self.peer_closed:
                self._schedule_turn()
        elif not self.turn_scheduled:
            self.server.input_budget.update(self)

    def answer_stalled(self, now: int) -> None:
        """Answer 408 to the incomplete request, and discard all further input.

        Args:
            now: The current time, in microseconds of the dispatcher's clock.
        """
        self.server.statistics.count_close(CloseReason.STALLED)
        self.discarding_input = True
        self.reader.incomplete_request = None
        self.active_request = Request(now, keep_alive=False)
        self.answer(HTTPStatus.REQUEST_TIMEOUT, "the request did not come to its end")

    def _stays_open_after(self, request: Request) -> bool:
        """Whether the connection stays open after the response to this request.

        Before the server closes the connection, it answers the complete requests that it
        has read. Only the last response has Connection: close, because a client reads no
        response after that one.
        """
        closes_connections = (
            self.server.draining or self.server.handed_over or self.peer_closed
        )
        has_more = bool(self.queued_requests or self.unparsed_input)
        return request.keep_alive and (has_more or not closes_connections)

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
        self.reader.incomplete_request = None
        self.discarded_bytes = 0
        self.queued_requests.clear()
        self.unparsed_input = b""
        if self.peer_closed:
            return  # All input is read, and the event loop closes the transport.
        try:
            self.transport.write_eof()
        except OSError:  # Reset by the client, not yet reported by the event loop.
            self.transport.abort()
            return
        self.server.close_later(self)
        self._update_reading()
        self.server.input_budget.update(self)

    def has_unread_input(self) -> bool:
        """Whether the socket holds input that the event loop has not read yet."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and has_unread_input(self.transport)
        )

    def has_departed(self) -> bool:
        """Whether the client has ended its sending side, perhaps behind unread input."""
        return (
            self.transport is None
            or self.transport.is_closing()
            or peer_has_closed(self.transport)
        )

    def is_open(self) -> bool:
        """Whether the transport is open and not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    def is_idle(self) -> bool:
        """Whether no request is being received, queued or answered."""
        return (
            self.active_request is None
            and self.reader.incomplete_request is None
            and not self.queued_requests
            and not self.unparsed_input
        )

    def request_stalled_us(self, now: int) -> int:
        """Return for how many microseconds a request has been incomplete.

        Returns 0 if no request is being received, or if a request before it has no
        response yet.
        """
        request = self.reader.incomplete_request
        if request is None or self.active_request is not None or self.queued_requests:
            return 0
        return now - request.received_at_us

    def close(self) -> None:
        """Close the connection gracefully, unless a request may be unread."""
        if self.is_open() and not self.close_at_us and not self.has_unread_input():
            self.finish()

    def shut_down(self, immediately: bool) -> None:
        """Close the connection because the process ends.

        A new connection stays open for its first request, which may be on its way.

        Args:
            immediately: Answer 503 to all requests without a response, including an
                incomplete one, instead of waiting for them and for their responses.
        """
        if self.is_idle():
            if self.request_count or immediately:
                self.close()
        elif immediately and self.is_open():
            if self.active_request is None and not self.queued_requests:
                self.active_request = self.reader.incomplete_request
                self.reader.incomplete_request = None
            self.reject_pending("not ready", Retry_After="1")

    def abort(self) -> None:
        """Close immediately, and drop unread input and unsent responses."""
        if self.transport is not None:
            self.transport.abort()
