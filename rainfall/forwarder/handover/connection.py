"""The connection between the two processes of a handover: JSON lines on a Unix socket."""

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
"""File name of the socket in the state directory, beside the journal."""
MAX_SOCKET_PATH_BYTES = 100
"""Linux allows 107 bytes in the path of a Unix socket; the rest is a margin."""
MAX_LINE_BYTES = 64 * 1024 * 1024
"""A connection that sends a longer line is closed."""
MAX_UNSENT_BYTES = 1 << 20
"""Buffered output above which clients' messages are not forwarded."""
READ_CHUNK_BYTES = 256 * 1024
"""Size of a read when the rest of a broken connection is drained."""
log = logging.getLogger("rainfall.handover")


@contextmanager
def short_path(path: Path) -> Iterator[str]:
    """Yield a path of a socket that is within MAX_SOCKET_PATH_BYTES.

    If `path` is longer, the directory is opened and the yielded path leads through its
    descriptor in /proc, which is valid within the `with` block only.
    """
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    fd = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{fd}/{path.name}"
    finally:
        os.close(fd)


class HandoverConnection(asyncio.Protocol):
    """Sends and receives JSON lines.

    Args:
        on_message: Called with each decoded line. If it raises ValueError, TypeError or
            KeyError, the line is malformed, and the connection is closed.
        on_disconnect: Called once, after the connection has ended.
    """

    def __init__(
        self,
        on_message: Callable[[HandoverConnection, HandoverMessage], None],
        on_disconnect: Callable[[HandoverConnection], None],
    ) -> None:
        self.on_message, self.on_disconnect = on_message, on_disconnect
        self.transport: asyncio.Transport | None = None
        """None before the connection is made and after it is lost."""
        self.line_parts: list[bytes] = []
        """The pieces received so far of a line without its newline."""
        self.line_bytes = 0
        """Total length of `line_parts`."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by the event loop)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass on each complete line, and buffer an incomplete one."""
        first_part, *later_parts = data.split(b"\n")
        self.line_parts.append(first_part)
        self.line_bytes += len(first_part)
        for part in later_parts:
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
        """Log a malformed line and close the connection."""
        log.error("handover: cannot parse line: %r", error)
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Read what arrived before the connection ended, then report its end."""
        transport, self.transport = self.transport, None
        if error is not None and transport is not None:
            self.read_remaining(transport)
        self.on_disconnect(self)

    def read_remaining(self, transport: asyncio.Transport) -> None:
        """Read the data that is left in the socket after a failed write.

        asyncio drops the connection at the failed write, without reading what the other
        process had sent before: outcomes of calls, and answers to clients.
        """
        fd = transport.get_extra_info("socket").fileno()
        with suppress(OSError):
            while data := os.read(fd, READ_CHUNK_BYTES):
                self.data_received(data)

    def send_message(self, message: TargetMessage | Reply | SourceMessage) -> None:
        """Encode and send a message; it is discarded once the connection is lost."""
        self.send(**encode_message(message))

    def send(self, **line: Any) -> None:
        """Send a JSON line; it is discarded once the connection is lost."""
        if self.transport is not None:
            self.transport.write(
                json.dumps(line, separators=(",", ":")).encode() + b"\n"
            )

    def is_congested(self) -> bool:
        """Return whether the other process has left much output unread."""
        return (
            self.transport is not None
            and self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES
        )

    def close(self) -> None:
        """Close the connection after all buffered output is written."""
        if self.transport is not None:
            self.transport.close()
