"""All budgets at the list service: members, their heartbeats, and the shares granted.

The ledger does no I/O: `plan` returns a change, the caller writes its record to disk,
and `commit` applies it; only committed shares are sent to members. The caller decides
who is a member and when a lease has expired on every clock.

All times are of the service's clock, in microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from rainfall.budget.account import (
    AccountState,
    BudgetAccounts,
    MemberAccount,
    QuotaGrant,
)
from rainfall.budget.rebalancing import Allocation, next_grants, rebalance
from rainfall.budget.types import Budget, HeldShare, Share, widen_for_drift
from rainfall.lease.fencing_token import Token

UNCONFIGURED_CALLS = 1
"""Total of a budget that is on disk but not configured, and so not granted."""
UNCONFIGURED_SPAN_US = 1
"""Span of a budget that is on disk but not configured."""


@dataclass(frozen=True, slots=True)
class MemberGrant:
    """A grant of one budget to one process."""

    destination: str
    name: str
    token: Token
    grant: QuotaGrant

    def to_row(self) -> list[Any]:
        """The grant's row in the record of a change."""
        grant = self.grant
        return [
            self.destination,
            self.name,
            self.token.to_wire(),
            grant.number,
            grant.calls,
            grant.reserve,
        ]

    @staticmethod
    def from_row(row: Iterable[Any]) -> MemberGrant:
        """Decode a row of `to_row`."""
        destination, name, token, number, calls, reserve = row
        return MemberGrant(
            str(destination),
            str(name),
            Token.from_wire(token),
            QuotaGrant(int(number), int(calls), int(reserve)),
        )


