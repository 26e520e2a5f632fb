"""No list of processes, servers, destinations or records is cut below 1,024 entries,
and the lists of the largest fleet (540 forwarders, 44,000 destinations, 10,000 budgets)
are taken whole.
"""

from __future__ import annotations

import ast
import asyncio
import gc
import importlib
import json
import re
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from rainfall.budget.config import MOST_BUDGETS, MOST_PARTS, beat_needs
from rainfall.budget.wants import Wants
from rainfall.journal.state import MOST_LOST, State
from rainfall.lease.table import Table
from rainfall.lease.terms import Terms
from rainfall.lease.token import Token
from rainfall.member.roster import MOST_GONE as MOST_MEMBERS_GONE
from rainfall.member.roster import Grant, Roster
from rainfall.net.address import Address
from rainfall.net.config import Config, Host, HostList, host, host_list, parse
from rainfall.net.desk import MOST_GONE
from rainfall.net.discovery import Client
from rainfall.net.engine import Engine
from rainfall.net.fleet_books import Books
from rainfall.net.fleet_config import read
from rainfall.net.fleet_file import Keep
from rainfall.net.http import MOST_LIST
from rainfall.net.reconfigure import MOST_TOLD, examine
from rainfall.net.store import Store, Taken
from rainfall.registry import house
from rainfall.registry.bounds import Bounds
from rainfall.registry.web import Connection
from rainfall.wirehost import settings
from tests.sockets import PATIENCE, SETTINGS, Answer, Peer, always
from tests.test_registry_bounds import Run, play

ROOT = Path(__file__).resolve().parent.parent
LEAST = 1_024
ENDPOINTS = 44_000
LISTS = {
    "budget.config.MOST_BUDGETS",
    "dispatch.endpoint_list.MAX_REMOVED_ENDPOINTS",
    "journal.state.MOST_LOST",
    "lab.sweep.MOST_SEEDS",
    "member.roster.MOST_GONE",
    "net.client.MOST_WAITS",
    "net.desk.MOST_DESTINATIONS",
    "net.desk.MOST_GONE",
    "net.desk.MOST_RECENT",
    "net.discovery.MOST_NOTICES",
    "net.fleet_books.MOST_SPENT",
    "net.fleet_config.MOST_PEERS",
    "net.reconfigure.MOST_TOLD",
    "net.server.BACKLOG",
    "registry.bodies.MOST_OPS",
    "registry.core.MOST_IDS",
    "registry.core.MOST_TOMBSTONES",
    "registry.disk.KEPT_NOTICES",
    "registry.disk.MOST_NOTICES",
    "registry.maps.MOST_RANGES",
    "registry.web.BACKLOG",
    "registry.web.MOST_FAULTS",
    "session.desk.MOST_PAST",
    "session.words.ITEMS",
    "shard.plan.MOST_RANGES",
    "registry.member_list.MOST_KNOWN",
    "dispatch.message_queues.MAX_SPARE_DESTINATION_QUEUES",
}
TEXT = "bytes or characters, no list"
NUMBER = "a time or a number that is told, no list"
ONE = "of one connection, call or target, whatever the fleet's size"
EXEMPT = {
    "budget.book.MOST_OPEN": "grants to one process not acknowledged; older ones count as one",
    "budget.config.MOST_PARTS": "weights of one destination's classes and tenants",
    "budget.divide.CREDIT_MOST": NUMBER,
    "budget.wants.MOST_PARTS": "parts of one destination's need told apart; the others count as one",
    "dispatch.endpoint_list.MAX_POLL_RETRY_US": NUMBER,
    "journal.__main__.MOST_NAMED": "names on one printed line; the report has them all",
    "journal.format.MOST_NUMBER": NUMBER,
    "journal.format.MOST_OLD_RECORD": TEXT,
    "journal.format.MOST_RECORD": TEXT,
    "lab.plan.MAX_MESSAGES": "two million",
    "lab.shapes.MAX_FORWARDERS": "real processes on the one machine of a trial",
    "lab.shapes.MAX_PEERS": "real processes on the one machine of a trial",
    "lab.shapes.MAX_RATE": NUMBER,
    "lab.sweep.MOST_JOBS": "trials at once on one machine",
    "lease.holder.MOST_ASKS": "renewals of one lease under way; later answers are of no use",
    "lease.terms.MOST_LEAP": NUMBER,
    "lease.terms.MOST_NOTE": "entries of one lease's note",
    "lease.terms.MOST_TEXT": TEXT,
    "member.roster.MOST_NAME": TEXT,
    "net.admin.BACKLOG": "operators, who hold descriptors of the forwarder's: 16 of them at a time",
    "net.admin.MOST_BODY": TEXT,
    "net.admin.MOST_CALLS": "operators, who hold descriptors of the forwarder's",
    "net.admin.MOST_CONFIG": TEXT,
    "net.admin.MOST_HEAD": TEXT,
    "net.answers.MOST_LIMIT": NUMBER,
    "net.answers.MOST_WAIT_US": NUMBER,
    "net.client_connection.MOST_AHEAD": ONE,
    "net.client_connection.MOST_WAITING": ONE,
    "net.fleet.MOST_RETRY_MS": NUMBER,
    "net.fleet_books.MOST_PART_BYTES": TEXT,
    "net.fleet_file.MOST_BYTES": TEXT,
    "net.handover.MOST_HOLD_S": NUMBER,
    "net.engine.MOST_SOONER_US": NUMBER,
    "dispatch.message_queues.MAX_SPARE_CLASS_QUEUES": ONE,
    "net.http.MOST_BODY": TEXT,
    "net.http.MOST_HEAD": TEXT,
    "net.http.MOST_LIST": TEXT,
    "net.idle.MOST_IDLE": ONE,
    "net.link.MOST_LINE": TEXT,
    "net.link.MOST_PATH": TEXT,
    "net.reconfigure.MOST_DEEP": "objects within each other",
    "net.server.MOST_UNREAD": TEXT,
    "registry.budgets.MOST_US": NUMBER,
    "registry.house.MOST_KEPT_BYTES": TEXT,
    "registry.reads.MOST_HOLD_MS": NUMBER,
    "registry.web.MOST_LINE": TEXT,
    "session.where.MOST_HOPS": "forwarders that one message may go through",
    "shard.check.MOST_MOVED": NUMBER,
    "shard.maps.MOST_DIGITS": TEXT,
    "shard.maps.MOST_GENERATION": NUMBER,
    "shard.moves.MOST_AHEAD": NUMBER,
    "shard.ranges.MOST_PIECES": "pieces that one range is split into at once",
}
ALSO = {"session.words.ITEMS", "registry.disk.KEPT_NOTICES"}
"""Bounds of lists by other names than the usual."""


