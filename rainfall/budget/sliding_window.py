"""What one process spent in the running span.

Calls are counted one by one while they are few, then in groups whose error is on the
safe side.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

EXACT_ENTRIES = 1_024
"""Entries kept for single calls before calls are grouped."""
GRAINS_PER_WINDOW = 1_024
"""Groups in a window: a call counts for longer by this part of the window at most."""

WindowEntry = tuple[int, int, int]
"""(first_us, latest_us, calls): calls made between two moments.

A plain tuple: one is made for each call.
"""


@dataclass(slots=True)
class SlidingWindow:
    """Calls counted in the last `length_us`.

    Memory: at most `EXACT_ENTRIES` + `GRAINS_PER_WINDOW` + 2 entries.

    Error: past `EXACT_ENTRIES`, calls within `length_us` / `GRAINS_PER_WINDOW` of each
    other count as made at the latest of them. So a call counts for too long by that at
    most, and never for too short.
    """

    length_us: int
    unknown_until_us: int
    """Calls up to this moment are not known: none of it may be in the window.

    They were made before the start, or are forgotten.
    """
    call_count: int = 0
    entries: deque[WindowEntry] = field(default_factory=deque)
    """Oldest first."""

    def drop_expired(self, now_us: int) -> None:
        """Forget the calls that are no longer in the window."""
        edge_us = now_us - self.length_us
        while self.entries and self.entries[0][1] <= edge_us:
            _, latest_us, calls = self.entries.popleft()
            self.call_count -= calls
            # A window that grows would include them again: it has to be waited out.
            self.unknown_until_us = max(self.unknown_until_us, latest_us)

    def add(self, now_us: int, calls: int) -> None:
        """Count calls that are made now."""
        self.call_count += calls
        if len(self.entries) >= EXACT_ENTRIES:
            first_us, _, before = self.entries[-1]
            if now_us - first_us < self.length_us // GRAINS_PER_WINDOW:
                self.entries[-1] = (first_us, now_us, before + calls)
                return
        self.entries.append((now_us, now_us, calls))

    def available_at(self, now_us: int, calls: int, limit: int) -> int:
        """The first moment at which `calls` more make `limit` at most.

        `limit` is not less than `calls`.
        """
        at_us = max(now_us, self.unknown_until_us + self.length_us)
        excess = self.call_count + calls - limit
        for _, latest_us, count in self.entries:
            if excess <= 0:
                break
            excess -= count
            at_us = max(at_us, latest_us + self.length_us)
        return at_us
