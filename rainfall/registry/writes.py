"""The write address, for staff and servers: all that the discovery address has,
changes, notices to read.
"""

from __future__ import annotations

import hashlib

from aiohttp import web

from rainfall.registry import bodies, reads
from rainfall.registry.bodies import Refused
from rainfall.registry.core import Change
from rainfall.registry.house import House
from rainfall.registry.web import answer, canonical, get, json_body, whole_number


def routes(house: House) -> list[web.RouteDef]:
    async def change(request: web.Request) -> web.StreamResponse:
        body = await json_body(request, house.bounds)
        match = whole_number(request.headers.get("If-Match", ""), "If-Match")
        digest = hashlib.sha256(canonical(body)).hexdigest()[:32]
        try:
            told = await house.change(body, digest, match)
        except OSError as error:
            raise _unkept(error) from None
        seq = told.seq if isinstance(told, Change) else told
        made = {
            "seq": seq,
            "epoch": house.registry.epoch,
            "changed": isinstance(told, Change),
        }
        return answer(200, made, {"ETag": f'"{seq}"'})

    async def epoch(request: web.Request) -> web.StreamResponse:
        above = bodies.taken(await json_body(request, house.bounds), bodies.Above).above
        try:
            await house.lift(max(above, house.registry.fence))
            await house.begin_epoch(0, above)
        except OSError as error:
            raise _unkept(error) from None
        now = house.registry
        return answer(200, {"seq": now.seq, "epoch": now.epoch, "fence": now.fence})

    async def notices(request: web.Request) -> web.StreamResponse:
        ask = bodies.query(request.query, bodies.AskNotices)
        rows = house.disk.read_notices(ask.since, min(ask.most, 10_000))
        after = rows[-1]["n"] + 1 if rows else max(ask.since, house.disk.notice_count)
        return answer(200, {"next": after, "notices": rows})

    return [
        *reads.routes(house),
        web.post("/v1/hosts", change),
        web.post("/v1/epoch", epoch),
        get("/v1/notices", notices),
    ]


def _unkept(error: OSError) -> Refused:
    return Refused(507, [f"the change could not be kept: {error.strerror or error}"])
