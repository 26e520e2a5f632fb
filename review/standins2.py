"""Stand-ins for the cases 6 to 10: endpoints, the platform, clients, a forwarder.

Only the standard library is used. Every address is a loopback address, and all times are
seconds of the machine's monotonic clock. The forwarder is started with the `run` command
of the deploy file; everything else runs in the process of the case.
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
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
CLIENT_WAIT_S = 0.4
"""PROTOCOL: a client closes the connection after waiting 400 ms for an answer."""
RUN_LIMIT_S = 110.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played, which says nothing about the rule."""


def now() -> float:
    return time.monotonic()


class Record:
    """Writes `record.txt`: what was sent, answered and run, and when."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = now()

    def at(self, moment: float | None) -> str:
        return "never" if moment is None else f"{moment - self.started:.3f}"

    def __call__(self, text: str) -> None:
        self.file.write(f"{now() - self.started:8.3f} {text}\n")
        self.file.flush()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read a request or a response: its first line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return first, headers, await reader.readexactly(length) if length else b""


def response(status: int, body: bytes = b"", **headers: object) -> bytes:
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Call:
    """A call that has arrived whole at an endpoint."""

    def __init__(self, endpoint: Endpoint, items: list[tuple[str, str | None, bytes]]):
        self.endpoint, self.items, self.at = endpoint, items, now()
        self.answer: bytes | None = None
        """The first line of the answer that was written."""
        self.over_at: float | None = None
        """When the answer was written, or the connection had ended."""

    @property
    def ids(self) -> list[str]:
        return [message_id for message_id, _, _ in self.items]


class Endpoint:
    """An endpoint of a destination.

    `behave` is called with each call and returns the answer; None for no answer.
    """

    def __init__(
        self,
        name: str,
        block: int,
        record: Record,
        calls: list[Call],
        behave: Callable[[Call], Awaitable[bytes | None]],
        *,
        kind: str = "plain",
        zone: str = "a",
    ) -> None:
        self.name, self.block, self.kind, self.zone = name, block, kind, zone
        self.record, self.calls, self.behave = record, calls, behave
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Accept no more connections, and end those that are open."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def entry(self, health: str = "up") -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.zone,
            "class": self.kind,
            "block": self.block,
            "health": health,
            "share": 100.0,
            "born_ms": 0,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while await self.serve_call(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, headers, body = await read_message(reader)
        path = first.split(" ")[1]
        if path == "/hook/batch":
            items = [
                (item["id"], item.get("key"), base64.b64decode(item["body"]))
                for item in json.loads(body)
            ]
        elif path == "/hook":
            key = headers.get("idempotency-key")
            items = [(headers["x-correlation-id"], key, body)]
        else:
            writer.write(response(404))
            return True
        call = Call(self, items)
        self.calls.append(call)
        names = " ".join(call.ids)
        self.record(f"{self.name}: call of {names} has arrived")
        answering = asyncio.ensure_future(self.behave(call))
        # A caller sends nothing more before the answer: what comes is the end.
        while not answering.done() and not reader.at_eof():
            await asyncio.wait({answering}, timeout=0.005)
        if reader.at_eof():
            call.over_at = now()
            self.record(f"{self.name}: the caller of {names} has closed")
        answer = await answering
        if call.over_at is not None:
            return False
        if answer is None:
            while not reader.at_eof():
                await asyncio.sleep(0.005)
            call.over_at = now()
            self.record(f"{self.name}: the caller of {names} has closed")
            return False
        writer.write(answer)
        call.answer, call.over_at = answer.partition(b"\r\n")[0], now()
        self.record(f"{self.name}: {call.answer!r} to {names}")
        return True


class Platform:
    """Discovery's agent, and the notices."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.seq = 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.notices: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.down = False
        """Discovery is down: the agent is silent, but still takes notices."""
        self.slow_s = 0.0
        """Discovery is slow: each answer with a list comes so much later."""
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, entry: dict[str, Any]) -> None:
        self.seq += 1
        if entry["health"] == "removed":
            self.hosts.pop(entry["host"], None)
        else:
            self.hosts[entry["host"]] = entry
        self.changes.append((self.seq, entry))
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, _, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                if method == "POST" and path == "/v1/notices":
                    for line in body.splitlines():
                        notice = json.loads(line)
                        self.notices[notice["id"]].append((now(), notice["state"]))
                        self.record(f"notice: {notice['id']} {notice['state']}")
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    continue
                while self.down:
                    await asyncio.sleep(0.02)
                slow_s = self.slow_s
                answer = await self.list_answer(path.partition("?")[2])
                await asyncio.sleep(slow_s)
                self.record(f"discovery: answers {path} with version {answer['seq']}")
                writer.write(response(200, json.dumps(answer).encode()))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def list_answer(self, query: str) -> dict[str, Any]:
        fields = dict(part.split("=") for part in query.split("&") if part)
        since = int(fields.get("from", -1))
        hold_s = int(fields.get("hold_ms", 0)) / 1000
        if 0 <= since == self.seq and hold_s:
            try:
                async with asyncio.timeout(hold_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if not 0 <= since <= self.seq:
            return self.whole()
        newest = {e["host"]: e for version, e in self.changes if version > since}
        return {"seq": self.seq, "whole": False, "hosts": list(newest.values())}


class Handed:
    """A message that a client has handed in."""

    def __init__(self, message_id: str, time_left: float) -> None:
        self.id, self.sent_at = message_id, now()
        self.due = self.sent_at + time_left
        self.answer: int | str = "none"
        """The status, or how the connection ended without one."""

    @property
    def accepted(self) -> bool:
        return self.answer in (200, 202)


def encode_message(
    message_id: str,
    message_class: str,
    dest: int,
    time_left: float,
    *,
    key: str | None = None,
    session: str | None = None,
    body: bytes = b"",
) -> bytes:
    lines = [
        f"POST /{message_class} HTTP/1.1",
        "Host: origin.svc",
        f"X-Correlation-Id: {message_id}",
        f"X-Time-Left: {time_left:.3f}",
        f"X-Addressing: dest={dest}",
        f"Content-Length: {len(body)}",
    ]
    if session is not None:
        lines.append(f"X-Session-Key: {session}")
    if key is not None:
        lines.append(f"Idempotency-Key: {key}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Clients:
    """Hands messages in over connections that are kept, as PROTOCOL says."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.handed: dict[str, Handed] = {}

    async def hand_in(
        self,
        message_id: str,
        message_class: str,
        dest: int,
        time_left: float,
        **more: Any,
    ) -> Handed:
        handed = self.handed[message_id] = Handed(message_id, time_left)
        data = encode_message(message_id, message_class, dest, time_left, **more)
        try:
            async with asyncio.timeout(CLIENT_WAIT_S):
                handed.answer = await self.exchange(data)
        except TimeoutError:
            handed.answer = "none within 400 ms"
        except OSError:
            handed.answer = "no connection"
        self.record(f"client: {message_id} handed in, answer {handed.answer}")
        return handed

    async def exchange(self, data: bytes) -> int | str:
        """Send a request; once more on a new connection if an idle one was closed."""
        while True:
            is_new = not self.idle
            if is_new:
                pair = await asyncio.open_connection("127.0.0.1", self.port)
            else:
                pair = self.idle.pop()
            reader, writer = pair
            answered = False
            try:
                writer.write(data)
                first, headers, _ = await read_message(reader)
                answered = True
            except (asyncio.IncompleteReadError, ConnectionError):
                if is_new:
                    return "connection ended"
                self.idle.clear()
                continue
            finally:
                if not answered:
                    writer.close()
            if headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append(pair)
            return int(first.split(" ")[1])


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Run:
    """One process of the `run` command."""

    def __init__(self, process: subprocess.Popen[bytes], admin_port: int) -> None:
        self.process, self.admin_port = process, admin_port

    @property
    def running(self) -> bool:
        return self.process.poll() is None

    async def ended(self) -> None:
        while self.running:
            await asyncio.sleep(0.005)


class Forwarder:
    """A forwarder on the platform: its folder, its address and its processes.

    With `inherit` the platform holds the clients' listening socket (LATER).
    """

    def __init__(self, folder: Path, record: Record, *, inherit: bool = False) -> None:
        self.folder, self.record = folder, record
        self.runs: list[Run] = []
        self.inherited: socket.socket | None = None
        for name in ("state", "tmp"):
            (folder / name).mkdir()
        if inherit:
            self.inherited = socket.create_server(("127.0.0.1", 0), backlog=1024)
            self.port = int(self.inherited.getsockname()[1])
        else:
            self.port = free_port()
        self.discovery = 0

    def configure(
        self, platform: Platform, settings: dict[str, Any], **more: Any
    ) -> None:
        """Replace the configuration file as a whole."""
        self.discovery = platform.port
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{platform.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": platform.whole(),
            "settings": settings,
            **more,
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(config))
        new.replace(self.folder / "config.json")

    def start(self) -> Run:
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        admin_port = free_port()
        environ = {
            **os.environ,
            "LB_NAME": "n1",
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_DISCOVERY": f"127.0.0.1:{self.discovery}",
            "LB_STATE": str(self.folder / "state"),
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_ADMIN_ADDR": f"127.0.0.1:{admin_port}",
            "TMPDIR": str(self.folder / "tmp"),
        }
        descriptors: tuple[int, ...] = ()
        if self.inherited is not None:
            descriptors = (self.inherited.fileno(),)
            environ["LB_INHERITED_FD"] = str(descriptors[0])
        with (self.folder / f"log-{len(self.runs) + 1}.txt").open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                pass_fds=descriptors,
            )
        run = Run(process, admin_port)
        self.runs.append(run)
        self.record(f"platform: run {len(self.runs)} started")
        return run

    async def ready(self, run: Run, within_s: float = 20.0) -> None:
        """Wait until the run answers `GET /_ready` with 200."""
        give_up_at = now() + within_s
        while now() < give_up_at and run.running:
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", run.admin_port
                    )
                    try:
                        writer.write(b"GET /_ready HTTP/1.1\r\nHost: n1\r\n\r\n")
                        first, _, _ = await read_message(reader)
                    finally:
                        writer.close()
                if first.split(" ")[1] == "200":
                    self.record(f"platform: run {self.runs.index(run) + 1} is ready")
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.01)
        raise CannotRunError("a forwarder did not become ready")

    def signal(self, run: Run, number: signal.Signals) -> None:
        self.record(
            f"platform: {number.name} to run {self.runs.index(run) + 1}"
            + ("" if run.running else " (it has ended)")
        )
        if run.running:
            run.process.send_signal(number)

    def end(self) -> None:
        """End every process that was started."""
        for run in self.runs:
            if run.running:
                run.process.send_signal(signal.SIGCONT)
                run.process.kill()
            run.process.wait()
        if self.inherited is not None:
            self.inherited.close()


def settings(
    services: list[dict[str, Any]],
    *,
    kinds: tuple[tuple[str, int, bool], ...] = (("plain", 1, False),),
    slots: int = 8,
    **allowed: Any,
) -> dict[str, Any]:
    """Settings in the form of WIRE's example, with its figures.

    Args:
        services: The classes.
        kinds: Name, messages in a call at most, and routes apart, of each kind.
        slots: Calls out at once.
        allowed: Other values in `allowed`.
    """
    return {
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
            **allowed,
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
            "carriage": [0.0, 0.0],
            "kind_batch": [batch for _, batch, _ in kinds],
            "loses_worth": "line",
            "routes_apart": [apart for _, _, apart in kinds],
            "slots": slots,
            "turned_away_price": 0.05,
        },
        "goal": {
            "whole": 0.55,
            "worst_class": 0.2,
            "worst_tenant": 0.0,
            "worst_window": 0.25,
        },
        "host_types": [name for name, _, _ in kinds],
        "me": 0,
        "orgs": [],
        "over_share_worth": 0.1,
        "prices": {"probe": 0.01},
        "quantum_us": 5000,
        "services": services,
        "stages": ["partner-systems"],
        "telemetry": {"fields": [], "how": "silent"},
        "tier": 0,
        "weight_source": "rough",
        "worth_by": "request",
        "zone": "a",
        "zones": ["a", "b"],
    }


def service(
    name: str, aim_s: float, deadline_s: float, effect: str, **more: Any
) -> dict[str, Any]:
    """One class of the settings."""
    return {
        "name": name,
        "aim_us": int(aim_s * 1e6),
        "deadline_us": int(deadline_s * 1e6),
        "effect": effect,
        "gain": 1.0,
        "key_scope": "all",
        "late_worth": 0.5,
        "stream": False,
        "window_us": 10_000_000,
        **more,
    }


def main(case: Callable[[Path, Record, bool], Awaitable[list[str]]]) -> None:
    """Play a case and exit with 1 if a rule was broken, 0 if not, 2 if it cannot run.

    The case gets an empty folder, the record and whether the disruption is played, and
    returns a line for each broken rule. The record is written to the file that the first
    argument names. Only a rule that was judged gives 1: any failure of the case itself,
    and a signal that ends it, gives 2.
    """
    record = Record(Path(sys.argv[1]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    record(f"disruption: {'played' if trouble else 'left out'}")

    async def play() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(RUN_LIMIT_S):
            return await case(folder, record, trouble)

    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        record(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}", file=sys.stderr)
        sys.exit(CANNOT_RUN)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        record(f"BROKEN: {line}")
        print(line)
    record("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
