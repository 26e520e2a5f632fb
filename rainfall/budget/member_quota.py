"""A member's side of one budget: what it may send now, what it says it holds, what it
needs.

Safe by itself: whatever it is told, late, twice or out of order, in every sliding span
it lets at most its share leave, and what it says it holds is true from that moment on.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from rainfall.budget.sliding_window import SlidingWindow
from rainfall.budget.types import Share, reuse_window_us
from rainfall.lease.fencing_token import ZERO_TOKEN, Token

RECORD_FORMAT = 1


class MemberQuota:
    """One budget at one process.

    `now_us` is the process's own monotonic clock and never goes back.
    """

    def __init__(self, start_us: int, drift: float) -> None:
        self.drift = drift
        self.share = Share(ZERO_TOKEN, 0, 0, 0, 0, 0, 0)
        self.valid_until_us = start_us
        self.closed = False
        self.fenced_token = ZERO_TOKEN
        # A process of this name may have sent until just now: nothing leaves before a
        # window has passed.
        self.window = SlidingWindow(0, start_us)

    # -- what it is told
    # ---------------------------------------------------------------------------

    def receive_share(self, share: Share, valid_until_us: int, now_us: int) -> bool:
        """From an answered beat; valid until the lease is out by the own clock, counted
        from when it was asked. False where it is older than what is held, and nothing
        of it counts.
        """
        if (share.token, share.number) < (
            self.share.token,
            self.share.number,
        ) or share.token <= self.fenced_token:
            return False
        if share.token == self.share.token:
            valid_until_us = max(valid_until_us, self.valid_until_us)
        self.share, self.valid_until_us = share, valid_until_us
        # Forget by the old window first: what a longer one reaches back to is then
        # known to be unknown.
        self.window.drop_expired(now_us)
        self.window.length_us = reuse_window_us(
            share.span_us, share.slack_us, self.drift
        )
        return True

    def fence(self, now_us: int) -> None:
        """The lease is lost or given up: from now only the reserve acts."""
        self.valid_until_us = min(self.valid_until_us, now_us)
        self.fenced_token = (
            self.share.token
        )  # an answer of before, still under way, brings nothing back

    def held_share(self, token: Token) -> tuple[int, int] | None:
        """(calls, number) of the newest share told to the incarnation `token`, which
        binds already. None before the first: what an earlier incarnation was told must
        not be acknowledged by this one.
        """
        return (
            (self.share.calls, self.share.number) if self.share.token == token else None
        )

    # -- what may leave
    # -----------------------------------------------------------------------------

    def limit(self, now_us: int) -> int:
        """Calls in a span that may leave now."""
        if self.closed:
            return 0
        return self.share.calls if now_us < self.valid_until_us else self.share.reserve

    def spend(self, now_us: int, calls: int = 1) -> bool:
        """Whether so many calls may leave now; they are counted if so.

        Their first bytes leave within `slack_us`: see `late`.
        """
        self.window.drop_expired(now_us)
        if (
            now_us - self.window.length_us < self.window.unknown_until_us
            or self.window.call_count + calls > self.limit(now_us)
        ):
            return False
        self.window.add(now_us, calls)
        return True

    def is_late(self, spent_us: int, now_us: int) -> bool:
        """A call spent for at `spent_us` that has not left by now must be spent for
        again (the process was stopped between): to be asked last before its first byte
        leaves.
        """
        return now_us - spent_us > self.share.slack_us

    def available_at(self, now_us: int, calls: int = 1) -> int | None:
        """When so many calls may leave at the earliest by what is held now; None: not
        before being told.
        """
        self.window.drop_expired(now_us)
        if now_us < self.valid_until_us and calls <= self.limit(now_us):
            at = self.window.available_at(now_us, calls, self.share.calls)
            if at < self.valid_until_us:
                return at
        if self.closed or calls > self.share.reserve:
            return None
        return self.window.available_at(
            max(now_us, self.valid_until_us), calls, self.share.reserve
        )

    # -- over a restart
    # -----------------------------------------------------------------------------

    def to_record(self) -> dict[str, Any]:
        """To be on disk before the first call under a new share: what a successor may
        go by after a crash. It acts on the reserve then, but only after a whole window,
        since what was spent is not in it.
        """
        s = self.share
        return {
            "form": RECORD_FORMAT,
            "token": s.token.to_wire(),
            "number": s.number,
            "reserve": s.reserve,
            "whole": s.whole,
            "span_us": s.span_us,
            "slack_us": s.slack_us,
        }

    def close(self, now_us: int, leaving: bool = False) -> dict[str, Any]:
        """End it: nothing leaves any more.

        The record has what was spent, so that a successor on the same clock (one boot)
        need not wait. It must be replaced by `standing` before that one's first call.
        `leaving`: for good; the service may be told so (`Ledger.ended`) once this
        record is on disk, since a successor has no reserve by it.
        """
        self.window.drop_expired(now_us)
        self.closed = True
        if leaving:
            self.share = replace(self.share, reserve=0)
        return {
            **self.to_record(),
            "closed_us": now_us,
            "known_us": self.window.unknown_until_us,
            "spent": [list(entry) for entry in self.window.entries],
        }

    @staticmethod
    def from_record(
        record: Mapping[str, Any], start_us: int, drift: float
    ) -> MemberQuota:
        """A successor's purse, from either record.

        ValueError where it cannot be read. A `closed` record of a later moment than now
        (another boot's clock) counts as one without what was spent.
        """
        quota = MemberQuota(start_us, drift)
        try:
            if record["form"] != RECORD_FORMAT:
                raise ValueError(f"form {record['form']} is not known")
            numbers = {
                name: int(record[name])
                for name in ("number", "reserve", "whole", "span_us", "slack_us")
            }
            # It holds nothing under its old token but the reserve.
            quota.share = Share(
                Token.from_wire(record["token"]), calls=numbers["reserve"], **numbers
            )
            quota.window.length_us = reuse_window_us(
                numbers["span_us"], numbers["slack_us"], drift
            )
            if record.get("closed_us", start_us + 1) <= start_us:
                quota.window.unknown_until_us = int(record["known_us"])
                for first, latest, calls in record["spent"]:
                    quota.window.entries.append((int(first), int(latest), int(calls)))
                    quota.window.call_count += int(calls)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a purse's record: {error!r}") from None
        return quota
