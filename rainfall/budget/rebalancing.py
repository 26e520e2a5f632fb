"""Rebalancing of a budget: when it is divided, its target shares, and the next grants.

The limit on all grants together is enforced by the accounts. All times are of the
service's clock, in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from rainfall.budget.account import BudgetAccounts, MemberAccount, QuotaGrant
from rainfall.budget.fair_share import Claim, Division, divide, water_fill
from rainfall.lease.fencing_token import Token

URGENT_PAUSE_DIVISOR = 4
"""A member with demand and no share waits at most `pause_us` / this for a division."""
RAISE_STEPS_PER_WINDOW = 8
"""Raises are granted at most this often in a window, not for each freed call."""
TURN_WINDOWS = 2
"""Windows that a turn lasts; a process with its first share waits for one of them."""


class RebalanceReason(StrEnum):
    """Why a budget was divided; the value appears in the status and the log."""

    FIRST = "first"
    TOTAL_LOWERED = "whole"
    TURN = "turn"
    """Calls are scarce, and the turn passes to members without a share."""
    UNSERVED = "unserved"
    """A member with demand has no share."""
    MEMBERS = "members"
    """Members joined or left."""
    DEMAND = "demand"


@dataclass(slots=True)
class Allocation:
    """The current division of a budget."""

    target_shares: dict[Token, int] = field(default_factory=dict)
    """Calls that each member is to have."""
    reason: str = ""
    """The value of the last `RebalanceReason`."""
    scarce: bool = False
    divided_at_us: int | None = None
    evaluated_at_us: int = 0
    """When a division was last computed, whether or not it was applied."""
    last_raise_at_us: int | None = None
    settled_at_us: int | None = None
    """When every member had acknowledged its target share; None before."""
    total_lowered: bool = False
    """The budget's total was lowered since the last division."""
    credit: dict[Token, int] = field(default_factory=dict)
    pending_credit: dict[Token, int] = field(default_factory=dict)
    """The division's credit, applied once it has settled.

    Until then a member may not have had its turn and must not be charged for it.
    """


def rebalance(allocation: Allocation, accounts: BudgetAccounts, now_us: int) -> None:
    """Divide the budget again if it is due."""
    members = accounts.active_accounts()
    if allocation.settled_at_us is None and _is_settled(allocation, members):
        allocation.settled_at_us = now_us
        allocation.credit = allocation.pending_credit
    reason = _rebalance_reason(allocation, accounts, members, now_us)
    if reason is None:
        return
    division = _compute_division(allocation, accounts, members)
    accounts.inputs_changed = False
    allocation.evaluated_at_us = now_us
    if reason is RebalanceReason.DEMAND:
        min_gain = max(1, accounts.budget.min_gain_fraction * accounts.budget.calls)
        if _demand_gain(members, division.shares) < min_gain:
            return
    if reason is RebalanceReason.TOTAL_LOWERED:
        # A lowered total ends loans as well.
        for account in members:
            account.lent_until_us = 0
    allocation.target_shares = division.shares
    allocation.scarce = division.scarce
    allocation.pending_credit = division.credit
    allocation.reason = reason.value
    allocation.divided_at_us = now_us
    allocation.settled_at_us = None
    allocation.total_lowered = False


def target_calls(allocation: Allocation, account: MemberAccount) -> int:
    """Calls that a member is to have: its target share, at least its reserve."""
    return max(allocation.target_shares.get(account.token, 0), account.reserve())


def _is_settled(allocation: Allocation, members: list[MemberAccount]) -> bool:
    return all(
        account.acknowledged_number == account.newest_number()
        and account.granted_calls() == target_calls(allocation, account)
        for account in members
    )


def _rebalance_reason(
    allocation: Allocation,
    accounts: BudgetAccounts,
    members: list[MemberAccount],
    now_us: int,
) -> RebalanceReason | None:
    if not members:
        return None
    if allocation.divided_at_us is None:
        return RebalanceReason.FIRST
    if allocation.total_lowered:
        return RebalanceReason.TOTAL_LOWERED
    since_division_us = now_us - allocation.divided_at_us
    pause_us = accounts.budget.pause_us
    urgent_pause_us = pause_us // URGENT_PAUSE_DIVISOR
    unserved = _has_unserved(allocation, members)
    turn_awaited = allocation.scarce and unserved
    if turn_awaited:
        if _is_turn_over(allocation, accounts, members, now_us, since_division_us):
            return RebalanceReason.TURN
    elif unserved and since_division_us >= urgent_pause_us:
        return RebalanceReason.UNSERVED
    if since_division_us < pause_us:
        return None
    if {account.token for account in members} != set(allocation.target_shares):
        return RebalanceReason.MEMBERS
    # Demand changes with every heartbeat; it is evaluated less often.
    may_evaluate = now_us - allocation.evaluated_at_us >= urgent_pause_us
    if accounts.inputs_changed and may_evaluate and not turn_awaited:
        return RebalanceReason.DEMAND
    return None


