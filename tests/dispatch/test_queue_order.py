"""Corner cases of the send order that random worlds hardly reach, each compared with
the plain reference.
"""

from collections import Counter
from dataclasses import replace

from rainfall.dispatch import (
    AttemptFinished,
    CancelAttempt,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    MessageRestored,
    MessageWithdrawn,
    OutageRestored,
    Outcome,
    QuotaChanged,
    SettingsChanged,
    SnapshotRestored,
    TimerExpired,
)
from tests.reference.pair import Pair
from tests.support.event_scripts import (
    MS,
    S,
    attempt_finished,
    finals,
    message_received,
    send_actions,
    settings,
)

DELIVERED, REJECTED, TIMED_OUT, FAILED = (
    Outcome.DELIVERED,
    Outcome.REJECTED,
    Outcome.TIMED_OUT,
    Outcome.FAILED,
)
ONE_ENDPOINT = (EndpointEntry(1, 10, "north", "plain"),)
TWO_DESTINATIONS = (*ONE_ENDPOINT, EndpointEntry(2, 11, "north", "plain"))
SCOPED_ENDPOINTS = (
    EndpointEntry(4, 12, "north", "ways"),
    EndpointEntry(5, 12, "south", "ways"),
)


def make_pair(
    entries: tuple[EndpointEntry, ...] = ONE_ENDPOINT, **changes: object
) -> Pair:
    pair = Pair(settings(**changes), 7, 0)
    pair.handle(0, [EndpointListChanged(EndpointListKind.CACHED, entries)])
    return pair


def close_destination(destination: int = 10) -> QuotaChanged:
    return QuotaChanged(destination, 0, 9 * S, 1 << 50, 0)


def open_destination(destination: int = 10) -> QuotaChanged:
    return QuotaChanged(destination, 0, 0, 0, 0)


def test_newest_message_due_at_a_group_end_is_in_the_next_group() -> None:
    quick = replace(settings().classes[0], name="quick", latency_objective_us=S)
    for due, first_id in ((2800 * MS, "slow"), (2799 * MS, "new")):
        pair = make_pair(classes=(settings().classes[0], quick))
        pair.handle(
            0,
            [
                close_destination(),
                message_received("slow", deadline_us=2 * S),
                message_received("new", class_name="quick", deadline_us=due),
            ],
        )
        assert (
            send_actions(pair.handle(0, [open_destination()]))[0].message_id == first_id
        )


def test_spare_class_queue_follows_changed_settings() -> None:
    """When messages may be shed is computed once for each class queue, and an empty
    class queue is kept for the next message.
    """
    for late_halves in (False, True):
        pair = make_pair()
        send = send_actions(pair.handle(0, [message_received("first")]))[0]
        pair.handle(
            MS,
            [
                attempt_finished(send, REJECTED, retry_after_us=60 * S),
                MessageWithdrawn("first"),
            ],
        )
        pair.handle(
            2 * MS,
            [
                SettingsChanged(
                    replace(pair.new.state.settings, late_weight_halves=late_halves)
                )
            ],
        )
        pair.handle(3 * MS, [message_received("old", deadline_us=6 * S)])
        pair.handle(2_900 * MS, [message_received("fresh", deadline_us=8_900 * MS)])
        answer_times_ms = [
            now_ms
            for now_ms in range(3_000, 6_000, 20)
            if finals(pair.handle(now_ms * MS, [TimerExpired("look")]))
        ]
        assert answer_times_ms


def test_restored_recovery_opens_a_destination_while_saturated() -> None:
    pair, now = (
        make_pair(TWO_DESTINATIONS, max_in_flight=1, forwarder_count=40),
        100 * S,
    )
    pair.handle(now, [OutageRestored(1, 80 * S)])
    pair.handle(
        now + MS,
        [
            message_received("waits", deadline_us=130 * S),
            message_received("out", 11, deadline_us=140 * S),
        ],
    )
    assert [message_id for message_id, _ in pair.new.state.attempts] == [
        "out"
    ] and 10 not in pair.new.state.possibly_available
    pair.handle(now + 2 * MS, [OutageRestored(1, 10 * S, 40 * S)])
    assert pair.new.state.saturated and not pair.new.in_slow_start(
        pair.new.state.endpoints[1]
    )
    actions = pair.handle(
        now + 3 * MS, [AttemptFinished("out", 0, 2, DELIVERED, MS, True)]
    )
    assert [send.message_id for send in send_actions(actions)] == ["waits"]


