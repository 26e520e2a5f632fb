"""The thread that syncs, so that the loop does not stand still for a disk.

Only where it is wanted.
"""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable

from rainfall.journal.writer import JobDone


class SyncThread:
    """One job at a time, in order; how each ended is told in the loop that asked."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.jobs: queue.SimpleQueue[tuple[Callable[[], None], JobDone]] = (
            queue.SimpleQueue()
        )
        threading.Thread(target=self.run, name="journal-sync", daemon=True).start()

    def __call__(self, job: Callable[[], None], done: JobDone) -> None:
        self.jobs.put((job, done))

    def run(self) -> None:
        while True:
            job, done = self.jobs.get()
            failed: OSError | None = None
            try:
                job()
            except OSError as error:
                failed = error
            except Exception as error:  # a fault here must not leave everybody waiting
                failed = OSError(str(error))
            try:
                self.loop.call_soon_threadsafe(done, failed)
            except RuntimeError:
                return  # the loop has ended, and who waited with it
