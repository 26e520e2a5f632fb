"""Budgets on the beats: what members need and hold goes to the ledger, their shares
come back from it.

The ledger (`budget/`) decides the division and keeps it within the whole; here its
changes are written before they are told, its configuration is kept with them, and it is
asked again when something falls due.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Mapping
from typing import Any

from rainfall.budget import config, keep
from rainfall.budget.aim import Aim, target
from rainfall.budget.book import Book
from rainfall.budget.ledger import Ledger
from rainfall.budget.terms import Budget
from rainfall.lease.token import Token
from rainfall.member.roster import Member
from rainfall.registry.rider import Heard, Riding, Row

STEPS = 8  # of a span: so often is looked for what came free ...
LEAST_US, MOST_US = 50_000, 1_000_000  # ... within these
log = logging.getLogger("rainfall.registry")


class Budgets(Riding):
    """`lease_us`: the longest lease there may be. Budgets are put in force by a row
    that `configured` makes, through `Fleet.decide`; they go on over restarts, with all
    that was granted.
    """

    name = "budgets"

    def __init__(self, lease_us: int, drift: float) -> None:
        self.lease_us, self.drift = lease_us, drift
        self.raw: list[dict[str, Any]] = []
        """What is in force, as it was written."""
        self.version = 0
        self.source = ""
        """Where it came from: `file` or `hand`."""
        self.file: list[dict[str, Any]] | None = None
        """What was last taken from the file: it counts again at a start only if it is
        another then.
        """
        self.ledger = Ledger((), lease_us, drift, 0)
        self._epoch = 0
        self._now_us = 0
        self._due_us: int | None = None
        # What each member said last and the ledger has. Forgotten where that may mean
        # something else now.
        self._last: dict[Token, tuple[Any, Any]] = {}
        self._turning = (
            False  # budgets were put in force, and no plan by them is on disk yet
        )

    # -- the start
    # -------------------------------------------------------------------------------------

    def lifted(self, epoch: int) -> None:
        self._epoch = epoch

    def restored(
        self, now_us: int, sure: bool, snapshot: Row | None, rows: list[Row]
    ) -> None:
        self._now_us = now_us
        configs = [] if snapshot is None else [snapshot]
        configs += [row for row in rows if "config" in row]
        histories = [config.checked(row["config"]) for row in configs]
        for row in configs:
            self._taken(row)
        steady = _steady(histories, self.drift, snapshot["opening"] if snapshot else ())
        self.ledger = keep.restored(
            steady,
            self.lease_us,
            self.drift,
            now_us,
            snapshot["ledger"] if snapshot else None,
            [row for row in rows if "budgets" in row],
            sure,
        )
        # Those whose window grew, or that were away, open only a whole window after
        # this.
        self.ledger.configure(histories[-1] if histories else (), now_us)

    def started(self, now_us: int, members: list[tuple[Member, int]]) -> None:
        for member, _ in members:
            self.ledger.joined(member.token, member.name, None, now_us)

    # -- members
    # ---------------------------------------------------------------------------------------

    def faults(self, beat: Mapping[str, Any]) -> list[str]:
        found: list[str] = []
        for name, read in (("needs", config.beat_needs), ("holds", config.beat_holds)):
            try:
                read(beat.get(name, {}))
            except config.Faults as error:
                found.extend(error.faults)
        return found

    def joined(
        self, now_us: int, name: str, token: Token, follows: Token | None
    ) -> None:
        self._last.pop(token, None)
        self.ledger.joined(token, name, follows, now_us)

    def said(
        self,
        now_us: int,
        name: str,
        token: Token,
        shown: Token,
        keeps: Mapping[str, int],
    ) -> None:
        self._last.pop(token, None)
        self.ledger.joined(token, name, shown, now_us, keeps)

    def heard(
        self,
        now_us: int,
        until_us: int,
        name: str,
        token: Token,
        beat: Mapping[str, Any],
    ) -> Heard:
        needs = config.beat_needs(beat.get("needs", {}))
        holds = config.beat_holds(beat.get("holds", {}))
        self._now_us = now_us
        changed = self._last.get(token) != (needs, holds)
        if changed:
            self.ledger.beat(token, needs, holds, now_us)
            self._last[token] = needs, holds
        waits = self._turning
        if changed and not waits and needs and self.raw:
            told = self.ledger.told(token)
            waits = any(
                sum(parts.values()) > told[d].calls
                if d in told
                else d in self.ledger.books
                for d, parts in needs.items()
            )
        return Heard(changed, waits, lambda: {"shares": self.shares(token)})

    def shares(self, token: Token) -> dict[str, Any]:
        return {
            destination: {
                "calls": s.calls,
                "number": s.number,
                "reserve": s.reserve,
                "whole": s.whole,
                "span_ms": s.span_us // 1_000,
                "slack_ms": s.slack_us // 1_000,
            }
            for destination, s in self.ledger.told(token).items()
        }

    def out(self, now_us: int, token: Token) -> None:
        self._last.pop(token, None)
        self.ledger.out(token, now_us)

    def ended(self, now_us: int, token: Token) -> None:
        self._last.pop(token, None)
        self.ledger.ended(token, now_us)

    # -- plans
    # -----------------------------------------------------------------------------------------

    def plan(self, now_us: int, frozen: bool, members: list[Member]) -> list[Row]:
        self._now_us = now_us
        change = self.ledger.plan(now_us, frozen)
        if change is None:
            self._turning = False
            self._due_us = self._due(now_us)
            return []
        self._due_us = now_us + LEAST_US
        return [change.line()]

    def _due(self, now_us: int) -> int | None:
        """While something cools, opens or is missing it is looked at again; at rest
        only a beat stirs.
        """
        spans = [
            book.budget.span_us
            for destination, book in self.ledger.books.items()
            if not book.closed
            and _unsettled(book, self.ledger.aims[destination], now_us)
        ]
        ends = sorted(self.ledger.presumed.values())[:1]
        return min(
            [
                *ends,
                *(
                    now_us + min(max(span // STEPS, LEAST_US), MOST_US)
                    for span in spans
                ),
            ],
            default=None,
        )

    def next_us(self) -> int | None:
        return self._due_us

    def configured(
        self, now_us: int, raw: list[dict[str, Any]], source: str
    ) -> list[Row]:
        """The rows that put checked budgets in force. A plan whose write failed is
        written again before them, since it was made by those before.
        """
        first = [] if self.ledger.pending is None else [self.ledger.pending.line()]
        version = max(
            self.version + 1, self._epoch << 20
        )  # never one that a lost folder had
        return [*first, {"config": raw, "version": version, "source": source}]

    def forget(self, now_us: int, token: Token | None) -> list[Row]:
        """The operator's word: the process of this token is surely at its end; None:
        after a lost folder, all who have a reserve are known.
        """
        if token is None:
            self.ledger.reserves_known()
        else:
            self.ledger.ended(token, now_us)
        return self.plan(now_us, True, [])

    def commit(self, now_us: int, row: Row) -> None:
        self._now_us = now_us
        if "config" not in row:
            change = self.ledger.pending
            if change is None or change.number != row["budgets"]:
                raise ValueError("a change that was not planned")
            self._log(row)
            self.ledger.commit(change)
            self._turning = False
            return
        budgets = config.checked(row["config"])
        self._taken(row)
        self.ledger.configure(budgets, now_us)
        self._last.clear()  # a budget that came has not heard what was said before
        self._turning, self._due_us = True, now_us
        log.info(
            "budgets",
            extra={
                "version": self.version,
                "source": self.source,
                "wholes": {
                    b.destination: [b.calls, b.span_us // 1_000] for b in budgets
                },
            },
        )

    def abandon(self, row: Row) -> None:
        """The ledger plans it again as it is: a write that failed may have reached the
        disk.
        """

    def concerns(self, row: Row) -> Collection[str] | None:
        """A new configuration concerns all, also who gets no other share: whole and
        span may be others.
        """
        return None if "config" in row else {grant[1] for grant in row["grants"]}

    def _taken(self, row: Row) -> None:
        self.raw, self.version, self.source = (
            row["config"],
            int(row["version"]),
            str(row["source"]),
        )
        self.file = self.raw if self.source == "file" else row.get("file", self.file)

    def _log(self, row: Row) -> None:
        """One line a budget: who is given what, and why."""
        by: dict[str, dict[str, list[Any]]] = {}
        for destination, name, _, number, calls, reserve in row["grants"]:
            by.setdefault(destination, {"grants": [], "ends": []})["grants"].append(
                [name, number, calls, reserve]
            )
        for destination, token, how in row["ends"]:
            by.setdefault(destination, {"grants": [], "ends": []})["ends"].append(
                [token, how]
            )
        for destination, told in by.items():
            log.info(
                "shares",
                extra={
                    "budget": destination,
                    "change": row["budgets"],
                    "why": self.ledger.aims[destination].why,
                    **told,
                },
            )

    # -- what is told of it
    # ----------------------------------------------------------------------------

    def snapshot(self) -> Row:
        opening = [
            d
            for d, book in sorted(self.ledger.books.items())
            if book.opens_us > self._now_us
        ]
        return {
            "config": self.raw,
            "version": self.version,
            "source": self.source,
            "file": self.file,
            "opening": opening,
            "ledger": keep.snapshot(self.ledger),
        }

    def state(self, now_us: int) -> dict[str, Any]:
        """By destination: as `Ledger.state`, and what cools, with when it has
        cooled.
        """
        told = self.ledger.state(now_us)
        for destination, figures in told.items():
            book = self.ledger.books[destination]
            figures["in_force"] = not book.closed
            figures["cooling_until"] = [
                {"calls": calls, "in_ms": max(until - now_us, 0) // 1_000}
                for until, calls in sorted(book.cooling)
            ]
        return told

    def figures(self, now_us: int) -> dict[str, dict[str, int]]:
        """Whole numbers, by destination, for /_vars and /metrics."""
        return {
            destination: {
                "whole": t["whole"],
                "counted": t["counted"],
                "free": t["free"],
                "cooling": t["cooling"],
                "set_aside": t["set_aside"],
                "needed": sum(m["needs"] for m in t["members"]),
                "shared": sum(m["calls"] for m in t["members"] if m["state"] == "in"),
                "reserves": sum(m["reserve"] for m in t["members"]),
                "holders": sum(m["acts_on"] > 0 for m in t["members"]),
                "unacknowledged": sum(
                    m["acked"] < m["number"] for m in t["members"] if m["state"] == "in"
                ),
                "scarce": int(t["scarce"]),
                "shut": int(t["shut"]),
            }
            for destination, t in self.ledger.state(now_us).items()
        }


def _steady(
    histories: list[tuple[Budget, ...]], drift: float, opening: Collection[str]
) -> list[Budget]:
    """Those in force at the end whose window never grew and that were never away: what
    was free before a start is free after it. Of all others a call may be in a window
    that was not waited for.
    """
    windows: dict[str, int] = {}
    unsteady = set(opening)
    for budgets in histories:
        named = {b.destination: b.window_us(drift) for b in budgets}
        unsteady.update(d for d in windows if windows[d] < named.get(d, 1 << 62))
        windows = {**windows, **named}
    return [
        b for b in (histories[-1] if histories else ()) if b.destination not in unsteady
    ]


def _unsettled(book: Book, aim: Aim, now_us: int) -> bool:
    """Whether time alone may let something move. Asked after each plan for all budgets
    and members, so it looks at the accounts and makes nothing of them.
    """
    if book.opens_us > now_us or book.cooling or aim.scarce:
        return True
    members = book.in_force()
    if any(account.calls() != target(aim, account) for account in members):
        return True
    return (
        any(account.work() > account.calls() for account in members)
        and book.free_with({}) > 0
    )
