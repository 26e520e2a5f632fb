"""Runs the hollow members of one process, by JSON commands at standard input.

Started by `hollow_fleet`, as `python -m measure.scale.hollow_process`. The first line
is a `Setup`, each later one a command; each command is answered by one line at standard
output.
"""

from __future__ import annotations

import asyncio
import logging
import sys
import time
from pathlib import Path

import msgspec
from msgspec import Struct

from measure.scale.hollow_member import (
    Call,
    CountingConnection,
    HollowMember,
    ServiceAddresses,
    count_calls,
)
from measure.scale.memory import resident_bytes
from rainfall.forwarder.config.loading import Address
from rainfall.lease.types import holder_validity_us

TICK_S = 0.1
"""Seconds between two ticks of one member."""
TICK_GROUPS = 10
"""Number of groups of members that tick one after another.

Forwarders in processes of their own would not tick in step either.
"""
SAMPLE_S = 0.1
MAX_SAMPLES = 6_000


class Setup(Struct):
    """Settings that all members of this process share."""

    fleet_port: int
    discovery_port: int
    folder: str


class Start(Struct, tag=True):
    """Starts members, each with its demand by destination."""

    names: list[str]
    site: str
    needs: dict[int, int]


class Kill(Struct, tag=True):
    """Kills members."""

    names: list[str]


class SetNeed(Struct, tag=True):
    """Sets how many calls of a destination these members need."""

    names: list[str]
    destination: int
    calls: int


class ReportRequest(Struct, tag=True):
    """Requests a report with the shares of one destination."""

    destination: int


Command = Start | Kill | SetNeed | ReportRequest


class Sample(Struct, array_like=True):
    """Counts since the process started, at one moment (monotonic ns)."""

    at_ns: int
    beats: int
    bytes: int
    opened: int
    alive: int


class MemberReport(Struct, array_like=True):
    """The state of one member; times are monotonic ns, 0 for never.

    `calls`, `whole` and `whole_ns` belong to the requested destination.
    """

    name: str
    alive: bool
    lost: int
    joined_ns: int
    changed_ns: int
    calls: int
    whole: int
    whole_ns: int
    list_version: int
    listed_ns: int
    renewed_us: int
    """When the current lease was requested, on the leases' clock; 0 without a lease."""


class Report(Struct):
    """The state of all members of this process, and counts since its start."""

    members: list[MemberReport]
    calls: dict[Call, int]
    sent: dict[Call, int]
    received: dict[Call, int]
    opened: int
    processor_s: float
    resident_bytes: int
    samples: list[Sample]


class Done(Struct):
    """The answer to a command without a report."""

    ok: bool = True


class HollowProcess:
    """The members of this process, on the running event loop."""

    def __init__(self, setup: Setup) -> None:
        self.service = ServiceAddresses(
            Address("127.0.0.1", setup.fleet_port),
            Address("127.0.0.1", setup.discovery_port),
        )
        self.folder = Path(setup.folder)
        self.members: dict[str, HollowMember] = {}
        self.joined_ns: dict[str, int] = {}
        self.samples: list[Sample] = []

    def execute(self, command: Command) -> Done | Report:
        """Execute one command and return its answer."""
        match command:
            case Start():
                for name in command.names:
                    self.start(name, command)
            case Kill():
                for name in command.names:
                    self.members.pop(name).kill()
            case SetNeed():
                for name in command.names:
                    self.members[name].engine.set_waiting_messages(
                        command.destination, command.calls
                    )
            case ReportRequest():
                return self.report(command.destination)
        return Done()

    def start(self, name: str, command: Start) -> None:
        """Start one member on a folder of its own."""
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        self.joined_ns.pop(name, None)
        member = self.members[name] = HollowMember(
            name, command.site, self.service, folder, command.needs
        )
        member.start()

    def close(self) -> None:
        """Kill all members."""
        for member in self.members.values():
            member.kill()

    async def tick(self) -> None:
        """Tick each member ten times a second, one group at a time."""
        turn = 0
        while True:
            began = time.monotonic()
            for member in list(self.members.values())[
                turn % TICK_GROUPS :: TICK_GROUPS
            ]:
                member.tick()
            turn += 1
            await asyncio.sleep(
                max(0.0, TICK_S / TICK_GROUPS - (time.monotonic() - began))
            )

    async def sample(self) -> None:
        """Record a sample every `SAMPLE_S`; the last `MAX_SAMPLES` are kept."""
        while True:
            now_ns = time.monotonic_ns()
            alive = [name for name, member in self.members.items() if is_alive(member)]
            for name in alive:
                self.joined_ns.setdefault(name, now_ns)
            traffic = sum(CountingConnection.sent.values()) + sum(
                CountingConnection.received.values()
            )
            beats, opened = (
                CountingConnection.calls[Call.BEAT],
                CountingConnection.opened,
            )
            self.samples.append(Sample(now_ns, beats, traffic, opened, len(alive)))
            del self.samples[:-MAX_SAMPLES]
            await asyncio.sleep(SAMPLE_S)

    def report(self, destination: int) -> Report:
        """Report on all members, with the samples since the last report."""
        members = [
            self.member_report(member, destination) for member in self.members.values()
        ]
        samples, self.samples = self.samples, []
        return Report(
            members,
            dict(CountingConnection.calls),
            dict(CountingConnection.sent),
            dict(CountingConnection.received),
            CountingConnection.opened,
            time.process_time(),
            resident_bytes(),
            samples,
        )

    def member_report(self, member: HollowMember, destination: int) -> MemberReport:
        """Report on one member, with its share of a destination."""
        share_in_force = member.engine.shares_in_force.get(destination)
        return MemberReport(
            member.name,
            is_alive(member),
            member.fleet.heartbeat_counts["lost"],
            self.joined_ns.get(member.name, 0),
            member.engine.changed_ns,
            share_in_force.calls if share_in_force else 0,
            share_in_force.whole if share_in_force else 0,
            share_in_force.whole_ns if share_in_force else 0,
            member.list_version,
            member.listed_ns,
            renewed_us(member),
        )


def is_alive(member: HollowMember) -> bool:
    """Return whether a member holds a lease and its last heartbeat was answered."""
    return member.fleet.holder.token is not None and member.fleet.heartbeats.reachable


def renewed_us(member: HollowMember) -> int:
    """Return when a member requested its current lease (us); 0 without a lease."""
    holder = member.fleet.holder
    if holder.token is None:
        return 0
    return holder.valid_until_us - holder_validity_us(holder.ttl_us, holder.drift)


async def serve() -> None:
    """Execute commands from standard input until it ends."""
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    process = HollowProcess(msgspec.json.decode(await commands.readline(), type=Setup))
    tasks = [loop.create_task(process.tick()), loop.create_task(process.sample())]
    while line := await commands.readline():
        for task in tasks:
            if task.done():
                task.result()
        answer = process.execute(msgspec.json.decode(line, type=Command))
        sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
        sys.stdout.buffer.flush()
    process.close()


def main() -> None:
    """Run the process."""
    logging.disable(
        logging.ERROR
    )  # a log line for each share of each member would dominate the measurement
    count_calls()
    asyncio.run(serve())


if __name__ == "__main__":
    main()
