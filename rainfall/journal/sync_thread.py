"""A thread that syncs files, so that a slow disk does not stop the event loop."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from typing import NamedTuple

from rainfall.journal.writer import JobDone


class SyncJob(NamedTuple):
    """What is to be done, and what is called in the event loop after it."""

    run: Callable[[], None]
    done: JobDone


class SyncThread:
    """Runs one job at a time, in the order of the calls.

    How a job ended is reported in the event loop that made the thread.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.jobs: queue.SimpleQueue[SyncJob] = queue.SimpleQueue()
        threading.Thread(target=self.run, name="journal-sync", daemon=True).start()

    def __call__(self, job: Callable[[], None], done: JobDone) -> None:
        """Queue a job; `done` gets the error that it ended with, or None."""
        self.jobs.put(SyncJob(job, done))

    def run(self) -> None:
        """Run jobs until the event loop is closed."""
        while True:
            job = self.jobs.get()
            error = _run_job(job.run)
            try:
                self.loop.call_soon_threadsafe(job.done, error)
            except RuntimeError:
                return  # The event loop is closed, and nobody waits any more.


def _run_job(run: Callable[[], None]) -> OSError | None:
    try:
        run()
    except OSError as error:
        return error
    except Exception as error:  # Any other fault must not leave the callers waiting.
        return OSError(str(error))
    return None
