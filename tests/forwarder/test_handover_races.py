"""Races at a handover: each test forces the order of two events that occur at the same
moment.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from rainfall.forwarder.config.loading import (
    Address,
    Config,
    EndpointList,
    load_config,
    parse_endpoint,
)
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.handover.journal_lock import JournalLock
from rainfall.forwarder.handover.target import HandoverTarget
from rainfall.forwarder.message_store import AcceptedMessage, MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool
from rainfall.forwarder.process import serve
from rainfall.wirehost import parse_settings
from tests.forwarder.test_handover_protocol import SourceEngine, connect_target, until
from tests.forwarder.test_operations import settings_with_classes
from tests.support.loopback_peers import (
    OK,
    SETTINGS,
    Answer,
    Client,
    Peer,
    Platform,
    answer_in_turn,
    message,
)
from tests.support.memory_disk import ManualSyncWorker


class LoopbackEngine:
    """An engine that serves on loopback sockets, started as the program starts it."""

    def __init__(self, folder: Path, platform: Platform, **config_options: Any) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        endpoint_list = platform.listing()
        known_endpoints = EndpointList(
            endpoint_list["seq"],
            True,
            tuple(parse_endpoint(raw) for raw in endpoint_list["hosts"]),
        )
        listen, discovery = (
            Address("127.0.0.1", self.port),
            Address("127.0.0.1", platform.port),
        )
        self.config = Config(
            "n0",
            listen,
            discovery,
            folder,
            5,
            192,
            256,
            3_000_000,
            known_endpoints,
            parse_settings(SETTINGS),
            ("x0", "x1"),
            inherited_fd=self.listener.fileno(),
            **config_options,
        )
        self.lock = JournalLock(folder)
        self.task: asyncio.Task[bool] | None = None

    async def start(self, handover_target: HandoverTarget | None = None) -> Engine:
        if handover_target is None:
            assert self.lock.try_acquire()
        self.engine = Engine(self.config, self.lock, handover_target)
        self.task = asyncio.create_task(self.engine.run())
        await until(lambda: self.engine.serving)
        return self.engine

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def end(self) -> None:
        if self.task is not None:
            self.engine.state.stopped.set()
            await self.task
        self.engine.handover_source.close()
        await self.engine.server.close()
        self.lock.release()
        self.listener.close()


def play(
    scene: Callable[[Platform, Path, list[LoopbackEngine]], Awaitable[None]],
    folder: Path,
) -> None:
    async def run() -> None:
        platform = Platform()
        await platform.start()
        engines: list[LoopbackEngine] = []
        try:
            await scene(platform, folder, engines)
        finally:
            for old in reversed(engines):
                await old.end()

    asyncio.run(run())


async def target(
    platform: Platform, handler: Any, name: str = "s1", **more: Any
) -> Peer:
    peer = await Peer(handler).start()
    platform.host(name, peer.port, **more)
    return peer


def answer_after(gate: asyncio.Event, answer: Answer = OK) -> Any:
    async def handler(request: Any) -> Answer:
        await gate.wait()
        return answer

    return handler


def test_snapshot_requests_while_the_disk_fails_cost_no_attempt(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lost attempts: the new process requests a snapshot every 50 ms, and
    each request cut the connection attempts in progress until the message had no
    attempt left.
    """

    async def scene(
        platform: Platform, folder: Path, engines: list[LoopbackEngine]
    ) -> None:
        peer = await target(platform, answer_in_turn(OK))
        engines.append(old := LoopbackEngine(folder, platform))
        engine = await old.start()
        dial_gate, dialed = asyncio.Event(), asyncio.Event()
        dial = ConnectionPool.dial

        async def dial_slowly(
            pool: ConnectionPool, call: Any, address: Address
        ) -> None:
            dialed.set()
            await dial_gate.wait()
            await dial(pool, call, address)

        monkeypatch.setattr(ConnectionPool, "dial", dial_slowly)
        client = await old.client()
        assert (await client.hand_in("m", "pay"))[0] == 202
        await dialed.wait()
        engine.store.log.failed, engine.store.log.retry_at = True, float("inf")
        watch = engine.watch.task
        for _ in range(8):
            handover_target = HandoverTarget()
            assert not await handover_target.request_snapshot(folder)
            handover_target.connection.close()
            engine.run_round()  # starts calls that were cut again
        assert [m.attempts for m in engine.store.messages.values()] == [
            1
        ] and engine.watch.task is watch
        dial_gate.set()
        await peer.wait_for_requests(1)
        await until(lambda: not engine.store.messages)
        assert len(peer.requests) == 1 and not engine.store.pending_notifications

    play(scene, tmp_path)


