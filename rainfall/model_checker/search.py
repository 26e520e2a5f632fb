"""Breadth-first search of the states that a model can reach.

A model drives the same state machines as the processes and adds only their environment:
messages in transit, clocks and crashes. As the search is breadth first, no shorter trace
leads to a violation than the one returned.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

DEFAULT_STATE_LIMIT = 1_000_000

StateType = TypeVar("StateType")


class Model(Protocol[StateType]):
    """A model to search; states are never modified, and `steps` returns new ones."""

    def start(self) -> StateType:
        """Return the initial state."""

    def steps(self, state: StateType) -> Iterable[tuple[str, StateType]]:
        """Return the name of each possible step and the state after it."""

    def key(self, state: StateType) -> Hashable:
        """Return a key that is equal for states with the same further behaviour.

        It leaves out names, history and absolute times.
        """

    def violation(self, state: StateType) -> str:
        """Return the invariant that is violated in a state; empty where all hold."""


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The result of a search."""

    states: int
    """Distinct states visited."""
    depth: int
    """Every state reachable within this number of steps was visited."""
    complete: bool
    """Whether all reachable states, at any depth, were visited."""
    violation: str = ""
    """The invariant that was violated; empty where none was."""
    trace: tuple[str, ...] = ()
    """Names of the steps from the initial state to the violation."""


class _Origin(NamedTuple):
    """How a state was first reached; the trace is rebuilt by following predecessors."""

    predecessor: int
    """Number of the preceding state; -1 for the initial state."""
    step: str


class _Pending(NamedTuple, Generic[StateType]):
    """A state whose steps are still to be explored."""

    number: int
    depth: int
    state: StateType


def explore(
    model: Model[StateType], depth: int, max_states: int = DEFAULT_STATE_LIMIT
) -> SearchResult:
    """Visit the states within `depth` steps, until a violation or `max_states` states."""
    first = model.start()
    if violation := model.violation(first):
        return SearchResult(1, 0, False, violation)
    origins = [_Origin(-1, "")]
    seen = {model.key(first)}
    frontier = deque([_Pending(0, 0, first)])
    while frontier:
        current = frontier.popleft()
        if current.depth >= depth:
            return SearchResult(len(seen), depth, False)
        for step, after in model.steps(current.state):
            key = model.key(after)
            if key in seen:
                continue
            seen.add(key)
            number = len(origins)
            origins.append(_Origin(current.number, step))
            if violation := model.violation(after):
                trace = _trace(origins, number)
                return SearchResult(len(seen), current.depth, False, violation, trace)
            if len(seen) >= max_states:
                return SearchResult(len(seen), current.depth, False)
            frontier.append(_Pending(number, current.depth + 1, after))
    return SearchResult(len(seen), depth, True)


def _trace(origins: list[_Origin], number: int) -> tuple[str, ...]:
    steps: list[str] = []
    while number > 0:
        origin = origins[number]
        number = origin.predecessor
        steps.append(origin.step)
    return tuple(reversed(steps))
