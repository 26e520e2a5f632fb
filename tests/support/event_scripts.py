"""Events and settings for dispatcher tests, and a random script that checks the delivery rules
from the outside, without access to the dispatcher's state.
"""

from __future__ import annotations

import random
from collections import defaultdict
from typing import Any

from rainfall.dispatch import (
    NEVER_EXECUTED,
    Action,
    AttemptFinished,
    DestinationKind,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    EndpointState,
    Event,
    FailMessage,
    Idempotency,
    IdempotencyScope,
    LoadReport,
    MessageClass,
    MessageReceived,
    MessageWithdrawn,
    Outcome,
    RejectMessage,
    SendMessage,
    SetTimer,
    Settings,
    Tenant,
    TimerExpired,
)

MS = 1_000
S = 1_000_000
ROUND = 5 * MS
# a forwarder may be held up for so long between reading its clock and writing (FLEET)
LONGEST_HOLD_UP_US = 150 * MS


def settings(**changes: Any) -> Settings:
    base: dict[str, Any] = {
        "max_in_flight": 8,
        "classes": (
            MessageClass("safe", 2 * S, 6 * S),
            MessageClass(
                "keyed",
                2 * S,
                10 * S,
                Idempotency.WITH_KEY,
                IdempotencyScope.ALL,
                3 * S,
            ),
            MessageClass(
                "zoned",
                2 * S,
                10 * S,
                Idempotency.WITH_KEY,
                IdempotencyScope.ZONE,
                3 * S,
            ),
            MessageClass("once", 2 * S, 8 * S, Idempotency.AT_MOST_ONCE),
            MessageClass(
                "turns",
                2 * S,
                9 * S,
                Idempotency.WITH_KEY,
                IdempotencyScope.ALL,
                4 * S,
                ordered=True,
            ),
        ),
        "destination_kinds": (
            DestinationKind("plain"),
            DestinationKind("lots", max_batch_size=4),
            DestinationKind("ways", endpoint_scoped=True),
        ),
        "tenants": (Tenant("big", 20.0), Tenant("small", 2.0)),
        "over_quota_weight": 0.1,
        "forwarder_count": 2,
        "max_attempts": 6,
        "send_retry_after": True,
        "max_retry_after_us": 3 * S,
        "answer_grace_us": 20 * MS,
        "drain_grace_us": 500 * MS,
        "overload_factor": 2.0,
        "overload_window_us": 1_500 * MS,
        "cold_capacity_share": 0.2,
        "warm_up_us": 10 * S,
        "key_backoff_us": 300 * MS,
    }
    return Settings(**(base | changes))


ENTRIES = (
    EndpointEntry(1, 10, "north", "plain"),
    EndpointEntry(2, 10, "south", "plain"),
    EndpointEntry(3, 11, "north", "lots"),
    EndpointEntry(4, 12, "north", "ways"),
    EndpointEntry(5, 12, "south", "ways"),
)


def started_dispatcher(
    entries: tuple[EndpointEntry, ...] = ENTRIES, **changes: Any
) -> Dispatcher:
    d = Dispatcher(settings(**changes), 7, 0)
    d.handle(0, [EndpointListChanged(EndpointListKind.CACHED, entries)])
    return d


def send_actions(actions: list[Action]) -> list[SendMessage]:
    return [a for a in actions if isinstance(a, SendMessage)]


def finals(actions: list[Action]) -> list[RejectMessage | FailMessage]:
    return [a for a in actions if isinstance(a, RejectMessage | FailMessage)]


def message_received(
    name: str,
    dest: int = 10,
    class_name: str = "safe",
    deadline_us: int = 6 * S,
    **more: Any,
) -> MessageReceived:
    return MessageReceived(name, dest, class_name, deadline_us, **more)


def attempt_finished(
    send: SendMessage,
    outcome: Outcome,
    attempt: int = 0,
    duration_us: int = 100 * MS,
    **more: Any,
) -> AttemptFinished:
    closed = more.pop("message_closed", outcome is Outcome.DELIVERED)
    return AttemptFinished(
        send.message_id,
        attempt,
        send.endpoint,
        outcome,
        duration_us,
        message_closed=closed,
        **more,
    )


