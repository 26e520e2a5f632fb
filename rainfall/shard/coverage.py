"""Which entries of a map cover which keys, in one pass over the sorted entries."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator, Sequence
from typing import NamedTuple


class Entry(NamedTuple):
    """The keys of one entry of a map, both ends included."""

    first: int
    last: int
    """Not below `first`."""
    position: int
    """The index of the entry in the file."""


class Segment(NamedTuple):
    """Keys that are all covered by the same entries."""

    first: int
    last: int
    positions: Sequence[int]
    """The entries, in order; none in a gap, several in an overlap.

    To be read before the next segment is asked for: in an overlap it is one list that
    changes in place. Copies would make the cost of nested entries quadratic.
    """


def covered_segments(entries: Sequence[Entry], top: int) -> Iterator[Segment]:
    """The whole space from 0 to `top`, cut wherever the covering entries change."""
    entries = sorted(entries)
    next_key = 0
    start = 0
    while start < len(entries):
        first = entries[start].first
        if first > next_key:
            yield Segment(next_key, first - 1, ())
        # An entry that begins before the ones before it have ended belongs to their
        # group.
        group_last = entries[start].last
        end = start + 1
        while end < len(entries) and entries[end].first <= group_last:
            group_last = max(group_last, entries[end].last)
            end += 1
        if end == start + 1:
            yield Segment(first, group_last, (entries[start].position,))
        else:
            yield from _overlapping_segments(entries[start:end])
        next_key = group_last + 1
        start = end
    if next_key <= top:
        yield Segment(next_key, top, ())


def _overlapping_segments(entries: Sequence[Entry]) -> Iterator[Segment]:
    """The segments of a group of entries without a gap between them."""
    ends = sorted((entry.last + 1, entry.position) for entry in entries)
    active: list[int] = []
    key = entries[0].first
    begun = 0
    ended = 0
    while ended < len(ends):
        while begun < len(entries) and entries[begun].first == key:
            insort(active, entries[begun].position)
            begun += 1
        next_key = ends[ended][0]
        if begun < len(entries):
            next_key = min(next_key, entries[begun].first)
        yield Segment(key, next_key - 1, active)
        while ended < len(ends) and ends[ended][0] == next_key:
            del active[bisect_left(active, ends[ended][1])]
            ended += 1
        key = next_key
