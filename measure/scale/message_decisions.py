"""What decisions cost against the messages held, the calls out and the messages
recalled after a restart.
"""

from __future__ import annotations

import gc
from collections.abc import Collection, Iterator, Mapping

from measure.scale import target
from measure.scale.growth import grow, run_isolated, sizes_by
from measure.scale.memory import resident_bytes
from measure.scale.message_traffic import (
    MILLISECOND_US,
    SECOND_US,
    ProcessorUsage,
    Traffic,
)
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import Role

MOST_HELD = 1_000_000
HELD = sizes_by(250, 4, MOST_HELD)
HELD_POINT_S = 400.0
"""What all repeats at one size may be expected to take, in seconds."""
CALLS_OUT = (1, 5, 50, 500, 2_000)
WARM_US, MEASURED_US = 1_100 * MILLISECOND_US, SECOND_US
LEAST_WARM_US, LEAST_US = 120 * MILLISECOND_US, 500 * MILLISECOND_US
"""Simulated time before and while it is measured, and how much of it there is where
that is cut short.
"""
WARM_PROCESSOR_S, PROCESSOR_S = 2.0, 6.0
"""What the stretches before and while it is measured may take before they are cut
short.
"""
BATCH = 100
"""Messages of before a restart that the engine tells the dispatcher of in one round,
...
"""
RECALL_US = 10 * MILLISECOND_US
"""... and how far apart such rounds are."""

HELD_PATTERNS: dict[str, Collection[int]] = {
    "one": range(1),
    "3.2%": range(target.DOWN_DESTINATIONS),
    "all": range(target.DESTINATIONS),
}
"""The destinations that are down, in each of which messages are held."""


def measure_decisions(
    held: int, down: Collection[int], keyed: bool
) -> Mapping[str, float]:
    """Fresh traffic beside messages that are held for destinations that are down."""
    traffic = Traffic(target.DESTINATIONS, down)
    traffic.hold(held, keyed)
    gc.collect()
    memory = resident_bytes()
    traffic.run(WARM_US, WARM_PROCESSOR_S, LEAST_WARM_US)
    spent = traffic.run(MEASURED_US, PROCESSOR_S, LEAST_US)
    if traffic.outcomes:
        raise RuntimeError(f"held messages were given up: {traffic.outcomes}")
    return {"event": spent.event_us, "core": spent.core_share, "memory": float(memory)}


def held_series(pattern: str, keyed: bool, progress: Progress) -> Iterator[Series]:
    growth = grow(
        HELD,
        lambda held: run_isolated(
            measure_decisions, held, HELD_PATTERNS[pattern], keyed
        ),
        progress,
        point_s=HELD_POINT_S,
        memory=lambda run: run["memory"],
    )
    what = f"{pattern} of the destinations" + (", with order keys" if keyed else "")
    for name, title, unit in (
        ("event", "processor time an event", "us"),
        ("core", "cores at 1,000 messages a second", "core"),
        ("memory", "memory of a process with a dispatcher alone", "byte"),
    ):
        yield Series(
            f"dispatcher: {title}, held in {what}",
            Role.MESSAGE_PATH,
            "message held",
            unit,
            growth.points_of(name),
            growth.bound,
        )


def measure_calls(out: int) -> Mapping[str, float]:
    """Fresh traffic beside calls that stay out."""
    silent = range(out)
    traffic = Traffic(target.DESTINATIONS, silent=silent)
    traffic.run_round([traffic.arrival(destination) for destination in silent])
    traffic.run(WARM_US, WARM_PROCESSOR_S, LEAST_WARM_US)
    spent = traffic.run(MEASURED_US, PROCESSOR_S, LEAST_US)
    return {"event": spent.event_us, "core": spent.core_share}


def calls_series(progress: Progress) -> Iterator[Series]:
    growth = grow(CALLS_OUT, lambda out: run_isolated(measure_calls, out), progress)
    for name, title, unit in (
        ("event", "processor time an event", "us"),
        ("core", "cores at 1,000 messages a second", "core"),
    ):
        yield Series(
            f"dispatcher: {title}, calls out",
            Role.MESSAGE_PATH,
            "call out",
            unit,
            growth.points_of(name),
            growth.bound,
        )


def measure_recall(messages: int, down: Collection[int]) -> Mapping[str, float]:
    """Messages of before a restart, told in batches as the engine does."""
    traffic = Traffic(target.DESTINATIONS, down)
    piles = sorted(down)
    spent = ProcessorUsage()
    for first in range(0, messages, BATCH):
        numbers = range(first, min(messages, first + BATCH))
        batch = [traffic.restored_message(piles[n % len(piles)]) for n in numbers]
        traffic.now_us += RECALL_US
        traffic.run_round([*batch, *traffic.due_events()], spent)
    return {
        "seconds": spent.processor_s,
        "message": spent.processor_s / messages * SECOND_US,
    }


def recall_series(pattern: str, progress: Progress) -> Iterator[Series]:
    growth = grow(
        HELD,
        lambda held: run_isolated(measure_recall, held, HELD_PATTERNS[pattern]),
        progress,
    )
    for name, title, unit in (
        ("seconds", "processor time until all are recalled", "s"),
        ("message", "processor time a message recalled", "us"),
    ):
        yield Series(
            f"dispatcher: {title}, held in {pattern} of the destinations",
            Role.JOURNAL,
            "message recalled",
            unit,
            growth.points_of(name),
            growth.bound,
        )


def held_measurement(label: str, pattern: str, keyed: bool = False) -> Measurement:
    what = f"{pattern} of the destinations{', with order keys' * keyed}"
    return Measurement(
        f"message-held-{label}",
        f"decisions beside messages held in {what}",
        lambda progress: held_series(pattern, keyed, progress),
    )


def recall_measurement(label: str, pattern: str) -> Measurement:
    return Measurement(
        f"message-recalled-{label}",
        f"messages recalled after a restart, held in {pattern} of the destinations",
        lambda progress: recall_series(pattern, progress),
    )


MEASUREMENTS = (
    held_measurement("one", "one"),
    held_measurement("down", "3.2%"),
    held_measurement("all", "all"),
    held_measurement("keys", "3.2%", keyed=True),
    Measurement("message-calls", "decisions beside calls that stay out", calls_series),
    recall_measurement("one", "one"),
    recall_measurement("down", "3.2%"),
)
