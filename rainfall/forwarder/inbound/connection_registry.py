"""All client connections, closed when the process drains, hands over or ends."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from rainfall.forwarder.inbound.client_connection import ClientConnection
from rainfall.forwarder.inbound.client_statistics import ClientStatistics
from rainfall.forwarder.inbound.input_budget import InputBudget
from rainfall.forwarder.inbound.requests import Request

FIRST_REQUEST_GRACE_US = 300_000
"""Minimum time that a new connection is kept open for its first request, even while
the process drains.
"""
SETTLE_LOOP_ITERATIONS = 4
"""Event loop iterations to wait for before the connections are closed at the end: by
then each accepted connection has a transport, and the input received so far is read.
"""
CLOSE_GRACE_S = 0.1
"""Minimum time that clients have to read their responses and to close the connection
when the process ends.
"""
CLOSE_STEP_S = CLOSE_GRACE_S / 20
"""Interval at which the remaining connections are checked when the process ends."""
READ_BUFFER_BYTES = 16 * 1024
"""Maximum size of a read: while hundreds of clients send large requests at once, a small
one waits for a read of each.
"""
ACCEPT_END_ERRNOS = frozenset(
    (errno.EAGAIN, errno.EBADF, errno.EINVAL, errno.EMFILE, errno.ENFILE)
)
"""Errors of accept(2) after which no further connection can be accepted: the backlog is
empty, the socket is closed, or no descriptor is left. Others concern one connection or
a moment.
"""
DEFAULT_INPUT_BYTES = 16_000_000
"""Limit of the memory of all clients' requests, until the engine sets it."""


class ConnectionRegistry:
    """All client connections, and how they are closed.

    `InboundServer` implements the abstract methods.
    """

    clock: Callable[[], int]
    """The dispatcher's clock, in microseconds."""
    max_connections: int
    """Maximum number of open connections."""

    def __init__(self) -> None:
        self.connections: set[ClientConnection] = set()
        self.paused_connections: set[ClientConnection] = set()
        """Open connections whose reading is paused: the event loop does not report that
        their clients leave.
        """
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        """Receives the input of all connections; each one's is copied before the next
        read.
        """
        self.input_budget = InputBudget(DEFAULT_INPUT_BYTES)
        """Limits the memory of the requests of all connections."""
        self.statistics = ClientStatistics()
        """Counts why connections are closed."""
        self.draining = False
        """The process shuts down: readiness checks fail, and each connection is closed
        after its next response.
        """
        self.handed_over = False
        """Another process accepts new connections; each one held here is closed after
        its next response.
        """
        self.closed = False
        """All connections are aborted, and the periodic checks stop."""
        self.listener: asyncio.Server | None = None
        """Accepts connections; None before `listen` and after `stop_listening`."""
        self.accept_tasks: set[asyncio.Task[None]] = set()
        """Tasks that create connections for sockets accepted while the listener closes."""

    def arrival_time_us(self) -> int:
        """Return the earliest time at which the input being read can have arrived."""
        raise NotImplementedError

    def add_connection(self, connection: ClientConnection) -> None:
        """Register an accepted connection."""
        raise NotImplementedError

    def close_later(self, connection: ClientConnection) -> None:
        """Schedule the close of a connection whose input is discarded."""
        raise NotImplementedError

    def handle_request(self, connection: ClientConnection, request: Request) -> None:
        """Process a complete request; its response may be written later."""
        raise NotImplementedError

    def drain(self) -> None:
        """Start draining: close idle connections, and still answer requests.

        A new connection is kept open for FIRST_REQUEST_GRACE_US for its first request.
        """
        self.draining = True
        connected_before_us = self.clock() - FIRST_REQUEST_GRACE_US
        for connection in list(self.connections):
            if connection.is_idle() and (
                connection.request_count
                or connection.connected_at_us <= connected_before_us
            ):
                connection.close()

    def hand_over(self) -> None:
        """Stop listening, since another process accepts new connections.

        Each connection held here is closed after its next response.
        """
        self.handed_over = True
        self.stop_listening()

    def stop_listening(self) -> None:
        """Stop accepting connections, except for those in the backlog.

        A connection that asyncio accepted in this loop iteration has no transport yet,
        and would be dropped silently if the listener closed before it has one. So the
        listener is closed in the next iteration.
        """
        listener = self.listener
        self.listener = None
        if listener is not None:
            loop = asyncio.get_running_loop()
            for sock in listener.sockets:
                loop.remove_reader(sock.fileno())
            loop.call_soon(self.accept_remaining, listener)

    def accept_remaining(self, listener: asyncio.Server) -> None:
        """Accept the connections in the backlog, then close the listener.

        The clients of the connections in the backlog are connected already, and closing
        the listener would reset their connections.
        """
        loop = asyncio.get_running_loop()
        for sock in listener.sockets:
            listening_socket = socket.socket(
                sock.family, sock.type, sock.proto, fileno=sock.fileno()
            )
            listening_socket.setblocking(False)
            for _ in range(max(0, self.max_connections - len(self.connections))):
                try:
                    accepted, _ = listening_socket.accept()
                except OSError as error:
                    # One connection may have broken in the backlog (accept(2)).
                    if error.errno in ACCEPT_END_ERRNOS:
                        break
                    continue
                task = loop.create_task(self.adopt_socket(accepted))
                self.accept_tasks.add(task)
                task.add_done_callback(self.accept_tasks.discard)
            listening_socket.detach()  # The listener owns the descriptor.
        listener.close()

    async def adopt_socket(self, accepted: socket.socket) -> None:
        """Create the connection of an accepted socket."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: ClientConnection(self), accepted)
        except OSError:
            accepted.close()

    async def close(self, grace_s: float = CLOSE_GRACE_S) -> None:
        """Close all connections because the process ends.

        Each request is answered, and clients have time to read the response and to
        close the connection.

        Args:
            grace_s: Seconds after which the remaining connections are aborted. After
                half of it, requests without a response are answered 503.
        """
        loop = asyncio.get_running_loop()
        close_at = loop.time() + grace_s
        self.draining = True
        self.stop_listening()
        for _ in range(SETTLE_LOOP_ITERATIONS):
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
