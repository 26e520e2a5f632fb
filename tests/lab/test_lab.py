"""The fleet lab: its checker against a simple model, its file check, its proxy, and one
real small fleet.
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

# A message: its class, each try's answer and the 200s under that try's id, and a notice
# or not.
Try = tuple[int, int]
Message = tuple[str, list[Try], bool]
message = st.tuples(
    st.sampled_from(sorted(EFFECTS)),
    st.lists(
        st.tuples(st.sampled_from([202, 429, 0]), st.integers(0, 2)),
        min_size=1,
        max_size=2,
    ),
    st.booleans(),
)


def records(messages: list[Message]) -> list[dict[str, object]]:
    out: list[dict[str, object]] = []
    for n, (cls, tries, noticed) in enumerate(messages):
        for t, (status, delivered) in enumerate(tries):
            name = f"k{n}.{t}"
            out.append(
                {
                    "kind": "try",
                    "key": f"k{n}",
                    "id": name,
                    "cls": cls,
                    "destination": 7,
                    "forwarder": 0,
                    "due_ns": 0,
                    "sent_ns": 5,
                    "answer_ns": 9,
                    "status": status,
                }
            )
            out += [
                {
                    "kind": "call",
                    "key": f"k{n}",
                    "id": name,
                    "endpoint": "e0",
                    "destination": 7,
                    "status": 200,
                    "at_ns": 10 + d,
                }
                for d in range(delivered)
            ]
        if noticed:
            out.append(
                {
                    "kind": "notice",
                    "id": f"k{n}.{len(tries) - 1}",
                    "state": "failed",
                    "at_ns": 20,
                }
            )
    return out


@settings(derandomize=True, deadline=None, max_examples=120)
@given(st.lists(message, max_size=30))
@example(
    [("pay", [(202, 0)], False), ("pay", [(202, 2)], False)]
)  # one lost and one doubled, planted
@example(
    [("pay", [(0, 1), (202, 1)], False)]
)  # handed in again after no answer, delivered under both
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


def test_every_fault_of_a_file_is_told_with_its_path() -> None:
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
    assert caught.value.faults == [
        "colour: unknown key",
        "fleet.forwarders: 0 must be 1 to 64",
        "fleet.service_args[1]: a str is wanted, not 9",
        "fleet.service_args[2]: '--state=x' is the lab's to give",
        "fleet.service_args: there is no service to give them to",
        "load.classes[0].effect: 'twice' is one of ('once', 'repeatable')",
        "budgets[0].destination: 9 is no destination",
        "budgets[0].calls: 0 is out of range",
        "faults[0].at_s: 9.0 is not within the run",
        "faults[0].target: 'f7' is no forwarder",
        "faults[1].target: 'f0>nowhere' names no link",
        "faults[1].for_s: a link fault needs a time over 0",
        "nemesis.kinds[1]: 'flood' is none of kill, pause, term, delay, drop, reset, silence, oneway",
        "nemesis.quiet_s: 5.0 leaves no time for faults",
    ]
    assert cli.main(["check", str(EXPERIMENTS / "missing.toml")]) == 2


@pytest.mark.parametrize(
    "path", sorted(EXPERIMENTS.glob("*.toml")), ids=lambda p: p.stem
)
def test_the_kept_experiments_are_sound(path: Path) -> None:
    experiment = read(path)
    assert experiment.faults or experiment.budgets


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(100):
            writer.write(data)
    except (OSError, asyncio.CancelledError):
        writer.close()


async def through(state: str) -> tuple[bytes | str, bytes | str]:
    """What a client reads through a link in ``state``, and then once the link has
    healed.
    """
    peer = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = await ProxyLink(
        "t", "127.0.0.1", peer.sockets[0].getsockname()[1], seed=1
    ).start()
    reader, writer = await asyncio.open_connection("127.0.0.1", link.listen_port)
    link.set_state(state, delay_ms=5)
    seen: list[bytes | str] = []
    for _ in range(2):
        try:
            writer.write(b"ping")
            async with asyncio.timeout(0.5):
                seen.append(await reader.readexactly(4))
        except TimeoutError:
            seen.append("silent")
        except (OSError, asyncio.IncompleteReadError):
            seen.append("reset")
        link.set_state("pass")
    await link.stop()
    peer.close()
    return seen[0], seen[1]


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
def test_each_state_of_a_link_does_what_it_says(
    state: str, seen: tuple[object, object]
) -> None:
    assert asyncio.run(through(state)) == seen


# One session, at home at f0, which stays up: today a session whose forwarder dies may
# lose its order.
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


def test_a_small_fleet_with_its_list_service_loses_nothing_through_kills_and_a_cut(
    tmp_path: Path,
) -> None:
    (tmp_path / "small.toml").write_text(SMALL)
    out = tmp_path / "out"
    code = cli.main(
        ["run", str(tmp_path / "small.toml"), "--out", str(out), "--seed", "3"]
    )
    result = json.loads((out / "verdict.json").read_text())
    assert (code, result["breaches"], result["lost"], result["doubled"]) == (
        0,
        [],
        0,
        0,
    )
    assert len(result["pids"]["f1"]) == len(result["pids"]["list"]) == 2, (
        "both were started again"
    )
    assert result["total"]["delivered"] > result["total"]["messages"] / 2
    assert result["sessions"]["messages"] and result["sessions"]["keys"] == 1
    records = [
        json.loads(line) for line in (out / "records.jsonl").read_text().splitlines()
    ]
    assert sorted(r["fault"] for r in records if r["kind"] == "fault") == [
        "kill",
        "kill",
        "silence",
    ]
    did = [
        (r["member"], r["did"])
        for r in records
        if r["kind"] == "process" and r["at_ns"] >= 0
    ]
    assert [did.count((m, d)) for m in ("f0", "f1", "list") for d in ("started", "ended", "wiped")] == [
        0, 1, 0,
        1, 2, 0,
        1, 2, 1,
    ], "each is ended once more by the lab, after the settling"  # fmt: skip
    sent = [r["id"] for r in records if r["kind"] == "sent"]
    assert result["budgets"]["7"]["seen"] == len(sent) >= result["total"]["delivered"]
    assert {r["id"] for r in records if r["kind"] == "call"} <= set(sent), (
        "each call left a forwarder"
    )
    config = json.loads((out / "members" / "f0" / "config.json").read_text())
    assert config["fleet"]["lease_ms"] == 900 and list(config["fleet"]["peers"]) == [
        "f1"
    ]
    assert pids.still_running(out) == []
    assert (out / "report.png").stat().st_size > 0
    delivered = next(r for r in records if r["kind"] == "call" and r["status"] == 200)
    events = [
        (w["process"], w.get("event", w.get("kind")))
        for w in report.message_path(out, delivered["key"])
    ]
    assert ("lab", "try") in events and ("lab", "call") in events
    assert {"arrived", "sent", "ended"} <= {
        e for p, e in events if p.startswith("f")
    }, events


def test_a_call_that_nobody_handed_in_voids_the_run() -> None:
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
