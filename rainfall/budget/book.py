"""One budget's accounts at the list service: what each process may still act on, what
cools, what is free.

The one rule: a place is free only once its old holder can no longer use it, and a whole
window after that.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from rainfall.budget.terms import Budget
from rainfall.lease.token import Token

# grants not acknowledged that are kept apart for a process; older ones count as one
MOST_OPEN = 8


class State(Enum):
    IN = "in"
    """Its lease may be valid: it may act on any share it was told and did not give
    up.
    """
    OUT = "out"
    """Its lease is surely out: it acts on its reserve, for ever as far as anybody
    knows.
    """
    OVER = "over"
    """It acts no more, but its last call may just have left."""


@dataclass(frozen=True, slots=True)
class Grant:
    number: int
    calls: int
    reserve: int


@dataclass(slots=True)
class Account:
    """One process, known by the token of its incarnation."""

    name: str
    token: Token
    grants: list[Grant] = field(default_factory=list)
    """Those it may act on, by number; the last is the newest, and the only one it is
    told.
    """
    acked: int = 0
    state: State = State.IN
    over_us: int = 0
    lent_us: int = 0
    """Until then it may keep more than its aim."""
    noted: bool = True
    """What is said of it here is on disk."""
    needs: Mapping[str, int] = field(default_factory=dict)

    def calls(self) -> int:
        """Its newest share; 0 before the first."""
        return self.grants[-1].calls if self.grants else 0

    def newest(self) -> int:
        """The number of its newest share."""
        return self.grants[-1].number if self.grants else self.acked

    def reserve(self) -> int:
        if (
            len(self.grants) == 1
        ):  # nearly always, and asked for all members at each plan
            return self.grants[0].reserve
        return max((g.reserve for g in self.grants), default=0)

    def most(self) -> int:
        """Calls in a span that it may act on at this moment, whatever of its messages
        came or was lost.
        """
        if self.state is not State.IN:
            return self.reserve()
        if len(self.grants) == 1:
            return self.grants[0].calls
        return max((g.calls for g in self.grants), default=0)

    def work(self) -> int:
        return sum(self.needs.values())

    def add(self, grant: Grant) -> None:
        self.grants.append(grant)
        if len(self.grants) > MOST_OPEN:
            a, b = self.grants[0], self.grants[1]
            self.grants[:2] = [
                Grant(b.number, max(a.calls, b.calls), max(a.reserve, b.reserve))
            ]


class Book:
    """The accounts of one budget. Times are the service's clock."""

    def __init__(self, budget: Budget, drift: float, opens_us: int) -> None:
        self.budget, self.drift = budget, drift
        self.opens_us = opens_us
        """Nothing is granted before: shares that are not known here may be acted on
        until then.
        """
        self.closed = False
        self.shut = False
        """No process is given a reserve that had none: who has one is not known to the
        last.
        """
        self.accounts: dict[Token, Account] = {}
        self.stirred = True
        """What a division rests on changed since the last one was thought of."""
        self.cooling: list[tuple[int, int]] = []
        """(until, calls): given up or run out, but a window that holds their last call
        is not over.
        """

    def window_us(self) -> int:
        return self.budget.window_us(self.drift)

    def configure(self, budget: Budget, now_us: int) -> None:
        before = self.window_us()
        self.budget, self.stirred = budget, True
        if self.closed or self.window_us() > before:
            # What cooled by the shorter window may have been used within this one.
            self.opens_us = max(self.opens_us, now_us + self.window_us())
        self.closed = False

    def in_force(self) -> list[Account]:
        """In the order they came in, which is the same wherever the same was said."""
        return [a for a in self.accounts.values() if a.state is State.IN]

    # -- what members say, and what is known of them
    # --------------------------------------------------

    def needs(self, account: Account, needs: Mapping[str, int]) -> None:
        if needs != account.needs:
            account.needs, self.stirred = needs, True

    def acked(self, account: Account, calls: int, number: int, now_us: int) -> None:
        """It holds this share, and from now on no older one. A beat that came late says
        nothing new. More than was granted here (this service was restored from an older
        copy) counts as it is said.
        """
        if account.state is not State.IN or number < account.acked:
            return
        before = account.most()
        kept = [g for g in account.grants if g.number >= number]
        if not kept or kept[0].number > number or kept[0].calls < calls:
            if kept and kept[0].number == number:
                kept.pop(0)
            kept.insert(
                0,
                Grant(
                    number,
                    calls,
                    min(max(account.reserve(), self.budget.reserve), calls),
                ),
            )
        account.grants, account.acked = kept, number
        self._cools(before - account.most(), now_us)

    def out(self, account: Account, now_us: int) -> None:
        """Its lease is surely out."""
        self._ends(account, State.OUT, now_us)

    def over(self, account: Account, now_us: int) -> None:
        """The process is surely at its end."""
        if account.state is not State.OVER:
            account.over_us = now_us + self.window_us()
        self._ends(account, State.OVER, now_us)

    def follows(
        self, account: Account, old: Account | None, keeps: int, now_us: int
    ) -> None:
        """The same process under a new token, or the one that took over its folder: it
        may act on the old one's reserve before it is told anything, so the reserve
        moves, and the rest is over. Where the old one is not known (this service lost
        its folder), it is as it says: it `keeps` so much.
        """
        reserve = max(keeps, old.reserve() if old else 0)
        if reserve > account.reserve() and not account.acked:
            # Also where it was granted something meanwhile: it may never hear of that.
            account.grants.insert(0, Grant(0, reserve, reserve))
            account.noted = False
        if old:
            self.over(old, now_us)
            old.grants, old.noted = [], False

    def _ends(self, account: Account, state: State, now_us: int) -> None:
        if account.state is state or account.state is State.OVER:
            return
        before, self.stirred = account.most(), True
        account.state, account.noted = state, False
        self._cools(before - account.most(), now_us)

    def _cools(self, calls: int, now_us: int) -> None:
        if calls > 0:
            self.cooling.append((now_us + self.window_us(), calls))

    # -- what there is
    # ------------------------------------------------------------------------------------

    def settle(self, now_us: int) -> None:
        """Let go what has cooled, and processes that can act on nothing. Their end is
        on disk by then: else a restart would take them for holders of what others were
        granted since.
        """
        self.cooling = [c for c in self.cooling if c[0] > now_us]
        ended = [
            a.token
            for a in self.accounts.values()
            if a.state is not State.IN
            and a.noted
            and (not a.reserve() or (a.state is State.OVER and a.over_us <= now_us))
        ]
        for token in ended:
            del self.accounts[token]

    def seats(self) -> int:
        """Processes that may act on a reserve."""
        return sum(a.reserve() > 0 for a in self.accounts.values())

    def unseated(self, soon: int = 0) -> int:
        """Set aside for the reserves of processes that have none yet, nor are about to
        (`soon`).
        """
        return self.budget.reserve * max(
            0, self.budget.members_max - self.seats() - soon
        )

    def counted(self) -> int:
        """All that is not free: what processes may still act on, what cools, what is
        set aside.
        """
        return self.budget.calls - self.free_with({})

    def free_with(self, proposed: Mapping[Token, Grant]) -> int:
        """What may be granted besides the proposed grants; below 0 while a lowered
        whole waits for shares to run out.
        """
        held = sum(
            max(a.most(), proposed[t].calls) if t in proposed else a.most()
            for t, a in self.accounts.items()
        )
        soon = sum(
            g.reserve > 0 and not self.accounts[t].reserve()
            for t, g in proposed.items()
        )
        return (
            self.budget.calls
            - held
            - sum(c for _, c in self.cooling)
            - self.unseated(soon)
        )
