"""Migration policy: when, which sessions, to which forwarder, how many at once.

The policy only returns plans. Several rules keep sessions from moving back and forth:

- A session that arrived stays for `least_stay_ms`, and does not return to the site that
  it came from for `pause_ms`.
- A site that sent sessions because of its load receives none for that reason for
  `pair_ms`.
- Migration away from a loaded site begins at `over` and ends at `under`.
- A forwarder that is draining, or whose report is outdated, receives no sessions.

`MigrationPolicy.offer_rejection` applies the same rules at the target, so if two sites
choose each other at the same moment, both decline.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Literal

from rainfall.session.config import SessionConfig

Reason = Literal["drain", "out", "over", ""]
"""Why sessions migrate: the forwarder is draining (`drain`), its site has no serving
endpoints (`out`), or its load is over the limit (`over`); empty: none migrates.
"""
REPORT_VALID_US = 3_000_000
"""Age at which a peer's capacity report becomes outdated."""
US_PER_MS = 1_000
NO_DEADLINE_US = 1 << 60
"""`shortest_time_left_us` of a session without messages."""


@dataclass(frozen=True, slots=True)
class CandidatePeer:
    """Another forwarder, by the member list and its capacity report."""

    name: str
    site: str
    alive: bool
    draining: bool
    reported_at_us: int
    sessions: int
    """Sessions that it can still take."""
    bytes: int
    """Bytes that it can still take."""
    load: float
    """The used part of its budget."""
    endpoints: bool = True
    """Whether its site has serving endpoints."""


@dataclass(frozen=True, slots=True)
class SessionStatus:
    """A session of this forwarder."""

    key: str
    bytes: int
    messages: int
    arrived_at_us: int
    """When it arrived or began here."""
    arrived_from: str = ""
    """The site that it migrated from; empty where it did not migrate."""
    load: float = 0.0
    """The part of this forwarder's budget that it uses."""
    shortest_time_left_us: int = NO_DEADLINE_US
    """Time until the first of its messages expires."""


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """Site, load and state of this forwarder."""

    site: str
    draining: bool = False
    """Whether it is shutting down, or an operator drains it."""
    load: float = 0.0
    """The used part of its budget."""
    endpoints: bool = True
    """Whether its site has serving endpoints."""
    migrations_in_progress: int = 0
    """Outgoing migrations that have not finished."""


@dataclass(frozen=True, slots=True)
class MigrationPlan:
    """A session to offer, and the forwarder to offer it to."""

    key: str
    target: str
    site: str
    reason: Reason


@dataclass(slots=True)
class TargetCapacity:
    """Remaining capacity of a peer, less the sessions already planned for it."""

    sessions: int
    bytes: int
    load: float

    def fits(self, session: SessionStatus, load_limit: float) -> bool:
        """Whether a session fits, and leaves the load below its limit."""
        if self.sessions < 1 or self.bytes < session.bytes:
            return False
        return self.load + session.load < load_limit

    def reserve(self, session: SessionStatus) -> None:
        """Subtract the capacity that a session needs."""
        self.sessions -= 1
        self.bytes -= session.bytes
        self.load += session.load


