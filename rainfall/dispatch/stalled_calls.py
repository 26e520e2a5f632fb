"""Calls that stay silent while later ones to the same endpoint are answered.

Such a call has lost its connection: its messages need not wait for the time-out, and it
says nothing of the endpoint's health. Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.actions import CancelAttempt
from rainfall.dispatch.endpoints import Attempt, Call
from rainfall.dispatch.idempotency import retry_deadline
from rainfall.dispatch.latency import expected_latency
from rainfall.dispatch.state import DispatcherState

OVERTAKEN_BY = 3
"""Later calls delivered from which on a call counts as overtaken: a single one may just
have been quick.
"""
STALL_LATENCIES = 8
"""Expected latencies after which an overtaken call is taken to be lost."""
MIN_STALL_US = 600_000


def note_overtaken(state: DispatcherState, call: Call) -> None:
    """Watch the attempts of a call that enough later ones have overtaken."""
    if call.overtaken_by >= OVERTAKEN_BY:
        state.overtaken_attempts.update(
            (key, state.attempts[key])
            for key in call.attempt_keys
            if key in state.attempts
        )


def count_overtaken(state: DispatcherState, delivered: Call) -> None:
    """A call was delivered: those sent before it to the same endpoint are overtaken."""
    for other in delivered.endpoint.calls:
        if other.sent_at < delivered.sent_at:
            other.overtaken_by += 1
            note_overtaken(state, other)


def cancel_stalled(state: DispatcherState) -> None:
    """Cancel the attempts of stalled calls, in the order of their sends."""
    if not (state.settings.allow_cancel and state.overtaken_attempts):
        return
    in_order = sorted(
        state.overtaken_attempts.items(), key=lambda item: item[1].sequence_number
    )
    for (message_id, number), attempt in in_order:
        if not attempt.cancel_requested and _is_stalled(state, attempt):
            state.actions.append(CancelAttempt(message_id, number))
            attempt.cancel_requested = True


def _is_stalled(state: DispatcherState, attempt: Attempt) -> bool:
    message, call = attempt.message, attempt.call
    message_class = message.message_class
    scope = call.endpoint.throttle_scope
    expected = expected_latency(scope, message_class, state.now)
    least = MIN_STALL_US
    if state.now >= retry_deadline(message, call.sent_at):
        # It cannot be sent again and fails by this: its objective has to be missed.
        least = message_class.latency_objective_us
    return state.now - call.sent_at > max(least, STALL_LATENCIES * expected)
