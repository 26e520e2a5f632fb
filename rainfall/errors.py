"""Base class of the errors that this package raises for its callers to handle."""

from __future__ import annotations


class RainfallError(Exception):
    """Base class of the package's own errors."""
