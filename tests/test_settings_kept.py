"""What the module keeps when other settings come, by SIGHUP or with a process that
takes over: what targets told, and nothing that was worked out by the settings
before.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from rainfall import interface as i
from rainfall.choice import Dispatcher

SECOND = 1_000_000


def dispatcher(weight: float = 0.0, **told: Any) -> Dispatcher:
    base: dict[str, Any] = {"slots": 1, "max_attempts": 5, "classes": (order(),)}
    d = Dispatcher(i.Settings(**{**base, **told}), 1, 0)
    d.handle(
        0, [i.Listed(i.ListKind.WHOLE, (i.TargetEntry(1, 7, kind="k", weight=weight),))]
    )
    return d


def order(**changes: Any) -> i.MessageClass:
    return replace(i.MessageClass("order", 2 * SECOND, 60 * SECOND), **changes)


def sent(actions: list[i.Action]) -> list[str]:
    return [a.message for a in actions if isinstance(a, i.Send)]


def test_a_new_message_is_not_given_up_by_the_aim_of_an_open_one_of_its_name() -> None:
    """What was worked out for a class of before was taken for the new one of that name
    in the same round.
    """
    d = dispatcher(classes=(order(aim_us=40 * SECOND),))
    assert sent(d.handle(1, [i.Arrived("a", 7, "order", 60 * SECOND)])) == ["a"]
    assert not sent(d.handle(2, [i.Arrived("b", 7, "order", 60 * SECOND)]))
    d.handle(3, [i.Retuned(replace(d.s, classes=(order(aim_us=SECOND),)))])
    actions = d.handle(4, [i.Arrived("c", 7, "order", 3 * SECOND)])
    assert not [a for a in actions if isinstance(a, i.Refuse | i.Fail)]
    assert (
        d.drop_at(d.messages["c"]) > 2 * SECOND
        and d.drop_at(d.messages["b"]) < 57 * SECOND
    )


@pytest.mark.parametrize("apart", [False, True])
def test_a_told_wait_outlasts_settings_that_part_or_join_routes(apart: bool) -> None:
    def kinds(apart: bool) -> tuple[i.DestinationKind, ...]:
        return (i.DestinationKind("k", routes_apart=apart),)

    d = dispatcher(kinds=kinds(not apart))
    assert sent(d.handle(1, [i.Arrived("a", 7, "order", 60 * SECOND)])) == ["a"]
    d.handle(2, [i.Ended("a", 0, 1, i.Outcome.FULL, 1, wait_us=5 * SECOND)])
    assert not sent(d.handle(3, [i.Retuned(replace(d.s, kinds=kinds(apart)))]))
    assert not sent(d.handle(4, [i.Arrived("b", 7, "order", 60 * SECOND)]))
    assert not sent(d.handle(4 * SECOND, [i.TimerDue("look")]))
    assert sent(d.handle(6 * SECOND, [i.TimerDue("look")]))


def test_a_pace_of_many_forwarders_does_not_bind_the_few_that_are_left() -> None:
    d = dispatcher(balancers=200, weights_told=True, weight=1.0, slots=8)
    assert sent(d.handle(1, [i.Arrived("a", 7, "order", 60 * SECOND)])) == ["a"]
    d.handle(2, [i.Ended("a", 0, 1, i.Outcome.DELIVERED, 1, closed=True)])
    assert not sent(d.handle(3, [i.Arrived("b", 7, "order", 60 * SECOND)]))
    d.handle(4, [i.Retuned(replace(d.s, balancers=1))])
    assert sent(d.handle(2 * SECOND, [i.TimerDue("look")])) == ["b"]


def test_a_share_of_many_forwarders_is_not_taken_by_each_of_the_few_that_are_left() -> (
    None
):
    d = dispatcher(balancers=200, weights_told=True, weight=1.0, slots=8)
    (place,) = d.places.values()
    place.shares = 150.0  # as it grows where few tell each more of the limit
    d.handle(1, [i.Retuned(replace(d.s, balancers=2))])
    assert place.shares <= 2.0


def test_a_purse_that_was_spent_under_another_allowance_is_not_owed() -> None:
    poor, rich = (i.Tenant("t", 0.02),), (i.Tenant("t", 1000.0),)
    d = dispatcher(tenants=poor, over_share_worth=0.1, slots=8)
    for n in range(6):
        d.handle(n, [i.Arrived(f"a{n}", 7, "order", 60 * SECOND, tenant="t")])
    assert d.messages["a5"].over_share
    d.handle(10, [i.Retuned(replace(d.s, tenants=rich))])
    d.handle(11, [i.Arrived("b", 7, "order", 60 * SECOND, tenant="t")])
    assert not d.messages["b"].over_share


def test_how_long_idle_connections_are_trusted_follows_the_settings() -> None:
    d = dispatcher(conn_idle_us=0)
    d.handle(1, [i.Retuned(replace(d.s, conn_idle_us=4 * SECOND))])
    assert d.idle_us == d.idle_top == 4 * SECOND
    d.handle(2, [i.Retuned(replace(d.s, conn_idle_us=0))])
    assert d.idle_us == 0


@pytest.mark.parametrize("apart", [False, True])
def test_a_told_wait_is_handed_over_to_settings_that_part_or_join_routes(
    apart: bool,
) -> None:
    def kinds(apart: bool) -> tuple[i.DestinationKind, ...]:
        return (i.DestinationKind("k", routes_apart=apart),)

    old, new = dispatcher(kinds=kinds(not apart)), dispatcher(kinds=kinds(apart))
    assert sent(old.handle(1, [i.Arrived("a", 7, "order", 60 * SECOND)])) == ["a"]
    old.handle(2, [i.Ended("a", 0, 1, i.Outcome.FULL, 1, wait_us=5 * SECOND)])
    memory = json.loads(json.dumps(old.memory(set())))
    assert not sent(
        new.handle(3, [i.Remembered(memory), i.Arrived("b", 7, "order", 60 * SECOND)])
    )
    assert sent(new.handle(6 * SECOND, [i.TimerDue("look")]))


def test_a_share_of_many_forwarders_is_not_handed_over_to_few() -> None:
    old = dispatcher(balancers=200, weights_told=True, weight=1.0)
    next(iter(old.places.values())).shares = 150.0
    new = dispatcher(balancers=2, weights_told=True, weight=1.0)
    new.handle(1, [i.Remembered(json.loads(json.dumps(old.memory(set()))))])
    assert next(iter(new.places.values())).shares <= 2.0
