"""A forwarder's control part without its message path: lease, beats, watches, purses
and the list's watch are the program's own classes on real sockets; the engine's place
is taken by `HollowDesk`.

What is left out: messages, the dispatcher, the journal, clients and endpoints. Needs
are stated by messages that wait for ever.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any, ClassVar, cast

from rainfall.dispatch import Event, MessageClass, QuotaChanged
from rainfall.dispatch.endpoint_list import MAX_POLL_RETRY_US
from rainfall.dispatch.queues import DemandKey
from rainfall.forwarder.config import fleet_config
from rainfall.forwarder.config.loading import Address, EndpointList
from rainfall.forwarder.discovery import endpoint_watch
from rainfall.forwarder.discovery.endpoint_watch import (
    NO_VERSION,
    EndpointWatch,
    HttpConnection,
)
from rainfall.forwarder.engine.engine_state import Clock
from rainfall.forwarder.fleet.member import FleetMember, ForwarderContext
from rainfall.forwarder.http1 import ResponseReader

WAITING_CLASS = "order"


class Call(StrEnum):
    """What a member asks the list service for."""

    BEAT = "beat"
    WATCH = "watch"
    LIST = "list"


PATHS = {
    b"/v1/fleet/beat": Call.BEAT,
    b"/v1/fleet/watch": Call.WATCH,
    b"/discovery/hosts": Call.LIST,
}


def call_of(request: bytes) -> Call:
    """Which call the bytes of a request are."""
    path = request.split(b" ", 2)[1].partition(b"?")[0]
    return PATHS[path]


class CountedChannel(HttpConnection):
    """A connection to the list service that counts calls and bytes of HTTP, both ways,
    of all members of this process.
    """

    calls: ClassVar[Counter[Call]] = Counter()
    sent: ClassVar[Counter[Call]] = Counter()
    received: ClassVar[Counter[Call]] = Counter()
    opened: ClassVar[int] = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        CountedChannel.opened += 1
        super().connection_made(transport)

    async def exchange(self, data: bytes, until: float) -> ResponseReader:
        self.call = call_of(data)
        self.calls[self.call] += 1
        self.sent[self.call] += len(data)
        return await super().exchange(data, until)

    def data_received(self, data: bytes) -> None:
        self.received[self.call] += len(data)
        super().data_received(data)


def count_calls() -> None:
    """From here on each new connection of this process to the list service is a counted
    one.
    """
    vars(endpoint_watch)["HttpConnection"] = CountedChannel


@dataclass(frozen=True, slots=True)
class WaitingMessage:
    """As much of a held message as needs are counted by."""

    id: str
    cls: MessageClass


@dataclass(slots=True)
class HollowQueues:
    """Messages that wait, by destination and id."""

    by_destination: dict[int, dict[str, WaitingMessage]] = field(default_factory=dict)

    def count_by_demand(self) -> dict[int, Counter[DemandKey]]:
        return {
            destination: Counter(
                DemandKey(message.cls.name, None) for message in queue.values()
            )
            for destination, queue in self.by_destination.items()
        }


@dataclass(slots=True)
class HollowState:
    queues: HollowQueues = field(default_factory=HollowQueues)


@dataclass(slots=True)
class HollowDispatcher:
    state: HollowState = field(default_factory=HollowState)


@dataclass(slots=True)
class HollowStore:
    messages: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HollowConfig:
    listen: Address
    state: Path
    power: bool = False


@dataclass(frozen=True, slots=True)
class ShareInForce:
    """A share as the message path was last told of it; times are monotonic ns."""

    calls: int
    whole: int
    whole_ns: int
    """When it was told of this whole."""


class HollowEngine:
    """As much of the engine's desk as its fleet part uses.

    Events end here; shares are remembered.
    """

    def __init__(self, config: HollowConfig) -> None:
        self.config, self.clock = config, Clock()
        self.dispatcher, self.store = HollowDispatcher(), HollowStore()
        self.acted: dict[int, ShareInForce] = {}
        self.changed_ns = 0
        self.fleet: FleetMember | None = None

    def post(self, event: Event) -> None:
        if not isinstance(event, QuotaChanged) or self.fleet is None:
            return
        share = self.fleet.quotas.accounts[event.destination].quota.share
        before = self.acted.get(event.destination)
        if before is None or (before.calls, before.whole) != (event.calls, share.whole):
            self.changed_ns = time.monotonic_ns()
            known = before is not None and before.whole == share.whole
            whole_ns = (
                before.whole_ns if before is not None and known else self.changed_ns
            )
            self.acted[event.destination] = ShareInForce(
                event.calls, share.whole, whole_ns
            )

    def wait_for(self, destination: int, calls: int) -> None:
        """So many messages wait for the destination from now on."""
        message_class = MessageClass(WAITING_CLASS, 1_000_000, 1_000_000)
        self.dispatcher.state.queues.by_destination[destination] = {
            str(n): WaitingMessage(str(n), message_class) for n in range(calls)
        }


@dataclass(frozen=True, slots=True)
class ServiceAddresses:
    """Where the list service is reached by members."""

    fleet: Address
    discovery: Address


class HollowMember:
    """One member.

    `start` on the running loop; `tick` ten times a second; `kill` as by SIGKILL, after
    which another one may be made on the same folder.
    """

    def __init__(
        self,
        name: str,
        site: str,
        service: ServiceAddresses,
        folder: Path,
        needs: dict[int, int],
    ) -> None:
        self.name, self.service = name, service
        self.random = random.Random(name)
        self.engine = HollowEngine(HollowConfig(Address("127.0.0.1", 1), folder))
        for destination, calls in needs.items():
            self.engine.wait_for(destination, calls)
        config = fleet_config.parse_fleet(
            {"service": str(service.fleet), "site": site}, name
        )
        self.fleet = self.engine.fleet = FleetMember(
            config, cast(ForwarderContext, self.engine)
        )
        self.watch = EndpointWatch(
            service.discovery, NO_VERSION, self.listed, self.random.getrandbits(32)
        )
        self.list_version, self.listed_ns = NO_VERSION, 0
        self.retry: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.fleet.start()
        self.watch.subscribe()

    def tick(self) -> None:
        self.fleet.tick()

    def kill(self) -> None:
        """Connections end, nothing is said and nothing is written."""
        if self.retry is not None:
            self.retry.cancel()
        self.fleet.heartbeats.stop()
        self.watch.pause()

    def listed(self, host_list: EndpointList | None) -> None:
        """A list came, or could not be had: then it is asked for again, as the
        dispatcher would have it.
        """
        if host_list is None:
            wait_s = self.random.random() * MAX_POLL_RETRY_US / 1e6
            self.retry = asyncio.get_running_loop().call_later(
                wait_s, self.watch.subscribe
            )
        elif host_list.version != self.list_version:
            self.list_version, self.listed_ns = host_list.version, time.monotonic_ns()
