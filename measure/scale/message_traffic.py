"""Simulates the traffic of a forwarder for `Dispatcher`.

Messages arrive, calls end and timers expire. Only public events and actions are used,
so that any implementation of the dispatcher can be measured. Time is simulated (integer
microseconds); only the processor time of `handle` is counted.
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
"""Simulated time between two rounds; one stands for a turn of the event loop."""
CALL_US = 20 * MILLISECOND_US
"""How long a call to a reachable endpoint takes."""
REFUSED_US = MILLISECOND_US
"""How long a call to an endpoint that is down takes."""
SLOTS = 4_096
HOUR_US = 3_600 * SECOND_US

UNORDERED = MessageClass("free", SECOND_US, HOUR_US, late_priority_weight=1.0)
ORDERED = MessageClass(
    "ordered", SECOND_US, HOUR_US, ordered=True, late_priority_weight=1.0
)
"""Messages of both classes neither yield to fresh ones nor expire while measured."""
KEY_MESSAGES = 10
"""Messages that share an order key."""


def settings() -> Settings:
    """Build the settings of a forwarder in the target's fleet."""
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
    """The processor time of a stretch of simulated time."""

    processor_s: float = 0.0
    simulated_us: int = 0
    events: int = 0

    @property
    def event_us(self) -> float:
        """Processor time of one event."""
        return self.processor_s / max(1, self.events) * SECOND_US

    @property
    def core_share(self) -> float:
        """Cores that traffic at the simulated pace keeps busy."""
        return self.processor_s / (self.simulated_us / SECOND_US)


class Traffic:
    """One dispatcher with an endpoint for each destination, both numbered from 0.

    Calls to `down` destinations are refused, those to `silent` ones never end. The
    target's share of fresh messages goes to destinations that are down; all of them
    do if no destination is reachable.
    """

    def __init__(
        self,
        destinations: int,
        down: Collection[int] = (),
        silent: Collection[int] = (),
        seed: int = 0,
    ) -> None:
        self.down, self.silent = sorted(down), frozenset(silent)
        excluded = frozenset(down) | self.silent
        self.sound = [n for n in range(destinations) if n not in excluded]
        self.refusing = frozenset(down)
        self.random = random.Random(seed)
        self.now_us = SECOND_US
        self.dispatcher = Dispatcher(settings(), seed, self.now_us)
        self.attempts: dict[str, int] = {}
        self.pending_events: list[tuple[int, int, Event]] = []
        self.order = itertools.count()
        self.names = itertools.count()
        self.outcomes: dict[str, int] = {}
        """Number of messages rejected or failed, by reason."""
        entries = tuple(EndpointEntry(n, n) for n in range(destinations))
        self.run_round([EndpointListChanged(EndpointListKind.SNAPSHOT, entries)])

    def arrival(
        self, destination: int, keyed: bool = False, age_us: int = 0
    ) -> MessageReceived:
        """Build the arrival of a new message that is `age_us` old.

        With `keyed`, `KEY_MESSAGES` messages in a row share an order key.
        """
        number = next(self.names)
        message_class = ORDERED if keyed else UNORDERED
        key = f"{destination}/{number // KEY_MESSAGES}" if keyed else None
        return MessageReceived(
            f"{number:016x}",
            destination,
            message_class.name,
            self.now_us + HOUR_US - age_us,
            key,
        )

    def restored_message(self, destination: int) -> MessageRestored:
        """Build the event of a message restored after a restart."""
        number = next(self.names)
        return MessageRestored(
            f"{number:016x}", destination, UNORDERED.name, self.now_us + HOUR_US
        )

    def hold(self, messages: int, keyed: bool = False) -> None:
        """Let messages for destinations that are down arrive in one round.

        All of them are past their latency objective.
        """
        destinations = itertools.cycle(self.down)
        self.run_round(
            self.arrival(next(destinations), keyed, 2 * UNORDERED.latency_objective_us)
            for _ in range(messages)
        )

    def run_round(
        self, events: Iterable[Event], usage: ProcessorUsage | None = None
    ) -> None:
        """Pass the events of one round to the dispatcher and execute its actions."""
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
        """Start a call; its end is scheduled, unless the endpoint is silent."""
        attempt = self.attempts.get(action.message_id, 0)
        self.attempts[action.message_id] = attempt + 1
        if action.endpoint in self.silent:
            return
        refused = action.endpoint in self.refusing
        outcome, duration_us = (
            (Outcome.NO_CONNECTION, REFUSED_US)
            if refused
            else (Outcome.DELIVERED, CALL_US)
        )
        self.schedule(
            duration_us,
            AttemptFinished(
                action.message_id, attempt, action.endpoint, outcome, duration_us
            ),
        )
        if not refused:
            del self.attempts[action.message_id]

    def fresh_destination(self) -> int:
        """Choose the destination of a fresh message."""
        down = not self.sound or (
            self.down and self.random.random() < target.DOWN_SHARE
        )
        return self.random.choice(self.down if down else self.sound)

    def schedule(self, delay_us: int, event: Event) -> None:
        """Schedule an event after a delay."""
        heapq.heappush(
            self.pending_events, (self.now_us + delay_us, next(self.order), event)
        )

    def due_events(self) -> list[Event]:
        """Remove and return the events that are due."""
        events = []
        while self.pending_events and self.pending_events[0][0] <= self.now_us:
            events.append(heapq.heappop(self.pending_events)[2])
        return events

    def run(
        self,
        simulated_us: int,
        processor_s: float,
        min_simulated_us: int,
        per_s: float = target.FORWARDER_PER_S,
    ) -> ProcessorUsage:
        """Run fresh messages at `per_s` for `simulated_us`.

        The run ends early once it has used `processor_s` of processor time, but
        not before `min_simulated_us`.
        """
        usage, began, arrived = ProcessorUsage(), self.now_us, 0
        while usage.simulated_us < simulated_us and (
            usage.processor_s < processor_s or usage.simulated_us < min_simulated_us
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
