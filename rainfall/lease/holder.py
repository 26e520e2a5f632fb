"""The member's own view of its lease: whether it may act now, by its own clock and
nobody's word.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rainfall.lease.terms import surely_held_us
from rainfall.lease.token import NEVER, Token

MOST_ASKS = 8  # under way; answers to older ones come too late to be of use
LEAST_PAUSE_US = 50_000  # the first pause after a failure is drawn from 0 to this


@dataclass(frozen=True, slots=True)
class Ask:
    """One request, noted before it leaves. `token` is None where a lease is acquired,
    not renewed.
    """

    sent: int
    at_us: int
    token: Token | None
    seen: Token


class Holder:
    """One lease of one process. Call `asked` before a request leaves, then one of
    `answered`, `held`, `refused` or `failed` with its `sent`. `random` gives floats
    from 0 below 1.
    """

    def __init__(self, ttl_us: int, drift: float, random: Callable[[], float]) -> None:
        self.ttl_us, self.drift, self._random = ttl_us, drift, random
        self.token: Token | None = None
        self.valid_until_us = 0
        """Own clock; from then on nothing is done under the lease."""
        self.next_renewal_us = 0
        """Own clock; when to ask again."""
        self.seen = NEVER
        """Highest token met anywhere: goes with every call and lifts a service that is
        behind.
        """
        self._out = NEVER  # this token and all below are over, whatever comes late
        self._asks: dict[int, Ask] = {}
        self._sent = self._newest = self._fails = 0
        self._now_us = 0

    # -- may it act
    # ----------------------------------------------------------------------------------

    def may_act(self, now_us: int) -> bool:
        """Ask again right before each guarded action, and send `token` with it."""
        self._clock(now_us)
        return self._valid(now_us)

    def doubt(self) -> None:
        """The clock cannot be trusted (it went back, the machine slept): nothing asked
        or answered so far counts, the lease acts again only after an answer to a new
        request.
        """
        self.valid_until_us = self.next_renewal_us = 0
        self._asks.clear()

    def fenced(self, seen: Token) -> None:
        """Whatever the lease guards has seen a higher token (409): this one is over."""
        self.seen = max(self.seen, seen)
        if self.token is not None and self.token < seen:
            self._over(self.token)

    def let_go(self) -> Token | None:
        """Stop acting, for good under this token, which is returned to be released at
        the service.
        """
        token, self.seen = self.token, max(self.seen, self.token or NEVER)
        if token is not None:
            self._over(token)
        return token

    # -- asking
    # --------------------------------------------------------------------------------------

    def asked(self, now_us: int) -> Ask:
        """Before the request leaves: the lease will count from this moment."""
        self._clock(now_us)
        self._sent += 1
        ask = self._asks[self._sent] = Ask(self._sent, now_us, self.token, self.seen)
        while len(self._asks) > MOST_ASKS:
            del self._asks[min(self._asks)]
        # A third of the lease, less up to a quarter of that: two more tries fit before
        # it is out.
        self.next_renewal_us = now_us + int(self._third_us() * (1 - self._random() / 4))
        return ask

    def answered(self, now_us: int, sent: int, token: Token, ttl_us: int) -> bool:
        """Granted or renewed. False where the answer counts for nothing: its request is
        not known, a later one was answered, or its token is over.
        """
        self._clock(now_us)
        ask = self._asks.pop(sent, None)
        self.seen = max(self.seen, token)
        if (
            ask is None
            or sent < self._newest
            or token <= self._out
            or token < (self.token or NEVER)
        ):
            return False
        self._newest, self._fails = sent, 0
        self.token, self.ttl_us = token, ttl_us
        self.valid_until_us = ask.at_us + surely_held_us(ttl_us, self.drift)
        return True

    def refused(self, now_us: int, sent: int, seen: Token = NEVER) -> None:
        """409 for the token that was sent: over at once and for good, in whatever order
        answers come.
        """
        self._clock(now_us)
        ask = self._asks.pop(sent, None)
        self.seen = max(self.seen, seen)
        if ask is not None and ask.token is not None:
            self._over(ask.token)
            self.next_renewal_us = now_us + int(self._third_us() * self._random())

    def held(self, now_us: int, sent: int, retry_us: int) -> None:
        """Not now: what is had runs out as it would, and the next request leaves after
        `retry_us`, spread over a third of a lease so that those who wait for one moment
        do not come at one.
        """
        self._clock(now_us)
        self._asks.pop(sent, None)
        self.next_renewal_us = (
            now_us + retry_us + int(self._third_us() * self._random())
        )

    def failed(self, now_us: int) -> None:
        """No answer: try again with full jitter, at most a third of a lease later."""
        self._clock(now_us)
        self._fails += 1
        most_us = min(self._third_us(), LEAST_PAUSE_US << min(self._fails - 1, 20))
        self.next_renewal_us = now_us + int(most_us * self._random())

    # -- helpers
    # -------------------------------------------------------------------------------------

    def _over(self, token: Token) -> None:
        self._out, self.seen = max(self._out, token), max(self.seen, token)
        if self.token is not None and self.token <= self._out:
            self.token, self.valid_until_us, self.next_renewal_us = None, 0, 0

    def _valid(self, now_us: int) -> bool:
        return self.token is not None and now_us < self.valid_until_us

    def _third_us(self) -> int:
        return surely_held_us(self.ttl_us, self.drift) // 3

    def _clock(self, now_us: int) -> None:
        if now_us < self._now_us:
            self.doubt()
        self._now_us = now_us
