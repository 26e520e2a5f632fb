"""When a budget is divided anew, to what, and which grants lead there.

Decides; the book keeps it safe.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from rainfall.budget.account import BudgetAccounts, MemberAccount, QuotaGrant
from rainfall.budget.fair_share import Claim, Division, divide, water_fill
from rainfall.lease.fencing_token import Token

URGENT_PAUSE_DIVISOR = (
    4  # a member with work and no share waits for a pause over this at most
)
RAISE_STEPS_PER_WINDOW = (
    8  # raises are made in so many steps of a window, not for each call that gets free
)
TURN_WINDOWS = 2  # windows that a turn lasts: a new process waits out the first


@dataclass(slots=True)
class Allocation:
    """One budget's division in force: what every member shall come to have."""

    target_shares: dict[Token, int] = field(default_factory=dict)
    reason: str = ""
    scarce: bool = False
    divided_at_us: int | None = None
    evaluated_at_us: int = 0
    last_raise_at_us: int | None = None
    settled_at_us: int | None = None
    """Since then every member acknowledged what it shall have."""
    total_lowered: bool = False
    """The whole was lowered since."""
    credit: dict[Token, int] = field(default_factory=dict)
    pending_credit: dict[Token, int] = field(default_factory=dict)
    """Comes to count once the division is carried out: a turn that was never had is not
    paid for.
    """


def rebalance(allocation: Allocation, book: BudgetAccounts, now_us: int) -> None:
    """Divide anew if there is cause to."""
    members = book.active_accounts()
    if allocation.settled_at_us is None and all(
        account.acknowledged_number == account.newest_number()
        and account.granted_calls() == target_calls(allocation, account)
        for account in members
    ):
        allocation.settled_at_us, allocation.credit = now_us, allocation.pending_credit
    why = _rebalance_reason(allocation, book, members, now_us)
    if not why:
        return
    fresh, book.inputs_changed, allocation.evaluated_at_us = (
        _compute_division(allocation, book, members),
        False,
        now_us,
    )
    least = max(1, book.budget.change * book.budget.calls)
    if why == "demand" and _demand_gain(book, members, fresh.shares) < least:
        return
    for account in members:
        account.lent_until_us = (
            0 if why == "whole" else account.lent_until_us
        )  # a lowered whole binds what was lent as well
    allocation.target_shares, allocation.scarce, allocation.pending_credit = (
        fresh.shares,
        fresh.scarce,
        fresh.credit,
    )
    (
        allocation.reason,
        allocation.divided_at_us,
        allocation.settled_at_us,
        allocation.total_lowered,
    ) = why, now_us, None, False


def target_calls(allocation: Allocation, account: MemberAccount) -> int:
    return max(allocation.target_shares.get(account.token, 0), account.reserve())


def _rebalance_reason(
    allocation: Allocation,
    book: BudgetAccounts,
    members: list[MemberAccount],
    now_us: int,
) -> str:
    if not members:
        return ""
    if allocation.divided_at_us is None:
        return "first"
    if allocation.total_lowered:
        return "whole"
    since, pause = now_us - allocation.divided_at_us, book.budget.pause_us
    unserved = any(
        account.total_demand()
        and not account.granted_calls()
        and not allocation.target_shares.get(account.token)
        for account in members
    )
    if allocation.scarce and unserved:
        turn_us = max(TURN_WINDOWS * book.window_us(), pause)
        left = since >= pause // URGENT_PAUSE_DIVISOR and any(
            account.granted_calls() > account.reserve() and not account.total_demand()
            for account in members
        )
        if allocation.settled_at_us is not None and (
            left or now_us - allocation.settled_at_us >= turn_us
        ):
            return "turn"
    elif unserved and since >= pause // URGENT_PAUSE_DIVISOR:
        return "unserved"
    if since < pause:
        return ""
    if {account.token for account in members} != set(allocation.target_shares):
        return "members"
    thought = (
        now_us - allocation.evaluated_at_us >= pause // URGENT_PAUSE_DIVISOR
    )  # needs change with every beat: not thought of at each
    return (
        "demand"
        if book.inputs_changed and thought and not (allocation.scarce and unserved)
        else ""
    )


