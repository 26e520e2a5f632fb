"""The fleet's address: beats, the watch, and leases by name (docs/parts.md, "What all
of them share").
"""

from __future__ import annotations

from typing import Annotated, Any

from aiohttp import web
from msgspec import Meta, Struct

from rainfall.lease import types
from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.table import Lease, LeaseGrant, LeaseUnavailable
from rainfall.lease.types import MAX_NOTE_ENTRIES, MAX_TEXT_LENGTH
from rainfall.member.roster import MAX_NAME_LENGTH, MEMBER_LEASE_PREFIX
from rainfall.registry import request_schemas
from rainfall.registry.discovery_api import MAX_HOLD_MS
from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.http_server import (
    error_response,
    get_route,
    json_response,
    read_json,
)
from rainfall.registry.member_encoder import MemberEncoder
from rainfall.registry.request_schemas import RequestError, Version

MemberName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
TokenPair = Annotated[list[Version], Meta(min_length=2, max_length=2)]
Milliseconds = Annotated[int, Meta(ge=1, lt=1 << 42)]
CallCount = Annotated[int, Meta(ge=0, lt=1 << 40)]


class HeartbeatRequest(
    Struct,
    rename={
        "sequence": "sent",
        "highest_seen": "seen",
        "run_id": "run",
        "previous_token": "shown",
        "kept_reserves": "keeps",
        "known_list": "list",
        "leaving": "leave",
    },
):
    """`token` null joins.

    Beside the page's fields: `run` names this run of the process, so that a join whose
    answer was lost may be sent again; `shown`, in a join, is the token its process had
    before a restart; `keeps` the reserves it acts on from then, by destination; `list`
    is the [epoch, version] of members that it has (then only changes are told); `leave`
    gives all up. What riders read stands beside these.
    """

    name: MemberName
    site: MemberName
    dial: MemberName
    token: TokenPair | None
    sequence: Version
    highest_seen: TokenPair | None = None
    run_id: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""
    previous_token: TokenPair | None = None
    kept_reserves: Annotated[dict[str, CallCount], Meta(max_length=10_000)] = {}
    known_list: TokenPair | None = None
    leaving: bool = False


class AcquireRequest(
    Struct, rename={"highest_seen": "seen", "previous_token": "shown"}
):
    holder: Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
    ttl_ms: Milliseconds
    highest_seen: TokenPair | None = None
    previous_token: TokenPair | None = None
    note: Annotated[dict[str, str], Meta(max_length=MAX_NOTE_ENTRIES)] = {}


class RenewRequest(Struct, rename={"highest_seen": "seen"}):
    token: TokenPair
    highest_seen: TokenPair | None = None


class WatchQuery(Struct, rename={"since": "from"}):
    """`name`: the member who watches; it is woken by what concerns it, others by every
    change.
    """

    since: Version
    hold_ms: int = 0
    name: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""


def _token_or_never(pair: list[int] | None) -> Token:
    return ZERO_TOKEN if pair is None else Token(*pair)


def _with_join_claims(
    made: LeaseGrant | LeaseUnavailable, call: HeartbeatRequest
) -> LeaseGrant | LeaseUnavailable:
    """What the join says of the process before it goes to disk with the lease: riders
    may need it again.
    """
    if (
        call.previous_token is not None
        and isinstance(made, LeaseGrant)
        and made.record
        and made.record["kind"] == "grant"
    ):
        made.record.update(shown=call.previous_token, keeps=call.kept_reserves)
    return made


