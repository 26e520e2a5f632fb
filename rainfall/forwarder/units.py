"""Conversion factors between the units of time used in the forwarder."""

from __future__ import annotations

MS_PER_SECOND = 1000
US_PER_SECOND = 1_000_000
US_PER_MS = 1000
NS_PER_US = 1000
