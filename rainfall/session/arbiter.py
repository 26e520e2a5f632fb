"""The list service's word on hand-overs in doubt: one side for each, and for good.

It is asked only where one side cannot reach the other, restarted, or lost its lease;
what goes well never asks. The service journals each new entry before it answers
(`decided`), and reads them back at its start.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from rainfall.session.protocol import MigrationId
from rainfall.session.states import AskArbiter, ConfirmVerdict, Ruling, Side, Verdict

DECISION_RETENTION_US = 3_600_000_000
"""An entry whose missing side has been silent for so long may make room: no message
lives as long.
"""


@dataclass(frozen=True, slots=True)
class Decision:
    ruling: Ruling
    decided_at_us: int
    confirmed: frozenset[Side] = frozenset()


@dataclass(slots=True)
class Arbiter:
    """`in_force(name)`: a lease of that member is not surely out, as the service sees
    it.
    """

    epoch: int
    is_lease_valid: Callable[[str], bool]
    max_decisions: int = 10_000
    decisions: OrderedDict[MigrationId, Decision] = field(default_factory=OrderedDict)
    forgotten_up_to: dict[str, MigrationId] = field(default_factory=dict)
    """By giver, the highest hand-over that was forgotten before both sides confirmed
    it.
    """

    def decide(self, ask: AskArbiter, now_us: int) -> tuple[Verdict, bool]:
        """The word, and whether it is new: then it must be on disk before it is told.

        The caller has checked that whoever asks holds a lease, and is the giver or the
        taker by name.
        """
        known = self.decisions.get(ask.migration_id)
        ruling = self._decide(ask, known)
        new = known is None and ruling != "wait"
        if new:
            if len(self.decisions) >= self.max_decisions and not self._evict_oldest(
                now_us
            ):
                return Verdict(ask.migration_id, "wait"), False
            self.decisions[ask.migration_id] = Decision(ruling, now_us)
        return Verdict(ask.migration_id, ruling), new

    def _decide(self, ask: AskArbiter, known: Decision | None) -> Ruling:
        if known is not None:
            return known.ruling
        if ask.cede:
            # whatever was forgotten: nobody was told otherwise, or it would not ask so
            return "taker"
        other_is_gone = not self.is_lease_valid(ask.other_member)
        floor = self.forgotten_up_to.get(ask.migration_id.source)
        if ask.migration_id.epoch < self.epoch or (
            floor is not None and ask.migration_id <= floor
        ):
            # what was said then is not known: they have each other, and `commit_us`
            return "wait"
        if ask.side == "giver":
            return "giver" if other_is_gone or not ask.committed else "wait"
        return "taker" if other_is_gone or ask.unknown_to_source else "wait"

    def confirm(self, confirmation: ConfirmVerdict) -> bool:
        """That side has carried it out.

        True where something changed that belongs on disk.
        """
        known = self.decisions.get(confirmation.migration_id)
        if known is None or confirmation.side in known.confirmed:
            return False
        if known.confirmed:
            del self.decisions[confirmation.migration_id]
        else:
            self.decisions[confirmation.migration_id] = Decision(
                known.ruling, known.decided_at_us, known.confirmed | {confirmation.side}
            )
        return True

    def _evict_oldest(self, now_us: int) -> bool:
        oldest, entry = next(iter(self.decisions.items()))
        if now_us - entry.decided_at_us < DECISION_RETENTION_US:
            return False
        del self.decisions[oldest]
        self.forgotten_up_to[oldest.source] = max(
            oldest, self.forgotten_up_to.get(oldest.source, oldest)
        )
        return True
