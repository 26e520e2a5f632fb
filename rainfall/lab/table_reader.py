"""Reads checked values from the tables of an experiment file.

Every fault is collected with its path, instead of stopping at the first.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Set
from typing import Any, TypeVar

from rainfall.errors import RainfallError

T = TypeVar("T")


class ExperimentError(RainfallError):
    """An experiment file is faulty; ``faults`` has 'path: what is wrong' for each fault."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class TableReader:
    """Reads values, and collects the faults.

    ``read`` always returns a value of the wanted type, so that reading goes on past a
    fault.
    """

    def __init__(self) -> None:
        self.faults: list[str] = []

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
        """The value of a key, checked.

        Args:
            table: The table.
            key: The key in it.
            kind: The type that the value must have; a whole number counts as a float.
            path: The table's path, for faults.
            default: The value if the key is absent; with None it is required.
            test: What else must hold of the value.
            hint: What a fault says if ``test`` fails.
        """
        name = f"{path}.{key}".lstrip(".")
        if key not in table:
            if default is None:
                self.faults.append(f"{name}: missing")
            return default if default is not None else kind()
        value = table[key]
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        if not isinstance(value, kind) or isinstance(value, bool) != (kind is bool):
            self.faults.append(f"{name}: a {kind.__name__} is wanted, not {value!r}")
            return default if default is not None else kind()
        if not test(value):
            self.faults.append(f"{name}: {value!r} {hint or 'is out of range'}")
        return value

    def check_unknown_keys(
        self, table: Mapping[str, Any], known: Set[str], path: str
    ) -> None:
        """Add a fault for each key that is not known."""
        for key in sorted(set(table) - known):
            self.faults.append(f"{path}.{key}".lstrip(".") + ": unknown key")

    def table(self, table: Mapping[str, Any], key: str, path: str) -> Mapping[str, Any]:
        """The table within a table; empty, with a fault, if it is something else."""
        value = table.get(key, {})
        if not isinstance(value, Mapping):
            self.faults.append(f"{path}{key}: a table is wanted")
            return {}
        return value
