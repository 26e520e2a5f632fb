"""Measures the cost and the utilisation of call budgets in a simulated fleet.

    python -m measure.budget_division [REPEATS]

Run from the root of the repository. Fleets of 10, 200 and 1,000 members run on simulated
clocks. Prints the time of one division of a budget, the bytes stored and sent, the
fraction of the budget that is used, and the delay until a member receives its share or
until the share of a failed member is granted to another one.
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
"""One-way network delay."""
MIN_EXTRA_HEARTBEAT_US = 250_000
"""Minimum time since the last heartbeat before an extra one reports a higher demand."""
EXTRA_HEARTBEAT_RATIO = 1.2
"""Ratio of current to reported demand above which an extra heartbeat is sent."""
PLAN_INTERVAL_US = 50_000
MESSAGE_DEADLINE_US = 2 * SECOND_US
DEFAULT_REPEATS = 7
FLEET_SIZES = (10, 200, 1_000)


class SimulatedMember:
    """A member with its own queue of calls and a clock that runs at `rate` times true time."""

    def __init__(self, fleet: SimulatedFleet, number: int, rate: float) -> None:
        self.fleet = fleet
        self.token = Token(1, number + 1)
        self.rate = rate
        self.quota = MemberQuota(0, DRIFT)
        self.demand = DemandTracker(fleet.budget.span_us)
        self.queue: deque[int] = deque()
        self.arrivals_per_s = 0.0
        self.has_failed = False
        self.heartbeat_count = 0
        self.last_heartbeat_us = 0
        self.reported_demand = 0
        """The demand in the last heartbeat."""
        self.heartbeat_number = 0
        self.send_number = 0
        """Only the most recently scheduled heartbeat and send run; older timers do nothing."""

    def now(self) -> int:
        """The time on the member's clock, in microseconds."""
        return int(self.fleet.now_us * self.rate)

    def call_after(self, own_us: int, action: Callable[[], None]) -> None:
        """Run an action after a delay on the member's clock, unless the member has failed."""
        self.fleet.call_at(
            self.fleet.now_us + int(own_us / self.rate) + 1,
            lambda: None if self.has_failed else action(),
        )

    def wake(self) -> None:
        """Send a heartbeat immediately, unless the member has failed."""
        if not self.has_failed:
            self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Drop overdue messages, send a heartbeat, and schedule the next one."""
        self.heartbeat_number += 1
        number = self.heartbeat_number
        heartbeat_us = self.now()
        while self.queue and self.queue[0] < heartbeat_us - MESSAGE_DEADLINE_US:
            self.queue.popleft()
        needs = self.demand.demand_by_part(heartbeat_us, {"": len(self.queue)})
        holds = self.quota.held_share(self.token)
        self.heartbeat_count += 1
        self.last_heartbeat_us = heartbeat_us
        self.reported_demand = sum(needs.values())
        self.fleet.wire_bytes += len(
            json.dumps({"needs": {"7": needs.get("", 0)}, "holds": {"7": holds}})
        )
        self.fleet.call_at(
            self.fleet.now_us + LINK_DELAY_US,
            lambda: self.fleet.serve_heartbeat(self, heartbeat_us, needs, holds),
        )
        interval_us = int(LEASE_US / 3 * self.fleet.rng.uniform(0.9, 1.0))
        self.call_after(
            interval_us,
            lambda: self.send_heartbeat() if number == self.heartbeat_number else None,
        )

    def on_response(self, heartbeat_us: int, shares: dict[str, Share]) -> None:
        """Store the shares from a heartbeat's response, and acknowledge changed ones."""
        if self.has_failed:
            return
        held = self.quota.held_share(self.token)
        for share in shares.values():
            self.quota.receive_share(
                share, heartbeat_us + int(LEASE_US * (1 - DRIFT)), self.now()
            )
        if self.quota.held_share(self.token) != held:
            self.send_heartbeat()
            self.send()

    def add_arrival(self) -> None:
        """Queue a new message, and schedule the next arrival."""
        if not self.arrivals_per_s:
            return
        self.queue.append(self.now())
        self.demand.record_calls(self.now())
        self.send()
        since_heartbeat_us = self.now() - self.last_heartbeat_us
        if self.queue and since_heartbeat_us >= MIN_EXTRA_HEARTBEAT_US:
            needs = self.demand.demand_by_part(self.now(), {"": len(self.queue)})
            demand = sum(needs.values())
            if demand > EXTRA_HEARTBEAT_RATIO * self.reported_demand:
                self.send_heartbeat()
        self.call_after(
            int(SECOND_US / self.arrivals_per_s * self.fleet.rng.uniform(0.5, 1.5)),
            self.add_arrival,
        )

    def send(self) -> None:
        """Make the calls that the share allows, and schedule the next attempt."""
        now_us = self.now()
        while self.queue and self.quota.spend(now_us):
            self.queue.popleft()
            self.fleet.sent.append((self.fleet.now_us, self.token.number - 1))
        next_us = self.quota.available_at(now_us) if self.queue else None
        if next_us is not None:
            self.send_number += 1
            number = self.send_number
            self.call_after(
                max(1, next_us - now_us),
                lambda: self.send() if number == self.send_number else None,
            )

    def set_arrivals(self, calls_per_s: float) -> None:
        """Set the arrival rate in calls per second; 0 stops the arrivals."""
        was_idle = not self.arrivals_per_s
        self.arrivals_per_s = calls_per_s
        if calls_per_s and was_idle:
            self.add_arrival()


