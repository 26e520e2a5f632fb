"""The discovery address: the list, its watches, and notices, as PROTOCOL "Discovery"
and "Notices" say.
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


def routes(context: ServiceContext) -> list[web.RouteDef]:
    async def hosts(request: web.Request) -> web.StreamResponse:
        ask = request_schemas.parse_query(request.query, request_schemas.ListQuery)
        context.metrics.reads += 1
        await context.observe_claim(ask.since, ask.epoch)
        hold = min(ask.hold_ms, MAX_HOLD_MS)
        if (
            hold > 0
            and context.registry.is_up_to_date(ask.since, ask.epoch)
            and not context.stopping
        ):
            await context.hold_watch(context.list_changed, hold)
        return await streamed_response(
            request, context.encoded_answer(ask.since, ask.epoch)
        )

    async def notices(request: web.Request) -> web.StreamResponse:
        told = request_schemas.parse_notices(await read_body(request, context.limits))
        context.notice_commit.add(told)
        context.metrics.notices += len(told)
        return json_response(
            204
        )  # at once, as PROTOCOL asks; keeping them is the service's own work

    return [
        get_route("/discovery/hosts", hosts),
        get_route("/v1/hosts", hosts),
        web.post("/v1/notices", notices),
    ]
