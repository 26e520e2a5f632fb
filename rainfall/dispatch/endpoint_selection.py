"""Selects the endpoint that a message is sent to."""

from __future__ import annotations

from rainfall.dispatch.capacity import available_at
from rainfall.dispatch.endpoints import Endpoint
from rainfall.dispatch.idempotency import may_attempt, usable_endpoints
from rainfall.dispatch.outlier_detection import CERTAIN_FAILURE_RATIO
from rainfall.dispatch.queues import Message
from rainfall.dispatch.settings import Idempotency
from rainfall.dispatch.state import DispatcherState

HOLD_BACK_SHARE = 0.5
"""A message is held back only while at least this fraction of its time is left."""


def select_endpoint(state: DispatcherState, message: Message) -> Endpoint | None:
    """Return the best endpoint to which a message may be sent now, or None."""
    allowed = [
        e for e in usable_endpoints(state, message) if may_send(state, message, e)
    ]
    if not allowed:
        return None
    return min(allowed, key=lambda endpoint: _preference(state, message, endpoint))


def may_send(state: DispatcherState, message: Message, endpoint: Endpoint) -> bool:
    """Whether a message may be sent to an endpoint now.

    Every send passes this check: the limit on attempts and the idempotency window, the
    order within the message's key, the holding back, and the endpoint's capacity.
    """
    if not may_attempt(state, message):
        return False
    if message.ordering_key is not None:
        sequence = state.key_sequences[message.ordering_key]
        if sequence.ready_head is not message:
            return False
    if _should_hold_back(state, message, endpoint):
        return False
    return available_at(state, endpoint) <= state.now


def _should_hold_back(
    state: DispatcherState, message: Message, endpoint: Endpoint
) -> bool:
    """Whether a message should wait for an endpoint with fewer failures.

    Applies only to messages that must not be executed twice, because each of them has a
    single attempt, and only while enough time is left.
    """
    message_class = message.message_class
    if message_class.idempotency is not Idempotency.AT_MOST_ONCE:
        return False
    if endpoint.failure_ratio <= CERTAIN_FAILURE_RATIO:
        return False
    return message.deadline - state.now >= message_class.deadline_us * HOLD_BACK_SHARE


def _preference(
    state: DispatcherState, message: Message, endpoint: Endpoint
) -> tuple[float, ...]:
    """Return the sort key of an endpoint for a message; the smallest is the best.

    In this order: no outage, not the endpoint that failed the message last, a call
    started in this round, low cost, low failure ratio, few calls in flight. Ties are
    broken at random.
    """
    cost = 0.0
    if endpoint.endpoint_scoped:
        cost = state.settings.zone_costs.get(endpoint.zone, 0.0)
    return (
        endpoint.in_outage,
        endpoint.id == message.last_failed_endpoint,
        endpoint.id not in state.new_calls,
        cost,
        endpoint.failure_ratio,
        endpoint.in_flight,
        state.random.random(),
    )
