"""Growth of the list service with its members, by counted work.

No verdict depends on a clock.
"""

from __future__ import annotations

import asyncio
import resource
import sys
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import pytest

from measure.scale.hollow_member import (
    Call,
    CountingConnection,
    HollowMember,
    ServiceAddresses,
)
from measure.scale.hollow_peaks import STEP_NS, peaks
from measure.scale.hollow_process import Sample, is_alive
from rainfall.forwarder.config import fleet_config
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.discovery import endpoint_watch
from rainfall.forwarder.fleet.heartbeat_messages import encode_heartbeat
from rainfall.forwarder.fleet.quotas import FleetQuotas
from rainfall.lease.fencing_token import Token
from rainfall.lease.holder import LeaseHolder
from rainfall.lease.table import LeaseGrant, LeaseTable
from rainfall.lease.types import LeaseSettings
from rainfall.member.roster import Member, Roster
from rainfall.registry.budget_extension import BudgetExtension
from rainfall.registry.fleet_watch import Watchers
from tests.support.list_service import (
    Clock,
    RunningService,
    beat,
    run_service,
    until,
    with_fleet,
)
from tests.support.paths import ROOT

SECOND_US = 1_000_000
LEASE_US = 3 * SECOND_US
AFTER_START_US = 100 * SECOND_US
"""By then the longest lease of an unknown history has expired."""
BYTES_PER_BUDGET = 115
"""Bytes of a heartbeat with its answer for each budget, beyond `BARE_BEAT_BYTES`.
"""
BARE_BEAT_BYTES = 200
CALLS_PER_ACCOUNT = 60
"""Function calls of a plan at rest, for each member and budget."""
SNAPSHOT_CALLS_PER_ACCOUNT = 9
"""Function calls of a snapshot of all budgets, for each member and budget."""
BEAT_CALLS_PER_BUDGET, CALLS_PER_BEAT = 7, 14
"""Function calls of an unchanged heartbeat: for each budget, and in addition."""
TIMEOUT_S = 20.0


async def service_process(
    folder: Path, descriptors: int
) -> tuple[asyncio.subprocess.Process, int]:
    """Start a list service with a hard limit of file descriptors.

    Returns its process and the port of its fleet address.
    """
    address = "127.0.0.1:0"
    arguments = [
        "--state",
        folder / "state",
        "--listen",
        address,
        "--write",
        address,
        "--fleet",
        address,
        "--new",
        "--ports",
        folder / "ports",
    ]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rainfall.registry",
        *map(str, arguments),
        cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL,
        preexec_fn=lambda: resource.setrlimit(
            resource.RLIMIT_NOFILE, (descriptors, descriptors)
        ),
    )
    async with asyncio.timeout(TIMEOUT_S):
        while not (folder / "ports").exists() or not (folder / "ports").read_text():
            await asyncio.sleep(0.02)
    return process, int((folder / "ports").read_text().split()[2])


@pytest.mark.parametrize("descriptors", [96])
def test_connections_beyond_the_descriptor_limit_get_503(
    tmp_path: Path, descriptors: int
) -> None:
    async def run() -> list[bytes]:
        process, port = await service_process(tmp_path, descriptors)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                links = [
                    await asyncio.open_connection("127.0.0.1", port)
                    for _ in range(descriptors)
                ]
                for _, writer in links:
                    writer.write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return [await reader.readline() for reader, _ in links]
        finally:
            process.kill()
            await process.wait()

    statuses = [line.split()[1] for line in asyncio.run(run())]
    assert set(statuses) == {b"200", b"503"}
    assert statuses.count(b"503") < descriptors // 2


