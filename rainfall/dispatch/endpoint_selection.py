"""Which endpoint a message may go to, and which of these is the best."""

from __future__ import annotations

from rainfall.dispatch.capacity import available_at
from rainfall.dispatch.endpoints import Endpoint
from rainfall.dispatch.idempotency import may_retry, usable_endpoints
from rainfall.dispatch.outlier_detection import CERTAIN_FAILURE_RATIO
from rainfall.dispatch.queues import Message
from rainfall.dispatch.settings import Idempotency
from rainfall.dispatch.state import DispatcherState

HOLD_BACK_SHARE = 0.5
"""Share of its time that a message must still have to be held back."""


def select_endpoint(state: DispatcherState, message: Message) -> Endpoint | None:
    """The best endpoint that a message may go to now; None where there is none."""
    allowed = [
        e for e in usable_endpoints(state, message) if may_send(state, message, e)
    ]
    if not allowed:
        return None
    return min(allowed, key=lambda endpoint: _preference(state, message, endpoint))


def may_send(state: DispatcherState, message: Message, endpoint: Endpoint) -> bool:
    """The one gate that every send passes. Each line keeps a rule or a bound."""
    if not may_retry(state, message):
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
    """Whether a message has time to wait for a sounder endpoint.

    One that must not be executed twice has a single attempt.
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
    """How good an endpoint is for a message; the least is the best.

    A sound endpoint, another than failed last, a call already forming, a cheap one, a
    quiet one; among equal ones by chance.
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
