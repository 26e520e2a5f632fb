"""One way to be interrupted, for a run and for a sweep."""

from __future__ import annotations

import asyncio
import signal


def once() -> None:
    """The first SIGINT or SIGTERM cancels the current task; those that follow are
    passed over, since a second cancel would break off the ending of the processes that
    the first began. It works too where a shell started us with SIGINT ignored, as it
    does in the background.
    """
    task = asyncio.current_task()
    assert task is not None
    came: list[int] = []

    def cancel(sign: int) -> None:
        if not came:
            came.append(sign)
            task.cancel()

    for sign in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(sign, cancel, sign)
