"""Network of a model: messages may be reordered, lost or duplicated."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Network:
    """A multiset of messages in transit; any of them may arrive next, with any delay."""

    in_transit: tuple[Hashable, ...] = ()
    max_in_transit: int = 4
    """Bounds the search: a message sent at this limit is lost."""
    losses_left: int = 0
    """Number of messages that may still be lost."""
    duplicates_left: int = 0
    """Number of messages that may still arrive twice."""

    def send(self, message: Hashable) -> Network:
        """Return the network with one more message; messages are sorted by their `repr`."""
        if len(self.in_transit) >= self.max_in_transit:
            return self
        return replace(
            self, in_transit=tuple(sorted((*self.in_transit, message), key=repr))
        )

    def arrivals(self) -> Iterator[tuple[Hashable, Network]]:
        """Yield each message that may arrive now, and the network afterwards."""
        for message, rest in self._distinct_messages():
            yield message, replace(self, in_transit=rest)
            if self.duplicates_left:
                duplicates_left = self.duplicates_left - 1
                yield message, replace(self, duplicates_left=duplicates_left)

    def lost(self) -> Iterator[tuple[Hashable, Network]]:
        """Yield each message that may be lost now, and the network afterwards."""
        if not self.losses_left:
            return
        losses_left = self.losses_left - 1
        for message, rest in self._distinct_messages():
            yield message, replace(self, in_transit=rest, losses_left=losses_left)

    def _distinct_messages(self) -> Iterator[tuple[Hashable, tuple[Hashable, ...]]]:
        # Equal messages are adjacent, as messages are sorted by their `repr`.
        for index, message in enumerate(self.in_transit):
            if index == 0 or self.in_transit[index - 1] != message:
                rest = self.in_transit[:index] + self.in_transit[index + 1 :]
                yield message, rest
