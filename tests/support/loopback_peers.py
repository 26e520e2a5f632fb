"""Scripted loopback peers for the tests: endpoints, discovery, clients, and the real program
as a subprocess.
"""

from __future__ import annotations

import asyncio
import copy
import ctypes
import json
import os
import resource
import signal
import socket
import sys
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.support.paths import ROOT

# seconds that a test waits for an event before it fails; no test asserts on speed
PATIENCE = 20.0


@dataclass
class Request:
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    peer: Peer
    writer: asyncio.StreamWriter


@dataclass
class Answer:
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    return (
        head[0],
        headers,
        await reader.readexactly(int(headers.get("content-length", 0))),
    )


Handler = Callable[[Request], Awaitable[Answer | bytes | None]]


class Peer:
    """An HTTP server. Its handler returns an answer, raw bytes to send, or None to close the
    connection without an answer.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.requests: list[Request] = []
        self.closed = 0
        self.changed = asyncio.Condition()
        self.port = 0

    async def start(self) -> Peer:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def note(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE), self.changed:
            await self.changed.wait_for(test)

    async def wait_for_requests(self, count: int) -> list[Request]:
        await self.until(lambda: len(self.requests) >= count)
        return self.requests

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request_line, headers, body = await read_message(reader)
                method, path, _ = request_line.split(" ", 2)
                request = Request(method, path, headers, body, self, writer)
                self.requests.append(request)
                await self.note()
                answer = await self.handler(request)
                if answer is None:
                    break
                if isinstance(answer, Answer):
                    lines = [
                        f"HTTP/1.1 {answer.status} X",
                        f"Content-Length: {len(answer.body)}",
                        *(f"{k}: {v}" for k, v in answer.headers.items()),
                    ]
                    answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + answer.body
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed += 1
            writer.close()
            await self.note()


def answer_in_turn(*answers: Answer | bytes | None) -> Handler:
    """Returns a handler that gives these answers in turn and then repeats the last one."""
    left = list(answers)

    async def handler(request: Request) -> Answer | bytes | None:
        return left.pop(0) if len(left) > 1 else left[0]

    return handler


async def hang(request: Request) -> None:
    await asyncio.sleep(3600)


OK = Answer(200)


class Platform(Peer):
    """Serves discovery (the endpoint list) and accepts notifications."""

    def __init__(self) -> None:
        super().__init__(self.answer)
        self.seq, self.hosts = 1, {}
        self.news: dict[int, list[dict[str, Any]]] = {}
        self.notices: list[dict[str, Any]] = []
        self.accepts = True
        self.garbage = 0

    hosts: dict[str, dict[str, Any]]

    def host(
        self,
        name: str,
        port: int,
        block: int = 7,
        health: str = "up",
        kind: str = "plain",
    ) -> None:
        self.hosts[name] = {
            "host": name,
            "dial": f"127.0.0.1:{port}",
            "site": "x",
            "class": kind,
            "block": block,
            "health": health,
            "share": 100.0,
            "born_ms": 0,
        }

    def listing(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def change(self, name: str, health: str) -> None:
        self.hosts[name]["health"] = health
        self.seq += 1
        self.news[self.seq] = [dict(self.hosts[name])]
        await self.note()

    async def answer(self, request: Request) -> Answer | bytes | None:
        if request.path == "/v1/notices":
            if not self.accepts:
                return Answer(503)
            self.notices += [json.loads(line) for line in request.body.splitlines()]
            await self.note()
            return Answer(204)
        if self.garbage:
            self.garbage -= 1
            return Answer(200, body=b'{"seq": "x", "hosts": [3')
        since = int(request.path.partition("from=")[2].partition("&")[0] or -1)
        if since < min(1, self.seq):
            return Answer(200, body=json.dumps(self.listing()).encode())
        hold_ms = int(request.path.partition("hold_ms=")[2] or 0)
        try:
            async with asyncio.timeout(hold_ms / 1000), self.changed:
                await self.changed.wait_for(lambda: self.seq > since)
        except TimeoutError:
            pass
        hosts = [
            host
            for seq in range(since + 1, self.seq + 1)
            for host in self.news.get(seq, [])
        ]
        return Answer(
            200,
            body=json.dumps({"seq": self.seq, "whole": False, "hosts": hosts}).encode(),
        )

    async def notice(self, name: str) -> dict[str, Any]:
        await self.until(lambda: any(n["id"] == name for n in self.notices))
        return next(n for n in self.notices if n["id"] == name)


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1
"""Linux: prctl(2). A forwarder that outlived its test run would go on asking for the list
at a port that a later test's endpoint may have.
"""
RESERVED_PORTS: deque[socket.socket] = deque(maxlen=200)
"""Bound sockets that do not listen: the kernel gives their ports to nobody else, and a
process that binds with SO_REUSEADDR, as servers do, may still listen there.
"""


def free_port() -> int:
    """Reserve a port for a process that binds it later."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    if len(RESERVED_PORTS) == RESERVED_PORTS.maxlen:
        RESERVED_PORTS.popleft().close()
    RESERVED_PORTS.append(reserved)
    return int(reserved.getsockname()[1])


