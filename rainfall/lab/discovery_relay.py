"""A relay between one forwarder and the list service's process.

The relay forwards HTTP and replaces each ``dial`` in a response with the address of this
forwarder's own proxy. PROTOCOL allows ``dial`` to differ between forwarders, but the
service sends the same list to all. The relay changes only dials and the content length,
keeps no state and never answers by itself. When either side closes a connection, the
relay closes the other.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Self

from rainfall.lab.fault_proxy import DIAL_TIMEOUT_S, reset_connection

HEAD_LIMIT_BYTES = 16384
BODY_LIMIT_BYTES = 32 * 1024 * 1024
"""An indented list of 44,000 endpoints takes 14 MB."""
ENTRY_NAME_FIELDS = {"hosts": "host", "members": "name"}
"""Lists in responses whose entries have a dial, with the field that names an entry."""
HEAD_END = b"\r\n\r\n"


class RelayedMessage(NamedTuple):
    """An HTTP request or response."""

    lines: list[str]
    """The start line and the header lines."""
    body: bytes


def ignore_notification(_notification: dict[str, Any]) -> None:
    """Discard a notification; the default of ``on_notification``."""


def rewrite_dials(body: bytes, dials: Mapping[str, str]) -> bytes:
    """Replace the dials of the hosts and members in ``dials`` in a response body."""
    if b'"dial"' not in body:
        return body
    try:
        response = json.loads(body)
    except ValueError:
        return body  # Forwarded as is: the forwarder rejects invalid JSON.
    if not isinstance(response, dict):
        return body
    for list_field, name_field in ENTRY_NAME_FIELDS.items():
        entries = response.get(list_field)
        if isinstance(entries, list):
            _rewrite_entries(entries, name_field, dials)
    return json.dumps(response, separators=(",", ":")).encode()


def _rewrite_entries(
    entries: list[Any], name_field: str, dials: Mapping[str, str]
) -> None:
    for entry in entries:
        if isinstance(entry, dict) and "dial" in entry:
            dial = dials.get(entry.get(name_field, ""))
            if dial is not None:
                entry["dial"] = dial


async def read_message(reader: asyncio.StreamReader) -> RelayedMessage | None:
    """Read one HTTP/1.1 message; None if the connection closes before it starts.

    Raises:
        ValueError: The head or body exceeds its limit, or the body is chunked.
        asyncio.IncompleteReadError: The connection closes within the message.
    """
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    except asyncio.LimitOverrunError:
        raise ValueError(f"head is over {HEAD_LIMIT_BYTES} bytes") from None
    lines = head.removesuffix(HEAD_END).decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
        elif name.strip().lower() == "transfer-encoding":
            raise ValueError("transfer-encoding is not supported")
    if not 0 <= length <= BODY_LIMIT_BYTES:
        raise ValueError(f"content-length {length} is not 0 to {BODY_LIMIT_BYTES}")
    return RelayedMessage(lines, await reader.readexactly(length))


def encode_message(lines: list[str], body: bytes) -> bytes:
    """Serialize a message; an existing Content-Length is replaced by that of ``body``."""
    kept = [line for line in lines if not line.lower().startswith("content-length:")]
    if len(kept) < len(lines):
        kept.append(f"Content-Length: {len(body)}")
    return "\r\n".join(kept).encode("latin-1") + HEAD_END + body


@dataclass
class DiscoveryRelay:
    """The relay of one forwarder, listening on ``listen_port``.

    ``on_notification`` is called with each notification that the service accepted (2xx).
    """

    service_port: int
    dials: Mapping[str, str]
    on_notification: Callable[[dict[str, Any]], None] = ignore_notification
    listen_port: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> Self:
        """Listen on a port that the kernel chooses."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=HEAD_LIMIT_BYTES
        )
        self.listen_port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        service_writer: asyncio.StreamWriter | None = None
        pending_notifications: deque[bytes] = deque()
        tasks: list[asyncio.Task[None]] = []
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                responses, service_writer = await asyncio.open_connection(
                    "127.0.0.1", self.service_port, limit=HEAD_LIMIT_BYTES
                )
            self.writers.add(service_writer)
            tasks = [
                asyncio.create_task(
                    self._forward_requests(
                        reader, service_writer, pending_notifications
                    )
                ),
                asyncio.create_task(
                    self._forward_responses(responses, writer, pending_notifications)
                ),
            ]
            # When one side closes, the other is closed too, so that the service detects
            # a stopped forwarder and the forwarder a stopped service.
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if tasks[1].done() and tasks[1].exception() is None:
                # All responses were forwarded: close without a reset.
                writer.write_eof()
                self.writers.discard(writer)
                writer.close()
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for end in [writer] if service_writer is None else [writer, service_writer]:
                self.writers.discard(end)
                if not end.is_closing():
                    reset_connection(end)

    async def _forward_requests(
        self,
        reader: asyncio.StreamReader,
        service_writer: asyncio.StreamWriter,
        pending_notifications: deque[bytes],
    ) -> None:
        while (message := await read_message(reader)) is not None:
            is_notification_post = message.lines[0].startswith("POST /v1/notices")
            pending_notifications.append(message.body if is_notification_post else b"")
            service_writer.write(encode_message(message.lines, message.body))
            await service_writer.drain()

    async def _forward_responses(
        self,
        responses: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pending_notifications: deque[bytes],
    ) -> None:
        while (message := await read_message(responses)) is not None:
            notifications = (
                pending_notifications.popleft() if pending_notifications else b""
            )
            status = message.lines[0].split(" ")[1]
            if status.startswith("2"):
                self._report_notifications(notifications)
            body = rewrite_dials(message.body, self.dials)
            writer.write(encode_message(message.lines, body))
            await writer.drain()

    def _report_notifications(self, notifications: bytes) -> None:
        for line in notifications.splitlines():
            with contextlib.suppress(ValueError):
                notification = json.loads(line)
                if isinstance(notification, dict) and "id" in notification:
                    self.on_notification(notification)
