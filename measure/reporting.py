"""How the measurements print what they found."""

from __future__ import annotations

import asyncio
import logging
import statistics
from collections.abc import Sequence


def format_row(name: str, values: Sequence[float]) -> str:
    """Median and spread over the repeats."""
    return (
        f"{name}: median {statistics.median(values):.2f}, from {min(values):.2f} to {max(values):.2f} "
        f"({len(values)} repeats)"
    )


async def cancel_tasks() -> None:
    """End what still serves in this loop, so that nothing is said of it at the loop's
    end.
    """
    logging.disable(logging.CRITICAL)  # that they were cancelled is no news
    rest = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)
