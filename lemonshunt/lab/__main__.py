"""``python -m lemonshunt.lab``: check, run and report experiments of the fleet lab."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path

from lemonshunt.lab import checker, report
from lemonshunt.lab.experiment import ExperimentError, read


def arguments(argv: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m lemonshunt.lab", description=__doc__)
    sub = parser.add_subparsers(dest="command", required=True)
    check = sub.add_parser("check", help="check an experiment file and say what it would start")
    check.add_argument("experiment", type=Path)
    play = sub.add_parser("run", help="play an experiment; exit 1 if anything was lost or doubled")
    play.add_argument("experiment", type=Path)
    play.add_argument("--out", type=Path, required=True, help="folder for records, verdict, logs and report")
    play.add_argument("--seed", type=int, help="the seed of load and faults (default: the file's)")
    play.add_argument("--no-report", action="store_true", help="skip the plots")
    again = sub.add_parser("report", help="draw the report of a run again")
    again.add_argument("folder", type=Path)
    way = sub.add_parser("path", help="one message's way across processes, as JSON lines in time order")
    way.add_argument("folder", type=Path)
    way.add_argument("key", help="the message's name (its idempotency key), as in verdict.json")
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    args = arguments(sys.argv[1:] if argv is None else argv)
    if args.command == "path":
        try:
            for line in report.path(args.folder, args.key):
                print(json.dumps(line))
        except (FileNotFoundError, ValueError) as error:
            print(f"lab: no run in {args.folder}: {error}", file=sys.stderr)
            return 2
        return 0
    if args.command == "report":
        try:
            print(report.draw(args.folder))
        except (FileNotFoundError, ValueError) as error:
            print(f"lab: no run to report in {args.folder}: {error}", file=sys.stderr)
            return 2
        return 0
    try:
        experiment = read(args.experiment)
    except ExperimentError as error:
        for fault in error.faults:
            print(f"lab: {fault}", file=sys.stderr)
        return 2
    if args.command == "check":
        print(
            f"{experiment.name}: {experiment.fleet.forwarders} forwarders, "
            f"{len(experiment.endpoint_names())} endpoints, {len(experiment.faults)} faults, "
            f"{experiment.load.rate_per_s:g} messages a second for {experiment.duration_s:g} s"
        )
        return 0
    from lemonshunt.lab.fleet import StartError
    from lemonshunt.lab.runner import run

    try:
        result = asyncio.run(run(experiment, experiment.seed if args.seed is None else args.seed, args.out))
    except StartError as error:
        print(f"lab: {error}; every process it started was ended", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("lab: interrupted; every process it started was ended", file=sys.stderr)
        return 130
    if not args.no_report:
        report.draw(args.out)
    print(json.dumps({k: result[k] for k in ("total", "lost", "doubled", "lag_ms", "valid")}))
    return 1 if checker.bad(result) else 0


if __name__ == "__main__":
    sys.exit(main())