def test_old_process_serves_between_two_handover_attempts_of_a_slow_new_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an old process that is paused nearly all the time: a new process that
    reads the journal slowly repeated its request after 50 ms, and as each try had the
    same time limit, none succeeded.
    """
    now = [100.0]
    monkeypatch.setattr(
        "rainfall.forwarder.handover.source.time",
        SimpleNamespace(monotonic=lambda: now[0]),
    )

    async def scene() -> None:
        engine = SourceEngine()
        source = engine.source
        hold_times: list[float] = []
        for hold_s in (1.5, 3.0, 3.0):
            _, _received = await connect_target(engine)
            await until(lambda: engine.pause_callbacks)
            engine.enter_pause()
            assert source.hold_timer is not None
            hold_times.append(
                source.hold_timer.when() - asyncio.get_running_loop().time()
            )
            assert hold_s - 1 < hold_times[-1] <= hold_s
            source.hold_timer.cancel()
            source.on_hold_timeout()  # as the timer would
            now[0] += hold_s - 0.1
            _, received = await connect_target(engine)
            await until(lambda received=received: received or engine.pause_callbacks)
            assert received[:1] == [{"no": True}] and not engine.pause_callbacks
            now[0] += 0.1
        assert engine.resumed == 3

    asyncio.run(scene())


def test_clients_of_stopping_old_process_are_answered_when_new_process_dies(
    tmp_path: Path,
) -> None:
    """Guards against clients without an answer: the old process had transferred ownership
    and exited with their connections open.
    """

    async def scene(
        platform: Platform, folder: Path, engines: list[LoopbackEngine]
    ) -> None:
        await target(platform, answer_in_turn(OK))
        engines.append(old := LoopbackEngine(folder, platform))
        engine = await old.start()
        first, second = await old.client(), await old.client()
        handover_target = HandoverTarget()  # stands for the new process
        assert (
            await handover_target.request_snapshot(folder)
            and await handover_target.request_ownership()
        )
        engine.stop()
        for client, name in ((first, "taken"), (second, "lost")):
            client.writer.write(message(name, "pay"))
        await until(lambda: len(handover_target.early_messages) == 2)
        lock = JournalLock(folder)
        assert lock.try_acquire()
        store = MessageStore(folder, 3_000_000)
        store.append_message(
            AcceptedMessage("taken", "pay", 7, 10**16, None, "acme", b"")
        )
        store.flush()
        # "taken" is in the journal, and the new process dies before it confirms this
        store.release()
        assert handover_target.connection.transport is not None
        handover_target.connection.transport.abort()
        lock.release()
        assert (await first.answer())[0] == 202
        assert (await second.answer())[0] == 503
        assert (
            old.task is not None and not await old.task
        )  # the old process exits and does not restart

    play(scene, tmp_path)


def test_throttling_wait_received_during_last_sync_of_old_process_binds_new_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With durability `power`. Guards against a lost throttling wait: the outcome was
    journaled, but its wait and its effect on the endpoint's state reached neither
    process's dispatcher, and the new process called again at once.
    """
    hands = ManualSyncWorker()
    monkeypatch.setattr(
        "rainfall.forwarder.engine.engine.create_sync_thread", lambda: hands
    )

    async def scene(
        platform: Platform, folder: Path, engines: list[LoopbackEngine]
    ) -> None:
        gate, disk_runs = asyncio.Event(), asyncio.Event()

        async def pump() -> None:
            while True:
                await disk_runs.wait()
                hands.work()
                await asyncio.sleep(0)

        pumping = asyncio.create_task(pump())
        disk_runs.set()
        peer = await target(
            platform, answer_after(gate, Answer(429, {"X-RateLimit-Wait-Ms": "40000"}))
        )
        await target(platform, answer_after(asyncio.Event()), "s2", block=8)
        engines.append(old := LoopbackEngine(folder, platform, power=True))
        engine = await old.start()
        client, other = await old.client(), await old.client()
        assert (await client.hand_in("m"))[0] == 202
        await peer.wait_for_requests(1)
        disk_runs.clear()
        other.writer.write(message("n", dest=8))
        await until(
            lambda: (
                "n" in engine.store.messages or "n" in engine.intake.pending_submissions
            )
        )
        handover_target = HandoverTarget()
        snapshot_request = asyncio.create_task(handover_target.request_snapshot(folder))
        await until(lambda: engine.state.paused_for_handover)
        gate.set()  # the 429 arrives during the sync
        await until(lambda: ("m", 0) not in engine.pool.calls)
        disk_runs.set()
        assert await snapshot_request and (await other.answer())[0] == 202
        engines.append(new := LoopbackEngine(folder, platform, power=True))
        new_engine = await new.start(handover_target)
        await until(
            lambda: not [name for name, _ in new_engine.remote_calls if name == "m"]
        )
        new_engine.run_round()
        throttle_scope = new_engine.dispatcher.state.throttle_scopes[(7, -1)]
        assert (
            throttle_scope.retry_after_until > new_engine.clock()
            and new_engine.dispatcher.state.messages["m"].in_flight == 0
        )
        assert len(peer.requests) == 1 and new_engine.store.messages["m"].attempts == 1
        disk_runs.clear()
        while hands.work():
            pass
        disk_runs.set()
        for running in reversed(engines):
            await running.end()
        engines.clear()
        pumping.cancel()

    play(scene, tmp_path)


