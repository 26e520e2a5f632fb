"""Defines the needs of messages at the target's size, and evaluates any need.

A need names the series it is computed from, its allowance, and the mechanism that meets
it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from measure.scale import message_rate, target
from measure.scale.fit import Fit, Spread, fit
from measure.scale.results import Entry, LocatedSeries, find_series
from measure.scale.target import Role
from rainfall.forwarder.engine.engine_state import TICK_INTERVAL_S

MISSING = "missing"
QUEUES = "queues by deadline, a lane for each class"
LIST_RECORDS = "changes by themselves; the whole list compressed"


class Kind(StrEnum):
    """The kind of resource that is needed."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor time"
    MEMORY = "memory"
    TIME = "time"


class Source(StrEnum):
    """The origin of an allowance."""

    STATED = "stated"
    ASSUMED = "assumed"
    CODE = "code"


@dataclass(frozen=True, slots=True)
class Need:
    """One need: the sum of series at a size, times a factor."""

    role: Role
    kind: Kind
    name: str
    series: tuple[str, ...]
    size: float
    allowance: float
    source: Source
    unit: str
    mechanism: str
    """The mechanism that meets the need at that size, or `MISSING`."""
    factor: float = 1.0
    """Converts the sum of the series to the need: a rate, or a change of unit."""


@dataclass(frozen=True, slots=True)
class SeriesUse:
    """A series that a need uses, with its fit."""

    located: LocatedSeries
    fit: Fit

    def past_range(self, size: float) -> float:
        """Return a size as a multiple of the largest measured one."""
        return size / self.located.series.range[1]


@dataclass(frozen=True, slots=True)
class NeedResult:
    """The value of a need, as far as it was measured."""

    need: Need
    uses: tuple[SeriesUse, ...]
    value: Spread | None
    """None if a series was not measured."""

    @property
    def ratio(self) -> float | None:
        """The need as a part of its allowance; None if it was not measured."""
        return self.value.middle / self.need.allowance if self.value else None


def evaluate_need(need: Need, entries: dict[str, Entry]) -> NeedResult:
    """Compute a need from the stored results."""
    located = [find_series(entries, name) for name in need.series]
    uses = tuple(SeriesUse(one, fit(one.series)) for one in located if one is not None)
    if not uses or len(uses) < len(located):
        return NeedResult(need, uses, None)
    spreads = [use.fit.at(need.size) for use in uses]
    middle = sum(spread.middle for spread in spreads) * need.factor
    lowest = sum(spread.lowest for spread in spreads) * need.factor
    highest = sum(spread.highest for spread in spreads) * need.factor
    return NeedResult(need, uses, Spread(middle, lowest, highest))


HELD = float(target.FORWARDER_BACKLOG)
TICKS_PER_S = 1 / TICK_INTERVAL_S
"""How often a second the forwarder checks for overdue messages."""
US = 1e-6
MS = 1e-3


def dispatcher(title: str, pattern: str) -> tuple[str]:
    """Return the name of a dispatcher's series, for a pattern of held messages."""
    return (f"dispatcher: {title}, held in {pattern} of the destinations",)


