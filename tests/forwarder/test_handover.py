"""A new version under load: two real processes on one folder and one listening
socket.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest

from rainfall.forwarder.handover.journal_lock import JournalLock
from tests.forwarder.test_operations import classes
from tests.forwarder.test_program import configure, folder_nodes, play, target
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    ROOT,
    Answer,
    Node,
    Peer,
    Platform,
    always,
    free_port,
    hang,
    message,
)

LONG = {"aim_us": 30_000_000}
"""No call times out before its test is over, however slow the machine: a second one is
no plain new try.
"""


async def first_on(
    folder: Path, platform: Platform, patient: bool = False, **more: Any
) -> Node:
    node = Node(folder, platform, **more)
    if patient:
        configure(node, settings=classes(order=LONG, status=LONG, turns=LONG, pay=LONG))
    node.hold_listener()
    folder_nodes[-1].append(node)
    return await node.start()


async def second(node: Node) -> Node:
    other = await node.beside()
    folder_nodes[-1].append(other)
    return await other.until_ready()


def gated(gate: asyncio.Event, answer: Answer = OK) -> Any:
    async def handler(request: Any) -> Answer:
        await gate.wait()
        return answer

    return handler


def ids(peer: Peer) -> list[str]:
    return [r.headers["x-correlation-id"] for r in peer.requests]


def test_calls_out_and_what_is_held_go_on_over_both_and_nobody_is_turned_away(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        gate = asyncio.Event()
        slow = await target(platform, gated(gate))
        other = await target(platform, always(OK), "s2", block=8)
        old = await first_on(folder, platform, patient=True)
        kept, half = await old.client(), await old.client()
        assert (await kept.hand_in("out", "turns", X_Session_Key="k"))[0] == 202
        assert (await kept.hand_in("pay", "pay"))[0] == 202
        await slow.got(1)
        assert (await kept.hand_in("next", "turns", dest=8, X_Session_Key="k"))[
            0
        ] == 202
        assert (await half.hand_in("before", "status", dest=8))[0] == 202
        new = await second(old)
        whole = message("half", "status", dest=8)
        half.writer.write(
            whole[:-3]
        )  # a request in pieces, over a connection of the old process
        assert (await new.operate("GET", "/_ready"))[0] == 200
        status, headers = await kept.hand_in(
            "later", "status", dest=8
        )  # over the old connection
        assert status == 202 and headers["connection"] == "close"
        assert (await new.hand_in("fresh", "status", dest=8))[0] == 202
        half.writer.write(whole[-3:])
        assert (await half.answer())[0] == 202
        await other.got(4)
        # All but the one whose key is still out:
        assert sorted(ids(other)) == ["before", "fresh", "half", "later"]
        gate.set()
        f = await new.shows(lambda f: f["open_requests"] == 0)
        assert sum(f["fulfilled"].values()) >= 6 and not any(f["faulted"].values())
        assert sorted(ids(slow)) == ["out", "pay"] and ids(other)[-1] == "next"
        assert await old.end(signal.SIGTERM) == 0
        assert await new.end(signal.SIGTERM) == 0
        assert (
            old.listener is not None
        )  # never shut down: the platform's own still takes connections
        socket.create_connection(old.listener.getsockname(), timeout=PATIENCE).close()
        assert not platform.notices

    play(scene, tmp_path)


def test_waits_detached_targets_and_owed_ends_hold_over_both(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        gate = asyncio.Event()
        told = await target(
            platform, gated(gate, Answer(429, {"X-RateLimit-Wait-Ms": "40000"}))
        )
        early = await target(
            platform,
            always(Answer(429, {"X-RateLimit-Wait-Ms": "40000"})),
            "s2",
            block=8,
        )
        out = await target(platform, always(OK), "s3", block=9)
        free = await target(platform, always(OK), "s4", block=9)
        await target(platform, always(Answer(500)), "s5", block=10)
        platform.accepts = False
        old = await first_on(folder, platform, patient=True)
        assert (await old.hand_in("owed", "pay", dest=10))[0] == 202
        await platform.until(
            lambda: any(r.path == "/v1/notices" for r in platform.requests)
        )
        assert (await old.operate("POST", "/_endpoints/detach", b"s3"))[0] == 200
        assert (await old.hand_in("a"))[0] == 202 and (await old.hand_in("b", dest=8))[
            0
        ] == 202
        await told.got(1)
        await early.got(1)
        await old.shows(lambda f: f["open_requests"] == 2)
        new = await second(old)
        # a wait told over a call that the old process had out binds the new one
        gate.set()
        old.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE):
            await old.process.wait()
        for n in range(4):
            assert (await new.hand_in(f"c{n}", dest=9))[0] == 202
            assert (
                (await new.hand_in(f"d{n}"))[0]
                == (await new.hand_in(f"e{n}", dest=8))[0]
                == 202
            )
            await free.got(n + 1)
        assert len(told.requests) == len(early.requests) == 1 and not out.requests
        platform.accepts = True
        assert (await platform.notice("owed"))["state"] == "failed"
        before = (await new.figures())["out_of_rotation"]
        assert (await new.operate("POST", "/_endpoints/attach", b"s3"))[0] == 200
        assert (await new.figures())["out_of_rotation"] == before - 1

    play(scene, tmp_path)


def test_operators_may_still_call_the_old_process(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, hang)
        old = await first_on(folder, platform)
        new = await second(old)
        assert (await old.operate("POST", "/_endpoints/detach", b"s1"))[0] == 200
        assert (await old.operate("POST", "/_endpoints/detach", b"nobody"))[0] == 404
        assert (await new.figures())["out_of_rotation"] == 1
        third = await second(new)  # as often as it is needed
        assert (await third.figures())["out_of_rotation"] == 1

    play(scene, tmp_path)


def test_a_new_configuration_signalled_to_the_old_process_reaches_the_new_one(
    tmp_path: Path,
) -> None:
    """It was lost: who had sent the signal saw neither a yes nor a no anywhere."""

    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, hang)
        old = await first_on(folder, platform)
        assert (await old.hand_in("out"))[0] == 202
        new = await second(old)
        configure(old, settings=classes(fresh={"deadline_us": 9_000_000}))
        old.process.send_signal(signal.SIGHUP)
        f = await new.shows(lambda f: f["cfg_accepted"] == 1)
        assert f["fulfilled"]["fresh"] == 0
        (folder / "config.json").write_text("{")
        old.process.send_signal(signal.SIGHUP)
        await new.shows(lambda f: f["cfg_invalid"] == 1)

    play(scene, tmp_path)


def test_what_the_old_process_had_out_when_it_died_goes_again(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        gone = await target(platform, hang)
        old = await first_on(folder, platform, patient=True)
        assert (await old.hand_in("m", "status"))[0] == 202
        await gone.got(1)
        await second(old)
        assert len(gone.requests) == 1  # not while it is out
        old.process.send_signal(signal.SIGKILL)
        await gone.got(2)
        assert ids(gone) == ["m", "m"]

    play(scene, tmp_path)


def test_payment_cut_with_the_old_process_fails_and_never_goes_again(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = await first_on(folder, platform)
        assert (await old.hand_in("pay", "pay"))[0] == 202
        await peer.got(1)
        await second(old)
        await old.end(signal.SIGKILL)
        assert (await platform.notice("pay"))["state"] == "failed"
        assert len(peer.requests) == 1

    play(scene, tmp_path)


HALFWAY = """
import asyncio, os, sys
from pathlib import Path
from rainfall.forwarder.handover.target import HandoverTarget

