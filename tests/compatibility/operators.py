"""A forwarder's admin answers, log lines, HTTP messages and parsed settings."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import io
import json
import logging
import os
import sys
from collections.abc import Callable, Iterator
from http import HTTPStatus
from unittest import mock

from rainfall.dispatch import RejectMessage, Settings
from rainfall.dispatch.endpoints import ThrottleScopeKey
from rainfall.forwarder.admin.admin_server import AdminServer
from rainfall.forwarder.discovery.endpoint_watch import encode_notifications
from rainfall.forwarder.inbound.client_connection import BadRequestError, Request
from rainfall.forwarder.inbound.server import SubmittedMessage, parse_message
from rainfall.forwarder.json_logging import install_json_logging
from rainfall.forwarder.message_store import PendingNotification
from rainfall.forwarder.outbound.connection_pool import CallItem, OutboundCall
from rainfall.registry.__main__ import configure_logging as install_registry_log
from rainfall.wirehost import parse_settings
from tests.compatibility import members, registries
from tests.compatibility.forwarders import FLEET, forwarder, told_config
from tests.compatibility.handovers import Client, handed_table
from tests.compatibility.journals import DUE_US, class_table, fixed_machine, taken
from tests.compatibility.references import References
from tests.support.loopback_peers import SETTINGS

MASKED = ("t_ns", "pid")
"""Log line fields that vary between runs."""


# Admin calls


def changed(*changes: tuple[str, object], **more: object) -> bytes:
    """Returns the encoded configuration with the values at some paths replaced.

    A path separates its keys by `/`; None removes the key.
    """
    config = copy.deepcopy(told_config(**{"fleet": FLEET, **more}))
    for path, value in changes:
        *outer, last = [int(key) if key.isdigit() else key for key in path.split("/")]
        inner: object = config
        for word in outer:
            assert isinstance(inner, dict | list)
            inner = inner[word]  # type: ignore[index]
        assert isinstance(inner, dict | list)
        inner[last] = value  # type: ignore[index]
        if value is None:
            del inner[last]  # type: ignore[arg-type]
    return json.dumps(config).encode()


BUDGET = {"destination": 7, "span_ms": 0, "calls": 5, "members": 4, "reserve": 5}
CHECKS: list[bytes] = [
    changed(),
    changed(("settings/balancers", 3), ("limits/sockets", 300), ("listen", ":5"))
    + b" ",
    changed(("fleet/site", "south"), ("fleet/lease_ms", 2000), durability="power"),
    changed(("settings/services/1/name", "new"), ("strange", 1), ("fleet/odd", 1)),
    changed(("settings/services/0/strange", 1), ("settings/orgs/0/odd", 1)),
    changed(("limits/odd", 1), admin_addr="127.0.0.1:6", log_format="json"),
    changed(
        ("settings/allowed/max_open", None),
        ("settings/services/1/deadline_us", 0),
        ("settings/services/3/name", "order"),
        ("limits/sockets", "many"),
        ("limits/memory_mb", 0),
        ("settings/balancers", float("nan")),
        ("settings/orgs/0/fraction", None),
    ),
    changed(("seed", "5")).replace(b'"seed": "5"', b'"seed": "5", "seed": "6"'),
    changed(("discovery", "nowhere")),
    changed(("settings/services/0/effect", "sometimes")),
    changed(durability="most"),
    changed(log_format="most"),
    changed(("known/hosts/0/health", "odd")),
    changed(("settings/services", 3)),
    changed(fleet=None),
    changed(
        ("fleet", {"service": "x", "budgets": [BUDGET, 5, BUDGET | {"span_ms": 1}]})
    ),
    changed(("fleet/drift", 2), ("fleet/peers", {"n1": 5}), ("fleet/listen", ":x")),
    b"",
    b"[]",
]
"""Bodies for /_config/check; most are invalid."""


async def operators_calls() -> References:
    """Returns the admin calls with their answers, and the types of the metrics by key."""
    calls: list[object] = []
    admin, figures = AdminServer(), dict[str, object]()

    def call(method: str, path: str, body: bytes = b"") -> None:
        def answered(status: HTTPStatus, text: str) -> None:
            if path == "/_vars" and status is HTTPStatus.OK:
                figures.update(json.loads(text))
                text = ""
            elif path == "/_config" and status is HTTPStatus.OK:
                answer = json.loads(text)
                text = json.dumps({**answer, "since": len(answer["since"])})
            calls.append([method, path, body.decode(), status.value, text])

        admin.handle(method, path, body, answered)

    def everything() -> None:
        for path in ("/_ready", "/_vars", "/_config", "/_nothing"):
            call("GET", path)
            call("POST", path)
        for name in (b"h1", b"nobody", b"", b"\xc2\x85"):
            call("POST", "/_endpoints/detach", name)
            call("POST", "/_endpoints/attach", name)
        call("GET", "/_endpoints/attach")

    everything()
    call("POST", "/_config/check", CHECKS[0])
    with (
        fixed_machine() as folder,
        mock.patch.dict(os.environ, {"LB_STATE": str(folder)}),
    ):
        engine = forwarder(folder, fleet=FLEET)
        admin.engine, engine.frozen = engine, True
        call("GET", "/_ready")
        call("POST", "/_endpoints/detach", b"h1")
        engine.serving = True
        everything()
        for text in CHECKS:
            call("POST", "/_config/check", text)
    keys = {name: registries.keys_of(value) for name, value in figures.items()}
    return {"operators-calls": calls, "operators-vars": keys}


# Log lines


@contextlib.contextmanager
def json_log(install_log: Callable[[], None]) -> Iterator[io.StringIO]:
    """Yields the text logged in the meantime, as it would appear on standard error."""
    root, trace = logging.getLogger(), logging.getLogger("rainfall.trace")
    before, levels = root.handlers[:], (root.level, trace.level)
    root.handlers[:] = []
    try:
        with mock.patch.object(sys, "stderr", io.StringIO()) as printed:
            install_log()
            root.setLevel(logging.INFO)
            yield printed
    finally:
        root.handlers[:] = before
        root.setLevel(levels[0])
        trace.setLevel(levels[1])


def log_lines(text: str) -> list[dict[str, object]]:
    """Returns the decoded lines, with varying fields masked and journal lines left out."""
    lines: list[dict[str, object]] = [json.loads(line) for line in text.splitlines()]
    for line in lines:
        line |= {name: None for name in MASKED if name in line}
    return [line for line in lines if not str(line["event"]).startswith("journal: ")]


async def message_lines() -> list[object]:
    """Returns the log lines of a message, from submission to its end, and of a fleet member."""
    with json_log(lambda: install_json_logging("n0")) as printed:
        with fixed_machine() as folder:
            engine = forwarder(folder, fleet=FLEET)
            due_us = engine.clock() + 50_000_000
            handed = SubmittedMessage(
                "m1", "order", 7, due_us, "k", None, "acme", False, b""
            )
            engine.submit(handed, Client("m1", []))
            engine.store.append_message(taken("m2", "pay"))
            engine.count_unattempted(
                RejectMessage("m2", 5, reason="too late"), DUE_US - 20_000
            )
            item = CallItem("m1", 2, "k", b"", due_us)
            engine.on_call_sent(
                OutboundCall(
                    1, ThrottleScopeKey(7, -1), 5, [item], open_items={"m1": item}
                )
            )
            engine.remember_finished("m1", "delivered")
            engine.serving = engine.frozen = True
            engine.set_detached("h1", True, lambda status, text: None)
        await members.beaten()
    return list(log_lines(printed.getvalue()))


async def registry_lines() -> list[object]:
    """Returns the event, level and keys of each type of list service log line."""
    with json_log(install_registry_log) as printed:
        await registries.written()
    lines = log_lines(printed.getvalue())
    kinds = {json.dumps([line["event"], line["level"], sorted(line)]) for line in lines}
    return [json.loads(kind) for kind in sorted(kinds)]


# Requests of clients, to endpoints and to discovery


REQUEST = {
    "x-correlation-id": "a1",
    "x-account": "acme",
    "x-time-left": "50.5",
    "idempotency-key": "idem",
    "x-addressing": "site=x; dest=7",
    "x-session-key": "line",
    "x-repeat": "1",
}
OWED = {
    "m1": PendingNotification("failed", 0),
    "m2": PendingNotification("returned", 250, "line"),
}


def asked_of_clients() -> list[object]:
    """Returns each client request as parsed, or the error reported for it."""
    requests = [Request(5, "POST", f"/{name}", True, REQUEST) for name in CLASSES]
    for name in REQUEST:
        headers = {key: value for key, value in REQUEST.items() if key != name}
        requests.append(Request(5, "POST", "/order", True, headers))
        requests.append(Request(5, "POST", "/turns", True, headers | {name: "\x01"}))
    requests += [Request(5, "GET", "/order"), Request(5, "POST", "/odd")]
    results: list[object] = []
    for request in requests:
        try:
            results.append(
                handed_table(parse_message(request, parse_settings(SETTINGS)))
            )
        except BadRequestError as error:
            results.append([str(part) for part in error.args])
    return results


CLASSES = ("order", "status", "turns", "pay")


async def sent_to_targets() -> bytes:
    """Returns two single calls, a batch call and a post of notifications, as sent."""
    with fixed_machine() as folder:
        pool = forwarder(folder).pool
        pool.clock = lambda: 0
        items = [
            CallItem("m1", 0, "k", b"\x00\xff", 0),
            CallItem("m2", 1, None, b"x", 0),
        ]
        data = b""
        for call_items in (items[:1], items[1:], items):
            opened = {item.id: item for item in call_items}
            data += pool.encode_call(
                OutboundCall(
                    1,
                    ThrottleScopeKey(7, -1),
                    0,
                    call_items,
                    2_500_000,
                    open_items=opened,
                )
            )
        names, body = encode_notifications(OWED)
        assert names == list(OWED)
        return data + body


FACTS: dict[str, object] = {
    **SETTINGS,
    "zones": ["x", "y"],
    "discovery": "pushed",
    "balancers": 3,
    "family_info": {
        "slots": 9,
        "kind_batch": [2],
        "routes_apart": [True],
        "carriage": [0.5, 1.5],
        "turned_away_price": 0.25,
        "loses_worth": "halves",
    },
    "allowed": dict.fromkeys(("parallel_tries", "may_cancel", "probes"), True)
    | {"retry_after": True, "max_open": 11, "max_attempts": 12}
    | {"max_retry_after_us": 13, "dial_timeout_us": 14, "conn_idle_us": 15},
    "contract": {
        "grace_to_answer_us": 21,
        "drain_grace_us": 22,
        "ask_within_us": 23,
        "overload_factor": 2.5,
        "fall_us": 24,
        "cold_from": 0.5,
        "warm_after_us": 25,
        "key_rest_us": 26,
    },
    "over_share_worth": 0.75,
    "services": [
        {"name": "a", "aim_us": 1, "deadline_us": 2, "effect": "by_key"}
        | {"key_scope": "zone", "window_us": 3, "by_arrival": True}
        | {"gain": 1.5, "late_worth": 0.5},
        {"name": "b", "aim_us": 1, "deadline_us": 2, "effect": "once"},
        {"name": "c", "aim_us": 1, "deadline_us": 2, "effect": "repeatable"}
        | {"key_scope": "cell"},
    ],
}


def settings_table(settings: Settings) -> dict[str, object]:
    return {
        "slots": settings.max_in_flight,
        "classes": [class_table(message_class) for message_class in settings.classes],
        "kinds": [
            [kind.name, kind.max_batch_size, kind.endpoint_scoped]
            for kind in settings.destination_kinds
        ],
        "tenants": [[tenant.name, tenant.quota_per_s] for tenant in settings.tenants],
        "zone fees": dict(settings.zone_costs),
        "balancers": settings.forwarder_count,
        "most open": settings.max_open_messages,
        "most attempts": settings.max_attempts,
        "may": [
            settings.allow_parallel_attempts,
            settings.allow_cancel,
            settings.allow_health_checks,
            settings.send_retry_after,
        ],
        "most retry after": settings.max_retry_after_us,
        "subscribe": settings.subscribe_endpoint_list,
        "weights told": settings.endpoint_weights_known,
        "prices": [settings.rejection_cost, settings.over_quota_weight],
        "late halves": settings.late_weight_halves,
        "graces": [settings.answer_grace_us, settings.drain_grace_us],
        "ask within": settings.poll_within_us,
        "overload": [
            settings.overload_factor,
            settings.overload_window_us,
            settings.cold_capacity_share,
            settings.warm_up_us,
        ],
        "key rest": settings.key_backoff_us,
        "connections": [settings.connect_timeout_us, settings.idle_connection_us],
        "ends told": settings.notifications_acknowledged,
    }


def settings_read() -> list[object]:
    return [settings_table(parse_settings(facts)) for facts in (SETTINGS, FACTS)]


async def made_async() -> References:
    return {
        **await operators_calls(),
        "log-forwarder": await message_lines(),
        "log-registry": await registry_lines(),
        "requests-read": asked_of_clients(),
        "requests-sent": await sent_to_targets(),
        "settings-read": settings_read(),
    }


def made() -> References:
    return asyncio.run(made_async())
