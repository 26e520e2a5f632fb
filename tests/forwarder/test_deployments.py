"""The deployments in deploy/sites: the program accepts the settings of their files as
written and behaves by them, without the kit.
"""

from __future__ import annotations

import asyncio
import json
import tomllib
from pathlib import Path
from typing import Any

import pytest

from rainfall.dispatch import Idempotency, IdempotencyScope
from rainfall.forwarder.config.loading import Config, parse_config
from tests.forwarder.test_program import configure, play, started_nodes, target
from tests.support.loopback_peers import OK, ROOT, Answer, Node, Platform, Request

SITES = sorted(path.parent for path in (ROOT / "deploy/sites").glob("*/*.toml"))
EFFECTS = {
    "safe": Idempotency.ALWAYS,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.AT_MOST_ONCE,
}
TRANSLATED_VALUES = ("effect", "how", "discovery", "weights")
"""Keys whose string values wire.json translates too."""


def site_file(folder: Path) -> dict[str, Any]:
    return tomllib.loads((folder / f"{folder.name}.toml").read_text())


def first(value: Any) -> Any:
    """The value, or the first of a range from which a simulated day draws."""
    return value[0] if isinstance(value, list) else value


def to_wire(wire: dict[str, Any], value: Any, parent: str = "") -> Any:
    """Translate keys and string values by the `init` section of wire.json."""
    if isinstance(value, list):
        return [to_wire(wire, inner_value, parent) for inner_value in value]
    if not isinstance(value, dict):
        return value
    rename, words, translated = wire["rename"], wire["words"], {}
    for key, inner_value in value.items():
        unsuffixed = key.removesuffix(wire["unit_suffix"])
        name = (
            rename.get(f"{parent}.{unsuffixed}", rename.get(unsuffixed, unsuffixed))
            + key[len(unsuffixed) :]
        )
        wire_value = to_wire(wire, inner_value, unsuffixed)
        translated[name] = (
            words.get(wire_value, wire_value)
            if unsuffixed in TRANSLATED_VALUES and isinstance(wire_value, str)
            else wire_value
        )
    return translated


def deployment_settings(folder: Path) -> dict[str, Any]:
    """The settings that an instance of the deployment in `folder` receives."""
    deployment, wire = (
        site_file(folder),
        json.loads((folder / "wire.json").read_text())["init"],
    )
    tier, family, allowed, rules = (
        deployment["tier"][0],
        deployment["fam"],
        deployment["allow"],
        deployment["rules"],
    )
    kinds = family["kind"]
    zones = deployment["net"]["zones"]
    classes = [
        {
            "name": c["name"],
            "aim_us": 1000 * c["aim_ms"],
            "deadline_us": 1000 * c["deadline_ms"],
            "effect": c["effect"],
            "group": c.get("group", "all"),
            "late_worth": c["late_worth"],
            "worth": c["worth"],
            "stream": False,
            "window_us": 1000 * c.get("window_ms", 5000),
            **({"in_order": True} if c.get("in_order") else {}),
        }
        for c in deployment["class"]
    ]
    return dict(
        to_wire(
            wire,
            {
                "limits": {
                    "conn_idle_us": 1_000_000 * tier["conn"]["idle_s"],
                    "cpu_us_per_request": 0.0,
                    "cpu_us_per_s": 1000 * allowed["cpu_ms_per_s"],
                    "connect_timeout_us": 1000 * tier["conn"]["connect_timeout_ms"],
                    "max_attempts": allowed["max_attempts"],
                    "max_open": family["least_open"],
                    "max_retry_after_us": 1000
                    * deployment["clients"]["max_retry_after_ms"],
                    "cancel": allowed["cancel"],
                    "peers": allowed["peers"],
                    "second_copies": allowed["second_copies"],
                    "probes": allowed["probes"],
                    "retry_after": allowed["retry_after"],
                    "streams_per_conn": tier["conn"]["streams"],
                },
                "balancers": first(deployment["scale"]["balancers"]),
                "classes": classes,
                "clients": {"marks_retry": deployment["clients"]["marks_retry"]},
                "rules": {
                    "ask_within_us": 10_000_000,
                    "cold_from": first(tier["kind"][0]["cold_from"]),
                    "drain_grace_us": 1000 * rules["drain_grace_ms"],
                    "fall_us": 1000 * rules["fall_ms"],
                    "answer_slack_us": 20_000,
                    "order_settle_us": 1000 * rules["order_settle_ms"],
                    "fall_multiple": rules["fall_multiple"],
                    "cold_us": 1_000_000 * tier["kind"][0]["cold_s"][-1],
                },
                "discovery": deployment["discovery"]["mode"],
                "family": deployment["family"],
                "family_info": {
                    "zone_fee": family.get("zone_fee", [0.0] * len(zones)),
                    "kind_batch": [k.get("batch", 1) for k in kinds],
                    "late": family["late"],
                    "kind_apart": [k.get("routes") == "apart" for k in kinds],
                    "slots": 8,
                    "refused_price": family["refused_price"],
                },
                "goal": deployment["goal"],
                "kinds": [k["name"] for k in tier["kind"]],
                "me": 0,
                "tenants": [
                    {
                        "name": t["name"],
                        "quota_per_s": 100 * t["share"],
                        "share": t["share"],
                    }
                    for t in deployment.get("tenant", ())
                ],
                "over_share_worth": 0.1,
                "prices": deployment["prices"],
                "tick_us": 1000 * deployment["day"]["tick_ms"],
                "tiers": [tier["name"]],
                "report": {
                    "fields": tier["report"]["fields"],
                    "how": tier["report"]["how"],
                },
                "tier": 0,
                "weights": tier["weights"],
                "worth_by": deployment["load"]["worth_by"],
                "zone": zones[0],
                "zones": zones,
            },
        )
    )