def test_old_process_accepts_a_new_class_on_open_connections_after_sighup(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a 404 for a class of the new file: each persistent connection of the
    old process serves one more request after the handover.
    """

    async def scene(
        platform: Platform, folder: Path, engines: list[LoopbackEngine]
    ) -> None:
        await target(platform, answer_in_turn(OK))
        engines.append(old := LoopbackEngine(folder, platform))
        engine = await old.start()
        client = await old.client()
        assert (await client.hand_in("before", "status"))[0] == 202
        await until(lambda: not engine.store.messages)
        handover_target = HandoverTarget()
        assert (
            await handover_target.request_snapshot(folder)
            and await handover_target.request_ownership()
        )
        new_config = replace(
            engine.config, settings=parse_settings(settings_with_classes(fresh={}))
        )
        monkeypatch.setattr(
            "rainfall.forwarder.engine.ownership.load_replacement",
            lambda config: new_config,
        )
        engine.reload()
        client.writer.write(message("m", "fresh"))
        answer = asyncio.create_task(client.answer())
        await until(lambda: len(handover_target.early_messages) == 2 or answer.done())
        assert [next(iter(line)) for line in handover_target.early_messages] == [
            "reload",
            "hand_in",
        ]
        assert handover_target.early_messages[1]["hand_in"][1]["class_name"] == "fresh"
        answer.cancel()
        assert handover_target.connection.transport is not None
        handover_target.connection.transport.abort()
        assert (
            old.task is not None and await old.task
        )  # the old process restarts from the journal

    play(scene, tmp_path)


def test_events_during_handover_pause_take_effect_at_the_new_process(
    tmp_path: Path,
) -> None:
    """Between pause and transfer arrive a request, another request whose client
    disconnects, and a drain that the old process does not receive.
    """

    async def scene(
        platform: Platform, folder: Path, engines: list[LoopbackEngine]
    ) -> None:
        draining_peer, up_peer = (
            await target(platform, answer_in_turn(OK)),
            await target(platform, answer_in_turn(OK), "s2"),
        )
        engines.append(old := LoopbackEngine(folder, platform))
        engine = await old.start()
        staying_client, leaving_client = await old.client(), await old.client()
        handover_target = HandoverTarget()
        assert (
            await handover_target.request_snapshot(folder)
            and engine.state.paused_for_handover
        )
        staying_client.writer.write(message("m", "pay"))
        leaving_client.writer.write(message("n", "pay"))
        await until(lambda: {"m", "n"} <= engine.intake.pending_submissions.keys())
        leaving_client.writer.close()
        await until(lambda: "n" not in engine.intake.pending_submissions)
        await platform.change("s1", "draining")
        engines.append(new := LoopbackEngine(folder, platform))
        new_engine = await new.start(handover_target)
        status, headers = await staying_client.answer()
        assert status == 202 and headers["connection"] == "close"
        await up_peer.wait_for_requests(1)
        await until(lambda: not new_engine.store.messages)
        assert not draining_peer.requests and [
            r.headers["x-correlation-id"] for r in up_peer.requests
        ] == ["m"]

    play(scene, tmp_path)


def test_message_of_client_that_disconnects_during_transfer_is_dropped(
    tmp_path: Path,
) -> None:
    async def scene(
        platform: Platform, folder: Path, engines: list[LoopbackEngine]
    ) -> None:
        peer = await target(platform, answer_in_turn(OK))
        engines.append(old := LoopbackEngine(folder, platform))
        engine = await old.start()
        client, other = await old.client(), await old.client()
        handover_target = HandoverTarget()
        assert await handover_target.request_snapshot(folder)
        client.writer.write(message("n", "pay"))
        other.writer.write(message("m", "pay"))
        await until(lambda: len(engine.intake.pending_submissions) == 2)
        assert await handover_target.request_ownership()
        await until(lambda: len(handover_target.early_messages) == 2)
        client.writer.close()  # before the new process has an engine
        await until(lambda: len(handover_target.early_messages) == 3)
        engines.append(new := LoopbackEngine(folder, platform))
        new.lock.try_acquire()
        new_engine = new.engine = Engine(new.config, new.lock, None)
        handover_target.attach(new_engine)
        new_engine.run_round()
        assert (
            list(new_engine.store.messages) == ["m"]
            and (await other.answer())[0] == 202
        )
        new_engine.store.close()
        assert not peer.requests
        engines.remove(new)
        new.lock.release()
        new.listener.close()

    play(scene, tmp_path)


def test_sigterm_at_paused_old_process_aborts_the_handover(
    tmp_path: Path,
) -> None:
    """The old process resumes as if no snapshot had been requested, answers its clients and
    refuses further snapshot requests; the new process waits for the journal.
    """

    async def scene(
        platform: Platform, folder: Path, engines: list[LoopbackEngine]
    ) -> None:
        peer = await target(platform, answer_in_turn(OK))
        engines.append(old := LoopbackEngine(folder, platform))
        engine = await old.start()
        client = await old.client()
        handover_target = HandoverTarget()
        assert (
            await handover_target.request_snapshot(folder)
            and engine.state.paused_for_handover
        )
        client.writer.write(message("m", "pay"))
        await until(lambda: "m" in engine.intake.pending_submissions)
        engine.stop()
        assert (
            not engine.state.paused_for_handover
            and not await handover_target.request_ownership()
        )
        assert (await client.answer())[0] == 202
        await peer.wait_for_requests(1)
        second_target = HandoverTarget()
        assert (
            not await second_target.request_snapshot(folder)
            and not JournalLock(folder).try_acquire()
        )
        second_target.connection.close()
        assert old.task is not None and not await old.task and len(peer.requests) == 1

    play(scene, tmp_path)


def test_idempotency_window_of_a_call_of_the_old_process_counts_from_its_first_byte(
    tmp_path: Path,
) -> None:
    """Guards against a window that counts from the handover: a call that is reported late
    and as cut may have executed when it was sent.
    """

    async def scene(
        platform: Platform, folder: Path, engines: list[LoopbackEngine]
    ) -> None:
        peer = await target(platform, answer_after(asyncio.Event()))
        engines.append(old := LoopbackEngine(folder, platform))
        engine = await old.start()
        assert (await (await old.client()).hand_in("m"))[0] == 202
        await peer.wait_for_requests(1)
        sent_at = engine.store.messages["m"].in_flight[0][0]
        handover_target = HandoverTarget()
        assert await handover_target.request_snapshot(folder)
        engines.append(new := LoopbackEngine(folder, platform))
        new_engine = await new.start(handover_target)
        assert new_engine.remote_calls[("m", 0)][1] == sent_at
        assert new_engine.dispatcher.state.attempts[("m", 0)].call.sent_at == sent_at
        engine.handover_source.close()  # as the death of the old process does
        await peer.wait_for_requests(2)  # the idempotency window is still open
        assert (
            new_engine.dispatcher.state.messages["m"].executed_at
            == new_engine.store.messages["m"].executed_at_us
            == sent_at
        )

    play(scene, tmp_path)


def test_admin_request_during_handover_pause_takes_effect_at_the_new_process(
    tmp_path: Path,
) -> None:
    """Guards against a 503: the request was forwarded to the new process before that
    process was in its serving state.
    """

    async def scene(
        platform: Platform, folder: Path, engines: list[LoopbackEngine]
    ) -> None:
        await target(platform, answer_in_turn(OK))
        engines.append(old := LoopbackEngine(folder, platform))
        engine = await old.start()
        handover_target = HandoverTarget()
        assert (
            await handover_target.request_snapshot(folder)
            and engine.state.paused_for_handover
        )
        statuses: list[int] = []
        engine.set_detached(
            "s1", True, lambda status, text: statuses.append(int(status))
        )
        assert not statuses
        engines.append(new := LoopbackEngine(folder, platform))
        new_engine = await new.start(handover_target)
        await until(lambda: statuses)
        assert statuses == [200] and list(new_engine.store.detached) == ["s1"]

    play(scene, tmp_path)


def test_sigterm_at_both_processes_makes_the_new_one_wait_for_calls_of_the_old_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lost outcome: the new process had no call of its own in flight and
    exited before the old process reported the outcome of its call.
    """
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.ACCEPT_PERIOD_S", 0.05)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.FREEZE_AFTER_S", 0.05)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.EXIT_AFTER_S", 15.0)

    async def scene(
        platform: Platform, folder: Path, engines: list[LoopbackEngine]
    ) -> None:
        gate = asyncio.Event()
        peer = await target(platform, answer_after(gate))
        engines.append(old := LoopbackEngine(folder, platform))
        engine = await old.start()
        assert (await (await old.client()).hand_in("m", "pay"))[0] == 202
        await peer.wait_for_requests(1)
        handover_target = HandoverTarget()
        assert await handover_target.request_snapshot(folder)
        engines.append(new := LoopbackEngine(folder, platform))
        new_engine = await new.start(handover_target)
        new_engine.stop()
        engine.stop()
        await until(lambda: new_engine.frozen)
        await asyncio.sleep(
            0.2
        )  # several steps of the shutdown; correct code waits here for any length of time
        gate.set()
        assert new.task is not None and not await new.task
        assert not MessageStore(
            folder, 3_000_000, write=False
        ).messages  # delivered and recorded as finished

    play(scene, tmp_path)


