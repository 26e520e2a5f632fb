"""Search a model deeper than the tests do.

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

    Returns 0 where no invariant was violated, 1 with the steps to a violation, and 2 for
    a call of no use.
    """
    args = _parser().parse_args(argv)
    module, _, name = args.model.partition(":")
    try:
        model = getattr(importlib.import_module(module), name)()
    except (ImportError, AttributeError, TypeError, ValueError) as error:
        print(f"model_checker: no model {args.model}: {error}", file=sys.stderr)
        return EXIT_USAGE
    began_s = time.monotonic()
    found = explore(model, args.depth, args.states)
    _print_result(found, time.monotonic() - began_s)
    return EXIT_VIOLATION if found.violation else EXIT_SOUND


def _print_result(found: SearchResult, took_s: float) -> None:
    extent = "complete" if found.complete else f"whole to depth {found.depth}"
    print(f"{found.states} states, {extent}, {took_s:.1f} s")
    if not found.violation:
        return
    print(f"broken: {found.violation}")
    for number, step in enumerate(found.trace, 1):
        print(f"{number:4} {step}")


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m rainfall.model_checker", description=__doc__
    )
    parser.add_argument(
        "model", help="such as rainfall.lease.model:Leases, made without arguments"
    )
    parser.add_argument(
        "--depth", type=int, default=DEFAULT_DEPTH, help="steps from the start"
    )
    parser.add_argument(
        "--states", type=int, default=DEFAULT_STATES, help="states at most"
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
