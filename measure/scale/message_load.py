"""Generates load for one forwarder on loopback.

Clients submit messages at a steady rate and endpoints accept every call. Clients and
endpoints run in processes of their own, so that the forwarder's processor time is
measured alone.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from collections import deque
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from multiprocessing.sharedctypes import Synchronized

CONNECTIONS = 64
TICK_S = 0.005
BODY = b"x" * 200
HEAD_END = b"\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Endpoint(asyncio.Protocol):
    """Answers each request with 200 once its head has arrived.

    Request bodies contain no empty line.
    """

    def __init__(self, delivered: Synchronized[int]) -> None:
        self.delivered, self.tail = delivered, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Count the complete heads and answer each of them."""
        text = self.tail + data
        calls = text.count(HEAD_END)
        self.tail = text[-3:] if not text.endswith(HEAD_END) else b""
        if calls:
            self.delivered.value += calls
            self.transport.write(OK * calls)


class Client(asyncio.Protocol):
    """One connection, idle until it submits a message and again after the answer."""

    def __init__(self, idle: deque[Client], accepted: Synchronized[int]) -> None:
        self.idle, self.accepted = idle, accepted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and become idle."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.idle.append(self)

    def data_received(self, data: bytes) -> None:
        """Count an acceptance (202) and become idle after the answer."""
        if data.startswith(b"HTTP/1.1 202"):
            self.accepted.value += 1
        if HEAD_END in data:
            self.idle.append(self)


def request(number: int, destinations: int) -> bytes:
    """Encode the request that submits a message; destinations are used in turn."""
    head = (
        f"POST /status HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: m{number}\r\nX-Account: acme\r\n"
        f"X-Time-Left: 50\r\nIdempotency-Key: key-m{number}\r\nContent-Length: {len(BODY)}\r\n"
        f"X-Addressing: dest={number % destinations}\r\n\r\n"
    )
    return head.encode() + BODY


def serve_endpoints(
    ports: Connection, count: int, delivered: Synchronized[int]
) -> None:
    """Serve `count` endpoints until the process ends; their ports are sent first."""

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(lambda: Endpoint(delivered), "127.0.0.1", 0)
            for _ in range(count)
        ]
        ports.send([server.sockets[0].getsockname()[1] for server in servers])
        await asyncio.Event().wait()

    asyncio.run(serve())


def submit_messages(
    port: int, per_s: float, destinations: int, accepted: Synchronized[int]
) -> None:
    """Submit messages at a rate until the process ends.

    Messages that are due while no connection is idle are skipped.
    """

    async def drive() -> None:
        loop = asyncio.get_running_loop()
        idle: deque[Client] = deque()
        for _ in range(CONNECTIONS):
            await loop.create_connection(
                lambda: Client(idle, accepted), "127.0.0.1", port
            )
        began, planned, number = time.monotonic(), 0, 0
        while True:
            due = int((time.monotonic() - began) * per_s)
            for _ in range(min(due - planned, len(idle))):
                idle.popleft().transport.write(request(number, destinations))
                number += 1
            planned = due
            await asyncio.sleep(TICK_S)

    asyncio.run(drive())


def start_process(function: object, *arguments: object) -> BaseProcess:
    """Start a function in a new daemon process."""
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=function, args=arguments, daemon=True)  # type: ignore[arg-type]
    process.start()
    return process
