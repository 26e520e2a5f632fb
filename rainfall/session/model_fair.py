"""What must hold in the model of a hand-over, and that it ends well from each state
reached.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import replace

from rainfall.session import states as s
from rainfall.session.model_world import World, not_whole, unsafe

Step = tuple[str, str, World]
"""Its kind: `fair` (comes of itself in the end), `retry`, `late` (when nothing else
does), `foul` (may happen); its name; the state after.
"""


class Fair:
    def __init__(self) -> None:
        self.good: set[Hashable] = set()
        """States known to end well."""

    def _all(self, state: World) -> Iterator[Step]:
        raise NotImplementedError

    def _do(self, state: World, n: str, done: list[tuple[str, s.Action]]) -> None:
        raise NotImplementedError

    def key(self, state: World) -> Hashable:
        return (
            self._core(state),
            state.net.losses,
            state.net.copies,
            tuple(state.left.values()),
        )

    def _core(self, state: World) -> Hashable:
        return (
            state.net.bag,
            state.decided,
            state.sites["g"].key(),
            state.sites["t"].key(),
            tuple(state.lease.values()),
            state.sent,
            tuple(sorted(state.ends.items())),
            state.promised,
            state.client,
            state.clock,
            state.why,
            state.epoch,
            state.left["gone"],
        )

    def broken(self, state: World) -> str:
        return unsafe(state) or self._unsettled(state)

    def _unsettled(self, state: World) -> str:
        """Play on with nothing more going wrong, to the end or to a state known to end
        well.
        """
        state = replace(state, net=replace(state.net, most=20))
        passed: set[Hashable] = set()
        steps = 0
        while (key := self._core(state)) not in self.good:
            after = self._late(state) if key in passed else self._next(state)
            passed.add(key)
            if (
                after is None or len(passed) < steps - 50
            ):  # the end, or it goes round and round
                if why := not_whole(state):
                    return why
                break
            steps, state = steps + 1, after
            if why := unsafe(state):
                return why
        self.good |= passed
        return ""

    def _next(self, state: World) -> World | None:
        """The first thing that comes of itself and changes something; where none does,
        all say again what was not answered.
        """
        core = self._core(state)
        for kind, _, after in self._all(state):
            if kind == "fair" and self._core(after) != core:
                return after
        after = state.fork("gt")
        for n, at in after.sites.items():
            if at.alive:
                self._do(after, n, at.tell(s.Retry()))
        return after if self._core(after) != core else self._late(state)

    def _late(self, state: World) -> World | None:
        """Said again and again with no answer: a limit is over."""
        for n, at in state.sites.items():
            for kind, event in at.events() if at.alive else ():
                if kind == "late":
                    after = state.fork(n)
                    self._do(after, n, after.sites[n].tell(event))
                    return after
        return None
