"""Crossings at a hand-over: each of two events that meet in one moment, in the order
that a test forces.
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

from rainfall.__main__ import serve
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
from rainfall.wirehost import parse_settings
from tests.forwarder.test_handover_protocol import Giver, asks, until
from tests.forwarder.test_operations import classes
from tests.support.loopback_peers import (
    OK,
    SETTINGS,
    Answer,
    Client,
    Peer,
    Platform,
    always,
    message,
)
from tests.support.memory_disk import Hands


class Old:
    """An engine that serves on loopback sockets, as the program starts it."""

    def __init__(self, folder: Path, platform: Platform, **more: Any) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        listing = platform.listing()
        known = EndpointList(
            listing["seq"], True, tuple(parse_endpoint(raw) for raw in listing["hosts"])
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
            known,
            parse_settings(SETTINGS),
            ("x0", "x1"),
            inherited_fd=self.listener.fileno(),
            **more,
        )
        self.lock = JournalLock(folder)
        self.task: asyncio.Task[bool] | None = None

    async def start(self, successor: HandoverTarget | None = None) -> Engine:
        if successor is None:
            assert self.lock.try_acquire()
        self.engine = Engine(self.config, self.lock, successor)
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
    scene: Callable[[Platform, Path, list[Old]], Awaitable[None]], folder: Path
) -> None:
    async def run() -> None:
        platform = Platform()
        await platform.start()
        olds: list[Old] = []
        try:
            await scene(platform, folder, olds)
        finally:
            for old in reversed(olds):
                await old.end()

    asyncio.run(run())


async def target(
    platform: Platform, handler: Any, name: str = "s1", **more: Any
) -> Peer:
    peer = await Peer(handler).start()
    platform.host(name, peer.port, **more)
    return peer


def gated(gate: asyncio.Event, answer: Answer = OK) -> Any:
    async def handler(request: Any) -> Answer:
        await gate.wait()
        return answer

    return handler


def test_new_process_that_asks_while_the_disk_fails_costs_no_attempt(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It asks every 50 ms: each time what was being dialed was cut, until the message
    had no attempt left.
    """

    async def scene(platform: Platform, folder: Path, olds: list[Old]) -> None:
        peer = await target(platform, always(OK))
        olds.append(old := Old(folder, platform))
        engine = await old.start()
        gate, dialed = asyncio.Event(), asyncio.Event()
        dial = ConnectionPool.dial

        async def slow(pool: ConnectionPool, call: Any, where: Address) -> None:
            dialed.set()
            await gate.wait()
            await dial(pool, call, where)

        monkeypatch.setattr(ConnectionPool, "dial", slow)
        client = await old.client()
        assert (await client.hand_in("m", "pay"))[0] == 202
        await dialed.wait()
        engine.store.log.failed, engine.store.log.retry_at = True, float("inf")
        watch = engine.watch.task
        for _ in range(8):
            successor = HandoverTarget()
            assert not await successor.request_snapshot(folder)
            successor.connection.close()
            engine.run_round()  # what was cut goes again
        assert [m.attempts for m in engine.store.messages.values()] == [
            1
        ] and engine.watch.task is watch
        gate.set()
        await peer.got(1)
        await until(lambda: not engine.store.messages)
        assert len(peer.requests) == 1 and not engine.store.pending_notifications

    play(scene, tmp_path)


