"""Addresses as they stand in configurations and lists: `HOST:PORT`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from rainfall.wirehost import MalformedInputError


@dataclass(frozen=True, slots=True)
class Address:
    """Where a peer listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: Any) -> Address:
    """The address that `text` says. Raises Malformed."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise MalformedInputError(f"not an address: {text!r}")
    return Address(host, int(port))
