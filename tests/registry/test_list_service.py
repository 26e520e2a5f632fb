"""The endpoint registry against a reference model, torn writes, and the real process."""

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


def test_a_repeated_change_id_gets_the_same_answer_and_409_for_another_body() -> None:
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
    with pytest.raises(RequestError) as rejected:
        registry.prepare({"id": "x", "ops": [{"op": "drain", "host": "s-1"}]}, "d2")
    assert rejected.value.status == 409


def test_a_torn_last_line_is_truncated_and_earlier_damage_is_an_error(
    tmp_path: Path,
) -> None:
    line = encode_line(
        {"seq": 1, "epoch": 1, "id": "", "digest": "", "hosts": [], "base": 1}
    )
    assert decode_lines(line + line[:10], "log")[1] == len(line)
    with pytest.raises(DamagedStateError, match="line 1"):
        decode_lines(line[:5] + b"x" + line[6:] + line, "log")
    (tmp_path / "changes.log").write_bytes(line + b"00000000 {")
    registry, had_state = Storage(tmp_path).load()
    assert (
        had_state
        and registry.seq == 1
        and (tmp_path / "changes.log").stat().st_size == len(line)
    )


def _request(
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
    """Start the service on free ports; return the process and its ports."""
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
            "--new",  # ignored if there is a state
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


def test_answered_changes_survive_a_kill_and_an_older_copy_begins_an_epoch(
    tmp_path: Path,
) -> None:
    state = tmp_path / "state"
    process, listen, write = _start(state)
    try:
        for number in range(3):
            entry = {
                "op": "register",
                "host": f"s-{number}",
                "dial": "127.0.0.1:9",
                "site": "a",
                "class": "m",
                "block": number,
                "share": 1.0,
                "born_ms": 0,
            }
            status, stored = _request(
                write,
                "/v1/hosts",
                json.dumps({"id": f"r{number}", "ops": [entry]}).encode(),
            )
            assert status == 200 and stored["changed"]
            if number == 0:
                copy = (state / "changes.log").read_bytes()  # an older copy: one entry
        status, _ = _request(
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
        status, answer = _request(listen, "/discovery/hosts")
        assert (
            status == 200
            and len(answer["hosts"]) == 3
            and answer["seq"] == stored["seq"]
        )
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
    (state / "changes.log").write_bytes(copy)
    process, listen, write = _start(state)
    try:
        status, answer_of_copy = _request(
            listen, f"/discovery/hosts?from={answer['seq']}"
        )
        # The client is ahead of the copy: it gets a new epoch with higher versions than
        # it has seen, and the complete list.
        assert (
            answer_of_copy["whole"]
            and answer_of_copy["epoch"] > answer["epoch"]
            and answer_of_copy["seq"] > answer["seq"]
        )
        assert [h["host"] for h in answer_of_copy["hosts"]] == ["s-0"]
        status, older_answer = _request(
            listen, f"/discovery/hosts?from={answer['seq'] - 1}"
        )
        assert older_answer[
            "whole"
        ]  # below the new epoch's first version, so a delta would mix two histories
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10) == 0


FLEET = ("--fleet", "127.0.0.1:0", "--lease-ms", "800", "--longest-ms", "800")


def _until(request: Callable[[], tuple[int, Any]], wanted: int) -> Any:
    """Repeat a request until its status is `wanted`, and return the answer.

    Any other answer must be a 409 with error `held`.
    """
    for _ in range(200):
        status, answer = request()
        if status == wanted:
            return answer
        assert status == 409 and answer["error"] == "held" and answer["retry_ms"] > 0, (
            answer
        )
        time.sleep(0.02)
    raise AssertionError(answer)


def test_leases_expire_and_tokens_grow_over_a_kill_and_a_lost_folder(
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
        return _request(fleet, "/v1/fleet/beat", json.dumps(body).encode())

    def acquire(holder: str) -> tuple[int, Any]:
        body = {"holder": holder, "ttl_ms": 800, "seen": seen}
        return _request(fleet, "/v1/leases/job/acquire", json.dumps(body).encode())

    def check_growth(token: list[int]) -> list[int]:
        nonlocal seen
        assert token > seen
        seen = token
        return token

    process, _, write, fleet = _start(state, *FLEET)
    try:
        token_1 = check_growth(_until(lambda: beat("f1", None), 200)["token"])
        job_token = check_growth(acquire("f1")[1]["token"])
        answer = beat("f2", None)[1]
        token_2 = check_growth(answer["token"])
        assert [member["name"] for member in answer["members"]] == [
            "f1",
            "f2",
        ] and answer["ttl_ms"] == 800
        # f1 sends no heartbeats: f2 is woken, f1 gets error `lost`, and the lease on job
        # is granted again.
        while {member["name"]: member["state"] for member in answer["members"]}.get(
            "f1"
        ) is not None:
            version, since = answer["version"], time.monotonic()
            _request(fleet, f"/v1/fleet/watch?from={version}&hold_ms=100")
            assert time.monotonic() - since < 5
            status, answer = beat("f2", token_2)
            assert status == 200 and answer["token"] == token_2
        status, lost = beat("f1", token_1)
        assert status == 409 and lost["error"] == "lost"
        for _ in range(
            200
            # granted some time after f1 joined: wait until the service reports its end
        ):
            status, answer = _request(write, "/v1/leases/job")
            if status == 404 or answer["left_ms"] == 0:
                break
            time.sleep(0.02)
        assert status == 404 or answer["left_ms"] == 0, answer
        status, lost = _request(
            fleet, "/v1/leases/job/renew", json.dumps({"token": job_token}).encode()
        )
        assert status == 409 and lost["error"] == "lost", lost
        job_token = check_growth(_until(lambda: acquire("f2"), 200)["token"])
        assert _request(write, "/v1/leases")[1]["leases"][0]["token"] == job_token
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
    process, _, write, fleet = _start(state, *FLEET)
    try:
        assert (
            beat("f2", token_2)[0] == 200
        )  # in the log, so its lease counts as renewed at the start
        check_growth(beat("f3", None)[1]["token"])
        assert acquire("other")[0] == 409
        status, answer = _request(write, "/v1/leases/job/revoke", b"{}")
        assert status == 200 and answer["free_in_ms"] > 0
        assert (
            _request(
                fleet, "/v1/leases/job/renew", json.dumps({"token": job_token}).encode()
            )[0]
            == 409
        )
        check_growth(_until(lambda: acquire("other"), 200)["token"])
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()
    shutil.rmtree(state)
    process, _, write, fleet = _start(state, *FLEET)
    try:
        status, answer = beat("f2", token_2)
        assert (
            status == 409 and answer["error"] == "held"
        )  # the state is lost: nothing is granted until f2's lease must have expired
        seen = [
            seen[0] + 100,
            7,
        ]  # as after starts with a clock that was ahead
        assert acquire("x")[1]["error"] == "held"
        check_growth(_until(lambda: acquire("x"), 200)["token"])
        check_growth(_until(lambda: beat("f2", None), 200)["token"])
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10) == 0
