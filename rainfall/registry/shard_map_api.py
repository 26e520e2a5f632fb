"""The map by hand: `GET` and `PUT /v1/map`, a range moved, and who holds what while it
moves.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp import web

from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.heartbeat_extension import Row
from rainfall.registry.http_server import (
    get_route,
    json_response,
    parse_version,
    read_body,
    read_json,
)
from rainfall.registry.request_schemas import RequestError
from rainfall.registry.shard_map_extension import ShardMapExtension
from rainfall.shard.map_validation import MAX_MOVED_SHARE, evaluate_update
from rainfall.shard.shard_map import (
    KEY_BITS,
    UnreadableInputError,
    decode_json,
    format_key,
    parse_key,
)


async def put_map(
    fleet: FleetCoordinator,
    maps: ShardMapExtension,
    make: Callable[[], Any],
    why: str,
    match: int | None,
) -> bool:
    """Put the map that `make` gives (as decoded from JSON) in force if `shard.check`
    finds no fault in it; durable when this returns. False: it is in force already.
    Raises Refused (412, 422), Full, OSError.
    """
    changed = False

    def rows(_: int) -> list[Row]:
        nonlocal changed
        current = maps.migration.map
        if match is not None and match != (
            0 if current is None else current.generation
        ):
            raise RequestError(
                412, [f"generation {current.generation if current else 0} is in force"]
            )
        members = {member.name for member in fleet.roster.active_members()}
        new, faults = evaluate_update(
            make(), members, current, MAX_MOVED_SHARE, KEY_BITS
        )
        if faults:
            raise RequestError(422, [str(fault) for fault in faults])
        changed = new is not None
        return [] if new is None else [{"put": new.to_wire(), "why": why}]

    await fleet.apply_rows(maps.name, rows)
    return changed


def routes(fleet: FleetCoordinator, maps: ShardMapExtension) -> list[web.RouteDef]:
    """At the write address: the reads, and what changes."""

    async def put(request: web.Request) -> web.StreamResponse:
        try:
            raw = decode_json(await read_body(request, fleet.context.limits))
        except UnreadableInputError as error:
            raise RequestError(400, [str(error)]) from None
        return await _put(request, lambda: raw, "by hand")

    async def move(request: web.Request) -> web.StreamResponse:
        call = await read_json(request, fleet.context.limits)
        first, last, owner = _parse_move(call)

        def made() -> Any:
            current = maps.migration.map
            if current is None:
                raise RequestError(404, ["no map is in force"])
            cells = [(first, last, owner)]
            for r in current.ranges:
                if r.first < first:
                    cells.append((r.first, min(r.last, first - 1), r.owner))
                if r.last > last:
                    cells.append((max(r.first, last + 1), r.last, r.owner))
            return {
                "generation": current.generation + 1,
                "ranges": [
                    {"from": format_key(a), "to": format_key(b), "owner": name}
                    for a, b, name in sorted(cells)
                ],
            }

        return await _put(request, made, "moved by hand")

    async def _put(
        request: web.Request, make: Callable[[], Any], why: str
    ) -> web.StreamResponse:
        match = parse_version(request.headers.get("If-Match", ""), "If-Match")
        try:
            changed = await put_map(fleet, maps, make, why, match)
        except OSError as error:
            raise RequestError(
                507, [f"it could not be kept: {error.strerror or error}"]
            ) from None
        generation = maps.stored_map.generation if maps.stored_map else 0
        return json_response(
            200,
            {"generation": generation, "changed": changed},
            {"ETag": f'"{generation}"'},
        )

    return [
        *read_routes(fleet, maps),
        web.put("/v1/map", put),
        web.post("/v1/map/move", move),
    ]


def read_routes(fleet: FleetCoordinator, maps: ShardMapExtension) -> list[web.RouteDef]:
    async def show(_: web.Request) -> web.StreamResponse:
        if maps.stored_map is None:
            raise RequestError(404, ["no map is in force"])
        return json_response(
            200, maps.encoded_map(), {"ETag": f'"{maps.stored_map.generation}"'}
        )

    async def moves(_: web.Request) -> web.StreamResponse:
        now_us = fleet.context.now_us()
        return json_response(
            200,
            {
                "generation": maps.stored_map.generation if maps.stored_map else 0,
                "quiet_ms": max(maps.migration.grants_from_us - now_us, 0) // 1_000,
                "holders": [
                    {
                        "name": h.name,
                        "token": token.to_wire(),
                        "left_ms": max(h.expires_at_us - now_us, 0) // 1_000,
                        "ranges": [
                            {
                                "from": format_key(x.first),
                                "to": format_key(x.last),
                                "token": x.token.to_wire(),
                                "begun": x.since_generation,
                            }
                            for x in h.holds
                        ],
                    }
                    for token, h in sorted(maps.migration.holders.items())
                ],
                "moving": [
                    {
                        "from": format_key(first),
                        "to": format_key(last),
                        "held_by": held_by,
                        "owner": owner,
                    }
                    for first, last, held_by, owner in maps.migration.ranges_in_migration()
                ],
            },
        )

    return [get_route("/v1/map", show), get_route("/v1/map/moves", moves)]


def _parse_move(call: Any) -> tuple[int, int, str]:
    """The range and the owner of a move. Raises Refused(400) with every fault."""
    if not isinstance(call, dict):
        raise RequestError(400, ["an object with from, to and owner"])
    ends = parse_key(call.get("from")), parse_key(call.get("to"))
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
        raise RequestError(400, faults or ["to: before from"])
    return first, last, call["owner"]
