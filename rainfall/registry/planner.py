"""The lease `shard-planner`: whoever holds it makes new maps when members come and
go.
"""

from __future__ import annotations

import asyncio
import logging

from rainfall.lease.table import Grant
from rainfall.lease.terms import Refused
from rainfall.lease.token import Token
from rainfall.registry.fleet import Fleet
from rainfall.registry.writer import Full

LEASE = "shard-planner"
RESTS = 10  # leases that pass before it is asked for again after it was taken away
log = logging.getLogger("rainfall.registry")


class Planner:
    """Keeps the lease for this service while nobody else has it. Who wants the service
    to plan nothing for a while takes the lease (once it is free, or was revoked) and
    renews it.
    """

    def __init__(self, ttl_us: int) -> None:
        self.ttl_us = ttl_us
        self.fleet: Fleet | None = None
        self.holder = ""
        self.token: Token | None = None
        self.rest_us = 0
        self._task: asyncio.Task[None] | None = None

    def leading(self, now_us: int) -> bool:
        """The table is this process's own, and so is its clock: what it says is so."""
        lease = self.fleet.table.read(LEASE) if self.fleet is not None else None
        return (
            lease is not None
            and lease.token == self.token
            and not lease.revoked
            and now_us < lease.until_us
        )

    def start(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.holder = (
            f"list service, epoch {fleet.table.epoch}"  # this run of it and no other
        )
        self._task = asyncio.get_running_loop().create_task(self._run(fleet))
        fleet.house.on_end.append(self._stop)

    def _stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self, fleet: Fleet) -> None:
        while True:
            await self.renew(fleet)
            await asyncio.sleep(self.ttl_us / 3e6)

    async def renew(self, fleet: Fleet) -> None:
        """Acquire the lease where it can be had, or renew it. Where it was taken away,
        whoever did that has time to take it before it is asked for again.
        """
        if fleet.house.now_us() < self.rest_us:
            return
        try:
            made = await fleet.settle(
                lambda now_us: (
                    fleet.table.acquire(now_us, LEASE, self.holder, self.ttl_us)
                    if self.token is None
                    else fleet.table.renew(now_us, LEASE, self.token)
                )
            )
            if isinstance(made, Grant):
                if self.token != made.token:
                    log.info("planner", extra={"token": made.token.told()})
                    fleet.plans.soon()
                self.token = made.token
        except Refused:
            self.token, self.rest_us = None, fleet.house.now_us() + RESTS * self.ttl_us
        except (OSError, Full):
            pass  # counted and logged where it failed
