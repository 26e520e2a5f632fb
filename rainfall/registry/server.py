"""The list service with its addresses, startup and shutdown."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from pathlib import Path

from aiohttp import web

from rainfall.lease.types import LeaseSettings
from rainfall.registry import discovery_api, fleet_api, write_api
from rainfall.registry.endpoint_registry import EndpointRegistry
from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.heartbeat_extension import HeartbeatExtension
from rainfall.registry.http_server import HttpListener
from rainfall.registry.limits import Limits
from rainfall.registry.service_context import (
    ServiceContext,
    monotonic_us,
    wall_clock_ms,
)
from rainfall.registry.storage import Storage

log = logging.getLogger("rainfall.registry")


class RegistryServer(ServiceContext):
    """The service with its addresses.

    Call `listen` for each address, then `stop` once.
    """

    def __init__(
        self,
        storage: Storage,
        registry: EndpointRegistry,
        now_ms: Callable[[], int] = wall_clock_ms,
        limits: Limits | None = None,
        now_us: Callable[[], int] = monotonic_us,
    ) -> None:
        super().__init__(storage, registry, now_ms, limits, now_us)
        self.listeners: list[HttpListener] = []
        self.fleet: FleetCoordinator | None = None

    async def listen(
        self,
        host: str,
        port: int,
        writable: bool,
        extra_routes: Iterable[web.RouteDef] = (),
    ) -> int:
        """Open the write address if `writable`, else the discovery address; return the port.

        `extra_routes` are the routes of heartbeat extensions.

        Raises:
            OSError: The address cannot be opened.
        """
        if not writable:
            routes = [*discovery_api.routes(self), *extra_routes]
        else:
            routes = [*write_api.routes(self), *extra_routes]
            if self.fleet is not None:
                routes += fleet_api.operator_routes(self.fleet)
        return await self._open(host, port, routes)

    async def start_fleet(
        self,
        lease_terms: LeaseSettings,
        ttl_us: int,
        extensions: Iterable[HeartbeatExtension] = (),
        watermark_path: Path | None = None,
    ) -> FleetCoordinator:
        """Start the fleet, before the write address is opened.

        Raises:
            DamagedStateError: The fleet's log is damaged.
            OSError: The log cannot be read or written.
        """
        self.fleet = FleetCoordinator(
            self,
            self.storage.folder / "fleet.log",
            lease_terms,
            ttl_us,
            extensions,
            watermark_path,
        )
        await self.fleet.start()
        return self.fleet

    async def listen_fleet(
        self, host: str, port: int, extra_routes: Iterable[web.RouteDef] = ()
    ) -> int:
        """Open the fleet's address, and return the port.

        Raises:
            OSError: The address cannot be opened.
        """
        assert self.fleet is not None
        return await self._open(
            host, port, [*extra_routes, *fleet_api.routes(self.fleet)]
        )

    async def _open(self, host: str, port: int, routes: Iterable[web.RouteDef]) -> int:
        listener = HttpListener(self, routes)
        self.listeners.append(listener)
        return await listener.open(host, port)

    async def stop(self) -> bool:
        """Stop accepting connections, end all watches, finish all writes, and close.

        Returns False if the writes did not finish in time: callers that still
        wait are then answered that the outcome is unknown.
        """
        for listener in self.listeners:
            listener.stop_accepting()
        has_finished = await self.finish()
        if not has_finished:
            log.error("writes did not finish before the shutdown timeout")
        await asyncio.gather(*(listener.close() for listener in self.listeners))
        return has_finished
