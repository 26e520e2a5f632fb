"""Crossings of what clients do (leave, half-close, come again) with a message's steps,
forced over loopback.

Rounds are the test's to make, and so is the journal's sync where there is one: what a
client does stands before, between or behind them.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from rainfall.forwarder.engine import shutdown
from rainfall.forwarder.inbound.client_connection import LINGER_BYTES
from rainfall.forwarder.message_store import MessageStore
from tests.forwarder.test_shutdown_races import Caller, Running, target
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    Answer,
    Peer,
    Platform,
    Request,
    message,
)


class Endpoint:
    """Answers each call once it is told to."""

    def __init__(self) -> None:
        self.held, self.answers = asyncio.Event(), OK

    async def handle(self, request: Request) -> Answer:
        await self.held.wait()
        return self.answers


class Sync:
    """The journal's worker: its jobs wait until they are let go."""

    def __init__(self) -> None:
        self.jobs: list[
            tuple[Callable[[], None], Callable[[OSError | None], None]]
        ] = []
        self.holding = False

    def __call__(
        self, job: Callable[[], None], done: Callable[[OSError | None], None]
    ) -> None:
        self.jobs.append((job, done))
        if not self.holding:
            asyncio.get_running_loop().call_soon(self.go)

    def go(self) -> None:
        jobs, self.jobs = self.jobs, []
        for job, done in jobs:
            job()
            done(None)


class Scene:
    """A forwarder in the test's loop, with its endpoint. It makes no round by
    itself.
    """

    def __init__(
        self, platform: Platform, endpoint: Endpoint, peer: Peer, run: Running
    ) -> None:
        self.platform, self.endpoint, self.peer, self.run = (
            platform,
            endpoint,
            peer,
            run,
        )
        self.engine = run.engine

    def gate(self) -> None:
        self.engine.events.schedule_round = lambda: None  # type: ignore[method-assign]
        self.engine.round_scheduled = True

    def client(self) -> Caller:
        return Caller(self.run.port)

    async def arrives(
        self,
        name: str,
        client: Caller | None = None,
        cls: str = "order",
        **headers: str,
    ) -> Caller:
        """A client whose message waits for the next round."""
        client = client or self.client()
        client.say(message(name, cls, **headers))
        await self.run.until(lambda: name in self.engine.intake.pending_submissions)
        return client

    def sent(self) -> list[str]:
        return [r.headers["x-correlation-id"] for r in self.peer.requests]

    async def delivered(self, *names: str) -> None:
        """All these, once, and nothing else, to the end."""
        self.endpoint.held.set()
        async with asyncio.timeout(PATIENCE):
            while self.engine.store.messages:
                self.engine.run_round()
                await asyncio.sleep(0.001)
        assert sorted(self.sent()) == sorted(names)


def play(scene: Callable[[Scene], Awaitable[None]], folder: Path, **more: Any) -> None:
    async def run() -> None:
        platform, endpoint = Platform(), Endpoint()
        await platform.start()
        peer = await target(platform, endpoint.handle)
        s = Scene(
            platform, endpoint, peer, await Running(folder, platform, **more).ready()
        )
        s.gate()
        await scene(s)
        await s.run.end()

    asyncio.run(run())


def leave(client: Caller, how: str) -> None:
    """By a close, by a reset, or by ending its own side alone."""
    if how == "reset":
        client.reset()
    elif how == "half-close":
        client.socket.shutdown(socket.SHUT_WR)
    else:
        client.socket.close()


HOWS = ["close", "reset", "half-close"]


@pytest.mark.parametrize("how", HOWS)
@pytest.mark.parametrize("again", ["m", "n"])
def test_message_whose_client_leaves_before_its_round_is_not_ours(
    tmp_path: Path, how: str, again: str
) -> None:
    """And is taken on when it comes again at once, under the same or a new id."""

    async def scene(s: Scene) -> None:
        client = await s.arrives("m")
        leave(client, how)
        if (
            how == "half-close"
        ):  # who has only ended its side hears that it may hand the message in again
            assert (await client.answer())[0] == 503 and await client.end() == b""
        await s.run.until(lambda: not s.engine.intake.pending_submissions)
        second = await s.arrives(again, X_Repeat="again", Idempotency_Key="key-m")
        s.engine.run_round()
        assert (await second.answer())[0] == 202
        assert (
            list(s.engine.store.messages)
            == list(s.engine.dispatcher.state.messages)
            == [again]
        )
        await s.delivered(again)

    play(scene, tmp_path)


