"""The clients' side: listens, bounds connections in number and time, checks messages
and hands them on.
"""

from __future__ import annotations

import asyncio
import logging
import os
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from rainfall.dispatch import Idempotency, Settings
from rainfall.forwarder.inbound.client_connection import (
    BadRequestError,
    ClientConnection,
    ConnectionRegistry,
    Request,
)

# A peer that sends no proper request, or nothing, is owed an error or a close within 3
# s of connecting (TERMS). The longest ways there, and the rest is for a loop that is
# late (a test computes them):
# - it says nothing: SILENT_US + SWEEP_S = 2.2 s;
# - it stands half read from the start: STALLED_US + SWEEP_S = 2.2 s;
# - it begins at the last moment and stands half read: SILENT_US + SWEEP_S + FIRST_US +
# SWEEP_S = 2.7 s.
# a request that stands half read for longer is answered 408; the first on a ...
STALLED_REQUEST_US = 2_000_000
# ... connection so long after connecting, if it has stood for this: clients wait 0.4 s
STALLED_FIRST_REQUEST_US = 300_000
# a connection on which nothing was ever asked is closed after this, and never sooner
SILENT_CONNECTION_US = 2_000_000
IDLE_CONNECTION_US = 10_000_000  # as is one on which nothing has been asked for so long
FIRST_REQUEST_WAIT_US = 400_000  # clients send at once, and wait for the answer so long
SWEEP_INTERVAL_S = 0.2
# between two looks at how late the loop is: what it reads may have waited for so long
LOOP_CHECK_INTERVAL_S = 0.05
LOOP_DELAY_DECAY = (
    0.98  # each look's share of the latest that is still expected: it halves in 1.7 s
)
LINGER_S = (
    0.5  # after a refusal of what could not be read, so that the client can read why
)
MAX_UNREAD_BYTES = (
    64 * 1024
)  # bytes of answers that a client has not taken: whoever waits for one answer has few
BIND_ATTEMPTS, BIND_RETRY_S = 100, 0.05
# connections that wait in the system: hundreds of clients may come again in one moment
BACKLOG = 1024
ACCEPT_BATCH = 4  # connections taken at a time, ...
# ... and the turns of the loop from its accept until the descriptor that makes room is
# free
ACCEPT_LOOP_TURNS = 4
TIME_LEFT_FORMAT = re.compile(
    r"-?[0-9]{1,9}(\.[0-9]{0,9})?", re.ASCII
)  # float() reads more: nan, 1e9, 1_0
TIME_LEFT_LIMIT_FACTOR = (
    2.0  # times its class's deadline: what has longer to live is malformed
)
log = logging.getLogger("rainfall.server")


@dataclass(slots=True)
class SubmittedMessage:
    """A message as a client handed it in, well-formed but not yet taken on."""

    id: str
    class_name: str
    destination: int
    due_us: int
    key: str | None
    order_key: str | None
    """Where its class keeps its order: those that share it go one at a time, as handed
    in.
    """
    tenant: str | None
    resent: bool
    body: bytes


class ResponseWriter(Protocol):
    """Who handed a message in and waits to hear of it; `left` is called if that ends."""

    on_disconnect: Callable[[], None] | None

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None: ...


