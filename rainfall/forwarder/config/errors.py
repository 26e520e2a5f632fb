"""What is wrong with a configuration, as it is raised and told."""

from __future__ import annotations

from rainfall.errors import RainfallError


class ConfigError(RainfallError):
    """The configuration is missing or cannot hold; the text is one line."""


class FleetConfigError(ConfigError):
    """All faults of a `fleet`: each with its path."""

    def __init__(self, faults: list[tuple[str, str]]) -> None:
        super().__init__(
            " ".join("; ".join(f"{path}: {text}" for path, text in faults).split())
        )
        self.faults = faults
