"""Rule 4 for a fleet: what all forwarders send to a destination that comes back cold,
and what bounds it.
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
from tests.support.event_scripts import MS, S, ask, end, sends, settings
from tests.support.simulated_fleet import SCENES, played

OK, FAILED = Outcome.DELIVERED, Outcome.FAILED
CALM = [s for s in SCENES if s not in ("untold", "batch")]


def dispatcher(
    seed: int = 7,
    entries: int = 1,
    kind: str = "plain",
    weight: float = 4.0,
    **changes: object,
) -> Dispatcher:
    d = Dispatcher(settings(**{"endpoint_weights_known": True, **changes}), seed, 0)
    d.handle(
        0,
        [
            EndpointListChanged(
                EndpointListKind.CACHED,
                tuple(
                    EndpointEntry(n, 10, "north", kind, weight=weight)
                    for n in range(1, entries + 1)
                ),
            )
        ],
    )
    return d


@pytest.mark.parametrize("scene", CALM)
@pytest.mark.parametrize("forwarders, n, seed", [(2, 1.0, 1), (4, 0.3, 1)])
def test_few_forwarders_keep_to_the_bound(
    scene: str, forwarders: int, n: float, seed: int
) -> None:
    verdict = played(SCENES[scene](forwarders, n, seed))
    assert verdict.part <= 1 and not verdict.pushed, verdict


@pytest.mark.parametrize(
    "scene, n, seed",
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
def test_thirty_forwarders_keep_to_the_bound(scene: str, n: float, seed: int) -> None:
    verdict = played(SCENES[scene](30, n, seed))
    assert verdict.part <= 1 and not verdict.pushed, verdict


@pytest.mark.parametrize("forwarders, n", [(2, 1.0), (4, 4.0)])
@pytest.mark.parametrize("scene", ["batch", "untold"])
def test_silent_weights_and_batches_keep_few_to_the_bound(
    scene: str, forwarders: int, n: float
) -> None:
    play = SCENES[scene](forwarders, n if scene == "batch" else max(1.0, n), 1)
    verdict = played(play)
    assert verdict.part <= 1 and not verdict.pushed, verdict


def test_two_hundred_forwarders_keep_to_the_bound() -> None:
    verdict = played(replace(SCENES["shared"](200, 1.0, 1), every_us=16 * S))
    assert verdict.part <= 1 and not verdict.pushed, verdict


def test_the_fleet_hears_of_the_return_soon() -> None:
    """The turns are long for each, not for all of them together."""
    found = [played(SCENES["short"](30, 4.0, seed)).found_us for seed in range(1, 4)]
    assert min(found) >= 0 and statistics.median(found) <= 4 * S


@pytest.mark.parametrize("told", [True, False])
def test_a_turn_is_as_much_longer_as_there_are_forwarders(told: bool) -> None:
    """It used to be at most fall_us, or eight times the age of the outage: 200 then
    called within 3 s.
    """
    turns = []
    for forwarders in (30, 60, 200):
        d = dispatcher(forwarder_count=forwarders, endpoint_weights_known=told)
        d.handle(0, [OutageRestored(1, 0)])
        turns.append(d.ramp_interval(d.state.endpoints[1]))
        assert 1_500 * MS * forwarders / turns[-1] <= slow_start.call_limit(
            d.state, d.state.endpoints[1]
        )
    assert turns[1] == pytest.approx(2 * turns[0]) and turns[2] == pytest.approx(
        200 / 30 * turns[0]
    )


@pytest.mark.parametrize("forwarders", [1, 2, 3, 4, 20, 30, 200])
@pytest.mark.parametrize("weight", [0.1, 1.0, 3.0, 20.0, 300.0])
def test_the_mean_leaves_room_for_chance(forwarders: int, weight: float) -> None:
    d = dispatcher(forwarder_count=forwarders, weight=weight)
    d.handle(0, [OutageRestored(1, 0)])
    t = d.state.endpoints[1]
    n, mean = (
        2 * 0.2 * weight * 1.5 / 1.5,
        slow_start.mean_calls(d.state, t),
    )  # a weight may be half too high
    assert 0 < mean <= max(0.8 * 1.5 * n, 4)
    assert mean + 3 * min(mean, mean / 12 + forwarders / 6) ** 0.5 <= n + 2 * n**0.5 + 2


def test_endpoints_that_share_a_limit_share_the_turns() -> None:
    """Each of them used to be called as often as one alone where the budget is
    small.
    """
    alone, three = dispatcher(), dispatcher(entries=3)
    for d in (alone, three):
        d.handle(0, [OutageRestored(n, 0) for n in d.state.endpoints])
    assert three.ramp_interval(three.state.endpoints[1]) >= 3 * alone.ramp_interval(
        alone.state.endpoints[1]
    )


@pytest.mark.parametrize("cold_from", [0.0, 0.01])
@pytest.mark.parametrize("told", [True, False])
def test_a_turn_is_known_whatever_the_settings(cold_from: float, told: bool) -> None:
    d = dispatcher(
        cold_capacity_share=cold_from,
        endpoint_weights_known=told,
        weight=0.0,
        overload_factor=0.0,
    )
    d.handle(0, [OutageRestored(1, 0)])
    assert 0 < d.ramp_interval(d.state.endpoints[1]) < 100 * S


def test_restarted_forwarders_do_not_call_in_step() -> None:
    """All of them used to call one whole turn after the moment in which they recalled
    the outage.
    """
    first = []
    for seed in range(40):
        d = dispatcher(seed, forwarder_count=40)
        d.handle(0, [OutageRestored(1, 0), ask("a", due=100 * S)])
        t = d.state.endpoints[1]
        first.append(
            (t.last_attempt_at + t.next_interval_factor * d.ramp_interval(t))
            / d.ramp_interval(t)
        )
    quarters = [sum(n / 4 <= at < (n + 1) / 4 for at in first) for n in range(4)]
    assert sum(quarters) == 40 and min(quarters) >= 4


def test_forwarders_that_learn_at_once_do_not_call_in_step() -> None:
    first = []
    for seed in range(40):
        d = dispatcher(seed, forwarder_count=40)
        out = sends(d.handle(3 * S, [ask("a", due=100 * S)]))
        out = sends(d.handle(3 * S + MS, [end(out[0], FAILED, took=MS)]))
        d.handle(
            3 * S + 2 * MS, [end(out[0], FAILED, attempt=1, took=MS)] if out else []
        )
        assert d.is_avoided(1)
        first.append(d.state.endpoints[1].next_interval_factor)
    quarters = [sum(n / 4 <= at < (n + 1) / 4 for at in first) for n in range(4)]
    assert sum(quarters) == 40 and min(quarters) >= 4


def test_after_a_long_turn_the_first_success_does_not_make_it_warm() -> None:
    """Half way back to the last failure is long before the return where turns are
    long.
    """
    d = dispatcher(forwarder_count=200)
    d.handle(0, [OutageRestored(1, 0)])
    t, now = d.state.endpoints[1], 0
    t.last_failure_at, t.failure_ratio = 0, 0.6
    out: list[SendMessage] = []
    while not out:
        now += S
        out = sends(d.handle(now, [ask(f"m{now}", due=now + 9 * S)]))
    assert now > 30 * S
    d.handle(now + MS, [end(out[0], OK, took=MS)])
    assert t.recovered_at >= now + MS - 750 * MS
    d.handle(now + 10 * S, [])
    assert d.in_slow_start(t), "it may have come back with that very call"
    d.handle(now + 11 * S, [])
    assert not d.in_slow_start(t)


def warming(**changes: object) -> Dispatcher:
    d = dispatcher(kind="lots", **changes)
    d.handle(S, [OutageRestored(1, 0, S)])
    d.state.endpoints[1].last_attempt_at = -1000 * S
    return d


def test_few_messages_join_a_call_to_a_target_that_is_warming() -> None:
    """A batch of any size used to leave at once; each further message of a call weighs
    a little.
    """
    d = warming(forwarder_count=30, weight=40.0)
    assert len(sends(d.handle(S, [ask(f"m{n}") for n in range(9)]))) == 1
    d = warming(forwarder_count=1, weight=40.0)
    assert len(sends(d.handle(S, [ask(f"m{n}") for n in range(9)]))) == 4


def test_what_a_joined_message_weighs_is_made_good_by_the_next_turn() -> None:
    one, four = (
        warming(forwarder_count=1, weight=40.0),
        warming(forwarder_count=1, weight=40.0),
    )
    one.handle(S, [ask("m0")])
    four.handle(S, [ask(f"m{n}") for n in range(4)])
    assert (
        four.state.endpoints[1].next_interval_factor >= 0.5 * slow_start.call_weight(4)
        and slow_start.call_weight(4) == 1.75
    )
    assert one.state.endpoints[1].next_interval_factor <= 1.5


@pytest.mark.parametrize("balancers, free", [(40, False), (2, True)])
def test_in_a_fleet_what_shares_a_limit_shares_its_outage(
    balancers: int, free: bool
) -> None:
    """Outages mostly take all that share a limit; messages of the first used to go over
    to the others.
    """
    d = dispatcher(entries=2, forwarder_count=balancers, weight=400.0)
    out = sends(d.handle(3 * S, [ask("m", due=30 * S)]))[0]
    told = d.handle(4 * S, [end(out, FAILED, took=S)])
    assert d.is_avoided(out.endpoint) and d.is_avoided(3 - out.endpoint) is not free
    assert {a.endpoint for a in told if isinstance(a, RecordOutage)} == (
        {out.endpoint} if free else {1, 2}
    )
    assert not free or sends(told)


def test_an_endpoint_that_answered_since_stays_free() -> None:
    d = dispatcher(entries=2, forwarder_count=40, weight=400.0)
    d.state.endpoints[1].throttle_scope.concurrency_window = 6.0
    one = sends(d.handle(3 * S, [ask("m0", due=30 * S)]))[0]
    two = sends(d.handle(3 * S + 1, [ask("m1", due=30 * S)]))[0]
    assert one.endpoint != two.endpoint
    d.handle(3 * S + MS, [end(one, OK, took=MS)])
    d.handle(4 * S, [end(two, FAILED, took=S)])
    assert d.is_avoided(two.endpoint) and not d.is_avoided(one.endpoint)


def test_what_shares_a_limit_warms_together() -> None:
    d = dispatcher(entries=2, forwarder_count=40, weight=4.0)
    out = sends(d.handle(3 * S, [ask("m", due=90 * S)]))[0]
    now = 4 * S
    d.handle(now, [end(out, FAILED, took=S)])
    while not (again := sends(d.handle(now, [TimerExpired("look")]))):
        now += 100 * MS
    d.handle(now + MS, [end(again[0], OK, attempt=1, took=MS)])
    assert all(
        d.in_slow_start(t) and not d.is_avoided(t.id)
        for t in d.state.endpoints.values()
    )


def test_targets_put_back_on_all_forwarders_at_once_are_not_called_in_step() -> None:
    first = []
    for seed in range(40):
        d = dispatcher(seed, forwarder_count=40)
        d.handle(0, [OutageRestored(1, 0), EndpointDisabled(1)])
        d.handle(S, [EndpointEnabled(1)])
        first.append(d.state.endpoints[1].next_interval_factor)
    assert len(set(first)) > 30 and min(first) >= 0 and max(first) <= 1
