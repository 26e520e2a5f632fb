"""Make the reference data anew: `python -m tests.compatibility.make`.

Right only where a stored or sent form was meant to change.
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