def _has_unserved(allocation: Allocation, members: list[MemberAccount]) -> bool:
    """Whether a member with demand has neither a share nor a target share."""
    return any(
        account.total_demand()
        and not account.granted_calls()
        and not allocation.target_shares.get(account.token)
        for account in members
    )


def _is_turn_over(
    allocation: Allocation,
    accounts: BudgetAccounts,
    members: list[MemberAccount],
    now_us: int,
    since_division_us: int,
) -> bool:
    """Whether the turn passes to members without a share.

    A turn ends after `TURN_WINDOWS`, or `pause_us` if longer, or early when a member has
    no demand for its share.
    """
    if allocation.settled_at_us is None:
        return False
    pause_us = accounts.budget.pause_us
    turn_us = max(TURN_WINDOWS * accounts.window_us(), pause_us)
    if now_us - allocation.settled_at_us >= turn_us:
        return True
    return since_division_us >= pause_us // URGENT_PAUSE_DIVISOR and any(
        account.granted_calls() > account.reserve() and not account.total_demand()
        for account in members
    )


def _compute_division(
    allocation: Allocation, accounts: BudgetAccounts, members: list[MemberAccount]
) -> Division[Token]:
    budget = accounts.budget
    floors = {account.token: account.reserve() for account in members}
    # The reserves of inactive processes, and of those that may yet join, stay set aside.
    other_reserves = sum(
        account.reserve()
        for account in accounts.accounts.values()
        if account.token not in floors
    )
    divisible = budget.calls - other_reserves - accounts.unassigned_reserve()
    return divide(
        max(divisible, sum(floors.values())),
        {account.token: account.demand for account in members},
        budget.weights,
        floors,
        budget.min_calls,
        allocation.credit,
        int(budget.unassigned_fraction * budget.calls),
    )


def _demand_gain(members: list[MemberAccount], shares: Mapping[Token, int]) -> int:
    """Wanted calls that the division would serve in addition to those served now."""
    return sum(
        max(
            0,
            min(account.total_demand(), shares[account.token])
            - min(account.total_demand(), account.granted_calls()),
        )
        for account in members
    )


def next_grants(
    allocation: Allocation, accounts: BudgetAccounts, now_us: int
) -> dict[Token, QuotaGrant]:
    """The next grants towards the target shares.

    Reductions are granted at once, raises out of the free calls, and loans beyond the
    target out of the calls left.
    """
    members = accounts.active_accounts()
    proposed = _reserves_and_reductions(allocation, accounts, members, now_us)
    free = accounts.free_calls(proposed)
    if free <= 0:
        return proposed
    raise_claims = _raise_claims(allocation, members, proposed)
    wanted = sum(claim.maximum for claim in raise_claims)
    if wanted > free and not _is_raise_due(allocation, accounts, now_us):
        return proposed
    raises = water_fill(free, raise_claims, {}).calls_by_key
    free -= sum(raises.values())
    loan_claims = _loan_claims(members, proposed, raises)
    loans = water_fill(free, loan_claims, {}).calls_by_key
    for account in members:
        token = account.token
        if raises[token] + loans[token] > 0:
            calls = _proposed_calls(proposed, account) + raises[token] + loans[token]
            reserve = _proposed_reserve(proposed, account)
            proposed[token] = QuotaGrant(account.newest_number() + 1, calls, reserve)
            allocation.last_raise_at_us = now_us
            if loans[token]:
                account.lent_until_us = now_us + accounts.window_us()
    return proposed


