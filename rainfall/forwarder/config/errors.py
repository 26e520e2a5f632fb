"""Errors of a configuration."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from rainfall.errors import RainfallError


class ConfigFault(NamedTuple):
    """One fault of a configuration, with its location."""

    path: str
    """Keys joined by dots, list indexes in brackets: `fleet.budgets[0].calls`."""
    text: str


class ConfigError(RainfallError):
    """A configuration that is missing or invalid; the text is one line."""


class FleetConfigError(ConfigError):
    """An invalid `fleet` object of a configuration.

    Attributes:
        faults: All faults of the object.
    """

    def __init__(self, faults: Sequence[ConfigFault]) -> None:
        text = "; ".join(f"{fault.path}: {fault.text}" for fault in faults)
        super().__init__(" ".join(text.split()))
        self.faults = faults
