"""The real program, killed again and again, with real clients, endpoints and list on
loopback.
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
from tests.forwarder.test_parts import engine
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
    always,
    hang,
)

ROUNDS, EACH = 4, 16


class Endpoint:
    """Answers by a seeded chance, and keeps what each message got."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.kind = True
        self.calls: list[tuple[str, int]] = []

    async def __call__(self, request: Request) -> Answer | None:
        name = request.headers["x-correlation-id"]
        chance = 1.0 if self.kind else self.random.random()
        status = 503 if chance < 0.2 else 0 if chance < 0.35 else 200
        self.calls.append((name, status))
        if not status:
            await asyncio.sleep(3600)  # cut by the next kill
        return Answer(status)


def configure(node: Node, **more: object) -> None:
    path = node.folder / "config.json"
    path.write_text(json.dumps({**json.loads(path.read_text()), **more}))


@pytest.mark.parametrize("level", ["process", "power"])
def test_each_accepted_message_has_its_end_and_no_forbidden_copy(
    tmp_path: Path, level: str
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        chance = random.Random(11)
        end = Endpoint(12)
        await target(platform, end)
        await target(platform, end, "s2")
        node = Node(folder, platform, max_open=400)
        configure(node, durability=level)
        await node.start()
        accepted: dict[str, str] = {}
        handed: dict[str, list[str]] = {"A": [], "B": []}
        try:
            for turn in range(ROUNDS):
                end.kind = False
                killer, last = None, chance.randint(6, EACH - 2)
                for n in range(EACH):
                    if n == last:  # while the next ones are being handed in
                        killer = asyncio.create_task(node.end())
                    name, cls = (
                        f"{turn}-{n}",
                        chance.choice(("pay", "order", "status", "turns")),
                    )
                    key = chance.choice("AB") if cls == "turns" else None
                    more = {"X_Session_Key": key} if key else {}
                    try:
                        status, _ = await node.hand_in(name, cls, **more)
                    except (OSError, asyncio.IncompleteReadError):
                        # killed before its answer: nobody was promised anything
                        continue
                    if status == 202:
                        accepted[name] = cls
                        if key:
                            handed[key].append(name)
                assert killer is not None
                await killer
                end.kind = True
                await node.start()

            def ends() -> set[str]:
                delivered = {n for n, s in end.calls if s == 200}
                return delivered | {x["id"] for x in platform.notices}

            async with asyncio.timeout(PATIENCE):
                while not set(accepted) <= ends():
                    await asyncio.sleep(0.02)
            await node.shows(lambda v: v["open_requests"] == 0)
        finally:
            await node.end()
        assert len(accepted) >= ROUNDS * 4 and len(set(accepted.values())) == 4
        ran = Counter(name for name, status in end.calls if status != 503)
        doubled = [n for n, cls in accepted.items() if cls == "pay" and ran[n] > 1]
        assert not doubled
        for key, names in handed.items():
            seen = [n for n, status in end.calls if n in names and status != 503]
            first = [n for k, n in enumerate(seen) if n not in seen[:k]]
            assert first == sorted(first, key=names.index), key
            assert all(
                n in seen[k - 1 : k + 1] or n not in seen[:k]
                for k, n in enumerate(seen)
            ), key
        states: dict[str, set[str]] = {}
        for x in platform.notices:
            states.setdefault(x["id"], set()).add(x["state"])
        assert all(len(s) == 1 for s in states.values())
        done = subprocess.run(
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
            done.returncode == 0 and " 0 messages held, 0 ends not told" in done.stdout
        )

    play(scene, tmp_path)


def test_power_is_shown_and_counted_and_operators_hear_yes(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, always(OK))
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
            beside = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rainfall.journal",
                "check",
                str(folder / "state"),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
            )
            said, _ = await beside.communicate()
            assert (
                beside.returncode == 0 and b"level power" in said and b"whole" in said
            )
            shown = (await node.figures())["journal"]
            assert (
                shown["level"] == "power"
                and shown["syncs"] >= 6
                and not shown["failed"]
            )
        finally:
            assert await node.end(signal.SIGTERM) == 0

    play(scene, tmp_path)


