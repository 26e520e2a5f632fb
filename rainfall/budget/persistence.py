"""A ledger on disk: its snapshot, and its restoration from a snapshot and changes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from rainfall.budget.account import (
    AccountState,
    BudgetAccounts,
    CoolingCalls,
    MemberAccount,
    QuotaGrant,
)
from rainfall.budget.ledger import AccountEnd, Change, Ledger
from rainfall.budget.types import Budget, widen_for_drift
from rainfall.lease.fencing_token import Token


def snapshot(ledger: Ledger) -> dict[str, Any]:
    """The ledger with changes up to `number` as a JSON object, without a pending change."""
    return {
        "number": ledger.number,
        "opened": ledger.opened,
        "shut": ledger.new_reserves_blocked,
        "books": {
            destination: _accounts_snapshot(accounts)
            for destination, accounts in sorted(ledger.budget_accounts.items())
        },
    }


def _accounts_snapshot(accounts: BudgetAccounts) -> dict[str, Any]:
    return {
        "cooling": accounts.cooling_calls(),
        "accounts": [
            _account_row(account)
            for _, account in sorted(accounts.accounts.items())
            if account.grants
        ],
    }


class _AccountRow(NamedTuple):
    """The fields of an account in a snapshot, where it is stored as a list."""

    name: str
    token: list[int]
    acknowledged_number: int
    state: str
    grants: list[list[int]]
    """Each grant as [number, calls, reserve]."""


def _account_row(account: MemberAccount) -> list[Any]:
    """The fields of an `_AccountRow`, in their order."""
    return [
        account.name,
        account.token.to_wire(),
        account.acknowledged_number,
        account.state.value,
        [[grant.number, grant.calls, grant.reserve] for grant in account.grants],
    ]


def restore(
    budgets: Iterable[Budget],
    lease_us: int,
    drift: float,
    now_us: int,
    stored_snapshot: Mapping[str, Any] | None,
    lines: Iterable[Mapping[str, Any]],
    history_complete: bool = True,
) -> Ledger:
    """Restore a ledger after a start; call `member_joined` for each member next.

    Granted shares count as held, under leases that were renewed just now.
    Acknowledgements after the snapshot are lost and repeated by heartbeats. Cooling
    calls start a new window.

    Args:
        budgets: Validated budgets.
        lease_us: The longest time to live of a lease.
        drift: Fraction by which the rates of two clocks may differ.
        now_us: The present time.
        stored_snapshot: The snapshot; None without one.
        lines: The records of changes; those up to the snapshot are skipped.
        history_complete: Whether these are the newest records. If they may be an older copy, or
            there are none, nothing is granted for a lease and a window.

    Raises:
        KeyError, TypeError, ValueError: The records cannot be decoded.
    """
    changes = [Change.from_record(line) for line in lines]
    history_complete = history_complete and _was_opened(stored_snapshot, changes)
    ledger = Ledger(budgets, lease_us, drift, now_us, history_complete)
    ends = _restore_snapshot(ledger, stored_snapshot, now_us)
    ledger.number = int(stored_snapshot["number"]) if stored_snapshot else 0
    blocked = bool(stored_snapshot["shut"]) if stored_snapshot else False
    for change in changes:
        if change.number <= ledger.number:
            continue  # Contained in the snapshot, or written twice.
        _replay(ledger, change)
        blocked = change.new_reserves_blocked
        ends.extend(change.ends)
    for end in ends:
        _apply_end(ledger, end, now_us)
    _presume_members_active(ledger, now_us + widen_for_drift(lease_us, drift))
    ledger.new_reserves_blocked = blocked or not history_complete
    for accounts in ledger.budget_accounts.values():
        accounts.new_reserves_blocked = ledger.new_reserves_blocked
    _complete_accounts(ledger)
    return ledger


def _was_opened(snap: Mapping[str, Any] | None, changes: Sequence[Change]) -> bool:
    """Whether grants had begun by the newest record.

    Otherwise, or without records, the wait for unknown shares starts again.
    """
    newest = max(changes, key=lambda change: change.number, default=None)
    if newest is not None and (not snap or newest.number > snap["number"]):
        return newest.opened
    return bool(snap and snap["opened"])


def _restore_snapshot(
    ledger: Ledger, snap: Mapping[str, Any] | None, now_us: int
) -> list[AccountEnd]:
    """Restore the accounts; return the ends of inactive ones, to be applied later."""
    ends: list[AccountEnd] = []
    if not snap:
        return ends
    for destination, raw in snap["books"].items():
        accounts = ledger.accounts_for(destination)
        for fields in raw["accounts"]:
            row = _AccountRow(*fields)
            account = _restored_account(row)
            accounts.accounts[account.token] = account
            state = AccountState(row.state)
            if state is not AccountState.ACTIVE:
                ends.append(AccountEnd(destination, account.token, state))
        if raw["cooling"]:
            until_us = now_us + accounts.window_us()
            accounts.cooling.append(CoolingCalls(until_us, int(raw["cooling"])))
    return ends


def _restored_account(row: _AccountRow) -> MemberAccount:
    """The account as active; its end is applied after the changes."""
    grants = [QuotaGrant(*map(int, grant)) for grant in row.grants]
    token = Token.from_wire(row.token)
    return MemberAccount(str(row.name), token, grants, int(row.acknowledged_number))


def _replay(ledger: Ledger, change: Change) -> None:
    for grant in change.grants:
        accounts = ledger.accounts_for(grant.destination)
        account = MemberAccount(grant.name, grant.token)
        accounts.accounts.setdefault(grant.token, account)
    ledger.commit(change)


def _apply_end(ledger: Ledger, end: AccountEnd, now_us: int) -> None:
    accounts = ledger.budget_accounts[end.destination]
    account = accounts.accounts.get(end.token)
    if account is None:
        return
    if end.state is AccountState.EXPIRED:
        accounts.expire(account, now_us)
    else:
        accounts.end(account, now_us)
    account.persisted = True


def _presume_members_active(ledger: Ledger, until_us: int) -> None:
    """Treat processes that have not ended as active until `until_us` or their next message."""
    for accounts in ledger.budget_accounts.values():
        for token, account in accounts.accounts.items():
            if account.state is AccountState.ACTIVE:
                # A restart does not reduce a share, so its calls count as demand.
                account.demand = {"": account.granted_calls()}
                ledger.names[token] = account.name
                ledger.presumed_until_us[token] = until_us


def _complete_accounts(ledger: Ledger) -> None:
    """Add accounts for active processes to the budgets that granted them nothing."""
    for token, name in ledger.names.items():
        for accounts in ledger.budget_accounts.values():
            accounts.accounts.setdefault(token, MemberAccount(name, token))
