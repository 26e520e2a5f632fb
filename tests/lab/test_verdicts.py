"""The lab's verdicts on the parts: each check against a slow model or planted breaches;
the nemesis' rules; sweeps that breach, hang and are interrupted; the list relay and the
bound on connections.
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
steady = settings(derandomize=True, deadline=None, max_examples=150)
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


@steady
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


stretch = st.tuples(
    st.sampled_from("abc"),
    st.integers(0, 7),
    st.integers(0, 7),
    st.integers(0, 11),
    st.integers(0, 12),
)


@steady
@given(st.lists(stretch, min_size=1, max_size=7))
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


def clean() -> Records:
    """Two forwarders, everything in order: what every planted breach below starts
    from.
    """
    made: Records = []
    for n in range(6):
        key, at, cls = f"k{n}", n * 400 * MS, "feed" if n < 4 else "pay"
        where = {"session": "s", "number": n} if cls == "feed" else {}
        made += [
            {"kind": "try", "key": key, "id": f"{key}.0", "cls": cls, "destination": 7, "forwarder": n % 2,
             "due_ns": at, "sent_ns": at, "answer_ns": at + MS, "status": 202, **where},
            {"kind": "sent", "member": f"f{n % 2}", "destination": 7, "id": f"{key}.0", "at_ns": at + 2 * MS},
            {"kind": "call", "key": key, "id": f"{key}.0", "destination": 7, "status": 200,
             "at_ns": at + 3 * MS},
        ]  # fmt: skip
    for n, member in enumerate(("f0", "f1")):
        at, token, key = n * 1000 * MS, [1, n + 1], "0000000000000007"
        made += [
            {"kind": "granted", "lease": "planner", "holder": member, "token": token, "at_ns": at},
            {"kind": "acted", "member": member, "lease": "planner", "token": token, "at_ns": at},
            {"kind": "acted", "member": member, "lease": "planner", "token": token, "at_ns": at + 900 * MS},
            {"kind": "owns", "member": member, "from": key, "to": key, "generation": n,
             "begin_ns": at, "end_ns": at + 1000 * MS, "at_ns": at},
        ]  # fmt: skip
    for step, at in (
        ("offered", 10),
        ("frozen", 20),
        ("copied", 25),
        ("committed", 32),
        ("done", 40),
    ):
        made.append(
            {
                "kind": "session",
                "key": "s",
                "step": step,
                "member": "f0",
                "at_ns": at * MS,
            }
        )
    return made


def judged(records: Records) -> dict[str, Any]:
    exp = parse(TEXT)
    effects = {c.name: c.effect for c in exp.load.classes}
    deadlines = {c.name: int(c.deadline_s * 1e9) for c in exp.load.classes}
    return checker.verdict(records, effects, deadlines, 1.0) | verdicts.check_all(
        records, exp
    )


def change(records: Records, kind: str, number: int, **new: Any) -> None:
    [r for r in records if r["kind"] == kind][number].update(new)


def test_clean_records_show_no_breach_and_their_figures() -> None:
    result = judged(clean())
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
    empty = judged([])
    assert (
        verdicts.breaches(empty) == []
        and empty["budgets"]["7"]["seen"] == empty["leases"]["seen"] == 0
    )


def plants() -> list[tuple[str, str, Any]]:
    """What each planted breach is found as, and how it is planted."""

    def add(**record: Any) -> Any:
        return lambda records: records.append(record)

    def edit(kind: str, number: int, **new: Any) -> Any:
        return lambda records: change(records, kind, number, **new)

    def drop(kind: str, number: int) -> Any:
        return lambda records: records.remove(
            [r for r in records if r["kind"] == kind][number]
        )

    acted = {"kind": "acted", "lease": "planner"}
    return [
        ("a fourth call in a span", "budgets.7.over: 1", edit("sent", 3, at_ns=1001 * MS)),
        ("a stopped holder acts on", "leases.overlaps: 1",
         add(**acted, member="f0", token=[1, 1], at_ns=1000 * MS)),
        ("one acts under another's grant", "leases.overlaps: 1",
         lambda r: (drop("acted", 0)(r), change(r, "acted", 0, member="f1"))),
        ("two act under one token", "leases.overlaps: 1",
         lambda r: r.extend([{**acted, "member": m, "token": [9, 9], "at_ns": 9000 * MS + n}
                             for n, m in enumerate(("f1", "f2"))])),
        ("a token acted on goes back", "leases.tokens_back: 1",
         add(**acted, member="f1", token=[1, 1], at_ns=2500 * MS)),
        ("a grant goes back", "leases.tokens_back: 1",
         add(kind="granted", lease="planner", holder="f0", token=[0, 9], at_ns=1500 * MS)),
        ("a grant is given twice", "leases.tokens_back: 1",
         add(kind="granted", lease="planner", holder="f0", token=[1, 2], at_ns=2500 * MS)),
        ("the new owner begins early", "shards.two_owners: 1", edit("owns", 1, begin_ns=999 * MS)),
        ("a message of a session is lost", "sessions.lost: 1", drop("call", 3)),
        ("a message of a session goes twice", "sessions.doubled: 1",
         add(kind="call", key="k1", id="k1.0", destination=7, status=200, at_ns=450 * MS)),
        ("a later one overtakes", "sessions.out_of_order: 1", edit("call", 0, at_ns=500 * MS)),
        ("a later one overtakes a try", "sessions.out_of_order: 1",
         lambda r: (change(r, "call", 0, at_ns=500 * MS, status=500), change(r, "try", 0, status=202),
                    r.append({"kind": "notice", "id": "k0.0", "state": "failed", "at_ns": 501 * MS}))),
        ("a hand-over ends both ways", "sessions.split: 1",
         add(kind="session", key="s", step="aborted", member="f1", at_ns=41 * MS)),
        ("a message is lost", "lost: 1", drop("call", 5)),
    ]  # fmt: skip


@pytest.mark.parametrize(
    ("name", "found", "plant"), plants(), ids=[p[0] for p in plants()]
)
def test_each_planted_breach_is_found(name: str, found: str, plant: Any) -> None:
    records = clean()
    plant(records)
    assert found in verdicts.breaches(judged(records))


def test_what_a_lost_folder_took_is_wiped_and_an_open_owner_ends_with_its_process() -> (
    None
):
    records = clean()
    records.remove(next(r for r in records if r["kind"] == "call" and r["key"] == "k5"))
    change(records, "owns", 0, end_ns=None)
    assert {"lost: 1", "shards.two_owners: 1"} <= set(
        verdicts.breaches(judged(records))
    )
    for did, member, at in (("ended", "f0", 1000), ("wiped", "f1", 2001)):
        records.append(
            {"kind": "process", "member": member, "did": did, "at_ns": at * MS}
        )
    assert verdicts.breaches(judged(records)) == []
    records[-1]["at_ns"] = 2000 * MS  # before it was taken on: it is owed its end
    assert verdicts.breaches(judged(records)) == ["lost: 1"]


def test_a_hand_in_without_an_answer_has_no_place_in_its_order() -> None:
    records = clean()
    change(records, "call", 0, at_ns=500 * MS)
    first = records[0]
    records.append({**first, "id": "k0.1"})
    first["status"] = 0
    assert "sessions.out_of_order: 1" not in verdicts.breaches(judged(records))
    records = (
        clean()
    )  # and one that comes again after its delivery is a copy, not out of order
    records.append(
        {**next(r for r in records if r["kind"] == "call"), "at_ns": 900 * MS}
    )
    assert verdicts.breaches(judged(records)) == ["doubled: 1", "sessions.doubled: 1"]


@steady
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


def test_a_process_of_a_reused_id_is_left_alone(tmp_path: Path) -> None:
    pids.note(tmp_path, "us", os.getpid())
    assert pids.still_running(tmp_path) == [os.getpid()]
    told = json.loads((tmp_path / pids.PID_FILE).read_text())
    (tmp_path / pids.PID_FILE).write_text(
        json.dumps({**told, "born": told["born"] - 1}) + "\nnot json\n"
    )
    assert pids.still_running(tmp_path) == []


def test_records_come_from_log_lines_and_torn_ones_are_counted() -> None:
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
    got, unread = log_records.merge_logs([("list", text)], 100, {"e1": 7}.__getitem__)
    assert unread == 2, "one of an unknown endpoint, one torn"
    assert [(r["kind"], r["member"], r["at_ns"]) for r in got] == [
        ("owns", "f1", 3), ("granted", "list", 4), ("acted", "f0", 5), ("sent", "f0", 7), ("session", "f1", 9)
    ]  # fmt: skip
    assert (got[0]["begin_ns"], got[0]["end_ns"]) == (3, None)
    assert got[3] == {
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


def test_a_nemesis_reaches_every_kind_and_the_service() -> None:
    exp = parse(TEXT)
    drawn = [f for seed in range(30) for f in nemesis.fault_timeline(exp, seed)]
    assert {f.kind for f in drawn} == {"kill", "pause", "term", *LINK_KINDS}
    assert {f.restart for f in drawn} == {"", "keep", "lose"}
    assert LIST_SERVICE in {f.target for f in drawn} and any(
        f.target.startswith("f0>f") for f in drawn
    )
    assert nemesis.fault_timeline(exp, 1) != nemesis.fault_timeline(exp, 2)


def test_a_session_hands_each_in_once_the_one_before_has_its_answer() -> None:
    exp = parse(TEXT)
    planned = [p for p in plan_messages(exp, 5) if p.session]
    for session in {p.session for p in planned}:
        own = [p for p in planned if p.session == session]
        assert [p.number for p in own] == list(range(len(own))) and len(
            {p.forwarder for p in own}
        ) == 1
    log: list[tuple[str, int, int]] = []
    told: Records = []

    class Slow(load_generator.LoadDriver):
        async def _attempt(
            self, n: int, data: bytes, timeout: float
        ) -> tuple[int, str]:
            session, number = (
                data.split(b"X-Session-Key: ")[1].split(b"\r\n")[0].decode(),
                len(log),
            )
            log.append((session, 1, number))
            await asyncio.sleep(0.003)
            log.append((session, -1, number))
            return 202, ""

    base = planned[0]
    quick = [
        PlannedMessage(n, f"k{n}", base.class_name, 7, 0, f"s{n % 2}", n // 2)
        for n in range(8)
    ]
    begin = time.monotonic_ns()
    asyncio.run(
        Slow(
            exp,
            load_generator.ConnectionPool([0]),
            told.append,
            lambda: time.monotonic_ns() - begin,
        ).run(quick)
    )
    for session in ("s0", "s1"):
        assert [step for s, step, _ in log if s == session] == [1, -1] * 4, (
            "never two out at once"
        )
        own = [r for r in told if r["session"] == session]
        assert [r["number"] for r in own] == [0, 1, 2, 3]
        assert all(b["ready_ns"] >= a["answer_ns"] for a, b in itertools.pairwise(own))
    joined = checker.join_records(
        told, {"feed": 0, "pay": 0}
    )  # waiting for its turn is no lag, and costs no time
    assert joined.lags_ns == [r["sent_ns"] - r["ready_ns"] for r in told]
    assert [m.deadline_ns for m in joined.messages.values()] == [
        r["ready_ns"] for r in told
    ]


async def through_a_relay() -> tuple[dict[str, Any], Records, bytes]:
    noticed: Records = []
    listing = await StandInListService(
        hosts=[{"host": "e0", "dial": "h:1"}, {"host": "e9", "dial": "h:9"}]
    ).start()
    relay = await DiscoveryRelay(
        listing.port, {"e0": "127.0.0.1:5"}, noticed.append
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
    told = json.loads(await reader.readexactly(length))
    await listing.stop()
    async with asyncio.timeout(2):
        try:
            rest = await reader.read(1)
        except ConnectionError:
            rest = b""
    await relay.stop()
    return told, noticed, rest


def test_a_relay_tells_each_forwarder_its_own_dials_and_ends_with_the_service() -> None:
    told, noticed, rest = asyncio.run(through_a_relay())
    assert {h["host"]: h["dial"] for h in told["hosts"]} == {
        "e0": "127.0.0.1:5",
        "e9": "h:9",
    }
    assert noticed == [{"id": "m.0", "state": "failed"}]
    assert rest == b"", "its connection ended with the service's"


async def past_the_gate() -> tuple[list[bytes], list[int], ConnectionLimiter]:
    lines: list[int] = []
    gate = ConnectionLimiter(2, lambda: lines.append(1))
    listing = await StandInListService().start()
    links = [
        await ProxyLink(
            f"l{n}", "127.0.0.1", listing.port, seed=n, limiter=gate
        ).start()
        for n in range(2)
    ]
    seen, open_ends = [], []
    for n in range(5):
        if n == 4:  # one of those open leaves: there is room again
            open_ends[0].close()
            async with asyncio.timeout(5):
                while gate.open == 2:
                    await asyncio.sleep(0.005)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", links[n % 2].listen_port
        )
        open_ends.append(writer)
        try:
            writer.write(b"GET /discovery/hosts HTTP/1.1\r\n\r\n")
            seen.append(await reader.read(12))
        except ConnectionError:
            seen.append(b"reset")
    for server in (*links, listing):
        await server.stop()
    return seen, lines, gate


def test_connections_past_the_bound_are_refused_with_a_count_and_one_line() -> None:
    seen, lines, gate = asyncio.run(past_the_gate())
    answered = b"HTTP/1.1 200"
    assert seen == [answered, answered, b"reset", b"reset", answered]
    assert (lines, gate.statistics()) == (
        [1],
        {"most": 2, "most_open": 2, "refused": 2},
    )


# A run of a sweep, played by a stand-in: what it writes and how it ends hangs on its
# seed.
RUN = """
import json, os, signal, subprocess, sys, time
from pathlib import Path
from rainfall.lab import pids
seed, out = int(sys.argv[1]), Path(sys.argv[2])
if seed >= 3:
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"], start_new_session=True)
    pids.note(out, "f0", child.pid)
    time.sleep(60)
