"""HTTP routes of the write address: changes, epochs, and stored notices.

The address serves operators and servers. It also has all routes of the discovery address.
"""

from __future__ import annotations

import hashlib

from aiohttp import web

from rainfall.registry import discovery_api, request_schemas, schema_faults
from rainfall.registry.endpoint_registry import Change
from rainfall.registry.http_server import (
    await_stored,
    canonical_json,
    get_route,
    json_response,
    parse_version,
    read_json,
)
from rainfall.registry.service_context import ServiceContext

DIGEST_CHARACTERS = 32
"""Hex digits kept of the SHA-256 digest that identifies a repeated change."""
STORED_SUBJECT = "the change"
NOTICES_PER_READ = 10_000
"""Maximum number of notices in one answer; a higher `most` is cut to this."""


def routes(context: ServiceContext) -> list[web.RouteDef]:
    """Return all routes of the write address, except those of fleet and extensions."""

    async def change(request: web.Request) -> web.StreamResponse:
        body = await read_json(request, context.limits)
        expected_version = parse_version(
            request.headers.get("If-Match", ""), "If-Match"
        )
        digest = hashlib.sha256(canonical_json(body)).hexdigest()[:DIGEST_CHARACTERS]
        outcome = await await_stored(
            context.apply_change(body, digest, expected_version), STORED_SUBJECT
        )
        seq = outcome.seq if isinstance(outcome, Change) else outcome
        answer = {
            "seq": seq,
            "epoch": context.registry.epoch,
            "changed": isinstance(outcome, Change),
        }
        return json_response(200, answer, {"ETag": f'"{seq}"'})

    async def epoch(request: web.Request) -> web.StreamResponse:
        above = schema_faults.decode_as(
            await read_json(request, context.limits), request_schemas.RaiseEpochRequest
        ).above
        registry = context.registry
        await await_stored(
            context.raise_fence(max(above, registry.fence)), STORED_SUBJECT
        )
        await await_stored(context.begin_epoch(0, above), STORED_SUBJECT)
        return json_response(
            200,
            {"seq": registry.seq, "epoch": registry.epoch, "fence": registry.fence},
        )

    async def notices(request: web.Request) -> web.StreamResponse:
        query = request_schemas.parse_query(request.query, request_schemas.NoticesQuery)
        limit = min(query.limit, NOTICES_PER_READ)
        rows = context.storage.read_notices(query.since, limit)
        next_number = max(query.since, context.storage.next_notice_number)
        if rows:
            next_number = rows[-1]["n"] + 1
        return json_response(200, {"next": next_number, "notices": rows})

    return [
        *discovery_api.routes(context),
        web.post("/v1/hosts", change),
        web.post("/v1/epoch", epoch),
        get_route("/v1/notices", notices),
    ]
