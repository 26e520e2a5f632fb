"""Two regions that lose each other for an hour, on an injected clock: the cores of the
list service and of its members, without sockets, disk or real time. Calls take no time;
one that is lost is waited for as long as a forwarder waits. What is counted is counted
exactly; nothing here is a wall time.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from measure.scale import target
from measure.scale.results import Measurement, Progress, Series
from measure.scale.service_members import Figures
from measure.scale.target import Role
from rainfall.lease.holder import Holder
from rainfall.lease.table import Grant, Held, Table
from rainfall.lease.terms import Record, Refused, Terms
from rainfall.lease.token import NEVER, Token
from rainfall.member.roster import PREFIX, Roster
from rainfall.net.fleet_books import Books
from rainfall.registry.budgets import Budgets

SECOND_US = 1_000_000
TTL_US = 3 * SECOND_US
DRIFT = 0.02
DESTINATION = "0"
CALLS_A_MEMBER, RESERVE, NEED = 50, 1, 40
PLAN_US = 50_000
CHECK_US = SECOND_US
SETTLED_US = 20 * SECOND_US
"""Given to a fleet to come to rest, before the split and after it."""
LONG_US = round(target.SPLIT_S) * SECOND_US
SHORT_US = 30 * SECOND_US
PARTS = (0.5, 0.6)
"""Of the members that are cut off: as many as stay, and more, so that the guard against
mass loss stops divisions.
"""
LONG_MEMBERS, SHORT_MEMBERS = 54, target.FORWARDERS
SEEDS = (1, 2)


class ServiceCore:
    """Leases, members and budgets of the list service; each record counts as written at
    once.
    """

    def __init__(self, members: int) -> None:
        self.table = Table(Terms(DRIFT, most_ttl_us=TTL_US))
        self.roster = Roster(self.table, TTL_US)
        self.budgets = Budgets(TTL_US, DRIFT)
        self.commit(self.table.start(0, True), 0)
        self.roster.started(0)
        self.budgets.lifted(self.table.epoch)
        self.budgets.restored(0, True, None, [])
        raw = [
            {
                "destination": DESTINATION,
                "calls": CALLS_A_MEMBER * members,
                "span_ms": 1_000,
                "reserve": RESERVE,
                "members_max": 2 * members,
            }
        ]
        for row in self.budgets.configured(0, raw, "file"):
            self.budgets.commit(0, row)
        for row in self.budgets.forget(0, None):
            self.budgets.commit(0, row)

    def commit(self, record: Record, now_us: int) -> None:
        """Take a record, and tell the budgets what it means to them."""
        name = str(record.get("name", ""))
        before = self.table.read(name)
        self.roster.commit(record)
        after = self.table.read(name)
        if record["kind"] == "grant" and after is not None:
            self.budgets.joined(now_us, name.removeprefix(PREFIX), after.token, None)
        elif record["kind"] == "end" and before is not None:
            self.budgets.out(now_us, before.token)

    def call(self, now_us: int, member: MemberCore) -> Grant | Held:
        """A beat or a join. Raises Refused."""
        ask = member.ask
        if ask.token is None:
            made = self.roster.join(
                now_us,
                member.name,
                "zone-0",
                "h:1",
                member.name,
                member.shown,
                ask.seen,
            )
        else:
            made = self.roster.beat(now_us, member.name, ask.token, ask.seen)
        if made.record is not None:
            self.commit(made.record, now_us)
            if member.shown != NEVER and isinstance(made, Grant):
                keeps = member.books.keeps()
                self.budgets.said(now_us, member.name, made.token, member.shown, keeps)
        return made

    def plan(self, now_us: int) -> None:
        """Ends of leases, then the next change of shares."""
        for record in self.roster.tick(now_us):
            self.commit(record, now_us)
        frozen = self.roster.frozen_until(now_us) > now_us
        for row in self.budgets.plan(now_us, frozen, self.roster.in_force()):
            self.budgets.commit(now_us, row)


class MemberCore:
    """One member's lease and purses."""

    def __init__(self, name: str, chance: random.Random) -> None:
        self.name = name
        self.holder = Holder(TTL_US, DRIFT, chance.random)
        self.books = Books((), DRIFT, {}, 0)
        self.books.kept = True
        self.shown = NEVER
        self.cut_off = False

    def begin(self, now_us: int) -> None:
        self.ask = self.holder.asked(now_us)

    def limit(self, now_us: int) -> int:
        """Calls in a span that it may send now."""
        return sum(
            account.purse.limit(now_us) for account in self.books.accounts.values()
        )

    def answered(
        self, now_us: int, token: Token, shares: dict[int, dict[str, int]]
    ) -> bool:
        """Whether a share shrank, so that the next beat is due at once."""
        self.holder.answered(now_us, self.ask.sent, token, TTL_US)
        return self.books.told(token, shares, self.holder.valid_until_us, now_us)

    def lost(self, now_us: int, seen: Token) -> None:
        assert self.ask.token is not None
        self.shown = self.ask.token
        self.holder.refused(now_us, self.ask.sent, seen)
        self.books.fenced(now_us)


@dataclass(slots=True)
class Counts:
    """What is counted over a time."""

    joins: Counter[int] = field(default_factory=Counter)
    """By tenth of a second."""
    calls: int = 0
    unanswered: int = 0
    refused: int = 0
    most: float = 0.0
    """The greatest sum of all members' limits, as a part of the whole."""


