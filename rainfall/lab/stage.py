"""What stands around the load of a run: stand-ins, proxied links, the list service and
the forwarders, built and ended. Every process started is noted on disk by its id and
ended by it on every way out.
"""

from __future__ import annotations

import asyncio
import json
import socket
import time
import zlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rainfall.lab import configure, logs, pids
from rainfall.lab.fleet import Forwarder, Process, StartError, end_all, reserve
from rainfall.lab.proxy import Gate, Link, room
from rainfall.lab.relay import Relay
from rainfall.lab.service import ServiceProcess, takes
from rainfall.lab.shapes import FLEET, SERVICE, Experiment
from rainfall.lab.standins import Endpoint, ListService, Meter, Server


@dataclass
class Stage:
    experiment: Experiment
    seed: int
    out: Path
    t0: int = field(default_factory=time.monotonic_ns)
    records: list[dict[str, Any]] = field(default_factory=list)
    links: dict[str, Link] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    servers: list[Server | Relay] = field(default_factory=list)
    """Stand-in lists, or relays to the service's process."""
    members: list[Forwarder] = field(default_factory=list)
    service: ServiceProcess | None = None
    held: list[socket.socket] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.gate = Gate(self.experiment.fleet.most_connections or room(), self._full)

    def clock(self) -> int:
        return time.monotonic_ns() - self.t0

    def record(self, item: dict[str, Any]) -> None:
        self.records.append(item)

    def process(self, name: str) -> Process:
        """The process that a fault's target names."""
        if name == SERVICE and self.service is not None:
            return self.service
        return self.members[int(name[1:])]

    @property
    def log(self) -> Any:
        return logs.logger(experiment=self.experiment.name, seed=self.seed)

    def _full(self) -> None:
        self.log.warning(
            "proxied connections are refused beyond the bound", most=self.gate.most
        )

    def _told(self, name: str, did: str, pid: int) -> None:
        if did == "started":
            pids.note(self.out, name, pid)
        self.record(
            {
                "kind": "process",
                "member": name,
                "did": did,
                "pid": pid,
                "at_ns": self.clock(),
            }
        )

    async def start(self) -> None:
        exp = self.experiment
        meters = {
            b.destination: Meter(b.calls, b.span_ms * 1_000_000)
            for b in exp.budgets
            if b.enforce
        }
        for n, name in enumerate(exp.endpoint_names()):
            self.endpoints[name] = await Endpoint(
                name=name,
                destination=exp.destination_of(name),
                seed=self.seed * 1000 + n,
                clock=self.clock,
                record=self.record,
                meter=meters.get(exp.destination_of(name)),
            ).start()
        if exp.fleet.service:
            self.service = await self._service()
        listens = {fwd: reserve(self.held) for fwd in exp.forwarder_names()}
        peers = (
            {fwd: reserve(self.held) for fwd in exp.forwarder_names()}
            if exp.fleet.peers
            else {}
        )
        for n, fwd in enumerate(exp.forwarder_names()):
            self.members.append(await self._member(n, fwd, listens[fwd], peers))
        for held in (
            self.held
        ):  # every server of the lab is up: the processes may bind these now
            held.close()
        if self.service is not None:
            await self.service.start()
        # All at once: thirty starts one by one would take most of a minute.
        tasks = [asyncio.create_task(member.start()) for member in self.members]
        try:
            await asyncio.gather(*tasks)
        except StartError:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            raise
        for member in self.members:
            self.log.info(
                "member ready",
                member=member.name,
                role=member.role,
                pid=member.pids[-1],
            )
        self.log.info("started", forwarders=len(self.members), links=len(self.links))

    async def _service(self) -> ServiceProcess:
        """The list service; its entries' dials are the endpoints' own, which no
        forwarder is ever told.
        """
        exp = self.experiment
        own = {
            e: f"127.0.0.1:{endpoint.port}" for e, endpoint in self.endpoints.items()
        }
        return ServiceProcess(
            SERVICE,
            self.out / "members" / SERVICE,
            self._told,
            listen=reserve(self.held),
            write=reserve(self.held),
            fleet=reserve(self.held),
            options=await takes(),
            more=exp.fleet.service_args,
            hosts=configure.hosts(exp, own),
        )

    async def _member(
        self, n: int, fwd: str, listen: int, peers: dict[str, int]
    ) -> Forwarder:
        exp = self.experiment
        dials = {
            e: await self._link(f"{fwd}>{e}", end.port)
            for e, end in self.endpoints.items()
        }
        others = {
            p: await self._link(f"{fwd}>{p}", port)
            for p, port in peers.items()
            if p != fwd
        }
        at = configure.Addresses(
            listen=f"127.0.0.1:{listen}", discovery="", dials=dials, peers=others
        )
        if fwd in peers:
            at.peer_listen = f"127.0.0.1:{peers[fwd]}"
        if self.service is None:
            listing = ListService(
                hosts=configure.hosts(exp, dials), clock=self.clock, record=self.record
            )
            self.servers.append(await listing.start())
            at.discovery = await self._link(f"{fwd}>{SERVICE}", listing.port)
        else:
            told = {**dials, **others}
            at.discovery = await self._link(
                f"{fwd}>{SERVICE}", await self._relay(self.service.listen, told)
            )
            at.fleet = await self._link(
                f"{fwd}>{FLEET}", await self._relay(self.service.fleet, told)
            )
        await self._link(f"client>{fwd}", listen)
        folder = self.out / "members" / fwd
        config = configure.forwarder(exp, self.seed, n, at)
        return Forwarder(
            fwd, folder, self._told, config=config, admin=reserve(self.held)
        )

    async def _relay(self, port: int, dials: dict[str, str]) -> int:
        relay = await Relay(port, dials, self._noticed).start()
        self.servers.append(relay)
        return relay.listen

    def _noticed(self, notice: dict[str, Any]) -> None:
        state = str(notice.get("state"))
        self.record(
            {
                "kind": "notice",
                "id": str(notice["id"]),
                "state": state,
                "at_ns": self.clock(),
            }
        )

    async def _link(self, name: str, port: int) -> str:
        """A proxied link to a port; its own address."""
        seed = zlib.crc32(f"{self.seed}/{name}".encode())
        link = await Link(name, "127.0.0.1", port, seed=seed, gate=self.gate).start()
        self.links[name] = link
        return f"127.0.0.1:{link.listen}"

    def processes(self) -> list[Process]:
        return [*self.members, *([self.service] if self.service is not None else [])]

    async def stop(self) -> None:
        await end_all(self.processes())
        for held in self.held:
            held.close()
        servers: list[Link | Server | Relay] = [
            *self.links.values(),
            *self.endpoints.values(),
            *self.servers,
        ]
        for server in servers:
            await server.stop()

    def figures(self) -> dict[str, Any]:
        return {
            "links": [link.figures() for link in self.links.values()],
            "connections": self.gate.figures(),
            "pids": {p.name: p.pids for p in self.processes()},
        }

    def dump(self) -> None:
        text = "".join(
            json.dumps(r, separators=(",", ":")) + "\n" for r in self.records
        )
        (self.out / "records.jsonl").write_text(text)
