"""How long a call is expected to take (the paper's ExecTime).

A decayed mean of the calls, time-outs counting in full. Its seed is a tenth of the
class's latency objective (the paper's D_multiplier is 10), and while no call is in
flight the mean eases back to it. Times are integer microseconds.
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
"""D_multiplier: a class's latency objective is taken for so many expected calls."""
ESTIMATE_HALF_LIFE_US = 2 * SECOND_US
"""In this time an estimate without calls in flight comes half way back to its seed."""
LATENCY_STEP = 0.2
"""Weight of the newest call in the estimate: about the last ten calls count."""


def latency_seed(message_class: MessageClass) -> float:
    """The duration expected of a call of which nothing was observed."""
    return message_class.latency_objective_us / CALLS_PER_OBJECTIVE


def expected_latency(
    scope: ThrottleScope, message_class: MessageClass, now: int
) -> float:
    """The expected duration of a call of a class to a throttle scope."""
    if scope.latency_updated_at < 0:
        return latency_seed(message_class)
    if scope.in_flight:
        return scope.latency_estimate
    seed = latency_seed(message_class)
    half_lives = (now - scope.latency_updated_at) / ESTIMATE_HALF_LIFE_US
    return float(seed + (scope.latency_estimate - seed) * 0.5**half_lives)


def shortest_expected_latency(state: DispatcherState, message: Message) -> float:
    """The shortest expected call among the endpoints that a message may go to.

    Worked out once for all messages of a destination that may go to any endpoint.
    """
    endpoints = usable_endpoints(state, message)
    message_class, now = message.message_class, state.now
    if endpoints is not state.serving_endpoints.get(message.destination):
        return min(
            (expected_latency(e.throttle_scope, message_class, now) for e in endpoints),
            default=0.0,
        )
    # By objective and not by name: two classes of one name may be open, one of them
    # from before the settings changed.
    key = (message.destination, message_class.latency_objective_us)
    known = state.latency_cache.get(key)
    if known is None:
        known = min(
            (expected_latency(e.throttle_scope, message_class, now) for e in endpoints),
            default=0.0,
        )
        state.latency_cache[key] = known
    return known


def learn_latency(
    scope: ThrottleScope,
    message_class: MessageClass,
    outcome: Outcome,
    duration_us: int,
    now: int,
) -> None:
    """Take a call's duration into the estimate, where its outcome has one."""
    scope.latency_estimate = expected_latency(scope, message_class, now)
    scope.latency_updated_at = now
    scope.latency_seed = latency_seed(message_class)
    if outcome in (Outcome.DELIVERED, Outcome.TIMED_OUT):
        scope.latency_estimate += LATENCY_STEP * (duration_us - scope.latency_estimate)
