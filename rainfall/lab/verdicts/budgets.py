"""Checks that the calls of all forwarders stayed within a destination's rate limit.

The limit applies to every sliding window.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from rainfall.lab.statuses import DELIVERED_STATUS, REJECTED_STATUSES

NS_PER_MS = 1_000_000
USE_DIGITS = 4
"""Decimal places of ratios."""


class FullestWindow(NamedTuple):
    """The number of calls in the fullest window, and the begin of the first such one."""

    calls: int
    begin_ns: int


def fullest_window(times_ns: Sequence[int], span_ns: int) -> FullestWindow:
    """The fullest half-open window [t, t + span) over sorted times. O(n).

    Only windows that begin at one of the times are tried. This is exact, because a
    fullest window can be moved right until it begins at its first call.
    """
    fullest = FullestWindow(0, 0)
    end = 0
    for first, begin_ns in enumerate(times_ns):
        while end < len(times_ns) and times_ns[end] - begin_ns < span_ns:
            end += 1
        if end - first > fullest.calls:
            fullest = FullestWindow(end - first, begin_ns)
    return fullest


def calls_over_limit(times_ns: Sequence[int], span_ns: int, calls: int) -> int:
    """How many calls exceeded the limit when they were sent.

    Such a call has at least ``calls`` others in the window that ends with it.
    """
    over = 0
    first = 0
    for index, at_ns in enumerate(times_ns):
        while at_ns - times_ns[first] >= span_ns:
            first += 1
        over += index - first + 1 > calls
    return over


def check(
    records: Sequence[Mapping[str, Any]],
    destination: int,
    calls: int,
    span_ms: int,
    end_ns: int,
) -> dict[str, Any]:
    """The result for one destination.

    ``over`` is the number of calls by which the fullest window exceeds the limit, and
    ``calls_over`` the number of calls that exceeded it when sent. ``used`` is the
    fraction of the limit that was sent during the load, ``used_accepted`` the fraction
    that endpoints did not reject.
    """
    sent_ns = sorted(
        record["at_ns"]
        for record in records
        if record["kind"] == "sent" and record["destination"] == destination
    )
    answered = [
        (record["at_ns"], record["status"])
        for record in records
        if record["kind"] == "call" and record["destination"] == destination
    ]
    span_ns = span_ms * NS_PER_MS
    fullest = fullest_window(sent_ns, span_ns)
    allowed_calls = calls * end_ns / span_ns
    used = sum(1 for at_ns in sent_ns if 0 <= at_ns < end_ns)
    accepted = sum(
        1
        for at_ns, status in answered
        if 0 <= at_ns < end_ns and status not in REJECTED_STATUSES
    )
    delivered = sum(1 for _, status in answered if status == DELIVERED_STATUS)
    rejected = sum(1 for _, status in answered if status in REJECTED_STATUSES)
    rejected_per_delivery = None
    if delivered:
        rejected_per_delivery = round(rejected / delivered, USE_DIGITS)
    return {
        "seen": len(sent_ns),
        "whole": calls,
        "span_ms": span_ms,
        "worst": fullest.calls,
        "worst_at_ns": fullest.begin_ns,
        "over": max(0, fullest.calls - calls),
        "calls_over": calls_over_limit(sent_ns, span_ns, calls),
        "used": round(used / allowed_calls, USE_DIGITS),
        "used_accepted": round(accepted / allowed_calls, USE_DIGITS),
        "delivered": delivered,
        "refused": rejected,
        "refused_per_delivery": rejected_per_delivery,
    }
