"""What waiting messages cost: the former dispatcher (tests/reference) against this one.

    python -m measure.queue_cost [LARGEST]

Run from the root of the repository. The former dispatcher sorted all waiting messages of
a destination at each event. Prints the entries visited for an event by the number of
waiting messages, the last of which is LARGEST (1,000,000); the processor time of an event
in both, in turn; the memory of a waiting message; and the time of the round in which a
destination's queue may be sent. An event is an outcome or an arrival at one destination.
"""

from __future__ import annotations

import statistics
import sys
import time
import tracemalloc
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from rainfall.dispatch import (
    AttemptFinished,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    Event,
    Idempotency,
    IdempotencyScope,
    MessageClass,
    MessageReceived,
    Outcome,
    QuotaChanged,
    SendMessage,
    Settings,
    Tenant,
)
from tests import reference

SECOND_US = 1_000_000
LIFETIME_US = 7200 * SECOND_US
KEYED_CLASS = MessageClass(
    "notice",
    900 * SECOND_US,
    LIFETIME_US,
    Idempotency.WITH_KEY,
    IdempotencyScope.ALL,
    2 * LIFETIME_US,
    True,
    late_priority_weight=0.5,
)
CLASSES = (
    MessageClass("reminder", 900 * SECOND_US, LIFETIME_US, late_priority_weight=0.5),
    MessageClass("receipt", 900 * SECOND_US, LIFETIME_US, late_priority_weight=0.5),
    KEYED_CLASS,
)
MESSAGES_PER_ROUND = 1000
"""Messages accepted in one round while a queue is filled."""
EVENTS = 200
"""Events of one measurement."""
REPEATS = 5
WARM_UP_EVENTS = 10
DEFAULT_LARGEST = 1_000_000
TIMED_SIZES = (0, 100, 1000, 3000)
OPENED_SIZES = (3000, 100_000)
MEMORY_SIZE = 10_000
US_PER_S = 1e6
MS_PER_S = 1e3
DESTINATION = 10
DispatcherFactory = Callable[[Settings, int, int], Any]


class SimulatedDestination:
    """One destination with two endpoints, and the messages that wait for it."""

    def __init__(
        self, make: DispatcherFactory, held: int, own_keys: bool = False
    ) -> None:
        self.now_us = 0
        self.message_count = 0
        self.distinct_keys = own_keys
        settings = Settings(
            max_in_flight=4,
            classes=CLASSES,
            max_open_messages=1 << 40,
            tenants=(Tenant("city", 1e9),),
            over_quota_weight=0.5,
            max_attempts=4,
        )
        self.dispatcher = make(settings, 1, 0)
        self.dispatcher.handle(
            0,
            [
                EndpointListChanged(
                    EndpointListKind.CACHED,
                    (EndpointEntry(1, 10), EndpointEntry(2, 10)),
                )
            ],
        )
        # A quota of 0 calls: all messages wait.
        self.dispatcher.handle(
            0, [QuotaChanged(DESTINATION, 0, 1000 * SECOND_US, 1 << 50, 0)]
        )
        self.waiting: deque[Event] = deque()
        while self.message_count < held:
            self.now_us += 1000
            self.dispatcher.handle(
                self.now_us,
                [
                    self.arrival()
                    for _ in range(min(MESSAGES_PER_ROUND, held - self.message_count))
                ],
            )

    def arrival(self) -> MessageReceived:
        """A new message."""
        self.message_count += 1
        number = self.message_count
        name = "notice" if self.distinct_keys else CLASSES[number % 2].name
        # 7919 is a prime: deadlines are spread, and not in the order of arrivals.
        deadline_us = self.now_us + (3600 + number * 7919 % 3000) * SECOND_US
        return MessageReceived(
            f"message {number}",
            DESTINATION,
            name,
            deadline_us,
            f"key {number}" if self.distinct_keys else None,
            "city",
        )

    def messages(self) -> Any:
        """All waiting messages; the reference has them in the dispatcher itself."""
        return getattr(self.dispatcher, "state", self.dispatcher).messages

    def open_all(self) -> float:
        """Remove the quota; the processor seconds of that round."""
        return self.run_round(QuotaChanged(DESTINATION, 0, 0, 0, 0))

    def serve(self, events: int) -> float:
        """Run so many rounds of one event; the processor seconds of an event."""
        total_s = 0.0
        for _ in range(events):
            event = self.waiting.popleft() if self.waiting else self.arrival()
            total_s += self.run_round(event)
        return total_s / events

    def run_round(self, event: Event) -> float:
        """Handle one event; its processor seconds."""
        self.now_us += 5_000
        began_s = time.process_time()
        actions = self.dispatcher.handle(self.now_us, [event])
        spent_s = time.process_time() - began_s
        for action in actions:
            if isinstance(action, SendMessage):
                finished = AttemptFinished(
                    action.message_id,
                    0,
                    action.endpoint,
                    Outcome.DELIVERED,
                    20_000,
                    True,
                )
                self.waiting += [finished, self.arrival()]
        return spent_s


