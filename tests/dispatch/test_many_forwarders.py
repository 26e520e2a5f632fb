"""Fleets of many forwarders, each with little traffic: what is divided among them, and
what all of them do at the same time. The fleets run on event scripts.
"""

import random

import pytest

from rainfall.dispatch import (
    Action,
    CloseIdleConnections,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    Event,
    LoadReport,
    LogNote,
    MessageWithdrawn,
    Outcome,
    SendMessage,
    SetTimer,
    TimerExpired,
    expiry,
    release,
)
from rainfall.dispatch.latency import expected_latency
from rainfall.dispatch.queues import Message
from rainfall.dispatch.state import DispatcherState
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
# Calls that endpoint 1 bears in an overload window right after an outage: 10 calls a
# second x 0.2 (cold capacity) x 2 (overload factor) x 1.5 s.
COLD_CALLS = 6.0
WEIGHTED_ENDPOINT = (EndpointEntry(1, 10, "north", "plain", weight=10.0),)


def make_fleet(forwarder_count: int, **changes: object) -> list[Dispatcher]:
    base = {
        "forwarder_count": forwarder_count,
        "endpoint_weights_known": True,
        "max_in_flight": 3,
        "max_attempts": 10**6,
    }
    fleet_settings = settings(**base | changes)
    dispatchers = [
        Dispatcher(fleet_settings, seed, 0) for seed in range(forwarder_count)
    ]
    for dispatcher in dispatchers:
        dispatcher.handle(
            0, [EndpointListChanged(EndpointListKind.CACHED, WEIGHTED_ENDPOINT)]
        )
    return dispatchers


def call_times_while_failing(
    forwarder_count: int, outcome: Outcome, until: int, **outcome_fields: object
) -> list[int]:
    """The send times of all calls while every call ends after 5 ms with `outcome`.

    Each forwarder always holds three messages.
    """
    call_times: list[int] = []
    for index, dispatcher in enumerate(make_fleet(forwarder_count)):
        start = index * 7 * MS % (2 * S)
        actions = dispatcher.handle(
            start,
            [message_received(f"m{number}", deadline_us=60 * S) for number in range(3)],
        )
        attempts: dict[str, int] = {}
        now = start
        while now < until:
            events: list[Event] = []
            timer_at = until
            for action in actions:
                if isinstance(action, SendMessage):
                    call_times.append(now)
                    number = attempts.get(action.message_id, 0)
                    attempts[action.message_id] = number + 1
                    events.append(
                        attempt_finished(
                            action, outcome, number, 5 * MS, **outcome_fields
                        )
                    )
                elif isinstance(action, SetTimer):
                    timer_at = now + action.delay_us
            now = now + 5 * MS if events else max(now + 5 * MS, timer_at)
            actions = dispatcher.handle(now, [*events, TimerExpired("look")])
    return sorted(call_times)


def count_delivered_calls(
    forwarder_count: int, limit_per_s: int, until: int, load_factor: float = 4.0
) -> int:
    """The number of calls that an endpoint with a rate limit accepts until a time.

    Rejected calls count against the limit. Messages arrive at `load_factor` times the
    limit.
    """
    rng = random.Random(1)
    arrivals_per_step = load_factor * limit_per_s * 20 * MS / S / forwarder_count
    forwarders = make_fleet(forwarder_count)
    recent_calls: list[int] = []
    pending: list[list[Event]] = [[] for _ in forwarders]
    attempts: dict[str, int] = {}
    delivered = 0
    for now in range(0, until, 20 * MS):
        for index, dispatcher in enumerate(forwarders):
            events = [TimerExpired("look"), *pending[index]]
            if rng.random() < arrivals_per_step:
                events.append(
                    message_received(f"m{index}-{now}", deadline_us=now + 5 * S)
                )
            pending[index] = []
            for send in send_actions(dispatcher.handle(now, events)):
                recent_calls = [at for at in recent_calls if at > now - S] + [now]
                attempt = attempts[send.message_id] = (
                    attempts.get(send.message_id, -1) + 1
                )
                delivered += len(recent_calls) <= limit_per_s
                pending[index].append(
                    attempt_finished(
                        send,
                        DELIVERED if len(recent_calls) <= limit_per_s else REJECTED,
                        attempt,
                        20 * MS,
                    )
                )
    return delivered


