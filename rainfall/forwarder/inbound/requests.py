"""A client's HTTP request, and the error that rejects one."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from rainfall.errors import RainfallError

REQUEST_BYTES = 700
"""Memory of a request without its path, headers and body."""
HEADER_BYTES = 64
"""Memory of a header beside its value; the names are shared."""


class BadRequestError(RainfallError):
    """The request is malformed or too large, and is rejected with an HTTP status."""

    def __init__(
        self, status: HTTPStatus, text: str, retry_after_s: str | None = None
    ) -> None:
        super().__init__(text)
        self.status = status
        """Status of the error response."""
        self.text = text
        """Body of the error response; this text reaches the client."""
        self.retry_after_s = retry_after_s
        """Value of the response's Retry-After in seconds; None for no such header."""

    def response_headers(self) -> dict[str, str]:
        """Return the additional headers of the error response."""
        if self.retry_after_s is None:
            return {}
        return {"Retry_After": self.retry_after_s}


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
    """Values of the headers that the forwarder reads, by lower-case header name."""
    body: bytearray = field(default_factory=bytearray)
    error: BadRequestError | None = None
    """Why the request is rejected, None if it is valid. It is rejected when its turn to
    be answered comes; the requests after it are still read.
    """
    header_bytes: int = 0
    """Size of the head received so far, as limited by `MAX_HEADER_BYTES`."""

    def held_bytes(self) -> int:
        """Return an estimate of the memory that the request occupies."""
        headers = self.headers
        return (
            REQUEST_BYTES
            + len(self.path)
            + HEADER_BYTES * len(headers)
            + sum(map(len, headers.values()))
            + self.body.__sizeof__()
        )

    def reject(self, error: BadRequestError) -> None:
        """Set the error that the request is answered with, and drop its content."""
        self.error = error
        self.discard_content()

    def discard_content(self) -> None:
        """Drop the headers and the body, which nothing reads any more."""
        self.path = ""
        self.headers = {}
        self.body = bytearray()
