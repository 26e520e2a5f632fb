"""A TCP proxy on loopback that injects faults into one link of the lab.

States of a link (``docs/parts.md``, the fleet lab):

- ``pass``: bytes are forwarded;
- ``delay``: each chunk is delayed by ``delay_ms`` plus a uniform jitter of 0 to
  ``jitter_ms``;
- ``drop``: open and new connections are reset;
- ``reset``: the next chunk to the peer is forwarded, then both sides are reset; the
  peer may have executed the request;
- ``silence``: connections are accepted and read, but nothing is forwarded; they are
  reset when the link heals, as after a network partition;
- ``oneway``: bytes to the peer are forwarded, bytes from the peer are held until the
  link heals.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Self

CHUNK_BYTES = 65536
DIAL_TIMEOUT_S = 2.0
RESERVED_DESCRIPTORS = 256
"""File descriptors left for logs, pipes and listening sockets."""
DESCRIPTORS_PER_CONNECTION = 4
"""The two sockets of the proxy and, with a stand-in as peer, those of its server."""
FEWEST_CONNECTIONS = 16
CONNECTION_LIMIT = 100_000
UNLIMITED_DESCRIPTORS = 1 << 20
STATES = ("pass", "delay", "drop", "reset", "silence", "oneway")


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close with RST, as a dying process or a middlebox does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


@dataclass(slots=True)
class ConnectionLimiter:
    """Limits the connections open through all links together.

    Without the limit the process would run out of file descriptors, and its accept loop
    would log an error repeatedly.
    """

    limit: int
    on_first_rejection: Callable[[], None] = lambda: None
    """Called at the first rejected connection."""
    open: int = 0
    peak_open: int = 0
    rejected: int = 0

    def try_acquire(self) -> bool:
        """Count a new connection; False if the limit is reached."""
        if self.open >= self.limit:
            if not self.rejected:
                self.on_first_rejection()
            self.rejected += 1
            return False
        self.open += 1
        self.peak_open = max(self.peak_open, self.open)
        return True

    def release(self) -> None:
        """Count a closed connection."""
        self.open -= 1

    def statistics(self) -> dict[str, int]:
        """The counters for the verdict."""
        return {
            "most": self.limit,
            "most_open": self.peak_open,
            "refused": self.rejected,
        }


def connection_capacity() -> int:
    """How many proxied connections the file descriptors of this process allow.

    Raises the soft limit of descriptors to the hard limit.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
            soft = hard
    if soft == resource.RLIM_INFINITY:
        soft = UNLIMITED_DESCRIPTORS
    used = sum(1 for _ in Path("/proc/self/fd").iterdir())
    available = soft - used - RESERVED_DESCRIPTORS
    connections = min(CONNECTION_LIMIT, available // DESCRIPTORS_PER_CONNECTION)
    return max(FEWEST_CONNECTIONS, connections)


@dataclass(eq=False, slots=True)
class _ProxiedConnection:
    client: asyncio.StreamWriter
    peer: asyncio.StreamWriter | None = None

    def reset(self) -> None:
        reset_connection(self.client)
        if self.peer is not None:
            reset_connection(self.peer)


@dataclass
class ProxyLink:
    """One proxied link: clients connect to ``listen_port``, the peer is ``host:port``."""

    name: str
    host: str
    port: int
    seed: int
    state: str = "pass"
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    listen_port: int = 0
    bytes_up: int = 0
    bytes_down: int = 0
    connections: int = 0
    proxied_connections: set[_ProxiedConnection] = field(default_factory=set)
    limiter: ConnectionLimiter | None = None

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.healed = asyncio.Event()
        self.healed.set()
        self.server: asyncio.Server | None = None

    async def start(self) -> Self:
        """Listen on ``listen_port``; 0 lets the kernel choose a port."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.listen_port
        )
        self.listen_port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.proxied_connections):
            connection.reset()

    def set_state(
        self, state: str, delay_ms: float = 0.0, jitter_ms: float = 0.0
    ) -> None:
        """Change the state of the link, also for open connections.

        Raises:
            ValueError: The state is unknown.
        """
        if state not in STATES:
            raise ValueError(f"unknown link state {state!r}")
        previous = self.state
        self.state = state
        self.delay_ms = delay_ms
        self.jitter_ms = jitter_ms
        if state == "oneway":
            self.healed.clear()
        if state == "drop" or (previous == "silence" and state == "pass"):
            for connection in list(self.proxied_connections):
                connection.reset()
        if state == "pass":
            self.healed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self.state == "drop":
            reset_connection(writer)
            return
        if self.limiter is not None and not self.limiter.try_acquire():
            reset_connection(writer)
            return
        connection = _ProxiedConnection(writer)
        self.proxied_connections.add(connection)
        try:
            await self._forward(connection, reader)
        except (
            OSError,
            asyncio.IncompleteReadError,
            TimeoutError,
            asyncio.CancelledError,
        ):
            # One side has failed or the lab is stopping: reset both sides.
            connection.reset()
        finally:
            self.proxied_connections.discard(connection)
            if self.limiter is not None:
                self.limiter.release()

    async def _forward(
        self, connection: _ProxiedConnection, reader: asyncio.StreamReader
    ) -> None:
        while self.state == "silence":
            if not await reader.read(CHUNK_BYTES):
                return
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            peer_reader, connection.peer = await asyncio.open_connection(
                self.host, self.port
            )
        down = asyncio.create_task(
            self._pump(peer_reader, connection.client, connection, up=False)
        )
        try:
            await self._pump(reader, connection.peer, connection, up=True)
            await down
        finally:
            down.cancel()

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        connection: _ProxiedConnection,
        up: bool,
    ) -> None:
        while chunk := await source.read(CHUNK_BYTES):
            if not await self._forward_chunk(chunk, sink, connection, up):
                return
        with contextlib.suppress(OSError):
            sink.write_eof()

    async def _forward_chunk(
        self,
        chunk: bytes,
        sink: asyncio.StreamWriter,
        connection: _ProxiedConnection,
        up: bool,
    ) -> bool:
        """Handle a chunk according to the state; False if the connection was reset."""
        state = self.state
        if state == "silence":
            return True
        if state == "drop":
            connection.reset()
            return False
        if state == "delay":
            delay_ms = self.delay_ms + self.rng.uniform(0, self.jitter_ms)
            await asyncio.sleep(delay_ms / 1000)
        if state == "oneway" and not up:
            await self.healed.wait()
        sink.write(chunk)
        await sink.drain()
        if up:
            self.bytes_up += len(chunk)
        else:
            self.bytes_down += len(chunk)
        if state == "reset" and up:
            connection.reset()
            return False
        return True

    def statistics(self) -> dict[str, object]:
        """The state and counters of the link for the verdict."""
        return {
            "link": self.name,
            "state": self.state,
            "connections": self.connections,
            "bytes_up": self.bytes_up,
            "bytes_down": self.bytes_down,
        }
