"""HTTP of the list service on aiohttp: bounded connections, answers in JSON, faults
with their paths.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import socket
from collections.abc import Awaitable, Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any

import msgspec
from aiohttp import web

from rainfall.registry import request_schemas
from rainfall.registry.group_commit import OutcomeUnknownError, QueueFullError
from rainfall.registry.limits import Limits
from rainfall.registry.request_schemas import RequestError
from rainfall.registry.service_context import ServiceContext

MAX_FAULTS_IN_ANSWER = 1_024  # in one answer
# connections not yet accepted, as a whole fleet's at once; allocates nothing ahead
BACKLOG = 1_024
CHUNK_BYTES = 256 * 1024  # bytes of a long answer written at once
MAX_LINE_BYTES = 8 * 1024  # the request line, or one header
SERVICE_UNAVAILABLE_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\n"
    b"Connection: close\r\n\r\n"
)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
log = logging.getLogger("rainfall.registry")


def json_response(
    status: int, body: Any = None, headers: dict[str, str] | None = None
) -> web.Response:
    """A whole answer; a body that is not bytes is written as JSON."""
    data = (
        body
        if isinstance(body, bytes)
        else b""
        if body is None
        else msgspec.json.encode(body)
    )
    return web.Response(
        status=status,
        body=data or None,
        headers=headers,
        content_type="application/json" if data else None,
    )


async def streamed_response(request: web.Request, body: bytes) -> web.StreamResponse:
    """A body that may be longer than what one connection may hold: it is then written
    in pieces, each once the reader has taken those before. So all readers of a list
    share its bytes.
    """
    unsent_bytes = request.app[CONTEXT_KEY].limits.unsent_bytes
    if len(body) <= unsent_bytes:
        return json_response(200, body)
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    response.content_length = len(body)
    connection, chunk_bytes = request.protocol, min(CHUNK_BYTES, unsent_bytes // 4)
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
    shown_faults = faults[:MAX_FAULTS_IN_ANSWER] + (
        [f"and {len(faults) - MAX_FAULTS_IN_ANSWER} more"]
        if faults[MAX_FAULTS_IN_ANSWER:]
        else []
    )
    headers = {**(headers or {}), **({"Retry-After": "1"} if status == 503 else {})}
    return json_response(
        status,
        {
            "error": HTTPStatus(status).phrase,
            "faults": shown_faults,
            **(extra_fields or {}),
        },
        headers,
    )


async def read_json(request: web.Request, limits: Limits) -> Any:
    """The request's JSON value. Raises Refused with every fault of its form."""
    return request_schemas.parse_json(await read_body(request, limits))


async def read_body(request: web.Request, limits: Limits) -> bytes:
    """Raises Refused: 413 past the bound, 400 where it stops coming."""
    try:
        if (request.content_length or 0) > limits.body_bytes:
            raise RequestError(413, [f"a body past {limits.body_bytes} bytes"], True)
        async with asyncio.timeout(limits.body_timeout_s):
            return await request.read()
    except TimeoutError:
        raise RequestError(400, ["the body stopped coming"], True) from None
    except web.HTTPRequestEntityTooLarge:
        raise RequestError(
            413, [f"a body past {limits.body_bytes} bytes"], True
        ) from None


