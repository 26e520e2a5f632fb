"""The fencing token: of two for one name, the higher is the later one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

TOKEN_PART_LIMIT = 1 << 53
"""Both numbers stay below it: every JSON reader represents them exactly."""
TOKEN_PARTS = 2


@dataclass(frozen=True, slots=True, order=True)
class Token:
    """A fencing token; for one name it only grows.

    `epoch` tells the histories of the lease service apart, `number` counts within one.
    """

    epoch: int
    number: int

    def to_wire(self) -> list[int]:
        """The form on the wire and on disk: `[epoch, number]`."""
        return [self.epoch, self.number]

    @staticmethod
    def from_wire(raw: Any) -> Token:
        """Decode `[epoch, number]`.

        Raises:
            ValueError: `raw` is no token.
        """
        if (
            not isinstance(raw, list)
            or len(raw) != TOKEN_PARTS
            or not all(
                type(part) is int and 0 <= part < TOKEN_PART_LIMIT for part in raw
            )
        ):
            raise ValueError(
                "a token is [epoch, number], whole numbers from 0 below 2**53"
            )
        return Token(*raw)


ZERO_TOKEN = Token(0, 0)
"""Below every token that is granted."""
