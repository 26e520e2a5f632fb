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

S = TypeVar("S")


class Model(Protocol[S]):
    """What is searched. States are never changed once given: `steps` works on
    copies.
    """

    def start(self) -> S:
        """The one state that everything begins in."""

    def steps(self, state: S) -> Iterable[tuple[str, S]]:
        """Each thing that can happen next: its name, and the state after it."""

    def key(self, state: S) -> Hashable:
        """Equal for states that behave alike from here on (leave out names, history,
        absolute times).
        """

    def broken(self, state: S) -> str:
        """Which invariant does not hold here; empty where all do."""


@dataclass(frozen=True, slots=True)
class Found:
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
    why: str = ""
    """The invariant that was broken; empty where none was."""
    trace: tuple[str, ...] = ()
    """The steps from the start to the breach."""


def explore(model: Model[S], depth: int, most_states: int = 1_000_000) -> Found:
    """Visit all states within `depth` steps, or up to `most_states` of them, and stop
    at the first breach.
    """
    first = model.start()
    if why := model.broken(first):
        return Found(1, 0, False, why)
    # A state's way back is kept as (number of the state before, step): traces cost one
    # entry a state.
    ways: list[tuple[int, str]] = [(-1, "")]
    seen = {model.key(first)}
    edge: deque[tuple[int, int, S]] = deque([(0, 0, first)])
    while edge:
        number, at, state = edge.popleft()
        if at >= depth:
            return Found(len(seen), depth, False)
        for name, after in model.steps(state):
            key = model.key(after)
            if key in seen:
                continue
            seen.add(key)
            ways.append((number, name))
            if why := model.broken(after):
                return Found(len(seen), at, False, why, _trace(ways, len(ways) - 1))
            if len(seen) >= most_states:
                return Found(len(seen), at, False)
            edge.append((len(ways) - 1, at + 1, after))
    return Found(len(seen), depth, True)


def _trace(ways: list[tuple[int, str]], number: int) -> tuple[str, ...]:
    steps: list[str] = []
    while number > 0:
        number, step = ways[number]
        steps.append(step)
    return tuple(reversed(steps))