class Script:
    """Drives a dispatcher with random valid events and asserts the delivery rules on every
    action.
    """

    def __init__(self, dispatcher: Dispatcher, known: Settings, seed: int) -> None:
        self.d, self.s, self.r = dispatcher, known, random.Random(seed)
        self.classes = {c.name: c for c in known.classes}
        self.kinds = {k.name: k for k in known.destination_kinds}
        self.now = 0
        self.events: list[Event] = []
        self.asked: dict[str, MessageReceived] = {}
        self.open: dict[str, MessageReceived] = {}
        self.over: dict[str, int] = {}
        self.attempts: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.out: list[dict[str, Any]] = []
        self.timers: list[tuple[int, str]] = []
        self.entries = {e.endpoint: e for e in ENTRIES}
        self.left_at: dict[int, int] = {}
        self.waits: dict[tuple[int, int], int] = defaultdict(int)
        self.taken: dict[str, list[str]] = defaultdict(list)
        self.rests: dict[str, int] = defaultdict(int)
        self.log: list[Any] = []
        self.refused = self.failed = self.sent = self.delivered = 0
        self.step([EndpointListChanged(EndpointListKind.CACHED, ENTRIES)])

    def place(self, target: int) -> tuple[int, int]:
        entry = self.entries[target]
        apart = entry.kind in self.kinds and self.kinds[entry.kind].endpoint_scoped
        return (entry.destination, target if apart else -1)

    def ask(self) -> MessageReceived:
        cls = self.r.choice(self.s.classes)
        name = f"m{len(self.asked)}"
        key = f"k{self.r.randrange(4)}" if cls.ordered else None
        time_left_us = self.r.choice(
            [cls.deadline_us, self.r.randrange(-5 * MS, cls.deadline_us)]
        )
        tenant = self.r.choice(["big", "small", "stranger", None])
        event = MessageReceived(
            name,
            self.r.choice([10, 11, 12, 99]),
            cls.name,
            self.now + time_left_us,
            key,
            tenant,
        )
        self.asked[name] = self.open[name] = event
        if key:
            self.taken[key].append(name)
        return event

    def finish(self, attempt: dict[str, Any], outcome: Outcome) -> AttemptFinished:
        self.out.remove(attempt)
        attempt["outcome"] = outcome
        message = self.asked[attempt["message"]]
        retry_after_us = (
            self.r.choice([0, 0, 200 * MS, 900 * MS])
            if outcome is Outcome.REJECTED
            else 0
        )
        if retry_after_us:
            place = self.place(attempt["target"])
            self.waits[place] = max(self.waits[place], self.now + retry_after_us)
        if message.ordering_key and outcome in (
            Outcome.TIMED_OUT,
            Outcome.RESET,
            Outcome.CANCELED,
        ):
            self.rests[message.ordering_key] = max(
                self.rests[message.ordering_key], self.now + self.s.key_backoff_us
            )
        if outcome is Outcome.DELIVERED and message.message_id in self.open:
            self.close(message.message_id)
            self.delivered += 1
        limit = self.r.choice([0.0, 3.0, 20.0])
        load_report = (
            LoadReport(self.r.random(), limit) if self.r.random() < 0.5 else None
        )
        return AttemptFinished(
            message.message_id,
            attempt["attempt"],
            attempt["target"],
            outcome,
            self.now - attempt["at"],
            message_closed=message.message_id in self.over,
            retry_after_us=retry_after_us,
            load_report=load_report,
        )

    def close(self, name: str) -> None:
        assert name in self.open, f"{name}: two final answers"
        del self.open[name]
        self.over[name] = self.now

    def round(self, rate: float, mood: Outcome) -> None:
        self.now += ROUND
        events: list[Event] = []
        while self.r.random() < rate:
            events.append(self.ask())
        for attempt in list(self.out):
            if self.now >= attempt["until"]:
                events.append(self.finish(attempt, Outcome.TIMED_OUT))
            elif self.r.random() < 0.03:
                luck = self.r.random()
                outcome = Outcome.DELIVERED if luck < 0.5 else mood
                if luck > 0.9:
                    outcome = self.r.choice(
                        [
                            other_outcome
                            for other_outcome in Outcome
                            if other_outcome is not Outcome.CANCELED
                        ]
                    )
                events.append(self.finish(attempt, outcome))
        if self.r.random() < 0.01:
            t = self.r.choice(list(self.entries))
            state = self.r.choice(
                [
                    EndpointState.SERVING,
                    EndpointState.DRAINING,
                    EndpointState.REMOVED,
                ]
            )
            old = self.entries[t]
            events.append(
                EndpointListChanged(
                    EndpointListKind.CHANGES,
                    (EndpointEntry(t, old.destination, old.zone, old.kind, state),),
                )
            )
            if state is EndpointState.SERVING:
                self.left_at.pop(t, None)
            else:
                self.left_at.setdefault(t, self.now)
        if self.r.random() < 0.002:
            events.append(EndpointListChanged(EndpointListKind.SNAPSHOT, ()))
            for t in self.entries:
                self.left_at.setdefault(t, self.now)
        if self.open and self.r.random() < 0.005:
            name = self.r.choice(list(self.open))
            self.close(name)
            events.append(MessageWithdrawn(name))
            if self.r.random() < 0.3:
                events.append(MessageWithdrawn(name))
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        events.extend(TimerExpired(token) for _, token in due)
        if events:
            self.step(events)
        for name, message in self.open.items():
            assert self.now <= max(message.deadline_us, 0) + self.s.answer_grace_us, (
                f"{name}: no final answer within the deadline and answer_grace_us"
            )

    def step(self, events: list[Event]) -> None:
        actions = self.d.handle(self.now, events)
        self.log.append((self.now, tuple(actions)))
        for action in actions:
            if isinstance(action, SendMessage):
                self.check_send(action)
            elif isinstance(action, RejectMessage):
                self.check_refuse(action)
                self.close(action.message_id)
                self.refused += 1
            elif isinstance(action, FailMessage):
                self.close(action.message_id)
                self.failed += 1
            elif isinstance(action, SetTimer):
                assert action.delay_us > 0 and 1 <= len(action.token) <= 64
                self.timers.append((self.now + action.delay_us, action.token))

    def ran(self, name: str) -> list[dict[str, Any]]:
        return [a for a in self.attempts[name] if a["outcome"] not in NEVER_EXECUTED]

    def check_refuse(self, action: RejectMessage) -> None:
        cls = self.classes[self.asked[action.message_id].class_name]
        if cls.idempotency is Idempotency.AT_MOST_ONCE:
            assert not self.ran(action.message_id), (
                "rejected although it may have been executed"
            )
        if (
            cls.idempotency is Idempotency.WITH_KEY
            and cls.idempotency_scope is not IdempotencyScope.ALL
        ):
            assert not self.ran(action.message_id), (
                "rejected although a retry elsewhere would be executed again"
            )

    def check_send(self, action: SendMessage) -> None:
        assert action.message_id in self.open, "sent after its final answer"
        message = self.asked[action.message_id]
        cls, entry = self.classes[message.class_name], self.entries[action.endpoint]
        assert entry.destination == message.destination
        left_at = self.left_at.get(action.endpoint)
        assert left_at is None or self.now <= left_at + self.s.drain_grace_us, (
            "sent to a drained endpoint after drain_grace_us"
        )
        assert self.now >= self.waits[self.place(action.endpoint)], (
            "sent before the endpoint's retry-after time"
        )
        before = self.attempts[action.message_id]
        if not self.s.allow_parallel_attempts:
            assert all(attempt["outcome"] is not None for attempt in before), (
                "two attempts in flight at once"
            )
        ran = self.ran(action.message_id)
        if ran and cls.idempotency is Idempotency.AT_MOST_ONCE:
            raise AssertionError(
                "at-most-once message sent again after it may have been executed"
            )
        if ran and cls.idempotency is Idempotency.WITH_KEY:
            window_end = ran[0]["at"] + cls.idempotency_window_us
            assert self.now < window_end - LONGEST_HOLD_UP_US, (
                "retried too late to be sent within its idempotency window"
            )
            if cls.idempotency_scope is IdempotencyScope.ZONE:
                assert entry.zone == self.entries[ran[0]["target"]].zone, (
                    "retried outside its idempotency scope"
                )
        if message.ordering_key:
            position = self.taken[message.ordering_key].index(message.message_id)
            for name in self.taken[message.ordering_key][:position]:
                assert name in self.over, (
                    "sent before an earlier message of its ordering key ended"
                )
                assert all(
                    attempt["outcome"] is not None for attempt in self.attempts[name]
                ), "an attempt of an earlier message is in flight"
            attempted_before = [
                earlier_name
                for earlier_name in self.taken[message.ordering_key][:position]
                if self.attempts[earlier_name]
            ]
            if attempted_before and not before:
                assert self.now >= self.rests[message.ordering_key], (
                    "sent within the backoff of its ordering key"
                )
        assert (
            action.timeout_us > 0
            and self.now + action.timeout_us <= message.deadline_us
        )
        attempt = {
            "message": action.message_id,
            "attempt": len(before),
            "target": action.endpoint,
            "at": self.now,
            "until": self.now + action.timeout_us,
            "outcome": None,
        }
        before.append(attempt)
        self.out.append(attempt)
        assert len(before) <= self.s.max_attempts
        assert (
            len(
                {
                    (open_attempt["target"], open_attempt["at"])
                    for open_attempt in self.out
                }
            )
            <= self.s.max_in_flight
        ), "more calls in flight than max_in_flight"
        self.sent += 1

    def run(self, rounds: int) -> None:
        for n in range(rounds):
            mood = (
                Outcome.DELIVERED,
                Outcome.REJECTED,
                Outcome.FAILED,
                Outcome.NO_CONNECTION,
                Outcome.RESET,
            )[n // 200 % 5]
            self.round((0.1, 0.5, 0.02)[n // 300 % 3], mood)
        while self.open or self.out:
            self.round(0.0, Outcome.FAILED)
            assert self.now < 10**9
