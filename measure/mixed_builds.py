"""Runs two builds of the program with each other, on real processes over loopback.

    python -m measure.mixed_builds OLD NEW

Run from the root of the repository; OLD and NEW are the roots of two checkouts. Each
scenario runs both ways round:

- state: one build accepts messages and is killed, the end of its journal is torn, the
  other build recovers the folder, and the first one takes it over again. The outcome has
  to equal that of the first build alone.
- handover: a build hands over to the other under load, and that one back again. Each
  accepted message has to be delivered exactly once.
- fleet: forwarders of both builds at the list service of one of them. After a restart of
  every process as the other build, the endpoints and the epoch are as before, and the
  shares never exceed the budget.
- frames: a process of each build decodes and encodes again the peer frames and the session
  records of the other.

Prints a line for each run and exits with 1 if one of them failed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar, NamedTuple

TIMEOUT_S = 25.0
"""How long an expected event may take."""
POLL_INTERVAL_S = 0.02
LOAD_PER_S = 150
LOAD_CLIENTS = 6
LOAD_BEFORE_HANDOVER_S = 1.0
TORN_BYTES = 3
"""Bytes that the journal's last record lacks, as after a write that was cut short."""
RETRY_AFTER_MS = 2500
BUDGET_CALLS = 100
SPAN_MS = 400
MAX_MEMBERS = 10
RESERVE = 1
"""Calls in a span that each member of `MAX_MEMBERS` may make without a share."""
LEASE_MS = 900
SETTLED_AFTER_S = 2.0
"""Shares that have not changed for so long count as settled."""
ACCEPTED = 202


class MixedBuildsError(Exception):
    """A run did not do what it has to; the text says what was seen."""


def require(condition: bool, text: str) -> None:
    """Fail the run with a text where a condition does not hold.

    Raises:
        MixedBuildsError: It does not hold.
    """
    if not condition:
        raise MixedBuildsError(text)


