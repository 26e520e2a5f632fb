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

from rainfall.lease.holder import Holder
from rainfall.net.address import Address
from rainfall.net.discovery import Client
from rainfall.net.http import BadAnswer

LEAST_S = 0.1  # between two beats, whatever changes
SPREAD_S = 0.05  # a change is told to all members at once: they beat within so long
# how long a watch waits for a change; one that is lost costs the time to the next beat
HOLD_MS = 10_000
LATE_S = 1.0  # after which it is silent
log = logging.getLogger("rainfall.fleet")


def now_us() -> int:
    """The member's own clock. It counts on while the machine sleeps, as the service's
    lease does.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Talk:
    """`beat` makes one call over the client it is given, and settles with the holder
    what came of it.
    """

    def __init__(
        self,
        holder: Holder,
        chance: random.Random,
        beat: Callable[[Client], Awaitable[None]],
    ) -> None:
        self.holder, self.random, self.beat = holder, chance, beat
        self.reachable, self.version = False, -1
        """Whether the service answered the last beat, and the version that it told."""
        self.patient = False
        """The service is away, or said when to come: nothing brings the next beat
        forward.
        """
        self.kicked, self.beaten = asyncio.Event(), asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.clients: list[Client] = []

    def begin(self, service: Address) -> None:
        self.clients = [Client(service), Client(service)]
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.beats()), loop.create_task(self.follow())]

    def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        self.tasks = []

    async def beats(self) -> None:
        while True:
            await self.turn()
            self.kicked.clear()
            try:
                await self.beat(self.clients[0])
            except Exception:  # whatever comes back must not end the beating for good
                log.exception("a beat failed")
                self.holder.failed(now_us())

    async def turn(self) -> None:
        """Wait for the next renewal, or for a reason to come before."""
        least = now_us() + int(LEAST_S * 1e6)
        while (left := self.holder.next_renewal_us - now_us()) > 0:
            try:
                async with asyncio.timeout(left / 1e6 + 0.001):
                    await self.kicked.wait()
            except TimeoutError:
                continue
            if not self.patient:
                await asyncio.sleep(max(0, least - now_us()) / 1e6)
                return
            self.kicked.clear()

    async def follow(self) -> None:
        """Hear of changes as they come. None is told here, so whatever goes wrong costs
        no more than the time to the next beat.
        """
        while True:
            self.beaten.clear()
            if not self.reachable or self.holder.token is None:
                await self.beaten.wait()
            version, asked = self.version, time.monotonic()
            try:
                reader = await self.clients[1].ask(
                    "GET",
                    f"/v1/fleet/watch?from={version}&hold_ms={HOLD_MS}",
                    HOLD_MS / 1000 + LATE_S,
                )
                if reader.status != 200:
                    raise BadAnswer(f"status {reader.status}")
                told = int(msgspec.json.decode(reader.body)["version"])
            except Exception:
                await asyncio.sleep(self.random.random() * self.holder.ttl_us / 3e6)
                continue
            if told != self.version:
                await asyncio.sleep(self.random.random() * SPREAD_S)
                self.beaten.clear()
                self.kicked.set()
                await self.beaten.wait()
            elif time.monotonic() - asked < LEAST_S:
                await asyncio.sleep(
                    LEAST_S
                )  # a service that answers at once must not spin us
