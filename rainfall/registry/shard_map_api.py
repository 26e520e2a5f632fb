"""HTTP routes of the shard map: read, replace, move a range, and migration status."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp import web

from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.heartbeat_extension import Row
from rainfall.registry.http_server import (
    await_stored,
    get_route,
    json_response,
    parse_version,
    read_body,
    read_json,
)
from rainfall.registry.request_error import RequestError
from rainfall.registry.shard_map_extension import ShardMapExtension
from rainfall.shard.map_validation import MAX_MOVED_SHARE, evaluate_update
from rainfall.shard.shard_map import (
    KEY_BITS,
    ShardMap,
    UnreadableInputError,
    decode_json,
    format_key,
    parse_key,
)


async def put_map(
    fleet: FleetCoordinator,
    maps: ShardMapExtension,
    make_map: Callable[[], Any],
    reason: str,
    expected_generation: int | None,
) -> bool:
    """Store the map that `make_map` returns, as decoded from JSON, and put it in force.

    `reason` is stored and logged with the map. Returns False if the map was in force
    already.

    Raises:
        RequestError: 412 if `expected_generation` is not the generation in force, 422
            with every fault of the map.
        QueueFullError: The write queue is full.
        OSError: The map could not be stored.
    """
    changed = False

    def rows(_: int) -> list[Row]:
        nonlocal changed
        current = maps.migration.map
        generation = _generation(current)
        if expected_generation is not None and expected_generation != generation:
            raise RequestError(412, [f"generation {generation} is in force"])
        members = {member.name for member in fleet.roster.active_members()}
        new, faults = evaluate_update(
            make_map(), members, current, MAX_MOVED_SHARE, KEY_BITS
        )
        if faults:
            raise RequestError(422, [str(fault) for fault in faults])
        changed = new is not None
        return [] if new is None else [{"put": new.to_wire(), "why": reason}]

    await fleet.apply_rows(maps.name, rows)
    return changed


def routes(fleet: FleetCoordinator, maps: ShardMapExtension) -> list[web.RouteDef]:
    """Return the routes of the write address: the reads and the changes."""

    async def put(request: web.Request) -> web.StreamResponse:
        try:
            raw = decode_json(await read_body(request, fleet.context.limits))
        except UnreadableInputError as error:
            raise RequestError(400, [str(error)]) from None
        return await _put(request, lambda: raw, "by hand")

    async def move(request: web.Request) -> web.StreamResponse:
        call = await read_json(request, fleet.context.limits)
        first, last, owner = _parse_move(call)

        def moved_map() -> Any:
            current = maps.migration.map
            if current is None:
                raise RequestError(404, ["no map is in force"])
            return _map_with_moved_range(current, first, last, owner)

        return await _put(request, moved_map, "moved by hand")

    async def _put(
        request: web.Request, make_map: Callable[[], Any], reason: str
    ) -> web.StreamResponse:
        expected_generation = parse_version(
            request.headers.get("If-Match", ""), "If-Match"
        )
        changed = await await_stored(
            put_map(fleet, maps, make_map, reason, expected_generation)
        )
        generation = _generation(maps.stored_map)
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
    """Return the read routes of the map and its migration, served at both addresses."""

    async def show(_: web.Request) -> web.StreamResponse:
        if maps.stored_map is None:
            raise RequestError(404, ["no map is in force"])
        return json_response(
            200, maps.encoded_map(), {"ETag": f'"{maps.stored_map.generation}"'}
        )

    async def moves(_: web.Request) -> web.StreamResponse:
        return json_response(200, _migration_fields(maps, fleet.context.now_us()))

    return [get_route("/v1/map", show), get_route("/v1/map/moves", moves)]


def _generation(shard_map: ShardMap | None) -> int:
    return 0 if shard_map is None else shard_map.generation


def _map_with_moved_range(
    current: ShardMap, first: int, last: int, owner: str
) -> dict[str, Any]:
    """Return the next generation, with the keys from `first` to `last` moved to `owner`."""
    new_ranges = [(first, last, owner)]
    for part in current.ranges:
        if part.first < first:
            new_ranges.append((part.first, min(part.last, first - 1), part.owner))
        if part.last > last:
            new_ranges.append((max(part.first, last + 1), part.last, part.owner))
    return {
        "generation": current.generation + 1,
        "ranges": [
            {
                "from": format_key(new_first),
                "to": format_key(new_last),
                "owner": new_owner,
            }
            for new_first, new_last, new_owner in sorted(new_ranges)
        ],
    }


def _migration_fields(maps: ShardMapExtension, now_us: int) -> dict[str, Any]:
    """Return the holders of ranges, and the ranges still to be moved, in wire format."""
    migration = maps.migration
    return {
        "generation": _generation(maps.stored_map),
        "quiet_ms": max(migration.grants_from_us - now_us, 0) // 1_000,
        "holders": [
            {
                "name": holder.name,
                "token": token.to_wire(),
                "left_ms": max(holder.expires_at_us - now_us, 0) // 1_000,
                "ranges": [
                    {
                        "from": format_key(hold.first),
                        "to": format_key(hold.last),
                        "token": hold.token.to_wire(),
                        "begun": hold.since_generation,
                    }
                    for hold in holder.holds
                ],
            }
            for token, holder in sorted(migration.holders.items())
        ],
        "moving": [
            {
                "from": format_key(first),
                "to": format_key(last),
                "held_by": held_by,
                "owner": owner,
            }
            for first, last, held_by, owner in migration.ranges_in_migration()
        ],
    }


def _parse_move(call: Any) -> tuple[int, int, str]:
    """Parse the first key, the last key and the new owner of a move.

    Raises:
        RequestError: 400 with every fault.
    """
    if not isinstance(call, dict):
        raise RequestError(400, ["an object with from, to and owner"])
    keys = parse_key(call.get("from")), parse_key(call.get("to"))
    faults = [
        f"{name}: 16 lower-case hexadecimal digits"
        for name, key in zip(("from", "to"), keys, strict=True)
        if key is None
    ]
    if not isinstance(call.get("owner"), str):
        faults.append("owner: a member's name")
    faults += [
        f"{name}: not known" for name in sorted(set(call) - {"from", "to", "owner"})
    ]
    first, last = keys
    if faults or first is None or last is None or first > last:
        raise RequestError(400, faults or ["to: before from"])
    return first, last, call["owner"]
