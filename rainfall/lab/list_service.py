"""The list service as a process of the lab: ``python -m rainfall.registry``.

Its endpoints are registered at its write address, as operators do.
"""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from rainfall.lab.processes import ROOT, Command, Process, StartError
from rainfall.lab.stand_ins import read_http_message

CALL_TIMEOUT_S = 5.0
SHOWN_CHARACTERS = 300
"""Characters of an answer that an error shows."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An answer's status and body."""

    status: int
    body: bytes


async def supported_options() -> frozenset[str]:
    """The options of the program, as its help lists them."""
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
    """The list service's process.

    It keeps its ports over restarts. ``hosts`` are registered at each start, which
    changes nothing if its state folder still lists them.
    """

    listen_port: int = 0
    write_port: int = 0
    fleet_port: int = 0
    options: frozenset[str] = frozenset()
    extra_args: tuple[str, ...] = ()
    hosts: list[dict[str, Any]] = field(default_factory=list)

    role = "registry"

    def command(self) -> Command:
        """See ``Process``."""
        arguments = ["-m", "rainfall.registry"]
        arguments += ["--state", str(self.state_folder)]
        arguments += ["--listen", f"127.0.0.1:{self.listen_port}"]
        arguments += ["--write", f"127.0.0.1:{self.write_port}"]
        if "--fleet" in self.options:
            arguments += ["--fleet", f"127.0.0.1:{self.fleet_port}"]
        folder = self.state_folder
        is_empty = not folder.is_dir() or not any(folder.iterdir())
        if "--new" in self.options and is_empty:
            arguments.append("--new")
        return Command([*arguments, *self.extra_args], {})

    def ready_port(self) -> int:
        """The write address."""
        return self.write_port

    async def start(self) -> None:
        """Start the process, and register the endpoints.

        Raises:
            StartError: It did not come up, or did not accept the endpoints.
        """
        await super().start()
        operations = [
            {
                "op": "register",
                **{key: value for key, value in host.items() if key != "health"},
            }
            for host in self.hosts
        ]
        try:
            answer = await post(self.write_port, "/v1/hosts", {"ops": operations})
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ) as error:
            raise StartError(
                f"{self.name} did not take the endpoints: {type(error).__name__}"
            ) from None
        if answer.status != HTTPStatus.OK:
            shown = answer.body[:SHOWN_CHARACTERS]
            raise StartError(
                f"{self.name} refused the endpoints: {answer.status} {shown!r}"
            )


async def post(port: int, path: str, body: dict[str, Any]) -> HttpAnswer:
    """The answer to one call at a loopback port.

    Raises:
        OSError: The connection failed.
        TimeoutError: No answer came within ``CALL_TIMEOUT_S``.
        asyncio.IncompleteReadError: The connection ended within the answer.
        ValueError: The connection ended, or the answer cannot be read.
    """
    data = json.dumps(body).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    async with asyncio.timeout(CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(head.encode() + data)
            response = await read_http_message(reader)
            if response is None:
                raise ValueError("no answer")
            return HttpAnswer(int(response.target), response.body)
        finally:
            writer.close()
