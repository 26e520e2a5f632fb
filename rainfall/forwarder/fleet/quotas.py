"""A member's quotas: what it may send now, and what it needs.

The dispatcher is told of the former, the list service of the latter. There is no I/O
here. `now_us` is the member's own monotonic clock, by which its lease is counted.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import islice
from typing import Any, NamedTuple

from rainfall.budget.config import MAX_BUDGETS
from rainfall.budget.demand import DemandTracker
from rainfall.budget.member_quota import MemberQuota
from rainfall.budget.types import Share, reuse_window_us
from rainfall.dispatch import QuotaChanged
from rainfall.forwarder.config.fleet_config import BudgetReserve
from rainfall.forwarder.fleet.state_file import QuotaRecords
from rainfall.forwarder.outbound.permits import PERMIT_GRANTED, PERMIT_TIME_UNKNOWN
from rainfall.forwarder.units import US_PER_MS, US_PER_SECOND
from rainfall.lease.fencing_token import ZERO_TOKEN, Token

DEFAULT_SLACK_US = 5_000
"""A share's slack where the service gives none."""
DEFAULT_SPAN_US = US_PER_SECOND
"""Demand is counted over this span where no budget is known."""
DEMAND_GROWTH_FACTOR = 1.25
"""Demand that grew by this factor since it was reported is reported at once."""
MAX_SPENT_ENTRIES = 4_096
"""Entries of all records together, at least one each: the disk may have 3 MB."""
MAX_PART_NAME_BYTES = 256 * 1024
"""Bytes of all parts' names in a heartbeat, which the service limits to 1 MiB."""
ESCAPED_CHARACTER_BYTES = 12
"""Bytes in JSON of a character that is not ASCII, at most."""
UNKNOWN_PERIOD_CALLS = 1 << 40
"""Stands for the calls of a period of which nothing is known."""
MIN_PERMIT_DELAY_US = 1
log = logging.getLogger("rainfall.fleet")


class UnknownPeriod(NamedTuple):
    """A period of which it is not known how many calls were made in it."""

    until_us: int
    window_us: int
    """Length of the window in which those calls count."""


NO_UNKNOWN_PERIOD = UnknownPeriod(0, 0)


class LoggedQuota(NamedTuple):
    """What of a quota is logged when it changes."""

    authority: str
    calls: int
    reserve: int
    whole: int
    span_us: int


@dataclass(slots=True)
class QuotaAccount:
    """The quota of one destination."""

    quota: MemberQuota
    configured_reserve: BudgetReserve | None
    """The reserve in the configuration, if it names the destination."""
    reason: str = "the configuration's reserve"
    """Why the quota is as it is, for logs and metrics."""
    published_unknown_period: UnknownPeriod = NO_UNKNOWN_PERIOD
    """The period without known calls of which the dispatcher was told."""
    published: bool = False
    """The dispatcher was told of the calls in the window."""
    last_logged: LoggedQuota | None = None


