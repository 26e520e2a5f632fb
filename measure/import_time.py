"""Compares the import time of the forwarder between a former tree and this one.

    python -m measure.import_time [--old REV] [--old-package NAME] [--pairs N]

Run from the root of the repository. The former tree is extracted from git into a temporary
folder; its package may have another name (`lemonshunt` until the rename). The two trees
are imported alternately. Prints wall-clock and processor times in ms, as medians and the
quartiles of the differences within pairs. Processor time is less affected by other work
on the machine.
"""

from __future__ import annotations

import argparse
import compileall
import json
import statistics
import subprocess
import sys
import tarfile
import tempfile
from io import BytesIO
from pathlib import Path
from typing import NamedTuple

from measure.paths import ROOT

PACKAGE = "rainfall"
"""The package's name in this tree."""
FORMER_PACKAGE = "lemonshunt"
"""The package's name in former trees."""
FORMER_COMMIT = "250e431"
MODULES = {
    "__main__": "__main__",
    "forwarder.engine.engine": "net.engine",
}
"""Maps each module of this tree to its former name, both without the package."""
DEFAULT_PAIRS = 11
NS_PER_MS = 1e6
CODE = """
import importlib, sys, time
before = set(sys.modules)
began, spent = time.perf_counter_ns(), time.process_time_ns()
importlib.import_module({module!r})
took, spent = time.perf_counter_ns() - began, time.process_time_ns() - spent
own = [name for name in sys.modules if name.startswith({package!r}) and name not in before]
print(took, spent, len(set(sys.modules) - before), len(own))
"""


class Tree(NamedTuple):
    """A folder with the package, the package's name, and the module to import."""

    folder: Path
    package: str
    module: str


class ImportCost(NamedTuple):
    """The times of one import, and the number of modules that it loaded."""

    wall_ms: float
    cpu_ms: float
    modules: int
    own_modules: int


def import_once(tree: Tree) -> ImportCost:
    """Import a tree's module in a new process, and return the cost."""
    code = CODE.format(module=f"{tree.package}.{tree.module}", package=tree.package)
    process = subprocess.run(
        [sys.executable, "-c", code],
        cwd=tree.folder,
        check=True,
        capture_output=True,
        text=True,
    )
    wall_ns, cpu_ns, modules, own_modules = map(int, process.stdout.split())
    return ImportCost(wall_ns / NS_PER_MS, cpu_ns / NS_PER_MS, modules, own_modules)


def compare(old: Tree, new: Tree, pairs: int) -> dict[str, object]:
    """Import both trees in `pairs` alternating pairs; the costs as a JSON-compatible dict."""
    for tree in (old, new):
        # The build compiles the sources, so measure with bytecode present.
        compileall.compile_dir(tree.folder / tree.package, quiet=2)
    old_costs: list[ImportCost] = []
    new_costs: list[ImportCost] = []
    for number in range(pairs):
        if number % 2:
            old_costs.append(import_once(old))
            new_costs.append(import_once(new))
        else:
            new_costs.append(import_once(new))
            old_costs.append(import_once(old))
    return {
        "module": f"{new.package}.{new.module}",
        "pairs": pairs,
        "old": {"modules": old_costs[-1].modules, "own": old_costs[-1].own_modules},
        "new": {"modules": new_costs[-1].modules, "own": new_costs[-1].own_modules},
        "wall_ms": _difference(
            [cost.wall_ms for cost in old_costs], [cost.wall_ms for cost in new_costs]
        ),
        "cpu_ms": _difference(
            [cost.cpu_ms for cost in old_costs], [cost.cpu_ms for cost in new_costs]
        ),
    }


def _difference(old_ms: list[float], new_ms: list[float]) -> dict[str, object]:
    differences_ms = [new - old for old, new in zip(old_ms, new_ms, strict=True)]
    lower_quartile, median, upper_quartile = statistics.quantiles(differences_ms, n=4)
    return {
        "old": round(statistics.median(old_ms), 2),
        "new": round(statistics.median(new_ms), 2),
        "difference": round(median, 2),
        "quartiles": [round(lower_quartile, 2), round(upper_quartile, 2)],
    }


def extract_tree(commit: str, package: str, folder: Path) -> None:
    """Extract the package at a commit into a folder."""
    archive_bytes = subprocess.run(
        ["git", "archive", commit, package], cwd=ROOT, check=True, capture_output=True
    ).stdout
    with tarfile.open(fileobj=BytesIO(archive_bytes)) as archive:
        archive.extractall(folder, filter="data")


def main() -> int:
    """Parse the command line, run the comparison, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--old", default=FORMER_COMMIT, help="the commit to compare with"
    )
    parser.add_argument(
        "--old-package",
        default=FORMER_PACKAGE,
        help="the package's name at that commit",
    )
    parser.add_argument("--pairs", type=int, default=DEFAULT_PAIRS)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        extract_tree(args.old, args.old_package, folder)
        for module, former_module in MODULES.items():
            is_renamed = args.old_package != PACKAGE
            old_module = former_module if is_renamed else module
            old = Tree(folder, args.old_package, old_module)
            new = Tree(ROOT, PACKAGE, module)
            print(json.dumps(compare(old, new, args.pairs)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
