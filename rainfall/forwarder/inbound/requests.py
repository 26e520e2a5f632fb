"""One request of a client, and what is wrong with one that is refused."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from rainfall.errors import RainfallError


class BadRequestError(RainfallError):
    """A request that cannot be accepted as it is."""

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status = status
        """Status of its response."""
        self.text = text
        """Body of its response."""


@dataclass(slots=True)
class Request:
    """One HTTP request, complete or still being read."""

    received_at_us: int
    """When its first bytes came, at the earliest."""
    method: str = ""
    path: str = ""
    keep_alive: bool = True
    headers: dict[str, str] = field(default_factory=dict)
    """Values by header name, in lower case."""
    body: bytearray = field(default_factory=bytearray)
    error: BadRequestError | None = None
    """Why it is refused in its turn, where what follows it can still be read."""
    header_bytes: int = 0
    """Bytes of the path and of all headers so far."""
