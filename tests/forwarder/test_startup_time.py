"""A restarted forwarder becomes ready before its restored messages are done, with a
full journal, an unresponsive discovery agent and a flooded listener.
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

# STANDING.md, What has to hold: 90 % of restarted forwarders are ready within this time
READY_S = 10.0
INVALID_REQUESTS = (
    b"",
    b"\r\n",
    b"POST /order HTTP/1.1\r\nX-",
    b"\x16\x03\x01",
    b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n",
)


def full_journal(folder: Path, max_bytes: int) -> int:
    """Fills a journal and returns the message count; every other message is overdue."""
    folder.mkdir()
    store = MessageStore(folder, max_bytes)
    settings = parse_settings(SETTINGS)
    store.use_rules(DeliveryRules(settings.max_attempts, settings.classes))
    message_count = 0
    while store.has_capacity(200):
        store.append_message(
            AcceptedMessage(
                f"m{message_count}",
                "status",
                7,
                10**16 if message_count % 2 else 1,
                None,
                "acme",
                b"a" * 200,
            )
        )
        message_count += 1
        if not message_count % 100:
            store.flush()
    store.close()
    return message_count


class Flood:
    """Clients that keep connecting and send nothing, a partial request, or an invalid
    one.
    """

    def __init__(self, port: int) -> None:
        self.port, self.sockets = port, list[socket.socket]()

    def burst(self, count: int) -> None:
        for n in range(count):
            client_socket = socket.create_connection(("127.0.0.1", self.port))
            with suppress(ConnectionError):
                client_socket.sendall(INVALID_REQUESTS[n % len(INVALID_REQUESTS)])
            self.sockets.append(client_socket)

    def end(self) -> None:
        for client_socket in self.sockets:
            client_socket.close()


@pytest.mark.parametrize(
    ("lists", "level"),
    [("on_request", "process"), ("pushed", "process"), ("on_request", "power")],
)
def test_ready_despite_silent_agent_full_journal_and_client_flood(
    lists: str, level: str, tmp_path: Path
) -> None:
    """The agent does not respond to requests for the list or to notifications, and the
    endpoint holds its call open. The listener's backlog is full of bad clients before
    the start, and more connect at each step.
    """

    async def scene() -> None:
        release_responses = asyncio.Event()

        async def respond_after_release(request: Request) -> Answer:
            await release_responses.wait()
            return OK

        platform, peer = Platform(), Peer(respond_after_release)
        platform_handler = platform.handler

        async def handle_after_release(request: Request) -> Answer | bytes | None:
            await release_responses.wait()
            return await platform_handler(request)

        platform.handler = handle_after_release
        await platform.start()
        await peer.start()
        platform.host("t", peer.port)
        restored_count = full_journal(tmp_path / "state", 3_000_000)
        assert restored_count > 1000
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
            assert not release_responses.is_set() and not peer.closed
            for _ in range(4):
                flood.burst(150)
                client = await node.client()
                client.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await client.answer())[0] == 200
                status, _ = await node.hand_in("fresh", "status")
                assert status in (202, 503)  # 202 if there is capacity for one more
            await platform.until(
                lambda: any(r.path == "/v1/notices" for r in platform.requests)
            )
            await peer.wait_for_requests(1)
            assert not release_responses.is_set()
            release_responses.set()  # agent and endpoint respond from here on
            flood.burst(150)
            overdue_ids = {f"m{n}" for n in range(0, restored_count, 2)}
            await platform.until(
                lambda: overdue_ids <= {n["id"] for n in platform.notices}
            )
            await peer.wait_for_requests(100)
        finally:
            release_responses.set()
            flood.end()
            await node.end()
            assert node.listener is not None
            node.listener.close()

    asyncio.run(scene())
