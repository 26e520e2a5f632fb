"""The list service's cost of a change: syncs per change with 200 writers at once (grouped) and one at a
time (each alone), and the time until 200 held watches are all answered after one change. Same run, in turn.

    python measure/registry_writes.py [REPEATS]
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from lemonshunt.registry.disk import Disk  # noqa: E402
from lemonshunt.registry.server import Service  # noqa: E402

WRITERS = 200


def body(n: int) -> bytes:
    op = {
        "op": "register",
        "host": f"s-{n}",
        "dial": "127.0.0.1:9",
        "site": "a",
        "class": "m",
        "block": 0,
        "share": 1.0,
        "born_ms": n,
    }
    return json.dumps({"ops": [op]}).encode()


async def ask(port: int, head: str, data: bytes = b"") -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"{head}\r\nHost: r\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data
    )
    answer = await reader.read()
    writer.close()
    return answer


async def writes(service: Service, port: int, together: bool, first: int) -> float:
    """Syncs a change when WRITERS changes come at once, or one after another."""
    before = service.disk.syncs
    calls = [ask(port, "POST /v1/hosts HTTP/1.1", body(first + n)) for n in range(WRITERS)]
    if together:
        await asyncio.gather(*calls)
    else:
        for call in calls:
            await call
    return (service.disk.syncs - before) / WRITERS


async def wake(service: Service, listen: int, write: int, n: int) -> float:
    """Milliseconds from a change being asked for until WRITERS held watches have all been answered."""
    seq = service.registry.seq
    held = [
        asyncio.ensure_future(ask(listen, f"GET /discovery/hosts?from={seq}&hold_ms=20000 HTTP/1.1"))
        for _ in range(WRITERS)
    ]
    while service.figures.watches_held < WRITERS:
        await asyncio.sleep(0.001)
    began = time.perf_counter()
    await ask(write, "POST /v1/hosts HTTP/1.1", body(10_000_000 + n))
    await asyncio.gather(*held)
    return (time.perf_counter() - began) * 1000


async def main(repeats: int) -> None:
    grouped, alone, woken = [], [], []
    with tempfile.TemporaryDirectory() as folder:
        disk = Disk(Path(folder))
        registry, _ = disk.load()
        service = Service(disk, registry)
        await service.begin_epoch(0)
        listen, write = (
            await service.listen("127.0.0.1", 0, False),
            await service.listen("127.0.0.1", 0, True),
        )
        for n in range(repeats):
            grouped.append(await writes(service, write, True, 2 * n * WRITERS))
            alone.append(await writes(service, write, False, (2 * n + 1) * WRITERS))
            woken.append(await wake(service, listen, write, n))
        await service.stop()
    for name, figures in (
        ("syncs a change, 200 at once", grouped),
        ("syncs a change, one at a time", alone),
        ("ms until 200 watches are told", woken),
    ):
        print(
            f"{name}: median {statistics.median(figures):.3f}, {min(figures):.3f} to {max(figures):.3f}"
            f" over {repeats} runs"
        )


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 5))
