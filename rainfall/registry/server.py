"""The list service whole: what it holds, its addresses, and its end."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from pathlib import Path

from aiohttp import web

from rainfall.lease.terms import Terms
from rainfall.registry import calls, reads, writes
from rainfall.registry.bounds import Bounds
from rainfall.registry.core import Registry
from rainfall.registry.disk import Disk
from rainfall.registry.fleet import Fleet
from rainfall.registry.house import House, own_us, wall_ms
from rainfall.registry.rider import Rider
from rainfall.registry.web import Door

log = logging.getLogger("rainfall.registry")


class Service(House):
    """A house with doors. `listen` for each address, `stop` once."""

    def __init__(
        self,
        disk: Disk,
        registry: Registry,
        now_ms: Callable[[], int] = wall_ms,
        bounds: Bounds | None = None,
        now_us: Callable[[], int] = own_us,
    ) -> None:
        super().__init__(disk, registry, now_ms, bounds, now_us)
        self.doors: list[Door] = []
        self.fleet: Fleet | None = None

    async def listen(
        self, host: str, port: int, write: bool, more: Iterable[web.RouteDef] = ()
    ) -> int:
        """Open the discovery address, or the write address; the port taken. `more`:
        routes that riders bring. Raises OSError.
        """
        if not write:
            return await self._open(host, port, [*reads.routes(self), *more])
        fleet = calls.by_hand(self.fleet) if self.fleet is not None else []
        return await self._open(host, port, [*writes.routes(self), *more, *fleet])

    async def lead(
        self,
        terms: Terms,
        ttl_us: int,
        riders: Iterable[Rider] = (),
        mark: Path | None = None,
    ) -> Fleet:
        """Take on the fleet, before the write address is opened. Raises Damaged,
        OSError.
        """
        self.fleet = Fleet(
            self, self.disk.folder / "fleet.log", terms, ttl_us, riders, mark
        )
        await self.fleet.start()
        return self.fleet

    async def listen_fleet(
        self, host: str, port: int, more: Iterable[web.RouteDef] = ()
    ) -> int:
        """Open the fleet's address; the port taken. Raises OSError."""
        assert self.fleet is not None
        return await self._open(host, port, [*more, *calls.routes(self.fleet)])

    async def _open(self, host: str, port: int, routes: Iterable[web.RouteDef]) -> int:
        door = Door(self, routes)
        self.doors.append(door)
        return await door.open(host, port)

    async def stop(self) -> bool:
        """Take no more, answer every watch, keep and answer what was asked, close.
        False where the disk did not end in time: what then waits is told that nobody
        knows whether it was kept.
        """
        for door in self.doors:
            door.shut()
        ended = await self.finish()
        if not ended:
            log.error("the disk did not answer before the end")
        await asyncio.gather(*(door.close() for door in self.doors))
        return ended
