"""How an attempt can end."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How one attempt ended. The values are those of logs and metrics."""

    DELIVERED = "delivered"
    FAILED = "failed"
    REJECTED = "full"
    """The destination refused the call, for instance above its rate limit."""
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    UNREADABLE = "spoilt"
    """The response could not be parsed: the message may have been executed, and
    little is known of the endpoint.
    """
    CANCELED = "canceled"
    NOT_SENT = "not sent"


# Tuples: they are compared by identity, while a set hashes each member in Python.
NEVER_EXECUTED = (Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
"""Outcomes that prove that the attempt had no effect."""
MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELED)
"""Outcomes after which the endpoint may still be executing the message."""
TELLS_NOTHING = (Outcome.NOT_SENT, Outcome.CANCELED)
"""Outcomes that say nothing of the endpoint."""
OVERLOAD_SIGNS = (Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.NO_CONNECTION)
"""Outcomes that halve the concurrency window."""