def parsed_config(folder: Path) -> Config:
    return parse_config(
        {
            "name": "n0",
            "listen": "127.0.0.1:3000",
            "discovery": "127.0.0.1:8500",
            "settings": deployment_settings(folder),
        },
        {"LB_STATE": "/state"},
    )


def test_four_deployments_exist_each_with_its_files() -> None:
    assert len(SITES) == 4
    for folder in SITES:
        deployment = site_file(folder)
        assert (
            deployment["name"] == folder.name
            and (folder / deployment["wire"]).is_file()
        )
        assert {p.name for p in folder.iterdir()} == {
            f"{folder.name}.toml",
            "real.json",
            "wire.json",
            "unlock.txt",
        }
        unlocked = (folder / "unlock.txt").read_text().split()[1].split(",")
        assert {t["name"] for t in deployment["trouble"]} <= set(unlocked)
        assert len(deployment["class"]) == len(deployment["fam"]["class"])
        assert len(deployment["tier"][0]["kind"]) == len(deployment["fam"]["kind"])
    deployments = [site_file(folder) for folder in SITES]
    ordered_effects = [
        {c["effect"] for c in deployment["class"] if c.get("in_order")}
        for deployment in deployments
    ]
    assert sorted(map(sorted, ordered_effects)) == [
        ["keyed"],
        ["keyed", "unsafe"],
        ["keyed", "unsafe"],
        ["unsafe"],
    ]
    assert sorted(len(deployment["class"]) for deployment in deployments) == [
        2,
        3,
        4,
        4,
    ]
    names = [
        {c["name"] for c in deployment["class"]}
        for deployment in deployments
        if deployment["name"] != "osaka-alert-relay"
    ]
    assert len(set().union(*names)) == sum(map(len, names))
    assert sorted(len(deployment.get("tenant", ())) for deployment in deployments) == [
        0,
        0,
        2,
        3,
    ]
    assert (
        sum(deployment["scale"]["servers"][0] >= 100 for deployment in deployments) == 2
    )
    assert (
        min(c["deadline_ms"] for deployment in deployments for c in deployment["class"])
        <= 1200
    )


