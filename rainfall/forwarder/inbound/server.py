"""The clients' side: listens, bounds connections, and submits their messages."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from enum import IntEnum
from http import HTTPStatus

from rainfall.dispatch import Settings
from rainfall.forwarder.inbound.client_connection import (
    ClientConnection,
    ConnectionRegistry,
)
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
# A peer that sends no proper request, or nothing, is owed an error or a close within
# 3 s of connecting (TERMS). The longest ways there leave time for an event loop that is
# late (a test computes them):
# - it sends nothing: SILENT_CONNECTION_US + SWEEP_INTERVAL_S = 2.2 s;
# - its request is incomplete from the start: STALLED_REQUEST_US + SWEEP_INTERVAL_S
#   = 2.2 s;
# - it begins at the last moment and stalls: SILENT_CONNECTION_US + SWEEP_INTERVAL_S
#   + STALLED_FIRST_REQUEST_US + SWEEP_INTERVAL_S = 2.7 s.
STALLED_REQUEST_US = 2_000_000
"""A request that is incomplete for longer is answered 408, and so is the first request
of a connection so long after connecting ...
"""
STALLED_FIRST_REQUEST_US = 300_000
"""... if it has been incomplete for this: clients wait 0.4 s for an answer."""
SILENT_CONNECTION_US = 2_000_000
"""A connection without any request is closed after this, and never sooner."""
IDLE_CONNECTION_US = 10_000_000
"""A connection is closed so long after its last request."""
FIRST_REQUEST_WAIT_US = 400_000
"""Clients send at once, and wait for the answer so long."""
SWEEP_INTERVAL_S = 0.2
"""Between two looks for connections whose time is over."""
LOOP_CHECK_INTERVAL_S = 0.05
"""Between two looks at how late the event loop is."""
LOOP_DELAY_DECAY = 0.98
"""Share of the expected delay that remains after each look: it halves in 1.7 s."""
LINGER_S = 0.5
"""A connection is closed so long after a refusal, so that the client can read it."""
MAX_UNREAD_BYTES = 64 * 1024
"""Bytes of answers that a client has not read: one that waits for each has few."""
BIND_ATTEMPTS = 100
BIND_RETRY_S = 0.05
BACKLOG = 1024
"""Connections that wait in the system: hundreds of clients may reconnect at once."""
ACCEPT_BATCH = 4
"""Connections accepted in one turn of the event loop."""
ACCEPT_LOOP_TURNS = 4
"""Turns of the event loop from an accept until the descriptor that makes room for it is
closed.
"""
log = logging.getLogger("rainfall.server")


class EvictionGroup(IntEnum):
    """Which connections make room first: those of the smallest group."""

    REFUSED = 0
    """Its input is refused already."""
    NO_REQUEST_EARLY = 1
    """Without a complete request, though it had the time, or too many are like it."""
    IDLE = 2
    INCOMPLETE = 3
    """It has sent complete requests, and the next one is incomplete."""
    NO_REQUEST_LATE = 4
    """Without a complete request, and it may have had no time for one."""


EvictionRank = tuple[EvictionGroup, int]
"""Its group, and since when in microseconds: within a group the oldest goes first. A
plain tuple, as a flood ranks all connections for each new one.
"""


async def bind_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    The process before may still hold the address, so it is tried for a while.

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
    """Listens for clients, and submits the messages that they send."""

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], int],
        most: int,
        hand_in: Callable[[SubmittedMessage, ResponseWriter], None],
        ready: Callable[[], bool] = lambda: True,
    ) -> None:
        """Make a server that does not listen yet.

        Args:
            settings: What messages are checked against.
            clock: The dispatcher's clock, in microseconds.
            most: Connections at a time.
            hand_in: Gets each well-formed message together with its connection.
            ready: Whether the forwarder accepts messages.
        """
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.max_connections = most
        self.submit = hand_in
        self.is_ready = ready
        self.loop_check_due_us = clock()
        self.loop_delay_us = 0
        self.expected_loop_delay_us = 0
        """The longest recent delay of the event loop, which decays."""
        self.loop_check_timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listen on an address, or on a listening socket that the platform holds.

        Raises:
            OSError: The address cannot be bound, or `inherited` is no such socket.
        """
        loop = asyncio.get_running_loop()
        if inherited is None:
            sock = await bind_listener(host, port)
        else:
            # A copy: to stop accepting closes it, and the platform's own stays open.
            sock = socket.socket(fileno=os.dup(inherited))
            if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(f"descriptor {inherited} is no listening socket")
        # asyncio accepts as many connections at a time as its backlog says before it
        # reports the first: with a long one a flood would use up the descriptors before
        # anything could make room.
        self.listener = await loop.create_server(
            lambda: ClientConnection(self), sock=sock, backlog=ACCEPT_BATCH
        )
        sock.listen(BACKLOG)
        loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.loop_check_due_us = self.clock()
        self.check_loop_delay()

    def check_loop_delay(self) -> None:
        """Measure how late the event loop is, again and again."""
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
        """Return when the input that is read now came, at the earliest.

        A client counts its time from then. The check of the loop's delay runs after
        what is read in its turn, and before the first bytes of what was accepted in it.
        """
        now = self.clock()
        return now - max(self.loop_delay_us, now - self.loop_check_due_us, 0)

    def add_connection(self, connection: ClientConnection) -> None:
        """Register a connection, and make room if there are too many.

        A connection whose client waits for an answer stays; if all do, the new one
        goes.
        """
        self.connections.add(connection)
        if len(self.connections) <= self.max_connections:
            return
        evicted = self._choose_evicted(connection)
        evicted.abort()
        # Its descriptor is closed in the loop's next turn: counted till then, it would
        # be chosen again for each other connection of this turn, and none would make
        # room.
        self.connections.discard(evicted)

    def _choose_evicted(self, new: ClientConnection) -> ClientConnection:
        evictable = [
            c
            for c in self.connections
            if c is not new and c.active_request is None and not c.queued_requests
        ]
        for candidate in sorted(evictable, key=self.eviction_order(evictable)):
            # Unread input may be a request, and a close over it resets the connection.
            if candidate.discarding_input or not candidate.has_unread_input():
                return candidate
        return new

    def eviction_order(
        self, evictable: list[ClientConnection]
    ) -> Callable[[ClientConnection], EvictionRank]:
        """Return the sort key of connections that may make room.

        Refused connections go first; then those without a complete request, the oldest
        first, while they are many or have had the time for one, so that neither silence
        nor endless incomplete requests push out clients that send complete ones; then
        the one idle longest. Thus idle connections cannot push out one that has just
        come and was not read yet, either.
        """
        first_request_waits = [
            c.connected_at_us
            for c in evictable
            if not c.request_count and not c.discarding_input
        ]
        evict_early = (
            2 * len(first_request_waits) > self.max_connections
            or self.clock() - min(first_request_waits, default=0)
            >= FIRST_REQUEST_WAIT_US
        )
        no_request = (
            EvictionGroup.NO_REQUEST_EARLY
            if evict_early
            else EvictionGroup.NO_REQUEST_LATE
        )

        def rank(connection: ClientConnection) -> EvictionRank:
            if connection.discarding_input:
                return EvictionGroup.REFUSED, connection.last_used_us
            if not connection.request_count:
                return no_request, connection.connected_at_us
            group = (
                EvictionGroup.IDLE if connection.is_idle() else EvictionGroup.INCOMPLETE
            )
            return group, connection.last_used_us

        return rank

    def close_later(self, connection: ClientConnection) -> None:
        """Close in a while, so that the client can read why.

        A flood of connections shortens that.
        """
        connection.close_at_us = self.clock() + int(LINGER_S * US_PER_SECOND)

    def sweep(self) -> None:
        """End each connection whose time is over, again and again.

        It may have been refused, send nothing, hold an incomplete request, or be idle
        for long: a client that stays sends again, or connects anew.
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
                connection.discarding_input = True
                connection.incomplete_request = None
                connection.active_request = Request(now, keep_alive=False)
                connection.answer(
                    HTTPStatus.REQUEST_TIMEOUT, "the request did not come to its end"
                )
        asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def _sweep_idle(self, connection: ClientConnection, now: int, idle_us: int) -> None:
        if connection.request_count:
            is_expired = now - connection.last_used_us >= idle_us
        else:
            is_expired = now - connection.connected_at_us >= SILENT_CONNECTION_US
        if not is_expired:
            return
        if connection.is_open():
            connection.close()
        else:
            connection.abort()

    def is_stalled(self, connection: ClientConnection, now: int) -> bool:
        """Whether a request has been incomplete for too long."""
        stalled_us = connection.request_stalled_us(now)
        if connection.request_count:
            return stalled_us >= STALLED_REQUEST_US
        return (
            stalled_us >= STALLED_FIRST_REQUEST_US
            and now - connection.connected_at_us >= STALLED_REQUEST_US
        )

    def handle_request(self, connection: ClientConnection, request: Request) -> None:
        """Refuse a request, answer a readiness check, or submit a message."""
        if (
            connection.transport is not None
            and connection.transport.get_write_buffer_size() > MAX_UNREAD_BYTES
        ):
            # The client sends and never reads: its answers would fill the memory.
            connection.abort()
        elif request.error is not None:
            connection.answer(request.error.status, request.error.text)
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

    def _submit_message(self, connection: ClientConnection, request: Request) -> None:
        try:
            submitted = parse_message(request, self.settings)
        except BadRequestError as error:
            headers: dict[str, str] = {}
            if error.status is HTTPStatus.METHOD_NOT_ALLOWED:
                headers["Allow"] = "POST"
            connection.answer(error.status, error.text, **headers)
            return
        self.submit(submitted, connection)
