"""200 members, each with a connection for its beats and one for its watch, on one list
service process with 3 budgets: how long a changed need takes until the last share it
moves was told, and what it costs.

    python -m measure.fleet_service [REPEATS] [MEMBERS]

A change: a tenth of the members needs twelve times as much of one budget as before, so
that shares of all others shrink, cool for a span, and move. Twice: watches that name
their member (woken by what concerns it), and watches that do not (woken by every
change). Wall times hold for a machine that is not loaded otherwise; the service's part
of a core is its processor time.
"""

from __future__ import annotations

import asyncio
import json
import random
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from measure.paths import ROOT

LEASE_MS, SPAN_MS, DRIFT = 3_000, 1_000, 0.02
CALLS_A_MEMBER, RESERVE = (
    50,
    5,
)  # a whole is so many calls for each member: more than all need together
STEADY_S, CHANGE_S = 4.0, 5.0  # how long is counted at rest, and after a change
BUSY_CALLS, IDLE_CALLS = 120, 10  # calls needed in a span
SETTLE_TIMEOUT_S = 60.0  # until all shares rest, at the latest
CONNECTIONS = 2  # of a member: beats and watch
RESERVED_DESCRIPTORS = 100  # descriptors of either process beside these connections


class MeasurementError(Exception):
    """The run cannot come to its end; the text says why."""


