"""Set operations on ranges of keys, both ends included.

Sequences of ranges are sorted and disjoint, unless a docstring says otherwise.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

KeyRange = tuple[int, int]
"""(first, last).

A plain tuple: the model checker orders messages, which hold ranges, by their `repr`.
"""


def intersection(left: Sequence[KeyRange], right: Sequence[KeyRange]) -> list[KeyRange]:
    """Return the keys that are in both `left` and `right`."""
    common: list[KeyRange] = []
    left_index = 0
    right_index = 0
    while left_index < len(left) and right_index < len(right):
        left_first, left_last = left[left_index]
        right_first, right_last = right[right_index]
        first = max(left_first, right_first)
        last = min(left_last, right_last)
        if first <= last:
            common.append((first, last))
        if left_last < right_last:
            left_index += 1
        else:
            right_index += 1
    return common


def difference(left: Sequence[KeyRange], right: Sequence[KeyRange]) -> list[KeyRange]:
    """Return the keys of `left` that are not in `right`."""
    remaining: list[KeyRange] = []
    start = 0
    for first, last in left:
        while start < len(right) and right[start][1] < first:
            start += 1
        next_first = first
        index = start
        while index < len(right) and right[index][0] <= last:
            removed_first, removed_last = right[index]
            if removed_first > next_first:
                remaining.append((next_first, removed_first - 1))
            next_first = removed_last + 1
            index += 1
        if next_first <= last:
            remaining.append((next_first, last))
    return remaining


def union(ranges: Iterable[KeyRange]) -> list[KeyRange]:
    """Return all keys, with adjacent ranges merged; the input may be unsorted and overlap."""
    merged: list[KeyRange] = []
    for first, last in sorted(ranges):
        if merged and first <= merged[-1][1] + 1:
            merged[-1] = (merged[-1][0], max(merged[-1][1], last))
        else:
            merged.append((first, last))
    return merged


def count_keys(ranges: Iterable[KeyRange]) -> int:
    """Return the total number of keys in all ranges."""
    return sum(last - first + 1 for first, last in ranges)
