"""The snapshot that a process gives its successor, and how that goes on from it.

A snapshot is sent to processes of other versions: its keys stay as they are, and the
tables here map the names of today to them. Messages, endpoint lists and outages are in
the journal and are not part of it. Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from typing import Any

from rainfall.dispatch.endpoint_list import add_endpoint
from rainfall.dispatch.endpoints import (
    ANY_ENDPOINT,
    Attempt,
    AttemptKey,
    Call,
    ThrottleScopeKey,
)
from rainfall.dispatch.ordering import key_sequence, offer_head, turn_to_next
from rainfall.dispatch.stalled_calls import note_overtaken
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.waiting import stop_waiting, wait

ENDPOINT_KEYS = {
    "failure_ratio": "failing",
    "last_failure_at": "failed_at",
    "last_success_at": "well_at",
    "last_attempt_at": "tried_at",
    "outage_started_at": "outage_at",
    "recovered_at": "back_at",
    "next_interval_factor": "spread",
}
"""An endpoint's attributes, and the keys under which they are sent."""
THROTTLE_SCOPE_KEYS = {
    "concurrency_window": "window",
    "latency_estimate": "mean",
    "latency_seed": "seed",
    "latency_updated_at": "mean_at",
    "retry_after_until": "wait_until",
    "backoff_until": "rest_until",
    "backoff": "rest",
    "window_halved_at": "cut_at",
    "reported_limit": "limit",
    "remaining_share": "left",
    "even_shares": "shares",
    "next_permit_at": "pace_at",
}
MESSAGE_KEYS = {
    "over_quota": "over_share",
    "last_timeout": "waited",
    "last_failed_endpoint": "avoid",
}
CALL_KEYS = {
    "sent_at": "sent_at",
    "connection_idle": "idle",
    "since_previous_call": "gap",
    "batch_size": "joined",
    "evaluated": "judged",
    "overtaken_by": "passed",
}


def export_snapshot(
    state: DispatcherState, in_flight: Set[tuple[str, int]]
) -> dict[str, Any]:
    """What a successor must know beside the messages.

    `in_flight` names the attempts that still are, by message id and number. Endpoints
    go by the numbers that they have in this process. Under the keys: `targets`, the
    endpoints; `places`, the throttle scopes; `messages`; `lines`, the backoffs of
    ordering keys; `calls` in flight, with their attempts; `purses`, the tenants' quotas.
    """
    calls: dict[int, tuple[Call, list[tuple[str, int]]]] = {}
    for key, attempt in state.attempts.items():
        if key in in_flight:
            _, names = calls.setdefault(id(attempt.call), (attempt.call, []))
            names.append((key.message_id, key.number))
    return {
        "targets": [
            [e.id, e.destination, e.kind, _export(e, ENDPOINT_KEYS)]
            for e in state.endpoints.values()
        ],
        "places": [
            [*key, _export(scope, THROTTLE_SCOPE_KEYS)]
            for key, scope in state.throttle_scopes.items()
        ],
        "messages": [[m.id, _export(m, MESSAGE_KEYS)] for m in state.messages.values()],
        "lines": [
            [key, sequence.backoff_until]
            for key, sequence in state.key_sequences.items()
        ],
        "calls": [
            [call.endpoint.id, _export(call, CALL_KEYS), names]
            for call, names in calls.values()
        ],
        "purses": state.tenant_quota_used_until,
        "idle_us": state.idle_trust,
    }


