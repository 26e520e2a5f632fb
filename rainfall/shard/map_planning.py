"""A new map for given members and weights that moves the fewest keys.

Each member's target is its weight's share of the key space, in whole keys. Whoever has
more releases only its excess, and keys without an owner go only to members with less:
no map with these targets moves fewer. With loads the target is a share of the load
instead, and a member with too much releases its densest ranges first.
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
LOAD_SLACK = Fraction(1, 10)
"""An excess load up to this share of the target stays: loads vary, and moves cost."""
UNLOADED_SHARE = Fraction(1, 100)
"""Of the weight goes by keys, so that ranges without load are spread as well."""
LOAD_UNITS = 1 << 48
"""The whole load in whole units, so that sums are exact."""
CELLS_PER_MEMBER = 4
"""A cell with more load than a member's share divided by this is split."""


class PlanError(RainfallError, ValueError):
    """There is no plan for what was asked; the text says why, in one line."""


@dataclass(frozen=True, slots=True)
class MapPlan:
    """A planned map, and what it moves."""

    map: ShardMap
    moved_keys: int
    """Keys whose owner changes."""
    min_moved_keys: int
    """The fewest that any map with these targets moves.

    More are moved only to stay within the limit of ranges, or where loads were given.
    """
    targets: dict[str, int]
    """Keys of each member."""


