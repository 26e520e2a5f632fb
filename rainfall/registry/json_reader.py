"""Strict JSON parser for requests, which reports every fault with its path.

The standard parser accepts NaN, and keeps the last of two equal keys. This one puts a
marker in place of each such value, and then reports all markers with their paths.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Iterator
from typing import Any

from rainfall.registry.request_error import RequestError


class _InvalidValue:
    """Marks a rejected value in the parsed tree."""

    def __init__(self, reason: str) -> None:
        self.reason = reason


def parse_json(data: bytes) -> Any:
    """Parse a request's body as JSON.

    Raises:
        RequestError: 400 with every duplicate key and every number that JSON does not
            allow, each with its path.
    """
    reader = _Reader()
    try:
        value = json.loads(
            data.decode(),
            object_pairs_hook=reader.read_object,
            parse_float=reader.read_float,
            parse_constant=reader.read_constant,
        )
        _check_surrogates(data, value)
        faults = list(_fault_paths(value, "")) if reader.invalid_values else []
    except UnicodeEncodeError:
        raise RequestError(400, ["a text holds half of a surrogate pair"]) from None
    except (ValueError, RecursionError) as error:
        raise RequestError(400, [f"not JSON: {error}"]) from None
    if reader.invalid_values:
        # An invalid value below a duplicate key is replaced together with the value of
        # that key, so it has no path.
        reasons = [invalid.reason for invalid in reader.invalid_values]
        raise RequestError(400, faults or reasons)
    return value


class _Reader:
    """Hooks for `json.loads`, and the values that they have rejected."""

    def __init__(self) -> None:
        self.invalid_values: list[_InvalidValue] = []

    def read_object(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        fields = dict(pairs)
        if len(fields) < len(pairs):
            counts = Counter(name for name, _ in pairs)
            fields.update(
                (name, self._reject("the key comes twice"))
                for name in fields
                if counts[name] > 1
            )
        return fields

    def read_float(self, text: str) -> Any:
        value = float(text)
        if math.isinf(value):
            return self._reject(f"{text} is past what a number can hold")
        return value

    def read_constant(self, name: str) -> _InvalidValue:
        return self._reject(f"{name} is not a number JSON allows")

    def _reject(self, reason: str) -> _InvalidValue:
        invalid = _InvalidValue(reason)
        self.invalid_values.append(invalid)
        return invalid


def _check_surrogates(data: bytes, value: Any) -> None:
    r"""Raise UnicodeEncodeError for an unpaired surrogate, escaped as `\ud...`."""
    if b"\\ud" in data.lower():
        json.dumps(value, ensure_ascii=False, default=str).encode()


def _fault_paths(value: Any, path: str) -> Iterator[str]:
    if isinstance(value, _InvalidValue):
        yield f"{path or 'the body'}: {value.reason}"
    elif isinstance(value, dict):
        for key, inner in value.items():
            yield from _fault_paths(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from _fault_paths(inner, f"{path}[{index}]")
