"""One budget's accounts at the list service.

What each process may still use, what cools, and what is free. The rule: quota is free
only once its former holder can no longer use it, and a whole window after that.

All times are of the service's clock, in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from rainfall.budget.types import Budget
from rainfall.lease.fencing_token import Token

MAX_UNACKNOWLEDGED_GRANTS = 8
"""Unacknowledged grants kept apart for a process; older ones count as one."""


class AccountState(Enum):
    """What a process may use; the value is its form on disk."""

    ACTIVE = "in"
    """Its lease may be valid: any share that it was granted and did not give up."""
    EXPIRED = "out"
    """Its lease has expired: its reserve, for as long as the service knows nothing."""
    ENDED = "over"
    """Nothing, but its last call may just have been sent."""


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """One share granted to one process, numbered in its order."""

    number: int
    calls: int
    reserve: int


class CoolingCalls(NamedTuple):
    """Calls given up or expired, while a window may still hold the last of them."""

    until_us: int
    calls: int


@dataclass(slots=True)
class MemberAccount:
    """One process, identified by the token of its incarnation."""

    name: str
    token: Token
    grants: list[QuotaGrant] = field(default_factory=list)
    """Those it may use, by number; only the last, the newest, is answered."""
    acknowledged_number: int = 0
    state: AccountState = AccountState.ACTIVE
    removable_at_us: int = 0
    lent_until_us: int = 0
    """Until then it may keep more than its target."""
    persisted: bool = True
    """Whether the account's reserve and state are on disk."""
    demand: Mapping[str, int] = field(default_factory=dict)
    """Calls wanted in a span, by part."""

    def granted_calls(self) -> int:
        """Calls of its newest share; 0 before the first."""
        return self.grants[-1].calls if self.grants else 0

    def newest_number(self) -> int:
        """The number of its newest share."""
        return self.grants[-1].number if self.grants else self.acknowledged_number

    def reserve(self) -> int:
        """The highest reserve that it may use."""
        # Nearly always one, and each plan asks this of all members.
        if len(self.grants) == 1:
            return self.grants[0].reserve
        return max((grant.reserve for grant in self.grants), default=0)

    def usable_calls(self) -> int:
        """Calls in a span that it may use now, whichever messages were lost."""
        if self.state is not AccountState.ACTIVE:
            return self.reserve()
        if len(self.grants) == 1:
            return self.grants[0].calls
        return max((grant.calls for grant in self.grants), default=0)

    def total_demand(self) -> int:
        """Calls wanted in a span, of all parts."""
        return sum(self.demand.values())

    def add_grant(self, grant: QuotaGrant) -> None:
        """Add the newest share; the oldest two count as one if there are too many."""
        self.grants.append(grant)
        if len(self.grants) > MAX_UNACKNOWLEDGED_GRANTS:
            first, second = self.grants[:2]
            merged = QuotaGrant(
                second.number,
                max(first.calls, second.calls),
                max(first.reserve, second.reserve),
            )
            self.grants[:2] = [merged]


