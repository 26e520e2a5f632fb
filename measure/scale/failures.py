"""Defines the target's failures, their cost and the control plane's part in them."""

from __future__ import annotations

from dataclasses import dataclass

from measure.scale import target
from measure.scale.results import Entry, LocatedSeries, find_series


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure of several parts at once."""

    name: str
    forwarders: int
    """Number of forwarders that have failed at once."""
    remaining_service: str
    """Which forwarders serve during the failure, and what does not work."""
    control: tuple[tuple[str, str], ...]
    """The label and the series of each value of the control plane."""
    held_back_per_s: float = 0.0
    """Messages a second that are accepted but not deliverable during the failure."""
    duration_s: float = 0.0
    """How long the failure lasts."""


SPLIT = f"split: 50% of the members cut off for {target.SPLIT_S:.0f} s"
"""The beginning of the names of a split's series."""
FAILURES = (
    Failure(
        "two machines of a day, at once",
        target.MACHINES_FAILED_PER_DAY,
        "all others; what the two held waits for their disks: take-over is missing",
        (),
    ),
    Failure(
        "a day's restarts, one after another",
        target.RESTARTS_AT_ONCE,
        "all others; the restarted one reads its journal first",
        (
            ("join again, s", "failure: restart: seconds"),
            ("others' leases lost", "failure: restart: others' leases lost"),
        ),
    ),
    Failure(
        "a rack or switch",
        target.RACK_FORWARDERS,
        "all others; what the rack held waits: take-over is missing",
        (),
    ),
    Failure(
        "a zone",
        target.ZONE_FORWARDERS,
        "the other zones; what the zone held waits: take-over is missing",
        (
            ("leases out, s", "failure: zone: lease seconds"),
            ("shares moved, s", "failure: zone: share seconds"),
            ("others' leases lost", "failure: zone: others' leases lost"),
            ("beats a second", "failure: zone: beats"),
        ),
    ),
    Failure(
        "an hour of split regions",
        0,
        "each region for its own destinations; the rest is held",
        (
            (
                "share left on the service's side",
                f"{SPLIT}: part of the whole that the others have",
            ),
            (
                "heal to last share, s",
                f"{SPLIT}: seconds from the heal to the last share",
            ),
        ),
        target.MESSAGES_PER_S * target.CROSSING_SHARE,
        target.SPLIT_S,
    ),
    Failure(
        "the control machine with the list service",
        0,
        "all forwarders on the last list; shares run to their reserve; a second list service is missing",
        (
            (
                "all leases renewed, s",
                "failure: service restart: seconds until all renewed",
            ),
            ("leases lost", "failure: service restart: leases lost"),
        ),
    ),
    Failure(
        "all of control",
        0,
        "all forwarders on the last list, with their reserve of each budget",
        (
            ("leases lost after 5 s away", "failure: service away 5 s: leases lost"),
            (
                "all leases renewed, s",
                "failure: service away 5 s: seconds until all renewed",
            ),
        ),
    ),
)


def lost_per_s(failure: Failure) -> float:
    """Return the messages a second of the failed forwarders.

    The rate applies until clients use other forwarders.
    """
    return failure.forwarders * target.FORWARDER_PER_S


def others_per_s(failure: Failure) -> float:
    """Return the messages a second of each other forwarder, if load is even."""
    return target.MESSAGES_PER_S / (target.FORWARDERS - failure.forwarders)


def held_messages(failure: Failure) -> float:
    """Return the accepted messages that cannot be sent during the failure."""
    return (
        failure.forwarders * target.FORWARDER_BACKLOG
        + failure.held_back_per_s * failure.duration_s
    )


def control_figures(
    failure: Failure, entries: dict[str, Entry]
) -> list[tuple[str, LocatedSeries | None]]:
    """Return the label and the series of each control plane value."""
    return [(label, find_series(entries, series)) for label, series in failure.control]
