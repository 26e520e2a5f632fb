"""Stand-ins for the servers that forwarders connect to, following PROTOCOL.

There is one for endpoints and one for the list service, which serves the endpoint list
and receives notifications. They run in the process of the lab and use its clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, NamedTuple, Self

from rainfall.lab.fault_proxy import reset_connection
from rainfall.lab.statuses import DELIVERED_STATUS

HEAD_LIMIT_BYTES = 16384
BODY_LIMIT_BYTES = 65536
LONGEST_HOLD_MS = 60_000
NS_PER_MS = 1_000_000
Record = Callable[[dict[str, Any]], None]


class HttpMessage(NamedTuple):
    """An HTTP request or response."""

    method: str
    """The method of a request, or the HTTP version of a response."""
    target: str
    """The path and query of a request, or the status of a response."""
    headers: dict[str, str]
    """Values by lower-case name."""
    body: bytes


async def read_http_message(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Read one HTTP/1.1 message; None if the connection closes within the head.

    Raises:
        ValueError: The head or the body exceeds its limit.
        asyncio.IncompleteReadError: The connection closes within the body.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError:
        raise ValueError(f"head is over {HEAD_LIMIT_BYTES} bytes") from None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = [*lines[0].split(" ", 2), "", ""][:3]
    headers: dict[str, str] = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    if not 0 <= length <= BODY_LIMIT_BYTES:
        raise ValueError(f"content-length {length} is not 0 to {BODY_LIMIT_BYTES}")
    body = await reader.readexactly(length)
    return HttpMessage(method, target, headers, body)


def encode_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Serialize a response; underscores in header names become hyphens."""
    lines = [
        f"HTTP/1.1 {int(status)} X",
        f"Content-Length: {len(body)}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class HttpServer:
    """A keep-alive HTTP server on loopback; subclasses implement ``handle``."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Self:
        """Listen on ``port``; 0 lets the kernel choose a port."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=HEAD_LIMIT_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and reset every connection, as a dying process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset_connection(writer)

    async def handle(self, request: HttpMessage) -> bytes:
        """The serialized response to a request."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_http_message(reader)) is not None:
                writer.write(await self.handle(request))
                await writer.drain()
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass  # The peer disconnected, or the lab is stopping.
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


@dataclass
class Behaviour:
    """How an endpoint responds; faults change these values."""

    service_ms: float = 2.0
    slow_ms: float = 0.0
    failure_ratio: float = 0.0
    concurrency_limit: int = 0
    """Concurrent calls above this are answered 503; 0: no limit."""
    cold_until_ns: int = 0
    cold_ms: float = 0.0


@dataclass
class SlidingWindowLimiter:
    """The rate limit of a destination: ``calls`` in any sliding ``span_ns``.

    All endpoints of the destination share one limiter.
    """

    calls: int
    span_ns: int
    call_times_ns: deque[int] = field(default_factory=deque)

    def wait_ns(self, now_ns: int) -> int:
        """Count a call and return 0 if it is within the limit, else the ns to wait."""
        while self.call_times_ns and now_ns - self.call_times_ns[0] >= self.span_ns:
            self.call_times_ns.popleft()
        if len(self.call_times_ns) < self.calls:
            self.call_times_ns.append(now_ns)
            return 0
        return self.call_times_ns[0] + self.span_ns - now_ns


@dataclass
class Endpoint(HttpServer):
    """A stand-in for one endpoint; passes each call to ``record``."""

    name: str = ""
    destination: int = 0
    seed: int = 0
    clock: Callable[[], int] = time.monotonic_ns
    record: Record = lambda _: None
    behaviour: Behaviour = field(default_factory=Behaviour)
    limiter: SlidingWindowLimiter | None = None

    def __post_init__(self) -> None:
        HttpServer.__init__(self)
        self.rng = random.Random(self.seed)
        self.in_flight = 0

    async def handle(self, request: HttpMessage) -> bytes:
        """Answer a health check, or answer and record a call."""
        if request.method == "GET" and request.target == "/alive":
            return encode_response(HTTPStatus.OK)
        if request.method != "POST" or request.target != "/hook":
            return encode_response(HTTPStatus.NOT_FOUND)
        wait_ns = 0 if self.limiter is None else self.limiter.wait_ns(self.clock())
        if wait_ns:
            status = int(HTTPStatus.TOO_MANY_REQUESTS)
        else:
            status = await self._process_call()
        self.record(
            {
                "kind": "call",
                "endpoint": self.name,
                "destination": self.destination,
                "id": request.headers.get("x-correlation-id", ""),
                "key": request.headers.get("idempotency-key", ""),
                "status": status,
                "at_ns": self.clock(),
            }
        )
        if wait_ns:
            wait_ms = -(-wait_ns // NS_PER_MS)
            return encode_response(status, X_RateLimit_Wait_Ms=str(wait_ms))
        return encode_response(status)

    async def _process_call(self) -> int:
        behaviour = self.behaviour
        if (
            behaviour.concurrency_limit
            and self.in_flight >= behaviour.concurrency_limit
        ):
            return HTTPStatus.SERVICE_UNAVAILABLE.value
        self.in_flight += 1
        try:
            is_cold = self.clock() < behaviour.cold_until_ns
            cold_start_ms = behaviour.cold_ms if is_cold else 0.0
            service_ms = behaviour.service_ms + behaviour.slow_ms + cold_start_ms
            await asyncio.sleep(service_ms / 1000)
        finally:
            self.in_flight -= 1
        if self.rng.random() < behaviour.failure_ratio:
            return HTTPStatus.INTERNAL_SERVER_ERROR.value
        return DELIVERED_STATUS


@dataclass
class StandInListService(HttpServer):
    """A stand-in for the list service, used by one forwarder.

    The dials in its endpoint list are the addresses of that forwarder's proxies.
    """

    hosts: list[dict[str, Any]] = field(default_factory=list)
    clock: Callable[[], int] = time.monotonic_ns
    record: Record = lambda _: None
    seq: int = 1

    def __post_init__(self) -> None:
        HttpServer.__init__(self)
        self.changed = asyncio.Event()

    async def handle(self, request: HttpMessage) -> bytes:
        """Answer a read or long poll of the list, or store posted notifications."""
        if request.method == "POST" and request.target == "/v1/notices":
            return self._record_notifications(request.body)
        path, _, query_text = request.target.partition("?")
        if request.method != "GET" or not path.startswith("/discovery/hosts"):
            return encode_response(HTTPStatus.NOT_FOUND)
        query: dict[str, str] = {}
        for pair in query_text.split("&"):
            if pair:
                name, _, value = pair.partition("=")
                query[name] = value
        since = int(query.get("from", "-1") or -1)
        hold_ms = min(int(query.get("hold_ms", "0") or 0), LONGEST_HOLD_MS)
        if 0 <= since == self.seq and hold_ms:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(hold_ms / 1000):
                    await self.changed.wait()
            if since == self.seq:
                return self._list_response(is_complete=False, hosts=[])
        return self._list_response(is_complete=True, hosts=self.hosts)

    def _list_response(self, is_complete: bool, hosts: list[dict[str, Any]]) -> bytes:
        body = {"seq": self.seq, "whole": is_complete, "hosts": hosts}
        return encode_response(HTTPStatus.OK, json.dumps(body).encode())

    def _record_notifications(self, body: bytes) -> bytes:
        try:
            notifications = [
                json.loads(line) for line in body.splitlines() if line.strip()
            ]
        except ValueError:
            return encode_response(HTTPStatus.BAD_REQUEST)
        for notification in notifications:
            if isinstance(notification, dict) and "id" in notification:
                self.record(
                    {
                        "kind": "notice",
                        "id": str(notification["id"]),
                        "state": str(notification.get("state")),
                        "at_ns": self.clock(),
                    }
                )
        return encode_response(HTTPStatus.NO_CONTENT)
