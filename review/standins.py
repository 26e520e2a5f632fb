"""Stand-ins for the review's cases: clients, endpoints, the platform, and the process.

Standard library only. Everything is on 127.0.0.1, on free ports and the real clock.
Each party follows the operators' page PROTOCOL; what a case changes in that is a
parameter. `Record` writes what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent
HOST = "127.0.0.1"
START = time.monotonic()
EXIT_HELD, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2
CLIENT_WAIT_S = 0.4
"""PROTOCOL: a client waits 400 ms for the answer."""


def now() -> float:
    """Return the seconds since this program started."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run: in memory, and a line each in a file."""

    def __init__(self, path: Path) -> None:
        self.events: list[dict[str, Any]] = []
        self.file = path.open("w")

    def add(self, kind: str, **fields: Any) -> dict[str, Any]:
        """Append an event with the present time."""
        event = {"t": round(now(), 4), "kind": kind, **fields}
        self.events.append(event)
        rest = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{event['t']:9.4f} {kind} {rest}\n")
        self.file.flush()
        return event

    def note(self, text: str) -> None:
        """Write a line of text that no check reads."""
        self.file.write(f"{now():9.4f} # {text}\n")
        self.file.flush()


def free_port() -> int:
    """Return a port of 127.0.0.1 that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Head:
    """The first line, headers and body of an HTTP request or response."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body


async def read_http(reader: asyncio.StreamReader) -> Head | None:
    """Read one message with a Content-Length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except asyncio.IncompleteReadError:
            return None
    return Head(lines[0], headers, body)


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Platform:
    """Discovery's agent, and the receiver of notices."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = free_port()
        self.seq = 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Event()
        self.up = True

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def set_host(self, host: str, **fields: Any) -> None:
        """Add an endpoint or change it; every forwarder's watch is told."""
        self.hosts[host] = {**self.hosts.get(host, {"host": host}), **fields}
        self.seq += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        try:
            while (request := await read_http(reader)) is not None:
                method, path, _ = request.first.split(" ", 2)
                if path == "/v1/notices":
                    for line in request.body.splitlines():
                        notice = json.loads(line)
                        self.record.add(
                            "notice", id=notice["id"], state=notice["state"]
                        )
                    writer.write(response(204))
                else:
                    while not self.up:
                        await asyncio.sleep(0.05)
                    writer.write(response(200, await self.discover(path)))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def discover(self, path: str) -> bytes:
        """Return the whole list, or wait until it is newer than the one known."""
        _, _, query = path.partition("?")
        values = dict(part.split("=") for part in query.split("&") if part)
        if "from" in values:
            known = int(values["from"])
            hold_s = int(values.get("hold_ms", "0")) / 1000
            if self.seq <= known:
                try:
                    await asyncio.wait_for(self.changed.wait(), hold_s)
                except TimeoutError:
                    pass
            if self.seq <= known:
                return json.dumps(
                    {"seq": self.seq, "whole": False, "hosts": []}
                ).encode()
        return json.dumps(self.list()).encode()


class Call:
    """One call at an endpoint, with one or more messages."""

    def __init__(self, endpoint: Endpoint, ids: list[str], request: Head) -> None:
        self.endpoint, self.ids, self.request = endpoint, ids, request
        self.arrived = now()
        self.gone = asyncio.Event()
        """Set once the forwarder has closed the connection or ended its sending."""


Behaviour = Callable[[Call], Awaitable[bytes | None]]
"""Returns the answer to a call; None closes the connection with none."""


async def deliver(call: Call) -> bytes | None:
    """Answer at once that every message is delivered."""
    return accepted(call)


def accepted(call: Call) -> bytes:
    """Return the answer that every message of a call is delivered."""
    if not call.request.first.split()[1].endswith("/batch"):
        return response(200)
    states = [{"id": each, "state": "accepted"} for each in call.ids]
    return response(200, json.dumps(states).encode())