def parse_message(request: Request, settings: Settings) -> SubmittedMessage:
    """Read a message from a request, or say what is wrong with it."""
    name, bad_request = (
        request.path.partition("?")[0].strip("/"),
        HTTPStatus.BAD_REQUEST,
    )
    message_class = next(
        (c for c in settings.classes if c.name == name.partition("/")[0]), None
    )
    if message_class is None:
        raise BadRequestError(HTTPStatus.NOT_FOUND, "no such class of message")
    if request.method != "POST":
        raise BadRequestError(
            HTTPStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST"
        )
    headers = request.headers
    message_id = headers.get("x-correlation-id", "")
    if (
        not 0 < len(message_id) <= 128
        or not message_id.isascii()
        or not message_id.isprintable()
        or " " in message_id
    ):
        raise BadRequestError(bad_request, "X-Correlation-Id is missing or malformed")
    time_left = headers.get("x-time-left", "")
    seconds_left = float(time_left) if TIME_LEFT_FORMAT.fullmatch(time_left) else None
    if (
        seconds_left is None
        or seconds_left * 1_000_000 > TIME_LEFT_LIMIT_FACTOR * message_class.deadline_us
    ):
        raise BadRequestError(
            bad_request, "X-Time-Left is missing, malformed or too long"
        )
    addressing = headers.get("x-addressing", "").replace(",", ";").split(";")
    named = [
        value
        for name, _, value in (part.strip().partition("=") for part in addressing)
        if name == "dest"
    ]
    destination = named[0] if len(named) == 1 else ""
    if not destination.isascii() or not destination.isdigit() or len(destination) > 10:
        raise BadRequestError(bad_request, "X-Addressing names no destination")
    key = headers.get("idempotency-key")
    if key is not None and (
        len(key) > 256 or not key.isascii() or not key.isprintable()
    ):
        raise BadRequestError(bad_request, "Idempotency-Key is malformed")
    if message_class.idempotency is Idempotency.WITH_KEY and not key:
        raise BadRequestError(bad_request, "Idempotency-Key is missing")
    order_key = headers.get("x-session-key") if message_class.ordered else None
    if order_key is not None and (
        not 0 < len(order_key) <= 256
        or not order_key.isascii()
        or not order_key.isprintable()
    ):
        raise BadRequestError(bad_request, "X-Session-Key is malformed")
    tenant = headers.get("x-account")
    if settings.tenants and tenant not in {t.name for t in settings.tenants}:
        raise BadRequestError(bad_request, "X-Account is missing or unknown")
    return SubmittedMessage(
        message_id,
        message_class.name,
        int(destination),
        request.received_at_us + int(seconds_left * 1_000_000),
        key,
        order_key,
        tenant,
        headers.get("x-repeat") == "1",
        bytes(request.body),
    )


