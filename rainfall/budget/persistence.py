"""A ledger on disk: a snapshot and the changes after it, and what is made of them after
a start.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from rainfall.budget.account import (
    AccountState,
    BudgetAccounts,
    MemberAccount,
    QuotaGrant,
)
from rainfall.budget.ledger import Change, Ledger
from rainfall.budget.types import Budget, widen_for_drift
from rainfall.lease.fencing_token import Token


def snapshot(ledger: Ledger) -> dict[str, Any]:
    """All that a start needs; changes up to `number` are in it, one pending is not."""
    return {
        "number": ledger.number,
        "opened": ledger.opened,
        "shut": ledger.new_reserves_blocked,
        "books": {
            destination: {
                "cooling": sum(c for _, c in book.cooling),
                "accounts": [
                    [
                        a.name,
                        t.to_wire(),
                        a.acknowledged_number,
                        a.state.value,
                        [[g.number, g.calls, g.reserve] for g in a.grants],
                    ]
                    for t, a in sorted(book.accounts.items())
                    if a.grants
                ],
            }
            for destination, book in sorted(ledger.budget_accounts.items())
        },
    }


def restore(
    budgets: Iterable[Budget],
    lease_us: int,
    drift: float,
    now_us: int,
    snap: Mapping[str, Any] | None,
    lines: Iterable[Mapping[str, Any]],
    sure: bool = True,
) -> Ledger:
    """After a start: what was granted counts as held, by leases renewed just now;
    acknowledgements after the snapshot are not known and come again with the beats;
    what cooled begins to cool anew. `sure`: these are surely the newest records; where
    they may be an older copy, or there are none, nothing is granted for a lease and a
    window. `joined` is said next for each member of the roster. Raises KeyError,
    TypeError or ValueError where the records cannot be read.
    """
    changes = [Change.from_record(line) for line in lines]
    last = max(changes, key=lambda c: c.number, default=None)
    # No records, or the wait after lost ones had not ended: it begins anew.
    newest = (
        last.opened
        if last and (not snap or last.number > snap["number"])
        else snap and snap["opened"]
    )
    sure = sure and bool(newest)
    ledger = Ledger(budgets, lease_us, drift, now_us, sure)
    ends: list[tuple[str, Token, AccountState]] = []
    for destination, raw in (snap or {"books": {}})["books"].items():
        book = _accounts_for(ledger, destination)
        for name, told, acked, state, grants in raw["accounts"]:
            token = Token.from_wire(told)
            held = [QuotaGrant(*map(int, g)) for g in grants]
            book.accounts[token] = MemberAccount(str(name), token, held, int(acked))
            if state != AccountState.ACTIVE.value:
                ends.append((destination, token, AccountState(state)))
        if raw["cooling"]:
            book.cooling.append((now_us + book.window_us(), int(raw["cooling"])))
    ledger.number = int(snap["number"]) if snap else 0
    shut = bool(snap["shut"]) if snap else False
    for change in changes:
        if change.number <= ledger.number:
            continue  # in the snapshot, or written twice
        for g in change.grants:
            _accounts_for(ledger, g.destination).accounts.setdefault(
                g.token, MemberAccount(g.name, g.token)
            )
        ledger.commit(change)
        shut = change.new_reserves_blocked
        ends.extend(change.ends)
    for destination, token, state in ends:
        book = ledger.budget_accounts[destination]
        if token in book.accounts:
            (book.expire if state is AccountState.EXPIRED else book.end)(
                book.accounts[token], now_us
            )
            book.accounts[token].persisted = True
    for book in ledger.budget_accounts.values():
        for token, a in book.accounts.items():
            if a.state is AccountState.ACTIVE:
                a.demand = {
                    "": a.granted_calls()
                }  # until it is heard: a restart is no cause to take a share away
                ledger.names[token] = a.name
                ledger.presumed_until_us[token] = now_us + widen_for_drift(
                    lease_us, drift
                )
    ledger.new_reserves_blocked = shut or not sure
    for book in ledger.budget_accounts.values():
        book.new_reserves_blocked = ledger.new_reserves_blocked
    # A process in force is known to every budget, also to those that granted it
    # nothing.
    for token, name in ledger.names.items():
        for book in ledger.budget_accounts.values():
            book.accounts.setdefault(token, MemberAccount(name, token))
    return ledger


def _accounts_for(ledger: Ledger, destination: str) -> BudgetAccounts:
    """Its book, closed where it is no longer configured."""
    if destination not in ledger.budget_accounts:
        ledger._add_budget(Budget(destination, 1, 1)).deconfigured = True
    return ledger.budget_accounts[destination]
