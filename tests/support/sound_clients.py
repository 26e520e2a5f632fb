"""Sound clients that send one message at a time, and record each answer and its wait."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from tests.support.client_pressure import with_body

PATIENCE_S = 0.4
"""PROTOCOL, Clients to forwarders: a client waits this long for its answer."""
BODY = bytes(212)


@dataclass
class Reply:
    """What became of one message."""

    name: str
    status: int
    """Status of the answer; 0 if none came in time."""
    wait_s: float
    cause: str = ""
    """Why there is no answer: "late", or "closed" with the message read or unread."""


@dataclass
class SoundClients:
    """A few clients with a connection each, which they keep and open anew if it ends."""

    port: int
    pause_s: float = 0.02
    patience_s: float = PATIENCE_S
    replies: list[Reply] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    stopping: bool = False

    def start(self, count: int) -> None:
        self.tasks = [asyncio.create_task(self._run(n)) for n in range(count)]

    async def stop(self) -> None:
        self.stopping = True
        await asyncio.gather(*self.tasks)

    async def _run(self, number: int) -> None:
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        sent = 0
        while not self.stopping:
            sent += 1
            connection = await self._hand_in(f"sound-{number}-{sent}", connection)
            await asyncio.sleep(self.pause_s)
        if connection is not None:
            connection[1].close()

    async def _hand_in(
        self,
        name: str,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Send one message; one that crosses the end of its connection is sent again."""
        started = time.monotonic()
        is_new = connection is None
        try:
            async with asyncio.timeout(self.patience_s):
                if connection is None:
                    connection = await asyncio.open_connection("127.0.0.1", self.port)
                reader, writer = connection
                writer.write(with_body(name, BODY))
                first_line = await reader.readuntil(b"\r\n")
                rest = await reader.readuntil(b"\r\n\r\n")
                await self._read_body(reader, rest)
        except TimeoutError:
            self._record(name, 0, started, "late")
            if connection is not None:
                connection[1].close()
            return None
        except (OSError, asyncio.IncompleteReadError) as error:
            if connection is not None:
                connection[1].close()
            if not is_new:
                return await self._hand_in(name, None)
            self._record(name, 0, started, f"closed ({type(error).__name__})")
            return None
        self._record(name, int(first_line[9:12]), started)
        if b"connection: close" in rest.lower():
            writer.close()
            return None
        return connection

    async def _read_body(self, reader: asyncio.StreamReader, head: bytes) -> None:
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                with suppress(ValueError):
                    await reader.readexactly(int(line[15:]))

    def _record(self, name: str, status: int, started: float, cause: str = "") -> None:
        self.replies.append(Reply(name, status, time.monotonic() - started, cause))

    def statuses(self) -> Counter[str]:
        """Return how many messages had each answer, or none for each cause."""
        return Counter(reply.cause or str(reply.status) for reply in self.replies)

    def waits_ms(self) -> list[float]:
        """Return the sorted waits of the answered messages, in milliseconds."""
        return sorted(1000 * r.wait_s for r in self.replies if r.status)

    def accepted(self) -> list[str]:
        """Return the names of the accepted messages."""
        return [reply.name for reply in self.replies if reply.status in (200, 202)]