def routes(fleet: FleetCoordinator) -> list[web.RouteDef]:
    context, member_encoder = fleet.context, MemberEncoder()

    async def beat(request: web.Request) -> web.StreamResponse:
        raw = await read_json(request, context.limits)
        found = request_schemas.find_faults(raw, HeartbeatRequest, "")
        if isinstance(raw, dict):
            found.extend(
                fault
                for rider in fleet.extensions.values()
                for fault in rider.find_faults(raw)
            )
        if found:
            raise RequestError(400, found)
        call = request_schemas.decode_as(raw, HeartbeatRequest)
        token, seen = _token_or_never(call.token), _token_or_never(call.highest_seen)
        if call.leaving and call.token is not None:
            await _persisted_decision(
                fleet, lambda now_us: fleet.roster.leave(now_us, call.name, token)
            )
            return json_response(
                200, {"sent": call.sequence, "state": "left", "version": fleet.version}
            )
        if call.token is None:
            made = await _persisted_decision(
                fleet,
                lambda now_us: _with_join_claims(
                    fleet.roster.join(
                        now_us,
                        call.name,
                        call.site,
                        call.dial,
                        call.run_id,
                        _token_or_never(call.previous_token),
                        seen,
                    ),
                    call,
                ),
            )
        else:
            made = await _persisted_decision(
                fleet,
                lambda now_us: fleet.roster.heartbeat(now_us, call.name, token, seen),
            )
        if isinstance(made, LeaseUnavailable):
            return _held_answer(made)
        assert isinstance(made, LeaseGrant)
        try:
            parts = await fleet.handle_heartbeat(call.name, made.token, raw)
        except types.LeaseRejectedError as error:
            raise LeaseRequestError(error) from None
        except OSError as error:
            raise _storage_error(error) from None
        epoch, since = call.known_list or (None, None)
        whole, members = fleet.roster.members_changed_since(since, epoch)
        member = fleet.roster.members.get(call.name)
        return json_response(
            200,
            {
                "token": made.token.to_wire(),
                "ttl_ms": made.ttl_us // 1_000,
                "sent": call.sequence,
                "version": fleet.version,
                "state": "lost" if member is None else member.state,
                "list": [fleet.roster.epoch, fleet.roster.version],
                "whole": whole,
                "members": member_encoder.encoded(members),
                **parts,
            },
        )

    async def watch(request: web.Request) -> web.StreamResponse:
        ask = request_schemas.parse_query(request.query, WatchQuery)
        hold, watchers = min(ask.hold_ms, MAX_HOLD_MS), fleet.watchers
        if (
            hold > 0
            and not watchers.is_behind(ask.since, ask.name)
            and not context.stopping
        ):
            news = watchers.add(ask.name)
            try:
                await context.hold_watch(news, hold)
            finally:
                watchers.remove(news)
        return json_response(200, {"version": fleet.version})

    async def acquire(request: web.Request) -> web.StreamResponse:
        name = _lease_name(request)
        call = request_schemas.decode_as(
            await read_json(request, context.limits), AcquireRequest
        )
        made = await _persisted_decision(
            fleet,
            lambda now_us: fleet.table.acquire(
                now_us,
                name,
                call.holder,
                call.ttl_ms * 1_000,
                _token_or_never(call.highest_seen),
                _token_or_never(call.previous_token),
                call.note,
            ),
        )
        return _lease_answer(made)

    async def renew(request: web.Request) -> web.StreamResponse:
        name, call = (
            _lease_name(request),
            request_schemas.decode_as(
                await read_json(request, context.limits), RenewRequest
            ),
        )
        return _lease_answer(
            await _persisted_decision(
                fleet,
                lambda now_us: fleet.table.renew(
                    now_us,
                    name,
                    _token_or_never(call.token),
                    _token_or_never(call.highest_seen),
                ),
            )
        )

    async def release(request: web.Request) -> web.StreamResponse:
        name, call = (
            _lease_name(request),
            request_schemas.decode_as(
                await read_json(request, context.limits), RenewRequest
            ),
        )
        await _persisted_decision(
            fleet,
            lambda now_us: fleet.table.release(
                now_us, name, _token_or_never(call.token)
            ),
        )
        return json_response(200, {"name": name, "released": True})

    lease = "/v1/leases/{name:.+}"
    return [
        web.post("/v1/fleet/beat", beat),
        get_route("/v1/fleet/watch", watch),
        *read_routes(fleet),
        web.post(f"{lease}/acquire", acquire),
        web.post(f"{lease}/renew", renew),
        web.post(f"{lease}/release", release),
    ]