def test_restored_snapshot_opens_a_destination_while_saturated() -> None:
    pair = make_pair(TWO_DESTINATIONS, max_in_flight=1)
    first = send_actions(
        pair.handle(0, [message_received("waits", deadline_us=30 * S)])
    )[0]
    pair.handle(MS, [attempt_finished(first, REJECTED, retry_after_us=20 * S)])
    pair.handle(2 * MS, [message_received("out", 11, deadline_us=40 * S)])
    assert pair.new.state.saturated and 10 not in pair.new.state.possibly_available
    scope = {"wait_until": 0, "rest_until": 0, "rest": 0}
    pair.handle(3 * MS, [SnapshotRestored({"places": [[10, -1, scope]]})])
    actions = pair.handle(4 * MS, [AttemptFinished("out", 0, 2, DELIVERED, MS, True)])
    assert [send.message_id for send in send_actions(actions)] == ["waits"]


def test_message_returns_from_an_endpoint_of_another_destination() -> None:
    """The message waits again at a destination that the round would not visit. As all
    slots were in use, the destination is visited all the same.
    """
    pair = make_pair(TWO_DESTINATIONS, max_in_flight=1)
    snapshot = {"calls": [[1, {"sent_at": 0}, [["moved", 0]]]]}
    pair.handle(
        0,
        [
            MessageRestored("moved", 11, "safe", 30 * S, attempts=1),
            SnapshotRestored(snapshot),
        ],
    )
    assert pair.new.state.saturated
    actions = pair.handle(
        2 * MS, [AttemptFinished("moved", 0, 1, Outcome.NO_CONNECTION, MS)]
    )
    assert [(send.message_id, send.endpoint) for send in send_actions(actions)] == [
        ("moved", 2)
    ]


def test_messages_bound_to_different_endpoints_do_not_block_each_other() -> None:
    pair = make_pair(SCOPED_ENDPOINTS)
    message_ids = [f"m{number}" for number in range(2)]
    in_flight = send_actions(
        pair.handle(
            0,
            [
                message_received(message_id, 12, "zoned", 9 * S)
                for message_id in message_ids
            ],
        )
    )
    assert {send.endpoint for send in in_flight} == {4, 5}
    first, other = sorted(in_flight, key=lambda send: send.message_id)
    pair.handle(
        20 * MS, [attempt_finished(first, FAILED), attempt_finished(other, FAILED)]
    )
    pair.handle(30 * MS, [message_received("full", 12, "safe", 1 * S)])
    send_counts: Counter[str] = Counter()
    for number in range(40, 1_500, 10):
        actions = pair.handle(number * MS, [TimerExpired("look")])
        for send in send_actions(actions):
            send_counts[send.message_id] += 1
            rejection = attempt_finished(
                send,
                REJECTED,
                pair.new.state.messages[send.message_id].attempts - 1,
                MS,
                retry_after_us=5 * S,
            )
            pair.handle(
                number * MS + 1,
                [
                    rejection
                    if send.endpoint == first.endpoint
                    else replace(rejection, retry_after_us=0)
                ],
            )
    assert send_counts[other.message_id] > send_counts[first.message_id]


def test_stalled_calls_are_canceled_in_send_order() -> None:
    """The order in which other calls overtook them does not matter."""
    pair, now = make_pair(TWO_DESTINATIONS, allow_cancel=True, max_in_flight=16), 0

    def deliver(destination: int, call_count: int) -> None:
        nonlocal now
        for _ in range(call_count):
            now += MS
            send = send_actions(
                pair.handle(
                    now,
                    [message_received(f"at {now}", destination, deadline_us=60 * S)],
                )
            )[0]
            pair.handle(now, [attempt_finished(send, DELIVERED, duration_us=MS)])

    deliver(10, 5)
    deliver(11, 5)
    now += MS
    silent = [
        *send_actions(
            pair.handle(now, [message_received("first", 10, deadline_us=60 * S)])
        ),
        *send_actions(
            pair.handle(now, [message_received("second", 11, deadline_us=60 * S)])
        ),
    ]
    assert [send.message_id for send in silent] == ["first", "second"]
    deliver(11, 3)
    deliver(10, 3)
    assert list(pair.new.state.overtaken_attempts) == [("second", 0), ("first", 0)]
    canceled = [
        action.message_id
        for action in pair.handle(9 * S, [])
        if isinstance(action, CancelAttempt)
    ]
    assert canceled == ["first", "second"]


