"""A restart, an end and a record, each crossing what it can: forced, and not left to
chance.
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
from tests.forwarder.test_parts import engine
from tests.support.event_scripts import MS, S, ask, end, finals, sends, settings
from tests.support.loopback_peers import (
    PATIENCE,
    SETTINGS,
    Answer,
    Client,
    Peer,
    Platform,
    Request,
    always,
    free_port,
    hang,
)
from tests.support.memory_disk import Hands

OK, FULL = Outcome.DELIVERED, Outcome.REJECTED
ONE = (EndpointEntry(1, 10, "north", "plain"),)
MANY = 20
Final = RejectMessage | FailMessage


# What a restart finds untried


def go_on(
    d: Dispatcher, now: int, out: list[SendMessage], until: int
) -> tuple[list[str], list[Final]]:
    """Calls are answered in 20 ms. Returns what was sent and what was given up, in its
    order.
    """
    sent: list[str] = [s.message_id for s in out]
    given: list[Final] = []
    while now < until:
        now += 20 * MS
        last = {s.message_id: d.state.messages[s.message_id].attempts - 1 for s in out}
        actions = d.handle(
            now,
            [end(s, OK, last[s.message_id], 20 * MS) for s in out]
            or [TimerExpired("look")],
        )
        out = sends(actions)
        sent += [s.message_id for s in out]
        given += finals(actions)
    return sent, given


@pytest.mark.parametrize("balancers", [2, 300])
def test_what_a_restart_finds_untried_has_its_call_though_fresh_ones_near_their_aims(
    balancers: int,
) -> None:
    """Late by the restart, it used to make way in a jam with over half of its time
    left: given up untried.
    """
    now = 50 * S
    d = Dispatcher(settings(forwarder_count=balancers), 7, now)
    told = [
        MessageRestored(f"old{n}", 10, "safe", now + 3200 * MS) for n in range(MANY)
    ]  # 2.8 of 6 s are gone
    out = sends(
        d.handle(now, [EndpointListChanged(EndpointListKind.CACHED, ONE), *told])
    )
    d.handle(now + 20 * MS, [end(out[0], FULL, retry_after_us=900 * MS)])
    fresh = [
        ask(f"new{n}", due=now + 5200 * MS) for n in range(4)
    ]  # and near their aim of 2 s
    assert not finals(d.handle(now + 40 * MS, fresh))
    sent, given = go_on(d, now + 40 * MS, [], now + 3200 * MS)
    assert {out[0].message_id, *sent} == {m.message_id for m in (*told, *fresh)}
    assert all(
        a.message_id == out[0].message_id for a in given
    )  # that one had its call


def test_what_was_tried_before_the_restart_makes_way_as_ever() -> None:
    now = 50 * S
    d = Dispatcher(settings(), 7, now)
    told = [
        MessageRestored(f"old{n}", 10, "safe", now + 3200 * MS, attempts=1)
        for n in range(MANY)
    ]
    out = sends(
        d.handle(now, [EndpointListChanged(EndpointListKind.CACHED, ONE), *told])
    )
    d.handle(now + 20 * MS, [end(out[0], FULL, 1, retry_after_us=2 * S)])
    d.handle(now + 40 * MS, [ask(f"new{n}", due=now + 5200 * MS) for n in range(4)])
    _, given = go_on(d, now + 40 * MS, [], now + 1500 * MS)
    assert {(type(a), a.reason) for a in given} == {
        (RejectMessage, "makes way for fresh ones")
    }
    assert len(given) == MANY


def test_what_a_restart_finds_is_not_taken_for_a_burst_beyond_its_tenant_s_share() -> (
    None
):
    """It came over seconds. Counted as come at once, it went behind all others, and was
    given up untried.
    """
    now = 50 * S
    d = Dispatcher(settings(forwarder_count=1), 7, now)
    told = [
        MessageRestored(f"old{n}", 10, "safe", now + 2 * S, tenant="small")
        for n in range(MANY)
    ]
    out = sends(
        d.handle(now, [EndpointListChanged(EndpointListKind.CACHED, ONE), *told])
    )
    assert not any(m.over_quota for m in d.state.messages.values())
    later = [ask(f"new{n}", due=now + 6 * S, tenant="big") for n in range(MANY)]
    actions = d.handle(now + 20 * MS, [end(out[0], OK, took=20 * MS), *later])
    sent, given = go_on(d, now + 20 * MS, sends(actions), now + 2 * S)
    first = [out[0].message_id, *sent][:MANY]
    assert not given and sorted(first) == sorted(m.message_id for m in told)
    spent = d.handle(
        now + 2 * S,
        [ask(f"more{n}", 99, due=now + 9 * S, tenant="small") for n in range(MANY)],
    )
    assert not finals(spent) and any(
        m.over_quota for m in d.state.messages.values()
    )  # what comes now counts


# The engine in this process, over real sockets


class Site:
    """Two destinations, discovery and one engine that can be killed at a moment that a
    test picks.
    """

    def __init__(self, folder: Path, power: bool = False, **first: object) -> None:
        self.folder, self.power, self.port = folder, power, free_port()
        self.platform, self.sides = Platform(), [Peer(hang), Peer(always(Answer(200)))]
        classes = [{**s, **first} for s in SETTINGS["services"]]
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
            for block, peer in enumerate(self.sides, 7):
                await peer.start()
                self.platform.host(f"s{block}", peer.port, block)
        hosts = tuple(parse_endpoint(h) for h in self.platform.hosts.values())
        where = [Address("127.0.0.1", port) for port in (self.port, self.platform.port)]
        self.engine = e = Engine(
            Config(
                "n",
                *where,
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
        self.task = asyncio.create_task(e.run())
        await self.until(lambda: e.serving)
        return e

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test():
                await asyncio.sleep(0.002)

    async def kill(self) -> None:
        """As SIGKILL: what is out is cut, and from here on nothing is written or
        told.
        """
        e = self.engine
        assert e is not None
        e.state.closed = e.frozen = True
        e.store.release()
        self.task.cancel()
        e.watch.pause()
        e.notifier.pause()
        e.pool.close()
        e.server.listener and e.server.listener.close()
        for connection in list(e.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.wait({self.task})

    async def hand_in(self, name: str, cls: str, dest: int = 7, **more: Any) -> int:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        status, _ = await client.hand_in(name, cls, dest=dest, **more)
        client.writer.close()
        return status

    def came(self, name: str) -> bool:
        return any(
            r.headers["x-correlation-id"] == name
            for p in self.sides
            for r in p.requests
        )

    async def passes(self, name: str) -> None:
        """A message of another key went all the way: what could go before it had its
        chance.
        """
        assert await self.hand_in(name, "turns", 8, X_Session_Key=name) == 202
        await self.until(lambda: self.came(name))

    def time_is_up(self, name: str) -> None:
        """The message's deadline is now, and its call's time-out as well."""
        e = self.engine
        assert e is not None
        now = e.clock()
        e.dispatcher.state.messages[name].move_deadline(now)
        e.store.move_deadline(e.store.messages[name], now)
        for call in [c for (message, _), c in e.pool.calls.items() if message == name]:
            call.open_items[name].timeout_at_us = now - 1
            e.pool.on_timeout(call)
        e.post(
            EndpointListChanged(EndpointListKind.CHANGES, ())
        )  # looks at all that is held

    def told(self, name: str) -> list[str]:
        return [n["state"] for n in self.platform.notices if n["id"] == name]


def play(scene: Callable[[Site], Awaitable[None]], site: Site) -> None:
    async def run() -> None:
        try:
            await scene(site)
        finally:
            await site.kill()

    asyncio.run(run())


def on_disk(folder: Path) -> JournalState:
    state, report = read_journal((folder / "journal").read_bytes())
    assert not report.damaged
    return state


# Each record against what it precedes


@pytest.mark.parametrize("power", [False, True])
def test_each_record_is_in_the_file_before_what_it_precedes_leaves(
    tmp_path: Path, power: bool
) -> None:
    """Killed at any moment after an answer, a call or a notice, a start finds what they
    promise.
    """

    async def scene(site: Site) -> None:
        seen: list[tuple[str, bool]] = []

        async def side(request: Request) -> Answer:
            name = request.headers["x-correlation-id"]
            m = on_disk(tmp_path).messages.get(name)
            seen.append(("call", m is not None and bool(m.in_flight)))
            return Answer(500)

        async def discovery(request: Request) -> Answer | bytes | None:
            if request.path == "/v1/notices":
                told = [json.loads(line)["id"] for line in request.body.splitlines()]
                owed = on_disk(tmp_path).pending_notifications
                seen.append(("notice", all(name in owed for name in told)))
            return await site.platform.answer(request)

        site.sides[0].handler, site.platform.handler = side, discovery
        await site.start()
        assert await site.hand_in("m", "pay") == 202
        state = on_disk(tmp_path)
        assert (
            "m" in state.messages
            or "m" in state.pending_notifications
            or site.told("m")
        )
        await site.until(lambda: bool(site.told("m")))
        assert site.told("m") == ["failed"] and seen[0] == ("call", True)
        assert {("notice", True)} == set(seen[1:])

    play(scene, Site(tmp_path, power))


def test_an_answer_whose_record_is_being_synced_has_not_left(tmp_path: Path) -> None:
    """Under `power`: neither the 202 nor the call, until the disk has said yes."""

    async def scene(site: Site) -> None:
        e = await site.start()
        e.store.log.worker, real = (
            (lambda job, done: jobs.append((job, done))),
            e.store.log.worker,
        )
        jobs: list[tuple[Callable[[], None], Callable[[OSError | None], None]]] = []
        answer = asyncio.create_task(site.hand_in("m", "pay", 8))
        await site.until(lambda: bool(jobs))
        assert (
            "m" in on_disk(tmp_path).messages
            and not answer.done()
            and not site.came("m")
        )
        e.store.log.worker = real
        job, done = jobs[0]
        job()
        done(None)
        assert await answer == 202
        await site.until(lambda: site.came("m"))

    play(scene, Site(tmp_path, power=True))


def test_a_disk_that_fills_refuses_what_comes_and_loses_nothing_of_what_it_held(
    tmp_path: Path,
) -> None:
    async def scene(site: Site) -> None:
        e = await site.start()
        assert await site.hand_in("held", "turns", X_Session_Key="k") == 202
        await site.until(lambda: site.came("held"))

        def full(fd: int, data: memoryview, at: int) -> int:
            raise OSError(errno.ENOSPC, "no space left")

        e.store.files.write = full  # type: ignore[method-assign]
        assert (
            await site.hand_in("more", "status", 8) == 503
        )  # there was room at the door
        assert e.store.failed and not site.came("more")
        assert await site.hand_in("other", "pay", 8) == 503 and not site.came("other")
        await site.kill()
        e = await site.start()
        assert [*e.store.messages] == ["held"] and e.store.messages[
            "held"
        ].executed_at_us >= 0
        site.sides[0].handler = always(Answer(200))
        await site.until(lambda: not e.store.messages)

    play(scene, Site(tmp_path))


# What an end crosses


def test_no_end_is_given_while_a_call_is_out_so_none_can_cross_its_200() -> None:
    due = 6 * S
    for cls in ("safe", "keyed", "once"):
        d = Dispatcher(settings(), 7, 0)
        send = sends(
            d.handle(
                0,
                [
                    EndpointListChanged(EndpointListKind.CACHED, ONE),
                    ask(cls, cls=cls, due=due),
                ],
            )
        )[0]
        assert not finals(
            d.handle(due + S, [TimerExpired("look")])
        )  # the pool's own time-out ends it
        assert (
            not finals(d.handle(due + S, [end(send, OK, took=6 * S)]))
            and cls not in d.state.messages
        )


def test_a_delivery_in_the_round_of_its_deadline_is_a_delivery(tmp_path: Path) -> None:
    """The 200 and the time that is up are read in one round, in either order."""

    async def scene(site: Site) -> None:
        e = await site.start()
        for name, late in (("before", False), ("after", True)):
            assert await site.hand_in(name, "pay", left="50") == 202
            await site.until(lambda name=name: site.came(name))  # type: ignore[misc]
            m = e.dispatcher.state.messages[name]
            now = e.clock()
            m.deadline = now - 1
            e.store.move_deadline(e.store.messages[name], m.deadline)
            answered = AttemptFinished(
                name, 0, e.endpoint_ids["s7"], OK, 5, message_closed=True
            )
            e.events.pending_events += (
                [TimerExpired("look"), answered]
                if late
                else [answered, TimerExpired("look")]
            )
            e.run_round()
            assert name not in e.store.messages and not e.store.pending_notifications
        assert e.metrics.fulfilled["pay"] == 2 and not site.platform.notices

    play(scene, Site(tmp_path))


@pytest.mark.parametrize(
    "way",
    [
        "delivered",
        "failed",
        "refused",
        "timed out",
        "cut off",
        "owed at a kill",
        "its 204 lost",
    ],
)
def test_a_key_waits_for_the_end_of_the_one_before_by_whatever_way(
    tmp_path: Path, way: str
) -> None:
    """The second may go as soon as the first is over, and goes to another destination,
    whose way is free.
    """
    gate, lost = asyncio.Event(), [way == "its 204 lost"]

    async def side(request: Request) -> Answer | None:
        if way in ("delivered", "cut off"):
            await gate.wait()
            return Answer(200)
        if way == "timed out":
            await hang(request)
        if way == "refused":
            return Answer(429, {"X-RateLimit-Wait-Ms": "60000"})
        return Answer(500)

    async def scene(site: Site) -> None:
        async def discovery(request: Request) -> Answer | bytes | None:
            answer = await site.platform.answer(request)
            if request.path == "/v1/notices" and lost[0] and site.platform.notices:
                await gate.wait()
                lost[0] = False
                return None  # it has the notice, and its answer is lost
            return answer

        site.sides[0].handler, site.platform.handler = side, discovery
        site.platform.accepts = way in ("delivered", "cut off", "its 204 lost")
        await site.start()
        cls = (
            "turns"
            if way in ("refused", "timed out", "cut off", "delivered")
            else "single"
        )
        assert await site.hand_in("first", cls, X_Session_Key="k") == 202
        assert await site.hand_in("second", "turns", 8, X_Session_Key="k") == 202
        await site.until(lambda: site.came("first"))
        if way == "cut off":
            await site.kill()
            await site.start()
            await site.until(
                lambda: (
                    sum(
                        r.headers["x-correlation-id"] == "first"
                        for r in site.sides[0].requests
                    )
                    == 2
                )
            )
        elif way == "its 204 lost":
            await site.until(lambda: bool(site.told("first")))
        elif way != "delivered":
            if way in ("refused", "timed out"):
                site.time_is_up("first")
            await site.until(
                lambda: bool(site.engine and site.engine.store.pending_notifications)
            )
        if way == "owed at a kill":
            await site.kill()
            await site.start()
        await site.passes("free")
        assert not site.came("second")
        gate.set()
        site.platform.accepts = True
        await site.until(lambda: site.came("second"))
        ends = {"delivered": 0, "cut off": 0, "its 204 lost": 2}.get(way, 1)
        state = "returned" if way in ("refused", "timed out") else "failed"
        assert len(site.told("first")) == ends and set(site.told("first")) <= {state}

    play(scene, Site(tmp_path))


def test_a_key_rests_after_a_call_that_was_cut_by_a_kill(tmp_path: Path) -> None:
    """It may still run: the next of its key leaves a rest later than the start, and the
    same one as well.
    """

    async def scene(site: Site) -> None:
        await site.start()
        assert await site.hand_in("first", "single", X_Session_Key="k") == 202
        assert await site.hand_in("second", "turns", 8, X_Session_Key="k") == 202
        await site.until(lambda: site.came("first"))
        await site.kill()
        e = await site.start()
        began = e.events.last_round_us  # no round of the new process was earlier
        site.engine = e
        line = e.dispatcher.state.key_sequences["k"]
        assert line.backoff_until >= e.dispatcher.state.now - 10 * S
        await site.until(lambda: site.came("second"))
        assert site.told("first") == ["failed"] and len(site.sides[0].requests) == 1
        assert e.clock() >= line.backoff_until and began > 0

    play(scene, Site(tmp_path))


# A message taken back


def test_what_is_taken_back_after_its_end_frees_its_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Given up while its record was synced, and its client gone meanwhile: nobody is
    told of an end, so nothing may go on waiting for that to arrive. Its key used to
    stand still until the next start.
    """
    hands = Hands()

    async def scene() -> None:
        e = power_engine(tmp_path, hands, monkeypatch)
        while hands.work():
            pass
        e.known_destinations.add(7)  # with no endpoint yet
        door, other = Door(), Door()
        e.submit(
            SubmittedMessage(
                "first", "turns", 7, e.clock() + 10**7, None, "k", "acme", False, b""
            ),
            door,
        )
        e.run_round()  # held; its record is on its way to the disk
        e.dispatcher.state.messages["first"].move_deadline(e.clock())
        e.post(
            EndpointListChanged(EndpointListKind.CHANGES, ())
        )  # looks at all that is held
        e.run_round()
        assert (
            "first" in e.store.pending_notifications and door.on_disconnect is not None
        )
        door.on_disconnect()
        while hands.work():
            pass
        e.run_round()
        assert (
            not e.store.pending_notifications
            and not door.said
            and not e.dispatcher.state.pending_notifications
        )
        e.submit(
            SubmittedMessage(
                "second", "turns", 7, e.clock() + 10**7, None, "k", "acme", False, b""
            ),
            other,
        )
        e.run_round()
        assert not e.dispatcher.state.key_sequences["k"].pending_notifications
        while hands.work():
            pass
        e.store.release()

    asyncio.run(scene())


