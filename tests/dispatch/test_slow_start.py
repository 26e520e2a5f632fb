"""Rule 4 for a fleet: the calls of all forwarders to a destination that recovers from an
outage, and the limits on them.
"""

from __future__ import annotations

import statistics
from dataclasses import replace

import pytest

from rainfall.dispatch import (
    Dispatcher,
    EndpointDisabled,
    EndpointEnabled,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    OutageRestored,
    Outcome,
    RecordOutage,
    SendMessage,
    TimerExpired,
    slow_start,
)
from tests.support.event_scripts import (
    MS,
    S,
    attempt_finished,
    message_received,
    send_actions,
    settings,
)
from tests.support.simulated_fleet import SCENES, simulate

DELIVERED, FAILED = Outcome.DELIVERED, Outcome.FAILED
PLAIN_SCENES = [scene for scene in SCENES if scene not in ("untold", "batch")]


def make_dispatcher(
    seed: int = 7,
    endpoint_count: int = 1,
    kind: str = "plain",
    weight: float = 4.0,
    **changes: object,
) -> Dispatcher:
    dispatcher = Dispatcher(
        settings(**{"endpoint_weights_known": True, **changes}), seed, 0
    )
    dispatcher.handle(
        0,
        [
            EndpointListChanged(
                EndpointListKind.CACHED,
                tuple(
                    EndpointEntry(number, 10, "north", kind, weight=weight)
                    for number in range(1, endpoint_count + 1)
                ),
            )
        ],
    )
    return dispatcher


@pytest.mark.parametrize("scene", PLAIN_SCENES)
@pytest.mark.parametrize("forwarders, cold_budget, seed", [(2, 1.0, 1), (4, 0.3, 1)])
def test_small_fleet_keeps_to_the_call_limit(
    scene: str, forwarders: int, cold_budget: float, seed: int
) -> None:
    verdict = simulate(SCENES[scene](forwarders, cold_budget, seed))
    assert verdict.limit_ratio <= 1 and not verdict.pushed, verdict


@pytest.mark.parametrize(
    "scene, cold_budget, seed",
    [
        ("long", 1.0, 2),
        ("short", 0.3, 3),
        ("batch", 4.0, 1),
        ("shared", 0.3, 1),
        ("apart", 1.0, 3),
        ("restart", 1.0, 2),
        ("untold", 1.0, 2),
    ],
)
def test_thirty_forwarders_keep_to_the_call_limit(
    scene: str, cold_budget: float, seed: int
) -> None:
    verdict = simulate(SCENES[scene](30, cold_budget, seed))
    assert verdict.limit_ratio <= 1 and not verdict.pushed, verdict


@pytest.mark.parametrize("forwarders, cold_budget", [(2, 1.0), (4, 4.0)])
@pytest.mark.parametrize("scene", ["batch", "untold"])
def test_small_fleet_with_batches_or_unknown_weights_keeps_to_the_limit(
    scene: str, forwarders: int, cold_budget: float
) -> None:
    play = SCENES[scene](
        forwarders, cold_budget if scene == "batch" else max(1.0, cold_budget), 1
    )
    verdict = simulate(play)
    assert verdict.limit_ratio <= 1 and not verdict.pushed, verdict


def test_two_hundred_forwarders_keep_to_the_call_limit() -> None:
    verdict = simulate(replace(SCENES["shared"](200, 1.0, 1), every_us=16 * S))
    assert verdict.limit_ratio <= 1 and not verdict.pushed, verdict


def test_fleet_calls_a_recovered_endpoint_soon() -> None:
    """The ramp intervals are long for each forwarder, not for the fleet as a whole."""
    delays_us = [
        simulate(SCENES["short"](30, 4.0, seed)).first_call_us for seed in range(1, 4)
    ]
    assert min(delays_us) >= 0 and statistics.median(delays_us) <= 4 * S


@pytest.mark.parametrize("told", [True, False])
def test_ramp_interval_grows_in_proportion_to_the_fleet(told: bool) -> None:
    """The interval used to be at most the overload window, or eight times the age of the
    outage: 200 forwarders then called within 3 s.
    """
    intervals = []
    for forwarders in (30, 60, 200):
        dispatcher = make_dispatcher(
            forwarder_count=forwarders, endpoint_weights_known=told
        )
        dispatcher.handle(0, [OutageRestored(1, 0)])
        intervals.append(dispatcher.ramp_interval(dispatcher.state.endpoints[1]))
        assert 1_500 * MS * forwarders / intervals[-1] <= slow_start.call_limit(
            dispatcher.state, dispatcher.state.endpoints[1]
        )
    assert intervals[1] == pytest.approx(2 * intervals[0]) and intervals[
        2
    ] == pytest.approx(200 / 30 * intervals[0])


