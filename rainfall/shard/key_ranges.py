"""Arithmetic of stretches of keys: (first, last), inclusive.

A list of them is sorted and disjoint.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

KeyRange = tuple[int, int]


def intersection(a: Sequence[KeyRange], b: Sequence[KeyRange]) -> list[KeyRange]:
    """The keys in both."""
    out: list[KeyRange] = []
    n = m = 0
    while n < len(a) and m < len(b):
        first, last = max(a[n][0], b[m][0]), min(a[n][1], b[m][1])
        if first <= last:
            out.append((first, last))
        if a[n][1] < b[m][1]:
            n += 1
        else:
            m += 1
    return out


def difference(a: Sequence[KeyRange], b: Sequence[KeyRange]) -> list[KeyRange]:
    """The keys of `a` that are not in `b`."""
    out: list[KeyRange] = []
    m = 0
    for first, last in a:
        while m < len(b) and b[m][1] < first:
            m += 1
        at = m
        while at < len(b) and b[at][0] <= last:
            if b[at][0] > first:
                out.append((first, b[at][0] - 1))
            first = b[at][1] + 1
            at += 1
        if first <= last:
            out.append((first, last))
    return out


def union(spans: Iterable[KeyRange]) -> list[KeyRange]:
    """Sorted, disjoint, neighbours as one; they may come in any order and overlap."""
    out: list[KeyRange] = []
    for first, last in sorted(spans):
        if out and first <= out[-1][1] + 1:
            out[-1] = out[-1][0], max(out[-1][1], last)
        else:
            out.append((first, last))
    return out
