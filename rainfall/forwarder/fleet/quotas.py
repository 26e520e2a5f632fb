"""A member's budgets: what it may send now, what the module is told of that, and the
service of its needs.

Sans-I/O. `now_us` is the member's own monotonic clock, the one its lease goes by.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import islice
from typing import Any

from rainfall.budget.config import MAX_BUDGETS
from rainfall.budget.demand import DemandTracker
from rainfall.budget.member_quota import MemberQuota
from rainfall.budget.types import Share, reuse_window_us
from rainfall.dispatch import QuotaChanged
from rainfall.forwarder.config.fleet_config import BudgetReserve
from rainfall.forwarder.fleet.state_file import QuotaRecords
from rainfall.lease.fencing_token import ZERO_TOKEN, Token

DEFAULT_SLACK_US = 5_000  # where the service tells none
DEFAULT_SPAN_US = 1_000_000  # demand is counted by it where no budget is known
DEMAND_GROWTH_FACTOR = (
    1.25  # needs that grew by so much since they were told are told at once
)
MAX_SPENT_ENTRIES = (
    4_096  # entries of all records together, at least one each: the disk may be 3 MB
)
MAX_PART_NAME_BYTES = (
    256 * 1024
)  # of all parts' names in one beat: it stays within the service's 1 MiB
ESCAPED_CHARACTER_BYTES = 12  # bytes in JSON of a character that is not ASCII, at most
UNKNOWN_PERIOD_CALLS = 1 << 40  # calls; stands for those of a time that is not known
log = logging.getLogger("rainfall.fleet")


@dataclass(slots=True)
class QuotaAccount:
    """One budget here."""

    quota: MemberQuota
    configured_reserve: BudgetReserve | None
    reason: str = "the configuration's reserve"
    published_unknown_period: tuple[int, int] = (0, 0)
    """Of which unknown time the module was told: its end, and the window it counts
    in.
    """
    published: bool = False
    """The module knows of it."""
    last_logged: tuple[Any, ...] = ()


class FleetQuotas:
    """All budgets of one member. `drift`: see docs/parts.md."""

    def __init__(
        self,
        budgets: Iterable[BudgetReserve],
        drift: float,
        records: QuotaRecords,
        now_us: int,
    ) -> None:
        self.drift, self.start_us = drift, now_us
        self.persisted = False
        """Until what a successor needs is on disk, nothing leaves."""
        self.accounts: dict[int, QuotaAccount] = {}
        self.demand: dict[int, DemandTracker] = {}
        self.reported_needs: dict[int, int] = {}
        self.granted_destinations: set[int] | None = None
        """Whose shares the service's last answer told; None before the first."""
        for destination, record in records.items():
            try:
                quota = MemberQuota.from_record(record, now_us, drift)
            except ValueError as error:
                log.warning(
                    "the record of destination %d counts as none: %s",
                    destination,
                    error,
                )
                quota = MemberQuota(now_us, drift)
            self.accounts[destination] = QuotaAccount(quota, None, "the process before")
        self.configure(budgets, now_us)

    def configure(self, budgets: Iterable[BudgetReserve], now_us: int) -> list[int]:
        """Budgets from the configuration, at the start and at SIGHUP.

        They hold where nothing was told yet; where a share was, a lower reserve binds
        at once, and a higher one waits for the service. Returns those that are no
        budgets any more: named neither here nor by the service's last answer.
        """
        named, removed = {reserve.destination: reserve for reserve in budgets}, []
        for destination, account in list(self.accounts.items()):
            account.configured_reserve = named.get(destination)
            granted = account.quota.share.token != ZERO_TOKEN and (
                self.granted_destinations is None
                or destination in self.granted_destinations
            )
            if account.configured_reserve is None and not granted:
                del self.accounts[destination]
                removed.append(destination)
        for destination, reserve in named.items():
            account = self.accounts.setdefault(
                destination, QuotaAccount(MemberQuota(now_us, self.drift), reserve)
            )
            account.configured_reserve, quota = reserve, account.quota
            if quota.share.token == ZERO_TOKEN:
                self._reset_share(
                    quota,
                    Share(
                        ZERO_TOKEN,
                        0,
                        reserve.reserve,
                        reserve.reserve,
                        reserve.calls,
                        reserve.span_us,
                        DEFAULT_SLACK_US,
                    ),
                    now_us,
                )
            elif reserve.reserve < quota.share.reserve:
                quota.share = replace(quota.share, reserve=reserve.reserve)
                account.reason = "the configuration's lower reserve"
        return removed

    def _reset_share(self, quota: MemberQuota, share: Share, now_us: int) -> None:
        quota.window.drop_expired(now_us)
        quota.share, quota.window.length_us = (
            share,
            reuse_window_us(share.span_us, share.slack_us, self.drift),
        )

    # What the service tells

    def apply_shares(
        self,
        token: Token,
        shares: Mapping[int, Mapping[str, Any]],
        valid_until_us: int,
        now_us: int,
    ) -> bool:
        """Shares from an answered beat that counts.

        Whether one came to be less: the service waits to hear that it binds.
        """
        shrank, self.granted_destinations = False, set(shares)
        for destination, grant in shares.items():
            account = self.accounts.get(destination)
            if account is None:
                account = self.accounts[destination] = QuotaAccount(
                    MemberQuota(now_us, self.drift), None
                )
            previous, configured_reserve = (
                account.quota.share,
                account.configured_reserve,
            )
            reserve = grant["reserve"] or 0
            if (
                configured_reserve is not None
            ):  # the configuration may hold it lower, never higher
                reserve = (
                    configured_reserve.reserve
                    if grant["reserve"] is None
                    else min(reserve, configured_reserve.reserve)
                )
            slack_us = (
                DEFAULT_SLACK_US
                if grant["slack_ms"] is None
                else grant["slack_ms"] * 1000
            )
            share = Share(
                token,
                grant["number"],
                grant["calls"],
                min(reserve, grant["calls"]),
                grant["whole"],
                grant["span_ms"] * 1000,
                slack_us,
            )
            if (
                account.quota.receive_share(share, valid_until_us, now_us)
                and share != previous
            ):
                shrank |= previous.token == token and share.calls < previous.calls
                account.reason = f"share {share.number} of the service"
        return shrank

    def on_lease_lost(self, now_us: int) -> None:
        for account in self.accounts.values():
            account.quota.fence(now_us)
            account.reason = "the lease was lost"

    def held_shares(self, token: Token) -> dict[str, list[int]]:
        found = {
            d: account.quota.held_share(token)
            for d, account in sorted(self.accounts.items())
        }
        return {str(d): list(held) for d, held in found.items() if held is not None}

    def known_reserves(self) -> dict[str, int]:
        """Reserves from before, for a service that may not know of them."""
        return {
            str(d): a.quota.share.reserve
            for d, a in sorted(self.accounts.items())
            if a.quota.share.token != ZERO_TOKEN and a.quota.share.reserve
        }

    # The last gate

    def acquire_permit(self, destination: int, now_us: int) -> int:
        """0: one call may leave now, and is counted.

        Else so many microseconds from now at the earliest; -1 where that is not known.
        """
        account = self.accounts.get(destination)
        if account is None:
            return 0
        if self.persisted and account.quota.spend(now_us):
            return 0
        available_at = account.quota.available_at(now_us) if self.persisted else None
        return -1 if available_at is None else max(available_at - now_us, 1)

    def on_call_sent(self, destination: int, spent_us: int, now_us: int) -> None:
        """Its first byte is out.

        Where the process was stopped since it was counted, it counts from now.
        """
        account = self.accounts.get(destination)
        if account is not None and account.quota.is_late(spent_us, now_us):
            account.quota.window.add(now_us, 1)

    # What the module is told

    def quota_event(self, destination: int, now_us: int, ahead_us: int) -> QuotaChanged:
        """As it stands; `ahead_us`: what the module's clock is ahead of this one."""
        account = self.accounts[destination]
        quota = account.quota
        share, spent = quota.share, []
        unknown_period = (quota.window.unknown_until_us, quota.window.length_us)
        if (
            unknown_period != account.published_unknown_period
            and sum(unknown_period) > now_us
        ):
            spent.append(
                (quota.window.unknown_until_us + ahead_us, UNKNOWN_PERIOD_CALLS)
            )
            account.published_unknown_period = unknown_period
        if not account.published:
            spent += [
                (latest + ahead_us, calls) for _, latest, calls in quota.window.entries
            ]
            account.published = True
        may_send = self.persisted and not quota.closed
        return QuotaChanged(
            destination,
            share.calls if may_send else 0,
            quota.window.length_us,
            quota.valid_until_us + ahead_us,
            share.reserve if may_send else 0,
            tuple(spent),
        )

    # What is needed

    def record_demand(self, destination: int, part: str, now_us: int) -> None:
        """One more call is wanted."""
        demand = self.demand.get(destination)
        if demand is None:
            if len(self.demand) >= MAX_BUDGETS and destination not in self.accounts:
                return
            account = self.accounts.get(destination)
            span_us = account.quota.share.span_us if account else 0
            demand = self.demand[destination] = DemandTracker(
                span_us or DEFAULT_SPAN_US
            )
        demand.record_calls(now_us, part)

    def needs(
        self, waiting: Mapping[int, Mapping[str, int]], now_us: int
    ) -> dict[str, dict[str, int]]:
        """For a beat, of as many destinations as the service takes: those with a budget
        here first. What is not wanted any more is forgotten.
        """
        found: dict[str, dict[str, int]] = {}
        for destination in sorted(
            {*self.demand, *waiting}, key=lambda d: (d not in self.accounts, d)
        ):
            demand = self.demand.get(destination) or DemandTracker(DEFAULT_SPAN_US)
            if parts := demand.demand_by_part(now_us, waiting.get(destination, {})):
                found[str(destination)] = parts
            elif destination not in self.accounts:
                self.demand.pop(destination, None)
        reported = collapse_long_parts(dict(islice(found.items(), MAX_BUDGETS)))
        self.reported_needs = {
            int(d): sum(parts.values()) for d, parts in reported.items()
        }
        return reported

    def has_grown_demand(self, waiting: Mapping[int, int], now_us: int) -> bool:
        """Whether more is needed of a budget than its share, and much more than was
        told.
        """
        for destination, account in self.accounts.items():
            demand, queued = self.demand.get(destination), waiting.get(destination, 0)
            if not queued:
                continue  # the share suffices
            needed = (
                sum(demand.demand_by_part(now_us, {}).values()) + queued
                if demand
                else queued
            )
            reported = self.reported_needs.get(destination, 0)
            if needed > max(
                DEMAND_GROWTH_FACTOR * reported,
                reported + 1,
                account.quota.limit(now_us),
            ):
                return True
        return False

    # For a successor

    def records(self) -> QuotaRecords:
        return {d: a.quota.to_record() for d, a in self.accounts.items()}

    def close(self, now_us: int) -> QuotaRecords:
        """Nothing leaves from here on."""
        records = {d: a.quota.close(now_us) for d, a in self.accounts.items()}
        most = max(MAX_SPENT_ENTRIES // max(1, len(records)), 1)
        for record in records.values():
            record["spent"] = merge_spent(record["spent"], most)
        return records

    def reopen(self) -> None:
        """The successor that it was closed for did not come to anything."""
        for account in self.accounts.values():
            account.quota.closed = False

    # Figures

    def metrics(self, now_us: int) -> dict[str, dict[str, Any]]:
        figures = {}
        for destination, account in sorted(self.accounts.items()):
            quota = account.quota
            quota.window.drop_expired(now_us)
            figures[str(destination)] = {
                "whole": quota.share.whole,
                "span_ms": quota.share.span_us // 1000,
                "share": quota.limit(now_us),
                "used": quota.window.call_count,
                "valid_for_ms": max(0, quota.valid_until_us - now_us) // 1000,
                "reserve": quota.share.reserve,
                "by": self.authority(account, now_us),
                "number": quota.share.number,
                "why": account.reason,
            }
        return figures

    def authority(self, account: QuotaAccount, now_us: int) -> str:
        return "lease" if now_us < account.quota.valid_until_us else "reserve"

    def changes(self, now_us: int) -> list[tuple[int, dict[str, Any]]]:
        """Budgets that stand otherwise than when this was last asked, with their
        figures.
        """
        found, figures = [], None
        for destination, account in sorted(self.accounts.items()):
            share = account.quota.share
            note = (
                self.authority(account, now_us),
                share.calls,
                share.reserve,
                share.whole,
                share.span_us,
            )
            if note != account.last_logged:
                if (
                    account.last_logged
                    and account.last_logged[0] == "lease" != note[0]
                    and account.reason.startswith("share")
                ):
                    account.reason = "the lease is out"
                elif note[0] == "lease":
                    account.reason = f"share {share.number} of the service"
                account.last_logged = note
                figures = figures or self.metrics(now_us)
                found.append((destination, figures[str(destination)]))
        return found


def collapse_long_parts(needs: dict[str, dict[str, int]]) -> dict[str, dict[str, int]]:
    """Needs by destination and part.

    Where the parts' names would make a beat too large, each destination's whole need
    stands under the part "" instead.
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
    """(first, latest, calls) in so many entries at most: calls of one count as made at
    its latest.
    """
    step = max(1, -(-len(spent) // limit))
    return [
        [group[0][0], group[-1][1], sum(calls for _, _, calls in group)]
        for group in (spent[n : n + step] for n in range(0, len(spent), step))
    ]
