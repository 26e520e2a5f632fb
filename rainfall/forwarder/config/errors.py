"""What is wrong with a configuration."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from rainfall.errors import RainfallError


class ConfigFault(NamedTuple):
    """One fault of a configuration."""

    path: str
    """Where it stands: keys joined by dots, places in lists in brackets."""
    text: str


class ConfigError(RainfallError):
    """The configuration is missing or invalid; the text is one line."""


class FleetConfigError(ConfigError):
    """The `fleet` object of a configuration is invalid; it holds all faults."""

    def __init__(self, faults: Sequence[ConfigFault]) -> None:
        text = "; ".join(f"{fault.path}: {fault.text}" for fault in faults)
        super().__init__(" ".join(text.split()))
        self.faults = faults
