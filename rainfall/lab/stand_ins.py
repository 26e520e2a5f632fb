"""Stand-ins for what the forwarder serves, written from PROTOCOL: endpoints (Forwarders
to endpoints) and the platform's list and notices (Discovery, Notices). They run in the
lab's process, on its clock.
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
from typing import Any, Self

from rainfall.lab.fault_proxy import reset_connection

HEAD_LIMIT_BYTES = 16384
BODY_LIMIT_BYTES = 65536
Record = Callable[[dict[str, Any]], None]


async def read_http_message(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], bytes] | None:
    """One HTTP/1.1 message: the first two words of its first line (of a request its
    method and path, of an answer its version and status), headers (lower-case names),
    body; None at a clean end, ValueError for a head or body past its limit.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError:
        raise ValueError("head too large") from None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = (lines[0].split(" ", 2) + ["", ""])[:3]
    headers = {
        k.strip().lower(): v.strip()
        for k, _, v in (line.partition(":") for line in lines[1:] if line)
    }
    length = int(headers.get("content-length", "0") or 0)
    if not 0 <= length <= BODY_LIMIT_BYTES:
        raise ValueError("body too large")
    return method, path, headers, await reader.readexactly(length)


def encode_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [
        f"HTTP/1.1 {status} X",
        f"Content-Length: {len(body)}",
        *(f"{k.replace('_', '-')}: {v}" for k, v in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class HttpServer:
    """A keep-alive HTTP server on loopback whose ``handle`` gives the bytes of each
    answer.
    """

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Self:
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=HEAD_LIMIT_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and reset every connection, as a process that ends."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset_connection(writer)

    async def handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_http_message(reader)) is not None:
                writer.write(await self.handle(*request))
                await writer.drain()
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass  # a peer gone, or the lab ending: the connection ends with it
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


@dataclass
class Behaviour:
    """What an endpoint does now; the lab's timeline changes it."""

    service_ms: float = 2.0
    slow_ms: float = 0.0
    failure_ratio: float = 0.0
    concurrency_limit: int = 0
    """Calls at once before 503; 0 for no limit."""
    cold_until_ns: int = 0
    cold_ms: float = 0.0


@dataclass
class SlidingWindowLimiter:
    """A destination's limit, shared by its endpoints: ``calls`` in any sliding
    ``span_ns``.
    """

    calls: int
    span_ns: int
    call_times_ns: deque[int] = field(default_factory=deque)

    def wait_ns(self, now_ns: int) -> int:
        """0 where a call is within the limit (and counts for it), else the time until
        one will be.
        """
        while self.call_times_ns and now_ns - self.call_times_ns[0] >= self.span_ns:
            self.call_times_ns.popleft()
        if len(self.call_times_ns) < self.calls:
            self.call_times_ns.append(now_ns)
            return 0
        return self.call_times_ns[0] + self.span_ns - now_ns


@dataclass
class Endpoint(HttpServer):
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

    async def handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        if method == "GET" and path == "/alive":
            return encode_response(200)
        if method != "POST" or path != "/hook":
            return encode_response(404)
        wait_ns = 0 if self.limiter is None else self.limiter.wait_ns(self.clock())
        status = 429 if wait_ns else await self._process_call()
        self.record(
            {
                "kind": "call",
                "endpoint": self.name,
                "destination": self.destination,
                "id": headers.get("x-correlation-id", ""),
                "key": headers.get("idempotency-key", ""),
                "status": status,
                "at_ns": self.clock(),
            }
        )
        if wait_ns:
            return encode_response(
                status, X_RateLimit_Wait_Ms=str(-(-wait_ns // 1_000_000))
            )
        return encode_response(status)

    async def _process_call(self) -> int:
        behaviour = self.behaviour
        if (
            behaviour.concurrency_limit
            and self.in_flight >= behaviour.concurrency_limit
        ):
            return 503
        self.in_flight += 1
        try:
            cold_start_ms = (
                behaviour.cold_ms if self.clock() < behaviour.cold_until_ns else 0.0
            )
            await asyncio.sleep(
                (behaviour.service_ms + behaviour.slow_ms + cold_start_ms) / 1000
            )
        finally:
            self.in_flight -= 1
        return 500 if self.rng.random() < behaviour.failure_ratio else 200


@dataclass
class StandInListService(HttpServer):
    """The platform's list for one forwarder (its dials are that forwarder's proxies),
    and the notices.
    """

    hosts: list[dict[str, Any]] = field(default_factory=list)
    clock: Callable[[], int] = time.monotonic_ns
    record: Record = lambda _: None
    seq: int = 1

    def __post_init__(self) -> None:
        HttpServer.__init__(self)
        self.changed = asyncio.Event()

    async def handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        if method == "POST" and path == "/v1/notices":
            return self._notices(body)
        if method != "GET" or not path.startswith("/discovery/hosts"):
            return encode_response(404)
        query = dict(
            p.partition("=")[::2] for p in path.partition("?")[2].split("&") if p
        )
        since, hold_ms = (
            int(query.get("from", "-1") or -1),
            min(int(query.get("hold_ms", "0") or 0), 60_000),
        )
        if 0 <= since == self.seq and hold_ms:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(hold_ms / 1000):
                    await self.changed.wait()
            if since == self.seq:
                return encode_response(
                    200,
                    json.dumps({"seq": self.seq, "whole": False, "hosts": []}).encode(),
                )
        return encode_response(
            200,
            json.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}).encode(),
        )

    def _notices(self, body: bytes) -> bytes:
        try:
            notices = [json.loads(line) for line in body.splitlines() if line.strip()]
        except ValueError:
            return encode_response(400)
        for notice in notices:
            if isinstance(notice, dict) and "id" in notice:
                self.record(
                    {
                        "kind": "notice",
                        "id": str(notice["id"]),
                        "state": str(notice.get("state")),
                        "at_ns": self.clock(),
                    }
                )
        return encode_response(204)