class SimulatedFleet:
    """A list service and its members in simulated time, over lossless links."""

    def __init__(self, members: int, budget: Budget, seed: int = 0) -> None:
        self.rng, self.now_us, self.budget = random.Random(seed), 0, budget
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.ledger = Ledger(
            [budget], int(LEASE_US * (1 + DRIFT)), DRIFT, 0, history_complete=True
        )
        self.leases: dict[Token, int] = {}
        self.sent: list[tuple[int, int]] = []
        self.wire_bytes = self.record_count = self.disk_bytes = self.plan_count = 0
        self.planned, self.plan_seconds = False, 0.0
        self.members = [
            SimulatedMember(self, number, 1 + DRIFT * self.rng.uniform(-0.5, 0.5))
            for number in range(members)
        ]
        for member in self.members:
            self.ledger.member_joined(member.token, f"f{member.token.number}", None, 0)
            self.call_at(self.rng.randrange(LEASE_US // 3), member.send_heartbeat)
        self.call_at(PLAN_INTERVAL_US, self.tick)

    def call_at(self, at_us: int, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time in microseconds."""
        heapq.heappush(self.events, (at_us, next(self.sequence), action))

    def run(self, until_us: int) -> None:
        """Run all actions that are scheduled up to a simulated time."""
        while self.events and self.events[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self.events)
            action()
        self.now_us = until_us

    def tick(self) -> None:
        """Expire leases, plan new shares, and wake the members whose shares change."""
        for token in [
            lease_token
            for lease_token, expires_us in self.leases.items()
            if expires_us <= self.now_us
        ]:
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
            tokens_to_wake = {grant.token for grant in change.grants}
            for member in self.members:
                if member.token in tokens_to_wake:
                    self.call_at(self.now_us + LINK_DELAY_US, member.wake)
        self.call_at(self.now_us + PLAN_INTERVAL_US, self.tick)

    def serve_heartbeat(
        self,
        member: SimulatedMember,
        heartbeat_us: int,
        needs: dict[str, int],
        holds: tuple[int, int] | None,
    ) -> None:
        """Process a heartbeat on the service, and send the response."""
        if self.ledger.heartbeat(
            member.token, {"7": needs}, {"7": holds} if holds else {}, self.now_us
        ):
            self.leases[member.token] = self.now_us + int(LEASE_US * (1 + DRIFT))
            shares = self.ledger.shares_for(member.token)
            self.wire_bytes += len(
                json.dumps(
                    {
                        destination: {
                            "calls": share.calls,
                            "number": share.number,
                            "reserve": share.reserve,
                            "whole": share.total,
                            "span_ms": share.span_us // 1000,
                            "slack_ms": share.slack_us // 1000,
                        }
                        for destination, share in shares.items()
                    }
                )
            )
            self.call_at(
                self.now_us + LINK_DELAY_US,
                lambda: member.on_response(heartbeat_us, shares),
            )

    def totals(self) -> tuple[float, ...]:
        """Totals so far: records, bytes on disk, heartbeats, bytes sent, plan seconds, plans."""
        heartbeats = sum(member.heartbeat_count for member in self.members)
        return (
            self.record_count,
            self.disk_bytes,
            heartbeats,
            self.wire_bytes,
            self.plan_seconds,
            self.plan_count,
        )

    def max_calls_in_span(self) -> int:
        """The largest number of calls in any sliding window of one budget span."""
        first = largest = 0
        for index, (sent_at_us, _) in enumerate(self.sent):
            while self.sent[first][0] <= sent_at_us - self.budget.span_us:
                first += 1
            largest = max(largest, index - first + 1)
        return largest


def ms_until(
    fleet: SimulatedFleet, condition: Callable[[], bool], timeout_us: int
) -> float:
    """Run the fleet until a condition holds; the simulated milliseconds that took.

    Raises:
        RuntimeError: The condition does not hold within `timeout_us`.
    """
    began = fleet.now_us
    while not condition():
        if fleet.now_us - began > timeout_us:
            raise RuntimeError("condition not met before the timeout")
        fleet.run(fleet.now_us + 5_000)
    return (fleet.now_us - began) / 1000


def division_ms(members: int, repeats: int) -> list[float]:
    """The milliseconds of one division, per repeat.

    Every third member has demand, in two parts of the budget.
    """
    durations_ms = []
    for repeat in range(repeats):
        rng = random.Random(repeat)
        needs = {
            number: {"gold": rng.randrange(50), "free": rng.randrange(50)}
            if number % 3 == 0
            else {}
            for number in range(members)
        }
        floors = dict.fromkeys(needs, 1)
        began = time.perf_counter()
        divide(members * 6, needs, {"gold": 3}, floors, 1, {}, members // 3)
        durations_ms.append((time.perf_counter() - began) * 1000)
    return durations_ms


def measure_two_of_ten(
    reserve: int, seed: int
) -> tuple[float, float, float, float, int]:
    """Run ten members of which two have demand, and let one of the two fail.

    Returns:
        The fraction of the budget that is used; the ms until both have nine tenths of
        their shares; the ms from the failure until the survivor has nine tenths of the
        calls that both had; the upper bound of that time in ms; and the calls in the
        fullest window.
    """
    budget = Budget("7", 100, SECOND_US, reserve, 10)
    fleet = SimulatedFleet(10, budget, seed)
    fleet.run(10 * SECOND_US)
    failing, surviving = fleet.members[:2]
    failing.set_arrivals(70)
    surviving.set_arrivals(70)
    max_calls = 100 - 8 * reserve
    grant_ms = ms_until(
        fleet,
        lambda: (
            failing.quota.limit(failing.now()) + surviving.quota.limit(surviving.now())
            >= 0.9 * max_calls
        ),
        20 * SECOND_US,
    )
    fleet.run(fleet.now_us + 5 * SECOND_US)
    sent_before, began_us = len(fleet.sent), fleet.now_us
    fleet.run(began_us + 100 * SECOND_US)
    used_fraction = (len(fleet.sent) - sent_before) / 100 / 100
    surviving.set_arrivals(150)
    fleet.run(fleet.now_us + fleet.rng.randrange(SECOND_US))
    failing.has_failed = True
    takeover_ms = ms_until(
        fleet,
        lambda: surviving.quota.limit(surviving.now()) >= 0.9 * (max_calls - reserve),
        30 * SECOND_US,
    )
    takeover_bound_ms = (LEASE_US * (1 + DRIFT) + budget.window_us(DRIFT)) / 1000
    return (
        used_fraction,
        grant_ms,
        takeover_ms,
        takeover_bound_ms,
        fleet.max_calls_in_span(),
    )


def measure_demand_changes(
    members: int, seconds: int, steady: bool
) -> tuple[float, float, float, float, float, float]:
    """Run a fleet of which a fifth has demand; a different fifth every 5 s unless `steady`.

    Returns:
        Records and bytes stored per second, heartbeats and their bytes per second, the ms
        of one plan, and the calls in the fullest window as a fraction of the budget.
    """
    fleet = SimulatedFleet(
        members, Budget("7", members * 10, SECOND_US, 1, members), members
    )
    fleet.run(4 * SECOND_US)
    for number in range(0, members, 5):
        fleet.members[number].set_arrivals(30)
    fleet.run(10 * SECOND_US)
    totals_before = fleet.totals()
    for second in range(0, seconds, 5):
        if not steady:
            for number, member in enumerate(fleet.members):
                member.set_arrivals(30 if number % 5 == (second // 5 + 1) % 5 else 0)
        fleet.run((10 + second + 5) * SECOND_US)
    records, disk_bytes, heartbeats, wire_bytes, plan_seconds, plans = (
        after - before
        for after, before in zip(fleet.totals(), totals_before, strict=True)
    )
    return (
        records / seconds,
        disk_bytes / seconds,
        heartbeats / seconds,
        wire_bytes / seconds,
        plan_seconds / plans * 1000,
        fleet.max_calls_in_span() / (members * 10),
    )


def main() -> None:
    """Run all measurements, and print the results."""
    repeats = repeats_argument(DEFAULT_REPEATS)
    for members in FLEET_SIZES:
        print(
            format_row(
                f"{members} members: division time, ms", division_ms(members, repeats)
            )
        )
    for reserve in (0, 1):
        runs = [measure_two_of_ten(reserve, seed) for seed in range(repeats)]
        name = f"2 of 10 members with demand, budget 100 calls/s, reserve {reserve}"
        print(
            format_row(f"{name}: fraction of the budget used", [run[0] for run in runs])
        )
        print(
            format_row(
                f"{name}: time until nine tenths of the shares are granted, ms",
                [run[1] for run in runs],
            )
        )
        print(
            format_row(
                f"{name}: time from a failure until the survivor has the share, ms",
                [run[2] for run in runs],
            )
        )
        print(
            f"  bound (lease, drift, span and slack): {runs[0][3]:.0f} ms; "
            f"calls in the fullest window: {max(run[4] for run in runs)}"
        )
    for members in FLEET_SIZES:
        for steady in (True, False):
            records, disk_bytes, heartbeats, wire_bytes, plan, fullest = (
                measure_demand_changes(members, 10, steady)
            )
            load = "steady" if steady else "demand moves every 5 s"
            print(
                f"{members} members, {load}: {records:.1f} records/s and {disk_bytes / 1000:.1f} kB/s to "
                f"disk, {heartbeats:.0f} heartbeats/s with {wire_bytes / 1000:.1f} kB/s of budget data, "
                f"{plan:.2f} ms per plan, fullest window {fullest:.3f} of the budget"
            )


if __name__ == "__main__":
    main()
