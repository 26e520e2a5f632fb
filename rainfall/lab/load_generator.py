"""The load side of a lab run: clients that hand messages in as PROTOCOL (Clients to
forwarders) says, each at its planned time whatever the fleet does, with a try on the
next forwarder where no answer came.
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
from typing import Any

from rainfall.lab import load_plan
from rainfall.lab.experiment import Experiment
from rainfall.lab.fault_proxy import reset_connection
from rainfall.lab.load_plan import PlannedMessage
from rainfall.lab.stand_ins import read_http_message

ATTEMPTS_PER_MESSAGE = 2
BUSY_WAIT_S = 0.01
HEAD_LIMIT_BYTES = 16384


@dataclass
class ConnectionPool:
    """Idle client connections per forwarder, as a front that keeps them and opens more
    when all are busy.
    """

    ports: list[int]
    idle: list[list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        self.idle = [[] for _ in self.ports]

    async def acquire(
        self, forwarder: int, limit_s: float
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self.idle[forwarder]:
            reader, writer = self.idle[forwarder].pop()
            if not writer.is_closing() and not reader.at_eof():
                return reader, writer
        async with asyncio.timeout(limit_s):
            return await asyncio.open_connection(
                "127.0.0.1", self.ports[forwarder], limit=HEAD_LIMIT_BYTES
            )

    def release(
        self, forwarder: int, pair: tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ) -> None:
        self.idle[forwarder].append(pair)

    def close(self) -> None:
        for pairs in self.idle:
            for _, writer in pairs:
                reset_connection(writer)


def build_request(
    message: PlannedMessage, name: str, left_s: float, body: bytes, again: bool
) -> bytes:
    lines = [
        f"POST /{message.class_name} HTTP/1.1",
        "Host: origin.svc",
        f"X-Correlation-Id: {name}",
        "X-Account: acme",
        f"X-Time-Left: {left_s:.3f}",
        f"Idempotency-Key: {message.key}",
        f"Content-Length: {len(body)}",
        f"X-Addressing: dest={message.destination}",
    ]
    lines += [f"X-Session-Key: {message.session}"] if message.session else []
    lines += ["X-Repeat: again"] if again else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_status(reader: asyncio.StreamReader) -> int:
    """The status of the next answer; IncompleteReadError where the connection ends
    first.
    """
    got = await read_http_message(reader)
    if got is None:
        raise asyncio.IncompleteReadError(b"", None)
    return int(got[1])


@dataclass
class LoadDriver:
    experiment: Experiment
    connections: ConnectionPool
    record: Callable[[dict[str, Any]], None]
    clock: Callable[[], int] = time.monotonic_ns
    deadlines_ns: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.deadlines_ns = {
            c.name: int(c.deadline_s * 1e9) for c in self.experiment.load.classes
        }
        self.body = b"x" * self.experiment.load.body_bytes

    async def run(self, planned: list[PlannedMessage]) -> None:
        """Send every message at its time; returns when all have their answers or gave
        up.
        """
        tasks: set[asyncio.Task[None]] = set()
        last: dict[str, asyncio.Task[None]] = {}
        for message in planned:
            await self._wait_until(message.due_ns)
            if message.session:
                task = last[message.session] = asyncio.create_task(
                    self.send_in_order(message, last.get(message.session))
                )
            else:
                task = asyncio.create_task(self.send(message, message.due_ns))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.gather(*tasks)

    async def _wait_until(self, due_ns: int) -> None:
        """Wait for a send time.

        The loop's timers wake a few ms late once other timers are about (its waits are
        whole ms), so the last SPIN_S are spent yielding: the load process gives a core
        for a schedule held to well under a millisecond (3 ms at the 99th percentile
        with 3 ms of yielding, 0.07 with 8).
        """
        wait = (due_ns - self.clock()) / 1e9
        if wait > BUSY_WAIT_S:
            await asyncio.sleep(wait - BUSY_WAIT_S)
        while self.clock() < due_ns:
            await asyncio.sleep(0)

    async def send_in_order(
        self, message: PlannedMessage, before: asyncio.Task[None] | None
    ) -> None:
        """PROTOCOL: messages of one key are handed in in sequence, each once the one
        before has its answer. A message that has waited for that is due when it may go,
        and has its whole time from then.
        """
        if before is None or before.done():
            await self.send(message, message.due_ns)
        else:
            await asyncio.wait([before])
            await self.send(message, self.clock())

    async def send(self, message: PlannedMessage, ready_ns: int) -> None:
        timeout = self.experiment.load.answer_timeout_s
        forwarders = self.experiment.load.forwarders or self.experiment.fleet.forwarders
        for attempt in range(ATTEMPTS_PER_MESSAGE):
            sent_ns = self.clock()
            left_s = (ready_ns + self.deadlines_ns[message.class_name] - sent_ns) / 1e9
            message_id = f"{message.key}.{attempt}"
            forwarder = (message.forwarder + attempt) % forwarders
            status, error = await self._attempt(
                forwarder,
                build_request(message, message_id, left_s, self.body, attempt > 0),
                timeout,
            )
            self.record(
                {
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
                    **(
                        {
                            "session": message.session,
                            "number": message.number,
                            "ready_ns": ready_ns,
                        }
                        if message.session
                        else {}
                    ),
                }
            )
            if status or left_s <= timeout:
                return

    async def _attempt(
        self, forwarder: int, data: bytes, timeout: float
    ) -> tuple[int, str]:
        try:
            pair = await self.connections.acquire(forwarder, timeout)
        except (OSError, TimeoutError) as error:
            return 0, f"connect: {type(error).__name__}"
        reader, writer = pair
        try:
            writer.write(data)
            async with asyncio.timeout(timeout):
                status = await read_status(reader)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
            IndexError,
        ) as error:
            with contextlib.suppress(OSError):
                writer.close()
            return 0, type(error).__name__
        self.connections.release(forwarder, pair)
        return status, ""


def run_load_process(
    experiment: Experiment, seed: int, ports: list[int], pipe: Any, path: str
) -> None:
    """The load process: plan the messages, tell their number on ``pipe``, take the
    start time from it (ns of time.monotonic_ns), send, write the records to ``path`` as
    JSON lines, then say 'done'.
    """
    try:
        planned = load_plan.plan_messages(experiment, seed)
        pipe.send(len(planned))
        start_ns = int(pipe.recv())
        gc.freeze()  # what is made before the start is never looked through again,
        # and no collection falls in the middle of the schedule; the process ends after
        # it
        gc.disable()
        records: list[dict[str, Any]] = []
        front = ConnectionPool(ports)

        async def play() -> None:
            try:
                await LoadDriver(
                    experiment,
                    front,
                    records.append,
                    lambda: time.monotonic_ns() - start_ns,
                ).run(planned)
            finally:
                front.close()

        asyncio.run(play())
        Path(path).write_text(
            "".join(json.dumps(r, separators=(",", ":")) + "\n" for r in records)
        )
        pipe.send("done")
    except Exception as error:  # told to the lab, which ends the run with it
        pipe.send(f"{type(error).__name__}: {error}")
