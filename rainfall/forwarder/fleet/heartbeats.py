"""When a member speaks to the list service: beats by its lease's clock or for a reason,
and a held watch.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable

import msgspec

from rainfall.forwarder.config.address import Address
from rainfall.forwarder.discovery.endpoint_watch import HttpClient
from rainfall.forwarder.http1 import MalformedResponseError
from rainfall.lease.holder import LeaseHolder

MIN_HEARTBEAT_INTERVAL_S = 0.1  # between two beats, whatever changes
HEARTBEAT_JITTER_S = (
    0.05  # a change is told to all members at once: they beat within so long
)
# how long a watch waits for a change; one that is lost costs the time to the next beat
WATCH_HOLD_MS = 10_000
WATCH_GRACE_S = 1.0  # after which it is silent
log = logging.getLogger("rainfall.fleet")


def now_us() -> int:
    """The member's own clock.

    It counts on while the machine sleeps, as the service's lease does.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class HeartbeatScheduler:
    """`beat` makes one call over the client it is given, and settles with the holder
    what came of it.
    """

    def __init__(
        self,
        holder: LeaseHolder,
        random_source: random.Random,
        beat: Callable[[HttpClient], Awaitable[None]],
    ) -> None:
        self.holder, self.random, self.send_heartbeat = holder, random_source, beat
        self.reachable, self.version = False, -1
        """Whether the service answered the last beat, and the version that it told."""
        self.wait_for_renewal = False
        """The service is away, or said when to come: nothing brings the next beat
        forward.
        """
        self.wake, self.heartbeat_answered = asyncio.Event(), asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.clients: list[HttpClient] = []

    def start(self, service: Address) -> None:
        self.clients = [HttpClient(service), HttpClient(service)]
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.run_heartbeats()),
            loop.create_task(self.follow_changes()),
        ]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        self.tasks = []

    async def run_heartbeats(self) -> None:
        while True:
            await self.wait_turn()
            self.wake.clear()
            try:
                await self.send_heartbeat(self.clients[0])
            except Exception:  # whatever comes back must not end the beating for good
                log.exception("a beat failed")
                self.holder.on_no_answer(now_us())

    async def wait_turn(self) -> None:
        """Wait for the next renewal, or for a reason to come before."""
        earliest_us = now_us() + int(MIN_HEARTBEAT_INTERVAL_S * 1e6)
        while (remaining_us := self.holder.next_renewal_us - now_us()) > 0:
            try:
                async with asyncio.timeout(remaining_us / 1e6 + 0.001):
                    await self.wake.wait()
            except TimeoutError:
                continue
            if not self.wait_for_renewal:
                await asyncio.sleep(max(0, earliest_us - now_us()) / 1e6)
                return
            self.wake.clear()

    async def follow_changes(self) -> None:
        """Hear of changes as they come.

        None is told here, so whatever goes wrong costs no more than the time to the
        next beat.
        """
        while True:
            self.heartbeat_answered.clear()
            if not self.reachable or self.holder.token is None:
                await self.heartbeat_answered.wait()
            version, requested_at = self.version, time.monotonic()
            try:
                reader = await self.clients[1].request(
                    "GET",
                    f"/v1/fleet/watch?from={version}&hold_ms={WATCH_HOLD_MS}",
                    WATCH_HOLD_MS / 1000 + WATCH_GRACE_S,
                )
                if reader.status != 200:
                    raise MalformedResponseError(f"status {reader.status}")
                version_now = int(msgspec.json.decode(reader.body)["version"])
            except Exception:
                await asyncio.sleep(self.random.random() * self.holder.ttl_us / 3e6)
                continue
            if version_now != self.version:
                await asyncio.sleep(self.random.random() * HEARTBEAT_JITTER_S)
                self.heartbeat_answered.clear()
                self.wake.set()
                await self.heartbeat_answered.wait()
            elif time.monotonic() - requested_at < MIN_HEARTBEAT_INTERVAL_S:
                await asyncio.sleep(
                    MIN_HEARTBEAT_INTERVAL_S
                )  # a service that answers at once must not spin us
