"""Races between restarts, final answers, journal records and calls, forced by the tests
rather than left to chance.
"""

from __future__ import annotations

import asyncio
import errno
import itertools
import json
import logging
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from rainfall.dispatch import (
    AttemptFinished,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    Event,
    FailMessage,
    MessageRestored,
    Outcome,
    RejectMessage,
    SendMessage,
    TimerExpired,
)
from rainfall.forwarder.config.loading import (
    Address,
    Config,
    EndpointList,
    parse_endpoint,
)
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.inbound.server import SubmittedMessage
from rainfall.journal.recovery import read_journal
from rainfall.journal.state import AcceptedMessage, JournalState
from rainfall.wirehost import parse_settings as read_settings
from tests.forwarder.test_kills import power_engine
from tests.forwarder.test_parts import make_engine
from tests.support.event_scripts import (
    MS,
    S,
    attempt_finished,
    finals,
    message_received,
    send_actions,
    settings,
)
from tests.support.loopback_peers import (
    PATIENCE,
    SETTINGS,
    Answer,
    Client,
    Peer,
    Platform,
    Request,
    answer_in_turn,
    free_port,
    hang,
)
from tests.support.memory_disk import ManualSyncWorker

OK, FULL = Outcome.DELIVERED, Outcome.REJECTED
ENDPOINT_LIST = (EndpointEntry(1, 10, "north", "plain"),)
MESSAGE_COUNT = 20
Final = RejectMessage | FailMessage


# Messages restored by a restart


def run_until(
    dispatcher: Dispatcher, now: int, open_calls: list[SendMessage], until: int
) -> tuple[list[str], list[Final]]:
    """Runs the dispatcher until `until`; every call is answered after 20 ms.

    Returns the ids of the sent messages and the final actions, each in order.
    """
    sent_ids: list[str] = [send.message_id for send in open_calls]
    final_actions: list[Final] = []
    while now < until:
        now += 20 * MS
        last_attempts = {
            send.message_id: dispatcher.state.messages[send.message_id].attempts - 1
            for send in open_calls
        }
        actions = dispatcher.handle(
            now,
            [
                attempt_finished(send, OK, last_attempts[send.message_id], 20 * MS)
                for send in open_calls
            ]
            or [TimerExpired("look")],
        )
        open_calls = send_actions(actions)
        sent_ids += [send.message_id for send in open_calls]
        final_actions += finals(actions)
    return sent_ids, final_actions


@pytest.mark.parametrize("balancers", [2, 300])
def test_restored_unattempted_messages_are_sent_despite_urgent_new_ones(
    balancers: int,
) -> None:
    """Guards against dropping restored messages under overload: the restart made them
    late, and they were given up unattempted with over half of their time left.
    """
    now = 50 * S
    dispatcher = Dispatcher(settings(forwarder_count=balancers), 7, now)
    restored = [
        MessageRestored(f"old{n}", 10, "safe", now + 3200 * MS)
        for n in range(MESSAGE_COUNT)
    ]  # 2.8 of 6 s have passed
    first_sends = send_actions(
        dispatcher.handle(
            now,
            [EndpointListChanged(EndpointListKind.CACHED, ENDPOINT_LIST), *restored],
        )
    )
    dispatcher.handle(
        now + 20 * MS, [attempt_finished(first_sends[0], FULL, retry_after_us=900 * MS)]
    )
    fresh = [
        message_received(f"new{n}", deadline_us=now + 5200 * MS) for n in range(4)
    ]  # close to their latency target of 2 s
    assert not finals(dispatcher.handle(now + 40 * MS, fresh))
    sent_ids, final_actions = run_until(dispatcher, now + 40 * MS, [], now + 3200 * MS)
    assert {first_sends[0].message_id, *sent_ids} == {
        event.message_id for event in (*restored, *fresh)
    }
    assert all(
        action.message_id == first_sends[0].message_id for action in final_actions
    )  # this message was called once


