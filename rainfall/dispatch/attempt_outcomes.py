"""Applies outcomes of attempts to calls, messages, ordering keys and statistics.

Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.backoff import apply_retry_after, back_off, lengthen_backoff
from rainfall.dispatch.completion import finish
from rainfall.dispatch.concurrency import grow_window, halve_window
from rainfall.dispatch.endpoints import Attempt, AttemptKey, Call
from rainfall.dispatch.events import AttemptFinished
from rainfall.dispatch.idle_connections import (
    detect_lost_connection,
    extend_idle_timeout_estimate,
)
from rainfall.dispatch.latency import learn_latency
from rainfall.dispatch.ordering import advance_key
from rainfall.dispatch.outcomes import (
    MAY_STILL_RUN,
    NEVER_EXECUTED,
    OVERLOAD_SIGNALS,
    UNINFORMATIVE_OUTCOMES,
    Outcome,
)
from rainfall.dispatch.outlier_detection import detect_outage, update_failure_ratio
from rainfall.dispatch.pacing import apply_load_report, grow_share, shrink_share
from rainfall.dispatch.queues import Message
from rainfall.dispatch.stalled_calls import count_overtaken
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.waiting import requeue


def finish_attempt(state: DispatcherState, event: AttemptFinished) -> None:
    """Process the outcome of an attempt; one that is not in flight is ignored.

    The endpoint's statistics are updated once per call, with the first of its outcomes
    that says something about the endpoint.
    """
    key = AttemptKey(event.message_id, event.attempt)
    attempt = state.attempts.pop(key, None)
    if attempt is None:
        return
    state.overtaken_attempts.pop(key, None)
    call, message = attempt.call, attempt.message
    _finish_part_of_call(state, call)
    _update_message(state, attempt, event)
    if not call.evaluated and event.outcome not in UNINFORMATIVE_OUTCOMES:
        call.evaluated = True
        evaluate_call(state, call, message, event)
    scope = call.endpoint.throttle_scope
    apply_retry_after(state, scope, event.retry_after_us)
    if event.load_report is not None:
        apply_load_report(scope, event.load_report)
    _finish_or_requeue(state, attempt, event)


def _finish_part_of_call(state: DispatcherState, call: Call) -> None:
    """Count the outcome of one message of a call; the last one ends the call."""
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
    """Update the message and its ordering key with the outcome of an attempt."""
    message, call = attempt.message, attempt.call
    message.in_flight -= 1
    if message.ordering_key is not None:
        sequence = state.key_sequences[message.ordering_key]
        sequence.in_flight -= 1
        if event.outcome in MAY_STILL_RUN:
            backoff_until = state.now + state.settings.key_backoff_us
            sequence.backoff_until = max(sequence.backoff_until, backoff_until)
        advance_key(state, message.ordering_key)
    if event.outcome is Outcome.TIMED_OUT:
        message.last_timeout = event.duration_us
    if event.outcome not in NEVER_EXECUTED and message.executed_at < 0:
        message.executed_at = call.sent_at
        message.executed_on = call.endpoint.id


def _finish_or_requeue(
    state: DispatcherState, attempt: Attempt, event: AttemptFinished
) -> None:
    """Finish the message, or put it back into its queue.

    A message is finished if it was delivered or if the event says that it is closed.
    """
    message = attempt.message
    if message.id not in state.messages:
        return
    if event.message_closed or event.outcome is Outcome.DELIVERED:
        finish(state, message)
        return
    message.last_failed_endpoint = attempt.call.endpoint.id
    requeue(state, message)


def evaluate_call(
    state: DispatcherState, call: Call, message: Message, event: AttemptFinished
) -> None:
    """Update latency, window, rate limit share, backoff, failure ratio and outage.

    The order matters: the window's cap depends on the latency estimate, and the failure
    ratio on the share of the rate limit.
    """
    scope, outcome = call.endpoint.throttle_scope, event.outcome
    message_class = message.message_class
    was_cut_short = event.duration_us < message_class.latency_objective_us
    if outcome is Outcome.TIMED_OUT and was_cut_short:
        # The timeout was short because the message had little time left: it does not
        # show that the endpoint hangs.
        return
    if detect_lost_connection(state, call, outcome):
        return
    # If later calls were delivered, the endpoint answers: only this call was lost.
    call_stalled = outcome is Outcome.TIMED_OUT and call.overtaken_by > 0
    inconclusive = event.inconclusive or call_stalled
    learn_latency(scope, message_class, outcome, event.duration_us, state.now)
    if outcome is Outcome.DELIVERED:
        _record_success(state, call)
    if outcome in OVERLOAD_SIGNALS and not inconclusive:
        _record_overload_signal(state, call, outcome)
    if outcome is Outcome.REJECTED and not event.retry_after_us:
        back_off(state, scope)
    update_failure_ratio(state, call, outcome, inconclusive)
    detect_outage(state, call.endpoint, outcome)


def _record_success(state: DispatcherState, call: Call) -> None:
    scope = call.endpoint.throttle_scope
    count_overtaken(state, call)
    extend_idle_timeout_estimate(state)
    grow_window(state, scope)
    scope.backoff = 0
    grow_share(state, scope)


def _record_overload_signal(
    state: DispatcherState, call: Call, outcome: Outcome
) -> None:
    """Halve the window, and after a rejection reduce the share and extend the backoff.

    Calls that were already in flight at the last halving are ignored, so that one
    overload halves the window once.
    """
    scope = call.endpoint.throttle_scope
    if call.sent_at <= scope.window_halved_at:
        return
    halve_window(scope, state.now)
    if outcome is Outcome.REJECTED:
        shrink_share(scope)
        lengthen_backoff(state, scope)
