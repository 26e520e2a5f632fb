"""A member's quotas, one per destination with a budget, and its demand for calls.

The quotas go to the dispatcher, the demand to the list service. There is no I/O here.
`now_us` is always the time of the member's monotonic clock (`heartbeats.now_us`), which
also times its lease.
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
"""Slack of a share for which the service gives none."""
DEFAULT_SPAN_US = US_PER_SECOND
"""Span over which demand is counted for a destination without a known budget."""
DEMAND_GROWTH_FACTOR = 1.25
"""Demand above this multiple of the last reported demand is reported at once."""
MAX_SPENT_ENTRIES = 4_096
"""Limit of the `spent` entries of all records together, with at least one per record:
the state directory may hold 3 MB.
"""
MAX_PART_NAME_BYTES = 256 * 1024
"""Limit of the parts' names in a heartbeat, whose body the service limits to 1 MiB."""
ESCAPED_CHARACTER_BYTES = 12
"""Upper bound of a non-ASCII character's length in JSON: two escapes of 6 bytes."""
UNKNOWN_PERIOD_CALLS = 1 << 40
"""Calls reported to the dispatcher for an unknown period: more than any quota allows."""
MIN_PERMIT_DELAY_US = 1
"""Least delay of a permit that is not granted: 0 would be PERMIT_GRANTED."""
log = logging.getLogger("rainfall.fleet")


class UnknownPeriod(NamedTuple):
    """A period up to `until_us` in which an unknown number of calls was sent."""

    until_us: int
    window_us: int
    """Length of the sliding window in which these calls still count."""


NO_UNKNOWN_PERIOD = UnknownPeriod(0, 0)


class LoggedQuota(NamedTuple):
    """The properties of a quota whose change is logged."""

    authority: str
    calls: int
    reserve: int
    whole: int
    span_us: int


@dataclass(slots=True)
class QuotaAccount:
    """The quota of one destination, and the state in which it was last published."""

    quota: MemberQuota
    configured_reserve: BudgetReserve | None
    """The reserve in the configuration, if it names the destination."""
    reason: str = "the configuration's reserve"
    """The origin of the present quota, for logs and metrics."""
    published_unknown_period: UnknownPeriod = NO_UNKNOWN_PERIOD
    """The last unknown period that was sent to the dispatcher."""
    published: bool = False
    """Whether the calls in the window were sent to the dispatcher."""
    last_logged: LoggedQuota | None = None
    """The properties in the last log line about this quota."""