def sources() -> Iterator[tuple[str, ast.Module]]:
    for path in sorted((ROOT / "rainfall").rglob("*.py")):
        module = ".".join(path.relative_to(ROOT / "rainfall").with_suffix("").parts)
        yield module, ast.parse(path.read_text())


def constants() -> Iterator[str]:
    """The named bounds, by the module that defines them."""
    for module, tree in sources():
        for node in tree.body:
            names = [
                n.id
                for target in getattr(node, "targets", [])
                for n in ast.walk(target)
                if isinstance(n, ast.Name)
            ]
            yield from (
                f"{module}.{name}"
                for name in names
                if f"{module}.{name}" in ALSO
                or "BACKLOG" in name
                or {"MOST", "MAX"} & set(name.split("_"))
            )


def test_each_named_bound_is_of_a_list_and_not_below_1024_or_exempt_for_a_reason() -> (
    None
):
    assert set(constants()) == LISTS | set(EXEMPT) and not LISTS & set(EXEMPT)
    found = {}
    for full in LISTS:
        module, _, name = full.rpartition(".")
        found[full] = getattr(importlib.import_module(f"rainfall.{module}"), name)
    assert {full: most for full, most in found.items() if most < LEAST} == {}
    bounds = Bounds()
    assert min(bounds.watchers, bounds.connections, bounds.queued) >= LEAST


def test_no_smaller_bound_is_hidden_in_a_call() -> None:
    """Lengths and backlogs that stand as plain numbers, and lists cut off at one."""
    found = []
    for module, tree in sources():
        for node in ast.walk(tree):
            given: list[ast.expr | None] = []
            if isinstance(node, ast.Call):
                given = [
                    k.value
                    for k in node.keywords
                    if k.arg in ("maxlen", "backlog", "maxsize")
                ]
                if isinstance(node.func, ast.Attribute) and node.func.attr == "listen":
                    given += node.args
            elif (
                isinstance(node, ast.Compare)
                and isinstance(node.left, ast.Call)
                and getattr(node.left.func, "id", "") == "len"
                and isinstance(node.ops[0], ast.Gt | ast.GtE)
            ):
                given = [*node.comparators]
            numbers = [
                v.value
                for v in given
                if isinstance(v, ast.Constant) and isinstance(v.value, int)
            ]
            found += [
                f"{module}: {ast.unparse(node)}"
                for number in numbers
                if 16 < number < LEAST
            ]
    assert [
        line for line in found if not re.search(r"len\((key|text|order_key)\)", line)
    ] == []


