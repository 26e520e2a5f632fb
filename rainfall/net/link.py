"""What two processes on one machine say to each other: lines of JSON over a Unix
socket.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
from collections.abc import Callable
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

MOST_PATH = 100  # bytes that the path of a Unix socket may have, and some to spare
MOST_LINE = 64 * 1024 * 1024
CHUNK = 256 * 1024
Line = dict[str, Any]
log = logging.getLogger("rainfall.handover")


@contextmanager
def short_path(path: Path) -> Any:
    """A path that is short enough for a Unix socket, whatever folder it is in."""
    if len(os.fsencode(path)) <= MOST_PATH:
        yield str(path)
        return
    fd = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{fd}/{path.name}"
    finally:
        os.close(fd)


class Link(asyncio.Protocol):
    """Lines of JSON, one way and the other."""

    def __init__(
        self, heard: Callable[[Link, Line], None], lost: Callable[[Link], None]
    ) -> None:
        self.heard, self.lost = heard, lost
        self.transport: asyncio.Transport | None = None
        self.parts: list[bytes] = []
        self.size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        first, *rest = data.split(b"\n")
        self.parts.append(first)
        self.size += len(first)
        for part in rest:
            line, self.parts, self.size = b"".join(self.parts), [part], len(part)
            try:
                self.heard(self, json.loads(line))
            except (ValueError, TypeError, KeyError) as error:
                log.error("handover: a line that cannot be read: %r", error)
                self.close()
                return
        if self.size > MOST_LINE:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        transport, self.transport = self.transport, None
        if error is not None and transport is not None:
            self.read_on(transport)
        self.lost(self)

    def read_on(self, transport: asyncio.Transport) -> None:
        """The other process was gone as this one wrote to it. Such a failed write ends
        the connection, and asyncio reads no more of what came before: how calls ended,
        and what was taken on.
        """
        fd = transport.get_extra_info("socket").fileno()
        with suppress(OSError):
            while data := os.read(fd, CHUNK):
                self.data_received(data)

    def send(self, **line: Any) -> None:
        if self.transport is not None:
            self.transport.write(
                json.dumps(line, separators=(",", ":")).encode() + b"\n"
            )

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
