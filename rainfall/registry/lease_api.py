"""HTTP routes of leases: acquire, renew, release, read and revoke, by name."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any

from aiohttp import web
from msgspec import Meta, Struct

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.table import Lease, LeaseGrant, LeaseUnavailable
from rainfall.lease.types import (
    MAX_NOTE_ENTRIES,
    MAX_TEXT_LENGTH,
    LeaseRejectedError,
    Record,
)
from rainfall.member.roster import MEMBER_LEASE_PREFIX
from rainfall.registry import schema_faults
from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.http_server import (
    await_stored,
    error_response,
    get_route,
    json_response,
    read_json,
)
from rainfall.registry.request_error import RequestError
from rainfall.registry.request_schemas import Version

US_PER_MS = 1_000
LEASE_PATH = "/v1/leases/{name:.+}"

TokenPair = Annotated[list[Version], Meta(min_length=2, max_length=2)]
"""A fencing token in wire format: epoch and number."""
Milliseconds = Annotated[int, Meta(ge=1, lt=1 << 42)]

LeaseDecision = LeaseGrant | LeaseUnavailable | Record


class AcquireRequest(
    Struct, rename={"highest_seen": "seen", "previous_token": "shown"}
):
    """The body of an acquire.

    `highest_seen` is the highest token that the client has seen. `previous_token` is the
    token under which it held the lease before, if it resumes its own lease.
    """

    holder: Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
    ttl_ms: Milliseconds
    highest_seen: TokenPair | None = None
    previous_token: TokenPair | None = None
    note: Annotated[dict[str, str], Meta(max_length=MAX_NOTE_ENTRIES)] = {}


class RenewRequest(Struct, rename={"highest_seen": "seen"}):
    """The body of a renewal or a release."""

    token: TokenPair
    highest_seen: TokenPair | None = None


class LeaseRequestError(RequestError):
    """A rejected lease request; the answer has the conflicting token."""

    def __init__(self, error: LeaseRejectedError) -> None:
        super().__init__(error.status, error.faults)
        self.extra_fields = {
            "error": "lost" if error.status == 409 else "refused",
            "seen": error.conflicting_token.to_wire(),
        }


def token_or_zero(pair: list[int] | None) -> Token:
    """Return the token of a request; `ZERO_TOKEN`, the lowest token, if absent."""
    return ZERO_TOKEN if pair is None else Token(*pair)


async def persist_decision(
    fleet: FleetCoordinator, decide: Callable[[int], LeaseDecision]
) -> LeaseDecision:
    """Call `decide` with the time, and return its decision once it is stored.

    Raises:
        LeaseRequestError: The lease table rejects the request.
        RequestError: 507, the record could not be stored.
        QueueFullError: The write queue is full.
    """
    try:
        return await await_stored(fleet.persist_decision(decide))
    except LeaseRejectedError as error:
        raise LeaseRequestError(error) from None


def unavailable_response(unavailable: LeaseUnavailable) -> web.Response:
    """Return 409 with `error: held`: the lease is not available now.

    The value distinguishes this answer from `lost`, after which a holder must stop
    acting immediately.
    """
    retry_ms = -(-unavailable.retry_after_us // US_PER_MS)
    return error_response(
        409,
        [unavailable.reason],
        {"Retry-After": f"{unavailable.retry_after_us / 1e6:.3f}"},
        {"error": "held", "retry_ms": retry_ms},
    )


def routes(fleet: FleetCoordinator) -> list[web.RouteDef]:
    """Return the routes of lease holders, at the fleet's address."""
    handlers = _LeaseHandlers(fleet)
    return [
        web.post(f"{LEASE_PATH}/acquire", handlers.acquire),
        web.post(f"{LEASE_PATH}/renew", handlers.renew),
        web.post(f"{LEASE_PATH}/release", handlers.release),
    ]


def read_routes(fleet: FleetCoordinator) -> list[web.RouteDef]:
    """Return the read routes of leases, served at both addresses."""
    handlers = _LeaseHandlers(fleet)
    return [
        get_route("/v1/leases", handlers.show_all),
        get_route(LEASE_PATH, handlers.show),
    ]