@pytest.mark.parametrize("folder", SITES, ids=lambda f: f.name)
def test_parsed_settings_match_the_deployment_file(folder: Path) -> None:
    deployment, config = site_file(folder), parsed_config(folder)
    parsed, family, allowed, rules, connection = (
        config.settings,
        deployment["fam"],
        deployment["allow"],
        deployment["rules"],
        deployment["tier"][0]["conn"],
    )
    assert [
        (
            c.name,
            c.latency_objective_us,
            c.deadline_us,
            c.idempotency,
            c.ordered,
            c.priority_weight,
            c.late_priority_weight,
        )
        for c in parsed.classes
    ] == [
        (
            c["name"],
            1000 * c["aim_ms"],
            1000 * c["deadline_ms"],
            EFFECTS[c["effect"]],
            c.get("in_order", False),
            c["worth"],
            c["late_worth"],
        )
        for c in deployment["class"]
    ]
    keyed = {
        c["name"]: (1000 * c["window_ms"], IdempotencyScope(c["group"]))
        for c in deployment["class"]
        if c["effect"] == "keyed"
    }
    assert keyed and keyed == {
        c.name: (c.idempotency_window_us, c.idempotency_scope)
        for c in parsed.classes
        if c.idempotency is Idempotency.WITH_KEY
    }
    assert [
        (k.name, k.max_batch_size, k.endpoint_scoped) for k in parsed.destination_kinds
    ] == [
        (
            kind["name"],
            family_kind.get("batch", 1),
            family_kind.get("routes") == "apart",
        )
        for kind, family_kind in zip(
            deployment["tier"][0]["kind"], family["kind"], strict=True
        )
    ]
    zones = deployment["net"]["zones"]
    assert parsed.zone_costs == dict(
        zip(zones, family.get("zone_fee", [0.0] * len(zones)), strict=True)
    )
    assert (
        parsed.max_attempts,
        parsed.max_open_messages,
        parsed.max_retry_after_us,
    ) == (
        allowed["max_attempts"],
        family["least_open"],
        1000 * deployment["clients"]["max_retry_after_ms"],
    )
    assert (
        parsed.allow_parallel_attempts,
        parsed.allow_cancel,
        parsed.allow_health_checks,
        parsed.send_retry_after,
    ) == (
        allowed["second_copies"],
        allowed["cancel"],
        allowed["probes"],
        allowed["retry_after"],
    )
    assert (
        parsed.drain_grace_us,
        parsed.overload_window_us,
        parsed.overload_factor,
        parsed.key_backoff_us,
    ) == (
        1000 * rules["drain_grace_ms"],
        1000 * rules["fall_ms"],
        rules["fall_multiple"],
        1000 * rules["order_settle_ms"],
    )
    assert (parsed.idle_connection_us, parsed.connect_timeout_us) == (
        1_000_000 * connection["idle_s"],
        1000 * connection["connect_timeout_ms"],
    )
    assert (
        parsed.late_weight_halves is (family["late"] == "halves")
        and parsed.rejection_cost == family["refused_price"]
    )
    assert parsed.subscribe_endpoint_list is (deployment["discovery"]["mode"] == "ask")
    assert parsed.endpoint_weights_known is (deployment["tier"][0]["weights"] != "none")
    assert config.report_fields == tuple(deployment["tier"][0]["report"]["fields"])
    assert parsed.forwarder_count == first(deployment["scale"]["balancers"])
    assert [(t.name, t.quota_per_s) for t in parsed.tenants] == [
        (t["name"], 100 * t["share"]) for t in deployment.get("tenant", ())
    ]


async def start_node(folder: Path, state: Path, platform: Platform) -> Node:
    """Start the program with the settings of the deployment in `folder`."""
    node = Node(state, platform)
    configure(node, settings=deployment_settings(folder))
    started_nodes[-1].append(node)
    return await node.start()