class AccountEnd(NamedTuple):
    """The end of a process's account of one budget: it is no longer active."""

    destination: str
    token: Token
    state: AccountState

    def to_row(self) -> list[Any]:
        """The end's row in the record of a change."""
        return [self.destination, self.token.to_wire(), self.state.value]

    @staticmethod
    def from_row(row: Iterable[Any]) -> AccountEnd:
        """Decode a row of `to_row`."""
        destination, token, state = row
        return AccountEnd(str(destination), Token.from_wire(token), AccountState(state))


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the ledger, written to disk as one record.

    It holds new grants, and the ends of accounts whose calls those grants may use.
    """

    number: int
    grants: tuple[MemberGrant, ...]
    ends: tuple[AccountEnd, ...]
    opened: bool = True
    """Whether granting has begun, after `grants_from_us` of every budget had passed."""
    new_reserves_blocked: bool = False
    """Whether a process without a reserve cannot get one."""

    def to_record(self) -> dict[str, Any]:
        """The form on disk, for JSON."""
        return {
            "budgets": self.number,
            "opened": self.opened,
            "shut": self.new_reserves_blocked,
            "grants": [grant.to_row() for grant in self.grants],
            "ends": [end.to_row() for end in self.ends],
        }

    @staticmethod
    def from_record(raw: Mapping[str, Any]) -> Change:
        """Decode a record.

        Raises:
            KeyError, TypeError, ValueError: `raw` is not the record of a change.
        """
        return Change(
            int(raw["budgets"]),
            tuple(MemberGrant.from_row(row) for row in raw["grants"]),
            tuple(AccountEnd.from_row(row) for row in raw["ends"]),
            bool(raw["opened"]),
            bool(raw["shut"]),
        )


class Ledger:
    """The budgets, their accounts and their allocations.

    Args:
        budgets: Validated budgets.
        max_lease_us: The longest time to live of a lease.
        drift: Fraction by which the rates of two clocks may differ.
        now_us: The present time.
        history_complete: Whether the folder is known to be complete. If it was lost or may be an
            older copy, nothing is granted until every lease and window that may be
            missing from it is over, and no process gets a first reserve until an
            operator confirms that all holders of reserves are known.
    """

    def __init__(
        self,
        budgets: Iterable[Budget],
        max_lease_us: int,
        drift: float,
        now_us: int,
        history_complete: bool = False,
    ) -> None:
        self.max_lease_us = max_lease_us
        self.drift = drift
        unknown_lease_us = (
            0 if history_complete else widen_for_drift(max_lease_us, drift)
        )
        self.grants_from_us = now_us + unknown_lease_us
        self.history_complete = history_complete
        self.opened = history_complete
        """Whether granting has begun, after `grants_from_us` of every budget had passed."""
        self.new_reserves_blocked = not history_complete
        self.persisted = True
        """Whether `opened` and `new_reserves_blocked` are on disk."""
        self.budget_accounts: dict[str, BudgetAccounts] = {}
        self.allocations: dict[str, Allocation] = {}
        self.names: dict[Token, str] = {}
        """Names of the active processes."""
        self.presumed_until_us: dict[Token, int] = {}
        """Lease expiry of each restored process that has sent no message since the start."""
        self.number = 0
        self.pending: Change | None = None
        self.configure(budgets, now_us)

    def configure(self, budgets: Iterable[Budget], now_us: int) -> None:
        """Replace the configured budgets by validated ones.

        A budget that is no longer configured is no longer sent to members. Its grants
        stay counted, so that it can be configured again.
        """
        configured = {budget.destination: budget for budget in budgets}
        for destination, budget in sorted(configured.items()):
            accounts = self.budget_accounts.get(destination)
            if accounts is None:
                self._add_budget(budget)
                continue
            if budget.calls < accounts.budget.calls:
                self.allocations[destination].total_lowered = True
            accounts.configure(budget, now_us)
        for destination, accounts in self.budget_accounts.items():
            accounts.deconfigured = destination not in configured

    def _add_budget(self, budget: Budget) -> BudgetAccounts:
        unknown_window_us = 0 if self.history_complete else budget.window_us(self.drift)
        grants_from_us = self.grants_from_us + unknown_window_us
        accounts = BudgetAccounts(budget, self.drift, grants_from_us)
        accounts.new_reserves_blocked = self.new_reserves_blocked
        accounts.accounts = {
            token: MemberAccount(name, token) for token, name in self.names.items()
        }
        self.budget_accounts[budget.destination] = accounts
        self.allocations[budget.destination] = Allocation()
        return accounts

    def accounts_for(self, destination: str) -> BudgetAccounts:
        """The accounts of a destination; added as deconfigured if it has no budget."""
        accounts = self.budget_accounts.get(destination)
        if accounts is None:
            budget = Budget(destination, UNCONFIGURED_CALLS, UNCONFIGURED_SPAN_US)
            accounts = self._add_budget(budget)
            accounts.deconfigured = True
        return accounts

    def member_joined(
        self,
        token: Token,
        name: str,
        follows: Token | None,
        now_us: int,
        kept_reserves: Mapping[str, int] | None = None,
    ) -> None:
        """Add a process that is active under this token.

        Repeated calls are allowed; it is called for all members after a restart.

        Args:
            token: The process's token.
            name: The member's name.
            follows: The former token of the process, or the token of the process whose
                folder it took over under lock; None without either.
            now_us: The present time.
            kept_reserves: The reserves that it holds from `follows`, by destination.
        """
        self.names[token] = name
        self.presumed_until_us.pop(token, None)
        predecessor_token = follows if follows != token else None
        for destination, accounts in self.budget_accounts.items():
            account = accounts.accounts.setdefault(token, MemberAccount(name, token))
            if predecessor_token is not None:
                predecessor = accounts.accounts.get(predecessor_token)
                kept_reserve = (kept_reserves or {}).get(destination, 0)
                accounts.transfer_reserve(account, predecessor, kept_reserve, now_us)
        if predecessor_token is not None:
            self.names.pop(predecessor_token, None)

    def heartbeat(
        self,
        token: Token,
        demand: Mapping[str, Mapping[str, int]],
        held_shares: Mapping[str, HeldShare],
        now_us: int,
    ) -> bool:
        """Process a heartbeat: store the demand and acknowledge the held shares.

        Args:
            token: The process's token.
            demand: Calls wanted in a span, by destination and by part of the demand: a
                class, or a class and a tenant.
            held_shares: The newest share that the process holds, by destination.
            now_us: The present time.

        Returns:
            False if the process is not active: it has lost its lease.
        """
        if token not in self.names:
            return False
        self.presumed_until_us.pop(token, None)
        for destination, accounts in self.budget_accounts.items():
            account = accounts.accounts[token]
            accounts.set_demand(account, demand.get(destination, {}))
            if destination in held_shares:
                calls, number = held_shares[destination]
                accounts.acknowledge(account, calls, number, now_us)
        return True

    def lease_expired(self, token: Token, now_us: int) -> None:
        """Handle a lease's expiry on every clock: the process uses only its reserve."""
        self._end_accounts(token, BudgetAccounts.expire, now_us)

    def process_ended(self, token: Token, now_us: int) -> None:
        """Handle a confirmed end, by the process's last message or an operator's request."""
        self._end_accounts(token, BudgetAccounts.end, now_us)

    def confirm_reserves(self) -> None:
        """Allow first reserves again.

        An operator confirms, after a lost folder, that every process with a reserve is
        listed in `status`.
        """
        self.persisted = self.persisted and not self.new_reserves_blocked
        self.new_reserves_blocked = False
        for accounts in self.budget_accounts.values():
            accounts.new_reserves_blocked = False

    def _end_accounts(
        self,
        token: Token,
        end: Callable[[BudgetAccounts, MemberAccount, int], None],
        now_us: int,
    ) -> None:
        self.names.pop(token, None)
        self.presumed_until_us.pop(token, None)
        for accounts in self.budget_accounts.values():
            if token in accounts.accounts:
                end(accounts, accounts.accounts[token], now_us)

    def plan(self, now_us: int, frozen: bool = False) -> Change | None:
        """The next change, to be written and then committed; None if nothing is due.

        A pending change is returned again: a failed write may have reached the disk, so
        the change is written again, never replaced. Takes O(members log members) for
        each budget.

        Args:
            now_us: The present time.
            frozen: No budget is rebalanced and no new share is granted; ends, moved
                reserves and `opened` are still written.
        """
        if self.pending is not None:
            return self.pending
        self._open(now_us)
        self._expire_presumed(now_us)
        grants: list[MemberGrant] = []
        ends: list[AccountEnd] = []
        for destination, accounts in sorted(self.budget_accounts.items()):
            accounts.prune(now_us)
            unpersisted = [
                account
                for account in accounts.accounts.values()
                if not account.persisted
            ]
            grants.extend(_grants_in_use(destination, unpersisted))
            ends.extend(_ends(destination, unpersisted))
            if not frozen and self._may_grant(accounts, now_us):
                grants.extend(self._next_grants(destination, accounts, now_us))
        if grants or ends or not self.persisted:
            self.pending = Change(
                self.number + 1,
                tuple(grants),
                tuple(ends),
                self.opened,
                self.new_reserves_blocked,
            )
            self.persisted = True
        return self.pending

    def _open(self, now_us: int) -> None:
        """Allow grants once `grants_from_us` of every budget has passed."""
        if not self.opened and all(
            now_us >= accounts.grants_from_us
            for accounts in self.budget_accounts.values()
        ):
            self.opened = True
            self.persisted = False

    def _expire_presumed(self, now_us: int) -> None:
        expired = sorted(
            token
            for token, until_us in self.presumed_until_us.items()
            if until_us <= now_us
        )
        for token in expired:
            self.lease_expired(token, now_us)

    def _may_grant(self, accounts: BudgetAccounts, now_us: int) -> bool:
        if accounts.deconfigured or not self.opened:
            return False
        return now_us >= accounts.grants_from_us

    def _next_grants(
        self, destination: str, accounts: BudgetAccounts, now_us: int
    ) -> list[MemberGrant]:
        """Rebalance a budget if it is due, and return the next grants towards its targets."""
        allocation = self.allocations[destination]
        rebalance(allocation, accounts, now_us)
        grants = next_grants(allocation, accounts, now_us)
        return [
            MemberGrant(destination, accounts.accounts[token].name, token, grant)
            for token, grant in sorted(grants.items())
        ]

    def commit(self, change: Change) -> None:
        """Apply a change that is on disk.

        It is the pending change, or while restoring, the next in the order of `number`.
        """
        self.pending = None
        self.number = change.number
        for member_grant in change.grants:
            accounts = self.budget_accounts[member_grant.destination]
            account = accounts.accounts.get(member_grant.token)
            # If the process ended meanwhile, the grant is never sent.
            if account is not None and account.state is AccountState.ACTIVE:
                _commit_grant(account, member_grant.grant)
        for end in change.ends:
            account = self.budget_accounts[end.destination].accounts.get(end.token)
            if account is not None and account.state is end.state:
                account.persisted = True

    def shares_for(self, token: Token) -> dict[str, Share]:
        """The shares to send to a member, by destination; valid as long as the member's lease.

        A share whose budget is missing from the result is no longer renewed.
        """
        shares: dict[str, Share] = {}
        for destination, accounts in sorted(self.budget_accounts.items()):
            account = accounts.accounts.get(token)
            budget = accounts.budget
            if (
                accounts.deconfigured
                or account is None
                or account.state is not AccountState.ACTIVE
                or not account.newest_number()
            ):
                continue
            newest = account.grants[-1]
            shares[destination] = Share(
                token,
                newest.number,
                newest.calls,
                newest.reserve,
                budget.calls,
                budget.span_us,
                budget.slack_us,
            )
        return shares

    def status(self, now_us: int) -> dict[str, Any]:
        """The state by destination, for `/_vars` and the log."""
        return {
            destination: _budget_status(accounts, self.allocations[destination], now_us)
            for destination, accounts in sorted(self.budget_accounts.items())
        }


