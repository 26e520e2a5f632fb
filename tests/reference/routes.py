"""Maintains the set of endpoints from the endpoint list, operators' calls and settings."""

from __future__ import annotations

from rainfall.dispatch import (
    DestinationKind,
    EndpointListChanged,
    EndpointListKind,
    EndpointState,
    RecordOutage,
    Settings,
)
from tests.reference.books import Books
from tests.reference.health import cold
from tests.reference.limits import pace
from tests.reference.state import Target

ASK_LEAST_US, ASK_MOST_US = 200_000, 400_000
"""Bounds of the random delay after a failed request for the list. It does not grow with the
number of failures: a change must take effect within 6 s of reaching discovery. When this copy
was made, net/discovery.py had the calculation.
"""
THE_LIST = -1  # agenda entry, in place of a destination, for requesting the list
MOST_GONE = 8_192  # as in rainfall/dispatch now; 200 when this copy was made


def listed(b: Books, event: EndpointListChanged) -> None:
    """Applies the list. A drained or removed endpoint gets no new calls from this round on."""
    if event.kind is EndpointListKind.FAILED:
        b.agenda.add(b.now + b.random.randrange(ASK_LEAST_US, ASK_MOST_US), THE_LIST)
        return
    if event.kind is not EndpointListKind.CHANGES:
        for target in b.targets.values():
            target.serving = False
    for e in event.entries:
        known = b.targets.get(e.endpoint)
        if known is None or known.destination != e.destination:
            kind = b.kinds.get(e.kind, DestinationKind(e.kind))
            place = b.place(e.destination, e.endpoint, kind.endpoint_scoped)
            known = b.targets[e.endpoint] = Target(
                e.endpoint,
                e.destination,
                e.zone,
                e.weight,
                place,
                e.kind,
                kind.max_batch_size,
                kind.endpoint_scoped,
            )
        known.zone, known.weight, known.serving = (
            e.zone,
            e.weight,
            e.state is EndpointState.SERVING,
        )
    gone = [
        t for t in b.targets.values() if not (t.serving or t.out or t.id in b.detached)
    ]
    for t in gone[
        : max(0, len(gone) - MOST_GONE)
    ]:  # replaced endpoints must not accumulate over months
        del b.targets[t.id]
        if t.apart:
            b.places.pop((t.destination, t.id), None)
    sort_targets(b)


def sort_targets(b: Books) -> None:
    """Regroups the endpoints that serve by the list and are not disabled by an operator."""
    b.by_destination = {}
    for target in b.targets.values():
        if target.serving and target.id not in b.detached:
            b.by_destination.setdefault(target.destination, []).append(target)
    b.looks.update(b.held.piles)


def detached(b: Books, target: int) -> None:
    b.detached.add(target)
    sort_targets(b)


def attached(b: Books, target: int) -> None:
    """Enables an endpoint, which may have restarted: earlier estimates no longer apply, and the
    window of an endpoint with its own limit grows from one call. Calls start slowly only if
    it was in an outage before (rule 4).
    """
    if target not in b.detached:
        return
    b.detached.discard(target)
    sort_targets(b)
    t = b.targets.get(target)
    if t is None:
        return
    if cold(b, t):
        t.back_at = t.tried_at = b.now
    else:
        t.outage_at = t.back_at = -1
    b.actions.append(RecordOutage(t.id, t.outage_at, t.back_at))
    t.failing, t.idle_at = 0.0, -1
    t.spread = (
        b.random.random() if cold(b, t) else 1.0
    )  # it becomes available to all forwarders at once
    if t.apart:
        t.place.window, t.place.mean, t.place.mean_at, t.place.rest = 1.0, 0.0, -1, 0


def retuned(b: Books, settings: Settings) -> None:
    """Applies new settings. Values derived from the old ones are dropped; values that an endpoint
    reported are kept.
    """
    old = b.s
    b.adopt(settings)
    b.idle_us = min(b.idle_us, b.idle_top) if old.idle_connection_us else b.idle_top
    if (settings.tenants, settings.forwarder_count) != (
        old.tenants,
        old.forwarder_count,
    ):
        b.purses.clear()
    for t in b.targets.values():
        kind = b.kinds.get(t.kind, DestinationKind(t.kind))
        t.batch = kind.max_batch_size
        if t.apart is not kind.endpoint_scoped:
            t.apart = kind.endpoint_scoped
            t.place.out -= t.out
            place = b.place(t.destination, t.id, t.apart)
            place.out += t.out
            place.wait_until = max(place.wait_until, t.place.wait_until)
            t.place = place
        if (settings.forwarder_count, settings.endpoint_weights_known) != (
            old.forwarder_count,
            old.endpoint_weights_known,
        ):
            t.place.shares = min(t.place.shares, float(settings.forwarder_count))
            t.place.pace_at = min(t.place.pace_at, b.now + int(pace(b, t)))
    b.looks.update(b.held.piles)
