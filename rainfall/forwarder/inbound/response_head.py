"""Encodes the head of a response to a client."""

from __future__ import annotations

from http import HTTPStatus


def encode_response_head(
    status: HTTPStatus, headers: dict[str, str], body_bytes: int, keep_open: bool
) -> bytes:
    """Return the encoded status line and headers.

    Args:
        status: Status of the response.
        headers: Additional headers; underscores in their names stand for hyphens.
        body_bytes: Size of the body.
        keep_open: Whether the connection stays open after the response.
    """
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        f"Content-Length: {body_bytes}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    if body_bytes:
        lines.append("Content-Type: text/plain; charset=utf-8")
    if not keep_open:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
