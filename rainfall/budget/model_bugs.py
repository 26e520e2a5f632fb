"""Bugs planted in the cores, each of which the search has to find."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from rainfall.budget.book import Book
from rainfall.budget.purse import Purse
from rainfall.budget.terms import Share

BUGS = (
    "span not waited for",
    "freed when told",
    "no drift margin",
    "reserve not counted",
    "new process sends at once",
    "older answer adopted",
    "restart forgets what is unacknowledged",
    "lost folder grants at once",
)


class Hasty(Book):
    def window_us(self) -> int:
        return 0


class Trusting(Book):
    """What a member is told to give up counts as free at once."""

    def free_with(self, proposed: Any) -> int:
        ahead = sum(a.most() - max(a.calls(), a.reserve()) for a in self.in_force())
        return super().free_with(proposed) + ahead


class Bare(Book):
    def unseated(self, soon: int = 0) -> int:
        return 0


class Gullible(Purse):
    def told(self, share: Share, valid_until_us: int, now_us: int) -> bool:
        if share.token == self.share.token and share.number < self.share.number:
            self.share = replace(self.share, number=0)
        return super().told(share, valid_until_us, now_us)
