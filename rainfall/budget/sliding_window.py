"""Sliding window count of the calls of one process.

Calls are stored one by one while they are few, then in groups that count for slightly
too long, never too short.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

EXACT_ENTRIES = 1_024
"""Entries of single calls before further calls are grouped."""
GRAINS_PER_WINDOW = 1_024
"""Groups in a window: a grouped call counts for at most `length_us` / this too long."""

WindowEntry = tuple[int, int, int]
"""(first_us, latest_us, calls): calls made between two moments.

A plain tuple: one is made for each call.
"""


@dataclass(slots=True)
class SlidingWindow:
    """Calls counted in the last `length_us`.

    Memory: at most `EXACT_ENTRIES` + `GRAINS_PER_WINDOW` + 2 entries.

    Error: beyond `EXACT_ENTRIES`, calls within `length_us` / `GRAINS_PER_WINDOW` of each
    other count as made at the time of the latest. A call counts too long by at most that
    time, and never too short.
    """

    length_us: int
    unknown_until_us: int
    """Calls up to this time are unknown, so it must be outside the window to spend.

    They were made before the start or have been dropped.
    """
    call_count: int = 0
    entries: deque[WindowEntry] = field(default_factory=deque)
    """Oldest first."""

    def drop_expired(self, now_us: int) -> None:
        """Drop the calls that are no longer in the window."""
        edge_us = now_us - self.length_us
        while self.entries and self.entries[0][1] <= edge_us:
            _, latest_us, calls = self.entries.popleft()
            self.call_count -= calls
            # A longer window would include the dropped calls, so a spend has to wait for it.
            self.unknown_until_us = max(self.unknown_until_us, latest_us)

    def add(self, now_us: int, calls: int) -> None:
        """Count calls made now."""
        self.call_count += calls
        if len(self.entries) >= EXACT_ENTRIES:
            first_us, _, before = self.entries[-1]
            if now_us - first_us < self.length_us // GRAINS_PER_WINDOW:
                self.entries[-1] = (first_us, now_us, before + calls)
                return
        self.entries.append((now_us, now_us, calls))

    def available_at(self, now_us: int, calls: int, limit: int) -> int:
        """The earliest time at which `calls` more calls keep within `limit`.

        `limit` must be at least `calls`.
        """
        at_us = max(now_us, self.unknown_until_us + self.length_us)
        excess = self.call_count + calls - limit
        for _, latest_us, count in self.entries:
            if excess <= 0:
                break
            excess -= count
            at_us = max(at_us, latest_us + self.length_us)
        return at_us
