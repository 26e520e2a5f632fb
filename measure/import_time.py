"""How long the forwarder takes to import, old against new, in alternation: ``python
measure/import_time.py [--old REV] [--pairs N]``. The old tree is written from git into
a temporary folder. Times in ms, by the wall and of the processor (which other work on
the machine moves less): medians, and the quartiles of the pairs' differences.
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

ROOT = Path(__file__).resolve().parent.parent
MODULES = ("rainfall.__main__", "rainfall.forwarder.engine.engine")
CODE = """
import importlib, sys, time
before = set(sys.modules)
began, spent = time.perf_counter_ns(), time.process_time_ns()
importlib.import_module({module!r})
took, spent = time.perf_counter_ns() - began, time.process_time_ns() - spent
own = [name for name in sys.modules if name.startswith('rainfall') and name not in before]
print(took / 1e6, spent / 1e6, len(set(sys.modules) - before), len(own))
"""


def import_once(tree: Path, module: str) -> tuple[list[float], dict[str, int]]:
    """Ms by the wall and of the processor; modules imported, and how many of these are
    our own.
    """
    done = subprocess.run(
        [sys.executable, "-c", CODE.format(module=module)],
        cwd=tree,
        check=True,
        capture_output=True,
        text=True,
    )
    wall_ns, cpu_ns, modules, own = done.stdout.split()
    return [float(wall_ns), float(cpu_ns)], {"modules": int(modules), "own": int(own)}


def compare(old: Path, new: Path, module: str, pairs: int) -> dict[str, object]:
    trees = {"old": old, "new": new}
    for tree in trees.values():
        compileall.compile_dir(tree / "rainfall", quiet=2)  # as the build does
    times: dict[str, list[list[float]]] = {"old": [], "new": []}
    found: dict[str, object] = {"module": module, "pairs": pairs}
    for n in range(pairs):
        for name in ("old", "new") if n % 2 else ("new", "old"):
            took, found[name] = import_once(trees[name], module)
            times[name].append(took)
    for column, clock in enumerate(("wall_ms", "cpu_ms")):
        values = {name: [row[column] for row in rows] for name, rows in times.items()}
        by_pair = [b - a for a, b in zip(values["old"], values["new"], strict=True)]
        low, middle, high = statistics.quantiles(by_pair, n=4)
        found[clock] = {
            "old": round(statistics.median(values["old"]), 2),
            "new": round(statistics.median(values["new"]), 2),
            "difference": round(middle, 2),
            "quartiles": [round(low, 2), round(high, 2)],
        }
    return found


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", default="250e431", help="the commit to compare with")
    parser.add_argument("--pairs", type=int, default=11)
    args = parser.parse_args()
    packed = subprocess.run(
        ["git", "archive", args.old, "rainfall"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=BytesIO(packed)) as tar:
            tar.extractall(folder, filter="data")
        for module in MODULES:
            print(json.dumps(compare(Path(folder), ROOT, module, args.pairs)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
