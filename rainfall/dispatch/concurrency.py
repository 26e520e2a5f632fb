"""The concurrency window: the maximum number of calls in flight to a throttle scope.

It starts at one call, grows by one with each success and is halved by a rejection, a
timeout or a failed connection (DESIGN). Its cap is three quarters of `max_in_flight`,
or half of it while the destination is in slow start or slow.
"""

from __future__ import annotations

from rainfall.dispatch.endpoints import ThrottleScope
from rainfall.dispatch.slow_start import in_slow_start
from rainfall.dispatch.state import DispatcherState

HEALTHY_CAP_SHARE = 0.75
"""Fraction of `max_in_flight` that one destination may use."""
UNHEALTHY_CAP_SHARE = 0.5
"""The same fraction while the destination is in slow start or slow."""
SLOW_FACTOR = 4
"""A destination is slow if its expected latency exceeds the seed by this factor."""
MIN_WINDOW = 1.0
"""Lower bound of the window and of its cap, in calls."""


def window_cap(state: DispatcherState, scope: ThrottleScope) -> float:
    """Return the current upper bound of a scope's window."""
    slow = scope.latency_estimate > SLOW_FACTOR * scope.latency_seed > 0
    unhealthy = slow or any(
        endpoint.throttle_scope is scope and in_slow_start(state, endpoint)
        for endpoint in state.serving(scope.destination)
    )
    share = UNHEALTHY_CAP_SHARE if unhealthy else HEALTHY_CAP_SHARE
    return max(MIN_WINDOW, share * state.settings.max_in_flight)


def is_window_full(state: DispatcherState, scope: ThrottleScope) -> bool:
    """Whether a scope's window allows no further call."""
    if not scope.in_flight:
        return False  # the window and its cap are at least one call
    window = min(scope.concurrency_window, window_cap(state, scope))
    return scope.in_flight >= int(window)


def grow_window(state: DispatcherState, scope: ThrottleScope) -> None:
    """Grow the window by one call after a success."""
    grown = scope.concurrency_window + 1
    scope.concurrency_window = min(grown, window_cap(state, scope))


def halve_window(scope: ThrottleScope, now: int) -> None:
    """Halve the window after a call was rejected, timed out or could not connect."""
    scope.concurrency_window = max(MIN_WINDOW, scope.concurrency_window / 2)
    scope.window_halved_at = now
