"""Budgets from a file, and by hand: `GET`, `PUT /v1/budgets`, the operator's word on
lost processes.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from aiohttp import web
from msgspec import Struct

from rainfall.budget import config
from rainfall.budget.config import Faults
from rainfall.lease.token import Token
from rainfall.member.roster import PREFIX
from rainfall.registry import bodies
from rainfall.registry.bodies import Refused
from rainfall.registry.budgets import Budgets
from rainfall.registry.calls import Pair
from rainfall.registry.fleet import Fleet
from rainfall.registry.rider import Row
from rainfall.registry.web import answer, get, json_body, whole_number


class Ended(Struct):
    """The incarnation of a process that is surely at its end."""

    token: Pair


def listed(body: Any) -> list[dict[str, Any]]:
    """The list in `{"budgets": [...]}`, checked whole. Raises Faults with every
    fault.
    """
    if not isinstance(body, dict):
        raise Faults(["an object that holds budgets"])
    found = [f"{name}: not known" for name in body if name != "budgets"]
    raw: list[dict[str, Any]] = body.get("budgets", [])
    try:
        if "budgets" not in body:
            raise Faults(["budgets: is missing"])
        config.checked(raw)
    except Faults as error:
        raise Faults([*found, *error.faults]) from None
    if found:
        raise Faults(found)
    return raw


def read_file(path: Path) -> list[dict[str, Any]]:
    """The budgets in a file: JSON where its name ends so, else TOML. Raises Faults
    (all), OSError.
    """
    data = path.read_bytes()
    try:
        body = (
            bodies.read(data)
            if path.suffix == ".json"
            else tomllib.loads(data.decode())
        )
    except Refused as error:
        raise Faults(error.faults) from None
    except ValueError as error:
        raise Faults([f"not TOML: {error}"]) from None
    return listed(body)


async def take(
    fleet: Fleet,
    budgets: Budgets,
    raw: list[dict[str, Any]],
    source: str,
    match: int | None = None,
) -> None:
    """Put checked budgets in force; durable when this returns. Raises Refused(412),
    Full, OSError.
    """

    def make(now_us: int) -> list[Row]:
        if match is not None and match != budgets.version:
            raise Refused(412, [f"version {budgets.version} is in force"])
        if (
            raw == budgets.raw
            and budgets.version
            and (source != "file" or raw == budgets.file)
        ):
            return []
        return budgets.configured(now_us, raw, source)

    await fleet.decide(budgets.name, make)


def routes(fleet: Fleet, budgets: Budgets) -> list[web.RouteDef]:
    """At the write address: the reads, and what changes."""

    async def put(request: web.Request) -> web.StreamResponse:
        body = await json_body(request, fleet.house.bounds)
        match = whole_number(request.headers.get("If-Match", ""), "If-Match")
        try:
            raw = listed(body)
        except Faults as error:
            raise Refused(422, error.faults) from None
        before = budgets.version
        await _kept(take(fleet, budgets, raw, "hand", match))
        return answer(
            200,
            {"version": budgets.version, "changed": budgets.version != before},
            {"ETag": f'"{budgets.version}"'},
        )

    async def ended(request: web.Request) -> web.StreamResponse:
        call = bodies.taken(await json_body(request, fleet.house.bounds), Ended)
        token = Token(*call.token)
        if token in budgets.ledger.names:
            raise Refused(
                409,
                [
                    f"token: a member is in force under {call.token}: revoke its lease first"
                ],
            )
        if not any(token in book.accounts for book in budgets.ledger.books.values()):
            raise Refused(404, [f"token: nothing is held under {call.token}"])
        await _word(lambda now_us: budgets.forget(now_us, token))
        return answer(200, {"token": call.token, "ended": True})

    async def known(_: web.Request) -> web.StreamResponse:
        await _word(lambda now_us: budgets.forget(now_us, None))
        return answer(200, {"known": True})

    async def _word(make: Callable[[int], list[Row]]) -> None:
        await _kept(fleet.decide(budgets.name, make))
        # A plan whose write had failed went first, and stood in the way of this.
        await _kept(
            fleet.decide(budgets.name, lambda now_us: budgets.plan(now_us, True, []))
        )

    return [
        *reads(fleet, budgets),
        web.put("/v1/budgets", put),
        web.post("/v1/budgets/ended", ended),
        web.post("/v1/budgets/reserves-known", known),
    ]


def reads(fleet: Fleet, budgets: Budgets) -> list[web.RouteDef]:
    async def show(_: web.Request) -> web.StreamResponse:
        now_us = fleet.house.now_us()
        held = budgets.state(now_us)
        for told in held.values():
            for member in told["members"]:
                lease = fleet.table.read(PREFIX + member["name"])
                if lease is not None and lease.token.told() == member["token"]:
                    member["left_ms"] = max(lease.until_us - now_us, 0) // 1_000
        return answer(
            200,
            {
                "version": budgets.version,
                "source": budgets.source,
                "budgets": budgets.raw,
                "frozen_ms": fleet.frozen_us(now_us) // 1_000,
                "held": held,
            },
            {"ETag": f'"{budgets.version}"'},
        )

    return [get("/v1/budgets", show)]


async def _kept(done: Any) -> None:
    try:
        await done
    except OSError as error:
        raise Refused(
            507, [f"it could not be kept: {error.strerror or error}"]
        ) from None
