"""The list service's HTTP server: bounded connections, JSON answers, error responses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import socket
from collections.abc import Awaitable, Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec
from aiohttp import web

from rainfall.registry import json_reader
from rainfall.registry.group_commit import OutcomeUnknownError, QueueFullError
from rainfall.registry.limits import Limits
from rainfall.registry.request_error import RequestError
from rainfall.registry.service_context import ServiceContext

MAX_FAULTS_IN_ANSWER = 1_024
"""Faults listed in one answer; further ones are only counted."""
BACKLOG = 1_024
"""Pending connections of a listener: a whole fleet may connect at once."""
CHUNK_BYTES = 256 * 1024
"""Bytes of a long answer that are written at once."""
MAX_LINE_BYTES = 8 * 1024
"""Bytes of the request line, and of one header."""
VERSION_DIGITS = 16
"""Digits of the largest version."""
BUSY_CLOSE_DELAY_S = 1.0
"""How long a connection above the limit stays open, so that its peer gets the 503."""
LINGER_S = 1.0
"""How long the rest of a rejected request is read before the connection is closed."""
CLOSE_TIMEOUT_S = 1.0
"""How long requests in progress may take when an address is closed."""
SERVICE_UNAVAILABLE_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\n"
    b"Connection: close\r\n\r\n"
)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
T = TypeVar("T")
log = logging.getLogger("rainfall.registry")


def json_response(
    status: int, body: Any = None, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a complete response; a body other than bytes is encoded as JSON."""
    if body is None:
        data = b""
    elif isinstance(body, bytes):
        data = body
    else:
        data = msgspec.json.encode(body)
    return web.Response(
        status=status,
        body=data or None,
        headers=headers,
        content_type="application/json" if data else None,
    )


