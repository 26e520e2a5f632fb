"""Debounces membership changes and decides when to plan a new map automatically.

The planner is the process that holds the lease `shard-planner`. All times are
microseconds of its clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

DOUBLINGS_LIMIT = 30
"""Maximum doublings of a delay; `PlanDelays.max_delay_us` is reached long before."""


@dataclass(frozen=True, slots=True)
class PlanDelays:
    """How long a membership change has to last before a map is planned for it."""

    leave_delay_us: int = 2_000_000
    """Delay after a member left; no member acts on its keys during the delay."""
    join_delay_us: int = 10_000_000
    """Delay after a member joined; a migration interrupts the keys that it moves."""
    max_delay_us: int = 320_000_000
    """Upper limit of both delays, which double each time that the same member returns."""
    plan_interval_us: int = 30_000_000
    """Minimum time between two plans."""
    history_retention_us: int = 600_000_000
    """A member's return count is reset after this time without a change."""


@dataclass(slots=True)
class _MemberHistory:
    """When a member last changed, and how often it returned."""

    weight: float | None
    """None while the member is absent."""
    since_us: int
    """When the weight last changed."""
    return_count: int = 0


@dataclass(slots=True)
class AutoPlanner:
    """Delays planning until a membership change is stable.

    Call `observe_members` with every change, and `members_to_plan_for` at the time that
    `next_plan_us` returns.
    """

    delays: PlanDelays = field(default_factory=PlanDelays)
    planned_at_us: int | None = None
    first_observed_us: int | None = None
    """Owners that were absent at the first observation count as absent since then."""
    history: dict[str, _MemberHistory] = field(default_factory=dict)

    def observe_members(self, members: Mapping[str, float], now_us: int) -> None:
        """Record the active members and their weights."""
        if self.first_observed_us is None:
            self.first_observed_us = now_us
        for name in sorted(set(self.history) | set(members)):
            self._observe_member(name, members.get(name), now_us)
        for name, member_history in list(self.history.items()):
            if member_history.weight is None and self._is_steady(
                member_history, now_us
            ):
                del self.history[name]

    def _observe_member(self, name: str, weight: float | None, now_us: int) -> None:
        member_history = self.history.get(name)
        if member_history is None:
            self.history[name] = _MemberHistory(weight, now_us)
            return
        if member_history.weight == weight:
            return
        if self._is_steady(member_history, now_us):
            member_history.return_count = 0
        if weight is not None and member_history.weight is None:
            member_history.return_count += 1
        member_history.weight = weight
        member_history.since_us = now_us

    def _is_steady(self, member_history: _MemberHistory, now_us: int) -> bool:
        return now_us - member_history.since_us >= self.delays.history_retention_us

    def members_to_plan_for(
        self, owners: Mapping[str, float], now_us: int, is_leader: bool, suspended: bool
    ) -> dict[str, float] | None:
        """Return the members and weights to plan a map for; None if no plan is due.

        Args:
            owners: Members and weights that the map in force was planned for.
            now_us: The current time.
            is_leader: Whether this process holds `shard-planner`.
            suspended: Whether planning is suspended after a mass loss of members.
        """
        due = self._due_times(owners)
        if not is_leader or suspended or not due:
            return None
        if now_us < max(min(due.values()), self._earliest_plan_us()):
            return None
        # Changes that are not stable yet are left to a later plan.
        target = dict(owners)
        for name, due_us in due.items():
            if due_us > now_us:
                continue
            weight = self._weight(name)
            if weight is None:
                target.pop(name, None)
            else:
                target[name] = weight
        return target if any(target.values()) else None

    def on_planned(self, now_us: int) -> None:
        """Record that a planned map was put in force."""
        self.planned_at_us = now_us

    def next_plan_us(self, owners: Mapping[str, float]) -> int | None:
        """Return when the next plan is due if no member changes; None if none is due."""
        due = self._due_times(owners)
        if not due:
            return None
        return max(min(due.values()), self._earliest_plan_us())

    def _earliest_plan_us(self) -> int:
        if self.planned_at_us is None:
            return 0
        return self.planned_at_us + self.delays.plan_interval_us

    def _weight(self, name: str) -> float | None:
        """Return a member's weight; None while it is absent."""
        member_history = self.history.get(name)
        return None if member_history is None else member_history.weight

    def _due_times(self, owners: Mapping[str, float]) -> dict[str, int]:
        """Return when each change that is missing in the map becomes stable, by member."""
        due: dict[str, int] = {}
        if self.first_observed_us is None:
            return due
        for name in sorted(set(owners) | set(self.history)):
            if self._weight(name) != owners.get(name):
                due[name] = self._due_us(name, self.first_observed_us)
        return due

    def _due_us(self, name: str, first_observed_us: int) -> int:
        member_history = self.history.get(name)
        if member_history is None:
            return first_observed_us + self.delays.leave_delay_us
        delay_us = self.delays.join_delay_us
        if member_history.weight is None:
            delay_us = self.delays.leave_delay_us
        doublings = min(member_history.return_count, DOUBLINGS_LIMIT)
        return member_history.since_us + min(
            delay_us << doublings, self.delays.max_delay_us
        )
