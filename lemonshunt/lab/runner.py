"""A whole lab run: stand-ins, proxies and forwarders started, the load and the faults driven on one clock,
the records written and checked. Every process started is ended by its id on every way out."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import signal
import socket
import time
import zlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lemonshunt.lab import checker, logs
from lemonshunt.lab.experiment import ENDPOINT_KINDS, LINK_KINDS, Experiment, Fault, chosen_links
from lemonshunt.lab.fleet import Forwarder, end_all, reserve
from lemonshunt.lab.load import drive
from lemonshunt.lab.proxy import Link
from lemonshunt.lab.standins import Behaviour, Endpoint, ListService, Server

POLL_S = 0.25
LEAD_NS = 100_000_000
"""From the load's yes to its first planned send."""


def settings(experiment: Experiment) -> dict[str, Any]:
    """The forwarders' settings (PROTOCOL: 'the settings') for the experiment's classes."""
    services = [
        {
            "name": c.name,
            "aim_us": int(c.deadline_s * 4e5),
            "deadline_us": int(c.deadline_s * 1e6),
            "effect": c.effect,
        }
        for c in experiment.load.classes
    ]
    return {
        "allowed": {
            "conn_idle_us": 5_000_000,
            "dial_timeout_us": 1_000_000,
            "max_attempts": 6,
            "max_open": 50,
            "max_retry_after_us": 3_000_000,
            "retry_after": True,
            "may_cancel": True,
        },
        "balancers": experiment.fleet.forwarders,
        "discovery": "on_request",
        "host_types": ["plain"],
        "contract": {"grace_to_answer_us": 20_000, "drain_grace_us": 500_000, "ask_within_us": 10_000_000},
        "family_info": {"slots": experiment.fleet.slots, "kind_batch": [1], "routes_apart": [False]},
        "orgs": [{"name": "acme", "allowance_per_s": 100_000.0, "fraction": 1.0}],
        "over_share_worth": 0.1,
        "services": services,
        "telemetry": {"fields": [], "how": "none"},
        "weight_source": "nominal",
    }


