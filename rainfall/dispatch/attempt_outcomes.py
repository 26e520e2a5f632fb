"""What an attempt's outcome changes: call, message, key, and what is learned.

Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.backoff import apply_retry_after, back_off, lengthen_backoff
from rainfall.dispatch.completion import finish
from rainfall.dispatch.concurrency import grow_window, halve_window
from rainfall.dispatch.endpoints import Attempt, AttemptKey, Call
from rainfall.dispatch.events import AttemptFinished
from rainfall.dispatch.idle_connections import detect_lost_connection, extend_trust
from rainfall.dispatch.latency import learn_latency
from rainfall.dispatch.ordering import turn_to_next
from rainfall.dispatch.outcomes import (
    MAY_STILL_RUN,
    NEVER_EXECUTED,
    OVERLOAD_SIGNS,
    TELLS_NOTHING,
    Outcome,
)
from rainfall.dispatch.outlier_detection import detect_outage, update_failure_ratio
from rainfall.dispatch.pacing import apply_load_report, grow_share, shrink_share
from rainfall.dispatch.queues import Message
from rainfall.dispatch.stalled_calls import count_overtaken
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.waiting import wait_again


def finish_attempt(state: DispatcherState, event: AttemptFinished) -> None:
    """Take an attempt's outcome.

    What it says of the endpoint is learned once for each call.
    """
    key = AttemptKey(event.message_id, event.attempt)
    attempt = state.attempts.pop(key, None)
    if attempt is None:
        return
    state.overtaken_attempts.pop(key, None)
    call, message = attempt.call, attempt.message
    _finish_part_of_call(state, call)
    _update_message(state, attempt, event)
    if not call.evaluated and event.outcome not in TELLS_NOTHING:
        call.evaluated = True
        evaluate_call(state, call, message, event)
    scope = call.endpoint.throttle_scope
    apply_retry_after(state, scope, event.retry_after_us)
    if event.load_report is not None:
        apply_load_report(scope, event.load_report)
    _close_or_wait(state, attempt, event)


def _finish_part_of_call(state: DispatcherState, call: Call) -> None:
    """One message of a call has its outcome; with the last one the call is over."""
    endpoint = call.endpoint
    call.pending -= 1
    state.dirty_destinations.add(endpoint.destination)
    if call.pending:
        return
    state.calls_in_flight -= 1
    endpoint.calls.remove(call)
    endpoint.in_flight -= 1
    endpoint.throttle_scope.in_flight -= 1
    endpoint.idle_since = state.now
    state.finished_calls.append(call)


def _update_message(
    state: DispatcherState, attempt: Attempt, event: AttemptFinished
) -> None:
    """What the outcome says of the message and of its key."""
    message, call = attempt.message, attempt.call
    message.in_flight -= 1
    if message.ordering_key is not None:
        sequence = state.key_sequences[message.ordering_key]
        sequence.in_flight -= 1
        if event.outcome in MAY_STILL_RUN:
            backoff_until = state.now + state.settings.key_backoff_us
            sequence.backoff_until = max(sequence.backoff_until, backoff_until)
        turn_to_next(state, message.ordering_key)
    if event.outcome is Outcome.TIMED_OUT:
        message.last_timeout = event.duration_us
    if event.outcome not in NEVER_EXECUTED and message.executed_at < 0:
        message.executed_at = call.sent_at
        message.executed_on = call.endpoint.id


def _close_or_wait(
    state: DispatcherState, attempt: Attempt, event: AttemptFinished
) -> None:
    """End the message or let it wait for its next attempt.

    It ends when it is delivered, or when the destination says that it is closed.
    """
    message = attempt.message
    if message.id not in state.messages:
        return
    if event.message_closed or event.outcome is Outcome.DELIVERED:
        finish(state, message)
        return
    message.last_failed_endpoint = attempt.call.endpoint.id
    wait_again(state, message)


def evaluate_call(
    state: DispatcherState, call: Call, message: Message, event: AttemptFinished
) -> None:
    """Learn from one call: latency, window, share, backoff, failures and outages.

    In this order: the window's cap goes by the latency, and the failure ratio by the
    share of the rate limit.
    """
    scope, outcome = call.endpoint.throttle_scope, event.outcome
    message_class = message.message_class
    was_cut_short = event.duration_us < message_class.latency_objective_us
    if outcome is Outcome.TIMED_OUT and was_cut_short:
        return  # a message with little time left must not make an endpoint look hung
    if detect_lost_connection(state, call, outcome):
        return
    # A call that others overtook was lost alone: its endpoint does answer.
    lost_alone = outcome is Outcome.TIMED_OUT and call.overtaken_by > 0
    inconclusive = event.inconclusive or lost_alone
    learn_latency(scope, message_class, outcome, event.duration_us, state.now)
    if outcome is Outcome.DELIVERED:
        _take_success(state, call)
    if outcome in OVERLOAD_SIGNS and not inconclusive:
        _take_overload_sign(state, call, outcome)
    if outcome is Outcome.REJECTED and not event.retry_after_us:
        back_off(state, scope)
    update_failure_ratio(state, call, outcome, inconclusive)
    detect_outage(state, call.endpoint, outcome)


def _take_success(state: DispatcherState, call: Call) -> None:
    scope = call.endpoint.throttle_scope
    count_overtaken(state, call)
    extend_trust(state)
    grow_window(state, scope)
    scope.backoff = 0
    grow_share(state, scope)


def _take_overload_sign(state: DispatcherState, call: Call, outcome: Outcome) -> None:
    """Once for all calls that were in flight when the window was halved last."""
    scope = call.endpoint.throttle_scope
    if call.sent_at <= scope.window_halved_at:
        return
    halve_window(scope, state.now)
    if outcome is Outcome.REJECTED:
        shrink_share(scope)
        lengthen_backoff(state, scope)
