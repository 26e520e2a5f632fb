"""A thread that syncs files, so that a slow disk does not block the event loop."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from typing import NamedTuple

from rainfall.journal.writer import JobDone


class SyncJob(NamedTuple):
    """A function to run, and the callback for the event loop after it."""

    run: Callable[[], None]
    done: JobDone


class SyncThread:
    """Runs one job at a time, in the order of the calls.

    The callback of a job is called in the event loop that created the thread.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.jobs: queue.SimpleQueue[SyncJob] = queue.SimpleQueue()
        threading.Thread(target=self.run, name="journal-sync", daemon=True).start()

    def __call__(self, job: Callable[[], None], done: JobDone) -> None:
        """Queue a job; `done` receives its error, or None on success."""
        self.jobs.put(SyncJob(job, done))

    def run(self) -> None:
        """Run queued jobs until the event loop is closed."""
        while True:
            job = self.jobs.get()
            error = _run_job(job.run)
            try:
                self.loop.call_soon_threadsafe(job.done, error)
            except RuntimeError:
                return  # The event loop is closed, so no caller is waiting.


def _run_job(run: Callable[[], None]) -> OSError | None:
    try:
        run()
    except OSError as error:
        return error
    except Exception as error:  # Any other error must also reach the callers.
        return OSError(str(error))
    return None
