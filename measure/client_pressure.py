"""What crowds of clients make a forwarder hold, and what other clients notice of it.

Plays each form of `tests.support.client_pressure` against a real process, with sound
clients beside it. Prints by form the peak of the resident memory, the sound clients'
answers and waits, and how the process ended.

    python -m measure.client_pressure MEMORY_MB SOCKETS SECONDS [own] [FORM ...]

With `own` the process is started with these limits as its own, too (RLIMIT_NOFILE and
RLIMIT_DATA).
"""

from __future__ import annotations

import asyncio
import resource
import sys
import tempfile
from pathlib import Path

from tests.support.client_pressure import FORMS, CrowdProcess
from tests.support.kernel_figures import memory_kb
from tests.support.loopback_peers import (
    OK,
    Node,
    Peer,
    Platform,
    answer_in_turn,
)
from tests.support.sound_clients import SoundClients

BYTES_PER_MB = 1_000_000
CROWD = 600
SOUND_CLIENTS = 5
SOUND_PAUSE_S = 0.05
MAX_OPEN = 1_000
SETTLE_S = 0.5
DELIVERY_CHECKS = 10


def clients_of(form: str) -> int:
    """Return how many clients play a form: floods and leaving clients are few."""
    if form.startswith("flood"):
        return 1
    return 20 if form.startswith("leave") else CROWD


async def watch_peak(pid: int, name: str, peak: list[int]) -> None:
    """Keep the highest value of a figure that the kernel has no peak of."""
    while True:
        peak[0] = max(peak[0], memory_kb(pid, name))
        await asyncio.sleep(0.01)


async def undelivered(sound: SoundClients, endpoint: Peer) -> set[str]:
    """Return the accepted messages that the endpoints have not received after a while."""
    missing = set(sound.accepted())
    for _ in range(DELIVERY_CHECKS):
        missing -= {r.headers.get("x-correlation-id", "") for r in endpoint.requests}
        if not missing:
            break
        await asyncio.sleep(SETTLE_S)
    return missing


async def play(
    form: str, memory_mb: int, sockets: int, seconds: float, own: bool
) -> None:
    """Play one form, and print its line."""
    platform = Platform()
    await platform.start()
    endpoint = await Peer(answer_in_turn(OK)).start()
    for number in range(10):
        platform.host(f"s{number}", endpoint.port)
    with tempfile.TemporaryDirectory() as folder:
        node = Node(
            Path(folder),
            platform,
            memory_mb=memory_mb,
            sockets=sockets,
            max_open=MAX_OPEN,
        )
        if own:
            node.process_limits = {
                resource.RLIMIT_NOFILE: sockets,
                resource.RLIMIT_DATA: memory_mb * BYTES_PER_MB,
            }
        await node.start()
        pid = node.process.pid
        base_kb = memory_kb(pid, "VmHWM")
        anonymous_kb = [0]
        watch = asyncio.create_task(watch_peak(pid, "RssAnon", anonymous_kb))
        sound = SoundClients(node.port, SOUND_PAUSE_S)
        sound.start(SOUND_CLIENTS)
        await asyncio.sleep(SETTLE_S)
        crowd = await CrowdProcess.start(node.port, form, clients_of(form), seconds)
        result = await crowd.result()
        await asyncio.sleep(SETTLE_S)
        await sound.stop()
        lost = await undelivered(sound, endpoint)
        peak_kb, ended = memory_kb(pid, "VmHWM"), node.process.returncode
        watch.cancel()
        waits = sound.waits_ms() or [0.0]
        print(
            f"{form:22} rss {base_kb} -> {peak_kb} kB (anonymous {anonymous_kb[0]}); "
            f"sound: {dict(sound.statuses())}, "
            f"median {waits[len(waits) // 2]:.1f} p99 {waits[int(len(waits) * 0.99)]:.0f} "
            f"max {waits[-1]:.0f} ms, accepted and not delivered {len(lost)}; "
            f"ended {ended}; crowd: {result}",
            flush=True,
        )
        try:
            await node.end()
        except AssertionError as error:
            print(f"  {str(error)[-1500:]}")
    endpoint.server.close()
    platform.server.close()


def main() -> None:
    """Play the forms that the command line names, or all of them."""
    memory_mb, sockets, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    arguments = sys.argv[4:]
    own = "own" in arguments
    for form in [name for name in arguments if name != "own"] or FORMS:
        asyncio.run(play(form, memory_mb, sockets, seconds, own))


if __name__ == "__main__":
    main()
