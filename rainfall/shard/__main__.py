"""For staff: python -m rainfall.shard check|plan.

The forms of all files are in docs/parts/shard.md.
"""

from __future__ import annotations

import argparse
import os
import re
import sys
from collections.abc import Sequence
from fractions import Fraction
from pathlib import Path
from typing import Any, NoReturn

from rainfall.shard.map_planning import MAX_RANGES, PlanError, plan_map
from rainfall.shard.map_validation import (
    MAX_MOVED_SHARE,
    MapBaseline,
    MapFault,
    checked_map,
    inspect_map,
)
from rainfall.shard.shard_map import (
    DuplicateFieldObject,
    ShardMap,
    UnreadableInputError,
    decode_json,
    parse_range,
)

EXIT_SOUND, EXIT_FAULTS, EXIT_UNREADABLE = 0, 1, 2


class CommandParser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        self.exit(EXIT_UNREADABLE, f"shard: {message} (--help tells more)\n")


def read_json(path: str) -> Any:
    """The JSON value in a file; Unreadable, with the file's name, where there is none."""
    try:
        return decode_json(Path(path).read_bytes())
    except UnreadableInputError as error:
        raise UnreadableInputError(f"cannot read {_printable(path)}: {error}") from None
    except OSError as error:
        raise UnreadableInputError(
            f"cannot read {_printable(path)}: {error.strerror}"
        ) from None
    except ValueError:  # a NUL in the name
        raise UnreadableInputError(
            f"cannot read {_printable(path)}: no file can have that name"
        ) from None


def read_object(path: str) -> dict[str, Any]:
    raw = read_json(path)
    if not isinstance(raw, dict):
        raise UnreadableInputError(
            f"cannot read {_printable(path)}: it holds no JSON object"
        )
    return raw


def read_members(path: str) -> list[str]:
    raw = read_json(path)
    if type(raw) is not list or not all(type(name) is str and name for name in raw):
        raise UnreadableInputError(
            f"cannot read {_printable(path)}: it holds no JSON array of names"
        )
    return sorted(set(raw))


def read_baseline(path: str) -> MapBaseline:
    """What to compare with.

    Gaps and overlaps are let pass (a new map may be the mend), its form is not.
    """
    inspection = inspect_map(read_object(path))
    faults = inspection.faults
    if bad := [f for f in faults if f.kind in ("malformed", "inverted")]:
        raise UnreadableInputError(
            f"cannot read {_printable(path)} as the old map: {bad[0]}"
            + (f" and {len(bad) - 1} more faults" if len(bad) > 1 else "")
        )
    return MapBaseline(inspection.generation, inspection.sole_ranges)


def read_numbers(given: str) -> dict[str, float]:
    """A JSON object of numbers, in a file or as it stands: weights by member, loads by
    range.
    """
    raw = (
        decode_json(given.encode())
        if given.lstrip().startswith("{")
        else read_object(given)
    )
    if isinstance(raw, DuplicateFieldObject) or not all(
        type(n) in (int, float) for n in raw.values()
    ):
        raise UnreadableInputError(
            f"{_printable(given)} is no JSON object of numbers, each name once"
        )
    return dict(raw)


def _printable(text: str) -> str:
    return text if text.isprintable() else ascii(text)


CommandResult = tuple[int, list[str]]
"""The exit code and the lines on stdout."""


def run_check(args: argparse.Namespace) -> CommandResult:
    raw = read_object(args.map)
    members = None if args.members is None else read_members(args.members)
    old = None if args.against is None else read_baseline(args.against)
    faults, generation, alone = inspect_map(raw, members, old, args.most_moved)
    if faults:
        return fault_result(faults)
    return EXIT_SOUND, [
        f"{len(alone)} ranges, {len({a[2] for a in alone})} owners, generation {generation}"
    ]