def _grants_in_use(
    destination: str, accounts: Iterable[MemberAccount]
) -> Iterator[MemberGrant]:
    for account in accounts:
        if account.state is AccountState.ACTIVE:
            for grant in account.grants:
                yield MemberGrant(destination, account.name, account.token, grant)


def _ends(destination: str, accounts: Iterable[MemberAccount]) -> Iterator[AccountEnd]:
    for account in accounts:
        if account.state is not AccountState.ACTIVE:
            yield AccountEnd(destination, account.token, account.state)


def _commit_grant(account: MemberAccount, grant: QuotaGrant) -> None:
    if grant in account.grants:
        # The reserve that was moved to this account is now on disk.
        account.persisted = True
    elif not grant.number and not account.acknowledged_number:
        # Number 0: a reserve that was moved from a predecessor's account.
        account.grants.insert(0, grant)
    elif grant.number > account.newest_number():
        account.add_grant(grant)


def _budget_status(
    accounts: BudgetAccounts, allocation: Allocation, now_us: int
) -> dict[str, Any]:
    return {
        "whole": accounts.budget.calls,
        "counted": accounts.committed_calls(),
        "free": accounts.free_calls({}),
        "cooling": accounts.cooling_calls(),
        "set_aside": accounts.unassigned_reserve(),
        "scarce": allocation.scarce,
        "why": allocation.reason,
        "opens_in_us": max(0, accounts.grants_from_us - now_us),
        "shut": accounts.new_reserves_blocked,
        "members": [
            _account_status(account, allocation)
            for _, account in sorted(accounts.accounts.items())
        ],
    }


def _account_status(account: MemberAccount, allocation: Allocation) -> dict[str, Any]:
    return {
        "name": account.name,
        "token": account.token.to_wire(),
        "state": account.state.value,
        "calls": account.granted_calls(),
        "acts_on": account.usable_calls(),
        "number": account.newest_number(),
        "acked": account.acknowledged_number,
        "reserve": account.reserve(),
        "aim": allocation.target_shares.get(account.token, 0),
        "needs": account.total_demand(),
    }
