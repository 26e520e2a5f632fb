"""Chooses the connection that is closed when there are too many."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import IntEnum

from rainfall.forwarder.inbound.client_connection import ClientConnection

FIRST_REQUEST_WAIT_US = 400_000
"""How long clients wait for a response; they send their request right after connecting.
A connection that is older has had the time for a request.
"""


class EvictionGroup(IntEnum):
    """Eviction order of connections: those of the lowest group are closed first."""

    DISCARDING_INPUT = 0
    """Input is being discarded: a request was rejected, or the connection closes."""
    NO_REQUEST_SUSPECT = 1
    """No complete request so far, although the oldest such connection had the time for
    one, or such connections are more than half of the limit.
    """
    IDLE = 2
    """Complete requests so far, and none at present."""
    INCOMPLETE = 3
    """Complete requests so far, and the next one is incomplete."""
    NO_REQUEST_NEW = 4
    """No complete request so far, and possibly no time for one."""


EvictionRank = tuple[EvictionGroup, int]
"""The group, and the time of the last use or of connecting in microseconds: the oldest
connection of a group is evicted first. A plain tuple is cheap, and under a flood all
connections are ranked again for each new one.
"""


def choose_evicted(
    connections: Iterable[ClientConnection],
    newest: ClientConnection,
    max_connections: int,
    now_us: int,
) -> ClientConnection:
    """Return the connection to close for the newest one.

    A connection with unread input, or with a complete request that has no response, is
    not evicted. If there is no other, the newest one is.

    Args:
        connections: All open connections.
        newest: The connection that exceeds the limit.
        max_connections: The limit.
        now_us: The current time, by the clock of the connections.
    """
    evictable = [
        connection
        for connection in connections
        if connection is not newest
        and connection.active_request is None
        and not connection.queued_requests
    ]
    rank = eviction_order(evictable, max_connections, now_us)
    for candidate in sorted(evictable, key=rank):
        # Unread input may be a request, and closing would reset the connection.
        if candidate.discarding_input or not candidate.has_unread_input():
            return candidate
    return newest


def eviction_order(
    evictable: list[ClientConnection], max_connections: int, now_us: int
) -> Callable[[ClientConnection], EvictionRank]:
    """Return the sort key that orders connections for eviction.

    Connections whose input is discarded come first. Connections without a complete
    request follow, the oldest first, if they are many or one has had the time for a
    request, so that clients that are silent or send endless incomplete requests do not
    evict those that send complete ones. Then comes the connection idle longest.
    Otherwise connections without a complete request come last, so that idle connections
    do not evict a new one whose input has not been read yet.
    """
    first_request_waits = [
        connection.connected_at_us
        for connection in evictable
        if not connection.request_count and not connection.discarding_input
    ]
    is_suspect = (
        2 * len(first_request_waits) > max_connections
        or now_us - min(first_request_waits, default=0) >= FIRST_REQUEST_WAIT_US
    )
    no_request_group = (
        EvictionGroup.NO_REQUEST_SUSPECT if is_suspect else EvictionGroup.NO_REQUEST_NEW
    )

    def rank(connection: ClientConnection) -> EvictionRank:
        if connection.discarding_input:
            return EvictionGroup.DISCARDING_INPUT, connection.last_used_us
        if not connection.request_count:
            return no_request_group, connection.connected_at_us
        group = EvictionGroup.IDLE if connection.is_idle() else EvictionGroup.INCOMPLETE
        return group, connection.last_used_us

    return rank