def test_restored_attempted_messages_are_dropped_under_overload() -> None:
    now = 50 * S
    dispatcher = Dispatcher(settings(), 7, now)
    restored = [
        MessageRestored(f"old{n}", 10, "safe", now + 3200 * MS, attempts=1)
        for n in range(MESSAGE_COUNT)
    ]
    first_sends = send_actions(
        dispatcher.handle(
            now,
            [EndpointListChanged(EndpointListKind.CACHED, ENDPOINT_LIST), *restored],
        )
    )
    dispatcher.handle(
        now + 20 * MS, [attempt_finished(first_sends[0], FULL, 1, retry_after_us=2 * S)]
    )
    dispatcher.handle(
        now + 40 * MS,
        [message_received(f"new{n}", deadline_us=now + 5200 * MS) for n in range(4)],
    )
    _, final_actions = run_until(dispatcher, now + 40 * MS, [], now + 1500 * MS)
    assert {(type(action), action.reason) for action in final_actions} == {
        (RejectMessage, "makes way for fresh ones")
    }
    assert len(final_actions) == MESSAGE_COUNT


def test_restored_messages_do_not_count_as_burst_over_tenant_quota() -> None:
    """Guards against counting restored messages as one burst. They had arrived over
    seconds; as a burst they went behind all others and were given up unattempted.
    """
    now = 50 * S
    dispatcher = Dispatcher(settings(forwarder_count=1), 7, now)
    restored = [
        MessageRestored(f"old{n}", 10, "safe", now + 2 * S, tenant="small")
        for n in range(MESSAGE_COUNT)
    ]
    first_sends = send_actions(
        dispatcher.handle(
            now,
            [EndpointListChanged(EndpointListKind.CACHED, ENDPOINT_LIST), *restored],
        )
    )
    assert not any(message.over_quota for message in dispatcher.state.messages.values())
    later = [
        message_received(f"new{n}", deadline_us=now + 6 * S, tenant="big")
        for n in range(MESSAGE_COUNT)
    ]
    actions = dispatcher.handle(
        now + 20 * MS,
        [attempt_finished(first_sends[0], OK, duration_us=20 * MS), *later],
    )
    sent_ids, final_actions = run_until(
        dispatcher, now + 20 * MS, send_actions(actions), now + 2 * S
    )
    first_ids = [first_sends[0].message_id, *sent_ids][:MESSAGE_COUNT]
    assert not final_actions and sorted(first_ids) == sorted(
        message.message_id for message in restored
    )
    later_actions = dispatcher.handle(
        now + 2 * S,
        [
            message_received(f"more{n}", 99, deadline_us=now + 9 * S, tenant="small")
            for n in range(MESSAGE_COUNT)
        ],
    )
    assert not finals(later_actions) and any(
        message.over_quota for message in dispatcher.state.messages.values()
    )  # messages that arrive now count as a burst


# The engine in this process, over real sockets


