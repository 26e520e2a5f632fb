"""Check and plan shard maps: python -m rainfall.shard check|plan.

The file formats are described in docs/parts/shard.md.
"""

from __future__ import annotations

import argparse
import os
import re
import sys
from collections.abc import Sequence
from fractions import Fraction
from pathlib import Path
from typing import Any, NamedTuple, NoReturn

from rainfall.shard.map_planning import MAX_RANGES, MapPlan, PlanError, plan_map
from rainfall.shard.map_validation import (
    MAX_MOVED_SHARE,
    FaultKind,
    MapBaseline,
    MapFault,
    checked_map,
    inspect_map,
    map_faults,
)
from rainfall.shard.shard_map import (
    KEY_BITS,
    DuplicateFieldObject,
    ShardMap,
    UnreadableInputError,
    decode_json,
    parse_range,
)

EXIT_VALID = 0
EXIT_FAULTS = 1
EXIT_UNREADABLE = 2
DEFAULT_WEIGHT = 1.0


class CommandParser(argparse.ArgumentParser):
    """An argument parser that reports an error in one line."""

    def error(self, message: str) -> NoReturn:
        """Print one line to stderr and exit with `EXIT_UNREADABLE`."""
        self.exit(EXIT_UNREADABLE, f"shard: {message} (see --help)\n")


def read_json(path: str) -> Any:
    """Read the JSON value in a file.

    Raises:
        UnreadableInputError: The file cannot be read or is not JSON; the text names it.
    """
    try:
        return decode_json(Path(path).read_bytes())
    except UnreadableInputError as error:
        raise _unreadable(path, f": {error}") from None
    except OSError as error:
        raise _unreadable(path, f": {error.strerror}") from None
    except ValueError:
        # pathlib raises ValueError for a name with a NUL.
        raise _unreadable(path, ": the file name contains a NUL") from None


def _unreadable(path: str, reason: str) -> UnreadableInputError:
    return UnreadableInputError(f"cannot read {_printable(path)}{reason}")


def read_object(path: str) -> dict[str, Any]:
    """Read the JSON object in a file."""
    raw = read_json(path)
    if not isinstance(raw, dict):
        raise _unreadable(path, ": it holds no JSON object")
    return raw


def read_members(path: str) -> list[str]:
    """Read a JSON array of members' names."""
    raw = read_json(path)
    if type(raw) is not list or not all(type(name) is str and name for name in raw):
        raise _unreadable(path, ": it holds no JSON array of names")
    return sorted(set(raw))


def read_baseline(path: str) -> MapBaseline:
    """Read the old map, which the new map is compared with.

    Its entries must be well-formed. Gaps and overlaps are accepted, since the new map may
    repair them.
    """
    inspection = inspect_map(read_object(path))
    form_faults = [
        fault
        for fault in inspection.faults
        if fault.kind in (FaultKind.MALFORMED, FaultKind.INVERTED)
    ]
    if form_faults:
        reason = f" as the old map: {form_faults[0]}"
        if len(form_faults) > 1:
            reason += f" and {len(form_faults) - 1} more faults"
        raise _unreadable(path, reason)
    return MapBaseline(inspection.generation, inspection.sole_ranges)


def read_numbers(given: str) -> dict[str, float]:
    """Read a JSON object of numbers: weights by member, or loads by range.

    Args:
        given: A file name, or the JSON text of the object.
    """
    is_object = given.lstrip().startswith("{")
    raw = decode_json(given.encode()) if is_object else read_object(given)
    if isinstance(raw, DuplicateFieldObject) or not all(
        type(number) in (int, float) for number in raw.values()
    ):
        raise UnreadableInputError(
            f"{_printable(given)} is not a JSON object of numbers with unique names"
        )
    return dict(raw)


def _printable(text: str) -> str:
    return text if text.isprintable() else ascii(text)


class CommandResult(NamedTuple):
    """The exit code and the output of a command."""

    exit_code: int
    lines: list[str]
    """Lines for stdout."""


def run_check(args: argparse.Namespace) -> CommandResult:
    """Check a map and report its faults or a summary."""
    raw = read_object(args.map)
    members = None if args.members is None else read_members(args.members)
    old = None if args.against is None else read_baseline(args.against)
    inspection = inspect_map(raw, members, old, args.most_moved)
    if inspection.faults:
        return fault_result(inspection.faults)
    ranges = inspection.sole_ranges
    owners = {sole.owner for sole in ranges}
    summary = f"{len(ranges)} ranges, {len(owners)} owners, generation {inspection.generation}"
    return CommandResult(EXIT_VALID, [summary])


