"""Units of time. All times of the dispatcher are integer microseconds."""

from __future__ import annotations

SECOND_US = 1_000_000

NEVER = 1 << 62
"""A time that is never reached: only an event can end the wait. `-NEVER` is before all
times.
"""
