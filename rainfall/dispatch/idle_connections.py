"""How long an idle connection to an endpoint is taken to be still open.

Endpoints close or forget idle connections without a word. Times are integer
microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.actions import CloseIdleConnections
from rainfall.dispatch.endpoints import Call
from rainfall.dispatch.outcomes import Outcome
from rainfall.dispatch.state import MIN_IDLE_US, DispatcherState

TRUST_GROWTH_DIVISOR = 64
"""A call that succeeds lengthens the trust by this part."""


def detect_lost_connection(
    state: DispatcherState, call: Call, outcome: Outcome
) -> bool:
    """Whether a call failed because its connection had been closed while it was idle.

    It then says nothing of its endpoint. A time-out is the endpoint's own: a
    slow one would else never be seen to be slow.
    """
    was_idle = MIN_IDLE_US < call.connection_idle <= state.idle_trust
    lost = was_idle and outcome is Outcome.RESET
    if lost:
        state.idle_trust = call.connection_idle // 2
    return lost


def extend_trust(state: DispatcherState) -> None:
    """A call succeeded."""
    longer = state.idle_trust + state.idle_trust // TRUST_GROWTH_DIVISOR
    state.idle_trust = min(state.max_idle_trust, longer)


def close_untrusted(state: DispatcherState) -> None:
    """Close connections that would be idle for too long until the next call.

    Those of calls finished in this round, by the time since the call before.
    """
    for call in state.finished_calls:
        seldom = call.since_previous_call > state.idle_trust > 0
        if seldom and not call.endpoint.in_flight:
            state.actions.append(CloseIdleConnections(call.endpoint.id))
