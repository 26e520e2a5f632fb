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

LISTED_RECORDS = 20


@dataclass(frozen=True, slots=True)
class OwnershipInterval:
    member: str
    first: int
    last: int
    generation: int
    begin_ns: int
    end_ns: int


def ownership_intervals(
    records: Iterable[Mapping[str, Any]], end_ns: int
) -> list[OwnershipInterval]:
    """The stretches of owning.

    Of records of one beginning an ended one counts over an open one; an open one ends
    where its process next does, else with the run.
    """
    open_until: dict[tuple[str, int, int, int, int], int | None] = {}
    ends: dict[str, list[int]] = {}
    for record in records:
        if record["kind"] == "process" and record["did"] == "ended":
            ends.setdefault(record["member"], []).append(record["at_ns"])
        elif record["kind"] == "owns":
            key = (
                record["member"],
                int(record["from"], 16),
                int(record["to"], 16),
                int(record["generation"]),
                record["begin_ns"],
            )
            if open_until.get(key) is None:
                open_until[key] = record["end_ns"]
    intervals = []
    for (member, first, last, generation, begin_ns), until_ns in open_until.items():
        if until_ns is None:
            until_ns = min(
                (at for at in ends.get(member, []) if at >= begin_ns),
                default=max(end_ns, begin_ns),
            )
        if until_ns > begin_ns:  # an owner for no time acted for no key
            intervals.append(
                OwnershipInterval(member, first, last, generation, begin_ns, until_ns)
            )
    return sorted(intervals, key=lambda s: (s.begin_ns, s.first, s.member))


def split_by_ranges(
    intervals: list[OwnershipInterval],
) -> list[tuple[int, int, list[OwnershipInterval]]]:
    """The key space cut at the ranges' ends: (first, last, the stretches that hold
    those keys).
    """
    cuts = sorted(
        {0, 1 << 64}
        | {interval.first for interval in intervals}
        | {interval.last + 1 for interval in intervals}
    )
    held: list[list[OwnershipInterval]] = [[] for _ in cuts]
    for interval in intervals:
        for index in range(
            bisect.bisect_left(cuts, interval.first),
            bisect.bisect_left(cuts, interval.last + 1),
        ):
            held[index].append(interval)
    return [
        (cuts[index], cuts[index + 1] - 1, held[index])
        for index in range(len(cuts) - 1)
    ]


def check(records: Iterable[Mapping[str, Any]], end_ns: int) -> dict[str, Any]:
    """``two_owners``: how many times a piece had two members acting at once, with
    ``two_owners_keys`` keys ever and ``two_owners_longest_ms``; ``unowned_keys`` had
    none at some time between their first owner and the end of the load,
    ``unowned_longest_ms`` at most; ``never_owned_keys`` none at all (0 where none was
    seen).
    """
    intervals = ownership_intervals(records, end_ns)
    doubled: list[dict[str, Any]] = []
    doubled_keys = gap_keys = never_owned_keys = longest = gap_longest = 0
    for first, last, owners in split_by_ranges(intervals) if intervals else []:
        if not owners:
            never_owned_keys += last - first + 1
            continue
        overlaps, gap = _overlaps(owners), _longest_gap(owners, end_ns)
        for first_owner, second_owner, begin, end in overlaps:
            longest = max(longest, end - begin)
            doubled.append(
                {
                    "from": f"{first:016x}",
                    "to": f"{last:016x}",
                    "members": [first_owner.member, second_owner.member],
                    "generations": [first_owner.generation, second_owner.generation],
                    "begin_ns": begin,
                    "end_ns": end,
                }
            )
        doubled_keys += (last - first + 1) * bool(overlaps)
        gap_keys += (last - first + 1) * bool(gap)
        gap_longest = max(gap_longest, gap)
    return {
        "seen": len(intervals),
        "two_owners": len(doubled),
        "two_owners_keys": doubled_keys,
        "two_owners_longest_ms": longest / 1e6,
        "two_owners_records": doubled[:LISTED_RECORDS],
        "unowned_keys": gap_keys,
        "unowned_longest_ms": gap_longest / 1e6,
        "never_owned_keys": never_owned_keys,
    }


def _overlaps(
    here: list[OwnershipInterval],
) -> list[tuple[OwnershipInterval, OwnershipInterval, int, int]]:
    """Pairs of stretches of different members that share time; each pair once, ``here``
    by beginning.
    """
    found = []
    active: list[OwnershipInterval] = []
    for interval in here:
        active = [other for other in active if other.end_ns > interval.begin_ns]
        for other in active:
            until = min(other.end_ns, interval.end_ns)
            if other.member != interval.member and until > interval.begin_ns:
                found.append((other, interval, interval.begin_ns, until))
        active.append(interval)
    return found


def _longest_gap(here: list[OwnershipInterval], end_ns: int) -> int:
    covered, longest = here[0].begin_ns, 0
    for interval in here:
        longest = max(longest, min(interval.begin_ns, end_ns) - covered)
        covered = max(covered, interval.end_ns)
    return max(longest, end_ns - covered, 0)
