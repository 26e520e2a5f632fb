"""What held messages cost: the former piles, which every event sorted
(tests/reference), and the queues now.

    python -m measure.queue_cost [LARGEST]

Prints the entries visited for an event by messages held (LARGEST, 1,000,000 at first,
sets the last size); processor time for an event, in turn, old and new; memory of a held
message; and the time of a round in which a full pile opens. An event is an outcome or
an arrival at one destination that takes a call at a time.
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
"""Messages taken on in one round while a pile is filled."""
EVENTS, REPEATS = 200, 5
DispatcherFactory = Callable[[Settings, int, int], Any]


class SimulatedDestination:
    """One destination that takes three calls at a time, and the messages that are held
    for it.
    """

    def __init__(
        self, make: DispatcherFactory, held: int, own_keys: bool = False
    ) -> None:
        self.now_us, self.message_count, self.distinct_keys = 0, 0, own_keys
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
        self.dispatcher.handle(
            0, [QuotaChanged(10, 0, 1000 * SECOND_US, 1 << 50, 0)]
        )  # nothing may go
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
        self.message_count += 1
        n = self.message_count
        name = "notice" if self.distinct_keys else CLASSES[n % 2].name
        due = self.now_us + 3600 * SECOND_US + n * 7919 % 3000 * SECOND_US
        return MessageReceived(
            f"message {n}",
            10,
            name,
            due,
            f"key {n}" if self.distinct_keys else None,
            "city",
        )

    def messages(self) -> Any:
        """All that are held; the reference keeps them in the dispatcher itself."""
        return getattr(self.dispatcher, "state", self.dispatcher).messages

    def open_all(self) -> float:
        """Any call may go from now on; the processor seconds of the round."""
        return self.run_round(QuotaChanged(10, 0, 0, 0, 0))

    def serve(self, events: int) -> float:
        """So many rounds of one event each, arrivals and outcomes; processor seconds
        for an event.
        """
        return (
            sum(
                self.run_round(
                    self.waiting.popleft() if self.waiting else self.arrival()
                )
                for _ in range(events)
            )
            / events
        )

    def run_round(self, event: Event) -> float:
        self.now_us += 5_000
        start = time.process_time()
        actions = self.dispatcher.handle(self.now_us, [event])
        spent = time.process_time() - start
        for a in actions:
            if isinstance(a, SendMessage):
                self.waiting += [
                    AttemptFinished(
                        a.message_id, 0, a.endpoint, Outcome.DELIVERED, 20_000, True
                    ),
                    self.arrival(),
                ]
        return spent


def print_visited(sizes: Sequence[int]) -> None:
    print("entries visited for an event:")
    for held in sizes:
        site = SimulatedDestination(Dispatcher, held)
        site.open_all()
        site.serve(10)
        before = site.dispatcher.state.work_count
        spent = site.serve(EVENTS)
        visited = (site.dispatcher.state.work_count - before) / EVENTS
        print(f"  {held:>9,} held: {visited:.1f}, {spent * 1e6:.0f} us")


def print_times(turn: int) -> None:
    """In short turns the processor's caches are full of what the old one has just
    visited.
    """
    print(
        f"processor time for an event, old and new in turns of {turn} events, median of {REPEATS}:"
    )
    for held in (0, 100, 1000, 3000):
        spent: tuple[list[float], list[float]] = ([], [])
        for _ in range(REPEATS):
            sites = [
                SimulatedDestination(make, held)
                for make in (reference.Dispatcher, Dispatcher)
            ]
            for site in sites:
                site.open_all()
                site.serve(10)
            turns = (EVENTS if held else 20 * EVENTS) // turn
            seconds = [[site.serve(turn) for site in sites] for _ in range(turns)]
            for which, each in zip(spent, zip(*seconds, strict=True), strict=True):
                which.append(sum(each) / turns * 1e6)
        old, new = (statistics.median(which) for which in spent)
        print(
            f"  {held:>9,} held: {old:.0f} us, {new:.0f} us: {old / new:.2f} times"
            f" (old {min(spent[0]):.0f}-{max(spent[0]):.0f}, new {min(spent[1]):.0f}-{max(spent[1]):.0f})"
        )


def print_memory(held: int) -> None:
    print(f"memory of a held message, {held:,} held, without its event (old, new):")
    for keyed in (False, True):
        sizes = []
        for make in (reference.Dispatcher, Dispatcher):
            tracemalloc.start()
            site = SimulatedDestination(make, held, keyed)
            sizes.append(tracemalloc.get_traced_memory()[0] / held)
            tracemalloc.stop()
            assert len(site.messages()) == held
        name = "each in a key of its own" if keyed else "without keys"
        print(f"  {name}: {sizes[0]:.0f}, {sizes[1]:.0f} bytes")


def print_opening(sizes: Sequence[int]) -> None:
    print("processor time of the round in which a full pile opens (old, new):")
    for held in sizes:
        spent = [
            SimulatedDestination(make, held).open_all() * 1e3
            for make in (reference.Dispatcher, Dispatcher)
        ]
        print(f"  {held:>9,} held: {spent[0]:.2f} ms, {spent[1]:.2f} ms")


if __name__ == "__main__":
    largest = int(sys.argv[1]) if len(sys.argv) > 1 else 1_000_000
    print_times(1)
    print_times(EVENTS)
    print_memory(10_000)
    print_opening((3000, 100_000))
    print_visited((100, 10_000, largest))
