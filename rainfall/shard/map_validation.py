"""Validation of a map: each key in exactly one range, and a permitted change.

The same check is used by the command, by the service for a submitted map, and by each
forwarder before it adopts a map from any sender.

All faults are reported, in this order: `malformed` (the map, then its entries by
index), `inverted` and `unknown-owner` by index, `gap` and `overlap` ordered by key,
`stale-generation`, `moves-too-much`. Malformed and inverted entries cover no key, so gaps
and overlaps are computed from the valid entries only.
"""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from fractions import Fraction
from typing import Any, NamedTuple

from rainfall.errors import RainfallError
from rainfall.shard.coverage import Entry, Segment, covered_segments
from rainfall.shard.shard_map import (
    BITS_PER_DIGIT,
    KEY_BITS,
    MAX_GENERATION,
    DuplicateFieldObject,
    Range,
    ShardMap,
    format_range,
    parse_key,
)


class FaultKind(StrEnum):
    """Kinds of faults; the values appear in the command's output and on the wire."""

    MALFORMED = "malformed"
    INVERTED = "inverted"
    UNKNOWN_OWNER = "unknown-owner"
    GAP = "gap"
    OVERLAP = "overlap"
    STALE_GENERATION = "stale-generation"
    MOVES_TOO_MUCH = "moves-too-much"


MAX_MOVED_SHARE = Fraction(1, 2)
"""Largest share of the key space whose owner one map may change."""
OVERLAP_ENTRIES_NAMED = 1_000_000
"""Limit of entries named in all overlaps of one check.

Beyond it, an overlap names its first `ENTRIES_SHOWN` entries.
"""
ENTRIES_SHOWN = 16
"""Faults in an error's text, and entries of an overlap beyond `OVERLAP_ENTRIES_NAMED`."""
QUOTE_LIMIT = 80
"""Longest value that is quoted in full, in characters."""
QUOTE_SHOWN = 60
"""Characters quoted of a value longer than `QUOTE_LIMIT`."""
ENTRY_FIELDS = ("from", "to", "owner")
NO_GENERATION = -1
NO_ENTRY = -1


@dataclass(frozen=True, slots=True)
class MapFault:
    """One fault of a map."""

    kind: str
    """The value of a `FaultKind`."""
    text: str
    first: int | None = None
    """The first affected key; None if the fault concerns no keys."""
    last: int | None = None
    """The last affected key."""
    entries: tuple[int, ...] = ()
    """Indexes of the affected entries in the map."""
    omitted_entries: int = 0
    """Number of affected entries that `entries` omits; see `OVERLAP_ENTRIES_NAMED`."""

    def __str__(self) -> str:
        return f"{self.kind} {self.text}"


class InvalidMapError(RainfallError):
    """A map has faults.

    Attributes:
        faults: All faults of the map.
    """

    def __init__(self, faults: list[MapFault]) -> None:
        super().__init__("; ".join(map(str, faults[:ENTRIES_SHOWN])))
        self.faults = faults


class SoleRange(NamedTuple):
    """Keys that exactly one entry covers."""

    first: int
    last: int
    owner: str
    entry: int
    """The index of the entry."""


Ownership = tuple[int, int, str]
"""(first, last, owner): keys of one owner.

A plain tuple, since a check creates several for each range.
"""


class OwnerChange(NamedTuple):
    """Keys whose owner differs between two maps."""

    first: int
    last: int
    old_owner: str
    entry: int
    """The index of the new map's entry."""


class MapInspection(NamedTuple):
    """The result of checking a map."""

    faults: list[MapFault]
    generation: int
    """`NO_GENERATION` if the map has no valid generation."""
    sole_ranges: list[SoleRange]
    """Ordered by key."""

    def to_map(self, bits: int) -> ShardMap:
        """Return the map; `faults` must be empty."""
        ranges = tuple(
            Range(sole.first, sole.last, sole.owner) for sole in self.sole_ranges
        )
        return ShardMap(self.generation, ranges, bits)


def map_faults(
    raw: Any,
    members: Collection[str] | None = None,
    against: ShardMap | None = None,
    max_moved_share: Fraction | None = MAX_MOVED_SHARE,
    bits: int = KEY_BITS,
) -> list[MapFault]:
    """Return all faults of a map; without faults it may be put in force.

    Args:
        raw: The map as a decoded JSON value.
        members: Names that may own a range; None for any.
        against: The map in force; the new generation must be higher than its generation.
        max_moved_share: The largest share of the key space whose owner may change; None
            for any. Keys of an old owner that is not in `members` do not count.
        bits: The width of the key space.
    """
    return inspect_map(raw, members, _baseline(against), max_moved_share, bits).faults


