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

from rainfall.errors import RainfallError

READY_TIMEOUT_S = 20.0
TERM_TIMEOUT_S = 5.0
ROOT = Path(__file__).resolve().parents[2]


class StartError(RainfallError):
    """A process did not come up; the text names it and its log."""


def reserve_port(reserved_sockets: list[socket.socket]) -> int:
    """A port on 127.0.0.1 for a forwarder to bind itself.

    Its socket stays bound in ``held`` until the lab's own servers are up, so that none
    of them is handed the same port by the kernel.
    """
    reserved = socket.socket()
    reserved.bind(("127.0.0.1", 0))
    reserved_sockets.append(reserved)
    return int(reserved.getsockname()[1])


async def wait_until_ready(
    port: int,
    process: asyncio.subprocess.Process | None = None,
    deadline_s: float = READY_TIMEOUT_S,
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
    on_event: Callable[[str, str, int], None] = lambda name, did, pid: None
    """Hears of each start and end: ``started``, ``ended`` (by SIGKILL or SIGTERM),
    ``wiped`` (its folder).
    """
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    pids: list[int] = field(default_factory=list)
    log: IO[bytes] | None = None
    fault_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    """Held through a fault on it, so that a start is never ended by half."""

    role = "process"

    @property
    def state_folder(self) -> Path:
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
        arguments, environment = self.command()
        self.starts += 1
        if self.log is not None:
            self.log.close()
        path = self.folder / f"log-{self.starts}.txt"
        self.log = path.open("wb")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            env={**os.environ, **environment},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self.pids.append(self.process.pid)
        self.on_event(self.name, "started", self.process.pid)
        try:
            await wait_until_ready(self.ready_port(), self.process)
        except (TimeoutError, StartError):
            text = path.read_text(errors="replace").strip().splitlines()[-1:] or [
                "it wrote no line"
            ]
            raise StartError(
                f"{self.name} did not come up: {text[0][:300]} ({path})"
            ) from None

    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, signal_number: int) -> None:
        if self.alive():
            assert self.process is not None
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """SIGKILL (after SIGCONT, so that a paused one dies too) and wait for it."""
        if self.process is None:
            return
        was_alive = self.alive()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()
        if was_alive:
            self.on_event(self.name, "ended", self.process.pid)

    async def terminate(self) -> None:
        """SIGTERM, then SIGKILL if it has not ended within TERM_S."""
        if self.process is None:
            return
        was_alive = self.alive()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERM_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
            return
        if was_alive:
            self.on_event(self.name, "ended", self.process.pid)

    async def restart(self, keep_state: bool) -> None:
        """Start again after an end, with the state folder kept or lost."""
        await self.kill()
        if not keep_state:
            shutil.rmtree(self.state_folder, ignore_errors=True)
            self.on_event(self.name, "wiped", self.pids[-1])
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
    admin_port: int = 0

    role = "forwarder"

    def command(self) -> tuple[list[str], dict[str, str]]:
        self.state_folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "config.json").write_text(json.dumps(self.config))
        return ["-m", "rainfall"], {
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_STATE": str(self.state_folder),
            "LB_ADMIN_ADDR": f"127.0.0.1:{self.admin_port}",
        }

    def ready_port(self) -> int:
        return self.admin_port


async def end_all(members: Sequence[Process]) -> None:
    """End every process that the lab started, each by its own id; never raises."""
    for member in members:
        with contextlib.suppress(ProcessLookupError, OSError):
            await member.end()
