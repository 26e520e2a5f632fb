"""The wire host as a subprocess, with JSON lines on its stdin and stdout."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

from tests.support.paths import ROOT

FACTS = {
    "allowed": {
        "max_attempts": 6,
        "max_open": 100,
        "retry_after": True,
        "max_retry_after_us": 1000,
    },
    "balancers": 2,
    "discovery": "on_request",
    "family_info": {"slots": 4, "kind_batch": [1]},
    "host_types": ["plain"],
    "unheard_of": {"x": 1},
    "telemetry": {"fields": ["x0", "x1"]},
    "contract": {"grace_to_answer_us": 20000},
    "services": [
        {
            "name": "order",
            "aim_us": 2000000,
            "deadline_us": 9000000,
            "effect": "repeatable",
        }
    ],
}
ENTRY = {
    "target": 5,
    "belongs_to": 57,
    "kind": "plain",
    "hall": "x",
    "readiness": "SERVING",
    "power_hint": 1,
}


def run(lines: list[Any], **env: str) -> subprocess.CompletedProcess[str]:
    text = "".join(
        (line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines
    )
    return subprocess.run(
        [sys.executable, "-m", "rainfall.wirehost"],
        input=text,
        text=True,
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env={**os.environ, **env},
    )


def start_events(name: str, seed: int = 1) -> list[dict[str, Any]]:
    return [
        {"type": "UP", "forwarder_id": name, "entropy": seed, "facts": FACTS},
        {
            "type": "MEMBERS",
            "forwarder_id": name,
            "how": "SAVED",
            "epoch": 1,
            "buffer": 0,
        },
    ]


def table_event(target: int = 5) -> dict[str, Any]:
    return {"type": "TABLE", "buffer": 0, "elements": [{**ENTRY, "target": target}]}


def ask_event(name: str, msg: str, due: int = 9000000) -> dict[str, Any]:
    return {
        "type": "ASK",
        "forwarder_id": name,
        "msg_id": msg,
        "dest": 57,
        "class": "order",
        "due_us": due,
    }


def input_line(now: int, *events: dict[str, Any]) -> dict[str, Any]:
    return {"clock_us": now, "inbox": list(events)}


def actions_by_line(
    result: subprocess.CompletedProcess[str],
) -> list[list[dict[str, Any]]]:
    assert result.returncode == 0, result.stderr
    return [json.loads(line)["do"] for line in result.stdout.splitlines()]


def test_message_is_sent_and_its_outcome_handled() -> None:
    closed = {
        "type": "CLOSED_ATTEMPT",
        "forwarder_id": "forwarder/0",
        "msg_id": "a",
        "try": 0,
        "target": 5,
        "result": "Ok",
        "lag_us": 900,
        "closed": True,
        "telemetry": [0.5, 3.0],
        "news": 1,
    }
    first, second, third = actions_by_line(
        run(
            [
                input_line(0),
                input_line(
                    1000,
                    table_event(),
                    *start_events("forwarder/0"),
                    ask_event("forwarder/0", "a"),
                ),
                input_line(
                    2000, closed, {"type": "NEVER_HEARD", "forwarder_id": "forwarder/0"}
                ),
            ]
        )
    )
    assert first == []
    assert [a["type"] for a in second] == ["STREAM_CHANGES", "ISSUE"]
    assert second[1]["target"] == 5 and second[1]["msg_id"] == "a"
    assert third == []


def test_restart_within_one_line_and_lists_in_event_order() -> None:
    """A restarted forwarder drops its messages and gets the list current at that event.

    Table 7 comes after its MEMBERS event and must not replace the list that it got.
    """
    (actions,) = actions_by_line(
        run(
            [
                input_line(
                    0,
                    table_event(5),
                    *start_events("forwarder/0"),
                    ask_event("forwarder/0", "old"),
                    {"type": "DOWN", "forwarder_id": "forwarder/0"},
                    table_event(6),
                    *start_events("forwarder/0", 2),
                    ask_event("forwarder/0", "new"),
                    table_event(7),
                )
            ]
        )
    )
    issues = [a for a in actions if a["type"] == "ISSUE"]
    assert [(a["msg_id"], a["target"]) for a in issues] == [("new", 6)]


def test_malformed_input_is_reported_in_one_line() -> None:
    cases: list[Any] = [
        "no json",
        "[]",
        {"clock_us": 1},
        {"inbox": []},
        input_line(0, {"forwarder_id": "forwarder/0"}),
        input_line(0, {"type": "UP", "forwarder_id": "forwarder/0"}),
        input_line(
            0,
            table_event(),
            *start_events("forwarder/0"),
            {"type": "ASK", "forwarder_id": "forwarder/0", "msg_id": "a"},
        ),
        input_line(0, {"type": "TABLE", "buffer": 0, "elements": [{"target": 1}]}),
        input_line(
            0,
            table_event(),
            *start_events("forwarder/0"),
            {"type": "MEMBERS", "forwarder_id": "forwarder/0", "how": "FULL"},
        ),
    ]
    for case in cases:
        result = run([case])
        assert result.returncode != 0 and result.stdout == "", case
        assert (
            len(result.stderr.splitlines()) == 1 and "Traceback" not in result.stderr
        ), case


def test_invalid_settings_are_reported_as_internal_error() -> None:
    bad_events = start_events("forwarder/0")
    bad_events[0] = {**bad_events[0], "facts": {**FACTS, "family_info": {"slots": 0}}}
    (actions,) = actions_by_line(run([input_line(0, table_event(), *bad_events)]))
    assert (
        actions[0]["type"] == "INTERNAL_ERROR" and "slots" in actions[0]["reason_text"]
    )
    assert "\n" not in actions[0]["reason_text"]


def load_script(names: list[str]) -> list[dict[str, Any]]:
    lines = [
        input_line(
            0, table_event(), *[e for n in names for e in start_events(n, int(n[-1]))]
        )
    ]
    for n in range(60):
        lines.append(
            input_line(
                5000 * n,
                *[
                    ask_event(name, f"{name[-1]}{n}x{k}", 5000 * n + 400000 + 7000 * k)
                    for name in names
                    for k in range(3)
                ],
                *[
                    {"type": "DEADLINE_HIT", "forwarder_id": name, "token": "look"}
                    for name in names
                ],
            )
        )
    return lines


def test_same_actions_with_any_hash_seed_and_any_set_of_forwarders() -> None:
    names = ["forwarder/0", "forwarder/1", "forwarder/2"]
    together = actions_by_line(run(load_script(names), PYTHONHASHSEED="1"))
    assert together == actions_by_line(run(load_script(names), PYTHONHASHSEED="77"))
    for name in names:
        alone = actions_by_line(run(load_script([name])))
        assert alone == [
            [a for a in actions if a["forwarder_id"] == name] for actions in together
        ]
    assert sum(len(actions) for actions in together) > 100