def max_calls_in_window(call_times: list[int], start: int, length: int) -> int:
    """The most calls in any window of `length` that begins at or after `start`."""
    calls = [window_start for window_start in call_times if window_start >= start]
    return max(
        (
            sum(window_start <= call < window_start + length for call in calls)
            for window_start in calls
        ),
        default=0,
    )


@pytest.mark.parametrize("number", [1, 3, 60, 300])
@pytest.mark.parametrize("outcome", [FAILED, Outcome.NO_CONNECTION, Outcome.RESET])
def test_cold_budget_holds_for_all_forwarders_together(
    number: int, outcome: Outcome
) -> None:
    """Rule 4: whenever after 12 s the endpoint recovers, the calls of the forwarders
    that have seen the outage stay near its cold budget.
    """
    call_times = call_times_while_failing(number, outcome, 20 * S)
    assert call_times, "no call was sent"
    # Every forwarder holds three messages here, far more than an endpoint's traffic.
    holders = number * 3 / 12
    assert max_calls_in_window(call_times, 12 * S, 1500 * MS) <= max(
        2 * COLD_CALLS, holders
    )


@pytest.mark.parametrize(
    ("number", "times", "least"),
    [(4, 4.0, 0.4), (40, 1.2, 0.56), (40, 4.0, 0.5), (80, 1.2, 0.5), (80, 4.0, 0.4)],
)
def test_limit_that_counts_rejected_calls_stays_in_use(
    number: int, times: float, least: float
) -> None:
    """Endpoints that count rejected calls delivered nothing for 10 s: all forwarders
    retried after each rejection, and their calls began and grew so fast that those near
    the limit exceeded it.
    """
    assert count_delivered_calls(number, 10, 20 * S, times) >= least * 10 * 20


def test_rejected_forwarders_spread_their_retries() -> None:
    """Endpoints without capacity rejected calls without a Retry-After, and hundreds of
    forwarders retried every one or two seconds (seen in hbe47fd).
    """
    call_times = call_times_while_failing(300, REJECTED, 20 * S)
    assert max_calls_in_window(call_times, 12 * S, 1500 * MS) <= 75


def test_retry_after_does_not_end_for_all_forwarders_at_once() -> None:
    retry_times = []
    for dispatcher in make_fleet(60):
        send = send_actions(
            dispatcher.handle(0, [message_received("a", deadline_us=60 * S)])
        )[0]
        actions = dispatcher.handle(
            5 * MS, [attempt_finished(send, REJECTED, retry_after_us=4 * S)]
        )
        now = 5 * MS
        while not send_actions(actions):
            now += 20 * MS
            actions = dispatcher.handle(now, [TimerExpired("look")])
        retry_times.append(now)
    assert min(retry_times) >= 4005 * MS
    assert max_calls_in_window(retry_times, 0, S) < 30


@pytest.mark.parametrize("number", [1, 3, 60, 300])
def test_share_of_a_reported_limit_allows_a_call_in_time(number: int) -> None:
    """An even share of a limit may be one call a minute: no message may miss its
    deadline for that.
    """
    dispatcher = make_fleet(number, endpoint_weights_known=False)[0]
    report = LoadReport(0.9, 10.0)
    send = send_actions(dispatcher.handle(0, [message_received("a")]))[0]
    dispatcher.handle(100 * MS, [attempt_finished(send, DELIVERED, load_report=report)])
    send = send_actions(dispatcher.handle(200 * MS, [message_received("b")]))[0]
    dispatcher.handle(300 * MS, [attempt_finished(send, DELIVERED, load_report=report)])
    actions, now = (
        dispatcher.handle(400 * MS, [message_received("c", deadline_us=6 * S)]),
        400 * MS,
    )
    while not send_actions(actions) and now < 4 * S:
        now += 20 * MS
        actions = dispatcher.handle(now, [TimerExpired("look")])
    assert send_actions(actions)


