"""Tests the verdicts on the parts against slow models and injected breaches; the rules of
random faults; sweeps with breaches, timeouts and interrupts; the discovery relay and the
limit on connections.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.lab import __main__ as cli
from rainfall.lab import (
    checker,
    load_generator,
    log_records,
    nemesis,
    pids,
    sweep,
    verdicts,
)
from rainfall.lab.discovery_relay import DiscoveryRelay
from rainfall.lab.experiment import parse
from rainfall.lab.experiment_model import LINK_KINDS, LIST_SERVICE, link_names
from rainfall.lab.fault_proxy import ConnectionLimiter, ProxyLink
from rainfall.lab.load_plan import PlannedMessage, plan_messages
from rainfall.lab.stand_ins import SlidingWindowLimiter, StandInListService
from rainfall.lab.verdicts import budgets, leases, shards
from rainfall.lab.verdicts import sessions as sessions_check

Records = list[dict[str, Any]]
deterministic = settings(derandomize=True, deadline=None, max_examples=150)
TEXT = """
duration_s = 20
[fleet]
forwarders = 4
destinations = [7]
zones = ["a"]
service = true
peers = true
[load]
rate_per_s = 50
sessions = 6
classes = [{ name = "feed", ordered = true, effect = "once" }, { name = "pay", effect = "once" }]
[[budgets]]
destination = 7
calls = 3
span_ms = 1000
[nemesis]
rate_per_s = 4
longest_s = 3
lose = 0.3
"""
MS = 1_000_000


@deterministic
@given(st.lists(st.integers(0, 40), max_size=30), st.integers(1, 12), st.integers(1, 4))
def test_the_worst_sliding_span_is_exact(
    times: list[int], span: int, calls: int
) -> None:
    times.sort()
    counts = [
        sum(begin <= t < begin + span for t in times) for begin in range(-span, 42)
    ]
    worst, at = budgets.fullest_window(times, span)
    assert worst == max(counts)
    assert sum(at <= t < at + span for t in times) == worst
    over = sum(
        sum(t - span < u for u in times[: n + 1]) > calls for n, t in enumerate(times)
    )
    assert budgets.calls_over_limit(times, span, calls) == over


ownership_strategy = st.tuples(
    st.sampled_from("abc"),
    st.integers(0, 7),
    st.integers(0, 7),
    st.integers(0, 11),
    st.integers(0, 12),
)


@deterministic
@given(st.lists(ownership_strategy, min_size=1, max_size=7))
def test_owners_of_keys_agree_with_a_bitmap(
    told: list[tuple[str, int, int, int, int]],
) -> None:
    """A key space of 8 keys over 12 moments, painted cell by cell."""
    records: Records = []
    owners: dict[tuple[int, int], set[str]] = {}
    for n, (member, a, b, begin, length) in enumerate(told):
        first, last, end = min(a, b), max(a, b), begin + length
        ends = {
            "from": f"{first:016x}",
            "to": f"{last:016x}",
            "begin_ns": begin,
            "end_ns": end,
        }
        records.append(
            {"kind": "owns", "member": member, "generation": n, "at_ns": end, **ends}
        )
        if not length:
            continue  # an owner for no time is none
        for key in range(first, last + 1):
            for at in range(begin, end):
                owners.setdefault((key, at), set()).add(member)
    found = shards.check(records, 12)
    claimed: dict[int, int] = {}
    for key, at in owners:
        claimed[key] = min(at, claimed.get(key, at))
    both = {k for (k, _), who in owners.items() if len(who) > 1}
    gaps = {
        k: [at for at in range(begin, 12) if not owners.get((k, at))]
        for k, begin in claimed.items()
    }
    assert found["two_owners_keys"] == len(both) and bool(found["two_owners"]) == bool(
        both
    )
    assert found["unowned_keys"] == sum(bool(g) for g in gaps.values())
    runs = [
        len([t for t in gap if t >= at and set(range(at, t + 1)) <= set(gap)])
        for gap in gaps.values()
        for at in gap
    ]
    assert found["unowned_longest_ms"] == max(runs, default=0) / MS
    assert found["never_owned_keys"] == ((1 << 64) - len(claimed) if claimed else 0)


def breach_free_records() -> Records:
    """Records of two forwarders without a breach; each breach case modifies them."""
    records: Records = []
    for number in range(6):
        key, at_ns, class_name = (
            f"k{number}",
            number * 400 * MS,
            "feed" if number < 4 else "pay",
        )
        session_fields = (
            {"session": "s", "number": number} if class_name == "feed" else {}
        )
        records += [
            {"kind": "try", "key": key, "id": f"{key}.0", "cls": class_name, "destination": 7,
             "forwarder": number % 2, "due_ns": at_ns, "sent_ns": at_ns, "answer_ns": at_ns + MS,
             "status": 202, **session_fields},
            {"kind": "sent", "member": f"f{number % 2}", "destination": 7, "id": f"{key}.0",
             "at_ns": at_ns + 2 * MS},
            {"kind": "call", "key": key, "id": f"{key}.0", "destination": 7, "status": 200,
             "at_ns": at_ns + 3 * MS},
        ]  # fmt: skip
    for number, member in enumerate(("f0", "f1")):
        at_ns, token, key = number * 1000 * MS, [1, number + 1], "0000000000000007"
        records += [
            {"kind": "granted", "lease": "planner", "holder": member, "token": token, "at_ns": at_ns},
            {"kind": "acted", "member": member, "lease": "planner", "token": token, "at_ns": at_ns},
            {"kind": "acted", "member": member, "lease": "planner", "token": token,
             "at_ns": at_ns + 900 * MS},
            {"kind": "owns", "member": member, "from": key, "to": key, "generation": number,
             "begin_ns": at_ns, "end_ns": at_ns + 1000 * MS, "at_ns": at_ns},
        ]  # fmt: skip
    for step, at_ns in (
        ("offered", 10),
        ("frozen", 20),
        ("copied", 25),
        ("committed", 32),
        ("done", 40),
    ):
        records.append(
            {
                "kind": "session",
                "key": "s",
                "step": step,
                "member": "f0",
                "at_ns": at_ns * MS,
            }
        )
    return records


def compute_verdict(records: Records) -> dict[str, Any]:
    experiment = parse(TEXT)
    effects = {
        load_class.name: load_class.effect for load_class in experiment.load.classes
    }
    deadlines = {
        load_class.name: int(load_class.deadline_s * 1e9)
        for load_class in experiment.load.classes
    }
    return checker.verdict(records, effects, deadlines, 1.0) | verdicts.check_all(
        records, experiment
    )


def update_record(records: Records, kind: str, number: int, **new: Any) -> None:
    [record for record in records if record["kind"] == kind][number].update(new)


def test_breach_free_records_give_expected_figures() -> None:
    result = compute_verdict(breach_free_records())
    assert verdicts.breaches(result) == []
    assert (result["budgets"]["7"]["worst"], result["budgets"]["7"]["used"]) == (3, 0.1)
    assert [result[part]["seen"] for part in ("leases", "shards", "sessions")] == [
        6,
        2,
        5,
    ]
    assert (result["sessions"]["handed"], result["sessions"]["longest_pause_ms"]) == (
        1,
        12,
    )
    empty = compute_verdict([])
    assert (
        verdicts.breaches(empty) == []
        and empty["budgets"]["7"]["seen"] == empty["leases"]["seen"] == 0
    )


def breach_cases() -> list[tuple[str, str, Any]]:
    """Name of each injected breach, its entry in the verdict, and the function that injects
    it.
    """

    def add(**record: Any) -> Any:
        return lambda records: records.append(record)

    def edit(kind: str, number: int, **new: Any) -> Any:
        return lambda records: update_record(records, kind, number, **new)

    def drop(kind: str, number: int) -> Any:
        return lambda records: records.remove(
            [record for record in records if record["kind"] == kind][number]
        )

    acted = {"kind": "acted", "lease": "planner"}
    return [
        ("four calls in a span with limit 3", "budgets.7.over: 1", edit("sent", 3, at_ns=1001 * MS)),
        ("former holder still uses a lease", "leases.overlaps: 1",
         add(**acted, member="f0", token=[1, 1], at_ns=1000 * MS)),
        ("member uses a token of another member", "leases.overlaps: 1",
         lambda records: (drop("acted", 0)(records), update_record(records, "acted", 0, member="f1"))),
        ("two members use one token", "leases.overlaps: 1",
         lambda records: records.extend(
             [{**acted, "member": member, "token": [9, 9], "at_ns": 9000 * MS + number}
              for number, member in enumerate(("f1", "f2"))])),
        ("lower token is used", "leases.tokens_back: 1",
         add(**acted, member="f1", token=[1, 1], at_ns=2500 * MS)),
        ("lower token is granted", "leases.tokens_back: 1",
         add(kind="granted", lease="planner", holder="f0", token=[0, 9], at_ns=1500 * MS)),
        ("one token is granted to two members", "leases.tokens_back: 1",
         add(kind="granted", lease="planner", holder="f0", token=[1, 2], at_ns=2500 * MS)),
        ("new owner begins before the old one ends", "shards.two_owners: 1",
         edit("owns", 1, begin_ns=999 * MS)),
        ("session message is lost", "sessions.lost: 1", drop("call", 3)),
        ("session message is delivered twice", "sessions.doubled: 1",
         add(kind="call", key="k1", id="k1.0", destination=7, status=200, at_ns=450 * MS)),
        ("later session message is delivered first", "sessions.out_of_order: 1",
         edit("call", 0, at_ns=500 * MS)),
        ("later session message overtakes a failed call", "sessions.out_of_order: 1",
         lambda records: (update_record(records, "call", 0, at_ns=500 * MS, status=500),
                          update_record(records, "try", 0, status=202),
                          records.append({"kind": "notice", "id": "k0.0", "state": "failed",
                                          "at_ns": 501 * MS}))),
        ("migration is both done and aborted", "sessions.split: 1",
         add(kind="session", key="s", step="aborted", member="f1", at_ns=41 * MS)),
        ("message is lost", "lost: 1", drop("call", 5)),
    ]  # fmt: skip


@pytest.mark.parametrize(
    ("name", "found", "plant"), breach_cases(), ids=[p[0] for p in breach_cases()]
)
def test_injected_breach_is_detected(name: str, found: str, plant: Any) -> None:
    records = breach_free_records()
    plant(records)
    assert found in verdicts.breaches(compute_verdict(records))


def test_lost_state_counts_as_wiped_and_process_end_ends_ownership() -> None:
    records = breach_free_records()
    records.remove(
        next(
            record
            for record in records
            if record["kind"] == "call" and record["key"] == "k5"
        )
    )
    update_record(records, "owns", 0, end_ns=None)
    assert {"lost: 1", "shards.two_owners: 1"} <= set(
        verdicts.breaches(compute_verdict(records))
    )
    for event, member, at_ms in (("ended", "f0", 1000), ("wiped", "f1", 2001)):
        records.append(
            {"kind": "process", "member": member, "did": event, "at_ns": at_ms * MS}
        )
    assert verdicts.breaches(compute_verdict(records)) == []
    # The state was lost before the message was accepted: a final state is required.
    records[-1]["at_ns"] = 2000 * MS
    assert verdicts.breaches(compute_verdict(records)) == ["lost: 1"]


def test_unanswered_attempt_and_duplicate_call_are_not_out_of_order() -> None:
    records = breach_free_records()
    update_record(records, "call", 0, at_ns=500 * MS)
    first_attempt = records[0]
    records.append({**first_attempt, "id": "k0.1"})
    first_attempt["status"] = 0
    assert "sessions.out_of_order: 1" not in verdicts.breaches(compute_verdict(records))
    # A call after the delivery of its own message is a duplicate, not out of order.
    records = breach_free_records()
    records.append(
        {
            **next(record for record in records if record["kind"] == "call"),
            "at_ns": 900 * MS,
        }
    )
    assert verdicts.breaches(compute_verdict(records)) == [
        "doubled: 1",
        "sessions.doubled: 1",
    ]


@deterministic
@given(st.lists(st.integers(0, 9), max_size=25), st.integers(1, 4))
def test_an_endpoints_limit_lets_through_what_fits_and_tells_the_wait(
    gaps: list[int], calls: int
) -> None:
    meter, now, taken = SlidingWindowLimiter(calls, 10), 0, list[int]()
    for gap in gaps:
        now += gap
        full = sum(now - 10 < t for t in taken) >= calls
        wait = meter.wait_ns(now)
        assert bool(wait) == full
        if full:
            room = next(
                at
                for at in range(now, now + 11)
                if sum(at - 10 < t for t in taken) < calls
            )
            assert now + wait == room
        else:
            taken.append(now)


def test_process_with_reused_id_is_not_listed_as_running(tmp_path: Path) -> None:
    pids.append(tmp_path, "us", os.getpid())
    assert pids.still_running(tmp_path) == [os.getpid()]
    entry = json.loads((tmp_path / pids.PID_FILE).read_text())
    (tmp_path / pids.PID_FILE).write_text(
        json.dumps({**entry, "born": entry["born"] - 1}) + "\nnot json\n"
    )
    assert pids.still_running(tmp_path) == []


def test_log_lines_become_records_and_invalid_lines_are_counted() -> None:
    lines: list[dict[str, Any]] = [
        {"event": "sent", "process": "f0", "message_id": "m.0", "target": "e1", "t_ns": 107},
        {"event": "acted", "process": "f0", "lease": "x", "token": [3, 17], "t_ns": 105},
        {"event": "granted", "holder": "f0", "lease": "x", "token": [3, 17], "t_ns": 104},
        {"event": "owns", "process": "f1", "from": "00", "to": "0f", "generation": 2, "begin_ns": 103,
         "t_ns": 103},
        {"event": "session", "process": "f1", "key": "s", "step": "frozen", "t_ns": 109},
        {"event": "sent", "process": "f0", "message_id": "m.1", "target": "e9", "t_ns": 110},
        {"event": "arrived", "message_id": "sent", "t_ns": 111},
    ]  # fmt: skip
    text = "\n".join([*map(json.dumps, lines), '{"event": "sent", "mess'])
    records, unread = log_records.merge_logs(
        [("list", text)], 100, {"e1": 7}.__getitem__
    )
    assert unread == 2, "one line has an unknown endpoint, one is truncated"
    assert [(record["kind"], record["member"], record["at_ns"]) for record in records] == [
        ("owns", "f1", 3), ("granted", "list", 4), ("acted", "f0", 5), ("sent", "f0", 7), ("session", "f1", 9)
    ]  # fmt: skip
    assert (records[0]["begin_ns"], records[0]["end_ns"]) == (3, None)
    assert records[3] == {
        "kind": "sent",
        "member": "f0",
        "destination": 7,
        "id": "m.0",
        "at_ns": 7,
    }


@settings(derandomize=True, deadline=None, max_examples=25)
@given(st.integers(0, 10_000))
def test_a_nemesis_keeps_its_rules(seed: int) -> None:
    exp = parse(TEXT)
    faults = nemesis.fault_timeline(exp, seed)
    assert faults == nemesis.fault_timeline(exp, seed)
    spans = []
    for f in faults:
        process = f.kind not in LINK_KINDS
        things = (
            {f.target}
            if process
            else {
                n
                for n in link_names(exp)
                if all(
                    a in ("*", b)
                    for a, b in zip(f.target.split(">"), n.split(">"), strict=True)
                )
            }
        )
        end = f.at_s + (f.for_s or f.after_s)
        assert (
            things
            and end <= exp.duration_s - 2
            and not (process and f.kind != "pause" and not f.restart)
        )
        spans.append((f.at_s, end, things))
    for n, (begin, _, things) in enumerate(spans):
        together = [s for s in spans[:n] if s[1] > begin]
        assert not any(things & s[2] for s in together), "two faults on one thing"
        stopped = set().union(things, *(s[2] for s in together)) & set(
            exp.forwarder_names()
        )
        assert len(stopped) < exp.fleet.forwarders, "some forwarder always runs"


def test_random_faults_cover_every_kind_and_the_list_service() -> None:
    experiment = parse(TEXT)
    faults = [
        fault
        for seed in range(30)
        for fault in nemesis.fault_timeline(experiment, seed)
    ]
    assert {fault.kind for fault in faults} == {"kill", "pause", "term", *LINK_KINDS}
    assert {fault.restart for fault in faults} == {"", "keep", "lose"}
    assert LIST_SERVICE in {fault.target for fault in faults} and any(
        fault.target.startswith("f0>f") for fault in faults
    )
    assert nemesis.fault_timeline(experiment, 1) != nemesis.fault_timeline(
        experiment, 2
    )


def test_session_message_is_sent_after_its_predecessor_is_answered() -> None:
    experiment = parse(TEXT)
    planned = [message for message in plan_messages(experiment, 5) if message.session]
    for session in {message.session for message in planned}:
        session_messages = [
            message for message in planned if message.session == session
        ]
        assert [message.number for message in session_messages] == list(
            range(len(session_messages))
        ) and len({message.forwarder for message in session_messages}) == 1
    attempt_events: list[tuple[str, int, int]] = []
    records: Records = []

    class SlowDriver(load_generator.LoadDriver):
        async def _attempt(
            self, forwarder: int, request: bytes, timeout: float
        ) -> tuple[int, str]:
            session, number = (
                request.split(b"X-Session-Key: ")[1].split(b"\r\n")[0].decode(),
                len(attempt_events),
            )
            attempt_events.append((session, 1, number))
            await asyncio.sleep(0.003)
            attempt_events.append((session, -1, number))
            return 202, ""

    first_message = planned[0]
    planned_quickly = [
        PlannedMessage(
            number,
            f"k{number}",
            first_message.class_name,
            7,
            0,
            f"s{number % 2}",
            number // 2,
        )
        for number in range(8)
    ]
    begin_ns = time.monotonic_ns()
    asyncio.run(
        SlowDriver(
            experiment,
            load_generator.ConnectionPool([0]),
            records.append,
            lambda: time.monotonic_ns() - begin_ns,
        ).run(planned_quickly)
    )
    for session in ("s0", "s1"):
        assert [
            change
            for event_session, change, _ in attempt_events
            if event_session == session
        ] == [1, -1] * 4, "two messages of a session were in flight"
        session_messages = [
            record for record in records if record["session"] == session
        ]
        assert [record["number"] for record in session_messages] == [0, 1, 2, 3]
        assert all(
            later["ready_ns"] >= earlier["answer_ns"]
            for earlier, later in itertools.pairwise(session_messages)
        )
    # Waiting for the predecessor is no lag and does not shorten the deadline.
    joined = checker.join_records(records, {"feed": 0, "pay": 0})
    assert joined.lags_ns == [
        record["sent_ns"] - record["ready_ns"] for record in records
    ]
    assert [
        joined_message.deadline_ns for joined_message in joined.messages.values()
    ] == [record["ready_ns"] for record in records]


async def exchange_through_relay() -> tuple[dict[str, Any], Records, bytes]:
    notifications: Records = []
    list_service = await StandInListService(
        hosts=[{"host": "e0", "dial": "h:1"}, {"host": "e9", "dial": "h:9"}]
    ).start()
    relay = await DiscoveryRelay(
        list_service.port, {"e0": "127.0.0.1:5"}, notifications.append
    ).start()
    reader, writer = await asyncio.open_connection("127.0.0.1", relay.listen_port)
    writer.write(b"POST /v1/notices HTTP/1.1\r\nContent-Length: 29\r\n\r\n")
    writer.write(b'{"id":"m.0","state":"failed"}')
    writer.write(b"GET /discovery/hosts HTTP/1.1\r\n\r\n")
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    assert " 204 " in head
    length = int(
        (await reader.readuntil(b"\r\n\r\n"))
        .decode()
        .split("Content-Length: ")[1]
        .split("\r")[0]
    )
    endpoint_list = json.loads(await reader.readexactly(length))
    await list_service.stop()
    async with asyncio.timeout(2):
        try:
            trailing_bytes = await reader.read(1)
        except ConnectionError:
            trailing_bytes = b""
    await relay.stop()
    return endpoint_list, notifications, trailing_bytes


def test_relay_rewrites_dials_and_closes_with_the_service() -> None:
    endpoint_list, notifications, trailing_bytes = asyncio.run(exchange_through_relay())
    assert {host["host"]: host["dial"] for host in endpoint_list["hosts"]} == {
        "e0": "127.0.0.1:5",
        "e9": "h:9",
    }
    assert notifications == [{"id": "m.0", "state": "failed"}]
    assert trailing_bytes == b"", (
        "the relay kept the connection open after the service closed"
    )


async def open_connections_over_limit() -> tuple[
    list[bytes], list[int], ConnectionLimiter
]:
    rejections: list[int] = []
    limiter = ConnectionLimiter(2, lambda: rejections.append(1))
    list_service = await StandInListService().start()
    links = [
        await ProxyLink(
            f"l{number}", "127.0.0.1", list_service.port, seed=number, limiter=limiter
        ).start()
        for number in range(2)
    ]
    received, writers = [], []
    for number in range(5):
        if number == 4:  # closing an open connection frees a place
            writers[0].close()
            async with asyncio.timeout(5):
                while limiter.open == 2:
                    await asyncio.sleep(0.005)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", links[number % 2].listen_port
        )
        writers.append(writer)
        try:
            writer.write(b"GET /discovery/hosts HTTP/1.1\r\n\r\n")
            received.append(await reader.read(12))
        except ConnectionError:
            received.append(b"reset")
    for server in (*links, list_service):
        await server.stop()
    return received, rejections, limiter


def test_connections_over_limit_are_reset_and_reported_once() -> None:
    received, rejections, limiter = asyncio.run(open_connections_over_limit())
    status_line = b"HTTP/1.1 200"
    assert received == [status_line, status_line, b"reset", b"reset", status_line]
    assert (rejections, limiter.statistics()) == (
        [1],
        {"most": 2, "most_open": 2, "refused": 2},
    )


# Script that stands in for the process of a run. Seed 1 has no breach, seed 2 has one, and
# seeds from 3 on ignore SIGTERM and hang with a child process.
RUN = """
import json, os, signal, subprocess, sys, time
from pathlib import Path
from rainfall.lab import pids
seed, out = int(sys.argv[1]), Path(sys.argv[2])
if seed >= 3:
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"], start_new_session=True)
    pids.append(out, "f0", child.pid)
    time.sleep(60)