def test_old_process_serves_between_two_tries_of_a_new_one_that_is_too_slow(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A new one that takes long to read the journal asked again after 50 ms, and the
    old one stood still nearly all the time; and as each try had the same time, none
    came to its end.
    """
    now = [100.0]
    monkeypatch.setattr(
        "rainfall.forwarder.handover.source.time",
        SimpleNamespace(monotonic=lambda: now[0]),
    )

    async def scene() -> None:
        giver = Giver()
        p = giver.predecessor
        waited: list[float] = []
        for hold_s in (1.5, 3.0, 3.0):
            _, _said = await asks(giver)
            await until(lambda: giver.holds)
            giver.stands()
            assert p.hold_timer is not None
            waited.append(p.hold_timer.when() - asyncio.get_running_loop().time())
            assert hold_s - 1 < waited[-1] <= hold_s
            p.hold_timer.cancel()
            p.on_hold_timeout()  # as its timer does
            now[0] += hold_s - 0.1
            _, heard = await asks(giver)
            await until(lambda heard=heard: heard or giver.holds)
            assert heard[:1] == [{"no": True}] and not giver.holds
            now[0] += 0.1
        assert giver.resumed == 3

    asyncio.run(scene())


def test_clients_of_an_ending_old_process_are_answered_when_the_new_one_dies(
    tmp_path: Path,
) -> None:
    """Nobody answered them: the old process had given all away, and ended with their
    connections open.
    """

    async def scene(platform: Platform, folder: Path, olds: list[Old]) -> None:
        await target(platform, always(OK))
        olds.append(old := Old(folder, platform))
        engine = await old.start()
        first, second = await old.client(), await old.client()
        successor = HandoverTarget()  # the new process, as far as the test lets it come
        assert (
            await successor.request_snapshot(folder)
            and await successor.request_ownership()
        )
        engine.stop()
        for client, name in ((first, "taken"), (second, "lost")):
            client.writer.write(message(name, "pay"))
        await until(lambda: len(successor.early_messages) == 2)
        lock = JournalLock(folder)
        assert lock.try_acquire()
        kept = MessageStore(folder, 3_000_000)
        kept.append_message(
            AcceptedMessage("taken", "pay", 7, 10**16, None, "acme", b"")
        )
        kept.flush()
        # it is in the journal, and the new process dies before it says so
        kept.release()
        assert successor.connection.transport is not None
        successor.connection.transport.abort()
        lock.release()
        assert (await first.answer())[0] == 202
        assert (await second.answer())[0] == 503
        assert (
            old.task is not None and not await old.task
        )  # it ends, and does not begin anew

    play(scene, tmp_path)


def test_wait_told_while_the_old_process_syncs_its_last_round_binds_the_new_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Under `power`. The outcome was journaled, but its wait and what it taught of the
    target reached neither process's module: the new one called again at once.
    """
    hands = Hands()
    monkeypatch.setattr(
        "rainfall.forwarder.engine.engine.create_sync_thread", lambda: hands
    )

    async def scene(platform: Platform, folder: Path, olds: list[Old]) -> None:
        gate, works = asyncio.Event(), asyncio.Event()

        async def pump() -> None:
            while True:
                await works.wait()
                hands.work()
                await asyncio.sleep(0)

        pumping = asyncio.create_task(pump())
        works.set()
        peer = await target(
            platform, gated(gate, Answer(429, {"X-RateLimit-Wait-Ms": "40000"}))
        )
        await target(platform, gated(asyncio.Event()), "s2", block=8)
        olds.append(old := Old(folder, platform, power=True))
        engine = await old.start()
        client, other = await old.client(), await old.client()
        assert (await client.hand_in("m"))[0] == 202
        await peer.got(1)
        works.clear()
        other.writer.write(message("n", dest=8))
        await until(
            lambda: (
                "n" in engine.store.messages or "n" in engine.intake.pending_submissions
            )
        )
        successor = HandoverTarget()
        asked = asyncio.create_task(successor.request_snapshot(folder))
        await until(lambda: engine.state.paused_for_handover)
        gate.set()  # the answer comes while the disk syncs
        await until(lambda: ("m", 0) not in engine.pool.calls)
        works.set()
        assert await asked and (await other.answer())[0] == 202
        olds.append(new := Old(folder, platform, power=True))
        taken = await new.start(successor)
        await until(lambda: not [name for name, _ in taken.remote_calls if name == "m"])
        taken.run_round()
        place = taken.dispatcher.state.throttle_scopes[(7, -1)]
        assert (
            place.retry_after_until > taken.clock()
            and taken.dispatcher.state.messages["m"].in_flight == 0
        )
        assert len(peer.requests) == 1 and taken.store.messages["m"].attempts == 1
        works.clear()
        while hands.work():
            pass
        works.set()
        for each in reversed(olds):
            await each.end()
        olds.clear()
        pumping.cancel()

    play(scene, tmp_path)


def test_new_class_is_known_at_the_old_process_s_door_after_sighup(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its kept connections are asked once more each; a class of the new file was
    answered 404 there.
    """

    async def scene(platform: Platform, folder: Path, olds: list[Old]) -> None:
        await target(platform, always(OK))
        olds.append(old := Old(folder, platform))
        engine = await old.start()
        client = await old.client()
        assert (await client.hand_in("before", "status"))[0] == 202
        await until(lambda: not engine.store.messages)
        successor = HandoverTarget()
        assert (
            await successor.request_snapshot(folder)
            and await successor.request_ownership()
        )
        told = replace(engine.config, settings=parse_settings(classes(fresh={})))
        monkeypatch.setattr(
            "rainfall.forwarder.engine.ownership.load_replacement", lambda config: told
        )
        engine.reload()
        client.writer.write(message("m", "fresh"))
        answered = asyncio.create_task(client.answer())
        await until(lambda: len(successor.early_messages) == 2 or answered.done())
        assert [next(iter(line)) for line in successor.early_messages] == [
            "reload",
            "hand_in",
        ]
        assert successor.early_messages[1]["hand_in"][1]["class_name"] == "fresh"
        answered.cancel()
        assert successor.connection.transport is not None
        successor.connection.transport.abort()
        assert (
            old.task is not None and await old.task
        )  # it begins again from the journal

    play(scene, tmp_path)


def test_what_comes_while_all_stands_still_goes_on_at_the_new_process(
    tmp_path: Path,
) -> None:
    """Between hold and give: a request, one whose client leaves, and a drain that the
    old one never heard.
    """

    async def scene(platform: Platform, folder: Path, olds: list[Old]) -> None:
        drained, up = (
            await target(platform, always(OK)),
            await target(platform, always(OK), "s2"),
        )
        olds.append(old := Old(folder, platform))
        engine = await old.start()
        stays, goes = await old.client(), await old.client()
        successor = HandoverTarget()
        assert (
            await successor.request_snapshot(folder)
            and engine.state.paused_for_handover
        )
        stays.writer.write(message("m", "pay"))
        goes.writer.write(message("n", "pay"))
        await until(lambda: {"m", "n"} <= engine.intake.pending_submissions.keys())
        goes.writer.close()
        await until(lambda: "n" not in engine.intake.pending_submissions)
        await platform.change("s1", "draining")
        olds.append(new := Old(folder, platform))
        taken = await new.start(successor)
        status, headers = await stays.answer()
        assert status == 202 and headers["connection"] == "close"
        await up.got(1)
        await until(lambda: not taken.store.messages)
        assert not drained.requests and [
            r.headers["x-correlation-id"] for r in up.requests
        ] == ["m"]

    play(scene, tmp_path)


def test_client_that_leaves_in_the_turn_of_the_give_has_handed_nothing_over(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path, olds: list[Old]) -> None:
        peer = await target(platform, always(OK))
        olds.append(old := Old(folder, platform))
        engine = await old.start()
        client, other = await old.client(), await old.client()
        successor = HandoverTarget()
        assert await successor.request_snapshot(folder)
        client.writer.write(message("n", "pay"))
        other.writer.write(message("m", "pay"))
        await until(lambda: len(engine.intake.pending_submissions) == 2)
        assert await successor.request_ownership()
        await until(lambda: len(successor.early_messages) == 2)
        client.writer.close()  # before the new one has an engine to take it
        await until(lambda: len(successor.early_messages) == 3)
        olds.append(new := Old(folder, platform))
        new.lock.try_acquire()
        taken = new.engine = Engine(new.config, new.lock, None)
        successor.attach(taken)
        taken.run_round()
        assert list(taken.store.messages) == ["m"] and (await other.answer())[0] == 202
        taken.store.close()
        assert not peer.requests
        olds.remove(new)
        new.lock.release()
        new.listener.close()

    play(scene, tmp_path)


def test_sigterm_at_the_old_process_while_it_stands_still_ends_the_talk(
    tmp_path: Path,
) -> None:
    """It goes on as if not asked, answers, and refuses who asks again; the new one
    waits for its journal.
    """

    async def scene(platform: Platform, folder: Path, olds: list[Old]) -> None:
        peer = await target(platform, always(OK))
        olds.append(old := Old(folder, platform))
        engine = await old.start()
        client = await old.client()
        successor = HandoverTarget()
        assert (
            await successor.request_snapshot(folder)
            and engine.state.paused_for_handover
        )
        client.writer.write(message("m", "pay"))
        await until(lambda: "m" in engine.intake.pending_submissions)
        engine.stop()
        assert (
            not engine.state.paused_for_handover
            and not await successor.request_ownership()
        )
        assert (await client.answer())[0] == 202
        await peer.got(1)
        again = HandoverTarget()
        assert (
            not await again.request_snapshot(folder)
            and not JournalLock(folder).try_acquire()
        )
        again.connection.close()
        assert old.task is not None and not await old.task and len(peer.requests) == 1

    play(scene, tmp_path)


def test_repeat_window_of_a_call_out_at_the_old_process_counts_from_its_first_byte(
    tmp_path: Path,
) -> None:
    """Told late and as cut, it may have run when it was sent, and not when the
    hand-over was.
    """

    async def scene(platform: Platform, folder: Path, olds: list[Old]) -> None:
        peer = await target(platform, gated(asyncio.Event()))
        olds.append(old := Old(folder, platform))
        engine = await old.start()
        assert (await (await old.client()).hand_in("m"))[0] == 202
        await peer.got(1)
        sent_at = engine.store.messages["m"].in_flight[0][0]
        successor = HandoverTarget()
        assert await successor.request_snapshot(folder)
        olds.append(new := Old(folder, platform))
        taken = await new.start(successor)
        assert taken.remote_calls[("m", 0)][1] == sent_at
        assert taken.dispatcher.state.attempts[("m", 0)].call.sent_at == sent_at
        engine.handover_source.close()  # as its death does
        await peer.got(2)  # its window holds still
        assert (
            taken.dispatcher.state.messages["m"].executed_at
            == taken.store.messages["m"].executed_at_us
            == sent_at
        )

    play(scene, tmp_path)


def test_operators_call_during_the_hold_takes_effect_at_the_new_process(
    tmp_path: Path,
) -> None:
    """It was told to the new one before that counted itself as serving, and turned away
    with 503.
    """

    async def scene(platform: Platform, folder: Path, olds: list[Old]) -> None:
        await target(platform, always(OK))
        olds.append(old := Old(folder, platform))
        engine = await old.start()
        successor = HandoverTarget()
        assert (
            await successor.request_snapshot(folder)
            and engine.state.paused_for_handover
        )
        said: list[int] = []
        engine.set_detached("s1", True, lambda status, text: said.append(int(status)))
        assert not said
        olds.append(new := Old(folder, platform))
        taken = await new.start(successor)
        await until(lambda: said)
        assert said == [200] and list(taken.store.detached) == ["s1"]

    play(scene, tmp_path)


def test_sigterm_at_both_waits_at_the_new_one_for_what_the_old_one_has_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The new one had no call of its own out and ended: the old one's outcome had
    nobody to be told to.
    """
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.ACCEPT_PERIOD_S", 0.05)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.FREEZE_AFTER_S", 0.05)
    monkeypatch.setattr("rainfall.forwarder.engine.shutdown.EXIT_AFTER_S", 15.0)

    async def scene(platform: Platform, folder: Path, olds: list[Old]) -> None:
        gate = asyncio.Event()
        peer = await target(platform, gated(gate))
        olds.append(old := Old(folder, platform))
        engine = await old.start()
        assert (await (await old.client()).hand_in("m", "pay"))[0] == 202
        await peer.got(1)
        successor = HandoverTarget()
        assert await successor.request_snapshot(folder)
        olds.append(new := Old(folder, platform))
        taken = await new.start(successor)
        taken.stop()
        engine.stop()
        await until(lambda: taken.frozen)
        await asyncio.sleep(
            0.2
        )  # some steps of its stopping; right code waits here however long it is
        gate.set()
        assert new.task is not None and not await new.task
        assert not MessageStore(
            folder, 3_000_000, write=False
        ).messages  # delivered, and known to be

    play(scene, tmp_path)


class Stub:
    """Stands for the engine: what the program does with signals and the file around
    it.
    """

    made: list[Stub]
    ends: list[bool]

    def __init__(self, config: Any, lock: Any, successor: Any) -> None:
        self.config, self.heard = config, list[str]()
        self.made.append(self)

    def respond_for_previous(self, before: Any) -> None:
        pass

    def respond_from_journal(self) -> None:
        self.heard.append("answered")

    def stop(self) -> None:
        self.heard.append("stop")

    def reload(self) -> None:
        self.heard.append("reload")

    async def run(self) -> bool:
        return self.ends.pop(0)


def stubbed(
    monkeypatch: pytest.MonkeyPatch, ends: list[bool], claims: Any
) -> type[Stub]:
    class One(Stub):
        made: list[Stub] = []

    One.ends = ends
    monkeypatch.setattr("rainfall.__main__.Engine", One)
    monkeypatch.setattr("rainfall.__main__.claim_journal", claims)
    return One


def test_file_changed_while_the_new_process_waits_for_the_journal_is_what_it_serves_by(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """SIGHUP went to the old process, after the new one had read its file: the settings
    were lost with it.
    """
    path = tmp_path / "config.json"
    told = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "5",
        "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {"seq": 1, "whole": True, "hosts": []},
    }
    path.write_text(json.dumps({**told, "settings": SETTINGS}))
    monkeypatch.setenv("LB_CONFIG", str(path))
    monkeypatch.setenv("LB_STATE", str(tmp_path))

    async def claims(lock: Any, folder: Path) -> None:
        path.write_text(json.dumps({**told, "settings": classes(fresh={})}))

    one = stubbed(monkeypatch, [False], claims)
    asyncio.run(serve(load_config()))
    assert "fresh" in {c.name for c in one.made[0].config.settings.classes}


def test_sigterm_while_a_process_waits_to_begin_again_ends_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was told to the engine that had ended, and the process served on until
    SIGKILL.
    """
    waits: list[int] = []

    async def claims(lock: Any, folder: Path) -> None:
        waits.append(1)
        if len(waits) == 2:
            signal.raise_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)

    one = stubbed(monkeypatch, [True, False], claims)
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
    assert len(one.made) == 1 and one.made[0].heard == ["answered"]
