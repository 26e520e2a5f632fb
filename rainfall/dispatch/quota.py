"""The forwarder's quota for a destination: a number of calls per sliding window.

A quota replaces the pace, which is estimated from rate limits and rejections. Times are
integer microseconds.
"""

from __future__ import annotations

from collections import deque

from rainfall.dispatch.events import QuotaChanged
from rainfall.dispatch.times import NEVER

WINDOW_BUCKETS = 1_024
"""Number of buckets per window, which bounds the memory used. The calls of a bucket
leave the window together with the last of them, so that the count is never too low.
"""


class Quota:
    """The quota of one destination and the calls that count against it."""

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
        """Calls allowed in every window until `expires_at`."""
        self.window_us = window_us
        self.expires_at = 0
        self.reserve_calls = 0
        """Calls allowed in every window from `expires_at` on."""
        self.calls_in_window = 0
        """Number of calls in `entries`."""
        self.entries: deque[tuple[int, int, int]] = deque()
        """(first call's time, last call's time, calls) of each bucket, oldest first."""
        self.counted_until = -NEVER
        """Time of the last call removed from `entries`. If the window becomes longer,
        that call counts again, and no call is permitted until it has left the window.
        """

    def expire_entries(self, now: int) -> None:
        """Remove the calls that have left the window."""
        while self.entries and self.entries[0][1] <= now - self.window_us:
            _, last, calls = self.entries.popleft()
            self.calls_in_window -= calls
            self.counted_until = max(self.counted_until, last)

    def record_call(self, now: int) -> None:
        """Count a call that is sent now."""
        self.calls_in_window += 1
        bucket_us = self.window_us // WINDOW_BUCKETS
        if self.entries and now - self.entries[-1][0] < bucket_us:
            first, _, calls = self.entries.pop()
            self.entries.append((first, now, calls + 1))
        else:
            self.entries.append((now, now, 1))

    def available_at(self, now: int) -> int:
        """Return when the next call may be sent; NEVER if the quota permits no more."""
        self.expire_entries(now)
        if self.calls > 0 and now < self.expires_at:
            free_at = self._free_at(now, self.calls)
            if free_at < self.expires_at:
                return free_at
        if self.reserve_calls > 0:
            return self._free_at(max(now, self.expires_at), self.reserve_calls)
        return NEVER

    def _free_at(self, now: int, limit: int) -> int:
        """Return when one more call stays within `limit` (above 0) in the window."""
        free_at = max(now, self.counted_until + self.window_us)
        excess = self.calls_in_window + 1 - limit
        for _, last, calls in self.entries:
            if excess <= 0:
                break
            excess -= calls
            free_at = max(free_at, last + self.window_us)
        return free_at

    def change(self, now: int, event: QuotaChanged) -> None:
        """Apply a change of the quota. Calls sent before it still count."""
        self.expire_entries(now)  # still with the previous window length
        self.calls, self.window_us = event.calls, event.window_us
        self.expires_at = event.expires_at_us
        self.reserve_calls = event.reserve_calls
        if event.used:
            self.calls_in_window += sum(calls for _, calls in event.used)
            self.entries.extend((at, at, calls) for at, calls in event.used)
            self.entries = deque(sorted(self.entries, key=lambda entry: entry[1]))


def change_quota(quotas: dict[int, Quota], now: int, event: QuotaChanged) -> None:
    """Add or change the quota of a destination, or remove it if the window is 0."""
    if event.window_us <= 0:
        quotas.pop(event.destination, None)
        return
    quota = quotas.setdefault(event.destination, Quota(event.window_us))
    quota.change(now, event)