def _compute_division(
    allocation: Allocation, book: BudgetAccounts, members: list[MemberAccount]
) -> Division[Token]:
    budget = book.budget
    floors = {account.token: account.reserve() for account in members}
    # Reserves of all others are no part of what can be divided: of the lost, and of
    # those who may yet come.
    others = sum(
        account.reserve()
        for account in book.accounts.values()
        if account.token not in floors
    )
    whole = max(budget.calls - others - book.unassigned_reserve(), sum(floors.values()))
    return divide(
        whole,
        {account.token: account.demand for account in members},
        budget.weights,
        floors,
        budget.least,
        allocation.credit,
        int(budget.loose * budget.calls),
    )


def _demand_gain(
    book: BudgetAccounts, members: list[MemberAccount], shares: dict[Token, int]
) -> int:
    """Calls that would find room and do not now, or belong to another by fairness."""
    return sum(
        max(
            0,
            min(a.total_demand(), shares[a.token])
            - min(a.total_demand(), a.granted_calls()),
        )
        for a in members
    )


def next_grants(
    allocation: Allocation, book: BudgetAccounts, now_us: int
) -> dict[Token, QuotaGrant]:
    """The next grants towards the aim: lower at once, raise from what is free, lend
    what is left of it.
    """
    members = book.active_accounts()
    proposed: dict[Token, QuotaGrant] = {}
    missed = (
        any(
            account.granted_calls() < target_calls(allocation, account)
            for account in members
        )
        or book.free_calls({}) < 0
    )
    seats = (
        0
        if book.new_reserves_blocked
        else book.budget.members_max - book.reserve_holders()
    )
    for account in members:
        if 0 < account.lent_until_us <= now_us:
            # Lent on while the burst goes on and nobody misses it; what was never lent
            # is no loan.
            on = (
                not missed
                and account.total_demand()
                >= account.granted_calls()
                > target_calls(allocation, account)
            )
            account.lent_until_us = now_us + book.window_us() if on else 0
        grant = _reserve_or_reduce(allocation, book, account, seats > 0, now_us)
        if grant is not None:
            seats -= grant.reserve > 0 and not account.reserve()
            proposed[account.token] = grant
    free = book.free_calls(proposed)
    if free <= 0:
        return proposed

    def now_has(account: MemberAccount) -> int:
        return (
            proposed[account.token].calls
            if account.token in proposed
            else account.granted_calls()
        )

    short = [
        Claim(
            account.token,
            1,
            0,
            max(0, allocation.target_shares.get(account.token, 0) - now_has(account)),
        )
        for account in members
    ]
    waited = (
        allocation.last_raise_at_us is None
        or now_us - allocation.last_raise_at_us
        >= book.window_us() // RAISE_STEPS_PER_WINDOW
    )
    if not waited and sum(w.maximum for w in short) > free:
        return proposed
    given, _ = water_fill(free, short, {})
    free -= sum(given.values())
    bursts = [
        Claim(
            account.token,
            1,
            0,
            max(0, account.total_demand() - now_has(account) - given[account.token]),
        )
        for account in members
    ]
    lent, _ = water_fill(free, bursts, {})
    for account in members:
        if given[account.token] + lent[account.token] > 0:
            calls = now_has(account) + given[account.token] + lent[account.token]
            reserve = (
                proposed[account.token].reserve
                if account.token in proposed
                else account.reserve()
            )
            proposed[account.token] = QuotaGrant(
                account.newest_number() + 1, calls, reserve
            )
            allocation.last_raise_at_us = now_us
            if lent[account.token]:
                account.lent_until_us = now_us + book.window_us()
    return proposed


def _reserve_or_reduce(
    allocation: Allocation,
    book: BudgetAccounts,
    account: MemberAccount,
    seat: bool,
    now_us: int,
) -> QuotaGrant | None:
    """A reserve where a seat is left, and no more than the aim.

    None where it has that already.
    """
    wanted = book.budget.reserve
    newest = account.grants[-1].reserve if account.grants else 0
    reserve = newest
    if (
        newest > wanted
        or (0 < newest < wanted <= account.granted_calls())
        or (not newest and wanted and seat and not account.reserve())
    ):
        reserve = wanted
    calls = max(account.granted_calls(), reserve)
    aimed = max(allocation.target_shares.get(account.token, 0), reserve)
    if calls > aimed and now_us >= account.lent_until_us:
        calls = aimed
    return (
        QuotaGrant(account.newest_number() + 1, calls, reserve)
        if calls != account.granted_calls() or reserve != newest
        else None
    )
