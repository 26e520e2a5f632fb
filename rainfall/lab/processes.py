"""Starts, signals and stops the processes of a lab run, each by its id."""

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
from typing import IO, Any, NamedTuple

from rainfall.errors import RainfallError

READY_TIMEOUT_S = 20.0
READY_CALL_TIMEOUT_S = 1.0
READY_POLL_S = 0.05
TERM_TIMEOUT_S = 5.0
"""Time between SIGTERM and SIGKILL."""
SHOWN_CHARACTERS = 300
"""Longest part of a log line in an error message."""
ROOT = Path(__file__).resolve().parents[2]


class StartError(RainfallError):
    """A process did not start; the message names the process and its log."""


class Command(NamedTuple):
    """Command line and environment of a process."""

    arguments: list[str]
    """Arguments of the Python interpreter."""
    environment: dict[str, str]
    """Variables added to the environment of the lab."""


def ignore_event(_name: str, _event: str, _pid: int) -> None:
    """Discard an event; the default of ``on_event``."""


def reserve_port(reserved_sockets: list[socket.socket]) -> int:
    """Reserve a port on 127.0.0.1 for a process.

    The bound socket is added to ``reserved_sockets``. It stays open until the lab's own
    servers listen, so that the kernel does not assign them the same port.
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
    """Poll ``/_ready`` on a port until it answers 200.

    Raises:
        TimeoutError: It did not answer 200 within ``deadline_s``.
        StartError: The process has ended.
    """
    async with asyncio.timeout(deadline_s):
        while True:
            if process is not None and process.returncode is not None:
                raise StartError(f"exited with code {process.returncode}")
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, TimeoutError
            ):
                async with asyncio.timeout(READY_CALL_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(
                        b"GET /_ready HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n"
                    )
                    status_line = await reader.readline()
                    writer.close()
                if status_line.split(b" ")[1:2] == [b"200"]:
                    return
            await asyncio.sleep(READY_POLL_S)


@dataclass
class Process:
    """A process of the lab; ``folder`` holds ``state/`` and one log for each start."""

    name: str
    folder: Path
    on_event: Callable[[str, str, int], None] = ignore_event
    """Called with the name, the event and the process id.

    Events are ``started``, ``ended`` (by SIGKILL or SIGTERM) and ``wiped`` (the state
    folder was deleted).
    """
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    pids: list[int] = field(default_factory=list)
    log: IO[bytes] | None = None
    fault_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    """Held during a fault, so that no other fault interferes with the restart."""

    role = "process"

    @property
    def state_folder(self) -> Path:
        """The folder in which the process stores its state."""
        return self.folder / "state"

    def command(self) -> Command:
        """The command line and environment for a start."""
        raise NotImplementedError

    def ready_port(self) -> int:
        """The port that answers /_ready."""
        raise NotImplementedError

    async def start(self) -> None:
        """Start the process and wait until it is ready.

        Raises:
            StartError: It exited, or was not ready within ``READY_TIMEOUT_S``.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        command = self.command()
        self.starts += 1
        if self.log is not None:
            self.log.close()
        log_path = self.folder / f"log-{self.starts}.txt"
        self.log = log_path.open("wb")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command.arguments,
            cwd=ROOT,
            env={**os.environ, **command.environment},
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
            raise StartError(
                f"{self.name} did not start: {_last_line(log_path)} ({log_path})"
            ) from None

    def alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def signal(self, signal_number: int) -> None:
        """Send a signal if the process is running."""
        if self.alive():
            assert self.process is not None
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """Kill the process by SIGKILL and wait for its exit.

        SIGCONT is sent first, so that a paused process ends too.
        """
        if self.process is None:
            return
        was_alive = self.alive()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()
        if was_alive:
            self.on_event(self.name, "ended", self.process.pid)

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL if the process runs after ``TERM_TIMEOUT_S``."""
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
        """Kill the process if it is running, delete its state unless kept, and start it."""
        await self.kill()
        if not keep_state:
            shutil.rmtree(self.state_folder, ignore_errors=True)
            self.on_event(self.name, "wiped", self.pids[-1])
        await self.start()

    async def end(self) -> None:
        """Kill the process and close its log."""
        await self.kill()
        if self.log is not None:
            self.log.close()
            self.log = None


@dataclass
class Forwarder(Process):
    """A forwarder; its folder also holds ``config.json``."""

    config: dict[str, Any] = field(default_factory=dict)
    admin_port: int = 0

    role = "forwarder"

    def command(self) -> Command:
        """Write ``config.json``; the command reads it through ``LB_CONFIG``."""
        self.state_folder.mkdir(parents=True, exist_ok=True)
        config_path = self.folder / "config.json"
        config_path.write_text(json.dumps(self.config))
        environment = {
            "LB_CONFIG": str(config_path),
            "LB_STATE": str(self.state_folder),
            "LB_ADMIN_ADDR": f"127.0.0.1:{self.admin_port}",
        }
        return Command(["-m", "rainfall"], environment)

    def ready_port(self) -> int:
        """The port of the admin address."""
        return self.admin_port


async def end_all(processes: Sequence[Process]) -> None:
    """Kill every process, each by its own id, ignoring OSError."""
    for process in processes:
        with contextlib.suppress(ProcessLookupError, OSError):
            await process.end()


def _last_line(log_path: Path) -> str:
    lines = log_path.read_text(errors="replace").strip().splitlines()
    return lines[-1][:SHOWN_CHARACTERS] if lines else "empty log"