class BudgetAccounts:
    """The accounts of one budget."""

    def __init__(self, budget: Budget, drift: float, opens_us: int) -> None:
        self.budget = budget
        self.drift = drift
        self.grants_from_us = opens_us
        """Nothing is granted before: until then unknown shares may be in use."""
        self.deconfigured = False
        self.new_reserves_blocked = False
        """No process gets its first reserve: it is uncertain who has one already."""
        self.accounts: dict[Token, MemberAccount] = {}
        self.inputs_changed = True
        """Whether a division would see other inputs than the last one did."""
        self.cooling: list[CoolingCalls] = []

    def window_us(self) -> int:
        """How long after a `spend` the call's quota may be used again."""
        return self.budget.window_us(self.drift)

    def configure(self, budget: Budget, now_us: int) -> None:
        """Put a changed budget in force."""
        former_window_us = self.window_us()
        self.budget = budget
        self.inputs_changed = True
        if self.deconfigured or self.window_us() > former_window_us:
            # What cooled by the shorter window may have been used within this one.
            self.grants_from_us = max(self.grants_from_us, now_us + self.window_us())
        self.deconfigured = False

    def active_accounts(self) -> list[MemberAccount]:
        """Accounts of processes in force, in the order of their joining."""
        return [
            account
            for account in self.accounts.values()
            if account.state is AccountState.ACTIVE
        ]

    def set_demand(self, account: MemberAccount, demand: Mapping[str, int]) -> None:
        """Take the demand that a process reported."""
        if demand != account.demand:
            account.demand = demand
            self.inputs_changed = True

    def acknowledge(
        self, account: MemberAccount, calls: int, number: int, now_us: int
    ) -> None:
        """The process holds this share, and from now on no older one.

        A late heartbeat says nothing new. A share above what was granted here counts as
        reported: the service was restored from an older copy.
        """
        if (
            account.state is not AccountState.ACTIVE
            or number < account.acknowledged_number
        ):
            return
        calls_before = account.usable_calls()
        remaining = [grant for grant in account.grants if grant.number >= number]
        if not remaining or remaining[0].number > number or remaining[0].calls < calls:
            if remaining and remaining[0].number == number:
                remaining.pop(0)
            reserve = min(max(account.reserve(), self.budget.reserve), calls)
            remaining.insert(0, QuotaGrant(number, calls, reserve))
        account.grants = remaining
        account.acknowledged_number = number
        self._start_cooling(calls_before - account.usable_calls(), now_us)

    def expire(self, account: MemberAccount, now_us: int) -> None:
        """The process's lease has expired on every clock."""
        self._change_state(account, AccountState.EXPIRED, now_us)

    def end(self, account: MemberAccount, now_us: int) -> None:
        """The process has surely ended."""
        if account.state is not AccountState.ENDED:
            account.removable_at_us = now_us + self.window_us()
        self._change_state(account, AccountState.ENDED, now_us)

    def transfer_reserve(
        self,
        account: MemberAccount,
        predecessor: MemberAccount | None,
        kept_reserve: int,
        now_us: int,
    ) -> None:
        """Move the reserve to the same process under a new token, or to its successor.

        It may use the predecessor's reserve before it is answered anything; the
        predecessor has ended otherwise. Where the predecessor is not known, because the
        service lost its folder, `kept_reserve` is what the process reports.
        """
        predecessor_reserve = predecessor.reserve() if predecessor else 0
        reserve = max(kept_reserve, predecessor_reserve)
        if reserve > account.reserve() and not account.acknowledged_number:
            # Also beside a grant made meanwhile: the process may never receive that.
            account.grants.insert(0, QuotaGrant(0, reserve, reserve))
            account.persisted = False
        if predecessor:
            self.end(predecessor, now_us)
            predecessor.grants = []
            predecessor.persisted = False

    def _change_state(
        self, account: MemberAccount, state: AccountState, now_us: int
    ) -> None:
        if account.state is state or account.state is AccountState.ENDED:
            return
        calls_before = account.usable_calls()
        self.inputs_changed = True
        account.state = state
        account.persisted = False
        self._start_cooling(calls_before - account.usable_calls(), now_us)

    def _start_cooling(self, calls: int, now_us: int) -> None:
        if calls > 0:
            self.cooling.append(CoolingCalls(now_us + self.window_us(), calls))

    def prune(self, now_us: int) -> None:
        """Forget what has cooled, and processes that can use nothing any more.

        Their end has to be on disk: a restart would otherwise take them for holders of
        what others have been granted since.
        """
        self.cooling = [entry for entry in self.cooling if entry.until_us > now_us]
        removable = [
            account.token
            for account in self.accounts.values()
            if account.state is not AccountState.ACTIVE
            and account.persisted
            and not _is_counted(account, now_us)
        ]
        for token in removable:
            del self.accounts[token]

    def reserve_holders(self) -> int:
        """Processes that may use a reserve."""
        return sum(account.reserve() > 0 for account in self.accounts.values())

    def unassigned_reserve(self, pending_holders: int = 0) -> int:
        """Set aside for processes that have no reserve yet.

        Those about to get one, `pending_holders`, are not counted.
        """
        return self.budget.reserve * max(
            0, self.budget.members_max - self.reserve_holders() - pending_holders
        )

    def cooling_calls(self) -> int:
        """Calls that cool."""
        return sum(entry.calls for entry in self.cooling)

    def committed_calls(self) -> int:
        """All that is not free: usable by processes, cooling, or set aside."""
        return self.budget.calls - self.free_calls({})

    def free_calls(self, proposed: Mapping[Token, QuotaGrant]) -> int:
        """Calls that may be granted besides the proposed grants.

        Negative while shares of a total that was lowered have yet to expire.
        """
        held = sum(
            max(account.usable_calls(), proposed[token].calls)
            if token in proposed
            else account.usable_calls()
            for token, account in self.accounts.items()
        )
        pending_holders = sum(
            grant.reserve > 0 and not self.accounts[token].reserve()
            for token, grant in proposed.items()
        )
        return (
            self.budget.calls
            - held
            - self.cooling_calls()
            - self.unassigned_reserve(pending_holders)
        )


def _is_counted(account: MemberAccount, now_us: int) -> bool:
    """Whether a process that is not active may still use its reserve, or just did."""
    if not account.reserve():
        return False
    return account.state is AccountState.EXPIRED or account.removable_at_us > now_us
