"""The holder's own view of its lease: whether it may act now, by its own clock alone."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.types import holder_validity_us

MAX_PENDING_REQUESTS = 8
"""Requests under way; answers to older ones come too late to be of use."""
INITIAL_BACKOFF_US = 50_000
"""The first delay after a failure is drawn from 0 to this."""
BACKOFF_DOUBLINGS_LIMIT = 20
"""The backoff doubles so often at most; the lease limits it long before."""
RENEWALS_PER_LEASE = 3
"""Two more attempts fit in after a renewal that gets no answer."""
RENEWAL_JITTER_DIVISOR = 4
"""A renewal is sent earlier by up to this part of the interval."""


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """One request, recorded before it is sent."""

    number: int
    sent_at_us: int
    token: Token | None
    """None where a lease is acquired, not renewed."""
    highest_seen: Token


class LeaseHolder:
    """One lease of one process.

    Call `start_request` before a request is sent, then one of `on_granted`,
    `on_rejected`, `on_unavailable` or `on_no_answer` with the request's number.
    `random` returns floats from 0 to below 1. All times are of the holder's own clock,
    in microseconds.
    """

    def __init__(self, ttl_us: int, drift: float, random: Callable[[], float]) -> None:
        self.ttl_us = ttl_us
        self.drift = drift
        self._random = random
        self.token: Token | None = None
        self.valid_until_us = 0
        """From then on nothing is done under the lease."""
        self.next_renewal_us = 0
        """When to send the next request."""
        self.highest_seen = ZERO_TOKEN
        """The highest token seen anywhere.

        It goes with every request and raises the epoch of a service that is behind.
        """
        self._ended_through = ZERO_TOKEN
        """This token and all below have ended, whatever answer arrives late."""
        self._pending_requests: dict[int, LeaseRequest] = {}
        self._last_request = 0
        self._last_answered = 0
        self._failure_count = 0
        self._now_us = 0

    def may_act(self, now_us: int) -> bool:
        """Whether the lease is valid.

        Ask again right before each guarded action, and send `token` with it.
        """
        self._advance_clock(now_us)
        return self._is_valid(now_us)

    def invalidate(self) -> None:
        """Distrust the clock: it went back, or the machine slept.

        No request or answer so far counts; the lease is valid again only after the
        answer to a new request.
        """
        self.valid_until_us = 0
        self.next_renewal_us = 0
        self._pending_requests.clear()

    def on_fenced(self, seen: Token) -> None:
        """The guarded resource has seen a higher token (409): this one has ended."""
        self.highest_seen = max(self.highest_seen, seen)
        if self.token is not None and self.token < seen:
            self._end_token(self.token)

    def relinquish(self) -> Token | None:
        """Stop acting under the token for good.

        Returns:
            The token, to be released at the service; None where there is none.
        """
        token = self.token
        self.highest_seen = max(self.highest_seen, token or ZERO_TOKEN)
        if token is not None:
            self._end_token(token)
        return token

    def start_request(self, now_us: int) -> LeaseRequest:
        """Record a request before it is sent: the lease counts from this moment."""
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
        """Take an answer that grants or renews the lease.

        Returns:
            False where the answer does not count: its request is not known, a later one
            was answered, or its token has ended.
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
        """Take a 409 for the token of a request.

        The token has ended at once and for good, in whatever order answers arrive.
        """
        self._advance_clock(now_us)
        request = self._pending_requests.pop(request_number, None)
        self.highest_seen = max(self.highest_seen, seen)
        if request is not None and request.token is not None:
            self._end_token(request.token)
            self.next_renewal_us = now_us + self._random_delay_us()

    def on_unavailable(self, now_us: int, request_number: int, retry_us: int) -> None:
        """Take an answer that neither grants nor ends anything.

        A lease that is held expires as it would. The next request is sent after
        `retry_us` and a random delay, so that those who wait for the same moment do not
        all come at once.
        """
        self._advance_clock(now_us)
        self._pending_requests.pop(request_number, None)
        self.next_renewal_us = now_us + retry_us + self._random_delay_us()

    def on_no_answer(self, now_us: int) -> None:
        """Retry with full jitter, at most one renewal interval later."""
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