def ample_time_left(cls: dict[str, Any]) -> str:
    """Time left in seconds, twice the class's deadline, so that no assertion depends on
    the machine's speed.
    """
    return f"{2 * cls['deadline_ms'] / 1000:.3f}"


def tenant_header(folder: Path) -> dict[str, str]:
    """The header that names the client's tenant, where the site has tenants."""
    tenants = site_file(folder).get("tenant")
    return {"X_Account": tenants[0]["name"]} if tenants else {}


def destination_kind(folder: Path) -> str:
    return str(site_file(folder)["tier"][0]["kind"][0]["name"])


def message_ids(request: Request) -> list[str]:
    """The ids of the messages in a call: several where the destination kind allows
    batches.
    """
    if request.path == "/hook/batch":
        return [entry["id"] for entry in json.loads(request.body)]
    return [request.headers["x-correlation-id"]]


@pytest.mark.parametrize("folder", SITES, ids=lambda f: f.name)
def test_a_message_of_each_class_is_delivered(folder: Path, tmp_path: Path) -> None:
    """Messages that wait behind the first call may share the next one."""

    async def scene(platform: Platform, state: Path) -> None:
        time_left = {c["name"]: ample_time_left(c) for c in site_file(folder)["class"]}

        async def accept(request: Request) -> Answer:
            if request.path != "/hook/batch":
                return OK
            ends = [{"id": name, "state": "accepted"} for name in message_ids(request)]
            return Answer(200, body=json.dumps(ends).encode())

        peer = await target(platform, accept, kind=destination_kind(folder))
        node = await start_node(folder, state, platform)
        assert (await node.figures())["fulfilled"] == dict.fromkeys(time_left, 0)
        for name in time_left:
            assert (
                await node.hand_in(
                    f"m-{name}",
                    name,
                    left=time_left[name],
                    X_Session_Key="k",
                    **tenant_header(folder),
                )
            )[0] == 202
        await node.wait_for_metrics(
            lambda f: f["fulfilled"] == dict.fromkeys(time_left, 1)
        )
        assert {name for r in peer.requests for name in message_ids(r)} == {
            f"m-{n}" for n in time_left
        }
        for unknown_class in (
            "status-notice",
            "permit-order",
            "order",
        ):  # classes of other deployments do not exist
            assert (await node.hand_in(f"m-{unknown_class}", unknown_class, left="3"))[
                0
            ] == 404

    play(scene, tmp_path)


@pytest.mark.parametrize("folder", SITES, ids=lambda f: f.name)
def test_after_an_error_each_class_retries_or_fails_by_its_effect(
    folder: Path, tmp_path: Path
) -> None:
    """Each class has its own destination, whose endpoint answers 500 once and then 200."""

    async def scene(platform: Platform, state: Path) -> None:
        classes = site_file(folder)["class"]
        seen: set[int] = set()

        async def once_500(request: Request) -> Answer:
            answered_before, _ = request.peer.port in seen, seen.add(request.peer.port)
            return OK if answered_before else Answer(500)

        peers = {
            c["name"]: await target(
                platform,
                once_500,
                f"s-{c['name']}",
                block=n,
                kind=destination_kind(folder),
            )
            for n, c in enumerate(classes)
        }
        node = await start_node(folder, state, platform)
        for n, c in enumerate(classes):
            assert (
                await node.hand_in(
                    f"m-{c['name']}",
                    c["name"],
                    left=ample_time_left(c),
                    dest=n,
                    **tenant_header(folder),
                )
            )[0] == 202
        for c in classes:
            if c["effect"] == "unsafe":
                assert (await platform.notice(f"m-{c['name']}"))["state"] == "failed"
            else:
                calls = await peers[c["name"]].wait_for_requests(2)
                assert {r.headers["idempotency-key"] for r in calls} == {
                    f"key-m-{c['name']}"
                }
        retried = [c["name"] for c in classes if c["effect"] != "unsafe"]
        await node.wait_for_metrics(
            lambda f: all(
                f["fulfilled"][name] == (name in retried) for name in f["fulfilled"]
            )
        )
        assert {name: len(p.requests) for name, p in peers.items()} == {
            c["name"]: 1 + (c["name"] in retried) for c in classes
        }
        assert {n["id"] for n in platform.notices} == {
            f"m-{c['name']}" for c in classes if c["effect"] == "unsafe"
        }

    play(scene, tmp_path)


