"""The list service: its core against a plain model, its folder through a torn write,
the real process.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.registry.endpoint_registry import (
    EndpointRegistry,
    PendingChanges,
    RequestError,
)
from rainfall.registry.storage import (
    DamagedStateError,
    Storage,
    decode_lines,
    encode_line,
)

HOSTS = ("s-1", "s-2", "s-3")
op = st.one_of(
    st.builds(
        lambda h, b: {
            "op": "register",
            "host": h,
            "dial": "127.0.0.1:9",
            "site": "a",
            "class": "m",
            "block": b,
            "share": 1.0,
            "born_ms": 0,
        },
        st.sampled_from(HOSTS),
        st.integers(0, 2),
    ),
    st.builds(
        lambda o, h: {"op": o, "host": h},
        st.sampled_from(["drain", "remove"]),
        st.sampled_from(HOSTS),
    ),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.lists(op, min_size=1, max_size=3), max_size=12), st.data())
def test_every_reader_from_any_version_ends_on_the_model_list(
    batches: list[list[dict[str, Any]]], data: st.DataObject
) -> None:
    registry, model = EndpointRegistry(), {}
    held_at: dict[int, dict[str, Any]] = {
        0: {}
    }  # what a reader holds at each version, by the model
    for number, ops in enumerate(batches):
        after = dict(model)
        try:
            change = registry.prepare(
                {"id": f"c{number}", "ops": ops},
                str(number),
                PendingChanges(registry.seq),
            )
        except RequestError as error:
            assert (
                error.status == 404
            )  # an op on a host that is not listed: nothing of the change is made
            continue
        for o in ops:
            if o["op"] == "register":
                after[o["host"]] = {
                    **{k: v for k, v in o.items() if k != "op"},
                    "health": "up",
                }
            elif o["op"] == "drain":
                after[o["host"]] = {**after[o["host"]], "health": "draining"}
            else:
                del after[o["host"]]
        if isinstance(change, int):
            assert (
                after == model and change == registry.seq
            )  # nothing altered: no version
            continue
        assert change.seq == registry.seq + 1  # gapless
        registry.commit(change)
        model = after
        held_at[registry.seq] = dict(model)
    since = data.draw(st.sampled_from(sorted(held_at)))
    told = registry.answer_for(since, None)
    held = {} if told["whole"] else dict(held_at[since])
    for fields in told["hosts"]:
        held.pop(fields["host"], None) if fields[
            "health"
        ] == "removed" else held.update({fields["host"]: fields})
    assert held == model


def test_a_repeated_id_is_answered_again_and_another_body_under_it_refused() -> None:
    registry = EndpointRegistry()
    body = {
        "id": "x",
        "ops": [
            {
                "op": "register",
                "host": "s-1",
                "dial": "h:1",
                "site": "a",
                "class": "m",
                "block": 0,
                "share": 1.0,
                "born_ms": 0,
            }
        ],
    }
    change = registry.prepare(body, "d1")
    assert not isinstance(change, int)
    registry.commit(change)
    assert registry.prepare(body, "d1") == change.seq
    with pytest.raises(RequestError) as refused:
        registry.prepare({"id": "x", "ops": [{"op": "drain", "host": "s-1"}]}, "d2")
    assert refused.value.status == 409


def test_a_torn_last_line_is_cut_and_damage_before_it_stops_the_start(
    tmp_path: Path,
) -> None:
    good = encode_line(
        {"seq": 1, "epoch": 1, "id": "", "digest": "", "hosts": [], "base": 1}
    )
    assert decode_lines(good + good[:10], "log")[1] == len(good)
    with pytest.raises(DamagedStateError, match="line 1"):
        decode_lines(good[:5] + b"x" + good[6:] + good, "log")
    (tmp_path / "changes.log").write_bytes(good + b"00000000 {")
    registry, had = Storage(tmp_path).load()
    assert (
        had
        and registry.seq == 1
        and (tmp_path / "changes.log").stat().st_size == len(good)
    )


def _ask(
    port: int,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", body, headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, json.loads(answer.read() or b"null")
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


def _start(state: Path, *more: str) -> tuple[Any, ...]:
    """The process, and the ports it took."""
    ports = state.parent / "ports"
    ports.unlink(missing_ok=True)
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "rainfall.registry",
            "--state",
            str(state),
            "--listen",
            "127.0.0.1:0",
            "--write",
            "127.0.0.1:0",
            "--ports",
            str(ports),
            "--new",  # harmless where there is a state
            *more,
        ],
        stderr=subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": os.getcwd()},
    )
    for _ in range(1000):
        if ports.exists() and ports.read_text().endswith("\n"):
            return process, *map(int, ports.read_text().split())
        time.sleep(0.02)
    process.kill()
    raise AssertionError("the list service did not start")


def test_the_process_keeps_what_it_told_through_a_kill_and_a_restored_copy(
    tmp_path: Path,
) -> None:
    state = tmp_path / "state"
    process, listen, write = _start(state)
    try:
        for n in range(3):
            entry = {
                "op": "register",
                "host": f"s-{n}",
                "dial": "127.0.0.1:9",
                "site": "a",
                "class": "m",
                "block": n,
                "share": 1.0,
                "born_ms": 0,
            }
            status, made = _ask(
                write, "/v1/hosts", json.dumps({"id": f"r{n}", "ops": [entry]}).encode()
            )
            assert status == 200 and made["changed"]
            if n == 0:
                copy = (state / "changes.log").read_bytes()  # an older copy: one entry
        status, _ = _ask(
            write,
            "/v1/hosts",
            b'{"ops":[{"op":"drain","host":"s-0"}]}',
            {"If-Match": "7"},
        )
        assert status == 412
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
    process, listen, write = _start(state)
    try:
        status, told = _ask(listen, "/discovery/hosts")
        assert status == 200 and len(told["hosts"]) == 3 and told["seq"] == made["seq"]
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
    (state / "changes.log").write_bytes(copy)
    process, listen, write = _start(state)
    try:
        status, again = _ask(listen, f"/discovery/hosts?from={told['seq']}")
        # The client is ahead of the copy: a new epoch, its versions above all it held,
        # and the whole list.
        assert (
            again["whole"]
            and again["epoch"] > told["epoch"]
            and again["seq"] > told["seq"]
        )
        assert [h["host"] for h in again["hosts"]] == ["s-0"]
        status, after = _ask(listen, f"/discovery/hosts?from={told['seq'] - 1}")
        assert after[
            "whole"
        ]  # below the new epoch's first version: never a delta of another history
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10) == 0


FLEET = ("--fleet", "127.0.0.1:0", "--lease-ms", "800", "--longest-ms", "800")


def _until(ask: Callable[[], tuple[int, Any]], wanted: int) -> Any:
    """The answer once its status is `wanted`; any before it must be a 409 that says
    held.
    """
    for _ in range(200):
        status, told = ask()
        if status == wanted:
            return told
        assert status == 409 and told["error"] == "held" and told["retry_ms"] > 0, told
        time.sleep(0.02)
    raise AssertionError(told)


def test_members_and_leases_are_lost_and_tokens_grow_over_a_kill_and_a_lost_folder(
    tmp_path: Path,
) -> None:
    state, seen = tmp_path / "state", [0, 0]

    def beat(name: str, token: list[int] | None, **more: Any) -> tuple[int, Any]:
        body = {
            "name": name,
            "site": "a",
            "dial": "h:1",
            "token": token,
            "sent": 1,
            "seen": seen,
            **more,
        }
        return _ask(fleet, "/v1/fleet/beat", json.dumps(body).encode())

    def acquire(holder: str) -> tuple[int, Any]:
        body = {"holder": holder, "ttl_ms": 800, "seen": seen}
        return _ask(fleet, "/v1/leases/job/acquire", json.dumps(body).encode())

    def grown(token: list[int]) -> list[int]:
        nonlocal seen
        assert token > seen
        seen = token
        return token

    process, _, write, fleet = _start(state, *FLEET)
    try:
        one = grown(_until(lambda: beat("f1", None), 200)["token"])
        job = grown(acquire("f1")[1]["token"])
        told = beat("f2", None)[1]
        two = grown(told["token"])
        assert [m["name"] for m in told["members"]] == ["f1", "f2"] and told[
            "ttl_ms"
        ] == 800
        # f1 falls silent, as one that is stopped: f2 is woken, f1 is told so, and the
        # job is granted on.
        while {m["name"]: m["state"] for m in told["members"]}.get("f1") is not None:
            version, since = told["version"], time.monotonic()
            _ask(fleet, f"/v1/fleet/watch?from={version}&hold_ms=100")
            assert time.monotonic() - since < 5
            status, told = beat("f2", two)
            assert status == 200 and told["token"] == two
        status, lost = beat("f1", one)
        assert status == 409 and lost["error"] == "lost"
        for _ in range(
            200
            # granted after f1 joined, by however much: it is out by the service's own word
        ):
            status, told = _ask(write, "/v1/leases/job")
            if status == 404 or told["left_ms"] == 0:
                break
            time.sleep(0.02)
        assert status == 404 or told["left_ms"] == 0, told
        status, lost = _ask(
            fleet, "/v1/leases/job/renew", json.dumps({"token": job}).encode()
        )
        assert status == 409 and lost["error"] == "lost", lost
        job = grown(_until(lambda: acquire("f2"), 200)["token"])
        assert _ask(write, "/v1/leases")[1]["leases"][0]["token"] == job
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
    process, _, write, fleet = _start(state, *FLEET)
    try:
        assert (
            beat("f2", two)[0] == 200
        )  # known to it, so counted as renewed at its start
        grown(beat("f3", None)[1]["token"])
        assert acquire("other")[0] == 409
        status, told = _ask(write, "/v1/leases/job/revoke", b"{}")
        assert status == 200 and told["free_in_ms"] > 0
        assert (
            _ask(fleet, "/v1/leases/job/renew", json.dumps({"token": job}).encode())[0]
            == 409
        )
        grown(_until(lambda: acquire("other"), 200)["token"])
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
    shutil.rmtree(state)
    process, _, write, fleet = _start(state, *FLEET)
    try:
        status, told = beat("f2", two)
        assert (
            status == 409 and told["error"] == "held"
        )  # it cannot know: f2 runs out what it has
        seen = [seen[0] + 100, 7]  # as after starts whose clock was ahead
        assert acquire("x")[1]["error"] == "held"
        grown(_until(lambda: acquire("x"), 200)["token"])
        grown(_until(lambda: beat("f2", None), 200)["token"])
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10) == 0
