"""Growth of the control parts by counted work: bytes told, lines run, entries made. No
clock.
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
from measure.scale import control_list as lists
from measure.scale import control_members as members
from measure.scale import control_shards as shards
from measure.scale import control_worlds as worlds
from measure.scale.__main__ import discover
from measure.scale.control_probe import steps
from measure.scale.target import FORWARDERS, ZONE_FORWARDERS
from rainfall.budget.config import MOST_BUDGETS
from rainfall.budget.divide import divide
from rainfall.lease.token import Token
from rainfall.net.config import host_list
from rainfall.net.fleet_books import Books
from rainfall.shard.plan import plan

NEARLY = 1.1
"""Over the size's own factor: bases and digits of larger numbers."""
BEAT_BYTES, ANSWER_BYTES = 45, 90
"""For each budget named, with destinations of up to five digits."""
SMALL, LARGE = 200, 2_000


def grows_at_most(
    count: Callable[[int], float], power: float, small: int = SMALL, large: int = LARGE
) -> None:
    """Whether the count grows no faster than the size to the `power` (0: not at
    all).
    """
    assert 0 < count(large) <= NEARLY * (large / small) ** power * count(small)


def test_every_measurement_of_control_is_found_and_named_once() -> None:
    found = discover()
    for module in (lists, division, demand, members, shards, files):
        assert all(found[m.name] is m for m in module.MEASUREMENTS)


# The list of endpoints


def test_a_watcher_is_told_one_changed_entry_whatever_the_list_holds() -> None:
    def told(count: int) -> bytes:
        registry = worlds.registry(count)
        op = {"op": "share", "host": worlds.endpoint(7)["host"], "share": 5.0}
        registry.commit(registry.prepare({"ops": [op]}, ""))  # type: ignore[arg-type]
        return lists.change_for_watcher(registry)

    assert len(host_list(json.loads(told(LARGE))).hosts) == 1
    grows_at_most(lambda count: len(told(count)), 0)


def test_a_change_of_the_list_is_checked_and_taken_without_a_look_at_the_others() -> (
    None
):
    def change(count: int) -> int:
        registry = worlds.registry(count)
        op = {"op": "drain", "host": worlds.endpoint(7)["host"]}
        return steps(lambda: registry.commit(registry.prepare({"ops": [op]}, "")))  # type: ignore[arg-type]

    assert change(SMALL) == change(LARGE)


def test_a_whole_list_costs_a_forwarder_so_much_an_endpoint() -> None:
    grows_at_most(lambda count: len(worlds.whole_list(count)), 1)
    grows_at_most(lambda count: steps(lambda: lists.told(worlds.whole_list(count))), 1)


def test_one_changed_entry_costs_a_forwarder_no_more_than_the_list_grows(
    tmp_path: Path,
) -> None:
    """Not better than that today: the whole list is journaled, and each turn goes
    through all targets.
    """

    async def follow(size: int) -> tuple[int, float]:
        engine = worlds.engine(tmp_path / str(size), worlds.configuration(size))
        engine.recover()
        engine.round()
        written = engine.store.figures()["bytes"]
        lines = steps(lambda: engine.listed(worlds.changed_entry(size, 7, "draining")))
        return lines, engine.store.figures()["bytes"] - written

    grows_at_most(lambda size: asyncio.run(follow(size))[0], 1, 100, 300)
    grows_at_most(lambda size: asyncio.run(follow(size))[1], 1, 100, 300)


# Budgets


def test_each_budget_named_adds_a_fixed_number_of_bytes_to_a_beat_and_its_answer() -> (
    None
):
    def named(budgets: int) -> Books:
        books = demand.told_books(budgets)
        for destination in range(budgets):
            books.wanted(destination, "status/acme", demand.NOW_US)
        return books

    assert len(demand.beat_part(named(1_000))) <= 1_000 * BEAT_BYTES
    assert len(demand.answer(1_000)) <= 1_000 * ANSWER_BYTES
    grows_at_most(lambda budgets: len(demand.beat_part(named(budgets))), 1)
    grows_at_most(
        lambda budgets: steps(lambda: demand.beat_part(named(budgets))), 1, 20, 200
    )


def test_demand_without_budgets_is_told_of_so_many_destinations_at_most() -> None:
    def told(destinations: int) -> int:
        books = Books((), worlds.DRIFT, {}, 0)
        for destination in range(destinations):
            books.wanted(destination, "status", demand.NOW_US)
        return len(books.needs({}, demand.NOW_US))

    assert (told(MOST_BUDGETS), told(2 * MOST_BUDGETS)) == (MOST_BUDGETS, MOST_BUDGETS)


