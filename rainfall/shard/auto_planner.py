"""When the holder of the lease `shard-planner` makes a new map by itself: members came
or went for good.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PlanDelays:
    """All in microseconds."""

    leave_delay_us: int = 2_000_000
    """A member that left stays away so long before its keys are divided: nobody acts on
    them meanwhile.
    """
    join_delay_us: int = 10_000_000
    """A member that joined stays so long before it is given keys: every move costs its
    keys a pause.
    """
    max_delay_us: int = 320_000_000
    """Both double, to this at most, each time the same member comes back before it is
    forgotten.
    """
    plan_interval_us: int = 30_000_000
    """From one plan to the next."""
    forget_after_us: int = 600_000_000
    """A member that stayed so long without a change is taken as steady again."""


@dataclass(slots=True)
class _MemberHistory:
    weight: float | None
    """None while it is away."""
    since_us: int
    return_count: int = 0


@dataclass(slots=True)
class AutoPlanner:
    """Hysteresis by waiting: `saw` with every change of members, `wanted` whenever
    `next_us` has come.
    """

    delays: PlanDelays = field(default_factory=PlanDelays)
    planned_at_us: int | None = None
    first_observed_us: int | None = None
    """The first look: who was gone before counts as gone from then on."""
    history: dict[str, _MemberHistory] = field(default_factory=dict)

    def observe_members(self, members: Mapping[str, float], now_us: int) -> None:
        """The members in force (alive or suspect), with their weights."""
        self.first_observed_us = (
            now_us if self.first_observed_us is None else self.first_observed_us
        )
        for name in sorted(set(self.history) | set(members)):
            weight, known = members.get(name), self.history.get(name)
            if known is None:
                self.history[name] = _MemberHistory(weight, now_us)
                continue
            if known.weight == weight:
                continue
            if now_us - known.since_us >= self.delays.forget_after_us:
                known.return_count = 0
            known.return_count += weight is not None and known.weight is None
            known.weight, known.since_us = weight, now_us
        for name, known in list(self.history.items()):
            if (
                known.weight is None
                and now_us - known.since_us >= self.delays.forget_after_us
            ):
                del self.history[name]

    def members_to_plan_for(
        self, owners: Mapping[str, float], now_us: int, leading: bool, frozen: bool
    ) -> dict[str, float] | None:
        """Members and weights to plan for now; None: nothing to do yet.

        `owners`: those that the map in force was planned for. `leading`: this process
        holds `shard-planner`. `held`: the guard against mass loss holds everything
        fleet-wide as it is.
        """
        due = self._due_times(owners)
        if (
            not leading
            or frozen
            or not due
            or now_us < self._earliest_plan_us()
            or min(due.values()) > now_us
        ):
            return None
        # Only what has stayed long enough changes; the rest stays as planned and has
        # its turn later.
        target = dict(owners)
        for name, due_us in due.items():
            if due_us > now_us:
                continue
            weight = self.history[name].weight if name in self.history else None
            if weight is None:
                target.pop(name, None)
            else:
                target[name] = weight
        return target if any(target.values()) else None

    def on_planned(self, now_us: int) -> None:
        """The map was put in force."""
        self.planned_at_us = now_us

    def next_plan_us(self, owners: Mapping[str, float]) -> int | None:
        """When `wanted` may have something, if nothing is seen before."""
        due = self._due_times(owners)
        return max(min(due.values()), self._earliest_plan_us()) if due else None

    def _earliest_plan_us(self) -> int:
        return (
            0
            if self.planned_at_us is None
            else self.planned_at_us + self.delays.plan_interval_us
        )

    def _due_times(self, owners: Mapping[str, float]) -> dict[str, int]:
        """When each change that the map does not have yet has lasted long enough."""
        due: dict[str, int] = {}
        if self.first_observed_us is None:
            return due
        for name in sorted(set(owners) | set(self.history)):
            known = self.history.get(name)
            if (known.weight if known else None) == owners.get(name):
                continue
            if known is None:
                due[name] = self.first_observed_us + self.delays.leave_delay_us
                continue
            pause = (
                self.delays.leave_delay_us
                if known.weight is None
                else self.delays.join_delay_us
            )
            due[name] = known.since_us + min(
                pause << min(known.return_count, 30), self.delays.max_delay_us
            )
        return due
