"""A beat on the wire: what is sent, and the types of what comes back (docs/parts.md,
"What all share").
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Annotated, Any

from msgspec import Meta, Struct

from rainfall.forwarder.config.fleet_config import FleetConfig
from rainfall.lease.fencing_token import ZERO_TOKEN
from rainfall.lease.holder import LeaseRequest

NonNegativeInt = Annotated[int, Meta(ge=0, lt=1 << 53)]
IntPair = Annotated[list[NonNegativeInt], Meta(min_length=2, max_length=2)]
Milliseconds = Annotated[int, Meta(ge=1, lt=1 << 42)]


class BudgetShare(Struct):
    """One budget's share."""

    calls: NonNegativeInt
    number: NonNegativeInt
    whole: NonNegativeInt
    span_ms: Milliseconds
    reserve: NonNegativeInt | None = None
    slack_ms: NonNegativeInt | None = None


class HeartbeatResponse(Struct):
    token: IntPair
    ttl_ms: Milliseconds
    sent: NonNegativeInt
    version: int
    list: IntPair | None = None
    shares: dict[str, BudgetShare] = {}


class HeartbeatRefusal(Struct):
    """409. `error`: `lost`, or `held` (not now)."""

    error: str = ""
    retry_ms: NonNegativeInt = 0
    seen: IntPair | None = None
    faults: list[str] = []


def encode_heartbeat(
    config: FleetConfig,
    advertised_address: str,
    run_id: str,
    lease_request: LeaseRequest,
    needs: Mapping[str, Mapping[str, int]],
    extra_fields: Mapping[str, Any],
) -> bytes:
    return json.dumps(
        {
            "name": config.name,
            "site": config.site,
            "dial": advertised_address,
            "sent": lease_request.number,
            "run": run_id,
            "token": lease_request.token.to_wire()
            if lease_request.token is not None
            else None,
            "seen": lease_request.highest_seen.to_wire()
            if lease_request.highest_seen != ZERO_TOKEN
            else None,
            "needs": needs,
            **extra_fields,
        },
        separators=(",", ":"),
    ).encode()
