"""The shard map: its bytes, its check, plans, the keys that move when members come and
go, what is told.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from measure.scale import control_fixtures as worlds
from measure.scale import process_probe as probe
from measure.scale.growth import Growth, grow
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import FORWARDERS, ZONE_FORWARDERS, Role
from measure.shard_check import map_document, shuffled_ranges
from rainfall.shard.map_planning import plan_map
from rainfall.shard.map_validation import map_faults
from rainfall.shard.shard_map import ShardMap, format_range

RANGES = (100, 1_000, 10_000, 44_000)
OWNERS = (10, 30, 100, 300, FORWARDERS)
GROUPS = (1, 9, 30, ZONE_FORWARDERS)
REPEATS = 5
KEY_SPACE = 1 << 64
MS = "ms of processor time"


def measure_check(ranges: int) -> dict[str, float]:
    """A sound map of so many ranges at the target's owners."""
    raw = map_document(shuffled_ranges(ranges, random.Random(ranges)), FORWARDERS)
    names = {f"n{n}" for n in range(FORWARDERS)}
    return {
        "check_ms": probe.processor_ms_each(lambda: map_faults(raw, names)),
        "map_bytes": len(msgspec.json.encode(raw)),
    }


def even_map(members: int) -> ShardMap:
    return plan_map({worlds.member(n): 1.0 for n in range(members)}).map


def told_bytes(shards: ShardMap, name: str) -> int:
    """A member's own ranges in the answer to each of its beats."""
    own = [
        {
            "keys": format_range(r.first, r.last),
            "token": worlds.token(1).to_wire(),
            "begun": shards.generation,
        }
        for r in shards.ranges
        if r.owner == name
    ]
    return len(msgspec.json.encode({"map": shards.generation, "ranges": own}))


def measure_move(members: int, joined: int, left: int) -> dict[str, float]:
    """Some join, or some leave in order of their names, all in one plan."""
    base = even_map(members)
    after = {worlds.member(n): 1.0 for n in range(left, members + joined)}
    found = []
    ms = probe.processor_ms(lambda: found.append(plan_map(after, base)))
    made = found[0]
    return {
        "ms": ms,
        "moved": made.moved_keys / KEY_SPACE,
        "above_least": (made.moved_keys - made.min_moved_keys) / KEY_SPACE,
        "ranges": len(made.map.ranges),
        "map_bytes": len(msgspec.json.encode(made.map.to_wire())),
    }


def measure_owners(owners: int) -> dict[str, float]:
    """A first plan, one join and one leave."""
    base = even_map(owners)
    one = {
        "plan_ms": probe.processor_ms_each(lambda: even_map(owners)),
        "told_bytes": told_bytes(base, worlds.member(owners // 2)),
        "map_bytes": len(msgspec.json.encode(base.to_wire())),
    }
    for what, joined, left in (("join", 1, 0), ("leave", 0, 1)):
        one |= {
            f"{what}_{key}": value
            for key, value in measure_move(owners, joined, left).items()
        }
    return one


def measure_group(group: int) -> dict[str, float]:
    """So many of the target's forwarders join, or leave, at once."""
    return {
        f"{what}_{key}": value
        for what, joined, left in (("join", group, 0), ("leave", 0, group))
        for key, value in measure_move(FORWARDERS - joined, joined, left).items()
    }


def unit(key: str) -> str:
    return {"ms": MS, "bytes": "bytes", "ranges": "ranges"}.get(
        key.rpartition("_")[2], "part of all keys"
    )


def series(prefix: str, size_unit: str, growth: Growth) -> Iterable[Series]:
    for key in growth.points:
        yield Series(
            f"{prefix}_{key}",
            Role.SHARD_MAP,
            size_unit,
            unit(key),
            growth.points_of(key),
            growth.bound,
        )


def check_series(progress: Progress) -> Iterable[Series]:
    yield from series(
        "shard_ranges", "ranges", grow(RANGES, measure_check, progress, REPEATS)
    )


def owners_series(progress: Progress) -> Iterable[Series]:
    yield from series(
        "shard_owners", "owners", grow(OWNERS, measure_owners, progress, REPEATS)
    )


def groups_series(progress: Progress) -> Iterable[Series]:
    yield from series(
        "shard_group",
        "forwarders at once",
        grow(GROUPS, measure_group, progress, REPEATS),
    )


MEASUREMENTS = (
    Measurement(
        "control_shard_check",
        "bytes and check of a map against its ranges",
        check_series,
    ),
    Measurement(
        "control_shard_owners",
        "plans, one join, one leave against owners",
        owners_series,
    ),
    Measurement(
        "control_shard_groups",
        f"several of {FORWARDERS} join or leave at once",
        groups_series,
    ),
)