def checked_map(
    raw: Any,
    members: Collection[str] | None = None,
    against: ShardMap | None = None,
    max_moved_share: Fraction | None = MAX_MOVED_SHARE,
    bits: int = KEY_BITS,
) -> ShardMap:
    """Check a map; see `map_faults`.

    Returns:
        The map.

    Raises:
        InvalidMapError: The map has faults.
    """
    inspection = inspect_map(raw, members, _baseline(against), max_moved_share, bits)
    if inspection.faults:
        raise InvalidMapError(inspection.faults)
    return inspection.to_map(bits)


def evaluate_update(
    raw: Any,
    members: Collection[str] | None,
    against: ShardMap | None,
    max_moved_share: Fraction | None,
    bits: int,
) -> tuple[ShardMap | None, list[MapFault]]:
    """Check a map that replaces the map in force; see `map_faults`.

    Returns:
        The new map, or None if it has faults, and the faults. (None, []) if it equals the
        map in force.
    """
    old = _baseline(against)
    inspection = inspect_map(raw, members, old, max_moved_share, bits)
    if old is not None and _is_same_map(inspection, old):
        return None, []
    if inspection.faults:
        return None, inspection.faults
    return inspection.to_map(bits), []


def _is_same_map(inspection: MapInspection, old: MapBaseline) -> bool:
    """Return whether a map equals the old one; its generation is then its only fault."""
    kinds = [fault.kind for fault in inspection.faults]
    return (
        inspection.generation == old.generation
        and kinds == [FaultKind.STALE_GENERATION]
        and merged_ownership(inspection.sole_ranges)
        == merged_ownership(old.sole_ranges)
    )


@dataclass(frozen=True, slots=True)
class MapBaseline:
    """The old map that a new map is compared with.

    Keys in gaps and overlaps of the old map do not count as moved, since they had no
    unique owner.
    """

    generation: int
    sole_ranges: list[SoleRange]

    @staticmethod
    def from_map(shard_map: ShardMap) -> MapBaseline:
        """Return the baseline of a valid map."""
        return MapBaseline(
            shard_map.generation,
            [
                SoleRange(map_range.first, map_range.last, map_range.owner, index)
                for index, map_range in enumerate(shard_map.ranges)
            ],
        )


def _baseline(against: ShardMap | None) -> MapBaseline | None:
    return None if against is None else MapBaseline.from_map(against)


def inspect_map(
    raw: Any,
    members: Collection[str] | None = None,
    old: MapBaseline | None = None,
    max_moved_share: Fraction | None = MAX_MOVED_SHARE,
    bits: int = KEY_BITS,
) -> MapInspection:
    """Check a map and return the faults with the decoded content; see `map_faults`."""
    if not isinstance(raw, dict):
        text = f"map: {_quoted(raw)} is no JSON object"
        fault = MapFault(FaultKind.MALFORMED.value, text)
        return MapInspection([fault], NO_GENERATION, [])
    form_faults = list(_form_faults(raw))
    member_names = None if members is None else frozenset(members)
    listed = raw.get("ranges")
    entries = _inspect_entries(
        listed if type(listed) is list else (), member_names, bits
    )
    coverage_faults, sole_ranges = _inspect_coverage(
        entries.valid, entries.owners, bits
    )
    generation = NO_GENERATION
    if _is_generation(raw.get("generation")):
        generation = raw["generation"]
    faults = [
        *form_faults,
        *entries.malformed,
        *entries.inverted,
        *entries.unknown_owners,
        *coverage_faults,
    ]
    if old is not None and generation != NO_GENERATION:
        faults += _generation_faults(generation, sole_ranges, old)
    if old is not None and max_moved_share is not None:
        faults += _moved_share_faults(
            sole_ranges, old, member_names, max_moved_share, bits
        )
    return MapInspection(faults, generation, sole_ranges)


@dataclass(slots=True)
class _Entries:
    """The valid entries of a map, and the faults of all entries by kind, in file order."""

    malformed: list[MapFault] = field(default_factory=list)
    inverted: list[MapFault] = field(default_factory=list)
    unknown_owners: list[MapFault] = field(default_factory=list)
    valid: list[Entry] = field(default_factory=list)
    owners: dict[int, str] = field(default_factory=dict)
    """The owners of the valid entries, by index."""


