"""Each engine uses the settings of its own configuration: two engines in one process
share none, and after a SIGHUP only messages accepted under the old settings keep them.
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
from tests.forwarder.test_deployments import SITES, deployment_settings
from tests.forwarder.test_operations import reload_by_sighup, settings_with_classes
from tests.forwarder.test_program import configure, node_on, play, started_nodes, target
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    SETTINGS,
    Answer,
    Client,
    Node,
    Platform,
    Request,
    answer_in_turn,
    free_port,
    hang,
)

SECOND_US = 1_000_000
REQUIRED_SETTINGS: dict[str, Any] = {
    "family_info": {"slots": 4},
    "services": [
        {
            "name": name,
            "aim_us": 2 * SECOND_US,
            "deadline_us": 60 * SECOND_US,
            "effect": effect,
        }
        for name, effect in (
            ("free", "repeatable"),
            ("keyed", "by_key"),
            ("once", "once"),
        )
    ],
}
"""Settings without any optional key."""


def services(**effects: str) -> dict[str, Any]:
    """Returns settings with one class per name, with the given effect."""
    defaults = {
        key: value for key, value in SETTINGS["services"][0].items() if key != "name"
    }
    return {
        **SETTINGS,
        "services": [
            {**defaults, "name": name, "effect": effect}
            for name, effect in effects.items()
        ],
    }


# Engines in one process


class Site:
    """An engine in this process with its own discovery agent."""

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        self.folder, self.settings, self.platform, self.port = (
            folder,
            settings,
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
                "settings": self.settings,
                **changes,
            },
            {"LB_STATE": str(self.folder)},
        )

    def start(self) -> None:
        self.engine = Engine(self.config())
        self.run = asyncio.get_running_loop().create_task(self.engine.run())

    async def wait_ready(self) -> None:
        async with asyncio.timeout(PATIENCE):
            while not self.engine.is_ready():
                await asyncio.sleep(0.01)

    async def hand_in(self, name: str, cls: str, **headers: Any) -> int:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        try:
            return (await client.hand_in(name, cls, **headers))[0]
        finally:
            client.writer.close()

    async def until(self, condition: Callable[[Engine], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not condition(self.engine):
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        self.engine.state.stopped.set()
        async with asyncio.timeout(PATIENCE):
            await self.run


def run_two_sites(
    scene: Callable[[Site, Site], Awaitable[None]],
    folder: Path,
    settings: dict[str, Any],
    other_settings: dict[str, Any],
) -> None:
    async def run() -> None:
        sites = [Site(folder / "one", settings), Site(folder / "other", other_settings)]
        for site in sites:
            await site.platform.start()
        try:
            await scene(*sites)
        finally:
            for site in sites:
                if hasattr(site, "engine"):
                    await site.stop()

    asyncio.run(run())


def test_engines_use_their_own_effect_for_the_same_class_name(
    tmp_path: Path,
) -> None:
    async def scene(one: Site, other: Site) -> None:
        answers = (Answer(500), OK)
        peer = await target(one.platform, answer_in_turn(*answers))
        other_peer = await target(other.platform, answer_in_turn(*answers))
        for site in (one, other):
            site.start()
            await site.wait_ready()
        for site in (one, other):
            assert await site.hand_in("m", "order") == 202
        assert (await other.platform.notice("m"))["state"] == "failed"
        await one.until(lambda engine: engine.metrics.fulfilled["order"] == 1)
        assert (len(peer.requests), len(other_peer.requests)) == (2, 1)
        assert not one.platform.notices and other.engine.metrics.faulted["order"] == 1
        assert (
            await one.hand_in("n", "pay") == 404
            and await other.hand_in("n", "status") == 404
        )
        assert set(one.engine.metrics.fulfilled) == {"order", "status"}
        assert set(other.engine.metrics.fulfilled) == {"order", "pay"}

    run_two_sites(
        scene,
        tmp_path,
        services(order="repeatable", status="repeatable"),
        services(order="once", pay="once"),
    )


def test_new_settings_of_one_engine_do_not_affect_the_other(
    tmp_path: Path,
) -> None:
    async def scene(one: Site, other: Site) -> None:
        peers = [
            await target(site.platform, answer_in_turn(Answer(500), OK))
            for site in (one, other)
        ]
        for site in (one, other):
            site.start()
            await site.wait_ready()
        before = (
            other.engine.dispatcher.state.settings,
            other.engine.server.settings,
            dict(other.engine.batch_sizes),
            other.engine.pool.report_fields,
            other.engine.pool.idle_timeout_us,
            other.engine.store.rules,
        )
        allowed = {**SETTINGS["allowed"], "conn_idle_us": 9_000_000, "max_open": 1}
        new_settings = {
            **services(order="once", pay="once"),
            "allowed": allowed,
            "host_types": ["lots"],
            "family_info": {"slots": 1, "kind_batch": [9]},
            "telemetry": {"fields": []},
        }
        one.engine.config = one.config(settings=new_settings)
        one.engine.reconfiguration.apply_settings(one.engine.config)
        assert before == (
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
        await other.until(lambda engine: engine.metrics.fulfilled["order"] == 1)
        assert [len(peer.requests) for peer in peers] == [1, 2]
        assert await other.hand_in("n", "pay") == 404

    run_two_sites(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


# Instances in one wire host


def run_instances(settings_by_id: dict[str, dict[str, Any]]) -> list[dict[str, Any]]:
    """Runs the instances for 2 s of simulated time and returns all their actions.

    The outcome of each call depends only on the forwarder id, the message id and the
    attempt number.
    """
    host, actions, inbox = WireHost(), [], []
    for name, settings in sorted(settings_by_id.items()):
        number = len(name)
        kinds = settings["host_types"]
        elements = [
            {
                "target": 10 * number + index,
                "belongs_to": 5 + index % 2,
                "kind": kinds[index % len(kinds)],
                "hall": settings["zones"][0],
                "readiness": "SERVING",
                "power_hint": 20.0,
            }
            for index in range(4)
        ]
        inbox += [
            {"type": "TABLE", "buffer": number, "elements": elements},
            {
                "type": "UP",
                "forwarder_id": name,
                "entropy": len(name),
                "facts": settings,
            },
            {
                "type": "MEMBERS",
                "forwarder_id": name,
                "how": "FULL",
                "epoch": 1,
                "buffer": number,
            },
        ]
    outcomes: dict[int, list[dict[str, Any]]] = {}
    attempts: dict[tuple[str, str], int] = {}
    for step in range(400):
        now = 5000 * step
        inbox += outcomes.pop(step, [])
        for name, settings in sorted(settings_by_id.items()):
            class_name = settings["services"][step // 2 % len(settings["services"])][
                "name"
            ]
            if step % 2 == 0 and step < 300:
                inbox.append(
                    {
                        "type": "ASK",
                        "forwarder_id": name,
                        "msg_id": f"m{step}",
                        "dest": 5 + step % 4 // 2,
                        "class": class_name,
                        "route_key": f"k{step % 6}",
                        "due_us": now + 900_000,
                    }
                )
            inbox.append(
                {"type": "DEADLINE_HIT", "forwarder_id": name, "token": "look"}
            )
        new_actions = json.loads(
            host.handle_line(json.dumps({"clock_us": now, "inbox": inbox}))
        )["do"]
        inbox = []
        actions += new_actions
        for action in new_actions:
            assert action["type"] != "INTERNAL_ERROR", action
            if action["type"] == "ISSUE":
                name, message_id = action["forwarder_id"], action["msg_id"]
                number = attempts[name, message_id] = (
                    attempts.get((name, message_id), -1) + 1
                )
                outcome_code = (int(message_id[1:]) * 7 + 3 * number + len(name)) % 11
                result = (
                    "Failed"
                    if outcome_code < 3
                    else "QueueFull"
                    if outcome_code < 5
                    else "Ok"
                )
                outcome = {
                    "type": "CLOSED_ATTEMPT",
                    "forwarder_id": name,
                    "msg_id": message_id,
                    "try": number,
                    "target": action["target"],
                    "result": result,
                    "lag_us": 5000 * (3 + outcome_code),
                    "closed": outcome_code >= 5,
                    "wait_ms": 40 * (outcome_code == 4),
                }
                if has_load_reports(settings_by_id[name]):
                    outcome["telemetry"] = [0.5, 30.0]
                outcomes.setdefault(step + 3 + outcome_code, []).append(outcome)
    return actions


def has_load_reports(settings: dict[str, Any]) -> bool:
    return bool(settings["telemetry"]["fields"])


def test_instances_in_one_wire_host_act_as_in_separate_hosts() -> None:
    one, other = (
        deployment_settings(site)
        for site in SITES
        if site.name in ("nakuru-clinic-supplies", "turku-ferry-freight")
    )
    for settings in (
        one,
        other,
    ):  # the same class name in both, with different settings
        settings["services"][0]["name"] = "order"
    assert one["services"][0]["effect"] != other["services"][0]["effect"] or (
        one["services"][0]["deadline_us"] != other["services"][0]["deadline_us"]
    )
    settings_by_id = {"forwarder/a": one, "forwarder/bb": other}
    actions_of_both = run_instances(settings_by_id)
    for name, settings in settings_by_id.items():
        actions_alone = run_instances({name: settings})
        own_actions = [
            action for action in actions_of_both if action["forwarder_id"] == name
        ]
        assert own_actions == actions_alone
        assert {action["type"] for action in own_actions} >= {"ISSUE", "ARM"} and len(
            own_actions
        ) > 200


def up_event(name: str, settings: dict[str, Any]) -> dict[str, Any]:
    return {"type": "UP", "forwarder_id": name, "entropy": 1, "facts": settings}


def test_instance_that_fails_to_restart_is_removed() -> None:
    """Guards against the previous instance that kept running under the same id with its
    old settings.
    """
    host = WireHost()
    host.handle_line(
        json.dumps({"clock_us": 0, "inbox": [up_event("f", REQUIRED_SETTINGS)]})
    )
    invalid = {**REQUIRED_SETTINGS, "family_info": {"slots": 0}}
    ask_event = {
        "type": "ASK",
        "forwarder_id": "f",
        "msg_id": "m",
        "dest": 1,
        "class": "gone",
        "due_us": 9,
    }
    actions = json.loads(
        host.handle_line(
            json.dumps({"clock_us": 1, "inbox": [up_event("f", invalid), ask_event]})
        )
    )["do"]
    assert [action["type"] for action in actions] == ["INTERNAL_ERROR"]


# The configuration file


def test_missing_optional_settings_allow_nothing(
    tmp_path: Path,
) -> None:
    """A missing key grants nothing: a keyed message is never repeated, because the
    settings do not say how long and by which endpoints repeats are deduplicated.
    """
    settings = parse_settings(REQUIRED_SETTINGS)
    assert [
        (
            message_class.idempotency,
            message_class.idempotency_window_us,
            message_class.ordered,
        )
        for message_class in settings.classes
    ] == [
        (Idempotency.ALWAYS, 0, False),
        (Idempotency.WITH_KEY, 0, False),
        (Idempotency.AT_MOST_ONCE, 0, False),
    ]
    assert all(
        message_class.idempotency_scope is IdempotencyScope.ENDPOINT
        for message_class in settings.classes
    )
    assert not (
        settings.allow_parallel_attempts
        or settings.allow_cancel
        or settings.allow_health_checks
        or settings.send_retry_after
        or settings.subscribe_endpoint_list
        or settings.endpoint_weights_known
        or settings.late_weight_halves
        or settings.tenants
        or settings.destination_kinds
        or settings.zone_costs
    )
    assert (
        settings.forwarder_count,
        settings.rejection_cost,
        settings.key_backoff_us,
        settings.idle_connection_us,
    ) == (
        1,
        0.0,
        0,
        0,
    )

    async def scene(platform: Platform, folder: Path) -> None:
        peers = [
            await target(platform, answer_in_turn(Answer(500), OK), f"s{n}", block=n)
            for n in range(3)
        ]
        node = Node(folder, platform)
        config = json.loads((folder / "config.json").read_text())
        kept_keys = ("name", "listen", "discovery")
        (folder / "config.json").write_text(
            json.dumps(
                {
                    **{key: config[key] for key in kept_keys},
                    "settings": REQUIRED_SETTINGS,
                }
            )
        )
        started_nodes[-1].append(node)
        await node.start()
        for n, name in enumerate(("free", "keyed", "once")):
            assert (await node.hand_in(f"m{n}", name, dest=n))[0] == 202
        assert (
            (await platform.notice("m1"))["state"]
            == (await platform.notice("m2"))["state"]
            == "failed"
        )
        await node.wait_for_metrics(
            lambda figures: figures["fulfilled"] == {"free": 1, "keyed": 0, "once": 0}
        )
        assert [len(peer.requests) for peer in peers] == [2, 1, 1]

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
def test_load_reports_are_read_only_if_configured(
    telemetry: Any, fields: tuple[str, ...]
) -> None:
    config = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": {**SETTINGS, "telemetry": telemetry},
    }
    assert parse_config(config, {"LB_STATE": "/state"}).report_fields == fields


def without_key(config: dict[str, Any], *path: str) -> dict[str, Any]:
    changed = copy.deepcopy(config)
    inner = changed
    for part in path[:-1]:
        inner = inner[int(part) if isinstance(inner, list) else part]
    del inner[path[-1]]
    return changed


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
def test_replacement_config_may_omit_only_optional_keys(
    path: tuple[str, ...], valid: bool, tmp_path: Path
) -> None:
    """Guards against rejecting the whole file, including a new discovery address, when
    a class no longer sets `by_arrival`.
    """
    raw_config = {
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
    old_config = parse_config(raw_config, env)
    new_raw_config = without_key(raw_config, *path)
    (tmp_path / "config.json").write_text(json.dumps(new_raw_config))
    assert (
        validate_replacement(json.dumps(new_raw_config).encode(), old_config, env).valid
        is valid
    )
    if not valid:
        with pytest.raises(ConfigError, match=f"{path[-1]} is missing"):
            load_replacement(old_config, env)
        return
    settings = load_replacement(old_config, env).settings
    assert settings.classes[0].ordered is (path[-1] != "by_arrival")
    assert settings.key_backoff_us == (0 if path[-1] == "key_rest_us" else 5000)


# SIGHUP


def test_open_messages_keep_their_settings_after_sighup(
    tmp_path: Path,
) -> None:
    """A SIGHUP changes the effect, order and deadline of a class under the same name.
    Also checked after a restart.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        release_responses = asyncio.Event()

        async def respond_after_release(request: Request) -> Answer:
            await release_responses.wait()
            return (
                Answer(500)
                if request.headers["x-correlation-id"].startswith("old")
                else OK
            )

        first_peer = await target(platform, respond_after_release)
        second_peer = await target(
            platform, answer_in_turn(Answer(500), OK), "s2", block=8
        )
        third_peer = await target(platform, hang, "s3", block=9)
        node = await node_on(folder, platform)
        assert (await node.hand_in("old", "pay"))[0] == 202
        await first_peer.wait_for_requests(1)
        await reload_by_sighup(
            node,
            settings=settings_with_classes(
                pay={
                    "effect": "by_key",
                    "key_scope": "all",
                    "window_us": 30 * SECOND_US,
                    "by_arrival": True,
                    "deadline_us": 20 * SECOND_US,
                }
            ),
        )
        assert (await node.hand_in("long", "pay", left="50", dest=8))[
            0
        ] == 400  # more than twice the deadline of the class
        assert (
            await node.hand_in("bare", "pay", left="20", dest=8, Idempotency_Key=None)
        )[0] == 400
        assert (await node.hand_in("new", "pay", left="20", dest=8))[0] == 202
        calls = await second_peer.wait_for_requests(2)
        assert [request.headers["x-correlation-id"] for request in calls] == [
            "new",
            "new",
        ]
        release_responses.set()
        assert (await platform.notice("old"))["state"] == "failed"
        assert len(first_peer.requests) == 1
        assert (await node.hand_in("cut", "pay", left="40", dest=9))[0] == 202
        await third_peer.wait_for_requests(1)
        await reload_by_sighup(node, settings=SETTINGS)
        await node.restart()
        assert [
            request.headers["x-correlation-id"]
            for request in await third_peer.wait_for_requests(2)
        ] == [
            "cut",
            "cut",
        ]
        second_peer.handler = answer_in_turn(Answer(500))
        assert (await node.hand_in("last", "pay", dest=8))[0] == 202
        assert (await platform.notice("last"))["state"] == "failed"

    play(scene, tmp_path)


