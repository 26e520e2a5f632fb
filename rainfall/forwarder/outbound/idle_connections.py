"""Connections to endpoints without a call: kept, and closed before the endpoints do."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rainfall.forwarder.config.address import Address
from rainfall.forwarder.outbound.connection import EndpointConnection
from rainfall.forwarder.units import US_PER_SECOND

DEFAULT_IDLE_TIMEOUT_US = 60 * US_PER_SECOND
"""Endpoints are taken to close idle connections after this where it is not known."""
IDLE_MARGIN_US = 700_000
"""An idle connection is closed so long before its endpoint would: a reset costs an
attempt.
"""
SWEEP_INTERVAL_S = 0.2
"""Between two looks for connections that have been idle too long."""
AGE_CLASSES = 64
"""Classes of idle times, by powers of two of a microsecond."""
STALE_SHARE_WEIGHT = 0.2
"""Weight of the newest call in the share of idle connections that were stale."""
STALE_SHARE_LIMIT = 0.3
"""Idle connections of an age whose share is higher are not used."""
STALE_SHARE_DECAY = 0.97
"""Factor on that share for each connection that is not used: in the end one is."""
MAX_IDLE_PER_ENDPOINT = 4
"""Idle connections kept to one endpoint: some accept few, and count idle ones."""


class IdleConnections:
    """All connections of a pool, and which of them are idle."""

    def __init__(self, clock: Callable[[], int], idle_us: int) -> None:
        self.clock = clock
        self.set_idle_timeout(idle_us)
        self.stale_shares = [0.0] * AGE_CLASSES
        """Share of stale connections among those that were used, by class of age."""
        self.idle: dict[int, list[EndpointConnection]] = {}
        """Idle connections by endpoint, the longest idle first."""
        self.connections: set[EndpointConnection] = set()
        self.dial_tasks: set[asyncio.Task[None]] = set()
        self.addresses: dict[int, Address] = {}
        self.sweeping = False

    def set_idle_timeout(self, idle_us: int) -> None:
        """Set after how long endpoints close idle connections; 0 if not known."""
        endpoint_timeout_us = idle_us or DEFAULT_IDLE_TIMEOUT_US
        self.idle_timeout_us = max(0, endpoint_timeout_us - IDLE_MARGIN_US)

    def set_endpoints(self, addresses: dict[int, Address]) -> None:
        """Apply a new endpoint list.

        An endpoint that is not at the same address any more gets no new call there, and
        its idle connections are closed.
        """
        for endpoint, address in self.addresses.items():
            if addresses.get(endpoint) != address:
                self.close_idle(endpoint)
        self.addresses = addresses

    def close_idle(self, target: int) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self.idle.pop(target, []):
            connection.close()

    def close_longest_idle(self) -> bool:
        """Make room by closing the connection that has been idle longest, if any is."""
        candidates = [
            (connection.idle_since_us, position, endpoint)
            for endpoint, connections in self.idle.items()
            for position, connection in enumerate(connections)
        ]
        if not candidates:
            return False
        _, position, endpoint = min(candidates)
        self.idle[endpoint].pop(position).close()
        return True

    def record_staleness(self, age_us: int, stale: bool) -> None:
        """Learn whether a connection that was idle so long was stale.

        Some endpoints close idle connections sooner than the settings say, which shows
        only in a call. A negative age, of a new connection, says nothing.
        """
        if age_us >= 0:
            age_class = age_us.bit_length()
            share = self.stale_shares[age_class]
            self.stale_shares[age_class] += STALE_SHARE_WEIGHT * (stale - share)

    def is_age_trusted(self, age_us: int) -> bool:
        """Whether a connection that was idle so long may be used.

        Each refusal lowers the share, so that in the end one is used again.
        """
        age_class = age_us.bit_length()
        share = self.stale_shares[age_class]
        if share > STALE_SHARE_LIMIT:
            self.stale_shares[age_class] = share * STALE_SHARE_DECAY
        return share <= STALE_SHARE_LIMIT

    def keep_idle(self, connection: EndpointConnection, target: int) -> None:
        """Keep a connection without a call for the next one, or close it."""
        idle = self.idle.setdefault(target, [])
        # The endpoint may have moved during the call: at its former address may be
        # another now.
        if (
            self.addresses.get(target) != connection.address
            or self.idle_timeout_us <= 0
            or len(idle) >= MAX_IDLE_PER_ENDPOINT
        ):
            connection.close()
            return
        # If it was idle and carried no call since, its endpoint has counted on.
        if connection.idle_since_us < 0:
            connection.idle_since_us = self.clock()
        idle.append(connection)
        if not self.sweeping:
            self.sweeping = True
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def sweep(self) -> None:
        """Close what has been idle too long, again while any connection is idle."""
        expired_before = self.clock() - self.idle_timeout_us
        for endpoint, idle in list(self.idle.items()):
            for connection in idle:
                if connection.idle_since_us < expired_before:
                    connection.close()
            kept = [
                c
                for c in idle
                if c.idle_since_us >= expired_before and not c.is_closing()
            ]
            if kept:
                self.idle[endpoint] = kept
            else:
                del self.idle[endpoint]
        self.sweeping = bool(self.idle)
        if self.sweeping:
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def on_connection_lost(self, connection: EndpointConnection) -> None:
        """Forget a connection."""
        self.connections.discard(connection)
        for idle in self.idle.values():
            if connection in idle:
                idle.remove(connection)

    def retire(self) -> None:
        """Keep no connection from now on; calls in flight go on."""
        self.idle_timeout_us = 0
        for endpoint in list(self.idle):
            self.close_idle(endpoint)

    def close(self) -> None:
        """Close all connections; nothing is sent on one that comes up late, either."""
        self.addresses = {}
        for dial in list(self.dial_tasks):
            dial.cancel()
        for connection in list(self.connections):
            connection.close()
