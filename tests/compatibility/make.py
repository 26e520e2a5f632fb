"""Regenerates the reference data: `python -m tests.compatibility.make`.

Run it only after an intended change of a stored or sent format.
"""

from __future__ import annotations

from tests.compatibility import (
    frames,
    handovers,
    journals,
    members,
    operators,
    registries,
    shards,
    wires,
)
from tests.compatibility.references import write

MAKERS = (
    journals.made,
    handovers.made,
    members.made,
    frames.made,
    registries.made,
    shards.made,
    operators.made,
    wires.made,
)


def main() -> None:
    for make in MAKERS:
        for name, value in make().items():
            write(name, value)


if __name__ == "__main__":
    main()
