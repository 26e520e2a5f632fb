"""The schedule of a member's heartbeats, and its watch of the list service.

Heartbeats renew the lease at regular intervals. The watch is a long poll of the fleet's
version; each change of it brings the next heartbeat forward.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import msgspec

from rainfall.forwarder.config.address import Address
from rainfall.forwarder.discovery.endpoint_watch import HttpClient
from rainfall.forwarder.http1 import MalformedResponseError
from rainfall.forwarder.units import MS_PER_SECOND, NS_PER_US, US_PER_SECOND
from rainfall.lease.holder import LeaseHolder

WATCH_PATH = "/v1/fleet/watch"
MIN_HEARTBEAT_INTERVAL_S = 0.1
"""Least time between two heartbeats, however many reasons there are for one."""
HEARTBEAT_JITTER_S = 0.05
"""Longest random delay of the heartbeat after a change: the service reports a change to
all members at the same time.
"""
TIMER_MARGIN_S = 0.001
"""Added to timers: one may fire this much early by the member's clock."""
WATCH_HOLD_MS = 10_000
"""How long the service holds a watch request without a change.

If a watch is lost, a change is noticed only at the next renewal.
"""
WATCH_GRACE_S = 1.0
"""Timeout of a watch request, on top of WATCH_HOLD_MS."""
WATCH_RETRIES_PER_LEASE = 3
"""A failed watch is retried after a random delay of at most a lease's length divided by
this.
"""
UNKNOWN_VERSION = -1
"""Version of the fleet before the first answer."""
log = logging.getLogger("rainfall.fleet")


def now_us() -> int:
    """Return the time of the member's monotonic clock, in microseconds.

    The clock advances while the machine is suspended, because the lease at the service
    expires meanwhile.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_US


class HeartbeatScheduler:
    """Runs the heartbeats, at the lease's renewal times or earlier on request."""

    def __init__(
        self,
        holder: LeaseHolder,
        random_source: random.Random,
        send_heartbeat: Callable[[HttpClient], Awaitable[None]],
    ) -> None:
        """Create a scheduler that is idle until `start`.

        Args:
            holder: The lease, with the time of its next renewal.
            random_source: For jitter.
            send_heartbeat: Sends one heartbeat over a client, and reports the result to
                the holder.
        """
        self.holder = holder
        self.random = random_source
        self.send_heartbeat = send_heartbeat
        self.reachable = False
        """Whether the service answered the last heartbeat, be it with a refusal."""
        self.version = UNKNOWN_VERSION
        """Version of the fleet in the last answer."""
        self.renewals_only = False
        """Ignore `heartbeat_requested`: the service is unreachable, or has refused the
        last heartbeat with the time of the next one.
        """
        self.heartbeat_requested = asyncio.Event()
        """Set to send a heartbeat before the next renewal is due."""
        self.heartbeat_answered = asyncio.Event()
        """Set when a granted heartbeat has been applied."""
        self.tasks: list[asyncio.Task[None]] = []
        self.clients: list[HttpClient] = []
        """One for heartbeats and one for the watch, in this order."""

    def start(self, service: Address) -> None:
        """Start the heartbeats and the watch, at the service's address."""
        self.clients = [HttpClient(service), HttpClient(service)]
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.run_heartbeats()),
            loop.create_task(self.follow_changes()),
        ]

    def stop(self) -> None:
        """Stop the heartbeats and the watch; requests in flight are cancelled."""
        for task in self.tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        self.tasks = []

    async def run_heartbeats(self) -> None:
        """Send heartbeats, one at a time."""
        while True:
            await self.wait_until_due()
            self.heartbeat_requested.clear()
            try:
                await self.send_heartbeat(self.clients[0])
            # An unexpected answer must not end this loop, and with it the lease.
            except Exception:
                log.exception("heartbeat failed")
                self.holder.on_no_answer(now_us())

    async def wait_until_due(self) -> None:
        """Wait until the lease's next renewal is due or a heartbeat is requested."""
        earliest_us = now_us() + int(MIN_HEARTBEAT_INTERVAL_S * US_PER_SECOND)
        while (remaining_us := self.holder.next_renewal_us - now_us()) > 0:
            try:
                async with asyncio.timeout(
                    remaining_us / US_PER_SECOND + TIMER_MARGIN_S
                ):
                    await self.heartbeat_requested.wait()
            except TimeoutError:
                continue
            if not self.renewals_only:
                await asyncio.sleep(max(0, earliest_us - now_us()) / US_PER_SECOND)
                return
            self.heartbeat_requested.clear()

    async def follow_changes(self) -> None:
        """Watch the fleet's version, and request a heartbeat after each change.

        The heartbeat's answer has the change itself. A failed watch therefore only
        delays the change, until the next renewal at the latest.
        """
        while True:
            self.heartbeat_answered.clear()
            if not self.reachable or self.holder.token is None:
                await self.heartbeat_answered.wait()
            requested_at_s = time.monotonic()
            try:
                version = await self._wait_for_version(self.version)
            # An unexpected answer must not end the watch.
            except Exception:
                await asyncio.sleep(self._watch_retry_s())
                continue
            if version != self.version:
                await asyncio.sleep(self.random.random() * HEARTBEAT_JITTER_S)
                self.heartbeat_answered.clear()
                self.heartbeat_requested.set()
                await self.heartbeat_answered.wait()
            elif time.monotonic() - requested_at_s < MIN_HEARTBEAT_INTERVAL_S:
                # Without this, a service that does not hold requests would be polled
                # in a busy loop.
                await asyncio.sleep(MIN_HEARTBEAT_INTERVAL_S)

    async def _wait_for_version(self, known_version: int) -> int:
        """Return the fleet's version, once it differs or after WATCH_HOLD_MS."""
        response = await self.clients[1].request(
            "GET",
            f"{WATCH_PATH}?from={known_version}&hold_ms={WATCH_HOLD_MS}",
            WATCH_HOLD_MS / MS_PER_SECOND + WATCH_GRACE_S,
        )
        if response.status != HTTPStatus.OK:
            raise MalformedResponseError(f"status {response.status}")
        return int(msgspec.json.decode(response.body)["version"])

    def _watch_retry_s(self) -> float:
        """Return a random delay before a failed watch is retried, in seconds."""
        divisor = WATCH_RETRIES_PER_LEASE * US_PER_SECOND
        return self.random.random() * self.holder.ttl_us / divisor
