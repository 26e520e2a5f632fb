"""Whether a destination has capacity for a call, the same for every message.

The limit on all calls, windows, quota or pace, Retry-After, backoff and slow start.
A destination without capacity is `shut` for the rest of a round; `state.possibly_open`
has those that may have capacity but for the limit on all calls, and `state.openings`
the times at which others may have some again.
Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.concurrency import HEALTHY_CAP_SHARE, is_window_full
from rainfall.dispatch.endpoints import Call, Endpoint
from rainfall.dispatch.slow_start import in_slow_start, may_join_call, ramp_interval
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER


def has_call_left(state: DispatcherState) -> bool:
    """Whether the settings allow one more call in flight."""
    return state.calls_in_flight < state.settings.max_in_flight


def available_at(state: DispatcherState, endpoint: Endpoint) -> int:
    """When an endpoint has capacity for a message; NEVER where that takes an event."""
    call = state.new_calls.get(endpoint.id)
    return _available_at(state, endpoint, call, has_call_left(state))


def _available_at(
    state: DispatcherState, endpoint: Endpoint, call: Call | None, call_left: bool
) -> int:
    """When an endpoint has capacity for a message.

    `call` is one to it that begins in this round and that the message may join;
    `call_left` says whether one more call may be in flight in all.
    """
    if call is not None and call.batch_size < endpoint.max_batch_size:
        if _may_join(state, endpoint, call):
            return state.now
    elif not _has_window(state, endpoint, call_left):
        return NEVER
    scope = endpoint.throttle_scope
    quota = state.quotas.get(endpoint.destination)
    permit_at = scope.next_permit_at if quota is None else quota.available_at(state.now)
    at = max(scope.retry_after_until, scope.backoff_until, permit_at)
    if not in_slow_start(state, endpoint):
        return at
    interval = int(endpoint.next_interval_factor * ramp_interval(state, endpoint))
    return max(at, endpoint.last_attempt_at + interval)


def _may_join(state: DispatcherState, endpoint: Endpoint, call: Call) -> bool:
    return not in_slow_start(state, endpoint) or may_join_call(
        state, endpoint, call.batch_size
    )


def _has_window(state: DispatcherState, endpoint: Endpoint, call_left: bool) -> bool:
    """Whether another call may be in flight: of all, of the destination, of the scope."""
    if not call_left:
        return False
    calls_to_destination = sum(
        e.in_flight for e in state.serving_endpoints[endpoint.destination]
    )
    if calls_to_destination >= max(
        1, int(HEALTHY_CAP_SHARE * state.settings.max_in_flight)
    ):
        return False
    return not is_window_full(state, endpoint.throttle_scope)


def opens_at(state: DispatcherState, destination: int) -> int:
    """No later than when a call to a destination could begin.

    The limit on all calls is left aside. NEVER where that takes an event.
    """
    endpoints = state.serving(destination)
    if any(e.recovered_at >= 0 and in_slow_start(state, e) for e in endpoints):
        # What an endpoint bears changes all the time while it warms up.
        return state.now
    if has_call_left(state) and destination not in state.called_destinations:
        return min((available_at(state, e) for e in endpoints), default=NEVER)
    return min(
        (_available_at(state, e, call=None, call_left=True) for e in endpoints),
        default=NEVER,
    )


def has_capacity(state: DispatcherState, destination: int) -> bool:
    """Whether any message could go to a destination now."""
    return any(available_at(state, e) <= state.now for e in state.serving(destination))


def watch_opening(state: DispatcherState, destination: int) -> None:
    """Note whether a destination may have capacity, and if not when it may again."""
    at = opens_at(state, destination)
    if at <= state.now:
        state.possibly_open.add(destination)
        return
    state.possibly_open.discard(destination)
    if at < NEVER:
        state.openings.add(at, destination)


def open_due_destinations(state: DispatcherState) -> None:
    """Take the destinations that may have capacity by now to be open."""
    if state.openings.entries:
        state.possibly_open |= state.openings.pop_due(state.now)


def quota_available_at(state: DispatcherState, destination: int) -> int:
    """When the quota of a destination lets the next call go.

    Now without a quota; NEVER where that is not known, as another may come at any moment.
    """
    quota = state.quotas.get(destination)
    return state.now if quota is None else quota.available_at(state.now)
