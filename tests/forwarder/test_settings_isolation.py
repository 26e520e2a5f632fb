"""Settings come from one configuration each: nothing is shared by two engines in one
process, and nothing of those before a SIGHUP is left, but for messages that were taken
on under them.
"""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from rainfall.dispatch import AttemptFinished, Idempotency, IdempotencyScope, LoadReport
from rainfall.forwarder.config.loading import (
    Config,
    ConfigError,
    load_replacement,
    parse_config,
)
from rainfall.forwarder.config.validation import validate_replacement
from rainfall.forwarder.engine import startup
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.handover.journal_lock import JournalLock
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    DeliveryRules,
    MessageStore,
)
from rainfall.wirehost import WireHost, parse_settings
from tests.forwarder.test_deployments import SITES, facts
from tests.forwarder.test_operations import classes, hang_up
from tests.forwarder.test_program import configure, folder_nodes, node_on, play, target
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    SETTINGS,
    Answer,
    Client,
    Node,
    Platform,
    Request,
    always,
    free_port,
    hang,
)

SECOND = 1_000_000
BARE: dict[str, Any] = {
    "family_info": {"slots": 4},
    "services": [
        {
            "name": name,
            "aim_us": 2 * SECOND,
            "deadline_us": 60 * SECOND,
            "effect": effect,
        }
        for name, effect in (
            ("free", "repeatable"),
            ("keyed", "by_key"),
            ("once", "once"),
        )
    ],
}
"""None of the optional keys."""


def services(**effects: str) -> dict[str, Any]:
    """Settings whose classes have these effects."""
    base = {k: v for k, v in SETTINGS["services"][0].items() if k != "name"}
    return {
        **SETTINGS,
        "services": [{**base, "name": n, "effect": e} for n, e in effects.items()],
    }


# Engines in one process


