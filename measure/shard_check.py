"""Measures the cost of shard map validation, and how many keys new maps move.

    python -m measure.shard_check [RANGES]

Run from the root of the repository. Prints the time to validate a map of RANGES ranges
(default 100,000) as a multiple of the time to sort the ranges in the same run, for a valid
map and for one with a fault at every second range. Compares the number of keys that move
when a member joins or leaves with the minimum possible.
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
DEFAULT_RANGES = 100_000
OWNERS = 100
FLEET_SIZES = (10, 100, 1000)
CHURN_MEMBERS = 100
CHURN_CHANGES = 200
CHURN_RANGE_LIMITS = (65_536, 1_000)
MS_PER_S = 1000


def shuffled_ranges(count: int, rng: random.Random) -> list[tuple[int, int]]:
    """`count` ranges that cover the key space, in random order, as (first, last) keys."""
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
    """A map as decoded from JSON, with its ranges spread over `owners` owners."""
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


def seconds_of(action: Callable[[], Any]) -> float:
    """The wall-clock seconds that an action takes, after a garbage collection."""
    gc.collect()
    began_s = time.perf_counter()
    action()
    return time.perf_counter() - began_s


def print_validation_times(count: int) -> None:
    """Print the validation and decoding times for maps of `count` ranges."""
    rng = random.Random(1)
    ranges = shuffled_ranges(count, rng)
    valid = map_document(ranges, OWNERS)
    faulty = map_document(
        [
            (first, min(KEY_SPACE - 1, last + 1)) if index % 2 else (first, last)
            for index, (first, last) in enumerate(ranges)
        ],
        OWNERS,
    )
    text = json.dumps(valid).encode()
    entries = [(first, last, index) for index, (first, last) in enumerate(ranges)]
    names = {f"n{number}" for number in range(OWNERS)}
    assert not map_faults(valid, names) and len(map_faults(faulty, names)) > count // 3
    actions: dict[str, Callable[[], Any]] = {
        "validation of a valid map": lambda: map_faults(valid, names),
        "validation with a fault at every second range": lambda: map_faults(
            faulty, names
        ),
        "strict JSON decoding only": lambda: decode_json(text),
        "json.loads of the same text, for comparison": lambda: json.loads(text),
    }
    multiples: dict[str, list[float]] = {name: [] for name in actions}
    sorts_ms: list[float] = []
    for _ in range(REPEATS):
        sort_s = seconds_of(lambda: sorted(entries))
        sorts_ms.append(sort_s * MS_PER_S)
        for name, action in actions.items():
            multiples[name].append(seconds_of(action) / sort_s)
    print(
        f"{count} ranges, {len(text) / 1e6:.1f} MB; "
        f"to sort: median {statistics.median(sorts_ms):.0f} ms, "
        f"{min(sorts_ms):.0f} to {max(sorts_ms):.0f} over {REPEATS} runs"
    )
    for name, values in multiples.items():
        print(
            f"{name}: median {statistics.median(values):.1f} times the sort, "
            f"{min(values):.1f} to {max(values):.1f} over {REPEATS} runs"
        )


def owned_sizes(shards: ShardMap) -> dict[str, int]:
    """The number of keys that each owner has."""
    sizes: dict[str, int] = {}
    for part in shards.ranges:
        sizes[part.owner] = sizes.get(part.owner, 0) + part.size
    return sizes


def moved_keys(old: ShardMap, new: ShardMap) -> int:
    """The number of keys whose owner differs, computed independently of the plan."""
    return sum(
        min(before.last, after.last) - max(before.first, after.first) + 1
        for before in old.ranges
        for after in new.overlapping(before.first, before.last)
        if after.owner != before.owner
    )


def min_moved_keys(old: ShardMap, new: ShardMap) -> int:
    """The minimum number of keys that must move to reach the new map's sizes."""
    old_sizes = owned_sizes(old)
    new_sizes = owned_sizes(new)
    return sum(
        max(0, size - new_sizes.get(owner, 0)) for owner, size in old_sizes.items()
    )


def print_moves(count: int) -> None:
    """Print how many keys a join and a leave move in a fleet of `count` members."""
    names = [f"n{number}" for number in range(count)]
    base = plan_map(dict.fromkeys(names, 1.0)).map
    middle = count // 2
    changes = {
        "join": [*names, "new"],
        "leave": names[:middle] + names[middle + 1 :],
    }
    for change, members in changes.items():
        began_s = time.perf_counter()
        new = plan_map(dict.fromkeys(members, 1.0), base).map
        took_ms = (time.perf_counter() - began_s) * MS_PER_S
        sizes = owned_sizes(new).values()
        moved = moved_keys(base, new)
        print(
            f"{count} members, a {change}: {moved / KEY_SPACE:.4%} of the keys move, "
            f"{moved - min_moved_keys(base, new)} keys more than the minimum; "
            f"owners differ by up to {max(sizes) - min(sizes)} keys; "
            f"{len(base.ranges)} ranges become {len(new.ranges)}; {took_ms:.0f} ms"
        )


def print_churn(count: int, changes: int, most_ranges: int) -> None:
    """Print the cost of a limit on ranges while members join and leave at random.

    The cost is the number of keys moved beyond the minimum possible.
    """
    rng = random.Random(2)
    next_number = count
    names = [f"n{number}" for number in range(count)]
    current = plan_map(dict.fromkeys(names, 1.0)).map
    extra_keys = 0
    total_keys = 0
    for _ in range(changes):
        if rng.random() < 0.5 and len(names) > count // 2:
            names.remove(rng.choice(names))
        else:
            names.append(f"n{next_number}")
            next_number += 1
        plan = plan_map(dict.fromkeys(names, 1.0), current, most_ranges=most_ranges)
        extra_keys += plan.moved_keys - plan.min_moved_keys
        total_keys += plan.moved_keys
        current = plan.map
    sizes = owned_sizes(current).values()
    print(
        f"{count} members, {changes} changes, at most {most_ranges} ranges: "
        f"{len(current.ranges)} ranges at the end, "
        f"{extra_keys / total_keys:.3%} of the moved keys were beyond the minimum, "
        f"largest owner has {max(sizes) * len(sizes) / KEY_SPACE:.3f} times an even part"
    )


def main() -> None:
    """Run all measurements, and print the results."""
    print_validation_times(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_RANGES)
    for members in FLEET_SIZES:
        print_moves(members)
    for range_limit in CHURN_RANGE_LIMITS:
        print_churn(CHURN_MEMBERS, CHURN_CHANGES, range_limit)


if __name__ == "__main__":
    main()