@dataclass
class Run:
    experiment: Experiment
    seed: int
    out: Path
    t0: int = field(default_factory=time.monotonic_ns)
    records: list[dict[str, Any]] = field(default_factory=list)
    links: dict[str, Link] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    lists: list[ListService] = field(default_factory=list)
    members: list[Forwarder] = field(default_factory=list)
    held: list[socket.socket] = field(default_factory=list)
    load: multiprocessing.process.BaseProcess | None = None

    def clock(self) -> int:
        return time.monotonic_ns() - self.t0

    def record(self, item: dict[str, Any]) -> None:
        self.records.append(item)

    async def start(self) -> None:
        exp = self.experiment
        for n, name in enumerate(exp.endpoint_names()):
            self.endpoints[name] = await Endpoint(
                name=name,
                destination=exp.destination_of(name),
                seed=self.seed * 1000 + n,
                clock=self.clock,
                record=self.record,
            ).start()
        for n, fwd in enumerate(exp.forwarder_names()):
            self.members.append(await self._member(n, fwd))
        for held in self.held:  # every server of the lab is up: the forwarders may bind these now
            held.close()
        # All at once: thirty starts one by one would take most of a minute.
        await asyncio.gather(*(member.start() for member in self.members))
        for member in self.members:
            self.log.info("member ready", member=member.name, role="forwarder", pid=member.pids[-1])
        self.log.info("started", forwarders=len(self.members), links=len(self.links))

    async def _member(self, n: int, fwd: str) -> Forwarder:
        exp = self.experiment
        hosts = []
        for e, endpoint in self.endpoints.items():
            link = await self._link(f"{fwd}>{e}", endpoint.port)
            hosts.append(
                {
                    "host": e,
                    "dial": f"127.0.0.1:{link.listen}",
                    "site": exp.zone_of(e),
                    "class": "plain",
                    "block": endpoint.destination,
                    "health": "up",
                    "share": exp.fleet.endpoint_rate,
                    "born_ms": 0,
                }
            )
        listing = await ListService(hosts=hosts, clock=self.clock, record=self.record).start()
        self.lists.append(listing)
        to_list = await self._link(f"{fwd}>list", listing.port)
        listen = reserve(self.held)
        await self._link(f"client>{fwd}", listen)
        config = {
            "name": fwd,
            "listen": f"127.0.0.1:{listen}",
            "discovery": f"127.0.0.1:{to_list.listen}",
            "seed": str(self.seed * 100 + n),
            "durability": exp.fleet.durability,
            "log_format": "json",
            "limits": {"cores": 1, "memory_mb": 256, "sockets": 1024, "disk_mb": 16},
            "known": {"seq": 1, "whole": True, "hosts": hosts},
            "settings": settings(exp),
        }
        return Forwarder(fwd, self.out / "members" / fwd, config, admin=reserve(self.held))

    async def _link(self, name: str, port: int) -> Link:
        link = await Link(name, "127.0.0.1", port, seed=zlib.crc32(f"{self.seed}/{name}".encode())).start()
        self.links[name] = link
        return link

    async def play(self) -> None:
        """The load in a process of its own, so that the proxies' work cannot delay its sends; the faults
        here, on the same clock (CLOCK_MONOTONIC is one for the machine)."""
        exp = self.experiment
        ports = [self.links[f"client>{f}"].listen for f in exp.forwarder_names()]
        context = multiprocessing.get_context("spawn")
        start, outcome = context.SimpleQueue(), context.SimpleQueue()
        path = self.out / "load.jsonl"
        self.load = context.Process(target=drive, args=(exp, self.seed, ports, start, outcome, str(path)))
        self.load.start()
        messages = await asyncio.to_thread(outcome.get)  # the load is ready: it has planned its messages
        self.t0 = time.monotonic_ns() + LEAD_NS
        start.put(self.t0)
        self.log.info("load begins", messages=messages, pid=self.load.pid)
        timeline = [asyncio.create_task(self._fault(f)) for f in exp.faults]
        try:
            async with asyncio.timeout(exp.duration_s + exp.load.answer_timeout_s * 3 + 30):
                done = await asyncio.to_thread(outcome.get)
                await asyncio.gather(*timeline)
        finally:
            for task in timeline:
                task.cancel()
        if done != "done":
            raise RuntimeError(f"the load failed: {done}")
        self.records += [json.loads(line) for line in path.read_text().splitlines() if line]
        await self._settle()

    async def _settle(self) -> None:
        """Wait until every message taken on has its end, or the settle time has passed."""
        exp = self.experiment
        limit = self.clock() + int(exp.settle_s * 1e9)
        while self.clock() < limit and self.verdict()["lost"]:
            await asyncio.sleep(POLL_S)

    async def _fault(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self.clock() / 1e9))
        start = self.clock()
        await self._apply(fault)
        if fault.for_s and fault.kind != "kill" and fault.kind != "term":
            await asyncio.sleep(fault.for_s)
            await self._heal(fault)
        self.record(
            {
                "kind": "fault",
                "fault": fault.kind,
                "target": fault.target or f"zone {fault.zone}",
                "at_ns": start,
                "until_ns": self.clock(),
            }
        )

    async def _apply(self, fault: Fault) -> None:
        self.log.info("fault", fault=fault.kind, target=fault.target, zone=fault.zone)
        if fault.kind in LINK_KINDS:
            for name in chosen_links(self.experiment, fault):
                self.links[name].set(fault.kind, fault.delay_ms, fault.jitter_ms)
        elif fault.kind in ENDPOINT_KINDS:
            self._behave(self.endpoints[fault.target], fault)
        else:
            await self._process(fault)

    async def _process(self, fault: Fault) -> None:
        member = self.members[int(fault.target[1:])]
        if fault.kind == "pause":
            member.signal(signal.SIGSTOP)
            return
        await (member.kill() if fault.kind == "kill" else member.term())
        if fault.restart:
            await asyncio.sleep(fault.after_s)
            await member.restart(keep=fault.restart == "keep")
            self.log.info("member ready", member=member.name, role="forwarder", pid=member.pids[-1])

    def _behave(self, endpoint: Endpoint, fault: Fault) -> None:
        b = endpoint.behaviour
        if fault.kind == "slow":
            b.slow_ms = fault.delay_ms
        elif fault.kind == "failing":
            b.failing = fault.share
        elif fault.kind == "limit":
            b.limit = fault.limit
        else:  # cold: a restart, whose first calls are slow
            b.cold_ms, b.cold_until_ns = fault.delay_ms, self.clock() + int(fault.for_s * 1e9)

    async def _heal(self, fault: Fault) -> None:
        self.log.info("healed", fault=fault.kind, target=fault.target, zone=fault.zone)
        if fault.kind in LINK_KINDS:
            for name in chosen_links(self.experiment, fault):
                self.links[name].set("pass")
        elif fault.kind == "pause":
            self.members[int(fault.target[1:])].signal(signal.SIGCONT)
        elif fault.kind in ENDPOINT_KINDS and fault.kind != "cold":
            self.endpoints[fault.target].behaviour = Behaviour()

    def verdict(self) -> dict[str, Any]:
        exp = self.experiment
        return checker.verdict(
            self.records,
            {c.name: c.effect for c in exp.load.classes},
            {c.name: int(c.deadline_s * 1e9) for c in exp.load.classes},
            exp.load.max_lag_ms,
        )

    async def stop(self) -> None:
        if self.load is not None and self.load.is_alive():
            self.load.kill()
            self.load.join()
        await end_all(self.members)
        servers: list[Link | Server] = [*self.links.values(), *self.endpoints.values(), *self.lists]
        for server in servers:
            await server.stop()

    def write(self) -> dict[str, Any]:
        records = self.out / "records.jsonl"
        records.write_text("".join(json.dumps(r, separators=(",", ":")) + "\n" for r in self.records))
        result = self.verdict() | {
            "experiment": self.experiment.name,
            "seed": self.seed,
            "links": [link.figures() for link in self.links.values()],
            "pids": {m.name: m.pids for m in self.members},
            "t0_ns": self.t0,
        }
        (self.out / "verdict.json").write_text(json.dumps(result, indent=1))
        return result

    @property
    def log(self) -> Any:
        return logs.logger(experiment=self.experiment.name, seed=self.seed)


async def run(experiment: Experiment, seed: int, out: Path) -> dict[str, Any]:
    """Play an experiment into ``out`` (created) and give its verdict; processes are ended also on errors."""
    out.mkdir(parents=True, exist_ok=True)
    sink = logs.configure(out / "lab.jsonl")
    lab = Run(experiment, seed, out)
    try:
        await lab.start()
        await lab.play()
    finally:
        await lab.stop()
        result = lab.write()
        sink.close()
    return result
