"""Endpoints, what they share, and the calls to them. Plain records.

Times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from rainfall.dispatch.queues import Message

NO_CALL_YET = -(1 << 40)
"""A time long before all others."""


ANY_ENDPOINT = -1
"""In a throttle scope's key: all endpoints of the destination share the scope."""


class AttemptKey(NamedTuple):
    """An attempt's name: the message and the number of the attempt, from 0."""

    message_id: str
    number: int


class ThrottleScopeKey(NamedTuple):
    """The name of a throttle scope."""

    destination: int
    endpoint: int
    """`ANY_ENDPOINT` where all endpoints of the destination share it."""


@dataclass(slots=True)
class ThrottleScope:
    """What shares a rate limit, a Retry-After and a concurrency window.

    A destination, or one endpoint where its kind is endpoint-scoped.
    """

    destination: int
    concurrency_window: float
    """Calls in flight at most; grows with success and is halved by a rejection."""
    latency_estimate: float = 0.0
    """Expected duration of a call: a decayed mean."""
    latency_seed: float = 0.0
    """The duration expected without any observation, of the class learned from last."""
    latency_updated_at: int = -1
    """When the estimate was last learned; -1 before the first call."""
    in_flight: int = 0
    """Calls in flight."""
    retry_after_until: int = 0
    """End of the wait that the destination asked for."""
    backoff_until: int = 0
    """End of the wait that we chose."""
    backoff: int = 0
    """Length of the last backoff; grows with each rejection in a row."""
    window_halved_at: int = -1
    reported_limit: float = 0.0
    """Rate limit that the destination reported, in calls a second; 0 without a report."""
    remaining_share: float = 1.0
    """Share of that limit that is left."""
    even_shares: float = 1.0
    """How many even shares (limit / forwarders) of the rate limit we take."""
    next_permit_at: int = 0
    """When our pace lets the next call go."""


@dataclass(slots=True)
class Endpoint:
    """One endpoint of a destination, as it is known."""

    id: int
    destination: int
    zone: str
    weight: float
    """Rate limit by the endpoint list, in calls a second; 0 where none is known."""
    throttle_scope: ThrottleScope
    kind: str = ""
    max_batch_size: int = 1
    """Messages in one call."""
    endpoint_scoped: bool = False
    """Its throttle scope is its own."""
    serving: bool = True
    """By the endpoint list; operators may have disabled it all the same."""
    in_flight: int = 0
    """Calls in flight."""
    failure_ratio: float = 0.0
    """Decayed share of its calls that failed."""
    last_attempt_at: int = NO_CALL_YET
    idle_since: int = -1
    """When a call to it last ended and left a connection; -1 where none is kept."""
    outage_started_at: int = -1
    """When the signs of an outage were seen; -1 while there are none."""
    recovered_at: int = -1
    """When it came back from the outage; -1 while that lasts."""
    last_failure_at: int = -1
    last_success_at: int = -1
    next_interval_factor: float = 1.0
    """In slow start the next call goes this many ramp intervals after the last: drawn
    around 1, and more after a call with several messages.
    """
    calls: list[Call] = field(default_factory=list)
    """Those in flight."""

    @property
    def in_outage(self) -> bool:
        """Whether the signs of an outage were seen and no call has succeeded since."""
        return self.outage_started_at >= 0 and self.recovered_at < 0


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight: messages released in one round to one endpoint."""

    endpoint: Endpoint
    sent_at: int
    connection_idle: int = 0
    """How long the connection that it may have taken had been idle."""
    since_previous_call: int = 0
    """How long after the last call to the same endpoint it was sent."""
    pending: int = 0
    """Messages that have no outcome yet."""
    batch_size: int = 0
    """Messages that it carries."""
    evaluated: bool = False
    """What it shows of the endpoint has been learned."""
    overtaken_by: int = 0
    """How many later calls to the same endpoint have been delivered."""
    attempt_keys: list[AttemptKey] = field(default_factory=list)
    """All attempts that it was begun with."""


@dataclass(slots=True)
class Attempt:
    """A message's part in a call."""

    message: Message
    call: Call
    sequence_number: int
    """Counts all attempts in the order of their sends."""
    cancel_requested: bool = False
