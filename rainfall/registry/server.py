"""The list service whole: what it holds, its addresses, and its end."""

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
    """A house with doors. `listen` for each address, `stop` once."""

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
        """Open the discovery address, or the write address; the port taken.

        `more`: routes that riders bring. Raises OSError.
        """
        if not writable:
            return await self._open(
                host, port, [*discovery_api.routes(self), *extra_routes]
            )
        fleet = fleet_api.operator_routes(self.fleet) if self.fleet is not None else []
        return await self._open(
            host, port, [*write_api.routes(self), *extra_routes, *fleet]
        )

    async def start_fleet(
        self,
        lease_terms: LeaseSettings,
        ttl_us: int,
        extensions: Iterable[HeartbeatExtension] = (),
        watermark_path: Path | None = None,
    ) -> FleetCoordinator:
        """Take on the fleet, before the write address is opened.

        Raises Damaged, OSError.
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
        """Open the fleet's address; the port taken. Raises OSError."""
        assert self.fleet is not None
        return await self._open(
            host, port, [*extra_routes, *fleet_api.routes(self.fleet)]
        )

    async def _open(self, host: str, port: int, routes: Iterable[web.RouteDef]) -> int:
        listener = HttpListener(self, routes)
        self.listeners.append(listener)
        return await listener.open(host, port)

    async def stop(self) -> bool:
        """Take no more, answer every watch, keep and answer what was asked, close.

        False where the disk did not end in time: what then waits is told that nobody
        knows whether it was kept.
        """
        for listener in self.listeners:
            listener.stop_accepting()
        ended = await self.finish()
        if not ended:
            log.error("the disk did not answer before the end")
        await asyncio.gather(*(listener.close() for listener in self.listeners))
        return ended
