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

from rainfall.budget.config import MAX_BUDGETS, MAX_PARTS, parse_demand
from rainfall.budget.demand import DemandTracker
from rainfall.forwarder.config.address import Address
from rainfall.forwarder.config.fleet_config import parse_fleet
from rainfall.forwarder.config.loading import (
    Config,
    EndpointList,
    ListedEndpoint,
    parse_config,
    parse_endpoint,
    parse_endpoint_list,
)
from rainfall.forwarder.config.validation import MAX_REPORTED, validate_replacement
from rainfall.forwarder.discovery.endpoint_watch import HttpClient
from rainfall.forwarder.engine.endpoint_directory import MAX_REMOVED_ENDPOINTS
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.fleet.quotas import FleetQuotas
from rainfall.forwarder.fleet.state_file import StateFile
from rainfall.forwarder.http1 import MAX_LIST_BYTES
from rainfall.forwarder.message_store import AcceptedMessage, MessageStore
from rainfall.journal.state import MAX_LOST_MESSAGES, JournalState
from rainfall.lease.fencing_token import Token
from rainfall.lease.table import LeaseTable
from rainfall.lease.types import LeaseSettings
from rainfall.member.roster import MAX_DEPARTED_MEMBERS as MOST_MEMBERS_GONE
from rainfall.member.roster import LeaseGrant, Roster
from rainfall.registry import service_context
from rainfall.registry.http_server import LimitedConnection
from rainfall.registry.limits import Limits
from rainfall.wirehost import parse_settings
from tests.support.list_service import Run, play
from tests.support.loopback_peers import PATIENCE, SETTINGS, Answer, Peer, always
from tests.support.paths import ROOT

