"""The shard map's check at 100,000 ranges, as a multiple of the time to sort them (in
turn, same run), on a sound map and on one where every second range is at fault; and the
keys that a join and a leave move, beside the fewest possible: what members have above
their new part, and all that a leaving one had.

    python -m measure.shard_check [RANGES]
"""

from __future__ import annotations

import gc
import json
import random
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any

from rainfall.shard.map_planning import plan_map
from rainfall.shard.map_validation import map_faults
from rainfall.shard.shard_map import ShardMap, decode_json, format_key

REPEATS = 7
KEY_SPACE = 1 << 64


def shuffled_ranges(count: int, rng: random.Random) -> list[tuple[int, int]]:
    """`count` ranges that fill the space, in any order."""
    cuts: list[int] = []
    while len(cuts) < count - 1:
        cuts = sorted(
            {
                *cuts,
                *(rng.randrange(1, KEY_SPACE) for _ in range(count - 1 - len(cuts))),
            }
        )
    ranges = list(
        zip([0, *cuts], [cut - 1 for cut in cuts] + [KEY_SPACE - 1], strict=True)
    )
    rng.shuffle(ranges)
    return ranges


def map_document(ranges: list[tuple[int, int]], owners: int) -> dict[str, Any]:
    return {
        "generation": 7,
        "ranges": [
            {
                "from": format_key(first),
                "to": format_key(last),
                "owner": f"n{first % owners}",
            }
            for first, last in ranges
        ],
    }


def seconds_of(act: Callable[[], Any]) -> float:
    gc.collect()
    began = time.perf_counter()
    act()
    return time.perf_counter() - began


def print_check_times(count: int) -> None:
    rng = random.Random(1)
    ranges = shuffled_ranges(count, rng)
    sound = map_document(ranges, 100)
    faulty = map_document(
        [
            (first, min(KEY_SPACE - 1, last + 1)) if n % 2 else (first, last)
            for n, (first, last) in enumerate(ranges)
        ],
        100,
    )
    text = json.dumps(sound).encode()
    entries = [(first, last, n) for n, (first, last) in enumerate(ranges)]
    names = {f"n{n}" for n in range(100)}
    assert not map_faults(sound, names) and len(map_faults(faulty, names)) > count // 3
    rows: dict[str, list[float]] = {}
    sorts = []
    for _ in range(REPEATS):
        sort = seconds_of(lambda: sorted(entries))
        sorts.append(sort * 1000)
        for name, act in (
            ("check of a sound map", lambda: map_faults(sound, names)),
            (
                "check with a fault at every second range",
                lambda: map_faults(faulty, names),
            ),
            ("strict reading of the JSON alone", lambda: decode_json(text)),
            ("json.loads of it, for comparison", lambda: json.loads(text)),
        ):
            rows.setdefault(name, []).append(seconds_of(act) / sort)
    print(
        f"{count} ranges, {len(text) / 1e6:.1f} MB; to sort: median {statistics.median(sorts):.0f} ms, "
        f"{min(sorts):.0f} to {max(sorts):.0f} over {REPEATS} runs"
    )
    for name, figures in rows.items():
        print(
            f"{name}: median {statistics.median(figures):.1f} times the sort, "
            f"{min(figures):.1f} to {max(figures):.1f} over {REPEATS} runs"
        )


def owned_sizes(shards: ShardMap) -> dict[str, int]:
    out: dict[str, int] = {}
    for r in shards.ranges:
        out[r.owner] = out.get(r.owner, 0) + r.size
    return out


def moved_keys(old: ShardMap, new: ShardMap) -> int:
    """Counted key range by key range here, not taken from the plan."""
    return sum(
        min(r.last, s.last) - max(r.first, s.first) + 1
        for r in old.ranges
        for s in new.overlapping(r.first, r.last)
        if s.owner != r.owner
    )


def fewest_moved_keys(old: ShardMap, new: ShardMap) -> int:
    have, get = owned_sizes(old), owned_sizes(new)
    return sum(max(0, n - get.get(name, 0)) for name, n in have.items())


def print_moves(count: int) -> None:
    names = [f"n{n}" for n in range(count)]
    base = plan_map(dict.fromkeys(names, 1.0)).map
    for what, members in (
        ("join", [*names, "new"]),
        ("leave", names[: count // 2] + names[count // 2 + 1 :]),
    ):
        began = time.perf_counter()
        new = plan_map(dict.fromkeys(members, 1.0), base).map
        took = time.perf_counter() - began
        get = owned_sizes(new)
        print(
            f"{count} members, a {what}: {moved_keys(base, new) / KEY_SPACE:.4%} of the keys move, "
            f"{moved_keys(base, new) - fewest_moved_keys(base, new)} keys more than the "
            f"fewest; parts differ by "
            f"{max(get.values()) - min(get.values())} keys; {len(base.ranges)} ranges become "
            f"{len(new.ranges)}; {took * 1000:.0f} ms"
        )


def print_churn(count: int, changes: int, most_ranges: int) -> None:
    """Members come and go at random: what the bound on ranges costs in keys moved past
    the fewest.
    """
    rng, serial = random.Random(2), count
    names = [f"n{n}" for n in range(count)]
    at = plan_map(dict.fromkeys(names, 1.0)).map
    extra = total = 0
    for _ in range(changes):
        if rng.random() < 0.5 and len(names) > count // 2:
            names.remove(rng.choice(names))
        else:
            names.append(f"n{serial}")
            serial += 1
        done = plan_map(dict.fromkeys(names, 1.0), at, most_ranges=most_ranges)
        extra, total, at = (
            extra + done.moved_keys - done.min_moved_keys,
            total + done.moved_keys,
            done.map,
        )
    get = owned_sizes(at)
    print(
        f"{count} members, {changes} changes, at most {most_ranges} ranges: {len(at.ranges)} ranges at the "
        f"end, {extra / total:.3%} of what moved was past the fewest, largest part "
        f"{max(get.values()) * len(get) / KEY_SPACE:.3f} of the even one"
    )


if __name__ == "__main__":
    print_check_times(int(sys.argv[1]) if len(sys.argv) > 1 else 100_000)
    for members in (10, 100, 1000):
        print_moves(members)
    print_churn(100, 200, 65_536)
    print_churn(100, 200, 1_000)