async def wait_for(what: str, condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition holds.

    Raises:
        MixedBuildsError: It did not within `TIMEOUT_S`.
    """
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        raise MixedBuildsError(f"not within {TIMEOUT_S:g} s: {what}") from None


def free_port() -> int:
    """A port of the loopback that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Request(NamedTuple):
    """An HTTP request."""

    path: str
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_http(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """A request or response: its first line, its headers in lower case, its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def call_http(
    port: int, method: str, path: str, body: Any = None, headers: str = ""
) -> Response:
    """One call on a connection of its own; a body is sent as JSON."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}"
    writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            first, response_headers, response_body = await read_http(reader)
    finally:
        writer.close()
    return Response(int(first.split(" ")[1]), response_headers, response_body)


class HttpStandIn:
    """An HTTP server on the loopback that a scenario plays a part with."""

    port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def respond(self, request: Request) -> bytes:
        """The whole response to a request."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                first, headers, body = await read_http(reader)
                request = Request(first.split(" ")[1], headers, body)
                writer.write(await self.respond(request))
                await writer.drain()
        writer.close()


def response(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """The bytes of a response."""
    head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Endpoint(HttpStandIn):
    """Notes the messages that it gets; its answer can be changed."""

    def __init__(self, answer: bytes | None = None) -> None:
        self.received: list[str] = []
        self.answer = answer
        """None: the call hangs."""

    async def respond(self, request: Request) -> bytes:
        """Note the message; the answer is the one in force now."""
        self.received.append(request.headers["x-correlation-id"])
        if self.answer is None:
            await asyncio.sleep(3600)
        return self.answer or b""


class Platform(HttpStandIn):
    """Discovery with a fixed list, and the address for notifications."""

    def __init__(self, endpoints: dict[int, Endpoint]) -> None:
        self.endpoints = endpoints
        self.accepts_notifications = True
        self.notifications: dict[str, str] = {}
        """The state of each message's end."""

    def listing(self) -> dict[str, Any]:
        """The whole endpoint list."""
        hosts = [
            host_entry(f"s{destination}", endpoint.port, destination)
            for destination, endpoint in self.endpoints.items()
        ]
        return {"seq": 1, "whole": True, "hosts": hosts}

    async def respond(self, request: Request) -> bytes:
        """Take notifications, or answer with the list; watches are held for a while."""
        if request.path == "/v1/notices":
            if not self.accepts_notifications:
                return response(503)
            for line in map(json.loads, request.body.splitlines()):
                self.notifications[line["id"]] = line["state"]
            return response(204)
        if int(request.path.partition("from=")[2].partition("&")[0] or -1) < 1:
            return response(200, json.dumps(self.listing()).encode())
        await asyncio.sleep(int(request.path.partition("hold_ms=")[2] or 0) / 1000)
        return response(200, b'{"seq": 1, "whole": false, "hosts": []}')


def host_entry(name: str, port: int, destination: int) -> dict[str, Any]:
    """An endpoint as discovery lists it."""
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": "x",
        "class": "plain",
        "block": destination,
        "health": "up",
        "share": 100.0,
        "born_ms": 0,
    }


def message_class(name: str, effect: str, **more: Any) -> dict[str, Any]:
    """A class whose calls time out late, so that a slow machine causes no retry."""
    return {
        "name": name,
        "aim_us": 30_000_000,
        "deadline_us": 60_000_000,
        "effect": effect,
        **more,
    }


SETTINGS: dict[str, Any] = {
    "allowed": {
        "conn_idle_us": 5_000_000,
        "dial_timeout_us": 1_000_000,
        "max_attempts": 6,
        "max_open": 400,
        "max_retry_after_us": 3_000_000,
        "retry_after": True,
        "may_cancel": True,
    },
    "balancers": 1,
    "discovery": "on_request",
    "host_types": ["plain"],
    "contract": {
        "grace_to_answer_us": 20_000,
        "drain_grace_us": 500_000,
        "ask_within_us": 10_000_000,
    },
    "family_info": {"slots": 64, "kind_batch": [1], "routes_apart": [False]},
    "orgs": [{"name": "acme", "allowance_per_s": 1000.0, "fraction": 1.0}],
    "over_share_worth": 0.1,
    "services": [
        message_class("order", "by_key", key_scope="all", window_us=30_000_000),
        message_class("status", "repeatable"),
        message_class("turns", "repeatable", by_arrival=True),
        message_class("pay", "once"),
    ],
    "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
    "weight_source": "nominal",
}


def message_bytes(name: str, cls: str, destination: int) -> bytes:
    """The request of a client that hands in a message."""
    lines = [
        f"POST /{cls} HTTP/1.1",
        "Host: origin.svc",
        f"X-Correlation-Id: {name}",
        "X-Account: acme",
        "X-Time-Left: 50",
        f"Idempotency-Key: key-{name}",
        f"X-Addressing: dest={destination}",
    ]
    if cls == "turns":
        lines.append("X-Session-Key: k")
    return "\r\n".join([*lines, "Content-Length: 5"]).encode() + b"\r\n\r\nhello"


@dataclass
class Process:
    """A running process of one build; its log is kept."""

    running: ClassVar[list[asyncio.subprocess.Process]] = []
    """Every process that was started, so that a failed run leaves none behind."""

    build: Path
    module: str
    arguments: list[str]
    environment: dict[str, str] = field(default_factory=dict)
    inherited: tuple[int, ...] = ()
    log: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Start it, and wait until it logs that it is ready."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            *self.arguments,
            cwd=self.build,
            env={**os.environ, **self.environment},
            stderr=asyncio.subprocess.PIPE,
            pass_fds=self.inherited,
        )
        self.running.append(self.process)
        self.reader = asyncio.create_task(self._read_log())
        await wait_for(f"{self.module} is ready", self._is_ready)

    async def _is_ready(self) -> bool:
        require(self.process.returncode is None, f"ended early: {self.log[-5:]}")
        return any(line.rstrip().endswith(": ready") for line in self.log) or any(
            '"event": "ready"' in line for line in self.log
        )

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode())

    async def stop(self, stop_signal: signal.Signals = signal.SIGTERM) -> None:
        """End it with a signal."""
        if self.process.returncode is None:
            self.process.send_signal(stop_signal)
        async with asyncio.timeout(TIMEOUT_S):
            await self.process.wait()
            await self.reader
        text = "".join(self.log)
        require("Traceback" not in text, text[-2000:])