found = ["lost: 1"] if seed == 2 else []
over = {"7": {"worst": 3 + seed, "over": seed - 1, "used": 1 / seed, "refused_per_delivery": None}}
(out / "verdict.json").write_text(json.dumps({"lost": len(found), "valid": True, "breaches": found,
    "total": {"messages": 3, "delivered": 2}, "budgets": over}))
sys.exit(len(found))
"""


@pytest.fixture
def sweep_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    (tmp_path / "e.toml").write_text(TEXT)
    monkeypatch.setattr(
        sweep.Sweep,
        "run_arguments",
        lambda self, seed, folder: ["-c", RUN, str(seed), str(folder)],
    )
    monkeypatch.setattr(sweep, "TERM_TIMEOUT_S", 0.1)
    return tmp_path


def run_sweep(folder: Path, seeds: str, *options: str) -> tuple[int, dict[str, Any]]:
    out = folder / "out"
    arguments = [
        "sweep",
        str(folder / "e.toml"),
        "--seeds",
        seeds,
        "--jobs",
        "2",
        "--out",
        str(out),
        *options,
    ]
    return cli.main(arguments), json.loads((out / "summary.json").read_text())


def test_sweep_reports_breaches_by_seed_and_keeps_selected_folders(
    sweep_folder: Path,
) -> None:
    assert run_sweep(sweep_folder, "1")[0] == 0
    exit_code, summary = run_sweep(sweep_folder, "1-2", "--keep", "failures")
    assert (
        exit_code,
        summary["breached"],
        summary["totals"]["lost"],
        summary["totals"]["messages"],
    ) == (1, [2], 1, 6)
    assert (
        summary["worst"]["worst_span"] == {"value": 5, "seed": 2}
        and summary["worst"]["used"]["value"] == 0.5
    )
    assert [path.name for path in sorted((sweep_folder / "out").glob("seed-*"))] == [
        "seed-2"
    ]
    for invalid_seeds in ("x", "3-1", "1-", "", "1-99999", "-3"):
        with pytest.raises(SystemExit) as exit_info:
            cli.main(
                [
                    "sweep",
                    str(sweep_folder / "e.toml"),
                    f"--seeds={invalid_seeds}",
                    "--out",
                    str(sweep_folder),
                ]
            )
        assert exit_info.value.code == 2


def is_hanging(folder: Path) -> bool:
    """Whether the run of seed 3 has stored the id of its child process."""
    return bool(pids.still_running(folder / "out" / "seed-3"))


def test_timed_out_run_is_stopped_with_its_processes(
    sweep_folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sweep, "run_time_limit_s", lambda experiment: 3.0)
    exit_code, summary = run_sweep(sweep_folder, "3")
    assert (exit_code, summary["runs"][0]["breaches"]) == (1, ["took more than 3 s"])
    assert (sweep_folder / "out" / "seed-3" / pids.PID_FILE).exists(), (
        "the run started no child process"
    )
    assert pids.still_running(sweep_folder / "out" / "seed-3") == []


def test_interrupted_sweep_stops_all_processes(
    sweep_folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A second interrupt arrives while the sweep stops its runs."""
    sent_signals: list[int] = []

    def interrupt_when_hanging() -> None:
        while not is_hanging(sweep_folder):
            time.sleep(0.01)
        sent_signals.append(1)
        os.kill(os.getpid(), signal.SIGINT)

    original_end_run = sweep.end_run

    async def end_run_with_interrupt(
        process: asyncio.subprocess.Process, folder: Path
    ) -> None:
        if sent_signals and folder.name == "seed-3":
            os.kill(os.getpid(), signal.SIGINT)
            await asyncio.sleep(0.02)
        await original_end_run(process, folder)

    monkeypatch.setattr(sweep, "end_run", end_run_with_interrupt)
    thread = threading.Thread(target=interrupt_when_hanging)
    thread.start()
    exit_code, summary = run_sweep(sweep_folder, "3,1")
    thread.join()
    assert exit_code == 130 and 3 in summary["not_played"]
    assert pids.still_running(sweep_folder / "out" / "seed-3") == []


def test_migrations_of_a_key_are_separated_by_their_offers() -> None:
    steps = [
        "offered",
        "frozen",
        "aborted",
        "offered",
        "frozen",
        "copied",
        "committed",
        "tail",
        "done",
        "offered",
    ]
    records = [
        {"kind": "session", "key": "s", "step": step, "at_ns": number * MS}
        for number, step in enumerate(steps)
    ]
    counts = sessions_check.count_migrations(records)
    assert (
        counts.completed,
        counts.aborted,
        counts.split,
        counts.unfinished,
        counts.longest_pause_ns,
    ) == (
        1,
        1,
        0,
        1,
        2 * MS,
    )


def test_repeated_grant_is_not_a_breach() -> None:
    granted = {"kind": "granted", "lease": "x", "holder": "f0", "token": [1, 1]}
    result = leases.check([{**granted, "at_ns": at_ns} for at_ns in range(3)])
    assert (result["seen"], result["overlaps"], result["tokens_back"]) == (3, 0, 0)
