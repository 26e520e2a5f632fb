"""Server for clients: accepts and evicts connections, and submits their messages."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from http import HTTPStatus

from rainfall.dispatch import Settings
from rainfall.forwarder.inbound.client_connection import ClientConnection
from rainfall.forwarder.inbound.client_statistics import CloseReason
from rainfall.forwarder.inbound.connection_registry import ConnectionRegistry
from rainfall.forwarder.inbound.eviction import choose_evicted
from rainfall.forwarder.inbound.messages import (
    ResponseWriter,
    SubmittedMessage,
    parse_message,
)
from rainfall.forwarder.inbound.requests import BadRequestError, Request
from rainfall.forwarder.units import US_PER_SECOND

__all__ = [
    "InboundServer",
    "ResponseWriter",
    "SubmittedMessage",
    "bind_listener",
    "parse_message",
]
# A client that sends no request, or an incomplete one, must get an error response or a
# close within 3 s of connecting (TERMS, see `rainfall.dispatch`). The worst cases below
# leave time for a delayed event loop; a test computes them:
# - it sends nothing: SILENT_CONNECTION_US + SWEEP_INTERVAL_S = 2.2 s;
# - it starts a request at once, and stalls: STALLED_REQUEST_US + SWEEP_INTERVAL_S
#   = 2.2 s;
# - it starts a request just before its connection would be closed as silent, and
#   stalls: SILENT_CONNECTION_US + SWEEP_INTERVAL_S + STALLED_FIRST_REQUEST_US
#   + SWEEP_INTERVAL_S = 2.7 s.
STALLED_REQUEST_US = 2_000_000
"""A request that has been incomplete for this long is answered 408. For the first
request of a connection this time counts from connecting, and
STALLED_FIRST_REQUEST_US must have passed as well.
"""
STALLED_FIRST_REQUEST_US = 300_000
"""Minimum time for which a connection's first request must have been incomplete before
it is answered 408. Clients wait 0.4 s for a response.
"""
SILENT_CONNECTION_US = 2_000_000
"""A connection without any request is closed after this time, and not earlier."""
IDLE_CONNECTION_US = 10_000_000
"""An idle connection that has sent requests is closed after this time. While more than
half of the allowed connections are open, SILENT_CONNECTION_US applies instead.
"""
SWEEP_INTERVAL_S = 0.2
"""Interval at which connections are checked for expired timeouts."""
LOOP_CHECK_INTERVAL_S = 0.05
"""Interval at which the delay of the event loop is measured."""
LOOP_DELAY_DECAY = 0.98
"""Factor on the expected delay at each measurement; the delay halves in 1.7 s."""
LINGER_S = 0.5
"""Time between shutting down a connection's sending side and closing the connection, in
which the client can read the last response.
"""
BIND_ATTEMPTS = 100
BIND_RETRY_S = 0.05
"""Delay between two attempts to bind the address."""
BACKLOG = 1024
"""Length of the kernel's accept queue: hundreds of clients may reconnect at once."""
ACCEPT_BATCH = 4
"""Maximum number of connections accepted in one iteration of the event loop."""
ACCEPT_LOOP_ITERATIONS = 4
"""Event loop iterations from accepting a connection until the descriptor of the
connection that is evicted for it is closed.
"""
log = logging.getLogger("rainfall.server")


async def bind_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    A previous process may still hold the address, so binding is attempted BIND_ATTEMPTS
    times, every BIND_RETRY_S.

    Raises:
        OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for attempt in range(BIND_ATTEMPTS):
        try:
            return socket.create_server((host, port), family=family)
        except OSError:
            if attempt == BIND_ATTEMPTS - 1:
                raise
            await asyncio.sleep(BIND_RETRY_S)
    raise AssertionError("not reached")


