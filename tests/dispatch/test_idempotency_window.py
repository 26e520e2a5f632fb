"""A keyed message that may have run goes out again only while its first call's window
surely holds.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    CancelAttempt,
    CloseIdleConnections,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    FailMessage,
    Idempotency,
    IdempotencyScope,
    MessageClass,
    MessageRestored,
    Outcome,
    RejectMessage,
    SendMessage,
    SnapshotRestored,
    TimerExpired,
)
from rainfall.dispatch.completion import MIN_RETRY_AFTER_US
from rainfall.dispatch.idempotency import TRANSIT_SLACK_US
from rainfall.forwarder.config.loading import (
    Address,
    Config,
    EndpointList,
    parse_endpoint,
)
from rainfall.forwarder.engine.engine import Clock, Engine
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    DeliveryRules,
    MessageStore,
)
from rainfall.forwarder.outbound.connection_pool import (
    CallItem,
    ConnectionPool,
    OutboundCall,
)
from rainfall.wirehost import parse_settings as read_settings
from tests.journal.test_recovery import opened, taken
from tests.support.event_scripts import (
    MS,
    S,
    ask,
    end,
    finals,
    sends,
    settings,
    started,
)
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    SETTINGS,
    Answer,
    Peer,
    Platform,
    always,
)
from tests.support.memory_disk import Disk

FULL, FAILED, LATE = Outcome.REJECTED, Outcome.FAILED, Outcome.TIMED_OUT
ONE = (EndpointEntry(1, 10, "north", "plain"),)
WINDOW = 1 * S


def short(
    window: int = WINDOW, scope: IdempotencyScope = IdempotencyScope.ALL
) -> dict[str, object]:
    """Settings with one keyed class whose window is no longer than a client's shortest
    absence.
    """
    return {
        "classes": (
            MessageClass("keyed", 2 * S, 20 * S, Idempotency.WITH_KEY, scope, window),
            MessageClass("safe", 2 * S, 20 * S),
        )
    }


def failed_once(d: Dispatcher, at: int, then: Outcome = FAILED) -> list[Action]:
    """One keyed message whose first call is sent at 0 and ends so at that time."""
    first = sends(d.handle(0, [ask("m", cls="keyed", due=20 * S)]))[0]
    return d.handle(
        at, [end(first, then, took=at, inconclusive=True)]
    )  # weak: no outage in the way of a repeat


# What is decided


@pytest.mark.parametrize(
    "at, again",
    [
        (300 * MS, True),
        (WINDOW - TRANSIT_SLACK_US - 1, True),
        (WINDOW - TRANSIT_SLACK_US, False),
        (WINDOW, False),
    ],
)
@pytest.mark.parametrize(
    "how", [FAILED, LATE, Outcome.RESET, Outcome.UNREADABLE, Outcome.CANCELED]
)
def test_a_repeat_is_decided_only_with_time_left_for_its_way(
    at: int, again: bool, how: Outcome
) -> None:
    d = started(ONE, **short())
    actions = failed_once(d, at, how)
    assert bool(sends(actions)) is again
    assert finals(actions) == ([] if again else [FailMessage("m")])


def test_the_window_runs_from_the_first_call_that_may_have_run_and_from_no_later_one() -> (
    None
):
    d = started(ONE, **short())
    first = sends(d.handle(0, [ask("m", cls="keyed", due=20 * S)]))[0]
    never = sends(
        d.handle(400 * MS, [end(first, Outcome.NO_CONNECTION, inconclusive=True)])
    )[0]  # ran not
    ran = sends(
        d.handle(800 * MS, [end(never, FAILED, 1, inconclusive=True)])
    )  # that was sent at 0.4 s
    assert ran
    assert not finals(d.handle(1300 * MS, [TimerExpired("look")]))
    actions = d.handle(
        1350 * MS, [end(ran[0], FAILED, 2, inconclusive=True)]
    )  # this one's own runs to 1.8 s
    assert not sends(actions) and finals(actions) == [FailMessage("m")]


def test_past_its_window_a_keyed_message_is_failed_and_never_refused() -> None:
    """Refused, it would come back from its client under a new id and run a second
    time.
    """
    d = started(ONE, **short())
    first = sends(d.handle(0, [ask("m", cls="keyed", due=20 * S)]))[0]
    d.handle(
        100 * MS,
        [end(first, FAILED), EndpointListChanged(EndpointListKind.SNAPSHOT, ())],
    )  # nowhere to go
    given = [
        a
        for t in range(120 * MS, 3 * S, 20 * MS)
        for a in finals(d.handle(t, [TimerExpired("look")]))
    ]
    assert given == [FailMessage("m")]


@pytest.mark.parametrize(
    "window, final",
    [
        (MIN_RETRY_AFTER_US, FailMessage),
        (MIN_RETRY_AFTER_US + TRANSIT_SLACK_US + 300 * MS, FailMessage),
        (10 * S, RejectMessage),
    ],
)
def test_a_client_that_would_come_back_after_the_window_is_not_sent_away(
    window: int, final: type
) -> None:
    """All its tries spent early, a message may be refused only where the client's
    return is in the window.
    """
    d = started(ONE, max_attempts=1, **short(window))
    assert [type(a) for a in finals(failed_once(d, 300 * MS))] == [final]


@pytest.mark.parametrize("scope", [IdempotencyScope.ZONE, IdempotencyScope.ENDPOINT])
def test_a_key_that_other_targets_do_not_know_is_never_refused_once_it_may_have_run(
    scope: IdempotencyScope,
) -> None:
    d = started(ONE, max_attempts=1, **short(10 * S, scope))
    assert finals(failed_once(d, 300 * MS)) == [FailMessage("m")]


# Over restarts and hand-overs


@pytest.mark.parametrize(
    "at, again", [(-900 * MS, True), (-WINDOW, False), (-3 * S, False)]
)
def test_a_restart_counts_from_the_first_call_of_before(at: int, again: bool) -> None:
    now = 50 * S
    d = Dispatcher(settings(**short()), 7, now)
    actions = d.handle(
        now,
        [
            EndpointListChanged(EndpointListKind.SNAPSHOT, ONE),
            MessageRestored(
                "m",
                10,
                "keyed",
                now + 15 * S,
                attempts=1,
                executed_at_us=now + at,
                executed_on=1,
                interrupted=True,
            ),
        ],
    )
    assert bool(sends(actions)) is again and finals(actions) == (
        [] if again else [FailMessage("m")]
    )


@pytest.mark.parametrize("at, again", [(600 * MS, True), (WINDOW, False)])
def test_a_call_that_was_out_at_a_hand_over_keeps_its_time(
    at: int, again: bool
) -> None:
    old = started(ONE, **short())
    first = sends(old.handle(0, [ask("m", cls="keyed", due=20 * S)]))[0]
    memory = json.loads(json.dumps(old.snapshot({("m", 0)})))
    d = Dispatcher(settings(**short()), 8, 500 * MS)
    told = [
        EndpointListChanged(EndpointListKind.CACHED, ONE),
        MessageRestored("m", 10, "keyed", 20 * S, attempts=1),
        SnapshotRestored(memory),
    ]
    assert not sends(
        d.handle(500 * MS, told)
    )  # its call is still out at the process before
    actions = d.handle(at, [end(first, Outcome.RESET, took=at)])
    assert bool(sends(actions)) is again and finals(actions) == (
        [] if again else [FailMessage("m")]
    )


def configured(folder: Path, platform: Platform, window_us: int) -> Config:
    made = {
        **SETTINGS,
        "services": [{**s, "window_us": window_us} for s in SETTINGS["services"]],
    }
    hosts = tuple(parse_endpoint(h) for h in platform.hosts.values())
    return Config(
        "n",
        Address("127.0.0.1", 0),
        Address("127.0.0.1", platform.port),
        folder,
        1,
        192,
        256,
        3_000_000,
        EndpointList(1, True, hosts),
        read_settings(made),
        ("x0", "x1"),
    )


@pytest.mark.parametrize("ago, window, again", [(S, S, False), (S, 60 * S, True)])
def test_a_repeat_after_a_kill_goes_out_only_within_the_journaled_window(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, ago: int, window: int, again: bool
) -> None:
    """Killed with a call out: it may have run when the journal says it left. The start
    reads that time, and the class it was taken on under, from the file.
    """
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.ACCEPT_PERIOD_S", 0.0)

    async def scene() -> None:
        platform = Platform()
        await platform.start()
        peer = await Peer(always(OK)).start()
        platform.host("s1", peer.port)
        config = configured(tmp_path, platform, window)
        store = MessageStore(tmp_path, 3_000_000)
        store.use_rules(DeliveryRules(6, config.settings.classes))
        e = Engine(config)  # for its clock
        now = e.clock()
        e.store.release()
        m = AcceptedMessage("m", "order", 7, now + 50 * S, "key-m", "acme", b"hello")
        store.append_message(m)
        store.append_attempt(m, 0, now - ago, "s1")
        store.flush()
        store.release()  # as SIGKILL leaves it: no outcome, no end
        e = Engine(config)
        run = asyncio.create_task(e.run())
        if again:
            call = (await peer.got(1))[0]
            assert call.headers["idempotency-key"] == "key-m"
        else:
            assert (await platform.notice("m"))["state"] == "failed"
            assert not peer.requests
        e.stop()
        async with asyncio.timeout(PATIENCE):
            await run
        assert len(peer.requests) == (1 if again else 0)

    asyncio.run(scene())


def test_a_clock_that_was_kept_by_small_steps_counts_on_after_a_restart() -> None:
    """On the same boot the monotonic clock tells how much time has passed. Read anew, a
    wall clock that was slewed back by 0.4 s would give a window of 1 s another 0.4
    s.
    """
    disk = Disk()
    store = opened(disk)
    store.append_message(taken("a"))
    store.append_attempt(store.messages["a"], 0, 5 * S, "s1")
    store.flush()
    assert store.clock is not None
    base = store.clock[0]
    for slewed in (-400 * MS, 400 * MS):
        disk.killed()
        back = opened(disk, base=base + slewed)
        assert (
            back.clock is not None
            and back.clock[0] == base
            and not back.report.shifted_us
        )
        assert back.messages["a"].in_flight == {0: (5 * S, "s1")}


def test_the_engine_goes_by_the_clock_that_its_journal_goes_by(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        platform = Platform()
        platform.port = 9
        before = Engine(configured(tmp_path, platform, S))
        base = before.clock.offset_ns // 1000
        before.store.release()

        slewed = Clock()
        slewed.offset_ns = before.clock.offset_ns - 400 * MS * 1000
        monkeypatch.setattr("rainfall.forwarder.engine.engine.Clock", lambda: slewed)
        after = Engine(configured(tmp_path, platform, S))
        assert after.clock.offset_ns // 1000 == base
        after.store.release()

    asyncio.run(scene())


@pytest.mark.parametrize(
    "window, least, most", [(60 * S, 600 * MS, 1600 * MS), (500 * MS, 2 * S, 20 * S)]
)
def test_a_silent_call_that_outlasts_its_window_is_waited_for_as_a_once_only_one(
    window: int, least: int, most: int
) -> None:
    """Called off once later calls are answered, it could not be sent again: it has to
    have its aim first.
    """
    d = started(ONE, allow_cancel=True, **short(window))
    d.handle(
        MS, [end(sends(d.handle(0, [ask("first")]))[0], Outcome.DELIVERED)]
    )  # the window lets two go
    assert (
        sends(d.handle(2 * MS, [ask("m", cls="keyed", due=60 * S)]))[0].message_id
        == "m"
    )
    now, cancels = 0, []
    while not cancels and now < 30 * S:
        now += 100 * MS
        actions = d.handle(now, [ask(f"m{now}", due=60 * S)])
        answered = [end(s, Outcome.DELIVERED, took=50 * MS) for s in sends(actions)]
        actions += d.handle(now + 50 * MS, answered)
        cancels = [a for a in actions if isinstance(a, CancelAttempt)]
    assert cancels == [CancelAttempt("m", 0)] and least <= now <= most


@pytest.mark.parametrize("window, whole", [(S, True), (60 * S, False)])
def test_a_call_that_outlasts_its_window_is_waited_for_till_its_end(
    window: int, whole: bool
) -> None:
    """Given up after its aim of 2 s it could not be sent again, and would have failed
    by that alone.
    """
    d = started(ONE, **short(window))
    send = sends(d.handle(0, [ask("m", cls="keyed", due=20 * S)]))[0]
    assert (send.timeout_us == 20 * S) is whole and send.timeout_us >= 2 * S


def test_what_is_waited_for_till_its_end_shares_no_call_with_what_is_not(
    tmp_path: Path,
) -> None:
    """A call is given up as a whole: the shorter patience would end them all."""

    async def scene() -> None:
        platform = Platform()
        platform.port = 9
        platform.host("s1", 9)
        e = Engine(configured(tmp_path, platform, S))
        e.batch_sizes["plain"] = 20
        calls: list[CloseIdleConnections | OutboundCall | CancelAttempt] = []
        forming: dict[tuple[int, bool], OutboundCall] = {}
        for name, cls, wait in (
            ("a", "status", 2 * S),
            ("b", "order", 50 * S),
            ("c", "order", 2 * S),
            ("d", "pay", 50 * S),
            ("e", "status", 50 * S),
        ):
            e.store.append_message(
                AcceptedMessage(name, cls, 7, 50 * S, None, None, b"")
            )
            e.add_to_call(SendMessage(name, 1, wait), 0, forming, calls)
        made = [c for c in calls if isinstance(c, OutboundCall)]
        assert [[x.id for x in c.items] for c in made] == [["a", "c", "e"], ["b", "d"]]
        assert [min(x.timeout_at_us for x in c.items) for c in made] == [2 * S, 50 * S]
        e.store.close()

    asyncio.run(scene())


# On the wire


class Hand:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now = 10 * S

    def __call__(self) -> int:
        return self.now


def repeat(clock: Hand, window_us: int, *, beside: bool = False) -> OutboundCall:
    items = [
        CallItem(
            "m", 1, "key-m", b"x", clock() + 60 * S, send_before_us=clock() + window_us
        )
    ]
    if beside:
        items.append(CallItem("n", 0, "key-n", b"y", clock() + 60 * S))
    return OutboundCall(1, (7, -1), clock(), items)


@pytest.mark.parametrize("beside", [False, True])
def test_a_repeat_whose_connection_comes_up_after_the_window_does_not_leave(
    monkeypatch: pytest.MonkeyPatch, beside: bool
) -> None:
    """Decided in its window, it would have waited for its connection for longer than
    that lasts. What shares its call goes on without it.
    """

    async def scene() -> None:
        ends: list[AttemptFinished] = []
        peer = await Peer(always(OK)).start()
        clock, gate = Hand(), asyncio.Event()
        p = ConnectionPool(clock, ends.append, (), 60 * S, 1_500 * MS, 10)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        loop = asyncio.get_running_loop()
        dial = loop.create_connection

        async def held(*args: object, **more: object) -> object:
            await gate.wait()
            return await dial(*args, **more)  # type: ignore[arg-type]

        monkeypatch.setattr(loop, "create_connection", held)
        p.start(repeat(clock, S, beside=beside))
        await asyncio.sleep(0)
        clock.now += S
        gate.set()
        async with asyncio.timeout(PATIENCE):
            while len(ends) < 1 + beside:
                await asyncio.sleep(0)
        first = next(e for e in ends if e.message_id == "m")
        assert first.outcome is Outcome.NOT_SENT
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["n"] * beside
        assert p.in_flight == 0 and not p.calls
        p.close()

    asyncio.run(scene())


def test_a_repeat_held_by_the_last_gate_until_after_the_window_does_not_leave() -> None:
    async def scene() -> None:
        ends: list[AttemptFinished] = []
        peer = await Peer(always(OK)).start()
        clock = Hand()
        p = ConnectionPool(clock, ends.append, (), 60 * S, 1_500 * MS, 10)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        asked: list[int] = []

        def leaves(call: OutboundCall) -> int:
            asked.append(clock.now)
            clock.now += S  # the moment that it is held for passes
            return 1_000 if len(asked) == 1 else 0

        p.acquire_permit = leaves
        p.start(repeat(clock, S))
        async with asyncio.timeout(PATIENCE):
            while not ends:
                await asyncio.sleep(0.001)
        assert (
            ends[0].outcome is Outcome.NOT_SENT
            and not peer.requests
            and len(asked) == 1
        )
        p.close()

    asyncio.run(scene())


def test_a_repeat_that_has_arrived_is_waited_for_past_the_window() -> None:
    async def scene() -> None:
        ends: list[AttemptFinished] = []
        clock, gate = Hand(), asyncio.Event()

        async def slow(request: object) -> Answer:
            await gate.wait()
            return OK

        peer = await Peer(slow).start()
        p = ConnectionPool(clock, ends.append, (), 60 * S, 1_500 * MS, 10)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        p.start(repeat(clock, 20 * MS))
        await peer.got(1)
        clock.now += S
        await asyncio.sleep(
            0.2
        )  # past the moment at which it is looked after: a lower bound, no race
        assert not ends
        gate.set()
        async with asyncio.timeout(PATIENCE):
            while not ends:
                await asyncio.sleep(0.001)
        assert ends[0].outcome is Outcome.DELIVERED
        p.close()

    asyncio.run(scene())


@pytest.mark.parametrize("ran, bound", [(True, True), (False, False)])
def test_the_engine_tells_how_long_a_repeat_may_leave(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, ran: bool, bound: bool
) -> None:
    async def scene() -> None:
        platform = Platform()
        platform.port = 9
        platform.host("s1", 9)
        e = Engine(configured(tmp_path, platform, 30 * S))
        calls: list[OutboundCall] = []
        monkeypatch.setattr(e.pool, "start", calls.append)
        now = e.clock()
        m = AcceptedMessage("m", "order", 7, now + 50 * S, "key-m", "acme", b"")
        e.store.append_message(m)
        e.store.append_attempt(m, 0, now, "s1")
        e.store.append_outcome(m, 0, ran)
        e.post(
            MessageRestored(
                "m",
                7,
                "order",
                m.deadline_us,
                attempts=1,
                executed_at_us=m.executed_at_us,
                executed_on=e.endpoint_ids["s1"],
            )
        )
        e.run_round()
        (item,) = calls[0].items
        assert item.send_before_us == (now + 30 * S - TRANSIT_SLACK_US if bound else 0)
        e.store.close()

    asyncio.run(scene())
