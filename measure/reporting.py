"""What the measurements share: printing results, and ending an event loop."""

from __future__ import annotations

import asyncio
import logging
import statistics
import sys
from collections.abc import Sequence


def format_row(name: str, values: Sequence[float]) -> str:
    """A line with the median and the spread of the values of all repeats."""
    return (
        f"{name}: median {statistics.median(values):.2f}, "
        f"from {min(values):.2f} to {max(values):.2f} ({len(values)} repeats)"
    )


def repeats_argument(default: int, limit: int | None = None) -> int:
    """The number of repeats: the first argument of the command line, or the default."""
    repeats = int(sys.argv[1]) if len(sys.argv) > 1 else default
    return repeats if limit is None else min(limit, repeats)


async def cancel_tasks() -> None:
    """Cancel all other tasks, so that the event loop reports none of them at its end."""
    logging.disable(logging.CRITICAL)
    tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
