"""Plans a new map for given members and weights that moves the fewest keys.

Each member's target is its weighted share of the key space, in whole keys. A member
above its target releases only its excess, and keys without an owner are assigned only to
members below their target, so no map with the same targets moves fewer keys. If loads are
given, the target is a share of the load instead, and a member above it releases its
ranges with the highest load per key first.
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
"""Excess load up to this share of the target is tolerated: loads vary, and moves cost."""
UNLOADED_SHARE = Fraction(1, 100)
"""Share of a cell's weight that depends on its keys, so that idle ranges are spread too."""
LOAD_UNITS = 1 << 48
"""The total load is scaled to this many integer units, so that sums are exact."""
CELLS_PER_MEMBER = 4
"""A cell with more load than the mean load of a member divided by this is split."""


class PlanError(RainfallError, ValueError):
    """No map can be planned from the input; the text gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class MapPlan:
    """A planned map and the number of keys it moves."""

    map: ShardMap
    moved_keys: int
    """Keys whose owner changes."""
    min_moved_keys: int
    """The minimum number of keys that any map with these targets moves.

    `moved_keys` is higher only to stay within the limit of ranges, or if loads were given.
    """
    targets: dict[str, int]
    """The target number of keys by member."""


def plan_map(
    members: Mapping[str, float],
    old: ShardMap | None = None,
    loads: Mapping[tuple[int, int], float] | None = None,
    most_ranges: int = MAX_RANGES,
    bits: int = KEY_BITS,
) -> MapPlan:
    """Plan a map with a generation one above that of `old`.

    Args:
        members: Weights by name; a member of weight 0 gets no keys.
        old: The map in force; None to plan the first map.
        loads: Load by (first, last) of a range of `old`, in any common unit.
        most_ranges: The maximum number of ranges.
        bits: The width of the key space.

    Raises:
        PlanError: The input is invalid, or no map satisfies it.
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
        hot_units = max(1, total_load // (CELLS_PER_MEMBER * len(names)))
        cells = split_hot(cells, hot_units, most_ranges)
    else:
        cells = merge_neighbours(_assign_owners(cells, owned, targets, Fraction(0)))
    cells = merge_smallest(cells, most_ranges)
    document = _map_document(cells, 1 if old is None else old.generation + 1, bits)
    new = checked_map(document, names, old, None, bits)
    return MapPlan(
        new,
        0 if old is None else count_moved_keys(new, old),
        0 if old is None else min_moved_keys,
        targets,
    )


def _check_input(
    members: Mapping[str, float], owners: int, old: ShardMap | None, max_owners: int
) -> None:
    if any(not math.isfinite(weight) or weight < 0 for weight in members.values()):
        raise PlanError("a weight must be finite and at least 0")
    if not 0 < owners <= max_owners:
        raise PlanError(
            f"{owners} members have a weight above 0; between 1 and {max_owners} are allowed"
        )
    if old is not None and old.generation >= MAX_GENERATION:
        raise PlanError("the old map has the highest possible generation")


def _min_moved_keys(
    cells: list[PlanCell], weights: Mapping[str, Fraction], targets: Mapping[str, int]
) -> int:
    """Count the keys above their owner's target and the keys without an owner."""
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
    total: int, weights: Mapping[str, Fraction], owned: Mapping[str, int]
) -> dict[str, int]:
    """Divide `total` by weight into integers that add up to `total`.

    The parts with the largest remainders are rounded up. Ties go to the member that owns
    more units, so that an even map stays unchanged, then to the first name.
    """
    total_weight = sum(weights.values())
    exact = {name: total * weight / total_weight for name, weight in weights.items()}
    parts = {name: int(part) for name, part in exact.items()}
    order = sorted(
        exact,
        key=lambda member: (
            parts[member] - exact[member],
            parts[member] - owned[member],
            member,
        ),
    )
    for name in order[: total - sum(parts.values())]:
        parts[name] += 1
    return parts


def _initial_cells(
    old: ShardMap | None, weights: Mapping[str, Fraction], bits: int
) -> list[PlanCell]:
    if old is None:
        return [PlanCell(0, (1 << bits) - 1, None, 1 << bits)]
    return [
        PlanCell(
            map_range.first,
            map_range.last,
            map_range.owner if map_range.owner in weights else None,
            map_range.size,
        )
        for map_range in old.ranges
    ]


def _owned_units(
    cells: list[PlanCell], weights: Mapping[str, Fraction]
) -> dict[str, int]:
    owned = dict.fromkeys(weights, 0)
    for cell in cells:
        if cell.owner is not None:
            owned[cell.owner] += cell.units
    return owned


def _weigh_by_load(
    cells: list[PlanCell], old: ShardMap | None, loads: Mapping[tuple[int, int], float]
) -> int:
    """Set the units of the cells by their load instead of their number of keys.

    Returns:
        The total load in units; 0 if there is no load, and the cells are unchanged.
    """
    old_ranges = (
        {(map_range.first, map_range.last) for map_range in old.ranges}
        if old is not None
        else set()
    )
    if unknown := sorted(set(loads) - old_ranges):
        first, last = unknown[0]
        raise PlanError(
            f"load for {first:x}-{last:x}, which is not a range of the old map"
        )
    if any(not math.isfinite(load) or load < 0 for load in loads.values()):
        raise PlanError("a load must be finite and at least 0")
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
    """Return the cells with an owner for each.

    Units above a member's goal are released, then assigned to members below their goals.
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
    # Neighbours first: an existing range grows, so the number of ranges stays.
    cells = _assign_to_neighbours(cells, missing)
    cells = _assign_to_neighbours(cells[::-1], missing, from_end=True)[::-1]
    above_goal = {name: owned[name] - goals[name] for name in owned}
    return _assign_remaining(cells, missing, above_goal)


def _release_excess(
    cells: list[PlanCell], excess: dict[str, int], missing: Mapping[str, int]
) -> list[PlanCell]:
    """Release the units that members own above their goals.

    A member releases whole cells in the order of `_release_rank`; the rest is cut from one
    end of one cell.
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
    """Sort key of the release order: highest density first, then small cells, then by key."""
    cell = cells[index]
    return -Fraction(cell.units, cell.size), cell.size, index


def _assign_to_neighbours(
    cells: list[PlanCell], missing: dict[str, int], from_end: bool = False
) -> list[PlanCell]:
    """Assign cells without an owner to the owner of the preceding cell in `cells`.

    A cell is cut if the owner reaches its goal. With `from_end`, `cells` is in descending
    order of keys.
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
    """Assign the remaining cells: the largest cell to the member furthest below its goal.

    A cell is cut if it exceeds the units that the member is missing.
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
        # All members are at their goals only if loads were rounded.
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
