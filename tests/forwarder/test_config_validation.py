"""Validation reports every fault of a configuration and has no effect."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from rainfall.forwarder.config.loading import Config, parse_config
from rainfall.forwarder.config.validation import (
    config_digest,
    generalize_path,
    validate_replacement,
)
from tests.forwarder.test_operations import reload_by_sighup, settings_with_classes
from tests.forwarder.test_program import node_on, play, target
from tests.support.loopback_peers import OK, SETTINGS, Platform, answer_in_turn

ENV = {"LB_STATE": "/state"}
FILE: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:3000",
    "discovery": "127.0.0.1:8500",
    "seed": "5",
    "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
    "settings": SETTINGS,
}


def config_in_force() -> Config:
    return parse_config(copy.deepcopy(FILE), ENV)


def changed_file(change: Callable[[Any], object]) -> bytes:
    config = copy.deepcopy(FILE)
    change(config)
    return json.dumps(config).encode()


def faults(text: bytes) -> dict[str, str]:
    return {
        fault["path"]: fault["fault"]
        for fault in validate_replacement(text, config_in_force(), ENV).faults
    }


def test_the_file_in_force_is_valid_and_changes_nothing() -> None:
    verdict = validate_replacement(json.dumps(FILE).encode(), config_in_force(), ENV)
    assert verdict.valid and verdict.config == config_in_force()
    assert not verdict.changes and not verdict.warnings and not verdict.needs_restart


def test_all_faults_are_reported_at_once_with_their_paths() -> None:
    def spoil(c: Any) -> None:
        del c["settings"]["allowed"]["max_open"]
        c["settings"]["services"][1]["deadline_us"] = 0
        c["settings"]["services"][3]["name"] = "order"
        c["limits"]["sockets"] = "many"
        c["settings"]["balancers"] = float("nan")

    assert faults(changed_file(spoil)) == {
        "settings.allowed.max_open": "missing",
        "settings.services[1].deadline_us": "not over 0",
        "settings.services[3].name": "'order' stands there twice",
        "limits.sockets": "a string in place of a number",
        "settings.balancers": "not a finite number",
    }


@pytest.mark.parametrize(
    "change, path",
    [
        (lambda c: c.update(discovery="nowhere"), ""),
        (lambda c: c.update(durability="most"), ""),
        (lambda c: c["settings"]["services"][0].update(effect="sometimes"), ""),
        (lambda c: c["limits"].update(disk_mb=-1), "limits.disk_mb"),
        (lambda c: c["settings"].update(services=3), "settings.services"),
        (
            lambda c: c["settings"]["services"].append({"name": "new"}),
            "settings.services[4].aim_us",
        ),
        (lambda c: c.pop("limits"), "limits"),
    ],
)
def test_each_bad_value_is_a_fault(change: Callable[[Any], object], path: str) -> None:
    found = faults(changed_file(change))
    assert found.get(path)


def test_duplicate_keys_and_infinite_numbers_are_faults() -> None:
    text = (
        json.dumps(FILE)
        .replace('"balancers": 1', '"balancers": 1, "balancers": 2')
        .replace('"over_share_worth": 0.1', '"over_share_worth": 1e999')
        .encode()
    )
    assert faults(text) == {
        "settings.balancers": "the key stands there twice",
        "settings.over_share_worth": "not a finite number",
    }


@pytest.mark.parametrize(
    "text",
    [b"", b"  ", b"{", b'{"name": "n0"', b"\xff\xfe", b"[1]", b"3", b"[" * 100_000],
)
def test_file_that_is_no_json_object_is_unreadable(text: bytes) -> None:
    verdict = validate_replacement(text, config_in_force(), ENV)
    assert (
        verdict.parse_error
        and not verdict.valid
        and verdict.to_json()["faults"][0]["fault"]
    )


def test_changes_warnings_and_keys_that_need_a_restart_are_reported() -> None:
    def change(c: Any) -> None:
        c["settings"]["services"][0]["aim_us"] += 1
        c["settings"]["services"][3] = {**c["settings"]["services"][3], "name": "fee"}
        c.update(listen="127.0.0.1:3001", durability="power", colour="red")
        c["limits"]["shoes"] = 2

    verdict = validate_replacement(changed_file(change), config_in_force(), ENV)
    assert verdict.valid and verdict.needs_restart == ["listen", "durability"]
    assert verdict.warnings == [
        f"{k}: not known to this version" for k in ("colour", "limits.shoes")
    ]
    assert verdict.changes == [
        "listen",
        "limits.shoes",
        "settings.services[0]: order",
        "settings.services[3]: new, fee",
        "settings.services: pay dropped",
        "durability",
        "colour",
    ]


def test_generalized_path_has_no_list_indexes() -> None:
    assert (
        generalize_path("a.b[12].c[0]") == "a.b[].c[]" and generalize_path("a") == "a"
    )


def test_digest_ignores_key_order_and_instance_specific_keys() -> None:
    other = {key: FILE[key] for key in reversed(FILE)}
    other |= {
        "name": "n1",
        "listen": "127.0.0.1:3009",
        "seed": "6",
        "known": None,
        "admin_addr": "x:1",
    }
    assert (
        config_digest(other)
        == config_digest(FILE)
        == config_digest(config_in_force().raw)
    )
    assert config_digest({**FILE, "discovery": "127.0.0.1:8501"}) != config_digest(FILE)


def test_admin_address_reports_the_configuration_in_force(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        node = await node_on(folder, platform)

        async def in_force() -> dict[str, str]:
            status, text = await node.operate("GET", "/_config")
            assert status == 200
            return dict(json.loads(text))

        assert (await in_force())["origin"] == "start"
        await reload_by_sighup(node, durability="process")
        first = await in_force()
        assert (
            first["origin"] == "SIGHUP"
            and len(first["digest"]) == 64
            and first["since"]
        )
        await reload_by_sighup(node, settings=settings_with_classes(fresh={}))
        second = await in_force()
        assert second["origin"] == "SIGHUP" and second["digest"] != first["digest"]
        await reload_by_sighup(node, "cfg_invalid", settings=3)
        assert await in_force() == second
        await reload_by_sighup(
            node, settings=settings_with_classes(fresh={}), durability="power"
        )  # takes effect at the next start
        assert (await in_force())["digest"] == second["digest"]
        await reload_by_sighup(node, settings=SETTINGS, durability="process")
        assert (await in_force())["digest"] == first["digest"]
        assert (await node.operate("POST", "/_config"))[0] == 405

    play(scene, tmp_path)


def test_check_at_the_admin_address_has_no_effect(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, answer_in_turn(OK))
        node = await node_on(folder, platform)
        good = (folder / "config.json").read_bytes()
        status, text = await node.operate("POST", "/_config/check", good)
        assert status == 200 and json.loads(text) == {
            "valid": True,
            "faults": [],
            "warnings": [],
            "changes": [],
            "restart": [],
        }
        invalid = json.loads(good)
        invalid["settings"]["services"][0]["deadline_us"] = -5
        large = {
            **invalid,
            "known": {"seq": 1, "whole": True, "hosts": [platform.hosts["s1"]] * 600},
        }
        status, text = await node.operate(
            "POST", "/_config/check", json.dumps(large).encode()
        )
        assert status == 422 and json.loads(text)["faults"] == [
            {"path": "settings.services[0].deadline_us", "fault": "not over 0"}
        ]
        assert (await node.operate("POST", "/_config/check", good[:-20]))[0] == 400
        assert (await node.operate("POST", "/_config/check"))[0] == 400
        assert (await node.operate("GET", "/_config/check"))[0] == 405
        assert (await node.operate("POST", "/_config/check", b"x" * 1_100_000))[
            0
        ] == 413
        figures = await node.figures()
        assert figures["cfg_accepted"] == figures["cfg_invalid"] == 0
        assert (await node.hand_in("m"))[0] == 202

    play(scene, tmp_path)
