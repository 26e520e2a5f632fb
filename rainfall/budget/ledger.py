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

from rainfall.budget.aim import Aim, moves, redivide
from rainfall.budget.book import Account, Book, Grant, State
from rainfall.budget.terms import Budget, Share, wide
from rainfall.lease.token import Token


@dataclass(frozen=True, slots=True)
class Granted:
    destination: str
    name: str
    token: Token
    grant: Grant


@dataclass(frozen=True, slots=True)
class Change:
    """What goes to disk as one: new shares, and ends of processes that others' new
    shares rest on.
    """

    number: int
    grants: tuple[Granted, ...]
    ends: tuple[tuple[str, Token, State], ...]
    opened: bool = True
    shut: bool = False

    def line(self) -> dict[str, Any]:
        return {
            "budgets": self.number,
            "opened": self.opened,
            "shut": self.shut,
            "grants": [
                [
                    g.destination,
                    g.name,
                    g.token.told(),
                    g.grant.number,
                    g.grant.calls,
                    g.grant.reserve,
                ]
                for g in self.grants
            ],
            "ends": [
                [destination, token.told(), state.value]
                for destination, token, state in self.ends
            ],
        }

    @staticmethod
    def of(raw: Mapping[str, Any]) -> Change:
        return Change(
            int(raw["budgets"]),
            tuple(
                Granted(str(d), str(n), Token.of(t), Grant(int(a), int(c), int(r)))
                for d, n, t, a, c, r in raw["grants"]
            ),
            tuple((str(d), Token.of(t), State(s)) for d, t, s in raw["ends"]),
            bool(raw["opened"]),
            bool(raw["shut"]),
        )