def run_plan(args: argparse.Namespace) -> CommandResult:
    """Plan a map and write it to a file."""
    weights = dict.fromkeys(read_members(args.members), DEFAULT_WEIGHT)
    given = read_numbers(args.weights) if args.weights else {}
    if unknown := sorted(set(given) - set(weights)):
        raise PlanError(f"weight for {unknown[0]!a}, which is not a member")
    weights.update(given)
    old: ShardMap | None = None
    if args.old:
        raw = read_object(args.old)
        if faults := map_faults(raw):
            return fault_result(faults)
        old = checked_map(raw)
    loads = None
    if args.load:
        loads = {
            parse_range(name): load for name, load in read_numbers(args.load).items()
        }
    plan = plan_map(weights, old, loads, args.most_ranges)
    write_atomically(Path(args.out), plan.map.file_text())
    return CommandResult(EXIT_VALID, [_plan_summary(plan, with_loads=bool(loads))])


def _plan_summary(plan: MapPlan, with_loads: bool) -> str:
    new = plan.map
    moved_share = plan.moved_keys / (1 << KEY_BITS)
    summary = (
        f"{len(new.ranges)} ranges, {len(new.owners())} owners, "
        f"generation {new.generation}; {plan.moved_keys} keys move ({moved_share:.2%})"
    )
    if with_loads:
        return summary
    return f"{summary}, {plan.min_moved_keys} at the least"


def write_atomically(path: Path, text: str) -> None:
    """Replace a file atomically, after the new text was synced to disk."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}.new")
    try:
        with temporary.open("w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    except OSError as error:
        temporary.unlink(missing_ok=True)
        raise UnreadableInputError(
            f"cannot write {_printable(str(path))}: {error.strerror}"
        ) from None


def fault_result(faults: list[MapFault]) -> CommandResult:
    """Return all faults of a map, one a line."""
    return CommandResult(EXIT_FAULTS, list(map(str, faults)))


def _fraction_argument(text: str) -> Fraction:
    if (
        not re.fullmatch(r"\d?\.\d{1,18}|\d\.?", text, re.ASCII)
        or Fraction(text.rstrip(".")) > 1
    ):
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a decimal fraction from 0 to 1, such as 0.25"
        )
    return Fraction(text.rstrip("."))


def _count_argument(text: str) -> int:
    if not re.fullmatch(r"[1-9]\d{0,8}", text, re.ASCII):
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a positive whole number of at most 9 digits"
        )
    return int(text)


def _make_parser() -> CommandParser:
    parser = CommandParser(prog="python -m rainfall.shard", description=__doc__)
    commands = parser.add_subparsers(required=True, metavar="check|plan")
    _add_check_command(
        commands.add_parser(
            "check", help="check that a map covers every key exactly once"
        )
    )
    _add_plan_command(
        commands.add_parser("plan", help="plan a new map that moves the fewest keys")
    )
    return parser


def _add_check_command(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("map", metavar="MAP")
    parser.add_argument(
        "--members",
        metavar="FILE",
        help="a JSON array of the names that may own a range",
    )
    parser.add_argument(
        "--against",
        metavar="OLD",
        help="the map in force; the new generation must be higher",
    )
    parser.add_argument(
        "--most-moved",
        metavar="PART",
        type=_fraction_argument,
        default=MAX_MOVED_SHARE,
        help="largest share of keys whose owner may differ from OLD (default 0.5)",
    )
    parser.set_defaults(run=run_check)


def _add_plan_command(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--members", metavar="FILE", required=True, help="a JSON array of names"
    )
    parser.add_argument(
        "--from",
        dest="old",
        metavar="MAP",
        help="the map in force; omit to plan the first map",
    )
    parser.add_argument(
        "--weights", metavar="FILE|JSON", help='such as {"n1": 2.0}; default weight 1'
    )
    parser.add_argument(
        "--load",
        metavar="FILE|JSON",
        help='load by range of MAP, such as {"FROM-TO": 12.5}',
    )
    parser.add_argument(
        "--most-ranges", metavar="N", type=_count_argument, default=MAX_RANGES
    )
    parser.add_argument("--out", metavar="FILE", required=True)
    parser.set_defaults(run=run_plan)


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command.

    Returns:
        0 on success; 1 if the map has faults, which are printed to stdout, one a line;
        2 on unreadable input or if no plan exists, with one line on stderr.
    """
    args = _make_parser().parse_args(argv)
    try:
        result: CommandResult = args.run(args)
    # ValueError includes PlanError and an invalid range in a file of loads.
    except (UnreadableInputError, ValueError) as error:
        print(f"shard: {error}", file=sys.stderr)
        return EXIT_UNREADABLE
    _print_lines(result.lines)
    return result.exit_code


def _print_lines(lines: list[str]) -> None:
    try:
        sys.stdout.writelines(f"{line}\n" for line in lines)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe; the exit code stays. Without a valid stdout, Python
        # would report an error when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


if __name__ == "__main__":
    sys.exit(main())
