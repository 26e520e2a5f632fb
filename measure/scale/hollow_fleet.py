"""A whole fleet of hollow members: processes of some hundred each, beside one list
service process.
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
"""Members of one process at most: more would wait for each other's turns."""
CONNECTIONS_PER_MEMBER = 3
"""Of a member: beats, the fleet's watch, the list's."""
SPARE_DESCRIPTORS = 200
IDLE_CALLS = 2
"""Calls in a span that a member at rest needs of each budget."""
HOST_COUNT = 20
SETTLED_S = 2.5
"""Shares that have not changed for so long rest: over two windows, by which what was
given up moves.
"""
WAIT_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.2


class FleetTimeoutError(Exception):
    """What was waited for did not come; the text says what."""


def allow_descriptors(members: int) -> None:
    """Raise this process's limit, which all that it starts inherit, as far as the fleet
    needs it.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = members * CONNECTIONS_PER_MEMBER + SPARE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise FleetTimeoutError(
            f"{members} members need {needed} descriptors of the service, and the limit is {hard}"
        )
    if soft != resource.RLIM_INFINITY and soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


@dataclass(slots=True)
class Totals:
    """Of all processes of members together, at a moment."""

    at_s: float
    members: dict[str, MemberReport] = field(default_factory=dict)
    calls: dict[Call, int] = field(default_factory=lambda: dict.fromkeys(Call, 0))
    bytes: dict[Call, int] = field(default_factory=lambda: dict.fromkeys(Call, 0))
    processor_s: float = 0.0
    resident_bytes: int = 0
    samples: list[list[Sample]] = field(default_factory=list)
    """Of each process."""

    def add(self, report: Report) -> None:
        self.members |= {member.name: member for member in report.members}
        for call in Call:
            self.calls[call] += report.calls.get(call, 0)
            self.bytes[call] += report.sent.get(call, 0) + report.received.get(call, 0)
        self.processor_s += report.processor_s
        self.resident_bytes += report.resident_bytes
        self.samples.append(report.samples)

    def alive(self) -> int:
        return sum(member.alive for member in self.members.values())

    def lost(self) -> int:
        return sum(member.lost for member in self.members.values())

    def changed_ns(self) -> int:
        """When a share of any member last changed."""
        return max((member.changed_ns for member in self.members.values()), default=0)


class Worker:
    """One process of members."""

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
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")
        self.process.stdin.flush()

    def answer(self) -> bytes:
        assert self.process.stdout is not None
        if not (line := self.process.stdout.readline()):
            raise FleetTimeoutError(
                f"a process of members ended with {self.process.wait()}"
            )
        return line

    def close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(timeout=5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class HollowFleet:
    """`members` of them with `budgets` budgets, `wanted` of which each needs calls of."""

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
        for worker in self.workers:
            worker.close()
        self.service.close()

    # Commands

    def send_command(
        self, make: Callable[[list[str]], Command], names: Iterable[str]
    ) -> None:
        """One command to every process that has some of these members; all begin at
        once.
        """
        wanted = set(names)
        addressed = [worker for worker in self.workers if worker.names & wanted]
        for worker in addressed:
            worker.write(make(sorted(worker.names & wanted)))
        for worker in addressed:
            msgspec.json.decode(worker.answer(), type=Done)

    def start(self, names: Iterable[str]) -> None:
        self.send_command(lambda some: Start(some, "zone-0", self.needs), names)

    def kill(self, names: Iterable[str]) -> None:
        self.send_command(Kill, names)

    def set_need(self, names: Iterable[str], destination: int, calls: int) -> None:
        self.send_command(lambda some: SetNeed(some, destination, calls), names)

    def totals(self, destination: int = 0) -> Totals:
        """As it stands now; samples are those since the last time."""
        for worker in self.workers:
            worker.write(ReportRequest(destination))
        totals = Totals(time.monotonic())
        for worker in self.workers:
            totals.add(msgspec.json.decode(worker.answer(), type=Report))
        return totals

    # Waiting

    def wait_until(
        self,
        description: str,
        condition: Callable[[Totals], bool],
        patience_s: float = WAIT_TIMEOUT_S,
    ) -> Totals:
        """The totals once they are so, with the samples of all the time until then.

        Raises Stuck.
        """
        end = time.monotonic() + patience_s
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
                    f"{description}: not within {patience_s:g} s; {totals.alive()} members are alive, leases"
                    f" were lost {totals.lost()} times"
                )
            time.sleep(POLL_INTERVAL_S)

    def wait_until_settled(self) -> Totals:
        """All are alive, all have their shares, and none has changed for a while."""

        def settled(totals: Totals) -> bool:
            members = totals.members.values()
            rested_s = time.monotonic() - totals.changed_ns() / 1e9
            return all(m.alive and m.whole_ns for m in members) and rested_s > SETTLED_S

        return self.wait_until("shares at rest", settled)


@contextmanager
def running_fleet(
    members: int, budgets: int = 3, wanted: int | None = None
) -> Iterator[HollowFleet]:
    """A fleet that has settled."""
    with TemporaryDirectory(prefix="hollow-fleet-") as folder:
        fleet = HollowFleet(Path(folder), members, budgets, wanted)
        try:
            fleet.start(fleet.names)
            fleet.wait_until_settled()
            yield fleet
        finally:
            fleet.close()