class Site:
    """Two destinations, a discovery agent, and one engine that the test can kill at any
    point.
    """

    def __init__(
        self, folder: Path, power: bool = False, **class_changes: object
    ) -> None:
        self.folder, self.power, self.port = folder, power, free_port()
        self.platform, self.peers = (
            Platform(),
            [Peer(hang), Peer(answer_in_turn(Answer(200)))],
        )
        classes = [{**service, **class_changes} for service in SETTINGS["services"]]
        classes += [{**classes[-1], "name": "single", "by_arrival": True}]
        self.settings = {
            **SETTINGS,
            "services": classes,
            "contract": {**SETTINGS["contract"], "key_rest_us": 200_000},
        }
        self.engine: Engine | None = None

    async def start(self) -> Engine:
        if not self.platform.port:
            await self.platform.start()
            for destination, peer in enumerate(self.peers, 7):
                await peer.start()
                self.platform.host(f"s{destination}", peer.port, destination)
        hosts = tuple(parse_endpoint(host) for host in self.platform.hosts.values())
        addresses = [
            Address("127.0.0.1", port) for port in (self.port, self.platform.port)
        ]
        self.engine = engine = Engine(
            Config(
                "n",
                *addresses,
                self.folder,
                1,
                192,
                256,
                3_000_000,
                EndpointList(1, True, hosts),
                read_settings(self.settings),
                ("x0", "x1"),
                power=self.power,
            )
        )
        self.task = asyncio.create_task(engine.run())
        await self.until(lambda: engine.serving)
        return engine

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not condition():
                await asyncio.sleep(0.002)

    async def kill(self) -> None:
        """Simulates SIGKILL: open calls are cut, and from here on nothing is written to
        the journal or sent.
        """
        engine = self.engine
        assert engine is not None
        engine.state.closed = engine.frozen = True
        engine.store.release()
        self.task.cancel()
        engine.watch.pause()
        engine.notifier.pause()
        engine.pool.close()
        engine.server.listener and engine.server.listener.close()
        for connection in list(engine.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.wait({self.task})

    async def hand_in(self, name: str, cls: str, dest: int = 7, **headers: Any) -> int:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        status, _ = await client.hand_in(name, cls, dest=dest, **headers)
        client.writer.close()
        return status

    def has_arrived(self, name: str) -> bool:
        return any(
            request.headers["x-correlation-id"] == name
            for peer in self.peers
            for request in peer.requests
        )

    async def deliver_with_other_key(self, name: str) -> None:
        """Hands in a message of another key and waits until it arrives, by which time
        every message that may be sent earlier has been sent.
        """
        assert await self.hand_in(name, "turns", 8, X_Session_Key=name) == 202
        await self.until(lambda: self.has_arrived(name))

    def expire(self, name: str) -> None:
        """Expires the deadline of the message and the timeout of its call."""
        engine = self.engine
        assert engine is not None
        now = engine.clock()
        engine.dispatcher.state.messages[name].move_deadline(now)
        engine.store.move_deadline(engine.store.messages[name], now)
        for call in [
            open_call
            for (message_id, _), open_call in engine.pool.calls.items()
            if message_id == name
        ]:
            call.open_items[name].timeout_at_us = now - 1
            engine.pool.on_timeout(call)
        engine.post(
            EndpointListChanged(EndpointListKind.CHANGES, ())
        )  # makes the dispatcher check all held messages

    def notified_states(self, name: str) -> list[str]:
        return [
            notice["state"] for notice in self.platform.notices if notice["id"] == name
        ]


def play(scene: Callable[[Site], Awaitable[None]], site: Site) -> None:
    async def run() -> None:
        try:
            await scene(site)
        finally:
            await site.kill()

    asyncio.run(run())


def read_journal_state(folder: Path) -> JournalState:
    state, report = read_journal((folder / "journal").read_bytes())
    assert not report.damaged
    return state


# Journal records precede the actions that depend on them


@pytest.mark.parametrize("power", [False, True])
def test_each_record_is_written_before_the_action_it_covers(
    tmp_path: Path, power: bool
) -> None:
    """A process killed right after an answer, a call or a notification leaves the
    matching record in the journal for the next start.
    """

    async def scene(site: Site) -> None:
        recorded: list[tuple[str, bool]] = []

        async def endpoint(request: Request) -> Answer:
            name = request.headers["x-correlation-id"]
            stored = read_journal_state(tmp_path).messages.get(name)
            recorded.append(("call", stored is not None and bool(stored.in_flight)))
            return Answer(500)

        async def discovery(request: Request) -> Answer | bytes | None:
            if request.path == "/v1/notices":
                notified_ids = [
                    json.loads(line)["id"] for line in request.body.splitlines()
                ]
                pending = read_journal_state(tmp_path).pending_notifications
                recorded.append(
                    ("notice", all(name in pending for name in notified_ids))
                )
            return await site.platform.answer(request)

        site.peers[0].handler, site.platform.handler = endpoint, discovery
        await site.start()
        assert await site.hand_in("m", "pay") == 202
        state = read_journal_state(tmp_path)
        assert (
            "m" in state.messages
            or "m" in state.pending_notifications
            or site.notified_states("m")
        )
        await site.until(lambda: bool(site.notified_states("m")))
        assert site.notified_states("m") == ["failed"] and recorded[0] == ("call", True)
        assert {("notice", True)} == set(recorded[1:])

    play(scene, Site(tmp_path, power))


def test_answer_and_call_wait_for_sync_of_record(tmp_path: Path) -> None:
    """With `power`, neither the 202 nor the call is sent before the sync succeeds."""

    async def scene(site: Site) -> None:
        site_engine = await site.start()
        site_engine.store.log.worker, sync_worker = (
            (lambda job, done: jobs.append((job, done))),
            site_engine.store.log.worker,
        )
        jobs: list[tuple[Callable[[], None], Callable[[OSError | None], None]]] = []
        answer = asyncio.create_task(site.hand_in("m", "pay", 8))
        await site.until(lambda: bool(jobs))
        assert (
            "m" in read_journal_state(tmp_path).messages
            and not answer.done()
            and not site.has_arrived("m")
        )
        site_engine.store.log.worker = sync_worker
        job, done = jobs[0]
        job()
        done(None)
        assert await answer == 202
        await site.until(lambda: site.has_arrived("m"))

    play(scene, Site(tmp_path, power=True))


def test_full_disk_rejects_new_messages_and_keeps_held_ones(
    tmp_path: Path,
) -> None:
    async def scene(site: Site) -> None:
        site_engine = await site.start()
        assert await site.hand_in("held", "turns", X_Session_Key="k") == 202
        await site.until(lambda: site.has_arrived("held"))

        def raise_no_space(fd: int, data: memoryview, at: int) -> int:
            raise OSError(errno.ENOSPC, "no space left")

        site_engine.store.files.write = raise_no_space  # type: ignore[method-assign]
        assert (
            await site.hand_in("more", "status", 8) == 503
        )  # the capacity limits were not reached
        assert site_engine.store.failed and not site.has_arrived("more")
        assert await site.hand_in("other", "pay", 8) == 503 and not site.has_arrived(
            "other"
        )
        await site.kill()
        site_engine = await site.start()
        assert [*site_engine.store.messages] == ["held"] and site_engine.store.messages[
            "held"
        ].executed_at_us >= 0
        site.peers[0].handler = answer_in_turn(Answer(200))
        await site.until(lambda: not site_engine.store.messages)

    play(scene, Site(tmp_path))


# Final answers that race with calls


def test_no_final_answer_while_call_is_open() -> None:
    due = 6 * S
    for cls in ("safe", "keyed", "once"):
        dispatcher = Dispatcher(settings(), 7, 0)
        send = send_actions(
            dispatcher.handle(
                0,
                [
                    EndpointListChanged(EndpointListKind.CACHED, ENDPOINT_LIST),
                    message_received(cls, class_name=cls, deadline_us=due),
                ],
            )
        )[0]
        assert not finals(
            dispatcher.handle(due + S, [TimerExpired("look")])
        )  # the connection pool's timeout ends the call
        assert (
            not finals(
                dispatcher.handle(
                    due + S, [attempt_finished(send, OK, duration_us=6 * S)]
                )
            )
            and cls not in dispatcher.state.messages
        )


def test_delivery_in_the_round_of_its_deadline_counts(tmp_path: Path) -> None:
    """The 200 and the deadline are handled in one round, in either order."""

    async def scene(site: Site) -> None:
        site_engine = await site.start()
        for name, answered_last in (("before", False), ("after", True)):
            assert await site.hand_in(name, "pay", left="50") == 202
            await site.until(lambda name=name: site.has_arrived(name))  # type: ignore[misc]
            message = site_engine.dispatcher.state.messages[name]
            now = site_engine.clock()
            message.deadline = now - 1
            site_engine.store.move_deadline(
                site_engine.store.messages[name], message.deadline
            )
            answered = AttemptFinished(
                name, 0, site_engine.endpoint_ids["s7"], OK, 5, message_closed=True
            )
            site_engine.events.pending_events += (
                [TimerExpired("look"), answered]
                if answered_last
                else [answered, TimerExpired("look")]
            )
            site_engine.run_round()
            assert (
                name not in site_engine.store.messages
                and not site_engine.store.pending_notifications
            )
        assert site_engine.metrics.fulfilled["pay"] == 2 and not site.platform.notices

    play(scene, Site(tmp_path))


@pytest.mark.parametrize(
    "way",
    [
        "delivered",
        "failed",
        "refused",
        "timed out",
        "killed during call",
        "notification pending at kill",
        "notification response lost",
    ],
)
def test_key_is_blocked_until_previous_message_is_finished(
    tmp_path: Path, way: str
) -> None:
    """The second message may be sent once the first is finished. It goes to another
    destination, where nothing else delays it.
    """
    release_response, lose_response = (
        asyncio.Event(),
        [way == "notification response lost"],
    )

    async def endpoint(request: Request) -> Answer | None:
        if way in ("delivered", "killed during call"):
            await release_response.wait()
            return Answer(200)
        if way == "timed out":
            await hang(request)
        if way == "refused":
            return Answer(429, {"X-RateLimit-Wait-Ms": "60000"})
        return Answer(500)

    async def scene(site: Site) -> None:
        async def discovery(request: Request) -> Answer | bytes | None:
            answer = await site.platform.answer(request)
            if (
                request.path == "/v1/notices"
                and lose_response[0]
                and site.platform.notices
            ):
                await release_response.wait()
                lose_response[0] = False
                return None  # the agent stores the notification, but its 204 is lost
            return answer

        site.peers[0].handler, site.platform.handler = endpoint, discovery
        site.platform.accepts = way in (
            "delivered",
            "killed during call",
            "notification response lost",
        )
        await site.start()
        cls = (
            "turns"
            if way in ("refused", "timed out", "killed during call", "delivered")
            else "single"
        )
        assert await site.hand_in("first", cls, X_Session_Key="k") == 202
        assert await site.hand_in("second", "turns", 8, X_Session_Key="k") == 202
        await site.until(lambda: site.has_arrived("first"))
        if way == "killed during call":
            await site.kill()
            await site.start()
            await site.until(
                lambda: (
                    sum(
                        received.headers["x-correlation-id"] == "first"
                        for received in site.peers[0].requests
                    )
                    == 2
                )
            )
        elif way == "notification response lost":
            await site.until(lambda: bool(site.notified_states("first")))
        elif way != "delivered":
            if way in ("refused", "timed out"):
                site.expire("first")
            await site.until(
                lambda: bool(site.engine and site.engine.store.pending_notifications)
            )
        if way == "notification pending at kill":
            await site.kill()
            await site.start()
        await site.deliver_with_other_key("free")
        assert not site.has_arrived("second")
        release_response.set()
        site.platform.accepts = True
        await site.until(lambda: site.has_arrived("second"))
        notification_count = {
            "delivered": 0,
            "killed during call": 0,
            "notification response lost": 2,
        }.get(way, 1)
        state = "returned" if way in ("refused", "timed out") else "failed"
        assert len(site.notified_states("first")) == notification_count and set(
            site.notified_states("first")
        ) <= {state}

    play(scene, Site(tmp_path))


def test_key_backs_off_after_call_interrupted_by_kill(tmp_path: Path) -> None:
    """The cut call may still be running: after the start, the next message of the key
    and a retry of the same message both wait for the key backoff.
    """

    async def scene(site: Site) -> None:
        await site.start()
        assert await site.hand_in("first", "single", X_Session_Key="k") == 202
        assert await site.hand_in("second", "turns", 8, X_Session_Key="k") == 202
        await site.until(lambda: site.has_arrived("first"))
        await site.kill()
        site_engine = await site.start()
        last_round_us = (
            site_engine.events.last_round_us
        )  # earlier rounds were in the old process
        site.engine = site_engine
        sequence = site_engine.dispatcher.state.key_sequences["k"]
        assert sequence.backoff_until >= site_engine.dispatcher.state.now - 10 * S
        await site.until(lambda: site.has_arrived("second"))
        assert (
            site.notified_states("first") == ["failed"]
            and len(site.peers[0].requests) == 1
        )
        assert site_engine.clock() >= sequence.backoff_until and last_round_us > 0

    play(scene, Site(tmp_path))


# Withdrawn messages


def test_message_withdrawn_after_its_final_answer_releases_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a key that stays blocked until the next start. The message is
    given up while its record is being synced, and its client disconnects meanwhile: no
    notification is sent, so the key must not wait for one.
    """
    sync_jobs = ManualSyncWorker()

    async def scene() -> None:
        engine_under_test = power_engine(tmp_path, sync_jobs, monkeypatch)
        while sync_jobs.work():
            pass
        engine_under_test.known_destinations.add(7)  # a destination without endpoints
        first_client, second_client = RecordingClient(), RecordingClient()
        engine_under_test.submit(
            SubmittedMessage(
                "first",
                "turns",
                7,
                engine_under_test.clock() + 10**7,
                None,
                "k",
                "acme",
                False,
                b"",
            ),
            first_client,
        )
        engine_under_test.run_round()  # accepted; the record is not synced yet
        engine_under_test.dispatcher.state.messages["first"].move_deadline(
            engine_under_test.clock()
        )
        engine_under_test.post(
            EndpointListChanged(EndpointListKind.CHANGES, ())
        )  # makes the dispatcher check all held messages
        engine_under_test.run_round()
        assert (
            "first" in engine_under_test.store.pending_notifications
            and first_client.on_disconnect is not None
        )
        first_client.on_disconnect()
        while sync_jobs.work():
            pass
        engine_under_test.run_round()
        assert (
            not engine_under_test.store.pending_notifications
            and not first_client.statuses
            and not engine_under_test.dispatcher.state.pending_notifications
        )
        engine_under_test.submit(
            SubmittedMessage(
                "second",
                "turns",
                7,
                engine_under_test.clock() + 10**7,
                None,
                "k",
                "acme",
                False,
                b"",
            ),
            second_client,
        )
        engine_under_test.run_round()
        assert not engine_under_test.dispatcher.state.key_sequences[
            "k"
        ].pending_notifications
        while sync_jobs.work():
            pass
        engine_under_test.store.release()

    asyncio.run(scene())


class RecordingClient:
    def __init__(self) -> None:
        self.on_disconnect: Callable[[], None] | None = None
        self.statuses: list[int] = []

    def answer(self, status: int, text: str = "", **headers: str) -> None:
        self.statuses.append(int(status))


def test_retries_back_off_while_journal_is_full(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against retrying at a constant rate while the journal is full. A call that
    is not sent because its record cannot be written counts as an attempt: all attempts
    were used up in 1.5 s, and messages were given up without any call.
    """

    async def scene() -> None:
        engine_under_test = make_engine(tmp_path)
        engine_under_test.run_round()
        message = AcceptedMessage(
            "m", "pay", 7, engine_under_test.clock() + 40 * S, None, "acme", b""
        )
        engine_under_test.store.append_message(message)
        engine_under_test.store.flush()
        engine_under_test.post(MessageRestored("m", 7, "pay", message.deadline_us))
        engine_under_test.store.log.max_bytes = (
            engine_under_test.store.size
        )  # the journal is full
        delays_s: list[float] = []
        posted: list[Event] = []
        loop = asyncio.get_running_loop()

        def record_delay(delay: float, call: Callable[..., None], *args: Any) -> Any:
            if args and isinstance(args[0], AttemptFinished):
                delays_s.append(delay)
                posted.append(args[0])

        for _ in range(6):
            with monkeypatch.context() as patched:
                patched.setattr(loop, "call_later", record_delay)
                engine_under_test.run_round()
            engine_under_test.events.pending_events += posted
            posted.clear()
        assert len(delays_s) == 6 and sum(delays_s[:5]) >= 7
        assert all(earlier < later for earlier, later in itertools.pairwise(delays_s))
        engine_under_test.store.log.max_bytes = 3_000_000
        engine_under_test.store.close()

    asyncio.run(scene())


def test_journal_failure_backoff_ends_before_deadline(tmp_path: Path) -> None:
    async def scene() -> None:
        engine_under_test = make_engine(tmp_path)
        message = AcceptedMessage(
            "m",
            "pay",
            7,
            engine_under_test.clock() + 3 * S,
            None,
            "acme",
            b"",
            attempts=5,
        )
        assert (
            0.25
            <= engine_under_test.call_dispatch.journal_failure_backoff_s(message, 5)
            <= 3
        )
        message.deadline_us = engine_under_test.clock() - 1
        assert (
            engine_under_test.call_dispatch.journal_failure_backoff_s(message, 5) == 0
        )
        engine_under_test.store.close()

    asyncio.run(scene())


# Messages given up unattempted


def test_unattempted_failures_are_counted_and_logged_with_cause(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "rainfall.forwarder.engine.periodic_tasks.SUMMARY_INTERVAL_S", 3600.0
    )  # each summary line resets the counts

    async def scene(site: Site) -> None:
        site.peers[0].handler = answer_in_turn(
            Answer(429, {"X-RateLimit-Wait-Ms": "60000"})
        )
        site_engine = await site.start()
        with caplog.at_level(logging.INFO, "rainfall.trace"):
            assert await site.hand_in("tried", "status", left="50") == 202
            await site.until(lambda: site.has_arrived("tried"))
            assert await site.hand_in("untried", "status") == 202
            site.expire("untried")
            await site.until(lambda: bool(site.notified_states("untried")))
        records = [
            record
            for record in caplog.records
            if record.getMessage() == "given up untried"
        ]
        assert [
            (record.__dict__["message_id"], record.__dict__["cause"])
            for record in records
        ] == [("untried", "no call could end in time")]
        assert (
            site_engine.state.event_counts["untried: no call could end in time"] == 1
            and site_engine.state.event_counts["returned"] == 1
        )
        assert (
            site_engine.metrics.throttled["status"] == 1
        )  # the metric still counts unattempted messages

    play(scene, Site(tmp_path))


def test_unsent_attempts_leave_message_unattempted(tmp_path: Path) -> None:
    async def scene() -> None:
        engine_under_test = make_engine(tmp_path)
        for name, outcome in (("a", Outcome.NOT_SENT), ("b", FULL)):
            message = AcceptedMessage(
                name, "status", 7, engine_under_test.clock() + 10 * S, None, None, b""
            )
            engine_under_test.store.append_message(message)
            engine_under_test.store.append_attempt(message, 0, 5, "s1")
            engine_under_test.pending_events.append(
                AttemptFinished(name, 0, 1, outcome, 5)
            )
        engine_under_test.run_round()
        for name in "ab":
            engine_under_test.count_unattempted(
                FailMessage(name, "cause"), engine_under_test.clock()
            )
        assert engine_under_test.state.event_counts["untried: cause"] == 1
        engine_under_test.store.close()

    asyncio.run(scene())


# SIGTERM


@pytest.mark.parametrize(
    "answer, expected_states", [(Answer(200), []), (Answer(500), ["failed"])]
)
def test_response_after_freeze_is_recorded_for_next_start(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    answer: Answer,
    expected_states: list[str],
) -> None:
    """After the freeze no new call is sent, but open calls still finish: a delivery is
    recorded as finished, and a message that may have been executed is failed by the
    next process and not sent again.
    """
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.ACCEPT_PERIOD_S", 0.0)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.FREEZE_AFTER_S", 0.0)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.EXIT_AFTER_S", PATIENCE)

    async def scene(site: Site) -> None:
        gate = asyncio.Event()

        async def endpoint(request: Request) -> Answer:
            await gate.wait()
            return answer

        site.peers[0].handler = endpoint
        site_engine = await site.start()
        assert await site.hand_in("m", "pay") == 202
        await site.until(lambda: site.has_arrived("m"))
        site_engine.stop()
        await site.until(lambda: site_engine.frozen)
        gate.set()
        async with asyncio.timeout(PATIENCE):
            await site.task
        state = read_journal_state(tmp_path)
        assert (
            state.closed_cleanly
            and bool(state.messages) is bool(expected_states)
            and not any(message.in_flight for message in state.messages.values())
        )
        site_engine = await site.start()
        await site.until(
            lambda: (
                site.notified_states("m") == expected_states
                and not site_engine.store.messages
                and not site_engine.store.pending_notifications
            )
        )
        assert len(site.peers[0].requests) == 1

    play(scene, Site(tmp_path))


