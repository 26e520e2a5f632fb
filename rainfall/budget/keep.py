"""A ledger on disk: a snapshot and the changes after it, and what is made of them after
a start.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from rainfall.budget.book import Account, Grant, State
from rainfall.budget.ledger import Change, Ledger
from rainfall.budget.terms import Budget, wide
from rainfall.lease.token import Token


def snapshot(ledger: Ledger) -> dict[str, Any]:
    """All that a start needs; changes up to `number` are in it, one pending is not."""
    return {
        "number": ledger.number,
        "opened": ledger.opened,
        "shut": ledger.shut,
        "books": {
            destination: {
                "cooling": sum(c for _, c in book.cooling),
                "accounts": [
                    [
                        a.name,
                        t.told(),
                        a.acked,
                        a.state.value,
                        [[g.number, g.calls, g.reserve] for g in a.grants],
                    ]
                    for t, a in sorted(book.accounts.items())
                    if a.grants
                ],
            }
            for destination, book in sorted(ledger.books.items())
        },
    }


def restored(
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
    changes = [Change.of(line) for line in lines]
    last = max(changes, key=lambda c: c.number, default=None)
    # No records, or the wait after lost ones had not ended: it begins anew.
    newest = (
        last.opened
        if last and (not snap or last.number > snap["number"])
        else snap and snap["opened"]
    )
    sure = sure and bool(newest)
    ledger = Ledger(budgets, lease_us, drift, now_us, sure)
    ends: list[tuple[str, Token, State]] = []
    for destination, raw in (snap or {"books": {}})["books"].items():
        book = _book(ledger, destination)
        for name, told, acked, state, grants in raw["accounts"]:
            token = Token.of(told)
            held = [Grant(*map(int, g)) for g in grants]
            book.accounts[token] = Account(str(name), token, held, int(acked))
            if state != State.IN.value:
                ends.append((destination, token, State(state)))
        if raw["cooling"]:
            book.cooling.append((now_us + book.window_us(), int(raw["cooling"])))
    ledger.number = int(snap["number"]) if snap else 0
    shut = bool(snap["shut"]) if snap else False
    for change in changes:
        if change.number <= ledger.number:
            continue  # in the snapshot, or written twice
        for g in change.grants:
            _book(ledger, g.destination).accounts.setdefault(
                g.token, Account(g.name, g.token)
            )
        ledger.commit(change)
        shut = change.shut
        ends.extend(change.ends)
    for destination, token, state in ends:
        book = ledger.books[destination]
        if token in book.accounts:
            (book.out if state is State.OUT else book.over)(
                book.accounts[token], now_us
            )
            book.accounts[token].noted = True
    for book in ledger.books.values():
        for token, a in book.accounts.items():
            if a.state is State.IN:
                a.needs = {
                    "": a.calls()
                }  # until it is heard: a restart is no cause to take a share away
                ledger.names[token] = a.name
                ledger.presumed[token] = now_us + wide(lease_us, drift)
    ledger.shut = shut or not sure
    for book in ledger.books.values():
        book.shut = ledger.shut
    # A process in force is known to every budget, also to those that granted it
    # nothing.
    for token, name in ledger.names.items():
        for book in ledger.books.values():
            book.accounts.setdefault(token, Account(name, token))
    return ledger


def _book(ledger: Ledger, destination: str) -> Any:
    """Its book, closed where it is no longer configured."""
    if destination not in ledger.books:
        ledger._open(Budget(destination, 1, 1)).closed = True
    return ledger.books[destination]
