"""Measures the dispatcher's cost of listed endpoints: memory, changes and events."""

from __future__ import annotations

import gc
from collections.abc import Iterator, Mapping

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
from rainfall.dispatch import (
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    EndpointState,
)

ENDPOINTS = sizes_by(100, 4, target.DESTINATIONS)
CHANGES = 20
"""Changes of the list, each of one endpoint."""
TRAFFIC_S = 6.0
WARM_UP_US = 300 * MILLISECOND_US


def measure_list(endpoints: int) -> Mapping[str, float]:
    """Run traffic, then change the list; return times and memory."""
    traffic = Traffic(endpoints)
    gc.collect()
    memory = resident_bytes()
    traffic.run(WARM_UP_US, TRAFFIC_S, SECOND_US)
    event = traffic.run(SECOND_US, TRAFFIC_S, SECOND_US)
    change = ProcessorUsage()
    for number in range(CHANGES):
        state = EndpointState.SERVING if number % 2 else EndpointState.DRAINING
        entry = EndpointEntry(number // 2, number // 2, state=state)
        traffic.run_round(
            [EndpointListChanged(EndpointListKind.CHANGES, (entry,))], change
        )
    return {
        "event": event.event_us,
        "change": change.processor_s / CHANGES,
        "memory": float(memory),
    }


def series(progress: Progress) -> Iterator[Series]:
    """Measure the dispatcher against listed endpoints."""
    growth = grow(
        ENDPOINTS, lambda endpoints: run_isolated(measure_list, endpoints), progress
    )
    for name, role, title, unit in (
        ("event", Role.MESSAGE_PATH, "processor time an event, endpoints listed", "us"),
        ("change", Role.CONTROL_PART, "processor time a change of the list", "s"),
        ("memory", Role.CONTROL_PART, "memory of a process with a list alone", "byte"),
    ):
        yield Series(
            f"dispatcher: {title}",
            role,
            "listed endpoint",
            unit,
            growth.points_of(name),
            growth.bound,
        )


MEASUREMENTS = (
    Measurement(
        "message-list", "decisions and changes against listed endpoints", series
    ),
)
