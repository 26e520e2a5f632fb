"""The list service as a process of the lab: ``python -m rainfall.registry``, its
endpoints registered through its write address, as the servers' operators do.
"""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import dataclass, field
from typing import Any

from rainfall.lab.processes import ROOT, Process, StartError
from rainfall.lab.stand_ins import read_http_message

CALL_TIMEOUT_S = 5.0


async def supported_options() -> frozenset[str]:
    """The options that the program has now, read from its help."""
    help_process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rainfall.registry",
        "--help",
        cwd=ROOT,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    help_text, _ = await help_process.communicate()
    return frozenset(
        word.strip("[],=")
        for word in help_text.decode().split()
        if word.startswith(("--", "[--"))
    )


@dataclass
class ListServiceProcess(Process):
    """The process ``list``.

    It keeps its ports over its restarts; ``hosts`` are registered at each start, which
    changes nothing where its folder still lists them.
    """

    listen_port: int = 0
    write_port: int = 0
    fleet_port: int = 0
    options: frozenset[str] = frozenset()
    extra_args: tuple[str, ...] = ()
    hosts: list[dict[str, Any]] = field(default_factory=list)

    role = "registry"

    def command(self) -> tuple[list[str], dict[str, str]]:
        words = ["-m", "rainfall.registry", "--state", str(self.state_folder)]
        words += [
            "--listen",
            f"127.0.0.1:{self.listen_port}",
            "--write",
            f"127.0.0.1:{self.write_port}",
        ]
        if "--fleet" in self.options:
            words += ["--fleet", f"127.0.0.1:{self.fleet_port}"]
        empty = not self.state_folder.is_dir() or not any(self.state_folder.iterdir())
        if "--new" in self.options and empty:
            words += ["--new"]
        return [*words, *self.extra_args], {}

    def ready_port(self) -> int:
        return self.write_port

    async def start(self) -> None:
        await super().start()
        ops = [
            {"op": "register", **{k: v for k, v in h.items() if k != "health"}}
            for h in self.hosts
        ]
        try:
            status, text = await post(self.write_port, "/v1/hosts", {"ops": ops})
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ) as error:
            raise StartError(
                f"{self.name} did not take the endpoints: {type(error).__name__}"
            ) from None
        if status != 200:
            raise StartError(
                f"{self.name} refused the endpoints: {status} {text[:300]!r}"
            )


async def post(port: int, path: str, body: dict[str, Any]) -> tuple[int, bytes]:
    """One call at a loopback port: its status and body."""
    data = json.dumps(body).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    async with asyncio.timeout(CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(head.encode() + data)
            response = await read_http_message(reader)
            if response is None:
                raise ValueError("no answer")
            return int(response[1]), response[3]
        finally:
            writer.close()