class LimitedConnection(web.RequestHandler):
    """One connection, within the bounds: past the count of them it is answered 503 at
    once, and one that does not take what it is owed is cut.
    """

    __slots__ = ("aborted", "backpressured", "context", "counted")

    def __init__(self, context: ServiceContext, server: web.Server) -> None:
        limits, loop = context.limits, asyncio.get_running_loop()
        no_access_log: Any = None  # no log line a request
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=limits.idle_s,
            lingering_time=min(1.0, limits.body_timeout_s),
            access_log=no_access_log,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            auto_decompress=False,
        )
        self.context, self.counted, self.aborted = context, False, False
        self.backpressured = False
        """Past what may be held its writer waits; the connection is not cut."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        metrics, limits = self.context.metrics, self.context.limits
        metrics.connections += 1
        self.counted = True
        if metrics.connections > limits.connections:
            metrics.busy += 1
            self.force_close()  # reads nothing from now on
            transport.write(SERVICE_UNAVAILABLE_RESPONSE)
            transport.write_eof()
            # Closed at once, what the peer has sent unread would turn into a reset and
            # eat the answer.
            asyncio.get_running_loop().call_later(1.0, transport.abort)
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
        """Within this a writer waits where so many bytes are not taken yet.

        A reader that takes none of them is cut by the kernel (`unread_s`).
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
        """Past the bytes that may be held for it: it asks again from its version on a
        new connection.
        """
        super().pause_writing()
        if self.transport is not None and not self.aborted and not self.backpressured:
            self.aborted = True
            self.context.metrics.slow_closed += 1
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
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
        """What could not be read (400), or a fault of ours (500): told as all else is,
        and closed.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has begun already")
        if status >= 500:
            log.error("a call failed", exc_info=exc)
        response = error_response(
            status, [(message or "the call failed").strip().partition("\n")[0]]
        )
        response.force_close()
        return response


@web.middleware
async def _error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Every refusal as JSON."""
    context = request.app[CONTEXT_KEY]
    try:
        head = len(request.raw_path) + sum(
            len(name) + len(value) for name, value in request.raw_headers
        )
        if head > context.limits.head_bytes:
            raise RequestError(
                400, [f"headers past {context.limits.head_bytes} bytes"], True
            )
        response = await handler(request)
    except RequestError as error:
        context.metrics.refused += int(error.status < 500)
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
            500, ["nobody knows whether it was kept: ask again with the same id"]
        )
    except web.HTTPException as error:  # no such path, or not with this method
        headers = (
            {"Allow": error.headers["Allow"]} if "Allow" in error.headers else None
        )
        response = error_response(
            error.status, [f"{request.method} {request.path}: {error.reason}"], headers
        )
    if context.stopping:
        response.force_close()
    return response


CONTEXT_KEY: web.AppKey[ServiceContext] = web.AppKey("house", ServiceContext)


def build_app(
    context: ServiceContext, routes: Iterable[web.RouteDef]
) -> web.Application:
    """An address's routes, and those that every address has: `/_ready`, `/_vars`,
    `/metrics`.
    """

    async def ready(_: web.Request) -> web.StreamResponse:
        return json_response(
            503 if context.stopping else 200, {"ready": not context.stopping}
        )

    async def figures(_: web.Request) -> web.StreamResponse:
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
            get_route("/_vars", figures),
            get_route("/metrics", metrics),
            *routes,
        ]
    )
    return application


def get_route(path: str, handler: Handler) -> web.RouteDef:
    return web.get(path, handler, allow_head=False)


class HttpListener:
    """One address: an app on its runner, and the listener."""

    def __init__(self, context: ServiceContext, routes: Iterable[web.RouteDef]) -> None:
        self.context = context
        # A watcher that leaves cancels its handler; what a handler asked of the writer
        # is done all the same.
        self.runner = web.AppRunner(
            build_app(context, routes), handler_cancellation=True, shutdown_timeout=1.0
        )
        self.asyncio_server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> int:
        """Listen; the port taken. Raises OSError."""
        await self.runner.setup()
        server = self.runner.server
        assert server is not None
        loop = asyncio.get_running_loop()
        self.asyncio_server = await loop.create_server(
            lambda: LimitedConnection(self.context, server), host, port, backlog=BACKLOG
        )
        return int(self.asyncio_server.sockets[0].getsockname()[1])

    def stop_accepting(self) -> None:
        """Take no more connections; those open go on."""
        if self.asyncio_server is not None:
            self.asyncio_server.close()

    async def close(self) -> None:
        """Let what is being answered end, within a second, and close all connections."""
        await self.runner.cleanup()


def parse_version(text: str, name: str) -> int | None:
    """An If-Match: a version, quoted or not; None where there is none.

    Raises Refused.
    """
    text = text.strip('" ')
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise RequestError(400, [f"{name}: a version, a whole number"])
    return int(text)


def canonical_json(body: Any) -> bytes:
    """One form for equal bodies."""
    return json.dumps(body, sort_keys=True).encode()
