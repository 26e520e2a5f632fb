"""Messages under way in a model: any may arrive next, be lost, or (where allowed)
arrive twice.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Net:
    """A bag of messages. Order does not count: whatever is under way may come next,
    however late.
    """

    bag: tuple[Hashable, ...] = ()
    most: int = 4
    """Messages under way at most; a send past that is as good as lost (it bounds the
    search).
    """
    losses: int = 0
    """Messages that may still be lost."""
    copies: int = 0
    """Messages that may still arrive twice."""

    def send(self, message: Hashable) -> Net:
        if len(self.bag) >= self.most:
            return self
        return replace(self, bag=tuple(sorted((*self.bag, message), key=repr)))

    def arrivals(self) -> Iterator[tuple[Hashable, Net]]:
        """Each message that may arrive now, and what is under way after it."""
        for message, rest in self._each():
            yield message, replace(self, bag=rest)
            if self.copies:
                yield message, replace(self, copies=self.copies - 1)

    def lost(self) -> Iterator[tuple[Hashable, Net]]:
        """Each message that may be lost now."""
        if self.losses:
            for message, rest in self._each():
                yield message, replace(self, bag=rest, losses=self.losses - 1)

    def _each(self) -> Iterator[tuple[Hashable, tuple[Hashable, ...]]]:
        for n, message in enumerate(self.bag):
            if n == 0 or self.bag[n - 1] != message:
                yield message, self.bag[:n] + self.bag[n + 1 :]
