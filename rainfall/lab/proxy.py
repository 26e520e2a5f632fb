"""A fault proxy for one link of the lab: TCP on loopback, bytes passed on or held,
delayed, cut or reset.

States (``docs/parts.md``, the fleet lab): ``pass``; ``delay`` each chunk by
``delay_ms`` plus a uniform jitter; ``drop`` (open connections and new ones are reset);
``reset`` (the next chunk to the peer is passed on and then both sides are reset, so a
request may have run); ``silence`` (connections are accepted and read, nothing is passed
on, and they are reset at the end, as a machine that was cut off and comes back);
``oneway`` (bytes toward the peer pass, answers are held until the link heals).
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import resource
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Self

CHUNK = 65536
DIAL_S = 2.0
SPARE = 256
"""Descriptors left to logs, pipes and listening sockets that come later."""
STATES = ("pass", "delay", "drop", "reset", "silence", "oneway")


def reset(writer: asyncio.StreamWriter) -> None:
    """Close with RST, as a process that died or a middlebox that cut the line."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


@dataclass(slots=True)
class Gate:
    """The bound on connections open through all links together. A connection that is
    taken up costs this process four descriptors at most (both ends of the link and, for
    a stand-in, of its server); with no bound the accept loop meets the descriptors' end
    and logs that again and again.
    """

    most: int
    refusing: Callable[[], None] = lambda: None
    """Called once, as the first is refused."""
    open: int = 0
    most_open: int = 0
    refused: int = 0

    def enter(self) -> bool:
        if self.open >= self.most:
            if not self.refused:
                self.refusing()
            self.refused += 1
            return False
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        return True

    def leave(self) -> None:
        self.open -= 1

    def figures(self) -> dict[str, int]:
        return {"most": self.most, "most_open": self.most_open, "refused": self.refused}


def room() -> int:
    """Proxied connections that this process's descriptors allow, its limit raised as
    far as it goes.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
            soft = hard
    free = (1 << 20 if soft == resource.RLIM_INFINITY else soft) - len(
        os.listdir("/proc/self/fd")
    )
    return max(16, min(100_000, (free - SPARE) // 4))


@dataclass(eq=False, slots=True)
class _Pair:
    client: asyncio.StreamWriter
    peer: asyncio.StreamWriter | None = None

    def cut(self) -> None:
        reset(self.client)
        if self.peer is not None:
            reset(self.peer)


@dataclass
class Link:
    """One proxied link: ``listen`` is where its user dials, ``host:port`` the peer
    behind it.
    """

    name: str
    host: str
    port: int
    seed: int
    state: str = "pass"
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    listen: int = 0
    bytes_up: int = 0
    bytes_down: int = 0
    connections: int = 0
    pairs: set[_Pair] = field(default_factory=set)
    gate: Gate | None = None

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self.healed = asyncio.Event()
        self.healed.set()
        self.server: asyncio.Server | None = None

    async def start(self) -> Self:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.listen)
        self.listen = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for pair in list(self.pairs):
            pair.cut()

    def set(self, state: str, delay_ms: float = 0.0, jitter_ms: float = 0.0) -> None:
        """Put the link in a state; ValueError for an unknown one."""
        if state not in STATES:
            raise ValueError(f"no proxy state {state!r}")
        before, self.state, self.delay_ms, self.jitter_ms = (
            self.state,
            state,
            delay_ms,
            jitter_ms,
        )
        if state == "oneway":
            self.healed.clear()
        if state == "drop" or (before == "silence" and state == "pass"):
            for pair in list(self.pairs):
                pair.cut()
        if state == "pass":
            self.healed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self.state == "drop":
            reset(writer)
            return
        if self.gate is not None and not self.gate.enter():
            reset(writer)
            return
        pair = _Pair(writer)
        self.pairs.add(pair)
        try:
            await self._carry(pair, reader)
        except (
            OSError,
            asyncio.IncompleteReadError,
            TimeoutError,
            asyncio.CancelledError,
        ):
            pair.cut()  # the lab ends or a side broke: both sides see a reset
        finally:
            self.pairs.discard(pair)
            if self.gate is not None:
                self.gate.leave()

    async def _carry(self, pair: _Pair, reader: asyncio.StreamReader) -> None:
        while self.state == "silence":  # cut off: nothing comes up and nothing answers
            if not await reader.read(CHUNK):
                return
        async with asyncio.timeout(DIAL_S):
            up_reader, pair.peer = await asyncio.open_connection(self.host, self.port)
        down = asyncio.create_task(self._pump(up_reader, pair.client, pair, up=False))
        try:
            await self._pump(reader, pair.peer, pair, up=True)
            await down
        finally:
            down.cancel()

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        pair: _Pair,
        up: bool,
    ) -> None:
        while chunk := await source.read(CHUNK):
            if not await self._pass(chunk, sink, pair, up):
                return
        with contextlib.suppress(OSError):
            sink.write_eof()

    async def _pass(
        self, chunk: bytes, sink: asyncio.StreamWriter, pair: _Pair, up: bool
    ) -> bool:
        state = self.state
        if state == "silence":
            return True  # read and forgotten
        if state == "drop":
            pair.cut()
            return False
        if state == "delay":
            await asyncio.sleep(
                (self.delay_ms + self.chance.uniform(0, self.jitter_ms)) / 1000
            )
        if state == "oneway" and not up:
            await self.healed.wait()
        sink.write(chunk)
        await sink.drain()
        if up:
            self.bytes_up += len(chunk)
        else:
            self.bytes_down += len(chunk)
        if state == "reset" and up:
            pair.cut()
            return False
        return True

    def figures(self) -> dict[str, object]:
        return {
            "link": self.name,
            "state": self.state,
            "connections": self.connections,
            "bytes_up": self.bytes_up,
            "bytes_down": self.bytes_down,
        }
