"""Runs measurements and stores their results.

    python -m measure.scale [--list | --merge FILE | NAME...]

Run from the root of the repository. Without a name all measurements run, one after
another; the results of each are stored as soon as it ends.
"""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import time
from collections.abc import Sequence
from pathlib import Path

from measure import scale
from measure.scale import results
from measure.scale.fit import fit
from measure.scale.results import Entry, Measurement, Series


def discover_measurements() -> dict[str, Measurement]:
    """Return all measurements of this package's modules, by name.

    Raises ValueError if two have the same name.
    """
    found: dict[str, Measurement] = {}
    for module in pkgutil.iter_modules(scale.__path__):
        if module.name.startswith("__"):
            continue
        loaded = importlib.import_module(f"{scale.__name__}.{module.name}")
        for measurement in getattr(loaded, "MEASUREMENTS", ()):
            if measurement.name in found:
                raise ValueError(f"duplicate measurement name: {measurement.name}")
            found[measurement.name] = measurement
    return found


def print_series(series: Series) -> None:
    """Print each point of a series, and the fitted growth."""
    print(
        f"  {series.name}, {series.value_unit} against {series.size_unit} ({series.role}):"
    )
    for point in series.points:
        lowest, highest = min(point.values), max(point.values)
        print(
            f"    {point.size:>12,g}: {point.median:.4g} ({lowest:.4g} to {highest:.4g})"
        )
    print(
        f"    {fit(series).describe(series)}; bound: {series.bound or 'not said'}",
        flush=True,
    )


def run_measurement(measurement: Measurement, path: Path) -> None:
    """Run one measurement and store its results."""
    print(f"{measurement.name}: {measurement.summary}", flush=True)
    began_s = time.perf_counter()
    origin = results.origin(f"python -m measure.scale {measurement.name}")
    series = tuple(measurement.run(lambda line: print(f"  {line}", flush=True)))
    results.merge_entries([Entry(measurement.name, origin, series)], path)
    for one in series:
        print_series(one)
    print(f"  took {time.perf_counter() - began_s:.0f} s")


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command with these arguments, by default those of the process."""
    parser = argparse.ArgumentParser(prog="python -m measure.scale")
    parser.add_argument(
        "names", nargs="*", metavar="NAME", help="measurements to run; all by default"
    )
    parser.add_argument("--list", action="store_true", help="list the measurements")
    parser.add_argument(
        "--merge",
        type=Path,
        metavar="FILE",
        help="merge the entries of another results file",
    )
    parser.add_argument(
        "--results",
        type=Path,
        default=results.RESULTS,
        help="file that stores the results",
    )
    options = parser.parse_args(arguments)
    if options.merge:
        results.merge_entries(
            results.load_entries(options.merge).values(), options.results
        )
        return
    found = discover_measurements()
    if options.list:
        for measurement in found.values():
            print(f"{measurement.name}: {measurement.summary}")
        return
    unknown = sorted(set(options.names) - set(found))
    if unknown:
        parser.error(f"no such measurement: {', '.join(unknown)}")
    for name in options.names or found:
        run_measurement(found[name], options.results)


if __name__ == "__main__":
    main()
