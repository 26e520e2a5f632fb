"""Which entries of a map cover which keys, in one pass over the sorted entries."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator, Sequence

Entry = tuple[int, int, int]
"""(first, last, index): the keys of one entry, both ends included.

`last` is not below `first`; `index` is that of the entry in the file. A plain tuple:
sorting many of them takes a large part of a check.
"""

Segment = tuple[int, int, Sequence[int]]
"""(first, last, indexes): keys that are all covered by the same entries.

The entries are in order; none in a gap, several in an overlap. They are to be read
before the next segment is asked for: in an overlap it is one list that changes in
place, since copies would make the cost of nested entries quadratic.
"""


def covered_segments(entries: Sequence[Entry], top: int) -> Iterator[Segment]:
    """The whole space from 0 to `top`, cut wherever the covering entries change."""
    entries = sorted(entries)
    next_key = 0
    start = 0
    while start < len(entries):
        first, group_last, index = entries[start]
        if first > next_key:
            yield next_key, first - 1, ()
        # An entry that begins before the ones before it have ended belongs to their
        # group.
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
    """The segments of a group of entries without a gap between them."""
    ends = sorted((last + 1, index) for _, last, index in entries)
    active: list[int] = []
    key = entries[0][0]
    begun = 0
    ended = 0
    while ended < len(ends):
        while begun < len(entries) and entries[begun][0] == key:
            insort(active, entries[begun][2])
            begun += 1
        next_key = ends[ended][0]
        if begun < len(entries):
            next_key = min(next_key, entries[begun][0])
        yield key, next_key - 1, active
        while ended < len(ends) and ends[ended][0] == next_key:
            del active[bisect_left(active, ends[ended][1])]
            ended += 1
        key = next_key