found = ["lost: 1"] if seed == 2 else []
over = {"7": {"worst": 3 + seed, "over": seed - 1, "used": 1 / seed, "refused_per_delivery": None}}
(out / "verdict.json").write_text(json.dumps({"lost": len(found), "valid": True, "breaches": found,
    "total": {"messages": 3, "delivered": 2}, "budgets": over}))
sys.exit(len(found))
"""


@pytest.fixture
def played(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    (tmp_path / "e.toml").write_text(TEXT)
    monkeypatch.setattr(
        sweep.Sweep,
        "run_arguments",
        lambda self, seed, folder: ["-c", RUN, str(seed), str(folder)],
    )
    monkeypatch.setattr(sweep, "TERM_TIMEOUT_S", 0.1)
    return tmp_path


def swept(folder: Path, seeds: str, *more: str) -> tuple[int, dict[str, Any]]:
    out = folder / "out"
    told = [
        "sweep",
        str(folder / "e.toml"),
        "--seeds",
        seeds,
        "--jobs",
        "2",
        "--out",
        str(out),
        *more,
    ]
    return cli.main(told), json.loads((out / "summary.json").read_text())


def test_a_sweep_tells_breaches_by_seed_and_keeps_what_it_is_told(played: Path) -> None:
    assert swept(played, "1")[0] == 0
    code, told = swept(played, "1-2", "--keep", "failures")
    assert (
        code,
        told["breached"],
        told["totals"]["lost"],
        told["totals"]["messages"],
    ) == (1, [2], 1, 6)
    assert (
        told["worst"]["worst_span"] == {"value": 5, "seed": 2}
        and told["worst"]["used"]["value"] == 0.5
    )
    assert [p.name for p in sorted((played / "out").glob("seed-*"))] == ["seed-2"]
    for bad in ("x", "3-1", "1-", "", "1-99999", "-3"):
        with pytest.raises(SystemExit) as caught:
            cli.main(
                [
                    "sweep",
                    str(played / "e.toml"),
                    f"--seeds={bad}",
                    "--out",
                    str(played),
                ]
            )
        assert caught.value.code == 2


def hanging(folder: Path) -> bool:
    """Whether the run of seed 3 has come as far as to note what it started."""
    return bool(pids.still_running(folder / "out" / "seed-3"))


def test_a_run_past_its_time_is_ended_with_all_it_started(
    played: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sweep, "run_time_limit_s", lambda experiment: 3.0)
    code, told = swept(played, "3")
    assert (code, told["runs"][0]["breaches"]) == (1, ["took more than 3 s"])
    assert (played / "out" / "seed-3" / pids.PID_FILE).exists(), (
        "it had started something"
    )
    assert pids.still_running(played / "out" / "seed-3") == []


def test_an_interrupted_sweep_ends_all_that_was_started(
    played: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second interrupt comes in the middle of the ending."""
    signals: list[int] = []

    def interrupt() -> None:
        while not hanging(played):
            time.sleep(0.01)
        signals.append(1)
        os.kill(os.getpid(), signal.SIGINT)

    ending = sweep.end_run

    async def interrupted(process: asyncio.subprocess.Process, folder: Path) -> None:
        if signals and folder.name == "seed-3":
            os.kill(os.getpid(), signal.SIGINT)
            await asyncio.sleep(0.02)
        await ending(process, folder)

    monkeypatch.setattr(sweep, "end_run", interrupted)
    thread = threading.Thread(target=interrupt)
    thread.start()
    code, told = swept(played, "3,1")
    thread.join()
    assert code == 130 and 3 in told["not_played"]
    assert pids.still_running(played / "out" / "seed-3") == []


def test_hand_overs_are_told_apart_by_their_offers() -> None:
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
        {"kind": "session", "key": "s", "step": s, "at_ns": n * MS}
        for n, s in enumerate(steps)
    ]
    moves = sessions_check.count_migrations(records)
    assert (
        moves.completed,
        moves.aborted,
        moves.split,
        moves.unfinished,
        moves.longest_pause_ns,
    ) == (
        1,
        1,
        0,
        1,
        2 * MS,
    )


def test_a_lease_told_again_is_no_breach() -> None:
    granted = {"kind": "granted", "lease": "x", "holder": "f0", "token": [1, 1]}
    found = leases.check([{**granted, "at_ns": n} for n in range(3)])
    assert (found["seen"], found["overlaps"], found["tokens_back"]) == (3, 0, 0)
