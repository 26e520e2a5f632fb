"""How many calls a member wants in a span: from what came in lately and what waits."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

STEPS_PER_SPAN = 4  # a span is counted in so many steps
# and so many spans are kept: a pause between two bursts is bridged, an older burst
# forgotten
SPANS_KEPT = 2
MAX_PARTS = 32  # parts told apart; any further one counts as ""


class DemandTracker:
    """Memory: STEPS * SPANS + 1 steps, each of MOST_PARTS + 1 numbers at most."""

    def __init__(self, span_us: int) -> None:
        self.step_us = max(1, span_us // STEPS_PER_SPAN)
        self.steps: deque[tuple[int, dict[str, int]]] = deque()

    def record_calls(self, now_us: int, part: str = "", calls: int = 1) -> None:
        """Calls that came to be wanted now: messages' first calls and their retries."""
        step = now_us // self.step_us
        self._drop_old_steps(step)
        if not self.steps or self.steps[-1][0] != step:
            self.steps.append((step, {}))
        counts = self.steps[-1][1]
        known = part if part in counts or len(counts) < MAX_PARTS else ""
        counts[known] = counts.get(known, 0) + calls

    def demand_by_part(self, now_us: int, waiting: Mapping[str, int]) -> dict[str, int]:
        """By part: the most that came in a span of the last two, and what waits unsent,
        which is wanted besides. Parts without need are left out.
        """
        step = now_us // self.step_us
        self._drop_old_steps(step)
        needs: dict[str, int] = {}
        parts = {part for _, counts in self.steps for part in counts}
        for part in sorted(parts):
            needs[part] = max(
                sum(
                    counts.get(part, 0)
                    for at, counts in self.steps
                    if end - STEPS_PER_SPAN < at <= end
                )
                for end, _ in self.steps
            )
        for part in sorted(waiting):
            known = part if part in needs or len(needs) < MAX_PARTS else ""
            needs[known] = needs.get(known, 0) + waiting[part]
        return {part: calls for part, calls in needs.items() if calls > 0}

    def _drop_old_steps(self, step: int) -> None:
        while self.steps and self.steps[0][0] <= step - STEPS_PER_SPAN * SPANS_KEPT:
            self.steps.popleft()
