"""The list service on a manual clock: its calls with their answers, and its stored files."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from rainfall.lease.types import LeaseSettings
from rainfall.registry import plan_scheduler
from rainfall.registry.fleet_log import LEASE_TABLE
from rainfall.registry.fleet_services import FleetServices, start_fleet_services
from rainfall.registry.limits import Limits
from rainfall.registry.server import RegistryServer
from rainfall.registry.storage import Storage
from rainfall.shard.map_validation import checked_map
from rainfall.shard.shard_map import format_key
from tests.compatibility.members import MachineClock
from tests.compatibility.references import References
from tests.support.loopback_peers import read_message

LEASE_US = 1_000_000
WALL_MS = 1_000_000
BUDGET: dict[str, object] = {"destination": "7", "calls": 100, "span_ms": 400}
BUDGET |= {"reserve": 5, "members_max": 4, "pause_ms": 100, "least": 2, "change": 0.1}
BUDGET |= {"loose": 0.1, "slack_ms": 5, "weights": {"order": 2}}
WRONG = dict.fromkeys([*BUDGET, "strange"], -1)
HALVES: dict[str, object] = {
    "generation": 1,
    "ranges": [
        {"from": "0" * 16, "to": "7" + "f" * 15, "owner": "f1"},
        {"from": "8" + "0" * 15, "to": "f" * 16, "owner": "f2"},
    ],
}
OVERLAP = {"generation": 0, "ranges": [{"from": "8", "to": "", "owner": "f9"}] * 2}
MOVE = {"from": "0" * 16, "to": "00" + "f" * 14, "owner": "f2"}
FILES = ("changes.log", "fleet.log", "notices.log", "state.json")
READS = (
    "/v1/hosts",
    "/v1/notices",
    "/v1/leases",
    "/v1/leases?prefix=work",
    "/v1/leases/work/a",
    "/v1/fleet",
    "/v1/budgets",
    "/v1/map",
    "/v1/map/moves",
)


def host(name: str, **more: object) -> dict[str, object]:
    """Returns a register operation for a host."""
    operation = {
        "op": "register",
        "host": name,
        "dial": "h:1",
        "site": "a",
        "class": "m",
    }
    return operation | {"block": 7, "share": 1.5, "born_ms": 9} | more


@dataclass
class Run:
    """A list service in this process, and the calls made so far with their answers."""

    service: RegistryServer
    parts: FleetServices
    clock: MachineClock
    ports: dict[str, int]
    calls: list[object] = field(default_factory=list)

    async def call(
        self, door: str, method: str, path: str, body: object = None, match: str = ""
    ) -> dict[str, object]:
        """Makes and records one call; returns the decoded answer, or {} if it is not an object."""
        body_or_empty = b"" if body is None else body
        data = (
            body_or_empty
            if isinstance(body_or_empty, bytes)
            else json.dumps(body_or_empty).encode()
        )
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[door])
        head = f"{method} {path} HTTP/1.1\r\nHost: r\r\nContent-Length: {len(data)}"
        writer.write(f"{head}\r\nIf-Match: {match}\r\n\r\n".encode() + data)
        status_line, headers, answer = await read_message(reader)
        writer.close()
        kept_headers = [
            headers.get(name) for name in ("content-type", "etag", "retry-after")
        ]
        request = [door, method, path, data.decode(), match]
        self.calls.append(
            [request, int(status_line.split()[1]), kept_headers, answer.decode()]
        )
        await self.settle()
        decoded = json.loads(answer) if answer.startswith(b"{") else {}
        assert isinstance(decoded, dict)
        return decoded

    async def settle(self) -> None:
        """Waits until everything that is due is planned and written."""
        for _ in range(2):
            self.parts.fleet.plan_scheduler.schedule_soon(0)
            await asyncio.wait(
                {self.parts.fleet.plan_scheduler.next_plan_written()}, timeout=0.6
            )

    async def beat(
        self,
        name: str,
        token: object = None,
        sent: int = 1,
        more: dict[str, object] | None = None,
    ) -> dict[str, object]:
        """Advances the clock by 100 ms and sends a member's heartbeat."""
        self.clock.now_us += 100_000
        body = {"name": name, "site": "a", "dial": f"{name}:1", "token": token}
        body |= {"sent": sent, "run": f"{name}-1", **(more or {})}
        return await self.call("fleet", "POST", "/v1/fleet/beat", body)


