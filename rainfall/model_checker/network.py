"""Messages under way in a model: any may arrive next, be lost, or (where allowed)
arrive twice.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Network:
    """A bag of messages.

    Order does not count: whatever is under way may come next, however late.
    """

    in_transit: tuple[Hashable, ...] = ()
    max_in_transit: int = 4
    """Messages under way at most; a send past that is as good as lost (it bounds the
    search).
    """
    losses_left: int = 0
    """Messages that may still be lost."""
    duplicates_left: int = 0
    """Messages that may still arrive twice."""

    def send(self, message: Hashable) -> Network:
        if len(self.in_transit) >= self.max_in_transit:
            return self
        return replace(
            self, in_transit=tuple(sorted((*self.in_transit, message), key=repr))
        )

    def arrivals(self) -> Iterator[tuple[Hashable, Network]]:
        """Each message that may arrive now, and what is under way after it."""
        for message, rest in self._distinct_messages():
            yield message, replace(self, in_transit=rest)
            if self.duplicates_left:
                yield message, replace(self, duplicates_left=self.duplicates_left - 1)

    def lost(self) -> Iterator[tuple[Hashable, Network]]:
        """Each message that may be lost now."""
        if self.losses_left:
            for message, rest in self._distinct_messages():
                yield (
                    message,
                    replace(self, in_transit=rest, losses_left=self.losses_left - 1),
                )

    def _distinct_messages(self) -> Iterator[tuple[Hashable, tuple[Hashable, ...]]]:
        for n, message in enumerate(self.in_transit):
            if n == 0 or self.in_transit[n - 1] != message:
                yield message, self.in_transit[:n] + self.in_transit[n + 1 :]