SETTINGS: dict[str, Any] = {
    "allowed": {
        "conn_idle_us": 5_000_000,
        "dial_timeout_us": 1_000_000,
        "max_attempts": 6,
        "max_open": 50,
        "max_retry_after_us": 3_000_000,
        "retry_after": True,
        "may_cancel": True,
    },
    "balancers": 1,
    "discovery": "on_request",
    "host_types": ["plain", "lots"],
    "contract": {
        "grace_to_answer_us": 20_000,
        "drain_grace_us": 500_000,
        "ask_within_us": 10_000_000,
    },
    "family_info": {"slots": 8, "kind_batch": [1, 5], "routes_apart": [False, False]},
    "orgs": [{"name": "acme", "allowance_per_s": 1000.0, "fraction": 1.0}],
    "over_share_worth": 0.1,
    "services": [
        {
            "name": "order",
            "aim_us": 2_000_000,
            "deadline_us": 60_000_000,
            "effect": "by_key",
            "key_scope": "all",
            "window_us": 30_000_000,
        },
        {
            "name": "status",
            "aim_us": 2_000_000,
            "deadline_us": 60_000_000,
            "effect": "repeatable",
        },
        {
            "name": "turns",
            "aim_us": 2_000_000,
            "deadline_us": 60_000_000,
            "effect": "repeatable",
            "by_arrival": True,
        },
        {
            "name": "pay",
            "aim_us": 2_000_000,
            "deadline_us": 60_000_000,
            "effect": "once",
        },
    ],
    "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
    "weight_source": "nominal",
}


