"""HTTP/1.1 client side: encodes requests, and reads responses with httptools.

The peer is not trusted: all bytes count against a limit, including those of an endless
header. A malformed response is reported as malformed whatever its status line says.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from http import HTTPStatus

import httptools

from rainfall.errors import RainfallError

MAX_HEADER_BYTES = 16 * 1024
"""Maximum size of a request's or response's headers."""
MAX_BODY_BYTES = 64 * 1024
"""Maximum size of a request's or response's body, other than an endpoint list."""
MAX_LIST_BYTES = 32 * 1024 * 1024
"""Maximum size of an endpoint list. One of 44,000 endpoints has 7 to 8.3 MB, or 10 to
12 MB if it is indented.
"""
RAW_BODY_FACTOR = 8
"""Maximum raw size of a body as a multiple of its decoded size: chunks may be small."""
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})[ \r\n]")
STATUS_LINE_CONTROLS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Bytes that no status line holds; a tab is allowed."""
STATUS_PREFIX_BYTES = 13
"""Number of bytes of a status line that suffice to match STATUS_LINE."""
RETRY_AFTER_HEADER = "x-ratelimit-wait-ms"
"""Retry-After in milliseconds."""
OVER_SLOTS_HEADER = "x-over-slots"
"""Sent with a 503 where the endpoint had no free slot and did not start the call."""
LOAD_HEADER = "x-backend-load"
"""The load report: `name=number` fields, separated by commas."""
KEPT_RESPONSE_HEADERS = {
    name.encode(): name
    for name in (
        "content-length",
        "transfer-encoding",
        RETRY_AFTER_HEADER,
        OVER_SLOTS_HEADER,
        LOAD_HEADER,
    )
}
"""Response headers that the forwarder reads, by their bytes in lower case. Others are
dropped: a head of many short fields takes far more memory than its bytes.
"""
HEADER_END = b"\r\n\r\n"
REUSE_PAUSE_US = 10_000
"""A connection carries no request for this time after a response, so that input that
follows the response is received before the next request is written.
"""
Headers = dict[str, str]


class MalformedResponseError(RainfallError):
    """The response is not valid HTTP, too large, or invalid for the request."""