async def streamed_response(request: web.Request, body: bytes) -> web.StreamResponse:
    """Return a 200 response whose body may exceed the connection's limit of unsent bytes.

    Such a body is written in chunks, each after the reader has received the chunks before
    it. All readers of a list thus share one encoded body instead of buffering copies.
    """
    unsent_bytes = request.app[CONTEXT_KEY].limits.unsent_bytes
    if len(body) <= unsent_bytes:
        return json_response(200, body)
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    response.content_length = len(body)
    chunk_bytes = min(CHUNK_BYTES, unsent_bytes // 4)
    connection = request.protocol
    assert isinstance(connection, LimitedConnection)
    with connection.write_buffer_limit(chunk_bytes):
        await response.prepare(request)
        for offset in range(0, len(body), chunk_bytes):
            await response.write(memoryview(body)[offset : offset + chunk_bytes])
        await response.write_eof()
    return response


def error_response(
    status: int,
    faults: list[str],
    headers: dict[str, str] | None = None,
    extra_fields: dict[str, Any] | None = None,
) -> web.Response:
    """Return an error as JSON: the status phrase, the faults, and further fields.

    A 503 gets `Retry-After: 1`.
    """
    listed_faults = faults[:MAX_FAULTS_IN_ANSWER]
    omitted_count = len(faults) - len(listed_faults)
    if omitted_count:
        listed_faults = [*listed_faults, f"and {omitted_count} more"]
    headers = dict(headers or {})
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        headers["Retry-After"] = "1"
    return json_response(
        status,
        {
            "error": HTTPStatus(status).phrase,
            "faults": listed_faults,
            **(extra_fields or {}),
        },
        headers,
    )


async def await_stored(write: Awaitable[T], subject: str = "it") -> T:
    """Await a call that writes to disk, and return its result.

    Raises:
        RequestError: 507, the write failed; `subject` names the lost data in the fault.
    """
    try:
        return await write
    except OSError as error:
        reason = f"{subject} could not be kept: {error.strerror or error}"
        raise RequestError(HTTPStatus.INSUFFICIENT_STORAGE, [reason]) from None


async def read_json(request: web.Request, limits: Limits) -> Any:
    """Read the request's body as JSON.

    Raises:
        RequestError: The body cannot be read, or is not valid JSON; lists every fault.
    """
    return json_reader.parse_json(await read_body(request, limits))


async def read_body(request: web.Request, limits: Limits) -> bytes:
    """Read the request's body.

    Raises:
        RequestError: 413 if the body is too long, 400 if it takes too long to arrive.
    """
    try:
        if (request.content_length or 0) > limits.body_bytes:
            raise _too_long_error(limits)
        async with asyncio.timeout(limits.body_timeout_s):
            return await request.read()
    except TimeoutError:
        raise RequestError(
            400,
            ["the body stopped coming"],
            closes_connection=True,
        ) from None
    except web.HTTPRequestEntityTooLarge:
        raise _too_long_error(limits) from None


def _too_long_error(limits: Limits) -> RequestError:
    return RequestError(
        413, [f"a body past {limits.body_bytes} bytes"], closes_connection=True
    )


class LimitedConnection(web.RequestHandler):
    """A connection that enforces the service's limits.

    A connection above the limit of connections is answered 503 immediately. A connection
    whose peer does not read its answers is aborted.
    """

    __slots__ = ("aborted", "backpressured", "context", "counted")

    def __init__(self, context: ServiceContext, server: web.Server) -> None:
        limits = context.limits
        no_access_log: Any = None
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_s,
            lingering_time=min(LINGER_S, limits.body_timeout_s),
            access_log=no_access_log,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            auto_decompress=False,
        )
        self.context = context
        self.counted = False
        """Whether the metric of open connections includes this connection."""
        self.aborted = False
        self.backpressured = False
        """Whether the writer waits while too much is unsent, instead of an abort."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, and set its limits or answer 503."""
        assert isinstance(transport, asyncio.Transport)
        metrics, limits = self.context.metrics, self.context.limits
        metrics.connections += 1
        self.counted = True
        if metrics.connections > limits.connections:
            metrics.busy += 1
            self.force_close()  # No request is read from now on.
            transport.write(SERVICE_UNAVAILABLE_RESPONSE)
            transport.write_eof()
            # If the socket were closed immediately, unread data of the peer would cause a
            # reset, and the peer would lose the answer.
            asyncio.get_running_loop().call_later(BUSY_CLOSE_DELAY_S, transport.abort)
            return
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError, AttributeError):
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(limits.send_timeout_s * 1000),
            )
        transport.set_write_buffer_limits(high=limits.unsent_bytes)
        super().connection_made(transport)

    @contextlib.contextmanager
    def write_buffer_limit(self, high_water_bytes: int) -> Iterator[None]:
        """Make writers wait, in this context, while more than the given bytes are unsent.

        A reader that acknowledges none of them is disconnected by the kernel
        (`Limits.send_timeout_s`).
        """
        self.backpressured = True
        self._set_write_buffer_limit(high_water_bytes)
        try:
            yield
        finally:
            self.backpressured = False
            self._set_write_buffer_limit(self.context.limits.unsent_bytes)

    def _set_write_buffer_limit(self, high_water_bytes: int) -> None:
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=high_water_bytes)

    def pause_writing(self) -> None:
        """Abort a connection with too many unsent bytes.

        The reader continues from its version on a new connection.
        """
        super().pause_writing()
        if self.transport is not None and not self.aborted and not self.backpressured:
            self.aborted = True
            self.context.metrics.slow_closed += 1
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Subtract the connection from the metric of open connections."""
        if self.counted:
            self.counted = False
            self.context.metrics.connections -= 1
        super().connection_lost(exc)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that could not be read (400) or that failed (500), and close."""
        if request.writer.output_size > 0:
            raise ConnectionError("cannot send an error response: headers already sent")
        if status >= 500:
            log.error("request handler failed", exc_info=exc)
        response = error_response(
            status, [(message or "the call failed").strip().partition("\n")[0]]
        )
        response.force_close()
        return response