@pytest.mark.parametrize("folder", SITES, ids=lambda f: f.name)
def test_only_ordered_classes_wait_for_the_previous_message_of_the_key(
    folder: Path, tmp_path: Path
) -> None:
    """The endpoint holds `first`; `second` has the same key, `third` another."""

    async def scene(platform: Platform, state: Path) -> None:
        classes = site_file(folder)["class"]
        release = {n: asyncio.Event() for n in range(len(classes))}

        async def hold_first(request: Request) -> Answer:
            name, _, n = request.headers["x-correlation-id"].partition("-")
            if name == "first":
                await release[int(n)].wait()
            return OK

        peers = [
            await target(
                platform, hold_first, f"s{n}", block=n, kind=destination_kind(folder)
            )
            for n in release
        ]
        node = await start_node(folder, state, platform)
        for n, c in enumerate(classes):
            for warm in range(4):  # the concurrency window grows from one call
                assert (
                    await node.hand_in(
                        f"warm{warm}-{n}",
                        c["name"],
                        left=ample_time_left(c),
                        dest=n,
                        **tenant_header(folder),
                    )
                )[0] == 202
                await peers[n].wait_for_requests(warm + 1)
                await node.wait_for_metrics(
                    lambda f, c=c, warm=warm: f["fulfilled"][c["name"]] == warm + 1
                )
            for name, key in (("first", "k"), ("second", "k"), ("third", "l")):
                assert (
                    await node.hand_in(
                        f"{name}-{n}",
                        c["name"],
                        left=ample_time_left(c),
                        dest=n,
                        X_Session_Key=f"{key}{n}",
                        **tenant_header(folder),
                    )
                )[0] == 202
            received = [
                r.headers["x-correlation-id"]
                for r in await peers[n].wait_for_requests(6 if c.get("in_order") else 7)
            ]
            release[n].set()
            if c.get("in_order"):
                assert sorted(received[4:]) == [f"first-{n}", f"third-{n}"]
                assert (await peers[n].wait_for_requests(7))[6].headers[
                    "x-correlation-id"
                ] == f"second-{n}"
            else:
                assert sorted(received[4:]) == [
                    f"first-{n}",
                    f"second-{n}",
                    f"third-{n}",
                ]

    play(scene, tmp_path)


def test_keyed_message_that_may_have_executed_is_not_retried_after_its_window(
    tmp_path: Path,
) -> None:
    """At the site with the shortest window: the endpoint holds its answer until the window
    is over.
    """

    def keyed(folder: Path) -> dict[str, Any]:
        return next(c for c in site_file(folder)["class"] if c["effect"] == "keyed")

    folder = min(SITES, key=lambda f: keyed(f)["window_ms"] - keyed(f)["aim_ms"])
    keyed_class = keyed(folder)
    assert (
        keyed_class["window_ms"] <= keyed_class["aim_ms"]
    )  # no attempt times out before the window ends

    async def scene(platform: Platform, state: Path) -> None:
        async def answer_late(request: Request) -> Answer:
            await asyncio.sleep(keyed_class["window_ms"] / 1000)
            return Answer(500)

        peer = await target(platform, answer_late, kind=destination_kind(folder))
        node = await start_node(folder, state, platform)
        assert (
            await node.hand_in(
                "m",
                keyed_class["name"],
                left=ample_time_left(keyed_class),
                **tenant_header(folder),
            )
        )[0] == 202
        # At most once from then on: submitted again it would execute twice, so the
        # client is not asked to resubmit.
        assert (await platform.notice("m"))["state"] == "failed"
        assert len(peer.requests) == 1

    play(scene, tmp_path)
