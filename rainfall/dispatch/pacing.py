"""Paces calls so that all forwarders together stay within a rate limit.

Each forwarder uses an adaptive number of even shares (limit / forwarders) of the limit.
For destinations with a quota the quota applies instead. Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.endpoints import Endpoint, ThrottleScope
from rainfall.dispatch.events import LoadReport
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import SECOND_US

BURST_US = 700_000
"""Burst allowed by the pace: the calls of this much unused time may be sent at once."""
INITIAL_EVEN_SHARES = 1.0
"""Even shares used initially, before `share_headroom` is applied."""
REJECTION_SHARE_FACTOR = 0.7
"""Factor by which a rejection reduces the even shares used."""
MIN_EVEN_SHARES = 0.1
"""Lower bound of the even shares used."""
DEADLINE_SHARE = 0.5
"""Maximum interval under a reported limit, as a fraction of the shortest deadline. It
is longer if the forwarder uses less than one even share.
"""
SUCCESS_SHARE_STEP = 0.05
"""Increase of the even shares used after a success, if enough of the limit is left."""
AMPLE_REMAINING_SHARE = 0.4
"""Remaining fraction of a limit above which a success increases the even shares."""


def take_permit(now: int, used_until: int, interval: float, burst_us: float) -> int:
    """Return the time up to which a rate is used up after one more call or message.

    This is a token bucket expressed as a time: each call or message takes one interval,
    and unused time counts up to `burst_us` back.
    """
    credit = max(0.0, burst_us - interval)
    return int(max(used_until, now - credit) + interval)


def pace_interval(state: DispatcherState, endpoint: Endpoint) -> float:
    """Return the interval between this forwarder's calls; 0 without a rate limit.

    At this interval all forwarders together keep the limit. An even share of a reported
    limit may amount to one call per minute. So that no message misses its deadline for
    that, the interval is then bounded (see `DEADLINE_SHARE`); the destination's reports
    of what is left of the limit are a better guide.
    """
    scope = endpoint.throttle_scope
    limit, shares = rate_limit(state, endpoint), scope.even_shares
    if not limit:
        return 0.0
    interval = SECOND_US * state.settings.forwarder_count / limit / shares
    if not scope.reported_limit:
        return interval
    return min(interval, state.shortest_deadline * DEADLINE_SHARE / min(1.0, shares))


def rate_limit(state: DispatcherState, endpoint: Endpoint) -> float:
    """Return the reported or listed rate limit in calls per second; 0 without one."""
    if endpoint.throttle_scope.reported_limit:
        return endpoint.throttle_scope.reported_limit
    return endpoint.weight if state.settings.endpoint_weights_known else 0.0


def count_call(state: DispatcherState, endpoint: Endpoint) -> None:
    """Count one call against the destination's quota, or the pace if it has none."""
    quota = state.quotas.get(endpoint.destination)
    if quota is not None:
        quota.record_call(state.now)
        return
    jitter = 1 + state.pace_jitter * state.random.uniform(-0.5, 0.5)
    interval = pace_interval(state, endpoint) * jitter
    scope = endpoint.throttle_scope
    scope.next_permit_at = take_permit(
        state.now, scope.next_permit_at, interval, BURST_US
    )


def initial_even_shares(state: DispatcherState) -> float:
    """Return the even shares that a new throttle scope starts with."""
    shares = INITIAL_EVEN_SHARES * state.share_headroom
    return min(float(state.settings.forwarder_count), shares)


def shrink_share(scope: ThrottleScope) -> None:
    """Reduce the even shares used after a rejection."""
    scope.even_shares = max(MIN_EVEN_SHARES, scope.even_shares * REJECTION_SHARE_FACTOR)


def grow_share(state: DispatcherState, scope: ThrottleScope) -> None:
    """Increase the even shares used after a success, if enough of the limit is left."""
    if scope.remaining_share > AMPLE_REMAINING_SHARE:
        grown = scope.even_shares + SUCCESS_SHARE_STEP * state.share_headroom
        scope.even_shares = min(float(state.settings.forwarder_count), grown)


def apply_load_report(scope: ThrottleScope, report: LoadReport) -> None:
    """Store the rate limit that a destination reported.

    The first report reduces the even shares used to at most one: unlike a listed or
    unknown limit, a reported one needs no allowance for errors.
    """
    if not scope.reported_limit:
        scope.even_shares = min(1.0, scope.even_shares)
    scope.reported_limit = report.limit_per_s
    scope.remaining_share = report.remaining_share