def operator_routes(fleet: FleetCoordinator) -> list[web.RouteDef]:
    """Return the revoke route of the write address.

    A member's lease is named `member/NAME`.
    """
    return [web.post(f"{LEASE_PATH}/revoke", _LeaseHandlers(fleet).revoke)]


class _LeaseHandlers:
    """Request handlers of lease routes."""

    def __init__(self, fleet: FleetCoordinator) -> None:
        self.fleet = fleet

    async def acquire(self, request: web.Request) -> web.StreamResponse:
        name = _lease_name(request)
        body = await read_json(request, self.fleet.context.limits)
        call = schema_faults.decode_as(body, AcquireRequest)
        decision = await persist_decision(
            self.fleet,
            lambda now_us: self.fleet.table.acquire(
                now_us,
                name,
                call.holder,
                call.ttl_ms * US_PER_MS,
                token_or_zero(call.highest_seen),
                token_or_zero(call.previous_token),
                call.note,
            ),
        )
        return _lease_response(decision)

    async def renew(self, request: web.Request) -> web.StreamResponse:
        name = _lease_name(request)
        body = await read_json(request, self.fleet.context.limits)
        call = schema_faults.decode_as(body, RenewRequest)
        decision = await persist_decision(
            self.fleet,
            lambda now_us: self.fleet.table.renew(
                now_us,
                name,
                token_or_zero(call.token),
                token_or_zero(call.highest_seen),
            ),
        )
        return _lease_response(decision)

    async def release(self, request: web.Request) -> web.StreamResponse:
        name = _lease_name(request)
        body = await read_json(request, self.fleet.context.limits)
        call = schema_faults.decode_as(body, RenewRequest)
        token = token_or_zero(call.token)
        await persist_decision(
            self.fleet, lambda now_us: self.fleet.table.release(now_us, name, token)
        )
        return json_response(200, {"name": name, "released": True})

    async def revoke(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        await persist_decision(
            self.fleet, lambda now_us: self.fleet.table.revoke(now_us, name)
        )
        lease = self.fleet.table.read(name)
        free_in_ms = 0 if lease is None else self._remaining_ms(lease)
        return json_response(
            200, {"name": name, "revoked": True, "free_in_ms": free_in_ms}
        )

    async def show_all(self, request: web.Request) -> web.StreamResponse:
        leases = self.fleet.table.with_prefix(request.query.get("prefix", ""))
        return json_response(
            200, {"leases": [self._lease_fields(lease) for lease in leases]}
        )

    async def show(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        lease = self.fleet.table.read(name)
        if lease is None:
            raise RequestError(404, [f"name: nobody holds {name}"])
        return json_response(200, self._lease_fields(lease))

    def _lease_fields(self, lease: Lease) -> dict[str, Any]:
        return {
            "name": lease.name,
            "holder": lease.holder,
            "token": lease.token.to_wire(),
            "ttl_ms": lease.ttl_us // US_PER_MS,
            "note": dict(lease.note),
            "revoked": lease.revoked,
            "left_ms": self._remaining_ms(lease),
        }

    def _remaining_ms(self, lease: Lease) -> int:
        now_us = self.fleet.context.now_us()
        return max(lease.expires_at_us - now_us, 0) // US_PER_MS


def _lease_name(request: web.Request) -> str:
    """Return the lease name in the path; raise 403 for a member's lease."""
    name = request.match_info["name"]
    if name.startswith(MEMBER_LEASE_PREFIX):
        raise RequestError(
            403,
            [
                f"name: {MEMBER_LEASE_PREFIX}... is joined, renewed and left by beats alone"
            ],
        )
    return name


def _lease_response(decision: LeaseDecision) -> web.Response:
    if isinstance(decision, LeaseUnavailable):
        return unavailable_response(decision)
    assert isinstance(decision, LeaseGrant)
    return json_response(
        200,
        {
            "name": decision.name,
            "token": decision.token.to_wire(),
            "ttl_ms": decision.ttl_us // US_PER_MS,
        },
    )