# The configuration's file and a beat


def fleet(budgets: int, peers: int) -> dict[str, Any]:
    return {
        "service": "127.0.0.1:1",
        "site": "a",
        "budgets": [
            {"destination": n, "span_ms": 1_000, "calls": 10, "members": 5}
            for n in range(budgets)
        ],
        "peers": {f"forwarder-{n}": f"127.0.0.1:{n + 1}" for n in range(peers)},
    }


@pytest.mark.parametrize("budgets, peers", [(LEAST, LEAST), (MOST_BUDGETS, 10_000)])
def test_a_file_with_so_many_budgets_and_peers_is_taken(
    budgets: int, peers: int
) -> None:
    told = read(fleet(budgets, peers), "f")
    assert len(told.budgets) == budgets and len(told.peers) == peers


def test_a_file_with_so_many_faults_is_told_of_1024(tmp_path: Path) -> None:
    file = {
        "name": "f",
        "listen": "127.0.0.1:9",
        "discovery": "127.0.0.1:9",
        "settings": SETTINGS,
    }
    old = parse({**file, "fleet": fleet(MOST_BUDGETS, 0)}, {"LB_STATE": str(tmp_path)})
    bad = fleet(MOST_BUDGETS, 0)
    for budget in bad["budgets"]:
        budget["calls"] = 0
    found = examine(
        json.dumps({**file, "fleet": bad}).encode(), old, {"LB_STATE": str(tmp_path)}
    ).faults
    assert len(found) == MOST_TOLD >= LEAST
    assert {tuple(fault) for fault in found} == {("path", "fault")}
    assert len({fault["path"] for fault in found}) == MOST_TOLD


def test_demand_is_counted_for_as_many_destinations_as_the_service_takes() -> None:
    books = Books((), 0.0, {}, 0)
    for destination in range(ENDPOINTS):
        books.wanted(destination, "order/a-tenant", 10)
    told = books.needs(
        {ENDPOINTS + n: {"pay/another-tenant": 1} for n in range(10)}, 20
    )
    assert len(told) == MOST_BUDGETS and beat_needs(told)
    assert len(books.wants) == MOST_BUDGETS


def test_a_beat_stays_within_the_service_s_body_by_merging_parts() -> None:
    named = read(fleet(MOST_BUDGETS, 0), "f").budgets
    books = Books(named, 0.0, {}, 0)
    for destination in range(MOST_BUDGETS):
        for tenant in range(20):
            books.wanted(destination, f"a-class-of-messages/tenant-{tenant}", 10)
    told = books.needs({}, 20)
    assert len(told) == MOST_BUDGETS and {
        sum(parts.values()) for parts in told.values()
    } == {20}
    holds = {str(d): [10**6, 10**6] for d in range(MOST_BUDGETS)}
    assert len(json.dumps({"needs": told, "holds": holds})) < Bounds().body


def test_parts_that_wait_past_those_told_apart_count_as_one_and_none_is_left_out() -> (
    None
):
    wants = Wants(1_000)
    for n in range(100):
        wants.arrived(10, f"come-{n}")
    needs = wants.needs(20, {f"waits-{n}": 1 for n in range(100)})
    assert len(needs) <= MOST_PARTS and sum(needs.values()) == 200


def test_what_a_successor_needs_of_10000_budgets_takes_a_small_part_of_the_disk(
    tmp_path: Path,
) -> None:
    books = Books(read(fleet(MOST_BUDGETS, 0), "f").budgets, 0.0, {}, 0)
    for account in books.accounts.values():
        for at in range(50):
            account.purse.window.add(10**12 + 1_000 * at, 1)
    keep = Keep(tmp_path, False)
    records = books.close(10**12 + 10**5)
    assert keep.write(*keep.made(Token(3, 4), records)) is None
    assert keep.path.stat().st_size < 300_000
    token, kept = Keep(tmp_path, False).read()
    assert token == Token(3, 4) and kept == records


# Members and messages


def test_a_whole_fleet_that_is_lost_is_told_of() -> None:
    table = Table(Terms(0.02, 1_000, 1_000_000))
    table.commit(table.start(0, True))
    roster = Roster(table, 1_000_000)
    roster.started(0)
    names = [f"forwarder-{n:05}" for n in range(MOST_MEMBERS_GONE + 10)]
    for name in names:
        made = roster.join(2_000_000, name, "a", "h:1")
        assert isinstance(made, Grant)
        roster.commit(made.record)
    for record in roster.tick(10_000_000):
        roster.commit(record)
    gone = [m for m in roster.members.values() if m.state == "lost"]
    assert len(gone) == MOST_MEMBERS_GONE >= LEAST and roster.in_force() == []
    since = roster.owed(roster.floor, roster.epoch)
    assert not since["whole"] and len(since["members"]) == MOST_MEMBERS_GONE


