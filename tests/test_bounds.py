"""Checks that no list of processes, servers, destinations or records is limited to fewer
than 1,024 entries, and that the lists of the largest fleet (540 forwarders, 44,000
destinations, 10,000 budgets) are accepted completely.
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
from rainfall.member.roster import MAX_DEPARTED_MEMBERS as DEPARTED_LIMIT
from rainfall.member.roster import LeaseGrant, Roster
from rainfall.registry import service_context
from rainfall.registry.http_server import LimitedConnection
from rainfall.registry.limits import Limits
from rainfall.wirehost import parse_settings
from tests.support.list_service import RunningService, run_service
from tests.support.loopback_peers import (
    PATIENCE,
    SETTINGS,
    Answer,
    Peer,
    answer_in_turn,
)
from tests.support.paths import ROOT

MIN_LIST_BOUND = 1_024
ENDPOINTS = 44_000
LISTS = {
    "budget.config.MAX_BUDGETS",
    "dispatch.endpoint_list.MAX_REMOVED_ENDPOINTS",
    "journal.state.MAX_FINISHED_IDS",
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
TEXT = "bytes or characters, not a list"
NUMBER = "a time or a number that is received, not a list"
ONE = "of one connection, call or endpoint, independent of the fleet's size"
EXEMPT = {
    "budget.account.MAX_UNACKNOWLEDGED_GRANTS": (
        "unacknowledged grants to one process; older ones are merged into one"
    ),
    "budget.config.MAX_PARTS": "weights of one destination's classes and tenants",
    "budget.fair_share.MAX_CREDIT": NUMBER,
    "budget.demand.MAX_PARTS": "separate parts of one destination's demand; the others are merged into one",
    "dispatch.endpoint_list.MAX_POLL_RETRY_US": NUMBER,
    "dispatch.idempotency.MAX_SEND_DELAY_US": NUMBER,
    "journal.__main__.MAX_LISTED_IDS": "names on one printed line; the report contains all of them",
    "journal.state.MAX_FINISHED_IDS_BYTES": TEXT,
    "journal.format.MAX_FRAME_NUMBER": NUMBER,
    "journal.format.MAX_V1_RECORD_BYTES": TEXT,
    "journal.format.MAX_RECORD_BYTES": TEXT,
    "lab.load_plan.MAX_MESSAGES": "two million",
    "lab.experiment_model.MAX_FORWARDERS": "real processes on the one machine of a trial",
    "lab.experiment_model.MAX_PEERS": "real processes on the one machine of a trial",
    "lab.experiment_model.MAX_RATE": NUMBER,
    "lab.sweep.MAX_JOBS": "trials at once on one machine",
    "lease.holder.MAX_PENDING_REQUESTS": "renewals of one lease in flight; later answers are of no use",
    "lease.types.MAX_EPOCH_JUMP": NUMBER,
    "lease.types.MAX_NOTE_ENTRIES": "entries of one lease's note",
    "lease.types.MAX_TEXT_LENGTH": TEXT,
    "member.roster.MAX_NAME_LENGTH": TEXT,
    "forwarder.admin.admin_server.BACKLOG": (
        "admin connections, which use the forwarder's descriptors: 16 at a time"
    ),
    "forwarder.admin.admin_server.MAX_BODY_BYTES": TEXT,
    "forwarder.admin.admin_server.MAX_CONNECTIONS": (
        "admin connections, which use the forwarder's descriptors"
    ),
    "forwarder.admin.admin_server.MAX_CONFIG_BYTES": TEXT,
    "forwarder.admin.admin_server.MAX_HEADER_BYTES": TEXT,
    "forwarder.admin.admin_server.MAX_HELD_BYTES": TEXT,
    "forwarder.outbound.responses.MAX_LIMIT_PER_S": NUMBER,
    "forwarder.outbound.responses.MAX_RETRY_AFTER_US": NUMBER,
    "forwarder.inbound.client_connection.MAX_QUEUED_BYTES": TEXT,
    "forwarder.inbound.client_connection.MAX_QUEUED_REQUESTS": ONE,
    "forwarder.inbound.client_connection.MAX_REQUESTS_PER_TURN": ONE,
    "forwarder.inbound.client_connection.MAX_UNREAD_BYTES": TEXT,
    "forwarder.fleet.member.MAX_RETRY_MS": NUMBER,
    "forwarder.fleet.quotas.MAX_PART_NAME_BYTES": TEXT,
    "forwarder.fleet.state_file.MAX_FILE_BYTES": TEXT,
    "forwarder.handover.source.MAX_HOLD_TIMEOUT_S": NUMBER,
    "forwarder.discovery.late_responses.MAX_LATE_CONNECTIONS": (
        "connections to the one discovery agent"
    ),
    "forwarder.engine.call_dispatch.MAX_EARLY_TIMEOUT_US": NUMBER,
    "forwarder.engine.message_limits.MAX_INPUT_MEMORY_BYTES": TEXT,
    "dispatch.message_queues.MAX_SPARE_CLASS_QUEUES": ONE,
    "forwarder.http1.MAX_BODY_BYTES": TEXT,
    "forwarder.http1.MAX_HEADER_BYTES": TEXT,
    "forwarder.http1.MAX_LIST_BYTES": TEXT,
    "forwarder.outbound.idle_connections.MAX_IDLE_PER_ENDPOINT": ONE,
    "forwarder.handover.connection.MAX_LINE_BYTES": TEXT,
    "forwarder.handover.connection.MAX_SOCKET_PATH_BYTES": TEXT,
    "forwarder.handover.connection.MAX_UNSENT_BYTES": TEXT,
    "forwarder.config.validation.MAX_DEPTH": "nesting of objects",
    "registry.budget_extension.MAX_CHECK_INTERVAL_US": NUMBER,
    "registry.service_context.MAX_CACHED_ANSWER_BYTES": TEXT,
    "registry.discovery_api.MAX_HOLD_MS": NUMBER,
    "registry.http_server.MAX_LINE_BYTES": TEXT,
    "session.session_directory.MAX_HOPS": "forwarders that one message may pass through",
    "shard.map_validation.MAX_MOVED_SHARE": NUMBER,
    "shard.shard_map.MAX_INTEGER_DIGITS": TEXT,
    "shard.shard_map.MAX_GENERATION": NUMBER,
    "shard.migration.MAX_GENERATION_LEAD": NUMBER,
    "shard.plan_cells.MAX_PIECES": "pieces that one range is split into at once",
}
OTHER_LIST_BOUNDS = {
    "session.messages.ITEM_LIMIT",
    "registry.storage.MAX_CACHED_NOTICES",
}
"""Bounds whose names do not follow the pattern that `constants` searches for."""


def sources() -> Iterator[tuple[str, ast.Module]]:
    for path in sorted((ROOT / "rainfall").rglob("*.py")):
        module = ".".join(path.relative_to(ROOT / "rainfall").with_suffix("").parts)
        yield module, ast.parse(path.read_text())


def constants() -> Iterator[str]:
    """Yields the named bounds, each as `module.NAME`."""
    for module, tree in sources():
        for node in tree.body:
            names = [
                node_name.id
                for target in getattr(node, "targets", [])
                for node_name in ast.walk(target)
                if isinstance(node_name, ast.Name)
            ]
            yield from (
                f"{module}.{name}"
                for name in names
                if f"{module}.{name}" in OTHER_LIST_BOUNDS
                or "BACKLOG" in name
                or {"MOST", "MAX"} & set(name.split("_"))
            )


def test_each_named_list_bound_is_at_least_1024_or_exempt_with_a_reason() -> None:
    assert set(constants()) == LISTS | set(EXEMPT) and not LISTS & set(EXEMPT)
    found = {}
    for qualified_name in LISTS:
        module, _, name = qualified_name.rpartition(".")
        found[qualified_name] = getattr(
            importlib.import_module(f"rainfall.{module}"), name
        )
    assert {
        qualified_name: bound
        for qualified_name, bound in found.items()
        if bound < MIN_LIST_BOUND
    } == {}
    bounds = Limits()
    assert min(bounds.watchers, bounds.connections, bounds.queued) >= MIN_LIST_BOUND


def test_no_literal_list_bound_is_below_1024() -> None:
    """Finds literal numbers from 17 to 1,023 passed as a length or backlog, or compared with
    `len()`.
    """
    found = []
    for module, tree in sources():
        for node in ast.walk(tree):
            limits: list[ast.expr | None] = []
            if isinstance(node, ast.Call):
                limits = [
                    keyword.value
                    for keyword in node.keywords
                    if keyword.arg in ("maxlen", "backlog", "maxsize")
                ]
                if isinstance(node.func, ast.Attribute) and node.func.attr == "listen":
                    limits += node.args
            elif (
                isinstance(node, ast.Compare)
                and isinstance(node.left, ast.Call)
                and getattr(node.left.func, "id", "") == "len"
                and isinstance(node.ops[0], ast.Gt | ast.GtE)
            ):
                limits = [*node.comparators]
            numbers = [
                value.value
                for value in limits
                if isinstance(value, ast.Constant) and isinstance(value.value, int)
            ]
            found += [
                f"{module}: {ast.unparse(node)}"
                for number in numbers
                if 16 < number < MIN_LIST_BOUND
            ]
    assert [
        line for line in found if not re.search(r"len\((key|text|order_key)\)", line)
    ] == []


# The configuration file and heartbeats


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


@pytest.mark.parametrize(
    "budgets, peers", [(MIN_LIST_BOUND, MIN_LIST_BOUND), (MAX_BUDGETS, 10_000)]
)
def test_configuration_with_many_budgets_and_peers_is_accepted(
    budgets: int, peers: int
) -> None:
    parsed = parse_fleet(fleet(budgets, peers), "f")
    assert len(parsed.budgets) == budgets and len(parsed.peers) == peers


def test_configuration_with_many_faults_reports_up_to_the_limit(tmp_path: Path) -> None:
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
    assert len(found) == MAX_REPORTED >= MIN_LIST_BOUND
    assert {tuple(fault) for fault in found} == {("path", "fault")}
    assert len({fault["path"] for fault in found}) == MAX_REPORTED


def test_demand_is_recorded_for_as_many_destinations_as_the_service_accepts() -> None:
    quotas = FleetQuotas((), 0.0, {}, 0)
    for destination in range(ENDPOINTS):
        quotas.record_demand(destination, "order/a-tenant", 10)
    needs = quotas.needs(
        {ENDPOINTS + n: {"pay/another-tenant": 1} for n in range(10)}, 20
    )
    assert len(needs) == MAX_BUDGETS and parse_demand(needs)
    assert len(quotas.demand) == MAX_BUDGETS


def test_heartbeat_merges_demand_parts_to_stay_within_the_body_limit() -> None:
    budgets = parse_fleet(fleet(MAX_BUDGETS, 0), "f").budgets
    quotas = FleetQuotas(budgets, 0.0, {}, 0)
    for destination in range(MAX_BUDGETS):
        for tenant in range(20):
            quotas.record_demand(
                destination, f"a-class-of-messages/tenant-{tenant}", 10
            )
    needs = quotas.needs({}, 20)
    assert len(needs) == MAX_BUDGETS and {
        sum(parts.values()) for parts in needs.values()
    } == {20}
    holds = {str(budget): [10**6, 10**6] for budget in range(MAX_BUDGETS)}
    assert len(json.dumps({"needs": needs, "holds": holds})) < Limits().body_bytes


def test_demand_parts_beyond_the_limit_are_merged_without_loss() -> None:
    demand = DemandTracker(1_000)
    for n in range(100):
        demand.record_calls(10, f"come-{n}")
    needs = demand.demand_by_part(20, {f"waits-{n}": 1 for n in range(100)})
    assert len(needs) <= MAX_PARTS and sum(needs.values()) == 200


def test_state_file_of_10000_budgets_is_small(
    tmp_path: Path,
) -> None:
    quotas = FleetQuotas(parse_fleet(fleet(MAX_BUDGETS, 0), "f").budgets, 0.0, {}, 0)
    for account in quotas.accounts.values():
        for at in range(50):
            account.quota.window.add(10**12 + 1_000 * at, 1)
    state_file = StateFile(tmp_path, False)
    records = quotas.close(10**12 + 10**5)
    assert state_file.write(*state_file.encode(Token(3, 4), records)) is None
    assert state_file.path.stat().st_size < 300_000
    token, read_records = StateFile(tmp_path, False).read()
    assert token == Token(3, 4) and read_records == records


# Members and messages


def test_loss_of_a_whole_fleet_is_reported() -> None:
    table = LeaseTable(LeaseSettings(0.02, 1_000, 1_000_000))
    table.commit(table.start(0, True))
    roster = Roster(table, 1_000_000)
    roster.on_started(0)
    names = [f"forwarder-{n:05}" for n in range(DEPARTED_LIMIT + 10)]
    for name in names:
        grant = roster.join(2_000_000, name, "a", "h:1")
        assert isinstance(grant, LeaseGrant)
        roster.commit(grant.record)
    for record in roster.tick(10_000_000):
        roster.commit(record)
    lost = [m for m in roster.members.values() if m.state == "lost"]
    assert (
        len(lost) == DEPARTED_LIMIT >= MIN_LIST_BOUND and roster.active_members() == []
    )
    since = roster.changes_since(roster.oldest_known_version, roster.epoch)
    assert not since["whole"] and len(since["members"]) == DEPARTED_LIMIT


def test_lost_messages_are_listed_up_to_the_limit() -> None:
    state = JournalState()
    state.mark_all_in_doubt()
    for n in range(MAX_LOST_MESSAGES + 1):
        state.apply_record(json.dumps(["a", f"m{n}", 0, 1, "s1"]).encode())
    assert len(state.lost_messages) == MAX_LOST_MESSAGES >= MIN_LIST_BOUND


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


def apply_and_check_numbers(forwarder: Engine, endpoint_list: EndpointList) -> None:
    """Applies the list and asserts that each endpoint has one number, mapped back to its name."""
    entries = forwarder.to_entries(endpoint_list)
    forwarder.apply_endpoint_list(endpoint_list)
    hosts: dict[int, ListedEndpoint] = {
        entry.endpoint: listed
        for entry, listed in zip(entries, endpoint_list.endpoints, strict=True)
    }
    assert len(hosts) == len(endpoint_list.endpoints) and {
        n: forwarder.endpoint_names.get(n) for n in hosts
    } == {n: listed.name for n, listed in hosts.items()}
    assert all(forwarder.endpoint_ids[listed.name] == n for n, listed in hosts.items())


def test_first_list_of_44000_endpoints_gets_one_number_each(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        forwarder = engine(tmp_path)
        apply_and_check_numbers(forwarder, listing(range(ENDPOINTS)))
        assert len(forwarder.known_destinations) == ENDPOINTS
        apply_and_check_numbers(forwarder, listing(range(ENDPOINTS)))
        assert len(forwarder.known_destinations) == ENDPOINTS
        forwarder.store.close()

    asyncio.run(scene())


def test_removed_endpoints_keep_their_numbers_up_to_the_limit(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        forwarder = engine(tmp_path)
        apply_and_check_numbers(forwarder, listing(range(MIN_LIST_BOUND * 2)))
        before = dict(forwarder.endpoint_ids)
        forwarder.apply_endpoint_list(
            listing(range(MIN_LIST_BOUND * 2), "removed", whole=False)
        )
        assert not forwarder.endpoints and forwarder.endpoint_ids == before
        apply_and_check_numbers(forwarder, listing(range(MIN_LIST_BOUND * 2)))
        assert forwarder.endpoint_ids == before  # they returned and keep their numbers
        for n in range(3 * MAX_REMOVED_ENDPOINTS):
            forwarder.endpoint_id(f"gone{n}")
            assert (
                len(forwarder.endpoint_ids)
                == len(forwarder.endpoint_names)
                <= len(forwarder.endpoints) + MAX_REMOVED_ENDPOINTS + 1
            )
        assert (
            before.items() <= forwarder.endpoint_ids.items()
            and f"gone{3 * MAX_REMOVED_ENDPOINTS - MIN_LIST_BOUND}"
            in forwarder.endpoint_ids
        )
        forwarder.store.close()

    asyncio.run(scene())


def test_list_of_44000_endpoints_survives_a_restart_on_a_small_disk(
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
    )  # the list is not written again in each round
    back = MessageStore(tmp_path, 3_000_000)
    assert (back.hosts, back.seq, back.source) == (
        hosts,
        7,
        "127.0.0.1:1",
    ) and not back.report.damaged
    assert (
        back.compact() and MessageStore(tmp_path, 3_000_000, write=False).hosts == hosts
    )


def test_change_of_a_large_list_is_written_without_the_rest_of_the_list(
    tmp_path: Path,
) -> None:
    store = MessageStore(tmp_path, 3_000_000)
    hosts = {h["host"]: h for h in map(endpoint, range(4_000))}
    store.append_endpoint_list(7, hosts, 0, "127.0.0.1:1")
    store.flush()
    before = store.log.bytes_written
    for n in range(100):  # one drained, one removed, one added
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


def test_list_change_after_a_damaged_one_leaves_no_valid_version(
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
def test_list_of_44000_endpoints_is_received_completely_over_a_socket(
    indent: int | None,
) -> None:
    async def scene() -> None:
        listing_ = {
            "seq": 1,
            "whole": True,
            "hosts": [endpoint(n) for n in range(ENDPOINTS)],
        }
        body = json.dumps(listing_, indent=indent).encode()
        assert len(body) > ENDPOINTS * 190 and len(body) < MAX_LIST_BYTES
        peer = await Peer(answer_in_turn(Answer(200, body=body))).start()
        client = HttpClient(Address("127.0.0.1", peer.port))
        answer = await client.request("GET", "/discovery/hosts", 20.0)
        assert len(parse_endpoint_list(json.loads(answer.body)).endpoints) == ENDPOINTS
        client.close()

    asyncio.run(scene())


def test_list_service_sends_44000_endpoints_completely_with_a_bounded_buffer(
    tmp_path: Path,
) -> None:
    buffer_limit = 1024 * 1024

    async def test(run: RunningService) -> None:
        for first in range(0, ENDPOINTS, 4_000):
            ops = [
                {"op": "register", **endpoint(n)} for n in range(first, first + 4_000)
            ]
            assert (await run.request("/v1/hosts", {"ops": ops}))[0] == 200
        client = HttpClient(Address("127.0.0.1", run.list))
        answer = await client.request("GET", "/discovery/hosts", PATIENCE)
        assert (
            len(parse_endpoint_list(json.loads(answer.body)).endpoints) == ENDPOINTS
            and len(answer.body) > buffer_limit
        )
        client.close()
        bytes_read, largest_buffer = await read_list_slowly(run.list)
        assert (
            bytes_read > len(answer.body)
            and 0 < largest_buffer <= buffer_limit
            and run.service.metrics.slow_closed == 0
        )

    run_service(tmp_path, test, unsent_bytes=buffer_limit)


def test_cached_answers_are_bounded_in_bytes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service_context, "MAX_CACHED_ANSWER_BYTES", 20_000)

    async def test(run: RunningService) -> None:
        versions = []
        for n in range(10):
            operations = [
                {"op": "register", **endpoint(10 * n + offset)} for offset in range(10)
            ]
            versions.append(
                (await run.request("/v1/hosts", {"ops": operations}))[2]["seq"]
            )
        for version in versions:
            assert (await run.request(f"/discovery/hosts?from={version - 1}"))[2][
                "seq"
            ] == versions[-1]
            cached = [
                answer
                for context in gc.get_objects()
                if isinstance(context, service_context.ServiceContext)
                for answer in context._answers.values()
            ]
            assert cached and sum(map(len, cached)) <= 20_000

    run_service(tmp_path, test)


async def read_list_slowly(port: int) -> tuple[int, int]:
    """Reads the list with a small receive window.

    Returns the bytes read and the largest write buffer of the service's open connections.
    """
    loop, bytes_read, largest_buffer = asyncio.get_running_loop(), 0, 0
    request = b"GET /discovery/hosts HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", port))
        await loop.sock_sendall(sock, request)
        bytes_read += len(await loop.sock_recv(sock, 1))
        open_here = [
            connection
            for connection in gc.get_objects()
            if isinstance(connection, LimitedConnection)
            and connection.transport is not None
        ]
        while data := await loop.sock_recv(sock, 64 * 1024):
            bytes_read += len(data)
            sizes = [
                connection.transport.get_write_buffer_size()
                for connection in open_here
                if connection.transport is not None
            ]
            largest_buffer = max([largest_buffer, *sizes])
    return bytes_read, largest_buffer
