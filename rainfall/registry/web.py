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

from rainfall.registry import bodies
from rainfall.registry.bodies import Refused
from rainfall.registry.bounds import Bounds
from rainfall.registry.house import House
from rainfall.registry.writer import Full, Unknown

MOST_FAULTS = 1_024  # in one answer
# connections not yet accepted, as a whole fleet's at once; allocates nothing ahead
BACKLOG = 1_024
PIECE = 256 * 1024  # bytes of a long answer written at once
MOST_LINE = 8 * 1024  # the request line, or one header
FULL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\n"
    b"Connection: close\r\n\r\n"
)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
log = logging.getLogger("rainfall.registry")


def answer(
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


async def long_answer(request: web.Request, body: bytes) -> web.StreamResponse:
    """A body that may be longer than what one connection may hold: it is then written
    in pieces, each once the reader has taken those before. So all readers of a list
    share its bytes.
    """
    held_bytes = request.app[HOUSE].bounds.held_bytes
    if len(body) <= held_bytes:
        return answer(200, body)
    told = web.StreamResponse(headers={"Content-Type": "application/json"})
    told.content_length = len(body)
    connection, piece = request.protocol, min(PIECE, held_bytes // 4)
    assert isinstance(connection, Connection)
    with connection.waiting_past(piece):
        await told.prepare(request)
        for at in range(0, len(body), piece):
            await told.write(memoryview(body)[at : at + piece])
        await told.write_eof()
    return told


def fault(
    status: int,
    faults: list[str],
    headers: dict[str, str] | None = None,
    more: dict[str, Any] | None = None,
) -> web.Response:
    told = faults[:MOST_FAULTS] + (
        [f"and {len(faults) - MOST_FAULTS} more"] if faults[MOST_FAULTS:] else []
    )
    headers = {**(headers or {}), **({"Retry-After": "1"} if status == 503 else {})}
    return answer(
        status,
        {"error": HTTPStatus(status).phrase, "faults": told, **(more or {})},
        headers,
    )


async def json_body(request: web.Request, bounds: Bounds) -> Any:
    """The request's JSON value. Raises Refused with every fault of its form."""
    return bodies.read(await whole_body(request, bounds))


async def whole_body(request: web.Request, bounds: Bounds) -> bytes:
    """Raises Refused: 413 past the bound, 400 where it stops coming."""
    try:
        if (request.content_length or 0) > bounds.body:
            raise Refused(413, [f"a body past {bounds.body} bytes"], True)
        async with asyncio.timeout(bounds.body_s):
            return await request.read()
    except TimeoutError:
        raise Refused(400, ["the body stopped coming"], True) from None
    except web.HTTPRequestEntityTooLarge:
        raise Refused(413, [f"a body past {bounds.body} bytes"], True) from None


class Connection(web.RequestHandler):
    """One connection, within the bounds: past the count of them it is answered 503 at
    once, and one that does not take what it is owed is cut.
    """

    __slots__ = ("house", "counted", "cut", "waits")

    def __init__(self, house: House, server: web.Server) -> None:
        bounds, loop = house.bounds, asyncio.get_running_loop()
        silent: Any = None  # no log line a request
        super().__init__(
            server,
            loop=loop,
            keepalive_timeout=bounds.idle_s,
            lingering_time=min(1.0, bounds.body_s),
            access_log=silent,
            max_line_size=MOST_LINE,
            max_field_size=MOST_LINE,
            auto_decompress=False,
        )
        self.house, self.counted, self.cut = house, False, False
        self.waits = False
        """Past what may be held its writer waits; the connection is not cut."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        figures, bounds = self.house.figures, self.house.bounds
        figures.connections += 1
        self.counted = True
        if figures.connections > bounds.connections:
            figures.busy += 1
            self.force_close()  # reads nothing from now on
            transport.write(FULL)
            transport.write_eof()
            # Closed at once, what the peer has sent unread would turn into a reset and
            # eat the answer.
            asyncio.get_running_loop().call_later(1.0, transport.abort)
            return
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError, AttributeError):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(bounds.unread_s * 1000)
            )
        transport.set_write_buffer_limits(high=bounds.held_bytes)
        super().connection_made(transport)

    @contextlib.contextmanager
    def waiting_past(self, held: int) -> Iterator[None]:
        """Within this a writer waits where so many bytes are not taken yet. A reader
        that takes none of them is cut by the kernel (`unread_s`).
        """
        self.waits = True
        self._hold(held)
        try:
            yield
        finally:
            self.waits = False
            self._hold(self.house.bounds.held_bytes)

    def _hold(self, held: int) -> None:
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=held)

    def pause_writing(self) -> None:
        """Past the bytes that may be held for it: it asks again from its version on a
        new connection.
        """
        super().pause_writing()
        if self.transport is not None and not self.cut and not self.waits:
            self.cut = True
            self.house.figures.slow_closed += 1
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.counted:
            self.counted = False
            self.house.figures.connections -= 1
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
        told = fault(
            status, [(message or "the call failed").strip().partition("\n")[0]]
        )
        told.force_close()
        return told


@web.middleware
async def _told(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Every refusal as JSON."""
    house = request.app[HOUSE]
    try:
        head = len(request.raw_path) + sum(
            len(name) + len(value) for name, value in request.raw_headers
        )
        if head > house.bounds.head:
            raise Refused(400, [f"headers past {house.bounds.head} bytes"], True)
        told = await handler(request)
    except Refused as error:
        house.figures.refused += int(error.status < 500)
        told = fault(error.status, error.faults, more=error.more)
        if error.closes:
            told.force_close()
    except Full:
        house.figures.busy += 1
        told = fault(503, ["too much waits to be written"])
    except Unknown:
        told = fault(
            500, ["nobody knows whether it was kept: ask again with the same id"]
        )
    except web.HTTPException as error:  # no such path, or not with this method
        headers = (
            {"Allow": error.headers["Allow"]} if "Allow" in error.headers else None
        )
        told = fault(
            error.status, [f"{request.method} {request.path}: {error.reason}"], headers
        )
    if house.stopping:
        told.force_close()
    return told


HOUSE: web.AppKey[House] = web.AppKey("house", House)


def app(house: House, routes: Iterable[web.RouteDef]) -> web.Application:
    """An address's routes, and those that every address has: `/_ready`, `/_vars`,
    `/metrics`.
    """

    async def ready(_: web.Request) -> web.StreamResponse:
        return answer(503 if house.stopping else 200, {"ready": not house.stopping})

    async def figures(_: web.Request) -> web.StreamResponse:
        return answer(200, house.vars())

    async def metrics(_: web.Request) -> web.StreamResponse:
        return web.Response(
            body=house.metrics.text(),
            headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
        )

    made = web.Application(middlewares=[_told], client_max_size=house.bounds.body)
    made[HOUSE] = house
    made.add_routes(
        [
            get("/_ready", ready),
            get("/_vars", figures),
            get("/metrics", metrics),
            *routes,
        ]
    )
    return made


def get(path: str, handler: Handler) -> web.RouteDef:
    return web.get(path, handler, allow_head=False)


class Door:
    """One address: an app on its runner, and the listener."""

    def __init__(self, house: House, routes: Iterable[web.RouteDef]) -> None:
        self.house = house
        # A watcher that leaves cancels its handler; what a handler asked of the writer
        # is done all the same.
        self.runner = web.AppRunner(
            app(house, routes), handler_cancellation=True, shutdown_timeout=1.0
        )
        self.listener: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> int:
        """Listen; the port taken. Raises OSError."""
        await self.runner.setup()
        server = self.runner.server
        assert server is not None
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: Connection(self.house, server), host, port, backlog=BACKLOG
        )
        return int(self.listener.sockets[0].getsockname()[1])

    def shut(self) -> None:
        """Take no more connections; those open go on."""
        if self.listener is not None:
            self.listener.close()

    async def close(self) -> None:
        """Let what is being answered end, within a second, and close all
        connections.
        """
        await self.runner.cleanup()


def whole_number(text: str, name: str) -> int | None:
    """An If-Match: a version, quoted or not; None where there is none. Raises
    Refused.
    """
    text = text.strip('" ')
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 16:
        raise Refused(400, [f"{name}: a version, a whole number"])
    return int(text)


def canonical(body: Any) -> bytes:
    """One form for equal bodies."""
    return json.dumps(body, sort_keys=True).encode()
