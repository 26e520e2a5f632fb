"""A client's HTTP request, and the error that rejects one."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from rainfall.errors import RainfallError


class BadRequestError(RainfallError):
    """The request is malformed or too large, and is rejected with an HTTP status."""

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status = status
        """Status of the error response."""
        self.text = text
        """Body of the error response; this text reaches the client."""


@dataclass(slots=True)
class Request:
    """One HTTP request, complete or still being received."""

    received_at_us: int
    """Earliest time at which its first bytes can have arrived."""
    method: str = ""
    path: str = ""
    """Request target, with its query string."""
    keep_alive: bool = True
    """Whether the client allows the connection to stay open after the response."""
    headers: dict[str, str] = field(default_factory=dict)
    """Header values by lower-case header name."""
    body: bytearray = field(default_factory=bytearray)
    error: BadRequestError | None = None
    """Why the request is rejected, None if it is valid. It is rejected when its turn to
    be answered comes; the requests after it are still read.
    """
    header_bytes: int = 0
    """Bytes of the path, header names and header values received so far."""
