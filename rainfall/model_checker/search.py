"""Breadth-first search of every state a model can reach, to a stated depth and count of
states.

A model drives the same sans-I/O cores that the processes run; it adds only what
surrounds them: messages under way, clocks, crashes. Breadth first, so that the trace of
a breach is the shortest there is.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

StateType = TypeVar("StateType")


class Model(Protocol[StateType]):
    """What is searched.

    States are never changed once given: `steps` works on copies.
    """

    def start(self) -> StateType:
        """The one state that everything begins in."""

    def steps(self, state: StateType) -> Iterable[tuple[str, StateType]]:
        """Each thing that can happen next: its name, and the state after it."""

    def key(self, state: StateType) -> Hashable:
        """Equal for states that behave alike from here on (leave out names, history,
        absolute times).
        """

    def broken(self, state: StateType) -> str:
        """Which invariant does not hold here; empty where all do."""


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What a search saw."""

    states: int
    """Distinct states visited."""
    depth: int
    """Longest path searched whole: every state reachable in so many steps was
    visited.
    """
    complete: bool
    """Nothing was left: not one state beyond those visited can be reached at any
    depth.
    """
    violation: str = ""
    """The invariant that was broken; empty where none was."""
    trace: tuple[str, ...] = ()
    """The steps from the start to the breach."""


def explore(
    model: Model[StateType], depth: int, max_states: int = 1_000_000
) -> SearchResult:
    """Visit all states within `depth` steps, or up to `most_states` of them, and stop
    at the first breach.
    """
    first = model.start()
    if why := model.broken(first):
        return SearchResult(1, 0, False, why)
    # A state's way back is kept as (number of the state before, step): traces cost one
    # entry a state.
    predecessors: list[tuple[int, str]] = [(-1, "")]
    seen = {model.key(first)}
    frontier: deque[tuple[int, int, StateType]] = deque([(0, 0, first)])
    while frontier:
        number, depth_of_state, state = frontier.popleft()
        if depth_of_state >= depth:
            return SearchResult(len(seen), depth, False)
        for name, after in model.steps(state):
            key = model.key(after)
            if key in seen:
                continue
            seen.add(key)
            predecessors.append((number, name))
            if why := model.broken(after):
                return SearchResult(
                    len(seen),
                    depth_of_state,
                    False,
                    why,
                    _trace(predecessors, len(predecessors) - 1),
                )
            if len(seen) >= max_states:
                return SearchResult(len(seen), depth_of_state, False)
            frontier.append((len(predecessors) - 1, depth_of_state + 1, after))
    return SearchResult(len(seen), depth, True)


def _trace(predecessors: list[tuple[int, str]], number: int) -> tuple[str, ...]:
    steps: list[str] = []
    while number > 0:
        number, step = predecessors[number]
        steps.append(step)
    return tuple(reversed(steps))
