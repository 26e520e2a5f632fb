"""Determines whether endpoints and destinations have capacity for a call.

Capacity does not depend on the message. It is limited by the number of calls in flight,
concurrency windows, the quota or pace, Retry-After, backoff and slow start.

`state.possibly_available` holds the destinations that may have capacity, not counting the
limit on all calls in flight. `state.availability_times` holds the times at which other
destinations may have capacity again. Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.concurrency import HEALTHY_CAP_SHARE, is_window_full
from rainfall.dispatch.endpoints import Call, Endpoint
from rainfall.dispatch.slow_start import in_slow_start, may_join_call, ramp_interval
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER


def has_call_slot(state: DispatcherState) -> bool:
    """Whether `max_in_flight` allows one more call."""
    return state.calls_in_flight < state.settings.max_in_flight


def available_at(state: DispatcherState, endpoint: Endpoint) -> int:
    """Return when an endpoint has capacity for a message.

    NEVER if it has none until an event changes that.
    """
    call = state.new_calls.get(endpoint.id)
    return _available_at(state, endpoint, call, has_call_slot(state))


def _available_at(
    state: DispatcherState, endpoint: Endpoint, call: Call | None, slot_free: bool
) -> int:
    """Return when an endpoint has capacity for a message.

    `call` is a call of this round to the endpoint, which the message joins if it has
    room. `slot_free` tells whether `max_in_flight` allows one more call.
    """
    if call is not None and call.batch_size < endpoint.max_batch_size:
        if _may_join(state, endpoint, call):
            return state.now
    elif not _within_concurrency_limits(state, endpoint, slot_free):
        return NEVER
    scope = endpoint.throttle_scope
    quota = state.quotas.get(endpoint.destination)
    permit_at = scope.next_permit_at if quota is None else quota.available_at(state.now)
    earliest = max(scope.retry_after_until, scope.backoff_until, permit_at)
    if not in_slow_start(state, endpoint):
        return earliest
    interval = int(endpoint.next_interval_factor * ramp_interval(state, endpoint))
    return max(earliest, endpoint.last_attempt_at + interval)


def _may_join(state: DispatcherState, endpoint: Endpoint, call: Call) -> bool:
    return not in_slow_start(state, endpoint) or may_join_call(
        state, endpoint, call.batch_size
    )


def _within_concurrency_limits(
    state: DispatcherState, endpoint: Endpoint, slot_free: bool
) -> bool:
    """Whether the limits in total, of the destination and of the scope allow a call."""
    if not slot_free:
        return False
    calls_to_destination = sum(
        e.in_flight for e in state.serving_endpoints[endpoint.destination]
    )
    if calls_to_destination >= max(
        1, int(HEALTHY_CAP_SHARE * state.settings.max_in_flight)
    ):
        return False
    return not is_window_full(state, endpoint.throttle_scope)


def destination_available_at(state: DispatcherState, destination: int) -> int:
    """Return a lower bound of the time when a call to a destination can start.

    The limit on all calls in flight is not counted. NEVER if no call can start until an
    event changes that.
    """
    endpoints = state.serving(destination)
    if any(e.recovered_at >= 0 and in_slow_start(state, e) for e in endpoints):
        # The capacity of an endpoint changes continuously while it warms up.
        return state.now
    if has_call_slot(state) and destination not in state.called_destinations:
        return min((available_at(state, e) for e in endpoints), default=NEVER)
    return min(
        (_available_at(state, e, call=None, slot_free=True) for e in endpoints),
        default=NEVER,
    )


def has_capacity(state: DispatcherState, destination: int) -> bool:
    """Whether any endpoint of a destination has capacity now."""
    return any(available_at(state, e) <= state.now for e in state.serving(destination))


def update_availability(state: DispatcherState, destination: int) -> None:
    """Update `possibly_available` and `availability_times` for a destination."""
    earliest = destination_available_at(state, destination)
    if earliest <= state.now:
        state.possibly_available.add(destination)
        return
    state.possibly_available.discard(destination)
    if earliest < NEVER:
        state.availability_times.add(earliest, destination)


def mark_due_destinations(state: DispatcherState) -> None:
    """Add the destinations whose availability time has come to `possibly_available`."""
    if state.availability_times.entries:
        state.possibly_available |= state.availability_times.pop_due(state.now)


def quota_available_at(state: DispatcherState, destination: int) -> int:
    """Return when the quota of a destination permits the next call.

    The current time if there is no quota. NEVER if the quota permits no further call; a
    new quota may arrive at any time.
    """
    quota = state.quotas.get(destination)
    return state.now if quota is None else quota.available_at(state.now)
