"""The load generator: clients that send messages to forwarders as PROTOCOL defines.

Each message is sent at its planned time, regardless of the state of the fleet. If no
response comes, it is sent to the next forwarder.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from rainfall.lab import load_plan
from rainfall.lab.experiment_model import NS_PER_S, Experiment
from rainfall.lab.fault_proxy import reset_connection
from rainfall.lab.load_plan import PlannedMessage
from rainfall.lab.stand_ins import read_http_message

ATTEMPTS_PER_MESSAGE = 2
BUSY_WAIT_S = 0.01
"""For this long before a send time the clock is polled instead of sleeping.

Timers of the event loop fire some milliseconds late on a busy machine.
"""
HEAD_LIMIT_BYTES = 16384
LOAD_DONE = "done"
"""The load process sends this over its pipe when it has finished."""


class ClientConnection(NamedTuple):
    """A client's connection to a forwarder."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class AttemptOutcome(NamedTuple):
    """The HTTP status of an attempt, or 0 with the error."""

    status: int
    error: str


@dataclass
class ConnectionPool:
    """Idle client connections by forwarder; acquiring opens one if none is idle."""

    ports: list[int]
    idle: list[list[ClientConnection]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.idle = [[] for _ in self.ports]

    async def acquire(self, forwarder: int, limit_s: float) -> ClientConnection:
        """Return an idle connection, or open a new one.

        Raises:
            OSError: The connection failed.
            TimeoutError: The connection was not open within ``limit_s``.
        """
        while self.idle[forwarder]:
            connection = self.idle[forwarder].pop()
            if not connection.writer.is_closing() and not connection.reader.at_eof():
                return connection
        async with asyncio.timeout(limit_s):
            return ClientConnection(
                *await asyncio.open_connection(
                    "127.0.0.1", self.ports[forwarder], limit=HEAD_LIMIT_BYTES
                )
            )

    def release(self, forwarder: int, connection: ClientConnection) -> None:
        """Return a connection to the pool after a complete response."""
        self.idle[forwarder].append(connection)

    def close(self) -> None:
        """Reset all idle connections."""
        for connections in self.idle:
            for connection in connections:
                reset_connection(connection.writer)


def build_request(
    message: PlannedMessage,
    message_id: str,
    remaining_s: float,
    body: bytes,
    is_repeat: bool,
) -> bytes:
    """The HTTP request of the attempt ``message_id``."""
    lines = [
        f"POST /{message.class_name} HTTP/1.1",
        "Host: origin.svc",
        f"X-Correlation-Id: {message_id}",
        "X-Account: acme",
        f"X-Time-Left: {remaining_s:.3f}",
        f"Idempotency-Key: {message.key}",
        f"Content-Length: {len(body)}",
        f"X-Addressing: dest={message.destination}",
    ]
    if message.session:
        lines.append(f"X-Session-Key: {message.session}")
    if is_repeat:
        lines.append("X-Repeat: again")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_status(reader: asyncio.StreamReader) -> int:
    """Read a response and return its status.

    Raises:
        asyncio.IncompleteReadError: The connection closed first.
        ValueError: The response is invalid.
    """
    response = await read_http_message(reader)
    if response is None:
        raise asyncio.IncompleteReadError(b"", None)
    return int(response.target)


@dataclass
class LoadDriver:
    """Sends the planned messages and records each attempt.

    ``clock`` returns the ns since the start of the load.
    """

    experiment: Experiment
    connections: ConnectionPool
    record: Callable[[dict[str, Any]], None]
    clock: Callable[[], int] = time.monotonic_ns
    deadlines_ns: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.deadlines_ns = self.experiment.deadlines_ns()
        self.body = b"x" * self.experiment.load.body_bytes

    async def run(self, planned: list[PlannedMessage]) -> None:
        """Send every message at its time; return when all are answered or abandoned."""
        tasks: set[asyncio.Task[None]] = set()
        last_of_session: dict[str, asyncio.Task[None]] = {}
        for message in planned:
            await self._wait_until(message.due_ns)
            if message.session:
                previous = last_of_session.get(message.session)
                task = asyncio.create_task(self.send_in_order(message, previous))
                last_of_session[message.session] = task
            else:
                task = asyncio.create_task(self.send(message, message.due_ns))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.gather(*tasks)

    async def _wait_until(self, due_ns: int) -> None:
        """Wait for a send time: sleep, then poll the clock for the last ``BUSY_WAIT_S``."""
        wait_s = (due_ns - self.clock()) / NS_PER_S
        if wait_s > BUSY_WAIT_S:
            await asyncio.sleep(wait_s - BUSY_WAIT_S)
        while self.clock() < due_ns:
            await asyncio.sleep(0)

    async def send_in_order(
        self, message: PlannedMessage, previous: asyncio.Task[None] | None
    ) -> None:
        """Send a message once its predecessor in the session is answered (PROTOCOL).

        If it has to wait, its deadline counts from the end of the wait.
        """
        if previous is None or previous.done():
            await self.send(message, message.due_ns)
        else:
            await asyncio.wait([previous])
            await self.send(message, self.clock())

    async def send(self, message: PlannedMessage, ready_ns: int) -> None:
        """Send a message until it is answered, at most ``ATTEMPTS_PER_MESSAGE`` times.

        No further attempt follows one that began with at most the answer timeout left.
        """
        timeout_s = self.experiment.load.answer_timeout_s
        forwarders = self.experiment.load.forwarders or self.experiment.fleet.forwarders
        deadline_ns = ready_ns + self.deadlines_ns[message.class_name]
        for attempt in range(ATTEMPTS_PER_MESSAGE):
            sent_ns = self.clock()
            remaining_s = (deadline_ns - sent_ns) / NS_PER_S
            message_id = f"{message.key}.{attempt}"
            forwarder = (message.forwarder + attempt) % forwarders
            request = build_request(
                message, message_id, remaining_s, self.body, attempt > 0
            )
            status, error = await self._attempt(forwarder, request, timeout_s)
            record = {
                "kind": "try",
                "key": message.key,
                "id": message_id,
                "cls": message.class_name,
                "destination": message.destination,
                "forwarder": forwarder,
                "due_ns": message.due_ns,
                "sent_ns": sent_ns,
                "answer_ns": self.clock(),
                "status": status,
                "error": error,
            }
            if message.session:
                record["session"] = message.session
                record["number"] = message.number
                record["ready_ns"] = ready_ns
            self.record(record)
            if status or remaining_s <= timeout_s:
                return

    async def _attempt(
        self, forwarder: int, request: bytes, timeout_s: float
    ) -> AttemptOutcome:
        try:
            connection = await self.connections.acquire(forwarder, timeout_s)
        except (OSError, TimeoutError) as error:
            return AttemptOutcome(0, f"connect: {type(error).__name__}")
        try:
            connection.writer.write(request)
            async with asyncio.timeout(timeout_s):
                status = await read_status(connection.reader)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
            IndexError,
        ) as error:
            with contextlib.suppress(OSError):
                connection.writer.close()
            return AttemptOutcome(0, type(error).__name__)
        self.connections.release(forwarder, connection)
        return AttemptOutcome(status, "")