def outcomes(call: Call, answer: bytes) -> dict[str, str]:
    """Return what an answer says of each message: a status, or a state of a batch."""
    status = answer.split(b" ", 2)[1].decode()
    if status == "200" and call.request.first.split()[1].endswith("/batch"):
        states = json.loads(answer.partition(b"\r\n\r\n")[2])
        return {item["id"]: item["state"] for item in states}
    return {each: status for each in call.ids}


class Endpoint:
    """An endpoint of a destination."""

    def __init__(
        self,
        record: Record,
        platform: Platform,
        name: str,
        block: int,
        behaviour: Behaviour = deliver,
        kind: str = "shops",
        site: str = "a",
    ) -> None:
        self.record, self.platform, self.name = record, platform, name
        self.behaviour = behaviour
        self.port = free_port()
        self.open_calls: set[Call] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        platform.set_host(
            name,
            dial=f"{HOST}:{self.port}",
            site=site,
            block=block,
            health="up",
            share=50.0,
            born_ms=0,
            **{"class": kind},
        )

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection, one at a time."""
        self.writers.add(writer)
        try:
            while (request := await read_http(reader)) is not None:
                if request.first.split()[1].endswith("/batch"):
                    ids = [item["id"] for item in json.loads(request.body)]
                    for item in json.loads(request.body):
                        base64.b64decode(item["body"])
                else:
                    ids = [request.headers.get("x-correlation-id", "")]
                call = Call(self, ids, request)
                self.open_calls.add(call)
                for each in ids:
                    self.record.add("call", id=each, to=self.name)
                answer = await self.answer(call, reader)
                self.open_calls.discard(call)
                if answer is None:
                    for each in [] if call.gone.is_set() else ids:
                        self.record.add("cut", id=each, to=self.name)
                    return
                for each, outcome in outcomes(call, answer).items():
                    self.record.add("answer", id=each, to=self.name, status=outcome)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, call: Call, reader: asyncio.StreamReader) -> bytes | None:
        """Wait for the behaviour's answer, or for the end of the connection."""
        work = asyncio.ensure_future(self.behaviour(call))
        watch = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
        if watch.done():
            for each in call.ids:
                self.record.add("given-up", id=each, to=self.name)
            call.gone.set()
            work.cancel()
            return None
        watch.cancel()
        try:
            await watch
        except (asyncio.CancelledError, OSError):
            pass
        return work.result()


class Answer:
    """What a client got for one message: a status, or 0 for none."""

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status, self.headers = status, headers


