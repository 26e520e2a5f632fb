"""Begins new epochs for readers that are ahead of the service.

A reader that reports a version or an epoch past the service's own shows that the
service's state is an older copy, or was lost. A new epoch past both histories makes that
reader accept the complete list. Claims are not authenticated, so they begin epochs only
at a limited rate.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from rainfall.registry.endpoint_registry import NO_CLAIM, EndpointRegistry, VersionClaim
from rainfall.registry.group_commit import QueueFullError
from rainfall.registry.limits import Limits
from rainfall.registry.metrics import ServiceMetrics
from rainfall.registry.token_bucket import TokenBucket


class EpochClaims:
    """Begins epochs past readers' claims, at a limited rate. Not thread-safe.

    `begin_epoch` takes the version and the epoch to exceed, and returns once the new
    epoch is stored.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        begin_epoch: Callable[[int, int], Awaitable[None]],
        limits: Limits,
        metrics: ServiceMetrics,
        now_us: Callable[[], int],
    ) -> None:
        self.registry = registry
        self.begin_epoch = begin_epoch
        self.metrics = metrics
        self.now_us = now_us
        self.stopped = False
        self._bucket = TokenBucket(
            limits.epoch_burst, int(limits.epoch_interval_s * 1_000_000)
        )
        self._highest_claim = NO_CLAIM
        """The highest claimed version and epoch that no new epoch exceeds yet."""
        self._lock = asyncio.Lock()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    async def observe(self, since: int | None, epoch: int | None) -> None:
        """Begin an epoch if a reader is ahead of this service.

        The epoch is stored before the reader is answered. Above the rate limit it is
        delayed, and the reader receives the complete list meanwhile.
        """
        if self.registry.claim_ahead(since, epoch) is None:
            return
        async with self._lock:
            claim = self.registry.claim_ahead(since, epoch)
            if claim is None:
                return  # An epoch that began meanwhile exceeds this claim.
            self._highest_claim = VersionClaim(
                max(self._highest_claim.version, claim.version),
                max(self._highest_claim.epoch, claim.epoch),
            )
            await self._begin_claimed_epoch()

    def stop(self) -> None:
        """Cancel delayed epochs."""
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()

    async def _begin_claimed_epoch(self) -> None:
        now_us = self.now_us()
        if not self._bucket.try_acquire(now_us):
            self.metrics.epochs_delayed += 1
            if self._timer is None and not self.stopped:
                self._timer = asyncio.get_running_loop().call_later(
                    self._bucket.wait_us(now_us) / 1e6, self._on_timer
                )
            return
        claim = self._highest_claim
        self._highest_claim = NO_CLAIM
        try:
            await asyncio.shield(
                asyncio.ensure_future(self.begin_epoch(claim.version, claim.epoch))
            )
        except (OSError, QueueFullError):
            # The writer counts the failure; the next reader that is ahead triggers a retry.
            self._highest_claim = claim

    def _on_timer(self) -> None:
        self._timer = None
        self._task = asyncio.get_running_loop().create_task(self._begin_delayed_epoch())

    async def _begin_delayed_epoch(self) -> None:
        async with self._lock:
            claim = self._highest_claim
            is_ahead = (
                claim.version > self.registry.seq or claim.epoch > self.registry.epoch
            )
            if claim > NO_CLAIM and is_ahead:
                await self._begin_claimed_epoch()
            else:
                self._highest_claim = NO_CLAIM
