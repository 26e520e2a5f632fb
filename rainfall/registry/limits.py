"""What the list service may hold at once.

Each bound is a field, so that tests reach it with a small one.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

RESERVED_DESCRIPTORS = 24
"""Descriptors that the process holds beside connections: the standard ones, the loop's,
listeners, files.
"""
MIN_CONNECTIONS = 8


@dataclass(frozen=True, slots=True)
class Limits:
    """Past a bound the peer is answered (413, 400, 503 with `Retry-After: 1`) or its
    connection is closed.
    """

    watchers: int = 10_000
    """Watches held at once, of the list and of the fleet together."""
    connections: int = 20_000
    """Open connections at all addresses."""
    unsent_bytes: int = 4 * 1024 * 1024
    """Answers that one connection has not taken yet; past it the connection is cut. A
    list that is longer is written in pieces, as its reader takes them.
    """
    send_timeout_s: float = 30.0
    """How long a peer may take none of what was sent to it before the kernel cuts the
    connection.
    """
    queued: int = 10_000
    """Changes that wait for the writer; notices' posts that wait for theirs."""
    body_bytes: int = 1024 * 1024
    """Bytes of a request's body."""
    head_bytes: int = 16 * 1024
    """Bytes of the request line and headers together; 8 KiB for one of them."""
    idle_s: float = 75.0
    """Between requests, and for a head to come whole."""
    body_timeout_s: float = 10.0
    """For the body of a request to come whole."""
    shutdown_timeout_s: float = 5.0
    """From SIGTERM on, for what was asked before it to be kept and answered."""
    epoch_burst: int = 3
    """Epochs that readers' claims may begin at once ..."""
    epoch_interval_s: float = 60.0
    """... and one more after each such time."""


def limit_by_descriptors(limits: Limits, descriptors: int) -> Limits:
    """Bounds with no more connections than so many descriptors allow.

    Past the kernel's limit a connection would stand unaccepted, with no answer; past
    this bound it is answered 503.
    """
    most = max(MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS)
    return replace(limits, connections=min(limits.connections, most))
