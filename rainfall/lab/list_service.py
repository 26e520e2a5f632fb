"""Runs the list service, ``python -m rainfall.registry``, as a process of the lab.

The lab registers the endpoints at the service's write address, as an operator would.
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
"""Longest part of a response body in an error message."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and body of an HTTP response."""

    status: int
    body: bytes


async def supported_options() -> frozenset[str]:
    """The command line options of the list service, taken from its ``--help``."""
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

    The ports stay the same across restarts. ``hosts`` are registered at each start,
    which has no effect if the state folder still lists them.
    """

    listen_port: int = 0
    write_port: int = 0
    fleet_port: int = 0
    options: frozenset[str] = frozenset()
    extra_args: tuple[str, ...] = ()
    hosts: list[dict[str, Any]] = field(default_factory=list)

    role = "registry"

    def command(self) -> Command:
        """The command line; ``--new`` is added for an empty state folder."""
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
        """The port of the write address."""
        return self.write_port

    async def start(self) -> None:
        """Start the process and register the endpoints.

        Raises:
            StartError: The process did not start, or rejected the endpoints.
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
            response = await post(self.write_port, "/v1/hosts", {"ops": operations})
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ) as error:
            raise StartError(
                f"{self.name}: cannot register the endpoints: {type(error).__name__}"
            ) from None
        if response.status != HTTPStatus.OK:
            body_start = response.body[:SHOWN_CHARACTERS]
            raise StartError(
                f"{self.name} rejected the endpoints: status {response.status}, body {body_start!r}"
            )


async def post(port: int, path: str, body: dict[str, Any]) -> HttpResponse:
    """POST a JSON body to a loopback port and return the response.

    Raises:
        OSError: The connection failed.
        TimeoutError: No response came within ``CALL_TIMEOUT_S``.
        asyncio.IncompleteReadError: The connection closed within the response.
        ValueError: The connection closed without a response, or it is invalid.
    """
    data = json.dumps(body).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    async with asyncio.timeout(CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(head.encode() + data)
            message = await read_http_message(reader)
            if message is None:
                raise ValueError("connection closed without a response")
            return HttpResponse(int(message.target), message.body)
        finally:
            writer.close()
