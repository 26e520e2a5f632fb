"""One forwarder's way to the list service's process: HTTP passed on, each dial that the
service tells replaced by this forwarder's own proxy.

PROTOCOL lets ``dial`` vary by forwarder, the service tells all of them one; so each
forwarder has a relay between its proxied link and the service. It changes dials and the
answer's length, nothing else: it keeps no list, answers nothing by itself, and its
connections end with the service's.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Self

from rainfall.lab.fault_proxy import DIAL_TIMEOUT_S, reset_connection

HEAD_LIMIT_BYTES = 16384
BODY_LIMIT_BYTES = (
    32 * 1024 * 1024
)  # bytes; a list of 44,000 endpoints, written out for reading, is 14 MB
ENTRY_NAME_FIELDS = {"hosts": "host", "members": "name"}
"""Lists in the service's answers whose entries have a dial, and the field that names
the entry.
"""


def rewrite_dials(body: bytes, dials: Mapping[str, str]) -> bytes:
    """An answer's body with the dials of known hosts and members replaced; as it was if
    it holds none.
    """
    if b'"dial"' not in body:
        return body
    try:
        answer = json.loads(body)
    except ValueError:
        return body  # not ours to judge: the forwarder does
    if not isinstance(answer, dict):
        return body
    for key, name in ENTRY_NAME_FIELDS.items():
        entries = answer.get(key)
        for entry in entries if isinstance(entries, list) else []:
            if isinstance(entry, dict) and "dial" in entry and entry.get(name) in dials:
                entry["dial"] = dials[entry[name]]
    return json.dumps(answer, separators=(",", ":")).encode()


async def read_message(reader: asyncio.StreamReader) -> tuple[list[str], bytes] | None:
    """One HTTP/1.1 message as its head's lines and its body; None at a clean end,
    ValueError past a bound.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    except asyncio.LimitOverrunError:
        raise ValueError("head too large") from None
    lines = head[:-4].decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
        elif name.strip().lower() == "transfer-encoding":
            raise ValueError("chunks are not passed on")
    if not 0 <= length <= BODY_LIMIT_BYTES:
        raise ValueError("body too large")
    return lines, await reader.readexactly(length)


def encode_message(lines: list[str], body: bytes) -> bytes:
    kept = [line for line in lines if not line.lower().startswith("content-length:")]
    if len(kept) < len(lines):
        kept.append(f"Content-Length: {len(body)}")
    return "\r\n".join(kept).encode("latin-1") + b"\r\n\r\n" + body


@dataclass
class DiscoveryRelay:
    """Listens at ``listen`` for one forwarder; ``port`` is the service's.

    ``noticed`` hears each notice that the service answered with 2xx.
    """

    service_port: int
    dials: Mapping[str, str]
    on_notice: Callable[[dict[str, Any]], None] = lambda notice: None
    listen_port: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> Self:
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=HEAD_LIMIT_BYTES
        )
        self.listen_port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
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
                asyncio.create_task(self._up(reader, peer, pending_notices)),
                asyncio.create_task(self._down(answers, writer, pending_notices)),
            ]
            # Either side's end is the other's: a forwarder that leaves frees its watch,
            # a dead service shows.
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if tasks[1].done() and tasks[1].exception() is None:
                writer.write_eof()  # all that it said has been passed on
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

    async def _up(
        self,
        reader: asyncio.StreamReader,
        peer: asyncio.StreamWriter,
        pending_notices: deque[bytes],
    ) -> None:
        while (message := await read_message(reader)) is not None:
            lines, body = message
            pending_notices.append(
                body if lines[0].startswith("POST /v1/notices") else b""
            )
            peer.write(encode_message(lines, body))
            await peer.drain()

    async def _down(
        self,
        answers: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pending_notices: deque[bytes],
    ) -> None:
        while (message := await read_message(answers)) is not None:
            lines, body = message
            notices = pending_notices.popleft() if pending_notices else b""
            if lines[0].split(" ")[1:2][0].startswith("2"):
                self._report_notices(notices)
            writer.write(encode_message(lines, rewrite_dials(body, self.dials)))
            await writer.drain()

    def _report_notices(self, notices: bytes) -> None:
        for line in notices.splitlines():
            with contextlib.suppress(ValueError):
                notice = json.loads(line)
                if isinstance(notice, dict) and "id" in notice:
                    self.on_notice(notice)
