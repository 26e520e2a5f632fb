"""What must hold in the model of a hand-over, and that it ends well from each state
reached.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import replace

from rainfall.session import states as s
from rainfall.session.model_state import (
    ModelState,
    liveness_violation,
    safety_violation,
)

Step = tuple[str, str, ModelState]
"""Its kind: `fair` (comes of itself in the end), `retry`, `late` (when nothing else
does), `foul` (may happen); its name; the state after.
"""


class LivenessModel:
    def __init__(self) -> None:
        self.good: set[Hashable] = set()
        """States known to end well."""

    def _all(self, state: ModelState) -> Iterator[Step]:
        raise NotImplementedError

    def _do(self, state: ModelState, n: str, done: list[tuple[str, s.Action]]) -> None:
        raise NotImplementedError

    def key(self, state: ModelState) -> Hashable:
        return (
            self._core(state),
            state.net.losses_left,
            state.net.duplicates_left,
            tuple(state.events_left.values()),
        )

    def _core(self, state: ModelState) -> Hashable:
        return (
            state.net.in_transit,
            state.decisions,
            state.forwarders["g"].key(),
            state.forwarders["t"].key(),
            tuple(state.lease_state.values()),
            state.sent,
            tuple(sorted(state.ends.items())),
            state.promised,
            state.client,
            state.clock,
            state.violation,
            state.epoch,
            state.events_left["gone"],
        )

    def broken(self, state: ModelState) -> str:
        return safety_violation(state) or self._unsettled(state)

    def _unsettled(self, state: ModelState) -> str:
        """Play on with nothing more going wrong, to the end or to a state known to end
        well.
        """
        state = replace(state, net=replace(state.net, max_in_transit=20))
        passed: set[Hashable] = set()
        steps = 0
        while (key := self._core(state)) not in self.good:
            after = self._late(state) if key in passed else self._next(state)
            passed.add(key)
            if (
                after is None or len(passed) < steps - 50
            ):  # the end, or it goes round and round
                if why := liveness_violation(state):
                    return why
                break
            steps, state = steps + 1, after
            if why := safety_violation(state):
                return why
        self.good |= passed
        return ""

    def _next(self, state: ModelState) -> ModelState | None:
        """The first thing that comes of itself and changes something; where none does,
        all say again what was not answered.
        """
        core = self._core(state)
        for kind, _, after in self._all(state):
            if kind == "fair" and self._core(after) != core:
                return after
        after = state.fork("gt")
        for n, at in after.forwarders.items():
            if at.alive:
                self._do(after, n, at.tell(s.Retry()))
        return after if self._core(after) != core else self._late(state)

    def _late(self, state: ModelState) -> ModelState | None:
        """Said again and again with no answer: a limit is over."""
        for n, at in state.forwarders.items():
            for kind, event in at.events() if at.alive else ():
                if kind == "late":
                    after = state.fork(n)
                    self._do(after, n, after.forwarders[n].tell(event))
                    return after
        return None
