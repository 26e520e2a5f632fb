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

from rainfall.forwarder.config.address import Address
from rainfall.forwarder.inbound.server import bind_listener

MAX_CONNECTIONS = 16  # connections at a time
ACCEPT_BATCH = (
    2  # taken in one turn of the loop: some turns pass until room is made for them
)
MAX_HEADER_BYTES = 8 * 1024
MAX_BODY_BYTES = 1024
MAX_CONFIG_BYTES = 1 << 20  # a whole configuration
REQUEST_TIMEOUT_S = 2.0  # a call that is not whole after this is answered 408
# after an answer to what was not read to its end, so that the caller can read it
LINGER_S = 0.5
BACKLOG = 64
AdminResponder = Callable[[HTTPStatus, str], None]
log = logging.getLogger("rainfall.admin")


@dataclass
class Metrics:
    """What became of messages, counted once, where each ends.

    A class once seen keeps its count.
    """

    fulfilled: Counter[str] = field(default_factory=Counter)
    throttled: Counter[str] = field(default_factory=Counter)
    faulted: Counter[str] = field(default_factory=Counter)
    messages_accepted: int = 0
    """Messages taken on; those ended and those open are as many."""
    messages_finished: int = 0
    configs_accepted: int = 0
    configs_rejected: int = 0

    def add_classes(self, classes: Iterable[str]) -> None:
        """Every class stands there from 0."""
        for name in classes:
            for counts in (self.fulfilled, self.throttled, self.faulted):
                counts.setdefault(name, 0)

    def record_finished(self, counts: Counter[str], name: str) -> None:
        """A message that was taken on has its end."""
        counts[name] += 1
        self.messages_finished += 1


if TYPE_CHECKING:

    class EngineOperations(Protocol):
        """What the operators' calls ask of."""

        def is_ready(self) -> bool: ...

        def metrics_report(self) -> dict[str, Any]: ...

        def set_detached(
            self, name: str, detached: bool, answer: AdminResponder
        ) -> None: ...

        def check_config(self, text: bytes, answer: AdminResponder) -> None: ...

        def active_config_report(self) -> dict[str, str]: ...


class AdminServer:
    """Listens for operators. Until it is given what to ask, it is not ready."""

    def __init__(self) -> None:
        self.engine: EngineOperations | None = None
        self.connections: dict[AdminConnection, None] = {}
        self.listener: asyncio.Server | None = None

    async def listen(self, where: Address) -> None:
        sock = await bind_listener(where.host, where.port)
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: AdminConnection(self), sock=sock, backlog=ACCEPT_BATCH
        )
        sock.listen(BACKLOG)

    def add_connection(self, call: AdminConnection) -> None:
        """One more than may be: the oldest that is still not whole goes, and does not
        delay who asks.
        """
        self.connections[call] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(
                (c for c in self.connections if not c.response_sent and c is not call),
                next(iter(self.connections)),
            )
            oldest.abort()
            del self.connections[
                oldest
            ]  # its descriptor is closed in the next turn: it makes room only once

    def handle(
        self, method: str, path: str, body: bytes, answer: AdminResponder
    ) -> None:
        routes = {
            "/_ready": ("GET", self.respond_ready),
            "/_vars": ("GET", self.respond_metrics),
            "/_endpoints/detach": ("POST", self.detach),
            "/_endpoints/attach": ("POST", self.attach),
            "/_config": ("GET", self.respond_config),
            "/_config/check": ("POST", self.check_config),
        }
        if path not in routes:
            answer(HTTPStatus.NOT_FOUND, "no such call\n")
            return
        expected_method, handler = routes[path]
        if method != expected_method:
            answer(HTTPStatus.METHOD_NOT_ALLOWED, f"{expected_method} only\n")
        else:
            handler(body, answer)

    def respond_ready(self, body: bytes, answer: AdminResponder) -> None:
        if self.engine is not None and self.engine.is_ready():
            answer(HTTPStatus.OK, "ready\n")
        else:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")

    def respond_metrics(self, body: bytes, answer: AdminResponder) -> None:
        if self.engine is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
        else:
            answer(
                HTTPStatus.OK,
                json.dumps(self.engine.metrics_report(), separators=(",", ":")),
            )

    def respond_config(self, body: bytes, answer: AdminResponder) -> None:
        if self.engine is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
        else:
            answer(HTTPStatus.OK, json.dumps(self.engine.active_config_report()))

    def check_config(self, body: bytes, answer: AdminResponder) -> None:
        if self.engine is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
        else:
            self.engine.check_config(body, answer)

    def detach(self, body: bytes, answer: AdminResponder) -> None:
        self.set_detached(body, True, answer)

    def attach(self, body: bytes, answer: AdminResponder) -> None:
        self.set_detached(body, False, answer)

    def set_detached(self, body: bytes, detached: bool, answer: AdminResponder) -> None:
        try:
            endpoint = body.decode().strip()
        except UnicodeDecodeError:
            endpoint = ""
        if not endpoint or not endpoint.isprintable():
            answer(HTTPStatus.BAD_REQUEST, "the body names no endpoint\n")
        elif self.engine is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
        else:
            self.engine.set_detached(endpoint, detached, answer)

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for call in list(self.connections):
            call.close()


class AdminConnection(asyncio.Protocol):
    """One connection, one call."""

    def __init__(self, admin: AdminServer) -> None:
        self.admin = admin
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            self
        )
        self.timer: asyncio.TimerHandle | None = None
        self.path, self.body, self.received_bytes = "", b"", 0
        self.request_complete = self.response_sent = False
        self.max_body_bytes = MAX_BODY_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.timer = asyncio.get_running_loop().call_later(
            REQUEST_TIMEOUT_S, self.on_timeout
        )
        self.admin.add_connection(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.admin.connections.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
        self.parser = self.transport = None  # they refer back

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.parser is None or self.request_complete or self.response_sent:
            if self.received_bytes > 8 * (MAX_HEADER_BYTES + self.max_body_bytes):
                self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.request_complete:
                self.answer(HTTPStatus.BAD_REQUEST, "not a readable call\n")
            return
        if (
            not self.request_complete
            and self.received_bytes > MAX_HEADER_BYTES + self.max_body_bytes
        ):
            self.answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the call is too large\n")

    def eof_received(self) -> bool:
        """A caller may end its side after its call and still wait for the answer."""
        if not self.request_complete:
            self.close()
        return True

    # Called by the parser

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.path.startswith("/_config/"):
            self.max_body_bytes = MAX_CONFIG_BYTES

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.request_complete or self.response_sent or self.parser is None:
            return
        self.request_complete = True
        method = self.parser.get_method().decode("latin-1")
        if len(self.body) > self.max_body_bytes:
            self.answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large\n")
        else:
            self.admin.handle(
                method, self.path.partition("?")[0], self.body, self.answer
            )

    # Answering

    def on_timeout(self) -> None:
        if not self.request_complete:
            self.answer(
                HTTPStatus.REQUEST_TIMEOUT, "the call did not come to its end\n"
            )

    def answer(self, status: HTTPStatus, text: str) -> None:
        if self.response_sent or self.transport is None or self.transport.is_closing():
            return
        self.response_sent = True
        body = text.encode()
        kind = (
            "application/json" if text.startswith("{") else "text/plain; charset=utf-8"
        )
        self.transport.write(
            f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: {kind}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
            + body
        )
        if self.request_complete:
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
