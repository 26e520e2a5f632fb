"""HTTP/1.1 answers as they arrive: httptools parses, this collects.

One answer at a time on a connection.

Nothing here trusts the peer: every byte counts against a limit, also those of a head
that never ends, and an answer that was spoilt stays spoilt whatever its first line
says.
"""

from __future__ import annotations

import asyncio
import re
import select
from collections.abc import Iterable

import httptools

from rainfall.errors import RainfallError

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_LIST_BYTES = (
    32 * 1024 * 1024
)  # a list of 44,000 endpoints is 7 to 8.3 MB, indented 10 to 12 MB
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})[ \r\n]")
STATUS_PREFIX_BYTES = 13  # as many tell the status
Headers = dict[str, str]


class MalformedResponseError(RainfallError):
    """What came back is not the HTTP that was promised."""


class ResponseReader:
    """Collects one answer after the other.

    `first_line` is the status as the first line says it, from when that line is whole,
    though the rest may yet turn out spoilt: one that breaks off inside it promises
    nothing. `status` counts once the answer is `complete`.
    """

    def __init__(self, most: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes = most
        self.reset()

    def reset(self) -> None:
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(
            self
        )
        self.status, self.status_line_code, self.complete, self.keep_alive = (
            0,
            0,
            False,
            False,
        )
        self.headers: Headers = {}
        self.counted_bytes, self.raw_bytes, self.skipped_bytes = 0, 0, 0
        (
            self.in_headers,
            self.has_extra_response,
            self.any_bytes_received,
            self.too_large,
        ) = (
            True,
            False,
            False,
            False,
        )
        self.partial_status_line = b""
        self.body_parts: list[bytes] = []

    def release_parser(self) -> None:
        """The connection is over.

        The parser refers back: the collector need not find the ring.
        """
        self.parser = None

    @property
    def response_started(self) -> bool:
        """Whether some of the answer itself has come: those ahead of it are no part of
        it.
        """
        return bool(self.status_line_code or self.partial_status_line)

    @property
    def body(self) -> bytes:
        return b"".join(self.body_parts)

    def feed(self, data: bytes) -> None:
        self.any_bytes_received = True
        if self.complete:  # more than was asked for
            self.keep_alive = False
            return
        if not self.status_line_code:
            data = self.read_status_line(data)
            if not data:
                return
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise MalformedResponseError(
                    "the answer is too large" if self.too_large else str(error)
                ) from None
            self.keep_alive = False
        # a second answer or noise behind a good one: that one holds, the connection
        # does not
        if self.has_extra_response:
            self.keep_alive = False
        self.raw_bytes += len(data)
        # The parser tells a header only once it is whole: a head without end shows in
        # the raw bytes alone. Chunks may be small, so a body's raw bytes are allowed to
        # be some times its size.
        if not self.complete and self.raw_bytes > (
            MAX_HEADER_BYTES
            if self.in_headers
            else MAX_HEADER_BYTES + 8 * self.max_body_bytes
        ):
            raise MalformedResponseError("the answer is too large")

    def read_status_line(self, data: bytes) -> bytes:
        """Gather the first line's status.

        1xx answers ahead have no body and are left out, also a 101.
        """
        data, self.partial_status_line = self.partial_status_line + data, b""
        while True:
            match = STATUS_LINE.match(data)
            if match is None:
                if len(data) < STATUS_PREFIX_BYTES and b"\n" not in data:
                    self.partial_status_line = data
                    return b""
                raise MalformedResponseError("no status line")
            if not match[1].startswith(b"1"):
                if b"\n" not in data:
                    if len(data) > MAX_HEADER_BYTES:
                        raise MalformedResponseError("the first line is too long")
                    self.partial_status_line = data
                    return b""
                self.status_line_code = int(match[1])
                return data
            end = data.find(b"\r\n\r\n")
            if self.skipped_bytes + (end if end >= 0 else len(data)) > MAX_HEADER_BYTES:
                raise MalformedResponseError("too much ahead of the answer")
            if end < 0:
                self.partial_status_line = data
                return b""
            self.skipped_bytes += end + 4
            data = data[end + 4 :]

    def on_eof(self) -> None:
        """The peer ended the connection: so ends an answer that gave no length."""
        if (
            self.any_bytes_received
            and not self.in_headers
            and not self.complete
            and not ({"content-length", "transfer-encoding"} & self.headers.keys())
        ):
            self.complete, self.keep_alive = True, False

    # Called by the parser

    def on_message_begin(self) -> None:
        self.has_extra_response = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        self.counted_bytes += len(name) + len(value)
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        assert self.parser is not None
        self.in_headers = False
        self.status = self.parser.get_status_code()
        length = self.headers.get("content-length", "")
        if (
            length.isdigit() and int(length) > self.max_body_bytes
        ):  # it need not be waited for
            self.too_large = True
            raise MalformedResponseError("the answer is too large")

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        self.counted_bytes += len(body)
        if self.counted_bytes > self.max_body_bytes + MAX_HEADER_BYTES:
            self.too_large = True
            raise MalformedResponseError("the answer is too large")
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        assert self.parser is not None
        self.keep_alive = self.parser.should_keep_alive()
        self.complete = True


def encode_request(
    method: str,
    path: str,
    host: str,
    headers: Iterable[tuple[str, str]],
    body: bytes = b"",
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        *(f"{k}: {v}" for k, v in headers),
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether its socket holds something that the loop has not read yet: bytes, an end,
    a reset.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