class BudgetFleet:
    """Members and the service's budgets without I/O, on an injected clock.

    At construction they run until all shares have settled.
    """

    def __init__(self, members: int, budgets: int) -> None:
        self.service, self.now_us = BudgetExtension(LEASE_US, 0.02), 10 * SECOND_US
        self.service.epoch_raised(1)
        self.service.restore(0, True, None, [])
        budget_documents = [
            {
                "destination": str(number),
                "calls": 50 * members,
                "span_ms": 1_000,
                "reserve": 1,
                "members_max": 2 * members,
            }
            for number in range(budgets)
        ]
        self.commit(self.service.config_rows(0, budget_documents, "file"))
        self.commit(self.service.confirm_processes(0, None))
        self.needs = {str(number): {"order": 2} for number in range(budgets)}
        self.members = {
            Token(1, number + 1): FleetQuotas((), 0.02, {}, 0)
            for number in range(members)
        }
        for token in self.members:
            self.service.member_joined(0, f"member-{token.number}", token, None)
        for _ in range(12):
            self.turn()

    def commit(self, rows: list[dict[str, Any]]) -> None:
        for row in rows:
            self.service.commit(self.now_us, row)

    def turn(self) -> None:
        """Send a heartbeat of each member, then plan."""
        self.now_us += SECOND_US
        for token in self.members:
            self.beat(token)
        self.commit(self.service.plan(self.now_us, False, []))

    def beat(self, token: Token) -> int:
        """Return the bytes of one heartbeat's body and of the budgets in its answer."""
        books, holder = self.members[token], LeaseHolder(LEASE_US, 0.02, lambda: 0.5)
        holder.token = holder.highest_seen = token
        config = fleet_config.parse_fleet(
            {"service": "127.0.0.1:1", "site": "zone-0"}, f"member-{token.number}"
        )
        sent = encode_heartbeat(
            config,
            "127.0.0.1:1",
            "0" * 16,
            holder.start_request(self.now_us),
            self.needs,
            {"list": [1, 1], "holds": books.held_shares(token)},
        )
        response = self.service.handle_heartbeat(
            self.now_us,
            self.now_us + LEASE_US,
            config.name,
            token,
            msgspec.json.decode(sent),
        )
        answer = response.answer_fields()
        shares = {
            int(destination): share for destination, share in answer["shares"].items()
        }
        books.apply_shares(token, shares, self.now_us + LEASE_US, self.now_us)
        return len(sent) + len(msgspec.json.encode(answer))


def function_calls(work: Callable[[], Any]) -> int:
    """Count the calls of Python functions during some work."""
    calls = 0

    def count(_: Any, event: str, __: Any) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        work()
    finally:
        sys.setprofile(None)
    return calls


def test_heartbeat_size_grows_with_budgets_but_not_with_members() -> None:
    sizes = {
        (members, budgets): fleet.beat(Token(1, 1))
        for members, budgets in ((4, 1), (4, 10), (4, 100), (40, 10))
        for fleet in [BudgetFleet(members, budgets)]
    }
    for (_, budgets), size in sizes.items():
        assert size <= BARE_BEAT_BYTES + BYTES_PER_BUDGET * budgets
    assert abs(sizes[40, 10] - sizes[4, 10]) <= 10 * 4, "only digits of numbers differ"


def test_settled_plan_cost_is_bounded_by_the_number_of_accounts() -> None:
    for members, budgets in ((10, 3), (40, 3), (10, 30)):
        fleet = BudgetFleet(members, budgets)
        calls = function_calls(partial(fleet.service.plan, fleet.now_us + 1, False, []))
        assert calls <= CALLS_PER_ACCOUNT * members * budgets
        assert (
            function_calls(fleet.service.snapshot)
            <= SNAPSHOT_CALLS_PER_ACCOUNT * members * budgets
        )


def test_unchanged_heartbeat_does_not_process_budgets_again() -> None:
    for budgets in (10, 100):
        fleet = BudgetFleet(4, budgets)
        token = Token(1, 1)
        fields = {
            "needs": fleet.needs,
            "holds": fleet.members[token].held_shares(token),
        }
        send_heartbeat = partial(
            fleet.service.handle_heartbeat,
            fleet.now_us,
            fleet.now_us + LEASE_US,
            "member-1",
            token,
        )
        assert not send_heartbeat(fields).plan_soon
        again = function_calls(partial(send_heartbeat, fields))
        assert again <= BEAT_CALLS_PER_BUDGET * budgets + CALLS_PER_BEAT, again
        budget_documents = [
            *fleet.service.raw_budgets,
            {**fleet.service.raw_budgets[0], "destination": "new"},
        ]
        fleet.commit(fleet.service.config_rows(fleet.now_us, budget_documents, "file"))
        assert send_heartbeat({**fields, "needs": {**fleet.needs, "new": 5}}).plan_soon
        fleet.commit(
            fleet.service.config_rows(
                fleet.now_us, fleet.service.raw_budgets[:-1], "file"
            )
        )
        fleet.commit(fleet.service.config_rows(fleet.now_us, budget_documents, "file"))
        assert send_heartbeat(
            {**fields, "needs": {**fleet.needs, "new": 5}}
        ).plan_soon, "the budget that was added again receives the demand"
        assert (
            fleet.service.ledger.budget_accounts["new"].accounts[token].total_demand()
            == 5
        )


