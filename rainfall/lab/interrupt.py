"""Cancels a run or a sweep on SIGINT and SIGTERM."""

from __future__ import annotations

import asyncio
import signal


def cancel_on_first_signal() -> None:
    """Cancel the current task at the first SIGINT or SIGTERM, and ignore later ones.

    A second cancellation would interrupt the clean-up that the first one started. The
    handlers also work if a shell started the program in the background with SIGINT
    ignored.
    """
    task = asyncio.current_task()
    assert task is not None
    received: list[int] = []

    def cancel(signal_number: int) -> None:
        if not received:
            received.append(signal_number)
            task.cancel()

    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(
            signal_number, cancel, signal_number
        )