class Forwarder:
    """A forwarder's folder and addresses; a process of either build runs on them."""

    def __init__(
        self, folder: Path, discovery_port: int, known: dict[str, Any], **more: Any
    ) -> None:
        folder.mkdir(exist_ok=True)
        (folder / "state").mkdir(exist_ok=True)
        self.folder = folder
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self.listener.getsockname()[1])
        config = {
            "name": folder.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "5",
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
            "known": known,
            "settings": SETTINGS,
            **more,
        }
        (folder / "config.json").write_text(json.dumps(config))

    async def start(self, build: Path) -> ForwarderProcess:
        """Start a process of a build, and wait until it is ready."""
        process = ForwarderProcess(self, build)
        await process.start()
        return process


class ForwarderProcess(Process):
    """One process on a forwarder's folder, with an address for operators of its own."""

    def __init__(self, forwarder: Forwarder, build: Path) -> None:
        self.admin_port = free_port()
        descriptor = forwarder.listener.fileno()
        environment = {
            "LB_CONFIG": str(forwarder.folder / "config.json"),
            "LB_STATE": str(forwarder.folder / "state"),
            "LB_ADMIN_ADDR": f"127.0.0.1:{self.admin_port}",
            "LB_INHERITED_FD": str(descriptor),
        }
        super().__init__(build, "rainfall", [], environment, (descriptor,))

    async def figures(self) -> dict[str, Any]:
        """What the operators' address shows."""
        answer = await call_http(self.admin_port, "GET", "/_vars")
        return dict(json.loads(answer.body))

    async def has_open(self, count: int) -> bool:
        """Whether so many accepted messages have no end yet."""
        return bool((await self.figures())["open_requests"] == count)


