"""A forwarder's control part without its message path.

Lease, heartbeats, watches, quotas and the list's watch are the program's own classes on
real sockets; `HollowEngine` takes the place of the engine. Messages, the dispatcher,
the journal, clients and endpoints are left out. Demand comes from messages that wait
forever.
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
    """The kinds of requests that a member sends to the list service."""

    BEAT = "beat"
    WATCH = "watch"
    LIST = "list"


PATHS = {
    b"/v1/fleet/beat": Call.BEAT,
    b"/v1/fleet/watch": Call.WATCH,
    b"/discovery/hosts": Call.LIST,
}


def call_of(request: bytes) -> Call:
    """Return the kind of a request from its bytes."""
    path = request.split(b" ", 2)[1].partition(b"?")[0]
    return PATHS[path]


class CountingConnection(HttpConnection):
    """A connection to the list service that counts calls and bytes.

    The counts are those of all members of this process; bytes of HTTP are counted
    in both directions.
    """

    calls: ClassVar[Counter[Call]] = Counter()
    sent: ClassVar[Counter[Call]] = Counter()
    received: ClassVar[Counter[Call]] = Counter()
    opened: ClassVar[int] = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        CountingConnection.opened += 1
        super().connection_made(transport)

    async def exchange(self, data: bytes, until: float) -> ResponseReader:
        """Count the request and send it."""
        self.call = call_of(data)
        self.calls[self.call] += 1
        self.sent[self.call] += len(data)
        return await super().exchange(data, until)

    def data_received(self, data: bytes) -> None:
        """Count the bytes received and pass them on."""
        self.received[self.call] += len(data)
        super().data_received(data)


def count_calls() -> None:
    """Count the calls of each connection to the list service opened from now on."""
    vars(endpoint_watch)["HttpConnection"] = CountingConnection


@dataclass(frozen=True, slots=True)
class WaitingMessage:
    """The part of a held message that demand is computed from."""

    id: str
    cls: MessageClass


@dataclass(slots=True)
class HollowQueues:
    """Waiting messages, by destination and id."""

    by_destination: dict[int, dict[str, WaitingMessage]] = field(default_factory=dict)

    def count_by_demand(self) -> dict[int, Counter[DemandKey]]:
        """Count the waiting messages by destination and demand key."""
        return {
            destination: Counter(
                DemandKey(message.cls.name, None) for message in queue.values()
            )
            for destination, queue in self.by_destination.items()
        }


@dataclass(slots=True)
class HollowState:
    """The part of the dispatcher's state that the fleet part reads."""

    queues: HollowQueues = field(default_factory=HollowQueues)


@dataclass(slots=True)
class HollowDispatcher:
    """The part of the dispatcher that the fleet part reads."""

    state: HollowState = field(default_factory=HollowState)


@dataclass(slots=True)
class HollowStore:
    """A message store that holds no message."""

    messages: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HollowConfig:
    """The part of the configuration that the fleet part reads."""

    listen: Address
    state: Path
    power: bool = False


@dataclass(frozen=True, slots=True)
class ShareInForce:
    """A share as the message path last received it; times are monotonic ns."""

    calls: int
    whole: int
    whole_ns: int
    """When the message path received this whole."""


class HollowEngine:
    """The part of the engine that the fleet part uses.

    Events are not processed further; the last share of each destination is stored.
    """

    def __init__(self, config: HollowConfig) -> None:
        self.config, self.clock = config, Clock()
        self.dispatcher, self.store = HollowDispatcher(), HollowStore()
        self.shares_in_force: dict[int, ShareInForce] = {}
        self.changed_ns = 0
        self.fleet: FleetMember | None = None

    def post(self, event: Event) -> None:
        """Store the share of a quota event; other events are ignored."""
        if not isinstance(event, QuotaChanged) or self.fleet is None:
            return
        share = self.fleet.quotas.accounts[event.destination].quota.share
        before = self.shares_in_force.get(event.destination)
        if before is None or (before.calls, before.whole) != (event.calls, share.total):
            self.changed_ns = time.monotonic_ns()
            known = before is not None and before.whole == share.total
            whole_ns = (
                before.whole_ns if before is not None and known else self.changed_ns
            )
            self.shares_in_force[event.destination] = ShareInForce(
                event.calls, share.total, whole_ns
            )

    def set_waiting_messages(self, destination: int, calls: int) -> None:
        """Let `calls` messages wait for a destination from now on."""
        message_class = MessageClass(WAITING_CLASS, 1_000_000, 1_000_000)
        self.dispatcher.state.queues.by_destination[destination] = {
            str(n): WaitingMessage(str(n), message_class) for n in range(calls)
        }


@dataclass(frozen=True, slots=True)
class ServiceAddresses:
    """The list service's addresses for members."""

    fleet: Address
    discovery: Address


class HollowMember:
    """One member.

    `start` needs a running event loop; `tick` is called ten times a second; `kill`
    has the effect of SIGKILL, after which another member can start on the same
    folder.
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
            self.engine.set_waiting_messages(destination, calls)
        config = fleet_config.parse_fleet(
            {"service": str(service.fleet), "site": site}, name
        )
        self.fleet = self.engine.fleet = FleetMember(
            config, cast(ForwarderContext, self.engine)
        )
        self.watch = EndpointWatch(
            service.discovery, NO_VERSION, self.on_list, self.random.getrandbits(32)
        )
        self.list_version, self.listed_ns = NO_VERSION, 0
        self.retry: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the heartbeats and subscribe to the list."""
        self.fleet.start()
        self.watch.subscribe()

    def tick(self) -> None:
        """Run the fleet part's periodic work."""
        self.fleet.tick()

    def kill(self) -> None:
        """Close the connections without sending or writing anything."""
        if self.retry is not None:
            self.retry.cancel()
        self.fleet.heartbeats.stop()
        self.watch.pause()

    def on_list(self, host_list: EndpointList | None) -> None:
        """Store a received list's version, or retry after a failure (None).

        The retry is delayed at random, up to `MAX_POLL_RETRY_US`, as by the
        dispatcher.
        """
        if host_list is None:
            wait_s = self.random.random() * MAX_POLL_RETRY_US / 1e6
            self.retry = asyncio.get_running_loop().call_later(
                wait_s, self.watch.subscribe
            )
        elif host_list.version != self.list_version:
            self.list_version, self.listed_ns = host_list.version, time.monotonic_ns()
