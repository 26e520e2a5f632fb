"""How much of what a check finds is listed in the verdict."""

from __future__ import annotations

LISTED_RECORDS = 20
"""Records of one kind of breach; the others are only counted."""
