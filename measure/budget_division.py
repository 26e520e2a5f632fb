"""Budgets on injected clocks, at 10, 200 and 1,000 members: what a division costs, what
goes to disk and over the wire, how much of the whole is used, and how long a share
takes to arrive or to come free after a death.

    python -m measure.budget_division [REPEATS]
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

from measure.reporting import format_row
from rainfall.budget.demand import DemandTracker
from rainfall.budget.fair_share import divide
from rainfall.budget.ledger import Ledger
from rainfall.budget.member_quota import MemberQuota
from rainfall.budget.types import Budget, Share
from rainfall.lease.fencing_token import Token

SECOND_US = 1_000_000
DRIFT = 0.02
LEASE_US = 3 * SECOND_US
LINK_DELAY_US = 2_000  # one way
MIN_EXTRA_HEARTBEAT_US = 250_000  # beats beside the regular ones, so far apart at least
PLAN_INTERVAL_US = 50_000  # beats are planned for together, so far apart at least


class SimulatedMember:
    def __init__(self, fleet: SimulatedFleet, n: int, rate: float) -> None:
        self.fleet, self.token, self.rate = fleet, Token(1, n + 1), rate
        self.quota, self.demand = (
            MemberQuota(0, DRIFT),
            DemandTracker(fleet.budget.span_us),
        )
        self.waiting: deque[int] = deque()
        self.arrivals_per_s = 0.0
        self.dead = False
        self.heartbeat_count = 0
        self.last_told_us = self.last_told_need = (
            0  # the last beat, and what it said was needed
        )
        self.heartbeat_number = (
            0  # which planned beat and which planned look at the queue are the newest
        )
        self.send_number = 0

    def now(self) -> int:
        return int(self.fleet.now_us * self.rate)

    def call_after(self, own_us: int, what: Callable[[], None]) -> None:
        self.fleet.call_at(
            self.fleet.now_us + int(own_us / self.rate) + 1,
            lambda: None if self.dead else what(),
        )

    def send_heartbeat(self) -> None:
        self.heartbeat_number += 1
        due, asked_us = self.heartbeat_number, self.now()
        while self.waiting and self.waiting[0] < asked_us - 2 * SECOND_US:
            self.waiting.popleft()  # its deadline is over
        needs = self.demand.demand_by_part(asked_us, {"": len(self.waiting)})
        holds = self.quota.held_share(self.token)
        self.heartbeat_count += 1
        self.last_told_us, self.last_told_need = asked_us, sum(needs.values())
        self.fleet.wire_bytes += len(
            json.dumps({"needs": {"7": needs.get("", 0)}, "holds": {"7": holds}})
        )
        self.fleet.call_at(
            self.fleet.now_us + LINK_DELAY_US,
            lambda: self.fleet.serve_heartbeat(self, asked_us, needs, holds),
        )
        wait = int(LEASE_US / 3 * self.fleet.rng.uniform(0.9, 1.0))
        self.call_after(
            wait,
            lambda: self.send_heartbeat() if due == self.heartbeat_number else None,
        )

    def on_answer(self, asked_us: int, shares: dict[str, Share]) -> None:
        if self.dead:
            return
        held = self.quota.held_share(self.token)
        for share in shares.values():
            self.quota.receive_share(
                share, asked_us + int(LEASE_US * (1 - DRIFT)), self.now()
            )
        if self.quota.held_share(self.token) != held:
            self.send_heartbeat()  # acknowledged at once
            self.send()

    def arrive(self) -> None:
        if self.arrivals_per_s:
            self.waiting.append(self.now())
            self.demand.record_calls(self.now())
            self.send()
            if (
                self.waiting
                and self.now() - self.last_told_us >= MIN_EXTRA_HEARTBEAT_US
            ):
                needs = sum(
                    self.demand.demand_by_part(
                        self.now(), {"": len(self.waiting)}
                    ).values()
                )
                if needs > 1.2 * self.last_told_need:
                    # its share does not do and more is needed than was said: say so at
                    # once
                    self.send_heartbeat()
            self.call_after(
                int(SECOND_US / self.arrivals_per_s * self.fleet.rng.uniform(0.5, 1.5)),
                self.arrive,
            )

    def send(self) -> None:
        now_us = self.now()
        while self.waiting and self.quota.spend(now_us):
            self.waiting.popleft()
            self.fleet.sent.append((self.fleet.now_us, self.token.number - 1))
        next_us = self.quota.available_at(now_us) if self.waiting else None
        if next_us is not None:
            self.send_number += 1
            look = self.send_number
            self.call_after(
                max(1, next_us - now_us),
                lambda: self.send() if look == self.send_number else None,
            )

    def set_arrivals(self, calls: float) -> None:
        before, self.arrivals_per_s = self.arrivals_per_s, calls
        if calls and not before:
            self.arrive()


class SimulatedFleet:
    """A service and members on clocks of their own, in simulated time; links lose
    nothing.
    """

    def __init__(self, members: int, budget: Budget, seed: int = 0) -> None:
        self.rng, self.now_us, self.budget = random.Random(seed), 0, budget
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.ledger = Ledger([budget], int(LEASE_US * (1 + DRIFT)), DRIFT, 0, sure=True)
        self.leases: dict[Token, int] = {}
        self.sent: list[tuple[int, int]] = []
        self.wire_bytes = self.record_count = self.disk_bytes = self.plan_count = 0
        self.planned, self.plan_seconds = False, 0.0
        self.members = [
            SimulatedMember(self, n, 1 + DRIFT * self.rng.uniform(-0.5, 0.5))
            for n in range(members)
        ]
        for member in self.members:
            self.ledger.member_joined(member.token, f"f{member.token.number}", None, 0)
            self.call_at(self.rng.randrange(LEASE_US // 3), member.send_heartbeat)
        self.call_at(PLAN_INTERVAL_US, self.tick)

    def call_at(self, when: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), what))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now_us, _, what = heapq.heappop(self.events)
            what()
        self.now_us = until

    def tick(self) -> None:
        for token in [t for t, until in self.leases.items() if until <= self.now_us]:
            del self.leases[token]
            self.ledger.lease_expired(token, self.now_us)
        began = time.perf_counter()
        change = self.ledger.plan(self.now_us)
        self.plan_seconds += time.perf_counter() - began
        self.plan_count += 1
        if change is not None:
            self.record_count += 1
            self.disk_bytes += len(json.dumps(change.to_record()))
            self.ledger.commit(change)
            woken = {g.token for g in change.grants}
            for member in self.members:  # their watch tells them that there is news
                if member.token in woken:
                    self.call_at(
                        self.now_us + LINK_DELAY_US,
                        lambda m=member: None if m.dead else m.send_heartbeat(),
                    )  # type: ignore[misc]
        self.call_at(self.now_us + PLAN_INTERVAL_US, self.tick)

    def serve_heartbeat(
        self,
        member: SimulatedMember,
        asked_us: int,
        needs: dict[str, int],
        holds: tuple[int, int] | None,
    ) -> None:
        if self.ledger.heartbeat(
            member.token, {"7": needs}, {"7": holds} if holds else {}, self.now_us
        ):
            self.leases[member.token] = self.now_us + int(LEASE_US * (1 + DRIFT))
            shares = self.ledger.shares_for(member.token)
            self.wire_bytes += len(
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
            self.call_at(
                self.now_us + LINK_DELAY_US, lambda: member.on_answer(asked_us, shares)
            )

    def counts(self) -> tuple[float, ...]:
        """Records, their bytes, beats, their bytes, seconds in plans, plans."""
        beats = sum(m.heartbeat_count for m in self.members)
        return (
            self.record_count,
            self.disk_bytes,
            beats,
            self.wire_bytes,
            self.plan_seconds,
            self.plan_count,
        )

    def fullest_span(self) -> int:
        """Calls in the fullest sliding span."""
        first = worst = 0
        for n, (at, _) in enumerate(self.sent):
            while self.sent[first][0] <= at - self.budget.span_us:
                first += 1
            worst = max(worst, n - first + 1)
        return worst


def ms_until(fleet: SimulatedFleet, done: Callable[[], bool], most: int) -> float:
    """Milliseconds until it is so."""
    began = fleet.now_us
    while not done():
        if fleet.now_us - began > most:
            raise RuntimeError("never came")
        fleet.run(fleet.now_us + 5_000)
    return (fleet.now_us - began) / 1000


def division_ms(members: int, repeats: int) -> list[float]:
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


def measure_two_of_ten(
    reserve: int, seed: int
) -> tuple[float, float, float, float, int]:
    """Part of the whole used, ms until the demand's share came, ms from a death until
    its share works with the other, against at most so many, and calls in the fullest
    span.
    """
    budget = Budget("7", 100, SECOND_US, reserve, 10)
    fleet = SimulatedFleet(10, budget, seed)
    fleet.run(10 * SECOND_US)
    dying, surviving = fleet.members[:2]
    dying.set_arrivals(70)
    surviving.set_arrivals(70)
    most = 100 - 8 * reserve
    arrived = ms_until(
        fleet,
        lambda: (
            dying.quota.limit(dying.now()) + surviving.quota.limit(surviving.now())
            >= 0.9 * most
        ),
        20 * SECOND_US,
    )
    fleet.run(fleet.now_us + 5 * SECOND_US)
    before, began = len(fleet.sent), fleet.now_us
    fleet.run(began + 100 * SECOND_US)
    used = (len(fleet.sent) - before) / 100 / 100
    surviving.set_arrivals(150)
    fleet.run(fleet.now_us + fleet.rng.randrange(SECOND_US))
    dying.dead = True
    freed = ms_until(
        fleet,
        lambda: surviving.quota.limit(surviving.now()) >= 0.9 * (most - reserve),
        30 * SECOND_US,
    )
    at_most = (LEASE_US * (1 + DRIFT) + budget.window_us(DRIFT)) / 1000
    return used, arrived, freed, at_most, fleet.fullest_span()


def measure_swings(
    members: int, seconds: int, steady: bool
) -> tuple[float, float, float, float, float, float]:
    """A fifth of the members have work; not `steady`: another fifth every 5 s.

    Records and bytes a second on disk, beats and bytes a second of their budget part,
    ms of a plan, worst span over the whole.
    """
    fleet = SimulatedFleet(
        members, Budget("7", members * 10, SECOND_US, 1, members), members
    )
    fleet.run(4 * SECOND_US)
    for n in range(0, members, 5):
        fleet.members[n].set_arrivals(30)
    fleet.run(10 * SECOND_US)
    marks = fleet.counts()
    for second in range(0, seconds, 5):
        if not steady:
            for n, member in enumerate(fleet.members):
                member.set_arrivals(30 if n % 5 == (second // 5 + 1) % 5 else 0)
        fleet.run((10 + second + 5) * SECOND_US)
    records, disk, beats, wire, spent, plans = (
        e - m for e, m in zip(fleet.counts(), marks, strict=True)
    )
    return (
        records / seconds,
        disk / seconds,
        beats / seconds,
        wire / seconds,
        spent / plans * 1000,
        fleet.fullest_span() / (members * 10),
    )


def main(repeats: int) -> None:
    for members in (10, 200, 1_000):
        print(
            format_row(
                f"{members} members: ms of one division", division_ms(members, repeats)
            )
        )
    for reserve in (0, 1):
        runs = [measure_two_of_ten(reserve, seed) for seed in range(repeats)]
        name = f"2 of 10 with work, whole 100 a second, reserve {reserve}"
        print(format_row(f"{name}: part of the whole used", [r[0] for r in runs]))
        print(
            format_row(
                f"{name}: ms until nine tenths of its share came", [r[1] for r in runs]
            )
        )
        print(
            format_row(
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
            records, disk, beats, wire, plan, full = measure_swings(members, 10, steady)
            how = "steady" if steady else "another fifth every 5 s"
            print(
                f"{members} members, {how}: {records:.1f} records and {disk / 1000:.1f} kB a second to "
                f"disk, {beats:.0f} beats a second with {wire / 1000:.1f} kB of budget, "
                f"{plan:.2f} ms a plan, fullest span {full:.3f} of the whole"
            )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 7)
