"""The forwarders of a lab run: the real program, one process each, started, signalled and ended by its id."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

READY_S = 20.0
TERM_S = 5.0
ROOT = Path(__file__).resolve().parents[2]


class StartError(Exception):
    """A forwarder did not come up; the text names it and its log."""


def reserve(held: list[socket.socket]) -> int:
    """A port on 127.0.0.1 for a forwarder to bind itself. Its socket stays bound in ``held`` until the lab's
    own servers are up, so that none of them is handed the same port by the kernel."""
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    held.append(s)
    return int(s.getsockname()[1])


async def ready(port: int, deadline_s: float = READY_S) -> None:
    """Wait until the operators' address answers /_ready with 200; TimeoutError past the deadline."""
    async with asyncio.timeout(deadline_s):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"GET /_ready HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n")
                    first = await reader.readline()
                    writer.close()
                if first.split(b" ")[1:2] == [b"200"]:
                    return
            await asyncio.sleep(0.05)


@dataclass
class Forwarder:
    """One member: its folder holds ``config.json``, ``state/`` and the log of each start."""

    name: str
    folder: Path
    config: dict[str, Any]
    admin: int
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    pids: list[int] = field(default_factory=list)
    log: IO[bytes] | None = None

    @property
    def state(self) -> Path:
        return self.folder / "state"

    async def start(self) -> None:
        """Start the program and wait for its yes at /_ready."""
        self.state.mkdir(parents=True, exist_ok=True)
        (self.folder / "config.json").write_text(json.dumps(self.config))
        env = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_STATE": str(self.state),
            "LB_ADMIN_ADDR": f"127.0.0.1:{self.admin}",
        }
        self.starts += 1
        if self.log is not None:
            self.log.close()
        self.log = (self.folder / f"log-{self.starts}.txt").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lemonshunt",
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self.pids.append(self.process.pid)
        await ready(self.admin)

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
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def term(self) -> None:
        """SIGTERM, then SIGKILL if it has not ended within TERM_S."""
        if self.process is None:
            return
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERM_S):
                await self.process.wait()
        except TimeoutError:
            await self.kill()

    async def restart(self, keep: bool) -> None:
        """Start again after an end, with the state folder kept or lost."""
        await self.kill()
        if not keep:
            shutil.rmtree(self.state, ignore_errors=True)
        await self.start()

    async def end(self) -> None:
        await self.kill()
        if self.log is not None:
            self.log.close()
            self.log = None


async def end_all(members: list[Forwarder]) -> None:
    """End every process that the lab started, each by its own id; never raises."""
    for member in members:
        with contextlib.suppress(ProcessLookupError, OSError):
            await member.end()