def print_visited(sizes: Sequence[int]) -> None:
    """Print the entries visited for an event, for each number of waiting messages."""
    print("entries visited for an event:")
    for held in sizes:
        destination = SimulatedDestination(Dispatcher, held)
        destination.open_all()
        destination.serve(WARM_UP_EVENTS)
        before = destination.dispatcher.state.work_count
        spent_s = destination.serve(EVENTS)
        visited = (destination.dispatcher.state.work_count - before) / EVENTS
        print(f"  {held:>9,} held: {visited:.1f}, {spent_s * US_PER_S:.0f} us")


def print_times(turn: int) -> None:
    """Print the times of events, with so many events of each dispatcher in turn.

    In short turns the processor's caches hold what the former one has visited.
    """
    print(
        f"processor time for an event, old and new in turns of {turn} events, median of {REPEATS}:"
    )
    for held in TIMED_SIZES:
        old_us: list[float] = []
        new_us: list[float] = []
        for _ in range(REPEATS):
            old = _warm_destination(reference.Dispatcher, held)
            new = _warm_destination(Dispatcher, held)
            turns = (EVENTS if held else 20 * EVENTS) // turn
            old_s = 0.0
            new_s = 0.0
            for _ in range(turns):
                old_s += old.serve(turn)
                new_s += new.serve(turn)
            old_us.append(old_s / turns * US_PER_S)
            new_us.append(new_s / turns * US_PER_S)
        old_median = statistics.median(old_us)
        new_median = statistics.median(new_us)
        print(
            f"  {held:>9,} held: {old_median:.0f} us, {new_median:.0f} us: "
            f"{old_median / new_median:.2f} times "
            f"(old {min(old_us):.0f}-{max(old_us):.0f}, "
            f"new {min(new_us):.0f}-{max(new_us):.0f})"
        )


def _warm_destination(make: DispatcherFactory, held: int) -> SimulatedDestination:
    destination = SimulatedDestination(make, held)
    destination.open_all()
    destination.serve(WARM_UP_EVENTS)
    return destination


def print_memory(held: int) -> None:
    """Print the memory of a waiting message, among so many."""
    print(f"memory of a held message, {held:,} held, without its event (old, new):")
    for keyed in (False, True):
        sizes = []
        for make in (reference.Dispatcher, Dispatcher):
            tracemalloc.start()
            destination = SimulatedDestination(make, held, keyed)
            sizes.append(tracemalloc.get_traced_memory()[0] / held)
            tracemalloc.stop()
            assert len(destination.messages()) == held
        name = "each in a key of its own" if keyed else "without keys"
        print(f"  {name}: {sizes[0]:.0f}, {sizes[1]:.0f} bytes")


def print_opening(sizes: Sequence[int]) -> None:
    """Print the time of the round in which a queue of each size may be sent."""
    print("processor time of the round in which a full pile opens (old, new):")
    for held in sizes:
        old_ms = SimulatedDestination(reference.Dispatcher, held).open_all() * MS_PER_S
        new_ms = SimulatedDestination(Dispatcher, held).open_all() * MS_PER_S
        print(f"  {held:>9,} held: {old_ms:.2f} ms, {new_ms:.2f} ms")


def main() -> None:
    """Run all, and print the results."""
    largest = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_LARGEST
    print_times(1)
    print_times(EVENTS)
    print_memory(MEMORY_SIZE)
    print_opening(OPENED_SIZES)
    print_visited((100, 10_000, largest))


if __name__ == "__main__":
    main()
