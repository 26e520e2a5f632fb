"""The check of a map: every key exactly once, no gaps. One function for the tool, for
what the service is asked to write, and for each forwarder before it adopts a map,
whoever sent it.

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

from rainfall.shard.cover import Entry, cover
from rainfall.shard.maps import (
    BITS,
    MOST_GENERATION,
    Doubled,
    Range,
    ShardMap,
    key_from,
    span_text,
)

KINDS = (
    "malformed",
    "inverted",
    "unknown-owner",
    "gap",
    "overlap",
    "stale-generation",
    "moves-too-much",
)
MOST_MOVED = Fraction(1, 2)
# entries named in all overlaps of one check; past that each names the first few
NAMED = 1_000_000
FEW = 16
FIELDS = ("from", "to", "owner")


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. `first` and `last` are the keys it is about, None where it is about
    none; `entries` are indexes in the file; `more` counts those left out (only past a
    million in one check).
    """

    kind: str
    text: str
    first: int | None = None
    last: int | None = None
    entries: tuple[int, ...] = ()
    more: int = 0

    def __str__(self) -> str:
        return f"{self.kind} {self.text}"


class Faulty(Exception):
    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(map(str, faults[:FEW])))
        self.faults = faults


Alone = tuple[int, int, str, int]
"""Keys that one entry alone covers: first, last, owner, index."""


def check(
    raw: Any,
    members: Collection[str] | None = None,
    against: ShardMap | None = None,
    most_moved: Fraction | None = MOST_MOVED,
    bits: int = BITS,
) -> list[Fault]:
    """All faults of the map that `raw`, a decoded JSON value, holds; none: it may come
    into force.

    `members`: who may own a range. `against`: the map in force; the new one's
    generation is above its, and at most `most_moved` of the key space changes its owner
    (None: any part), where a member that is not among `members` any more does not count
    as an owner.
    """
    return look(raw, members, _old(against), most_moved, bits)[0]


def checked(
    raw: Any,
    members: Collection[str] | None = None,
    against: ShardMap | None = None,
    most_moved: Fraction | None = MOST_MOVED,
    bits: int = BITS,
) -> ShardMap:
    """The map that `raw` holds; Faulty with all faults where it has any."""
    faults, generation, alone = look(raw, members, _old(against), most_moved, bits)
    if faults:
        raise Faulty(faults)
    return ShardMap(generation, tuple(Range(*a[:3]) for a in alone), bits)


def judged(
    raw: Any,
    members: Collection[str] | None,
    against: ShardMap | None,
    most_moved: Fraction | None,
    bits: int,
) -> tuple[ShardMap | None, list[Fault]]:
    """The map to put in force and its faults. Neither where it is the very one in
    force.
    """
    old = _old(against)
    faults, generation, alone = look(raw, members, old, most_moved, bits)
    if (
        old is not None
        and generation == old.generation
        and [f.kind for f in faults] == ["stale-generation"]
        and joined(alone) == joined(old.alone)
    ):
        return None, []
    if faults:
        return None, faults
    return ShardMap(generation, tuple(Range(*a[:3]) for a in alone), bits), []


@dataclass(frozen=True, slots=True)
class Old:
    """What a new map is held against. A file's own gaps and overlaps are not the new
    map's fault: keys that it gave to none or several have not changed their owner.
    """

    generation: int
    alone: list[Alone]

    @staticmethod
    def of(old: ShardMap) -> Old:
        return Old(
            old.generation,
            [(r.first, r.last, r.owner, n) for n, r in enumerate(old.ranges)],
        )


def _old(against: ShardMap | None) -> Old | None:
    return None if against is None else Old.of(against)


def look(
    raw: Any,
    members: Collection[str] | None = None,
    old: Old | None = None,
    most_moved: Fraction | None = MOST_MOVED,
    bits: int = BITS,
) -> tuple[list[Fault], int, list[Alone]]:
    """The faults, the generation (-1 where it has none), and what exactly one entry
    covers, in order.
    """
    if not isinstance(raw, dict):
        return [Fault("malformed", f"map: {_quoted(raw)} is no JSON object")], -1, []
    shapes, bad, inverted, strangers = list(_shape(raw)), [], [], []
    sound: list[Entry] = []
    owners: dict[int, str] = {}
    listed = raw.get("ranges")
    known = None if members is None else frozenset(members)
    for index, entry in enumerate(listed if type(listed) is list else ()):
        told = _entry(entry, bits)
        if isinstance(told, str):
            bad.append(
                Fault(
                    "malformed",
                    told.replace("entry", f"entry {index}", 1),
                    entries=(index,),
                )
            )
            continue
        first, last, owner = told
        if first <= last:
            sound.append((first, last, index))
            owners[index] = owner
        else:
            inverted.append(
                Fault(
                    "inverted",
                    f"{span_text(first, last, bits)}: entry {index} ends before it "
                    "begins",
                    first,
                    last,
                    (index,),
                )
            )
        if known is not None and owner not in known:
            strangers.append(
                Fault(
                    "unknown-owner",
                    f"{span_text(first, last, bits)}: entry {index} names "
                    f"{_quoted(owner)}, which is no member",
                    first,
                    last,
                    (index,),
                )
            )
    holes, alone = _cover(sound, owners, bits)
    generation: int = raw["generation"] if _is_generation(raw.get("generation")) else -1
    faults = [*shapes, *bad, *inverted, *strangers, *holes]
    if old is not None and generation >= 0:
        faults += _against(generation, alone, old)
    if old is not None and most_moved is not None:
        faults += _moves(alone, old, known, most_moved, bits)
    return faults, generation, alone


# -- the form
# ------------------------------------------------------------------------------------