def allow_descriptors(count: int) -> None:
    """Raise this process's limit, which the service inherits, as far as the run needs
    and is allowed. Raises Stuck where that is not enough: connections past the limit
    would fail one by one.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = count * CONNECTIONS + RESERVED_DESCRIPTORS
    if resource.RLIM_INFINITY in (soft, hard) and soft >= needed:
        return
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise MeasurementError(
            f"{count} members need {needed} descriptors, and the limit is {hard}"
        )
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, needed), hard))


class HttpConnection:
    """One kept connection."""

    def __init__(self, port: int, count: list[int]) -> None:
        self.port, self.count = port, count
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
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
            int(x[15:])
            for x in head.split(b"\r\n")
            if x.lower().startswith(b"content-length:")
        )
        told = await reader.readexactly(length)
        self.count[0] += 1
        self.count[1] += len(sent) + len(head) + length
        return int(head[9:12]), json.loads(told or b"null")


class SimulatedMember:
    """Beats a third of its lease apart, and at once for news, a new need, and a share
    to acknowledge.
    """

    def __init__(
        self, n: int, port: int, named: bool, counts: dict[str, list[int]]
    ) -> None:
        self.name, self.named = f"f{n}", named
        self.heartbeat_connection, self.watch_connection = (
            HttpConnection(port, counts["beat"]),
            HttpConnection(port, counts["watch"]),
        )
        self.rng, self.wakeup = random.Random(n), asyncio.Event()
        self.token: Any = None
        self.list: Any = None
        self.needs = {str(budget): IDLE_CALLS for budget in range(3)}
        self.shares: dict[str, Any] = {}
        self.sent = self.version = 0
        self.changed_s = 0.0  # when a share of it last changed
        self.lost = 0  # how often its lease was out before it was renewed

    async def run(self) -> None:
        watching: asyncio.Task[None] | None = None
        while True:
            self.sent += 1
            status, told = await self.heartbeat_connection.call(
                "POST",
                "/v1/fleet/beat",
                {
                    "name": self.name,
                    "site": "a",
                    "dial": "127.0.0.1:1",
                    "run": self.name,
                    "token": self.token,
                    "sent": self.sent,
                    "needs": self.needs,
                    "list": self.list,
                    "holds": {
                        d: [s["calls"], s["number"]] for d, s in self.shares.items()
                    },
                },
            )
            if status == 409 and told["error"] == "held":
                await asyncio.sleep(told["retry_ms"] / 1000)
                continue
            if status == 409:
                self.rejoin()
                continue
            if status != 200:
                raise MeasurementError(f"{self.name}: status {status}: {told}")
            if self.shares != told["shares"]:
                self.changed_s = time.perf_counter()
                self.wakeup.set()  # acknowledged at once
            self.token, self.list, self.version = (
                told["token"],
                told["list"],
                told["version"],
            )
            self.shares = told["shares"]
            if watching is None or watching.done():
                if watching is not None:
                    watching.result()
                watching = asyncio.create_task(self.watch_changes())
            try:
                await asyncio.wait_for(
                    self.wakeup.wait(), LEASE_MS / 3e3 * self.rng.uniform(0.9, 1.0)
                )
            except TimeoutError:
                pass
            self.wakeup.clear()

    def rejoin(self) -> None:
        """The lease is lost: the next beat joins as a new member."""
        self.token, self.list, self.shares = None, None, {}
        self.lost += 1

    async def watch_changes(self) -> None:
        name = self.name if self.named else ""
        path = f"/v1/fleet/watch?from={self.version}&hold_ms=30000&name={name}"
        await self.watch_connection.call("GET", path)
        self.wakeup.set()


async def wait_until_settled(
    members: list[SimulatedMember], tasks: list[asyncio.Task[None]], for_s: float
) -> None:
    """Until no share of any has changed for so long, and all have theirs.

    Raises Stuck where that does not come, and what a member's task failed with.
    """
    until = time.perf_counter() + SETTLE_TIMEOUT_S
    while (
        not all(m.shares for m in members)
        or time.perf_counter() - max(m.changed_s for m in members) < for_s
    ):
        for task in tasks:
            if task.done():
                task.result()
        if time.perf_counter() > until:
            have, lost = (
                sum(bool(m.shares) for m in members),
                sum(m.lost for m in members),
            )
            raise MeasurementError(
                f"after {SETTLE_TIMEOUT_S:g} s {have} of {len(members)} members have shares, and leases were"
                f" lost {lost} times"
            )
        await asyncio.sleep(0.1)


async def measure_fleet(count: int, named: bool, folder: Path) -> dict[str, float]:
    budgets = [
        {
            "destination": str(n),
            "calls": CALLS_A_MEMBER * count,
            "span_ms": SPAN_MS,
            "reserve": RESERVE,
            "members_max": count,
        }
        for n in range(3)
    ]
    (folder / "b.json").write_text(json.dumps({"budgets": budgets}))
    words = [
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
        service = subprocess.Popen(
            [sys.executable, "-m", "rainfall.registry", *map(str, words)],
            cwd=ROOT,
            stderr=log,
        )
    try:
        while not (folder / "ports").exists() or not (folder / "ports").read_text():
            await asyncio.sleep(0.05)
        port = int((folder / "ports").read_text().split()[2])
        counts = {"beat": [0, 0], "watch": [0, 0]}
        members = [SimulatedMember(n, port, named, counts) for n in range(count)]
        tasks = [asyncio.create_task(m.run()) for m in members]
        staff = HttpConnection(port, [0, 0])

        async def marks() -> tuple[float, ...]:
            syncs = (await staff.call("GET", "/_vars"))[1]["fleet_syncs"]
            cpu = (
                Path(f"/proc/{service.pid}/stat")
                .read_text()
                .rpartition(")")[2]
                .split()[11:13]
            )
            return (*counts["beat"], *counts["watch"], syncs, sum(map(int, cpu)) / 100)

        await wait_until_settled(members, tasks, 2.5)
        before = await marks()
        await asyncio.sleep(STEADY_S)
        rest = [b - a for a, b in zip(before, await marks(), strict=True)]
        before, began = await marks(), time.perf_counter()
        for member in members[: count // 10]:
            member.needs = {**member.needs, "0": BUSY_CALLS}
            member.wakeup.set()
        await asyncio.sleep(CHANGE_S)
        after = [b - a for a, b in zip(before, await marks(), strict=True)]
        served = [
            m for m in members[: count // 10] if m.shares["0"]["calls"] >= BUSY_CALLS
        ]
        for task in tasks:
            task.cancel()
        return {
            "ms until the last share was told": (
                max(m.changed_s for m in members) - began
            )
            * 1000,
            "part of those who asked that got all": len(served) / (count // 10),
            "members whose share changed": sum(m.changed_s > began for m in members),
            "leases lost": sum(m.lost for m in members),
            "syncs of the change": after[4],
            "beats of the change": after[0] - rest[0] * CHANGE_S / STEADY_S,
            "watches answered in the change": after[2],
            "at rest: beats a second": rest[0] / STEADY_S,
            "at rest: bytes a second": (rest[1] + rest[3]) / STEADY_S,
            "at rest: bytes of a beat and its answer": rest[1] / rest[0],
            "at rest: syncs a second": rest[4] / STEADY_S,
            "at rest: part of one core": rest[5] / STEADY_S,
            "during the change: part of one core": after[5] / CHANGE_S,
        }
    finally:
        service.terminate()
        service.wait()


async def main(repeats: int, count: int) -> None:
    allow_descriptors(count)
    for said, named in (
        ("watches that name their member", True),
        ("watches that do not", False),
    ):
        found = []
        for repeat in range(repeats):
            with tempfile.TemporaryDirectory() as folder:
                found.append(await measure_fleet(count, named, Path(folder)))
            print(
                f"{said}: run {repeat + 1} of {repeats} done",
                file=sys.stderr,
                flush=True,
            )
        print(f"{count} members, 3 budgets, {said}, {repeats} runs:")
        for name in found[0]:
            values = [figures[name] for figures in found]
            print(
                f"  {name}: median {statistics.median(values):.2f}, {min(values):.2f} to {max(values):.2f}"
            )


if __name__ == "__main__":
    try:
        asyncio.run(
            main(*map(int, (sys.argv[1:] + ["5", "200"][len(sys.argv) - 1 :])[:2]))
        )
    except MeasurementError as error:
        sys.exit(f"fleet_service: {error}")