async def submit(port: int, name: str, cls: str, destination: int) -> Response:
    """Hand in one message on a connection of its own."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(message_bytes(name, cls, destination))
    try:
        async with asyncio.timeout(TIMEOUT_S):
            first, headers, body = await read_http(reader)
    finally:
        writer.close()
    return Response(int(first.split(" ")[1]), headers, body)


async def accept(port: int, name: str, cls: str, destination: int) -> None:
    """Hand in a message that has to be accepted."""
    status = (await submit(port, name, cls, destination)).status
    require(status == ACCEPTED, f"{name}: {status} in place of {ACCEPTED}")


# State that one build wrote and the other recovers

LIVE, DELIVERED, HANGING, HANGING_TOO, FAILING = 7, 8, 9, 11, 10
RETRY_LATER = response(429, headers=f"X-RateLimit-Wait-Ms: {RETRY_AFTER_MS}\r\n")


async def write_state(
    process: ForwarderProcess, port: int, endpoints: dict[int, Endpoint]
) -> None:
    """Leave live, keyed, ordered, ended, owed and called messages in the journal."""
    await accept(port, "owed", "pay", FAILING)
    await accept(port, "done", "order", DELIVERED)
    for name, cls in (("live", "status"), ("keyed", "order"), ("turn1", "turns")):
        await accept(port, name, cls, LIVE)
    await accept(port, "turn2", "turns", LIVE)
    await accept(port, "called", "pay", HANGING)
    await accept(port, "again", "status", HANGING_TOO)

    async def all_called() -> bool:
        called = (LIVE, HANGING, HANGING_TOO)
        return all(endpoints[destination].received for destination in called)

    await wait_for("calls are out", all_called)
    require(await process.has_open(6), f"{(await process.figures())['open_requests']}")


def outcome_of(endpoints: dict[int, Endpoint], platform: Platform) -> dict[str, Any]:
    """Which messages the endpoints got how often, and how the others ended."""
    received = {
        str(destination): dict(sorted(Counter(endpoint.received).items()))
        for destination, endpoint in endpoints.items()
        if destination != LIVE  # Calls before the wait was told are a race.
    }
    last = {n: endpoints[LIVE].received.count(n) > 0 for n in ("live", "keyed")}
    order = [n for n in endpoints[LIVE].received if n in ("turn1", "turn2")][-2:]
    return {
        "received": received,
        "live": last,
        "order": order,
        "notified": dict(sorted(platform.notifications.items())),
    }


async def play_state(first: Path, second: Path, folder: Path) -> dict[str, Any]:
    """Write state with a build, recover it with another, and go back to the first."""
    endpoints = {
        LIVE: Endpoint(RETRY_LATER),
        DELIVERED: Endpoint(response(200)),
        HANGING: Endpoint(None),
        HANGING_TOO: Endpoint(None),
        FAILING: Endpoint(response(500)),
    }
    platform = Platform(endpoints)
    platform.accepts_notifications = False
    for stand_in in (*endpoints.values(), platform):
        await stand_in.start()
    forwarder = Forwarder(folder / "f0", platform.port, platform.listing())
    process = await forwarder.start(first)
    await write_state(process, forwarder.port, endpoints)
    await process.stop(signal.SIGKILL)
    journal = forwarder.folder / "state" / "journal"
    os.truncate(journal, journal.stat().st_size - TORN_BYTES)
    platform.accepts_notifications = True
    for destination in (LIVE, HANGING, HANGING_TOO):
        endpoints[destination].answer = response(200)
    process = await forwarder.start(second)
    recovered = (await process.figures())["journal"]["recovered"]
    await wait_for("all messages end", lambda: process.has_open(0))
    repeated = await submit(forwarder.port, "done", "order", DELIVERED)

    async def notified() -> bool:
        return {"owed", "called"} <= set(platform.notifications)

    await wait_for("owed notifications are sent", notified)
    await process.stop(signal.SIGTERM)
    process = await forwarder.start(first)
    again = (await process.figures())["journal"]["recovered"]
    repeated_again = await submit(forwarder.port, "keyed", "order", LIVE)
    await wait_for("nothing is left open", lambda: process.has_open(0))
    await process.stop(signal.SIGTERM)
    counted = ("torn", "gaps", "missing", "lost", "doubted", "skipped")
    return {
        "recovered": {name: recovered[name] for name in counted},
        "recovered again": {name: again[name] for name in counted},
        "repeated": [repeated.status, repeated_again.status],
        **outcome_of(endpoints, platform),
    }


async def run_state(first: Path, second: Path, folder: Path) -> str:
    """Compare the outcome over two builds with that of the first build alone."""
    for name in ("mixed", "alone"):
        (folder / name).mkdir()
    mixed = await play_state(first, second, folder / "mixed")
    alone = await play_state(first, first, folder / "alone")
    require(mixed == alone, f"mixed {mixed}, alone {alone}")
    require(mixed["recovered"]["torn"] > 0, f"no torn tail: {mixed['recovered']}")
    return json.dumps(mixed)


# A handover under load


@dataclass
class Load:
    """Clients that hand in messages at a steady rate on connections that they keep."""

    port: int
    statuses: dict[str, int] = field(default_factory=dict)
    unanswered: list[str] = field(default_factory=list)
    running: bool = True

    async def run(self) -> None:
        """Hand in messages until `running` is false."""
        async with asyncio.TaskGroup() as group:
            for client in range(LOAD_CLIENTS):
                group.create_task(self._run_client(client))

    async def _run_client(self, client: int) -> None:
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        number = 0
        while self.running:
            number += 1
            cls = ("status", "pay", "order")[number % 3]
            name = f"c{client}-{number}"
            if streams is None:
                streams = await asyncio.open_connection("127.0.0.1", self.port)
            if not await self._send(streams, name, cls):
                streams[1].close()
                streams = None
            await asyncio.sleep(LOAD_CLIENTS / LOAD_PER_S)

    async def _send(
        self,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        name: str,
        cls: str,
    ) -> bool:
        """Hand in a message; whether the connection may be used again."""
        reader, writer = streams
        writer.write(message_bytes(name, cls, DELIVERED))
        try:
            async with asyncio.timeout(TIMEOUT_S):
                first, headers, _ = await read_http(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.unanswered.append(name)
            return False
        self.statuses[name] = int(first.split(" ")[1])
        return headers.get("connection") != "close"


async def run_handover(first: Path, second: Path, folder: Path) -> str:
    """Hand over from one build to the other and back, under load."""
    endpoint = Endpoint(response(200))
    await endpoint.start()
    platform = Platform({DELIVERED: endpoint})
    await platform.start()
    forwarder = Forwarder(folder / "f0", platform.port, platform.listing())
    process = await forwarder.start(first)
    load = Load(forwarder.port)
    task = asyncio.create_task(load.run())
    for build in (second, first):
        await asyncio.sleep(LOAD_BEFORE_HANDOVER_S)
        successor = await forwarder.start(build)
        await asyncio.sleep(LOAD_BEFORE_HANDOVER_S)
        await process.stop(signal.SIGTERM)
        process = successor
    await asyncio.sleep(LOAD_BEFORE_HANDOVER_S)
    load.running = False
    await task
    await wait_for("all messages end", lambda: process.has_open(0))
    await process.stop(signal.SIGTERM)
    return judge_load(load, Counter(endpoint.received), platform)


def judge_load(load: Load, received: Counter[str], platform: Platform) -> str:
    """Check that each accepted message was delivered once, and nothing else was."""
    accepted = [name for name, status in load.statuses.items() if status == ACCEPTED]
    lost = [name for name in accepted if not received[name]]
    doubled = [name for name, count in received.items() if count > 1]
    rejected = set(load.statuses) - set(accepted)
    delivered_though_rejected = rejected & set(received)
    text = (
        f"{len(accepted)} accepted, {len(rejected)} rejected, "
        f"{len(load.unanswered)} unanswered, {len(lost)} lost, {len(doubled)} doubled, "
        f"{len(delivered_though_rejected)} rejected and delivered, "
        f"{len(platform.notifications)} notified"
    )
    require(bool(accepted), text)
    bad = [*lost, *doubled, *delivered_though_rejected, *platform.notifications]
    require(not bad and not load.unanswered, f"{text}: {bad[:5]}")
    return text


# Forwarders of both builds at one list service


class ListService:
    """A list service's folder; a process of either build runs on it."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir()
        self.folder = folder
        self.ports = [free_port() for _ in range(3)]
        budget = {
            "destination": str(DELIVERED),
            "calls": BUDGET_CALLS,
            "span_ms": SPAN_MS,
            "reserve": RESERVE,
            "members_max": MAX_MEMBERS,
        }
        (folder / "b.json").write_text(json.dumps({"budgets": [budget]}))

    async def start(self, build: Path, is_new: bool) -> Process:
        """Start a process of a build, and wait until it is ready."""
        listen, write, fleet = (f"127.0.0.1:{port}" for port in self.ports)
        arguments = [
            *("--state", f"{self.folder}/state", "--listen", listen),
            *("--write", write, "--fleet", fleet, "--lease-ms", str(LEASE_MS)),
            *("--longest-ms", str(LEASE_MS), "--budgets", f"{self.folder}/b.json"),
            *(("--new", "--reserves-known") if is_new else ()),
        ]
        process = Process(build, "rainfall.registry", arguments)
        await process.start()
        return process

    async def listing(self) -> list[dict[str, Any]]:
        """The endpoints on the list."""
        answer = await call_http(self.ports[0], "GET", "/discovery/hosts")
        require(answer.status == 200, f"the list: {answer.status} {answer.body!r}")
        return list(json.loads(answer.body)["hosts"])

    async def epoch(self) -> int:
        """The number of histories that the service counts."""
        answer = await call_http(self.ports[0], "GET", "/_vars")
        return int(json.loads(answer.body)["epoch"])


