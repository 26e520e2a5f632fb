"""The process that took over is killed while the old one still has calls out: the next
process must not act beside them.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.support.kernel_figures import open_connections
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    Answer,
    Node,
    Peer,
    Platform,
    Request,
)


def is_open(client_port: int) -> bool:
    """Whether the connection from this port is open at the forwarder's side."""
    return any(c.local_port == client_port for c in open_connections())


def test_no_call_of_a_key_is_made_while_the_old_process_has_one_out(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        gate = asyncio.Event()
        still_open: list[bool] = []

        async def answer(request: Request) -> Answer:
            if request is peer.requests[0]:
                await gate.wait()
            else:
                still_open.append(is_open(first_port()))
            return OK

        def first_port() -> int:
            port: int = peer.requests[0].writer.get_extra_info("peername")[1]
            return port

        platform = Platform()
        await platform.start()
        peer = await Peer(answer).start()
        platform.host("s", peer.port)
        old = Node(tmp_path, platform)
        old.hold_listener()
        processes = [await old.start()]
        try:
            for name in ("first", "second"):
                status, _ = await old.hand_in(name, "turns", X_Session_Key="k")
                assert status == 202
            await peer.wait_for_requests(1)
            new = await old.start_second_process()
            processes.append(new)
            await new.until_ready()
            old.process.send_signal(signal.SIGTERM)
            await old.until_logged("stopping")
            await new.end()
            processes.append(await old.start_second_process())
            async with asyncio.timeout(PATIENCE):
                while len(still_open) < 2:
                    await asyncio.sleep(0.01)
            assert still_open == [False, False]
            gate.set()
        finally:
            for node in processes:
                await node.end()

    asyncio.run(scene())
