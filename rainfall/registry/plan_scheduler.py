"""When riders plan: at most once in a while for the beats of all, never on top of a
plan being written.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from rainfall.registry.fleet_log import TaggedRows

PLAN_DELAY_S = 0.05  # so much is gathered before a plan: one sync for the beats of all
MIN_PLAN_DELAY_S = 0.01  # between two that no beat asked for
RETRY_DELAY_S = 0.5  # after a failed write, before what is due is tried again


class PlanScheduler:
    """Lives on the running loop.

    `ends` makes the rows of leases that are out, `make` those of a plan, `write` writes
    them, `next_us` says when something is due next.
    """

    def __init__(
        self,
        now_us: Callable[[], int],
        make_end_rows: Callable[[], TaggedRows],
        make_plan_rows: Callable[[], TaggedRows],
        write_rows: Callable[[TaggedRows], asyncio.Future[Any]],
        next_due_us: Callable[[], int | None],
    ) -> None:
        (
            self.now_us,
            self.make_end_rows,
            self.make_plan_rows,
            self.write_rows,
            self.next_due_us,
        ) = (
            now_us,
            make_end_rows,
            make_plan_rows,
            write_rows,
            next_due_us,
        )
        self.stopped = False
        self.plan_in_flight: asyncio.Future[Any] | None = None
        """A plan that is being written."""
        self._ends_in_flight: asyncio.Future[Any] | None = (
            None  # ends of leases that are being written
        )
        self._due_timer: asyncio.TimerHandle | None = None
        self._soon_timer: asyncio.TimerHandle | None = None
        self._next_plan: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    def schedule_when_due(self, least_s: float = MIN_PLAN_DELAY_S) -> None:
        """Plan when something is due next.

        Renewals only put that off, and need not come here.
        """
        next_us = self.next_due_us()
        if self._due_timer is not None:
            self._due_timer.cancel()
        self._due_timer = None
        if next_us is not None and not self.stopped:
            wait_s = max((next_us - self.now_us()) / 1e6, least_s)
            self._due_timer = asyncio.get_running_loop().call_later(wait_s, self._plan)

    def schedule_soon(self, wait_s: float | None = None) -> None:
        """Plan after `wait_s`, PLAN_S where nothing is said; sooner where that was
        asked for already.
        """
        if self._soon_timer is None and not self.stopped:
            wait_s = PLAN_DELAY_S if wait_s is None else wait_s
            self._soon_timer = asyncio.get_running_loop().call_later(wait_s, self._plan)

    def next_plan_written(self) -> asyncio.Future[None]:
        """Done once the next plan to be made was written, or could not be."""
        return self._next_plan

    def write_plan(self, rows: TaggedRows) -> asyncio.Future[Any]:
        self.plan_in_flight = self.write_rows(rows)
        self.plan_in_flight.add_done_callback(self._on_plan_written)
        return self.plan_in_flight

    def stop(self) -> None:
        self.stopped = True
        for timer in (self._due_timer, self._soon_timer):
            if timer is not None:
                timer.cancel()
        _complete(self._next_plan)

    def _plan(self) -> None:
        """Ends of leases first: nothing is divided among those who are gone."""
        if self._soon_timer is not None:
            self._soon_timer.cancel()
        self._soon_timer = None
        if self.stopped:
            return
        if self._ends_in_flight is None and (ends := self.make_end_rows()):
            self._ends_in_flight = self.write_rows(ends)
            self._ends_in_flight.add_done_callback(self._on_ends_written)
        if self._ends_in_flight is not None or self.plan_in_flight is not None:
            return  # asked again when that has landed
        this_plan, self._next_plan = (
            self._next_plan,
            asyncio.get_running_loop().create_future(),
        )
        rows = self.make_plan_rows()
        if rows:
            self.write_plan(rows).add_done_callback(lambda _: _complete(this_plan))
        else:
            _complete(this_plan)
            self.schedule_when_due()

    def _on_ends_written(self, done: asyncio.Future[Any]) -> None:
        self._ends_in_flight = None
        if self._reschedule(done):  # no plan comes before it can be written
            waited, self._next_plan = (
                self._next_plan,
                asyncio.get_running_loop().create_future(),
            )
            _complete(waited)

    def _on_plan_written(self, done: asyncio.Future[Any]) -> None:
        self.plan_in_flight = None
        self._reschedule(done)

    def _reschedule(self, done: asyncio.Future[Any]) -> bool:
        """Plan again for what came meanwhile; whether what was written has failed."""
        failed = done.cancelled() or done.exception() is not None
        if failed and self._soon_timer is not None:  # beats must not make it try faster
            self._soon_timer.cancel()
            self._soon_timer = None
        self.schedule_soon(RETRY_DELAY_S if failed else PLAN_DELAY_S)
        return failed


def _complete(waited: asyncio.Future[None]) -> None:
    if not waited.done():
        waited.set_result(None)
