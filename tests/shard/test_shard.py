"""Tests of shard maps.

Validation is compared with a bitmap of the keys, and plans with the minimum number of
moved keys. Migrations run through all interleavings of a small model and through random
interleavings of a larger one.
"""

from __future__ import annotations

import itertools
import json
import random
from collections import Counter
from fractions import Fraction
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.lease.fencing_token import Token
from rainfall.model_checker.search import explore
from rainfall.shard.__main__ import main
from rainfall.shard.auto_planner import AutoPlanner, PlanDelays
from rainfall.shard.map_planning import PlanError, plan_map
from rainfall.shard.map_validation import checked_map, count_moved_keys, map_faults
from rainfall.shard.migration import (
    FencedError,
    MigrationCoordinator,
    RangeHold,
    StaleHeartbeatError,
)
from rainfall.shard.model import MOVE_THERE_AND_BACK, ShardModel
from rainfall.shard.ownership import RangeOwnership
from rainfall.shard.routing import ActLocally, ForwardToOwner, Rejected, route
from rainfall.shard.shard_map import ShardMap, hash_key

BITS, LAST_KEY = 8, 255
NAMES = ("n1", "n2", "n3")


def entry(first: int, last: int, owner: str = "n1") -> dict[str, Any]:
    return {"from": f"{first:02x}", "to": f"{last:02x}", "owner": owner}


def map_document(generation: int, *rows: tuple[int, int, str]) -> dict[str, Any]:
    return {"generation": generation, "ranges": [entry(*row) for row in rows]}


malformed_entries = st.sampled_from(
    [
        7,
        None,
        [],
        {},
        {"from": "00", "to": "ff"},
        {**entry(0, 9), "x": 1},
        {**entry(0, 9), "from": "0"},
        {**entry(0, 9), "to": "FF"},
        {**entry(0, 9), "to": "0x"},
        {**entry(0, 9), "from": 0},
        {**entry(0, 9), "owner": ""},
        {**entry(0, 9), "owner": 3},
        {**entry(0, 9), "from": " 1"},
    ]
)
boundary_keys = st.sampled_from([0, 1, 127, 128, 254, 255]) | st.integers(0, LAST_KEY)
entries = st.one_of(
    st.builds(entry, boundary_keys, boundary_keys, st.sampled_from([*NAMES, "n9"])),
    malformed_entries,
)


@st.composite
def valid_maps(draw: st.DrawFn, generation: int = 6) -> dict[str, Any]:
    cuts = [*sorted({0, *draw(st.lists(boundary_keys, max_size=6))}), LAST_KEY + 1]
    rows = [
        entry(first, next_first - 1, draw(st.sampled_from(NAMES)))
        for first, next_first in itertools.pairwise(cuts)
    ]
    return {"generation": generation, "ranges": draw(st.permutations(rows))}


@st.composite
def nearly_valid_maps(draw: st.DrawFn) -> dict[str, Any]:
    """A valid map with a few entries inserted, removed or repeated.

    Most kinds of faults lie close to a valid map.
    """
    rows = list(draw(valid_maps())["ranges"])
    for _ in range(draw(st.integers(0, 2))):
        rows.insert(draw(st.integers(0, len(rows))), draw(entries))
    for _ in range(draw(st.integers(0, 1)) if rows else 0):
        rows.pop(draw(st.integers(0, len(rows) - 1)))
    return {"generation": draw(st.integers(5, 8)), "ranges": rows}


def slow(
    raw: dict[str, Any], members: set[str], old: dict[str, Any], most: Fraction
) -> Counter[Any]:
    """Reference implementation with a list of covering entries for each key.

    Returns the faults as (kind, first, last, entries).
    """
    digits = {f"{index:02x}": index for index in range(256)}
    faults: Counter[Any] = Counter()
    covers: list[list[int]] = [[] for _ in range(256)]
    for index, item in enumerate(raw["ranges"]):
        if (
            type(item) is not dict
            or set(item) != {"from", "to", "owner"}
            or type(item["owner"]) is not str
            or not item["owner"]
            or not {item["from"], item["to"]} <= set(digits)
        ):
            faults["malformed", None, None, (index,)] += 1
            continue
        first, last = digits[item["from"]], digits[item["to"]]
        if item["owner"] not in members:
            faults["unknown-owner", first, last, (index,)] += 1
        if first > last:
            faults["inverted", first, last, (index,)] += 1
        for key in range(first, last + 1):
            covers[key].append(index)
    for covering, run in itertools.groupby(range(256), lambda key: covers[key]):
        keys = list(run)
        if len(covering) > 1:
            faults["overlap", keys[0], keys[-1], tuple(covering)] += 1
        if not covering:
            adjacent_entries = [
                covers[neighbour][0]
                for neighbour in (keys[0] - 1, keys[-1] + 1)
                if 0 <= neighbour <= LAST_KEY
            ]
            faults["gap", keys[0], keys[-1], tuple(adjacent_entries)] += 1
    before = checked_map(old, bits=BITS)
    if raw["generation"] <= old["generation"]:
        faults["stale-generation", None, None, ()] += 1
    moved = [
        key
        for key in range(256)
        if len(covers[key]) == 1
        and before.owner(key) in members
        and raw["ranges"][covers[key][0]]["owner"] != before.owner(key)
    ]
    if len(moved) > most * 256:
        faults[
            "moves-too-much",
            moved[0],
            moved[-1],
            tuple(sorted({covers[key][0] for key in moved})),
        ] += 1
    return faults