@dataclass(slots=True)
class MigrationPolicy:
    """The rules, and their state from earlier migrations.

    All times are microseconds of one clock.
    """

    config: SessionConfig
    max_refusals: int = 10_000
    refused_until_us: dict[tuple[str, str], int] = field(default_factory=dict)
    """By session and forwarder: no offer before this time."""
    no_return_until_us: dict[str, int] = field(default_factory=dict)
    """By site that sent sessions because of its load: none migrates there for that reason
    before this time.
    """
    shedding: bool = False
    """Whether the load has reached `over` and has not fallen below `under` since."""

    def reason(self, here: LocalStatus) -> Reason:
        """Return the strongest reason to migrate sessions now, and update `shedding`."""
        begins = here.load >= self.config.over
        goes_on = self.shedding and here.load >= self.config.under
        self.shedding = begins or goes_on
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
        """Return the sessions to offer now, each with its target.

        Small sessions come first, as they are frozen for the shortest time. The target is
        the usable peer of the lowest cost, and among equals of the greatest capacity.
        """
        reason = self.reason(here)
        free = self.config.at_once - here.migrations_in_progress
        if not reason or free <= 0:
            return []
        capacities = {
            peer.name: TargetCapacity(peer.sessions, peer.bytes, peer.load)
            for peer in peers
        }
        load = here.load
        plans: list[MigrationPlan] = []
        for session in sorted(
            sessions, key=lambda session: (session.bytes, session.key)
        ):
            is_load_low = reason == "over" and load < self.config.under
            if len(plans) >= free or is_load_low:
                break
            if not self._may_migrate(session, reason, now_us):
                continue
            target = self._best_target(here, session, peers, capacities, reason, now_us)
            if target is None:
                continue
            capacities[target.name].reserve(session)
            load -= session.load
            plans.append(MigrationPlan(session.key, target.name, target.site, reason))
        return plans

    def _may_migrate(self, session: SessionStatus, reason: Reason, now_us: int) -> bool:
        limits = self.config.limits
        if session.shortest_time_left_us < limits.least_left_us:
            return False
        if session.bytes > limits.session_bytes:
            return False
        stay_us = now_us - session.arrived_at_us
        return reason == "drain" or stay_us >= self.config.least_stay_ms * US_PER_MS

    def _best_target(
        self,
        here: LocalStatus,
        session: SessionStatus,
        peers: Sequence[CandidatePeer],
        capacities: dict[str, TargetCapacity],
        reason: Reason,
        now_us: int,
    ) -> CandidatePeer | None:
        costs = self.config.sites.get(here.site, {})
        candidates = [
            peer
            for peer in peers
            if peer.site in costs
            and _is_usable(peer, now_us)
            and capacities[peer.name].fits(session, self.config.under)
            and self._may_go_to(peer, session, reason, now_us)
        ]
        return min(
            candidates,
            key=lambda peer: (
                costs[peer.site],
                -capacities[peer.name].sessions,
                peer.name,
            ),
            default=None,
        )

    def _may_go_to(
        self,
        peer: CandidatePeer,
        session: SessionStatus,
        reason: Reason,
        now_us: int,
    ) -> bool:
        if now_us < self.refused_until_us.get((session.key, peer.name), 0):
            return False
        stay_us = now_us - session.arrived_at_us
        is_return = peer.site == session.arrived_from
        if is_return and stay_us < self.config.pause_ms * US_PER_MS:
            return False
        return reason != "over" or now_us >= self.no_return_until_us.get(peer.site, 0)

    def offer_rejection(
        self, here: LocalStatus, site: str, reason: str, now_us: int
    ) -> str:
        """Return the reason to decline an offer of a site; empty where it is accepted.

        To be called before the offer is passed to the migration manager.
        """
        if here.draining:
            return "draining"
        if not here.endpoints:
            return "no endpoints"
        if here.load >= self.config.under or self.shedding:
            return "over"
        if reason == "over":
            self.no_return_until_us[site] = now_us + self.config.pair_ms * US_PER_MS
        return ""

    def record_result(self, plan: MigrationPlan, taken: bool, now_us: int) -> None:
        """Record a migration's result; after a failure no offer there for `pause_ms`."""
        if taken:
            return
        self.refused_until_us = {
            pair: until_us
            for pair, until_us in self.refused_until_us.items()
            if until_us > now_us
        }
        if len(self.refused_until_us) < self.max_refusals:
            until_us = now_us + self.config.pause_ms * US_PER_MS
            self.refused_until_us[plan.key, plan.target] = until_us


def _is_usable(peer: CandidatePeer, now_us: int) -> bool:
    if not peer.alive or peer.draining or not peer.endpoints:
        return False
    return now_us - peer.reported_at_us <= REPORT_VALID_US
