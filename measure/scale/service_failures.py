"""Measures the target's kinds of failures in a whole fleet of hollow members.

The failures are: a zone lost at once, a day's restarts, and the list service killed and
started again. Seconds are wall times of a shared machine. The restarts of a day take
place within half a minute, over two thousand times as densely as in operation; the
result is the cost of one restart, not their frequency.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

from measure.scale import target
from measure.scale.hollow_fleet import HollowFleet, Totals, running_fleet
from measure.scale.hollow_member import Call
from measure.scale.hollow_peaks import Peaks, peaks
from measure.scale.results import Measurement, Progress, Series
from measure.scale.service_members import (
    IDLE_S,
    SeriesBuilder,
    extra_heartbeats,
    measure_idle_stretches,
    take_snapshot,
)
from measure.scale.target import Role

SIZES = (target.FORWARDERS,)
REPEATS = 3
RESTART_EVERY_S = 0.5
OUTAGES_S = (0.0, 5.0)
"""Seconds until the service is started again: at once, and longer than a lease.
"""
JOINED_S = 60.0


def zone_member_count(members: int) -> int:
    """Return how many of the members a zone has."""
    return members * target.ZONE_FORWARDERS // target.FORWARDERS


def boot_us() -> int:
    """Return the time of the clock that members' leases use, in microseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000


def add_peaks(figures: SeriesBuilder, label: str, size: int, found: Peaks) -> None:
    """Add the peaks of traffic to the figures."""
    figures.add(f"{label}: beats", size, found.beats)
    figures.add(f"{label}: bytes", size, found.bytes)
    figures.add(f"{label}: connections", size, found.opened)
    figures.add(f"{label}: connections in a tenth", size, found.opened_tenth)


def merge_samples(fleet: HollowFleet, samples: Totals, later: Totals) -> Totals:
    """Return the later totals with the samples of both."""
    for gathered, new in zip(samples.samples, later.samples, strict=True):
        gathered.extend(new)
    later.samples = samples.samples
    return later


def lose_zone(fleet: HollowFleet, size: int, figures: SeriesBuilder) -> None:
    """Kill a sixth of the members at once, then start them again with their folders."""
    zone, others = (
        fleet.names[: zone_member_count(size)],
        fleet.names[zone_member_count(size) :],
    )
    lost_before = fleet.totals().lost()
    began, began_ns = time.monotonic(), time.monotonic_ns()
    fleet.kill(zone)
    ended = fleet.wait_until(
        "the zone's leases",
        lambda _: fleet.service.variables()["leases"] == len(others),
    )
    figures.add("zone: lease seconds", size, time.monotonic() - began)
    moved = fleet.wait_until(
        "a share that moves", lambda totals: totals.changed_ns() > began_ns
    )
    settled = fleet.wait_until_settled()
    figures.add("zone: share seconds", size, (settled.changed_ns() - began_ns) / 1e9)
    figures.add("zone: others' leases lost", size, settled.lost() - lost_before)
    found = peaks(
        merge_samples(fleet, merge_samples(fleet, ended, moved), settled).samples
    )
    add_peaks(figures, "zone", size, found)
    began = time.monotonic()
    fleet.start(zone)
    returned = fleet.wait_until(
        "the zone's return", lambda totals: totals.alive() == size
    )
    figures.add("zone: return seconds", size, time.monotonic() - began)
    add_peaks(
        figures,
        "zone's return",
        size,
        peaks(merge_samples(fleet, returned, fleet.wait_until_settled()).samples),
    )


def restart_members(
    fleet: HollowFleet, size: int, count: int, figures: SeriesBuilder
) -> None:
    """Kill and restart members with their folders, one after another."""
    before, began = take_snapshot(fleet), time.monotonic()
    fleet.totals()
    started_ns: dict[str, int] = {}
    for number in range(count):
        name = fleet.names[-1 - number]
        fleet.kill([name])
        started_ns[name] = time.monotonic_ns()
        fleet.start([name])
        time.sleep(max(0.0, began + (number + 1) * RESTART_EVERY_S - time.monotonic()))
    fleet.wait_until("all to be alive", lambda totals: totals.alive() == size)
    settled = fleet.wait_until_settled()
    after = take_snapshot(fleet)
    for name, at_ns in started_ns.items():
        figures.add(
            "restart: seconds", size, (settled.members[name].joined_ns - at_ns) / 1e9
        )
    extra = extra_heartbeats(before.totals, after.totals, figures, size)
    figures.add("restart: beats", size, extra / count)
    spent_bytes = sum(
        after.totals.bytes[call] - before.totals.bytes[call] for call in Call
    )
    took_s = after.totals.at_s - before.totals.at_s
    idle_bytes = (
        sum(median_rest(figures, size, f"{call} bytes") for call in Call)
        * size
        * took_s
    )
    figures.add("restart: bytes", size, (spent_bytes - idle_bytes) / count)
    figures.add(
        "restart: syncs", size, (after.service.syncs - before.service.syncs) / count
    )
    others = [
        member for member in settled.members.values() if member.name not in started_ns
    ]
    figures.add(
        "restart: others' leases lost", size, sum(member.lost for member in others)
    )