def test_call_still_connecting_at_exit_is_sent_by_next_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against leaving the attempt open in the journal. It was never sent, but
    counted as possibly executed, so an at-most-once message failed without a call. A
    connection that was established just before the exit was even used.
    """
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.ACCEPT_PERIOD_S", 0.0)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.FREEZE_AFTER_S", 0.0)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.EXIT_AFTER_S", 0.0)

    async def scene(site: Site) -> None:
        site_engine = await site.start()
        loop = asyncio.get_running_loop()
        create_connection, release_dial, dial_started = (
            loop.create_connection,
            asyncio.Event(),
            asyncio.Event(),
        )

        async def delayed_create_connection(
            protocol: Any, host: str, port: int, **options: Any
        ) -> Any:
            if port == site.peers[1].port and not release_dial.is_set():
                dial_started.set()
                await release_dial.wait()
            return await create_connection(protocol, host, port, **options)

        monkeypatch.setattr(loop, "create_connection", delayed_create_connection)
        server_close = site_engine.server.close

        async def close(
            patience_s: float,
        ) -> None:  # the last step of a shutdown
            release_dial.set()
            await asyncio.sleep(
                0.05
            )  # lets the connection come up if it can; nothing is asserted on it
            await server_close(patience_s)

        monkeypatch.setattr(site_engine.server, "close", close)
        assert await site.hand_in("m", "pay", 8) == 202
        await dial_started.wait()
        site_engine.stop()
        async with asyncio.timeout(PATIENCE):
            await site.task
        assert not site.has_arrived("m")
        stored = read_journal_state(tmp_path).messages["m"]
        assert (
            stored.attempts == 1 and not stored.in_flight and stored.executed_at_us < 0
        )
        await site.start()
        await site.until(lambda: site.has_arrived("m"))
        assert not site.notified_states("m") and len(site.peers[1].requests) == 1

    play(scene, Site(tmp_path))


def test_call_whose_record_is_synced_after_shutdown_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    sync_jobs = ManualSyncWorker()

    async def scene() -> None:
        engine_under_test = power_engine(tmp_path, sync_jobs, monkeypatch)
        started: list[object] = []
        monkeypatch.setattr(engine_under_test.pool, "start", started.append)
        engine_under_test.on_endpoint_list(
            EndpointList(
                2,
                True,
                tuple(make_engine(tmp_path / "other").config.known_endpoints.endpoints),
            )
        )
        while sync_jobs.work():
            pass
        client = RecordingClient()
        engine_under_test.submit(
            SubmittedMessage(
                "m",
                "pay",
                7,
                engine_under_test.clock() + 10**7,
                None,
                None,
                "acme",
                False,
                b"",
            ),
            client,
        )
        engine_under_test.run_round()
        engine_under_test.frozen = engine_under_test.state.closed = True
        while sync_jobs.work():
            pass
        assert client.statuses == [202] and not started
        message = engine_under_test.store.messages["m"]
        assert (
            message.attempts == 1
            and not message.in_flight
            and message.executed_at_us < 0
        )
        engine_under_test.store.release()

    asyncio.run(scene())


def test_engine_failed_message_blocks_key_until_notified(
    tmp_path: Path,
) -> None:
    """The engine itself fails a message that is past its deadline without a final
    answer. Guards against a late 200 that then released the key while the notification
    was still being sent.
    """
    release_response = asyncio.Event()

    async def endpoint(request: Request) -> Answer:
        await release_response.wait()
        return Answer(200)

    async def scene(site: Site) -> None:
        site.peers[0].handler = endpoint
        site.platform.accepts = False
        site_engine = await site.start()
        assert await site.hand_in("first", "turns", X_Session_Key="k") == 202
        await site.until(lambda: site.has_arrived("first"))
        site_engine.store.move_deadline(
            site_engine.store.messages["first"], 1
        )  # as if the dispatcher had missed the deadline
        await site.until(lambda: "first" in site_engine.store.pending_notifications)
        assert await site.hand_in("second", "turns", 8, X_Session_Key="k") == 202
        release_response.set()
        await site.until(lambda: not site_engine.pool.in_flight)
        await site.deliver_with_other_key("free")
        assert not site.has_arrived("second")
        await site.until(
            lambda: site_engine.metrics.messages_finished == 2
        )  # the late 200 is ignored
        site.platform.accepts = True
        await site.until(lambda: site.has_arrived("second"))
        assert site.notified_states("first") == ["failed"]

    play(scene, Site(tmp_path))