class StubEngine:
    """Stands for the engine; records the calls that the program makes on signals and
    restarts.
    """

    instances: list[StubEngine]
    restarts: list[bool]

    def __init__(self, config: Any, lock: Any, successor: Any) -> None:
        self.config, self.calls = config, list[str]()
        self.instances.append(self)

    def respond_for_previous(self, previous: Any) -> None:
        pass

    def respond_from_journal(self) -> None:
        self.calls.append("answered")

    def stop(self) -> None:
        self.calls.append("stop")

    def reload(self) -> None:
        self.calls.append("reload")

    async def run(self) -> bool:
        return self.restarts.pop(0)


def stub_engine(
    monkeypatch: pytest.MonkeyPatch, restarts: list[bool], claim_journal: Any
) -> type[StubEngine]:
    class Recorded(StubEngine):
        instances: list[StubEngine] = []

    Recorded.restarts = restarts
    monkeypatch.setattr("rainfall.forwarder.process.Engine", Recorded)
    monkeypatch.setattr("rainfall.forwarder.process.claim_journal", claim_journal)
    return Recorded


def test_configuration_changed_while_new_process_waits_for_the_journal_is_used(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lost settings: SIGHUP went to the old process after the new one had
    read its configuration file.
    """
    path = tmp_path / "config.json"
    file = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "5",
        "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {"seq": 1, "whole": True, "hosts": []},
    }
    path.write_text(json.dumps({**file, "settings": SETTINGS}))
    monkeypatch.setenv("LB_CONFIG", str(path))
    monkeypatch.setenv("LB_STATE", str(tmp_path))

    async def claim_journal(lock: Any, folder: Path) -> None:
        path.write_text(
            json.dumps({**file, "settings": settings_with_classes(fresh={})})
        )

    stub = stub_engine(monkeypatch, [False], claim_journal)
    asyncio.run(serve(load_config()))
    assert "fresh" in {c.name for c in stub.instances[0].config.settings.classes}


def test_sigterm_while_a_process_waits_to_restart_ends_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that serves until SIGKILL: the signal reached the engine
    that had already ended.
    """
    claims: list[int] = []

    async def claim_journal(lock: Any, folder: Path) -> None:
        claims.append(1)
        if len(claims) == 2:
            signal.raise_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)

    stub = stub_engine(monkeypatch, [True, False], claim_journal)
    asyncio.run(
        serve(
            Config(
                "n",
                Address("127.0.0.1", 1),
                Address("127.0.0.1", 2),
                tmp_path,
                1,
                192,
                256,
                3_000_000,
                EndpointList(1, True, ()),
                parse_settings(SETTINGS),
                ("x0", "x1"),
            )
        )
    )
    assert len(stub.instances) == 1 and stub.instances[0].calls == ["answered"]
