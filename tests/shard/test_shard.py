"""The shard map: its check against a bitmap, plans against the fewest moves, moves
against every interleaving of a small model and against random ones of a larger.
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

BITS, TOP = 8, 255
NAMES = ("n1", "n2", "n3")


def entry(first: int, last: int, owner: str = "n1") -> dict[str, Any]:
    return {"from": f"{first:02x}", "to": f"{last:02x}", "owner": owner}


def made(generation: int, *rows: tuple[int, int, str]) -> dict[str, Any]:
    return {"generation": generation, "ranges": [entry(*row) for row in rows]}


bad_entries = st.sampled_from(
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
edges = st.sampled_from([0, 1, 127, 128, 254, 255]) | st.integers(0, TOP)
entries = st.one_of(
    st.builds(entry, edges, edges, st.sampled_from([*NAMES, "n9"])), bad_entries
)


@st.composite
def partitions(draw: st.DrawFn, generation: int = 6) -> dict[str, Any]:
    cuts = [*sorted({0, *draw(st.lists(edges, max_size=6))}), TOP + 1]
    rows = [
        entry(a, b - 1, draw(st.sampled_from(NAMES)))
        for a, b in itertools.pairwise(cuts)
    ]
    return {"generation": generation, "ranges": draw(st.permutations(rows))}


@st.composite
def nearly(draw: st.DrawFn) -> dict[str, Any]:
    """A sound map with a few entries put in, left out or doubled: most faults are close
    to no fault.
    """
    rows = list(draw(partitions())["ranges"])
    for _ in range(draw(st.integers(0, 2))):
        rows.insert(draw(st.integers(0, len(rows))), draw(entries))
    for _ in range(draw(st.integers(0, 1)) if rows else 0):
        rows.pop(draw(st.integers(0, len(rows) - 1)))
    return {"generation": draw(st.integers(5, 8)), "ranges": rows}


def slow(
    raw: dict[str, Any], members: set[str], old: dict[str, Any], most: Fraction
) -> Counter[Any]:
    """The obvious model: for each key the entries that cover it. Faults as (kind,
    first, last, entries).
    """
    digits = {f"{n:02x}": n for n in range(256)}
    out: Counter[Any] = Counter()
    covers: list[list[int]] = [[] for _ in range(256)]
    for n, e in enumerate(raw["ranges"]):
        if (
            type(e) is not dict
            or set(e) != {"from", "to", "owner"}
            or type(e["owner"]) is not str
            or not e["owner"]
            or not {e["from"], e["to"]} <= set(digits)
        ):
            out["malformed", None, None, (n,)] += 1
            continue
        first, last = digits[e["from"]], digits[e["to"]]
        if e["owner"] not in members:
            out["unknown-owner", first, last, (n,)] += 1
        if first > last:
            out["inverted", first, last, (n,)] += 1
        for key in range(first, last + 1):
            covers[key].append(n)
    for who, run in itertools.groupby(range(256), lambda key: covers[key]):
        keys = list(run)
        if len(who) > 1:
            out["overlap", keys[0], keys[-1], tuple(who)] += 1
        if not who:
            beside = [
                covers[k][0] for k in (keys[0] - 1, keys[-1] + 1) if 0 <= k <= TOP
            ]
            out["gap", keys[0], keys[-1], tuple(beside)] += 1
    before = checked_map(old, bits=BITS)
    if raw["generation"] <= old["generation"]:
        out["stale-generation", None, None, ()] += 1
    moved = [
        key
        for key in range(256)
        if len(covers[key]) == 1
        and before.owner(key) in members
        and raw["ranges"][covers[key][0]]["owner"] != before.owner(key)
    ]
    if len(moved) > most * 256:
        out[
            "moves-too-much",
            moved[0],
            moved[-1],
            tuple(sorted({covers[key][0] for key in moved})),
        ] += 1
    return out


@settings(derandomize=True, deadline=None, max_examples=250)
@given(
    st.one_of(
        nearly(),
        st.builds(
            lambda g, r: {"generation": g, "ranges": r},
            st.integers(5, 8),
            st.lists(entries, max_size=6),
        ),
    ),
    partitions(),
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


def run(
    capsys: pytest.CaptureFixture[str], *args: object
) -> tuple[int, list[str], str]:
    try:
        code = main([str(arg) for arg in args])
    except SystemExit as stop:
        code = int(str(stop.code))
    out, err = capsys.readouterr()
    return code, out.splitlines(), err


def test_the_tool_tells_sound_from_faulty_from_unreadable(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert hash_key("") == 0x2D06800538D394C2  # as xxh3 publishes it

    def file(text: str | bytes) -> Path:
        path = tmp_path / f"{len(list(tmp_path.iterdir()))}.json"
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return path

    low, high, mid = "0" * 16, "f" * 16, "8" + "0" * 15
    two = [
        {"from": mid, "to": high, "owner": "n2"},
        {"from": low, "to": "7" + "f" * 15, "owner": "n1"},
    ]
    sound = file(json.dumps({"generation": 7, "ranges": two}))
    names = file('["n1", "n2"]')
    assert run(capsys, "check", sound, "--members", names) == (
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
            f'{{"generation": 1, "ranges": [{{"from": "{low}", "to": "{high}", '
            f'"owner": "a", "owner": "a"}}]}}',
            ["malformed", "gap"],
        ),
        (json.dumps({"generation": 1, "ranges": two[:1]}), ["gap"]),
        (
            json.dumps(
                {
                    "generation": 1,
                    "ranges": [*two, {"from": high, "to": high, "owner": "\ud800"}],
                }
            ),
            ["malformed"],
        ),
        (
            json.dumps(
                {
                    "generation": 1,
                    "ranges": [*two, {"from": high, "to": high, "owner": "a"}],
                }
            ),
            ["overlap"],
        ),
    ):
        code, lines, err = run(capsys, "check", file(text))
        assert (code, [line.split()[0] for line in lines], err) == (1, kinds, ""), text
    overlap = f"overlap {high}-{high}: entries 0, 2 cover it"
    assert lines == [overlap]
    assert run(capsys, "check", file(json.dumps({"generation": 1, "ranges": two[1:]})))[
        1
    ] == [f"gap {mid}-{high}: no entry covers it, after entry 0"]
    swapped = [{**two[0], "owner": "n1"}, {**two[1], "owner": "n2"}]
    other = file(json.dumps({"generation": 7, "ranges": swapped}))
    code, lines, _ = run(capsys, "check", other, "--against", sound)
    assert code == 1 and [line.split()[0] for line in lines] == [
        "stale-generation",
        "moves-too-much",
    ]
    assert (
        "another" in lines[0]
        and "the same" in run(capsys, "check", sound, "--against", sound)[1][0]
    )
    newer = file(json.dumps({"generation": 8, "ranges": swapped}))
    assert (
        run(capsys, "check", newer, "--against", sound, "--most-moved", "1.0")[0] == 0
    )
    assert run(capsys, "check", newer, "--against", sound, "--members", names)[0] == 1
    gone = [{**two[0], "owner": "n3"}, {**two[1], "owner": "n3"}]
    # Members that left do not count against a map, however much they had.
    assert (
        run(
            capsys,
            "check",
            file(json.dumps({"generation": 8, "ranges": gone})),
            "--against",
            sound,
            "--members",
            file('["n3"]'),
        )[0]
        == 0
    )
    faulty = file('{"generation": 1, "ranges": [3]}')
    for args in (
        ("check", tmp_path / "none"),
        ("check", tmp_path),
        ("check", file("")),
        ("check", file("[]")),
        ("check", file(b"\xff")),
        ("check", file("[" * 100_000)),
        ("check", file('{"generation": NaN}')),
        ("check", sound, "--members", sound),
        ("check", sound, "--members", file("[1]")),
        ("check", sound, "--against", faulty),
        ("check", sound, "--against", sound, "--most-moved", "2"),
        ("chek",),
        ("check",),
        ("plan", "--members", file("[]"), "--out", tmp_path / "o"),
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
        code, lines, err = run(capsys, *args)
        assert (code, lines, err.count("\n")) == (2, [], 1) and err.startswith(
            "shard: "
        ), (args, err)
    assert (
        run(
            capsys,
            "plan",
            "--members",
            names,
            "--from",
            faulty,
            "--out",
            tmp_path / "o",
        )[0]
        == 1
    )
    assert not (tmp_path / "o").exists()
    changed = file('["n2", "n3"]')
    assert run(
        capsys, "plan", "--members", changed, "--from", sound, "--out", tmp_path / "o"
    ) == (
        0,
        [
            f"2 ranges, 2 owners, generation 8; {1 << 63} keys move (50.00%), {1 << 63} at the least"
        ],
        "",
    )
    assert run(capsys, "check", tmp_path / "o", "--against", sound)[0] == 0


# -- plans
# -----------------------------------------------------------------------------------------


def sizes(shards: ShardMap) -> Counter[str]:
    out: Counter[str] = Counter()
    for r in shards.ranges:
        out[r.owner] += r.size
    return out


weighted = st.dictionaries(
    st.sampled_from([*NAMES, "n4", "n5"]),
    st.sampled_from([1, 1, 2, 0.3, 0]),
    min_size=1,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    partitions(),
    weighted,
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
    def most(shards: ShardMap) -> float:
        """Load on the one who has most for its weight, each range's load taken as
        even.
        """
        on: Counter[str] = Counter()
        for r in shards.ranges:
            for s in old.overlapping(r.first, r.last):
                keys = min(r.last, s.last) - max(r.first, s.first) + 1
                on[r.owner] += keys * Fraction(loads.get((s.first, s.last), 0), s.size)
        return max(load / Fraction(members[name]) for name, load in on.items())

    done = plan_map(members, old, loads, bits=BITS)
    assert done.map.owners() <= set(members)
    if old.owners() <= {name for name, weight in members.items() if weight}:
        # A hot range of a few keys cannot be cut any finer: one key's load and the part
        # that goes by keys.
        key = max(
            (Fraction(load, b - a + 1) for (a, b), load in loads.items()), default=0
        )
        lightest = min(Fraction(weight) for weight in members.values() if weight)
        assert most(done.map) <= most(old) + 2 * key / lightest


def test_hot_ranges_are_split_and_small_ones_merged() -> None:
    old = checked_map(
        made(1, (0, 15, "n1"), (16, 23, "n1"), (24, 127, "n2"), (128, 255, "n2")),
        bits=BITS,
    )
    done = plan_map(
        {"n1": 1, "n2": 1},
        old,
        {(0, 15): 90.0, (16, 23): 8.0, (24, 127): 2.0},
        bits=BITS,
    )
    hot = [r for r in done.map.ranges if r.last <= 15]
    # 48 of the 98 move, of the densest range; what stays is told apart from now on.
    assert (
        0 < sum(r.size for r in hot if r.owner == "n2") == done.moved_keys <= 9
        and len(hot) >= 4
    )
    merged = plan_map({"n1": 3, "n2": 29}, old, bits=BITS)
    assert [(r.first, r.last) for r in merged.map.ranges] == [
        (0, 23),
        (24, 255),
    ] and merged.moved_keys == 0
    # Neighbours of the one that left take its keys from either side; only the rest
    # makes a new range.
    four = checked_map(
        made(1, (0, 63, "n4"), (64, 127, "n2"), (128, 191, "n3"), (192, 255, "n1")),
        bits=BITS,
    )
    assert len(plan_map({"n1": 1, "n3": 1, "n4": 1}, four, bits=BITS).map.ranges) == 4
    # The odd key stays with whoever has it.
    odd = checked_map(
        made(1, (0, 84, "n1"), (85, 169, "n2"), (170, 255, "n3")), bits=BITS
    )
    assert plan_map(dict.fromkeys(NAMES, 1.0), odd, bits=BITS).moved_keys == 0


def test_the_planner_waits_for_members_to_stay() -> None:
    second = 1_000_000
    auto = AutoPlanner(PlanDelays())
    owners = {"n1": 1.0, "n2": 1.0}
    assert (
        auto.members_to_plan_for(owners, 10**9, True, False) is None
    )  # it has not looked yet
    auto.observe_members({"n1": 1.0}, 0)
    assert auto.next_plan_us(owners) == 2 * second
    assert auto.members_to_plan_for(owners, 2 * second - 1, True, False) is None
    assert (
        auto.members_to_plan_for(owners, 2 * second, True, True) is None
    )  # the guard against mass loss
    assert (
        auto.members_to_plan_for(owners, 2 * second, False, False) is None
    )  # another leads
    assert auto.members_to_plan_for(owners, 2 * second, True, False) == {"n1": 1.0}
    auto.on_planned(2 * second)
    owners = {"n1": 1.0}
    # n3 comes and goes eight times; n4 comes and stays. n3 costs no plan, and does not
    # hold n4's up.
    at, plans = 2 * second, 0
    for swing in range(16):
        at += 4 * second
        auto.observe_members(
            {"n1": 1.0, "n3": 1.0, "n4": 1.0} if swing % 2 else {"n1": 1.0, "n4": 1.0},
            at,
        )
        if target := auto.members_to_plan_for(owners, at, True, False):
            assert target == {"n1": 1.0, "n4": 1.0}
            owners, plans = target, plans + 1
            auto.on_planned(at)
    assert plans == 1 and owners == {"n1": 1.0, "n4": 1.0}
    due = auto.next_plan_us(owners)
    assert (
        due is not None and due - at == 320 * second
    )  # 10 s doubled at each return, to the most
    assert auto.members_to_plan_for(owners, due, True, False) == {
        "n1": 1.0,
        "n3": 1.0,
        "n4": 1.0,
    }
    auto.observe_members({}, due)
    assert (
        auto.members_to_plan_for(owners, due + 10**9, True, False) is None
    )  # nobody is left to plan for


# -- moves
# -----------------------------------------------------------------------------------------

THERE = ("map 2", "a adopts map 2", "a drained", "map 3", "a adopts map 3")
LOST = (
    *THERE,
    "a asks",
    "arrives: a(1) asks, beat 2, map 3, gave 0-7",
    "a asks",
    "lost: a(1) is told, beat 2, map 3, holds 0-7",
    "map 4",
    "a adopts map 4",
    "a asks",
)
ON = ("ab", "bb", "ab", "ab", "bb")


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
            {"maps": MOVE_THERE_AND_BACK, "asked": {"a": 2, "b": 1}, "past": THERE},
        ),
        (
            "unsaid",
            8,
            4000,
            {"maps": ON, "asked": {"a": 3, "b": 1}, "past": LOST, "losses": 1},
        ),
    ],
)
def test_each_planted_bug_is_found_and_the_core_has_none(
    bug: str, depth: int, most: int, model: dict[str, Any]
) -> None:
    broken = explore(ShardModel(**model, bug=bug), 30, most)
    assert "both act on keys" in broken.violation and len(broken.trace) == depth
    sound = explore(ShardModel(**model), depth, 10_000)
    assert sound.violation == "" and (sound.complete or sound.depth == depth)


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
def test_small_models_are_searched_to_their_end(model: dict[str, Any]) -> None:
    found = explore(ShardModel(**{"maps": ("ab", "bb"), **model}), 40, 20_000)
    assert found.complete and found.violation == "" and found.states > 700


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


def pair() -> tuple[MigrationCoordinator, RangeOwnership, Token]:
    moves, owned, token = (
        MigrationCoordinator(None, 3, bits=BITS),
        RangeOwnership("n1", bits=BITS),
        Token(3, 1),
    )
    raw = made(5, (0, 127, "n1"), (128, 255, "n2"))
    assert moves.submit_map(raw, ["n1", "n2"]) == [] and owned.adopt_map(raw) == []
    moves.lease_renewed(token, "n1", 1000)
    owned.on_joined(token, 900)
    word = owned.next_report()
    answer = moves.heartbeat(
        token, word.sent, word.generation, word.digest, word.given_up, 0
    )
    assert answer.changed and owned.apply_answer(
        token, word.sent, answer.generation, answer.holds, 900
    )
    return moves, owned, token


def test_two_maps_of_one_generation_are_told_apart() -> None:
    moves, owned, token = pair()
    held = moves.to_snapshot()
    same, other = (
        made(5, (128, 255, "n2"), (0, 127, "n1")),
        made(5, (0, 128, "n1"), (129, 255, "n2")),
    )
    assert moves.submit_map(same) == [] and owned.adopt_map(same) == []
    for faults in (
        moves.submit_map(other),
        owned.adopt_map(other),
        owned.adopt_map(made(4, (0, 255, "n1"))),
    ):
        assert [f.kind for f in faults] == ["stale-generation"]
    assert (
        moves.to_snapshot() == held
        and owned.may_act(127, 0)
        and not owned.may_act(128, 0)
    )
    # A member with the other map is given nothing under it; the service puts its own
    # above both.
    stranger = RangeOwnership("n2", bits=BITS)
    stranger.adopt_map(other)
    stranger.on_joined(Token(3, 2), 900)
    moves.lease_renewed(Token(3, 2), "n2", 1000)
    word = stranger.next_report()
    answer = moves.heartbeat(
        Token(3, 2), word.sent, word.generation, word.digest, word.given_up, 0
    )
    assert (answer.generation, answer.holds, answer.changed) == (6, (), True)
    # So it does for one that has seen later maps than a restored copy of the folder
    # knows.
    assert moves.heartbeat(token, 50, 9, 1, (), 0).generation == 10
    with pytest.raises(ValueError):
        moves.heartbeat(token, 51, 1 << 60, 1, (), 0)


def test_a_restart_knows_all_holds_and_a_lost_folder_waits() -> None:
    moves, _owned, token = pair()
    again = MigrationCoordinator.from_snapshot(
        json.loads(json.dumps(moves.to_snapshot())), 4, 2000, bits=BITS
    )
    assert again.to_snapshot() == moves.to_snapshot() and again.free == moves.free
    assert again.expire(1999) == [] and again.expire(2000) == [token]
    told = moves.to_snapshot()
    for broken in (
        {},
        {**told, "number": "x"},
        {**told, "holders": told["holders"] * 2},
    ):
        with pytest.raises(ValueError):
            MigrationCoordinator.from_snapshot(broken, 4, 0, bits=BITS)
    lost = MigrationCoordinator(None, 4, grants_from_us=1000, bits=BITS)
    lost.submit_map(made(6, (0, 255, "n2")))
    taker = RangeOwnership("n2", bits=BITS)
    taker.adopt_map(made(6, (0, 255, "n2")))
    lost.lease_renewed(Token(4, 1), "n2", 5000)
    word = taker.next_report()
    for now, count in ((999, 0), (1000, 1)):
        answer = lost.heartbeat(
            Token(4, 1), word.sent + now, word.generation, word.digest, (), now
        )
        assert len(answer.holds) == count
    with pytest.raises(StaleHeartbeatError):
        lost.heartbeat(Token(4, 1), 0, 6, word.digest, (), 1000)
    with pytest.raises(FencedError):
        lost.heartbeat(
            Token(3, 1), 9999, 6, word.digest, (), 1000
        )  # the former service's incarnation
    # An older incarnation of a name keeps what it holds until its lease is out, and is
    # given nothing new.
    lost.lease_renewed(Token(4, 2), "n2", 9000)
    lost.lease_renewed(Token(4, 1), "n2", 1)  # a lease once told is not shortened
    assert lost.expire(4999) == []
    assert lost.heartbeat(Token(4, 2), 1, 6, word.digest, (), 1001).holds == ()
    assert lost.ranges_in_migration() == [] and lost.expire(5000) == [Token(4, 1)]
    lost.lease_renewed(Token(4, 3), "n2", 9000)
    assert lost.heartbeat(Token(4, 2), 2, 6, word.digest, (), 5000).holds == ()
    assert len(lost.heartbeat(Token(4, 3), 1, 6, word.digest, (), 5000).holds) == 1
    with pytest.raises(FencedError):
        lost.heartbeat(
            Token(4, 3), 2, 6, word.digest, (), 9000
        )  # out, though nobody has looked yet


def test_a_member_acts_within_its_lease_and_passes_what_is_not_its_own() -> None:
    _, owned, token = pair()
    up: set[str] = {"n2"}

    def go(
        key: int, passed: int | None = None, now: int = 0, until: int = 500
    ) -> ActLocally | ForwardToOwner | Rejected:
        return route(owned, key, now, until, passed, {"n1", "n2"}, up.__contains__)

    mine = owned.may_act(0, 0)
    assert mine is not None and go(0) == ActLocally(mine) == go(0, passed=2)
    assert go(200, now=100) == ForwardToOwner("n2", 5, 400)
    assert go(200, now=500) == Rejected("late", 1)
    assert go(200, passed=5) == Rejected("loop", 1) and go(200, passed=4) == Rejected(
        "generation", 1
    )
    up.clear()
    assert go(200) == Rejected("link out", 1)
    assert (
        go(0, now=900, until=1000) == Rejected("not begun", 1)
        and owned.held_ranges(900) == []
    )
    assert owned.adopt_map(made(6, (0, 63, "n1"), (64, 255, "n9"))) == []
    assert go(100) == Rejected("unknown owner", 1) and owned.frozen_ranges() == [
        (64, 127)
    ]
    assert owned.may_finish(100, 0) == mine and not owned.may_finish(100, 900)
    owned.mark_drained([(64, 99)])
    assert (
        owned.next_report().given_up == ((64, 99),)
        and not owned.may_finish(99, 0)
        and owned.may_finish(100, 0)
    )
    assert owned.adopt_map(made(7, (0, 255, "n1"))) == []
    assert go(100) == ActLocally(mine) and go(99) == Rejected(
        "not begun", 1
    )  # thawed; given up for good
    assert not owned.apply_answer(Token(9, 9), 99, 7, (), 10**6) and owned.may_act(
        0, 0
    )  # not this incarnation's
    assert owned.apply_answer(token, 99, 7, (), 900) and not owned.may_act(
        0, 0
    )  # what is not listed is not held
    assert (
        not owned.apply_answer(token, 98, 7, (), 10**6)
        and owned.lease_expires_at_us == 900
    )
    # Listed under a map that it does not have: neither begun nor given up until it has.
    newer = (RangeHold(0, 9, Token(3, 5), 8),)
    assert (
        owned.apply_answer(token, 100, 8, newer, 900)
        and not owned.may_act(5, 0)
        and owned.next_report().given_up == ()
    )
    assert (
        owned.service_generation == 8
        and owned.adopt_map(made(8, (0, 4, "n1"), (5, 255, "n2"))) == []
    )
    assert owned.apply_answer(token, 101, 8, newer, 900) and owned.may_act(
        4, 0
    ) == Token(3, 5)
    assert not owned.may_act(5, 0) and owned.next_report().given_up == ((5, 9),)
    owned.on_lease_lost()
    assert not owned.ranges and go(0) == Rejected("not begun", 1)
    assert route(RangeOwnership("n1"), 0, 0, 1, None, (), up.__contains__) == Rejected(
        "no map", 1
    )
