"""``python -m rainfall.lab``: check, run, sweep and report experiments of the fleet lab."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from rainfall.lab import report, sweep
from rainfall.lab.experiment import Experiment, ExperimentError, read

if TYPE_CHECKING:
    Subparsers = argparse._SubParsersAction[argparse.ArgumentParser]

EXIT_CLEAN = 0
EXIT_BREACH = 1
EXIT_FAULTY = 2
EXIT_INTERRUPTED = 130
SHOWN_RESULTS = ("total", "lost", "doubled", "lag_ms", "valid", "breaches")
"""Keys of the verdict that are printed after a run."""


def parse_arguments(argv: list[str]) -> argparse.Namespace:
    """Parse the command line; exits with code 2 on invalid options."""
    parser = argparse.ArgumentParser(prog="python -m rainfall.lab", description=__doc__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    _add_check_parser(subparsers)
    _add_run_parser(subparsers)
    _add_sweep_parser(subparsers)
    _add_report_parsers(subparsers)
    return parser.parse_args(argv)


def _add_check_parser(subparsers: Subparsers) -> None:
    check = subparsers.add_parser(
        "check",
        help="check an experiment file and print the size of its fleet and load",
    )
    check.add_argument("experiment", type=Path)
    check.add_argument(
        "--seed", type=int, help="also list the faults generated from this seed"
    )


def _add_run_parser(subparsers: Subparsers) -> None:
    run_parser = subparsers.add_parser(
        "run", help="run an experiment; exit 1 on any breach"
    )
    run_parser.add_argument("experiment", type=Path)
    run_parser.add_argument(
        "--out",
        type=Path,
        required=True,
        help="folder for records, verdict, logs and report",
    )
    run_parser.add_argument(
        "--seed",
        type=int,
        help="seed of the load and the faults (default: the one in the file)",
    )
    run_parser.add_argument("--no-report", action="store_true", help="skip the plots")


def _add_sweep_parser(subparsers: Subparsers) -> None:
    sweep_parser = subparsers.add_parser(
        "sweep", help="run an experiment with many seeds; exit 1 on any breach"
    )
    sweep_parser.add_argument("experiment", type=Path)
    sweep_parser.add_argument(
        "--seeds",
        type=sweep.parse_seeds,
        required=True,
        help="such as 1-100 or 3,7,20-29",
    )
    sweep_parser.add_argument(
        "--jobs", type=sweep.parse_jobs, default=1, help="runs in parallel (default 1)"
    )
    sweep_parser.add_argument(
        "--out",
        type=Path,
        required=True,
        help="folder for summary.json and one folder for each seed",
    )
    sweep_parser.add_argument(
        "--keep",
        choices=("all", "failures", "none"),
        default="all",
        help="which run folders to keep: all, those with a breach, or none",
    )


def _add_report_parsers(subparsers: Subparsers) -> None:
    report_parser = subparsers.add_parser(
        "report", help="write the report of a finished run again"
    )
    report_parser.add_argument("folder", type=Path)
    path_parser = subparsers.add_parser(
        "path",
        help="print one message's events in all processes, as JSON lines in time order",
    )
    path_parser.add_argument("folder", type=Path)
    path_parser.add_argument(
        "key", help="the message's idempotency key, as in verdict.json"
    )


def _fail(text: object, code: int = EXIT_FAULTY) -> int:
    """Print an error to stderr and return the exit code."""
    print(f"lab: {text}", file=sys.stderr)
    return code


def _show_results(args: argparse.Namespace) -> int:
    """Run the command ``report`` or ``path``, which only read the folder of a run."""
    try:
        if args.command == "report":
            print(report.write_report(args.folder))
        else:
            for line in report.message_path(args.folder, args.key):
                print(json.dumps(line))
    except (FileNotFoundError, ValueError) as error:
        return _fail(f"cannot read a run from {args.folder}: {error}")
    return EXIT_CLEAN


def _check(experiment: Experiment, seed: int | None) -> int:
    from rainfall.lab.nemesis import fault_timeline

    print(
        f"{experiment.name}: {experiment.fleet.forwarders} forwarders, "
        f"{len(experiment.endpoint_names())} endpoints, {len(experiment.faults)} faults, "
        f"{experiment.load.rate_per_s:g} messages a second for {experiment.duration_s:g} s"
    )
    faults = () if seed is None else fault_timeline(experiment, seed)
    for fault in faults:
        duration = f"{fault.for_s:g} s"
        if fault.restart:
            duration = f"restart {fault.restart} after {fault.after_s:g} s"
        target = fault.target or f"zone {fault.zone}"
        print(f"{fault.at_s:9.3f} s  {fault.kind:8} {target}  {duration}")
    return EXIT_CLEAN


def _run(experiment: Experiment, seed: int, out: Path, with_report: bool) -> int:
    from rainfall.lab.processes import StartError
    from rainfall.lab.runner import LoadError, run

    try:
        result = asyncio.run(run(experiment, seed, out))
    except (StartError, LoadError, RuntimeError, TimeoutError, OSError) as error:
        return _fail(
            f"{error or 'the run timed out'}; all processes of the run were stopped"
        )
    except (KeyboardInterrupt, asyncio.CancelledError):
        return _fail(
            "interrupted; all processes of the run were stopped", EXIT_INTERRUPTED
        )
    if with_report:
        report.write_report(out)
    print(json.dumps({name: result[name] for name in SHOWN_RESULTS}))
    return EXIT_BREACH if result["breaches"] else EXIT_CLEAN


def main(argv: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    args = parse_arguments(sys.argv[1:] if argv is None else argv)
    if args.command in ("report", "path"):
        return _show_results(args)
    try:
        experiment = read(args.experiment)
    except ExperimentError as error:
        for message in error.errors:
            _fail(message)
        return EXIT_FAULTY
    if args.command == "check":
        return _check(experiment, args.seed)
    if args.command == "sweep":
        try:
            return sweep.sweep(
                experiment, args.experiment, args.seeds, args.jobs, args.out, args.keep
            )
        except OSError as error:
            return _fail(error)
    seed = experiment.seed if args.seed is None else args.seed
    return _run(experiment, seed, args.out, not args.no_report)


if __name__ == "__main__":
    sys.exit(main())