def test_budget_configuration_concerns_all_members_and_a_share_only_its_own() -> None:
    service = BudgetFleet(4, 1).service
    longer = [{**service.raw_budgets[0], "span_ms": 2_000}]
    rows = service.config_rows(0, longer, "file")
    assert [service.concerned_members(row) for row in rows] == [None]
    grant = ["0", "member-1", [1, 1], 9, 5, 1]
    assert service.concerned_members({"budgets": 9, "grants": [grant], "ends": []}) == {
        "member-1"
    }


def test_one_change_sends_one_entry_to_one_watcher_at_any_size() -> None:
    for members in (10, 300):
        table = LeaseTable(LeaseSettings())
        roster = Roster(table, LEASE_US)
        table.commit(table.start(0, True))
        roster.on_started(0)
        for number in range(members):
            grant = roster.join(
                AFTER_START_US, f"member-{number}", "zone-0", "h:1", f"run-{number}"
            )
            assert isinstance(grant, LeaseGrant) and grant.record is not None
            roster.commit(grant.record)
        before, epoch = roster.version, roster.epoch
        roster.commit(
            roster.leave(AFTER_START_US, "member-7", roster.members["member-7"].token)
        )
        whole, changed = roster.members_changed_since(before, epoch)
        assert not whole and [member.name for member in changed] == ["member-7"]
        assert roster.members_changed_since(roster.version, epoch) == (False, [])
        watchers = Watchers()
        watchers.start_at(1)
        watchers.notify({"member-7"})
        names = [f"member-{number}" for number in range(members)]
        assert [name for name in names if watchers.is_behind(1, name)] == ["member-7"]
        assert watchers.is_behind(1), (
            "a watcher that names no member is notified of every change"
        )


def test_joining_members_receive_all_members_but_each_is_encoded_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, members, encoded = Clock(), 30, list[str]()
    original_to_wire = Member.to_wire
    monkeypatch.setattr(
        Member,
        "to_wire",
        lambda member: encoded.append(member.name) or original_to_wire(member),
    )

    async def run(service: RunningService) -> None:
        clock.us += AFTER_START_US
        for number in range(members):
            status, answer = await beat(service, f"member-{number}")
            assert status == 200 and answer["whole"]
            assert [member["name"] for member in answer["members"]] == sorted(
                f"member-{known}" for known in range(number + 1)
            )
        assert len(encoded) == members

    run_service(tmp_path, run, clock, with_fleet())


def test_hollow_member_joins_by_the_forwarders_code_and_calls_are_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = Clock()
    monkeypatch.setattr(endpoint_watch, "HttpConnection", CountingConnection)
    for counted in ("calls", "sent", "received"):
        monkeypatch.setattr(CountingConnection, counted, Counter())

    async def run(service: RunningService) -> None:
        clock.us += AFTER_START_US
        addresses = ServiceAddresses(
            Address("127.0.0.1", service.fleet), Address("127.0.0.1", service.list)
        )
        member = HollowMember("member-0", "zone-0", addresses, tmp_path, {7: 3})
        member.start()
        try:
            await until(lambda: is_alive(member) and member.list_version >= 0)
            assert service.service.fleet.roster.members["member-0"].state == "alive"
            waiting = member.fleet.unsent_demand()
            assert waiting == {7: Counter({"order": 3})}
        finally:
            member.kill()
        assert (
            CountingConnection.calls[Call.BEAT]
            == member.fleet.heartbeat_counts["beats"]
        )
        for call in (Call.BEAT, Call.LIST):
            assert (
                CountingConnection.sent[call] > 0
                and CountingConnection.received[call] > 0
            )

    run_service(tmp_path, run, clock, with_fleet())


def test_peaks_sum_over_all_processes() -> None:
    def samples(first_ns: int, beats: list[int]) -> list[Sample]:
        return [
            Sample(first_ns + number * STEP_NS, count, 0, count, 1)
            for number, count in enumerate(beats)
        ]

    quiet, burst = [0] * 10 + [5] * 20, [0] * 10 + [40] * 20
    found = peaks([samples(0, quiet), samples(STEP_NS // 2, burst)])
    assert found.beats == 45 and found.opened == 45 and found.bytes == 0
    assert found.opened_tenth in (40, 45), "a peak is off by at most one sample"
    assert peaks([]).beats == 0