def _reserves_and_reductions(
    allocation: Allocation,
    accounts: BudgetAccounts,
    members: list[MemberAccount],
    now_us: int,
) -> dict[Token, QuotaGrant]:
    """Renew or end loans; propose grants of reserves and reductions."""
    proposed: dict[Token, QuotaGrant] = {}
    lent_calls_missed = _is_any_below_target(allocation, members) or (
        accounts.free_calls({}) < 0
    )
    reserves_left = 0
    if not accounts.new_reserves_blocked:
        reserves_left = accounts.budget.members_max - accounts.reserve_holders()
    for account in members:
        if 0 < account.lent_until_us <= now_us:
            renewed = not lent_calls_missed and _uses_loan(allocation, account)
            account.lent_until_us = now_us + accounts.window_us() if renewed else 0
        grant = _reserve_or_reduction(
            allocation, accounts, account, reserves_left > 0, now_us
        )
        if grant is None:
            continue
        if grant.reserve > 0 and not account.reserve():
            reserves_left -= 1
        proposed[account.token] = grant
    return proposed


def _is_any_below_target(allocation: Allocation, members: list[MemberAccount]) -> bool:
    return any(
        account.granted_calls() < target_calls(allocation, account)
        for account in members
    )


def _uses_loan(allocation: Allocation, account: MemberAccount) -> bool:
    """Whether a member has more calls than its target, and demand for all of them."""
    calls = account.granted_calls()
    return account.total_demand() >= calls > target_calls(allocation, account)


def _reserve_or_reduction(
    allocation: Allocation,
    accounts: BudgetAccounts,
    account: MemberAccount,
    reserve_left: bool,
    now_us: int,
) -> QuotaGrant | None:
    """A grant of the reserve, if it is due, and of at most the target share.

    A loan in force is not reduced. None if the member has these already.
    """
    newest_reserve = account.grants[-1].reserve if account.grants else 0
    reserve = newest_reserve
    wanted = accounts.budget.reserve
    # Usually the reserve is as configured; the check is skipped then.
    if newest_reserve != wanted and _is_reserve_due(
        wanted, account, newest_reserve, reserve_left
    ):
        reserve = wanted
    calls = max(account.granted_calls(), reserve)
    target = max(allocation.target_shares.get(account.token, 0), reserve)
    if calls > target and now_us >= account.lent_until_us:
        calls = target
    if calls == account.granted_calls() and reserve == newest_reserve:
        return None
    return QuotaGrant(account.newest_number() + 1, calls, reserve)


def _is_reserve_due(
    wanted: int, account: MemberAccount, newest_reserve: int, reserve_left: bool
) -> bool:
    """Whether a member's reserve is to be set to the configured one.

    A reserve may be lowered, raised within the member's share, or granted for the first
    time if `reserve_left`.
    """
    if newest_reserve > wanted:
        return True
    if 0 < newest_reserve < wanted <= account.granted_calls():
        return True
    is_first = not newest_reserve and not account.reserve()
    return is_first and wanted > 0 and reserve_left


def _raise_claims(
    allocation: Allocation,
    members: list[MemberAccount],
    proposed: Mapping[Token, QuotaGrant],
) -> list[Claim[Token]]:
    """Claims of the calls that members lack of their target shares."""
    claims = []
    for account in members:
        target = allocation.target_shares.get(account.token, 0)
        missing = max(0, target - _proposed_calls(proposed, account))
        claims.append(Claim(account.token, 1, 0, missing))
    return claims


def _is_raise_due(
    allocation: Allocation, accounts: BudgetAccounts, now_us: int
) -> bool:
    if allocation.last_raise_at_us is None:
        return True
    interval_us = accounts.window_us() // RAISE_STEPS_PER_WINDOW
    return now_us - allocation.last_raise_at_us >= interval_us


def _loan_claims(
    members: list[MemberAccount],
    proposed: Mapping[Token, QuotaGrant],
    raises: Mapping[Token, int],
) -> list[Claim[Token]]:
    """Claims of the calls that members lack of their demand after their raises."""
    claims = []
    for account in members:
        calls = _proposed_calls(proposed, account) + raises[account.token]
        missing = max(0, account.total_demand() - calls)
        claims.append(Claim(account.token, 1, 0, missing))
    return claims


def _proposed_calls(
    proposed: Mapping[Token, QuotaGrant], account: MemberAccount
) -> int:
    grant = proposed.get(account.token)
    return account.granted_calls() if grant is None else grant.calls


def _proposed_reserve(
    proposed: Mapping[Token, QuotaGrant], account: MemberAccount
) -> int:
    grant = proposed.get(account.token)
    return account.reserve() if grant is None else grant.reserve
