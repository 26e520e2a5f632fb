"""The list service's limits on connections, queues, requests and epochs.

Each limit is a field, so that tests can set a small one.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

RESERVED_DESCRIPTORS = 24
"""Descriptors used beside connections: standard ones, event loop, listeners, files."""
MIN_CONNECTIONS = 8
"""Connections allowed even where the process has hardly any descriptors."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the service holds at once.

    Past a limit the peer is answered (413, 400, or 503 with `Retry-After: 1`), or its
    connection is closed.
    """

    watchers: int = 10_000
    """Watches held at once, of the list and of the fleet together."""
    connections: int = 20_000
    """Open connections at all addresses."""
    unsent_bytes: int = 4 * 1024 * 1024
    """Bytes of answers that one connection's peer has not read yet.

    Past it the connection is aborted. An endpoint list that is longer is written in
    chunks, as its reader receives them.
    """
    send_timeout_s: float = 30.0
    """How long a peer may acknowledge nothing before the kernel ends the connection."""
    queued: int = 10_000
    """Changes that wait to be written; as many posts of notices, and fleet records."""
    body_bytes: int = 1024 * 1024
    """Bytes of a request's body."""
    head_bytes: int = 16 * 1024
    """Bytes of the request line and the headers together."""
    idle_s: float = 75.0
    """How long a connection may be idle, and how long a request's head may take."""
    body_timeout_s: float = 10.0
    """How long a request's body may take."""
    shutdown_timeout_s: float = 5.0
    """How long writes may take that were asked for before SIGTERM."""
    epoch_burst: int = 3
    """Epochs that readers' claims may begin without a pause."""
    epoch_interval_s: float = 60.0
    """After this time readers' claims may begin one more epoch."""


def limit_by_descriptors(limits: Limits, descriptors: int) -> Limits:
    """The limits with no more connections than so many descriptors allow.

    Past the kernel's limit a connection would not be accepted and get no answer; past
    this limit it is answered 503.
    """
    available = max(MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS)
    return replace(limits, connections=min(limits.connections, available))
