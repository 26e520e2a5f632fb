"""What the module keeps when other settings come, by SIGHUP or with a process that
takes over: what targets told, and nothing that was worked out by the settings
before.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    DestinationKind,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    FailMessage,
    MessageClass,
    MessageReceived,
    Outcome,
    RejectMessage,
    SendMessage,
    Settings,
    SettingsChanged,
    SnapshotRestored,
    Tenant,
    TimerExpired,
)
from rainfall.dispatch.expiry import drop_time

SECOND = 1_000_000


def dispatcher(weight: float = 0.0, **told: Any) -> Dispatcher:
    base: dict[str, Any] = {
        "max_in_flight": 1,
        "max_attempts": 5,
        "classes": (order(),),
    }
    d = Dispatcher(Settings(**{**base, **told}), 1, 0)
    d.handle(
        0,
        [
            EndpointListChanged(
                EndpointListKind.SNAPSHOT,
                (EndpointEntry(1, 7, kind="k", weight=weight),),
            )
        ],
    )
    return d


def order(**changes: Any) -> MessageClass:
    return replace(MessageClass("order", 2 * SECOND, 60 * SECOND), **changes)


def sent(actions: list[Action]) -> list[str]:
    return [a.message_id for a in actions if isinstance(a, SendMessage)]


def test_a_new_message_is_not_given_up_by_the_aim_of_an_open_one_of_its_name() -> None:
    """What was worked out for a class of before was taken for the new one of that name
    in the same round.
    """
    d = dispatcher(classes=(order(latency_objective_us=40 * SECOND),))
    assert sent(d.handle(1, [MessageReceived("a", 7, "order", 60 * SECOND)])) == ["a"]
    assert not sent(d.handle(2, [MessageReceived("b", 7, "order", 60 * SECOND)]))
    d.handle(
        3,
        [
            SettingsChanged(
                replace(d.state.settings, classes=(order(latency_objective_us=SECOND),))
            )
        ],
    )
    actions = d.handle(4, [MessageReceived("c", 7, "order", 3 * SECOND)])
    assert not [a for a in actions if isinstance(a, RejectMessage | FailMessage)]
    assert (
        drop_time(d.state, d.state.messages["c"]) > 2 * SECOND
        and drop_time(d.state, d.state.messages["b"]) < 57 * SECOND
    )


@pytest.mark.parametrize("apart", [False, True])
def test_a_told_wait_outlasts_settings_that_part_or_join_routes(apart: bool) -> None:
    def kinds(apart: bool) -> tuple[DestinationKind, ...]:
        return (DestinationKind("k", endpoint_scoped=apart),)

    d = dispatcher(destination_kinds=kinds(not apart))
    assert sent(d.handle(1, [MessageReceived("a", 7, "order", 60 * SECOND)])) == ["a"]
    d.handle(
        2,
        [AttemptFinished("a", 0, 1, Outcome.REJECTED, 1, retry_after_us=5 * SECOND)],
    )
    assert not sent(
        d.handle(
            3,
            [
                SettingsChanged(
                    replace(d.state.settings, destination_kinds=kinds(apart))
                )
            ],
        )
    )
    assert not sent(d.handle(4, [MessageReceived("b", 7, "order", 60 * SECOND)]))
    assert not sent(d.handle(4 * SECOND, [TimerExpired("look")]))
    assert sent(d.handle(6 * SECOND, [TimerExpired("look")]))


def test_a_pace_of_many_forwarders_does_not_bind_the_few_that_are_left() -> None:
    d = dispatcher(
        forwarder_count=200, endpoint_weights_known=True, weight=1.0, max_in_flight=8
    )
    assert sent(d.handle(1, [MessageReceived("a", 7, "order", 60 * SECOND)])) == ["a"]
    d.handle(2, [AttemptFinished("a", 0, 1, Outcome.DELIVERED, 1, message_closed=True)])
    assert not sent(d.handle(3, [MessageReceived("b", 7, "order", 60 * SECOND)]))
    d.handle(4, [SettingsChanged(replace(d.state.settings, forwarder_count=1))])
    assert sent(d.handle(2 * SECOND, [TimerExpired("look")])) == ["b"]


def test_a_share_of_many_forwarders_is_not_taken_by_each_of_the_few_that_are_left() -> (
    None
):
    d = dispatcher(
        forwarder_count=200, endpoint_weights_known=True, weight=1.0, max_in_flight=8
    )
    (place,) = d.state.throttle_scopes.values()
    place.even_shares = 150.0  # as it grows where few tell each more of the limit
    d.handle(1, [SettingsChanged(replace(d.state.settings, forwarder_count=2))])
    assert place.even_shares <= 2.0


def test_a_purse_that_was_spent_under_another_allowance_is_not_owed() -> None:
    poor, rich = (Tenant("t", 0.02),), (Tenant("t", 1000.0),)
    d = dispatcher(tenants=poor, over_quota_weight=0.1, max_in_flight=8)
    for n in range(6):
        d.handle(n, [MessageReceived(f"a{n}", 7, "order", 60 * SECOND, tenant="t")])
    assert d.state.messages["a5"].over_quota
    d.handle(10, [SettingsChanged(replace(d.state.settings, tenants=rich))])
    d.handle(11, [MessageReceived("b", 7, "order", 60 * SECOND, tenant="t")])
    assert not d.state.messages["b"].over_quota


def test_how_long_idle_connections_are_trusted_follows_the_settings() -> None:
    d = dispatcher(idle_connection_us=0)
    d.handle(
        1, [SettingsChanged(replace(d.state.settings, idle_connection_us=4 * SECOND))]
    )
    assert d.state.idle_trust == d.state.max_idle_trust == 4 * SECOND
    d.handle(2, [SettingsChanged(replace(d.state.settings, idle_connection_us=0))])
    assert d.state.idle_trust == 0


@pytest.mark.parametrize("apart", [False, True])
def test_a_told_wait_is_handed_over_to_settings_that_part_or_join_routes(
    apart: bool,
) -> None:
    def kinds(apart: bool) -> tuple[DestinationKind, ...]:
        return (DestinationKind("k", endpoint_scoped=apart),)

    old, new = (
        dispatcher(destination_kinds=kinds(not apart)),
        dispatcher(destination_kinds=kinds(apart)),
    )
    assert sent(old.handle(1, [MessageReceived("a", 7, "order", 60 * SECOND)])) == ["a"]
    old.handle(
        2,
        [AttemptFinished("a", 0, 1, Outcome.REJECTED, 1, retry_after_us=5 * SECOND)],
    )
    memory = json.loads(json.dumps(old.snapshot(set())))
    assert not sent(
        new.handle(
            3,
            [
                SnapshotRestored(memory),
                MessageReceived("b", 7, "order", 60 * SECOND),
            ],
        )
    )
    assert sent(new.handle(6 * SECOND, [TimerExpired("look")]))


def test_a_share_of_many_forwarders_is_not_handed_over_to_few() -> None:
    old = dispatcher(forwarder_count=200, endpoint_weights_known=True, weight=1.0)
    next(iter(old.state.throttle_scopes.values())).even_shares = 150.0
    new = dispatcher(forwarder_count=2, endpoint_weights_known=True, weight=1.0)
    new.handle(1, [SnapshotRestored(json.loads(json.dumps(old.snapshot(set()))))])
    assert next(iter(new.state.throttle_scopes.values())).even_shares <= 2.0
