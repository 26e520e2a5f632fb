"""Bugs planted in the cores, each of which the search has to find."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from rainfall.budget.account import BudgetAccounts
from rainfall.budget.member_quota import MemberQuota
from rainfall.budget.types import Share

MUTATIONS = (
    "span not waited for",
    "freed when told",
    "no drift margin",
    "reserve not counted",
    "new process sends at once",
    "older answer adopted",
    "restart forgets what is unacknowledged",
    "lost folder grants at once",
)


class AccountsWithoutWindow(BudgetAccounts):
    def window_us(self) -> int:
        return 0


class AccountsFreedWhenTold(BudgetAccounts):
    """What a member is told to give up counts as free at once."""

    def free_calls(self, proposed: Any) -> int:
        ahead = sum(
            a.usable_calls() - max(a.granted_calls(), a.reserve())
            for a in self.active_accounts()
        )
        return super().free_calls(proposed) + ahead


class AccountsWithoutReserves(BudgetAccounts):
    def unassigned_reserve(self, soon: int = 0) -> int:
        return 0


class QuotaTakingOlderShares(MemberQuota):
    def receive_share(self, share: Share, valid_until_us: int, now_us: int) -> bool:
        if share.token == self.share.token and share.number < self.share.number:
            self.share = replace(self.share, number=0)
        return super().receive_share(share, valid_until_us, now_us)
