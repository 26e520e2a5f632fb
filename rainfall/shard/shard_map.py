"""The map's form: ranges of the key space, inclusive at both ends, each with one owner.

    {"generation": 7, "ranges": [{"from": "0000000000000000", "to": "ffffffffffffffff",
    "owner": "n1"}]}

The key space is 64 bits wide in every process. The cores take its width as `bits` (a
multiple of 4), so that tests and models can hold a whole space of 4 or 8 bits in their
hands.
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
MAX_GENERATION = (1 << 63) - 1
MAX_INTEGER_DIGITS = 20  # of a whole number in a file; what is longer is no generation


class UnreadableInputError(RainfallError):
    """The text is one line: why this is no JSON object, array or file at all."""


def hash_key(text: str) -> int:
    """The key of a message's `X-Session-Key`: xxh3, 64 bits, of its UTF-8 bytes."""
    return xxhash.xxh3_64_intdigest(text.encode())


def format_key(key: int, bits: int = KEY_BITS) -> str:
    """16 lower-case digits where the space has 64 bits."""
    return f"{key:0{bits // 4}x}"


def format_range(first: int, last: int, bits: int = KEY_BITS) -> str:
    """`FROM-TO`, as a range stands in faults, in a beat's `gave` and in a file of
    loads.
    """
    return f"{format_key(first, bits)}-{format_key(last, bits)}"


def parse_key(text: Any, bits: int = KEY_BITS) -> int | None:
    """The key that exactly `bits / 4` lower-case hexadecimal digits name; None for
    anything else.
    """
    # int() alone would also take 0x, signs, spaces and underscores; strip finds any
    # other character.
    if (
        type(text) is str
        and len(text) == bits // 4
        and not text.strip("0123456789abcdef")
    ):
        return int(text, 16)
    return None


def parse_range(text: Any, bits: int = KEY_BITS) -> tuple[int, int]:
    """The range that `FROM-TO` names; ValueError where it is none."""
    first, dash, last = text.partition("-") if type(text) is str else ("", "", "")
    ends = parse_key(first, bits), parse_key(last, bits)
    if not dash or ends[0] is None or ends[1] is None or ends[0] > ends[1]:
        raise ValueError(
            f"a range is FROM-TO, {bits // 4} lower-case hexadecimal digits each, not inverted"
        )
    return ends[0], ends[1]


@dataclass(frozen=True, slots=True, order=True)
class Range:
    """Keys `first` to `last`, both included."""

    first: int
    last: int
    owner: str

    @property
    def size(self) -> int:
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class ShardMap:
    """A map without faults: `ranges` in order of their keys, every key in exactly one.

    Only `check.checked` and `plan.plan` make one of what came from elsewhere.
    """

    generation: int
    ranges: tuple[Range, ...]
    bits: int = KEY_BITS
    firsts: tuple[int, ...] = field(init=False, repr=False, compare=False)
    _digest: list[int] = field(
        default_factory=list, init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        object.__setattr__(self, "firsts", tuple(r.first for r in self.ranges))

    def range_of(self, key: int) -> Range:
        """The range that holds `key`."""
        return self.ranges[bisect_right(self.firsts, key) - 1]

    def owner(self, key: int) -> str:
        return self.range_of(key).owner

    def owners(self) -> set[str]:
        return {r.owner for r in self.ranges}

    def overlapping(self, first: int, last: int) -> Sequence[Range]:
        """The ranges that hold any key from `first` to `last`."""
        return self.ranges[
            bisect_right(self.firsts, first) - 1 : bisect_right(self.firsts, last)
        ]

    def to_wire(self) -> dict[str, Any]:
        """As JSON holds it, the ranges in order of their keys."""
        return {
            "generation": self.generation,
            "ranges": [
                {
                    "from": format_key(r.first, self.bits),
                    "to": format_key(r.last, self.bits),
                    "owner": r.owner,
                }
                for r in self.ranges
            ],
        }

    def file_text(self) -> str:
        """The file: one range a line, so that two maps can be compared by eye and by
        diff.
        """
        rows = ",\n".join(json.dumps(entry) for entry in self.to_wire()["ranges"])
        return f'{{"generation": {self.generation}, "ranges": [\n{rows}\n]}}\n'

    def digest(self) -> int:
        """Tells two maps of one generation apart: xxh3 of who owns what, however it is
        written.
        """
        if not self._digest:
            rows: list[Any] = []
            for r in self.ranges:
                if not rows or rows[-1][1] != r.owner:
                    rows.append((r.first, r.owner))
            self._digest.append(
                xxhash.xxh3_64_intdigest(json.dumps([self.generation, rows]).encode())
            )
        return self._digest[0]


class DuplicateFieldObject(dict[str, Any]):
    """A JSON object that named a field twice: which of the two is meant cannot be
    known.
    """

    def __init__(self, pairs: Iterable[tuple[str, Any]], twice: list[str]) -> None:
        super().__init__(pairs)
        self.duplicate_fields = twice


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    if len(made) == len(pairs):
        return made
    counts = Counter(name for name, _ in pairs)
    return DuplicateFieldObject(
        pairs, sorted(name for name, count in counts.items() if count > 1)
    )


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else float(digits)


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


def decode_json(data: bytes) -> Any:
    """JSON, strictly, with doubled fields kept as `Doubled`.

    Unreadable where it is not JSON.
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
        raise UnreadableInputError(
            "not JSON that can be read: nested too deep"
        ) from None
