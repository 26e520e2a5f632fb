"""Budgets on injected clocks, at 10, 200 and 1,000 members: what a division costs, what
goes to disk and over the wire, how much of the whole is used, and how long a share
takes to arrive or to come free after a death.

    python measure/budget_division.py [REPEATS]
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import sys
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from measure.figures import row  # noqa: E402
from rainfall.budget.divide import divide  # noqa: E402
from rainfall.budget.ledger import Ledger  # noqa: E402
from rainfall.budget.purse import Purse  # noqa: E402
from rainfall.budget.terms import Budget, Share  # noqa: E402
from rainfall.budget.wants import Wants  # noqa: E402
from rainfall.lease.token import Token  # noqa: E402

SECOND = 1_000_000
DRIFT = 0.02
LEASE = 3 * SECOND
LINK = 2_000  # one way
SOON = 250_000  # beats beside the regular ones, so far apart at least
PLAN = 50_000  # beats are planned for together, so far apart at least


class Member:
    def __init__(self, fleet: Fleet, n: int, rate: float) -> None:
        self.fleet, self.token, self.rate = fleet, Token(1, n + 1), rate
        self.purse, self.wants = Purse(0, DRIFT), Wants(fleet.budget.span_us)
        self.waiting: deque[int] = deque()
        self.per_s = 0.0
        self.dead = False
        self.beats = 0
        self.said_us = self.said = 0  # the last beat, and what it said was needed
        self.due = (
            0  # which planned beat and which planned look at the queue are the newest
        )
        self.look = 0

    def now(self) -> int:
        return int(self.fleet.now * self.rate)

    def after(self, own_us: int, what: Callable[[], None]) -> None:
        self.fleet.at(
            self.fleet.now + int(own_us / self.rate) + 1,
            lambda: None if self.dead else what(),
        )

    def beat(self) -> None:
        self.due += 1
        due, asked = self.due, self.now()
        while self.waiting and self.waiting[0] < asked - 2 * SECOND:
            self.waiting.popleft()  # its deadline is over
        needs = self.wants.needs(asked, {"": len(self.waiting)})
        holds = self.purse.holds(self.token)
        self.beats += 1
        self.said_us, self.said = asked, sum(needs.values())
        self.fleet.wire += len(
            json.dumps({"needs": {"7": needs.get("", 0)}, "holds": {"7": holds}})
        )
        self.fleet.at(
            self.fleet.now + LINK, lambda: self.fleet.served(self, asked, needs, holds)
        )
        wait = int(LEASE / 3 * self.fleet.rng.uniform(0.9, 1.0))
        self.after(wait, lambda: self.beat() if due == self.due else None)

    def answered(self, asked: int, shares: dict[str, Share]) -> None:
        if self.dead:
            return
        held = self.purse.holds(self.token)
        for share in shares.values():
            self.purse.told(share, asked + int(LEASE * (1 - DRIFT)), self.now())
        if self.purse.holds(self.token) != held:
            self.beat()  # acknowledged at once
            self.send()

    def arrive(self) -> None:
        if self.per_s:
            self.waiting.append(self.now())
            self.wants.arrived(self.now())
            self.send()
            if self.waiting and self.now() - self.said_us >= SOON:
                needs = sum(
                    self.wants.needs(self.now(), {"": len(self.waiting)}).values()
                )
                if needs > 1.2 * self.said:
                    # its share does not do and more is needed than was said: say so at
                    # once
                    self.beat()
            self.after(
                int(SECOND / self.per_s * self.fleet.rng.uniform(0.5, 1.5)), self.arrive
            )

    def send(self) -> None:
        now = self.now()
        while self.waiting and self.purse.spend(now):
            self.waiting.popleft()
            self.fleet.sent.append((self.fleet.now, self.token.number - 1))
        at = self.purse.room_at(now) if self.waiting else None
        if at is not None:
            self.look += 1
            look = self.look
            self.after(
                max(1, at - now), lambda: self.send() if look == self.look else None
            )

    def wants_per_s(self, calls: float) -> None:
        before, self.per_s = self.per_s, calls
        if calls and not before:
            self.arrive()


class Fleet:
    """A service and members on clocks of their own, in simulated time; links lose
    nothing.
    """

    def __init__(self, members: int, budget: Budget, seed: int = 0) -> None:
        self.rng, self.now, self.budget = random.Random(seed), 0, budget
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.ledger = Ledger([budget], int(LEASE * (1 + DRIFT)), DRIFT, 0, sure=True)
        self.leases: dict[Token, int] = {}
        self.sent: list[tuple[int, int]] = []
        self.wire = self.records = self.disk = self.plans = 0
        self.planned, self.spent = False, 0.0
        self.members = [
            Member(self, n, 1 + DRIFT * self.rng.uniform(-0.5, 0.5))
            for n in range(members)
        ]
        for member in self.members:
            self.ledger.joined(member.token, f"f{member.token.number}", None, 0)
            self.at(self.rng.randrange(LEASE // 3), member.beat)
        self.at(PLAN, self.tick)

    def at(self, when: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (when, next(self.order), what))

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        self.now = until

    def tick(self) -> None:
        for token in [t for t, until in self.leases.items() if until <= self.now]:
            del self.leases[token]
            self.ledger.out(token, self.now)
        began = time.perf_counter()
        change = self.ledger.plan(self.now)
        self.spent += time.perf_counter() - began
        self.plans += 1
        if change is not None:
            self.records += 1
            self.disk += len(json.dumps(change.line()))
            self.ledger.commit(change)
            woken = {g.token for g in change.grants}
            for member in self.members:  # their watch tells them that there is news
                if member.token in woken:
                    self.at(
                        self.now + LINK, lambda m=member: None if m.dead else m.beat()
                    )  # type: ignore[misc]
        self.at(self.now + PLAN, self.tick)

    def served(
        self,
        member: Member,
        asked: int,
        needs: dict[str, int],
        holds: tuple[int, int] | None,
    ) -> None:
        if self.ledger.beat(
            member.token, {"7": needs}, {"7": holds} if holds else {}, self.now
        ):
            self.leases[member.token] = self.now + int(LEASE * (1 + DRIFT))
            shares = self.ledger.told(member.token)
            self.wire += len(
                json.dumps(
                    {
                        d: {
                            "calls": s.calls,
                            "number": s.number,
                            "reserve": s.reserve,
                            "whole": s.whole,
                            "span_ms": s.span_us // 1000,
                            "slack_ms": s.slack_us // 1000,
                        }
                        for d, s in shares.items()
                    }
                )
            )
            self.at(self.now + LINK, lambda: member.answered(asked, shares))

    def counts(self) -> tuple[float, ...]:
        """Records, their bytes, beats, their bytes, seconds in plans, plans."""
        beats = sum(m.beats for m in self.members)
        return self.records, self.disk, beats, self.wire, self.spent, self.plans

    def worst(self) -> int:
        """Calls in the fullest sliding span."""
        first = worst = 0
        for n, (at, _) in enumerate(self.sent):
            while self.sent[first][0] <= at - self.budget.span_us:
                first += 1
            worst = max(worst, n - first + 1)
        return worst


def until(fleet: Fleet, done: Callable[[], bool], most: int) -> float:
    """Milliseconds until it is so."""
    began = fleet.now
    while not done():
        if fleet.now - began > most:
            raise RuntimeError("never came")
        fleet.run(fleet.now + 5_000)
    return (fleet.now - began) / 1000


def division(members: int, repeats: int) -> list[float]:
    """Milliseconds of one division, a third of the members with work in two weighted
    parts.
    """
    took = []
    for repeat in range(repeats):
        rng = random.Random(repeat)
        needs = {
            n: {"gold": rng.randrange(50), "free": rng.randrange(50)}
            if n % 3 == 0
            else {}
            for n in range(members)
        }
        floors = dict.fromkeys(needs, 1)
        began = time.perf_counter()
        divide(members * 6, needs, {"gold": 3}, floors, 1, {}, members // 3)
        took.append((time.perf_counter() - began) * 1000)
    return took


def two_of_ten(reserve: int, seed: int) -> tuple[float, float, float, float, int]:
    """Part of the whole used, ms until the demand's share came, ms from a death until
    its share works with the other, against at most so many, and calls in the fullest
    span.
    """
    budget = Budget("7", 100, SECOND, reserve, 10)
    fleet = Fleet(10, budget, seed)
    fleet.run(10 * SECOND)
    a, b = fleet.members[:2]
    a.wants_per_s(70)
    b.wants_per_s(70)
    most = 100 - 8 * reserve
    arrived = until(
        fleet,
        lambda: a.purse.limit(a.now()) + b.purse.limit(b.now()) >= 0.9 * most,
        20 * SECOND,
    )
    fleet.run(fleet.now + 5 * SECOND)
    before, began = len(fleet.sent), fleet.now
    fleet.run(began + 100 * SECOND)
    used = (len(fleet.sent) - before) / 100 / 100
    b.wants_per_s(150)
    fleet.run(fleet.now + fleet.rng.randrange(SECOND))
    a.dead = True
    freed = until(
        fleet, lambda: b.purse.limit(b.now()) >= 0.9 * (most - reserve), 30 * SECOND
    )
    at_most = (LEASE * (1 + DRIFT) + budget.window_us(DRIFT)) / 1000
    return used, arrived, freed, at_most, fleet.worst()


def swings(
    members: int, seconds: int, steady: bool
) -> tuple[float, float, float, float, float, float]:
    """A fifth of the members have work; not `steady`: another fifth every 5 s. Records
    and bytes a second on disk, beats and bytes a second of their budget part, ms of a
    plan, worst span over the whole.
    """
    fleet = Fleet(members, Budget("7", members * 10, SECOND, 1, members), members)
    fleet.run(4 * SECOND)
    for n in range(0, members, 5):
        fleet.members[n].wants_per_s(30)
    fleet.run(10 * SECOND)
    marks = fleet.counts()
    for second in range(0, seconds, 5):
        if not steady:
            for n, member in enumerate(fleet.members):
                member.wants_per_s(30 if n % 5 == (second // 5 + 1) % 5 else 0)
        fleet.run((10 + second + 5) * SECOND)
    records, disk, beats, wire, spent, plans = (
        e - m for e, m in zip(fleet.counts(), marks, strict=True)
    )
    return (
        records / seconds,
        disk / seconds,
        beats / seconds,
        wire / seconds,
        spent / plans * 1000,
        fleet.worst() / (members * 10),
    )


def main(repeats: int) -> None:
    for members in (10, 200, 1_000):
        print(row(f"{members} members: ms of one division", division(members, repeats)))
    for reserve in (0, 1):
        runs = [two_of_ten(reserve, seed) for seed in range(repeats)]
        name = f"2 of 10 with work, whole 100 a second, reserve {reserve}"
        print(row(f"{name}: part of the whole used", [r[0] for r in runs]))
        print(
            row(f"{name}: ms until nine tenths of its share came", [r[1] for r in runs])
        )
        print(
            row(
                f"{name}: ms from a death until its share works with the other",
                [r[2] for r in runs],
            )
        )
        print(
            f"  lease + drift + span and slack: {runs[0][3]:.0f} ms; "
            f"fullest span: {max(r[4] for r in runs)}"
        )
    for members in (10, 200, 1_000):
        for steady in (True, False):
            records, disk, beats, wire, plan, full = swings(members, 10, steady)
            how = "steady" if steady else "another fifth every 5 s"
            print(
                f"{members} members, {how}: {records:.1f} records and {disk / 1000:.1f} kB a second to "
                f"disk, {beats:.0f} beats a second with {wire / 1000:.1f} kB of budget, "
                f"{plan:.2f} ms a plan, fullest span {full:.3f} of the whole"
            )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 7)
