"""What budgets cost and how well they are used, in a simulated fleet.

    python -m measure.budget_division [REPEATS]

Run from the root of the repository. With 10, 200 and 1,000 members on injected clocks it
prints what a division costs, what is stored and sent, how much of a budget is used, and
how long a share takes to arrive, or to be granted to others after a member has failed.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import time
from collections import deque
from collections.abc import Callable

from measure.reporting import format_row, repeats_argument
from rainfall.budget.demand import DemandTracker
from rainfall.budget.fair_share import divide
from rainfall.budget.ledger import Ledger
from rainfall.budget.member_quota import MemberQuota
from rainfall.budget.types import Budget, Share
from rainfall.lease.fencing_token import Token

SECOND_US = 1_000_000
DRIFT = 0.02
LEASE_US = 3 * SECOND_US
LINK_DELAY_US = 2_000
"""The delay of each direction."""
MIN_EXTRA_HEARTBEAT_US = 250_000
"""The least time between heartbeats for a higher demand."""
EXTRA_HEARTBEAT_RATIO = 1.2
"""How much higher than reported the demand must be for such a heartbeat."""
PLAN_INTERVAL_US = 50_000
MESSAGE_DEADLINE_US = 2 * SECOND_US
DEFAULT_REPEATS = 7
FLEET_SIZES = (10, 200, 1_000)


class SimulatedMember:
    """A member with its own clock, which runs at `rate`, and with its own calls."""

    def __init__(self, fleet: SimulatedFleet, number: int, rate: float) -> None:
        self.fleet = fleet
        self.token = Token(1, number + 1)
        self.rate = rate
        self.quota = MemberQuota(0, DRIFT)
        self.demand = DemandTracker(fleet.budget.span_us)
        self.waiting: deque[int] = deque()
        self.arrivals_per_s = 0.0
        self.dead = False
        self.heartbeat_count = 0
        self.last_heartbeat_us = 0
        self.reported_demand = 0
        """The demand in the last heartbeat."""
        self.heartbeat_number = 0
        self.send_number = 0
        """Only the newest scheduled heartbeat, and the newest send, are carried out."""

    def now(self) -> int:
        """Microseconds of the member's clock."""
        return int(self.fleet.now_us * self.rate)

    def call_after(self, own_us: int, action: Callable[[], None]) -> None:
        """Schedule an action after a time by the member's clock, unless it is dead."""
        self.fleet.call_at(
            self.fleet.now_us + int(own_us / self.rate) + 1,
            lambda: None if self.dead else action(),
        )

    def send_heartbeat(self) -> None:
        """Send a heartbeat, and schedule the next one."""
        self.heartbeat_number += 1
        number = self.heartbeat_number
        asked_us = self.now()
        while self.waiting and self.waiting[0] < asked_us - MESSAGE_DEADLINE_US:
            self.waiting.popleft()
        needs = self.demand.demand_by_part(asked_us, {"": len(self.waiting)})
        holds = self.quota.held_share(self.token)
        self.heartbeat_count += 1
        self.last_heartbeat_us = asked_us
        self.reported_demand = sum(needs.values())
        self.fleet.wire_bytes += len(
            json.dumps({"needs": {"7": needs.get("", 0)}, "holds": {"7": holds}})
        )
        self.fleet.call_at(
            self.fleet.now_us + LINK_DELAY_US,
            lambda: self.fleet.serve_heartbeat(self, asked_us, needs, holds),
        )
        interval_us = int(LEASE_US / 3 * self.fleet.rng.uniform(0.9, 1.0))
        self.call_after(
            interval_us,
            lambda: self.send_heartbeat() if number == self.heartbeat_number else None,
        )

    def on_answer(self, asked_us: int, shares: dict[str, Share]) -> None:
        """Receive the shares of a heartbeat's answer, and acknowledge new ones."""
        if self.dead:
            return
        held = self.quota.held_share(self.token)
        for share in shares.values():
            self.quota.receive_share(
                share, asked_us + int(LEASE_US * (1 - DRIFT)), self.now()
            )
        if self.quota.held_share(self.token) != held:
            self.send_heartbeat()
            self.send()

    def arrive(self) -> None:
        """Let a message arrive, and schedule the next one."""
        if not self.arrivals_per_s:
            return
        self.waiting.append(self.now())
        self.demand.record_calls(self.now())
        self.send()
        since_heartbeat_us = self.now() - self.last_heartbeat_us
        if self.waiting and since_heartbeat_us >= MIN_EXTRA_HEARTBEAT_US:
            needs = self.demand.demand_by_part(self.now(), {"": len(self.waiting)})
            demand = sum(needs.values())
            if demand > EXTRA_HEARTBEAT_RATIO * self.reported_demand:
                self.send_heartbeat()
        self.call_after(
            int(SECOND_US / self.arrivals_per_s * self.fleet.rng.uniform(0.5, 1.5)),
            self.arrive,
        )

    def send(self) -> None:
        """Make the calls that the share allows, and schedule the next."""
        now_us = self.now()
        while self.waiting and self.quota.spend(now_us):
            self.waiting.popleft()
            self.fleet.sent.append((self.fleet.now_us, self.token.number - 1))
        next_us = self.quota.available_at(now_us) if self.waiting else None
        if next_us is not None:
            self.send_number += 1
            number = self.send_number
            self.call_after(
                max(1, next_us - now_us),
                lambda: self.send() if number == self.send_number else None,
            )

    def set_arrivals(self, calls_per_s: float) -> None:
        """Change the rate of arrivals."""
        was_idle = not self.arrivals_per_s
        self.arrivals_per_s = calls_per_s
        if calls_per_s and was_idle:
            self.arrive()


