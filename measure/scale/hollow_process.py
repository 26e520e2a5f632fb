"""One process of hollow members, told what to do by JSON lines at its standard input.

Run by `hollow_fleet`, as `python -m measure.scale.hollow_process`. The first line is a
`Setup`, each later one a command; each is answered by one line at standard output.
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
    CountedChannel,
    HollowMember,
    ServiceAddresses,
    count_calls,
)
from measure.scale.memory import resident_bytes
from rainfall.forwarder.config.loading import Address
from rainfall.lease.types import holder_validity_us

TICK_S = 0.1
"""Between two ticks of one member."""
TICK_GROUPS = 10
"""Members tick in so many groups, one after another, as processes of their own would
not in step.
"""
SAMPLE_S = 0.1
MOST_SAMPLES = 6_000


class Setup(Struct):
    """What all members of this process have in common."""

    fleet_port: int
    discovery_port: int
    folder: str


class Start(Struct, tag=True):
    """Members to start, each with its needs by destination."""

    names: list[str]
    site: str
    needs: dict[int, int]


class Kill(Struct, tag=True):
    names: list[str]


class SetNeed(Struct, tag=True):
    """Members that need so many calls of a destination from now on."""

    names: list[str]
    destination: int
    calls: int


class ReportRequest(Struct, tag=True):
    """For a report; `destination` is the one whose shares are told."""

    destination: int


Command = Start | Kill | SetNeed | ReportRequest


class Sample(Struct, array_like=True):
    """Counts since the process began, at a moment (monotonic ns)."""

    at_ns: int
    beats: int
    bytes: int
    opened: int
    alive: int


class MemberReport(Struct, array_like=True):
    """One member; times in monotonic ns, 0 for never.

    `calls`, `whole`, `whole_ns` are of one destination.
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
    """When its lease in force was asked for, by the clock that leases go by; 0 without
    one.
    """


class Report(Struct):
    """Of all members of this process; what is counted, is counted since its start."""

    members: list[MemberReport]
    calls: dict[Call, int]
    sent: dict[Call, int]
    received: dict[Call, int]
    opened: int
    processor_s: float
    resident_bytes: int
    samples: list[Sample]


class Done(Struct):
    """A command was carried out."""

    ok: bool = True


class HollowProcess:
    """The members of this process, on the running loop."""

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
        match command:
            case Start():
                for name in command.names:
                    self.start(name, command)
            case Kill():
                for name in command.names:
                    self.members.pop(name).kill()
            case SetNeed():
                for name in command.names:
                    self.members[name].engine.wait_for(
                        command.destination, command.calls
                    )
            case ReportRequest():
                return self.report(command.destination)
        return Done()

    def start(self, name: str, command: Start) -> None:
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        self.joined_ns.pop(name, None)
        member = self.members[name] = HollowMember(
            name, command.site, self.service, folder, command.needs
        )
        member.start()

    def close(self) -> None:
        for member in self.members.values():
            member.kill()

    async def tick(self) -> None:
        """Each member ten times a second, a group at a time."""
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
        while True:
            now_ns = time.monotonic_ns()
            alive = [name for name, member in self.members.items() if is_alive(member)]
            for name in alive:
                self.joined_ns.setdefault(name, now_ns)
            traffic = sum(CountedChannel.sent.values()) + sum(
                CountedChannel.received.values()
            )
            beats, opened = CountedChannel.calls[Call.BEAT], CountedChannel.opened
            self.samples.append(Sample(now_ns, beats, traffic, opened, len(alive)))
            del self.samples[:-MOST_SAMPLES]
            await asyncio.sleep(SAMPLE_S)

    def report(self, destination: int) -> Report:
        members = [
            self.member_report(member, destination) for member in self.members.values()
        ]
        samples, self.samples = self.samples, []
        return Report(
            members,
            dict(CountedChannel.calls),
            dict(CountedChannel.sent),
            dict(CountedChannel.received),
            CountedChannel.opened,
            time.process_time(),
            resident_bytes(),
            samples,
        )

    def member_report(self, member: HollowMember, destination: int) -> MemberReport:
        acted = member.engine.acted.get(destination)
        return MemberReport(
            member.name,
            is_alive(member),
            member.fleet.heartbeat_counts["lost"],
            self.joined_ns.get(member.name, 0),
            member.engine.changed_ns,
            acted.calls if acted else 0,
            acted.whole if acted else 0,
            acted.whole_ns if acted else 0,
            member.list_version,
            member.listed_ns,
            renewed_us(member),
        )


def is_alive(member: HollowMember) -> bool:
    """Whether it holds a lease and the service answered its last beat."""
    return member.fleet.holder.token is not None and member.fleet.heartbeats.reachable


def renewed_us(member: HollowMember) -> int:
    holder = member.fleet.holder
    if holder.token is None:
        return 0
    return holder.valid_until_us - holder_validity_us(holder.ttl_us, holder.drift)


async def serve() -> None:
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
    logging.disable(
        logging.ERROR
    )  # a line for each share of each member would be what is measured
    count_calls()
    asyncio.run(serve())


if __name__ == "__main__":
    main()
