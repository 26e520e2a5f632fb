"""Fencing tokens: of two tokens for one name, the higher was granted later."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

TOKEN_PART_LIMIT = 1 << 53
"""Exclusive limit of both numbers: every JSON parser represents them exactly."""
TOKEN_PARTS = 2


@dataclass(frozen=True, slots=True, order=True)
class Token:
    """A fencing token; each grant for a name has a higher token than the one before.

    `epoch` identifies a history of the lease service's folder, `number` counts the
    records within a history.
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
            ValueError: `raw` is not a list of two integers from 0 below 2**53.
        """
        if (
            not isinstance(raw, list)
            or len(raw) != TOKEN_PARTS
            or not all(
                type(part) is int and 0 <= part < TOKEN_PART_LIMIT for part in raw
            )
        ):
            raise ValueError(
                "a token must be [epoch, number], whole numbers from 0 below 2**53"
            )
        return Token(*raw)


ZERO_TOKEN = Token(0, 0)
"""Lower than every granted token."""
