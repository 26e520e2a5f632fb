"""The real program under repeated kills, with clients, endpoints and discovery on
loopback; restoring messages at start; a full disk.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from rainfall.dispatch import MessageReceived, MessageRestored
from rainfall.forwarder.config.loading import Address, Config, EndpointList
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.engine.restoration import RESTORE_BATCH
from rainfall.forwarder.inbound.server import SubmittedMessage
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    DeliveryRules,
    MessageStore,
)
from rainfall.forwarder.outbound.connection_pool import OutboundCall
from rainfall.journal import format as f
from rainfall.wirehost import parse_settings
from tests.forwarder.test_parts import make_engine
from tests.forwarder.test_program import node_on, play, target
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    ROOT,
    SETTINGS,
    Answer,
    Node,
    Platform,
    Request,
    answer_in_turn,
    hang,
)

ROUNDS, EACH = 4, 16


class Endpoint:
    """Answers 503, hangs or answers 200 by a seeded random draw, or always 200 while
    `healthy`; records the status that each message got, 0 for a hung call.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.healthy = True
        self.calls: list[tuple[str, int]] = []

    async def __call__(self, request: Request) -> Answer | None:
        name = request.headers["x-correlation-id"]
        draw = 1.0 if self.healthy else self.random.random()
        status = 503 if draw < 0.2 else 0 if draw < 0.35 else 200
        self.calls.append((name, status))
        if not status:
            await asyncio.sleep(3600)  # the next kill cuts the call
        return Answer(status)


def configure(node: Node, **more: object) -> None:
    path = node.folder / "config.json"
    path.write_text(json.dumps({**json.loads(path.read_text()), **more}))