class Door:
    def __init__(self) -> None:
        self.on_disconnect: Callable[[], None] | None = None
        self.said: list[int] = []

    def answer(self, status: int, text: str = "", **headers: str) -> None:
        self.said.append(int(status))


def test_a_disk_that_stays_full_does_not_use_up_attempts_that_make_no_call(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each try that could not leave for want of its record counts as an attempt. At a
    steady pace all were spent in a second and a half, and what had never been called
    was given up.
    """

    async def scene() -> None:
        e = engine(tmp_path)
        e.run_round()
        m = AcceptedMessage("m", "pay", 7, e.clock() + 40 * S, None, "acme", b"")
        e.store.append_message(m)
        e.store.flush()
        e.post(MessageRestored("m", 7, "pay", m.deadline_us))
        e.store.log.max_bytes = e.store.size  # nothing more fits
        pauses: list[float] = []
        posted: list[Event] = []
        loop = asyncio.get_running_loop()

        def later(delay: float, call: Callable[..., None], *args: Any) -> Any:
            if args and isinstance(args[0], AttemptFinished):
                pauses.append(delay)
                posted.append(args[0])

        for _ in range(6):
            with monkeypatch.context() as patched:
                patched.setattr(loop, "call_later", later)
                e.run_round()
            e.events.pending_events += posted
            posted.clear()
        assert len(pauses) == 6 and sum(pauses[:5]) >= 7
        assert all(a < b for a, b in itertools.pairwise(pauses))
        e.store.log.max_bytes = 3_000_000
        e.store.close()

    asyncio.run(scene())


def test_no_pause_for_want_of_a_record_outlasts_its_message(tmp_path: Path) -> None:
    async def scene() -> None:
        e = engine(tmp_path)
        m = AcceptedMessage(
            "m", "pay", 7, e.clock() + 3 * S, None, "acme", b"", attempts=5
        )
        assert 0.25 <= e.call_dispatch.journal_failure_backoff_s(m, 5) <= 3
        m.deadline_us = e.clock() - 1
        assert e.call_dispatch.journal_failure_backoff_s(m, 5) == 0
        e.store.close()

    asyncio.run(scene())


# Given up untried


def test_what_is_given_up_untried_is_counted_and_logged_with_its_cause(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "rainfall.forwarder.engine.periodic_tasks.SUMMARY_INTERVAL_S", 3600.0
    )  # the counts start anew with each line

    async def scene(site: Site) -> None:
        site.sides[0].handler = always(Answer(429, {"X-RateLimit-Wait-Ms": "60000"}))
        e = await site.start()
        with caplog.at_level(logging.INFO, "rainfall.trace"):
            assert await site.hand_in("tried", "status", left="50") == 202
            await site.until(lambda: site.came("tried"))
            assert await site.hand_in("untried", "status") == 202
            site.time_is_up("untried")
            await site.until(lambda: bool(site.told("untried")))
        lines = [r for r in caplog.records if r.getMessage() == "given up untried"]
        assert [(r.__dict__["message_id"], r.__dict__["cause"]) for r in lines] == [
            ("untried", "no call could end in time")
        ]
        assert (
            e.state.event_counts["untried: no call could end in time"] == 1
            and e.state.event_counts["returned"] == 1
        )
        assert e.metrics.throttled["status"] == 1  # the figures mean what they did

    play(scene, Site(tmp_path))


def test_attempts_that_made_no_call_leave_a_message_untried(tmp_path: Path) -> None:
    async def scene() -> None:
        e = engine(tmp_path)
        for name, how in (("a", Outcome.NOT_SENT), ("b", FULL)):
            m = AcceptedMessage(name, "status", 7, e.clock() + 10 * S, None, None, b"")
            e.store.append_message(m)
            e.store.append_attempt(m, 0, 5, "s1")
            e.pending_events.append(AttemptFinished(name, 0, 1, how, 5))
        e.run_round()
        for name in "ab":
            e.count_unattempted(FailMessage(name, "cause"), e.clock())
        assert e.state.event_counts["untried: cause"] == 1
        e.store.close()

    asyncio.run(scene())


# SIGTERM


@pytest.mark.parametrize("answer, told", [(Answer(200), []), (Answer(500), ["failed"])])
def test_an_answer_after_the_freeze_is_in_the_journal_that_the_next_start_reads(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, answer: Answer, told: list[str]
) -> None:
    """Nothing new is sent any more, and what is out still ends: delivered is over, and
    what may have run is ended by the next process and not sent again.
    """
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.ACCEPT_PERIOD_S", 0.0)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.FREEZE_AFTER_S", 0.0)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.EXIT_AFTER_S", PATIENCE)

    async def scene(site: Site) -> None:
        gate = asyncio.Event()

        async def side(request: Request) -> Answer:
            await gate.wait()
            return answer

        site.sides[0].handler = side
        e = await site.start()
        assert await site.hand_in("m", "pay") == 202
        await site.until(lambda: site.came("m"))
        e.stop()
        await site.until(lambda: e.frozen)
        gate.set()
        async with asyncio.timeout(PATIENCE):
            await site.task
        state = on_disk(tmp_path)
        assert (
            state.closed_cleanly
            and bool(state.messages) is bool(told)
            and not any(m.in_flight for m in state.messages.values())
        )
        e = await site.start()
        await site.until(
            lambda: (
                site.told("m") == told
                and not e.store.messages
                and not e.store.pending_notifications
            )
        )
        assert len(site.sides[0].requests) == 1

    play(scene, Site(tmp_path))


def test_a_call_whose_dial_is_out_at_the_exit_is_sent_by_the_next_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It has surely not run. Left open in the journal it counted as one that may have,
    and a once-only message was failed with no call; a dial that came up in the last
    moments was even used.
    """
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.ACCEPT_PERIOD_S", 0.0)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.FREEZE_AFTER_S", 0.0)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.EXIT_AFTER_S", 0.0)

    async def scene(site: Site) -> None:
        e = await site.start()
        loop = asyncio.get_running_loop()
        dial, gate, begun = loop.create_connection, asyncio.Event(), asyncio.Event()

        async def held(protocol: Any, where: str, port: int, **more: Any) -> Any:
            if port == site.sides[1].port and not gate.is_set():
                begun.set()
                await gate.wait()
            return await dial(protocol, where, port, **more)

        monkeypatch.setattr(loop, "create_connection", held)
        ended = e.server.close

        async def close(
            patience_s: float,
        ) -> None:  # the last thing that a process does
            gate.set()
            await asyncio.sleep(
                0.05
            )  # for the dial to come up, if it may: nothing is asserted on it
            await ended(patience_s)

        monkeypatch.setattr(e.server, "close", close)
        assert await site.hand_in("m", "pay", 8) == 202
        await begun.wait()
        e.stop()
        async with asyncio.timeout(PATIENCE):
            await site.task
        assert not site.came("m")
        m = on_disk(tmp_path).messages["m"]
        assert m.attempts == 1 and not m.in_flight and m.executed_at_us < 0
        await site.start()
        await site.until(lambda: site.came("m"))
        assert not site.told("m") and len(site.sides[1].requests) == 1

    play(scene, Site(tmp_path))


