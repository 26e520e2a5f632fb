"""A member's budgets: what it may send now, what the module is told of that, and the
service of its needs.

Sans-I/O. `now_us` is the member's own monotonic clock, the one its lease goes by.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import islice
from typing import Any

from rainfall.budget.config import MOST_BUDGETS
from rainfall.budget.purse import Purse
from rainfall.budget.terms import Share, window
from rainfall.budget.wants import Wants
from rainfall.dispatch import QuotaChanged
from rainfall.lease.token import NEVER, Token
from rainfall.net.fleet_config import Reserve
from rainfall.net.fleet_file import Records

SLACK_US = 5_000  # where the service tells none
SPAN_US = 1_000_000  # demand is counted by it where no budget is known
GROWN = 1.25  # needs that grew by so much since they were told are told at once
MOST_SPENT = (
    4_096  # entries of all records together, at least one each: the disk may be 3 MB
)
MOST_PART_BYTES = (
    256 * 1024
)  # of all parts' names in one beat: it stays within the service's 1 MiB
ESCAPED = 12  # bytes in JSON of a character that is not ASCII, at most
BARRED = 1 << 40  # calls; stands for those of a time that is not known
log = logging.getLogger("rainfall.fleet")


@dataclass(slots=True)
class Account:
    """One budget here."""

    purse: Purse
    static: Reserve | None
    why: str = "the configuration's reserve"
    barred: tuple[int, int] = (0, 0)
    """Of which unknown time the module was told: its end, and the window it counts
    in.
    """
    opened: bool = False
    """The module knows of it."""
    noted: tuple[Any, ...] = ()


class Books:
    """All budgets of one member. `drift`: see docs/parts.md."""

    def __init__(
        self, budgets: Iterable[Reserve], drift: float, records: Records, now_us: int
    ) -> None:
        self.drift, self.start_us = drift, now_us
        self.kept = False
        """Until what a successor needs is on disk, nothing leaves."""
        self.accounts: dict[int, Account] = {}
        self.wants: dict[int, Wants] = {}
        self.needs_told: dict[int, int] = {}
        self.last: set[int] | None = None
        """Whose shares the service's last answer told; None before the first."""
        for destination, record in records.items():
            try:
                purse = Purse.restored(record, now_us, drift)
            except ValueError as error:
                log.warning(
                    "the record of destination %d counts as none: %s",
                    destination,
                    error,
                )
                purse = Purse(now_us, drift)
            self.accounts[destination] = Account(purse, None, "the process before")
        self.configure(budgets, now_us)

    def configure(self, budgets: Iterable[Reserve], now_us: int) -> list[int]:
        """Budgets from the configuration, at the start and at SIGHUP. They hold where
        nothing was told yet; where a share was, a lower reserve binds at once, and a
        higher one waits for the service. Returns those that are no budgets any more:
        named neither here nor by the service's last answer.
        """
        named, gone = {b.destination: b for b in budgets}, []
        for destination, account in list(self.accounts.items()):
            account.static = named.get(destination)
            told = account.purse.share.token != NEVER and (
                self.last is None or destination in self.last
            )
            if account.static is None and not told:
                del self.accounts[destination]
                gone.append(destination)
        for destination, b in named.items():
            account = self.accounts.setdefault(
                destination, Account(Purse(now_us, self.drift), b)
            )
            account.static, purse = b, account.purse
            if purse.share.token == NEVER:
                self._set(
                    purse,
                    Share(NEVER, 0, b.reserve, b.reserve, b.calls, b.span_us, SLACK_US),
                    now_us,
                )
            elif b.reserve < purse.share.reserve:
                purse.share = replace(purse.share, reserve=b.reserve)
                account.why = "the configuration's lower reserve"
        return gone

    def _set(self, purse: Purse, share: Share, now_us: int) -> None:
        purse.window.forget(now_us)
        purse.share, purse.window.us = (
            share,
            window(share.span_us, share.slack_us, self.drift),
        )

    # What the service tells

    def told(
        self,
        token: Token,
        shares: Mapping[int, Mapping[str, Any]],
        valid_until_us: int,
        now_us: int,
    ) -> bool:
        """Shares from an answered beat that counts. Whether one came to be less: the
        service waits to hear that it binds.
        """
        shrank, self.last = False, set(shares)
        for destination, s in shares.items():
            account = self.accounts.get(destination)
            if account is None:
                account = self.accounts[destination] = Account(
                    Purse(now_us, self.drift), None
                )
            before, static = account.purse.share, account.static
            reserve = s["reserve"] or 0
            if static is not None:  # the configuration may hold it lower, never higher
                reserve = (
                    static.reserve
                    if s["reserve"] is None
                    else min(reserve, static.reserve)
                )
            slack_us = SLACK_US if s["slack_ms"] is None else s["slack_ms"] * 1000
            share = Share(
                token,
                s["number"],
                s["calls"],
                min(reserve, s["calls"]),
                s["whole"],
                s["span_ms"] * 1000,
                slack_us,
            )
            if account.purse.told(share, valid_until_us, now_us) and share != before:
                shrank |= before.token == token and share.calls < before.calls
                account.why = f"share {share.number} of the service"
        return shrank

    def fenced(self, now_us: int) -> None:
        for account in self.accounts.values():
            account.purse.fenced(now_us)
            account.why = "the lease was lost"

    def holds(self, token: Token) -> dict[str, list[int]]:
        found = {d: a.purse.holds(token) for d, a in sorted(self.accounts.items())}
        return {str(d): list(held) for d, held in found.items() if held is not None}

    def keeps(self) -> dict[str, int]:
        """Reserves from before, for a service that may not know of them."""
        return {
            str(d): a.purse.share.reserve
            for d, a in sorted(self.accounts.items())
            if a.purse.share.token != NEVER and a.purse.share.reserve
        }

    # The last gate

    def leaves(self, destination: int, now_us: int) -> int:
        """0: one call may leave now, and is counted. Else so many microseconds from now
        at the earliest; -1 where that is not known.
        """
        account = self.accounts.get(destination)
        if account is None:
            return 0
        if self.kept and account.purse.spend(now_us):
            return 0
        at = account.purse.room_at(now_us) if self.kept else None
        return -1 if at is None else max(at - now_us, 1)

    def left(self, destination: int, spent_us: int, now_us: int) -> None:
        """Its first byte is out. Where the process was stopped since it was counted, it
        counts from now.
        """
        account = self.accounts.get(destination)
        if account is not None and account.purse.late(spent_us, now_us):
            account.purse.window.add(now_us, 1)

    # What the module is told

    def event(self, destination: int, now_us: int, ahead_us: int) -> QuotaChanged:
        """As it stands; `ahead_us`: what the module's clock is ahead of this one."""
        account = self.accounts[destination]
        purse = account.purse
        share, spent = purse.share, []
        barred = (purse.window.known_us, purse.window.us)
        if barred != account.barred and sum(barred) > now_us:
            spent.append((purse.window.known_us + ahead_us, BARRED))
            account.barred = barred
        if not account.opened:
            spent += [
                (latest + ahead_us, calls) for _, latest, calls in purse.window.entries
            ]
            account.opened = True
        able = self.kept and not purse.closed
        return QuotaChanged(
            destination,
            share.calls if able else 0,
            purse.window.us,
            purse.valid_until_us + ahead_us,
            share.reserve if able else 0,
            tuple(spent),
        )

    # What is needed

    def wanted(self, destination: int, part: str, now_us: int) -> None:
        """One more call is wanted."""
        wants = self.wants.get(destination)
        if wants is None:
            if len(self.wants) >= MOST_BUDGETS and destination not in self.accounts:
                return
            account = self.accounts.get(destination)
            span_us = account.purse.share.span_us if account else 0
            wants = self.wants[destination] = Wants(span_us or SPAN_US)
        wants.arrived(now_us, part)

    def needs(
        self, waiting: Mapping[int, Mapping[str, int]], now_us: int
    ) -> dict[str, dict[str, int]]:
        """For a beat, of as many destinations as the service takes: those with a budget
        here first. What is not wanted any more is forgotten.
        """
        found: dict[str, dict[str, int]] = {}
        for destination in sorted(
            {*self.wants, *waiting}, key=lambda d: (d not in self.accounts, d)
        ):
            wants = self.wants.get(destination) or Wants(SPAN_US)
            if parts := wants.needs(now_us, waiting.get(destination, {})):
                found[str(destination)] = parts
            elif destination not in self.accounts:
                self.wants.pop(destination, None)
        told = without_long_parts(dict(islice(found.items(), MOST_BUDGETS)))
        self.needs_told = {int(d): sum(parts.values()) for d, parts in told.items()}
        return told

    def grown(self, waiting: Mapping[int, int], now_us: int) -> bool:
        """Whether more is needed of a budget than its share, and much more than was
        told.
        """
        for destination, account in self.accounts.items():
            wants, piled = self.wants.get(destination), waiting.get(destination, 0)
            if not piled:
                continue  # the share suffices
            needed = sum(wants.needs(now_us, {}).values()) + piled if wants else piled
            told = self.needs_told.get(destination, 0)
            if needed > max(GROWN * told, told + 1, account.purse.limit(now_us)):
                return True
        return False

    # For a successor

    def standing(self) -> Records:
        return {d: a.purse.standing() for d, a in self.accounts.items()}

    def close(self, now_us: int) -> Records:
        """Nothing leaves from here on."""
        records = {d: a.purse.close(now_us) for d, a in self.accounts.items()}
        most = max(MOST_SPENT // max(1, len(records)), 1)
        for record in records.values():
            record["spent"] = gathered(record["spent"], most)
        return records

    def reopen(self) -> None:
        """The successor that it was closed for did not come to anything."""
        for account in self.accounts.values():
            account.purse.closed = False

    # Figures

    def figures(self, now_us: int) -> dict[str, dict[str, Any]]:
        told = {}
        for destination, a in sorted(self.accounts.items()):
            p = a.purse
            p.window.forget(now_us)
            told[str(destination)] = {
                "whole": p.share.whole,
                "span_ms": p.share.span_us // 1000,
                "share": p.limit(now_us),
                "used": p.window.inside,
                "valid_for_ms": max(0, p.valid_until_us - now_us) // 1000,
                "reserve": p.share.reserve,
                "by": self.by(a, now_us),
                "number": p.share.number,
                "why": a.why,
            }
        return told

    def by(self, account: Account, now_us: int) -> str:
        return "lease" if now_us < account.purse.valid_until_us else "reserve"

    def changes(self, now_us: int) -> list[tuple[int, dict[str, Any]]]:
        """Budgets that stand otherwise than when this was last asked, with their
        figures.
        """
        found, figures = [], None
        for destination, a in sorted(self.accounts.items()):
            share = a.purse.share
            note = (
                self.by(a, now_us),
                share.calls,
                share.reserve,
                share.whole,
                share.span_us,
            )
            if note != a.noted:
                if (
                    a.noted
                    and a.noted[0] == "lease" != note[0]
                    and a.why.startswith("share")
                ):
                    a.why = "the lease is out"
                elif note[0] == "lease":
                    a.why = f"share {share.number} of the service"
                a.noted = note
                figures = figures or self.figures(now_us)
                found.append((destination, figures[str(destination)]))
        return found


def without_long_parts(needs: dict[str, dict[str, int]]) -> dict[str, dict[str, int]]:
    """Needs by destination and part. Where the parts' names would make a beat too
    large, each destination's whole need stands under the part "" instead.
    """
    size = sum(
        len(part) * (1 if part.isascii() else ESCAPED)
        for parts in needs.values()
        for part in parts
    )
    if size <= MOST_PART_BYTES:
        return needs
    return {
        destination: {"": sum(parts.values())} for destination, parts in needs.items()
    }


def gathered(spent: list[list[int]], most: int) -> list[list[int]]:
    """(first, latest, calls) in so many entries at most: calls of one count as made at
    its latest.
    """
    step = max(1, -(-len(spent) // most))
    return [
        [group[0][0], group[-1][1], sum(calls for _, _, calls in group)]
        for group in (spent[n : n + step] for n in range(0, len(spent), step))
    ]
