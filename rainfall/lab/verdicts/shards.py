"""Checks that no key had two owners at once, and measures how long keys had none.

An ``owns`` record states that ``member`` owns every key from ``from`` to ``to`` (16
hexadecimal digits, inclusive) from ``begin_ns`` to ``end_ns``, which is null while the
ownership lasts. The key space is cut at the ends of all ranges, so that all keys of a
piece have the same owners at any time: the result is exact for all 2**64 keys.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from rainfall.lab.verdicts.listing import LISTED_RECORDS

KEY_COUNT = 1 << 64
NS_PER_MS = 1e6


@dataclass(frozen=True, slots=True)
class OwnershipInterval:
    """A period in which a member owns a range of keys."""

    member: str
    first: int
    last: int
    generation: int
    begin_ns: int
    end_ns: int


class _Ownership(NamedTuple):
    """The identity of an ownership: the first fields of ``OwnershipInterval``."""

    member: str
    first: int
    last: int
    generation: int
    begin_ns: int


class OwnedKeys(NamedTuple):
    """A range of keys that have the same owners at any time."""

    first: int
    last: int
    intervals: list[OwnershipInterval]


class Overlap(NamedTuple):
    """A period in which keys had two owners."""

    first_owner: OwnershipInterval
    second_owner: OwnershipInterval
    begin_ns: int
    end_ns: int


def ownership_intervals(
    records: Iterable[Mapping[str, Any]], end_ns: int
) -> list[OwnershipInterval]:
    """The ownership intervals of a run that ends at ``end_ns``, ordered by begin.

    Of several records of one ownership, the first with an end counts. Without an end the
    interval lasts until its process ends, or until the run ends if no process end follows.
    """
    end_of_ownership: dict[_Ownership, int | None] = {}
    process_ends_ns: dict[str, list[int]] = {}
    for record in records:
        if record["kind"] == "process" and record["did"] == "ended":
            process_ends_ns.setdefault(record["member"], []).append(record["at_ns"])
        elif record["kind"] == "owns":
            ownership = _Ownership(
                record["member"],
                int(record["from"], 16),
                int(record["to"], 16),
                int(record["generation"]),
                record["begin_ns"],
            )
            if end_of_ownership.get(ownership) is None:
                end_of_ownership[ownership] = record["end_ns"]
    intervals = []
    for ownership, recorded_end_ns in end_of_ownership.items():
        begin_ns = ownership.begin_ns
        until_ns = recorded_end_ns
        if until_ns is None:
            ends_ns = process_ends_ns.get(ownership.member, [])
            until_ns = min(
                (at_ns for at_ns in ends_ns if at_ns >= begin_ns),
                default=max(end_ns, begin_ns),
            )
        if until_ns > begin_ns:
            intervals.append(OwnershipInterval(*ownership, end_ns=until_ns))
    intervals.sort(
        key=lambda interval: (interval.begin_ns, interval.first, interval.member)
    )
    return intervals


def split_by_ranges(intervals: list[OwnershipInterval]) -> list[OwnedKeys]:
    """Cut the key space at the ends of all ranges.

    All keys of a piece have the same intervals.
    """
    cuts = sorted(
        {0, KEY_COUNT}
        | {interval.first for interval in intervals}
        | {interval.last + 1 for interval in intervals}
    )
    owners: list[list[OwnershipInterval]] = [[] for _ in cuts]
    for interval in intervals:
        begin_index = bisect.bisect_left(cuts, interval.first)
        end_index = bisect.bisect_left(cuts, interval.last + 1)
        for index in range(begin_index, end_index):
            owners[index].append(interval)
    return [
        OwnedKeys(cuts[index], cuts[index + 1] - 1, owners[index])
        for index in range(len(cuts) - 1)
    ]


def check(records: Iterable[Mapping[str, Any]], end_ns: int) -> dict[str, Any]:
    """The result of the check.

    ``two_owners`` counts the periods in which a piece of the key space had two owners;
    ``two_owners_keys`` is the number of keys concerned and ``two_owners_longest_ms`` the
    longest period. ``unowned_keys`` counts keys without an owner at some time between
    their first owner and the end of the load, and ``unowned_longest_ms`` is the longest
    such gap. ``never_owned_keys`` counts keys that never had an owner (0 if no key had
    one).
    """
    intervals = ownership_intervals(records, end_ns)
    pieces = split_by_ranges(intervals) if intervals else []
    overlap_records: list[dict[str, Any]] = []
    overlapping_keys = 0
    unowned_keys = 0
    never_owned_keys = 0
    longest_overlap_ns = 0
    longest_gap_ns = 0
    for piece in pieces:
        key_count = piece.last - piece.first + 1
        if not piece.intervals:
            never_owned_keys += key_count
            continue
        overlaps = _overlaps(piece.intervals)
        gap_ns = _longest_gap_ns(piece.intervals, end_ns)
        for overlap in overlaps:
            longest_overlap_ns = max(
                longest_overlap_ns, overlap.end_ns - overlap.begin_ns
            )
            overlap_records.append(_overlap_record(piece, overlap))
        overlapping_keys += key_count * bool(overlaps)
        unowned_keys += key_count * bool(gap_ns)
        longest_gap_ns = max(longest_gap_ns, gap_ns)
    return {
        "seen": len(intervals),
        "two_owners": len(overlap_records),
        "two_owners_keys": overlapping_keys,
        "two_owners_longest_ms": longest_overlap_ns / NS_PER_MS,
        "two_owners_records": overlap_records[:LISTED_RECORDS],
        "unowned_keys": unowned_keys,
        "unowned_longest_ms": longest_gap_ns / NS_PER_MS,
        "never_owned_keys": never_owned_keys,
    }


def _overlap_record(piece: OwnedKeys, overlap: Overlap) -> dict[str, Any]:
    first_owner = overlap.first_owner
    second_owner = overlap.second_owner
    return {
        "from": f"{piece.first:016x}",
        "to": f"{piece.last:016x}",
        "members": [first_owner.member, second_owner.member],
        "generations": [first_owner.generation, second_owner.generation],
        "begin_ns": overlap.begin_ns,
        "end_ns": overlap.end_ns,
    }


def _overlaps(intervals: list[OwnershipInterval]) -> list[Overlap]:
    """The overlaps between intervals of different members.

    The intervals are ordered by begin.
    """
    overlaps: list[Overlap] = []
    active: list[OwnershipInterval] = []
    for interval in intervals:
        active = [other for other in active if other.end_ns > interval.begin_ns]
        for other in active:
            end_ns = min(other.end_ns, interval.end_ns)
            if other.member != interval.member and end_ns > interval.begin_ns:
                overlaps.append(Overlap(other, interval, interval.begin_ns, end_ns))
        active.append(interval)
    return overlaps


def _longest_gap_ns(intervals: list[OwnershipInterval], end_ns: int) -> int:
    """The longest time without an owner between the first interval and ``end_ns``."""
    covered_until_ns = intervals[0].begin_ns
    longest_ns = 0
    for interval in intervals:
        gap_ns = min(interval.begin_ns, end_ns) - covered_until_ns
        longest_ns = max(longest_ns, gap_ns)
        covered_until_ns = max(covered_until_ns, interval.end_ns)
    return max(longest_ns, end_ns - covered_until_ns, 0)
