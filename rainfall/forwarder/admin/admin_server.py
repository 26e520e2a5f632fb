"""The operators' HTTP server: readiness, metrics, configuration, endpoints' rotation.

Each connection serves one request. The server has a few file descriptors of its own, so
that no number of clients delays an answer.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import httptools

from rainfall.forwarder.admin.metrics import Metrics
from rainfall.forwarder.config.address import Address
from rainfall.forwarder.inbound.server import bind_listener

__all__ = ["AdminConnection", "AdminResponder", "AdminServer", "Metrics"]
MAX_CONNECTIONS = 16
"""Limit of open connections."""
ACCEPT_BATCH = 2
"""Connections accepted in one iteration of the event loop: it takes a few iterations
until the connections that they replace are closed.
"""
MAX_HEADER_BYTES = 8 * 1024
"""Limit of a request's size without its body."""
MAX_BODY_BYTES = 1024
"""Limit of a body that is not a configuration."""
MAX_CONFIG_BYTES = 1 << 20
"""Limit of a body that is a configuration."""
MAX_HELD_BYTES = MAX_CONFIG_BYTES + MAX_CONNECTIONS * MAX_BODY_BYTES
"""Limit of the bodies of all connections together, so that callers who send half of a
configuration cannot fill the memory. Beyond it a call is answered 503.
"""
DISCARDED_INPUT_FACTOR = 8
"""Input after the request is discarded; a connection that has sent more than this
multiple of the largest request is aborted.
"""
REQUEST_TIMEOUT_S = 2.0
"""A request that is incomplete after this is answered 408."""
LINGER_S = 0.5
"""Time from the answer to an incomplete request until its connection is aborted, so that
the caller can read the answer.
"""
BACKLOG = 64
"""Connections that the system queues until they are accepted."""
CONFIG_PATH_PREFIX = "/_config/"
"""Bodies of requests to paths with this prefix may have MAX_CONFIG_BYTES."""
AdminResponder = Callable[[HTTPStatus, str], None]
"""Writes the answer to a request."""
AdminHandler = Callable[[bytes, AdminResponder], None]
"""Handles a request's body."""
log = logging.getLogger("rainfall.admin")

if TYPE_CHECKING:

    class EngineOperations(Protocol):
        """What the server needs of the engine."""

        def is_ready(self) -> bool:
            """Whether the forwarder accepts messages."""

        def metrics_report(self) -> dict[str, Any]:
            """Return all metrics."""

        def set_detached(
            self, endpoint: str, detached: bool, answer: AdminResponder
        ) -> None:
            """Take an endpoint out of rotation, or put it back."""

        def check_config(self, text: bytes, answer: AdminResponder) -> None:
            """Validate a configuration without applying it."""

        def active_config_report(self) -> dict[str, str]:
            """Return the active configuration's digest, origin and time."""


class Route(NamedTuple):
    """The HTTP method of a path, and its handler."""

    method: str
    handler: AdminHandler


