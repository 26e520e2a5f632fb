"""The member's own view of its lease: whether it may act now, by its own clock and
nobody's word.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.types import holder_validity_us

MAX_PENDING_REQUESTS = 8  # under way; answers to older ones come too late to be of use
INITIAL_BACKOFF_US = 50_000  # the first pause after a failure is drawn from 0 to this


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """One request, noted before it leaves.

    `token` is None where a lease is acquired, not renewed.
    """

    number: int
    sent_at_us: int
    token: Token | None
    highest_seen: Token


class LeaseHolder:
    """One lease of one process.

    Call `asked` before a request leaves, then one of `answered`, `held`, `refused` or
    `failed` with its `sent`. `random` gives floats from 0 below 1.
    """

    def __init__(self, ttl_us: int, drift: float, random: Callable[[], float]) -> None:
        self.ttl_us, self.drift, self._random = ttl_us, drift, random
        self.token: Token | None = None
        self.valid_until_us = 0
        """Own clock; from then on nothing is done under the lease."""
        self.next_renewal_us = 0
        """Own clock; when to ask again."""
        self.highest_seen = ZERO_TOKEN
        """Highest token met anywhere: goes with every call and lifts a service that is
        behind.
        """
        self._ended_through = (
            ZERO_TOKEN  # this token and all below are over, whatever comes late
        )
        self._pending_requests: dict[int, LeaseRequest] = {}
        self._last_request = self._last_answered = self._failure_count = 0
        self._now_us = 0

    # -- may it act
    # ----------------------------------------------------------------------------------

    def may_act(self, now_us: int) -> bool:
        """Ask again right before each guarded action, and send `token` with it."""
        self._advance_clock(now_us)
        return self._is_valid(now_us)

    def invalidate(self) -> None:
        """The clock cannot be trusted (it went back, the machine slept): nothing asked
        or answered so far counts, the lease acts again only after an answer to a new
        request.
        """
        self.valid_until_us = self.next_renewal_us = 0
        self._pending_requests.clear()

    def on_fenced(self, seen: Token) -> None:
        """Whatever the lease guards has seen a higher token (409): this one is over."""
        self.highest_seen = max(self.highest_seen, seen)
        if self.token is not None and self.token < seen:
            self._end_token(self.token)

    def relinquish(self) -> Token | None:
        """Stop acting, for good under this token, which is returned to be released at
        the service.
        """
        token, self.highest_seen = (
            self.token,
            max(self.highest_seen, self.token or ZERO_TOKEN),
        )
        if token is not None:
            self._end_token(token)
        return token

    # -- asking
    # --------------------------------------------------------------------------------------

    def start_request(self, now_us: int) -> LeaseRequest:
        """Before the request leaves: the lease will count from this moment."""
        self._advance_clock(now_us)
        self._last_request += 1
        ask = self._pending_requests[self._last_request] = LeaseRequest(
            self._last_request, now_us, self.token, self.highest_seen
        )
        while len(self._pending_requests) > MAX_PENDING_REQUESTS:
            del self._pending_requests[min(self._pending_requests)]
        # A third of the lease, less up to a quarter of that: two more tries fit before
        # it is out.
        self.next_renewal_us = now_us + int(self._third_us() * (1 - self._random() / 4))
        return ask

    def on_granted(
        self, now_us: int, request_number: int, token: Token, ttl_us: int
    ) -> bool:
        """Granted or renewed.

        False where the answer counts for nothing: its request is not known, a later one
        was answered, or its token is over.
        """
        self._advance_clock(now_us)
        ask = self._pending_requests.pop(request_number, None)
        self.highest_seen = max(self.highest_seen, token)
        if (
            ask is None
            or request_number < self._last_answered
            or token <= self._ended_through
            or token < (self.token or ZERO_TOKEN)
        ):
            return False
        self._last_answered, self._failure_count = request_number, 0
        self.token, self.ttl_us = token, ttl_us
        self.valid_until_us = ask.sent_at_us + holder_validity_us(ttl_us, self.drift)
        return True

    def on_rejected(
        self, now_us: int, request_number: int, seen: Token = ZERO_TOKEN
    ) -> None:
        """409 for the token that was sent: over at once and for good, in whatever order
        answers come.
        """
        self._advance_clock(now_us)
        ask = self._pending_requests.pop(request_number, None)
        self.highest_seen = max(self.highest_seen, seen)
        if ask is not None and ask.token is not None:
            self._end_token(ask.token)
            self.next_renewal_us = now_us + int(self._third_us() * self._random())

    def on_unavailable(self, now_us: int, request_number: int, retry_us: int) -> None:
        """Not now: what is had runs out as it would, and the next request leaves after
        `retry_us`, spread over a third of a lease so that those who wait for one moment
        do not come at one.
        """
        self._advance_clock(now_us)
        self._pending_requests.pop(request_number, None)
        self.next_renewal_us = (
            now_us + retry_us + int(self._third_us() * self._random())
        )

    def on_no_answer(self, now_us: int) -> None:
        """No answer: try again with full jitter, at most a third of a lease later."""
        self._advance_clock(now_us)
        self._failure_count += 1
        most_us = min(
            self._third_us(), INITIAL_BACKOFF_US << min(self._failure_count - 1, 20)
        )
        self.next_renewal_us = now_us + int(most_us * self._random())

    # -- helpers
    # -------------------------------------------------------------------------------------

    def _end_token(self, token: Token) -> None:
        self._ended_through, self.highest_seen = (
            max(self._ended_through, token),
            max(self.highest_seen, token),
        )
        if self.token is not None and self.token <= self._ended_through:
            self.token, self.valid_until_us, self.next_renewal_us = None, 0, 0

    def _is_valid(self, now_us: int) -> bool:
        return self.token is not None and now_us < self.valid_until_us

    def _third_us(self) -> int:
        return holder_validity_us(self.ttl_us, self.drift) // 3

    def _advance_clock(self, now_us: int) -> None:
        if now_us < self._now_us:
            self.invalidate()
        self._now_us = now_us
