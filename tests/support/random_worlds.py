"""Randomized simulations of a dispatcher's environment, derived from a seed: clients,
endpoints, endpoint lists, operators and restarts.

`python -m tests.support.random_worlds > tests/replay.json` records the reference data again.
Run it only after an intended change of behaviour.
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
"""Rounds between two digests of the dispatcher's snapshot and of its endpoints' health."""
MOODS = (
    *[o for o in Outcome if o is not Outcome.CANCELED],
    *[Outcome.DELIVERED] * 9,
)


@dataclass
class Told:
    """The host's record of an open message."""

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
    """A dispatcher's environment, determined by the seed and by the dispatcher's actions."""

    def __init__(
        self, seed: int, make: Callable[[Settings, int, int], Dispatcher]
    ) -> None:
        self.seed, self.make, self.r = seed, make, Random(seed)
        self.now = self.r.randrange(100 * S)
        self.s = self.settings()
        self.dispatcher = make(self.s, seed, self.now)
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
        self.in_flight: list[Out] = []
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
                        self.pick(200 * MS, 4100 * MS),
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
        for round_number in range(rounds):
            events, self.next = self.next + self.happened(), []
            actions = self.dispatcher.handle(self.now, events)
            yield self.now, events, actions
            self.carry_out(actions)
            if round_number % 100 == 60:
                self.hand_over() if self.luck(0.5) else self.restart()
            step = self.pick(MS, 5 * MS, 20 * MS, 60 * MS, 60 * MS)
            first = min(
                [attempt.ends for attempt in self.in_flight]
                + [max(self.timer, self.now + MS)]
            )
            if not self.in_flight and self.luck(0.01):
                step = self.pick(2 * S, 40 * S)
            elif self.luck(0.3) and first > self.now:
                step = min(first - self.now, 4 * S)
            self.now += step

    def happened(self) -> list[Event]:
        events: list[Event] = []
        while self.luck(self.busy):
            events.append(self.arrival())
        for attempt in [
            attempt for attempt in self.in_flight if attempt.ends <= self.now
        ]:
            events.append(self.end(attempt))
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
        time_left_us = (
            cls.deadline_us
            if self.luck(0.8)
            else self.r.randrange(-5 * MS, cls.deadline_us)
        )
        event = MessageReceived(
            f"m{self.asked}",
            10 + int(6 * self.r.random() ** 2),
            cls.name,
            self.now + time_left_us,
            self.pick("k", "l", None),
            self.pick("big", "small", "free", "other", None),
        )
        if self.luck(0.01):
            return replace(event, class_name="unheard of")
        self.open[event.message_id] = Told(event, cls, self.s.max_attempts)
        return event

    def end(self, attempt: Out) -> AttemptFinished:
        self.in_flight.remove(attempt)
        outcome = attempt.outcome
        closed = (
            outcome is Outcome.DELIVERED
            or attempt.message not in self.open
            or self.luck(0.02)
        )
        retry_after_us = (
            self.pick(0, 0, 400 * MS, 3 * S) if outcome is Outcome.REJECTED else 0
        )
        limit = self.limits.get(attempt.target, 0.0)
        load_report = LoadReport(self.r.random(), limit) if self.luck(0.3) else None
        message = self.open.get(attempt.message)
        if message is not None and outcome not in NEVER_EXECUTED and message.ran_at < 0:
            message.ran_at, message.ran_on = attempt.sent, attempt.target
        if closed:
            self.open.pop(attempt.message, None)
        return AttemptFinished(
            attempt.message,
            attempt.attempt,
            attempt.target,
            outcome,
            self.now - attempt.sent,
            closed,
            retry_after_us,
            load_report,
            self.luck(0.1),
        )

    def odd(self) -> list[Event]:
        """Returns rare events of clients, the endpoint list, operators and unknown senders."""
        target = self.pick(*self.entries)
        entry = self.entries[target]
        choice = int(self.r.random() * 12)
        if choice == 0:
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
        if choice == 1:
            left = tuple(listed for listed in self.entries.values() if self.luck(0.9))
            return [EndpointListChanged(EndpointListKind.SNAPSHOT, left)]
        if choice == 2:
            self.entries = {
                n: replace(listed, state=EndpointState.SERVING)
                for n, listed in self.entries.items()
            }
            return [
                EndpointListChanged(
                    EndpointListKind.SNAPSHOT, tuple(self.entries.values())
                )
            ]
        if choice == 3:
            return [
                EndpointListChanged(EndpointListKind.FAILED)
                for _ in range(self.pick(1, 3))
            ]
        if choice == 4 and self.open:
            withdrawn = self.open.pop(self.pick(*self.open)).event.message_id
            return [MessageWithdrawn(withdrawn), MessageWithdrawn(withdrawn)]
        if choice == 5:
            self.detached.add(target)
            return [EndpointDisabled(target)]
        if choice in (6, 7, 8):
            enabled = self.pick(target, *sorted(self.detached))
            self.detached.discard(enabled)
            return [EndpointEnabled(enabled)]
        if choice == 9:
            self.s = replace(
                self.settings(), max_open_messages=self.s.max_open_messages
            )
            return [SettingsChanged(self.s)]
        if (
            choice == 10 and self.seed % 4 == 0
        ):  # a list that repeatedly replaces its endpoints
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
        for action in actions:
            if (
                isinstance(action, SendMessage) and action.message_id in self.open
            ):  # false for messages that a truncated snapshot lost
                message = self.open[action.message_id]
                if action.endpoint not in ends:
                    mood = self.moods.get(action.endpoint, Outcome.DELIVERED)
                    slow = self.luck(0.1) or mood is Outcome.TIMED_OUT
                    took = (
                        self.r.randrange(2 * S)
                        if slow
                        else self.r.randrange(MS, 100 * MS)
                    )
                    ends[action.endpoint] = (
                        mood if self.luck(0.8) else Outcome.DELIVERED,
                        took,
                    )
                    if self.luck(0.04):  # its connection is lost without an error
                        ends[action.endpoint] = (Outcome.TIMED_OUT, 0)
                outcome, took = ends[action.endpoint]
                if outcome is Outcome.TIMED_OUT or took >= action.timeout_us:
                    outcome, took = Outcome.TIMED_OUT, action.timeout_us
                self.in_flight.append(
                    Out(
                        action.message_id,
                        message.attempts,
                        action.endpoint,
                        self.now,
                        outcome,
                        self.now + took,
                    )
                )
                message.attempts += 1
            elif isinstance(action, RejectMessage | FailMessage):
                finished = self.open.pop(action.message_id, None)
                if (
                    finished
                    and self.s.notifications_acknowledged
                    and finished.event.ordering_key
                    and finished.cls.ordered
                ):
                    self.owed.append((action.message_id, finished.event.ordering_key))
            elif isinstance(action, SetTimer):
                self.timer = self.now + action.delay_us
            elif isinstance(action, CancelAttempt):
                out = [
                    attempt
                    for attempt in self.in_flight
                    if (attempt.message, attempt.attempt)
                    == (action.message_id, action.attempt)
                ]
                assert (
                    out or action.message_id not in self.open
                )  # sent after its end: see SendMessage above
                for attempt in out:
                    attempt.outcome, attempt.ends = (
                        Outcome.CANCELED,
                        self.now + self.pick(0, 100 * MS),
                    )
            elif isinstance(action, RecordOutage):
                self.outages[action.endpoint] = (
                    action.started_at_us,
                    action.recovered_at_us,
                )

    def restore_events(self, cut_off: set[str]) -> Iterator[Event]:
        yield EndpointListChanged(
            EndpointListKind.SNAPSHOT,
            tuple(e for e in self.entries.values() if self.luck(0.9)),
        )
        yield from map(EndpointDisabled, sorted(self.detached))
        for name, message in self.open.items():
            e = message.event
            cls, most = self.pick(message.cls, None), self.pick(message.most, 0)
            yield MessageRestored(
                name,
                e.destination,
                e.class_name,
                e.deadline_us,
                e.ordering_key,
                e.tenant,
                message.attempts,
                message.ran_at,
                message.ran_on,
                name in cut_off,
                cls,
                most,
            )
        yield MessageRestored("old", 10, "unheard of", self.now + S)
        yield from (NotificationPending(name, key) for name, key in self.owed)
        yield from (
            OutageRestored(endpoint, *outage)
            for endpoint, outage in self.outages.items()
            if outage[0] >= 0
        )

    def restart(self) -> None:
        """Kills the process and starts another; messages in flight may have been executed."""
        for attempt in self.in_flight:
            message = self.open.get(attempt.message)
            if message is not None and message.ran_at < 0:
                message.ran_at, message.ran_on = attempt.sent, attempt.target
        cut, self.in_flight = {attempt.message for attempt in self.in_flight}, []
        self.dispatcher, self.timer = (
            self.make(self.s, self.seed + self.now, self.now),
            0,
        )
        self.next = list(self.restore_events(cut))

    def hand_over(self) -> None:
        """Hands over to another dispatcher. Calls stay in flight, except about a tenth that the
        snapshot omits and that get no outcome.
        """
        known_attempts = {
            (attempt.message, attempt.attempt)
            for attempt in self.in_flight
            if self.luck(0.9)
        }
        snapshot = json.loads(json.dumps(self.dispatcher.snapshot(known_attempts)))
        if self.luck(0.2):
            del snapshot[self.pick(*snapshot)]
        self.dispatcher, self.timer = (
            self.make(self.s, self.seed + self.now, self.now),
            0,
        )
        self.next = [*self.restore_events(set()), SnapshotRestored(snapshot)]
        self.in_flight = [
            attempt
            for attempt in self.in_flight
            if (attempt.message, attempt.attempt) in known_attempts
        ]


