"""Hard cases of long queues: each comes out as in the plain reference, or is held by
counted work.
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
    ask,
    end,
    finals,
    sends,
    settings,
)

OK, FULL, LATE, FAILED = (
    Outcome.DELIVERED,
    Outcome.REJECTED,
    Outcome.TIMED_OUT,
    Outcome.FAILED,
)
LONG = replace(
    settings().classes[0],
    name="long",
    latency_objective_us=600 * S,
    deadline_us=7200 * S,
    late_priority_weight=0.5,
)
LINE = replace(
    settings().classes[4], deadline_us=7200 * S, idempotency_window_us=9000 * S
)
SHUT, OPEN = QuotaChanged(10, 0, 9000 * S, 1 << 50, 0), QuotaChanged(10, 0, 0, 0, 0)
HOUR = 3600 * S


def site(
    make: Callable[[Settings, int, int], Dispatcher] = Dispatcher, **changes: object
) -> Dispatcher:
    base = {
        "classes": (*settings().classes[:4], LINE, LONG),
        "max_open_messages": 1 << 40,
    }
    d = make(settings(**base | changes), 7, 0)
    d.handle(0, [EndpointListChanged(EndpointListKind.CACHED, ENTRIES)])
    return d


def pair(**changes: object) -> Pair:
    return site(Pair, **changes)  # type: ignore[arg-type, return-value]


def long(name: str, n: int, dest: int = 10) -> MessageReceived:
    """One that is due in more than one hour and less than two, in no order."""
    return ask(name, dest, "long", HOUR + (100 + n * 7919 % 3000) * S)


def filled(held: int, **changes: object) -> Dispatcher:
    """One destination that is shut, with its pile."""
    d = site(**changes)
    d.handle(0, [SHUT, *(long(f"m{n}", n) for n in range(held))])
    return d


def work(d: Dispatcher, now: int, *events: Event) -> int:
    before = d.state.work_count
    d.handle(now, events)
    return d.state.work_count - before


@pytest.mark.parametrize("late", [False, True])
def test_ten_thousand_due_in_the_same_instant(late: bool) -> None:
    d = pair()
    d.handle(0, [SHUT, *(ask(f"m{n}", cls="safe", due=6 * S) for n in range(10_000))])
    if late:
        assert len(finals(d.handle(6 * S, []))) == 10_000
        return
    for n in range(4):
        for send in sends(d.handle((n + 1) * 50 * MS, [OPEN])):
            d.handle(
                (n + 1) * 50 * MS + MS,
                [end(send, FULL if n % 2 else OK, retry_after_us=n * 5 * MS)],
            )
    assert len(finals(d.handle(6 * S - 10 * MS, []))) > 9_900


def test_equal_deadlines_add_no_work() -> None:
    counts = []
    for held in (100, 10_000):
        d = site()
        d.handle(
            0, [SHUT, *(ask(f"m{n}", cls="long", due=2 * HOUR) for n in range(held))]
        )
        d.handle(MS, [OPEN])
        now = 90 * 60 * S  # they have lost much of their worth, and none gives way
        counts.append(work(d, now, ask("new", cls="long", due=now + HOUR)))
    assert counts[1] <= counts[0] + 4


def test_an_expected_call_that_changes_with_each_answer() -> None:
    """What is given up, and which class goes first, follow each answer."""
    d, draw = pair(max_attempts=4), Random(5)
    out = sends(
        d.handle(
            0,
            [
                ask(
                    f"m{n}",
                    10 + n % 3,
                    ("safe", "keyed", "once")[n % 3],
                    3 * S + n * 20 * MS,
                )
                for n in range(300)
            ],
        )
    )
    tries = {send.message_id: 1 for send in out}
    given_up = now = 0
    while now < 9 * S:
        now += 25 * MS
        back = (
            out.pop(draw.randrange(len(out))) if out and draw.random() < 0.8 else None
        )
        events: list[Event] = []
        if back is not None:
            outcome = draw.choice((OK, OK, LATE, FAILED))
            events = [
                end(
                    back, outcome, tries[back.message_id] - 1, draw.randrange(MS, 2 * S)
                )
            ]
        actions = d.handle(now, events)
        given_up += len(finals(actions))
        for send in sends(actions):
            out.append(send)
            tries[send.message_id] = tries.get(send.message_id, 0) + 1
    assert given_up > 100 and max(tries.values()) > 1


@pytest.mark.parametrize("held", [100, 10_000])
def test_a_destination_that_opens_after_an_hour(held: int) -> None:
    d = filled(held)
    assert work(d, HOUR - S, OPEN) < 60 and d.state.calls_in_flight == 1
    send = next(iter(d.state.attempts))
    assert (
        work(d, HOUR - S + 50 * MS, AttemptFinished(*send, 1, OK, 50 * MS, True)) < 60
    )


def test_an_event_at_a_full_pile_visits_what_it_changes() -> None:
    counts = []
    for held in (100, 1_000, 20_000):
        d = filled(held)
        counts.append(
            (
                work(d, MS, long("new", 1)),
                work(d, 2 * MS, MessageWithdrawn("m7")),
                work(d, S, TimerExpired("look")),
                work(d, 2 * S, OPEN),
            )
        )
        ((name, attempt),) = d.state.attempts
        back = AttemptFinished(name, attempt, 1, FULL, MS, retry_after_us=S)
        counts[-1] += (work(d, 3 * S, back), work(d, 4 * S, TimerExpired("look")))
    assert all(count < 40 for count in counts[0])
    for other in counts[1:]:
        assert all(
            late <= 2 * first for first, late in zip(counts[0], other, strict=True)
        ), counts


def jammed(
    destinations: int, held: int, shut: int = 0
) -> tuple[Dispatcher, AttemptFinished]:
    """All slots are out, at destination 1; so many have messages, of which some are
    shut.
    """
    d = site(max_in_flight=4)
    entries = tuple(EndpointEntry(1000 + n, 1000 + n) for n in range(destinations))
    d.handle(0, [EndpointListChanged(EndpointListKind.CHANGES, entries)])
    d.handle(0, [replace(SHUT, destination=1000 + n) for n in range(shut)])
    first = sends(
        d.handle(
            0, [long(f"{n} out", n, 1000 + destinations - 1 - n) for n in range(4)]
        )
    )
    d.handle(
        0,
        [
            long(f"{n} {k}", k, 1000 + n)
            for n in range(destinations)
            for k in range(held)
        ],
    )
    d.handle(S, [])
    assert d.state.saturated and len(first) == 4
    return d, end(first[0], OK)


def test_a_jam_looks_at_open_destinations_and_not_at_their_piles() -> None:
    counts = []
    for destinations, held, shut in ((40, 2, 0), (40, 100, 0), (240, 2, 200)):
        d, back = jammed(destinations, held, shut)
        work(d, 2 * S, MessageWithdrawn("none"))
        counts.append(work(d, 2 * S + MS, back))
        assert d.state.calls_in_flight == 4 and len(d.state.attempts) == 4
    assert counts[1] <= counts[0] + 10 and counts[2] <= counts[0] + 10


def test_a_jam_over_all_destinations_comes_out_the_same() -> None:
    d = pair(max_in_flight=3, classes=settings().classes)
    d.handle(
        0,
        [
            ask(
                f"m{n}",
                10 + n % 3,
                ("safe", "keyed", "once", "zoned")[n % 4],
                6 * S + n % 17 * 9 * MS,
                tenant="small",
            )
            for n in range(400)
        ],
    )
    tries: dict[str, int] = {}
    out: list[SendMessage] = []
    jams = now = 0
    while now < 6 * S:
        now += 10 * MS
        back = (
            [end(out[0], OK if now % 70 else FULL, tries.get(out[0].message_id, 0))]
            if out
            else []
        )
        if back and not back[0].message_closed:
            tries[out[0].message_id] = tries.get(out[0].message_id, 0) + 1
        out = out[1:] + sends(d.handle(now, back))
        jams += d.new.state.saturated
    assert jams > 100


def test_a_tenant_past_its_share_goes_last_and_gives_way_alike() -> None:
    d = pair()
    asked = [
        ask(
            f"m{n}",
            10,
            "safe",
            5 * S + n % 9 * 100 * MS,
            tenant=("small", "big", None)[n % 3],
        )
        for n in range(200)
    ]
    out = sends(d.handle(0, asked))
    beyond: list[bool] = []
    for n in range(1, 150):
        events = [end(send, OK) for send in out]
        beyond += [d.new.state.messages[send.message_id].over_quota for send in out]
        out = sends(d.handle(n * 40 * MS, events))
    assert sum(beyond) > 5 and beyond == sorted(beyond)


def test_one_key_with_ten_thousand_in_line() -> None:
    d = site()
    d.handle(
        0,
        [
            ask(f"m{n}", cls="turns", due=2 * HOUR - n * MS, ordering_key="k")
            for n in range(10_000)
        ],
    )
    counts = [
        work(d, MS, MessageWithdrawn("m5000")),
        work(d, 2 * MS, MessageWithdrawn("m9999")),
    ]
    now = 3 * MS
    for n in range(20):
        ((name, attempt),) = d.state.attempts
        assert name == f"m{n}"
        now += 50 * MS
        counts.append(
            work(d, now, AttemptFinished(name, attempt, 1, OK, 50 * MS, True))
        )
    assert max(counts) < 40
    line = d.state.key_sequences["k"]
    assert (
        len(line.messages) == 10_000 - 22
        and line.ready_head is None
        and line.in_flight == 1
    )


def test_lines_come_out_the_same_with_rests_ends_told_and_withdrawals() -> None:
    d, draw = pair(notifications_acknowledged=True, max_attempts=3), Random(3)
    d.handle(
        0,
        [
            ask(
                f"m{n}",
                10 + n % 2,
                "turns",
                9 * S + n * 10 * MS,
                ordering_key=f"k{n % 5}",
            )
            for n in range(200)
        ],
    )
    out: list[tuple[SendMessage, int]] = []
    tries: dict[str, int] = {}
    for n in range(400):
        events: list[Event] = (
            [MessageWithdrawn(f"m{draw.randrange(200)}")] if draw.random() < 0.1 else []
        )
        if out:
            send, attempt = out.pop(0)
            events.append(end(send, draw.choice((OK, OK, LATE, FULL)), attempt))
        actions = d.handle(n * 30 * MS, events)
        for send in sends(actions):
            out.append((send, tries.setdefault(send.message_id, 0)))
            tries[send.message_id] += 1
        if draw.random() < 0.5:
            d.handle(
                n * 30 * MS + MS,
                [NotificationAcknowledged(a.message_id) for a in finals(actions)],
            )
    assert (
        not d.new.state.key_sequences
        or d.new.state.idle_keys.entries
        or d.new.state.pending_notifications
    )


def test_lines_that_are_over_are_forgotten_without_a_sweep() -> None:
    d = site()
    d.handle(
        0,
        [
            SHUT,
            *(
                ask(f"m{n}", cls="turns", due=2 * HOUR, ordering_key=f"k{n}")
                for n in range(5_000)
            ),
        ],
    )
    d.handle(S, [MessageWithdrawn("m7")])
    assert (
        work(d, 3 * S, TimerExpired("look")) < 20
        and "k7" not in d.state.key_sequences
        and len(d.state.key_sequences) == 4_999
    )


def test_other_classes_and_shares_under_a_full_pile() -> None:
    d = pair()
    names = ("safe", "keyed", "once", "zoned")
    d.handle(
        0,
        [
            SHUT,
            *(
                ask(f"m{n}", 10 + n % 3, names[n % 4], 6 * S + n * 3 * MS)
                for n in range(600)
            ),
        ],
    )
    old = d.new.state.settings
    shorter = tuple(
        replace(
            c,
            latency_objective_us=c.latency_objective_us // 3,
            late_priority_weight=0.5,
        )
        for c in old.classes
    )
    out: list[SendMessage] = []
    for n in range(240):
        now, events = n * 25 * MS, [end(send, (OK, FAILED)[n % 2]) for send in out]
        more: list[Event] = {
            20: [
                OPEN,
                SettingsChanged(replace(old, classes=shorter, late_weight_halves=True)),
            ],
            60: [SettingsChanged(replace(old, classes=shorter, max_attempts=1))],
            100: [
                QuotaChanged(10, 3, S, 9 * S, 1),
                SettingsChanged(replace(old, forwarder_count=40)),
            ],
            140: [
                SettingsChanged(replace(old, max_attempts=9, late_weight_halves=True))
            ],
        }.get(n, [])
        more += [ask(f"n{n}", 10, "safe", now + 2 * S)]
        out = sends(d.handle(now, [*events, *more]))
    d.compare_whole()


def test_a_restart_that_recalls_many() -> None:
    first = site()
    first.handle(
        0,
        [
            ask(f"m{n}", 10 + n % 3, "long", HOUR + n * S, tenant="small")
            for n in range(900)
        ],
    )
    out = {named for named in first.state.attempts}
    memory = first.snapshot(out)
    d = pair()
    recalled = [
        MessageRestored(
            m.id,
            m.destination,
            "long",
            m.deadline,
            None,
            "small",
            n % 3,
            (-1, 5)[n % 3 > 1],
            1,
            message_class=replace(LONG),
        )
        for n, m in enumerate(first.state.messages.values())
    ]
    sent = sends(d.handle(S, [*recalled, SnapshotRestored(memory)]))
    for n in range(1, 60):
        sent = sends(
            d.handle(
                S + n * 50 * MS,
                [
                    end(s, OK, d.new.state.messages[s.message_id].attempts - 1)
                    for s in sent
                ],
            )
        )
    d.compare_whole()
    lanes = [
        lane
        for pile in d.new.state.queues.by_destination.values()
        for lane in pile.class_queues.values()
    ]
    assert (
        len(lanes) <= 3 * 2 * 2
    )  # equal classes that were read anew for each message share their lanes


def test_the_clock_leaps_while_the_machine_is_suspended() -> None:
    d = pair()
    d.handle(
        0,
        [
            ask(
                f"m{n}",
                10 + n % 3,
                ("safe", "keyed", "turns", "long")[n % 4],
                (5 + n % 900) * S,
                ordering_key=f"k{n % 7}",
            )
            for n in range(600)
        ],
    )
    ended = sum(
        len(finals(d.handle(now, [TimerExpired("look")])))
        for now in (S, 700 * S, 700 * S + 20 * MS, 3 * HOUR, 3 * HOUR)
    )
    assert ended > 500


def test_calls_out_elsewhere_add_nothing_to_an_answer() -> None:
    """Only calls to the same target are passed by one, and only calls that were passed
    are looked at.
    """
    d = site(max_in_flight=100, allow_cancel=True)
    entries = tuple(EndpointEntry(1000 + n, 1000 + n) for n in range(50))
    d.handle(0, [EndpointListChanged(EndpointListKind.CHANGES, entries)])
    out = sends(d.handle(0, [long(f"m{n}", n, 1000 + n) for n in range(50)]))
    d.handle(50 * MS, [end(out[0], OK)])
    assert [len(t.calls) for t in d.state.endpoints.values() if t.id >= 1000] == [0] + [
        1
    ] * 49
    assert not d.state.overtaken_attempts


def test_the_first_that_does_not_give_way_is_found_as_by_looking_at_all() -> None:
    draw = Random(11)
    for _ in range(300):
        cls = replace(
            LONG,
            latency_objective_us=draw.randrange(1, 10**7),
            deadline_us=draw.randrange(10**7, 10**8),
        )
        now = draw.randrange(10**9)
        untried, kept = draw.random() < 0.2, draw.random() < 0.3
        key = ClassQueueKey(0, False, -1, untried, kept, False, False)
        lane = ClassQueue(
            10,
            cls,
            key,
            (draw.random() - 0.3) * 10**8,
            draw.randrange(10**7) if kept else None,
        )
        near = now + (0 if untried else cls.deadline_us - int(lane.sheddable_after))
        for n in range(30):
            lane.messages.add(
                Message(
                    str(n), 10, cls, near + draw.randrange(-9, 9), n, None, False, 1
                )
            )
        plain = next(
            (m for m in lane.messages if lane.sheddable_at(m.deadline) > now), None
        )
        assert lane.first_not_sheddable(now) is plain


@pytest.mark.parametrize(("window", "waits"), [(9, 0), (3, 1)])
def test_a_repeat_that_no_time_ends_is_not_waited_for(window: int, waits: int) -> None:
    """The entries would outlast their messages by the time for which keys are known."""
    d = site(
        classes=(replace(settings().classes[1], idempotency_window_us=window * S),)
    )
    send = sends(d.handle(0, [ask("m", cls="keyed", due=6 * S)]))[0]
    d.handle(MS, [end(send, FAILED), SHUT])
    assert len(d.state.retry_expirations.entries) == waits
    assert len(finals(d.handle(5 * S, [QuotaChanged(10, 1, S, 9 * S, 1)]))) == waits


@pytest.mark.parametrize("cls", ["safe", "turns"])
def test_a_deadline_that_is_changed_while_its_message_is_held(cls: str) -> None:
    d = site()
    d.handle(
        0,
        [
            SHUT,
            *(
                ask(f"m{n}", cls=cls, due=6 * S + n, ordering_key=f"k{n}")
                for n in range(5)
            ),
        ],
    )
    d.state.messages["m3"].move_deadline(2 * S)
    assert [
        a.message_id
        for a in finals(
            d.handle(2 * S, [EndpointListChanged(EndpointListKind.CHANGES)])
        )
    ] == ["m3"]
    d.state.messages["m0"].move_deadline(7 * S)
    assert [s.message_id for s in sends(d.handle(3 * S, [OPEN]))] == ["m1"]


def test_the_largest_pile_is_known_without_looking_at_all() -> None:
    draw, d = Random(4), site()
    held: list[str] = []
    for n in range(3_000):
        if draw.random() < (0.7 if n % 1_000 < 500 else 0.3) or not held:
            held.append(f"m{n}")
            d.handle(
                0,
                [
                    SHUT,
                    replace(SHUT, destination=11),
                    replace(SHUT, destination=12),
                    long(held[-1], n, 10 + draw.randrange(3)),
                ],
            )
        else:
            d.handle(0, [MessageWithdrawn(held.pop(draw.randrange(len(held))))])
        piles = d.state.queues.by_destination
        assert not piles or d.state.queues.largest_destination() == max(
            piles, key=lambda name: (len(piles[name]), name)
        )
        large = sorted(name for name, pile in piles.items() if len(pile) >= 64)
        assert (
            sorted(name for names in d.state.queues.by_size.values() for name in names)
            == large
        )