class Ledger:
    """`lease_us`: the longest lease there is. Where `sure` is not said (folder lost, or
    perhaps an older copy), nothing is granted until every lease and window that may be
    unknown here is over, and no reserve to a process that does not say it had one,
    until the operator says that all who have are known.
    """

    def __init__(
        self,
        budgets: Iterable[Budget],
        lease_us: int,
        drift: float,
        now_us: int,
        sure: bool = False,
    ) -> None:
        self.lease_us, self.drift = lease_us, drift
        self.opens_us = now_us if sure else now_us + wide(lease_us, drift)
        self.sure = self.opened = sure
        self.shut = not sure
        self.noted = True
        self.books: dict[str, Book] = {}
        self.aims: dict[str, Aim] = {}
        self.names: dict[Token, str] = {}
        self.presumed: dict[Token, int] = {}
        """Restored, and not heard of since: their leases are surely out then."""
        self.number = 0
        self.pending: Change | None = None
        self.configure(budgets, now_us)

    def configure(self, budgets: Iterable[Budget], now_us: int) -> None:
        """Take checked budgets into force. One no longer named is told to nobody, but
        what was granted of it goes on being counted, so that it can come back.
        """
        named = {b.destination: b for b in budgets}
        for destination, budget in sorted(named.items()):
            book = self.books.get(destination)
            if book is None:
                self._open(budget)
                continue
            if budget.calls < book.budget.calls:
                self.aims[destination].lowered = True
            book.configure(budget, now_us)
        for destination, book in self.books.items():
            book.closed = destination not in named

    def _open(self, budget: Budget) -> Book:
        opens_us = self.opens_us + (0 if self.sure else budget.window_us(self.drift))
        book = self.books[budget.destination] = Book(budget, self.drift, opens_us)
        book.shut = self.shut
        book.accounts = {t: Account(name, t) for t, name in self.names.items()}
        self.aims[budget.destination] = Aim()
        return book

    # -- members
    # ------------------------------------------------------------------------------------------

    def joined(
        self,
        token: Token,
        name: str,
        follows: Token | None,
        now_us: int,
        keeps: Mapping[str, int] | None = None,
    ) -> None:
        """A process is in force under this token. `follows`: the token it, or the
        process whose folder it took over under lock, had before, and the reserves it
        `keeps` from then. May be said again; is said for all members after a
        restart.
        """
        self.names[token] = name
        self.presumed.pop(token, None)
        for destination, book in self.books.items():
            account = book.accounts.setdefault(token, Account(name, token))
            if follows is not None and follows != token:
                book.follows(
                    account,
                    book.accounts.get(follows),
                    (keeps or {}).get(destination, 0),
                    now_us,
                )
        if follows is not None and follows != token:
            self.names.pop(follows, None)

    def beat(
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
        self.presumed.pop(token, None)
        for destination, book in self.books.items():
            account = book.accounts[token]
            book.needs(account, needs.get(destination, {}))
            if destination in holds:
                book.acked(account, *holds[destination], now_us)
        return True

    def out(self, token: Token, now_us: int) -> None:
        """Its lease is surely out by this clock: only its reserve acts."""
        self._ended(token, Book.out, now_us)

    def ended(self, token: Token, now_us: int) -> None:
        """The process is surely at its end: it said so last of all, or the operator
        did.
        """
        self._ended(token, Book.over, now_us)

    def reserves_known(self) -> None:
        """The operator's word after a lost folder: no process that was cut off through
        it has a reserve that is not listed in `state`. New processes are given theirs
        again.
        """
        self.noted = self.noted and not self.shut
        self.shut = False
        for book in self.books.values():
            book.shut = False

    def _ended(self, token: Token, how: Any, now_us: int) -> None:
        self.names.pop(token, None)
        self.presumed.pop(token, None)
        for book in self.books.values():
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
            now_us >= book.opens_us for book in self.books.values()
        ):
            self.opened, self.noted = True, False
        for token in sorted(t for t, until in self.presumed.items() if until <= now_us):
            self.out(token, now_us)
        grants: list[Granted] = []
        ends: list[tuple[str, Token, State]] = []
        for destination, book in sorted(self.books.items()):
            book.settle(now_us)
            news = [a for a in book.accounts.values() if not a.noted]
            grants.extend(
                Granted(destination, a.name, a.token, g)
                for a in news
                if a.state is State.IN
                for g in a.grants
            )
            ends.extend(
                (destination, a.token, a.state) for a in news if a.state is not State.IN
            )
            if frozen or book.closed or not self.opened or now_us < book.opens_us:
                continue
            redivide(self.aims[destination], book, now_us)
            steps = moves(self.aims[destination], book, now_us)
            grants.extend(
                Granted(destination, book.accounts[t].name, t, g)
                for t, g in sorted(steps.items())
            )
        if grants or ends or not self.noted:
            self.pending = Change(
                self.number + 1, tuple(grants), tuple(ends), self.opened, self.shut
            )
            self.noted = True
        return self.pending

    def commit(self, change: Change) -> None:
        """Take a change that is on disk into force: the next one, or while restoring,
        any in its order.
        """
        self.pending, self.number = None, change.number
        for g in change.grants:
            account = self.books[g.destination].accounts.get(g.token)
            if account is None or account.state is not State.IN:
                continue  # ended while it was written: it is never told
            if g.grant in account.grants:
                account.noted = True  # a reserve that moved to it is on disk now
            elif not g.grant.number and not account.acked:
                account.grants.insert(0, g.grant)
            elif g.grant.number > account.newest():
                account.add(g.grant)
        for destination, token, state in change.ends:
            account = self.books[destination].accounts.get(token)
            if account is not None and account.state is state:
                account.noted = True

    def told(self, token: Token) -> dict[str, Share]:
        """What a member is answered; valid as long as its lease. A budget that is not
        in it is no longer renewed.
        """
        shares: dict[str, Share] = {}
        for destination, book in sorted(self.books.items()):
            account, budget = book.accounts.get(token), book.budget
            if (
                book.closed
                or account is None
                or account.state is not State.IN
                or not account.newest()
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

    def state(self, now_us: int) -> dict[str, Any]:
        """For `/_vars` and log lines, by destination."""
        told: dict[str, Any] = {}
        for destination, book in sorted(self.books.items()):
            aim = self.aims[destination]
            told[destination] = {
                "whole": book.budget.calls,
                "counted": book.counted(),
                "free": book.free_with({}),
                "cooling": sum(c for _, c in book.cooling),
                "set_aside": book.unseated(),
                "scarce": aim.scarce,
                "why": aim.why,
                "opens_in_us": max(0, book.opens_us - now_us),
                "shut": book.shut,
                "members": [
                    {
                        "name": a.name,
                        "token": t.told(),
                        "state": a.state.value,
                        "calls": a.calls(),
                        "acts_on": a.most(),
                        "number": a.newest(),
                        "acked": a.acked,
                        "reserve": a.reserve(),
                        "aim": aim.shares.get(t, 0),
                        "needs": a.work(),
                    }
                    for t, a in sorted(book.accounts.items())
                ],
            }
        return told