def plan_map(
    members: Mapping[str, float],
    old: ShardMap | None = None,
    loads: Mapping[tuple[int, int], float] | None = None,
    most_ranges: int = MAX_RANGES,
    bits: int = KEY_BITS,
) -> MapPlan:
    """Plan a map, one generation above `old`.

    Args:
        members: Names and weights; a member of weight 0 gives up all it owns.
        old: The map in force, if there is one.
        loads: By range of `old`, in any one unit.
        most_ranges: The limit of ranges.
        bits: The width of the key space.

    Raises:
        PlanError: There is no such map.
    """
    names = sorted(name for name, weight in members.items() if weight > 0)
    _check_input(members, len(names), old, min(most_ranges, 1 << bits))
    weights = {name: Fraction(members[name]) for name in names}
    cells = _initial_cells(old, weights, bits)
    targets = apportion(1 << bits, weights, _owned_units(cells, weights))
    min_moved_keys = _min_moved_keys(cells, weights, targets)
    total_load = _weigh_by_load(cells, old, loads or {})
    owned = _owned_units(cells, weights)
    if total_load:
        goals = apportion(total_load, weights, owned)
        cells = merge_neighbours(_assign_owners(cells, owned, goals, LOAD_SLACK))
        hot = max(1, total_load // (CELLS_PER_MEMBER * len(names)))
        cells = split_hot(cells, hot, most_ranges)
    else:
        cells = merge_neighbours(_assign_owners(cells, owned, targets, Fraction(0)))
    cells = merge_smallest(cells, most_ranges)
    raw = _map_document(cells, 1 if old is None else old.generation + 1, bits)
    new = checked_map(raw, names, old, None, bits)
    return MapPlan(
        new,
        0 if old is None else count_moved_keys(new, old),
        0 if old is None else min_moved_keys,
        targets,
    )


def _check_input(
    members: Mapping[str, float], owners: int, old: ShardMap | None, most_owners: int
) -> None:
    if any(not math.isfinite(weight) or weight < 0 for weight in members.values()):
        raise PlanError("a weight is a finite number from 0")
    if not 0 < owners <= most_owners:
        raise PlanError(
            f"{owners} members with a weight, where 1 to {most_owners} can own ranges"
        )
    if old is not None and old.generation >= MAX_GENERATION:
        raise PlanError("the old map has the last generation there is")


def _min_moved_keys(
    cells: list[PlanCell], weights: Mapping[str, Fraction], targets: Mapping[str, int]
) -> int:
    """Keys above their owner's target, and keys without an owner."""
    excess = sum(
        max(0, keys - targets[name])
        for name, keys in _owned_units(cells, weights).items()
    )
    return excess + sum(cell.size for cell in cells if cell.owner is None)


def _map_document(
    cells: list[PlanCell], generation: int, bits: int
) -> dict[str, object]:
    return {
        "generation": generation,
        "ranges": [
            {
                "from": format_key(cell.first, bits),
                "to": format_key(cell.last, bits),
                "owner": cell.owner,
            }
            for cell in cells
        ],
    }


def apportion(
    total: int, weights: Mapping[str, Fraction], have: Mapping[str, int]
) -> dict[str, int]:
    """Divide `total` by weight into whole parts that add up.

    The largest remainders are rounded up; among equal ones that of the member that has
    more already, so that an even map stays as it is, then by name.
    """
    total_weight = sum(weights.values())
    exact = {name: total * weight / total_weight for name, weight in weights.items()}
    parts = {name: int(part) for name, part in exact.items()}
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
    """Weigh cells by their loads instead of their keys.

    Returns:
        The whole load in units; 0 where there is no load at all.
    """
    known = {(r.first, r.last) for r in old.ranges} if old is not None else set()
    if unknown := sorted(set(loads) - known):
        first, last = unknown[0]
        raise PlanError(
            f"a load for {first:x}-{last:x}, which is no range of the old map"
        )
    if any(not math.isfinite(load) or load < 0 for load in loads.values()):
        raise PlanError("a load is a finite number from 0")
    total_load = sum(map(Fraction, loads.values()))
    if not total_load:
        return 0
    space = sum(cell.size for cell in cells)
    for cell in cells:
        load_share = Fraction(loads.get((cell.first, cell.last), 0)) / total_load
        key_share = Fraction(cell.size, space)
        weight = load_share * (1 - UNLOADED_SHARE) + key_share * UNLOADED_SHARE
        cell.units = round(weight * LOAD_UNITS)
    return sum(cell.units for cell in cells)


def _assign_owners(
    cells: list[PlanCell],
    owned: dict[str, int],
    goals: Mapping[str, int],
    slack: Fraction,
) -> list[PlanCell]:
    """The cells with owners for all.

    What is above a goal is released, then assigned to members below theirs.
    """
    missing = {
        name: goals[name] - units
        for name, units in owned.items()
        if units < goals[name]
    }
    excess = {
        name: units - goals[name]
        for name, units in owned.items()
        if units > goals[name] * (1 + slack)
    }
    cells = _release_excess(cells, excess, missing)
    # Neighbours first: their range grows, and there is no new one.
    cells = _assign_to_neighbours(cells, missing)
    cells = _assign_to_neighbours(cells[::-1], missing, from_end=True)[::-1]
    above_goal = {name: owned[name] - goals[name] for name in owned}
    return _assign_remaining(cells, missing, above_goal)


def _release_excess(
    cells: list[PlanCell], excess: dict[str, int], missing: Mapping[str, int]
) -> list[PlanCell]:
    """Release what members have above their goals.

    Each releases whole cells, the densest first and small before large ones, and the
    rest from one end of one cell.
    """
    indexes_of: dict[str, list[int]] = {}
    for index, cell in enumerate(cells):
        if cell.owner in excess and cell.units:
            indexes_of.setdefault(str(cell.owner), []).append(index)
    replaced: dict[int, list[PlanCell]] = {}
    for name, indexes in indexes_of.items():
        indexes.sort(key=lambda index: _release_rank(cells, index))
        for index in indexes:
            cell = cells[index]
            if cell.units <= excess[name]:
                excess[name] -= cell.units
                replaced[index] = [PlanCell(cell.first, cell.last, None, cell.units)]
                continue
            keys = cell.keys_for(excess[name])
            if 0 < keys < cell.size:
                from_front = index > 0 and cells[index - 1].owner in missing
                first, last = cell.split_at(keys if from_front else cell.size - keys)
                released = first if from_front else last
                released.owner = None
                excess[name] -= released.units
                replaced[index] = [first, last]
                break
    return [
        part for index, cell in enumerate(cells) for part in replaced.get(index, [cell])
    ]


def _release_rank(cells: list[PlanCell], index: int) -> tuple[Fraction, int, int]:
    """The densest first, small before large ones, then by key."""
    cell = cells[index]
    return -Fraction(cell.units, cell.size), cell.size, index


def _assign_to_neighbours(
    cells: list[PlanCell], missing: dict[str, int], from_end: bool = False
) -> list[PlanCell]:
    """Assign cells without an owner to the owner just before them, in the order given.

    As far as that one is below its goal.
    """
    assigned: list[PlanCell] = []
    for cell in cells:
        rest = cell
        neighbour = assigned[-1].owner if assigned else None
        if (
            cell.owner is None
            and neighbour is not None
            and missing.get(neighbour, 0) > 0
        ):
            keys = cell.keys_for(missing[neighbour])
            if cell.units <= missing[neighbour]:
                missing[neighbour] -= cell.units
                cell.owner = neighbour
            elif 0 < keys < cell.size:
                low, high = cell.split_at(cell.size - keys if from_end else keys)
                taken, rest = (high, low) if from_end else (low, high)
                taken.owner = neighbour
                missing[neighbour] -= taken.units
                assigned.append(taken)
        assigned.append(rest)
    return assigned


def _assign_remaining(
    cells: list[PlanCell], missing: dict[str, int], above_goal: Mapping[str, int]
) -> list[PlanCell]:
    """Assign what no neighbour took: the largest cell to the member that lacks most.

    A cell is cut where it is more than the member lacks.
    """
    assigned = [cell for cell in cells if cell.owner is not None]
    unassigned = sorted(
        (cell for cell in cells if cell.owner is None),
        key=lambda cell: (cell.units, -cell.first),
    )
    waiting = sorted(missing, key=lambda name: (-missing[name], name))
    while unassigned:
        cell = unassigned.pop()
        while len(waiting) > 1 and missing[waiting[0]] <= 0:
            waiting.pop(0)
        # Nobody is below its goal only where loads were rounded.
        name = waiting[0] if waiting else _least_above_goal(above_goal)
        keys = cell.keys_for(missing[name]) if len(waiting) > 1 else cell.size
        if 0 < keys < cell.size:
            cell, rest = cell.split_at(keys)
            unassigned.append(rest)
        cell.owner = name
        missing[name] = missing.get(name, 0) - cell.units
        assigned.append(cell)
    return sorted(assigned, key=lambda cell: cell.first)


def _least_above_goal(above_goal: Mapping[str, int]) -> str:
    return min(above_goal, key=lambda name: (above_goal[name], name))
