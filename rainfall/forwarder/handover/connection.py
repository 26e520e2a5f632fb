"""The connection of two processes at a handover: lines of JSON over a Unix socket."""

from __future__ import annotations

import asyncio
import json
import logging
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from rainfall.forwarder.handover.messages import (
    HandoverMessage,
    Reply,
    SourceMessage,
    TargetMessage,
    encode_message,
)

SOCKET_NAME = "handover"
"""The socket's name in the directory of the journal."""
MAX_SOCKET_PATH_BYTES = 100
"""A Unix socket's path may have 107 bytes on Linux; a few are to spare."""
MAX_LINE_BYTES = 64 * 1024 * 1024
"""A longer line ends the connection."""
READ_CHUNK_BYTES = 256 * 1024
log = logging.getLogger("rainfall.handover")


@contextmanager
def short_path(path: Path) -> Iterator[str]:
    """A path that is short enough for a Unix socket, whatever directory it is in."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    fd = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{fd}/{path.name}"
    finally:
        os.close(fd)


class HandoverConnection(asyncio.Protocol):
    """Sends and receives lines of JSON.

    Args:
        heard: Called with each line; ValueError, TypeError or KeyError from it mean
            that the line cannot be read, and end the connection.
        lost: Called once the connection has ended.
    """

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
        """Keep the transport to send over."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Hand on the lines that are complete, and keep the rest."""
        first, *rest = data.split(b"\n")
        self.line_parts.append(first)
        self.line_bytes += len(first)
        for part in rest:
            line = b"".join(self.line_parts)
            self.line_parts = [part]
            self.line_bytes = len(part)
            try:
                self.on_message(self, json.loads(line))
            except (ValueError, TypeError, KeyError) as error:
                self.reject_line(error)
                return
        if self.line_bytes > MAX_LINE_BYTES:
            self.close()

    def reject_line(self, error: Exception) -> None:
        """End the connection over a line that cannot be read."""
        log.error("handover: a line that cannot be read: %r", error)
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Read what came before the end, then report the end."""
        transport, self.transport = self.transport, None
        if error is not None and transport is not None:
            self.read_remaining(transport)
        self.on_disconnect(self)

    def read_remaining(self, transport: asyncio.Transport) -> None:
        """Read what is left in the socket after a write to it failed.

        Such a write ends the connection, and asyncio reads no more of what the other
        process had sent before: outcomes of calls, and answers to clients.
        """
        fd = transport.get_extra_info("socket").fileno()
        with suppress(OSError):
            while data := os.read(fd, READ_CHUNK_BYTES):
                self.data_received(data)

    def send_message(self, message: TargetMessage | Reply | SourceMessage) -> None:
        """Send a message, if there is still a connection."""
        self.send(**encode_message(message))

    def send(self, **line: Any) -> None:
        """Send a line of JSON, if there is still a connection."""
        if self.transport is not None:
            self.transport.write(
                json.dumps(line, separators=(",", ":")).encode() + b"\n"
            )

    def close(self) -> None:
        """End the connection; what was sent still leaves."""
        if self.transport is not None:
            self.transport.close()
