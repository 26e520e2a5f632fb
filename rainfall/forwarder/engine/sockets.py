"""How the process's file descriptors are shared between its connections."""

from __future__ import annotations

import resource
from contextlib import suppress

from rainfall.forwarder.admin import admin_server
from rainfall.forwarder.admin.admin_server import MAX_CONNECTIONS
from rainfall.forwarder.inbound.server import (
    ACCEPT_BATCH,
    ACCEPT_LOOP_TURNS,
    InboundServer,
)
from rainfall.forwarder.outbound.connection_pool import ConnectionPool

OWN_DESCRIPTORS = 24
"""Descriptors that the process holds beside its clients', operators' and endpoints'
connections: 3 standard ones; 3 of the event loop; the clients' listener, the one that
the platform passed, the operators' listener; the journal, its replacement while it is
compacted, its directory; the lock and its directory; the handover's listener and
connection; discovery's and the notifier's connections, each with a former one that is
just closing; the configuration file while it is read; a few to spare.
"""
ADMIN_DESCRIPTORS = 1 + MAX_CONNECTIONS + ACCEPT_LOOP_TURNS * admin_server.ACCEPT_BATCH
"""Descriptors of the operators' listener and its connections."""
LEAST_CONNECTIONS = 8
"""Connections that each side gets however low the limit is."""


def allocate_sockets(sockets: int, pool: ConnectionPool, server: InboundServer) -> None:
    """Set how many connections to endpoints and from clients there may be.

    What the rest of the process needs is left over, also while clients connect faster
    than connections are closed to make room. Clients with requests get a third at most;
    idle ones are closed for them.

    Args:
        sockets: Descriptors that the process may use; a lower limit of the operating
            system's goes before it.
        pool: Gets its share of connections to endpoints.
        server: Gets its share of connections from clients.
    """
    with suppress(OSError, ValueError):
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if limit != resource.RLIM_INFINITY:
            sockets = min(sockets, limit)
    pool.max_connections = max(LEAST_CONNECTIONS, sockets // 3)
    others = (
        pool.max_connections
        + OWN_DESCRIPTORS
        + ADMIN_DESCRIPTORS
        + ACCEPT_LOOP_TURNS * ACCEPT_BATCH
    )
    server.max_connections = max(
        LEAST_CONNECTIONS, sockets // 4, min(sockets // 2, sockets - others)
    )
