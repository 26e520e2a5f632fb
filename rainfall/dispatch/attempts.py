"""Starts attempts: adds a message to a call and sets the timeout of the attempt.

Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.actions import CloseIdleConnections, SendMessage
from rainfall.dispatch.endpoints import (
    Attempt,
    AttemptKey,
    Call,
    Endpoint,
    ThrottleScope,
)
from rainfall.dispatch.idempotency import retry_deadline
from rainfall.dispatch.latency import expected_latency
from rainfall.dispatch.pacing import count_call
from rainfall.dispatch.queues import Message
from rainfall.dispatch.slow_start import call_weight, draw_interval_factor
from rainfall.dispatch.state import STALE_AFTER_US, DispatcherState
from rainfall.dispatch.waiting import dequeue

TIMEOUT_LATENCIES = 6
"""Timeout of an attempt as a multiple of the expected latency. The timeout is never
shorter than the latency objective of the class.
"""
TIMEOUT_BACKOFF_FACTOR = 2
"""Factor by which the timeout grows after an attempt timed out: executing the message
may take long.
"""


def send(state: DispatcherState, message: Message, endpoint: Endpoint) -> None:
    """Start an attempt, in a call of this round that has room or else in a new call."""
    call = state.new_calls.get(endpoint.id)
    if call is None or call.batch_size >= endpoint.max_batch_size:
        call = _begin_call(state, message, endpoint)
    endpoint.last_attempt_at = state.now
    _join(state, message, call)
    state.latency_cache.clear()
    timeout_us = attempt_timeout(state, message, endpoint.throttle_scope)
    state.actions.append(SendMessage(message.id, endpoint.id, timeout_us))


def _join(state: DispatcherState, message: Message, call: Call) -> None:
    """Add a message to a call."""
    call.batch_size += 1
    call.pending += 1
    if call.batch_size > 1:
        # The larger this call, the longer the interval to the next one in slow start.
        grown = call_weight(call.batch_size) / call_weight(call.batch_size - 1)
        call.endpoint.next_interval_factor *= grown
    dequeue(state, message)
    if message.ordering_key is not None:
        state.key_sequences[message.ordering_key].in_flight += 1
    state.send_count += 1
    key = AttemptKey(message.id, message.attempts)
    state.attempts[key] = Attempt(message, call, state.send_count)
    call.attempt_keys.append(key)
    message.attempts += 1
    message.in_flight += 1


def _begin_call(state: DispatcherState, message: Message, endpoint: Endpoint) -> Call:
    """Start a call and count it against the limits on calls in flight and the pace.

    Idle connections that may already be closed at the endpoint are closed first.
    """
    idle_time = _connection_idle(state, endpoint)
    if idle_time > state.idle_timeout_estimate > 0:
        state.actions.append(CloseIdleConnections(endpoint.id))
    since_previous_call = state.now - endpoint.last_attempt_at
    call = Call(endpoint, state.now, idle_time, since_previous_call)
    state.new_calls[endpoint.id] = call
    state.called_destinations.add(endpoint.destination)
    endpoint.calls.append(call)
    endpoint.next_interval_factor = draw_interval_factor(state.random)
    state.calls_in_flight += 1
    scope = endpoint.throttle_scope
    if state.now - scope.latency_updated_at > STALE_AFTER_US:
        scope.concurrency_window = 1.0
    scope.latency_estimate = expected_latency(scope, message.message_class, state.now)
    endpoint.in_flight += 1
    scope.in_flight += 1
    count_call(state, endpoint)
    return call


def _connection_idle(state: DispatcherState, endpoint: Endpoint) -> int:
    """Return how long the connection that a new call would reuse has been idle.

    0 if no idle connection is known or a call is in flight.
    """
    if endpoint.in_flight or endpoint.idle_since < 0:
        return 0
    return state.now - endpoint.idle_since


def attempt_timeout(
    state: DispatcherState, message: Message, scope: ThrottleScope
) -> int:
    """Return the timeout of an attempt.

    The timeout extends to the message's deadline if no retry could follow it, because
    the message must not be executed twice or its idempotency window would have ended.
    """
    message_class = message.message_class
    time_left = message.deadline - state.now
    expected = expected_latency(scope, message_class, state.now)
    timeout = max(
        message_class.latency_objective_us,
        int(TIMEOUT_LATENCIES * expected),
        TIMEOUT_BACKOFF_FACTOR * message.last_timeout,
    )
    if state.now + timeout >= retry_deadline(message, state.now):
        return time_left
    return min(time_left, timeout)
