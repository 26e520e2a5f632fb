"""The arbiter decides for each migration in doubt, once, which side owns the session.

It runs in the list service and is used only where one side cannot reach the other,
restarted, or lost its lease; a migration without faults never uses it. The service writes
each new decision to its journal before it answers, and restores them when it starts.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from rainfall.session.protocol import MigrationId
from rainfall.session.states import AskArbiter, ConfirmVerdict, Ruling, Side, Verdict

DECISION_RETENTION_US = 3_600_000_000
"""Age after which a decision that a side has not confirmed may be evicted, in
microseconds. No message lives as long.
"""


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision on a session's owner, and the sides that have confirmed it."""

    ruling: Ruling
    decided_at_us: int
    confirmed: frozenset[Side] = frozenset()


class Answer(NamedTuple):
    """A verdict, and whether it was decided just now."""

    verdict: Verdict
    is_new: bool
    """Whether the decision is new; a new one must be on disk before it is sent."""


@dataclass(slots=True)
class Arbiter:
    """The decisions of one epoch of the list service, and those restored from disk."""

    epoch: int
    is_lease_valid: Callable[[str], bool]
    """Whether the lease of a member may still be valid, by the service's clock."""
    max_decisions: int = 10_000
    decisions: OrderedDict[MigrationId, Decision] = field(default_factory=OrderedDict)
    evicted_up_to: dict[str, MigrationId] = field(default_factory=dict)
    """By source, the highest migration evicted before both sides confirmed."""

    def decide(self, question: AskArbiter, now_us: int) -> Answer:
        """Return the verdict, and whether it is new.

        The ruling is `wait` while no decision is possible or the store is full. The caller
        has checked that the requesting member holds a lease, and that it is the source or
        the target.
        """
        migration_id = question.migration_id
        known = self.decisions.get(migration_id)
        ruling = self._decide(question, known)
        is_new = known is None and ruling != "wait"
        if is_new:
            if not self._has_space(now_us):
                return Answer(Verdict(migration_id, "wait"), is_new=False)
            self.decisions[migration_id] = Decision(ruling, now_us)
        return Answer(Verdict(migration_id, ruling), is_new)

    def _has_space(self, now_us: int) -> bool:
        if len(self.decisions) < self.max_decisions:
            return True
        return self._evict_oldest(now_us)

    def _decide(self, question: AskArbiter, known: Decision | None) -> Ruling:
        if known is not None:
            return known.ruling
        if question.cede:
            # Even if a decision was evicted, it was no other: a side that received
            # another verdict does not set `cede`.
            return "taker"
        is_other_gone = not self.is_lease_valid(question.other_member)
        if self._may_be_evicted(question.migration_id):
            # An earlier verdict may have been evicted, so none is safe to give. The sides
            # settle it between them, or by the time limit `commit_us`.
            return "wait"
        if question.side == "giver":
            return "giver" if is_other_gone or not question.committed else "wait"
        return "taker" if is_other_gone or question.unknown_to_source else "wait"

    def _may_be_evicted(self, migration_id: MigrationId) -> bool:
        if migration_id.epoch < self.epoch:
            return True
        evicted_up_to = self.evicted_up_to.get(migration_id.source)
        return evicted_up_to is not None and migration_id <= evicted_up_to

    def confirm(self, confirmation: ConfirmVerdict) -> bool:
        """Record that a side has applied a verdict; the second side's deletes the decision.

        Returns whether the decisions changed, so that the change must be written to disk.
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
        oldest, decision = next(iter(self.decisions.items()))
        if now_us - decision.decided_at_us < DECISION_RETENTION_US:
            return False
        del self.decisions[oldest]
        previous = self.evicted_up_to.get(oldest.source, oldest)
        self.evicted_up_to[oldest.source] = max(oldest, previous)
        return True
