"""Cancels calls that get no answer while later calls to the same endpoint do.

Such a call has probably lost its connection: its messages need not wait for the
timeout, and it says nothing about the endpoint's health. Times are integer
microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.actions import CancelAttempt
from rainfall.dispatch.endpoints import Attempt, Call
from rainfall.dispatch.idempotency import retry_deadline
from rainfall.dispatch.latency import expected_latency
from rainfall.dispatch.state import DispatcherState

OVERTAKEN_THRESHOLD = 3
"""Number of later calls delivered from which a call counts as overtaken. A single later
call may simply have been faster.
"""
STALL_LATENCIES = 8
"""Number of expected latencies after which an overtaken call is considered lost."""
MIN_STALL_US = 600_000
"""Least age at which an overtaken call is considered lost, if it can be sent again."""


def note_overtaken(state: DispatcherState, call: Call) -> None:
    """Add a call's attempts to `overtaken_attempts` if enough calls overtook it."""
    if call.overtaken_by >= OVERTAKEN_THRESHOLD:
        state.overtaken_attempts.update(
            (key, state.attempts[key])
            for key in call.attempt_keys
            if key in state.attempts
        )


def count_overtaken(state: DispatcherState, delivered: Call) -> None:
    """Count a delivered call as overtaking all earlier calls to the same endpoint."""
    for other in delivered.endpoint.calls:
        if other.sent_at < delivered.sent_at:
            other.overtaken_by += 1
            note_overtaken(state, other)


def cancel_stalled(state: DispatcherState) -> None:
    """Cancel the attempts of stalled calls, in the order in which they were sent."""
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
    min_stall_us = MIN_STALL_US
    if state.now >= retry_deadline(message, call.sent_at):
        # Canceling fails a message that cannot be sent again, so it gets at least its
        # latency objective.
        min_stall_us = message_class.latency_objective_us
    return state.now - call.sent_at > max(min_stall_us, STALL_LATENCIES * expected)