def _is_generation(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MOST_GENERATION


def _quoted(value: Any) -> str:
    """A value as one short line of ASCII, whatever is in it."""
    if isinstance(value, dict | list):
        return "an object" if isinstance(value, dict) else "an array"
    text = json.dumps(value)
    return text if len(text) <= 80 else f"{text[:60]}... ({len(text)} characters)"


def _names(names: Iterable[Any]) -> str:
    return ", ".join(_quoted(name) for name in names)


def _shape(raw: dict[str, Any]) -> Iterator[Fault]:
    if isinstance(raw, Doubled):
        yield Fault(
            "malformed",
            f"map: twice the same field: {_names(raw.twice)} (the last is judged)",
        )
    if "generation" not in raw:
        yield Fault("malformed", "generation: it is missing")
    elif not _is_generation(raw["generation"]):
        yield Fault(
            "malformed",
            f"generation: {_quoted(raw['generation'])} is no whole number below 2**63",
        )
    if "ranges" not in raw:
        yield Fault("malformed", "ranges: they are missing")
    elif type(raw["ranges"]) is not list:
        yield Fault("malformed", f"ranges: {_quoted(raw['ranges'])} is no array")
    if others := sorted(set(raw) - {"generation", "ranges"}):
        yield Fault("malformed", f"map: a field of unknown name: {_names(others)}")


def _entry(raw: Any, bits: int) -> tuple[int, int, str] | str:
    """A sound entry's ends and owner, or all that is wrong with its form in one
    line.
    """
    if type(raw) is dict and len(raw) == 3:
        first, last, owner = (
            key_from(raw.get("from"), bits),
            key_from(raw.get("to"), bits),
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
    if isinstance(raw, Doubled):
        wrong.append(f"twice the same field: {_names(raw.twice)}")
    wrong += [f'"{name}" is missing' for name in FIELDS if name not in raw]
    if others := sorted(set(raw) - set(FIELDS)):
        wrong.append(f"a field of unknown name: {_names(others)}")
    for name in ("from", "to"):
        if name in raw and key_from(raw[name], bits) is None:
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


def _cover(
    sound: list[Entry], owners: dict[int, str], bits: int
) -> tuple[list[Fault], list[Alone]]:
    faults: list[Fault] = []
    alone: list[Alone] = []
    left = NAMED
    before = -1  # the entry that ends where a gap begins
    gap: tuple[int, int] | None = None
    for first, last, indexes in cover(sound, (1 << bits) - 1):
        if not indexes:
            gap = first, last
            continue
        if gap:
            faults.append(_gap(*gap, before, indexes[0], bits))
            gap = None
        if len(indexes) == 1:
            alone.append((first, last, owners[indexes[0]], indexes[0]))
        else:
            named = tuple(indexes if len(indexes) <= left else indexes[:FEW])
            left -= len(named)
            more = len(indexes) - len(named)
            faults.append(
                Fault(
                    "overlap",
                    f"{span_text(first, last, bits)}: entries "
                    f"{', '.join(map(str, named))}{f' and {more} more' if more else ''} cover it",
                    first,
                    last,
                    named,
                    more,
                )
            )
        before = indexes[0]
    if gap:
        faults.append(_gap(*gap, before, -1, bits))
    return faults, alone


def _gap(first: int, last: int, before: int, after: int, bits: int) -> Fault:
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
    return Fault(
        "gap",
        f"{span_text(first, last, bits)}: no entry covers it, {where}",
        first,
        last,
        beside,
    )


# -- against the map before
# ------------------------------------------------------------------------


def _against(generation: int, alone: list[Alone], old: Old) -> Iterator[Fault]:
    if generation > old.generation:
        return
    text = f"{generation}: not above {old.generation}, the old map's"
    if generation == old.generation:
        same = joined(alone) == joined(old.alone)
        text += ", and the content is " + ("the same" if same else "another")
    yield Fault("stale-generation", text)


def joined(alone: Iterable[Alone]) -> list[tuple[int, int, str]]:
    """Who owns what, neighbouring ranges of one owner as one."""
    out: list[tuple[int, int, str]] = []
    for first, last, owner, _ in alone:
        if out and out[-1][2] == owner and out[-1][1] + 1 == first:
            out[-1] = out[-1][0], last, owner
        else:
            out.append((first, last, owner))
    return out


def changes(
    alone: list[Alone], old: list[Alone]
) -> Iterator[tuple[int, int, str, int]]:
    """Stretches whose owner changes: first, last, the old owner, the new entry's
    index.
    """
    n = 0
    for first, last, owner, index in alone:
        while n < len(old) and old[n][1] < first:
            n += 1
        at = n
        while at < len(old) and old[at][0] <= last:
            if old[at][2] != owner:
                yield max(first, old[at][0]), min(last, old[at][1]), old[at][2], index
            at += 1


def _moves(
    alone: list[Alone],
    old: Old,
    known: frozenset[str] | None,
    most: Fraction,
    bits: int,
) -> Iterator[Fault]:
    moved = [c for c in changes(alone, old.alone) if known is None or c[2] in known]
    keys = sum(last - first + 1 for first, last, _, _ in moved)
    if keys > most * (1 << bits):
        entries = tuple(sorted({index for _, _, _, index in moved}))
        first, last = moved[0][0], moved[-1][1]
        yield Fault(
            "moves-too-much",
            f"{span_text(first, last, bits)}: {keys} keys change their owner, "
            f"{keys / (1 << bits):.2%} of the space, more than {float(most):.2%}: entries "
            f"{', '.join(map(str, entries))}",
            first,
            last,
            entries,
        )


def moved_keys(new: ShardMap, old: ShardMap) -> int:
    """Keys whose owner is another one in `new`."""
    pairs = changes(Old.of(new).alone, Old.of(old).alone)
    return sum(last - first + 1 for first, last, _, _ in pairs)
