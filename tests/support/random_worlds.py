"""Worlds drawn from a seed that play a dispatcher for a while: clients, targets, lists,
operators, restarts.

`python -m tests.support.random_worlds > tests/replay.json` records anew: right only where behaviour
was meant to change.
"""

from __future__ import annotations

import hashlib
import json
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from rainfall.dispatch import (
    NEVER_EXECUTED,
    Action,
    AttemptFinished,
    CancelAttempt,
    DestinationKind,
    Dispatcher,
    EndpointDisabled,
    EndpointEnabled,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    EndpointState,
    Event,
    FailMessage,
    HealthCheckFinished,
    Idempotency,
    IdempotencyScope,
    LoadReport,
    MessageClass,
    MessageReceived,
    MessageRestored,
    MessageWithdrawn,
    NotificationAcknowledged,
    NotificationPending,
    OutageRestored,
    Outcome,
    RecordOutage,
    RejectMessage,
    SendMessage,
    SetTimer,
    Settings,
    SettingsChanged,
    SnapshotRestored,
    Tenant,
    TimerExpired,
)
from tests.support.recorded_names import recorded_name, recorded_text

MS, S = 1_000, 1_000_000
SEEDS = range(2, 46)
ROUNDS = 300
ASKED = 20
"""Rounds between two looks at what the dispatcher remembers and says of its targets."""
MOODS = (
    *[o for o in Outcome if o is not Outcome.CANCELED],
    *[Outcome.DELIVERED] * 9,
)


@dataclass
class Told:
    """What the host knows of a message."""

    event: MessageReceived
    cls: MessageClass
    most: int
    attempts: int = 0
    ran_at: int = -1
    ran_on: int = -1


@dataclass
class Out:
    message: str
    attempt: int
    target: int
    sent: int
    outcome: Outcome
    ends: int


