"""Reads and validates values from the tables of an experiment file.

All errors are collected with their paths, instead of stopping at the first.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Set
from typing import Any, TypeVar

from rainfall.errors import RainfallError

T = TypeVar("T")


class ExperimentError(RainfallError):
    """An experiment file is invalid; ``errors`` has one 'path: reason' for each error."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class TableReader:
    """Reads values and collects errors in ``errors``.

    ``read`` always returns a value of the expected type, so that parsing continues after
    an error.
    """

    def __init__(self) -> None:
        self.errors: list[str] = []

    def read(
        self,
        table: Mapping[str, Any],
        key: str,
        kind: type[T],
        path: str,
        default: T | None = None,
        test: Callable[[T], bool] = lambda _: True,
        hint: str = "",
    ) -> T:
        """Read and validate the value of a key.

        Args:
            table: The table.
            key: The key in the table.
            kind: The required type; an int is accepted as a float.
            path: The path of the table, for error messages.
            default: The value if the key is absent; None makes the key required.
            test: A further condition for the value.
            hint: The error message if ``test`` fails, after the value.
        """
        name = f"{path}.{key}".lstrip(".")
        if key not in table:
            if default is None:
                self.errors.append(f"{name}: missing")
            return default if default is not None else kind()
        value = table[key]
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or isinstance(value, bool) != (kind is bool):
            self.errors.append(f"{name}: expected a {kind.__name__}, got {value!r}")
            return default if default is not None else kind()
        if not test(value):
            self.errors.append(f"{name}: {value!r} {hint or 'is out of range'}")
        return value

    def check_unknown_keys(
        self, table: Mapping[str, Any], known: Set[str], path: str
    ) -> None:
        """Add an error for each key that is not in ``known``."""
        for key in sorted(set(table) - known):
            self.errors.append(f"{path}.{key}".lstrip(".") + ": unknown key")

    def table(self, table: Mapping[str, Any], key: str, path: str) -> Mapping[str, Any]:
        """Read a nested table; empty, with an error added, if the value is not a table."""
        value = table.get(key, {})
        if not isinstance(value, Mapping):
            self.errors.append(f"{path}{key}: expected a table")
            return {}
        return value