@contextlib.asynccontextmanager
async def running(folder: Path) -> AsyncIterator[Run]:
    clock = MachineClock(0)
    disk = Storage(folder)
    registry, had = disk.load()
    service = RegistryServer(
        disk, registry, lambda: WALL_MS, Limits(), lambda: clock.now_us
    )
    plan_s_before, plan_scheduler.PLAN_DELAY_S = plan_scheduler.PLAN_DELAY_S, 0.01
    try:
        if not had:
            await service.begin_history()
        terms = LeaseSettings(0.02, 1_000, LEASE_US)
        parts = await start_fleet_services(
            service, terms, LEASE_US, reserves_known=not had
        )
        ports = {
            "list": await service.listen("127.0.0.1", 0, False),
            "write": await parts.listen_write("127.0.0.1", 0),
            "fleet": await parts.listen_fleet("127.0.0.1", 0),
        }
        yield Run(service, parts, clock, ports)
        await service.stop()
    finally:
        plan_scheduler.PLAN_DELAY_S = plan_s_before


async def play(run: Run) -> None:
    """Makes every call of the service, including invalid ones."""
    await play_list(run)
    await run.beat("f1")  # earlier grants are not known yet
    run.clock.now_us += 2 * LEASE_US
    await run.call("write", "PUT", "/v1/budgets", {"budgets": [WRONG], "more": 1})
    await run.call("write", "PUT", "/v1/budgets", {"budgets": [BUDGET]})
    await run.call("write", "PUT", "/v1/budgets", {"budgets": []}, '"1"')
    await run.call("write", "POST", "/v1/budgets/reserves-known", {})
    await play_beats(run)
    await play_leases(run)
    for path in READS:
        await run.call("write", "GET", path)
    await run.call("fleet", "GET", "/v1/fleet/watch?from=0&hold_ms=5&name=f1")
    await run.call("list", "GET", "/v1/nothing")
    await run.call("list", "PUT", "/v1/hosts")


async def play_list(run: Run) -> None:
    await run.call("list", "GET", "/_ready")
    ops: list[object] = [host("h1"), host("h2", health="draining"), host("h3")]
    first = await run.call("write", "POST", "/v1/hosts", {"id": "c1", "ops": ops})
    await run.call("write", "POST", "/v1/hosts", {"id": "c1", "ops": ops})
    await run.call("write", "POST", "/v1/hosts", {"id": "c1", "ops": ops[:1]})
    ops = [{"op": "drain", "host": "h1"}, {"op": "share", "host": "h2", "share": 3.5}]
    ops.append({"op": "remove", "host": "h3"})
    await run.call("write", "POST", "/v1/hosts", {"ops": ops}, str(first["seq"]))
    await run.call("write", "POST", "/v1/hosts", {"ops": ops}, "1")
    ops = [{"op": "drain", "host": "h3"}]
    await run.call("write", "POST", "/v1/hosts", {"ops": ops})
    ops = [{"op": "register", "host": ""}, host("h4", health="x"), {"op": "x"}, 5]
    await run.call("write", "POST", "/v1/hosts", {"id": 5, "ops": ops})
    await run.call("write", "POST", "/v1/hosts", b'{"ops": [], "ops": [1]}')
    since = f"from={first['seq']}&epoch={first['epoch']}&hold_ms=5"
    await run.call("list", "GET", f"/discovery/hosts?{since}")
    await run.call("list", "GET", "/discovery/hosts?from=x&epoch=-1&hold_ms=y")
    notice = b'{"id":"m1","state":"failed"}\n{"id":"m2","state":"returned"}\n'
    await run.call("list", "POST", "/v1/notices", notice)
    while not run.service.storage.next_notice_number:
        await asyncio.sleep(0.001)
    await run.call("list", "POST", "/v1/notices", b'{"state":"failed"}\n{"id":1}\n')
    await run.call("write", "GET", "/v1/notices?from=1&most=1")
    await run.call("write", "GET", "/v1/notices?from=x&most=0")
    await run.call("write", "POST", "/v1/epoch", {"above": 2000})
    # The lease table writes its new epoch on its own; the budgets' version follows from it.
    while run.parts.fleet.table.epoch < run.service.registry.fence:
        await asyncio.sleep(0.001)
    await run.call("write", "POST", "/v1/epoch", {"above": -1})


