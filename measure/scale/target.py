"""Defines the size that the program is designed for, and its allowances at that size.

The first part was stated by the operators, the second follows from it, the last is
assumed, with the reason. Nothing here is measured.
"""

from __future__ import annotations

from enum import StrEnum


class Role(StrEnum):
    """The part of the system that a need or a series belongs to."""

    MESSAGE_PATH = "message path"
    JOURNAL = "journal and backlog"
    CONTROL_PART = "control part of a forwarder"
    LIST_SERVICE = "list service"
    MEMBERS = "leases and members"
    BUDGETS = "budgets"
    SHARD_MAP = "shard map"
    CONFIGURATION = "configuration"
    CONTROL_MACHINES = "control machines"


# Stated by the operators

FORWARDERS = 540
"""Forwarders of the whole fleet."""
MESSAGES_PER_S = 540_000
"""Messages that all forwarders accept in a second."""
DESTINATIONS = 44_000
"""Destinations that messages go to."""
DOWN_SHARE = 0.032
"""Part of the destinations that is down at any time."""
BACKLOG = 6_400_000_000
"""Messages that all forwarders hold at most."""
REGIONS = 2
"""Regions the fleet stands in."""
ZONES = 6
"""Zones of both regions together."""
CONFIGURATIONS_PER_DAY = 460
"""Changes of configuration on a day."""
CONFIGURATION_S = 4.0
"""Seconds until a change is in force everywhere."""
CONTROL_CORE_SHARE = 0.034
"""Part of one core that a forwarder may spend on control."""
CONTROL_BYTES = 256_000_000
"""Memory that a forwarder may spend on control."""
CONTROL_BYTES_PER_S = 5_000
"""Bytes a second that a forwarder may spend on control."""
CONTROL_MACHINES = 4
"""Machines set aside for control."""
MACHINES_FAILED_PER_DAY = 2
"""Machines that fail on an ordinary day."""
RESTARTS_PER_DAY = 65
"""Machines that are restarted or replaced on an ordinary day."""
ZONE_FORWARDERS = 90
"""Forwarders that fail with a zone."""
SPLIT_S = 3600.0
"""Seconds of an occasional split between the regions."""

# Follows from what was stated

FORWARDER_PER_S = MESSAGES_PER_S / FORWARDERS
"""Messages a second that one forwarder accepts."""
FORWARDER_BACKLOG = round(BACKLOG / FORWARDERS)
"""Messages that one forwarder holds, if the backlog is spread evenly."""
DOWN_DESTINATIONS = round(DESTINATIONS * DOWN_SHARE)
"""Destinations that are down at any time."""

MEMBERS_BEAT_S = 1.0
"""Seconds between two beats of a member: a third of a lease of 3 s
(`docs/parts.md`).
"""

# Assumed: the operators stated no allowance for messages themselves

MACHINE_BYTES = 24 * 2**30
"""Memory of a machine, assumed: one of the size that the figures are measured on.
(TERMS states 32 to 192 MB, for the bench's days of some thousand messages.)
"""
MACHINE_DISK_BYTES = 250 * 10**9
"""Disk of a machine, assumed: one of the size that the figures are measured on. (TERMS'
days have 3 MB.)
"""
FORWARDER_CORES = 1.0
"""Cores that a forwarder's messages may take, assumed: its process runs one event loop,
thus one core.
"""
SERVICE_CORES = 1.0
"""Cores that the list service may take, assumed: its process runs one event loop, thus
one core.
"""
READY_S = 10.0
"""Seconds from start to ready: FLEET's bound for nine in ten restarted forwarders,
whatever they hold.
"""
RESTORED_S = 60.0
"""Seconds from ready until all held messages are restored, assumed: the operators
stated no value.
"""
PAUSE_S = 0.1
"""Seconds that the event loop may block, assumed: `docs/parts.md` names a tenth of a
second as the maximum.
"""
CALLS_IN_FLIGHT = 500
"""Calls that a forwarder has in flight, assumed: its messages a second at half a second
a call.
"""
LIST_CHANGES_PER_S = 1.0
"""Changes of the list a second, assumed: each of the 44,000 endpoints is drained and
returns once a day.
"""
RECORD_BYTES = 2**21
"""The longest record that the journal can read (`journal.format.MAX_RECORD_BYTES`)."""
JOURNAL_BYTES_PER_S = 100 * 10**6
"""Bytes a second to disk, assumed: the steady rate of an ordinary disk."""
SHARES_MOVED_S = 4.0
"""Seconds until a changed need has its share, assumed: as long as a change of
configuration.
"""
RACK_FORWARDERS = 20
"""Forwarders that fail with a rack or switch, assumed: the operators stated no value.
"""
RESTARTS_AT_ONCE = 1
"""Forwarders that restart at the same time, assumed: they are replaced one after
another.
"""
CROSSING_SHARE = 0.5
"""Part of the messages for destinations in the other region, assumed: no region is
preferred.
"""
