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

MAX_SOCKET_PATH_BYTES = (
    100  # bytes that the path of a Unix socket may have, and some to spare
)
MAX_LINE_BYTES = 64 * 1024 * 1024
READ_CHUNK_BYTES = 256 * 1024
HandoverMessage = dict[str, Any]
log = logging.getLogger("rainfall.handover")


@contextmanager
def short_path(path: Path) -> Any:
    """A path that is short enough for a Unix socket, whatever folder it is in."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    fd = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{fd}/{path.name}"
    finally:
        os.close(fd)


class HandoverConnection(asyncio.Protocol):
    """Lines of JSON, one way and the other."""

    def __init__(
        self,
        heard: Callable[[HandoverConnection, HandoverMessage], None],
        lost: Callable[[HandoverConnection], None],
    ) -> None:
        self.on_message, self.on_disconnect = heard, lost
        self.transport: asyncio.Transport | None = None
        self.line_parts: list[bytes] = []
        self.line_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        first, *rest = data.split(b"\n")
        self.line_parts.append(first)
        self.line_bytes += len(first)
        for part in rest:
            line, self.line_parts, self.line_bytes = (
                b"".join(self.line_parts),
                [part],
                len(part),
            )
            try:
                self.on_message(self, json.loads(line))
            except (ValueError, TypeError, KeyError) as error:
                log.error("handover: a line that cannot be read: %r", error)
                self.close()
                return
        if self.line_bytes > MAX_LINE_BYTES:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        transport, self.transport = self.transport, None
        if error is not None and transport is not None:
            self.read_remaining(transport)
        self.on_disconnect(self)

    def read_remaining(self, transport: asyncio.Transport) -> None:
        """The other process was gone as this one wrote to it.

        Such a failed write ends the connection, and asyncio reads no more of what came
        before: how calls ended, and what was taken on.
        """
        fd = transport.get_extra_info("socket").fileno()
        with suppress(OSError):
            while data := os.read(fd, READ_CHUNK_BYTES):
                self.data_received(data)

    def send(self, **line: Any) -> None:
        if self.transport is not None:
            self.transport.write(
                json.dumps(line, separators=(",", ":")).encode() + b"\n"
            )

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
