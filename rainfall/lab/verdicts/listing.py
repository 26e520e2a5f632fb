"""The limit on records listed in a verdict."""

from __future__ import annotations

LISTED_RECORDS = 20
"""Most records listed for one kind of breach; further ones are only counted."""
