"""Estimates the endpoints' idle timeout and closes connections that may exceed it.

Endpoints close or drop idle connections without notice. A connection that was idle for
no longer than `state.idle_timeout_estimate` is assumed to be open. Times are integer
microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.actions import CloseIdleConnections
from rainfall.dispatch.endpoints import Call
from rainfall.dispatch.outcomes import Outcome
from rainfall.dispatch.state import MIN_IDLE_US, DispatcherState

IDLE_TIMEOUT_GROWTH_DIVISOR = 64
"""Each successful call lengthens the estimate by one part in this many."""


def detect_lost_connection(
    state: DispatcherState, call: Call, outcome: Outcome
) -> bool:
    """Whether a call failed because its connection was closed while idle.

    Such a call says nothing about its endpoint; it reduces the estimate to half the
    idle time of its connection. A timeout is always attributed to the endpoint;
    otherwise a slow endpoint would never be detected.
    """
    was_idle = MIN_IDLE_US < call.connection_idle <= state.idle_timeout_estimate
    lost = was_idle and outcome is Outcome.RESET
    if lost:
        state.idle_timeout_estimate = call.connection_idle // 2
    return lost


def extend_idle_timeout_estimate(state: DispatcherState) -> None:
    """Lengthen the estimate after a successful call, up to its upper bound."""
    longer = (
        state.idle_timeout_estimate
        + state.idle_timeout_estimate // IDLE_TIMEOUT_GROWTH_DIVISOR
    )
    state.idle_timeout_estimate = min(state.max_idle_timeout_estimate, longer)


def close_stale_connections(state: DispatcherState) -> None:
    """Close connections that would be idle for too long by the next call.

    Considers the calls that ended in this round, and expects the time to the next call
    to equal the time since the previous one.
    """
    for call in state.finished_calls:
        rarely_called = call.since_previous_call > state.idle_timeout_estimate > 0
        if rarely_called and not call.endpoint.in_flight:
            state.actions.append(CloseIdleConnections(call.endpoint.id))