class Site:
    """An engine of this process with a platform of its own."""

    def __init__(self, folder: Path, facts: dict[str, Any]) -> None:
        self.folder, self.facts, self.platform, self.port = (
            folder,
            facts,
            Platform(),
            free_port(),
        )

    def config(self, **changes: Any) -> Config:
        return parse_config(
            {
                "name": self.folder.name,
                "listen": f"127.0.0.1:{self.port}",
                "discovery": f"127.0.0.1:{self.platform.port}",
                "known": self.platform.listing(),
                "settings": self.facts,
                **changes,
            },
            {"LB_STATE": str(self.folder)},
        )

    def begin(self) -> None:
        self.engine = Engine(self.config())
        self.run = asyncio.get_running_loop().create_task(self.engine.run())

    async def ready(self) -> None:
        async with asyncio.timeout(PATIENCE):
            while not self.engine.is_ready():
                await asyncio.sleep(0.01)

    async def hand_in(self, name: str, cls: str, **more: Any) -> int:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        try:
            return (await client.hand_in(name, cls, **more))[0]
        finally:
            client.writer.close()

    async def until(self, test: Callable[[Engine], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test(self.engine):
                await asyncio.sleep(0.01)

    async def end(self) -> None:
        self.engine.state.stopped.set()
        async with asyncio.timeout(PATIENCE):
            await self.run


def together(
    scene: Callable[[Site, Site], Awaitable[None]],
    folder: Path,
    one: dict[str, Any],
    other: dict[str, Any],
) -> None:
    async def run() -> None:
        sites = [Site(folder / "one", one), Site(folder / "other", other)]
        for site in sites:
            await site.platform.start()
        try:
            await scene(*sites)
        finally:
            for site in sites:
                if hasattr(site, "engine"):
                    await site.end()

    asyncio.run(run())


def test_one_class_name_has_another_effect_at_each_of_two_engines(
    tmp_path: Path,
) -> None:
    async def scene(one: Site, other: Site) -> None:
        answers = (Answer(500), OK)
        first = await target(one.platform, always(*answers))
        second = await target(other.platform, always(*answers))
        for site in (one, other):
            site.begin()
            await site.ready()
        for site in (one, other):
            assert await site.hand_in("m", "order") == 202
        assert (await other.platform.notice("m"))["state"] == "failed"
        await one.until(lambda e: e.metrics.fulfilled["order"] == 1)
        assert (len(first.requests), len(second.requests)) == (2, 1)
        assert not one.platform.notices and other.engine.metrics.faulted["order"] == 1
        assert (
            await one.hand_in("n", "pay") == 404
            and await other.hand_in("n", "status") == 404
        )
        assert set(one.engine.metrics.fulfilled) == {"order", "status"}
        assert set(other.engine.metrics.fulfilled) == {"order", "pay"}

    together(
        scene,
        tmp_path,
        services(order="repeatable", status="repeatable"),
        services(order="once", pay="once"),
    )


def test_other_settings_for_one_engine_leave_the_other_as_it_was(
    tmp_path: Path,
) -> None:
    async def scene(one: Site, other: Site) -> None:
        peers = [
            await target(site.platform, always(Answer(500), OK))
            for site in (one, other)
        ]
        for site in (one, other):
            site.begin()
            await site.ready()
        was = (
            other.engine.dispatcher.state.settings,
            other.engine.server.settings,
            dict(other.engine.batch_sizes),
            other.engine.pool.report_fields,
            other.engine.pool.idle_timeout_us,
            other.engine.store.rules,
        )
        allowed = {**SETTINGS["allowed"], "conn_idle_us": 9_000_000, "max_open": 1}
        new = {
            **services(order="once", pay="once"),
            "allowed": allowed,
            "host_types": ["lots"],
            "family_info": {"slots": 1, "kind_batch": [9]},
            "telemetry": {"fields": []},
        }
        one.engine.config = one.config(settings=new)
        one.engine.reconfiguration.apply_settings(one.engine.config)
        assert was == (
            other.engine.dispatcher.state.settings,
            other.engine.server.settings,
            other.engine.batch_sizes,
            other.engine.pool.report_fields,
            other.engine.pool.idle_timeout_us,
            other.engine.store.rules,
        )
        assert (
            one.engine.batch_sizes == {"lots": 9}
            and one.engine.pool.report_fields == ()
        )
        assert (
            await one.hand_in("m", "order") == await other.hand_in("m", "order") == 202
        )
        assert (await one.platform.notice("m"))["state"] == "failed"
        await other.until(lambda e: e.metrics.fulfilled["order"] == 1)
        assert [len(p.requests) for p in peers] == [1, 2]
        assert await other.hand_in("n", "pay") == 404

    together(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


# Instances on one wire


def played(names: dict[str, dict[str, Any]]) -> list[dict[str, Any]]:
    """All that these instances do over some seconds, where each call's end hangs on its
    names alone.
    """
    host, done, line = WireHost(), [], []
    for name, told in sorted(names.items()):
        n = len(name)
        kinds = told["host_types"]
        table = [
            {
                "target": 10 * n + k,
                "belongs_to": 5 + k % 2,
                "kind": kinds[k % len(kinds)],
                "hall": told["zones"][0],
                "readiness": "SERVING",
                "power_hint": 20.0,
            }
            for k in range(4)
        ]
        line += [
            {"type": "TABLE", "buffer": n, "elements": table},
            {"type": "UP", "forwarder_id": name, "entropy": len(name), "facts": told},
            {
                "type": "MEMBERS",
                "forwarder_id": name,
                "how": "FULL",
                "epoch": 1,
                "buffer": n,
            },
        ]
    ends: dict[int, list[dict[str, Any]]] = {}
    tries: dict[tuple[str, str], int] = {}
    for step in range(400):
        now = 5000 * step
        line += ends.pop(step, [])
        for name, told in sorted(names.items()):
            cls = told["services"][step // 2 % len(told["services"])]["name"]
            if step % 2 == 0 and step < 300:
                line.append(
                    {
                        "type": "ASK",
                        "forwarder_id": name,
                        "msg_id": f"m{step}",
                        "dest": 5 + step % 4 // 2,
                        "class": cls,
                        "route_key": f"k{step % 6}",
                        "due_us": now + 900_000,
                    }
                )
            line.append({"type": "DEADLINE_HIT", "forwarder_id": name, "token": "look"})
        acts = json.loads(
            host.handle_line(json.dumps({"clock_us": now, "inbox": line}))
        )["do"]
        line = []
        done += acts
        for a in acts:
            assert a["type"] != "INTERNAL_ERROR", a
            if a["type"] == "ISSUE":
                name, m = a["forwarder_id"], a["msg_id"]
                n = tries[name, m] = tries.get((name, m), -1) + 1
                luck = (int(m[1:]) * 7 + 3 * n + len(name)) % 11
                result = "Failed" if luck < 3 else "QueueFull" if luck < 5 else "Ok"
                end = {
                    "type": "CLOSED_ATTEMPT",
                    "forwarder_id": name,
                    "msg_id": m,
                    "try": n,
                    "target": a["target"],
                    "result": result,
                    "lag_us": 5000 * (3 + luck),
                    "closed": luck >= 5,
                    "wait_ms": 40 * (luck == 4),
                }
                if told_reports(names[name]):
                    end["telemetry"] = [0.5, 30.0]
                ends.setdefault(step + 3 + luck, []).append(end)
    return done


def told_reports(told: dict[str, Any]) -> bool:
    return bool(told["telemetry"]["fields"])


def test_instances_of_two_deployments_in_one_process_act_as_alone() -> None:
    one, other = (
        facts(f)
        for f in SITES
        if f.name in ("nakuru-clinic-supplies", "turku-ferry-freight")
    )
    for told in (
        one,
        other,
    ):  # and one name for a class in both, with another effect in each
        told["services"][0]["name"] = "order"
    assert one["services"][0]["effect"] != other["services"][0]["effect"] or (
        one["services"][0]["deadline_us"] != other["services"][0]["deadline_us"]
    )
    names = {"forwarder/a": one, "forwarder/bb": other}
    both = played(names)
    for name, told in names.items():
        alone = played({name: told})
        mine = [a for a in both if a["forwarder_id"] == name]
        assert mine == alone
        assert {a["type"] for a in mine} >= {"ISSUE", "ARM"} and len(mine) > 200


def up(name: str, told: dict[str, Any]) -> dict[str, Any]:
    return {"type": "UP", "forwarder_id": name, "entropy": 1, "facts": told}


def test_an_instance_that_cannot_come_up_again_leaves_none_of_before() -> None:
    """The one that ended used to go on under its name, with the settings that had been
    replaced.
    """
    host = WireHost()
    host.handle_line(json.dumps({"clock_us": 0, "inbox": [up("f", BARE)]}))
    bad = {**BARE, "family_info": {"slots": 0}}
    ask = {
        "type": "ASK",
        "forwarder_id": "f",
        "msg_id": "m",
        "dest": 1,
        "class": "gone",
        "due_us": 9,
    }
    done = json.loads(
        host.handle_line(json.dumps({"clock_us": 1, "inbox": [up("f", bad), ask]}))
    )["do"]
    assert [a["type"] for a in done] == ["INTERNAL_ERROR"]


# The file


def test_settings_with_none_of_the_optional_keys_promise_nothing(
    tmp_path: Path,
) -> None:
    """What is not told is neither allowed nor known: a keyed message goes again
    nowhere, as nothing says for how long and by whom its repeats are dropped.
    """
    s = parse_settings(BARE)
    assert [(c.idempotency, c.idempotency_window_us, c.ordered) for c in s.classes] == [
        (Idempotency.ALWAYS, 0, False),
        (Idempotency.WITH_KEY, 0, False),
        (Idempotency.AT_MOST_ONCE, 0, False),
    ]
    assert all(c.idempotency_scope is IdempotencyScope.ENDPOINT for c in s.classes)
    assert not (
        s.allow_parallel_attempts
        or s.allow_cancel
        or s.allow_health_checks
        or s.send_retry_after
        or s.subscribe_endpoint_list
        or s.endpoint_weights_known
        or s.late_weight_halves
        or s.tenants
        or s.destination_kinds
        or s.zone_costs
    )
    assert (
        s.forwarder_count,
        s.rejection_cost,
        s.key_backoff_us,
        s.idle_connection_us,
    ) == (
        1,
        0.0,
        0,
        0,
    )

    async def scene(platform: Platform, folder: Path) -> None:
        peers = [
            await target(platform, always(Answer(500), OK), f"s{n}", block=n)
            for n in range(3)
        ]
        node = Node(folder, platform)
        told = json.loads((folder / "config.json").read_text())
        keep = ("name", "listen", "discovery")
        (folder / "config.json").write_text(
            json.dumps({**{k: told[k] for k in keep}, "settings": BARE})
        )
        folder_nodes[-1].append(node)
        await node.start()
        for n, name in enumerate(("free", "keyed", "once")):
            assert (await node.hand_in(f"m{n}", name, dest=n))[0] == 202
        assert (
            (await platform.notice("m1"))["state"]
            == (await platform.notice("m2"))["state"]
            == "failed"
        )
        await node.shows(lambda f: f["fulfilled"] == {"free": 1, "keyed": 0, "once": 0})
        assert [len(p.requests) for p in peers] == [2, 1, 1]

    play(scene, tmp_path)


@pytest.mark.parametrize(
    "telemetry, fields",
    [
        ({"fields": ["x0", "x1"], "how": "piggyback"}, ("x0", "x1")),
        ({"fields": ["x0", "x1"]}, ("x0", "x1")),
        ({"fields": ["x0", "x1"], "how": "pull"}, ()),
        ({"fields": ["x0", "x1"], "how": "silent"}, ()),
        ({"fields": [], "how": "piggyback"}, ()),
        (None, ()),
    ],
)
def test_answers_hold_reports_only_where_the_settings_say_so(
    telemetry: Any, fields: tuple[str, ...]
) -> None:
    told = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": {**SETTINGS, "telemetry": telemetry},
    }
    assert parse_config(told, {"LB_STATE": "/state"}).report_fields == fields


def without(told: dict[str, Any], *path: str) -> dict[str, Any]:
    made = copy.deepcopy(told)
    inner = made
    for part in path[:-1]:
        inner = inner[int(part) if isinstance(inner, list) else part]
    del inner[path[-1]]
    return made


@pytest.mark.parametrize(
    "path, valid",
    [
        (("settings", "services", "0", "by_arrival"), True),
        (("settings", "contract", "key_rest_us"), True),
        (("settings", "services", "0", "aim_stretch"), True),
        (("settings", "prices", "fleet"), True),
        (("settings", "services", "0", "window_us"), False),
        (("settings", "services", "0", "key_scope"), False),
        (("settings", "contract", "fall_us"), False),
        (("settings", "prices", "waste"), False),
    ],
)
def test_a_new_file_may_leave_out_what_the_page_calls_optional_and_nothing_else(
    path: tuple[str, ...], valid: bool, tmp_path: Path
) -> None:
    """A class that no longer keeps its order used to cost the whole file, and with it a
    move of discovery.
    """
    told = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": {
            **SETTINGS,
            "contract": {"key_rest_us": 5000, "fall_us": 9},
            "prices": {"fleet": 1.0, "waste": 0.1},
            "services": [
                {**SETTINGS["services"][0], "by_arrival": True, "aim_stretch": 2.0}
            ],
        },
    }
    env = {"LB_STATE": "/state", "LB_CONFIG": str(tmp_path / "config.json")}
    old = parse_config(told, env)
    new = without(told, *path)
    (tmp_path / "config.json").write_text(json.dumps(new))
    assert validate_replacement(json.dumps(new).encode(), old, env).valid is valid
    if not valid:
        with pytest.raises(ConfigError, match=f"{path[-1]} is missing"):
            load_replacement(old, env)
        return
    s = load_replacement(old, env).settings
    assert s.classes[0].ordered is (path[-1] != "by_arrival")
    assert s.key_backoff_us == (0 if path[-1] == "key_rest_us" else 5000)


# SIGHUP


def test_new_messages_go_by_the_new_settings_and_open_ones_by_the_old(
    tmp_path: Path,
) -> None:
    """One name, and at SIGHUP another effect, order and deadline; also once both have
    seen a restart.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        go_on = asyncio.Event()

        async def held(request: Request) -> Answer:
            await go_on.wait()
            return (
                Answer(500)
                if request.headers["x-correlation-id"].startswith("old")
                else OK
            )

        peer = await target(platform, held)
        other = await target(platform, always(Answer(500), OK), "s2", block=8)
        third = await target(platform, hang, "s3", block=9)
        node = await node_on(folder, platform)
        assert (await node.hand_in("old", "pay"))[0] == 202
        await peer.got(1)
        await hang_up(
            node,
            settings=classes(
                pay={
                    "effect": "by_key",
                    "key_scope": "all",
                    "window_us": 30 * SECOND,
                    "by_arrival": True,
                    "deadline_us": 20 * SECOND,
                }
            ),
        )
        assert (await node.hand_in("long", "pay", left="50", dest=8))[
            0
        ] == 400  # over twice its deadline
        assert (
            await node.hand_in("bare", "pay", left="20", dest=8, Idempotency_Key=None)
        )[0] == 400
        assert (await node.hand_in("new", "pay", left="20", dest=8))[0] == 202
        calls = await other.got(2)
        assert [r.headers["x-correlation-id"] for r in calls] == ["new", "new"]
        go_on.set()
        assert (await platform.notice("old"))["state"] == "failed"
        assert len(peer.requests) == 1
        assert (await node.hand_in("cut", "pay", left="40", dest=9))[0] == 202
        await third.got(1)
        await hang_up(node, settings=SETTINGS)
        await node.restart()
        assert [r.headers["x-correlation-id"] for r in await third.got(2)] == [
            "cut",
            "cut",
        ]
        other.handler = always(Answer(500))
        assert (await node.hand_in("last", "pay", dest=8))[0] == 202
        assert (await platform.notice("last"))["state"] == "failed"

    play(scene, tmp_path)


def test_batches_and_limits_are_those_of_the_newest_settings(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        go_on = asyncio.Event()

        async def held(request: Request) -> Answer:
            await go_on.wait()
            if request.path == "/hook":
                return OK
            ids = [item["id"] for item in json.loads(request.body)]
            return Answer(
                200,
                body=json.dumps([{"id": m, "state": "accepted"} for m in ids]).encode(),
            )

        peer = await target(platform, held, kind="lots")
        node = Node(folder, platform)
        folder_nodes[-1].append(node)

        def told(batch: int, **allowed: int) -> dict[str, Any]:
            patient = [{**c, "aim_us": 20 * SECOND} for c in SETTINGS["services"]]
            return {
                **SETTINGS,
                "services": patient,
                "allowed": {**SETTINGS["allowed"], **allowed},
                "family_info": {
                    **SETTINGS["family_info"],
                    "slots": 1,
                    "kind_batch": [1, batch],
                },
            }

        async def calls(prefix: str) -> list[str]:
            """The first leaves alone, and what waits for it as the settings have it."""
            go_on.clear()
            peer.requests.clear()
            for n in range(3):
                assert (await node.hand_in(f"{prefix}{n}"))[0] == 202
            await peer.got(1)
            go_on.set()
            await node.shows(lambda f: f["open_requests"] == 0)
            return [r.path for r in peer.requests]

        configure(node, settings=told(1))
        await node.start()
        assert await calls("a") == ["/hook"] * 3
        await hang_up(node, settings=told(5))
        assert await calls("b") == ["/hook", "/hook/batch"]
        await hang_up(node, settings=told(1))
        assert await calls("c") == ["/hook"] * 3
        await hang_up(node, settings=told(1, max_open=3))
        go_on.clear()
        assert [(await node.hand_in(f"d{n}"))[0] for n in range(2)] == [202, 202]
        assert (await node.hand_in("over"))[0] in (429, 503)
        await hang_up(node, settings=told(1, max_open=9))
        assert (await node.hand_in("fits"))[0] == 202

    play(scene, tmp_path)


def test_reports_are_read_by_the_newest_fields(tmp_path: Path) -> None:
    async def scene(one: Site, other: Site) -> None:
        await target(
            one.platform, always(Answer(200, {"X-Backend-Load": "x0=0.5,x1=70"}))
        )
        one.begin()
        await one.ready()
        ends: list[AttemptFinished] = []
        book = one.engine.outcomes.record_outcome
        one.engine.outcomes.record_outcome = lambda e: (ends.append(e), book(e))[1]  # type: ignore[method-assign]
        for n, fields in enumerate((["x0", "x1"], [], ["x0", "x1"])):
            one.engine.reconfiguration.apply_settings(
                one.config(settings={**one.facts, "telemetry": {"fields": fields}})
            )
            assert await one.hand_in(f"m{n}", "order") == 202
            await one.until(lambda e, n=n: e.metrics.fulfilled["order"] == n + 1)
        told = LoadReport(0.5, 70.0)
        assert [e.load_report for e in ends] == [told, None, told]

    together(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


def test_a_wait_at_the_last_gate_outlasts_settings_that_part_or_join_routes(
    tmp_path: Path,
) -> None:
    async def scene(one: Site, other: Site) -> None:
        await target(one.platform, always(OK))
        await target(one.platform, always(OK), "s2")
        await target(one.platform, always(OK), "s3", block=8)
        one.begin()
        await one.ready()
        e = one.engine
        n1, n2, n3 = (e.endpoint_id(f"s{n}") for n in (1, 2, 3))
        e.pool.set_retry_after((7, -1), 1 << 60)
        family = one.facts["family_info"]
        e.reconfiguration.apply_settings(
            one.config(
                settings={
                    **one.facts,
                    "family_info": {**family, "routes_apart": [True, False]},
                }
            )
        )
        assert (
            e.pool.retry_after_until[7, n1]
            == e.pool.retry_after_until[7, n2]
            == 1 << 60
            and (8, n3) not in e.pool.retry_after_until
        )
        e.pool.set_retry_after((8, n3), 1 << 61)
        e.reconfiguration.apply_settings(one.config())
        assert (
            e.pool.retry_after_until[8, -1] == 1 << 61
            and e.pool.retry_after_until[7, -1] == 1 << 60
        )

    together(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


def waiting_message(folder: Path, told: dict[str, Any], *hosts: dict[str, Any]) -> None:
    """A journal in which a message waits, with the list of before."""
    store = MessageStore(folder, 3_000_000)
    s = parse_settings(told)
    store.use_rules(DeliveryRules(s.max_attempts, s.classes))
    store.append_endpoint_list(1, {h["host"]: h for h in hosts}, 0, "")
    store.append_message(
        AcceptedMessage("m", "order", 7, 1 << 60, "key", None, b"body")
    )
    store.close()


def test_sighup_while_a_start_waits_for_the_list_sends_nothing_by_that_of_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The reading used to play a round at once, so that what the journal held went to a
    drained target.
    """

    async def scene(one: Site, other: Site) -> None:
        monkeypatch.setattr(startup, "FIRST_LIST_TIMEOUT_S", PATIENCE)
        drained = await target(one.platform, always(OK))
        waiting_message(one.folder, one.facts, *one.platform.hosts.values())
        fresh = await target(one.platform, always(OK), "s2")
        one.platform.hosts["s1"]["health"], one.platform.seq = "draining", 2
        gate, answer = asyncio.Event(), one.platform.answer

        async def held(request: Request) -> Answer | bytes | None:
            await gate.wait()
            return await answer(request)

        one.platform.handler = held
        one.begin()
        await one.platform.got(1)
        told = {
            **one.engine.config.raw,
            "known": None,
            "settings": {
                **one.facts,
                "allowed": {**SETTINGS["allowed"], "max_open": 7},
            },
        }
        (tmp_path / "config.json").write_text(json.dumps(told))
        monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
        monkeypatch.setenv("LB_STATE", str(one.folder))
        one.engine.reload()
        assert (
            one.engine.metrics.configs_accepted == 1
            and one.engine.config.settings.max_open_messages == 7
        )
        for _ in range(5):
            await asyncio.sleep(0)
            assert (
                not one.engine.dispatcher.state.attempts
                and not one.engine.pool.in_flight
            )
        gate.set()
        await fresh.got(1)
        assert (
            not drained.requests
            and one.engine.dispatcher.state.settings.max_open_messages == 7
        )

    together(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


def test_sighup_in_the_last_moment_of_an_engine_opens_nothing_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A watch that moved after the engine's end would have gone on beside that of the
    engine after it.
    """

    async def scene(one: Site, other: Site) -> None:
        one.begin()
        await one.ready()
        await one.end()
        (tmp_path / "config.json").write_text(
            json.dumps(
                {
                    **one.engine.config.raw,
                    "known": None,
                    "discovery": f"127.0.0.1:{other.platform.port}",
                }
            )
        )
        monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
        monkeypatch.setenv("LB_STATE", str(one.folder))
        one.engine.reload()
        assert (
            one.engine.config.discovery.port == other.platform.port
        )  # for the engine after it
        assert one.engine.watch.task is None and one.engine.notifier.task is None

    together(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


def test_what_waits_for_a_start_is_told_and_not_taken_for_in_force(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Another format of the log used to count as in force, though only a start brings
    it.
    """

    async def scene(one: Site, other: Site) -> None:
        one.begin()
        await one.ready()
        (tmp_path / "config.json").write_text(
            json.dumps(
                {
                    **one.engine.config.raw,
                    "known": None,
                    "log_format": "json",
                    "admin_addr": "127.0.0.1:9",
                }
            )
        )
        monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
        monkeypatch.setenv("LB_STATE", str(one.folder))
        with caplog.at_level("INFO"):
            one.engine.reload()
        assert not one.engine.config.log_json and one.engine.config.admin is None
        assert caplog.messages[-1].endswith(
            "takes effect at the next start: admin_addr, log_format"
        )

    together(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


def test_sighup_before_the_journal_is_free_is_read_once_it_is(tmp_path: Path) -> None:
    """A process that waits for the one before it has read its configuration already: a
    SIGHUP that moves discovery meanwhile used to be ignored, and it began at the old
    address.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, always(OK))
        moved = Platform()
        await moved.start()
        moved.hosts = platform.hosts
        lock = JournalLock(folder / "state")
        assert lock.try_acquire()
        node = Node(folder, platform)
        folder_nodes[-1].append(node)
        await node.spawn()
        await node.until_logged("waiting")
        configure(node, discovery=f"127.0.0.1:{moved.port}")
        node.process.send_signal(signal.SIGHUP)
        lock.release()
        await node.until_ready()
        await moved.got(1)
        assert (await node.figures())["cfg_accepted"] == 1

    play(scene, tmp_path)