LEAST = 1_024
ENDPOINTS = 44_000
LISTS = {
    "budget.config.MAX_BUDGETS",
    "dispatch.endpoint_list.MAX_REMOVED_ENDPOINTS",
    "journal.state.MAX_LOST_MESSAGES",
    "lab.sweep.MAX_SEEDS",
    "member.roster.MAX_DEPARTED_MEMBERS",
    "forwarder.outbound.connection_pool.MAX_RETRY_AFTERS",
    "forwarder.engine.endpoint_directory.MAX_DESTINATIONS",
    "forwarder.engine.endpoint_directory.MAX_REMOVED_ENDPOINTS",
    "forwarder.engine.outcome_recorder.MAX_RECENTLY_FINISHED",
    "forwarder.discovery.notifications.MAX_NOTIFICATIONS_PER_POST",
    "forwarder.fleet.quotas.MAX_SPENT_ENTRIES",
    "forwarder.config.fleet_config.MAX_PEERS",
    "forwarder.config.validation.MAX_REPORTED",
    "forwarder.inbound.server.BACKLOG",
    "registry.request_schemas.MAX_OPERATIONS",
    "registry.endpoint_registry.MAX_CHANGE_IDS",
    "registry.endpoint_registry.MAX_TOMBSTONES",
    "registry.storage.MAX_CACHED_NOTICES",
    "registry.storage.MAX_NOTICES_PER_FILE",
    "registry.shard_map_extension.MAX_PLANNED_RANGES",
    "registry.http_server.BACKLOG",
    "registry.http_server.MAX_FAULTS_IN_ANSWER",
    "session.migration_manager.MAX_FINISHED_MIGRATIONS",
    "session.messages.ITEM_LIMIT",
    "shard.map_planning.MAX_RANGES",
    "registry.member_encoder.MAX_CACHED_MEMBERS",
    "dispatch.message_queues.MAX_SPARE_DESTINATION_QUEUES",
}
TEXT = "bytes or characters, no list"
NUMBER = "a time or a number that is told, no list"
ONE = "of one connection, call or target, whatever the fleet's size"
EXEMPT = {
    "budget.account.MAX_UNACKNOWLEDGED_GRANTS": (
        "grants to one process not acknowledged; older ones count as one"
    ),
    "budget.config.MAX_PARTS": "weights of one destination's classes and tenants",
    "budget.fair_share.MAX_CREDIT": NUMBER,
    "budget.demand.MAX_PARTS": "parts of one destination's need told apart; the others count as one",
    "dispatch.endpoint_list.MAX_POLL_RETRY_US": NUMBER,
    "journal.__main__.MAX_NAMED": "names on one printed line; the report has them all",
    "journal.format.MAX_FRAME_NUMBER": NUMBER,
    "journal.format.MAX_V1_RECORD_BYTES": TEXT,
    "journal.format.MAX_RECORD_BYTES": TEXT,
    "lab.load_plan.MAX_MESSAGES": "two million",
    "lab.experiment_model.MAX_FORWARDERS": "real processes on the one machine of a trial",
    "lab.experiment_model.MAX_PEERS": "real processes on the one machine of a trial",
    "lab.experiment_model.MAX_RATE": NUMBER,
    "lab.sweep.MAX_JOBS": "trials at once on one machine",
    "lease.holder.MAX_PENDING_REQUESTS": "renewals of one lease under way; later answers are of no use",
    "lease.types.MAX_EPOCH_JUMP": NUMBER,
    "lease.types.MAX_NOTE_ENTRIES": "entries of one lease's note",
    "lease.types.MAX_TEXT_LENGTH": TEXT,
    "member.roster.MAX_NAME_LENGTH": TEXT,
    "forwarder.admin.admin_server.BACKLOG": (
        "operators, who hold descriptors of the forwarder's: 16 of them at a time"
    ),
    "forwarder.admin.admin_server.MAX_BODY_BYTES": TEXT,
    "forwarder.admin.admin_server.MAX_CONNECTIONS": "operators, who hold descriptors of the forwarder's",
    "forwarder.admin.admin_server.MAX_CONFIG_BYTES": TEXT,
    "forwarder.admin.admin_server.MAX_HEADER_BYTES": TEXT,
    "forwarder.outbound.responses.MAX_LIMIT_PER_S": NUMBER,
    "forwarder.outbound.responses.MAX_RETRY_AFTER_US": NUMBER,
    "forwarder.inbound.client_connection.MAX_PIPELINED_REQUESTS": ONE,
    "forwarder.inbound.client_connection.MAX_QUEUED_REQUESTS": ONE,
    "forwarder.fleet.member.MAX_RETRY_MS": NUMBER,
    "forwarder.fleet.quotas.MAX_PART_NAME_BYTES": TEXT,
    "forwarder.fleet.state_file.MAX_FILE_BYTES": TEXT,
    "forwarder.handover.source.MAX_HOLD_TIMEOUT_S": NUMBER,
    "forwarder.engine.call_dispatch.MAX_EARLY_TIMEOUT_US": NUMBER,
    "dispatch.message_queues.MAX_SPARE_CLASS_QUEUES": ONE,
    "forwarder.http1.MAX_BODY_BYTES": TEXT,
    "forwarder.http1.MAX_HEADER_BYTES": TEXT,
    "forwarder.http1.MAX_LIST_BYTES": TEXT,
    "forwarder.outbound.idle_connections.MAX_IDLE_PER_ENDPOINT": ONE,
    "forwarder.handover.connection.MAX_LINE_BYTES": TEXT,
    "forwarder.handover.connection.MAX_SOCKET_PATH_BYTES": TEXT,
    "forwarder.config.validation.MAX_DEPTH": "objects within each other",
    "forwarder.inbound.server.MAX_UNREAD_BYTES": TEXT,
    "registry.budget_extension.MAX_CHECK_INTERVAL_US": NUMBER,
    "registry.service_context.MAX_CACHED_ANSWER_BYTES": TEXT,
    "registry.discovery_api.MAX_HOLD_MS": NUMBER,
    "registry.http_server.MAX_LINE_BYTES": TEXT,
    "session.session_directory.MAX_HOPS": "forwarders that one message may go through",
    "shard.map_validation.MAX_MOVED_SHARE": NUMBER,
    "shard.shard_map.MAX_INTEGER_DIGITS": TEXT,
    "shard.shard_map.MAX_GENERATION": NUMBER,
    "shard.migration.MAX_GENERATION_LEAD": NUMBER,
    "shard.plan_cells.MAX_PIECES": "pieces that one range is split into at once",
}
ALSO = {"session.messages.ITEM_LIMIT", "registry.storage.MAX_CACHED_NOTICES"}
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
    bounds = Limits()
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


