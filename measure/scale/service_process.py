"""Runs the list service as a process, calls it and reads its resource usage."""

from __future__ import annotations

import http.client
import json
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from measure.scale import memory
from measure.scale.results import ROOT

LEASE_MS = 3_000
SPAN_MS = 1_000
CALLS_PER_MEMBER = 50
"""Calls of a budget for each member; the total exceeds what all members need."""
RESERVES_PER_MEMBER = 2
"""Reserves for each member: a restart without a state folder needs another one.
"""
START_TIMEOUT_S = 20.0
START_POLL_S = 0.02
CALL_TIMEOUT_S = 20
SHOWN_LOG_CHARACTERS = 500
SHOWN_ANSWER_BYTES = 300


@dataclass(frozen=True, slots=True)
class ServiceUsage:
    """Resources that the service used from its start until `at_s`."""

    at_s: float
    processor_s: float
    syncs: int

    def core_share(self, before: ServiceUsage) -> float:
        """Return the part of a core used since an earlier moment."""
        return (self.processor_s - before.processor_s) / (self.at_s - before.at_s)

    def syncs_per_s(self, before: ServiceUsage) -> float:
        """Return the syncs a second since an earlier moment."""
        return (self.syncs - before.syncs) / (self.at_s - before.at_s)


class ListService:
    """The process of the list service.

    `start` starts it, also after `kill`; `close` ends it. The ports stay the same
    over restarts.
    """

    def __init__(self, folder: Path, members: int, budgets: int) -> None:
        self.folder = folder
        self.members = members
        self.process: subprocess.Popen[bytes] | None = None
        self.listen_port = self.write_port = self.fleet_port = 0
        self.write_budgets(budgets, CALLS_PER_MEMBER * members)

    def write_budgets(self, budgets: int, calls: int) -> None:
        """Write the budgets: `calls` for the first, the default for all others."""
        wholes = [calls] + [CALLS_PER_MEMBER * self.members] * (budgets - 1)
        documents = [
            {
                "destination": str(number),
                "calls": whole,
                "span_ms": SPAN_MS,
                "reserve": 1,
                "members_max": RESERVES_PER_MEMBER * self.members,
            }
            for number, whole in enumerate(wholes)
        ]
        new_file = self.folder / "budgets.new"
        new_file.write_text(json.dumps({"budgets": documents}))
        new_file.replace(self.folder / "budgets.json")

    def start(self) -> None:
        """Start the program and wait until it listens.

        Raises RuntimeError if it ends, or does not listen within
        `START_TIMEOUT_S`.
        """
        ports_file = self.folder / "ports"
        ports_file.unlink(missing_ok=True)
        ports = self.listen_port, self.write_port, self.fleet_port
        listen, write, fleet = (f"127.0.0.1:{port}" for port in ports)
        arguments = [
            "--state",
            self.folder / "service",
            "--listen",
            listen,
            "--write",
            write,
            "--fleet",
            fleet,
        ]
        arguments += [
            "--budgets",
            self.folder / "budgets.json",
            "--ports",
            ports_file,
            "--reserves-known",
        ]
        arguments += ["--lease-ms", LEASE_MS, "--longest-ms", LEASE_MS, "--new"]
        with (self.folder / "service.log").open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "rainfall.registry", *map(str, arguments)],
                cwd=ROOT,
                stderr=log,
            )
        until = time.monotonic() + START_TIMEOUT_S
        while not ports_file.exists() or not ports_file.read_text().endswith("\n"):
            if time.monotonic() > until or self.process.poll() is not None:
                raise RuntimeError(f"list service failed to start: {self.last_lines()}")
            time.sleep(START_POLL_S)
        self.listen_port, self.write_port, self.fleet_port = map(
            int, ports_file.read_text().split()
        )

    def last_lines(self) -> str:
        """Return the end of the log."""
        return (self.folder / "service.log").read_text()[-SHOWN_LOG_CHARACTERS:]

    def kill(self) -> None:
        """Kill the process (SIGKILL)."""
        assert self.process is not None
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def close(self) -> None:
        """Terminate the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.terminate()
            self.process.wait()

    def reload(self) -> None:
        """Make the service read its budgets again (SIGHUP)."""
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    def call(self, port: int, method: str, path: str, body: Any = None) -> Any:
        """Return the JSON answer to one call.

        Raises RuntimeError if the status is not 200.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=CALL_TIMEOUT_S
        )
        try:
            connection.request(method, path, None if body is None else json.dumps(body))
            answer = connection.getresponse()
            text = answer.read()
        finally:
            connection.close()
        if answer.status != 200:
            raise RuntimeError(
                f"{method} {path}: status {answer.status}: {text[:SHOWN_ANSWER_BYTES]!r}"
            )
        return json.loads(text)

    def change_hosts(self, operations: list[Mapping[str, Any]]) -> int:
        """Change entries of the list; return the version that contains them."""
        return int(
            self.call(self.write_port, "POST", "/v1/hosts", {"ops": operations})["seq"]
        )

    def variables(self) -> dict[str, Any]:
        """Return the content of `/_vars`."""
        return dict(self.call(self.write_port, "GET", "/_vars"))

    def usage(self) -> ServiceUsage:
        """Return the resources used until now."""
        syncs = int(self.variables()["fleet_syncs"])
        return ServiceUsage(time.monotonic(), self.processor_s(), syncs)

    def processor_s(self) -> float:
        """Return the process's user and system time, in the kernel's steps of 10 ms."""
        assert self.process is not None
        return memory.processor_s(self.process.pid)

    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        assert self.process is not None
        return memory.resident_bytes(str(self.process.pid))


def host_entry(number: int, health: str = "up") -> dict[str, Any]:
    """Build the operation that registers a host or changes it."""
    return {
        "op": "register",
        "host": f"host-{number}",
        "dial": f"127.0.0.1:{10_000 + number}",
        "site": "zone-0",
        "class": "plain",
        "block": number,
        "share": 10.0,
        "born_ms": 0,
        "health": health,
    }