def test_a_call_whose_record_is_synced_after_the_end_does_not_leave(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    hands = Hands()

    async def scene() -> None:
        e = power_engine(tmp_path, hands, monkeypatch)
        started: list[object] = []
        monkeypatch.setattr(e.pool, "start", started.append)
        e.on_endpoint_list(
            EndpointList(
                2,
                True,
                tuple(engine(tmp_path / "other").config.known_endpoints.endpoints),
            )
        )
        while hands.work():
            pass
        door = Door()
        e.submit(
            SubmittedMessage(
                "m", "pay", 7, e.clock() + 10**7, None, None, "acme", False, b""
            ),
            door,
        )
        e.run_round()
        e.frozen = e.state.closed = True
        while hands.work():
            pass
        assert door.said == [202] and not started
        m = e.store.messages["m"]
        assert m.attempts == 1 and not m.in_flight and m.executed_at_us < 0
        e.store.release()

    asyncio.run(scene())


def test_an_end_that_the_engine_gives_itself_holds_its_key_until_it_is_told(
    tmp_path: Path,
) -> None:
    """Its watch ends what is past its time with no end. A late 200 came then, and the
    next of the key went while the notice was still on its way.
    """
    gate = asyncio.Event()

    async def side(request: Request) -> Answer:
        await gate.wait()
        return Answer(200)

    async def scene(site: Site) -> None:
        site.sides[0].handler = side
        site.platform.accepts = False
        e = await site.start()
        assert await site.hand_in("first", "turns", X_Session_Key="k") == 202
        await site.until(lambda: site.came("first"))
        e.store.move_deadline(
            e.store.messages["first"], 1
        )  # as if its end had been forgotten
        await site.until(lambda: "first" in e.store.pending_notifications)
        assert await site.hand_in("second", "turns", 8, X_Session_Key="k") == 202
        gate.set()
        await site.until(lambda: not e.pool.in_flight)
        await site.passes("free")
        assert not site.came("second")
        await site.until(
            lambda: e.metrics.messages_finished == 2
        )  # the late 200 counts for nothing
        site.platform.accepts = True
        await site.until(lambda: site.came("second"))
        assert site.told("first") == ["failed"]

    play(scene, Site(tmp_path))