@pytest.mark.parametrize("how", HOWS)
def test_message_whose_client_leaves_in_the_turn_of_its_answer_is_ours(
    tmp_path: Path, how: str
) -> None:
    """The round comes before the loop reads that the client has gone."""

    async def scene(s: Scene) -> None:
        client = await s.arrives("m", cls="status")
        leave(client, how)
        s.engine.run_round()
        assert list(s.engine.store.messages) == ["m"]
        if how == "half-close":
            assert (await client.answer())[0] == 202 and await client.end() == b""
        await s.run.until(lambda: not s.engine.server.connections)
        await s.delivered("m")

    play(scene, tmp_path)


@pytest.mark.parametrize("how", HOWS)
def test_message_whose_client_leaves_after_its_answer_is_ours(
    tmp_path: Path, how: str
) -> None:
    async def scene(s: Scene) -> None:
        client = await s.arrives("m")
        s.engine.run_round()
        assert (await client.answer())[0] == 202
        await s.peer.got(1)
        leave(client, how)
        await s.run.until(lambda: not s.engine.server.connections)
        await s.delivered("m")

    play(scene, tmp_path)


def test_message_withdrawn_before_its_round_holds_up_none_of_its_key(
    tmp_path: Path,
) -> None:
    async def scene(s: Scene) -> None:
        first = await s.arrives("a", cls="turns", X_Session_Key="k")
        second = await s.arrives("b", cls="turns", X_Session_Key="k")
        first.reset()
        await s.run.until(lambda: list(s.engine.intake.pending_submissions) == ["b"])
        s.engine.run_round()
        assert (await second.answer())[0] == 202
        await s.delivered("b")

    play(scene, tmp_path)


def test_message_left_here_and_handed_in_elsewhere_is_sent_from_there_alone(
    tmp_path: Path,
) -> None:
    async def scene(s: Scene) -> None:
        (tmp_path / "other").mkdir()
        other = await Running(tmp_path / "other", s.platform).ready()
        client = await s.arrives("m", cls="pay")
        client.socket.close()
        elsewhere = Caller(other.port)
        elsewhere.say(message("n", "pay", X_Repeat="again"))
        assert (await elsewhere.answer())[0] == 202
        await s.run.until(lambda: not s.engine.intake.pending_submissions)
        s.endpoint.held.set()
        await other.until(lambda: not other.engine.store.messages)
        await s.delivered("n")
        await other.end()

    play(scene, tmp_path)


# Half-closes and repeats while a record waits for its sync


def powered(monkeypatch: pytest.MonkeyPatch) -> Sync:
    sync = Sync()
    monkeypatch.setattr(
        "rainfall.forwarder.engine.engine.create_sync_thread", lambda: sync
    )
    return sync


def kept(folder: Path) -> list[str]:
    """What a process would find that started now."""
    return list(MessageStore(folder, 3_000_000, write=False).messages)


@pytest.mark.parametrize("how", HOWS)
def test_message_whose_client_leaves_while_its_record_is_synced_is_gone_before_it_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """A process killed just then must not find it again, as its client may have handed
    it in elsewhere.
    """
    sync = powered(monkeypatch)

    async def scene(s: Scene) -> None:
        client = await s.arrives("m", cls="pay")
        sync.holding = True
        s.engine.run_round()
        assert kept(tmp_path) == ["m"] and "m" in s.engine.intake.unacknowledged
        leave(client, how)
        if how == "half-close":
            assert (await client.answer())[0] == 503 and await client.end() == b""
        await s.run.until(lambda: not s.engine.intake.unacknowledged)
        assert kept(tmp_path) == []
        sync.holding = False
        sync.go()
        again = await s.arrives("n", cls="pay", X_Repeat="again")
        s.engine.run_round()
        assert (await again.answer())[0] == 202
        await s.delivered("n")

    play(scene, tmp_path, power=True)


