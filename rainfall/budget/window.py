"""What one process spent in the running span: exact while few, then in grains that err
on the safe side.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

EXACT = 1_024  # single stamps kept before they are gathered into grains
GRAINS = (
    1_024  # grains in a window: a call counts so much of the window too long at most
)


@dataclass(slots=True)
class Window:
    """Calls counted in the last `us`. Memory: at most EXACT + GRAINS + 2 entries,
    whatever is spent.

    Error: once EXACT entries are inside, calls within us/GRAINS of each other count as
    made at the latest of them. So a call counts at most us/GRAINS too long, and never
    too short.
    """

    us: int
    known_us: int
    """Calls up to this moment are not known (before the start, or forgotten): none may
    be in the window.
    """
    inside: int = 0
    entries: deque[tuple[int, int, int]] = field(default_factory=deque)
    """(first, latest, calls), oldest first."""

    def forget(self, now_us: int) -> None:
        edge = now_us - self.us
        while self.entries and self.entries[0][1] <= edge:
            _, latest, calls = self.entries.popleft()
            self.inside -= calls
            # If the window becomes longer these would count again: then it has to be
            # waited out.
            self.known_us = max(self.known_us, latest)

    def add(self, now_us: int, calls: int) -> None:
        self.inside += calls
        if len(self.entries) >= EXACT:
            first, _, before = self.entries[-1]
            if now_us - first < self.us // GRAINS:
                self.entries[-1] = (first, now_us, before + calls)
                return
        self.entries.append((now_us, now_us, calls))

    def free_at(self, now_us: int, calls: int, most: int) -> int:
        """The first moment from which `calls` more make at most `most` (not less than
        `calls`).
        """
        at = max(now_us, self.known_us + self.us)
        over = self.inside + calls - most
        for _, latest, count in self.entries:
            if over <= 0:
                break
            over -= count
            at = max(at, latest + self.us)
        return at
