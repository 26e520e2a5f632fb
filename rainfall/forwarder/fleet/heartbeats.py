"""When a member sends heartbeats to the list service, and its watch for changes."""

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
"""Between two heartbeats, whatever changes."""
HEARTBEAT_JITTER_S = 0.05
"""All members hear of a change at once: they send a heartbeat within this time."""
TIMER_MARGIN_S = 0.001
"""A timer may be so much early by the member's clock."""
WATCH_HOLD_MS = 10_000
"""How long a watch waits for a change; a lost one costs the time to the next heartbeat."""
WATCH_GRACE_S = 1.0
"""A watch without an answer so long after that is dead."""
WATCH_RETRIES_PER_LEASE = 3
"""A failed watch is repeated within this part of a lease at most."""
UNKNOWN_VERSION = -1
log = logging.getLogger("rainfall.fleet")


def now_us() -> int:
    """Return the time by the member's own clock, in microseconds.

    It counts on while the machine sleeps, as the service's lease does.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_US


class HeartbeatScheduler:
    """Calls for heartbeats at the lease's times, or earlier for a reason."""

    def __init__(
        self,
        holder: LeaseHolder,
        random_source: random.Random,
        beat: Callable[[HttpClient], Awaitable[None]],
    ) -> None:
        """Make a scheduler that does nothing until `start`.

        Args:
            holder: Knows when the lease is to be renewed.
            random_source: For jitter.
            beat: Sends one heartbeat over the client it is given, and tells the holder
                what came of it.
        """
        self.holder = holder
        self.random = random_source
        self.send_heartbeat = beat
        self.reachable = False
        """Whether the service answered the last heartbeat."""
        self.version = UNKNOWN_VERSION
        """Version of the fleet in the last answer."""
        self.wait_for_renewal = False
        """The service is unreachable, or said when to come: no reason brings the next
        heartbeat forward.
        """
        self.wake = asyncio.Event()
        """There is a reason for a heartbeat before the next renewal."""
        self.heartbeat_answered = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.clients: list[HttpClient] = []
        """One for heartbeats and one for the watch."""

    def start(self, service: Address) -> None:
        """Send heartbeats to the service at this address, and watch it."""
        self.clients = [HttpClient(service), HttpClient(service)]
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.run_heartbeats()),
            loop.create_task(self.follow_changes()),
        ]

    def stop(self) -> None:
        """Send no more heartbeats; what is in flight is dropped."""
        for task in self.tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        self.tasks = []

    async def run_heartbeats(self) -> None:
        """Send heartbeats, one at a time."""
        while True:
            await self.wait_turn()
            self.wake.clear()
            try:
                await self.send_heartbeat(self.clients[0])
            # No answer, whatever it is, may end the heartbeats for good.
            except Exception:
                log.exception("a beat failed")
                self.holder.on_no_answer(now_us())

    async def wait_turn(self) -> None:
        """Wait for the next renewal, or for a reason to come earlier."""
        earliest_us = now_us() + int(MIN_HEARTBEAT_INTERVAL_S * US_PER_SECOND)
        while (remaining_us := self.holder.next_renewal_us - now_us()) > 0:
            try:
                async with asyncio.timeout(
                    remaining_us / US_PER_SECOND + TIMER_MARGIN_S
                ):
                    await self.wake.wait()
            except TimeoutError:
                continue
            if not self.wait_for_renewal:
                await asyncio.sleep(max(0, earliest_us - now_us()) / US_PER_SECOND)
                return
            self.wake.clear()

    async def follow_changes(self) -> None:
        """Watch the service, and call for a heartbeat after each change.

        Nothing of a change is read here, so whatever goes wrong costs no more than the
        time to the next heartbeat.
        """
        while True:
            self.heartbeat_answered.clear()
            if not self.reachable or self.holder.token is None:
                await self.heartbeat_answered.wait()
            requested_at = time.monotonic()
            try:
                version = await self._wait_for_version(self.version)
            # No answer, whatever it is, may end the watch for good.
            except Exception:
                await asyncio.sleep(self._watch_retry_s())
                continue
            if version != self.version:
                await asyncio.sleep(self.random.random() * HEARTBEAT_JITTER_S)
                self.heartbeat_answered.clear()
                self.wake.set()
                await self.heartbeat_answered.wait()
            elif time.monotonic() - requested_at < MIN_HEARTBEAT_INTERVAL_S:
                # A service that answers at once must not make the watch spin.
                await asyncio.sleep(MIN_HEARTBEAT_INTERVAL_S)

    async def _wait_for_version(self, known_version: int) -> int:
        """Return the fleet's version once it is another, or after a while."""
        response = await self.clients[1].request(
            "GET",
            f"{WATCH_PATH}?from={known_version}&hold_ms={WATCH_HOLD_MS}",
            WATCH_HOLD_MS / MS_PER_SECOND + WATCH_GRACE_S,
        )
        if response.status != HTTPStatus.OK:
            raise MalformedResponseError(f"status {response.status}")
        return int(msgspec.json.decode(response.body)["version"])

    def _watch_retry_s(self) -> float:
        divisor = WATCH_RETRIES_PER_LEASE * US_PER_SECOND
        return self.random.random() * self.holder.ttl_us / divisor
