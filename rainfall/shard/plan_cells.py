"""Ranges while a map is planned: cut, joined, split where they are hot, merged where
there are too many.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass

MAX_PIECES = 8  # a hot range is split into so many at once at most


@dataclass(slots=True)
class PlanCell:
    """Keys `first` to `last`; `owner` None while they have none; `units` weigh them
    (keys, or load).
    """

    first: int
    last: int
    owner: str | None
    units: int

    @property
    def size(self) -> int:
        return self.last - self.first + 1

    def keys_for(self, units: int) -> int:
        """Keys that carry `units` of this cell's, to the nearest, its load taken as
        even. Exact for keys.
        """
        return (
            self.size
            if units >= self.units
            else (2 * units * self.size + self.units) // (2 * self.units)
        )

    def split_at(self, keys: int) -> tuple[PlanCell, PlanCell]:
        """The first `keys` keys, and the rest: from 1 to all but one."""
        units = self.units * keys // self.size
        return (
            PlanCell(self.first, self.first + keys - 1, self.owner, units),
            PlanCell(self.first + keys, self.last, self.owner, self.units - units),
        )


def merge_neighbours(cells: list[PlanCell]) -> list[PlanCell]:
    """Neighbours of one owner as one."""
    out: list[PlanCell] = []
    for cell in cells:
        if out and out[-1].owner == cell.owner:
            out[-1] = PlanCell(
                out[-1].first, cell.last, cell.owner, out[-1].units + cell.units
            )
        else:
            out.append(cell)
    return out


def split_hot(cells: list[PlanCell], hot: int, max_cells: int) -> list[PlanCell]:
    """Cells of more than `hot` units halved, hottest first, while there are fewer than
    `most`: the parts stay with their owner, so nothing moves, but the next figures tell
    them apart.
    """
    left = max_cells - len(cells)
    out: list[PlanCell] = []
    for cell in sorted(cells, key=lambda c: (-c.units, c.first)):
        pieces = min(MAX_PIECES, cell.size, left + 1, max(1, -(-cell.units // hot)))
        left -= pieces - 1
        while pieces > 1:
            part, cell = cell.split_at(cell.size // pieces)
            out.append(part)
            pieces -= 1
        out.append(cell)
    return sorted(out, key=lambda c: c.first)


def merge_smallest(cells: list[PlanCell], max_cells: int) -> list[PlanCell]:
    """At most `most` cells: while there are more, the smallest joins its larger
    neighbour. An owner's last one stays, so `most` has to be at least the count of
    owners.
    """
    count = len(cells)
    if count <= max_cells:
        return cells
    before, after = list(range(-1, count - 1)), [*range(1, count), -1]
    of = Counter(c.owner for c in cells)
    heap = [(c.size, n) for n, c in enumerate(cells)]
    heapq.heapify(heap)
    alive = [True] * count

    def absorb(into: int, gone: int) -> None:
        """Two neighbours become one, under the first one's owner."""
        a, b = cells[into], cells[gone]
        cells[into] = PlanCell(
            min(a.first, b.first), max(a.last, b.last), a.owner, a.units + b.units
        )
        alive[gone] = False
        of[b.owner] -= 1
        low, high = before[gone], after[gone]
        if low >= 0:
            after[low] = high
        if high >= 0:
            before[high] = low
        heapq.heappush(heap, (cells[into].size, into))

    while count > max_cells and heap:
        size, n = heapq.heappop(heap)
        if not alive[n] or cells[n].size != size or of[cells[n].owner] < 2:
            continue
        into = max(
            (m for m in (before[n], after[n]) if m >= 0),
            key=lambda m: (cells[m].size, -m),
        )
        absorb(into, n)
        count -= 1
        for beside in (before[into], after[into]):
            if (
                beside >= 0
                and cells[beside].owner == cells[into].owner
                and count > max_cells
            ):
                absorb(into, beside)
                count -= 1
    return [c for n, c in enumerate(cells) if alive[n]]
