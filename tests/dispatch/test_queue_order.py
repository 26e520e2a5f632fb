"""Corners of the order that drawn worlds hardly reach, each compared with the plain
reference.
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
from tests.support.event_scripts import MS, S, ask, end, finals, sends, settings

OK, FULL, LATE, FAILED = (
    Outcome.DELIVERED,
    Outcome.REJECTED,
    Outcome.TIMED_OUT,
    Outcome.FAILED,
)
ONE = (EndpointEntry(1, 10, "north", "plain"),)
TWO = (*ONE, EndpointEntry(2, 11, "north", "plain"))
WAYS = (
    EndpointEntry(4, 12, "north", "ways"),
    EndpointEntry(5, 12, "south", "ways"),
)


def pair(entries: tuple[EndpointEntry, ...] = ONE, **changes: object) -> Pair:
    d = Pair(settings(**changes), 7, 0)
    d.handle(0, [EndpointListChanged(EndpointListKind.CACHED, entries)])
    return d


def shut(destination: int = 10) -> QuotaChanged:
    return QuotaChanged(destination, 0, 9 * S, 1 << 50, 0)


def opened(destination: int = 10) -> QuotaChanged:
    return QuotaChanged(destination, 0, 0, 0, 0)


def test_the_newest_of_all_waits_for_the_next_group_if_due_at_the_limit() -> None:
    quick = replace(settings().classes[0], name="quick", latency_objective_us=S)
    for due, first in ((2800 * MS, "slow"), (2799 * MS, "new")):
        d = pair(classes=(settings().classes[0], quick))
        d.handle(0, [shut(), ask("slow", due=2 * S), ask("new", cls="quick", due=due)])
        assert sends(d.handle(0, [opened()]))[0].message_id == first


def test_a_lane_that_was_kept_empty_follows_other_settings() -> None:
    """When worth is lost was worked out for a lane; it is used again with the next
    message.
    """
    for late_halves in (False, True):
        d = pair()
        send = sends(d.handle(0, [ask("first")]))[0]
        d.handle(
            MS, [end(send, FULL, retry_after_us=60 * S), MessageWithdrawn("first")]
        )
        d.handle(
            2 * MS,
            [
                SettingsChanged(
                    replace(d.new.state.settings, late_weight_halves=late_halves)
                )
            ],
        )
        d.handle(3 * MS, [ask("old", due=6 * S)])
        d.handle(2_900 * MS, [ask("fresh", due=8_900 * MS)])
        ends = [
            n
            for n in range(3_000, 6_000, 20)
            if finals(d.handle(n * MS, [TimerExpired("look")]))
        ]
        assert ends


def test_an_outage_that_is_recalled_as_over_opens_a_destination_in_a_jam() -> None:
    d, now = pair(TWO, max_in_flight=1, forwarder_count=40), 100 * S
    d.handle(now, [OutageRestored(1, 80 * S)])
    d.handle(now + MS, [ask("waits", due=130 * S), ask("out", 11, due=140 * S)])
    assert [name for name, _ in d.new.state.attempts] == [
        "out"
    ] and 10 not in d.new.state.possibly_open
    d.handle(now + 2 * MS, [OutageRestored(1, 10 * S, 40 * S)])
    assert d.new.state.saturated and not d.new.in_slow_start(d.new.state.endpoints[1])
    again = d.handle(now + 3 * MS, [AttemptFinished("out", 0, 2, OK, MS, True)])
    assert [s.message_id for s in sends(again)] == ["waits"]


def test_what_is_remembered_opens_a_destination_in_a_jam() -> None:
    d = pair(TWO, max_in_flight=1)
    first = sends(d.handle(0, [ask("waits", due=30 * S)]))[0]
    d.handle(MS, [end(first, FULL, retry_after_us=20 * S)])
    d.handle(2 * MS, [ask("out", 11, due=40 * S)])
    assert d.new.state.saturated and 10 not in d.new.state.possibly_open
    told = {"wait_until": 0, "rest_until": 0, "rest": 0}
    d.handle(3 * MS, [SnapshotRestored({"places": [[10, -1, told]]})])
    again = d.handle(4 * MS, [AttemptFinished("out", 0, 2, OK, MS, True)])
    assert [s.message_id for s in sends(again)] == ["waits"]


def test_a_message_comes_back_from_a_target_that_belongs_elsewhere_by_now() -> None:
    """It waits where nothing else is looked at in that round; as slots were out, it is
    found all the same.
    """
    d = pair(TWO, max_in_flight=1)
    told = {"calls": [[1, {"sent_at": 0}, [["moved", 0]]]]}
    d.handle(
        0,
        [
            MessageRestored("moved", 11, "safe", 30 * S, attempts=1),
            SnapshotRestored(told),
        ],
    )
    assert d.new.state.saturated
    again = d.handle(
        2 * MS, [AttemptFinished("moved", 0, 1, Outcome.NO_CONNECTION, MS)]
    )
    assert [(s.message_id, s.endpoint) for s in sends(again)] == [("moved", 2)]


def test_messages_bound_to_different_routes_do_not_wait_for_each_other() -> None:
    d = pair(WAYS)
    names = [f"m{n}" for n in range(2)]
    out = sends(d.handle(0, [ask(name, 12, "zoned", 9 * S) for name in names]))
    assert {s.endpoint for s in out} == {4, 5}
    first, other = sorted(out, key=lambda s: s.message_id)
    d.handle(20 * MS, [end(first, FAILED), end(other, FAILED)])
    d.handle(30 * MS, [ask("full", 12, "safe", 1 * S)])
    sent: Counter[str] = Counter()
    for n in range(40, 1_500, 10):
        actions = d.handle(n * MS, [TimerExpired("look")])
        for s in sends(actions):
            sent[s.message_id] += 1
            back = end(
                s,
                FULL,
                d.new.state.messages[s.message_id].attempts - 1,
                MS,
                retry_after_us=5 * S,
            )
            d.handle(
                n * MS + 1,
                [
                    back
                    if s.endpoint == first.endpoint
                    else replace(back, retry_after_us=0)
                ],
            )
    assert sent[other.message_id] > sent[first.message_id]


def test_silent_calls_are_recalled_in_the_order_of_their_sends() -> None:
    """Not in that in which others passed them."""
    d, now = pair(TWO, allow_cancel=True, max_in_flight=16), 0

    def answered(destination: int, calls: int) -> None:
        nonlocal now
        for _ in range(calls):
            now += MS
            send = sends(d.handle(now, [ask(f"at {now}", destination, due=60 * S)]))[0]
            d.handle(now, [end(send, OK, took=MS)])

    answered(10, 5)
    answered(11, 5)
    now += MS
    silent = [
        *sends(d.handle(now, [ask("first", 10, due=60 * S)])),
        *sends(d.handle(now, [ask("second", 11, due=60 * S)])),
    ]
    assert [s.message_id for s in silent] == ["first", "second"]
    answered(11, 3)
    answered(10, 3)
    assert list(d.new.state.overtaken_attempts) == [("second", 0), ("first", 0)]
    canceled = [
        a.message_id for a in d.handle(9 * S, []) if isinstance(a, CancelAttempt)
    ]
    assert canceled == ["first", "second"]


def test_a_call_that_was_passed_in_the_process_before_is_recalled_here() -> None:
    d = pair(allow_cancel=True)
    told = {"calls": [[1, {"sent_at": -60 * S, "passed": 3}, [["out", 0]]]]}
    actions = d.handle(
        0,
        [
            MessageRestored("out", 10, "safe", 30 * S, attempts=1),
            SnapshotRestored(told),
        ],
    )
    assert CancelAttempt("out", 0) in actions


def test_a_key_whose_second_is_still_out_lets_none_go() -> None:
    d = pair(TWO)
    told = {"calls": [[2, {}, [["second", 0]]]]}
    actions = d.handle(
        0,
        [
            MessageRestored("first", 10, "turns", 8 * S, "k"),
            MessageRestored("second", 11, "turns", 9 * S, "k", attempts=1),
            SnapshotRestored(told),
        ],
    )
    assert not sends(actions) and not sends(d.handle(S, []))
    again = d.handle(2 * S, [AttemptFinished("second", 0, 2, Outcome.NO_CONNECTION, S)])
    assert [s.message_id for s in sends(again)] == ["first"]


def test_the_buffer_turns_away_all_that_came_at_the_same_time() -> None:
    d = pair(max_open_messages=10)
    d.handle(0, [shut(), *(ask(f"m{n}", due=60 * S) for n in range(6))])
    d.handle(S, [ask("n0", due=60 * S), ask("n1", due=50 * S)])
    assert [
        a.message_id
        for a in finals(d.handle(S, [ask("n2", due=40 * S), MessageWithdrawn("m1")]))
    ] == []
    over = finals(d.handle(S, [ask("n3", due=30 * S), ask("n4", due=20 * S)]))
    assert [a.message_id for a in over] == ["n0"]


def test_equal_classes_of_other_settings_share_their_lanes() -> None:
    d = pair()
    for n in range(6):
        copies = tuple(replace(c) for c in settings().classes)
        d.handle(
            n * MS,
            [
                shut(),
                SettingsChanged(replace(d.new.state.settings, classes=copies)),
                ask(f"m{n}", due=60 * S),
            ],
        )
    assert [
        len(pile.class_queues) for pile in d.new.state.queues.by_destination.values()
    ] == [1]


def test_one_whose_aim_is_beyond_its_deadline_gives_way_to_none_but_itself() -> None:
    odd = replace(
        settings().classes[0],
        latency_objective_us=4 * S,
        deadline_us=3 * S,
        late_priority_weight=0.9,
    )
    odder = replace(
        odd, name="odder", late_priority_weight=1.0
    )  # it has faded since before the clock began
    d = pair(classes=(odd, odder))
    d.handle(
        MS,
        [shut(11), *(ask(f"m{n}", 11, cls="odder", due=9 * S + n) for n in range(2))],
    )
    actions = d.handle(S, [shut(), ask("alone", due=1_500 * MS)])
    assert [a.reason for a in finals(actions)] == ["makes way for fresh ones"]
