"""The check of a map: every key exactly once, no gaps.

One function for the tool, for what the service is asked to write, and for each
forwarder before it adopts a map, whoever sent it.

All faults are told, in this order: `malformed` (the map, then its entries by index),
`inverted` and `unknown-owner` by index, `gap` and `overlap` in order of their keys,
`stale-generation`, `moves-too-much`. A malformed or an inverted entry covers no key:
gaps and overlaps are those of the sound entries.
"""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from fractions import Fraction
from typing import Any

from rainfall.errors import RainfallError
from rainfall.shard.coverage import Entry, covered_segments
from rainfall.shard.shard_map import (
    KEY_BITS,
    MAX_GENERATION,
    DuplicateFieldObject,
    Range,
    ShardMap,
    format_range,
    parse_key,
)

FAULT_KINDS = (
    "malformed",
    "inverted",
    "unknown-owner",
    "gap",
    "overlap",
    "stale-generation",
    "moves-too-much",
)
MAX_MOVED_SHARE = Fraction(1, 2)
# entries named in all overlaps of one check; past that each names the first few
OVERLAP_ENTRIES_NAMED = 1_000_000
ENTRIES_SHOWN = 16
ENTRY_FIELDS = ("from", "to", "owner")


@dataclass(frozen=True, slots=True)
class MapFault:
    """One fault.

    `first` and `last` are the keys it is about, None where it is about none; `entries`
    are indexes in the file; `more` counts those left out (only past a million in one
    check).
    """

    kind: str
    text: str
    first: int | None = None
    last: int | None = None
    entries: tuple[int, ...] = ()
    omitted_entries: int = 0

    def __str__(self) -> str:
        return f"{self.kind} {self.text}"


class InvalidMapError(RainfallError):
    def __init__(self, faults: list[MapFault]) -> None:
        super().__init__("; ".join(map(str, faults[:ENTRIES_SHOWN])))
        self.faults = faults


SoleRange = tuple[int, int, str, int]
"""Keys that one entry alone covers: first, last, owner, index."""


def map_faults(
    raw: Any,
    members: Collection[str] | None = None,
    against: ShardMap | None = None,
    most_moved: Fraction | None = MAX_MOVED_SHARE,
    bits: int = KEY_BITS,
) -> list[MapFault]:
    """All faults of the map that `raw`, a decoded JSON value, holds; none: it may come
    into force.

    `members`: who may own a range. `against`: the map in force; the new one's
    generation is above its, and at most `most_moved` of the key space changes its owner
    (None: any part), where a member that is not among `members` any more does not count
    as an owner.
    """
    return inspect_map(raw, members, _baseline(against), most_moved, bits)[0]


def checked_map(
    raw: Any,
    members: Collection[str] | None = None,
    against: ShardMap | None = None,
    most_moved: Fraction | None = MAX_MOVED_SHARE,
    bits: int = KEY_BITS,
) -> ShardMap:
    """The map that `raw` holds; Faulty with all faults where it has any."""
    faults, generation, alone = inspect_map(
        raw, members, _baseline(against), most_moved, bits
    )
    if faults:
        raise InvalidMapError(faults)
    return ShardMap(generation, tuple(Range(*a[:3]) for a in alone), bits)


def evaluate_update(
    raw: Any,
    members: Collection[str] | None,
    against: ShardMap | None,
    most_moved: Fraction | None,
    bits: int,
) -> tuple[ShardMap | None, list[MapFault]]:
    """The map to put in force and its faults.

    Neither where it is the very one in force.
    """
    old = _baseline(against)
    faults, generation, alone = inspect_map(raw, members, old, most_moved, bits)
    if (
        old is not None
        and generation == old.generation
        and [f.kind for f in faults] == ["stale-generation"]
        and merged_ownership(alone) == merged_ownership(old.sole_ranges)
    ):
        return None, []
    if faults:
        return None, faults
    return ShardMap(generation, tuple(Range(*a[:3]) for a in alone), bits), []


@dataclass(frozen=True, slots=True)
class MapBaseline:
    """What a new map is held against.

    A file's own gaps and overlaps are not the new map's fault: keys that it gave to
    none or several have not changed their owner.
    """

    generation: int
    sole_ranges: list[SoleRange]

    @staticmethod
    def from_map(shard_map: ShardMap) -> MapBaseline:
        return MapBaseline(
            shard_map.generation,
            [(r.first, r.last, r.owner, n) for n, r in enumerate(shard_map.ranges)],
        )


def _baseline(against: ShardMap | None) -> MapBaseline | None:
    return None if against is None else MapBaseline.from_map(against)


