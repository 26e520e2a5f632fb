"""Shard maps: ranges of the key space, both ends included, each with one owner.

    {"generation": 7, "ranges": [{"from": "0000000000000000", "to": "ffffffffffffffff",
    "owner": "n1"}]}

The key space is 64 bits wide in every process. Its width is a parameter, `bits` (a
multiple of 4), so that tests and models can cover all keys of a space of 4 or 8 bits.
"""

from __future__ import annotations

import json
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import xxhash

from rainfall.errors import RainfallError

KEY_BITS = 64
BITS_PER_DIGIT = 4
HEX_DIGITS = "0123456789abcdef"
MAX_GENERATION = (1 << 63) - 1
MAX_INTEGER_DIGITS = 20
"""Integers with more digits are not valid generations and decode as floats."""


class UnreadableInputError(RainfallError):
    """A file or JSON input cannot be read or has the wrong type; the text is one line."""


def hash_key(text: str) -> int:
    """Return the key of an `X-Session-Key`: the 64-bit xxh3 hash of its UTF-8 bytes."""
    return xxhash.xxh3_64_intdigest(text.encode())


def format_key(key: int, bits: int = KEY_BITS) -> str:
    """Format a key as `bits` / 4 lower-case hexadecimal digits."""
    return f"{key:0{bits // BITS_PER_DIGIT}x}"


def format_range(first: int, last: int, bits: int = KEY_BITS) -> str:
    """Format `FROM-TO`, as in faults, in a heartbeat's `gave` and in a file of loads."""
    return f"{format_key(first, bits)}-{format_key(last, bits)}"


def parse_key(text: Any, bits: int = KEY_BITS) -> int | None:
    """Parse a key of exactly `bits` / 4 lower-case hexadecimal digits.

    Returns None for anything else.
    """
    # int() alone would also accept 0x, signs, spaces and underscores. strip() returns
    # an empty string only if all characters are digits.
    if (
        type(text) is str
        and len(text) == bits // BITS_PER_DIGIT
        and not text.strip(HEX_DIGITS)
    ):
        return int(text, 16)
    return None


def parse_range(text: Any, bits: int = KEY_BITS) -> tuple[int, int]:
    """Parse a range `FROM-TO`.

    Raises:
        ValueError: `text` is not a range.
    """
    first_text, dash, last_text = "", "", ""
    if type(text) is str:
        first_text, dash, last_text = text.partition("-")
    first = parse_key(first_text, bits)
    last = parse_key(last_text, bits)
    if not dash or first is None or last is None or first > last:
        raise ValueError(
            f"a range is FROM-TO, {bits // BITS_PER_DIGIT} lower-case hexadecimal digits each, not inverted"
        )
    return first, last


@dataclass(frozen=True, slots=True, order=True)
class Range:
    """Keys `first` to `last`, both included."""

    first: int
    last: int
    owner: str

    @property
    def size(self) -> int:
        """The number of keys in the range."""
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class ShardMap:
    """A valid map: `ranges` are ordered by key, and each key is in exactly one range.

    Untrusted input is converted by `map_validation` only.
    """

    generation: int
    ranges: tuple[Range, ...]
    bits: int = KEY_BITS
    firsts: tuple[int, ...] = field(init=False, repr=False, compare=False)
    """The first key of each range."""
    _digest: list[int] = field(
        default_factory=list, init=False, repr=False, compare=False
    )
    """Cache of `digest`: empty, or one item. The map is immutable."""

    def __post_init__(self) -> None:
        object.__setattr__(
            self, "firsts", tuple(map_range.first for map_range in self.ranges)
        )

    def range_of(self, key: int) -> Range:
        """Return the range that contains `key`."""
        return self.ranges[bisect_right(self.firsts, key) - 1]

    def owner(self, key: int) -> str:
        """Return the owner of `key`."""
        return self.range_of(key).owner

    def owners(self) -> set[str]:
        """Return the names of all members that own a range."""
        return {map_range.owner for map_range in self.ranges}

    def overlapping(self, first: int, last: int) -> Sequence[Range]:
        """Return the ranges that contain any key from `first` to `last`."""
        start = bisect_right(self.firsts, first) - 1
        end = bisect_right(self.firsts, last)
        return self.ranges[start:end]

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON form, with the ranges ordered by key."""
        return {
            "generation": self.generation,
            "ranges": [
                {
                    "from": format_key(map_range.first, self.bits),
                    "to": format_key(map_range.last, self.bits),
                    "owner": map_range.owner,
                }
                for map_range in self.ranges
            ],
        }

    def file_text(self) -> str:
        """Return the text of a map file: one range a line, so that maps can be diffed."""
        rows = ",\n".join(json.dumps(entry) for entry in self.to_wire()["ranges"])
        return f'{{"generation": {self.generation}, "ranges": [\n{rows}\n]}}\n'

    def digest(self) -> int:
        """Return a hash of the generation and the ownership.

        It distinguishes two maps of one generation, and does not depend on how an owner's
        keys are split into ranges.
        """
        if not self._digest:
            rows: list[Any] = []
            for map_range in self.ranges:
                if not rows or rows[-1][1] != map_range.owner:
                    rows.append((map_range.first, map_range.owner))
            content = json.dumps([self.generation, rows]).encode()
            self._digest.append(xxhash.xxh3_64_intdigest(content))
        return self._digest[0]


class DuplicateFieldObject(dict[str, Any]):
    """A JSON object with duplicate field names; which value is meant is ambiguous."""

    def __init__(
        self, pairs: Iterable[tuple[str, Any]], duplicate_fields: list[str]
    ) -> None:
        super().__init__(pairs)
        self.duplicate_fields = duplicate_fields


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) == len(pairs):
        return fields
    counts = Counter(name for name, _ in pairs)
    duplicates = sorted(name for name, count in counts.items() if count > 1)
    return DuplicateFieldObject(pairs, duplicates)


def _parse_integer(digits: str) -> int | float:
    # int() takes quadratic time for a very long text.
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else float(digits)


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not valid JSON")


def decode_json(data: bytes) -> Any:
    """Decode strict JSON; objects may be a `DuplicateFieldObject`.

    Raises:
        UnreadableInputError: `data` is not UTF-8, not JSON, or nested too deep.
    """
    try:
        return json.loads(
            data.decode(),
            object_pairs_hook=_build_object,
            parse_int=_parse_integer,
            parse_constant=_reject_constant,
        )
    except UnicodeDecodeError as error:
        raise UnreadableInputError(f"not UTF-8 at byte {error.start}") from None
    except ValueError as error:
        raise UnreadableInputError(f"not JSON: {error}") from None
    except RecursionError:
        raise UnreadableInputError("JSON nested too deep") from None