@settings(derandomize=True, deadline=None, max_examples=250)
@given(
    st.one_of(
        nearly_valid_maps(),
        st.builds(
            lambda g, r: {"generation": g, "ranges": r},
            st.integers(5, 8),
            st.lists(entries, max_size=6),
        ),
    ),
    valid_maps(),
    st.sampled_from([0, Fraction(1, 256), Fraction(1, 2), 1]),
    st.sets(st.sampled_from(NAMES)),
)
def test_check_tells_what_a_bitmap_tells(
    raw: dict[str, Any], old: dict[str, Any], most: Fraction, members: set[str]
) -> None:
    faults = map_faults(raw, members, checked_map(old, bits=BITS), most, BITS)
    assert Counter((f.kind, f.first, f.last, f.entries) for f in faults) == slow(
        raw, members, old, most
    )
    for fault in faults:
        line = str(fault)
        assert line.startswith(fault.kind + " ") and "\n" not in line and line.isascii()
        if fault.first is not None:
            assert f"{fault.first:02x}-{fault.last:02x}" in line


def run_command(
    capsys: pytest.CaptureFixture[str], *args: object
) -> tuple[int, list[str], str]:
    try:
        code = main([str(arg) for arg in args])
    except SystemExit as stop:
        code = int(str(stop.code))
    out, err = capsys.readouterr()
    return code, out.splitlines(), err