class FleetQuotas:
    """All quotas and all demand of one member, by destination."""

    def __init__(
        self,
        budgets: Iterable[BudgetReserve],
        drift: float,
        records: QuotaRecords,
        now_us: int,
    ) -> None:
        """Restore the previous process's quotas, and apply the configuration.

        Args:
            budgets: The reserves in the configuration.
            drift: Maximum relative difference of two clocks' rates; see docs/parts.md.
            records: The records in the previous process's state file.
            now_us: The time.
        """
        self.drift = drift
        self.start_us = now_us
        self.persisted = False
        """Whether the state file is up to date; until it is, no permit is granted."""
        self.accounts: dict[int, QuotaAccount] = {}
        self.demand: dict[int, DemandTracker] = {}
        self.reported_needs: dict[int, int] = {}
        """Total demand in the last heartbeat, by destination."""
        self.granted_destinations: set[int] | None = None
        """Destinations with a share in the last answer; None before the first one."""
        for destination, record in records.items():
            quota = self._restore_quota(destination, record, now_us)
            self.accounts[destination] = QuotaAccount(quota, None, "the process before")
        self.configure(budgets, now_us)

    def _restore_quota(
        self, destination: int, record: dict[str, Any], now_us: int
    ) -> MemberQuota:
        """Return the quota of a record, or a new one if the record is invalid."""
        try:
            return MemberQuota.from_record(record, now_us, self.drift)
        except ValueError as error:
            log.warning(
                "cannot read the quota record of destination %d, treated as missing: %s",
                destination,
                error,
            )
            return MemberQuota(now_us, self.drift)

    def configure(self, budgets: Iterable[BudgetReserve], now_us: int) -> list[int]:
        """Apply the reserves in the configuration, at the start and at SIGHUP.

        A destination without a granted share uses its configured reserve. If it has a
        share, a lower configured reserve applies at once, while a higher one has to be
        granted by the service.

        Returns:
            The destinations that no longer have a budget, because neither the
            configuration nor the service's last answer names them.
        """
        reserves = {reserve.destination: reserve for reserve in budgets}
        removed: list[int] = []
        for destination, account in list(self.accounts.items()):
            account.configured_reserve = reserves.get(destination)
            if account.configured_reserve is None and not self._is_granted(
                destination, account
            ):
                del self.accounts[destination]
                removed.append(destination)
        for destination, reserve in reserves.items():
            account = self.accounts.setdefault(
                destination, QuotaAccount(MemberQuota(now_us, self.drift), reserve)
            )
            account.configured_reserve = reserve
            self._apply_reserve(account, reserve, now_us)
        return removed

    def _is_granted(self, destination: int, account: QuotaAccount) -> bool:
        """Whether the service has granted a share and not withdrawn it since."""
        return account.quota.share.token != ZERO_TOKEN and (
            self.granted_destinations is None
            or destination in self.granted_destinations
        )

    def _apply_reserve(
        self, account: QuotaAccount, reserve: BudgetReserve, now_us: int
    ) -> None:
        """Apply a configured reserve to the account; see `configure`."""
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
            self._replace_share(quota, share, now_us)
        elif reserve.reserve < quota.share.reserve:
            quota.share = replace(quota.share, reserve=reserve.reserve)
            account.reason = "the configuration's lower reserve"

    def _replace_share(self, quota: MemberQuota, share: Share, now_us: int) -> None:
        """Replace a quota's share, and fit the window's length to the new span."""
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
        """Apply the shares of a granted heartbeat.

        Args:
            token: The lease's fencing token.
            shares: By destination, with the fields of `BudgetShare`.
            valid_until_us: The lease's expiry, by the clock of `now_us`.
            now_us: The time.

        Returns:
            Whether a share became smaller. The service then waits for the next
            heartbeat, which acknowledges it.
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
        """Convert a share; the configuration can lower its reserve, but not raise it."""
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
        """Limit every quota to its reserve, as the lease is lost."""
        for account in self.accounts.values():
            account.quota.fence(now_us)
            account.reason = "the lease was lost"

    def held_shares(self, token: Token) -> dict[str, list[int]]:
        """Return the shares to acknowledge in a heartbeat.

        Args:
            token: The fencing token under which they were granted.

        Returns:
            [calls, number] by destination.
        """
        held_by_destination = {
            destination: account.quota.held_share(token)
            for destination, account in sorted(self.accounts.items())
        }
        return {
            str(destination): list(held)
            for destination, held in held_by_destination.items()
            if held is not None
        }

    def known_reserves(self) -> dict[str, int]:
        """Return the reserves kept from an earlier lease, by destination, for a join.

        The service may no longer have them; it counts them as in use by this member.
        """
        return {
            str(destination): account.quota.share.reserve
            for destination, account in sorted(self.accounts.items())
            if account.quota.share.token != ZERO_TOKEN and account.quota.share.reserve
        }

    # Permits

    def acquire_permit(self, destination: int, now_us: int) -> int:
        """Grant a permit for one call, and count the call, if the quota allows it now.

        Returns:
            PERMIT_GRANTED; else the delay in microseconds after which to try again at
            the earliest, or PERMIT_TIME_UNKNOWN.
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
        """Record that a call's first byte was sent.

        If that is later than the share's slack after the permit, because the process
        was suspended in between, the call is counted again, with the present time.

        Args:
            destination: The call's destination.
            spent_us: When its permit was granted.
            now_us: The time.
        """
        account = self.accounts.get(destination)
        if account is not None and account.quota.is_late(spent_us, now_us):
            account.quota.window.add(now_us, 1)

    # For the dispatcher

    def quota_event(
        self, destination: int, now_us: int, clock_offset_us: int
    ) -> QuotaChanged:
        """Return a destination's quota as an event for the dispatcher.

        Args:
            destination: A destination with a quota.
            now_us: The time.
            clock_offset_us: The dispatcher's clock minus this one, for the event's
                times.
        """
        account = self.accounts[destination]
        quota = account.quota
        spent: list[tuple[int, int]] = []
        unknown = UnknownPeriod(quota.window.unknown_until_us, quota.window.length_us)
        if (
            unknown != account.published_unknown_period
            and unknown.until_us + unknown.window_us > now_us
        ):
            spent.append((unknown.until_us + clock_offset_us, UNKNOWN_PERIOD_CALLS))
            account.published_unknown_period = unknown
        if not account.published:
            spent += [
                (latest_us + clock_offset_us, calls)
                for _, latest_us, calls in quota.window.entries
            ]
            account.published = True
        may_send = self.persisted and not quota.closed
        return QuotaChanged(
            destination,
            quota.share.calls if may_send else 0,
            quota.window.length_us,
            quota.valid_until_us + clock_offset_us,
            quota.share.reserve if may_send else 0,
            tuple(spent),
        )

    # Demand

    def record_demand(self, destination: int, part: str, now_us: int) -> None:
        """Count one more call that is wanted.

        Args:
            destination: The destination.
            part: The part of demand, "CLASS" or "CLASS/TENANT".
            now_us: The time.
        """
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
        """Return the demand for a heartbeat: calls in a span, by destination and part.

        At most MAX_BUDGETS destinations are reported, the limit of the service; those
        with a quota come first. The tracker of a destination without a quota is dropped
        once its demand has ended.

        Args:
            waiting: Number of unsent messages, by destination and part.
            now_us: The time.
        """
        needs: dict[str, dict[str, int]] = {}
        for destination in sorted(
            {*self.demand, *waiting}, key=lambda d: (d not in self.accounts, d)
        ):
            demand = self.demand.get(destination) or DemandTracker(DEFAULT_SPAN_US)
            parts = demand.demand_by_part(now_us, waiting.get(destination, {}))
            if parts:
                needs[str(destination)] = parts
            elif destination not in self.accounts:
                self.demand.pop(destination, None)
        reported = collapse_long_parts(dict(islice(needs.items(), MAX_BUDGETS)))
        self.reported_needs = {
            int(name): sum(parts.values()) for name, parts in reported.items()
        }
        return reported

    def has_grown_demand(self, waiting: Mapping[int, int], now_us: int) -> bool:
        """Whether some quota is below its demand, which has grown since it was reported.

        Args:
            waiting: Number of unsent messages, by destination.
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
        """Whether demand exceeds the quota, and DEMAND_GROWTH_FACTOR times the report."""
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

    # For the state file

    def records(self) -> QuotaRecords:
        """Return the records of all quotas while they remain in use."""
        return {
            destination: account.quota.to_record()
            for destination, account in self.accounts.items()
        }

    def close(self, now_us: int) -> QuotaRecords:
        """Close all quotas, and return their records with the calls in the window."""
        records = {
            destination: account.quota.close(now_us)
            for destination, account in self.accounts.items()
        }
        entries_per_record = max(MAX_SPENT_ENTRIES // max(1, len(records)), 1)
        for record in records.values():
            record["spent"] = merge_spent(record["spent"], entries_per_record)
        return records

    def suspend(self) -> None:
        """Grant no permit until the records are written again.

        A successor may use the records on disk from here on. They lack any call that is
        sent after they were written, so such a call would exceed the budget.
        """
        self.persisted = False

    def reopen(self) -> None:
        """Undo `close`, as no successor took over."""
        for account in self.accounts.values():
            account.quota.closed = False

    # Metrics

    def metrics(self, now_us: int) -> dict[str, dict[str, Any]]:
        """Return the metrics of all quotas by destination."""
        metrics = {}
        for destination, account in sorted(self.accounts.items()):
            quota = account.quota
            quota.window.drop_expired(now_us)
            metrics[str(destination)] = {
                "whole": quota.share.total,
                "span_ms": quota.share.span_us // US_PER_MS,
                "share": quota.limit(now_us),
                "used": quota.window.call_count,
                "valid_for_ms": max(0, quota.valid_until_us - now_us) // US_PER_MS,
                "reserve": quota.share.reserve,
                "by": self.authority(account, now_us),
                "number": quota.share.number,
                "why": account.reason,
            }
        return metrics

    def authority(self, account: QuotaAccount, now_us: int) -> str:
        """Return the basis of the present limit: "lease", or "reserve" without one."""
        return "lease" if now_us < account.quota.valid_until_us else "reserve"

    def take_changed_metrics(self, now_us: int) -> list[tuple[int, dict[str, Any]]]:
        """Return destination and metrics of each quota that changed since the last call.

        The properties of `LoggedQuota` are compared. The metrics are those of `metrics`.
        """
        changed: list[tuple[int, dict[str, Any]]] = []
        metrics: dict[str, dict[str, Any]] = {}
        for destination, account in sorted(self.accounts.items()):
            share = account.quota.share
            current = LoggedQuota(
                self.authority(account, now_us),
                share.calls,
                share.reserve,
                share.total,
                share.span_us,
            )
            if current == account.last_logged:
                continue
            self._update_reason(account, current.authority)
            account.last_logged = current
            metrics = metrics or self.metrics(now_us)
            changed.append((destination, metrics[str(destination)]))
        return changed

    @staticmethod
    def _update_reason(account: QuotaAccount, authority: str) -> None:
        """Update the reason if the lease has expired or is valid again."""
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
    """Limit the size of the demand by destination and part in a heartbeat.

    If the names of all parts exceed MAX_PART_NAME_BYTES, each destination's demand is
    summed up under the part "" instead.
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
    """Merge adjacent entries of a window, so that at most `limit` remain.

    An entry is [first_us, latest_us, calls]. All its calls count as sent at the latest
    time, so a merge never lets a call expire too early.
    """
    group_size = max(1, -(-len(spent) // limit))
    return [
        [group[0][0], group[-1][1], sum(calls for _, _, calls in group)]
        for group in (
            spent[start : start + group_size]
            for start in range(0, len(spent), group_size)
        )
    ]
