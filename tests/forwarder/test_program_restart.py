"""Restarts of the real program: what happens to calls in flight, spent attempts,
pending notifications and held messages.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.forwarder.test_program import node_on, play, target
from tests.support.loopback_peers import OK, Answer, Platform, answer_in_turn, hang


@pytest.mark.parametrize("sign", [signal.SIGKILL, signal.SIGTERM])
def test_call_interrupted_by_a_restart_may_have_executed(
    tmp_path: Path, sign: int
) -> None:
    """A message with an idempotency key is sent again under its key; one that must not
    be repeated fails.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        node = await node_on(folder, platform)
        assert (await node.hand_in("first", "pay"))[0] == 202
        await peer.wait_for_requests(1)
        other = await target(platform, hang, "s2", block=8)
        platform.seq += 1
        platform.news[platform.seq] = [platform.hosts["s2"]]
        await platform.note()
        while (await node.hand_in("keyed", "order", dest=8))[0] != 202:
            await asyncio.sleep(0.02)
        await other.wait_for_requests(1)
        peer.handler = other.handler = answer_in_turn(OK)
        await node.restart(sign)
        assert (await platform.notice("first"))["state"] == "failed"
        second_call = (await other.wait_for_requests(2))[1]
        assert second_call.headers["x-correlation-id"] == "keyed"
        assert (
            second_call.headers["idempotency-key"] == "key-keyed"
            and second_call.body == b"hello"
        )
        assert len(peer.requests) == 1

    play(scene, tmp_path)


@pytest.mark.parametrize("restart", [False, True])
def test_messages_of_a_session_key_are_sent_in_order_also_across_a_restart(
    tmp_path: Path, restart: bool
) -> None:
    """The session key used to be ignored, so a later message could overtake an earlier
    one of its key.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        done = asyncio.Event()
        early: list[str] = []

        async def slow(request: Any) -> Answer:
            await done.wait()
            return OK

        async def quick(request: Any) -> Answer:
            if not done.is_set():
                early.append(request.headers["x-correlation-id"])
            return OK

        first = await target(platform, slow)
        other = await target(platform, quick, "s2", block=8)
        node = await node_on(folder, platform)
        assert (await node.hand_in("a", "turns", X_Session_Key="k"))[0] == 202
        await first.wait_for_requests(1)
        assert (await node.hand_in("b", "turns", dest=8, X_Session_Key="k"))[0] == 202
        if restart:
            await node.restart()
            await first.wait_for_requests(2)
        assert (await node.hand_in("c", "turns", dest=8, X_Session_Key="l"))[0] == 202
        await other.wait_for_requests(1)
        done.set()
        await other.wait_for_requests(2)
        assert early == ["c"]
        assert [r.headers["x-correlation-id"] for r in other.requests] == ["c", "b"]

    play(scene, tmp_path)


@pytest.mark.parametrize("restart", [False, True])
def test_session_key_waits_for_the_answered_notice_of_its_failed_message(
    tmp_path: Path, restart: bool
) -> None:
    """The next message of the key used to be sent together with the notice, and could
    overtake it.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        platform.accepts = False
        early: list[str] = []

        async def record_early(request: Any) -> Answer:
            if not platform.accepts:
                early.append(request.headers["x-correlation-id"])
            return OK

        first = await target(platform, answer_in_turn(Answer(504)))
        other = await target(platform, record_early, "s2", block=8)
        node = await node_on(folder, platform, max_attempts=2)
        assert (await node.hand_in("a", "turns", X_Session_Key="k"))[0] == 202
        assert (await node.hand_in("b", "turns", dest=8, X_Session_Key="k"))[0] == 202
        await first.wait_for_requests(2)
        await platform.until(
            lambda: any(r.path == "/v1/notices" for r in platform.requests)
        )
        if restart:
            await node.restart()
        assert (await node.hand_in("c", "turns", dest=8, X_Session_Key="l"))[0] == 202
        await other.wait_for_requests(1)
        platform.accepts = True
        await other.wait_for_requests(2)
        assert early == ["c"]
        assert [r.headers["x-correlation-id"] for r in other.requests] == ["c", "b"]

    play(scene, tmp_path)


def test_attempts_before_a_restart_count_against_max_attempts(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        node = await node_on(folder, platform, max_attempts=2)
        assert (await node.hand_in("m", "status"))[0] == 202
        await peer.wait_for_requests(1)
        await node.restart()
        await peer.wait_for_requests(2)
        await node.restart()
        assert (await platform.notice("m"))["state"] == "returned"
        assert len(peer.requests) == 2

    play(scene, tmp_path)


def test_pending_notification_survives_restarts_until_the_platform_accepts_it(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, answer_in_turn(Answer(500)))
        platform.accepts = False
        node = await node_on(folder, platform)
        assert (await node.hand_in("m", "pay"))[0] == 202
        await platform.until(
            lambda: sum(r.path == "/v1/notices" for r in platform.requests) >= 2
        )
        await node.end()
        platform.accepts = True
        await node.start()
        assert (await platform.notice("m"))["state"] == "failed"
        assert (await node.hand_in("n", "pay"))[0] == 202
        await platform.notice("n")
        await node.restart()
        assert (await node.hand_in("o", "pay"))[0] == 202
        await platform.notice("o")
        assert [n["id"] for n in platform.notices].count("m") == 1

    play(scene, tmp_path)


def test_message_that_expires_while_the_process_is_down_gets_its_notice(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        node = await node_on(folder, platform)
        assert (await node.hand_in("m", "status", left="1"))[0] == 202
        await peer.wait_for_requests(1)
        await node.end()
        await asyncio.sleep(1.2)
        await node.start()
        assert (await platform.notice("m"))["state"] == "returned"
        assert len(peer.requests) == 1

    play(scene, tmp_path)


def test_torn_tail_of_the_journal_is_truncated(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        node = await node_on(folder, platform)
        assert (await node.hand_in("m", "status"))[0] == 202
        await peer.wait_for_requests(1)
        await node.end()
        with open(folder / "state/journal", "ab") as journal:
            journal.write(b"\xb7\0")
        peer.handler = answer_in_turn(OK)
        await node.start()
        assert (await peer.wait_for_requests(2))[1].headers["x-correlation-id"] == "m"
        assert any("torn tail" in line for line in node.log)
        peer.handler = (
            hang  # records written after the truncation are read at the next start
        )
        assert (await node.hand_in("n", "status"))[0] == 202
        await peer.wait_for_requests(3)
        await node.restart()
        assert (await peer.wait_for_requests(4))[3].headers["x-correlation-id"] == "n"

    play(scene, tmp_path)