class AdminServer:
    """Serves operators' requests; without an engine it answers 503, "not ready"."""

    def __init__(self) -> None:
        self.engine: EngineOperations | None = None
        """Set once the process has an engine, and replaced with each further one."""
        self.connections: dict[AdminConnection, None] = {}
        """Open connections, the oldest first."""
        self.held_bytes = 0
        """Size of the bodies that are being received."""
        self.listener: asyncio.Server | None = None
        self.routes = {
            "/_ready": Route("GET", self.respond_ready),
            "/_vars": Route("GET", self.respond_metrics),
            "/_endpoints/detach": Route("POST", self.detach),
            "/_endpoints/attach": Route("POST", self.attach),
            "/_config": Route("GET", self.respond_config),
            "/_config/check": Route("POST", self.check_config),
        }

    async def listen(self, address: Address) -> None:
        """Listen on an address.

        Raises:
            OSError: The address cannot be bound.
        """
        sock = await bind_listener(address.host, address.port)
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: AdminConnection(self), sock=sock, backlog=ACCEPT_BATCH
        )
        sock.listen(BACKLOG)

    def add_connection(self, connection: AdminConnection) -> None:
        """Register a connection, and abort another one if there are too many.

        The oldest connection without an answer is aborted, so that callers that send
        nothing do not delay others; if all are answered, the oldest one.
        """
        self.connections[connection] = None
        if len(self.connections) <= MAX_CONNECTIONS:
            return
        oldest = next(
            (
                c
                for c in self.connections
                if not c.response_sent and c is not connection
            ),
            next(iter(self.connections)),
        )
        oldest.abort()
        # Its descriptor is closed only in the next iteration of the event loop; removed
        # here, it is not chosen again for the next connection.
        del self.connections[oldest]

    def handle(
        self, method: str, path: str, body: bytes, answer: AdminResponder
    ) -> None:
        """Route a complete request to its handler; answer 404 or 405 if it has none."""
        route = self.routes.get(path)
        if route is None:
            answer(HTTPStatus.NOT_FOUND, "no such call\n")
        elif method != route.method:
            answer(HTTPStatus.METHOD_NOT_ALLOWED, f"{route.method} only\n")
        else:
            route.handler(body, answer)

    def respond_ready(self, body: bytes, answer: AdminResponder) -> None:
        """Answer 200 if the forwarder accepts messages, else 503."""
        del body
        if self.engine is not None and self.engine.is_ready():
            answer(HTTPStatus.OK, "ready\n")
        else:
            _answer_not_ready(answer)

    def respond_metrics(self, body: bytes, answer: AdminResponder) -> None:
        """Answer with all metrics as JSON."""
        del body
        if self.engine is None:
            _answer_not_ready(answer)
        else:
            report = self.engine.metrics_report()
            answer(HTTPStatus.OK, json.dumps(report, separators=(",", ":")))

    def respond_config(self, body: bytes, answer: AdminResponder) -> None:
        """Answer with the active configuration's digest, origin and time as JSON."""
        del body
        if self.engine is None:
            _answer_not_ready(answer)
        else:
            answer(HTTPStatus.OK, json.dumps(self.engine.active_config_report()))

    def check_config(self, body: bytes, answer: AdminResponder) -> None:
        """Validate the configuration in the body without applying it."""
        if self.engine is None:
            _answer_not_ready(answer)
        else:
            self.engine.check_config(body, answer)

    def detach(self, body: bytes, answer: AdminResponder) -> None:
        """Take the endpoint named by the body out of rotation."""
        self.set_detached(body, True, answer)

    def attach(self, body: bytes, answer: AdminResponder) -> None:
        """Put the endpoint named by the body back into rotation."""
        self.set_detached(body, False, answer)

    def set_detached(self, body: bytes, detached: bool, answer: AdminResponder) -> None:
        """Take the endpoint named by the body out of rotation, or put it back."""
        try:
            endpoint = body.decode().strip()
        except UnicodeDecodeError:
            endpoint = ""
        if not endpoint or not endpoint.isprintable():
            answer(HTTPStatus.BAD_REQUEST, "the body names no endpoint\n")
        elif self.engine is None:
            _answer_not_ready(answer)
        else:
            self.engine.set_detached(endpoint, detached, answer)

    def close(self) -> None:
        """Stop listening, and close each connection after its output is written."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close()


def _answer_not_ready(answer: AdminResponder) -> None:
    answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")


class AdminConnection(asyncio.Protocol):
    """One connection, which serves one request."""

    def __init__(self, admin: AdminServer) -> None:
        self.admin = admin
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            self
        )
        self.timer: asyncio.TimerHandle | None = None
        """For the request's timeout; after the answer to an incomplete one, for LINGER_S."""
        self.path = ""
        """The path with its query."""
        self.body = bytearray()
        self.body_bytes = 0
        """Size of the body received so far; a part over the limit is not kept."""
        self.received_bytes = 0
        self.request_complete = False
        self.response_sent = False
        self.max_body_bytes = MAX_BODY_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection (called by the event loop)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.timer = asyncio.get_running_loop().call_later(
            REQUEST_TIMEOUT_S, self.on_timeout
        )
        self.admin.add_connection(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection (called by the event loop)."""
        del error
        self.admin.connections.pop(self, None)
        self.release_body()
        if self.timer is not None:
            self.timer.cancel()
        # Both refer back to this object: clearing them leaves no reference cycle for the
        # garbage collector.
        self.parser = None
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Parse the request's data (called by the event loop)."""
        self.received_bytes += len(data)
        limit_bytes = MAX_HEADER_BYTES + self.max_body_bytes
        if self.parser is None or self.request_complete or self.response_sent:
            if self.received_bytes > DISCARDED_INPUT_FACTOR * limit_bytes:
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
        """Close if the request is incomplete (called by the event loop).

        After a complete request the caller may still wait for the answer, so the
        connection stays open for writing.
        """
        if not self.request_complete:
            self.close()
        return True

    # Called by the parser

    def on_url(self, url: bytes) -> None:
        """Append a piece of the path."""
        self.path += url.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Set the limit of the body's size, by the path."""
        if self.path.startswith(CONFIG_PATH_PREFIX):
            self.max_body_bytes = MAX_CONFIG_BYTES

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body; answer 503 if all bodies are too large together."""
        self.body_bytes += len(body)
        if self.response_sent or self.body_bytes > self.max_body_bytes:
            return
        if self.admin.held_bytes + len(body) > MAX_HELD_BYTES:
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, "too many calls at once\n")
            return
        self.admin.held_bytes += len(body)
        self.body += body

    def on_message_complete(self) -> None:
        """Handle the complete request, or refuse a body that is too large."""
        if self.request_complete or self.response_sent or self.parser is None:
            return
        self.request_complete = True
        method = self.parser.get_method().decode("latin-1")
        if self.body_bytes > self.max_body_bytes:
            self.answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large\n")
        else:
            self.admin.handle(
                method, self.path.partition("?")[0], bytes(self.body), self.answer
            )
        self.release_body()

    def release_body(self) -> None:
        """Drop the body."""
        self.admin.held_bytes -= len(self.body)
        self.body = bytearray()

    # Answering

    def on_timeout(self) -> None:
        """Answer 408 if the request is still incomplete."""
        if not self.request_complete:
            self.answer(
                HTTPStatus.REQUEST_TIMEOUT, "the call did not come to its end\n"
            )

    def answer(self, status: HTTPStatus, text: str) -> None:
        """Write the answer, unless one was written or the caller has disconnected.

        After a complete request the connection is closed; after an incomplete one only
        once the caller had LINGER_S to read the answer.
        """
        if self.response_sent or self.transport is None or self.transport.is_closing():
            return
        self.response_sent = True
        if not self.request_complete:
            self.release_body()
        body = text.encode()
        is_json = text.startswith("{")
        content_type = "application/json" if is_json else "text/plain; charset=utf-8"
        self.transport.write(
            f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: {content_type}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
            + body
        )
        if self.request_complete:
            self.transport.close()
            return
        # A close while input is unread would reset the connection, and the caller might
        # not receive the answer.
        if self.transport.can_write_eof():
            self.transport.write_eof()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(LINGER_S, self.abort)

    def close(self) -> None:
        """Close after all output is written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once; output that is not written yet is lost."""
        if self.transport is not None:
            self.transport.abort()
