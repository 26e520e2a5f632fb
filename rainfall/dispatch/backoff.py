"""When a destination is left alone: its Retry-After, and our own backoff.

Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.endpoints import ThrottleScope
from rainfall.dispatch.state import SMALL_FLEET, DispatcherState

FIRST_BACKOFF_US = 150_000
"""After a rejection without a Retry-After, with few forwarders."""
BACKOFF_FACTOR = 4
"""Each further rejection makes the backoff so much longer."""
BACKOFF_LIMIT_US = 1_500_000
"""The longest backoff with few forwarders: an outage must not be prolonged by more."""
FLEET_FACTOR_LIMIT = 10
"""Large fleets back off longer, by up to this factor: a retry meets all others'."""
BACKOFF_JITTER = 0.5
"""A backoff is up to that much longer or shorter, as a share."""


def apply_retry_after(
    state: DispatcherState, scope: ThrottleScope, retry_after_us: int
) -> None:
    """Wait as long as the destination asked for."""
    scope.retry_after_until = max(scope.retry_after_until, state.now + retry_after_us)
    if retry_after_us and state.settings.forwarder_count > SMALL_FLEET:
        # A Retry-After ends for all forwarders at once.
        delay = int(state.random.random() * retry_after_us)
        scope.backoff_until = scope.retry_after_until + delay


def lengthen_backoff(state: DispatcherState, scope: ThrottleScope) -> None:
    """Another rejection in a row."""
    fleet_factor = state.settings.forwarder_count // SMALL_FLEET
    fleet_factor = max(1, min(FLEET_FACTOR_LIMIT, fleet_factor))
    longer = max(fleet_factor * FIRST_BACKOFF_US, BACKOFF_FACTOR * scope.backoff)
    scope.backoff = min(fleet_factor * BACKOFF_LIMIT_US, longer)


def back_off(state: DispatcherState, scope: ThrottleScope) -> None:
    """Leave a destination alone that rejected a call without a Retry-After."""
    factor = state.random.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER)
    until = state.now + int(scope.backoff * factor)
    scope.backoff_until = max(scope.backoff_until, until)
