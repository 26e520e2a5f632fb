"""Hard cases of long queues: the actions equal those of the plain reference, or the
counted work stays small.
"""

from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from rainfall.dispatch import (
    AttemptFinished,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    Event,
    MessageReceived,
    MessageRestored,
    MessageWithdrawn,
    NotificationAcknowledged,
    Outcome,
    QuotaChanged,
    SendMessage,
    Settings,
    SettingsChanged,
    SnapshotRestored,
    TimerExpired,
)
from rainfall.dispatch.queues import ClassQueue, ClassQueueKey, Message
from tests.reference.pair import Pair
from tests.support.event_scripts import (
    ENTRIES,
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
LONG_CLASS = replace(
    settings().classes[0],
    name="long",
    latency_objective_us=600 * S,
    deadline_us=7200 * S,
    late_priority_weight=0.5,
)
ORDERED_CLASS = replace(
    settings().classes[4], deadline_us=7200 * S, idempotency_window_us=9000 * S
)
CLOSE_DESTINATION, OPEN_DESTINATION = (
    QuotaChanged(10, 0, 9000 * S, 1 << 50, 0),
    QuotaChanged(10, 0, 0, 0, 0),
)
HOUR = 3600 * S


def make_dispatcher(
    dispatcher_type: Callable[[Settings, int, int], Dispatcher] = Dispatcher,
    **changes: object,
) -> Dispatcher:
    base = {
        "classes": (*settings().classes[:4], ORDERED_CLASS, LONG_CLASS),
        "max_open_messages": 1 << 40,
    }
    dispatcher = dispatcher_type(settings(**base | changes), 7, 0)
    dispatcher.handle(0, [EndpointListChanged(EndpointListKind.CACHED, ENTRIES)])
    return dispatcher


def make_pair(**changes: object) -> Pair:
    return make_dispatcher(Pair, **changes)  # type: ignore[arg-type, return-value]


def long_message(
    message_id: str, number: int, destination: int = 10
) -> MessageReceived:
    """A message due in one to two hours; deadlines do not follow the numbers."""
    return message_received(
        message_id, destination, "long", HOUR + (100 + number * 7919 % 3000) * S
    )


def dispatcher_with_queue(queue_size: int, **changes: object) -> Dispatcher:
    """A dispatcher with `queue_size` messages for a destination with a quota of 0."""
    dispatcher = make_dispatcher(**changes)
    dispatcher.handle(
        0, [CLOSE_DESTINATION, *(long_message(f"m{n}", n) for n in range(queue_size))]
    )
    return dispatcher


def count_work(dispatcher: Dispatcher, now: int, *events: Event) -> int:
    """The work that a round with these events takes."""
    before = dispatcher.state.work_count
    dispatcher.handle(now, events)
    return dispatcher.state.work_count - before


@pytest.mark.parametrize("late", [False, True])
def test_ten_thousand_equal_deadlines_match_the_reference(late: bool) -> None:
    pair = make_pair()
    pair.handle(
        0,
        [
            CLOSE_DESTINATION,
            *(
                message_received(f"m{number}", class_name="safe", deadline_us=6 * S)
                for number in range(10_000)
            ),
        ],
    )
    if late:
        assert len(finals(pair.handle(6 * S, []))) == 10_000
        return
    for number in range(4):
        for send in send_actions(
            pair.handle((number + 1) * 50 * MS, [OPEN_DESTINATION])
        ):
            pair.handle(
                (number + 1) * 50 * MS + MS,
                [
                    attempt_finished(
                        send,
                        REJECTED if number % 2 else DELIVERED,
                        retry_after_us=number * 5 * MS,
                    )
                ],
            )
    assert len(finals(pair.handle(6 * S - 10 * MS, []))) > 9_900


def test_equal_deadlines_add_no_work() -> None:
    counts = []
    for queue_size in (100, 10_000):
        dispatcher = make_dispatcher()
        dispatcher.handle(
            0,
            [
                CLOSE_DESTINATION,
                *(
                    message_received(f"m{n}", class_name="long", deadline_us=2 * HOUR)
                    for n in range(queue_size)
                ),
            ],
        )
        dispatcher.handle(MS, [OPEN_DESTINATION])
        # The messages have lost much of their weight, and none may be shed yet.
        now = 90 * 60 * S
        counts.append(
            count_work(
                dispatcher,
                now,
                message_received("new", class_name="long", deadline_us=now + HOUR),
            )
        )
    assert counts[1] <= counts[0] + 4


def test_changing_expected_latency_matches_the_reference() -> None:
    """Each outcome changes which messages are given up and which class goes first."""
    pair, rng = make_pair(max_attempts=4), Random(5)
    in_flight = send_actions(
        pair.handle(
            0,
            [
                message_received(
                    f"m{number}",
                    10 + number % 3,
                    ("safe", "keyed", "once")[number % 3],
                    3 * S + number * 20 * MS,
                )
                for number in range(300)
            ],
        )
    )
    attempts = {send.message_id: 1 for send in in_flight}
    given_up = now = 0
    while now < 9 * S:
        now += 25 * MS
        finished = (
            in_flight.pop(rng.randrange(len(in_flight)))
            if in_flight and rng.random() < 0.8
            else None
        )
        events: list[Event] = []
        if finished is not None:
            outcome = rng.choice((DELIVERED, DELIVERED, TIMED_OUT, FAILED))
            events = [
                attempt_finished(
                    finished,
                    outcome,
                    attempts[finished.message_id] - 1,
                    rng.randrange(MS, 2 * S),
                )
            ]
        actions = pair.handle(now, events)
        given_up += len(finals(actions))
        for send in send_actions(actions):
            in_flight.append(send)
            attempts[send.message_id] = attempts.get(send.message_id, 0) + 1
    assert given_up > 100 and max(attempts.values()) > 1


@pytest.mark.parametrize("held", [100, 10_000])
def test_destination_that_opens_after_an_hour_takes_little_work(held: int) -> None:
    dispatcher = dispatcher_with_queue(held)
    assert (
        count_work(dispatcher, HOUR - S, OPEN_DESTINATION) < 60
        and dispatcher.state.calls_in_flight == 1
    )
    attempt = next(iter(dispatcher.state.attempts))
    assert (
        count_work(
            dispatcher,
            HOUR - S + 50 * MS,
            AttemptFinished(*attempt, 1, DELIVERED, 50 * MS, True),
        )
        < 60
    )


def test_work_of_an_event_does_not_grow_with_the_queue() -> None:
    counts = []
    for queue_size in (100, 1_000, 20_000):
        dispatcher = dispatcher_with_queue(queue_size)
        counts.append(
            (
                count_work(dispatcher, MS, long_message("new", 1)),
                count_work(dispatcher, 2 * MS, MessageWithdrawn("m7")),
                count_work(dispatcher, S, TimerExpired("look")),
                count_work(dispatcher, 2 * S, OPEN_DESTINATION),
            )
        )
        ((message_id, attempt),) = dispatcher.state.attempts
        outcome = AttemptFinished(
            message_id, attempt, 1, REJECTED, MS, retry_after_us=S
        )
        counts[-1] += (
            count_work(dispatcher, 3 * S, outcome),
            count_work(dispatcher, 4 * S, TimerExpired("look")),
        )
    assert all(count < 40 for count in counts[0])
    for later_counts in counts[1:]:
        assert all(
            later <= 2 * first
            for first, later in zip(counts[0], later_counts, strict=True)
        ), counts


def saturated_dispatcher(
    destinations: int, queue_size: int, closed: int = 0
) -> tuple[Dispatcher, AttemptFinished]:
    """A dispatcher whose four slots are all in use, and the outcome of one call.

    `queue_size` messages wait for each destination. The first `closed` destinations
    have a quota of 0.
    """
    dispatcher = make_dispatcher(max_in_flight=4)
    entries = tuple(
        EndpointEntry(1000 + number, 1000 + number) for number in range(destinations)
    )
    dispatcher.handle(0, [EndpointListChanged(EndpointListKind.CHANGES, entries)])
    dispatcher.handle(
        0,
        [
            replace(CLOSE_DESTINATION, destination=1000 + number)
            for number in range(closed)
        ],
    )
    in_flight = send_actions(
        dispatcher.handle(
            0,
            [
                long_message(f"{number} out", number, 1000 + destinations - 1 - number)
                for number in range(4)
            ],
        )
    )
    dispatcher.handle(
        0,
        [
            long_message(f"{number} {position}", position, 1000 + number)
            for number in range(destinations)
            for position in range(queue_size)
        ],
    )
    dispatcher.handle(S, [])
    assert dispatcher.state.saturated and len(in_flight) == 4
    return dispatcher, attempt_finished(in_flight[0], DELIVERED)


def test_saturated_dispatcher_visits_open_destinations_not_messages() -> None:
    counts = []
    for destinations, queue_size, closed in ((40, 2, 0), (40, 100, 0), (240, 2, 200)):
        dispatcher, outcome = saturated_dispatcher(destinations, queue_size, closed)
        count_work(dispatcher, 2 * S, MessageWithdrawn("none"))
        counts.append(count_work(dispatcher, 2 * S + MS, outcome))
        assert (
            dispatcher.state.calls_in_flight == 4
            and len(dispatcher.state.attempts) == 4
        )
    assert counts[1] <= counts[0] + 10 and counts[2] <= counts[0] + 10


def test_saturation_by_all_destinations_matches_the_reference() -> None:
    pair = make_pair(max_in_flight=3, classes=settings().classes)
    pair.handle(
        0,
        [
            message_received(
                f"m{number}",
                10 + number % 3,
                ("safe", "keyed", "once", "zoned")[number % 4],
                6 * S + number % 17 * 9 * MS,
                tenant="small",
            )
            for number in range(400)
        ],
    )
    attempts: dict[str, int] = {}
    in_flight: list[SendMessage] = []
    saturated_rounds = now = 0
    while now < 6 * S:
        now += 10 * MS
        outcomes = (
            [
                attempt_finished(
                    in_flight[0],
                    DELIVERED if now % 70 else REJECTED,
                    attempts.get(in_flight[0].message_id, 0),
                )
            ]
            if in_flight
            else []
        )
        if outcomes and not outcomes[0].message_closed:
            attempts[in_flight[0].message_id] = (
                attempts.get(in_flight[0].message_id, 0) + 1
            )
        in_flight = in_flight[1:] + send_actions(pair.handle(now, outcomes))
        saturated_rounds += pair.new.state.saturated
    assert saturated_rounds > 100


def test_messages_over_quota_go_last_and_match_the_reference() -> None:
    pair = make_pair()
    messages = [
        message_received(
            f"m{number}",
            10,
            "safe",
            5 * S + number % 9 * 100 * MS,
            tenant=("small", "big", None)[number % 3],
        )
        for number in range(200)
    ]
    sent = send_actions(pair.handle(0, messages))
    over_quota: list[bool] = []
    for number in range(1, 150):
        events = [attempt_finished(send, DELIVERED) for send in sent]
        over_quota += [
            pair.new.state.messages[send.message_id].over_quota for send in sent
        ]
        sent = send_actions(pair.handle(number * 40 * MS, events))
    assert sum(over_quota) > 5 and over_quota == sorted(over_quota)


def test_ten_thousand_messages_of_one_key_take_little_work() -> None:
    dispatcher = make_dispatcher()
    dispatcher.handle(
        0,
        [
            message_received(
                f"m{number}",
                class_name="turns",
                deadline_us=2 * HOUR - number * MS,
                ordering_key="k",
            )
            for number in range(10_000)
        ],
    )
    counts = [
        count_work(dispatcher, MS, MessageWithdrawn("m5000")),
        count_work(dispatcher, 2 * MS, MessageWithdrawn("m9999")),
    ]
    now = 3 * MS
    for number in range(20):
        ((message_id, attempt),) = dispatcher.state.attempts
        assert message_id == f"m{number}"
        now += 50 * MS
        counts.append(
            count_work(
                dispatcher,
                now,
                AttemptFinished(message_id, attempt, 1, DELIVERED, 50 * MS, True),
            )
        )
    assert max(counts) < 40
    sequence = dispatcher.state.key_sequences["k"]
    assert (
        len(sequence.messages) == 10_000 - 22
        and sequence.ready_head is None
        and sequence.in_flight == 1
    )


def test_ordered_messages_with_backoffs_match_the_reference() -> None:
    pair, rng = make_pair(notifications_acknowledged=True, max_attempts=3), Random(3)
    pair.handle(
        0,
        [
            message_received(
                f"m{number}",
                10 + number % 2,
                "turns",
                9 * S + number * 10 * MS,
                ordering_key=f"k{number % 5}",
            )
            for number in range(200)
        ],
    )
    in_flight: list[tuple[SendMessage, int]] = []
    attempts: dict[str, int] = {}
    for number in range(400):
        events: list[Event] = (
            [MessageWithdrawn(f"m{rng.randrange(200)}")] if rng.random() < 0.1 else []
        )
        if in_flight:
            send, attempt = in_flight.pop(0)
            events.append(
                attempt_finished(
                    send,
                    rng.choice((DELIVERED, DELIVERED, TIMED_OUT, REJECTED)),
                    attempt,
                )
            )
        actions = pair.handle(number * 30 * MS, events)
        for send in send_actions(actions):
            in_flight.append((send, attempts.setdefault(send.message_id, 0)))
            attempts[send.message_id] += 1
        if rng.random() < 0.5:
            pair.handle(
                number * 30 * MS + MS,
                [
                    NotificationAcknowledged(action.message_id)
                    for action in finals(actions)
                ],
            )
    assert (
        not pair.new.state.key_sequences
        or pair.new.state.idle_keys.entries
        or pair.new.state.pending_notifications
    )


def test_finished_key_is_forgotten_without_visiting_all_keys() -> None:
    dispatcher = make_dispatcher()
    dispatcher.handle(
        0,
        [
            CLOSE_DESTINATION,
            *(
                message_received(
                    f"m{n}",
                    class_name="turns",
                    deadline_us=2 * HOUR,
                    ordering_key=f"k{n}",
                )
                for n in range(5_000)
            ),
        ],
    )
    dispatcher.handle(S, [MessageWithdrawn("m7")])
    assert (
        count_work(dispatcher, 3 * S, TimerExpired("look")) < 20
        and "k7" not in dispatcher.state.key_sequences
        and len(dispatcher.state.key_sequences) == 4_999
    )


def test_changed_settings_and_quotas_match_the_reference() -> None:
    pair = make_pair()
    class_names = ("safe", "keyed", "once", "zoned")
    pair.handle(
        0,
        [
            CLOSE_DESTINATION,
            *(
                message_received(
                    f"m{number}",
                    10 + number % 3,
                    class_names[number % 4],
                    6 * S + number * 3 * MS,
                )
                for number in range(600)
            ),
        ],
    )
    former = pair.new.state.settings
    shorter_classes = tuple(
        replace(
            message_class,
            latency_objective_us=message_class.latency_objective_us // 3,
            late_priority_weight=0.5,
        )
        for message_class in former.classes
    )
    sent: list[SendMessage] = []
    for number in range(240):
        now, events = (
            number * 25 * MS,
            [attempt_finished(send, (DELIVERED, FAILED)[number % 2]) for send in sent],
        )
        other_events: list[Event] = {
            20: [
                OPEN_DESTINATION,
                SettingsChanged(
                    replace(former, classes=shorter_classes, late_weight_halves=True)
                ),
            ],
            60: [
                SettingsChanged(
                    replace(former, classes=shorter_classes, max_attempts=1)
                )
            ],
            100: [
                QuotaChanged(10, 3, S, 9 * S, 1),
                SettingsChanged(replace(former, forwarder_count=40)),
            ],
            140: [
                SettingsChanged(
                    replace(former, max_attempts=9, late_weight_halves=True)
                )
            ],
        }.get(number, [])
        other_events += [message_received(f"n{number}", 10, "safe", now + 2 * S)]
        sent = send_actions(pair.handle(now, [*events, *other_events]))
    pair.compare_whole()


def test_restart_with_many_messages_matches_the_reference() -> None:
    former = make_dispatcher()
    former.handle(
        0,
        [
            message_received(
                f"m{number}", 10 + number % 3, "long", HOUR + number * S, tenant="small"
            )
            for number in range(900)
        ],
    )
    in_flight = {attempt_key for attempt_key in former.state.attempts}
    snapshot = former.snapshot(in_flight)
    pair = make_pair()
    restored = [
        MessageRestored(
            message.id,
            message.destination,
            "long",
            message.deadline,
            None,
            "small",
            number % 3,
            (-1, 5)[number % 3 > 1],
            1,
            message_class=replace(LONG_CLASS),
        )
        for number, message in enumerate(former.state.messages.values())
    ]
    sent = send_actions(pair.handle(S, [*restored, SnapshotRestored(snapshot)]))
    for number in range(1, 60):
        sent = send_actions(
            pair.handle(
                S + number * 50 * MS,
                [
                    attempt_finished(
                        send,
                        DELIVERED,
                        pair.new.state.messages[send.message_id].attempts - 1,
                    )
                    for send in sent
                ],
            )
        )
    pair.compare_whole()
    class_queues = [
        class_queue
        for destination_queue in pair.new.state.queues.by_destination.values()
        for class_queue in destination_queue.class_queues.values()
    ]
    # Equal classes share their class queues, although each message has its own copy.
    assert len(class_queues) <= 3 * 2 * 2


def test_clock_jump_after_a_suspend_matches_the_reference() -> None:
    pair = make_pair()
    pair.handle(
        0,
        [
            message_received(
                f"m{n}",
                10 + n % 3,
                ("safe", "keyed", "turns", "long")[n % 4],
                (5 + n % 900) * S,
                ordering_key=f"k{n % 7}",
            )
            for n in range(600)
        ],
    )
    answer_count = sum(
        len(finals(pair.handle(now, [TimerExpired("look")])))
        for now in (S, 700 * S, 700 * S + 20 * MS, 3 * HOUR, 3 * HOUR)
    )
    assert answer_count > 500


def test_delivery_overtakes_no_calls_to_other_endpoints() -> None:
    """A call overtakes only calls to the same endpoint, and only overtaken calls are
    checked for a stall.
    """
    dispatcher = make_dispatcher(max_in_flight=100, allow_cancel=True)
    entries = tuple(EndpointEntry(1000 + n, 1000 + n) for n in range(50))
    dispatcher.handle(0, [EndpointListChanged(EndpointListKind.CHANGES, entries)])
    sent = send_actions(
        dispatcher.handle(0, [long_message(f"m{n}", n, 1000 + n) for n in range(50)])
    )
    dispatcher.handle(50 * MS, [attempt_finished(sent[0], DELIVERED)])
    assert [
        len(endpoint.calls)
        for endpoint in dispatcher.state.endpoints.values()
        if endpoint.id >= 1000
    ] == [0] + [1] * 49
    assert not dispatcher.state.overtaken_attempts


def test_first_not_sheddable_matches_a_linear_search() -> None:
    rng = Random(11)
    for _ in range(300):
        message_class = replace(
            LONG_CLASS,
            latency_objective_us=rng.randrange(1, 10**7),
            deadline_us=rng.randrange(10**7, 10**8),
        )
        now = rng.randrange(10**9)
        untried, protected = rng.random() < 0.2, rng.random() < 0.3
        key = ClassQueueKey(0, False, -1, untried, protected, False, False)
        class_queue = ClassQueue(
            10,
            message_class,
            key,
            (rng.random() - 0.3) * 10**8,
            rng.randrange(10**7) if protected else None,
        )
        near_deadline = now + (
            0
            if untried
            else message_class.deadline_us - int(class_queue.sheddable_after)
        )
        for number in range(30):
            class_queue.messages.add(
                Message(
                    str(number),
                    10,
                    message_class,
                    near_deadline + rng.randrange(-9, 9),
                    number,
                    None,
                    False,
                    1,
                )
            )
        expected = next(
            (
                message
                for message in class_queue.messages
                if class_queue.sheddable_at(message.deadline) > now
            ),
            None,
        )
        assert class_queue.first_not_sheddable(now) is expected


@pytest.mark.parametrize(("window", "waits"), [(9, 0), (3, 1)])
def test_retry_expiration_is_kept_only_if_it_precedes_the_deadline(
    window: int, waits: int
) -> None:
    """Other entries would outlast their messages by the idempotency window."""
    dispatcher = make_dispatcher(
        classes=(replace(settings().classes[1], idempotency_window_us=window * S),)
    )
    send = send_actions(
        dispatcher.handle(
            0, [message_received("m", class_name="keyed", deadline_us=6 * S)]
        )
    )[0]
    dispatcher.handle(MS, [attempt_finished(send, FAILED), CLOSE_DESTINATION])
    assert len(dispatcher.state.retry_expirations.entries) == waits
    assert (
        len(finals(dispatcher.handle(5 * S, [QuotaChanged(10, 1, S, 9 * S, 1)])))
        == waits
    )


@pytest.mark.parametrize("cls", ["safe", "turns"])
def test_moved_deadline_of_a_waiting_message_takes_effect(cls: str) -> None:
    dispatcher = make_dispatcher()
    dispatcher.handle(
        0,
        [
            CLOSE_DESTINATION,
            *(
                message_received(
                    f"m{n}", class_name=cls, deadline_us=6 * S + n, ordering_key=f"k{n}"
                )
                for n in range(5)
            ),
        ],
    )
    dispatcher.state.messages["m3"].move_deadline(2 * S)
    assert [
        action.message_id
        for action in finals(
            dispatcher.handle(2 * S, [EndpointListChanged(EndpointListKind.CHANGES)])
        )
    ] == ["m3"]
    dispatcher.state.messages["m0"].move_deadline(7 * S)
    assert [
        send.message_id
        for send in send_actions(dispatcher.handle(3 * S, [OPEN_DESTINATION]))
    ] == ["m1"]


def test_largest_queue_matches_a_search_of_all_queues() -> None:
    rng, dispatcher = Random(4), make_dispatcher()
    waiting_ids: list[str] = []
    for number in range(3_000):
        if rng.random() < (0.7 if number % 1_000 < 500 else 0.3) or not waiting_ids:
            waiting_ids.append(f"m{number}")
            dispatcher.handle(
                0,
                [
                    CLOSE_DESTINATION,
                    replace(CLOSE_DESTINATION, destination=11),
                    replace(CLOSE_DESTINATION, destination=12),
                    long_message(waiting_ids[-1], number, 10 + rng.randrange(3)),
                ],
            )
        else:
            dispatcher.handle(
                0, [MessageWithdrawn(waiting_ids.pop(rng.randrange(len(waiting_ids))))]
            )
        queues = dispatcher.state.queues.by_destination
        assert not queues or dispatcher.state.queues.largest_destination() == max(
            queues, key=lambda destination: (len(queues[destination]), destination)
        )
        large = sorted(
            destination for destination, queue in queues.items() if len(queue) >= 64
        )
        assert (
            sorted(
                destination
                for destinations in dispatcher.state.queues.by_size.values()
                for destination in destinations
            )
            == large
        )
