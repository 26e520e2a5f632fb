"""A keyed message that may have run is sent again only while the idempotency window of
its first call certainly lasts.
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
from rainfall.dispatch.idempotency import MAX_SEND_DELAY_US
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
from tests.journal.test_recovery import accepted_message, open_store
from tests.support.event_scripts import (
    MS,
    S,
    attempt_finished,
    finals,
    message_received,
    send_actions,
    settings,
    started_dispatcher,
)
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    SETTINGS,
    Answer,
    Peer,
    Platform,
    answer_in_turn,
)
from tests.support.memory_disk import Disk

REJECTED, FAILED, TIMED_OUT = Outcome.REJECTED, Outcome.FAILED, Outcome.TIMED_OUT
ONE_ENDPOINT = (EndpointEntry(1, 10, "north", "plain"),)
WINDOW = 1 * S


def short_window_settings(
    window: int = WINDOW, scope: IdempotencyScope = IdempotencyScope.ALL
) -> dict[str, object]:
    """Settings with one keyed class whose window is no longer than the shortest
    Retry-After for a client.
    """
    return {
        "classes": (
            MessageClass("keyed", 2 * S, 20 * S, Idempotency.WITH_KEY, scope, window),
            MessageClass("safe", 2 * S, 20 * S),
        )
    }


def fail_first_call(
    dispatcher: Dispatcher, ended_at: int, outcome: Outcome = FAILED
) -> list[Action]:
    """Send a keyed message at 0 and end its call with `outcome`; the actions then."""
    send = send_actions(
        dispatcher.handle(
            0, [message_received("m", class_name="keyed", deadline_us=20 * S)]
        )
    )[0]
    # Inconclusive, so that no outage delays a retry.
    return dispatcher.handle(
        ended_at,
        [attempt_finished(send, outcome, duration_us=ended_at, inconclusive=True)],
    )


# Decisions


@pytest.mark.parametrize(
    "ended_at, retried",
    [
        (300 * MS, True),
        (WINDOW - MAX_SEND_DELAY_US - 1, True),
        (WINDOW - MAX_SEND_DELAY_US, False),
        (WINDOW, False),
    ],
)
@pytest.mark.parametrize(
    "how", [FAILED, TIMED_OUT, Outcome.RESET, Outcome.UNREADABLE, Outcome.CANCELED]
)
def test_retry_is_sent_only_with_transit_time_left_in_the_window(
    ended_at: int, retried: bool, how: Outcome
) -> None:
    dispatcher = started_dispatcher(ONE_ENDPOINT, **short_window_settings())
    actions = fail_first_call(dispatcher, ended_at, how)
    assert bool(send_actions(actions)) is retried
    assert finals(actions) == ([] if retried else [FailMessage("m")])


def test_window_runs_from_the_first_call_that_may_have_run() -> None:
    dispatcher = started_dispatcher(ONE_ENDPOINT, **short_window_settings())
    first = send_actions(
        dispatcher.handle(
            0, [message_received("m", class_name="keyed", deadline_us=20 * S)]
        )
    )[0]
    # The first call was never executed.
    second = send_actions(
        dispatcher.handle(
            400 * MS,
            [attempt_finished(first, Outcome.NO_CONNECTION, inconclusive=True)],
        )
    )[0]
    # The second, sent at 0.4 s, may have been: the window runs from there.
    third = send_actions(
        dispatcher.handle(
            800 * MS, [attempt_finished(second, FAILED, 1, inconclusive=True)]
        )
    )
    assert third
    assert not finals(dispatcher.handle(1300 * MS, [TimerExpired("look")]))
    # A window of the third call would last until 1.8 s.
    actions = dispatcher.handle(
        1350 * MS, [attempt_finished(third[0], FAILED, 2, inconclusive=True)]
    )
    assert not send_actions(actions) and finals(actions) == [FailMessage("m")]


def test_keyed_message_past_its_window_is_failed_and_not_rejected() -> None:
    """After a rejection the client would send it under a new id, and it would run a
    second time.
    """
    dispatcher = started_dispatcher(ONE_ENDPOINT, **short_window_settings())
    send = send_actions(
        dispatcher.handle(
            0, [message_received("m", class_name="keyed", deadline_us=20 * S)]
        )
    )[0]
    # No endpoint is left for a retry.
    dispatcher.handle(
        100 * MS,
        [
            attempt_finished(send, FAILED),
            EndpointListChanged(EndpointListKind.SNAPSHOT, ()),
        ],
    )
    final_answers = [
        answer
        for now in range(120 * MS, 3 * S, 20 * MS)
        for answer in finals(dispatcher.handle(now, [TimerExpired("look")]))
    ]
    assert final_answers == [FailMessage("m")]


@pytest.mark.parametrize(
    "window, answer_type",
    [
        (MIN_RETRY_AFTER_US, FailMessage),
        (MIN_RETRY_AFTER_US + MAX_SEND_DELAY_US + 300 * MS, FailMessage),
        (10 * S, RejectMessage),
    ],
)
def test_message_is_rejected_only_if_the_client_returns_in_the_window(
    window: int, answer_type: type
) -> None:
    """A message whose attempts were used up early may be rejected only where the client
    sends it again within the window.
    """
    dispatcher = started_dispatcher(
        ONE_ENDPOINT, max_attempts=1, **short_window_settings(window)
    )
    assert [
        type(answer) for answer in finals(fail_first_call(dispatcher, 300 * MS))
    ] == [answer_type]


@pytest.mark.parametrize("scope", [IdempotencyScope.ZONE, IdempotencyScope.ENDPOINT])
def test_message_with_a_scoped_key_is_failed_once_it_may_have_run(
    scope: IdempotencyScope,
) -> None:
    dispatcher = started_dispatcher(
        ONE_ENDPOINT, max_attempts=1, **short_window_settings(10 * S, scope)
    )
    assert finals(fail_first_call(dispatcher, 300 * MS)) == [FailMessage("m")]


# Restarts and handovers


@pytest.mark.parametrize(
    "executed_offset, retried",
    [
        (-(WINDOW - MAX_SEND_DELAY_US) + 1, True),
        (-(WINDOW - MAX_SEND_DELAY_US), False),
        (-WINDOW, False),
        (-3 * S, False),
    ],
)
def test_window_after_a_restart_runs_from_the_first_call_before_it(
    executed_offset: int, retried: bool
) -> None:
    now = 50 * S
    dispatcher = Dispatcher(settings(**short_window_settings()), 7, now)
    actions = dispatcher.handle(
        now,
        [
            EndpointListChanged(EndpointListKind.SNAPSHOT, ONE_ENDPOINT),
            MessageRestored(
                "m",
                10,
                "keyed",
                now + 15 * S,
                attempts=1,
                executed_at_us=now + executed_offset,
                executed_on=1,
                interrupted=True,
            ),
        ],
    )
    assert bool(send_actions(actions)) is retried and finals(actions) == (
        [] if retried else [FailMessage("m")]
    )


@pytest.mark.parametrize("ended_at, retried", [(600 * MS, True), (WINDOW, False)])
def test_call_in_flight_at_a_handover_keeps_its_send_time(
    ended_at: int, retried: bool
) -> None:
    former = started_dispatcher(ONE_ENDPOINT, **short_window_settings())
    send = send_actions(
        former.handle(
            0, [message_received("m", class_name="keyed", deadline_us=20 * S)]
        )
    )[0]
    snapshot = json.loads(json.dumps(former.snapshot({("m", 0)})))
    successor = Dispatcher(settings(**short_window_settings()), 8, 500 * MS)
    events = [
        EndpointListChanged(EndpointListKind.CACHED, ONE_ENDPOINT),
        MessageRestored("m", 10, "keyed", 20 * S, attempts=1),
        SnapshotRestored(snapshot),
    ]
    # The call is still in flight in the former process.
    assert not send_actions(successor.handle(500 * MS, events))
    actions = successor.handle(
        ended_at, [attempt_finished(send, Outcome.RESET, duration_us=ended_at)]
    )
    assert bool(send_actions(actions)) is retried and finals(actions) == (
        [] if retried else [FailMessage("m")]
    )


def engine_config(folder: Path, platform: Platform, window_us: int) -> Config:
    service_settings = {
        **SETTINGS,
        "services": [
            {**service, "window_us": window_us} for service in SETTINGS["services"]
        ],
    }
    hosts = tuple(parse_endpoint(host) for host in platform.hosts.values())
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
        read_settings(service_settings),
        ("x0", "x1"),
    )


@pytest.mark.parametrize(
    "sent_ago, window, retried", [(S, S, False), (S, 60 * S, True)]
)
def test_retry_after_a_kill_is_sent_only_within_the_journaled_window(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    sent_ago: int,
    window: int,
    retried: bool,
) -> None:
    """After a kill with a call in flight, the message may have run at the send time in
    the journal. The restart reads that time, and the class under which the message was
    accepted, from the journal.
    """
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.ACCEPT_PERIOD_S", 0.0)

    async def run_scenario() -> None:
        platform = Platform()
        await platform.start()
        peer = await Peer(answer_in_turn(OK)).start()
        platform.host("s1", peer.port)
        config = engine_config(tmp_path, platform, window)
        store = MessageStore(tmp_path, 3_000_000)
        store.use_rules(DeliveryRules(6, config.settings.classes))
        engine = Engine(config)  # for its clock
        now = engine.clock()
        engine.store.release()
        message = AcceptedMessage(
            "m", "order", 7, now + 50 * S, "key-m", "acme", b"hello"
        )
        store.append_message(message)
        store.append_attempt(message, 0, now - sent_ago, "s1")
        store.flush()
        store.release()  # as after SIGKILL: neither outcome nor final answer
        engine = Engine(config)
        engine_run = asyncio.create_task(engine.run())
        if retried:
            call = (await peer.wait_for_requests(1))[0]
            assert call.headers["idempotency-key"] == "key-m"
        else:
            assert (await platform.notice("m"))["state"] == "failed"
            assert not peer.requests
        engine.stop()
        async with asyncio.timeout(PATIENCE):
            await engine_run
        assert len(peer.requests) == (1 if retried else 0)

    asyncio.run(run_scenario())


def test_slewed_wall_clock_does_not_shift_times_after_a_restart() -> None:
    """On the same boot the monotonic clock shows how much time has passed. If the wall
    clock were read again after it was slewed back by 0.4 s, a window of 1 s would last
    0.4 s longer.
    """
    disk = Disk()
    store = open_store(disk)
    store.append_message(accepted_message("a"))
    store.append_attempt(store.messages["a"], 0, 5 * S, "s1")
    store.flush()
    assert store.clock is not None
    base_us = store.clock[0]
    for slew_us in (-400 * MS, 400 * MS):
        disk.killed()
        reopened = open_store(disk, base=base_us + slew_us)
        assert (
            reopened.clock is not None
            and reopened.clock[0] == base_us
            and not reopened.report.shifted_us
        )
        assert reopened.messages["a"].in_flight == {0: (5 * S, "s1")}


def test_engine_uses_the_clock_offset_of_its_journal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run_scenario() -> None:
        platform = Platform()
        platform.port = 9
        former = Engine(engine_config(tmp_path, platform, S))
        base_us = former.clock.offset_ns // 1000
        former.store.release()

        slewed_clock = Clock()
        slewed_clock.offset_ns = former.clock.offset_ns - 400 * MS * 1000
        monkeypatch.setattr(
            "rainfall.forwarder.engine.engine.Clock", lambda: slewed_clock
        )
        restarted = Engine(engine_config(tmp_path, platform, S))
        assert restarted.clock.offset_ns // 1000 == base_us
        restarted.store.release()

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    "window, earliest, latest",
    [(60 * S, 600 * MS, 1600 * MS), (500 * MS, 2 * S, 20 * S)],
)
def test_stalled_call_past_its_window_is_canceled_after_its_objective(
    window: int, earliest: int, latest: int
) -> None:
    """If it were canceled as soon as later calls are answered, the message could not be
    sent again: its latency objective has to pass first.
    """
    dispatcher = started_dispatcher(
        ONE_ENDPOINT, allow_cancel=True, **short_window_settings(window)
    )
    # The concurrency window grows to two calls.
    dispatcher.handle(
        MS,
        [
            attempt_finished(
                send_actions(dispatcher.handle(0, [message_received("first")]))[0],
                Outcome.DELIVERED,
            )
        ],
    )
    assert (
        send_actions(
            dispatcher.handle(
                2 * MS, [message_received("m", class_name="keyed", deadline_us=60 * S)]
            )
        )[0].message_id
        == "m"
    )
    now, cancels = 0, []
    while not cancels and now < 30 * S:
        now += 100 * MS
        actions = dispatcher.handle(
            now, [message_received(f"m{now}", deadline_us=60 * S)]
        )
        outcomes = [
            attempt_finished(send, Outcome.DELIVERED, duration_us=50 * MS)
            for send in send_actions(actions)
        ]
        actions += dispatcher.handle(now + 50 * MS, outcomes)
        cancels = [action for action in actions if isinstance(action, CancelAttempt)]
    assert cancels == [CancelAttempt("m", 0)] and earliest <= now <= latest


@pytest.mark.parametrize("window, until_deadline", [(S, True), (60 * S, False)])
def test_call_that_would_outlast_its_window_has_until_the_deadline(
    window: int, until_deadline: bool
) -> None:
    """After a timeout at its latency objective of 2 s the message could not be sent
    again, and would fail for that reason alone.
    """
    dispatcher = started_dispatcher(ONE_ENDPOINT, **short_window_settings(window))
    send = send_actions(
        dispatcher.handle(
            0, [message_received("m", class_name="keyed", deadline_us=20 * S)]
        )
    )[0]
    assert (send.timeout_us == 20 * S) is until_deadline and send.timeout_us >= 2 * S


def test_messages_awaited_until_the_deadline_have_calls_of_their_own(
    tmp_path: Path,
) -> None:
    """A call times out as a whole: the shortest timeout in it would end them all."""

    async def run_scenario() -> None:
        platform = Platform()
        platform.port = 9
        platform.host("s1", 9)
        engine = Engine(engine_config(tmp_path, platform, S))
        engine.batch_sizes["plain"] = 20
        calls: list[CloseIdleConnections | OutboundCall | CancelAttempt] = []
        open_calls: dict[tuple[int, bool], OutboundCall] = {}
        for message_id, class_name, timeout_us in (
            ("a", "status", 2 * S),
            ("b", "order", 50 * S),
            ("c", "order", 2 * S),
            ("d", "pay", 50 * S),
            ("e", "status", 50 * S),
        ):
            engine.store.append_message(
                AcceptedMessage(message_id, class_name, 7, 50 * S, None, None, b"")
            )
            engine.add_to_call(
                SendMessage(message_id, 1, timeout_us), 0, open_calls, calls
            )
        outbound_calls = [call for call in calls if isinstance(call, OutboundCall)]
        assert [[item.id for item in call.items] for call in outbound_calls] == [
            ["a", "c", "e"],
            ["b", "d"],
        ]
        assert [
            min(item.timeout_at_us for item in call.items) for call in outbound_calls
        ] == [2 * S, 50 * S]
        engine.store.close()

    asyncio.run(run_scenario())


# Outbound calls


class ManualClock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now = 10 * S

    def __call__(self) -> int:
        return self.now


def retry_call(
    clock: ManualClock, window_us: int, *, with_other_message: bool = False
) -> OutboundCall:
    items = [
        CallItem(
            "m", 1, "key-m", b"x", clock() + 60 * S, send_before_us=clock() + window_us
        )
    ]
    if with_other_message:
        items.append(CallItem("n", 0, "key-n", b"y", clock() + 60 * S))
    return OutboundCall(1, (7, -1), clock(), items)


@pytest.mark.parametrize("beside", [False, True])
def test_retry_whose_connection_opens_after_the_window_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, beside: bool
) -> None:
    """The retry was decided within the window, but its connection opens only after the
    end of it. Another message in the same call is still sent.
    """

    async def run_scenario() -> None:
        finished: list[AttemptFinished] = []
        peer = await Peer(answer_in_turn(OK)).start()
        clock, connect_allowed = ManualClock(), asyncio.Event()
        pool = ConnectionPool(clock, finished.append, (), 60 * S, 1_500 * MS, 10)
        pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def delayed_create_connection(*args: object, **options: object) -> object:
            await connect_allowed.wait()
            return await create_connection(*args, **options)  # type: ignore[arg-type]

        monkeypatch.setattr(loop, "create_connection", delayed_create_connection)
        pool.start(retry_call(clock, S, with_other_message=beside))
        await asyncio.sleep(0)
        clock.now += S
        connect_allowed.set()
        async with asyncio.timeout(PATIENCE):
            while len(finished) < 1 + beside:
                await asyncio.sleep(0)
        retry = next(event for event in finished if event.message_id == "m")
        assert retry.outcome is Outcome.NOT_SENT
        assert [request.headers["x-correlation-id"] for request in peer.requests] == [
            "n"
        ] * beside
        assert pool.in_flight == 0 and not pool.calls
        pool.close()

    asyncio.run(run_scenario())


def test_retry_delayed_by_its_permit_past_the_window_is_not_sent() -> None:
    async def run_scenario() -> None:
        finished: list[AttemptFinished] = []
        peer = await Peer(answer_in_turn(OK)).start()
        clock = ManualClock()
        pool = ConnectionPool(clock, finished.append, (), 60 * S, 1_500 * MS, 10)
        pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        permit_times: list[int] = []

        def acquire_permit(call: OutboundCall) -> int:
            permit_times.append(clock.now)
            clock.now += S  # the window ends while the call waits for its permit
            return 1_000 if len(permit_times) == 1 else 0

        pool.acquire_permit = acquire_permit
        pool.start(retry_call(clock, S))
        async with asyncio.timeout(PATIENCE):
            while not finished:
                await asyncio.sleep(0.001)
        assert (
            finished[0].outcome is Outcome.NOT_SENT
            and not peer.requests
            and len(permit_times) == 1
        )
        pool.close()

    asyncio.run(run_scenario())


def test_retry_sent_in_the_window_is_awaited_past_its_end() -> None:
    async def run_scenario() -> None:
        finished: list[AttemptFinished] = []
        clock, answer_allowed = ManualClock(), asyncio.Event()

        async def answer_late(request: object) -> Answer:
            await answer_allowed.wait()
            return OK

        peer = await Peer(answer_late).start()
        pool = ConnectionPool(clock, finished.append, (), 60 * S, 1_500 * MS, 10)
        pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        pool.start(retry_call(clock, 20 * MS))
        await peer.wait_for_requests(1)
        clock.now += S
        # Past the time at which the pool checks the call; a lower bound, so no race.
        await asyncio.sleep(0.2)
        assert not finished
        answer_allowed.set()
        async with asyncio.timeout(PATIENCE):
            while not finished:
                await asyncio.sleep(0.001)
        assert finished[0].outcome is Outcome.DELIVERED
        pool.close()

    asyncio.run(run_scenario())


@pytest.mark.parametrize("may_have_run, limited", [(True, True), (False, False)])
def test_engine_limits_the_send_time_of_a_retry_that_may_have_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, may_have_run: bool, limited: bool
) -> None:
    async def run_scenario() -> None:
        platform = Platform()
        platform.port = 9
        platform.host("s1", 9)
        engine = Engine(engine_config(tmp_path, platform, 30 * S))
        calls: list[OutboundCall] = []
        monkeypatch.setattr(engine.pool, "start", calls.append)
        now = engine.clock()
        message = AcceptedMessage("m", "order", 7, now + 50 * S, "key-m", "acme", b"")
        engine.store.append_message(message)
        engine.store.append_attempt(message, 0, now, "s1")
        engine.store.append_outcome(message, 0, may_have_run)
        engine.post(
            MessageRestored(
                "m",
                7,
                "order",
                message.deadline_us,
                attempts=1,
                executed_at_us=message.executed_at_us,
                executed_on=engine.endpoint_ids["s1"],
            )
        )
        engine.run_round()
        (item,) = calls[0].items
        assert item.send_before_us == (
            now + 30 * S - MAX_SEND_DELAY_US if limited else 0
        )
        engine.store.close()

    asyncio.run(run_scenario())
