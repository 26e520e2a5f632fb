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

from rainfall.lab import plan
from rainfall.lab.experiment import Experiment
from rainfall.lab.plan import Planned
from rainfall.lab.proxy import reset
from rainfall.lab.standins import read_request

TRIES = 2
SPIN_S = 0.01
HEAD_LIMIT = 16384


@dataclass
class Front:
    """Idle client connections per forwarder, as a front that keeps them and opens more
    when all are busy.
    """

    ports: list[int]
    idle: list[list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = field(
        default_factory=list
    )

    def __post_init__(self) -> None:
        self.idle = [[] for _ in self.ports]

    async def take(
        self, n: int, limit_s: float
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self.idle[n]:
            reader, writer = self.idle[n].pop()
            if not writer.is_closing() and not reader.at_eof():
                return reader, writer
        async with asyncio.timeout(limit_s):
            return await asyncio.open_connection(
                "127.0.0.1", self.ports[n], limit=HEAD_LIMIT
            )

    def give_back(
        self, n: int, pair: tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ) -> None:
        self.idle[n].append(pair)

    def close(self) -> None:
        for pairs in self.idle:
            for _, writer in pairs:
                reset(writer)


def request(p: Planned, name: str, left_s: float, body: bytes, again: bool) -> bytes:
    lines = [
        f"POST /{p.cls} HTTP/1.1",
        "Host: origin.svc",
        f"X-Correlation-Id: {name}",
        "X-Account: acme",
        f"X-Time-Left: {left_s:.3f}",
        f"Idempotency-Key: {p.key}",
        f"Content-Length: {len(body)}",
        f"X-Addressing: dest={p.destination}",
    ]
    lines += [f"X-Session-Key: {p.session}"] if p.session else []
    lines += ["X-Repeat: again"] if again else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def status_of(reader: asyncio.StreamReader) -> int:
    """The status of the next answer; IncompleteReadError where the connection ends
    first.
    """
    got = await read_request(reader)
    if got is None:
        raise asyncio.IncompleteReadError(b"", None)
    return int(got[1])


@dataclass
class Driver:
    experiment: Experiment
    front: Front
    record: Callable[[dict[str, Any]], None]
    clock: Callable[[], int] = time.monotonic_ns
    deadlines_ns: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.deadlines_ns = {
            c.name: int(c.deadline_s * 1e9) for c in self.experiment.load.classes
        }
        self.body = b"x" * self.experiment.load.body_bytes

    async def run(self, planned: list[Planned]) -> None:
        """Send every message at its time; returns when all have their answers or gave
        up.
        """
        tasks: set[asyncio.Task[None]] = set()
        last: dict[str, asyncio.Task[None]] = {}
        for p in planned:
            await self._until(p.due_ns)
            if p.session:
                task = last[p.session] = asyncio.create_task(
                    self.in_turn(p, last.get(p.session))
                )
            else:
                task = asyncio.create_task(self.send(p, p.due_ns))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.gather(*tasks)

    async def _until(self, due_ns: int) -> None:
        """Wait for a send time. The loop's timers wake a few ms late once other timers
        are about (its waits are whole ms), so the last SPIN_S are spent yielding: the
        load process gives a core for a schedule held to well under a millisecond (3 ms
        at the 99th percentile with 3 ms of yielding, 0.07 with 8).
        """
        wait = (due_ns - self.clock()) / 1e9
        if wait > SPIN_S:
            await asyncio.sleep(wait - SPIN_S)
        while self.clock() < due_ns:
            await asyncio.sleep(0)

    async def in_turn(self, p: Planned, before: asyncio.Task[None] | None) -> None:
        """PROTOCOL: messages of one key are handed in in sequence, each once the one
        before has its answer. A message that has waited for that is due when it may go,
        and has its whole time from then.
        """
        if before is None or before.done():
            await self.send(p, p.due_ns)
        else:
            await asyncio.wait([before])
            await self.send(p, self.clock())

    async def send(self, p: Planned, ready_ns: int) -> None:
        timeout = self.experiment.load.answer_timeout_s
        forwarders = self.experiment.load.forwarders or self.experiment.fleet.forwarders
        for n in range(TRIES):
            sent = self.clock()
            left = (ready_ns + self.deadlines_ns[p.cls] - sent) / 1e9
            name = f"{p.key}.{n}"
            target = (p.forwarder + n) % forwarders
            status, error = await self._try(
                target, request(p, name, left, self.body, n > 0), timeout
            )
            self.record(
                {
                    "kind": "try",
                    "key": p.key,
                    "id": name,
                    "cls": p.cls,
                    "destination": p.destination,
                    "forwarder": target,
                    "due_ns": p.due_ns,
                    "sent_ns": sent,
                    "answer_ns": self.clock(),
                    "status": status,
                    "error": error,
                    **(
                        {"session": p.session, "number": p.number, "ready_ns": ready_ns}
                        if p.session
                        else {}
                    ),
                }
            )
            if status or left <= timeout:
                return

    async def _try(self, n: int, data: bytes, timeout: float) -> tuple[int, str]:
        try:
            pair = await self.front.take(n, timeout)
        except (OSError, TimeoutError) as error:
            return 0, f"connect: {type(error).__name__}"
        reader, writer = pair
        try:
            writer.write(data)
            async with asyncio.timeout(timeout):
                status = await status_of(reader)
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
        self.front.give_back(n, pair)
        return status, ""


def drive(
    experiment: Experiment, seed: int, ports: list[int], pipe: Any, path: str
) -> None:
    """The load process: plan the messages, tell their number on ``pipe``, take the
    start time from it (ns of time.monotonic_ns), send, write the records to ``path`` as
    JSON lines, then say 'done'.
    """
    try:
        planned = plan.messages(experiment, seed)
        pipe.send(len(planned))
        t0 = int(pipe.recv())
        gc.freeze()  # what is made before the start is never looked through again,
        # and no collection falls in the middle of the schedule; the process ends after
        # it
        gc.disable()
        records: list[dict[str, Any]] = []
        front = Front(ports)

        async def play() -> None:
            try:
                await Driver(
                    experiment, front, records.append, lambda: time.monotonic_ns() - t0
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
