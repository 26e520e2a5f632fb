"""The fleet's address: beats, the watch, and leases by name (docs/parts.md, "What all
of them share").
"""

from __future__ import annotations

from typing import Annotated, Any

from aiohttp import web
from msgspec import Meta, Struct

from rainfall.lease import terms
from rainfall.lease.table import Grant, Held, Lease
from rainfall.lease.terms import MOST_NOTE, MOST_TEXT
from rainfall.lease.token import NEVER, Token
from rainfall.member.roster import MOST_NAME, PREFIX
from rainfall.registry import bodies
from rainfall.registry.bodies import Refused, Version
from rainfall.registry.fleet import Fleet
from rainfall.registry.member_list import MemberList
from rainfall.registry.reads import MOST_HOLD_MS
from rainfall.registry.web import answer, fault, get, json_body

Name = Annotated[str, Meta(min_length=1, max_length=MOST_NAME)]
Pair = Annotated[list[Version], Meta(min_length=2, max_length=2)]
Millis = Annotated[int, Meta(ge=1, lt=1 << 42)]
Calls = Annotated[int, Meta(ge=0, lt=1 << 40)]


class Beat(Struct):
    """`token` null joins. Beside the page's fields: `run` names this run of the
    process, so that a join whose answer was lost may be sent again; `shown`, in a join,
    is the token its process had before a restart; `keeps` the reserves it acts on from
    then, by destination; `list` is the [epoch, version] of members that it has (then
    only changes are told); `leave` gives all up. What riders read stands beside
    these.
    """

    name: Name
    site: Name
    dial: Name
    token: Pair | None
    sent: Version
    seen: Pair | None = None
    run: Annotated[str, Meta(max_length=MOST_NAME)] = ""
    shown: Pair | None = None
    keeps: Annotated[dict[str, Calls], Meta(max_length=10_000)] = {}
    list: Pair | None = None
    leave: bool = False


class Acquire(Struct):
    holder: Annotated[str, Meta(min_length=1, max_length=MOST_TEXT)]
    ttl_ms: Millis
    seen: Pair | None = None
    shown: Pair | None = None
    note: Annotated[dict[str, str], Meta(max_length=MOST_NOTE)] = {}


class Renew(Struct):
    token: Pair
    seen: Pair | None = None


class Watch(Struct, rename={"since": "from"}):
    """`name`: the member who watches; it is woken by what concerns it, others by every
    change.
    """

    since: Version
    hold_ms: int = 0
    name: Annotated[str, Meta(max_length=MOST_NAME)] = ""


def _token(pair: list[int] | None) -> Token:
    return NEVER if pair is None else Token(*pair)


def _joined(made: Grant | Held, call: Beat) -> Grant | Held:
    """What the join says of the process before it goes to disk with the lease: riders
    may need it again.
    """
    if (
        call.shown is not None
        and isinstance(made, Grant)
        and made.record
        and made.record["kind"] == "grant"
    ):
        made.record.update(shown=call.shown, keeps=call.keeps)
    return made


def routes(fleet: Fleet) -> list[web.RouteDef]:
    house, member_list = fleet.house, MemberList()

    async def beat(request: web.Request) -> web.StreamResponse:
        raw = await json_body(request, house.bounds)
        found = bodies.faults(raw, Beat, "")
        if isinstance(raw, dict):
            found.extend(
                fault for rider in fleet.riders.values() for fault in rider.faults(raw)
            )
        if found:
            raise Refused(400, found)
        call = bodies.taken(raw, Beat)
        token, seen = _token(call.token), _token(call.seen)
        if call.leave and call.token is not None:
            await _settled(
                fleet, lambda now_us: fleet.roster.leave(now_us, call.name, token)
            )
            return answer(
                200, {"sent": call.sent, "state": "left", "version": fleet.version}
            )
        if call.token is None:
            made = await _settled(
                fleet,
                lambda now_us: _joined(
                    fleet.roster.join(
                        now_us,
                        call.name,
                        call.site,
                        call.dial,
                        call.run,
                        _token(call.shown),
                        seen,
                    ),
                    call,
                ),
            )
        else:
            made = await _settled(
                fleet, lambda now_us: fleet.roster.beat(now_us, call.name, token, seen)
            )
        if isinstance(made, Held):
            return _held(made)
        assert isinstance(made, Grant)
        try:
            parts = await fleet.beaten(call.name, made.token, raw)
        except terms.Refused as error:
            raise Fenced(error) from None
        except OSError as error:
            raise _unkept(error) from None
        epoch, since = call.list or (None, None)
        whole, members = fleet.roster.owed_members(since, epoch)
        member = fleet.roster.members.get(call.name)
        return answer(
            200,
            {
                "token": made.token.told(),
                "ttl_ms": made.ttl_us // 1_000,
                "sent": call.sent,
                "version": fleet.version,
                "state": "lost" if member is None else member.state,
                "list": [fleet.roster.epoch, fleet.roster.version],
                "whole": whole,
                "members": member_list.encoded(members),
                **parts,
            },
        )

    async def watch(request: web.Request) -> web.StreamResponse:
        ask = bodies.query(request.query, Watch)
        hold, watchers = min(ask.hold_ms, MOST_HOLD_MS), fleet.watchers
        if hold > 0 and not watchers.behind(ask.since, ask.name) and not house.stopping:
            news = watchers.add(ask.name)
            try:
                await house.hold(news, hold)
            finally:
                watchers.drop(news)
        return answer(200, {"version": fleet.version})

    async def acquire(request: web.Request) -> web.StreamResponse:
        name = _name(request)
        call = bodies.taken(await json_body(request, house.bounds), Acquire)
        made = await _settled(
            fleet,
            lambda now_us: fleet.table.acquire(
                now_us,
                name,
                call.holder,
                call.ttl_ms * 1_000,
                _token(call.seen),
                _token(call.shown),
                call.note,
            ),
        )
        return _told(made)

    async def renew(request: web.Request) -> web.StreamResponse:
        name, call = (
            _name(request),
            bodies.taken(await json_body(request, house.bounds), Renew),
        )
        return _told(
            await _settled(
                fleet,
                lambda now_us: fleet.table.renew(
                    now_us, name, _token(call.token), _token(call.seen)
                ),
            )
        )

    async def release(request: web.Request) -> web.StreamResponse:
        name, call = (
            _name(request),
            bodies.taken(await json_body(request, house.bounds), Renew),
        )
        await _settled(
            fleet, lambda now_us: fleet.table.release(now_us, name, _token(call.token))
        )
        return answer(200, {"name": name, "released": True})

    lease = "/v1/leases/{name:.+}"
    return [
        web.post("/v1/fleet/beat", beat),
        get("/v1/fleet/watch", watch),
        *reads(fleet),
        web.post(f"{lease}/acquire", acquire),
        web.post(f"{lease}/renew", renew),
        web.post(f"{lease}/release", release),
    ]


