"""When the planner makes a new map by itself, since members have come or gone for good.

The planner is the holder of the lease `shard-planner`. All times are of its clock, in
microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

DOUBLINGS_LIMIT = 30
"""A delay doubles so often at most; `PlanDelays.max_delay_us` limits it long before."""


@dataclass(frozen=True, slots=True)
class PlanDelays:
    """How long a change of members has to last before it is planned for."""

    leave_delay_us: int = 2_000_000
    """After a member left; nobody acts on its keys meanwhile."""
    join_delay_us: int = 10_000_000
    """After a member joined; every migration interrupts its keys."""
    max_delay_us: int = 320_000_000
    """The limit of both, which double each time that the same member comes back."""
    plan_interval_us: int = 30_000_000
    """From one plan to the next."""
    forget_after_us: int = 600_000_000
    """A member's returns are forgotten after so long without a change."""


@dataclass(slots=True)
class _MemberHistory:
    """When a member last changed, and how often it came back."""

    weight: float | None
    """None while it is away."""
    since_us: int
    return_count: int = 0


@dataclass(slots=True)
class AutoPlanner:
    """Delays plans until a change of members has lasted.

    Call `observe_members` with every change, and `members_to_plan_for` when
    `next_plan_us` has come.
    """

    delays: PlanDelays = field(default_factory=PlanDelays)
    planned_at_us: int | None = None
    first_observed_us: int | None = None
    """Members that had left before count as gone since then."""
    history: dict[str, _MemberHistory] = field(default_factory=dict)

    def observe_members(self, members: Mapping[str, float], now_us: int) -> None:
        """Take the active members, with their weights."""
        if self.first_observed_us is None:
            self.first_observed_us = now_us
        for name in sorted(set(self.history) | set(members)):
            self._observe_member(name, members.get(name), now_us)
        for name, known in list(self.history.items()):
            if known.weight is None and self._is_steady(known, now_us):
                del self.history[name]

    def _observe_member(self, name: str, weight: float | None, now_us: int) -> None:
        known = self.history.get(name)
        if known is None:
            self.history[name] = _MemberHistory(weight, now_us)
            return
        if known.weight == weight:
            return
        if self._is_steady(known, now_us):
            known.return_count = 0
        if weight is not None and known.weight is None:
            known.return_count += 1
        known.weight = weight
        known.since_us = now_us

    def _is_steady(self, known: _MemberHistory, now_us: int) -> bool:
        return now_us - known.since_us >= self.delays.forget_after_us

    def members_to_plan_for(
        self, owners: Mapping[str, float], now_us: int, leading: bool, frozen: bool
    ) -> dict[str, float] | None:
        """The members, with weights, to plan for now; None: nothing to do yet.

        Args:
            owners: Those that the map in force was planned for.
            now_us: The present time.
            leading: This process holds `shard-planner`.
            frozen: After a mass loss nothing is divided anew.
        """
        due = self._due_times(owners)
        if not leading or frozen or not due:
            return None
        if now_us < max(min(due.values()), self._earliest_plan_us()):
            return None
        # Only changes that have lasted long enough are planned for, the others later.
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
        """The map was put in force."""
        self.planned_at_us = now_us

    def next_plan_us(self, owners: Mapping[str, float]) -> int | None:
        """When `members_to_plan_for` may return some, if nothing changes before."""
        due = self._due_times(owners)
        if not due:
            return None
        return max(min(due.values()), self._earliest_plan_us())

    def _earliest_plan_us(self) -> int:
        if self.planned_at_us is None:
            return 0
        return self.planned_at_us + self.delays.plan_interval_us

    def _weight(self, name: str) -> float | None:
        """A member's weight; None while it is away."""
        known = self.history.get(name)
        return None if known is None else known.weight

    def _due_times(self, owners: Mapping[str, float]) -> dict[str, int]:
        """When each change that the map does not have yet has lasted long enough."""
        due: dict[str, int] = {}
        if self.first_observed_us is None:
            return due
        for name in sorted(set(owners) | set(self.history)):
            if self._weight(name) != owners.get(name):
                due[name] = self._due_us(name, self.first_observed_us)
        return due

    def _due_us(self, name: str, first_observed_us: int) -> int:
        known = self.history.get(name)
        if known is None:
            return first_observed_us + self.delays.leave_delay_us
        delay_us = self.delays.join_delay_us
        if known.weight is None:
            delay_us = self.delays.leave_delay_us
        doublings = min(known.return_count, DOUBLINGS_LIMIT)
        return known.since_us + min(delay_us << doublings, self.delays.max_delay_us)
