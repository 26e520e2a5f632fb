"""Which entries cover which keys: one pass over the sorted entries, the core of the
check.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator, Sequence

Entry = tuple[int, int, int]
"""First key, last key (not below the first), and the entry's index in the file."""


def covered_segments(
    entries: Sequence[Entry], top: int
) -> Iterator[tuple[int, int, Sequence[int]]]:
    """The whole space from 0 to `top`, in order, cut wherever the set of entries that
    cover a key changes: (first, last, their indexes in order). No index: a gap. More
    than one: an overlap, named once.

    The indexes of an overlap are read before the next step: it is one list, changed in
    place, since copies of it would make a file of nested entries cost the square of its
    length.
    """
    entries = sorted(entries)
    at = 0  # every key below it has been told
    n = 0
    while n < len(entries):
        first, last, index = entries[n]
        if first > at:
            yield at, first - 1, ()
        # Entries that begin before the ones before them have ended belong together.
        end, after = last, n + 1
        while after < len(entries) and entries[after][0] <= end:
            end = max(end, entries[after][1])
            after += 1
        if after == n + 1:
            yield first, last, (index,)
        else:
            yield from _overlapping_segments(entries[n:after])
        at, n = end + 1, after
    if at <= top:
        yield at, top, ()


def _overlapping_segments(
    entries: Sequence[Entry],
) -> Iterator[tuple[int, int, Sequence[int]]]:
    """The same for entries that overlap in a chain: no gap lies between them."""
    ends = sorted((last + 1, index) for _, last, index in entries)
    active: list[int] = []
    at, n, gone = entries[0][0], 0, 0
    while gone < len(ends):
        while n < len(entries) and entries[n][0] == at:
            insort(active, entries[n][2])
            n += 1
        after = ends[gone][0]
        if n < len(entries):
            after = min(after, entries[n][0])
        yield at, after - 1, active
        while gone < len(ends) and ends[gone][0] == after:
            del active[bisect_left(active, ends[gone][1])]
            gone += 1
        at = after
