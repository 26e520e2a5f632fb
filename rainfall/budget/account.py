"""One budget's accounts at the list service.

They track the calls that each process may still use, the cooling calls, and the free
calls. Calls become free only after their former holder can no longer use them and a
whole window has passed since.

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
"""Most unacknowledged grants stored for a process; older ones are merged."""


class AccountState(Enum):
    """The state of an account, which limits what its process may use.

    The value is the form on disk.
    """

    ACTIVE = "in"
    """The lease may be valid: the process may use any unacknowledged or newest share."""
    EXPIRED = "out"
    """The lease has expired: the process may use its reserve, until it ends."""
    ENDED = "over"
    """The process has ended: it uses nothing, but may have sent a call just before."""


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """A share granted to a process; `number` increases with each grant to it."""

    number: int
    calls: int
    reserve: int


class CoolingCalls(NamedTuple):
    """Calls given up by a process, not free until a window after their last use."""

    until_us: int
    calls: int


@dataclass(slots=True)
class MemberAccount:
    """The account of one process, identified by the token of its incarnation."""

    name: str
    token: Token
    grants: list[QuotaGrant] = field(default_factory=list)
    """Shares that it may use, ordered by number; only the last is sent to it."""
    acknowledged_number: int = 0
    state: AccountState = AccountState.ACTIVE
    removable_at_us: int = 0
    lent_until_us: int = 0
    """End of its loan: until then it may hold more than its target share."""
    persisted: bool = True
    """Whether the account's reserve and state are on disk."""
    demand: Mapping[str, int] = field(default_factory=dict)
    """Calls wanted in a span, by part."""

    def granted_calls(self) -> int:
        """Calls of its newest share; 0 without one."""
        return self.grants[-1].calls if self.grants else 0

    def newest_number(self) -> int:
        """The number of its newest share, granted or acknowledged."""
        return self.grants[-1].number if self.grants else self.acknowledged_number

    def reserve(self) -> int:
        """The highest reserve that it may use."""
        # There is nearly always one grant, and each plan calls this for all members.
        if len(self.grants) == 1:
            return self.grants[0].reserve
        return max((grant.reserve for grant in self.grants), default=0)

    def usable_calls(self) -> int:
        """Most calls in a span that it may make, whichever messages were lost."""
        if self.state is not AccountState.ACTIVE:
            return self.reserve()
        if len(self.grants) == 1:
            return self.grants[0].calls
        return max((grant.calls for grant in self.grants), default=0)

    def total_demand(self) -> int:
        """Calls wanted in a span, over all parts."""
        return sum(self.demand.values())

    def add_grant(self, grant: QuotaGrant) -> None:
        """Add the newest share; if there are too many, merge the oldest two."""
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

    def __init__(self, budget: Budget, drift: float, grants_from_us: int) -> None:
        self.budget = budget
        self.drift = drift
        self.grants_from_us = grants_from_us
        """No share is granted before: until then unknown shares may be in use."""
        self.deconfigured = False
        self.new_reserves_blocked = False
        """No process gets a first reserve, as the holders of reserves may not all be known."""
        self.accounts: dict[Token, MemberAccount] = {}
        self.inputs_changed = True
        """Whether the inputs of a division have changed since the last one."""
        self.cooling: list[CoolingCalls] = []

    def window_us(self) -> int:
        """How long after a `spend` the call's quota may be used again."""
        return self.budget.window_us(self.drift)

    def configure(self, budget: Budget, now_us: int) -> None:
        """Replace the budget by a changed one."""
        former_window_us = self.window_us()
        self.budget = budget
        self.inputs_changed = True
        if self.deconfigured or self.window_us() > former_window_us:
            # Calls that cooled for the shorter window may have been used within the longer.
            self.grants_from_us = max(self.grants_from_us, now_us + self.window_us())
        self.deconfigured = False

    def active_accounts(self) -> list[MemberAccount]:
        """Accounts of active processes, in the order of their joining."""
        return [
            account
            for account in self.accounts.values()
            if account.state is AccountState.ACTIVE
        ]

    def set_demand(self, account: MemberAccount, demand: Mapping[str, int]) -> None:
        """Store the demand that a process reported."""
        if demand != account.demand:
            account.demand = demand
            self.inputs_changed = True

    def acknowledge(
        self, account: MemberAccount, calls: int, number: int, now_us: int
    ) -> None:
        """Record that the process holds this share and uses no older one.

        The report of a delayed heartbeat is ignored. A share that was not granted here,
        or with more calls, is recorded as reported: the service was restored from an
        older copy of its folder.
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
        """Handle the lease's expiry on every clock: only the reserve stays usable."""
        self._change_state(account, AccountState.EXPIRED, now_us)

    def end(self, account: MemberAccount, now_us: int) -> None:
        """Handle the confirmed end of the process: it uses nothing more."""
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

        The process may use the predecessor's reserve before it receives a share; the
        predecessor's account is ended. `kept_reserve` is the reserve that the process
        reports: it counts if the predecessor is unknown because the service lost its
        folder.
        """
        predecessor_reserve = predecessor.reserve() if predecessor else 0
        reserve = max(kept_reserve, predecessor_reserve)
        if reserve > account.reserve() and not account.acknowledged_number:
            # Also if a grant was made meanwhile: the process may never receive that.
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
        """Drop cooled calls, and the accounts of processes that can use nothing any more.

        An account is dropped only after its end is on disk. Otherwise a restart would
        restore it as the holder of calls that were granted to others since.
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
        """Number of processes that may use a reserve."""
        return sum(account.reserve() > 0 for account in self.accounts.values())

    def unassigned_reserve(self, pending_holders: int = 0) -> int:
        """Calls set aside for the reserves of processes that have none yet.

        `pending_holders` is the number of processes about to get one; nothing is set
        aside for them.
        """
        return self.budget.reserve * max(
            0, self.budget.members_max - self.reserve_holders() - pending_holders
        )

    def cooling_calls(self) -> int:
        """Calls that are cooling."""
        return sum(entry.calls for entry in self.cooling)

    def committed_calls(self) -> int:
        """Calls that are not free: usable by processes, cooling, or set aside."""
        return self.budget.calls - self.free_calls({})

    def free_calls(self, proposed: Mapping[Token, QuotaGrant]) -> int:
        """Calls that may be granted in addition to the proposed grants.

        Negative after the total was lowered, until the former shares are given up.
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
    """Whether a process that is not active may use its reserve, or did within a window."""
    if not account.reserve():
        return False
    return account.state is AccountState.EXPIRED or account.removable_at_us > now_us
