"""Estimates the duration of calls (ExecTime in PAPER).

The estimate is an exponentially decayed mean of the call durations; timeouts count with
their full duration. Its seed is a tenth of the class's latency objective (D_multiplier
in PAPER is 10), and while no call is in flight the estimate decays back to the seed.
Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.endpoints import ThrottleScope
from rainfall.dispatch.idempotency import usable_endpoints
from rainfall.dispatch.outcomes import Outcome
from rainfall.dispatch.queues import Message
from rainfall.dispatch.settings import MessageClass
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import SECOND_US

CALLS_PER_OBJECTIVE = 10
"""D_multiplier in PAPER: a class's latency objective divided by the seed."""
ESTIMATE_HALF_LIFE_US = 2 * SECOND_US
"""Time in which an estimate without calls in flight moves half way to its seed."""
LATENCY_STEP = 0.2
"""Weight of the newest call in the estimate; about the last ten calls contribute."""


def latency_seed(message_class: MessageClass) -> float:
    """Return the expected duration of a call without any observations."""
    return message_class.latency_objective_us / CALLS_PER_OBJECTIVE


def expected_latency(
    scope: ThrottleScope, message_class: MessageClass, now: int
) -> float:
    """Return the expected duration of a call of a class to a throttle scope."""
    if scope.latency_updated_at < 0:
        return latency_seed(message_class)
    if scope.in_flight:
        return scope.latency_estimate
    seed = latency_seed(message_class)
    half_lives = (now - scope.latency_updated_at) / ESTIMATE_HALF_LIFE_US
    return float(seed + (scope.latency_estimate - seed) * 0.5**half_lives)


def shortest_expected_latency(state: DispatcherState, message: Message) -> float:
    """Return the shortest expected call duration of the endpoints usable for a message.

    The result is cached for messages that may go to any endpoint of the destination.
    """
    endpoints = usable_endpoints(state, message)
    message_class, now = message.message_class, state.now
    if endpoints is not state.serving_endpoints.get(message.destination):
        return min(
            (expected_latency(e.throttle_scope, message_class, now) for e in endpoints),
            default=0.0,
        )
    # The key contains the objective rather than the class name: after a change of
    # settings there may be messages of two classes with the same name.
    key = (message.destination, message_class.latency_objective_us)
    cached = state.latency_cache.get(key)
    if cached is None:
        cached = min(
            (expected_latency(e.throttle_scope, message_class, now) for e in endpoints),
            default=0.0,
        )
        state.latency_cache[key] = cached
    return cached


def learn_latency(
    scope: ThrottleScope,
    message_class: MessageClass,
    outcome: Outcome,
    duration_us: int,
    now: int,
) -> None:
    """Update the estimate with a call that was delivered or timed out.

    Other outcomes only renew the estimate's age and seed; their duration is not used.
    """
    scope.latency_estimate = expected_latency(scope, message_class, now)
    scope.latency_updated_at = now
    scope.latency_seed = latency_seed(message_class)
    if outcome in (Outcome.DELIVERED, Outcome.TIMED_OUT):
        scope.latency_estimate += LATENCY_STEP * (duration_us - scope.latency_estimate)
