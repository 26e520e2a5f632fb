"""Parses the input of one client connection into HTTP/1.1 requests, with limits on each."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from rainfall.forwarder.http1 import (
    HEADER_END,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    RAW_BODY_FACTOR,
)
from rainfall.forwarder.inbound.requests import BadRequestError, Request

FIELD_OVERHEAD_BYTES = 32
"""Counted for each header field in addition to its name and value, as in the header list
size of RFC 9113, 6.5.2: a head of many short fields costs more than its bytes.
"""
HTTP_VERSIONS = ("1.0", "1.1")
"""Versions that are accepted; any other is rejected with 505."""
SINGLE_VALUE_HEADERS = frozenset(
    (
        "x-correlation-id",
        "x-time-left",
        "x-addressing",
        "idempotency-key",
        "x-session-key",
        "x-account",
        "x-repeat",
    )
)
"""Headers that must not be repeated: another HTTP parser may use another of the values,
and so a different message. The request is rejected, and later ones are still read.
"""
FRAMING_HEADERS = frozenset(("host", "transfer-encoding", "content-length"))
"""Headers that must not be repeated. After a repetition all further input of the
connection is discarded: another HTTP parser may read it as different requests.
"""
KEPT_HEADERS = {
    name.encode(): name for name in SINGLE_VALUE_HEADERS | FRAMING_HEADERS | {"expect"}
}
"""Headers that the forwarder reads, by their bytes in lower case. All others are checked
and dropped.
"""


class RequestReader:
    """Reads the requests of one connection; each complete one is passed on."""

    __slots__ = (
        "in_headers",
        "incomplete_request",
        "input_arrived_us",
        "missing_body_bytes",
        "on_request",
        "on_valid_headers",
        "parser",
        "raw_bytes",
        "request_count",
    )

    def __init__(
        self,
        on_request: Callable[[Request], None],
        on_headers: Callable[[Request], None],
    ) -> None:
        """Create a reader.

        Args:
            on_request: Called with each complete request.
            on_headers: Called with each request whose headers are complete and valid.
        """
        self.input_arrived_us = 0
        """Earliest time at which the input that is parsed can have arrived, in
        microseconds of the dispatcher's clock. Set by the user of the reader.
        """
        self.on_request = on_request
        self.on_valid_headers = on_headers
        self.parser: httptools.HttpRequestParser | None = None
        """Created when the first input arrives; None after `close`."""
        self.incomplete_request: Request | None = None
        """The request that is being received, None between two requests."""
        self.raw_bytes = 0
        """Bytes received since the last complete request."""
        self.in_headers = True
        """The headers of the request being received, or of the next one, are not
        complete yet. False while a body and its trailers are received.
        """
        self.missing_body_bytes = 0
        """Bytes of the body that are still to come, if its length is known."""
        self.request_count = 0
        """Number of complete requests so far."""

    def feed(self, data: bytes, start: int) -> int:
        """Parse input up to the possible end of a request.

        Args:
            data: Input of the connection.
            start: Index of the first byte that is not parsed yet.

        Returns:
            The index after the last byte parsed.

        Raises:
            BadRequestError: The input is not valid HTTP, or a request is too large.
        """
        if self.parser is None:
            self.parser = httptools.HttpRequestParser(self)
        end = self._parsable_end(data, start)
        request_count = self.request_count
        self.raw_bytes += end - start
        try:
            self.parser.feed_data(memoryview(data)[start:end])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Where a callback raised a BadRequestError, the parser's error has it as its
            # context.
            if isinstance(error.__context__, BadRequestError):
                raise error.__context__ from None
            raise BadRequestError(
                HTTPStatus.BAD_REQUEST, "not a readable request"
            ) from None
        if self.request_count != request_count:
            self.raw_bytes = 0
        else:
            self._check_raw_bytes()
        return end

    def _parsable_end(self, data: bytes, start: int) -> int:
        """Return the index at which the next request may be complete.

        A request ends with its head, with a body of known length, or with the blank
        line after its chunks.
        """
        if self.missing_body_bytes:
            return min(len(data), start + self.missing_body_bytes)
        end = data.find(HEADER_END, start)
        return len(data) if end < 0 else end + len(HEADER_END)

    def close(self) -> None:
        """Drop the request being received, the parser and the callbacks.

        The parser refers to this object, and the callbacks to its user: clearing them
        breaks the reference cycles, so that all are freed without the garbage collector.
        """
        self.incomplete_request = None
        self.parser = None
        self.on_request = self.on_valid_headers = _ignore_request

    def _check_raw_bytes(self) -> None:
        """Reject an incomplete request with more raw bytes than any valid one has.

        The parser reports a header only once it is complete, so an endless header, or
        blank lines before a request, count only in the raw bytes. Small chunks make the
        raw bytes of a body a multiple of its size.
        """
        limit = MAX_HEADER_BYTES
        if not self.in_headers:
            limit += RAW_BODY_FACTOR * MAX_BODY_BYTES
        if self.raw_bytes > limit:
            raise _header_too_large()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Start a request when its first bytes are parsed."""
        self.incomplete_request = Request(self.input_arrived_us)
        self.in_headers = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the path."""
        request = self.incomplete_request
        if request is None:
            return
        request.header_bytes += len(url)
        if request.header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(
                HTTPStatus.REQUEST_URI_TOO_LONG, "the path is too long"
            )
        request.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check a header; keep it if the forwarder reads it.

        Trailers count against the size limit and are ignored.
        """
        request = self.incomplete_request
        if request is None:
            return
        request.header_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if request.header_bytes > MAX_HEADER_BYTES:
            raise _header_too_large()
        if not self.in_headers:
            return
        kept_name = KEPT_HEADERS.get(name.lower())
        if kept_name is not None:
            self._keep_header(request, kept_name, value)

    def _keep_header(self, request: Request, name: str, value: bytes) -> None:
        headers = request.headers
        if name in headers:
            repeated_header_error = BadRequestError(
                HTTPStatus.BAD_REQUEST, f"{name} is repeated"
            )
            if name in FRAMING_HEADERS:
                raise repeated_header_error
            if name in SINGLE_VALUE_HEADERS:
                request.error = repeated_header_error
        headers[name] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Check the framing of the body."""
        self.in_headers = False
        request = self.incomplete_request
        if request is None or self.parser is None:
            return
        self._check_framing(self.parser, request.headers)
        self.on_valid_headers(request)

    def _check_framing(
        self, parser: httptools.HttpRequestParser, headers: dict[str, str]
    ) -> None:
        """Reject a request whose end is ambiguous.

        Such a request may smuggle in a second one, which only another HTTP parser sees.
        httptools itself rejects Content-Length together with Transfer-Encoding, and a
        repeated or signed Content-Length; the other cases are rejected here.
        """
        version = parser.get_http_version()
        if version not in HTTP_VERSIONS:
            raise BadRequestError(
                HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
                "only HTTP/1.0 and HTTP/1.1 are supported",
            )
        transfer_encoding = headers.get("transfer-encoding")
        if transfer_encoding is not None and (
            transfer_encoding.lower() != "chunked"
            or "content-length" in headers
            or version == "1.0"
        ):
            raise BadRequestError(
                HTTPStatus.NOT_IMPLEMENTED, "this Transfer-Encoding is not supported"
            )
        if parser.should_upgrade():
            raise BadRequestError(
                HTTPStatus.NOT_IMPLEMENTED, "protocol upgrades are not supported"
            )
        length = headers.get("content-length", "0")
        if not length.isdigit():
            return
        if int(length) > MAX_BODY_BYTES:
            raise _body_too_large()
        self.missing_body_bytes = int(length)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        request = self.incomplete_request
        if request is None:
            return
        if len(request.body) + len(body) > MAX_BODY_BYTES:
            raise _body_too_large()
        self.missing_body_bytes = max(0, self.missing_body_bytes - len(body))
        request.body += body

    def on_message_complete(self) -> None:
        """Pass the complete request on."""
        request = self.incomplete_request
        self.incomplete_request = None
        self.request_count += 1
        self.in_headers = True
        self.missing_body_bytes = 0
        if request is not None and self.parser is not None:
            request.method = self.parser.get_method().decode("latin-1")
            request.keep_alive = self.parser.should_keep_alive()
            self.on_request(request)


def _ignore_request(request: Request) -> None:
    del request


def _header_too_large() -> BadRequestError:
    return BadRequestError(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large"
    )


def _body_too_large() -> BadRequestError:
    return BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