class World:
    """What happens follows from the seed and from what the dispatcher does."""

    def __init__(
        self, seed: int, make: Callable[[Settings, int, int], Dispatcher]
    ) -> None:
        self.seed, self.make, self.r = seed, make, Random(seed)
        self.now = self.r.randrange(100 * S)
        self.s = self.settings()
        self.d = make(self.s, seed, self.now)
        self.busy, self.full = self.pick(0.1, 0.4, 0.7), self.pick(0.0, 0.0, 0.9)
        self.entries = {
            n: EndpointEntry(
                n,
                10 + n % 5,
                self.pick("north", "north", "south"),
                KINDS[n % 5],
                weight=self.pick(0.0, 3.0, 99.0),
            )
            for n in range(self.pick(4, 8, 14))
        }
        self.moods = dict.fromkeys(
            self.entries, Outcome.REJECTED if self.full else Outcome.DELIVERED
        )
        self.limits = {n: self.pick(0.0, 0.0, 9.0, 99.0) for n in self.entries}
        self.open: dict[str, Told] = {}
        self.out: list[Out] = []
        self.timer = 0
        self.detached: set[int] = set()
        self.outages: dict[int, tuple[int, int]] = {}
        self.owed: deque[tuple[str, str]] = deque()
        self.asked = 0
        self.next: list[Event] = [
            EndpointListChanged(
                self.pick(EndpointListKind.CACHED, EndpointListKind.SNAPSHOT),
                tuple(self.entries.values()),
            )
        ]

    def pick(self, *among: Any) -> Any:
        return among[int(self.r.random() * len(among))]

    def luck(self, chance: float) -> bool:
        return self.r.random() < chance

    def settings(self) -> Settings:
        aim, deadline = self.pick(300 * MS, S, 2 * S), self.pick(3 * S, 8 * S)
        late, keyed = self.pick(0.0, 0.5), Idempotency.WITH_KEY
        return Settings(
            max_in_flight=self.pick(1, 4, 16, 80),
            forwarder_count=(1, 2, 3, 9, 40, 300)[self.seed % 6],
            classes=(
                MessageClass("safe", aim, deadline, late_priority_weight=late),
                *(
                    MessageClass(
                        scope.value,
                        aim,
                        deadline + S,
                        keyed,
                        scope,
                        self.pick(100 * MS, 4 * S),
                    )
                    for scope in IdempotencyScope
                ),
                MessageClass("once", 2 * aim, deadline, Idempotency.AT_MOST_ONCE),
                MessageClass(
                    "turns",
                    aim,
                    deadline,
                    keyed,
                    IdempotencyScope.ALL,
                    9 * S,
                    ordered=True,
                ),
                MessageClass(
                    "single", aim, deadline, Idempotency.AT_MOST_ONCE, ordered=True
                ),
            ),
            destination_kinds=(
                DestinationKind("lots", max_batch_size=self.pick(2, 4)),
                DestinationKind("ways", endpoint_scoped=self.luck(0.8)),
                DestinationKind(
                    "plain",
                    max_batch_size=self.pick(1, 1, 3),
                    endpoint_scoped=self.luck(0.1),
                ),
            ),
            tenants=(
                Tenant("big", 20.0),
                Tenant("small", self.pick(0.5, 5.0)),
                Tenant("free", 0.0),
            ),
            zone_costs={"north": 0.5},
            max_open_messages=self.pick(20, 1000),
            max_attempts=self.pick(2, 6, 10**6),
            allow_cancel=self.luck(0.8),
            send_retry_after=self.luck(0.8),
            max_retry_after_us=2 * S,
            subscribe_endpoint_list=self.luck(0.5),
            endpoint_weights_known=self.luck(0.3),
            over_quota_weight=self.pick(0.1, 0.1, 1.0),
            late_weight_halves=self.luck(0.5),
            overload_factor=self.pick(0.0, 2.0),
            overload_window_us=self.pick(0, 400 * MS),
            cold_capacity_share=self.pick(0.02, 0.2, 1.0),
            warm_up_us=self.pick(0, 3 * S),
            key_backoff_us=300 * MS,
            idle_connection_us=self.pick(0, 5 * S, 60 * S),
            notifications_acknowledged=self.luck(0.5),
        )

    def play(self, rounds: int) -> Iterator[tuple[int, list[Event], list[Action]]]:
        for n in range(rounds):
            events, self.next = self.next + self.happened(), []
            actions = self.d.handle(self.now, events)
            yield self.now, events, actions
            self.carry_out(actions)
            if n % 100 == 60:
                self.hand_over() if self.luck(0.5) else self.restart()
            step = self.pick(MS, 5 * MS, 20 * MS, 60 * MS, 60 * MS)
            first = min([o.ends for o in self.out] + [max(self.timer, self.now + MS)])
            if not self.out and self.luck(0.01):
                step = self.pick(2 * S, 40 * S)
            elif self.luck(0.3) and first > self.now:
                step = min(first - self.now, 4 * S)
            self.now += step

    def happened(self) -> list[Event]:
        events: list[Event] = []
        while self.luck(self.busy):
            events.append(self.arrival())
        for o in [o for o in self.out if o.ends <= self.now]:
            events.append(self.end(o))
        if self.timer and self.timer <= self.now:
            events.append(TimerExpired("look"))
        if self.luck(0.06):
            target = self.pick(*self.entries)
            self.moods[target] = (
                Outcome.REJECTED if self.luck(self.full) else self.pick(*MOODS)
            )
            if self.luck(0.2):
                self.moods = dict.fromkeys(self.entries, self.moods[target])
        while self.owed and self.luck(0.3):
            events.append(NotificationAcknowledged(self.owed.popleft()[0]))
        if self.luck(0.12):
            events += self.odd()
        return events

    def arrival(self) -> MessageReceived:
        cls = self.pick(*self.s.classes)
        self.asked += 1
        life = (
            cls.deadline_us
            if self.luck(0.8)
            else self.r.randrange(-5 * MS, cls.deadline_us)
        )
        event = MessageReceived(
            f"m{self.asked}",
            10 + int(6 * self.r.random() ** 2),
            cls.name,
            self.now + life,
            self.pick("k", "l", None),
            self.pick("big", "small", "free", "other", None),
        )
        if self.luck(0.01):
            return replace(event, class_name="unheard of")
        self.open[event.message_id] = Told(event, cls, self.s.max_attempts)
        return event

    def end(self, o: Out) -> AttemptFinished:
        self.out.remove(o)
        outcome = o.outcome
        closed = (
            outcome is Outcome.DELIVERED
            or o.message not in self.open
            or self.luck(0.02)
        )
        wait = self.pick(0, 0, 400 * MS, 3 * S) if outcome is Outcome.REJECTED else 0
        limit = self.limits.get(o.target, 0.0)
        told = LoadReport(self.r.random(), limit) if self.luck(0.3) else None
        m = self.open.get(o.message)
        if m is not None and outcome not in NEVER_EXECUTED and m.ran_at < 0:
            m.ran_at, m.ran_on = o.sent, o.target
        if closed:
            self.open.pop(o.message, None)
        return AttemptFinished(
            o.message,
            o.attempt,
            o.target,
            outcome,
            self.now - o.sent,
            closed,
            wait,
            told,
            self.luck(0.1),
        )

    def odd(self) -> list[Event]:
        """What clients, the list and operators do now and then."""
        target = self.pick(*self.entries)
        entry = self.entries[target]
        what = int(self.r.random() * 12)
        if what == 0:
            state = self.pick(*EndpointState, EndpointState.SERVING)
            moved = replace(
                entry,
                destination=10 + int(5 * self.r.random()),
                weight=self.pick(0.0, 9.0),
            )
            self.entries[target] = replace(
                moved if self.luck(0.2) else entry, state=state
            )
            return [
                EndpointListChanged(EndpointListKind.CHANGES, (self.entries[target],))
            ]
        if what == 1:
            left = tuple(e for e in self.entries.values() if self.luck(0.9))
            return [EndpointListChanged(EndpointListKind.SNAPSHOT, left)]
        if what == 2:
            self.entries = {
                n: replace(e, state=EndpointState.SERVING)
                for n, e in self.entries.items()
            }
            return [
                EndpointListChanged(
                    EndpointListKind.SNAPSHOT, tuple(self.entries.values())
                )
            ]
        if what == 3:
            return [
                EndpointListChanged(EndpointListKind.FAILED)
                for _ in range(self.pick(1, 3))
            ]
        if what == 4 and self.open:
            gone = self.open.pop(self.pick(*self.open)).event.message_id
            return [MessageWithdrawn(gone), MessageWithdrawn(gone)]
        if what == 5:
            self.detached.add(target)
            return [EndpointDisabled(target)]
        if what in (6, 7, 8):
            back = self.pick(target, *sorted(self.detached))
            self.detached.discard(back)
            return [EndpointEnabled(back)]
        if what == 9:
            self.s = replace(
                self.settings(), max_open_messages=self.s.max_open_messages
            )
            return [SettingsChanged(self.s)]
        if (
            what == 10 and self.seed % 4 == 0
        ):  # a list that replaces its targets again and again
            fresh = {
                n: EndpointEntry(n, 12, "north", self.pick("ways", "plain"))
                for n in range(self.asked * 1000, self.asked * 1000 + 150)
            }
            return [
                EndpointListChanged(EndpointListKind.CHANGES, tuple(fresh.values())),
                EndpointListChanged(
                    EndpointListKind.SNAPSHOT, tuple(self.entries.values())
                ),
            ]
        return [
            NotificationAcknowledged("stranger"),
            HealthCheckFinished(target, Outcome.DELIVERED, 5),
            EndpointEnabled(999),
            AttemptFinished("stranger", 0, target, Outcome.FAILED, 9),
            OutageRestored(999, 0),
        ]

    def carry_out(self, actions: list[Action]) -> None:
        ends: dict[int, tuple[Outcome, int]] = {}
        for a in actions:
            if (
                isinstance(a, SendMessage) and a.message_id in self.open
            ):  # not so where too little was remembered
                m = self.open[a.message_id]
                if a.endpoint not in ends:
                    mood = self.moods.get(a.endpoint, Outcome.DELIVERED)
                    slow = self.luck(0.1) or mood is Outcome.TIMED_OUT
                    took = (
                        self.r.randrange(2 * S)
                        if slow
                        else self.r.randrange(MS, 100 * MS)
                    )
                    ends[a.endpoint] = (
                        mood if self.luck(0.8) else Outcome.DELIVERED,
                        took,
                    )
                    if self.luck(0.04):  # its connection is lost and tells nothing
                        ends[a.endpoint] = (Outcome.TIMED_OUT, 0)
                outcome, took = ends[a.endpoint]
                if outcome is Outcome.TIMED_OUT or took >= a.timeout_us:
                    outcome, took = Outcome.TIMED_OUT, a.timeout_us
                self.out.append(
                    Out(
                        a.message_id,
                        m.attempts,
                        a.endpoint,
                        self.now,
                        outcome,
                        self.now + took,
                    )
                )
                m.attempts += 1
            elif isinstance(a, RejectMessage | FailMessage):
                over = self.open.pop(a.message_id, None)
                if (
                    over
                    and self.s.notifications_acknowledged
                    and over.event.ordering_key
                    and over.cls.ordered
                ):
                    self.owed.append((a.message_id, over.event.ordering_key))
            elif isinstance(a, SetTimer):
                self.timer = self.now + a.delay_us
            elif isinstance(a, CancelAttempt):
                out = [
                    o
                    for o in self.out
                    if (o.message, o.attempt) == (a.message_id, a.attempt)
                ]
                assert (
                    out or a.message_id not in self.open
                )  # sent though over: see above
                for o in out:
                    o.outcome, o.ends = (
                        Outcome.CANCELED,
                        self.now + self.pick(0, 100 * MS),
                    )
            elif isinstance(a, RecordOutage):
                self.outages[a.endpoint] = (a.started_at_us, a.recovered_at_us)

    def recalled(self, cut_off: set[str]) -> Iterator[Event]:
        yield EndpointListChanged(
            EndpointListKind.SNAPSHOT,
            tuple(e for e in self.entries.values() if self.luck(0.9)),
        )
        yield from map(EndpointDisabled, sorted(self.detached))
        for name, m in self.open.items():
            e = m.event
            cls, most = self.pick(m.cls, None), self.pick(m.most, 0)
            yield MessageRestored(
                name,
                e.destination,
                e.class_name,
                e.deadline_us,
                e.ordering_key,
                e.tenant,
                m.attempts,
                m.ran_at,
                m.ran_on,
                name in cut_off,
                cls,
                most,
            )
        yield MessageRestored("old", 10, "unheard of", self.now + S)
        yield from (NotificationPending(name, key) for name, key in self.owed)
        yield from (OutageRestored(n, *o) for n, o in self.outages.items() if o[0] >= 0)

    def restart(self) -> None:
        """Killed: what was out may have run."""
        for o in self.out:
            m = self.open.get(o.message)
            if m is not None and m.ran_at < 0:
                m.ran_at, m.ran_on = o.sent, o.target
        cut, self.out = {o.message for o in self.out}, []
        self.d, self.timer = self.make(self.s, self.seed + self.now, self.now), 0
        self.next = list(self.recalled(cut))

    def hand_over(self) -> None:
        """Another process goes on; calls stay out, and some that it is told nothing
        of.
        """
        out = {(o.message, o.attempt) for o in self.out if self.luck(0.9)}
        memory = json.loads(json.dumps(self.d.snapshot(out)))
        if self.luck(0.2):
            del memory[self.pick(*memory)]
        self.d, self.timer = self.make(self.s, self.seed + self.now, self.now), 0
        self.next = [*self.recalled(set()), SnapshotRestored(memory)]
        self.out = [o for o in self.out if (o.message, o.attempt) in out]


