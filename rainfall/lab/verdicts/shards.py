"""Whether any key had two owners acting, and for how long keys had none.

An ``owns`` record: ``member`` acts for every key from ``from`` to ``to`` (16
hexadecimal digits, inclusive) from ``begin_ns`` to ``end_ns``, which is null while it
lasts. The keys are cut at every range's ends, so that within one piece all keys have
the same owners at each moment: the result is exact for all 2**64.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

SHOWN = 20


@dataclass(frozen=True, slots=True)
class Owned:
    member: str
    first: int
    last: int
    generation: int
    begin_ns: int
    end_ns: int


def owned(records: Iterable[Mapping[str, Any]], end_ns: int) -> list[Owned]:
    """The stretches of owning. Of records of one beginning an ended one counts over an
    open one; an open one ends where its process next does, else with the run.
    """
    open_until: dict[tuple[str, int, int, int, int], int | None] = {}
    ends: dict[str, list[int]] = {}
    for r in records:
        if r["kind"] == "process" and r["did"] == "ended":
            ends.setdefault(r["member"], []).append(r["at_ns"])
        elif r["kind"] == "owns":
            key = (
                r["member"],
                int(r["from"], 16),
                int(r["to"], 16),
                int(r["generation"]),
                r["begin_ns"],
            )
            if open_until.get(key) is None:
                open_until[key] = r["end_ns"]
    stretches = []
    for (member, first, last, generation, begin), until in open_until.items():
        if until is None:
            until = min(
                (at for at in ends.get(member, []) if at >= begin),
                default=max(end_ns, begin),
            )
        if until > begin:  # an owner for no time acted for no key
            stretches.append(Owned(member, first, last, generation, begin, until))
    return sorted(stretches, key=lambda s: (s.begin_ns, s.first, s.member))


def pieces(stretches: list[Owned]) -> list[tuple[int, int, list[Owned]]]:
    """The key space cut at the ranges' ends: (first, last, the stretches that hold
    those keys).
    """
    cuts = sorted(
        {0, 1 << 64} | {s.first for s in stretches} | {s.last + 1 for s in stretches}
    )
    held: list[list[Owned]] = [[] for _ in cuts]
    for s in stretches:
        for n in range(
            bisect.bisect_left(cuts, s.first), bisect.bisect_left(cuts, s.last + 1)
        ):
            held[n].append(s)
    return [(cuts[n], cuts[n + 1] - 1, held[n]) for n in range(len(cuts) - 1)]


def check(records: Iterable[Mapping[str, Any]], end_ns: int) -> dict[str, Any]:
    """``two_owners``: how many times a piece had two members acting at once, with
    ``two_owners_keys`` keys ever and ``two_owners_longest_ms``; ``unowned_keys`` had
    none at some time between their first owner and the end of the load,
    ``unowned_longest_ms`` at most; ``never_owned_keys`` none at all (0 where none was
    seen).
    """
    stretches = owned(records, end_ns)
    doubled: list[dict[str, Any]] = []
    doubled_keys = gap_keys = never = longest = gap_longest = 0
    for first, last, here in pieces(stretches) if stretches else []:
        if not here:
            never += last - first + 1
            continue
        both, gap = _overlaps(here), _longest_gap(here, end_ns)
        for a, b, begin, end in both:
            longest = max(longest, end - begin)
            doubled.append(
                {
                    "from": f"{first:016x}",
                    "to": f"{last:016x}",
                    "members": [a.member, b.member],
                    "generations": [a.generation, b.generation],
                    "begin_ns": begin,
                    "end_ns": end,
                }
            )
        doubled_keys += (last - first + 1) * bool(both)
        gap_keys += (last - first + 1) * bool(gap)
        gap_longest = max(gap_longest, gap)
    return {
        "seen": len(stretches),
        "two_owners": len(doubled),
        "two_owners_keys": doubled_keys,
        "two_owners_longest_ms": longest / 1e6,
        "two_owners_records": doubled[:SHOWN],
        "unowned_keys": gap_keys,
        "unowned_longest_ms": gap_longest / 1e6,
        "never_owned_keys": never,
    }


def _overlaps(here: list[Owned]) -> list[tuple[Owned, Owned, int, int]]:
    """Pairs of stretches of different members that share time; each pair once, ``here``
    by beginning.
    """
    found = []
    active: list[Owned] = []
    for s in here:
        active = [a for a in active if a.end_ns > s.begin_ns]
        for a in active:
            until = min(a.end_ns, s.end_ns)
            if a.member != s.member and until > s.begin_ns:
                found.append((a, s, s.begin_ns, until))
        active.append(s)
    return found


def _longest_gap(here: list[Owned], end_ns: int) -> int:
    covered, longest = here[0].begin_ns, 0
    for s in here:
        longest = max(longest, min(s.begin_ns, end_ns) - covered)
        covered = max(covered, s.end_ns)
    return max(longest, end_ns - covered, 0)
