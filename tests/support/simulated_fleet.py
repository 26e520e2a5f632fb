"""A fleet of dispatchers against one destination that goes down and returns cold, by an
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
    0.23  # of each further message of a call: the most that the given sites name
)
FALL_US, WARM_US, COLD_FROM, FACTOR = 3 * S, 11 * S, 0.14, 2.5
DESTINATION = 10


@dataclass(frozen=True)
class Play:
    """One play; all else is drawn from the seed."""

    forwarders: int
    n: float
    """Calls in FALL_US that the settings allow at the very return."""
    seed: int = 1
    every_us: int = 2 * S
    """Each forwarder gets a message so often in the mean."""
    burst: int = 1
    """So many messages come together."""
    batch: int = 1
    endpoints: int = 1
    apart: bool = False
    hangs: bool = False
    outage_us: int = 40 * S
    told: float = 1.0
    """The weight told, as a multiple of the true capacity; 0 where none is told."""
    restart: float = 0.0
    """This part of the forwarders restarts, in the outage's last second."""
    restart_late: bool = False
    """They restart 2 s after the return instead."""
    late_list: bool = False
    """Half of the forwarders learn of the destination only around its return."""

    @property
    def capacity(self) -> float:
        """Calls a second."""
        return self.n / (FACTOR * COLD_FROM * FALL_US / S)

    def allowed(self, since_us: int) -> float:
        """N, so long after the return."""
        share = min(1.0, COLD_FROM + (1 - COLD_FROM) * since_us / WARM_US)
        return FACTOR * share * self.capacity * FALL_US / S


def bound(n: float) -> float:
    return n + 2 * sqrt(n) + 2


@dataclass
class Verdict:
    count: float = 0.0
    """The greatest count against its bound, and that bound."""
    limit: float = 1.0
    calls: int = 0
    """From the return until warm."""
    found_us: int = -1
    """From the return until the first call of a forwarder that had met the outage."""
    delivered: int = 0
    whole: float = 0.0
    """The same of the calls of all forwarders, as a part of its bound."""
    pushed: bool = False
    """Some span was over its bound with more than two thirds from forwarders that had
    learned.
    """

    @property
    def part(self) -> float:
        return self.count / self.limit


@dataclass
class Forwarder:
    d: Dispatcher
    number: int
    timer: int = -1
    version: int = 0
    learned: set[int] = field(default_factory=set)
    """Endpoints (or -1, the destination) of which it was told a failure in the
    outage.
    """
    outages: dict[int, tuple[int, int]] = field(default_factory=dict)
    open: dict[str, MessageReceived] = field(default_factory=dict)
    attempts: Counter[str] = field(default_factory=Counter)


