"""The deployments in deploy/sites: what their files say is what the program takes, with
no kit present.
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
from tests.forwarder.test_program import configure, folder_nodes, play, target
from tests.support.loopback_peers import OK, ROOT, Answer, Node, Platform, Request

SITES = sorted(path.parent for path in (ROOT / "deploy/sites").glob("*/*.toml"))
EFFECTS = {
    "safe": Idempotency.ALWAYS,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.AT_MOST_ONCE,
}
SPOKEN = ("effect", "how", "discovery", "weights")
"""What has words of the wire for its values."""


def site(folder: Path) -> dict[str, Any]:
    return tomllib.loads((folder / f"{folder.name}.toml").read_text())


def first(value: Any) -> Any:
    """A day draws from a range; the first of it stands for the day."""
    return value[0] if isinstance(value, list) else value


def on_the_wire(wire: dict[str, Any], value: Any, inside: str = "") -> Any:
    """Names and words as `init` of wire.json has them."""
    if isinstance(value, list):
        return [on_the_wire(wire, inner, inside) for inner in value]
    if not isinstance(value, dict):
        return value
    rename, words, made = wire["rename"], wire["words"], {}
    for key, inner in value.items():
        plain = key.removesuffix(wire["unit_suffix"])
        name = (
            rename.get(f"{inside}.{plain}", rename.get(plain, plain))
            + key[len(plain) :]
        )
        told = on_the_wire(wire, inner, plain)
        made[name] = (
            words.get(told, told) if plain in SPOKEN and isinstance(told, str) else told
        )
    return made


def facts(folder: Path) -> dict[str, Any]:
    """The settings as an instance of that deployment is told them."""
    told, wire = site(folder), json.loads((folder / "wire.json").read_text())["init"]
    tier, fam, allow, rules = told["tier"][0], told["fam"], told["allow"], told["rules"]
    kinds = fam["kind"]
    zones = told["net"]["zones"]
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
        for c in told["class"]
    ]
    return dict(
        on_the_wire(
            wire,
            {
                "limits": {
                    "conn_idle_us": 1_000_000 * tier["conn"]["idle_s"],
                    "cpu_us_per_request": 0.0,
                    "cpu_us_per_s": 1000 * allow["cpu_ms_per_s"],
                    "connect_timeout_us": 1000 * tier["conn"]["connect_timeout_ms"],
                    "max_attempts": allow["max_attempts"],
                    "max_open": fam["least_open"],
                    "max_retry_after_us": 1000 * told["clients"]["max_retry_after_ms"],
                    "cancel": allow["cancel"],
                    "peers": allow["peers"],
                    "second_copies": allow["second_copies"],
                    "probes": allow["probes"],
                    "retry_after": allow["retry_after"],
                    "streams_per_conn": tier["conn"]["streams"],
                },
                "balancers": first(told["scale"]["balancers"]),
                "classes": classes,
                "clients": {"marks_retry": told["clients"]["marks_retry"]},
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
                "discovery": told["discovery"]["mode"],
                "family": told["family"],
                "family_info": {
                    "zone_fee": fam.get("zone_fee", [0.0] * len(zones)),
                    "kind_batch": [k.get("batch", 1) for k in kinds],
                    "late": fam["late"],
                    "kind_apart": [k.get("routes") == "apart" for k in kinds],
                    "slots": 8,
                    "refused_price": fam["refused_price"],
                },
                "goal": told["goal"],
                "kinds": [k["name"] for k in tier["kind"]],
                "me": 0,
                "tenants": [
                    {
                        "name": t["name"],
                        "quota_per_s": 100 * t["share"],
                        "share": t["share"],
                    }
                    for t in told.get("tenant", ())
                ],
                "over_share_worth": 0.1,
                "prices": told["prices"],
                "tick_us": 1000 * told["day"]["tick_ms"],
                "tiers": [tier["name"]],
                "report": {
                    "fields": tier["report"]["fields"],
                    "how": tier["report"]["how"],
                },
                "tier": 0,
                "weights": tier["weights"],
                "worth_by": told["load"]["worth_by"],
                "zone": zones[0],
                "zones": zones,
            },
        )
    )


def taken(folder: Path) -> Config:
    return parse_config(
        {
            "name": "n0",
            "listen": "127.0.0.1:3000",
            "discovery": "127.0.0.1:8500",
            "settings": facts(folder),
        },
        {"LB_STATE": "/state"},
    )


def test_four_deployments_lie_here_each_with_its_files() -> None:
    assert len(SITES) == 4
    for folder in SITES:
        told = site(folder)
        assert told["name"] == folder.name and (folder / told["wire"]).is_file()
        assert {p.name for p in folder.iterdir()} == {
            f"{folder.name}.toml",
            "real.json",
            "wire.json",
            "unlock.txt",
        }
        unlocked = (folder / "unlock.txt").read_text().split()[1].split(",")
        assert {t["name"] for t in told["trouble"]} <= set(unlocked)
        assert len(told["class"]) == len(told["fam"]["class"])
        assert len(told["tier"][0]["kind"]) == len(told["fam"]["kind"])
    every = [site(folder) for folder in SITES]
    ordered = [
        {c["effect"] for c in told["class"] if c.get("in_order")} for told in every
    ]
    assert sorted(map(sorted, ordered)) == [
        ["keyed"],
        ["keyed", "unsafe"],
        ["keyed", "unsafe"],
        ["unsafe"],
    ]
    assert sorted(len(told["class"]) for told in every) == [2, 3, 4, 4]
    names = [
        {c["name"] for c in told["class"]}
        for told in every
        if told["name"] != "osaka-alert-relay"
    ]
    assert len(set().union(*names)) == sum(map(len, names))
    assert sorted(len(told.get("tenant", ())) for told in every) == [0, 0, 2, 3]
    assert sum(told["scale"]["servers"][0] >= 100 for told in every) == 2
    assert min(c["deadline_ms"] for told in every for c in told["class"]) <= 1200


@pytest.mark.parametrize("folder", SITES, ids=lambda f: f.name)
def test_the_settings_come_out_as_the_file_has_them(folder: Path) -> None:
    told, made = site(folder), taken(folder)
    s, fam, allow, rules, conn = (
        made.settings,
        told["fam"],
        told["allow"],
        told["rules"],
        told["tier"][0]["conn"],
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
        for c in s.classes
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
        for c in told["class"]
    ]
    keyed = {
        c["name"]: (1000 * c["window_ms"], IdempotencyScope(c["group"]))
        for c in told["class"]
        if c["effect"] == "keyed"
    }
    assert keyed and keyed == {
        c.name: (c.idempotency_window_us, c.idempotency_scope)
        for c in s.classes
        if c.idempotency is Idempotency.WITH_KEY
    }
    assert [
        (k.name, k.max_batch_size, k.endpoint_scoped) for k in s.destination_kinds
    ] == [
        (kind["name"], more.get("batch", 1), more.get("routes") == "apart")
        for kind, more in zip(told["tier"][0]["kind"], fam["kind"], strict=True)
    ]
    zones = told["net"]["zones"]
    assert s.zone_costs == dict(
        zip(zones, fam.get("zone_fee", [0.0] * len(zones)), strict=True)
    )
    assert (s.max_attempts, s.max_open_messages, s.max_retry_after_us) == (
        allow["max_attempts"],
        fam["least_open"],
        1000 * told["clients"]["max_retry_after_ms"],
    )
    assert (
        s.allow_parallel_attempts,
        s.allow_cancel,
        s.allow_health_checks,
        s.send_retry_after,
    ) == (
        allow["second_copies"],
        allow["cancel"],
        allow["probes"],
        allow["retry_after"],
    )
    assert (
        s.drain_grace_us,
        s.overload_window_us,
        s.overload_factor,
        s.key_backoff_us,
    ) == (
        1000 * rules["drain_grace_ms"],
        1000 * rules["fall_ms"],
        rules["fall_multiple"],
        1000 * rules["order_settle_ms"],
    )
    assert (s.idle_connection_us, s.connect_timeout_us) == (
        1_000_000 * conn["idle_s"],
        1000 * conn["connect_timeout_ms"],
    )
    assert (
        s.late_weight_halves is (fam["late"] == "halves")
        and s.rejection_cost == fam["refused_price"]
    )
    assert s.subscribe_endpoint_list is (told["discovery"]["mode"] == "ask")
    assert s.endpoint_weights_known is (told["tier"][0]["weights"] != "none")
    assert made.report_fields == tuple(told["tier"][0]["report"]["fields"])
    assert s.forwarder_count == first(told["scale"]["balancers"])
    assert [(t.name, t.quota_per_s) for t in s.tenants] == [
        (t["name"], 100 * t["share"]) for t in told.get("tenant", ())
    ]


async def node_of(folder: Path, state: Path, platform: Platform) -> Node:
    """The program on that deployment's settings."""
    node = Node(state, platform)
    configure(node, settings=facts(folder))
    folder_nodes[-1].append(node)
    return await node.start()


