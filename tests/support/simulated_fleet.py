"""Simulates a fleet of dispatchers and one destination that goes down and returns cold, on an
injected clock.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from math import sqrt
from random import Random

from rainfall.dispatch import (
    AttemptFinished,
    DestinationKind,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    Event,
    FailMessage,
    MessageClass,
    MessageReceived,
    MessageRestored,
    OutageRestored,
    Outcome,
    RecordOutage,
    RejectMessage,
    SendMessage,
    SetTimer,
    Settings,
    TimerExpired,
)

MS, S = 1_000, 1_000_000
ITEM_WEIGHT = (
    0.23  # of each further message of a call: the largest value of the given sites
)
FALL_US, WARM_US, COLD_FROM, FACTOR = 3 * S, 11 * S, 0.14, 2.5
DESTINATION = 10


@dataclass(frozen=True)
class Scenario:
    """Parameters of one simulation; everything else is drawn from the seed."""

    forwarders: int
    n: float
    """Calls in FALL_US that the settings permit at the moment of recovery."""
    seed: int = 1
    every_us: int = 2 * S
    """Mean interval between arrivals at one forwarder."""
    burst: int = 1
    """Messages that arrive together."""
    batch: int = 1
    endpoints: int = 1
    apart: bool = False
    hangs: bool = False
    outage_us: int = 40 * S
    weight_factor: float = 1.0
    """The endpoint weight, as a multiple of the true capacity; 0 if weights are not known."""
    restart: float = 0.0
    """Share of the forwarders that restart, in the last second of the outage."""
    restart_late: bool = False
    """Restarts happen 2 to 3 s after recovery instead."""
    late_list: bool = False
    """Half of the forwarders receive the endpoint list only within 3 s of the recovery."""

    @property
    def capacity(self) -> float:
        """The warm capacity in calls per second."""
        return self.n / (FACTOR * COLD_FROM * FALL_US / S)

    def allowed(self, since_us: int) -> float:
        """Returns the calls in FALL_US permitted at a time after recovery."""
        share = min(1.0, COLD_FROM + (1 - COLD_FROM) * since_us / WARM_US)
        return FACTOR * share * self.capacity * FALL_US / S


def bound(n: float) -> float:
    return n + 2 * sqrt(n) + 2


@dataclass
class Verdict:
    count: float = 0.0
    """Calls of informed forwarders in FALL_US where they are largest relative to `limit`.

    A forwarder is informed if it had a failed call in the outage. A call of several messages
    counts by weight.
    """
    limit: float = 1.0
    calls: int = 0
    """Calls from recovery until the destination is warm."""
    first_call_us: int = -1
    """Time from recovery to the first call of an informed forwarder; -1 if there is none."""
    delivered: int = 0
    fleet_ratio: float = 0.0
    """The largest ratio of the calls of all forwarders in FALL_US to their limit."""
    pushed: bool = False
    """Whether some span exceeded its limit with over two thirds of the calls from informed
    forwarders.
    """

    @property
    def limit_ratio(self) -> float:
        return self.count / self.limit


@dataclass
class Forwarder:
    d: Dispatcher
    number: int
    timer: int = -1
    version: int = 0
    learned: set[int] = field(default_factory=set)
    """Endpoints (or -1, the destination) on which a call of it failed in the outage."""
    outages: dict[int, tuple[int, int]] = field(default_factory=dict)
    open: dict[str, MessageReceived] = field(default_factory=dict)
    attempts: Counter[str] = field(default_factory=Counter)


class Fleet:
    """Processes events in time order: arrivals, ends of calls, timers, restarts."""

    def __init__(self, play: Scenario) -> None:
        self.p, self.r = play, Random(play.seed)
        self.returns = self.r.randrange(8 * S, 8 * S + 2 * S) + play.outage_us
        self.down = self.returns - play.outage_us
        self.heap: list[tuple[int, int, str, int, object]] = []
        self.count = 0
        self.seen: list[tuple[int, int, float, bool]] = []
        """(time, unit, weight, whether its forwarder was informed) of each call since recovery."""
        self.delivered = 0
        settings = self.settings()
        self.fleet = [
            Forwarder(Dispatcher(settings, self.r.randrange(1 << 30), 0), n)
            for n in range(play.forwarders)
        ]
        for f in self.fleet:
            late = play.late_list and f.number % 2
            at = (
                self.returns + self.r.randrange(-3 * S, 3 * S)
                if late
                else self.r.randrange(100 * MS)
            )
            self.put(at, "list", f.number, None)
            self.put(max(at, self.r.randrange(play.every_us)), "ask", f.number, None)
            if self.r.random() < play.restart:
                at = (
                    self.returns
                    + (2 * S if play.restart_late else -S)
                    + self.r.randrange(S)
                )
                self.put(at, "restart", f.number, None)

    def settings(self) -> Settings:
        play = self.p
        return Settings(
            max_in_flight=8,
            classes=(
                MessageClass("safe", S, 5 * S),
                MessageClass("long", 4 * S, 16 * S),
            ),
            destination_kinds=(DestinationKind("kind", play.batch, play.apart),),
            forwarder_count=play.forwarders,
            max_open_messages=200,
            max_attempts=8,
            allow_cancel=True,
            send_retry_after=True,
            max_retry_after_us=3 * S,
            endpoint_weights_known=play.weight_factor > 0,
            overload_factor=FACTOR,
            overload_window_us=FALL_US,
            cold_capacity_share=COLD_FROM,
            warm_up_us=WARM_US,
            idle_connection_us=10 * S,
        )

    def entries(self) -> tuple[EndpointEntry, ...]:
        weight = self.p.capacity * self.p.weight_factor if self.p.weight_factor else 1.0
        return tuple(
            EndpointEntry(n, DESTINATION, "", "kind", weight=weight)
            for n in range(self.p.endpoints)
        )

    def put(self, at: int, what: str, number: int, more: object) -> None:
        self.count += 1
        heappush(self.heap, (at, self.count, what, number, more))

    def run(self) -> Verdict:
        until = self.returns + WARM_US
        while self.heap and self.heap[0][0] <= until:
            now, _, event_kind, number, details = heappop(self.heap)
            forwarder = self.fleet[number]
            match event_kind:
                case "ask":
                    self.handle(forwarder, now, self.arrivals(forwarder, now))
                    self.put(
                        now + 1 + int(self.r.expovariate(1 / self.p.every_us)),
                        "ask",
                        number,
                        None,
                    )
                case "list":
                    self.handle(
                        forwarder,
                        now,
                        [
                            EndpointListChanged(
                                EndpointListKind.SNAPSHOT, self.entries()
                            )
                        ],
                    )
                    for scope in (
                        forwarder.d.state.throttle_scopes.values()
                    ):  # as after hours of successes, when pacing has little effect
                        scope.even_shares = float(self.p.forwarders)
                case "timer" if details == forwarder.version:
                    self.handle(forwarder, now, [TimerExpired("look")])
                case "end" if isinstance(details, tuple) and details[0] is forwarder.d:
                    self.end(forwarder, now, details[1], details[2])
                case "restart":
                    self.restart(forwarder, now)
        return self.verdict()

    def arrivals(self, forwarder: Forwarder, now: int) -> list[Event]:
        events: list[Event] = []
        for _ in range(self.p.burst):
            self.count += 1
            name, time_left_us = (
                (f"m{self.count}", 5 * S)
                if self.r.random() < 0.5
                else (f"l{self.count}", 16 * S)
            )
            event = MessageReceived(
                name,
                DESTINATION,
                "safe" if time_left_us == 5 * S else "long",
                now + time_left_us,
            )
            forwarder.open[name] = event
            events.append(event)
        return events

    def handle(self, forwarder: Forwarder, now: int, events: list[Event]) -> None:
        calls: dict[int, list[SendMessage]] = {}
        for action in forwarder.d.handle(now, events):
            match action:
                case SendMessage():
                    call = calls.get(action.endpoint)
                    if call is None or len(call) >= self.p.batch:
                        call = calls[action.endpoint] = []
                        self.put(now, "sent", forwarder.number, None)
                        self.begin(forwarder, now, action.endpoint, call)
                    call.append(action)
                case RejectMessage() | FailMessage():
                    forwarder.open.pop(action.message_id, None)
                case SetTimer():
                    forwarder.version += 1
                    self.put(
                        now + action.delay_us,
                        "timer",
                        forwarder.number,
                        forwarder.version,
                    )
                case RecordOutage():
                    forwarder.outages[action.endpoint] = (
                        action.started_at_us,
                        action.recovered_at_us,
                    )
                case _:
                    pass

    def begin(
        self, forwarder: Forwarder, now: int, target: int, messages: list[SendMessage]
    ) -> None:
        """Schedules the end of a call. Its outcome depends on the time at which it is sent;
        messages are added to it until the round ends.
        """
        up = not self.down <= now < self.returns
        if up:
            took, outcome = 100 * MS, Outcome.DELIVERED
        elif self.p.hangs:
            took, outcome = -1, Outcome.TIMED_OUT
        else:
            took, outcome = 20 * MS, Outcome.NO_CONNECTION
        if now >= self.returns:
            unit = target if self.p.apart else -1
            self.seen.append((now, unit, 0.0, unit in forwarder.learned))
            self.put(
                now,
                "end",
                forwarder.number,
                (forwarder.d, (messages, len(self.seen) - 1), None),
            )
        self.put(
            now + max(took, 1),
            "end",
            forwarder.number,
            (forwarder.d, (messages, outcome, now, took), None),
        )

    def end(self, forwarder: Forwarder, now: int, call: tuple, _: object) -> None:  # type: ignore[type-arg]
        if len(call) == 2:  # the round is over: the call has all its messages
            messages, index = call
            sent_at, unit, _weight, informed = self.seen[index]
            self.seen[index] = (
                sent_at,
                unit,
                1 + ITEM_WEIGHT * (len(messages) - 1),
                informed,
            )
            return
        messages, outcome, sent, took = call
        if took < 0:
            longest = min(message.timeout_us for message in messages)
            self.put(
                sent + longest,
                "end",
                forwarder.number,
                (forwarder.d, (messages, outcome, sent, longest), None),
            )
            return
        events: list[Event] = []
        for message in messages:
            closed = outcome is Outcome.DELIVERED
            if closed:
                forwarder.open.pop(message.message_id, None)
                self.delivered += now >= self.returns
            events.append(
                AttemptFinished(
                    message.message_id,
                    forwarder.attempts[message.message_id],
                    message.endpoint,
                    outcome,
                    took,
                    closed,
                )
            )
            forwarder.attempts[message.message_id] += 1
        if outcome is not Outcome.DELIVERED:
            forwarder.learned.add(messages[0].endpoint if self.p.apart else -1)
        self.handle(forwarder, now, events)

    def restart(self, forwarder: Forwarder, now: int) -> None:
        """Kills and restarts a forwarder: calls in flight are lost, recorded outages are kept."""
        forwarder.d, forwarder.version = (
            Dispatcher(self.settings(), self.r.randrange(1 << 30), now),
            forwarder.version + 1,
        )
        forwarder.attempts = Counter()
        self.handle(
            forwarder,
            now,
            [
                EndpointListChanged(EndpointListKind.SNAPSHOT, self.entries()),
                *(
                    MessageRestored(
                        message.message_id,
                        message.destination,
                        message.class_name,
                        message.deadline_us,
                    )
                    for message in forwarder.open.values()
                    if message.deadline_us > now
                ),
                *(
                    OutageRestored(endpoint, *outage)
                    for endpoint, outage in forwarder.outages.items()
                    if outage[0] >= 0
                ),
            ],
        )

    def verdict(self) -> Verdict:
        best = Verdict(calls=len(self.seen), delivered=self.delivered)
        best.first_call_us = min(
            (
                sent_at - self.returns
                for sent_at, _, _, informed in self.seen
                if informed
            ),
            default=-1,
        )
        for unit in {unit for _, unit, _, _ in self.seen}:
            calls = [
                (sent_at, weight, informed)
                for sent_at, call_unit, weight, informed in self.seen
                if call_unit == unit
            ]
            times, sums, informed_sums = (
                [sent_at for sent_at, _, _ in calls],
                [0.0],
                [0.0],
            )
            for _, weight, informed in calls:
                sums.append(sums[-1] + weight)
                informed_sums.append(informed_sums[-1] + weight * informed)
            for index, sent_at in enumerate(times):
                first = bisect_right(times, sent_at - FALL_US)
                count, total = (
                    informed_sums[index + 1] - informed_sums[first],
                    sums[index + 1] - sums[first],
                )
                limit = bound(self.p.allowed(sent_at - self.returns))
                if count / limit > best.limit_ratio:
                    best.count, best.limit = count, limit
                best.fleet_ratio = max(best.fleet_ratio, total / limit)
                best.pushed |= total > limit and count > total * 2 / 3
        return best


def simulate(play: Scenario) -> Verdict:
    return Fleet(play).run()


def every(forwarders: int) -> int:
    """Returns an arrival interval at which each forwarder almost always has messages queued."""
    return max(500 * MS, forwarders * 40 * MS)


def scene(times: int = 1, **more: object) -> Callable[[int, float, int], Scenario]:
    def play(forwarders: int, n: float, seed: int) -> Scenario:
        return Scenario(forwarders, n, seed, times * every(forwarders), **more)  # type: ignore[arg-type]

    return play


def thin(forwarders: int, n: float, seed: int) -> Scenario:
    """Returns a simulation whose messages arrive at 80% of the warm capacity."""
    play = Scenario(forwarders, n, seed, outage_us=10 * S, hangs=True)
    return replace(play, every_us=int(forwarders * S / (0.8 * play.capacity)))


SCENES: dict[str, Callable[[int, float, int], Scenario]] = {
    "long": scene(outage_us=25 * S),
    "short": scene(outage_us=6 * S),
    "hangs": scene(outage_us=10 * S, hangs=True),
    "thin": thin,
    "batch": scene(4, outage_us=15 * S, batch=20, burst=8),
    "shared": scene(outage_us=15 * S, endpoints=3, hangs=True),
    "apart": scene(outage_us=15 * S, endpoints=3, apart=True),
    "restart": scene(outage_us=15 * S, restart=0.7),
    "restart-late": scene(outage_us=15 * S, restart=0.7, restart_late=True),
    "late-list": scene(outage_us=15 * S, late_list=True),
    "rough": scene(outage_us=15 * S, weight_factor=1.5),
    "untold": scene(outage_us=15 * S, weight_factor=0.0),
}