def run_load_process(
    experiment: Experiment, seed: int, ports: list[int], pipe: Any, path: str
) -> None:
    """Main function of the load process.

    Plans the messages, sends their number over ``pipe``, receives the start time (in ns
    of ``time.monotonic_ns``), sends the messages, writes the records to ``path`` as JSON
    lines, and sends ``LOAD_DONE``. If an error occurs, its text is sent instead.
    """
    try:
        planned = load_plan.plan_messages(experiment, seed)
        pipe.send(len(planned))
        start_ns = int(pipe.recv())
        # Garbage collection would delay sends, and the process ends after the load anyway.
        gc.freeze()
        gc.disable()
        records: list[dict[str, Any]] = []
        connections = ConnectionPool(ports)
        driver = LoadDriver(
            experiment,
            connections,
            records.append,
            lambda: time.monotonic_ns() - start_ns,
        )

        async def run_driver() -> None:
            try:
                await driver.run(planned)
            finally:
                connections.close()

        asyncio.run(run_driver())
        Path(path).write_text(
            "".join(
                json.dumps(record, separators=(",", ":")) + "\n" for record in records
            )
        )
        pipe.send(LOAD_DONE)
    except Exception as error:  # The runner fails the run with this text.
        pipe.send(f"{type(error).__name__}: {error}")
