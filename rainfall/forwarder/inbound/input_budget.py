"""Limit of the memory that the requests of all clients together occupy.

Each connection is limited by itself, too, but hundreds of them at their limits would
exceed the memory of the process. Above the limit, requests are answered 503: first the
incomplete ones that have been received for longest, as sound clients send a request at
once, then the complete ones that wait for the response to an earlier one.
"""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus
from typing import Protocol

from rainfall.forwarder.inbound.requests import BadRequestError

RETAINED_FRACTION = 0.875
"""Part of the limit down to which requests are rejected once it is exceeded."""
RETRY_AFTER_S = "1"
"""Value of the Retry-After header of a request that is rejected for the limit, in
seconds.
"""


class BufferingConnection(Protocol):
    """What the budget needs of a connection."""

    def held_bytes(self) -> int:
        """Return an estimate of the memory of the connection's requests."""

    def incomplete_since_us(self) -> int | None:
        """Return when its incomplete request began; None if there is none to reject."""

    def reject_incomplete(self, error: BadRequestError) -> None:
        """Answer the incomplete request with an error, and drop its content."""

    def reject_queued(self, error: BadRequestError) -> None:
        """Answer the waiting requests with an error, and drop their content."""


class InputBudget:
    """Sums up what the requests of all connections occupy, and frees what is too much."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        """Value of `held_bytes` above which requests are rejected."""
        self.held_bytes = 0
        self.peak_bytes = 0
        """Highest value of `held_bytes` so far."""
        self.recent_peak_bytes = 0
        """Highest value since the last `take_recent_peak_bytes`."""
        self.rejected_requests = 0
        """Connections whose requests were rejected for the limit so far."""
        self.enforced_above_bytes = limit_bytes
        """Value of `held_bytes` above which requests are rejected again. Higher than the
        limit where the last time could not free enough.
        """
        self.by_connection: dict[BufferingConnection, int] = {}
        """Bytes of each connection that holds any."""

    def update(self, connection: BufferingConnection) -> None:
        """Count what a connection holds now."""
        previous = self.by_connection.get(connection, 0)
        current = connection.held_bytes()
        if current == previous:
            return
        if current:
            self.by_connection[connection] = current
        else:
            del self.by_connection[connection]
        self.held_bytes += current - previous
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        self.recent_peak_bytes = max(self.recent_peak_bytes, self.held_bytes)

    def take_recent_peak_bytes(self) -> int:
        """Return the highest value of `held_bytes` since the last call."""
        peak_bytes, self.recent_peak_bytes = self.recent_peak_bytes, self.held_bytes
        return peak_bytes

    def is_exceeded(self) -> bool:
        """Return whether no connection should read ahead."""
        return self.held_bytes > self.limit_bytes

    def enforce(self) -> None:
        """Reject requests if they exceed the limit."""
        if self.held_bytes <= self.limit_bytes:
            self.enforced_above_bytes = self.limit_bytes
        elif self.held_bytes > self.enforced_above_bytes:
            self._free()
            self.enforced_above_bytes = max(
                self.limit_bytes, int(self.held_bytes / RETAINED_FRACTION)
            )

    def _free(self) -> None:
        """Reject requests until the rest is within RETAINED_FRACTION of the limit."""
        target_bytes = int(RETAINED_FRACTION * self.limit_bytes)
        error = BadRequestError(
            HTTPStatus.SERVICE_UNAVAILABLE, "full", retry_after_s=RETRY_AFTER_S
        )
        for connection in self._incomplete_first():
            if self.held_bytes <= target_bytes:
                return
            connection.reject_incomplete(error)
            self._count_rejection(connection)
        for connection in self._largest_first():
            if self.held_bytes <= target_bytes:
                return
            connection.reject_queued(error)
            self._count_rejection(connection)

    def _count_rejection(self, connection: BufferingConnection) -> None:
        self.rejected_requests += 1
        self.update(connection)

    def _incomplete_first(self) -> Iterable[BufferingConnection]:
        """Return the connections with an incomplete request, the longest ones first."""
        started = {
            connection: since_us
            for connection in self.by_connection
            if (since_us := connection.incomplete_since_us()) is not None
        }
        return sorted(started, key=started.__getitem__)

    def _largest_first(self) -> Iterable[BufferingConnection]:
        return sorted(
            self.by_connection, key=self.by_connection.__getitem__, reverse=True
        )