@pytest.mark.parametrize("forwarders", [1, 2, 3, 4, 20, 30, 200])
@pytest.mark.parametrize("weight", [0.1, 1.0, 3.0, 20.0, 300.0])
def test_mean_calls_leave_room_for_chance(forwarders: int, weight: float) -> None:
    dispatcher = make_dispatcher(forwarder_count=forwarders, weight=weight)
    dispatcher.handle(0, [OutageRestored(1, 0)])
    endpoint = dispatcher.state.endpoints[1]
    # The budget is divided by 1.5, as a weight may be up to half too high.
    budget, mean = (
        2 * 0.2 * weight * 1.5 / 1.5,
        slow_start.mean_calls(dispatcher.state, endpoint),
    )
    assert 0 < mean <= max(0.8 * 1.5 * budget, 4)
    assert (
        mean + 3 * min(mean, mean / 12 + forwarders / 6) ** 0.5
        <= budget + 2 * budget**0.5 + 2
    )


def test_endpoints_that_share_a_limit_split_the_call_budget() -> None:
    """Each of them used to be called as often as a single endpoint where the budget is
    small.
    """
    alone, three = make_dispatcher(), make_dispatcher(endpoint_count=3)
    for dispatcher in (alone, three):
        dispatcher.handle(0, [OutageRestored(n, 0) for n in dispatcher.state.endpoints])
    assert three.ramp_interval(three.state.endpoints[1]) >= 3 * alone.ramp_interval(
        alone.state.endpoints[1]
    )


@pytest.mark.parametrize("cold_from", [0.0, 0.01])
@pytest.mark.parametrize("told", [True, False])
def test_ramp_interval_is_bounded_for_extreme_settings(
    cold_from: float, told: bool
) -> None:
    dispatcher = make_dispatcher(
        cold_capacity_share=cold_from,
        endpoint_weights_known=told,
        weight=0.0,
        overload_factor=0.0,
    )
    dispatcher.handle(0, [OutageRestored(1, 0)])
    assert 0 < dispatcher.ramp_interval(dispatcher.state.endpoints[1]) < 100 * S


def test_restarted_forwarders_do_not_call_in_step() -> None:
    """All of them used to call exactly one ramp interval after they had restored the
    outage.
    """
    first_calls = []
    for seed in range(40):
        dispatcher = make_dispatcher(seed, forwarder_count=40)
        dispatcher.handle(
            0, [OutageRestored(1, 0), message_received("a", deadline_us=100 * S)]
        )
        endpoint = dispatcher.state.endpoints[1]
        first_calls.append(
            (
                endpoint.last_attempt_at
                + endpoint.next_interval_factor * dispatcher.ramp_interval(endpoint)
            )
            / dispatcher.ramp_interval(endpoint)
        )
    quarters = [
        sum(
            quarter / 4 <= interval_share < (quarter + 1) / 4
            for interval_share in first_calls
        )
        for quarter in range(4)
    ]
    assert sum(quarters) == 40 and min(quarters) >= 4


def test_forwarders_that_detect_an_outage_at_once_do_not_call_in_step() -> None:
    interval_factors = []
    for seed in range(40):
        dispatcher = make_dispatcher(seed, forwarder_count=40)
        sent = send_actions(
            dispatcher.handle(3 * S, [message_received("a", deadline_us=100 * S)])
        )
        sent = send_actions(
            dispatcher.handle(
                3 * S + MS, [attempt_finished(sent[0], FAILED, duration_us=MS)]
            )
        )
        dispatcher.handle(
            3 * S + 2 * MS,
            [attempt_finished(sent[0], FAILED, attempt=1, duration_us=MS)]
            if sent
            else [],
        )
        assert dispatcher.is_avoided(1)
        interval_factors.append(dispatcher.state.endpoints[1].next_interval_factor)
    quarters = [
        sum(quarter / 4 <= factor < (quarter + 1) / 4 for factor in interval_factors)
        for quarter in range(4)
    ]
    assert sum(quarters) == 40 and min(quarters) >= 4


def test_first_success_after_a_long_interval_starts_the_warm_up() -> None:
    """Half way back to the last failure is long before the recovery where ramp intervals
    are long.
    """
    dispatcher = make_dispatcher(forwarder_count=200)
    dispatcher.handle(0, [OutageRestored(1, 0)])
    endpoint, now = dispatcher.state.endpoints[1], 0
    endpoint.last_failure_at, endpoint.failure_ratio = 0, 0.6
    sent: list[SendMessage] = []
    while not sent:
        now += S
        sent = send_actions(
            dispatcher.handle(
                now, [message_received(f"m{now}", deadline_us=now + 9 * S)]
            )
        )
    assert now > 30 * S
    dispatcher.handle(now + MS, [attempt_finished(sent[0], DELIVERED, duration_us=MS)])
    assert endpoint.recovered_at >= now + MS - 750 * MS
    dispatcher.handle(now + 10 * S, [])
    assert dispatcher.in_slow_start(endpoint), (
        "the endpoint may have recovered with that very call"
    )
    dispatcher.handle(now + 11 * S, [])
    assert not dispatcher.in_slow_start(endpoint)


