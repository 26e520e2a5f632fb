"""An index of live messages by deadline and by destination."""

from __future__ import annotations

from collections import Counter

from sortedcontainers import SortedDict  # type: ignore[import-untyped]

BUCKET_US = 100_000
"""Length of the deadline interval that one bucket covers."""


class LiveIndex:
    """Indexes live messages by deadline and by destination.

    The cost of a method grows with the entries that it adds, removes or returns, not
    with the number of live messages.
    """

    def __init__(self) -> None:
        self.buckets: SortedDict = SortedDict()
        """By bucket number: message ids and their deadlines in microseconds."""
        self.by_destination: Counter[int] = Counter()
        """Number of live messages of each destination that has any."""
        self.entries_visited = 0
        """Total entries that searches have visited: a measure of their cost."""

    def add(self, message_id: str, destination: int, deadline_us: int) -> None:
        """Add a message that is not in the index; the deadline is in microseconds."""
        self.buckets.setdefault(deadline_us // BUCKET_US, {})[message_id] = deadline_us
        self.by_destination[destination] += 1

    def remove(self, message_id: str, destination: int, deadline_us: int) -> None:
        """Remove a message; the deadline must be the one in the index."""
        self._remove_from_bucket(message_id, deadline_us)
        self.by_destination[destination] -= 1
        if not self.by_destination[destination]:
            del self.by_destination[destination]

    def change_deadline(
        self, message_id: str, deadline_us: int, new_deadline_us: int
    ) -> None:
        """Replace the deadline of a message."""
        self._remove_from_bucket(message_id, deadline_us)
        self.buckets.setdefault(new_deadline_us // BUCKET_US, {})[message_id] = (
            new_deadline_us
        )

    def with_deadline_before(self, time_us: int) -> list[str]:
        """Return the ids of messages whose deadlines are before a time.

        Ids are ordered by bucket, and within a bucket by insertion.
        """
        found: list[str] = []
        for bucket_number in self.buckets.irange(maximum=(time_us - 1) // BUCKET_US):
            bucket = self.buckets[bucket_number]
            self.entries_visited += len(bucket)
            found += [
                message_id
                for message_id, deadline_us in bucket.items()
                if deadline_us < time_us
            ]
        return found

    def clear(self) -> None:
        """Remove all messages."""
        self.buckets.clear()
        self.by_destination.clear()

    def _remove_from_bucket(self, message_id: str, deadline_us: int) -> None:
        bucket_number = deadline_us // BUCKET_US
        bucket = self.buckets.get(bucket_number)
        if bucket is None:
            return
        removed = bucket.pop(message_id, None)
        if removed is not None and not bucket:
            del self.buckets[bucket_number]
