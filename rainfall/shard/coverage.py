"""Sweep over the entries of a map: which entries cover which keys."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator, Sequence

Entry = tuple[int, int, int]
"""(first, last, index): the keys of one entry, both ends included.

`first <= last`; `index` is the position of the entry in the map. A plain tuple, since
sorting the entries takes a large part of the time of a check.
"""

Segment = tuple[int, int, Sequence[int]]
"""(first, last, indexes): consecutive keys that are covered by the same entries.

`indexes` is sorted; it is empty for a gap, and has several items for an overlap. Read it
before advancing the iterator: in an overlap it is one list that is modified in place,
since copies would make the cost of nested entries quadratic.
"""


def covered_segments(entries: Sequence[Entry], top: int) -> Iterator[Segment]:
    """Yield the key space from 0 to `top`, split where the set of covering entries changes."""
    entries = sorted(entries)
    next_key = 0
    start = 0
    while start < len(entries):
        first, group_last, index = entries[start]
        if first > next_key:
            yield next_key, first - 1, ()
        # An entry that overlaps an earlier entry of the group belongs to the group.
        end = start + 1
        while end < len(entries) and entries[end][0] <= group_last:
            group_last = max(group_last, entries[end][1])
            end += 1
        if end == start + 1:
            yield first, group_last, (index,)
        else:
            yield from _overlapping_segments(entries[start:end])
        next_key = group_last + 1
        start = end
    if next_key <= top:
        yield next_key, top, ()


def _overlapping_segments(entries: Sequence[Entry]) -> Iterator[Segment]:
    """Yield the segments of a group of entries without a gap between them."""
    ends = sorted((last + 1, index) for _, last, index in entries)
    active: list[int] = []
    key = entries[0][0]
    next_start = 0
    next_end = 0
    while next_end < len(ends):
        while next_start < len(entries) and entries[next_start][0] == key:
            insort(active, entries[next_start][2])
            next_start += 1
        next_key = ends[next_end][0]
        if next_start < len(entries):
            next_key = min(next_key, entries[next_start][0])
        yield key, next_key - 1, active
        while next_end < len(ends) and ends[next_end][0] == next_key:
            del active[bisect_left(active, ends[next_end][1])]
            next_end += 1
        key = next_key
