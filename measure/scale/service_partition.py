"""Simulates two regions that lose each other for an hour, on an injected clock.

The logic of the list service and of its members runs without sockets, disk or real
time. Calls take no time; after a lost call a member waits as long as a forwarder waits.
Counts are exact; no result is a wall time.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from measure.scale import target
from measure.scale.results import Measurement, Progress, Series
from measure.scale.service_members import SeriesBuilder
from measure.scale.target import Role
from rainfall.forwarder.fleet.quotas import FleetQuotas
from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.holder import LeaseHolder
from rainfall.lease.table import LeaseGrant, LeaseTable, LeaseUnavailable
from rainfall.lease.types import LeaseRejectedError, LeaseSettings, Record
from rainfall.member.roster import MEMBER_LEASE_PREFIX, Roster
from rainfall.registry.budget_extension import BudgetExtension

SECOND_US = 1_000_000
TTL_US = 3 * SECOND_US
DRIFT = 0.02
DESTINATION = "0"
CALLS_PER_MEMBER, RESERVE, NEED = 50, 1, 40
PLAN_US = 50_000
CHECK_US = SECOND_US
SETTLED_US = 20 * SECOND_US
"""Time in which a fleet settles, before the split and after it."""
LONG_US = round(target.SPLIT_S) * SECOND_US
SHORT_US = 30 * SECOND_US
PARTS = (0.5, 0.6)
"""Parts of the members that are cut off.

Half leaves as many as it cuts off; with more, the guard against mass loss stops
divisions.
"""
LONG_MEMBERS, SHORT_MEMBERS = 54, target.FORWARDERS
SEEDS = (1, 2)


class ServiceCore:
    """Leases, members and budgets of the list service.

    Each record is treated as written at once.
    """

    def __init__(self, members: int) -> None:
        self.table = LeaseTable(LeaseSettings(DRIFT, max_ttl_us=TTL_US))
        self.roster = Roster(self.table, TTL_US)
        self.budgets = BudgetExtension(TTL_US, DRIFT)
        self.commit(self.table.start(0, True), 0)
        self.roster.on_started(0)
        self.budgets.epoch_raised(self.table.epoch)
        self.budgets.restore(0, True, None, [])
        budget_documents = [
            {
                "destination": DESTINATION,
                "calls": CALLS_PER_MEMBER * members,
                "span_ms": 1_000,
                "reserve": RESERVE,
                "members_max": 2 * members,
            }
        ]
        for row in self.budgets.config_rows(0, budget_documents, "file"):
            self.budgets.commit(0, row)
        for row in self.budgets.confirm_processes(0, None):
            self.budgets.commit(0, row)

    def commit(self, record: Record, now_us: int) -> None:
        """Apply a record and pass its effects on to the budgets."""
        name = str(record.get("name", ""))
        before = self.table.read(name)
        self.roster.commit(record)
        after = self.table.read(name)
        if record["kind"] == "grant" and after is not None:
            self.budgets.member_joined(
                now_us, name.removeprefix(MEMBER_LEASE_PREFIX), after.token, None
            )
        elif record["kind"] == "end" and before is not None:
            self.budgets.lease_expired(now_us, before.token)

    def handle_request(
        self, now_us: int, member: MemberCore
    ) -> LeaseGrant | LeaseUnavailable:
        """Handle a heartbeat or a join. Raises LeaseRejectedError."""
        request = member.request
        if request.token is None:
            outcome = self.roster.join(
                now_us,
                member.name,
                "zone-0",
                "h:1",
                member.name,
                member.resume_token,
                request.highest_seen,
            )
        else:
            outcome = self.roster.heartbeat(
                now_us, member.name, request.token, request.highest_seen
            )
        if outcome.record is not None:
            self.commit(outcome.record, now_us)
            if member.resume_token != ZERO_TOKEN and isinstance(outcome, LeaseGrant):
                reserves = member.quotas.known_reserves()
                self.budgets.member_resumed(
                    now_us, member.name, outcome.token, member.resume_token, reserves
                )
        return outcome

    def plan(self, now_us: int) -> None:
        """End expired leases, then commit the next change of shares."""
        for record in self.roster.tick(now_us):
            self.commit(record, now_us)
        frozen = self.roster.frozen_until_us(now_us) > now_us
        for row in self.budgets.plan(now_us, frozen, self.roster.active_members()):
            self.budgets.commit(now_us, row)


class MemberCore:
    """One member's lease and quotas."""

    def __init__(self, name: str, generator: random.Random) -> None:
        self.name = name
        self.holder = LeaseHolder(TTL_US, DRIFT, generator.random)
        self.quotas = FleetQuotas((), DRIFT, {}, 0)
        self.quotas.persisted = True
        self.resume_token = ZERO_TOKEN
        self.cut_off = False

    def begin_request(self, now_us: int) -> None:
        """Start a heartbeat or a join."""
        self.request = self.holder.start_request(now_us)

    def limit(self, now_us: int) -> int:
        """Return how many calls in a span the member may send now."""
        return sum(
            account.quota.limit(now_us) for account in self.quotas.accounts.values()
        )

    def on_answer(
        self, now_us: int, token: Token, shares: dict[int, dict[str, int]]
    ) -> bool:
        """Apply a granted lease and its shares.

        Returns whether a share shrank, so that the next heartbeat is due at
        once.
        """
        self.holder.on_granted(now_us, self.request.number, token, TTL_US)
        return self.quotas.apply_shares(
            token, shares, self.holder.valid_until_us, now_us
        )

    def lease_lost(self, now_us: int, seen: Token) -> None:
        """Drop the rejected lease and its shares.

        The next join presents the old token to resume.
        """
        assert self.request.token is not None
        self.resume_token = self.request.token
        self.holder.on_rejected(now_us, self.request.number, seen)
        self.quotas.on_lease_lost(now_us)


