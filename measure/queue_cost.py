"""Compares the cost of waiting messages in the former dispatcher and in this one.

    python -m measure.queue_cost [LARGEST]

Run from the root of the repository. The former dispatcher, which is kept in
tests/reference, sorts all waiting messages of a destination at each event. An event is an
outcome or an arrival at one destination. Prints:

- the queue entries visited per event, by queue length; the longest queue has LARGEST
  messages (default 1,000,000)
- the processor time per event in both dispatchers, measured alternately
- the memory per waiting message
- the processor time of the round in which a full queue becomes sendable
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
"""Messages accepted per round while a queue is filled."""
EVENTS = 200
"""Events per measurement."""
REPEATS = 5
WARM_UP_EVENTS = 10
DEFAULT_LARGEST = 1_000_000
TIMED_SIZES = (0, 100, 1000, 3000)
RELEASED_SIZES = (3000, 100_000)
MEMORY_SIZE = 10_000
US_PER_S = 1e6
MS_PER_S = 1e3
DESTINATION = 10
DispatcherFactory = Callable[[Settings, int, int], Any]


class SimulatedDestination:
    """A dispatcher with one destination, two endpoints and a queue of waiting messages."""

    def __init__(
        self,
        make_dispatcher: DispatcherFactory,
        queued: int,
        distinct_keys: bool = False,
    ) -> None:
        self.now_us = 0
        self.message_count = 0
        self.distinct_keys = distinct_keys
        settings = Settings(
            max_in_flight=4,
            classes=CLASSES,
            max_open_messages=1 << 40,
            tenants=(Tenant("city", 1e9),),
            over_quota_weight=0.5,
            max_attempts=4,
        )
        self.dispatcher = make_dispatcher(settings, 1, 0)
        self.dispatcher.handle(
            0,
            [
                EndpointListChanged(
                    EndpointListKind.CACHED,
                    (EndpointEntry(1, 10), EndpointEntry(2, 10)),
                )
            ],
        )
        # With a quota of 0 calls, all messages stay in the queue.
        self.dispatcher.handle(
            0, [QuotaChanged(DESTINATION, 0, 1000 * SECOND_US, 1 << 50, 0)]
        )
        self.pending_events: deque[Event] = deque()
        while self.message_count < queued:
            self.now_us += 1000
            self.dispatcher.handle(
                self.now_us,
                [
                    self.arrival()
                    for _ in range(min(MESSAGES_PER_ROUND, queued - self.message_count))
                ],
            )

    def arrival(self) -> MessageReceived:
        """Create the event of the next message, with its own key if `distinct_keys` is set."""
        self.message_count += 1
        number = self.message_count
        name = "notice" if self.distinct_keys else CLASSES[number % 2].name
        # The prime 7919 spreads the deadlines, so that they differ from arrival order.
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
        """All waiting messages; the reference dispatcher has no separate state object."""
        state: Any = getattr(self.dispatcher, "state", self.dispatcher)
        return state.messages

    def remove_quota(self) -> float:
        """Remove the quota, and return the processor seconds of that round."""
        return self.run_round(QuotaChanged(DESTINATION, 0, 0, 0, 0))

    def serve(self, events: int) -> float:
        """Run `events` rounds of one event each, and return the processor seconds per event."""
        total_s = 0.0
        for _ in range(events):
            event = (
                self.pending_events.popleft() if self.pending_events else self.arrival()
            )
            total_s += self.run_round(event)
        return total_s / events

    def run_round(self, event: Event) -> float:
        """Handle one event, queue the events that it causes, and return the processor seconds."""
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
                self.pending_events += [finished, self.arrival()]
        return spent_s


def print_visited(sizes: Sequence[int]) -> None:
    """Print the queue entries visited per event, for each queue length."""
    print("queue entries visited per event:")
    for queued in sizes:
        destination = SimulatedDestination(Dispatcher, queued)
        destination.remove_quota()
        destination.serve(WARM_UP_EVENTS)
        before = destination.dispatcher.state.work_count
        spent_s = destination.serve(EVENTS)
        visited = (destination.dispatcher.state.work_count - before) / EVENTS
        print(f"  {queued:>9,} waiting: {visited:.1f}, {spent_s * US_PER_S:.0f} us")


def print_times(turn: int) -> None:
    """Print the processor time per event, alternating dispatchers every `turn` events.

    With short turns, the processor's caches hold the entries that the former dispatcher
    visited.
    """
    print(
        f"processor time per event, old and new in turns of {turn} events, median of {REPEATS}:"
    )
    for queued in TIMED_SIZES:
        old_us: list[float] = []
        new_us: list[float] = []
        for _ in range(REPEATS):
            old = _warm_destination(reference.Dispatcher, queued)
            new = _warm_destination(Dispatcher, queued)
            turns = (EVENTS if queued else 20 * EVENTS) // turn
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
            f"  {queued:>9,} waiting: {old_median:.0f} us, {new_median:.0f} us: "
            f"ratio {old_median / new_median:.2f} "
            f"(old {min(old_us):.0f}-{max(old_us):.0f}, "
            f"new {min(new_us):.0f}-{max(new_us):.0f})"
        )


def _warm_destination(
    make_dispatcher: DispatcherFactory, queued: int
) -> SimulatedDestination:
    destination = SimulatedDestination(make_dispatcher, queued)
    destination.remove_quota()
    destination.serve(WARM_UP_EVENTS)
    return destination


def print_memory(queued: int) -> None:
    """Print the memory per waiting message in a queue of `queued` messages."""
    print(
        f"memory per waiting message, {queued:,} waiting, without its event (old, new):"
    )
    for keyed in (False, True):
        sizes = []
        for make_dispatcher in (reference.Dispatcher, Dispatcher):
            tracemalloc.start()
            destination = SimulatedDestination(make_dispatcher, queued, keyed)
            sizes.append(tracemalloc.get_traced_memory()[0] / queued)
            tracemalloc.stop()
            assert len(destination.messages()) == queued
        name = "distinct keys" if keyed else "without keys"
        print(f"  {name}: {sizes[0]:.0f}, {sizes[1]:.0f} bytes")


def print_release(sizes: Sequence[int]) -> None:
    """Print the time of the round in which a queue of each length becomes sendable."""
    print(
        "processor time of the round in which a full queue becomes sendable (old, new):"
    )
    for queued in sizes:
        old_ms = (
            SimulatedDestination(reference.Dispatcher, queued).remove_quota() * MS_PER_S
        )
        new_ms = SimulatedDestination(Dispatcher, queued).remove_quota() * MS_PER_S
        print(f"  {queued:>9,} waiting: {old_ms:.2f} ms, {new_ms:.2f} ms")


def main() -> None:
    """Run all measurements, and print the results."""
    largest_queue = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_LARGEST
    print_times(1)
    print_times(EVENTS)
    print_memory(MEMORY_SIZE)
    print_release(RELEASED_SIZES)
    print_visited((100, 10_000, largest_queue))


if __name__ == "__main__":
    main()
