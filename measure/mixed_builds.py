"""Tests two builds of the program together, as real processes over loopback.

    python -m measure.mixed_builds OLD NEW

Run from the root of the repository; OLD and NEW are the roots of two checkouts. Each
scenario runs twice, the second time with the builds swapped:

- state: the first build accepts messages and is killed, and the end of its journal is
  truncated. The second build recovers the folder, and then the first build recovers it
  again. The outcome must equal that of the first build alone.
- handover: the first build hands over to the second under load, and the second back to
  the first. Each accepted message must be delivered exactly once.
- fleet: forwarders of both builds use the list service of one of them. After every process
  is restarted as the other build, the endpoints and the epoch must be as before. The
  shares must never exceed the budget.
- frames: a process of each build decodes and re-encodes the peer frames and the session
  records of the other.

Prints a line for each run, and exits with 1 if any run failed.
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
"""Maximum time to wait for an expected condition or a response."""
POLL_INTERVAL_S = 0.02
LOAD_PER_S = 150
LOAD_CLIENTS = 6
LOAD_BEFORE_HANDOVER_S = 1.0
TORN_BYTES = 3
"""Bytes cut from the end of the journal, as after an incomplete write."""
RETRY_AFTER_MS = 2500
BUDGET_CALLS = 100
SPAN_MS = 400
MAX_MEMBERS = 10
RESERVE = 1
"""Calls per span that each of `MAX_MEMBERS` members may make without a share."""
LEASE_MS = 900
SETTLED_AFTER_S = 2.0
"""Shares count as settled after this time without a change."""
ACCEPTED = 202


class MixedBuildsError(Exception):
    """A run violated an expectation; the message gives the observed values."""


def require(condition: bool, text: str) -> None:
    """Fail the run with `text` if a condition is false.

    Raises:
        MixedBuildsError: The condition is false.
    """
    if not condition:
        raise MixedBuildsError(text)


async def wait_for(description: str, condition: Callable[[], Awaitable[bool]]) -> None:
    """Poll a condition until it is true.

    Raises:
        MixedBuildsError: The condition is still false after `TIMEOUT_S`; the message names
            the condition by `description`.
    """
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        raise MixedBuildsError(
            f"timeout after {TIMEOUT_S:g} s, waited for: {description}"
        ) from None


def free_port() -> int:
    """A loopback port that is currently free."""
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
    """Read a request or response: first line, headers with lower-case names, and body."""
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
    """Make one call on a new connection, with `body` encoded as JSON."""
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
    """An HTTP server on loopback that replaces a peer of the program in a scenario."""

    port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def respond(self, request: Request) -> bytes:
        """Return the complete response to a request, as bytes."""
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
    """Encode an HTTP response."""
    head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Endpoint(HttpStandIn):
    """An endpoint that records the messages it receives; its response can be changed."""

    def __init__(self, answer: bytes | None = None) -> None:
        self.received: list[str] = []
        self.answer = answer
        """The response to each call; None leaves the call unanswered."""

    async def respond(self, request: Request) -> bytes:
        """Record the message's name, and return the current response."""
        self.received.append(request.headers["x-correlation-id"])
        if self.answer is None:
            await asyncio.sleep(3600)
        return self.answer or b""


class Platform(HttpStandIn):
    """Discovery with a fixed endpoint list, and the receiver of notifications."""

    def __init__(self, endpoints: dict[int, Endpoint]) -> None:
        self.endpoints = endpoints
        self.accepts_notifications = True
        self.notifications: dict[str, str] = {}
        """The notified final state, by message name."""

    def listing(self) -> dict[str, Any]:
        """The complete endpoint list, in discovery's format."""
        hosts = [
            host_entry(f"s{destination}", endpoint.port, destination)
            for destination, endpoint in self.endpoints.items()
        ]
        return {"seq": 1, "whole": True, "hosts": hosts}

    async def respond(self, request: Request) -> bytes:
        """Record notifications, or return the list; a watch returns empty after its hold."""
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
    """An endpoint list entry in discovery's format."""
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


