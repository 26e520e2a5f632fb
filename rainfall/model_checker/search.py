"""Breadth-first search of the states that a model can reach.

A model drives the same state machines as the processes; it adds only what surrounds
them: messages in transit, clocks, crashes. As the search is breadth first, the trace to
a violation is the shortest there is.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

DEFAULT_STATE_LIMIT = 1_000_000

StateType = TypeVar("StateType")


class Model(Protocol[StateType]):
    """What is searched; states are never changed, and `steps` works on copies."""

    def start(self) -> StateType:
        """Return the initial state."""

    def steps(self, state: StateType) -> Iterable[tuple[str, StateType]]:
        """Return what can happen next: the name of each step, and the state after it."""

    def key(self, state: StateType) -> Hashable:
        """Return a key that is equal for states that behave alike from here on.

        It leaves out names, history and absolute times.
        """

    def broken(self, state: StateType) -> str:
        """Return the invariant that is violated here; empty where all hold."""


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What a search found."""

    states: int
    """Distinct states visited."""
    depth: int
    """Every state that can be reached in so many steps was visited."""
    complete: bool
    """No state beyond those visited can be reached at any depth."""
    violation: str = ""
    """The invariant that was violated; empty where none was."""
    trace: tuple[str, ...] = ()
    """The steps from the start to the violation."""


class _Origin(NamedTuple):
    """How a state was reached first: traces cost one entry a state."""

    predecessor: int
    """Number of the state before; -1 at the start."""
    step: str


class _Pending(NamedTuple, Generic[StateType]):
    """A state whose steps are still to be followed."""

    number: int
    depth: int
    state: StateType


def explore(
    model: Model[StateType], depth: int, max_states: int = DEFAULT_STATE_LIMIT
) -> SearchResult:
    """Visit the states within `depth` steps, until a violation or `max_states`."""
    first = model.start()
    if violation := model.broken(first):
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
            if violation := model.broken(after):
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