def run_plan(args: argparse.Namespace) -> CommandResult:
    weights: dict[str, float] = dict.fromkeys(read_members(args.members), 1.0)
    given = read_numbers(args.weights) if args.weights else {}
    if strange := sorted(set(given) - set(weights)):
        raise PlanError(f"a weight for {strange[0]!a}, which is no member")
    weights.update(given)
    old: ShardMap | None = None
    if args.old:
        raw = read_object(args.old)
        if faults := inspect_map(raw)[0]:
            return fault_result(faults)
        old = checked_map(raw)
    loads = (
        {parse_range(name): load for name, load in read_numbers(args.load).items()}
        if args.load
        else None
    )
    done = plan_map(weights, old, loads, args.most_ranges)
    write_atomically(Path(args.out), done.map.file_text())
    new = done.map
    return EXIT_SOUND, [
        f"{len(new.ranges)} ranges, {len(new.owners())} owners, generation {new.generation}; "
        f"{done.moved_keys} keys move ({done.moved_keys / 2**64:.2%})"
        + ("" if loads else f", {done.min_moved_keys} at the least")
    ]


def write_atomically(path: Path, text: str) -> None:
    """Whole or not at all: what stood there stays until all of the new map is on disk."""
    beside = path.with_name(f".{path.name}.{os.getpid()}.new")
    try:
        with beside.open("w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        beside.replace(path)
    except OSError as error:
        beside.unlink(missing_ok=True)
        raise UnreadableInputError(
            f"cannot write {_printable(str(path))}: {error.strerror}"
        ) from None


def fault_result(faults: list[MapFault]) -> CommandResult:
    return EXIT_FAULTS, list(map(str, faults))


def _fraction_argument(text: str) -> Fraction:
    if (
        not re.fullmatch(r"\d?\.\d{1,18}|\d\.?", text, re.ASCII)
        or Fraction(text.rstrip(".")) > 1
    ):
        raise argparse.ArgumentTypeError(
            f"{text!r} is no part from 0 to 1, such as 0.25"
        )
    return Fraction(text.rstrip("."))


def _count_argument(text: str) -> int:
    if not re.fullmatch(r"[1-9]\d{0,8}", text, re.ASCII):
        raise argparse.ArgumentTypeError(f"{text!r} is no count from 1")
    return int(text)


def main(argv: Sequence[str] | None = None) -> int:
    """Exit 0 where all is well, 1 with all faults of a map, one a line, 2 with one line
    on stderr.
    """
    ask = CommandParser(prog="python -m rainfall.shard", description=__doc__)
    subs = ask.add_subparsers(required=True, metavar="check|plan")
    sub = subs.add_parser("check", help="every key exactly once, no gaps")
    sub.add_argument("map", metavar="MAP")
    sub.add_argument(
        "--members", metavar="FILE", help="a JSON array of names: who may own a range"
    )
    sub.add_argument(
        "--against",
        metavar="OLD",
        help="the map in force: the new generation is above its",
    )
    sub.add_argument(
        "--most-moved",
        metavar="PART",
        type=_fraction_argument,
        default=MAX_MOVED_SHARE,
        help="of the keys that may change their owner against OLD (default 0.5)",
    )
    sub.set_defaults(run=run_check)
    sub = subs.add_parser("plan", help="a new map that moves the fewest keys")
    sub.add_argument(
        "--members", metavar="FILE", required=True, help="a JSON array of names"
    )
    sub.add_argument(
        "--from",
        dest="old",
        metavar="MAP",
        help="the map in force (without: the first map)",
    )
    sub.add_argument(
        "--weights", metavar="FILE|JSON", help='such as {"n1": 2.0}; 1 where not named'
    )
    sub.add_argument(
        "--load", metavar="FILE|JSON", help='by range of MAP, such as {"FROM-TO": 12.5}'
    )
    sub.add_argument(
        "--most-ranges", metavar="N", type=_count_argument, default=MAX_RANGES
    )
    sub.add_argument("--out", metavar="FILE", required=True)
    sub.set_defaults(run=run_plan)
    args = ask.parse_args(argv)
    try:
        verdict, lines = args.run(args)
    except (
        UnreadableInputError,
        ValueError,
    ) as error:  # BadPlan, and a range in a file of loads, are ValueErrors
        print(f"shard: {error}", file=sys.stderr)
        return EXIT_UNREADABLE
    try:
        sys.stdout.writelines(f"{line}\n" for line in lines)
        sys.stdout.flush()
    except BrokenPipeError:
        # Whoever read the lines has seen enough; the verdict stays. Python would
        # complain at its own flush.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return int(verdict)


if __name__ == "__main__":
    sys.exit(main())
