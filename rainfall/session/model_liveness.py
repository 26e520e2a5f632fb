"""Liveness check of the migration model: each state reached must settle correctly."""

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

Kinds are `fair` (happens eventually), `retry`, `late` (a timeout, which happens when no
other step does) and `foul` (a fault or an outside event, which need not happen).
"""
REPEATED_STEPS = 50
"""A run that has revisited more states than this is taken to loop forever."""


class LivenessModel:
    """A model whose invariants include that each state reached settles correctly."""

    def __init__(self) -> None:
        self.settling_keys: set[Hashable] = set()
        """Keys of states that are known to settle correctly."""

    def _labelled_steps(self, state: ModelState) -> Iterator[Step]:
        raise NotImplementedError

    def _apply_actions(
        self, state: ModelState, name: str, actions: list[tuple[str, s.Action]]
    ) -> None:
        raise NotImplementedError

    def key(self, state: ModelState) -> Hashable:
        """Return a key that is equal for states with the same behaviour."""
        return (
            self._behaviour_key(state),
            state.net.losses_left,
            state.net.duplicates_left,
            tuple(state.events_left.values()),
        )

    def _behaviour_key(self, state: ModelState) -> Hashable:
        return (
            state.net.in_transit,
            state.decisions,
            state.forwarders["g"].key(),
            state.forwarders["t"].key(),
            tuple(state.lease_state.values()),
            state.calls,
            tuple(sorted(state.outcomes.items())),
            state.accepted,
            state.client,
            state.clock,
            state.violation,
            state.epoch,
            state.events_left["gone"],
        )

    def violation(self, state: ModelState) -> str:
        """Return the invariant that is violated in a state; empty where all hold."""
        return safety_violation(state) or self._settling_violation(state)

    def _settling_violation(self, state: ModelState) -> str:
        """Return the violation on the run without further faults; empty where there is none.

        The run stops at a state that is known to settle correctly.
        """
        state = replace(state, net=replace(state.net, max_in_transit=20))
        visited: set[Hashable] = set()
        steps = 0
        while (key := self._behaviour_key(state)) not in self.settling_keys:
            after = (
                self._after_timeout(state)
                if key in visited
                else self._after_fair_step(state)
            )
            visited.add(key)
            if after is None or len(visited) < steps - REPEATED_STEPS:
                # No step is left, or the run loops forever.
                if violation := liveness_violation(state):
                    return violation
                break
            steps, state = steps + 1, after
            if violation := safety_violation(state):
                return violation
        self.settling_keys |= visited
        return ""

    def _after_fair_step(self, state: ModelState) -> ModelState | None:
        """Return the state after the first fair step with an effect.

        Without such a step all sides retry; if that has no effect, a time limit passes.
        """
        behaviour = self._behaviour_key(state)
        for kind, _, after in self._labelled_steps(state):
            if kind == "fair" and self._behaviour_key(after) != behaviour:
                return after
        after = state.fork("gt")
        for name, forwarder in after.forwarders.items():
            if forwarder.alive:
                self._apply_actions(after, name, forwarder.handle(s.Retry()))
        return (
            after
            if self._behaviour_key(after) != behaviour
            else self._after_timeout(state)
        )

    def _after_timeout(self, state: ModelState) -> ModelState | None:
        """Return the state after a time limit has passed; None where no state has a limit."""
        for name, forwarder in state.forwarders.items():
            for kind, event in forwarder.events() if forwarder.alive else ():
                if kind == "late":
                    after = state.fork(name)
                    self._apply_actions(
                        after, name, after.forwarders[name].handle(event)
                    )
                    return after
        return None