def median_rest(figures: SeriesBuilder, size: int, name: str) -> float:
    """Return the median of a figure that was measured at rest."""
    values = sorted(figures.values[name][size])
    return values[len(values) // 2]


def restart_service(
    fleet: HollowFleet, size: int, away_s: float, figures: SeriesBuilder
) -> None:
    """Kill the service, start it again, and wait until all leases are renewed."""
    label = "service restart" if not away_s else f"service away {away_s:g} s"
    lost_before = fleet.totals().lost()
    fleet.service.kill()
    time.sleep(away_s)
    began, began_us = time.monotonic(), boot_us()
    fleet.service.start()
    figures.add(f"{label}: seconds until it listens", size, time.monotonic() - began)
    renewed = fleet.wait_until(
        "all leases",
        lambda totals: all(
            member.renewed_us > began_us for member in totals.members.values()
        ),
    )
    figures.add(f"{label}: seconds until all renewed", size, time.monotonic() - began)
    figures.add(f"{label}: service core seconds", size, fleet.service.processor_s())
    time.sleep(IDLE_S)
    settled = fleet.wait_until_settled()
    figures.add(f"{label}: leases lost", size, settled.lost() - lost_before)
    add_peaks(
        figures, label, size, peaks(merge_samples(fleet, renewed, settled).samples)
    )


UNITS = (
    ("seconds", "s"),
    ("beats", "beat"),
    ("bytes", "byte"),
    ("connections", "connection"),
    ("lost", "lease"),
)


def unit_of(name: str) -> str:
    """Return the unit, from a word in the figure's name; `sync` if there is none."""
    return next((unit for word, unit in UNITS if word in name), "sync")


def series_of(figures: SeriesBuilder, names: Callable[[str], bool]) -> Iterator[Series]:
    """Yield the series of the figures whose names the filter accepts."""
    for name in filter(names, figures.values):
        title, unit = f"failure: {name}", unit_of(name)
        yield Series(
            title,
            Role.MEMBERS,
            "member",
            unit,
            figures.points(name),
            "largest size wanted",
        )


def measure_zone(progress: Progress) -> Iterator[Series]:
    """Measure the loss and the return of a zone."""
    figures = SeriesBuilder()
    for size in SIZES:
        with running_fleet(size) as fleet:
            for _ in range(REPEATS):
                lose_zone(fleet, size, figures)
        progress(
            f"{size} members, {zone_member_count(size)} of them lost {REPEATS} times"
        )
    yield from series_of(figures, lambda name: True)


def measure_restarts(progress: Progress) -> Iterator[Series]:
    """Measure the restarts of one day."""
    figures = SeriesBuilder()
    size = target.FORWARDERS
    with running_fleet(size) as fleet:
        measure_idle_stretches(fleet, size, figures)
        restart_members(fleet, size, target.RESTARTS_PER_DAY, figures)
    progress(f"{size} members, {target.RESTARTS_PER_DAY} of them restarted")
    yield from series_of(figures, lambda name: name.startswith("restart"))


def measure_service(progress: Progress) -> Iterator[Series]:
    """Measure restarts of the list service, after each outage of `OUTAGES_S`."""
    figures = SeriesBuilder()
    for size in SIZES:
        with running_fleet(size) as fleet:
            for away_s in OUTAGES_S:
                for _ in range(REPEATS):
                    restart_service(fleet, size, away_s, figures)
                progress(
                    f"{size} members, the service killed {REPEATS} times for {away_s:g} s"
                )
    yield from series_of(figures, lambda name: True)


MEASUREMENTS = (
    Measurement(
        "fleet-zone", "a zone of members is gone at once, and comes back", measure_zone
    ),
    Measurement(
        "fleet-restarts",
        "a day's restarts of members, in half a minute",
        measure_restarts,
    ),
    Measurement(
        "fleet-service-restart",
        "the list service is killed and started again",
        measure_service,
    ),
)