def reads(fleet: Fleet) -> list[web.RouteDef]:
    """Who is in force, and who holds what: at the fleet's address and at the write
    address.
    """
    house = fleet.house

    def told(lease: Lease) -> dict[str, Any]:
        return {
            "name": lease.name,
            "holder": lease.holder,
            "token": lease.token.told(),
            "ttl_ms": lease.ttl_us // 1_000,
            "note": dict(lease.note),
            "revoked": lease.revoked,
            "left_ms": max(lease.until_us - house.now_us(), 0) // 1_000,
        }

    async def members(_: web.Request) -> web.StreamResponse:
        return answer(200, {**fleet.roster.owed(None, None), **fleet.state()})

    async def leases(request: web.Request) -> web.StreamResponse:
        return answer(
            200,
            {
                "leases": [
                    told(x) for x in fleet.table.under(request.query.get("prefix", ""))
                ]
            },
        )

    async def lease(request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        found = fleet.table.read(name)
        if found is None:
            raise Refused(404, [f"name: nobody holds {name}"])
        return answer(200, told(found))

    return [
        get("/v1/fleet", members),
        get("/v1/leases", leases),
        get("/v1/leases/{name:.+}", lease),
    ]


def by_hand(fleet: Fleet) -> list[web.RouteDef]:
    """At the write address: the reads, and revoking (a member too, as
    `member/NAME`).
    """

    async def revoke(request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        await _settled(fleet, lambda now_us: fleet.table.revoke(now_us, name))
        lease, now_us = fleet.table.read(name), fleet.house.now_us()
        left_us = 0 if lease is None else max(lease.until_us - now_us, 0)
        return answer(
            200, {"name": name, "revoked": True, "free_in_ms": left_us // 1_000}
        )

    return [*reads(fleet), web.post("/v1/leases/{name:.+}/revoke", revoke)]


def _name(request: web.Request) -> str:
    name = request.match_info["name"]
    if name.startswith(PREFIX):
        raise Refused(
            403, [f"name: {PREFIX}... is joined, renewed and left by beats alone"]
        )
    return name


class Fenced(Refused):
    """A lease's refusal, with the token that was in the way."""

    def __init__(self, error: terms.Refused) -> None:
        super().__init__(error.status, error.faults)
        self.more = {
            "error": "lost" if error.status == 409 else "refused",
            "seen": error.seen.told(),
        }


async def _settled(fleet: Fleet, decide: Any) -> Any:
    try:
        return await fleet.settle(decide)
    except terms.Refused as error:
        raise Fenced(error) from None
    except OSError as error:
        raise _unkept(error) from None


def _unkept(error: OSError) -> Refused:
    return Refused(507, [f"it could not be kept: {error.strerror or error}"])


def _told(made: Grant | Held) -> web.Response:
    if isinstance(made, Held):
        return _held(made)
    return answer(
        200,
        {"name": made.name, "token": made.token.told(), "ttl_ms": made.ttl_us // 1_000},
    )


def _held(made: Held) -> web.Response:
    """Not now. `error` tells it from `lost`: whoever holds something may run out what
    it has.
    """
    return fault(
        409,
        [made.why],
        {"Retry-After": f"{made.retry_us / 1e6:.3f}"},
        {"error": "held", "retry_ms": -(-made.retry_us // 1_000)},
    )