@pytest.mark.parametrize("budgets, peers", [(LEAST, LEAST), (MAX_BUDGETS, 10_000)])
def test_a_file_with_so_many_budgets_and_peers_is_taken(
    budgets: int, peers: int
) -> None:
    told = parse_fleet(fleet(budgets, peers), "f")
    assert len(told.budgets) == budgets and len(told.peers) == peers


def test_a_file_with_so_many_faults_is_told_of_1024(tmp_path: Path) -> None:
    file = {
        "name": "f",
        "listen": "127.0.0.1:9",
        "discovery": "127.0.0.1:9",
        "settings": SETTINGS,
    }
    old = parse_config(
        {**file, "fleet": fleet(MAX_BUDGETS, 0)}, {"LB_STATE": str(tmp_path)}
    )
    bad = fleet(MAX_BUDGETS, 0)
    for budget in bad["budgets"]:
        budget["calls"] = 0
    found = validate_replacement(
        json.dumps({**file, "fleet": bad}).encode(), old, {"LB_STATE": str(tmp_path)}
    ).faults
    assert len(found) == MAX_REPORTED >= LEAST
    assert {tuple(fault) for fault in found} == {("path", "fault")}
    assert len({fault["path"] for fault in found}) == MAX_REPORTED


def test_demand_is_counted_for_as_many_destinations_as_the_service_takes() -> None:
    books = FleetQuotas((), 0.0, {}, 0)
    for destination in range(ENDPOINTS):
        books.record_demand(destination, "order/a-tenant", 10)
    told = books.needs(
        {ENDPOINTS + n: {"pay/another-tenant": 1} for n in range(10)}, 20
    )
    assert len(told) == MAX_BUDGETS and parse_demand(told)
    assert len(books.demand) == MAX_BUDGETS


def test_a_beat_stays_within_the_service_s_body_by_merging_parts() -> None:
    named = parse_fleet(fleet(MAX_BUDGETS, 0), "f").budgets
    books = FleetQuotas(named, 0.0, {}, 0)
    for destination in range(MAX_BUDGETS):
        for tenant in range(20):
            books.record_demand(destination, f"a-class-of-messages/tenant-{tenant}", 10)
    told = books.needs({}, 20)
    assert len(told) == MAX_BUDGETS and {
        sum(parts.values()) for parts in told.values()
    } == {20}
    holds = {str(d): [10**6, 10**6] for d in range(MAX_BUDGETS)}
    assert len(json.dumps({"needs": told, "holds": holds})) < Limits().body_bytes


def test_parts_that_wait_past_those_told_apart_count_as_one_and_none_is_left_out() -> (
    None
):
    wants = DemandTracker(1_000)
    for n in range(100):
        wants.record_calls(10, f"come-{n}")
    needs = wants.demand_by_part(20, {f"waits-{n}": 1 for n in range(100)})
    assert len(needs) <= MAX_PARTS and sum(needs.values()) == 200


def test_what_a_successor_needs_of_10000_budgets_takes_a_small_part_of_the_disk(
    tmp_path: Path,
) -> None:
    books = FleetQuotas(parse_fleet(fleet(MAX_BUDGETS, 0), "f").budgets, 0.0, {}, 0)
    for account in books.accounts.values():
        for at in range(50):
            account.quota.window.add(10**12 + 1_000 * at, 1)
    keep = StateFile(tmp_path, False)
    records = books.close(10**12 + 10**5)
    assert keep.write(*keep.encode(Token(3, 4), records)) is None
    assert keep.path.stat().st_size < 300_000
    token, kept = StateFile(tmp_path, False).read()
    assert token == Token(3, 4) and kept == records


