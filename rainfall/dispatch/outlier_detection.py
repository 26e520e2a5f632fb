"""Which endpoints fail, are in an outage, and have recovered.

An endpoint is put into slow start when its failure ratio passes a mark, and recovers
with a call that succeeds. Times are integer microseconds.
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
"""Above it an endpoint is in an outage: two failures in a row, or most calls."""
CERTAIN_FAILURE_RATIO = 0.56
"""Above it more than one call has failed, and messages that must not be executed twice
are held back.
"""
FAILURE_STEP = 0.35
"""Weight of the newest call in the failure ratio."""
RARE_CALL_STEP_LIMIT = 0.55
"""Its weight at most, after a long time without calls: one failure is then sign enough."""
WEAK_SIGN_STEP = 0.15
"""Weight of a rejection or an inconclusive outcome in the failure ratio."""


def is_avoided(state: DispatcherState, endpoint_id: int) -> bool:
    """Whether an endpoint gets nothing now, or nothing while others are sound."""
    endpoint = state.endpoints.get(endpoint_id)
    if endpoint is None or not endpoint.serving:
        return True
    return endpoint_id in state.disabled_endpoints or endpoint.in_outage


def update_failure_ratio(
    state: DispatcherState, call: Call, outcome: Outcome, inconclusive: bool
) -> None:
    """Take a call's outcome into its endpoint's failure ratio."""
    endpoint = call.endpoint
    if inconclusive or outcome is Outcome.REJECTED:
        step = WEAK_SIGN_STEP
    else:
        rareness = 1 - 0.5 ** (call.since_previous_call / ESTIMATE_HALF_LIFE_US)
        step = max(FAILURE_STEP, min(RARE_CALL_STEP_LIMIT, rareness))
    failed = outcome is not Outcome.DELIVERED
    ratio = endpoint.failure_ratio + step * (failed - endpoint.failure_ratio)
    if outcome is Outcome.REJECTED and pace_interval(state, endpoint):
        # The pace adapts to rejections: these alone are no sign of an outage.
        ratio = min(ratio, max(OUTAGE_FAILURE_RATIO, endpoint.failure_ratio))
    endpoint.failure_ratio = ratio


def detect_outage(state: DispatcherState, endpoint: Endpoint, outcome: Outcome) -> None:
    """Follow an endpoint into an outage and out of it, by the last call's outcome."""
    if outcome is Outcome.DELIVERED:
        endpoint.last_success_at = state.now
        if endpoint.in_outage and endpoint.failure_ratio <= OUTAGE_FAILURE_RATIO:
            _recover(state, endpoint)
        return
    endpoint.last_failure_at = state.now
    if endpoint.failure_ratio > OUTAGE_FAILURE_RATIO:
        _begin_outage(state, endpoint, outcome)


def _begin_outage(state: DispatcherState, endpoint: Endpoint, outcome: Outcome) -> None:
    """Begin an outage, or fall back into one that was taken to be over."""
    if not in_slow_start(state, endpoint):
        note = f"target {endpoint.id} in outage: {outcome.value}"
        state.actions.append(LogNote(note))
        endpoint.outage_started_at = state.now
        # From the middle of an interval: many may have learned at once.
        endpoint.next_interval_factor = state.random.random()
        if outcome is not Outcome.REJECTED:
            _suspect_neighbours(state, endpoint)
    if endpoint.recovered_at >= 0 or endpoint.outage_started_at == state.now:
        started_at = endpoint.outage_started_at
        state.actions.append(RecordOutage(endpoint.id, started_at))
    endpoint.recovered_at = -1


def _suspect_neighbours(state: DispatcherState, failed: Endpoint) -> None:
    """Take endpoints that share the limit of a failed one to be out as well.

    Only in a large fleet, and those that have not answered since the call that failed:
    what all forwarders send over to them adds up.
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
    """An endpoint answers again.

    It recovered between the last call that failed and this one: half way, but no
    earlier than half an overload window ago, as those who learn it first would
    otherwise take it to be warm.
    """
    half_way = (state.now + endpoint.last_failure_at) // 2
    half_window = state.settings.overload_window_us // 2
    recovered_at = max(half_way, state.now - half_window)
    _begin_warm_up(state, endpoint, max(endpoint.outage_started_at, recovered_at))
    # What shares a limit mostly shares its outages: each need not be tried first.
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
    """Go on with an outage of before a restart, where the list still has its endpoint.

    When the last call went is not known: forwarders that restart at once must not call
    in step an interval later.
    """
    endpoint = state.endpoints.get(event.endpoint)
    if endpoint is None:
        return
    endpoint.outage_started_at = event.started_at_us
    endpoint.recovered_at = event.recovered_at_us
    endpoint.failure_ratio = CERTAIN_FAILURE_RATIO
    endpoint.last_attempt_at = state.now
    endpoint.next_interval_factor = state.random.random()
    state.possibly_open.add(endpoint.destination)
