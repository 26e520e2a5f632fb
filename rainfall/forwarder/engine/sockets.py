"""Division of the process's file descriptors between clients and endpoints."""

from __future__ import annotations

import resource
from contextlib import suppress

from rainfall.forwarder.admin import admin_server
from rainfall.forwarder.admin.admin_server import MAX_CONNECTIONS
from rainfall.forwarder.discovery.late_responses import MAX_LATE_CONNECTIONS
from rainfall.forwarder.inbound.server import (
    ACCEPT_BATCH,
    ACCEPT_LOOP_ITERATIONS,
    InboundServer,
)
from rainfall.forwarder.outbound.connection_pool import ConnectionPool

RESERVED_DESCRIPTORS = 24 + MAX_LATE_CONNECTIONS
"""Descriptors for everything but the connections of clients, operators and endpoints.

They are: 3 standard streams; 3 of the event loop; the clients' listener, the listener
inherited from the platform, and the operators' listener; the journal, the file that
replaces it during compaction, and its directory; the lock and its directory; the
handover's listener and connection; the connections of discovery and of the notifier,
each with a previous one that is closing; those of discovery's late responses; the
configuration file while it is read; and a few spare ones.
"""
ADMIN_DESCRIPTORS = (
    1 + MAX_CONNECTIONS + ACCEPT_LOOP_ITERATIONS * admin_server.ACCEPT_BATCH
)
"""Descriptors of the operators' listener and its connections."""
MIN_CONNECTIONS = 8
"""Minimum connections to endpoints, and from clients, however low the limit is."""


def allocate_sockets(sockets: int, pool: ConnectionPool, server: InboundServer) -> None:
    """Set the maximum numbers of connections to endpoints and from clients.

    Endpoints get a third of the descriptors and clients between a quarter and a half.
    What the rest of the process needs stays free, also while clients connect faster
    than idle connections can be closed to make room.

    Args:
        sockets: Descriptors that the process may use; the operating system's limit
            applies if it is lower.
        pool: The pool whose `max_connections` is set.
        server: The server whose `max_connections` is set.
    """
    with suppress(OSError, ValueError):
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if limit != resource.RLIM_INFINITY:
            sockets = min(sockets, limit)
    pool.max_connections = max(MIN_CONNECTIONS, sockets // 3)
    others = (
        pool.max_connections
        + RESERVED_DESCRIPTORS
        + ADMIN_DESCRIPTORS
        + ACCEPT_LOOP_ITERATIONS * ACCEPT_BATCH
    )
    server.max_connections = max(
        MIN_CONNECTIONS, sockets // 4, min(sockets // 2, sockets - others)
    )