@pytest.mark.parametrize("number", [1, 3, 60, 300])
def test_tenant_within_its_quota_goes_first_in_any_fleet(number: int) -> None:
    """With 300 forwarders, a quota of 20 messages a second is one message in 15 s for
    each: all messages used to count as over the quota.
    """
    dispatcher = make_fleet(number, endpoint_weights_known=False)[0]
    first = send_actions(
        dispatcher.handle(0, [message_received("first", tenant="small")])
    )[0]
    dispatcher.handle(
        MS,
        [
            message_received(f"flood{n}", tenant="small", deadline_us=3 * S)
            for n in range(12)
        ],
    )
    dispatcher.handle(
        2 * MS,
        [
            message_received(f"fair{n}", tenant="big", deadline_us=6 * S)
            for n in range(3)
        ],
    )
    in_flight = [first]
    sent_ids: list[str] = []
    now = 100 * MS
    while len(sent_ids) < 15 and now < 2 * S:
        in_flight = send_actions(
            dispatcher.handle(
                now, [attempt_finished(send, DELIVERED) for send in in_flight]
            )
        )
        sent_ids += [send.message_id for send in in_flight]
        now += 20 * MS
    assert max(sent_ids.index(f"fair{n}") for n in range(3)) <= 8


@pytest.mark.parametrize(("number", "closed"), [(2, False), (60, True)])
def test_large_fleet_closes_idle_connections(number: int, closed: bool) -> None:
    """The idle connections of all forwarders used up those that an endpoint accepts,
    and two of three attempts got no connection (seen in d08e7732).
    """
    dispatcher = make_fleet(
        number, idle_connection_us=5 * S, endpoint_weights_known=False
    )[0]
    send = send_actions(dispatcher.handle(0, [message_received("a")]))[0]
    dispatcher.handle(100 * MS, [attempt_finished(send, DELIVERED)])
    send = send_actions(
        dispatcher.handle(3 * S, [message_received("b", deadline_us=9 * S)])
    )[0]
    actions = dispatcher.handle(3100 * MS, [attempt_finished(send, DELIVERED)])
    assert (CloseIdleConnections(1) in actions) is closed


def test_reset_idle_connection_is_no_outage_and_is_not_reused() -> None:
    dispatcher = make_fleet(2, idle_connection_us=5 * S)[0]
    send = send_actions(dispatcher.handle(0, [message_received("a")]))[0]
    dispatcher.handle(100 * MS, [attempt_finished(send, DELIVERED)])
    send = send_actions(
        dispatcher.handle(2 * S, [message_received("b", deadline_us=9 * S)])
    )[0]
    retry_actions = dispatcher.handle(
        2100 * MS, [attempt_finished(send, Outcome.RESET)]
    )
    assert not [action for action in retry_actions if isinstance(action, LogNote)]
    dispatcher.handle(
        2200 * MS,
        [attempt_finished(send_actions(retry_actions)[0], DELIVERED, attempt=1)],
    )
    actions = dispatcher.handle(4 * S, [message_received("c", deadline_us=9 * S)])
    assert actions.index(CloseIdleConnections(1)) < actions.index(
        send_actions(actions)[0]
    )


