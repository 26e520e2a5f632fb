"""The list service's word on hand-overs in doubt: one side for each, and for good.

It is asked only where one side cannot reach the other, restarted, or lost its lease;
what goes well never asks. The service journals each new entry before it answers
(`decided`), and reads them back at its start.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from rainfall.session.states import Ask, Confirm, Ruling, Side, Verdict
from rainfall.session.words import Hand

KEPT_US = 3_600_000_000
"""An entry whose missing side has been silent for so long may make room: no message
lives as long.
"""


@dataclass(frozen=True, slots=True)
class Entry:
    ruling: Ruling
    at_us: int
    confirmed: frozenset[Side] = frozenset()


@dataclass(slots=True)
class Arbiter:
    """`in_force(name)`: a lease of that member is not surely out, as the service sees
    it.
    """

    epoch: int
    in_force: Callable[[str], bool]
    most: int = 10_000
    decided: OrderedDict[Hand, Entry] = field(default_factory=OrderedDict)
    floors: dict[str, Hand] = field(default_factory=dict)
    """By giver, the highest hand-over that was forgotten before both sides confirmed
    it.
    """

    def rule(self, ask: Ask, now_us: int) -> tuple[Verdict, bool]:
        """The word, and whether it is new: then it must be on disk before it is told.
        The caller has checked that whoever asks holds a lease, and is the giver or the
        taker by name.
        """
        known = self.decided.get(ask.hand)
        ruling = self._rule(ask, known)
        new = known is None and ruling != "wait"
        if new:
            if len(self.decided) >= self.most and not self._make_room(now_us):
                return Verdict(ask.hand, "wait"), False
            self.decided[ask.hand] = Entry(ruling, now_us)
        return Verdict(ask.hand, ruling), new

    def _rule(self, ask: Ask, known: Entry | None) -> Ruling:
        if known is not None:
            return known.ruling
        if ask.cede:
            # whatever was forgotten: nobody was told otherwise, or it would not ask so
            return "taker"
        alone = not self.in_force(ask.other)
        floor = self.floors.get(ask.hand.giver)
        if ask.hand.epoch < self.epoch or (floor is not None and ask.hand <= floor):
            # what was said then is not known: they have each other, and `commit_us`
            return "wait"
        if ask.side == "giver":
            return "giver" if alone or not ask.committed else "wait"
        return "taker" if alone or ask.forgot else "wait"

    def confirm(self, told: Confirm) -> bool:
        """That side has carried it out. True where something changed that belongs on
        disk.
        """
        known = self.decided.get(told.hand)
        if known is None or told.side in known.confirmed:
            return False
        if known.confirmed:
            del self.decided[told.hand]
        else:
            self.decided[told.hand] = Entry(
                known.ruling, known.at_us, known.confirmed | {told.side}
            )
        return True

    def _make_room(self, now_us: int) -> bool:
        oldest, entry = next(iter(self.decided.items()))
        if now_us - entry.at_us < KEPT_US:
            return False
        del self.decided[oldest]
        self.floors[oldest.giver] = max(oldest, self.floors.get(oldest.giver, oldest))
        return True
