"""Tests the checker against a simple model, the validation of experiment files, the
fault proxy, and a run of a small fleet with real processes.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from rainfall.lab import __main__ as cli
from rainfall.lab import checker, pids, report
from rainfall.lab.experiment import ExperimentError, parse, read
from rainfall.lab.fault_proxy import ProxyLink
from tests.support.paths import ROOT

EXPERIMENTS = ROOT / "rainfall" / "lab" / "experiments"
EFFECTS = {"pay": "once", "status": "repeatable"}
DEADLINES = {"pay": 10**9, "status": 10**9}

# A message: its class, its attempts and whether there is a notification. An attempt is
# the status of the response and the number of deliveries under its id.
Attempt = tuple[int, int]
Message = tuple[str, list[Attempt], bool]
message_strategy = st.tuples(
    st.sampled_from(sorted(EFFECTS)),
    st.lists(
        st.tuples(st.sampled_from([202, 429, 0]), st.integers(0, 2)),
        min_size=1,
        max_size=2,
    ),
    st.booleans(),
)


def records(messages: list[Message]) -> list[dict[str, object]]:
    result: list[dict[str, object]] = []
    for message_number, (class_name, attempts, noticed) in enumerate(messages):
        for attempt_number, (status, deliveries) in enumerate(attempts):
            message_id = f"k{message_number}.{attempt_number}"
            result.append(
                {
                    "kind": "try",
                    "key": f"k{message_number}",
                    "id": message_id,
                    "cls": class_name,
                    "destination": 7,
                    "forwarder": 0,
                    "due_ns": 0,
                    "sent_ns": 5,
                    "answer_ns": 9,
                    "status": status,
                }
            )
            result += [
                {
                    "kind": "call",
                    "key": f"k{message_number}",
                    "id": message_id,
                    "endpoint": "e0",
                    "destination": 7,
                    "status": 200,
                    "at_ns": 10 + repeat,
                }
                for repeat in range(deliveries)
            ]
        if noticed:
            result.append(
                {
                    "kind": "notice",
                    "id": f"k{message_number}.{len(attempts) - 1}",
                    "state": "failed",
                    "at_ns": 20,
                }
            )
    return result


@settings(derandomize=True, deadline=None, max_examples=120)
@given(st.lists(message_strategy, max_size=30))
@example(
    [("pay", [(202, 0)], False), ("pay", [(202, 2)], False)]
)  # one message lost, one delivered twice
@example(
    [("pay", [(0, 1), (202, 1)], False)]
)  # sent again after no response, delivered under both ids
def test_the_checker_agrees_with_a_simple_model(messages: list[Message]) -> None:
    result = checker.verdict(records(messages), EFFECTS, DEADLINES, max_lag_ms=1.0)
    once = [tries for cls, tries, _ in messages if EFFECTS[cls] == "once"]
    taken = [
        (tries, noticed)
        for _, tries, noticed in messages
        if any(s == 202 for s, _ in tries)
    ]
    lost = sum(
        1 for tries, noticed in taken if not any(d for _, d in tries) and not noticed
    )
    doubled = sum(1 for tries in once if any(d > 1 for _, d in tries))
    resent = sum(1 for tries in once if sum(1 for _, d in tries if d) > 1)
    assert (result["lost"], result["doubled"], result["total"]["resent"]) == (
        lost,
        doubled,
        resent,
    )
    assert checker.has_breach(result) == bool(lost or doubled)
    assert result["total"]["messages"] == len(messages)
    assert result["total"]["delivered"] == sum(
        1 for _, tries, _ in messages if any(d for _, d in tries)
    )
    assert result["total"]["accepted"] == len(taken)


def test_experiment_errors_are_reported_with_their_paths() -> None:
    text = """
        duration_s = 5
        colour = "red"
        [fleet]
        forwarders = 0
        zones = ["a"]
        service_args = ["--lease-ms", 9, "--state=x"]
        [load]
        rate_per_s = 10
        classes = [{ name = "pay", effect = "twice" }]
        [[faults]]
        at_s = 9
        kind = "kill"
        target = "f7"
        [[faults]]
        at_s = 1
        kind = "silence"
        target = "f0>nowhere"
        [[budgets]]
        destination = 9
        calls = 0
        span_ms = 1000
        [nemesis]
        rate_per_s = 1
        kinds = ["kill", "flood"]
        quiet_s = 5
    """
    with pytest.raises(ExperimentError) as caught:
        parse(text)
    assert caught.value.errors == [
        "colour: unknown key",
        "fleet.forwarders: 0 must be 1 to 64",
        "fleet.service_args[1]: expected a str, got 9",
        "fleet.service_args[2]: '--state=x' is set by the lab",
        "fleet.service_args: requires fleet.service",
        "load.classes[0].effect: 'twice' must be one of ('once', 'repeatable')",
        "budgets[0].destination: 9 is not a destination of the fleet",
        "budgets[0].calls: 0 is out of range",
        "faults[0].at_s: 9.0 is outside the run",
        "faults[0].target: 'f7' is not a process of the fleet",
        "faults[1].target: 'f0>nowhere' matches no link",
        "faults[1].for_s: a link fault needs a duration over 0",
        "nemesis.kinds[1]: 'flood' must be one of kill, pause, term, delay, drop, reset, silence, oneway",
        "nemesis.quiet_s: 5.0 leaves no time for faults",
    ]
    assert cli.main(["check", str(EXPERIMENTS / "missing.toml")]) == 2


@pytest.mark.parametrize(
    "path", sorted(EXPERIMENTS.glob("*.toml")), ids=lambda p: p.stem
)
def test_bundled_experiments_are_valid(path: Path) -> None:
    experiment = read(path)
    assert experiment.faults or experiment.budgets


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(100):
            writer.write(data)
    except (OSError, asyncio.CancelledError):
        writer.close()


async def exchange_through_link(state: str) -> tuple[bytes | str, bytes | str]:
    """What a client reads through a link in ``state``, and after the link has healed."""
    peer = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = await ProxyLink(
        "t", "127.0.0.1", peer.sockets[0].getsockname()[1], seed=1
    ).start()
    reader, writer = await asyncio.open_connection("127.0.0.1", link.listen_port)
    link.set_state(state, delay_ms=5)
    received: list[bytes | str] = []
    for _ in range(2):
        try:
            writer.write(b"ping")
            async with asyncio.timeout(0.5):
                received.append(await reader.readexactly(4))
        except TimeoutError:
            received.append("silent")
        except (OSError, asyncio.IncompleteReadError):
            received.append("reset")
        link.set_state("pass")
    await link.stop()
    peer.close()
    return received[0], received[1]


@pytest.mark.parametrize(
    ("state", "seen"),
    [
        ("pass", (b"ping", b"ping")),
        ("delay", (b"ping", b"ping")),
        ("oneway", ("silent", b"ping")),
        ("silence", ("silent", "reset")),
        ("drop", ("reset", "reset")),
        ("reset", ("reset", "reset")),
    ],
)
def test_link_state_affects_traffic_until_healed(
    state: str, seen: tuple[object, object]
) -> None:
    assert asyncio.run(exchange_through_link(state)) == seen


# There is one session. Its clients use f0, which is not killed, because a session may lose
# its order if its forwarder dies.
SMALL = """
name = "small"
duration_s = 2
settle_s = 8
[fleet]
forwarders = 2
destinations = [7]
zones = ["a"]
service = true
service_args = ["--lease-ms", "900"]
peers = true
parts = { lease_ms = 900 }
[load]
rate_per_s = 50
max_lag_ms = 2000
answer_timeout_s = 5
sessions = 1
classes = [
  { name = "pay", deadline_s = 6, effect = "once" },
  { name = "feed", deadline_s = 6, ordered = true },
]
[[budgets]]
destination = 7
calls = 1000
span_ms = 1000
[[faults]]
at_s = 0.3
kind = "kill"
target = "f1"
restart = "keep"
after_s = 0.2
[[faults]]
at_s = 0.5
kind = "silence"
target = "f0>e*"
for_s = 0.6
[[faults]]
at_s = 0.6
kind = "kill"
target = "list"
restart = "lose"
after_s = 0.2
"""


def test_small_fleet_loses_no_message_during_kills_and_a_partition(
    tmp_path: Path,
) -> None:
    (tmp_path / "small.toml").write_text(SMALL)
    out = tmp_path / "out"
    exit_code = cli.main(
        ["run", str(tmp_path / "small.toml"), "--out", str(out), "--seed", "3"]
    )
    result = json.loads((out / "verdict.json").read_text())
    assert (exit_code, result["breaches"], result["lost"], result["doubled"]) == (
        0,
        [],
        0,
        0,
    )
    assert len(result["pids"]["f1"]) == len(result["pids"]["list"]) == 2, (
        "f1 and list were not both restarted"
    )
    assert result["total"]["delivered"] > result["total"]["messages"] / 2
    assert result["sessions"]["messages"] and result["sessions"]["keys"] == 1
    records = [
        json.loads(line) for line in (out / "records.jsonl").read_text().splitlines()
    ]
    assert sorted(
        record["fault"] for record in records if record["kind"] == "fault"
    ) == [
        "kill",
        "kill",
        "silence",
    ]
    process_events = [
        (record["member"], record["did"])
        for record in records
        if record["kind"] == "process" and record["at_ns"] >= 0
    ]
    assert [
        process_events.count((member, event))
        for member in ("f0", "f1", "list")
        for event in ("started", "ended", "wiped")
    ] == [
        0, 1, 0,
        1, 2, 0,
        1, 2, 1,
    ], "the lab ends each process once more after settling"  # fmt: skip
    sent = [record["id"] for record in records if record["kind"] == "sent"]
    assert result["budgets"]["7"]["seen"] == len(sent) >= result["total"]["delivered"]
    assert {record["id"] for record in records if record["kind"] == "call"} <= set(
        sent
    ), "a call without a sent record"
    config = json.loads((out / "members" / "f0" / "config.json").read_text())
    assert config["fleet"]["lease_ms"] == 900 and list(config["fleet"]["peers"]) == [
        "f1"
    ]
    assert pids.still_running(out) == []
    assert (out / "report.png").stat().st_size > 0
    delivered = next(
        record
        for record in records
        if record["kind"] == "call" and record["status"] == 200
    )
    events = [
        (entry["process"], entry.get("event", entry.get("kind")))
        for entry in report.message_path(out, delivered["key"])
    ]
    assert ("lab", "try") in events and ("lab", "call") in events
    assert {"arrived", "sent", "ended"} <= {
        event_name for process, event_name in events if process.startswith("f")
    }, events


def test_phantom_call_is_a_breach() -> None:
    call = {
        "kind": "call",
        "key": "",
        "id": "x",
        "endpoint": "e0",
        "destination": 7,
        "status": 200,
        "at_ns": 1,
    }
    result = checker.verdict([call], EFFECTS, DEADLINES, max_lag_ms=1.0)
    assert result["phantoms"] == 1
    assert checker.has_breach(result)
