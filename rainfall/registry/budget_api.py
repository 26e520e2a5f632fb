"""Budget configuration from a file and over HTTP, and operators' confirmations.

An operator confirms that a process has ended, or that every process with a reserve is
registered with the service.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from aiohttp import web
from msgspec import Struct

from rainfall.budget import config
from rainfall.budget.config import BudgetConfigError
from rainfall.lease.fencing_token import Token
from rainfall.member.roster import MEMBER_LEASE_PREFIX
from rainfall.registry import json_reader, schema_faults
from rainfall.registry.budget_extension import BudgetExtension
from rainfall.registry.fleet_coordinator import FleetCoordinator
from rainfall.registry.heartbeat_extension import Row
from rainfall.registry.http_server import (
    await_stored,
    get_route,
    json_response,
    parse_version,
    read_json,
)
from rainfall.registry.lease_api import TokenPair
from rainfall.registry.request_error import RequestError


class ProcessEndedRequest(Struct):
    """The body of a confirmation that the process with this token has ended."""

    token: TokenPair


def parse_budget_list(body: Any) -> list[dict[str, Any]]:
    """Validate `{"budgets": [...]}` and return its list.

    Raises:
        BudgetConfigError: The body is invalid; lists every fault.
    """
    if not isinstance(body, dict):
        raise BudgetConfigError(["an object that holds budgets"])
    unknown_fields = [f"{name}: not known" for name in body if name != "budgets"]
    raw: list[dict[str, Any]] = body.get("budgets", [])
    try:
        if "budgets" not in body:
            raise BudgetConfigError(["budgets: is missing"])
        config.parse_budgets(raw)
    except BudgetConfigError as error:
        raise BudgetConfigError([*unknown_fields, *error.faults]) from None
    if unknown_fields:
        raise BudgetConfigError(unknown_fields)
    return raw


def read_budget_file(path: Path) -> list[dict[str, Any]]:
    """Read and validate a budget file: JSON if its name ends in `.json`, else TOML.

    Raises:
        BudgetConfigError: The content is invalid; lists every fault.
        OSError: The file cannot be read.
    """
    data = path.read_bytes()
    try:
        body = (
            json_reader.parse_json(data)
            if path.suffix == ".json"
            else tomllib.loads(data.decode())
        )
    except RequestError as error:
        raise BudgetConfigError(error.faults) from None
    except ValueError as error:
        raise BudgetConfigError([f"not TOML: {error}"]) from None
    return parse_budget_list(body)


async def apply_budgets(
    fleet: FleetCoordinator,
    budgets: BudgetExtension,
    raw: list[dict[str, Any]],
    source: str,
    expected_version: int | None = None,
) -> None:
    """Store validated budgets and put them in force.

    Budgets equal to those in force are not stored again. From a file they are, if the
    last file had others.

    Raises:
        RequestError: 412, `expected_version` is not the version in force.
        QueueFullError: The write queue is full.
        OSError: The budgets could not be stored.
    """

    def make_rows(now_us: int) -> list[Row]:
        if expected_version is not None and expected_version != budgets.version:
            raise RequestError(412, [f"version {budgets.version} is in force"])
        if (
            raw == budgets.raw_budgets
            and budgets.version
            and (source != "file" or raw == budgets.last_file_budgets)
        ):
            return []
        return budgets.config_rows(now_us, raw, source)

    await fleet.apply_rows(budgets.name, make_rows)


def routes(fleet: FleetCoordinator, budgets: BudgetExtension) -> list[web.RouteDef]:
    """Return the routes of the write address: the reads and the changes."""

    async def put(request: web.Request) -> web.StreamResponse:
        body = await read_json(request, fleet.context.limits)
        expected_version = parse_version(
            request.headers.get("If-Match", ""), "If-Match"
        )
        try:
            raw = parse_budget_list(body)
        except BudgetConfigError as error:
            raise RequestError(422, error.faults) from None
        before = budgets.version
        await await_stored(apply_budgets(fleet, budgets, raw, "hand", expected_version))
        return json_response(
            200,
            {"version": budgets.version, "changed": budgets.version != before},
            {"ETag": f'"{budgets.version}"'},
        )

    async def ended(request: web.Request) -> web.StreamResponse:
        call = schema_faults.decode_as(
            await read_json(request, fleet.context.limits), ProcessEndedRequest
        )
        token = Token(*call.token)
        _check_ended_token(budgets, token)
        await _store_confirmation(fleet, budgets, token)
        return json_response(200, {"token": call.token, "ended": True})

    async def reserves_known(_: web.Request) -> web.StreamResponse:
        await _store_confirmation(fleet, budgets, None)
        return json_response(200, {"known": True})

    return [
        *read_routes(fleet, budgets),
        web.put("/v1/budgets", put),
        web.post("/v1/budgets/ended", ended),
        web.post("/v1/budgets/reserves-known", reserves_known),
    ]


def _check_ended_token(budgets: BudgetExtension, token: Token) -> None:
    """Raise RequestError unless the token's process may be confirmed to have ended.

    409 while a member is in force under the token, 404 if no account has it.
    """
    token_pair = token.to_wire()
    if token in budgets.ledger.names:
        raise RequestError(
            409,
            [f"token: a member is in force under {token_pair}: revoke its lease first"],
        )
    all_accounts = budgets.ledger.budget_accounts.values()
    if not any(token in accounts.accounts for accounts in all_accounts):
        raise RequestError(404, [f"token: nothing is held under {token_pair}"])


async def _store_confirmation(
    fleet: FleetCoordinator, budgets: BudgetExtension, token: Token | None
) -> None:
    """Store an operator's confirmation; see `BudgetExtension.confirm_processes`."""

    def confirm(now_us: int) -> list[Row]:
        return budgets.confirm_processes(now_us, token)

    def plan_frozen(now_us: int) -> list[Row]:
        return budgets.plan(now_us, True, [])

    await await_stored(fleet.apply_rows(budgets.name, confirm))
    # If the write of an earlier plan failed, the call above has stored that plan again
    # rather than one with the confirmation, so plan once more.
    await await_stored(fleet.apply_rows(budgets.name, plan_frozen))


def read_routes(
    fleet: FleetCoordinator, budgets: BudgetExtension
) -> list[web.RouteDef]:
    """Return the read route of the budgets in force and the members' shares.

    The fleet's address and the write address both have it.
    """

    async def show(_: web.Request) -> web.StreamResponse:
        now_us = fleet.context.now_us()
        held = budgets.state(now_us)
        for status in held.values():
            for member in status["members"]:
                lease = fleet.table.read(MEMBER_LEASE_PREFIX + member["name"])
                if lease is not None and lease.token.to_wire() == member["token"]:
                    member["left_ms"] = max(lease.expires_at_us - now_us, 0) // 1_000
        return json_response(
            200,
            {
                "version": budgets.version,
                "source": budgets.source,
                "budgets": budgets.raw_budgets,
                "frozen_ms": fleet.frozen_us(now_us) // 1_000,
                "held": held,
            },
            {"ETag": f'"{budgets.version}"'},
        )

    return [get_route("/v1/budgets", show)]
