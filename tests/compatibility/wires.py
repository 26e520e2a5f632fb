"""Input and output lines of the simulator's wire format."""

from __future__ import annotations

import io
import json
from random import Random

from rainfall.dispatch import (
    Action,
    CancelAttempt,
    CheckEndpointHealth,
    CloseIdleConnections,
    FailMessage,
    LogNote,
    RejectMessage,
    SendMessage,
    SetTimer,
    SubscribeEndpointList,
)
from rainfall.wirehost import WireHost, encode_action, serve
from tests.compatibility.references import References
from tests.support.loopback_peers import SETTINGS

SEED, ROUNDS = 13, 80
NAMES = ("forwarder/0", "forwarder/1")
RESULTS = [
    "Ok",
    "Ok",
    "Ok",
    "Failed",
    "QueueFull",
    "TimedOut",
    "ConnectError",
    "ResetByPeer",
    "Ignored",
]
TIMES_US = (*[1_000] * 6, 90_000, 500_000, 8_000_000)
"""Durations of attempts, in microseconds; attempts of the longest get no result before they
are canceled.
"""
ACTIONS: list[Action] = [
    SendMessage("m1", 5, 700),
    RejectMessage("m1", 300, "late"),
    FailMessage("m1", "late"),
    CancelAttempt("m1", 2),
    CheckEndpointHealth(5),
    CloseIdleConnections(5),
    SetTimer(900, "look"),
    SubscribeEndpointList(),
    LogNote("text"),
]
Event = dict[str, object]


def facts() -> Event:
    allowed = SETTINGS["allowed"] | {"max_open": 14, "max_attempts": 3}
    contract = SETTINGS["contract"] | {"overload_factor": 2.0, "fall_us": 200_000}
    contract |= {"cold_from": 0.02, "warm_after_us": 900_000}
    return {**SETTINGS, "allowed": allowed, "contract": contract}


def up(name: str) -> list[Event]:
    event: Event = {"type": "UP", "forwarder_id": name, "entropy": 7, "facts": facts()}
    return [event, listed(name, "SAVED")]


def listed(name: str, how: str, buffer: int = 0) -> Event:
    return {"type": "MEMBERS", "forwarder_id": name, "how": how, "buffer": buffer}


def table(buffer: int, *states: str) -> Event:
    entries: list[Event] = [
        {"target": 5 + n, "belongs_to": 57 + n // 2, "kind": "plain", "hall": "x"}
        | {"readiness": state, "power_hint": 1 + n}
        for n, state in enumerate(states)
    ]
    return {"type": "TABLE", "buffer": buffer, "elements": entries}


def first_events() -> list[Event]:
    serving = table(0, *["SERVING"] * 3)
    bad = {"type": "UP", "forwarder_id": "forwarder/2", "entropy": 1}
    bad["facts"] = {**SETTINGS, "family_info": {"slots": 0}}
    return [serving, *up(NAMES[0]), *up(NAMES[1]), bad, {"type": "NEVER_HEARD"}]


def odd_events(random: Random, number: int) -> list[Event]:
    """Returns occasional events: list changes, client disconnects, health checks, restarts."""
    name = random.choice(NAMES)
    checked: Event = {"type": "CHECK_RESULT", "forwarder_id": name, "target": 5}
    choices: list[list[Event]] = [
        [table(1, "SERVING", "DRAINING", "DELETED"), listed(name, "INCREMENTAL", 1)],
        [table(2, "SERVING", "SERVING", "SERVING"), listed(name, "FULL", 2)],
        [{"type": "MEMBERS", "forwarder_id": name, "how": "FAILED"}],
        [{"type": "CLIENT_LEFT", "forwarder_id": name, "msg_id": f"m{number - 2}"}],
        [checked | {"result": "Ok", "lag_us": 900, "telemetry": [0.5, 9.0]}],
        [{"type": "DEADLINE_HIT", "forwarder_id": name, "token": "look"}],
        [{"type": "DOWN", "forwarder_id": name}, *up(name)],
    ]
    return random.choice(choices) if random.random() < 0.4 else []


def input_lines() -> list[str]:
    """Returns a simulator's input lines; each depends on the output for the lines before."""
    random, host, now, number = Random(SEED), WireHost(), 0, 0
    pending: list[tuple[int, Event]] = []
    attempt_numbers: dict[str, int] = {}
    lines: list[str] = []
    for turn in range(ROUNDS):
        inbox = first_events() if not turn else odd_events(random, number)
        for _ in range(random.randrange(5)):
            number += 1
            class_name = random.choice(("order", "status", "turns", "pay"))
            lifetime_us = random.choice((30_000, 400_000, 9_000_000))
            ask_event: Event = {"type": "ASK", "forwarder_id": random.choice(NAMES)}
            ask_event |= {"msg_id": f"m{number}", "dest": random.choice((57, 57, 58))}
            ask_event |= {
                "class": class_name,
                "due_us": now + lifetime_us,
                "account": "acme",
            }
            inbox.append(
                ask_event | {"route_key": "k" if class_name == "turns" else None}
            )
        inbox += [event for at, event in pending if at <= now]
        pending = [(at, event) for at, event in pending if at > now]
        lines.append(json.dumps({"clock_us": now, "inbox": inbox}))
        for action in json.loads(host.handle_line(lines[-1]))["do"]:
            if action["type"] == "ISSUE":
                pending.append(ended(random, now, action, attempt_numbers))
            elif action["type"] == "ABANDON":
                pending = [
                    (at, queued | canceled(queued, action)) for at, queued in pending
                ]
        now += random.choice((1_000, 20_000, 60_000, 300_000))
    return lines


def ended(
    random: Random, now: int, issued: Event, attempt_numbers: dict[str, int]
) -> tuple[int, Event]:
    """Returns the time at which an issued attempt ends, and its result event."""
    result, took_us = random.choice(RESULTS), random.choice(TIMES_US)
    attempt_key = f"{issued['forwarder_id']} {issued['msg_id']}"
    number = attempt_numbers[attempt_key] = attempt_numbers.get(attempt_key, -1) + 1
    event: Event = {"type": "CLOSED_ATTEMPT", "forwarder_id": issued["forwarder_id"]}
    event |= {"msg_id": issued["msg_id"], "try": number, "target": issued["target"]}
    event |= {"result": result, "lag_us": took_us, "closed": result == "Ok"}
    wait_ms = random.choice((0, 40.5)) if result == "QueueFull" else 0
    return now + took_us, event | {"wait_ms": wait_ms, "telemetry": [0.5, 99.0]}


def canceled(event: Event, action: Event) -> Event:
    matches = all(
        event[key] == action[key] for key in ("forwarder_id", "msg_id", "try")
    )
    return {"result": "Canceled", "closed": False} if matches else {}


def output(text: str) -> str:
    sink = io.StringIO()
    assert serve(io.StringIO(text), sink) == 0
    return sink.getvalue()


def actions() -> list[object]:
    return [encode_action("forwarder/0", a) for a in ACTIONS]


def types_in(text: str, key: str) -> set[str]:
    return {one["type"] for line in text.splitlines() for one in json.loads(line)[key]}


def made() -> References:
    text = "\n".join(input_lines()) + "\n"
    return {
        "wire-input": text.encode(),
        "wire-output": output(text).encode(),
        "wire-actions": actions(),
    }
