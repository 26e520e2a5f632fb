"""Which endpoints there are, by the endpoint list and by the operators' word.

Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.actions import RecordOutage
from rainfall.dispatch.endpoints import (
    ANY_ENDPOINT,
    Endpoint,
    ThrottleScope,
    ThrottleScopeKey,
)
from rainfall.dispatch.events import (
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    EndpointState,
)
from rainfall.dispatch.pacing import initial_even_shares
from rainfall.dispatch.slow_start import in_slow_start
from rainfall.dispatch.state import DispatcherState

MIN_POLL_RETRY_US = 200_000
MAX_POLL_RETRY_US = 400_000
"""Between a poll of the list that failed and the next, by chance between both. It does
not grow with the failures: a change binds 6 s after discovery had it, whatever their
number.
"""
ENDPOINT_LIST = -1
"""No destination: its wakeup in `state.wakeups` is the next poll of the endpoint list."""
MAX_REMOVED_ENDPOINTS = 8_192
"""Endpoints that left the list and are still remembered; about 0.8 KB each."""


def change_endpoint_list(state: DispatcherState, event: EndpointListChanged) -> None:
    """Follow the list.

    A draining or removed endpoint gets nothing new from this round on.
    """
    if event.kind is EndpointListKind.FAILED:
        retry_us = state.random.randrange(MIN_POLL_RETRY_US, MAX_POLL_RETRY_US)
        state.wakeups.add(state.now + retry_us, ENDPOINT_LIST)
        return
    if event.kind is not EndpointListKind.CHANGES:
        for endpoint in state.endpoints.values():
            endpoint.serving = False
    for entry in event.entries:
        _update_endpoint(state, entry)
    _forget_removed(state)
    index_serving(state)


def _update_endpoint(state: DispatcherState, entry: EndpointEntry) -> None:
    endpoint = state.endpoints.get(entry.endpoint)
    if endpoint is None or endpoint.destination != entry.destination:
        endpoint = add_endpoint(
            state, entry.endpoint, entry.destination, entry.kind, entry.zone
        )
    endpoint.zone = entry.zone
    endpoint.weight = entry.weight
    endpoint.serving = entry.state is EndpointState.SERVING


def add_endpoint(
    state: DispatcherState,
    number: int,
    destination: int,
    kind_name: str,
    zone: str = "",
) -> Endpoint:
    """Add an endpoint of which nothing is known yet but its kind."""
    kind = state.kind(kind_name)
    scope = throttle_scope(state, destination, number, kind.endpoint_scoped)
    endpoint = Endpoint(
        number,
        destination,
        zone,
        0.0,
        scope,
        kind_name,
        kind.max_batch_size,
        kind.endpoint_scoped,
    )
    state.endpoints[number] = endpoint
    return endpoint


def throttle_scope(
    state: DispatcherState, destination: int, number: int, endpoint_scoped: bool
) -> ThrottleScope:
    """The throttle scope of an endpoint, a new one where there is none."""
    key = ThrottleScopeKey(destination, number if endpoint_scoped else ANY_ENDPOINT)
    fresh = ThrottleScope(destination, 1.0, even_shares=initial_even_shares(state))
    return state.throttle_scopes.setdefault(key, fresh)


def _forget_removed(state: DispatcherState) -> None:
    """Forget the oldest of very many that are gone, or they would add up over months."""
    removed = [
        endpoint
        for endpoint in state.endpoints.values()
        if not (
            endpoint.serving
            or endpoint.in_flight
            or endpoint.id in state.disabled_endpoints
        )
    ]
    for endpoint in removed[: max(0, len(removed) - MAX_REMOVED_ENDPOINTS)]:
        del state.endpoints[endpoint.id]
        if endpoint.endpoint_scoped:
            key = ThrottleScopeKey(endpoint.destination, endpoint.id)
            state.throttle_scopes.pop(key, None)


def index_serving(state: DispatcherState) -> None:
    """Index the endpoints that may be called, and look at all destinations again."""
    state.serving_endpoints = {}
    for endpoint in state.endpoints.values():
        if endpoint.serving and endpoint.id not in state.disabled_endpoints:
            serving = state.serving_endpoints.setdefault(endpoint.destination, [])
            serving.append(endpoint)
    state.dirty_destinations.update(state.queues.by_destination)


def disable_endpoint(state: DispatcherState, number: int) -> None:
    """Operators took an endpoint out."""
    state.disabled_endpoints.add(number)
    index_serving(state)


def enable_endpoint(state: DispatcherState, number: int) -> None:
    """Operators put an endpoint back. It was restarted: nothing learned before holds.

    It starts slowly only where it was seen in an outage before.
    """
    if number not in state.disabled_endpoints:
        return
    state.disabled_endpoints.discard(number)
    index_serving(state)
    endpoint = state.endpoints.get(number)
    if endpoint is not None:
        _reset_restarted(state, endpoint)


def _reset_restarted(state: DispatcherState, endpoint: Endpoint) -> None:
    was_in_outage = in_slow_start(state, endpoint)
    if was_in_outage:
        endpoint.recovered_at = endpoint.last_attempt_at = state.now
    else:
        endpoint.outage_started_at = endpoint.recovered_at = -1
    state.actions.append(
        RecordOutage(endpoint.id, endpoint.outage_started_at, endpoint.recovered_at)
    )
    endpoint.failure_ratio = 0.0
    endpoint.idle_since = -1
    endpoint.next_interval_factor = 1.0
    if in_slow_start(state, endpoint):
        # It comes back to all forwarders at once.
        endpoint.next_interval_factor = state.random.random()
    if endpoint.endpoint_scoped:
        scope = endpoint.throttle_scope
        scope.concurrency_window = 1.0
        scope.latency_estimate, scope.latency_updated_at = 0.0, -1
        scope.backoff = 0