KINDS = ("plain", "lots", "ways", "ways", "other")


@dataclass(frozen=True)
class Round:
    now: int
    events: list[Event]
    actions: list[Action]
    digest: str
    """Of all until then."""


def play(
    seed: int, make: Callable[[Settings, int, int], Dispatcher] = Dispatcher
) -> Iterator[Round]:
    """Every action of one world with its time, and now and then what its dispatcher
    remembers and says.
    """
    world, sum_of_all = World(seed, make), hashlib.sha256()
    for n, (now, events, actions) in enumerate(world.play(ROUNDS)):
        sum_of_all.update(
            f"{now} {world.d.state.events_applied} {recorded_text(actions)}\n".encode()
        )
        if n % ASKED == ASKED - 1:
            d = world.d
            serving = [
                t for targets in d.state.serving_endpoints.values() for t in targets
            ]
            said = [
                (t.id, d.is_avoided(t.id), d.in_slow_start(t), d.ramp_interval(t))
                for t in serving
            ]
            kept = d.snapshot({(o.message, o.attempt) for o in world.out})
            drawn = hashlib.sha256(repr(d.state.random.getstate()).encode()).hexdigest()
            sum_of_all.update(
                f"{said} {kept} {d.state.calls_in_flight} {drawn}\n".encode()
            )
        yield Round(now, events, actions, sum_of_all.hexdigest())


def record(
    seed: int, make: Callable[[Settings, int, int], Dispatcher] = Dispatcher
) -> dict[str, Any]:
    """What is kept of one world: the first digits of each round's digest, the last
    whole, actions by kind.
    """
    rounds = list(play(seed, make))
    kinds = Counter(recorded_name(a) for r in rounds for a in r.actions)
    return {
        "seed": seed,
        "sha256": rounds[-1].digest,
        "actions": dict(sorted(kinds.items())),
        "rounds": "".join(r.digest[:4] for r in rounds),
    }


if __name__ == "__main__":
    print("[\n" + ",\n".join(json.dumps(record(seed)) for seed in SEEDS) + "\n]")