def test_same_id_while_its_record_is_synced_is_refused_and_the_first_taken_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    sync = powered(monkeypatch)

    async def scene(s: Scene) -> None:
        first = await s.arrives("m", cls="pay")
        sync.holding = True
        s.engine.run_round()
        again = s.client()
        again.say(message("m", "pay", X_Repeat="again"))
        assert (await again.answer())[0] == 503
        again.socket.close()
        sync.holding = False
        sync.go()
        assert (await first.answer())[0] == 202
        await s.delivered("m")

    play(scene, tmp_path, power=True)


def test_same_id_while_the_first_is_taken_back_is_refused_and_taken_on_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It used to be answered as taken on, by the record of the first that was about to
    go.
    """
    sync = powered(monkeypatch)

    async def scene(s: Scene) -> None:
        first = await s.arrives("m", cls="pay")
        sync.holding = True
        s.engine.run_round()
        first.reset()
        await s.run.until(lambda: not s.engine.intake.unacknowledged)
        for status in (503, 202):
            again = s.client()
            again.say(message("m", "pay", X_Repeat="again"))
            if status == 202:
                await s.run.until(lambda: "m" in s.engine.intake.pending_submissions)
                s.engine.run_round()
            assert (await again.answer())[0] == status
            again.socket.close()
            sync.holding = False
            sync.go()
        await s.delivered("m")

    play(scene, tmp_path, power=True)


@pytest.mark.parametrize("step", ["freeze", "exit"])
def test_call_whose_record_is_synced_after_the_freeze_is_left_to_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    sync = powered(monkeypatch)
    monkeypatch.setattr(
        "rainfall.forwarder.engine.startup.FINAL_COMMIT_TIMEOUT_S", PATIENCE
    )

    async def scene(s: Scene) -> None:
        client = await s.arrives("m", cls="pay")
        sync.holding = True
        s.engine.run_round()
        ending = None
        if step == "freeze":
            s.run.told_to_stop(shutdown.FREEZE_AFTER_S)
            s.engine.shutdown.advance_shutdown()
        else:
            waiting = len(s.engine.store.log.waiters)
            ending = asyncio.create_task(s.run.end())
            await s.run.until(lambda: len(s.engine.store.log.waiters) > waiting)
        sync.holding = False
        sync.go()
        assert (await client.answer())[0] == 202
        assert s.engine.pool.in_flight == 0 and not s.engine.pool.dial_tasks
        client.socket.close()
        await (ending or s.run.end())
        assert not s.peer.requests and s.engine.store.messages["m"].in_flight == {}
        s.run = await Running(tmp_path, s.platform).ready()
        await s.peer.got(1)
        s.endpoint.held.set()
        await s.run.until(lambda: not s.run.engine.store.messages)
        assert s.sent() == ["m"] and not s.platform.notices

    play(scene, tmp_path, power=True)


def test_message_whose_record_cannot_be_synced_till_the_end_is_refused_and_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    sync = powered(monkeypatch)

    async def scene(s: Scene) -> None:
        client = await s.arrives("m", cls="pay")
        sync.holding = True
        s.engine.run_round()
        s.run.told_to_stop(shutdown.FREEZE_AFTER_S)
        ending = asyncio.create_task(s.run.end())
        assert (await client.answer())[0] == 503 and await client.end() == b""
        client.socket.close()
        await ending
        assert kept(tmp_path) == [] and not s.peer.requests
        s.run = await Running(tmp_path, s.platform).ready()
        sync.jobs.clear()  # the process is gone

    play(scene, tmp_path, power=True)


# Repeats


def test_same_id_before_the_first_is_decided_is_refused_and_the_first_goes_on(
    tmp_path: Path,
) -> None:
    async def scene(s: Scene) -> None:
        first = await s.arrives("m")
        again = s.client()
        again.say(message("m", X_Repeat="again"))
        assert (await again.answer())[0] == 503
        again.reset()  # whoever was refused takes nothing with it
        await s.run.until(lambda: len(s.engine.server.connections) == 1)
        s.engine.run_round()
        assert (await first.answer())[0] == 202
        await s.delivered("m")

    play(scene, tmp_path)


@pytest.mark.parametrize("cls", ["order", "status", "pay"])
def test_same_id_after_the_first_is_taken_on_sent_and_delivered_is_answered_and_not_sent(
    tmp_path: Path, cls: str
) -> None:
    async def scene(s: Scene) -> None:
        async def again() -> None:
            client = s.client()
            client.say(message("m", cls, X_Repeat="again"))
            assert (await client.answer())[0] == 202
            client.socket.close()
            s.engine.run_round()

        first = await s.arrives("m", cls=cls)
        s.engine.run_round()
        assert (await first.answer())[0] == 202
        await again()  # journaled
        await s.peer.got(1)
        await again()  # sent, and out
        await s.delivered("m")
        await again()  # delivered
        await s.delivered("m")

    play(scene, tmp_path)


def test_same_id_after_a_restart_is_ours_while_it_is_held(tmp_path: Path) -> None:
    async def scene(s: Scene) -> None:
        first = await s.arrives("m", cls="pay")
        s.engine.call_dispatch.add_to_call = lambda *parts: None  # type: ignore[method-assign]
        s.engine.run_round()
        assert (await first.answer())[0] == 202
        await s.run.end()
        s.run = await Running(tmp_path, s.platform).ready()
        s.engine = s.run.engine
        await s.peer.got(1)
        s.gate()
        again = s.client()
        again.say(message("m", "pay", X_Repeat="again"))
        assert (await again.answer())[0] == 202
        assert not s.engine.intake.pending_submissions and list(
            s.engine.store.messages
        ) == ["m"]
        assert (
            s.engine.metrics.messages_accepted == 1
        )  # the one of before, and none beside it
        await s.delivered("m")

    play(scene, tmp_path)


@pytest.mark.parametrize("moment", ["arrived", "journaled", "delivered"])
def test_repeat_under_a_new_id_is_a_message_of_its_own_at_each_moment(
    tmp_path: Path, moment: str
) -> None:
    async def scene(s: Scene) -> None:
        first = await s.arrives("m")
        if moment != "arrived":
            s.engine.run_round()
            assert (await first.answer())[0] == 202
        if moment == "delivered":
            await s.delivered("m")
        second = await s.arrives("n", X_Repeat="again", Idempotency_Key="key-m")
        s.engine.run_round()
        assert (await second.answer())[0] == 202
        await s.delivered("m", "n")
        assert {r.headers["idempotency-key"] for r in s.peer.requests} == {"key-m"}

    play(scene, tmp_path)


# Who sends much and goes


def test_client_that_sends_many_and_is_gone_has_few_of_them_taken_on(
    tmp_path: Path,
) -> None:
    """From the answer on that cannot be written, none is taken in."""

    async def scene(s: Scene) -> None:
        client = s.client()
        client.say(b"".join(message(f"m{n}", "status") for n in range(20)))
        await s.run.until(lambda: "m0" in s.engine.intake.pending_submissions)
        client.reset()
        async with asyncio.timeout(PATIENCE):
            while s.engine.server.connections:
                s.engine.run_round()
                await asyncio.sleep(0.001)
        assert (
            list(s.engine.store.messages) == ["m0"]
            and not s.engine.intake.pending_submissions
        )
        await s.delivered("m0")

    play(scene, tmp_path)


def test_client_that_half_closes_behind_several_hears_of_each(tmp_path: Path) -> None:
    async def scene(s: Scene) -> None:
        client = s.client()
        client.say(message("a") + message("b") + message("c"))
        client.socket.shutdown(socket.SHUT_WR)
        answers = [await client.answer() for _ in range(3)]
        assert [status for status, _ in answers] == [503, 503, 503]
        assert ["Connection: close" in head for _, head in answers] == [
            False,
            False,
            True,
        ]
        assert await client.end() == b"" and not s.engine.intake.pending_submissions
        s.engine.run_round()
        assert not s.engine.store.messages

    play(scene, tmp_path)


def test_much_that_cannot_be_read_behind_a_message_leaves_that_its_answer(
    tmp_path: Path,
) -> None:
    """The connection used to be closed over the answer that was still to come."""

    async def scene(s: Scene) -> None:
        client = await s.arrives("m")
        rest = asyncio.create_task(
            asyncio.get_running_loop().sock_sendall(
                client.socket, b"\0" * (LINGER_BYTES + LINGER_BYTES // 2)
            )
        )
        (held,) = s.engine.server.connections
        await s.run.until(
            lambda: held.transport is None or not held.transport.is_reading()
        )
        s.engine.run_round()
        assert [(await client.answer())[0] for _ in range(2)] == [202, 400]
        async with asyncio.timeout(PATIENCE):
            await rest
        await s.delivered("m")

    play(scene, tmp_path)
