"""Creates the fleet with its heartbeat extensions, and opens its addresses."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rainfall.lease.types import LeaseSettings
from rainfall.registry import budget_api, shard_map_api
from rainfall.registry.budget_extension import BudgetExtension
from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.metrics import BUDGET_HELP_TEXTS, GaugeTable
from rainfall.registry.planner_lease import PlannerLease
from rainfall.registry.server import RegistryServer
from rainfall.registry.shard_map_extension import ShardMapExtension
from rainfall.shard.auto_planner import AutoPlanner


@dataclass(frozen=True, slots=True)
class FleetServices:
    """The fleet and its extensions in a running list service."""

    fleet: FleetCoordinator
    budgets: BudgetExtension
    maps: ShardMapExtension
    planner: PlannerLease | None

    async def listen_write(self, host: str, port: int) -> int:
        """Open the write address with the extensions' routes, and return the port.

        Raises:
            OSError: The address cannot be opened.
        """
        extra_routes = [
            *budget_api.routes(self.fleet, self.budgets),
            *shard_map_api.routes(self.fleet, self.maps),
        ]
        return await self._service.listen(host, port, True, extra_routes)

    async def listen_fleet(self, host: str, port: int) -> int:
        """Open the fleet's address with the extensions' read routes, and return the port.

        Raises:
            OSError: The address cannot be opened.
        """
        extra_routes = [
            *budget_api.read_routes(self.fleet, self.budgets),
            *shard_map_api.read_routes(self.fleet, self.maps),
        ]
        return await self._service.listen_fleet(host, port, extra_routes)

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
    """Start the fleet with its extensions, before any address is opened.

    Args:
        service: The list service that the fleet belongs to.
        lease_terms: Limits of leases.
        ttl_us: The duration of a member's lease.
        watermark_path: The watermark file, which reveals an older copy of the log.
        budgets: Validated budgets from the file. They are put in force if they differ
            from the budgets last applied from a file.
        plan_shards: Whether this service plans shard maps.
        auto_planner: Decides when to plan; None for the default delays.
        reserves_known: An operator confirms that no process uses a reserve that is
            unknown to this service.

    Raises:
        DamagedStateError: The fleet's log is damaged.
        OSError: The log cannot be read or written.
    """
    planner = PlannerLease(ttl_us) if plan_shards else None
    map_extension = ShardMapExtension(
        lease_terms.max_ttl_us,
        lease_terms.drift,
        planner.is_held if planner else None,
        auto_planner,
    )
    budget_extension = BudgetExtension(lease_terms.max_ttl_us, lease_terms.drift)
    fleet = await service.start_fleet(
        lease_terms, ttl_us, (map_extension, budget_extension), watermark_path
    )
    _add_gauges(service, budget_extension, map_extension)
    if budgets is not None and budgets != budget_extension.last_file_budgets:
        await budget_api.apply_budgets(fleet, budget_extension, budgets, "file")
    if reserves_known:
        await fleet.apply_rows(
            budget_extension.name,
            lambda now_us: budget_extension.confirm_processes(now_us, None),
        )
    if planner is not None:
        planner.start(fleet)
    return FleetServices(fleet, budget_extension, map_extension, planner)


def _add_gauges(
    service: RegistryServer, budgets: BudgetExtension, maps: ShardMapExtension
) -> None:
    budget_table = GaugeTable(
        "budget",
        "destination",
        BUDGET_HELP_TEXTS,
        lambda: budgets.metrics(service.now_us()),
    )
    service.gauge_tables.append(budget_table)
    service.gauge_sources.append(maps.gauges)
