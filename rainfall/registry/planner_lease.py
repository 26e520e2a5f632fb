"""The lease `shard-planner`: whoever holds it makes new maps when members come and go."""

from __future__ import annotations

import asyncio
import logging

from rainfall.lease.fencing_token import Token
from rainfall.lease.table import LeaseGrant
from rainfall.lease.types import LeaseRejectedError
from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.group_commit import QueueFullError

PLANNER_LEASE_NAME = "shard-planner"
RETRY_AFTER_LEASES = (
    10  # leases that pass before it is asked for again after it was taken away
)
log = logging.getLogger("rainfall.registry")


class PlannerLease:
    """Keeps the lease for this service while nobody else has it.

    Who wants the service to plan nothing for a while takes the lease (once it is free,
    or was revoked) and renews it.
    """

    def __init__(self, ttl_us: int) -> None:
        self.ttl_us = ttl_us
        self.fleet: FleetCoordinator | None = None
        self.holder = ""
        self.token: Token | None = None
        self.retry_at_us = 0
        self._task: asyncio.Task[None] | None = None

    def is_held(self, now_us: int) -> bool:
        """The table is this process's own, and so is its clock: what it says is so."""
        lease = (
            self.fleet.table.read(PLANNER_LEASE_NAME)
            if self.fleet is not None
            else None
        )
        return (
            lease is not None
            and lease.token == self.token
            and not lease.revoked
            and now_us < lease.expires_at_us
        )

    def start(self, fleet: FleetCoordinator) -> None:
        self.fleet = fleet
        self.holder = (
            f"list service, epoch {fleet.table.epoch}"  # this run of it and no other
        )
        self._task = asyncio.get_running_loop().create_task(self._run(fleet))
        fleet.context.on_stop.append(self._stop)

    def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self, fleet: FleetCoordinator) -> None:
        while True:
            await self.renew(fleet)
            await asyncio.sleep(self.ttl_us / 3e6)

    async def renew(self, fleet: FleetCoordinator) -> None:
        """Acquire the lease where it can be had, or renew it.

        Where it was taken away, whoever did that has time to take it before it is asked
        for again.
        """
        if fleet.context.now_us() < self.retry_at_us:
            return
        try:
            made = await fleet.persist_decision(
                lambda now_us: (
                    fleet.table.acquire(
                        now_us, PLANNER_LEASE_NAME, self.holder, self.ttl_us
                    )
                    if self.token is None
                    else fleet.table.renew(now_us, PLANNER_LEASE_NAME, self.token)
                )
            )
            if isinstance(made, LeaseGrant):
                if self.token != made.token:
                    log.info("planner", extra={"token": made.token.to_wire()})
                    fleet.plan_scheduler.schedule_soon()
                self.token = made.token
        except LeaseRejectedError:
            self.token, self.retry_at_us = (
                None,
                fleet.context.now_us() + RETRY_AFTER_LEASES * self.ttl_us,
            )
        except (OSError, QueueFullError):
            pass  # counted and logged where it failed