def test_event_visits_only_messages_of_its_destination(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each event used to scan and sort all waiting messages: full-size runs of a day
    were stopped for their CPU time.
    """
    entries = tuple(EndpointEntry(n, n, "north", "plain") for n in range(2000))
    dispatcher = Dispatcher(settings(max_in_flight=4000), 1, 0)
    dispatcher.handle(0, [EndpointListChanged(EndpointListKind.CACHED, entries)])
    dispatcher.handle(
        0,
        [
            message_received(f"m{n}-{k}", n, deadline_us=60 * S)
            for n in range(2000)
            for k in range(3)
        ],
    )
    visited: list[int] = []
    drop_time = expiry.drop_time

    def counting_drop_time(state: DispatcherState, message: Message) -> int:
        visited.append(message.destination)
        return drop_time(state, message)

    monkeypatch.setattr(expiry, "drop_time", counting_drop_time)
    monkeypatch.setattr(release, "drop_time", counting_drop_time)
    dispatcher.handle(MS, [message_received("new", 7, deadline_us=60 * S)])
    assert set(visited) == {7} and len(visited) < 10


@pytest.mark.parametrize("limit", [0.0, 1e-9, 1e12])
def test_extreme_reported_limits_do_not_stop_calls(limit: float) -> None:
    dispatcher = make_fleet(3)[0]
    send = send_actions(dispatcher.handle(0, [message_received("a")]))[0]
    dispatcher.handle(
        100 * MS,
        [attempt_finished(send, DELIVERED, load_report=LoadReport(0.0, limit))],
    )
    send = send_actions(dispatcher.handle(200 * MS, [message_received("b")]))[0]
    dispatcher.handle(
        300 * MS, [attempt_finished(send, DELIVERED, load_report=LoadReport(0.0, 0.0))]
    )
    actions, now = (
        dispatcher.handle(400 * MS, [message_received("c", deadline_us=6 * S)]),
        400 * MS,
    )
    while not send_actions(actions) and not finals(actions) and now < 7 * S:
        now += 20 * MS
        actions = dispatcher.handle(now, [TimerExpired("look")])
    assert send_actions(actions)


def test_scoped_endpoints_together_leave_a_quarter_of_the_slots() -> None:
    """Each endpoint has a concurrency window of its own: together they must not take
    every slot from other destinations.
    """
    dispatcher = Dispatcher(settings(), 1, 0)
    dispatcher.handle(
        0,
        [
            EndpointListChanged(
                EndpointListKind.CACHED,
                tuple(EndpointEntry(n, 12, "north", "ways") for n in range(4)),
            )
        ],
    )
    in_flight = send_actions(
        dispatcher.handle(
            0, [message_received(f"m{n}", 12, deadline_us=60 * S) for n in range(90)]
        )
    )
    peak = now = 0
    while now < 2 * S:
        now += 100 * MS
        in_flight = in_flight[1:] + send_actions(
            dispatcher.handle(now, [attempt_finished(in_flight[0], DELIVERED)])
        )
        peak = max(peak, len(in_flight))
    assert peak == 6  # three quarters of the 8 calls allowed in flight


def test_timeout_on_an_idle_connection_counts_against_its_endpoint() -> None:
    """The timeout used to count against the connection: more and more connections were
    closed early, and a slow endpoint was never seen to be slow.
    """
    dispatcher = make_fleet(2, idle_connection_us=5 * S)[0]
    send = send_actions(dispatcher.handle(0, [message_received("a")]))[0]
    dispatcher.handle(100 * MS, [attempt_finished(send, DELIVERED)])
    send = send_actions(
        dispatcher.handle(2 * S, [message_received("b", deadline_us=9 * S)])
    )[0]
    dispatcher.handle(
        4 * S,
        [
            attempt_finished(send, Outcome.TIMED_OUT, duration_us=2 * S),
            MessageWithdrawn("b"),
        ],
    )
    assert (
        dispatcher.state.endpoints[1].failure_ratio > 0
        and expected_latency(
            dispatcher.state.endpoints[1].throttle_scope,
            dispatcher.state.classes["safe"],
            4 * S,
        )
        > 400 * MS
    )
    actions = dispatcher.handle(6 * S, [message_received("c", deadline_us=15 * S)])
    assert send_actions(actions) and CloseIdleConnections(1) not in actions


def test_rejections_of_a_paced_endpoint_shrink_its_share_only() -> None:
    """Limits that were lowered for 9 s were taken for outages: each forwarder was then
    in slow start for 11 s.
    """
    dispatcher, now = make_fleet(40)[0], 0
    for number in range(9):
        actions = dispatcher.handle(
            now, [message_received(f"m{number}", deadline_us=now + 60 * S)]
        )
        while not send_actions(actions):
            now += 50 * MS
            actions = dispatcher.handle(now, [TimerExpired("look")])
        send = send_actions(actions)[0]
        dispatcher.handle(
            now,
            [
                attempt_finished(
                    send,
                    REJECTED,
                    dispatcher.state.messages[send.message_id].attempts - 1,
                )
            ],
        )
    assert not dispatcher.in_slow_start(dispatcher.state.endpoints[1])
    assert dispatcher.state.endpoints[1].throttle_scope.even_shares == pytest.approx(
        0.1
    )


def test_recovery_is_dated_before_the_first_successful_call() -> None:
    """Each forwarder calls the endpoint every 10 s. When each counted the warm-up from
    its own first success, the endpoint got half of the calls that it could take.
    """
    dispatcher = make_fleet(40)[0]
    sent = []
    for number, now in enumerate((0, 5 * S)):
        sent += send_actions(
            dispatcher.handle(now, [message_received(f"m{number}", deadline_us=60 * S)])
        )
        dispatcher.handle(
            now + MS,
            [
                attempt_finished(sent[-1], Outcome.NO_CONNECTION),
                MessageWithdrawn(f"m{number}"),
            ],
        )
    assert dispatcher.in_slow_start(dispatcher.state.endpoints[1])
    actions, now = (
        dispatcher.handle(6 * S, [message_received("back", deadline_us=60 * S)]),
        6 * S,
    )
    while not send_actions(actions):
        now += 50 * MS
        actions = dispatcher.handle(now, [TimerExpired("look")])
    dispatcher.handle(now, [attempt_finished(send_actions(actions)[0], DELIVERED)])
    # Half way back to the last failure is too early for a ramp that all forwarders
    # follow: the recovery is dated at most half an overload window back.
    assert (
        now + 5001 * MS
    ) // 2 < now - dispatcher.state.settings.overload_window_us // 2
    assert (
        dispatcher.state.endpoints[1].recovered_at
        == now - dispatcher.state.settings.overload_window_us // 2
    )


def test_endpoints_that_share_a_limit_recover_together() -> None:
    """Each of three endpoints was tried first after its own ramp interval, up to 9 s
    later, while messages were given up.
    """
    dispatcher = make_fleet(40)[0]
    dispatcher.handle(
        0,
        [
            EndpointListChanged(
                EndpointListKind.CACHED,
                tuple(
                    EndpointEntry(number, 10, "north", "plain", weight=30.0)
                    for number in (1, 2)
                ),
            )
        ],
    )
    now = 0
    for number in range(8):
        now += 4 * S
        for send in send_actions(
            dispatcher.handle(
                now, [message_received(f"m{number}", deadline_us=now + 60 * S)]
            )
        ):
            dispatcher.handle(
                now + MS,
                [
                    attempt_finished(send, Outcome.NO_CONNECTION),
                    MessageWithdrawn(send.message_id),
                ],
            )
    assert all(
        dispatcher.in_slow_start(endpoint) and endpoint.recovered_at < 0
        for endpoint in dispatcher.state.endpoints.values()
    )
    dispatcher.handle(now, [message_received("back", deadline_us=now + 60 * S)])
    actions: list[Action] = []
    while not send_actions(actions):
        now += 50 * MS
        actions = dispatcher.handle(now, [TimerExpired("look")])
    dispatcher.handle(now, [attempt_finished(send_actions(actions)[0], DELIVERED)])
    assert all(
        0 <= endpoint.recovered_at <= now
        for endpoint in dispatcher.state.endpoints.values()
    )
    assert not any(
        dispatcher.is_avoided(endpoint) for endpoint in dispatcher.state.endpoints
    )
