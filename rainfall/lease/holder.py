"""The holder's state of a lease: whether it is valid by the holder's own clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.types import holder_validity_us

MAX_PENDING_REQUESTS = 8
"""Requests without an answer yet; answers to older ones arrive too late to be useful."""
INITIAL_BACKOFF_US = 50_000
"""Upper limit of the random delay after the first failure."""
BACKOFF_DOUBLINGS_LIMIT = 20
"""Most times that the backoff doubles; the renewal interval limits it long before."""
RENEWALS_PER_LEASE = 3
"""Renewals sent in the validity of a lease: one without an answer can be retried twice."""
RENEWAL_JITTER_DIVISOR = 4
"""A renewal is sent earlier by a random time of up to interval / this."""


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A request to acquire or renew the lease, recorded before it is sent."""

    number: int
    sent_at_us: int
    token: Token | None
    """The token to renew; None to acquire a lease."""
    highest_seen: Token


class LeaseHolder:
    """One lease of one process.

    Call `start_request` before a request is sent, then one of `on_granted`,
    `on_rejected` or `on_unavailable` with the request's number, or `on_no_answer`.
    `random` returns floats from 0 to below 1. All times are of the holder's own clock,
    in microseconds.
    """

    def __init__(self, ttl_us: int, drift: float, random: Callable[[], float]) -> None:
        self.ttl_us = ttl_us
        self.drift = drift
        self._random = random
        self.token: Token | None = None
        self.valid_until_us = 0
        """End of the lease by this clock: from this time on `may_act` is false."""
        self.next_renewal_us = 0
        """When to send the next request."""
        self.highest_seen = ZERO_TOKEN
        """The highest token seen anywhere.

        It is sent with every request; a service whose epoch is lower raises its epoch.
        """
        self._ended_through = ZERO_TOKEN
        """This token and all lower ones have ended; late answers with them are ignored."""
        self._pending_requests: dict[int, LeaseRequest] = {}
        self._last_request = 0
        self._last_answered = 0
        self._failure_count = 0
        self._now_us = 0

    def may_act(self, now_us: int) -> bool:
        """Whether the lease is valid.

        Call this right before each guarded action, and send `token` with the action.
        """
        self._advance_clock(now_us)
        return self._is_valid(now_us)

    def invalidate(self) -> None:
        """Discard the validity because the clock went back or the machine was suspended.

        Requests without an answer are discarded; the lease is valid again only after the
        answer to a new request.
        """
        self.valid_until_us = 0
        self.next_renewal_us = 0
        self._pending_requests.clear()

    def on_fenced(self, seen: Token) -> None:
        """Handle a 409 from the guarded resource: a token below `seen` has ended."""
        self.highest_seen = max(self.highest_seen, seen)
        if self.token is not None and self.token < seen:
            self._end_token(self.token)

    def relinquish(self) -> Token | None:
        """Give up the lease: its token is never valid again.

        Returns:
            The token, to be released at the service; None without a lease.
        """
        token = self.token
        self.highest_seen = max(self.highest_seen, token or ZERO_TOKEN)
        if token is not None:
            self._end_token(token)
        return token

    def start_request(self, now_us: int) -> LeaseRequest:
        """Record a request before it is sent: the lease's validity is counted from now."""
        self._advance_clock(now_us)
        self._last_request += 1
        request = LeaseRequest(
            self._last_request, now_us, self.token, self.highest_seen
        )
        self._pending_requests[request.number] = request
        while len(self._pending_requests) > MAX_PENDING_REQUESTS:
            del self._pending_requests[min(self._pending_requests)]
        jitter = self._random() / RENEWAL_JITTER_DIVISOR
        self.next_renewal_us = now_us + int(self._renewal_interval_us() * (1 - jitter))
        return request

    def on_granted(
        self, now_us: int, request_number: int, token: Token, ttl_us: int
    ) -> bool:
        """Handle an answer that grants or renews the lease.

        Returns:
            False if the answer is ignored: its request is unknown, a later request was
            answered, or its token has ended or is lower than the current one.
        """
        self._advance_clock(now_us)
        request = self._pending_requests.pop(request_number, None)
        self.highest_seen = max(self.highest_seen, token)
        if (
            request is None
            or request_number < self._last_answered
            or token <= self._ended_through
            or token < (self.token or ZERO_TOKEN)
        ):
            return False
        self._last_answered = request_number
        self._failure_count = 0
        self.token = token
        self.ttl_us = ttl_us
        validity_us = holder_validity_us(ttl_us, self.drift)
        self.valid_until_us = request.sent_at_us + validity_us
        return True

    def on_rejected(
        self, now_us: int, request_number: int, seen: Token = ZERO_TOKEN
    ) -> None:
        """Handle a 409 for the token of a request.

        The token has ended for good, in whatever order answers arrive.
        """
        self._advance_clock(now_us)
        request = self._pending_requests.pop(request_number, None)
        self.highest_seen = max(self.highest_seen, seen)
        if request is not None and request.token is not None:
            self._end_token(request.token)
            self.next_renewal_us = now_us + self._random_delay_us()

    def on_unavailable(self, now_us: int, request_number: int, retry_us: int) -> None:
        """Handle an answer that neither grants nor ends a lease.

        The expiry of a held lease is unchanged. The next request is sent after
        `retry_us` and a random delay, so that holders waiting for the same time do not
        all send at once.
        """
        self._advance_clock(now_us)
        self._pending_requests.pop(request_number, None)
        self.next_renewal_us = now_us + retry_us + self._random_delay_us()

    def on_no_answer(self, now_us: int) -> None:
        """Handle a request that failed without an answer.

        The retry is scheduled with exponential backoff and full jitter, at most one
        renewal interval from now.
        """
        self._advance_clock(now_us)
        self._failure_count += 1
        doublings = min(self._failure_count - 1, BACKOFF_DOUBLINGS_LIMIT)
        longest_us = min(self._renewal_interval_us(), INITIAL_BACKOFF_US << doublings)
        self.next_renewal_us = now_us + int(longest_us * self._random())

    def _end_token(self, token: Token) -> None:
        self._ended_through = max(self._ended_through, token)
        self.highest_seen = max(self.highest_seen, token)
        if self.token is not None and self.token <= self._ended_through:
            self.token = None
            self.valid_until_us = 0
            self.next_renewal_us = 0

    def _is_valid(self, now_us: int) -> bool:
        return self.token is not None and now_us < self.valid_until_us

    def _renewal_interval_us(self) -> int:
        return holder_validity_us(self.ttl_us, self.drift) // RENEWALS_PER_LEASE

    def _random_delay_us(self) -> int:
        return int(self._renewal_interval_us() * self._random())

    def _advance_clock(self, now_us: int) -> None:
        if now_us < self._now_us:
            self.invalidate()
        self._now_us = now_us