def _inspect_entries(
    raw_entries: Iterable[Any], member_names: frozenset[str] | None, bits: int
) -> _Entries:
    entries = _Entries()
    for index, raw in enumerate(raw_entries):
        parsed = _parse_entry(raw, bits)
        if isinstance(parsed, str):
            text = parsed.replace("entry", f"entry {index}", 1)
            fault = MapFault(FaultKind.MALFORMED.value, text, entries=(index,))
            entries.malformed.append(fault)
            continue
        first, last, owner = parsed
        if first <= last:
            entries.valid.append((first, last, index))
            entries.owners[index] = owner
        else:
            text = f"entry {index} ends before it begins"
            fault = _entry_fault(FaultKind.INVERTED, parsed, index, text, bits)
            entries.inverted.append(fault)
        if member_names is not None and owner not in member_names:
            text = f"entry {index} names {_quoted(owner)}, which is no member"
            fault = _entry_fault(FaultKind.UNKNOWN_OWNER, parsed, index, text, bits)
            entries.unknown_owners.append(fault)
    return entries


def _entry_fault(
    kind: FaultKind, entry: Ownership, index: int, text: str, bits: int
) -> MapFault:
    first, last, _ = entry
    keys = format_range(first, last, bits)
    return MapFault(kind.value, f"{keys}: {text}", first, last, (index,))