async def shares_of(members: list[ForwarderProcess]) -> list[int]:
    """The calls that each member may make in a span, by its own figures."""
    figures = [await member.figures() for member in members]
    budgets = [figure["fleet"]["budgets"][str(DELIVERED)] for figure in figures]
    return [int(b["share"]) if b["by"] == "lease" else 0 for b in budgets]


async def wait_for_shares(members: list[ForwarderProcess]) -> list[int]:
    """Wait until all members have shares that no longer change; the shares, sorted.

    Raises:
        MixedBuildsError: Together they exceed the budget, or they do not settle.
    """
    shares: list[int] = []
    settled_at = time.monotonic() + SETTLED_AFTER_S

    async def are_settled() -> bool:
        nonlocal settled_at
        latest = await shares_of(members)
        require(sum(latest) <= BUDGET_CALLS, f"shares {latest} of {BUDGET_CALLS}")
        if latest != shares or not min(latest):
            shares[:] = latest
            settled_at = time.monotonic() + SETTLED_AFTER_S
        return time.monotonic() >= settled_at

    await wait_for("shares settle", are_settled)
    return sorted(shares)


@contextlib.asynccontextmanager
async def running_fleet(
    service: ListService, forwarders: list[Forwarder], builds: list[Path], new: bool
) -> AsyncIterator[list[ForwarderProcess]]:
    """The service as the first build, a forwarder as each of the others."""
    process = await service.start(builds[0], new)
    members = [
        await forwarder.start(build)
        for forwarder, build in zip(forwarders, builds[1:], strict=True)
    ]
    try:
        yield members
    finally:
        for running in (*members, process):
            await running.stop()


