"""Builds lists, budgets, configurations and forwarders of any size.

The same sizes give the same data at each run.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from rainfall.forwarder.config.loading import (
    Address,
    Config,
    EndpointList,
    parse_config,
    parse_endpoint_list,
)
from rainfall.forwarder.engine.engine import Engine
from rainfall.lease.fencing_token import Token
from rainfall.lease.table import LeaseTable
from rainfall.lease.types import LeaseSettings
from rainfall.member.roster import Roster
from rainfall.registry.endpoint_registry import EndpointRegistry

UNUSED_ADDRESS = Address("127.0.0.1", 9)
ZONES = 6
SECOND_US = 1_000_000
LEASE_US = 3 * SECOND_US
DRIFT = 0.02
DISK_BYTES = 1 << 30
"""Enough for any list, so that no write is skipped for lack of space."""
SETTINGS: dict[str, Any] = {
    "allowed": {
        "conn_idle_us": 5_000_000,
        "dial_timeout_us": 1_000_000,
        "max_attempts": 6,
        "max_open": 1_000_000,
        "max_retry_after_us": 3_000_000,
        "retry_after": True,
        "may_cancel": True,
    },
    "balancers": 540,
    "contract": {
        "grace_to_answer_us": 20_000,
        "drain_grace_us": 500_000,
        "ask_within_us": 10_000_000,
    },
    "discovery": "on_request",
    "family_info": {"slots": 64, "kind_batch": [1], "routes_apart": [False]},
    "host_types": ["plain"],
    "orgs": [{"name": "acme", "allowance_per_s": 1_000.0, "fraction": 1.0}],
    "over_share_worth": 0.1,
    "services": [
        {
            "name": "status",
            "aim_us": 400_000,
            "deadline_us": 4_000_000,
            "effect": "repeatable",
            "by_arrival": False,
        }
    ],
    "telemetry": {"fields": [], "how": "none"},
    "weight_source": "nominal",
}


def dial(number: int) -> str:
    """Return a private address that is unique to an endpoint or member."""
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080"


def endpoint(number: int, health: str = "up") -> dict[str, Any]:
    """Build one entry of the list; each has a destination of its own."""
    return {
        "host": f"endpoint-{number}.zone-{number % ZONES}",
        "dial": dial(number),
        "site": f"zone-{number % ZONES}",
        "class": "plain",
        "block": number,
        "share": 200.0,
        "born_ms": 1_764_000_000_000 + number,
        "health": health,
    }


def registry(count: int) -> EndpointRegistry:
    """Build the list service's state with `count` endpoints, each changed once."""
    registry = EndpointRegistry(epoch=1, seq=count)
    changes = {
        "epoch": 1,
        "seq": count,
        "floor": 0,
        "fence": 1,
        "ids": [],
        "entries": [[n + 1, endpoint(n)] for n in range(count)],
    }
    return registry.from_snapshot(changes)


def roster(count: int, now_us: int = 0) -> Roster:
    """Build a roster of `count` members, all joined and alive."""
    table = LeaseTable(LeaseSettings(DRIFT))
    table.commit(table.start(now_us, history_complete=True, min_epoch=1))
    roster = Roster(table, LEASE_US)
    roster.on_started(now_us)
    joinable_us = now_us + 2 * table.longest_ttl_us
    for number in range(count):
        zone = f"zone-{number % ZONES}"
        grant = roster.join(
            joinable_us, member(number), zone, dial(number), f"run-{number:x}"
        )
        roster.commit(grant.record)  # type: ignore[arg-type]
    return roster


def member(number: int) -> str:
    """Return the name of a member."""
    return f"forwarder-{number}"


def token(number: int) -> Token:
    """Return the fencing token of a member."""
    return Token(1_764_000_000, number + 1)


def budget(number: int, calls: int, members: int, reserve: int = 0) -> dict[str, Any]:
    """Build one budget as in the list service's file of budgets."""
    return {
        "destination": str(number),
        "calls": calls,
        "span_ms": 1_000,
        "reserve": reserve,
        "members_max": members,
    }


def share(calls: int = 7, number: int = 12) -> dict[str, int]:
    """Build a share of one budget as in the answer to a heartbeat."""
    return {
        "calls": calls,
        "number": number,
        "reserve": 1,
        "whole": 2_000,
        "span_ms": 1_000,
        "slack_ms": 5,
    }


def fleet_section(budgets: int = 0, peers: int = 0) -> dict[str, Any]:
    """Build the `fleet` object of a forwarder's configuration."""
    section: dict[str, Any] = {
        "service": "127.0.0.1:9",
        "site": "zone-0",
        "lease_ms": LEASE_US // 1_000,
        "drift": DRIFT,
    }
    if budgets:
        section["budgets"] = [
            {
                "destination": n,
                "span_ms": 1_000,
                "calls": 2_000,
                "members": 540,
                "reserve": 1,
            }
            for n in range(budgets)
        ]
    if peers:
        section["listen"] = "127.0.0.1:9"
        section["peers"] = {member(n): dial(n) for n in range(peers)}
    return section


def configuration(
    endpoints: int = 0, fleet: Mapping[str, Any] | None = None
) -> dict[str, Any]:
    """Build a forwarder's whole configuration file."""
    document: dict[str, Any] = {
        "name": member(0),
        "listen": "127.0.0.1:9",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"cores": 1, "memory_mb": 256, "sockets": 1024, "disk_mb": 1_000},
        "known": {
            "seq": 1,
            "whole": True,
            "hosts": [endpoint(n) for n in range(endpoints)],
        },
        "settings": SETTINGS,
    }
    return document if fleet is None else document | {"fleet": dict(fleet)}


def config(folder: Path, document: Mapping[str, Any] | None = None) -> Config:
    """Parse a configuration, by default one without endpoints."""
    return parse_config(dict(document or configuration()), {"LB_STATE": str(folder)})


def engine(folder: Path, document: Mapping[str, Any] | None = None) -> Engine:
    """Build a forwarder without connections, with a journal that has enough space.

    Needs a running event loop.
    """
    return Engine(config(folder, document))


def whole_list(count: int) -> bytes:
    """Encode the answer to a request for the whole list."""
    return json.dumps(
        {
            "seq": count,
            "whole": True,
            "epoch": 1,
            "hosts": [endpoint(n) for n in range(count)],
        },
        separators=(",", ":"),
    ).encode()


def changed_entry(count: int, number: int, health: str) -> EndpointList:
    """Build the parsed answer that carries the change of one of `count` endpoints."""
    return parse_endpoint_list(
        {
            "seq": count + 1,
            "whole": False,
            "epoch": 1,
            "hosts": [endpoint(number, health)],
        }
    )
