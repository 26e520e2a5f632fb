"""Measures the cost of the shard map.

Measured are its bytes, its validation, its plans, the keys that move when members join
or leave, and the ranges that a member receives with each heartbeat.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from measure.scale import control_fixtures as fixtures
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
    """Measure the validation of a sound map of `ranges` ranges and all owners."""
    document = map_document(shuffled_ranges(ranges, random.Random(ranges)), FORWARDERS)
    names = {f"n{n}" for n in range(FORWARDERS)}
    return {
        "check_ms": probe.processor_ms_each(lambda: map_faults(document, names)),
        "map_bytes": len(msgspec.json.encode(document)),
    }


def even_map(members: int) -> ShardMap:
    """Plan a map for `members` members of equal weight."""
    return plan_map({fixtures.member(n): 1.0 for n in range(members)}).map


def owned_ranges_bytes(shards: ShardMap, name: str) -> int:
    """Return the bytes of a member's own ranges in the answer to each heartbeat."""
    owned = [
        {
            "keys": format_range(r.first, r.last),
            "token": fixtures.token(1).to_wire(),
            "begun": shards.generation,
        }
        for r in shards.ranges
        if r.owner == name
    ]
    return len(msgspec.json.encode({"map": shards.generation, "ranges": owned}))


def measure_move(members: int, joined: int, left: int) -> dict[str, float]:
    """Measure one plan after `joined` members join and the first `left` ones leave.

    Moved keys are given as a part of all keys; `above_least` is the part beyond the
    minimum.
    """
    base = even_map(members)
    after = {fixtures.member(n): 1.0 for n in range(left, members + joined)}
    plans = []
    spent_ms = probe.processor_ms(lambda: plans.append(plan_map(after, base)))
    plan = plans[0]
    return {
        "ms": spent_ms,
        "moved": plan.moved_keys / KEY_SPACE,
        "above_least": (plan.moved_keys - plan.min_moved_keys) / KEY_SPACE,
        "ranges": len(plan.map.ranges),
        "map_bytes": len(msgspec.json.encode(plan.map.to_wire())),
    }


def measure_owners(owners: int) -> dict[str, float]:
    """Measure a first plan, one join and one leave."""
    base = even_map(owners)
    values = {
        "plan_ms": probe.processor_ms_each(lambda: even_map(owners)),
        "told_bytes": owned_ranges_bytes(base, fixtures.member(owners // 2)),
        "map_bytes": len(msgspec.json.encode(base.to_wire())),
    }
    for what, joined, left in (("join", 1, 0), ("leave", 0, 1)):
        values |= {
            f"{what}_{key}": value
            for key, value in measure_move(owners, joined, left).items()
        }
    return values


def measure_group(group: int) -> dict[str, float]:
    """Measure `group` of the target's forwarders that join, or leave, at once."""
    return {
        f"{what}_{key}": value
        for what, joined, left in (("join", group, 0), ("leave", 0, group))
        for key, value in measure_move(FORWARDERS - joined, joined, left).items()
    }


def unit(key: str) -> str:
    """Return the unit of a measured value, from the end of its key."""
    return {"ms": MS, "bytes": "bytes", "ranges": "ranges"}.get(
        key.rpartition("_")[2], "part of all keys"
    )


def series(prefix: str, size_unit: str, growth: Growth) -> Iterable[Series]:
    """Yield one series for each measured value of a growth."""
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
    """Measure the validation of a map against its ranges."""
    yield from series(
        "shard_ranges", "ranges", grow(RANGES, measure_check, progress, REPEATS)
    )


def owners_series(progress: Progress) -> Iterable[Series]:
    """Measure plans against the number of owners."""
    yield from series(
        "shard_owners", "owners", grow(OWNERS, measure_owners, progress, REPEATS)
    )


def groups_series(progress: Progress) -> Iterable[Series]:
    """Measure plans against the number of members that join or leave at once."""
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
