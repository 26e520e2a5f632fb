"""Heartbeats as JSON: the body of the request, and the types of its responses.

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
"""[epoch, number] of a fencing token, or [epoch, version] of the member list."""
Milliseconds = Annotated[int, Meta(ge=1, lt=1 << 42)]


class BudgetShare(Struct):
    """This member's share of a destination's budget."""

    calls: NonNegativeInt
    """Calls that this member may send in every sliding span."""
    number: NonNegativeInt
    """Sequence number of the share: a newer share has a higher one."""
    whole: NonNegativeInt
    """Calls that the whole fleet may send in every sliding span."""
    span_ms: Milliseconds
    reserve: NonNegativeInt | None = None
    """Calls in every span that this member may send without a valid lease."""
    slack_ms: NonNegativeInt | None = None
    """Longest time from the permit of a call to its first byte."""


class HeartbeatResponse(Struct):
    """The response to a heartbeat that is granted (HTTP status 200)."""

    token: IntPair
    """The lease's fencing token."""
    ttl_ms: Milliseconds
    sent: NonNegativeInt
    """Number of the request, repeated."""
    version: int
    """Version of the fleet; the watch waits until it differs from this one."""
    list: IntPair | None = None
    """Epoch and version of the member list."""
    shares: dict[str, BudgetShare] = {}
    """Shares by destination."""


class HeartbeatRefusal(Struct):
    """The response to a heartbeat that is refused (HTTP status 409)."""

    error: str = ""
    """`lost`: the lease has ended; `held`: the name is held, or not known to be free."""
    retry_ms: NonNegativeInt = 0
    """Delay until the next heartbeat."""
    seen: IntPair | None = None
    """The highest fencing token that the service has seen for this name."""
    faults: list[str] = []
    """Reasons, for the log."""


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
        config: The configuration of this member.
        advertised_address: The address at which clients and peers reach it.
        run_id: Random id of this run of the process.
        lease_request: The request that joins or renews the lease.
        needs: Calls wanted in a span, by destination and by part of its demand (class
            and tenant).
        extra_fields: Further fields that only a renewal or only a join has.
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
