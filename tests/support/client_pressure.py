"""Crowds of clients that make a forwarder hold memory or spend time on them.

A crowd runs as a process of its own, so that its work delays no other client of a test:

    python -m tests.support.client_pressure PORT FORM CLIENTS SECONDS SEED

It prints what it sent and read as one line of JSON. The forms are listed in `FORMS`.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field

from tests.support.paths import ROOT

LARGE_BODY_BYTES = 60_000
FIELDS = 5_300
"""Fields of a head of nearly 16 KiB, the limit of a request's head."""
RECONNECT_PAUSE_S = 0.02
SLOW_PIECE_BYTES = 1_500
SLOW_PIECE_PAUSE_S = 0.05
FLOOD_BATCH = 50
READ_BYTES = 1 << 16
NO_LINGER = struct.pack("ii", 1, 0)


def head(name: str, changes: Iterable[str] = (), path: str = "/status") -> bytes:
    """Return the beginning of a well-formed message, without the end of its head."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: origin.svc",
        f"X-Correlation-Id: {name}",
        "X-Account: acme",
        "X-Time-Left: 50",
        f"Idempotency-Key: key-{name}",
        "X-Addressing: dest=7",
        *changes,
    ]
    return ("\r\n".join(lines) + "\r\n").encode()


def with_body(name: str, body: bytes, *changes: str, path: str = "/status") -> bytes:
    """Return a complete message."""
    length = f"Content-Length: {len(body)}"
    return head(name, [length, *changes], path) + b"\r\n" + body


def short_fields(count: int, first: int = 0) -> bytes:
    """Return header fields with as few bytes each as distinct names need."""
    return b"".join(b"%x:\r\n" % n for n in range(first, first + count))


@dataclass
class Crowd:
    """The clients of one run, and what they did."""

    port: int
    until: float
    random: random.Random
    counts: Counter[str] = field(default_factory=Counter)
    last_number: int = 0

    def name(self) -> str:
        self.last_number += 1
        return f"crowd-{self.last_number}"

    def running(self) -> bool:
        return time.monotonic() < self.until

    async def connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        self.counts["connections"] += 1
        return sock

    async def send(self, sock: socket.socket, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(sock, data)
        self.counts["bytes"] += len(data)

    async def read(self, sock: socket.socket) -> bytes:
        data = await asyncio.get_running_loop().sock_recv(sock, READ_BYTES)
        for line in data.split(b"\r\n"):
            if line.startswith(b"HTTP/1.1 "):
                self.counts[line[9:12].decode()] += 1
        return data

    async def read_to_end(self, sock: socket.socket) -> None:
        """Read until the forwarder ends the connection, or the run ends."""
        try:
            async with asyncio.timeout_at(self.loop_end()):
                while await self.read(sock):
                    pass
        except (OSError, TimeoutError) as error:
            self.counts[type(error).__name__] += 1

    def loop_end(self) -> float:
        return asyncio.get_running_loop().time() + self.until - time.monotonic()


Form = Callable[[Crowd, socket.socket], Awaitable[None]]


def stop_after(beginning: Callable[[Crowd], bytes]) -> Form:
    """Return a client that sends a beginning, and then nothing more."""

    async def client(crowd: Crowd, sock: socket.socket) -> None:
        await crowd.send(sock, beginning(crowd))
        await crowd.read_to_end(sock)

    return client


def slowly(beginning: Callable[[Crowd], bytes], piece: Callable[[int], bytes]) -> Form:
    """Return a client that sends a beginning, and then a piece at a time."""

    async def client(crowd: Crowd, sock: socket.socket) -> None:
        await crowd.send(sock, beginning(crowd))
        reader = asyncio.create_task(crowd.read_to_end(sock))
        number = 0
        with suppress(ConnectionError):
            while crowd.running() and not reader.done():
                await asyncio.sleep(SLOW_PIECE_PAUSE_S * (0.5 + crowd.random.random()))
                await crowd.send(sock, piece(number))
                number += 1
        await reader

    return client


def repeatedly(request: Callable[[Crowd], bytes], batch: int = FLOOD_BATCH) -> Form:
    """Return a client that sends requests at full speed, and reads the answers."""

    async def client(crowd: Crowd, sock: socket.socket) -> None:
        reader = asyncio.create_task(crowd.read_to_end(sock))
        with suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout_at(crowd.loop_end()):
                while crowd.running() and not reader.done():
                    requests = b"".join(request(crowd) for _ in range(batch))
                    await crowd.send(sock, requests)
                    await asyncio.sleep(0)
        await reader

    return client


def without_reading(request: Callable[[Crowd], bytes]) -> Form:
    """Return a client that sends requests at full speed, and reads nothing."""

    async def client(crowd: Crowd, sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout_at(crowd.loop_end()):
                while crowd.running():
                    await crowd.send(
                        sock, b"".join(request(crowd) for _ in range(FLOOD_BATCH))
                    )

    return client


def one_at_a_time(request: Callable[[Crowd], bytes]) -> Form:
    """Return a client that sends each request after the answer to the one before."""

    async def client(crowd: Crowd, sock: socket.socket) -> None:
        while crowd.running():
            await crowd.send(sock, request(crowd))
            async with asyncio.timeout_at(crowd.loop_end()):
                if not await crowd.read(sock):
                    return

    return client


def and_leave(requests: Callable[[Crowd], bytes], how: str) -> Form:
    """Return a client that sends much and ends the connection at once.

    Args:
        requests: What it sends.
        how: "close", "reset" or "half-close".
    """

    async def client(crowd: Crowd, sock: socket.socket) -> None:
        with suppress(BlockingIOError):
            crowd.counts["bytes"] += sock.send(requests(crowd))
        if how == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        elif how == "half-close":
            sock.shutdown(socket.SHUT_WR)
            await crowd.read_to_end(sock)

    return client


def half_body(crowd: Crowd) -> bytes:
    """Return a large message that lacks its last bytes."""
    return with_body(crowd.name(), bytes(LARGE_BODY_BYTES))[:-1000]


def half_chunked_body(crowd: Crowd) -> bytes:
    """Return a large message in chunks that lacks its last chunk."""
    chunk = b"3e8\r\n" + bytes(1000) + b"\r\n"
    chunked = ["Transfer-Encoding: chunked"]
    return head(crowd.name(), chunked) + b"\r\n" + 59 * chunk


def many_fields(crowd: Crowd) -> bytes:
    """Return a head of very many short fields, without its end."""
    return b"POST /status HTTP/1.1\r\nHost: x\r\n" + short_fields(FIELDS)[:16_000]


def many_fields_then_body(crowd: Crowd) -> bytes:
    """Return a complete head of many short fields, and half of its body."""
    return (
        head(crowd.name(), [f"Content-Length: {LARGE_BODY_BYTES}"])
        + short_fields(2_000)
        + b"\r\n"
        + bytes(LARGE_BODY_BYTES // 2)
    )


def pipelined_heads(crowd: Crowd) -> bytes:
    """Return requests with many fields each, behind a message that waits."""
    fields = short_fields(600).decode().strip().split("\r\n")
    return b"".join(with_body(crowd.name(), b"", *fields) for _ in range(60))


def pipelined_bodies(crowd: Crowd) -> bytes:
    """Return complete large messages."""
    return b"".join(with_body(crowd.name(), bytes(LARGE_BODY_BYTES)) for _ in range(5))


def many_messages(crowd: Crowd) -> bytes:
    """Return complete messages that must not run twice."""
    return b"".join(with_body(crowd.name(), b"hello", path="/pay") for _ in range(400))


def piece_of_fields(number: int) -> bytes:
    return short_fields(60, 60 * number)


SMALL = b"GET /no HTTP/1.1\r\nHost: x\r\n\r\n"
FORMS: dict[str, Form] = {
    # Slow or stopping clients, by the hundred
    "slow-body": slowly(
        lambda crowd: with_body(crowd.name(), bytes(LARGE_BODY_BYTES))[:1000],
        lambda _: bytes(SLOW_PIECE_BYTES),
    ),
    "half-body": stop_after(half_body),
    "half-chunked-body": stop_after(half_chunked_body),
    "many-fields": stop_after(many_fields),
    "many-fields-slowly": slowly(
        lambda _: b"POST /status HTTP/1.1\r\nHost: x\r\n", piece_of_fields
    ),
    "many-fields-then-body": stop_after(many_fields_then_body),
    "pipelined-heads": stop_after(pipelined_heads),
    "pipelined-bodies": stop_after(pipelined_bodies),
    "large-messages": one_at_a_time(
        lambda crowd: with_body(crowd.name(), bytes(LARGE_BODY_BYTES))
    ),
    "unread-responses": without_reading(lambda _: SMALL),
    "short-lived": and_leave(half_body, "reset"),
    "idle": stop_after(lambda _: b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"),
    "silent": stop_after(lambda _: b""),
    # A single connection at full speed
    "flood-small": repeatedly(lambda _: SMALL),
    "flood-unread": without_reading(lambda _: SMALL),
    "flood-unsound": repeatedly(
        lambda crowd: with_body(crowd.name(), b"hello", "X-Repeat: 1", "X-Repeat: 1")
    ),
    "flood-malformed": repeatedly(lambda _: b"\x16\x03\x01 no request\r\n\r\n", 1),
    "flood-new-paths": repeatedly(
        lambda crowd: with_body(crowd.name(), b"x", path=f"/{crowd.name()}")
    ),
    "flood-new-accounts": repeatedly(
        lambda crowd: with_body(crowd.name(), b"x").replace(
            b"acme", crowd.name().encode()
        )
    ),
    "flood-new-destinations": repeatedly(
        lambda crowd: with_body(crowd.name(), b"x").replace(
            b"dest=7", b"dest=%d" % (100 + crowd.last_number)
        )
    ),
    "flood-new-fields": repeatedly(
        lambda crowd: with_body(crowd.name(), b"x", f"{crowd.name()}: a", path="/no")
    ),
    "flood-new-ids": repeatedly(lambda crowd: with_body(crowd.name(), b"x")),
    "flood-new-session-keys": repeatedly(
        lambda crowd: with_body(
            crowd.name(), b"x", f"X-Session-Key: {crowd.name()}", path="/turns"
        )
    ),
    "flood-one-id": repeatedly(lambda _: with_body("same", b"x")),
    # Clients that leave
    "leave-close": and_leave(many_messages, "close"),
    "leave-reset": and_leave(many_messages, "reset"),
    "leave-half-close": and_leave(many_messages, "half-close"),
}


async def run_client(crowd: Crowd, form: Form) -> None:
    """Play one client until the run ends, on one connection after another."""
    while crowd.running():
        sock = None
        try:
            sock = await crowd.connect()
            await form(crowd, sock)
        except (OSError, TimeoutError) as error:
            crowd.counts[type(error).__name__] += 1
        finally:
            if sock is not None:
                sock.close()
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def run_crowd(
    port: int, form: str, clients: int, seconds: float, seed: int
) -> Counter[str]:
    """Play a crowd, and return what it did."""
    crowd = Crowd(port, time.monotonic() + seconds, random.Random(seed))
    await asyncio.gather(*(run_client(crowd, FORMS[form]) for _ in range(clients)))
    return crowd.counts


@dataclass
class CrowdProcess:
    """A crowd that plays as a process of its own."""

    process: asyncio.subprocess.Process

    @classmethod
    async def start(
        cls, port: int, form: str, clients: int, seconds: float, seed: int = 1
    ) -> CrowdProcess:
        arguments = (str(port), form, str(clients), str(seconds), str(seed))
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tests.support.client_pressure",
                *arguments,
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
            )
        )

    async def result(self) -> dict[str, int]:
        """Wait for the end of the crowd, and return what it did."""
        output, _ = await self.process.communicate()
        return dict(json.loads(output))


if __name__ == "__main__":
    port, form, clients, seconds, seed = sys.argv[1:]
    counts = asyncio.run(
        run_crowd(int(port), form, int(clients), float(seconds), int(seed))
    )
    print(json.dumps(counts))
