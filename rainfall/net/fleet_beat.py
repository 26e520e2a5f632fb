"""A beat on the wire: what is sent, and the types of what comes back (docs/parts.md,
"What all share").
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Annotated, Any

from msgspec import Meta, Struct

from rainfall.lease.holder import Ask
from rainfall.lease.token import NEVER
from rainfall.net.fleet_config import FleetConfig

Whole = Annotated[int, Meta(ge=0, lt=1 << 53)]
Pair = Annotated[list[Whole], Meta(min_length=2, max_length=2)]
Millis = Annotated[int, Meta(ge=1, lt=1 << 42)]


class Told(Struct):
    """One budget's share."""

    calls: Whole
    number: Whole
    whole: Whole
    span_ms: Millis
    reserve: Whole | None = None
    slack_ms: Whole | None = None


class Answer(Struct):
    token: Pair
    ttl_ms: Millis
    sent: Whole
    version: int
    list: Pair | None = None
    shares: dict[str, Told] = {}


class Refusal(Struct):
    """409. `error`: `lost`, or `held` (not now)."""

    error: str = ""
    retry_ms: Whole = 0
    seen: Pair | None = None
    faults: list[str] = []


def body(
    config: FleetConfig,
    dial: str,
    run: str,
    ask: Ask,
    needs: Mapping[str, Mapping[str, int]],
    more: Mapping[str, Any],
) -> bytes:
    return json.dumps(
        {
            "name": config.name,
            "site": config.site,
            "dial": dial,
            "sent": ask.sent,
            "run": run,
            "token": ask.token.told() if ask.token is not None else None,
            "seen": ask.seen.told() if ask.seen != NEVER else None,
            "needs": needs,
            **more,
        },
        separators=(",", ":"),
    ).encode()