def inspect_map(
    raw: Any,
    members: Collection[str] | None = None,
    old: MapBaseline | None = None,
    most_moved: Fraction | None = MAX_MOVED_SHARE,
    bits: int = KEY_BITS,
) -> tuple[list[MapFault], int, list[SoleRange]]:
    """The faults, the generation (-1 where it has none), and what exactly one entry
    covers, in order.
    """
    if not isinstance(raw, dict):
        return [MapFault("malformed", f"map: {_quoted(raw)} is no JSON object")], -1, []
    shapes, bad, inverted, strangers = list(_form_faults(raw)), [], [], []
    sound: list[Entry] = []
    owners: dict[int, str] = {}
    listed = raw.get("ranges")
    known = None if members is None else frozenset(members)
    for index, entry in enumerate(listed if type(listed) is list else ()):
        told = _parse_entry(entry, bits)
        if isinstance(told, str):
            bad.append(
                MapFault(
                    "malformed",
                    told.replace("entry", f"entry {index}", 1),
                    entries=(index,),
                )
            )
            continue
        first, last, owner = told
        if first <= last:
            sound.append(Entry(first, last, index))
            owners[index] = owner
        else:
            inverted.append(
                MapFault(
                    "inverted",
                    f"{format_range(first, last, bits)}: entry {index} ends before it "
                    "begins",
                    first,
                    last,
                    (index,),
                )
            )
        if known is not None and owner not in known:
            strangers.append(
                MapFault(
                    "unknown-owner",
                    f"{format_range(first, last, bits)}: entry {index} names "
                    f"{_quoted(owner)}, which is no member",
                    first,
                    last,
                    (index,),
                )
            )
    holes, alone = _coverage_faults(sound, owners, bits)
    generation: int = raw["generation"] if _is_generation(raw.get("generation")) else -1
    faults = [*shapes, *bad, *inverted, *strangers, *holes]
    if old is not None and generation >= 0:
        faults += _generation_faults(generation, alone, old)
    if old is not None and most_moved is not None:
        faults += _moved_share_faults(alone, old, known, most_moved, bits)
    return faults, generation, alone


# -- the form
# ------------------------------------------------------------------------------------