async def play_beats(run: Run) -> None:
    await run.call("fleet", "POST", "/v1/fleet/beat", {"name": "", "token": [1]})
    invalid_report: dict[str, object] = {"needs": {"7": {"x": -1}}, "holds": {"7": [1]}}
    await run.beat("f1", more=invalid_report | {"map": -1, "gave": ["x"]})
    needs: dict[str, object] = {"needs": {"7": {"order/acme": 40, "pay": 2}}}
    f1 = (await run.beat("f1", more=needs))["token"]
    shown: dict[str, object] = {"shown": [1, 1], "keeps": {"7": 5}, "seen": [1, 1]}
    f2 = (await run.beat("f2", more={"needs": {"7": 9}} | shown))["token"]
    call_count = len(run.calls)
    for sent in range(
        2, 10
    ):  # no quota is granted for one lease duration after a start
        await run.beat("f1", f1, sent, needs)
        await run.beat("f2", f2, sent, {"needs": {"7": 9}})
    del run.calls[call_count:]
    await run.call("write", "PUT", "/v1/map", OVERLAP)
    await run.call("write", "PUT", "/v1/map", HALVES, "0")
    await run.call("write", "PUT", "/v1/map", HALVES, "7")
    await run.beat("f1", f1, 12, needs | {"map": 0})
    digest = format_key(checked_map(HALVES).digest())
    map_report: dict[str, object] = {"map": 1, "digest": digest}
    answer = await run.beat("f1", f1, 13, needs | map_report)
    await run.beat("f2", f2, 12, {"needs": {"7": 9}} | map_report)
    shares = answer["shares"]
    assert isinstance(shares, dict)
    holds = {"7": [shares["7"]["calls"], shares["7"]["number"]]}
    await run.beat("f1", f1, 14, {"holds": holds, "list": answer["list"]} | map_report)
    await run.call("write", "POST", "/v1/map/move", {"from": "x", "strange": 1})
    await run.call("write", "POST", "/v1/map/move", MOVE)
    given_up: dict[str, object] = {"gave": [f"{MOVE['from']}-{MOVE['to']}"]}
    await run.beat("f1", f1, 15, given_up | {"map": 2, "digest": "0" * 16})
    await run.beat(
        "f1", f1, 15, map_report
    )  # an outdated heartbeat: its number was already used
    f3 = (await run.beat("f3"))["token"]
    await run.beat("f3", f3, 2, {"leave": True})
    await run.beat("f3", f3, 3)
    await run.beat("f1", more={"run": "another"})
    for token in (f2, f3, "x"):
        await run.call("write", "POST", "/v1/budgets/ended", {"token": token})