async def main():
    target = HandoverTarget()
    assert await target.request_snapshot(Path(sys.argv[1]))
    assert target.snapshot["module"]
    os.write(1, b"asked")
    os.read(0, 1)
    os._exit(9)
asyncio.run(main())
"""


@pytest.mark.parametrize("silent", [False, True])
def test_new_process_that_dies_or_hangs_half_way_leaves_the_old_one_going_on(
    tmp_path: Path, silent: bool
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = await first_on(folder, platform)
        assert (await old.hand_in("a", "status"))[0] == 202
        await peer.got(1)
        half = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            HALFWAY,
            str(folder / "state"),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert half.stdin is not None and half.stdout is not None
        assert await half.stdout.read(5) == b"asked"
        peer.handler = always(OK)
        client = await old.client()
        client.writer.write(message("b", "status"))  # comes while all stands still
        if not silent:
            half.stdin.write(b"x")
            await half.wait()
        assert (await client.answer())[0] == 202
        await old.until_logged("going on")
        assert (await old.operate("GET", "/_ready"))[0] == 200
        await peer.until(lambda: "b" in ids(peer))
        half.stdin.close()
        await half.wait()
        assert not JournalLock(
            folder / "state"
        ).try_acquire()  # it is still the one that writes
        await second(old)  # and the next one may ask again

    play(scene, tmp_path)


def test_old_process_starts_again_from_the_journal_when_the_new_one_dies_after(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = await first_on(folder, platform)
        new = await second(old)
        assert (await new.hand_in("m", "status"))[0] == 202
        await peer.got(1)
        peer.handler = always(OK)
        old.ready.clear()
        await new.end(signal.SIGKILL)
        await old.until_ready()
        await peer.got(2)
        assert ids(peer) == ["m", "m"]
        assert (await old.hand_in("n", "status"))[0] == 202
        await peer.until(lambda: "n" in ids(peer))
        assert (await old.operate("GET", "/_ready"))[0] == 200

    play(scene, tmp_path)


def test_old_process_that_dies_before_it_answers_leaves_its_journal(
    tmp_path: Path,
) -> None:
    """One that does nothing, neither answers nor ends, keeps the journal: the new one
    waits for its death.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = await first_on(folder, platform)
        assert (await old.hand_in("m", "status"))[0] == 202
        await peer.got(1)
        old.process.send_signal(signal.SIGSTOP)
        new = await old.beside()
        folder_nodes[-1].append(new)
        await new.until_logged("waiting")
        assert (await new.operate("GET", "/_ready"))[0] == 503
        assert (await new.operate("GET", "/_vars"))[0] == 503
        peer.handler = always(OK)
        old.process.send_signal(signal.SIGKILL)
        await new.until_ready()
        await peer.got(2)
        assert ids(peer) == ["m", "m"]

    play(scene, tmp_path)


def test_without_an_inherited_socket_the_new_process_opens_its_own(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, always(OK))
        old = Node(folder, platform)
        folder_nodes[-1].append(old)
        await old.start()
        new = await second(old)
        assert (await new.hand_in("m"))[0] == 202
        await peer.got(1)
        await new.shows(lambda f: f["fulfilled"]["order"] == 1)

    play(scene, tmp_path)


@pytest.mark.parametrize("fd", ["x", "999", "-1", "2"])
def test_bad_inherited_descriptor_is_told_plainly(tmp_path: Path, fd: str) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        node = Node(folder, platform)
        env = {
            **os.environ,
            "LB_CONFIG": str(folder / "config.json"),
            "LB_STATE": str(folder / "state"),
            "LB_INHERITED_FD": fd,
            "LB_ADMIN_ADDR": f"127.0.0.1:{free_port()}",
        }
        done = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rainfall",
            cwd=ROOT,
            env=env,
            stderr=asyncio.subprocess.PIPE,
        )
        assert done.stderr is not None
        text = (await done.stderr.read()).decode()
        assert (
            await done.wait() in (1, 2)
            and "rainfall: " in text
            and "Traceback" not in text
        )
        assert node.folder == folder

    play(scene, tmp_path)
