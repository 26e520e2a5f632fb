"""Routine operations on the real program: the admin address, metrics and settings
reloaded by SIGHUP.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.forwarder.test_program import configure, node_on, play, target
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    ROOT,
    SETTINGS,
    Answer,
    Node,
    Platform,
    answer_in_turn,
    free_port,
    hang,
)


def settings_with_classes(**changes: dict[str, Any] | None) -> dict[str, Any]:
    """The settings with some classes changed, added or (None) dropped."""
    services = {c["name"]: c for c in SETTINGS["services"]}
    for name, change in changes.items():
        if change is None:
            del services[name]
        else:
            services[name] = {
                **SETTINGS["services"][0],
                **services.get(name, {}),
                "name": name,
                **change,
            }
    return {**SETTINGS, "services": list(services.values())}


async def reload_by_sighup(
    node: Node, key: str = "cfg_accepted", **changes: Any
) -> None:
    """Write the changes to the configuration file, send SIGHUP and wait until the figure
    `key` has grown.
    """
    before = (await node.figures())[key]
    if changes:
        configure(node, **changes)
    node.process.send_signal(signal.SIGHUP)
    await node.wait_for_metrics(lambda f: f[key] > before)


def test_each_message_is_counted_once_as_finished_or_open(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, answer_in_turn(OK))
        await target(platform, answer_in_turn(Answer(500)), "s2", block=8)
        await target(platform, hang, "s3", block=9)
        node = await node_on(folder, platform)
        zero = {"order": 0, "status": 0, "turns": 0, "pay": 0}
        first = await node.figures()
        assert first["fulfilled"] == first["throttled"] == first["faulted"] == zero
        assert first["registry_entries"] == 3 and first["out_of_rotation"] == 0
        for n in range(3):
            assert (await node.hand_in(f"good{n}"))[0] == 202
        assert (await node.hand_in("good0"))[0] == 202  # a copy is no new message
        assert (await node.hand_in("bad", "pay", dest=8))[0] == 202
        assert (await node.hand_in("spent", "status", dest=8))[0] == 202
        assert (await node.hand_in("stays", "order", dest=9))[0] == 202
        assert (await node.hand_in("late", "status", left="0.010"))[0] == 429
        assert (await node.hand_in("lost", "status", dest=77))[0] == 503
        f = await node.wait_for_metrics(
            lambda f: f["open_requests"] == 1 and f["relayed"] == 11
        )
        assert f["fulfilled"] == {**zero, "order": 3}
        assert f["faulted"] == {**zero, "pay": 1}
        assert f["throttled"] == {**zero, "status": 3}
        await node.restart()  # counts start at zero; open messages stay
        f = await node.wait_for_metrics(lambda f: f["relayed"] == 1)
        assert (
            f["open_requests"] == 1
            and f["fulfilled"] == f["faulted"] == f["throttled"] == zero
        )

    play(scene, tmp_path)


def test_invalid_admin_requests_are_rejected(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, answer_in_turn(OK))
        node = await node_on(folder, platform)
        assert (await node.operate("GET", "/_ready"))[0] == 200
        assert (await node.operate("POST", "/_ready"))[0] == 405
        assert (await node.operate("GET", "/_endpoints/detach"))[0] == 405
        assert (await node.operate("GET", "/nothing"))[0] == 404
        assert (await node.operate("POST", "/_endpoints/detach"))[0] == 400
        assert (await node.operate("POST", "/_endpoints/detach", b"\xff\x00"))[0] == 400
        assert (await node.operate("POST", "/_endpoints/detach", b"nobody"))[0] == 404
        assert (await node.operate("POST", "/_endpoints/attach", b"nobody"))[0] == 404
        assert (await node.operate("POST", "/_endpoints/detach", b"x" * 5000))[0] == 413
        for noise in (b"\x16\x03\x01 noise\r\n\r\n", b"GET /" + b"x" * 20000):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.admin)
            writer.write(noise)
            assert (await reader.read(12)).startswith(b"HTTP/1.1 4")
            writer.close()
        assert (await node.operate("GET", "/_ready"))[0] == 200

    play(scene, tmp_path)


def test_idle_admin_connections_evict_only_each_other(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, answer_in_turn(OK))
        node = await node_on(folder, platform)
        idle = [
            await asyncio.open_connection("127.0.0.1", node.admin) for _ in range(40)
        ]
        for _, writer in idle:
            writer.write(
                b"POST /_endpoints/detach HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"
            )
        assert (await node.operate("GET", "/_ready"))[0] == 200
        assert (await node.hand_in("m"))[0] == 202
        async with asyncio.timeout(
            PATIENCE
        ):  # every connection is closed in time; the newest gets a 408
            assert (await idle[-1][0].read()).startswith(b"HTTP/1.1 408")
            for reader, _ in idle:
                try:
                    await reader.read()
                except ConnectionError:
                    pass
        for _, writer in idle:
            writer.close()

    play(scene, tmp_path)


def test_stopping_process_is_not_ready_at_either_address(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, hang)
        node = await node_on(folder, platform)
        assert (await node.hand_in("m", "status"))[0] == 202
        await peer.wait_for_requests(1)
        node.process.send_signal(signal.SIGTERM)
        while not any("stopping" in line for line in node.log):
            await asyncio.sleep(0.01)
        assert (await node.operate("GET", "/_ready"))[0] == 503
        client = await node.client()
        client.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await client.answer())[0] == 503
        client.writer.close()

    play(scene, tmp_path)


def test_invalid_admin_address_ends_the_start_with_one_error_line(
    tmp_path: Path,
) -> None:
    (tmp_path / "config.json").write_text(
        json.dumps(
            {
                "name": "n",
                "listen": f"127.0.0.1:{free_port()}",
                "discovery": "127.0.0.1:1",
                "settings": SETTINGS,
            }
        )
    )
    env = {
        **os.environ,
        "LB_CONFIG": str(tmp_path / "config.json"),
        "LB_STATE": str(tmp_path),
        "LB_ADMIN_ADDR": "here",
    }
    process = subprocess.run(
        [sys.executable, "-m", "rainfall"],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (
        process.returncode == 2
        and len(process.stderr.splitlines()) == 1
        and "'here'" in process.stderr
    )


@pytest.mark.parametrize("restart", [False, True])
def test_open_messages_keep_a_class_that_is_dropped_or_changed(
    tmp_path: Path, restart: bool
) -> None:
    """Guards against a payment that is sent twice because its class has become repeatable,
    and against an open `status` message whose class is gone.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        pay_peer = await target(platform, hang)
        status_peer = await target(platform, hang, "s2", block=8)
        node = await node_on(folder, platform)
        assert (await node.hand_in("pay", "pay"))[0] == 202
        assert (await node.hand_in("status", "status", dest=8))[0] == 202
        await pay_peer.wait_for_requests(1)
        await status_peer.wait_for_requests(1)
        assert (await node.hand_in("n", "fresh"))[0] == 404
        await reload_by_sighup(
            node,
            settings=settings_with_classes(
                pay={"effect": "repeatable"}, status=None, fresh={}
            ),
        )
        assert (await node.hand_in("n", "fresh"))[0] == 202
        assert (await node.hand_in("o", "status"))[0] == 404
        figures = await node.figures()
        assert figures["fulfilled"] == {
            "order": 0,
            "status": 0,
            "turns": 0,
            "pay": 0,
            "fresh": 0,
        }
        if restart:
            pay_peer.handler = status_peer.handler = answer_in_turn(OK)
            await node.restart()
            await status_peer.wait_for_requests(2)  # retried under its old class
        else:
            status_peer.handler = answer_in_turn(OK)
            for peer in (pay_peer, status_peer):
                for request in list(peer.requests):
                    request.writer.transport.abort()
            await status_peer.wait_for_requests(2)
        assert (await platform.notice("pay"))["state"] == "failed"
        assert [r.headers["x-correlation-id"] for r in pay_peer.requests].count(
            "pay"
        ) == 1
        assert (await node.hand_in("p", "pay", dest=8))[
            0
        ] == 202  # a new message gets the new effect

    play(scene, tmp_path)


