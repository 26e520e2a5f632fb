"""A relay between one forwarder and the list service's process.

It forwards HTTP, and replaces each dial in an answer by this forwarder's own proxy:
PROTOCOL lets ``dial`` vary by forwarder, while the service sends the same to all. It
changes dials and the answer's length and nothing else, has no state, answers nothing by
itself, and its connections end with the service's.
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
"""A list of 44,000 endpoints takes 14 MB if it is indented."""
ENTRY_NAME_FIELDS = {"hosts": "host", "members": "name"}
"""The lists in answers whose entries have a dial, and the field of an entry's name."""
HEAD_END = b"\r\n\r\n"


class RelayedMessage(NamedTuple):
    """A request or an answer."""

    lines: list[str]
    """The lines of its head."""
    body: bytes


def ignore_notice(_notice: dict[str, Any]) -> None:
    """Do nothing at a notice."""


def rewrite_dials(body: bytes, dials: Mapping[str, str]) -> bytes:
    """An answer's body with the dials of known hosts and members replaced."""
    if b'"dial"' not in body:
        return body
    try:
        answer = json.loads(body)
    except ValueError:
        return body  # The forwarder rejects it.
    if not isinstance(answer, dict):
        return body
    for list_field, name_field in ENTRY_NAME_FIELDS.items():
        entries = answer.get(list_field)
        if isinstance(entries, list):
            _rewrite_entries(entries, name_field, dials)
    return json.dumps(answer, separators=(",", ":")).encode()


def _rewrite_entries(
    entries: list[Any], name_field: str, dials: Mapping[str, str]
) -> None:
    for entry in entries:
        if isinstance(entry, dict) and "dial" in entry:
            dial = dials.get(entry.get(name_field, ""))
            if dial is not None:
                entry["dial"] = dial


async def read_message(reader: asyncio.StreamReader) -> RelayedMessage | None:
    """One HTTP/1.1 message; None if the connection ends before it.

    Raises:
        ValueError: The head or the body is past its limit, or the body is in chunks.
        asyncio.IncompleteReadError: The connection ends within the message.
    """
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    except asyncio.LimitOverrunError:
        raise ValueError("head too large") from None
    lines = head.removesuffix(HEAD_END).decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
        elif name.strip().lower() == "transfer-encoding":
            raise ValueError("chunks are not passed on")
    if not 0 <= length <= BODY_LIMIT_BYTES:
        raise ValueError("body too large")
    return RelayedMessage(lines, await reader.readexactly(length))


def encode_message(lines: list[str], body: bytes) -> bytes:
    """A message's bytes, with the length of this body if the head has a length."""
    kept = [line for line in lines if not line.lower().startswith("content-length:")]
    if len(kept) < len(lines):
        kept.append(f"Content-Length: {len(body)}")
    return "\r\n".join(kept).encode("latin-1") + HEAD_END + body


@dataclass
class DiscoveryRelay:
    """The relay of one forwarder, at ``listen_port``.

    ``on_notice`` is called with each notice that the service has accepted.
    """

    service_port: int
    dials: Mapping[str, str]
    on_notice: Callable[[dict[str, Any]], None] = ignore_notice
    listen_port: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> Self:
        """Listen at a port that the system chooses."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=HEAD_LIMIT_BYTES
        )
        self.listen_port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        peer: asyncio.StreamWriter | None = None
        pending_notices: deque[bytes] = deque()
        tasks: list[asyncio.Task[None]] = []
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                answers, peer = await asyncio.open_connection(
                    "127.0.0.1", self.service_port, limit=HEAD_LIMIT_BYTES
                )
            self.writers.add(peer)
            tasks = [
                asyncio.create_task(
                    self._forward_requests(reader, peer, pending_notices)
                ),
                asyncio.create_task(
                    self._forward_answers(answers, writer, pending_notices)
                ),
            ]
            # When one side closes the other is closed too: so the service learns of a
            # forwarder that has gone, and the forwarder of a service that has ended.
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if tasks[1].done() and tasks[1].exception() is None:
                # All answers were forwarded: close without a reset.
                writer.write_eof()
                self.writers.discard(writer)
                writer.close()
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for end in [writer] if peer is None else [writer, peer]:
                self.writers.discard(end)
                if not end.is_closing():
                    reset_connection(end)

    async def _forward_requests(
        self,
        reader: asyncio.StreamReader,
        peer: asyncio.StreamWriter,
        pending_notices: deque[bytes],
    ) -> None:
        while (message := await read_message(reader)) is not None:
            is_notices = message.lines[0].startswith("POST /v1/notices")
            pending_notices.append(message.body if is_notices else b"")
            peer.write(encode_message(message.lines, message.body))
            await peer.drain()

    async def _forward_answers(
        self,
        answers: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pending_notices: deque[bytes],
    ) -> None:
        while (message := await read_message(answers)) is not None:
            notices = pending_notices.popleft() if pending_notices else b""
            status = message.lines[0].split(" ")[1]
            if status.startswith("2"):
                self._report_notices(notices)
            body = rewrite_dials(message.body, self.dials)
            writer.write(encode_message(message.lines, body))
            await writer.drain()

    def _report_notices(self, notices: bytes) -> None:
        for line in notices.splitlines():
            with contextlib.suppress(ValueError):
                notice = json.loads(line)
                if isinstance(notice, dict) and "id" in notice:
                    self.on_notice(notice)