def read_routes(fleet: FleetCoordinator) -> list[web.RouteDef]:
    """Who is in force, and who holds what: at the fleet's address and at the write
    address.
    """
    context = fleet.context

    def told(lease: Lease) -> dict[str, Any]:
        return {
            "name": lease.name,
            "holder": lease.holder,
            "token": lease.token.to_wire(),
            "ttl_ms": lease.ttl_us // 1_000,
            "note": dict(lease.note),
            "revoked": lease.revoked,
            "left_ms": max(lease.expires_at_us - context.now_us(), 0) // 1_000,
        }

    async def members(_: web.Request) -> web.StreamResponse:
        return json_response(
            200, {**fleet.roster.changes_since(None, None), **fleet.gauges()}
        )

    async def leases(request: web.Request) -> web.StreamResponse:
        return json_response(
            200,
            {
                "leases": [
                    told(x)
                    for x in fleet.table.with_prefix(request.query.get("prefix", ""))
                ]
            },
        )

    async def lease(request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        found = fleet.table.read(name)
        if found is None:
            raise RequestError(404, [f"name: nobody holds {name}"])
        return json_response(200, told(found))

    return [
        get_route("/v1/fleet", members),
        get_route("/v1/leases", leases),
        get_route("/v1/leases/{name:.+}", lease),
    ]


def operator_routes(fleet: FleetCoordinator) -> list[web.RouteDef]:
    """At the write address: the reads, and revoking (a member too, as `member/NAME`)."""

    async def revoke(request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        await _persisted_decision(
            fleet, lambda now_us: fleet.table.revoke(now_us, name)
        )
        lease, now_us = fleet.table.read(name), fleet.context.now_us()
        left_us = 0 if lease is None else max(lease.expires_at_us - now_us, 0)
        return json_response(
            200, {"name": name, "revoked": True, "free_in_ms": left_us // 1_000}
        )

    return [*read_routes(fleet), web.post("/v1/leases/{name:.+}/revoke", revoke)]


def _lease_name(request: web.Request) -> str:
    name = request.match_info["name"]
    if name.startswith(MEMBER_LEASE_PREFIX):
        raise RequestError(
            403,
            [
                f"name: {MEMBER_LEASE_PREFIX}... is joined, renewed and left by beats alone"
            ],
        )
    return name


class LeaseRequestError(RequestError):
    """A lease's refusal, with the token that was in the way."""

    def __init__(self, error: types.LeaseRejectedError) -> None:
        super().__init__(error.status, error.faults)
        self.extra_fields = {
            "error": "lost" if error.status == 409 else "refused",
            "seen": error.conflicting_token.to_wire(),
        }


async def _persisted_decision(fleet: FleetCoordinator, decide: Any) -> Any:
    try:
        return await fleet.persist_decision(decide)
    except types.LeaseRejectedError as error:
        raise LeaseRequestError(error) from None
    except OSError as error:
        raise _storage_error(error) from None


def _storage_error(error: OSError) -> RequestError:
    return RequestError(507, [f"it could not be kept: {error.strerror or error}"])


def _lease_answer(made: LeaseGrant | LeaseUnavailable) -> web.Response:
    if isinstance(made, LeaseUnavailable):
        return _held_answer(made)
    return json_response(
        200,
        {
            "name": made.name,
            "token": made.token.to_wire(),
            "ttl_ms": made.ttl_us // 1_000,
        },
    )


def _held_answer(made: LeaseUnavailable) -> web.Response:
    """Not now.

    `error` tells it from `lost`: whoever holds something may run out what it has.
    """
    return error_response(
        409,
        [made.reason],
        {"Retry-After": f"{made.retry_after_us / 1e6:.3f}"},
        {"error": "held", "retry_ms": -(-made.retry_after_us // 1_000)},
    )
