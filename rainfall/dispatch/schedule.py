"""Heaps of times at which objects must be processed."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush


@dataclass(slots=True)
class TimerHeap:
    """A heap of (time, name), earliest first. A name may occur several times."""

    entries: list[tuple[int, str]] = field(default_factory=list)

    def add(self, due_at: int, name: str) -> None:
        """Add a name with the time at which it is due."""
        heappush(self.entries, (due_at, name))

    def pop_due(self, now: int) -> list[str]:
        """Remove and return the names that are due."""
        due: list[str] = []
        while self.entries and self.entries[0][0] <= now:
            due.append(heappop(self.entries)[1])
        return due


@dataclass(slots=True)
class WakeupSchedule:
    """A heap of (time, destination) with the earliest time of each destination."""

    entries: list[tuple[int, int]] = field(default_factory=list)
    earliest: dict[int, int] = field(default_factory=dict)
    """Time of the earliest entry by destination; later entries are left in the heap and
    may return the destination once more.
    """

    def add(self, due_at: int, destination: int) -> None:
        """Schedule a destination, unless it is already due by the given time."""
        if destination not in self.earliest or due_at < self.earliest[destination]:
            self.earliest[destination] = due_at
            heappush(self.entries, (due_at, destination))

    def pop_due(self, now: int) -> set[int]:
        """Remove and return the destinations that are due."""
        due: set[int] = set()
        while self.entries and self.entries[0][0] <= now:
            _, destination = heappop(self.entries)
            self.earliest.pop(destination, None)
            due.add(destination)
        return due
