"""Measures the cost of leases and members at the list service.

Measured are heartbeats, the periodic tick, the list of members, the log and a restart,
against the number of members.
"""

from __future__ import annotations

import json
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from measure.scale import control_fixtures as fixtures
from measure.scale import process_probe as probe
from measure.scale.growth import grow
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import FORWARDERS, Role
from rainfall.journal.files import LocalFileSystem
from rainfall.lease.table import LeaseTable
from rainfall.lease.types import LeaseSettings
from rainfall.member.roster import Roster
from rainfall.registry.fleet_log import LEASE_TABLE, FleetLog

SIZES = (30, 100, 300, FORWARDERS, 1_000)
REPEATS = 5
LATER_US = 4 * fixtures.LEASE_US
UNITS = {
    "beat_ms": "ms of processor time",
    "tick_ms": "ms of processor time",
    "due_ms": "ms of processor time",
    "told_whole_ms": "ms of processor time",
    "told_whole_bytes": "bytes",
    "told_change_ms": "ms of processor time",
    "told_change_bytes": "bytes",
    "beat_log_bytes": "bytes",
    "join_log_bytes": "bytes",
    "log_bytes": "bytes",
    "compact_ms": "ms of processor time",
    "recover_ms": "ms of processor time",
}


def open_fleet_log(folder: Path) -> FleetLog:
    """Open the list service's log in a folder and load it."""
    log = FleetLog(folder / "fleet.log", LocalFileSystem(), None)
    log.load()
    return log


def recover(folder: Path) -> Roster:
    """Rebuild the roster from the log, as the list service does at its start."""
    snapshot, records = FleetLog(folder / "fleet.log", LocalFileSystem(), None).load()
    table = LeaseTable.from_snapshot(
        snapshot[LEASE_TABLE], LeaseSettings(fixtures.DRIFT)
    )
    for row in records.get(LEASE_TABLE, []):
        table.commit(row)
    table.commit(table.start(0, history_complete=True))
    roster = Roster(table, fixtures.LEASE_US)
    roster.on_started(0)
    return roster


def join_record(members: int) -> dict[str, Any]:
    """Build the record of one more join to a roster of `members` members."""
    grant = fixtures.roster(members).join(
        LATER_US, "one-more", "zone-0", fixtures.dial(0), "run-0"
    )
    assert grant.record is not None
    return grant.record


def measure_log(members: int) -> dict[str, float]:
    """Measure the log of all joins: appending, compaction and recovery."""
    roster = fixtures.roster(members)
    with tempfile.TemporaryDirectory() as folder:
        log = open_fleet_log(Path(folder))
        log.append([(LEASE_TABLE, join_record(members))])
        join_bytes = log.record_log.size
        compact_ms = probe.processor_ms_each(
            lambda: log.compact({LEASE_TABLE: roster.table.snapshot()})
        )
        recover_ms = probe.processor_ms_each(lambda: recover(Path(folder)))
        recovered = recover(Path(folder))
        assert len(recovered.active_members()) == members
        return {
            "join_log_bytes": join_bytes,
            "log_bytes": log.record_log.size,
            "compact_ms": compact_ms,
            "recover_ms": recover_ms,
        }


def measure_members(members: int) -> dict[str, float]:
    """Measure a heartbeat, the check for expired leases, and the list of members."""
    roster = fixtures.roster(members)
    name = fixtures.member(members // 2)
    token = roster.members[name].token
    now_us = roster.table.read(f"member/{name}").expires_at_us - fixtures.LEASE_US // 2  # type: ignore[union-attr]
    grant = roster.heartbeat(now_us, name, token)
    since = roster.version - 1
    whole, change = (
        roster.changes_since(None, None),
        roster.changes_since(since, roster.epoch),
    )
    return {
        "beat_ms": probe.processor_ms_each(
            lambda: roster.heartbeat(now_us, name, token)
        ),
        "tick_ms": probe.processor_ms_each(lambda: roster.tick(now_us)),
        "due_ms": probe.processor_ms_each(roster.next_tick_us),
        "told_whole_ms": probe.processor_ms_each(
            lambda: msgspec.json.encode(roster.changes_since(None, None))
        ),
        "told_whole_bytes": len(msgspec.json.encode(whole)),
        "told_change_ms": probe.processor_ms_each(
            lambda: msgspec.json.encode(roster.changes_since(since, roster.epoch))
        ),
        "told_change_bytes": len(msgspec.json.encode(change)),
        "beat_log_bytes": 0 if grant.record is None else len(json.dumps(grant.record)),
        **measure_log(members),
    }


def members_series(progress: Progress) -> Iterable[Series]:
    """Measure leases, members and the log against the number of members."""
    growth = grow(SIZES, measure_members, progress, REPEATS)
    for key, unit in UNITS.items():
        yield Series(
            f"members_{key}",
            Role.MEMBERS,
            "members",
            unit,
            growth.points_of(key),
            growth.bound,
        )


MEASUREMENTS = (
    Measurement(
        "control_members",
        "leases, members, their list and the log against members",
        members_series,
    ),
)
