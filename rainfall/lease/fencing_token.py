"""The fencing token: of two for one name, the higher is the later one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, order=True)
class Token:
    """`epoch` is the list service's history, `number` counts within it.

    For one name a token only grows.
    """

    epoch: int
    number: int

    def to_wire(self) -> list[int]:
        """As it stands on the wire: `[epoch, number]`."""
        return [self.epoch, self.number]

    @staticmethod
    def from_wire(raw: Any) -> Token:
        """From the wire; ValueError where it is no token."""
        if (
            not isinstance(raw, list)
            or len(raw) != 2
            or not all(type(n) is int and 0 <= n < 1 << 53 for n in raw)
        ):
            raise ValueError(
                "a token is [epoch, number], whole numbers from 0 below 2**53"
            )
        return Token(*raw)


ZERO_TOKEN = Token(0, 0)
"""Below every token that is granted."""
