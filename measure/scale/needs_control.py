"""Defines the needs of the control plane at the target's size.

They concern members, budgets, list service, configuration and shard map.
"""

from __future__ import annotations

from dataclasses import dataclass

from measure.scale import target
from measure.scale.needs import MISSING, MS, Kind, Need, Source
from measure.scale.target import Role

BEATS_PER_S = 1 / target.MEMBERS_BEAT_S
FLEET = float(target.FORWARDERS)
ENDPOINTS = float(target.DESTINATIONS)
REAL_FORWARDERS = 20.0
"""Real forwarders that run beside hollow members; one's need is independent of them.
"""
DAY_S = 86_400.0
BUDGETS = float(target.DESTINATIONS)
CORE_ALLOWANCE, BYTES_ALLOWANCE, WIRE_BYTES_PER_S = (
    target.CONTROL_CORE_SHARE,
    target.CONTROL_BYTES,
    target.CONTROL_BYTES_PER_S,
)


@dataclass(frozen=True, slots=True)
class RequiredShare:
    """A share that has to be 1 at every size.

    A lower share means that something is lost, not merely slow.
    """

    name: str
    series: str


REQUIRED_SHARES = (
    RequiredShare("endpoints of the list that a forwarder may call", "list_reachable"),
    RequiredShare(
        "endpoints of the list that a restart reads from the journal", "list_recovered"
    ),
    RequiredShare("whole lists that arrive at a forwarder's client", "list_arrives"),
)