def test_command_distinguishes_valid_faulty_and_unreadable_maps(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert hash_key("") == 0x2D06800538D394C2  # The published xxh3 hash of no bytes.

    def write_file(text: str | bytes) -> Path:
        path = tmp_path / f"{len(list(tmp_path.iterdir()))}.json"
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return path

    first_key, last_key, middle_key = "0" * 16, "f" * 16, "8" + "0" * 15
    two_ranges = [
        {"from": middle_key, "to": last_key, "owner": "n2"},
        {"from": first_key, "to": "7" + "f" * 15, "owner": "n1"},
    ]
    valid_map = write_file(json.dumps({"generation": 7, "ranges": two_ranges}))
    names = write_file('["n1", "n2"]')
    assert run_command(capsys, "check", valid_map, "--members", names) == (
        0,
        ["2 ranges, 2 owners, generation 7"],
        "",
    )
    for text, kinds in (
        ('{"generation": 1, "ranges": []}', ["gap"]),
        ('{"generation": true, "ranges": []}', ["malformed", "gap"]),
        ('{"generation": 1.0, "ranges": {}}', ["malformed", "malformed", "gap"]),
        ('{"generation": -1, "ranges": [], "x": 0}', ["malformed", "malformed", "gap"]),
        ('{"ranges": []}', ["malformed", "gap"]),
        ('{"generation": 1}', ["malformed", "gap"]),
        (f'{{"generation": {"9" * 5000}, "ranges": []}}', ["malformed", "gap"]),
        ('{"generation": 1, "generation": 1, "ranges": []}', ["malformed", "gap"]),
        (
            f'{{"generation": 1, "ranges": [{{"from": "{first_key}", "to": "{last_key}", '
            f'"owner": "a", "owner": "a"}}]}}',
            ["malformed", "gap"],
        ),
        (json.dumps({"generation": 1, "ranges": two_ranges[:1]}), ["gap"]),
        (
            json.dumps(
                {
                    "generation": 1,
                    "ranges": [
                        *two_ranges,
                        {"from": last_key, "to": last_key, "owner": "\ud800"},
                    ],
                }
            ),
            ["malformed"],
        ),
        (
            json.dumps(
                {
                    "generation": 1,
                    "ranges": [
                        *two_ranges,
                        {"from": last_key, "to": last_key, "owner": "a"},
                    ],
                }
            ),
            ["overlap"],
        ),
    ):
        code, lines, err = run_command(capsys, "check", write_file(text))
        assert (code, [line.split()[0] for line in lines], err) == (1, kinds, ""), text
    overlap = f"overlap {last_key}-{last_key}: entries 0, 2 cover it"
    assert lines == [overlap]
    assert run_command(
        capsys,
        "check",
        write_file(json.dumps({"generation": 1, "ranges": two_ranges[1:]})),
    )[1] == [f"gap {middle_key}-{last_key}: no entry covers it, after entry 0"]
    swapped_ranges = [
        {**two_ranges[0], "owner": "n1"},
        {**two_ranges[1], "owner": "n2"},
    ]
    other_map = write_file(json.dumps({"generation": 7, "ranges": swapped_ranges}))
    code, lines, _ = run_command(capsys, "check", other_map, "--against", valid_map)
    assert code == 1 and [line.split()[0] for line in lines] == [
        "stale-generation",
        "moves-too-much",
    ]
    assert (
        "another" in lines[0]
        and "the same"
        in run_command(capsys, "check", valid_map, "--against", valid_map)[1][0]
    )
    newer_map = write_file(json.dumps({"generation": 8, "ranges": swapped_ranges}))
    assert (
        run_command(
            capsys, "check", newer_map, "--against", valid_map, "--most-moved", "1.0"
        )[0]
        == 0
    )
    assert (
        run_command(
            capsys, "check", newer_map, "--against", valid_map, "--members", names
        )[0]
        == 1
    )
    replaced_owners = [
        {**two_ranges[0], "owner": "n3"},
        {**two_ranges[1], "owner": "n3"},
    ]
    # Keys of members that have left do not count as moved.
    assert (
        run_command(
            capsys,
            "check",
            write_file(json.dumps({"generation": 8, "ranges": replaced_owners})),
            "--against",
            valid_map,
            "--members",
            write_file('["n3"]'),
        )[0]
        == 0
    )
    faulty_map = write_file('{"generation": 1, "ranges": [3]}')
    for args in (
        ("check", tmp_path / "none"),
        ("check", tmp_path),
        ("check", write_file("")),
        ("check", write_file("[]")),
        ("check", write_file(b"\xff")),
        ("check", write_file("[" * 100_000)),
        ("check", write_file('{"generation": NaN}')),
        ("check", valid_map, "--members", valid_map),
        ("check", valid_map, "--members", write_file("[1]")),
        ("check", valid_map, "--against", faulty_map),
        ("check", valid_map, "--against", valid_map, "--most-moved", "2"),
        ("chek",),
        ("check",),
        ("plan", "--members", write_file("[]"), "--out", tmp_path / "o"),
        (
            "plan",
            "--members",
            names,
            "--weights",
            '{"n1": true}',
            "--out",
            tmp_path / "o",
        ),
        (
            "plan",
            "--members",
            names,
            "--weights",
            '{"n1": -1}',
            "--out",
            tmp_path / "o",
        ),
        ("plan", "--members", names, "--weights", '{"n7": 1}', "--out", tmp_path / "o"),
        ("plan", "--members", names, "--load", '{"0-1": 1}', "--out", tmp_path / "o"),
        ("plan", "--members", names, "--out", tmp_path / "none" / "o"),
    ):
        code, lines, err = run_command(capsys, *args)
        assert (code, lines, err.count("\n")) == (2, [], 1) and err.startswith(
            "shard: "
        ), (args, err)
    assert (
        run_command(
            capsys,
            "plan",
            "--members",
            names,
            "--from",
            faulty_map,
            "--out",
            tmp_path / "o",
        )[0]
        == 1
    )
    assert not (tmp_path / "o").exists()
    changed_names = write_file('["n2", "n3"]')
    assert run_command(
        capsys,
        "plan",
        "--members",
        changed_names,
        "--from",
        valid_map,
        "--out",
        tmp_path / "o",
    ) == (
        0,
        [
            f"2 ranges, 2 owners, generation 8; {1 << 63} keys move (50.00%), {1 << 63} at the least"
        ],
        "",
    )
    assert run_command(capsys, "check", tmp_path / "o", "--against", valid_map)[0] == 0


# Planning.


def sizes(shard_map: ShardMap) -> Counter[str]:
    size_by_owner: Counter[str] = Counter()
    for map_range in shard_map.ranges:
        size_by_owner[map_range.owner] += map_range.size
    return size_by_owner


member_weights = st.dictionaries(
    st.sampled_from([*NAMES, "n4", "n5"]),
    st.sampled_from([1, 1, 2, 0.3, 0]),
    min_size=1,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    valid_maps(),
    member_weights,
    st.integers(0, 3),
    st.lists(st.sampled_from([0, 0, 1, 9, 100]), min_size=9),
)
def test_a_plan_moves_the_fewest_keys_there_are(
    raw: dict[str, Any], members: dict[str, float], spare: int, figures: list[int]
) -> None:
    old = checked_map(raw, bits=BITS)
    count = sum(weight > 0 for weight in members.values())
    if not count:
        with pytest.raises(PlanError):
            plan_map(members, old, bits=BITS)
        return
    done = plan_map(members, old, bits=BITS)
    have, get = sizes(old), sizes(done.map)
    whole = sum(map(Fraction, members.values()))
    for name, weight in members.items():
        assert abs(get[name] - 256 * Fraction(weight) / whole) < 1
    # Whatever a map with these parts looks like, what is over them has to move.
    assert (
        count_moved_keys(done.map, old)
        == done.moved_keys
        == sum(max(0, have[n] - get[n]) for n in have)
    )
    assert (
        done.map.generation == old.generation + 1
        and len(done.map.ranges) <= len(old.ranges) + 2 * count
    )
    assert count_moved_keys(plan_map(members, done.map, bits=BITS).map, done.map) == 0
    few = plan_map(members, old, most_ranges=count + spare, bits=BITS)
    assert len(few.map.ranges) <= count + spare and few.map.owners() == {
        n for n, w in members.items() if w
    }
    loads = {
        (r.first, r.last): figure
        for r, figure in zip(old.ranges, figures, strict=False)
    }
    check_loads(old, members, loads)


def check_loads(
    old: ShardMap, members: dict[str, float], loads: dict[tuple[int, int], int]
) -> None:
    def max_relative_load(shard_map: ShardMap) -> float:
        """Return the highest load of a member relative to its weight.

        Load is assumed to be uniform over each range of the old map.
        """
        load_by_member: Counter[str] = Counter()
        for new_range in shard_map.ranges:
            for old_range in old.overlapping(new_range.first, new_range.last):
                keys = (
                    min(new_range.last, old_range.last)
                    - max(new_range.first, old_range.first)
                    + 1
                )
                load_by_member[new_range.owner] += keys * Fraction(
                    loads.get((old_range.first, old_range.last), 0), old_range.size
                )
        return max(
            load / Fraction(members[name]) for name, load in load_by_member.items()
        )

    plan = plan_map(members, old, loads, bits=BITS)
    assert plan.map.owners() <= set(members)
    if old.owners() <= {name for name, weight in members.items() if weight}:
        # Keys are indivisible: allow for the load of one key and for the share of the
        # weight that depends on the number of keys.
        key_load = max(
            (Fraction(load, last - first + 1) for (first, last), load in loads.items()),
            default=0,
        )
        lightest = min(Fraction(weight) for weight in members.values() if weight)
        assert (
            max_relative_load(plan.map)
            <= max_relative_load(old) + 2 * key_load / lightest
        )


def test_hot_ranges_are_split_and_small_ones_merged() -> None:
    old = checked_map(
        map_document(
            1, (0, 15, "n1"), (16, 23, "n1"), (24, 127, "n2"), (128, 255, "n2")
        ),
        bits=BITS,
    )
    plan = plan_map(
        {"n1": 1, "n2": 1},
        old,
        {(0, 15): 90.0, (16, 23): 8.0, (24, 127): 2.0},
        bits=BITS,
    )
    hot_ranges = [map_range for map_range in plan.map.ranges if map_range.last <= 15]
    # 48 of 98 units of load move, from the densest range; the rest of it is split, so
    # that later loads are reported for each part.
    assert (
        0
        < sum(map_range.size for map_range in hot_ranges if map_range.owner == "n2")
        == plan.moved_keys
        <= 9
        and len(hot_ranges) >= 4
    )
    merged = plan_map({"n1": 3, "n2": 29}, old, bits=BITS)
    assert [(map_range.first, map_range.last) for map_range in merged.map.ranges] == [
        (0, 23),
        (24, 255),
    ] and merged.moved_keys == 0
    # The neighbours of the member that left take its keys from either side; only the
    # rest becomes a new range.
    four_ranges = checked_map(
        map_document(
            1, (0, 63, "n4"), (64, 127, "n2"), (128, 191, "n3"), (192, 255, "n1")
        ),
        bits=BITS,
    )
    assert (
        len(plan_map({"n1": 1, "n3": 1, "n4": 1}, four_ranges, bits=BITS).map.ranges)
        == 4
    )
    # The key that does not divide evenly stays with its owner.
    odd_sizes = checked_map(
        map_document(1, (0, 84, "n1"), (85, 169, "n2"), (170, 255, "n3")), bits=BITS
    )
    assert plan_map(dict.fromkeys(NAMES, 1.0), odd_sizes, bits=BITS).moved_keys == 0


def test_planner_waits_until_membership_changes_are_stable() -> None:
    second = 1_000_000
    planner = AutoPlanner(PlanDelays())
    owners = {"n1": 1.0, "n2": 1.0}
    assert (
        planner.members_to_plan_for(owners, 10**9, True, False) is None
    )  # no members observed yet
    planner.observe_members({"n1": 1.0}, 0)
    assert planner.next_plan_us(owners) == 2 * second
    assert planner.members_to_plan_for(owners, 2 * second - 1, True, False) is None
    assert (
        planner.members_to_plan_for(owners, 2 * second, True, True) is None
    )  # suspended after a mass loss
    assert (
        planner.members_to_plan_for(owners, 2 * second, False, False) is None
    )  # another process holds the lease
    assert planner.members_to_plan_for(owners, 2 * second, True, False) == {"n1": 1.0}
    planner.on_planned(2 * second)
    owners = {"n1": 1.0}
    # n3 joins and leaves eight times; n4 joins and stays. n3 causes no plan, and does not
    # delay the plan for n4.
    now, plan_count = 2 * second, 0
    for swing in range(16):
        now += 4 * second
        planner.observe_members(
            {"n1": 1.0, "n3": 1.0, "n4": 1.0} if swing % 2 else {"n1": 1.0, "n4": 1.0},
            now,
        )
        if target := planner.members_to_plan_for(owners, now, True, False):
            assert target == {"n1": 1.0, "n4": 1.0}
            owners, plan_count = target, plan_count + 1
            planner.on_planned(now)
    assert plan_count == 1 and owners == {"n1": 1.0, "n4": 1.0}
    due_at = planner.next_plan_us(owners)
    assert (
        due_at is not None and due_at - now == 320 * second
    )  # 10 s, doubled at each return up to the limit
    assert planner.members_to_plan_for(owners, due_at, True, False) == {
        "n1": 1.0,
        "n3": 1.0,
        "n4": 1.0,
    }
    planner.observe_members({}, due_at)
    assert (
        planner.members_to_plan_for(owners, due_at + 10**9, True, False) is None
    )  # no members to plan for


# Migrations.

MOVE_AND_RETURN_STEPS = (
    "map 2",
    "a adopts map 2",
    "a drained",
    "map 3",
    "a adopts map 3",
)
LOST_ANSWER_STEPS = (
    *MOVE_AND_RETURN_STEPS,
    "a asks",
    "arrives: a(1) asks, beat 2, map 3, gave 0-7",
    "a asks",
    "lost: a(1) is told, beat 2, map 3, holds 0-7",
    "map 4",
    "a adopts map 4",
    "a asks",
)
LOST_ANSWER_MAPS = ("ab", "bb", "ab", "ab", "bb")


@pytest.mark.parametrize(
    ("bug", "depth", "most", "model"),
    [
        ("early", 5, 100, {"maps": ("ab", "bb"), "asked": {"a": 0, "b": 1}}),
        ("unfrozen", 8, 500, {"maps": ("ab", "bb"), "asked": 1}),
        (
            "no margin",
            7,
            4000,
            {
                "maps": ("ab", "bb"),
                "asked": {"a": 0, "b": 2},
                "ticks": 3,
                "slow": 2,
                "past": ("map 2", "b adopts map 2"),
            },
        ),
        (
            "stale",
            10,
            4000,
            {
                "maps": MOVE_THERE_AND_BACK,
                "asked": {"a": 2, "b": 1},
                "past": MOVE_AND_RETURN_STEPS,
            },
        ),
        (
            "unsaid",
            8,
            4000,
            {
                "maps": LOST_ANSWER_MAPS,
                "asked": {"a": 3, "b": 1},
                "past": LOST_ANSWER_STEPS,
                "losses": 1,
            },
        ),
    ],
)
def test_each_planted_fault_is_found_and_the_unmodified_code_has_none(
    bug: str, depth: int, most: int, model: dict[str, Any]
) -> None:
    with_fault = explore(ShardModel(**model, bug=bug), 30, most)
    assert "both act on keys" in with_fault.violation and len(with_fault.trace) == depth
    without_fault = explore(ShardModel(**model), depth, 10_000)
    assert without_fault.violation == "" and (
        without_fault.complete or without_fault.depth == depth
    )


@pytest.mark.parametrize(
    "model",
    [
        {"asked": 1, "crashes": 1},
        {"asked": 1, "restarts": 1},
        {"asked": {"a": 0, "b": 1}, "ticks": 3, "slow": 2},
        {"asked": 1, "copies": 1, "losses": 1},
        {"asked": 1, "maps": ("ab", "cb")},
    ],
)
def test_small_models_are_searched_completely(model: dict[str, Any]) -> None:
    result = explore(ShardModel(**{"maps": ("ab", "bb"), **model}), 40, 20_000)
    assert result.complete and result.violation == "" and result.states > 700


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 10**6))
def test_random_moves_of_planned_maps_never_overlap_and_come_to_their_end(
    seed: int,
) -> None:
    """Ranges split and joined by the planner, 4 members, answers lost and late, leases
    out, restarts.
    """
    rng = random.Random(seed)
    names = ["a", "b", "c", "d"]
    at = plan_map(dict.fromkeys(names, 1.0), bits=BITS).map
    moves = MigrationCoordinator(at, 1, bits=BITS)
    members = {name: RangeOwnership(name, bits=BITS) for name in names}
    wire: list[Any] = []
    tokens = itertools.count(1)
    lease, now = 100, 0

    def beat(name: str, safe: bool = False) -> None:
        member = members[name]
        if member.incarnation is None:
            member.on_joined(Token(1, next(tokens)), now + lease - 10)
            moves.lease_renewed(member.incarnation, name, now + lease + 10)
        word = member.next_report()
        try:
            answer = moves.heartbeat(
                member.incarnation,
                word.sent,
                word.generation,
                word.digest,
                word.given_up,
                now,
            )
        except (FencedError, StaleHeartbeatError):
            return member.on_lease_lost()
        moves.lease_renewed(member.incarnation, name, now + lease + 10)
        wire.append((name, member.incarnation, word.sent, answer, now + lease - 10))

    def arrive(number: int) -> None:
        name, token, sent, answer, until = wire.pop(number)
        members[name].apply_answer(token, sent, answer.generation, answer.holds, until)

    def calm() -> None:
        """Everything gets through, a few times."""
        for _ in range(4):
            for name in names:
                assert members[name].adopt_map(at.to_wire()) == []
                members[name].mark_drained(members[name].frozen_ranges())
                beat(name)
                arrive(len(wire) - 1) if wire else None
            assert not overlaps()

    def overlaps() -> list[int]:
        acting = Counter(
            key
            for m in members.values()
            for own in m.held_ranges(now)
            for key in range(own.hold.first, own.hold.last + 1)
        )
        return [key for key, count in acting.items() if count > 1]

    for _ in range(120):
        name = rng.choice(names)
        match rng.randrange(10):
            case 0:
                weights = {n: rng.choice([0, 1, 1, 3]) for n in names}
                if any(weights.values()):
                    at = plan_map(weights, at, bits=BITS).map
                    assert moves.submit_map(at.to_wire(), names, None) == []
            case 1 | 2:
                assert all(
                    f.kind == "stale-generation"
                    for f in members[name].adopt_map(at.to_wire())
                )
            case 3:
                if frozen := members[name].frozen_ranges():
                    first, last = rng.choice(frozen)
                    members[name].mark_drained([(first, rng.randint(first, last))])
            case 4 | 5 | 6:
                beat(name)
            case 7 | 8 if wire:
                arrive(rng.randrange(len(wire)))
            case 9:
                now += rng.randrange(30)
                moves.expire(now)
                if rng.random() < 0.2:
                    moves = MigrationCoordinator.from_snapshot(
                        json.loads(json.dumps(moves.to_snapshot())),
                        1,
                        now + lease + 10,
                        bits=BITS,
                    )
        assert not overlaps(), seed
    calm()
    if set(moves.holders) == {member.incarnation for member in members.values()}:
        assert moves.ranges_in_migration() == []
    now += 200
    moves.expire(now)
    calm()
    assert moves.ranges_in_migration() == []
    for key in range(256):
        assert [n for n in names if members[n].may_act(key, now)] == [at.owner(key)]