async def play_leases(run: Run) -> None:
    acquire_body: dict[str, object] = {
        "holder": "p1",
        "ttl_ms": 900,
        "note": {"k": "v"},
    }
    answer = await run.call("fleet", "POST", "/v1/leases/work/a/acquire", acquire_body)
    token = {"token": answer["token"]}
    other_holder = acquire_body | {"holder": "p2"}
    await run.call("fleet", "POST", "/v1/leases/work/a/acquire", other_holder)
    await run.call("fleet", "POST", "/v1/leases/work/a/renew", token)
    await run.call("fleet", "POST", "/v1/leases/work/a/renew", {"token": [1, 1]})
    answer = await run.call("fleet", "POST", "/v1/leases/work/b/acquire", acquire_body)
    token = {"token": answer["token"]}
    await run.call("fleet", "POST", "/v1/leases/work/b/release", token)
    await run.call("fleet", "POST", "/v1/leases/work/b/release", token)
    await run.call("fleet", "POST", "/v1/leases/work/c/acquire", acquire_body)
    await run.call("write", "POST", "/v1/leases/work/c/revoke", {})
    await run.call("write", "POST", "/v1/leases/work/d/revoke", {})
    await run.call("fleet", "POST", "/v1/leases/member/f1/acquire", acquire_body)
    invalid_body = {"holder": "", "ttl_ms": 0, "note": {"k": 1}, "seen": [1]}
    await run.call("fleet", "POST", "/v1/leases/work/a/acquire", invalid_body)


def folder_of(folder: Path) -> References:
    """Returns the contents of a folder's files, by name."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def keys_of(value: object) -> object:
    """Returns metrics with each value replaced by the name of its type."""
    if isinstance(value, dict):
        return {key: keys_of(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [keys_of(inner) for inner in value[:1]]
    return type(value).__name__


def masked(metrics: str) -> str:
    """Returns a metrics text with the sample values masked."""
    return re.sub(r"(?m)^([^#].*) [0-9.e+]+$", r"\1 #", metrics)


async def written() -> References:
    """Returns all calls, the metrics after them, and the files before and after a snapshot."""
    with TemporaryDirectory() as name:
        folder = Path(name)
        async with running(folder) as run:
            await play(run)
            calls = list(run.calls)
            figures = await run.call("write", "GET", "/_vars")
            await run.call("write", "GET", "/metrics")
            last = run.calls[-1]
            assert isinstance(last, list)
            parts: References = {
                f"registry-log-{file}": data for file, data in folder_of(folder).items()
            }
            fleet = run.parts.fleet
            extensions = {
                name: extension.snapshot()
                for name, extension in fleet.extensions.items()
            }
            run.service.storage.write_snapshot(run.service.registry)
            fleet.fleet_log.compact({LEASE_TABLE: fleet.table.snapshot(), **extensions})
            parts |= {
                f"registry-snapshot-{file}": data
                for file, data in folder_of(folder).items()
            }
        metrics_answer: list[object] = [last[2], *masked(last[3]).splitlines()]
        metric_keys: dict[str, object] = {
            name: keys_of(v) for name, v in figures.items()
        }
        return parts | {
            "registry-calls": calls,
            "registry-vars": metric_keys,
            "registry-metrics": metrics_answer,
        }


async def taken_up(files: dict[str, bytes]) -> list[object]:
    """Starts a service on these files; returns its calls, reads first and then heartbeats."""
    with TemporaryDirectory() as name:
        folder = Path(name)
        for file, data in files.items():
            (folder / file).write_bytes(data)
        async with running(folder) as run:
            for path in READS:
                await run.call("write", "GET", path)
            members = (await run.call("write", "GET", "/v1/fleet"))["members"]
            assert isinstance(members, list)
            for member in members:
                if member["state"] == "alive":
                    await run.beat(member["name"], member["token"], 20, {"map": 0})
            return run.calls


def stored(made: References, kind: str) -> dict[str, bytes]:
    """Returns the recorded files of one kind of folder, `log` or `snapshot`, by file name."""
    found: dict[str, bytes] = {}
    for name in FILES:
        data = made.get(f"registry-{kind}-{name}")
        if isinstance(data, bytes):
            found[name] = data
    return found


async def made_async() -> References:
    made = await written()
    for kind in ("log", "snapshot"):
        made[f"registry-{kind}-read"] = await taken_up(stored(made, kind))
    return made


def made() -> References:
    return asyncio.run(made_async())
