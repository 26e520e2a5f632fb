"""Limits on sending: slots, windows, the pace by this forwarder's share of a limit, and a
tenant's share.
"""

from __future__ import annotations

from tests.reference.books import NEVER, SECOND, Books
from tests.reference.health import cold, may_join, turn
from tests.reference.state import Place, Target

# share of the slots that one destination may use: three quarters by design
HEALTHY_CAP = 0.75
SICK_CAP = 0.5  # the same while it fails or is slow: half by design
SLOW_TIMES = 4  # an expected call above this many times its seed counts as slow
BURST_US = 700_000  # burst that the pace permits, as the calls of this time
PURSE_US = 2 * SECOND  # time by which a tenant may exceed its share
PURSE_LEAST = 4.0  # minimum for the same, in messages: this forwarder's part of a share may be far below one


def spend(now: int, spent_until: int, each: float, ahead: float) -> int:
    """Returns when the next item may be sent, if each takes the time `each` and unused time
    accumulates up to `ahead`.
    """
    return int(max(spent_until, now - max(0.0, ahead - each)) + each)


def over_share(b: Books, name: str | None) -> bool:
    """Returns whether a tenant has used up this forwarder's part of its share; messages beyond
    it have little value.
    """
    tenant = b.tenants.get(name or "")
    if tenant is None or not tenant.quota_per_s or b.s.over_quota_weight >= 1:
        return False
    each = SECOND * b.s.forwarder_count / tenant.quota_per_s
    spent_until = b.purses.get(tenant.name, -NEVER)
    if spent_until <= b.now:
        b.purses[tenant.name] = spend(
            b.now, spent_until, each, max(PURSE_US, PURSE_LEAST * each)
        )
    return spent_until > b.now


def pace(b: Books, t: Target) -> float:
    """Returns the interval between this forwarder's calls that keeps all forwarders together
    within the limit. An even share of a reported limit may be one call per minute; the reported
    remainder is more precise, so the interval is capped and no message expires because of it.
    """
    limit, share = (
        t.place.limit or (t.weight if b.s.endpoint_weights_known else 0.0),
        t.place.shares,
    )
    if not limit:
        return 0.0
    each = SECOND * b.s.forwarder_count / limit / share
    return min(each, b.least_time / 2 / min(1.0, share)) if t.place.limit else each


def paced(b: Books, t: Target) -> None:
    """Counts one call against the pace, or against the quota that replaces it."""
    if (share := b.shares.get(t.destination)) is not None:
        share.record_call(b.now)
        return
    each = pace(b, t) * (1 + b.apart * b.random.uniform(-0.5, 0.5))
    t.place.pace_at = spend(b.now, t.place.pace_at, each, BURST_US)


def cap(b: Books, place: Place) -> float:
    """Returns the window's maximum: three quarters of the slots, half while failing or slow, at
    least one.
    """
    sick = place.mean > SLOW_TIMES * place.seed > 0 or any(
        cold(b, t) and t.place is place
        for t in b.by_destination.get(place.destination, ())
    )
    return max(1.0, (SICK_CAP if sick else HEALTHY_CAP) * b.s.max_in_flight)


def room_at(b: Books, t: Target) -> int:
    """Returns when the limits that are the same for every message permit a call: slots, window,
    pace, backoff, turn.
    """
    call, place = b.round_calls.get(t.id), t.place
    joins = call is not None and call.joined < t.batch
    if call is not None and joins and (not cold(b, t) or may_join(b, t, call.joined)):
        return b.now
    here = sum(other.out for other in b.by_destination[t.destination])
    if not joins and (
        b.calls_out >= b.s.max_in_flight
        or here >= max(1, int(HEALTHY_CAP * b.s.max_in_flight))
        or place.out >= int(min(place.window, cap(b, place)))
    ):
        return NEVER
    share = b.shares.get(t.destination)
    paced_at = place.pace_at if share is None else share.available_at(b.now)
    at = max(place.wait_until, place.rest_until, paced_at)
    return max(at, t.tried_at + int(t.spread * turn(b, t))) if cold(b, t) else at


def has_room(b: Books, destination: int) -> bool:
    """Returns whether any message could be sent to a destination now."""
    return any(room_at(b, t) <= b.now for t in b.by_destination.get(destination, ()))