def coordinator_and_member() -> tuple[MigrationCoordinator, RangeOwnership, Token]:
    coordinator, ownership, token = (
        MigrationCoordinator(None, 3, bits=BITS),
        RangeOwnership("n1", bits=BITS),
        Token(3, 1),
    )
    document = map_document(5, (0, 127, "n1"), (128, 255, "n2"))
    assert (
        coordinator.submit_map(document, ["n1", "n2"]) == []
        and ownership.adopt_map(document) == []
    )
    coordinator.lease_renewed(token, "n1", 1000)
    ownership.on_joined(token, 900)
    report = ownership.next_report()
    answer = coordinator.heartbeat(
        token, report.sent, report.generation, report.digest, report.given_up, 0
    )
    assert answer.changed and ownership.apply_answer(
        token, report.sent, answer.generation, answer.holds, 900
    )
    return coordinator, ownership, token


def test_different_maps_of_one_generation_are_detected() -> None:
    coordinator, ownership, token = coordinator_and_member()
    snapshot = coordinator.to_snapshot()
    same_map, other_map = (
        map_document(5, (128, 255, "n2"), (0, 127, "n1")),
        map_document(5, (0, 128, "n1"), (129, 255, "n2")),
    )
    assert (
        coordinator.submit_map(same_map) == [] and ownership.adopt_map(same_map) == []
    )
    for faults in (
        coordinator.submit_map(other_map),
        ownership.adopt_map(other_map),
        ownership.adopt_map(map_document(4, (0, 255, "n1"))),
    ):
        assert [fault.kind for fault in faults] == ["stale-generation"]
    assert (
        coordinator.to_snapshot() == snapshot
        and ownership.may_act(127, 0)
        and not ownership.may_act(128, 0)
    )
    # A member with a different map of this generation receives no grants; the service
    # raises its own generation above both.
    other_member = RangeOwnership("n2", bits=BITS)
    other_member.adopt_map(other_map)
    other_member.on_joined(Token(3, 2), 900)
    coordinator.lease_renewed(Token(3, 2), "n2", 1000)
    report = other_member.next_report()
    answer = coordinator.heartbeat(
        Token(3, 2), report.sent, report.generation, report.digest, report.given_up, 0
    )
    assert (answer.generation, answer.holds, answer.changed) == (6, (), True)
    # It does the same for a member with a later map than a restored copy of the
    # service's folder.
    assert coordinator.heartbeat(token, 50, 9, 1, (), 0).generation == 10
    with pytest.raises(ValueError):
        coordinator.heartbeat(token, 51, 1 << 60, 1, (), 0)


