"""Detects outages of endpoints and their recovery.

An endpoint enters an outage, and with it slow start, when its failure ratio exceeds a
threshold. It recovers with a successful call. Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.actions import LogNote, RecordOutage
from rainfall.dispatch.endpoints import Call, Endpoint
from rainfall.dispatch.events import OutageRestored
from rainfall.dispatch.latency import ESTIMATE_HALF_LIFE_US
from rainfall.dispatch.outcomes import Outcome
from rainfall.dispatch.pacing import pace_interval
from rainfall.dispatch.slow_start import in_slow_start
from rainfall.dispatch.state import SMALL_FLEET, DispatcherState

OUTAGE_FAILURE_RATIO = 0.5
"""An endpoint is in an outage above this ratio: after two failures in a row, or if most
calls fail.
"""
CERTAIN_FAILURE_RATIO = 0.56
"""Above this ratio more than one call has failed, and messages that must not be
executed twice are held back.
"""
FAILURE_STEP = 0.35
"""Weight of the newest call in the failure ratio."""
RARE_CALL_STEP_LIMIT = 0.55
"""Maximum weight of the newest call. It applies after a long time without calls, when a
single failure is sufficient evidence of an outage.
"""
WEAK_SIGNAL_STEP = 0.15
"""Weight of a rejection or an inconclusive outcome in the failure ratio."""


def is_avoided(state: DispatcherState, endpoint_id: int) -> bool:
    """Whether an endpoint is out of service or in an outage.

    In an outage it gets messages only while no healthy endpoint can take them.
    """
    endpoint = state.endpoints.get(endpoint_id)
    if endpoint is None or not endpoint.serving:
        return True
    return endpoint_id in state.disabled_endpoints or endpoint.in_outage


def update_failure_ratio(
    state: DispatcherState, call: Call, outcome: Outcome, inconclusive: bool
) -> None:
    """Update the failure ratio of a call's endpoint with the call's outcome."""
    endpoint = call.endpoint
    if inconclusive or outcome is Outcome.REJECTED:
        step = WEAK_SIGNAL_STEP
    else:
        rareness = 1 - 0.5 ** (call.since_previous_call / ESTIMATE_HALF_LIFE_US)
        step = max(FAILURE_STEP, min(RARE_CALL_STEP_LIMIT, rareness))
    failed = outcome is not Outcome.DELIVERED
    ratio = endpoint.failure_ratio + step * (failed - endpoint.failure_ratio)
    if outcome is Outcome.REJECTED and pace_interval(state, endpoint):
        # Rejections slow down the pace, so they alone do not indicate an outage.
        ratio = min(ratio, max(OUTAGE_FAILURE_RATIO, endpoint.failure_ratio))
    endpoint.failure_ratio = ratio


def detect_outage(state: DispatcherState, endpoint: Endpoint, outcome: Outcome) -> None:
    """Start or end an endpoint's outage, depending on its failure ratio.

    `outcome` is that of the endpoint's last call, which is already part of the ratio.
    """
    if outcome is Outcome.DELIVERED:
        endpoint.last_success_at = state.now
        if endpoint.in_outage and endpoint.failure_ratio <= OUTAGE_FAILURE_RATIO:
            _recover(state, endpoint)
        return
    endpoint.last_failure_at = state.now
    if endpoint.failure_ratio > OUTAGE_FAILURE_RATIO:
        _begin_outage(state, endpoint, outcome)


def _begin_outage(state: DispatcherState, endpoint: Endpoint, outcome: Outcome) -> None:
    """Start an outage, or resume the last one if the endpoint is in slow start."""
    if not in_slow_start(state, endpoint):
        note = f"target {endpoint.id} in outage: {outcome.value}"
        state.actions.append(LogNote(note))
        endpoint.outage_started_at = state.now
        # Start at a random point of the interval, as many forwarders may have detected
        # the outage at the same time.
        endpoint.next_interval_factor = state.random.random()
        if outcome is not Outcome.REJECTED:
            _extend_outage_to_neighbours(state, endpoint)
    if endpoint.recovered_at >= 0 or endpoint.outage_started_at == state.now:
        started_at = endpoint.outage_started_at
        state.actions.append(RecordOutage(endpoint.id, started_at))
    endpoint.recovered_at = -1


def _extend_outage_to_neighbours(state: DispatcherState, failed: Endpoint) -> None:
    """Start outages of endpoints that share the throttle scope of a failed one.

    Applies only in large fleets, where the load that all forwarders move over to them
    adds up. Endpoints that have answered since the failed call was sent are left out.
    """
    for endpoint in state.serving(failed.destination):
        if (
            state.settings.forwarder_count > SMALL_FLEET
            and endpoint.throttle_scope is failed.throttle_scope
            and not in_slow_start(state, endpoint)
            and endpoint.last_success_at < failed.last_attempt_at
        ):
            endpoint.outage_started_at, endpoint.recovered_at = state.now, -1
            endpoint.next_interval_factor = state.random.random()
            endpoint.last_attempt_at = max(
                endpoint.last_attempt_at, failed.last_attempt_at
            )
            state.actions.append(RecordOutage(endpoint.id, endpoint.outage_started_at))


def _recover(state: DispatcherState, endpoint: Endpoint) -> None:
    """End an outage after a successful call, and start the warm-up.

    The endpoint recovered between the last failed call and now. The middle of that time
    is taken, but at most half an overload window ago; otherwise the first forwarders to
    detect the recovery would assume that the endpoint is warm.
    """
    half_way = (state.now + endpoint.last_failure_at) // 2
    half_window = state.settings.overload_window_us // 2
    recovered_at = max(half_way, state.now - half_window)
    _begin_warm_up(state, endpoint, max(endpoint.outage_started_at, recovered_at))
    # Endpoints that share a limit usually share outages: they need no successful call
    # of their own to recover.
    for other in state.serving(endpoint.destination):
        if other.throttle_scope is endpoint.throttle_scope and other.in_outage:
            started_at, recovered_at = other.outage_started_at, endpoint.recovered_at
            _begin_warm_up(state, other, max(started_at, recovered_at))
            other.failure_ratio = min(other.failure_ratio, OUTAGE_FAILURE_RATIO)


def _begin_warm_up(
    state: DispatcherState, endpoint: Endpoint, recovered_at: int
) -> None:
    endpoint.recovered_at = recovered_at
    started_at = endpoint.outage_started_at
    state.actions.append(RecordOutage(endpoint.id, started_at, recovered_at))
    state.actions.append(LogNote(f"target {endpoint.id} answers again: warming"))


def restore_outage(state: DispatcherState, event: OutageRestored) -> None:
    """Restore an outage from before a restart, if its endpoint is still known.

    The time of the last call is not known. The next one follows after a random part of
    an interval, so that forwarders that restart together do not call at the same time.
    """
    endpoint = state.endpoints.get(event.endpoint)
    if endpoint is None:
        return
    endpoint.outage_started_at = event.started_at_us
    endpoint.recovered_at = event.recovered_at_us
    endpoint.failure_ratio = CERTAIN_FAILURE_RATIO
    endpoint.last_attempt_at = state.now
    endpoint.next_interval_factor = state.random.random()
    state.possibly_available.add(endpoint.destination)
