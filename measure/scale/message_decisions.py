"""Measures the processor time of the dispatcher's decisions.

The sizes are numbers of messages held, of calls in flight and of messages restored
after a restart.
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

MAX_HELD = 1_000_000
HELD = sizes_by(250, 4, MAX_HELD)
HELD_POINT_S = 400.0
"""Expected seconds of all repeats at one size, at most."""
CALLS_OUT = (1, 5, 50, 500, 2_000)
WARM_US, MEASURED_US = 1_100 * MILLISECOND_US, SECOND_US
MIN_WARM_US, MIN_MEASURED_US = 120 * MILLISECOND_US, 500 * MILLISECOND_US
"""Simulated time to warm up and to measure, and its minimum where it is cut short.
"""
WARM_PROCESSOR_S, PROCESSOR_S = 2.0, 6.0
"""Processor seconds after which warming up and measuring are cut short.
"""
BATCH = 100
"""Restored messages that the engine passes to the dispatcher in one round.
"""
RECALL_US = 10 * MILLISECOND_US
"""Simulated time between two such rounds."""

HELD_PATTERNS: dict[str, Collection[int]] = {
    "one": range(1),
    "3.2%": range(target.DOWN_DESTINATIONS),
    "all": range(target.DESTINATIONS),
}
"""Destinations that are down, by pattern; messages are held for each of them."""


def measure_decisions(
    held: int, down: Collection[int], keyed: bool
) -> Mapping[str, float]:
    """Measure fresh traffic while messages are held for destinations that are down.

    Raises RuntimeError if a held message is rejected or fails.
    """
    traffic = Traffic(target.DESTINATIONS, down)
    traffic.hold(held, keyed)
    gc.collect()
    memory = resident_bytes()
    traffic.run(WARM_US, WARM_PROCESSOR_S, MIN_WARM_US)
    spent = traffic.run(MEASURED_US, PROCESSOR_S, MIN_MEASURED_US)
    if traffic.outcomes:
        raise RuntimeError(f"held messages were rejected or failed: {traffic.outcomes}")
    return {"event": spent.event_us, "core": spent.core_share, "memory": float(memory)}


def held_series(pattern: str, keyed: bool, progress: Progress) -> Iterator[Series]:
    """Measure decisions against messages held, in one pattern of destinations."""
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
    """Measure fresh traffic while `out` calls stay in flight."""
    silent = range(out)
    traffic = Traffic(target.DESTINATIONS, silent=silent)
    traffic.run_round([traffic.arrival(destination) for destination in silent])
    traffic.run(WARM_US, WARM_PROCESSOR_S, MIN_WARM_US)
    spent = traffic.run(MEASURED_US, PROCESSOR_S, MIN_MEASURED_US)
    return {"event": spent.event_us, "core": spent.core_share}


def calls_series(progress: Progress) -> Iterator[Series]:
    """Measure decisions against calls in flight."""
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
    """Measure messages restored after a restart, in the engine's batches of `BATCH`."""
    traffic = Traffic(target.DESTINATIONS, down)
    down_destinations = sorted(down)
    spent = ProcessorUsage()
    for first in range(0, messages, BATCH):
        numbers = range(first, min(messages, first + BATCH))
        batch = [
            traffic.restored_message(down_destinations[n % len(down_destinations)])
            for n in numbers
        ]
        traffic.now_us += RECALL_US
        traffic.run_round([*batch, *traffic.due_events()], spent)
    return {
        "seconds": spent.processor_s,
        "message": spent.processor_s / messages * SECOND_US,
    }


def recall_series(pattern: str, progress: Progress) -> Iterator[Series]:
    """Measure the restoring of messages, in one pattern of destinations."""
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
    """Build the measurement of decisions for one pattern of destinations."""
    what = f"{pattern} of the destinations{', with order keys' * keyed}"
    return Measurement(
        f"message-held-{label}",
        f"decisions beside messages held in {what}",
        lambda progress: held_series(pattern, keyed, progress),
    )


def recall_measurement(label: str, pattern: str) -> Measurement:
    """Build the measurement of restoring for one pattern of destinations."""
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