# Members and messages


def test_a_whole_fleet_that_is_lost_is_told_of() -> None:
    table = LeaseTable(LeaseSettings(0.02, 1_000, 1_000_000))
    table.commit(table.start(0, True))
    roster = Roster(table, 1_000_000)
    roster.on_started(0)
    names = [f"forwarder-{n:05}" for n in range(MOST_MEMBERS_GONE + 10)]
    for name in names:
        made = roster.join(2_000_000, name, "a", "h:1")
        assert isinstance(made, LeaseGrant)
        roster.commit(made.record)
    for record in roster.tick(10_000_000):
        roster.commit(record)
    gone = [m for m in roster.members.values() if m.state == "lost"]
    assert len(gone) == MOST_MEMBERS_GONE >= LEAST and roster.active_members() == []
    since = roster.changes_since(roster.oldest_known_version, roster.epoch)
    assert not since["whole"] and len(since["members"]) == MOST_MEMBERS_GONE


def test_lost_messages_are_named() -> None:
    state = JournalState()
    state.mark_in_doubt()
    for n in range(MAX_LOST_MESSAGES + 1):
        state.apply_record(json.dumps(["a", f"m{n}", 0, 1, "s1"]).encode())
    assert len(state.lost_messages) == MAX_LOST_MESSAGES >= LEAST


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


def listing(numbers: range, health: str = "up", whole: bool = True) -> EndpointList:
    return EndpointList(
        1, whole, tuple(map(parse_endpoint, (endpoint(n, health) for n in numbers)))
    )


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
            EndpointList(0, True, ()),
            parse_settings(SETTINGS),
            (),
        )
    )


def known_by(e: Engine, told: EndpointList) -> None:
    """Each target that was told goes by one number, that leads back to its name."""
    entries = e.to_entries(told)
    e.apply_endpoint_list(told)
    hosts: dict[int, ListedEndpoint] = {
        entry.endpoint: h for entry, h in zip(entries, told.endpoints, strict=True)
    }
    assert len(hosts) == len(told.endpoints) and {
        n: e.endpoint_names.get(n) for n in hosts
    } == {n: h.name for n, h in hosts.items()}
    assert all(e.endpoint_ids[h.name] == n for n, h in hosts.items())