class ClientConnection:
    """A client's kept connection, on which it sends one request at a time."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.writer: asyncio.StreamWriter | None = None

    async def submit(
        self,
        message_id: str,
        path: str,
        dest: int,
        left_s: float,
        key: str | None = None,
        idem: str | None = None,
        body: bytes = b"hello",
        again: str | None = None,
        wait_s: float = CLIENT_WAIT_S,
    ) -> Answer:
        """Hand a message in; the result has the status 0 if there was no answer."""
        lines = [
            f"POST /{path} HTTP/1.1",
            "Host: origin.svc",
            f"X-Correlation-Id: {message_id}",
            f"X-Time-Left: {left_s:.3f}",
            f"X-Addressing: dest={dest}",
            f"Content-Length: {len(body)}",
        ]
        if key is not None:
            lines.append(f"X-Session-Key: {key}")
        if idem is not None:
            lines.append(f"Idempotency-Key: {idem}")
        if again is not None:
            lines.append(f"X-Repeat: {again}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.record.add(
            "hand-in", id=message_id, cls=path, key=key, due=round(now() + left_s, 4)
        )
        status, headers = 0, {}
        deadline = asyncio.get_running_loop().time() + wait_s
        # A kept connection may have been closed between two requests: the request is
        # then sent once more, on a new connection.
        for _ in range(2):
            fresh = self.writer is None
            try:
                async with asyncio.timeout_at(deadline):
                    if self.writer is None:
                        self.reader, self.writer = await asyncio.open_connection(
                            HOST, self.port
                        )
                    self.writer.write(data)
                    await self.writer.drain()
                    got = await read_http(self.reader)
            except (OSError, TimeoutError) as error:
                self.close()
                if fresh or isinstance(error, TimeoutError):
                    break
                continue
            if got is None:
                self.close()
                if fresh:
                    break
                continue
            status, headers = int(got.first.split()[1]), got.headers
            if headers.get("connection") == "close":
                self.close()
            break
        self.record.add("status", id=message_id, status=status)
        return Answer(status, headers)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None


def service(
    name: str, effect: str, deadline_s: float, aim_s: float, **more: Any
) -> dict[str, Any]:
    """Return a class of the settings."""
    return {
        "name": name,
        "aim_us": int(aim_s * 1e6),
        "deadline_us": int(deadline_s * 1e6),
        "effect": effect,
        "gain": 1.0,
        "late_worth": 0.5,
        "stream": False,
        **more,
    }


SERVICES = [
    service("status-notice", "repeatable", 5, 1, window_us=5_000_000, key_scope="all"),
    service("permit-order", "by_key", 16, 4, window_us=10_000_000, key_scope="all"),
    service(
        "fee-payment",
        "once",
        28,
        3,
        window_us=5_000_000,
        key_scope="all",
        by_arrival=True,
    ),
]
"""The classes of bangkok-licence-hub (BRIEF 2.1 to 2.3, WIRE 6)."""


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, in the form of WIRE 6."""
    result = {
        "allowed": {
            "conn_idle_us": 10_000_000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 525_000,
            "dial_timeout_us": 1_500_000,
            "max_attempts": 8,
            "max_open": 134,
            "max_retry_after_us": 3_000_000,
            "may_cancel": True,
            "may_tell": False,
            "parallel_tries": True,
            "probes": True,
            "retry_after": True,
            "streams_per_conn": 1,
        },
        "balancers": 2,
        "clients": {"marks_retry": True},
        "contract": {
            "ask_within_us": 10_000_000,
            "cold_from": 0.14,
            "drain_grace_us": 250_000,
            "fall_us": 3_000_000,
            "grace_to_answer_us": 20_000,
            "key_rest_us": 0,
            "overload_factor": 2.5,
            "warm_after_us": 11_000_000,
        },
        "discovery": "pushed",
        "domain_type": "deliver",
        "family_info": {
            "carriage": [0.0],
            "kind_batch": [1, 20],
            "loses_worth": "line",
            "routes_apart": [False, True],
            "slots": 8,
            "turned_away_price": 0.05,
        },
        "host_types": ["shops", "gateways"],
        "me": 0,
        "orgs": [],
        "over_share_worth": 0.1,
        "services": SERVICES,
        "telemetry": {"fields": [], "how": "silent"},
        "weight_source": "rough",
        "worth_by": "request",
        "zone": "a",
        "zones": ["a", "b"],
    }
    for name, value in changes.items():
        if isinstance(value, dict) and isinstance(result.get(name), dict):
            result[name] = {**result[name], **value}
        else:
            result[name] = value
    return result