def test_upgrade_under_power_carries_what_is_held(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = Node(folder, platform)
        old.hold_listener()
        configure(old, durability="power")
        await old.start()
        new: Node | None = None
        try:
            assert (await old.hand_in("a", "status"))[0] == 202
            await peer.got(1)
            new = await (await old.beside()).until_ready()
            assert (await old.hand_in("b", "status"))[0] == 202
            peer.handler = always(OK)
            assert await old.end(signal.SIGTERM) == 0
            await new.shows(lambda v: v["open_requests"] == 0)
        finally:
            await old.end()
            if new is not None:
                await new.end()

    play(scene, tmp_path)


def test_a_newer_journal_and_a_folder_that_cannot_be_used_end_the_start_in_one_line(
    tmp_path: Path,
) -> None:
    newer = f.FileHeader(f.VERSION + 1, 0, 1, 1, 0).encode()
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
            (state / "journal").write_bytes(newer)
        elif case == "a folder":
            (state / "journal").mkdir()
        env = {
            **os.environ,
            "LB_CONFIG": str(tmp_path / "config.json"),
            "LB_STATE": str(state),
        }
        done = subprocess.run(
            [sys.executable, "-m", "rainfall"],
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            timeout=60,
        )
        said = [
            line
            for line in done.stderr.splitlines()
            if line.startswith("rainfall: cannot serve: ")
        ]
        assert (
            done.returncode == 1 and len(said) == 1 and "Traceback" not in done.stderr
        ), done.stderr
    assert (tmp_path / "newer/journal").read_bytes() == newer


# Service returns in order


def filled(folder: Path, overdue: int, live: int, key: str | None = None) -> None:
    """A journal with messages whose time is up, behind others that have time left."""
    store = MessageStore(folder, 3_000_000)
    made = parse_settings(SETTINGS)
    store.use_rules(DeliveryRules(made.max_attempts, made.classes))
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


def test_the_overdue_are_told_first_and_in_batches(tmp_path: Path) -> None:
    filled(tmp_path, overdue=150, live=150)

    async def scene() -> None:
        e = engine(tmp_path)
        first = [
            x.message_id for x in e.pending_events if isinstance(x, MessageRestored)
        ]
        assert len(first) == RESTORE_BATCH and all(
            name.startswith("late") for name in first
        )
        assert len(e.restoration.backlog) == 200 and len(e.store.messages) == 300
        e.pending_events.clear()
        e.restoration.restore_messages(RESTORE_BATCH)
        second = [
            x.message_id for x in e.pending_events if isinstance(x, MessageRestored)
        ]
        assert [name[:4] for name in second] == ["late"] * 50 + ["live"] * 50
        e.store.close()

    asyncio.run(scene())


def test_old_messages_of_a_key_go_before_a_fresh_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Told to the module after the fresh one, they would be overtaken by it."""
    monkeypatch.setattr("rainfall.forwarder.engine.restoration.RESTORE_BATCH", 5)
    filled(tmp_path, overdue=5, live=3, key="K")

    class Door:
        on_disconnect = None

        def answer(self, status: object, text: str = "", **headers: str) -> None: ...

    async def scene() -> None:
        e = engine(tmp_path)
        assert [x.ordering_key for x in e.restoration.backlog.values()] == ["K"] * 3
        e.submit(
            SubmittedMessage(
                "fresh", "turns", 7, 10**16, None, "K", "acme", False, b""
            ),
            Door(),
        )
        names = [
            x.message_id
            for x in e.pending_events
            if isinstance(x, MessageRestored | MessageReceived)
        ]
        assert (
            names[-4:] == ["live0", "live1", "live2", "fresh"]
            and not e.restoration.backlog
        )
        e.store.close()

    asyncio.run(scene())


def test_ready_comes_before_the_old_work_is_done(tmp_path: Path) -> None:
    """A thousand overdue messages, and a discovery that takes no notices: a fresh
    message is delivered.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, always(OK))
        (folder / "state").mkdir()
        filled(folder / "state", overdue=1000, live=20)
        platform.accepts = False
        node = await node_on(folder, platform, max_open=3000)
        assert (await node.hand_in("fresh"))[0] == 202
        await peer.until(
            lambda: any(r.headers["x-correlation-id"] == "fresh" for r in peer.requests)
        )
        platform.accepts = True
        await platform.until(lambda: len({n["id"] for n in platform.notices}) == 1000)
        await node.shows(lambda v: v["open_requests"] == 0)
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