@dataclass(slots=True)
class Counts:
    """Counts over a stretch of time."""

    joins: Counter[int] = field(default_factory=Counter)
    """Number of joins in each tenth of a second."""
    calls: int = 0
    unanswered: int = 0
    rejected: int = 0
    highest_limit_share: float = 0.0
    """The highest sum of all members' limits, as a part of the budget's total."""


class PartitionedFleet:
    """Members and service on one clock."""

    def __init__(self, members: int, seed: int) -> None:
        generator = random.Random(seed)
        self.now_us, self.whole = 0, CALLS_PER_MEMBER * members
        self.service = ServiceCore(members)
        self.members = [
            MemberCore(f"member-{number}", generator) for number in range(members)
        ]
        self.counts = Counts()
        self.last_share_change_us = 0
        self.limits: dict[str, int] = {}
        self.schedule = [
            (generator.randrange(SECOND_US), number) for number in range(members)
        ]
        heapq.heapify(self.schedule)
        self.plan_us, self.check_us = PLAN_US, CHECK_US

    def run(self, for_us: int) -> None:
        """Advance the clock by `for_us`."""
        until_us = self.now_us + for_us
        while self.now_us < until_us:
            self.now_us = min(
                self.schedule[0][0], self.plan_us, self.check_us, until_us
            )
            if self.now_us == self.plan_us:
                self.service.plan(self.now_us)
                self.plan_us += PLAN_US
            if self.now_us == self.check_us:
                self.check()
                self.check_us += CHECK_US
            while self.schedule[0][0] <= self.now_us:
                _, number = heapq.heappop(self.schedule)
                next_us = self.send_heartbeat(self.members[number])
                heapq.heappush(self.schedule, (max(next_us, self.now_us + 1), number))

    def check(self) -> None:
        """Record the highest sum of limits; above 1 a span is granted twice."""
        total = sum(member.limit(self.now_us) for member in self.members)
        self.counts.highest_limit_share = max(
            self.counts.highest_limit_share, total / self.whole
        )

    def send_heartbeat(self, member: MemberCore) -> int:
        """Send one heartbeat or join; return when the next one is due (us)."""
        self.counts.calls += 1
        member.begin_request(self.now_us)
        if member.cut_off:
            self.counts.unanswered += 1
            waited_us = self.now_us + max(SECOND_US // 5, TTL_US // 3)
            member.holder.on_no_answer(waited_us)
            return member.holder.next_renewal_us
        try:
            outcome = self.service.handle_request(self.now_us, member)
        except LeaseRejectedError as error:
            self.counts.rejected += 1
            member.lease_lost(self.now_us, error.conflicting_token)
            return member.holder.next_renewal_us
        if isinstance(outcome, LeaseUnavailable):
            member.holder.on_unavailable(
                self.now_us, member.request.number, outcome.retry_after_us
            )
            return member.holder.next_renewal_us
        if member.request.token is None:
            self.counts.joins[self.now_us // (SECOND_US // 10)] += 1
        shrank = member.on_answer(
            self.now_us, outcome.token, self.shares(member, outcome.token)
        )
        self.note_limit(member)
        return (
            self.now_us + SECOND_US // 10 if shrank else member.holder.next_renewal_us
        )

    def shares(self, member: MemberCore, token: Token) -> dict[int, dict[str, int]]:
        """Pass a heartbeat's fields to the budgets; return the shares of the answer."""
        fields = {
            "needs": {DESTINATION: NEED},
            "holds": member.quotas.held_shares(token),
        }
        response = self.service.budgets.handle_heartbeat(
            self.now_us, self.now_us + TTL_US, member.name, token, fields
        )
        return {
            int(destination): share
            for destination, share in response.answer_fields()["shares"].items()
        }

    def note_limit(self, member: MemberCore) -> None:
        """Record the time if a member's limit has changed."""
        limit = member.limit(self.now_us)
        if self.limits.get(member.name) != limit:
            self.limits[member.name], self.last_share_change_us = limit, self.now_us


def measure_partition(
    members: int,
    part: float,
    for_us: int,
    seed: int,
    figures: SeriesBuilder,
    label: str,
) -> None:
    """Cut off a part of the members for `for_us`, then reconnect them.

    The fleet settles before the cut and after it.
    """
    fleet = PartitionedFleet(members, seed)
    fleet.run(SETTLED_US)
    cut_members = fleet.members[: round(members * part)]
    began_us, fleet.counts = fleet.now_us, Counts()
    for member in cut_members:
        member.cut_off = True
    fleet.run(for_us)
    connected = [member for member in fleet.members if not member.cut_off]
    calls = sum(member.limit(fleet.now_us) for member in connected)
    moved_s = (fleet.last_share_change_us - began_us) / SECOND_US
    figures.add(f"{label}: seconds until the last share moved", members, moved_s)
    figures.add(
        f"{label}: part of the whole that the others have", members, calls / fleet.whole
    )
    unanswered = fleet.counts.unanswered * SECOND_US / for_us
    figures.add(f"{label}: calls a second that nobody answers", members, unanswered)
    healed_us = fleet.now_us
    for member in cut_members:
        member.cut_off = False
    fleet.run(SETTLED_US)
    joins = fleet.counts.joins
    joined_s = max(joins, default=0) / 10 - healed_us / SECOND_US
    figures.add(f"{label}: seconds from the heal to the last join", members, joined_s)
    figures.add(
        f"{label}: most joins in a tenth of a second",
        members,
        max(joins.values(), default=0),
    )
    moved_s = (fleet.last_share_change_us - healed_us) / SECOND_US
    figures.add(f"{label}: seconds from the heal to the last share", members, moved_s)
    figures.add(
        f"{label}: most calls allowed, part of the whole",
        members,
        fleet.counts.highest_limit_share,
    )


def unit_of(name: str) -> str:
    """Return the unit, from the figure's name."""
    if ": seconds" in name:
        return "s"
    return (
        "call/s" if "a second that" in name else "join" if "joins" in name else "part"
    )


def measure_split(progress: Progress) -> Iterator[Series]:
    """Measure splits of each part, long ones and short ones."""
    figures = SeriesBuilder()
    for part in PARTS:
        for members, for_us in ((LONG_MEMBERS, LONG_US), (SHORT_MEMBERS, SHORT_US)):
            label = f"{part:.0%} of the members cut off for {for_us // SECOND_US} s"
            for seed in SEEDS if members == SHORT_MEMBERS else SEEDS[:1]:
                measure_partition(members, part, for_us, seed, figures, label)
            progress(f"{members} members, {label}")
    for name in figures.values:
        yield Series(
            f"split: {name}",
            Role.MEMBERS,
            "member",
            unit_of(name),
            figures.points(name),
        )


MEASUREMENTS = (
    Measurement(
        "fleet-split",
        "regions that lose each other, by an injected clock",
        measure_split,
    ),
)