async def run_fleet(first: Path, second: Path, folder: Path) -> str:
    """Run a mixed fleet, then every process of it as the other build.

    Shares depend on the demand of the moment, so they are only bounded.
    """
    endpoint = Endpoint(response(200))
    await endpoint.start()
    service = ListService(folder / "service")
    known = {"seq": -1, "whole": True, "hosts": []}
    fleet = {"service": f"127.0.0.1:{service.ports[2]}", "site": "a"}
    reserve = {"destination": DELIVERED, "reserve": RESERVE, "span_ms": SPAN_MS}
    budgets = [{**reserve, "calls": BUDGET_CALLS, "members": MAX_MEMBERS}]
    forwarders = [
        Forwarder(
            folder / name,
            service.ports[0],
            known,
            fleet={**fleet, "lease_ms": LEASE_MS, "budgets": budgets},
            log_format="json",
        )
        for name in ("f0", "f1")
    ]
    expected: list[str] = []
    settled: list[list[int]] = []
    seen = []
    for turn, builds in enumerate(([first, first, second], [second, second, first])):
        async with running_fleet(service, forwarders, builds, not turn) as members:
            if not turn:
                await register(service.ports[1], endpoint.port)
            shares = await wait_for_shares(members)
            await deliver(forwarders, endpoint, expected, turn)
            settled.append(shares)
            seen.append((await service.listing(), await service.epoch()))
    require(seen[0] == seen[1], f"{seen}")
    return f"{len(expected)} delivered once, shares {settled} of {BUDGET_CALLS}"


async def register(port: int, endpoint_port: int) -> None:
    """Put the endpoint on the service's list."""
    entry = host_entry("s8", endpoint_port, DELIVERED)
    del entry["health"]
    change = {"id": "c1", "ops": [{"op": "register", **entry}]}
    answer = await call_http(port, "POST", "/v1/hosts", change)
    require(answer.status == 200, f"register: {answer.status} {answer.body!r}")


async def deliver(
    forwarders: list[Forwarder], endpoint: Endpoint, expected: list[str], turn: int
) -> None:
    """Hand in messages at each forwarder, and wait until all are delivered once."""
    for forwarder in forwarders:
        for number in range(20):
            name = f"{forwarder.folder.name}-{turn}-{number}"
            await accept(forwarder.port, name, ("status", "pay")[number % 2], DELIVERED)
            expected.append(name)

    async def all_received() -> bool:
        return set(endpoint.received) >= set(expected)

    await wait_for("all messages are delivered", all_received)
    require(sorted(endpoint.received) == sorted(expected), "a message came twice")


