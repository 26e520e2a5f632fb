"""The operators' address: readiness, the figures, and endpoints taken out and put back.
One call to a connection; it holds few descriptors, and those of its own, so that no
load of clients delays an answer.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

import httptools

from rainfall.net.address import Address
from rainfall.net.server import bind

MOST_CALLS = 16  # connections at a time
ACCEPTS = (
    2  # taken in one turn of the loop: some turns pass until room is made for them
)
MOST_HEAD = 8 * 1024
MOST_BODY = 1024
MOST_CONFIG = 1 << 20  # a whole configuration
HALF_CALL_S = 2.0  # a call that is not whole after this is answered 408
# after an answer to what was not read to its end, so that the caller can read it
LINGER_S = 0.5
BACKLOG = 64
Answer = Callable[[HTTPStatus, str], None]
log = logging.getLogger("rainfall.admin")


@dataclass
class Figures:
    """What became of messages, counted once, where each ends. A class once seen keeps
    its count.
    """

    fulfilled: Counter[str] = field(default_factory=Counter)
    throttled: Counter[str] = field(default_factory=Counter)
    faulted: Counter[str] = field(default_factory=Counter)
    taken: int = 0
    """Messages taken on; those ended and those open are as many."""
    ended: int = 0
    accepted: int = 0
    invalid: int = 0

    def cover(self, classes: Iterable[str]) -> None:
        """Every class stands there from 0."""
        for name in classes:
            for counts in (self.fulfilled, self.throttled, self.faulted):
                counts.setdefault(name, 0)

    def end(self, counts: Counter[str], name: str) -> None:
        """A message that was taken on has its end."""
        counts[name] += 1
        self.ended += 1


if TYPE_CHECKING:

    class Operated(Protocol):
        """What the operators' calls ask of."""

        def ready(self) -> bool: ...

        def told(self) -> dict[str, Any]: ...

        def rotate(self, name: str, out: bool, answer: Answer) -> None: ...

        def examine(self, text: bytes, answer: Answer) -> None: ...

        def in_force(self) -> dict[str, str]: ...


class Admin:
    """Listens for operators. Until it is given what to ask, it is not ready."""

    def __init__(self) -> None:
        self.operated: Operated | None = None
        self.calls: dict[AdminCall, None] = {}
        self.listener: asyncio.Server | None = None

    async def listen(self, where: Address) -> None:
        sock = await bind(where.host, where.port)
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: AdminCall(self), sock=sock, backlog=ACCEPTS
        )
        sock.listen(BACKLOG)

    def joined(self, call: AdminCall) -> None:
        """One more than may be: the oldest that is still not whole goes, and does not
        delay who asks.
        """
        self.calls[call] = None
        if len(self.calls) > MOST_CALLS:
            oldest = next(
                (c for c in self.calls if not c.answered and c is not call),
                next(iter(self.calls)),
            )
            oldest.abort()
            del self.calls[
                oldest
            ]  # its descriptor is closed in the next turn: it makes room only once

    def handle(self, method: str, path: str, body: bytes, answer: Answer) -> None:
        routes = {
            "/_ready": ("GET", self.ready),
            "/_vars": ("GET", self.figures),
            "/_endpoints/detach": ("POST", self.detach),
            "/_endpoints/attach": ("POST", self.attach),
            "/_config": ("GET", self.config),
            "/_config/check": ("POST", self.check),
        }
        if path not in routes:
            answer(HTTPStatus.NOT_FOUND, "no such call\n")
            return
        wanted, call = routes[path]
        if method != wanted:
            answer(HTTPStatus.METHOD_NOT_ALLOWED, f"{wanted} only\n")
        else:
            call(body, answer)

    def ready(self, body: bytes, answer: Answer) -> None:
        if self.operated is not None and self.operated.ready():
            answer(HTTPStatus.OK, "ready\n")
        else:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")

    def figures(self, body: bytes, answer: Answer) -> None:
        if self.operated is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
        else:
            answer(
                HTTPStatus.OK, json.dumps(self.operated.told(), separators=(",", ":"))
            )

    def config(self, body: bytes, answer: Answer) -> None:
        if self.operated is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
        else:
            answer(HTTPStatus.OK, json.dumps(self.operated.in_force()))

    def check(self, body: bytes, answer: Answer) -> None:
        if self.operated is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
        else:
            self.operated.examine(body, answer)

    def detach(self, body: bytes, answer: Answer) -> None:
        self.rotate(body, True, answer)

    def attach(self, body: bytes, answer: Answer) -> None:
        self.rotate(body, False, answer)

    def rotate(self, body: bytes, out: bool, answer: Answer) -> None:
        try:
            name = body.decode().strip()
        except UnicodeDecodeError:
            name = ""
        if not name or not name.isprintable():
            answer(HTTPStatus.BAD_REQUEST, "the body names no endpoint\n")
        elif self.operated is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
        else:
            self.operated.rotate(name, out, answer)

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for call in list(self.calls):
            call.close()


class AdminCall(asyncio.Protocol):
    """One connection, one call."""

    def __init__(self, admin: Admin) -> None:
        self.admin = admin
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            self
        )
        self.timer: asyncio.TimerHandle | None = None
        self.path, self.body, self.size = "", b"", 0
        self.whole = self.answered = False
        self.room = MOST_BODY

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.timer = asyncio.get_running_loop().call_later(HALF_CALL_S, self.late)
        self.admin.joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.admin.calls.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
        self.parser = self.transport = None  # they refer back

    def data_received(self, data: bytes) -> None:
        self.size += len(data)
        if self.parser is None or self.whole or self.answered:
            if self.size > 8 * (MOST_HEAD + self.room):
                self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.whole:
                self.answer(HTTPStatus.BAD_REQUEST, "not a readable call\n")
            return
        if not self.whole and self.size > MOST_HEAD + self.room:
            self.answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the call is too large\n")

    def eof_received(self) -> bool:
        """A caller may end its side after its call and still wait for the answer."""
        if not self.whole:
            self.close()
        return True

    # Called by the parser

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.path.startswith("/_config/"):
            self.room = MOST_CONFIG

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.whole or self.answered or self.parser is None:
            return
        self.whole = True
        method = self.parser.get_method().decode("latin-1")
        if len(self.body) > self.room:
            self.answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large\n")
        else:
            self.admin.handle(
                method, self.path.partition("?")[0], self.body, self.answer
            )

    # Answering

    def late(self) -> None:
        if not self.whole:
            self.answer(
                HTTPStatus.REQUEST_TIMEOUT, "the call did not come to its end\n"
            )

    def answer(self, status: HTTPStatus, text: str) -> None:
        if self.answered or self.transport is None or self.transport.is_closing():
            return
        self.answered = True
        body = text.encode()
        kind = (
            "application/json" if text.startswith("{") else "text/plain; charset=utf-8"
        )
        self.transport.write(
            f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: {kind}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
            + body
        )
        if self.whole:
            self.transport.close()
            return
        if (
            self.transport.can_write_eof()
        ):  # to close with something unread would reset the answer
            self.transport.write_eof()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(LINGER_S, self.abort)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
