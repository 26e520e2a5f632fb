"""A simulated forwarder's day for `choice.Dispatcher`: messages arrive, calls end,
timers come due.

Only public events go in and actions come out, so that it runs on any way the dispatcher
keeps its books. Time is simulated (integer microseconds); the processor time of
`handle` alone is counted.
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from measure.scale import target
from rainfall.dispatch import (
    AttemptFinished,
    CancelAttempt,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    Event,
    FailMessage,
    MessageClass,
    MessageReceived,
    MessageRestored,
    Outcome,
    RejectMessage,
    SendMessage,
    SetTimer,
    Settings,
    TimerExpired,
)

MILLISECOND_US = 1_000
SECOND_US = 1_000_000
ROUND_US = MILLISECOND_US
"""Rounds are so far apart: what the event loop gathers in one turn."""
CALL_US = 20 * MILLISECOND_US
"""How long a call to a sound endpoint takes."""
REFUSED_US = MILLISECOND_US
"""How long a call to an endpoint that is down takes."""
SLOTS = 4_096
HOUR_US = 3_600 * SECOND_US

UNORDERED = MessageClass("free", SECOND_US, HOUR_US, late_priority_weight=1.0)
ORDERED = MessageClass(
    "ordered", SECOND_US, HOUR_US, ordered=True, late_priority_weight=1.0
)
"""Neither gives way to fresh messages nor runs out of time while it is measured."""
KEY_MESSAGES = 10
"""Messages that share an order key."""


def settings() -> Settings:
    """A forwarder's settings in the target's fleet."""
    return Settings(
        max_in_flight=SLOTS,
        classes=(UNORDERED, ORDERED),
        forwarder_count=target.FORWARDERS,
        max_open_messages=100_000_000,
        allow_cancel=True,
        send_retry_after=True,
        max_retry_after_us=3 * SECOND_US,
        overload_factor=1.5,
        overload_window_us=2 * SECOND_US,
        cold_capacity_share=0.2,
        warm_up_us=2 * SECOND_US,
        connect_timeout_us=SECOND_US,
        idle_connection_us=5 * SECOND_US,
    )


@dataclass(slots=True)
class ProcessorUsage:
    """What a stretch of simulated time took."""

    processor_s: float = 0.0
    simulated_us: int = 0
    events: int = 0

    @property
    def event_us(self) -> float:
        """Processor time an event."""
        return self.processor_s / max(1, self.events) * SECOND_US

    @property
    def core_share(self) -> float:
        """Cores that the simulated time would keep busy."""
        return self.processor_s / (self.simulated_us / SECOND_US)


class Traffic:
    """One dispatcher with an endpoint for each destination, numbered alike from 0.

    Calls to `down` destinations are refused, those to `silent` ones never end. Of fresh
    messages the target's share is for those that are down, or all where none is sound.
    """

    def __init__(
        self,
        destinations: int,
        down: Collection[int] = (),
        silent: Collection[int] = (),
        seed: int = 0,
    ) -> None:
        self.down, self.silent = sorted(down), frozenset(silent)
        apart = frozenset(down) | self.silent
        self.sound = [n for n in range(destinations) if n not in apart]
        self.refusing = frozenset(down)
        self.random = random.Random(seed)
        self.now_us = SECOND_US
        self.dispatcher = Dispatcher(settings(), seed, self.now_us)
        self.attempts: dict[str, int] = {}
        self.pending_events: list[tuple[int, int, Event]] = []
        self.order = itertools.count()
        self.names = itertools.count()
        self.outcomes: dict[str, int] = {}
        """How many messages were given up, by what was decided."""
        entries = tuple(EndpointEntry(n, n) for n in range(destinations))
        self.run_round([EndpointListChanged(EndpointListKind.SNAPSHOT, entries)])

    def arrival(
        self, destination: int, keyed: bool = False, age_us: int = 0
    ) -> MessageReceived:
        number = next(self.names)
        cls = ORDERED if keyed else UNORDERED
        key = f"{destination}/{number // KEY_MESSAGES}" if keyed else None
        return MessageReceived(
            f"{number:016x}", destination, cls.name, self.now_us + HOUR_US - age_us, key
        )

    def restored_message(self, destination: int) -> MessageRestored:
        number = next(self.names)
        return MessageRestored(
            f"{number:016x}", destination, UNORDERED.name, self.now_us + HOUR_US
        )

    def hold(self, messages: int, keyed: bool = False) -> None:
        """Let messages for the destinations that are down arrive in one round, all past
        their aim.
        """
        where = itertools.cycle(self.down)
        self.run_round(
            self.arrival(next(where), keyed, 2 * UNORDERED.latency_objective_us)
            for _ in range(messages)
        )

    def run_round(
        self, events: Iterable[Event], usage: ProcessorUsage | None = None
    ) -> None:
        """One round: hand the events over and do what is decided."""
        began = time.process_time()
        actions = self.dispatcher.handle(self.now_us, events)
        if usage is not None:
            usage.processor_s += time.process_time() - began
        for action in actions:
            match action:
                case SendMessage():
                    self.send(action)
                case SetTimer():
                    self.schedule(action.delay_us, TimerExpired(action.token))
                case CancelAttempt():
                    self.schedule(
                        REFUSED_US,
                        AttemptFinished(
                            action.message_id, action.attempt, 0, Outcome.CANCELED, 0
                        ),
                    )
                case RejectMessage() | FailMessage():
                    self.outcomes[action.reason] = (
                        self.outcomes.get(action.reason, 0) + 1
                    )

    def send(self, action: SendMessage) -> None:
        attempt = self.attempts.get(action.message_id, 0)
        self.attempts[action.message_id] = attempt + 1
        if action.endpoint in self.silent:
            return
        refused = action.endpoint in self.refusing
        outcome, took = (
            (Outcome.NO_CONNECTION, REFUSED_US)
            if refused
            else (Outcome.DELIVERED, CALL_US)
        )
        self.schedule(
            took,
            AttemptFinished(action.message_id, attempt, action.endpoint, outcome, took),
        )
        if not refused:
            del self.attempts[action.message_id]

    def fresh_destination(self) -> int:
        down = not self.sound or (
            self.down and self.random.random() < target.DOWN_SHARE
        )
        return self.random.choice(self.down if down else self.sound)

    def schedule(self, delay_us: int, event: Event) -> None:
        heapq.heappush(
            self.pending_events, (self.now_us + delay_us, next(self.order), event)
        )

    def due_events(self) -> list[Event]:
        events = []
        while self.pending_events and self.pending_events[0][0] <= self.now_us:
            events.append(heapq.heappop(self.pending_events)[2])
        return events

    def run(
        self,
        simulated_us: int,
        processor_s: float,
        least_us: int,
        per_s: float = target.FORWARDER_PER_S,
    ) -> ProcessorUsage:
        """Fresh messages, `per_s` of them, for `simulated_us`.

        Where that takes over `processor_s` of processor time it ends sooner, after
        `least_us` at the earliest.
        """
        usage, began, arrived = ProcessorUsage(), self.now_us, 0
        while usage.simulated_us < simulated_us and (
            usage.processor_s < processor_s or usage.simulated_us < least_us
        ):
            self.now_us += ROUND_US
            usage.simulated_us = self.now_us - began
            events = self.due_events()
            while arrived < per_s * usage.simulated_us / SECOND_US:
                events.append(self.arrival(self.fresh_destination()))
                arrived += 1
            if events:
                usage.events += len(events)
                self.run_round(events, usage)
        return usage
