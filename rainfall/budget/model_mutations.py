"""Mutations of the budget classes, each of which the search has to detect."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from rainfall.budget.account import BudgetAccounts
from rainfall.budget.member_quota import MemberQuota
from rainfall.budget.types import Share

MUTATIONS = (
    "no window wait",
    "freed when answered",
    "no drift margin",
    "reserve not set aside",
    "successor sends at once",
    "older share accepted",
    "restart drops unacknowledged grants",
    "lost folder grants at once",
)


class AccountsWithoutWindow(BudgetAccounts):
    """Mutation: given up calls are free at once, without a window."""

    def window_us(self) -> int:
        """Return 0."""
        return 0


class AccountsFreedWhenAnswered(BudgetAccounts):
    """Mutation: a reduction frees calls when it is granted, not when acknowledged."""

    def free_calls(self, proposed: Any) -> int:
        """Free calls, with unacknowledged reductions counted as free."""
        freed_early = sum(
            account.usable_calls() - max(account.granted_calls(), account.reserve())
            for account in self.active_accounts()
        )
        return super().free_calls(proposed) + freed_early


class AccountsWithoutReserves(BudgetAccounts):
    """Mutation: no reserves are set aside for processes that may yet join."""

    def unassigned_reserve(self, pending_holders: int = 0) -> int:
        """Return 0."""
        del pending_holders
        return 0


class QuotaAcceptingOlderShares(MemberQuota):
    """Mutation: the older share of a late answer replaces the newer one."""

    def receive_share(self, share: Share, valid_until_us: int, now_us: int) -> bool:
        """Store the share, even if it is older than the one held."""
        if share.token == self.share.token and share.number < self.share.number:
            self.share = replace(self.share, number=0)
        return super().receive_share(share, valid_until_us, now_us)
