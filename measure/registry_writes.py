"""Measures the cost of changes, watches and heartbeats in the list service.

    python -m measure.registry_writes [REPEATS]

Run from the root of the repository. Prints the syncs per change with 200 concurrent writers
and with one writer at a time, the time until 200 watches are answered after a change, and
the cost of the heartbeats of 200 members, each on its own connection.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from measure.reporting import repeats_argument
from rainfall.lease.types import LeaseSettings
from rainfall.registry.server import RegistryServer
from rainfall.registry.service_context import monotonic_us
from rainfall.registry.storage import Storage

WRITERS = 200
"""Number of writers, of watches and of members."""
HEARTBEAT_ROUNDS = 20
DEFAULT_REPEATS = 5
MS_PER_S = 1000
FIRST_WATCHED_HOST = 10_000_000
"""Host number of the first change that wakes watches, above all other host numbers."""
LEASE_TTL_US = 60_000_000
START_WAIT_US = 62_000_000
"""Time that the service waits after a start on an empty folder before it grants leases."""
POLL_INTERVAL_S = 0.001


class HeartbeatExchange(NamedTuple):
    """A decoded response, with the sizes of request and response in bytes."""

    response: Any
    sent_bytes: int
    received_bytes: int


class MembersCost(NamedTuple):
    """The cost of the members of a fleet."""

    join_ms: float
    """Time until all members have joined, with concurrent requests."""
    heartbeats_per_s: float
    request_bytes: float
    """Average size of a heartbeat's request."""
    response_bytes: float


def change_body(number: int) -> bytes:
    """The JSON body of a change that registers one host."""
    operation = {
        "op": "register",
        "host": f"s-{number}",
        "dial": "127.0.0.1:9",
        "site": "a",
        "class": "m",
        "block": 0,
        "share": 1.0,
        "born_ms": number,
    }
    return json.dumps({"ops": [operation]}).encode()