def message_class(name: str, effect: str, **extra: Any) -> dict[str, Any]:
    """A message class with timeouts so long that a slow machine causes no retry."""
    return {
        "name": name,
        "aim_us": 30_000_000,
        "deadline_us": 60_000_000,
        "effect": effect,
        **extra,
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


def message_bytes(name: str, class_name: str, destination: int) -> bytes:
    """The HTTP request with which a client hands in a message."""
    lines = [
        f"POST /{class_name} HTTP/1.1",
        "Host: origin.svc",
        f"X-Correlation-Id: {name}",
        "X-Account: acme",
        "X-Time-Left: 50",
        f"Idempotency-Key: key-{name}",
        f"X-Addressing: dest={destination}",
    ]
    if class_name == "turns":
        lines.append("X-Session-Key: k")
    return "\r\n".join([*lines, "Content-Length: 5"]).encode() + b"\r\n\r\nhello"


@dataclass
class Process:
    """A process of one build, with its recorded log."""

    running: ClassVar[list[asyncio.subprocess.Process]] = []
    """All started processes, so that they can be killed after a failed run."""

    build: Path
    module: str
    arguments: list[str]
    environment: dict[str, str] = field(default_factory=dict)
    inherited: tuple[int, ...] = ()
    log: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Start the process, and wait until it logs that it is ready."""
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
        require(
            self.process.returncode is None,
            f"exited before it was ready, last log lines: {self.log[-5:]}",
        )
        return any(line.rstrip().endswith(": ready") for line in self.log) or any(
            '"event": "ready"' in line for line in self.log
        )

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode())

    async def stop(self, stop_signal: signal.Signals = signal.SIGTERM) -> None:
        """End the process with a signal, and check that its log has no traceback."""
        if self.process.returncode is None:
            self.process.send_signal(stop_signal)
        async with asyncio.timeout(TIMEOUT_S):
            await self.process.wait()
            await self.reader
        text = "".join(self.log)
        require("Traceback" not in text, text[-2000:])


class Forwarder:
    """The folder and addresses of a forwarder, which processes of both builds can use."""

    def __init__(
        self, folder: Path, discovery_port: int, known: dict[str, Any], **extra: Any
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
            **extra,
        }
        (folder / "config.json").write_text(json.dumps(config))

    async def start(self, build: Path) -> ForwarderProcess:
        """Start a process of the given build, and wait until it is ready."""
        process = ForwarderProcess(self, build)
        await process.start()
        return process


class ForwarderProcess(Process):
    """One process that uses a forwarder's folder, with its own operators' address."""

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
        """The variables that the operators' address returns."""
        answer = await call_http(self.admin_port, "GET", "/_vars")
        return dict(json.loads(answer.body))

    async def has_open(self, count: int) -> bool:
        """Whether exactly `count` accepted messages are unfinished."""
        return bool((await self.figures())["open_requests"] == count)


async def submit(port: int, name: str, class_name: str, destination: int) -> Response:
    """Hand in one message on a new connection, and return the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(message_bytes(name, class_name, destination))
    try:
        async with asyncio.timeout(TIMEOUT_S):
            first, headers, body = await read_http(reader)
    finally:
        writer.close()
    return Response(int(first.split(" ")[1]), headers, body)


async def accept(port: int, name: str, class_name: str, destination: int) -> None:
    """Hand in a message, and require that it is accepted."""
    status = (await submit(port, name, class_name, destination)).status
    require(status == ACCEPTED, f"{name}: status {status}, expected {ACCEPTED}")


# Recovery of state that the other build wrote

LIVE, DELIVERED, HANGING, HANGING_RETRYABLE, FAILING = 7, 8, 9, 11, 10
RETRY_LATER = response(429, headers=f"X-RateLimit-Wait-Ms: {RETRY_AFTER_MS}\r\n")


async def write_state(
    process: ForwarderProcess, port: int, endpoints: dict[int, Endpoint]
) -> None:
    """Put messages in each state into the journal.

    The states are: live, keyed, ordered, finished, notification pending, call in progress.
    """
    await accept(port, "owed", "pay", FAILING)
    await accept(port, "done", "order", DELIVERED)
    for name, class_name in (
        ("live", "status"),
        ("keyed", "order"),
        ("turn1", "turns"),
    ):
        await accept(port, name, class_name, LIVE)
    await accept(port, "turn2", "turns", LIVE)
    await accept(port, "called", "pay", HANGING)
    await accept(port, "again", "status", HANGING_RETRYABLE)

    async def all_called() -> bool:
        called = (LIVE, HANGING, HANGING_RETRYABLE)
        return all(endpoints[destination].received for destination in called)

    await wait_for("calls have reached the endpoints", all_called)
    require(await process.has_open(6), f"{(await process.figures())['open_requests']}")


def outcome_of(endpoints: dict[int, Endpoint], platform: Platform) -> dict[str, Any]:
    """How often each endpoint received each message, and the notified final states."""
    received = {
        str(destination): dict(sorted(Counter(endpoint.received).items()))
        for destination, endpoint in endpoints.items()
        if destination
        != LIVE  # The number of calls before the retry delay is received varies.
    }
    was_received = {
        name: endpoints[LIVE].received.count(name) > 0 for name in ("live", "keyed")
    }
    order = [name for name in endpoints[LIVE].received if name in ("turn1", "turn2")][
        -2:
    ]
    return {
        "received": received,
        "live": was_received,
        "order": order,
        "notified": dict(sorted(platform.notifications.items())),
    }


async def recover_state(first: Path, second: Path, folder: Path) -> dict[str, Any]:
    """Write state with one build, recover it with the other, then again with the first."""
    endpoints = {
        LIVE: Endpoint(RETRY_LATER),
        DELIVERED: Endpoint(response(200)),
        HANGING: Endpoint(None),
        HANGING_RETRYABLE: Endpoint(None),
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
    for destination in (LIVE, HANGING, HANGING_RETRYABLE):
        endpoints[destination].answer = response(200)
    process = await forwarder.start(second)
    recovered = (await process.figures())["journal"]["recovered"]
    await wait_for("all messages are finished", lambda: process.has_open(0))
    repeated = await submit(forwarder.port, "done", "order", DELIVERED)

    async def notified() -> bool:
        return {"owed", "called"} <= set(platform.notifications)

    await wait_for("pending notifications are sent", notified)
    await process.stop(signal.SIGTERM)
    process = await forwarder.start(first)
    recovered_again = (await process.figures())["journal"]["recovered"]
    repeated_again = await submit(forwarder.port, "keyed", "order", LIVE)
    await wait_for("no message is unfinished", lambda: process.has_open(0))
    await process.stop(signal.SIGTERM)
    counters = ("torn", "gaps", "missing", "lost", "doubted", "skipped")
    return {
        "recovered": {name: recovered[name] for name in counters},
        "recovered again": {name: recovered_again[name] for name in counters},
        "repeated": [repeated.status, repeated_again.status],
        **outcome_of(endpoints, platform),
    }


async def run_state(first: Path, second: Path, folder: Path) -> str:
    """Require the same outcome of recovery across builds as in the first build alone."""
    for name in ("mixed", "alone"):
        (folder / name).mkdir()
    mixed = await recover_state(first, second, folder / "mixed")
    alone = await recover_state(first, first, folder / "alone")
    require(mixed == alone, f"outcomes differ: mixed {mixed}, alone {alone}")
    require(
        mixed["recovered"]["torn"] > 0,
        f"recovery found no torn record: {mixed['recovered']}",
    )
    return json.dumps(mixed)


# Handover under load


@dataclass
class Load:
    """Clients that hand in messages at a constant rate over persistent connections."""

    port: int
    statuses: dict[str, int] = field(default_factory=dict)
    unanswered: list[str] = field(default_factory=list)
    running: bool = True

    async def run(self) -> None:
        """Run all clients until `running` is false."""
        async with asyncio.TaskGroup() as group:
            for client in range(LOAD_CLIENTS):
                group.create_task(self._run_client(client))

    async def _run_client(self, client: int) -> None:
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        number = 0
        while self.running:
            number += 1
            class_name = ("status", "pay", "order")[number % 3]
            name = f"c{client}-{number}"
            if streams is None:
                streams = await asyncio.open_connection("127.0.0.1", self.port)
            if not await self._send(streams, name, class_name):
                streams[1].close()
                streams = None
            await asyncio.sleep(LOAD_CLIENTS / LOAD_PER_S)

    async def _send(
        self,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        name: str,
        class_name: str,
    ) -> bool:
        """Hand in a message, and return whether the connection can be reused."""
        reader, writer = streams
        writer.write(message_bytes(name, class_name, DELIVERED))
        try:
            async with asyncio.timeout(TIMEOUT_S):
                first, headers, _ = await read_http(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.unanswered.append(name)
            return False
        self.statuses[name] = int(first.split(" ")[1])
        return headers.get("connection") != "close"


async def run_handover(first: Path, second: Path, folder: Path) -> str:
    """Hand over from the first build to the second and back, under load."""
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
    await wait_for("all messages are finished", lambda: process.has_open(0))
    await process.stop(signal.SIGTERM)
    return check_load(load, Counter(endpoint.received), platform)


def check_load(load: Load, received: Counter[str], platform: Platform) -> str:
    """Summarise the load, and require that each accepted message is delivered once.

    Raises:
        MixedBuildsError: A message is lost, duplicated, unanswered, notified, or delivered
            although rejected, or none was accepted; the message has the counts.
    """
    accepted = [name for name, status in load.statuses.items() if status == ACCEPTED]
    lost = [name for name in accepted if not received[name]]
    duplicated = [name for name, count in received.items() if count > 1]
    rejected = set(load.statuses) - set(accepted)
    delivered_but_rejected = rejected & set(received)
    text = (
        f"{len(accepted)} accepted, {len(rejected)} rejected, "
        f"{len(load.unanswered)} unanswered, {len(lost)} lost, {len(duplicated)} duplicated, "
        f"{len(delivered_but_rejected)} rejected and delivered, "
        f"{len(platform.notifications)} notified"
    )
    require(bool(accepted), text)
    violations = [*lost, *duplicated, *delivered_but_rejected, *platform.notifications]
    require(not violations and not load.unanswered, f"{text}: {violations[:5]}")
    return text


# Fleet of both builds with one list service


class ListService:
    """The folder and ports of a list service, which processes of both builds can use."""

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
        """Start a process of the given build, and wait until it is ready."""
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
        """The entries of the service's endpoint list."""
        answer = await call_http(self.ports[0], "GET", "/discovery/hosts")
        require(
            answer.status == 200,
            f"endpoint list: status {answer.status}, body {answer.body!r}",
        )
        return list(json.loads(answer.body)["hosts"])

    async def epoch(self) -> int:
        """The epoch of the service's change history."""
        answer = await call_http(self.ports[0], "GET", "/_vars")
        return int(json.loads(answer.body)["epoch"])


async def reported_shares(members: list[ForwarderProcess]) -> list[int]:
    """The calls per span that each member reports for itself; 0 without a leased share."""
    figures = [await member.figures() for member in members]
    budgets = [figure["fleet"]["budgets"][str(DELIVERED)] for figure in figures]
    return [
        int(budget["share"]) if budget["by"] == "lease" else 0 for budget in budgets
    ]


async def wait_for_shares(members: list[ForwarderProcess]) -> list[int]:
    """Wait until all members have shares that no longer change, and return them sorted.

    Raises:
        MixedBuildsError: The sum of the shares exceeds the budget, or the shares do not
            settle within `TIMEOUT_S`.
    """
    shares: list[int] = []
    settled_at = time.monotonic() + SETTLED_AFTER_S

    async def are_settled() -> bool:
        nonlocal settled_at
        latest = await reported_shares(members)
        require(
            sum(latest) <= BUDGET_CALLS,
            f"shares {latest} exceed the budget of {BUDGET_CALLS}",
        )
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
    """Run the service with the first build, and one forwarder with each of the others."""
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
    """Run a mixed fleet, then restart every process of it as the other build.

    The shares depend on the current demand, so only their sum is checked.
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
    lists_and_epochs = []
    for turn, builds in enumerate(([first, first, second], [second, second, first])):
        async with running_fleet(service, forwarders, builds, not turn) as members:
            if not turn:
                await register(service.ports[1], endpoint.port)
            shares = await wait_for_shares(members)
            await deliver(forwarders, endpoint, expected, turn)
            settled.append(shares)
            lists_and_epochs.append((await service.listing(), await service.epoch()))
    require(lists_and_epochs[0] == lists_and_epochs[1], f"{lists_and_epochs}")
    return f"{len(expected)} delivered once, shares {settled} of {BUDGET_CALLS}"


async def register(port: int, endpoint_port: int) -> None:
    """Register the endpoint with the list service."""
    entry = host_entry("s8", endpoint_port, DELIVERED)
    del entry["health"]
    change = {"id": "c1", "ops": [{"op": "register", **entry}]}
    answer = await call_http(port, "POST", "/v1/hosts", change)
    require(
        answer.status == 200, f"register: status {answer.status}, body {answer.body!r}"
    )


async def deliver(
    forwarders: list[Forwarder], endpoint: Endpoint, expected: list[str], turn: int
) -> None:
    """Hand in messages at each forwarder, and require that each is delivered once."""
    for forwarder in forwarders:
        for number in range(20):
            name = f"{forwarder.folder.name}-{turn}-{number}"
            await accept(forwarder.port, name, ("status", "pay")[number % 2], DELIVERED)
            expected.append(name)

    async def all_received() -> bool:
        return set(endpoint.received) >= set(expected)

    await wait_for("all messages are delivered", all_received)
    require(
        sorted(endpoint.received) == sorted(expected),
        "a message was delivered more than once",
    )


# Peer frames and session records

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
    """Require that each build decodes the frames and records that the other encodes."""

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
    require(
        codes == [0, 0] and outputs[0] == outputs[1],
        f"exit codes {codes}, outputs {outputs}",
    )
    return outputs[0].strip() + ", both ways"


SCENARIOS: dict[str, Callable[[Path, Path, Path], Awaitable[str]]] = {
    "state": run_state,
    "handover": run_handover,
    "fleet": run_fleet,
    "frames": run_frames,
}


async def end_all(processes: list[asyncio.subprocess.Process]) -> None:
    """Kill the processes that are still running, and empty the list."""
    while processes:
        process = processes.pop()
        if process.returncode is None:
            process.kill()
            await process.wait()


async def run_all(old: Path, new: Path) -> int:
    """Run every scenario in both orders of builds; the number of failed runs."""
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
    """Parse the command line, run the scenarios, and exit with their result."""
    if len(sys.argv) != 3:
        sys.exit("usage: python -m measure.mixed_builds OLD NEW")
    old, new = (Path(argument).resolve() for argument in sys.argv[1:])
    sys.exit(1 if asyncio.run(run_all(old, new)) else 0)


if __name__ == "__main__":
    main()