@pytest.mark.parametrize("level", ["process", "power"])
def test_each_accepted_message_is_finished_and_none_is_wrongly_repeated(
    tmp_path: Path, level: str
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        random_source = random.Random(11)
        endpoint = Endpoint(12)
        await target(platform, endpoint)
        await target(platform, endpoint, "s2")
        node = Node(folder, platform, max_open=400)
        configure(node, durability=level)
        await node.start()
        accepted: dict[str, str] = {}
        accepted_by_key: dict[str, list[str]] = {"A": [], "B": []}
        try:
            for round_number in range(ROUNDS):
                endpoint.healthy = False
                killer, kill_at = None, random_source.randint(6, EACH - 2)
                for n in range(EACH):
                    if n == kill_at:  # while further messages are submitted
                        killer = asyncio.create_task(node.end())
                    name, class_name = (
                        f"{round_number}-{n}",
                        random_source.choice(("pay", "order", "status", "turns")),
                    )
                    key = random_source.choice("AB") if class_name == "turns" else None
                    headers = {"X_Session_Key": key} if key else {}
                    try:
                        status, _ = await node.hand_in(name, class_name, **headers)
                    except (OSError, asyncio.IncompleteReadError):
                        # killed before its answer: the message was not accepted
                        continue
                    if status == 202:
                        accepted[name] = class_name
                        if key:
                            accepted_by_key[key].append(name)
                assert killer is not None
                await killer
                endpoint.healthy = True
                await node.start()

            def finished_ids() -> set[str]:
                delivered = {n for n, s in endpoint.calls if s == 200}
                return delivered | {x["id"] for x in platform.notices}

            async with asyncio.timeout(PATIENCE):
                while not set(accepted) <= finished_ids():
                    await asyncio.sleep(0.02)
            await node.wait_for_metrics(lambda v: v["open_requests"] == 0)
        finally:
            await node.end()
        assert len(accepted) >= ROUNDS * 4 and len(set(accepted.values())) == 4
        executions = Counter(name for name, status in endpoint.calls if status != 503)
        repeated_payments = [
            n
            for n, class_name in accepted.items()
            if class_name == "pay" and executions[n] > 1
        ]
        assert not repeated_payments
        for key, names in accepted_by_key.items():
            executed = [
                n for n, status in endpoint.calls if n in names and status != 503
            ]
            first_executions = [
                n for k, n in enumerate(executed) if n not in executed[:k]
            ]
            assert first_executions == sorted(first_executions, key=names.index), key
            assert all(
                n in executed[k - 1 : k + 1] or n not in executed[:k]
                for k, n in enumerate(executed)
            ), key
        states: dict[str, set[str]] = {}
        for x in platform.notices:
            states.setdefault(x["id"], set()).add(x["state"])
        assert all(len(s) == 1 for s in states.values())
        check = subprocess.run(
            [
                sys.executable,
                "-m",
                "rainfall.journal",
                "check",
                str(folder / "state"),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert (
            check.returncode == 0
            and " 0 messages held, 0 ends not told" in check.stdout
        )

    play(scene, tmp_path)


def test_power_durability_is_reported_and_syncs_are_counted(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, answer_in_turn(OK))
        node = Node(folder, platform)
        configure(node, durability="power")
        await node.start()
        try:
            for n in range(5):
                assert (await node.hand_in(f"m{n}", "pay"))[0] == 202
            assert await node.operate("POST", "/_endpoints/detach", b"s1") == (
                200,
                "detached\n",
            )
            check = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rainfall.journal",
                "check",
                str(folder / "state"),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await check.communicate()
            assert (
                check.returncode == 0
                and b"level power" in output
                and b"whole" in output
            )
            journal_figures = (await node.figures())["journal"]
            assert (
                journal_figures["level"] == "power"
                and journal_figures["syncs"] >= 6
                and not journal_figures["failed"]
            )
        finally:
            assert await node.end(signal.SIGTERM) == 0

    play(scene, tmp_path)


def test_handover_with_power_durability_keeps_open_messages(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = Node(folder, platform)
        old.hold_listener()
        configure(old, durability="power")
        await old.start()
        new: Node | None = None
        try:
            assert (await old.hand_in("a", "status"))[0] == 202
            await peer.wait_for_requests(1)
            new = await (await old.start_second_process()).until_ready()
            assert (await old.hand_in("b", "status"))[0] == 202
            peer.handler = answer_in_turn(OK)
            assert await old.end(signal.SIGTERM) == 0
            await new.wait_for_metrics(lambda v: v["open_requests"] == 0)
        finally:
            await old.end()
            if new is not None:
                await new.end()

    play(scene, tmp_path)


def test_newer_journal_or_unusable_folder_ends_the_start_with_one_error_line(
    tmp_path: Path,
) -> None:
    newer_header = f.FileHeader(f.VERSION + 1, 0, 1, 1, 0).encode()
    config = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "settings": SETTINGS,
    }
    (tmp_path / "config.json").write_text(json.dumps(config))
    for case in ("newer", "a folder", "a file"):
        state = tmp_path / case
        if case == "a file":
            state.write_text("not a folder")
        else:
            state.mkdir()
        if case == "newer":
            (state / "journal").write_bytes(newer_header)
        elif case == "a folder":
            (state / "journal").mkdir()
        env = {
            **os.environ,
            "LB_CONFIG": str(tmp_path / "config.json"),
            "LB_STATE": str(state),
        }
        process = subprocess.run(
            [sys.executable, "-m", "rainfall"],
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            timeout=60,
        )
        error_lines = [
            line
            for line in process.stderr.splitlines()
            if line.startswith("rainfall: cannot serve: ")
        ]
        assert (
            process.returncode == 1
            and len(error_lines) == 1
            and "Traceback" not in process.stderr
        ), process.stderr
    assert (tmp_path / "newer/journal").read_bytes() == newer_header


# Restoring messages at start


def write_journal(
    folder: Path, overdue: int, live: int, key: str | None = None
) -> None:
    """Write a journal with `overdue` messages past their deadline behind `live` ones."""
    store = MessageStore(folder, 3_000_000)
    forwarder_settings = parse_settings(SETTINGS)
    store.use_rules(
        DeliveryRules(forwarder_settings.max_attempts, forwarder_settings.classes)
    )
    for n in range(live):
        store.append_message(
            AcceptedMessage(
                f"live{n}",
                "turns" if key else "status",
                7,
                10**16,
                None,
                "acme",
                b"",
                key,
            )
        )
    for n in range(overdue):
        store.append_message(
            AcceptedMessage(f"late{n}", "status", 7, 1, None, "acme", b"")
        )
    store.close()


def test_overdue_messages_are_restored_first_and_in_batches(tmp_path: Path) -> None:
    write_journal(tmp_path, overdue=150, live=150)

    async def scene() -> None:
        tested_engine = make_engine(tmp_path)
        first = [
            x.message_id
            for x in tested_engine.pending_events
            if isinstance(x, MessageRestored)
        ]
        assert len(first) == RESTORE_BATCH and all(
            name.startswith("late") for name in first
        )
        assert (
            len(tested_engine.restoration.backlog) == 200
            and len(tested_engine.store.messages) == 300
        )
        tested_engine.pending_events.clear()
        tested_engine.restoration.restore_messages(RESTORE_BATCH)
        second = [
            x.message_id
            for x in tested_engine.pending_events
            if isinstance(x, MessageRestored)
        ]
        assert [name[:4] for name in second] == ["late"] * 50 + ["live"] * 50
        tested_engine.store.close()

    asyncio.run(scene())


def test_restored_messages_of_a_key_go_before_a_new_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a new message overtaking restored ones: it must not reach the
    dispatcher before them.
    """
    monkeypatch.setattr("rainfall.forwarder.engine.restoration.RESTORE_BATCH", 5)
    write_journal(tmp_path, overdue=5, live=3, key="K")

    class Writer:
        on_disconnect = None

        def answer(self, status: object, text: str = "", **headers: str) -> None: ...

    async def scene() -> None:
        tested_engine = make_engine(tmp_path)
        assert [x.ordering_key for x in tested_engine.restoration.backlog.values()] == [
            "K"
        ] * 3
        tested_engine.submit(
            SubmittedMessage(
                "fresh", "turns", 7, 10**16, None, "K", "acme", False, b""
            ),
            Writer(),
        )
        names = [
            x.message_id
            for x in tested_engine.pending_events
            if isinstance(x, MessageRestored | MessageReceived)
        ]
        assert (
            names[-4:] == ["live0", "live1", "live2", "fresh"]
            and not tested_engine.restoration.backlog
        )
        tested_engine.store.close()

    asyncio.run(scene())


def test_process_is_ready_before_all_messages_are_restored(tmp_path: Path) -> None:
    """With a thousand overdue messages, and a platform that accepts no notifications, a
    new message is delivered.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, answer_in_turn(OK))
        (folder / "state").mkdir()
        write_journal(folder / "state", overdue=1000, live=20)
        platform.accepts = False
        node = await node_on(folder, platform, max_open=3000)
        assert (await node.hand_in("fresh"))[0] == 202
        await peer.until(
            lambda: any(r.headers["x-correlation-id"] == "fresh" for r in peer.requests)
        )
        platform.accepts = True
        await platform.until(lambda: len({n["id"] for n in platform.notices}) == 1000)
        await node.wait_for_metrics(lambda v: v["open_requests"] == 0)
        assert {r.headers["x-correlation-id"] for r in peer.requests} == {"fresh"} | {
            f"live{n}" for n in range(20)
        }

    play(scene, tmp_path)


def power_engine(
    folder: Path, hands: object, monkeypatch: pytest.MonkeyPatch
) -> Engine:
    monkeypatch.setattr(
        "rainfall.forwarder.engine.engine.create_sync_thread", lambda: hands
    )
    listen = Address("127.0.0.1", 9)
    return Engine(
        Config(
            "n",
            listen,
            listen,
            folder,
            1,
            192,
            256,
            3_000_000,
            EndpointList(1, True, ()),
            parse_settings(SETTINGS),
            ("x0", "x1"),
            power=True,
        )
    )


def test_message_of_client_that_disconnects_during_the_sync_is_dropped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a double delivery: the client may submit the message to another
    forwarder.
    """
    from tests.support.memory_disk import ManualSyncWorker

    hands = ManualSyncWorker()

    class Writer:
        def __init__(self) -> None:
            self.on_disconnect = None
            self.statuses: list[int] = []

        def answer(self, status: int, text: str = "", **headers: str) -> None:
            self.statuses.append(int(status))

    async def scene() -> None:
        tested_engine = power_engine(tmp_path, hands, monkeypatch)
        started_calls: list[object] = []
        monkeypatch.setattr(tested_engine.pool, "start", started_calls.append)
        tested_engine.on_endpoint_list(
            EndpointList(
                2,
                True,
                tuple(make_engine(tmp_path / "other").config.known_endpoints.endpoints),
            )
        )
        while hands.work():
            pass
        writers = {name: Writer() for name in ("stays", "goes")}
        for name, writer in writers.items():
            tested_engine.submit(
                SubmittedMessage(
                    name,
                    "pay",
                    7,
                    tested_engine.clock() + 10**7,
                    None,
                    None,
                    "acme",
                    False,
                    b"",
                ),
                writer,
            )
        tested_engine.run_round()
        assert not started_calls and not any(
            each_writer.statuses for each_writer in writers.values()
        )
        assert writers["goes"].on_disconnect is not None
        writers["goes"].on_disconnect()
        second_writer = Writer()
        tested_engine.submit(
            SubmittedMessage(
                "stays",
                "pay",
                7,
                tested_engine.clock() + 10**7,
                None,
                None,
                "acme",
                False,
                b"",
            ),
            second_writer,
        )
        assert second_writer.statuses == [503]  # not accepted before the sync ends
        while hands.work():
            pass
        assert writers["stays"].statuses == [202] and writers["goes"].statuses == []
        assert [item.id for call in started_calls for item in call.items] == ["stays"]  # type: ignore[attr-defined]
        assert list(tested_engine.store.messages) == ["stays"]
        tested_engine.run_round()
        assert "goes" not in tested_engine.dispatcher.state.messages
        while hands.work():
            pass
        tested_engine.store.release()

    asyncio.run(scene())


@pytest.mark.parametrize(
    "cls, leaves",
    [("pay", False), ("order", False), ("turns", False), ("status", True)],
)
def test_unrepeatable_call_is_not_sent_without_its_journal_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cls: str, leaves: bool
) -> None:
    """Guards against an at-most-once call that is sent without its record on a full disk:
    after a kill it was sent twice.
    """

    async def scene() -> None:
        tested_engine = make_engine(tmp_path)
        started_calls: list[OutboundCall] = []
        monkeypatch.setattr(tested_engine.pool, "start", started_calls.append)
        tested_engine.run_round()
        key = "K" if cls == "turns" else None
        tested_engine.store.append_message(
            AcceptedMessage(
                "m", cls, 7, tested_engine.clock() + 10**8, None, "acme", b"", key
            )
        )
        tested_engine.store.flush()
        tested_engine.post(
            MessageRestored("m", 7, cls, tested_engine.clock() + 10**8, key)
        )
        tested_engine.store.log.max_bytes = tested_engine.store.size  # disk full
        tested_engine.run_round()
        assert [item.id for call in started_calls for item in call.items] == [
            "m"
        ] * leaves
        assert tested_engine.store.failed and not tested_engine.store.has_capacity(1)
        tested_engine.store.log.max_bytes = 3_000_000
        tested_engine.store.log.retry_at = 0
        tested_engine.store.log.retry_after_failure()
        assert not tested_engine.store.failed and tested_engine.store.has_capacity(1)
        tested_engine.store.close()

    asyncio.run(scene())


def test_message_that_cannot_be_journaled_is_rejected(tmp_path: Path) -> None:
    class Writer:
        on_disconnect = None
        statuses: list[int] = []

        def answer(self, status: int, text: str = "", **headers: str) -> None:
            self.statuses.append(int(status))

    async def scene() -> None:
        tested_engine = make_engine(tmp_path)
        tested_engine.run_round()
        tested_engine.submit(
            SubmittedMessage(
                "m",
                "status",
                7,
                tested_engine.clock() + 10**7,
                None,
                None,
                "acme",
                False,
                b"",
            ),
            Writer(),
        )
        tested_engine.store.log.max_bytes = tested_engine.store.size
        tested_engine.run_round()
        assert (
            Writer.statuses == [503]
            and not tested_engine.store.messages
            and tested_engine.metrics.throttled["status"] == 1
        )
        tested_engine.run_round()
        assert not tested_engine.dispatcher.state.messages
        tested_engine.store.close()

    asyncio.run(scene())
