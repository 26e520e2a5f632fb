"""The testbed of a run: stand-ins, proxied links, the list service and the forwarders.

The id of every started process is stored on disk, so that the process can be stopped
even if the run fails.
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
from rainfall.lab.experiment_model import (
    CLIENT,
    FLEET_ADDRESS,
    LIST_SERVICE,
    Experiment,
)
from rainfall.lab.fault_proxy import ConnectionLimiter, ProxyLink, connection_capacity
from rainfall.lab.list_service import ListServiceProcess, supported_options
from rainfall.lab.processes import Forwarder, Process, StartError, end_all, reserve_port
from rainfall.lab.stand_ins import (
    NS_PER_MS,
    Endpoint,
    HttpServer,
    SlidingWindowLimiter,
    StandInListService,
)

SEEDS_PER_RUN = 1_000
"""Distance between the endpoint seeds of consecutive runs."""


@dataclass
class Testbed:
    """Starts and stops the processes, servers and links of a run, and collects records.

    Call ``start`` once, and ``stop`` afterwards, also if ``start`` failed.
    """

    experiment: Experiment
    seed: int
    output_folder: Path
    start_ns: int = field(default_factory=time.monotonic_ns)
    records: list[dict[str, Any]] = field(default_factory=list)
    links: dict[str, ProxyLink] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    servers: list[HttpServer | DiscoveryRelay] = field(default_factory=list)
    """Stand-ins for the list service, or relays to its process."""
    forwarders: list[Forwarder] = field(default_factory=list)
    service: ListServiceProcess | None = None
    reserved_sockets: list[socket.socket] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.limiter = ConnectionLimiter(
            self.experiment.fleet.most_connections or connection_capacity(),
            self._on_limit_reached,
        )

    def clock(self) -> int:
        """Nanoseconds since the start of the load."""
        return time.monotonic_ns() - self.start_ns

    def record(self, item: dict[str, Any]) -> None:
        """Add a record of the run."""
        self.records.append(item)

    def process(self, name: str) -> Process:
        """The forwarder or list service that a fault names as its target."""
        if name == LIST_SERVICE and self.service is not None:
            return self.service
        return self.forwarders[int(name[1:])]

    @property
    def log(self) -> Any:
        """The lab's logger for this run."""
        return structured_logging.logger(
            experiment=self.experiment.name, seed=self.seed
        )

    def _on_limit_reached(self) -> None:
        self.log.warning(
            "proxied connections are refused beyond the bound", most=self.limiter.limit
        )

    def _on_process_event(self, name: str, event: str, pid: int) -> None:
        if event == "started":
            pids.append(self.output_folder, name, pid)
        self.record(
            {
                "kind": "process",
                "member": name,
                "did": event,
                "pid": pid,
                "at_ns": self.clock(),
            }
        )

    async def start(self) -> None:
        """Start the stand-ins and links, then the processes.

        Raises:
            StartError: A process did not start.
        """
        await self._start_endpoints()
        if self.experiment.fleet.service:
            self.service = await self._build_list_service()
        await self._build_forwarders()
        # All servers of the lab are listening: release the ports for the processes.
        for reserved in self.reserved_sockets:
            reserved.close()
        if self.service is not None:
            await self.service.start()
        await self._start_forwarders()
        self.log.info("started", forwarders=len(self.forwarders), links=len(self.links))

    async def _start_endpoints(self) -> None:
        experiment = self.experiment
        limiters = {
            budget.destination: SlidingWindowLimiter(
                budget.calls, budget.span_ms * NS_PER_MS
            )
            for budget in experiment.budgets
            if budget.enforce
        }
        for index, name in enumerate(experiment.endpoint_names()):
            destination = experiment.destination_of(name)
            endpoint = Endpoint(
                name=name,
                destination=destination,
                seed=self.seed * SEEDS_PER_RUN + index,
                clock=self.clock,
                record=self.record,
                limiter=limiters.get(destination),
            )
            self.endpoints[name] = await endpoint.start()

    async def _build_forwarders(self) -> None:
        names = self.experiment.forwarder_names()
        listen_ports = {name: reserve_port(self.reserved_sockets) for name in names}
        peer_ports: dict[str, int] = {}
        if self.experiment.fleet.peers:
            peer_ports = {name: reserve_port(self.reserved_sockets) for name in names}
        for index, name in enumerate(names):
            forwarder = await self._build_forwarder(
                index, name, listen_ports[name], peer_ports
            )
            self.forwarders.append(forwarder)

    async def _start_forwarders(self) -> None:
        """Start all forwarders concurrently; one by one is too slow for a large fleet."""
        tasks = [
            asyncio.create_task(forwarder.start()) for forwarder in self.forwarders
        ]
        try:
            await asyncio.gather(*tasks)
        except StartError:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            raise
        for forwarder in self.forwarders:
            self.log.info(
                "member ready",
                member=forwarder.name,
                role=forwarder.role,
                pid=forwarder.pids[-1],
            )

    async def _build_list_service(self) -> ListServiceProcess:
        """Build the process of the list service.

        Its entries contain the real addresses of the endpoints; relays replace them.
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
        """Start the links of a forwarder and build its process."""
        endpoint_dials = {
            endpoint_name: await self._start_link(
                f"{name}>{endpoint_name}", endpoint.port
            )
            for endpoint_name, endpoint in self.endpoints.items()
        }
        peer_dials = {
            peer: await self._start_link(f"{name}>{peer}", port)
            for peer, port in peer_ports.items()
            if peer != name
        }
        addresses = forwarder_config.ForwarderAddresses(
            listen=f"127.0.0.1:{listen_port}",
            discovery="",
            endpoint_dials=endpoint_dials,
            peer_dials=peer_dials,
        )
        if name in peer_ports:
            addresses.peer_listen = f"127.0.0.1:{peer_ports[name]}"
        await self._link_list_service(name, addresses)
        await self._start_link(f"{CLIENT}>{name}", listen_port)
        config = forwarder_config.configuration(
            self.experiment, self.seed, index, addresses
        )
        return Forwarder(
            name,
            self.output_folder / "members" / name,
            self._on_process_event,
            config=config,
            admin_port=reserve_port(self.reserved_sockets),
        )

    async def _link_list_service(
        self, name: str, addresses: forwarder_config.ForwarderAddresses
    ) -> None:
        """Start a forwarder's links to the list service or its stand-in."""
        discovery_link = f"{name}>{LIST_SERVICE}"
        if self.service is None:
            stand_in = StandInListService(
                hosts=forwarder_config.host_entries(
                    self.experiment, addresses.endpoint_dials
                ),
                clock=self.clock,
                record=self.record,
            )
            self.servers.append(await stand_in.start())
            addresses.discovery = await self._start_link(discovery_link, stand_in.port)
            return
        dials = {**addresses.endpoint_dials, **addresses.peer_dials}
        relay_port = await self._start_relay(self.service.listen_port, dials)
        addresses.discovery = await self._start_link(discovery_link, relay_port)
        relay_port = await self._start_relay(self.service.fleet_port, dials)
        addresses.fleet = await self._start_link(f"{name}>{FLEET_ADDRESS}", relay_port)

    async def _start_relay(self, port: int, dials: dict[str, str]) -> int:
        relay = await DiscoveryRelay(port, dials, self._record_notification).start()
        self.servers.append(relay)
        return relay.listen_port

    def _record_notification(self, notification: dict[str, Any]) -> None:
        state = str(notification.get("state"))
        self.record(
            {
                "kind": "notice",
                "id": str(notification["id"]),
                "state": state,
                "at_ns": self.clock(),
            }
        )

    async def _start_link(self, name: str, port: int) -> str:
        """Start a proxied link to a port and return the address it listens on."""
        seed = zlib.crc32(f"{self.seed}/{name}".encode())
        link = ProxyLink(name, "127.0.0.1", port, seed=seed, limiter=self.limiter)
        self.links[name] = await link.start()
        return f"127.0.0.1:{link.listen_port}"

    def processes(self) -> list[Process]:
        """The forwarders, and the list service if it is a process."""
        processes: list[Process] = list(self.forwarders)
        if self.service is not None:
            processes.append(self.service)
        return processes

    async def stop(self) -> None:
        """Kill all processes, and stop all servers and links."""
        await end_all(self.processes())
        for reserved in self.reserved_sockets:
            reserved.close()
        servers: list[ProxyLink | HttpServer | DiscoveryRelay] = [
            *self.links.values(),
            *self.endpoints.values(),
            *self.servers,
        ]
        for server in servers:
            await server.stop()

    def statistics(self) -> dict[str, Any]:
        """Links, connections and process ids for the verdict."""
        return {
            "links": [link.statistics() for link in self.links.values()],
            "connections": self.limiter.statistics(),
            "pids": {process.name: process.pids for process in self.processes()},
        }

    def write_records(self) -> None:
        """Write all records to ``records.jsonl``."""
        text = "".join(
            json.dumps(record, separators=(",", ":")) + "\n" for record in self.records
        )
        (self.output_folder / "records.jsonl").write_text(text)