class Fleet:
    """Events by time: arrivals, ends of calls, timers, restarts."""

    def __init__(self, play: Play) -> None:
        self.p, self.r = play, Random(play.seed)
        self.returns = self.r.randrange(8 * S, 8 * S + 2 * S) + play.outage_us
        self.down = self.returns - play.outage_us
        self.heap: list[tuple[int, int, str, int, object]] = []
        self.count = 0
        self.seen: list[tuple[int, int, float, bool]] = []
        """(when, unit, weight, whether its forwarder had learned) of each call that
        reached it since.
        """
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
        p = self.p
        return Settings(
            max_in_flight=8,
            classes=(
                MessageClass("safe", S, 5 * S),
                MessageClass("long", 4 * S, 16 * S),
            ),
            destination_kinds=(DestinationKind("kind", p.batch, p.apart),),
            forwarder_count=p.forwarders,
            max_open_messages=200,
            max_attempts=8,
            allow_cancel=True,
            send_retry_after=True,
            max_retry_after_us=3 * S,
            endpoint_weights_known=p.told > 0,
            overload_factor=FACTOR,
            overload_window_us=FALL_US,
            cold_capacity_share=COLD_FROM,
            warm_up_us=WARM_US,
            idle_connection_us=10 * S,
        )

    def entries(self) -> tuple[EndpointEntry, ...]:
        weight = self.p.capacity * self.p.told if self.p.told else 1.0
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
            now, _, what, number, more = heappop(self.heap)
            f = self.fleet[number]
            match what:
                case "ask":
                    self.handle(f, now, self.arrivals(f, now))
                    self.put(
                        now + 1 + int(self.r.expovariate(1 / self.p.every_us)),
                        "ask",
                        number,
                        None,
                    )
                case "list":
                    self.handle(
                        f,
                        now,
                        [
                            EndpointListChanged(
                                EndpointListKind.SNAPSHOT, self.entries()
                            )
                        ],
                    )
                    for place in (
                        f.d.state.throttle_scopes.values()
                    ):  # as after hours of successes: the pace bounds little
                        place.even_shares = float(self.p.forwarders)
                case "timer" if more == f.version:
                    self.handle(f, now, [TimerExpired("look")])
                case "end" if isinstance(more, tuple) and more[0] is f.d:
                    self.end(f, now, more[1], more[2])
                case "restart":
                    self.restart(f, now)
        return self.verdict()

    def arrivals(self, f: Forwarder, now: int) -> list[Event]:
        events: list[Event] = []
        for _ in range(self.p.burst):
            self.count += 1
            name, life = (
                (f"m{self.count}", 5 * S)
                if self.r.random() < 0.5
                else (f"l{self.count}", 16 * S)
            )
            event = MessageReceived(
                name, DESTINATION, "safe" if life == 5 * S else "long", now + life
            )
            f.open[name] = event
            events.append(event)
        return events

    def handle(self, f: Forwarder, now: int, events: list[Event]) -> None:
        calls: dict[int, list[SendMessage]] = {}
        for a in f.d.handle(now, events):
            match a:
                case SendMessage():
                    whole = calls.get(a.endpoint)
                    if whole is None or len(whole) >= self.p.batch:
                        whole = calls[a.endpoint] = []
                        self.put(now, "sent", f.number, None)
                        self.begin(f, now, a.endpoint, whole)
                    whole.append(a)
                case RejectMessage() | FailMessage():
                    f.open.pop(a.message_id, None)
                case SetTimer():
                    f.version += 1
                    self.put(now + a.delay_us, "timer", f.number, f.version)
                case RecordOutage():
                    f.outages[a.endpoint] = (a.started_at_us, a.recovered_at_us)
                case _:
                    pass

    def begin(
        self, f: Forwarder, now: int, target: int, whole: list[SendMessage]
    ) -> None:
        """What becomes of a call follows from when it is sent; its messages join until
        the round ends.
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
            self.seen.append((now, unit, 0.0, unit in f.learned))
            self.put(now, "end", f.number, (f.d, (whole, len(self.seen) - 1), None))
        self.put(
            now + max(took, 1),
            "end",
            f.number,
            (f.d, (whole, outcome, now, took), None),
        )

    def end(self, f: Forwarder, now: int, call: tuple, _: object) -> None:  # type: ignore[type-arg]
        if len(call) == 2:  # the round is over: so many joined
            whole, n = call
            at, unit, _w, knew = self.seen[n]
            self.seen[n] = (at, unit, 1 + ITEM_WEIGHT * (len(whole) - 1), knew)
            return
        whole, outcome, sent, took = call
        if took < 0:
            longest = min(a.timeout_us for a in whole)
            self.put(
                sent + longest,
                "end",
                f.number,
                (f.d, (whole, outcome, sent, longest), None),
            )
            return
        events: list[Event] = []
        for a in whole:
            closed = outcome is Outcome.DELIVERED
            if closed:
                f.open.pop(a.message_id, None)
                self.delivered += now >= self.returns
            events.append(
                AttemptFinished(
                    a.message_id,
                    f.attempts[a.message_id],
                    a.endpoint,
                    outcome,
                    took,
                    closed,
                )
            )
            f.attempts[a.message_id] += 1
        if outcome is not Outcome.DELIVERED:
            f.learned.add(whole[0].endpoint if self.p.apart else -1)
        self.handle(f, now, events)

    def restart(self, f: Forwarder, now: int) -> None:
        """Killed; the calls that were out are lost, what was told by Outage is kept."""
        f.d, f.version = (
            Dispatcher(self.settings(), self.r.randrange(1 << 30), now),
            f.version + 1,
        )
        f.attempts = Counter()
        self.handle(
            f,
            now,
            [
                EndpointListChanged(EndpointListKind.SNAPSHOT, self.entries()),
                *(
                    MessageRestored(
                        m.message_id, m.destination, m.class_name, m.deadline_us
                    )
                    for m in f.open.values()
                    if m.deadline_us > now
                ),
                *(OutageRestored(n, *o) for n, o in f.outages.items() if o[0] >= 0),
            ],
        )

    def verdict(self) -> Verdict:
        best = Verdict(calls=len(self.seen), delivered=self.delivered)
        best.found_us = min(
            (at - self.returns for at, _, _, knew in self.seen if knew), default=-1
        )
        for unit in {unit for _, unit, _, _ in self.seen}:
            calls = [(at, w, knew) for at, u, w, knew in self.seen if u == unit]
            times, sums, known = [at for at, _, _ in calls], [0.0], [0.0]
            for _, w, knew in calls:
                sums.append(sums[-1] + w)
                known.append(known[-1] + w * knew)
            for n, at in enumerate(times):
                first = bisect_right(times, at - FALL_US)
                count, whole = known[n + 1] - known[first], sums[n + 1] - sums[first]
                limit = bound(self.p.allowed(at - self.returns))
                if count / limit > best.part:
                    best.count, best.limit = count, limit
                best.whole = max(best.whole, whole / limit)
                best.pushed |= whole > limit and count > whole * 2 / 3
        return best


def played(play: Play) -> Verdict:
    return Fleet(play).run()


def every(forwarders: int) -> int:
    """Each forwarder holds messages for it nearly always."""
    return max(500 * MS, forwarders * 40 * MS)


def scene(times: int = 1, **more: object) -> Callable[[int, float, int], Play]:
    def play(forwarders: int, n: float, seed: int) -> Play:
        return Play(forwarders, n, seed, times * every(forwarders), **more)  # type: ignore[arg-type]

    return play


def thin(forwarders: int, n: float, seed: int) -> Play:
    """Messages come as the destination can take them when warm, eight tenths of it."""
    play = Play(forwarders, n, seed, outage_us=10 * S, hangs=True)
    return replace(play, every_us=int(forwarders * S / (0.8 * play.capacity)))


SCENES: dict[str, Callable[[int, float, int], Play]] = {
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
    "rough": scene(outage_us=15 * S, told=1.5),
    "untold": scene(outage_us=15 * S, told=0.0),
}