def test_one_division_looks_at_each_member_a_fixed_number_of_times() -> None:
    def lines(count: int) -> int:
        needs = division.needs(count, 1)
        floors = dict.fromkeys(needs, 1)
        return steps(
            lambda: divide(count * 6, needs, {"gold": 3}, floors, 1, {}, count // 3)
        )

    grows_at_most(lines, 1, 30, FORWARDERS)


def test_a_plan_at_rest_and_a_beat_grow_with_budgets_and_members_no_faster_than_these() -> (
    None
):
    def at_rest(count: int, budgets: int) -> tuple[int, int]:
        ledger = division.ledger(count, budgets)
        now_us = division.settle(ledger, 0)
        token: Token = worlds.token(0)
        return steps(lambda: ledger.plan(now_us)), steps(
            lambda: ledger.beat(token, {}, {}, now_us)
        )

    grows_at_most(lambda count: at_rest(count, 1)[0], 1, 10, 100)
    grows_at_most(lambda budgets: at_rest(5, budgets)[0], 1, 5, 50)
    grows_at_most(lambda budgets: at_rest(5, budgets)[1], 1, 5, 50)
    assert at_rest(10, 1)[1] == at_rest(100, 1)[1]


# Leases and members


def test_a_beat_looks_at_its_own_member_alone_and_writes_nothing() -> None:
    def beat(count: int) -> int:
        roster = worlds.roster(count)
        member = roster.members[worlds.member(7)]
        now_us = (
            roster.table.leases["member/" + member.name].until_us - worlds.LEASE_US // 2
        )
        made = roster.beat(now_us, member.name, member.token)
        assert made.record is None  # type: ignore[union-attr]
        return steps(lambda: roster.beat(now_us, member.name, member.token))

    assert beat(30) == beat(FORWARDERS)


def test_one_more_member_is_told_and_logged_by_itself() -> None:
    def told(count: int) -> int:
        roster = worlds.roster(count)
        return len(msgspec.json.encode(roster.owed(roster.version - 1, roster.epoch)))

    grows_at_most(told, 0, 30, FORWARDERS)
    grows_at_most(
        lambda count: len(json.dumps(members.join_record(count))), 0, 30, FORWARDERS
    )


def test_a_start_reads_so_much_a_member(tmp_path: Path) -> None:
    def lines(count: int) -> int:
        folder = tmp_path / str(count)
        folder.mkdir()
        log = members.book(folder)
        log.rewrite({members.LEASE: worlds.roster(count).table.snapshot()})
        return steps(lambda: members.recover(folder))

    grows_at_most(lines, 1, 30, 300)


# The shard map


def test_members_that_come_or_go_move_their_own_part_alone() -> None:
    for joined, left in ((1, 0), (0, 1), (ZONE_FORWARDERS, 0), (0, ZONE_FORWARDERS)):
        found = shards.moved(FORWARDERS - joined, joined, left)
        assert found["above_least"] == 0
        assert found["moved"] == pytest.approx((joined + left) / FORWARDERS)
        assert found["ranges"] <= 2 * FORWARDERS


def test_a_beat_tells_a_member_its_own_ranges_whoever_else_there_is() -> None:
    grows_at_most(
        lambda count: shards.told_bytes(shards.even(count), worlds.member(7)),
        0,
        30,
        FORWARDERS,
    )


def test_a_plan_grows_with_its_owners_no_faster_than_they_do() -> None:
    def lines(count: int) -> int:
        base = shards.even(count)
        after = {worlds.member(n): 1.0 for n in range(count + 1)}
        return steps(lambda: plan(after, base))

    grows_at_most(lines, 1, 30, 300)


# The configuration


def test_a_file_is_read_in_lines_that_grow_with_its_budgets_and_peers(
    tmp_path: Path,
) -> None:
    def lines(budgets: int, peers: int) -> int:
        told = worlds.configuration(10, worlds.fleet_part(budgets, peers))
        return steps(lambda: worlds.config(tmp_path, told))

    grows_at_most(lambda peers: lines(0, peers), 1, 20, 200)
    grows_at_most(lambda budgets: lines(budgets, 0), 2, 20, 200)


def test_an_apply_is_taken_whole_by_the_measurement(tmp_path: Path) -> None:
    found = files.file_once(worlds.configuration(10, worlds.fleet_part(budgets=5)))
    assert found["bytes"] > 0 < found["apply_ms"]
