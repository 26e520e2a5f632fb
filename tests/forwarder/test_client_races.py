"""Races between client actions (closing, half-closing, repeating a message) and the
steps of a message, forced over loopback.

The tests run the rounds, and the journal's sync where there is one, so that a client's
action comes before, between or after them.
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
from tests.forwarder.test_shutdown_races import ClientSocket, RunningEngine, target
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
    """Answers each call once `held` is set."""

    def __init__(self) -> None:
        self.held, self.answers = asyncio.Event(), OK

    async def handle(self, request: Request) -> Answer:
        await self.held.wait()
        return self.answers


class Sync:
    """Stands for the journal's sync thread; its jobs wait until `go` runs them."""

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


class ForwarderSetup:
    """A forwarder in the test's event loop, with its endpoint. It runs no rounds by
    itself once `gate` is called.
    """

    def __init__(
        self, platform: Platform, endpoint: Endpoint, peer: Peer, run: RunningEngine
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

    def client(self) -> ClientSocket:
        return ClientSocket(self.run.port)

    async def arrives(
        self,
        name: str,
        client: ClientSocket | None = None,
        cls: str = "order",
        **headers: str,
    ) -> ClientSocket:
        """Send a message and return its client once the message waits for the next
        round.
        """
        client = client or self.client()
        client.send(message(name, cls, **headers))
        await self.run.until(lambda: name in self.engine.intake.pending_submissions)
        return client

    def sent(self) -> list[str]:
        return [r.headers["x-correlation-id"] for r in self.peer.requests]

    async def delivered(self, *names: str) -> None:
        """Run rounds until no message is held; check that exactly these were
        delivered, each once.
        """
        self.endpoint.held.set()
        async with asyncio.timeout(PATIENCE):
            while self.engine.store.messages:
                self.engine.run_round()
                await asyncio.sleep(0.001)
        assert sorted(self.sent()) == sorted(names)


def play(
    scene: Callable[[ForwarderSetup], Awaitable[None]], folder: Path, **more: Any
) -> None:
    async def run() -> None:
        platform, endpoint = Platform(), Endpoint()
        await platform.start()
        peer = await target(platform, endpoint.handle)
        setup = ForwarderSetup(
            platform,
            endpoint,
            peer,
            await RunningEngine(folder, platform, **more).ready(),
        )
        setup.gate()
        await scene(setup)
        await setup.run.end()

    asyncio.run(run())


def leave(client: ClientSocket, how: str) -> None:
    """End the connection by a close, a reset, or a shutdown of the client's sending
    side.
    """
    if how == "reset":
        client.reset()
    elif how == "half-close":
        client.socket.shutdown(socket.SHUT_WR)
    else:
        client.socket.close()


DISCONNECTS = ["close", "reset", "half-close"]


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("again", ["m", "n"])
def test_message_is_withdrawn_if_its_client_disconnects_before_its_round(
    tmp_path: Path, how: str, again: str
) -> None:
    """The message is accepted when the client sends it again at once, under the same or
    a new id.
    """

    async def scene(setup: ForwarderSetup) -> None:
        client = await setup.arrives("m")
        leave(client, how)
        if how == "half-close":  # a half-closed client gets 503 and may retry
            assert (await client.answer())[
                0
            ] == 503 and await client.read_to_end() == b""
        await setup.run.until(lambda: not setup.engine.intake.pending_submissions)
        second = await setup.arrives(again, X_Repeat="again", Idempotency_Key="key-m")
        setup.engine.run_round()
        assert (await second.answer())[0] == 202
        assert (
            list(setup.engine.store.messages)
            == list(setup.engine.dispatcher.state.messages)
            == [again]
        )
        await setup.delivered(again)

    play(scene, tmp_path)


@pytest.mark.parametrize("how", DISCONNECTS)
def test_message_is_kept_if_its_client_disconnects_as_it_is_answered(
    tmp_path: Path, how: str
) -> None:
    """The round runs before the loop reads that the client has disconnected."""

    async def scene(setup: ForwarderSetup) -> None:
        client = await setup.arrives("m", cls="status")
        leave(client, how)
        setup.engine.run_round()
        assert list(setup.engine.store.messages) == ["m"]
        if how == "half-close":
            assert (await client.answer())[
                0
            ] == 202 and await client.read_to_end() == b""
        await setup.run.until(lambda: not setup.engine.server.connections)
        await setup.delivered("m")

    play(scene, tmp_path)


@pytest.mark.parametrize("how", DISCONNECTS)
def test_message_is_kept_if_its_client_disconnects_after_its_response(
    tmp_path: Path, how: str
) -> None:
    async def scene(setup: ForwarderSetup) -> None:
        client = await setup.arrives("m")
        setup.engine.run_round()
        assert (await client.answer())[0] == 202
        await setup.peer.wait_for_requests(1)
        leave(client, how)
        await setup.run.until(lambda: not setup.engine.server.connections)
        await setup.delivered("m")

    play(scene, tmp_path)


def test_withdrawn_message_does_not_block_its_session_key(
    tmp_path: Path,
) -> None:
    async def scene(setup: ForwarderSetup) -> None:
        first = await setup.arrives("a", cls="turns", X_Session_Key="k")
        second = await setup.arrives("b", cls="turns", X_Session_Key="k")
        first.reset()
        await setup.run.until(
            lambda: list(setup.engine.intake.pending_submissions) == ["b"]
        )
        setup.engine.run_round()
        assert (await second.answer())[0] == 202
        await setup.delivered("b")

    play(scene, tmp_path)


def test_message_withdrawn_here_and_sent_to_another_forwarder_is_delivered_once(
    tmp_path: Path,
) -> None:
    async def scene(setup: ForwarderSetup) -> None:
        (tmp_path / "other").mkdir()
        other = await RunningEngine(tmp_path / "other", setup.platform).ready()
        client = await setup.arrives("m", cls="pay")
        client.socket.close()
        elsewhere = ClientSocket(other.port)
        elsewhere.send(message("n", "pay", X_Repeat="again"))
        assert (await elsewhere.answer())[0] == 202
        await setup.run.until(lambda: not setup.engine.intake.pending_submissions)
        setup.endpoint.held.set()
        await other.until(lambda: not other.engine.store.messages)
        await setup.delivered("n")
        await other.end()

    play(scene, tmp_path)


# Half-closes and repeats while a record waits for its sync


def use_held_sync(monkeypatch: pytest.MonkeyPatch) -> Sync:
    sync = Sync()
    monkeypatch.setattr(
        "rainfall.forwarder.engine.engine.create_sync_thread", lambda: sync
    )
    return sync


def restored_ids(folder: Path) -> list[str]:
    """Return the ids that a process started now would restore."""
    return list(MessageStore(folder, 3_000_000, write=False).messages)


@pytest.mark.parametrize("how", DISCONNECTS)
def test_message_withdrawn_during_its_sync_is_removed_before_the_rejection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """A process killed at this moment must not restore the message, as its client may
    have sent it to another forwarder.
    """
    sync = use_held_sync(monkeypatch)

    async def scene(setup: ForwarderSetup) -> None:
        client = await setup.arrives("m", cls="pay")
        sync.holding = True
        setup.engine.run_round()
        assert (
            restored_ids(tmp_path) == ["m"]
            and "m" in setup.engine.intake.unacknowledged
        )
        leave(client, how)
        if how == "half-close":
            assert (await client.answer())[
                0
            ] == 503 and await client.read_to_end() == b""
        await setup.run.until(lambda: not setup.engine.intake.unacknowledged)
        assert restored_ids(tmp_path) == []
        sync.holding = False
        sync.go()
        repeat = await setup.arrives("n", cls="pay", X_Repeat="again")
        setup.engine.run_round()
        assert (await repeat.answer())[0] == 202
        await setup.delivered("n")

    play(scene, tmp_path, power=True)


def test_same_id_during_the_sync_is_rejected_and_the_first_accepted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    sync = use_held_sync(monkeypatch)

    async def scene(setup: ForwarderSetup) -> None:
        first = await setup.arrives("m", cls="pay")
        sync.holding = True
        setup.engine.run_round()
        repeat = setup.client()
        repeat.send(message("m", "pay", X_Repeat="again"))
        assert (await repeat.answer())[0] == 503
        repeat.socket.close()
        sync.holding = False
        sync.go()
        assert (await first.answer())[0] == 202
        await setup.delivered("m")

    play(scene, tmp_path, power=True)


def test_same_id_during_a_withdrawal_is_rejected_and_accepted_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The repeated message used to be answered 202 because of the first one's record,
    which was about to be removed.
    """
    sync = use_held_sync(monkeypatch)

    async def scene(setup: ForwarderSetup) -> None:
        first = await setup.arrives("m", cls="pay")
        sync.holding = True
        setup.engine.run_round()
        first.reset()
        await setup.run.until(lambda: not setup.engine.intake.unacknowledged)
        for status in (503, 202):
            repeat = setup.client()
            repeat.send(message("m", "pay", X_Repeat="again"))
            if status == 202:
                await setup.run.until(
                    lambda: "m" in setup.engine.intake.pending_submissions
                )
                setup.engine.run_round()
            assert (await repeat.answer())[0] == status
            repeat.socket.close()
            sync.holding = False
            sync.go()
        await setup.delivered("m")

    play(scene, tmp_path, power=True)


@pytest.mark.parametrize("step", ["freeze", "exit"])
def test_call_synced_after_the_freeze_is_sent_by_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    sync = use_held_sync(monkeypatch)
    monkeypatch.setattr(
        "rainfall.forwarder.engine.startup.FINAL_COMMIT_TIMEOUT_S", PATIENCE
    )

    async def scene(setup: ForwarderSetup) -> None:
        client = await setup.arrives("m", cls="pay")
        sync.holding = True
        setup.engine.run_round()
        ending = None
        if step == "freeze":
            setup.run.begin_shutdown(shutdown.FREEZE_AFTER_S)
            setup.engine.shutdown.advance_shutdown()
        else:
            waiting = len(setup.engine.store.log.waiters)
            ending = asyncio.create_task(setup.run.end())
            await setup.run.until(lambda: len(setup.engine.store.log.waiters) > waiting)
        sync.holding = False
        sync.go()
        assert (await client.answer())[0] == 202
        assert setup.engine.pool.in_flight == 0 and not setup.engine.pool.dial_tasks
        client.socket.close()
        await (ending or setup.run.end())
        assert (
            not setup.peer.requests and setup.engine.store.messages["m"].in_flight == {}
        )
        setup.run = await RunningEngine(tmp_path, setup.platform).ready()
        await setup.peer.wait_for_requests(1)
        setup.endpoint.held.set()
        await setup.run.until(lambda: not setup.run.engine.store.messages)
        assert setup.sent() == ["m"] and not setup.platform.notices

    play(scene, tmp_path, power=True)


def test_message_not_synced_by_the_end_is_rejected_and_removed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    sync = use_held_sync(monkeypatch)

    async def scene(setup: ForwarderSetup) -> None:
        client = await setup.arrives("m", cls="pay")
        sync.holding = True
        setup.engine.run_round()
        setup.run.begin_shutdown(shutdown.FREEZE_AFTER_S)
        ending = asyncio.create_task(setup.run.end())
        assert (await client.answer())[0] == 503 and await client.read_to_end() == b""
        client.socket.close()
        await ending
        assert restored_ids(tmp_path) == [] and not setup.peer.requests
        setup.run = await RunningEngine(tmp_path, setup.platform).ready()
        sync.jobs.clear()  # the process has ended

    play(scene, tmp_path, power=True)


# Repeats


def test_same_id_before_the_first_is_accepted_is_rejected(
    tmp_path: Path,
) -> None:
    async def scene(setup: ForwarderSetup) -> None:
        first = await setup.arrives("m")
        repeat = setup.client()
        repeat.send(message("m", X_Repeat="again"))
        assert (await repeat.answer())[0] == 503
        repeat.reset()  # the reset of the rejected client does not withdraw the first
        await setup.run.until(lambda: len(setup.engine.server.connections) == 1)
        setup.engine.run_round()
        assert (await first.answer())[0] == 202
        await setup.delivered("m")

    play(scene, tmp_path)


@pytest.mark.parametrize("cls", ["order", "status", "pay"])
def test_same_id_after_acceptance_is_answered_and_not_sent_again(
    tmp_path: Path, cls: str
) -> None:
    async def scene(setup: ForwarderSetup) -> None:
        async def send_again() -> None:
            client = setup.client()
            client.send(message("m", cls, X_Repeat="again"))
            assert (await client.answer())[0] == 202
            client.socket.close()
            setup.engine.run_round()

        first = await setup.arrives("m", cls=cls)
        setup.engine.run_round()
        assert (await first.answer())[0] == 202
        await send_again()  # journaled
        await setup.peer.wait_for_requests(1)
        await send_again()  # sent, in flight
        await setup.delivered("m")
        await send_again()  # delivered
        await setup.delivered("m")

    play(scene, tmp_path)


def test_same_id_after_a_restart_is_answered_while_the_message_is_held(
    tmp_path: Path,
) -> None:
    async def scene(setup: ForwarderSetup) -> None:
        first = await setup.arrives("m", cls="pay")
        setup.engine.call_dispatch.add_to_call = lambda *parts: None  # type: ignore[method-assign]
        setup.engine.run_round()
        assert (await first.answer())[0] == 202
        await setup.run.end()
        setup.run = await RunningEngine(tmp_path, setup.platform).ready()
        setup.engine = setup.run.engine
        await setup.peer.wait_for_requests(1)
        setup.gate()
        repeat = setup.client()
        repeat.send(message("m", "pay", X_Repeat="again"))
        assert (await repeat.answer())[0] == 202
        assert not setup.engine.intake.pending_submissions and list(
            setup.engine.store.messages
        ) == ["m"]
        assert setup.engine.metrics.messages_accepted == 1  # only the restored one
        await setup.delivered("m")

    play(scene, tmp_path)


@pytest.mark.parametrize("moment", ["arrived", "journaled", "delivered"])
def test_repeat_under_a_new_id_is_a_separate_message_at_each_moment(
    tmp_path: Path, moment: str
) -> None:
    async def scene(setup: ForwarderSetup) -> None:
        first = await setup.arrives("m")
        if moment != "arrived":
            setup.engine.run_round()
            assert (await first.answer())[0] == 202
        if moment == "delivered":
            await setup.delivered("m")
        second = await setup.arrives("n", X_Repeat="again", Idempotency_Key="key-m")
        setup.engine.run_round()
        assert (await second.answer())[0] == 202
        await setup.delivered("m", "n")
        assert {r.headers["idempotency-key"] for r in setup.peer.requests} == {"key-m"}

    play(scene, tmp_path)


# Clients that send many requests and disconnect


def test_requests_of_a_client_that_left_before_their_round_are_not_accepted(
    tmp_path: Path,
) -> None:
    """Reading is paused, so the event loop doesn't report that the client has left."""

    async def scene(setup: ForwarderSetup) -> None:
        client = setup.client()
        client.send(b"".join(message(f"m{n}", "status") for n in range(20)))
        await setup.run.until(lambda: "m0" in setup.engine.intake.pending_submissions)
        client.reset()
        async with asyncio.timeout(PATIENCE):
            while setup.engine.server.connections:
                setup.engine.run_round()
                await asyncio.sleep(0.001)
        assert (
            not setup.engine.store.messages
            and not setup.engine.intake.pending_submissions
        )
        await setup.delivered()

    play(scene, tmp_path)


def test_half_closed_client_gets_a_response_to_each_request(tmp_path: Path) -> None:
    async def scene(setup: ForwarderSetup) -> None:
        client = setup.client()
        client.send(message("a") + message("b") + message("c"))
        client.socket.shutdown(socket.SHUT_WR)
        answers = [await client.answer() for _ in range(3)]
        assert [status for status, _ in answers] == [503, 503, 503]
        assert ["Connection: close" in head for _, head in answers] == [
            False,
            False,
            True,
        ]
        assert (
            await client.read_to_end() == b""
            and not setup.engine.intake.pending_submissions
        )
        setup.engine.run_round()
        assert not setup.engine.store.messages

    play(scene, tmp_path)


def test_message_followed_by_much_garbage_still_gets_its_response(
    tmp_path: Path,
) -> None:
    """The connection used to be closed before the response that was still due."""

    async def scene(setup: ForwarderSetup) -> None:
        client = await setup.arrives("m")
        sending = asyncio.create_task(
            asyncio.get_running_loop().sock_sendall(
                client.socket, b"\0" * (LINGER_BYTES + LINGER_BYTES // 2)
            )
        )
        (connection,) = setup.engine.server.connections
        await setup.run.until(
            lambda: (
                connection.transport is None or not connection.transport.is_reading()
            )
        )
        setup.engine.run_round()
        assert [(await client.answer())[0] for _ in range(2)] == [202, 400]
        async with asyncio.timeout(PATIENCE):
            await sending
        await setup.delivered("m")

    play(scene, tmp_path)
