"""Pacing: calls are spread so that all forwarders together keep a rate limit.

A forwarder takes an adaptive number of even shares (limit / forwarders). Where it has a
quota, that takes the place of the pace. Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.endpoints import Endpoint, ThrottleScope
from rainfall.dispatch.events import LoadReport
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import SECOND_US

BURST_US = 700_000
"""The pace lets through at once what it earns in this time."""
INITIAL_EVEN_SHARES = 1.0
"""Even shares taken at first, in a very large fleet."""
REJECTION_SHARE_FACTOR = 0.7
"""A rejection shrinks the shares taken by this factor."""
LEAST_EVEN_SHARES = 0.1
DEADLINE_SHARE = 0.5
"""An interval by a reported limit takes this share of the shortest deadline at most."""
SUCCESS_SHARE_STEP = 0.05
"""Even shares by which a success with much of the limit left grows those taken."""
AMPLE_REMAINING_SHARE = 0.4
"""Share of a limit that counts as much left."""


def take_permit(now: int, used_until: int, interval: float, saved_us: float) -> int:
    """The time up to which a rate is used once one more has gone.

    Each one takes an interval. What was not used counts up to `saved_us` back.
    """
    saved = max(0.0, saved_us - interval)
    return int(max(used_until, now - saved) + interval)


def pace_interval(state: DispatcherState, endpoint: Endpoint) -> float:
    """The time between our calls by which all forwarders keep the limit; 0 without one.

    An even share of a reported limit may be one call in a minute. What the destination
    reports to be left says more, so no message misses its deadline for that.
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
    """The rate limit in calls a second, reported or listed; 0 without one."""
    if endpoint.throttle_scope.reported_limit:
        return endpoint.throttle_scope.reported_limit
    return endpoint.weight if state.settings.endpoint_weights_known else 0.0


def count_call(state: DispatcherState, endpoint: Endpoint) -> None:
    """Count one call against the quota, or against the pace where there is none."""
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
    """The even shares that a new throttle scope starts with."""
    shares = INITIAL_EVEN_SHARES * state.share_headroom
    return min(float(state.settings.forwarder_count), shares)


def shrink_share(scope: ThrottleScope) -> None:
    """The limit was exceeded: take less of it."""
    scope.even_shares = max(
        LEAST_EVEN_SHARES, scope.even_shares * REJECTION_SHARE_FACTOR
    )


def grow_share(state: DispatcherState, scope: ThrottleScope) -> None:
    """A call succeeded: take more of the limit if much of it is left."""
    if scope.remaining_share > AMPLE_REMAINING_SHARE:
        grown = scope.even_shares + SUCCESS_SHARE_STEP * state.share_headroom
        scope.even_shares = min(float(state.settings.forwarder_count), grown)


def apply_load_report(scope: ThrottleScope, report: LoadReport) -> None:
    """Take over what the destination said of its limit."""
    if not scope.reported_limit:  # a reported limit needs no room for error
        scope.even_shares = min(1.0, scope.even_shares)
    scope.reported_limit = report.limit_per_s
    scope.remaining_share = report.remaining_share