class Node:
    """The real program as a subprocess, with its configuration and state in a folder."""

    def __init__(
        self,
        folder: Path,
        platform: Platform,
        known: dict[str, Any] | None = None,
        disk_mb: float = 3,
        memory_mb: int = 192,
        sockets: int = 256,
        **allowed: Any,
    ) -> None:
        self.folder, self.port, self.admin = folder, free_port(), free_port()
        self.log: list[str] = []
        (folder / "state").mkdir(exist_ok=True)
        settings = {**SETTINGS, "allowed": {**SETTINGS["allowed"], **allowed}}
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{platform.port}",
            "seed": "5",
            "limits": {
                "cores": 1,
                "memory_mb": memory_mb,
                "sockets": sockets,
                "disk_mb": disk_mb,
            },
            "admin_addr": f"127.0.0.1:{self.admin}",
            "known": known or platform.listing(),
            "settings": settings,
        }
        (folder / "config.json").write_text(json.dumps(config))
        self.listener: socket.socket | None = None
        self.process_limits: dict[int, int] = {}
        """Limits that the process is started with, by the constants of `resource`."""

    def hold_listener(self) -> None:
        """Opens the clients' listening socket in the test; every process started later inherits
        it.
        """
        self.listener = socket.create_server(("127.0.0.1", self.port))

    async def start_second_process(self) -> Node:
        """Starts a second process on the same folder, with another admin address."""
        other = copy.copy(self)
        other.admin, other.log = free_port(), []
        await other.spawn()
        return other

    async def start(self) -> Node:
        await self.spawn()
        return await self.until_ready()

    async def spawn(self) -> None:
        env = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_STATE": str(self.folder / "state"),
            "LB_ADMIN_ADDR": f"127.0.0.1:{self.admin}",
        }
        fds = () if self.listener is None else (self.listener.fileno(),)
        if fds:
            env["LB_INHERITED_FD"] = str(fds[0])
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rainfall",
            cwd=ROOT,
            env=env,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=fds,
            preexec_fn=self.prepare_process,
        )
        self.drain = asyncio.create_task(self.read_log())
        self.ready = asyncio.Event()

    def prepare_process(self) -> None:
        """Let the process end with the test run, and set its limits (after the fork)."""
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        for kind, limit in self.process_limits.items():
            resource.setrlimit(kind, (limit, limit))

    async def until_logged(self, text: str) -> None:
        async with asyncio.timeout(PATIENCE):
            while not any(text in line for line in self.log):
                await asyncio.sleep(0.01)

    async def until_ready(self) -> Node:
        async with asyncio.timeout(PATIENCE):
            await self.ready.wait()
        return self

    async def read_log(self) -> None:
        assert self.process.stderr is not None
        async for raw in self.process.stderr:
            self.log.append(raw.decode())
            if self.log[-1].rstrip().endswith(": ready"):
                self.ready.set()

    async def end(self, sign: int = signal.SIGKILL) -> int:
        if self.process.returncode is None:
            self.process.send_signal(sign)
        async with asyncio.timeout(PATIENCE):
            code = await self.process.wait()
            await self.drain
        assert "Traceback" not in "".join(self.log), "".join(self.log)
        return code

    async def restart(self, sign: int = signal.SIGKILL) -> None:
        await self.end(sign)
        await self.start()

    async def operate(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[int, str]:
        """Makes one call at the admin address; returns the status and the body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        async with asyncio.timeout(PATIENCE):
            first, _, text = await read_message(reader)
            assert await reader.read() == b""  # one call per connection
        writer.close()
        return int(first.split(" ")[1]), text.decode()

    async def figures(self) -> dict[str, Any]:
        status, text = await self.operate("GET", "/_vars")
        assert status == 200
        return dict(json.loads(text))

    async def wait_for_metrics(
        self, test: Callable[[dict[str, Any]], bool]
    ) -> dict[str, Any]:
        """Waits until the metrics satisfy `test`, and returns them."""
        async with asyncio.timeout(PATIENCE):
            while not test(figures := await self.figures()):
                await asyncio.sleep(0.01)
        return figures

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def hand_in(
        self, name: str, cls: str = "order", **more: Any
    ) -> tuple[int, dict[str, str]]:
        client = await self.client()
        try:
            return await client.hand_in(name, cls, **more)
        finally:
            client.writer.close()


class Client:
    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer

    async def answer(self) -> tuple[int, dict[str, str]]:
        async with asyncio.timeout(PATIENCE):
            first, headers, _ = await read_message(self.reader)
        return int(first.split(" ")[1]), headers

    async def hand_in(
        self,
        name: str,
        cls: str = "order",
        left: str = "50",
        dest: object = 7,
        body: bytes = b"hello",
        **headers: str,
    ) -> tuple[int, dict[str, str]]:
        self.writer.write(message(name, cls, left, dest, body, **headers))
        return await self.answer()


def message(
    name: str,
    cls: str = "order",
    left: str = "50",
    dest: object = 7,
    body: bytes = b"hello",
    **changes: str | None,
) -> bytes:
    headers: dict[str, str | None] = {
        "Host": "origin.svc",
        "X-Correlation-Id": name,
        "X-Account": "acme",
        "X-Time-Left": left,
        "Idempotency-Key": f"key-{name}",
        "Content-Length": str(len(body)),
        "X-Addressing": f"dest={dest}",
    }
    headers |= {k.replace("_", "-"): v for k, v in changes.items()}
    lines = [
        f"POST /{cls} HTTP/1.1",
        *(f"{k}: {v}" for k, v in headers.items() if v is not None),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
