"""The forwarder's quota of a destination: a number of calls in every sliding window.

Where one is in force it takes the place of the pace that is estimated from limits and
rejections. Times are integer microseconds.
"""

from __future__ import annotations

from collections import deque

from rainfall.dispatch.events import QuotaChanged
from rainfall.dispatch.times import NEVER

GRAINS = 1_024
"""Parts of a window. Calls of one grain count from its last one on, so that a count is
never too low and memory does not grow with the calls.
"""


class Quota:
    """The quota of one destination, and the calls that count against it."""

    __slots__ = (
        "calls",
        "calls_in_window",
        "counted_until",
        "entries",
        "expires_at",
        "reserve_calls",
        "window_us",
    )

    def __init__(self, window_us: int) -> None:
        self.calls = 0
        """In every window, until `expires_at`."""
        self.window_us = window_us
        self.expires_at = 0
        self.reserve_calls = 0
        """In every window from `expires_at` on."""
        self.calls_in_window = 0
        """Calls in the window that ends now."""
        self.entries: deque[tuple[int, int, int]] = deque()
        """(first, last, calls) of each grain, oldest first."""
        self.counted_until = -NEVER
        """Calls up to then were forgotten: a longer window has to pass from there."""

    def expire_entries(self, now: int) -> None:
        """Forget the calls that left the window."""
        while self.entries and self.entries[0][1] <= now - self.window_us:
            _, last, calls = self.entries.popleft()
            self.calls_in_window -= calls
            self.counted_until = max(self.counted_until, last)

    def record_call(self, now: int) -> None:
        """One call is sent now."""
        self.calls_in_window += 1
        grain_us = self.window_us // GRAINS
        if self.entries and now - self.entries[-1][0] < grain_us:
            first, _, calls = self.entries.pop()
            self.entries.append((first, now, calls + 1))
        else:
            self.entries.append((now, now, 1))

    def available_at(self, now: int) -> int:
        """When the next call may be sent; NEVER where no calls are left at all."""
        self.expire_entries(now)
        if self.calls > 0 and now < self.expires_at:
            at = self._free_at(now, self.calls)
            if at < self.expires_at:
                return at
        if self.reserve_calls > 0:
            return self._free_at(max(now, self.expires_at), self.reserve_calls)
        return NEVER

    def _free_at(self, now: int, limit: int) -> int:
        """When one more call makes at most `limit` (above 0) in a window."""
        at = max(now, self.counted_until + self.window_us)
        excess = self.calls_in_window + 1 - limit
        for _, last, calls in self.entries:
            if excess <= 0:
                break
            excess -= calls
            at = max(at, last + self.window_us)
        return at

    def change(self, now: int, event: QuotaChanged) -> None:
        """Other numbers hold. What was sent under the former ones still counts."""
        self.expire_entries(now)  # by the window until now
        self.calls, self.window_us = event.calls, event.window_us
        self.expires_at = event.expires_at_us
        self.reserve_calls = event.reserve_calls
        if event.used:
            self.calls_in_window += sum(calls for _, calls in event.used)
            self.entries.extend((at, at, calls) for at, calls in event.used)
            self.entries = deque(sorted(self.entries, key=lambda entry: entry[1]))


def change_quota(quotas: dict[int, Quota], now: int, event: QuotaChanged) -> None:
    """Put a quota in force, or end it where its window is 0."""
    if event.window_us <= 0:
        quotas.pop(event.destination, None)
        return
    quota = quotas.setdefault(event.destination, Quota(event.window_us))
    quota.change(now, event)
