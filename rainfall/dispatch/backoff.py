"""Pauses in calls to a destination: its Retry-After and this forwarder's own backoff.

Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.endpoints import ThrottleScope
from rainfall.dispatch.state import SMALL_FLEET, DispatcherState

FIRST_BACKOFF_US = 150_000
"""First backoff after a rejection without a Retry-After, in a small fleet."""
BACKOFF_FACTOR = 4
"""Factor by which each consecutive rejection lengthens the backoff."""
BACKOFF_LIMIT_US = 1_500_000
"""Longest backoff in a small fleet: a backoff must not prolong an outage by more."""
FLEET_FACTOR_LIMIT = 10
"""Largest factor by which large fleets back off longer, where the retries of all
forwarders coincide.
"""
BACKOFF_JITTER = 0.5
"""Maximum random change of a backoff in either direction, as a fraction of it."""


def apply_retry_after(
    state: DispatcherState, scope: ThrottleScope, retry_after_us: int
) -> None:
    """Pause calls for the Retry-After of a destination; 0 changes nothing.

    In large fleets a random delay of up to the same length is added.
    """
    scope.retry_after_until = max(scope.retry_after_until, state.now + retry_after_us)
    if retry_after_us and state.settings.forwarder_count > SMALL_FLEET:
        # The Retry-After ends for all forwarders at the same time.
        delay = int(state.random.random() * retry_after_us)
        scope.backoff_until = scope.retry_after_until + delay


def lengthen_backoff(state: DispatcherState, scope: ThrottleScope) -> None:
    """Lengthen the backoff after a further rejection, up to the limit."""
    fleet_factor = state.settings.forwarder_count // SMALL_FLEET
    fleet_factor = max(1, min(FLEET_FACTOR_LIMIT, fleet_factor))
    longer = max(fleet_factor * FIRST_BACKOFF_US, BACKOFF_FACTOR * scope.backoff)
    scope.backoff = min(fleet_factor * BACKOFF_LIMIT_US, longer)


def back_off(state: DispatcherState, scope: ThrottleScope) -> None:
    """Pause calls to a destination that rejected one without a Retry-After."""
    factor = state.random.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER)
    until = state.now + int(scope.backoff * factor)
    scope.backoff_until = max(scope.backoff_until, until)
