"""Exports the state to a successor process, and restores it there.

A snapshot may be sent to a process of another version: its keys must not change, and
the tables in this module map the current attribute names to them. Messages, endpoint
lists and outages are in the journal and not in the snapshot. Times are integer
microseconds.
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
from rainfall.dispatch.ordering import (
    advance_key,
    ensure_key_sequence,
    update_ready_head,
)
from rainfall.dispatch.stalled_calls import note_overtaken
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.waiting import dequeue, enqueue

ENDPOINT_KEYS = {
    "failure_ratio": "failing",
    "last_failure_at": "failed_at",
    "last_success_at": "well_at",
    "last_attempt_at": "tried_at",
    "outage_started_at": "outage_at",
    "recovered_at": "back_at",
    "next_interval_factor": "spread",
}
"""Exported attributes of `Endpoint`, and their keys in the snapshot."""
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
"""Exported attributes of `ThrottleScope`, and their keys in the snapshot."""
MESSAGE_KEYS = {
    "over_quota": "over_share",
    "last_timeout": "waited",
    "last_failed_endpoint": "avoid",
}
"""Exported attributes of `Message`, and their keys in the snapshot."""
CALL_KEYS = {
    "sent_at": "sent_at",
    "connection_idle": "idle",
    "since_previous_call": "gap",
    "batch_size": "joined",
    "evaluated": "judged",
    "overtaken_by": "passed",
}
"""Exported attributes of `Call`, and their keys in the snapshot."""


def export_snapshot(
    state: DispatcherState, in_flight: Set[tuple[str, int]]
) -> dict[str, Any]:
    """Return the state that a successor needs in addition to the journal, as JSON data.

    `in_flight` holds (message id, attempt number) of the attempts still in flight.
    Endpoints are identified by their ids in this process. The snapshot has these keys:

    - `targets`: endpoints;
    - `places`: throttle scopes;
    - `messages`: fields of messages that are not in the journal;
    - `lines`: backoffs of ordering keys;
    - `calls`: calls in flight, with their attempts;
    - `purses`: times up to which the tenants' quotas are used up;
    - `idle_us`: estimated idle timeout of connections.
    """
    calls: dict[int, tuple[Call, list[tuple[str, int]]]] = {}
    for key, attempt in state.attempts.items():
        if key in in_flight:
            _, attempt_ids = calls.setdefault(id(attempt.call), (attempt.call, []))
            attempt_ids.append((key.message_id, key.number))
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
            [call.endpoint.id, _export(call, CALL_KEYS), attempt_ids]
            for call, attempt_ids in calls.values()
        ],
        "purses": state.tenant_quota_used_until,
        "idle_us": state.idle_timeout_estimate,
    }


def restore_snapshot(state: DispatcherState, snapshot: Mapping[str, Any]) -> None:
    """Restore the state that a previous process exported.

    State that is not in the snapshot remains unchanged. Entries of the snapshot for
    unknown messages are ignored.
    """
    for endpoint_id, destination, kind, values in snapshot.get("targets", []):
        _restore_endpoint(state, endpoint_id, destination, kind, values)
    for destination, endpoint_id, values in snapshot.get("places", []):
        _restore_throttle_scope(state, destination, endpoint_id, values)
    for message_id, values in snapshot.get("messages", []):
        _restore_message(state, message_id, values)
    for key, backoff_until in snapshot.get("lines", []):
        sequence = ensure_key_sequence(state, key)
        sequence.backoff_until = max(sequence.backoff_until, backoff_until)
        advance_key(state, key)
    for endpoint_id, values, attempt_ids in snapshot.get("calls", []):
        keys = [
            AttemptKey(*attempt_id)
            for attempt_id in attempt_ids
            if attempt_id[0] in state.messages
        ]
        _restore_call(state, endpoint_id, values, keys)
    state.tenant_quota_used_until.update(snapshot.get("purses", {}))
    idle_timeout_estimate = snapshot.get("idle_us", state.idle_timeout_estimate)
    state.idle_timeout_estimate = min(
        state.max_idle_timeout_estimate, idle_timeout_estimate
    )
    state.possibly_available.update(state.queues.by_destination)


def _export(record: object, keys: Mapping[str, str]) -> dict[str, Any]:
    """Return a record's attributes under their keys in the snapshot."""
    return {key: getattr(record, attribute) for attribute, key in keys.items()}


def _restore(
    record: object, values: Mapping[str, Any], keys: Mapping[str, str]
) -> None:
    """Set the attributes whose keys are in the snapshot; leave the others unchanged."""
    for attribute, key in keys.items():
        if key in values:
            setattr(record, attribute, values[key])


def _restore_endpoint(
    state: DispatcherState,
    endpoint_id: int,
    destination: int,
    kind: str,
    values: Mapping[str, Any],
) -> None:
    if endpoint_id not in state.endpoints:
        # The endpoint has left the list, but a call to it may still be in flight.
        endpoint = add_endpoint(state, endpoint_id, destination, kind)
        endpoint.max_batch_size = 1
        endpoint.serving = False
    _restore(state.endpoints[endpoint_id], values, ENDPOINT_KEYS)


def _restore_throttle_scope(
    state: DispatcherState,
    destination: int,
    endpoint_id: int,
    values: Mapping[str, Any],
) -> None:
    existing_scope = state.throttle_scopes.get(
        ThrottleScopeKey(destination, endpoint_id)
    )
    if existing_scope is not None:
        _restore(existing_scope, values, THROTTLE_SCOPE_KEYS)
        max_shares = float(state.settings.forwarder_count)
        existing_scope.even_shares = min(existing_scope.even_shares, max_shares)
        return
    # The kind has become endpoint-scoped, or is no longer: the Retry-After is applied
    # to every scope that it may belong to.
    retry_after_until = values.get("wait_until", 0)
    for key, scope in state.throttle_scopes.items():
        if key.destination == destination and ANY_ENDPOINT in (
            endpoint_id,
            key.endpoint,
        ):
            scope.retry_after_until = max(scope.retry_after_until, retry_after_until)


def _restore_message(
    state: DispatcherState, message_id: str, values: Mapping[str, Any]
) -> None:
    message = state.messages.get(message_id)
    if message is None:
        return
    _restore(message, values, MESSAGE_KEYS)
    if message.class_queue is not None:
        enqueue(state, message)


def _restore_call(
    state: DispatcherState,
    endpoint_id: int,
    values: Mapping[str, Any],
    keys: list[AttemptKey],
) -> None:
    """Restore a call that is in flight until the outcomes of its attempts arrive.

    A call to an unknown endpoint, or without known messages, is ignored.
    """
    endpoint = state.endpoints.get(endpoint_id)
    if endpoint is None or not keys:
        return
    call = Call(endpoint, state.now)
    _restore(call, values, CALL_KEYS)
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
    dequeue(state, message)
    state.send_count += 1
    state.attempts[key] = Attempt(message, call, state.send_count)
    call.attempt_keys.append(key)
    if message.ordering_key is not None:
        state.key_sequences[message.ordering_key].in_flight += 1
        update_ready_head(state, message.ordering_key)
