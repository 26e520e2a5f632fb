"""Taking values out of an experiment file by path, with every fault kept instead of
stopping at the first.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from rainfall.errors import RainfallError

T = TypeVar("T")


class ExperimentError(RainfallError):
    """The file cannot be used; ``faults`` lists each fault as 'path: what is wrong'."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class TableReader:
    """``take`` always gives a value of the wanted kind, so that reading goes on past a
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
        self, table: Mapping[str, Any], known: set[str], path: str
    ) -> None:
        for key in sorted(set(table) - known):
            self.faults.append(f"{path}.{key}".lstrip(".") + ": unknown key")

    def table(self, table: Mapping[str, Any], key: str, path: str) -> Mapping[str, Any]:
        value = table.get(key, {})
        if not isinstance(value, Mapping):
            self.faults.append(f"{path}{key}: a table is wanted")
            return {}
        return value