def most(cls: dict[str, Any]) -> str:
    """The longest time that a message of the class may come with: no verdict here hangs
    on how fast it is.
    """
    return f"{2 * cls['deadline_ms'] / 1000:.3f}"


def account(folder: Path) -> dict[str, str]:
    """The header by which a client names its tenant, where the site has tenants."""
    tenants = site(folder).get("tenant")
    return {"X_Account": tenants[0]["name"]} if tenants else {}


def kind_of(folder: Path) -> str:
    return str(site(folder)["tier"][0]["kind"][0]["name"])


def called(request: Request) -> list[str]:
    """The messages of a call, which several may share where the kind of target allows
    it.
    """
    if request.path == "/hook/batch":
        return [entry["id"] for entry in json.loads(request.body)]
    return [request.headers["x-correlation-id"]]


@pytest.mark.parametrize("folder", SITES, ids=lambda f: f.name)
def test_a_message_of_each_class_is_delivered(folder: Path, tmp_path: Path) -> None:
    """Those that wait behind the first call may share the next one."""

    async def scene(platform: Platform, state: Path) -> None:
        left = {c["name"]: most(c) for c in site(folder)["class"]}

        async def accept(request: Request) -> Answer:
            if request.path != "/hook/batch":
                return OK
            ends = [{"id": name, "state": "accepted"} for name in called(request)]
            return Answer(200, body=json.dumps(ends).encode())

        peer = await target(platform, accept, kind=kind_of(folder))
        node = await node_of(folder, state, platform)
        assert (await node.figures())["fulfilled"] == dict.fromkeys(left, 0)
        for name in left:
            assert (
                await node.hand_in(
                    f"m-{name}",
                    name,
                    left=left[name],
                    X_Session_Key="k",
                    **account(folder),
                )
            )[0] == 202
        await node.shows(lambda f: f["fulfilled"] == dict.fromkeys(left, 1))
        assert {name for r in peer.requests for name in called(r)} == {
            f"m-{n}" for n in left
        }
        for given in (
            "status-notice",
            "permit-order",
            "order",
        ):  # a class of another deployment is none here
            assert (await node.hand_in(f"m-{given}", given, left="3"))[0] == 404

    play(scene, tmp_path)