KINDS = ("plain", "lots", "ways", "ways", "other")


@dataclass(frozen=True)
class Round:
    now: int
    events: list[Event]
    actions: list[Action]
    digest: str
    """SHA-256 over all rounds up to this one."""


def play(
    seed: int, make: Callable[[Settings, int, int], Dispatcher] = Dispatcher
) -> Iterator[Round]:
    """Yields the rounds of one world.

    The digest covers each round's time and actions and, every ASKED rounds, the dispatcher's
    snapshot and its endpoints' health.
    """
    world, digest = World(seed, make), hashlib.sha256()
    for round_number, (now, events, actions) in enumerate(world.play(ROUNDS)):
        digest.update(
            f"{now} {world.dispatcher.state.events_applied} {recorded_text(actions)}\n".encode()
        )
        if round_number % ASKED == ASKED - 1:
            dispatcher = world.dispatcher
            serving = [
                endpoint
                for endpoints in dispatcher.state.serving_endpoints.values()
                for endpoint in endpoints
            ]
            endpoint_health = [
                (
                    endpoint.id,
                    dispatcher.is_avoided(endpoint.id),
                    dispatcher.in_slow_start(endpoint),
                    dispatcher.ramp_interval(endpoint),
                )
                for endpoint in serving
            ]
            snapshot = dispatcher.snapshot(
                {(attempt.message, attempt.attempt) for attempt in world.in_flight}
            )
            random_state = hashlib.sha256(
                repr(dispatcher.state.random.getstate()).encode()
            ).hexdigest()
            digest.update(
                f"{endpoint_health} {snapshot} {dispatcher.state.calls_in_flight} {random_state}\n".encode()
            )
        yield Round(now, events, actions, digest.hexdigest())


def record(
    seed: int, make: Callable[[Settings, int, int], Dispatcher] = Dispatcher
) -> dict[str, Any]:
    """Returns the reference data of one world: the first four digits of each round's digest,
    the complete last digest, and the number of actions by type.
    """
    rounds = list(play(seed, make))
    kinds = Counter(
        recorded_name(action) for round_ in rounds for action in round_.actions
    )
    return {
        "seed": seed,
        "sha256": rounds[-1].digest,
        "actions": dict(sorted(kinds.items())),
        "rounds": "".join(round_.digest[:4] for round_ in rounds),
    }


if __name__ == "__main__":
    print("[\n" + ",\n".join(json.dumps(record(seed)) for seed in SEEDS) + "\n]")