MESSAGE_NEEDS = (
    Need(
        Role.MESSAGE_PATH,
        Kind.PROCESSOR,
        "whole forwarder, nothing held",
        ("forwarder: processor time a message",),
        target.FORWARDER_PER_S,
        target.FORWARDER_CORES,
        Source.ASSUMED,
        "core",
        "one event loop",
        target.FORWARDER_PER_S * US,
    ),
    Need(
        Role.MESSAGE_PATH,
        Kind.PROCESSOR,
        f"whole forwarder at {message_rate.HELD_PER_S} a second, only {message_rate.HELD[-1]:,} held in one",
        (
            f"forwarder: cores kept busy, {message_rate.HELD_PER_S} offered, held for one destination",
        ),
        message_rate.HELD[
            -1
        ],  # beyond it the process is always busy, so its cores no longer grow
        target.FORWARDER_CORES,
        Source.ASSUMED,
        "core",
        QUEUES,
    ),
    *(
        Need(
            Role.MESSAGE_PATH,
            Kind.PROCESSOR,
            f"decisions, backlog in {where}",
            dispatcher("cores at 1,000 messages a second", pattern),
            HELD,
            target.FORWARDER_CORES,
            Source.ASSUMED,
            "core",
            mechanism,
        )
        for pattern, where, mechanism in (
            ("one", "one destination", QUEUES),
            ("3.2%", "3.2% of destinations", QUEUES),
            ("all", "all destinations", QUEUES),
        )
    ),
    Need(
        Role.MESSAGE_PATH,
        Kind.PROCESSOR,
        "decisions, ordered backlog in 3.2% of destinations",
        (
            "dispatcher: cores at 1,000 messages a second, held in 3.2% of the destinations, with order keys",
        ),
        HELD,
        target.FORWARDER_CORES,
        Source.ASSUMED,
        "core",
        QUEUES,
    ),
    Need(
        Role.MESSAGE_PATH,
        Kind.PROCESSOR,
        "decisions, calls out",
        ("dispatcher: cores at 1,000 messages a second, calls out",),
        target.CALLS_IN_FLIGHT,
        target.FORWARDER_CORES,
        Source.ASSUMED,
        "core",
        "calls known by target",
    ),
    *(
        Need(
            Role.MESSAGE_PATH,
            kind,
            what,
            (f"forwarder: processor time of a {work}",),
            HELD,
            allowance,
            Source.ASSUMED,
            unit,
            mechanism,
            times,
        )
        for kind, what, work, allowance, unit, mechanism, times in (
            (
                Kind.PROCESSOR,
                "the watch over messages' ends, ten times a second",
                "watch over messages' ends",
                target.FORWARDER_CORES,
                "core",
                "spans of deadlines",
                TICKS_PER_S,
            ),
            (
                Kind.TIME,
                "the loop stands still for the line that sums up",
                "line that sums up",
                target.PAUSE_S,
                "s",
                "counts by destination",
                1.0,
            ),
            (
                Kind.TIME,
                "the loop stands still for the collector's regular round",
                "regular round of the collector",
                target.PAUSE_S,
                "s",
                "young generations alone past 10,000 held",
                1.0,
            ),
            (
                Kind.TIME,
                "the loop stands still for the collector, each time that all grew by a quarter",
                "full round of the collector",
                target.PAUSE_S,
                "s",
                MISSING,
                1.0,
            ),
        )
    ),
    Need(
        Role.CONTROL_PART,
        Kind.PROCESSOR,
        "the demand that each beat tells, beside held messages",
        ("forwarder: processor time of a demand of one beat",),
        HELD,
        target.CONTROL_CORE_SHARE,
        Source.STATED,
        "core",
        "counts by destination, class and tenant",
        1 / target.MEMBERS_BEAT_S,
    ),
    Need(
        Role.MESSAGE_PATH,
        Kind.MEMORY,
        "held messages, the dispatcher's part",
        dispatcher("memory of a process with a dispatcher alone", "3.2%"),
        HELD,
        target.MACHINE_BYTES,
        Source.ASSUMED,
        "byte",
        "one record a message in memory",
    ),
    Need(
        Role.JOURNAL,
        Kind.MEMORY,
        "held messages, the journal's part",
        ("journal: memory of a process with a journal alone",),
        HELD,
        target.MACHINE_BYTES,
        Source.ASSUMED,
        "byte",
        "bodies kept in memory",
    ),
    Need(
        Role.JOURNAL,
        Kind.MEMORY,
        "the process while a checkpoint is written, with the dispatcher's part",
        (
            "journal: most memory while a checkpoint is written",
            *dispatcher("memory of a process with a dispatcher alone", "3.2%"),
        ),
        HELD,
        target.MACHINE_BYTES,
        Source.ASSUMED,
        "byte",
        MISSING,
    ),
    Need(
        Role.JOURNAL,
        Kind.TIME,
        "the loop stands still for a checkpoint",
        ("journal: processor time of a checkpoint",),
        HELD,
        target.PAUSE_S,
        Source.ASSUMED,
        "s",
        MISSING,
    ),
    Need(
        Role.JOURNAL,
        Kind.TIME,
        "reading the journal at a start",
        ("journal: processor time to read it at a start",),
        HELD,
        target.READY_S,
        Source.STATED,
        "s",
        MISSING,
    ),
    Need(
        Role.JOURNAL,
        Kind.TIME,
        "start of the real program until ready",
        ("forwarder: time until ready",),
        HELD,
        target.READY_S,
        Source.STATED,
        "s",
        MISSING,
    ),
    Need(
        Role.JOURNAL,
        Kind.PROCESSOR,
        "recalling, after ready, what was held in 3.2% of destinations",
        dispatcher("processor time until all are recalled", "3.2%"),
        HELD,
        target.RESTORED_S,
        Source.ASSUMED,
        "s",
        "in hundreds after ready",
    ),
    Need(
        Role.JOURNAL,
        Kind.STATE,
        "live messages on disk, twice while rewritten",
        ("journal: size of a checkpoint",),
        HELD,
        target.MACHINE_DISK_BYTES,
        Source.ASSUMED,
        "byte",
        "one file, rewritten beside the old one",
        2.0,
    ),
    Need(
        Role.JOURNAL,
        Kind.MESSAGES,
        "bytes written a second",
        ("journal: bytes written a message, rewriting included",),
        HELD,
        target.JOURNAL_BYTES_PER_S,
        Source.ASSUMED,
        "byte/s",
        "appended records",
        target.FORWARDER_PER_S,
    ),
    Need(
        Role.JOURNAL,
        Kind.PROCESSOR,
        "writing at 1,000 messages a second",
        ("journal: processor time a message, rewriting included",),
        HELD,
        target.FORWARDER_CORES,
        Source.ASSUMED,
        "core",
        "appended records",
        target.FORWARDER_PER_S * US,
    ),
    Need(
        Role.CONFIGURATION,
        Kind.STATE,
        "the list of endpoints as one record of the journal",
        ("journal: size of the list's record",),
        target.DESTINATIONS,
        target.RECORD_BYTES,
        Source.CODE,
        "byte",
        LIST_RECORDS,
    ),
    Need(
        Role.CONFIGURATION,
        Kind.MESSAGES,
        "bytes to disk a second for changes of the list",
        ("journal: bytes written a change of the list, rewriting included",),
        target.DESTINATIONS,
        target.JOURNAL_BYTES_PER_S,
        Source.ASSUMED,
        "byte/s",
        LIST_RECORDS,
        target.LIST_CHANGES_PER_S,
    ),
    Need(
        Role.CONTROL_PART,
        Kind.PROCESSOR,
        "journaling changes of the list",
        ("journal: processor time a change of the list, rewriting included",),
        target.DESTINATIONS,
        target.CONTROL_CORE_SHARE,
        Source.STATED,
        "core",
        LIST_RECORDS,
        target.LIST_CHANGES_PER_S,
    ),
    Need(
        Role.CONTROL_PART,
        Kind.PROCESSOR,
        "the dispatcher's changes of the list",
        ("dispatcher: processor time a change of the list",),
        target.DESTINATIONS,
        target.CONTROL_CORE_SHARE,
        Source.STATED,
        "core",
        "all targets are sorted for each change",
        target.LIST_CHANGES_PER_S,
    ),
    Need(
        Role.CONTROL_PART,
        Kind.MEMORY,
        "the dispatcher's list of endpoints, with its process",
        ("dispatcher: memory of a process with a list alone",),
        target.DESTINATIONS,
        target.CONTROL_BYTES,
        Source.STATED,
        "byte",
        "one record an endpoint",
    ),
)