def test_restart_restores_all_holds_and_a_lost_folder_delays_grants() -> None:
    coordinator, _ownership, token = coordinator_and_member()
    restored = MigrationCoordinator.from_snapshot(
        json.loads(json.dumps(coordinator.to_snapshot())), 4, 2000, bits=BITS
    )
    assert (
        restored.to_snapshot() == coordinator.to_snapshot()
        and restored.free == coordinator.free
    )
    assert restored.expire(1999) == [] and restored.expire(2000) == [token]
    snapshot = coordinator.to_snapshot()
    for invalid_snapshot in (
        {},
        {**snapshot, "number": "x"},
        {**snapshot, "holders": snapshot["holders"] * 2},
    ):
        with pytest.raises(ValueError):
            MigrationCoordinator.from_snapshot(invalid_snapshot, 4, 0, bits=BITS)
    empty_coordinator = MigrationCoordinator(None, 4, grants_from_us=1000, bits=BITS)
    empty_coordinator.submit_map(map_document(6, (0, 255, "n2")))
    ownership = RangeOwnership("n2", bits=BITS)
    ownership.adopt_map(map_document(6, (0, 255, "n2")))
    empty_coordinator.lease_renewed(Token(4, 1), "n2", 5000)
    report = ownership.next_report()
    for now, count in ((999, 0), (1000, 1)):
        answer = empty_coordinator.heartbeat(
            Token(4, 1), report.sent + now, report.generation, report.digest, (), now
        )
        assert len(answer.holds) == count
    with pytest.raises(StaleHeartbeatError):
        empty_coordinator.heartbeat(Token(4, 1), 0, 6, report.digest, (), 1000)
    with pytest.raises(FencedError):
        empty_coordinator.heartbeat(
            Token(3, 1), 9999, 6, report.digest, (), 1000
        )  # an incarnation of the previous service epoch
    # An older incarnation of a name keeps its holds until its lease expires, and receives
    # no new ones.
    empty_coordinator.lease_renewed(Token(4, 2), "n2", 9000)
    empty_coordinator.lease_renewed(
        Token(4, 1), "n2", 1
    )  # a granted lease is not shortened
    assert empty_coordinator.expire(4999) == []
    assert (
        empty_coordinator.heartbeat(Token(4, 2), 1, 6, report.digest, (), 1001).holds
        == ()
    )
    assert empty_coordinator.ranges_in_migration() == [] and empty_coordinator.expire(
        5000
    ) == [Token(4, 1)]
    empty_coordinator.lease_renewed(Token(4, 3), "n2", 9000)
    assert (
        empty_coordinator.heartbeat(Token(4, 2), 2, 6, report.digest, (), 5000).holds
        == ()
    )
    assert (
        len(
            empty_coordinator.heartbeat(
                Token(4, 3), 1, 6, report.digest, (), 5000
            ).holds
        )
        == 1
    )
    with pytest.raises(FencedError):
        empty_coordinator.heartbeat(
            Token(4, 3), 2, 6, report.digest, (), 9000
        )  # expired, although `expire` has not run yet