@pytest.mark.parametrize("folder", SITES, ids=lambda f: f.name)
def test_after_an_error_each_class_goes_on_by_its_own_effect(
    folder: Path, tmp_path: Path
) -> None:
    """Each has a destination of its own, whose target answers 500 once and then 200."""

    async def scene(platform: Platform, state: Path) -> None:
        classes = site(folder)["class"]
        seen: set[int] = set()

        async def once_500(request: Request) -> Answer:
            known, _ = request.peer.port in seen, seen.add(request.peer.port)
            return OK if known else Answer(500)

        peers = {
            c["name"]: await target(
                platform, once_500, f"s-{c['name']}", block=n, kind=kind_of(folder)
            )
            for n, c in enumerate(classes)
        }
        node = await node_of(folder, state, platform)
        for n, c in enumerate(classes):
            assert (
                await node.hand_in(
                    f"m-{c['name']}", c["name"], left=most(c), dest=n, **account(folder)
                )
            )[0] == 202
        for c in classes:
            if c["effect"] == "unsafe":
                assert (await platform.notice(f"m-{c['name']}"))["state"] == "failed"
            else:
                calls = await peers[c["name"]].got(2)
                assert {r.headers["idempotency-key"] for r in calls} == {
                    f"key-m-{c['name']}"
                }
        again = [c["name"] for c in classes if c["effect"] != "unsafe"]
        await node.shows(
            lambda f: all(
                f["fulfilled"][name] == (name in again) for name in f["fulfilled"]
            )
        )
        assert {name: len(p.requests) for name, p in peers.items()} == {
            c["name"]: 1 + (c["name"] in again) for c in classes
        }
        assert {n["id"] for n in platform.notices} == {
            f"m-{c['name']}" for c in classes if c["effect"] == "unsafe"
        }

    play(scene, tmp_path)


