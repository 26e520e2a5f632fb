"""Maintains the set of endpoints from the endpoint list and the operators' commands.

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
"""After a failed poll, polling starts again after a random delay between
`MIN_POLL_RETRY_US` and `MAX_POLL_RETRY_US`. The delay does not grow with consecutive
failures: a change must take effect within 6 s of reaching discovery, however many polls
fail.
"""
ENDPOINT_LIST_POLL = -1
"""Stands for the endpoint list among the destinations in `state.wakeups` and
`state.dirty_destinations`, although it is not a destination. When it is due, polling of
the endpoint list starts.
"""
MAX_REMOVED_ENDPOINTS = 8_192
"""Number of endpoints kept after they left the list; each takes about 0.8 KB."""


def change_endpoint_list(state: DispatcherState, event: EndpointListChanged) -> None:
    """Apply a new endpoint list or a change of it, or schedule a retry after a failure.

    From this round on, nothing is sent to draining and removed endpoints.
    """
    if event.kind is EndpointListKind.FAILED:
        retry_us = state.random.randrange(MIN_POLL_RETRY_US, MAX_POLL_RETRY_US)
        state.wakeups.add(state.now + retry_us, ENDPOINT_LIST_POLL)
        return
    if event.kind is not EndpointListKind.CHANGES:
        for endpoint in state.endpoints.values():
            endpoint.serving = False
    for entry in event.entries:
        _update_endpoint(state, entry)
    _evict_removed_endpoints(state)
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
    endpoint_id: int,
    destination: int,
    kind_name: str,
    zone: str = "",
) -> Endpoint:
    """Add an endpoint without observations and with weight 0."""
    kind = state.destination_kind(kind_name)
    scope = ensure_throttle_scope(state, destination, endpoint_id, kind.endpoint_scoped)
    endpoint = Endpoint(
        endpoint_id,
        destination,
        zone,
        0.0,
        scope,
        kind_name,
        kind.max_batch_size,
        kind.endpoint_scoped,
    )
    state.endpoints[endpoint_id] = endpoint
    return endpoint


def ensure_throttle_scope(
    state: DispatcherState, destination: int, endpoint_id: int, endpoint_scoped: bool
) -> ThrottleScope:
    """Return the throttle scope of an endpoint, creating it if there is none."""
    key = ThrottleScopeKey(
        destination, endpoint_id if endpoint_scoped else ANY_ENDPOINT
    )
    new_scope = ThrottleScope(destination, 1.0, even_shares=initial_even_shares(state))
    return state.throttle_scopes.setdefault(key, new_scope)


def _evict_removed_endpoints(state: DispatcherState) -> None:
    """Delete the oldest removed endpoints beyond `MAX_REMOVED_ENDPOINTS`.

    Otherwise removed endpoints would accumulate over months. Endpoints with calls in
    flight and those disabled by operators are kept.
    """
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
    """Rebuild `serving_endpoints`, and mark all destinations with messages as dirty."""
    state.serving_endpoints = {}
    for endpoint in state.endpoints.values():
        if endpoint.serving and endpoint.id not in state.disabled_endpoints:
            serving = state.serving_endpoints.setdefault(endpoint.destination, [])
            serving.append(endpoint)
    state.dirty_destinations.update(state.queues.by_destination)


def disable_endpoint(state: DispatcherState, endpoint_id: int) -> None:
    """Send nothing to an endpoint until operators enable it again."""
    state.disabled_endpoints.add(endpoint_id)
    index_serving(state)


def enable_endpoint(state: DispatcherState, endpoint_id: int) -> None:
    """Put an endpoint back into service and discard the observations of it.

    Operators restart an endpoint before they enable it. It goes through slow start only
    if it was in slow start before.
    """
    if endpoint_id not in state.disabled_endpoints:
        return
    state.disabled_endpoints.discard(endpoint_id)
    index_serving(state)
    endpoint = state.endpoints.get(endpoint_id)
    if endpoint is not None:
        _reset_restarted(state, endpoint)


def _reset_restarted(state: DispatcherState, endpoint: Endpoint) -> None:
    was_in_slow_start = in_slow_start(state, endpoint)
    if was_in_slow_start:
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
        # All forwarders see the endpoint return at the same time.
        endpoint.next_interval_factor = state.random.random()
    if endpoint.endpoint_scoped:
        scope = endpoint.throttle_scope
        scope.concurrency_window = 1.0
        scope.latency_estimate, scope.latency_updated_at = 0.0, -1
        scope.backoff = 0
