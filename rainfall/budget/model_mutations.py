"""Faults planted in the budget classes, each of which the search has to find."""

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
    """Quota is free again at once."""

    def window_us(self) -> int:
        """No window."""
        return 0


class AccountsFreedWhenTold(BudgetAccounts):
    """What a member has to give up counts as free once it is answered."""

    def free_calls(self, proposed: Any) -> int:
        """Calls that may be granted besides the proposed grants."""
        ahead = sum(
            a.usable_calls() - max(a.granted_calls(), a.reserve())
            for a in self.active_accounts()
        )
        return super().free_calls(proposed) + ahead


class AccountsWithoutReserves(BudgetAccounts):
    """Reserves of processes yet to join are not set aside."""

    def unassigned_reserve(self, soon: int = 0) -> int:
        """Nothing."""
        del soon
        return 0


class QuotaTakingOlderShares(MemberQuota):
    """A late answer replaces the newer share."""

    def receive_share(self, share: Share, valid_until_us: int, now_us: int) -> bool:
        """Take a share from an answer."""
        if share.token == self.share.token and share.number < self.share.number:
            self.share = replace(self.share, number=0)
        return super().receive_share(share, valid_until_us, now_us)