async def send_request(port: int, head: str, data: bytes = b"") -> bytes:
    """Send a request on a new connection, and return the raw response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"{head}\r\nHost: r\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
        + data
    )
    response = await reader.read()
    writer.close()
    return response


async def syncs_per_change(
    service: RegistryServer, port: int, concurrent: bool, first: int
) -> float:
    """Syncs per change for `WRITERS` changes, sent concurrently or one after another."""
    before = service.storage.sync_count
    calls = [
        send_request(port, "POST /v1/hosts HTTP/1.1", change_body(first + index))
        for index in range(WRITERS)
    ]
    if concurrent:
        await asyncio.gather(*calls)
    else:
        for call in calls:
            await call
    return (service.storage.sync_count - before) / WRITERS


async def wake_ms(
    service: RegistryServer, listen: int, write: int, host_number: int
) -> float:
    """Milliseconds from a change until all `WRITERS` watches have been answered."""
    seq = service.registry.seq
    watches = [
        asyncio.ensure_future(
            send_request(
                listen, f"GET /discovery/hosts?from={seq}&hold_ms=20000 HTTP/1.1"
            )
        )
        for _ in range(WRITERS)
    ]
    while service.metrics.watches_held < WRITERS:
        await asyncio.sleep(POLL_INTERVAL_S)
    began_s = time.perf_counter()
    await send_request(write, "POST /v1/hosts HTTP/1.1", change_body(host_number))
    await asyncio.gather(*watches)
    return (time.perf_counter() - began_s) * MS_PER_S


async def send_heartbeat(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body: dict[str, Any]
) -> HeartbeatExchange:
    """Send a heartbeat on an open connection, and read the response."""
    data = json.dumps(body).encode()
    sent = (
        f"POST /v1/fleet/beat HTTP/1.1\r\nHost: r\r\nContent-Length: {len(data)}\r\n\r\n".encode()
        + data
    )
    writer.write(sent)
    head = await reader.readuntil(b"\r\n\r\n")
    length = next(
        int(line.partition(b":")[2])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length:")
    )
    response = json.loads(await reader.readexactly(length))
    return HeartbeatExchange(response, len(sent), len(head) + length)


async def measure_members(folder: Path, rounds: int) -> MembersCost:
    """Let `WRITERS` members join, and send `rounds` heartbeats from each."""
    storage = Storage(folder)
    registry, _ = storage.load()
    clock_lead_us = 0

    def now_us() -> int:
        return monotonic_us() + clock_lead_us

    service = RegistryServer(storage, registry, now_us=now_us)
    await service.begin_history()
    await service.start_fleet(LeaseSettings(0.02, 1_000, LEASE_TTL_US), LEASE_TTL_US)
    clock_lead_us = START_WAIT_US
    port = await service.listen_fleet("127.0.0.1", 0)
    connections = [
        await asyncio.open_connection("127.0.0.1", port) for _ in range(WRITERS)
    ]
    bodies: list[dict[str, Any]] = [
        {
            "name": f"f{number}",
            "site": "a",
            "dial": f"127.0.0.1:{number}",
            "token": None,
            "sent": 0,
        }
        for number in range(WRITERS)
    ]

    async def send_all() -> list[HeartbeatExchange]:
        return await asyncio.gather(
            *(
                send_heartbeat(reader, writer, body)
                for (reader, writer), body in zip(connections, bodies, strict=True)
            )
        )

    began_s = time.perf_counter()
    joins = await send_all()
    join_ms = (time.perf_counter() - began_s) * MS_PER_S
    for body, join in zip(bodies, joins, strict=True):
        body.update(token=join.response["token"], list=join.response["list"])
    sent_bytes = 0
    received_bytes = 0
    began_s = time.perf_counter()
    for _ in range(rounds):
        for body, exchange in zip(bodies, await send_all(), strict=True):
            body["list"] = exchange.response["list"]
            sent_bytes += exchange.sent_bytes
            received_bytes += exchange.received_bytes
    took_s = time.perf_counter() - began_s
    count = rounds * WRITERS
    for _, writer in connections:
        writer.close()
    await service.stop()
    return MembersCost(
        join_ms, count / took_s, sent_bytes / count, received_bytes / count
    )


async def measure_all(repeats: int) -> dict[str, list[float]]:
    """Run all repeats, and return the values of each result by title."""
    concurrent_syncs: list[float] = []
    sequential_syncs: list[float] = []
    wakes_ms: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        storage = Storage(Path(folder))
        registry, _ = storage.load()
        service = RegistryServer(storage, registry)
        await service.begin_history()
        listen = await service.listen("127.0.0.1", 0, False)
        write = await service.listen("127.0.0.1", 0, True)
        for repeat in range(repeats):
            first = 2 * repeat * WRITERS
            concurrent_syncs.append(await syncs_per_change(service, write, True, first))
            first += WRITERS
            sequential_syncs.append(
                await syncs_per_change(service, write, False, first)
            )
            host_number = FIRST_WATCHED_HOST + repeat
            wakes_ms.append(await wake_ms(service, listen, write, host_number))
        await service.stop()
    members: list[MembersCost] = []
    for _ in range(repeats):
        with tempfile.TemporaryDirectory() as folder:
            members.append(await measure_members(Path(folder), HEARTBEAT_ROUNDS))
    return {
        "time until 200 members have joined, ms": [cost.join_ms for cost in members],
        "heartbeats per second, 200 connections, client in the same process": [
            cost.heartbeats_per_s for cost in members
        ],
        "bytes of a heartbeat request": [cost.request_bytes for cost in members],
        "bytes of its response, members sent as changes": [
            cost.response_bytes for cost in members
        ],
        "syncs per change, 200 concurrent": concurrent_syncs,
        "syncs per change, one at a time": sequential_syncs,
        "time until 200 watches are answered, ms": wakes_ms,
    }


def main() -> None:
    """Run the repeats, and print the results."""
    repeats = repeats_argument(DEFAULT_REPEATS)
    for title, values in asyncio.run(measure_all(repeats)).items():
        print(
            f"{title}: median {statistics.median(values):.3f}, "
            f"{min(values):.3f} to {max(values):.3f} over {repeats} runs"
        )


if __name__ == "__main__":
    main()
