"""Search a model to a greater depth than the tests do.

Usage: `python -m rainfall.model_checker MODULE:MODEL --depth N`.
"""

from __future__ import annotations

import argparse
import importlib
import sys
import time

from rainfall.model_checker.search import SearchResult, explore

EXIT_SOUND = 0
EXIT_VIOLATION = 1
EXIT_USAGE = 2
DEFAULT_DEPTH = 12
DEFAULT_STATES = 1_000_000


def main(argv: list[str] | None = None) -> int:
    """Search a model and print the result.

    Returns 0 where no invariant was violated, 1 with the steps to a violation, and 2
    where the model cannot be built.
    """
    args = _parser().parse_args(argv)
    module, _, name = args.model.partition(":")
    try:
        model = getattr(importlib.import_module(module), name)()
    except (ImportError, AttributeError, TypeError, ValueError) as error:
        print(
            f"model_checker: cannot build model {args.model}: {error}", file=sys.stderr
        )
        return EXIT_USAGE
    started_at_s = time.monotonic()
    result = explore(model, args.depth, args.states)
    _print_result(result, time.monotonic() - started_at_s)
    return EXIT_VIOLATION if result.violation else EXIT_SOUND


def _print_result(result: SearchResult, duration_s: float) -> None:
    extent = "complete" if result.complete else f"complete to depth {result.depth}"
    print(f"{result.states} states, {extent}, {duration_s:.1f} s")
    if not result.violation:
        return
    print(f"violated: {result.violation}")
    for number, step in enumerate(result.trace, 1):
        print(f"{number:4} {step}")


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m rainfall.model_checker", description=__doc__
    )
    parser.add_argument(
        "model",
        help="MODULE:CLASS of a model that needs no arguments, "
        "such as rainfall.session.model:FaultySessionMigrationModel",
    )
    parser.add_argument(
        "--depth",
        type=int,
        default=DEFAULT_DEPTH,
        help="most steps from the initial state",
    )
    parser.add_argument(
        "--states", type=int, default=DEFAULT_STATES, help="most states to visit"
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