@web.middleware
async def _error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Convert the errors of handlers to JSON responses, and count them."""
    context = request.app[CONTEXT_KEY]
    try:
        _check_head(request, context.limits)
        response = await handler(request)
    except RequestError as error:
        context.metrics.rejected_calls += int(error.status < 500)
        response = error_response(
            error.status, error.faults, extra_fields=error.extra_fields
        )
        if error.closes_connection:
            response.force_close()
    except QueueFullError:
        context.metrics.busy += 1
        response = error_response(503, ["too much waits to be written"])
    except OutcomeUnknownError:
        response = error_response(
            500,
            ["nobody knows whether it was kept: ask again with the same id"],
        )
    except web.HTTPException as error:  # Unknown path, or method not allowed.
        headers = {
            name: value for name, value in error.headers.items() if name == "Allow"
        }
        response = error_response(
            error.status, [f"{request.method} {request.path}: {error.reason}"], headers
        )
    if context.stopping:
        response.force_close()
    return response


def _check_head(request: web.Request, limits: Limits) -> None:
    head_bytes = len(request.raw_path) + sum(
        len(name) + len(value) for name, value in request.raw_headers
    )
    if head_bytes > limits.head_bytes:
        raise RequestError(
            400,
            [f"headers past {limits.head_bytes} bytes"],
            closes_connection=True,
        )


CONTEXT_KEY: web.AppKey[ServiceContext] = web.AppKey("context", ServiceContext)


def build_app(
    context: ServiceContext, routes: Iterable[web.RouteDef]
) -> web.Application:
    """Return the application of one address.

    It has `routes`, and those of every address: `/_ready`, `/_vars` and `/metrics`.
    """

    async def ready(_: web.Request) -> web.StreamResponse:
        return json_response(
            503 if context.stopping else 200, {"ready": not context.stopping}
        )

    async def variables(_: web.Request) -> web.StreamResponse:
        return json_response(200, context.snapshot_variables())

    async def metrics(_: web.Request) -> web.StreamResponse:
        return web.Response(
            body=context.metrics_collector.text(),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )

    application = web.Application(
        middlewares=[_error_middleware], client_max_size=context.limits.body_bytes
    )
    application[CONTEXT_KEY] = context
    application.add_routes(
        [
            get_route("/_ready", ready),
            get_route("/_vars", variables),
            get_route("/metrics", metrics),
            *routes,
        ]
    )
    return application


def get_route(path: str, handler: Handler) -> web.RouteDef:
    """Return a route for GET only; by default aiohttp answers HEAD too."""
    return web.get(path, handler, allow_head=False)


class HttpListener:
    """One listening address with its application and runner."""

    def __init__(self, context: ServiceContext, routes: Iterable[web.RouteDef]) -> None:
        self.context = context
        # A watcher that disconnects cancels its handler. Writes started by a handler
        # are shielded from the cancellation.
        self.runner = web.AppRunner(
            build_app(context, routes),
            handler_cancellation=True,
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        self.asyncio_server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> int:
        """Listen, and return the port. Raises OSError."""
        await self.runner.setup()
        server = self.runner.server
        assert server is not None
        loop = asyncio.get_running_loop()
        self.asyncio_server = await loop.create_server(
            lambda: LimitedConnection(self.context, server), host, port, backlog=BACKLOG
        )
        return int(self.asyncio_server.sockets[0].getsockname()[1])

    def stop_accepting(self) -> None:
        """Stop accepting connections; open connections stay open."""
        if self.asyncio_server is not None:
            self.asyncio_server.close()

    async def close(self) -> None:
        """Wait up to `CLOSE_TIMEOUT_S` for current requests, and close all connections."""
        await self.runner.cleanup()


def parse_version(text: str, name: str) -> int | None:
    """Parse the version in an If-Match header, quoted or not; None if it is empty.

    Raises:
        RequestError: 400, the text is not a version; the fault names the header `name`.
    """
    text = text.strip('" ')
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > VERSION_DIGITS:
        raise RequestError(400, [f"{name}: a version, a whole number"])
    return int(text)


def canonical_json(body: Any) -> bytes:
    """Encode a body as JSON with sorted keys: equal bodies give equal bytes."""
    return json.dumps(body, sort_keys=True).encode()
