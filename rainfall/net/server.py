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
from rainfall.net.client_connection import (
    BadRequest,
    ClientConnection,
    Connections,
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
STALLED_US = 2_000_000
# ... connection so long after connecting, if it has stood for this: clients wait 0.4 s
FIRST_US = 300_000
# a connection on which nothing was ever asked is closed after this, and never sooner
SILENT_US = 2_000_000
IDLE_US = 10_000_000  # as is one on which nothing has been asked for so long
UNASKED_US = 400_000  # clients send at once, and wait for the answer so long
SWEEP_S = 0.2
# between two looks at how late the loop is: what it reads may have waited for so long
BEAT_S = 0.05
LATE_FADE = (
    0.98  # each look's share of the latest that is still expected: it halves in 1.7 s
)
LINGER_S = (
    0.5  # after a refusal of what could not be read, so that the client can read why
)
MOST_UNREAD = (
    64 * 1024
)  # bytes of answers that a client has not taken: whoever waits for one answer has few
BIND_TRIES, BIND_PAUSE_S = 100, 0.05
# connections that wait in the system: hundreds of clients may come again in one moment
BACKLOG = 1024
ACCEPTS = 4  # connections taken at a time, ...
# ... and the turns of the loop from its accept until the descriptor that makes room is
# free
ACCEPT_TURNS = 4
TIME_LEFT = re.compile(
    r"-?[0-9]{1,9}(\.[0-9]{0,9})?", re.ASCII
)  # float() reads more: nan, 1e9, 1_0
LATEST = 2.0  # times its class's deadline: what has longer to live is malformed
log = logging.getLogger("rainfall.server")


@dataclass(slots=True)
class Handed:
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


class Asker(Protocol):
    """Who handed a message in and waits to hear of it; `left` is called if that
    ends.
    """

    left: Callable[[], None] | None

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None: ...


def message(request: Request, settings: Settings) -> Handed:
    """Read a message from a request, or say what is wrong with it."""
    name, bad = request.path.partition("?")[0].strip("/"), HTTPStatus.BAD_REQUEST
    cls = next((c for c in settings.classes if c.name == name.partition("/")[0]), None)
    if cls is None:
        raise BadRequest(HTTPStatus.NOT_FOUND, "no such class of message")
    if request.method != "POST":
        raise BadRequest(
            HTTPStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST"
        )
    h = request.headers
    ident = h.get("x-correlation-id", "")
    if (
        not 0 < len(ident) <= 128
        or not ident.isascii()
        or not ident.isprintable()
        or " " in ident
    ):
        raise BadRequest(bad, "X-Correlation-Id is missing or malformed")
    told = h.get("x-time-left", "")
    left = float(told) if TIME_LEFT.fullmatch(told) else None
    if left is None or left * 1_000_000 > LATEST * cls.deadline_us:
        raise BadRequest(bad, "X-Time-Left is missing, malformed or too long")
    extras = h.get("x-addressing", "").replace(",", ";").split(";")
    named = [
        value
        for name, _, value in (part.strip().partition("=") for part in extras)
        if name == "dest"
    ]
    dest = named[0] if len(named) == 1 else ""
    if not dest.isascii() or not dest.isdigit() or len(dest) > 10:
        raise BadRequest(bad, "X-Addressing names no destination")
    key = h.get("idempotency-key")
    if key is not None and (
        len(key) > 256 or not key.isascii() or not key.isprintable()
    ):
        raise BadRequest(bad, "Idempotency-Key is malformed")
    if cls.idempotency is Idempotency.WITH_KEY and not key:
        raise BadRequest(bad, "Idempotency-Key is missing")
    order_key = h.get("x-session-key") if cls.ordered else None
    if order_key is not None and (
        not 0 < len(order_key) <= 256
        or not order_key.isascii()
        or not order_key.isprintable()
    ):
        raise BadRequest(bad, "X-Session-Key is malformed")
    tenant = h.get("x-account")
    if settings.tenants and tenant not in {t.name for t in settings.tenants}:
        raise BadRequest(bad, "X-Account is missing or unknown")
    return Handed(
        ident,
        cls.name,
        int(dest),
        request.came_us + int(left * 1_000_000),
        key,
        order_key,
        tenant,
        h.get("x-repeat") == "1",
        bytes(request.body),
    )


async def bind(host: str, port: int) -> socket.socket:
    """A listening socket; the process before may still be going, so it is tried for a
    while.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for attempt in range(BIND_TRIES):
        try:
            return socket.create_server((host, port), family=family)
        except OSError:
            if attempt == BIND_TRIES - 1:
                raise
            await asyncio.sleep(BIND_PAUSE_S)
    raise AssertionError("not reached")


class Server(Connections):
    """Listens for clients. `hand_in` gets each well-formed message together with its
    connection.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], int],
        most: int,
        hand_in: Callable[[Handed, Asker], None],
        ready: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self.settings, self.clock, self.most, self.hand_in = (
            settings,
            clock,
            most,
            hand_in,
        )
        self.ready = ready
        self.beat_due_us, self.late_us, self.expected_late_us = clock(), 0, 0
        self.beat_timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int, inherited: int | None = None) -> None:
        loop = asyncio.get_running_loop()
        if inherited is None:
            sock = await bind(host, port)
        # a copy: to stop accepting closes it, and the platform's own stays as it is
        else:
            sock = socket.socket(fileno=os.dup(inherited))
            if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(f"descriptor {inherited} is no listening socket")
        # asyncio takes as many connections at a time as its backlog says, before it
        # tells of the first: with a long one a flood would use up the descriptors
        # before anything could make room.
        self.listener = await loop.create_server(
            lambda: ClientConnection(self), sock=sock, backlog=ACCEPTS
        )
        sock.listen(BACKLOG)
        loop.call_later(SWEEP_S, self.sweep)
        self.beat_due_us = self.clock()
        self.beat()

    def beat(self) -> None:
        """Measure how late the loop is. It stands still while it works, or while others
        have its core.
        """
        if self.closed:
            return
        now = self.clock()
        self.late_us = max(0, now - self.beat_due_us)
        self.expected_late_us = max(
            self.late_us, int(LATE_FADE * self.expected_late_us)
        )
        self.beat_due_us = now + int(BEAT_S * 1_000_000)
        self.beat_timer = asyncio.get_running_loop().call_later(BEAT_S, self.beat)

    def came_us(self) -> int:
        """When what is read now came, at the earliest: a client counts its time from
        then. The beat runs behind what is read in its turn, and before the first bytes
        of what was accepted in it.
        """
        now = self.clock()
        return now - max(self.late_us, now - self.beat_due_us, 0)

    def joined(self, connection: ClientConnection) -> None:
        """Bound the sockets. Who waits for an answer stays; of the others the first by
        `rank` goes.
        """
        self.connections.add(connection)
        if len(self.connections) > self.most:
            spare = [
                c
                for c in self.connections
                if c is not connection and c.busy is None and not c.waiting
            ]
            # What lies unread may be a request, and a close over it resets the
            # connection.
            first = next(
                (
                    c
                    for c in sorted(spare, key=self.rank(spare))
                    if c.broken or not c.unread()
                ),
                connection,
            )
            first.abort()
            # Its descriptor is closed in the loop's next turn: counted till then, it
            # would be picked again by each other that joins in this one, and none of
            # them would make room.
            self.connections.discard(first)

    def rank(
        self, spare: list[ClientConnection]
    ) -> Callable[[ClientConnection], tuple[int, int]]:
        """Who makes room first: those that were refused already; then those that never
        came to the end of a request, the oldest first, while they are many or have had
        the time to, so that neither silence nor half requests without end push out who
        comes with whole ones; then the one idle longest. So resting connections cannot
        push out who has just come and was not read yet, either.
        """
        unasked = [c.came_us for c in spare if not c.requests and not c.broken]
        first = (
            2 * len(unasked) > self.most
            or self.clock() - min(unasked, default=0) >= UNASKED_US
        )

        def rank(c: ClientConnection) -> tuple[int, int]:
            if c.broken:
                return 0, c.used_us
            if not c.requests:
                return 1 if first else 4, c.came_us
            return 2 if c.idle() else 3, c.used_us

        return rank

    def linger(self, connection: ClientConnection) -> None:
        """Close in a while: the client may read meanwhile what it did wrong. A flood
        shortens that.
        """
        connection.until_us = self.clock() + int(LINGER_S * 1_000_000)

    def sweep(self) -> None:
        """No connection holds its socket for ever: not one that was refused, nor one
        that says nothing, that stands half read or that has long been idle (a client
        that stays asks again, or opens a new one).
        """
        if self.closed:
            return
        now = self.clock()
        idle_us = IDLE_US if 2 * len(self.connections) <= self.most else SILENT_US
        for connection in list(self.connections):
            if connection.until_us:
                if connection.until_us <= now:
                    connection.abort()
            elif connection.idle():
                if now - (
                    connection.used_us if connection.requests else connection.came_us
                ) >= (idle_us if connection.requests else SILENT_US):
                    connection.close() if connection.open() else connection.abort()
            elif self.stalled(connection, now):
                connection.broken, connection.reading = True, None
                connection.busy = Request(now, keep_alive=False)
                connection.answer(
                    HTTPStatus.REQUEST_TIMEOUT, "the request did not come to its end"
                )
        asyncio.get_running_loop().call_later(SWEEP_S, self.sweep)

    def stalled(self, connection: ClientConnection, now: int) -> bool:
        """Whether a request has stood half read for too long."""
        stood = connection.stalled_us(now)
        if connection.requests:
            return stood >= STALLED_US
        return stood >= FIRST_US and now - connection.came_us >= STALLED_US

    def handle(self, connection: ClientConnection, request: Request) -> None:
        if (
            connection.transport is not None
            and connection.transport.get_write_buffer_size() > MOST_UNREAD
        ):
            # it asks on and on and reads nothing: its answers would fill the memory
            connection.abort()
            return
        if request.bad is not None:
            connection.answer(request.bad.status, request.bad.text)
        elif request.path.partition("?")[0] == "/up":
            if request.method not in ("GET", "HEAD"):
                connection.answer(
                    HTTPStatus.METHOD_NOT_ALLOWED, "GET only", Allow="GET, HEAD"
                )
            elif self.leaving or not self.ready():
                connection.answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")
            else:
                connection.answer(HTTPStatus.OK, "up")
        else:
            try:
                handed = message(request, self.settings)
            except BadRequest as bad:
                more = (
                    {"Allow": "POST"}
                    if bad.status is HTTPStatus.METHOD_NOT_ALLOWED
                    else {}
                )
                connection.answer(bad.status, bad.text, **more)
                return
            self.hand_in(handed, connection)
