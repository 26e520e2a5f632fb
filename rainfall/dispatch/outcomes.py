"""Outcomes of attempts, and the groups of outcomes that the rules distinguish."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How one attempt ended. The values appear in logs and metrics."""

    DELIVERED = "delivered"
    FAILED = "failed"
    REJECTED = "full"
    """The destination refused the call, for instance because of its rate limit."""
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    UNREADABLE = "spoilt"
    """The response could not be parsed: the message may have been executed, and the
    outcome says little about the endpoint.
    """
    CANCELED = "canceled"
    NOT_SENT = "not sent"


# Tuples rather than sets: `in` compares enum members by identity, whereas a set calls
# Enum.__hash__, which is implemented in Python.
NEVER_EXECUTED = (Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT)
"""Outcomes that prove that the message was not executed."""
MAY_STILL_RUN = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELED)
"""Outcomes after which the endpoint may still be executing the message."""
UNINFORMATIVE_OUTCOMES = (Outcome.NOT_SENT, Outcome.CANCELED)
"""Outcomes that say nothing about the endpoint."""
OVERLOAD_SIGNALS = (Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.NO_CONNECTION)
"""Outcomes that halve the concurrency window."""
