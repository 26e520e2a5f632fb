"""Helpers of the measurements: formatting results, and cancelling leftover tasks."""

from __future__ import annotations

import asyncio
import logging
import statistics
import sys
from collections.abc import Sequence


def format_row(name: str, values: Sequence[float]) -> str:
    """Format a line with the median, minimum and maximum of the values of all repeats."""
    return (
        f"{name}: median {statistics.median(values):.2f}, "
        f"from {min(values):.2f} to {max(values):.2f} ({len(values)} repeats)"
    )


def repeats_argument(default: int, limit: int | None = None) -> int:
    """The number of repeats: the first command-line argument or the default, up to `limit`."""
    repeats = int(sys.argv[1]) if len(sys.argv) > 1 else default
    return repeats if limit is None else min(limit, repeats)


async def cancel_tasks() -> None:
    """Cancel all other tasks and disable logging, so that ending the loop reports nothing."""
    logging.disable(logging.CRITICAL)
    tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
