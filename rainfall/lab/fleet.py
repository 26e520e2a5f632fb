"""The processes of a lab run: the real programs, each started, signalled and ended by
its id.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

READY_S = 20.0
TERM_S = 5.0
ROOT = Path(__file__).resolve().parents[2]


class StartError(Exception):
    """A process did not come up; the text names it and its log."""


def reserve(held: list[socket.socket]) -> int:
    """A port on 127.0.0.1 for a forwarder to bind itself. Its socket stays bound in
    ``held`` until the lab's own servers are up, so that none of them is handed the same
    port by the kernel.
    """
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    held.append(s)
    return int(s.getsockname()[1])


async def ready(
    port: int,
    process: asyncio.subprocess.Process | None = None,
    deadline_s: float = READY_S,
) -> None:
    """Wait until the operators' address answers /_ready with 200; TimeoutError past the
    deadline, StartError as soon as the process has ended.
    """
    async with asyncio.timeout(deadline_s):
        while True:
            if process is not None and process.returncode is not None:
                raise StartError(f"ended with {process.returncode}")
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, TimeoutError
            ):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(
                        b"GET /_ready HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n"
                    )
                    first = await reader.readline()
                    writer.close()
                if first.split(b" ")[1:2] == [b"200"]:
                    return
            await asyncio.sleep(0.05)


@dataclass
class Process:
    """A program of the lab: its folder holds ``state/`` and the log of each start."""

    name: str
    folder: Path
    told: Callable[[str, str, int], None] = lambda name, did, pid: None
    """Hears of each start and end: ``started``, ``ended`` (by SIGKILL or SIGTERM),
    ``wiped`` (its folder).
    """
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    pids: list[int] = field(default_factory=list)
    log: IO[bytes] | None = None
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    """Held through a fault on it, so that a start is never ended by half."""

    role = "process"

    @property
    def state(self) -> Path:
        return self.folder / "state"

    def command(self) -> tuple[list[str], dict[str, str]]:
        """What to start (after the interpreter) and what to add to the environment."""
        raise NotImplementedError

    def ready_port(self) -> int:
        raise NotImplementedError

    async def start(self) -> None:
        """Start the program and wait for its yes at /_ready; StartError where that does
        not come.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        words, environ = self.command()
        self.starts += 1
        if self.log is not None:
            self.log.close()
        path = self.folder / f"log-{self.starts}.txt"
        self.log = path.open("wb")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            cwd=ROOT,
            env={**os.environ, **environ},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self.pids.append(self.process.pid)
        self.told(self.name, "started", self.process.pid)
        try:
            await ready(self.ready_port(), self.process)
        except (TimeoutError, StartError):
            text = path.read_text(errors="replace").strip().splitlines()[-1:] or [
                "it wrote no line"
            ]
            raise StartError(
                f"{self.name} did not come up: {text[0][:300]} ({path})"
            ) from None

    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, sign: int) -> None:
        if self.alive():
            assert self.process is not None
            self.process.send_signal(sign)

    async def kill(self) -> None:
        """SIGKILL (after SIGCONT, so that a paused one dies too) and wait for it."""
        if self.process is None:
            return
        was = self.alive()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()
        if was:
            self.told(self.name, "ended", self.process.pid)

    async def term(self) -> None:
        """SIGTERM, then SIGKILL if it has not ended within TERM_S."""
        if self.process is None:
            return
        was = self.alive()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERM_S):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
            return
        if was:
            self.told(self.name, "ended", self.process.pid)

    async def restart(self, keep: bool) -> None:
        """Start again after an end, with the state folder kept or lost."""
        await self.kill()
        if not keep:
            shutil.rmtree(self.state, ignore_errors=True)
            self.told(self.name, "wiped", self.pids[-1])
        await self.start()

    async def end(self) -> None:
        await self.kill()
        if self.log is not None:
            self.log.close()
            self.log = None


@dataclass
class Forwarder(Process):
    """One member; its folder holds ``config.json`` too."""

    config: dict[str, Any] = field(default_factory=dict)
    admin: int = 0

    role = "forwarder"

    def command(self) -> tuple[list[str], dict[str, str]]:
        self.state.mkdir(parents=True, exist_ok=True)
        (self.folder / "config.json").write_text(json.dumps(self.config))
        return ["-m", "rainfall"], {
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_STATE": str(self.state),
            "LB_ADMIN_ADDR": f"127.0.0.1:{self.admin}",
        }

    def ready_port(self) -> int:
        return self.admin


async def end_all(members: Sequence[Process]) -> None:
    """End every process that the lab started, each by its own id; never raises."""
    for member in members:
        with contextlib.suppress(ProcessLookupError, OSError):
            await member.end()
