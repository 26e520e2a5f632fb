"""When a session is handed over, which, to whom, how many at once.

Without I/O; decides, and does nothing.

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

from rainfall.session.config import SessionConfig

Reason = Literal["drain", "out", "over", ""]
REPORT_VALID_US = 3_000_000
"""What a peer told of its room counts for so long."""


@dataclass(frozen=True, slots=True)
class CandidatePeer:
    """A forwarder of another site, as the members' list and its own word have it."""

    name: str
    site: str
    alive: bool
    draining: bool
    reported_at_us: int
    sessions: int
    """More sessions that it has room for."""
    bytes: int
    load: float
    """Of its budget, the part in use."""
    endpoints: bool = True
    """Endpoints of its site serve."""


@dataclass(frozen=True, slots=True)
class SessionStatus:
    key: str
    bytes: int
    messages: int
    arrived_at_us: int
    """When it began here."""
    arrived_from: str = ""
    """The site that handed it to us; empty where it began here."""
    load: float = 0.0
    """Its part of our budget."""
    shortest_time_left_us: int = 1 << 60
    """The time left of the message that has least."""


@dataclass(frozen=True, slots=True)
class LocalStatus:
    site: str
    draining: bool = False
    """SIGTERM, or an operator's word."""
    load: float = 0.0
    endpoints: bool = True
    migrations_in_progress: int = 0
    """Hand-overs under way from here."""


@dataclass(frozen=True, slots=True)
class MigrationPlan:
    key: str
    target: str
    site: str
    reason: Reason


@dataclass(slots=True)
class MigrationPolicy:
    config: SessionConfig
    max_refusals: int = 10_000
    refused_until_us: dict[tuple[str, str], int] = field(default_factory=dict)
    """Session and forwarder: not offered there before then."""
    no_return_until_us: dict[str, int] = field(default_factory=dict)
    """Sites that gave us sessions as they were over: nothing goes back for that reason
    before then.
    """
    shedding: bool = False
    """Between `over` and `under` on the way down."""

    def reason(self, here: LocalStatus) -> Reason:
        """The strongest reason to hand sessions over now."""
        self.shedding = here.load >= self.config.over or (
            self.shedding and here.load >= self.config.under
        )
        if here.draining:
            return "drain"
        if not here.endpoints:
            return "out"
        return "over" if self.shedding else ""

    def plan_migrations(
        self,
        here: LocalStatus,
        sessions: Iterable[SessionStatus],
        peers: Sequence[CandidatePeer],
        now_us: int,
    ) -> list[MigrationPlan]:
        """What to offer now: smallest sessions first (they pause for the shortest
        time), to the neighbour that costs least and has most room. `now_us` is one
        clock, like all times here.
        """
        why = self.reason(here)
        left = self.config.at_once - here.migrations_in_progress
        if not why or left <= 0:
            return []
        room = {p.name: [p.sessions, p.bytes, p.load] for p in peers}
        load = here.load
        plans: list[MigrationPlan] = []
        for session in sorted(sessions, key=lambda x: (x.bytes, x.key)):
            if len(plans) >= left or (why == "over" and load < self.config.under):
                break
            if not self._may_migrate(session, why, now_us):
                continue
            target = self._best_target(here, session, peers, room, why, now_us)
            if target is not None:
                target_room = room[target.name]
                target_room[0], target_room[1], target_room[2] = (
                    target_room[0] - 1,
                    target_room[1] - session.bytes,
                    target_room[2] + session.load,
                )
                load -= session.load
                plans.append(MigrationPlan(session.key, target.name, target.site, why))
        return plans

    def _may_migrate(self, session: SessionStatus, why: Reason, now_us: int) -> bool:
        if (
            session.shortest_time_left_us < self.config.limits.least_left_us
            or session.bytes > self.config.limits.session_bytes
        ):
            return False
        return (
            why == "drain"
            or now_us - session.arrived_at_us >= self.config.least_stay_ms * 1000
        )

    def _best_target(
        self,
        here: LocalStatus,
        session: SessionStatus,
        peers: Sequence[CandidatePeer],
        room: dict[str, list[float]],
        why: Reason,
        now_us: int,
    ) -> CandidatePeer | None:
        costs = self.config.sites.get(here.site, {})
        candidates = [
            p
            for p in peers
            if p.site in costs and self._can_take(p, session, room[p.name], why, now_us)
        ]
        return min(
            candidates,
            key=lambda p: (costs[p.site], -room[p.name][0], p.name),
            default=None,
        )

    def _can_take(
        self,
        peer: CandidatePeer,
        session: SessionStatus,
        room: list[float],
        why: Reason,
        now_us: int,
    ) -> bool:
        if (
            not peer.alive
            or peer.draining
            or not peer.endpoints
            or now_us - peer.reported_at_us > REPORT_VALID_US
        ):
            return False
        if (
            room[0] < 1
            or room[1] < session.bytes
            or room[2] + session.load >= self.config.under
        ):
            return False
        if now_us < self.refused_until_us.get((session.key, peer.name), 0):
            return False
        if (
            peer.site == session.arrived_from
            and now_us - session.arrived_at_us < self.config.pause_ms * 1000
        ):
            return False
        return why != "over" or now_us >= self.no_return_until_us.get(peer.site, 0)

    def offer_rejection(
        self, here: LocalStatus, site: str, why: str, now_us: int
    ) -> str:
        """Why an offer of that site is not taken; empty where it is.

        To be asked before the desk is.
        """
        if here.draining:
            return "draining"
        if not here.endpoints:
            return "no endpoints"
        if here.load >= self.config.under or self.shedding:
            return "over"
        if why == "over":
            self.no_return_until_us[site] = now_us + self.config.pair_ms * 1000
        return ""

    def record_result(self, plan: MigrationPlan, taken: bool, now_us: int) -> None:
        """A hand-over is over.

        One that was given up is not tried again there for a while.
        """
        if not taken:
            self.refused_until_us = {
                k: at for k, at in self.refused_until_us.items() if at > now_us
            }
            if len(self.refused_until_us) < self.max_refusals:
                self.refused_until_us[plan.key, plan.target] = (
                    now_us + self.config.pause_ms * 1000
                )
