"""Heartbeats on the wire: the request, and the types of its answers.

See docs/parts.md, "What all share".
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
    """This member's share of a destination's budget."""

    calls: NonNegativeInt
    """Calls of this member in each span."""
    number: NonNegativeInt
    """The share's own number, which grows."""
    whole: NonNegativeInt
    """Calls of the whole fleet in each span."""
    span_ms: Milliseconds
    reserve: NonNegativeInt | None = None
    slack_ms: NonNegativeInt | None = None


class HeartbeatResponse(Struct):
    """The answer to a heartbeat that is granted (200)."""

    token: IntPair
    """The lease's fencing token."""
    ttl_ms: Milliseconds
    sent: NonNegativeInt
    """The number of the request that it answers."""
    version: int
    """Version of the fleet, which the watch follows."""
    list: IntPair | None = None
    """Version of the list of members."""
    shares: dict[str, BudgetShare] = {}


class HeartbeatRefusal(Struct):
    """The answer to a heartbeat that is refused (409)."""

    error: str = ""
    """`lost` (the lease is over) or `held` (not now)."""
    retry_ms: NonNegativeInt = 0
    seen: IntPair | None = None
    """The highest fencing token that the service knows of this name."""
    faults: list[str] = []


def encode_heartbeat(
    config: FleetConfig,
    advertised_address: str,
    run_id: str,
    lease_request: LeaseRequest,
    needs: Mapping[str, Mapping[str, int]],
    extra_fields: Mapping[str, Any],
) -> bytes:
    """Return the body of a heartbeat.

    Args:
        config: How this forwarder is a member of the fleet.
        advertised_address: Where its clients and peers reach it.
        run_id: Differs for each run of the process.
        lease_request: The lease that is renewed, or joined for.
        needs: Calls that are wanted, by destination and by whose demand they are.
        extra_fields: What only a renewal or only a join says.
    """
    token = lease_request.token
    highest_seen = lease_request.highest_seen
    return json.dumps(
        {
            "name": config.name,
            "site": config.site,
            "dial": advertised_address,
            "sent": lease_request.number,
            "run": run_id,
            "token": token.to_wire() if token is not None else None,
            "seen": highest_seen.to_wire() if highest_seen != ZERO_TOKEN else None,
            "needs": needs,
            **extra_fields,
        },
        separators=(",", ":"),
    ).encode()
