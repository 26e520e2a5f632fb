"""Measures the cost of a change in demand for a list service with 200 members, 3 budgets.

    python -m measure.fleet_service [REPEATS] [MEMBERS]

Run from the root of the repository. Each member has one connection for heartbeats and one
for its watch. A tenth of the members raise their demand for one budget twelvefold. The
shares of all other members shrink, and their calls are granted again one window later.
Prints the time until the last share is sent, and the cost of the change. The measurement
runs twice: with watches that give the member's name, which wake only for the member's own
changes, and with watches without a name. Wall-clock times are valid only on an otherwise
idle machine; the service's fraction of a core is computed from its processor time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

from measure.paths import ROOT
from measure.scale.memory import processor_s
from rainfall.errors import RainfallError

LEASE_MS = 3_000
SPAN_MS = 1_000
DRIFT = 0.02
BUDGETS = 3
CALLS_PER_MEMBER = 50
"""Calls of a budget per member, more than the members' total demand."""
RESERVE = 5
STEADY_S = 4.0
"""Duration of the measurement before the change."""
CHANGE_S = 5.0
"""Duration of the measurement after the change."""
BUSY_CALLS = 120
IDLE_CALLS = 10
"""Demand of an idle member, in calls per span; `BUSY_CALLS` is that of a busy one."""
BUSY_EVERY = 10
"""One in this many members becomes busy."""
SETTLE_TIMEOUT_S = 60.0
"""Maximum time until the shares stop changing."""
SETTLED_AFTER_S = 2.5
"""Shares count as settled after this time without a change."""
POLL_INTERVAL_S = 0.1
CONNECTIONS = 2
"""Connections per member."""
RESERVED_DESCRIPTORS = 100
"""Descriptors that each process needs besides the members' connections."""
DEFAULT_REPEATS = 5
DEFAULT_MEMBERS = 200
MS_PER_S = 1000


class MeasurementError(RainfallError):
    """A run cannot be completed; the message gives the reason."""


class Usage(NamedTuple):
    """Totals of the fleet's traffic and the service's work, or a difference of two totals."""

    heartbeats: int
    heartbeat_bytes: int
    watches: int
    watch_bytes: int
    syncs: int
    processor_s: float

    def since(self, earlier: Usage) -> Usage:
        """The usage since an earlier reading."""
        return Usage(
            self.heartbeats - earlier.heartbeats,
            self.heartbeat_bytes - earlier.heartbeat_bytes,
            self.watches - earlier.watches,
            self.watch_bytes - earlier.watch_bytes,
            self.syncs - earlier.syncs,
            self.processor_s - earlier.processor_s,
        )


@dataclass
class Traffic:
    """Counts the calls of one kind from all members."""

    calls: int = 0
    call_bytes: int = 0
    """Bytes of requests and responses."""


class Response(NamedTuple):
    """The status and the decoded JSON body of a response."""

    status: int
    body: Any


