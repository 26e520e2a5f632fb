"""The concurrency window: calls in flight to one destination.

One call at first, one more for each success, halved by a rejection or a time-out
(DESIGN). Its cap is three quarters of all calls, half while the destination is cold or
slow.
"""

from __future__ import annotations

from rainfall.dispatch.endpoints import ThrottleScope
from rainfall.dispatch.slow_start import in_slow_start
from rainfall.dispatch.state import DispatcherState

HEALTHY_CAP_SHARE = 0.75
"""Of all calls in flight, what one destination may hold."""
UNHEALTHY_CAP_SHARE = 0.5
"""The same while it is cold or slow."""
SLOW_FACTOR = 4
"""An expected latency above this times its seed counts as slow."""
LEAST_WINDOW = 1.0


def window_cap(state: DispatcherState, scope: ThrottleScope) -> float:
    """The greatest window that a scope may have now."""
    slow = scope.latency_estimate > SLOW_FACTOR * scope.latency_seed > 0
    unhealthy = slow or any(
        endpoint.throttle_scope is scope and in_slow_start(state, endpoint)
        for endpoint in state.serving(scope.destination)
    )
    share = UNHEALTHY_CAP_SHARE if unhealthy else HEALTHY_CAP_SHARE
    return max(LEAST_WINDOW, share * state.settings.max_in_flight)


def is_window_full(state: DispatcherState, scope: ThrottleScope) -> bool:
    """Whether no further call fits into a scope's window."""
    if not scope.in_flight:
        return False  # a window and its cap are one call at least
    window = min(scope.concurrency_window, window_cap(state, scope))
    return scope.in_flight >= int(window)


def grow_window(state: DispatcherState, scope: ThrottleScope) -> None:
    """A call succeeded."""
    grown = scope.concurrency_window + 1
    scope.concurrency_window = min(grown, window_cap(state, scope))


def halve_window(scope: ThrottleScope, now: int) -> None:
    """A call was rejected, timed out, or found no connection."""
    scope.concurrency_window = max(LEAST_WINDOW, scope.concurrency_window / 2)
    scope.window_halved_at = now
