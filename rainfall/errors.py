"""The base of all errors that this package raises for its callers to handle."""

from __future__ import annotations


class RainfallError(Exception):
    """Base of the package's own errors."""
