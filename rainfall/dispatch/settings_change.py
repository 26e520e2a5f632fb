"""Putting other settings in force. Times are integer microseconds."""

from __future__ import annotations

from rainfall.dispatch.endpoint_list import throttle_scope
from rainfall.dispatch.endpoints import Endpoint
from rainfall.dispatch.pacing import pace_interval
from rainfall.dispatch.settings import Settings
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.waiting import follow_settings


def change_settings(state: DispatcherState, settings: Settings) -> None:
    """Other settings hold.

    What was worked out by the former ones binds no more; what an endpoint reported does.
    """
    former = state.settings
    state.apply_settings(settings)
    if former.idle_connection_us:
        state.idle_trust = min(state.idle_trust, state.max_idle_trust)
    else:
        state.idle_trust = state.max_idle_trust
    if (settings.tenants, settings.forwarder_count) != (
        former.tenants,
        former.forwarder_count,
    ):
        state.tenant_quota_used_until.clear()
    limits_changed = (settings.forwarder_count, settings.endpoint_weights_known) != (
        former.forwarder_count,
        former.endpoint_weights_known,
    )
    for endpoint in state.endpoints.values():
        _follow_kind(state, endpoint)
        if limits_changed:
            _shorten_pace(state, endpoint)
    follow_settings(state, former)
    state.dirty_destinations.update(state.queues.by_destination)


def _follow_kind(state: DispatcherState, endpoint: Endpoint) -> None:
    """Its destination's kind may have other batches or another throttle scope now."""
    kind = state.kind(endpoint.kind)
    endpoint.max_batch_size = kind.max_batch_size
    if endpoint.endpoint_scoped is kind.endpoint_scoped:
        return
    endpoint.endpoint_scoped = kind.endpoint_scoped
    former = endpoint.throttle_scope
    former.in_flight -= endpoint.in_flight
    scope = throttle_scope(
        state, endpoint.destination, endpoint.id, endpoint.endpoint_scoped
    )
    scope.in_flight += endpoint.in_flight
    scope.retry_after_until = max(scope.retry_after_until, former.retry_after_until)
    endpoint.throttle_scope = scope


def _shorten_pace(state: DispatcherState, endpoint: Endpoint) -> None:
    """A pace made for more forwarders does not bind fewer."""
    scope = endpoint.throttle_scope
    scope.even_shares = min(scope.even_shares, float(state.settings.forwarder_count))
    next_permit_at = state.now + int(pace_interval(state, endpoint))
    scope.next_permit_at = min(scope.next_permit_at, next_permit_at)