def allow_descriptors(count: int) -> None:
    """Raise this process's descriptor limit, which the service inherits.

    Raises:
        MeasurementError: The hard limit is too low for `count` members.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = count * CONNECTIONS + RESERVED_DESCRIPTORS
    if resource.RLIM_INFINITY in (soft, hard) and soft >= needed:
        return
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise MeasurementError(
            f"{count} members need {needed} descriptors, the hard limit is {hard}"
        )
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, needed), hard))


class HttpConnection:
    """An HTTP connection that is opened at the first call and kept open."""

    def __init__(self, port: int, traffic: Traffic) -> None:
        self.port = port
        self.traffic = traffic
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, method: str, path: str, body: Any = None) -> Response:
        """Send one request, with a JSON body if given, and return the response."""
        if self.streams is None:
            self.streams = await asyncio.open_connection("127.0.0.1", self.port)
        reader, writer = self.streams
        data = b"" if body is None else json.dumps(body).encode()
        sent = (
            f"{method} {path} HTTP/1.1\r\nHost: r\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        writer.write(sent)
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.partition(b":")[2])
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"content-length:")
        )
        response_body = await reader.readexactly(length)
        self.traffic.calls += 1
        self.traffic.call_bytes += len(sent) + len(head) + length
        status = int(head.split(b" ", 2)[1])
        return Response(status, json.loads(response_body or b"null"))


class SimulatedMember:
    """A member that exchanges heartbeats with the service and makes no calls.

    It sends three heartbeats per lease term, and an immediate one when its watch returns,
    when its demand changes, and when a changed share has to be acknowledged.
    """

    def __init__(
        self,
        number: int,
        port: int,
        named: bool,
        heartbeats: Traffic,
        watches: Traffic,
    ) -> None:
        self.name = f"f{number}"
        self.named = named
        self.heartbeat_connection = HttpConnection(port, heartbeats)
        self.watch_connection = HttpConnection(port, watches)
        self.rng = random.Random(number)
        self.wakeup = asyncio.Event()
        self.token: Any = None
        self.list: Any = None
        self.needs = {str(budget): IDLE_CALLS for budget in range(BUDGETS)}
        self.shares: dict[str, Any] = {}
        self.sent = 0
        self.version = 0
        self.changed_s = 0.0
        """When one of its shares last changed."""
        self.lost = 0
        """Number of times the lease expired before its renewal."""

    async def run(self) -> None:
        """Send heartbeats until the task is cancelled."""
        watching: asyncio.Task[None] | None = None
        while True:
            response = await self._send_heartbeat()
            if response.status == HTTPStatus.CONFLICT:
                if response.body["error"] == "held":
                    await asyncio.sleep(response.body["retry_ms"] / MS_PER_S)
                else:
                    self.rejoin()
                continue
            if response.status != HTTPStatus.OK:
                raise MeasurementError(
                    f"{self.name}: status {response.status}: {response.body}"
                )
            self._read_response(response.body)
            if watching is None or watching.done():
                if watching is not None:
                    watching.result()
                watching = asyncio.create_task(self.watch_changes())
            interval_s = LEASE_MS / 3e3 * self.rng.uniform(0.9, 1.0)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wakeup.wait(), interval_s)
            self.wakeup.clear()

    async def _send_heartbeat(self) -> Response:
        self.sent += 1
        body = {
            "name": self.name,
            "site": "a",
            "dial": "127.0.0.1:1",
            "run": self.name,
            "token": self.token,
            "sent": self.sent,
            "needs": self.needs,
            "list": self.list,
            "holds": {
                destination: [share["calls"], share["number"]]
                for destination, share in self.shares.items()
            },
        }
        return await self.heartbeat_connection.call("POST", "/v1/fleet/beat", body)

    def _read_response(self, body: Any) -> None:
        if self.shares != body["shares"]:
            self.changed_s = time.perf_counter()
            self.wakeup.set()  # Acknowledge the new shares without delay.
        self.token = body["token"]
        self.list = body["list"]
        self.version = body["version"]
        self.shares = body["shares"]

    def rejoin(self) -> None:
        """Discard the lost lease, so that the next heartbeat joins as a new member."""
        self.token = None
        self.list = None
        self.shares = {}
        self.lost += 1

    async def watch_changes(self) -> None:
        """Wait until the service reports a change, then trigger a heartbeat."""
        name = self.name if self.named else ""
        path = f"/v1/fleet/watch?from={self.version}&hold_ms=30000&name={name}"
        await self.watch_connection.call("GET", path)
        self.wakeup.set()


async def wait_until_settled(
    members: list[SimulatedMember], tasks: list[asyncio.Task[None]], unchanged_s: float
) -> None:
    """Wait until all members have shares, and none has changed for `unchanged_s` seconds.

    Raises:
        MeasurementError: The shares do not settle within `SETTLE_TIMEOUT_S`.
        Exception: A member's task failed with this error.
    """
    deadline_s = time.perf_counter() + SETTLE_TIMEOUT_S
    while not _are_settled(members, unchanged_s):
        for task in tasks:
            if task.done():
                task.result()
        if time.perf_counter() > deadline_s:
            with_shares = sum(bool(member.shares) for member in members)
            lost = sum(member.lost for member in members)
            raise MeasurementError(
                f"shares not settled within {SETTLE_TIMEOUT_S:g} s: {with_shares} of {len(members)} members"
                f" have shares, {lost} leases lost"
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def _are_settled(members: list[SimulatedMember], unchanged_s: float) -> bool:
    if not all(member.shares for member in members):
        return False
    last_change_s = max(member.changed_s for member in members)
    return time.perf_counter() - last_change_s >= unchanged_s


async def measure_fleet(count: int, named: bool, folder: Path) -> dict[str, float]:
    """Run a service with `count` members once, and return the results by title."""
    service = start_service(count, folder)
    try:
        ports_path = folder / "ports"
        while not ports_path.exists() or not ports_path.read_text():
            await asyncio.sleep(POLL_INTERVAL_S)
        _, _, port = map(int, ports_path.read_text().split())
        return await measure_change(count, named, port, service.pid)
    finally:
        service.terminate()
        service.wait()


def start_service(count: int, folder: Path) -> subprocess.Popen[bytes]:
    """Start the list service with budgets for `count` members."""
    budgets = [
        {
            "destination": str(number),
            "calls": CALLS_PER_MEMBER * count,
            "span_ms": SPAN_MS,
            "reserve": RESERVE,
            "members_max": count,
        }
        for number in range(BUDGETS)
    ]
    (folder / "b.json").write_text(json.dumps({"budgets": budgets}))
    arguments = [
        "--state",
        folder / "s",
        "--listen",
        "127.0.0.1:0",
        "--write",
        "127.0.0.1:0",
        "--fleet",
        "127.0.0.1:0",
        "--new",
        "--reserves-known",
        "--budgets",
        folder / "b.json",
        "--ports",
        folder / "ports",
        "--lease-ms",
        LEASE_MS,
        "--longest-ms",
        LEASE_MS,
        "--drift",
        DRIFT,
    ]
    with (folder / "log").open("w") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "rainfall.registry", *map(str, arguments)],
            cwd=ROOT,
            stderr=log,
        )


async def measure_change(
    count: int, named: bool, port: int, service_pid: int
) -> dict[str, float]:
    """Let the members join, and measure before and after the change in demand."""
    heartbeats = Traffic()
    watches = Traffic()
    members = [
        SimulatedMember(number, port, named, heartbeats, watches)
        for number in range(count)
    ]
    tasks = [asyncio.create_task(member.run()) for member in members]
    operator = HttpConnection(port, Traffic())

    async def usage() -> Usage:
        variables = (await operator.call("GET", "/_vars")).body
        return Usage(
            heartbeats.calls,
            heartbeats.call_bytes,
            watches.calls,
            watches.call_bytes,
            variables["fleet_syncs"],
            processor_s(service_pid),
        )

    await wait_until_settled(members, tasks, SETTLED_AFTER_S)
    before = await usage()
    await asyncio.sleep(STEADY_S)
    steady = (await usage()).since(before)
    before = await usage()
    began_s = time.perf_counter()
    busy = members[: count // BUSY_EVERY]
    for member in busy:
        member.needs = {**member.needs, "0": BUSY_CALLS}
        member.wakeup.set()
    await asyncio.sleep(CHANGE_S)
    change = (await usage()).since(before)
    for task in tasks:
        task.cancel()
    served = sum(member.shares["0"]["calls"] >= BUSY_CALLS for member in busy)
    last_change_s = max(member.changed_s for member in members)
    steady_bytes = steady.heartbeat_bytes + steady.watch_bytes
    return {
        "time until the last share was sent, ms": (last_change_s - began_s) * MS_PER_S,
        "fraction of busy members whose demand was met": served / len(busy),
        "members with a changed share": sum(
            member.changed_s > began_s for member in members
        ),
        "leases lost": sum(member.lost for member in members),
        "syncs for the change": change.syncs,
        "extra heartbeats for the change": change.heartbeats
        - steady.heartbeats * CHANGE_S / STEADY_S,
        "watches answered during the change": change.watches,
        "steady: heartbeats per second": steady.heartbeats / STEADY_S,
        "steady: bytes per second": steady_bytes / STEADY_S,
        "steady: bytes of a heartbeat and its response": steady.heartbeat_bytes
        / steady.heartbeats,
        "steady: syncs per second": steady.syncs / STEADY_S,
        "steady: fraction of one core": steady.processor_s / STEADY_S,
        "during the change: fraction of one core": change.processor_s / CHANGE_S,
    }


async def run_all(repeats: int, count: int) -> None:
    """Run all repeats with both kinds of watch, and print the results."""
    allow_descriptors(count)
    kinds = {"watches with the member's name": True, "watches without a name": False}
    for kind, named in kinds.items():
        runs: list[dict[str, float]] = []
        for repeat in range(repeats):
            with tempfile.TemporaryDirectory() as folder:
                runs.append(await measure_fleet(count, named, Path(folder)))
            print(
                f"{kind}: run {repeat + 1} of {repeats} done",
                file=sys.stderr,
                flush=True,
            )
        print(f"{count} members, {BUDGETS} budgets, {kind}, {repeats} runs:")
        for title in runs[0]:
            values = [results[title] for results in runs]
            print(
                f"  {title}: median {statistics.median(values):.2f}, "
                f"{min(values):.2f} to {max(values):.2f}"
            )


def main() -> None:
    """Parse the command line, and run the measurement."""
    arguments = [int(argument) for argument in sys.argv[1:]]
    repeats = arguments[0] if arguments else DEFAULT_REPEATS
    members = arguments[1] if len(arguments) > 1 else DEFAULT_MEMBERS
    try:
        asyncio.run(run_all(repeats, members))
    except MeasurementError as error:
        sys.exit(f"fleet_service: {error}")


if __name__ == "__main__":
    main()
