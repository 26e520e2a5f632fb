"""The write address, for staff and servers: all that the discovery address has,
changes, notices to read.
"""

from __future__ import annotations

import hashlib

from aiohttp import web

from rainfall.registry import discovery_api, request_schemas
from rainfall.registry.endpoint_registry import Change
from rainfall.registry.http_server import (
    canonical_json,
    get_route,
    json_response,
    parse_version,
    read_json,
)
from rainfall.registry.request_schemas import RequestError
from rainfall.registry.service_context import ServiceContext


def routes(context: ServiceContext) -> list[web.RouteDef]:
    async def change(request: web.Request) -> web.StreamResponse:
        body = await read_json(request, context.limits)
        match = parse_version(request.headers.get("If-Match", ""), "If-Match")
        digest = hashlib.sha256(canonical_json(body)).hexdigest()[:32]
        try:
            told = await context.apply_change(body, digest, match)
        except OSError as error:
            raise _storage_error(error) from None
        seq = told.seq if isinstance(told, Change) else told
        made = {
            "seq": seq,
            "epoch": context.registry.epoch,
            "changed": isinstance(told, Change),
        }
        return json_response(200, made, {"ETag": f'"{seq}"'})

    async def epoch(request: web.Request) -> web.StreamResponse:
        above = request_schemas.decode_as(
            await read_json(request, context.limits), request_schemas.RaiseEpochRequest
        ).above
        try:
            await context.raise_fence(max(above, context.registry.fence))
            await context.begin_epoch(0, above)
        except OSError as error:
            raise _storage_error(error) from None
        now = context.registry
        return json_response(
            200, {"seq": now.seq, "epoch": now.epoch, "fence": now.fence}
        )

    async def notices(request: web.Request) -> web.StreamResponse:
        ask = request_schemas.parse_query(request.query, request_schemas.NoticesQuery)
        rows = context.storage.read_notices(ask.since, min(ask.limit, 10_000))
        after = (
            rows[-1]["n"] + 1
            if rows
            else max(ask.since, context.storage.next_notice_number)
        )
        return json_response(200, {"next": after, "notices": rows})

    return [
        *discovery_api.routes(context),
        web.post("/v1/hosts", change),
        web.post("/v1/epoch", epoch),
        get_route("/v1/notices", notices),
    ]


def _storage_error(error: OSError) -> RequestError:
    return RequestError(
        507, [f"the change could not be kept: {error.strerror or error}"]
    )
