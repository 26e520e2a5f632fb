"""Cells: the parts of the key space that planning cuts, assigns and merges.

Hot cells are split, and the smallest cells are merged to stay within a limit.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass

MAX_PIECES = 8
"""Maximum number of cells that one hot cell is split into at once."""
NO_NEIGHBOUR = -1


@dataclass(slots=True)
class PlanCell:
    """A range of keys of one owner, both ends included."""

    first: int
    last: int
    owner: str | None
    """None while the keys have no owner."""
    units: int
    """The weight of the cell: its number of keys, or units of load."""

    @property
    def size(self) -> int:
        """The number of keys in the cell."""
        return self.last - self.first + 1

    def keys_for(self, units: int) -> int:
        """Return the number of keys that carry `units` of this cell, to the nearest key.

        Load is assumed to be uniform over the cell; if units are keys, the result is exact.
        """
        if units >= self.units:
            return self.size
        # Integer division that rounds to the nearest.
        return (2 * units * self.size + self.units) // (2 * self.units)

    def split_at(self, keys: int) -> tuple[PlanCell, PlanCell]:
        """Split off the first `keys` keys, with 1 <= `keys` < `size`; returns both parts."""
        units = self.units * keys // self.size
        return (
            PlanCell(self.first, self.first + keys - 1, self.owner, units),
            PlanCell(self.first + keys, self.last, self.owner, self.units - units),
        )


def merge_neighbours(cells: list[PlanCell]) -> list[PlanCell]:
    """Return the cells with adjacent cells of one owner merged."""
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


def split_hot(cells: list[PlanCell], hot_units: int, max_cells: int) -> list[PlanCell]:
    """Split cells of more than `hot_units` units, heaviest first, up to `max_cells` cells.

    The parts keep their owner, so no key moves, but later load figures are reported for
    each part.
    """
    cells_left = max_cells - len(cells)
    result: list[PlanCell] = []
    for cell in sorted(
        cells, key=lambda candidate: (-candidate.units, candidate.first)
    ):
        wanted = max(1, -(-cell.units // hot_units))
        pieces = min(MAX_PIECES, cell.size, cells_left + 1, wanted)
        cells_left -= pieces - 1
        rest = cell
        while pieces > 1:
            part, rest = rest.split_at(rest.size // pieces)
            result.append(part)
            pieces -= 1
        result.append(rest)
    return sorted(result, key=lambda candidate: candidate.first)


def merge_smallest(cells: list[PlanCell], max_cells: int) -> list[PlanCell]:
    """Merge cells until at most `max_cells` are cells_left; modifies `cells`.

    The smallest cell is merged into its larger neighbour. An owner's last cell stays, so
    `max_cells` must be at least the number of owners.
    """
    if len(cells) <= max_cells:
        return cells
    return _CellMerger(cells, max_cells).merge()


class _CellMerger:
    """A linked list of the cells and a heap of them by size."""

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
        """Merge until the limit is met, and return the remaining cells."""
        while self._count > self._max_cells and self._by_size:
            size, index = heapq.heappop(self._by_size)
            if self._can_merge(index, size):
                target = self._larger_neighbour(index)
                self._absorb(target, index)
                self._absorb_same_owner(target)
        return [cell for index, cell in enumerate(self._cells) if self._alive[index]]

    def _can_merge(self, index: int, size: int) -> bool:
        """Return whether a heap entry is current and its cell is not its owner's last one."""
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
        """Merge the cell at `index` into the adjacent cell at `target`."""
        target_cell, absorbed = self._cells[target], self._cells[index]
        self._cells[target] = PlanCell(
            min(target_cell.first, absorbed.first),
            max(target_cell.last, absorbed.last),
            target_cell.owner,
            target_cell.units + absorbed.units,
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
        """Merge a cell that has grown with neighbours of the same owner."""
        for neighbour in (self._before[target], self._after[target]):
            if (
                neighbour != NO_NEIGHBOUR
                and self._cells[neighbour].owner == self._cells[target].owner
                and self._count > self._max_cells
            ):
                self._absorb(target, neighbour)
