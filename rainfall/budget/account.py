"""One budget's accounts at the list service: what each process may still act on, what
cools, what is free.

The one rule: a place is free only once its old holder can no longer use it, and a whole
window after that.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from rainfall.budget.types import Budget
from rainfall.lease.fencing_token import Token

# grants not acknowledged that are kept apart for a process; older ones count as one
MAX_UNACKNOWLEDGED_GRANTS = 8


class AccountState(Enum):
    ACTIVE = "in"
    """Its lease may be valid: it may act on any share it was told and did not give
    up.
    """
    EXPIRED = "out"
    """Its lease is surely out: it acts on its reserve, for ever as far as anybody
    knows.
    """
    ENDED = "over"
    """It acts no more, but its last call may just have left."""


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    number: int
    calls: int
    reserve: int


@dataclass(slots=True)
class MemberAccount:
    """One process, known by the token of its incarnation."""

    name: str
    token: Token
    grants: list[QuotaGrant] = field(default_factory=list)
    """Those it may act on, by number; the last is the newest, and the only one it is
    told.
    """
    acknowledged_number: int = 0
    state: AccountState = AccountState.ACTIVE
    removable_at_us: int = 0
    lent_until_us: int = 0
    """Until then it may keep more than its aim."""
    persisted: bool = True
    """What is said of it here is on disk."""
    demand: Mapping[str, int] = field(default_factory=dict)

    def granted_calls(self) -> int:
        """Its newest share; 0 before the first."""
        return self.grants[-1].calls if self.grants else 0

    def newest_number(self) -> int:
        """The number of its newest share."""
        return self.grants[-1].number if self.grants else self.acknowledged_number

    def reserve(self) -> int:
        if (
            len(self.grants) == 1
        ):  # nearly always, and asked for all members at each plan
            return self.grants[0].reserve
        return max((g.reserve for g in self.grants), default=0)

    def usable_calls(self) -> int:
        """Calls in a span that it may act on at this moment, whatever of its messages
        came or was lost.
        """
        if self.state is not AccountState.ACTIVE:
            return self.reserve()
        if len(self.grants) == 1:
            return self.grants[0].calls
        return max((g.calls for g in self.grants), default=0)

    def total_demand(self) -> int:
        return sum(self.demand.values())

    def add_grant(self, grant: QuotaGrant) -> None:
        self.grants.append(grant)
        if len(self.grants) > MAX_UNACKNOWLEDGED_GRANTS:
            first, second = self.grants[0], self.grants[1]
            self.grants[:2] = [
                QuotaGrant(
                    second.number,
                    max(first.calls, second.calls),
                    max(first.reserve, second.reserve),
                )
            ]


class BudgetAccounts:
    """The accounts of one budget. Times are the service's clock."""

    def __init__(self, budget: Budget, drift: float, opens_us: int) -> None:
        self.budget, self.drift = budget, drift
        self.grants_from_us = opens_us
        """Nothing is granted before: shares that are not known here may be acted on
        until then.
        """
        self.deconfigured = False
        self.new_reserves_blocked = False
        """No process is given a reserve that had none: who has one is not known to the
        last.
        """
        self.accounts: dict[Token, MemberAccount] = {}
        self.inputs_changed = True
        """What a division rests on changed since the last one was thought of."""
        self.cooling: list[tuple[int, int]] = []
        """(until, calls): given up or run out, but a window that holds their last call
        is not over.
        """

    def window_us(self) -> int:
        return self.budget.window_us(self.drift)

    def configure(self, budget: Budget, now_us: int) -> None:
        before = self.window_us()
        self.budget, self.inputs_changed = budget, True
        if self.deconfigured or self.window_us() > before:
            # What cooled by the shorter window may have been used within this one.
            self.grants_from_us = max(self.grants_from_us, now_us + self.window_us())
        self.deconfigured = False

    def active_accounts(self) -> list[MemberAccount]:
        """In the order they came in, which is the same wherever the same was said."""
        return [a for a in self.accounts.values() if a.state is AccountState.ACTIVE]

    # -- what members say, and what is known of them
    # --------------------------------------------------

    def set_demand(self, account: MemberAccount, needs: Mapping[str, int]) -> None:
        if needs != account.demand:
            account.demand, self.inputs_changed = needs, True

    def acknowledge(
        self, account: MemberAccount, calls: int, number: int, now_us: int
    ) -> None:
        """It holds this share, and from now on no older one.

        A beat that came late says nothing new. More than was granted here (this service
        was restored from an older copy) counts as it is said.
        """
        if (
            account.state is not AccountState.ACTIVE
            or number < account.acknowledged_number
        ):
            return
        before = account.usable_calls()
        kept = [g for g in account.grants if g.number >= number]
        if not kept or kept[0].number > number or kept[0].calls < calls:
            if kept and kept[0].number == number:
                kept.pop(0)
            kept.insert(
                0,
                QuotaGrant(
                    number,
                    calls,
                    min(max(account.reserve(), self.budget.reserve), calls),
                ),
            )
        account.grants, account.acknowledged_number = kept, number
        self._start_cooling(before - account.usable_calls(), now_us)

    def expire(self, account: MemberAccount, now_us: int) -> None:
        """Its lease is surely out."""
        self._change_state(account, AccountState.EXPIRED, now_us)

    def end(self, account: MemberAccount, now_us: int) -> None:
        """The process is surely at its end."""
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
        """The same process under a new token, or the one that took over its folder: it
        may act on the old one's reserve before it is told anything, so the reserve
        moves, and the rest is over. Where the old one is not known (this service lost
        its folder), it is as it says: it `keeps` so much.
        """
        reserve = max(kept_reserve, predecessor.reserve() if predecessor else 0)
        if reserve > account.reserve() and not account.acknowledged_number:
            # Also where it was granted something meanwhile: it may never hear of that.
            account.grants.insert(0, QuotaGrant(0, reserve, reserve))
            account.persisted = False
        if predecessor:
            self.end(predecessor, now_us)
            predecessor.grants, predecessor.persisted = [], False

    def _change_state(
        self, account: MemberAccount, state: AccountState, now_us: int
    ) -> None:
        if account.state is state or account.state is AccountState.ENDED:
            return
        before, self.inputs_changed = account.usable_calls(), True
        account.state, account.persisted = state, False
        self._start_cooling(before - account.usable_calls(), now_us)

    def _start_cooling(self, calls: int, now_us: int) -> None:
        if calls > 0:
            self.cooling.append((now_us + self.window_us(), calls))

    # -- what there is
    # ------------------------------------------------------------------------------------

    def prune(self, now_us: int) -> None:
        """Let go what has cooled, and processes that can act on nothing.

        Their end is on disk by then: else a restart would take them for holders of what
        others were granted since.
        """
        self.cooling = [c for c in self.cooling if c[0] > now_us]
        ended = [
            a.token
            for a in self.accounts.values()
            if a.state is not AccountState.ACTIVE
            and a.persisted
            and (
                not a.reserve()
                or (a.state is AccountState.ENDED and a.removable_at_us <= now_us)
            )
        ]
        for token in ended:
            del self.accounts[token]

    def reserve_holders(self) -> int:
        """Processes that may act on a reserve."""
        return sum(a.reserve() > 0 for a in self.accounts.values())

    def unassigned_reserve(self, pending_holders: int = 0) -> int:
        """Set aside for the reserves of processes that have none yet, nor are about to
        (`soon`).
        """
        return self.budget.reserve * max(
            0, self.budget.members_max - self.reserve_holders() - pending_holders
        )

    def committed_calls(self) -> int:
        """All that is not free: what processes may still act on, what cools, what is
        set aside.
        """
        return self.budget.calls - self.free_calls({})

    def free_calls(self, proposed: Mapping[Token, QuotaGrant]) -> int:
        """What may be granted besides the proposed grants; below 0 while a lowered
        whole waits for shares to run out.
        """
        held = sum(
            max(a.usable_calls(), proposed[t].calls)
            if t in proposed
            else a.usable_calls()
            for t, a in self.accounts.items()
        )
        pending_holders = sum(
            g.reserve > 0 and not self.accounts[t].reserve()
            for t, g in proposed.items()
        )
        return (
            self.budget.calls
            - held
            - sum(c for _, c in self.cooling)
            - self.unassigned_reserve(pending_holders)
        )
