"""A fault proxy for one link of the lab: TCP on loopback.

States of a link (``docs/parts.md``, the fleet lab):

- ``pass``: bytes are forwarded;
- ``delay``: each chunk is delayed by ``delay_ms`` plus a uniform jitter;
- ``drop``: open connections and new ones are reset;
- ``reset``: the next chunk to the peer is forwarded, and then both sides are reset, so
  that a request may have been executed;
- ``silence``: connections are accepted and read, nothing is forwarded, and they are
  reset at the end, as with a machine that was cut off and comes back;
- ``oneway``: bytes to the peer are forwarded, answers are held until the link heals.
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
"""Descriptors left for logs, pipes and listening sockets."""
DESCRIPTORS_PER_CONNECTION = 4
"""Both ends of a link and, for a stand-in, both of its server."""
FEWEST_CONNECTIONS = 16
CONNECTION_LIMIT = 100_000
UNLIMITED_DESCRIPTORS = 1 << 20
STATES = ("pass", "delay", "drop", "reset", "silence", "oneway")


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close with RST, as when a process dies or a middlebox drops the connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


@dataclass(slots=True)
class ConnectionLimiter:
    """The limit on connections open through all links together.

    Without it the process would run out of descriptors, and its accept loop would log
    that again and again.
    """

    limit: int
    on_first_rejection: Callable[[], None] = lambda: None
    """Called at the first connection past the limit."""
    open: int = 0
    peak_open: int = 0
    rejected: int = 0

    def try_acquire(self) -> bool:
        """Count a new connection; False past the limit."""
        if self.open >= self.limit:
            if not self.rejected:
                self.on_first_rejection()
            self.rejected += 1
            return False
        self.open += 1
        self.peak_open = max(self.peak_open, self.open)
        return True

    def release(self) -> None:
        """Count a connection that has ended."""
        self.open -= 1

    def statistics(self) -> dict[str, int]:
        """The counts as they stand in a verdict."""
        return {
            "most": self.limit,
            "most_open": self.peak_open,
            "refused": self.rejected,
        }


def connection_capacity() -> int:
    """Proxied connections that this process's descriptors allow.

    Its limit of descriptors is raised as far as allowed.
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
    """One proxied link: clients dial ``listen_port``, the peer is at ``host:port``."""

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
        """Listen, at ``listen_port`` if it is not 0."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.listen_port
        )
        self.listen_port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.proxied_connections):
            connection.reset()

    def set_state(
        self, state: str, delay_ms: float = 0.0, jitter_ms: float = 0.0
    ) -> None:
        """Change the link's state.

        Raises:
            ValueError: The state is unknown.
        """
        if state not in STATES:
            raise ValueError(f"no proxy state {state!r}")
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
            # One side has failed, or the lab ends: both sides see a reset.
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
            up_reader, connection.peer = await asyncio.open_connection(
                self.host, self.port
            )
        down = asyncio.create_task(
            self._pump(up_reader, connection.client, connection, up=False)
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
        """Treat a chunk as the state demands; False if the connection was reset."""
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
        """The link's counts as they stand in a verdict."""
        return {
            "link": self.name,
            "state": self.state,
            "connections": self.connections,
            "bytes_up": self.bytes_up,
            "bytes_down": self.bytes_down,
        }
