"""Runs a whole fleet of hollow members against one list service process.

The members are spread over processes of up to `MEMBERS_PER_PROCESS` each.
"""

from __future__ import annotations

import resource
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from measure.scale.hollow_member import Call
from measure.scale.hollow_process import (
    Command,
    Done,
    Kill,
    MemberReport,
    Report,
    ReportRequest,
    Sample,
    SetNeed,
    Setup,
    Start,
)
from measure.scale.results import ROOT
from measure.scale.service_process import ListService, host_entry

MEMBERS_PER_PROCESS = 180
"""Most members of one process: more would delay each other on its event loop."""
CONNECTIONS_PER_MEMBER = 3
"""A member's connections: heartbeats, the fleet's watch and the list's watch."""
SPARE_DESCRIPTORS = 200
IDLE_CALLS = 2
"""Calls in a span that an idle member needs of each budget."""
HOST_COUNT = 20
SETTLED_S = 2.5
"""Shares are settled once they have not changed for this long.

Released shares move within two windows, and this is longer.
"""
WAIT_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.2


class FleetTimeoutError(Exception):
    """A fleet failed to start, lost a process, or missed a condition's deadline."""


def allow_descriptors(members: int) -> None:
    """Raise this process's limit of file descriptors as far as the fleet needs.

    Processes that are started later inherit the limit. Raises FleetTimeoutError if
    the hard limit is too low.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = members * CONNECTIONS_PER_MEMBER + SPARE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise FleetTimeoutError(
            f"{members} members need {needed} file descriptors in the list service, the hard limit is {hard}"
        )
    if soft != resource.RLIM_INFINITY and soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


@dataclass(slots=True)
class Totals:
    """Sums over all processes of members, at one moment."""

    at_s: float
    members: dict[str, MemberReport] = field(default_factory=dict)
    calls: dict[Call, int] = field(default_factory=lambda: dict.fromkeys(Call, 0))
    bytes: dict[Call, int] = field(default_factory=lambda: dict.fromkeys(Call, 0))
    processor_s: float = 0.0
    resident_bytes: int = 0
    samples: list[list[Sample]] = field(default_factory=list)
    """The samples of each process."""

    def add(self, report: Report) -> None:
        """Add the report of one process."""
        self.members |= {member.name: member for member in report.members}
        for call in Call:
            self.calls[call] += report.calls.get(call, 0)
            self.bytes[call] += report.sent.get(call, 0) + report.received.get(call, 0)
        self.processor_s += report.processor_s
        self.resident_bytes += report.resident_bytes
        self.samples.append(report.samples)

    def alive(self) -> int:
        """Return how many members are alive."""
        return sum(member.alive for member in self.members.values())

    def lost(self) -> int:
        """Return how often members have lost their leases."""
        return sum(member.lost for member in self.members.values())

    def changed_ns(self) -> int:
        """Return when a share of any member last changed (monotonic ns)."""
        return max((member.changed_ns for member in self.members.values()), default=0)


class Worker:
    """A process that runs members; commands and answers are JSON lines."""

    def __init__(self, setup: Setup) -> None:
        command = [sys.executable, "-m", "measure.scale.hollow_process"]
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            bufsize=1 << 20,
        )
        self.names: set[str] = set()
        self.write(setup)

    def write(self, message: msgspec.Struct) -> None:
        """Send one command."""
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")
        self.process.stdin.flush()

    def answer(self) -> bytes:
        """Read one answer. Raises FleetTimeoutError if the process has ended."""
        assert self.process.stdout is not None
        if not (line := self.process.stdout.readline()):
            raise FleetTimeoutError(
                f"member process ended with status {self.process.wait()}"
            )
        return line

    def close(self) -> None:
        """End the process; it is killed if it does not end within 5 s."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(timeout=5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class HollowFleet:
    """A fleet of `members` hollow members and a list service with `budgets` budgets.

    Each member needs calls of the first `wanted` budgets; of all if None.
    """

    def __init__(
        self, folder: Path, members: int, budgets: int = 3, wanted: int | None = None
    ) -> None:
        allow_descriptors(members)
        self.folder, self.budgets = folder, budgets
        self.needs = dict.fromkeys(
            range(budgets if wanted is None else wanted), IDLE_CALLS
        )
        self.service = ListService(folder, members, budgets)
        self.service.start()
        self.service.change_hosts([host_entry(number) for number in range(HOST_COUNT)])
        setup = Setup(self.service.fleet_port, self.service.listen_port, str(folder))
        self.workers = [
            Worker(setup) for _ in range(-(-members // MEMBERS_PER_PROCESS))
        ]
        self.names = [f"member-{number}" for number in range(members)]
        for number, name in enumerate(self.names):
            self.workers[number % len(self.workers)].names.add(name)

    def close(self) -> None:
        """End all processes."""
        for worker in self.workers:
            worker.close()
        self.service.close()

    # Commands

    def send_command(
        self, make: Callable[[list[str]], Command], names: Iterable[str]
    ) -> None:
        """Send one command to every process that runs some of these members.

        All processes receive it before the first answer is read.
        """
        selected = set(names)
        addressed = [worker for worker in self.workers if worker.names & selected]
        for worker in addressed:
            worker.write(make(sorted(worker.names & selected)))
        for worker in addressed:
            msgspec.json.decode(worker.answer(), type=Done)

    def start(self, names: Iterable[str]) -> None:
        """Start members."""
        self.send_command(lambda selected: Start(selected, "zone-0", self.needs), names)

    def kill(self, names: Iterable[str]) -> None:
        """Kill members, as by SIGKILL."""
        self.send_command(Kill, names)

    def set_need(self, names: Iterable[str], destination: int, calls: int) -> None:
        """Set how many calls of a destination these members need."""
        self.send_command(lambda selected: SetNeed(selected, destination, calls), names)

    def totals(self, destination: int = 0) -> Totals:
        """Return the current totals, with the samples since the last report."""
        for worker in self.workers:
            worker.write(ReportRequest(destination))
        totals = Totals(time.monotonic())
        for worker in self.workers:
            totals.add(msgspec.json.decode(worker.answer(), type=Report))
        return totals

    # Waiting for a condition

    def wait_until(
        self,
        description: str,
        condition: Callable[[Totals], bool],
        timeout_s: float = WAIT_TIMEOUT_S,
    ) -> Totals:
        """Poll the totals until the condition holds, and return them.

        They include the samples of the whole time. Raises FleetTimeoutError.
        """
        end = time.monotonic() + timeout_s
        samples: list[list[Sample]] = [[] for _ in self.workers]
        while True:
            totals = self.totals()
            for gathered, new in zip(samples, totals.samples, strict=True):
                gathered.extend(new)
            totals.samples = samples
            if condition(totals):
                return totals
            if time.monotonic() > end:
                raise FleetTimeoutError(
                    f"{description}: not met within {timeout_s:g} s; {totals.alive()} members are alive,"
                    f" leases were lost {totals.lost()} times"
                )
            time.sleep(POLL_INTERVAL_S)

    def wait_until_settled(self) -> Totals:
        """Wait until all members are alive and their shares no longer change."""

        def settled(totals: Totals) -> bool:
            members = totals.members.values()
            unchanged_s = time.monotonic() - totals.changed_ns() / 1e9
            return (
                all(member.alive and member.whole_ns for member in members)
                and unchanged_s > SETTLED_S
            )

        return self.wait_until("shares at rest", settled)


@contextmanager
def running_fleet(
    members: int, budgets: int = 3, wanted: int | None = None
) -> Iterator[HollowFleet]:
    """Start a fleet, yield it once it has settled, and end it."""
    with TemporaryDirectory(prefix="hollow-fleet-") as folder:
        fleet = HollowFleet(Path(folder), members, budgets, wanted)
        try:
            fleet.start(fleet.names)
            fleet.wait_until_settled()
            yield fleet
        finally:
            fleet.close()