# Frames between forwarders, and session records

FRAME_PROGRAM = """
import socket, sys
from rainfall.peer import frames
from rainfall.session.protocol import decode_record, encode_record
from tests.compatibility.frames import FRAMES, RECORDS

def receive(connection, size):
    data = b""
    while len(data) < size:
        part = connection.recv(size - len(data))
        if not part:
            raise SystemExit("the other process ended")
        data += part
    return data

def receive_block(connection):
    return receive(connection, int.from_bytes(receive(connection, 4), "big"))

def encode_block(data):
    return len(data).to_bytes(4, "big") + data

own = [b"".join(map(frames.encode, FRAMES)), *map(encode_record, RECORDS)]
if sys.argv[1] == "listen":
    server = socket.create_server(("127.0.0.1", 0))
    print(server.getsockname()[1], flush=True)
    connection, _ = server.accept()
else:
    connection = socket.create_connection(("127.0.0.1", int(sys.argv[2])))
connection.sendall(b"".join(map(encode_block, own)))
received = [receive_block(connection) for _ in own]
decoded = frames.FrameSplitter().feed(received[0])
records = [decode_record(data) for data in received[1:]]
assert decoded == FRAMES and records == RECORDS, "decoded otherwise"
back = [b"".join(map(frames.encode, decoded)), *map(encode_record, records)]
assert back == received == own, "encoded otherwise"
connection.sendall(b"y")
assert receive(connection, 1) == b"y"
print(len(decoded), "frames,", len(records), "records", flush=True)
"""


async def run_frames(first: Path, second: Path, _folder: Path) -> str:
    """Let a process of each build decode what the other one encodes."""

    async def start(build: Path, *arguments: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", FRAME_PROGRAM, *arguments),
            cwd=build,
            stdout=asyncio.subprocess.PIPE,
        )

    server = await start(first, "listen")
    assert server.stdout is not None
    port = (await server.stdout.readline()).decode().strip()
    client = await start(second, "connect", port)
    Process.running.extend((server, client))
    async with asyncio.timeout(TIMEOUT_S):
        outputs = [(await each.communicate())[0].decode() for each in (server, client)]
    codes = [server.returncode, client.returncode]
    require(codes == [0, 0] and outputs[0] == outputs[1], f"{codes} {outputs}")
    return outputs[0].strip() + ", both ways"


SCENARIOS: dict[str, Callable[[Path, Path, Path], Awaitable[str]]] = {
    "state": run_state,
    "handover": run_handover,
    "fleet": run_fleet,
    "frames": run_frames,
}


async def end_all(processes: list[asyncio.subprocess.Process]) -> None:
    """Kill the processes that still run, and empty the list."""
    while processes:
        process = processes.pop()
        if process.returncode is None:
            process.kill()
            await process.wait()


async def run_all(old: Path, new: Path) -> int:
    """Run every scenario both ways round; the number that failed."""
    failed = 0
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    for title, scenario in SCENARIOS.items():
        for order, (first, second) in {
            "old, new": (old, new),
            "new, old": (new, old),
        }.items():
            with tempfile.TemporaryDirectory() as folder:
                try:
                    text = await scenario(first, second, Path(folder))
                except Exception as error:
                    failed += 1
                    text = f"FAILED: {error or type(error).__name__}"
                    traceback.print_exc()
                finally:
                    await end_all(Process.running)
            print(f"{title} ({order}): {text}", flush=True)
    return failed


def main() -> None:
    """Read the command line, and run."""
    if len(sys.argv) != 3:
        sys.exit("usage: python -m measure.mixed_builds OLD NEW")
    old, new = (Path(argument).resolve() for argument in sys.argv[1:])
    sys.exit(1 if asyncio.run(run_all(old, new)) else 0)


if __name__ == "__main__":
    main()
