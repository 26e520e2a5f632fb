"""Applies changed settings to the state. Times are integer microseconds."""

from __future__ import annotations

from rainfall.dispatch.endpoint_list import ensure_throttle_scope
from rainfall.dispatch.endpoints import Endpoint
from rainfall.dispatch.pacing import pace_interval
from rainfall.dispatch.settings import Settings
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.waiting import apply_settings_to_queues


def change_settings(state: DispatcherState, settings: Settings) -> None:
    """Replace the settings.

    Limits computed from the previous settings no longer apply. Retry-After and rate
    limits reported by endpoints remain in force.
    """
    previous = state.settings
    state.apply_settings(settings)
    if previous.idle_connection_us:
        state.idle_timeout_estimate = min(
            state.idle_timeout_estimate, state.max_idle_timeout_estimate
        )
    else:
        state.idle_timeout_estimate = state.max_idle_timeout_estimate
    if (settings.tenants, settings.forwarder_count) != (
        previous.tenants,
        previous.forwarder_count,
    ):
        state.tenant_quota_used_until.clear()
    limits_changed = (settings.forwarder_count, settings.endpoint_weights_known) != (
        previous.forwarder_count,
        previous.endpoint_weights_known,
    )
    for endpoint in state.endpoints.values():
        _apply_kind(state, endpoint)
        if limits_changed:
            _shorten_pace(state, endpoint)
    apply_settings_to_queues(state, previous)
    state.dirty_destinations.update(state.queues.by_destination)


def _apply_kind(state: DispatcherState, endpoint: Endpoint) -> None:
    """Update an endpoint's batch size and throttle scope from its kind."""
    kind = state.destination_kind(endpoint.kind)
    endpoint.max_batch_size = kind.max_batch_size
    if endpoint.endpoint_scoped is kind.endpoint_scoped:
        return
    endpoint.endpoint_scoped = kind.endpoint_scoped
    previous = endpoint.throttle_scope
    previous.in_flight -= endpoint.in_flight
    scope = ensure_throttle_scope(
        state, endpoint.destination, endpoint.id, endpoint.endpoint_scoped
    )
    scope.in_flight += endpoint.in_flight
    scope.retry_after_until = max(scope.retry_after_until, previous.retry_after_until)
    endpoint.throttle_scope = scope


def _shorten_pace(state: DispatcherState, endpoint: Endpoint) -> None:
    """Bring the next permitted call forward if the pace has become faster.

    A pace computed for more forwarders must not delay the calls of fewer.
    """
    scope = endpoint.throttle_scope
    scope.even_shares = min(scope.even_shares, float(state.settings.forwarder_count))
    next_permit_at = state.now + int(pace_interval(state, endpoint))
    scope.next_permit_at = min(scope.next_permit_at, next_permit_at)