@pytest.mark.parametrize("restart", [False, True])
def test_open_messages_keep_the_attempt_limit_they_were_accepted_with(
    tmp_path: Path, restart: bool
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        throttle_then_fail = answer_in_turn(
            Answer(429, {"X-RateLimit-Wait-Ms": "1500"}), Answer(500)
        )
        peer = await target(platform, throttle_then_fail)
        node = await node_on(folder, platform, max_attempts=2)
        assert (await node.hand_in("m", "status"))[0] == 202
        await peer.wait_for_requests(1)
        await reload_by_sighup(
            node,
            settings={
                **SETTINGS,
                "allowed": {**SETTINGS["allowed"], "max_attempts": 6},
            },
        )
        if restart:
            await node.restart()
        assert (await platform.notice("m"))["state"] == "returned"
        assert len(peer.requests) == 2

    play(scene, tmp_path)


def broken_files(node: Node) -> list[str]:
    config = json.loads((node.folder / "config.json").read_text())
    text = json.dumps(config)

    def settings(**changes: Any) -> str:
        return json.dumps({**config, "settings": {**config["settings"], **changes}})

    services = config["settings"]["services"]
    allowed = config["settings"]["allowed"]
    return [
        "",
        text[: len(text) // 2],
        json.dumps({k: v for k, v in config.items() if k != "settings"}),
        json.dumps({k: v for k, v in config.items() if k != "limits"}),
        settings(allowed={k: v for k, v in allowed.items() if k != "max_attempts"}),
        settings(allowed={**allowed, "max_attempts": 0}),
        settings(allowed={**allowed, "max_attempts": -3}),
        settings(
            services=[{**services[0], "name": "new", "deadline_us": 0}, *services[1:]]
        ),
        settings(
            services=[
                {k: v for k, v in services[0].items() if k != "aim_us"},
                *services[1:],
            ]
        ),
        settings(services=[{**services[0], "aim_us": "1"}]),
    ]


def test_broken_files_change_nothing_and_are_counted(tmp_path: Path) -> None:
    """No value of a broken file takes effect, and a missing key is not replaced by a
    default.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, answer_in_turn(OK))
        node = await node_on(folder, platform)
        files = broken_files(node)
        for n, text in enumerate(files):
            (folder / "config.json").write_text(text)
            await reload_by_sighup(node, "cfg_invalid")
            assert (await node.hand_in(f"new{n}", "new"))[0] == 404
            assert (await node.hand_in(f"m{n}"))[0] == 202
        await peer.wait_for_requests(len(files))
        figures = await node.figures()
        assert (figures["cfg_accepted"], figures["cfg_invalid"]) == (0, len(files))

    play(scene, tmp_path)


async def change_health(platform: Platform, name: str, health: str) -> None:
    """Change an endpoint's health at discovery and wait until the forwarder requests the
    next version.
    """
    await platform.change(name, health)
    await platform.until(
        lambda: any(f"from={platform.seq}&" in r.path for r in platform.requests)
    )


@pytest.mark.parametrize("restart", [False, True])
def test_detached_endpoint_gets_no_call_until_attached_whatever_discovery_reports(
    tmp_path: Path, restart: bool
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        first = await target(platform, answer_in_turn(OK))
        other = await target(platform, answer_in_turn(OK), "s2")
        node = await node_on(folder, platform)
        for _ in range(2):  # detaching twice needs only one attach
            assert (await node.operate("POST", "/_endpoints/detach", b"s1\n"))[0] == 200
        if restart:
            await node.restart()
        for health in ("draining", "up", "removed", "up"):
            await change_health(platform, "s1", health)
        assert (await node.figures())["out_of_rotation"] == 1
        for n in range(8):
            assert (await node.hand_in(f"m{n}"))[0] == 202
            await other.wait_for_requests(n + 1)
        assert not first.requests
        assert (await node.operate("POST", "/_endpoints/attach", b"s1"))[0] == 200
        assert (await node.operate("POST", "/_endpoints/detach", b"s2"))[0] == 200
        assert (await node.hand_in("back"))[0] == 202
        await first.wait_for_requests(1)
        assert (await node.figures())["out_of_rotation"] == 1
        await node.restart()
        assert (await node.operate("POST", "/_endpoints/attach", b"s2"))[0] == 200
        assert (await node.figures())["out_of_rotation"] == 0

    play(scene, tmp_path)


def test_detached_endpoint_keeps_no_connection(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        first = await target(platform, answer_in_turn(OK))
        node = await node_on(folder, platform)
        assert (await node.hand_in("a"))[0] == 202
        await node.wait_for_metrics(lambda f: f["fulfilled"]["order"] == 1)
        assert (await node.operate("POST", "/_endpoints/detach", b"s1"))[0] == 200
        await first.until(lambda: first.closed == 1)
        assert (await node.operate("POST", "/_endpoints/attach", b"s1"))[0] == 200
        assert (await node.hand_in("b"))[0] == 202
        await first.wait_for_requests(2)

    play(scene, tmp_path)
