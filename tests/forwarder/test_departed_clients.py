"""Requests of clients that have left are not sent on, and an id that comes again after
its client left runs once: at the same process, after a kill, and over an upgrade.

Real processes. A process is stopped while a client sends and leaves, so that all of its
input is unread when it has left.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    Node,
    Peer,
    Platform,
    answer_in_turn,
    message,
)

MESSAGES = 60
"""More than the forwarder reads ahead of one connection."""
RESET = struct.pack("ii", 1, 0)


class Site:
    """A forwarder with one endpoint, and the ids that reached the endpoint."""

    def __init__(self, folder: Path, platform: Platform, endpoint: Peer) -> None:
        self.platform, self.endpoint = platform, endpoint
        self.node = Node(folder, platform, max_open=500)
        self.processes = [self.node]
        """All processes, which end with the scene."""

    def received(self) -> list[str]:
        return [r.headers["x-correlation-id"] for r in self.endpoint.requests]

    async def until_received(self, name: str) -> None:
        await self.endpoint.until(lambda: name in self.received())

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.node.port))


@contextmanager
def stopped(node: Node) -> Iterator[None]:
    """Stop a process; it goes on at the end of the block."""
    os.kill(node.process.pid, signal.SIGSTOP)
    try:
        yield
    finally:
        os.kill(node.process.pid, signal.SIGCONT)


def leave(client: socket.socket, how: str) -> None:
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    if how == "half-close":
        client.shutdown(socket.SHUT_WR)
    else:
        client.close()


def play(scene: Callable[[Site], Awaitable[None]], folder: Path) -> None:
    async def run() -> None:
        platform = Platform()
        await platform.start()
        endpoint = await Peer(answer_in_turn(OK)).start()
        for number in range(4):
            platform.host(f"s{number}", endpoint.port)
        site = Site(folder, platform, endpoint)
        try:
            await scene(site)
        finally:
            for node in site.processes:
                if node.process.returncode is None:
                    await node.end()

    asyncio.run(run())


def names(prefix: str, count: int = MESSAGES) -> list[str]:
    return [f"{prefix}-{number}" for number in range(count)]


def requests(ids: list[str], cls: str = "pay") -> bytes:
    return b"".join(message(name, cls) for name in ids)


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@pytest.mark.parametrize("served_before", [False, True])
def test_requests_left_unread_by_a_departed_client_are_not_sent_on(
    served_before: bool, how: str, tmp_path: Path
) -> None:
    async def scene(site: Site) -> None:
        await site.node.start()
        client = site.connect()
        if served_before:
            client.sendall(message("before", "pay"))
            await site.until_received("before")
        with stopped(site.node):
            client.sendall(requests(names("m")))
            leave(client, how)
        assert (await site.node.hand_in("after", "pay"))[0] == 202
        await site.until_received("after")
        await site.node.wait_for_metrics(lambda figures: figures["open_requests"] == 0)
        expected = ["before", "after"] if served_before else ["after"]
        assert site.received() == expected
        client.close()

    play(scene, tmp_path)


def test_client_that_leaves_in_the_middle_gets_no_further_request_sent(
    tmp_path: Path,
) -> None:
    """It reads one answer and then leaves, with the others unread."""

    async def scene(site: Site) -> None:
        await site.node.start()
        ids = names("m", 400)
        client = site.connect()
        client.sendall(requests(ids))
        await site.endpoint.wait_for_requests(1)
        with stopped(site.node):
            leave(client, "close")
            sent_before = len(site.received())
        assert (await site.node.hand_in("after", "pay"))[0] == 202
        await site.until_received("after")
        await site.node.wait_for_metrics(lambda figures: figures["open_requests"] == 0)
        figures = await site.node.figures()
        # Messages that were answered before the client left are owed, nothing else is.
        assert len(site.received()) == figures["fulfilled"]["pay"]
        assert len(site.received()) <= sent_before + 3
        assert len(set(site.received())) == len(site.received())

    play(scene, tmp_path)


def test_half_closed_client_has_an_answer_to_each_request_and_only_202_is_sent(
    tmp_path: Path,
) -> None:
    async def scene(site: Site) -> None:
        await site.node.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", site.node.port)
        ids = names("m", 200)
        writer.write(requests(ids))
        await site.endpoint.wait_for_requests(1)
        writer.write_eof()
        async with asyncio.timeout(PATIENCE):
            answers = (await reader.read()).split(b"HTTP/1.1 ")[1:]
        assert len(answers) == len(ids)
        accepted = {
            name
            for name, answer in zip(ids, answers, strict=True)
            if answer[:3] == b"202"
        }
        assert {answer[:3] for answer in answers} <= {b"202", b"429", b"503"}
        await site.node.wait_for_metrics(lambda figures: figures["open_requests"] == 0)
        assert set(site.received()) == accepted
        assert len(site.received()) == len(accepted)
        writer.close()

    play(scene, tmp_path)


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_id_that_comes_again_after_its_client_left_runs_once(
    how: str, tmp_path: Path
) -> None:
    async def scene(site: Site) -> None:
        await site.node.start()
        ids = names("m")
        client = site.connect()
        with stopped(site.node):
            client.sendall(requests(ids))
            leave(client, how)
        second = await site.node.client()
        for name in ids:
            assert (await second.hand_in(name, "pay"))[0] in (202, 429, 503)
        await site.node.wait_for_metrics(lambda figures: figures["open_requests"] == 0)
        assert len(site.received()) == len(set(site.received())) > 0
        second.writer.close()
        client.close()

    play(scene, tmp_path)


@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGTERM])
def test_delivered_id_that_comes_again_after_a_restart_runs_once(
    end: signal.Signals, tmp_path: Path
) -> None:
    """Its client left without reading the 202, and comes again."""

    async def scene(site: Site) -> None:
        await site.node.start()
        client = site.connect()
        client.sendall(message("m", "pay"))
        await site.until_received("m")
        await site.node.wait_for_metrics(
            lambda figures: figures["fulfilled"]["pay"] == 1
        )
        client.close()
        await site.node.restart(end)
        assert (await site.node.hand_in("m", "pay"))[0] == 202
        assert (await site.node.hand_in("after", "pay"))[0] == 202
        await site.until_received("after")
        await site.node.wait_for_metrics(lambda figures: figures["open_requests"] == 0)
        assert sorted(site.received()) == ["after", "m"]

    play(scene, tmp_path)


@pytest.mark.parametrize("first", ["old", "new"])
def test_id_at_both_processes_of_an_upgrade_runs_once(
    first: str, tmp_path: Path
) -> None:
    """A client of the old process sends and leaves; the ids come again at the new one,
    before or after the old one reads them.
    """

    async def scene(site: Site) -> None:
        site.node.hold_listener()
        old = await site.node.start()
        client = site.connect()
        client.sendall(message("before", "pay"))
        await site.until_received("before")
        new = await old.start_second_process()
        site.processes.append(new)
        await new.until_ready()
        ids = ["before", *names("m")]
        with stopped(old):
            client.sendall(requests(ids))
            leave(client, "close")
            if first == "new":
                await hand_in_all(new, ids)
        if first == "old":
            await hand_in_all(new, ids)
        old.process.send_signal(signal.SIGTERM)
        await hand_in_all(new, ids)
        await new.wait_for_metrics(lambda figures: figures["open_requests"] == 0)
        assert len(site.received()) == len(set(site.received())) > 1

    play(scene, tmp_path)


async def hand_in_all(node: Node, ids: list[str]) -> None:
    client = await node.client()
    for name in ids:
        assert (await client.hand_in(name, "pay"))[0] in (202, 429, 503)
    client.writer.close()
