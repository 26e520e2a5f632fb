"""Slow start: how far apart the calls to an endpoint are that recovers from an outage.

WIRE, safe fail-back: within any overload window a cold destination must not get
more than a multiple of its present capacity from all forwarders together. Each
forwarder therefore spaces its calls by the ramp interval. The interval is chosen so
that the calls of all forwarders, which do not know of each other, stay within the
budget and what is borne beyond it as chance. Times are integer microseconds.
"""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

from rainfall.dispatch.endpoints import Endpoint
from rainfall.dispatch.pacing import rate_limit
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import SECOND_US

BUDGET_SHARE = 0.8
"""Share of a large budget that is used in the mean; what is left is slack."""
SLACK_CALLS = 4.0
"""Calls in an overload window that are made in the mean at most of a small budget."""
CHANCE_FACTOR = 2.0
"""This times the root of the budget, and as many calls beside, are borne as chance."""
SIGMAS = 3.5
"""Standard deviations of all forwarders' calls that have to stay within that."""
INTERVAL_JITTER = 0.5
"""Each interval is up to that much longer or shorter, as a share: forwarders that call
at the same time must not meet again and again.
"""
WEIGHT_UNCERTAINTY = 1.5
"""A weight of the endpoint list may be up to half too high (WIRE, weight_source)."""
UNKNOWN_LIMIT_CALLS = 1.0
"""Budget at the start of a recovery, in calls, where no limit is known."""
LEAST_COLD_SHARE = 0.01
"""A destination has some capacity right after an outage, whatever the settings say."""
BATCH_BUDGET_DIVISOR = 2
"""A call with several messages weighs at most this part of our even share of the
budget: two may meet in a window because of the jitter.
"""
FURTHER_MESSAGE_WEIGHT = 0.25
"""Weight of each further message in a call, the first being 1 (WIRE, safe fail-back)."""


class CallBudget(NamedTuple):
    """Calls of all forwarders in an overload window."""

    known: float
    """By the limit that is known."""
    minimum: float
    """If that limit is as wrong as it may be."""


def in_slow_start(state: DispatcherState, endpoint: Endpoint) -> bool:
    """Whether an endpoint is in an outage, or back from one and not yet surely warm."""
    if endpoint.outage_started_at < 0:
        return False
    if endpoint.recovered_at < 0:
        return True
    settings = state.settings
    # It may have recovered half a window later than estimated.
    warm_after = settings.warm_up_us + settings.overload_window_us // 2
    return state.now - endpoint.recovered_at < warm_after


def ramp_interval(state: DispatcherState, endpoint: Endpoint) -> float:
    """The time between our calls to an endpoint in slow start.

    All forwarders may hold messages for it.
    """
    window = state.settings.overload_window_us
    return window * budget_shares(state, endpoint) / mean_calls(state, endpoint)


def budget_shares(state: DispatcherState, endpoint: Endpoint) -> int:
    """Among how many the budget is divided: all forwarders, at all that shares it."""
    endpoints = 1
    if not endpoint.endpoint_scoped:
        endpoints = max(1, len(state.serving(endpoint.destination)))
    return state.settings.forwarder_count * endpoints


def call_budget(state: DispatcherState, endpoint: Endpoint) -> CallBudget:
    """What the destination bears now from all forwarders in an overload window."""
    settings = state.settings
    capacity = _capacity_share(state, endpoint)
    limit = rate_limit(state, endpoint)
    if not limit or not settings.overload_factor:
        cold = max(settings.cold_capacity_share, LEAST_COLD_SHARE)
        calls = UNKNOWN_LIMIT_CALLS * capacity / cold
        return CallBudget(calls, calls)
    calls = limit * (
        settings.overload_factor * capacity * settings.overload_window_us / SECOND_US
    )
    certain = endpoint.throttle_scope.reported_limit
    return CallBudget(calls, calls if certain else calls / WEIGHT_UNCERTAINTY)


def _capacity_share(state: DispatcherState, endpoint: Endpoint) -> float:
    """Present capacity of a recovering endpoint, as a share of the full one."""
    settings = state.settings
    warmed = 0.0
    if endpoint.recovered_at >= 0:
        warmed = (state.now - endpoint.recovered_at) / max(1, settings.warm_up_us)
    cold = settings.cold_capacity_share
    return cold + (1 - cold) * min(1.0, warmed)


def call_limit(state: DispatcherState, endpoint: Endpoint) -> float:
    """The budget and what is borne beyond it as chance."""
    minimum = call_budget(state, endpoint).minimum
    return minimum + CHANCE_FACTOR * math.sqrt(minimum) + CHANCE_FACTOR


def mean_calls(state: DispatcherState, endpoint: Endpoint) -> float:
    """Calls of all forwarders in a window that hardly exceed the limit by chance.

    Where each forwarder makes less than one call, their number varies like that of any
    rare event; the more each makes the less it varies, as intervals are drawn around a
    mean.
    """
    limit = call_limit(state, endpoint)
    # Of a call that falls into the window with chance f, averaged over f: 1/6 a share.
    variance = budget_shares(state, endpoint) / 6
    # Of an interval drawn evenly within the jitter.
    variance_per_call = INTERVAL_JITTER * INTERVAL_JITTER / 3
    rare = _mean_within(limit, 0.0, 1.0)
    even = _mean_within(limit, variance, variance_per_call)
    known = call_budget(state, endpoint).known
    return min(max(rare, even), max(BUDGET_SHARE * known, SLACK_CALLS))


def _mean_within(limit: float, variance: float, variance_per_call: float) -> float:
    """The mean m with m + SIGMAS * root(variance + variance_per_call * m) = limit.

    0 where there is none.
    """
    half = limit + SIGMAS**2 * variance_per_call / 2
    radicand = half**2 - limit**2 + SIGMAS**2 * variance
    return max(0.0, half - math.sqrt(max(0.0, radicand)))


def call_weight(messages: int) -> float:
    """What a call of so many messages counts in the budget."""
    return 1 + FURTHER_MESSAGE_WEIGHT * (messages - 1)


def may_join_call(state: DispatcherState, endpoint: Endpoint, messages: int) -> bool:
    """Whether one more message may join a call of so many to a recovering endpoint."""
    if endpoint.recovered_at < 0:
        return False
    weight = call_weight(messages + 1)
    total = BATCH_BUDGET_DIVISOR * budget_shares(state, endpoint) * weight
    return total <= call_limit(state, endpoint)


def draw_interval_factor(random: Random) -> float:
    """How many intervals after this call the next may go."""
    return random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