def warming_dispatcher(**changes: object) -> Dispatcher:
    dispatcher = make_dispatcher(kind="lots", **changes)
    dispatcher.handle(S, [OutageRestored(1, 0, S)])
    dispatcher.state.endpoints[1].last_attempt_at = -1000 * S
    return dispatcher


def test_calls_to_a_warming_endpoint_carry_few_messages() -> None:
    """A batch of any size used to be sent at once, but each further message adds to the
    weight of a call.
    """
    dispatcher = warming_dispatcher(forwarder_count=30, weight=40.0)
    assert (
        len(
            send_actions(
                dispatcher.handle(S, [message_received(f"m{n}") for n in range(9)])
            )
        )
        == 1
    )
    dispatcher = warming_dispatcher(forwarder_count=1, weight=40.0)
    assert (
        len(
            send_actions(
                dispatcher.handle(S, [message_received(f"m{n}") for n in range(9)])
            )
        )
        == 4
    )


def test_weight_of_joined_messages_lengthens_the_next_interval() -> None:
    single, batch = (
        warming_dispatcher(forwarder_count=1, weight=40.0),
        warming_dispatcher(forwarder_count=1, weight=40.0),
    )
    single.handle(S, [message_received("m0")])
    batch.handle(S, [message_received(f"m{n}") for n in range(4)])
    assert (
        batch.state.endpoints[1].next_interval_factor >= 0.5 * slow_start.call_weight(4)
        and slow_start.call_weight(4) == 1.75
    )
    assert single.state.endpoints[1].next_interval_factor <= 1.5


@pytest.mark.parametrize("forwarder_count, stays_available", [(40, False), (2, True)])
def test_endpoints_that_share_a_limit_share_outages_in_a_large_fleet(
    forwarder_count: int, stays_available: bool
) -> None:
    """An outage mostly hits all endpoints that share a limit, but messages of the first
    used to be sent to the others.
    """
    dispatcher = make_dispatcher(
        endpoint_count=2, forwarder_count=forwarder_count, weight=400.0
    )
    send = send_actions(
        dispatcher.handle(3 * S, [message_received("m", deadline_us=30 * S)])
    )[0]
    actions = dispatcher.handle(4 * S, [attempt_finished(send, FAILED, duration_us=S)])
    assert (
        dispatcher.is_avoided(send.endpoint)
        and dispatcher.is_avoided(3 - send.endpoint) is not stays_available
    )
    assert {
        action.endpoint for action in actions if isinstance(action, RecordOutage)
    } == ({send.endpoint} if stays_available else {1, 2})
    assert not stays_available or send_actions(actions)


def test_endpoint_that_answered_since_is_not_in_the_shared_outage() -> None:
    dispatcher = make_dispatcher(endpoint_count=2, forwarder_count=40, weight=400.0)
    dispatcher.state.endpoints[1].throttle_scope.concurrency_window = 6.0
    first = send_actions(
        dispatcher.handle(3 * S, [message_received("m0", deadline_us=30 * S)])
    )[0]
    second = send_actions(
        dispatcher.handle(3 * S + 1, [message_received("m1", deadline_us=30 * S)])
    )[0]
    assert first.endpoint != second.endpoint
    dispatcher.handle(3 * S + MS, [attempt_finished(first, DELIVERED, duration_us=MS)])
    dispatcher.handle(4 * S, [attempt_finished(second, FAILED, duration_us=S)])
    assert dispatcher.is_avoided(second.endpoint) and not dispatcher.is_avoided(
        first.endpoint
    )


def test_endpoints_that_share_a_limit_warm_up_together() -> None:
    dispatcher = make_dispatcher(endpoint_count=2, forwarder_count=40, weight=4.0)
    send = send_actions(
        dispatcher.handle(3 * S, [message_received("m", deadline_us=90 * S)])
    )[0]
    now = 4 * S
    dispatcher.handle(now, [attempt_finished(send, FAILED, duration_us=S)])
    while not (retries := send_actions(dispatcher.handle(now, [TimerExpired("look")]))):
        now += 100 * MS
    dispatcher.handle(
        now + MS, [attempt_finished(retries[0], DELIVERED, attempt=1, duration_us=MS)]
    )
    assert all(
        dispatcher.in_slow_start(endpoint) and not dispatcher.is_avoided(endpoint.id)
        for endpoint in dispatcher.state.endpoints.values()
    )


def test_endpoints_enabled_on_all_forwarders_are_not_called_in_step() -> None:
    interval_factors = []
    for seed in range(40):
        dispatcher = make_dispatcher(seed, forwarder_count=40)
        dispatcher.handle(0, [OutageRestored(1, 0), EndpointDisabled(1)])
        dispatcher.handle(S, [EndpointEnabled(1)])
        interval_factors.append(dispatcher.state.endpoints[1].next_interval_factor)
    assert (
        len(set(interval_factors)) > 30
        and min(interval_factors) >= 0
        and max(interval_factors) <= 1
    )