def test_batch_sizes_and_limits_follow_newest_settings(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        release_responses = asyncio.Event()

        async def respond_after_release(request: Request) -> Answer:
            await release_responses.wait()
            if request.path == "/hook":
                return OK
            ids = [item["id"] for item in json.loads(request.body)]
            return Answer(
                200,
                body=json.dumps(
                    [{"id": message_id, "state": "accepted"} for message_id in ids]
                ).encode(),
            )

        peer = await target(platform, respond_after_release, kind="lots")
        node = Node(folder, platform)
        started_nodes[-1].append(node)

        def settings_with(batch_size: int, **allowed: int) -> dict[str, Any]:
            slow_services = [
                {**service, "aim_us": 20 * SECOND_US}
                for service in SETTINGS["services"]
            ]
            return {
                **SETTINGS,
                "services": slow_services,
                "allowed": {**SETTINGS["allowed"], **allowed},
                "family_info": {
                    **SETTINGS["family_info"],
                    "slots": 1,
                    "kind_batch": [1, batch_size],
                },
            }

        async def calls(prefix: str) -> list[str]:
            """Hands in three messages and returns the paths of the calls.

            The first is sent alone; the others wait and are batched by the settings.
            """
            release_responses.clear()
            peer.requests.clear()
            for n in range(3):
                assert (await node.hand_in(f"{prefix}{n}"))[0] == 202
            await peer.wait_for_requests(1)
            release_responses.set()
            await node.wait_for_metrics(lambda figures: figures["open_requests"] == 0)
            return [request.path for request in peer.requests]

        configure(node, settings=settings_with(1))
        await node.start()
        assert await calls("a") == ["/hook"] * 3
        await reload_by_sighup(node, settings=settings_with(5))
        assert await calls("b") == ["/hook", "/hook/batch"]
        await reload_by_sighup(node, settings=settings_with(1))
        assert await calls("c") == ["/hook"] * 3
        await reload_by_sighup(node, settings=settings_with(1, max_open=3))
        release_responses.clear()
        assert [(await node.hand_in(f"d{n}"))[0] for n in range(2)] == [202, 202]
        assert (await node.hand_in("over"))[0] in (429, 503)
        await reload_by_sighup(node, settings=settings_with(1, max_open=9))
        assert (await node.hand_in("fits"))[0] == 202

    play(scene, tmp_path)


def test_load_report_fields_follow_newest_settings(tmp_path: Path) -> None:
    async def scene(one: Site, other: Site) -> None:
        await target(
            one.platform,
            answer_in_turn(Answer(200, {"X-Backend-Load": "x0=0.5,x1=70"})),
        )
        one.start()
        await one.wait_ready()
        events: list[AttemptFinished] = []
        record = one.engine.outcomes.record_outcome
        one.engine.outcomes.record_outcome = lambda e: (events.append(e), record(e))[1]  # type: ignore[method-assign]
        for n, fields in enumerate((["x0", "x1"], [], ["x0", "x1"])):
            one.engine.reconfiguration.apply_settings(
                one.config(settings={**one.settings, "telemetry": {"fields": fields}})
            )
            assert await one.hand_in(f"m{n}", "order") == 202
            await one.until(lambda e, n=n: e.metrics.fulfilled["order"] == n + 1)
        report = LoadReport(0.5, 70.0)
        assert [e.load_report for e in events] == [report, None, report]

    run_two_sites(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


def test_retry_after_survives_change_of_throttle_scope(
    tmp_path: Path,
) -> None:
    async def scene(one: Site, other: Site) -> None:
        await target(one.platform, answer_in_turn(OK))
        await target(one.platform, answer_in_turn(OK), "s2")
        await target(one.platform, answer_in_turn(OK), "s3", block=8)
        one.start()
        await one.wait_ready()
        engine = one.engine
        first, second, third = (engine.endpoint_id(f"s{n}") for n in (1, 2, 3))
        engine.pool.set_retry_after((7, -1), 1 << 60)
        family_info = one.settings["family_info"]
        engine.reconfiguration.apply_settings(
            one.config(
                settings={
                    **one.settings,
                    "family_info": {**family_info, "routes_apart": [True, False]},
                }
            )
        )
        assert (
            engine.pool.retry_after_until[7, first]
            == engine.pool.retry_after_until[7, second]
            == 1 << 60
            and (8, third) not in engine.pool.retry_after_until
        )
        engine.pool.set_retry_after((8, third), 1 << 61)
        engine.reconfiguration.apply_settings(one.config())
        assert (
            engine.pool.retry_after_until[8, -1] == 1 << 61
            and engine.pool.retry_after_until[7, -1] == 1 << 60
        )

    run_two_sites(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


def store_waiting_message(
    folder: Path, raw_settings: dict[str, Any], *hosts: dict[str, Any]
) -> None:
    """Writes a journal with one waiting message and an earlier endpoint list."""
    store = MessageStore(folder, 3_000_000)
    settings = parse_settings(raw_settings)
    store.use_rules(DeliveryRules(settings.max_attempts, settings.classes))
    store.append_endpoint_list(1, {host["host"]: host for host in hosts}, 0, "")
    store.append_message(
        AcceptedMessage("m", "order", 7, 1 << 60, "key", None, b"body")
    )
    store.close()


def test_sighup_before_first_endpoint_list_sends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a reload that runs a round at once and sends messages from the
    journal to a draining endpoint.
    """

    async def scene(one: Site, other: Site) -> None:
        monkeypatch.setattr(startup, "FIRST_LIST_TIMEOUT_S", PATIENCE)
        draining_peer = await target(one.platform, answer_in_turn(OK))
        store_waiting_message(one.folder, one.settings, *one.platform.hosts.values())
        new_peer = await target(one.platform, answer_in_turn(OK), "s2")
        one.platform.hosts["s1"]["health"], one.platform.seq = "draining", 2
        release_answers, platform_answer = asyncio.Event(), one.platform.answer

        async def answer_after_release(request: Request) -> Answer | bytes | None:
            await release_answers.wait()
            return await platform_answer(request)

        one.platform.handler = answer_after_release
        one.start()
        await one.platform.wait_for_requests(1)
        config = {
            **one.engine.config.raw,
            "known": None,
            "settings": {
                **one.settings,
                "allowed": {**SETTINGS["allowed"], "max_open": 7},
            },
        }
        (tmp_path / "config.json").write_text(json.dumps(config))
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
        release_answers.set()
        await new_peer.wait_for_requests(1)
        assert (
            not draining_peer.requests
            and one.engine.dispatcher.state.settings.max_open_messages == 7
        )

    run_two_sites(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


def test_sighup_after_stop_starts_no_watch(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a watch that moves after the engine stopped and keeps running next
    to the watch of the next engine.
    """

    async def scene(one: Site, other: Site) -> None:
        one.start()
        await one.wait_ready()
        await one.stop()
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
        )  # used by the next engine
        assert one.engine.watch.task is None and one.engine.notifier.task is None

    run_two_sites(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


def test_settings_that_need_a_restart_are_logged_and_not_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against treating a changed log format as in effect: it only takes effect
    at a start.
    """

    async def scene(one: Site, other: Site) -> None:
        one.start()
        await one.wait_ready()
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

    run_two_sites(
        scene, tmp_path, services(order="repeatable"), services(order="repeatable")
    )


def test_sighup_before_journal_lock_is_applied_once_it_is_acquired(
    tmp_path: Path,
) -> None:
    """Guards against ignoring a SIGHUP while the process waits for its predecessor. It
    has read its configuration by then, and started with the old discovery address.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, answer_in_turn(OK))
        new_platform = Platform()
        await new_platform.start()
        new_platform.hosts = platform.hosts
        lock = JournalLock(folder / "state")
        assert lock.try_acquire()
        node = Node(folder, platform)
        started_nodes[-1].append(node)
        await node.spawn()
        await node.until_logged("waiting")
        configure(node, discovery=f"127.0.0.1:{new_platform.port}")
        node.process.send_signal(signal.SIGHUP)
        lock.release()
        await node.until_ready()
        await new_platform.wait_for_requests(1)
        assert (await node.figures())["cfg_accepted"] == 1

    play(scene, tmp_path)
