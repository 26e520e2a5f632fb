"""Growth of the control parts, by bytes, executed lines and entries.

No clock is read.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from measure.scale import control_config as files
from measure.scale import control_demand as demand
from measure.scale import control_division as division
from measure.scale import control_fixtures as fixtures
from measure.scale import control_list as lists
from measure.scale import control_members as members
from measure.scale import control_shards as shards
from measure.scale.__main__ import discover_measurements
from measure.scale.process_probe import count_lines
from measure.scale.target import FORWARDERS, ZONE_FORWARDERS
from rainfall.budget.config import MAX_BUDGETS
from rainfall.budget.fair_share import divide
from rainfall.forwarder.config.loading import parse_endpoint_list
from rainfall.forwarder.fleet.quotas import FleetQuotas
from rainfall.lease.fencing_token import Token
from rainfall.shard.map_planning import plan_map

TOLERANCE = 1.1
"""Factor beyond the size's own, for fixed parts and for digits of larger numbers."""
BEAT_BYTES, ANSWER_BYTES = 45, 90
"""Bytes for each budget named, with destinations of up to five digits."""
SMALL, LARGE = 200, 2_000


def grows_at_most(
    count: Callable[[int], float], power: float, small: int = SMALL, large: int = LARGE
) -> None:
    """Assert that the count grows no faster than the size to the `power`.

    A power of 0 means no growth.
    """
    assert 0 < count(large) <= TOLERANCE * (large / small) ** power * count(small)


def test_every_control_measurement_is_discovered() -> None:
    found = discover_measurements()
    for module in (lists, division, demand, members, shards, files):
        assert all(found[m.name] is m for m in module.MEASUREMENTS)


# The list of endpoints


def test_watcher_receives_one_changed_entry_at_any_list_size() -> None:
    def answer(count: int) -> bytes:
        registry = fixtures.registry(count)
        op = {"op": "share", "host": fixtures.endpoint(7)["host"], "share": 5.0}
        registry.commit(registry.prepare({"ops": [op]}, ""))  # type: ignore[arg-type]
        return lists.change_for_watcher(registry)

    assert len(parse_endpoint_list(json.loads(answer(LARGE))).endpoints) == 1
    grows_at_most(lambda count: len(answer(count)), 0)


def test_list_change_is_validated_without_visiting_other_entries() -> None:
    def change(count: int) -> int:
        registry = fixtures.registry(count)
        op = {"op": "drain", "host": fixtures.endpoint(7)["host"]}
        return count_lines(lambda: registry.commit(registry.prepare({"ops": [op]}, "")))  # type: ignore[arg-type]

    assert change(SMALL) == change(LARGE)


def test_whole_list_costs_a_forwarder_at_most_linear_work() -> None:
    grows_at_most(lambda count: len(fixtures.whole_list(count)), 1)
    grows_at_most(
        lambda count: count_lines(lambda: lists.parse_list(fixtures.whole_list(count))),
        1,
    )


def test_one_changed_entry_costs_a_forwarder_at_most_linear_work(
    tmp_path: Path,
) -> None:
    """The bound is linear because the whole list is journaled.

    Each turn also goes through all endpoints.
    """

    async def follow(size: int) -> tuple[int, float]:
        engine = fixtures.engine(tmp_path / str(size), fixtures.configuration(size))
        engine.restore_state()
        engine.run_round()
        written = engine.store.metrics()["bytes"]
        lines = count_lines(
            lambda: engine.on_endpoint_list(fixtures.changed_entry(size, 7, "draining"))
        )
        return lines, engine.store.metrics()["bytes"] - written

    grows_at_most(lambda size: asyncio.run(follow(size))[0], 1, 100, 300)
    grows_at_most(lambda size: asyncio.run(follow(size))[1], 1, 100, 300)


# Budgets


def test_each_budget_adds_bounded_bytes_to_a_heartbeat_and_its_answer() -> None:
    def named(budgets: int) -> FleetQuotas:
        quotas = demand.quotas_with_shares(budgets)
        for destination in range(budgets):
            quotas.record_demand(destination, "status/acme", demand.NOW_US)
        return quotas

    assert len(demand.heartbeat_part(named(1_000))) <= 1_000 * BEAT_BYTES
    assert len(demand.encoded_answer(1_000)) <= 1_000 * ANSWER_BYTES
    grows_at_most(lambda budgets: len(demand.heartbeat_part(named(budgets))), 1)
    grows_at_most(
        lambda budgets: count_lines(lambda: demand.heartbeat_part(named(budgets))),
        1,
        20,
        200,
    )


