"""When a session is handed over, which, to whom, how many at once. Without I/O;
decides, and does nothing.

So that nothing swings: a session that came stays `least_stay_ms`; it does not go back
to the site that it came from for `pause_ms`; a site that gave us sessions because it
was over its budget gets none from us for that reason for `pair_ms`; and going away
begins at `over` and ends at `under`. A site that drains, or has told us nothing for a
while, gets nothing at all. `Chooser.welcome` is the same rule on the taker's side, so
that two sites that choose each other at the same moment both refuse.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Literal

from rainfall.session.table import Table

Why = Literal["drain", "out", "over", ""]
FRESH_US = 3_000_000
"""What a peer told of its room counts for so long."""


@dataclass(frozen=True, slots=True)
class Peer:
    """A forwarder of another site, as the members' list and its own word have it."""

    name: str
    site: str
    alive: bool
    draining: bool
    told_us: int
    sessions: int
    """More sessions that it has room for."""
    bytes: int
    load: float
    """Of its budget, the part in use."""
    endpoints: bool = True
    """Endpoints of its site serve."""


@dataclass(frozen=True, slots=True)
class Session:
    key: str
    bytes: int
    messages: int
    came_us: int
    """When it began here."""
    came_from: str = ""
    """The site that handed it to us; empty where it began here."""
    load: float = 0.0
    """Its part of our budget."""
    least_left_us: int = 1 << 60
    """The time left of the message that has least."""


@dataclass(frozen=True, slots=True)
class Here:
    site: str
    draining: bool = False
    """SIGTERM, or an operator's word."""
    load: float = 0.0
    endpoints: bool = True
    out: int = 0
    """Hand-overs under way from here."""


@dataclass(frozen=True, slots=True)
class Plan:
    key: str
    taker: str
    site: str
    why: Why


@dataclass(slots=True)
class Chooser:
    table: Table
    most: int = 10_000
    refused: dict[tuple[str, str], int] = field(default_factory=dict)
    """Session and forwarder: not offered there before then."""
    given: dict[str, int] = field(default_factory=dict)
    """Sites that gave us sessions as they were over: nothing goes back for that reason
    before then.
    """
    going: bool = False
    """Between `over` and `under` on the way down."""

    def why(self, here: Here) -> Why:
        """The strongest reason to hand sessions over now."""
        self.going = here.load >= self.table.over or (
            self.going and here.load >= self.table.under
        )
        if here.draining:
            return "drain"
        if not here.endpoints:
            return "out"
        return "over" if self.going else ""

    def choose(
        self,
        here: Here,
        sessions: Iterable[Session],
        peers: Sequence[Peer],
        now_us: int,
    ) -> list[Plan]:
        """What to offer now: smallest sessions first (they pause for the shortest
        time), to the neighbour that costs least and has most room. `now_us` is one
        clock, like all times here.
        """
        why = self.why(here)
        left = self.table.at_once - here.out
        if not why or left <= 0:
            return []
        room = {p.name: [p.sessions, p.bytes, p.load] for p in peers}
        load = here.load
        plans: list[Plan] = []
        for one in sorted(sessions, key=lambda x: (x.bytes, x.key)):
            if len(plans) >= left or (why == "over" and load < self.table.under):
                break
            if not self._may_go(one, why, now_us):
                continue
            to = self._to(here, one, peers, room, why, now_us)
            if to is not None:
                told = room[to.name]
                told[0], told[1], told[2] = (
                    told[0] - 1,
                    told[1] - one.bytes,
                    told[2] + one.load,
                )
                load -= one.load
                plans.append(Plan(one.key, to.name, to.site, why))
        return plans

    def _may_go(self, one: Session, why: Why, now_us: int) -> bool:
        if (
            one.least_left_us < self.table.limits.least_left_us
            or one.bytes > self.table.limits.session_bytes
        ):
            return False
        return why == "drain" or now_us - one.came_us >= self.table.least_stay_ms * 1000

    def _to(
        self,
        here: Here,
        one: Session,
        peers: Sequence[Peer],
        room: dict[str, list[float]],
        why: Why,
        now_us: int,
    ) -> Peer | None:
        costs = self.table.sites.get(here.site, {})
        able = [
            p
            for p in peers
            if p.site in costs and self._fits(p, one, room[p.name], why, now_us)
        ]
        return min(
            able, key=lambda p: (costs[p.site], -room[p.name][0], p.name), default=None
        )

    def _fits(
        self, p: Peer, one: Session, room: list[float], why: Why, now_us: int
    ) -> bool:
        if (
            not p.alive
            or p.draining
            or not p.endpoints
            or now_us - p.told_us > FRESH_US
        ):
            return False
        if room[0] < 1 or room[1] < one.bytes or room[2] + one.load >= self.table.under:
            return False
        if now_us < self.refused.get((one.key, p.name), 0):
            return False
        if (
            p.site == one.came_from
            and now_us - one.came_us < self.table.pause_ms * 1000
        ):
            return False
        return why != "over" or now_us >= self.given.get(p.site, 0)

    def welcome(self, here: Here, site: str, why: str, now_us: int) -> str:
        """Why an offer of that site is not taken; empty where it is. To be asked before
        the desk is.
        """
        if here.draining:
            return "draining"
        if not here.endpoints:
            return "no endpoints"
        if here.load >= self.table.under or self.going:
            return "over"
        if why == "over":
            self.given[site] = now_us + self.table.pair_ms * 1000
        return ""

    def ended(self, plan: Plan, taken: bool, now_us: int) -> None:
        """A hand-over is over. One that was given up is not tried again there for a
        while.
        """
        if not taken:
            self.refused = {k: at for k, at in self.refused.items() if at > now_us}
            if len(self.refused) < self.most:
                self.refused[plan.key, plan.taker] = now_us + self.table.pause_ms * 1000
