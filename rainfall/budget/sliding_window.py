"""What one process spent in the running span: exact while few, then in grains that err
on the safe side.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

EXACT_ENTRIES = 1_024  # single stamps kept before they are gathered into grains
GRAINS_PER_WINDOW = (
    1_024  # grains in a window: a call counts so much of the window too long at most
)


@dataclass(slots=True)
class SlidingWindow:
    """Calls counted in the last `us`.

    Memory: at most EXACT + GRAINS + 2 entries, whatever is spent.

    Error: once EXACT entries are inside, calls within us/GRAINS of each other count as
    made at the latest of them. So a call counts at most us/GRAINS too long, and never
    too short.
    """

    length_us: int
    unknown_until_us: int
    """Calls up to this moment are not known (before the start, or forgotten): none may
    be in the window.
    """
    call_count: int = 0
    entries: deque[tuple[int, int, int]] = field(default_factory=deque)
    """(first, latest, calls), oldest first."""

    def drop_expired(self, now_us: int) -> None:
        edge = now_us - self.length_us
        while self.entries and self.entries[0][1] <= edge:
            _, latest, calls = self.entries.popleft()
            self.call_count -= calls
            # If the window becomes longer these would count again: then it has to be
            # waited out.
            self.unknown_until_us = max(self.unknown_until_us, latest)

    def add(self, now_us: int, calls: int) -> None:
        self.call_count += calls
        if len(self.entries) >= EXACT_ENTRIES:
            first, _, before = self.entries[-1]
            if now_us - first < self.length_us // GRAINS_PER_WINDOW:
                self.entries[-1] = (first, now_us, before + calls)
                return
        self.entries.append((now_us, now_us, calls))

    def available_at(self, now_us: int, calls: int, limit: int) -> int:
        """The first moment from which `calls` more make at most `most` (not less than
        `calls`).
        """
        at = max(now_us, self.unknown_until_us + self.length_us)
        over = self.call_count + calls - limit
        for _, latest, count in self.entries:
            if over <= 0:
                break
            over -= count
            at = max(at, latest + self.length_us)
        return at
