"""Holds the lease `shard-planner`, whose holder plans new shard maps.

Maps are planned as members join and leave.
"""

from __future__ import annotations

import asyncio
import logging

from rainfall.lease.fencing_token import Token
from rainfall.lease.table import LeaseGrant, LeaseUnavailable
from rainfall.lease.types import LeaseRejectedError
from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.group_commit import QueueFullError

PLANNER_LEASE_NAME = "shard-planner"
RETRY_AFTER_LEASES = 10
"""Lease durations to wait before the service acquires a lost lease again."""
RENEWALS_PER_TERM = 3
log = logging.getLogger("rainfall.registry")


class PlannerLease:
    """Acquires the lease for this service whenever it is free, and renews it.

    To suspend planning, an operator acquires the lease once it is free or revoked, and
    renews it.
    """

    def __init__(self, ttl_us: int) -> None:
        self.ttl_us = ttl_us
        self.fleet: FleetCoordinator | None = None
        self.holder = ""
        self.token: Token | None = None
        self.retry_at_us = 0
        self._task: asyncio.Task[None] | None = None

    def is_held(self, now_us: int) -> bool:
        """Return whether this service holds the lease.

        The lease table uses the clock of this process, so no drift margin is needed.
        """
        if self.fleet is None:
            return False
        lease = self.fleet.table.read(PLANNER_LEASE_NAME)
        return (
            lease is not None
            and lease.token == self.token
            and not lease.revoked
            and now_us < lease.expires_at_us
        )

    def start(self, fleet: FleetCoordinator) -> None:
        """Acquire the lease, and renew it until the service stops."""
        self.fleet = fleet
        # The epoch identifies this run of the service: each run is a separate holder.
        self.holder = f"list service, epoch {fleet.table.epoch}"
        self._task = asyncio.get_running_loop().create_task(self._run(fleet))
        fleet.context.on_stop.append(self._stop)

    def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self, fleet: FleetCoordinator) -> None:
        while True:
            await self.renew(fleet)
            await asyncio.sleep(self.ttl_us / (RENEWALS_PER_TERM * 1e6))

    async def renew(self, fleet: FleetCoordinator) -> None:
        """Acquire the lease if it is free, or renew it.

        After a loss of the lease the service waits, so that another holder can acquire it.
        """
        if fleet.context.now_us() < self.retry_at_us:
            return
        try:
            decision = await fleet.persist_decision(
                lambda now_us: self._acquire_or_renew(fleet, now_us)
            )
        except LeaseRejectedError:
            self.token = None
            pause_us = RETRY_AFTER_LEASES * self.ttl_us
            self.retry_at_us = fleet.context.now_us() + pause_us
            return
        except (OSError, QueueFullError):
            return  # The writer has counted and logged the failure.
        if not isinstance(decision, LeaseGrant):
            return
        if self.token != decision.token:
            log.info("planner", extra={"token": decision.token.to_wire()})
            fleet.plan_scheduler.schedule_soon()
        self.token = decision.token

    def _acquire_or_renew(
        self, fleet: FleetCoordinator, now_us: int
    ) -> LeaseGrant | LeaseUnavailable:
        if self.token is None:
            return fleet.table.acquire(
                now_us, PLANNER_LEASE_NAME, self.holder, self.ttl_us
            )
        return fleet.table.renew(now_us, PLANNER_LEASE_NAME, self.token)
