"""Finds live messages by their deadlines, and counts them by destination, without a
walk over all of them.
"""

from __future__ import annotations

from collections import Counter

from sortedcontainers import SortedDict  # type: ignore[import-untyped]

BUCKET_US = 100_000
"""Deadlines that fall into one span of so many microseconds stand together."""


class LiveIndex:
    """Live messages by deadline and by destination.

    A call takes time by what it adds, removes or returns.
    """

    def __init__(self) -> None:
        self.buckets: SortedDict = SortedDict()
        """The number of a span: the names in it, each with its deadline in
        microseconds.
        """
        self.by_destination: Counter[int] = Counter()
        """How many are live, for destinations that have any."""
        self.entries_visited = 0
        """Entries looked at in search of deadlines until now: what that work is
        measured by.
        """

    def add(self, name: str, destination: int, due_us: int) -> None:
        """A message lives from now on; it must not do so already."""
        self.buckets.setdefault(due_us // BUCKET_US, {})[name] = due_us
        self.by_destination[destination] += 1

    def remove(self, name: str, destination: int, due_us: int) -> None:
        """A message has ended; its deadline is given as it was when it was added or
        moved.
        """
        self._drop(name, due_us)
        self.by_destination[destination] -= 1
        if not self.by_destination[destination]:
            del self.by_destination[destination]

    def change_deadline(self, name: str, due_us: int, later_us: int) -> None:
        """The deadline of a live message is another one."""
        self._drop(name, due_us)
        self.buckets.setdefault(later_us // BUCKET_US, {})[name] = later_us

    def with_deadline_before(self, at_us: int) -> list[str]:
        """The live messages whose deadlines are before a time, the earliest spans
        first.
        """
        found: list[str] = []
        for span in self.buckets.irange(maximum=(at_us - 1) // BUCKET_US):
            names = self.buckets[span]
            self.entries_visited += len(names)
            found += [name for name, due_us in names.items() if due_us < at_us]
        return found

    def clear(self) -> None:
        self.buckets.clear()
        self.by_destination.clear()

    def _drop(self, name: str, due_us: int) -> None:
        span = due_us // BUCKET_US
        names = self.buckets.get(span)
        if names is not None and names.pop(name, None) is not None and not names:
            del self.buckets[span]
