"""Connections to targets that are open without a call: kept, and let go before their
targets do.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rainfall.forwarder.config.address import Address
from rainfall.forwarder.outbound.connection import EndpointConnection

US_PER_SECOND = 1_000_000
# an idle connection is closed so long before its target would: a reset costs a try
IDLE_MARGIN_US = 700_000
SWEEP_INTERVAL_S = 0.2
STALE_SHARE_WEIGHT = (
    0.2  # weight of the newest call in the share of idle connections that were stale
)
STALE_SHARE_LIMIT = 0.3  # share above which those are not used
STALE_SHARE_DECAY = 0.97  # each that is not used lowers it by this
MAX_IDLE_PER_ENDPOINT = (
    4  # idle connections kept to one target: some take only few, idle ones counted
)


class IdleConnections:
    """What a pool has beside its calls."""

    def __init__(self, clock: Callable[[], int], idle_us: int) -> None:
        self.clock = clock
        self.set_idle_timeout(idle_us)
        self.stale_shares = [0.0] * 64
        self.idle: dict[int, list[EndpointConnection]] = {}
        self.connections: set[EndpointConnection] = set()
        self.dial_tasks: set[asyncio.Task[None]] = set()
        self.addresses: dict[int, Address] = {}
        self.sweeping = False

    def set_idle_timeout(self, idle_us: int) -> None:
        """Targets close idle connections after so long; 0 where that is not known."""
        self.idle_timeout_us = max(0, (idle_us or 60 * US_PER_SECOND) - IDLE_MARGIN_US)

    def set_endpoints(self, addresses: dict[int, Address]) -> None:
        """The list changed: what is not in it any more gets no new call, and keeps no
        idle connection.
        """
        for target, address in self.addresses.items():
            if addresses.get(target) != address:
                self.close_idle(target)
        self.addresses = addresses

    def close_idle(self, target: int) -> None:
        for connection in self.idle.pop(target, []):
            connection.close()

    def close_longest_idle(self) -> bool:
        """Too many sockets: the connection that has been idle longest goes."""
        candidates = [
            (c.idle_since_us, n, t)
            for t, cs in self.idle.items()
            for n, c in enumerate(cs)
        ]
        if not candidates:
            return False
        _, n, target = min(candidates)
        self.idle[target].pop(n).close()
        return True

    def record_staleness(self, age_us: int, stale: bool) -> None:
        """Whether a kept connection broke at once under its call.

        Some targets let go of idle ones sooner than the settings say, and tell only who
        writes to them: it is learned for each age, by powers of two.
        """
        if age_us >= 0:
            share = self.stale_shares[age_us.bit_length()]
            self.stale_shares[age_us.bit_length()] += STALE_SHARE_WEIGHT * (
                stale - share
            )

    def is_age_trusted(self, age_us: int) -> bool:
        """Whether a connection idle for so long may be used; one that may not is tried
        again in a while.
        """
        share = self.stale_shares[age_us.bit_length()]
        if share > STALE_SHARE_LIMIT:
            self.stale_shares[age_us.bit_length()] = share * STALE_SHARE_DECAY
        return share <= STALE_SHARE_LIMIT

    def keep_idle(self, connection: EndpointConnection, target: int) -> None:
        idle = self.idle.setdefault(target, [])
        # A target may have moved during the call: who is at its old address now is
        # another.
        if (
            self.addresses.get(target) != connection.address
            or self.idle_timeout_us <= 0
            or len(idle) >= MAX_IDLE_PER_ENDPOINT
        ):
            connection.close()
            return
        if (
            connection.idle_since_us < 0
        ):  # else it carried no call since: its target has counted on
            connection.idle_since_us = self.clock()
        idle.append(connection)
        if not self.sweeping:
            self.sweeping = True
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def sweep(self) -> None:
        expired_before = self.clock() - self.idle_timeout_us
        for target, idle in list(self.idle.items()):
            for connection in idle:
                if connection.idle_since_us < expired_before:
                    connection.close()
            kept = [
                c
                for c in idle
                if c.idle_since_us >= expired_before and not c.is_closing()
            ]
            if kept:
                self.idle[target] = kept
            else:
                del self.idle[target]
        self.sweeping = bool(self.idle)
        if self.sweeping:
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def on_connection_lost(self, connection: EndpointConnection) -> None:
        self.connections.discard(connection)
        for held in self.idle.values():
            if connection in held:
                held.remove(connection)

    def retire(self) -> None:
        """Only end what is out: no connection is kept any more."""
        self.idle_timeout_us = 0
        for target in list(self.idle):
            self.close_idle(target)

    def close(self) -> None:
        """Nothing leaves any more, on whatever connection comes up late."""
        self.addresses = {}
        for dial in list(self.dial_tasks):
            dial.cancel()
        for connection in list(self.connections):
            connection.close()
