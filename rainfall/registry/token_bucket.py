"""A token bucket for rate limits with a burst."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Holds at most `burst` tokens, and gains one every `interval_us`.

    Times are microseconds of any monotonic clock.
    """

    burst: int
    interval_us: int
    used: int = 0
    refill_started_us: int = 0
    """Start of the interval at whose end the oldest used token is refilled."""

    def wait_us(self, now_us: int) -> int:
        """Return the time until a token is available; 0 if one is available now."""
        if self.used:
            elapsed_intervals = (now_us - self.refill_started_us) // self.interval_us
            refilled = min(self.used, elapsed_intervals)
            self.used -= refilled
            self.refill_started_us += refilled * self.interval_us
        if self.used < self.burst:
            return 0
        return self.refill_started_us + self.interval_us - now_us

    def try_acquire(self, now_us: int) -> bool:
        """Take a token if one is available, and return whether there was one."""
        if self.wait_us(now_us):
            return False
        if not self.used:
            self.refill_started_us = now_us
        self.used += 1
        return True