def test_call_overtaken_in_the_former_process_is_canceled() -> None:
    pair = make_pair(allow_cancel=True)
    snapshot = {"calls": [[1, {"sent_at": -60 * S, "passed": 3}, [["out", 0]]]]}
    actions = pair.handle(
        0,
        [
            MessageRestored("out", 10, "safe", 30 * S, attempts=1),
            SnapshotRestored(snapshot),
        ],
    )
    assert CancelAttempt("out", 0) in actions


def test_key_with_its_second_message_in_flight_sends_nothing() -> None:
    pair = make_pair(TWO_DESTINATIONS)
    snapshot = {"calls": [[2, {}, [["second", 0]]]]}
    actions = pair.handle(
        0,
        [
            MessageRestored("first", 10, "turns", 8 * S, "k"),
            MessageRestored("second", 11, "turns", 9 * S, "k", attempts=1),
            SnapshotRestored(snapshot),
        ],
    )
    assert not send_actions(actions) and not send_actions(pair.handle(S, []))
    actions_later = pair.handle(
        2 * S, [AttemptFinished("second", 0, 2, Outcome.NO_CONNECTION, S)]
    )
    assert [send.message_id for send in send_actions(actions_later)] == ["first"]


def test_shedding_counts_all_rounds_at_the_same_time_as_one() -> None:
    pair = make_pair(max_open_messages=10)
    pair.handle(
        0,
        [
            close_destination(),
            *(message_received(f"m{n}", deadline_us=60 * S) for n in range(6)),
        ],
    )
    pair.handle(
        S,
        [
            message_received("n0", deadline_us=60 * S),
            message_received("n1", deadline_us=50 * S),
        ],
    )
    assert [
        action.message_id
        for action in finals(
            pair.handle(
                S, [message_received("n2", deadline_us=40 * S), MessageWithdrawn("m1")]
            )
        )
    ] == []
    rejections = finals(
        pair.handle(
            S,
            [
                message_received("n3", deadline_us=30 * S),
                message_received("n4", deadline_us=20 * S),
            ],
        )
    )
    assert [action.message_id for action in rejections] == ["n0"]


def test_equal_classes_of_changed_settings_share_a_class_queue() -> None:
    pair = make_pair()
    for number in range(6):
        class_copies = tuple(
            replace(message_class) for message_class in settings().classes
        )
        pair.handle(
            number * MS,
            [
                close_destination(),
                SettingsChanged(replace(pair.new.state.settings, classes=class_copies)),
                message_received(f"m{number}", deadline_us=60 * S),
            ],
        )
    assert [
        len(queue.class_queues)
        for queue in pair.new.state.queues.by_destination.values()
    ] == [1]


def test_objective_beyond_the_deadline_sheds_only_its_own_message() -> None:
    late_objective = replace(
        settings().classes[0],
        latency_objective_us=4 * S,
        deadline_us=3 * S,
        late_priority_weight=0.9,
    )
    # Its messages may be shed from a time before 0 on.
    always_sheddable = replace(late_objective, name="odder", late_priority_weight=1.0)
    pair = make_pair(classes=(late_objective, always_sheddable))
    pair.handle(
        MS,
        [
            close_destination(11),
            *(
                message_received(f"m{n}", 11, class_name="odder", deadline_us=9 * S + n)
                for n in range(2)
            ),
        ],
    )
    actions = pair.handle(
        S, [close_destination(), message_received("alone", deadline_us=1_500 * MS)]
    )
    assert [action.reason for action in finals(actions)] == ["makes way for fresh ones"]