class SplitFleet:
    """Members and service on one clock."""

    def __init__(self, members: int, seed: int) -> None:
        chance = random.Random(seed)
        self.now_us, self.whole = 0, CALLS_A_MEMBER * members
        self.service = ServiceCore(members)
        self.members = [
            MemberCore(f"member-{number}", chance) for number in range(members)
        ]
        self.counts = Counts()
        self.moved_us = 0
        self.limits: dict[str, int] = {}
        self.due = [(chance.randrange(SECOND_US), number) for number in range(members)]
        heapq.heapify(self.due)
        self.plan_us, self.check_us = PLAN_US, CHECK_US

    def run(self, for_us: int) -> None:
        """Play so long."""
        until_us = self.now_us + for_us
        while self.now_us < until_us:
            self.now_us = min(self.due[0][0], self.plan_us, self.check_us, until_us)
            if self.now_us == self.plan_us:
                self.service.plan(self.now_us)
                self.plan_us += PLAN_US
            if self.now_us == self.check_us:
                self.check()
                self.check_us += CHECK_US
            while self.due[0][0] <= self.now_us:
                _, number = heapq.heappop(self.due)
                again_us = self.beat(self.members[number])
                heapq.heappush(self.due, (max(again_us, self.now_us + 1), number))

    def check(self) -> None:
        """No span is given out twice."""
        total = sum(member.limit(self.now_us) for member in self.members)
        self.counts.most = max(self.counts.most, total / self.whole)

    def beat(self, member: MemberCore) -> int:
        """One call; when the next one is due."""
        self.counts.calls += 1
        member.begin(self.now_us)
        if member.cut_off:
            self.counts.unanswered += 1
            waited_us = self.now_us + max(SECOND_US // 5, TTL_US // 3)
            member.holder.failed(waited_us)
            return member.holder.next_renewal_us
        try:
            made = self.service.call(self.now_us, member)
        except Refused as error:
            self.counts.refused += 1
            member.lost(self.now_us, error.seen)
            return member.holder.next_renewal_us
        if isinstance(made, Held):
            member.holder.held(self.now_us, member.ask.sent, made.retry_us)
            return member.holder.next_renewal_us
        if member.ask.token is None:
            self.counts.joins[self.now_us // (SECOND_US // 10)] += 1
        shrank = member.answered(
            self.now_us, made.token, self.shares(member, made.token)
        )
        self.note(member)
        return (
            self.now_us + SECOND_US // 10 if shrank else member.holder.next_renewal_us
        )

    def shares(self, member: MemberCore, token: Token) -> dict[int, dict[str, int]]:
        said = {"needs": {DESTINATION: NEED}, "holds": member.books.holds(token)}
        heard = self.service.budgets.heard(
            self.now_us, self.now_us + TTL_US, member.name, token, said
        )
        return {
            int(destination): share
            for destination, share in heard.tell()["shares"].items()
        }

    def note(self, member: MemberCore) -> None:
        limit = member.limit(self.now_us)
        if self.limits.get(member.name) != limit:
            self.limits[member.name], self.moved_us = limit, self.now_us


def split(
    members: int, part: float, for_us: int, seed: int, figures: Figures, what: str
) -> None:
    """Come to rest, lose a part of the members for so long, and come to rest again."""
    fleet = SplitFleet(members, seed)
    fleet.run(SETTLED_US)
    cut = fleet.members[: round(members * part)]
    began_us, fleet.counts = fleet.now_us, Counts()
    for member in cut:
        member.cut_off = True
    fleet.run(for_us)
    there = [member for member in fleet.members if not member.cut_off]
    calls = sum(member.limit(fleet.now_us) for member in there)
    moved_s = (fleet.moved_us - began_us) / SECOND_US
    figures.add(f"{what}: seconds until the last share moved", members, moved_s)
    figures.add(
        f"{what}: part of the whole that the others have", members, calls / fleet.whole
    )
    unanswered = fleet.counts.unanswered * SECOND_US / for_us
    figures.add(f"{what}: calls a second that nobody answers", members, unanswered)
    healed_us = fleet.now_us
    for member in cut:
        member.cut_off = False
    fleet.run(SETTLED_US)
    joins = fleet.counts.joins
    joined_s = max(joins, default=0) / 10 - healed_us / SECOND_US
    figures.add(f"{what}: seconds from the heal to the last join", members, joined_s)
    figures.add(
        f"{what}: most joins in a tenth of a second",
        members,
        max(joins.values(), default=0),
    )
    moved_s = (fleet.moved_us - healed_us) / SECOND_US
    figures.add(f"{what}: seconds from the heal to the last share", members, moved_s)
    figures.add(
        f"{what}: most calls allowed, part of the whole", members, fleet.counts.most
    )


def unit_of(name: str) -> str:
    if ": seconds" in name:
        return "s"
    return (
        "call/s" if "a second that" in name else "join" if "joins" in name else "part"
    )


def measure_split(progress: Progress) -> Iterator[Series]:
    figures = Figures()
    for part in PARTS:
        for members, for_us in ((LONG_MEMBERS, LONG_US), (SHORT_MEMBERS, SHORT_US)):
            what = f"{part:.0%} of the members cut off for {for_us // SECOND_US} s"
            for seed in SEEDS if members == SHORT_MEMBERS else SEEDS[:1]:
                split(members, part, for_us, seed, figures, what)
            progress(f"{members} members, {what}")
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
