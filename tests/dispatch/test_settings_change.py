"""What the dispatcher keeps when settings change, by SIGHUP or at a handover to another
process: what endpoints reported, and nothing that was computed from the former settings.
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


def make_dispatcher(weight: float = 0.0, **changes: Any) -> Dispatcher:
    base: dict[str, Any] = {
        "max_in_flight": 1,
        "max_attempts": 5,
        "classes": (order_class(),),
    }
    dispatcher = Dispatcher(Settings(**{**base, **changes}), 1, 0)
    dispatcher.handle(
        0,
        [
            EndpointListChanged(
                EndpointListKind.SNAPSHOT,
                (EndpointEntry(1, 7, kind="k", weight=weight),),
            )
        ],
    )
    return dispatcher


def order_class(**changes: Any) -> MessageClass:
    return replace(MessageClass("order", 2 * SECOND, 60 * SECOND), **changes)


def sent_ids(actions: list[Action]) -> list[str]:
    return [action.message_id for action in actions if isinstance(action, SendMessage)]


def test_new_message_does_not_use_the_latency_of_its_former_class() -> None:
    """The expected call computed for the former class used to be taken in the same round
    for the new class of that name.
    """
    dispatcher = make_dispatcher(
        classes=(order_class(latency_objective_us=40 * SECOND),)
    )
    assert sent_ids(
        dispatcher.handle(1, [MessageReceived("a", 7, "order", 60 * SECOND)])
    ) == ["a"]
    assert not sent_ids(
        dispatcher.handle(2, [MessageReceived("b", 7, "order", 60 * SECOND)])
    )
    dispatcher.handle(
        3,
        [
            SettingsChanged(
                replace(
                    dispatcher.state.settings,
                    classes=(order_class(latency_objective_us=SECOND),),
                )
            )
        ],
    )
    actions = dispatcher.handle(4, [MessageReceived("c", 7, "order", 3 * SECOND)])
    assert not [
        action for action in actions if isinstance(action, RejectMessage | FailMessage)
    ]
    assert (
        drop_time(dispatcher.state, dispatcher.state.messages["c"]) > 2 * SECOND
        and drop_time(dispatcher.state, dispatcher.state.messages["b"]) < 57 * SECOND
    )


@pytest.mark.parametrize("apart", [False, True])
def test_retry_after_outlasts_a_change_of_the_throttle_scope(apart: bool) -> None:
    def kinds(endpoint_scoped: bool) -> tuple[DestinationKind, ...]:
        return (DestinationKind("k", endpoint_scoped=endpoint_scoped),)

    dispatcher = make_dispatcher(destination_kinds=kinds(not apart))
    assert sent_ids(
        dispatcher.handle(1, [MessageReceived("a", 7, "order", 60 * SECOND)])
    ) == ["a"]
    dispatcher.handle(
        2,
        [AttemptFinished("a", 0, 1, Outcome.REJECTED, 1, retry_after_us=5 * SECOND)],
    )
    assert not sent_ids(
        dispatcher.handle(
            3,
            [
                SettingsChanged(
                    replace(dispatcher.state.settings, destination_kinds=kinds(apart))
                )
            ],
        )
    )
    assert not sent_ids(
        dispatcher.handle(4, [MessageReceived("b", 7, "order", 60 * SECOND)])
    )
    assert not sent_ids(dispatcher.handle(4 * SECOND, [TimerExpired("look")]))
    assert sent_ids(dispatcher.handle(6 * SECOND, [TimerExpired("look")]))


def test_pace_of_a_large_fleet_does_not_bind_a_smaller_one() -> None:
    dispatcher = make_dispatcher(
        forwarder_count=200, endpoint_weights_known=True, weight=1.0, max_in_flight=8
    )
    assert sent_ids(
        dispatcher.handle(1, [MessageReceived("a", 7, "order", 60 * SECOND)])
    ) == ["a"]
    dispatcher.handle(
        2, [AttemptFinished("a", 0, 1, Outcome.DELIVERED, 1, message_closed=True)]
    )
    assert not sent_ids(
        dispatcher.handle(3, [MessageReceived("b", 7, "order", 60 * SECOND)])
    )
    dispatcher.handle(
        4, [SettingsChanged(replace(dispatcher.state.settings, forwarder_count=1))]
    )
    assert sent_ids(dispatcher.handle(2 * SECOND, [TimerExpired("look")])) == ["b"]


def test_even_shares_are_capped_when_the_fleet_shrinks() -> None:
    dispatcher = make_dispatcher(
        forwarder_count=200, endpoint_weights_known=True, weight=1.0, max_in_flight=8
    )
    (scope,) = dispatcher.state.throttle_scopes.values()
    scope.even_shares = 150.0  # as after many successes with much of the limit left
    dispatcher.handle(
        1, [SettingsChanged(replace(dispatcher.state.settings, forwarder_count=2))]
    )
    assert scope.even_shares <= 2.0


def test_quota_used_under_former_tenant_settings_does_not_count() -> None:
    small_quota, large_quota = (Tenant("t", 0.02),), (Tenant("t", 1000.0),)
    dispatcher = make_dispatcher(
        tenants=small_quota, over_quota_weight=0.1, max_in_flight=8
    )
    for n in range(6):
        dispatcher.handle(
            n, [MessageReceived(f"a{n}", 7, "order", 60 * SECOND, tenant="t")]
        )
    assert dispatcher.state.messages["a5"].over_quota
    dispatcher.handle(
        10, [SettingsChanged(replace(dispatcher.state.settings, tenants=large_quota))]
    )
    dispatcher.handle(11, [MessageReceived("b", 7, "order", 60 * SECOND, tenant="t")])
    assert not dispatcher.state.messages["b"].over_quota


def test_idle_connection_trust_follows_the_settings() -> None:
    dispatcher = make_dispatcher(idle_connection_us=0)
    dispatcher.handle(
        1,
        [
            SettingsChanged(
                replace(dispatcher.state.settings, idle_connection_us=4 * SECOND)
            )
        ],
    )
    assert (
        dispatcher.state.idle_timeout_estimate
        == dispatcher.state.max_idle_timeout_estimate
        == 4 * SECOND
    )
    dispatcher.handle(
        2, [SettingsChanged(replace(dispatcher.state.settings, idle_connection_us=0))]
    )
    assert dispatcher.state.idle_timeout_estimate == 0


@pytest.mark.parametrize("apart", [False, True])
def test_retry_after_is_handed_over_to_a_changed_throttle_scope(
    apart: bool,
) -> None:
    def kinds(endpoint_scoped: bool) -> tuple[DestinationKind, ...]:
        return (DestinationKind("k", endpoint_scoped=endpoint_scoped),)

    former, successor = (
        make_dispatcher(destination_kinds=kinds(not apart)),
        make_dispatcher(destination_kinds=kinds(apart)),
    )
    assert sent_ids(
        former.handle(1, [MessageReceived("a", 7, "order", 60 * SECOND)])
    ) == ["a"]
    former.handle(
        2,
        [AttemptFinished("a", 0, 1, Outcome.REJECTED, 1, retry_after_us=5 * SECOND)],
    )
    snapshot = json.loads(json.dumps(former.snapshot(set())))
    assert not sent_ids(
        successor.handle(
            3,
            [
                SnapshotRestored(snapshot),
                MessageReceived("b", 7, "order", 60 * SECOND),
            ],
        )
    )
    assert sent_ids(successor.handle(6 * SECOND, [TimerExpired("look")]))


def test_even_shares_are_capped_on_handover_to_a_smaller_fleet() -> None:
    former = make_dispatcher(
        forwarder_count=200, endpoint_weights_known=True, weight=1.0
    )
    next(iter(former.state.throttle_scopes.values())).even_shares = 150.0
    successor = make_dispatcher(
        forwarder_count=2, endpoint_weights_known=True, weight=1.0
    )
    successor.handle(
        1, [SnapshotRestored(json.loads(json.dumps(former.snapshot(set()))))]
    )
    assert next(iter(successor.state.throttle_scopes.values())).even_shares <= 2.0