@pytest.mark.parametrize("folder", SITES, ids=lambda f: f.name)
def test_only_the_ordered_class_waits_for_the_one_before_of_its_key(
    folder: Path, tmp_path: Path
) -> None:
    """`first` is held at its target, `second` has the same key, `third` another."""

    async def scene(platform: Platform, state: Path) -> None:
        classes = site(folder)["class"]
        go_on = {n: asyncio.Event() for n in range(len(classes))}

        async def held(request: Request) -> Answer:
            name, _, n = request.headers["x-correlation-id"].partition("-")
            if name == "first":
                await go_on[int(n)].wait()
            return OK

        peers = [
            await target(platform, held, f"s{n}", block=n, kind=kind_of(folder))
            for n in go_on
        ]
        node = await node_of(folder, state, platform)
        for n, c in enumerate(classes):
            for warm in range(4):  # the window grows from one call
                assert (
                    await node.hand_in(
                        f"warm{warm}-{n}",
                        c["name"],
                        left=most(c),
                        dest=n,
                        **account(folder),
                    )
                )[0] == 202
                await peers[n].got(warm + 1)
                await node.shows(
                    lambda f, c=c, warm=warm: f["fulfilled"][c["name"]] == warm + 1
                )
            for name, key in (("first", "k"), ("second", "k"), ("third", "l")):
                assert (
                    await node.hand_in(
                        f"{name}-{n}",
                        c["name"],
                        left=most(c),
                        dest=n,
                        X_Session_Key=f"{key}{n}",
                        **account(folder),
                    )
                )[0] == 202
            came = [
                r.headers["x-correlation-id"]
                for r in await peers[n].got(6 if c.get("in_order") else 7)
            ]
            go_on[n].set()
            if c.get("in_order"):
                assert sorted(came[4:]) == [f"first-{n}", f"third-{n}"]
                assert (await peers[n].got(7))[6].headers[
                    "x-correlation-id"
                ] == f"second-{n}"
            else:
                assert sorted(came[4:]) == [f"first-{n}", f"second-{n}", f"third-{n}"]

    play(scene, tmp_path)


def test_a_keyed_message_that_may_have_run_goes_again_only_within_its_own_window(
    tmp_path: Path,
) -> None:
    """Of the site with the shorter window: the target holds its answer until that is
    surely over.
    """

    def keyed(folder: Path) -> dict[str, Any]:
        return next(c for c in site(folder)["class"] if c["effect"] == "keyed")

    folder = min(SITES, key=lambda f: keyed(f)["window_ms"] - keyed(f)["aim_ms"])
    cls = keyed(folder)
    assert cls["window_ms"] <= cls["aim_ms"]  # no attempt is given up sooner

    async def scene(platform: Platform, state: Path) -> None:
        async def late(request: Request) -> Answer:
            await asyncio.sleep(cls["window_ms"] / 1000)
            return Answer(500)

        peer = await target(platform, late, kind=kind_of(folder))
        node = await node_of(folder, state, platform)
        assert (
            await node.hand_in("m", cls["name"], left=most(cls), **account(folder))
        )[0] == 202
        # Once-only by then: handed in again it would run twice, so its client is not
        # told to come again.
        assert (await platform.notice("m"))["state"] == "failed"
        assert len(peer.requests) == 1

    play(scene, tmp_path)