def test_member_acts_within_its_lease_and_forwards_keys_of_other_owners() -> None:
    _, ownership, token = coordinator_and_member()
    linked_members: set[str] = {"n2"}

    def route_message(
        key: int,
        forwarded_generation: int | None = None,
        now: int = 0,
        deadline: int = 500,
    ) -> ActLocally | ForwardToOwner | Rejected:
        return route(
            ownership,
            key,
            now,
            deadline,
            forwarded_generation,
            {"n1", "n2"},
            linked_members.__contains__,
        )

    token_of_hold = ownership.may_act(0, 0)
    assert token_of_hold is not None and route_message(0) == ActLocally(
        token_of_hold
    ) == route_message(0, forwarded_generation=2)
    assert route_message(200, now=100) == ForwardToOwner("n2", 5, 400)
    assert route_message(200, now=500) == Rejected("late", 1)
    assert route_message(200, forwarded_generation=5) == Rejected(
        "loop", 1
    ) and route_message(200, forwarded_generation=4) == Rejected("generation", 1)
    linked_members.clear()
    assert route_message(200) == Rejected("link out", 1)
    assert (
        route_message(0, now=900, deadline=1000) == Rejected("not begun", 1)
        and ownership.held_ranges(900) == []
    )
    assert ownership.adopt_map(map_document(6, (0, 63, "n1"), (64, 255, "n9"))) == []
    assert route_message(100) == Rejected(
        "unknown owner", 1
    ) and ownership.frozen_ranges() == [(64, 127)]
    assert ownership.may_finish(100, 0) == token_of_hold and not ownership.may_finish(
        100, 900
    )
    ownership.mark_drained([(64, 99)])
    assert (
        ownership.next_report().given_up == ((64, 99),)
        and not ownership.may_finish(99, 0)
        and ownership.may_finish(100, 0)
    )
    assert ownership.adopt_map(map_document(7, (0, 255, "n1"))) == []
    assert route_message(100) == ActLocally(token_of_hold) and route_message(
        99
    ) == Rejected("not begun", 1)  # 100 is resumed; 99 was given up permanently
    assert not ownership.apply_answer(
        Token(9, 9), 99, 7, (), 10**6
    ) and ownership.may_act(0, 0)  # another incarnation's answer
    assert ownership.apply_answer(token, 99, 7, (), 900) and not ownership.may_act(
        0, 0
    )  # keys that are not listed are not held
    assert (
        not ownership.apply_answer(token, 98, 7, (), 10**6)
        and ownership.lease_expires_at_us == 900
    )
    # Holds listed under a map that the member lacks are neither started nor given up
    # until it has the map.
    holds_of_newer_map = (RangeHold(0, 9, Token(3, 5), 8),)
    assert (
        ownership.apply_answer(token, 100, 8, holds_of_newer_map, 900)
        and not ownership.may_act(5, 0)
        and ownership.next_report().given_up == ()
    )
    assert (
        ownership.service_generation == 8
        and ownership.adopt_map(map_document(8, (0, 4, "n1"), (5, 255, "n2"))) == []
    )
    assert ownership.apply_answer(
        token, 101, 8, holds_of_newer_map, 900
    ) and ownership.may_act(4, 0) == Token(3, 5)
    assert not ownership.may_act(5, 0) and ownership.next_report().given_up == ((5, 9),)
    ownership.on_lease_lost()
    assert not ownership.ranges and route_message(0) == Rejected("not begun", 1)
    assert route(
        RangeOwnership("n1"), 0, 0, 1, None, (), linked_members.__contains__
    ) == Rejected("no map", 1)
