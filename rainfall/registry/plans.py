"""When riders plan: at most once in a while for the beats of all, never on top of a
plan being written.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from rainfall.registry.book import Rows

PLAN_S = 0.05  # so much is gathered before a plan: one sync for the beats of all
LEAST_S = 0.01  # between two that no beat asked for
RETRY_S = 0.5  # after a failed write, before what is due is tried again


class Plans:
    """Lives on the running loop. `ends` makes the rows of leases that are out, `make`
    those of a plan, `write` writes them, `next_us` says when something is due next.
    """

    def __init__(
        self,
        now_us: Callable[[], int],
        ends: Callable[[], Rows],
        make: Callable[[], Rows],
        write: Callable[[Rows], asyncio.Future[Any]],
        next_us: Callable[[], int | None],
    ) -> None:
        self.now_us, self.ends, self.make, self.write, self.next_us = (
            now_us,
            ends,
            make,
            write,
            next_us,
        )
        self.stopped = False
        self.flying: asyncio.Future[Any] | None = None
        """A plan that is being written."""
        self._ending: asyncio.Future[Any] | None = (
            None  # ends of leases that are being written
        )
        self._alarm: asyncio.TimerHandle | None = None
        self._soon: asyncio.TimerHandle | None = None
        self._next: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def alarmed(self, least_s: float = LEAST_S) -> None:
        """Plan when something is due next. Renewals only put that off, and need not
        come here.
        """
        next_us = self.next_us()
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm = None
        if next_us is not None and not self.stopped:
            wait_s = max((next_us - self.now_us()) / 1e6, least_s)
            self._alarm = asyncio.get_running_loop().call_later(wait_s, self._plan)

    def soon(self, wait_s: float | None = None) -> None:
        """Plan after `wait_s`, PLAN_S where nothing is said; sooner where that was
        asked for already.
        """
        if self._soon is None and not self.stopped:
            wait_s = PLAN_S if wait_s is None else wait_s
            self._soon = asyncio.get_running_loop().call_later(wait_s, self._plan)

    def next(self) -> asyncio.Future[None]:
        """Done once the next plan to be made was written, or could not be."""
        return self._next

    def fly(self, rows: Rows) -> asyncio.Future[Any]:
        self.flying = self.write(rows)
        self.flying.add_done_callback(self._landed)
        return self.flying

    def stop(self) -> None:
        self.stopped = True
        for timer in (self._alarm, self._soon):
            if timer is not None:
                timer.cancel()
        _over(self._next)

    def _plan(self) -> None:
        """Ends of leases first: nothing is divided among those who are gone."""
        if self._soon is not None:
            self._soon.cancel()
        self._soon = None
        if self.stopped:
            return
        if self._ending is None and (ends := self.ends()):
            self._ending = self.write(ends)
            self._ending.add_done_callback(self._ended)
        if self._ending is not None or self.flying is not None:
            return  # asked again when that has landed
        mine, self._next = self._next, asyncio.get_running_loop().create_future()
        rows = self.make()
        if rows:
            self.fly(rows).add_done_callback(lambda _: _over(mine))
        else:
            _over(mine)
            self.alarmed()

    def _ended(self, done: asyncio.Future[Any]) -> None:
        self._ending = None
        if self._again(done):  # no plan comes before it can be written
            waited, self._next = self._next, asyncio.get_running_loop().create_future()
            _over(waited)

    def _landed(self, done: asyncio.Future[Any]) -> None:
        self.flying = None
        self._again(done)

    def _again(self, done: asyncio.Future[Any]) -> bool:
        """Plan again for what came meanwhile; whether what was written has failed."""
        failed = done.cancelled() or done.exception() is not None
        if failed and self._soon is not None:  # beats must not make it try faster
            self._soon.cancel()
            self._soon = None
        self.soon(RETRY_S if failed else PLAN_S)
        return failed


def _over(waited: asyncio.Future[None]) -> None:
    if not waited.done():
        waited.set_result(None)
