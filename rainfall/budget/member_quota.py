"""A member's side of one budget: the share it holds and the calls it may send now.

It is safe by itself: whether answers arrive late, twice or out of order, the calls in
every sliding span stay within the share, and once the member has reported a share as
held, it makes no call under an older one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from rainfall.budget.sliding_window import SlidingWindow
from rainfall.budget.types import HeldShare, Share, reuse_window_us
from rainfall.lease.fencing_token import ZERO_TOKEN, Token

RECORD_FORMAT = 1
"""The `form` of a record on disk."""


class MemberQuota:
    """Enforces one budget's share in one process.

    All times are of the process's own monotonic clock, in microseconds; it never goes
    back.
    """

    def __init__(self, start_us: int, drift: float) -> None:
        self.drift = drift
        self.share = Share(ZERO_TOKEN, 0, 0, 0, 0, 0, 0)
        self.valid_until_us = start_us
        """When the lease ends by this clock; from then on only the reserve may be used."""
        self.closed = False
        self.fenced_token = ZERO_TOKEN
        """Shares of this token and of lower ones are no longer accepted."""
        # An earlier process of this name may have sent calls until now: nothing is sent
        # until a window has passed.
        self.window = SlidingWindow(0, start_us)

    def receive_share(self, share: Share, valid_until_us: int, now_us: int) -> bool:
        """Store a share from an answer.

        Args:
            share: The share.
            valid_until_us: When the lease ends by this clock, counted from when the
                request was sent.
            now_us: The present time.

        Returns:
            False if the share is older than the one held, or fenced; it is ignored.
        """
        is_older = (share.token, share.number) < (self.share.token, self.share.number)
        if is_older or share.token <= self.fenced_token:
            return False
        if share.token == self.share.token:
            valid_until_us = max(valid_until_us, self.valid_until_us)
        self.share = share
        self.valid_until_us = valid_until_us
        # Drop entries by the former window first: a longer window would include some of
        # them again, so they are marked as unknown.
        self.window.drop_expired(now_us)
        self.window.length_us = reuse_window_us(
            share.span_us, share.slack_us, self.drift
        )
        return True

    def fence(self, now_us: int) -> None:
        """End the use of the share after the lease is lost; only the reserve may be used."""
        self.valid_until_us = min(self.valid_until_us, now_us)
        # A delayed answer must not make the share valid again.
        self.fenced_token = self.share.token

    def held_share(self, token: Token) -> HeldShare | None:
        """(calls, number) of the newest share of the incarnation `token`.

        None before its first share: an incarnation must not acknowledge a share that
        was granted to an earlier one.
        """
        if self.share.token != token:
            return None
        return (self.share.calls, self.share.number)

    def limit(self, now_us: int) -> int:
        """Most calls in a span that may be sent now."""
        if self.closed:
            return 0
        return self.share.calls if now_us < self.valid_until_us else self.share.reserve

    def spend(self, now_us: int, calls: int = 1) -> bool:
        """Count `calls` calls if all of them may be sent now.

        Their first bytes have to be sent within `slack_us`: see `is_late`.

        Returns:
            Whether the calls may be sent.
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
        """Whether a call counted at `spent_us` has to be counted again before sending.

        The process may have been suspended since: call this right before the call's
        first byte is sent.
        """
        return now_us - spent_us > self.share.slack_us

    def available_at(self, now_us: int, calls: int = 1) -> int | None:
        """The earliest time at which `calls` calls may be sent, by the share held now.

        None if they may not be sent before another share is received.
        """
        self.window.drop_expired(now_us)
        if now_us < self.valid_until_us and calls <= self.limit(now_us):
            at_us = self.window.available_at(now_us, calls, self.share.calls)
            if at_us < self.valid_until_us:
                return at_us
        if self.closed or calls > self.share.reserve:
            return None
        lease_end_us = max(now_us, self.valid_until_us)
        return self.window.available_at(lease_end_us, calls, self.share.reserve)

    def to_record(self) -> dict[str, Any]:
        """The record that has to be on disk before the first call under a new share.

        After a crash a successor uses the reserve in it. The record does not contain
        the calls spent, so the successor waits a whole window first.
        """
        share = self.share
        return {
            "form": RECORD_FORMAT,
            "token": share.token.to_wire(),
            "number": share.number,
            "reserve": share.reserve,
            "whole": share.total,
            "span_us": share.span_us,
            "slack_us": share.slack_us,
        }

    def close(self, now_us: int, leaving: bool = False) -> dict[str, Any]:
        """Close the quota: no more calls may be sent.

        Args:
            now_us: The present time.
            leaving: The process leaves for good, and a successor gets no reserve. Once
                the record is on disk, the end may be reported to the service
                (`Ledger.process_ended`).

        Returns:
            A record with the calls spent, so that a successor on the same clock (same
            boot) need not wait. The successor has to replace it on disk by that of
            `to_record` before its first call.
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
        """A successor's quota, from the record of `to_record` or `close`.

        The spent calls of a record that was closed after `start_us` are ignored: its
        times are of the clock of another boot.

        Raises:
            ValueError: The record cannot be decoded.
        """
        quota = MemberQuota(start_us, drift)
        try:
            quota.share = _share_from_record(record)
            quota.window.length_us = reuse_window_us(
                quota.share.span_us, quota.share.slack_us, drift
            )
            if record.get("closed_us", start_us + 1) <= start_us:
                _restore_window(quota.window, record)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"not a quota record: {error!r}") from None
        return quota


def _share_from_record(record: Mapping[str, Any]) -> Share:
    """The share of a record, which allows only the reserve under its former token."""
    if record["form"] != RECORD_FORMAT:
        raise ValueError(f"record form {record['form']} is not supported")
    number = int(record["number"])
    reserve = int(record["reserve"])
    return Share(
        token=Token.from_wire(record["token"]),
        number=number,
        calls=reserve,
        reserve=reserve,
        total=int(record["whole"]),
        span_us=int(record["span_us"]),
        slack_us=int(record["slack_us"]),
    )


def _restore_window(window: SlidingWindow, record: Mapping[str, Any]) -> None:
    window.unknown_until_us = int(record["known_us"])
    for first_us, latest_us, calls in record["spent"]:
        window.entries.append((int(first_us), int(latest_us), int(calls)))
        window.call_count += int(calls)
