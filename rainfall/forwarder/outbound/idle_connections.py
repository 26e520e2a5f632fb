"""Idle connections to endpoints, kept for reuse.

Each is closed a little before its endpoint would close it, since a call on a connection
that the endpoint closes costs an attempt.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rainfall.forwarder.config.address import Address
from rainfall.forwarder.outbound.connection import EndpointConnection
from rainfall.forwarder.units import US_PER_SECOND

DEFAULT_IDLE_TIMEOUT_US = 60 * US_PER_SECOND
"""Idle timeout that is assumed of endpoints where the settings give none."""
IDLE_MARGIN_US = 700_000
"""How long before its endpoint's idle timeout a connection is closed: a reset costs an
attempt.
"""
SWEEP_INTERVAL_S = 0.2
"""Interval at which idle connections are checked for expiry."""
AGE_CLASSES = 64
"""Number of classes of idle times; each spans a power of two, in microseconds."""
STALE_SHARE_WEIGHT = 0.2
"""Weight of the latest call in a class's moving average of stale connections."""
STALE_SHARE_LIMIT = 0.3
"""Connections of a class with a higher share of stale ones are not reused."""
STALE_SHARE_DECAY = 0.97
"""Factor on the share of stale ones for each connection that is not reused, so that
the class is tried again eventually.
"""
MAX_IDLE_PER_ENDPOINT = 4
"""Maximum number of idle connections per endpoint: some endpoints accept only a few
connections, idle ones included.
"""


class IdleConnections:
    """All connections of a pool, and the ones among them that are idle.

    The base of `ConnectionPool`.
    """

    def __init__(self, clock: Callable[[], int], endpoint_idle_timeout_us: int) -> None:
        self.clock = clock
        self.set_idle_timeout(endpoint_idle_timeout_us)
        self.stale_shares = [0.0] * AGE_CLASSES
        """Share of reused connections that were stale, by class of idle time."""
        self.idle: dict[int, list[EndpointConnection]] = {}
        """Idle connections by endpoint, in the order in which they became idle."""
        self.connections: set[EndpointConnection] = set()
        """All open connections, idle or with a call."""
        self.dial_tasks: set[asyncio.Task[None]] = set()
        """Connections that are being established."""
        self.addresses: dict[int, Address] = {}
        """Addresses of the endpoints that may be called, by endpoint."""
        self.sweeping = False
        """A call of `sweep` is scheduled; this is so while any connection is idle."""

    def set_idle_timeout(self, endpoint_idle_timeout_us: int) -> None:
        """Set the endpoints' idle timeout in microseconds; 0 for the default."""
        assumed_timeout_us = endpoint_idle_timeout_us or DEFAULT_IDLE_TIMEOUT_US
        self.idle_timeout_us = max(0, assumed_timeout_us - IDLE_MARGIN_US)
        """Idle connections are closed after this time; if it is 0, none is kept."""

    def set_endpoints(self, addresses: dict[int, Address]) -> None:
        """Apply a new endpoint list.

        If an endpoint was removed or has another address, its idle connections are
        closed and no call is sent to the former address any more.
        """
        for endpoint, address in self.addresses.items():
            if addresses.get(endpoint) != address:
                self.close_idle(endpoint)
        self.addresses = addresses

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self.idle.pop(endpoint, []):
            connection.close()

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest.

        Returns:
            Whether there was one.
        """
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
        """Record whether a reused connection was stale.

        Some endpoints close idle connections earlier than the settings state, which is
        noticed only at the next call.

        Args:
            age_us: How long the connection was idle; negative for a new one, which is
                ignored.
            stale: Whether it was stale.
        """
        if age_us >= 0:
            age_class = age_us.bit_length()
            share = self.stale_shares[age_class]
            self.stale_shares[age_class] += STALE_SHARE_WEIGHT * (stale - share)

    def is_age_trusted(self, age_us: int) -> bool:
        """Whether a connection that was idle for this time may be reused.

        Each False lowers the class's share of stale ones, so that eventually such a
        connection is tried again.
        """
        age_class = age_us.bit_length()
        share = self.stale_shares[age_class]
        if share > STALE_SHARE_LIMIT:
            self.stale_shares[age_class] = share * STALE_SHARE_DECAY
        return share <= STALE_SHARE_LIMIT

    def _take_idle(self, endpoint: int) -> EndpointConnection | None:
        """Return an idle connection that can be reused, if there is one.

        That is the most recently used one whose pause is over, or else the one whose
        pause ends first. Connections that cannot be reused are closed on the way.
        """
        idle = self.idle.get(endpoint, [])
        while idle:
            now = self.clock()
            rested = sum(candidate.reusable_at_us <= now for candidate in idle)
            connection = idle.pop(max(0, rested - 1))
            if connection.is_reusable() and self.is_age_trusted(
                now - connection.idle_since_us
            ):
                return connection
            connection.close()
        return None

    def reuse_pause_us(self, connection: EndpointConnection) -> int:
        """Return how much of a connection's pause after a response is left."""
        return max(0, connection.reusable_at_us - self.clock())

    def keep_idle(self, connection: EndpointConnection, endpoint: int) -> None:
        """Keep a connection without a call for reuse, or close it."""
        idle = self.idle.setdefault(endpoint, [])
        # The endpoint's address may have changed during the call, and another endpoint
        # may have the former one by now.
        if (
            self.addresses.get(endpoint) != connection.address
            or self.idle_timeout_us <= 0
            or len(idle) >= MAX_IDLE_PER_ENDPOINT
        ):
            connection.close()
            return
        # A connection that was taken but carried no call keeps its time: the endpoint's
        # idle timeout is still running.
        if connection.idle_since_us < 0:
            connection.idle_since_us = self.clock()
        idle.append(connection)
        idle.sort(key=lambda candidate: candidate.idle_since_us)
        if not self.sweeping:
            self.sweeping = True
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def sweep(self) -> None:
        """Close expired connections; repeated while any connection is idle."""
        expired_before = self.clock() - self.idle_timeout_us
        for endpoint, idle in list(self.idle.items()):
            for connection in idle:
                if connection.idle_since_us < expired_before:
                    connection.close()
            kept = [
                candidate
                for candidate in idle
                if candidate.idle_since_us >= expired_before
                and not candidate.is_closing()
            ]
            if kept:
                self.idle[endpoint] = kept
            else:
                del self.idle[endpoint]
        self.sweeping = bool(self.idle)
        if self.sweeping:
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def on_connection_lost(self, connection: EndpointConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        for idle in self.idle.values():
            if connection in idle:
                idle.remove(connection)

    def retire(self) -> None:
        """Close all idle connections, and keep none from now on.

        Calls in flight continue.
        """
        self.idle_timeout_us = 0
        for endpoint in list(self.idle):
            self.close_idle(endpoint)

    def close(self) -> None:
        """Close all connections, and cancel those being established.

        Without addresses, no call is sent on a connection that is established later.
        """
        self.addresses = {}
        for dial in list(self.dial_tasks):
            dial.cancel()
        for connection in list(self.connections):
            connection.close()
