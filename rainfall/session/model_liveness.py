"""What has to hold in the model of a migration, in each state and in the end."""

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
"""A step's kind, its name, and the state after it.

Kinds are `fair` (happens by itself in the end), `retry`, `late` (happens when nothing
else does) and `foul` (may happen).
"""
REPEATED_STEPS = 50
"""A run that has passed so many states again goes round without an end."""


class LivenessModel:
    """A model whose invariants include that each state reached ends well."""

    def __init__(self) -> None:
        self.good: set[Hashable] = set()
        """Keys of states that are known to end well."""

    def _all(self, state: ModelState) -> Iterator[Step]:
        raise NotImplementedError

    def _do(self, state: ModelState, n: str, done: list[tuple[str, s.Action]]) -> None:
        raise NotImplementedError

    def key(self, state: ModelState) -> Hashable:
        """Return a key that is equal for states that behave alike."""
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
        """Return the invariant that is violated; empty where all hold."""
        return safety_violation(state) or self._unsettled(state)

    def _unsettled(self, state: ModelState) -> str:
        """Go on without further faults, to the end or to a state known to end well."""
        state = replace(state, net=replace(state.net, max_in_transit=20))
        passed: set[Hashable] = set()
        steps = 0
        while (key := self._core(state)) not in self.good:
            after = self._late(state) if key in passed else self._next(state)
            passed.add(key)
            if after is None or len(passed) < steps - REPEATED_STEPS:
                # Either nothing is left to happen, or it repeats without an end.
                if why := liveness_violation(state):
                    return why
                break
            steps, state = steps + 1, after
            if why := safety_violation(state):
                return why
        self.good |= passed
        return ""

    def _next(self, state: ModelState) -> ModelState | None:
        """Return the state after the first fair step that changes something.

        Where there is none, all sides retry what was not answered.
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
        """Return the state after a time limit, where retries get no answer."""
        for n, at in state.forwarders.items():
            for kind, event in at.events() if at.alive else ():
                if kind == "late":
                    after = state.fork(n)
                    self._do(after, n, after.forwarders[n].tell(event))
                    return after
        return None
