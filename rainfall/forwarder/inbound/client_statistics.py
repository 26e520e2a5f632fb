"""Counts why connections of clients are closed by the forwarder."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


class CloseReason(StrEnum):
    """Why the forwarder closes a client's connection; the value is the metric's key."""

    EVICTED = "evicted"
    """There were too many connections, and a new one came."""
    SILENT = "silent"
    """It sent no request for too long."""
    IDLE = "idle"
    """It had sent requests, and none for too long."""
    STALLED = "stalled"
    """A request was incomplete for too long, and is answered 408."""
    INPUT_LIMIT = "input_limit"
    """The requests of all clients occupied too much memory; answered 503."""
    MALFORMED = "malformed"
    """Its input was no valid request, or one that is too large."""
    UNREAD_RESPONSES = "unread_responses"
    """The client did not read its responses for too long."""
    ENDLESS_INPUT = "endless_input"
    """The client went on sending after its connection was shut down."""


class ClientStatistics:
    """Counters of the inbound server, from 0 at the start of the process."""

    def __init__(self) -> None:
        self.closed: Counter[CloseReason] = Counter()
        """Closed connections by reason."""
        self.logged: Counter[CloseReason] = Counter()
        """Value of `closed` at the last `take_recent_closes`."""
        self.ended_connections = 0
        """Connections that have ended, whoever closed them."""
        self.departed = 0
        """Requests that were rejected because their client had left."""

    def count_close(self, reason: CloseReason) -> None:
        """Count a connection that is closed."""
        self.closed[reason] += 1

    def take_recent_closes(self) -> Counter[CloseReason]:
        """Return the connections closed since the last call, by reason."""
        recent = self.closed - self.logged
        self.logged = self.closed.copy()
        return recent

    def report(self) -> dict[str, int]:
        """Return the closed connections by reason, for the metrics."""
        return {reason.value: self.closed[reason] for reason in CloseReason}
