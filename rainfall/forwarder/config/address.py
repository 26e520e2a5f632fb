"""Network addresses as configurations and endpoint lists write them: `HOST:PORT`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from rainfall.wirehost import MalformedInputError

PORT_LIMIT = 1 << 16
"""Every port is below this."""


@dataclass(frozen=True, slots=True)
class Address:
    """The host and port at which a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: Any) -> Address:
    """Parse `HOST:PORT`.

    Raises:
        MalformedInputError: The text is not an address.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise MalformedInputError(f"not an address: {text!r}")
    return Address(host, int(port))
