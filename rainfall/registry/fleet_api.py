"""HTTP routes of the fleet's address: heartbeats, the fleet watch, and the member list."""

from __future__ import annotations

from typing import Annotated, Any

from aiohttp import web
from msgspec import Meta, Struct

from rainfall.lease.table import LeaseGrant, LeaseUnavailable
from rainfall.lease.types import LeaseRejectedError
from rainfall.member.roster import MAX_NAME_LENGTH
from rainfall.registry import lease_api, request_schemas, schema_faults
from rainfall.registry.discovery_api import MAX_HOLD_MS
from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.http_server import (
    await_stored,
    get_route,
    json_response,
    read_json,
)
from rainfall.registry.lease_api import (
    US_PER_MS,
    LeaseDecision,
    LeaseRequestError,
    TokenPair,
    persist_decision,
    token_or_zero,
)
from rainfall.registry.member_encoder import MemberEncoder
from rainfall.registry.request_error import RequestError
from rainfall.registry.request_schemas import Version

RESERVE_LIMIT = 10_000
"""Reserves in one heartbeat: at most one for each budget."""

MemberName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
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
    """The body of a heartbeat, without the fields that the extensions read.

    A null `token` joins. `run_id` identifies this run of the process, so that a join
    whose answer was lost can be retried. In a join, `previous_token` is the token of the
    process before a restart, and `kept_reserves` are the reserves from before the restart
    that are still in use, in calls by destination. `known_list` is the [epoch, version]
    of the sender's member list; the answer then has only later changes. `leaving` ends
    the membership.
    """

    name: MemberName
    site: MemberName
    dial: MemberName
    token: TokenPair | None
    sequence: Version
    highest_seen: TokenPair | None = None
    run_id: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""
    previous_token: TokenPair | None = None
    kept_reserves: Annotated[dict[str, CallCount], Meta(max_length=RESERVE_LIMIT)] = {}
    known_list: TokenPair | None = None
    leaving: bool = False


class WatchQuery(Struct, rename={"since": "from"}):
    """The query of a watch.

    With the `name` of a member, only changes that concern that member end the wait;
    without a name, every change does.
    """

    since: Version
    hold_ms: int = 0
    name: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""


def routes(fleet: FleetCoordinator) -> list[web.RouteDef]:
    """Return all routes of the fleet's address, except those of extensions."""
    heartbeats = _HeartbeatHandler(fleet)

    async def watch(request: web.Request) -> web.StreamResponse:
        return await _watch(fleet, request)

    return [
        web.post("/v1/fleet/beat", heartbeats.handle),
        get_route("/v1/fleet/watch", watch),
        *read_routes(fleet),
        *lease_api.routes(fleet),
    ]


def read_routes(fleet: FleetCoordinator) -> list[web.RouteDef]:
    """Return the read routes of members and leases, served at both addresses."""

    async def members(_: web.Request) -> web.StreamResponse:
        return json_response(
            200, {**fleet.roster.changes_since(None, None), **fleet.gauges()}
        )

    return [get_route("/v1/fleet", members), *lease_api.read_routes(fleet)]


def operator_routes(fleet: FleetCoordinator) -> list[web.RouteDef]:
    """Return the fleet's routes of the write address: the reads, and revoking a lease."""
    return [*read_routes(fleet), *lease_api.operator_routes(fleet)]


class _HeartbeatHandler:
    """Answers heartbeats: joins, renewals and leaves."""

    def __init__(self, fleet: FleetCoordinator) -> None:
        self.fleet = fleet
        self.member_encoder = MemberEncoder()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handle one heartbeat.

        Raises:
            RequestError: 400 with every fault, 409 if the lease is lost, or 507 if a
                record could not be stored.
        """
        raw = await read_json(request, self.fleet.context.limits)
        call = self._decode(raw)
        if call.leaving and call.token is not None:
            return await self._leave(call)
        decision = await self._renew_or_join(call)
        if isinstance(decision, LeaseUnavailable):
            return lease_api.unavailable_response(decision)
        assert isinstance(decision, LeaseGrant)
        try:
            extension_fields = await await_stored(
                self.fleet.handle_heartbeat(call.name, decision.token, raw)
            )
        except LeaseRejectedError as error:
            raise LeaseRequestError(error) from None
        return json_response(
            200, {**self._member_fields(call, decision), **extension_fields}
        )

    def _decode(self, raw: Any) -> HeartbeatRequest:
        """Validate the body, also with every extension, and decode it."""
        faults = schema_faults.find_faults(raw, HeartbeatRequest, "")
        if isinstance(raw, dict):
            for extension in self.fleet.extensions.values():
                faults.extend(extension.find_faults(raw))
        if faults:
            raise RequestError(400, faults)
        return schema_faults.decode_as(raw, HeartbeatRequest)

    async def _leave(self, call: HeartbeatRequest) -> web.StreamResponse:
        token = token_or_zero(call.token)
        await persist_decision(
            self.fleet,
            lambda now_us: self.fleet.roster.leave(now_us, call.name, token),
        )
        return json_response(
            200,
            {"sent": call.sequence, "state": "left", "version": self.fleet.version},
        )

    async def _renew_or_join(self, call: HeartbeatRequest) -> LeaseDecision:
        roster = self.fleet.roster
        highest_seen = token_or_zero(call.highest_seen)
        if call.token is not None:
            token = token_or_zero(call.token)
            return await persist_decision(
                self.fleet,
                lambda now_us: roster.heartbeat(now_us, call.name, token, highest_seen),
            )

        def join(now_us: int) -> LeaseDecision:
            decision = roster.join(
                now_us,
                call.name,
                call.site,
                call.dial,
                call.run_id,
                token_or_zero(call.previous_token),
                highest_seen,
            )
            _add_join_claims(decision, call)
            return decision

        return await persist_decision(self.fleet, join)

    def _member_fields(
        self, call: HeartbeatRequest, grant: LeaseGrant
    ) -> dict[str, Any]:
        """Return the answer's fields for a renewal or a join, without those of extensions."""
        roster = self.fleet.roster
        epoch, since = call.known_list or (None, None)
        complete, members = roster.members_changed_since(since, epoch)
        member = roster.members.get(call.name)
        return {
            "token": grant.token.to_wire(),
            "ttl_ms": grant.ttl_us // US_PER_MS,
            "sent": call.sequence,
            "version": self.fleet.version,
            "state": "lost" if member is None else member.state,
            "list": [roster.epoch, roster.version],
            "whole": complete,
            "members": self.member_encoder.encoded(members),
        }


def _add_join_claims(
    decision: LeaseGrant | LeaseUnavailable, call: HeartbeatRequest
) -> None:
    """Add a join's previous token and kept reserves to the record of the lease.

    The extensions receive them again after a restart of the service.
    """
    if call.previous_token is None or not isinstance(decision, LeaseGrant):
        return
    if decision.record and decision.record["kind"] == "grant":
        decision.record.update(shown=call.previous_token, keeps=call.kept_reserves)


async def _watch(fleet: FleetCoordinator, request: web.Request) -> web.StreamResponse:
    """Answer with the fleet's version, once it is newer than the watcher's."""
    query = request_schemas.parse_query(request.query, WatchQuery)
    hold_ms = min(query.hold_ms, MAX_HOLD_MS)
    watchers = fleet.watchers
    is_behind = watchers.is_behind(query.since, query.name)
    if hold_ms > 0 and not is_behind and not fleet.context.stopping:
        changed = watchers.add(query.name)
        try:
            await fleet.context.hold_watch(changed, hold_ms)
        finally:
            watchers.remove(changed)
    return json_response(200, {"version": fleet.version})
