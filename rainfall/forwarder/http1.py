"""HTTP/1.1 as a client: requests are encoded, and responses collected as they arrive.

httptools parses; one response at a time is collected on a connection. Nothing here
trusts the peer: every byte counts against a limit, also those of a header that never
ends, and a malformed response stays malformed whatever its first line says.
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
MAX_LIST_BYTES = 32 * 1024 * 1024
"""An endpoint list of 44,000 endpoints has 7 to 8.3 MB, or 10 to 12 MB indented."""
RAW_BODY_FACTOR = 8
"""Raw bytes of a body at most, as a multiple of its size: chunks may be small."""
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})[ \r\n]")
STATUS_PREFIX_BYTES = 13
"""Bytes of a first line that are enough to tell its status."""
HEADER_END = b"\r\n\r\n"
Headers = dict[str, str]


class MalformedResponseError(RainfallError):
    """The response is not valid HTTP, or not what was asked for."""


class ResponseReader:
    """Collects one response after the other.

    `status_line_code` is the status in the first line, from when that line is complete,
    though the rest may yet turn out malformed. `status` counts once the response is
    `complete`.
    """

    def __init__(self, most: int = MAX_BODY_BYTES) -> None:
        """Make a reader of responses whose body has `most` bytes at most."""
        self.max_body_bytes = most
        self.reset()

    def reset(self) -> None:
        """Get ready for the next response."""
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(
            self
        )
        self.status = 0
        self.status_line_code = 0
        self.complete = False
        self.keep_alive = False
        """Whether the connection can be used again; known once complete."""
        self.headers: Headers = {}
        self.counted_bytes = 0
        """Bytes of headers and of the body."""
        self.raw_bytes = 0
        self.skipped_bytes = 0
        """Bytes of interim responses (1xx), which are left out."""
        self.in_headers = True
        self.has_extra_response = False
        """Another response follows that nobody asked for."""
        self.any_bytes_received = False
        self.too_large = False
        self.partial_status_line = b""
        self.body_parts: list[bytes] = []

    def release_parser(self) -> None:
        """Drop the parser at the connection's end.

        It refers back: without it the collector has no cycle to find.
        """
        self.parser = None

    @property
    def response_started(self) -> bool:
        """Whether some of the final response has come; interim ones do not count."""
        return bool(self.status_line_code or self.partial_status_line)

    @property
    def body(self) -> bytes:
        """The body so far."""
        return b"".join(self.body_parts)

    def feed(self, data: bytes) -> None:
        """Take in received bytes.

        Raises:
            MalformedResponseError: The response is malformed or too large.
        """
        self.any_bytes_received = True
        if self.complete:  # More than was asked for.
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
        # A second response or noise behind a good one: the response holds, but the
        # connection cannot be used again.
        if self.has_extra_response:
            self.keep_alive = False
        self.raw_bytes += len(data)
        if not self.complete and self.raw_bytes > self._raw_limit_bytes():
            raise MalformedResponseError("the answer is too large")

    def _raw_limit_bytes(self) -> int:
        """Return how many raw bytes may have come by now.

        The parser reports a header only once it is complete: a header without end shows
        in the raw bytes alone.
        """
        if self.in_headers:
            return MAX_HEADER_BYTES
        return MAX_HEADER_BYTES + RAW_BODY_FACTOR * self.max_body_bytes

    def read_status_line(self, data: bytes) -> bytes:
        """Find the final response's status, and return what the parser is to read.

        Interim responses (1xx, also a 101) have no body and are left out. Returns no
        bytes while the status is not known.

        Raises:
            MalformedResponseError: The input is no response, or its start is too long.
        """
        data = self.partial_status_line + data
        self.partial_status_line = b""
        while True:
            match = STATUS_LINE.match(data)
            if match is None:
                if len(data) < STATUS_PREFIX_BYTES and b"\n" not in data:
                    self.partial_status_line = data
                    return b""
                raise MalformedResponseError("no status line")
            if not match[1].startswith(b"1"):
                return self._take_status(int(match[1]), data)
            end = data.find(HEADER_END)
            self._limit_skipped_bytes(end if end >= 0 else len(data))
            if end < 0:
                self.partial_status_line = data
                return b""
            end += len(HEADER_END)
            self.skipped_bytes += end
            data = data[end:]

    def _take_status(self, status: int, data: bytes) -> bytes:
        """Set the status once the first line is complete: cut off, it promises nothing."""
        if b"\n" in data:
            self.status_line_code = status
            return data
        if len(data) > MAX_HEADER_BYTES:
            raise MalformedResponseError("the first line is too long")
        self.partial_status_line = data
        return b""

    def _limit_skipped_bytes(self, further_bytes: int) -> None:
        if self.skipped_bytes + further_bytes > MAX_HEADER_BYTES:
            raise MalformedResponseError("too much ahead of the answer")

    def on_eof(self) -> None:
        """Note the connection's end, which completes a response without a length."""
        if (
            self.any_bytes_received
            and not self.in_headers
            and not self.complete
            and not ({"content-length", "transfer-encoding"} & self.headers.keys())
        ):
            self.complete = True
            self.keep_alive = False

    # Called by the parser

    def on_message_begin(self) -> None:
        """Start a response."""
        self.has_extra_response = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if self.complete:
            return
        self.counted_bytes += len(name) + len(value)
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Read the status, and refuse a body that is announced too large."""
        if self.complete:
            return
        assert self.parser is not None
        self.in_headers = False
        self.status = self.parser.get_status_code()
        length = self.headers.get("content-length", "")
        if length.isdigit() and int(length) > self.max_body_bytes:
            self.too_large = True
            raise MalformedResponseError("the answer is too large")

    def on_body(self, body: bytes) -> None:
        """Add a piece of the body."""
        if self.complete:
            return
        self.counted_bytes += len(body)
        if self.counted_bytes > self.max_body_bytes + MAX_HEADER_BYTES:
            self.too_large = True
            raise MalformedResponseError("the answer is too large")
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Complete the response."""
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
    """Return a request's bytes; every method but GET announces its body's length."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether a transport's socket holds what the event loop has not read yet.

    That may be bytes, an end or a reset.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
