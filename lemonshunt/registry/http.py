"""Requests read within bounds (HTTP/1.1, RFC 9112), and answers written, for the list service."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import httptools

MOST_HEAD = 16 * 1024  # request line and headers
MOST_BODY = 1024 * 1024
IDLE_S = 75.0  # between requests on one connection
BODY_S = 10.0  # for the rest of a request once it began
REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    503: "Service Unavailable",
    507: "Insufficient Storage",
}


class Unreadable(Exception):
    """The request cannot be read; `status` is answered and the connection closed."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass
class Request:
    method: str = ""
    path: str = ""
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    keep_alive: bool = True


class _Parse:
    """httptools callbacks into one Request at a time."""

    def __init__(self) -> None:
        self.request, self.done, self.head = Request(), False, 0
        self.url = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head += len(name) + len(value)
        if self.head > MOST_HEAD:
            raise Unreadable(400, "headers past 16 KiB")
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        if len(self.request.body) + len(body) > MOST_BODY:
            raise Unreadable(413, "a body past 1 MiB")
        self.request.body += body

    def on_message_complete(self) -> None:
        self.done = True


async def read(reader: asyncio.StreamReader) -> Request | None:
    """The next request, None when the peer closed between requests or stayed idle past IDLE_S.
    Raises Unreadable."""
    parse = _Parse()
    parser = httptools.HttpRequestParser(parse)
    wait, seen = IDLE_S, 0
    while not parse.done:
        try:
            data = await asyncio.wait_for(reader.read(65536), wait)
        except TimeoutError:
            if seen:
                raise Unreadable(400, "the request stopped coming") from None
            return None
        if not data:
            if seen:
                raise Unreadable(400, "the request was cut off")
            return None
        seen += len(data)
        if seen > MOST_HEAD + MOST_BODY + 1024:
            raise Unreadable(413, "a request past 1 MiB")
        wait = BODY_S
        try:
            parser.feed_data(data)
        except Unreadable:
            raise
        except httptools.HttpParserError as error:
            inner = error.__context__
            if isinstance(inner, Unreadable):
                raise inner from None
            raise Unreadable(400, f"not HTTP/1.1: {error}") from None
    request = parse.request
    request.method = parser.get_method().decode()
    url = httptools.parse_url(parse.url)
    request.path = url.path.decode()
    request.query = _query(url.query.decode() if url.query else "")
    # Read from the headers: httptools tells keep-alive only until the message is complete.
    closing = request.headers.get("connection", "").lower()
    request.keep_alive = closing != "close" if parser.get_http_version() == "1.1" else closing == "keep-alive"
    return request


def _query(text: str) -> dict[str, str]:
    return dict(part.partition("=")[::2] for part in text.split("&") if part)


def answer(status: int, body: Any = None, **headers: str) -> bytes:
    """A whole HTTP/1.1 answer; a body that is not bytes is written as JSON."""
    data = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
    if status >= 400 and body is None:
        data = json.dumps({"error": REASONS.get(status, "")}).encode()
    kind = "application/json" if data else ""
    head = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
    head += [] if status == 204 else [f"Content-Length: {len(data)}"]  # RFC 9110 8.6
    head += [f"Content-Type: {kind}"] if kind else []
    head += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + data


def fault(status: int, faults: list[str], **headers: str) -> bytes:
    return answer(status, {"error": REASONS.get(status, ""), "faults": faults}, **headers)
