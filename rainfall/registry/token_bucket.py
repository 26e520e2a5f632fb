"""A token bucket: what may happen in a burst, and how often after that."""

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
    """When the interval began after which the oldest used token is back."""

    def wait_us(self, now_us: int) -> int:
        """How long until there is a token; 0 if there is one now."""
        if self.used:
            elapsed_intervals = (now_us - self.refill_started_us) // self.interval_us
            refilled = min(self.used, elapsed_intervals)
            self.used -= refilled
            self.refill_started_us += refilled * self.interval_us
        if self.used < self.burst:
            return 0
        return self.refill_started_us + self.interval_us - now_us

    def try_acquire(self, now_us: int) -> bool:
        """Take a token, if there is one."""
        if self.wait_us(now_us):
            return False
        if not self.used:
            self.refill_started_us = now_us
        self.used += 1
        return True