class SimulatedFleet:
    """A service and its members in simulated time; links lose nothing."""

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

    def call_at(self, at_us: int, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (at_us, next(self.order), action))

    def run(self, until_us: int) -> None:
        """Carry out all that is scheduled until a time."""
        while self.events and self.events[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self.events)
            action()
        self.now_us = until_us

    def tick(self) -> None:
        """Expire leases, plan, and wake the members whose shares change."""
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
            for member in self.members:
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
        """Handle a heartbeat, and send the answer."""
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
    """Milliseconds until a condition holds; RuntimeError after `most` microseconds."""
    began = fleet.now_us
    while not done():
        if fleet.now_us - began > most:
            raise RuntimeError("never came")
        fleet.run(fleet.now_us + 5_000)
    return (fleet.now_us - began) / 1000


def division_ms(members: int, repeats: int) -> list[float]:
    """Milliseconds of one division; a third of the members have demand in two parts."""
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
    """Two of ten members with work, one of which fails.

    Returns the part of the budget that was used; the ms until both had their share; the
    ms from the failure until the other had the whole share, and the bound of that; and
    the calls in the fullest window.
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
    """A fifth of the members have work; another fifth every 5 s unless `steady`.

    Returns the records and bytes stored a second, the heartbeats and their bytes a
    second, the ms of a plan, and the fullest window as a part of the budget.
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


def main() -> None:
    """Run all, and print the results."""
    repeats = repeats_argument(DEFAULT_REPEATS)
    for members in FLEET_SIZES:
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
    for members in FLEET_SIZES:
        for steady in (True, False):
            records, disk, beats, wire, plan, full = measure_swings(members, 10, steady)
            how = "steady" if steady else "another fifth every 5 s"
            print(
                f"{members} members, {how}: {records:.1f} records and {disk / 1000:.1f} kB a second to "
                f"disk, {beats:.0f} beats a second with {wire / 1000:.1f} kB of budget, "
                f"{plan:.2f} ms a plan, fullest span {full:.3f} of the whole"
            )


if __name__ == "__main__":
    main()
