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

from rainfall.lab import forwarder_config, pids, structured_logging
from rainfall.lab.discovery_relay import DiscoveryRelay
from rainfall.lab.experiment_model import FLEET_ADDRESS, LIST_SERVICE, Experiment
from rainfall.lab.fault_proxy import ConnectionLimiter, ProxyLink, connection_capacity
from rainfall.lab.list_service import ListServiceProcess, supported_options
from rainfall.lab.processes import Forwarder, Process, StartError, end_all, reserve_port
from rainfall.lab.stand_ins import (
    Endpoint,
    HttpServer,
    SlidingWindowLimiter,
    StandInListService,
)


@dataclass
class Testbed:
    experiment: Experiment
    seed: int
    output_folder: Path
    start_ns: int = field(default_factory=time.monotonic_ns)
    records: list[dict[str, Any]] = field(default_factory=list)
    links: dict[str, ProxyLink] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    servers: list[HttpServer | DiscoveryRelay] = field(default_factory=list)
    """Stand-in lists, or relays to the service's process."""
    forwarders: list[Forwarder] = field(default_factory=list)
    service: ListServiceProcess | None = None
    reserved_sockets: list[socket.socket] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.limiter = ConnectionLimiter(
            self.experiment.fleet.most_connections or connection_capacity(),
            self._on_limit_reached,
        )

    def clock(self) -> int:
        return time.monotonic_ns() - self.start_ns

    def record(self, item: dict[str, Any]) -> None:
        self.records.append(item)

    def process(self, name: str) -> Process:
        """The process that a fault's target names."""
        if name == LIST_SERVICE and self.service is not None:
            return self.service
        return self.forwarders[int(name[1:])]

    @property
    def log(self) -> Any:
        return structured_logging.logger(
            experiment=self.experiment.name, seed=self.seed
        )

    def _on_limit_reached(self) -> None:
        self.log.warning(
            "proxied connections are refused beyond the bound", most=self.limiter.limit
        )

    def _on_process_event(self, name: str, did: str, pid: int) -> None:
        if did == "started":
            pids.note(self.output_folder, name, pid)
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
        experiment = self.experiment
        meters = {
            budget.destination: SlidingWindowLimiter(
                budget.calls, budget.span_ms * 1_000_000
            )
            for budget in experiment.budgets
            if budget.enforce
        }
        for index, name in enumerate(experiment.endpoint_names()):
            self.endpoints[name] = await Endpoint(
                name=name,
                destination=experiment.destination_of(name),
                seed=self.seed * 1000 + index,
                clock=self.clock,
                record=self.record,
                limiter=meters.get(experiment.destination_of(name)),
            ).start()
        if experiment.fleet.service:
            self.service = await self._build_list_service()
        listen_ports = {
            forwarder: reserve_port(self.reserved_sockets)
            for forwarder in experiment.forwarder_names()
        }
        peer_ports = (
            {
                forwarder: reserve_port(self.reserved_sockets)
                for forwarder in experiment.forwarder_names()
            }
            if experiment.fleet.peers
            else {}
        )
        for index, forwarder in enumerate(experiment.forwarder_names()):
            self.forwarders.append(
                await self._build_forwarder(
                    index, forwarder, listen_ports[forwarder], peer_ports
                )
            )
        for held in (
            self.reserved_sockets
        ):  # every server of the lab is up: the processes may bind these now
            held.close()
        if self.service is not None:
            await self.service.start()
        # All at once: thirty starts one by one would take most of a minute.
        tasks = [asyncio.create_task(member.start()) for member in self.forwarders]
        try:
            await asyncio.gather(*tasks)
        except StartError:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            raise
        for member in self.forwarders:
            self.log.info(
                "member ready",
                member=member.name,
                role=member.role,
                pid=member.pids[-1],
            )
        self.log.info("started", forwarders=len(self.forwarders), links=len(self.links))

    async def _build_list_service(self) -> ListServiceProcess:
        """The list service; its entries' dials are the endpoints' own, which no
        forwarder is ever told.
        """
        experiment = self.experiment
        endpoint_addresses = {
            endpoint_name: f"127.0.0.1:{endpoint.port}"
            for endpoint_name, endpoint in self.endpoints.items()
        }
        return ListServiceProcess(
            LIST_SERVICE,
            self.output_folder / "members" / LIST_SERVICE,
            self._on_process_event,
            listen_port=reserve_port(self.reserved_sockets),
            write_port=reserve_port(self.reserved_sockets),
            fleet_port=reserve_port(self.reserved_sockets),
            options=await supported_options(),
            extra_args=experiment.fleet.service_args,
            hosts=forwarder_config.host_entries(experiment, endpoint_addresses),
        )

    async def _build_forwarder(
        self, index: int, name: str, listen_port: int, peer_ports: dict[str, int]
    ) -> Forwarder:
        experiment = self.experiment
        endpoint_dials = {
            e: await self._start_link(f"{name}>{e}", end.port)
            for e, end in self.endpoints.items()
        }
        peer_dials = {
            p: await self._start_link(f"{name}>{p}", port)
            for p, port in peer_ports.items()
            if p != name
        }
        addresses = forwarder_config.ForwarderAddresses(
            listen=f"127.0.0.1:{listen_port}",
            discovery="",
            endpoint_dials=endpoint_dials,
            peer_dials=peer_dials,
        )
        if name in peer_ports:
            addresses.peer_listen = f"127.0.0.1:{peer_ports[name]}"
        if self.service is None:
            stand_in = StandInListService(
                hosts=forwarder_config.host_entries(experiment, endpoint_dials),
                clock=self.clock,
                record=self.record,
            )
            self.servers.append(await stand_in.start())
            addresses.discovery = await self._start_link(
                f"{name}>{LIST_SERVICE}", stand_in.port
            )
        else:
            all_dials = {**endpoint_dials, **peer_dials}
            addresses.discovery = await self._start_link(
                f"{name}>{LIST_SERVICE}",
                await self._start_relay(self.service.listen_port, all_dials),
            )
            addresses.fleet = await self._start_link(
                f"{name}>{FLEET_ADDRESS}",
                await self._start_relay(self.service.fleet_port, all_dials),
            )
        await self._start_link(f"client>{name}", listen_port)
        folder = self.output_folder / "members" / name
        config = forwarder_config.configuration(experiment, self.seed, index, addresses)
        return Forwarder(
            name,
            folder,
            self._on_process_event,
            config=config,
            admin_port=reserve_port(self.reserved_sockets),
        )

    async def _start_relay(self, port: int, dials: dict[str, str]) -> int:
        relay = await DiscoveryRelay(port, dials, self._record_notice).start()
        self.servers.append(relay)
        return relay.listen_port

    def _record_notice(self, notice: dict[str, Any]) -> None:
        state = str(notice.get("state"))
        self.record(
            {
                "kind": "notice",
                "id": str(notice["id"]),
                "state": state,
                "at_ns": self.clock(),
            }
        )

    async def _start_link(self, name: str, port: int) -> str:
        """A proxied link to a port; its own address."""
        seed = zlib.crc32(f"{self.seed}/{name}".encode())
        link = await ProxyLink(
            name, "127.0.0.1", port, seed=seed, limiter=self.limiter
        ).start()
        self.links[name] = link
        return f"127.0.0.1:{link.listen_port}"

    def processes(self) -> list[Process]:
        return [*self.forwarders, *([self.service] if self.service is not None else [])]

    async def stop(self) -> None:
        await end_all(self.processes())
        for held in self.reserved_sockets:
            held.close()
        servers: list[ProxyLink | HttpServer | DiscoveryRelay] = [
            *self.links.values(),
            *self.endpoints.values(),
            *self.servers,
        ]
        for server in servers:
            await server.stop()

    def statistics(self) -> dict[str, Any]:
        return {
            "links": [link.statistics() for link in self.links.values()],
            "connections": self.limiter.statistics(),
            "pids": {p.name: p.pids for p in self.processes()},
        }

    def write_records(self) -> None:
        text = "".join(
            json.dumps(r, separators=(",", ":")) + "\n" for r in self.records
        )
        (self.output_folder / "records.jsonl").write_text(text)