def test_a_first_list_of_44000_endpoints_goes_by_one_number_each(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        e = engine(tmp_path)
        known_by(e, listing(range(ENDPOINTS)))
        assert len(e.known_destinations) == ENDPOINTS
        known_by(e, listing(range(ENDPOINTS)))
        assert len(e.known_destinations) == ENDPOINTS
        e.store.close()

    asyncio.run(scene())


def test_endpoints_that_left_are_remembered_and_forgotten_in_time(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        e = engine(tmp_path)
        known_by(e, listing(range(LEAST * 2)))
        before = dict(e.endpoint_ids)
        e.apply_endpoint_list(listing(range(LEAST * 2), "removed", whole=False))
        assert not e.endpoints and e.endpoint_ids == before
        known_by(e, listing(range(LEAST * 2)))
        assert e.endpoint_ids == before  # they came back, and are who they were
        for n in range(3 * MAX_REMOVED_ENDPOINTS):
            e.endpoint_id(f"gone{n}")
            assert (
                len(e.endpoint_ids)
                == len(e.endpoint_names)
                <= len(e.endpoints) + MAX_REMOVED_ENDPOINTS + 1
            )
        assert (
            before.items() <= e.endpoint_ids.items()
            and f"gone{3 * MAX_REMOVED_ENDPOINTS - LEAST}" in e.endpoint_ids
        )
        e.store.close()

    asyncio.run(scene())


def test_a_list_of_44000_endpoints_outlasts_a_restart_on_a_small_disk(
    tmp_path: Path,
) -> None:
    store = MessageStore(tmp_path, 3_000_000)
    hosts = {h["host"]: h for h in map(endpoint, range(ENDPOINTS))}
    store.append_endpoint_list(7, hosts, 0, "127.0.0.1:1")
    assert store.has_capacity(10_000)
    for n in range(1_000):
        store.append_message(
            AcceptedMessage(f"m{n}", "order", 7, 10**15, None, None, b"x" * 1_000)
        )
        store.append_finished(f"m{n}")
        store.flush()
    assert (
        not store.failed and store.log.rewrites <= 2
    )  # not each round writes the list anew
    back = MessageStore(tmp_path, 3_000_000)
    assert (back.hosts, back.seq, back.source) == (
        hosts,
        7,
        "127.0.0.1:1",
    ) and not back.report.damaged
    assert (
        back.compact() and MessageStore(tmp_path, 3_000_000, write=False).hosts == hosts
    )


def test_a_change_of_a_large_list_is_written_alone(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 3_000_000)
    hosts = {h["host"]: h for h in map(endpoint, range(4_000))}
    store.append_endpoint_list(7, hosts, 0, "127.0.0.1:1")
    store.flush()
    before = store.log.bytes_written
    for n in range(100):  # one drained, one gone, one new
        hosts.pop(endpoint(n)["host"])
        hosts.update(
            (h["host"], h)
            for h in (endpoint(n + 1_000, "draining"), endpoint(n + 4_000))
        )
        store.append_endpoint_list(8 + n, hosts, 0, "127.0.0.1:1")
        store.flush()
    assert store.log.bytes_written - before < 100 * 1_000
    back = MessageStore(tmp_path, 3_000_000, write=False)
    assert (back.hosts, back.seq) == (hosts, 107) and not back.report.damaged


def test_a_change_whose_list_was_lost_leaves_no_version_to_go_on_from(
    tmp_path: Path,
) -> None:
    store = MessageStore(tmp_path, 3_000_000)
    hosts = {h["host"]: h for h in map(endpoint, range(10))}
    store.append_endpoint_list(7, hosts, 0, "127.0.0.1:1")
    for seq in (8, 9):
        hosts[endpoint(seq)["host"]] = endpoint(seq, "draining")
        store.append_endpoint_list(seq, hosts, 0, "127.0.0.1:1")
    store.flush()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.index(b'["u",7,8') + 2] ^= 1
    (tmp_path / "journal").write_bytes(data)
    back = MessageStore(tmp_path, 3_000_000, write=False)
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
        assert len(body) > ENDPOINTS * 190 and len(body) < MAX_LIST_BYTES
        peer = await Peer(always(Answer(200, body=body))).start()
        client = HttpClient(Address("127.0.0.1", peer.port))
        answer = await client.request("GET", "/discovery/hosts", 20.0)
        assert len(parse_endpoint_list(json.loads(answer.body)).endpoints) == ENDPOINTS
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
        client = HttpClient(Address("127.0.0.1", run.list))
        answer = await client.request("GET", "/discovery/hosts", PATIENCE)
        assert (
            len(parse_endpoint_list(json.loads(answer.body)).endpoints) == ENDPOINTS
            and len(answer.body) > held
        )
        client.close()
        taken, most = await slowly(run.list)
        assert (
            taken > len(answer.body)
            and 0 < most <= held
            and run.service.metrics.slow_closed == 0
        )

    play(tmp_path, test, unsent_bytes=held)


def test_kept_answers_are_bounded_by_their_bytes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service_context, "MAX_CACHED_ANSWER_BYTES", 20_000)

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
                if isinstance(h, service_context.ServiceContext)
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
            if isinstance(c, LimitedConnection) and c.transport is not None
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