def test_demand_without_budgets_is_reported_for_a_limited_number_of_destinations() -> (
    None
):
    def reported(destinations: int) -> int:
        quotas = FleetQuotas((), fixtures.DRIFT, {}, 0)
        for destination in range(destinations):
            quotas.record_demand(destination, "status", demand.NOW_US)
        return len(quotas.needs({}, demand.NOW_US))

    assert (reported(MAX_BUDGETS), reported(2 * MAX_BUDGETS)) == (
        MAX_BUDGETS,
        MAX_BUDGETS,
    )


def test_division_grows_at_most_linearly_with_members() -> None:
    def lines(count: int) -> int:
        needs = division.needs(count, 1)
        floors = dict.fromkeys(needs, 1)
        return count_lines(
            lambda: divide(count * 6, needs, {"gold": 3}, floors, 1, {}, count // 3)
        )

    grows_at_most(lines, 1, 30, FORWARDERS)


def test_settled_plan_and_heartbeat_grow_at_most_linearly() -> None:
    def at_rest(count: int, budgets: int) -> tuple[int, int]:
        ledger = division.build_ledger(count, budgets)
        now_us = division.settle(ledger, 0)
        token: Token = fixtures.token(0)
        return count_lines(lambda: ledger.plan(now_us)), count_lines(
            lambda: ledger.heartbeat(token, {}, {}, now_us)
        )

    grows_at_most(lambda count: at_rest(count, 1)[0], 1, 10, 100)
    grows_at_most(lambda budgets: at_rest(5, budgets)[0], 1, 5, 50)
    grows_at_most(lambda budgets: at_rest(5, budgets)[1], 1, 5, 50)
    assert at_rest(10, 1)[1] == at_rest(100, 1)[1]


# Leases and members


def test_heartbeat_visits_only_its_own_member_and_writes_nothing() -> None:
    def beat(count: int) -> int:
        roster = fixtures.roster(count)
        member = roster.members[fixtures.member(7)]
        now_us = (
            roster.table.leases["member/" + member.name].expires_at_us
            - fixtures.LEASE_US // 2
        )
        grant = roster.heartbeat(now_us, member.name, member.token)
        assert grant.record is None  # type: ignore[union-attr]
        return count_lines(lambda: roster.heartbeat(now_us, member.name, member.token))

    assert beat(30) == beat(FORWARDERS)


def test_joining_member_is_sent_and_logged_alone() -> None:
    def change_bytes(count: int) -> int:
        roster = fixtures.roster(count)
        return len(
            msgspec.json.encode(roster.changes_since(roster.version - 1, roster.epoch))
        )

    grows_at_most(change_bytes, 0, 30, FORWARDERS)
    grows_at_most(
        lambda count: len(json.dumps(members.join_record(count))), 0, 30, FORWARDERS
    )


def test_recovery_grows_at_most_linearly_with_members(tmp_path: Path) -> None:
    def lines(count: int) -> int:
        folder = tmp_path / str(count)
        folder.mkdir()
        log = members.open_fleet_log(folder)
        log.compact({members.LEASE_TABLE: fixtures.roster(count).table.snapshot()})
        return count_lines(lambda: members.recover(folder))

    grows_at_most(lines, 1, 30, 300)


# The shard map


def test_joining_or_leaving_members_move_only_their_own_keys() -> None:
    for joined, left in ((1, 0), (0, 1), (ZONE_FORWARDERS, 0), (0, ZONE_FORWARDERS)):
        found = shards.measure_move(FORWARDERS - joined, joined, left)
        assert found["above_least"] == 0
        assert found["moved"] == pytest.approx((joined + left) / FORWARDERS)
        assert found["ranges"] <= 2 * FORWARDERS


def test_heartbeat_answer_has_only_the_members_own_ranges() -> None:
    grows_at_most(
        lambda count: shards.owned_ranges_bytes(
            shards.even_map(count), fixtures.member(7)
        ),
        0,
        30,
        FORWARDERS,
    )


def test_shard_plan_grows_at_most_linearly_with_owners() -> None:
    def lines(count: int) -> int:
        base = shards.even_map(count)
        after = {fixtures.member(n): 1.0 for n in range(count + 1)}
        return count_lines(lambda: plan_map(after, base))

    grows_at_most(lines, 1, 30, 300)


# The configuration


def test_configuration_parsing_is_bounded_by_budgets_and_peers(
    tmp_path: Path,
) -> None:
    def lines(budgets: int, peers: int) -> int:
        document = fixtures.configuration(10, fixtures.fleet_section(budgets, peers))
        return count_lines(lambda: fixtures.config(tmp_path, document))

    grows_at_most(lambda peers: lines(0, peers), 1, 20, 200)
    grows_at_most(lambda budgets: lines(budgets, 0), 2, 20, 200)


def test_measured_reload_is_accepted(tmp_path: Path) -> None:
    found = files.measure_file(
        fixtures.configuration(10, fixtures.fleet_section(budgets=5))
    )
    assert found["bytes"] > 0 < found["apply_ms"]
