"""The list service's cost of a change: syncs per change with 200 writers at once
(grouped) and one at a time (each alone), the time until 200 held watches are all
answered after one change, and what the beats of 200 members cost, each on a connection
of its own. Same run, in turn.

    python -m measure.registry_writes [REPEATS]
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from rainfall.lease.types import LeaseSettings
from rainfall.registry.server import RegistryServer
from rainfall.registry.storage import Storage

WRITERS = 200


def change_body(n: int) -> bytes:
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


async def send_request(port: int, head: str, data: bytes = b"") -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"{head}\r\nHost: r\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
        + data
    )
    answer = await reader.read()
    writer.close()
    return answer


async def syncs_per_change(
    service: RegistryServer, port: int, together: bool, first: int
) -> float:
    """Syncs a change when WRITERS changes come at once, or one after another."""
    before = service.storage.sync_count
    calls = [
        send_request(port, "POST /v1/hosts HTTP/1.1", change_body(first + n))
        for n in range(WRITERS)
    ]
    if together:
        await asyncio.gather(*calls)
    else:
        for call in calls:
            await call
    return (service.storage.sync_count - before) / WRITERS


async def wake_ms(service: RegistryServer, listen: int, write: int, n: int) -> float:
    """Milliseconds from a change being asked for until WRITERS held watches have all
    been answered.
    """
    seq = service.registry.seq
    held = [
        asyncio.ensure_future(
            send_request(
                listen, f"GET /discovery/hosts?from={seq}&hold_ms=20000 HTTP/1.1"
            )
        )
        for _ in range(WRITERS)
    ]
    while service.metrics.watches_held < WRITERS:
        await asyncio.sleep(0.001)
    began = time.perf_counter()
    await send_request(write, "POST /v1/hosts HTTP/1.1", change_body(10_000_000 + n))
    await asyncio.gather(*held)
    return (time.perf_counter() - began) * 1000


async def send_heartbeat(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body: dict[str, Any]
) -> Any:
    """One beat on a kept connection: the answer, and the bytes of both."""
    data = json.dumps(body).encode()
    sent = (
        f"POST /v1/fleet/beat HTTP/1.1\r\nHost: r\r\nContent-Length: {len(data)}\r\n\r\n".encode()
        + data
    )
    writer.write(sent)
    head = await reader.readuntil(b"\r\n\r\n")
    length = next(
        int(x[15:])
        for x in head.split(b"\r\n")
        if x.lower().startswith(b"content-length:")
    )
    return json.loads(await reader.readexactly(length)), len(sent), len(head) + length


async def measure_members(
    folder: Path, rounds: int
) -> tuple[float, float, float, float]:
    """Milliseconds for WRITERS joins at once, then beats a second and bytes of a beat
    and of its answer.
    """
    disk = Storage(folder)
    registry, _ = disk.load()
    ahead = [0]
    service = RegistryServer(
        disk, registry, now_us=lambda: time.monotonic_ns() // 1000 + ahead[0]
    )
    await service.begin_history()
    await service.start_fleet(LeaseSettings(0.02, 1_000, 60_000_000), 60_000_000)
    ahead[0] = 62_000_000  # the wait after a start on an empty folder
    port = await service.listen_fleet("127.0.0.1", 0)
    links = [await asyncio.open_connection("127.0.0.1", port) for _ in range(WRITERS)]
    bodies: list[dict[str, Any]] = [
        {
            "name": f"f{n}",
            "site": "a",
            "dial": f"127.0.0.1:{n}",
            "token": None,
            "sent": 0,
        }
        for n in range(WRITERS)
    ]
    began = time.perf_counter()
    joined = await asyncio.gather(
        *(send_heartbeat(*link, body) for link, body in zip(links, bodies, strict=True))
    )
    joins = (time.perf_counter() - began) * 1000
    for body, (told, _, _) in zip(bodies, joined, strict=True):
        body.update(token=told["token"], list=told["list"])
    out = back = 0
    began = time.perf_counter()
    for _ in range(rounds):
        for body, (told, sent, got) in zip(
            bodies,
            await asyncio.gather(
                *(
                    send_heartbeat(*link, body)
                    for link, body in zip(links, bodies, strict=True)
                )
            ),
            strict=True,
        ):
            body["list"] = told["list"]
            out, back = out + sent, back + got
    took, count = time.perf_counter() - began, rounds * WRITERS
    for _, writer in links:
        writer.close()
    await service.stop()
    return joins, count / took, out / count, back / count


async def main(repeats: int) -> None:
    grouped, alone, woken = [], [], []
    with tempfile.TemporaryDirectory() as folder:
        disk = Storage(Path(folder))
        registry, _ = disk.load()
        service = RegistryServer(disk, registry)
        await service.begin_history()
        listen, write = (
            await service.listen("127.0.0.1", 0, False),
            await service.listen("127.0.0.1", 0, True),
        )
        for n in range(repeats):
            grouped.append(
                await syncs_per_change(service, write, True, 2 * n * WRITERS)
            )
            alone.append(
                await syncs_per_change(service, write, False, (2 * n + 1) * WRITERS)
            )
            woken.append(await wake_ms(service, listen, write, n))
        await service.stop()
    fleets = []
    for _ in range(repeats):
        with tempfile.TemporaryDirectory() as folder:
            fleets.append(await measure_members(Path(folder), 20))
    joins, rate, out, back = (list(x) for x in zip(*fleets, strict=True))
    for name, figures in (
        ("ms until 200 members have joined", joins),
        ("beats a second, 200 connections, client in the same process", rate),
        ("bytes of a beat", out),
        ("bytes of its answer, members told as changes", back),
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
