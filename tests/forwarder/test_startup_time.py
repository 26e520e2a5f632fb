"""A restarted process is ready before its old work is done: full journal, silent
discovery, flooded door.
"""

from __future__ import annotations

import asyncio
import json
import socket
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from rainfall.forwarder.message_store import (
    AcceptedMessage,
    DeliveryRules,
    MessageStore,
)
from rainfall.wirehost import parse_settings
from tests.support.loopback_peers import (
    OK,
    SETTINGS,
    Answer,
    Node,
    Peer,
    Platform,
    Request,
)

# STANDING.md, What has to hold: nine in ten restarted forwarders are ready within this
READY_S = 10.0
BAD = (
    b"",
    b"\r\n",
    b"POST /order HTTP/1.1\r\nX-",
    b"\x16\x03\x01",
    b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n",
)


def full_journal(folder: Path, most_bytes: int) -> int:
    """As many messages as a process takes on; every other one's time is up."""
    folder.mkdir()
    store = MessageStore(folder, most_bytes)
    made = parse_settings(SETTINGS)
    store.use_rules(DeliveryRules(made.max_attempts, made.classes))
    held = 0
    while store.has_capacity(200):
        store.append_message(
            AcceptedMessage(
                f"m{held}",
                "status",
                7,
                10**16 if held % 2 else 1,
                None,
                "acme",
                b"a" * 200,
            )
        )
        held += 1
        if not held % 100:
            store.flush()
    store.close()
    return held


class Flood:
    """Clients that come on and on, and say nothing, half of something, or what is
    wrong.
    """

    def __init__(self, port: int) -> None:
        self.port, self.socks = port, list[socket.socket]()

    def burst(self, many: int) -> None:
        for n in range(many):
            sock = socket.create_connection(("127.0.0.1", self.port))
            with suppress(ConnectionError):
                sock.sendall(BAD[n % len(BAD)])
            self.socks.append(sock)

    def end(self) -> None:
        for sock in self.socks:
            sock.close()


@pytest.mark.parametrize(
    ("lists", "level"),
    [("on_request", "process"), ("pushed", "process"), ("on_request", "power")],
)
def test_ready_before_the_agent_speaks_and_the_old_work_ends_and_the_flood_does(
    lists: str, level: str, tmp_path: Path
) -> None:
    """The agent has been asked and is silent, for the list and for notices; the target
    has a call and holds it; the door's backlog is full of bad clients from before the
    start, and more come at each step.
    """

    async def scene() -> None:
        gate = asyncio.Event()

        async def held(request: Request) -> Answer:
            await gate.wait()
            return OK

        platform, peer = Platform(), Peer(held)
        told = platform.handler

        async def silent(request: Request) -> Answer | bytes | None:
            await gate.wait()
            return await told(request)

        platform.handler = silent
        await platform.start()
        await peer.start()
        platform.host("t", peer.port)
        old = full_journal(tmp_path / "state", 3_000_000)
        assert old > 1000
        node = Node(tmp_path, platform, max_open=20_000)
        config: dict[str, Any] = json.loads((tmp_path / "config.json").read_text())
        config["settings"]["discovery"], config["durability"] = lists, level
        (tmp_path / "config.json").write_text(json.dumps(config))
        node.hold_listener()
        flood = Flood(node.port)
        try:
            flood.burst(100)
            await node.spawn()
            flood.burst(20)
            async with asyncio.timeout(READY_S):
                await node.ready.wait()
            assert not gate.is_set() and not peer.closed
            for _ in range(4):
                flood.burst(150)
                client = await node.client()
                client.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await client.answer())[0] == 200
                status, _ = await node.hand_in("fresh", "status")
                assert status in (202, 503)  # it may have room for one more
            await platform.until(
                lambda: any(r.path == "/v1/notices" for r in platform.requests)
            )
            await peer.got(1)
            assert not gate.is_set()
            gate.set()  # and now all of it comes to its end
            flood.burst(150)
            late = {f"m{n}" for n in range(0, old, 2)}
            await platform.until(lambda: late <= {n["id"] for n in platform.notices})
            await peer.got(100)
        finally:
            gate.set()
            flood.end()
            await node.end()
            assert node.listener is not None
            node.listener.close()

    asyncio.run(scene())
