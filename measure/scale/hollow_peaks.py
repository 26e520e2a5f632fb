"""Computes the peaks of a fleet's traffic from the samples of its processes."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from measure.scale.hollow_process import Sample

STEP_NS = 100_000_000
SECOND_NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Peaks:
    """The highest counts within one second, over all processes together.

    `opened` counts connections, `opened_tenth` those within a tenth of a second.
    """

    beats: int
    bytes: int
    opened: int
    opened_tenth: int


def peaks(processes: Sequence[Sequence[Sample]]) -> Peaks:
    """Compute the peaks; the samples of each process are in the order of their times.

    A count holds until the next sample, so a peak is off by at most one sample of
    each process.
    """
    return Peaks(
        peak_within(processes, lambda sample: sample.beats, SECOND_NS),
        peak_within(processes, lambda sample: sample.bytes, SECOND_NS),
        peak_within(processes, lambda sample: sample.opened, SECOND_NS),
        peak_within(processes, lambda sample: sample.opened, STEP_NS),
    )


def peak_within(
    processes: Sequence[Sequence[Sample]],
    count: Callable[[Sample], int],
    window_ns: int,
) -> int:
    """Return the highest increase of a count within a window."""
    sampled = [samples for samples in processes if samples]
    if not sampled:
        return 0
    first = max(samples[0].at_ns for samples in sampled)
    last = min(samples[-1].at_ns for samples in sampled)
    totals = [
        sum(value_at(samples, count, at_ns) for samples in sampled)
        for at_ns in range(first, last + 1, STEP_NS)
    ]
    width = window_ns // STEP_NS
    grown = [
        later - earlier for earlier, later in zip(totals, totals[width:], strict=False)
    ]
    return max(grown, default=0)


def value_at(
    samples: Sequence[Sample], count: Callable[[Sample], int], at_ns: int
) -> int:
    """Return the count of the last sample at or before a time."""
    index = bisect_right(samples, at_ns, key=lambda sample: sample.at_ns)
    return count(samples[max(0, index - 1)])