def test_lost_messages_are_named() -> None:
    state = State()
    state.doubt()
    for n in range(MOST_LOST + 1):
        state.read(json.dumps(["a", f"m{n}", 0, 1, "s1"]).encode())
    assert len(state.lost) == MOST_LOST >= LEAST


# Endpoints


def endpoint(n: int, health: str = "up") -> dict[str, Any]:
    return {
        "host": f"endpoint-{n:08}.zone-{n % 5}.example.internal",
        "dial": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080",
        "site": f"zone-{n % 5}",
        "class": "standard",
        "block": n,
        "share": 0.000123456789,
        "born_ms": 1_790_000_000_000 + n,
        "health": health,
    }


def listing(numbers: range, health: str = "up", whole: bool = True) -> HostList:
    return HostList(1, whole, tuple(map(host, (endpoint(n, health) for n in numbers))))


def engine(folder: Path) -> Engine:
    where = Address("127.0.0.1", 9)
    return Engine(
        Config(
            "f1",
            where,
            where,
            folder,
            1,
            192,
            40,
            64_000_000,
            HostList(0, True, ()),
            settings(SETTINGS),
            (),
        )
    )


def known_by(e: Engine, told: HostList) -> None:
    """Each target that was told goes by one number, that leads back to its name."""
    entries = e.entries(told)
    e.take_list(told)
    hosts: dict[int, Host] = {
        entry.endpoint: h for entry, h in zip(entries, told.hosts, strict=True)
    }
    assert len(hosts) == len(told.hosts) and {n: e.names.get(n) for n in hosts} == {
        n: h.name for n, h in hosts.items()
    }
    assert all(e.numbers[h.name] == n for n, h in hosts.items())


