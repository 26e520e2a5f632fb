"""Records of endpoints, throttle scopes, calls and attempts.

Plain data types without rules. Times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from rainfall.dispatch.queues import Message

NO_CALL_YET = -(1 << 40)
"""Value of `Endpoint.last_attempt_at` before the first call; earlier than all times."""


ANY_ENDPOINT = -1
"""In a throttle scope's key: all endpoints of the destination share one scope."""


class AttemptKey(NamedTuple):
    """Identifies an attempt by its message and its number, counted from 0."""

    message_id: str
    number: int


class ThrottleScopeKey(NamedTuple):
    """Identifies a throttle scope."""

    destination: int
    endpoint: int
    """Endpoint id, or `ANY_ENDPOINT` if the destination's endpoints share the scope."""


@dataclass(slots=True)
class ThrottleScope:
    """The endpoints that share a rate limit, a Retry-After and a concurrency window.

    These are all endpoints of a destination, or a single endpoint if the destination's
    kind is endpoint-scoped.
    """

    destination: int
    concurrency_window: float
    """Maximum number of calls in flight; grows with each success and is halved by signs
    of overload.
    """
    latency_estimate: float = 0.0
    """Expected duration of a call: an exponentially decayed mean."""
    latency_seed: float = 0.0
    """Duration expected without observations, for the class of the last call."""
    latency_updated_at: int = -1
    """When the estimate was last updated; -1 before the first observed call."""
    in_flight: int = 0
    """Calls in flight."""
    retry_after_until: int = 0
    """End of the Retry-After that the destination sent."""
    backoff_until: int = 0
    """End of this forwarder's own backoff."""
    backoff: int = 0
    """Length of the last backoff, without jitter; grows with consecutive rejections."""
    window_halved_at: int = -1
    """When the concurrency window was last halved; -1 if never."""
    reported_limit: float = 0.0
    """Rate limit reported by the destination in calls per second; 0 without one."""
    remaining_share: float = 1.0
    """Unused fraction of the reported limit."""
    even_shares: float = 1.0
    """Number of even shares (limit / forwarders) that this forwarder uses."""
    next_permit_at: int = 0
    """When the pace permits the next call."""


@dataclass(slots=True)
class Endpoint:
    """One endpoint of a destination and the observations of it."""

    id: int
    destination: int
    zone: str
    weight: float
    """Rate limit from the endpoint list, in calls per second; 0 if unknown."""
    throttle_scope: ThrottleScope
    kind: str = ""
    """Name of the destination's kind."""
    max_batch_size: int = 1
    """Maximum number of messages in one call."""
    endpoint_scoped: bool = False
    """Whether the endpoint has a throttle scope of its own."""
    serving: bool = True
    """Whether the endpoint list says that it serves. Operators may have disabled it."""
    in_flight: int = 0
    """Calls in flight."""
    failure_ratio: float = 0.0
    """Fraction of its calls that failed, as an exponentially decayed mean."""
    last_attempt_at: int = NO_CALL_YET
    """When an attempt was last sent to it."""
    idle_since: int = -1
    """When the last call ended and left an idle connection; -1 if there is none."""
    outage_started_at: int = -1
    """When the current or last outage was detected; -1 if there was none."""
    recovered_at: int = -1
    """Estimated end of the outage; -1 while it lasts."""
    last_failure_at: int = -1
    """When a call last failed; -1 if none has."""
    last_success_at: int = -1
    """When a call last succeeded; -1 if none has."""
    next_interval_factor: float = 1.0
    """In slow start, the time from the last call to the next in ramp intervals: a
    random number around 1, larger after a call with several messages.
    """
    calls: list[Call] = field(default_factory=list)
    """Calls in flight."""

    @property
    def in_outage(self) -> bool:
        """Whether an outage was detected and the endpoint has not recovered since."""
        return self.outage_started_at >= 0 and self.recovered_at < 0


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight, with one or more messages sent in the same round."""

    endpoint: Endpoint
    sent_at: int
    connection_idle: int = 0
    """How long the connection that the call may have reused had been idle."""
    since_previous_call: int = 0
    """Time from the previous call to the same endpoint to this one."""
    pending: int = 0
    """Number of its messages without an outcome."""
    batch_size: int = 0
    """Number of messages in the call."""
    evaluated: bool = False
    """Whether its outcome has been used to update the endpoint's statistics."""
    overtaken_by: int = 0
    """Number of later calls to the same endpoint that were delivered first."""
    attempt_keys: list[AttemptKey] = field(default_factory=list)
    """All attempts that were sent with the call."""


@dataclass(slots=True)
class Attempt:
    """One attempt in flight: a message within a call."""

    message: Message
    call: Call
    sequence_number: int
    """Position among all attempts of the dispatcher, in the order sent."""
    cancel_requested: bool = False