class InboundServer(ConnectionRegistry):
    """Accepts client connections, and submits the messages that they send."""

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], int],
        max_connections: int,
        submit: Callable[[SubmittedMessage, ResponseWriter], None],
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            settings: Defines the message classes and tenants that are valid.
            clock: The dispatcher's clock, in microseconds.
            max_connections: Maximum number of open connections.
            submit: Called with each well-formed message and the writer of its response.
            is_ready: Returns whether the forwarder accepts messages.
        """
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.max_connections = max_connections
        self.submit = submit
        self.is_ready = is_ready
        self.loop_check_due_us = clock()
        """When the next check of the event loop's delay is due."""
        self.loop_delay_us = 0
        """How late the last check ran."""
        self.expected_loop_delay_us = 0
        """Longest recent delay of the event loop; it decays by LOOP_DELAY_DECAY."""
        self.loop_check_timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listen on an address, or on an inherited listening socket.

        Args:
            host: Address to bind.
            port: Port to bind; 0 for any free one.
            inherited: Descriptor of a listening socket that the platform passed; None
                to bind `host` and `port`.

        Raises:
            OSError: The address cannot be bound, or `inherited` is not a listening
                socket.
        """
        loop = asyncio.get_running_loop()
        if inherited is None:
            sock = await bind_listener(host, port)
        else:
            # Duplicated, since the listener closes its descriptor when it stops: the
            # platform's own one stays open.
            sock = socket.socket(fileno=os.dup(inherited))
            if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(f"descriptor {inherited} is not a listening socket")
        # asyncio accepts up to `backlog` connections in one iteration, before it
        # reports the first of them. With a large backlog a flood would use up the
        # descriptors before any connection could be evicted. The accept queue is set by
        # listen() below.
        self.listener = await loop.create_server(
            lambda: ClientConnection(self), sock=sock, backlog=ACCEPT_BATCH
        )
        sock.listen(BACKLOG)
        loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.loop_check_due_us = self.clock()
        self.check_loop_delay()

    def check_loop_delay(self) -> None:
        """Measure the event loop's delay, and schedule the next measurement."""
        if self.closed:
            return
        now = self.clock()
        self.loop_delay_us = max(0, now - self.loop_check_due_us)
        self.expected_loop_delay_us = max(
            self.loop_delay_us, int(LOOP_DELAY_DECAY * self.expected_loop_delay_us)
        )
        self.loop_check_due_us = now + int(LOOP_CHECK_INTERVAL_S * US_PER_SECOND)
        self.loop_check_timer = asyncio.get_running_loop().call_later(
            LOOP_CHECK_INTERVAL_S, self.check_loop_delay
        )

    def arrival_time_us(self) -> int:
        """Return the earliest time at which the input being read can have arrived.

        X-Time-Left counts from that time. Within a loop iteration the check of the
        loop's delay runs after the input of open connections is read, and before the
        first input of newly accepted ones. So the delay is the last measured one or, if
        that is longer, the time for which the next check is overdue.
        """
        now = self.clock()
        return now - max(self.loop_delay_us, now - self.loop_check_due_us, 0)

    def add_connection(self, connection: ClientConnection) -> None:
        """Register a connection, and evict one if there are too many."""
        self.connections.add(connection)
        if len(self.connections) <= self.max_connections:
            return
        evicted = choose_evicted(
            self.connections, connection, self.max_connections, self.clock()
        )
        self.statistics.count_close(CloseReason.EVICTED)
        evicted.abort()
        # The descriptor is closed in the next loop iteration. If the connection were
        # counted until then, it would be chosen again for each further connection of
        # this iteration, and no other would be evicted.
        self.connections.discard(evicted)

    def reject_departed(self) -> None:
        """Reject the requests of clients that left while their input was not read."""
        for connection in list(self.paused_connections):
            if connection.has_departed():
                connection.reject_departed()

    def close_later(self, connection: ClientConnection) -> None:
        """Schedule the close, so that the client can read the last response first.

        Under a flood the connection may be evicted earlier.
        """
        connection.close_at_us = self.clock() + int(LINGER_S * US_PER_SECOND)

    def sweep(self) -> None:
        """Close each connection with an expired timeout, and schedule the next sweep.

        Closed are connections that are due after `close_later`, that sent nothing, or
        that were idle for too long. A request that was incomplete for too long is
        answered 408; its client may send it again on a new connection.
        """
        if self.closed:
            return
        now = self.clock()
        is_crowded = 2 * len(self.connections) > self.max_connections
        idle_us = SILENT_CONNECTION_US if is_crowded else IDLE_CONNECTION_US
        for connection in list(self.connections):
            if connection.close_at_us:
                if connection.close_at_us <= now:
                    connection.abort()
            elif connection.is_idle():
                self._sweep_idle(connection, now, idle_us)
            elif self.is_stalled(connection, now):
                connection.answer_stalled(now)
        asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def _sweep_idle(self, connection: ClientConnection, now: int, idle_us: int) -> None:
        if connection.request_count:
            is_expired = now - connection.last_used_us >= idle_us
        else:
            is_expired = now - connection.connected_at_us >= SILENT_CONNECTION_US
        if not is_expired:
            return
        self.statistics.count_close(
            CloseReason.IDLE if connection.request_count else CloseReason.SILENT
        )
        if connection.is_open():
            connection.close()
        else:
            connection.abort()

    def is_stalled(self, connection: ClientConnection, now: int) -> bool:
        """Whether a request has been incomplete for too long at `now`."""
        stalled_us = connection.request_stalled_us(now)
        if connection.request_count:
            return stalled_us >= STALLED_REQUEST_US
        return (
            stalled_us >= STALLED_FIRST_REQUEST_US
            and now - connection.connected_at_us >= STALLED_REQUEST_US
        )

    def handle_request(self, connection: ClientConnection, request: Request) -> None:
        """Reject a request, answer a readiness check, or submit a message."""
        if request.error is not None:
            self._reject(connection, request.error)
        elif request.path.partition("?")[0] == "/up":
            self._answer_readiness(connection, request)
        else:
            self._submit_message(connection, request)

    def _answer_readiness(self, connection: ClientConnection, request: Request) -> None:
        if request.method not in ("GET", "HEAD"):
            connection.answer(
                HTTPStatus.METHOD_NOT_ALLOWED, "GET only", Allow="GET, HEAD"
            )
        elif self.draining or not self.is_ready():
            connection.answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")
        else:
            connection.answer(HTTPStatus.OK, "up")

    def _reject(self, connection: ClientConnection, error: BadRequestError) -> None:
        if connection.discarding_input and error.retry_after_s is None:
            self.statistics.count_close(CloseReason.MALFORMED)
        connection.answer(error.status, error.text, **error.response_headers())

    def _submit_message(self, connection: ClientConnection, request: Request) -> None:
        try:
            submitted = parse_message(request, self.settings)
        except BadRequestError as error:
            headers: dict[str, str] = {}
            if error.status is HTTPStatus.METHOD_NOT_ALLOWED:
                headers["Allow"] = "POST"
            connection.answer(error.status, error.text, **headers)
            return
        request.discard_content()
        if connection.has_departed():
            # The client may submit the message elsewhere, and waits for no response.
            connection.reject_departed()
            return
        self.submit(submitted, connection)
