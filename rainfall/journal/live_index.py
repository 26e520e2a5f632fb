"""An index of live messages by deadline and by destination."""

from __future__ import annotations

from collections import Counter

from sortedcontainers import SortedDict  # type: ignore[import-untyped]

BUCKET_US = 100_000
"""Deadlines within one interval of this length share a bucket."""


class LiveIndex:
    """Live messages by deadline and by destination.

    A call's cost grows with what it adds, removes or returns, not with the number of
    live messages.
    """

    def __init__(self) -> None:
        self.buckets: SortedDict = SortedDict()
        """By the bucket's number: the messages in it, each with its deadline in
        microseconds.
        """
        self.by_destination: Counter[int] = Counter()
        """The number of live messages of each destination that has any."""
        self.entries_visited = 0
        """Entries that searches have looked at so far: a measure of their work."""

    def add(self, name: str, destination: int, due_us: int) -> None:
        """Add a message, which must not be in the index."""
        self.buckets.setdefault(due_us // BUCKET_US, {})[name] = due_us
        self.by_destination[destination] += 1

    def remove(self, name: str, destination: int, due_us: int) -> None:
        """Remove a message; the deadline is the one that it has in the index."""
        self._drop(name, due_us)
        self.by_destination[destination] -= 1
        if not self.by_destination[destination]:
            del self.by_destination[destination]

    def change_deadline(self, name: str, due_us: int, new_due_us: int) -> None:
        """Move a message from one deadline to another."""
        self._drop(name, due_us)
        self.buckets.setdefault(new_due_us // BUCKET_US, {})[name] = new_due_us

    def with_deadline_before(self, at_us: int) -> list[str]:
        """Return the messages whose deadlines are before a time.

        Those of earlier buckets come first; within one the order is that of adding.
        """
        found: list[str] = []
        for number in self.buckets.irange(maximum=(at_us - 1) // BUCKET_US):
            bucket = self.buckets[number]
            self.entries_visited += len(bucket)
            found += [name for name, due_us in bucket.items() if due_us < at_us]
        return found

    def clear(self) -> None:
        """Remove all messages."""
        self.buckets.clear()
        self.by_destination.clear()

    def _drop(self, name: str, due_us: int) -> None:
        number = due_us // BUCKET_US
        bucket = self.buckets.get(number)
        if bucket is None:
            return
        removed = bucket.pop(name, None)
        if removed is not None and not bucket:
            del self.buckets[number]