def restore_snapshot(state: DispatcherState, snapshot: Mapping[str, Any]) -> None:
    """Go on where the former process stopped.

    What the snapshot lacks, and what it has of endpoints and messages that are gone, is
    left out.
    """
    for number, destination, kind, sent in snapshot.get("targets", []):
        _restore_endpoint(state, number, destination, kind, sent)
    for destination, number, sent in snapshot.get("places", []):
        _restore_throttle_scope(state, destination, number, sent)
    for message_id, sent in snapshot.get("messages", []):
        _restore_message(state, message_id, sent)
    for key, backoff_until in snapshot.get("lines", []):
        sequence = key_sequence(state, key)
        sequence.backoff_until = max(sequence.backoff_until, backoff_until)
        turn_to_next(state, key)
    for number, sent, names in snapshot.get("calls", []):
        keys = [AttemptKey(*name) for name in names if name[0] in state.messages]
        _restore_call(state, number, sent, keys)
    state.tenant_quota_used_until.update(snapshot.get("purses", {}))
    idle_trust = snapshot.get("idle_us", state.idle_trust)
    state.idle_trust = min(state.max_idle_trust, idle_trust)
    state.possibly_open.update(state.queues.by_destination)


def _export(record: object, keys: Mapping[str, str]) -> dict[str, Any]:
    """A record's attributes under the keys by which they are sent."""
    return {key: getattr(record, attribute) for attribute, key in keys.items()}


def _restore(record: object, sent: Mapping[str, Any], keys: Mapping[str, str]) -> None:
    """Set the attributes that were sent; the others stay as they are."""
    for attribute, key in keys.items():
        if key in sent:
            setattr(record, attribute, sent[key])


def _restore_endpoint(
    state: DispatcherState,
    number: int,
    destination: int,
    kind: str,
    sent: Mapping[str, Any],
) -> None:
    if number not in state.endpoints:
        # Gone from the list, perhaps with a call still in flight.
        endpoint = add_endpoint(state, number, destination, kind)
        endpoint.max_batch_size = 1
        endpoint.serving = False
    _restore(state.endpoints[number], sent, ENDPOINT_KEYS)


def _restore_throttle_scope(
    state: DispatcherState, destination: int, number: int, sent: Mapping[str, Any]
) -> None:
    own = state.throttle_scopes.get(ThrottleScopeKey(destination, number))
    if own is not None:
        _restore(own, sent, THROTTLE_SCOPE_KEYS)
        most = float(state.settings.forwarder_count)
        own.even_shares = min(own.even_shares, most)
        return
    # The kind is endpoint-scoped now, or no longer: a Retry-After binds
    # whatever it may be of.
    retry_after_until = sent.get("wait_until", 0)
    for key, scope in state.throttle_scopes.items():
        if key.destination == destination and ANY_ENDPOINT in (number, key.endpoint):
            scope.retry_after_until = max(scope.retry_after_until, retry_after_until)


def _restore_message(
    state: DispatcherState, message_id: str, sent: Mapping[str, Any]
) -> None:
    message = state.messages.get(message_id)
    if message is None:
        return
    _restore(message, sent, MESSAGE_KEYS)
    if message.class_queue is not None:
        wait(state, message)


def _restore_call(
    state: DispatcherState, number: int, sent: Mapping[str, Any], keys: list[AttemptKey]
) -> None:
    """A call of the former process is in flight here until its outcomes come."""
    endpoint = state.endpoints.get(number)
    if endpoint is None or not keys:
        return
    call = Call(endpoint, state.now)
    _restore(call, sent, CALL_KEYS)
    state.calls_in_flight += 1
    endpoint.in_flight += 1
    endpoint.throttle_scope.in_flight += 1
    endpoint.calls.append(call)
    for key in keys:
        _restore_attempt(state, call, key)
    note_overtaken(state, call)


def _restore_attempt(state: DispatcherState, call: Call, key: AttemptKey) -> None:
    message = state.messages[key.message_id]
    call.pending += 1
    message.in_flight += 1
    stop_waiting(state, message)
    state.send_count += 1
    state.attempts[key] = Attempt(message, call, state.send_count)
    call.attempt_keys.append(key)
    if message.ordering_key is not None:
        state.key_sequences[message.ordering_key].in_flight += 1
        offer_head(state, message.ordering_key)
