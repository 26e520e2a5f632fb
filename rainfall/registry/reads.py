"""The discovery address: the list, its watches, and notices, as PROTOCOL "Discovery"
and "Notices" say.
"""

from __future__ import annotations

from aiohttp import web

from rainfall.registry import bodies
from rainfall.registry.house import House
from rainfall.registry.web import answer, get, long_answer, whole_body

MOST_HOLD_MS = 60_000


def routes(house: House) -> list[web.RouteDef]:
    async def hosts(request: web.Request) -> web.StreamResponse:
        ask = bodies.query(request.query, bodies.Ask)
        house.figures.reads += 1
        await house.seen(ask.since, ask.epoch)
        hold = min(ask.hold_ms, MOST_HOLD_MS)
        if (
            hold > 0
            and house.registry.waits(ask.since, ask.epoch)
            and not house.stopping
        ):
            await house.hold(house.changed, hold)
        return await long_answer(request, house.answer(ask.since, ask.epoch))

    async def notices(request: web.Request) -> web.StreamResponse:
        told = bodies.notices(await whole_body(request, house.bounds))
        house.noting.add(told)
        house.figures.notices += len(told)
        return answer(
            204
        )  # at once, as PROTOCOL asks; keeping them is the service's own work

    return [
        get("/discovery/hosts", hosts),
        get("/v1/hosts", hosts),
        web.post("/v1/notices", notices),
    ]