class Forwarder:
    """One forwarder: the deploy file's `run`, started as DEPLOY and LATER say."""

    def __init__(
        self,
        record: Record,
        platform: Platform,
        settings: dict[str, Any],
        **limits: Any,
    ) -> None:
        self.record, self.platform = record, platform
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "state").mkdir()
        self.settings = settings
        self.limits = {
            "cores": 1.0,
            "memory_mb": 192,
            "sockets": 512,
            "disk_mb": 3,
            **limits,
        }
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.command = tomllib.load(file)["run"]
        # LATER: the platform holds the clients' listening socket, as descriptor 3.
        self.listener = socket.create_server((HOST, 0), backlog=1024)
        self.port = int(self.listener.getsockname()[1])
        self.processes: list[subprocess.Popen[bytes]] = []
        self.admin_ports: list[int] = []
        self.log = (self.folder / "log").open("ab")

    def write_config(self, **changes: Any) -> None:
        """Write the configuration file."""
        document = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.platform.port}",
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "known": self.platform.list(),
            "settings": self.settings,
            **changes,
        }
        path = self.folder / "config.new"
        path.write_text(json.dumps(document))
        path.replace(self.folder / "config.json")

    def spawn(self) -> subprocess.Popen[bytes]:
        """Start `run` once more."""
        self.write_config()
        admin = free_port()
        tmp = self.folder / f"tmp{len(self.processes)}"
        tmp.mkdir(exist_ok=True)
        environ = {
            **os.environ,
            "LB_NAME": "n0",
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": f"{HOST}:{self.platform.port}",
            "LB_STATE": str(self.folder / "state"),
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_ADMIN_ADDR": f"{HOST}:{admin}",
            "LB_INHERITED_FD": "3",
            "TMPDIR": str(tmp),
        }
        fd = self.listener.fileno()
        process = subprocess.Popen(
            ["/bin/sh", "-c", self.command],
            cwd=ROOT,
            env=environ,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            pass_fds=[3],
            preexec_fn=lambda: os.dup2(fd, 3),
            start_new_session=True,
        )
        self.processes.append(process)
        self.admin_ports.append(admin)
        self.record.add("start", process=len(self.processes) - 1)
        return process

    async def ready(self, index: int = -1, limit_s: float = 20) -> bool:
        """Wait until a process says that it is ready, at its operators' address."""
        index %= len(self.processes)
        deadline = now() + limit_s
        while now() < deadline and self.processes[index].poll() is None:
            if (await self.operate("GET", "/_ready", index=index))[0] == 200:
                self.record.add("ready", process=index)
                return True
            await asyncio.sleep(0.01)
        return False

    async def operate(
        self, method: str, path: str, body: bytes = b"", index: int = -1
    ) -> tuple[int, bytes]:
        """Make a call at an operators' address; the status is 0 without an answer."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    HOST, self.admin_ports[index]
                )
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                got = await read_http(reader)
                writer.close()
        except (OSError, TimeoutError):
            return 0, b""
        return (int(got.first.split()[1]), got.body) if got else (0, b"")

    def signal(self, number: signal.Signals, index: int = -1) -> None:
        """Send a signal to a process that this object started."""
        index %= len(self.processes)
        if self.processes[index].poll() is None:
            self.processes[index].send_signal(number)
            self.record.add("signal", process=index, signal=number.name)

    async def ended(self, index: int = -1, limit_s: float = 10) -> int | None:
        """Wait until a process has ended, and return its exit status."""
        index %= len(self.processes)
        deadline = now() + limit_s
        while self.processes[index].poll() is None and now() < deadline:
            await asyncio.sleep(0.005)
        status = self.processes[index].returncode
        self.record.add("ended", process=index, status=status)
        return status

    def end(self) -> None:
        """End all processes, and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.log.close()
        text = (self.folder / "log").read_text(errors="replace")
        for line in text.splitlines()[-60:]:
            self.record.note(f"log: {line}")
        self.listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


def end_by_signal(_number: int, _frame: object) -> None:
    """Leave by an exception, so that the processes that were started are ended."""
    raise SystemExit(EXIT_CANNOT_RUN)


def play(path: str, case: Callable[[Record, bool], Awaitable[list[str]]]) -> int:
    """Play a case, and return the exit status of its script.

    The case gets the record, which is written to the file of that path, and whether the
    disruption takes place (`TROUBLE` is not 0). It returns what broke the rule.
    """
    signal.signal(signal.SIGTERM, end_by_signal)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited(record: Record) -> list[str]:
        async with asyncio.timeout(110):
            return await case(record, trouble)

    try:
        record = Record(Path(path))
        broken = asyncio.run(limited(record))
    except Exception as error:
        # Whatever goes wrong in the case itself says nothing about the rule.
        traceback.print_exc()
        print(f"cannot run: {error!r}")
        return EXIT_CANNOT_RUN
    for line in broken:
        record.note(f"BROKEN: {line}")
        print(f"broken: {line}")
    record.note("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return EXIT_BROKEN if broken else EXIT_HELD
