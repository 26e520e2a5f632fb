"""What failures of the target's kinds come to in a whole fleet of hollow members: a
zone gone at once, the restarts of a day, the list service killed and started again.

Seconds are wall times of a shared machine. A day's restarts are played in half a
minute, so over two thousand times as dense as they come; what one of them costs is the
figure, not how often they come.
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
    heartbeats_beyond_idle,
    measure_idle_stretches,
    take_snapshot,
)
from measure.scale.target import Role

SIZES = (target.FORWARDERS,)
REPEATS = 3
RESTART_EVERY_S = 0.5
OUTAGES_S = (0.0, 5.0)
"""How long the service stays away: as soon as it can be up again, and longer than a
lease.
"""
JOINED_S = 60.0


def zone_size(members: int) -> int:
    return members * target.ZONE_FORWARDERS // target.FORWARDERS


def boot_us() -> int:
    """The clock that members' leases go by."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000


def add_peaks(figures: SeriesBuilder, what: str, size: int, found: Peaks) -> None:
    figures.add(f"{what}: beats", size, found.beats)
    figures.add(f"{what}: bytes", size, found.bytes)
    figures.add(f"{what}: connections", size, found.opened)
    figures.add(f"{what}: connections in a tenth", size, found.opened_tenth)


def joined(fleet: HollowFleet, samples: Totals, later: Totals) -> Totals:
    """The later totals with the samples of both."""
    for gathered, new in zip(samples.samples, later.samples, strict=True):
        gathered.extend(new)
    later.samples = samples.samples
    return later


def lose_zone(fleet: HollowFleet, size: int, figures: SeriesBuilder) -> None:
    """A sixth of the members is gone at once; then its processes come back with their
    folders.
    """
    zone, others = fleet.names[: zone_size(size)], fleet.names[zone_size(size) :]
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
    found = peaks(joined(fleet, joined(fleet, ended, moved), settled).samples)
    add_peaks(figures, "zone", size, found)
    began = time.monotonic()
    fleet.start(zone)
    back = fleet.wait_until("the zone's return", lambda totals: totals.alive() == size)
    figures.add("zone: return seconds", size, time.monotonic() - began)
    add_peaks(
        figures,
        "zone's return",
        size,
        peaks(joined(fleet, back, fleet.wait_until_settled()).samples),
    )


def restart_members(
    fleet: HollowFleet, size: int, count: int, figures: SeriesBuilder
) -> None:
    """Members are killed and started again with their folders, one after another."""
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
    extra = heartbeats_beyond_idle(before.totals, after.totals, figures, size)
    figures.add("restart: beats", size, extra / count)
    spent_bytes = sum(
        after.totals.bytes[call] - before.totals.bytes[call] for call in Call
    )
    took_s = after.totals.at_s - before.totals.at_s
    at_rest = (
        sum(median_rest(figures, size, f"{call} bytes") for call in Call)
        * size
        * took_s
    )
    figures.add("restart: bytes", size, (spent_bytes - at_rest) / count)
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
    values = sorted(figures.values[name][size])
    return values[len(values) // 2]


def restart_service(
    fleet: HollowFleet, size: int, away_s: float, figures: SeriesBuilder
) -> None:
    """The service is killed; until each member has renewed its lease at the new
    process.
    """
    what = "service restart" if not away_s else f"service away {away_s:g} s"
    lost_before = fleet.totals().lost()
    fleet.service.kill()
    time.sleep(away_s)
    began, began_us = time.monotonic(), boot_us()
    fleet.service.start()
    figures.add(f"{what}: seconds until it listens", size, time.monotonic() - began)
    renewed = fleet.wait_until(
        "all leases",
        lambda totals: all(m.renewed_us > began_us for m in totals.members.values()),
    )
    figures.add(f"{what}: seconds until all renewed", size, time.monotonic() - began)
    figures.add(f"{what}: service core seconds", size, fleet.service.processor_s())
    time.sleep(IDLE_S)
    settled = fleet.wait_until_settled()
    figures.add(f"{what}: leases lost", size, settled.lost() - lost_before)
    add_peaks(figures, what, size, peaks(joined(fleet, renewed, settled).samples))


UNITS = (
    ("seconds", "s"),
    ("beats", "beat"),
    ("bytes", "byte"),
    ("connections", "connection"),
    ("lost", "lease"),
)


def unit_of(name: str) -> str:
    """The unit by the figure's name; syncs where none of the others is in it."""
    return next((unit for word, unit in UNITS if word in name), "sync")


def series_of(figures: SeriesBuilder, names: Callable[[str], bool]) -> Iterator[Series]:
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
    figures = SeriesBuilder()
    for size in SIZES:
        with running_fleet(size) as fleet:
            for _ in range(REPEATS):
                lose_zone(fleet, size, figures)
        progress(f"{size} members, {zone_size(size)} of them lost {REPEATS} times")
    yield from series_of(figures, lambda name: True)


def measure_restarts(progress: Progress) -> Iterator[Series]:
    figures = SeriesBuilder()
    size = target.FORWARDERS
    with running_fleet(size) as fleet:
        measure_idle_stretches(fleet, size, figures)
        restart_members(fleet, size, target.RESTARTS_PER_DAY, figures)
    progress(f"{size} members, {target.RESTARTS_PER_DAY} of them restarted")
    yield from series_of(figures, lambda name: name.startswith("restart"))


def measure_service(progress: Progress) -> Iterator[Series]:
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
