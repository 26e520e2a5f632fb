"""The parts of the key space while a map is planned.

They are cut, merged, split where they carry much load, and merged where there are too
many.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass

MAX_PIECES = 8
"""A cell with much load is split into so many at once at most."""
NO_NEIGHBOUR = -1


@dataclass(slots=True)
class PlanCell:
    """Keys of one owner, both ends included."""

    first: int
    last: int
    owner: str | None
    """None while they have none."""
    units: int
    """What they weigh: keys, or units of load."""

    @property
    def size(self) -> int:
        """Its number of keys."""
        return self.last - self.first + 1

    def keys_for(self, units: int) -> int:
        """Keys that carry so many of this cell's units, to the nearest key.

        The load is taken as even; for keys it is exact.
        """
        if units >= self.units:
            return self.size
        # Rounded to the nearest in whole numbers.
        return (2 * units * self.size + self.units) // (2 * self.units)

    def split_at(self, keys: int) -> tuple[PlanCell, PlanCell]:
        """The first `keys` keys, from 1 to all but one, and the rest."""
        units = self.units * keys // self.size
        return (
            PlanCell(self.first, self.first + keys - 1, self.owner, units),
            PlanCell(self.first + keys, self.last, self.owner, self.units - units),
        )


def merge_neighbours(cells: list[PlanCell]) -> list[PlanCell]:
    """Adjacent cells of one owner as one."""
    merged: list[PlanCell] = []
    for cell in cells:
        if merged and merged[-1].owner == cell.owner:
            merged[-1] = PlanCell(
                merged[-1].first,
                cell.last,
                cell.owner,
                merged[-1].units + cell.units,
            )
        else:
            merged.append(cell)
    return merged


def split_hot(cells: list[PlanCell], hot: int, max_cells: int) -> list[PlanCell]:
    """Split cells of more than `hot` units, heaviest first, up to `max_cells` cells.

    The parts stay with their owner, so no key moves, but later load figures tell them
    apart.
    """
    left = max_cells - len(cells)
    result: list[PlanCell] = []
    for cell in sorted(cells, key=lambda c: (-c.units, c.first)):
        wanted = max(1, -(-cell.units // hot))
        pieces = min(MAX_PIECES, cell.size, left + 1, wanted)
        left -= pieces - 1
        rest = cell
        while pieces > 1:
            part, rest = rest.split_at(rest.size // pieces)
            result.append(part)
            pieces -= 1
        result.append(rest)
    return sorted(result, key=lambda c: c.first)


def merge_smallest(cells: list[PlanCell], max_cells: int) -> list[PlanCell]:
    """Merge cells until there are `max_cells` at most.

    The smallest joins its larger neighbour. An owner's last cell stays, so `max_cells`
    has to be the count of owners at least. Changes `cells`.
    """
    if len(cells) <= max_cells:
        return cells
    return _CellMerger(cells, max_cells).merge()


class _CellMerger:
    """The cells as a linked list, and a heap of them by size."""

    def __init__(self, cells: list[PlanCell], max_cells: int) -> None:
        count = len(cells)
        self._cells = cells
        self._count = count
        self._max_cells = max_cells
        self._before = list(range(NO_NEIGHBOUR, count - 1))
        self._after = [*range(1, count), NO_NEIGHBOUR]
        self._cells_of = Counter(cell.owner for cell in cells)
        self._by_size = [(cell.size, index) for index, cell in enumerate(cells)]
        heapq.heapify(self._by_size)
        self._alive = [True] * count

    def merge(self) -> list[PlanCell]:
        """The cells that are left."""
        while self._count > self._max_cells and self._by_size:
            size, index = heapq.heappop(self._by_size)
            if self._may_vanish(index, size):
                target = self._larger_neighbour(index)
                self._absorb(target, index)
                self._absorb_same_owner(target)
        return [cell for index, cell in enumerate(self._cells) if self._alive[index]]

    def _may_vanish(self, index: int, size: int) -> bool:
        """Whether a heap entry is up to date, and not its owner's last cell."""
        cell = self._cells[index]
        if not self._alive[index] or cell.size != size:
            return False
        return self._cells_of[cell.owner] > 1

    def _larger_neighbour(self, index: int) -> int:
        neighbours = (self._before[index], self._after[index])
        return max(
            (neighbour for neighbour in neighbours if neighbour != NO_NEIGHBOUR),
            key=lambda neighbour: (self._cells[neighbour].size, -neighbour),
        )

    def _absorb(self, target: int, index: int) -> None:
        """Two adjacent cells become one, of the owner of `target`."""
        kept, absorbed = self._cells[target], self._cells[index]
        self._cells[target] = PlanCell(
            min(kept.first, absorbed.first),
            max(kept.last, absorbed.last),
            kept.owner,
            kept.units + absorbed.units,
        )
        self._alive[index] = False
        self._cells_of[absorbed.owner] -= 1
        before, after = self._before[index], self._after[index]
        if before != NO_NEIGHBOUR:
            self._after[before] = after
        if after != NO_NEIGHBOUR:
            self._before[after] = before
        heapq.heappush(self._by_size, (self._cells[target].size, target))
        self._count -= 1

    def _absorb_same_owner(self, target: int) -> None:
        """Merge a cell that has grown with neighbours of its owner."""
        for neighbour in (self._before[target], self._after[target]):
            if (
                neighbour != NO_NEIGHBOUR
                and self._cells[neighbour].owner == self._cells[target].owner
                and self._count > self._max_cells
            ):
                self._absorb(target, neighbour)
