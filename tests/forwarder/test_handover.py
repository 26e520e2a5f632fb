"""Handover under load: two real processes that share a state folder and a listening
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
from tests.forwarder.test_operations import settings_with_classes
from tests.forwarder.test_program import configure, play, started_nodes, target
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    ROOT,
    Answer,
    Node,
    Peer,
    Platform,
    answer_in_turn,
    free_port,
    hang,
    message,
)

LONG_AIM = {"aim_us": 30_000_000}
"""Class settings under which no call times out during a test, however slow the machine:
a second call is then never a plain retry.
"""


async def start_first(
    folder: Path, platform: Platform, long_aim: bool = False, **node_options: Any
) -> Node:
    node = Node(folder, platform, **node_options)
    if long_aim:
        configure(
            node,
            settings=settings_with_classes(
                order=LONG_AIM, status=LONG_AIM, turns=LONG_AIM, pay=LONG_AIM
            ),
        )
    node.hold_listener()
    started_nodes[-1].append(node)
    return await node.start()


async def start_second(node: Node) -> Node:
    new = await node.start_second_process()
    started_nodes[-1].append(new)
    return await new.until_ready()


def answer_after(gate: asyncio.Event, answer: Answer = OK) -> Any:
    async def handler(request: Any) -> Answer:
        await gate.wait()
        return answer

    return handler


def message_ids(peer: Peer) -> list[str]:
    return [r.headers["x-correlation-id"] for r in peer.requests]


def test_handover_continues_calls_and_held_messages_and_rejects_no_request(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        gate = asyncio.Event()
        gated_peer = await target(platform, answer_after(gate))
        fast_peer = await target(platform, answer_in_turn(OK), "s2", block=8)
        old = await start_first(folder, platform, long_aim=True)
        client, partial_client = await old.client(), await old.client()
        assert (await client.hand_in("out", "turns", X_Session_Key="k"))[0] == 202
        assert (await client.hand_in("pay", "pay"))[0] == 202
        await gated_peer.wait_for_requests(1)
        assert (await client.hand_in("next", "turns", dest=8, X_Session_Key="k"))[
            0
        ] == 202
        assert (await partial_client.hand_in("before", "status", dest=8))[0] == 202
        new = await start_second(old)
        request = message("half", "status", dest=8)
        partial_client.writer.write(
            request[:-3]
        )  # a request in two parts, over a connection of the old process
        assert (await new.operate("GET", "/_ready"))[0] == 200
        status, headers = await client.hand_in(
            "later", "status", dest=8
        )  # over the old connection
        assert status == 202 and headers["connection"] == "close"
        assert (await new.hand_in("fresh", "status", dest=8))[0] == 202
        partial_client.writer.write(request[-3:])
        assert (await partial_client.answer())[0] == 202
        await fast_peer.wait_for_requests(4)
        # All but "next", as the first message of its key is still in flight:
        assert sorted(message_ids(fast_peer)) == ["before", "fresh", "half", "later"]
        gate.set()
        figures = await new.wait_for_metrics(
            lambda figures: figures["open_requests"] == 0
        )
        assert sum(figures["fulfilled"].values()) >= 6 and not any(
            figures["faulted"].values()
        )
        assert (
            sorted(message_ids(gated_peer)) == ["out", "pay"]
            and message_ids(fast_peer)[-1] == "next"
        )
        assert await old.end(signal.SIGTERM) == 0
        assert await new.end(signal.SIGTERM) == 0
        assert (
            old.listener is not None
        )  # never shut down: the shared listener still accepts connections
        socket.create_connection(old.listener.getsockname(), timeout=PATIENCE).close()
        assert not platform.notices

    play(scene, tmp_path)


def test_throttling_detached_endpoints_and_pending_notifications_survive_handover(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        gate = asyncio.Event()
        late_throttled = await target(
            platform, answer_after(gate, Answer(429, {"X-RateLimit-Wait-Ms": "40000"}))
        )
        early_throttled = await target(
            platform,
            answer_in_turn(Answer(429, {"X-RateLimit-Wait-Ms": "40000"})),
            "s2",
            block=8,
        )
        detached = await target(platform, answer_in_turn(OK), "s3", block=9)
        attached = await target(platform, answer_in_turn(OK), "s4", block=9)
        await target(platform, answer_in_turn(Answer(500)), "s5", block=10)
        platform.accepts = False
        old = await start_first(folder, platform, long_aim=True)
        assert (await old.hand_in("owed", "pay", dest=10))[0] == 202
        await platform.until(
            lambda: any(r.path == "/v1/notices" for r in platform.requests)
        )
        assert (await old.operate("POST", "/_endpoints/detach", b"s3"))[0] == 200
        assert (await old.hand_in("a"))[0] == 202 and (await old.hand_in("b", dest=8))[
            0
        ] == 202
        await late_throttled.wait_for_requests(1)
        await early_throttled.wait_for_requests(1)
        await old.wait_for_metrics(lambda f: f["open_requests"] == 2)
        new = await start_second(old)
        # a 429 wait that answers a call of the old process also binds the new one
        gate.set()
        old.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE):
            await old.process.wait()
        for number in range(4):
            assert (await new.hand_in(f"c{number}", dest=9))[0] == 202
            assert (
                (await new.hand_in(f"d{number}"))[0]
                == (await new.hand_in(f"e{number}", dest=8))[0]
                == 202
            )
            await attached.wait_for_requests(number + 1)
        assert (
            len(late_throttled.requests) == len(early_throttled.requests) == 1
            and not detached.requests
        )
        platform.accepts = True
        assert (await platform.notice("owed"))["state"] == "failed"
        detached_before = (await new.figures())["out_of_rotation"]
        assert (await new.operate("POST", "/_endpoints/attach", b"s3"))[0] == 200
        assert (await new.figures())["out_of_rotation"] == detached_before - 1

    play(scene, tmp_path)


def test_old_process_serves_admin_requests_after_handover(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, hang)
        old = await start_first(folder, platform)
        new = await start_second(old)
        assert (await old.operate("POST", "/_endpoints/detach", b"s1"))[0] == 200
        assert (await old.operate("POST", "/_endpoints/detach", b"nobody"))[0] == 404
        assert (await new.figures())["out_of_rotation"] == 1
        third = await start_second(new)  # handovers may follow each other
        assert (await third.figures())["out_of_rotation"] == 1

    play(scene, tmp_path)


def test_sighup_at_old_process_reloads_configuration_of_new_process(
    tmp_path: Path,
) -> None:
    """Guards against a lost signal: neither process accepted or rejected the new file."""

    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, hang)
        old = await start_first(folder, platform)
        assert (await old.hand_in("out"))[0] == 202
        new = await start_second(old)
        configure(old, settings=settings_with_classes(fresh={"deadline_us": 9_000_000}))
        old.process.send_signal(signal.SIGHUP)
        figures = await new.wait_for_metrics(
            lambda figures: figures["cfg_accepted"] == 1
        )
        assert figures["fulfilled"]["fresh"] == 0
        (folder / "config.json").write_text("{")
        old.process.send_signal(signal.SIGHUP)
        await new.wait_for_metrics(lambda figures: figures["cfg_invalid"] == 1)

    play(scene, tmp_path)


def test_calls_of_killed_old_process_are_retried(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = await start_first(folder, platform, long_aim=True)
        assert (await old.hand_in("m", "status"))[0] == 202
        await peer.wait_for_requests(1)
        await start_second(old)
        assert len(peer.requests) == 1  # no retry while the call is in flight
        old.process.send_signal(signal.SIGKILL)
        await peer.wait_for_requests(2)
        assert message_ids(peer) == ["m", "m"]

    play(scene, tmp_path)


def test_payment_call_cut_by_kill_of_old_process_fails_without_retry(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = await start_first(folder, platform)
        assert (await old.hand_in("pay", "pay"))[0] == 202
        await peer.wait_for_requests(1)
        await start_second(old)
        await old.end(signal.SIGKILL)
        assert (await platform.notice("pay"))["state"] == "failed"
        assert len(peer.requests) == 1

    play(scene, tmp_path)


INTERRUPTED_TARGET = """
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
def test_old_process_resumes_when_new_process_dies_or_hangs_before_transfer(
    tmp_path: Path, silent: bool
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = await start_first(folder, platform)
        assert (await old.hand_in("a", "status"))[0] == 202
        await peer.wait_for_requests(1)
        interrupted = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            INTERRUPTED_TARGET,
            str(folder / "state"),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert interrupted.stdin is not None and interrupted.stdout is not None
        assert await interrupted.stdout.read(5) == b"asked"
        peer.handler = answer_in_turn(OK)
        client = await old.client()
        client.writer.write(
            message("b", "status")
        )  # arrives while the engine is paused
        if not silent:
            interrupted.stdin.write(b"x")
            await interrupted.wait()
        assert (await client.answer())[0] == 202
        await old.until_logged("going on")
        assert (await old.operate("GET", "/_ready"))[0] == 200
        await peer.until(lambda: "b" in message_ids(peer))
        interrupted.stdin.close()
        await interrupted.wait()
        assert not JournalLock(
            folder / "state"
        ).try_acquire()  # the old process still owns the journal
        await start_second(old)  # and a later handover succeeds

    play(scene, tmp_path)


def test_old_process_restarts_from_journal_when_new_process_dies_after_transfer(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = await start_first(folder, platform)
        new = await start_second(old)
        assert (await new.hand_in("m", "status"))[0] == 202
        await peer.wait_for_requests(1)
        peer.handler = answer_in_turn(OK)
        old.ready.clear()
        await new.end(signal.SIGKILL)
        await old.until_ready()
        await peer.wait_for_requests(2)
        assert message_ids(peer) == ["m", "m"]
        assert (await old.hand_in("n", "status"))[0] == 202
        await peer.until(lambda: "n" in message_ids(peer))
        assert (await old.operate("GET", "/_ready"))[0] == 200

    play(scene, tmp_path)


def test_new_process_takes_journal_when_stopped_old_process_is_killed(
    tmp_path: Path,
) -> None:
    """A stopped process neither answers nor exits and keeps the journal lock: the new
    process waits until the old one is killed.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        old = await start_first(folder, platform)
        assert (await old.hand_in("m", "status"))[0] == 202
        await peer.wait_for_requests(1)
        old.process.send_signal(signal.SIGSTOP)
        new = await old.start_second_process()
        started_nodes[-1].append(new)
        await new.until_logged("waiting")
        assert (await new.operate("GET", "/_ready"))[0] == 503
        assert (await new.operate("GET", "/_vars"))[0] == 503
        peer.handler = answer_in_turn(OK)
        old.process.send_signal(signal.SIGKILL)
        await new.until_ready()
        await peer.wait_for_requests(2)
        assert message_ids(peer) == ["m", "m"]

    play(scene, tmp_path)


def test_new_process_without_inherited_socket_opens_its_own(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, answer_in_turn(OK))
        old = Node(folder, platform)
        started_nodes[-1].append(old)
        await old.start()
        new = await start_second(old)
        assert (await new.hand_in("m"))[0] == 202
        await peer.wait_for_requests(1)
        await new.wait_for_metrics(lambda f: f["fulfilled"]["order"] == 1)

    play(scene, tmp_path)


@pytest.mark.parametrize("fd", ["x", "999", "-1", "2"])
def test_invalid_inherited_descriptor_is_reported_without_traceback(
    tmp_path: Path, fd: str
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        node = Node(folder, platform)
        env = {
            **os.environ,
            "LB_CONFIG": str(folder / "config.json"),
            "LB_STATE": str(folder / "state"),
            "LB_INHERITED_FD": fd,
            "LB_ADMIN_ADDR": f"127.0.0.1:{free_port()}",
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rainfall",
            cwd=ROOT,
            env=env,
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stderr is not None
        stderr = (await process.stderr.read()).decode()
        assert (
            await process.wait() in (1, 2)
            and "rainfall: " in stderr
            and "Traceback" not in stderr
        )
        assert node.folder == folder

    play(scene, tmp_path)