class ResponseReader:
    """Reads the responses on a connection, one at a time.

    `status_line_code` is set as soon as the status line is complete, while the rest may
    still turn out to be malformed. `status` is valid once the response is `complete`.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Create a reader.

        Args:
            max_body_bytes: Maximum size of a response's body.
        """
        self.max_body_bytes = max_body_bytes
        self.reset()

    def reset(self) -> None:
        """Prepare for the next response."""
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(
            self
        )
        self.status = 0
        """Status of the response; 0 until its headers are complete."""
        self.status_line_code = 0
        """Status in the status line; 0 until that line is complete."""
        self.complete = False
        """The response is complete and valid."""
        self.keep_alive = False
        """The connection can be reused; valid once the response is complete."""
        self.headers: Headers = {}
        """Values of KEPT_RESPONSE_HEADERS by lower-case header name."""
        self.decoded_bytes = 0
        """Decoded bytes: header names, header values and the body."""
        self.raw_bytes = 0
        """Received bytes, without those of interim responses."""
        self.skipped_bytes = 0
        """Bytes of interim responses (1xx), which are discarded."""
        self.in_headers = True
        """The headers are not complete yet."""
        self.has_surplus = False
        """Further input follows the response, although there was one request."""
        self.any_bytes_received = False
        """Some input was received, even if only of an interim response."""
        self.too_large = False
        """The parser was stopped because the body is too large."""
        self.partial_status_line = b""
        """Unparsed input, while the final response's status line is incomplete."""
        self.body_parts: list[bytes] = []

    def release_parser(self) -> None:
        """Release the parser when the connection is closed.

        The parser refers back to this object: clearing it breaks the reference cycle,
        so that the object is freed without the garbage collector.
        """
        self.parser = None

    @property
    def response_started(self) -> bool:
        """Whether a part of the final response, after any 1xx ones, was received."""
        return bool(self.status_line_code or self.partial_status_line)

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return b"".join(self.body_parts)

    def feed(self, data: bytes) -> None:
        """Process received bytes.

        Raises:
            MalformedResponseError: The response is malformed or too large.
        """
        self.any_bytes_received = True
        if self.complete:
            self.has_surplus = True
            self.keep_alive = False
            return
        if not self.status_line_code:
            data = self.read_status_line(data)
            if not data:
                return
        try:
            self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise MalformedResponseError(
                    f"response too large, limit is {self.max_body_bytes} body bytes"
                    if self.too_large
                    else str(error)
                ) from None
            self.keep_alive = False
        # The response is valid, but the connection cannot be reused.
        if self.has_surplus:
            self.keep_alive = False
        self.raw_bytes += len(data)
        if not self.complete and self.raw_bytes > self._max_raw_bytes():
            raise MalformedResponseError(
                f"incomplete response exceeds {self._max_raw_bytes()} raw bytes"
            )

    def _parse(self, data: bytes) -> None:
        """Feed the parser, and note whether input follows the response.

        The parser skips blank lines after a response without a sign. But it completes a
        response with its last byte, so if that is not the input's last one, more follows.
        """
        assert self.parser is not None
        if len(data) > 1:
            try:
                self.parser.feed_data(data[:-1])
            finally:
                self.has_surplus = self.complete
        if not self.complete:
            self.parser.feed_data(data[-1:])

    def _max_raw_bytes(self) -> int:
        """Return the current limit of `raw_bytes`.

        The parser reports a header only once it is complete, so an endless header
        counts only in the raw bytes.
        """
        if self.in_headers:
            return MAX_HEADER_BYTES
        return MAX_HEADER_BYTES + RAW_BODY_FACTOR * self.max_body_bytes

    def read_status_line(self, data: bytes) -> bytes:
        """Parse the final response's status line, and skip interim responses before it.

        Interim responses (1xx, including 101) have no body.

        Args:
            data: The received bytes.

        Returns:
            The input of the parser; empty while the status line is incomplete.

        Raises:
            MalformedResponseError: The input is not a response, or its status line or
                the interim responses are too long.
        """
        data = self.partial_status_line + data
        self.partial_status_line = b""
        while True:
            match = STATUS_LINE.match(data)
            if match is None:
                if len(data) < STATUS_PREFIX_BYTES and b"\n" not in data:
                    self.partial_status_line = data
                    return b""
                raise MalformedResponseError(
                    f"no valid status line: {data[:STATUS_PREFIX_BYTES]!r}"
                )
            if not match[1].startswith(b"1"):
                return self._set_status(int(match[1]), data)
            end = data.find(HEADER_END)
            self._check_skipped_bytes(end if end >= 0 else len(data))
            if end < 0:
                self.partial_status_line = data
                return b""
            end += len(HEADER_END)
            self.skipped_bytes += end
            data = data[end:]

    def _set_status(self, status: int, data: bytes) -> bytes:
        """Set `status_line_code` once the status line is complete.

        A truncated status line must not count as a status, nor one with control
        characters (RFC 9112, 4); but one that says 200 does, whatever follows.
        """
        line, line_end, _ = data.partition(b"\n")
        if line_end:
            if STATUS_LINE_CONTROLS.search(line.removesuffix(b"\r")):
                self.status_line_code = status if status == HTTPStatus.OK else 0
                raise MalformedResponseError("control characters in the status line")
            self.status_line_code = status
            return data
        if len(data) > MAX_HEADER_BYTES:
            raise MalformedResponseError(
                f"status line exceeds {MAX_HEADER_BYTES} bytes"
            )
        self.partial_status_line = data
        return b""

    def _check_skipped_bytes(self, additional_bytes: int) -> None:
        if self.skipped_bytes + additional_bytes > MAX_HEADER_BYTES:
            raise MalformedResponseError(
                f"interim responses exceed {MAX_HEADER_BYTES} bytes"
            )

    def on_eof(self) -> None:
        """Handle the end of the stream, which completes a response without a length."""
        if (
            self.any_bytes_received
            and not self.in_headers
            and not self.complete
            and not ({"content-length", "transfer-encoding"} & self.headers.keys())
        ):
            self.complete = True
            self.keep_alive = False

    # Called by the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header if the forwarder reads it."""
        if self.complete:
            return
        self.decoded_bytes += len(name) + len(value)
        kept_name = KEPT_RESPONSE_HEADERS.get(name.lower())
        if kept_name is not None:
            self.headers[kept_name] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store the status, and reject a body whose Content-Length is too large."""
        if self.complete:
            return
        assert self.parser is not None
        self.in_headers = False
        self.status = self.parser.get_status_code()
        length = self.headers.get("content-length", "")
        if length.isdigit() and int(length) > self.max_body_bytes:
            self.too_large = True
            raise MalformedResponseError(
                f"Content-Length {length} exceeds {self.max_body_bytes} bytes"
            )

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self.complete:
            return
        self.decoded_bytes += len(body)
        if self.decoded_bytes > self.max_body_bytes + MAX_HEADER_BYTES:
            self.too_large = True
            raise MalformedResponseError(
                f"response exceeds {self.max_body_bytes + MAX_HEADER_BYTES} bytes"
            )
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
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
    """Return an encoded request, with a Content-Length unless the method is GET."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
