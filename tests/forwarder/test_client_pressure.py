"""What clients make a real process hold stays within its memory limit, and sound clients
beside them are served.

The process has the least memory of TERMS and 1,024 descriptors, in its settings and as
its own limits.
"""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.support.client_pressure import CrowdProcess
from tests.support.kernel_figures import memory_kb
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    Node,
    Peer,
    Platform,
    answer_in_turn,
)
from tests.support.sound_clients import SoundClients

MEMORY_MB = 32
SOCKETS = 1_024
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1_024
CROWD = 600
"""More clients than the process has descriptors for clients."""
CROWD_S = 3.0
MAX_OPEN = 1_000
SOUND_CLIENTS = 3


@dataclass
class Scene:
    """A forwarder at its least memory, with its endpoint and sound clients."""

    node: Node
    endpoint: Peer
    sound: SoundClients

    def peak_bytes(self) -> int:
        """Return the peak of the resident memory; fails if the process has ended."""
        assert self.node.process.returncode is None, "".join(self.node.log)
        return memory_kb(self.node.process.pid, "VmHWM") * BYTES_PER_KB

    def received(self) -> list[str]:
        """Return the ids of the messages that reached the endpoint."""
        return [r.headers.get("x-correlation-id", "") for r in self.endpoint.requests]

    async def play_crowd(self, form: str, clients: int) -> None:
        crowd = await CrowdProcess.start(self.node.port, form, clients, CROWD_S)
        await crowd.result()

    async def check_sound_clients(self) -> None:
        """Each message of a sound client has its answer, and each accepted one its end."""
        await self.sound.stop()
        assert self.sound.accepted()
        assert not [reply for reply in self.sound.replies if reply.cause], (
            self.sound.statuses()
        )
        async with asyncio.timeout(PATIENCE):
            while not set(self.sound.accepted()) <= set(self.received()):
                await asyncio.sleep(0.05)
        assert len(self.received()) == len(set(self.received()))


def play(scene: Callable[[Scene], Awaitable[None]], folder: Path) -> None:
    async def run() -> None:
        platform = Platform()
        await platform.start()
        endpoint = await Peer(answer_in_turn(OK)).start()
        for number in range(10):
            platform.host(f"s{number}", endpoint.port)
        node = Node(
            folder, platform, memory_mb=MEMORY_MB, sockets=SOCKETS, max_open=MAX_OPEN
        )
        node.process_limits = {
            resource.RLIMIT_NOFILE: SOCKETS,
            resource.RLIMIT_DATA: MEMORY_MB * BYTES_PER_MB,
        }
        await node.start()
        sound = SoundClients(node.port, pause_s=0.05, patience_s=PATIENCE)
        sound.start(SOUND_CLIENTS)
        try:
            await scene(Scene(node, endpoint, sound))
        finally:
            await node.end()

    asyncio.run(run())


@pytest.mark.parametrize(
    "form",
    [
        "slow-body",
        "half-body",
        "half-chunked-body",
        "many-fields",
        "many-fields-slowly",
        "many-fields-then-body",
        "pipelined-heads",
        "pipelined-bodies",
        "large-messages",
        "unread-responses",
        "short-lived",
        "idle",
        "silent",
    ],
)
def test_hundreds_of_clients_stay_within_the_memory_limit(
    form: str, tmp_path: Path
) -> None:
    async def scene(scene: Scene) -> None:
        await scene.play_crowd(form, CROWD)
        assert scene.peak_bytes() <= MEMORY_MB * BYTES_PER_MB
        await scene.check_sound_clients()

    play(scene, tmp_path)


@pytest.mark.parametrize(
    "form",
    [
        "flood-small",
        "flood-unread",
        "flood-unsound",
        "flood-malformed",
        "flood-new-paths",
        "flood-new-accounts",
        "flood-new-destinations",
        "flood-new-fields",
        "flood-new-ids",
        "flood-new-session-keys",
        "flood-one-id",
    ],
)
def test_one_client_at_full_speed_neither_fills_memory_nor_starves_others(
    form: str, tmp_path: Path
) -> None:
    async def scene(scene: Scene) -> None:
        await scene.play_crowd(form, 1)
        assert scene.peak_bytes() <= MEMORY_MB * BYTES_PER_MB
        await scene.check_sound_clients()

    play(scene, tmp_path)