async def bind_listener(host: str, port: int) -> socket.socket:
    """A listening socket; the process before may still be going, so it is tried for a
    while.
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
    """Listens for clients.

    `hand_in` gets each well-formed message together with its connection.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], int],
        most: int,
        hand_in: Callable[[SubmittedMessage, ResponseWriter], None],
        ready: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self.settings, self.clock, self.max_connections, self.submit = (
            settings,
            clock,
            most,
            hand_in,
        )
        self.is_ready = ready
        self.loop_check_due_us, self.loop_delay_us, self.expected_loop_delay_us = (
            clock(),
            0,
            0,
        )
        self.loop_check_timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        loop = asyncio.get_running_loop()
        if inherited is None:
            sock = await bind_listener(host, port)
        # a copy: to stop accepting closes it, and the platform's own stays as it is
        else:
            sock = socket.socket(fileno=os.dup(inherited))
            if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(f"descriptor {inherited} is no listening socket")
        # asyncio takes as many connections at a time as its backlog says, before it
        # tells of the first: with a long one a flood would use up the descriptors
        # before anything could make room.
        self.listener = await loop.create_server(
            lambda: ClientConnection(self), sock=sock, backlog=ACCEPT_BATCH
        )
        sock.listen(BACKLOG)
        loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.loop_check_due_us = self.clock()
        self.check_loop_delay()

    def check_loop_delay(self) -> None:
        """Measure how late the loop is.

        It stands still while it works, or while others have its core.
        """
        if self.closed:
            return
        now = self.clock()
        self.loop_delay_us = max(0, now - self.loop_check_due_us)
        self.expected_loop_delay_us = max(
            self.loop_delay_us, int(LOOP_DELAY_DECAY * self.expected_loop_delay_us)
        )
        self.loop_check_due_us = now + int(LOOP_CHECK_INTERVAL_S * 1_000_000)
        self.loop_check_timer = asyncio.get_running_loop().call_later(
            LOOP_CHECK_INTERVAL_S, self.check_loop_delay
        )

    def arrival_time_us(self) -> int:
        """When what is read now came, at the earliest: a client counts its time from
        then. The beat runs behind what is read in its turn, and before the first bytes
        of what was accepted in it.
        """
        now = self.clock()
        return now - max(self.loop_delay_us, now - self.loop_check_due_us, 0)

    def add_connection(self, connection: ClientConnection) -> None:
        """Bound the sockets.

        Who waits for an answer stays; of the others the first by `rank` goes.
        """
        self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            evictable = [
                c
                for c in self.connections
                if c is not connection
                and c.active_request is None
                and not c.queued_requests
            ]
            # What lies unread may be a request, and a close over it resets the
            # connection.
            evicted = next(
                (
                    c
                    for c in sorted(evictable, key=self.eviction_order(evictable))
                    if c.discarding_input or not c.has_unread_input()
                ),
                connection,
            )
            evicted.abort()
            # Its descriptor is closed in the loop's next turn: counted till then, it
            # would be picked again by each other that joins in this one, and none of
            # them would make room.
            self.connections.discard(evicted)

    def eviction_order(
        self, evictable: list[ClientConnection]
    ) -> Callable[[ClientConnection], tuple[int, int]]:
        """Who makes room first: those that were refused already; then those that never
        came to the end of a request, the oldest first, while they are many or have had
        the time to, so that neither silence nor half requests without end push out who
        comes with whole ones; then the one idle longest. So resting connections cannot
        push out who has just come and was not read yet, either.
        """
        first_request_waits = [
            c.connected_at_us
            for c in evictable
            if not c.request_count and not c.discarding_input
        ]
        first = (
            2 * len(first_request_waits) > self.max_connections
            or self.clock() - min(first_request_waits, default=0)
            >= FIRST_REQUEST_WAIT_US
        )

        def rank(c: ClientConnection) -> tuple[int, int]:
            if c.discarding_input:
                return 0, c.last_used_us
            if not c.request_count:
                return 1 if first else 4, c.connected_at_us
            return 2 if c.is_idle() else 3, c.last_used_us

        return rank

    def close_later(self, connection: ClientConnection) -> None:
        """Close in a while: the client may read meanwhile what it did wrong.

        A flood shortens that.
        """
        connection.close_at_us = self.clock() + int(LINGER_S * 1_000_000)

    def sweep(self) -> None:
        """No connection holds its socket for ever: not one that was refused, nor one
        that says nothing, that stands half read or that has long been idle (a client
        that stays asks again, or opens a new one).
        """
        if self.closed:
            return
        now = self.clock()
        idle_us = (
            IDLE_CONNECTION_US
            if 2 * len(self.connections) <= self.max_connections
            else SILENT_CONNECTION_US
        )
        for connection in list(self.connections):
            if connection.close_at_us:
                if connection.close_at_us <= now:
                    connection.abort()
            elif connection.is_idle():
                if now - (
                    connection.last_used_us
                    if connection.request_count
                    else connection.connected_at_us
                ) >= (idle_us if connection.request_count else SILENT_CONNECTION_US):
                    connection.close() if connection.is_open() else connection.abort()
            elif self.is_stalled(connection, now):
                connection.discarding_input, connection.incomplete_request = True, None
                connection.active_request = Request(now, keep_alive=False)
                connection.answer(
                    HTTPStatus.REQUEST_TIMEOUT, "the request did not come to its end"
                )
        asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def is_stalled(self, connection: ClientConnection, now: int) -> bool:
        """Whether a request has stood half read for too long."""
        stalled_us = connection.request_stalled_us(now)
        if connection.request_count:
            return stalled_us >= STALLED_REQUEST_US
        return (
            stalled_us >= STALLED_FIRST_REQUEST_US
            and now - connection.connected_at_us >= STALLED_REQUEST_US
        )

    def handle_request(self, connection: ClientConnection, request: Request) -> None:
        if (
            connection.transport is not None
            and connection.transport.get_write_buffer_size() > MAX_UNREAD_BYTES
        ):
            # it asks on and on and reads nothing: its answers would fill the memory
            connection.abort()
            return
        if request.error is not None:
            connection.answer(request.error.status, request.error.text)
        elif request.path.partition("?")[0] == "/up":
            if request.method not in ("GET", "HEAD"):
                connection.answer(
                    HTTPStatus.METHOD_NOT_ALLOWED, "GET only", Allow="GET, HEAD"
                )
            elif self.draining or not self.is_ready():
                connection.answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")
            else:
                connection.answer(HTTPStatus.OK, "up")
        else:
            try:
                submitted = parse_message(request, self.settings)
            except BadRequestError as bad:
                extra_headers = (
                    {"Allow": "POST"}
                    if bad.status is HTTPStatus.METHOD_NOT_ALLOWED
                    else {}
                )
                connection.answer(bad.status, bad.text, **extra_headers)
                return
            self.submit(submitted, connection)