def _is_generation(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_GENERATION


def _quoted(value: Any) -> str:
    """A value as one short line of ASCII, whatever is in it."""
    if isinstance(value, dict | list):
        return "an object" if isinstance(value, dict) else "an array"
    text = json.dumps(value)
    return text if len(text) <= 80 else f"{text[:60]}... ({len(text)} characters)"


def _quoted_names(names: Iterable[Any]) -> str:
    return ", ".join(_quoted(name) for name in names)


def _form_faults(raw: dict[str, Any]) -> Iterator[MapFault]:
    if isinstance(raw, DuplicateFieldObject):
        yield MapFault(
            "malformed",
            f"map: twice the same field: {_quoted_names(raw.duplicate_fields)} (the last is judged)",
        )
    if "generation" not in raw:
        yield MapFault("malformed", "generation: it is missing")
    elif not _is_generation(raw["generation"]):
        yield MapFault(
            "malformed",
            f"generation: {_quoted(raw['generation'])} is no whole number below 2**63",
        )
    if "ranges" not in raw:
        yield MapFault("malformed", "ranges: they are missing")
    elif type(raw["ranges"]) is not list:
        yield MapFault("malformed", f"ranges: {_quoted(raw['ranges'])} is no array")
    if others := sorted(set(raw) - {"generation", "ranges"}):
        yield MapFault(
            "malformed", f"map: a field of unknown name: {_quoted_names(others)}"
        )


def _parse_entry(raw: Any, bits: int) -> tuple[int, int, str] | str:
    """A sound entry's ends and owner, or all that is wrong with its form in one line."""
    if type(raw) is dict and len(raw) == 3:
        first, last, owner = (
            parse_key(raw.get("from"), bits),
            parse_key(raw.get("to"), bits),
            raw.get("owner"),
        )
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
    wrong = []
    if isinstance(raw, DuplicateFieldObject):
        wrong.append(f"twice the same field: {_quoted_names(raw.duplicate_fields)}")
    wrong += [f'"{name}" is missing' for name in ENTRY_FIELDS if name not in raw]
    if others := sorted(set(raw) - set(ENTRY_FIELDS)):
        wrong.append(f"a field of unknown name: {_quoted_names(others)}")
    for name in ("from", "to"):
        if name in raw and parse_key(raw[name], bits) is None:
            wrong.append(
                f'"{name}" {_quoted(raw[name])} is not {bits // 4} lower-case hexadecimal digits'
            )
    if "owner" in raw and not (
        type(raw["owner"]) is str and raw["owner"] and raw["owner"].isprintable()
    ):
        wrong.append(f'"owner" {_quoted(raw["owner"])} is no name')
    ends = [f"{name} {_quoted(raw[name])}" for name in ("from", "to") if name in raw]
    return f"entry ({' '.join(ends)}): " + "; ".join(wrong)


# -- the keys
# ------------------------------------------------------------------------------------


def _coverage_faults(
    sound: list[Entry], owners: dict[int, str], bits: int
) -> tuple[list[MapFault], list[SoleRange]]:
    faults: list[MapFault] = []
    alone: list[SoleRange] = []
    left = OVERLAP_ENTRIES_NAMED
    before = -1  # the entry that ends where a gap begins
    gap: tuple[int, int] | None = None
    for first, last, indexes in covered_segments(sound, (1 << bits) - 1):
        if not indexes:
            gap = first, last
            continue
        if gap:
            faults.append(_gap_fault(*gap, before, indexes[0], bits))
            gap = None
        if len(indexes) == 1:
            alone.append((first, last, owners[indexes[0]], indexes[0]))
        else:
            named = tuple(indexes if len(indexes) <= left else indexes[:ENTRIES_SHOWN])
            left -= len(named)
            more = len(indexes) - len(named)
            faults.append(
                MapFault(
                    "overlap",
                    f"{format_range(first, last, bits)}: entries "
                    f"{', '.join(map(str, named))}{f' and {more} more' if more else ''} cover it",
                    first,
                    last,
                    named,
                    more,
                )
            )
        before = indexes[0]
    if gap:
        faults.append(_gap_fault(*gap, before, -1, bits))
    return faults, alone


def _gap_fault(first: int, last: int, before: int, after: int, bits: int) -> MapFault:
    beside = tuple(index for index in (before, after) if index >= 0)
    where = (
        f"between entries {before} and {after}"
        if len(beside) == 2
        else f"before entry {after}"
        if after >= 0
        else f"after entry {before}"
        if before >= 0
        else "there is no sound entry"
    )
    return MapFault(
        "gap",
        f"{format_range(first, last, bits)}: no entry covers it, {where}",
        first,
        last,
        beside,
    )


# -- against the map before
# ------------------------------------------------------------------------


def _generation_faults(
    generation: int, alone: list[SoleRange], old: MapBaseline
) -> Iterator[MapFault]:
    if generation > old.generation:
        return
    text = f"{generation}: not above {old.generation}, the old map's"
    if generation == old.generation:
        same = merged_ownership(alone) == merged_ownership(old.sole_ranges)
        text += ", and the content is " + ("the same" if same else "another")
    yield MapFault("stale-generation", text)


def merged_ownership(alone: Iterable[SoleRange]) -> list[tuple[int, int, str]]:
    """Who owns what, neighbouring ranges of one owner as one."""
    out: list[tuple[int, int, str]] = []
    for first, last, owner, _ in alone:
        if out and out[-1][2] == owner and out[-1][1] + 1 == first:
            out[-1] = out[-1][0], last, owner
        else:
            out.append((first, last, owner))
    return out


def owner_changes(
    alone: list[SoleRange], old: list[SoleRange]
) -> Iterator[tuple[int, int, str, int]]:
    """Stretches whose owner changes: first, last, the old owner, the new entry's index."""
    n = 0
    for first, last, owner, index in alone:
        while n < len(old) and old[n][1] < first:
            n += 1
        at = n
        while at < len(old) and old[at][0] <= last:
            if old[at][2] != owner:
                yield max(first, old[at][0]), min(last, old[at][1]), old[at][2], index
            at += 1


def _moved_share_faults(
    alone: list[SoleRange],
    old: MapBaseline,
    known: frozenset[str] | None,
    most: Fraction,
    bits: int,
) -> Iterator[MapFault]:
    moved = [
        c
        for c in owner_changes(alone, old.sole_ranges)
        if known is None or c[2] in known
    ]
    keys = sum(last - first + 1 for first, last, _, _ in moved)
    if keys > most * (1 << bits):
        entries = tuple(sorted({index for _, _, _, index in moved}))
        first, last = moved[0][0], moved[-1][1]
        yield MapFault(
            "moves-too-much",
            f"{format_range(first, last, bits)}: {keys} keys change their owner, "
            f"{keys / (1 << bits):.2%} of the space, more than {float(most):.2%}: entries "
            f"{', '.join(map(str, entries))}",
            first,
            last,
            entries,
        )


def count_moved_keys(new: ShardMap, old: ShardMap) -> int:
    """Keys whose owner is another one in `new`."""
    pairs = owner_changes(
        MapBaseline.from_map(new).sole_ranges, MapBaseline.from_map(old).sole_ranges
    )
    return sum(last - first + 1 for first, last, _, _ in pairs)
