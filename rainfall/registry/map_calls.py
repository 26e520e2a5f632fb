"""The map by hand: `GET` and `PUT /v1/map`, a range moved, and who holds what while it
moves.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp import web

from rainfall.registry.bodies import Refused
from rainfall.registry.fleet import Fleet
from rainfall.registry.maps import Maps
from rainfall.registry.rider import Row
from rainfall.registry.web import answer, get, json_body, whole_body, whole_number
from rainfall.shard.check import MOST_MOVED, judged
from rainfall.shard.maps import BITS, Unreadable, decode, hexed, key_from


async def put_map(
    fleet: Fleet, maps: Maps, make: Callable[[], Any], why: str, match: int | None
) -> bool:
    """Put the map that `make` gives (as decoded from JSON) in force if `shard.check`
    finds no fault in it; durable when this returns. False: it is in force already.
    Raises Refused (412, 422), Full, OSError.
    """
    changed = False

    def rows(_: int) -> list[Row]:
        nonlocal changed
        current = maps.moves.map
        if match is not None and match != (
            0 if current is None else current.generation
        ):
            raise Refused(
                412, [f"generation {current.generation if current else 0} is in force"]
            )
        members = {member.name for member in fleet.roster.in_force()}
        new, faults = judged(make(), members, current, MOST_MOVED, BITS)
        if faults:
            raise Refused(422, [str(fault) for fault in faults])
        changed = new is not None
        return [] if new is None else [{"put": new.told(), "why": why}]

    await fleet.decide(maps.name, rows)
    return changed


def routes(fleet: Fleet, maps: Maps) -> list[web.RouteDef]:
    """At the write address: the reads, and what changes."""

    async def put(request: web.Request) -> web.StreamResponse:
        try:
            raw = decode(await whole_body(request, fleet.house.bounds))
        except Unreadable as error:
            raise Refused(400, [str(error)]) from None
        return await _put(request, lambda: raw, "by hand")

    async def move(request: web.Request) -> web.StreamResponse:
        call = await json_body(request, fleet.house.bounds)
        first, last, owner = _asked(call)

        def made() -> Any:
            current = maps.moves.map
            if current is None:
                raise Refused(404, ["no map is in force"])
            cells = [(first, last, owner)]
            for r in current.ranges:
                if r.first < first:
                    cells.append((r.first, min(r.last, first - 1), r.owner))
                if r.last > last:
                    cells.append((max(r.first, last + 1), r.last, r.owner))
            return {
                "generation": current.generation + 1,
                "ranges": [
                    {"from": hexed(a), "to": hexed(b), "owner": name}
                    for a, b, name in sorted(cells)
                ],
            }

        return await _put(request, made, "moved by hand")

    async def _put(
        request: web.Request, make: Callable[[], Any], why: str
    ) -> web.StreamResponse:
        match = whole_number(request.headers.get("If-Match", ""), "If-Match")
        try:
            changed = await put_map(fleet, maps, make, why, match)
        except OSError as error:
            raise Refused(
                507, [f"it could not be kept: {error.strerror or error}"]
            ) from None
        generation = maps.map.generation if maps.map else 0
        return answer(
            200,
            {"generation": generation, "changed": changed},
            {"ETag": f'"{generation}"'},
        )

    return [
        *reads(fleet, maps),
        web.put("/v1/map", put),
        web.post("/v1/map/move", move),
    ]


def reads(fleet: Fleet, maps: Maps) -> list[web.RouteDef]:
    async def show(_: web.Request) -> web.StreamResponse:
        if maps.map is None:
            raise Refused(404, ["no map is in force"])
        return answer(200, maps.text(), {"ETag": f'"{maps.map.generation}"'})

    async def moves(_: web.Request) -> web.StreamResponse:
        now_us = fleet.house.now_us()
        return answer(
            200,
            {
                "generation": maps.map.generation if maps.map else 0,
                "quiet_ms": max(maps.moves.quiet_until_us - now_us, 0) // 1_000,
                "holders": [
                    {
                        "name": h.name,
                        "token": token.told(),
                        "left_ms": max(h.out_us - now_us, 0) // 1_000,
                        "ranges": [
                            {
                                "from": hexed(x.first),
                                "to": hexed(x.last),
                                "token": x.token.told(),
                                "begun": x.begun,
                            }
                            for x in h.holds
                        ],
                    }
                    for token, h in sorted(maps.moves.holders.items())
                ],
                "moving": [
                    {
                        "from": hexed(first),
                        "to": hexed(last),
                        "held_by": held_by,
                        "owner": owner,
                    }
                    for first, last, held_by, owner in maps.moves.moving()
                ],
            },
        )

    return [get("/v1/map", show), get("/v1/map/moves", moves)]


def _asked(call: Any) -> tuple[int, int, str]:
    """The range and the owner of a move. Raises Refused(400) with every fault."""
    if not isinstance(call, dict):
        raise Refused(400, ["an object with from, to and owner"])
    ends = key_from(call.get("from")), key_from(call.get("to"))
    faults = [
        f"{name}: 16 lower-case hexadecimal digits"
        for name, key in zip(("from", "to"), ends, strict=True)
        if key is None
    ]
    if not isinstance(call.get("owner"), str):
        faults.append("owner: a member's name")
    faults += [
        f"{name}: not known" for name in sorted(set(call) - {"from", "to", "owner"})
    ]
    first, last = ends
    if faults or first is None or last is None or first > last:
        raise Refused(400, faults or ["to: before from"])
    return first, last, call["owner"]
