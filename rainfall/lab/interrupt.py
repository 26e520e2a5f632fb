"""One way to be interrupted, for a run and for a sweep."""

from __future__ import annotations

import asyncio
import signal


def cancel_on_first_signal() -> None:
    """The first SIGINT or SIGTERM cancels the current task; those that follow are
    passed over, since a second cancel would break off the ending of the processes that
    the first began. It works too where a shell started us with SIGINT ignored, as it
    does in the background.
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
