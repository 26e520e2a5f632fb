"""The fleet with all that rides on it: built, led, and its routes given to the
service's addresses.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rainfall.lease.terms import Terms
from rainfall.registry import budget_calls, map_calls
from rainfall.registry.budgets import Budgets
from rainfall.registry.fleet import Fleet
from rainfall.registry.maps import Maps
from rainfall.registry.planner import Planner
from rainfall.registry.server import Service
from rainfall.shard.auto import AutoPlanner


@dataclass(frozen=True, slots=True)
class Parts:
    fleet: Fleet
    budgets: Budgets
    maps: Maps
    planner: Planner | None

    async def listen_write(self, host: str, port: int) -> int:
        """The write address with the parts' routes; the port taken. Raises OSError."""
        more = [
            *budget_calls.routes(self.fleet, self.budgets),
            *map_calls.routes(self.fleet, self.maps),
        ]
        return await self._service.listen(host, port, True, more)

    async def listen_fleet(self, host: str, port: int) -> int:
        """The fleet's address, where budgets and map can be read too; the port taken.
        Raises OSError.
        """
        more = [
            *budget_calls.reads(self.fleet, self.budgets),
            *map_calls.reads(self.fleet, self.maps),
        ]
        return await self._service.listen_fleet(host, port, more)

    @property
    def _service(self) -> Service:
        service = self.fleet.house
        assert isinstance(service, Service)
        return service


async def lead(
    service: Service,
    terms: Terms,
    ttl_us: int,
    mark: Path | None = None,
    budgets: list[dict[str, Any]] | None = None,
    plan_shards: bool = False,
    auto: AutoPlanner | None = None,
    reserves_known: bool = False,
) -> Parts:
    """Take on the fleet with its parts, before any address is opened. `budgets`: the
    file's, checked; they come into force here if they are others than were last taken
    from a file. `reserves_known`: the operator's word that no process acts on a reserve
    that is not known here. Raises Damaged, OSError.
    """
    planner = Planner(ttl_us) if plan_shards else None
    riders = (
        Maps(
            terms.most_ttl_us, terms.drift, planner.leading if planner else None, auto
        ),
        Budgets(terms.most_ttl_us, terms.drift),
    )
    made = Parts(
        await service.lead(terms, ttl_us, riders, mark), riders[1], riders[0], planner
    )
    service.tables["budget"] = (
        "destination",
        lambda: made.budgets.figures(service.now_us()),
    )
    service.parts.append(made.maps.state)
    if budgets is not None and budgets != made.budgets.file:
        await budget_calls.take(made.fleet, made.budgets, budgets, "file")
    if reserves_known:
        await made.fleet.decide(
            made.budgets.name, lambda now_us: made.budgets.forget(now_us, None)
        )
    if planner is not None:
        planner.start(made.fleet)
    return made
