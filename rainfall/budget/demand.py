"""Demand of a member: calls wanted in a span, from recent arrivals and waiting calls."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

STEPS_PER_SPAN = 4
"""Steps that a span is divided into for counting."""
SPANS_KEPT = 2
"""Spans that are counted: two bursts with a pause between both count, old bursts do not."""
MAX_PARTS = 32
"""Most parts counted separately; further ones count as `OTHER_PART`."""
OTHER_PART = ""


@dataclass(slots=True)
class DemandStep:
    """Calls wanted in one step of time, `step_us` long."""

    index: int
    calls_by_part: dict[str, int] = field(default_factory=dict)


class DemandTracker:
    """Counts the calls wanted recently, by part of demand: "CLASS" or "CLASS/TENANT".

    Memory: `STEPS_PER_SPAN` * `SPANS_KEPT` + 1 steps of `MAX_PARTS` + 1 numbers at
    most.
    """

    def __init__(self, span_us: int) -> None:
        self.step_us = max(1, span_us // STEPS_PER_SPAN)
        self.steps: deque[DemandStep] = deque()

    def record_calls(self, now_us: int, part: str = "", calls: int = 1) -> None:
        """Count calls that are wanted from now on: first calls and retries of messages."""
        index = now_us // self.step_us
        self._drop_old_steps(index)
        if not self.steps or self.steps[-1].index != index:
            self.steps.append(DemandStep(index))
        counts = self.steps[-1].calls_by_part
        known = part if part in counts or len(counts) < MAX_PARTS else OTHER_PART
        counts[known] = counts.get(known, 0) + calls

    def demand_by_part(self, now_us: int, waiting: Mapping[str, int]) -> dict[str, int]:
        """The calls wanted in a span, by part; parts without demand are left out.

        A part's demand is its highest count in any span within the last `SPANS_KEPT`,
        plus `waiting`, its calls that wait unsent.
        """
        self._drop_old_steps(now_us // self.step_us)
        demand: dict[str, int] = {}
        parts = {part for step in self.steps for part in step.calls_by_part}
        for part in sorted(parts):
            demand[part] = max(
                self._calls_in_span(part, step.index) for step in self.steps
            )
        for part in sorted(waiting):
            known = part if part in demand or len(demand) < MAX_PARTS else OTHER_PART
            demand[known] = demand.get(known, 0) + waiting[part]
        return {part: calls for part, calls in demand.items() if calls > 0}

    def _calls_in_span(self, part: str, last_index: int) -> int:
        """Calls of a part in the span whose last step is `last_index`."""
        return sum(
            step.calls_by_part.get(part, 0)
            for step in self.steps
            if last_index - STEPS_PER_SPAN < step.index <= last_index
        )

    def _drop_old_steps(self, index: int) -> None:
        while self.steps and self.steps[0].index <= index - STEPS_PER_SPAN * SPANS_KEPT:
            self.steps.popleft()
