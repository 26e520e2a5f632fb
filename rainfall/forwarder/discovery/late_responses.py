"""Responses of requests that timed out, which are still read if they come.

A service that answers each request too late would otherwise never be heard, however
often it is asked. Each late response is read on the connection of its own request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rainfall.forwarder.discovery.http_connection import HttpConnection
from rainfall.forwarder.http1 import ResponseReader

MAX_LATE_CONNECTIONS = 2
"""Maximum number of connections with a late response; later requests are given up."""
LATE_RESPONSE_S = 3.0
"""How long after its timeout a response may still come."""


class LateResponses:
    """Keeps the connections of a few requests that timed out, until their responses."""

    def __init__(self, on_response: Callable[[ResponseReader], None]) -> None:
        """Create an empty set of connections.

        Args:
            on_response: Called with each late response that is complete.
        """
        self.on_response = on_response
        self.timers: dict[HttpConnection, asyncio.TimerHandle] = {}
        """The end of the wait, by connection."""

    def has_room(self) -> bool:
        """Return whether another connection can be kept."""
        return len(self.timers) < MAX_LATE_CONNECTIONS

    def keep(self, connection: HttpConnection) -> None:
        """Go on reading the response of a request that timed out."""
        self.timers[connection] = asyncio.get_running_loop().call_later(
            LATE_RESPONSE_S, self._drop, connection
        )
        connection.await_late_response(lambda: self._on_end(connection))

    def _on_end(self, connection: HttpConnection) -> None:
        """Pass on a response that has come, and close its connection."""
        if connection not in self.timers:
            return
        self._drop(connection)
        if connection.error is None:
            self.on_response(connection.reader)

    def _drop(self, connection: HttpConnection) -> None:
        timer = self.timers.pop(connection, None)
        if timer is not None:
            timer.cancel()
        connection.close()

    def close(self) -> None:
        """Give up all late responses."""
        for connection in list(self.timers):
            self._drop(connection)
