"""How many calls a member wants in a span: what came in lately, and what waits."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

STEPS_PER_SPAN = 4
"""Steps in which a span is counted."""
SPANS_KEPT = 2
"""Spans that are kept: a pause between two bursts is bridged, an old burst forgotten."""
MAX_PARTS = 32
"""Parts told apart; further ones count as `OTHER_PART`."""
OTHER_PART = ""


@dataclass(slots=True)
class DemandStep:
    """Calls wanted in one step of time."""

    index: int
    calls_by_part: dict[str, int] = field(default_factory=dict)


class DemandTracker:
    """Calls wanted lately, by part of demand: "CLASS" or "CLASS/TENANT".

    Memory: `STEPS_PER_SPAN` * `SPANS_KEPT` + 1 steps of `MAX_PARTS` + 1 numbers at
    most.
    """

    def __init__(self, span_us: int) -> None:
        self.step_us = max(1, span_us // STEPS_PER_SPAN)
        self.steps: deque[DemandStep] = deque()

    def record_calls(self, now_us: int, part: str = "", calls: int = 1) -> None:
        """Count calls that are wanted from now: messages' first calls and retries."""
        index = now_us // self.step_us
        self._drop_old_steps(index)
        if not self.steps or self.steps[-1].index != index:
            self.steps.append(DemandStep(index))
        counts = self.steps[-1].calls_by_part
        known = part if part in counts or len(counts) < MAX_PARTS else OTHER_PART
        counts[known] = counts.get(known, 0) + calls

    def demand_by_part(self, now_us: int, waiting: Mapping[str, int]) -> dict[str, int]:
        """The calls wanted in a span; parts without demand are left out.

        For each part the most that came in a span of the last `SPANS_KEPT`, and what
        waits unsent, which is wanted as well.
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
        """Calls of a part in the span that ends with a step."""
        return sum(
            step.calls_by_part.get(part, 0)
            for step in self.steps
            if last_index - STEPS_PER_SPAN < step.index <= last_index
        )

    def _drop_old_steps(self, index: int) -> None:
        while self.steps and self.steps[0].index <= index - STEPS_PER_SPAN * SPANS_KEPT:
            self.steps.popleft()
