"""The list service's limits on connections, queues, requests and epochs.

Each limit is a field, so that tests can set a small one.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

RESERVED_DESCRIPTORS = 24
"""Descriptors not used for connections: standard streams, event loop, listeners, files."""
MIN_CONNECTIONS = 8
"""Least number of connections, even if the descriptor limit is lower."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the service.

    A request or connection over a limit is answered 413, 400, or 503 with
    `Retry-After: 1`, or its connection is closed.
    """

    watchers: int = 10_000
    """Watches held at once, of the list and of the fleet together."""
    connections: int = 20_000
    """Open connections at all addresses."""
    unsent_bytes: int = 4 * 1024 * 1024
    """Bytes of answers buffered for one connection's peer.

    Above the limit the connection is aborted. A longer endpoint list is written in
    chunks, as its reader receives them.
    """
    send_timeout_s: float = 30.0
    """How long a peer may acknowledge nothing before the kernel ends the connection."""
    queued: int = 10_000
    """Length of each write queue: of changes, of posts of notices, and of fleet records."""
    body_bytes: int = 1024 * 1024
    """Bytes of a request's body."""
    head_bytes: int = 16 * 1024
    """Bytes of the request line and the headers together."""
    idle_s: float = 75.0
    """How long a connection may be idle, and how long a request's head may take."""
    body_timeout_s: float = 10.0
    """How long a request's body may take."""
    shutdown_timeout_s: float = 5.0
    """How long pending writes may take after SIGTERM."""
    epoch_burst: int = 3
    """Epochs that readers' claims may begin in a burst."""
    epoch_interval_s: float = 60.0
    """The interval at which readers' claims may begin one more epoch after a burst."""


def limit_by_descriptors(limits: Limits, descriptors: int) -> Limits:
    """Return the limits with `connections` capped for a number of descriptors.

    Above the descriptor limit a connection would not be accepted and would get no answer;
    above the limit of connections it is answered 503.
    """
    available = max(MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS)
    return replace(limits, connections=min(limits.connections, available))
