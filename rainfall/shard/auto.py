"""When the holder of the lease `shard-planner` makes a new map by itself: members came
or went for good.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Pauses:
    """All in microseconds."""

    gone_us: int = 2_000_000
    """A member that left stays away so long before its keys are divided: nobody acts on
    them meanwhile.
    """
    come_us: int = 10_000_000
    """A member that joined stays so long before it is given keys: every move costs its
    keys a pause.
    """
    most_us: int = 320_000_000
    """Both double, to this at most, each time the same member comes back before it is
    forgotten.
    """
    between_us: int = 30_000_000
    """From one plan to the next."""
    forget_us: int = 600_000_000
    """A member that stayed so long without a change is taken as steady again."""


@dataclass(slots=True)
class _Seen:
    weight: float | None
    """None while it is away."""
    since_us: int
    swings: int = 0


@dataclass(slots=True)
class AutoPlanner:
    """Hysteresis by waiting: `saw` with every change of members, `wanted` whenever
    `next_us` has come.
    """

    pauses: Pauses = field(default_factory=Pauses)
    planned_us: int | None = None
    began_us: int | None = None
    """The first look: who was gone before counts as gone from then on."""
    seen: dict[str, _Seen] = field(default_factory=dict)

    def saw(self, members: Mapping[str, float], now_us: int) -> None:
        """The members in force (alive or suspect), with their weights."""
        self.began_us = now_us if self.began_us is None else self.began_us
        for name in sorted(set(self.seen) | set(members)):
            weight, known = members.get(name), self.seen.get(name)
            if known is None:
                self.seen[name] = _Seen(weight, now_us)
                continue
            if known.weight == weight:
                continue
            if now_us - known.since_us >= self.pauses.forget_us:
                known.swings = 0
            known.swings += weight is not None and known.weight is None
            known.weight, known.since_us = weight, now_us
        for name, known in list(self.seen.items()):
            if (
                known.weight is None
                and now_us - known.since_us >= self.pauses.forget_us
            ):
                del self.seen[name]

    def wanted(
        self, owners: Mapping[str, float], now_us: int, leading: bool, held: bool
    ) -> dict[str, float] | None:
        """Members and weights to plan for now; None: nothing to do yet. `owners`: those
        that the map in force was planned for. `leading`: this process holds
        `shard-planner`. `held`: the guard against mass loss holds everything fleet-wide
        as it is.
        """
        due = self._due(owners)
        if (
            not leading
            or held
            or not due
            or now_us < self._free_us()
            or min(due.values()) > now_us
        ):
            return None
        # Only what has stayed long enough changes; the rest stays as planned and has
        # its turn later.
        target = dict(owners)
        for name, due_us in due.items():
            if due_us > now_us:
                continue
            weight = self.seen[name].weight if name in self.seen else None
            if weight is None:
                target.pop(name, None)
            else:
                target[name] = weight
        return target if any(target.values()) else None

    def planned(self, now_us: int) -> None:
        """The map was put in force."""
        self.planned_us = now_us

    def next_us(self, owners: Mapping[str, float]) -> int | None:
        """When `wanted` may have something, if nothing is seen before."""
        due = self._due(owners)
        return max(min(due.values()), self._free_us()) if due else None

    def _free_us(self) -> int:
        return (
            0 if self.planned_us is None else self.planned_us + self.pauses.between_us
        )

    def _due(self, owners: Mapping[str, float]) -> dict[str, int]:
        """When each change that the map does not have yet has lasted long enough."""
        due: dict[str, int] = {}
        if self.began_us is None:
            return due
        for name in sorted(set(owners) | set(self.seen)):
            known = self.seen.get(name)
            if (known.weight if known else None) == owners.get(name):
                continue
            if known is None:
                due[name] = self.began_us + self.pauses.gone_us
                continue
            pause = self.pauses.gone_us if known.weight is None else self.pauses.come_us
            due[name] = known.since_us + min(
                pause << min(known.swings, 30), self.pauses.most_us
            )
        return due
