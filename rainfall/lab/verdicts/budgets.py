"""Whether the calls that left all forwarders stayed within a destination's whole in
every sliding span.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

REJECTED_STATUSES = (429, 503)


def fullest_window(times_ns: Sequence[int], span_ns: int) -> tuple[int, int]:
    """The most of the (sorted) times in any half-open window [t, t + span), and where
    it begins first. Exact: a fullest window can always be moved right until it begins
    at one of the times. O(n).
    """
    worst, at, last = 0, 0, 0
    for first, begin in enumerate(times_ns):
        while last < len(times_ns) and times_ns[last] - begin < span_ns:
            last += 1
        if last - first > worst:
            worst, at = last - first, begin
    return worst, at


def calls_over_limit(times_ns: Sequence[int], span_ns: int, calls: int) -> int:
    """How many of the calls were beyond the whole as they left: each with ``calls``
    others in the span that ends with it.
    """
    over, first = 0, 0
    for n, at in enumerate(times_ns):
        while at - times_ns[first] >= span_ns:
            first += 1
        over += n - first + 1 > calls
    return over


def check(
    records: Iterable[Mapping[str, Any]],
    destination: int,
    calls: int,
    span_ms: int,
    end_ns: int,
) -> dict[str, Any]:
    """The figures of one destination.

    ``over`` is by how many calls the worst sliding span passes the whole,
    ``calls_over`` how many calls left beyond it, ``used`` the part of the whole sent
    from the load's start to its end, ``used_accepted`` the part that endpoints did not
    refuse.
    """
    sent: list[int] = []
    at_endpoints: list[tuple[int, int]] = []
    for record in records:
        if record["kind"] == "sent" and record["destination"] == destination:
            sent.append(record["at_ns"])
        elif record["kind"] == "call" and record["destination"] == destination:
            at_endpoints.append((record["at_ns"], record["status"]))
    sent.sort()
    span_ns = span_ms * 1_000_000
    worst, fullest_at_ns = fullest_window(sent, span_ns)
    allowed_calls = calls * end_ns / span_ns
    accepted = sum(
        1
        for at_ns, status in at_endpoints
        if 0 <= at_ns < end_ns and status not in REJECTED_STATUSES
    )
    delivered = sum(1 for _, status in at_endpoints if status == 200)
    refused = sum(1 for _, status in at_endpoints if status in REJECTED_STATUSES)
    return {
        "seen": len(sent),
        "whole": calls,
        "span_ms": span_ms,
        "worst": worst,
        "worst_at_ns": fullest_at_ns,
        "over": max(0, worst - calls),
        "calls_over": calls_over_limit(sent, span_ns, calls),
        "used": round(
            sum(1 for at_ns in sent if 0 <= at_ns < end_ns) / allowed_calls, 4
        ),
        "used_accepted": round(accepted / allowed_calls, 4),
        "delivered": delivered,
        "refused": refused,
        "refused_per_delivery": round(refused / delivered, 4) if delivered else None,
    }