def _is_generation(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_GENERATION


def _quoted(value: Any) -> str:
    """Format a value as one short line of ASCII."""
    if isinstance(value, dict | list):
        return "an object" if isinstance(value, dict) else "an array"
    text = json.dumps(value)
    if len(text) <= QUOTE_LIMIT:
        return text
    return f"{text[:QUOTE_SHOWN]}... ({len(text)} characters)"


def _quoted_names(names: Iterable[Any]) -> str:
    return ", ".join(_quoted(name) for name in names)


def _form_faults(raw: dict[str, Any]) -> Iterator[MapFault]:
    for text in _form_fault_texts(raw):
        yield MapFault(FaultKind.MALFORMED.value, text)


def _form_fault_texts(raw: dict[str, Any]) -> Iterator[str]:
    if isinstance(raw, DuplicateFieldObject):
        names = _quoted_names(raw.duplicate_fields)
        yield f"map: duplicate field: {names} (the last value is checked)"
    if "generation" not in raw:
        yield "generation: is missing"
    elif not _is_generation(raw["generation"]):
        yield f"generation: {_quoted(raw['generation'])} is no whole number below 2**63"
    if "ranges" not in raw:
        yield "ranges: is missing"
    elif type(raw["ranges"]) is not list:
        yield f"ranges: {_quoted(raw['ranges'])} is no array"
    if unknown_fields := sorted(set(raw) - {"generation", "ranges"}):
        yield f"map: a field of unknown name: {_quoted_names(unknown_fields)}"


def _parse_entry(raw: Any, bits: int) -> Ownership | str:
    """Return the keys and owner of an entry, or all faults of its form in one line."""
    if type(raw) is dict and len(raw) == len(ENTRY_FIELDS):
        first = parse_key(raw.get("from"), bits)
        last = parse_key(raw.get("to"), bits)
        owner = raw.get("owner")
        if (
            first is not None
            and last is not None
            and type(owner) is str
            and owner
            and owner.isprintable()
        ):
            return first, last, owner
    if not isinstance(raw, dict):
        return f"entry: {_quoted(raw)} is no object"
    shown_keys = [
        f"{name} {_quoted(raw[name])}" for name in ("from", "to") if name in raw
    ]
    return f"entry ({' '.join(shown_keys)}): " + "; ".join(
        _entry_fault_texts(raw, bits)
    )


def _is_name(value: Any) -> bool:
    return type(value) is str and bool(value) and value.isprintable()


def _entry_fault_texts(raw: dict[str, Any], bits: int) -> Iterator[str]:
    if isinstance(raw, DuplicateFieldObject):
        yield f"duplicate field: {_quoted_names(raw.duplicate_fields)}"
    for name in ENTRY_FIELDS:
        if name not in raw:
            yield f'"{name}" is missing'
    if unknown_fields := sorted(set(raw) - set(ENTRY_FIELDS)):
        yield f"a field of unknown name: {_quoted_names(unknown_fields)}"
    for name in ("from", "to"):
        if name in raw and parse_key(raw[name], bits) is None:
            digits = bits // BITS_PER_DIGIT
            yield f'"{name}" {_quoted(raw[name])} is not {digits} lower-case hexadecimal digits'
    if "owner" in raw and not _is_name(raw["owner"]):
        yield f'"owner" {_quoted(raw["owner"])} is no name'


def _inspect_coverage(
    entries: list[Entry], owners: dict[int, str], bits: int
) -> tuple[list[MapFault], list[SoleRange]]:
    """Return gaps and overlaps, and the keys that exactly one entry covers."""
    faults: list[MapFault] = []
    sole_ranges: list[SoleRange] = []
    names_left = OVERLAP_ENTRIES_NAMED
    previous_entry = NO_ENTRY
    gap: Segment | None = None
    for segment in covered_segments(entries, (1 << bits) - 1):
        first, last, indexes = segment
        if not indexes:
            gap = segment
            continue
        if gap:
            faults.append(_gap_fault(gap, previous_entry, indexes[0], bits))
            gap = None
        if len(indexes) == 1:
            entry = indexes[0]
            sole_ranges.append(SoleRange(first, last, owners[entry], entry))
        else:
            fault = _overlap_fault(segment, names_left, bits)
            names_left -= len(fault.entries)
            faults.append(fault)
        previous_entry = indexes[0]
    if gap:
        faults.append(_gap_fault(gap, previous_entry, NO_ENTRY, bits))
    return faults, sole_ranges


def _overlap_fault(segment: Segment, names_left: int, bits: int) -> MapFault:
    first, last, indexes = segment
    shown = indexes if len(indexes) <= names_left else indexes[:ENTRIES_SHOWN]
    named = tuple(shown)
    omitted = len(indexes) - len(named)
    names = ", ".join(map(str, named))
    if omitted:
        names += f" and {omitted} more"
    return MapFault(
        FaultKind.OVERLAP.value,
        f"{format_range(first, last, bits)}: entries {names} cover it",
        first,
        last,
        named,
        omitted,
    )


def _gap_fault(gap: Segment, before: int, after: int, bits: int) -> MapFault:
    first, last, _ = gap
    return MapFault(
        FaultKind.GAP.value,
        f"{format_range(first, last, bits)}: no entry covers it, "
        f"{_gap_place(before, after)}",
        first,
        last,
        tuple(entry for entry in (before, after) if entry != NO_ENTRY),
    )


def _gap_place(before: int, after: int) -> str:
    if before != NO_ENTRY and after != NO_ENTRY:
        return f"between entries {before} and {after}"
    if after != NO_ENTRY:
        return f"before entry {after}"
    if before != NO_ENTRY:
        return f"after entry {before}"
    return "there is no sound entry"


def _generation_faults(
    generation: int, sole_ranges: list[SoleRange], old: MapBaseline
) -> Iterator[MapFault]:
    if generation > old.generation:
        return
    text = f"{generation}: not above {old.generation}, the old map's"
    if generation == old.generation:
        same = merged_ownership(sole_ranges) == merged_ownership(old.sole_ranges)
        text += ", and the content is " + ("the same" if same else "another")
    yield MapFault(FaultKind.STALE_GENERATION.value, text)


def merged_ownership(sole_ranges: Iterable[SoleRange]) -> list[Ownership]:
    """Return the ownership with adjacent ranges of one owner merged."""
    merged: list[Ownership] = []
    for first, last, owner, _ in sole_ranges:
        if merged:
            previous_first, previous_last, previous_owner = merged[-1]
            if previous_owner == owner and previous_last + 1 == first:
                merged[-1] = (previous_first, last, owner)
                continue
        merged.append((first, last, owner))
    return merged


def owner_changes(
    new: Sequence[SoleRange], old: Sequence[SoleRange]
) -> Iterator[OwnerChange]:
    """Yield the keys whose owner changes, ordered by key."""
    start = 0
    for first, last, owner, entry in new:
        while start < len(old) and old[start].last < first:
            start += 1
        index = start
        while index < len(old) and old[index].first <= last:
            old_range = old[index]
            if old_range.owner != owner:
                yield OwnerChange(
                    max(first, old_range.first),
                    min(last, old_range.last),
                    old_range.owner,
                    entry,
                )
            index += 1


def _moved_share_faults(
    sole_ranges: list[SoleRange],
    old: MapBaseline,
    member_names: frozenset[str] | None,
    max_moved_share: Fraction,
    bits: int,
) -> Iterator[MapFault]:
    changes = [
        change
        for change in owner_changes(sole_ranges, old.sole_ranges)
        if member_names is None or change.old_owner in member_names
    ]
    moved_keys = sum(change.last - change.first + 1 for change in changes)
    if moved_keys <= max_moved_share * (1 << bits):
        return
    entries = tuple(sorted({change.entry for change in changes}))
    first = changes[0].first
    last = changes[-1].last
    yield MapFault(
        FaultKind.MOVES_TOO_MUCH.value,
        f"{format_range(first, last, bits)}: {moved_keys} keys change their owner, "
        f"{moved_keys / (1 << bits):.2%} of the space, more than {float(max_moved_share):.2%}: entries "
        f"{', '.join(map(str, entries))}",
        first,
        last,
        entries,
    )


def count_moved_keys(new: ShardMap, old: ShardMap) -> int:
    """Count the keys whose owner in `new` differs from `old`."""
    changes = owner_changes(
        MapBaseline.from_map(new).sole_ranges, MapBaseline.from_map(old).sole_ranges
    )
    return sum(change.last - change.first + 1 for change in changes)