def test_a_client_that_leaves_during_the_sync_has_handed_nothing_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may hand the message in elsewhere: sent on from here too, it would go
    twice.
    """
    from tests.support.memory_disk import Hands

    hands = Hands()

    class Door:
        def __init__(self) -> None:
            self.on_disconnect = None
            self.said: list[int] = []

        def answer(self, status: int, text: str = "", **headers: str) -> None:
            self.said.append(int(status))

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
        doors = {name: Door() for name in ("stays", "goes")}
        for name, door in doors.items():
            e.submit(
                SubmittedMessage(
                    name, "pay", 7, e.clock() + 10**7, None, None, "acme", False, b""
                ),
                door,
            )
        e.run_round()
        assert not started and not any(d.said for d in doors.values())
        assert doors["goes"].on_disconnect is not None
        doors["goes"].on_disconnect()
        again = Door()
        e.submit(
            SubmittedMessage(
                "stays", "pay", 7, e.clock() + 10**7, None, None, "acme", False, b""
            ),
            again,
        )
        assert again.said == [503]  # not before it is known to be kept
        while hands.work():
            pass
        assert doors["stays"].said == [202] and doors["goes"].said == []
        assert [item.id for call in started for item in call.items] == ["stays"]  # type: ignore[attr-defined]
        assert list(e.store.messages) == ["stays"]
        e.run_round()
        assert "goes" not in e.dispatcher.state.messages
        while hands.work():
            pass
        e.store.release()

    asyncio.run(scene())


@pytest.mark.parametrize(
    "cls, leaves",
    [("pay", False), ("order", False), ("turns", False), ("status", True)],
)
def test_what_a_restart_could_double_does_not_leave_without_its_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cls: str, leaves: bool
) -> None:
    """On a full disk a once-only call used to leave without its record: killed then, it
    went twice.
    """

    async def scene() -> None:
        e = engine(tmp_path)
        started: list[OutboundCall] = []
        monkeypatch.setattr(e.pool, "start", started.append)
        e.run_round()
        key = "K" if cls == "turns" else None
        e.store.append_message(
            AcceptedMessage("m", cls, 7, e.clock() + 10**8, None, "acme", b"", key)
        )
        e.store.flush()
        e.post(MessageRestored("m", 7, cls, e.clock() + 10**8, key))
        e.store.log.max_bytes = e.store.size  # nothing more fits
        e.run_round()
        assert [item.id for call in started for item in call.items] == ["m"] * leaves
        assert e.store.failed and not e.store.has_capacity(1)
        e.store.log.max_bytes = 3_000_000
        e.store.log.retry_at = 0
        e.store.log.retry_after_failure()
        assert not e.store.failed and e.store.has_capacity(1)
        e.store.close()

    asyncio.run(scene())


def test_a_message_that_cannot_be_written_is_not_accepted(tmp_path: Path) -> None:
    class Door:
        on_disconnect = None
        said: list[int] = []

        def answer(self, status: int, text: str = "", **headers: str) -> None:
            self.said.append(int(status))

    async def scene() -> None:
        e = engine(tmp_path)
        e.run_round()
        e.submit(
            SubmittedMessage(
                "m", "status", 7, e.clock() + 10**7, None, None, "acme", False, b""
            ),
            Door(),
        )
        e.store.log.max_bytes = e.store.size
        e.run_round()
        assert (
            Door.said == [503]
            and not e.store.messages
            and e.metrics.throttled["status"] == 1
        )
        e.run_round()
        assert not e.dispatcher.state.messages
        e.store.close()

    asyncio.run(scene())
