"""The discovery address: the endpoint list, its watches, and notices.

PROTOCOL "Discovery" and "Notices" define the calls.
"""

from __future__ import annotations

from aiohttp import web

from rainfall.registry import request_schemas
from rainfall.registry.http_server import (
    get_route,
    json_response,
    read_body,
    streamed_response,
)
from rainfall.registry.service_context import ServiceContext

MAX_HOLD_MS = 60_000
"""The longest time that a watch is held; a longer `hold_ms` is cut to this."""


def routes(context: ServiceContext) -> list[web.RouteDef]:
    """Return all routes of the discovery address."""

    async def hosts(request: web.Request) -> web.StreamResponse:
        query = request_schemas.parse_query(request.query, request_schemas.ListQuery)
        context.metrics.reads += 1
        await context.epoch_claims.observe(query.since, query.epoch)
        hold_ms = min(query.hold_ms, MAX_HOLD_MS)
        is_up_to_date = context.registry.is_up_to_date(query.since, query.epoch)
        if hold_ms > 0 and is_up_to_date and not context.stopping:
            await context.hold_watch(context.list_changed, hold_ms)
        return await streamed_response(
            request, context.encoded_answer(query.since, query.epoch)
        )

    async def notices(request: web.Request) -> web.StreamResponse:
        received = request_schemas.parse_notices(
            await read_body(request, context.limits)
        )
        context.notice_commit.add(received)
        context.metrics.notices += len(received)
        # PROTOCOL requires an immediate answer, so the write is not awaited.
        return json_response(204)

    return [
        get_route("/discovery/hosts", hosts),
        get_route("/v1/hosts", hosts),
        web.post("/v1/notices", notices),
    ]