def test_a_first_list_of_44000_endpoints_goes_by_one_number_each(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        e = engine(tmp_path)
        known_by(e, listing(range(ENDPOINTS)))
        assert len(e.destinations) == ENDPOINTS
        known_by(e, listing(range(ENDPOINTS)))
        assert len(e.destinations) == ENDPOINTS
        e.store.close()

    asyncio.run(scene())


def test_endpoints_that_left_are_remembered_and_forgotten_in_time(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        e = engine(tmp_path)
        known_by(e, listing(range(LEAST * 2)))
        before = dict(e.numbers)
        e.take_list(listing(range(LEAST * 2), "removed", whole=False))
        assert not e.hosts and e.numbers == before
        known_by(e, listing(range(LEAST * 2)))
        assert e.numbers == before  # they came back, and are who they were
        for n in range(3 * MOST_GONE):
            e.number(f"gone{n}")
            assert len(e.numbers) == len(e.names) <= len(e.hosts) + MOST_GONE + 1
        assert (
            before.items() <= e.numbers.items()
            and f"gone{3 * MOST_GONE - LEAST}" in e.numbers
        )
        e.store.close()

    asyncio.run(scene())


def test_a_list_of_44000_endpoints_outlasts_a_restart_on_a_small_disk(
    tmp_path: Path,
) -> None:
    store = Store(tmp_path, 3_000_000)
    hosts = {h["host"]: h for h in map(endpoint, range(ENDPOINTS))}
    store.list(7, hosts, 0, "127.0.0.1:1")
    assert store.has_room(10_000)
    for n in range(1_000):
        store.take(Taken(f"m{n}", "order", 7, 10**15, None, None, b"x" * 1_000))
        store.over(f"m{n}")
        store.flush()
    assert (
        not store.failed and store.log.rewrites <= 2
    )  # not each round writes the list anew
    back = Store(tmp_path, 3_000_000)
    assert (back.hosts, back.seq, back.source) == (
        hosts,
        7,
        "127.0.0.1:1",
    ) and not back.report.damaged
    assert back.compact() and Store(tmp_path, 3_000_000, write=False).hosts == hosts


def test_a_change_of_a_large_list_is_written_alone(tmp_path: Path) -> None:
    store = Store(tmp_path, 3_000_000)
    hosts = {h["host"]: h for h in map(endpoint, range(4_000))}
    store.list(7, hosts, 0, "127.0.0.1:1")
    store.flush()
    before = store.log.bytes
    for n in range(100):  # one drained, one gone, one new
        hosts.pop(endpoint(n)["host"])
        hosts.update(
            (h["host"], h)
            for h in (endpoint(n + 1_000, "draining"), endpoint(n + 4_000))
        )
        store.list(8 + n, hosts, 0, "127.0.0.1:1")
        store.flush()
    assert store.log.bytes - before < 100 * 1_000
    back = Store(tmp_path, 3_000_000, write=False)
    assert (back.hosts, back.seq) == (hosts, 107) and not back.report.damaged


def test_a_change_whose_list_was_lost_leaves_no_version_to_go_on_from(
    tmp_path: Path,
) -> None:
    store = Store(tmp_path, 3_000_000)
    hosts = {h["host"]: h for h in map(endpoint, range(10))}
    store.list(7, hosts, 0, "127.0.0.1:1")
    for seq in (8, 9):
        hosts[endpoint(seq)["host"]] = endpoint(seq, "draining")
        store.list(seq, hosts, 0, "127.0.0.1:1")
    store.flush()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.index(b'["u",7,8') + 2] ^= 1
    (tmp_path / "journal").write_bytes(data)
    back = Store(tmp_path, 3_000_000, write=False)
    assert back.report.damaged and back.seq == -1 and len(back.hosts) == 10


@pytest.mark.parametrize("indent", [None, 2, 4])
def test_a_list_of_44000_endpoints_is_taken_whole_over_a_socket(
    indent: int | None,
) -> None:
    async def scene() -> None:
        told = {
            "seq": 1,
            "whole": True,
            "hosts": [endpoint(n) for n in range(ENDPOINTS)],
        }
        body = json.dumps(told, indent=indent).encode()
        assert len(body) > ENDPOINTS * 190 and len(body) < MOST_LIST
        peer = await Peer(always(Answer(200, body=body))).start()
        client = Client(Address("127.0.0.1", peer.port))
        answer = await client.ask("GET", "/discovery/hosts", 20.0)
        assert len(host_list(json.loads(answer.body)).hosts) == ENDPOINTS
        client.close()

    asyncio.run(scene())


def test_the_list_service_tells_44000_endpoints_whole_and_holds_few_of_their_bytes(
    tmp_path: Path,
) -> None:
    held = 1024 * 1024

    async def test(run: Run) -> None:
        for first in range(0, ENDPOINTS, 4_000):
            ops = [
                {"op": "register", **endpoint(n)} for n in range(first, first + 4_000)
            ]
            assert (await run.ask("/v1/hosts", {"ops": ops}))[0] == 200
        client = Client(Address("127.0.0.1", run.list))
        answer = await client.ask("GET", "/discovery/hosts", PATIENCE)
        assert (
            len(host_list(json.loads(answer.body)).hosts) == ENDPOINTS
            and len(answer.body) > held
        )
        client.close()
        taken, most = await slowly(run.list)
        assert (
            taken > len(answer.body)
            and 0 < most <= held
            and run.service.figures.slow_closed == 0
        )

    play(tmp_path, test, held_bytes=held)


def test_kept_answers_are_bounded_by_their_bytes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(house, "MOST_KEPT_BYTES", 20_000)

    async def test(run: Run) -> None:
        versions = []
        for n in range(10):
            ops = [{"op": "register", **endpoint(10 * n + m)} for m in range(10)]
            versions.append((await run.ask("/v1/hosts", {"ops": ops}))[2]["seq"])
        for version in versions:
            assert (await run.ask(f"/discovery/hosts?from={version - 1}"))[2][
                "seq"
            ] == versions[-1]
            kept = [
                a
                for h in gc.get_objects()
                if isinstance(h, house.House)
                for a in h._answers.values()
            ]
            assert kept and sum(map(len, kept)) <= 20_000

    play(tmp_path, test)


async def slowly(port: int) -> tuple[int, int]:
    """Bytes that a reader with a small window took of the list, and the most that the
    service held for it.
    """
    loop, taken, most = asyncio.get_running_loop(), 0, 0
    ask = b"GET /discovery/hosts HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", port))
        await loop.sock_sendall(sock, ask)
        taken += len(await loop.sock_recv(sock, 1))
        open_here = [
            c
            for c in gc.get_objects()
            if isinstance(c, Connection) and c.transport is not None
        ]
        while data := await loop.sock_recv(sock, 64 * 1024):
            taken += len(data)
            sizes = [
                c.transport.get_write_buffer_size()
                for c in open_here
                if c.transport is not None
            ]
            most = max([most, *sizes])
    return taken, most
