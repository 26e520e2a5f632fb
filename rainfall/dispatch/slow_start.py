"""Slow start: spaces the calls to an endpoint that recovers from an outage.

Implements WIRE, safe fail-back: within any overload window, all forwarders together
must not send a cold destination more than a multiple of its present capacity (the
budget). Each forwarder therefore spaces its calls by the ramp interval. The forwarders
do not coordinate, so the interval is chosen such that the random sum of their calls
stays within the budget plus a tolerated excess. Times are integer microseconds.
"""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

from rainfall.dispatch.endpoints import Endpoint
from rainfall.dispatch.pacing import rate_limit
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import SECOND_US

MEAN_BUDGET_SHARE = 0.8
"""Fraction of a large budget that is used on average; the rest is slack."""
MIN_MEAN_CALLS_CAP = 4.0
"""Lowest value of the cap on the mean number of calls per overload window; applies to
small budgets.
"""
TOLERANCE_FACTOR = 2.0
"""The tolerated excess over a budget b is this factor times (sqrt(b) + 1) calls."""
SIGMAS = 3.5
"""The mean plus this many standard deviations of all forwarders' calls must stay within
the budget and the tolerated excess.
"""
INTERVAL_JITTER = 0.5
"""Maximum random change of an interval in either direction, as a fraction of it.
Forwarders that call at the same time once are thereby unlikely to do so repeatedly.
"""
WEIGHT_UNCERTAINTY = 1.5
"""Factor by which a weight in the endpoint list may be too high (WIRE,
weight_source).
"""
UNKNOWN_LIMIT_CALLS = 1.0
"""Budget in calls at the start of a recovery if no rate limit is known."""
MIN_COLD_SHARE = 0.01
"""Lower bound of `cold_capacity_share`: a destination has some capacity right after an
outage even if the settings say 0.
"""
BATCH_BUDGET_DIVISOR = 2
"""The weight of a call with several messages is at most the forwarder's even share of
the budget, divided by this number: the jitter may move two calls into one window.
"""
FURTHER_MESSAGE_WEIGHT = 0.25
"""Weight of each message in a call after the first, which has weight 1 (WIRE, safe
fail-back).
"""


class CallBudget(NamedTuple):
    """Number of calls that all forwarders together may make per overload window."""

    nominal: float
    """Budget if the known rate limit is exact."""
    minimum: float
    """Budget if the known rate limit is too high by `WEIGHT_UNCERTAINTY`."""


def in_slow_start(state: DispatcherState, endpoint: Endpoint) -> bool:
    """Whether an endpoint is in an outage, or may still be warming up after one."""
    if endpoint.outage_started_at < 0:
        return False
    if endpoint.recovered_at < 0:
        return True
    settings = state.settings
    # The endpoint may have recovered half a window later than estimated.
    warm_after = settings.warm_up_us + settings.overload_window_us // 2
    return state.now - endpoint.recovered_at < warm_after


def ramp_interval(state: DispatcherState, endpoint: Endpoint) -> float:
    """Return the mean time between this forwarder's calls to an endpoint in slow start.

    Assumes that all forwarders have messages for the endpoint.
    """
    window = state.settings.overload_window_us
    return window * budget_divisor(state, endpoint) / mean_calls(state, endpoint)


def budget_divisor(state: DispatcherState, endpoint: Endpoint) -> int:
    """Return the number of equal parts into which the budget is divided.

    There is one for each pair of a forwarder and an endpoint that shares the budget.
    """
    endpoints = 1
    if not endpoint.endpoint_scoped:
        endpoints = max(1, len(state.serving(endpoint.destination)))
    return state.settings.forwarder_count * endpoints


def call_budget(state: DispatcherState, endpoint: Endpoint) -> CallBudget:
    """Return the budget of an endpoint's throttle scope at its present capacity.

    Without a known rate limit the budget grows from `UNKNOWN_LIMIT_CALLS` in proportion
    to the capacity.
    """
    settings = state.settings
    capacity = _capacity_share(state, endpoint)
    limit = rate_limit(state, endpoint)
    if not limit or not settings.overload_factor:
        cold = max(settings.cold_capacity_share, MIN_COLD_SHARE)
        calls = UNKNOWN_LIMIT_CALLS * capacity / cold
        return CallBudget(calls, calls)
    calls = limit * (
        settings.overload_factor * capacity * settings.overload_window_us / SECOND_US
    )
    certain = endpoint.throttle_scope.reported_limit
    return CallBudget(calls, calls if certain else calls / WEIGHT_UNCERTAINTY)


def _capacity_share(state: DispatcherState, endpoint: Endpoint) -> float:
    """Return the present fraction of a recovering endpoint's full capacity."""
    settings = state.settings
    warmed = 0.0
    if endpoint.recovered_at >= 0:
        warmed = (state.now - endpoint.recovered_at) / max(1, settings.warm_up_us)
    cold = settings.cold_capacity_share
    return cold + (1 - cold) * min(1.0, warmed)


def call_limit(state: DispatcherState, endpoint: Endpoint) -> float:
    """Return the minimum budget plus the tolerated excess."""
    minimum = call_budget(state, endpoint).minimum
    return minimum + TOLERANCE_FACTOR * math.sqrt(minimum) + TOLERANCE_FACTOR


def mean_calls(state: DispatcherState, endpoint: Endpoint) -> float:
    """Return the highest safe mean of the number of calls per window by all forwarders.

    With this mean the number of calls exceeds `call_limit` only with low probability.
    If each forwarder makes less than one call per window, the number has a Poisson
    distribution. If each makes more, the number varies less, as the intervals are drawn
    around a mean. The larger of the two results applies.
    """
    limit = call_limit(state, endpoint)
    # A call that falls into the window with probability f has the variance f * (1 - f),
    # which is 1/6 on average over f. There is one such call per part of the budget.
    variance = budget_divisor(state, endpoint) / 6
    # Variance of an interval drawn uniformly within the jitter.
    variance_per_call = INTERVAL_JITTER * INTERVAL_JITTER / 3
    poisson_mean = _mean_within_limit(limit, 0.0, 1.0)
    jittered_mean = _mean_within_limit(limit, variance, variance_per_call)
    nominal = call_budget(state, endpoint).nominal
    return min(
        max(poisson_mean, jittered_mean),
        max(MEAN_BUDGET_SHARE * nominal, MIN_MEAN_CALLS_CAP),
    )


def _mean_within_limit(
    limit: float, variance: float, variance_per_call: float
) -> float:
    """Return the largest mean whose upper deviation stays within the limit.

    This is the m with m + SIGMAS * sqrt(variance + variance_per_call * m) = limit; 0 if
    there is none.
    """
    midpoint = limit + SIGMAS**2 * variance_per_call / 2
    radicand = midpoint**2 - limit**2 + SIGMAS**2 * variance
    return max(0.0, midpoint - math.sqrt(max(0.0, radicand)))


def call_weight(messages: int) -> float:
    """Return the weight in the budget of a call with a given number of messages."""
    return 1 + FURTHER_MESSAGE_WEIGHT * (messages - 1)


def may_join_call(state: DispatcherState, endpoint: Endpoint, messages: int) -> bool:
    """Whether one more message may join a call that has `messages` messages.

    The endpoint is in slow start. During an outage, calls carry a single message.
    """
    if endpoint.recovered_at < 0:
        return False
    weight = call_weight(messages + 1)
    total = BATCH_BUDGET_DIVISOR * budget_divisor(state, endpoint) * weight
    return total <= call_limit(state, endpoint)


def draw_interval_factor(random: Random) -> float:
    """Return the random time from one call to the next, in ramp intervals."""
    return random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
