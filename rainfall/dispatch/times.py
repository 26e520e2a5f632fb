"""Units of time. All times of the dispatcher are integer microseconds."""

from __future__ import annotations

SECOND_US = 1_000_000

NEVER = 1 << 62
"""A time that does not come: only an event can change what waits for it. `-NEVER` is a
time long past.
"""