CONTROL_NEEDS = (
    # Leases and members
    Need(
        Role.MEMBERS,
        Kind.MESSAGES,
        "bytes a second of beats and watches, three budgets",
        (
            "member: bytes a second of beats at rest",
            "member: bytes a second of the fleet's watch at rest",
            "member: bytes a second of the list's watch at rest",
        ),
        FLEET,
        WIRE_BYTES_PER_S,
        Source.STATED,
        "byte/s",
        "one beat a third of a lease",
    ),
    Need(
        Role.MEMBERS,
        Kind.PROCESSOR,
        "a forwarder's part, three budgets",
        ("member: part of a core for control at rest",),
        FLEET,
        CORE_ALLOWANCE,
        Source.STATED,
        "core",
        "beats",
    ),
    Need(
        Role.MEMBERS,
        Kind.MEMORY,
        "a forwarder's part, three budgets",
        ("member: memory, its part of a process of hollow members",),
        FLEET,
        BYTES_ALLOWANCE,
        Source.STATED,
        "byte",
        "members' list and purses",
    ),
    Need(
        Role.MEMBERS,
        Kind.STATE,
        "the list of members in one answer",
        ("members_told_whole_bytes",),
        FLEET,
        target.RECORD_BYTES,
        Source.ASSUMED,
        "byte",
        "whole once, then changes",
    ),
    # The list service and the machines it runs on
    Need(
        Role.LIST_SERVICE,
        Kind.PROCESSOR,
        "at rest, three budgets",
        ("list service: part of a core at rest",),
        FLEET,
        target.SERVICE_CORES,
        Source.ASSUMED,
        "core",
        "one process",
    ),
    Need(
        Role.CONTROL_MACHINES,
        Kind.MEMORY,
        "the list service with its members, three budgets",
        ("list service: memory with its members at rest",),
        FLEET,
        target.MACHINE_BYTES,
        Source.ASSUMED,
        "byte",
        "one process on one machine; no replica",
    ),
    Need(
        Role.LIST_SERVICE,
        Kind.TIME,
        "one whole list encoded",
        ("list_service_whole_ms",),
        ENDPOINTS,
        target.PAUSE_S,
        Source.ASSUMED,
        "s",
        "encoded once a version",
        MS,
    ),
    Need(
        Role.CONTROL_MACHINES,
        Kind.PROCESSOR,
        "changes of the list, told to all forwarders",
        ("list_service_tell_ms",),
        ENDPOINTS,
        target.SERVICE_CORES,
        Source.ASSUMED,
        "core",
        "one process",
        target.LIST_CHANGES_PER_S * MS,
    ),
    # Budgets
    Need(
        Role.BUDGETS,
        Kind.MESSAGES,
        "bytes a second where a budget for each destination is spoken of",
        ("books_beat_bytes", "books_answer_bytes"),
        BUDGETS,
        WIRE_BYTES_PER_S,
        Source.STATED,
        "byte/s",
        MISSING,
        BEATS_PER_S,
    ),
    Need(
        Role.BUDGETS,
        Kind.PROCESSOR,
        "a forwarder's beats, a budget for each destination",
        ("books_ask_ms", "books_answer_ms"),
        BUDGETS,
        CORE_ALLOWANCE,
        Source.STATED,
        "core",
        MISSING,
        BEATS_PER_S * MS,
    ),
    Need(
        Role.BUDGETS,
        Kind.MEMORY,
        "a forwarder's purses, a budget for each destination",
        ("books_purse_bytes",),
        BUDGETS,
        BYTES_ALLOWANCE,
        Source.STATED,
        "byte",
        "one purse a budget",
    ),
    Need(
        Role.BUDGETS,
        Kind.TIME,
        "the ledger's look at budgets at rest, 30 members",
        ("ledger_budgets_rest_ms",),
        BUDGETS,
        target.PAUSE_S,
        Source.ASSUMED,
        "s",
        MISSING,
        MS,
    ),
    Need(
        Role.BUDGETS,
        Kind.TIME,
        "a need that moved until its last share, three budgets",
        ("budgets: wall seconds until the last share moved after new needs",),
        FLEET,
        target.SHARES_MOVED_S,
        Source.ASSUMED,
        "s",
        "beats at once for news",
    ),
    # Configuration and the list at a forwarder
    Need(
        Role.CONFIGURATION,
        Kind.TIME,
        "a changed entry of the list at the last member",
        ("configuration: wall seconds until the last member has a changed list entry",),
        FLEET,
        target.CONFIGURATION_S,
        Source.STATED,
        "s",
        "held watches",
    ),
    Need(
        Role.CONFIGURATION,
        Kind.TIME,
        "a changed budget at the last member",
        ("configuration: wall seconds until the last member has a changed budget",),
        FLEET,
        target.CONFIGURATION_S,
        Source.STATED,
        "s",
        "held watches and beats",
    ),
    Need(
        Role.CONTROL_PART,
        Kind.PROCESSOR,
        "changes of the list, from the wire to the journal",
        ("list_change_ms",),
        ENDPOINTS,
        CORE_ALLOWANCE,
        Source.STATED,
        "core",
        MISSING,
        target.LIST_CHANGES_PER_S * MS,
    ),
    Need(
        Role.CONTROL_PART,
        Kind.TIME,
        "the loop stands still for a whole list",
        ("list_take_ms",),
        ENDPOINTS,
        target.PAUSE_S,
        Source.ASSUMED,
        "s",
        MISSING,
        MS,
    ),
    Need(
        Role.CONTROL_PART,
        Kind.MEMORY,
        "the list of endpoints while it is read",
        ("list_peak_bytes",),
        ENDPOINTS,
        BYTES_ALLOWANCE,
        Source.STATED,
        "byte",
        "one record an endpoint",
    ),
    # The shard map
    Need(
        Role.SHARD_MAP,
        Kind.TIME,
        "one plan for the fleet",
        ("shard_owners_plan_ms",),
        FLEET,
        target.PAUSE_S,
        Source.ASSUMED,
        "s",
        "planned by the service",
        MS,
    ),
    Need(
        Role.SHARD_MAP,
        Kind.MESSAGES,
        "a forwarder's own ranges in each beat's answer",
        ("shard_owners_told_bytes",),
        FLEET,
        WIRE_BYTES_PER_S,
        Source.STATED,
        "byte/s",
        "told with each beat",
        BEATS_PER_S,
    ),
    Need(
        Role.SHARD_MAP,
        Kind.STATE,
        "the whole map in one record",
        ("shard_owners_map_bytes",),
        FLEET,
        target.RECORD_BYTES,
        Source.ASSUMED,
        "byte",
        "one record",
    ),
    # Configuration files, and the budgets in the service's memory
    Need(
        Role.CONFIGURATION,
        Kind.TIME,
        "the loop stands still for a file that lists all endpoints",
        ("config_endpoints_apply_ms",),
        ENDPOINTS,
        target.PAUSE_S,
        Source.ASSUMED,
        "s",
        MISSING,
        MS,
    ),
    Need(
        Role.CONFIGURATION,
        Kind.PROCESSOR,
        "a day's files, each read, examined and put in force",
        (
            "config_endpoints_load_ms",
            "config_endpoints_examine_ms",
            "config_endpoints_apply_ms",
        ),
        ENDPOINTS,
        CORE_ALLOWANCE,
        Source.STATED,
        "core",
        "whole files",
        target.CONFIGURATIONS_PER_DAY / DAY_S * MS,
    ),
    Need(
        Role.CONTROL_MACHINES,
        Kind.STATE,
        "memory of a ledger for 30 members, a budget for each destination",
        ("ledger_budgets_kept_bytes",),
        BUDGETS,
        target.MACHINE_BYTES,
        Source.ASSUMED,
        "byte",
        "one account a member and budget",
    ),
    Need(
        Role.CONTROL_MACHINES,
        Kind.TIME,
        "the service's whole look at budgets at rest, 30 members",
        ("ledger_budgets_service_rest_ms",),
        BUDGETS,
        target.PAUSE_S,
        Source.ASSUMED,
        "s",
        MISSING,
        MS,
    ),
    Need(
        Role.LIST_SERVICE,
        Kind.PROCESSOR,
        "at rest, 60 members that each name a budget for each destination",
        ("list service: part of a core at rest, 60 members, all wanted",),
        BUDGETS,
        target.SERVICE_CORES,
        Source.ASSUMED,
        "core",
        MISSING,
    ),
    Need(
        Role.CONTROL_PART,
        Kind.PROCESSOR,
        "a whole real forwarder without messages, three budgets",
        ("real forwarder, member: part of a core at rest",),
        REAL_FORWARDERS,
        CORE_ALLOWANCE,
        Source.STATED,
        "core",
        "beats",
    ),
)