class FleetQuotas:
    """All quotas of one member."""

    def __init__(
        self,
        budgets: Iterable[BudgetReserve],
        drift: float,
        records: QuotaRecords,
        now_us: int,
    ) -> None:
        """Take up the quotas of the process before and of the configuration.

        Args:
            budgets: The reserves in the configuration.
            drift: Relative rate by which two clocks may differ; see docs/parts.md.
            records: What the process before left.
            now_us: The time.
        """
        self.drift = drift
        self.start_us = now_us
        self.persisted = False
        """Whether what a successor needs is on disk; nothing is sent before."""
        self.accounts: dict[int, QuotaAccount] = {}
        self.demand: dict[int, DemandTracker] = {}
        self.reported_needs: dict[int, int] = {}
        """Calls that the last heartbeat asked for, by destination."""
        self.granted_destinations: set[int] | None = None
        """Destinations with a share in the last answer; None before the first."""
        for destination, record in records.items():
            quota = self._restore_quota(destination, record, now_us)
            self.accounts[destination] = QuotaAccount(quota, None, "the process before")
        self.configure(budgets, now_us)

    def _restore_quota(
        self, destination: int, record: dict[str, Any], now_us: int
    ) -> MemberQuota:
        try:
            return MemberQuota.from_record(record, now_us, self.drift)
        except ValueError as error:
            log.warning(
                "the record of destination %d counts as none: %s", destination, error
            )
            return MemberQuota(now_us, self.drift)

    def configure(self, budgets: Iterable[BudgetReserve], now_us: int) -> list[int]:
        """Apply the reserves in the configuration, at the start and at SIGHUP.

        A reserve holds where no share was granted yet. Where one was, a lower reserve
        holds at once, and a higher one waits for the service.

        Returns:
            The destinations without a budget from now on: neither the configuration nor
            the service's last answer names them.
        """
        named = {reserve.destination: reserve for reserve in budgets}
        removed: list[int] = []
        for destination, account in list(self.accounts.items()):
            account.configured_reserve = named.get(destination)
            if account.configured_reserve is None and not self._is_granted(
                destination, account
            ):
                del self.accounts[destination]
                removed.append(destination)
        for destination, reserve in named.items():
            account = self.accounts.setdefault(
                destination, QuotaAccount(MemberQuota(now_us, self.drift), reserve)
            )
            account.configured_reserve = reserve
            self._apply_reserve(account, reserve, now_us)
        return removed

    def _is_granted(self, destination: int, account: QuotaAccount) -> bool:
        """Whether the service granted a share that it has not withdrawn."""
        return account.quota.share.token != ZERO_TOKEN and (
            self.granted_destinations is None
            or destination in self.granted_destinations
        )

    def _apply_reserve(
        self, account: QuotaAccount, reserve: BudgetReserve, now_us: int
    ) -> None:
        quota = account.quota
        if quota.share.token == ZERO_TOKEN:
            share = Share(
                ZERO_TOKEN,
                0,
                reserve.reserve,
                reserve.reserve,
                reserve.calls,
                reserve.span_us,
                DEFAULT_SLACK_US,
            )
            self._reset_share(quota, share, now_us)
        elif reserve.reserve < quota.share.reserve:
            quota.share = replace(quota.share, reserve=reserve.reserve)
            account.reason = "the configuration's lower reserve"

    def _reset_share(self, quota: MemberQuota, share: Share, now_us: int) -> None:
        quota.window.drop_expired(now_us)
        quota.share = share
        quota.window.length_us = reuse_window_us(
            share.span_us, share.slack_us, self.drift
        )

    # Shares

    def apply_shares(
        self,
        token: Token,
        shares: Mapping[int, Mapping[str, Any]],
        valid_until_us: int,
        now_us: int,
    ) -> bool:
        """Apply the shares of an answered heartbeat that counts.

        Args:
            token: The lease's fencing token.
            shares: By destination, with the fields of `BudgetShare`.
            valid_until_us: The lease's end.
            now_us: The time.

        Returns:
            Whether a share became smaller: the service waits to hear that it holds.
        """
        shrank = False
        self.granted_destinations = set(shares)
        for destination, grant in shares.items():
            account = self.accounts.get(destination)
            if account is None:
                account = QuotaAccount(MemberQuota(now_us, self.drift), None)
                self.accounts[destination] = account
            previous = account.quota.share
            share = self._to_share(token, grant, account.configured_reserve)
            if (
                account.quota.receive_share(share, valid_until_us, now_us)
                and share != previous
            ):
                shrank |= previous.token == token and share.calls < previous.calls
                account.reason = f"share {share.number} of the service"
        return shrank

    @staticmethod
    def _to_share(
        token: Token, grant: Mapping[str, Any], configured: BudgetReserve | None
    ) -> Share:
        """Read a share; the configuration may lower its reserve, and never raise it."""
        reserve = grant["reserve"] or 0
        if configured is not None and grant["reserve"] is None:
            reserve = configured.reserve
        elif configured is not None:
            reserve = min(reserve, configured.reserve)
        slack_us = DEFAULT_SLACK_US
        if grant["slack_ms"] is not None:
            slack_us = grant["slack_ms"] * US_PER_MS
        return Share(
            token,
            grant["number"],
            grant["calls"],
            min(reserve, grant["calls"]),
            grant["whole"],
            grant["span_ms"] * US_PER_MS,
            slack_us,
        )

    def on_lease_lost(self, now_us: int) -> None:
        """Go back to the reserves, as the lease is lost."""
        for account in self.accounts.values():
            account.quota.fence(now_us)
            account.reason = "the lease was lost"

    def held_shares(self, token: Token) -> dict[str, list[int]]:
        """Return the shares that hold here under a token, for a heartbeat."""
        found = {
            destination: account.quota.held_share(token)
            for destination, account in sorted(self.accounts.items())
        }
        return {
            str(destination): list(held)
            for destination, held in found.items()
            if held is not None
        }

    def known_reserves(self) -> dict[str, int]:
        """Return the reserves of an earlier lease, which the service may not know."""
        return {
            str(destination): account.quota.share.reserve
            for destination, account in sorted(self.accounts.items())
            if account.quota.share.token != ZERO_TOKEN and account.quota.share.reserve
        }

    # Permits

    def acquire_permit(self, destination: int, now_us: int) -> int:
        """Count one call that is sent now, if it may be.

        Returns:
            PERMIT_GRANTED if it may be sent; else after how many microseconds to ask
            again at the earliest, or PERMIT_TIME_UNKNOWN.
        """
        account = self.accounts.get(destination)
        if account is None:
            return PERMIT_GRANTED
        if not self.persisted:
            return PERMIT_TIME_UNKNOWN
        if account.quota.spend(now_us):
            return PERMIT_GRANTED
        available_at = account.quota.available_at(now_us)
        if available_at is None:
            return PERMIT_TIME_UNKNOWN
        return max(available_at - now_us, MIN_PERMIT_DELAY_US)

    def on_call_sent(self, destination: int, spent_us: int, now_us: int) -> None:
        """Note that the first byte of a call is sent.

        If the process was stopped since the call was counted, it is counted from now.
        """
        account = self.accounts.get(destination)
        if account is not None and account.quota.is_late(spent_us, now_us):
            account.quota.window.add(now_us, 1)

    # For the dispatcher

    def quota_event(self, destination: int, now_us: int, ahead_us: int) -> QuotaChanged:
        """Return a destination's quota as the dispatcher counts it.

        Args:
            destination: It has a budget.
            now_us: The time.
            ahead_us: The dispatcher's clock less this one.
        """
        account = self.accounts[destination]
        quota = account.quota
        spent: list[tuple[int, int]] = []
        unknown = UnknownPeriod(quota.window.unknown_until_us, quota.window.length_us)
        if (
            unknown != account.published_unknown_period
            and unknown.until_us + unknown.window_us > now_us
        ):
            spent.append((unknown.until_us + ahead_us, UNKNOWN_PERIOD_CALLS))
            account.published_unknown_period = unknown
        if not account.published:
            spent += [
                (latest + ahead_us, calls) for _, latest, calls in quota.window.entries
            ]
            account.published = True
        may_send = self.persisted and not quota.closed
        return QuotaChanged(
            destination,
            quota.share.calls if may_send else 0,
            quota.window.length_us,
            quota.valid_until_us + ahead_us,
            quota.share.reserve if may_send else 0,
            tuple(spent),
        )

    # Demand

    def record_demand(self, destination: int, part: str, now_us: int) -> None:
        """Count one more call that is wanted, for a part of the demand."""
        demand = self.demand.get(destination)
        if demand is None:
            account = self.accounts.get(destination)
            if account is None and len(self.demand) >= MAX_BUDGETS:
                return
            span_us = account.quota.share.span_us if account is not None else 0
            demand = DemandTracker(span_us or DEFAULT_SPAN_US)
            self.demand[destination] = demand
        demand.record_calls(now_us, part)

    def needs(
        self, waiting: Mapping[int, Mapping[str, int]], now_us: int
    ) -> dict[str, dict[str, int]]:
        """Return the demand for a heartbeat, by destination and part.

        There are as many destinations as the service accepts, those with a budget here
        first. Destinations that are not wanted any more are forgotten.

        Args:
            waiting: Messages that are held unsent, by destination and part.
            now_us: The time.
        """
        found: dict[str, dict[str, int]] = {}
        for destination in sorted(
            {*self.demand, *waiting}, key=lambda d: (d not in self.accounts, d)
        ):
            demand = self.demand.get(destination) or DemandTracker(DEFAULT_SPAN_US)
            parts = demand.demand_by_part(now_us, waiting.get(destination, {}))
            if parts:
                found[str(destination)] = parts
            elif destination not in self.accounts:
                self.demand.pop(destination, None)
        reported = collapse_long_parts(dict(islice(found.items(), MAX_BUDGETS)))
        self.reported_needs = {
            int(name): sum(parts.values()) for name, parts in reported.items()
        }
        return reported

    def has_grown_demand(self, waiting: Mapping[int, int], now_us: int) -> bool:
        """Whether a quota is too small for its demand, and that grew much.

        Args:
            waiting: Messages that are held unsent, by destination.
            now_us: The time.
        """
        return any(
            waiting.get(destination, 0)
            and self._has_grown(destination, account, waiting[destination], now_us)
            for destination, account in self.accounts.items()
        )

    def _has_grown(
        self, destination: int, account: QuotaAccount, queued: int, now_us: int
    ) -> bool:
        needed = queued
        demand = self.demand.get(destination)
        if demand is not None:
            needed += sum(demand.demand_by_part(now_us, {}).values())
        reported = self.reported_needs.get(destination, 0)
        return needed > max(
            DEMAND_GROWTH_FACTOR * reported,
            reported + 1,
            account.quota.limit(now_us),
        )

    # For a successor

    def records(self) -> QuotaRecords:
        """Return the records of all quotas, which go on to be used."""
        return {
            destination: account.quota.to_record()
            for destination, account in self.accounts.items()
        }

    def close(self, now_us: int) -> QuotaRecords:
        """Send no call of a budget any more, and return the records of all quotas."""
        records = {
            destination: account.quota.close(now_us)
            for destination, account in self.accounts.items()
        }
        entries_each = max(MAX_SPENT_ENTRIES // max(1, len(records)), 1)
        for record in records.values():
            record["spent"] = merge_spent(record["spent"], entries_each)
        return records

    def suspend(self) -> None:
        """Grant no permit before the records are written again.

        Those on disk are a successor's from here on: it would not know of a call that
        was sent after they were written, and the budget would be exceeded.
        """
        self.persisted = False

    def reopen(self) -> None:
        """Send calls again, as no successor took over."""
        for account in self.accounts.values():
            account.quota.closed = False

    # Metrics

    def metrics(self, now_us: int) -> dict[str, dict[str, Any]]:
        """Return the metrics of all quotas by destination."""
        figures = {}
        for destination, account in sorted(self.accounts.items()):
            quota = account.quota
            quota.window.drop_expired(now_us)
            figures[str(destination)] = {
                "whole": quota.share.whole,
                "span_ms": quota.share.span_us // US_PER_MS,
                "share": quota.limit(now_us),
                "used": quota.window.call_count,
                "valid_for_ms": max(0, quota.valid_until_us - now_us) // US_PER_MS,
                "reserve": quota.share.reserve,
                "by": self.authority(account, now_us),
                "number": quota.share.number,
                "why": account.reason,
            }
        return figures

    def authority(self, account: QuotaAccount, now_us: int) -> str:
        """Return by what calls are sent: the lease, or the reserve without one."""
        return "lease" if now_us < account.quota.valid_until_us else "reserve"

    def changes(self, now_us: int) -> list[tuple[int, dict[str, Any]]]:
        """Return the metrics of quotas that changed since the last time.

        The elements are a destination and its metrics, as `metrics` gives them.
        """
        found: list[tuple[int, dict[str, Any]]] = []
        figures: dict[str, dict[str, Any]] = {}
        for destination, account in sorted(self.accounts.items()):
            share = account.quota.share
            current = LoggedQuota(
                self.authority(account, now_us),
                share.calls,
                share.reserve,
                share.whole,
                share.span_us,
            )
            if current == account.last_logged:
                continue
            self._update_reason(account, current.authority)
            account.last_logged = current
            figures = figures or self.metrics(now_us)
            found.append((destination, figures[str(destination)]))
        return found

    @staticmethod
    def _update_reason(account: QuotaAccount, authority: str) -> None:
        """Set the reason anew where the lease expired or holds again."""
        previous = account.last_logged
        if authority == "lease":
            account.reason = f"share {account.quota.share.number} of the service"
        elif (
            previous is not None
            and previous.authority == "lease"
            and account.reason.startswith("share")
        ):
            account.reason = "the lease is out"


def collapse_long_parts(needs: dict[str, dict[str, int]]) -> dict[str, dict[str, int]]:
    """Return needs by destination and part, as a heartbeat can hold them.

    Where the parts' names would make it too large, each destination's need stands as a
    whole under the part "" instead.
    """
    size = sum(
        len(part) * (1 if part.isascii() else ESCAPED_CHARACTER_BYTES)
        for parts in needs.values()
        for part in parts
    )
    if size <= MAX_PART_NAME_BYTES:
        return needs
    return {
        destination: {"": sum(parts.values())} for destination, parts in needs.items()
    }


def merge_spent(spent: list[list[int]], limit: int) -> list[list[int]]:
    """Merge entries of calls in a window, so that there are `limit` at most.

    An entry holds the times of its first and its latest call and their number; all its
    calls count as made at the latest.
    """
    step = max(1, -(-len(spent) // limit))
    return [
        [group[0][0], group[-1][1], sum(calls for _, _, calls in group)]
        for group in (spent[n : n + step] for n in range(0, len(spent), step))
    ]
