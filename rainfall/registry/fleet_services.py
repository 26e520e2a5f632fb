"""The fleet with all that rides on it: built, led, and its routes given to the
service's addresses.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rainfall.lease.types import LeaseSettings
from rainfall.registry import budget_api, shard_map_api
from rainfall.registry.budget_extension import BudgetExtension
from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.planner_lease import PlannerLease
from rainfall.registry.server import RegistryServer
from rainfall.registry.shard_map_extension import ShardMapExtension
from rainfall.shard.auto_planner import AutoPlanner


@dataclass(frozen=True, slots=True)
class FleetServices:
    fleet: FleetCoordinator
    budgets: BudgetExtension
    maps: ShardMapExtension
    planner: PlannerLease | None

    async def listen_write(self, host: str, port: int) -> int:
        """The write address with the parts' routes; the port taken. Raises OSError."""
        more = [
            *budget_api.routes(self.fleet, self.budgets),
            *shard_map_api.routes(self.fleet, self.maps),
        ]
        return await self._service.listen(host, port, True, more)

    async def listen_fleet(self, host: str, port: int) -> int:
        """The fleet's address, where budgets and map can be read too; the port taken.

        Raises OSError.
        """
        more = [
            *budget_api.read_routes(self.fleet, self.budgets),
            *shard_map_api.read_routes(self.fleet, self.maps),
        ]
        return await self._service.listen_fleet(host, port, more)

    @property
    def _service(self) -> RegistryServer:
        service = self.fleet.context
        assert isinstance(service, RegistryServer)
        return service


async def start_fleet_services(
    service: RegistryServer,
    lease_terms: LeaseSettings,
    ttl_us: int,
    watermark_path: Path | None = None,
    budgets: list[dict[str, Any]] | None = None,
    plan_shards: bool = False,
    auto_planner: AutoPlanner | None = None,
    reserves_known: bool = False,
) -> FleetServices:
    """Take on the fleet with its parts, before any address is opened.

    `budgets`: the file's, checked; they come into force here if they are others than
    were last taken from a file. `reserves_known`: the operator's word that no process
    acts on a reserve that is not known here. Raises Damaged, OSError.
    """
    planner = PlannerLease(ttl_us) if plan_shards else None
    extensions = (
        ShardMapExtension(
            lease_terms.max_ttl_us,
            lease_terms.drift,
            planner.is_held if planner else None,
            auto_planner,
        ),
        BudgetExtension(lease_terms.max_ttl_us, lease_terms.drift),
    )
    services = FleetServices(
        await service.start_fleet(lease_terms, ttl_us, extensions, watermark_path),
        extensions[1],
        extensions[0],
        planner,
    )
    service.metric_tables["budget"] = (
        "destination",
        lambda: services.budgets.metrics(service.now_us()),
    )
    service.gauge_sources.append(services.maps.gauges)
    if budgets is not None and budgets != services.budgets.last_file_budgets:
        await budget_api.apply_budgets(
            services.fleet, services.budgets, budgets, "file"
        )
    if reserves_known:
        await services.fleet.apply_rows(
            services.budgets.name,
            lambda now_us: services.budgets.confirm_processes(now_us, None),
        )
    if planner is not None:
        planner.start(services.fleet)
    return services
