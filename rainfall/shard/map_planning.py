"""A new map for given members and weights that moves the fewest keys.

Each member's target is its weight's part of the space in whole keys. Whoever has more
gives only what is over, and keys without an owner go only to who has less: no map with
these targets moves fewer. With loads the target is a part of the load instead, and who
has too much gives its densest ranges first.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from fractions import Fraction

from rainfall.errors import RainfallError
from rainfall.shard.map_validation import checked_map, count_moved_keys
from rainfall.shard.plan_cells import (
    PlanCell,
    merge_neighbours,
    merge_smallest,
    split_hot,
)
from rainfall.shard.shard_map import KEY_BITS, MAX_GENERATION, ShardMap, format_key

MAX_RANGES = 65_536
LOAD_SLACK = Fraction(
    1, 10
)  # a load this far over its target is left: loads swing, and a move costs a pause
UNLOADED_SHARE = Fraction(
    1, 100
)  # of the weight goes by keys, so that ranges without load are spread as well
LOAD_UNITS = 1 << 48  # the whole load in whole units, so that sums are exact


class PlanError(RainfallError, ValueError):
    """The text is one line: why there is no plan for what was asked."""


@dataclass(frozen=True, slots=True)
class MapPlan:
    """`moved`: keys whose owner changes.

    `least`: the fewest that any map with these `targets` (keys of each member) moves;
    more are moved only to stay within the bound on ranges, or where loads were given.
    """

    map: ShardMap
    moved_keys: int
    min_moved_keys: int
    targets: dict[str, int]


def plan_map(
    members: Mapping[str, float],
    old: ShardMap | None = None,
    loads: Mapping[tuple[int, int], float] | None = None,
    most_ranges: int = MAX_RANGES,
    bits: int = KEY_BITS,
) -> MapPlan:
    """A map one generation above `old` for `members`, name to weight (0: owns nothing,
    gives all away). `loads`: by range of `old`, in any one unit. BadPlan where there is
    none.
    """
    names = sorted(name for name, weight in members.items() if weight > 0)
    if any(not math.isfinite(weight) or weight < 0 for weight in members.values()):
        raise PlanError("a weight is a finite number from 0")
    most = min(most_ranges, 1 << bits)
    if not 0 < len(names) <= most:
        raise PlanError(
            f"{len(names)} members with a weight, where 1 to {most} can own ranges"
        )
    if old is not None and old.generation >= MAX_GENERATION:
        raise PlanError("the old map has the last generation there is")
    weights = {name: Fraction(members[name]) for name in names}
    cells = _initial_cells(old, weights, bits)
    targets = apportion(1 << bits, weights, _owned_units(cells, weights))
    least = sum(
        max(0, n - targets[name]) for name, n in _owned_units(cells, weights).items()
    )
    least += sum(c.size for c in cells if c.owner is None)
    total = _weigh_by_load(cells, old, loads or {})
    if total:
        have = _owned_units(cells, weights)
        goals = apportion(total, weights, have)
        cells = _assign_owners(cells, have, goals, LOAD_SLACK)
    else:
        cells = _assign_owners(
            cells, _owned_units(cells, weights), targets, Fraction(0)
        )
    cells = merge_neighbours(cells)
    if total:
        cells = split_hot(cells, max(1, total // (4 * len(names))), most_ranges)
    cells = merge_smallest(cells, most_ranges)
    raw = {
        "generation": 1 if old is None else old.generation + 1,
        "ranges": [
            {
                "from": format_key(c.first, bits),
                "to": format_key(c.last, bits),
                "owner": c.owner,
            }
            for c in cells
        ],
    }
    new = checked_map(raw, names, old, None, bits)
    return MapPlan(
        new,
        0 if old is None else count_moved_keys(new, old),
        0 if old is None else least,
        targets,
    )


def apportion(
    total: int, weights: Mapping[str, Fraction], have: Mapping[str, int]
) -> dict[str, int]:
    """`total` divided by weight into whole parts that add up: the largest rests are
    rounded up, among equal ones of whoever has more already (so that an even map stays
    as it is), then by name.
    """
    whole = sum(weights.values())
    exact = {name: total * weight / whole for name, weight in weights.items()}
    parts = {name: int(e) for name, e in exact.items()}
    order = sorted(exact, key=lambda n: (parts[n] - exact[n], parts[n] - have[n], n))
    for name in order[: total - sum(parts.values())]:
        parts[name] += 1
    return parts


def _initial_cells(
    old: ShardMap | None, weights: Mapping[str, Fraction], bits: int
) -> list[PlanCell]:
    if old is None:
        return [PlanCell(0, (1 << bits) - 1, None, 1 << bits)]
    return [
        PlanCell(r.first, r.last, r.owner if r.owner in weights else None, r.size)
        for r in old.ranges
    ]


def _owned_units(
    cells: list[PlanCell], weights: Mapping[str, Fraction]
) -> dict[str, int]:
    have = dict.fromkeys(weights, 0)
    for cell in cells:
        if cell.owner is not None:
            have[cell.owner] += cell.units
    return have


def _weigh_by_load(
    cells: list[PlanCell], old: ShardMap | None, loads: Mapping[tuple[int, int], float]
) -> int:
    """Cells weighed by their loads instead of their keys; the whole, 0 where there is
    no load at all.
    """
    known = {(r.first, r.last) for r in old.ranges} if old is not None else set()
    if strange := sorted(set(loads) - known):
        raise PlanError(
            f"a load for {strange[0][0]:x}-{strange[0][1]:x}, which is no range of the old map"
        )
    if any(not math.isfinite(load) or load < 0 for load in loads.values()):
        raise PlanError("a load is a finite number from 0")
    whole = sum(map(Fraction, loads.values()))
    if not whole:
        return 0
    space = sum(cell.size for cell in cells)
    for cell in cells:
        part = Fraction(loads.get((cell.first, cell.last), 0)) / whole
        cell.units = round(
            (part * (1 - UNLOADED_SHARE) + Fraction(cell.size, space) * UNLOADED_SHARE)
            * LOAD_UNITS
        )
    return sum(cell.units for cell in cells)


# -- giving and taking
# ---------------------------------------------------------------------------


def _assign_owners(
    cells: list[PlanCell],
    have: dict[str, int],
    goals: Mapping[str, int],
    slack: Fraction,
) -> list[PlanCell]:
    """The cells with owners for all: what is over a goal is given up, then handed to
    who is below.
    """
    short = {name: goals[name] - n for name, n in have.items() if n < goals[name]}
    over = {
        name: n - goals[name]
        for name, n in have.items()
        if n > goals[name] * (1 + slack)
    }
    cells = _release_excess(cells, over, short)
    # A neighbour first: its range grows, and there is no new one.
    cells = _assign_to_neighbours(cells, short)
    cells = _assign_to_neighbours(cells[::-1], short, from_end=True)[::-1]
    return _assign_remaining(
        cells, short, {name: have[name] - goals[name] for name in have}
    )


def _release_excess(
    cells: list[PlanCell], over: dict[str, int], short: Mapping[str, int]
) -> list[PlanCell]:
    """Each member with too much gives whole cells, the densest first and the small
    before the large, and the rest from one end of one cell. (Comparing cross-wise keeps
    densities exact.)
    """
    theirs: dict[str, list[int]] = {}
    for n, cell in enumerate(cells):
        if cell.owner in over and cell.units:
            theirs.setdefault(str(cell.owner), []).append(n)
    out: dict[int, list[PlanCell]] = {}
    for name, numbers in theirs.items():
        numbers.sort(
            key=lambda n: (-Fraction(cells[n].units, cells[n].size), cells[n].size, n)
        )
        for n in numbers:
            cell, left = cells[n], over[name]
            if cell.units <= left:
                over[name] -= cell.units
                out[n] = [PlanCell(cell.first, cell.last, None, cell.units)]
            elif 0 < (keys := cell.keys_for(left)) < cell.size:
                front = n > 0 and cells[n - 1].owner in short
                first, last = cell.split_at(keys if front else cell.size - keys)
                (first if front else last).owner = None
                over[name] -= (first if front else last).units
                out[n] = [first, last]
                break
    return [part for n, cell in enumerate(cells) for part in out.get(n, [cell])]


def _assign_to_neighbours(
    cells: list[PlanCell], short: dict[str, int], from_end: bool = False
) -> list[PlanCell]:
    """Cells without an owner to the owner just before them (in the order given), as far
    as it is short.
    """
    out: list[PlanCell] = []
    for cell in cells:
        beside = out[-1].owner if out else None
        if cell.owner is None and beside is not None and short.get(beside, 0) > 0:
            if cell.units <= short[beside]:
                short[beside] -= cell.units
                cell.owner = beside
            elif 0 < (keys := cell.keys_for(short[beside])) < cell.size:
                low, high = cell.split_at(cell.size - keys if from_end else keys)
                taken, cell = (high, low) if from_end else (low, high)
                taken.owner = beside
                short[beside] -= taken.units
                out.append(taken)
        out.append(cell)
    return out


def _assign_remaining(
    cells: list[PlanCell], short: dict[str, int], above: Mapping[str, int]
) -> list[PlanCell]:
    """What no neighbour took: the largest cell to who is shortest, cut where it is more
    than is short.
    """
    out = [c for c in cells if c.owner is not None]
    homeless = sorted(
        (c for c in cells if c.owner is None), key=lambda c: (c.units, -c.first)
    )
    waiting = sorted(short, key=lambda name: (-short[name], name))
    while homeless:
        cell = homeless.pop()
        while len(waiting) > 1 and short[waiting[0]] <= 0:
            waiting.pop(0)
        # Nobody is short at all only where loads were rounded: then to who has least
        # above its goal.
        name = (
            waiting[0] if waiting else min(above, key=lambda name: (above[name], name))
        )
        keys = cell.keys_for(short[name]) if len(waiting) > 1 else cell.size
        if 0 < keys < cell.size:
            cell, rest = cell.split_at(keys)
            homeless.append(rest)
        cell.owner = name
        short[name] = short.get(name, 0) - cell.units
        out.append(cell)
    return sorted(out, key=lambda c: c.first)
