"""All budgets at the list service: members come and go, beats acknowledge, plans become
durable, then told.

Sans I/O, like registry/core.py: `plan` prepares a change, its line goes to disk,
`commit` takes it into force; only what is committed is told. The caller decides who is
a member and when a lease is surely out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from rainfall.budget.account import (
    AccountState,
    BudgetAccounts,
    MemberAccount,
    QuotaGrant,
)
from rainfall.budget.rebalancing import Allocation, next_grants, rebalance
from rainfall.budget.types import Budget, Share, widen_for_drift
from rainfall.lease.fencing_token import Token


@dataclass(frozen=True, slots=True)
class MemberGrant:
    destination: str
    name: str
    token: Token
    grant: QuotaGrant


@dataclass(frozen=True, slots=True)
class Change:
    """What goes to disk as one: new shares, and ends of processes that others' new
    shares rest on.
    """

    number: int
    grants: tuple[MemberGrant, ...]
    ends: tuple[tuple[str, Token, AccountState], ...]
    opened: bool = True
    new_reserves_blocked: bool = False

    def to_record(self) -> dict[str, Any]:
        return {
            "budgets": self.number,
            "opened": self.opened,
            "shut": self.new_reserves_blocked,
            "grants": [
                [
                    g.destination,
                    g.name,
                    g.token.to_wire(),
                    g.grant.number,
                    g.grant.calls,
                    g.grant.reserve,
                ]
                for g in self.grants
            ],
            "ends": [
                [destination, token.to_wire(), state.value]
                for destination, token, state in self.ends
            ],
        }

    @staticmethod
    def from_record(raw: Mapping[str, Any]) -> Change:
        return Change(
            int(raw["budgets"]),
            tuple(
                MemberGrant(
                    str(d),
                    str(n),
                    Token.from_wire(t),
                    QuotaGrant(int(a), int(c), int(r)),
                )
                for d, n, t, a, c, r in raw["grants"]
            ),
            tuple(
                (str(d), Token.from_wire(t), AccountState(s)) for d, t, s in raw["ends"]
            ),
            bool(raw["opened"]),
            bool(raw["shut"]),
        )


class Ledger:
    """`lease_us`: the longest lease there is.

    Where `sure` is not said (folder lost, or perhaps an older copy), nothing is granted
    until every lease and window that may be unknown here is over, and no reserve to a
    process that does not say it had one, until the operator says that all who have are
    known.
    """

    def __init__(
        self,
        budgets: Iterable[Budget],
        max_lease_us: int,
        drift: float,
        now_us: int,
        sure: bool = False,
    ) -> None:
        self.max_lease_us, self.drift = max_lease_us, drift
        self.grants_from_us = (
            now_us if sure else now_us + widen_for_drift(max_lease_us, drift)
        )
        self.sure = self.opened = sure
        self.new_reserves_blocked = not sure
        self.persisted = True
        self.budget_accounts: dict[str, BudgetAccounts] = {}
        self.allocations: dict[str, Allocation] = {}
        self.names: dict[Token, str] = {}
        self.presumed_until_us: dict[Token, int] = {}
        """Restored, and not heard of since: their leases are surely out then."""
        self.number = 0
        self.pending: Change | None = None
        self.configure(budgets, now_us)

    def configure(self, budgets: Iterable[Budget], now_us: int) -> None:
        """Take checked budgets into force.

        One no longer named is told to nobody, but what was granted of it goes on being
        counted, so that it can come back.
        """
        named = {b.destination: b for b in budgets}
        for destination, budget in sorted(named.items()):
            book = self.budget_accounts.get(destination)
            if book is None:
                self._add_budget(budget)
                continue
            if budget.calls < book.budget.calls:
                self.allocations[destination].total_lowered = True
            book.configure(budget, now_us)
        for destination, book in self.budget_accounts.items():
            book.deconfigured = destination not in named

    def _add_budget(self, budget: Budget) -> BudgetAccounts:
        opens_us = self.grants_from_us + (
            0 if self.sure else budget.window_us(self.drift)
        )
        book = self.budget_accounts[budget.destination] = BudgetAccounts(
            budget, self.drift, opens_us
        )
        book.new_reserves_blocked = self.new_reserves_blocked
        book.accounts = {t: MemberAccount(name, t) for t, name in self.names.items()}
        self.allocations[budget.destination] = Allocation()
        return book

    # -- members
    # ------------------------------------------------------------------------------------------

    def member_joined(
        self,
        token: Token,
        name: str,
        follows: Token | None,
        now_us: int,
        keeps: Mapping[str, int] | None = None,
    ) -> None:
        """A process is in force under this token.

        `follows`: the token it, or the process whose folder it took over under lock,
        had before, and the reserves it `keeps` from then. May be said again; is said
        for all members after a restart.
        """
        self.names[token] = name
        self.presumed_until_us.pop(token, None)
        for destination, book in self.budget_accounts.items():
            account = book.accounts.setdefault(token, MemberAccount(name, token))
            if follows is not None and follows != token:
                book.transfer_reserve(
                    account,
                    book.accounts.get(follows),
                    (keeps or {}).get(destination, 0),
                    now_us,
                )
        if follows is not None and follows != token:
            self.names.pop(follows, None)

    def heartbeat(
        self,
        token: Token,
        needs: Mapping[str, Mapping[str, int]],
        holds: Mapping[str, tuple[int, int]],
        now_us: int,
    ) -> bool:
        """A beat as it arrives: calls needed in a span by destination and part, (calls,
        number) held. False where no such process is in force: it is to be told that it
        is lost.
        """
        if token not in self.names:
            return False
        self.presumed_until_us.pop(token, None)
        for destination, book in self.budget_accounts.items():
            account = book.accounts[token]
            book.set_demand(account, needs.get(destination, {}))
            if destination in holds:
                book.acknowledge(account, *holds[destination], now_us)
        return True

    def lease_expired(self, token: Token, now_us: int) -> None:
        """Its lease is surely out by this clock: only its reserve acts."""
        self._end_accounts(token, BudgetAccounts.expire, now_us)

    def process_ended(self, token: Token, now_us: int) -> None:
        """The process is surely at its end: it said so last of all, or the operator
        did.
        """
        self._end_accounts(token, BudgetAccounts.end, now_us)

    def confirm_reserves(self) -> None:
        """The operator's word after a lost folder: no process that was cut off through
        it has a reserve that is not listed in `state`. New processes are given theirs
        again.
        """
        self.persisted = self.persisted and not self.new_reserves_blocked
        self.new_reserves_blocked = False
        for book in self.budget_accounts.values():
            book.new_reserves_blocked = False

    def _end_accounts(self, token: Token, how: Any, now_us: int) -> None:
        self.names.pop(token, None)
        self.presumed_until_us.pop(token, None)
        for book in self.budget_accounts.values():
            if token in book.accounts:
                how(book, book.accounts[token], now_us)

    # -- shares
    # -------------------------------------------------------------------------------------------

    def plan(self, now_us: int, frozen: bool = False) -> Change | None:
        """The next change, to be written and then committed, or None where nothing is
        due. While one is pending it is returned again: a write that failed may have
        reached the disk, so it is repeated, never replaced. `frozen`: nothing is
        divided or moved. O(members log members) for each budget.
        """
        if self.pending is not None:
            return self.pending
        if not self.opened and all(
            now_us >= book.grants_from_us for book in self.budget_accounts.values()
        ):
            self.opened, self.persisted = True, False
        for token in sorted(
            t for t, until in self.presumed_until_us.items() if until <= now_us
        ):
            self.lease_expired(token, now_us)
        grants: list[MemberGrant] = []
        ends: list[tuple[str, Token, AccountState]] = []
        for destination, book in sorted(self.budget_accounts.items()):
            book.prune(now_us)
            news = [a for a in book.accounts.values() if not a.persisted]
            grants.extend(
                MemberGrant(destination, a.name, a.token, g)
                for a in news
                if a.state is AccountState.ACTIVE
                for g in a.grants
            )
            ends.extend(
                (destination, a.token, a.state)
                for a in news
                if a.state is not AccountState.ACTIVE
            )
            if (
                frozen
                or book.deconfigured
                or not self.opened
                or now_us < book.grants_from_us
            ):
                continue
            rebalance(self.allocations[destination], book, now_us)
            steps = next_grants(self.allocations[destination], book, now_us)
            grants.extend(
                MemberGrant(destination, book.accounts[t].name, t, g)
                for t, g in sorted(steps.items())
            )
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

    def commit(self, change: Change) -> None:
        """Take a change that is on disk into force: the next one, or while restoring,
        any in its order.
        """
        self.pending, self.number = None, change.number
        for g in change.grants:
            account = self.budget_accounts[g.destination].accounts.get(g.token)
            if account is None or account.state is not AccountState.ACTIVE:
                continue  # ended while it was written: it is never told
            if g.grant in account.grants:
                account.persisted = True  # a reserve that moved to it is on disk now
            elif not g.grant.number and not account.acknowledged_number:
                account.grants.insert(0, g.grant)
            elif g.grant.number > account.newest_number():
                account.add_grant(g.grant)
        for destination, token, state in change.ends:
            account = self.budget_accounts[destination].accounts.get(token)
            if account is not None and account.state is state:
                account.persisted = True

    def shares_for(self, token: Token) -> dict[str, Share]:
        """What a member is answered; valid as long as its lease.

        A budget that is not in it is no longer renewed.
        """
        shares: dict[str, Share] = {}
        for destination, book in sorted(self.budget_accounts.items()):
            account, budget = book.accounts.get(token), book.budget
            if (
                book.deconfigured
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
        """For `/_vars` and log lines, by destination."""
        told: dict[str, Any] = {}
        for destination, book in sorted(self.budget_accounts.items()):
            aim = self.allocations[destination]
            told[destination] = {
                "whole": book.budget.calls,
                "counted": book.committed_calls(),
                "free": book.free_calls({}),
                "cooling": sum(c for _, c in book.cooling),
                "set_aside": book.unassigned_reserve(),
                "scarce": aim.scarce,
                "why": aim.reason,
                "opens_in_us": max(0, book.grants_from_us - now_us),
                "shut": book.new_reserves_blocked,
                "members": [
                    {
                        "name": a.name,
                        "token": t.to_wire(),
                        "state": a.state.value,
                        "calls": a.granted_calls(),
                        "acts_on": a.usable_calls(),
                        "number": a.newest_number(),
                        "acked": a.acknowledged_number,
                        "reserve": a.reserve(),
                        "aim": aim.target_shares.get(t, 0),
                        "needs": a.total_demand(),
                    }
                    for t, a in sorted(book.accounts.items())
                ],
            }
        return told
