"""The shard map: its bytes, its check, plans, the keys that move when members come and
go, what is told.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from measure.scale import control_probe as probe
from measure.scale import control_worlds as worlds
from measure.scale.growth import Growth, grow
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import FORWARDERS, ZONE_FORWARDERS, Role
from measure.shard_check import shuffled, told
from rainfall.shard.check import check
from rainfall.shard.maps import ShardMap, span_text
from rainfall.shard.plan import plan

RANGES = (100, 1_000, 10_000, 44_000)
OWNERS = (10, 30, 100, 300, FORWARDERS)
GROUPS = (1, 9, 30, ZONE_FORWARDERS)
REPEATS = 5
SPACE = 1 << 64
MS = "ms of processor time"


def check_once(ranges: int) -> dict[str, float]:
    """A sound map of so many ranges at the target's owners."""
    raw = told(shuffled(ranges, random.Random(ranges)), FORWARDERS)
    names = {f"n{n}" for n in range(FORWARDERS)}
    return {
        "check_ms": probe.processor_ms_each(lambda: check(raw, names)),
        "map_bytes": len(msgspec.json.encode(raw)),
    }


def even(members: int) -> ShardMap:
    return plan({worlds.member(n): 1.0 for n in range(members)}).map


def told_bytes(shards: ShardMap, name: str) -> int:
    """A member's own ranges in the answer to each of its beats."""
    own = [
        {
            "keys": span_text(r.first, r.last),
            "token": worlds.token(1).told(),
            "begun": shards.generation,
        }
        for r in shards.ranges
        if r.owner == name
    ]
    return len(msgspec.json.encode({"map": shards.generation, "ranges": own}))


def moved(members: int, joined: int, left: int) -> dict[str, float]:
    """Some join, or some leave in order of their names, all in one plan."""
    base = even(members)
    after = {worlds.member(n): 1.0 for n in range(left, members + joined)}
    found = []
    ms = probe.processor_ms(lambda: found.append(plan(after, base)))
    made = found[0]
    return {
        "ms": ms,
        "moved": made.moved / SPACE,
        "above_least": (made.moved - made.least) / SPACE,
        "ranges": len(made.map.ranges),
        "map_bytes": len(msgspec.json.encode(made.map.told())),
    }


def owners_once(owners: int) -> dict[str, float]:
    """A first plan, one join and one leave."""
    base = even(owners)
    one = {
        "plan_ms": probe.processor_ms_each(lambda: even(owners)),
        "told_bytes": told_bytes(base, worlds.member(owners // 2)),
        "map_bytes": len(msgspec.json.encode(base.told())),
    }
    for what, joined, left in (("join", 1, 0), ("leave", 0, 1)):
        one |= {
            f"{what}_{key}": value for key, value in moved(owners, joined, left).items()
        }
    return one


def group_once(group: int) -> dict[str, float]:
    """So many of the target's forwarders join, or leave, at once."""
    return {
        f"{what}_{key}": value
        for what, joined, left in (("join", group, 0), ("leave", 0, group))
        for key, value in moved(FORWARDERS - joined, joined, left).items()
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
            growth.of(key),
            growth.bound,
        )


def run_check(progress: Progress) -> Iterable[Series]:
    yield from series(
        "shard_ranges", "ranges", grow(RANGES, check_once, progress, REPEATS)
    )


def run_owners(progress: Progress) -> Iterable[Series]:
    yield from series(
        "shard_owners", "owners", grow(OWNERS, owners_once, progress, REPEATS)
    )


def run_groups(progress: Progress) -> Iterable[Series]:
    yield from series(
        "shard_group", "forwarders at once", grow(GROUPS, group_once, progress, REPEATS)
    )


MEASUREMENTS = (
    Measurement(
        "control_shard_check", "bytes and check of a map against its ranges", run_check
    ),
    Measurement(
        "control_shard_owners", "plans, one join, one leave against owners", run_owners
    ),
    Measurement(
        "control_shard_groups",
        f"several of {FORWARDERS} join or leave at once",
        run_groups,
    ),
)
