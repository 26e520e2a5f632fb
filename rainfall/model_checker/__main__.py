"""`python -m rainfall.model_checker MODULE:MODEL --depth N`: search a model deeper than the
tests do.
"""

from __future__ import annotations

import argparse
import importlib
import sys
import time

from rainfall.model_checker.search import explore


def main(argv: list[str] | None = None) -> int:
    """Exit 0 where no invariant was broken, 1 with the steps to it where one was, 2 for
    a wrong call.
    """
    parser = argparse.ArgumentParser(
        prog="python -m rainfall.model_checker", description=__doc__
    )
    parser.add_argument(
        "model", help="such as rainfall.lease.model:Leases, made without arguments"
    )
    parser.add_argument("--depth", type=int, default=12, help="steps from the start")
    parser.add_argument("--states", type=int, default=1_000_000, help="states at most")
    args = parser.parse_args(argv)
    module, _, name = args.model.partition(":")
    try:
        model = getattr(importlib.import_module(module), name)()
    except (ImportError, AttributeError, TypeError, ValueError) as error:
        print(f"model_checker: no model {args.model}: {error}", file=sys.stderr)
        return 2
    began = time.monotonic()
    found = explore(model, args.depth, args.states)
    ended = "complete" if found.complete else f"whole to depth {found.depth}"
    print(f"{found.states} states, {ended}, {time.monotonic() - began:.1f} s")
    if not found.violation:
        return 0
    print(f"broken: {found.violation}")
    for number, step in enumerate(found.trace, 1):
        print(f"{number:4} {step}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
